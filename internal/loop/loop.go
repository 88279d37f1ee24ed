// Package loop runs the router on one gnet event loop: sockets and timers in, effects out. It decides nothing.
package loop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	errorx "github.com/panjf2000/gnet/v2/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/router"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

const (
	peerUnread  = 2 << 20 // bytes that a peer may leave unread: more than all answers of one connection
	peerShare   = 0.05    // or this of the memory limit
	unreadShare = 0.15    // what all peers leave unread
	wholeShare  = 0.35    // all that is held, beyond which nothing that is not whole is kept
	freeShare   = 0.05    // buffers that wait to be used again
	someMemory  = 64      // MB, where no limit is told
	flushTime   = 300 * time.Millisecond
	noTick      = time.Hour
	slowAt      = 128 << 10 // bytes unread at which the engine waits for a client that gets its result in parts
	slowEvery   = 5 * time.Millisecond
	readSize    = 64 << 10
	mostReads   = 16 // of one client in a row: the others wait
)

type kind uint8

const (
	toClient kind = iota
	toEngine
	toNames
)

func (k kind) String() string { return [...]string{"client", "engine", "name service"}[k] }

// socket is what is written to.
type socket interface {
	Writev([][]byte) (int, error)
	OutboundBuffered() int
}

// Listener is where clients of one protocol connect.
type Listener struct {
	Address string // host:port
	Speaks  *traffic.ClientProtocol
}

// World is what the loop is wired to: a protocol for each listener, and for each engine.
type World struct {
	Listeners []Listener
	Speaks    router.Speaks
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
	kind   kind
	number uint64
	conn   socket
	on     gnet.Conn      // of the loop's own; or
	held   *heldSocket    // one whose reading may pause
	client traffic.Client // of its protocol; or
	engine traffic.Engine
	speaks *traffic.EngineProtocol
	in     *buffers.Chain
	unread int  // bytes that wait to be written
	slow   bool // so many that the router was told

	opening bool // it is in OnOpen
	half    bool // part of a message is there, and the router knows
	lingers bool // we have ended it, and read on until it closes
}

// Loop is the event handler; all but Stop runs on the event loop.
type Loop struct {
	gnet.BuiltinEventEngine

	config config.Config
	log    *zap.Logger
	ctx    context.Context
	pool   *buffers.Pool
	router *router.Router
	turn   gnet.EventLoop // the one loop, known from the first connection on
	there  chan struct{}  // closed when it is
	engine gnet.Engine

	clients, engines map[uint64]*peer
	names            nameSockets
	resolver         string        // where the name service is asked
	moves            atomic.Uint64 // how often that has changed
	numbers          uint64
	waiting          map[*peer]struct{} // with bytes that wait to be written
	behind           map[*peer]struct{} // engines that requests wait for, until they have read what was written
	unread           int
	mostUnread       int // of all peers, in bytes
	peerUnread       int // of one
	mostHeld         int // in bytes

	listeners map[string]*traffic.ClientProtocol // by the address that clients connect to
	owed, out *buffers.Chain                     // empty but while a message is made
	levels    *router.LevelsSet                  // to be told once the loop is there
	routes    *router.RoutesSet
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

	piece     []byte      // to read into
	lingering []*lingerer // the oldest first
	lingerSet bool        // they are looked after soon
}

