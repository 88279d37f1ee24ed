package router

import (
	"errors"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// A result that comes in parts is held until it is whole or passes this, in bytes. Until then the batch may go again;
// from then on its rows go out as they come.
const streamThreshold = maxResultBytes

var (
	errProtocolLimit = errors.New("the result is larger than its client's protocol carries")
	errRouteLimit    = errors.New("the result is larger than its route lets through")
)

// storePart takes in rows of a result that comes in parts.
func (r *Router) storePart(d *dispatch, part rows.Part) {
	b := d.batch
	switch {
	case b.client == nil: // nobody wants them; the engine is let finish, or was told to stop
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

// failTooLarge ends a batch whose result is more than somebody takes: another dispatch would bring as much.
func (r *Router) failTooLarge(d *dispatch, why error) {
	b := d.batch
	r.log(Warn, "result is too large", "id", b.id, "engine", d.engine.name, "speaks", b.client.protocol.Name, "bytes", d.resultSize, "why", why.Error())
	r.sendAnswer(b, &traffic.Answer{Code: traffic.Failed, Reason: why.Error()})
	r.abortDispatch(d, brain.Canceled)
}

// startStreaming begins to send what there is. A second copy of the batch is given up first: what of it comes later can't be
// passed on beside this one's, and the module sends no other from here on.
func (r *Router) startStreaming(d *dispatch) {
	d.batch.Streaming = true
	for _, o := range slices.Clone(d.batch.dispatches) {
		if o != d {
			r.abortDispatch(o, brain.Canceled)
		}
	}
	parts := d.pages
	d.pages, d.streaming = nil, true
	r.log(Debug, "streams", "id", d.batch.id, "engine", d.engine.name)
	for _, p := range parts {
		r.forwardRows(d, p)
	}
}

func (r *Router) forwardRows(d *dispatch, part rows.Part) {
	r.emit(SendToClient{d.batch.client.number, &traffic.Rows{Stream: d.batch.stream, Part: part}})
	d.batch.client.activeAt = r.now
}

func (b *batch) streamingDispatch() *dispatch {
	for _, d := range b.dispatches {
		if d.streaming && !d.ended {
			return d
		}
	}
	return nil
}

// clientUnread: a client that is slow holds its engine back, not the router's memory. Once it has read, the engine goes on.
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

func (r *Router) setReadingPaused(d *dispatch, hold bool) {
	if d.readingPaused != hold && d.engine.protocol.Pausable {
		d.readingPaused = hold
		r.emit(PauseReading{d.conn.Number, hold})
	}
}
