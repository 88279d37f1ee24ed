package crowd

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pitchfield/internal/shares"
	"pitchfield/internal/talk"
)

// QuotaOptions configures the cold-start quota that the simulated routers divide: the work that each engine may receive within
// a sliding window. Times are in seconds.
type QuotaOptions struct {
	Settings          shares.Settings // replicas and address are filled in; zero: the defaults
	Replicas          int             // number of routers that are quota replicas; 0: 5
	Total             float64         // work that each engine may receive within Window
	Window            float64
	Engines           int
	ReplaceInterval   float64 // interval at which one engine is replaced by a new one; 0: never
	BatchRate         float64 // batches per second, all routers together
	LargeFraction     float64 // fraction of batches that need 25% to 75% of an engine's quota
	SkewFraction      float64 // fraction of routers that receive 90% of the batches; 0: even distribution
	MaxWait           float64 // a batch queued for longer is given up; 0: 4 seconds
	ClockDrift        float64 // maximum relative error of a router's clock rate, in both directions
	PauseProbability  float64 // fraction of batches that leave late because the process pauses between quota check and sending
	Fixed             bool    // each router has its fixed share only; no leases are exchanged
	ConfiguredRouters int     // number of routers in the settings; 0: the actual number
}

// QuotaStats generates the load and records the work that each engine receives from all routers, measured by simulated time
// rather than by the routers' clocks. It checks that no engine receives more than its quota within a window.
type QuotaStats struct {
	sim            *Simulation
	engines        []shares.EngineStart
	uses           map[shares.Key][]usage // work within the window; recordUse expires older entries
	sums           map[shares.Key]float64
	Violations     []string // descriptions of exceeded quotas; the first ten
	PeakShare      float64  // largest fraction of an engine's quota that was used within a window
	WorkDone       float64  // total work that engines received
	Batches        int
	Sent           int
	GivenUp        int
	Large          [2]int         // large batches (25% of a quota or more): arrived, sent
	WaitTimes      []float64      // seconds each sent batch was queued
	LargeWaitTimes []float64      // the same for large batches only
	SentByRouter   map[string]int // batches sent by each router
	Expired        int            // batches not sent because the quota lease had ended
	IdleShares     []float64      // samples: fraction of all quotas that routers held unused
	UsedShares     []float64      // samples: fraction of all quotas that was used within a window
	rng            *rand.Rand
}

// usage is work that an engine received at a simulated time.
type usage struct{ at, work float64 }

// quotaClient is the part of a router that queues batches and obtains quota for them.
type quotaClient struct {
	*Node
	machine        *shares.Machine // nil with a fixed division
	coldStartQuota shares.ColdStartQuota
	queue          []*queuedBatch
	turnTimerID    int
}

// queuedBatch is a batch that waits for quota.
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

// replaceEngine restarts a random engine; a restarted engine has a separate quota.
func (stats *QuotaStats) replaceEngine() {
	s := &stats.engines[stats.rng.IntN(len(stats.engines))]
	s.StartedAt = stats.sim.Now
	stats.sim.After(stats.sim.Quota.ReplaceInterval, stats.replaceEngine)
}

