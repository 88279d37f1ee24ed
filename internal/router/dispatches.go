package router

import (
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/engines"
)

const (
	mostPages  = 64    // far more than the largest result has
	mostResult = 48000 // bytes
	pageAgain  = 0.1   // a page is there and comes at once; it is asked for again after this, doubled each time
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
	written      bool
	ended        bool
	pages        []*buffers.Chain // from the first on; nil: still to come
	missing      int
	askedAt      float64 // for pages
	again        float64 // seconds until they are asked for again
	paging       *timer
	size         int // of the pages that are there
	work, memory float64
	report       *brain.Report
	timer        *timer
}

func (r *Router) dispatch(b *batch, e *engine, no int, wait float64) {
	d := &dispatch{batch: b, no: no, engine: e, sentAt: r.now, endAt: r.now + wait, work: -1, memory: -1}
	b.dispatches = append(b.dispatches, d)
	e.out++
	d.timer = r.timers.add(d.endAt, d)
	r.log(Debug, "dispatch", "id", b.id, "no", no, "engine", e.name, "wait", wait, "memory", b.memory)
	l, end := r.pick(e, b.id)
	if l == nil {
		r.ended(d, outcomes[end].unwritten, nil)
		return
	}
	d.line = l
	l.Open(b.id, d)
	r.send(l, d)
}

// send writes what waits for the connection, or lines it up until the connection is there.
func (r *Router) send(l *line, what any) {
	if !l.Up {
		l.queue = append(l.queue, what)
		return
	}
	out := r.pool.Chain()
	switch w := what.(type) {
	case *dispatch:
		w.written, w.wroteAt = true, r.now
		engines.Fetch{ID: w.batch.id, Group: w.batch.Group.Name, Mark: w.batch.mark, Wait: max(w.endAt-r.now, 0.001),
			Memory: w.batch.memory, Text: w.batch.text}.Write(out)
	case *probe:
		engines.WriteProbe(out, w.tag, r.settings.Settings.Loads)
	}
	r.do(WriteEngine{l.Number, out})
}

func (r *Router) command(l *line, write func(out *buffers.Chain)) {
	if l.Up {
		out := r.pool.Chain()
		write(out)
		r.do(WriteEngine{l.Number, out})
	}
}

// ended tells the module how a dispatch ended; a batch that is over needs no more dispatches.
func (r *Router) ended(d *dispatch, how brain.Ending, report *brain.Report) {
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
	r.log(Debug, "ended", "id", b.id, "no", d.no, "engine", d.engine.name, "how", int(how), "took", r.now-d.sentAt,
		"work", d.work, "memory", d.memory, "over", b.client == nil, "missing", d.missing, "connection", d.connection())
	r.brain.Outcome(b.Batch, d.no, how, b.client == nil, r.now-d.sentAt, d.work, d.memory, report)
	r.forget(b)
}

func (d *dispatch) connection() uint64 {
	if d.line == nil {
		return 0
	}
	return d.line.Number
}

// giveUp ends a dispatch of ours before the engine did.
func (r *Router) giveUp(d *dispatch, how brain.Ending) {
	if d.ended {
		return
	}
	l := d.line
	if d.written {
		r.command(l, func(out *buffers.Chain) { engines.WriteAbort(out, d.batch.id) })
	} else {
		how = unsent[how]
	}
	r.ended(d, how, nil)
	if l == nil {
		return
	}
	l.Close(d.batch.id, d.written, r.now)
	if d.written && l.Heard <= d.wroteAt {
		// Nothing came since the fetch was written: what is written next might lie in the same hole for long, as
		// where a machine is cut off. What comes after goes on a new connection, which proves at once whether the
		// engine can be reached. It costs a handshake where one was only slow and has no notes to tell.
		r.suspect(l)
	}
	r.rest(l)
}

// unsent is what giving up a dispatch proves whose bytes never left this router.
var unsent = map[brain.Ending]brain.Ending{brain.TimedOut: brain.Unconnected, brain.Withdrawn: brain.NotSent}

