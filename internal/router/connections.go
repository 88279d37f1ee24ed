package router

import (
	"cmp"
	"slices"

	"pitchfield/brain"
)

const (
	// spread is how many connections to an engine are opened before batches share them. One spoilt or lost answer
	// takes all with it that is open on its connection; each costs a handshake and descriptors.
	spread = 8
	// wholeReply is how long a reply that has begun may take to become whole; it comes in one piece.
	wholeReply = 0.5
)

// halfReply is due when a reply that began at a time must be whole.
type halfReply struct {
	line *line
	at   float64
}

// settling holds a connection on which a batch was given up, where only one at a time is there, until the engine says
// that it is over. What is written before might be taken for a part of it.
type settling struct{ line *line }

const (
	settleName = "settling"
	settleTime = 1.0
)

func (r *Router) settle(l *line) {
	s := &settling{l}
	l.Open(settleName, s)
	r.timers.add(r.now+settleTime, s)
}

// settleDue: silence ends the connection.
func (r *Router) settleDue(s *settling) {
	if l := s.line; r.connections[l.Number] == l && l.Get(settleName) == any(s) {
		r.closeLine(l, CancelTimedOut)
	}
}

func (r *Router) settled(l *line) {
	l.Close(settleName, false, r.now)
	r.confirmCancellations(l)
	r.rest(l)
}

func (r *Router) multiplex(e *engine) int {
	if e.speaks.OneAtATime {
		return 1
	}
	return r.settings.Settings.Multiplex
}

// pick finds a connection for one more, or begins one.
func (r *Router) pick(e *engine, id string) (*line, CloseReason) {
	c := e.pool.Pick(id, r.multiplex(e))
	room := len(r.connections)+r.dialing+2 <= r.most
	if c != nil && (c.Opened() == 0 && !c.Unread || !room || len(e.pool.Connections) >= min(r.spread, r.most/(2*max(len(r.engines), 1)))) {
		return r.connections[c.Number], 0
	}
	if e.address == "" {
		return nil, NoAddress
	}
	if !room {
		return nil, NoDescriptors
	}
	r.dialing++
	l := &line{Connection: e.pool.Add(r.number(), r.now), engine: e}
	r.connections[l.Number] = l
	within := r.settings.Settings.DialTime
	l.timer = r.timers.add(r.now+within, l)
	r.log(Debug, "dial", "engine", e.name, "address", e.address, "connection", l.Number)
	r.do(Dial{l.Number, e.address, within, e.speaks})
	return l, 0
}

// Wants tells whether a connection that was asked for is still wanted.
func (r *Router) Wants(number uint64) bool { return r.connections[number] != nil }

func (r *Router) engineOpened(number uint64) {
	l := r.connections[number]
	if l == nil {
		r.log(Debug, "connection came up that nobody waits for", "connection", number)
		r.do(CloseEngine{number, ClosedIdle})
		return
	}
	r.log(Debug, "connected", "engine", l.engine.name, "connection", number, "waiting", len(l.queue))
	r.dialing--
	r.timers.stop(l.timer)
	l.Up, l.Heard = true, r.now
	r.writable = append(r.writable, l)
}

func (r *Router) engineRead(number uint64) {
	if l := r.connections[number]; l != nil {
		l.Unread = false
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
			r.rest(l)
		}
	}
}

func (r *Router) sendQueue(l *line) {
	queue := l.queue
	l.queue = nil
	for _, what := range queue {
		if d, is := what.(*dispatch); is && d.batch.client == nil { // nobody waits, and its text is gone
			r.giveUp(d, brain.Canceled)
		} else {
			r.send(l, what)
		}
	}
}

// suspect: what should have come did not, and nothing else came either. A connection on which an answer was lost may
// stay open and of no use, as where a machine is cut off: an answer to a check tells, and so does none.
func (r *Router) suspect(l *line) {
	l.Suspect = true
	if l.Idle() || l.check != nil || !r.settings.Settings.MayProbe || l.engine.speaks.OneAtATime {
		return
	}
	l.check = &probe{engine: l.engine, conn: l, tag: tag(r.number())}
	l.Open(l.check.tag, l.check)
	r.timers.add(r.now+r.settings.Settings.DialTime, l.check)
	r.send(l, l.check)
}

// halfDue: the rest of a reply never came, and nothing after it can be read.
func (r *Router) halfDue(h halfReply) {
	l := h.line
	if r.connections[l.Number] != l || l.half != h.at {
		return
	}
	held := false
	for _, what := range l.Opens() {
		if d, is := what.(*dispatch); is && d.held {
			held = true
		}
	}
	if held { // it is we who don't read
		r.timers.add(r.now+wholeReply, h)
	} else {
		r.log(Warn, "reply stops short", "engine", l.engine.name)
		r.closeLine(l, BadInput)
	}
}

// rest looks after a connection on which nothing is open any more.
func (r *Router) rest(l *line) {
	if !l.Idle() || r.connections[l.Number] != l {
		return
	}
	switch {
	case l.Left:
		r.closeLine(l, StaleAddress)
		return
	case l.Suspect:
		r.closeLine(l, ClosedSuspect)
		return
	}
	if idle := r.settings.Settings.IdleTime; idle > 0 && (l.timer == nil || l.timer.index < 0) {
		l.timer = r.timers.add(r.now+idle*idleEarly, l)
	}
}

// lineDue: it did not come up in time, or it may have been idle for long enough.
func (r *Router) lineDue(l *line) {
	if r.connections[l.Number] != l {
		return
	}
	if !l.Up {
		r.closeLine(l, DialTimedOut)
		return
	}
	if !l.Idle() {
		return
	}
	if at := l.IdleAt + r.settings.Settings.IdleTime*idleEarly; r.now < at {
		l.timer = r.timers.add(at, l)
		return
	}
	r.closeLine(l, ClosedIdle)
}

func (r *Router) closeLine(l *line, end CloseReason) {
	r.do(CloseEngine{l.Number, end})
	r.lineEnded(l, end)
}

// lineEnded ends all that was open on a connection, in the order it was sent.
func (r *Router) lineEnded(l *line, end CloseReason) {
	delete(r.connections, l.Number)
	r.timers.stop(l.timer)
	if !l.Up {
		r.dialing--
	}
	l.engine.pool.Remove(l.Connection)
	open := l.Opens()
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
		r.ended(d, how, nil)
	}
}
