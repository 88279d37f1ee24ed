package emulator

import (
	"cmp"
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/settings"
	"pitchfield/internal/traffic"
)

// progressInterval is the time between the progress notes of an engine, in seconds.
const progressInterval = 1.0

// engine models an engine: threads share its cores, batches spill to disk when memory is full, recently used data sets are
// warm, and it is slower after a start.
type engine struct {
	sim        *sim
	name       string
	address    string
	kind       int
	up         bool
	generation int     // counts crashes; distinguishes the connections and timers of each start
	startedAt  float64 // simulated time; 0 for the engines that are there at the start of the day
	faultSpeed float64 // factor of its speed that a "slow" fault sets; 1 without a fault
	failing    bool    // answers each dispatch with an error

	advancedTo        float64          // simulated time up to which the remaining work of the runs is accounted
	running           []*run           // in the order in which they started
	nextCheck         int              // number of the latest timer for a completion; older timers are ignored
	warmDataSets      []int            // least recently used first
	conns             map[uint64]*conn // by serial number; reset when the engine crashes
	recentLoad        []load           // work that arrived within the last Rules.OverloadWindow
	progressScheduled bool             // a round of progress notes is scheduled
}

// load is an amount of work, in seconds, that arrived at a time.
type load struct{ at, work float64 }

// run is the execution of a batch on an engine.
type run struct {
	batch     *batch
	conn      *conn
	remaining float64 // seconds of work left
	totalWork float64 // seconds of work at the start, with the costs of this engine
	threads   float64
	memory    float64
	startedAt float64
	rate      float64 // seconds of work done in a second
	ended     bool    // completed, cancelled, or stopped by a crash of the engine
	duplicate bool    // a repeated dispatch that the engine deduplicates: it answers and runs nothing
}

// speed is the current fraction of the engine's full speed.
func (e *engine) speed() float64 {
	w := &e.sim.world.Engine
	startFactor := min(w.ColdSpeed+(1-w.ColdSpeed)*(e.sim.now-e.startedAt)/w.SlowStartTime, 1)
	return startFactor * e.faultSpeed
}

// advance accounts the work that the runs have done up to now.
func (e *engine) advance() {
	elapsed := e.sim.now - e.advancedTo
	e.advancedTo = e.sim.now
	for _, r := range e.running {
		r.remaining -= r.rate * elapsed
	}
}

// updateRates recomputes the rate of each run and schedules the check at the next completion.
func (e *engine) updateRates() {
	w := &e.sim.world.Engine
	threads, memory := 0.0, 0.0
	for _, r := range e.running {
		threads += r.threads
	}
	pace := e.speed() / (1 + w.OversubscriptionCost*max(threads/w.Cores-2, 0))
	share := min(1, w.Cores/max(threads, 1e-9)) * pace
	next := math.Inf(1)
	for _, r := range e.running {
		r.rate = r.threads * share
		if memory += r.memory; memory > w.Memory { // the runs that started last find no free memory and spill
			r.rate *= w.SpillFactor
		}
		if r.rate > 0 {
			next = min(next, max(r.remaining, 0)/r.rate)
		}
	}
	e.nextCheck++
	if math.IsInf(next, 1) {
		return
	}
	due := e.nextCheck
	if e.speed() < 1 { // the speed grows after a start, so the rates are recomputed at least every 0.25 s
		next = min(next, 0.25)
	}
	e.sim.scheduleAfter(next+1e-7, func() {
		if e.nextCheck == due && e.up {
			e.completeRuns()
		}
	})
}

// completeRuns completes the runs that have no work left.
func (e *engine) completeRuns() {
	e.advance()
	var done []*run
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.remaining <= 1e-9 {
			done = append(done, r)
			return true
		}
		return false
	})
	for _, r := range done {
		e.complete(r)
	}
	e.updateRates()
}

// complete records a run as completed and sends its result.
func (e *engine) complete(r *run) {
	r.ended = true
	r.batch.activeDispatches--
	e.sim.result.recordWork(r, !r.batch.closed && !r.batch.served)
	e.sim.checker.runCompleted(r)
	r.conn.reply(&traffic.EngineReply{ID: r.batch.id, Kind: traffic.ReplyFirstPage, Pages: 1, Page: -1, Work: r.batch.work, Memory: r.batch.memory})
}

