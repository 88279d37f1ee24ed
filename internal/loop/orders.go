package loop

import (
	"errors"

	"go.uber.org/zap"

	"pitchfield/internal/guard"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// sendCommand writes a command to an engine. A dispatch is written only if its first byte can leave at once: not after
// its time limit, and not behind bytes that the engine has not read. Otherwise it is returned to the router as not
// sent. A dispatch that waited in a send buffer could not be withdrawn: it would leave whenever the engine reads, perhaps
// after a drain, after its client has closed, or after the engines have forgotten the batch's first attempt.
func (l *Loop) sendCommand(p *peer, e router.SendToEngine) {
	request, is := e.Order.(*traffic.Dispatch)
	if !is {
		if cancel, is := e.Order.(traffic.CancelDispatch); is {
			l.guard.CancelSent(cancel.ID, e.Connection)
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

// checkSend asks the guard whether an attempt may be sent; an error says why not.
func (l *Loop) checkSend(e router.SendToEngine, id string) error {
	request := guard.Request{Client: e.Origin.Client, Stream: e.Origin.Stream}
	if e.Origin.Single {
		if err := l.guard.CheckNoneInFlight(request); err != nil {
			return err
		}
	}
	return l.guard.Send(request, id, e.Connection, e.Origin.OnceOnly)
}

// rejectUnread returns a request to the router because its engine has not read earlier bytes, and watches the engine
// until it has.
func (l *Loop) rejectUnread(p *peer, request *traffic.Dispatch) {
	if _, known := l.unreadEngines[p]; !known {
		l.unreadEngines[p] = struct{}{}
		l.log.Info("engine has not read what was written, requests wait", zap.String("id", request.ID),
			zap.Uint64("connection", p.number), zap.Int("bytes", p.stream.Unsent()))
	}
	l.processEvent(router.OrderRefused{Connection: p.number, ID: request.ID, Why: router.OrderUnread})
	l.scheduleUnreadCheck()
}

// withdrawUnsent returns a request to the router of which no byte has been sent. Its bytes can be removed from the
// stream's buffer only by ending the connection.
func (l *Loop) withdrawUnsent(p *peer, request *traffic.Dispatch) {
	l.guard.AttemptNotRun(request.ID, p.number)
	l.processEvent(router.OrderRefused{Connection: p.number, ID: request.ID, Why: router.OrderLate})
	l.failConnection(p, router.PeerNotReading)
}

// reportReadEngines tells the router which watched engines have read everything, and returns whether others have not.
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
