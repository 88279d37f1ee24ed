package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

// These tests check rule 3 on real processes: an engine gets no new request once the grace period is over, which begins when
// the name service sends an answer that lists the engine as draining. Each test puts a fault between that answer and the
// first byte of a request. Times are measured by the stand-ins. grace is the value in the settings of main_test.go; slack is
// what the protocol specification adds for real sockets.
const (
	grace = 250 * time.Millisecond
	slack = 50 * time.Millisecond
)

// arrivalLog records when requests reach an engine.
type arrivalLog struct {
	mutex   sync.Mutex
	entries []arrival
}

type arrival struct {
	id string
	at time.Time
}

// answer is an answer function for standin.NewEngine that returns a result of one page at once.
func (a *arrivalLog) answer(r standin.Request) [][]string {
	if r[0] != "fetch" {
		return standin.ToyAnswer(r)
	}
	a.mutex.Lock()
	a.entries = append(a.entries, arrival{r[1], time.Now()})
	a.mutex.Unlock()
	return [][]string{{r[1], "DONE", "sheets=1,toil=1,room=8", "one\ttwo\tthree\n"}}
}

// after returns the requests that arrived after a time.
func (a *arrivalLog) after(limit time.Time) (late []arrival) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, entry := range a.entries {
		if entry.at.After(limit) {
			late = append(late, entry)
		}
	}
	return late
}

// has reports whether a request with this id arrived.
func (a *arrivalLog) has(id string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, entry := range a.entries {
		if entry.id == id {
			return true
		}
	}
	return false
}

// readyHost is the name service entry of an engine that accepts requests.
func readyHost(id string, e *standin.Engine) standin.Host {
	return standin.Host{ID: id, Zone: "hall", Kind: "std", Address: e.Addr().String()}
}

// drainingHost is the name service entry of an engine that is draining.
func drainingHost(id string, e *standin.Engine) standin.Host {
	h := readyHost(id, e)
	h.Draining = true
	return h
}

// waitForDrainAnswer waits until the name service has sent an answer that lists the engine as draining, and returns when it did.
func (p *program) waitForDrainAnswer(id string) time.Time {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return !p.names.FirstDrained()[id].IsZero() }, waitTimeout, time.Millisecond)
	return p.names.FirstDrained()[id]
}

// A name service with a backlog answers each query late, but its answers still count. The fault: every answer arrived for a query
// that the router had already dropped, or at a socket that it had already closed.
func TestADrainIsReceivedFromASlowNameService(t *testing.T) {
	var old, fresh arrivalLog
	e0, e1 := newEngine(t, old.answer), newEngine(t, fresh.answer)
	p := newProgram(t, e0)
	p.names.SetLag(40)
	p.configureWithEngines(p.names, p.names.StartupEvents())
	p.start()
	p.names.Set(drainingHost("s-0", e0), readyHost("s-new", e1))
	limit := p.waitForDrainAnswer("s-0").Add(grace + slack)
	p.sendRequestsUntilPast(limit)
	assert.Empty(t, old.after(limit), "after the grace")
	assert.NotEmpty(t, fresh.after(limit))
}

// List numbers restart at 1 with each router process. A late answer for the previous process has a higher number; a router that
// accepted it as newer treated all later lists as outdated until its own numbers had caught up. This caused incident 1.
func TestAnAnswerMadeBeforeTheRestartDoesNotHideADrain(t *testing.T) {
	var old, fresh arrivalLog
	e0, e1 := newEngine(t, old.answer), newEngine(t, fresh.answer)
	p := newProgram(t, e0)
	for range 4 {
		p.listEngines(e0)
	}
	p.configure(p.names)
	p.start()
	before := p.names.CurrentList()
	require.NoError(t, p.Process.Kill())
	p.Wait() //nolint:errcheck
	p.names.ResetSerial()
	p.names.AnswerNextWith(before)
	p.configureWithEngines(p.names, p.names.StartupEvents())
	answers := p.names.AnswerCount()
	p.start()
	require.Eventually(t, func() bool { return p.names.AnswerCount() > answers+3 }, waitTimeout, time.Millisecond)
	p.names.Set(drainingHost("s-0", e0), readyHost("s-new", e1))
	limit := p.waitForDrainAnswer("s-0").Add(grace + slack)
	p.sendRequestsUntilPast(limit)
	assert.Empty(t, old.after(limit), "after the grace")
	assert.NotEmpty(t, fresh.after(limit))
}

// sendRequestsUntilPast sends requests one after the other until a hundred have been sent after limit.
func (p *program) sendRequestsUntilPast(limit time.Time) {
	p.t.Helper()
	const requests = 100
	c := p.client()
	for i, past := uint32(1), 0; past < requests; i++ {
		if time.Now().After(limit) {
			past++
		}
		require.NoError(p.t, c.SendBatch(i, "lookup", fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1"))
		p.answers(c, 1)
	}
}

// A request that is queued on a connection behind bytes that its engine does not read would be sent when the engine reads again,
// even if the engine was reported as draining in the meantime.
func TestWhatAnEngineHasNotReadDoesNotReachItAfterItsDrain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	rawListener, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, rawListener.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) //nolint:errcheck
	}))
	gate := make(chan struct{})
	var old, fresh arrivalLog
	e0 := standin.NewEngineFromListener(&gatedListener{listener, gate}, old.answer)
	t.Cleanup(func() { e0.Close() })
	e1 := newEngine(t, fresh.answer)
	p := startNewProgram(t, e0)
	c := p.client()
	text := "SELECT '" + strings.Repeat("x", 200_000) + "'"
	const requests = 30 // more than there are connections to one engine
	for i := range uint32(requests) {
		require.NoError(t, c.SendBatch(i+1, "lookup", fmt.Sprintf("%016x", i+1), requestTimeout, text))
	}
	p.names.Set(drainingHost("s-0", e0), readyHost("s-new", e1))
	limit := p.waitForDrainAnswer("s-0").Add(grace + slack)
	require.Eventually(t, func() bool { return len(fresh.after(time.Time{})) > 0 || time.Now().After(limit.Add(grace)) }, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return time.Now().After(limit) }, waitTimeout, time.Millisecond)
	close(gate)
	p.answers(c, requests)
	// A request that was partly sent before may now arrive completely: one on each connection, and nothing behind it.
	assert.LessOrEqual(t, len(old.after(limit)), e0.Connections(), "requests that were queued behind unread bytes")
	assert.NotEmpty(t, fresh.after(time.Time{}), "the others go to the other engine")
}

// gatedListener accepts connections whose reads block until the gate channel is closed.
type gatedListener struct {
	net.Listener
	gate <-chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c, l.gate}, nil
}

// gatedConn is a connection whose reads block until the gate channel is closed.
type gatedConn struct {
	net.Conn
	gate <-chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(b)
}
