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
	lingerTime  = 100 * time.Millisecond // clients that have seen our shutdown have closed by then
	lingerEvery = 10 * time.Millisecond
	lingerShare = 32 // of this many descriptors one may linger; further ones are closed at once, the oldest first
	lingerLeast = 4
	lingerMost  = 16 // beside clients and engines there are 48 descriptors, and the process itself takes a dozen
)

// lingerer is what is left of a client's connection.
type lingerer struct {
	*peer
	shut bool
	by   time.Time // for what is not written yet, then for the client to close
}

// linger ends a client's connection. What is to be written has until a time; none of it is anybody's any more but the peer's.
func (l *Loop) linger(p *peer, by time.Time) {
	one := &lingerer{peer: p, by: by}
	p.lingers = true
	l.lingering = append(l.lingering, one)
	if p.refuses { // what lies in its socket came before our end, and is owed an answer
		p.stream.Receive()
		if !slices.Contains(l.lingering, one) { // it has ended meanwhile
			return
		}
	}
	l.shut(one)
	for !l.ended && len(l.lingering) > min(max(l.config.Descriptors/lingerShare, lingerLeast), lingerMost) {
		l.close(l.lingering[0].peer)
	}
	l.lingerSoon()
}

// acceptedLate takes in a connection that comes between the decision to end and the end. Its machine has accepted it, and maybe a
// request on it, which has to get an answer: it is refused, since nothing is sent on any more.
func (l *Loop) acceptedLate(s *reactor.Stream, speaks *traffic.ClientProtocol) reactor.StreamHandler {
	p := &peer{loop: l, kind: toClient, number: l.numbers, stream: s, in: l.pool.Chain(), client: speaks.New(),
		lingers: true, late: true, refuses: true}
	l.lingering = append(l.lingering, &lingerer{peer: p, by: time.Now().Add(lingerTime)})
	l.lingerSoon()
	return p
}

// refuse refuses what a client asks on a connection whose end is decided.
func (l *Loop) refuse(p *peer, data []byte) {
	p.in.Write(data) //nolint:errcheck // it never fails
	for {
		said, err := p.client.Read(p.in, l.owed)
		if said == nil || err != nil {
			break
		}
		switch said := said.(type) {
		case *traffic.Ask:
			said.Batch.Text.Release()
			p.client.Tell(l.owed, &traffic.Answer{Stream: said.Stream, Code: traffic.PushedBack})
		case traffic.AskReady:
			p.client.Tell(l.owed, traffic.Ready{Stream: said.Stream})
		}
	}
	p.stream.Write(l.owed.Parts())
	l.owed.Release()
}

// shut ends our side, once nothing waits to be written. One that came late is given its time to ask, and one that can't be read at
// this moment the time until it can: what waits there was written before our end.
func (l *Loop) shut(one *lingerer) {
	waits := one.stream.Unsent() > 0 || one.late || one.stream.Failing()
	if one.shut || waits && time.Now().Before(one.by) || one.stream.Unsent() > 0 {
		return
	}
	one.refuses = false
	one.shut, one.by = true, time.Now().Add(lingerTime)
	if err := one.stream.CloseWrite(); err != nil {
		l.log.Debug("shutdown", zap.Error(err))
		one.by = time.Now()
	}
}

func (l *Loop) lingerSoon() {
	if l.lingerSet || len(l.lingering) == 0 && !l.reactor.Listening() {
		return
	}
	l.lingerSet = true
	time.AfterFunc(lingerEvery, func() { l.reactor.Post(l.lingered) })
}

// lingered looks after the connections that linger; the last of them ends a router that has stopped.
func (l *Loop) lingered() {
	l.lingerSet = false
	now := time.Now()
	for _, one := range slices.Clone(l.lingering) {
		l.shut(one)
		if !now.Before(one.by) {
			l.close(one.peer)
		}
	}
	if l.ended {
		l.flushed()
		return
	}
	l.lingerSoon()
}

// close closes a connection at once.
func (l *Loop) close(p *peer) {
	p.stream.Close()
	l.gone(p, nil)
}

// forgetLinger: the connection is closed, whoever closed it.
func (l *Loop) forgetLinger(p *peer) {
	l.lingering = slices.DeleteFunc(l.lingering, func(o *lingerer) bool { return o.peer == p })
}
