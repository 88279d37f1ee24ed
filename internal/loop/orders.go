package loop

import (
	"errors"

	"go.uber.org/zap"

	"pitchfield/internal/guard"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// sendCommand writes what the router wants of an engine. A request is written only if its first byte can leave now: neither too
// long after it was decided, nor behind bytes that the engine has not read. Else it is given back, and never was sent. What
// was written and waits here could be taken back by nobody: it would leave whenever the engine reads, after a drain, after
// its client has gone, or after the engines have forgotten its first attempt.
func (l *Loop) sendCommand(p *peer, e router.SendToEngine) {
	request, is := e.Order.(*traffic.Dispatch)
	if !is {
		if word, is := e.Order.(traffic.CancelDispatch); is {
			l.guard.CancelSent(word.ID, e.Connection)
		}
		p.engine.Encode(l.encoded, e.Order)
		l.write(p, l.encoded)
		return
	}
	switch {
	case clock() >= e.WriteBy:
		l.processEvent(router.OrderRefused{Connection: e.Connection, ID: request.ID, Why: router.OrderLate})
		return
	case p.stream.Unsent() > 0:
		l.rejectUnread(p, request)
		return
	}
	if err := l.checkSend(e, request.ID); err != nil {
		l.logWithheld(err, zap.String("id", request.ID), zap.Uint64("connection", e.Connection))
		why := router.OrderInvalid
		var gone *guard.ClientGoneError
		if errors.As(err, &gone) {
			why = router.OrderClientGone
		}
		l.processEvent(router.OrderRefused{Connection: e.Connection, ID: request.ID, Why: why})
		return
	}
	p.engine.Encode(l.encoded, e.Order)
	size := l.encoded.Len()
	l.write(p, l.encoded)
	if l.isOpen(p) && p.stream.Unsent() >= size {
		l.withdrawUnsent(p, request)
		return
	}
	l.recordOrder(request.ID, l.stepStart)
}

// checkSend asks the guard whether an attempt may leave.
func (l *Loop) checkSend(e router.SendToEngine, id string) error {
	request := guard.Request{Client: e.Origin.Client, Stream: e.Origin.Stream}
	if e.Origin.Single {
		if err := l.guard.CheckNoneInFlight(request); err != nil {
			return err
		}
	}
	return l.guard.Send(request, id, e.Connection, e.Origin.OnceOnly)
}

// rejectUnread gives a request back whose engine does not read, and looks after the engine until it does.
func (l *Loop) rejectUnread(p *peer, request *traffic.Dispatch) {
	if _, known := l.unreadEngines[p]; !known {
		l.unreadEngines[p] = struct{}{}
		l.log.Info("engine has not read what was written, requests wait", zap.String("id", request.ID),
			zap.Uint64("connection", p.number), zap.Int("bytes", p.stream.Unsent()))
	}
	l.processEvent(router.OrderRefused{Connection: p.number, ID: request.ID, Why: router.OrderUnread})
	l.scheduleUnreadCheck()
}

// withdrawUnsent: not one byte of a request has left, and what the connection holds back can be taken from it by its end alone.
func (l *Loop) withdrawUnsent(p *peer, request *traffic.Dispatch) {
	l.guard.AttemptNotRun(request.ID, p.number)
	l.processEvent(router.OrderRefused{Connection: p.number, ID: request.ID, Why: router.OrderLate})
	l.failConnection(p, router.PeerNotReading)
}

// reportReadEngines tells the router of engines that have read all, and whether others have not.
func (l *Loop) reportReadEngines() (more bool) {
	for p := range l.unreadEngines {
		if p.stream.Unsent() > 0 {
			more = true
			continue
		}
		delete(l.unreadEngines, p)
		l.processEvent(router.EngineWritable{Connection: p.number})
	}
	return more
}
