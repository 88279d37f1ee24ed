package brain

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
)

// newHedgingHost returns a host whose batches have a route with hedging, after ten of them were completed.
func newHedgingHost(t *testing.T, edit func(*Settings, *limits.HedgePolicy)) (*host, []*Engine, *limits.Route) {
	s := testSettings(lookupGroup())
	s.MayCancel, s.MayHedge = true, true
	r := &limits.Route{Name: "r", Hedging: &limits.HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.2}}
	if edit != nil {
		edit(&s, r.Hedging)
	}
	limits.NewTable([]*limits.Route{r})
	h, list := newHost(t, s, 3)
	for range 10 {
		h.endDispatch(h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r }), Completed)
	}
	h.load = 0
	return h, list, r
}

// endDispatchNumber ends one of the dispatches of a batch.
func (h *host) endDispatchNumber(b *Batch, number int, end Outcome) {
	d := b.dispatches[number]
	h.DispatchEnded(b, number, end, end == Completed, h.now-d.sentAt, b.EstimatedWork, 0, nil)
	h.pullDecisions()
}

func TestHedgeGoesToAnotherEngineAndTheLoserIsCanceled(t *testing.T) {
	for first, loser := range []int{1, 0} {
		h, _, r := newHedgingHost(t, nil)
		b := h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		h.advance(0.1)
		require.Len(t, h.decisions(Dispatch, b), 1, "not overdue yet")
		h.advance(0.3)
		sent := h.decisions(Dispatch, b)
		require.Len(t, sent, 2)
		assert.NotSame(t, sent[0].Engine, sent[1].Engine)
		h.advance(0.3)
		require.Len(t, h.decisions(Dispatch, b), 2, "never three in flight")
		h.endDispatchNumber(b, first, Completed)
		require.Len(t, h.decisions(Cancel, b), 1)
		assert.Equal(t, loser, h.decisions(Cancel, b)[0].Number)
		h.endDispatchNumber(b, loser, Canceled)
		h.advance(4)
		assert.Len(t, h.decisions(Dispatch, b), 2)
		assert.Empty(t, append(h.decisions(Reject, b), h.decisions(Fail, b)...), "it has its answer")
	}
}

// However one copy ends, the other goes on. One more copy may be sent beside it, but never two.
func TestFailureOfOneCopyLeavesTheOther(t *testing.T) {
	for _, end := range []Outcome{Errored, Rejected, TimedOut, ConnectFailed, ConnectionLost, Canceled, NotSent} {
		for number := range 2 {
			h, _, r := newHedgingHost(t, nil)
			b := h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
			h.advance(0.4)
			require.Len(t, h.decisions(Dispatch, b), 2)
			h.endDispatchNumber(b, number, end)
			h.advance(0.2)
			assert.LessOrEqual(t, b.InFlight, 2, "outcome %d of copy %d", end, number)
			assert.Empty(t, append(h.decisions(Reject, b), h.decisions(Fail, b)...), "the other copy may still complete it")
			h.endDispatchNumber(b, 1-number, Errored)
			h.advance(0.5)
			require.LessOrEqual(t, len(h.decisions(Dispatch, b)), 3)
			if len(h.decisions(Dispatch, b)) == 3 {
				h.endDispatchNumber(b, 2, Errored)
			}
			h.advance(4)
			assert.Len(t, append(h.decisions(Reject, b), h.decisions(Fail, b)...), 1, "one final answer")
		}
	}
}

