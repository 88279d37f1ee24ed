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
	firstMark, leastMark, mostMark = 1.5, 0.4, 4.0 // threads a core below which a batch starts

	markStep, goodStretch = 0.02, 1.5 // it follows answers to this time over time alone: full, not crowded
	// Where all are told of the same loads, a few drawn engines are looked at first, or all meet on the idlest.
	looked, passed     = 3.0, 1.0 // so many; threads a core by which the others have to be emptier
	homeBonus, homes   = 0.4, 2   // threads a core that a likely warm data set is worth, on so many engines
	blocked, slowLimit = 2.0, 4   // threads a core for a load on the data set; slow batches that wait

	firstLoad, mostLoad, loadTime = 0.9, 0.95, 2.0 // load until something is seen, its clamp, and its pace

	redrawLeast, redrawMost   = 0.05, 0.2
	reportLag, reportStale    = 0.4, 1.4 // a report is about this old when it comes; then believed for so long
	blindThreads, blindMemory = 2.0, 8.0 // an engine without one counts as so many times as full as the pool
	poolTime, presentTime     = 4.0, 5.0 // how long reports count towards that, and own dispatches without any

	memoryFull, blindFull = 0.65, 0.55  // share of memory for heavy batches: all engines reported, and none
	memoryRoom, roomSpare = 8.0, 4.0    // batches of its like that must find room before one is sent
	memorySpare, generous = 1.25, 3.0   // grant over the corrected need; times that, where only need counts
	probeWorth, probeRest = 0.005, 0.25 // of the result that probes may cost, and between those of an engine
	warmLoad, coldShare   = 0.85, 0.95  // busy share that is capacity; of the cold budget
	coldRouters, copyLoad = 16, 0.75    // routers that share it; load from which no second copies are sent

	asideFirst, asideMost         = 1.0, 8.0      // an engine set aside is tried again then, doubled each time
	rowMost, failCost, forgetTime = 6.0, 3.0, 8.0 // failures in a row; threads a core for sure ones, how long
	notesMissed                   = 2.5           // times the pace of notes without one: the dispatch is lost
	sweepEvery, standstill        = 0.05, 0.2     // woken so much too late, a router has stood still
	// Clients leave on the dot: so much is for the ways and standstills. It hurts answers of the last moment.
	wayShare, leastWay, mostWay = 0.05, 0.04, 0.25
	slopePrior, unsure          = 8.0, 2.0 // pairs that speak for exact estimates at first; deviations held safe
	trustLoad, mostTries        = 1.0, 16  // estimates more that full load takes; batches no engine fits, a pull
	overdue, restartGain        = 2.0, 2.0 // times the usual longest time; a fresh start must be so much quicker
)

func New(s Settings, seed uint64, now float64) *Router {
	r := &Router{groups: s.Groups, routers: max(float64(s.Routers), 1), index: s.Index, kinds: s.EngineKinds,
		grants: s.Grants, priorities: s.Priorities, largestGrant: min(cmp.Or(max(s.LargestGrant, 0), 1), 1),
		mayCancel: s.MayCancel, mayCopy: s.MayCopy, mayProbe: s.MayProbe, mustAsk: s.MustAsk, rationed: s.Rationed,
		most: max(s.MostDispatches, 1), probeEvery: min(max(s.ProbePrice/probeWorth, 1), 16), coldTime: s.ColdTime,
		settle: s.SettleTime, tick: s.Tick, freeFurther: s.FreeFurther, generous: 1,
		further: s.FurtherShare, furtherWindow: s.FurtherWindow, now: now, started: now, comeBack: s.LongestDefer,
		random: seed&0xffffffff | 1<<33, lanes: map[uint64]*lane{}, load: firstLoad, mark: firstMark,
		swept: now, sweepAt: now, wakeAt: math.Inf(1), notesEvery: s.NotesEvery}
	if r.grants && s.Shortage == Overcommit {
		r.generous = generous
	}
	r.fixed = shares.FixedConfig{Routers: float64(s.Routers), Index: s.Index, MaxHolders: coldRouters, StartedAt: now,
		Total: coldShare * s.FallMultiple * s.ColdFrom * warmLoad * s.FallTime, Window: s.FallTime}
	r.parts, r.sharers = shares.NewFixedDivision(r.fixed), min(r.routers, coldRouters)
	for _, g := range s.Groups {
		g.Threads = max(g.Threads, 1)
		r.like.batches, r.like.threads = r.like.batches+1e-3, r.like.threads+1e-3*g.Threads
	}
	return r
}

func (r *Router) Clock(now float64) {
	r.now = max(r.now, now)
	// Woken far too late we stood still ourselves: silence meanwhile was ours, and what comes now is old.
	if late := r.now - r.wakeAt; late > standstill && r.stoodAt < r.now {
		r.stood, r.stoodAt, r.still = late, r.now, r.still+late
		r.log("stood still for %.1f s, %d held", late, len(r.held))
	}
}

