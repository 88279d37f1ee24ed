package router

import (
	"errors"
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

	mostLimits = 2.0  // times its group's time limit that a batch may be told to wait
	lateAnswer = 0.02 // past the client's time: worth a line
)

func (r *Router) clientSaid(number uint64, f *clients.Frame) {
	c := r.clients[number]
	if c == nil {
		f.Body.Release()
		return
	}
	c.half, c.since, c.said = 0, r.now, true
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
	r.refuseClient(c, BadInput)
}

func (r *Router) take(c *client, f *clients.Frame) {
	// A number counts up, so it never comes twice; what breaks that, or the bound of open ones, is no client of ours.
	if f.Stream <= c.stream || len(c.open) >= mostOpen {
		f.Body.Release()
		r.reject(c, f.Stream)
		return
	}
	c.stream = f.Stream
	told, err := f.Batch()
	group := r.groups[told.Group]
	b := &batch{client: c, stream: f.Stream, id: told.ID, mark: told.Mark, text: f.Body}
	if err == nil {
		err = r.usable(told, group)
	}
	if err != nil {
		r.log(Warn, "batch can't be used", "client", c.number, "stream", f.Stream, "group", told.Group, "why", err.Error())
		r.reply(b, failed, 0, nil)
		f.Body.Release()
		if c.faults++; c.faults >= mostFaults {
			r.refuseClient(c, BadInput)
		}
		return
	}
	held, memory := r.settings.Settings.MostHeld, textShare*float64(r.settings.MemoryMB)*(1<<20)
	if held > 0 && len(r.batches) >= held || memory > 0 && float64(r.pool.Used()*buffers.Size) > memory {
		// Beyond what the platform lets a router hold. Nothing of it has run, so a pushback is true.
		r.reply(b, refused, r.settings.Settings.LongestDefer, nil)
		f.Body.Release()
		return
	}
	left := told.Left
	if r.stopAt > 0 {
		left = min(left, r.killAt-r.now) // nobody answers after that
	}
	r.ids++
	b.Batch = &brain.Batch{ID: r.ids, Group: group, Client: slices.Index(r.settings.Settings.Clients, told.Client),
		Key: told.Key, Left: max(left, 0.001), Cost: told.Cost, Memory: told.Memory,
		Tables: float64(statement.DataSet(b.text.Reader()))}
	b.dueAt = r.now + told.Left
	r.batches[b.Batch] = b
	c.open[f.Stream], r.open[b.id] = b, b
	r.log(Debug, "batch", "id", b.id, "group", group.Name, "left", b.Left, "tables", b.Tables, "text", textOf{b.text})
	r.brain.Take(b.Batch)
}

// usable: an engine closes a connection that others share on what it can't read, so nothing of a batch goes on
// before all of it is known to be good. An id that is open is somebody's else's answer.
func (r *Router) usable(told clients.Batch, group *brain.ServiceGroup) error {
	switch {
	case group == nil:
		return errors.New("no such service group")
	case r.open[told.ID] != nil:
		return errors.New("its id is open")
	case group.Effect == brain.Referenced && told.Mark == "":
		return errors.New("a referenced batch has no mark")
	case told.Left > mostLimits*group.Limit:
		return errors.New("it would wait far past its group's time limit")
	}
	return nil
}

// textOf is only made a text if it is logged.
type textOf struct{ *buffers.Chain }

// reply frames the final answer.
func (r *Router) reply(b *batch, what code, wait float64, body []*buffers.Chain) {
	if b.client == nil {
		return
	}
	c := b.client
	c.since = r.now
	out := r.pool.Chain()
	clients.WriteAnswer(out, b.stream, uint8(what), wait, body)
	r.unwait(b)
	if b.dueAt > 0 && r.now > b.dueAt+lateAnswer {
		r.log(Warn, "answer is late", "id", b.id, "by", r.now-b.dueAt, "code", uint8(what))
	}
	r.do(WriteClient{c.number, out})
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

// unwait: the client is not waiting any more.
func (r *Router) unwait(b *batch) {
	delete(b.client.open, b.stream)
	if r.open[b.id] == b {
		delete(r.open, b.id)
	}
	b.client = nil
}

// left: nobody waits for the batch any more.
func (r *Router) left(b *batch) {
	r.unwait(b)
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
