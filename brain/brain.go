// Package brain is the scheduler of a router: it decides which batch is dispatched when and to which engine,
// and when a batch is retried, hedged, rejected or failed. types.go holds its data types and seen.go the rest
// of its interface.
//
// A host creates a Router with New. In each round it calls SetTime, then one method for each event
// (UpdateEngines, AddBatch, DispatchEnded, RemoveBatch, DispatchUpdated, ProbeEnded, TimerFired), which only
// record what is known, and then Next until it returns NoDecision, carrying out each decision. The package is
// deterministic: it reads no clock, uses no random numbers but those of its seed, and communicates only
// through these calls. A Router is not safe for concurrent use. All times are in seconds.
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

// The admission threshold is the load of an engine, in threads per core, below which a batch is started there
// at once. Answers adjust it by their stretch: the time that an answer took, divided by the time that its
// batch would have taken alone on an idle engine.
const (
	initialThreshold = 1.5  // threads per core
	minThreshold     = 0.4  // threads per core
	maxThreshold     = 4.0  // threads per core
	thresholdStep    = 0.02 // relative change by one answer at most; twice that for a large batch
	targetStretch    = 1.5  // at this stretch an engine is in full use, but not yet overloaded
)

// Scoring of engines for a batch.
const (
	// Where all routers know the same loads, a few randomly drawn engines are preferred: otherwise all routers
	// would choose the same least loaded engine.
	sampledEngines    = 3.0 // engines drawn
	unsampledPenalty  = 1.0 // threads per core by which another engine must be less loaded
	warmDataBonus     = 0.4 // threads per core that a data set that is probably cached is worth
	warmDataEngines   = 2   // engines on which a data set is probably cached
	lockedDataPenalty = 2.0 // threads per core for an engine where a load locks the data set
	maxSlowBatches    = 4   // slowed batches that may wait before the most slowed one goes first
)

// The load estimate of the fleet, a share of its capacity.
const (
	initialLoad       = 0.9  // until something is known
	maxLoad           = 0.95 // keeps 1/(1-load) finite
	loadSmoothingTime = 2.0  // seconds; time constant
)

// When even the best engine for a batch is too loaded, the router starts no queued batch for a random time
// between these bounds: the gate is closed.
const (
	minGateDelay = 0.05 // seconds
	maxGateDelay = 0.2  // seconds
)

// How engines' load reports are used.
const (
	reportDelay            = 0.4 // seconds; the age of a report when it arrives
	reportLifetime         = 1.4 // seconds for which a report is believed after its arrival
	unreportedThreadFactor = 2.0 // an engine without a report counts as this many times as loaded as average,
	unreportedMemoryFactor = 8.0 // and as this many times as full
	averageLoadWindow      = 4.0 // seconds for which a report counts towards the average
	ownLoadWindow          = 5.0 // seconds over which own dispatches are averaged where there are no reports
)

// Memory.
const (
	memoryLimit           = 0.65 // share of an engine's memory for heavy batches if all engines report,
	unreportedMemoryLimit = 0.55 // and if none does
	minSimilarRoom        = 8.0  // batches of the same need that must fit before one is sent, at least,
	extraSimilarRoom      = 4.0  // and in addition to one for each router that acts on the same report
	memoryMargin          = 1.25 // grant over the corrected need
	overcommitGrantFactor = 3.0  // further factor of a grant where an engine checks only the memory in use
)

// Probes, cold engines and hedges.
const (
	probeCostShare    = 0.005 // share of the result that probes may cost
	minProbeInterval  = 0.25  // seconds between two probes of an engine
	warmUtilization   = 0.85  // share of an engine's cores that counts as its capacity
	coldBudgetShare   = 0.95  // share of what a cold engine can take that is used
	coldBudgetRouters = 16    // routers that share the budget of a cold engine, at most
	maxHedgeLoad      = 0.75  // load of the fleet from which no hedges are sent
)

// Outlier ejection and process pauses.
const (
	minEjectionTime        = 1.0  // seconds until an ejected engine is tried again; doubled each time
	maxEjectionTime        = 8.0  // seconds
	maxConsecutiveFailures = 6.0  // failures in a row that eject an engine
	failurePenalty         = 3.0  // threads per core for an engine that always fails
	failureDecayTime       = 8.0  // seconds; time constant of the decay of failures
	missedUpdates          = 2.5  // update intervals without an update after which a dispatch counts as lost
	sweepInterval          = 0.05 // seconds
	minPause               = 0.2  // seconds by which a late timer shows that this process was paused
)

// Part of the time that a client waits is reserved for the way of the answer and for pauses, as clients leave
// exactly at their deadline. The reserve costs the answers that would have come in the last moment.
const (
	transitShare   = 0.05 // of the time that the client waits
	minTransitTime = 0.04 // seconds
	maxTransitTime = 0.25 // seconds
)

// Estimates, retries and restarts.
const (
	slopePrior            = 8.0 // pairs of estimated and actual work assumed to be exact at the start
	uncertaintyDeviations = 2.0 // standard deviations that count as safe
	fullLoadSlowdown      = 1.0 // extra time of a batch at full load, as a multiple of its time alone
	maxPlacementTries     = 16  // batches in one call of Next for which no engine was found
	overdueFactor         = 2.0 // a dispatch is overdue after this many times the longest usual time
	restartGain           = 2.0 // a dispatch is restarted if the rest takes this many times a fresh start
)

// New returns a Router with these settings. The seed determines all random choices; now is the start time.
func New(settings Settings, seed uint64, now float64) *Router {
	r := &Router{
		groups:             settings.Groups,
		routerCount:        max(float64(settings.Routers), 1),
		index:              settings.Index,
		engineKinds:        settings.EngineKinds,
		grants:             settings.Grants,
		priorities:         settings.Priorities,
		maxGrantShare:      min(cmp.Or(max(settings.MaxGrantShare, 0), 1), 1),
		mayCancel:          settings.MayCancel,
		mayHedge:           settings.MayHedge,
		mayProbe:           settings.MayProbe,
		mustSubscribe:      settings.MustSubscribe,
		limitRetries:       settings.LimitRetries,
		maxDispatches:      max(settings.MaxDispatches, 1),
		batchesPerProbe:    min(max(settings.ProbeCost/probeCostShare, 1), 16),
		slowStartTime:      settings.SlowStartTime,
		settleTime:         settings.SettleTime,
		tick:               settings.Tick,
		freeRetries:        settings.FreeRetries,
		grantFactor:        1,
		retryRatio:         settings.RetryRatio,
		retryWindow:        settings.RetryWindow,
		now:                now,
		startedAt:          now,
		retryDelay:         settings.MaxRetryDelay,
		randomState:        seed&0xffffffff | 1<<33,
		keyQueues:          map[uint64]*keyQueue{},
		load:               initialLoad,
		admissionThreshold: initialThreshold,
		sweptAt:            now,
		nextSweepAt:        now,
		wakeAt:             math.Inf(1),
		updateInterval:     settings.UpdateInterval,
	}
	if r.grants && settings.MemoryPolicy == Overcommit {
		r.grantFactor = overcommitGrantFactor
	}
	r.fixedQuota = shares.FixedConfig{
		Routers:    float64(settings.Routers),
		Index:      settings.Index,
		MaxHolders: coldBudgetRouters,
		StartedAt:  now,
		Total: coldBudgetShare * settings.OverloadFactor * settings.ColdCapacityShare * warmUtilization *
			settings.OverloadWindow,
		Window: settings.OverloadWindow,
	}
	r.quota, r.quotaSharers = shares.NewFixedDivision(r.fixedQuota), min(r.routerCount, coldBudgetRouters)
	for _, g := range settings.Groups {
		g.Threads = max(g.Threads, 1)
		r.typicalBatch.batches, r.typicalBatch.threads =
			r.typicalBatch.batches+1e-3, r.typicalBatch.threads+1e-3*g.Threads
	}
	return r
}

