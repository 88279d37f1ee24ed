// Package router implements the router core as a reducer: Router holds the whole state, Reduce applies one event to it
// and returns the effects that the host must carry out. The package does no input or output and reads no clock; the
// current time comes with each event. All times and durations are in seconds.
//
// Package brain decides which batch goes to which engine and when; it is called the decision module here. This package
// keeps the client and engine connections, their batches and dispatches, and the timers.
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

// Properties of the protocols and the platform, in seconds unless a comment says otherwise. None of them influences a
// decision about a batch.
const (
	// goneEngineRetention is how long the state of an engine is kept after it has left the engine list.
	goneEngineRetention = 60.0
	// idleCloseFraction is the part of the engines' idle timeout after which the router closes an idle connection. It
	// is below 1 so that no dispatch is written while the engine closes the connection.
	idleCloseFraction = 0.8
	// stopGracePeriod is how long new batches may still arrive after a stop was requested.
	stopGracePeriod = 0.75
	// killDelay is added to the longest time limit of all service groups: the process may be killed that long after
	// the stop was requested.
	killDelay = 0.7
	// maxKillWait caps the longest time limit in that sum.
	maxKillWait = 3.0
	// killMargin is how long before the expected kill every batch must have its final answer.
	killMargin = 0.3
	// flushTime is how long before the expected kill the last bytes must be written.
	flushTime = 0.1
	// lateTimerThreshold is the timer delay that is logged: the process or its machine was paused.
	lateTimerThreshold = 0.02
)

// Router is the whole state of a router. Only Reduce changes it, and it must not be used by several goroutines at once.
type Router struct {
	brain          *brain.Router
	config         config.Config
	protocolOf     ProtocolFunc
	groups         map[string]*brain.ServiceGroup
	unmarkedGroups map[string]*brain.ServiceGroup // once-only variants, by name, for referenced batches without a mark
	pool           *buffers.Pool
	effects        []Effect // of the current call of Reduce; the slice is reused
	now            float64
	started        bool // Reduce has been called; until then effects holds those of New

	engines              map[string]*engine        // by name; forgetEngine removes entries
	byBrainEngine        map[*brain.Engine]*engine // the same engines; forgetEngine removes entries
	connections          map[uint64]*engineConn    // by number; connectionEnded removes entries
	lastNumber           uint64                    // last number given to an engine connection or a probe
	maxConnections       int                       // descriptors available for engine connections
	connectionsPerEngine int                       // connections opened to one engine before batches share them
	writable             []*engineConn             // connections that came up or became writable in this turn
	dialing              int                       // connections being dialed; each briefly takes a second descriptor

	clients           map[uint64]*client      // by connection number; clientEnded removes entries
	closedClients     closedClientCounts      // client connections closed to free resources, since the last log line
	maxClients        int                     // client connections allowed; 0: unlimited
	clientCheckSet    bool                    // a timer for the next check of the client connections is set
	clientCheckAt     float64                 // when that timer is due
	clientCheckDelays int                     // how often in a row the check was postponed because its timer fired late
	batches           map[*brain.Batch]*batch // releaseBatch removes entries
	openByID          map[string]*batch       // batches whose client waits, by id; detachClient removes entries
	usedIDs           usedIDs                 // of once-only batches
	lastBatchID       uint64
	idSource          *rand.Rand // source of ids for batches whose protocol has none

	timers  timers
	timerAt float64 // the time set at the host by the last SetTimer; +Inf: none
	wakeAt  float64 // when the decision module wants to be called; +Inf: not at a set time

	follower           *directory.Follower // follows the engine list of the name service
	currentQuery       queryTimer          // the valid query timer; earlier ones are ignored
	nameServiceSilent  bool                // the name service does not answer, and that was logged
	unusedAnswerLogged bool                // an unused answer of the name service was logged since the last usable one

	level             serviceLevel  // level of reduced service
	routes            *limits.Table // the operator's limits by route; nil: none
	adaptive          limits.AdaptiveSettings
	retryBudget       *limits.RetryBudget // for the retries of all batches; nil: none
	engineRetryBudget *limits.RetryBudget // template of each engine's retry budget; nil: none

	members     *fleet       // the other routers of the fleet; nil: no peer messaging
	quotas      *quotas      // this router's shares of fleet-wide budgets; nil: a fixed division
	loadReports *loadReports // load that the other routers report; nil: load reports are off

	stopAt         float64 // when a stop was requested; 0: not stopping
	answerDeadline float64 // when every batch must have its final answer; 0: not stopping
	exited         bool    // the Exit effect was emitted; later events are ignored
}

