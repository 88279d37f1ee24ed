// Package loop runs the router on one event loop: sockets and timers in, effects out. It decides nothing.
package loop

import (
	"cmp"
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
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
	"pitchfield/internal/transient"
)

const (
	maxPeerUnsentBytes  = 2 << 20 // bytes that a peer may leave unread: more than all answers of one connection
	peerUnsentFraction  = 0.05    // or this of the memory limit
	totalUnsentFraction = 0.15    // what all peers leave unread
	bufferedFraction    = 0.35    // all that is held, beyond which nothing that is not whole is kept
	freeBufferFraction  = 0.05    // buffers that wait to be used again
	defaultMemoryMB     = 64      // MB, where no limit is told
	flushTime           = 300 * time.Millisecond
	slowClientBytes     = 128 << 10 // bytes unread at which the engine waits for a client that gets its result in parts
	unreadCheckInterval = 5 * time.Millisecond
	readSize            = 64 << 10
)

type peerKind uint8

const (
	clientPeer peerKind = iota
	enginePeer
)

func (k peerKind) String() string { return [...]string{"client", "engine"}[k] }

// Listener is where clients of one protocol connect.
type Listener struct {
	Address  string // host:port
	Protocol *traffic.ClientProtocol
}

// Environment is what the loop is wired to: a protocol for each listener, and for each engine.
type Environment struct {
	Listeners      []Listener
	EngineProtocol router.ProtocolFunc
	Pool           *buffers.Pool
	Levels         *router.LevelsSet   // of reduced service; nil: off
	Routes         *router.RoutesSet   // limits of routes; nil: none
	ReportStatus   func(router.Status) // is told how the router stands, where levels are on
	PeerMessaging  *PeerMessaging      // with other routers; nil: none
}

// Reload is what takes the place of what was told before.
type Reload struct {
	Config config.Config
	Levels *router.LevelsSet // nil: as they were
	Routes *router.RoutesSet // likewise
}

// peer is one connection.
type peer struct {
	loop     *Loop
	kind     peerKind
	number   uint64
	stream   *reactor.Stream
	client   traffic.Client // of its protocol; or
	engine   traffic.Engine
	protocol *traffic.EngineProtocol
	received *buffers.Chain
	unsent   int  // bytes that wait to be written
	slow     bool // so many that the router was told

	opening      bool // it has just been accepted
	hasPartial   bool // part of a message is there, and the router knows
	lingering    bool // we have ended it, and read on until it closes
	acceptedLate bool // it was accepted after the end was decided
	rejecting    bool // what is asked on it is refused
}

// Loop ties the router to its sockets; all of it runs on the event loop.
type Loop struct {
	config  config.Config
	log     *zap.Logger
	pool    *buffers.Pool
	router  *router.Router
	reactor *reactor.Reactor

	clients, engines map[uint64]*peer
	dials            map[uint64]*reactor.Dialing // connections to engines that are not up yet
	nameSockets      nameSockets
	resolver         string // where the name service is asked
	resolverVersion  uint64 // how often that has changed
	lastNumber       uint64
	unsentPeers      map[*peer]struct{} // with bytes that wait to be written
	unreadEngines    map[*peer]struct{} // engines that requests wait for, until they have read what was written
	unsentBytes      int
	maxUnsent        int // of all peers, in bytes
	maxPeerUnsent    int // of one
	maxBuffered      int // in bytes

	guard                *guard.Guard
	protocolOut, encoded *buffers.Chain // empty but while a message is made
	reportStatus         func(router.Status)
	messenger            *messenger    // nil: there is no talk
	unreadCheckSet       bool          // slow clients
	verifySlots          chan struct{} // as many as run at a time

	events       []router.Event
	processing   bool
	stepStart    time.Time // when the handling of the present event began
	busySince    time.Time // when the first event came since decisions were made last; zero: none has
	postponed    bool      // the decisions of this turn, once already
	delays       delays
	turnEndSet   bool
	timer        *time.Timer
	stopping     bool
	stopDeadline time.Time

	lingering      []*lingeringPeer // the oldest first
	lingerCheckSet bool             // they are looked after soon
}