// Run serves until the context ends and all that was taken is answered. A configuration that was read again takes
// the place of the one before.
func Run(ctx context.Context, c config.Config, w World, reloads <-chan Reload, log *zap.Logger) error {
	l := &Loop{config: c, log: log, ctx: context.WithoutCancel(ctx), pool: w.Pool, listeners: map[string]*traffic.ClientProtocol{},
		verifying: make(chan struct{}, 2), there: make(chan struct{}), clients: map[uint64]*peer{}, engines: map[uint64]*peer{}, waiting: map[*peer]struct{}{},
		behind: map[*peer]struct{}{}, resolver: c.Resolver}
	l.bound()
	l.owed, l.out, l.levels, l.routes, l.status = l.pool.Chain(), l.pool.Chain(), w.Levels, w.Routes, w.Status
	l.router = router.New(c, w.Speaks, l.pool, clock())
	var addresses []string
	for _, one := range w.Listeners {
		l.listeners[one.Address] = one.Speaks
		addresses = append(addresses, "tcp://"+one.Address)
	}
	if w.Talk != nil {
		l.talk = newTalker(w.Talk)
		addresses = append(addresses, "udp://"+w.Talk.Settings.Listen)
	}
	stop := context.AfterFunc(ctx, l.stop)
	defer stop()
	go l.reload(ctx, reloads)
	// Sharing the port is how gnet puts accepting into the one loop; without, it runs a second for that.
	err := gnet.Rotate(l, addresses, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithLoadBalancing(gnet.LeastConnections), gnet.WithLogger(log.Sugar()),
		gnet.WithWriteBufferCap(buffers.Size*4))
	if err != nil {
		return fmt.Errorf("serve on %s: %w", c.Listen, err)
	}
	if !l.ended {
		return fmt.Errorf("serve on %s: the event loop has ended", c.Listen)
	}
	return nil
}

func share(of float64, c config.Config) int {
	return int(of * float64(cmp.Or(c.MemoryMB, someMemory)) * (1 << 20))
}

// began ties the Unix clock to one that nobody sets.
var began = time.Now()

// clock gives Unix seconds as they were at the start, and from then on only what has passed: a clock that is set back would
// hold up all timers and make leases last, one that is set forward would end all that waits. It hurts where the clock was
// wrong at the start: an engine's age is off by that until the next one.
func clock() float64 {
	return float64(began.UnixMicro())/1e6 + time.Since(began).Seconds()
}

func (l *Loop) stop() {
	<-l.there
	l.execute(func() error {
		l.post(router.StopAsked{})
		return nil
	})
}

func (l *Loop) reload(ctx context.Context, reloads <-chan Reload) {
	<-l.there
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			l.execute(func() error {
				l.post(router.Reloaded{Config: next.Config})
				if next.Levels != nil {
					l.post(*next.Levels)
				}
				if next.Routes != nil {
					l.post(*next.Routes)
				}
				return nil
			})
		}
	}
}

// execute runs something on the loop, soon.
func (l *Loop) execute(what func() error) {
	run := gnet.RunnableFunc(func(context.Context) error { return what() })
	if err := l.turn.Execute(l.ctx, run); err != nil {
		l.log.Warn("event loop is closed", zap.Error(err))
	}
}

// OnBoot keeps the engine.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	return gnet.None
}

// OnTick comes first when the loop is there; what it begins brings the loop itself to us.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	go l.joinNames(l.resolver, 0)
	return noTick, gnet.None
}

// join hands a connection to the loop and waits until it is there.
func (l *Loop) join(conn net.Conn, p *peer) error {
	there, err := l.engine.Register(gnet.NewContext(gnet.NewNetConnContext(l.ctx, conn), p))
	if err != nil {
		conn.Close()
		return fmt.Errorf("join the loop: %w", err)
	}
	return (<-there).Err
}

// OnOpen takes in a connection, accepted or made.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l.turn == nil {
		l.turn = c.EventLoop()
		close(l.there)
	}
	p, made := c.Context().(*peer)
	if l.ended && !made {
		return nil, gnet.Close
	}
	if !made {
		l.numbers++
		p = &peer{kind: toClient, number: l.numbers}
		c.SetContext(p)
	}
	p.conn, p.on, p.in = c, c, l.pool.Chain()
	switch p.kind {
	case toNames:
		if p.number != l.moves.Load() {
			return nil, gnet.Close
		}
		l.log.Debug("socket to the name service", zap.Uint64("number", p.number), zap.Stringer("to", c.RemoteAddr()))
		l.useNames(p)
		if l.levels != nil { // the first time: what comes later is a reload
			l.post(*l.levels)
			l.levels = nil
		}
		if l.routes != nil {
			l.post(*l.routes)
			l.routes = nil
		}
		l.beginTalk()
		l.decideSoon()
	case toEngine:
		p.opening = true
		l.engineThere(p)
		p.opening = false
		if !l.here(p) {
			return nil, gnet.Close
		}
	case toClient:
		speaks := l.listeners[c.LocalAddr().String()]
		if speaks == nil {
			l.log.Warn("nothing is spoken here", zap.Stringer("address", c.LocalAddr()))
			return nil, gnet.Close
		}
		p.client = speaks.New()
		l.clients[p.number] = p
		p.opening = true
		l.post(router.ClientOpened{Client: p.number, Speaks: speaks})
		p.opening = false
		if !l.here(p) { // it was not let in
			return nil, gnet.Close
		}
	}
	return nil, gnet.None
}

