package router

import (
	"cmp"
	"slices"
	"strings"

	"pitchfield/internal/traffic"
)

// What a connection of a client may cost; seconds.
const (
	lookEvery  = 0.25
	lateLook   = 0.1  // so much later than planned: the process stood still
	lookSoon   = 0.02 // until what came meanwhile has been read;
	mostPutOff = 8    // so often in a row: it may stand still again at once, but one that always does looks in the end
	tellEvery  = 10.0
	silentTime = 2.0  // a new one has brought a whole frame by then, and so has one that has begun a frame
	settled    = 0.05 // silent for so long, a new one was not opened to ask at once
	mostFaults = 3    // batches on one that can't be used
	mostNamed  = 4    // batches that a line names, the first that came
)

// client is a connection of one.
type client struct {
	number uint64
	speaks *traffic.ClientProtocol
	open   map[uint32]*batch // unwait deletes
	stream uint32            // the last batch's: they count up
	since  float64           // it opened, said something whole, or got its last answer
	half   float64           // a part of a frame has been there since; 0: none
	said   bool              // something whole
	faults int
}

// crowd counts connections that were ended for the room they take.
type crowd struct {
	silent, idle, crowded int
	toldAt                float64
}

type clientCheck struct{}

// clientOpened lets a client in. Descriptors are few, and while none is left nobody is let in, so at the bound
// one has to go: who never says anything first, then who has been idle longest (its next batch finds another
// connection), then the newest that is silent. Batches that are open are never ended for it.
func (r *Router) clientOpened(number uint64, speaks *traffic.ClientProtocol) {
	c := &client{number: number, speaks: speaks, open: map[uint32]*batch{}, since: r.now}
	r.clients[number] = c
	if !r.looking {
		r.looking, r.lookAt = true, r.now+lookEvery
		r.timers.add(r.lookAt, clientCheck{})
	}
	if r.mostClients > 0 && len(r.clients) > r.mostClients {
		if worst := r.leastUsed(); r.use(worst) != inUse {
			c = worst
		}
		r.crowd.crowded++
		r.closeClient(c, Crowded)
	}
}

func (r *Router) leastUsed() *client {
	return slices.MinFunc(r.all(), func(a, b *client) int {
		return cmp.Or(cmp.Compare(r.use(a), r.use(b)), cmp.Compare(a.since, b.since), cmp.Compare(a.number, b.number))
	})
}

const (
	useless = iota
	idle
	young
	inUse
)

func (r *Router) use(c *client) int {
	switch {
	case len(c.open) > 0:
		return inUse
	case !c.said && r.now-max(c.since, c.half) > settled:
		return useless
	case c.said && c.half == 0:
		return idle
	}
	return young
}

// inOrder has them in one order, whatever a map makes of it.
func (r *Router) inOrder() []*client {
	all := r.all()
	slices.SortFunc(all, func(a, b *client) int { return cmp.Compare(a.number, b.number) })
	return all
}

func (r *Router) all() []*client {
	all := make([]*client, 0, len(r.clients))
	for _, c := range r.clients {
		all = append(all, c)
	}
	return all
}

// lookAtClients ends what only takes a descriptor: silent ones, frames that never become whole, idle ones.
func (r *Router) lookAtClients() {
	r.looking = len(r.clients) > 0
	// Woken late we stood still ourselves, and what clients wrote meanwhile waits in their sockets: it is read first. A client
	// whose half frame was whole long since lost all that it had asked behind it. This covers silent and idle ones too, and
	// any cause of a standstill. It hurts little: they are ended a moment later.
	if late := r.now - r.lookAt; r.looking && late > lateLook && r.putOff < mostPutOff {
		r.putOff, r.lookAt = r.putOff+1, r.now+lookSoon
		r.timers.add(r.lookAt, clientCheck{})
		return
	}
	r.putOff = 0
	if r.looking {
		r.lookAt = r.now + lookEvery
		r.timers.add(r.lookAt, clientCheck{})
	}
	for _, c := range r.inOrder() {
		switch {
		// What is open gets its answers first: ending the connection would lose all of it. This covers clients and
		// machines that stand still within a frame. It hurts little: behind half a frame nothing new can be asked, so
		// what is open ends within its time, and then the half frame counts.
		case len(c.open) > 0:
		case c.half > 0 && r.now-c.half > silentTime:
			r.crowd.silent++
			r.refuseClient(c, FrameTimedOut)
		case !c.said && r.now-c.since > silentTime:
			r.crowd.silent++
			r.closeClient(c, FrameTimedOut)
		case r.now-c.since > c.speaks.IdleTimeout && c.half == 0:
			r.crowd.idle++
			r.closeClient(c, ClosedIdle)
		}
	}
	for r.mostClients > 0 && len(r.clients) > r.mostClients { // a reload has set the bound lower
		worst := r.leastUsed()
		if r.use(worst) == inUse {
			break
		}
		r.crowd.crowded++
		r.closeClient(worst, Crowded)
	}
	if w := &r.crowd; w.silent+w.idle+w.crowded > 0 && r.now > w.toldAt+tellEvery {
		r.log(Info, "clients ended for room", "silent", w.silent, "idle", w.idle, "crowded", w.crowded,
			"clients", len(r.clients))
		*w = crowd{toldAt: r.now}
	}
}

func (r *Router) closeClient(c *client, end CloseReason) {
	r.do(CloseClient{c.number, end})
	r.clientEnded(c.number, end)
}

// refuseClient tells of an error that belongs to no batch and ends the connection. What was taken on it before gets its final
// answer too, and no other than an error: whoever sends what can't be used is served nothing.
func (r *Router) refuseClient(c *client, end CloseReason) {
	why := "the connection ends: " + end.String()
	for _, b := range c.inTurn() {
		b.why = why
		r.brain.RemoveBatch(b.Batch)
		r.answer(b, traffic.Failed, 0)
	}
	r.do(TellClient{c.number, traffic.ConnectionError{Reason: why}})
	r.closeClient(c, end)
}

// inTurn has what is open there in the order in which it was taken.
func (c *client) inTurn() []*batch {
	open := make([]*batch, 0, len(c.open))
	for _, b := range c.open {
		open = append(open, b)
	}
	slices.SortFunc(open, func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	return open
}

func (r *Router) clientEnded(number uint64, end CloseReason) {
	c := r.clients[number]
	if c == nil {
		return
	}
	delete(r.clients, number)
	open := c.inTurn()
	if len(open) > 0 {
		ids := make([]string, 0, mostNamed)
		for _, b := range open[:min(len(open), mostNamed)] {
			ids = append(ids, b.id)
		}
		r.log(Warn, "client gone with open batches", "client", number, "open", len(open), "end", end.String(),
			"ours", end.isLocal(), "since", r.now-open[0].takenAt, "batches", strings.Join(ids, " "))
	}
	for _, b := range open {
		r.left(b)
	}
}
