package router

import (
	"cmp"
	"slices"
	"strings"

	"pitchfield/internal/traffic"
)

// Limits on client connections; times are in seconds.
const (
	// clientCheckInterval is how often the client connections are checked.
	clientCheckInterval = 0.25
	// lateCheckThreshold is the delay of a check that shows that the process was paused.
	lateCheckThreshold = 0.1
	// recheckDelay is how long a late check is postponed, so that what arrived during the pause is read first.
	recheckDelay = 0.02
	// maxCheckDelays is how often in a row a check is postponed. The process may be paused again at once, but even if
	// that happens every time the clients are checked in the end.
	maxCheckDelays = 8
	// closedClientsLogInterval is the least time between two log lines about closed connections.
	closedClientsLogInterval = 10.0
	// silentTimeout is how long a new connection may take to send a complete message, and any connection to complete a
	// message that has begun.
	silentTimeout = 2.0
	// newClientGrace is how long a new connection counts as in use before its first message. A client that opens a
	// connection to send a batch at once does so within this time.
	newClientGrace = 0.05
	// maxFaults is how many unusable batches close a connection.
	maxFaults = 3
	// maxLoggedBatches is how many batches a log line names; these are the ones that arrived first.
	maxLoggedBatches = 4
)

// client is a connection of a client.
type client struct {
	number         uint64
	protocol       *traffic.ClientProtocol
	open           map[uint32]*batch // batches without a final answer, by stream; detachClient removes entries
	lastStream     uint32            // of the last batch; stream numbers only increase
	activeAt       float64           // when it was opened, sent a complete message or was sent an answer or rows, whichever came last
	partialSince   float64           // when a message that is still incomplete began; 0: none
	hasSentMessage bool              // it has sent a complete message
	faults         int               // unusable batches
}

// closedClientCounts counts client connections that were closed to free resources.
type closedClientCounts struct {
	silent, idle, crowded int
	loggedAt              float64
}

// clientCheck is due when the client connections must be checked.
type clientCheck struct{}

// clientOpened accepts a client connection. Without a free file descriptor no client could connect, so above the limit one
// connection is closed: first one that has never sent a message, then the one that has been idle longest (its client opens
// another connection for the next batch), then one that is new or in the middle of a message. If all others have open
// batches the new connection is closed: open batches are never ended to free a descriptor.
func (r *Router) clientOpened(number uint64, protocol *traffic.ClientProtocol) {
	c := &client{number: number, protocol: protocol, open: map[uint32]*batch{}, activeAt: r.now}
	r.clients[number] = c
	if !r.clientCheckSet {
		r.clientCheckSet, r.clientCheckAt = true, r.now+clientCheckInterval
		r.timers.add(r.clientCheckAt, clientCheck{})
	}
	if r.maxClients > 0 && len(r.clients) > r.maxClients {
		if leastUsed := r.leastUsedClient(); r.clientUsage(leastUsed) != activeClient {
			c = leastUsed
		}
		r.closedClients.crowded++
		r.closeClient(c, Crowded)
	}
}

// leastUsedClient returns the connection to close first when there are too many.
func (r *Router) leastUsedClient() *client {
	return slices.MinFunc(r.unorderedClients(), func(a, b *client) int {
		return cmp.Or(cmp.Compare(r.clientUsage(a), r.clientUsage(b)), cmp.Compare(a.activeAt, b.activeAt), cmp.Compare(a.number, b.number))
	})
}

// How much a client connection is used, least first.
const (
	unusedClient = iota // it has never sent a complete message and is not new
	idleClient          // it has sent messages; nothing is open or incomplete on it
	newClient           // it is new, or a message is incomplete
	activeClient        // it has open batches
)

// clientUsage returns how much a client connection is used.
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

// sortedClients returns the client connections by number, so that the order does not depend on map iteration.
func (r *Router) sortedClients() []*client {
	all := r.unorderedClients()
	slices.SortFunc(all, func(a, b *client) int { return cmp.Compare(a.number, b.number) })
	return all
}

// unorderedClients returns the client connections in no particular order.
func (r *Router) unorderedClients() []*client {
	all := make([]*client, 0, len(r.clients))
	for _, c := range r.clients {
		all = append(all, c)
	}
	return all
}

// checkClients closes connections that use a descriptor to no purpose: those that never send a message, those that never
// complete one, and idle ones. It also closes connections above the limit.
func (r *Router) checkClients() {
	r.clientCheckSet = len(r.clients) > 0
	// If the timer fired late the process was paused, and what clients wrote meanwhile is still in the sockets. It must be
	// read first; otherwise a connection whose message was completed during the pause would be closed, and all batches sent
	// behind that message would be lost. The same holds for silent and idle connections. The cause of the pause does not
	// matter. The cost is small: connections are closed a moment later.
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
		// Open batches get their answers first, because closing the connection would lose them. This protects
		// clients that are paused in the middle of a message, alone or with their machine. The cost is small: no batch
		// can be sent behind an incomplete message, so the open ones end within their time limit, and after that the
		// incomplete message counts.
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
	for r.maxClients > 0 && len(r.clients) > r.maxClients { // a reload has lowered the limit
		leastUsed := r.leastUsedClient()
		if r.clientUsage(leastUsed) == activeClient {
			break
		}
		r.closedClients.crowded++
		r.closeClient(leastUsed, Crowded)
	}
	if closed := &r.closedClients; closed.silent+closed.idle+closed.crowded > 0 && r.now > closed.loggedAt+closedClientsLogInterval {
		r.log(Info, "clients ended for room", "silent", closed.silent, "idle", closed.idle, "crowded", closed.crowded,
			"clients", len(r.clients))
		*closed = closedClientCounts{loggedAt: r.now}
	}
}

// closeClient closes a client connection.
func (r *Router) closeClient(c *client, end CloseReason) {
	r.emit(CloseClient{c.number, end})
	r.clientEnded(c.number, end)
}

// rejectClient closes the connection of a client that broke the protocol or did not complete a message. A client that sends
// unusable input is served nothing: its open batches get an error as their final answer, whatever their state, and the
// connection gets an error that belongs to no batch.
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

// openInOrder returns the open batches of a connection in the order in which they were accepted.
func (c *client) openInOrder() []*batch {
	open := make([]*batch, 0, len(c.open))
	for _, b := range c.open {
		open = append(open, b)
	}
	slices.SortFunc(open, func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	return open
}

// clientEnded handles the end of a client connection; the clients of its open batches no longer wait.
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
