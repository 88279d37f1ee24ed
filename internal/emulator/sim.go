package emulator

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/levels"
	"pitchfield/internal/limits"
	"pitchfield/internal/router"
	"pitchfield/internal/rows"
	"pitchfield/internal/settings"
	"pitchfield/internal/shares"
	"pitchfield/internal/traffic"
)

// moment is something that is due.
type moment struct {
	at  float64
	seq uint64
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push is the heap's.
func (m *moments) Push(x any) { *m = append(*m, x.(moment)) }

// Pop is the heap's.
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = moment{}
	*m = old[:len(old)-1]
	return last
}

// Options say how a day is played.
type Options struct {
	Seed   uint64
	Levels *levels.Settings     // nil: off
	Over   float64              // seconds over which measures fade
	Routes func() *limits.Table // makes the limits of a router, which keeps what it spends in them; nil: none
	// Adaptive limits what is out at each engine; the zero value does not.
	Adaptive limits.AdaptiveSettings
	All      *limits.RetryBudget // of further dispatches of all batches, and
	Engine   *limits.RetryBudget // to each engine; nil: none
	Load     float64             // routers tell each other what is out, so often; 0: they don't
	Talk     bool                // routers talk to each other,
	Shares   *shares.Settings    // and divide what cold engines bear by that; nil: not
	Log      io.Writer           // lines of what happens; nil: none
	// Tamper changes what a router asks for, for the checker's own tests.
	Tamper func(node int, e router.Effect) []router.Effect
	// TamperIn changes what a router is told, likewise.
	TamperIn func(node int, e router.Event) router.Event
	loosen   func(*World) // what routers are told of the rules is another than what they are held to
}

// leastAway is how long an engine that starts again is away at least, in seconds: a process takes so long to come up.
const leastAway = 4

// drainTime is how long an engine that drains is kept at least, in seconds.
const drainTime = 4

// epoch is when days begin: routers take times for Unix ones.
const epoch = 1e6

type sim struct {
	world   World
	day     Day
	options Options
	now     float64
	queue   moments
	seq     uint64

	arrivals, bodies, ways *rand.Rand
	gap                    distuv.Exponential
	group                  distuv.Categorical
	data                   distuv.Categorical

	routers []*node
	talkers map[string]*node // by the address at which they talk
	engines []*engine
	names   *names
	check   *checker
	result  *Result
	asked   []*request        // all of the day
	batches map[string]*batch // by id; answered deletes
	count   int
	connNo  uint64
	hash    interface {
		io.Writer
		Sum64() uint64
	}
}

// at puts something on the list; what is due at one time is done in the order in which it was put there.
func (s *sim) at(t float64, do func()) {
	s.seq++
	heap.Push(&s.queue, moment{max(t, s.now), s.seq, do})
}

func (s *sim) after(wait float64, do func()) { s.at(s.now+wait, do) }

// way draws the time of one message.
func (s *sim) way() float64 {
	return s.world.Net * (1 + s.world.Jitter*(2*s.ways.Float64()-1))
}

// log notes what happens: the digest of all lines is the day's.
func (s *sim) log(format string, args ...any) {
	fmt.Fprintf(s.hash, "%.6f ", s.now-epoch)
	fmt.Fprintf(s.hash, format, args...)
	if s.options.Log != nil {
		fmt.Fprintf(s.options.Log, "%.6f ", s.now-epoch)
		fmt.Fprintf(s.options.Log, format+"\n", args...)
	}
}