// Listed brings the list of engines: the whole of it, or what changed.
func (r *Router) Listed(list []*Engine, whole bool) {
	for _, e := range list {
		if e.cores = 1; e.Kind < len(r.kinds) {
			e.cores, e.memory = max(r.kinds[e.Kind].Cores, 1), r.kinds[e.Kind].Memory
		}
		r.largest = max(r.largest, e.memory)
		if e.by == nil || e.started != e.StartedAt { // what was learned of the process before is void
			e.started, e.startHeardAt, e.health, e.reportAt, e.told = e.StartedAt, r.now, health{}, 0, amount{}
			e.by = map[*ServiceGroup]*health{}
			for _, g := range r.groups {
				e.by[g] = &health{}
			}
		}
		if !slices.Contains(r.engines, e) {
			// Each router keeps an order of its own: ties fall apart, or all meet on the first of the list.
			r.engines = slices.Insert(r.engines, int(r.draw()*float64(len(r.engines)+1)), e)
		}
	}
	r.engines = slices.DeleteFunc(r.engines, func(e *Engine) bool {
		if whole && !slices.Contains(list, e) {
			e.Phase = Gone
		}
		return e.Phase == Gone && len(e.outs) == 0
	})
}

func (r *Router) ListFailed() { r.mustAsk = true }

// Take brings a batch, which is owed one final answer from now on.
func (r *Router) Take(b *Batch) {
	g := b.Group
	b.taken, b.limitAt = r.now, r.now+sane(b.Left-min(max(wayShare*b.Left, leastWay), mostWay), 1e6)
	b.demand = sane(b.Cost, 1e5)
	if b.demand > 0 {
		four := 4*g.told/max(g.seen, 1) + 1e-6
		b.demand *= (g.needed + four) / (g.told + four)
	} else if b.demand = g.work / max(g.count, 1); b.demand == 0 {
		b.demand = g.Goal * g.Threads / 4
	}
	b.memory = sane(b.Memory, 1e7)
	if b.memory > 0 && g.memTold > 0 {
		b.memory *= g.memNeeded / g.memTold
	} else if b.memory == 0 && g.count > 0 {
		b.memory = g.memory / g.count
	}
	b.alone, b.likely, b.endAt = b.demand/g.Threads, r.likely(b), b.limitAt
	if g.LateShare <= 0 { // an answer past the goal earns nothing
		b.endAt = min(b.limitAt, r.now+g.Goal+g.GoalStretch*b.alone)
	}
	// A batch is at work in proportion to its time alone: that tells from the first batch on what is out there.
	// One that could never end in time, or that fits nowhere, must not pass for what batches are like.
	if b.alone <= g.Limit && (r.largest == 0 || b.memory <= r.largest) {
		r.meanDemand += (b.demand - r.meanDemand) / 64
		r.like = r.like.add(r.like, -1.0/64).add(amount{1, g.Threads, b.memory * memorySpare}, b.alone)
	}
	if b.lane = (&lane{}); g.InOrder && b.Key != 0 {
		b.lane = cmp.Or(r.lanes[b.Key], b.lane)
		r.lanes[b.Key] = b.lane
	}
	first := len(b.lane.line) == 0 && b.lane.out == 0 // one behind another of its key might end out of order
	bound := b.Route.Comes(r.now)
	if b.Shed = first && bound == limits.Wait && r.shed(b); b.Shed || first && bound != limits.Wait {
		out := r.giveUp(b)
		if bound == limits.Refuse {
			out = Decision{Kind: Fail, Batch: b}
		}
		r.next = append(r.next, out)
		return
	}
	b.Route.Took(r.now)
	r.all.Took(r.now)
	b.lane.line, r.takes = append(b.lane.line, b), append(r.takes, r.now)
	r.probeCredit = min(r.probeCredit+1, 8*r.probeCost())
	r.hold(b)
	r.sweepAt = min(r.sweepAt, b.limitAt-4*sweepEvery) // a late try can't wait for the next one
}

// Reduce brings the level of reduced service that holds from now on. What has been taken stays.
func (r *Router) Reduce(level Reduced) { r.level = level }

func (r *Router) shed(b *Batch) bool {
	keep, some := r.level.Keep[b.Group]
	return r.level.LeastGain*b.demand > b.Group.Utility || some && r.draw() >= keep
}

func (r *Router) tries(b *Batch) int {
	most := b.Route.Most(r.most)
	if r.level.Further != 0 {
		most = min(most, 1+max(r.level.Further, 0))
	}
	return most
}

func (r *Router) probeCost() float64 { return r.probeEvery / cmp.Or(r.level.Probes, 1) }

func (r *Router) hold(b *Batch) {
	i := sort.Search(len(r.held), func(i int) bool { return r.held[i].demand > b.demand })
	r.held = slices.Insert(r.held, i, b)
	b.Route.Uses(r.now, 0, 1)
}

func (r *Router) unhold(b *Batch) {
	n := len(r.held)
	r.held = without(r.held, b)
	b.Route.Uses(r.now, 0, len(r.held)-n)
}

func (r *Router) Left(b *Batch) {
	b.Over = true
	r.unhold(b)
	b.lane.line = without(b.lane.line, b)
}

