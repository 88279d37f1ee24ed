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

func newQuotaStats(sim *Simulation) *QuotaStats {
	options := sim.Quota
	if options.Settings.Lease == 0 {
		options.Settings = shares.Defaults()
	}
	if options.Replicas == 0 {
		options.Replicas = 5
	}
	if options.MaxWait == 0 {
		options.MaxWait = 4
	}
	stats := &QuotaStats{sim: sim, uses: map[shares.Key][]usage{}, sums: map[shares.Key]float64{}, SentByRouter: map[string]int{}, rng: rand.New(rand.NewPCG(sim.Seed, 0x7075727365))}
	for i := range options.Engines {
		stats.engines = append(stats.engines, shares.EngineStart{Engine: uint32(i + 1), StartedAt: epoch, Cores: 1})
	}
	if options.ReplaceInterval > 0 {
		sim.After(options.ReplaceInterval, stats.replaceEngine)
	}
	sim.After(0.1, stats.arriveBatch)
	sim.After(1, stats.sample)
	return stats
}

// replaceEngine starts an engine anew: its budget is another one.
func (stats *QuotaStats) replaceEngine() {
	s := &stats.engines[stats.rng.IntN(len(stats.engines))]
	s.StartedAt = stats.sim.Now
	stats.sim.After(stats.sim.Quota.ReplaceInterval, stats.replaceEngine)
}

// arriveBatch brings a batch to a router.
func (stats *QuotaStats) arriveBatch() {
	sim, options := stats.sim, stats.sim.Quota
	stats.sim.After(stats.rng.ExpFloat64()/options.BatchRate, stats.arriveBatch)
	batch := &queuedBatch{engine: stats.engines[stats.rng.IntN(len(stats.engines))], queuedAt: sim.Now, work: options.Total * (0.002 + 0.04*stats.rng.Float64())}
	if batch.large = stats.rng.Float64() < options.LargeFraction; batch.large {
		batch.work = options.Total * (0.25 + 0.5*stats.rng.Float64())
	}
	nodes := sim.Nodes
	if few := int(math.Ceil(options.SkewFraction * float64(len(nodes)))); options.SkewFraction > 0 && stats.rng.IntN(10) > 0 {
		nodes = nodes[:few]
	}
	n := nodes[stats.rng.IntN(len(nodes))]
	if n.quota == nil || n.Paused {
		return
	}
	stats.Batches++
	if batch.large {
		stats.Large[0]++
	}
	n.quota.queue = append(n.quota.queue, batch)
	n.quota.processQueue()
}

// sample samples how much of the wholes is used, and how much lies idle in hands.
func (stats *QuotaStats) sample() {
	stats.sim.After(0.25, stats.sample)
	used, lent, whole := 0.0, 0.0, 0.0
	for _, s := range stats.engines {
		stats.expire(shares.ColdStartKey(s))
		used, whole = used+stats.sums[shares.ColdStartKey(s)], whole+stats.sim.Quota.Total
	}
	for _, n := range stats.sim.Nodes {
		if n.quota != nil && n.quota.machine != nil {
			for _, h := range n.quota.machine.State(n.localTime()).Budgets {
				lent += h.Available
			}
		}
	}
	stats.UsedShares, stats.IdleShares = append(stats.UsedShares, used/whole), append(stats.IdleShares, lent/whole)
}

// expire drops what no longer counts.
func (stats *QuotaStats) expire(key shares.Key) {
	for len(stats.uses[key]) > 0 && stats.uses[key][0].at <= stats.sim.Now-stats.sim.Quota.Window {
		stats.sums[key] -= stats.uses[key][0].work
		stats.uses[key] = stats.uses[key][1:]
	}
	if len(stats.uses[key]) == 0 {
		delete(stats.uses, key)
		delete(stats.sums, key)
	}
}

