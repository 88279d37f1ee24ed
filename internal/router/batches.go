package router

import (
	"math"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/engines"
	"pitchfield/internal/settings"
	"pitchfield/internal/statement"
)

type batch struct {
	*brain.Batch
	client     *client // nil: nobody waits any more
	stream     uint32
	id, mark   string
	text       *buffers.Chain
	memory     float64 // for the next dispatch
	dueAt      float64 // the client stops waiting then
	dispatches []*dispatch
}

// dispatch is one that is out until it has its ending.
type dispatch struct {
	batch        *batch
	no           int
	engine       *engine
	line         *line
	sentAt       float64
	endAt        float64
	written      bool
	ended        bool
	pages        []*buffers.Chain // from the first on; nil: still to come
	missing      int
	work, memory float64
	report       *brain.Report
}

type code uint8

const (
	served  = code(clients.Served)
	refused = code(clients.Refused)
	failed  = code(clients.Failed)

	// A client's time runs from when it sent the batch until it has the whole answer. It leaves on the dot, often
	// before a final answer given at the last moment has come, and the batch then counts as lost. This much is
	// taken off for both ways and a loop turn that comes late (18 ms was seen). Covers slow clients and busy
	// machines too; it hurts where an answer would have come within these last milliseconds.
	wayTime = 0.04

	lateAnswer = 0.02 // past the client's time: worth a line

	mostPages = 64 // far more than the largest result has
)

func (r *Router) clientSaid(number uint64, f *clients.Frame) {
	c := r.clients[number]
	if c == nil {
		f.Body.Release()
		return
	}
	switch f.Type {
	case clients.Ask:
		r.take(c, f)
		return // the body is the batch's
	case clients.Leave:
		if b := c.open[f.Stream]; b != nil {
			r.left(b)
		}
	case clients.AskReady:
		out := r.pool.Chain()
		clients.WriteReady(out, f.Stream, r.stopAt == 0)
		r.do(WriteClient{number, out})
	default:
		r.reject(c, f.Stream)
	}
	f.Body.Release()
}

// reject tells of an error that belongs to no batch and ends the connection.
func (r *Router) reject(c *client, stream uint32) {
	r.log(Warn, "client sent what can't be used", "client", c.number, "stream", stream)
	out := r.pool.Chain()
	clients.WriteAnswer(out, 0, clients.Failed, 0, nil)
	r.do(WriteClient{c.number, out})
	r.do(CloseClient{c.number, BadInput})
	r.clientEnded(c.number, BadInput)
}

func (r *Router) take(c *client, f *clients.Frame) {
	if f.Stream == 0 || c.open[f.Stream] != nil {
		f.Body.Release()
		r.reject(c, f.Stream)
		return
	}
	told, err := f.Batch()
	group := r.groups[told.Group]
	b := &batch{client: c, stream: f.Stream, id: told.ID, mark: told.Mark, text: f.Body}
	if err != nil || group == nil {
		r.log(Debug, "batch can't be used", "client", c.number, "stream", f.Stream, "group", told.Group, "why", err)
		r.reply(b, failed, 0, nil)
		f.Body.Release()
		return
	}
	if most := r.settings.Settings.MostHeld; most > 0 && len(r.batches) >= most {
		r.reply(b, refused, 0, nil)
		f.Body.Release()
		return
	}
	r.ids++
	b.Batch = &brain.Batch{ID: r.ids, Group: group, Client: slices.Index(r.settings.Settings.Clients, told.Client),
		Key: told.Key, Left: max(told.Left-wayTime, 0.001), Cost: told.Cost, Memory: told.Memory,
		Tables: float64(statement.DataSet(b.text.Reader()))}
	b.dueAt = r.now + told.Left
	r.batches[b.Batch] = b
	c.open[f.Stream] = b
	r.log(Debug, "batch", "id", b.id, "group", group.Name, "left", b.Left, "tables", b.Tables, "text", textOf{b.text})
	r.brain.Take(b.Batch)
}

// textOf is only made a text if it is logged.
type textOf struct{ *buffers.Chain }

