package router

import (
	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

// Where hedging is forbidden, a request must not have two attempts outstanding at once. An attempt is outstanding until its engine
// has ended it or has read its cancellation. The cancellation travels on the connection of the attempt, behind that connection's
// delay and unread bytes, while a retry may travel faster on another connection. So a retry waits for a proof that the first
// attempt has ended:
//
//   - any final answer to the attempt;
//   - the engine's answer to a command that was written after the cancellation on the same connection: a page of the result in
//     RESP, the acknowledged attention in TDS;
//   - the close of the connection by the engine, which ends everything that was open on it.
//
// A close by this router, or one that only this side knows of, proves nothing. Without a proof in time the request is not retried
// but gets its final answer.

// cancelConfirmTimeout is how long an engine may take to show that it has read a cancellation, in seconds.
const cancelConfirmTimeout = 1.0

// confirmationPage is the page that is requested after a cancellation to get an answer: an engine that has cancelled the request
// replies that it knows no such page.
const confirmationPage = 1

// cancelConfirmDue is the timer value at which the cancellation of a dispatch must have been confirmed.
type cancelConfirmDue struct{ *dispatch }

// needsCancelConfirmation reports whether the end of a dispatch has to be proven before it is reported to the decision module. Where
// the batch is never sent again, whatever the outcome, its final answer need not wait for the proof.
func (r *Router) needsCancelConfirmation(d *dispatch) bool {
	return !r.config.Settings.MayHedge && d.batch.client != nil && d.batch.Group.Idempotency != brain.AtMostOnce && !d.streaming
}

// cancelAttempt sends a cancellation and keeps the dispatch open until the engine has shown that it has read it; the dispatch then
// ends with the given ending. It returns false, having done nothing, if the connection is not up or there is no time left to wait.
func (r *Router) cancelAttempt(d *dispatch, ending brain.Outcome) bool {
	by := min(r.now+cancelConfirmTimeout, d.batch.Deadline())
	if by <= r.now || !d.conn.Up {
		return false
	}
	l := d.conn
	d.cancelled, d.cancelledAs = true, ending
	r.timers.stop(d.timer)
	r.timers.stop(d.pageTimer)
	d.timer = r.timers.add(by, cancelConfirmDue{d})
	r.sendOrder(l, traffic.CancelDispatch{ID: d.batch.id})
	if l.engine.protocol.OneAtATime {
		r.awaitFree(l)
		return true
	}
	r.sendOrder(l, traffic.FetchPage{ID: d.batch.id, Page: confirmationPage})
	l.Suspect = l.Suspect || l.LastReceivedAt <= d.writtenAt
	return true
}

// handleReplyAfterCancel ends a cancelled dispatch if the reply proves that the engine has ended it, and reports whether it does.
// Any other reply is processed as usual: a result that was already on its way is still the answer.
func (r *Router) handleReplyAfterCancel(d *dispatch, reply *traffic.EngineReply) (proven bool) {
	switch {
	case reply.Kind == traffic.ReplyFailed, reply.Kind == traffic.ReplyPage && d.pages == nil:
		reply.Rows.Release()
		r.finishCancellation(d, d.cancelledAs)
		return true
	}
	return false
}

// confirmCancellations ends the cancelled dispatches of a connection that carries one batch at a time, after its engine has shown
// that it has ended them.
func (r *Router) confirmCancellations(l *engineConn) {
	for _, open := range l.AllPending() {
		if d, is := open.(*dispatch); is && d.cancelled {
			r.finishCancellation(d, d.cancelledAs)
		}
	}
}

// cancelConfirmExpired ends a cancelled dispatch as unconfirmed, since nothing has shown in time that the engine has ended it.
// If nothing was received on its connection since the dispatch was written, the connection becomes suspect and is probed.
func (r *Router) cancelConfirmExpired(d *dispatch) {
	if d.ended {
		return
	}
	r.log(Info, "engine has not shown that an attempt is given up", "id", d.batch.id, "no", d.number, "engine", d.engine.name,
		"connection", d.conn.Number)
	l := d.conn
	silent := l.LastReceivedAt <= d.writtenAt
	r.finishCancellation(d, brain.Unconfirmed)
	if silent && r.connections[l.Number] == l {
		r.suspectConnection(l)
	}
}

// finishCancellation reports the end of a cancelled dispatch to the decision module and closes it on its connection.
func (r *Router) finishCancellation(d *dispatch, ending brain.Outcome) {
	l := d.conn
	r.endDispatch(d, ending, d.report)
	l.RemovePending(d.batch.id, true, r.now)
	r.closeIfUnneeded(l)
}

// endingAfterClose returns the ending of a dispatch whose connection has ended after some of its bytes may have left.
func (r *Router) endingAfterClose(d *dispatch, reason CloseReason) brain.Outcome {
	if r.needsCancelConfirmation(d) && !d.endedByEngine && !reason.ByPeer() {
		return brain.Unconfirmed
	}
	return outcomesByReason[reason].written
}