// Play plays a day.
func Play(w World, d Day, o Options) (*Result, error) {
	if err := w.Ready(); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, n)) }
	s := &sim{world: w, day: d, options: o, now: epoch, arrivals: stream(1), bodies: stream(2), ways: stream(3),
		batches: map[string]*batch{}, talkers: map[string]*node{}, hash: fnv.New64a()}
	s.result = newResult(w, d, o)
	s.check = newChecker(s)
	s.names = &names{sim: s}
	shares := make([]float64, len(w.Groups))
	for i, g := range w.Groups {
		shares[i] = g.Share
	}
	data := make([]float64, w.DataSets)
	for i := range data {
		data[i] = math.Pow(float64(i+1), -w.Crowd)
	}
	source := rand.NewPCG(o.Seed, 4)
	s.group, s.data = distuv.NewCategorical(shares, source), distuv.NewCategorical(data, source)
	for range w.Engines {
		s.build()
	}
	for i, e := range s.engines { // warm at the start, as after days of service
		for k := range w.Engine.Warm {
			e.warm = append(e.warm, (i+k*w.Engines)%w.DataSets)
		}
	}
	s.names.change()
	s.names.history[0].at = s.now - 60
	for i := range w.Routers {
		n := &node{sim: s, index: i}
		s.routers, s.talkers[talkAddress(i)] = append(s.routers, n), n
		n.start()
	}
	for _, t := range d.Troubles {
		s.trouble(t)
	}
	end := s.now + d.Seconds
	s.after(0.5, s.arrive)
	for t := 1.0; t <= d.Seconds; t++ {
		s.at(epoch+t, s.result.second(s))
	}
	last := 0.0
	for _, g := range w.Groups {
		last = max(last, g.Limit)
	}
	for len(s.queue) > 0 && s.queue[0].at <= end+last+1 {
		m := heap.Pop(&s.queue).(moment)
		s.now = m.at
		m.do()
	}
	s.check.finish()
	s.result.finish(s)
	return s.result, nil
}

// build adds an engine, of a name and an address that no other has had.
func (s *sim) build() *engine {
	i := len(s.engines)
	e := &engine{sim: s, name: fmt.Sprintf("e-%d", i+1), address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
		kind: i % 2, up: true, slow: 1, at: s.now, conns: map[uint64]*conn{}}
	s.engines = append(s.engines, e)
	return e
}

// replace is a release: in steps, engines drain, others that are new and cold take their place some time later, and the
// drained ones end when they have had time to finish.
func (s *sim) replace(t Trouble) {
	steps := max(t.Steps, 1)
	old := some(s.bodies, s.engines, t.Share)
	for step := range steps {
		s.after(t.For*float64(step)/float64(steps), func() {
			part := old[len(old)*step/steps : len(old)*(step+1)/steps]
			for _, e := range part {
				s.names.drain(e, true)
			}
			s.after(t.Lag, func() {
				for range part {
					s.build().started = s.now
				}
				s.names.change()
			})
			s.after(max(2*t.Lag, drainTime), func() {
				for _, e := range part {
					e.die(math.Inf(1))
				}
			})
		})
	}
}

// factor is what the troubles make of a figure now.
func (s *sim) factor(kind string) float64 {
	out, t := 1.0, s.now-epoch
	for _, one := range s.day.Troubles {
		if t < one.At || one.For > 0 && t > one.At+one.For {
			continue
		}
		switch {
		case one.Kind == kind:
			out *= one.Times
		case one.Kind == "wave" && kind == "rate":
			if one.Times > 0 {
				out *= one.Times
			}
			out *= 1 + one.Swing*math.Sin(2*math.Pi*(t-one.At)/one.Period)
		}
	}
	return out
}

// now's trouble of a kind, or none.
func (s *sim) active(kind string) *Trouble {
	t := s.now - epoch
	for i := range s.day.Troubles {
		if one := &s.day.Troubles[i]; one.Kind == kind && t >= one.At && (one.For == 0 || t <= one.At+one.For) {
			return one
		}
	}
	return nil
}

// some draws a share of what there is, at least one.
func some[T any](r *rand.Rand, all []T, share float64) (out []T) {
	n := min(max(int(math.Round(share*float64(len(all)))), 1), len(all))
	for _, i := range r.Perm(len(all))[:n] {
		out = append(out, all[i])
	}
	return out
}

