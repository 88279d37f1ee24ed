// Package router holds the state of the running router and the one reducer that changes it. It does no input or
// output and knows no clock: events bring the time, and what is to be done comes back as effects.
package router

import (
	"math"
	"slices"
	"strconv"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
)

// Facts of the protocol and the platform; seconds. Nothing here decides about a batch.
const (
	askEvery    = 0.1  // the list counts as told when it is sent, and a drain has to be known soon after
	askAgain    = 0.04 // an answer may be lost
	lateQueries = 16   // numbers back that an answer may still come for
	idleEarly   = 0.8  // of the time after which engines close what is idle, lest a dispatch meets that close
	quietStop   = 0.75 // after a stop is asked for, batches still come for so long
	killAfter   = 0.7  // the process may be killed so long after the longest time limit,
	killLimit   = 3.0  // which counts for no more than this
	killEarly   = 0.3  // and all must be answered before
	lateTimer   = 0.02 // worth a line: the process or its machine stood still
)

// Router is the state. It changes in Reduce alone.
type Router struct {
	brain    *brain.Router
	settings config.Config
	groups   map[string]*brain.ServiceGroup
	pool     *buffers.Pool
	out      []Effect
	now      float64
	begun    bool

	engines     map[string]*engine // for good: an engine that comes back is the same one to the module
	byBrain     map[*brain.Engine]*engine
	connections map[uint64]*line
	numbers     uint64 // of connections to engines and of probes
	most        int    // descriptors for connections to engines
	dialing     int    // connections that are not up yet; each takes a second descriptor for a moment

	clients map[uint64]*client
	batches map[*brain.Batch]*batch
	ids     uint64

	timers  timers
	timerAt float64
	wakeAt  float64

	serial  uint32
	query   uint16
	askedAt float64
	waiting bool // for an answer with the list

	stopAt, killAt float64 // 0: not stopping
	exited         bool
}

type engine struct {
	brain.Engine
	name, address string
	gone          bool
	pool          engines.Pool
}

// line is a connection to an engine with what has to go out once it is up.
type line struct {
	*engines.Connection
	engine *engine
	queue  []any  // dispatches and probes, in order
	timer  *timer // to come up, or to close when idle
}

type client struct {
	number uint64
	open   map[uint32]*batch
}

// New starts a router; its first effects come with the first event.
func New(c config.Config, pool *buffers.Pool, now float64) *Router {
	r := &Router{brain: brain.New(c.Settings.Settings, c.Seed, now), settings: c, pool: pool, now: now,
		groups: map[string]*brain.ServiceGroup{}, engines: map[string]*engine{},
		byBrain: map[*brain.Engine]*engine{}, connections: map[uint64]*line{}, clients: map[uint64]*client{},
		batches: map[*brain.Batch]*batch{}, timerAt: math.Inf(1), wakeAt: math.Inf(1), query: uint16(c.Seed)}
	for _, g := range c.Settings.Groups {
		r.groups[g.Name] = g
	}
	s := &r.settings.Settings
	s.Multiplex = max(s.Multiplex, 1)
	if s.DialTime <= 0 {
		s.DialTime = 0.25
	}
	// Clients are let in up to half of the descriptors, though they should hold a third; the runtime needs some.
	r.most = max(c.Descriptors-c.Descriptors/2-spareDescriptors, 4)
	r.brain.Clock(now)
	r.listed(c.Known)
	r.ask()
	return r
}

const (
	spareDescriptors = 48
	textShare        = 0.25 // of the memory limit: what batches may hold of it before more are pushed back
)

// Reduce takes one event and gives what is to be done. The list is used again by the next call.
func (r *Router) Reduce(now float64, what Event) []Effect {
	if r.begun {
		r.out = r.out[:0]
	}
	r.begun = true
	r.now = max(r.now, now)
	r.brain.Clock(r.now)
	switch e := what.(type) {
	case ClientOpened:
		r.clients[e.Client] = &client{number: e.Client, open: map[uint32]*batch{}}
	case ClientSaid:
		r.clientSaid(e.Client, e.Frame)
	case ClientEnded:
		r.clientEnded(e.Client, e.End)
	case EngineOpened:
		r.engineOpened(e.Connection)
	case EngineSaid:
		r.engineSaid(e.Connection, e.Reply)
	case EngineEnded:
		if l := r.connections[e.Connection]; l != nil {
			r.lineEnded(l, e.End)
		}
	case ListAnswered:
		r.listAnswered(e.Query, e.List)
	case StopAsked:
		r.stop()
	case TimerFired:
		if late := r.now - r.timerAt; late > lateTimer {
			r.log(Warn, "woken late", "by", late)
		}
		r.timerAt = math.Inf(1)
	case TurnEnded:
		r.turn()
	}
	return r.out
}

func (r *Router) do(e Effect) { r.out = append(r.out, e) }

