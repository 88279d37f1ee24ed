package loop

import (
	"errors"

	"go.uber.org/zap"

	"pitchfield/internal/guard"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// The guard checks the router's invariants independently of it. The loop reports to the guard what it receives, and asks
// it before anything is sent.

// observeEvent reports an event to the guard, before the router gets it.
func (l *Loop) observeEvent(e router.Event) {
	switch e := e.(type) {
	case router.ClientMessage:
		switch message := e.Message.(type) {
		case *traffic.BatchRequest:
			l.guard.RequestAccepted(guard.Request{Client: e.Client, Stream: message.Stream})
		case traffic.Cancel:
			l.guard.RequestCancelled(guard.Request{Client: e.Client, Stream: message.Stream})
		}
	case router.EngineReplied:
		switch e.Reply.Kind {
		case traffic.ReplyOverloaded, traffic.ReplyTooLate:
			l.guard.AttemptNotRun(e.Reply.ID, e.Connection)
		case traffic.ReplyFailed, traffic.ReplyComplete, traffic.ReplyFirstPage:
			l.guard.AttemptEnded(e.Reply.ID, e.Connection)
		case traffic.ReplyPage:
			l.guard.PageReceived(e.Reply.ID, e.Connection)
		case traffic.ReplyReleased:
			l.guard.CancellationsConfirmed(e.Connection)
		}
	}
}

// logWithheld logs that a message was withheld because the guard forbids it.
func (l *Loop) logWithheld(err error, fields ...zap.Field) {
	var gone *guard.ClientGoneError
	if errors.As(err, &gone) {
		l.log.Info("request is not sent, its client has just gone", fields...)
		return
	}
	counts := l.guard.Counts()
	l.log.Error("invariant violated, it is withheld", append(fields, zap.Error(err), zap.Int("violations", counts.TotalViolations()))...)
}

// allowReply asks the guard whether a reply may be sent to a client. If not, the reply is logged and released.
func (l *Loop) allowReply(e router.SendToClient) bool {
	var err error
	switch what := e.Message.(type) {
	case *traffic.Answer:
		err = l.guard.Answer(guard.Request{Client: e.Client, Stream: what.Stream})
	case traffic.Ready:
		if what.Yes {
			err = l.guard.Ready(guard.Request{Client: e.Client, Stream: what.Stream})
		}
	}
	if err == nil {
		return true
	}
	l.logWithheld(err)
	l.sendToClient(nil, e.Message)
	return false
}

// answerBeforeClose answers the requests that are still open on a client's connection before this side ends it, unless
// the client does not read, in which case no answer would reach it, or has broken the protocol.
func (l *Loop) answerBeforeClose(p *peer, why router.CloseReason) {
	switch why {
	case router.PeerNotReading, router.BufferLimitExceeded, router.BadInput, router.LoginRefused:
		return
	}
	l.failOpenRequests(l.guard.CloseClient(p.number), guard.CloseUnanswered)
}

// answerBeforeStop answers the open requests of all clients before the router stops.
func (l *Loop) answerBeforeStop() {
	l.failOpenRequests(l.guard.Exit(), guard.ExitUnanswered)
	l.logRequestCounts()
}

// failOpenRequests answers requests with an error and logs each as a violation, since the router should have answered
// them.
func (l *Loop) failOpenRequests(open []guard.Request, v guard.Violation) {
	for _, r := range open {
		l.logWithheld(&guard.ViolationError{Violation: v, Request: r})
		answer := &traffic.Answer{Stream: r.Stream, Code: traffic.Failed, Reason: "the connection ends"}
		if l.guard.Answer(r) == nil {
			l.sendToClient(l.clients[r.Client], answer)
		}
	}
}

// logRequestCounts logs how requests have ended since the start of the process.
func (l *Loop) logRequestCounts() {
	c := l.guard.Counts()
	l.log.Info("requests", zap.Int("taken", c.Accepted), zap.Int("answered", c.Answered), zap.Int("cancelled", c.Cancelled),
		zap.Int("gone with their client", c.Abandoned), zap.Int("open", l.guard.OpenRequests()), zap.Int("violations", c.TotalViolations()),
		zap.Int("failed system calls", l.reactor.Failures()))
}
