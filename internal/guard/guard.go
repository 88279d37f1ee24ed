// Package guard checks the invariants of a request's life at the one place where the router's decisions are written to
// connections. It keeps its own record of open requests, attempts and open connections. The host consults it before every
// send, retry, answer, close and exit. An action that would violate an invariant is withheld and counted, so that a bug in
// the decisions or in the router's state neither loses a request nor runs it twice. The package does no I/O and reads no
// clock. A Guard is not safe for concurrent use.
package guard

import "fmt"

// Request identifies a request by the number of its client's connection and its stream on that connection.
type Request struct {
	Client uint64
	Stream uint32
}

// Violation is the kind of invariant that an action would have violated.
type Violation uint8

// Kinds of violation.
const (
	SendAfterEnd           Violation = iota // attempt of a request that is unknown, has its final answer or was cancelled, or any attempt after Exit
	SendOnClosedConnection                  // attempt on a connection that is not established
	RetryAtMostOnce                         // further attempt of an at-most-once request of which an earlier attempt may have run
	ConcurrentAttempt                       // attempt while an earlier one may still run, where hedging is forbidden
	DuplicateAnswer                         // answer to a request that has ended or was never accepted
	CloseUnanswered                         // the router closes a client's connection that has open requests
	ExitUnanswered                          // the router exits with open requests
	ReadyAfterExit                          // the router reports itself ready after Exit
	violationKinds                          // number of kinds
)

var violationNames = [violationKinds]string{"send for a request that is not open", "send on a closed connection", "retry of an at-most-once request",
	"concurrent attempt where only one is allowed", "second answer", "close with open requests", "exit with open requests", "ready after the end"}

func (v Violation) String() string { return violationNames[v] }

// ViolationError reports a violation that the guard prevented.
type ViolationError struct {
	Violation Violation
	Request   Request
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("%s: client %d, stream %d", e.Violation, e.Request.Client, e.Request.Stream)
}

// ClientGoneError says that an attempt must not begin because its request's client has just disconnected. It is not a
// violation: the router has not processed the disconnection yet.
type ClientGoneError struct{ Request Request }

func (e *ClientGoneError) Error() string {
	return fmt.Sprintf("client disconnected: client %d, stream %d", e.Request.Client, e.Request.Stream)
}

// attempt identifies a dispatch that may have run.
type attempt struct {
	connection uint64
	id         string
}

// request is an open request: accepted and not yet answered, cancelled or abandoned.
type request struct {
	attempts map[attempt]bool // attempts that may have run; true: may still be running
}

// client is a client's connection.
type client struct {
	open       map[uint32]*request // by stream
	lastStream uint32              // highest stream accepted; stream numbers increase
}

// engine is an established connection to an engine.
type engine struct {
	inFlight  map[string]*request // requests with an attempt in flight on this connection, by attempt id
	cancelled map[string]bool     // attempt ids whose cancellation was sent but not confirmed
}

// Counts holds the numbers of requests by outcome since the start.
type Counts struct {
	Accepted   int
	Answered   int // got their final answer
	Cancelled  int // by their client
	Abandoned  int // open when their client disconnected
	Violations [violationKinds]int
}

// TotalViolations returns the number of violations of all kinds.
func (c *Counts) TotalViolations() (n int) {
	for _, v := range c.Violations {
		n += v
	}
	return n
}

// Guard records open requests, attempts and connections, and checks actions against them.
type Guard struct {
	clients map[uint64]*client
	engines map[uint64]*engine // by connection number; established connections only
	exited  bool
	counts  Counts
}

// New returns a Guard without requests or connections.
func New() *Guard {
	return &Guard{clients: map[uint64]*client{}, engines: map[uint64]*engine{}}
}

// Counts returns the numbers of requests by outcome since the start.
func (g *Guard) Counts() Counts { return g.counts }

// OpenRequests returns the number of requests that were accepted and have not ended.
func (g *Guard) OpenRequests() (n int) {
	for _, c := range g.clients {
		n += len(c.open)
	}
	return n
}

// recordViolation counts a violation and returns it as an error.
func (g *Guard) recordViolation(v Violation, r Request) error {
	g.counts.Violations[v]++
	return &ViolationError{v, r}
}

// ClientOpened records a new connection of a client.
func (g *Guard) ClientOpened(number uint64) {
	g.clients[number] = &client{open: map[uint32]*request{}}
}

// RequestAccepted records a request that was read completely. A request whose stream number is not above the previous one is
// not recorded: the router rejects its client.
func (g *Guard) RequestAccepted(r Request) {
	c := g.clients[r.Client]
	if c == nil || r.Stream <= c.lastStream {
		return
	}
	c.lastStream = r.Stream
	c.open[r.Stream] = &request{attempts: map[attempt]bool{}}
	g.counts.Accepted++
}

// RequestCancelled records that the client no longer waits for a request.
func (g *Guard) RequestCancelled(r Request) {
	if c := g.clients[r.Client]; c != nil && c.open[r.Stream] != nil {
		delete(c.open, r.Stream)
		g.counts.Cancelled++
	}
}

// ClientClosed records that a client's connection was closed, by the client or after a protocol error. Its open requests can
// no longer be answered and count as abandoned.
func (g *Guard) ClientClosed(number uint64) {
	if c := g.clients[number]; c != nil {
		g.counts.Abandoned += len(c.open)
		delete(g.clients, number)
	}
}