// start handles a dispatch: it starts a run of the batch, answers with an error if the engine is failing, and crashes a cold
// engine that receives more work than Rules allow.
func (e *engine) start(connection *conn, d *traffic.Dispatch, b *batch) {
	s := e.sim
	if e.failing { // the batch has not begun, but the reply does not say so
		b.activeDispatches--
		connection.reply(&traffic.EngineReply{ID: b.id, Kind: traffic.ReplyFailed, Pages: -1, Page: -1, Work: -1, Memory: -1})
		return
	}
	e.advance()
	r := &run{batch: b, conn: connection, threads: b.group.Threads, memory: b.memory, startedAt: s.now}
	r.totalWork = b.work
	if s.result.startedRuns++; !slices.Contains(e.warmDataSets, b.dataSet) {
		s.result.coldDataSetRuns++
		r.totalWork *= s.world.Engine.ColdCost
	}
	e.warmDataSets = append(slices.DeleteFunc(e.warmDataSets, func(d int) bool { return d == b.dataSet }), b.dataSet)
	if n := len(e.warmDataSets) - s.world.Engine.WarmDataSets; n > 0 {
		e.warmDataSets = slices.Delete(e.warmDataSets, 0, n)
	}
	if d.Memory > 0 && d.Memory < b.memory { // the router's memory grant is too small, so the batch spills
		r.totalWork /= max(s.world.Engine.SpillFactor, d.Memory/b.memory)
	}
	if r.duplicate = b.group.Effect == "referenced" && s.checker.ranWithinWindow(b); r.duplicate {
		r.totalWork, r.memory, r.threads = 0.001, 0, 0.1
	}
	r.remaining = r.totalWork
	s.checker.runStarted(r, e)
	e.running = append(e.running, r)
	// A batch adds to the recent load at most the work that its threads can do within the overload window, and at most the
	// work that the client declared. The error of that estimate and the cost of a cold data set are not counted: a router
	// cannot know them, and no rule may be violated by chance alone.
	nominal := min(b.estimatedWork, b.group.Threads*s.world.Rules.OverloadWindow)
	if r.duplicate {
		nominal = 0
	}
	e.recentLoad = append(slices.DeleteFunc(e.recentLoad, func(l load) bool { return l.at < s.now-s.world.Rules.OverloadWindow }), load{s.now, nominal})
	if s.now-e.startedAt < s.world.Engine.SlowStartTime && e.startedAt > 0 {
		sum := 0.0
		for _, l := range e.recentLoad {
			sum += l.work
		}
		limit := s.world.Rules.OverloadFactor * e.speed() * s.world.Engine.Cores * s.world.Rules.OverloadWindow
		s.result.MaxColdLoad = max(s.result.MaxColdLoad, sum/limit)
		if sum > limit {
			s.checker.engineOverloaded(e, sum, limit)
			e.crash(s.world.Engine.RestartTime)
			return
		}
	}
	if !e.progressScheduled {
		e.progressScheduled = true
		generation := e.generation
		s.scheduleAfter(progressInterval, func() { e.sendProgress(generation) })
	}
	e.updateRates()
}

// sendProgress sends a progress note for each run and schedules the next round while runs are left.
func (e *engine) sendProgress(generation int) {
	if e.generation != generation || !e.up {
		return
	}
	e.advance()
	for _, r := range e.running {
		if r.startedAt <= e.sim.now-progressInterval/2 {
			r.conn.reply(&traffic.EngineReply{ID: r.batch.id, Kind: traffic.ReplyProgress, Pages: -1, Page: -1, Work: -1, Memory: -1,
				Note: brain.Progress, Level: min(max(1-r.remaining/r.totalWork, 0), 1)})
		}
	}
	if e.progressScheduled = len(e.running) > 0; e.progressScheduled {
		e.sim.scheduleAfter(progressInterval, func() { e.sendProgress(generation) })
	}
}

// cancel stops the run of a batch that was dispatched on a connection.
func (e *engine) cancel(c *conn, id string) {
	e.advance()
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.conn == c && r.batch.id == id {
			r.ended = true
			r.batch.activeDispatches--
			e.sim.result.recordWork(r, false)
			e.sim.checker.runCancelled(r)
			return true
		}
		return false
	})
	e.updateRates()
}

// loadReport returns the load that the engine reports to probes. It holds what World.Reports asks for.
func (e *engine) loadReport() *brain.Report {
	rep := settings.EmptyReport()
	memory, threads := 0.0, 0.0
	for _, r := range e.running {
		memory, threads = memory+r.memory, threads+r.threads
	}
	rep.Waiting, rep.Memory = 0, min(memory/e.sim.world.Engine.Memory, 2)
	if e.sim.world.Reports == "full" {
		rep.InFlight, rep.CPU = float64(len(e.running)), min(threads/e.sim.world.Engine.Cores, 1)
	}
	return rep
}

// crash stops all runs and resets all connections. The engine restarts cold after downtime seconds, never if that is infinite.
func (e *engine) crash(downtime float64) {
	if !e.up {
		return
	}
	e.advance()
	e.up = false
	e.generation++
	for _, r := range e.running {
		r.ended = true
		r.batch.activeDispatches--
		e.sim.result.recordWork(r, false)
		e.sim.checker.runCancelled(r)
	}
	e.running, e.warmDataSets, e.recentLoad, e.progressScheduled = nil, nil, nil, false
	conns := make([]*conn, 0, len(e.conns))
	for _, c := range e.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range conns {
		c.reset()
	}
	e.conns = map[uint64]*conn{}
	e.sim.nameService.publish()
	if !math.IsInf(downtime, 1) {
		e.sim.scheduleAfter(downtime, func() {
			e.up, e.startedAt, e.advancedTo = true, e.sim.now, e.sim.now
			e.sim.nameService.publish()
		})
	}
}