// engineThere begins to speak on a new connection to an engine.
func (l *Loop) engineThere(p *peer) {
	l.engines[p.number] = p
	p.engine = p.speaks.New()
	up := p.engine.Open(l.owed)
	l.write(p, l.owed)
	if up && l.here(p) {
		l.post(router.EngineOpened{Connection: p.number})
	}
}

// OnClose tells of a connection that ended without our asking for it.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	p, ok := c.Context().(*peer)
	if !ok {
		return gnet.None
	}
	l.gone(p, err)
	return gnet.None
}

// gone: a connection has ended without our asking for it, if it is still there.
func (l *Loop) gone(p *peer, err error) {
	l.drop(p)
	if p.lingers {
		l.forgetLinger(p)
		return
	}
	end := router.ClosedByPeer
	if err != nil && !errors.Is(err, io.EOF) {
		end = router.ResetByPeer
		l.log.Info("connection failed", zap.Stringer("kind", p.kind), zap.Uint64("connection", p.number), zap.Int("unread", p.unread), zap.Error(err))
	}
	switch {
	case p.kind == toNames:
		l.namesGone(p)
	case p.kind == toEngine && l.engines[p.number] == p:
		delete(l.engines, p.number)
		l.post(router.EngineEnded{Connection: p.number, End: end})
	case p.kind == toClient && l.clients[p.number] == p:
		delete(l.clients, p.number)
		l.post(router.ClientEnded{Client: p.number, End: end})
	}
}

func (l *Loop) drop(p *peer) {
	p.in.Release()
	l.unread -= p.unread
	p.unread = 0
	delete(l.waiting, p)
	delete(l.behind, p)
}

// end closes a connection of ours; what it would tell of that is known already. A client that does not read, or takes too
// much memory, does not linger.
func (l *Loop) end(p *peer, why router.End) {
	switch p.kind {
	case toEngine:
		delete(l.engines, p.number)
	case toClient:
		delete(l.clients, p.number)
		if !p.opening && why != router.Unread && why != router.NoMemory {
			l.linger(p, time.Now().Add(flushTime))
			return
		}
	}
	if p.held != nil {
		p.held.close()
		l.drop(p)
		return
	}
	if p.opening { // gnet is not done with it; OnOpen closes it
		return
	}
	l.close(p)
}

// OnTraffic reads all there is.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	p, ok := c.Context().(*peer)
	if !ok {
		if l.talk != nil {
			l.talkCame(c)
			return gnet.None
		}
		return gnet.Close
	}
	data, err := c.Next(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	switch {
	case p.lingers:
	case p.kind == toNames:
		l.namesSaid(p, data)
	default:
		l.came(p, data)
		if p.kind == toClient {
			l.drain(p)
		}
	}
	return gnet.None
}