// SetTime sets the current time; an earlier one than before is ignored.
func (r *Router) SetTime(now float64) {
	r.now = max(r.now, now)
	// A timer that fires far too late shows that this process was paused: the silence of engines during that
	// time tells nothing of them, and messages that are read now are old.
	if late := r.now - r.wakeAt; late > minPause && r.lastPauseAt < r.now {
		added := late
		if r.lastPauseAt > r.wakeAt { // the pause before is the beginning of this one
			added = r.now - r.lastPauseAt
		} else {
			r.log("stood still for %.1f s, %d held", late, len(r.queue))
		}
		r.lastPause, r.lastPauseAt, r.totalPause = late, r.now, r.totalPause+added
	}
}

// UpdateEngines takes a list of engines. If whole is set, engines that are not in the list are gone;
// otherwise the list holds only what changed.
func (r *Router) UpdateEngines(list []*Engine, whole bool) {
	for _, engine := range list {
		if engine.cores = 1; engine.Kind < len(r.engineKinds) {
			engine.cores, engine.memory = max(r.engineKinds[engine.Kind].Cores, 1), r.engineKinds[engine.Kind].Memory
		}
		r.largestMemory = max(r.largestMemory, engine.memory)
		// The engine runs as a new process: forget what was measured and reported of the previous one.
		if engine.groupHealth == nil || engine.knownStart != engine.StartedAt {
			engine.knownStart, engine.startReceivedAt, engine.health, engine.reportAt, engine.reported =
				engine.StartedAt, r.now, health{}, 0, resources{}
			engine.groupHealth = map[*ServiceGroup]*health{}
			for _, g := range r.groups {
				engine.groupHealth[g] = &health{}
			}
		}
		if !slices.Contains(r.engines, engine) {
			// Each router keeps the engines in its own random order: otherwise all routers would break ties in favour
			// of the first engine of the list.
			r.engines = slices.Insert(r.engines, int(r.randomFloat()*float64(len(r.engines)+1)), engine)
		}
	}
	r.engines = slices.DeleteFunc(r.engines, func(engine *Engine) bool {
		if whole && !slices.Contains(list, engine) {
			engine.Phase = Gone
		}
		return engine.Phase == Gone && len(engine.inFlight) == 0
	})
}

// EngineListFailed records that the list of engines could not be had; Next asks for it again.
func (r *Router) EngineListFailed() { r.mustSubscribe = true }

// AddBatch takes a batch. From now on it gets exactly one final answer: the outcome of a dispatch, a Reject
// or a Fail, unless the host calls RemoveBatch.
func (r *Router) AddBatch(batch *Batch) {
	group := batch.Group
	batch.receivedAt, batch.deadline = r.now, r.now+
		clampNonNegative(batch.TimeLeft-min(max(transitShare*batch.TimeLeft, minTransitTime), maxTransitTime), 1e6)
	batch.demand = clampNonNegative(batch.EstimatedWork, 1e5)
	if batch.demand > 0 {
		prior := 4*group.estimateSum/max(group.estimateCount, 1) + 1e-6
		batch.demand *= (group.actualSum + prior) / (group.estimateSum + prior)
	} else if batch.demand = group.workSum / max(group.answerCount, 1); batch.demand == 0 {
		batch.demand = group.Goal * group.Threads / 4
	}
	batch.memoryNeed = clampNonNegative(batch.EstimatedMemory, 1e7)
	if batch.memoryNeed > 0 && group.memoryEstimateSum > 0 {
		batch.memoryNeed *= group.memoryActualSum / group.memoryEstimateSum
	} else if batch.memoryNeed == 0 && group.answerCount > 0 {
		batch.memoryNeed = group.memorySum / group.answerCount
	}
	batch.timeAlone, batch.likelyWork, batch.usefulUntil =
		batch.demand/group.Threads, r.estimateLikelyWork(batch), batch.deadline
	if group.LateShare <= 0 { // an answer after the goal has no utility
		batch.usefulUntil = min(batch.deadline, r.now+group.Goal+group.GoalStretch*batch.timeAlone)
	}
	// A batch is weighted by its time alone, as it occupies an engine in proportion to that: so the first batch
	// already gives an estimate of what runs on the engines. A batch that can't end in time or fits on no engine
	// is left out.
	if batch.timeAlone <= group.Limit && (r.largestMemory == 0 || batch.memoryNeed <= r.largestMemory) {
		r.meanDemand += (batch.demand - r.meanDemand) / 64
		r.typicalBatch = r.typicalBatch.add(r.typicalBatch, -1.0/64).
			add(resources{1, group.Threads, batch.memoryNeed * memoryMargin}, batch.timeAlone)
	}
	if batch.keyQueue = (&keyQueue{}); group.InOrder && batch.Key != 0 {
		batch.keyQueue = cmp.Or(r.keyQueues[batch.Key], batch.keyQueue)
		r.keyQueues[batch.Key] = batch.keyQueue
	}
	// Only the first batch of its key is answered at once: another one's answer could overtake an earlier one.
	first := len(batch.keyQueue.batches) == 0 && batch.keyQueue.inFlight == 0
	limitAction := batch.Route.ActionOnArrival(r.now)
	if batch.Shed = first && limitAction == limits.QueueBatch && r.shouldShed(batch); batch.Shed ||
		first && limitAction != limits.QueueBatch {
		decision := r.giveUp(batch)
		if limitAction == limits.FailBatch {
			decision = Decision{Kind: Fail, Batch: batch}
		}
		r.pending = append(r.pending, decision)
		return
	}
	batch.Route.CountBatch(r.now)
	r.retryBudget.CountBatch(r.now)
	batch.keyQueue.batches, r.arrivals = append(batch.keyQueue.batches, batch), append(r.arrivals, r.now)
	r.probeCredit = min(r.probeCredit+1, 8*r.probeCost())
	r.enqueue(batch)
	// A batch with little time left can't wait for the regular sweep.
	r.nextSweepAt = min(r.nextSweepAt, batch.deadline-4*sweepInterval)
}

// SetReducedService sets the level of reduced service from now on. Batches that were added before stay.
func (r *Router) SetReducedService(level ReducedService) { r.reduced = level }

// shouldShed reports whether the level of reduced service excludes a batch.
func (r *Router) shouldShed(b *Batch) bool {
	keep, some := r.reduced.KeepShare[b.Group]
	return r.reduced.MinUtilityPerSecond*b.demand > b.Group.Utility || some && r.randomFloat() >= keep
}