// trouble sets up what happens once; rates, lists and data sets ask as they go.
func (s *sim) trouble(t Trouble) {
	long := t.For
	if long == 0 {
		long = math.Inf(1)
	}
	s.at(epoch+t.At, func() {
		s.log("trouble %s", t.Kind)
		switch t.Kind {
		case "lost", "cold":
			for _, e := range some(s.bodies, s.engines, t.Share) {
				if t.Kind == "cold" {
					e.die(max(t.For, leastAway))
				} else {
					e.die(long)
				}
			}
		case "drain":
			for _, e := range some(s.bodies, s.engines, t.Share) {
				s.names.drain(e, true)
				if !math.IsInf(long, 1) {
					s.after(long, func() { s.names.drain(e, false) })
				}
			}
		case "failing": // answers at once, with an error
			for _, e := range some(s.bodies, s.engines, t.Share) {
				e.failing = true
				if !math.IsInf(long, 1) {
					s.after(long, func() { e.failing = false })
				}
			}
		case "slow":
			for _, e := range some(s.bodies, s.engines, max(t.Share, 1e-9)) {
				e.work()
				e.slow = t.Times
				e.rates()
				if !math.IsInf(long, 1) {
					s.after(long, func() {
						e.work()
						e.slow = 1
						e.rates()
					})
				}
			}
		case "replace":
			s.replace(t)
		case "restart":
			for _, n := range some(s.bodies, s.routers, t.Share) {
				n.crash()
				s.after(1, n.start)
			}
		}
	})
}

// node is a router.
type node struct {
	sim     *sim
	index   int
	life    int
	router  *router.Router
	pool    *buffers.Pool
	up      bool
	armed   bool
	timer   int
	clients uint64 // connections that clients have opened
	client  uint64 // number of the connection on which clients come; 0: none
	stream  uint32
	open    map[uint32]*batch // that the router has taken
	conns   map[uint64]*conn
	status  router.Status
	out     float64 // when its last message to its clients came there; they keep their order
	in      float64
}

// protocol of the emulated clients and engines: nothing is written, so there is nothing to parse.
var (
	clientProtocol = &traffic.ClientProtocol{Name: "emulated", IdleTimeout: 1e9, MaxOpenBatches: 1 << 30,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return parts, nil }}
	engineProtocol = &traffic.EngineProtocol{Name: "emulated", BoundedResult: true}
)

func (n *node) start() {
	s := n.sim
	n.life++
	n.up, n.open, n.conns, n.armed, n.stream, n.client = true, map[uint32]*batch{}, map[uint64]*conn{}, false, 0, 0
	n.pool = &buffers.Pool{MaxFree: 16}
	c := config.Config{Name: fmt.Sprintf("n%d", n.index+1), Seed: s.options.Seed<<16 ^ uint64(n.index)<<8 ^ uint64(n.life),
		Descriptors: 1 << 14, KnownEngines: s.names.list(s.now - s.world.ListDelay), Settings: s.told(n.index)}
	n.router = router.New(c, func(directory.Engine) *traffic.EngineProtocol { return engineProtocol }, n.pool, s.now)
	s.check.restarted(n)
	s.check.listed(n, c.KnownEngines)
	if s.options.Talk || s.options.Load > 0 || s.options.Shares != nil {
		n.tell(s.talkSet(n))
	}
	if s.options.Levels != nil {
		n.tell(router.LevelsSet{Levels: *s.options.Levels, DecayTime: s.options.Over})
	}
	if o := &s.options; o.Routes != nil || o.Adaptive.Kind != "" || o.All != nil || o.Engine != nil {
		routes := limits.NewTable(nil)
		if s.options.Routes != nil {
			routes = s.options.Routes()
		}
		n.tell(router.RoutesSet{Routes: routes, Adaptive: s.options.Adaptive, RetryBudget: s.options.All, EngineRetryBudget: s.options.Engine})
	}
}

// told is what a router is told of its world.
func (s *sim) told(index int) settings.Settings {
	w := s.world
	if s.options.loosen != nil {
		s.options.loosen(&w)
	}
	return w.settings(index)
}

// crash ends a router as a kill does: all that it held is lost with it, and its clients see their connection end.
func (n *node) crash() {
	n.up = false
	n.life++
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *conn) int { return int(a.serial) - int(b.serial) })
	for _, c := range conns {
		c.drop()
	}
	streams := make([]uint32, 0, len(n.open))
	for stream := range n.open {
		streams = append(streams, stream)
	}
	slices.Sort(streams)
	for _, stream := range streams {
		n.sim.lostWith(n.open[stream])
	}
}

