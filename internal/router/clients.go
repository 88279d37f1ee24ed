package router

import (
	"cmp"
	"slices"
	"strings"

	"pitchfield/internal/traffic"
)

// What a connection of a client may cost; seconds.
const (
	clientCheckInterval      = 0.25
	lateCheckThreshold       = 0.1  // so much later than planned: the process stood still
	recheckDelay             = 0.02 // until what came meanwhile has been read;
	maxCheckDelays           = 8    // so often in a row: it may stand still again at once, but one that always does looks in the end
	closedClientsLogInterval = 10.0
	silentTimeout            = 2.0  // a new one has brought a whole frame by then, and so has one that has begun a frame
	newClientGrace           = 0.05 // silent for so long, a new one was not opened to ask at once
	maxFaults                = 3    // batches on one that can't be used
	maxLoggedBatches         = 4    // batches that a line names, the first that came
)

// client is a connection of one.
type client struct {
	number         uint64
	protocol       *traffic.ClientProtocol
	open           map[uint32]*batch // unwait deletes
	lastStream     uint32            // the last batch's: they count up
	activeAt       float64           // it opened, said something whole, or got its last answer
	partialSince   float64           // a part of a frame has been there since; 0: none
	hasSentMessage bool              // something whole
	faults         int
}

// closedClientCounts counts connections that were ended for the room they take.
type closedClientCounts struct {
	silent, idle, crowded int
	loggedAt              float64
}

type clientCheck struct{}

// clientOpened lets a client in. Descriptors are few, and while none is left nobody is let in, so at the bound
// one has to go: who never says anything first, then who has been idle longest (its next batch finds another
// connection), then the newest that is silent. Batches that are open are never ended for it.
func (r *Router) clientOpened(number uint64, speaks *traffic.ClientProtocol) {
	c := &client{number: number, protocol: speaks, open: map[uint32]*batch{}, activeAt: r.now}
	r.clients[number] = c
	if !r.clientCheckSet {
		r.clientCheckSet, r.clientCheckAt = true, r.now+clientCheckInterval
		r.timers.add(r.clientCheckAt, clientCheck{})
	}
	if r.maxClients > 0 && len(r.clients) > r.maxClients {
		if worst := r.leastUsedClient(); r.clientUsage(worst) != activeClient {
			c = worst
		}
		r.closedClients.crowded++
		r.closeClient(c, Crowded)
	}
}

func (r *Router) leastUsedClient() *client {
	return slices.MinFunc(r.unorderedClients(), func(a, b *client) int {
		return cmp.Or(cmp.Compare(r.clientUsage(a), r.clientUsage(b)), cmp.Compare(a.activeAt, b.activeAt), cmp.Compare(a.number, b.number))
	})
}

const (
	unusedClient = iota
	idleClient
	newClient
	activeClient
)

func (r *Router) clientUsage(c *client) int {
	switch {
	case len(c.open) > 0:
		return activeClient
	case !c.hasSentMessage && r.now-max(c.activeAt, c.partialSince) > newClientGrace:
		return unusedClient
	case c.hasSentMessage && c.partialSince == 0:
		return idleClient
	}
	return newClient
}

// sortedClients has them in one order, whatever a map makes of it.
func (r *Router) sortedClients() []*client {
	all := r.unorderedClients()
	slices.SortFunc(all, func(a, b *client) int { return cmp.Compare(a.number, b.number) })
	return all
}

func (r *Router) unorderedClients() []*client {
	all := make([]*client, 0, len(r.clients))
	for _, c := range r.clients {
		all = append(all, c)
	}
	return all
}

// checkClients ends what only takes a descriptor: silent ones, frames that never become whole, idle ones.
func (r *Router) checkClients() {
	r.clientCheckSet = len(r.clients) > 0
	// Woken late we stood still ourselves, and what clients wrote meanwhile waits in their sockets: it is read first. A client
	// whose half frame was whole long since lost all that it had asked behind it. This covers silent and idle ones too, and
	// any cause of a standstill. It hurts little: they are ended a moment later.
	if late := r.now - r.clientCheckAt; r.clientCheckSet && late > lateCheckThreshold && r.clientCheckDelays < maxCheckDelays {
		r.clientCheckDelays, r.clientCheckAt = r.clientCheckDelays+1, r.now+recheckDelay
		r.timers.add(r.clientCheckAt, clientCheck{})
		return
	}
	r.clientCheckDelays = 0
	if r.clientCheckSet {
		r.clientCheckAt = r.now + clientCheckInterval
		r.timers.add(r.clientCheckAt, clientCheck{})
	}
	for _, c := range r.sortedClients() {
		switch {
		// What is open gets its answers first: ending the connection would lose all of it. This covers clients and
		// machines that stand still within a frame. It hurts little: behind half a frame nothing new can be asked, so
		// what is open ends within its time, and then the half frame counts.
		case len(c.open) > 0:
		case c.partialSince > 0 && r.now-c.partialSince > silentTimeout:
			r.closedClients.silent++
			r.rejectClient(c, FrameTimedOut)
		case !c.hasSentMessage && r.now-c.activeAt > silentTimeout:
			r.closedClients.silent++
			r.closeClient(c, FrameTimedOut)
		case r.now-c.activeAt > c.protocol.IdleTimeout && c.partialSince == 0:
			r.closedClients.idle++
			r.closeClient(c, ClosedIdle)
		}
	}
	for r.maxClients > 0 && len(r.clients) > r.maxClients { // a reload has set the bound lower
		worst := r.leastUsedClient()
		if r.clientUsage(worst) == activeClient {
			break
		}
		r.closedClients.crowded++
		r.closeClient(worst, Crowded)
	}
	if w := &r.closedClients; w.silent+w.idle+w.crowded > 0 && r.now > w.loggedAt+closedClientsLogInterval {
		r.log(Info, "clients ended for room", "silent", w.silent, "idle", w.idle, "crowded", w.crowded,
			"clients", len(r.clients))
		*w = closedClientCounts{loggedAt: r.now}
	}
}

func (r *Router) closeClient(c *client, end CloseReason) {
	r.emit(CloseClient{c.number, end})
	r.clientEnded(c.number, end)
}

// rejectClient tells of an error that belongs to no batch and ends the connection. What was taken on it before gets its final
// answer too, and no other than an error: whoever sends what can't be used is served nothing.
func (r *Router) rejectClient(c *client, end CloseReason) {
	why := "the connection ends: " + end.String()
	for _, b := range c.openInOrder() {
		b.lastError = why
		r.brain.RemoveBatch(b.Batch)
		r.answerBatch(b, traffic.Failed, 0)
	}
	r.emit(SendToClient{c.number, traffic.ConnectionError{Reason: why}})
	r.closeClient(c, end)
}

// openInOrder has what is open there in the order in which it was taken.
func (c *client) openInOrder() []*batch {
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
	open := c.openInOrder()
	if len(open) > 0 {
		ids := make([]string, 0, maxLoggedBatches)
		for _, b := range open[:min(len(open), maxLoggedBatches)] {
			ids = append(ids, b.id)
		}
		r.log(Warn, "client gone with open batches", "client", number, "open", len(open), "end", end.String(),
			"ours", end.isLocal(), "since", r.now-open[0].receivedAt, "batches", strings.Join(ids, " "))
	}
	for _, b := range open {
		r.clientLeft(b)
	}
}