// maxTries returns how many dispatches a batch may have in all.
func (r *Router) maxTries(b *Batch) int {
	maxTries := b.Route.DispatchLimit(r.maxDispatches)
	if r.reduced.MaxRetries != 0 {
		maxTries = min(maxTries, 1+max(r.reduced.MaxRetries, 0))
	}
	return maxTries
}

// probeCost returns the credit that one load probe costs. Each batch that is added to the router earns a
// credit of 1, so that the number of probes follows the number of batches.
func (r *Router) probeCost() float64 { return r.batchesPerProbe / cmp.Or(r.reduced.ProbeShare, 1) }

// enqueue puts a batch into the queue, which is ordered by demand.
func (r *Router) enqueue(b *Batch) {
	i := sort.Search(len(r.queue), func(i int) bool { return r.queue[i].demand > b.demand })
	r.queue = slices.Insert(r.queue, i, b)
	b.Route.CountUsage(r.now, 0, 1)
}

// dequeue removes a batch from the queue, if it is there.
func (r *Router) dequeue(b *Batch) {
	n := len(r.queue)
	r.queue = without(r.queue, b)
	b.Route.CountUsage(r.now, 0, len(r.queue)-n)
}

// RemoveBatch ends a batch: its client has left or it was answered. Dispatches in flight still end by
// DispatchEnded.
func (r *Router) RemoveBatch(b *Batch) {
	b.Done = true
	r.dequeue(b)
	b.keyQueue.batches = without(b.keyQueue.batches, b)
}

// DispatchEnded records the outcome of dispatch number of a batch. last says that the batch ends with it;
// took is its time in seconds; work, in seconds, and memory, in MB, are what it needed (0: not known; work
// below 0: the protocol of the engine doesn't report it); report is the engine's load, or nil. Unknown and
// repeated outcomes are ignored.
func (r *Router) DispatchEnded(batch *Batch, number int, outcome Outcome, last bool,
	took, work, memory float64, report *Report) {
	if number >= len(batch.dispatches) || batch.dispatches[number].ended {
		return
	}
	attempt, engine := batch.dispatches[number], batch.dispatches[number].engine
	attempt.ended, attempt.outcome, engine.inFlight = true, outcome, without(engine.inFlight, attempt)
	batch.InFlight, batch.keyQueue.inFlight = batch.InFlight-1, batch.keyQueue.inFlight-1
	batch.Route.CountUsage(r.now, -1, 0)
	if engine.ConcurrencyLimit != nil && outcome != Canceled && outcome != NotSent {
		engine.ConcurrencyLimit.Observe(attempt.sample(r.now, took, work))
	}
	r.recordReport(engine, report)
	mayStillRun := outcome == TimedOut || outcome == ConnectionLost || outcome == Canceled ||
		outcome == Unconfirmed
	batch.unconfirmed = batch.unconfirmed || outcome == Unconfirmed
	if mayStillRun {
		batch.keyQueue.restUntil, batch.keyQueue.restExempt = r.now+r.settleTime, batch
	}
	if batch.mayHaveRunOn == nil && (outcome == Completed || outcome == Errored || mayStillRun) {
		batch.mayHaveRunOn, batch.mayHaveRunSince = engine, attempt.sentAt
	}
	r.gateOpensAt = r.now
	for _, other := range batch.dispatches {
		// A batch that fails on every engine is itself the cause: an error counts against an engine only once
		// another dispatch of the batch has succeeded.
		atMostOnce := batch.Group.Idempotency == AtMostOnce
		if other == attempt && (outcome != Errored || atMostOnce) ||
			outcome == Completed && other.ended && other.outcome == Errored {
			r.recordHealth(other)
		}
	}
	if outcome == Completed && work > 0 {
		r.learnFromAnswer(batch, took, clampNonNegative(work, 1e5), clampNonNegative(memory, 1e7))
	} else if outcome == Completed && work < 0 {
		r.learnFromDuration(batch, clampNonNegative(took, 1e5))
	}
	if last {
		r.RemoveBatch(batch)
		for _, other := range batch.dispatches { // the losing copy of a hedged batch is canceled at once
			if r.mayCancel && !other.ended && !other.cancelRequested {
				other.cancelRequested, r.pending = true,
					append(r.pending, Decision{Kind: Cancel, Batch: batch, Number: other.number})
			}
		}
	} else if r.dequeue(batch); !batch.Done && batch.InFlight == 0 {
		if batch.Route != nil {
			batch.wantsQuota, batch.reconsiderAt = false, r.now+batch.Route.JitteredRetryDelay(r.randomFloat())
		}
		r.enqueue(batch)
		r.nextSweepAt = r.now
	}
}

// learnFromDuration learns from an answer that doesn't report its work, as with engines of some protocols, or
// once in a while. Without it, time-outs would never adapt to the usual times, and a silent engine would keep
// its batches until their time limits. Drawback: under load, a batch that took long counts as large.
func (r *Router) learnFromDuration(batch *Batch, took float64) {
	group := batch.Group
	group.memorySum += group.memorySum / max(group.answerCount, 1)
	group.workSum, group.answerCount = group.workSum+took*group.Threads, group.answerCount+1
	if r.lastPauseAt != r.now {
		group.stretch.add(took / max(batch.timeAlone, 1e-3))
	}
	group.decay()
}

// learnFromAnswer updates the group's statistics and the admission threshold by the work (seconds) and memory
// (MB) that an answer reports.
func (r *Router) learnFromAnswer(batch *Batch, took, work, memory float64) {
	group := batch.Group
	if batch.EstimatedWork > 0 && batch.EstimatedWork < 1e5 {
		r.recordEstimate(group, math.Log(batch.EstimatedWork), work)
		group.estimateSum, group.actualSum, group.estimateCount =
			group.estimateSum+batch.EstimatedWork, group.actualSum+work, group.estimateCount+1
	}
	if batch.EstimatedMemory > 0 && memory > 0 {
		group.memoryEstimateSum, group.memoryActualSum =
			group.memoryEstimateSum+batch.EstimatedMemory, group.memoryActualSum+memory
	}
	group.workSum, group.memorySum, group.answerCount =
		group.workSum+work, group.memorySum+memory, group.answerCount+1
	// The admission threshold is the load at which answers take about targetStretch times their time alone. It
	// thereby covers what reports leave out: other routers' threads, spilling, busy disks and slow cores. It
	// rises only while batches are queued.
	if r.lastPauseAt == r.now { // after a pause of this process the time taken is not known
		return
	}
	if step := math.Log(targetStretch * work / (group.Threads * max(took, 1e-3))); step < 0 || len(r.queue) > 0 {
		step = min(max(step, -1), 1) * min(2*work/max(r.meanDemand, 1e-3), 2)
		r.admissionThreshold = min(max(r.admissionThreshold*(1+thresholdStep*step), minThreshold), maxThreshold)
	}
	group.stretch.add(took / max(batch.timeAlone, 1e-3))
	group.decay()
}

