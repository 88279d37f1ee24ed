// Package brain holds all decisions of a router, its tables and its tuned values; its interface is types.go.
//
// How to call it: New, then for each round Clock, then what came in (Listed, Take, Outcome, Left, News,
// Probed, Woken), which only updates what is known; then Next until it answers Nothing, doing each decision.
// Nothing here knows the time, draws chance or meets another router but through these calls.
package brain

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// The design's values (ours to tune) and those of what it leaves open. Times are seconds.
const (
	firstMark   = 1.5 // threads a core below which a batch starts; then it follows the stretch of answers
	leastMark   = 0.4
	mostMark    = 4.0
	markStep    = 0.02
	goodStretch = 1.5  // time over time alone of answers from engines that are full but not crowded
	blocked     = 2.0  // threads a core that a load on the same data set counts for
	homeBonus   = 0.4  // threads a core that a likely warm data set is worth
	slowLimit   = 4    // slow batches that may wait before the most slowed leaves
	firstLoad   = 0.9  // load until something is seen
	mostLoad    = 0.95 // clamp of the load
	loadTime    = 2.0  // how fast the load follows
	redrawLeast = 0.05
	redrawMost  = 0.2

	reportLag    = 0.4 // a report is about this old when it comes
	reportStale  = 1.4 // an unchanged report is no longer believed
	blindThreads = 2.0 // an engine without a report counts as so many times as full as the pool
	blindMemory  = 8.0
	memorySpare  = 1.25  // grant over the corrected need
	memoryFull   = 0.65  // share of an engine's memory that heavy batches may speak for: reports are late
	memoryRoom   = 8.0   // batches of its like that must find room in an engine's memory before one is sent
	generous     = 3.0   // times the grant, where only what is needed counts
	warmLoad     = 0.85  // the busy share of the cores that counts as capacity
	probeWorth   = 0.005 // of the result that probes may cost
	probeRest    = 0.25  // between probes of one engine
	coldShare    = 0.65  // part of the cold budget that is used; the rest is for estimates that lie
	coldRouters  = 16    // routers that share the cold budget of an engine
	asideFirst   = 1.0   // an engine set aside is tried again after this, doubled each time
	asideMost    = 8.0
	trust        = 2.0 // times the estimate must fit in the time left, else a batch is given up
	sweepEvery   = 0.05
	standstill   = 0.2 // woken so much too late, a router has stood still
	mostTries    = 16  // batches without a fitting engine that one pull looks at
	presentTime  = 5.0 // how long own dispatches count towards what a batch is like on average
	poolTime     = 4.0 // and reports towards what engines hold on average
	overdue      = 2.0 // times the usual longest time
	restartGain  = 2.0 // a dispatch starts over when that looks so many times quicker
)

func (h *histogram) add(ratio float64) {
	bin := int(math.Ceil(2*math.Log2(max(ratio, 0.1)))) + 1
	h.bins[min(max(bin, 0), len(h.bins)-1)]++
	if h.total++; h.total >= 256 {
		h.total = 0
		for i := range h.bins {
			h.bins[i] /= 2
			h.total += h.bins[i]
		}
	}
}

// quantile gives the upper edge of the bin that holds the share; unless enough was seen, the usual one.
func (h *histogram) quantile(share, usual float64) float64 {
	if h.total < 16 {
		return usual
	}
	sum := 0.0
	for i, n := range h.bins {
		if sum += n; sum >= share*h.total {
			return math.Pow(2, float64(i-1)/2)
		}
	}
	return usual
}

