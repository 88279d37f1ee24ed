// Package brain holds all decisions of a router, its tables and its tuned values; its interface is types.go.
// How to call it: New, then for each round Clock, then what came in (Listed, Take, Outcome, Left, News,
// Probed, Woken), which only updates what is known; then Next until it answers Nothing, doing each decision.
// Nothing here knows the time, draws chance or meets another router but through these calls.
package brain

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// The design's values (ours to tune) and those of what it leaves open. Times are seconds.
const (
	initialThreshold, minThreshold, maxThreshold = 1.5, 0.4, 4.0 // threads a core below which a batch starts

	thresholdStep, targetStretch = 0.02, 1.5 // it follows answers to this time over time alone: full, not crowded
	// Where all are told of the same loads, a few drawn engines are looked at first, or all meet on the idlest.
	sampledEngines, unsampledPenalty  = 3.0, 1.0 // so many; threads a core by which the others have to be emptier
	warmDataBonus, warmDataEngines    = 0.4, 2   // threads a core that a likely warm data set is worth, on so many engines
	lockedDataPenalty, maxSlowBatches = 2.0, 4   // threads a core for a load on the data set; slow batches that wait

	initialLoad, maxLoad, loadSmoothingTime = 0.9, 0.95, 2.0 // load until something is seen, its clamp, and its pace

	minGateDelay, maxGateDelay                     = 0.05, 0.2
	reportDelay, reportLifetime                    = 0.4, 1.4 // a report is about this old when it comes; then believed for so long
	unreportedThreadFactor, unreportedMemoryFactor = 2.0, 8.0 // an engine without one counts as so many times as full as the pool
	averageLoadWindow, ownLoadWindow               = 4.0, 5.0 // how long reports count towards that, and own dispatches without any

	memoryLimit, unreportedMemoryLimit  = 0.65, 0.55  // share of memory for heavy batches: all engines reported, and none
	minSimilarRoom, extraSimilarRoom    = 8.0, 4.0    // batches of its like that must find room before one is sent
	memoryMargin, overcommitGrantFactor = 1.25, 3.0   // grant over the corrected need; times that, where only need counts
	probeCostShare, minProbeInterval    = 0.005, 0.25 // of the result that probes may cost, and between those of an engine
	warmUtilization, coldBudgetShare    = 0.85, 0.95  // busy share that is capacity; of the cold budget
	coldBudgetRouters, maxHedgeLoad     = 16, 0.75    // routers that share it; load from which no second copies are sent

	minEjectionTime, maxEjectionTime                         = 1.0, 8.0      // an engine set aside is tried again then, doubled each time
	maxConsecutiveFailures, failurePenalty, failureDecayTime = 6.0, 3.0, 8.0 // failures in a row; threads a core for sure ones, how long
	missedUpdates                                            = 2.5           // times the pace of notes without one: the dispatch is lost
	sweepInterval, minPause                                  = 0.05, 0.2     // woken so much too late, a router has stood still
	// Clients leave on the dot: so much is for the ways and standstills. It hurts answers of the last moment.
	transitShare, minTransitTime, maxTransitTime = 0.05, 0.04, 0.25
	slopePrior, uncertaintyDeviations            = 8.0, 2.0 // pairs that speak for exact estimates at first; deviations held safe
	fullLoadSlowdown, maxPlacementTries          = 1.0, 16  // estimates more that full load takes; batches no engine fits, a pull
	overdueFactor, restartGain                   = 2.0, 2.0 // times the usual longest time; a fresh start must be so much quicker
)

func New(s Settings, seed uint64, now float64) *Router {
	r := &Router{groups: s.Groups, routerCount: max(float64(s.Routers), 1), index: s.Index, engineKinds: s.EngineKinds,
		grants: s.Grants, priorities: s.Priorities, maxGrantShare: min(cmp.Or(max(s.MaxGrantShare, 0), 1), 1),
		mayCancel: s.MayCancel, mayHedge: s.MayHedge, mayProbe: s.MayProbe, mustSubscribe: s.MustSubscribe, limitRetries: s.LimitRetries,
		maxDispatches: max(s.MaxDispatches, 1), batchesPerProbe: min(max(s.ProbeCost/probeCostShare, 1), 16), slowStartTime: s.SlowStartTime,
		settleTime: s.SettleTime, tick: s.Tick, freeRetries: s.FreeRetries, grantFactor: 1,
		retryRatio: s.RetryRatio, retryWindow: s.RetryWindow, now: now, startedAt: now, retryDelay: s.MaxRetryDelay,
		randomState: seed&0xffffffff | 1<<33, keyQueues: map[uint64]*keyQueue{}, load: initialLoad, admissionThreshold: initialThreshold,
		sweptAt: now, nextSweepAt: now, wakeAt: math.Inf(1), updateInterval: s.UpdateInterval}
	if r.grants && s.MemoryPolicy == Overcommit {
		r.grantFactor = overcommitGrantFactor
	}
	r.fixedQuota = shares.FixedConfig{Routers: float64(s.Routers), Index: s.Index, MaxHolders: coldBudgetRouters, StartedAt: now,
		Total: coldBudgetShare * s.OverloadFactor * s.ColdCapacityShare * warmUtilization * s.OverloadWindow, Window: s.OverloadWindow}
	r.quota, r.quotaSharers = shares.NewFixedDivision(r.fixedQuota), min(r.routerCount, coldBudgetRouters)
	for _, g := range s.Groups {
		g.Threads = max(g.Threads, 1)
		r.typicalBatch.batches, r.typicalBatch.threads = r.typicalBatch.batches+1e-3, r.typicalBatch.threads+1e-3*g.Threads
	}
	return r
}

func (r *Router) SetTime(now float64) {
	r.now = max(r.now, now)
	// Woken far too late we stood still ourselves: silence meanwhile was ours, and what comes now is old.
	if late := r.now - r.wakeAt; late > minPause && r.lastPauseAt < r.now {
		r.lastPause, r.lastPauseAt, r.totalPause = late, r.now, r.totalPause+late
		r.log("stood still for %.1f s, %d held", late, len(r.queue))
	}
}