// decay halves the sums from time to time, so that recent answers count more.
func (g *ServiceGroup) decay() {
	if g.answerCount >= 128 {
		g.estimateSum, g.actualSum, g.estimateCount, g.memoryEstimateSum =
			g.estimateSum/2, g.actualSum/2, g.estimateCount/2, g.memoryEstimateSum/2
		g.memoryActualSum, g.workSum, g.memorySum, g.answerCount =
			g.memoryActualSum/2, g.workSum/2, g.memorySum/2, g.answerCount/2
	}
}

// estimateLikelyWork returns the work in seconds that a batch most likely needs. It is charged to the quotas
// of cold engines; the queue is ordered by demand instead. Where estimates are inaccurate, batches that look
// small enough for a quota are mostly underestimated (they took 1.6 times what was charged) and large ones
// are overestimated. With fewer than coldBudgetRouters routers nothing evens that out, and two large batches
// overloaded an engine: there no batch is charged less than its demand nor, while few answers justify less,
// less than its estimate. Drawback: batches whose estimates are far too large get too little of the quota.
func (r *Router) estimateLikelyWork(batch *Batch) float64 {
	group := batch.Group
	if batch.EstimatedWork <= 0 || batch.EstimatedWork >= 1e5 {
		return batch.demand
	}
	if group.pairCount < 4 { // too few answers: at least what a batch without an estimate is charged
		return max(batch.demand, group.Goal*group.Threads/4)
	}
	likely := math.Exp(r.slope()*(math.Log(batch.EstimatedWork)-group.meanLogEstimate)) *
		group.recentActual / group.recentPredicted
	if r.quotaSharers < coldBudgetRouters {
		return max(likely, min(batch.demand*(1+uncertaintyDeviations/math.Sqrt(group.estimateCount+1)),
			max(batch.EstimatedWork, batch.demand)))
	}
	return likely + max(batch.demand-likely, 0)/math.Sqrt(coldBudgetRouters)
}

// slope returns the regression slope of log actual work on log estimated work; 1 for exact estimates.
func (r *Router) slope() float64 {
	return min(max((r.estimateCovariance+slopePrior)/(r.estimateVariance+slopePrior), 0), 1)
}

// recordEstimate adds a pair of estimated work (its logarithm) and actual work to the regression.
func (r *Router) recordEstimate(group *ServiceGroup, logEstimate, work float64) {
	group.pairCount = min(group.pairCount+1, 64)
	estimateDeviation, actualDeviation :=
		logEstimate-group.meanLogEstimate, math.Log(max(work, 1e-6))-group.meanLogActual
	if group.pairCount > 1 {
		r.estimateVariance, r.estimateCovariance =
			r.estimateVariance*(1-1.0/256)+estimateDeviation*estimateDeviation,
			r.estimateCovariance*(1-1.0/256)+estimateDeviation*actualDeviation
	}
	group.meanLogEstimate, group.meanLogActual =
		group.meanLogEstimate+estimateDeviation/group.pairCount, group.meanLogActual+actualDeviation/group.pairCount
	group.recentActual -= group.recentActual/64 - work
	group.recentPredicted -= group.recentPredicted/64 - math.Exp(r.slope()*(logEstimate-group.meanLogEstimate))
}

// recordHealth counts the outcome of a dispatch for its engine as a whole and for its group on that engine,
// and ejects the engine where too many fail. Groups count separately, as an engine may reject one group for
// long and then looks idle to it; that covers any failure that concerns one group. Drawback: random failures
// eject engines, too.
func (r *Router) recordHealth(attempt *dispatch) {
	for _, h := range []*health{&attempt.engine.health, attempt.engine.groupHealth[attempt.batch.Group]} {
		switch attempt.outcome {
		case Completed:
			attempt.engine.lastSeenAt, h.successes, h.consecutiveFailures = r.now, h.successes+1, 0
			if h.ejectedUntil > 0 && attempt.sentAt >= h.ejectedAt {
				r.log("engine %d back after %.1f s", attempt.engine.ID, h.backoff)
				h.ejectedUntil, h.backoff = 0, h.backoff/2
			}
		case ConnectFailed, ConnectionLost, Rejected, Errored:
			if h.lastFailureAt < r.now { // failures at the same time have one cause and count once
				h.failures, h.consecutiveFailures, h.lastFailureAt = h.failures+1, h.consecutiveFailures+1, r.now
			}
			fallthrough
		case TimedOut, Unconfirmed:
			failing := h.consecutiveFailures >= maxConsecutiveFailures ||
				h.consecutiveFailures >= 3 && h.failures > h.successes && attempt.engine.ejectedUntil == 0
			if r.now >= h.ejectedUntil && (failing || h.ejectedUntil > 0) {
				r.eject(attempt.engine, h, "failing")
			}
		}
		if h.successes+h.failures > 32 {
			h.successes, h.failures, h.backoff = h.successes/2, h.failures/2, h.backoff/2
		}
	}
}

// eject excludes an engine, or one group on it, for a random time around the backoff, doubled each time.
func (r *Router) eject(engine *Engine, h *health, reason string) {
	h.ejectedAt, h.backoff = r.now, min(max(minEjectionTime, 2*h.backoff), maxEjectionTime)
	h.ejectedUntil = r.now + h.backoff*(0.75+0.5*r.randomFloat())
	r.log("engine %d aside for %.1f s: %s, good %.0f bad %.0f, for all groups %t", engine.ID, h.backoff, reason,
		h.successes, h.failures, h == &engine.health)
}

// ProbeEnded records the end of a probe: whether the engine answered, and the load it reported (nil: none).
func (r *Router) ProbeEnded(engine *Engine, ok bool, report *Report) {
	if engine.probing = false; ok {
		r.recordReport(engine, report)
	}
}

// recordReport takes an engine's report of its load and updates the average load of the fleet.
func (r *Router) recordReport(engine *Engine, report *Report) {
	if report == nil || sanitize(*report) == engine.report { // the same report, or stuck values
		return
	}
	engine.report, engine.reportAt = sanitize(*report), r.now
	if r.lastPauseAt == r.now {
		engine.reportAt -= r.lastPause / 2
	}
	// A report without the number of batches: it is estimated by the memory in use and a typical batch. Memory
	// is not estimated the other way round: far more batches were rejected then than would have waited at the
	// engine.
	inFlight, memory, typical :=
		engine.report.InFlight, max(engine.report.Memory, 0)*engine.memory/r.grantFactor, r.typicalBatch
	if inFlight < 0 && engine.report.Memory >= 0 && typical.memory > 0 {
		inFlight = memory * typical.batches / typical.memory
	}
	if inFlight < 0 {
		return
	}
	engine.reported = resources{1, inFlight * typical.threads / typical.batches, memory}.perEngine(engine)
	// A cold engine is kept nearly empty by its quota, so its report tells nothing of the others: when six in
	// ten engines were cold and counted in the average, overloaded ones looked idle, and 30 heavy batches ran at
	// the same time on each of them. Drawback: while all engines are cold, the average follows no report.
	if r.inSlowStart(engine) {
		return
	}
	// The bounds keep the influence of an engine that reports absurd values to that of one engine.
	bounded := resources{1, min(engine.reported.threads, 2*maxThreshold), min(engine.reported.memory, 1)}
	r.averageLoad = r.averageLoad.add(bounded.add(r.averageLoad, -1),
		max(min((r.now-r.averageLoadAt)/averageLoadWindow, 1), 0.03))
	r.averageLoadAt = r.now
}

