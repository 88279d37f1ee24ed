// Package loop connects the router's reducer to its sockets and timers. It turns what the sockets receive and what the
// timers report into events, hands them to the reducer one at a time and carries out the effects that the reducer
// returns. All decisions are the reducer's. Everything here runs on the goroutine of one event loop unless a comment
// says otherwise.
package loop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/guard"
	"pitchfield/internal/reactor"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
	"pitchfield/internal/transient"
)

const (
	flushTime           = 300 * time.Millisecond // least time that a closed connection gets to send what is unsent
	slowClientBytes     = 128 << 10              // unsent bytes at which reading from the engine pauses for a client that streams its result
	unreadCheckInterval = 5 * time.Millisecond   // between checks whether slow peers have read
	readSize            = 64 << 10               // bytes per read
)

// peerKind says on which side of the router a connection is.
type peerKind uint8

const (
	clientPeer peerKind = iota
	enginePeer
)

func (k peerKind) String() string { return [...]string{"client", "engine"}[k] }

// Listener is an address at which clients of one protocol connect.
type Listener struct {
	Address  string // host:port
	Protocol *traffic.ClientProtocol
}

// Environment holds the protocols, shared objects and callbacks that the loop uses besides the configuration. The
// callbacks run on the event loop and must not block.
type Environment struct {
	Listeners      []Listener
	EngineProtocol router.ProtocolFunc
	Pool           *buffers.Pool
	Levels         *router.LevelsSet   // levels of reduced service; nil: off
	Routes         *router.RoutesSet   // limits of routes; nil: none
	ReportStatus   func(router.Status) // receives the router's status if levels are on; may be nil
	PeerMessaging  *PeerMessaging      // messages to and from other routers; nil: none
}

// Reload holds a configuration that replaces the one in force.
type Reload struct {
	Config config.Config
	Levels *router.LevelsSet // nil: unchanged
	Routes *router.RoutesSet // nil: unchanged
}

// peer is one connection to a client or to an engine.
type peer struct {
	loop     *Loop
	kind     peerKind
	number   uint64
	stream   *reactor.Stream
	client   traffic.Client // protocol state of a client's connection, else nil
	engine   traffic.Engine // protocol state of an engine's connection, else nil
	protocol *traffic.EngineProtocol
	received *buffers.Chain
	unsent   int  // bytes that wait to be written, as last counted
	slow     bool // the router was told that this client reads too slowly

	opening      bool      // the router is being told that it was accepted
	hasPartial   bool      // part of a message was received, and the router knows
	partialSince time.Time // when that part began to arrive
	lingering    bool      // this side has ended it and reads until the peer closes
	inBacklog    bool      // it is in Loop.backlog
	overdrawn    int       // bytes of its messages for which it still passes turns; 0 or less: none
	acceptedLate bool      // it was accepted after the loop had begun to stop
	rejecting    bool      // requests on it are rejected
}

// Loop connects the router to its sockets. Its methods run on the event loop.
type Loop struct {
	config  config.Config
	log     *zap.Logger
	pool    *buffers.Pool
	router  *router.Router
	reactor *reactor.Reactor

	clients, engines map[uint64]*peer
	dials            map[uint64]*reactor.Dialing // connections to engines that are not up yet
	nameSockets      nameSockets
	resolver         string             // address of the name service
	resolverVersion  uint64             // counts requests to open a socket there; a retry of an earlier one is dropped
	lastNumber       uint64             // of client connections
	unsentPeers      map[*peer]struct{} // peers with unsent bytes
	unreadEngines    map[*peer]struct{} // engines that have not read what was written while requests wait for them
	unsentBytes      int                // of all peers
	maxUnsent        int                // bytes, of all peers
	maxPerPeer       int                // bytes of one peer that are unsent, or unparsed
	maxBuffered      int                // bytes in buffers, for connections to engines
	maxPartial       int                // bytes in buffers, for incomplete messages of clients
	maxUnparsed      int                // bytes that are read and not parsed, of all clients

	guard                *guard.Guard
	protocolOut, encoded *buffers.Chain // scratch space, empty except while a message is encoded
	reportStatus         func(router.Status)
	messenger            *messenger    // nil: no peer messaging
	unreadCheckSet       bool          // a check of slow clients and unread engines is scheduled
	verifySlots          chan struct{} // bounds verifications that run at a time

	backlog      []*peer // clients with received bytes that may hold messages, the next to be served first
	events       []router.Event
	processing   bool
	stepStart    time.Time // when the handling of the current event began
	busySince    time.Time // when handling of the first event since the last decisions began; zero: there was none
	postponed    bool      // the decisions of this turn were postponed once already
	delays       delays
	turnEndSet   bool // the end of the turn is scheduled
	timer        *time.Timer
	stopping     bool
	stopDeadline time.Time

	lingering      []*lingeringPeer // the oldest first
	lingerCheckSet bool             // a check of lingering connections is scheduled
}

