package router

import (
	"errors"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// streamThreshold is the size in bytes up to which a result that comes in parts is buffered. While it is buffered the batch
// can be retried; above the threshold its rows are sent to the client as they arrive.
const streamThreshold = maxResultBytes

var (
	errProtocolLimit = errors.New("the result is larger than its client's protocol carries")
	errRouteLimit    = errors.New("the result is larger than its route lets through")
)

// storePart buffers or forwards rows of a result that comes in parts.
func (r *Router) storePart(d *dispatch, part rows.Part) {
	b := d.batch
	switch {
	case b.client == nil: // the client has stopped waiting; the engine finishes, or was told to stop
		part.Release()
	case d.streaming:
		r.forwardRows(d, part)
	case d.resultSize <= streamThreshold:
		d.pages = append(d.pages, part)
	case b.client.protocol.Stream:
		d.pages = append(d.pages, part)
		r.startStreaming(d)
	default:
		part.Release()
		r.failTooLarge(d, errProtocolLimit)
	}
}

// failTooLarge answers a batch with an error because its result is larger than a limit. A retry would bring a result of the
// same size.
func (r *Router) failTooLarge(d *dispatch, err error) {
	b := d.batch
	r.log(Warn, "result is too large", "id", b.id, "engine", d.engine.name, "speaks", b.client.protocol.Name, "bytes", d.resultSize, "why", err.Error())
	r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: err.Error()})
	r.abortDispatch(d, brain.Canceled)
}

// startStreaming sends the buffered rows of a result to the client; later rows follow as they arrive. Hedged dispatches of the
// batch are cancelled first, because rows of two dispatches can't be mixed. The decision module sends no others from here on, so
// the dispatch may take all the time that its batch has left: a time-out for the sake of a retry would only cut the result.
func (r *Router) startStreaming(d *dispatch) {
	d.batch.Streaming = true
	for _, other := range slices.Clone(d.batch.dispatches) {
		if other != d {
			r.abortDispatch(other, brain.Canceled)
		}
	}
	if !d.cancelled && d.deadline < d.batch.Deadline() {
		r.timers.stop(d.timer)
		d.deadline = d.batch.Deadline()
		d.timer = r.timers.add(d.deadline, d)
	}
	parts := d.pages
	d.pages, d.streaming = nil, true
	r.log(Debug, "streams", "id", d.batch.id, "engine", d.engine.name)
	for _, p := range parts {
		r.storePart(d, p)
	}
}

// forwardRows sends rows of a result to the client.
func (r *Router) forwardRows(d *dispatch, part rows.Part) {
	r.emit(SendToClient{d.batch.client.number, &traffic.Rows{Stream: d.batch.stream, Part: part}})
	d.batch.client.activeAt = r.now
}

// streamingDispatch returns the dispatch whose rows are being sent to the client; nil: none.
func (b *batch) streamingDispatch() *dispatch {
	for _, d := range b.dispatches {
		if d.streaming && !d.ended {
			return d
		}
	}
	return nil
}

// clientUnread applies backpressure: while a client is too slow to read its rows (full), the router stops reading from the
// engines that send them, so that rows don't fill the router's memory. Once the client has read, reading resumes.
func (r *Router) clientUnread(number uint64, full bool) {
	c := r.clients[number]
	if c == nil {
		return
	}
	for _, b := range c.open {
		if d := b.streamingDispatch(); d != nil {
			r.setReadingPaused(d, full)
		}
	}
}

// setReadingPaused pauses or resumes reading from the connection of a dispatch, if the engine's protocol allows that.
func (r *Router) setReadingPaused(d *dispatch, paused bool) {
	if d.readingPaused != paused && d.engine.protocol.Pausable {
		d.readingPaused = paused
		r.emit(PauseReading{d.conn.Number, paused})
	}
}
