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

// event is an action scheduled for a point of simulated time.
type event struct {
	at     float64 // seconds of simulated time, counted like epoch
	seq    uint64  // orders events that are due at the same time
	action func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].seq < queue[j].seq
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(x any) { *queue = append(*queue, x.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	events := *queue
	last := events[len(events)-1]
	events[len(events)-1] = event{}
	*queue = events[:len(events)-1]
	return last
}

// Options configure how a day is simulated: the seed, the routers' settings and hooks for tests.
type Options struct {
	Seed          uint64
	Levels        *levels.Settings     // service levels; nil: off
	SmoothingTime float64              // decay time of the load measures that decide the service level, in seconds
	NewRoutes     func() *limits.Table // makes a table for each start of a router, because the router counts its use of the limits in it; nil: no routes
	// Adaptive limits the active dispatches at each engine; the zero value sets no limit.
	Adaptive           limits.AdaptiveSettings
	AllRetries         *limits.RetryBudget // retry budget for all batches together; nil: none
	EngineRetries      *limits.RetryBudget // retry budget for each engine; nil: none
	LoadReportInterval float64             // seconds between load reports of a router to the others; 0: no load reports
	PeerMessaging      bool                // routers exchange membership messages
	Quotas             *shares.Settings    // routers divide the capacity of cold engines by quota leases; nil: they don't
	Log                io.Writer           // receives a line for each logged event; nil: none
	// TamperAction replaces an action of a router, for the tests of the checker.
	TamperAction func(node int, e router.Effect) []router.Effect
	// TamperEvent replaces an event before a router receives it, for the tests of the checker.
	TamperEvent      func(node int, e router.Event) router.Event
	relaxRouterRules func(*World) // changes the rules that routers are configured with; the checker keeps the original ones
}

// minRestartTime is the shortest downtime of an engine that restarts, in seconds: the time that a process takes to start.
const minRestartTime = 4

// minDrainTime is the shortest time between the start of an engine's draining and its shutdown, in seconds.
const minDrainTime = 4

// epoch is the simulated time at which a day begins, in seconds. It is not 0 because routers take times as Unix times.
const epoch = 1e6

// sim is the state of one simulated day. It runs on one goroutine.
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
	routersByAddress map[string]*node // by the address of their peer messages
	engines          []*engine
	nameService      *nameService
	checker          *checker
	result           *Result
	requests         []*request        // every request of the day
	batches          map[string]*batch // open batches by id; closeBatch deletes them
	batchCount       int
	lastConnection   uint64
	digest           interface {
		io.Writer
		Sum64() uint64
	}
}

// schedule runs do at time t, or now if t has passed. Events that are due at the same time run in the order in which they
// were scheduled.
func (s *sim) schedule(t float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(t, s.now), s.seq, do})
}

// scheduleAfter runs do after a number of seconds.
func (s *sim) scheduleAfter(wait float64, do func()) { s.schedule(s.now+wait, do) }

// latency draws the one-way network latency of a message, in seconds.
func (s *sim) latency() float64 {
	return s.world.NetworkLatency * (1 + s.world.Jitter*(2*s.latencyDraws.Float64()-1))
}

// log adds a line to the digest of the day and writes it to Options.Log.
func (s *sim) log(format string, args ...any) {
	fmt.Fprintf(s.digest, "%.6f ", s.now-epoch)
	fmt.Fprintf(s.digest, format, args...)
	if s.options.Log != nil {
		fmt.Fprintf(s.options.Log, "%.6f ", s.now-epoch)
		fmt.Fprintf(s.options.Log, format+"\n", args...)
	}
}

