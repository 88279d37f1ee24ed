// Package router holds the state of the running router and the one reducer that changes it. It does no input or
// output and knows no clock: events bring the time, and what is to be done comes back as effects.
package router

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/limits"
	"pitchfield/internal/traffic"
)

// Facts of the protocol and the platform; seconds. Nothing here decides about a batch.
const (
	goneEngineRetention = 60.0 // what is known of an engine that has left the list is kept for so long
	idleCloseFraction   = 0.8  // of the time after which engines close what is idle, lest a dispatch meets that close
	stopGracePeriod     = 0.75 // after a stop is asked for, batches still come for so long
	killDelay           = 0.7  // the process may be killed so long after the longest time limit,
	maxKillWait         = 3.0  // which counts for no more than this
	killMargin          = 0.3  // and all must be answered before,
	flushTime           = 0.1  // and written
	lateTimerThreshold  = 0.02 // worth a line: the process or its machine stood still
)

// Router is the state. It changes in Reduce alone.
type Router struct {
	brain          *brain.Router
	config         config.Config
	protocolOf     ProtocolFunc
	groups         map[string]*brain.ServiceGroup
	unmarkedGroups map[string]*brain.ServiceGroup // of the same name, once-only: for referenced batches without a mark
	pool           *buffers.Pool
	effects        []Effect
	now            float64
	started        bool

	engines              map[string]*engine // forgetEngine deletes, from byBrain too
	byBrainEngine        map[*brain.Engine]*engine
	connections          map[uint64]*engineConn // lineEnded deletes
	lastNumber           uint64                 // of connections to engines and of probes
	maxConnections       int                    // descriptors for connections to engines
	connectionsPerEngine int                    // connections to one engine before batches share them
	writable             []*engineConn          // connections that have come up, or been read, in this turn
	dialing              int                    // connections that are not up yet; each takes a second descriptor for a moment

	clients           map[uint64]*client      // clientEnded deletes
	closedClients     closedClientCounts      // what was done about too many of them, since the last line on it
	maxClients        int                     // connections
	clientCheckSet    bool                    // at them, by a timer,
	clientCheckAt     float64                 // that is due then,
	clientCheckDelays int                     // how often in a row, as it came late
	batches           map[*brain.Batch]*batch // forget deletes
	openByID          map[string]*batch       // by id, while the client waits; unwait deletes
	lastBatchID       uint64
	idSource          *rand.Rand // of batches whose protocol has none

	timers  timers
	timerAt float64
	wakeAt  float64

	follower           *directory.Follower // of the list of engines
	currentQuery       queryTimer          // the timer that counts
	nameServiceSilent  bool                // the name service
	unusedAnswerLogged bool                // answers that could not be used were told of

	level                          serviceLevel  // of reduced service
	routes                         *limits.Table // the operator's limits; nil: none
	adaptive                       limits.AdaptiveSettings
	retryBudget, engineRetryBudget *limits.RetryBudget // of further dispatches: of all batches, and to each engine

	members     *fleet       // of its fleet; nil: there is no talk
	quotas      *quotas      // of what the fleet divides; nil: the division is fixed
	loadReports *loadReports // of what the others have out; nil: nobody tells

	stopAt, answerDeadline float64 // 0: not stopping
	exited                 bool
}

type engine struct {
	brain.Engine
	name, address string
	protocol      *traffic.EngineProtocol
	gone          bool
	pool          engines.Pool
	outstanding   int // dispatches without an outcome
}

// engineConn is a connection to an engine with what has to go out once it is up.
type engineConn struct {
	*engines.Connection
	engine       *engine
	queue        []any   // dispatches and probes, in order
	timer        *timer  // to come up, or to close when idle
	healthCheck  *probe  // whether it is of use, once that is in doubt
	partialSince float64 // a reply has begun and is not whole since; 0: none
}

// ProtocolFunc gives the protocol of an engine; the same for it always.
type ProtocolFunc func(directory.Engine) *traffic.EngineProtocol

