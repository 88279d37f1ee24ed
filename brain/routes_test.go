package brain

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
)

// copying gives a world whose look-ups have a route with second copies, and some of them taken already.
func copying(t *testing.T, edit func(*Settings, *limits.Copies)) (*host, []*Engine, *limits.Route) {
	s := settings(lookups())
	s.MayCancel, s.MayHedge = true, true
	r := &limits.Route{Name: "r", Copies: &limits.Copies{After: 0.9, Share: 0.2}}
	if edit != nil {
		edit(&s, r.Copies)
	}
	limits.NewTable([]*limits.Route{r})
	h, list := newHost(t, s, 3)
	for range 10 {
		h.end(h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r }), Completed)
	}
	h.load = 0
	return h, list, r
}

func (h *host) endOf(b *Batch, number int, end Outcome) {
	d := b.dispatches[number]
	h.DispatchEnded(b, number, end, end == Completed, h.now-d.sentAt, b.EstimatedWork, 0, nil)
	h.pull()
}

func TestASecondCopyGoesElsewhereAndTheLoserIsGivenUp(t *testing.T) {
	for first, loser := range []int{1, 0} {
		h, _, r := copying(t, nil)
		b := h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		h.pass(0.1)
		require.Len(t, h.of(Dispatch, b), 1, "not late yet")
		h.pass(0.3)
		sent := h.of(Dispatch, b)
		require.Len(t, sent, 2)
		assert.NotSame(t, sent[0].Engine, sent[1].Engine)
		h.pass(0.3)
		require.Len(t, h.of(Dispatch, b), 2, "never a third beside two")
		h.endOf(b, first, Completed)
		require.Len(t, h.of(Cancel, b), 1)
		assert.Equal(t, loser, h.of(Cancel, b)[0].Number)
		h.endOf(b, loser, Canceled)
		h.pass(4)
		assert.Len(t, h.of(Dispatch, b), 2)
		assert.Empty(t, append(h.of(Reject, b), h.of(Fail, b)...), "it is answered already")
	}
}

// Whatever becomes of one copy, the other goes on; one more may go beside it, never two.
func TestAnEndOfOneCopyLeavesTheOther(t *testing.T) {
	for _, end := range []Outcome{Errored, Rejected, TimedOut, ConnectFailed, ConnectionLost, Canceled, NotSent} {
		for number := range 2 {
			h, _, r := copying(t, nil)
			b := h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
			h.pass(0.4)
			require.Len(t, h.of(Dispatch, b), 2)
			h.endOf(b, number, end)
			h.pass(0.2)
			assert.LessOrEqual(t, b.InFlight, 2, "%d of copy %d", end, number)
			assert.Empty(t, append(h.of(Reject, b), h.of(Fail, b)...), "the other may still bring it")
			h.endOf(b, 1-number, Errored)
			h.pass(0.5)
			require.LessOrEqual(t, len(h.of(Dispatch, b)), 3)
			if len(h.of(Dispatch, b)) == 3 {
				h.endOf(b, 2, Errored)
			}
			h.pass(4)
			assert.Len(t, append(h.of(Reject, b), h.of(Fail, b)...), 1, "one final answer")
		}
	}
}

func TestNoSecondCopyWhereItCouldDoHarm(t *testing.T) {
	for name, edit := range map[string]func(*Settings, *limits.Copies){
		"the platform forbids them": func(s *Settings, _ *limits.Copies) { s.MayHedge = false },
		"referenced": func(s *Settings, _ *limits.Copies) {
			s.Groups[0].Idempotency, s.Groups[0].DedupWindow = Deduplicated, 60
		},
		"once-only":          func(s *Settings, _ *limits.Copies) { s.Groups[0].Idempotency = AtMostOnce },
		"no dispatch left":   func(s *Settings, _ *limits.Copies) { s.MaxDispatches = 1 },
		"no budget":          func(s *Settings, _ *limits.Copies) { s.LimitRetries, s.RetryWindow = true, 10 },
		"the share is spent": func(_ *Settings, c *limits.Copies) { c.Share = 0.05 },
	} {
		h, _, r := copying(t, edit)
		b := h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		h.pass(0.4)
		assert.Len(t, h.of(Dispatch, b), 1, name)
	}
	for name, edit := range map[string]func(*host){
		"a level":        func(h *host) { h.SetReducedService(ReducedService{GiveUpFactor: 2}) },
		"a full fleet":   func(h *host) { h.averageLoad.threads = 1; h.averageLoadAt = 1e9; h.load = 0.9 },
		"rows have left": func(h *host) { h.engines[0].inFlight, h.engines[1].inFlight, h.engines[2].inFlight = streaming(h) },
	} {
		h, _, r := copying(t, nil)
		b := h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		edit(h)
		h.pass(0.4)
		assert.Len(t, h.of(Dispatch, b), 1, name)
	}
}

