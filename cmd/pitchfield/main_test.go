package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

// The test program is the router too: started with this variable it is main.
const asProgramVariable = "PITCHFIELD_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	waitTimeout      = 20 * time.Second // no time is asserted: only that it comes at all
	requestTimeout   = 8 * time.Second
	platformSettings = `{"grades":[{"name":"lookup","on-time-ms":8000,"deadline-ms":8000,"idempotency":"idempotent","worth":1},
{"name":"once","on-time-ms":8000,"deadline-ms":8000,"idempotency":"at_most_once","worth":1}],
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1,1]},"dcs":["hall"],"flavors":["std"],
"limits":{"attempts-cap":3,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":8,"retry-after":true,
"max-retry-after-ms":500},"rules":{"stop-sending-within-ms":250},"feedback":{"how":"none"},"balancers":1,"index":0,"tick-ms":5}`
)

type program struct {
	*exec.Cmd
	t         *testing.T
	address   string
	names     *standin.NameService
	log       logBuffer
	stderr    io.Writer // in place of the log, unless nil
	path      string
	arguments []string
	// settings are those that the configuration holds
	settings string

	environment []string // further variables
}

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

func (p *program) logged(text string) bool { return strings.Contains(p.log.String(), text) }

// startNewProgram starts the program with the engines that the name service lists, and waits until it is ready.
func startNewProgram(t *testing.T, engines ...*standin.Engine) *program {
	p := newProgram(t, engines...)
	p.configure(p.names)
	p.start()
	return p
}

// newProgram makes a name service that lists the engines, and a program that is not started.
func newProgram(t *testing.T, engines ...*standin.Engine) *program {
	names, err := standin.NewNameService("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { names.Close() })
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &program{t: t, address: free.Addr().String(), names: names, settings: platformSettings}
	free.Close()
	p.listEngines(engines...)
	p.path = filepath.Join(t.TempDir(), "config.json")
	return p
}

// configure writes the file that names this name service.
func (p *program) configure(names *standin.NameService) {
	p.configureWithEngines(names, map[string]any{"pos": 0, "entries": []any{}})
}

// configureWithEngines does so with a list of engines that the program knows from its start.
func (p *program) configureWithEngines(names *standin.NameService, known any) {
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": p.address, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"resolver": names.LocalAddr().String(), "known": known, "settings": json.RawMessage(p.settings)})
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.path, config, 0o600))
}

func (p *program) start() {
	p.Cmd = exec.Command("/bin/sh", "-c", `ulimit -n 256 && exec "$0" "$@"`, os.Args[0])
	p.Args = append(p.Args, p.arguments...)
	p.Env = append(os.Environ(), asProgramVariable+"=1", "RELAY_CONFIG="+p.path)
	p.Env = append(p.Env, p.environment...)
	if p.Stderr = &p.log; p.stderr != nil {
		p.Stderr = p.stderr
	}
	require.NoError(p.t, p.Start())
	p.t.Cleanup(func() { p.Process.Kill() })
	require.Eventually(p.t, func() bool {
		c, err := standin.Dial(p.address)
		if err != nil {
			return false
		}
		defer c.Close()
		c.Write(standin.EncodeFrame(20, 1, []string{}, ""))
		a, err := c.ReadFrame(time.Second)
		return err == nil && a.Type == 21 && a.Code == 0
	}, waitTimeout, 20*time.Millisecond)
}

func (p *program) listEngines(engines ...*standin.Engine) {
	var hosts []standin.Host
	for i, e := range engines {
		hosts = append(hosts, standin.Host{ID: fmt.Sprintf("s-%d", i), Zone: "hall", Kind: "std", Address: e.Addr().String()})
	}
	p.names.Set(hosts...)
}

func (p *program) client() *standin.Client {
	c, err := standin.Dial(p.address)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { c.Close() })
	return c
}

func (p *program) answers(c *standin.Client, n int) map[uint32]standin.ResponseFrame {
	out := map[uint32]standin.ResponseFrame{}
	for len(out) < n {
		a, err := c.ReadFrame(waitTimeout)
		require.NoError(p.t, err)
		if a.Type == 11 {
			require.NotContains(p.t, out, a.Stream)
			out[a.Stream] = a
		}
	}
	return out
}