// EngineConnected records an established connection to an engine.
func (g *Guard) EngineConnected(connection uint64) {
	g.engines[connection] = &engine{inFlight: map[string]*request{}, cancelled: map[string]bool{}}
}

// EngineDisconnected records the end of a connection to an engine. Attempts in flight there may have run and may still be
// running.
func (g *Guard) EngineDisconnected(connection uint64) { delete(g.engines, connection) }

// EngineClosedConnection records that an engine closed a connection. The engine has ended all attempts in flight there; they
// may have run.
func (g *Guard) EngineClosedConnection(connection uint64) {
	if e := g.engines[connection]; e != nil {
		for id := range e.inFlight {
			g.AttemptEnded(id, connection)
		}
	}
}

// CancelSent records that the cancellation of an attempt was sent to its engine.
func (g *Guard) CancelSent(id string, connection uint64) {
	if e := g.engines[connection]; e != nil && e.inFlight[id] != nil {
		e.cancelled[id] = true
	}
}

// PageReceived records that a page of a result arrived. The engine reads a connection in order, so it has read everything
// that was written before the page was requested: an attempt whose cancellation was sent has ended.
func (g *Guard) PageReceived(id string, connection uint64) {
	if e := g.engines[connection]; e != nil && e.cancelled[id] {
		g.AttemptEnded(id, connection)
	}
}

// CancellationsConfirmed records that an engine has ended all attempts whose cancellation was sent on a connection.
func (g *Guard) CancellationsConfirmed(connection uint64) {
	if e := g.engines[connection]; e != nil {
		for id := range e.cancelled {
			g.AttemptEnded(id, connection)
		}
	}
}

// CheckNoneInFlight returns an error if an earlier attempt of a request may still be running. The host calls it before Send for
// requests that must not have two attempts at a time.
func (g *Guard) CheckNoneInFlight(r Request) error {
	if c := g.clients[r.Client]; c != nil && c.open[r.Stream] != nil {
		for _, mayRun := range c.open[r.Stream].attempts {
			if mayRun {
				return g.recordViolation(ConcurrentAttempt, r)
			}
		}
	}
	return nil
}

// Send records an attempt, or returns an error if it must not be sent. It may be sent if its request is open, its connection is
// established and, for an at-most-once request, no other attempt may have run. The error is a *ClientGoneError or a
// *ViolationError.
func (g *Guard) Send(r Request, id string, connection uint64, atMostOnce bool) error {
	c := g.clients[r.Client]
	if c == nil {
		return &ClientGoneError{r}
	}
	open := c.open[r.Stream]
	switch {
	case g.exited || open == nil:
		return g.recordViolation(SendAfterEnd, r)
	case g.engines[connection] == nil:
		return g.recordViolation(SendOnClosedConnection, r)
	case atMostOnce && len(open.attempts) > 0:
		return g.recordViolation(RetryAtMostOnce, r)
	}
	open.attempts[attempt{connection, id}] = true
	g.engines[connection].inFlight[id] = open
	return nil
}

// AttemptNotRun records that an attempt certainly did not run: it was not written, or its engine rejected it.
func (g *Guard) AttemptNotRun(id string, connection uint64) {
	e := g.engines[connection]
	if e == nil || e.inFlight[id] == nil {
		return
	}
	delete(e.inFlight[id].attempts, attempt{connection, id})
	delete(e.inFlight, id)
	delete(e.cancelled, id)
}

// AttemptEnded records that an attempt has ended at its engine. It may have run.
func (g *Guard) AttemptEnded(id string, connection uint64) {
	e := g.engines[connection]
	if e == nil || e.inFlight[id] == nil {
		return
	}
	e.inFlight[id].attempts[attempt{connection, id}] = false
	delete(e.inFlight, id)
	delete(e.cancelled, id)
}

// Answer records the final answer to a request, or returns a *ViolationError if the answer must not be sent. An answer to a
// client that has disconnected is dropped and is not a violation.
func (g *Guard) Answer(r Request) error {
	c := g.clients[r.Client]
	if c == nil {
		return nil
	}
	if c.open[r.Stream] == nil {
		return g.recordViolation(DuplicateAnswer, r)
	}
	delete(c.open, r.Stream)
	g.counts.Answered++
	return nil
}

// CloseClient returns the open requests of a client whose connection the router is about to close, in no order, and counts each
// as a violation. Each must be answered before the close.
func (g *Guard) CloseClient(number uint64) []Request {
	return g.openRequestsOf(number, CloseUnanswered)
}

// Exit marks the router as exiting: from then on Send and Ready fail. It returns all open requests, in no order, and counts each
// as a violation. Each must be answered before the exit.
func (g *Guard) Exit() (unanswered []Request) {
	for number := range g.clients {
		unanswered = append(unanswered, g.openRequestsOf(number, ExitUnanswered)...)
	}
	g.exited = true
	return unanswered
}

// openRequestsOf returns the open requests of a client and counts each as a violation.
func (g *Guard) openRequestsOf(number uint64, v Violation) (requests []Request) {
	c := g.clients[number]
	if c == nil {
		return nil
	}
	for stream := range c.open {
		requests = append(requests, Request{number, stream})
		g.counts.Violations[v]++
	}
	return requests
}

// Ready returns a *ViolationError if the router must not report itself ready to a client, because Exit was called. The stream
// in r is that of the client's readiness query.
func (g *Guard) Ready(r Request) error {
	if g.exited {
		return g.recordViolation(ReadyAfterExit, r)
	}
	return nil
}
