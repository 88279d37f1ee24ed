package engines

// Connection is one connection to an engine, as the router keeps it: no socket, only what is known of it.
type Connection struct {
	Number         uint64
	Engine         uint32
	Up             bool
	Suspect        bool    // silent past a time limit: nothing new goes on it
	PeerNotReading bool    // its engine has not read what was written: no further request leaves there now
	StaleAddress   bool    // its engine is not at its address any more: nothing new, for good
	LastReceivedAt float64 // when it last brought something
	IdleSince      float64 // since when nothing is open on it

	pending    map[string]any
	retiredIDs map[string]struct{} // ids that were given up on it, of which an answer may still come
}

// Pool holds the connections to one engine. It goes by the engine's id: an address may be another's next.
type Pool struct {
	Engine      uint32
	Connections []*Connection
}

// maxRetiredIDs ids given up make a connection old: it takes nothing new then.
const maxRetiredIDs = 256

// Pick gives the connection with the least open that can carry one more with this id, or none; those whose engine has not
// read come last. Among equals it is the one used last, so that others may fall idle. One spoilt answer takes all with it
// that is open on its connection.
func (p *Pool) Pick(id string, most int) *Connection {
	var best *Connection
	for _, c := range p.Connections {
		if c.Suspect || c.StaleAddress || len(c.pending) >= most || len(c.retiredIDs) >= maxRetiredIDs || c.hasID(id) {
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

// LongestSilent gives the connection with something open that has brought nothing for longest, or none.
func (p *Pool) LongestSilent(most int) *Connection {
	var best *Connection
	for _, c := range p.Connections {
		if c.Up && !c.StaleAddress && len(c.pending) > 0 && len(c.pending) < most && (best == nil || c.LastReceivedAt < best.LastReceivedAt) {
			best = c
		}
	}
	return best
}

// PendingCount tells how much is open on it.
func (c *Connection) PendingCount() int { return len(c.pending) }

// hasID: an id stands once on a connection, or nobody could tell whose answer it is.
func (c *Connection) hasID(id string) bool {
	_, open := c.pending[id]
	_, used := c.retiredIDs[id]
	return open || used
}

// Add takes in a connection that is being made.
func (p *Pool) Add(number uint64, now float64) *Connection {
	c := &Connection{Number: number, Engine: p.Engine, IdleSince: now, pending: map[string]any{}, retiredIDs: map[string]struct{}{}}
	p.Connections = append(p.Connections, c)
	return c
}

// Remove drops a connection.
func (p *Pool) Remove(c *Connection) {
	for i, one := range p.Connections {
		if one == c {
			p.Connections = append(p.Connections[:i], p.Connections[i+1:]...)
			return
		}
	}
}

// AddPending notes what waits for an answer under an id.
func (c *Connection) AddPending(id string, what any) { c.pending[id] = what }

// Pending gives what waits under an id.
func (c *Connection) Pending(id string) any { return c.pending[id] }

// RemovePending ends the wait for an id; with late, an answer may still come.
func (c *Connection) RemovePending(id string, late bool, now float64) {
	delete(c.pending, id)
	if late {
		c.retiredIDs[id] = struct{}{}
	}
	if len(c.pending) == 0 {
		c.IdleSince = now
	}
}

// AllPending gives all that waits.
func (c *Connection) AllPending() []any {
	out := make([]any, 0, len(c.pending))
	for _, what := range c.pending {
		out = append(out, what)
	}
	return out
}

// Idle: nothing waits on it.
func (c *Connection) Idle() bool { return len(c.pending) == 0 }