// UpdateEngines brings the list of engines: the whole of it, or what changed.
func (r *Router) UpdateEngines(list []*Engine, whole bool) {
	for _, e := range list {
		if e.cores = 1; e.Kind < len(r.engineKinds) {
			e.cores, e.memory = max(r.engineKinds[e.Kind].Cores, 1), r.engineKinds[e.Kind].Memory
		}
		r.largestMemory = max(r.largestMemory, e.memory)
		if e.groupHealth == nil || e.knownStart != e.StartedAt { // what was learned of the process before is void
			e.knownStart, e.startReceivedAt, e.health, e.reportAt, e.reported = e.StartedAt, r.now, health{}, 0, resources{}
			e.groupHealth = map[*ServiceGroup]*health{}
			for _, g := range r.groups {
				e.groupHealth[g] = &health{}
			}
		}
		if !slices.Contains(r.engines, e) {
			// Each router keeps an order of its own: ties fall apart, or all meet on the first of the list.
			r.engines = slices.Insert(r.engines, int(r.randomFloat()*float64(len(r.engines)+1)), e)
		}
	}
	r.engines = slices.DeleteFunc(r.engines, func(e *Engine) bool {
		if whole && !slices.Contains(list, e) {
			e.Phase = Gone
		}
		return e.Phase == Gone && len(e.inFlight) == 0
	})
}

func (r *Router) EngineListFailed() { r.mustSubscribe = true }

// AddBatch brings a batch, which is owed one final answer from now on.
func (r *Router) AddBatch(b *Batch) {
	g := b.Group
	b.receivedAt, b.deadline = r.now, r.now+clampNonNegative(b.TimeLeft-min(max(transitShare*b.TimeLeft, minTransitTime), maxTransitTime), 1e6)
	b.demand = clampNonNegative(b.EstimatedWork, 1e5)
	if b.demand > 0 {
		four := 4*g.estimateSum/max(g.estimateCount, 1) + 1e-6
		b.demand *= (g.actualSum + four) / (g.estimateSum + four)
	} else if b.demand = g.workSum / max(g.answerCount, 1); b.demand == 0 {
		b.demand = g.Goal * g.Threads / 4
	}
	b.memoryNeed = clampNonNegative(b.EstimatedMemory, 1e7)
	if b.memoryNeed > 0 && g.memoryEstimateSum > 0 {
		b.memoryNeed *= g.memoryActualSum / g.memoryEstimateSum
	} else if b.memoryNeed == 0 && g.answerCount > 0 {
		b.memoryNeed = g.memorySum / g.answerCount
	}
	b.timeAlone, b.likelyWork, b.usefulUntil = b.demand/g.Threads, r.estimateLikelyWork(b), b.deadline
	if g.LateShare <= 0 { // an answer past the goal earns nothing
		b.usefulUntil = min(b.deadline, r.now+g.Goal+g.GoalStretch*b.timeAlone)
	}
	// A batch is at work in proportion to its time alone: that tells from the first batch on what is out there.
	// One that could never end in time, or that fits nowhere, must not pass for what batches are like.
	if b.timeAlone <= g.Limit && (r.largestMemory == 0 || b.memoryNeed <= r.largestMemory) {
		r.meanDemand += (b.demand - r.meanDemand) / 64
		r.typicalBatch = r.typicalBatch.add(r.typicalBatch, -1.0/64).add(resources{1, g.Threads, b.memoryNeed * memoryMargin}, b.timeAlone)
	}
	if b.keyQueue = (&keyQueue{}); g.InOrder && b.Key != 0 {
		b.keyQueue = cmp.Or(r.keyQueues[b.Key], b.keyQueue)
		r.keyQueues[b.Key] = b.keyQueue
	}
	first := len(b.keyQueue.batches) == 0 && b.keyQueue.inFlight == 0 // one behind another of its key might end out of order
	bound := b.Route.ActionOnArrival(r.now)
	if b.Shed = first && bound == limits.QueueBatch && r.shouldShed(b); b.Shed || first && bound != limits.QueueBatch {
		out := r.giveUp(b)
		if bound == limits.FailBatch {
			out = Decision{Kind: Fail, Batch: b}
		}
		r.pending = append(r.pending, out)
		return
	}
	b.Route.CountBatch(r.now)
	r.retryBudget.CountBatch(r.now)
	b.keyQueue.batches, r.arrivals = append(b.keyQueue.batches, b), append(r.arrivals, r.now)
	r.probeCredit = min(r.probeCredit+1, 8*r.probeCost())
	r.enqueue(b)
	r.nextSweepAt = min(r.nextSweepAt, b.deadline-4*sweepInterval) // a late try can't wait for the next one
}

// SetReducedService brings the level of reduced service that holds from now on. What has been taken stays.
func (r *Router) SetReducedService(level ReducedService) { r.reduced = level }

func (r *Router) shouldShed(b *Batch) bool {
	keep, some := r.reduced.KeepShare[b.Group]
	return r.reduced.MinUtilityPerSecond*b.demand > b.Group.Utility || some && r.randomFloat() >= keep
}

func (r *Router) maxTries(b *Batch) int {
	most := b.Route.DispatchLimit(r.maxDispatches)
	if r.reduced.MaxRetries != 0 {
		most = min(most, 1+max(r.reduced.MaxRetries, 0))
	}
	return most
}

func (r *Router) probeCost() float64 { return r.batchesPerProbe / cmp.Or(r.reduced.ProbeShare, 1) }

func (r *Router) enqueue(b *Batch) {
	i := sort.Search(len(r.queue), func(i int) bool { return r.queue[i].demand > b.demand })
	r.queue = slices.Insert(r.queue, i, b)
	b.Route.CountUsage(r.now, 0, 1)
}