func (r *Router) engineSaid(number uint64, reply *engines.Reply) {
	l := r.connections[number]
	if l == nil {
		reply.Body.Release()
		return
	}
	l.Heard, l.Suspect, l.half = r.now, false, 0
	switch what := l.Get(reply.ID).(type) {
	case *dispatch:
		r.said(what, reply)
	case *probe:
		reply.Body.Release()
		r.probed(what, reply.Word == engines.Fit, reply.Said().Load, false)
	default: // late: the dispatch has ended
		reply.Body.Release()
	}
}

func (r *Router) said(d *dispatch, reply *engines.Reply) {
	said := reply.Said()
	if d.report == nil && said.Load != "" {
		d.report = report(said.Load)
	}
	body := reply.Body
	finish := func(how brain.Ending) {
		body.Release()
		rep, l := d.report, d.line
		r.ended(d, how, rep)
		// A second copy may follow: it must not end another dispatch of the batch, were that on this connection.
		l.Close(d.batch.id, how != brain.Returned && d.batch.client != nil, r.now)
		r.rest(l)
	}
	switch reply.Word {
	case engines.Done:
		if d.pages != nil {
			body.Release()
			return
		}
		if said.Pages < 1 || said.Pages > mostPages || !r.whole(d, said.Pages == 1, body) {
			r.unusable(d, reply)
			return
		}
		d.work, d.memory = said.Work, said.Memory
		d.pages = make([]*buffers.Chain, said.Pages)
		d.missing = len(d.pages)
		if d.batch.client == nil { // nobody wants the pages
			if d.missing > 1 {
				r.command(d.line, func(out *buffers.Chain) { engines.WriteDone(out, d.batch.id) })
			}
			finish(brain.Returned)
			return
		}
		if d.again = pageAgain; d.missing > 1 {
			r.askPages(d)
		}
		r.page(d, 0, body)
	case engines.More:
		switch n := said.Page; {
		case n < 1 || n >= len(d.pages):
			r.unusable(d, reply)
		case d.pages[n] != nil: // a second copy
			body.Release()
		case !r.whole(d, false, body):
			r.unusable(d, reply)
		default:
			r.page(d, n, body)
		}
	case engines.Full, engines.Past:
		if d.pages != nil {
			finish(brain.Errored)
		} else {
			finish(brain.TurnedAway)
		}
	case engines.Broke:
		finish(brain.Errored)
	case engines.Tell:
		body.Release()
		kind := map[string]brain.Note{"done": brain.Progress, "spills": brain.Spills, "waits": brain.Waits}[said.Note]
		if kind != 0 {
			r.brain.News(d.batch.Batch, d.no, kind, said.Level)
		}
	default:
		r.unusable(d, reply)
	}
}

// whole: rows of three columns of text, all of them ended, and no more than a result holds.
func (r *Router) whole(d *dispatch, mayBeEmpty bool, body *buffers.Chain) bool {
	if body == nil || body.Len() == 0 {
		return mayBeEmpty
	}
	d.size += body.Len()
	return d.size <= mostResult && engines.Rows(body)
}

// unusable: an answer that can't be passed on. What comes after it on the connection can't be trusted either; what is
// open there ends by the table.
func (r *Router) unusable(d *dispatch, reply *engines.Reply) {
	r.log(Warn, "unusable answer", "engine", d.engine.name, "word", int(reply.Word), "fields", reply.Fields,
		"bytes", reply.Body.Len())
	reply.Body.Release()
	r.closeLine(d.line, BadInput)
}

func (r *Router) askPages(d *dispatch) {
	for n := 1; n < len(d.pages); n++ {
		if d.pages[n] == nil {
			r.command(d.line, func(out *buffers.Chain) { engines.WriteMore(out, d.batch.id, n) })
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
func (r *Router) page(d *dispatch, n int, body *buffers.Chain) {
	if body == nil {
		body = r.pool.Chain()
	}
	d.pages[n] = body
	if d.missing--; d.missing > 0 {
		return
	}
	l, b := d.line, d.batch
	if b.client != nil {
		r.log(Debug, "answer", "id", b.id, "code", 0, "pages", len(d.pages))
		r.reply(b, served, 0, d.pages)
	}
	r.ended(d, brain.Returned, d.report)
	l.Close(b.id, false, r.now)
	r.rest(l)
}
