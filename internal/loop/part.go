package loop

import (
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// A client's connection that the router ends is shut on our side first, once all that the client was told is written. What
// the client still sends is read and dropped until it closes too, or a little time has passed. A plain close over bytes
// that were not read yet resets the connection, and answers that had just been written go with it: a batch may cross any
// close of ours. A batch that crosses the shutdown is not taken: its client sends it again on another connection.
const (
	partTime    = 100 * time.Millisecond // clients that have seen our shutdown have closed by then
	partEvery   = 10 * time.Millisecond
	partShare   = 32 // of this many descriptors one may part; further ones are closed at once, the oldest first
	partAtLeast = 4
	partAtMost  = 16 // beside clients and engines there are 48 descriptors, and the process itself takes a dozen
)

// parting is what is left of a client's connection.
type parting struct {
	*peer
	shut bool
	by   time.Time // for what is not written yet, then for the client to close
}

// part ends a client's connection. What is to be written has until a time; none of it is anybody's any more but the peer's.
func (l *Loop) part(p *peer, by time.Time) {
	one := &parting{peer: p, by: by}
	p.parting = true
	l.partings = append(l.partings, one)
	l.shut(one)
	for !l.ended && len(l.partings) > min(max(l.config.Descriptors/partShare, partAtLeast), partAtMost) {
		l.close(l.partings[0].peer)
	}
	l.partSoon()
}

// shut ends our side, once nothing waits to be written.
func (l *Loop) shut(one *parting) {
	if one.shut || one.conn.OutboundBuffered() > 0 {
		return
	}
	one.shut, one.by = true, time.Now().Add(partTime)
	if err := syscall.Shutdown(one.on.Fd(), syscall.SHUT_WR); err != nil {
		l.log.Debug("shutdown", zap.Error(err))
		one.by = time.Now()
	}
}

func (l *Loop) partSoon() {
	if l.partSet || len(l.partings) == 0 {
		return
	}
	l.partSet = true
	time.AfterFunc(partEvery, func() { l.execute(l.parted) })
}

// parted looks after the connections that part; the last of them ends a router that has stopped.
func (l *Loop) parted() error {
	l.partSet = false
	now := time.Now()
	for _, one := range slices.Clone(l.partings) {
		l.shut(one)
		if !now.Before(one.by) {
			l.close(one.peer)
		}
	}
	if l.ended {
		return l.flushed()
	}
	l.partSoon()
	return nil
}

func (l *Loop) close(p *peer) {
	if err := l.turn.Close(p.on); err != nil {
		l.log.Debug("close", zap.Error(err))
	}
}

// forgetPart: the connection is closed, whoever closed it.
func (l *Loop) forgetPart(p *peer) {
	l.partings = slices.DeleteFunc(l.partings, func(o *parting) bool { return o.peer == p })
}