func (r *Router) dequeue(b *Batch) {
	n := len(r.queue)
	r.queue = without(r.queue, b)
	b.Route.CountUsage(r.now, 0, len(r.queue)-n)
}

func (r *Router) RemoveBatch(b *Batch) {
	b.Done = true
	r.dequeue(b)
	b.keyQueue.batches = without(b.keyQueue.batches, b)
}

// DispatchEnded ends a dispatch; last says that the batch is over with it. Work and memory are what it needed.
func (r *Router) DispatchEnded(b *Batch, no int, end Outcome, last bool, took, work, memory float64, rep *Report) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d, e := b.dispatches[no], b.dispatches[no].engine
	d.ended, d.outcome, e.inFlight = true, end, without(e.inFlight, d)
	b.InFlight, b.keyQueue.inFlight = b.InFlight-1, b.keyQueue.inFlight-1
	b.Route.CountUsage(r.now, -1, 0)
	if e.ConcurrencyLimit != nil && end != Canceled && end != NotSent {
		e.ConcurrencyLimit.Observe(d.sample(r.now, took, work))
	}
	r.recordReport(e, rep)
	doubt := end == TimedOut || end == ConnectionLost || end == Canceled || end == Unconfirmed
	b.unconfirmed = b.unconfirmed || end == Unconfirmed
	if doubt {
		b.keyQueue.restUntil, b.keyQueue.restExempt = r.now+r.settleTime, b
	}
	if b.mayHaveRunOn == nil && (end == Completed || end == Errored || doubt) {
		b.mayHaveRunOn, b.mayHaveRunSince = e, d.sentAt
	}
	r.gateOpensAt = r.now
	for _, o := range b.dispatches {
		// A batch that errs wherever it goes is at fault itself: errors count once an engine has answered.
		once := b.Group.Idempotency == AtMostOnce
		if o == d && (end != Errored || once) || end == Completed && o.ended && o.outcome == Errored {
			r.recordHealth(o)
		}
	}
	if end == Completed && work > 0 {
		r.learnFromAnswer(b, took, clampNonNegative(work, 1e5), clampNonNegative(memory, 1e7))
	} else if end == Completed && work < 0 {
		r.learnFromDuration(b, clampNonNegative(took, 1e5))
	}
	if last {
		r.RemoveBatch(b)
		for _, o := range b.dispatches { // of two copies the loser is given up at once
			if r.mayCancel && !o.ended && !o.cancelRequested {
				o.cancelRequested, r.pending = true, append(r.pending, Decision{Kind: Cancel, Batch: b, Number: o.number})
			}
		}
	} else if r.dequeue(b); !b.Done && b.InFlight == 0 {
		if b.Route != nil {
			b.wantsQuota, b.reconsiderAt = false, r.now+b.Route.JitteredRetryDelay(r.randomFloat())
		}
		r.enqueue(b)
		r.nextSweepAt = r.now
	}
}

// learnFromDuration learns from an answer that tells no work, as engines of some protocols do: else time-outs would
// never follow what is usual there, and a silent engine would hold its batches to their limits. It covers
// answers that leave it out for once. It hurts under load, when what took long is held for large.
func (r *Router) learnFromDuration(b *Batch, took float64) {
	g := b.Group
	g.memorySum += g.memorySum / max(g.answerCount, 1)
	g.workSum, g.answerCount = g.workSum+took*g.Threads, g.answerCount+1
	if r.lastPauseAt != r.now {
		g.stretch.add(took / max(b.timeAlone, 1e-3))
	}
	g.decay()
}

func (r *Router) learnFromAnswer(b *Batch, took, work, memory float64) {
	g := b.Group
	if b.EstimatedWork > 0 && b.EstimatedWork < 1e5 {
		r.recordEstimate(g, math.Log(b.EstimatedWork), work)
		g.estimateSum, g.actualSum, g.estimateCount = g.estimateSum+b.EstimatedWork, g.actualSum+work, g.estimateCount+1
	}
	if b.EstimatedMemory > 0 && memory > 0 {
		g.memoryEstimateSum, g.memoryActualSum = g.memoryEstimateSum+b.EstimatedMemory, g.memoryActualSum+memory
	}
	g.workSum, g.memorySum, g.answerCount = g.workSum+work, g.memorySum+memory, g.answerCount+1
	// The mark is the threads a core at which answers take about so long: figures that leave out other
	// routers' threads, spilling, busy disks and slow cores all show there. It only rises while batches wait.
	if r.lastPauseAt == r.now { // how long it took is not known
		return
	}
	if step := math.Log(targetStretch * work / (g.Threads * max(took, 1e-3))); step < 0 || len(r.queue) > 0 {
		step = min(max(step, -1), 1) * min(2*work/max(r.meanDemand, 1e-3), 2)
		r.admissionThreshold = min(max(r.admissionThreshold*(1+thresholdStep*step), minThreshold), maxThreshold)
	}
	g.stretch.add(took / max(b.timeAlone, 1e-3))
	g.decay()
}

func (g *ServiceGroup) decay() {
	if g.answerCount >= 128 {
		g.estimateSum, g.actualSum, g.estimateCount, g.memoryEstimateSum = g.estimateSum/2, g.actualSum/2, g.estimateCount/2, g.memoryEstimateSum/2
		g.memoryActualSum, g.workSum, g.memorySum, g.answerCount = g.memoryActualSum/2, g.workSum/2, g.memorySum/2, g.answerCount/2
	}
}

