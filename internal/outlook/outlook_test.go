package outlook

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var rules = Rules{Dispatches: 3, ColdFrom: 0.35, ColdTime: 15, FallMultiple: 2.5, FallTime: 2, FurtherShare: 0.1}

func fleet(engines ...Engine) Fleet {
	return Fleet{Now: 1000, Engines: engines, Rules: rules, Work: 20, Groups: []Group{{Name: "lookup", Repeatable: true, Limit: 4, Share: 1, Keep: 1}}}
}

func engine(n int) Engine {
	return Engine{Name: fmt.Sprintf("e-%d", n), Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "hall", Kind: "std", Cores: 8, Threads: 1}
}

func weights(o Outlook) map[string]uint32 {
	out := map[string]uint32{}
	for _, e := range o.Clusters[0].Endpoints {
		if e.takes() {
			out[e.Name] = e.Weight
		}
	}
	return out
}

func TestADrainedEngineIsToldAsDrainingAndTakesNothing(t *testing.T) {
	a, b := engine(1), engine(2)
	b.Drains = true
	o := Look(fleet(a, b))
	assert.Equal(t, Draining, o.Clusters[0].Endpoints[1].Health)
	assert.Equal(t, map[string]uint32{"e-1": 128}, weights(o))
}

func TestACrowdedEngineGetsLessAndOneSetAsideNothingUnlessMostAre(t *testing.T) {
	a, b, c := engine(1), engine(2), engine(3)
	b.Threads = 3
	c.Aside = true
	assert.Equal(t, map[string]uint32{"e-1": 128, "e-2": 64}, weights(Look(fleet(a, b, c))))
	a.Aside, b.Aside = true, true
	assert.Len(t, weights(Look(fleet(a, b, c))), 3, "all failing is more likely the network")
}

func TestWhereOnlyColdOnesAreTheRestIsNotLetIn(t *testing.T) {
	a := engine(1)
	a.StartHeardAt = 999
	f := fleet(a)
	f.Work = 100
	r := Look(f).Routes[0]
	assert.InDelta(t, 0.9*0.85*0.35*8/100, r.Admit, 1e-9)
}

func TestRetriesOnlyOfWhatIsRepeatableAndWithinTheLimit(t *testing.T) {
	f := fleet(engine(1))
	f.Groups = []Group{{Name: "a", Repeatable: true, Limit: 4, Keep: 1}, {Name: "b", Limit: 4, Keep: 1}, {Name: "c", Repeatable: true, Limit: 4, Timeout: 1.5, Keep: 1},
		{Name: "d", Repeatable: true, Limit: 4, Dispatches: 2, Keep: 0.5}}
	var got []any
	for _, r := range Look(f).Routes {
		got = append(got, r.Retries, r.Admit)
	}
	assert.Equal(t, []any{2, 1.0, 0, 1.0, 1, 1.0, 1, 0.5}, got)
}

func TestGroupsThatArePlacedAlikeShareACluster(t *testing.T) {
	a, b := engine(1), engine(2)
	b.Zone = "yard"
	f := fleet(a, b)
	f.Groups = []Group{{Name: "lookup", Keep: 1}, {Name: "report", Keep: 1, Zones: []string{"yard"}}, {Name: "upload", Keep: 1}}
	o := Look(f)
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
			e.Threads = rapid.Float64Range(-1, 6).Draw(t, "threads")
			e.Aside, e.Drains = rapid.IntRange(0, 5).Draw(t, "aside") == 0, rapid.IntRange(0, 5).Draw(t, "drains") == 0
			if rapid.Bool().Draw(t, "cold") {
				e.StartHeardAt = 1000 - rapid.Float64Range(0, 20).Draw(t, "age")
			}
			all = append(all, e)
		}
		f := fleet(all...)
		f.Work = rapid.Float64Range(0.1, 300).Draw(t, "work")
		o := Look(f)
		sum := 0.0
		for _, w := range weights(o) {
			sum += float64(w)
		}
		for i, e := range f.Engines {
			w, takes := weights(o)[e.Name]
			if !takes {
				continue
			}
			require.False(t, e.Drains)
			if sent := f.Work * o.Routes[0].Admit * float64(w) / sum; f.cold(&f.Engines[i]) {
				require.Less(t, sent, rules.FallMultiple*rules.ColdFrom*e.Cores, "%s of %v", e.Name, weights(o))
			}
		}
	})
}

func TestABeliefThatMovesALittleIsNoNews(t *testing.T) {
	a, b := engine(1), engine(2)
	a.Threads, b.Threads = 2, 2.6
	one := Look(fleet(a, b))
	b.Threads = 2.65
	assert.True(t, same(one, Look(fleet(b, a))), "nor is the order")
}