// Play simulates a day of a world. It returns an error if the world or the day is invalid; violated rules are in the result.
func Play(world World, day Day, options Options) (*Result, error) {
	if err := world.Prepare(); err != nil {
		return nil, err
	}
	if err := day.Check(); err != nil {
		return nil, err
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, n)) }
	s := &sim{world: world, day: day, options: options, now: epoch, arrivalDraws: stream(1), batchDraws: stream(2), latencyDraws: stream(3),
		batches: map[string]*batch{}, routersByAddress: map[string]*node{}, digest: fnv.New64a()}
	s.result = newResult(world, day, options)
	s.checker = newChecker(s)
	s.nameService = &nameService{sim: s}
	shares := make([]float64, len(world.Groups))
	for i, g := range world.Groups {
		shares[i] = g.Share
	}
	data := make([]float64, world.DataSets)
	for i := range data {
		data[i] = math.Pow(float64(i+1), -world.DataSetSkew)
	}
	source := rand.NewPCG(options.Seed, 4)
	s.groupDraw, s.dataSetDraw = distuv.NewCategorical(shares, source), distuv.NewCategorical(data, source)
	for range world.Engines {
		s.addEngine()
	}
	for i, e := range s.engines { // engines begin with warm data sets, as after days of service
		for k := range world.Engine.WarmDataSets {
			e.warmDataSets = append(e.warmDataSets, (i+k*world.Engines)%world.DataSets)
		}
	}
	s.nameService.publish()
	s.nameService.history[0].at = s.now - 60
	for i := range world.Routers {
		n := &node{sim: s, index: i}
		s.routers, s.routersByAddress[peerAddress(i)] = append(s.routers, n), n
		n.start()
	}
	for _, t := range day.Faults {
		s.scheduleFault(t)
	}
	end := s.now + day.Seconds
	s.scheduleAfter(0.5, s.arrive)
	for t := 1.0; t <= day.Seconds; t++ {
		s.schedule(epoch+t, s.result.recordSecond(s))
	}
	longestLimit := 0.0
	for _, g := range world.Groups {
		longestLimit = max(longestLimit, g.Limit)
	}
	for len(s.queue) > 0 && s.queue[0].at <= end+longestLimit+1 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.action()
	}
	s.checker.finish()
	s.result.finish(s)
	return s.result, nil
}

// addEngine adds an engine with a name and an address that no other engine has had.
func (s *sim) addEngine() *engine {
	i := len(s.engines)
	e := &engine{sim: s, name: fmt.Sprintf("e-%d", i+1), address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
		kind: i % 2, up: true, faultSpeed: 1, advancedTo: s.now, conns: map[uint64]*conn{}}
	s.engines = append(s.engines, e)
	return e
}

// replaceEngines simulates a release. In each step a part of the engines drains, new cold engines start after the fault's
// StartDelay, and the drained engines shut down after twice that delay, at least minDrainTime, so that they can finish.
func (s *sim) replaceEngines(fault Fault) {
	steps := max(fault.Steps, 1)
	old := sample(s.batchDraws, s.engines, fault.Share)
	for step := range steps {
		s.scheduleAfter(fault.Duration*float64(step)/float64(steps), func() {
			part := old[len(old)*step/steps : len(old)*(step+1)/steps]
			for _, e := range part {
				s.nameService.setDraining(e, true)
			}
			s.scheduleAfter(fault.StartDelay, func() {
				for range part {
					s.addEngine().startedAt = s.now
				}
				s.nameService.publish()
			})
			s.scheduleAfter(max(2*fault.StartDelay, minDrainTime), func() {
				for _, e := range part {
					e.crash(math.Inf(1))
				}
			})
		})
	}
}

// faultFactor is the product of the active faults' factors for a quantity ("rate", "list"), 1 without a fault.
func (s *sim) faultFactor(kind string) float64 {
	product, t := 1.0, s.now-epoch
	for _, fault := range s.day.Faults {
		if t < fault.At || fault.Duration > 0 && t > fault.At+fault.Duration {
			continue
		}
		switch {
		case fault.Kind == kind:
			product *= fault.Factor
		case fault.Kind == "wave" && kind == "rate":
			if fault.Factor > 0 {
				product *= fault.Factor
			}
			product *= 1 + fault.Amplitude*math.Sin(2*math.Pi*(t-fault.At)/fault.Period)
		}
	}
	return product
}

// activeFault returns the first active fault of a kind, or nil.
func (s *sim) activeFault(kind string) *Fault {
	t := s.now - epoch
	for i := range s.day.Faults {
		if fault := &s.day.Faults[i]; fault.Kind == kind && t >= fault.At && (fault.Duration == 0 || t <= fault.At+fault.Duration) {
			return fault
		}
	}
	return nil
}

// sample draws a share of the elements, at least one, without replacement.
func sample[T any](r *rand.Rand, all []T, share float64) (out []T) {
	n := min(max(int(math.Round(share*float64(len(all)))), 1), len(all))
	for _, i := range r.Perm(len(all))[:n] {
		out = append(out, all[i])
	}
	return out
}