// estimateLikelyWork is the work that a batch most likely needs, for the books of cold engines; the page's demand orders
// batches. Where estimates are rough, what looks small enough for a share is mostly told too small: it took
// 1.6 times what was booked, and large ones take less. Below coldRouters nothing evens that out, and two
// large ones pushed an engine over: there none counts for less than its demand, nor, while few answers speak
// for less, than was told. It hurts where large ones are told far too large.
func (r *Router) estimateLikelyWork(b *Batch) float64 {
	g := b.Group
	if b.EstimatedWork <= 0 || b.EstimatedWork >= 1e5 {
		return b.demand
	}
	if g.pairCount < 4 { // not known yet: no less than where nothing is told
		return max(b.demand, g.Goal*g.Threads/4)
	}
	likely := math.Exp(r.slope()*(math.Log(b.EstimatedWork)-g.meanLogEstimate)) * g.recentActual / g.recentPredicted
	if r.quotaSharers < coldBudgetRouters {
		return max(likely, min(b.demand*(1+uncertaintyDeviations/math.Sqrt(g.estimateCount+1)), max(b.EstimatedWork, b.demand)))
	}
	return likely + max(b.demand-likely, 0)/math.Sqrt(coldBudgetRouters)
}

// slope is by how much the logarithm of true work grows with that of told work: one for exact estimates.
func (r *Router) slope() float64 {
	return min(max((r.estimateCovariance+slopePrior)/(r.estimateVariance+slopePrior), 0), 1)
}

func (r *Router) recordEstimate(g *ServiceGroup, told, work float64) {
	g.pairCount = min(g.pairCount+1, 64)
	from, to := told-g.meanLogEstimate, math.Log(max(work, 1e-6))-g.meanLogActual
	if g.pairCount > 1 {
		r.estimateVariance, r.estimateCovariance = r.estimateVariance*(1-1.0/256)+from*from, r.estimateCovariance*(1-1.0/256)+from*to
	}
	g.meanLogEstimate, g.meanLogActual = g.meanLogEstimate+from/g.pairCount, g.meanLogActual+to/g.pairCount
	g.recentActual -= g.recentActual/64 - work
	g.recentPredicted -= g.recentPredicted/64 - math.Exp(r.slope()*(told-g.meanLogEstimate))
}

// recordHealth counts how an engine does, in all and for the batch's group: it may turn away one group for long, and
// looks idle to it. Covers any failure that one group meets; hurts where failures are mere chance.
func (r *Router) recordHealth(d *dispatch) {
	for _, h := range []*health{&d.engine.health, d.engine.groupHealth[d.batch.Group]} {
		switch d.outcome {
		case Completed:
			d.engine.lastSeenAt, h.successes, h.consecutiveFailures = r.now, h.successes+1, 0
			if h.ejectedUntil > 0 && d.sentAt >= h.ejectedAt {
				r.log("engine %d back after %.1f s", d.engine.ID, h.backoff)
				h.ejectedUntil, h.backoff = 0, h.backoff/2
			}
		case ConnectFailed, ConnectionLost, Rejected, Errored:
			if h.lastFailureAt < r.now { // what fails together fails for one cause
				h.failures, h.consecutiveFailures, h.lastFailureAt = h.failures+1, h.consecutiveFailures+1, r.now
			}
			fallthrough
		case TimedOut, Unconfirmed:
			failing := h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveFailures >= 3 && h.failures > h.successes && d.engine.ejectedUntil == 0
			if r.now >= h.ejectedUntil && (failing || h.ejectedUntil > 0) {
				r.eject(d.engine, h, "failing")
			}
		}
		if h.successes+h.failures > 32 {
			h.successes, h.failures, h.backoff = h.successes/2, h.failures/2, h.backoff/2
		}
	}
}

func (r *Router) eject(e *Engine, h *health, why string) {
	h.ejectedAt, h.backoff = r.now, min(max(minEjectionTime, 2*h.backoff), maxEjectionTime)
	h.ejectedUntil = r.now + h.backoff*(0.75+0.5*r.randomFloat())
	r.log("engine %d aside for %.1f s: %s, good %.0f bad %.0f, for all groups %t", e.ID, h.backoff, why, h.successes,
		h.failures, h == &e.health)
}

func (r *Router) ProbeEnded(e *Engine, ok bool, rep *Report) {
	if e.probing = false; ok {
		r.recordReport(e, rep)
	}
}

func (r *Router) recordReport(e *Engine, rep *Report) {
	if rep == nil || sanitize(*rep) == e.report { // the same figures again are the same report, or frozen
		return
	}
	e.report, e.reportAt = sanitize(*rep), r.now
	if r.lastPauseAt == r.now {
		e.reportAt -= r.lastPause / 2
	}
	// A held count left out is told by memory and what batches at work are like. Memory left out stays with the
	// engine: guessed from the count, far more is pushed back than would wait there.
	held, memory, each := e.report.InFlight, max(e.report.Memory, 0)*e.memory/r.grantFactor, r.typicalBatch
	if held < 0 && e.report.Memory >= 0 && each.memory > 0 {
		held = memory * each.batches / each.memory
	}
	if held < 0 {
		return
	}
	e.reported = resources{1, held * each.threads / each.batches, memory}.perEngine(e)
	// A cold engine is kept nearly empty by its budget and tells nothing of the others: in the pool, six in ten
	// made jammed ones look idle, and 30 heavy batches met on each. It hurts where all are cold: none tells.
	if r.inSlowStart(e) {
		return
	}
	one := resources{1, min(e.reported.threads, 2*maxThreshold), min(e.reported.memory, 1)} // one that lies stays one
	r.averageLoad = r.averageLoad.add(one.add(r.averageLoad, -1), max(min((r.now-r.averageLoadAt)/averageLoadWindow, 1), 0.03))
	r.averageLoadAt = r.now
}

func (r *Router) DispatchUpdated(b *Batch, no int, kind Update, level float64) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d := b.dispatches[no]
	if d.engine.lastSeenAt, d.lastUpdateAt = r.now, r.now; kind == Progress {
		d.progress, d.progressAt = clampNonNegative(level, 1), r.now
	}
}

func (r *Router) TimerFired() { r.wakeAt = math.Inf(1) }