// New starts a router. What decisions use of the settings is derived here, once.
func New(s Settings, seed uint64, now float64) *Router {
	r := &Router{groups: s.Groups, routers: max(float64(s.Routers), 1), index: s.Index, coresByKind: s.CoresByKind,
		memoryByKind: s.MemoryByKind, grants: s.Grants, priorities: s.Priorities,
		largestGrant: min(cmp.Or(max(s.LargestGrant, 0), 1), 1), mayCancel: s.MayCancel, mayProbe: s.MayProbe,
		mustAsk: s.MustAsk, rationed: s.Rationed, most: max(s.MostDispatches, 1),
		probeEvery: min(max(s.ProbePrice/probeWorth, 1), 16), coldFrom: s.ColdFrom, coldTime: s.ColdTime,
		fallTime: s.FallTime, settle: s.SettleTime, tick: s.Tick, freeFurther: s.FreeFurther,
		further: s.FurtherShare, furtherWindow: s.FurtherWindow, now: now, started: now,
		random: seed&0xffffffff | 1<<33, lanes: map[uint64]*lane{}, load: firstLoad, mark: firstMark,
		generous: 1, swept: now, sweepAt: now, wakeAt: math.Inf(1)}
	if r.grants && s.Shortage == Overcommit {
		r.generous = generous
	}
	r.coldWork = coldShare * s.FallMultiple * s.ColdFrom * warmLoad * s.FallTime / min(r.routers, coldRouters)
	if s.Routers < 1 {
		r.index = -1 // nobody knows who else sends to a cold engine
	}
	if s.MayDefer {
		r.comeBack = s.LongestDefer
	}
	for _, g := range s.Groups {
		g.Threads = max(g.Threads, 1)
		r.like.batches, r.like.threads = r.like.batches+1e-3, r.like.threads+1e-3*g.Threads
	}
	return r
}

// draw gives a number from 0 to 1 by multiply with carry.
func (r *Router) draw() float64 {
	r.random = 4294957665*(r.random&0xffffffff) + r.random>>32
	return float64(r.random&0xffffffff) / (1 << 32)
}

