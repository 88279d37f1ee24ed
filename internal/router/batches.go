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

// batch is a request of a client. It is kept until it has its final answer and none of its dispatches is outstanding.
type batch struct {
	*brain.Batch
	client         *client // nil: the batch has its final answer, or the client has stopped waiting
	stream         uint32  // its number on the client's connection
	id, mark       string
	hasOwnID       bool // the router has made the id, which never comes again
	statement      *traffic.Statement
	memory         float64 // memory grant of the next dispatch, MB
	clientDeadline float64 // when the client stops waiting
	dispatches     []*dispatch
	lastError      string // the last error that an engine reported
	receivedAt     float64
	work           float64 // seconds of work that it took; set when its result is complete
}

const (
	// maxWaitFactor is how many times the time limit of its service group a batch may ask to wait.
	maxWaitFactor = 2.0
	// lateAnswerThreshold is how many seconds an answer may come after the client's deadline before that is logged. A
	// cancellation that comes less than this before the deadline is logged too.
	lateAnswerThreshold = 0.02
	// maxUnknownClientBytes is the longest name of a client, in bytes, that the platform's settings don't know: as long as a login's.
	// Patterns of routes are compared with the name.
	maxUnknownClientBytes = 128
)

// handleClientMessage handles a message that was read from the client connection with this number.
func (r *Router) handleClientMessage(number uint64, message traffic.ClientMessage) {
	c := r.clients[number]
	if c == nil {
		if ask, is := message.(*traffic.BatchRequest); is {
			ask.Batch.Text.Release()
		}
		return
	}
	c.partialSince, c.activeAt, c.hasSentMessage = 0, r.now, true
	switch message := message.(type) {
	case *traffic.BatchRequest:
		r.acceptBatch(c, message)
	case traffic.Cancel:
		if b := c.open[message.Stream]; b != nil {
			if r.now > b.clientDeadline-lateAnswerThreshold {
				r.log(Warn, "client left at its time limit", "id", b.id, "group", b.Group.Name, "left", b.clientDeadline-r.now,
					"out", b.InFlight, "dispatches", len(b.dispatches))
			}
			r.clientLeft(b)
		}
	case traffic.ReadinessQuery:
		r.emit(SendToClient{number, traffic.Ready{Stream: message.Stream, Yes: r.ready()}})
	case traffic.Hello:
		r.log(Debug, "client", "client", number, "speaks", c.protocol.Name, "who", message.Name)
		if r.stopAt > 0 {
			r.emit(SendToClient{number, traffic.GoAway{}})
		}
	case traffic.InvalidMessage:
		r.rejectBadInput(c, message.Stream)
	}
}

// ready reports whether new batches can be forwarded. Without any engine on its list the router could only reject them,
// while another router may have a list.
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

// rejectBadInput closes the connection of a client that broke the protocol, with an error that belongs to no batch.
func (r *Router) rejectBadInput(c *client, stream uint32) {
	r.log(Warn, "client sent what can't be used", "client", c.number, "stream", stream)
	r.rejectClient(c, BadInput)
}