// Run serves until the context ends and all that was taken is answered. A configuration that was read again takes
// the place of the one before.
func Run(ctx context.Context, c config.Config, w Environment, reloads <-chan Reload, log *zap.Logger) error {
	l := &Loop{config: c, log: log, pool: w.Pool, guard: guard.New(), verifySlots: make(chan struct{}, 2), clients: map[uint64]*peer{}, engines: map[uint64]*peer{},
		dials: map[uint64]*reactor.Dialing{}, unsentPeers: map[*peer]struct{}{}, unreadEngines: map[*peer]struct{}{}, resolver: c.Resolver, reportStatus: w.ReportStatus}
	l.setLimits()
	l.protocolOut, l.encoded = l.pool.Chain(), l.pool.Chain()
	l.router = router.New(c, w.EngineProtocol, l.pool, clock())
	var err error
	if l.reactor, err = reactor.New(readSize, l.logCallFailure); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	for _, one := range w.Listeners {
		accepted := func(s *reactor.Stream) reactor.StreamHandler { return l.acceptClient(s, one.Protocol) }
		if err := l.reactor.Listen(one.Address, accepted); err != nil {
			return fmt.Errorf("serve: %w", err)
		}
	}
	if w.PeerMessaging != nil {
		l.messenger = newMessenger(w.PeerMessaging)
		if l.messenger.socket, err = l.reactor.ListenDatagrams(w.PeerMessaging.Settings.Listen, l.receiveDatagram); err != nil {
			return fmt.Errorf("talk: %w", err)
		}
	}
	l.reactor.Post(func() { l.start(w) })
	stop := context.AfterFunc(ctx, func() { l.reactor.Post(func() { l.processEvent(router.StopAsked{}) }) })
	defer stop()
	go l.forwardReloads(ctx, reloads)
	l.reactor.Run()
	return nil
}

// start is the first that the loop does.
func (l *Loop) start(w Environment) {
	l.openNameSocket(l.resolver, l.resolverVersion)
	if w.Levels != nil {
		l.processEvent(*w.Levels)
	}
	if w.Routes != nil {
		l.processEvent(*w.Routes)
	}
	l.startPeerMessaging()
	l.scheduleTurnEnd()
}

// logCallFailure notes a system call that failed and is done again.
func (l *Loop) logCallFailure(f reactor.Failure) {
	l.log.Info("system call failed, it is done again", zap.String("call", f.Call), zap.Error(f.Err), zap.Int("failures", l.reactor.Failures()))
}

func memoryFraction(of float64, c config.Config) int {
	return int(of * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20))
}

// processStart ties the Unix clock to one that nobody sets.
var processStart = time.Now()

// clock gives Unix seconds as they were at the start, and from then on only what has passed: a clock that is set back would
// hold up all timers and make leases last, one that is set forward would end all that waits. No time that another machine tells
// is subtracted from it.
func clock() float64 {
	return float64(processStart.UnixMicro())/1e6 + time.Since(processStart).Seconds()
}

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

// acceptClient takes in a client's connection; nil: it is not let in.
func (l *Loop) acceptClient(s *reactor.Stream, speaks *traffic.ClientProtocol) reactor.StreamHandler {
	l.lastNumber++
	if l.stopping {
		return l.acceptWhileStopping(s, speaks)
	}
	p := &peer{loop: l, kind: clientPeer, number: l.lastNumber, stream: s, received: l.pool.Chain(), client: speaks.New()}
	s.SetHandler(p)
	s.EnableDrain() // one that has gone must be known to have gone before anything is decided
	l.clients[p.number] = p
	l.guard.ClientOpened(p.number)
	p.opening = true
	l.processEvent(router.ClientOpened{Client: p.number, Protocol: speaks})
	p.opening = false
	if !l.isOpen(p) {
		l.releasePeer(p)
		return nil
	}
	return p
}

// engineConnected begins to speak on a new connection to an engine.
func (l *Loop) engineConnected(s *reactor.Stream, e router.Dial) {
	p := &peer{loop: l, kind: enginePeer, number: e.Connection, stream: s, received: l.pool.Chain(), protocol: e.Protocol, engine: e.Protocol.New()}
	s.SetHandler(p)
	l.engines[p.number] = p
	l.guard.EngineConnected(p.number)
	up := p.engine.Open(l.protocolOut)
	l.write(p, l.protocolOut)
	if up && l.isOpen(p) {
		l.processEvent(router.EngineOpened{Connection: p.number})
	}
}