// tell brings an event, does what comes of it, and sees to the end of the turn.
func (n *node) tell(e router.Event) {
	if n.sim.options.TamperIn != nil {
		e = n.sim.options.TamperIn(n.index, e)
	}
	_, last := e.(router.TurnEnded)
	for _, what := range n.router.Reduce(n.sim.now, e) {
		if n.sim.options.Tamper == nil {
			n.do(what)
			continue
		}
		for _, other := range n.sim.options.Tamper(n.index, what) {
			n.do(other)
		}
	}
	if !last && !n.armed {
		n.armed = true
		life := n.life
		n.sim.after(0, func() {
			if n.life == life {
				n.armed = false
				n.tell(router.TurnEnded{})
			}
		})
	}
}

// later does something for this life of the router after a way.
func (n *node) later(wait float64, do func()) {
	life := n.life
	n.sim.after(wait, func() {
		if n.life == life {
			do()
		}
	})
}

func (n *node) do(what router.Effect) {
	s := n.sim
	switch w := what.(type) {
	case router.SendToClient:
		a, is := w.Message.(*traffic.Answer)
		if !is {
			return
		}
		rows.Release(a.Rows)
		b := n.open[a.Stream]
		s.check.told(n, a.Stream, b)
		if b == nil {
			return
		}
		delete(n.open, a.Stream)
		n.out = max(n.out+1e-9, s.now+s.way())
		code, wait := a.Code, a.RetryAfter
		s.at(n.out, func() { s.answered(b, code, wait) })
	case router.CloseClient: // one that has long been idle; the next batch comes on another
		if w.Client == n.client {
			n.client = 0
		}
	case router.Dial:
		n.dial(w)
	case router.SendToEngine:
		if c := n.conns[w.Connection]; c != nil {
			c.order(w.Order)
		}
	case router.CloseEngine:
		if c := n.conns[w.Connection]; c != nil {
			c.drop()
		}
	case router.QueryList:
		n.later(2*s.way(), func() {
			list := s.names.list(s.now - s.world.ListDelay*s.factor("list"))
			s.check.listed(n, list)
			n.tell(router.ListAnswered{QueryID: w.QueryID, List: list})
		})
	case router.SetTimer:
		n.timer++
		number, life := n.timer, n.life
		s.at(w.At, func() {
			if n.timer == number && n.life == life {
				n.tell(router.TimerFired{})
			}
		})
	case router.Release:
		w.Chain.Release()
	case router.SendToPeer:
		n.talk(w)
	case router.ReportStatus:
		n.status = w.Status
	case router.Log:
		if w.Text == "level of service" {
			s.result.turned(s, n, w)
		}
	}
}

// conn is a connection between a router and an engine.
type conn struct {
	node   *node
	engine *engine
	number uint64 // the router's
	serial uint64
	life   int // of the engine
	there  float64
	back   float64
	closed bool
}

func (n *node) dial(d router.Dial) {
	s := n.sim
	n.later(2*s.way(), func() {
		for _, e := range s.engines {
			if e.address != d.Address {
				continue
			}
			if !e.up {
				break
			}
			if !n.router.WantsConnection(d.Connection) {
				return
			}
			s.connNo++
			c := &conn{node: n, engine: e, number: d.Connection, serial: s.connNo, life: e.life}
			n.conns[d.Connection], e.conns[c.serial] = c, c
			n.tell(router.EngineOpened{Connection: d.Connection})
			return
		}
		n.tell(router.EngineEnded{Connection: d.Connection, End: router.DialRefused})
	})
}

