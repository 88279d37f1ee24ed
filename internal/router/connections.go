package router

import (
	"cmp"
	"slices"

	"pitchfield/brain"
)

const (
	// defaultConnectionsPerEngine is how many connections to an engine are opened before batches share them. One spoilt or lost answer
	// takes all with it that is open on its connection; each costs a handshake and descriptors.
	defaultConnectionsPerEngine = 8
	// replyTimeout is how long a reply that has begun may take to become whole; it comes in one piece.
	replyTimeout = 0.5
)

// partialReply is due when a reply that began at a time must be whole.
type partialReply struct {
	conn  *engineConn
	since float64
}

// freeWait holds a connection on which a batch was given up, where only one at a time is there, until the engine says
// that it is over. What is written before might be taken for a part of it.
type freeWait struct{ conn *engineConn }

const (
	freeWaitID  = "settling"
	freeTimeout = 1.0
)

func (r *Router) awaitFree(conn *engineConn) {
	s := &freeWait{conn}
	conn.Open(freeWaitID, s)
	r.timers.add(r.now+freeTimeout, s)
}

// freeOverdue: silence ends the connection.
func (r *Router) freeOverdue(s *freeWait) {
	if conn := s.conn; r.connections[conn.Number] == conn && conn.Get(freeWaitID) == any(s) {
		r.closeConnection(conn, Unanswered)
	}
}

func (r *Router) connectionFree(conn *engineConn) {
	conn.Close(freeWaitID, false, r.now)
	r.withdrawalsSettled(conn)
	r.closeIfUnneeded(conn)
}

func (r *Router) multiplexLimit(e *engine) int {
	if e.protocol.Alone {
		return 1
	}
	return r.config.Settings.Multiplex
}

// pickConnection finds a connection for one more, or begins one.
func (r *Router) pickConnection(e *engine, id string) (*engineConn, End) {
	c := e.pool.Pick(id, r.multiplexLimit(e))
	room := len(r.connections)+r.dialing+2 <= r.maxConnections
	if c != nil && (c.Opened() == 0 && !c.Unread || !room || len(e.pool.Connections) >= min(r.connectionsPerEngine, r.maxConnections/(2*max(len(r.engines), 1)))) {
		return r.connections[c.Number], 0
	}
	if e.address == "" {
		return nil, Unaddressed
	}
	if !room {
		return nil, NoDescriptor
	}
	r.dialing++
	conn := &engineConn{Connection: e.pool.Add(r.nextNumber(), r.now), engine: e}
	r.connections[conn.Number] = conn
	within := r.config.Settings.DialTime
	conn.timer = r.timers.add(r.now+within, conn)
	r.log(Debug, "dial", "engine", e.name, "address", e.address, "connection", conn.Number)
	r.emit(Dial{conn.Number, e.address, within, e.protocol})
	return conn, 0
}

// WantsConnection tells whether a connection that was asked for is still wanted.
func (r *Router) WantsConnection(number uint64) bool { return r.connections[number] != nil }

func (r *Router) engineOpened(number uint64) {
	conn := r.connections[number]
	if conn == nil {
		r.log(Debug, "connection came up that nobody waits for", "connection", number)
		r.emit(CloseEngine{number, ClosedIdle})
		return
	}
	r.log(Debug, "connected", "engine", conn.engine.name, "connection", number, "waiting", len(conn.queue))
	r.dialing--
	r.timers.stop(conn.timer)
	conn.Up, conn.Heard = true, r.now
	r.writable = append(r.writable, conn)
}

func (r *Router) engineWritable(number uint64) {
	if conn := r.connections[number]; conn != nil {
		conn.Unread = false
		r.writable = append(r.writable, conn)
	}
}

// sendQueues sends what has waited for connections. It is done where decisions are made, at the end of a turn: by then all that
// has come is known, and what must not be sent any more has been taken back.
func (r *Router) sendQueues() {
	lines := r.writable
	r.writable = nil
	for _, conn := range lines {
		if r.connections[conn.Number] == conn {
			r.sendQueue(conn)
			r.closeIfUnneeded(conn)
		}
	}
}

