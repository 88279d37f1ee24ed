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

// event is something that is due.
type event struct {
	at     float64
	seq    uint64
	action func()
}

type eventQueue []event

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push is the heap's.
func (m *eventQueue) Push(x any) { *m = append(*m, x.(event)) }

// Pop is the heap's.
func (m *eventQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*m = old[:len(old)-1]
	return last
}

// Options say how a day is played.
type Options struct {
	Seed          uint64
	Levels        *levels.Settings     // nil: off
	SmoothingTime float64              // seconds over which measures fade
	NewRoutes     func() *limits.Table // makes the limits of a router, which keeps what it spends in them; nil: none
	// Adaptive limits what is out at each engine; the zero value does not.
	Adaptive           limits.AdaptiveSettings
	AllRetries         *limits.RetryBudget // of further dispatches of all batches, and
	EngineRetries      *limits.RetryBudget // to each engine; nil: none
	LoadReportInterval float64             // routers tell each other what is out, so often; 0: they don't
	PeerMessaging      bool                // routers talk to each other,
	Quotas             *shares.Settings    // and divide what cold engines bear by that; nil: not
	Log                io.Writer           // lines of what happens; nil: none
	// Tamper changes what a router asks for, for the checker's own tests.
	TamperAction func(node int, e router.Effect) []router.Effect
	// TamperIn changes what a router is told, likewise.
	TamperEvent      func(node int, e router.Event) router.Event
	relaxRouterRules func(*World) // what routers are told of the rules is another than what they are held to
}

// minRestartTime is how long an engine that starts again is away at least, in seconds: a process takes so long to come up.
const minRestartTime = 4

// minDrainTime is how long an engine that drains is kept at least, in seconds.
const minDrainTime = 4

// epoch is when days begin: routers take times for Unix ones.
const epoch = 1e6

type sim struct {
	world   World
	day     Day
	options Options
	now     float64
	queue   eventQueue
	seq     uint64

	arrivalDraws, batchDraws, latencyDraws *rand.Rand
	interarrivalTime                       distuv.Exponential
	groupDraw                              distuv.Categorical
	dataSetDraw                            distuv.Categorical

	routers          []*node
	routersByAddress map[string]*node // by the address at which they talk
	engines          []*engine
	nameService      *nameService
	checker          *checker
	result           *Result
	requests         []*request        // all of the day
	batches          map[string]*batch // by id; answered deletes
	batchCount       int
	lastConnection   uint64
	digest           interface {
		io.Writer
		Sum64() uint64
	}
}

// schedule puts something on the list; what is due at one time is done in the order in which it was put there.
func (s *sim) schedule(t float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(t, s.now), s.seq, do})
}

func (s *sim) scheduleAfter(wait float64, do func()) { s.schedule(s.now+wait, do) }

// latency draws the time of one message.
func (s *sim) latency() float64 {
	return s.world.NetworkLatency * (1 + s.world.Jitter*(2*s.latencyDraws.Float64()-1))
}

// log notes what happens: the digest of all lines is the day's.
func (s *sim) log(format string, args ...any) {
	fmt.Fprintf(s.digest, "%.6f ", s.now-epoch)
	fmt.Fprintf(s.digest, format, args...)
	if s.options.Log != nil {
		fmt.Fprintf(s.options.Log, "%.6f ", s.now-epoch)
		fmt.Fprintf(s.options.Log, format+"\n", args...)
	}
}