// Run serves until ctx is done and every accepted batch is answered. Each configuration received on reloads replaces
// the one in force. It returns an error if the event loop or a socket can't be opened.
func Run(ctx context.Context, c config.Config, env Environment, reloads <-chan Reload, log *zap.Logger) error {
	l := &Loop{
		config:        c,
		log:           log,
		pool:          env.Pool,
		guard:         guard.New(),
		verifySlots:   make(chan struct{}, 2),
		clients:       map[uint64]*peer{},
		engines:       map[uint64]*peer{},
		dials:         map[uint64]*reactor.Dialing{},
		unsentPeers:   map[*peer]struct{}{},
		unreadEngines: map[*peer]struct{}{},
		resolver:      c.Resolver,
		reportStatus:  env.ReportStatus,
	}
	l.setLimits()
	l.protocolOut, l.encoded = l.pool.Chain(), l.pool.Chain()
	l.router = router.New(c, env.EngineProtocol, l.pool, clock())
	var err error
	if l.reactor, err = reactor.New(readSize, l.logCallFailure); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	l.reactor.OnPolled(l.serveBacklog)
	for _, listener := range env.Listeners {
		accepted := func(s *reactor.Stream) reactor.StreamHandler { return l.acceptClient(s, listener.Protocol) }
		if err := l.reactor.Listen(listener.Address, accepted); err != nil {
			return fmt.Errorf("listen for clients at %s: %w", listener.Address, err)
		}
	}
	if env.PeerMessaging != nil {
		l.messenger = newMessenger(env.PeerMessaging)
		if l.messenger.socket, err = l.reactor.ListenDatagrams(env.PeerMessaging.Settings.Listen, l.receiveDatagram); err != nil {
			return fmt.Errorf("listen for peer messages at %s: %w", env.PeerMessaging.Settings.Listen, err)
		}
	}
	l.reactor.Post(func() { l.start(env) })
	stop := context.AfterFunc(ctx, func() { l.reactor.Post(func() { l.processEvent(router.StopAsked{}) }) })
	defer stop()
	go l.forwardReloads(ctx, reloads)
	l.reactor.Run()
	return nil
}

// start runs first on the event loop.
func (l *Loop) start(env Environment) {
	l.openNameSocket(l.resolver, l.resolverVersion)
	if env.Levels != nil {
		l.processEvent(*env.Levels)
	}
	if env.Routes != nil {
		l.processEvent(*env.Routes)
	}
	l.startPeerMessaging()
	l.scheduleTurnEnd()
}

// logCallFailure logs a system call that failed and is retried.
func (l *Loop) logCallFailure(f reactor.Failure) {
	l.log.Info("system call failed, it is done again", zap.String("call", f.Call), zap.Error(f.Err), zap.Int("failures", l.reactor.Failures()))
}

// processStart is the point from which clock counts; it holds both a wall clock and a monotonic reading.
var processStart = time.Now()

// clock returns the wall clock time at the start of the process in Unix seconds, advanced by the monotonic clock.
// Setting the wall clock therefore has no effect: if it were set back, all timers would be late and leases would last
// too long; if it were set forward, all that waits would time out. Times reported by other machines are never
// subtracted from it.
func clock() float64 {
	return float64(processStart.UnixMicro())/1e6 + time.Since(processStart).Seconds()
}