func newEngine(t *testing.T, answer func(standin.Request) [][]string) *standin.Engine {
	e, err := standin.NewEngine("127.0.0.1:0", answer)
	require.NoError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

func TestBatchesGoThroughTheProgram(t *testing.T) {
	e := newEngine(t, nil)
	p := startNewProgram(t, e)
	c := p.client()
	for i := range uint32(8) {
		require.NoError(t, c.SendBatch(i+1, "lookup", fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1 FROM a_3.b"))
	}
	for _, a := range p.answers(c, 8) {
		assert.Equal(t, uint8(0), a.Code)
		assert.Equal(t, "hello\tfrom\tpage 0\nhello\tfrom\tpage 1\n", a.Body)
	}
	require.Len(t, e.Requests("fetch"), 8)
	assert.Equal(t, "SELECT 1 FROM a_3.b", e.Requests("fetch")[0][3])
	assert.Contains(t, e.Requests("fetch")[0][2], "queue=lookup,budget=")
}

func TestAnEngineThatDiesMidwayEndsOnceOnlyBatchesInAnError(t *testing.T) {
	hold := make(chan struct{})
	dying := newEngine(t, func(r standin.Request) [][]string { <-hold; return nil })
	t.Cleanup(func() { close(hold) })
	p := startNewProgram(t, dying)
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", requestTimeout, "INSERT INTO a_3.b SELECT 1"))
	require.Eventually(t, func() bool { return len(dying.Requests("fetch")) == 1 }, waitTimeout, 10*time.Millisecond)
	dying.Shutdown()
	a := p.answers(c, 1)[1]
	assert.Equal(t, uint8(5), a.Code, "it may have run")
	assert.Len(t, dying.Requests("fetch"), 1)
}

func TestAnEngineThatSendsInvalidFramesLosesItsConnection(t *testing.T) {
	e := newEngine(t, func(r standin.Request) [][]string {
		if r[1] == "00000000000000f1" {
			return [][]string{{"only one part"}}
		}
		return standin.ToyAnswer(r)
	})
	p := startNewProgram(t, e)
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", requestTimeout, "SELECT 1"))
	assert.Equal(t, uint8(5), p.answers(c, 1)[1].Code, "it may have run")
	require.NoError(t, c.SendBatch(2, "once", "00000000000000f2", requestTimeout, "SELECT 1"))
	assert.Equal(t, uint8(0), p.answers(c, 1)[2].Code)
}

func TestAKilledProgramStartsAgainOnItsAddress(t *testing.T) {
	e := newEngine(t, nil)
	p := startNewProgram(t, e)
	p.client()
	p.Process.Kill()
	p.Wait()
	p.start()
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", requestTimeout, "SELECT 1"))
	assert.Equal(t, uint8(0), p.answers(c, 1)[1].Code)
}

func TestAConfigurationThatCanNotBeUsedIsOneLine(t *testing.T) {
	for _, path := range []string{"", "/nowhere/config.json", os.Args[0]} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asProgramVariable+"=1", "RELAY_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		assert.Error(t, err)
		assert.Equal(t, 1, strings.Count(string(out), "\n"), "%s", out)
	}
}

func TestBadInputLeavesTheProgramUp(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00\x00", string(standin.EncodeFrame(99, 1, nil, "?")),
		string(standin.EncodeFrame(10, 0, []string{}, ""))} {
		c := p.client()
		c.Write([]byte(text))
		a, err := c.ReadFrame(waitTimeout)
		require.NoError(t, err)
		assert.Equal(t, []any{uint8(11), uint32(0), uint8(5)}, []any{a.Type, a.Stream, a.Code})
		_, err = c.ReadFrame(waitTimeout)
		assert.Error(t, err, "the connection ends")
	}
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", requestTimeout, "SELECT 1"))
	assert.Equal(t, uint8(0), p.answers(c, 1)[1].Code)
}

func TestTooManyConnectionsDoNotEndTheProgram(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	var last *standin.Client
	for range 400 {
		if c, err := standin.Dial(p.address); err == nil {
			defer c.Close()
			last = c
		}
	}
	for i := range uint32(20) { // who comes later is let in, and stays while it is in use
		c := p.client()
		for n := range uint32(3) {
			require.NoError(t, c.SendBatch(n+1, "lookup", fmt.Sprintf("%016x", i*3+n+1), requestTimeout, "SELECT 1"))
			require.Equal(t, uint8(0), p.answers(c, 1)[n+1].Code)
		}
	}
	_, err := last.ReadFrame(waitTimeout)
	require.ErrorIs(t, err, io.EOF, "it says nothing")
}

func TestAStopAnswersWhatWasTakenAndEndsWell(t *testing.T) {
	p := startNewProgram(t, newEngine(t, func(r standin.Request) [][]string {
		if r[0] == "fetch" {
			time.Sleep(200 * time.Millisecond)
		}
		return standin.ToyAnswer(r)
	}))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", requestTimeout, "SELECT 1"))
	a, err := c.ReadFrame(50 * time.Millisecond)
	require.Error(t, err, "still out: %v", a)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	a, err = c.ReadFrame(waitTimeout)
	require.NoError(t, err)
	assert.Equal(t, uint8(30), a.Type, "no new batch here")
	late := p.client()
	require.NoError(t, late.SendBatch(1, "lookup", "00000000000000f2", requestTimeout, "SELECT 1"))
	assert.Equal(t, uint8(0), p.answers(late, 1)[1].Code, "taken all the same")
	assert.Equal(t, uint8(0), p.answers(c, 1)[1].Code)
	assert.NoError(t, p.Wait(), p.log.String())
}

// A second signal, and one to read the settings again, come between the stop and the last answer.
func TestASecondStopChangesNothing(t *testing.T) {
	hold := make(chan struct{})
	e := newEngine(t, func(r standin.Request) [][]string {
		if r[0] == "fetch" {
			<-hold
		}
		return standin.ToyAnswer(r)
	})
	p := startNewProgram(t, e)
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", requestTimeout, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("fetch")) == 1 }, waitTimeout, 10*time.Millisecond)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	a, err := c.ReadFrame(waitTimeout)
	require.NoError(t, err)
	require.Equal(t, uint8(30), a.Type)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	late := p.client()
	require.NoError(t, late.SendBatch(1, "lookup", "00000000000000f2", requestTimeout, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("fetch")) == 2 }, waitTimeout, 10*time.Millisecond, "it still takes what comes")
	close(hold)
	assert.Equal(t, uint8(0), p.answers(late, 1)[1].Code)
	assert.Equal(t, uint8(0), p.answers(c, 1)[1].Code)
	assert.NoError(t, p.Wait(), p.log.String())
}

