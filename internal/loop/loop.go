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
	peerUnread  = 2 << 20 // bytes that a peer may leave unread: more than all answers of one connection
	peerShare   = 0.05    // or this of the memory limit
	unreadShare = 0.15    // what all peers leave unread
	wholeShare  = 0.35    // all that is held, beyond which nothing that is not whole is kept
	freeShare   = 0.05    // buffers that wait to be used again
	someMemory  = 64      // MB, where no limit is told
	flushTime   = 300 * time.Millisecond
	slowAt      = 128 << 10 // bytes unread at which the engine waits for a client that gets its result in parts
	slowEvery   = 5 * time.Millisecond
	readSize    = 64 << 10
)

type kind uint8

const (
	toClient kind = iota
	toEngine
)

func (k kind) String() string { return [...]string{"client", "engine"}[k] }

// Listener is where clients of one protocol connect.
type Listener struct {
	Address string // host:port
	Speaks  *traffic.ClientProtocol
}

// World is what the loop is wired to: a protocol for each listener, and for each engine.
type World struct {
	Listeners []Listener
	Speaks    router.ProtocolFunc
	Pool      *buffers.Pool
	Levels    *router.LevelsSet   // of reduced service; nil: off
	Routes    *router.RoutesSet   // limits of routes; nil: none
	Status    func(router.Status) // is told how the router stands, where levels are on
	Talk      *Talk               // with other routers; nil: none
}

// Reload is what takes the place of what was told before.
type Reload struct {
	Config config.Config
	Levels *router.LevelsSet // nil: as they were
	Routes *router.RoutesSet // likewise
}

// peer is one connection.
type peer struct {
	loop   *Loop
	kind   kind
	number uint64
	stream *reactor.Stream
	client traffic.Client // of its protocol; or
	engine traffic.Engine
	speaks *traffic.EngineProtocol
	in     *buffers.Chain
	unread int  // bytes that wait to be written
	slow   bool // so many that the router was told

	opening bool // it has just been accepted
	half    bool // part of a message is there, and the router knows
	lingers bool // we have ended it, and read on until it closes
	late    bool // it was accepted after the end was decided
	refuses bool // what is asked on it is refused
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
	names            nameSockets
	resolver         string // where the name service is asked
	moves            uint64 // how often that has changed
	numbers          uint64
	waiting          map[*peer]struct{} // with bytes that wait to be written
	behind           map[*peer]struct{} // engines that requests wait for, until they have read what was written
	unread           int
	mostUnread       int // of all peers, in bytes
	peerUnread       int // of one
	mostHeld         int // in bytes

	guard     *guard.Guard
	owed, out *buffers.Chain // empty but while a message is made
	status    func(router.Status)
	talk      *talker       // nil: there is no talk
	watching  bool          // slow clients
	verifying chan struct{} // as many as run at a time

	queue     []router.Event
	running   bool
	stepAt    time.Time // when the handling of the present event began
	busySince time.Time // when the first event came since decisions were made last; zero: none has
	postponed bool      // the decisions of this turn, once already
	delays    delays
	armed     bool
	timer     *time.Timer
	ended     bool
	endBy     time.Time

	lingering []*lingerer // the oldest first
	lingerSet bool        // they are looked after soon
}

