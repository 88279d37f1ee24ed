package router

import (
	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

// Where second copies are forbidden a request must not have two attempts out, and an attempt is out until its engine has ended it or
// has read that it is given up. That word travels on the connection of the attempt, with that connection's delay and unread bytes; a
// further attempt may travel on another one. So it waits for a proof that the first has ended:
//
//   - any final answer to the attempt;
//   - the engine's answer to a command that was written after the word on the same connection: a page of the result in RESP, the
//     acknowledged attention in TDS;
//   - the end of the connection by its engine, which gives up all that was open on it.
//
// An end of the connection that we have made, or that only our side knows of, proves nothing. Without a proof in time the request
// gets no further attempt but its final answer.

// cancelConfirmTimeout is how long an engine may take to show that it has read that an attempt is given up, in seconds.
const cancelConfirmTimeout = 1.0

// confirmationPage is asked for to have an answer: an engine that has given a request up says that it knows no such page.
const confirmationPage = 1

// cancelConfirmDue is due when a withdrawal must be confirmed.
type cancelConfirmDue struct{ *dispatch }

// needsCancelConfirmation tells whether the end of a dispatch has to be proven before the module hears of it. Where nothing is sent again
// whatever comes of it, the final answer need not wait.
func (r *Router) needsCancelConfirmation(d *dispatch) bool {
	return !r.config.Settings.MayHedge && d.batch.client != nil && d.batch.Group.Idempotency != brain.AtMostOnce && !d.streaming
}

// cancelAttempt tells an engine that a dispatch is given up, and keeps it open until the engine has shown that it has read that. It
// reports whether there is time for that.
func (r *Router) cancelAttempt(d *dispatch, how brain.Outcome) bool {
	by := min(r.now+cancelConfirmTimeout, d.batch.Deadline())
	if by <= r.now || !d.conn.Up {
		return false
	}
	l := d.conn
	d.cancelled, d.cancelledAs = true, how
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

// handleReplyAfterCancel takes what an engine says of a dispatch that is given up, where that proves its end. All else is taken as ever: a
// result that was on its way still is the answer.
func (r *Router) handleReplyAfterCancel(d *dispatch, reply *traffic.EngineReply) (proven bool) {
	switch {
	case reply.Kind == traffic.ReplyFailed, reply.Kind == traffic.ReplyPage && d.pages == nil:
		reply.Rows.Release()
		r.finishCancellation(d, d.cancelledAs)
		return true
	}
	return false
}

// confirmCancellations: an engine that takes one batch at a time has ended what was given up on a connection.
func (r *Router) confirmCancellations(l *engineConn) {
	for _, what := range l.AllPending() {
		if d, is := what.(*dispatch); is && d.cancelled {
			r.finishCancellation(d, d.cancelledAs)
		}
	}
}

// cancelConfirmExpired: nothing has shown in time that a dispatch has ended.
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

// finishCancellation tells the module of the end of a dispatch that was given up.
func (r *Router) finishCancellation(d *dispatch, how brain.Outcome) {
	l := d.conn
	r.endDispatch(d, how, d.report)
	l.RemovePending(d.batch.id, true, r.now)
	r.closeIfUnneeded(l)
}

// endingAfterClose is how a dispatch ends whose bytes may have left and whose connection has ended.
func (r *Router) endingAfterClose(d *dispatch, end CloseReason) brain.Outcome {
	if r.needsCancelConfirmation(d) && !d.endedByEngine && !end.ByPeer() {
		return brain.Unconfirmed
	}
	return outcomesByReason[end].written
}
