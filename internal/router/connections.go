package router

import (
	"cmp"
	"slices"

	"pitchfield/brain"
)

const (
	// defaultConnectionsPerEngine is how many connections to an engine are opened before batches share them. An unusable
	// or lost reply ends every dispatch that is open on its connection, so few should share one; but each connection
	// costs a handshake and descriptors.
	defaultConnectionsPerEngine = 8
	// replyTimeout is how many seconds a reply that has begun may take to become complete. Engines send a reply in one
	// piece.
	replyTimeout = 0.5
)

// partialReply is due when a reply that began at time since must be complete.
type partialReply struct {
	conn  *engineConn
	since float64
}

// freeWait keeps a connection that takes one batch at a time in use after its batch was cancelled, until the engine reports
// that the connection is free. The engine might take an order that is written earlier for a part of the cancelled batch.
type freeWait struct{ conn *engineConn }

const (
	freeWaitID  = "settling" // the id under which a freeWait is open on its connection
	freeTimeout = 1.0        // seconds after which a connection that is not reported free is closed
)

// awaitFree keeps a connection in use until its engine reports that it is free.
func (r *Router) awaitFree(conn *engineConn) {
	wait := &freeWait{conn}
	conn.AddPending(freeWaitID, wait)
	r.timers.add(r.now+freeTimeout, wait)
}

// freeOverdue closes a connection whose engine has not reported in time that it is free.
func (r *Router) freeOverdue(wait *freeWait) {
	if conn := wait.conn; r.connections[conn.Number] == conn && conn.Pending(freeWaitID) == any(wait) {
		r.closeConnection(conn, CancelTimedOut)
	}
}

// connectionFree handles the engine's report that a connection is free.
func (r *Router) connectionFree(conn *engineConn) {
	conn.RemovePending(freeWaitID, false, r.now)
	r.confirmCancellations(conn)
	r.closeIfUnneeded(conn)
}

// multiplexLimit returns how many batches may share a connection to an engine.
func (r *Router) multiplexLimit(e *engine) int {
	if e.protocol.OneAtATime {
		return 1
	}
	return r.config.Settings.MaxStreamsPerConnection
}

// pickConnection returns a connection to an engine for a dispatch or probe with this id, or dials a new one. If there is
// none it returns nil and the reason.
func (r *Router) pickConnection(e *engine, id string) (*engineConn, CloseReason) {
	existing := e.pool.Pick(id, r.multiplexLimit(e))
	canDial := len(r.connections)+r.dialing+2 <= r.maxConnections
	if existing != nil && (existing.PendingCount() == 0 && !existing.PeerNotReading || !canDial || len(e.pool.Connections) >= min(r.connectionsPerEngine, r.maxConnections/(2*max(len(r.engines), 1)))) {
		return r.connections[existing.Number], 0
	}
	if e.address == "" {
		return nil, NoAddress
	}
	if !canDial {
		return nil, NoDescriptors
	}
	r.dialing++
	conn := &engineConn{Connection: e.pool.Add(r.nextNumber(), r.now), engine: e}
	r.connections[conn.Number] = conn
	timeout := r.config.Settings.DialTimeout
	conn.timer = r.timers.add(r.now+timeout, conn)
	r.log(Debug, "dial", "engine", e.name, "address", e.address, "connection", conn.Number)
	r.emit(Dial{conn.Number, e.address, timeout, e.protocol})
	return conn, 0
}

// WantsConnection reports whether the engine connection with this number, which a Dial effect requested, is still needed.
func (r *Router) WantsConnection(number uint64) bool { return r.connections[number] != nil }

// engineOpened handles an engine connection that has come up; its queue is sent at the end of the turn.
func (r *Router) engineOpened(number uint64) {
	conn := r.connections[number]
	if conn == nil {
		r.log(Debug, "connection came up that is no longer needed", "connection", number)
		r.emit(CloseEngine{number, ClosedIdle})
		return
	}
	r.log(Debug, "connected", "engine", conn.engine.name, "connection", number, "waiting", len(conn.queue))
	r.dialing--
	r.timers.stop(conn.timer)
	conn.Up, conn.LastReceivedAt = true, r.now
	r.writable = append(r.writable, conn)
}

// engineWritable handles an engine that has read what was written; the connection's queue is sent at the end of the turn.
func (r *Router) engineWritable(number uint64) {
	if conn := r.connections[number]; conn != nil {
		conn.PeerNotReading = false
		r.writable = append(r.writable, conn)
	}
}