// reply frames the final answer.
func (r *Router) reply(b *batch, what code, wait float64, body []*buffers.Chain) {
	if b.client == nil {
		return
	}
	out := r.pool.Chain()
	clients.WriteAnswer(out, b.stream, uint8(what), wait, body)
	delete(b.client.open, b.stream)
	if b.dueAt > 0 && r.now > b.dueAt+lateAnswer {
		r.log(Warn, "answer is late", "id", b.id, "by", r.now-b.dueAt, "code", uint8(what))
	}
	r.do(WriteClient{b.client.number, out})
	b.client = nil
}

// answer ends a batch for its client: once, and never after the client has left.
func (r *Router) answer(b *batch, what code, wait float64, body []*buffers.Chain) {
	if b == nil {
		return
	}
	r.log(Debug, "answer", "id", b.id, "code", uint8(what), "dispatches", len(b.dispatches))
	r.reply(b, what, wait, body)
	r.forget(b)
}

// left: nobody waits for the batch any more.
func (r *Router) left(b *batch) {
	delete(b.client.open, b.stream)
	b.client = nil
	r.brain.Left(b.Batch)
	r.forget(b)
}

// forget drops what a batch that is over needs no more; its dispatches may still be out.
func (r *Router) forget(b *batch) {
	if b.client == nil {
		if b.Out == 0 {
			delete(r.batches, b.Batch)
		}
		b.text.Release()
	}
}

func (r *Router) clientEnded(number uint64, end End) {
	c := r.clients[number]
	if c == nil {
		return
	}
	if len(c.open) > 0 {
		r.log(Debug, "client gone with open batches", "client", number, "open", len(c.open), "end", end.String())
	}
	delete(r.clients, number)
	open := make([]*batch, 0, len(c.open))
	for _, b := range c.open {
		open = append(open, b)
	}
	slices.SortFunc(open, func(a, b *batch) int { return int(a.ID) - int(b.ID) })
	for _, b := range open {
		r.left(b)
	}
}

// Dispatches.