// Play plays a day.
func Play(w World, d Day, o Options) (*Result, error) {
	if err := w.Prepare(); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, n)) }
	s := &sim{world: w, day: d, options: o, now: epoch, arrivalDraws: stream(1), batchDraws: stream(2), latencyDraws: stream(3),
		batches: map[string]*batch{}, routersByAddress: map[string]*node{}, digest: fnv.New64a()}
	s.result = newResult(w, d, o)
	s.checker = newChecker(s)
	s.nameService = &nameService{sim: s}
	shares := make([]float64, len(w.Groups))
	for i, g := range w.Groups {
		shares[i] = g.Share
	}
	data := make([]float64, w.DataSets)
	for i := range data {
		data[i] = math.Pow(float64(i+1), -w.DataSetSkew)
	}
	source := rand.NewPCG(o.Seed, 4)
	s.groupDraw, s.dataSetDraw = distuv.NewCategorical(shares, source), distuv.NewCategorical(data, source)
	for range w.Engines {
		s.addEngine()
	}
	for i, e := range s.engines { // warm at the start, as after days of service
		for k := range w.Engine.WarmDataSets {
			e.warmDataSets = append(e.warmDataSets, (i+k*w.Engines)%w.DataSets)
		}
	}
	s.nameService.publish()
	s.nameService.history[0].at = s.now - 60
	for i := range w.Routers {
		n := &node{sim: s, index: i}
		s.routers, s.routersByAddress[peerAddress(i)] = append(s.routers, n), n
		n.start()
	}
	for _, t := range d.Faults {
		s.scheduleFault(t)
	}
	end := s.now + d.Seconds
	s.scheduleAfter(0.5, s.arrive)
	for t := 1.0; t <= d.Seconds; t++ {
		s.schedule(epoch+t, s.result.recordSecond(s))
	}
	last := 0.0
	for _, g := range w.Groups {
		last = max(last, g.Limit)
	}
	for len(s.queue) > 0 && s.queue[0].at <= end+last+1 {
		m := heap.Pop(&s.queue).(event)
		s.now = m.at
		m.action()
	}
	s.checker.finish()
	s.result.finish(s)
	return s.result, nil
}

// addEngine adds an engine, of a name and an address that no other has had.
func (s *sim) addEngine() *engine {
	i := len(s.engines)
	e := &engine{sim: s, name: fmt.Sprintf("e-%d", i+1), address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
		kind: i % 2, up: true, faultSpeed: 1, advancedTo: s.now, conns: map[uint64]*conn{}}
	s.engines = append(s.engines, e)
	return e
}

// replaceEngines is a release: in steps, engines drain, others that are new and cold take their place some time later, and the
// drained ones end when they have had time to finish.
func (s *sim) replaceEngines(t Fault) {
	steps := max(t.Steps, 1)
	old := sample(s.batchDraws, s.engines, t.Share)
	for step := range steps {
		s.scheduleAfter(t.Duration*float64(step)/float64(steps), func() {
			part := old[len(old)*step/steps : len(old)*(step+1)/steps]
			for _, e := range part {
				s.nameService.setDraining(e, true)
			}
			s.scheduleAfter(t.StartDelay, func() {
				for range part {
					s.addEngine().startedAt = s.now
				}
				s.nameService.publish()
			})
			s.scheduleAfter(max(2*t.StartDelay, minDrainTime), func() {
				for _, e := range part {
					e.crash(math.Inf(1))
				}
			})
		})
	}
}

// faultFactor is what the troubles make of a figure now.
func (s *sim) faultFactor(kind string) float64 {
	out, t := 1.0, s.now-epoch
	for _, one := range s.day.Faults {
		if t < one.At || one.Duration > 0 && t > one.At+one.Duration {
			continue
		}
		switch {
		case one.Kind == kind:
			out *= one.Factor
		case one.Kind == "wave" && kind == "rate":
			if one.Factor > 0 {
				out *= one.Factor
			}
			out *= 1 + one.Amplitude*math.Sin(2*math.Pi*(t-one.At)/one.Period)
		}
	}
	return out
}

// now's trouble of a kind, or none.
func (s *sim) activeFault(kind string) *Fault {
	t := s.now - epoch
	for i := range s.day.Faults {
		if one := &s.day.Faults[i]; one.Kind == kind && t >= one.At && (one.Duration == 0 || t <= one.At+one.Duration) {
			return one
		}
	}
	return nil
}

// sample draws a share of what there is, at least one.
func sample[T any](r *rand.Rand, all []T, share float64) (out []T) {
	n := min(max(int(math.Round(share*float64(len(all)))), 1), len(all))
	for _, i := range r.Perm(len(all))[:n] {
		out = append(out, all[i])
	}
	return out
}