// forwardReloads passes new configurations on to the event loop. It runs on its own goroutine until ctx is done.
func (l *Loop) forwardReloads(ctx context.Context, reloads <-chan Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			l.reactor.Post(func() {
				l.processEvent(router.Reloaded{Config: next.Config})
				if next.Levels != nil {
					l.processEvent(*next.Levels)
				}
				if next.Routes != nil {
					l.processEvent(*next.Routes)
				}
			})
		}
	}
}

// acceptClient registers a client's connection. It returns nil if the router refuses the connection.
func (l *Loop) acceptClient(stream *reactor.Stream, protocol *traffic.ClientProtocol) reactor.StreamHandler {
	l.lastNumber++
	if l.stopping {
		return l.acceptWhileStopping(stream, protocol)
	}
	p := &peer{loop: l, kind: clientPeer, number: l.lastNumber, stream: stream, received: l.pool.Chain(), client: protocol.New()}
	stream.SetHandler(p)
	stream.EnableDrain() // a client that has closed already must be known as closed before anything is decided
	stream.EndOnHangup() // nobody waits for what it wrote before
	l.clients[p.number] = p
	l.guard.ClientOpened(p.number)
	p.opening = true
	l.processEvent(router.ClientOpened{Client: p.number, Protocol: protocol})
	p.opening = false
	if !l.isOpen(p) {
		l.releasePeer(p)
		return nil
	}
	return p
}

// engineConnected starts the protocol on a new connection to an engine.
func (l *Loop) engineConnected(stream *reactor.Stream, dial router.Dial) {
	p := &peer{loop: l, kind: enginePeer, number: dial.Connection, stream: stream, received: l.pool.Chain(), protocol: dial.Protocol, engine: dial.Protocol.New()}
	stream.SetHandler(p)
	l.engines[p.number] = p
	l.guard.EngineConnected(p.number)
	up := p.engine.Open(l.protocolOut)
	l.write(p, l.protocolOut)
	if up && l.isOpen(p) {
		l.processEvent(router.EngineOpened{Connection: p.number})
	}
}

// connectionEnded releases a connection that has ended, and tells the router unless this side had ended it already.
func (l *Loop) connectionEnded(p *peer, err error) {
	end := endReason(err)
	if p.kind == enginePeer && end.ByPeer() {
		l.guard.EngineClosedConnection(p.number)
	}
	if p.kind == clientPeer && !p.lingering {
		l.log.Debug("client has closed, what it sent is dropped", zap.Uint64("connection", p.number), zap.Int("bytes", p.received.Len()))
	}
	l.releasePeer(p)
	if p.lingering {
		l.removeLingering(p)
		return
	}
	if end != router.ClosedByPeer {
		l.log.Info("connection failed", zap.Stringer("kind", p.kind), zap.Uint64("connection", p.number), zap.Int("unread", p.unsent), zap.Error(err))
	}
	switch {
	case p.kind == enginePeer && l.engines[p.number] == p:
		delete(l.engines, p.number)
		l.processEvent(router.EngineEnded{Connection: p.number, End: end})
	case p.kind == clientPeer && l.clients[p.number] == p:
		delete(l.clients, p.number)
		l.processEvent(router.ClientEnded{Client: p.number, End: end})
	}
}

// endReason classifies the error with which a connection ended.
func endReason(err error) router.CloseReason {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return router.ClosedByPeer
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return router.ResetByPeer
	}
	return router.Unreachable
}

// releasePeer reports the end of a connection to the guard (which checks the router's actions against its own record of open
// requests and connections), removes it from the accounts of unsent bytes, and frees its received data, also that which its protocol
// holds.
func (l *Loop) releasePeer(p *peer) {
	if p.kind == clientPeer {
		l.guard.ClientClosed(p.number)
	} else {
		l.guard.EngineDisconnected(p.number)
	}
	p.received.Release()
	if p.client != nil {
		p.client.DropPartial(p.received)
	}
	l.unsentBytes -= p.unsent
	p.unsent = 0
	delete(l.unsentPeers, p)
	delete(l.unreadEngines, p)
}