// Outcome ends a dispatch; last says that the batch is over with it. Work and memory are what it needed.
func (r *Router) Outcome(b *Batch, no int, end Ending, last bool, took, work, memory float64, rep *Report) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d, e := b.dispatches[no], b.dispatches[no].engine
	d.ended, d.end, e.outs = true, end, without(e.outs, d)
	b.Out, b.lane.out = b.Out-1, b.lane.out-1
	b.Route.Uses(r.now, -1, 0)
	if e.Limit != nil && end != Withdrawn && end != NotSent {
		e.Limit.Ended(d.sample(r.now, took, work))
	}
	r.heard(e, rep)
	doubt := end == TimedOut || end == Broken || end == Withdrawn || end == Unconfirmed
	b.unconfirmed = b.unconfirmed || end == Unconfirmed
	if doubt {
		b.lane.restTo, b.lane.restBy = r.now+r.settle, b
	}
	if b.bound == nil && (end == Returned || end == Errored || doubt) {
		b.bound, b.boundAt = e, d.sent
	}
	r.gateAt = r.now
	for _, o := range b.dispatches {
		// A batch that errs wherever it goes is at fault itself: errors count once an engine has answered.
		once := b.Group.Effect == OnceOnly
		if o == d && (end != Errored || once) || end == Returned && o.ended && o.end == Errored {
			r.judge(o)
		}
	}
	if end == Returned && work > 0 {
		r.learn(b, took, sane(work, 1e5), sane(memory, 1e7))
	} else if end == Returned && work < 0 {
		r.learnTime(b, sane(took, 1e5))
	}
	if last {
		r.Left(b)
		for _, o := range b.dispatches { // of two copies the loser is given up at once
			if r.mayCancel && !o.ended && !o.cancel {
				o.cancel, r.next = true, append(r.next, Decision{Kind: Cancel, Batch: b, Number: o.number})
			}
		}
	} else if r.unhold(b); !b.Over && b.Out == 0 {
		if b.Route != nil {
			b.wants, b.redrawAt = false, r.now+b.Route.Rest(r.draw())
		}
		r.hold(b)
		r.sweepAt = r.now
	}
}

// learnTime learns from an answer that tells no work, as engines of some protocols do: else time-outs would
// never follow what is usual there, and a silent engine would hold its batches to their limits. It covers
// answers that leave it out for once. It hurts under load, when what took long is held for large.
func (r *Router) learnTime(b *Batch, took float64) {
	g := b.Group
	g.memory += g.memory / max(g.count, 1)
	g.work, g.count = g.work+took*g.Threads, g.count+1
	if r.stoodAt != r.now {
		g.stretch.add(took / max(b.alone, 1e-3))
	}
	g.forget()
}

func (r *Router) learn(b *Batch, took, work, memory float64) {
	g := b.Group
	if b.Cost > 0 && b.Cost < 1e5 {
		r.relate(g, math.Log(b.Cost), work)
		g.told, g.needed, g.seen = g.told+b.Cost, g.needed+work, g.seen+1
	}
	if b.Memory > 0 && memory > 0 {
		g.memTold, g.memNeeded = g.memTold+b.Memory, g.memNeeded+memory
	}
	g.work, g.memory, g.count = g.work+work, g.memory+memory, g.count+1
	// The mark is the threads a core at which answers take about so long: figures that leave out other
	// routers' threads, spilling, busy disks and slow cores all show there. It only rises while batches wait.
	if r.stoodAt == r.now { // how long it took is not known
		return
	}
	if step := math.Log(goodStretch * work / (g.Threads * max(took, 1e-3))); step < 0 || len(r.held) > 0 {
		step = min(max(step, -1), 1) * min(2*work/max(r.meanDemand, 1e-3), 2)
		r.mark = min(max(r.mark*(1+markStep*step), leastMark), mostMark)
	}
	g.stretch.add(took / max(b.alone, 1e-3))
	g.forget()
}

func (g *ServiceGroup) forget() {
	if g.count >= 128 {
		g.told, g.needed, g.seen, g.memTold = g.told/2, g.needed/2, g.seen/2, g.memTold/2
		g.memNeeded, g.work, g.memory, g.count = g.memNeeded/2, g.work/2, g.memory/2, g.count/2
	}
}

// likely is the work that a batch most likely needs, for the books of cold engines; the page's demand orders
// batches. Where estimates are rough, what looks small enough for a share is mostly told too small: it took
// 1.6 times what was booked, and large ones take less. Below coldRouters nothing evens that out, and two
// large ones pushed an engine over: there none counts for less than its demand, nor, while few answers speak
// for less, than was told. It hurts where large ones are told far too large.
func (r *Router) likely(b *Batch) float64 {
	g := b.Group
	if b.Cost <= 0 || b.Cost >= 1e5 {
		return b.demand
	}
	if g.pairs < 4 { // not known yet: no less than where nothing is told
		return max(b.demand, g.Goal*g.Threads/4)
	}
	likely := math.Exp(r.slope()*(math.Log(b.Cost)-g.logTold)) * g.trueSum / g.flatSum
	if r.sharers < coldRouters {
		return max(likely, min(b.demand*(1+unsure/math.Sqrt(g.seen+1)), max(b.Cost, b.demand)))
	}
	return likely + max(b.demand-likely, 0)/math.Sqrt(coldRouters)
}

