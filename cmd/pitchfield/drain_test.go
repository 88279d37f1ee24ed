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

// Rule 3 on real processes: nothing new reaches an engine once the grace is over that begins when the name service has
// sent an answer with its drain. Each test puts something between that answer and the first byte of a request. Times are
// those of the stand-ins; grace is of the settings in main_test.go, slack what the protocol's page adds on sockets.
const (
	grace = 250 * time.Millisecond
	slack = 50 * time.Millisecond
)

// arrivalLog notes when requests reach an engine.
type arrivalLog struct {
	mutex   sync.Mutex
	entries []arrival
}

type arrival struct {
	id string
	at time.Time
}

// answer is for standin.NewEngine: a result at once, of one page.
func (a *arrivalLog) answer(r standin.Request) [][]string {
	if r[0] != "fetch" {
		return standin.ToyAnswer(r)
	}
	a.mutex.Lock()
	a.entries = append(a.entries, arrival{r[1], time.Now()})
	a.mutex.Unlock()
	return [][]string{{r[1], "DONE", "sheets=1,toil=1,room=8", "one\ttwo\tthree\n"}}
}

// after gives what came after a time.
func (a *arrivalLog) after(limit time.Time) (late []arrival) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, one := range a.entries {
		if one.at.After(limit) {
			late = append(late, one)
		}
	}
	return late
}

func (a *arrivalLog) has(id string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, one := range a.entries {
		if one.id == id {
			return true
		}
	}
	return false
}

func readyHost(id string, e *standin.Engine) standin.Host {
	return standin.Host{ID: id, Zone: "hall", Kind: "std", Address: e.Addr().String()}
}

func drainingHost(id string, e *standin.Engine) standin.Host {
	h := readyHost(id, e)
	h.Draining = true
	return h
}

// waitForDrainAnswer waits until the name service has sent an answer with a drain, and gives when that was.
func (p *program) waitForDrainAnswer(id string) time.Time {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return !p.names.FirstDrained()[id].IsZero() }, waitTimeout, time.Millisecond)
	return p.names.FirstDrained()[id]
}

// A name service with a backlog answers each question late, but what it sends counts. All of its answers came to questions
// that the router had forgotten, or to sockets that it had closed.
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

// The numbers of lists begin with 1 at each start of a router. An answer that was made for the process before has a higher
// one; a router that took it for newer held all lists for old until its own numbers had come so far. This is the cause of
// incident 1.
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

// sendRequestsUntilPast sends requests one after the other, a hundred of them after a time.
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

// A request that is put behind bytes that its engine does not read leaves when the engine reads again, whatever was told
// meanwhile.
func TestWhatAnEngineHasNotReadDoesNotReachItAfterItsDrain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	narrow, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, narrow.Control(func(fd uintptr) {
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
	// What had begun to leave before may arrive whole now: one request on each connection, and nothing behind it.
	assert.LessOrEqual(t, len(old.after(limit)), e0.Connections(), "requests that waited behind unread bytes")
	assert.NotEmpty(t, fresh.after(time.Time{}), "the others go elsewhere")
}

// gatedListener hands out connections that are not read before the gate opens.
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

type gatedConn struct {
	net.Conn
	gate <-chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(b)
}