// endConnection closes a connection from this side. The router already knows, so no event follows. Clients get a
// lingering close, except one that does not read or takes too much memory.
func (l *Loop) endConnection(p *peer, why router.CloseReason) {
	switch p.kind {
	case enginePeer:
		delete(l.engines, p.number)
	case clientPeer:
		delete(l.clients, p.number)
		l.guard.ClientClosed(p.number)
		if !p.opening && why != router.PeerNotReading && why != router.BufferLimitExceeded {
			p.rejecting = why != router.BadInput && why != router.LoginRefused
			l.startLinger(p, time.Now().Add(flushTime))
			return
		}
	}
	if !p.opening { // else acceptClient refuses it, and the listener closes it
		l.closeNow(p)
	}
}

// Received handles data from the peer. Requests on a lingering connection are rejected until this side is shut down,
// and dropped after that.
func (p *peer) Received(data []byte) {
	switch {
	case !p.lingering:
		p.loop.receive(p, data)
	case p.rejecting:
		p.loop.rejectRequests(p, data)
	}
}

// Ended handles the end of the connection by its peer or by the network.
func (p *peer) Ended(err error) { p.loop.connectionEnded(p, err) }

// isOpen reports whether a connection is registered, that is, neither ended nor lingering.
func (l *Loop) isOpen(p *peer) bool { return l.clients[p.number] == p || l.engines[p.number] == p }

// failConnection ends a connection that can't be used any more and tells the router. After input that can't be parsed
// the router answers the client's open batches first and closes the connection itself.
func (l *Loop) failConnection(p *peer, end router.CloseReason) {
	if p.lingering {
		l.closeNow(p)
		return
	}
	if !l.isOpen(p) {
		return
	}
	if p.kind == clientPeer && end == router.BadInput {
		l.processEvent(router.ClientInvalid{Client: p.number})
		return
	}
	l.log.Warn("connection ended", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind),
		zap.Stringer("end", end), zap.Int("unread", p.unsent), zap.Int("held", l.pool.InUse()*buffers.Size))
	l.endConnection(p, end)
	if p.kind == enginePeer {
		l.processEvent(router.EngineEnded{Connection: p.number, End: end})
	} else {
		l.processEvent(router.ClientEnded{Client: p.number, End: end})
	}
}

// processEvent passes an event to the router and performs the effects that it returns. Events that arise meanwhile are
// queued and processed before the first call returns.
func (l *Loop) processEvent(e router.Event) {
	l.events = append(l.events, e)
	if l.processing {
		return
	}
	l.processing = true
	more := false // an event was processed after the last decisions
	for len(l.events) > 0 {
		e := l.events[0]
		l.events = l.events[1:]
		_, last := e.(router.TurnEnded)
		more = !last
		l.stepStart = time.Now()
		if l.busySince.IsZero() {
			l.busySince = l.stepStart
		}
		l.observeEvent(e)
		for _, effect := range l.router.Reduce(clock(), e) {
			l.perform(effect)
		}
		l.recordStep(e, l.stepStart)
	}
	l.events, l.processing = l.events[:0], false
	if more {
		l.scheduleTurnEnd()
	}
}

// scheduleTurnEnd schedules a task that ends the turn. The task runs after all sockets that are ready have been read, so
// decisions are made with all of that known.
func (l *Loop) scheduleTurnEnd() {
	if !l.turnEndSet {
		l.turnEndSet = true
		l.reactor.Defer(l.endTurn)
	}
}

// endTurn asks the router for its decisions, unless they are postponed to read the sockets again first.
func (l *Loop) endTurn() {
	if l.postponeAfterPause() {
		return
	}
	l.receiveListAnswers() // before turnEndSet is cleared: the events that it brings belong to this turn
	l.turnEndSet = false
	for p := range l.unsentPeers {
		l.updateUnsent(p)
	}
	l.processEvent(router.TurnEnded{})
	l.busySince = time.Time{} // later events belong to the next turn
	l.continueBacklog()
	if l.stopping {
		l.stopWhenFlushed()
	}
}

