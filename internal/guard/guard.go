// Package guard holds the invariants of a request's life at the one place where the router's decisions become bytes. It keeps a
// ledger of its own: what was taken and has not ended, which attempts went out, which connections are open. Every send, repeat,
// answer, close and end asks it first. What would break an invariant is withheld and counted, so a fault in the decisions or
// in the state behind them neither loses a request nor runs it twice. It is pure: no input or output, no clock.
package guard

import "fmt"

// Request names one: the number of its client's connection, and its stream there.
type Request struct {
	Client uint64
	Stream uint32
}

// Violation is an invariant that would have been broken.
type Violation uint8

// The violations.
const (
	SendAfterEnd           Violation = iota // an attempt of a request that has its final answer, or was cancelled
	SendOnClosedConnection                  // an attempt on a connection that is not up
	RetryAtMostOnce                         // a second attempt of a once-only request whose first may have run
	ConcurrentAttempt                       // a further attempt beside one that may be out, where that is forbidden
	DuplicateAnswer                         // an answer for a request that has ended, or that nobody asked
	CloseUnanswered                         // a client's connection closed by us with requests open on it
	ExitUnanswered                          // the router's end with requests open
	ReadyAfterExit                          // 'ready' told after the end was decided
	violationKinds                          // how many kinds there are
)

var violationNames = [violationKinds]string{"send after end", "send on a connection that is not up", "repeat of a once-only request",
	"second attempt beside one that may be out", "second answer", "close with open requests", "end with open requests", "ready after the end"}

func (v Violation) String() string { return violationNames[v] }

// ViolationError is a violation that was prevented.
type ViolationError struct {
	Violation Violation
	Request   Request
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("%s: client %d, stream %d", e.Violation, e.Request.Client, e.Request.Stream)
}

// ClientGoneError says that a request's client has gone just now, so that an attempt of it must not begin. It is no violation: the
// router has not heard of it yet.
type ClientGoneError struct{ Request Request }

func (e *ClientGoneError) Error() string {
	return fmt.Sprintf("the client has gone: client %d, stream %d", e.Request.Client, e.Request.Stream)
}

// attempt is one that may have run.
type attempt struct {
	connection uint64
	id         string
}

// request is one that is open.
type request struct {
	attempts map[attempt]bool // whether it may still be out
}

// client is a connection of one.
type client struct {
	open       map[uint32]*request // by stream
	lastStream uint32              // the highest stream taken: streams count up
}

// engine is a connection to one.
type engine struct {
	inFlight  map[string]*request // whose attempts are out there, by id
	cancelled map[string]bool     // ids that the engine is told to give up, and has not shown to have
}

// Counts is what has become of requests since the start.
type Counts struct {
	Accepted, Answered, Cancelled, Abandoned int
	Violations                               [violationKinds]int
}

// TotalViolations is how many violations of any kind there were.
func (c *Counts) TotalViolations() (n int) {
	for _, v := range c.Violations {
		n += v
	}
	return n
}

// Guard is the ledger.
type Guard struct {
	clients map[uint64]*client
	engines map[uint64]*engine // by connection that is up
	exited  bool
	counts  Counts
}

// New makes an empty ledger.
func New() *Guard {
	return &Guard{clients: map[uint64]*client{}, engines: map[uint64]*engine{}}
}

// Counts tells what has become of requests since the start.
func (g *Guard) Counts() Counts { return g.counts }

// OpenRequests tells how many requests have been taken and not ended.
func (g *Guard) OpenRequests() (n int) {
	for _, c := range g.clients {
		n += len(c.open)
	}
	return n
}

func (g *Guard) recordViolation(v Violation, r Request) error {
	g.counts.Violations[v]++
	return &ViolationError{v, r}
}

// ClientOpened notes a connection of a client.
func (g *Guard) ClientOpened(number uint64) {
	g.clients[number] = &client{open: map[uint32]*request{}}
}

// RequestAccepted notes a request that has been read whole. A stream that does not count up is no request: its client is refused.
func (g *Guard) RequestAccepted(r Request) {
	c := g.clients[r.Client]
	if c == nil || r.Stream <= c.lastStream {
		return
	}
	c.lastStream = r.Stream
	c.open[r.Stream] = &request{attempts: map[attempt]bool{}}
	g.counts.Accepted++
}

// RequestCancelled notes that nobody waits for a request any more.
func (g *Guard) RequestCancelled(r Request) {
	if c := g.clients[r.Client]; c != nil && c.open[r.Stream] != nil {
		delete(c.open, r.Stream)
		g.counts.Cancelled++
	}
}