// acceptBatch validates a batch that a client asks for and hands it to the decision module. An unusable batch is answered
// with an error; a batch beyond the router's capacity is rejected.
func (r *Router) acceptBatch(c *client, ask *traffic.BatchRequest) {
	request := &ask.Batch
	// Stream numbers only increase, so none is used twice. A client that breaks this rule or opens more batches than its
	// protocol allows is disconnected.
	if ask.Stream <= c.lastStream || len(c.open) >= c.protocol.MaxOpenBatches {
		request.Text.Release()
		r.rejectBadInput(c, ask.Stream)
		return
	}
	c.lastStream = ask.Stream
	if ask.Dropped {
		r.sendAnswer(&batch{client: c, stream: ask.Stream}, r.overloadedAnswer())
		return
	}
	group := r.groups[request.Group]
	if request.NoIdempotencyKey && r.unmarkedGroups[request.Group] != nil {
		group = r.unmarkedGroups[request.Group]
	}
	if request.TimeLeft == 0 && group != nil {
		request.TimeLeft = group.Limit
	}
	b := &batch{client: c, stream: ask.Stream, id: request.ID, mark: request.IdempotencyKey, statement: &request.Statement}
	err := ask.Err
	if err == nil {
		err = r.validate(request, group)
	}
	if err != nil {
		r.log(Warn, "batch can't be used", "client", c.number, "stream", ask.Stream, "group", request.Group, "why", err.Error())
		r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
		request.Text.Release()
		if !errors.Is(err, errUsedID) { // that one is no fault of form
			c.faults++
		}
		if c.faults >= maxFaults && !c.protocol.Stream {
			r.rejectClient(c, BadInput)
		}
		return
	}
	if r.isFull(&request.Statement) {
		r.sendAnswer(b, r.overloadedAnswer())
		request.Text.Release()
		return
	}
	timeLeft := request.TimeLeft
	if r.stopAt > 0 {
		timeLeft = min(timeLeft, r.answerDeadline-r.now) // no batch is answered after that
	}
	r.lastBatchID++
	if b.id == "" {
		b.id, b.hasOwnID = r.newBatchID(), true
	}
	b.Batch = &brain.Batch{ID: r.lastBatchID, Group: group, Client: slices.Index(r.config.Settings.Clients, request.Client),
		Key: request.OrderKey, TimeLeft: max(timeLeft, 0.001), EstimatedWork: request.Cost, EstimatedMemory: request.Memory,
		DataSet: float64(statement.DataSet(b.statement.Text.Reader()))}
	if r.routes != nil {
		b.Route = r.findRoute(c, request, b.DataSet)
	}
	b.clientDeadline = r.now + request.TimeLeft
	r.pool.Reserve(request.ParameterBytes())
	r.batches[b.Batch] = b
	c.open[ask.Stream], r.openByID[b.id] = b, b
	r.log(Debug, "batch", "id", b.id, "group", group.Name, "left", b.TimeLeft, "tables", b.DataSet, "text", lazyText{b.statement.Text})
	b.receivedAt = r.now
	r.brain.AddBatch(b.Batch)
	r.level.batchArrived(b)
}

// isFull reports whether the router has no capacity for another batch with this statement: too many batches, or too much
// memory taken by statements, values of parameters included.
func (r *Router) isFull(s *traffic.Statement) bool {
	maxBatches, maxBytes := r.config.Settings.MaxQueued, batchMemoryShare*float64(r.config.MemoryMB)*(1<<20)
	if maxBatches > 0 && len(r.batches) >= maxBatches {
		return true
	}
	return maxBytes > 0 && float64(r.pool.InUse()*buffers.Size+s.ParameterBytes()) > maxBytes
}

// overloadedAnswer returns the answer to a batch for which the router has no capacity. Nothing of it has run, so it can be rejected
// as safe to retry.
func (r *Router) overloadedAnswer() *traffic.Answer {
	return &traffic.Answer{Code: traffic.Rejected, RetryAfter: r.config.Settings.MaxRetryDelay}
}

// findRoute returns the operator's limits for a batch. The batch keeps them even if a reload replaces the routes.
// dataSet is the number of the batch's data set; below 0: none.
func (r *Router) findRoute(c *client, request *traffic.Batch, dataSet float64) *limits.Route {
	fields := limits.Fields{Group: request.Group, Client: request.Client, Login: request.Login, Application: request.Application, Protocol: c.protocol.Name}
	if dataSet >= 0 {
		fields.DataSet = strconv.Itoa(int(dataSet))
	}
	return r.routes.Find(&fields)
}

// newBatchID returns a random batch id that no open batch has.
func (r *Router) newBatchID() string {
	for {
		if id := fmt.Sprintf("%016x", r.idSource.Uint64()); r.openByID[id] == nil {
			return id
		}
	}
}

