package router

import (
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/engines"
)

const mostPages = 64 // far more than the largest result has

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
	for _, p := range d.pages {
		p.Release()
	}
	d.pages = nil
	if d.line != nil {
		d.line.queue = slices.DeleteFunc(d.line.queue, func(w any) bool { return w == any(d) })
	}
	b := d.batch
	r.log(Debug, "ended", "id", b.id, "no", d.no, "engine", d.engine.name, "how", int(how), "took", r.now-d.sentAt,
		"work", d.work, "memory", d.memory, "over", b.client == nil)
	r.brain.Outcome(b.Batch, d.no, how, b.client == nil, r.now-d.sentAt, d.work, d.memory, report)
	r.forget(b)
}

// giveUp ends a dispatch of ours before the engine did.
func (r *Router) giveUp(d *dispatch, how brain.Ending) {
	if d.ended {
		return
	}
	l := d.line
	if d.written {
		r.command(l, func(out *buffers.Chain) { engines.WriteAbort(out, d.batch.id) })
		// Nothing came since the fetch was written: what is written next might lie in the same hole for long, as
		// where a machine is cut off. What comes after goes on a new connection, which proves at once whether the
		// engine can be reached. It costs a handshake where one was only slow and has no notes to tell.
		l.Suspect = l.Suspect || l.Heard <= d.wroteAt
	} else {
		how = unsent[how]
	}
	r.ended(d, how, nil)
	if l != nil {
		l.Close(d.batch.id, d.written, r.now)
		r.rest(l)
	}
}

// unsent is what giving up a dispatch proves whose bytes never left this router.
var unsent = map[brain.Ending]brain.Ending{brain.TimedOut: brain.Unconnected, brain.Withdrawn: brain.NotSent}

func (r *Router) engineSaid(number uint64, reply *engines.Reply) {
	l := r.connections[number]
	if l == nil {
		reply.Body.Release()
		return
	}
	l.Heard, l.Suspect = r.now, false
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
		l.Close(d.batch.id, false, r.now)
		r.rest(l)
	}
	switch reply.Word {
	case engines.Done:
		if d.pages != nil {
			body.Release()
			return
		}
		if said.Pages > mostPages {
			finish(brain.Errored)
			return
		}
		d.work, d.memory = said.Work, said.Memory
		d.pages = make([]*buffers.Chain, max(said.Pages, 1))
		d.missing = len(d.pages)
		if d.batch.client == nil { // nobody wants the pages
			if d.missing > 1 {
				r.command(d.line, func(out *buffers.Chain) { engines.WriteDone(out, d.batch.id) })
			}
			finish(brain.Returned)
			return
		}
		for n := 1; n < len(d.pages); n++ {
			r.command(d.line, func(out *buffers.Chain) { engines.WriteMore(out, d.batch.id, n) })
		}
		r.page(d, 0, body)
	case engines.More:
		r.page(d, said.Page, body)
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
		body.Release()
	}
}

// page takes a page in. Only with the last of them is the answer whole and the dispatch returned.
func (r *Router) page(d *dispatch, n int, body *buffers.Chain) {
	if n < 0 || n >= len(d.pages) || d.pages[n] != nil {
		body.Release()
		return
	}
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