// New starts a router; its first effects come with the first event.
func New(c config.Config, speaks ProtocolFunc, pool *buffers.Pool, now float64) *Router {
	r := &Router{brain: brain.New(c.Settings.Settings, c.Seed, now), config: c, protocolOf: speaks, pool: pool, now: now,
		groups: map[string]*brain.ServiceGroup{}, unmarkedGroups: map[string]*brain.ServiceGroup{}, engines: map[string]*engine{},
		byBrainEngine: map[*brain.Engine]*engine{}, connections: map[uint64]*engineConn{}, clients: map[uint64]*client{},
		batches: map[*brain.Batch]*batch{}, openByID: map[string]*batch{}, timerAt: math.Inf(1), wakeAt: math.Inf(1), follower: directory.NewFollower(c.KnownEngines, c.Seed, now),
		idSource: rand.New(rand.NewPCG(c.Seed, 64))}
	for _, g := range c.Settings.Groups {
		if r.groups[g.Name] != nil {
			r.unmarkedGroups[g.Name] = g
		} else {
			r.groups[g.Name] = g
		}
	}
	s := &r.config.Settings
	s.MaxStreamsPerConnection = max(s.MaxStreamsPerConnection, 1)
	if s.DialTimeout <= 0 {
		s.DialTimeout = 0.25
	}
	r.connectionsPerEngine = defaultConnectionsPerEngine
	r.setDescriptorLimits()
	r.brain.SetTime(now)
	r.applyEngineList(r.follower.List())
	r.queryList()
	return r
}

const (
	spareDescriptors = 48
	batchMemoryShare = 0.25 // of the memory limit: what batches may hold of it before more are pushed back
)

func (r *Router) setDescriptorLimits() {
	// Clients are let in up to half of the descriptors, though they should hold a third; the runtime needs some.
	n := r.config.Descriptors
	r.maxConnections, r.maxClients = max(n-n/2-spareDescriptors, 4), n/2
}

// reload takes what may change while the router runs: the name service's address, the limits, and a list that is
// newer than ours. The list's number goes on. What decisions are made by is kept until the next start: batches that
// are held or out were taken by it.
func (r *Router) reload(c config.Config) {
	old := &r.config
	r.log(Info, "configuration read again", "resolver", c.Resolver, "memory_mb", c.MemoryMB,
		"descriptors", c.Descriptors, "serial", r.follower.Serial())
	if c.Listen != old.Listen || c.SettingsText != old.SettingsText {
		r.log(Warn, "listen and settings count from the next start")
	}
	if c.MemoryMB != old.MemoryMB || c.Descriptors != old.Descriptors {
		old.MemoryMB, old.Descriptors = c.MemoryMB, c.Descriptors
		r.setDescriptorLimits()
		r.emit(SetLimits{c.MemoryMB, c.Descriptors})
	}
	if r.follower.HandleConfigured(c.KnownEngines, r.now) {
		r.applyEngineList(r.follower.List())
	}
	if c.Resolver != old.Resolver {
		old.Resolver = c.Resolver
		r.follower.HandleServerChange(r.now) // the old address may still answer, with what it last knew
		r.emit(SetResolver{c.Resolver})
	}
	r.queryList()
}

