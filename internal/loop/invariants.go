package loop

import (
	"errors"

	"go.uber.org/zap"

	"pitchfield/internal/guard"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// What the loop does by the guard. It tells the guard what comes in, and asks it before anything goes out.

// observeEvent tells the guard of an event before the router is told.
func (l *Loop) observeEvent(e router.Event) {
	switch e := e.(type) {
	case router.ClientMessage:
		switch said := e.Message.(type) {
		case *traffic.BatchRequest:
			l.guard.RequestAccepted(guard.Request{Client: e.Client, Stream: said.Stream})
		case traffic.Cancel:
			l.guard.RequestCancelled(guard.Request{Client: e.Client, Stream: said.Stream})
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

// logWithheld tells of what the guard has withheld.
func (l *Loop) logWithheld(err error, fields ...zap.Field) {
	var gone *guard.ClientGoneError
	if errors.As(err, &gone) {
		l.log.Info("request is not sent, its client has just gone", fields...)
		return
	}
	counts := l.guard.Counts()
	l.log.Error("invariant violated, it is withheld", append(fields, zap.Error(err), zap.Int("violations", counts.TotalViolations()))...)
}

// allowReply asks before a client is told something. What it is not told is given back.
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

// answerBeforeClose gives what is open on a client's connection its final answer before we end it. Whoever does not read could not
// be told, and one whose bytes can't be read has broken the protocol.
func (l *Loop) answerBeforeClose(p *peer, why router.CloseReason) {
	switch why {
	case router.PeerNotReading, router.BufferLimitExceeded, router.BadInput, router.LoginRefused:
		return
	}
	l.failOpenRequests(l.guard.CloseClient(p.number), guard.CloseUnanswered)
}

// answerBeforeStop does so for all clients before the router ends.
func (l *Loop) answerBeforeStop() {
	l.failOpenRequests(l.guard.Exit(), guard.ExitUnanswered)
	l.logRequestCounts()
}

func (l *Loop) failOpenRequests(open []guard.Request, v guard.Violation) {
	for _, r := range open {
		l.logWithheld(&guard.ViolationError{Violation: v, Request: r})
		answer := &traffic.Answer{Stream: r.Stream, Code: traffic.Failed, Reason: "the connection ends"}
		if l.guard.Answer(r) == nil {
			l.sendToClient(l.clients[r.Client], answer)
		}
	}
}

// logRequestCounts logs what has become of requests since the start.
func (l *Loop) logRequestCounts() {
	c := l.guard.Counts()
	l.log.Info("requests", zap.Int("taken", c.Accepted), zap.Int("answered", c.Answered), zap.Int("cancelled", c.Cancelled),
		zap.Int("gone with their client", c.Abandoned), zap.Int("open", l.guard.OpenRequests()), zap.Int("violations", c.TotalViolations()),
		zap.Int("failed system calls", l.reactor.Failures()))
}