// drain reads on until nothing is there. A client's end lies behind all that it has sent, and while that was read by pieces,
// one a turn, batches of somebody who had gone already went out. It hurts a little: a read more for each message.
func (l *Loop) drain(p *peer) {
	if l.piece == nil {
		l.piece = make([]byte, readSize)
	}
	for range mostReads {
		if !l.here(p) {
			return
		}
		n, err := syscall.Read(p.on.Fd(), l.piece)
		switch {
		case n > 0:
			l.came(p, l.piece[:n])
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default: // it has closed, or was reset
			l.close(p)
			return
		}
	}
}

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
			l.post(router.ClientBegan{Client: p.number})
		} else {
			l.post(router.EngineBegan{Connection: p.number})
		}
	}
	if l.here(p) && p.in.Len() > buffers.Size && l.pool.Used()*buffers.Size > l.mostHeld {
		l.broken(p, router.NoMemory)
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
		return router.EngineSaid{Connection: p.number, Reply: reply}, nil
	}
	said, err := p.client.Read(p.in, l.owed)
	if said == nil {
		return nil, err
	}
	if v, is := said.(*traffic.Verify); is {
		go l.verify(p, v)
		return nil, nil
	}
	return router.ClientSaid{Client: p.number, Said: said}, nil
}

// verify runs beside the loop what takes long, a few at a time, and goes on with the connection afterwards.
func (l *Loop) verify(p *peer, v *traffic.Verify) {
	l.verifying <- struct{}{}
	err := v.Run()
	<-l.verifying
	l.execute(func() error {
		if !l.here(p) {
			return nil
		}
		said, err := v.Done(err, l.owed)
		l.write(p, l.owed)
		switch {
		case !l.here(p):
		case err != nil:
			l.log.Warn("not let in", zap.Uint64("connection", p.number), zap.Error(err))
			l.broken(p, router.LoginRefused)
		default:
			l.post(router.ClientSaid{Client: p.number, Said: said})
			if l.here(p) {
				l.came(p, nil)
			}
		}
		return nil
	})
}

// broken ends a connection that is of no more use.
func (l *Loop) broken(p *peer, end router.End) {
	if p.lingers {
		l.close(p)
		return
	}
	if !l.here(p) {
		return
	}
	if p.kind == toClient && end == router.BadInput {
		l.post(router.ClientSpoilt{Client: p.number})
		return
	}
	l.log.Warn("connection ended", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind),
		zap.Stringer("end", end), zap.Int("unread", p.unread), zap.Int("held", l.pool.Used()*buffers.Size))
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
	if !l.armed && l.turn != nil {
		l.armed = true
		l.execute(l.turnEnded)
	}
}

func (l *Loop) turnEnded() error {
	if l.overslept() {
		return nil
	}
	l.readNames() // while the next turn is still taken for armed: this one comes after it
	l.armed = false
	for p := range l.waiting {
		l.count(p)
	}
	l.post(router.TurnEnded{})
	l.busySince = time.Time{} // what comes from now on is another turn's
	if l.ended {
		return l.flushed()
	}
	return nil
}

func (l *Loop) do(what router.Effect) {
	switch e := what.(type) {
	case router.TellClient:
		l.tell(l.clients[e.Client], e.What)
	case router.OrderEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.order(p, e)
		}
	case router.HoldEngine:
		if p := l.engines[e.Connection]; p != nil && p.held != nil {
			p.held.hold(e.Hold)
		}
	case router.Release:
		e.Chain.Release()
	case router.CloseClient:
		if p := l.clients[e.Client]; p != nil {
			l.end(p, e.End)
		}
	case router.CloseEngine:
		if p := l.engines[e.Connection]; p != nil {
			l.end(p, e.End)
		}
	case router.Dial:
		go l.dial(e)
	case router.AskList:
		l.askNames(e.Query)
	case router.AskAt:
		l.askAt(e.Resolver)
	case router.Bound:
		l.config.MemoryMB, l.config.Descriptors = e.MemoryMB, e.Descriptors
		l.bound()
	case router.SetTimer:
		l.setTimer(e.At)
	case router.Tell:
		if l.status != nil {
			l.status(e.Status)
		}
	case router.Talk:
		l.say(e)
	case router.TellMembers:
		l.tellMembers(e.Members)
	case router.Log:
		l.print(e)
	case router.Exit:
		l.ended, l.endBy = true, time.Now().Add(max(time.Duration((e.By-clock())*float64(time.Second)), flushTime))
		for _, p := range l.clients {
			delete(l.clients, p.number)
			l.linger(p, l.endBy)
		}
	}
}