// Reduce takes one event and gives what is to be done. The list is used again by the next call.
func (r *Router) Reduce(now float64, what Event) []Effect {
	if r.started {
		r.effects = r.effects[:0]
	}
	r.started = true
	r.now = max(r.now, now)
	if r.exited { // all is answered: what comes while the last bytes are written is neither taken nor sent on
		return r.effects[:0]
	}
	r.brain.SetTime(r.now)
	switch e := what.(type) {
	case ClientOpened:
		r.clientOpened(e.Client, e.Protocol)
	case ClientMessage:
		r.handleClientMessage(e.Client, e.Message)
	case ClientMessageStarted:
		if c := r.clients[e.Client]; c != nil {
			c.partialSince = r.now
		}
	case ClientInvalid:
		if c := r.clients[e.Client]; c != nil {
			r.log(Warn, "client sent what can't be read", "client", e.Client, "open", len(c.open))
			r.rejectClient(c, BadInput)
		}
	case ClientUnread:
		r.clientUnread(e.Client, e.Full)
	case ClientEnded:
		r.clientEnded(e.Client, e.End)
	case EngineOpened:
		r.engineOpened(e.Connection)
	case EngineReplied:
		r.engineReplied(e.Connection, e.Reply)
	case EngineWritable:
		r.engineWritable(e.Connection)
	case EngineReplyStarted:
		if l := r.connections[e.Connection]; l != nil {
			l.partialSince = r.now
			r.timers.add(r.now+replyTimeout, partialReply{l, r.now})
		}
	case EngineEnded:
		if l := r.connections[e.Connection]; l != nil {
			r.connectionEnded(l, e.End)
		}
	case ListAnswered:
		r.listAnswered(e.QueryID, e.List)
	case ListUnusable:
		r.listUnusable(e.QueryID)
	case StopAsked:
		r.stop()
	case Reloaded:
		r.reload(e.Config)
	case RoutesSet:
		r.setRoutes(e)
	case LevelsSet:
		r.setLevels(e)
	case PeerMessagingSet:
		r.startPeerMessaging(e)
	case PeerMessageReceived:
		r.receivePeerMessage(e)
	case OrderRefused:
		r.orderRefused(e)
	case TimerFired:
		if late := r.now - r.timerAt; late > lateTimerThreshold {
			r.log(Warn, "woken late", "by", late)
		}
		r.timerAt = math.Inf(1)
	case TurnEnded:
		r.endTurn()
	}
	return r.effects
}

// setRoutes brings limits for what is taken from now on. What the old ones have spent and have out counts on.
func (r *Router) setRoutes(e RoutesSet) {
	e.Routes.ResolveEngineKinds(r.config.Settings.Kinds)
	e.Routes.CarryOver(r.routes)
	r.routes = e.Routes
	if e.Adaptive != r.adaptive {
		r.adaptive = e.Adaptive
		for _, known := range r.engines {
			known.ConcurrencyLimit = e.Adaptive.New()
		}
	}
	all := e.RetryBudget.CopyUnspent()
	all.CarryOver(r.retryBudget)
	r.retryBudget, r.engineRetryBudget = all, e.EngineRetryBudget
	r.brain.SetRetryBudget(all)
	r.setQuotaLeases()
	for _, known := range r.engines {
		next := e.EngineRetryBudget.CopyUnspent()
		next.CarryOver(known.RetryBudget)
		known.RetryBudget = next
	}
	r.log(Info, "routes", "count", len(e.Routes.Routes), "adaptive", e.Adaptive.Kind)
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Router) log(level Level, text string, fields ...any) {
	r.emit(Log{level, text, fields})
}

// endTurn is the end of a loop turn: what is due, then the module's decisions, then the next timer.
func (r *Router) endTurn() {
	for {
		what := r.timers.popDue(r.now)
		if what == nil {
			break
		}
		r.handleTimer(what)
	}
	if r.now >= r.wakeAt {
		r.wakeAt = math.Inf(1)
		r.brain.TimerFired()
	}
	r.sendQueues()
	r.runDecisions()
	if r.quotas != nil {
		r.updateQuotas()
	}
	r.finishStop()
	if at := min(r.timers.next(), r.wakeAt); at < r.timerAt {
		r.timerAt = at
		r.emit(SetTimer{at})
	}
}

func (r *Router) handleTimer(what any) {
	switch what := what.(type) {
	case *dispatch:
		r.abortDispatch(what, brain.TimedOut)
	case *probe:
		if l := what.conn; !what.ended && l.healthCheck == what {
			r.closeConnection(l, ClosedSuspect)
		}
		r.finishProbe(what, false, nil, true)
	case cancelConfirmDue:
		r.cancelConfirmExpired(what.dispatch)
	case pageTimeout:
		r.pagesOverdue(what.dispatch)
	case partialReply:
		r.partialReplyOverdue(what)
	case *freeWait:
		r.freeOverdue(what)
	case *engineConn:
		r.connectionDue(what)
	case queryTimer:
		if what == r.currentQuery {
			r.queryList()
		}
	case *engine:
		r.forgetEngine(what)
	case clientCheck:
		r.checkClients()
	case levelCheck:
		r.updateLevel()
	case membershipDue:
		r.wakeMembership()
	case fleetReportDue:
		r.reportFleet()
	case quotasDue: // the end of this turn looks after it
	case loadReportDue:
		r.sendLoadReport()
	case stopCheck:
	}
}