// slope is by how much the logarithm of true work grows with that of told work: one for exact estimates.
func (r *Router) slope() float64 {
	return min(max((r.both+slopePrior)/(r.spread+slopePrior), 0), 1)
}

func (r *Router) relate(g *ServiceGroup, told, work float64) {
	g.pairs = min(g.pairs+1, 64)
	from, to := told-g.logTold, math.Log(max(work, 1e-6))-g.logTrue
	if g.pairs > 1 {
		r.spread, r.both = r.spread*(1-1.0/256)+from*from, r.both*(1-1.0/256)+from*to
	}
	g.logTold, g.logTrue = g.logTold+from/g.pairs, g.logTrue+to/g.pairs
	g.trueSum -= g.trueSum/64 - work
	g.flatSum -= g.flatSum/64 - math.Exp(r.slope()*(told-g.logTold))
}

// judge counts how an engine does, in all and for the batch's group: it may turn away one group for long, and
// looks idle to it. Covers any failure that one group meets; hurts where failures are mere chance.
func (r *Router) judge(d *dispatch) {
	for _, h := range []*health{&d.engine.health, d.engine.by[d.batch.Group]} {
		switch d.end {
		case Returned:
			d.engine.signAt, h.good, h.row = r.now, h.good+1, 0
			if h.asideUntil > 0 && d.sent >= h.asideAt {
				r.log("engine %d back after %.1f s", d.engine.ID, h.backoff)
				h.asideUntil, h.backoff = 0, h.backoff/2
			}
		case Unconnected, Broken, TurnedAway, Errored:
			if h.badAt < r.now { // what fails together fails for one cause
				h.bad, h.row, h.badAt = h.bad+1, h.row+1, r.now
			}
			fallthrough
		case TimedOut, Unconfirmed:
			failing := h.row >= rowMost || h.row >= 3 && h.bad > h.good && d.engine.asideUntil == 0
			if r.now >= h.asideUntil && (failing || h.asideUntil > 0) {
				r.aside(d.engine, h, "failing")
			}
		}
		if h.good+h.bad > 32 {
			h.good, h.bad, h.backoff = h.good/2, h.bad/2, h.backoff/2
		}
	}
}

func (r *Router) aside(e *Engine, h *health, why string) {
	h.asideAt, h.backoff = r.now, min(max(asideFirst, 2*h.backoff), asideMost)
	h.asideUntil = r.now + h.backoff*(0.75+0.5*r.draw())
	r.log("engine %d aside for %.1f s: %s, good %.0f bad %.0f, for all groups %t", e.ID, h.backoff, why, h.good,
		h.bad, h == &e.health)
}

func (r *Router) Probed(e *Engine, ok bool, rep *Report) {
	if e.probing = false; ok {
		r.heard(e, rep)
	}
}

func (r *Router) heard(e *Engine, rep *Report) {
	if rep == nil || clean(*rep) == e.report { // the same figures again are the same report, or frozen
		return
	}
	e.report, e.reportAt = clean(*rep), r.now
	if r.stoodAt == r.now {
		e.reportAt -= r.stood / 2
	}
	// A held count left out is told by memory and what batches at work are like. Memory left out stays with the
	// engine: guessed from the count, far more is pushed back than would wait there.
	held, memory, each := e.report.Held, max(e.report.Memory, 0)*e.memory/r.generous, r.like
	if held < 0 && e.report.Memory >= 0 && each.memory > 0 {
		held = memory * each.batches / each.memory
	}
	if held < 0 {
		return
	}
	e.told = amount{1, held * each.threads / each.batches, memory}.per(e)
	// A cold engine is kept nearly empty by its budget and tells nothing of the others: in the pool, six in ten
	// made jammed ones look idle, and 30 heavy batches met on each. It hurts where all are cold: none tells.
	if r.cold(e) {
		return
	}
	one := amount{1, min(e.told.threads, 2*mostMark), min(e.told.memory, 1)} // one that lies stays one
	r.common = r.common.add(one.add(r.common, -1), max(min((r.now-r.commonAt)/poolTime, 1), 0.03))
	r.commonAt = r.now
}

func (r *Router) News(b *Batch, no int, kind Note, level float64) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d := b.dispatches[no]
	if d.engine.signAt, d.noteAt = r.now, r.now; kind == Progress {
		d.share, d.shareAt = sane(level, 1), r.now
	}
}

func (r *Router) Woken() { r.wakeAt = math.Inf(1) }

func (r *Router) Next() Decision {
	if r.now >= r.sweepAt {
		r.sweep()
	}
	if len(r.next) > 0 {
		d := r.next[0]
		r.next = r.next[1:]
		return d
	}
	if b, e := r.release(); b != nil {
		return r.send(b, e)
	}
	if e := r.probe(); e != nil {
		e.probing, e.probedAt, r.probeCredit = true, r.now, r.probeCredit-r.probeCost()
		return Decision{Kind: Probe, Engine: e}
	}
	return r.wake()
}