// Run serves until the context ends and all that was taken is answered. A configuration that was read again takes
// the place of the one before.
func Run(ctx context.Context, c config.Config, w World, reloads <-chan Reload, log *zap.Logger) error {
	l := &Loop{config: c, log: log, pool: w.Pool, guard: guard.New(), verifying: make(chan struct{}, 2), clients: map[uint64]*peer{}, engines: map[uint64]*peer{},
		dials: map[uint64]*reactor.Dialing{}, waiting: map[*peer]struct{}{}, behind: map[*peer]struct{}{}, resolver: c.Resolver, status: w.Status}
	l.bound()
	l.owed, l.out = l.pool.Chain(), l.pool.Chain()
	l.router = router.New(c, w.Speaks, l.pool, clock())
	var err error
	if l.reactor, err = reactor.New(readSize, l.callFailed); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	for _, one := range w.Listeners {
		accepted := func(s *reactor.Stream) reactor.StreamHandler { return l.accepted(s, one.Speaks) }
		if err := l.reactor.Listen(one.Address, accepted); err != nil {
			return fmt.Errorf("serve: %w", err)
		}
	}
	if w.Talk != nil {
		l.talk = newTalker(w.Talk)
		if l.talk.socket, err = l.reactor.ListenDatagrams(w.Talk.Settings.Listen, l.talkCame); err != nil {
			return fmt.Errorf("talk: %w", err)
		}
	}
	l.reactor.Post(func() { l.begin(w) })
	stop := context.AfterFunc(ctx, func() { l.reactor.Post(func() { l.post(router.StopAsked{}) }) })
	defer stop()
	go l.reload(ctx, reloads)
	l.reactor.Run()
	return nil
}

// begin is the first that the loop does.
func (l *Loop) begin(w World) {
	l.joinNames(l.resolver, l.moves)
	if w.Levels != nil {
		l.post(*w.Levels)
	}
	if w.Routes != nil {
		l.post(*w.Routes)
	}
	l.beginTalk()
	l.decideSoon()
}

// callFailed notes a system call that failed and is done again.
func (l *Loop) callFailed(f reactor.Failure) {
	l.log.Info("system call failed, it is done again", zap.String("call", f.Call), zap.Error(f.Err), zap.Int("failures", l.reactor.Failures()))
}

func share(of float64, c config.Config) int {
	return int(of * float64(cmp.Or(c.MemoryMB, someMemory)) * (1 << 20))
}

// began ties the Unix clock to one that nobody sets.
var began = time.Now()

// clock gives Unix seconds as they were at the start, and from then on only what has passed: a clock that is set back would
// hold up all timers and make leases last, one that is set forward would end all that waits. No time that another machine tells
// is subtracted from it.
func clock() float64 {
	return float64(began.UnixMicro())/1e6 + time.Since(began).Seconds()
}

func (l *Loop) reload(ctx context.Context, reloads <-chan Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			l.reactor.Post(func() {
				l.post(router.Reloaded{Config: next.Config})
				if next.Levels != nil {
					l.post(*next.Levels)
				}
				if next.Routes != nil {
					l.post(*next.Routes)
				}
			})
		}
	}
}

// accepted takes in a client's connection; nil: it is not let in.
func (l *Loop) accepted(s *reactor.Stream, speaks *traffic.ClientProtocol) reactor.StreamHandler {
	l.numbers++
	if l.ended {
		return l.acceptedLate(s, speaks)
	}
	p := &peer{loop: l, kind: toClient, number: l.numbers, stream: s, in: l.pool.Chain(), client: speaks.New()}
	s.SetHandler(p)
	s.EnableDrain() // one that has gone must be known to have gone before anything is decided
	l.clients[p.number] = p
	l.guard.ClientOpened(p.number)
	p.opening = true
	l.post(router.ClientOpened{Client: p.number, Protocol: speaks})
	p.opening = false
	if !l.here(p) {
		l.drop(p)
		return nil
	}
	return p
}

// engineThere begins to speak on a new connection to an engine.
func (l *Loop) engineThere(s *reactor.Stream, e router.Dial) {
	p := &peer{loop: l, kind: toEngine, number: e.Connection, stream: s, in: l.pool.Chain(), speaks: e.Protocol, engine: e.Protocol.New()}
	s.SetHandler(p)
	l.engines[p.number] = p
	l.guard.EngineConnected(p.number)
	up := p.engine.Open(l.owed)
	l.write(p, l.owed)
	if up && l.here(p) {
		l.post(router.EngineOpened{Connection: p.number})
	}
}

