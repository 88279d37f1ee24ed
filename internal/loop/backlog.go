package loop

import "time"

// Clients are served in turns: a few messages of each that has sent any, again and again, until all are processed or the time of
// the turn is over. What is left is served after the sockets were polled and decisions were made. A client that sends at full
// speed therefore delays the others by few of its messages at a time. Turns go by size as well: after a large message a client
// passes as many turns as its bytes fill, so that many clients with large messages don't delay the others by all of these.
//
// What a client has sent is read to its end before it is processed: the end of the connection may lie behind it, and then nobody
// waits for the requests any more. Of a client that sends more than may be held, what is held is processed first.

const (
	backlogTime  = 10 * time.Millisecond // that messages of clients may take after a poll
	servedAtOnce = 4                     // messages of one client in a row, so that few messages cost few looks at the clock
	turnBytes    = 16 << 10              // of the messages of one client in a turn; what is above it counts for the next turns
)

// addToBacklog has the messages of a client served.
func (l *Loop) addToBacklog(p *peer) {
	if !p.inBacklog {
		p.inBacklog = true
		l.backlog = append(l.backlog, p)
		l.scheduleTurnEnd()
	}
	if l.holdsTooMuch(p) {
		p.stream.Hold(true)
	}
}

// holdsTooMuch reports whether so much is read and not parsed, of a client or of all, that the client can't be read on.
func (l *Loop) holdsTooMuch(p *peer) bool {
	size := p.received.Len()
	return size >= l.maxPerPeer || size >= readSize && l.unparsedBytes() >= l.maxUnparsed
}

// serveBacklog processes messages of the clients in turns.
func (l *Loop) serveBacklog() {
	var unread []*peer
	for end := time.Now().Add(backlogTime); len(l.backlog) > 0 && time.Now().Before(end); {
		p := l.backlog[0]
		l.backlog = l.backlog[1:]
		switch {
		case !l.isOpen(p):
			p.inBacklog = false
		case p.overdrawn > 0:
			p.overdrawn -= turnBytes
			l.backlog = append(l.backlog, p)
		case !l.readWhole(p):
			unread = append(unread, p)
		case l.serveClient(p):
			l.backlog = append(l.backlog, p)
		}
	}
	l.backlog = append(l.backlog, unread...)
}

// readWhole reads more of what a client has sent, and reports whether its messages may be processed: all is read, reading fails at
// the moment, or as much is held as may be.
func (l *Loop) readWhole(p *peer) bool {
	p.stream.Hold(l.holdsTooMuch(p))
	if !p.stream.Drained() {
		p.stream.ReadMore()
	}
	return p.stream.Drained() || p.stream.Failing() || l.holdsTooMuch(p)
}

// unparsedBytes returns how many bytes of clients are read and not parsed.
func (l *Loop) unparsedBytes() (size int) {
	for _, p := range l.clients {
		if p.inBacklog {
			size += p.received.Len()
		}
	}
	return size
}

// serveClient processes some messages of a client. It reports whether there may be more.
func (l *Loop) serveClient(p *peer) bool {
	unparsed := p.received.Len()
	for range servedAtOnce {
		if !l.isOpen(p) || !l.processMessage(p) {
			p.inBacklog = false
			p.overdraw(unparsed - p.received.Len())
			p.stream.Hold(false)
			l.afterMessages(p)
			return false
		}
		if p.overdraw(unparsed - p.received.Len()) {
			return true
		}
	}
	return true
}

// overdraw notes by how many bytes a client has exceeded its turn, in which it has used this many, and reports whether it has.
func (p *peer) overdraw(used int) bool {
	p.overdrawn = max(used-turnBytes, 0)
	return p.overdrawn > 0
}

// continueBacklog has the rest of the backlog served after the next poll.
func (l *Loop) continueBacklog() {
	if len(l.backlog) > 0 && !l.turnEndSet {
		l.turnEndSet = true
		l.reactor.DeferPastPoll(l.endTurn)
	}
}
