package crowd

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pitchfield/internal/shares"
	"pitchfield/internal/talk"
)

// QuotaOptions says what a crowd divides: what each of some engines bears within a window. Times are seconds.
type QuotaOptions struct {
	Settings          shares.Settings // but for keepers and address; zero: the defaults
	Replicas          int             // of the routers; 0: five
	Total             float64         // of each engine, within Window
	Window            float64
	Engines           int
	ReplaceInterval   float64 // an engine takes the place of another each so many seconds; 0: never
	BatchRate         float64 // batches a second, over all routers
	LargeFraction     float64 // share of the batches that take a quarter to three quarters of a whole
	SkewFraction      float64 // share of the routers to which nine in ten batches come; 0: all alike
	MaxWait           float64 // a batch that waits for so long is given up; 0: four seconds
	ClockDrift        float64 // clocks' rates differ by up to so much from the true one, either way
	PauseProbability  float64 // share of what is sent that goes out late, since the process stands still between look and use
	Fixed             bool    // nothing moves: each has what the fixed division gives
	ConfiguredRouters int     // routers, by settings; 0: as many as there are
}

// QuotaStats sums what engines get, whoever sends it, by the true time.
type QuotaStats struct {
	sim            *Simulation
	engines        []shares.EngineStart
	uses           map[shares.Key][]usage // within the window; use drops the others
	sums           map[shares.Key]float64
	Violations     []string // a whole that was passed, the first few
	PeakShare      float64  // of a whole that was used within a window
	WorkDone       float64  // work that engines got
	Batches        int
	Sent           int
	GivenUp        int
	Large          [2]int         // batches that took a quarter of a whole or more: all, and sent
	WaitTimes      []float64      // seconds until a batch was sent,
	LargeWaitTimes []float64      // and until heavy ones were
	SentByRouter   map[string]int // batches that were sent, by router
	Expired        int            // batches that were not sent, since what allowed them had ended
	IdleShares     []float64      // share of all wholes that was in hand and not used, looked at now and then
	UsedShares     []float64      // share of all wholes that was used within a window, likewise
	rng            *rand.Rand
}

type usage struct{ at, work float64 }

// quotaClient is a router's part of it.
type quotaClient struct {
	*Node
	machine        *shares.Machine // nil: the division is fixed
	coldStartQuota shares.ColdStartQuota
	queue          []*queuedBatch
	turnTimerID    int
}

// queuedBatch is a batch that waits.
type queuedBatch struct {
	engine   shares.EngineStart
	work     float64
	queuedAt float64
	large    bool
}

func newQuotaStats(c *Simulation) *QuotaStats {
	p := c.Quota
	if p.Settings.Lease == 0 {
		p.Settings = shares.Defaults()
	}
	if p.Replicas == 0 {
		p.Replicas = 5
	}
	if p.MaxWait == 0 {
		p.MaxWait = 4
	}
	l := &QuotaStats{sim: c, uses: map[shares.Key][]usage{}, sums: map[shares.Key]float64{}, SentByRouter: map[string]int{}, rng: rand.New(rand.NewPCG(c.Seed, 0x7075727365))}
	for i := range p.Engines {
		l.engines = append(l.engines, shares.EngineStart{Engine: uint32(i + 1), StartedAt: epoch, Cores: 1})
	}
	if p.ReplaceInterval > 0 {
		c.After(p.ReplaceInterval, l.replaceEngine)
	}
	c.After(0.1, l.arriveBatch)
	c.After(1, l.sample)
	return l
}

// replaceEngine starts an engine anew: its budget is another one.
func (l *QuotaStats) replaceEngine() {
	s := &l.engines[l.rng.IntN(len(l.engines))]
	s.StartedAt = l.sim.Now
	l.sim.After(l.sim.Quota.ReplaceInterval, l.replaceEngine)
}

// arriveBatch brings a batch to a router.
func (l *QuotaStats) arriveBatch() {
	c, p := l.sim, l.sim.Quota
	l.sim.After(l.rng.ExpFloat64()/p.BatchRate, l.arriveBatch)
	w := &queuedBatch{engine: l.engines[l.rng.IntN(len(l.engines))], queuedAt: c.Now, work: p.Total * (0.002 + 0.04*l.rng.Float64())}
	if w.large = l.rng.Float64() < p.LargeFraction; w.large {
		w.work = p.Total * (0.25 + 0.5*l.rng.Float64())
	}
	nodes := c.Nodes
	if few := int(math.Ceil(p.SkewFraction * float64(len(nodes)))); p.SkewFraction > 0 && l.rng.IntN(10) > 0 {
		nodes = nodes[:few]
	}
	n := nodes[l.rng.IntN(len(nodes))]
	if n.quota == nil || n.Paused {
		return
	}
	l.Batches++
	if w.large {
		l.Large[0]++
	}
	n.quota.queue = append(n.quota.queue, w)
	n.quota.processQueue()
}

// sample samples how much of the wholes is used, and how much lies idle in hands.
func (l *QuotaStats) sample() {
	l.sim.After(0.25, l.sample)
	used, lent, whole := 0.0, 0.0, 0.0
	for _, s := range l.engines {
		l.expire(shares.ColdStartKey(s))
		used, whole = used+l.sums[shares.ColdStartKey(s)], whole+l.sim.Quota.Total
	}
	for _, n := range l.sim.Nodes {
		if n.quota != nil && n.quota.machine != nil {
			for _, h := range n.quota.machine.State(n.localTime()).Budgets {
				lent += h.Available
			}
		}
	}
	l.UsedShares, l.IdleShares = append(l.UsedShares, used/whole), append(l.IdleShares, lent/whole)
}

