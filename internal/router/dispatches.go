package router

import (
	"fmt"
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

const (
	// maxResultBytes is the largest result of a protocol whose results must be complete before they are sent on.
	maxResultBytes = 48000
	// pageRetryInterval is how many seconds after the first request missing pages are requested again; it doubles with
	// each request. An engine has its pages ready and sends them at once.
	pageRetryInterval = 0.1
	// decisionGraceShare is the part of the drain grace period within which a dispatch must be written after it was
	// decided; otherwise the decision module decides again. In between the process may be paused, a drain may be
	// reported and the client may leave. The rest of the grace period is for the answers.
	decisionGraceShare = 0.5
	// maxDecisionTime caps that time, in seconds.
	maxDecisionTime = 0.05
	// minDecisionTime is its lower bound, in seconds: a step of the event loop takes a moment even if the grace period
	// is short.
	minDecisionTime = 0.02
)

// pageTimeout is due when requested pages should have arrived.
type pageTimeout struct{ *dispatch }

// dispatch is one attempt to run a batch on an engine. It is outstanding until it has ended.
type dispatch struct {
	batch            *batch
	number           int // its index in the batch's dispatches
	engine           *engine
	conn             *engineConn // nil: no connection could be had
	sentAt           float64     // when it was decided
	writtenAt        float64
	deadline         float64
	writeBy          float64 // latest time to write it: later, engines may have forgotten the first attempt (deduplication), or the quota spent on it has ended
	written          bool    // the order was emitted and not refused, so bytes of it may have left
	ended            bool
	pages            []rows.Part // pages by number, or the parts of a result that comes in parts and is not sent on yet
	receivedPages    uint64      // one bit per page that has arrived
	missingPages     int
	pagesRequestedAt float64
	pageRetryDelay   float64 // seconds until missing pages are requested again
	pageTimer        *timer
	resultSize       int  // bytes of the rows received
	streaming        bool // rows of the result were sent to the client
	readingPaused    bool // the engine's connection is not read because the client is slow
	endedByEngine    bool // the engine has answered, but the answer is unusable
	cancelled        bool // the engine was told to cancel it and has not confirmed that yet
	cancelledAs      brain.Outcome
	work, memory     float64 // reported by the engine: seconds and MB; below 0: unknown
	report           *brain.Report
	timer            *timer // at the deadline, or when a cancellation must be confirmed
}

// startDispatch carries out a decision to dispatch a batch to an engine: it creates the dispatch, starts the timer of its
// deadline and sends it on a connection to the engine. If no connection can be had, the dispatch ends at once, unwritten.
func (r *Router) startDispatch(b *batch, e *engine, decision brain.Decision) {
	number, timeLimit := decision.Number, decision.Wait
	d := &dispatch{batch: b, number: number, engine: e, sentAt: r.now, deadline: r.now + timeLimit, writeBy: r.writeDeadline(), work: -1, memory: -1}
	if decision.SendBefore > 0 {
		d.writeBy = min(d.writeBy, decision.SendBefore)
	}
	b.dispatches = append(b.dispatches, d)
	e.outstanding++
	d.timer = r.timers.add(d.deadline, d)
	r.log(Debug, "dispatch", "id", b.id, "no", number, "engine", e.name, "wait", timeLimit, "memory", b.memory,
		"serial", r.follower.Serial(), "age", r.follower.Counts(r.now).Age)
	if maxBytes := e.protocol.MaxInlinedBytes; maxBytes > 0 && b.statement.InlinedSize > maxBytes {
		r.failOversized(d, maxBytes)
		return
	}
	conn, end := r.pickConnection(e, b.id)
	if conn == nil {
		r.endDispatch(d, outcomesByReason[end].unwritten, nil)
		return
	}
	d.conn = conn
	conn.AddPending(b.id, d)
	r.send(conn, d)
}

// send sends a dispatch or a probe on a connection, or queues it until the connection is up and, for a dispatch, its engine
// reads. A queued dispatch has not run and can still be withdrawn.
func (r *Router) send(conn *engineConn, item any) {
	if _, request := item.(*dispatch); !conn.Up || request && conn.PeerNotReading {
		conn.queue = append(conn.queue, item)
		return
	}
	switch item := item.(type) {
	case *dispatch:
		if r.now >= item.writeBy { // it waited too long for its connection
			r.returnUnwritten(item)
			return
		}
		item.written, item.writtenAt = true, r.now
		if item.batch.isOnceOnly() && !item.batch.hasOwnID {
			r.usedIDs.add(item.batch.id, r.now)
		}
		r.log(Debug, "written", "id", item.batch.id, "no", item.number, "engine", item.engine.name, "address", item.engine.address,
			"connection", conn.Number, "waited", r.now-item.sentAt, "serial", r.follower.Serial())
		r.emit(SendToEngine{conn.Number, item.request(r.now), min(item.writeBy, r.now+r.decisionTime()), item.batch.origin(!r.config.Settings.MayHedge)})
	case *probe:
		r.emit(SendToEngine{conn.Number, traffic.Probe{Tag: item.tag, WantLoad: r.config.Settings.EnginesReportLoad}, math.Inf(1), Origin{}})
	}
}

// origin returns the client request that the batch's attempts belong to. For a batch whose client has stopped waiting it is
// empty, and no attempt may be sent. If single is set, at most one attempt of the request may be outstanding at a time.
func (b *batch) origin(single bool) Origin {
	if b.client == nil {
		return Origin{}
	}
	return Origin{Client: b.client.number, Stream: b.stream, OnceOnly: b.isOnceOnly(), Single: single}
}

// isOnceOnly reports whether the batch must not run twice.
func (b *batch) isOnceOnly() bool { return b.Group.Idempotency == brain.AtMostOnce }

// provesNotRun reports whether an ending of a dispatch proves that it never ran.
func provesNotRun(ending brain.Outcome) bool {
	return ending == brain.Rejected || ending == brain.ConnectFailed || ending == brain.NotSent
}

// orderRefused handles a dispatch that the host did not write; it never ran. If its engine does not read, the dispatch is
// queued until it does. If the dispatch came too late, its quota share may have ended or the engine list may have changed, so
// the decision module decides again.
func (r *Router) orderRefused(e OrderRefused) {
	conn := r.connections[e.Connection]
	if conn == nil {
		return
	}
	d, isDispatch := conn.Pending(e.ID).(*dispatch)
	if !isDispatch || d.ended {
		return
	}
	d.written = false
	switch {
	case d.batch.client == nil:
		r.abortDispatch(d, brain.Canceled)
	case e.Why == OrderInvalid:
		r.failInvalid(d)
	case e.Why == OrderUnread:
		conn.PeerNotReading = true
		conn.queue = append(conn.queue, d)
	default:
		r.returnUnwritten(d)
	}
}

// failInvalid ends a batch whose dispatch was refused because it would have violated an invariant. A new decision would be
// refused again until the time limit, so the batch gets its final answer: an error, which does not say whether it ran.
func (r *Router) failInvalid(d *dispatch) {
	b := d.batch
	r.returnUnwritten(d)
	if b.client != nil {
		r.brain.RemoveBatch(b.Batch)
		b.lastError = "the router's state is in doubt"
		r.answerBatch(b, traffic.Failed, 0)
	}
}

// failOversized ends a dispatch, of which nothing was sent, because its engine carries no parameters and the statement with the
// parameters written into it is larger than maxBytes. Unless another dispatch of the batch may still bring its result, the
// batch is answered with an error.
func (r *Router) failOversized(d *dispatch, maxBytes int) {
	b := d.batch
	r.log(Warn, "statement is too large with its parameters", "id", b.id, "engine", d.engine.name, "bytes", b.statement.InlinedSize)
	r.endDispatch(d, brain.NotSent, nil)
	if b.client == nil || b.InFlight > 0 {
		return
	}
	r.brain.RemoveBatch(b.Batch)
	b.lastError = fmt.Sprintf("The statement has more than %d bytes with its parameters written into it.", maxBytes)
	r.answerBatch(b, traffic.Failed, 0)
}

// returnUnwritten ends a dispatch that was not written in time; the decision module may decide about its batch again.
func (r *Router) returnUnwritten(d *dispatch) {
	r.log(Warn, "request is taken back, it was not written", "id", d.batch.id, "engine", d.engine.name, "waited", r.now-d.sentAt)
	d.written = false
	id, conn := d.batch.id, d.conn
	r.endDispatch(d, outcomesByReason[RouterStopped].unwritten, nil)
	conn.RemovePending(id, false, r.now)
	r.closeIfUnneeded(conn)
}

// decisionTime returns how many seconds the host may take to write a dispatch after the router has ordered it with
// SendToEngine: a part of the drain grace period, between minDecisionTime and maxDecisionTime.
func (r *Router) decisionTime() float64 {
	return max(min(r.config.Settings.DrainGrace*decisionGraceShare, maxDecisionTime), minDecisionTime)
}

// sendOrder sends an order that is not a dispatch, if the connection is up.
func (r *Router) sendOrder(conn *engineConn, order traffic.EngineCommand) {
	if conn.Up {
		r.emit(SendToEngine{conn.Number, order, math.Inf(1), Origin{}})
	}
}

// endDispatch ends a dispatch and reports its ending to the decision module, which sends no more for a batch that has its
// final answer. If rows of the result were already sent to the client, the batch can't be retried: the client gets an
// error that says that its result is truncated.
func (r *Router) endDispatch(d *dispatch, ending brain.Outcome, report *brain.Report) {
	if d.ended {
		return
	}
	d.ended = true
	if d.batch.isOnceOnly() && provesNotRun(ending) {
		r.usedIDs.remove(d.batch.id)
	}
	d.engine.outstanding--
	r.timers.stop(d.timer)
	r.timers.stop(d.pageTimer)
	for _, p := range d.pages {
		p.Release()
	}
	d.pages = nil
	if d.conn != nil {
		d.conn.queue = slices.DeleteFunc(d.conn.queue, func(queued any) bool { return queued == any(d) })
	}
	b := d.batch
	if d.streaming && b.client != nil && ending != brain.Completed {
		r.log(Warn, "result is cut", "id", b.id, "engine", d.engine.name, "how", int(ending), "sent", d.resultSize)
		r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: "the result is cut: " + b.lastError})
	}
	r.log(Debug, "ended", "id", b.id, "no", d.number, "engine", d.engine.name, "how", int(ending), "took", r.now-d.sentAt,
		"work", d.work, "memory", d.memory, "over", b.client == nil, "missing", d.missingPages, "connection", d.connectionNumber())
	r.brain.DispatchEnded(b.Batch, d.number, ending, b.client == nil, r.now-d.sentAt, d.work, d.memory, report)
	r.releaseBatch(b)
}