// recordUse is what came to an engine.
func (stats *QuotaStats) recordUse(batch *queuedBatch, by string) {
	key := shares.ColdStartKey(batch.engine)
	stats.expire(key)
	stats.uses[key], stats.sums[key] = append(stats.uses[key], usage{stats.sim.Now, batch.work}), stats.sums[key]+batch.work
	share := stats.sums[key] / stats.sim.Quota.Total
	stats.PeakShare, stats.WorkDone, stats.Sent = max(stats.PeakShare, share), stats.WorkDone+batch.work, stats.Sent+1
	stats.SentByRouter[by]++
	stats.WaitTimes = append(stats.WaitTimes, stats.sim.Now-batch.queuedAt)
	if batch.large {
		stats.Large[1]++
		stats.LargeWaitTimes = append(stats.LargeWaitTimes, stats.sim.Now-batch.queuedAt)
	}
	if share > 1+1e-6 && len(stats.Violations) < 10 {
		stats.Violations = append(stats.Violations, fmt.Sprintf("%.4f s: %s sends %.3f, and engine %d has got %.4f of its whole within %g s", stats.sim.Now-epoch, by, batch.work,
			batch.engine.Engine, share, stats.sim.Quota.Window))
	}
}

// localTime is a node's own time.
func (n *Node) localTime() float64 { return epoch + (n.sim.Now-epoch)*n.clockRate }

// startQuota gives a process that starts its part, with nothing remembered.
func (n *Node) startQuota() {
	sim, options := n.sim, n.sim.Quota
	h := &quotaClient{Node: n}
	routers := options.ConfiguredRouters
	if routers == 0 {
		routers = sim.Routers
	}
	fixed := shares.FixedConfig{Total: options.Total, Window: options.Window, Routers: float64(routers), Index: n.index % routers, MaxHolders: 16, StartedAt: n.localTime()}
	if options.Fixed {
		h.coldStartQuota = shares.NewFixedDivision(fixed)
	} else {
		s := options.Settings
		s.Listen = n.Address
		for i := range min(options.Replicas, len(sim.Nodes)) { // spread over all
			s.Replicas = append(s.Replicas, sim.Nodes[i*len(sim.Nodes)/min(options.Replicas, len(sim.Nodes))].Address)
		}
		h.machine = shares.New(s, shares.ID{Name: n.Name, Start: sim.startCount}, fixed, n.localTime())
		h.coldStartQuota = h.machine
	}
	n.quota = h
	h.scheduleTurn()
}

// processQueue sends what may be sent, wants what may not, and does what is due.
func (h *quotaClient) processQueue() {
	sim := h.sim
	if h.machine != nil {
		h.machine.ObserveFleetSize(h.Machine.Count())
	}
	for range 4 {
		for i := 0; i < len(h.queue); {
			batch := h.queue[i]
			switch {
			case sim.Now > batch.queuedAt+sim.Quota.MaxWait || !slices.Contains(sim.Stats.engines, batch.engine):
				sim.Stats.GivenUp++
			case h.coldStartQuota.CanSpend(h.localTime(), batch.engine, batch.work):
				h.sendBatch(batch)
			default:
				h.coldStartQuota.Request(h.localTime(), batch.engine, batch.work)
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
func (h *quotaClient) sendBatch(batch *queuedBatch) {
	sim := h.sim
	h.coldStartQuota.Spend(h.localTime(), batch.engine, batch.work)
	by := math.Inf(1)
	if h.machine != nil {
		by = h.machine.SendDeadline()
	}
	if sim.Quota.PauseProbability == 0 || sim.Stats.rng.Float64() >= sim.Quota.PauseProbability {
		sim.Stats.recordUse(batch, h.Name)
		return
	}
	life := h.Generation
	sim.After(3*sim.Stats.rng.Float64(), func() {
		switch {
		case h.Generation != life:
		case h.localTime() >= by:
			sim.Stats.Expired++
		default:
			sim.Stats.recordUse(batch, h.Name)
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
