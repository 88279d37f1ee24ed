package brain

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
)

// copying gives a world whose look-ups have a route with second copies, and some of them taken already.
func copying(t *testing.T, edit func(*Settings, *limits.HedgePolicy)) (*host, []*Engine, *limits.Route) {
	s := settings(lookups())
	s.MayCancel, s.MayCopy = true, true
	r := &limits.Route{Name: "r", Hedging: &limits.HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.2}}
	if edit != nil {
		edit(&s, r.Hedging)
	}
	limits.NewTable([]*limits.Route{r})
	h, list := newHost(t, s, 3)
	for range 10 {
		h.end(h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r }), Returned)
	}
	h.load = 0
	return h, list, r
}

func (h *host) endOf(b *Batch, number int, end Ending) {
	d := b.dispatches[number]
	h.Outcome(b, number, end, end == Returned, h.now-d.sent, b.Cost, 0, nil)
	h.pull()
}

func TestASecondCopyGoesElsewhereAndTheLoserIsGivenUp(t *testing.T) {
	for first, loser := range []int{1, 0} {
		h, _, r := copying(t, nil)
		b := h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
		h.pass(0.1)
		require.Len(t, h.of(Dispatch, b), 1, "not late yet")
		h.pass(0.3)
		sent := h.of(Dispatch, b)
		require.Len(t, sent, 2)
		assert.NotSame(t, sent[0].Engine, sent[1].Engine)
		h.pass(0.3)
		require.Len(t, h.of(Dispatch, b), 2, "never a third beside two")
		h.endOf(b, first, Returned)
		require.Len(t, h.of(Cancel, b), 1)
		assert.Equal(t, loser, h.of(Cancel, b)[0].Number)
		h.endOf(b, loser, Withdrawn)
		h.pass(4)
		assert.Len(t, h.of(Dispatch, b), 2)
		assert.Empty(t, append(h.of(PushBack, b), h.of(Fail, b)...), "it is answered already")
	}
}

// Whatever becomes of one copy, the other goes on; one more may go beside it, never two.
func TestAnEndOfOneCopyLeavesTheOther(t *testing.T) {
	for _, end := range []Ending{Errored, TurnedAway, TimedOut, Unconnected, Broken, Withdrawn, NotSent} {
		for number := range 2 {
			h, _, r := copying(t, nil)
			b := h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
			h.pass(0.4)
			require.Len(t, h.of(Dispatch, b), 2)
			h.endOf(b, number, end)
			h.pass(0.2)
			assert.LessOrEqual(t, b.Out, 2, "%d of copy %d", end, number)
			assert.Empty(t, append(h.of(PushBack, b), h.of(Fail, b)...), "the other may still bring it")
			h.endOf(b, 1-number, Errored)
			h.pass(0.5)
			require.LessOrEqual(t, len(h.of(Dispatch, b)), 3)
			if len(h.of(Dispatch, b)) == 3 {
				h.endOf(b, 2, Errored)
			}
			h.pass(4)
			assert.Len(t, append(h.of(PushBack, b), h.of(Fail, b)...), 1, "one final answer")
		}
	}
}

func TestNoSecondCopyWhereItCouldDoHarm(t *testing.T) {
	for name, edit := range map[string]func(*Settings, *limits.HedgePolicy){
		"the platform forbids them": func(s *Settings, _ *limits.HedgePolicy) { s.MayCopy = false },
		"referenced":                func(s *Settings, _ *limits.HedgePolicy) { s.Groups[0].Effect, s.Groups[0].Window = Referenced, 60 },
		"once-only":                 func(s *Settings, _ *limits.HedgePolicy) { s.Groups[0].Effect = OnceOnly },
		"no dispatch left":          func(s *Settings, _ *limits.HedgePolicy) { s.MostDispatches = 1 },
		"no budget":                 func(s *Settings, _ *limits.HedgePolicy) { s.Rationed, s.FurtherWindow = true, 10 },
		"the share is spent":        func(_ *Settings, c *limits.HedgePolicy) { c.MaxRatio = 0.05 },
	} {
		h, _, r := copying(t, edit)
		b := h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
		h.pass(0.4)
		assert.Len(t, h.of(Dispatch, b), 1, name)
	}
	for name, edit := range map[string]func(*host){
		"a level":        func(h *host) { h.Reduce(Reduced{Early: 2}) },
		"a full fleet":   func(h *host) { h.common.threads = 1; h.commonAt = 1e9; h.load = 0.9 },
		"rows have left": func(h *host) { h.engines[0].outs, h.engines[1].outs, h.engines[2].outs = streaming(h) },
	} {
		h, _, r := copying(t, nil)
		b := h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
		edit(h)
		h.pass(0.4)
		assert.Len(t, h.of(Dispatch, b), 1, name)
	}
}