// connectionNumber returns the number of the dispatch's connection; 0: none.
func (d *dispatch) connectionNumber() uint64 {
	if d.conn == nil {
		return 0
	}
	return d.conn.Number
}

// abortDispatch ends a dispatch that its engine has not ended, because of a timeout or because it is not needed any more.
// If its end must be confirmed, the dispatch stays outstanding until the engine confirms that it is cancelled.
func (r *Router) abortDispatch(d *dispatch, ending brain.Outcome) {
	if d.ended || d.cancelled {
		return
	}
	conn := d.conn
	if d.readingPaused {
		r.setReadingPaused(d, false)
	}
	if d.written && r.needsCancelConfirmation(d) && r.cancelAttempt(d, ending) {
		return
	}
	if d.written {
		r.sendOrder(conn, traffic.CancelDispatch{ID: d.batch.id})
	} else {
		ending = unsentEnding[ending]
	}
	id := d.batch.id
	r.endDispatch(d, ending, nil)
	if conn == nil {
		return
	}
	if conn.engine.protocol.OneAtATime {
		if d.written {
			r.awaitFree(conn) // before RemovePending: a connection with nothing pending counts as free
		}
		conn.RemovePending(id, false, r.now)
		r.closeIfUnneeded(conn)
		return
	}
	conn.RemovePending(id, d.written, r.now)
	if d.written && conn.LastReceivedAt <= d.writtenAt {
		// Nothing was received since the dispatch was written. If the engine's machine is cut off, later dispatches on
		// this connection would be lost for long too. They go on a new connection, which shows at once whether the
		// engine can be reached. If the engine was only slow and had no progress to report, this costs a handshake.
		r.suspectConnection(conn)
	}
	r.closeIfUnneeded(conn)
}