// connectionEnded: a connection has ended without our asking for it, if it is still there.
func (l *Loop) connectionEnded(p *peer, err error) {
	end := endReason(err)
	if p.kind == enginePeer && end.ByPeer() {
		l.guard.EngineClosedConnection(p.number)
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

// endReason tells by its error who has ended a connection.
func endReason(err error) router.CloseReason {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return router.ClosedByPeer
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return router.ResetByPeer
	}
	return router.Unreachable
}

func (l *Loop) releasePeer(p *peer) {
	if p.kind == clientPeer {
		l.guard.ClientClosed(p.number)
	} else {
		l.guard.EngineDisconnected(p.number)
	}
	p.received.Release()
	l.unsentBytes -= p.unsent
	p.unsent = 0
	delete(l.unsentPeers, p)
	delete(l.unreadEngines, p)
}

// endConnection closes a connection of ours; what it would tell of that is known already. A client that does not read, or takes too
// much memory, does not linger.
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
	if !p.opening { // else whoever accepts it closes it
		l.closeNow(p)
	}
}

// Received takes in what a peer has sent. What comes from one that lingers is refused until our side is shut, and then dropped.
func (p *peer) Received(data []byte) {
	switch {
	case !p.lingering:
		p.loop.receive(p, data)
	case p.rejecting:
		p.loop.rejectRequests(p, data)
	}
}

// Ended takes note of a connection that its peer or the network has ended.
func (p *peer) Ended(err error) { p.loop.connectionEnded(p, err) }

// receive takes in what a peer has sent.
func (l *Loop) receive(p *peer, data []byte) {
	p.received.Write(data)
	for l.isOpen(p) {
		event, err := l.nextEvent(p)
		if l.protocolOut.Len() > 0 {
			l.write(p, l.protocolOut)
		}
		if !l.isOpen(p) {
			break
		}
		if err != nil {
			l.log.Warn("can't be read", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind), zap.Error(err))
			end := router.BadInput
			if errors.Is(err, traffic.ErrLogin) {
				end = router.LoginRefused
			}
			l.failConnection(p, end)
			return
		}
		if event == nil {
			break
		}
		p.hasPartial = false
		l.processEvent(event)
	}
	if l.isOpen(p) && !p.hasPartial && (p.received.Len() > 0 || p.client != nil && p.client.HasPartial()) {
		p.hasPartial = true
		if p.kind == clientPeer {
			l.processEvent(router.ClientMessageStarted{Client: p.number})
		} else {
			l.processEvent(router.EngineReplyStarted{Connection: p.number})
		}
	}
	if l.isOpen(p) && p.received.Len() > buffers.Size && l.pool.InUse()*buffers.Size > l.maxBuffered {
		l.failConnection(p, router.BufferLimitExceeded)
	}
}

func (l *Loop) isOpen(p *peer) bool { return l.clients[p.number] == p || l.engines[p.number] == p }

func (l *Loop) nextEvent(p *peer) (router.Event, error) {
	if p.kind == enginePeer {
		reply, err := p.engine.Read(p.received, l.protocolOut)
		if reply == nil {
			return nil, err
		}
		if reply.Kind == traffic.ReplyReady {
			return router.EngineOpened{Connection: p.number}, nil
		}
		return router.EngineReplied{Connection: p.number, Reply: reply}, nil
	}
	said, err := p.client.Read(p.received, l.protocolOut)
	if said == nil {
		return nil, err
	}
	if v, is := said.(*traffic.Verify); is {
		go l.verify(p, v)
		return nil, nil
	}
	return router.ClientMessage{Client: p.number, Message: said}, nil
}

// verify runs beside the loop what takes long, a few at a time, and goes on with the connection afterwards.
func (l *Loop) verify(p *peer, v *traffic.Verify) {
	l.verifySlots <- struct{}{}
	err := v.Run()
	<-l.verifySlots
	l.reactor.Post(func() {
		if !l.isOpen(p) {
			return
		}
		said, err := v.Done(err, l.protocolOut)
		l.write(p, l.protocolOut)
		switch {
		case !l.isOpen(p):
		case err != nil:
			l.log.Warn("not let in", zap.Uint64("connection", p.number), zap.Error(err))
			l.failConnection(p, router.LoginRefused)
		default:
			l.processEvent(router.ClientMessage{Client: p.number, Message: said})
			if l.isOpen(p) {
				l.receive(p, nil)
			}
		}
	})
}

// failConnection ends a connection that is of no more use.
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

// processEvent brings an event to the router and does what it asks for. What comes of that meanwhile waits its turn.
func (l *Loop) processEvent(e router.Event) {
	l.events = append(l.events, e)
	if l.processing {
		return
	}
	l.processing = true
	more := false // something came in that the module has not been asked about
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
		for _, what := range l.router.Reduce(clock(), e) {
			l.perform(what)
		}
		l.recordStep(e, l.stepStart)
	}
	l.events, l.processing = l.events[:0], false
	if more {
		l.scheduleTurnEnd()
	}
}

