package emulator

import (
	"cmp"
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/settings"
	"pitchfield/internal/traffic"
)

const progressInterval = 1.0

// engine is the model of one: cores shared by threads, memory that spills, data sets that are warm, a cold start.
type engine struct {
	sim        *sim
	name       string
	address    string
	kind       int
	up         bool
	generation int // number of starts
	startedAt  float64
	faultSpeed float64 // times its pace
	failing    bool

	advancedTo        float64 // until when the running ones have been worked on
	running           []*run
	nextCheck         int // number of the next end that counts
	warmDataSets      []int
	conns             map[uint64]*conn // dropped with it
	recentLoad        []load           // work that came since a fall's time ago
	progressScheduled bool             // a round of notes is due
}

type load struct{ at, work float64 }

// run is a batch that an engine runs.
type run struct {
	batch     *batch
	conn      *conn
	remaining float64 // seconds of work
	totalWork float64
	threads   float64
	memory    float64
	startedAt float64
	rate      float64
	ended     bool // given up, or the engine died
	duplicate bool // a repeat that the engine remembers: it answers once the first has ended, and runs nothing
}

// speed is the share of its full one that it has now.
func (e *engine) speed() float64 {
	w := &e.sim.world.Engine
	warm := min(w.ColdSpeed+(1-w.ColdSpeed)*(e.sim.now-e.startedAt)/w.SlowStartTime, 1)
	return warm * e.faultSpeed
}

// advance brings the running ones up to now.
func (e *engine) advance() {
	passed := e.sim.now - e.advancedTo
	e.advancedTo = e.sim.now
	for _, r := range e.running {
		r.remaining -= r.rate * passed
	}
}

// updateRates gives each running one its share and sets the next end.
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
		if memory += r.memory; memory > w.Memory { // who came last finds none
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
	if e.speed() < 1 { // a pace that grows is looked at again
		next = min(next, 0.25)
	}
	e.sim.scheduleAfter(next+1e-7, func() {
		if e.nextCheck == due && e.up {
			e.completeRuns()
		}
	})
}

// completeRuns ends what is done.
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

func (e *engine) complete(r *run) {
	r.ended = true
	r.batch.activeDispatches--
	e.sim.result.recordWork(r, !r.batch.closed && !r.batch.served)
	e.sim.checker.runCompleted(r)
	r.conn.reply(&traffic.EngineReply{ID: r.batch.id, Kind: traffic.ReplyFirstPage, Pages: 1, Page: -1, Work: r.batch.work, Memory: r.batch.memory})
}

// start begins a batch.
func (e *engine) start(c *conn, d *traffic.Dispatch, b *batch) {
	s := e.sim
	if e.failing { // before it has begun, though nobody can know that
		b.activeDispatches--
		c.reply(&traffic.EngineReply{ID: b.id, Kind: traffic.ReplyFailed, Pages: -1, Page: -1, Work: -1, Memory: -1})
		return
	}
	e.advance()
	r := &run{batch: b, conn: c, threads: b.group.Threads, memory: b.memory, startedAt: s.now}
	r.totalWork = b.work
	if s.result.startedRuns++; !slices.Contains(e.warmDataSets, b.dataSet) {
		s.result.coldDataSetRuns++
		r.totalWork *= s.world.Engine.ColdCost
	}
	e.warmDataSets = append(slices.DeleteFunc(e.warmDataSets, func(d int) bool { return d == b.dataSet }), b.dataSet)
	if n := len(e.warmDataSets) - s.world.Engine.WarmDataSets; n > 0 {
		e.warmDataSets = slices.Delete(e.warmDataSets, 0, n)
	}
	if d.Memory > 0 && d.Memory < b.memory { // short of memory by its grant
		r.totalWork /= max(s.world.Engine.SpillFactor, d.Memory/b.memory)
	}
	if r.duplicate = b.group.Effect == "referenced" && s.checker.ranWithinWindow(b); r.duplicate {
		r.totalWork, r.memory, r.threads = 0.001, 0, 0.1
	}
	r.remaining = r.totalWork
	s.checker.runStarted(r, e)
	e.running = append(e.running, r)
	// What a batch adds to the load of that time is what its threads can ask for in it, of the work that was told. How far
	// that is off, and that a data set is not warm, is not a router's to know: no rule is to break by chance alone.
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
		bears := s.world.Rules.OverloadFactor * e.speed() * s.world.Engine.Cores * s.world.Rules.OverloadWindow
		s.result.MaxColdLoad = max(s.result.MaxColdLoad, sum/bears)
		if sum > bears {
			s.checker.engineOverloaded(e, sum, bears)
			e.crash(s.world.Engine.RestartTime)
			return
		}
	}
	if !e.progressScheduled {
		e.progressScheduled = true
		life := e.generation
		s.scheduleAfter(progressInterval, func() { e.sendProgress(life) })
	}
	e.updateRates()
}

// sendProgress tells of progress, once a second.
func (e *engine) sendProgress(life int) {
	if e.generation != life || !e.up {
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
		e.sim.scheduleAfter(progressInterval, func() { e.sendProgress(life) })
	}
}

// cancel stops a batch that came on a connection.
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

// crash ends all that is there; unless back is infinite it starts again, cold, so much later.
func (e *engine) crash(back float64) {
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
	if !math.IsInf(back, 1) {
		e.sim.scheduleAfter(back, func() {
			e.up, e.startedAt, e.advancedTo = true, e.sim.now, e.sim.now
			e.sim.nameService.publish()
		})
	}
}