// unsentEnding maps the ending of an aborted dispatch to the one reported if no byte of it left this router. Both endings
// prove that it never ran.
var unsentEnding = map[brain.Outcome]brain.Outcome{brain.TimedOut: brain.ConnectFailed, brain.Canceled: brain.NotSent}

// engineReplied handles a reply that was read from the engine connection with this number.
func (r *Router) engineReplied(number uint64, reply *traffic.EngineReply) {
	conn := r.connections[number]
	if conn == nil {
		reply.Rows.Release()
		return
	}
	conn.LastReceivedAt, conn.Suspect, conn.partialSince = r.now, false, 0
	if reply.Kind == traffic.ReplyReleased {
		r.connectionFree(conn)
		return
	}
	switch open := conn.Pending(reply.ID).(type) {
	case *dispatch:
		r.handleReply(open, reply)
	case *probe:
		reply.Rows.Release()
		r.finishProbe(open, reply.Kind == traffic.ReplyHealthy, reply.Load, false)
	default: // a late reply to a dispatch that has ended
		reply.Rows.Release()
	}
}

// finishDispatch ends a dispatch as its engine has replied.
func (r *Router) finishDispatch(d *dispatch, ending brain.Outcome) {
	conn := d.conn
	r.endDispatch(d, ending, d.report)
	// The reply may arrive twice. Closing the id as one that may still get a reply keeps other dispatches of the batch off
	// this connection, where the duplicate would end them.
	conn.RemovePending(d.batch.id, ending != brain.Completed && d.batch.client != nil && !conn.engine.protocol.OneAtATime, r.now)
	r.closeIfUnneeded(conn)
}

