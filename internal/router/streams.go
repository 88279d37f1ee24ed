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
const streamFrom = mostResult

var (
	errTooLarge = errors.New("the result is larger than its client's protocol carries")
	errRoute    = errors.New("the result is larger than its route lets through")
)

// some takes in rows of a result that comes in parts.
func (r *Router) some(d *dispatch, part rows.Part) {
	b := d.batch
	switch {
	case b.client == nil: // nobody wants them; the engine is let finish, or was told to stop
		part.Release()
	case d.streams:
		r.pass(d, part)
	case d.size <= streamFrom:
		d.pages = append(d.pages, part)
	case b.client.speaks.Stream:
		d.pages = append(d.pages, part)
		r.stream(d)
	default:
		part.Release()
		r.tooLarge(d, errTooLarge)
	}
}

// tooLarge ends a batch whose result is more than somebody takes: another dispatch would bring as much.
func (r *Router) tooLarge(d *dispatch, why error) {
	b := d.batch
	r.log(Warn, "result is too large", "id", b.id, "engine", d.engine.name, "speaks", b.client.speaks.Name, "bytes", d.size, "why", why.Error())
	r.reply(b, &traffic.Answer{Code: traffic.Failed, Reason: why.Error()})
	r.giveUp(d, brain.Canceled)
}

// stream begins to send what there is. A second copy of the batch is given up first: what of it comes later can't be
// passed on beside this one's, and the module sends no other from here on.
func (r *Router) stream(d *dispatch) {
	d.batch.Streaming = true
	for _, o := range slices.Clone(d.batch.dispatches) {
		if o != d {
			r.giveUp(o, brain.Canceled)
		}
	}
	parts := d.pages
	d.pages, d.streams = nil, true
	r.log(Debug, "streams", "id", d.batch.id, "engine", d.engine.name)
	for _, p := range parts {
		r.pass(d, p)
	}
}

func (r *Router) pass(d *dispatch, part rows.Part) {
	r.do(TellClient{d.batch.client.number, &traffic.Rows{Stream: d.batch.stream, Part: part}})
	d.batch.client.since = r.now
}

func (b *batch) streaming() *dispatch {
	for _, d := range b.dispatches {
		if d.streams && !d.ended {
			return d
		}
	}
	return nil
}

// unread: a client that is slow holds its engine back, not the router's memory. Once it has read, the engine goes on.
func (r *Router) unread(number uint64, full bool) {
	c := r.clients[number]
	if c == nil {
		return
	}
	for _, b := range c.open {
		if d := b.streaming(); d != nil {
			r.hold(d, full)
		}
	}
}

func (r *Router) hold(d *dispatch, hold bool) {
	if d.held != hold && d.engine.speaks.Pausable {
		d.held = hold
		r.do(HoldEngine{d.line.Number, hold})
	}
}