// expire drops what no longer counts.
func (l *QuotaStats) expire(key shares.Key) {
	for len(l.uses[key]) > 0 && l.uses[key][0].at <= l.sim.Now-l.sim.Quota.Window {
		l.sums[key] -= l.uses[key][0].work
		l.uses[key] = l.uses[key][1:]
	}
	if len(l.uses[key]) == 0 {
		delete(l.uses, key)
		delete(l.sums, key)
	}
}

// recordUse is what came to an engine.
func (l *QuotaStats) recordUse(w *queuedBatch, by string) {
	key := shares.ColdStartKey(w.engine)
	l.expire(key)
	l.uses[key], l.sums[key] = append(l.uses[key], usage{l.sim.Now, w.work}), l.sums[key]+w.work
	share := l.sums[key] / l.sim.Quota.Total
	l.PeakShare, l.WorkDone, l.Sent = max(l.PeakShare, share), l.WorkDone+w.work, l.Sent+1
	l.SentByRouter[by]++
	l.WaitTimes = append(l.WaitTimes, l.sim.Now-w.queuedAt)
	if w.large {
		l.Large[1]++
		l.LargeWaitTimes = append(l.LargeWaitTimes, l.sim.Now-w.queuedAt)
	}
	if share > 1+1e-6 && len(l.Violations) < 10 {
		l.Violations = append(l.Violations, fmt.Sprintf("%.4f s: %s sends %.3f, and engine %d has got %.4f of its whole within %g s", l.sim.Now-epoch, by, w.work,
			w.engine.Engine, share, l.sim.Quota.Window))
	}
}

// localTime is a node's own time.
func (n *Node) localTime() float64 { return epoch + (n.sim.Now-epoch)*n.clockRate }

// startQuota gives a process that starts its part, with nothing remembered.
func (n *Node) startQuota() {
	c, p := n.sim, n.sim.Quota
	h := &quotaClient{Node: n}
	routers := p.ConfiguredRouters
	if routers == 0 {
		routers = c.Routers
	}
	fixed := shares.FixedConfig{Total: p.Total, Window: p.Window, Routers: float64(routers), Index: n.index % routers, MaxHolders: 16, StartedAt: n.localTime()}
	if p.Fixed {
		h.coldStartQuota = shares.NewFixedDivision(fixed)
	} else {
		s := p.Settings
		s.Listen = n.Address
		for i := range min(p.Replicas, len(c.Nodes)) { // spread over all
			s.Replicas = append(s.Replicas, c.Nodes[i*len(c.Nodes)/min(p.Replicas, len(c.Nodes))].Address)
		}
		h.machine = shares.New(s, shares.ID{Name: n.Name, Start: c.startCount}, fixed, n.localTime())
		h.coldStartQuota = h.machine
	}
	n.quota = h
	h.scheduleTurn()
}

// processQueue sends what may be sent, wants what may not, and does what is due.
func (h *quotaClient) processQueue() {
	c := h.sim
	if h.machine != nil {
		h.machine.ObserveFleetSize(h.Machine.Count())
	}
	for range 4 {
		for i := 0; i < len(h.queue); {
			w := h.queue[i]
			switch {
			case c.Now > w.queuedAt+c.Quota.MaxWait || !slices.Contains(c.Stats.engines, w.engine):
				c.Stats.GivenUp++
			case h.coldStartQuota.CanSpend(h.localTime(), w.engine, w.work):
				h.sendBatch(w)
			default:
				h.coldStartQuota.Request(h.localTime(), w.engine, w.work)
				i++
				continue
			}
			h.queue = slices.Delete(h.queue, i, i+1)
		}
		if h.machine == nil || !h.machine.DemandPending() && h.localTime() < h.machine.NextWake() {
			break
		}
		h.machine.Wake(h.localTime())
		if !h.machine.GrantsArrived() {
			break
		}
	}
	h.flushQuotaMessages()
	h.scheduleTurn()
}

// sendBatch is the way of a batch from the look at one's part to its engine. Now and then the process stands still in between.
func (h *quotaClient) sendBatch(w *queuedBatch) {
	c := h.sim
	h.coldStartQuota.Spend(h.localTime(), w.engine, w.work)
	by := math.Inf(1)
	if h.machine != nil {
		by = h.machine.SendDeadline()
	}
	if c.Quota.PauseProbability == 0 || c.Stats.rng.Float64() >= c.Quota.PauseProbability {
		c.Stats.recordUse(w, h.Name)
		return
	}
	life := h.Generation
	c.After(3*c.Stats.rng.Float64(), func() {
		switch {
		case h.Generation != life:
		case h.localTime() >= by:
			c.Stats.Expired++
		default:
			c.Stats.recordUse(w, h.Name)
		}
	})
}

func (h *quotaClient) flushQuotaMessages() {
	if h.machine == nil || h.Machine == nil {
		return
	}
	h.machine.TakeNotes()
	for _, s := range h.machine.TakeOutgoing() {
		said := s.Message
		h.Node.sendDatagram(s.Destination, talk.Message{Message: h.Machine.Envelope(), Shares: &said})
	}
}

// scheduleTurn sets the next time: of the machine, or to look at what waits.
func (h *quotaClient) scheduleTurn() {
	h.turnTimerID++
	timer, life := h.turnTimerID, h.Generation
	wait := math.Inf(1)
	if h.machine != nil {
		wait = (h.machine.NextWake() - h.localTime()) / h.clockRate
	}
	if len(h.queue) > 0 {
		wait = min(wait, 0.05)
	}
	if math.IsInf(wait, 1) {
		return
	}
	h.sim.After(max(wait, 0.0005), func() {
		if h.Generation == life && h.turnTimerID == timer && !h.Paused && h.quota == h {
			h.processQueue()
		}
	})
}