// handleReply handles a reply to a dispatch that has not ended.
func (r *Router) handleReply(d *dispatch, reply *traffic.EngineReply) {
	if d.report == nil {
		d.report = reply.Load
	}
	body := reply.Rows
	if reply.Reason != "" {
		d.batch.lastError = reply.Reason
	}
	if d.cancelled && r.handleReplyAfterCancel(d, reply) {
		return
	}
	switch reply.Kind {
	case traffic.ReplyFirstPage:
		if d.pages != nil {
			body.Release()
			return
		}
		if !r.checkRows(d, reply) {
			return
		}
		d.work, d.memory = reply.Work, reply.Memory
		if d.batch.client == nil { // the client has stopped waiting, so the pages are not needed
			if reply.Pages > 1 {
				r.sendOrder(d.conn, traffic.CloseResult{ID: d.batch.id})
			}
			body.Release()
			r.finishDispatch(d, brain.Completed)
			return
		}
		d.pages = make([]rows.Part, reply.Pages)
		d.missingPages = len(d.pages)
		if d.pageRetryDelay = pageRetryInterval; d.missingPages > 1 {
			r.requestPages(d)
		}
		r.storePage(d, 0, body)
	case traffic.ReplyPage:
		switch number := reply.Page; {
		case number < 1 || number >= len(d.pages):
			r.rejectReply(d, reply)
		case d.receivedPages&(1<<number) != 0: // a duplicate
			body.Release()
		case r.checkRows(d, reply):
			r.storePage(d, number, body)
		}
	case traffic.ReplyRows:
		if r.checkRows(d, reply) {
			r.storePart(d, body)
		}
	case traffic.ReplyComplete:
		if !r.checkRows(d, reply) {
			return
		}
		d.work, d.memory = reply.Work, reply.Memory
		r.completeResult(d)
	case traffic.ReplyOverloaded, traffic.ReplyTooLate:
		body.Release()
		if d.hasResult() {
			r.finishDispatch(d, brain.Errored)
		} else {
			r.finishDispatch(d, brain.Rejected)
		}
	case traffic.ReplyFailed:
		body.Release()
		r.finishDispatch(d, brain.Errored)
	case traffic.ReplyProgress:
		body.Release()
		if reply.Note != 0 {
			r.brain.DispatchUpdated(d.batch.Batch, d.number, reply.Note, reply.Level)
		}
	default:
		r.rejectReply(d, reply)
	}
}

// hasResult reports whether part of a result has been received, which shows that the engine has run the batch.
func (d *dispatch) hasResult() bool { return d.pages != nil || d.streaming }