// scheduleFault sets up what happens once; rates, lists and data sets ask as they go.
func (s *sim) scheduleFault(t Fault) {
	long := t.Duration
	if long == 0 {
		long = math.Inf(1)
	}
	s.schedule(epoch+t.At, func() {
		s.log("trouble %s", t.Kind)
		switch t.Kind {
		case "lost", "cold":
			for _, e := range sample(s.batchDraws, s.engines, t.Share) {
				if t.Kind == "cold" {
					e.crash(max(t.Duration, minRestartTime))
				} else {
					e.crash(long)
				}
			}
		case "drain":
			for _, e := range sample(s.batchDraws, s.engines, t.Share) {
				s.nameService.setDraining(e, true)
				if !math.IsInf(long, 1) {
					s.scheduleAfter(long, func() { s.nameService.setDraining(e, false) })
				}
			}
		case "failing": // answers at once, with an error
			for _, e := range sample(s.batchDraws, s.engines, t.Share) {
				e.failing = true
				if !math.IsInf(long, 1) {
					s.scheduleAfter(long, func() { e.failing = false })
				}
			}
		case "slow":
			for _, e := range sample(s.batchDraws, s.engines, max(t.Share, 1e-9)) {
				e.advance()
				e.faultSpeed = t.Factor
				e.updateRates()
				if !math.IsInf(long, 1) {
					s.scheduleAfter(long, func() {
						e.advance()
						e.faultSpeed = 1
						e.updateRates()
					})
				}
			}
		case "replace":
			s.replaceEngines(t)
		case "restart":
			for _, n := range sample(s.batchDraws, s.routers, t.Share) {
				n.crash()
				s.scheduleAfter(1, n.start)
			}
		}
	})
}

// node is a router.
type node struct {
	sim              *sim
	index            int
	generation       int
	router           *router.Router
	pool             *buffers.Pool
	up               bool
	turnEndScheduled bool
	timerNumber      int
	clientCount      uint64 // connections that clients have opened
	currentClient    uint64 // number of the connection on which clients come; 0: none
	stream           uint32
	openBatches      map[uint32]*batch // that the router has taken
	conns            map[uint64]*conn
	status           router.Status
	lastToClients    float64 // when its last message to its clients came there; they keep their order
	lastFromClients  float64
}

// protocol of the emulated clients and engines: nothing is written, so there is nothing to parse.
var (
	clientProtocol = &traffic.ClientProtocol{Name: "emulated", IdleTimeout: 1e9, MaxOpenBatches: 1 << 30,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return parts, nil }}
	engineProtocol = &traffic.EngineProtocol{Name: "emulated", BoundedResult: true}
)

func (n *node) start() {
	s := n.sim
	n.generation++
	n.up, n.openBatches, n.conns, n.turnEndScheduled, n.stream, n.currentClient = true, map[uint32]*batch{}, map[uint64]*conn{}, false, 0, 0
	n.pool = &buffers.Pool{MaxFree: 16}
	c := config.Config{Name: fmt.Sprintf("n%d", n.index+1), Seed: s.options.Seed<<16 ^ uint64(n.index)<<8 ^ uint64(n.generation),
		Descriptors: 1 << 14, KnownEngines: s.nameService.listAt(s.now - s.world.ListDelay), Settings: s.routerSettings(n.index)}
	n.router = router.New(c, func(directory.Engine) *traffic.EngineProtocol { return engineProtocol }, n.pool, s.now)
	s.checker.routerRestarted(n)
	s.checker.listReceived(n, c.KnownEngines)
	if s.options.PeerMessaging || s.options.LoadReportInterval > 0 || s.options.Quotas != nil {
		n.deliver(s.peerSettings(n))
	}
	if s.options.Levels != nil {
		n.deliver(router.LevelsSet{Levels: *s.options.Levels, DecayTime: s.options.SmoothingTime})
	}
	if o := &s.options; o.NewRoutes != nil || o.Adaptive.Kind != "" || o.AllRetries != nil || o.EngineRetries != nil {
		routes := limits.NewTable(nil)
		if s.options.NewRoutes != nil {
			routes = s.options.NewRoutes()
		}
		n.deliver(router.RoutesSet{Routes: routes, Adaptive: s.options.Adaptive, RetryBudget: s.options.AllRetries, EngineRetryBudget: s.options.EngineRetries})
	}
}

// routerSettings is what a router is told of its world.
func (s *sim) routerSettings(index int) settings.Settings {
	w := s.world
	if s.options.relaxRouterRules != nil {
		s.options.relaxRouterRules(&w)
	}
	return w.routerSettings(index)
}

// crash ends a router as a kill does: all that it held is lost with it, and its clients see their connection end.
func (n *node) crash() {
	n.up = false
	n.generation++
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *conn) int { return int(a.serial) - int(b.serial) })
	for _, c := range conns {
		c.drop()
	}
	streams := make([]uint32, 0, len(n.openBatches))
	for stream := range n.openBatches {
		streams = append(streams, stream)
	}
	slices.Sort(streams)
	for _, stream := range streams {
		n.sim.routerLost(n.openBatches[stream])
	}
}

