package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRoutesThatShareABoundEachHaveTheirPartAndLeaveNoneUnused(t *testing.T) {
	c := &Concurrency{Name: "c", Fleet: 4}
	a, b := &Route{Name: "a", Concurrency: c}, &Route{Name: "b", Concurrency: c}
	NewTable([]*Route{a, b})
	for range 4 { // alone, one has it all
		require.True(t, a.Room(0))
		a.Uses(0, 1, 0)
	}
	assert.False(t, a.Room(0))
	b.Uses(0, 0, 1) // the other comes: what ends goes to it first
	a.Uses(0, -1, 0)
	assert.False(t, a.Room(0))
	assert.True(t, b.Room(0))
	b.Uses(0, 1, -1)
	assert.False(t, b.Room(0), "four are out")
}

// However routes come and go, no more is out than the bound, and none is kept out while there is room for it alone.
func TestABoundIsNeverPassedNorLeftUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Concurrency{Name: "c", Fleet: rapid.IntRange(1, 6).Draw(t, "fleet")}
		routes := []*Route{{Name: "a", Concurrency: c}, {Name: "b", Concurrency: c}, {Name: "c", Concurrency: c}}
		NewTable(routes)
		out, held := [3]int{}, [3]int{}
		for range 200 {
			i := rapid.IntRange(0, 2).Draw(t, "route")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				held[i]++
				routes[i].Uses(0, 0, 1)
			case 1:
				if held[i] > 0 && routes[i].Room(0) {
					held[i]--
					out[i]++
					routes[i].Uses(0, 1, -1)
				}
			case 2:
				if out[i] > 0 {
					out[i]--
					routes[i].Uses(0, -1, 0)
				}
			}
			sum, waits, room := 0, false, false
			for k, r := range routes {
				sum += out[k]
				waits = waits || held[k] > 0
				room = room || held[k] > 0 && r.Room(0)
			}
			require.LessOrEqual(t, sum, c.Fleet)
			require.Equal(t, waits && sum < c.Fleet, room, "with room, one of those that wait may go")
		}
	})
}

func TestALoweredBoundCountsWhatIsOutFromBefore(t *testing.T) {
	old := &Route{Name: "a", Concurrency: &Concurrency{Name: "c", Fleet: 4}, Budget: &Budget{Name: "b", Free: 1, Window: 10}}
	before := NewTable([]*Route{old})
	for range 3 {
		old.Uses(0, 1, 0)
	}
	old.Again(100)
	next := &Route{Name: "a", Concurrency: &Concurrency{Name: "c", Fleet: 2}, Budget: &Budget{Name: "b", Free: 1, Window: 10}}
	after := NewTable([]*Route{next})
	after.Adopt(before)
	assert.False(t, next.Room(0))
	assert.False(t, next.May(100.5), "a reload is no way round a budget")
	old.Uses(0, -1, 0)
	old.Uses(0, -1, 0)
	assert.True(t, next.Room(0))
	other := NewTable([]*Route{{Name: "a", Budget: &Budget{Name: "b", Free: 1, Window: 20}}})
	other.Adopt(after)
	assert.True(t, other.Routes[0].May(100.5), "another window is another budget")
}

func TestAShareOfCopiesIsKept(t *testing.T) {
	r := &Route{Copies: &Copies{After: 0.9, Share: 0.1}}
	sent := 0
	for i := range 1000 {
		now := 100 + float64(i)/100
		r.Took(now)
		if r.MayCopy(now) {
			r.Copied(now)
			sent++
		}
	}
	assert.InDelta(t, 100, sent, 2)
	assert.False(t, (*Route)(nil).MayCopy(1))
}

// An engine that takes so much longer the more is out beyond its cores: the limit finds about what it can do,
// gives way when it gets slower, and comes back.
func TestAdaptiveLimitsFollowAnEngineThatGetsSlowerAndBack(t *testing.T) {
	for _, kind := range []string{"aimd"} {
		a := AdaptiveSettings{Kind: kind}.New()
		now := 0.0
		play := func(cores float64, rounds int) {
			for range rounds {
				out := int(a.Limit())
				took := 0.1 * max(1, float64(out)/cores)
				for range out {
					now += took / float64(out)
					a.Ended(Sample{Now: now, Took: took, Alone: 0.1, Out: out})
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

func TestAnAdaptiveLimitStaysInItsBoundsWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := AdaptiveSettings{Kind: "aimd", Least: 2, Most: 20}
		a := s.New()
		now := 0.0
		for range 300 {
			now += rapid.Float64Range(0, 1).Draw(t, "later")
			a.Ended(Sample{Now: now, Took: rapid.Float64Range(0, 1e4).Draw(t, "took"), Alone: rapid.Float64Range(0, 100).Draw(t, "alone"),
				Out: rapid.IntRange(0, 100).Draw(t, "out"), Bad: rapid.Bool().Draw(t, "bad")})
			require.GreaterOrEqual(t, a.Limit(), 2.0)
			require.LessOrEqual(t, a.Limit(), 20.0)
		}
	})
}

// An idle engine's limit does not grow: it would bound nothing when the crowd comes.
func TestWhatDoesNotBindDoesNotRise(t *testing.T) {
	for kind := range AdaptiveKinds {
		a := AdaptiveSettings{Kind: kind}.New()
		for i := range 2000 {
			a.Ended(Sample{Now: float64(i), Took: 0.1, Alone: 0.1, Out: 1})
		}
		assert.LessOrEqual(t, a.Limit(), 8.0, kind)
	}
}

func BenchmarkBounds(b *testing.B) {
	var routes []*Route
	c := &Concurrency{Name: "c", Fleet: 1 << 20, Engine: 8}
	budget := &Budget{Name: "b", Free: 1e6, Window: 10}
	for i := range 1000 {
		routes = append(routes, &Route{Name: string(rune(i)), Match: Fields{Group: "report", Client: string(rune('a' + i))}, Budget: budget,
			Copies: &Copies{After: 0.9, Share: 0.05}})
	}
	routes[500].Concurrency = c
	t := NewTable(routes)
	f := Fields{Group: "report", Client: string(rune('a' + 500))}
	a := AdaptiveSettings{Kind: "aimd"}.New()
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 1e-4
		r := t.Find(&f)
		r.Took(now)
		r.Uses(0, 0, 1)
		if r.Room(0) && r.RoomAt(1) && r.Goes(0) && r.May(now) && !r.MayCopy(-1) {
			r.Uses(0, 1, -1)
		}
		a.Ended(Sample{Now: now, Took: 0.1, Alone: 0.1, Out: 3})
		r.Uses(0, -1, 0)
	}
}
