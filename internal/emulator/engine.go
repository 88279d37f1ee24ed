package emulator

import (
	"cmp"
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/settings"
	"pitchfield/internal/traffic"
)

const notesEvery = 1.0

// engine is the model of one: cores shared by threads, memory that spills, data sets that are warm, a cold start.
type engine struct {
	sim     *sim
	name    string
	address string
	kind    int
	up      bool
	life    int // number of starts
	started float64
	slow    float64 // times its pace
	failing bool

	at      float64 // until when the running ones have been worked on
	running []*run
	due     int // number of the next end that counts
	warm    []int
	conns   map[uint64]*conn // dropped with it
	lately  []load           // work that came since a fall's time ago
	noted   bool             // a round of notes is due
}

type load struct{ at, work float64 }

// run is a batch that an engine runs.
type run struct {
	batch   *batch
	conn    *conn
	left    float64 // seconds of work
	whole   float64
	threads float64
	need    float64
	began   float64
	rate    float64
	over    bool // given up, or the engine died
	copyOf  bool // a repeat that the engine remembers: it answers once the first has ended, and runs nothing
}

// pace is the share of its full one that it has now.
func (e *engine) pace() float64 {
	w := &e.sim.world.Engine
	warm := min(w.ColdFrom+(1-w.ColdFrom)*(e.sim.now-e.started)/w.Cold, 1)
	return warm * e.slow
}

// work brings the running ones up to now.
func (e *engine) work() {
	passed := e.sim.now - e.at
	e.at = e.sim.now
	for _, r := range e.running {
		r.left -= r.rate * passed
	}
}

// rates gives each running one its share and sets the next end.
func (e *engine) rates() {
	w := &e.sim.world.Engine
	threads, memory := 0.0, 0.0
	for _, r := range e.running {
		threads += r.threads
	}
	pace := e.pace() / (1 + w.Strain*max(threads/w.Cores-2, 0))
	share := min(1, w.Cores/max(threads, 1e-9)) * pace
	next := math.Inf(1)
	for _, r := range e.running {
		r.rate = r.threads * share
		if memory += r.need; memory > w.Memory { // who came last finds none
			r.rate *= w.Spill
		}
		if r.rate > 0 {
			next = min(next, max(r.left, 0)/r.rate)
		}
	}
	e.due++
	if math.IsInf(next, 1) {
		return
	}
	due := e.due
	if e.pace() < 1 { // a pace that grows is looked at again
		next = min(next, 0.25)
	}
	e.sim.after(next+1e-7, func() {
		if e.due == due && e.up {
			e.look()
		}
	})
}

// look ends what is done.
func (e *engine) look() {
	e.work()
	var done []*run
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.left <= 1e-9 {
			done = append(done, r)
			return true
		}
		return false
	})
	for _, r := range done {
		e.ended(r)
	}
	e.rates()
}

func (e *engine) ended(r *run) {
	r.over = true
	r.batch.out--
	e.sim.result.ran(r, !r.batch.over && !r.batch.done)
	e.sim.check.ended(r)
	r.conn.reply(&traffic.EngineReply{ID: r.batch.id, Kind: traffic.ReplyFirstPage, Pages: 1, Page: -1, Work: r.batch.work, Memory: r.batch.need})
}

