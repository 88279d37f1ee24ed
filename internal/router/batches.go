package router

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/limits"
	"pitchfield/internal/statement"
	"pitchfield/internal/traffic"
)

type batch struct {
	*brain.Batch
	client     *client // nil: nobody waits any more
	stream     uint32
	id, mark   string
	said       *traffic.Statement
	memory     float64 // for the next dispatch
	dueAt      float64 // the client stops waiting then
	dispatches []*dispatch
	why        string // the last error that an engine told of
	takenAt    float64
	work       float64 // that it needed, once returned
}

const (
	mostLimits = 2.0  // times its group's time limit that a batch may be told to wait
	lateAnswer = 0.02 // past the client's time: worth a line
)

func (r *Router) clientSaid(number uint64, what traffic.ClientMessage) {
	c := r.clients[number]
	if c == nil {
		if ask, is := what.(*traffic.BatchRequest); is {
			ask.Batch.Text.Release()
		}
		return
	}
	c.half, c.since, c.said = 0, r.now, true
	switch said := what.(type) {
	case *traffic.BatchRequest:
		r.take(c, said)
	case traffic.Cancel:
		if b := c.open[said.Stream]; b != nil {
			if r.now > b.dueAt-lateAnswer {
				r.log(Warn, "client left at its time limit", "id", b.id, "group", b.Group.Name, "left", b.dueAt-r.now,
					"out", b.InFlight, "dispatches", len(b.dispatches))
			}
			r.left(b)
		}
	case traffic.ReadinessQuery:
		r.do(TellClient{number, traffic.Ready{Stream: said.Stream, Yes: r.ready()}})
	case traffic.Hello:
		r.log(Debug, "client", "client", number, "speaks", c.speaks.Name, "who", said.Name)
		if r.stopAt > 0 {
			r.do(TellClient{number, traffic.GoAway{}})
		}
	case traffic.InvalidMessage:
		r.reject(c, said.Stream)
	}
}

// ready: batches that come now can be sent on. Without a list they could only be turned away, where other routers may have one.
func (r *Router) ready() bool {
	if r.stopAt > 0 {
		return false
	}
	for _, e := range r.engines {
		if !e.gone {
			return true
		}
	}
	return false
}

// reject tells of an error that belongs to no batch and ends the connection.
func (r *Router) reject(c *client, stream uint32) {
	r.log(Warn, "client sent what can't be used", "client", c.number, "stream", stream)
	r.refuseClient(c, BadInput)
}

