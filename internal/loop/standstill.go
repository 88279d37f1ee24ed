package loop

import (
	"time"

	"go.uber.org/zap"
)

const (
	// rereadThreshold is how long after the first event of a turn its decisions may still be made without another look at
	// the sockets. Clients that have gone may be sent for during 0.1 s.
	rereadThreshold = 50 * time.Millisecond
	rereadDelay     = time.Millisecond
)

// postponeAfterPause postpones a turn's decisions, once, where its events took long: the process stood still, or had too much to do.
// Tasks run before the sockets are looked at again, so clients that went meanwhile and connections that ended are not known
// yet. What is read after a while may take as long, so the second time decides.
func (l *Loop) postponeAfterPause() bool {
	took := time.Duration(0)
	if !l.busySince.IsZero() {
		took = time.Since(l.busySince)
	}
	l.busySince = time.Time{}
	if took < rereadThreshold || l.postponed {
		l.postponed = false
		return false
	}
	l.postponed = true
	l.log.Warn("stood still, sockets are read before anything is decided", zap.Duration("took", took))
	// By a timer: a task that waits now would run before the sockets are looked at.
	time.AfterFunc(rereadDelay, func() { l.reactor.Post(l.endTurn) })
	return true
}