func (r *Router) wake() Decision {
	at := r.now + 2*sweepEvery
	if len(r.held) > 0 && r.gateAt > r.now {
		at = min(at, r.gateAt)
	}
	busy := len(r.held) > 0 || slices.ContainsFunc(r.engines, func(e *Engine) bool { return len(e.outs) > 0 })
	if !busy || at >= r.wakeAt && r.wakeAt > r.now {
		return Decision{}
	}
	r.wakeAt = at
	return Decision{Kind: WakeAt, At: at}
}

// giveUp answers a batch for good, at once. A pushback is a promise that nothing ran or a repeat is harmless.
func (r *Router) giveUp(b *Batch) Decision {
	r.Left(b)
	anywhere := b.bound == nil || b.Group.Effect == Repeatable || b.Group.Scope == WithinAll
	if anywhere && r.harmless(b, r.comeBack) {
		return Decision{Kind: PushBack, Batch: b, Wait: r.comeBack}
	}
	return Decision{Kind: Fail, Batch: b}
}

// Last answers a batch for good while its router ends. What is out may have run; what never was, or may run
// again, goes back: an error for it would lose what another router still has the time for.
func (r *Router) Last(b *Batch) Decision {
	if b.Out > 0 && b.Group.Effect != Repeatable {
		r.Left(b)
		return Decision{Kind: Fail, Batch: b}
	}
	return r.giveUp(b)
}

// Leave tells that the process is about to end. Nothing is sent to cold engines from now on: the next one
// under the same name may run already, and goes by the same part of what they bear.
func (r *Router) Leave() { r.leaving = true }

func (r *Router) again(b *Batch) bool {
	// A budget of its route that is spent ends the batch at once: others would wait behind it, and it would come
	// back into the same trouble. It hurts where the trouble ends the next moment.
	return !b.unconfirmed && len(b.dispatches) < r.tries(b) && r.harmless(b, r.tick) &&
		(b.Out == 0 || r.load < copyLoad) &&
		(len(b.dispatches) == 0 || b.Route.May(r.now) && r.all.May(r.now))
}

// harmless: nothing ran, or a repeat may run so much later.
func (r *Router) harmless(b *Batch, later float64) bool {
	return b.bound == nil || b.Group.Effect == Repeatable ||
		b.Group.Effect == Referenced && r.now+later < b.repeatBy()
}

// repeatBy is when the engines forget the mark of one that may have run.
func (b *Batch) repeatBy() float64 { return b.boundAt + b.Group.Window }

func (r *Router) needs(b *Batch) float64 { // to be tried
	return max(r.level.Early, 1)*(1+r.load*trustLoad)*b.alone + 3*sweepEvery
}

func (r *Router) spent() bool {
	old := func(at float64) bool { return at <= r.now-r.furtherWindow }
	r.takes, r.furthers = slices.DeleteFunc(r.takes, old), slices.DeleteFunc(r.furthers, old)
	return float64(len(r.furthers)+1) > r.freeFurther+r.further*float64(len(r.takes))
}

// sweep looks now and then at all that is held or out for what time alone has changed.
func (r *Router) sweep() {
	maps.DeleteFunc(r.lanes, func(_ uint64, l *lane) bool {
		return len(l.line) == 0 && l.out == 0 && r.now >= l.restTo
	})
	r.spent() // forgets what is old
	passed := min(r.now-r.swept, 1)
	r.swept, r.sweepAt = r.now, r.now+sweepEvery
	if r.mustAsk {
		r.mustAsk, r.next = false, append(r.next, Decision{Kind: Subscribe})
	}
	for _, b := range slices.Clone(r.held) {
		// Given up: it can no longer be answered with any utility, or not be sent again.
		if r.again(b) && r.now+r.needs(b) <= b.endAt {
			continue
		}
		if r.unhold(b); b.Out == 0 { // else there is no copy, and the first goes on
			r.next = append(r.next, r.giveUp(b))
		}
	}
	var out amount
	cores, memory, busy, told, fresh, ready, aside := 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0
	for _, e := range r.engines {
		late := 0
		for _, h := range e.by {
			h.bad -= h.bad * passed / forgetTime
		}
		for _, d := range e.outs {
			g := d.batch.Group
			out = out.add(d.takes, 1)
			age, usual := r.now-d.sent-(r.still-d.still), d.batch.alone*g.stretch.quantile(0.95, 8)
			if age > overdue*usual+0.2 && e.signAt < d.sent {
				late++
			}
			repeat := g.Effect == Repeatable || g.Effect == Referenced && r.now+1 < d.sent+g.Window
			repeat = repeat && len(d.batch.dispatches) < r.tries(d.batch) && d.batch.Route.May(r.now) && !d.batch.Over
			if r.mayCancel && !d.cancel && repeat && r.startOver(d) {
				d.cancel = true
				r.next = append(r.next, Decision{Kind: Cancel, Batch: d.batch, Number: d.number})
			} else if repeat && r.copyDue(d) {
				r.hold(d.batch)
			}
		}
		if r.now >= e.asideUntil && (late >= 3 || late > 0 && late == len(e.outs) && r.now-e.signAt > 1) {
			r.aside(e, &e.health, "silent")
		}
		if e.Phase == Ready {
			ready++
			if e.asideUntil > 0 {
				aside++
			}
			cores, memory = cores+e.cores, memory+e.memory
			if r.fresh(e) {
				fresh++
			}
			if e.report.Busy >= 0 && e.reportAt > 0 {
				busy, told = busy+e.report.Busy, told+1
			}
		}
	}
	if shaken := 2*aside > ready; shaken != r.shaken {
		r.shaken = shaken
		r.log("%d of %d engines aside, shaken %t", aside, ready, shaken)
	}
	r.sight = fresh / max(float64(ready), 1)
	r.alike = 1 + (r.routers-1)*r.sight
	r.out = r.out.add(out.add(r.out, -1), passed/presentTime)
	if cores > 0 {
		seen := r.common.threads
		if r.now > r.commonAt+presentTime { // no report tells of others: they are taken to be like us
			fleet := &Engine{engineState: engineState{cores: cores, memory: memory}}
			r.common = amount{}.add(r.out, r.routers-1).per(fleet)
			seen = r.common.threads + r.out.threads/cores
		}
		if told > 0 {
			seen = busy / told
		}
		r.load += (min(max(seen, 0), mostLoad) - r.load) * passed / loadTime
	}
}