// runDecisions does the module's decisions as they come.
func (r *Router) runDecisions() {
	for {
		d := r.brain.Next()
		switch d.Kind {
		case brain.NoDecision:
			return
		case brain.Terms:
			if b := r.batches[d.Batch]; b != nil {
				b.memory = d.Memory
			}
		case brain.Dispatch:
			if b := r.batches[d.Batch]; b != nil {
				r.startDispatch(b, r.byBrainEngine[d.Engine], d)
			}
		case brain.Reject:
			r.answerBatch(r.batches[d.Batch], traffic.Rejected, d.Wait)
		case brain.Fail:
			r.answerBatch(r.batches[d.Batch], traffic.Failed, 0)
		case brain.Cancel:
			if b := r.batches[d.Batch]; b != nil && d.Number < len(b.dispatches) {
				r.abortDispatch(b.dispatches[d.Number], brain.Canceled)
			}
		case brain.Probe:
			r.sendProbe(r.byBrainEngine[d.Engine])
		case brain.WakeAt:
			r.wakeAt = min(r.wakeAt, d.At)
		case brain.Subscribe: // the list is asked for all the time
		case brain.Log:
			r.log(Info, d.Text, "by", "decisions")
		}
	}
}

// The list of engines.

// queryTimer is due at the next question. The count tells which of them is void.
type queryTimer uint64

// queryList sends the next question.
func (r *Router) queryList() {
	counts := r.follower.Counts(r.now)
	q := r.follower.NextQuery(r.now)
	if q.NewPort {
		if !r.nameServiceSilent {
			r.nameServiceSilent = true
			r.log(Warn, "name service is silent, asked from another port", r.followFields(counts)...)
		}
		r.emit(SetResolver{r.config.Resolver})
	}
	r.emit(QueryList{q.ID})
	r.scheduleQuery()
}

// scheduleQuery sets the timer for the next question; the ones before are void.
func (r *Router) scheduleQuery() {
	r.currentQuery++
	r.timers.add(r.follower.NextQueryAt(), r.currentQuery)
}

// listAnswered takes an answer of the name service. Lost, failed and cut ones never get here.
func (r *Router) listAnswered(query uint16, list directory.List) {
	counts := r.follower.Counts(r.now)
	verdict, changed := r.follower.HandleAnswer(query, list, r.now)
	fields := append(r.followFields(counts), "told", list.Serial, "engines", len(list.Engines))
	switch verdict {
	case directory.Same:
		r.unusedAnswerLogged = false
	case directory.Adopted:
		r.unusedAnswerLogged = false
		r.log(Info, "list of engines taken", fields...)
	default:
		level := Info
		if verdict == directory.Unconfirmed && list.Serial > r.follower.Serial() { // as with every change
			level = Debug
		}
		if !r.unusedAnswerLogged || level == Debug { // the first of a spell
			r.unusedAnswerLogged = r.unusedAnswerLogged || level == Info
			r.log(level, "answer of the name service is not taken as it is", append(fields, "verdict", verdict.String())...)
		}
	}
	if verdict != directory.Unmatched && r.nameServiceSilent {
		r.nameServiceSilent = false
		r.log(Info, "name service is heard again", fields...)
	}
	if changed {
		r.applyEngineList(r.follower.List())
	}
	r.scheduleQuery()
}

// listUnusable notes an answer that can't be read.
func (r *Router) listUnusable(query uint16) {
	r.follower.HandleUnusable(query, r.now)
	r.scheduleQuery()
}

// followFields gives names and values for a line of the log: how the list was followed since one was last confirmed.
func (r *Router) followFields(c directory.Counts) []any {
	return []any{"serial", r.follower.Serial(), "age", c.Age, "asked", c.Asked, "unusable", c.Unusable, "unmatched", c.Unmatched,
		"overtaken", c.Overtaken, "unconfirmed", c.Unconfirmed}
}