// dispatch begins a batch.
func (e *engine) dispatch(c *conn, d *traffic.Dispatch, b *batch) {
	s := e.sim
	if e.failing { // before it has begun, though nobody can know that
		b.out--
		c.reply(&traffic.EngineReply{ID: b.id, Kind: traffic.ReplyFailed, Pages: -1, Page: -1, Work: -1, Memory: -1})
		return
	}
	e.work()
	r := &run{batch: b, conn: c, threads: b.group.Threads, need: b.need, began: s.now}
	r.whole = b.work
	if s.result.begun++; !slices.Contains(e.warm, b.data) {
		s.result.notWarm++
		r.whole *= s.world.Engine.ColdCost
	}
	e.warm = append(slices.DeleteFunc(e.warm, func(d int) bool { return d == b.data }), b.data)
	if n := len(e.warm) - s.world.Engine.Warm; n > 0 {
		e.warm = slices.Delete(e.warm, 0, n)
	}
	if d.Memory > 0 && d.Memory < b.need { // short of memory by its grant
		r.whole /= max(s.world.Engine.Spill, d.Memory/b.need)
	}
	if r.copyOf = b.group.Effect == "referenced" && s.check.ranLately(b); r.copyOf {
		r.whole, r.need, r.threads = 0.001, 0, 0.1
	}
	r.left = r.whole
	s.check.began(r, e)
	e.running = append(e.running, r)
	// What a batch adds to the load of that time is what its threads can ask for in it, of the work that was told. How far
	// that is off, and that a data set is not warm, is not a router's to know: no rule is to break by chance alone.
	nominal := min(b.told, b.group.Threads*s.world.Rules.Fall)
	if r.copyOf {
		nominal = 0
	}
	e.lately = append(slices.DeleteFunc(e.lately, func(l load) bool { return l.at < s.now-s.world.Rules.Fall }), load{s.now, nominal})
	if s.now-e.started < s.world.Engine.Cold && e.started > 0 {
		sum := 0.0
		for _, l := range e.lately {
			sum += l.work
		}
		bears := s.world.Rules.FallMultiple * e.pace() * s.world.Engine.Cores * s.world.Rules.Fall
		s.result.Cold = max(s.result.Cold, sum/bears)
		if sum > bears {
			s.check.fell(e, sum, bears)
			e.die(s.world.Engine.Restart)
			return
		}
	}
	if !e.noted {
		e.noted = true
		life := e.life
		s.after(notesEvery, func() { e.notes(life) })
	}
	e.rates()
}

// notes tells of progress, once a second.
func (e *engine) notes(life int) {
	if e.life != life || !e.up {
		return
	}
	e.work()
	for _, r := range e.running {
		if r.began <= e.sim.now-notesEvery/2 {
			r.conn.reply(&traffic.EngineReply{ID: r.batch.id, Kind: traffic.ReplyProgress, Pages: -1, Page: -1, Work: -1, Memory: -1,
				Note: brain.Progress, Level: min(max(1-r.left/r.whole, 0), 1)})
		}
	}
	if e.noted = len(e.running) > 0; e.noted {
		e.sim.after(notesEvery, func() { e.notes(life) })
	}
}

// giveUp stops a batch that came on a connection.
func (e *engine) giveUp(c *conn, id string) {
	e.work()
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.conn == c && r.batch.id == id {
			r.over = true
			r.batch.out--
			e.sim.result.ran(r, false)
			e.sim.check.stopped(r)
			return true
		}
		return false
	})
	e.rates()
}

func (e *engine) report() *brain.Report {
	rep := settings.EmptyReport()
	memory, threads := 0.0, 0.0
	for _, r := range e.running {
		memory, threads = memory+r.need, threads+r.threads
	}
	rep.Waiting, rep.Memory = 0, min(memory/e.sim.world.Engine.Memory, 2)
	if e.sim.world.Reports == "full" {
		rep.InFlight, rep.CPU = float64(len(e.running)), min(threads/e.sim.world.Engine.Cores, 1)
	}
	return rep
}

// die ends all that is there; unless back is infinite it starts again, cold, so much later.
func (e *engine) die(back float64) {
	if !e.up {
		return
	}
	e.work()
	e.up = false
	e.life++
	for _, r := range e.running {
		r.over = true
		r.batch.out--
		e.sim.result.ran(r, false)
		e.sim.check.stopped(r)
	}
	e.running, e.warm, e.lately, e.noted = nil, nil, nil, false
	conns := make([]*conn, 0, len(e.conns))
	for _, c := range e.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range conns {
		c.reset()
	}
	e.conns = map[uint64]*conn{}
	e.sim.names.change()
	if !math.IsInf(back, 1) {
		e.sim.after(back, func() {
			e.up, e.started, e.at = true, e.sim.now, e.sim.now
			e.sim.names.change()
		})
	}
}