func (l *Loop) bound() {
	l.mostUnread, l.mostHeld = share(unreadShare, l.config), share(wholeShare, l.config)
	l.peerUnread = min(peerUnread, share(peerShare, l.config))
	l.pool.Keep = share(freeShare, l.config) / buffers.Size
}

// flushed ends the loop once no client lingers any more, or nobody reads what waits for them.
func (l *Loop) flushed() error {
	if len(l.lingering) == 0 || time.Now().After(l.endBy.Add(lingerTime)) {
		return errorx.ErrEngineShutdown
	}
	l.lingerSoon()
	return nil
}

func (l *Loop) setTimer(at float64) {
	wait := max(time.Duration((at-clock())*float64(time.Second)), 0)
	if l.timer != nil {
		l.timer.Reset(wait)
		return
	}
	l.timer = time.AfterFunc(wait, func() {
		l.execute(func() error {
			l.post(router.TimerFired{})
			return nil
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
		if p != nil && l.here(p) && !p.slow && p.conn.OutboundBuffered() > slowAt {
			p.slow = true
			l.post(router.ClientUnread{Client: p.number, Full: true})
			l.watch()
		}
	}
}

// watch looks after slow clients, and engines that requests wait for, until they have read: gnet does not tell when it has
// written.
func (l *Loop) watch() {
	if l.watching {
		return
	}
	l.watching = true
	time.AfterFunc(slowEvery, func() {
		l.execute(func() error {
			l.watching = false
			for p := range l.waiting {
				l.count(p)
			}
			more := l.tellRead()
			for _, p := range l.clients {
				if !p.slow {
					continue
				}
				if p.conn.OutboundBuffered() < slowAt/4 {
					p.slow = false
					l.post(router.ClientUnread{Client: p.number})
				} else {
					more = true
				}
			}
			if more {
				l.watch()
			}
			return nil
		})
	})
}

// write hands bytes to a peer. One who does not read is ended: what waits for it is bounded, alone and in all.
func (l *Loop) write(p *peer, data *buffers.Chain) {
	defer data.Release()
	if p == nil {
		return
	}
	if p.conn.OutboundBuffered()+data.Len() > l.peerUnread {
		l.broken(p, router.Unread)
		return
	}
	if _, err := p.conn.Writev(data.Parts()); err != nil {
		return // OnClose has told
	}
	l.count(p)
	if l.unread > l.mostUnread {
		worst := p
		for other := range l.waiting {
			if other.unread > worst.unread {
				worst = other
			}
		}
		l.broken(worst, router.Unread)
	}
}

func (l *Loop) count(p *peer) {
	n := p.conn.OutboundBuffered()
	l.unread += n - p.unread
	if p.unread = n; n > 0 {
		l.waiting[p] = struct{}{}
	} else {
		delete(l.waiting, p)
	}
}

// dial runs beside the loop and hands it what came up.
func (l *Loop) dial(e router.Dial) {
	d := net.Dialer{Timeout: time.Duration(e.Within * float64(time.Second)), KeepAlive: -1, Control: keepUnsent}
	conn, err := d.DialContext(l.ctx, "tcp", e.Address)
	if err == nil {
		p := &peer{kind: toEngine, number: e.Connection, speaks: e.Speaks}
		if e.Speaks.Held {
			l.hold(conn, p)
			return
		}
		err = l.join(conn, p)
	}
	if err == nil {
		return
	}
	end := router.ResetByPeer
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		end = router.RefusedDial
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		end = router.NoDescriptor
	case errors.As(err, &timeout) && timeout.Timeout():
		end = router.DialTimedOut
	}
	l.execute(func() error {
		l.log.Info("dial failed", zap.Uint64("connection", e.Connection), zap.String("address", e.Address), zap.Stringer("end", end), zap.Error(err))
		l.post(router.EngineEnded{Connection: e.Connection, End: end})
		return nil
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