// DispatchUpdated records an update of a dispatch in flight. For Progress, level is the share done (0 to 1).
func (r *Router) DispatchUpdated(b *Batch, number int, kind Update, level float64) {
	if number >= len(b.dispatches) || b.dispatches[number].ended {
		return
	}
	attempt := b.dispatches[number]
	if attempt.engine.lastSeenAt, attempt.lastUpdateAt = r.now, r.now; kind == Progress {
		attempt.progress, attempt.progressAt = clampNonNegative(level, 1), r.now
	}
}

// TimerFired records that the timer set by the last WakeAt decision has fired.
func (r *Router) TimerFired() { r.wakeAt = math.Inf(1) }

// Next returns the next decision; NoDecision if there is nothing to do before the next event.
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

// scheduleWake asks for a timer while batches are queued or in flight, unless an earlier one is set.
func (r *Router) scheduleWake() Decision {
	at := r.now + 2*sweepInterval
	if len(r.queue) > 0 && r.gateOpensAt > r.now {
		at = min(at, r.gateOpensAt)
	}
	busy := len(r.queue) > 0 ||
		slices.ContainsFunc(r.engines, func(e *Engine) bool { return len(e.inFlight) > 0 })
	if !busy || at >= r.wakeAt && r.wakeAt > r.now {
		return Decision{}
	}
	r.wakeAt = at
	return Decision{Kind: WakeAt, At: at}
}

// giveUp ends a batch at once with a final answer. A rejection promises that the batch did not run or is safe
// to retry.
func (r *Router) giveUp(b *Batch) Decision {
	r.RemoveBatch(b)
	canMove := b.mayHaveRunOn == nil || b.Group.Idempotency == Idempotent || b.Group.DedupScope == WithinAll
	if canMove && r.safeToRetry(b, r.retryDelay) {
		return Decision{Kind: Reject, Batch: b, Wait: r.retryDelay}
	}
	return Decision{Kind: Fail, Batch: b}
}

// FinalDecision returns the final answer of a batch while its router shuts down. A batch in flight may have
// run and fails unless it is idempotent. One that was not dispatched or is safe to retry is rejected rather
// than failed, as another router may still have the time for it.
func (r *Router) FinalDecision(b *Batch) Decision {
	if b.InFlight > 0 && b.Group.Idempotency != Idempotent {
		r.RemoveBatch(b)
		return Decision{Kind: Fail, Batch: b}
	}
	return r.giveUp(b)
}

// PrepareShutdown announces that the process is about to end. From now on nothing is sent to cold engines:
// the next process under the same name may already run, and it uses the same quota.
func (r *Router) PrepareShutdown() { r.stopping = true }

// mayDispatch reports whether another dispatch of a batch is allowed: no cancellation of an earlier one is
// unconfirmed, the batch has tries left and is safe to retry, a hedge is still permitted if a dispatch is in
// flight, and the retry budgets of the route and the router permit a retry. It does not check the deadline.
func (r *Router) mayDispatch(b *Batch) bool {
	// An exhausted retry budget of its route ends the batch at once: others would wait behind it, and its retry
	// would meet the same failure. Drawback: the failure may be over a moment later, when a retry would succeed.
	return !b.unconfirmed && len(b.dispatches) < r.maxTries(b) && r.safeToRetry(b, r.tick) &&
		(b.InFlight == 0 || r.mayHedgeNow(b)) &&
		(len(b.dispatches) == 0 || b.Route.MayRetrySoon(r.now) && r.retryBudget.MayRetrySoon(r.now))
}

// safeToRetry reports whether a batch can't have run, or may run again within delay seconds from now.
func (r *Router) safeToRetry(b *Batch, delay float64) bool {
	return b.mayHaveRunOn == nil || b.Group.Idempotency == Idempotent ||
		b.Group.Idempotency == Deduplicated && r.now+delay < b.dedupDeadline()
}

// dedupDeadline returns when engines forget the batch's deduplication mark, if it may have run.
func (b *Batch) dedupDeadline() float64 { return b.mayHaveRunSince + b.Group.DedupWindow }

// timeNeeded returns the seconds that must be left for a dispatch of the batch.
func (r *Router) timeNeeded(b *Batch) float64 {
	return max(r.reduced.GiveUpFactor, 1)*(1+r.load*fullLoadSlowdown)*b.timeAlone + 3*sweepInterval
}

// retriesExhausted reports whether the router's retry budget is used up; it also drops entries older than
// the window.
func (r *Router) retriesExhausted() bool {
	old := func(at float64) bool { return at <= r.now-r.retryWindow }
	r.arrivals, r.retries = slices.DeleteFunc(r.arrivals, old), slices.DeleteFunc(r.retries, old)
	return float64(len(r.retries)+1) > r.freeRetries+r.retryRatio*float64(len(r.arrivals))
}

