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
	client         *client // nil: nobody waits any more
	stream         uint32
	id, mark       string
	statement      *traffic.Statement
	memory         float64 // for the next dispatch
	clientDeadline float64 // the client stops waiting then
	dispatches     []*dispatch
	lastError      string // the last error that an engine told of
	receivedAt     float64
	work           float64 // that it needed, once returned
}

const (
	maxWaitFactor       = 2.0  // times its group's time limit that a batch may be told to wait
	lateAnswerThreshold = 0.02 // past the client's time: worth a line
)

func (r *Router) handleClientMessage(number uint64, what traffic.ClientMessage) {
	c := r.clients[number]
	if c == nil {
		if ask, is := what.(*traffic.BatchRequest); is {
			ask.Batch.Text.Release()
		}
		return
	}
	c.partialSince, c.activeAt, c.hasSentMessage = 0, r.now, true
	switch said := what.(type) {
	case *traffic.BatchRequest:
		r.acceptBatch(c, said)
	case traffic.Cancel:
		if b := c.open[said.Stream]; b != nil {
			if r.now > b.clientDeadline-lateAnswerThreshold {
				r.log(Warn, "client left at its time limit", "id", b.id, "group", b.Group.Name, "left", b.clientDeadline-r.now,
					"out", b.InFlight, "dispatches", len(b.dispatches))
			}
			r.clientLeft(b)
		}
	case traffic.ReadinessQuery:
		r.emit(SendToClient{number, traffic.Ready{Stream: said.Stream, Yes: r.ready()}})
	case traffic.Hello:
		r.log(Debug, "client", "client", number, "speaks", c.protocol.Name, "who", said.Name)
		if r.stopAt > 0 {
			r.emit(SendToClient{number, traffic.GoAway{}})
		}
	case traffic.InvalidMessage:
		r.rejectBadInput(c, said.Stream)
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

// rejectBadInput tells of an error that belongs to no batch and ends the connection.
func (r *Router) rejectBadInput(c *client, stream uint32) {
	r.log(Warn, "client sent what can't be used", "client", c.number, "stream", stream)
	r.rejectClient(c, BadInput)
}

func (r *Router) acceptBatch(c *client, ask *traffic.BatchRequest) {
	told := &ask.Batch
	// A number counts up, so it never comes twice; what breaks that, or the bound of open ones, is no client of ours.
	if ask.Stream <= c.lastStream || len(c.open) >= c.protocol.MaxOpenBatches {
		told.Text.Release()
		r.rejectBadInput(c, ask.Stream)
		return
	}
	c.lastStream = ask.Stream
	group := r.groups[told.Group]
	if told.NoIdempotencyKey && r.unmarkedGroups[told.Group] != nil {
		group = r.unmarkedGroups[told.Group]
	}
	if told.TimeLeft == 0 && group != nil {
		told.TimeLeft = group.Limit
	}
	b := &batch{client: c, stream: ask.Stream, id: told.ID, mark: told.IdempotencyKey, statement: &told.Statement}
	err := ask.Err
	if err == nil {
		err = r.validate(told, group)
	}
	if err != nil {
		r.log(Warn, "batch can't be used", "client", c.number, "stream", ask.Stream, "group", told.Group, "why", err.Error())
		r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
		told.Text.Release()
		if c.faults++; c.faults >= maxFaults && !c.protocol.Stream {
			r.rejectClient(c, BadInput)
		}
		return
	}
	held, memory := r.config.Settings.MaxQueued, batchMemoryShare*float64(r.config.MemoryMB)*(1<<20)
	if held > 0 && len(r.batches) >= held || memory > 0 && float64(r.pool.InUse()*buffers.Size) > memory {
		// Beyond what the platform lets a router hold. Nothing of it has run, so a pushback is true.
		r.sendAnswer(b, &traffic.Answer{Code: traffic.Rejected, RetryAfter: r.config.Settings.MaxRetryDelay})
		told.Text.Release()
		return
	}
	left := told.TimeLeft
	if r.stopAt > 0 {
		left = min(left, r.answerDeadline-r.now) // nobody answers after that
	}
	r.lastBatchID++
	if b.id == "" {
		b.id = r.newBatchID()
	}
	b.Batch = &brain.Batch{ID: r.lastBatchID, Group: group, Client: slices.Index(r.config.Settings.Clients, told.Client),
		Key: told.OrderKey, TimeLeft: max(left, 0.001), EstimatedWork: told.Cost, EstimatedMemory: told.Memory,
		DataSet: float64(statement.DataSet(b.statement.Text.Reader()))}
	if r.routes != nil {
		b.Route = r.findRoute(c, told, b.DataSet)
	}
	b.clientDeadline = r.now + told.TimeLeft
	r.batches[b.Batch] = b
	c.open[ask.Stream], r.openByID[b.id] = b, b
	r.log(Debug, "batch", "id", b.id, "group", group.Name, "left", b.TimeLeft, "tables", b.DataSet, "text", lazyText{b.statement.Text})
	b.receivedAt = r.now
	r.brain.AddBatch(b.Batch)
	r.level.batchArrived(b)
}

// findRoute finds the operator's limits for a batch. It keeps them, whatever a reload brings meanwhile.
func (r *Router) findRoute(c *client, told *traffic.Batch, data float64) *limits.Route {
	f := limits.Fields{Group: told.Group, Client: told.Client, Login: told.Login, Application: told.Application, Protocol: c.protocol.Name}
	if data >= 0 {
		f.DataSet = strconv.Itoa(int(data))
	}
	return r.routes.Find(&f)
}

// newBatchID gives a batch an id that no open one has.
func (r *Router) newBatchID() string {
	for {
		if id := fmt.Sprintf("%016x", r.idSource.Uint64()); r.openByID[id] == nil {
			return id
		}
	}
}

// validate: an engine closes a connection that others share on what it can't read, so nothing of a batch goes on
// before all of it is known to be good. An id that is open is somebody's else's answer.
func (r *Router) validate(told *traffic.Batch, group *brain.ServiceGroup) error {
	switch {
	case group == nil:
		return fmt.Errorf("no such service group: %.40q", told.Group)
	case r.openByID[told.ID] != nil:
		return errors.New("its id is open")
	case group.Idempotency == brain.Deduplicated && told.IdempotencyKey == "":
		return errors.New("a referenced batch has no mark")
	case told.TimeLeft > maxWaitFactor*group.Limit:
		return errors.New("it would wait far past its group's time limit")
	}
	return nil
}

// lazyText is only made a text if it is logged.
type lazyText struct{ *buffers.Chain }

// sendAnswer gives the final answer.
func (r *Router) sendAnswer(b *batch, a *traffic.Answer) {
	if b.client == nil {
		return
	}
	c := b.client
	c.activeAt = r.now
	a.Stream = b.stream
	if b.Batch != nil {
		r.level.batchAnswered(b, a.Code, r.now)
	}
	r.detachClient(b)
	if b.clientDeadline > 0 && r.now > b.clientDeadline+lateAnswerThreshold {
		r.log(Warn, "answer is late", "id", b.id, "by", r.now-b.clientDeadline, "code", a.Code.String())
	}
	r.emit(SendToClient{c.number, a})
}

// answerBatch ends a batch for its client: once, and never after the client has left. What of its result is on its way
// already ends here too.
func (r *Router) answerBatch(b *batch, what traffic.Code, wait float64) {
	if b == nil {
		return
	}
	r.log(Debug, "answer", "id", b.id, "code", what.String(), "dispatches", len(b.dispatches))
	why := b.lastError
	if what == traffic.Rejected {
		why = ""
	}
	r.sendAnswer(b, &traffic.Answer{Code: what, RetryAfter: wait, Reason: why})
	r.releaseBatch(b)
}

// detachClient: the client is not waiting any more.
func (r *Router) detachClient(b *batch) {
	delete(b.client.open, b.stream)
	if r.openByID[b.id] == b {
		delete(r.openByID, b.id)
	}
	if d := b.streamingDispatch(); d != nil && d.readingPaused { // nobody reads, so nobody is slow
		r.setReadingPaused(d, false)
	}
	b.client = nil
}

// clientLeft: nobody waits for the batch any more. That is its final answer on record.
func (r *Router) clientLeft(b *batch) {
	r.log(Debug, "left", "id", b.id, "key", b.Key, "out", b.InFlight)
	r.detachClient(b)
	r.brain.RemoveBatch(b.Batch)
	for _, d := range b.dispatches {
		switch {
		case d.ended:
		case !d.written: // it waits for its connection: nothing is sent for who has gone, and what it takes is given back
			r.abortDispatch(d, brain.Canceled)
		case d.missingPages > 0: // it has run, and nobody wants the rest of its pages
			r.sendOrder(d.conn, traffic.CloseResult{ID: b.id})
			r.finishDispatch(d, brain.Completed)
		}
	}
	r.releaseBatch(b)
}

// releaseBatch drops what a batch that is over needs no more; its dispatches may still be out.
func (r *Router) releaseBatch(b *batch) {
	if b.client == nil {
		if b.InFlight == 0 {
			delete(r.batches, b.Batch)
		}
		if b.statement.Text.Len() > 0 { // an order with it may still have to be written
			r.emit(Release{b.statement.Text})
			b.statement.Text = nil
		}
	}
}