// scheduleFault schedules a fault that changes engines or routers. Faults of rates, name service lists and data sets need no
// event: the code that they affect calls faultFactor and activeFault.
func (s *sim) scheduleFault(fault Fault) {
	duration := fault.Duration
	if duration == 0 {
		duration = math.Inf(1)
	}
	s.schedule(epoch+fault.At, func() {
		s.log("trouble %s", fault.Kind)
		switch fault.Kind {
		case "lost", "cold":
			for _, e := range sample(s.batchDraws, s.engines, fault.Share) {
				if fault.Kind == "cold" {
					e.crash(max(fault.Duration, minRestartTime))
				} else {
					e.crash(duration)
				}
			}
		case "drain":
			for _, e := range sample(s.batchDraws, s.engines, fault.Share) {
				s.nameService.setDraining(e, true)
				if !math.IsInf(duration, 1) {
					s.scheduleAfter(duration, func() { s.nameService.setDraining(e, false) })
				}
			}
		case "failing": // the engines answer at once with an error
			for _, e := range sample(s.batchDraws, s.engines, fault.Share) {
				e.failing = true
				if !math.IsInf(duration, 1) {
					s.scheduleAfter(duration, func() { e.failing = false })
				}
			}
		case "slow":
			for _, e := range sample(s.batchDraws, s.engines, max(fault.Share, 1e-9)) {
				e.advance()
				e.faultSpeed = fault.Factor
				e.updateRates()
				if !math.IsInf(duration, 1) {
					s.scheduleAfter(duration, func() {
						e.advance()
						e.faultSpeed = 1
						e.updateRates()
					})
				}
			}
		case "replace":
			s.replaceEngines(fault)
		case "restart":
			for _, n := range sample(s.batchDraws, s.routers, fault.Share) {
				n.crash()
				s.scheduleAfter(1, n.start)
			}
		}
	})
}

// node is an emulated router process with its connections.
type node struct {
	sim              *sim
	index            int
	generation       int
	router           *router.Router
	pool             *buffers.Pool
	up               bool
	turnEndScheduled bool
	timerNumber      int
	clientCount      uint64 // number of connections opened by clients so far
	currentClient    uint64 // number of the connection that clients use now; 0: none
	stream           uint32
	openBatches      map[uint32]*batch // batches that the router has accepted, by stream
	conns            map[uint64]*conn
	status           router.Status
	lastToClients    float64 // arrival time of its last message to clients, which keeps messages in order
	lastFromClients  float64 // arrival time of the last message from clients
}

// Protocols of the emulated clients and engines. Messages are passed as values, so nothing is encoded or parsed.
var (
	clientProtocol = &traffic.ClientProtocol{Name: "emulated", IdleTimeout: 1e9, MaxOpenBatches: 1 << 30,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return parts, nil }}
	engineProtocol = &traffic.EngineProtocol{Name: "emulated", BoundedResult: true}
)