func (r *Router) log(level Level, text string, fields ...any) {
	r.do(Log{level, text, fields})
}

// turn is the end of a loop turn: what is due, then the module's decisions, then the next timer.
func (r *Router) turn() {
	for {
		what := r.timers.due(r.now)
		if what == nil {
			break
		}
		r.due(what)
	}
	if r.now >= r.wakeAt {
		r.wakeAt = math.Inf(1)
		r.brain.Woken()
	}
	r.pull()
	r.stopping()
	if at := min(r.timers.next(), r.wakeAt); at < r.timerAt {
		r.timerAt = at
		r.do(SetTimer{at})
	}
}

func (r *Router) due(what any) {
	switch what := what.(type) {
	case *dispatch:
		r.giveUp(what, brain.TimedOut)
	case *probe:
		r.probed(what, false, "", true)
	case *line:
		r.lineDue(what)
	case asking:
		if uint16(what) == r.query {
			r.ask()
		}
	case stopCheck:
	}
}

// pull does the module's decisions as they come.
func (r *Router) pull() {
	for {
		d := r.brain.Next()
		switch d.Kind {
		case brain.Nothing:
			return
		case brain.Terms:
			if b := r.batches[d.Batch]; b != nil {
				b.memory = d.Memory
			}
		case brain.Dispatch:
			if b := r.batches[d.Batch]; b != nil {
				r.dispatch(b, r.byBrain[d.Engine], d.Number, d.Wait)
			}
		case brain.PushBack:
			r.answer(r.batches[d.Batch], refused, d.Wait, nil)
		case brain.Fail:
			r.answer(r.batches[d.Batch], failed, 0, nil)
		case brain.Cancel:
			if b := r.batches[d.Batch]; b != nil && d.Number < len(b.dispatches) {
				r.giveUp(b.dispatches[d.Number], brain.Withdrawn)
			}
		case brain.Probe:
			r.probe(r.byBrain[d.Engine])
		case brain.WakeAt:
			r.wakeAt = min(r.wakeAt, d.At)
		case brain.Subscribe: // the list is asked for all the time
		case brain.Log:
			r.log(Info, d.Text, "by", "decisions")
		}
	}
}

// The list of engines.

type asking uint16

func (r *Router) ask() {
	r.query++
	r.askedAt, r.waiting = r.now, true
	r.do(AskList{r.query})
	r.timers.add(r.now+askAgain, asking(r.query))
}

func (r *Router) listAnswered(query uint16, list directory.List) {
	if query != r.query || !r.waiting { // late, or again: it counts if it is newer, and ours
		if list.Serial <= r.serial || r.query-query > lateQueries {
			return
		}
	} else {
		r.waiting = false
		r.query++ // the repeat is void
		r.timers.add(r.askedAt+askEvery, asking(r.query))
	}
	if list.Serial > r.serial {
		r.listed(list)
	}
}

func (r *Router) listed(list directory.List) {
	r.serial = list.Serial
	var whole []*brain.Engine
	there := map[*engine]bool{}
	for _, e := range list.Engines {
		known := r.engines[e.ID]
		if known == nil {
			known = &engine{name: e.ID, Engine: brain.Engine{ID: hash(e.ID)}}
			known.pool.Engine = known.ID
			r.engines[e.ID] = known
			r.byBrain[&known.Engine] = known
		}
		if e.Address != "" {
			known.address = e.Address
		}
		phase := brain.Ready
		if e.Draining {
			phase = brain.Draining
		}
		if known.gone || known.Phase != phase || known.StartedAt != e.StartedAt {
			r.log(Info, "engine listed", "engine", e.ID, "number", known.ID, "address", known.address,
				"draining", e.Draining, "started", e.StartedAt, "serial", list.Serial)
		}
		s := &r.settings.Settings
		known.gone = false
		known.Phase, known.StartedAt, known.Size, known.Cell = phase, e.StartedAt, e.Weight, e.Cell
		known.Zone, known.Kind = slices.Index(s.Zones, e.Zone), max(slices.Index(s.Kinds, e.Kind), 0)
		whole = append(whole, &known.Engine)
		there[known] = true
	}
	r.brain.Listed(whole, true)
	for name, e := range r.engines {
		if there[e] || e.gone {
			continue
		}
		r.log(Info, "engine gone", "engine", name, "number", e.ID, "serial", list.Serial)
		e.gone, e.Phase = true, brain.Gone
		for _, c := range slices.Clone(e.pool.Connections) {
			if l := r.connections[c.Number]; l.Idle() {
				r.closeLine(l, ClosedIdle)
			}
		}
	}
}

// hash gives an engine's number from its name, alike at every router.
func hash(name string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(name) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

func (r *Router) number() uint64 {
	r.numbers++
	return r.numbers
}

func tag(n uint64) string { return "p" + strconv.FormatUint(n, 36) }