// ClientClosed notes that a client has ended its connection, or that its protocol was broken: what was open has no one to answer.
func (g *Guard) ClientClosed(number uint64) {
	if c := g.clients[number]; c != nil {
		g.counts.Abandoned += len(c.open)
		delete(g.clients, number)
	}
}

// EngineConnected notes a connection to an engine.
func (g *Guard) EngineConnected(connection uint64) {
	g.engines[connection] = &engine{inFlight: map[string]*request{}, cancelled: map[string]bool{}}
}

// EngineDisconnected notes its end. What was out there may have run, and may still be out.
func (g *Guard) EngineDisconnected(connection uint64) { delete(g.engines, connection) }

// EngineClosedConnection notes that an engine has ended a connection: it has given up all that was out there, which may have run.
func (g *Guard) EngineClosedConnection(connection uint64) {
	if e := g.engines[connection]; e != nil {
		for id := range e.inFlight {
			g.AttemptEnded(id, connection)
		}
	}
}

// CancelSent notes that an engine is told to give an attempt up.
func (g *Guard) CancelSent(id string, connection uint64) {
	if e := g.engines[connection]; e != nil && e.inFlight[id] != nil {
		e.cancelled[id] = true
	}
}

// PageReceived notes a page of a result. The engine has read what was written before it was asked for that.
func (g *Guard) PageReceived(id string, connection uint64) {
	if e := g.engines[connection]; e != nil && e.cancelled[id] {
		g.AttemptEnded(id, connection)
	}
}

// CancellationsConfirmed notes that an engine has ended all that it was told to give up on a connection.
func (g *Guard) CancellationsConfirmed(connection uint64) {
	if e := g.engines[connection]; e != nil {
		for id := range e.cancelled {
			g.AttemptEnded(id, connection)
		}
	}
}

// CheckNoneInFlight asks whether an attempt may leave of a request that must not have two out. Send is asked after it.
func (g *Guard) CheckNoneInFlight(r Request) error {
	if c := g.clients[r.Client]; c != nil && c.open[r.Stream] != nil {
		for _, out := range c.open[r.Stream].attempts {
			if out {
				return g.recordViolation(ConcurrentAttempt, r)
			}
		}
	}
	return nil
}

// Send asks whether an attempt may leave: its request is open, the connection is up, and a once-only request has no other
// attempt that may have run. It notes the attempt.
func (g *Guard) Send(r Request, id string, connection uint64, onceOnly bool) error {
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
	case onceOnly && len(open.attempts) > 0:
		return g.recordViolation(RetryAtMostOnce, r)
	}
	open.attempts[attempt{connection, id}] = true
	g.engines[connection].inFlight[id] = open
	return nil
}

// AttemptNotRun notes that an attempt surely did not run: it was not written, or its engine has turned it away.
func (g *Guard) AttemptNotRun(id string, connection uint64) {
	e := g.engines[connection]
	if e == nil || e.inFlight[id] == nil {
		return
	}
	delete(e.inFlight[id].attempts, attempt{connection, id})
	delete(e.inFlight, id)
	delete(e.cancelled, id)
}

// AttemptEnded notes that an attempt has ended at its engine.
func (g *Guard) AttemptEnded(id string, connection uint64) {
	e := g.engines[connection]
	if e == nil || e.inFlight[id] == nil {
		return
	}
	e.inFlight[id].attempts[attempt{connection, id}] = false
	delete(e.inFlight, id)
	delete(e.cancelled, id)
}

// Answer asks whether a final answer may be told, and notes it. An answer for a client that has gone goes nowhere, and is
// nobody's fault.
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

// CloseClient asks for the end of a client's connection by us. It gives the requests that are open there: each has to get its
// answer first.
func (g *Guard) CloseClient(number uint64) []Request {
	return g.openRequestsOf(number, CloseUnanswered)
}

// Exit asks for the router's end. It gives the requests that are open: each has to get its answer first.
func (g *Guard) Exit() (unanswered []Request) {
	for number := range g.clients {
		unanswered = append(unanswered, g.openRequestsOf(number, ExitUnanswered)...)
	}
	g.exited = true
	return unanswered
}

func (g *Guard) openRequestsOf(number uint64, v Violation) (out []Request) {
	c := g.clients[number]
	if c == nil {
		return nil
	}
	for stream := range c.open {
		out = append(out, Request{number, stream})
		g.counts.Violations[v]++
	}
	return out
}

// Ready asks whether a client may be told that the router is ready.
func (g *Guard) Ready(r Request) error {
	if g.exited {
		return g.recordViolation(ReadyAfterExit, r)
	}
	return nil
}