// arriveBatch queues a new batch at a random router.
func (stats *QuotaStats) arriveBatch() {
	sim, options := stats.sim, stats.sim.Quota
	stats.sim.After(stats.rng.ExpFloat64()/options.BatchRate, stats.arriveBatch)
	batch := &queuedBatch{engine: stats.engines[stats.rng.IntN(len(stats.engines))], queuedAt: sim.Now, work: options.Total * (0.002 + 0.04*stats.rng.Float64())}
	if batch.large = stats.rng.Float64() < options.LargeFraction; batch.large {
		batch.work = options.Total * (0.25 + 0.5*stats.rng.Float64())
	}
	nodes := sim.Nodes
	if favoured := int(math.Ceil(options.SkewFraction * float64(len(nodes)))); options.SkewFraction > 0 && stats.rng.IntN(10) > 0 {
		nodes = nodes[:favoured]
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

// sample records which fractions of all quotas are used and which are held unused by routers.
func (stats *QuotaStats) sample() {
	stats.sim.After(0.25, stats.sample)
	used, idle, total := 0.0, 0.0, 0.0
	for _, s := range stats.engines {
		stats.expire(shares.ColdStartKey(s))
		used, total = used+stats.sums[shares.ColdStartKey(s)], total+stats.sim.Quota.Total
	}
	for _, n := range stats.sim.Nodes {
		if n.quota != nil && n.quota.machine != nil {
			for _, h := range n.quota.machine.State(n.localTime()).Budgets {
				idle += h.Available
			}
		}
	}
	stats.UsedShares, stats.IdleShares = append(stats.UsedShares, used/total), append(stats.IdleShares, idle/total)
}

// expire drops work that has left the window.
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

// recordUse records that an engine received a batch, and reports a violation if that exceeds its quota.
func (stats *QuotaStats) recordUse(batch *queuedBatch, router string) {
	key := shares.ColdStartKey(batch.engine)
	stats.expire(key)
	stats.uses[key], stats.sums[key] = append(stats.uses[key], usage{stats.sim.Now, batch.work}), stats.sums[key]+batch.work
	share := stats.sums[key] / stats.sim.Quota.Total
	stats.PeakShare, stats.WorkDone, stats.Sent = max(stats.PeakShare, share), stats.WorkDone+batch.work, stats.Sent+1
	stats.SentByRouter[router]++
	stats.WaitTimes = append(stats.WaitTimes, stats.sim.Now-batch.queuedAt)
	if batch.large {
		stats.Large[1]++
		stats.LargeWaitTimes = append(stats.LargeWaitTimes, stats.sim.Now-batch.queuedAt)
	}
	if share > 1+1e-6 && len(stats.Violations) < 10 {
		stats.Violations = append(stats.Violations, fmt.Sprintf("%.4f s: %s sends %.3f, and engine %d has got %.4f of its whole within %g s", stats.sim.Now-epoch, router, batch.work,
			batch.engine.Engine, share, stats.sim.Quota.Window))
	}
}

// localTime returns the time by the router's own clock.
func (n *Node) localTime() float64 { return epoch + (n.sim.Now-epoch)*n.clockRate }

// startQuota creates the quota client of a newly started process, without any state from an earlier run.
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
		settings := options.Settings
		settings.Listen = n.Address
		for i := range min(options.Replicas, len(sim.Nodes)) { // replicas are spread over all routers
			settings.Replicas = append(settings.Replicas, sim.Nodes[i*len(sim.Nodes)/min(options.Replicas, len(sim.Nodes))].Address)
		}
		h.machine = shares.New(settings, shares.ID{Name: n.Name, Start: sim.startCount}, fixed, n.localTime())
		h.coldStartQuota = h.machine
	}
	n.quota = h
	h.scheduleTurn()
}

// processQueue sends the batches that have quota, requests quota for the others, and wakes the quota machine when it is due.
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

// sendBatch spends quota for a batch and sends it. With PauseProbability the process pauses for up to 3 seconds in between; the
// batch is then sent only if its send deadline has not passed.
func (h *quotaClient) sendBatch(batch *queuedBatch) {
	sim := h.sim
	h.coldStartQuota.Spend(h.localTime(), batch.engine, batch.work)
	deadline := math.Inf(1)
	if h.machine != nil {
		deadline = h.machine.SendDeadline()
	}
	if sim.Quota.PauseProbability == 0 || sim.Stats.rng.Float64() >= sim.Quota.PauseProbability {
		sim.Stats.recordUse(batch, h.Name)
		return
	}
	generation := h.Generation
	sim.After(3*sim.Stats.rng.Float64(), func() {
		switch {
		case h.Generation != generation:
		case h.localTime() >= deadline:
			sim.Stats.Expired++
		default:
			sim.Stats.recordUse(batch, h.Name)
		}
	})
}

// flushQuotaMessages discards the notes of the quota machine and sends its outgoing messages.
func (h *quotaClient) flushQuotaMessages() {
	if h.machine == nil || h.Machine == nil {
		return
	}
	h.machine.TakeNotes()
	for _, s := range h.machine.TakeOutgoing() {
		message := s.Message
		h.Node.sendDatagram(s.Destination, talk.Message{Message: h.Machine.Envelope(), Shares: &message})
	}
}

// scheduleTurn schedules the next processQueue: at the next wake-up of the quota machine, and within 50 ms while batches are
// queued.
func (h *quotaClient) scheduleTurn() {
	h.turnTimerID++
	timerID, generation := h.turnTimerID, h.Generation
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
		if h.Generation == generation && h.turnTimerID == timerID && !h.Paused && h.quota == h {
			h.processQueue()
		}
	})
}
