package brain

import "testing"

// host is the tiny fake host of the stories: it pulls, keeps what was decided, wakes the router when asked.
type host struct {
	*Router
	t       *testing.T
	now     float64
	timerAt float64
	made    []Decision
	lastID  uint64
	group   *ServiceGroup
}

func testSettings(groups ...*ServiceGroup) Settings {
	return Settings{Routers: 1, Groups: groups, EngineKinds: []EngineKind{{8, 16000}},
		MaxGrantShare: 0.5, MemoryPolicy: WaitForMemory, MaxRetryDelay: 0.5, MaxDispatches: 3, ColdCapacityShare: 0.4,
		SlowStartTime: 10, OverloadFactor: 2, OverloadWindow: 1, SettleTime: 0.5, Tick: 0.005}
}

func fleetSettings(routers int) Settings {
	s := testSettings(lookupGroup())
	s.Routers = routers
	return s
}

func lookupGroup() *ServiceGroup {
	return &ServiceGroup{Idempotency: Idempotent, Goal: 1, Limit: 4, Utility: 1, Threads: 1}
}

// newHost starts a router at 100 s with so many warm engines of 8 cores.
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
	h.t.Fatal("the router never stops deciding")
}

// advance lets time go by; the router is woken as it asked.
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

func (h *host) endDispatch(b *Batch, end Outcome) {
	d := b.dispatches[len(b.dispatches)-1]
	h.DispatchEnded(b, d.number, end, end == Completed, h.now-d.sentAt, b.EstimatedWork, 0, nil)
	h.pullDecisions()
}

func (h *host) reportLoad(e *Engine, held float64) {
	h.ProbeEnded(e, true, &Report{InFlight: held, Waiting: -1, CPU: -1, Memory: -1, Disks: -1})
}

// decisions gives the decisions of a kind, about one batch or, with nil, any.
func (h *host) decisions(k DecisionKind, b *Batch) (out []Decision) {
	for _, d := range h.made {
		if d.Kind == k && (b == nil || d.Batch == b) {
			out = append(out, d)
		}
	}
	return out
}

// saturate fills every engine so that the gate is all but shut.
func (h *host) saturate(list []*Engine) {
	for _, e := range list {
		h.reportLoad(e, 1e4)
	}
}