func TestAnEngineThatIsGoneGetsNothingNew(t *testing.T) { testNoNewRequests(t, false) }

func TestAnEngineThatDrainsGetsNothingNew(t *testing.T) { testNoNewRequests(t, true) }

func testNoNewRequests(t *testing.T, drains bool) {
	old, fresh := newEngine(t, nil), newEngine(t, nil)
	p := startNewProgram(t, old)
	list := []standin.Host{{ID: "s-new", Zone: "hall", Kind: "std", Address: fresh.Addr().String()}}
	if drains {
		list = append(list, standin.Host{ID: "s-0", Zone: "hall", Kind: "std", Address: old.Addr().String(), Draining: true})
	}
	p.names.Set(list...)
	c := p.client()
	i := uint32(0)
	require.Eventually(t, func() bool {
		i++
		require.NoError(t, c.SendBatch(i, "lookup", fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1"))
		p.answers(c, 1)
		return len(fresh.Requests("fetch")) > 0
	}, waitTimeout, 20*time.Millisecond)
	before := len(old.Requests("fetch"))
	for range 3 {
		i++
		require.NoError(t, c.SendBatch(i, "lookup", fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1"))
		p.answers(c, 1)
	}
	assert.Len(t, old.Requests("fetch"), before)
}

func TestAReloadMovesToAnotherNameServiceAndABadOneChangesNothing(t *testing.T) {
	slow := func(r standin.Request) [][]string {
		if r[0] == "fetch" {
			time.Sleep(300 * time.Millisecond)
		}
		return standin.ToyAnswer(r)
	}
	old, fresh := newEngine(t, slow), newEngine(t, nil)
	p := startNewProgram(t, old)
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", requestTimeout, "SELECT 1"))
	other, err := standin.NewNameService("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { other.Close() })
	for range 2 { // the numbers go on
		other.Set(standin.Host{ID: "s-new", Zone: "hall", Kind: "std", Address: fresh.Addr().String()})
	}
	require.NoError(t, os.WriteFile(p.path, []byte(`{"listen":`), 0o600))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	p.configure(other)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, uint8(0), p.answers(c, 1)[1].Code, "taken before it")
	i := uint32(1)
	require.Eventually(t, func() bool {
		i++
		require.NoError(t, c.SendBatch(i, "lookup", fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1"))
		p.answers(c, 1)
		return len(fresh.Requests("fetch")) > 0
	}, waitTimeout, 20*time.Millisecond)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(), "a stop amid a reload")
	assert.Contains(t, p.log.String(), "the old one is kept")
}

// As deployed a router neither talks nor shares: beside its listener and its question to the name service no socket is open, and
// none takes datagrams from whoever sends them.
func TestWithoutSettingsOfOurOwnNothingListensBesideTheClients(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	pid := p.Process.Pid
	sockets := func(protocol string) (local, remote []string) {
		held := map[string]bool{}
		links, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		require.NoError(t, err)
		for _, l := range links {
			if to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, l.Name())); err == nil {
				held[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
			}
		}
		table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, protocol))
		require.NoError(t, err)
		for _, line := range strings.Split(string(table), "\n")[1:] {
			if f := strings.Fields(line); len(f) > 9 && held[f[9]] {
				local, remote = append(local, f[1]), append(remote, f[2]+" "+f[3])
			}
		}
		return local, remote
	}
	const nobody = "00000000:0000"
	var asked []string
	require.Eventually(t, func() bool { // it is joined beside the listener, on its own
		_, asked = sockets("udp")
		return len(asked) > 0
	}, waitTimeout, 20*time.Millisecond)
	assert.Len(t, asked, 1, "the name service's")
	assert.NotContains(t, asked[0], nobody, "it is connected: it hears nobody else")
	listening := 0
	_, remote := sockets("tcp")
	for _, r := range remote {
		if strings.HasPrefix(r, nobody+" 0A") {
			listening++
		}
	}
	assert.Equal(t, 1, listening, "clients'")
}