// checkRows reports whether the rows of a reply can be used: the protocol found no fault in them, and the result is within
// the limits of its route and its protocol. Otherwise it ends the batch or the connection.
func (r *Router) checkRows(d *dispatch, reply *traffic.EngineReply) bool {
	if d.resultSize += reply.Rows.Len(); reply.Invalid == "" && !d.batch.Route.AllowsResult(d.resultSize) && d.batch.client != nil {
		reply.Rows.Release()
		r.failTooLarge(d, errRouteLimit)
		return false
	}
	if reply.Invalid == "" && (d.resultSize <= maxResultBytes || !d.engine.protocol.BoundedResult) {
		return true
	}
	r.rejectReply(d, reply)
	return false
}

// rejectReply handles a reply that can't be passed on. What follows it on the connection can't be trusted either, so the
// connection is closed; dispatches that are open on it end as the outcomes table says.
func (r *Router) rejectReply(d *dispatch, reply *traffic.EngineReply) {
	r.log(Warn, "unusable answer", "engine", d.engine.name, "word", int(reply.Kind), "why", reply.Invalid,
		"bytes", reply.Rows.Len())
	reply.Rows.Release()
	d.endedByEngine = reply.Kind != traffic.ReplyUnknown
	r.closeConnection(d.conn, BadInput)
}

// requestPages requests the missing pages of a result.
func (r *Router) requestPages(d *dispatch) {
	for number := 1; number < len(d.pages); number++ {
		if d.receivedPages&(1<<number) == 0 {
			r.sendOrder(d.conn, traffic.FetchPage{ID: d.batch.id, Page: number})
		}
	}
	d.pagesRequestedAt = r.now
	d.pageTimer = r.timers.add(r.now+d.pageRetryDelay, pageTimeout{d})
}

// pagesOverdue requests the missing pages again: replies get lost, and the engine still has its pages. If nothing at all
// was received since the last request, the connection is suspect. Requesting a page twice is harmless, because a
// duplicate is dropped.
func (r *Router) pagesOverdue(d *dispatch) {
	if d.ended || d.missingPages == 0 {
		return
	}
	if d.conn.LastReceivedAt <= d.pagesRequestedAt {
		r.suspectConnection(d.conn)
	}
	d.pageRetryDelay *= 2
	r.requestPages(d)
}

// storePage stores a page of a result. The last one completes the result and ends the dispatch.
func (r *Router) storePage(d *dispatch, number int, body rows.Part) {
	d.pages[number] = body
	d.receivedPages |= 1 << number
	if d.missingPages--; d.missingPages == 0 {
		r.completeResult(d)
	}
}

// completeResult sends a complete result to the client, counts the batch's work for the load levels and ends the dispatch. If
// the client's protocol can't express the result, or the result exceeds the protocol's size limit, the client gets an error.
func (r *Router) completeResult(d *dispatch) {
	b := d.batch
	if b.work = d.work; b.work < 0 {
		b.work = (r.now - d.sentAt) * b.Group.Threads
	}
	r.level.workFinished(b.work, r.now)
	if b.client != nil {
		parts := d.pages
		d.pages = nil
		var err error
		if !d.streaming {
			if parts, err = b.client.protocol.ConvertResult(parts); err == nil && b.client.protocol.MaxResultBytes > 0 && totalSize(parts) > b.client.protocol.MaxResultBytes {
				rows.Release(parts)
				err = errProtocolLimit
			}
		}
		if err != nil {
			r.log(Warn, "result can't be expressed", "id", b.id, "engine", d.engine.name, "speaks", b.client.protocol.Name,
				"why", err.Error())
			r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
		} else {
			r.log(Debug, "answer", "id", b.id, "code", traffic.Succeeded.String(), "pages", len(parts))
			r.sendAnswer(b, &traffic.Answer{Code: traffic.Succeeded, Rows: parts})
		}
	}
	if d.readingPaused {
		r.setReadingPaused(d, false)
	}
	r.finishDispatch(d, brain.Completed)
}

// totalSize returns the number of bytes in parts.
func totalSize(parts []rows.Part) (size int) {
	for _, p := range parts {
		size += p.Len()
	}
	return size
}