// start starts the router, or restarts it after a crash.
func (n *node) start() {
	s := n.sim
	n.generation++
	n.up, n.openBatches, n.conns, n.turnEndScheduled, n.stream, n.currentClient = true, map[uint32]*batch{}, map[uint64]*conn{}, false, 0, 0
	n.pool = &buffers.Pool{MaxFree: 16}
	config := config.Config{Name: fmt.Sprintf("n%d", n.index+1), Seed: s.options.Seed<<16 ^ uint64(n.index)<<8 ^ uint64(n.generation),
		Descriptors: 1 << 14, KnownEngines: s.nameService.listAt(s.now - s.world.ListDelay), Settings: s.routerSettings(n.index)}
	n.router = router.New(config, func(directory.Engine) *traffic.EngineProtocol { return engineProtocol }, n.pool, s.now)
	s.checker.routerRestarted(n)
	s.checker.listReceived(n, config.KnownEngines)
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

// routerSettings returns the settings of a router, with Options.relaxRouterRules applied.
func (s *sim) routerSettings(index int) settings.Settings {
	w := s.world
	if s.options.relaxRouterRules != nil {
		s.options.relaxRouterRules(&w)
	}
	return w.routerSettings(index)
}

// crash ends a router as a kill does: its queued and running batches are lost, and its clients see their connections close.
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

// deliver passes an event to the router, executes the resulting actions and schedules the TurnEnded event that follows all
// events of the same time.
func (n *node) deliver(e router.Event) {
	if n.sim.options.TamperEvent != nil {
		e = n.sim.options.TamperEvent(n.index, e)
	}
	_, last := e.(router.TurnEnded)
	for _, action := range n.router.Reduce(n.sim.now, e) {
		if n.sim.options.TamperAction == nil {
			n.execute(action)
			continue
		}
		for _, replacement := range n.sim.options.TamperAction(n.index, action) {
			n.execute(replacement)
		}
	}
	if !last && !n.turnEndScheduled {
		n.turnEndScheduled = true
		generation := n.generation
		n.sim.scheduleAfter(0, func() {
			if n.generation == generation {
				n.turnEndScheduled = false
				n.deliver(router.TurnEnded{})
			}
		})
	}
}

// scheduleAfter runs do after a number of seconds, unless the router has crashed by then.
func (n *node) scheduleAfter(wait float64, do func()) {
	generation := n.generation
	n.sim.scheduleAfter(wait, func() {
		if n.generation == generation {
			do()
		}
	})
}

// execute carries out an action of the router.
func (n *node) execute(action router.Effect) {
	s := n.sim
	switch action := action.(type) {
	case router.SendToClient:
		a, is := action.Message.(*traffic.Answer)
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
	case router.CloseClient: // the connection was idle too long; the next batch opens another
		if action.Client == n.currentClient {
			n.currentClient = 0
		}
	case router.Dial:
		n.dial(action)
	case router.SendToEngine:
		if c := n.conns[action.Connection]; c != nil {
			c.send(action.Order)
		}
	case router.CloseEngine:
		if c := n.conns[action.Connection]; c != nil {
			c.drop()
		}
	case router.QueryList:
		n.scheduleAfter(2*s.latency(), func() {
			list := s.nameService.listAt(s.now - s.world.ListDelay*s.faultFactor("list"))
			s.checker.listReceived(n, list)
			n.deliver(router.ListAnswered{QueryID: action.QueryID, List: list})
		})
	case router.SetTimer:
		n.timerNumber++
		number, life := n.timerNumber, n.generation
		s.schedule(action.At, func() {
			if n.timerNumber == number && n.generation == life {
				n.deliver(router.TimerFired{})
			}
		})
	case router.Release:
		action.Chain.Release()
	case router.SendToPeer:
		n.sendPeerMessage(action)
	case router.ReportStatus:
		n.status = action.Status
	case router.Log:
		if action.Text == "level of service" {
			s.result.recordLevel(s, n, action)
		}
	}
}

// conn is a connection between a router and an engine. Messages keep their order in each direction.
type conn struct {
	node             *node
	engine           *engine
	number           uint64  // assigned by the router
	serial           uint64  // unique in the day
	engineGeneration int     // of the engine when the connection was opened
	lastToEngine     float64 // arrival time of the last message to the engine
	lastToRouter     float64 // arrival time of the last message to the router
	closed           bool
}

// dial opens a connection after a round trip, or reports a refused one if no running engine has the address.
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

// send transmits an order of the router to the engine.
func (c *conn) send(order traffic.EngineCommand) {
	s := c.node.sim
	var b *batch
	if d, is := order.(*traffic.Dispatch); is {
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
		switch o := order.(type) {
		case *traffic.Dispatch:
			e.start(c, o, b)
		case traffic.CancelDispatch:
			e.cancel(c, o.ID)
		case traffic.FetchPage: // results have only one page, which the first reply announced
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

// reply transmits a reply of the engine to the router.
func (c *conn) reply(r *traffic.EngineReply) {
	s, n := c.node.sim, c.node
	generation := n.generation
	c.lastToRouter = max(c.lastToRouter+1e-9, s.now+s.latency())
	s.schedule(c.lastToRouter, func() {
		if n.generation == generation && !c.closed && n.conns[c.number] == c {
			n.deliver(router.EngineReplied{Connection: c.number, Reply: r})
		}
	})
}

// drop closes the connection at once on both sides, without telling the router.
func (c *conn) drop() {
	c.closed = true
	delete(c.node.conns, c.number)
	delete(c.engine.conns, c.serial)
}

// reset closes the connection from the engine's side; the router sees it one latency later.
func (c *conn) reset() {
	n := c.node
	n.scheduleAfter(n.sim.latency(), func() {
		if !c.closed && n.conns[c.number] == c {
			c.drop()
			n.deliver(router.EngineEnded{Connection: c.number, End: router.ResetByPeer})
		}
	})
}

// nameService is the emulated name service. Routers receive lists that are older by World.ListDelay.
type nameService struct {
	sim      *sim
	history  []version
	draining map[*engine]bool
}

// version is a published list and the time from which it is valid.
type version struct {
	at   float64
	list directory.List
}

// setDraining marks an engine as draining or not, and publishes a list.
func (n *nameService) setDraining(e *engine, drains bool) {
	if n.draining == nil {
		n.draining = map[*engine]bool{}
	}
	n.draining[e] = drains
	n.publish()
}

// publish adds a list of the engines that are up.
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

// listAt returns the list that was valid at a time, or the first one.
func (n *nameService) listAt(at float64) directory.List {
	for i := len(n.history) - 1; i > 0; i-- {
		if n.history[i].at <= at {
			return n.history[i].list
		}
	}
	return n.history[0].list
}

// request is the work that a client wants done. Its utility counts once, however many batches the client submits for it.
type request struct {
	group     *Group
	arrivedAt float64
	served    bool
}

// batch is one submission of a request to a router.
type batch struct {
	*request
	id, key, dedupID string
	node             *node
	client           uint64 // number of the client connection that it came on
	stream           uint32
	work, memory     float64 // seconds of a thread, MB
	estimatedWork    float64 // the work that the client declares to the router, in seconds
	dataSet          int
	submissions      int     // of the request, this one included
	deadline         float64 // simulated time
	answers          int     // final answers that the router has sent
	activeDispatches int     // dispatches that were sent and have not ended
	closed           bool    // answered, lost or past its deadline
}

// arrive submits the next request and schedules the one after it.
func (s *sim) arrive() {
	if s.now >= epoch+s.day.Seconds {
		return
	}
	s.interarrivalTime = distuv.Exponential{Rate: s.world.Rate * s.faultFactor("rate"), Src: s.arrivalDraws}
	s.scheduleAfter(s.interarrivalTime.Rand(), s.arrive)
	g := int(s.groupDraw.Rand())
	if t := s.activeFault("heavy"); t != nil && s.batchDraws.Float64() < t.Share { // the request changes to the group with the most mean work
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

// submit sends a batch to a random router that is up. It does nothing if none is up or less than 0.05 s is left.
func (s *sim) submit(b *batch) {
	var up []*node
	for _, n := range s.routers {
		if n.up {
			up = append(up, n)
		}
	}
	remaining := b.group.Limit - (s.now - b.arrivedAt)
	if len(up) == 0 || remaining < 0.05 {
		return
	}
	s.batchCount++
	b.id, b.submissions, b.deadline = fmt.Sprintf("%016x", s.batchCount), b.submissions+1, s.now+remaining
	b.node = up[s.batchDraws.IntN(len(up))]
	n, generation := b.node, b.node.generation
	b.estimatedWork = b.work * math.Exp(s.world.EstimateError*s.batchDraws.NormFloat64())
	s.batches[b.id] = b
	n.lastFromClients = max(n.lastFromClients+1e-9, s.now+s.latency())
	s.schedule(n.lastFromClients, func() {
		if n.generation != generation {
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
		ask := &traffic.BatchRequest{Stream: b.stream, Batch: traffic.Batch{ID: b.id, Group: b.group.Name, IdempotencyKey: b.dedupID, TimeLeft: remaining, Cost: b.estimatedWork,
			Memory: b.memory * math.Exp(0.3*s.batchDraws.NormFloat64())}}
		if b.key != "" {
			ask.Batch.OrderKey = uint64(len(b.key))<<32 | uint64(atoi(b.key)+1)
		}
		ask.Batch.Text = n.pool.Chain()
		ask.Batch.Text.WriteString("SELECT 1 FROM d_" + strconv.Itoa(b.dataSet) + ".t")
		n.deliver(router.ClientMessage{Client: n.currentClient, Message: ask})
	})
	s.schedule(b.deadline, func() {
		if !b.closed && b.node == n && n.generation == generation {
			s.checker.deadlinePassed(b)
			s.closeBatch(b)
			n.deliver(router.ClientMessage{Client: b.client, Message: traffic.Cancel{Stream: b.stream}})
			delete(n.openBatches, b.stream)
		}
	})
}

// atoi parses a decimal number that is known to be valid.
func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// routerLost handles the crash of a batch's router: the client submits the request to another router.
func (s *sim) routerLost(b *batch) {
	if b.closed {
		return
	}
	s.closeBatch(b)
	s.retry(b, 0.1)
}

// closeBatch marks a batch as closed and forgets it.
func (s *sim) closeBatch(b *batch) {
	b.closed = true
	s.log("over %s", b.id)
	delete(s.batches, b.id)
}

// retry submits another batch for the same request after a number of seconds, unless the client has used up its retries.
func (s *sim) retry(b *batch, wait float64) {
	if b.submissions > s.world.Retries {
		return
	}
	next := &batch{request: b.request, key: b.key, dedupID: b.dedupID, work: b.work, memory: b.memory, dataSet: b.dataSet, submissions: b.submissions}
	s.scheduleAfter(wait, func() { s.submit(next) })
}

// deliverAnswer handles the arrival of a final answer at the client. A rejected request is retried after the router's delay.
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
