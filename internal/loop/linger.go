package loop

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/reactor"
	"pitchfield/internal/traffic"
)

// Lingering close: a client's connection that the router ends is shut on our side first, once all that the client was told is written. What
// the client still sends is read and dropped until it closes too, or a little time has passed. A plain close over bytes
// that were not read yet resets the connection, and answers that had just been written go with it: a request may cross any
// close of ours. What has come by the close is refused. A request that crosses the shutdown is not taken: its client sends it again on another connection.
const (
	lingerTimeout        = 100 * time.Millisecond // clients that have seen our shutdown have closed by then
	lingerCheckInterval  = 10 * time.Millisecond
	descriptorsPerLinger = 32 // of this many descriptors one may linger; further ones are closed at once, the oldest first
	minLingering         = 4
	maxLingering         = 16 // beside clients and engines there are 48 descriptors, and the process itself takes a dozen
)

// lingeringPeer is what is left of a client's connection.
type lingeringPeer struct {
	*peer
	writeClosed bool
	deadline    time.Time // for what is not written yet, then for the client to close
}

// startLinger ends a client's connection. What is to be written has until a time; none of it is anybody's any more but the peer's.
func (l *Loop) startLinger(p *peer, by time.Time) {
	one := &lingeringPeer{peer: p, deadline: by}
	p.lingering = true
	l.lingering = append(l.lingering, one)
	if p.rejecting { // what lies in its socket came before our end, and is owed an answer
		p.stream.Receive()
		if !slices.Contains(l.lingering, one) { // it has ended meanwhile
			return
		}
	}
	l.closeWrite(one)
	for !l.stopping && len(l.lingering) > min(max(l.config.Descriptors/descriptorsPerLinger, minLingering), maxLingering) {
		l.closeNow(l.lingering[0].peer)
	}
	l.scheduleLingerCheck()
}

// acceptWhileStopping takes in a connection that comes between the decision to end and the end. Its machine has accepted it, and maybe a
// request on it, which has to get an answer: it is refused, since nothing is sent on any more.
func (l *Loop) acceptWhileStopping(s *reactor.Stream, speaks *traffic.ClientProtocol) reactor.StreamHandler {
	p := &peer{loop: l, kind: clientPeer, number: l.lastNumber, stream: s, received: l.pool.Chain(), client: speaks.New(),
		lingering: true, acceptedLate: true, rejecting: true}
	l.lingering = append(l.lingering, &lingeringPeer{peer: p, deadline: time.Now().Add(lingerTimeout)})
	l.scheduleLingerCheck()
	return p
}

// rejectRequests refuses what a client asks on a connection whose end is decided.
func (l *Loop) rejectRequests(p *peer, data []byte) {
	p.received.Write(data) //nolint:errcheck // it never fails
	for {
		said, err := p.client.Read(p.received, l.protocolOut)
		if said == nil || err != nil {
			break
		}
		switch said := said.(type) {
		case *traffic.BatchRequest:
			said.Batch.Text.Release()
			p.client.Encode(l.protocolOut, &traffic.Answer{Stream: said.Stream, Code: traffic.Rejected})
		case traffic.ReadinessQuery:
			p.client.Encode(l.protocolOut, traffic.Ready{Stream: said.Stream})
		}
	}
	p.stream.Write(l.protocolOut.Parts())
	l.protocolOut.Release()
}

// closeWrite ends our side, once nothing waits to be written. One that came late is given its time to ask, and one that can't be read at
// this moment the time until it can: what waits there was written before our end.
func (l *Loop) closeWrite(one *lingeringPeer) {
	waits := one.stream.Unsent() > 0 || one.acceptedLate || one.stream.Failing()
	if one.writeClosed || waits && time.Now().Before(one.deadline) || one.stream.Unsent() > 0 {
		return
	}
	one.rejecting = false
	one.writeClosed, one.deadline = true, time.Now().Add(lingerTimeout)
	if err := one.stream.CloseWrite(); err != nil {
		l.log.Debug("shutdown", zap.Error(err))
		one.deadline = time.Now()
	}
}

func (l *Loop) scheduleLingerCheck() {
	if l.lingerCheckSet || len(l.lingering) == 0 && !l.reactor.Listening() {
		return
	}
	l.lingerCheckSet = true
	time.AfterFunc(lingerCheckInterval, func() { l.reactor.Post(l.checkLingering) })
}

// checkLingering looks after the connections that linger; the last of them ends a router that has stopped.
func (l *Loop) checkLingering() {
	l.lingerCheckSet = false
	now := time.Now()
	for _, one := range slices.Clone(l.lingering) {
		l.closeWrite(one)
		if !now.Before(one.deadline) {
			l.closeNow(one.peer)
		}
	}
	if l.stopping {
		l.stopWhenFlushed()
		return
	}
	l.scheduleLingerCheck()
}

// closeNow closes a connection at once.
func (l *Loop) closeNow(p *peer) {
	p.stream.Close()
	l.connectionEnded(p, nil)
}

// removeLingering: the connection is closed, whoever closed it.
func (l *Loop) removeLingering(p *peer) {
	l.lingering = slices.DeleteFunc(l.lingering, func(o *lingeringPeer) bool { return o.peer == p })
}
