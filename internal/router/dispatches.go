package router

import (
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

const (
	maxResultBytes    = 48000 // bytes of a result that has to be whole
	pageRetryInterval = 0.1   // a page is there and comes at once; it is asked for again after this, doubled each time
	// A request that was decided must be written within this part of a drain's grace, and within these seconds, else it is
	// decided anew: the process may stand still in between, a drain be told and its client go. The rest is for answers on
	// their way. A step takes a little, whatever the grace.
	decisionGraceShare               = 0.5
	maxDecisionTime, minDecisionTime = 0.05, 0.02
)

// pageTimeout is due when pages that were asked for should have come.
type pageTimeout struct{ *dispatch }

// dispatch is one that is out until it has its ending.
type dispatch struct {
	batch            *batch
	number           int
	engine           *engine
	conn             *engineConn
	sentAt           float64
	writtenAt        float64
	deadline         float64
	writeBy          float64 // it has to be written before: engines forget its first then, or a part of the fleet's budget ends
	written          bool
	ended            bool
	pages            []rows.Part // from the first on,
	receivedPages    uint64      // one bit for each that has come
	missingPages     int
	pagesRequestedAt float64 // for pages
	pageRetryDelay   float64 // seconds until they are asked for again
	pageTimer        *timer
	resultSize       int  // of the rows that are there
	streaming        bool // rows of it have gone out to the client
	readingPaused    bool // the engine's connection is not read, since the client is slow
	endedByEngine    bool // its engine has ended it, with what can't be passed on
	cancelled        bool // its engine is told that it is given up, and has not shown that it has read that
	cancelledAs      brain.Outcome
	work, memory     float64
	report           *brain.Report
	timer            *timer
}

func (r *Router) startDispatch(b *batch, e *engine, what brain.Decision) {
	no, wait := what.Number, what.Wait
	d := &dispatch{batch: b, number: no, engine: e, sentAt: r.now, deadline: r.now + wait, writeBy: r.writeDeadline(), work: -1, memory: -1}
	if what.SendBefore > 0 {
		d.writeBy = min(d.writeBy, what.SendBefore)
	}
	b.dispatches = append(b.dispatches, d)
	e.outstanding++
	d.timer = r.timers.add(d.deadline, d)
	r.log(Debug, "dispatch", "id", b.id, "no", no, "engine", e.name, "wait", wait, "memory", b.memory,
		"serial", r.follower.Serial(), "age", r.follower.Counts(r.now).Age)
	l, end := r.pickConnection(e, b.id)
	if l == nil {
		r.endDispatch(d, outcomesByReason[end].unwritten, nil)
		return
	}
	d.conn = l
	l.AddPending(b.id, d)
	r.send(l, d)
}

// send orders what waits for the connection, or lines it up until the connection is there and its engine reads. What is
// lined up is still ours: it can be taken back, and never ran.
func (r *Router) send(l *engineConn, what any) {
	if _, request := what.(*dispatch); !l.Up || request && l.PeerNotReading {
		l.queue = append(l.queue, what)
		return
	}
	switch w := what.(type) {
	case *dispatch:
		if r.now >= w.writeBy { // it waited for its connection
			r.returnUnwritten(w)
			return
		}
		w.written, w.writtenAt = true, r.now
		r.log(Debug, "written", "id", w.batch.id, "no", w.number, "engine", w.engine.name, "address", w.engine.address,
			"connection", l.Number, "waited", r.now-w.sentAt, "serial", r.follower.Serial())
		r.emit(SendToEngine{l.Number, w.request(r.now), min(w.writeBy, r.now+r.decisionTime()), w.batch.origin(!r.config.Settings.MayHedge)})
	case *probe:
		r.emit(SendToEngine{l.Number, traffic.Probe{Tag: w.tag, WantLoad: r.config.Settings.EnginesReportLoad}, math.Inf(1), Origin{}})
	}
}

// origin is what its attempts are made for. Nobody waits for a batch without a client, and nothing may be sent for it.
func (b *batch) origin(single bool) Origin {
	if b.client == nil {
		return Origin{}
	}
	return Origin{Client: b.client.number, Stream: b.stream, OnceOnly: b.Group.Idempotency == brain.AtMostOnce, Single: single}
}

// orderRefused takes back a request that was not written. It never ran. Either the part of the fleet's budget by which it was
// decided has ended, or the list of engines may have changed since, and it is decided anew; or its engine does not read, and
// it waits for that.
func (r *Router) orderRefused(e OrderRefused) {
	l := r.connections[e.Connection]
	if l == nil {
		return
	}
	d, is := l.Pending(e.ID).(*dispatch)
	if !is || d.ended {
		return
	}
	d.written = false
	switch {
	case d.batch.client == nil:
		r.abortDispatch(d, brain.Canceled)
	case e.Why == OrderInvalid:
		r.failInvalid(d)
	case e.Why == OrderUnread:
		l.PeerNotReading = true
		l.queue = append(l.queue, d)
	default:
		r.returnUnwritten(d)
	}
}

// failInvalid ends a request of which an attempt would have broken an invariant. Decided anew it would be withheld again, until its
// time is over, so it gets its final answer: an error, which promises nothing.
func (r *Router) failInvalid(d *dispatch) {
	b := d.batch
	r.returnUnwritten(d)
	if b.client != nil {
		r.brain.RemoveBatch(b.Batch)
		b.lastError = "the router's state is in doubt"
		r.answerBatch(b, traffic.Failed, 0)
	}
}

func (r *Router) returnUnwritten(d *dispatch) {
	r.log(Warn, "request is taken back, it was not written", "id", d.batch.id, "engine", d.engine.name, "waited", r.now-d.sentAt)
	d.written = false
	id, l := d.batch.id, d.conn
	r.endDispatch(d, outcomesByReason[RouterStopped].unwritten, nil)
	l.RemovePending(id, false, r.now)
	r.closeIfUnneeded(l)
}

// decisionTime is how long a request may take from its decision to its writing, in seconds.
func (r *Router) decisionTime() float64 {
	return max(min(r.config.Settings.DrainGrace*decisionGraceShare, maxDecisionTime), minDecisionTime)
}

func (r *Router) sendOrder(l *engineConn, what traffic.EngineCommand) {
	if l.Up {
		r.emit(SendToEngine{l.Number, what, math.Inf(1), Origin{}})
	}
}

// endDispatch tells the module how a dispatch ended; a batch that is over needs no more dispatches. One of which rows have
// gone out is over with that: nothing can be sent again, and the client is told that its result is cut.
func (r *Router) endDispatch(d *dispatch, how brain.Outcome, report *brain.Report) {
	if d.ended {
		return
	}
	d.ended = true
	d.engine.outstanding--
	r.timers.stop(d.timer)
	r.timers.stop(d.pageTimer)
	for _, p := range d.pages {
		p.Release()
	}
	d.pages = nil
	if d.conn != nil {
		d.conn.queue = slices.DeleteFunc(d.conn.queue, func(w any) bool { return w == any(d) })
	}
	b := d.batch
	if d.streaming && b.client != nil && how != brain.Completed {
		r.log(Warn, "result is cut", "id", b.id, "engine", d.engine.name, "how", int(how), "sent", d.resultSize)
		r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: "the result is cut: " + b.lastError})
	}
	r.log(Debug, "ended", "id", b.id, "no", d.number, "engine", d.engine.name, "how", int(how), "took", r.now-d.sentAt,
		"work", d.work, "memory", d.memory, "over", b.client == nil, "missing", d.missingPages, "connection", d.connectionNumber())
	r.brain.DispatchEnded(b.Batch, d.number, how, b.client == nil, r.now-d.sentAt, d.work, d.memory, report)
	r.releaseBatch(b)
}