// sendQueues sends the queues of connections that came up or became writable. Like the decisions this happens at the end of
// a turn: by then all events of the turn are handled, and what must not be sent any more has been withdrawn.
func (r *Router) sendQueues() {
	conns := r.writable
	r.writable = nil
	for _, conn := range conns {
		if r.connections[conn.Number] == conn {
			r.sendQueue(conn)
			r.closeIfUnneeded(conn)
		}
	}
}

// sendQueue sends the dispatches and probes that are queued on a connection.
func (r *Router) sendQueue(conn *engineConn) {
	queue := conn.queue
	conn.queue = nil
	for _, item := range queue {
		if d, isDispatch := item.(*dispatch); isDispatch && d.batch.client == nil { // its client has stopped waiting, and its text is released
			r.abortDispatch(d, brain.Canceled)
		} else {
			r.send(conn, item)
		}
	}
}

// suspectConnection marks a connection on which an expected reply and everything else failed to arrive. It may stay open and
// be useless, for example when the engine's machine is cut off. A probe on the connection finds out: without an answer in
// time the connection is closed.
func (r *Router) suspectConnection(conn *engineConn) {
	conn.Suspect = true
	if conn.Idle() || conn.healthCheck != nil || !r.config.Settings.MayProbe || conn.engine.protocol.OneAtATime {
		return
	}
	conn.healthCheck = &probe{engine: conn.engine, conn: conn, tag: probeTag(r.nextNumber())}
	conn.AddPending(conn.healthCheck.tag, conn.healthCheck)
	r.timers.add(r.now+r.config.Settings.DialTimeout, conn.healthCheck)
	r.send(conn, conn.healthCheck)
}

// partialReplyOverdue closes a connection on which a reply was not completed in time; nothing after it could be read.
func (r *Router) partialReplyOverdue(reply partialReply) {
	conn := reply.conn
	if r.connections[conn.Number] != conn || conn.partialSince != reply.since {
		return
	}
	readingPaused := false
	for _, open := range conn.AllPending() {
		if d, isDispatch := open.(*dispatch); isDispatch && d.readingPaused {
			readingPaused = true
		}
	}
	if readingPaused { // the router itself has paused reading
		r.timers.add(r.now+replyTimeout, reply)
	} else {
		r.log(Warn, "reply stops short", "engine", conn.engine.name)
		r.closeConnection(conn, BadInput)
	}
}

// closeIfUnneeded closes a connection that has nothing open and is suspect or leads to an old address. Any other connection
// with nothing open gets an idle timer.
func (r *Router) closeIfUnneeded(conn *engineConn) {
	if !conn.Idle() || r.connections[conn.Number] != conn {
		return
	}
	switch {
	case conn.StaleAddress:
		r.closeConnection(conn, StaleAddress)
		return
	case conn.Suspect:
		r.closeConnection(conn, ClosedSuspect)
		return
	}
	if idle := r.config.Settings.IdleTimeout; idle > 0 && (conn.timer == nil || conn.timer.index < 0) {
		conn.timer = r.timers.add(r.now+idle*idleCloseFraction, conn)
	}
}

// connectionDue handles a connection's timer: it closes a connection that did not come up in time or was idle for too long.
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
	if at := conn.IdleSince + r.config.Settings.IdleTimeout*idleCloseFraction; r.now < at {
		conn.timer = r.timers.add(at, conn)
		return
	}
	r.closeConnection(conn, ClosedIdle)
}

// closeConnection closes an engine connection.
func (r *Router) closeConnection(conn *engineConn, end CloseReason) {
	r.emit(CloseEngine{conn.Number, end})
	r.connectionEnded(conn, end)
}

// connectionEnded handles the end of an engine connection: it ends the probes and, in the order in which they were decided,
// the dispatches that were open on it.
func (r *Router) connectionEnded(conn *engineConn, end CloseReason) {
	delete(r.connections, conn.Number)
	r.timers.stop(conn.timer)
	if !conn.Up {
		r.dialing--
	}
	conn.engine.pool.Remove(conn.Connection)
	open := conn.AllPending()
	r.log(Debug, "connection ended", "engine", conn.engine.name, "connection", conn.Number, "end", end.String(), "open", len(open))
	var dispatches []*dispatch
	for _, item := range open {
		switch item := item.(type) {
		case *dispatch:
			dispatches = append(dispatches, item)
		case *probe:
			r.finishProbe(item, false, nil, false)
		}
	}
	slices.SortFunc(dispatches, func(a, b *dispatch) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.batch.ID, b.batch.ID))
	})
	for _, d := range dispatches {
		ending := outcomesByReason[end].unwritten
		if d.written {
			ending = r.endingAfterClose(d, end)
		}
		r.endDispatch(d, ending, nil)
	}
}
