package brain

import "testing"

// host is a minimal host for tests: it takes the router's decisions, records them, and fires timers that were asked for.
type host struct {
	*Router
	t       *testing.T
	now     float64
	timerAt float64 // of the router's timer; 1e9: none
	made    []Decision
	lastID  uint64 // of the batches
	group   *ServiceGroup
}

// testSettings returns settings for one router with these groups.
func testSettings(groups ...*ServiceGroup) Settings {
	return Settings{Routers: 1, Groups: groups, EngineKinds: []EngineKind{{8, 16000}},
		MaxGrantShare: 0.5, MemoryPolicy: WaitForMemory, MaxRetryDelay: 0.5, MaxDispatches: 3, ColdCapacityShare: 0.4,
		SlowStartTime: 10, OverloadFactor: 2, OverloadWindow: 1, SettleTime: 0.5, Tick: 0.005}
}

// fleetSettings returns settings for the first of several routers.
func fleetSettings(routers int) Settings {
	s := testSettings(lookupGroup())
	s.Routers = routers
	return s
}

// lookupGroup returns a group of short idempotent batches.
func lookupGroup() *ServiceGroup {
	return &ServiceGroup{Idempotency: Idempotent, Goal: 1, Limit: 4, Utility: 1, Threads: 1}
}

// newHost starts a router at 100 s with a number of warm engines of 8 cores.
func newHost(t *testing.T, s Settings, engines int) (*host, []*Engine) {
	h := &host{Router: New(s, 7+uint64(s.Index)*0x9e3779b9, 100), t: t, now: 100, timerAt: 1e9, group: s.Groups[0]}
	var list []*Engine
	for i := range engines {
		list = append(list, &Engine{ID: uint32(i + 1), Phase: Ready, Zone: i, Cell: i})
	}
	h.SetTime(h.now)
	h.UpdateEngines(list, true)
	h.pullDecisions()
	return h, list
}

// pullDecisions takes decisions until there are no more.
func (h *host) pullDecisions() {
	for range 100000 {
		d := h.Next()
		if d.Kind == NoDecision {
			return
		}
		if d.Kind == WakeAt {
			h.timerAt = min(h.timerAt, d.At)
		}
		h.made = append(h.made, d)
	}
	h.t.Fatal("Next returned 100000 decisions without NoDecision")
}

// advance lets time pass and fires the router's timers.
func (h *host) advance(seconds float64) {
	for end := h.now + seconds; ; {
		at := min(h.timerAt, end)
		h.now = max(at, h.now)
		h.SetTime(h.now)
		if at == end {
			return
		}
		h.timerAt = 1e9
		h.TimerFired()
		h.pullDecisions()
	}
}

// addBatch adds a batch of 0.1 s of work, changed by edit unless that is nil.
func (h *host) addBatch(edit func(*Batch)) *Batch {
	h.lastID++
	b := &Batch{ID: h.lastID, Group: h.group, Client: -1, TimeLeft: h.group.Limit, EstimatedWork: 0.1}
	if edit != nil {
		edit(b)
	}
	h.AddBatch(b)
	h.pullDecisions()
	return b
}

// endDispatch ends the last dispatch of a batch.
func (h *host) endDispatch(b *Batch, end Outcome) {
	d := b.dispatches[len(b.dispatches)-1]
	h.DispatchEnded(b, d.number, end, end == Completed, h.now-d.sentAt, b.EstimatedWork, 0, nil)
	h.pullDecisions()
}

// reportLoad reports a number of batches in flight at an engine and nothing else.
func (h *host) reportLoad(e *Engine, inFlight float64) {
	h.ProbeEnded(e, true, &Report{InFlight: inFlight, Waiting: -1, CPU: -1, Memory: -1, Disks: -1})
}

// decisions returns the decisions of a kind so far, for one batch or, with nil, for any.
func (h *host) decisions(k DecisionKind, b *Batch) (out []Decision) {
	for _, d := range h.made {
		if d.Kind == k && (b == nil || d.Batch == b) {
			out = append(out, d)
		}
	}
	return out
}

// saturate has every engine report so many batches that the gate is nearly always closed.
func (h *host) saturate(list []*Engine) {
	for _, e := range list {
		h.reportLoad(e, 1e4)
	}
}
