package loop

import (
	"time"

	"go.uber.org/zap"
)

const (
	// rereadThreshold is how long after the first event of a turn its decisions may be made without reading the sockets
	// again. Requests of a client may be dispatched for up to 0.1 s after it has closed its connection.
	rereadThreshold = 50 * time.Millisecond
	rereadDelay     = time.Millisecond // gives the reactor time to poll the sockets
)

// postponeAfterPause postpones the decisions of a turn whose events took longer than rereadThreshold, because the process
// was paused or overloaded, and returns whether it did. Tasks run before the sockets are polled again, so the loop does not
// know yet which clients and connections have closed meanwhile. It postpones a turn only once, since the events that are
// read then may take as long again.
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
	// A timer is used because a task posted now would run before the sockets are polled.
	time.AfterFunc(rereadDelay, func() { l.reactor.Post(l.endTurn) })
	return true
}