// deliver brings an event, does what comes of it, and sees to the end of the turn.
func (n *node) deliver(e router.Event) {
	if n.sim.options.TamperEvent != nil {
		e = n.sim.options.TamperEvent(n.index, e)
	}
	_, last := e.(router.TurnEnded)
	for _, what := range n.router.Reduce(n.sim.now, e) {
		if n.sim.options.TamperAction == nil {
			n.execute(what)
			continue
		}
		for _, other := range n.sim.options.TamperAction(n.index, what) {
			n.execute(other)
		}
	}
	if !last && !n.turnEndScheduled {
		n.turnEndScheduled = true
		life := n.generation
		n.sim.scheduleAfter(0, func() {
			if n.generation == life {
				n.turnEndScheduled = false
				n.deliver(router.TurnEnded{})
			}
		})
	}
}

// scheduleAfter does something for this life of the router after a way.
func (n *node) scheduleAfter(wait float64, do func()) {
	life := n.generation
	n.sim.scheduleAfter(wait, func() {
		if n.generation == life {
			do()
		}
	})
}

func (n *node) execute(what router.Effect) {
	s := n.sim
	switch w := what.(type) {
	case router.SendToClient:
		a, is := w.Message.(*traffic.Answer)
		if !is {
			return
		}
		rows.Release(a.Rows)
		b := n.openBatches[a.Stream]
		s.checker.answerSent(n, a.Stream, b)
		if b == nil {
			return
		}
		delete(n.openBatches, a.Stream)
		n.lastToClients = max(n.lastToClients+1e-9, s.now+s.latency())
		code, wait := a.Code, a.RetryAfter
		s.schedule(n.lastToClients, func() { s.deliverAnswer(b, code, wait) })
	case router.CloseClient: // one that has long been idle; the next batch comes on another
		if w.Client == n.currentClient {
			n.currentClient = 0
		}
	case router.Dial:
		n.dial(w)
	case router.SendToEngine:
		if c := n.conns[w.Connection]; c != nil {
			c.send(w.Order)
		}
	case router.CloseEngine:
		if c := n.conns[w.Connection]; c != nil {
			c.drop()
		}
	case router.QueryList:
		n.scheduleAfter(2*s.latency(), func() {
			list := s.nameService.listAt(s.now - s.world.ListDelay*s.faultFactor("list"))
			s.checker.listReceived(n, list)
			n.deliver(router.ListAnswered{QueryID: w.QueryID, List: list})
		})
	case router.SetTimer:
		n.timerNumber++
		number, life := n.timerNumber, n.generation
		s.schedule(w.At, func() {
			if n.timerNumber == number && n.generation == life {
				n.deliver(router.TimerFired{})
			}
		})
	case router.Release:
		w.Chain.Release()
	case router.SendToPeer:
		n.sendPeerMessage(w)
	case router.ReportStatus:
		n.status = w.Status
	case router.Log:
		if w.Text == "level of service" {
			s.result.recordLevel(s, n, w)
		}
	}
}

// conn is a connection between a router and an engine.
type conn struct {
	node             *node
	engine           *engine
	number           uint64 // the router's
	serial           uint64
	engineGeneration int // of the engine
	lastToEngine     float64
	lastToRouter     float64
	closed           bool
}

func (n *node) dial(d router.Dial) {
	s := n.sim
	n.scheduleAfter(2*s.latency(), func() {
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
			s.lastConnection++
			c := &conn{node: n, engine: e, number: d.Connection, serial: s.lastConnection, engineGeneration: e.generation}
			n.conns[d.Connection], e.conns[c.serial] = c, c
			n.deliver(router.EngineOpened{Connection: d.Connection})
			return
		}
		n.deliver(router.EngineEnded{Connection: d.Connection, End: router.DialRefused})
	})
}