// perform carries out one effect.
func (l *Loop) perform(effect router.Effect) {
	switch e := effect.(type) {
	case router.SendToClient:
		if l.allowReply(e) {
			l.sendToClient(l.clients[e.Client], e.Message)
		}
	case router.SendToEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.sendCommand(p, e)
		}
	case router.PauseReading:
		if p := l.engines[e.Connection]; p != nil {
			p.stream.Pause(e.Pause)
		}
	case router.Release:
		e.Chain.Release()
	case router.CloseClient:
		if p := l.clients[e.Client]; p != nil {
			l.answerBeforeClose(p, e.End)
			l.endConnection(p, e.End)
		}
	case router.CloseEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.endConnection(p, e.End)
		} else if d := l.dials[e.Connection]; d != nil {
			d.Cancel()
			delete(l.dials, e.Connection)
		}
	case router.Dial:
		l.dial(e)
	case router.QueryList:
		l.sendListQuery(e.QueryID)
	case router.SetResolver:
		l.changeResolver(e.Resolver)
	case router.SetLimits:
		l.config.MemoryMB, l.config.Descriptors = e.MemoryMB, e.Descriptors
		l.setLimits()
	case router.SetTimer:
		l.setTimer(e.At)
	case router.ReportStatus:
		if l.reportStatus != nil {
			l.reportStatus(e.Status)
		}
	case router.SendToPeer:
		l.sendMessage(e)
	case router.ReportMembers:
		l.reportMembers(e.Members)
	case router.Log:
		l.writeLog(e)
	case router.Exit:
		l.answerBeforeStop()
		l.stopping, l.stopDeadline = true, time.Now().Add(max(time.Duration((e.Deadline-clock())*float64(time.Second)), flushTime))
		for _, p := range l.clients {
			delete(l.clients, p.number)
			p.rejecting = true
			l.startLinger(p, l.stopDeadline)
		}
		l.reactor.StopListening()
	}
}

// stopWhenFlushed stops the event loop once no client lingers any more, or once the deadline has passed.
func (l *Loop) stopWhenFlushed() {
	if len(l.lingering) == 0 && !l.reactor.Listening() || time.Now().After(l.stopDeadline.Add(lingerTimeout)) {
		l.reactor.Stop()
		return
	}
	l.scheduleLingerCheck()
}

// setTimer sets the router's only timer to a time of clock, replacing an earlier setting.
func (l *Loop) setTimer(at float64) {
	wait := max(time.Duration((at-clock())*float64(time.Second)), 0)
	if l.timer != nil {
		l.timer.Reset(wait)
		return
	}
	l.timer = time.AfterFunc(wait, func() {
		l.reactor.Post(func() {
			l.processEvent(router.TimerFired{})
		})
	})
}

// dial opens a connection to an engine and tells the router whether it succeeded.
func (l *Loop) dial(e router.Dial) {
	within := time.Duration(e.Timeout * float64(time.Second))
	l.dials[e.Connection] = l.reactor.Dial(e.Address, within, func(s *reactor.Stream, err error) {
		delete(l.dials, e.Connection)
		if err == nil {
			l.engineConnected(s, e)
			return
		}
		end := router.ResetByPeer
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			end = router.DialRefused
		case transient.Is(err): // a shortage of this process, no fault of the engine
			end = router.NoDescriptors
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
			end = router.DialTimedOut
		}
		l.log.Info("dial failed", zap.Uint64("connection", e.Connection), zap.String("address", e.Address), zap.Stringer("end", end), zap.Error(err))
		l.processEvent(router.EngineEnded{Connection: e.Connection, End: end})
	})
}

var zapLevels = map[router.Level]zapcore.Level{router.Debug: zap.DebugLevel, router.Info: zap.InfoLevel,
	router.Warn: zap.WarnLevel}

// writeLog writes a log line that the router asked for.
func (l *Loop) writeLog(e router.Log) {
	checked := l.log.Check(zapLevels[e.Level], e.Text)
	if checked == nil {
		return
	}
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields = append(fields, zap.Any(e.Fields[i].(string), e.Fields[i+1]))
	}
	checked.Write(fields...)
}