// sweep checks all queued batches, dispatches in flight and engines for what has changed by the passing of
// time: batches to give up, dispatches to cancel or hedge, silent engines, and the load estimates.
func (r *Router) sweep() {
	maps.DeleteFunc(r.keyQueues, func(_ uint64, l *keyQueue) bool {
		return len(l.batches) == 0 && l.inFlight == 0 && r.now >= l.restUntil
	})
	r.retriesExhausted() // drops old entries
	elapsed := min(r.now-r.sweptAt, 1)
	r.sweptAt, r.nextSweepAt = r.now, r.now+sweepInterval
	if r.mustSubscribe {
		r.mustSubscribe, r.pending = false, append(r.pending, Decision{Kind: Subscribe})
	}
	for _, b := range slices.Clone(r.queue) {
		// A batch is given up when no answer in time has any utility left or it must not be dispatched again.
		if r.mayDispatch(b) && r.now+r.timeNeeded(b) <= b.usefulUntil {
			continue
		}
		if r.dequeue(b); b.InFlight == 0 { // otherwise only the hedge is dropped, and the first dispatch goes on
			r.pending = append(r.pending, r.giveUp(b))
		}
	}
	var ownLoad resources
	cores, memory, busy, reporting, freshReports, ready, ejected := 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0
	for _, engine := range r.engines {
		overdue := 0
		for _, h := range engine.groupHealth {
			h.failures -= h.failures * elapsed / failureDecayTime
		}
		for _, attempt := range engine.inFlight {
			group := attempt.batch.Group
			ownLoad = ownLoad.add(attempt.resources, 1)
			age, usual := r.now-attempt.sentAt-(r.totalPause-attempt.pausedBefore),
				attempt.batch.timeAlone*group.stretch.quantile(0.95, 8)
			if age > overdueFactor*usual+0.2 && engine.lastSeenAt < attempt.sentAt {
				overdue++
			}
			mayRetry := group.Idempotency == Idempotent ||
				group.Idempotency == Deduplicated && r.now+1 < attempt.sentAt+group.DedupWindow
			mayRetry = mayRetry && len(attempt.batch.dispatches) < r.maxTries(attempt.batch) &&
				attempt.batch.Route.MayRetrySoon(r.now) && !attempt.batch.Done && !attempt.batch.Streaming
			if r.mayCancel && !attempt.cancelRequested && mayRetry && r.shouldRestart(attempt) {
				attempt.cancelRequested = true
				r.pending = append(r.pending, Decision{Kind: Cancel, Batch: attempt.batch, Number: attempt.number})
			} else if mayRetry && r.shouldHedge(attempt) {
				r.enqueue(attempt.batch)
			}
		}
		if r.now >= engine.ejectedUntil &&
			(overdue >= 3 || overdue > 0 && overdue == len(engine.inFlight) && r.now-engine.lastSeenAt > 1) {
			r.eject(engine, &engine.health, "silent")
		}
		if engine.Phase == Ready {
			ready++
			if engine.ejectedUntil > 0 {
				ejected++
			}
			cores, memory = cores+engine.cores, memory+engine.memory
			if r.hasFreshReport(engine) {
				freshReports++
			}
			if engine.report.CPU >= 0 && engine.reportAt > 0 {
				busy, reporting = busy+engine.report.CPU, reporting+1
			}
		}
	}
	if mostEjected := 2*ejected > ready; mostEjected != r.mostEjected {
		r.mostEjected = mostEjected
		r.log("%d of %d engines aside, shaken %t", ejected, ready, mostEjected)
	}
	r.reportedShare = freshReports / max(float64(ready), 1)
	r.similarRouters = 1 + (r.routerCount-1)*r.reportedShare
	r.ownLoad = r.ownLoad.add(ownLoad.add(r.ownLoad, -1), elapsed/ownLoadWindow)
	if cores > 0 {
		seen := r.averageLoad.threads
		// Without reports, the other routers are assumed to send as much as this one.
		if r.now > r.averageLoadAt+ownLoadWindow {
			fleet := &Engine{engineState: engineState{cores: cores, memory: memory}}
			r.averageLoad = resources{}.add(r.ownLoad, r.routerCount-1).perEngine(fleet)
			seen = r.averageLoad.threads + r.ownLoad.threads/cores
		}
		if reporting > 0 {
			seen = busy / reporting
		}
		r.load += (min(max(seen, 0), maxLoad) - r.load) * elapsed / loadSmoothingTime
	}
}

// shouldRestart reports whether a dispatch is to be canceled for another one: a fresh start would be far
// quicker (a bad query plan, a slow engine), its updates have stopped (the answer was lost), or its engine is
// ejected. Drawback: work is lost when all engines slow down at once.
func (r *Router) shouldRestart(attempt *dispatch) bool {
	usual := attempt.batch.timeAlone * attempt.batch.Group.stretch.quantile(0.75, 4)
	remaining := (attempt.progressAt-attempt.sentAt)*(1-attempt.progress)/attempt.progress -
		(r.now - attempt.progressAt)
	lost := r.updateInterval > 0 &&
		r.now-max(attempt.sentAt, attempt.lastUpdateAt)-(r.totalPause-attempt.pausedBefore) >
			missedUpdates*r.updateInterval
	slow := attempt.progress > 0 && remaining > restartGain*usual &&
		attempt.batch.Group.Idempotency == Idempotent
	silent := attempt.engine.ejectedUntil > r.now && attempt.engine.lastSeenAt < attempt.sentAt
	return r.now+usual < attempt.batch.deadline && (lost || slow || silent)
}

// shouldHedge reports whether a second copy of a batch is to be queued: the first has taken longer than the
// quantile that its route names, so another engine may well answer sooner. Drawback: all are copied where all
// engines are slow at once; the route's share of copies bounds that.
func (r *Router) shouldHedge(attempt *dispatch) bool {
	b := attempt.batch
	return r.mayHedgeNow(b) && !attempt.cancelRequested && !slices.Contains(r.queue, b) &&
		r.now-attempt.sentAt-(r.totalPause-attempt.pausedBefore) >
			b.timeAlone*b.Group.stretch.quantile(b.Route.Hedging.AfterQuantile, 8)
}

// mayHedgeNow reports whether a second copy of a batch in flight may be sent now. It is asked when the copy
// is queued and again when it is sent, as a copy may wait for long: for capacity of its route, the gate or an
// engine. No copies are sent while the fleet is full or at a level of reduced service, as they add work, nor
// once rows of the first dispatch have been passed on: rows of two dispatches can't be mixed.
func (r *Router) mayHedgeNow(b *Batch) bool {
	return b.Route.MayHedge(r.now) && r.mayHedge && b.Group.Idempotency == Idempotent && b.InFlight == 1 &&
		!b.Streaming && r.reduced.isZero() && r.load < maxHedgeLoad
}

// nextDispatch returns the batch to dispatch next and its engine, or nil while the gate is closed or nothing
// fits. A batch passes the gate if the score of its engine is below the admission threshold, and otherwise
// with a chance of threshold over score.
func (r *Router) nextDispatch() (*Batch, *Engine) {
	for tries := 0; r.now >= r.gateOpensAt && tries < maxPlacementTries; tries++ {
		b := r.pickBatch()
		if b == nil {
			break
		}
		e, score := r.placeBatch(b)
		if r.quotaLackingEngine != nil && (e == nil || r.quotaLackingScore < score) {
			b.wantsQuota, b.quotaWantedAt = true, cmp.Or(b.quotaWantedAt, r.now)
			b.reconsiderAt = b.quotaWantedAt + r.quota.Request(r.now, r.quotaLackingEngine.startID(), b.likelyWork)
			if r.now < b.reconsiderAt {
				continue
			}
		}
		if e == nil {
			b.reconsiderAt = r.now + minGateDelay
			continue
		}
		if score < r.admissionThreshold || r.randomFloat() < r.admissionThreshold/score {
			return b, e
		}
		// The whole router waits, not just this batch: if each batch drew alone, many of a long queue would pass.
		r.gateOpensAt = r.now + minGateDelay + (maxGateDelay-minGateDelay)*r.randomFloat()
	}
	return nil, nil
}

// pickBatch returns the queued batch to dispatch next. Slowdown is the time since arrival plus the time
// alone, over the time alone; its threshold is 1/(1-load). First comes the batch of smallest demand whose
// slowdown is above twice the threshold. Otherwise, if more than maxSlowBatches are above the threshold, it
// is the most slowed of them; otherwise the batch of smallest demand.
func (r *Router) pickBatch() *Batch {
	threshold := 1 / (1 - r.load)
	var first, worst *Batch
	slowCount, maxSlowdown := 0, 0.0
	for _, b := range r.queue {
		if b.reconsiderAt > r.now || !r.isNextOfKey(b) ||
			len(b.dispatches) > 0 && (!r.mayDispatch(b) || r.limitRetries && r.retriesExhausted() ||
				!b.Route.MayRetryNow(r.now) || !r.retryBudget.MayRetryNow(r.now)) || !b.Route.HasCapacity(r.now) {
			continue
		}
		first = cmp.Or(first, b)
		slowdown := (r.now - b.receivedAt + b.timeAlone) / max(b.timeAlone, 1e-3)
		if slowdown > 2*threshold {
			return b
		}
		if slowdown > threshold {
			if slowCount++; slowdown >= maxSlowdown {
				worst, maxSlowdown = b, slowdown
			}
		}
	}
	if slowCount > maxSlowBatches {
		return worst
	}
	return first
}