// gone: a connection has ended without our asking for it, if it is still there.
func (l *Loop) gone(p *peer, err error) {
	end := endOf(err)
	if p.kind == toEngine && end.ByPeer() {
		l.guard.EngineClosedConnection(p.number)
	}
	l.drop(p)
	if p.lingers {
		l.forgetLinger(p)
		return
	}
	if end != router.ClosedByPeer {
		l.log.Info("connection failed", zap.Stringer("kind", p.kind), zap.Uint64("connection", p.number), zap.Int("unread", p.unread), zap.Error(err))
	}
	switch {
	case p.kind == toEngine && l.engines[p.number] == p:
		delete(l.engines, p.number)
		l.post(router.EngineEnded{Connection: p.number, End: end})
	case p.kind == toClient && l.clients[p.number] == p:
		delete(l.clients, p.number)
		l.post(router.ClientEnded{Client: p.number, End: end})
	}
}

// endOf tells by its error who has ended a connection.
func endOf(err error) router.CloseReason {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return router.ClosedByPeer
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return router.ResetByPeer
	}
	return router.Unreachable
}

func (l *Loop) drop(p *peer) {
	if p.kind == toClient {
		l.guard.ClientClosed(p.number)
	} else {
		l.guard.EngineDisconnected(p.number)
	}
	p.in.Release()
	l.unread -= p.unread
	p.unread = 0
	delete(l.waiting, p)
	delete(l.behind, p)
}

// end closes a connection of ours; what it would tell of that is known already. A client that does not read, or takes too
// much memory, does not linger.
func (l *Loop) end(p *peer, why router.CloseReason) {
	switch p.kind {
	case toEngine:
		delete(l.engines, p.number)
	case toClient:
		delete(l.clients, p.number)
		l.guard.ClientClosed(p.number)
		if !p.opening && why != router.PeerNotReading && why != router.BufferLimitExceeded {
			p.refuses = why != router.BadInput && why != router.LoginRefused
			l.linger(p, time.Now().Add(flushTime))
			return
		}
	}
	if !p.opening { // else whoever accepts it closes it
		l.close(p)
	}
}

// Received takes in what a peer has sent. What comes from one that lingers is refused until our side is shut, and then dropped.
func (p *peer) Received(data []byte) {
	switch {
	case !p.lingers:
		p.loop.came(p, data)
	case p.refuses:
		p.loop.refuse(p, data)
	}
}

// Ended takes note of a connection that its peer or the network has ended.
func (p *peer) Ended(err error) { p.loop.gone(p, err) }

// came takes in what a peer has sent.
func (l *Loop) came(p *peer, data []byte) {
	p.in.Write(data)
	for l.here(p) {
		event, err := l.next(p)
		if l.owed.Len() > 0 {
			l.write(p, l.owed)
		}
		if !l.here(p) {
			break
		}
		if err != nil {
			l.log.Warn("can't be read", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind), zap.Error(err))
			end := router.BadInput
			if errors.Is(err, traffic.ErrLogin) {
				end = router.LoginRefused
			}
			l.broken(p, end)
			return
		}
		if event == nil {
			break
		}
		p.half = false
		l.post(event)
	}
	if l.here(p) && !p.half && (p.in.Len() > 0 || p.client != nil && p.client.Half()) {
		p.half = true
		if p.kind == toClient {
			l.post(router.ClientMessageStarted{Client: p.number})
		} else {
			l.post(router.EngineReplyStarted{Connection: p.number})
		}
	}
	if l.here(p) && p.in.Len() > buffers.Size && l.pool.InUse()*buffers.Size > l.mostHeld {
		l.broken(p, router.BufferLimitExceeded)
	}
}

func (l *Loop) here(p *peer) bool { return l.clients[p.number] == p || l.engines[p.number] == p }