func (r *Router) Next() Decision {
	if r.now >= r.nextSweepAt {
		r.sweep()
	}
	if len(r.pending) > 0 {
		d := r.pending[0]
		r.pending = r.pending[1:]
		return d
	}
	if b, e := r.nextDispatch(); b != nil {
		return r.send(b, e)
	}
	if e := r.nextProbe(); e != nil {
		e.probing, e.probedAt, r.probeCredit = true, r.now, r.probeCredit-r.probeCost()
		return Decision{Kind: Probe, Engine: e}
	}
	return r.scheduleWake()
}

func (r *Router) scheduleWake() Decision {
	at := r.now + 2*sweepInterval
	if len(r.queue) > 0 && r.gateOpensAt > r.now {
		at = min(at, r.gateOpensAt)
	}
	busy := len(r.queue) > 0 || slices.ContainsFunc(r.engines, func(e *Engine) bool { return len(e.inFlight) > 0 })
	if !busy || at >= r.wakeAt && r.wakeAt > r.now {
		return Decision{}
	}
	r.wakeAt = at
	return Decision{Kind: WakeAt, At: at}
}

// giveUp answers a batch for good, at once. A pushback is a promise that nothing ran or a repeat is harmless.
func (r *Router) giveUp(b *Batch) Decision {
	r.RemoveBatch(b)
	anywhere := b.mayHaveRunOn == nil || b.Group.Idempotency == Idempotent || b.Group.DedupScope == WithinAll
	if anywhere && r.safeToRetry(b, r.retryDelay) {
		return Decision{Kind: Reject, Batch: b, Wait: r.retryDelay}
	}
	return Decision{Kind: Fail, Batch: b}
}

// FinalDecision answers a batch for good while its router ends. What is out may have run; what never was, or may run
// again, goes back: an error for it would lose what another router still has the time for.
func (r *Router) FinalDecision(b *Batch) Decision {
	if b.InFlight > 0 && b.Group.Idempotency != Idempotent {
		r.RemoveBatch(b)
		return Decision{Kind: Fail, Batch: b}
	}
	return r.giveUp(b)
}

// PrepareShutdown tells that the process is about to end. Nothing is sent to cold engines from now on: the next one
// under the same name may run already, and goes by the same part of what they bear.
func (r *Router) PrepareShutdown() { r.stopping = true }

func (r *Router) mayDispatch(b *Batch) bool {
	// A budget of its route that is spent ends the batch at once: others would wait behind it, and it would come
	// back into the same trouble. It hurts where the trouble ends the next moment.
	return !b.unconfirmed && len(b.dispatches) < r.maxTries(b) && r.safeToRetry(b, r.tick) &&
		(b.InFlight == 0 || r.load < maxHedgeLoad) &&
		(len(b.dispatches) == 0 || b.Route.MayRetrySoon(r.now) && r.retryBudget.MayRetrySoon(r.now))
}

// safeToRetry: nothing ran, or a repeat may run so much later.
func (r *Router) safeToRetry(b *Batch, later float64) bool {
	return b.mayHaveRunOn == nil || b.Group.Idempotency == Idempotent ||
		b.Group.Idempotency == Deduplicated && r.now+later < b.dedupDeadline()
}

// dedupDeadline is when the engines forget the mark of one that may have run.
func (b *Batch) dedupDeadline() float64 { return b.mayHaveRunSince + b.Group.DedupWindow }

func (r *Router) timeNeeded(b *Batch) float64 { // to be tried
	return max(r.reduced.GiveUpFactor, 1)*(1+r.load*fullLoadSlowdown)*b.timeAlone + 3*sweepInterval
}

func (r *Router) retriesExhausted() bool {
	old := func(at float64) bool { return at <= r.now-r.retryWindow }
	r.arrivals, r.retries = slices.DeleteFunc(r.arrivals, old), slices.DeleteFunc(r.retries, old)
	return float64(len(r.retries)+1) > r.freeRetries+r.retryRatio*float64(len(r.arrivals))
}

// sweep looks now and then at all that is held or out for what time alone has changed.
func (r *Router) sweep() {
	maps.DeleteFunc(r.keyQueues, func(_ uint64, l *keyQueue) bool {
		return len(l.batches) == 0 && l.inFlight == 0 && r.now >= l.restUntil
	})
	r.retriesExhausted() // forgets what is old
	passed := min(r.now-r.sweptAt, 1)
	r.sweptAt, r.nextSweepAt = r.now, r.now+sweepInterval
	if r.mustSubscribe {
		r.mustSubscribe, r.pending = false, append(r.pending, Decision{Kind: Subscribe})
	}
	for _, b := range slices.Clone(r.queue) {
		// Given up: it can no longer be answered with any utility, or not be sent again.
		if r.mayDispatch(b) && r.now+r.timeNeeded(b) <= b.usefulUntil {
			continue
		}
		if r.dequeue(b); b.InFlight == 0 { // else there is no copy, and the first goes on
			r.pending = append(r.pending, r.giveUp(b))
		}
	}
	var out resources
	cores, memory, busy, told, fresh, ready, aside := 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0
	for _, e := range r.engines {
		late := 0
		for _, h := range e.groupHealth {
			h.failures -= h.failures * passed / failureDecayTime
		}
		for _, d := range e.inFlight {
			g := d.batch.Group
			out = out.add(d.resources, 1)
			age, usual := r.now-d.sentAt-(r.totalPause-d.pausedBefore), d.batch.timeAlone*g.stretch.quantile(0.95, 8)
			if age > overdueFactor*usual+0.2 && e.lastSeenAt < d.sentAt {
				late++
			}
			repeat := g.Idempotency == Idempotent || g.Idempotency == Deduplicated && r.now+1 < d.sentAt+g.DedupWindow
			repeat = repeat && len(d.batch.dispatches) < r.maxTries(d.batch) && d.batch.Route.MayRetrySoon(r.now) && !d.batch.Done
			if r.mayCancel && !d.cancelRequested && repeat && r.shouldRestart(d) {
				d.cancelRequested = true
				r.pending = append(r.pending, Decision{Kind: Cancel, Batch: d.batch, Number: d.number})
			} else if repeat && r.shouldHedge(d) {
				r.enqueue(d.batch)
			}
		}
		if r.now >= e.ejectedUntil && (late >= 3 || late > 0 && late == len(e.inFlight) && r.now-e.lastSeenAt > 1) {
			r.eject(e, &e.health, "silent")
		}
		if e.Phase == Ready {
			ready++
			if e.ejectedUntil > 0 {
				aside++
			}
			cores, memory = cores+e.cores, memory+e.memory
			if r.hasFreshReport(e) {
				fresh++
			}
			if e.report.CPU >= 0 && e.reportAt > 0 {
				busy, told = busy+e.report.CPU, told+1
			}
		}
	}
	if shaken := 2*aside > ready; shaken != r.mostEjected {
		r.mostEjected = shaken
		r.log("%d of %d engines aside, shaken %t", aside, ready, shaken)
	}
	r.reportedShare = fresh / max(float64(ready), 1)
	r.similarRouters = 1 + (r.routerCount-1)*r.reportedShare
	r.ownLoad = r.ownLoad.add(out.add(r.ownLoad, -1), passed/ownLoadWindow)
	if cores > 0 {
		seen := r.averageLoad.threads
		if r.now > r.averageLoadAt+ownLoadWindow { // no report tells of others: they are taken to be like us
			fleet := &Engine{engineState: engineState{cores: cores, memory: memory}}
			r.averageLoad = resources{}.add(r.ownLoad, r.routerCount-1).perEngine(fleet)
			seen = r.averageLoad.threads + r.ownLoad.threads/cores
		}
		if told > 0 {
			seen = busy / told
		}
		r.load += (min(max(seen, 0), maxLoad) - r.load) * passed / loadSmoothingTime
	}
}