// applyEngineList takes the engines as they are to be used from now on.
func (r *Router) applyEngineList(list directory.List) {
	var whole []*brain.Engine
	there := map[*engine]bool{}
	for _, e := range list.Engines {
		known := r.engines[e.ID]
		if known == nil {
			known = &engine{name: e.ID, protocol: r.protocolOf(e), Engine: brain.Engine{ID: engineNumber(e.ID)}}
			known.pool.Engine, known.OneBatchPerConnection = known.ID, known.protocol.OneAtATime
			r.engines[e.ID] = known
			r.byBrainEngine[&known.Engine] = known
		}
		if known.ConcurrencyLimit == nil || known.StartedAt != e.StartedAt { // what was learned of the process before is void
			known.ConcurrencyLimit = r.adaptive.New()
		}
		if known.RetryBudget == nil {
			known.RetryBudget = r.engineRetryBudget.CopyUnspent()
		}
		if e.Address != "" && e.Address != known.address {
			// What listens at the old address is another one's, or will be.
			known.address = e.Address
			r.leaveAddress(known)
		}
		phase := brain.Ready
		if e.Draining {
			phase = brain.Draining
		}
		if known.gone || known.Phase != phase || known.StartedAt != e.StartedAt {
			r.log(Info, "engine listed", "engine", e.ID, "number", known.ID, "address", known.address,
				"draining", e.Draining, "started", e.StartedAt, "serial", list.Serial, "out", known.outstanding,
				"connections", len(known.pool.Connections))
		}
		s := &r.config.Settings
		known.gone = false
		known.Phase, known.StartedAt, known.Size, known.Cell = phase, e.StartedAt, e.Weight, e.Cell
		known.Zone, known.Kind = slices.Index(s.Zones, e.Zone), max(slices.Index(s.Kinds, e.Kind), 0)
		whole = append(whole, &known.Engine)
		there[known] = true
	}
	r.brain.UpdateEngines(whole, true)
	for _, name := range slices.Sorted(maps.Keys(r.engines)) { // in one order, whatever a map makes of it
		e := r.engines[name]
		if there[e] || e.gone {
			if e.Phase == brain.Draining {
				r.withdrawUnsent(e)
			}
			continue
		}
		r.log(Info, "engine gone", "engine", name, "number", e.ID, "serial", list.Serial, "out", e.outstanding,
			"connections", len(e.pool.Connections))
		e.gone, e.Phase = true, brain.Gone
		r.leaveAddress(e)
		r.timers.add(r.now+goneEngineRetention, e)
	}
}

// leaveAddress: what has left an address, or the list, gets nothing more there. A connection that is not up yet might
// come up at its successor; what is open on one that is up may still be answered, and then it closes.
func (r *Router) leaveAddress(e *engine) {
	r.withdrawUnsent(e)
	for _, c := range slices.Clone(e.pool.Connections) {
		c.StaleAddress = true
		r.closeIfUnneeded(r.connections[c.Number])
	}
}

// withdrawUnsent takes what was decided for an engine and is not sent: what waits for a connection, which may take longer to come
// up than a drain may still be sent to, and what waits for the engine to read. It never ran and goes elsewhere at once.
func (r *Router) withdrawUnsent(e *engine) {
	for _, c := range slices.Clone(e.pool.Connections) {
		l := r.connections[c.Number]
		if !c.Up {
			r.closeConnection(l, StaleAddress)
			continue
		}
		for _, what := range slices.Clone(l.queue) {
			if d, is := what.(*dispatch); is {
				r.endDispatch(d, outcomesByReason[StaleAddress].unwritten, nil)
				l.RemovePending(d.batch.id, false, r.now)
			}
		}
		r.closeIfUnneeded(l)
	}
}

// forgetEngine: engines are replaced all day under new ids. What is gone for long, with nothing out and no connection,
// is dropped; the module drops its own with the next list. One that flaps is the same one to the module until then.
func (r *Router) forgetEngine(e *engine) {
	switch {
	case !e.gone:
	case e.outstanding > 0 || len(e.pool.Connections) > 0:
		r.timers.add(r.now+goneEngineRetention, e)
	default:
		delete(r.engines, e.name)
		delete(r.byBrainEngine, &e.Engine)
	}
}

// engineNumber gives an engine's number from its name, alike at every router.
func engineNumber(name string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(name) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

func (r *Router) nextNumber() uint64 {
	r.lastNumber++
	return r.lastNumber
}

func probeTag(n uint64) string { return "p" + strconv.FormatUint(n, 36) }