// order brings what a router asks to its engine.
func (c *conn) order(what traffic.EngineCommand) {
	s := c.node.sim
	var b *batch
	if d, is := what.(*traffic.Dispatch); is {
		if b = s.batches[d.ID]; b == nil {
			return
		}
		s.check.sent(c.node, c.engine, b)
		s.result.at(s.now).Dispatches++
		if b.out++; b.out > 1 {
			s.result.Copies++
		}
	}
	c.there = max(c.there+1e-9, s.now+s.way())
	s.at(c.there, func() {
		e := c.engine
		if !e.up || e.life != c.life {
			return
		}
		switch o := what.(type) {
		case *traffic.Dispatch:
			e.dispatch(c, o, b)
		case traffic.CancelDispatch:
			e.giveUp(c, o.ID)
		case traffic.FetchPage: // results have one page, and that was told
			c.reply(&traffic.EngineReply{ID: o.ID, Kind: traffic.ReplyFailed, Pages: -1, Page: -1, Work: -1, Memory: -1})
		case traffic.Probe:
			s.after(0.0005, func() {
				if e.up && e.life == c.life {
					c.reply(&traffic.EngineReply{ID: o.Tag, Kind: traffic.ReplyHealthy, Pages: -1, Page: -1, Work: -1, Memory: -1, Load: e.report()})
				}
			})
		}
	})
}

// reply brings what an engine says to its router.
func (c *conn) reply(r *traffic.EngineReply) {
	s, n := c.node.sim, c.node
	life := n.life
	c.back = max(c.back+1e-9, s.now+s.way())
	s.at(c.back, func() {
		if n.life == life && !c.closed && n.conns[c.number] == c {
			n.tell(router.EngineReplied{Connection: c.number, Reply: r})
		}
	})
}

// drop is the router's end of it.
func (c *conn) drop() {
	c.closed = true
	delete(c.node.conns, c.number)
	delete(c.engine.conns, c.serial)
}

// reset is the engine's end of it.
func (c *conn) reset() {
	n := c.node
	n.later(n.sim.way(), func() {
		if !c.closed && n.conns[c.number] == c {
			c.drop()
			n.tell(router.EngineEnded{Connection: c.number, End: router.ResetByPeer})
		}
	})
}

// names is the name service: routers are told what stood some time ago.
type names struct {
	sim     *sim
	history []version
	drained map[*engine]bool
}

type version struct {
	at   float64
	list directory.List
}

func (n *names) drain(e *engine, drains bool) {
	if n.drained == nil {
		n.drained = map[*engine]bool{}
	}
	n.drained[e] = drains
	n.change()
}

func (n *names) change() {
	list := directory.List{Serial: uint32(len(n.history) + 1)}
	for _, e := range n.sim.engines {
		if e.up {
			list.Engines = append(list.Engines, directory.Engine{ID: e.name, Zone: "hall", Kind: []string{"a", "b"}[e.kind],
				Address: e.address, Draining: n.drained[e], Weight: 1, StartedAt: e.started})
		}
	}
	n.history = append(n.history, version{n.sim.now, list})
}

func (n *names) list(at float64) directory.List {
	for i := len(n.history) - 1; i > 0; i-- {
		if n.history[i].at <= at {
			return n.history[i].list
		}
	}
	return n.history[0].list
}

// request is what a client wants; its utility counts once, however often it asks.
type request struct {
	group *Group
	asked float64
	done  bool
}

// batch is one try of a client.
type batch struct {
	*request
	id, key, mark string
	node          *node
	client        uint64 // number of the connection that it came on
	stream        uint32
	work, need    float64
	told          float64 // of its work
	data          int
	tries         int
	limitAt       float64
	answers       int
	out           int // dispatches that have been sent and have not ended
	over          bool
}