func TestNoHedgeWhereItIsNotAllowed(t *testing.T) {
	for name, edit := range map[string]func(*Settings, *limits.HedgePolicy){
		"the platform forbids them": func(s *Settings, _ *limits.HedgePolicy) { s.MayHedge = false },
		"referenced": func(s *Settings, _ *limits.HedgePolicy) {
			s.Groups[0].Idempotency, s.Groups[0].DedupWindow = Deduplicated, 60
		},
		"once-only":          func(s *Settings, _ *limits.HedgePolicy) { s.Groups[0].Idempotency = AtMostOnce },
		"no dispatch left":   func(s *Settings, _ *limits.HedgePolicy) { s.MaxDispatches = 1 },
		"no budget":          func(s *Settings, _ *limits.HedgePolicy) { s.LimitRetries, s.RetryWindow = true, 10 },
		"the share is spent": func(_ *Settings, c *limits.HedgePolicy) { c.MaxRatio = 0.05 },
	} {
		h, _, r := newHedgingHost(t, edit)
		b := h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		h.advance(0.4)
		assert.Len(t, h.decisions(Dispatch, b), 1, name)
	}
	for name, edit := range map[string]func(*host){
		"a level":        func(h *host) { h.SetReducedService(ReducedService{GiveUpFactor: 2}) },
		"a full fleet":   func(h *host) { h.averageLoad.threads = 1; h.averageLoadAt = 1e9; h.load = 0.9 },
		"rows have left": func(h *host) { h.engines[0].inFlight, h.engines[1].inFlight, h.engines[2].inFlight = markStreaming(h) },
	} {
		h, _, r := newHedgingHost(t, nil)
		b := h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
		edit(h)
		h.advance(0.4)
		assert.Len(t, h.decisions(Dispatch, b), 1, name)
	}
}

// markStreaming marks all batches in flight as being passed on to their clients.
func markStreaming(h *host) (a, b, c []*dispatch) {
	for _, e := range h.engines {
		for _, d := range e.inFlight {
			d.batch.Streaming = true
		}
	}
	return h.engines[0].inFlight, h.engines[1].inFlight, h.engines[2].inFlight
}

// newQueuedHedge returns a host with a batch whose hedge waits for capacity of its route, which other occupies.
func newQueuedHedge(t *testing.T) (h *host, hedged, other *Batch) {
	h, _, r := newHedgingHost(t, nil)
	r.Concurrency = &limits.ConcurrencyLimit{Name: "c", PerRouter: 2, OnLimit: limits.QueueBatch}
	limits.NewTable([]*limits.Route{r})
	hedged = h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
	other = h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 20, r })
	require.Equal(t, [2]int{1, 1}, [2]int{hedged.InFlight, other.InFlight})
	h.advance(0.4)
	require.Contains(t, h.queue, hedged, "the hedge waits")
	return h, hedged, other
}

// A hedge that waits must be dropped when its condition ends. It was sent after rows of the first dispatch had been passed on to the
// client, and the rows of two dispatches met.
func TestQueuedHedgeIsDroppedWhenItsConditionEnds(t *testing.T) {
	for name, edit := range map[string]func(*host, *Batch){
		"rows have left":     func(_ *host, b *Batch) { b.Streaming = true },
		"a level":            func(h *host, _ *Batch) { h.SetReducedService(ReducedService{GiveUpFactor: 2}) },
		"the share is spent": func(h *host, b *Batch) { b.Route.CountHedge(h.now); b.Route.CountHedge(h.now) },
		"":                   func(*host, *Batch) {},
	} {
		h, hedged, other := newQueuedHedge(t)
		edit(h, hedged)
		h.endDispatch(other, Completed)
		h.advance(0.5)
		want := 1
		if name == "" {
			want = 2
		}
		assert.Len(t, h.decisions(Dispatch, hedged), want, name)
		assert.Equal(t, name == "", hedged.InFlight == 2, name)
		h.endDispatchNumber(hedged, 0, Completed)
		h.advance(4)
		assert.Empty(t, append(h.decisions(Reject, hedged), h.decisions(Fail, hedged)...), name)
	}
}