// startOver: a fresh dispatch would be far quicker (a bad plan, an engine that crawls), its notes have ceased
// (an answer got lost), or the engine is set aside. It may hurt when all engines slow down at once.
func (r *Router) startOver(d *dispatch) bool {
	usual := d.batch.alone * d.batch.Group.stretch.quantile(0.75, 4)
	rest := (d.shareAt-d.sent)*(1-d.share)/d.share - (r.now - d.shareAt)
	lost := r.notesEvery > 0 && r.now-max(d.sent, d.noteAt)-(r.still-d.still) > notesMissed*r.notesEvery
	slow := d.share > 0 && rest > restartGain*usual && d.batch.Group.Effect == Repeatable
	silent := d.engine.asideUntil > r.now && d.engine.signAt < d.sent
	return r.now+usual < d.batch.limitAt && (lost || slow || silent)
}

// copyDue: it takes longer than the quantile that its route names, so another engine may well answer sooner.
// Work done twice is no help to a fleet that is full, or reduced. It hurts where all engines are slow at
// once: the share bounds that.
func (r *Router) copyDue(d *dispatch) bool {
	b := d.batch
	return b.Route.MayCopy(r.now) && r.mayCopy && b.Group.Effect == Repeatable && b.Out == 1 && !b.Streams &&
		!d.cancel && r.level.quiet() && r.load < copyLoad && !slices.Contains(r.held, b) &&
		r.now-d.sent-(r.still-d.still) > b.alone*b.Group.stretch.quantile(b.Route.Copies.After, 8)
}

// release is the design's ordinary path: which batch leaves next, where to, and whether the gate lets it.
func (r *Router) release() (*Batch, *Engine) {
	for tries := 0; r.now >= r.gateAt && tries < mostTries; tries++ {
		b := r.pick()
		if b == nil {
			break
		}
		e, figure := r.place(b)
		if r.lack != nil && (e == nil || r.least < figure) {
			b.wants, b.wantAt = true, cmp.Or(b.wantAt, r.now)
			if b.redrawAt = b.wantAt + r.parts.Request(r.now, r.lack.start(), b.likely); r.now < b.redrawAt {
				continue
			}
		}
		if e == nil {
			b.redrawAt = r.now + redrawLeast
			continue
		}
		if figure < r.mark || r.draw() < r.mark/figure {
			return b, e
		}
		// The page lets the batch redraw; with many held a crowd walks through, so the whole gateway waits.
		r.gateAt = r.now + redrawLeast + (redrawMost-redrawLeast)*r.draw()
	}
	return nil, nil
}

// pick: the smallest demand past twice the threshold; else, of many slow, the most slowed; else the smallest.
func (r *Router) pick() *Batch {
	threshold := 1 / (1 - r.load)
	var first, worst *Batch
	slow, most := 0, 0.0
	for _, b := range r.held {
		if b.redrawAt > r.now || !r.turn(b) || len(b.dispatches) > 0 && (!r.again(b) || r.rationed && r.spent() ||
			!b.Route.Ready(r.now) || !r.all.Ready(r.now)) || !b.Route.Room(r.now) {
			continue
		}
		first = cmp.Or(first, b)
		slowdown := (r.now - b.taken + b.alone) / max(b.alone, 1e-3)
		if slowdown > 2*threshold {
			return b
		}
		if slowdown > threshold {
			if slow++; slowdown >= most {
				worst, most = b, slowdown
			}
		}
	}
	if slow > slowLimit {
		return worst
	}
	return first
}

// turn tells whether the key's earlier batches are over, have all their outcomes, and the key has rested.
func (r *Router) turn(b *Batch) bool {
	l := b.lane
	return l.line[0] == b && l.out == b.Out && (r.now >= l.restTo || l.restBy == b)
}