func (l *Loop) next(p *peer) (router.Event, error) {
	if p.kind == toEngine {
		reply, err := p.engine.Read(p.in, l.owed)
		if reply == nil {
			return nil, err
		}
		if reply.Word == traffic.Up {
			return router.EngineOpened{Connection: p.number}, nil
		}
		return router.EngineReplied{Connection: p.number, Reply: reply}, nil
	}
	said, err := p.client.Read(p.in, l.owed)
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
	l.verifying <- struct{}{}
	err := v.Run()
	<-l.verifying
	l.reactor.Post(func() {
		if !l.here(p) {
			return
		}
		said, err := v.Done(err, l.owed)
		l.write(p, l.owed)
		switch {
		case !l.here(p):
		case err != nil:
			l.log.Warn("not let in", zap.Uint64("connection", p.number), zap.Error(err))
			l.broken(p, router.LoginRefused)
		default:
			l.post(router.ClientMessage{Client: p.number, Message: said})
			if l.here(p) {
				l.came(p, nil)
			}
		}
	})
}

// broken ends a connection that is of no more use.
func (l *Loop) broken(p *peer, end router.CloseReason) {
	if p.lingers {
		l.close(p)
		return
	}
	if !l.here(p) {
		return
	}
	if p.kind == toClient && end == router.BadInput {
		l.post(router.ClientInvalid{Client: p.number})
		return
	}
	l.log.Warn("connection ended", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind),
		zap.Stringer("end", end), zap.Int("unread", p.unread), zap.Int("held", l.pool.InUse()*buffers.Size))
	l.end(p, end)
	if p.kind == toEngine {
		l.post(router.EngineEnded{Connection: p.number, End: end})
	} else {
		l.post(router.ClientEnded{Client: p.number, End: end})
	}
}

// post brings an event to the router and does what it asks for. What comes of that meanwhile waits its turn.
func (l *Loop) post(e router.Event) {
	l.queue = append(l.queue, e)
	if l.running {
		return
	}
	l.running = true
	more := false // something came in that the module has not been asked about
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		_, last := e.(router.TurnEnded)
		more = !last
		l.stepAt = time.Now()
		if l.busySince.IsZero() {
			l.busySince = l.stepAt
		}
		l.observe(e)
		for _, what := range l.router.Reduce(clock(), e) {
			l.do(what)
		}
		l.stepTook(e, l.stepAt)
	}
	l.queue, l.running = l.queue[:0], false
	if more {
		l.decideSoon()
	}
}

// decideSoon ends the turn by a task. It runs after all that is ready to be read, so the module is pulled when it knows all
// of that.
func (l *Loop) decideSoon() {
	if !l.armed {
		l.armed = true
		l.reactor.Defer(l.turnEnded)
	}
}

func (l *Loop) turnEnded() {
	if l.overslept() {
		return
	}
	l.readNames() // while the next turn is still taken for armed: this one comes after it
	l.armed = false
	for p := range l.waiting {
		l.count(p)
	}
	l.post(router.TurnEnded{})
	l.busySince = time.Time{} // what comes from now on is another turn's
	if l.ended {
		l.flushed()
	}
}

func (l *Loop) do(what router.Effect) {
	switch e := what.(type) {
	case router.SendToClient:
		if l.mayTell(e) {
			l.tell(l.clients[e.Client], e.Message)
		}
	case router.SendToEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.order(p, e)
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
			l.end(p, e.End)
		}
	case router.CloseEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.end(p, e.End)
		} else if d := l.dials[e.Connection]; d != nil {
			d.Cancel()
			delete(l.dials, e.Connection)
		}
	case router.Dial:
		l.dial(e)
	case router.QueryList:
		l.askNames(e.QueryID)
	case router.SetResolver:
		l.askAt(e.Resolver)
	case router.SetLimits:
		l.config.MemoryMB, l.config.Descriptors = e.MemoryMB, e.Descriptors
		l.bound()
	case router.SetTimer:
		l.setTimer(e.At)
	case router.ReportStatus:
		if l.status != nil {
			l.status(e.Status)
		}
	case router.SendToPeer:
		l.say(e)
	case router.ReportMembers:
		l.tellMembers(e.Members)
	case router.Log:
		l.print(e)
	case router.Exit:
		l.answerBeforeEnd()
		l.ended, l.endBy = true, time.Now().Add(max(time.Duration((e.Deadline-clock())*float64(time.Second)), flushTime))
		for _, p := range l.clients {
			delete(l.clients, p.number)
			p.refuses = true
			l.linger(p, l.endBy)
		}
		l.reactor.StopListening()
	}
}