// validate returns why a batch can't be used, or nil. An engine closes the whole connection, which other batches share,
// when it can't read an order, so nothing of a batch is forwarded before all of it is validated. A second batch with the
// id of an open one could receive the answer to that one, and one with the id of a once-only batch that may have run would run it
// again.
func (r *Router) validate(request *traffic.Batch, group *brain.ServiceGroup) error {
	switch {
	case group == nil:
		return fmt.Errorf("no such service group: %.40q", request.Group)
	case len(request.Client) > maxUnknownClientBytes && !slices.Contains(r.config.Settings.Clients, request.Client):
		return fmt.Errorf("no such client, and its name is longer than %d bytes: %.40q", maxUnknownClientBytes, request.Client)
	case r.openByID[request.ID] != nil:
		return errors.New("its id is open")
	case group.Idempotency == brain.AtMostOnce && r.usedIDs.has(request.ID, r.now):
		return errUsedID
	case group.Idempotency == brain.Deduplicated && request.IdempotencyKey == "":
		return errors.New("a referenced batch has no mark")
	case request.TimeLeft > maxWaitFactor*group.Limit:
		return errors.New("it would wait far past its group's time limit")
	}
	return nil
}

// lazyText is a log value that is turned into a string only if its line is written.
type lazyText struct{ *buffers.Chain }

// sendAnswer sends the final answer of a batch to its client, unless the client has stopped waiting.
func (r *Router) sendAnswer(b *batch, answer *traffic.Answer) {
	if b.client == nil {
		return
	}
	c := b.client
	c.activeAt = r.now
	answer.Stream = b.stream
	if b.Batch != nil {
		r.level.batchAnswered(b, answer.Code, r.now)
	}
	r.detachClient(b)
	if b.clientDeadline > 0 && r.now > b.clientDeadline+lateAnswerThreshold {
		r.log(Warn, "answer is late", "id", b.id, "by", r.now-b.clientDeadline, "code", answer.Code.String())
	}
	r.emit(SendToClient{c.number, answer})
}

// answerBatch sends the final answer of a batch and releases it. A client gets one final answer, and none after it has
// left. The answer also ends a result of which rows are already sent.
func (r *Router) answerBatch(b *batch, code traffic.Code, wait float64) {
	if b == nil {
		return
	}
	r.log(Debug, "answer", "id", b.id, "code", code.String(), "dispatches", len(b.dispatches))
	why := b.lastError
	if code == traffic.Rejected {
		why = ""
	}
	r.sendAnswer(b, &traffic.Answer{Code: code, RetryAfter: wait, Reason: why})
	r.releaseBatch(b)
}

// detachClient ends the wait of a batch's client.
func (r *Router) detachClient(b *batch) {
	delete(b.client.open, b.stream)
	if r.openByID[b.id] == b {
		delete(r.openByID, b.id)
	}
	if d := b.streamingDispatch(); d != nil && d.readingPaused { // without a reader no backpressure is needed
		r.setReadingPaused(d, false)
	}
	b.client = nil
}

// clientLeft handles a client that has stopped waiting for a batch. The decision module records that as its final answer.
func (r *Router) clientLeft(b *batch) {
	r.log(Debug, "left", "id", b.id, "key", b.Key, "out", b.InFlight)
	r.detachClient(b)
	r.brain.RemoveBatch(b.Batch)
	for _, d := range b.dispatches {
		switch {
		case d.ended:
		case !d.written: // it waits for its connection; nothing is sent for a client that has gone, and its budgets are freed
			r.abortDispatch(d, brain.Canceled)
		case d.missingPages > 0: // it has run, and the rest of its pages is not needed
			r.sendOrder(d.conn, traffic.CloseResult{ID: b.id})
			r.finishDispatch(d, brain.Completed)
		}
	}
	r.releaseBatch(b)
}

// releaseBatch frees the statement of a batch that has ended, and the batch itself once none of its dispatches is outstanding.
func (r *Router) releaseBatch(b *batch) {
	if b.client == nil {
		if b.InFlight == 0 {
			delete(r.batches, b.Batch)
		}
		if b.statement.Text.Len() > 0 { // released by an effect: an order emitted before may still need it
			r.emit(Release{b.statement.Text})
			b.statement.Text = nil
		}
		r.pool.Unreserve(b.statement.ParameterBytes())
		b.statement.Parameters = nil
	}
}