func (r *Router) dispatch(b *batch, e *engine, no int, wait float64) {
	d := &dispatch{batch: b, no: no, engine: e, sentAt: r.now, endAt: r.now + wait, work: -1, memory: -1}
	b.dispatches = append(b.dispatches, d)
	r.timers.add(d.endAt, d)
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
		w.written = true
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

func (r *Router) timedOut(d *dispatch) {
	if d.ended {
		return
	}
	if l := d.line; l != nil && d.written && l.Heard < d.sentAt {
		// It has brought nothing since: what is written next might lie in the same hole for long. What comes
		// after goes on a new connection, which proves at once whether the engine can be reached.
		l.Suspect = true
	}
	r.giveUp(d, brain.TimedOut)
}

// giveUp ends a dispatch of ours before the engine did.
func (r *Router) giveUp(d *dispatch, how brain.Ending) {
	if d.ended {
		return
	}
	l := d.line
	if d.written {
		r.command(l, func(out *buffers.Chain) { engines.WriteAbort(out, d.batch.id) })
	} else if how == brain.TimedOut {
		how = brain.Unconnected // it never left this router
	}
	r.ended(d, how, nil)
	if l != nil {
		l.Close(d.batch.id, d.written, r.now)
		r.rest(l)
	}
}

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

func report(text string) *brain.Report {
	rep := settings.NoReport()
	engines.Each(text, ';', ':', func(name, value string) {
		settings.Report(rep, name, engines.Number(value))
	})
	return rep
}

// Probes.

type probe struct {
	engine *engine
	line   *line
	tag    string
	ended  bool
}

func (r *Router) probe(e *engine) {
	p := &probe{engine: e, tag: tag(r.number())}
	l, _ := r.pick(e, p.tag)
	if l == nil {
		p.ended = true
		r.brain.Probed(&e.Engine, false, nil)
		return
	}
	p.line = l
	l.Open(p.tag, p)
	r.timers.add(r.now+r.settings.Settings.DialTime, p)
	r.send(l, p)
}

func (r *Router) probed(p *probe, ok bool, load string, late bool) {
	if p.ended {
		return
	}
	p.ended = true
	p.line.queue = slices.DeleteFunc(p.line.queue, func(w any) bool { return w == any(p) })
	var rep *brain.Report
	if ok && load != "" {
		rep = report(load)
	}
	r.log(Debug, "probed", "engine", p.engine.name, "ok", ok, "load", load)
	r.brain.Probed(&p.engine.Engine, ok, rep)
	p.line.Close(p.tag, late, r.now)
	r.rest(p.line)
}

// Connections to engines.

// pick finds a connection for one more, or begins one.
func (r *Router) pick(e *engine, id string) (*line, End) {
	if c := e.pool.Pick(id, r.settings.Settings.Multiplex); c != nil {
		return r.connections[c.Number], 0
	}
	if e.address == "" {
		return nil, Unaddressed
	}
	if len(r.connections) >= r.most {
		return nil, NoDescriptor
	}
	l := &line{Connection: e.pool.Add(r.number(), r.now), engine: e}
	r.connections[l.Number] = l
	r.do(Dial{l.Number, e.address, r.settings.Settings.DialTime})
	return l, 0
}

func (r *Router) engineOpened(number uint64) {
	l := r.connections[number]
	if l == nil {
		r.do(CloseEngine{number, ClosedIdle})
		return
	}
	l.Up, l.Heard = true, r.now
	queue := l.queue
	l.queue = nil
	for _, what := range queue {
		r.send(l, what)
	}
	r.rest(l)
}

// rest looks after a connection on which nothing is open any more.
func (r *Router) rest(l *line) {
	if !l.Idle() || r.connections[l.Number] != l {
		return
	}
	if l.Suspect || l.engine.Phase == brain.Gone {
		r.closeLine(l, ClosedSuspect)
		return
	}
	if idle := r.settings.Settings.IdleTime; idle > 0 {
		r.timers.add(r.now+idle*idleEarly, l)
	}
}

func (r *Router) idle(l *line) {
	if r.connections[l.Number] == l && l.Idle() && r.now >= l.IdleAt+r.settings.Settings.IdleTime*idleEarly-1e-6 {
		r.closeLine(l, ClosedIdle)
	}
}

func (r *Router) closeLine(l *line, end End) {
	r.do(CloseEngine{l.Number, end})
	r.lineEnded(l, end)
}

// lineEnded ends all that was open on a connection, in the order it was sent.
func (r *Router) lineEnded(l *line, end End) {
	delete(r.connections, l.Number)
	l.engine.pool.Remove(l.Connection)
	open := l.Opens()
	if len(open) > 0 {
		r.log(Debug, "connection ended", "engine", l.engine.name, "end", end.String(), "open", len(open))
	}
	var dispatches []*dispatch
	for _, what := range open {
		switch w := what.(type) {
		case *dispatch:
			dispatches = append(dispatches, w)
		case *probe:
			r.probed(w, false, "", false)
		}
	}
	slices.SortFunc(dispatches, func(a, b *dispatch) int {
		if a.sentAt != b.sentAt {
			return int(math.Copysign(1, a.sentAt-b.sentAt))
		}
		return int(a.batch.ID) - int(b.batch.ID)
	})
	for _, d := range dispatches {
		how := outcomes[end].unwritten
		if d.written {
			how = outcomes[end].written
		}
		r.ended(d, how, nil)
	}
}

// Stopping.

type stopCheck struct{}

// stop: nothing new is asked for, but all that still comes is taken and answered.
func (r *Router) stop() {
	if r.stopAt > 0 {
		return
	}
	r.stopAt = r.now
	r.log(Info, "stopping", "open", len(r.batches), "clients", len(r.clients))
	for _, c := range r.clients {
		out := r.pool.Chain()
		clients.WriteNoMore(out)
		r.do(WriteClient{c.number, out})
	}
	r.timers.add(r.now+quietStop, stopCheck{})
	r.timers.add(r.now+mostStop, stopCheck{})
}

func (r *Router) stopping() {
	if r.stopAt == 0 || r.exited || r.now < r.stopAt+quietStop {
		return
	}
	waiting := 0
	for _, b := range r.batches {
		if b.client != nil {
			waiting++
		}
	}
	if waiting > 0 && r.now < r.stopAt+mostStop {
		return
	}
	for _, b := range r.batches { // an error promises nothing, so it is always true
		r.reply(b, failed, 0, nil)
	}
	r.exited = true
	r.log(Info, "stopped", "unanswered", waiting)
	r.do(Exit{})
}
