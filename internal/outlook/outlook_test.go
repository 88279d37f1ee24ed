package outlook

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var rules = Rules{MaxDispatches: 3, ColdCapacityShare: 0.35, SlowStartTime: 15, OverloadFactor: 2.5, OverloadWindow: 2, RetryRatio: 0.1}

func fleet(engines ...Engine) Fleet {
	return Fleet{Now: 1000, Engines: engines, Rules: rules, OfferedWork: 20, Groups: []Group{{Name: "lookup", SafeToRetry: true, TimeLimit: 4, WorkShare: 1, AdmittedShare: 1}}}
}

func engine(n int) Engine {
	return Engine{Name: fmt.Sprintf("e-%d", n), Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "hall", Kind: "std", Cores: 8, ThreadsPerCore: 1}
}

func weights(o View) map[string]uint32 {
	out := map[string]uint32{}
	for _, e := range o.Clusters[0].Endpoints {
		if e.acceptsTraffic() {
			out[e.Name] = e.Weight
		}
	}
	return out
}

func TestADrainedEngineIsToldAsDrainingAndTakesNothing(t *testing.T) {
	a, b := engine(1), engine(2)
	b.Draining = true
	o := Build(fleet(a, b))
	assert.Equal(t, Draining, o.Clusters[0].Endpoints[1].Health)
	assert.Equal(t, map[string]uint32{"e-1": 128}, weights(o))
}

func TestACrowdedEngineGetsLessAndOneSetAsideNothingUnlessMostAre(t *testing.T) {
	a, b, c := engine(1), engine(2), engine(3)
	b.ThreadsPerCore = 3
	c.Ejected = true
	assert.Equal(t, map[string]uint32{"e-1": 128, "e-2": 64}, weights(Build(fleet(a, b, c))))
	a.Ejected, b.Ejected = true, true
	assert.Len(t, weights(Build(fleet(a, b, c))), 3, "all failing is more likely the network")
}

func TestWhereOnlyColdOnesAreTheRestIsNotLetIn(t *testing.T) {
	a := engine(1)
	a.StartSeenAt = 999
	f := fleet(a)
	f.OfferedWork = 100
	r := Build(f).Routes[0]
	assert.InDelta(t, 0.9*0.85*0.35*8/100, r.AdmittedShare, 1e-9)
}

func TestRetriesOnlyOfWhatIsRepeatableAndWithinTheLimit(t *testing.T) {
	f := fleet(engine(1))
	f.Groups = []Group{{Name: "a", SafeToRetry: true, TimeLimit: 4, AdmittedShare: 1}, {Name: "b", TimeLimit: 4, AdmittedShare: 1}, {Name: "c", SafeToRetry: true, TimeLimit: 4, DispatchTimeout: 1.5, AdmittedShare: 1},
		{Name: "d", SafeToRetry: true, TimeLimit: 4, MaxDispatches: 2, AdmittedShare: 0.5}}
	var got []any
	for _, r := range Build(f).Routes {
		got = append(got, r.Retries, r.AdmittedShare)
	}
	assert.Equal(t, []any{2, 1.0, 0, 1.0, 1, 1.0, 1, 0.5}, got)
}

func TestGroupsThatArePlacedAlikeShareACluster(t *testing.T) {
	a, b := engine(1), engine(2)
	b.Zone = "yard"
	f := fleet(a, b)
	f.Groups = []Group{{Name: "lookup", AdmittedShare: 1}, {Name: "report", AdmittedShare: 1, Zones: []string{"yard"}}, {Name: "upload", AdmittedShare: 1}}
	o := Build(f)
	require.Len(t, o.Clusters, 2)
	assert.Len(t, o.Clusters[1].Endpoints, 1)
	assert.Equal(t, []string{"engines", "engines.yard.any", "engines"}, []string{o.Routes[0].Cluster, o.Routes[1].Cluster, o.Routes[2].Cluster})
}

// Whatever the fleet, however many proxies: what all of them send to a cold engine by the weights stays under what makes it fall.
func TestWeightsKeepColdEnginesUnderTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Engine
		for n := range rapid.IntRange(1, 12).Draw(t, "engines") {
			e := engine(n)
			e.Cores = rapid.SampledFrom([]float64{2, 8, 32}).Draw(t, "cores")
			e.ThreadsPerCore = rapid.Float64Range(-1, 6).Draw(t, "threads")
			e.Ejected, e.Draining = rapid.IntRange(0, 5).Draw(t, "aside") == 0, rapid.IntRange(0, 5).Draw(t, "drains") == 0
			if rapid.Bool().Draw(t, "cold") {
				e.StartSeenAt = 1000 - rapid.Float64Range(0, 20).Draw(t, "age")
			}
			all = append(all, e)
		}
		f := fleet(all...)
		f.OfferedWork = rapid.Float64Range(0.1, 300).Draw(t, "work")
		o := Build(f)
		sum := 0.0
		for _, w := range weights(o) {
			sum += float64(w)
		}
		for i, e := range f.Engines {
			w, takes := weights(o)[e.Name]
			if !takes {
				continue
			}
			require.False(t, e.Draining)
			if sent := f.OfferedWork * o.Routes[0].AdmittedShare * float64(w) / sum; f.isCold(&f.Engines[i]) {
				require.Less(t, sent, rules.OverloadFactor*rules.ColdCapacityShare*e.Cores, "%s of %v", e.Name, weights(o))
			}
		}
	})
}

func TestABeliefThatMovesALittleIsNoNews(t *testing.T) {
	a, b := engine(1), engine(2)
	a.ThreadsPerCore, b.ThreadsPerCore = 2, 2.6
	one := Build(fleet(a, b))
	b.ThreadsPerCore = 2.65
	assert.True(t, equalViews(one, Build(fleet(b, a))), "nor is the order")
}
