package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRoutesShareConcurrencyLimitFairly(t *testing.T) {
	c := &ConcurrencyLimit{Name: "c", PerRouter: 4}
	a, b := &Route{Name: "a", Concurrency: c}, &Route{Name: "b", Concurrency: c}
	NewTable([]*Route{a, b})
	for range 4 { // alone, one has it all
		require.True(t, a.HasCapacity(0))
		a.CountUsage(0, 1, 0)
	}
	assert.False(t, a.HasCapacity(0))
	b.CountUsage(0, 0, 1) // the other comes: what ends goes to it first
	a.CountUsage(0, -1, 0)
	assert.False(t, a.HasCapacity(0))
	assert.True(t, b.HasCapacity(0))
	b.CountUsage(0, 1, -1)
	assert.False(t, b.HasCapacity(0), "four are out")
}

// However routes come and go, no more is out than the bound, and none is kept out while there is room for it alone.
func TestConcurrencyLimitIsNeitherExceededNorLeftUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &ConcurrencyLimit{Name: "c", PerRouter: rapid.IntRange(1, 6).Draw(t, "fleet")}
		routes := []*Route{{Name: "a", Concurrency: c}, {Name: "b", Concurrency: c}, {Name: "c", Concurrency: c}}
		NewTable(routes)
		out, held := [3]int{}, [3]int{}
		for range 200 {
			i := rapid.IntRange(0, 2).Draw(t, "route")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				held[i]++
				routes[i].CountUsage(0, 0, 1)
			case 1:
				if held[i] > 0 && routes[i].HasCapacity(0) {
					held[i]--
					out[i]++
					routes[i].CountUsage(0, 1, -1)
				}
			case 2:
				if out[i] > 0 {
					out[i]--
					routes[i].CountUsage(0, -1, 0)
				}
			}
			sum, waits, room := 0, false, false
			for k, r := range routes {
				sum += out[k]
				waits = waits || held[k] > 0
				room = room || held[k] > 0 && r.HasCapacity(0)
			}
			require.LessOrEqual(t, sum, c.PerRouter)
			require.Equal(t, waits && sum < c.PerRouter, room, "with room, one of those that wait may go")
		}
	})
}

func TestLoweredLimitCountsDispatchesFromBeforeReload(t *testing.T) {
	old := &Route{Name: "a", Concurrency: &ConcurrencyLimit{Name: "c", PerRouter: 4}, Budget: &RetryBudget{Name: "b", FreeRetries: 1, Window: 10}}
	before := NewTable([]*Route{old})
	for range 3 {
		old.CountUsage(0, 1, 0)
	}
	old.CountRetry(100)
	next := &Route{Name: "a", Concurrency: &ConcurrencyLimit{Name: "c", PerRouter: 2}, Budget: &RetryBudget{Name: "b", FreeRetries: 1, Window: 10}}
	after := NewTable([]*Route{next})
	after.CarryOver(before)
	assert.False(t, next.HasCapacity(0))
	assert.False(t, next.MayRetrySoon(100.5), "a reload is no way round a budget")
	old.CountUsage(0, -1, 0)
	old.CountUsage(0, -1, 0)
	assert.True(t, next.HasCapacity(0))
	other := NewTable([]*Route{{Name: "a", Budget: &RetryBudget{Name: "b", FreeRetries: 1, Window: 20}}})
	other.CarryOver(after)
	assert.True(t, other.Routes[0].MayRetrySoon(100.5), "another window is another budget")
}

func TestHedgesStayWithinTheirRatio(t *testing.T) {
	r := &Route{Hedging: &HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.1}}
	sent := 0
	for i := range 1000 {
		now := 100 + float64(i)/100
		r.CountBatch(now)
		if r.MayHedge(now) {
			r.CountHedge(now)
			sent++
		}
	}
	assert.InDelta(t, 100, sent, 2)
	assert.False(t, (*Route)(nil).MayHedge(1))
}

// An engine that takes so much longer the more is out beyond its cores: the limit finds about what it can do,
// gives way when it gets slower, and comes back.
func TestAdaptiveLimitFollowsEngineSpeed(t *testing.T) {
	for _, kind := range []string{"aimd"} {
		a := AdaptiveSettings{Kind: kind}.New()
		now := 0.0
		play := func(cores float64, rounds int) {
			for range rounds {
				out := int(a.Limit())
				took := 0.1 * max(1, float64(out)/cores)
				for range out {
					now += took / float64(out)
					a.Observe(Sample{Now: now, Elapsed: took, Unloaded: 0.1, InFlight: out})
				}
			}
		}
		play(16, 400)
		wide := a.Limit()
		assert.Greater(t, wide, 16.0, kind)
		assert.Less(t, wide, 90.0, kind)
		play(4, 400)
		narrow := a.Limit()
		assert.Less(t, narrow, 0.6*wide, kind)
		assert.GreaterOrEqual(t, narrow, 3.0, kind)
		play(16, 800)
		assert.Greater(t, a.Limit(), 1.3*narrow, kind)
	}
}

func TestAdaptiveLimitStaysWithinMinAndMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := AdaptiveSettings{Kind: "aimd", Min: 2, Max: 20}
		a := s.New()
		now := 0.0
		for range 300 {
			now += rapid.Float64Range(0, 1).Draw(t, "later")
			a.Observe(Sample{Now: now, Elapsed: rapid.Float64Range(0, 1e4).Draw(t, "took"), Unloaded: rapid.Float64Range(0, 100).Draw(t, "alone"),
				InFlight: rapid.IntRange(0, 100).Draw(t, "out"), Failed: rapid.Bool().Draw(t, "bad")})
			require.GreaterOrEqual(t, a.Limit(), 2.0)
			require.LessOrEqual(t, a.Limit(), 20.0)
		}
	})
}

// An idle engine's limit does not grow: it would bound nothing when the crowd comes.
func TestUnusedAdaptiveLimitDoesNotRise(t *testing.T) {
	for kind := range AdaptiveKinds {
		a := AdaptiveSettings{Kind: kind}.New()
		for i := range 2000 {
			a.Observe(Sample{Now: float64(i), Elapsed: 0.1, Unloaded: 0.1, InFlight: 1})
		}
		assert.LessOrEqual(t, a.Limit(), 8.0, kind)
	}
}

func BenchmarkBounds(b *testing.B) {
	var routes []*Route
	c := &ConcurrencyLimit{Name: "c", PerRouter: 1 << 20, PerEngine: 8}
	budget := &RetryBudget{Name: "b", FreeRetries: 1e6, Window: 10}
	for i := range 1000 {
		routes = append(routes, &Route{Name: string(rune(i)), Pattern: Fields{Group: "report", Client: string(rune('a' + i))}, Budget: budget,
			Hedging: &HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.05}})
	}
	routes[500].Concurrency = c
	t := NewTable(routes)
	f := Fields{Group: "report", Client: string(rune('a' + 500))}
	a := AdaptiveSettings{Kind: "aimd"}.New()
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 1e-4
		r := t.Find(&f)
		r.CountBatch(now)
		r.CountUsage(0, 0, 1)
		if r.HasCapacity(0) && r.HasEngineCapacity(1) && r.AllowsEngineKind(0) && r.MayRetrySoon(now) && !r.MayHedge(-1) {
			r.CountUsage(0, 1, -1)
		}
		a.Observe(Sample{Now: now, Elapsed: 0.1, Unloaded: 0.1, InFlight: 3})
		r.CountUsage(0, -1, 0)
	}
}