// arrive brings the next client.
func (s *sim) arrive() {
	if s.now >= epoch+s.day.Seconds {
		return
	}
	s.gap = distuv.Exponential{Rate: s.world.Rate * s.factor("rate"), Src: s.arrivals}
	s.after(s.gap.Rand(), s.arrive)
	g := int(s.group.Rand())
	if t := s.active("heavy"); t != nil && s.bodies.Float64() < t.Share { // they turn into the group with most work
		for i := range s.world.Groups {
			if s.world.Groups[i].Work > s.world.Groups[g].Work {
				g = i
			}
		}
	}
	group := &s.world.Groups[g]
	lognormal := func(mean, spread float64) float64 {
		return distuv.LogNormal{Mu: math.Log(mean) - spread*spread/2, Sigma: spread, Src: s.bodies}.Rand()
	}
	b := &batch{request: &request{group: group, asked: s.now}, work: lognormal(group.Work, group.Spread), data: int(s.data.Rand())}
	if group.Need > 0 {
		b.need = lognormal(group.Need, 0.5)
	}
	if t := s.active("hot"); t != nil && s.bodies.Float64() < t.Share {
		b.data = s.world.DataSets - 1
	}
	if group.InOrder {
		b.key = strconv.Itoa(s.bodies.IntN(s.world.Keys))
	}
	if group.Effect == "referenced" {
		b.mark = fmt.Sprintf("%032x", s.bodies.Uint64())
	}
	s.result.asked(s, b)
	s.asked = append(s.asked, b.request)
	s.ask(b)
}

// ask sends a try to a router.
func (s *sim) ask(b *batch) {
	var up []*node
	for _, n := range s.routers {
		if n.up {
			up = append(up, n)
		}
	}
	left := b.group.Limit - (s.now - b.asked)
	if len(up) == 0 || left < 0.05 {
		return
	}
	s.count++
	b.id, b.tries, b.limitAt = fmt.Sprintf("%016x", s.count), b.tries+1, s.now+left
	b.node = up[s.bodies.IntN(len(up))]
	n, life := b.node, b.node.life
	b.told = b.work * math.Exp(s.world.Guess*s.bodies.NormFloat64())
	s.batches[b.id] = b
	n.in = max(n.in+1e-9, s.now+s.way())
	s.at(n.in, func() {
		if n.life != life {
			s.lostWith(b)
			return
		}
		if n.client == 0 {
			n.clients++
			n.client = n.clients
			n.tell(router.ClientOpened{Client: n.client, Protocol: clientProtocol})
		}
		n.stream++
		b.stream, b.client = n.stream, n.client
		n.open[b.stream] = b
		s.check.took(n, b)
		ask := &traffic.BatchRequest{Stream: b.stream, Batch: traffic.Batch{ID: b.id, Group: b.group.Name, IdempotencyKey: b.mark, TimeLeft: left, Cost: b.told,
			Memory: b.need * math.Exp(0.3*s.bodies.NormFloat64())}}
		if b.key != "" {
			ask.Batch.OrderKey = uint64(len(b.key))<<32 | uint64(atoi(b.key)+1)
		}
		ask.Batch.Text = n.pool.Chain()
		ask.Batch.Text.WriteString("SELECT 1 FROM d_" + strconv.Itoa(b.data) + ".t")
		n.tell(router.ClientMessage{Client: n.client, Message: ask})
	})
	s.at(b.limitAt, func() {
		if !b.over && b.node == n && n.life == life {
			s.check.gone(b)
			s.finish(b)
			n.tell(router.ClientMessage{Client: b.client, Message: traffic.Cancel{Stream: b.stream}})
			delete(n.open, b.stream)
		}
	})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// lostWith: the router of a try is gone; its client asks another.
func (s *sim) lostWith(b *batch) {
	if b.over {
		return
	}
	s.finish(b)
	s.again(b, 0.1)
}

func (s *sim) finish(b *batch) {
	b.over = true
	s.log("over %s", b.id)
	delete(s.batches, b.id)
}

// again lets a client ask once more, as the same request.
func (s *sim) again(b *batch, wait float64) {
	if b.tries > s.world.Retries {
		return
	}
	next := &batch{request: b.request, key: b.key, mark: b.mark, work: b.work, need: b.need, data: b.data, tries: b.tries}
	s.after(wait, func() { s.ask(next) })
}

// answered is a final answer at its client.
func (s *sim) answered(b *batch, code traffic.Code, wait float64) {
	s.check.answered(b)
	if b.over {
		return
	}
	s.log("answer %s %s", b.id, code)
	s.finish(b)
	s.result.ended(s, b, code)
	if code == traffic.Rejected {
		s.again(b, max(wait, 0.05)*(0.75+0.5*s.bodies.Float64()))
	}
}