// engine is an engine of the list, or one that left it less than goneEngineRetention ago.
type engine struct {
	brain.Engine
	name, address string
	protocol      *traffic.EngineProtocol
	gone          bool // it has left the engine list
	pool          engines.Pool
	outstanding   int // dispatches without an outcome
}

// engineConn is a connection to an engine with the orders that wait until it is up or writable.
type engineConn struct {
	*engines.Connection
	engine       *engine
	queue        []any   // waiting dispatches and probes (*dispatch, *probe), in order
	timer        *timer  // dial timeout; once the connection is up, idle timeout
	healthCheck  *probe  // a probe that tests a suspect connection; nil: none
	partialSince float64 // when a reply that is still incomplete began; 0: none
}

// ProtocolFunc returns the protocol of an engine. It must always return the same one for the same engine.
type ProtocolFunc func(directory.Engine) *traffic.EngineProtocol

// New creates a router at time now. The effects of its start are returned by the first call of Reduce.
func New(c config.Config, protocolOf ProtocolFunc, pool *buffers.Pool, now float64) *Router {
	r := &Router{brain: brain.New(c.Settings.Settings, c.Seed, now), config: c, protocolOf: protocolOf, pool: pool, now: now,
		groups: map[string]*brain.ServiceGroup{}, unmarkedGroups: map[string]*brain.ServiceGroup{}, engines: map[string]*engine{},
		byBrainEngine: map[*brain.Engine]*engine{}, connections: map[uint64]*engineConn{}, clients: map[uint64]*client{},
		batches: map[*brain.Batch]*batch{}, openByID: map[string]*batch{}, timerAt: math.Inf(1), wakeAt: math.Inf(1), follower: directory.NewFollower(c.KnownEngines, c.Seed, now),
		idSource: rand.New(rand.NewPCG(c.Seed, 64))}
	for _, group := range c.Settings.Groups {
		if r.groups[group.Name] != nil {
			r.unmarkedGroups[group.Name] = group
		} else {
			r.groups[group.Name] = group
		}
	}
	settings := &r.config.Settings
	settings.MaxStreamsPerConnection = max(settings.MaxStreamsPerConnection, 1)
	if settings.DialTimeout <= 0 {
		settings.DialTimeout = 0.25
	}
	r.connectionsPerEngine = defaultConnectionsPerEngine
	r.setDescriptorLimits()
	r.brain.SetTime(now)
	r.applyEngineList(r.follower.List())
	r.queryList()
	return r
}

const (
	spareDescriptors = 48   // descriptors kept free for the Go runtime
	batchMemoryShare = 0.25 // part of the memory limit that statements may use before new batches are rejected
)

// setDescriptorLimits divides the file descriptors between client and engine connections.
func (r *Router) setDescriptorLimits() {
	// Clients are expected to use a third of the descriptors and may use up to half. The Go runtime needs some too.
	n := r.config.Descriptors
	r.maxConnections, r.maxClients = max(n-n/2-spareDescriptors, 4), n/2
}

// reload applies the settings that may change while the router runs: the address of the name service, the memory and
// descriptor limits, and an engine list with a higher serial number than the current one. The settings of the decision
// module stay until the next start, because the batches that are queued or dispatched were accepted under them.
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
		r.follower.HandleServerChange(r.now) // the old address may still answer with an outdated list
		r.emit(SetResolver{c.Resolver})
	}
	r.queryList()
}

