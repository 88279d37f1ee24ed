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
	for range 4 { // alone, a route may use the whole limit
		require.True(t, a.HasCapacity(0))
		a.CountUsage(0, 1, 0)
	}
	assert.False(t, a.HasCapacity(0))
	b.CountUsage(0, 0, 1) // once the other route has a batch queued, freed capacity goes to it first
	a.CountUsage(0, -1, 0)
	assert.False(t, a.HasCapacity(0))
	assert.True(t, b.HasCapacity(0))
	b.CountUsage(0, 1, -1)
	assert.False(t, b.HasCapacity(0), "four are in flight")
}

// Under any order of arrivals, dispatches and ends, no more dispatches are in flight than the limit allows, and some route
// with queued batches may send as long as the limit is not reached.
func TestConcurrencyLimitIsNeitherExceededNorLeftUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &ConcurrencyLimit{Name: "c", PerRouter: rapid.IntRange(1, 6).Draw(t, "fleet")}
		routes := []*Route{{Name: "a", Concurrency: c}, {Name: "b", Concurrency: c}, {Name: "c", Concurrency: c}}
		NewTable(routes)
		inFlight, queued := [3]int{}, [3]int{}
		for range 200 {
			i := rapid.IntRange(0, 2).Draw(t, "route")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				queued[i]++
				routes[i].CountUsage(0, 0, 1)
			case 1:
				if queued[i] > 0 && routes[i].HasCapacity(0) {
					queued[i]--
					inFlight[i]++
					routes[i].CountUsage(0, 1, -1)
				}
			case 2:
				if inFlight[i] > 0 {
					inFlight[i]--
					routes[i].CountUsage(0, -1, 0)
				}
			}
			total, anyQueued, anyMaySend := 0, false, false
			for k, r := range routes {
				total += inFlight[k]
				anyQueued = anyQueued || queued[k] > 0
				anyMaySend = anyMaySend || queued[k] > 0 && r.HasCapacity(0)
			}
			require.LessOrEqual(t, total, c.PerRouter)
			require.Equal(t, anyQueued && total < c.PerRouter, anyMaySend, "below the limit, one of the queued batches may be sent")
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
	assert.False(t, next.MayRetrySoon(100.5), "a reload does not refill a budget")
	old.CountUsage(0, -1, 0)
	old.CountUsage(0, -1, 0)
	assert.True(t, next.HasCapacity(0))
	other := NewTable([]*Route{{Name: "a", Budget: &RetryBudget{Name: "b", FreeRetries: 1, Window: 20}}})
	other.CarryOver(after)
	assert.True(t, other.Routes[0].MayRetrySoon(100.5), "a budget with another window starts from zero")
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

// The simulated engine gets slower in proportion once more dispatches are in flight than it has cores. The limit must settle
// near the number of cores, fall when cores are lost, and rise again when they return.
func TestAdaptiveLimitFollowsEngineSpeed(t *testing.T) {
	for _, kind := range []string{"aimd"} {
		limit := AdaptiveSettings{Kind: kind}.New()
		now := 0.0
		simulate := func(cores float64, rounds int) {
			for range rounds {
				inFlight := int(limit.Limit())
				elapsed := 0.1 * max(1, float64(inFlight)/cores)
				for range inFlight {
					now += elapsed / float64(inFlight)
					limit.Observe(Sample{Now: now, Elapsed: elapsed, Unloaded: 0.1, InFlight: inFlight})
				}
			}
		}
		simulate(16, 400)
		with16Cores := limit.Limit()
		assert.Greater(t, with16Cores, 16.0, kind)
		assert.Less(t, with16Cores, 90.0, kind)
		simulate(4, 400)
		with4Cores := limit.Limit()
		assert.Less(t, with4Cores, 0.6*with16Cores, kind)
		assert.GreaterOrEqual(t, with4Cores, 3.0, kind)
		simulate(16, 800)
		assert.Greater(t, limit.Limit(), 1.3*with4Cores, kind)
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

// The limit of an idle engine must not grow: it would no longer limit anything when load returns.
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
