package engines

// Connection is the router's record of one connection to an engine: its state and pending requests, not its socket. Times are
// in seconds. It is not safe for concurrent use.
type Connection struct {
	Number         uint64  // identifies the connection in the router
	Engine         uint32  // id of the engine
	Up             bool    // established
	Suspect        bool    // silent past a time limit: gets no new requests
	PeerNotReading bool    // its engine has not read all that was written: new requests are queued
	StaleAddress   bool    // its engine has left this address: never gets new requests again
	LastReceivedAt float64 // when data last arrived
	IdleSince      float64 // since when nothing is pending; valid while Idle

	pending    map[string]any      // requests that wait for a reply, by id
	retiredIDs map[string]struct{} // ids of abandoned requests, for which a late reply may still arrive
}

// Pool holds the connections to one engine. It is kept by the engine's id, because an address may be reused by another engine.
// It is not safe for concurrent use.
type Pool struct {
	Engine      uint32
	Connections []*Connection
}

const maxRetiredIDs = 256 // per connection; one with this many gets no new requests

// Pick returns the connection with the fewest pending requests that can take one more with this id, or nil if there is none.
// limit is the number of pending requests that a connection may have. Connections whose engine does not read come last. Few
// pending requests are preferred because a malformed reply fails all that are pending on its connection. Among equals,
// established connections come first, then the most recently used one, so that the others can become idle.
func (p *Pool) Pick(id string, limit int) *Connection {
	var best *Connection
	for _, c := range p.Connections {
		if c.Suspect || c.StaleAddress || len(c.pending) >= limit || len(c.retiredIDs) >= maxRetiredIDs || c.hasID(id) {
			continue
		}
		if best == nil || best.PeerNotReading && !c.PeerNotReading {
			best = c
			continue
		}
		if c.PeerNotReading && !best.PeerNotReading {
			continue
		}
		if len(c.pending) < len(best.pending) ||
			len(c.pending) == len(best.pending) && (c.Up && !best.Up || c.Up == best.Up && c.IdleSince > best.IdleSince) {
			best = c
		}
	}
	return best
}

// LongestSilent returns the established connection with pending requests, fewer than limit, on which nothing has arrived for
// the longest time, or nil if there is none.
func (p *Pool) LongestSilent(limit int) *Connection {
	var best *Connection
	for _, c := range p.Connections {
		if c.Up && !c.StaleAddress && len(c.pending) > 0 && len(c.pending) < limit && (best == nil || c.LastReceivedAt < best.LastReceivedAt) {
			best = c
		}
	}
	return best
}

// PendingCount returns the number of pending requests.
func (c *Connection) PendingCount() int { return len(c.pending) }

// hasID reports whether an id is pending or retired. An id must not be reused on a connection, because replies are matched to
// requests by id.
func (c *Connection) hasID(id string) bool {
	_, pending := c.pending[id]
	_, retired := c.retiredIDs[id]
	return pending || retired
}

// Add adds a connection that is being dialed and returns its record.
func (p *Pool) Add(number uint64, now float64) *Connection {
	c := &Connection{Number: number, Engine: p.Engine, IdleSince: now, pending: map[string]any{}, retiredIDs: map[string]struct{}{}}
	p.Connections = append(p.Connections, c)
	return c
}

// Remove removes a connection from the pool.
func (p *Pool) Remove(c *Connection) {
	for i, other := range p.Connections {
		if other == c {
			p.Connections = append(p.Connections[:i], p.Connections[i+1:]...)
			return
		}
	}
}

// AddPending records that something waits for a reply or another event on this connection, under an id: a request, or an item
// that keeps the connection in use until its engine reports that it is free.
func (c *Connection) AddPending(id string, request any) { c.pending[id] = request }

// Pending returns the request that waits for a reply with this id, or nil.
func (c *Connection) Pending(id string) any { return c.pending[id] }

// RemovePending removes the request with this id. If a reply may still arrive, the id is retired and is not reused on this
// connection.
func (c *Connection) RemovePending(id string, replyMayArrive bool, now float64) {
	delete(c.pending, id)
	if replyMayArrive {
		c.retiredIDs[id] = struct{}{}
	}
	if len(c.pending) == 0 {
		c.IdleSince = now
	}
}

// AllPending returns all pending requests, in no order.
func (c *Connection) AllPending() []any {
	requests := make([]any, 0, len(c.pending))
	for _, request := range c.pending {
		requests = append(requests, request)
	}
	return requests
}

// Idle reports whether no request is pending.
func (c *Connection) Idle() bool { return len(c.pending) == 0 }