// shouldRestart: a fresh dispatch would be far quicker (a bad plan, an engine that crawls), its notes have ceased
// (an answer got lost), or the engine is set aside. It may hurt when all engines slow down at once.
func (r *Router) shouldRestart(d *dispatch) bool {
	usual := d.batch.timeAlone * d.batch.Group.stretch.quantile(0.75, 4)
	rest := (d.progressAt-d.sentAt)*(1-d.progress)/d.progress - (r.now - d.progressAt)
	lost := r.updateInterval > 0 && r.now-max(d.sentAt, d.lastUpdateAt)-(r.totalPause-d.pausedBefore) > missedUpdates*r.updateInterval
	slow := d.progress > 0 && rest > restartGain*usual && d.batch.Group.Idempotency == Idempotent
	silent := d.engine.ejectedUntil > r.now && d.engine.lastSeenAt < d.sentAt
	return r.now+usual < d.batch.deadline && (lost || slow || silent)
}

// shouldHedge: it takes longer than the quantile that its route names, so another engine may well answer sooner.
// Work done twice is no help to a fleet that is full, or reduced. It hurts where all engines are slow at
// once: the share bounds that.
func (r *Router) shouldHedge(d *dispatch) bool {
	b := d.batch
	return b.Route.MayHedge(r.now) && r.mayHedge && b.Group.Idempotency == Idempotent && b.InFlight == 1 && !b.Streaming &&
		!d.cancelRequested && r.reduced.isZero() && r.load < maxHedgeLoad && !slices.Contains(r.queue, b) &&
		r.now-d.sentAt-(r.totalPause-d.pausedBefore) > b.timeAlone*b.Group.stretch.quantile(b.Route.Hedging.AfterQuantile, 8)
}

// nextDispatch is the design's ordinary path: which batch leaves next, where to, and whether the gate lets it.
func (r *Router) nextDispatch() (*Batch, *Engine) {
	for tries := 0; r.now >= r.gateOpensAt && tries < maxPlacementTries; tries++ {
		b := r.pickBatch()
		if b == nil {
			break
		}
		e, figure := r.placeBatch(b)
		if r.quotaLackingEngine != nil && (e == nil || r.quotaLackingScore < figure) {
			b.wantsQuota, b.quotaWantedAt = true, cmp.Or(b.quotaWantedAt, r.now)
			if b.reconsiderAt = b.quotaWantedAt + r.quota.Request(r.now, r.quotaLackingEngine.startID(), b.likelyWork); r.now < b.reconsiderAt {
				continue
			}
		}
		if e == nil {
			b.reconsiderAt = r.now + minGateDelay
			continue
		}
		if figure < r.admissionThreshold || r.randomFloat() < r.admissionThreshold/figure {
			return b, e
		}
		// The page lets the batch redraw; with many held a crowd walks through, so the whole gateway waits.
		r.gateOpensAt = r.now + minGateDelay + (maxGateDelay-minGateDelay)*r.randomFloat()
	}
	return nil, nil
}

// pickBatch: the smallest demand past twice the threshold; else, of many slow, the most slowed; else the smallest.
func (r *Router) pickBatch() *Batch {
	threshold := 1 / (1 - r.load)
	var first, worst *Batch
	slow, most := 0, 0.0
	for _, b := range r.queue {
		if b.reconsiderAt > r.now || !r.isNextOfKey(b) || len(b.dispatches) > 0 && (!r.mayDispatch(b) || r.limitRetries && r.retriesExhausted() ||
			!b.Route.MayRetryNow(r.now) || !r.retryBudget.MayRetryNow(r.now)) || !b.Route.HasCapacity(r.now) {
			continue
		}
		first = cmp.Or(first, b)
		slowdown := (r.now - b.receivedAt + b.timeAlone) / max(b.timeAlone, 1e-3)
		if slowdown > 2*threshold {
			return b
		}
		if slowdown > threshold {
			if slow++; slowdown >= most {
				worst, most = b, slowdown
			}
		}
	}
	if slow > maxSlowBatches {
		return worst
	}
	return first
}

