package router

import (
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

const (
	mostResult = 48000 // bytes of a result that has to be whole
	pageAgain  = 0.1   // a page is there and comes at once; it is asked for again after this, doubled each time
	// A request that was decided must be written within this part of a drain's grace, and within these seconds, else it is
	// decided anew: the process may stand still in between, a drain be told and its client go. The rest is for answers on
	// their way. A step takes a little, whatever the grace.
	decisionShare            = 0.5
	mostDecision, leastHolds = 0.05, 0.02
)

// missingPages is due when pages that were asked for should have come.
type missingPages struct{ *dispatch }

// dispatch is one that is out until it has its ending.
type dispatch struct {
	batch        *batch
	no           int
	engine       *engine
	line         *line
	sentAt       float64
	wroteAt      float64
	endAt        float64
	by           float64 // it has to be written before: engines forget its first then, or a part of the fleet's budget ends
	written      bool
	ended        bool
	pages        []rows.Part // from the first on,
	there        uint64      // one bit for each that has come
	missing      int
	askedAt      float64 // for pages
	again        float64 // seconds until they are asked for again
	paging       *timer
	size         int  // of the rows that are there
	streams      bool // rows of it have gone out to the client
	held         bool // the engine's connection is not read, since the client is slow
	answered     bool // its engine has ended it, with what can't be passed on
	withdrawn    bool // its engine is told that it is given up, and has not shown that it has read that
	withdrawnAs  brain.Outcome
	work, memory float64
	report       *brain.Report
	timer        *timer
}

func (r *Router) dispatch(b *batch, e *engine, what brain.Decision) {
	no, wait := what.Number, what.Wait
	d := &dispatch{batch: b, no: no, engine: e, sentAt: r.now, endAt: r.now + wait, by: r.writeDeadline(), work: -1, memory: -1}
	if what.SendBefore > 0 {
		d.by = min(d.by, what.SendBefore)
	}
	b.dispatches = append(b.dispatches, d)
	e.out++
	d.timer = r.timers.add(d.endAt, d)
	r.log(Debug, "dispatch", "id", b.id, "no", no, "engine", e.name, "wait", wait, "memory", b.memory,
		"serial", r.follower.Serial(), "age", r.follower.Counts(r.now).Age)
	l, end := r.pick(e, b.id)
	if l == nil {
		r.ended(d, outcomesByReason[end].unwritten, nil)
		return
	}
	d.line = l
	l.Open(b.id, d)
	r.send(l, d)
}

// send orders what waits for the connection, or lines it up until the connection is there and its engine reads. What is
// lined up is still ours: it can be taken back, and never ran.
func (r *Router) send(l *line, what any) {
	if _, request := what.(*dispatch); !l.Up || request && l.Unread {
		l.queue = append(l.queue, what)
		return
	}
	switch w := what.(type) {
	case *dispatch:
		if r.now >= w.by { // it waited for its connection
			r.expired(w)
			return
		}
		w.written, w.wroteAt = true, r.now
		r.log(Debug, "written", "id", w.batch.id, "no", w.no, "engine", w.engine.name, "address", w.engine.address,
			"connection", l.Number, "waited", r.now-w.sentAt, "serial", r.follower.Serial())
		r.do(OrderEngine{l.Number, w.request(r.now), min(w.by, r.now+r.decisionHolds()), w.batch.origin(!r.settings.Settings.MayHedge)})
	case *probe:
		r.do(OrderEngine{l.Number, traffic.Probe{Tag: w.tag, WantLoad: r.settings.Settings.Loads}, math.Inf(1), Origin{}})
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
	d, is := l.Get(e.ID).(*dispatch)
	if !is || d.ended {
		return
	}
	d.written = false
	switch {
	case d.batch.client == nil:
		r.giveUp(d, brain.Canceled)
	case e.Why == OrderInvalid:
		r.abandon(d)
	case e.Why == OrderUnread:
		l.Unread = true
		l.queue = append(l.queue, d)
	default:
		r.expired(d)
	}
}

// abandon ends a request of which an attempt would have broken an invariant. Decided anew it would be withheld again, until its
// time is over, so it gets its final answer: an error, which promises nothing.
func (r *Router) abandon(d *dispatch) {
	b := d.batch
	r.expired(d)
	if b.client != nil {
		r.brain.RemoveBatch(b.Batch)
		b.why = "the router's state is in doubt"
		r.answer(b, traffic.Failed, 0)
	}
}

func (r *Router) expired(d *dispatch) {
	r.log(Warn, "request is taken back, it was not written", "id", d.batch.id, "engine", d.engine.name, "waited", r.now-d.sentAt)
	d.written = false
	id, l := d.batch.id, d.line
	r.ended(d, outcomesByReason[RouterStopped].unwritten, nil)
	l.Close(id, false, r.now)
	r.rest(l)
}

// decisionHolds is how long a request may take from its decision to its writing, in seconds.
func (r *Router) decisionHolds() float64 {
	return max(min(r.settings.Settings.DrainGrace*decisionShare, mostDecision), leastHolds)
}

func (r *Router) order(l *line, what traffic.EngineCommand) {
	if l.Up {
		r.do(OrderEngine{l.Number, what, math.Inf(1), Origin{}})
	}
}

// ended tells the module how a dispatch ended; a batch that is over needs no more dispatches. One of which rows have
// gone out is over with that: nothing can be sent again, and the client is told that its result is cut.
func (r *Router) ended(d *dispatch, how brain.Outcome, report *brain.Report) {
	if d.ended {
		return
	}
	d.ended = true
	d.engine.out--
	r.timers.stop(d.timer)
	r.timers.stop(d.paging)
	for _, p := range d.pages {
		p.Release()
	}
	d.pages = nil
	if d.line != nil {
		d.line.queue = slices.DeleteFunc(d.line.queue, func(w any) bool { return w == any(d) })
	}
	b := d.batch
	if d.streams && b.client != nil && how != brain.Completed {
		r.log(Warn, "result is cut", "id", b.id, "engine", d.engine.name, "how", int(how), "sent", d.size)
		r.reply(b, &traffic.Answer{Code: traffic.Failed, Reason: "the result is cut: " + b.why})
	}
	r.log(Debug, "ended", "id", b.id, "no", d.no, "engine", d.engine.name, "how", int(how), "took", r.now-d.sentAt,
		"work", d.work, "memory", d.memory, "over", b.client == nil, "missing", d.missing, "connection", d.connection())
	r.brain.DispatchEnded(b.Batch, d.no, how, b.client == nil, r.now-d.sentAt, d.work, d.memory, report)
	r.forget(b)
}

func (d *dispatch) connection() uint64 {
	if d.line == nil {
		return 0
	}
	return d.line.Number
}

// giveUp ends a dispatch of ours before the engine did.
func (r *Router) giveUp(d *dispatch, how brain.Outcome) {
	if d.ended || d.withdrawn {
		return
	}
	l := d.line
	if d.held {
		r.hold(d, false)
	}
	if d.written && r.needsCancelConfirmation(d) && r.cancelAttempt(d, how) {
		return
	}
	if d.written {
		r.order(l, traffic.CancelDispatch{ID: d.batch.id})
	} else {
		how = unsent[how]
	}
	id := d.batch.id
	r.ended(d, how, nil)
	if l == nil {
		return
	}
	if l.engine.speaks.OneAtATime {
		if d.written {
			r.settle(l) // before the close, lest it counts as free
		}
		l.Close(id, false, r.now)
		r.rest(l)
		return
	}
	l.Close(id, d.written, r.now)
	if d.written && l.Heard <= d.wroteAt {
		// Nothing came since the fetch was written: what is written next might lie in the same hole for long, as
		// where a machine is cut off. What comes after goes on a new connection, which proves at once whether the
		// engine can be reached. It costs a handshake where one was only slow and has no notes to tell.
		r.suspect(l)
	}
	r.rest(l)
}

// unsent is what giving up a dispatch proves whose bytes never left this router.
var unsent = map[brain.Outcome]brain.Outcome{brain.TimedOut: brain.ConnectFailed, brain.Canceled: brain.NotSent}

func (r *Router) engineSaid(number uint64, reply *traffic.EngineReply) {
	l := r.connections[number]
	if l == nil {
		reply.Rows.Release()
		return
	}
	l.Heard, l.Suspect, l.half = r.now, false, 0
	if reply.Kind == traffic.ReplyReleased {
		r.settled(l)
		return
	}
	switch what := l.Get(reply.ID).(type) {
	case *dispatch:
		r.said(what, reply)
	case *probe:
		reply.Rows.Release()
		r.finishProbe(what, reply.Kind == traffic.ReplyHealthy, reply.Load, false)
	default: // late: the dispatch has ended
		reply.Rows.Release()
	}
}

// finish ends a dispatch by what its engine said.
func (r *Router) finish(d *dispatch, how brain.Outcome) {
	l := d.line
	r.ended(d, how, d.report)
	// A second copy may follow: it must not end another dispatch of the batch, were that on this connection.
	l.Close(d.batch.id, how != brain.Completed && d.batch.client != nil && !l.engine.speaks.OneAtATime, r.now)
	r.rest(l)
}

func (r *Router) said(d *dispatch, reply *traffic.EngineReply) {
	if d.report == nil {
		d.report = reply.Load
	}
	body := reply.Rows
	if reply.Reason != "" {
		d.batch.why = reply.Reason
	}
	if d.withdrawn && r.handleReplyAfterCancel(d, reply) {
		return
	}
	switch reply.Kind {
	case traffic.ReplyFirstPage:
		if d.pages != nil {
			body.Release()
			return
		}
		if !r.usableRows(d, reply) {
			return
		}
		d.work, d.memory = reply.Work, reply.Memory
		if d.batch.client == nil { // nobody wants the pages
			if reply.Pages > 1 {
				r.order(d.line, traffic.CloseResult{ID: d.batch.id})
			}
			body.Release()
			r.finish(d, brain.Completed)
			return
		}
		d.pages = make([]rows.Part, reply.Pages)
		d.missing = len(d.pages)
		if d.again = pageAgain; d.missing > 1 {
			r.askPages(d)
		}
		r.page(d, 0, body)
	case traffic.ReplyPage:
		switch n := reply.Page; {
		case n < 1 || n >= len(d.pages):
			r.unusable(d, reply)
		case d.there&(1<<n) != 0: // a second copy
			body.Release()
		case r.usableRows(d, reply):
			r.page(d, n, body)
		}
	case traffic.ReplyRows:
		if r.usableRows(d, reply) {
			r.some(d, body)
		}
	case traffic.ReplyComplete:
		if !r.usableRows(d, reply) {
			return
		}
		d.work, d.memory = reply.Work, reply.Memory
		r.returned(d)
	case traffic.ReplyOverloaded, traffic.ReplyTooLate:
		body.Release()
		if d.pages != nil {
			r.finish(d, brain.Errored)
		} else {
			r.finish(d, brain.Rejected)
		}
	case traffic.ReplyFailed:
		body.Release()
		r.finish(d, brain.Errored)
	case traffic.ReplyProgress:
		body.Release()
		if reply.Note != 0 {
			r.brain.DispatchUpdated(d.batch.Batch, d.no, reply.Note, reply.Level)
		}
	default:
		r.unusable(d, reply)
	}
}

// usableRows: the protocol has found no fault, and there is no more than a result holds.
func (r *Router) usableRows(d *dispatch, reply *traffic.EngineReply) bool {
	if d.size += reply.Rows.Len(); reply.Invalid == "" && !d.batch.Route.AllowsResult(d.size) && d.batch.client != nil {
		reply.Rows.Release()
		r.tooLarge(d, errRoute)
		return false
	}
	if reply.Invalid == "" && (d.size <= mostResult || !d.engine.speaks.BoundedResult) {
		return true
	}
	r.unusable(d, reply)
	return false
}

// unusable: an answer that can't be passed on. What comes after it on the connection can't be trusted either; what is
// open there ends by the table.
func (r *Router) unusable(d *dispatch, reply *traffic.EngineReply) {
	r.log(Warn, "unusable answer", "engine", d.engine.name, "word", int(reply.Kind), "why", reply.Invalid,
		"bytes", reply.Rows.Len())
	reply.Rows.Release()
	d.answered = reply.Kind != traffic.ReplyUnknown
	r.closeLine(d.line, BadInput)
}

func (r *Router) askPages(d *dispatch) {
	for n := 1; n < len(d.pages); n++ {
		if d.there&(1<<n) == 0 {
			r.order(d.line, traffic.FetchPage{ID: d.batch.id, Page: n})
		}
	}
	d.askedAt = r.now
	d.paging = r.timers.add(r.now+d.again, missingPages{d})
}

// pagesDue: answers get lost, and the engine still has its pages. Where nothing came at all since they were asked for,
// the connection may be of no use. It hurts nothing: a page that comes twice is dropped.
func (r *Router) pagesDue(d *dispatch) {
	if d.ended || d.missing == 0 {
		return
	}
	if d.line.Heard <= d.askedAt {
		r.suspect(d.line)
	}
	d.again *= 2
	r.askPages(d)
}

// page takes a page in. Only with the last of them is the answer whole and the dispatch returned.
func (r *Router) page(d *dispatch, n int, body rows.Part) {
	d.pages[n] = body
	d.there |= 1 << n
	if d.missing--; d.missing == 0 {
		r.returned(d)
	}
}

// returned: the result is whole. A result that the client's protocol can't express is an error, never an answer.
func (r *Router) returned(d *dispatch) {
	b := d.batch
	if b.work = d.work; b.work < 0 {
		b.work = (r.now - d.sentAt) * b.Group.Threads
	}
	r.level.workFinished(b.work, r.now)
	if b.client != nil {
		parts := d.pages
		d.pages = nil
		var err error
		if !d.streams {
			if parts, err = b.client.speaks.ConvertResult(parts); err == nil && b.client.speaks.MaxResultBytes > 0 && sizeOf(parts) > b.client.speaks.MaxResultBytes {
				rows.Release(parts)
				err = errTooLarge
			}
		}
		if err != nil {
			r.log(Warn, "result can't be expressed", "id", b.id, "engine", d.engine.name, "speaks", b.client.speaks.Name,
				"why", err.Error())
			r.reply(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
		} else {
			r.log(Debug, "answer", "id", b.id, "code", traffic.Succeeded.String(), "pages", len(parts))
			r.reply(b, &traffic.Answer{Code: traffic.Succeeded, Rows: parts})
		}
	}
	if d.held {
		r.hold(d, false)
	}
	r.finish(d, brain.Completed)
}

func sizeOf(parts []rows.Part) (n int) {
	for _, p := range parts {
		n += p.Len()
	}
	return n
}