func (r *Router) log(format string, args ...any) {
	r.next = append(r.next, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// sane keeps missing, infinite and absurd figures out.
func sane(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, most)
}

// Clock tells the time; calls until the next one are at this time.
func (r *Router) Clock(now float64) {
	r.now = max(r.now, now)
	// Woken far too late we stood still ourselves: silence meanwhile was ours, and what comes now is old.
	if late := r.now - r.wakeAt; late > standstill && r.stoodAt < r.now {
		r.stood, r.stoodAt = late, r.now
		r.log("stood still for %.1f s, %d held", late, len(r.held))
		for _, e := range r.engines {
			for _, d := range e.outs {
				d.still += late
			}
		}
	}
}

// Listed brings the list of engines: the whole of it, or what changed.
func (r *Router) Listed(list []*Engine, whole bool) {
	for _, e := range list {
		if e.cores == 0 {
			e.cores, e.started = 1, e.StartedAt
			if e.Kind < len(r.coresByKind) {
				e.cores = max(r.coresByKind[e.Kind], 1)
			}
			if e.Kind < len(r.memoryByKind) {
				e.memory = r.memoryByKind[e.Kind]
			}
		}
		if e.started != e.StartedAt { // what was learned of the process before is void
			e.started, e.asideUntil, e.backoff = e.StartedAt, 0, 0
			e.good, e.bad, e.reportAt, e.told = 0, 0, 0, amount{}
		}
		if !slices.Contains(r.engines, e) {
			r.engines = append(r.engines, e)
		}
	}
	if whole {
		for _, e := range r.engines {
			if !slices.Contains(list, e) {
				e.Phase = Gone
			}
		}
	}
	over := func(e *Engine) bool { return e.Phase == Gone && len(e.outs) == 0 }
	r.engines = slices.DeleteFunc(r.engines, over)
}

// ListFailed says that asking for the list failed.
func (r *Router) ListFailed() { r.asked = false }

// Take brings a batch, which is owed one final answer from now on.
func (r *Router) Take(b *Batch) {
	g := b.Group
	b.taken, b.limitAt = r.now, r.now+sane(b.Left, 1e6)-r.tick
	b.demand = sane(b.Cost, 1e5)
	if b.demand > 0 {
		b.demand *= (g.needed + 4*g.told/max(g.seen, 1) + 1e-6) / (g.told + 4*g.told/max(g.seen, 1) + 1e-6)
	} else if g.count > 0 {
		b.demand = g.work / g.count
	} else {
		b.demand = g.Goal * g.Threads / 4
	}
	b.memory = sane(b.Memory, 1e7)
	if b.memory > 0 && g.memTold > 0 {
		b.memory *= g.memNeeded / g.memTold
	} else if b.memory == 0 && g.count > 0 {
		b.memory = g.memory / g.count
	}
	b.alone = b.demand / g.Threads
	b.endAt = b.limitAt
	if g.LateShare <= 0 { // an answer past the goal earns nothing
		b.endAt = min(b.limitAt, r.now+g.Goal+g.GoalStretch*b.alone)
	}
	r.meanDemand += (b.demand - r.meanDemand) / 64
	// A batch is at work in proportion to its time alone: that tells from the first batch on what is out there.
	r.like.batches += b.alone - r.like.batches/64
	r.like.threads += b.alone*g.Threads - r.like.threads/64
	r.like.memory += b.alone*b.memory*memorySpare - r.like.memory/64
	if g.InOrder && b.Key != 0 {
		if b.lane = r.lanes[b.Key]; b.lane == nil {
			b.lane = &lane{}
			r.lanes[b.Key] = b.lane
		}
		b.lane.line = append(b.lane.line, b)
	}
	if r.rationed {
		r.takes = append(r.takes, r.now)
	}
	r.probeCredit = min(r.probeCredit+1, 8*r.probeEvery)
	r.hold(b)
	r.sweepAt = min(r.sweepAt, b.limitAt-4*sweepEvery) // a late try can't wait for the next one
}

func (r *Router) hold(b *Batch) {
	i := sort.Search(len(r.held), func(i int) bool { return r.held[i].demand > b.demand })
	r.held = slices.Insert(r.held, i, b)
}

func (r *Router) unhold(b *Batch) {
	if i := slices.Index(r.held, b); i >= 0 {
		r.held = slices.Delete(r.held, i, i+1)
	}
}

// over ends a batch: nothing is sent for it any more.
func (r *Router) over(b *Batch) {
	b.Over = true
	r.unhold(b)
	if l := b.lane; l != nil {
		if i := slices.Index(l.line, b); i >= 0 {
			l.line = slices.Delete(l.line, i, i+1)
		}
	}
}

// Left says that the client has gone.
func (r *Router) Left(b *Batch) { r.over(b) }

// Outcome ends a dispatch; last says that the batch is over with it. Work and memory are what it needed.
func (r *Router) Outcome(b *Batch, no int, end Ending, last bool, took, work, memory float64, rep *Report) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d, e := b.dispatches[no], b.dispatches[no].engine
	d.ended = true
	b.Out--
	e.outs = slices.DeleteFunc(e.outs, func(o *dispatch) bool { return o == d })
	r.heard(e, rep)
	doubt := end == TimedOut || end == Broken || end == Withdrawn
	if l := b.lane; l != nil {
		l.out--
		if doubt {
			l.restTo, l.restBy = r.now+r.settle, b
		}
	}
	if b.bound == nil && (end == Returned || end == Errored || doubt) {
		b.bound, b.boundAt = e, d.sent
	}
	r.gateAt = r.now
	r.judge(e, end)
	if end == Returned && work > 0 {
		r.learn(b, took, sane(work, 1e5), sane(memory, 1e7))
	}
	if last {
		r.over(b)
	} else if !b.Over {
		r.hold(b)
		r.sweepAt = r.now
	}
}