// streaming marks all that is out as begun to be passed on.
func streaming(h *host) (a, b, c []*dispatch) {
	for _, e := range h.engines {
		for _, d := range e.inFlight {
			d.batch.Streaming = true
		}
	}
	return h.engines[0].inFlight, h.engines[1].inFlight, h.engines[2].inFlight
}

func TestACopyKeepsToAnotherZoneAndOffADrainedEngine(t *testing.T) {
	h, list, r := copying(t, func(_ *Settings, c *limits.Copies) { c.Zone = true })
	for _, e := range list {
		e.Zone = 0
	}
	b := h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
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
	b = h.take(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
	for _, e := range list { // a drain between the copies
		e.Phase = Draining
	}
	h.UpdateEngines(list, true)
	h.pass(0.4)
	assert.Len(t, h.of(Dispatch, b), 1)
}

func TestAConcurrencyHoldsBackPushesBackOrErrs(t *testing.T) {
	for bound, want := range map[limits.Bound][3]int{limits.Wait: {2, 0, 0}, limits.PushBack: {2, 1, 0}, limits.Refuse: {2, 0, 1}} {
		h, _ := newHost(t, settings(lookups()), 3)
		r := &limits.Route{Name: "r", Concurrency: &limits.Concurrency{Name: "c", Fleet: 2, AtBound: bound}}
		limits.NewTable([]*limits.Route{r})
		var all []*Batch
		for range 3 {
			all = append(all, h.take(func(b *Batch) { b.Route = r }))
		}
		assert.Equal(t, want, [3]int{len(h.of(Dispatch, nil)), len(h.of(Reject, nil)), len(h.of(Fail, nil))}, bound.String())
		h.end(all[0], Completed)
		h.pass(0.3)
		assert.Len(t, h.of(Dispatch, all[2]), map[limits.Bound]int{limits.Wait: 1}[bound], bound.String())
		free := h.take(nil)
		assert.Len(t, h.of(Dispatch, free), 1, "others are not held up")
	}
}

func TestAConcurrencyAtOneEngineSendsElsewhere(t *testing.T) {
	h, list := newHost(t, settings(lookups()), 3)
	r := &limits.Route{Name: "r", Concurrency: &limits.Concurrency{Name: "c", Engine: 1}}
	limits.NewTable([]*limits.Route{r})
	for range 4 {
		h.take(func(b *Batch) { b.Route = r })
	}
	assert.Len(t, h.of(Dispatch, nil), 3)
	for _, e := range list {
		assert.Len(t, e.inFlight, 1)
	}
}

// fixed is an adaptive limit that learns nothing.
type fixed struct {
	limit float64
	told  []limits.Sample
}

func (f *fixed) Limit() float64        { return f.limit }
func (f *fixed) Ended(s limits.Sample) { f.told = append(f.told, s) }

func TestAnAdaptiveLimitBoundsItsEngineAndIsToldOfEnds(t *testing.T) {
	h, list := newHost(t, settings(lookups()), 2)
	one, two := &fixed{limit: 1}, &fixed{limit: 2}
	list[0].ConcurrencyLimit, list[1].ConcurrencyLimit = one, two
	var all []*Batch
	for range 5 {
		all = append(all, h.take(nil))
	}
	assert.Len(t, h.of(Dispatch, nil), 3)
	assert.Len(t, list[0].inFlight, 1)
	h.pass(0.1)
	for _, b := range all {
		if len(b.dispatches) > 0 && b.dispatches[0].engine == list[0] {
			h.end(b, Completed)
			require.Len(t, one.told, 1)
			assert.Equal(t, limits.Sample{Now: h.now, Took: h.now - 100, Alone: 0.1, Out: 1}, one.told[0])
			break
		}
	}
	assert.Empty(t, two.told)
}