// place gives the engine with the lowest figure among those the batch may go to, and the one without a part.
func (r *Router) place(b *Batch) (best *Engine, figure float64) {
	r.lack = nil
	others := len(b.dispatches) > 0 && slices.ContainsFunc(r.engines, func(e *Engine) bool {
		return e.asideUntil == 0 && e.by[b.Group].asideUntil == 0 && !b.refusedBy(e) && r.allowed(b, e) &&
			r.room(b, e)
	})
	for _, e := range r.engines {
		room := r.room(b, e)
		if !room && !r.moved || !r.allowed(b, e) || others && b.refusedBy(e) || !r.fit(b, e) {
			continue
		}
		f := r.filled(e).threads
		if g := b.Group; g.Load || g.Waits {
			// A load holds its data set on its engine; what waits for it stands still there with its memory.
			if slices.ContainsFunc(e.outs, func(d *dispatch) bool {
				return d.batch.Tables == b.Tables && (d.batch.Group.Load || g.Load && d.batch.Group.Waits)
			}) {
				f += blocked
			}
		} else if (r.routers <= 1 || r.fresh(e) || r.now < e.othersTo) &&
			shares.HashFraction(math.Float64bits(b.Tables)>>24+1, uint64(e.ID))*float64(len(r.engines)) < homes {
			f -= homeBonus
		} else if r.now < e.othersTo && r.draw()*float64(len(r.engines)) >= looked {
			f += passed
		}
		h := e.by[b.Group]
		f += failCost * h.bad / (h.good + h.bad + 4)
		if room && (best == nil || f < figure) {
			best, figure = e, f
		} else if !room && (r.lack == nil || f < r.least) {
			r.lack, r.least = e, f
		}
	}
	return best, figure
}

// refusedBy: its word was no. On an engine that takes one batch at a time a connection, silence counts too:
// no check tells there which of the two is silent, and three dispatches went to one silent engine. Elsewhere
// that was no gain (brno-klima-later 0.873 to 0.870). It hurts where only the one was slow.
func (b *Batch) refusedBy(e *Engine) bool {
	return slices.ContainsFunc(b.dispatches, func(d *dispatch) bool {
		return d.engine == e && d.ended && (d.end == TurnedAway || d.end == Errored || d.end == TimedOut && e.Alone)
	})
}

// allowed: what the rules say, at every dispatch.
func (r *Router) allowed(b *Batch, e *Engine) bool {
	g, at := b.Group, b.bound
	return e.Phase == Ready && b.Route.Goes(e.Kind) && (g.Zones == nil || slices.Contains(g.Zones, e.Zone)) &&
		(g.Kinds == nil || slices.Contains(g.Kinds, e.Kind)) &&
		(at == nil || g.Effect != Referenced || (g.Scope != WithinZone || e.Zone == at.Zone) &&
			(g.Scope != WithinCell || e.Cell == at.Cell))
}

// room: what a cold engine bears is divided among all routers, by a fixed division or by talk.
func (r *Router) room(b *Batch, e *Engine) bool {
	return !r.cold(e) || !r.leaving && r.parts.CanSpend(r.now, e.start(), b.likely)
}

// cold tells whether an engine may still be slow after its start. The time of the start is another machine's
// and may be off by hours, so it only tells one start from another: slow start runs on our clock, from when
// the start was first heard of.
func (r *Router) cold(e *Engine) bool {
	return e.StartedAt != 0 && r.now < e.startHeardAt+r.coldTime
}

// fit: bounds, health and memory. An engine set aside is tried with one batch at a time once its time has
// come, or at once while most are set aside: nearly all failing is more likely the network's doing, or ours.
func (r *Router) fit(b *Batch, e *Engine) bool {
	here := func(d *dispatch) bool { // where a copy may not go
		return !d.ended && (d.engine == e || b.Route.OtherZone() && d.engine.Zone == e.Zone)
	}
	if b.Out > 0 && slices.ContainsFunc(b.dispatches, here) || !b.Route.RoomAt(e.outOf(b)) ||
		len(b.dispatches) > 0 && !e.Further.May(r.now) || // what has failed elsewhere must not fall on one
		e.Limit != nil && float64(len(e.outs)) >= e.Limit.Limit() {
		return false
	}
	for _, h := range []*health{&e.health, e.by[b.Group]} {
		all := h == &e.health
		trial := func(d *dispatch) bool { return d.sent >= h.asideAt && (all || d.batch.Group == b.Group) }
		if h.asideUntil > 0 && (r.now < h.asideUntil && !r.shaken || slices.ContainsFunc(e.outs, trial)) {
			return false
		}
	}
	// A small batch may go where a heavy one may not: it needs room for some of its like, of which routers
	// that act alike send one each, but never more than the share that counts as full leaves free.
	need := min(b.memory*memorySpare, r.largestGrant*e.memory)
	full := blindFull + (memoryFull-blindFull)*r.sight
	room := min(max(memoryRoom, roomSpare+r.alike)*need, need+(1-full)*e.memory)
	return need <= 0 || r.filled(e).memory*e.memory+room <= e.memory
}