// send brings what a router asks to its engine.
func (c *conn) send(what traffic.EngineCommand) {
	s := c.node.sim
	var b *batch
	if d, is := what.(*traffic.Dispatch); is {
		if b = s.batches[d.ID]; b == nil {
			return
		}
		s.checker.dispatchSent(c.node, c.engine, b)
		s.result.secondAt(s.now).Dispatches++
		if b.activeDispatches++; b.activeDispatches > 1 {
			s.result.ConcurrentDispatches++
		}
	}
	c.lastToEngine = max(c.lastToEngine+1e-9, s.now+s.latency())
	s.schedule(c.lastToEngine, func() {
		e := c.engine
		if !e.up || e.generation != c.engineGeneration {
			return
		}
		switch o := what.(type) {
		case *traffic.Dispatch:
			e.start(c, o, b)
		case traffic.CancelDispatch:
			e.cancel(c, o.ID)
		case traffic.FetchPage: // results have one page, and that was told
			c.reply(&traffic.EngineReply{ID: o.ID, Kind: traffic.ReplyFailed, Pages: -1, Page: -1, Work: -1, Memory: -1})
		case traffic.Probe:
			s.scheduleAfter(0.0005, func() {
				if e.up && e.generation == c.engineGeneration {
					c.reply(&traffic.EngineReply{ID: o.Tag, Kind: traffic.ReplyHealthy, Pages: -1, Page: -1, Work: -1, Memory: -1, Load: e.loadReport()})
				}
			})
		}
	})
}