// streaming marks all that is out as begun to be passed on.
func streaming(h *host) (a, b, c []*dispatch) {
	for _, e := range h.engines {
		for _, d := range e.outs {
			d.batch.Streams = true
		}
	}
	return h.engines[0].outs, h.engines[1].outs, h.engines[2].outs
}

func TestACopyKeepsToAnotherZoneAndOffADrainedEngine(t *testing.T) {
	h, list, r := copying(t, func(_ *Settings, c *limits.HedgePolicy) { c.OtherZone = true })
	for _, e := range list {
		e.Zone = 0
	}
	b := h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
	h.pass(0.4)
	require.Len(t, h.of(Dispatch, b), 1, "all are in one zone")
	for _, e := range list {
		if e != h.of(Dispatch, b)[0].Engine {
			e.Zone = 1
		}
	}
	h.pass(0.2)
	require.Len(t, h.of(Dispatch, b), 2)

	h, list, r = copying(t, nil)
	b = h.take(func(b *Batch) { b.Cost, b.Route = 0.02, r })
	for _, e := range list { // a drain between the copies
		e.Phase = Draining
	}
	h.Listed(list, true)
	h.pass(0.4)
	assert.Len(t, h.of(Dispatch, b), 1)
}

func TestAConcurrencyHoldsBackPushesBackOrErrs(t *testing.T) {
	for bound, want := range map[limits.LimitAction][3]int{limits.QueueBatch: {2, 0, 0}, limits.RejectBatch: {2, 1, 0}, limits.FailBatch: {2, 0, 1}} {
		h, _ := newHost(t, settings(lookups()), 3)
		r := &limits.Route{Name: "r", Concurrency: &limits.ConcurrencyLimit{Name: "c", PerRouter: 2, OnLimit: bound}}
		limits.NewTable([]*limits.Route{r})
		var all []*Batch
		for range 3 {
			all = append(all, h.take(func(b *Batch) { b.Route = r }))
		}
		assert.Equal(t, want, [3]int{len(h.of(Dispatch, nil)), len(h.of(PushBack, nil)), len(h.of(Fail, nil))}, bound.String())
		h.end(all[0], Returned)
		h.pass(0.3)
		assert.Len(t, h.of(Dispatch, all[2]), map[limits.LimitAction]int{limits.QueueBatch: 1}[bound], bound.String())
		free := h.take(nil)
		assert.Len(t, h.of(Dispatch, free), 1, "others are not held up")
	}
}

func TestAConcurrencyAtOneEngineSendsElsewhere(t *testing.T) {
	h, list := newHost(t, settings(lookups()), 3)
	r := &limits.Route{Name: "r", Concurrency: &limits.ConcurrencyLimit{Name: "c", PerEngine: 1}}
	limits.NewTable([]*limits.Route{r})
	for range 4 {
		h.take(func(b *Batch) { b.Route = r })
	}
	assert.Len(t, h.of(Dispatch, nil), 3)
	for _, e := range list {
		assert.Len(t, e.outs, 1)
	}
}

// fixed is an adaptive limit that learns nothing.
type fixed struct {
	limit float64
	told  []limits.Sample
}

func (f *fixed) Limit() float64          { return f.limit }
func (f *fixed) Observe(s limits.Sample) { f.told = append(f.told, s) }

func TestAnAdaptiveLimitBoundsItsEngineAndIsToldOfEnds(t *testing.T) {
	h, list := newHost(t, settings(lookups()), 2)
	one, two := &fixed{limit: 1}, &fixed{limit: 2}
	list[0].Limit, list[1].Limit = one, two
	var all []*Batch
	for range 5 {
		all = append(all, h.take(nil))
	}
	assert.Len(t, h.of(Dispatch, nil), 3)
	assert.Len(t, list[0].outs, 1)
	h.pass(0.1)
	for _, b := range all {
		if len(b.dispatches) > 0 && b.dispatches[0].engine == list[0] {
			h.end(b, Returned)
			require.Len(t, one.told, 1)
			assert.Equal(t, limits.Sample{Now: h.now, Elapsed: h.now - 100, Unloaded: 0.1, InFlight: 1}, one.told[0])
			break
		}
	}
	assert.Empty(t, two.told)
}