// isNextOfKey reports whether all earlier batches of the key are done and none of their dispatches is in
// flight. After an outcome with which a dispatch may still run at its engine (a time-out, a lost connection,
// or a cancellation, confirmed or not) the settle time must have passed too, except for that batch itself.
func (r *Router) isNextOfKey(b *Batch) bool {
	l := b.keyQueue
	return l.batches[0] == b && l.inFlight == b.InFlight && (r.now >= l.restUntil || l.restExempt == b)
}

// placeBatch returns the engine with the lowest score (threads per core, with bonuses and penalties) of those
// that may take the batch. It sets quotaLackingEngine to the best engine that only lacks quota, or nil.
func (r *Router) placeBatch(batch *Batch) (best *Engine, bestScore float64) {
	r.quotaLackingEngine = nil
	preferOthers := len(batch.dispatches) > 0 && slices.ContainsFunc(r.engines, func(engine *Engine) bool {
		return engine.ejectedUntil == 0 && engine.groupHealth[batch.Group].ejectedUntil == 0 &&
			!batch.refusedBy(engine) && r.allowed(batch, engine) && r.hasQuota(batch, engine)
	})
	for _, engine := range r.engines {
		hasQuota := r.hasQuota(batch, engine)
		if !hasQuota && !r.quotaOnDemand || !r.allowed(batch, engine) || preferOthers && batch.refusedBy(engine) ||
			!r.canAccept(batch, engine) {
			continue
		}
		score := r.estimateLoad(engine).threads
		if g := batch.Group; g.LocksDataSet || g.WaitsForLock {
			// A load locks its data set on its engine; a batch that waits for the lock keeps its memory meanwhile.
			if slices.ContainsFunc(engine.inFlight, func(d *dispatch) bool {
				return d.batch.DataSet == batch.DataSet &&
					(d.batch.Group.LocksDataSet || g.LocksDataSet && d.batch.Group.WaitsForLock)
			}) {
				score += lockedDataPenalty
			}
		} else if (r.routerCount <= 1 || r.hasFreshReport(engine) || r.now < engine.othersValidUntil) &&
			shares.HashFraction(math.Float64bits(batch.DataSet)>>24+1, uint64(engine.ID))*
				float64(len(r.engines)) < warmDataEngines {
			score -= warmDataBonus
		} else if r.now < engine.othersValidUntil && r.randomFloat()*float64(len(r.engines)) >= sampledEngines {
			score += unsampledPenalty
		}
		h := engine.groupHealth[batch.Group]
		score += failurePenalty * h.failures / (h.successes + h.failures + 4)
		if hasQuota && (best == nil || score < bestScore) {
			best, bestScore = engine, score
		} else if !hasQuota && (r.quotaLackingEngine == nil || score < r.quotaLackingScore) {
			r.quotaLackingEngine, r.quotaLackingScore = engine, score
		}
	}
	return best, bestScore
}

// refusedBy reports whether a dispatch of the batch was rejected or failed with an error at the engine. On an
// engine that takes one batch at a time per connection a time-out counts as well: no check can tell there
// whether the engine or the batch is silent, and three dispatches went to one silent engine. Elsewhere
// counting time-outs was no gain (bench score 0.873 to 0.870 on one bench deployment). Drawback: the engine
// is avoided also where only that one batch was slow.
func (b *Batch) refusedBy(e *Engine) bool {
	return slices.ContainsFunc(b.dispatches, func(d *dispatch) bool {
		return d.engine == e && d.ended &&
			(d.outcome == Rejected || d.outcome == Errored || d.outcome == TimedOut && e.OneBatchPerConnection)
	})
}

// allowed reports whether the placement rules let a batch go to an engine: its phase, the route and the
// group's zones and kinds, and for a batch that may have run the scope of its deduplication.
func (r *Router) allowed(b *Batch, e *Engine) bool {
	g, at := b.Group, b.mayHaveRunOn
	return e.Phase == Ready && b.Route.AllowsEngineKind(e.Kind) &&
		(g.Zones == nil || slices.Contains(g.Zones, e.Zone)) &&
		(g.Kinds == nil || slices.Contains(g.Kinds, e.Kind)) &&
		(at == nil || g.Idempotency != Deduplicated || (g.DedupScope != WithinZone || e.Zone == at.Zone) &&
			(g.DedupScope != WithinCell || e.Cell == at.Cell))
}

// hasQuota reports whether this router may send the batch to the engine. The work that a cold engine can take
// is divided among all routers, either by a fixed division or by a quota coordinator.
func (r *Router) hasQuota(b *Batch, e *Engine) bool {
	return !r.inSlowStart(e) || !r.stopping && r.quota.CanSpend(r.now, e.startID(), b.likelyWork)
}

// inSlowStart reports whether an engine is cold, that is, may still be slow after its start. The start time
// comes from another machine's clock, which may be off by hours, so it only distinguishes one start from
// another: slow start is measured by this router's clock, from when the start was first reported.
func (r *Router) inSlowStart(e *Engine) bool {
	return e.StartedAt != 0 && r.now < e.startReceivedAt+r.slowStartTime
}

// canAccept reports whether concurrency limits, retry budget, health and memory of an engine let it take a
// batch. An ejected engine is tried with one batch at a time once its ejection time is over, or at once while
// most engines are ejected: if nearly all fail, the cause is more likely the network or this router.
func (r *Router) canAccept(batch *Batch, engine *Engine) bool {
	conflicts := func(d *dispatch) bool { // a copy must not go to the engine, or the zone, of the first dispatch
		return !d.ended && (d.engine == engine || batch.Route.HedgesToOtherZone() && d.engine.Zone == engine.Zone)
	}
	if batch.InFlight > 0 && slices.ContainsFunc(batch.dispatches, conflicts) ||
		!batch.Route.HasEngineCapacity(engine.countSharing(batch)) ||
		len(batch.dispatches) > 0 && !engine.RetryBudget.MayRetrySoon(r.now) || // spreads retries over engines
		engine.ConcurrencyLimit != nil && float64(len(engine.inFlight)) >= engine.ConcurrencyLimit.Limit() {
		return false
	}
	for _, h := range []*health{&engine.health, engine.groupHealth[batch.Group]} {
		wholeEngine := h == &engine.health
		isTrial := func(d *dispatch) bool {
			return d.sentAt >= h.ejectedAt && (wholeEngine || d.batch.Group == batch.Group)
		}
		if h.ejectedUntil > 0 && (r.now < h.ejectedUntil && !r.mostEjected ||
			slices.ContainsFunc(engine.inFlight, isTrial)) {
			return false
		}
	}
	// There must be capacity for some batches of the same need, as each router that acts on the same report may
	// send one, but for no more than the share of memory beyond the limit. So a small batch may go where a heavy
	// one may not.
	need := min(batch.memoryNeed*memoryMargin, r.maxGrantShare*engine.memory)
	usable := unreportedMemoryLimit + (memoryLimit-unreportedMemoryLimit)*r.reportedShare
	room := min(max(minSimilarRoom, extraSimilarRoom+r.similarRouters)*need, need+(1-usable)*engine.memory)
	return need <= 0 || r.estimateLoad(engine).memory*engine.memory+room <= engine.memory
}