// learn keeps what an answer tells of its service group.
func (r *Router) learn(b *Batch, took, work, memory float64) {
	g := b.Group
	if b.Cost > 0 && b.Cost < 1e5 {
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
	if g.count >= 128 {
		g.told, g.needed, g.seen, g.memTold = g.told/2, g.needed/2, g.seen/2, g.memTold/2
		g.memNeeded, g.work, g.memory, g.count = g.memNeeded/2, g.work/2, g.memory/2, g.count/2
	}
}

// judge sets an engine aside that fails too often for what it answers; one that refuses at once looks idle.
func (r *Router) judge(e *Engine, end Ending) {
	switch end {
	case Returned:
		e.signAt = r.now
		e.good++
		if e.asideUntil > 0 {
			r.log("engine %d back after %.1f s", e.ID, e.backoff)
			e.asideUntil, e.backoff, e.bad = 0, 0, 0
		}
	case Errored, Unconnected, Broken, TurnedAway, TimedOut:
		if end != TimedOut {
			e.bad++
		}
		if e.bad >= 3 && e.bad > e.good/2 || e.asideUntil > 0 {
			r.aside(e, "failing")
		}
	}
	if e.good+e.bad > 32 {
		e.good, e.bad = e.good/2, e.bad/2
	}
}

func (r *Router) aside(e *Engine, why string) {
	if r.now < e.asideUntil {
		return
	}
	e.backoff = min(max(asideFirst, 2*e.backoff), asideMost)
	e.asideAt, e.asideUntil = r.now, r.now+e.backoff*(0.75+0.5*r.draw())
	r.log("engine %d aside for %.1f s: %s, good %.0f bad %.0f", e.ID, e.backoff, why, e.good, e.bad)
}

// Probed ends a probe.
func (r *Router) Probed(e *Engine, ok bool, rep *Report) {
	e.probing = false
	if ok {
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
	// What a report leaves out is told by the rest and by what batches at work are like on average.
	held, memory := e.report.Held, e.report.Memory*e.memory/r.generous
	each := r.like
	if held < 0 && memory >= 0 && each.memory > 0 {
		held = memory * each.batches / each.memory
	}
	if memory < 0 {
		memory = 0 // left to the engine: judged by threads alone, far more is pushed back than waits there
	}
	if held < 0 {
		return
	}
	e.told = amount{1, held * each.threads / each.batches / e.cores, memory / max(e.memory, 1)}
	part := max(min((r.now-r.commonAt)/poolTime, 1), 0.03)
	r.commonAt = r.now
	r.common.threads += (min(e.told.threads, 2*mostMark) - r.common.threads) * part // one that lies stays one
	r.common.memory += (min(e.told.memory, 1) - r.common.memory) * part
}

// clean leaves only figures that an engine can mean.
func clean(rep Report) Report {
	for _, v := range []*float64{&rep.Held, &rep.Waiting, &rep.Busy, &rep.Memory, &rep.Disks} {
		if *v = min(*v, 1e4); !(*v >= 0) {
			*v = -1
		}
	}
	return rep
}

// News tells of a dispatch that is out.
func (r *Router) News(b *Batch, no int, kind Note, level float64) {
	if no >= len(b.dispatches) || b.dispatches[no].ended {
		return
	}
	d := b.dispatches[no]
	d.engine.signAt = r.now
	if kind == Progress {
		d.share, d.shareAt = sane(level, 1), r.now
	}
}

// Woken says that the time asked for has come.
func (r *Router) Woken() { r.wakeAt = math.Inf(1) }

// Next gives the next decision.
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
		e.probing, e.probedAt = true, r.now
		return Decision{Kind: Probe, Engine: e}
	}
	return r.wake()
}

func (r *Router) wake() Decision {
	at := math.Inf(1)
	if len(r.held) > 0 || slices.ContainsFunc(r.engines, func(e *Engine) bool { return len(e.outs) > 0 }) {
		at = r.now + 2*sweepEvery
	}
	if len(r.held) > 0 && r.gateAt > r.now {
		at = min(at, r.gateAt)
	}
	if at >= r.wakeAt && r.wakeAt > r.now || math.IsInf(at, 1) {
		return Decision{}
	}
	r.wakeAt = at
	return Decision{Kind: WakeAt, At: at}
}

// giveUp answers a batch for good, at once. A pushback is a promise that nothing ran or a repeat is harmless.
func (r *Router) giveUp(b *Batch) Decision {
	r.over(b)
	g := b.Group
	if b.bound == nil || g.Effect == Repeatable ||
		g.Effect == Referenced && g.Scope == WithinAll && r.now+r.comeBack < b.boundAt+g.Window {
		return Decision{Kind: PushBack, Batch: b, Wait: r.comeBack}
	}
	return Decision{Kind: Fail, Batch: b}
}

// again tells whether a batch may be dispatched once more.
func (r *Router) again(b *Batch) bool {
	if len(b.dispatches) >= r.most || b.Out > 0 {
		return false
	}
	g := b.Group
	return b.bound == nil || g.Effect == Repeatable ||
		g.Effect == Referenced && r.now < b.boundAt+g.Window-r.tick
}