func TestHedgeGoesToAnotherZoneAndNotToADrainingEngine(t *testing.T) {
	h, list, r := newHedgingHost(t, func(_ *Settings, c *limits.HedgePolicy) { c.OtherZone = true })
	for _, e := range list {
		e.Zone = 0
	}
	b := h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
	h.advance(0.4)
	require.Len(t, h.decisions(Dispatch, b), 1, "all are in one zone")
	for _, e := range list {
		if e != h.decisions(Dispatch, b)[0].Engine {
			e.Zone = 1
		}
	}
	h.advance(0.2)
	require.Len(t, h.decisions(Dispatch, b), 2)

	h, list, r = newHedgingHost(t, nil)
	b = h.addBatch(func(b *Batch) { b.EstimatedWork, b.Route = 0.02, r })
	for _, e := range list { // the engines start to drain between the two copies
		e.Phase = Draining
	}
	h.UpdateEngines(list, true)
	h.advance(0.4)
	assert.Len(t, h.decisions(Dispatch, b), 1)
}

func TestConcurrencyLimitQueuesRejectsOrFails(t *testing.T) {
	for bound, want := range map[limits.LimitAction][3]int{limits.QueueBatch: {2, 0, 0}, limits.RejectBatch: {2, 1, 0}, limits.FailBatch: {2, 0, 1}} {
		h, _ := newHost(t, testSettings(lookupGroup()), 3)
		r := &limits.Route{Name: "r", Concurrency: &limits.ConcurrencyLimit{Name: "c", PerRouter: 2, OnLimit: bound}}
		limits.NewTable([]*limits.Route{r})
		var all []*Batch
		for range 3 {
			all = append(all, h.addBatch(func(b *Batch) { b.Route = r }))
		}
		assert.Equal(t, want, [3]int{len(h.decisions(Dispatch, nil)), len(h.decisions(Reject, nil)), len(h.decisions(Fail, nil))}, bound.String())
		h.endDispatch(all[0], Completed)
		h.advance(0.3)
		assert.Len(t, h.decisions(Dispatch, all[2]), map[limits.LimitAction]int{limits.QueueBatch: 1}[bound], bound.String())
		free := h.addBatch(nil)
		assert.Len(t, h.decisions(Dispatch, free), 1, "batches of other routes are not delayed")
	}
}

func TestConcurrencyLimitPerEngineSendsElsewhere(t *testing.T) {
	h, list := newHost(t, testSettings(lookupGroup()), 3)
	r := &limits.Route{Name: "r", Concurrency: &limits.ConcurrencyLimit{Name: "c", PerEngine: 1}}
	limits.NewTable([]*limits.Route{r})
	for range 4 {
		h.addBatch(func(b *Batch) { b.Route = r })
	}
	assert.Len(t, h.decisions(Dispatch, nil), 3)
	for _, e := range list {
		assert.Len(t, e.inFlight, 1)
	}
}

// fixedLimit is an adaptive limit that never changes; it records the samples that it observes.
type fixedLimit struct {
	limit   float64
	samples []limits.Sample
}

func (f *fixedLimit) Limit() float64          { return f.limit }
func (f *fixedLimit) Observe(s limits.Sample) { f.samples = append(f.samples, s) }

func TestAdaptiveLimitBoundsItsEngineAndLearnsOfOutcomes(t *testing.T) {
	h, list := newHost(t, testSettings(lookupGroup()), 2)
	one, two := &fixedLimit{limit: 1}, &fixedLimit{limit: 2}
	list[0].ConcurrencyLimit, list[1].ConcurrencyLimit = one, two
	var all []*Batch
	for range 5 {
		all = append(all, h.addBatch(nil))
	}
	assert.Len(t, h.decisions(Dispatch, nil), 3)
	assert.Len(t, list[0].inFlight, 1)
	h.advance(0.1)
	for _, b := range all {
		if len(b.dispatches) > 0 && b.dispatches[0].engine == list[0] {
			h.endDispatch(b, Completed)
			require.Len(t, one.samples, 1)
			assert.Equal(t, limits.Sample{Now: h.now, Elapsed: h.now - 100, Unloaded: 0.1, InFlight: 1}, one.samples[0])
			break
		}
	}
	assert.Empty(t, two.samples)
}