// hasFreshReport reports whether an engine's last report is still believed.
func (r *Router) hasFreshReport(e *Engine) bool {
	return e.reported.batches > 0 && r.now < e.reportAt+reportLifetime
}

// estimateLoad returns an engine's threads per core and share of memory in use, by all routers. One router of
// hundreds sees nearly nothing of the others' batches, so reports are averaged over the fleet and over time:
// an engine's estimate moves towards the average as its report ages, and an engine without a report counts as
// fuller. What this router sent since a report counts once for each router that probably acts on a similar
// report; otherwise all would choose the same engine. Drawback: an engine that fills much faster than the
// fleet is underestimated.
func (r *Router) estimateLoad(engine *Engine) resources {
	var ownLoad, sinceReport resources
	for _, d := range engine.inFlight {
		ownLoad = ownLoad.add(d.resources, 1)
		if d.sentAt > engine.reportAt-reportDelay {
			sinceReport = sinceReport.add(d.resources, r.similarRouters)
		}
	}
	ownLoad, sinceReport = ownLoad.perEngine(engine), sinceReport.perEngine(engine)
	if r.now < engine.othersValidUntil { // the other routers report what they have in flight
		return ownLoad.add(engine.othersLoad, 1)
	}
	fleetLike, othersShare := resources{}.add(ownLoad, r.similarRouters), 1-1/r.routerCount
	switch {
	case r.hasFreshReport(engine) && engine.report.Memory < 0:
		ownLoad.memory = fleetLike.memory
	case r.hasFreshReport(engine) && engine.report.InFlight < 0: // a report that lacks both is never fresh
		ownLoad.threads = fleetLike.threads
	case r.hasFreshReport(engine):
	case r.inSlowStart(engine):
		// Only the routers that share its quota send there, each about as much as this one.
		return resources{}.add(ownLoad, r.quotaSharers)
	case r.reportedShare == 0:
		return fleetLike.add(r.averageLoad, othersShare)
	default:
		return fleetLike.add(resources{0, unreportedThreadFactor * r.averageLoad.threads,
			unreportedMemoryFactor * r.averageLoad.memory}, othersShare)
	}
	age := (r.now - engine.reportAt) / reportLifetime
	sum := sinceReport.add(engine.reported, 1-age).add(r.averageLoad, age)
	return resources{0, max(ownLoad.threads, sum.threads), max(ownLoad.memory, sum.memory)}
}

// send records a dispatch of the batch to the engine and returns the decision for it. If the engine takes
// grants or priorities, a Terms decision comes first and the Dispatch follows.
func (r *Router) send(batch *Batch, engine *Engine) Decision {
	r.dequeue(batch)
	if len(batch.dispatches) > 0 {
		r.retries = append(r.retries, r.now)
		batch.Route.CountRetry(r.now)
		r.retryBudget.CountRetry(r.now)
		engine.RetryBudget.CountRetry(r.now)
	} else {
		engine.RetryBudget.CountBatch(r.now)
	}
	if batch.InFlight > 0 {
		batch.Route.CountHedge(r.now)
	}
	batch.Route.CountUsage(r.now, 1, 0)
	attempt := &dispatch{
		batch:        batch,
		engine:       engine,
		number:       len(batch.dispatches),
		sentAt:       r.now,
		pausedBefore: r.totalPause,
		resources: resources{1, batch.Group.Threads,
			min(batch.memoryNeed*memoryMargin, r.maxGrantShare*engine.memory)},
	}
	batch.dispatches = append(batch.dispatches, attempt)
	engine.inFlight = append(engine.inFlight, attempt)
	batch.InFlight++
	batch.keyQueue.inFlight++
	if r.inSlowStart(engine) {
		r.quota.Spend(r.now, engine.startID(), batch.likelyWork)
	}
	wait := batch.deadline - r.now
	group, mayRepeat := batch.Group, batch.Group.Idempotency == Idempotent ||
		batch.Group.Idempotency == Deduplicated && engine.OneBatchPerConnection
	if mayRepeat && len(batch.dispatches) < r.maxTries(batch) {
		timeout := overdueFactor*batch.timeAlone*group.stretch.quantile(0.98, 16) + 0.2
		if latestUseful := batch.usefulUntil - r.now - r.timeNeeded(batch) - sweepInterval; latestUseful >
			batch.timeAlone*group.stretch.quantile(0.9, 8) {
			timeout = min(timeout, latestUseful) // otherwise a lost answer leaves no time for a retry
		}
		// On an engine that takes one batch at a time per connection nothing else can be asked there meanwhile, so
		// only a time-out shows that the answer to a deduplicated batch was lost. Drawback: where such a batch was
		// only slow, its retry costs a dispatch and is answered once the first has ended.
		inTime := group.Idempotency == Idempotent || timeout+1 < group.DedupWindow &&
			r.safeToRetry(batch, timeout+1)
		if r.now+timeout+2*batch.timeAlone < batch.deadline && inTime {
			wait = timeout
		}
	}
	// A batch that may run only once can't be retried, so a time-out would only lose its answer.
	if batch.Group.Idempotency != AtMostOnce {
		wait = batch.Route.CapTimeout(wait)
	}
	decision := Decision{Kind: Dispatch, Batch: batch, Engine: engine, Number: attempt.number, Wait: wait}
	if group.Idempotency == Deduplicated && batch.mayHaveRunOn != nil {
		// Engines may forget the deduplication mark while a connection is being established.
		decision.SendBefore = batch.dedupDeadline()
	}
	if !r.grants && !r.priorities {
		return decision
	}
	terms := Decision{Kind: Terms, Batch: batch, Priority: 1}
	if r.grants {
		terms.Memory = min(attempt.resources.memory*r.grantFactor, r.maxGrantShare*engine.memory)
	}
	if r.priorities {
		// Batches up to half the mean demand get priority 3, up to twice the mean 2, up to eight times 1, and
		// larger ones 0. The bound of 0.25 keeps the logarithm finite and changes no priority.
		doublings := math.Log2(max(2*batch.demand/max(r.meanDemand, 1e-6), 0.25))
		terms.Priority = min(max(3-int(math.Ceil(doublings/2)), 0), 3)
	}
	r.pending = append(r.pending, decision)
	return terms
}

// nextProbe returns the engine to probe for its load next, or nil while the credit for probes is too small or
// none is due.
func (r *Router) nextProbe() *Engine {
	if !r.mayProbe || r.probeCredit < r.probeCost() {
		return nil
	}
	var oldest *Engine
	for _, e := range r.engines {
		due := e.Phase == Ready && !e.probing && r.now > e.probedAt+minProbeInterval
		// Cold engines come last: what is sent there is bounded by their quota, whatever their load.
		if cold := r.inSlowStart(e); due && (oldest == nil || r.inSlowStart(oldest) && !cold ||
			r.inSlowStart(oldest) == cold && e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	return oldest
}