// spent tells whether the budget of further dispatches is spent for now.
func (r *Router) spent() bool {
	since := func(list []float64) []float64 {
		return list[sort.Search(len(list), func(i int) bool { return list[i] > r.now-r.furtherWindow }):]
	}
	r.takes, r.furthers = since(r.takes), since(r.furthers)
	return float64(len(r.furthers)+1) > r.freeFurther+r.further*float64(len(r.takes))
}

// sweep looks now and then at all that is held or out for what time alone has changed.
func (r *Router) sweep() {
	maps.DeleteFunc(r.lanes, func(_ uint64, l *lane) bool {
		return len(l.line) == 0 && l.out == 0 && r.now >= l.restTo
	})
	passed := min(r.now-r.swept, 1)
	r.swept, r.sweepAt = r.now, r.now+sweepEvery
	if r.mustAsk && !r.asked {
		r.asked = true
		r.next = append(r.next, Decision{Kind: Subscribe})
	}
	for _, b := range slices.Clone(r.held) {
		if r.hopeless(b) {
			r.next = append(r.next, r.giveUp(b))
		}
	}
	var out amount
	threads, cores, memory, busy, told, fresh, ready, aside := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0
	for _, e := range r.engines {
		late := 0
		for _, d := range e.outs {
			g := d.batch.Group
			out = amount{0, out.threads + d.threads, out.memory + d.memory}
			age, usual := r.now-d.sent-d.still, d.batch.alone*g.stretch.quantile(0.95, 8)
			if age > overdue*usual+0.2 && e.signAt < d.sent {
				late++
			}
			if r.mayCancel && !d.cancel && g.Effect == Repeatable && !d.batch.Over &&
				len(d.batch.dispatches) < r.most && r.startOver(d) {
				d.cancel = true
				r.next = append(r.next, Decision{Kind: Cancel, Batch: d.batch, Number: d.number})
			}
		}
		if late >= 3 || late > 0 && late == len(e.outs) && r.now-e.signAt > 1 {
			r.aside(e, "silent")
		}
		if e.Phase == Ready {
			ready++
			if e.asideUntil > 0 {
				aside++
			}
			cores += e.cores
			memory += e.memory
			threads += r.filled(e).threads * e.cores
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
	if ready > 0 {
		r.alike = 1 + (r.routers-1)*fresh/float64(ready)
	}
	part := passed / presentTime
	r.out.threads += (out.threads - r.out.threads) * part
	r.out.memory += (out.memory - r.out.memory) * part
	if cores > 0 && r.now > r.commonAt+presentTime { // no report tells of others: they are taken to be like us
		r.common.threads = (r.routers - 1) * r.out.threads / cores
		r.common.memory = (r.routers - 1) * r.out.memory / max(memory, 1)
	}
	if cores > 0 {
		seen := threads / cores
		if told > 0 {
			seen = busy / told
		}
		r.load += (min(max(seen, 0), mostLoad) - r.load) * passed / loadTime
	}
}

// startOver: a fresh dispatch would be far quicker (a bad plan, an engine that crawls), or the engine is set
// aside. It may hurt when all engines slow down at once, until the learned stretch has grown.
func (r *Router) startOver(d *dispatch) bool {
	usual := d.batch.alone * d.batch.Group.stretch.quantile(0.75, 4)
	if d.engine.asideUntil > r.now && d.engine.signAt < d.sent {
		return r.now+usual < d.batch.limitAt
	}
	rest := (d.shareAt-d.sent)*(1-d.share)/d.share - (r.now - d.shareAt)
	return d.share > 0 && rest > restartGain*usual && r.now+usual < d.batch.limitAt
}

// hopeless: it can no longer be answered with any utility, or not be sent again.
func (r *Router) hopeless(b *Batch) bool {
	return !r.again(b) || r.now+trust*b.alone+3*sweepEvery > b.endAt
}

// release is the design's ordinary path: which batch leaves next, where to, and whether the gate lets it.
func (r *Router) release() (*Batch, *Engine) {
	for tries := 0; r.now >= r.gateAt && tries < mostTries; tries++ {
		b := r.pick()
		if b == nil {
			break
		}
		e, figure := r.place(b)
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

// pick: the smallest demand past twice the threshold; else, with more slow ones than the limit, the most
// slowed; else the smallest demand.
func (r *Router) pick() *Batch {
	threshold := 1 / (1 - r.load)
	var first, worst *Batch
	slow, most := 0, 0.0
	for _, b := range r.held {
		if b.redrawAt > r.now || !r.turn(b) ||
			len(b.dispatches) > 0 && (!r.again(b) || r.rationed && r.spent()) {
			continue
		}
		if first == nil {
			first = b
		}
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
	return l == nil || l.line[0] == b && l.out == b.Out && (r.now >= l.restTo || l.restBy == b)
}

// place gives the engine with the lowest figure among those the batch may go to.
func (r *Router) place(b *Batch) (best *Engine, figure float64) {
	home, next := 0.0, 0.0
	for _, e := range r.engines {
		if h := b.home(e); e.Phase == Ready && e.asideUntil == 0 {
			home, next = max(home, h), max(next, min(home, h))
		}
	}
	first := int(r.draw() * float64(len(r.engines))) // ties fall apart, or all routers meet on one engine
	for i := range r.engines {
		e := r.engines[(first+i)%len(r.engines)]
		if !r.allowed(b, e) || !r.fit(b, e) {
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
		} else if b.home(e) >= next && (r.routers <= 1 || r.fresh(e)) {
			f -= homeBonus
		}
		if n := len(b.dispatches); n > 0 && b.dispatches[n-1].engine == e {
			f++
		}
		if best == nil || f < figure {
			best, figure = e, f
		}
	}
	return best, figure
}

// home ranks engines for a data set alike at every router, so that what one has read stays warm for all.
func (b *Batch) home(e *Engine) float64 {
	return mix(math.Float64bits(b.Tables)>>24+1, uint64(e.ID))
}

// mix gives a number from 0 up to 1 that is the same at every router.
func mix(a, b uint64) float64 {
	h := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return float64(h>>32) / (1 << 32)
}

// allowed: what the rules say, at every dispatch.
func (r *Router) allowed(b *Batch, e *Engine) bool {
	g := b.Group
	if e.Phase != Ready || g.Zones != nil && !slices.Contains(g.Zones, e.Zone) ||
		g.Kinds != nil && !slices.Contains(g.Kinds, e.Kind) {
		return false
	}
	if at := b.bound; at != nil && g.Effect == Referenced &&
		(g.Scope == WithinZone && e.Zone != at.Zone || g.Scope == WithinCell && e.Cell != at.Cell) {
		return false
	}
	return !r.cold(e) || r.coldRoom(e, b.demand)
}

func (r *Router) cold(e *Engine) bool {
	return e.StartedAt > 0 && r.now < e.StartedAt+r.coldTime+0.5
}

// coldRoom: our share of what may be sent to a cold engine in any window of the fall time. A share of one in
// hundreds admits no batch, so a few routers have it all, picked alike everywhere by engine, start and own
// number. After our own start nobody knows what we sent before: the first window is taken as spent.
func (r *Router) coldRoom(e *Engine, work float64) bool {
	first := int(mix(uint64(e.ID), math.Float64bits(e.StartedAt)) * r.routers)
	n := int(r.routers)
	if r.now < r.started+r.fallTime || r.index < 0 || r.index >= n || (r.index-first+n)%n >= coldRouters {
		return false
	}
	budget := r.coldWork * e.cores
	for _, s := range e.sends {
		if s.at > r.now-r.fallTime-0.1 {
			budget -= s.work
		}
	}
	return work <= budget
}

// fit: health and memory. An engine set aside is tried with one batch at a time once its time has come, or at
// once while most are set aside: nearly all failing is more likely the network's doing, or ours.
func (r *Router) fit(b *Batch, e *Engine) bool {
	n := len(e.outs)
	if e.asideUntil > 0 && (r.now < e.asideUntil && !r.shaken || n > 0 && e.outs[n-1].sent >= e.asideAt) {
		return false
	}
	if e.memory <= 0 || b.memory <= 0 {
		return true
	}
	used := r.filled(e).memory * e.memory
	// A small batch may go where a heavy one may not: it needs room for some of its like, of which other
	// routers may be sending one each, but never more than the share that counts as full leaves free.
	need := min(b.memory*memorySpare, r.largestGrant*e.memory)
	return used+min(memoryRoom*need, need+(1-memoryFull)*e.memory) <= e.memory
}

// fresh tells whether an engine's report is still believed.
func (r *Router) fresh(e *Engine) bool {
	return e.told.batches > 0 && r.now < e.reportAt+reportStale
}

// filled is an engine's threads a core and its share of memory spoken for, by whom ever. Own threads stand in
// for what no report tells, but one router of hundreds sees next to nothing of the rest: what others add is
// pooled over the fleet and time, and an ageing report leans towards that pool. Engines differ widely: one without
// a report counts as fuller than the pool, so that batches go among the few that reports tell of. What was sent since a report
// counts once for each router that is likely to act on the like of it: with few routers all fall on one engine
// together. It hurts when one engine fills much faster than the fleet.
func (r *Router) filled(e *Engine) amount {
	var own, since amount
	for _, d := range e.outs {
		own.threads, own.memory = own.threads+d.threads, own.memory+d.memory
		if d.sent > e.reportAt-reportLag {
			since.threads, since.memory = since.threads+d.threads, since.memory+d.memory
		}
	}
	cores, memory := e.cores, max(e.memory, 1)
	if !r.fresh(e) {
		others := 1 - 1/r.routers
		return amount{0, blindThreads*others*r.common.threads + own.threads/cores,
			blindMemory*others*r.common.memory + own.memory/memory}
	}
	old := (r.now - e.reportAt) / reportStale
	return amount{0,
		max(own.threads/cores, e.told.threads+(r.common.threads-e.told.threads)*old+since.threads*r.alike/cores),
		max(own.memory/memory, e.told.memory+(r.common.memory-e.told.memory)*old+since.memory*r.alike/memory)}
}

// send books a dispatch; its terms go first.
func (r *Router) send(b *Batch, e *Engine) Decision {
	r.unhold(b)
	if len(b.dispatches) > 0 && r.rationed {
		r.furthers = append(r.furthers, r.now)
	}
	d := &dispatch{batch: b, engine: e, number: len(b.dispatches), sent: r.now, threads: b.Group.Threads}
	d.memory = min(b.memory*memorySpare, r.largestGrant*e.memory)
	b.dispatches = append(b.dispatches, d)
	e.outs = append(e.outs, d)
	b.Out++
	if b.lane != nil {
		b.lane.out++
	}
	if r.cold(e) {
		e.sends = slices.DeleteFunc(e.sends, func(s spend) bool { return s.at < r.now-r.fallTime-0.1 })
		e.sends = append(e.sends, spend{r.now, b.demand})
	}
	wait := b.limitAt - r.now
	if g := b.Group; g.Effect == Repeatable && len(b.dispatches) < r.most {
		own := overdue*b.alone*g.stretch.quantile(0.98, 16) + 0.5
		if r.now+own+2*b.alone < b.limitAt {
			wait = own
		}
	}
	out := Decision{Kind: Dispatch, Batch: b, Engine: e, Number: d.number, Wait: wait}
	if !r.grants && !r.priorities {
		return out
	}
	terms := Decision{Kind: Terms, Batch: b, Priority: 1}
	if r.grants {
		terms.Memory = min(d.memory*r.generous, r.largestGrant*e.memory)
	}
	if r.priorities {
		ratio := 2 * b.demand / max(r.meanDemand, 1e-6) // 3 under half the mean
		terms.Priority = min(max(3-int(math.Ceil(math.Log2(max(ratio, 0.25))/2)), 0), 3)
	}
	r.next = append(r.next, out)
	return terms
}

// probe gives the engine whose load is to be asked for, within what a probe is worth.
func (r *Router) probe() *Engine {
	if !r.mayProbe || r.probeCredit < r.probeEvery {
		return nil
	}
	var oldest *Engine
	first := int(r.draw() * float64(len(r.engines))) // not all routers ask the same one
	for i := range r.engines {
		e := r.engines[(first+i)%len(r.engines)]
		due := e.Phase == Ready && !e.probing && r.now > e.probedAt+probeRest
		if due && (oldest == nil || e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	if oldest != nil {
		r.probeCredit -= r.probeEvery
	}
	return oldest
}
