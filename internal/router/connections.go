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

func (r *Router) awaitFree(l *engineConn) {
	s := &freeWait{l}
	l.AddPending(freeWaitID, s)
	r.timers.add(r.now+freeTimeout, s)
}

// freeOverdue: silence ends the connection.
func (r *Router) freeOverdue(s *freeWait) {
	if l := s.conn; r.connections[l.Number] == l && l.Pending(freeWaitID) == any(s) {
		r.closeConnection(l, CancelTimedOut)
	}
}

func (r *Router) connectionFree(l *engineConn) {
	l.RemovePending(freeWaitID, false, r.now)
	r.confirmCancellations(l)
	r.closeIfUnneeded(l)
}

func (r *Router) multiplexLimit(e *engine) int {
	if e.protocol.OneAtATime {
		return 1
	}
	return r.config.Settings.MaxStreamsPerConnection
}

// pickConnection finds a connection for one more, or begins one.
func (r *Router) pickConnection(e *engine, id string) (*engineConn, CloseReason) {
	c := e.pool.Pick(id, r.multiplexLimit(e))
	room := len(r.connections)+r.dialing+2 <= r.maxConnections
	if c != nil && (c.PendingCount() == 0 && !c.PeerNotReading || !room || len(e.pool.Connections) >= min(r.connectionsPerEngine, r.maxConnections/(2*max(len(r.engines), 1)))) {
		return r.connections[c.Number], 0
	}
	if e.address == "" {
		return nil, NoAddress
	}
	if !room {
		return nil, NoDescriptors
	}
	r.dialing++
	l := &engineConn{Connection: e.pool.Add(r.nextNumber(), r.now), engine: e}
	r.connections[l.Number] = l
	within := r.config.Settings.DialTimeout
	l.timer = r.timers.add(r.now+within, l)
	r.log(Debug, "dial", "engine", e.name, "address", e.address, "connection", l.Number)
	r.emit(Dial{l.Number, e.address, within, e.protocol})
	return l, 0
}

// WantsConnection tells whether a connection that was asked for is still wanted.
func (r *Router) WantsConnection(number uint64) bool { return r.connections[number] != nil }

func (r *Router) engineOpened(number uint64) {
	l := r.connections[number]
	if l == nil {
		r.log(Debug, "connection came up that nobody waits for", "connection", number)
		r.emit(CloseEngine{number, ClosedIdle})
		return
	}
	r.log(Debug, "connected", "engine", l.engine.name, "connection", number, "waiting", len(l.queue))
	r.dialing--
	r.timers.stop(l.timer)
	l.Up, l.LastReceivedAt = true, r.now
	r.writable = append(r.writable, l)
}

func (r *Router) engineWritable(number uint64) {
	if l := r.connections[number]; l != nil {
		l.PeerNotReading = false
		r.writable = append(r.writable, l)
	}
}

// sendQueues sends what has waited for connections. It is done where decisions are made, at the end of a turn: by then all that
// has come is known, and what must not be sent any more has been taken back.
func (r *Router) sendQueues() {
	lines := r.writable
	r.writable = nil
	for _, l := range lines {
		if r.connections[l.Number] == l {
			r.sendQueue(l)
			r.closeIfUnneeded(l)
		}
	}
}

func (r *Router) sendQueue(l *engineConn) {
	queue := l.queue
	l.queue = nil
	for _, what := range queue {
		if d, is := what.(*dispatch); is && d.batch.client == nil { // nobody waits, and its text is gone
			r.abortDispatch(d, brain.Canceled)
		} else {
			r.send(l, what)
		}
	}
}

// suspectConnection: what should have come did not, and nothing else came either. A connection on which an answer was lost may
// stay open and of no use, as where a machine is cut off: an answer to a check tells, and so does none.
func (r *Router) suspectConnection(l *engineConn) {
	l.Suspect = true
	if l.Idle() || l.healthCheck != nil || !r.config.Settings.MayProbe || l.engine.protocol.OneAtATime {
		return
	}
	l.healthCheck = &probe{engine: l.engine, conn: l, tag: probeTag(r.nextNumber())}
	l.AddPending(l.healthCheck.tag, l.healthCheck)
	r.timers.add(r.now+r.config.Settings.DialTimeout, l.healthCheck)
	r.send(l, l.healthCheck)
}

// partialReplyOverdue: the rest of a reply never came, and nothing after it can be read.
func (r *Router) partialReplyOverdue(h partialReply) {
	l := h.conn
	if r.connections[l.Number] != l || l.partialSince != h.since {
		return
	}
	held := false
	for _, what := range l.AllPending() {
		if d, is := what.(*dispatch); is && d.readingPaused {
			held = true
		}
	}
	if held { // it is we who don't read
		r.timers.add(r.now+replyTimeout, h)
	} else {
		r.log(Warn, "reply stops short", "engine", l.engine.name)
		r.closeConnection(l, BadInput)
	}
}

// closeIfUnneeded looks after a connection on which nothing is open any more.
func (r *Router) closeIfUnneeded(l *engineConn) {
	if !l.Idle() || r.connections[l.Number] != l {
		return
	}
	switch {
	case l.StaleAddress:
		r.closeConnection(l, StaleAddress)
		return
	case l.Suspect:
		r.closeConnection(l, ClosedSuspect)
		return
	}
	if idle := r.config.Settings.IdleTimeout; idle > 0 && (l.timer == nil || l.timer.index < 0) {
		l.timer = r.timers.add(r.now+idle*idleCloseFraction, l)
	}
}

// connectionDue: it did not come up in time, or it may have been idle for long enough.
func (r *Router) connectionDue(l *engineConn) {
	if r.connections[l.Number] != l {
		return
	}
	if !l.Up {
		r.closeConnection(l, DialTimedOut)
		return
	}
	if !l.Idle() {
		return
	}
	if at := l.IdleSince + r.config.Settings.IdleTimeout*idleCloseFraction; r.now < at {
		l.timer = r.timers.add(at, l)
		return
	}
	r.closeConnection(l, ClosedIdle)
}

func (r *Router) closeConnection(l *engineConn, end CloseReason) {
	r.emit(CloseEngine{l.Number, end})
	r.connectionEnded(l, end)
}

// connectionEnded ends all that was open on a connection, in the order it was sent.
func (r *Router) connectionEnded(l *engineConn, end CloseReason) {
	delete(r.connections, l.Number)
	r.timers.stop(l.timer)
	if !l.Up {
		r.dialing--
	}
	l.engine.pool.Remove(l.Connection)
	open := l.AllPending()
	r.log(Debug, "connection ended", "engine", l.engine.name, "connection", l.Number, "end", end.String(), "open", len(open))
	var dispatches []*dispatch
	for _, what := range open {
		switch w := what.(type) {
		case *dispatch:
			dispatches = append(dispatches, w)
		case *probe:
			r.finishProbe(w, false, nil, false)
		}
	}
	slices.SortFunc(dispatches, func(a, b *dispatch) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.batch.ID, b.batch.ID))
	})
	for _, d := range dispatches {
		how := outcomesByReason[end].unwritten
		if d.written {
			how = r.endingAfterClose(d, end)
		}
		r.endDispatch(d, how, nil)
	}
}