func (l *Loop) bound() {
	l.mostUnread, l.mostHeld = share(unreadShare, l.config), share(wholeShare, l.config)
	l.peerUnread = min(peerUnread, share(peerShare, l.config))
	l.pool.MaxFree = share(freeShare, l.config) / buffers.Size
}

// flushed ends the loop once no client lingers any more, or nobody reads what waits for them.
func (l *Loop) flushed() {
	if len(l.lingering) == 0 && !l.reactor.Listening() || time.Now().After(l.endBy.Add(lingerTime)) {
		l.reactor.Stop()
		return
	}
	l.lingerSoon()
}

func (l *Loop) setTimer(at float64) {
	wait := max(time.Duration((at-clock())*float64(time.Second)), 0)
	if l.timer != nil {
		l.timer.Reset(wait)
		return
	}
	l.timer = time.AfterFunc(wait, func() {
		l.reactor.Post(func() {
			l.post(router.TimerFired{})
		})
	})
}

// tell hands a client what it is told; rows are given back.
func (l *Loop) tell(p *peer, what traffic.Tell) {
	if p != nil {
		p.client.Tell(l.out, what)
		if l.out.Len() > 0 {
			l.write(p, l.out)
		}
	}
	switch w := what.(type) {
	case *traffic.Answer:
		rows.Release(w.Rows)
	case *traffic.Rows:
		w.Part.Release()
		if p != nil && l.here(p) && !p.slow && p.stream.Unsent() > slowAt {
			p.slow = true
			l.post(router.ClientUnread{Client: p.number, Full: true})
			l.watch()
		}
	}
}

// watch looks after slow clients, and engines that requests wait for, until they have read.
func (l *Loop) watch() {
	if l.watching {
		return
	}
	l.watching = true
	time.AfterFunc(slowEvery, func() {
		l.reactor.Post(func() {
			l.watching = false
			for p := range l.waiting {
				l.count(p)
			}
			more := l.tellRead()
			for _, p := range l.clients {
				if !p.slow {
					continue
				}
				if p.stream.Unsent() < slowAt/4 {
					p.slow = false
					l.post(router.ClientUnread{Client: p.number})
				} else {
					more = true
				}
			}
			if more {
				l.watch()
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
	if p.stream.Unsent()+data.Len() > l.peerUnread {
		l.broken(p, router.PeerNotReading)
		return
	}
	p.stream.Write(data.Parts())
	if !l.here(p) { // it has ended, and that is told
		return
	}
	l.count(p)
	if l.unread > l.mostUnread {
		worst := p
		for other := range l.waiting {
			if other.unread > worst.unread {
				worst = other
			}
		}
		l.broken(worst, router.PeerNotReading)
	}
}

func (l *Loop) count(p *peer) {
	n := p.stream.Unsent()
	l.unread += n - p.unread
	if p.unread = n; n > 0 {
		l.waiting[p] = struct{}{}
	} else {
		delete(l.waiting, p)
	}
}

// dial makes a connection to an engine.
func (l *Loop) dial(e router.Dial) {
	within := time.Duration(e.Timeout * float64(time.Second))
	l.dials[e.Connection] = l.reactor.Dial(e.Address, within, func(s *reactor.Stream, err error) {
		delete(l.dials, e.Connection)
		if err == nil {
			l.engineThere(s, e)
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
		l.post(router.EngineEnded{Connection: e.Connection, End: end})
	})
}

var levels = map[router.Level]zapcore.Level{router.Debug: zap.DebugLevel, router.Info: zap.InfoLevel,
	router.Warn: zap.WarnLevel}

func (l *Loop) print(e router.Log) {
	ce := l.log.Check(levels[e.Level], e.Text)
	if ce == nil {
		return
	}
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields = append(fields, zap.Any(e.Fields[i].(string), e.Fields[i+1]))
	}
	ce.Write(fields...)
}
