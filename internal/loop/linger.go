package loop

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/buffers"
	"pitchfield/internal/reactor"
	"pitchfield/internal/traffic"
)

// Lingering close: when the router ends a client's connection, it shuts down only its own sending side, once everything
// for the client is written. What the client still sends is read and dropped until the client closes too or a short time
// has passed. Closing a socket with unread bytes would reset the connection and lose answers that were just written, and
// a request may arrive at the same time as any close. Requests received before the shutdown are rejected. A request that
// crosses the shutdown is dropped: its client sends it again on another connection.
const (
	lingerTimeout        = 100 * time.Millisecond // clients that have received the shutdown have closed by then
	lingerCheckInterval  = 10 * time.Millisecond
	descriptorsPerLinger = 32 // one lingering connection is allowed per 32 descriptors; the oldest in excess is closed at once
	minLingering         = 4  // connections that may linger in any case
	maxLingering         = 16 // 48 descriptors are left beside clients and engines, and the process itself takes a dozen
)

// lingeringPeer is a client's connection during its lingering close.
type lingeringPeer struct {
	*peer
	writeClosed bool
	deadline    time.Time // for unsent bytes, then for the client to close
}

// startLinger starts the lingering close of a client's connection. Bytes that are still unsent at the deadline are lost.
func (l *Loop) startLinger(p *peer, deadline time.Time) {
	entry := &lingeringPeer{peer: p, deadline: deadline}
	p.lingering = true
	l.lingering = append(l.lingering, entry)
	p.stream.Hold(false)
	if p.rejecting { // requests that were received, or lie in the socket, arrived before the end and must be answered
		l.rejectRequests(p, nil)
		p.stream.Receive()
		if !slices.Contains(l.lingering, entry) { // it has ended meanwhile
			return
		}
	}
	l.closeWrite(entry)
	for !l.stopping && len(l.lingering) > min(max(l.config.Descriptors/descriptorsPerLinger, minLingering), maxLingering) {
		l.closeNow(l.lingering[0].peer)
	}
	l.scheduleLingerCheck()
}

// acceptWhileStopping registers a connection that is accepted after the loop has begun to stop. The kernel may already
// have received a request on it, which must be answered. It is rejected, since nothing is dispatched any more.
func (l *Loop) acceptWhileStopping(stream *reactor.Stream, protocol *traffic.ClientProtocol) reactor.StreamHandler {
	p := &peer{loop: l, kind: clientPeer, number: l.lastNumber, stream: stream, received: l.pool.Chain(), client: protocol.New(),
		lingering: true, acceptedLate: true, rejecting: true}
	l.lingering = append(l.lingering, &lingeringPeer{peer: p, deadline: time.Now().Add(lingerTimeout)})
	l.scheduleLingerCheck()
	return p
}

// rejectRequests rejects the requests that a client sends on a connection that is being closed. Their content is not needed, so
// what has arrived of an incomplete one is released.
func (l *Loop) rejectRequests(p *peer, data []byte) {
	p.received.Write(data) //nolint:errcheck // it never fails
	for {
		message, err := p.client.Read(p.received, l.protocolOut)
		if err != nil { // nothing after it can be read
			p.rejecting = false
			p.received.Release()
			break
		}
		if message == nil {
			l.dropLingeringPartial(p)
			break
		}
		switch m := message.(type) {
		case *traffic.BatchRequest:
			m.Batch.Text.Release()
			p.client.Encode(l.protocolOut, &traffic.Answer{Stream: m.Stream, Code: traffic.Rejected})
		case traffic.ReadinessQuery:
			p.client.Encode(l.protocolOut, traffic.Ready{Stream: m.Stream})
		}
	}
	p.stream.Write(l.protocolOut.Parts())
	l.protocolOut.Release()
}

// dropLingeringPartial drops the incomplete message of a lingering connection. If its protocol can't skip the message, no further
// request can be read on the connection.
func (l *Loop) dropLingeringPartial(p *peer) {
	if !p.client.DropPartial(p.received) && p.received.Len() > buffers.Size {
		p.rejecting = false
		p.received.Release()
	}
}

// closeWrite shuts down the sending side of a connection once nothing is unsent. Until the deadline it also waits on a
// connection that was accepted late, so that its client can send a request, and on one that can't be read at the moment,
// since requests in its socket were sent before the end.
func (l *Loop) closeWrite(entry *lingeringPeer) {
	mustWait := entry.stream.Unsent() > 0 || entry.acceptedLate || entry.stream.Failing()
	if entry.writeClosed || mustWait && time.Now().Before(entry.deadline) || entry.stream.Unsent() > 0 {
		return
	}
	entry.rejecting = false
	entry.writeClosed, entry.deadline = true, time.Now().Add(lingerTimeout)
	if err := entry.stream.CloseWrite(); err != nil {
		l.log.Debug("shutdown", zap.Error(err))
		entry.deadline = time.Now()
	}
}

// scheduleLingerCheck schedules checkLingering if connections linger or the loop waits for its listeners to stop.
func (l *Loop) scheduleLingerCheck() {
	if l.lingerCheckSet || len(l.lingering) == 0 && !l.reactor.Listening() {
		return
	}
	l.lingerCheckSet = true
	time.AfterFunc(lingerCheckInterval, func() { l.reactor.Post(l.checkLingering) })
}

// checkLingering shuts down or closes lingering connections whose time has come. While the loop is stopping, it stops
// the loop after the last of them.
func (l *Loop) checkLingering() {
	l.lingerCheckSet = false
	now := time.Now()
	for _, entry := range slices.Clone(l.lingering) {
		l.closeWrite(entry)
		if !now.Before(entry.deadline) {
			l.closeNow(entry.peer)
		}
	}
	if l.stopping {
		l.stopWhenFlushed()
		return
	}
	l.scheduleLingerCheck()
}

// closeNow closes a connection without lingering.
func (l *Loop) closeNow(p *peer) {
	p.stream.Close()
	l.connectionEnded(p, nil)
}

// removeLingering removes a connection that is closed, by whichever side.
func (l *Loop) removeLingering(p *peer) {
	l.lingering = slices.DeleteFunc(l.lingering, func(o *lingeringPeer) bool { return o.peer == p })
}