func (d *dispatch) connectionNumber() uint64 {
	if d.conn == nil {
		return 0
	}
	return d.conn.Number
}

// abortDispatch ends a dispatch of ours before the engine did.
func (r *Router) abortDispatch(d *dispatch, how brain.Outcome) {
	if d.ended || d.cancelled {
		return
	}
	l := d.conn
	if d.readingPaused {
		r.setReadingPaused(d, false)
	}
	if d.written && r.needsCancelConfirmation(d) && r.cancelAttempt(d, how) {
		return
	}
	if d.written {
		r.sendOrder(l, traffic.CancelDispatch{ID: d.batch.id})
	} else {
		how = unsentEnding[how]
	}
	id := d.batch.id
	r.endDispatch(d, how, nil)
	if l == nil {
		return
	}
	if l.engine.protocol.OneAtATime {
		if d.written {
			r.awaitFree(l) // before the close, lest it counts as free
		}
		l.RemovePending(id, false, r.now)
		r.closeIfUnneeded(l)
		return
	}
	l.RemovePending(id, d.written, r.now)
	if d.written && l.LastReceivedAt <= d.writtenAt {
		// Nothing came since the fetch was written: what is written next might lie in the same hole for long, as
		// where a machine is cut off. What comes after goes on a new connection, which proves at once whether the
		// engine can be reached. It costs a handshake where one was only slow and has no notes to tell.
		r.suspectConnection(l)
	}
	r.closeIfUnneeded(l)
}