// reply brings what an engine says to its router.
func (c *conn) reply(r *traffic.EngineReply) {
	s, n := c.node.sim, c.node
	life := n.generation
	c.lastToRouter = max(c.lastToRouter+1e-9, s.now+s.latency())
	s.schedule(c.lastToRouter, func() {
		if n.generation == life && !c.closed && n.conns[c.number] == c {
			n.deliver(router.EngineReplied{Connection: c.number, Reply: r})
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
	n.scheduleAfter(n.sim.latency(), func() {
		if !c.closed && n.conns[c.number] == c {
			c.drop()
			n.deliver(router.EngineEnded{Connection: c.number, End: router.ResetByPeer})
		}
	})
}

// nameService is the name service: routers are told what stood some time ago.
type nameService struct {
	sim      *sim
	history  []version
	draining map[*engine]bool
}

type version struct {
	at   float64
	list directory.List
}

func (n *nameService) setDraining(e *engine, drains bool) {
	if n.draining == nil {
		n.draining = map[*engine]bool{}
	}
	n.draining[e] = drains
	n.publish()
}

func (n *nameService) publish() {
	list := directory.List{Serial: uint32(len(n.history) + 1)}
	for _, e := range n.sim.engines {
		if e.up {
			list.Engines = append(list.Engines, directory.Engine{ID: e.name, Zone: "hall", Kind: []string{"a", "b"}[e.kind],
				Address: e.address, Draining: n.draining[e], Weight: 1, StartedAt: e.startedAt})
		}
	}
	n.history = append(n.history, version{n.sim.now, list})
}

func (n *nameService) listAt(at float64) directory.List {
	for i := len(n.history) - 1; i > 0; i-- {
		if n.history[i].at <= at {
			return n.history[i].list
		}
	}
	return n.history[0].list
}

// request is what a client wants; its utility counts once, however often it asks.
type request struct {
	group     *Group
	arrivedAt float64
	served    bool
}

// batch is one try of a client.
type batch struct {
	*request
	id, key, dedupID string
	node             *node
	client           uint64 // number of the connection that it came on
	stream           uint32
	work, memory     float64
	estimatedWork    float64 // of its work
	dataSet          int
	submissions      int
	deadline         float64
	answers          int
	activeDispatches int // dispatches that have been sent and have not ended
	closed           bool
}

// arrive brings the next client.
func (s *sim) arrive() {
	if s.now >= epoch+s.day.Seconds {
		return
	}
	s.interarrivalTime = distuv.Exponential{Rate: s.world.Rate * s.faultFactor("rate"), Src: s.arrivalDraws}
	s.scheduleAfter(s.interarrivalTime.Rand(), s.arrive)
	g := int(s.groupDraw.Rand())
	if t := s.activeFault("heavy"); t != nil && s.batchDraws.Float64() < t.Share { // they turn into the group with most work
		for i := range s.world.Groups {
			if s.world.Groups[i].MeanWork > s.world.Groups[g].MeanWork {
				g = i
			}
		}
	}
	group := &s.world.Groups[g]
	lognormal := func(mean, spread float64) float64 {
		return distuv.LogNormal{Mu: math.Log(mean) - spread*spread/2, Sigma: spread, Src: s.batchDraws}.Rand()
	}
	b := &batch{request: &request{group: group, arrivedAt: s.now}, work: lognormal(group.MeanWork, group.WorkDeviation), dataSet: int(s.dataSetDraw.Rand())}
	if group.MeanMemory > 0 {
		b.memory = lognormal(group.MeanMemory, 0.5)
	}
	if t := s.activeFault("hot"); t != nil && s.batchDraws.Float64() < t.Share {
		b.dataSet = s.world.DataSets - 1
	}
	if group.InOrder {
		b.key = strconv.Itoa(s.batchDraws.IntN(s.world.Keys))
	}
	if group.Effect == "referenced" {
		b.dedupID = fmt.Sprintf("%032x", s.batchDraws.Uint64())
	}
	s.result.recordRequest(s, b)
	s.requests = append(s.requests, b.request)
	s.submit(b)
}

// submit sends a try to a router.
func (s *sim) submit(b *batch) {
	var up []*node
	for _, n := range s.routers {
		if n.up {
			up = append(up, n)
		}
	}
	left := b.group.Limit - (s.now - b.arrivedAt)
	if len(up) == 0 || left < 0.05 {
		return
	}
	s.batchCount++
	b.id, b.submissions, b.deadline = fmt.Sprintf("%016x", s.batchCount), b.submissions+1, s.now+left
	b.node = up[s.batchDraws.IntN(len(up))]
	n, life := b.node, b.node.generation
	b.estimatedWork = b.work * math.Exp(s.world.EstimateError*s.batchDraws.NormFloat64())
	s.batches[b.id] = b
	n.lastFromClients = max(n.lastFromClients+1e-9, s.now+s.latency())
	s.schedule(n.lastFromClients, func() {
		if n.generation != life {
			s.routerLost(b)
			return
		}
		if n.currentClient == 0 {
			n.clientCount++
			n.currentClient = n.clientCount
			n.deliver(router.ClientOpened{Client: n.currentClient, Protocol: clientProtocol})
		}
		n.stream++
		b.stream, b.client = n.stream, n.currentClient
		n.openBatches[b.stream] = b
		s.checker.batchAccepted(n, b)
		ask := &traffic.BatchRequest{Stream: b.stream, Batch: traffic.Batch{ID: b.id, Group: b.group.Name, IdempotencyKey: b.dedupID, TimeLeft: left, Cost: b.estimatedWork,
			Memory: b.memory * math.Exp(0.3*s.batchDraws.NormFloat64())}}
		if b.key != "" {
			ask.Batch.OrderKey = uint64(len(b.key))<<32 | uint64(atoi(b.key)+1)
		}
		ask.Batch.Text = n.pool.Chain()
		ask.Batch.Text.WriteString("SELECT 1 FROM d_" + strconv.Itoa(b.dataSet) + ".t")
		n.deliver(router.ClientMessage{Client: n.currentClient, Message: ask})
	})
	s.schedule(b.deadline, func() {
		if !b.closed && b.node == n && n.generation == life {
			s.checker.deadlinePassed(b)
			s.closeBatch(b)
			n.deliver(router.ClientMessage{Client: b.client, Message: traffic.Cancel{Stream: b.stream}})
			delete(n.openBatches, b.stream)
		}
	})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// routerLost: the router of a try is gone; its client asks another.
func (s *sim) routerLost(b *batch) {
	if b.closed {
		return
	}
	s.closeBatch(b)
	s.retry(b, 0.1)
}

func (s *sim) closeBatch(b *batch) {
	b.closed = true
	s.log("over %s", b.id)
	delete(s.batches, b.id)
}

// retry lets a client ask once more, as the same request.
func (s *sim) retry(b *batch, wait float64) {
	if b.submissions > s.world.Retries {
		return
	}
	next := &batch{request: b.request, key: b.key, dedupID: b.dedupID, work: b.work, memory: b.memory, dataSet: b.dataSet, submissions: b.submissions}
	s.scheduleAfter(wait, func() { s.submit(next) })
}

// deliverAnswer is a final answer at its client.
func (s *sim) deliverAnswer(b *batch, code traffic.Code, wait float64) {
	s.checker.answerDelivered(b)
	if b.closed {
		return
	}
	s.log("answer %s %s", b.id, code)
	s.closeBatch(b)
	s.result.recordAnswer(s, b, code)
	if code == traffic.Rejected {
		s.retry(b, max(wait, 0.05)*(0.75+0.5*s.batchDraws.Float64()))
	}
}