func (r *Router) sendQueue(conn *engineConn) {
	queue := conn.queue
	conn.queue = nil
	for _, what := range queue {
		if d, is := what.(*dispatch); is && d.batch.client == nil { // nobody waits, and its text is gone
			r.abortDispatch(d, brain.Withdrawn)
		} else {
			r.send(conn, what)
		}
	}
}

// suspectConnection: what should have come did not, and nothing else came either. A connection on which an answer was lost may
// stay open and of no use, as where a machine is cut off: an answer to a check tells, and so does none.
func (r *Router) suspectConnection(conn *engineConn) {
	conn.Suspect = true
	if conn.Idle() || conn.healthCheck != nil || !r.config.Settings.MayProbe || conn.engine.protocol.Alone {
		return
	}
	conn.healthCheck = &probe{engine: conn.engine, line: conn, tag: probeTag(r.nextNumber())}
	conn.Open(conn.healthCheck.tag, conn.healthCheck)
	r.timers.add(r.now+r.config.Settings.DialTime, conn.healthCheck)
	r.send(conn, conn.healthCheck)
}

// partialReplyOverdue: the rest of a reply never came, and nothing after it can be read.
func (r *Router) partialReplyOverdue(h partialReply) {
	conn := h.conn
	if r.connections[conn.Number] != conn || conn.partialSince != h.since {
		return
	}
	held := false
	for _, what := range conn.Opens() {
		if d, is := what.(*dispatch); is && d.readingPaused {
			held = true
		}
	}
	if held { // it is we who don't read
		r.timers.add(r.now+replyTimeout, h)
	} else {
		r.log(Warn, "reply stops short", "engine", conn.engine.name)
		r.closeConnection(conn, BadInput)
	}
}

// closeIfUnneeded looks after a connection on which nothing is open any more.
func (r *Router) closeIfUnneeded(conn *engineConn) {
	if !conn.Idle() || r.connections[conn.Number] != conn {
		return
	}
	switch {
	case conn.Left:
		r.closeConnection(conn, LeftAddress)
		return
	case conn.Suspect:
		r.closeConnection(conn, ClosedSuspect)
		return
	}
	if idle := r.config.Settings.IdleTime; idle > 0 && (conn.timer == nil || conn.timer.index < 0) {
		conn.timer = r.timers.add(r.now+idle*idleCloseFraction, conn)
	}
}

// connectionDue: it did not come up in time, or it may have been idle for long enough.
func (r *Router) connectionDue(conn *engineConn) {
	if r.connections[conn.Number] != conn {
		return
	}
	if !conn.Up {
		r.closeConnection(conn, DialTimedOut)
		return
	}
	if !conn.Idle() {
		return
	}
	if at := conn.IdleAt + r.config.Settings.IdleTime*idleCloseFraction; r.now < at {
		conn.timer = r.timers.add(at, conn)
		return
	}
	r.closeConnection(conn, ClosedIdle)
}

func (r *Router) closeConnection(conn *engineConn, end End) {
	r.emit(CloseEngine{conn.Number, end})
	r.connectionEnded(conn, end)
}

// connectionEnded ends all that was open on a connection, in the order it was sent.
func (r *Router) connectionEnded(conn *engineConn, end End) {
	delete(r.connections, conn.Number)
	r.timers.stop(conn.timer)
	if !conn.Up {
		r.dialing--
	}
	conn.engine.pool.Remove(conn.Connection)
	open := conn.Opens()
	r.log(Debug, "connection ended", "engine", conn.engine.name, "connection", conn.Number, "end", end.String(), "open", len(open))
	var dispatches []*dispatch
	for _, what := range open {
		switch w := what.(type) {
		case *dispatch:
			dispatches = append(dispatches, w)
		case *probe:
			r.probed(w, false, nil, false)
		}
	}
	slices.SortFunc(dispatches, func(a, b *dispatch) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.batch.ID, b.batch.ID))
	})
	for _, d := range dispatches {
		how := outcomes[end].unwritten
		if d.written {
			how = r.brokenOff(d, end)
		}
		r.endDispatch(d, how, nil)
	}
}