// unsentEnding is what giving up a dispatch proves whose bytes never left this router.
var unsentEnding = map[brain.Outcome]brain.Outcome{brain.TimedOut: brain.ConnectFailed, brain.Canceled: brain.NotSent}

func (r *Router) engineReplied(number uint64, reply *traffic.EngineReply) {
	l := r.connections[number]
	if l == nil {
		reply.Rows.Release()
		return
	}
	l.LastReceivedAt, l.Suspect, l.partialSince = r.now, false, 0
	if reply.Kind == traffic.ReplyReleased {
		r.connectionFree(l)
		return
	}
	switch what := l.Pending(reply.ID).(type) {
	case *dispatch:
		r.handleReply(what, reply)
	case *probe:
		reply.Rows.Release()
		r.finishProbe(what, reply.Kind == traffic.ReplyHealthy, reply.Load, false)
	default: // late: the dispatch has ended
		reply.Rows.Release()
	}
}

// finishDispatch ends a dispatch by what its engine said.
func (r *Router) finishDispatch(d *dispatch, how brain.Outcome) {
	l := d.conn
	r.endDispatch(d, how, d.report)
	// A second copy may follow: it must not end another dispatch of the batch, were that on this connection.
	l.RemovePending(d.batch.id, how != brain.Completed && d.batch.client != nil && !l.engine.protocol.OneAtATime, r.now)
	r.closeIfUnneeded(l)
}

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
		if d.batch.client == nil { // nobody wants the pages
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
		switch n := reply.Page; {
		case n < 1 || n >= len(d.pages):
			r.rejectReply(d, reply)
		case d.receivedPages&(1<<n) != 0: // a second copy
			body.Release()
		case r.checkRows(d, reply):
			r.storePage(d, n, body)
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
		if d.pages != nil {
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

// checkRows: the protocol has found no fault, and there is no more than a result holds.
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

// rejectReply: an answer that can't be passed on. What comes after it on the connection can't be trusted either; what is
// open there ends by the table.
func (r *Router) rejectReply(d *dispatch, reply *traffic.EngineReply) {
	r.log(Warn, "unusable answer", "engine", d.engine.name, "word", int(reply.Kind), "why", reply.Invalid,
		"bytes", reply.Rows.Len())
	reply.Rows.Release()
	d.endedByEngine = reply.Kind != traffic.ReplyUnknown
	r.closeConnection(d.conn, BadInput)
}

func (r *Router) requestPages(d *dispatch) {
	for n := 1; n < len(d.pages); n++ {
		if d.receivedPages&(1<<n) == 0 {
			r.sendOrder(d.conn, traffic.FetchPage{ID: d.batch.id, Page: n})
		}
	}
	d.pagesRequestedAt = r.now
	d.pageTimer = r.timers.add(r.now+d.pageRetryDelay, pageTimeout{d})
}

// pagesOverdue: answers get lost, and the engine still has its pages. Where nothing came at all since they were asked for,
// the connection may be of no use. It hurts nothing: a page that comes twice is dropped.
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

// storePage takes a page in. Only with the last of them is the answer whole and the dispatch returned.
func (r *Router) storePage(d *dispatch, n int, body rows.Part) {
	d.pages[n] = body
	d.receivedPages |= 1 << n
	if d.missingPages--; d.missingPages == 0 {
		r.completeResult(d)
	}
}

// completeResult: the result is whole. A result that the client's protocol can't express is an error, never an answer.
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

func totalSize(parts []rows.Part) (n int) {
	for _, p := range parts {
		n += p.Len()
	}
	return n
}