// isNextOfKey tells whether the key's earlier batches are over, have all their outcomes, and the key has rested.
func (r *Router) isNextOfKey(b *Batch) bool {
	l := b.keyQueue
	return l.batches[0] == b && l.inFlight == b.InFlight && (r.now >= l.restUntil || l.restExempt == b)
}

// placeBatch gives the engine with the lowest figure among those the batch may go to, and the one without a part.
func (r *Router) placeBatch(b *Batch) (best *Engine, figure float64) {
	r.quotaLackingEngine = nil
	others := len(b.dispatches) > 0 && slices.ContainsFunc(r.engines, func(e *Engine) bool {
		return e.ejectedUntil == 0 && e.groupHealth[b.Group].ejectedUntil == 0 && !b.refusedBy(e) && r.allowed(b, e) &&
			r.hasQuota(b, e)
	})
	for _, e := range r.engines {
		room := r.hasQuota(b, e)
		if !room && !r.quotaOnDemand || !r.allowed(b, e) || others && b.refusedBy(e) || !r.canAccept(b, e) {
			continue
		}
		f := r.estimateLoad(e).threads
		if g := b.Group; g.LocksDataSet || g.WaitsForLock {
			// A load holds its data set on its engine; what waits for it stands still there with its memory.
			if slices.ContainsFunc(e.inFlight, func(d *dispatch) bool {
				return d.batch.DataSet == b.DataSet && (d.batch.Group.LocksDataSet || g.LocksDataSet && d.batch.Group.WaitsForLock)
			}) {
				f += lockedDataPenalty
			}
		} else if (r.routerCount <= 1 || r.hasFreshReport(e) || r.now < e.othersValidUntil) &&
			shares.HashFraction(math.Float64bits(b.DataSet)>>24+1, uint64(e.ID))*float64(len(r.engines)) < warmDataEngines {
			f -= warmDataBonus
		} else if r.now < e.othersValidUntil && r.randomFloat()*float64(len(r.engines)) >= sampledEngines {
			f += unsampledPenalty
		}
		h := e.groupHealth[b.Group]
		f += failurePenalty * h.failures / (h.successes + h.failures + 4)
		if room && (best == nil || f < figure) {
			best, figure = e, f
		} else if !room && (r.quotaLackingEngine == nil || f < r.quotaLackingScore) {
			r.quotaLackingEngine, r.quotaLackingScore = e, f
		}
	}
	return best, figure
}

// refusedBy: its word was no. On an engine that takes one batch at a time a connection, silence counts too:
// no check tells there which of the two is silent, and three dispatches went to one silent engine. Elsewhere
// that was no gain (brno-klima-later 0.873 to 0.870). It hurts where only the one was slow.
func (b *Batch) refusedBy(e *Engine) bool {
	return slices.ContainsFunc(b.dispatches, func(d *dispatch) bool {
		return d.engine == e && d.ended && (d.outcome == Rejected || d.outcome == Errored || d.outcome == TimedOut && e.OneBatchPerConnection)
	})
}

// allowed: what the rules say, at every dispatch.
func (r *Router) allowed(b *Batch, e *Engine) bool {
	g, at := b.Group, b.mayHaveRunOn
	return e.Phase == Ready && b.Route.AllowsEngineKind(e.Kind) && (g.Zones == nil || slices.Contains(g.Zones, e.Zone)) &&
		(g.Kinds == nil || slices.Contains(g.Kinds, e.Kind)) &&
		(at == nil || g.Idempotency != Deduplicated || (g.DedupScope != WithinZone || e.Zone == at.Zone) &&
			(g.DedupScope != WithinCell || e.Cell == at.Cell))
}

// hasQuota: what a cold engine bears is divided among all routers, by a fixed division or by talk.
func (r *Router) hasQuota(b *Batch, e *Engine) bool {
	return !r.inSlowStart(e) || !r.stopping && r.quota.CanSpend(r.now, e.startID(), b.likelyWork)
}

// inSlowStart tells whether an engine may still be slow after its start. The time of the start is another machine's
// and may be off by hours, so it only tells one start from another: slow start runs on our clock, from when
// the start was first heard of.
func (r *Router) inSlowStart(e *Engine) bool {
	return e.StartedAt != 0 && r.now < e.startReceivedAt+r.slowStartTime
}

// canAccept: bounds, health and memory. An engine set aside is tried with one batch at a time once its time has
// come, or at once while most are set aside: nearly all failing is more likely the network's doing, or ours.
func (r *Router) canAccept(b *Batch, e *Engine) bool {
	here := func(d *dispatch) bool { // where a copy may not go
		return !d.ended && (d.engine == e || b.Route.HedgesToOtherZone() && d.engine.Zone == e.Zone)
	}
	if b.InFlight > 0 && slices.ContainsFunc(b.dispatches, here) || !b.Route.HasEngineCapacity(e.countSharing(b)) ||
		len(b.dispatches) > 0 && !e.RetryBudget.MayRetrySoon(r.now) || // what has failed elsewhere must not fall on one
		e.ConcurrencyLimit != nil && float64(len(e.inFlight)) >= e.ConcurrencyLimit.Limit() {
		return false
	}
	for _, h := range []*health{&e.health, e.groupHealth[b.Group]} {
		all := h == &e.health
		trial := func(d *dispatch) bool { return d.sentAt >= h.ejectedAt && (all || d.batch.Group == b.Group) }
		if h.ejectedUntil > 0 && (r.now < h.ejectedUntil && !r.mostEjected || slices.ContainsFunc(e.inFlight, trial)) {
			return false
		}
	}
	// A small batch may go where a heavy one may not: it needs room for some of its like, of which routers
	// that act alike send one each, but never more than the share that counts as full leaves free.
	need := min(b.memoryNeed*memoryMargin, r.maxGrantShare*e.memory)
	full := unreportedMemoryLimit + (memoryLimit-unreportedMemoryLimit)*r.reportedShare
	room := min(max(minSimilarRoom, extraSimilarRoom+r.similarRouters)*need, need+(1-full)*e.memory)
	return need <= 0 || r.estimateLoad(e).memory*e.memory+room <= e.memory
}