// Reduce applies one event that happened at time now and returns the effects to carry out, in order. The returned slice
// is valid until the next call. A time before that of an earlier call counts as that earlier time.
func (r *Router) Reduce(now float64, event Event) []Effect {
	if r.started {
		r.effects = r.effects[:0]
	}
	r.started = true
	r.now = max(r.now, now)
	if r.exited { // every batch is answered; nothing is accepted or sent while the last bytes are written
		return r.effects[:0]
	}
	r.brain.SetTime(r.now)
	switch e := event.(type) {
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
		if conn := r.connections[e.Connection]; conn != nil {
			conn.partialSince = r.now
			r.timers.add(r.now+replyTimeout, partialReply{conn, r.now})
		}
	case EngineEnded:
		if conn := r.connections[e.Connection]; conn != nil {
			r.connectionEnded(conn, e.End)
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

// setRoutes replaces the limits for batches that are accepted from now on. What was spent and is outstanding under the
// old limits still counts.
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
	retryBudget := e.RetryBudget.CopyUnspent()
	retryBudget.CarryOver(r.retryBudget)
	r.retryBudget, r.engineRetryBudget = retryBudget, e.EngineRetryBudget
	r.brain.SetRetryBudget(retryBudget)
	r.setQuotaLeases()
	for _, known := range r.engines {
		budget := e.EngineRetryBudget.CopyUnspent()
		budget.CarryOver(known.RetryBudget)
		known.RetryBudget = budget
	}
	r.log(Info, "routes", "count", len(e.Routes.Routes), "adaptive", e.Adaptive.Kind)
}

// emit appends an effect to the result of the current call of Reduce.
func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

// log emits a log line; fields are keys and values in turn.
func (r *Router) log(level Level, text string, fields ...any) {
	r.emit(Log{level, text, fields})
}

// endTurn ends a turn of the event loop: it handles the timers that are due, sends queued orders, carries out the
// decisions of the decision module and sets the next timer.
func (r *Router) endTurn() {
	for {
		value := r.timers.popDue(r.now)
		if value == nil {
			break
		}
		r.handleTimer(value)
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

// handleTimer handles the value of a timer that is due.
func (r *Router) handleTimer(value any) {
	switch value := value.(type) {
	case *dispatch:
		r.abortDispatch(value, brain.TimedOut)
	case *probe:
		if conn := value.conn; !value.ended && conn.healthCheck == value {
			r.closeConnection(conn, ClosedSuspect)
		}
		r.finishProbe(value, false, nil, true)
	case cancelConfirmDue:
		r.cancelConfirmExpired(value.dispatch)
	case pageTimeout:
		r.pagesOverdue(value.dispatch)
	case partialReply:
		r.partialReplyOverdue(value)
	case *freeWait:
		r.freeOverdue(value)
	case *engineConn:
		r.connectionDue(value)
	case queryTimer:
		if value == r.currentQuery {
			r.queryList()
		}
	case *engine:
		r.forgetEngine(value)
	case clientCheck:
		r.checkClients()
	case levelCheck:
		r.updateLevel()
	case membershipDue:
		r.wakeMembership()
	case fleetReportDue:
		r.reportFleet()
	case quotasDue: // endTurn handles quotas in every turn
	case loadReportDue:
		r.sendLoadReport()
	case stopCheck: // endTurn checks for the end of a stop in every turn
	}
}

// runDecisions carries out the decisions of the decision module until it has no more.
func (r *Router) runDecisions() {
	for {
		decision := r.brain.Next()
		switch decision.Kind {
		case brain.NoDecision:
			return
		case brain.Terms:
			if b := r.batches[decision.Batch]; b != nil {
				b.memory = decision.Memory
			}
		case brain.Dispatch:
			if b := r.batches[decision.Batch]; b != nil {
				r.startDispatch(b, r.byBrainEngine[decision.Engine], decision)
			}
		case brain.Reject:
			r.answerBatch(r.batches[decision.Batch], traffic.Rejected, decision.Wait)
		case brain.Fail:
			r.answerBatch(r.batches[decision.Batch], traffic.Failed, 0)
		case brain.Cancel:
			if b := r.batches[decision.Batch]; b != nil && decision.Number < len(b.dispatches) {
				r.abortDispatch(b.dispatches[decision.Number], brain.Canceled)
			}
		case brain.Probe:
			r.sendProbe(r.byBrainEngine[decision.Engine])
		case brain.WakeAt:
			r.wakeAt = min(r.wakeAt, decision.At)
		case brain.Subscribe: // the engine list is queried all the time
		case brain.Log:
			r.log(Info, decision.Text, "by", "decisions")
		}
	}
}

// queryTimer is due when the engine list must be queried again. Only the timer equal to currentQuery is valid.
type queryTimer uint64

// queryList queries the name service for the engine list.
func (r *Router) queryList() {
	counts := r.follower.Counts(r.now)
	query := r.follower.NextQuery(r.now)
	if query.NewPort {
		if !r.nameServiceSilent {
			r.nameServiceSilent = true
			r.log(Warn, "name service is silent, asked from another port", r.followFields(counts)...)
		}
		r.emit(SetResolver{r.config.Resolver})
	}
	r.emit(QueryList{query.ID})
	r.scheduleQuery()
}

// scheduleQuery sets the timer for the next query and invalidates earlier ones.
func (r *Router) scheduleQuery() {
	r.currentQuery++
	r.timers.add(r.follower.NextQueryAt(), r.currentQuery)
}

// listAnswered handles an answer of the name service. Answers that are lost, failed or truncated never get here.
func (r *Router) listAnswered(queryID uint16, list directory.List) {
	counts := r.follower.Counts(r.now)
	verdict, changed := r.follower.HandleAnswer(queryID, list, r.now)
	fields := append(r.followFields(counts), "told", list.Serial, "engines", len(list.Engines))
	switch verdict {
	case directory.Same:
		r.unusedAnswerLogged = false
	case directory.Adopted:
		r.unusedAnswerLogged = false
		r.log(Info, "list of engines taken", fields...)
	default:
		level := Info
		if verdict == directory.Unconfirmed && list.Serial > r.follower.Serial() { // expected at every change of the list
			level = Debug
		}
		if !r.unusedAnswerLogged || level == Debug { // at level Info only the first of a series is logged
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

// listUnusable handles an answer of the name service that can't be decoded: the follower of the engine list counts it
// and ends the query if that is still open, and the next query is scheduled.
func (r *Router) listUnusable(queryID uint16) {
	r.follower.HandleUnusable(queryID, r.now)
	r.scheduleQuery()
}

// followFields returns log fields with the counts of queries and answers since the engine list was last confirmed.
func (r *Router) followFields(counts directory.Counts) []any {
	return []any{"serial", r.follower.Serial(), "age", counts.Age, "asked", counts.Asked, "unusable", counts.Unusable, "unmatched", counts.Unmatched,
		"overtaken", counts.Overtaken, "unconfirmed", counts.Unconfirmed}
}

// applyEngineList makes list the engine list in force.
func (r *Router) applyEngineList(list directory.List) {
	var brainEngines []*brain.Engine
	listed := map[*engine]bool{}
	for _, e := range list.Engines {
		known := r.engines[e.ID]
		if known == nil {
			known = &engine{name: e.ID, protocol: r.protocolOf(e), Engine: brain.Engine{ID: engineNumber(e.ID)}}
			known.pool.Engine, known.OneBatchPerConnection = known.ID, known.protocol.OneAtATime
			r.engines[e.ID] = known
			r.byBrainEngine[&known.Engine] = known
		}
		if known.ConcurrencyLimit == nil || known.StartedAt != e.StartedAt { // what was learned about the previous process does not apply
			known.ConcurrencyLimit = r.adaptive.New()
		}
		if known.RetryBudget == nil {
			known.RetryBudget = r.engineRetryBudget.CopyUnspent()
		}
		if e.Address != "" && e.Address != known.address {
			// The old address belongs to another engine, or soon will.
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
		settings := &r.config.Settings
		known.gone = false
		known.Phase, known.StartedAt, known.Size, known.Cell = phase, e.StartedAt, e.Weight, e.Cell
		known.Zone, known.Kind = slices.Index(settings.Zones, e.Zone), max(slices.Index(settings.Kinds, e.Kind), 0)
		brainEngines = append(brainEngines, &known.Engine)
		listed[known] = true
	}
	r.brain.UpdateEngines(brainEngines, true)
	for _, name := range slices.Sorted(maps.Keys(r.engines)) { // sorted, so that the order does not depend on map iteration
		e := r.engines[name]
		if listed[e] || e.gone {
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

// leaveAddress stops sending to the old address of an engine that has moved or left the list. Connections that are not
// up yet are closed, because the engine's successor at that address might accept them. Dispatches that are open on a
// connection may still be answered; the connection is closed after that.
func (r *Router) leaveAddress(e *engine) {
	r.withdrawUnsent(e)
	for _, c := range slices.Clone(e.pool.Connections) {
		c.StaleAddress = true
		r.closeIfUnneeded(r.connections[c.Number])
	}
}

// withdrawUnsent ends the dispatches to an engine that are not written yet: those that wait for a connection, which may
// take longer to come up than a draining engine may be sent to, and those that wait until the engine reads. They never
// ran, so the decision module may send their batches elsewhere at once.
func (r *Router) withdrawUnsent(e *engine) {
	for _, c := range slices.Clone(e.pool.Connections) {
		conn := r.connections[c.Number]
		if !c.Up {
			r.closeConnection(conn, StaleAddress)
			continue
		}
		for _, item := range slices.Clone(conn.queue) {
			if d, is := item.(*dispatch); is {
				r.endDispatch(d, outcomesByReason[StaleAddress].unwritten, nil)
				conn.RemovePending(d.batch.id, false, r.now)
			}
		}
		r.closeIfUnneeded(conn)
	}
}

// forgetEngine removes an engine that has been off the list for goneEngineRetention and has no outstanding dispatch and
// no connection; if it still has one, it tries again later. Engines are replaced all day under new ids, so their state
// would accumulate. The decision module drops its own state with the next list. An engine that returns to the list
// earlier is the same one to the decision module.
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

// engineNumber derives an engine's number from its name (32-bit FNV-1a), so that all routers use the same number.
func engineNumber(name string) uint32 {
	sum := uint32(2166136261)
	for _, char := range []byte(name) {
		sum = (sum ^ uint32(char)) * 16777619
	}
	return sum
}

// nextNumber returns a new number for an engine connection or a probe.
func (r *Router) nextNumber() uint64 {
	r.lastNumber++
	return r.lastNumber
}

// probeTag returns the id under which a probe is open on its connection.
func probeTag(n uint64) string { return "p" + strconv.FormatUint(n, 36) }