// scheduleTurnEnd ends the turn by a task. It runs after all that is ready to be read, so the module is pulled when it knows all
// of that.
func (l *Loop) scheduleTurnEnd() {
	if !l.turnEndSet {
		l.turnEndSet = true
		l.reactor.Defer(l.endTurn)
	}
}

func (l *Loop) endTurn() {
	if l.postponeAfterPause() {
		return
	}
	l.receiveListAnswers() // while the next turn is still taken for armed: this one comes after it
	l.turnEndSet = false
	for p := range l.unsentPeers {
		l.updateUnsent(p)
	}
	l.processEvent(router.TurnEnded{})
	l.busySince = time.Time{} // what comes from now on is another turn's
	if l.stopping {
		l.stopWhenFlushed()
	}
}

func (l *Loop) perform(what router.Effect) {
	switch e := what.(type) {
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

func (l *Loop) setLimits() {
	l.maxUnsent, l.maxBuffered = memoryFraction(totalUnsentFraction, l.config), memoryFraction(bufferedFraction, l.config)
	l.maxPeerUnsent = min(maxPeerUnsentBytes, memoryFraction(peerUnsentFraction, l.config))
	l.pool.MaxFree = memoryFraction(freeBufferFraction, l.config) / buffers.Size
}

// stopWhenFlushed ends the loop once no client lingers any more, or nobody reads what waits for them.
func (l *Loop) stopWhenFlushed() {
	if len(l.lingering) == 0 && !l.reactor.Listening() || time.Now().After(l.stopDeadline.Add(lingerTimeout)) {
		l.reactor.Stop()
		return
	}
	l.scheduleLingerCheck()
}

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

// sendToClient hands a client what it is told; rows are given back.
func (l *Loop) sendToClient(p *peer, what traffic.ClientReply) {
	if p != nil {
		p.client.Encode(l.encoded, what)
		if l.encoded.Len() > 0 {
			l.write(p, l.encoded)
		}
	}
	switch w := what.(type) {
	case *traffic.Answer:
		rows.Release(w.Rows)
	case *traffic.Rows:
		w.Part.Release()
		if p != nil && l.isOpen(p) && !p.slow && p.stream.Unsent() > slowClientBytes {
			p.slow = true
			l.processEvent(router.ClientUnread{Client: p.number, Full: true})
			l.scheduleUnreadCheck()
		}
	}
}

// scheduleUnreadCheck looks after slow clients, and engines that requests wait for, until they have read.
func (l *Loop) scheduleUnreadCheck() {
	if l.unreadCheckSet {
		return
	}
	l.unreadCheckSet = true
	time.AfterFunc(unreadCheckInterval, func() {
		l.reactor.Post(func() {
			l.unreadCheckSet = false
			for p := range l.unsentPeers {
				l.updateUnsent(p)
			}
			more := l.reportReadEngines()
			for _, p := range l.clients {
				if !p.slow {
					continue
				}
				if p.stream.Unsent() < slowClientBytes/4 {
					p.slow = false
					l.processEvent(router.ClientUnread{Client: p.number})
				} else {
					more = true
				}
			}
			if more {
				l.scheduleUnreadCheck()
			}
		})
	})
}

// write hands bytes to a peer. One who does not read is ended: what waits for it is bounded, alone and in all.
func (l *Loop) write(p *peer, data *buffers.Chain) {
	defer data.Release()
	if p == nil {
		return
	}
	if p.stream.Unsent()+data.Len() > l.maxPeerUnsent {
		l.failConnection(p, router.PeerNotReading)
		return
	}
	p.stream.Write(data.Parts())
	if !l.isOpen(p) { // it has ended, and that is told
		return
	}
	l.updateUnsent(p)
	if l.unsentBytes > l.maxUnsent {
		worst := p
		for other := range l.unsentPeers {
			if other.unsent > worst.unsent {
				worst = other
			}
		}
		l.failConnection(worst, router.PeerNotReading)
	}
}

func (l *Loop) updateUnsent(p *peer) {
	n := p.stream.Unsent()
	l.unsentBytes += n - p.unsent
	if p.unsent = n; n > 0 {
		l.unsentPeers[p] = struct{}{}
	} else {
		delete(l.unsentPeers, p)
	}
}

// dial makes a connection to an engine.
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
		case transient.Is(err): // says nothing of the engine
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

func (l *Loop) writeLog(e router.Log) {
	ce := l.log.Check(zapLevels[e.Level], e.Text)
	if ce == nil {
		return
	}
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields = append(fields, zap.Any(e.Fields[i].(string), e.Fields[i+1]))
	}
	ce.Write(fields...)
}