func (r *Router) hasFreshReport(e *Engine) bool {
	return e.reported.batches > 0 && r.now < e.reportAt+reportLifetime
}

// estimateLoad: an engine's threads a core and share of memory spoken for, by whom ever. One router of hundreds
// sees next to nothing of the rest, so reports are pooled over fleet and time; an old one leans to the pool,
// no one counts as fuller. What was sent since a report counts once for each router that likely acts on its
// like, or all meet on one. It hurts where one engine fills much faster than the fleet.
func (r *Router) estimateLoad(e *Engine) resources {
	var own, since resources
	for _, d := range e.inFlight {
		own = own.add(d.resources, 1)
		if d.sentAt > e.reportAt-reportDelay {
			since = since.add(d.resources, r.similarRouters)
		}
	}
	own, since = own.perEngine(e), since.perEngine(e)
	if r.now < e.othersValidUntil { // what all have out is told, but for what has come in the meantime
		return own.add(e.othersLoad, 1)
	}
	all, others := resources{}.add(own, r.similarRouters), 1-1/r.routerCount
	switch {
	case r.hasFreshReport(e) && e.report.Memory < 0:
		own.memory = all.memory
	case r.hasFreshReport(e) && e.report.InFlight < 0: // reports that lack both are never believed
		own.threads = all.threads
	case r.hasFreshReport(e):
	case r.inSlowStart(e): // only the few that share its budget send there, each like us
		return resources{}.add(own, r.quotaSharers)
	case r.reportedShare == 0:
		return all.add(r.averageLoad, others)
	default:
		return all.add(resources{0, unreportedThreadFactor * r.averageLoad.threads, unreportedMemoryFactor * r.averageLoad.memory}, others)
	}
	old := (r.now - e.reportAt) / reportLifetime
	sum := since.add(e.reported, 1-old).add(r.averageLoad, old)
	return resources{0, max(own.threads, sum.threads), max(own.memory, sum.memory)}
}

func (r *Router) send(b *Batch, e *Engine) Decision {
	r.dequeue(b)
	if len(b.dispatches) > 0 {
		r.retries = append(r.retries, r.now)
		b.Route.CountRetry(r.now)
		r.retryBudget.CountRetry(r.now)
		e.RetryBudget.CountRetry(r.now)
	} else {
		e.RetryBudget.CountBatch(r.now)
	}
	if b.InFlight > 0 {
		b.Route.CountHedge(r.now)
	}
	b.Route.CountUsage(r.now, 1, 0)
	d := &dispatch{batch: b, engine: e, number: len(b.dispatches), sentAt: r.now, pausedBefore: r.totalPause,
		resources: resources{1, b.Group.Threads, min(b.memoryNeed*memoryMargin, r.maxGrantShare*e.memory)}}
	b.dispatches = append(b.dispatches, d)
	e.inFlight = append(e.inFlight, d)
	b.InFlight++
	b.keyQueue.inFlight++
	if r.inSlowStart(e) {
		r.quota.Spend(r.now, e.startID(), b.likelyWork)
	}
	wait := b.deadline - r.now
	g, again := b.Group, b.Group.Idempotency == Idempotent || b.Group.Idempotency == Deduplicated && e.OneBatchPerConnection
	if again && len(b.dispatches) < r.maxTries(b) {
		own := overdueFactor*b.timeAlone*g.stretch.quantile(0.98, 16) + 0.2
		if early := b.usefulUntil - r.now - r.timeNeeded(b) - sweepInterval; early > b.timeAlone*g.stretch.quantile(0.9, 8) {
			own = min(own, early) // else a lost answer leaves no time for another try
		}
		// Nothing can be asked beside a batch on an engine that takes one at a time a connection, so a time-out
		// alone tells there of a lost answer to a referenced one. It hurts where such a batch was only slow: its
		// repeat costs a dispatch, and is answered once the first has ended.
		inTime := g.Idempotency == Idempotent || own+1 < g.DedupWindow && r.safeToRetry(b, own+1)
		if r.now+own+2*b.timeAlone < b.deadline && inTime {
			wait = own
		}
	}
	if b.Group.Idempotency != AtMostOnce { // a time-out would only lose its answer
		wait = b.Route.CapTimeout(wait)
	}
	out := Decision{Kind: Dispatch, Batch: b, Engine: e, Number: d.number, Wait: wait}
	if g.Idempotency == Deduplicated && b.mayHaveRunOn != nil { // engines forget what ran, also while a connection comes up
		out.SendBefore = b.dedupDeadline()
	}
	if !r.grants && !r.priorities {
		return out
	}
	terms := Decision{Kind: Terms, Batch: b, Priority: 1}
	if r.grants {
		terms.Memory = min(d.resources.memory*r.grantFactor, r.maxGrantShare*e.memory)
	}
	if r.priorities {
		doublings := math.Log2(max(2*b.demand/max(r.meanDemand, 1e-6), 0.25)) // 3 under half the mean
		terms.Priority = min(max(3-int(math.Ceil(doublings/2)), 0), 3)
	}
	r.pending = append(r.pending, out)
	return terms
}

// nextProbe gives the engine whose load is to be asked for, within what a probe is worth.
func (r *Router) nextProbe() *Engine {
	if !r.mayProbe || r.probeCredit < r.probeCost() {
		return nil
	}
	var oldest *Engine
	for _, e := range r.engines {
		due := e.Phase == Ready && !e.probing && r.now > e.probedAt+minProbeInterval
		// A cold one comes last: what goes there is bounded by its budget, whatever its load.
		if last := r.inSlowStart(e); due && (oldest == nil || r.inSlowStart(oldest) && !last ||
			r.inSlowStart(oldest) == last && e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	return oldest
}