func (r *Router) take(c *client, ask *traffic.BatchRequest) {
	told := &ask.Batch
	// A number counts up, so it never comes twice; what breaks that, or the bound of open ones, is no client of ours.
	if ask.Stream <= c.stream || len(c.open) >= c.speaks.MaxOpenBatches {
		told.Text.Release()
		r.reject(c, ask.Stream)
		return
	}
	c.stream = ask.Stream
	group := r.groups[told.Group]
	if told.NoIdempotencyKey && r.unmarked[told.Group] != nil {
		group = r.unmarked[told.Group]
	}
	if told.TimeLeft == 0 && group != nil {
		told.TimeLeft = group.Limit
	}
	b := &batch{client: c, stream: ask.Stream, id: told.ID, mark: told.IdempotencyKey, said: &told.Statement}
	err := ask.Err
	if err == nil {
		err = r.usable(told, group)
	}
	if err != nil {
		r.log(Warn, "batch can't be used", "client", c.number, "stream", ask.Stream, "group", told.Group, "why", err.Error())
		r.reply(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
		told.Text.Release()
		if c.faults++; c.faults >= mostFaults && !c.speaks.Stream {
			r.refuseClient(c, BadInput)
		}
		return
	}
	held, memory := r.settings.Settings.MostHeld, textShare*float64(r.settings.MemoryMB)*(1<<20)
	if held > 0 && len(r.batches) >= held || memory > 0 && float64(r.pool.Used()*buffers.Size) > memory {
		// Beyond what the platform lets a router hold. Nothing of it has run, so a pushback is true.
		r.reply(b, &traffic.Answer{Code: traffic.Rejected, RetryAfter: r.settings.Settings.MaxRetryDelay})
		told.Text.Release()
		return
	}
	left := told.TimeLeft
	if r.stopAt > 0 {
		left = min(left, r.killAt-r.now) // nobody answers after that
	}
	r.ids++
	if b.id == "" {
		b.id = r.drawID()
	}
	b.Batch = &brain.Batch{ID: r.ids, Group: group, Client: slices.Index(r.settings.Settings.Clients, told.Client),
		Key: told.OrderKey, TimeLeft: max(left, 0.001), EstimatedWork: told.Cost, EstimatedMemory: told.Memory,
		DataSet: float64(statement.DataSet(b.said.Text.Reader()))}
	if r.routes != nil {
		b.Route = r.route(c, told, b.DataSet)
	}
	b.dueAt = r.now + told.TimeLeft
	r.batches[b.Batch] = b
	c.open[ask.Stream], r.open[b.id] = b, b
	r.log(Debug, "batch", "id", b.id, "group", group.Name, "left", b.TimeLeft, "tables", b.DataSet, "text", textOf{b.said.Text})
	b.takenAt = r.now
	r.brain.AddBatch(b.Batch)
	r.level.batchArrived(b)
}

// route finds the operator's limits for a batch. It keeps them, whatever a reload brings meanwhile.
func (r *Router) route(c *client, told *traffic.Batch, data float64) *limits.Route {
	f := limits.Fields{Group: told.Group, Client: told.Client, Login: told.Login, Application: told.Application, Protocol: c.speaks.Name}
	if data >= 0 {
		f.DataSet = strconv.Itoa(int(data))
	}
	return r.routes.Find(&f)
}

// drawID gives a batch an id that no open one has.
func (r *Router) drawID() string {
	for {
		if id := fmt.Sprintf("%016x", r.idsDrawn.Uint64()); r.open[id] == nil {
			return id
		}
	}
}

// usable: an engine closes a connection that others share on what it can't read, so nothing of a batch goes on
// before all of it is known to be good. An id that is open is somebody's else's answer.
func (r *Router) usable(told *traffic.Batch, group *brain.ServiceGroup) error {
	switch {
	case group == nil:
		return fmt.Errorf("no such service group: %.40q", told.Group)
	case r.open[told.ID] != nil:
		return errors.New("its id is open")
	case group.Idempotency == brain.Deduplicated && told.IdempotencyKey == "":
		return errors.New("a referenced batch has no mark")
	case told.TimeLeft > mostLimits*group.Limit:
		return errors.New("it would wait far past its group's time limit")
	}
	return nil
}

// textOf is only made a text if it is logged.
type textOf struct{ *buffers.Chain }

// reply gives the final answer.
func (r *Router) reply(b *batch, a *traffic.Answer) {
	if b.client == nil {
		return
	}
	c := b.client
	c.since = r.now
	a.Stream = b.stream
	if b.Batch != nil {
		r.level.batchAnswered(b, a.Code, r.now)
	}
	r.unwait(b)
	if b.dueAt > 0 && r.now > b.dueAt+lateAnswer {
		r.log(Warn, "answer is late", "id", b.id, "by", r.now-b.dueAt, "code", a.Code.String())
	}
	r.do(TellClient{c.number, a})
}

// answer ends a batch for its client: once, and never after the client has left. What of its result is on its way
// already ends here too.
func (r *Router) answer(b *batch, what traffic.Code, wait float64) {
	if b == nil {
		return
	}
	r.log(Debug, "answer", "id", b.id, "code", what.String(), "dispatches", len(b.dispatches))
	why := b.why
	if what == traffic.Rejected {
		why = ""
	}
	r.reply(b, &traffic.Answer{Code: what, RetryAfter: wait, Reason: why})
	r.forget(b)
}

// unwait: the client is not waiting any more.
func (r *Router) unwait(b *batch) {
	delete(b.client.open, b.stream)
	if r.open[b.id] == b {
		delete(r.open, b.id)
	}
	if d := b.streaming(); d != nil && d.held { // nobody reads, so nobody is slow
		r.hold(d, false)
	}
	b.client = nil
}

// left: nobody waits for the batch any more. That is its final answer on record.
func (r *Router) left(b *batch) {
	r.log(Debug, "left", "id", b.id, "key", b.Key, "out", b.InFlight)
	r.unwait(b)
	r.brain.RemoveBatch(b.Batch)
	for _, d := range b.dispatches {
		switch {
		case d.ended:
		case !d.written: // it waits for its connection: nothing is sent for who has gone, and what it takes is given back
			r.giveUp(d, brain.Canceled)
		case d.missing > 0: // it has run, and nobody wants the rest of its pages
			r.order(d.line, traffic.CloseResult{ID: b.id})
			r.finish(d, brain.Completed)
		}
	}
	r.forget(b)
}

// forget drops what a batch that is over needs no more; its dispatches may still be out.
func (r *Router) forget(b *batch) {
	if b.client == nil {
		if b.InFlight == 0 {
			delete(r.batches, b.Batch)
		}
		if b.said.Text.Len() > 0 { // an order with it may still have to be written
			r.do(Release{b.said.Text})
			b.said.Text = nil
		}
	}
}