func (r *Router) fresh(e *Engine) bool {
	return e.told.batches > 0 && r.now < e.reportAt+reportStale
}

// filled: an engine's threads a core and share of memory spoken for, by whom ever. One router of hundreds
// sees next to nothing of the rest, so reports are pooled over fleet and time; an old one leans to the pool,
// no one counts as fuller. What was sent since a report counts once for each router that likely acts on its
// like, or all meet on one. It hurts where one engine fills much faster than the fleet.
func (r *Router) filled(e *Engine) amount {
	var own, since amount
	for _, d := range e.outs {
		own = own.add(d.takes, 1)
		if d.sent > e.reportAt-reportLag {
			since = since.add(d.takes, r.alike)
		}
	}
	own, since = own.per(e), since.per(e)
	if r.now < e.othersTo { // what all have out is told, but for what has come in the meantime
		return own.add(e.others, 1)
	}
	all, others := amount{}.add(own, r.alike), 1-1/r.routers
	switch {
	case r.fresh(e) && e.report.Memory < 0:
		own.memory = all.memory
	case r.fresh(e) && e.report.Held < 0: // reports that lack both are never believed
		own.threads = all.threads
	case r.fresh(e):
	case r.cold(e): // only the few that share its budget send there, each like us
		return amount{}.add(own, r.sharers)
	case r.sight == 0:
		return all.add(r.common, others)
	default:
		return all.add(amount{0, blindThreads * r.common.threads, blindMemory * r.common.memory}, others)
	}
	old := (r.now - e.reportAt) / reportStale
	sum := since.add(e.told, 1-old).add(r.common, old)
	return amount{0, max(own.threads, sum.threads), max(own.memory, sum.memory)}
}

func (r *Router) send(b *Batch, e *Engine) Decision {
	r.unhold(b)
	if len(b.dispatches) > 0 {
		r.furthers = append(r.furthers, r.now)
		b.Route.Again(r.now)
		r.all.Again(r.now)
		e.Further.Again(r.now)
	} else {
		e.Further.Took(r.now)
	}
	if b.Out > 0 {
		b.Route.Copied(r.now)
	}
	b.Route.Uses(r.now, 1, 0)
	d := &dispatch{batch: b, engine: e, number: len(b.dispatches), sent: r.now, still: r.still,
		takes: amount{1, b.Group.Threads, min(b.memory*memorySpare, r.largestGrant*e.memory)}}
	b.dispatches = append(b.dispatches, d)
	e.outs = append(e.outs, d)
	b.Out++
	b.lane.out++
	if r.cold(e) {
		r.parts.Spend(r.now, e.start(), b.likely)
	}
	wait := b.limitAt - r.now
	g, again := b.Group, b.Group.Effect == Repeatable || b.Group.Effect == Referenced && e.Alone
	if again && len(b.dispatches) < r.tries(b) {
		own := overdue*b.alone*g.stretch.quantile(0.98, 16) + 0.2
		if early := b.endAt - r.now - r.needs(b) - sweepEvery; early > b.alone*g.stretch.quantile(0.9, 8) {
			own = min(own, early) // else a lost answer leaves no time for another try
		}
		// Nothing can be asked beside a batch on an engine that takes one at a time a connection, so a time-out
		// alone tells there of a lost answer to a referenced one. It hurts where such a batch was only slow: its
		// repeat costs a dispatch, and is answered once the first has ended.
		inTime := g.Effect == Repeatable || own+1 < g.Window && r.harmless(b, own+1)
		if r.now+own+2*b.alone < b.limitAt && inTime {
			wait = own
		}
	}
	if b.Group.Effect != OnceOnly { // a time-out would only lose its answer
		wait = b.Route.Within(wait)
	}
	out := Decision{Kind: Dispatch, Batch: b, Engine: e, Number: d.number, Wait: wait}
	if g.Effect == Referenced && b.bound != nil { // engines forget what ran, also while a connection comes up
		out.By = b.repeatBy()
	}
	if !r.grants && !r.priorities {
		return out
	}
	terms := Decision{Kind: Terms, Batch: b, Priority: 1}
	if r.grants {
		terms.Memory = min(d.takes.memory*r.generous, r.largestGrant*e.memory)
	}
	if r.priorities {
		doublings := math.Log2(max(2*b.demand/max(r.meanDemand, 1e-6), 0.25)) // 3 under half the mean
		terms.Priority = min(max(3-int(math.Ceil(doublings/2)), 0), 3)
	}
	r.next = append(r.next, out)
	return terms
}

// probe gives the engine whose load is to be asked for, within what a probe is worth.
func (r *Router) probe() *Engine {
	if !r.mayProbe || r.probeCredit < r.probeCost() {
		return nil
	}
	var oldest *Engine
	for _, e := range r.engines {
		due := e.Phase == Ready && !e.probing && r.now > e.probedAt+probeRest
		// A cold one comes last: what goes there is bounded by its budget, whatever its load.
		if last := r.cold(e); due && (oldest == nil || r.cold(oldest) && !last ||
			r.cold(oldest) == last && e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	return oldest
}
