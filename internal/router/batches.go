package router

import (
	"cmp"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
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

type code uint8

const (
	served  = code(clients.Served)
	refused = code(clients.Refused)
	failed  = code(clients.Failed)

	// A client's time runs from when it sent the batch until it has the whole answer. It leaves on the dot, often
	// before a final answer given at the last moment has come, and the batch then counts as lost. So much is taken
	// off for both ways and for a standstill of either side: a part of its time, within bounds. Covers slow clients
	// and busy machines too; it hurts where an answer would have come within these last milliseconds.
	wayShare, leastWay, mostWay = 0.05, 0.04, 0.25

	lateAnswer = 0.02 // past the client's time: worth a line
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
			if r.now > b.dueAt-lateAnswer {
				r.log(Warn, "client left at its time limit", "id", b.id, "group", b.Group.Name, "left", b.dueAt-r.now,
					"out", b.Out, "dispatches", len(b.dispatches))
			}
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
		r.log(Warn, "batch can't be used", "client", c.number, "stream", f.Stream, "group", told.Group, "why", err)
		r.reply(b, failed, 0, nil)
		f.Body.Release()
		return
	}
	held, memory := r.settings.Settings.MostHeld, textShare*float64(r.settings.MemoryMB)*(1<<20)
	if held > 0 && len(r.batches) >= held || memory > 0 && float64(r.pool.Used()*buffers.Size) > memory {
		// Beyond what the platform lets a router hold. Nothing of it has run, so a pushback is true.
		r.reply(b, refused, 0, nil)
		f.Body.Release()
		return
	}
	left := told.Left - min(max(wayShare*told.Left, leastWay), mostWay)
	if r.stopAt > 0 {
		left = min(left, r.killAt-r.now) // nobody answers after that
	}
	r.ids++
	b.Batch = &brain.Batch{ID: r.ids, Group: group, Client: slices.Index(r.settings.Settings.Clients, told.Client),
		Key: told.Key, Left: max(left, 0.001), Cost: told.Cost, Memory: told.Memory,
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
		r.log(Warn, "client gone with open batches", "client", number, "open", len(c.open), "end", end.String())
	}
	delete(r.clients, number)
	open := make([]*batch, 0, len(c.open))
	for _, b := range c.open {
		open = append(open, b)
	}
	slices.SortFunc(open, func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range open {
		r.left(b)
	}
}
