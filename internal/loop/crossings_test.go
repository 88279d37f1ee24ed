package loop_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/loop"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// Crossings on real sockets: each story holds the loop, an engine or the name service still in the moment in which something
// else comes. The order is forced by what the router logs or tells and by what the stand-ins hear, never by sleeping.

const (
	patience = 20 * time.Second // no time is asserted: only that it comes at all
	left     = 6 * time.Second
	grades   = `{"grades":[
{"name":"lookup","on-time-ms":2000,"deadline-ms":8000,"idempotency":"idempotent","worth":1},
{"name":"once","on-time-ms":2000,"deadline-ms":8000,"idempotency":"at_most_once","worth":1},
{"name":"load","on-time-ms":2000,"deadline-ms":8000,"idempotency":"deduplicated","group":"all","window-ms":900,"worth":6}],
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1,1,1]},"dcs":["hall"],"flavors":["std"],
"rules":{"stop-sending-within-ms":250},"limits":{"attempts-cap":3,"dial-timeout-ms":5000,"idle-close-ms":15000,"multiplex":8,"retry-after":true,
"max-retry-after-ms":500},"feedback":{"how":"none"},"balancers":1,"index":0,"tick-ms":5}`
)

// place is a router on the loop, with what it talks to.
type place struct {
	t       *testing.T
	address string
	names   *standin.NameService
	cancel  context.CancelFunc
	ended   chan error
	said    lines

	mutex  sync.Mutex
	opened func() // is called on the loop before a client is let in
	told   chan traffic.Tell
}

// lines are what the router logs. A line may be held: the router stands still in it until it is let go on.
type lines struct {
	zapcore.LevelEnabler
	fields []zapcore.Field
	*held
}

type held struct {
	mutex sync.Mutex
	all   []string
	more  chan struct{} // closed with each further line
	at    string
	there chan struct{} // closed once the router stands in it
	goOn  chan struct{}
}

func newLines() lines {
	return lines{LevelEnabler: zap.DebugLevel, held: &held{more: make(chan struct{})}}
}

func (l lines) With(f []zapcore.Field) zapcore.Core {
	l.fields = append(append([]zapcore.Field{}, l.fields...), f...)
	return l
}

func (l lines) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return c.AddCore(e, l)
}

func (l lines) Write(e zapcore.Entry, f []zapcore.Field) error {
	into := zapcore.NewMapObjectEncoder()
	for _, one := range f {
		one.AddTo(into)
	}
	text := fmt.Sprint(e.Message, " ", into.Fields)
	l.mutex.Lock()
	l.all = append(l.all, text)
	close(l.more)
	l.more = make(chan struct{})
	var there, goOn chan struct{}
	if l.at != "" && strings.Contains(text, l.at) {
		l.at, there, goOn = "", l.there, l.goOn
	}
	l.mutex.Unlock()
	if there != nil {
		close(there)
		<-goOn
	}
	return nil
}

func (lines) Sync() error { return nil }

// hold has the router stand still in the next line with this text; what comes back lets it go on.
func (l lines) hold(text string) (there <-chan struct{}, goOn func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	goOnAgain := make(chan struct{})
	l.at, l.there, l.goOn = text, make(chan struct{}), goOnAgain
	return l.there, sync.OnceFunc(func() { close(goOnAgain) })
}

// await waits until a line has all these texts.
func (l lines) await(t *testing.T, texts ...string) {
	t.Helper()
	end := time.After(patience)
	for {
		l.mutex.Lock()
		all, more := l.all, l.more
		l.mutex.Unlock()
		for _, line := range all {
			has := true
			for _, text := range texts {
				has = has && strings.Contains(line, text)
			}
			if has {
				return
			}
		}
		select {
		case <-more:
		case <-end:
			require.Fail(t, "never logged", "%q in\n%s", texts, strings.Join(all, "\n"))
		}
	}
}

func (l lines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Join(l.all, "\n")
}

// watched notes what a client is told.
type watched struct {
	traffic.Client
	told chan<- traffic.Tell
}

func (w watched) Tell(out *buffers.Chain, what traffic.Tell) {
	w.Client.Tell(out, what)
	select {
	case w.told <- what:
	default:
	}
}

// begin starts a router. The name service is asked through via, which is told where it is, or directly without one; listed
// engines are what the router knows from its start.
func begin(t *testing.T, descriptors int, via func(names string) string, listed ...directory.Engine) *place {
	names, err := standin.NewNameService("127.0.0.1:0")
	require.NoError(t, err)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &place{t: t, address: free.Addr().String(), names: names, ended: make(chan error, 1), said: newLines(),
		told: make(chan traffic.Tell, 1000)}
	free.Close()
	resolver := names.LocalAddr().String()
	if via != nil {
		resolver = via(resolver)
	}
	c, err := config.Parse(fmt.Appendf(nil, `{"listen":%q,"resolver":%q,"seed":"9","limits":{"memory_mb":192,"sockets":%d},"settings":%s}`,
		p.address, resolver, descriptors, grades))
	require.NoError(t, err)
	if len(listed) > 0 {
		c.KnownEngines = directory.List{Serial: 1, Engines: listed}
	}
	pool := &buffers.Pool{}
	speaks := clients.Protocol(pool)
	inner := speaks.New
	speaks.New = func() traffic.Client {
		p.mutex.Lock()
		opened := p.opened
		p.mutex.Unlock()
		if opened != nil {
			opened()
		}
		return watched{inner(), p.told}
	}
	resp := engines.Protocol()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		p.ended <- loop.Run(ctx, c, loop.World{Pool: pool, Listeners: []loop.Listener{{Address: p.address, Speaks: speaks}},
			Speaks: func(directory.Engine) *traffic.EngineProtocol { return resp }}, nil, zap.New(p.said))
	}()
	t.Cleanup(func() {
		cancel()
		p.end()
		names.Close()
	})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", p.address)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, patience, 5*time.Millisecond)
	return p
}

// end waits for the router's end, and may be called again.
func (p *place) end() {
	select {
	case err := <-p.ended:
		assert.NoError(p.t, err)
		p.ended <- nil
	case <-time.After(patience):
		assert.Fail(p.t, "the router does not end", p.said.String())
	}
}

func (p *place) client() *standin.Client {
	p.t.Helper()
	c, err := standin.Dial(p.address)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { c.Close() })
	return c
}

// narrow is a client that takes little at a time: what it has not read yet lies at the router's machine.
func (p *place) narrow() *standin.Client {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) //nolint:errcheck
		})
	}}
	c, err := d.Dial("tcp", p.address)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { c.Close() })
	return &standin.Client{Conn: c}
}

func (p *place) next(c *standin.Client) standin.ResponseFrame {
	p.t.Helper()
	a, err := c.ReadFrame(patience)
	require.NoError(p.t, err)
	return a
}

// answer gives the next final answer.
func (p *place) answer(c *standin.Client) standin.ResponseFrame {
	p.t.Helper()
	for {
		if a := p.next(c); a.Type == clients.FrameAnswer {
			return a
		}
	}
}

// codes gives the codes of the next final answers, by stream.
func (p *place) codes(c *standin.Client, n int) map[uint32]uint8 {
	p.t.Helper()
	out := map[uint32]uint8{}
	for range n {
		a := p.answer(c)
		require.NotContains(p.t, out, a.Stream, "a second answer")
		out[a.Stream] = a.Code
	}
	return out
}

// answered waits until the router has told so many final answers.
func (p *place) answered(n int) {
	p.t.Helper()
	end := time.After(patience)
	for n > 0 {
		select {
		case what := <-p.told:
			if _, is := what.(*traffic.Answer); is {
				n--
			}
		case <-end:
			require.Fail(p.t, "never answered", p.said.String())
		}
	}
}

func host(id string, e *standin.Engine) standin.Host {
	return standin.Host{ID: id, Zone: "hall", Kind: "std", Address: e.Addr().String()}
}

func draining(h standin.Host) standin.Host {
	h.Draining = true
	return h
}

func listed(id string, e *standin.Engine) directory.Engine {
	return directory.Engine{ID: id, Zone: "hall", Kind: "std", Address: e.Addr().String(), Weight: 1}
}

func engine(t *testing.T, answer func(standin.Request) [][]string) *standin.Engine {
	e, err := standin.NewEngine("127.0.0.1:0", answer)
	require.NoError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

// wide answers with a result of the largest size there is.
func wide(r standin.Request) [][]string {
	page := strings.Repeat("one\ttwo\tthree 0123456789\n", 5000/25)
	switch r[0] {
	case "fetch":
		return [][]string{{r[1], "DONE", "sheets=9,toil=20,room=8", page}}
	case "more":
		return [][]string{{r[1], "MORE", "sheet=" + r[2], page}}
	}
	return nil
}

// late is an engine whose machine takes connections only once it is told to: until then they don't come up.
type late struct {
	t       *testing.T
	address string
	file    *os.File
	first   net.Conn // fills the machine's queue
	engine  *standin.Engine
}

func newLate(t *testing.T) *late {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	l := &late{t: t, address: fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), file: os.NewFile(uintptr(fd), "late")}
	l.first, err = net.DialTimeout("tcp", l.address, patience)
	require.NoError(t, err)
	t.Cleanup(func() {
		l.file.Close()
		l.first.Close()
	})
	return l
}

func (l *late) host(id string) standin.Host {
	return standin.Host{ID: id, Zone: "hall", Kind: "std", Address: l.address}
}

func (l *late) listed(id string) directory.Engine {
	return directory.Engine{ID: id, Zone: "hall", Kind: "std", Address: l.address, Weight: 1}
}

// asked waits until a connection to it is on its way: its first packet has been dropped, and the next comes a second later.
func (l *late) asked() {
	l.t.Helper()
	port := l.first.RemoteAddr().(*net.TCPAddr).Port
	synSent := fmt.Sprintf("0100007F:%04X 02", port)
	require.Eventually(l.t, func() bool {
		table, err := os.ReadFile("/proc/self/net/tcp")
		return err == nil && strings.Contains(string(table), synSent)
	}, patience, time.Millisecond)
}

// release lets connections come up: the next time that the router's machine asks.
func (l *late) release(answer func(standin.Request) [][]string) *standin.Engine {
	listener, err := net.FileListener(l.file)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { listener.Close() })
	l.engine = standin.NewEngineFromListener(listener, answer)
	return l.engine
}

// ends reads a connection to its end, which must not be a reset.
func (p *place) ends(c *standin.Client) {
	p.t.Helper()
	for {
		_, err := c.ReadFrame(patience)
		if err != nil {
			assert.ErrorIs(p.t, err, io.EOF)
			return
		}
	}
}

// A batch crosses the close of an idle connection, whose last answers are still on their way. A close over unread bytes
// resets a connection, and what had been written with it.
func TestAnswersOutliveAnEndThatABatchCrosses(t *testing.T) {
	e := engine(t, wide)
	p := begin(t, 8, nil, listed("s-0", e)) // four clients
	p.names.Set(host("s-0", e))
	idle := p.narrow()
	for i := range uint32(3) {
		require.NoError(t, idle.SendBatch(i+1, "lookup", fmt.Sprintf("%016x", i+1), left, "SELECT 1 FROM a_3.b"))
	}
	p.answered(3)
	for range 3 {
		c := p.client()
		c.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, "")) //nolint:errcheck
		p.next(c)
	}
	crossed := make(chan bool, 1)
	p.mutex.Lock()
	p.opened = sync.OnceFunc(func() {
		crossed <- idle.SendBatch(4, "lookup", fmt.Sprintf("%016x", 4), left, "SELECT 1 FROM a_3.b") == nil
	})
	p.mutex.Unlock()
	other := p.client() // one too many
	assert.Equal(t, map[uint32]uint8{1: clients.CodeSucceeded, 2: clients.CodeSucceeded, 3: clients.CodeSucceeded}, p.codes(idle, 3))
	p.ends(idle)
	require.True(t, <-crossed)
	require.NoError(t, other.SendBatch(1, "lookup", fmt.Sprintf("%016x", 4), left, "SELECT 1 FROM a_3.b"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(other).Code)
	assert.Len(t, e.Requests("fetch"), 4, "sent again on another connection, and sent on once")
}

// The same at the end of the process: the batch comes between the decision to end and the end.
func TestAnswersOutliveTheEndOfTheProcess(t *testing.T) {
	e := engine(t, wide)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	slow, other := p.narrow(), p.client()
	for i := range uint32(3) {
		require.NoError(t, slow.SendBatch(i+1, "lookup", fmt.Sprintf("%016x", i+1), left, "SELECT 1 FROM a_3.b"))
	}
	require.NoError(t, other.SendBatch(1, "lookup", fmt.Sprintf("%016x", 9), left, "SELECT 1 FROM a_3.b"))
	p.answered(4)
	there, goOn := p.said.hold("stopped")
	defer goOn()
	p.cancel()
	<-there
	require.NoError(t, slow.SendBatch(4, "lookup", fmt.Sprintf("%016x", 4), left, "SELECT 1 FROM a_3.b"))
	goOn()
	assert.Equal(t, map[uint32]uint8{1: clients.CodeSucceeded, 2: clients.CodeSucceeded, 3: clients.CodeSucceeded}, p.codes(slow, 3))
	p.ends(slow)
	assert.Equal(t, uint32(1), p.answer(other).Stream)
	p.ends(other)
	p.end()
	assert.Len(t, e.Requests("fetch"), 4, "what crossed the end is not sent on")
}

// Half a batch is there as the router is told to stop, and the rest comes after it would have ended.
func TestHalfABatchAtTheStopIsWaitedFor(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c := p.client()
	frame := standin.EncodeFrame(clients.FrameBatch, 1, []string{"c", "once", "i", "00000000000000f1", "d", "6000"}, "SELECT 1")
	c.Write(frame[:20]) //nolint:errcheck
	whole := p.client()
	whole.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, "")) //nolint:errcheck
	p.next(whole)                                                                    // so the half has been read
	p.cancel()
	assert.Equal(t, uint8(clients.FrameGoAway), p.next(c).Type)
	_, err := c.ReadFrame(time.Second)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "it is waited for")
	c.Write(frame[20:]) //nolint:errcheck
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	p.ends(c)
	p.end()
}

// An engine begins to drain while a batch waits for a connection to it, and the connection comes up after that.
func TestADrainCrossesAConnectionThatComesUpLate(t *testing.T) {
	slow, other := newLate(t), engine(t, nil)
	p := begin(t, 1024, nil, slow.listed("s-late"))
	p.names.Set(slow.host("s-late"))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	p.said.await(t, "dispatch map", "s-late")
	slow.asked() // before the drain, which may have the router give the connection up
	p.names.Set(draining(slow.host("s-late")), host("s-other", other))
	p.said.await(t, "engine listed", "draining:true", "s-late")
	up := slow.release(nil)
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	assert.Empty(t, up.Requests("fetch"), "nothing new for an engine that drains")
	assert.Len(t, other.Requests("fetch"), 1)
}

// A repeat waits for its connection until the engines have forgotten its first.
func TestTheWindowEndsWhileARepeatWaitsForItsConnection(t *testing.T) {
	hold := make(chan struct{})
	first, slow := engine(t, func(standin.Request) [][]string { <-hold; return nil }), newLate(t)
	p := begin(t, 1024, nil, listed("s-first", first))
	p.names.Set(host("s-first", first))
	c := p.client()
	fields := []string{"c", "load", "i", "00000000000000f1", "d", "6000", "k", strings.Repeat("a", clients.IdempotencyKeyDigits)}
	_, err := c.Write(standin.EncodeFrame(clients.FrameBatch, 1, fields, "SELECT 1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(first.Requests("fetch")) == 1 }, patience, time.Millisecond)
	p.names.Set(draining(host("s-first", first)), slow.host("s-late"))
	p.said.await(t, "engine listed", "s-late")
	first.Shutdown()
	close(hold)
	slow.asked()
	up := slow.release(nil)
	assert.Equal(t, uint8(clients.CodeFailed), p.answer(c).Code, "it may have run")
	assert.Empty(t, up.Requests("fetch"), "the engines have forgotten it")
}

// A client goes while its batch waits for a connection, and the connection comes up after that.
func TestAClientGoesWhileItsBatchWaitsForAConnection(t *testing.T) {
	slow := newLate(t)
	p := begin(t, 1024, nil, slow.listed("s-late"))
	p.names.Set(slow.host("s-late"))
	c, other := p.client(), p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", left, "SELECT 1"))
	p.said.await(t, "dispatch map", "f1")
	c.Close()
	p.said.await(t, "left map", "f1")
	slow.asked()
	up := slow.release(nil)
	require.NoError(t, other.SendBatch(1, "lookup", "00000000000000f2", left, "SELECT 2"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(other).Code)
	for _, r := range up.Requests("fetch") {
		assert.Equal(t, "00000000000000f2", r[1], "nothing is sent for who has gone")
	}
}

// A client goes between the first page of its result and the next, which the engine never sends.
func TestAClientGoesBetweenTwoPages(t *testing.T) {
	e := engine(t, func(r standin.Request) [][]string {
		if r[0] == "fetch" {
			return [][]string{{r[1], "DONE", "sheets=2,toil=20,room=8", "a\tb\tc\n"}}
		}
		return nil
	})
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", left, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("more")) > 0 }, patience, time.Millisecond)
	c.Close()
	require.Eventually(t, func() bool { return len(e.Requests("done")) == 1 }, patience, time.Millisecond, "the engine may forget them")
}

// Bytes that can't be read come behind a batch that is out.
func TestRubbishCrossesAnAnswer(t *testing.T) {
	hold := make(chan struct{})
	e := engine(t, func(r standin.Request) [][]string { <-hold; return standin.ToyAnswer(r) })
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("fetch")) == 1 }, patience, time.Millisecond)
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) //nolint:errcheck
	for stream := range uint32(2) {
		a := p.next(c)
		assert.Equal(t, []any{uint8(clients.FrameAnswer), 1 - stream, uint8(clients.CodeFailed)}, []any{a.Type, a.Stream, a.Code})
	}
	p.ends(c)
	close(hold)
	whole := p.client()
	require.NoError(t, whole.SendBatch(1, "once", "00000000000000f2", left, "SELECT 1"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(whole).Code)
}

// deaf passes questions on to the name service, but none from those that it has fallen out with.
type deaf struct {
	net.PacketConn
	mutex sync.Mutex
	ports map[string]bool // that were seen
	shut  map[string]bool // that are not heard any more
	down  bool            // nobody is
}

func newDeaf(t *testing.T, to string) *deaf {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &deaf{PacketConn: c, ports: map[string]bool{}, shut: map[string]bool{}}
	t.Cleanup(func() { c.Close() })
	go func() {
		question, answer := make([]byte, 512), make([]byte, 9000)
		for {
			n, from, err := c.ReadFrom(question)
			if err != nil {
				return
			}
			d.mutex.Lock()
			shut := d.down || d.shut[from.String()]
			d.ports[from.String()] = true
			d.mutex.Unlock()
			if shut {
				continue
			}
			out, err := net.Dial("udp", to)
			if err != nil {
				continue
			}
			out.Write(question[:n])                               //nolint:errcheck
			out.SetReadDeadline(time.Now().Add(time.Second / 10)) //nolint:errcheck
			if n, err = out.Read(answer); err == nil {
				c.WriteTo(answer[:n], from) //nolint:errcheck
			}
			out.Close()
		}
	}()
	return d
}

// fallSilent: nobody is heard, or all are again.
func (d *deaf) fallSilent(down bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.down = down
}

// fallOut: whoever has asked so far is never heard again.
func (d *deaf) fallOut() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for port := range d.ports {
		d.shut[port] = true
	}
}

// The watch on the list falls silent for good: the way back for its port is gone. A drain that comes then must be seen.
func TestAListThatFallsSilentForGoodIsSeenFromAnotherPort(t *testing.T) {
	old, fresh := engine(t, nil), engine(t, nil)
	var d *deaf
	p := begin(t, 1024, func(names string) string {
		d = newDeaf(t, names)
		return d.LocalAddr().String()
	})
	p.names.Set(host("s-old", old))
	p.said.await(t, "engine listed", "s-old")
	d.fallOut()
	p.names.Set(draining(host("s-old", old)), host("s-new", fresh))
	p.said.await(t, "engine listed", "s-new")
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", left, "SELECT 1"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	assert.Empty(t, old.Requests("fetch"))
}

// Idle clients take all the descriptors that clients may have while the name service says nothing. Engines, the name service and
// whoever asks keep theirs, and a drain that comes with the name service's return is seen.
func TestIdleClientsFillTheDescriptorsWhileTheNameServiceIsDown(t *testing.T) {
	old, fresh := engine(t, nil), engine(t, nil)
	var d *deaf
	p := begin(t, 160, func(names string) string {
		d = newDeaf(t, names)
		return d.LocalAddr().String()
	}, listed("s-old", old))
	d.fallSilent(true)
	var idle []net.Conn
	for range 160 {
		c, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		idle = append(idle, c)
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	ask := func(id string) uint8 { // as clients do that may be shut unread at the bound
		for {
			c := p.client()
			if c.SendBatch(1, "lookup", id, left, "SELECT 1") != nil {
				continue
			}
			if a, err := c.ReadFrame(patience); err == nil {
				return a.Code
			}
		}
	}
	assert.Equal(t, uint8(clients.CodeSucceeded), ask("00000000000000f1"))
	p.said.await(t, "name service is silent")
	p.names.Set() // the number of the start
	p.names.Set(draining(host("s-old", old)), host("s-new", fresh))
	d.fallSilent(false)
	p.said.await(t, "engine listed", "s-new")
	before := len(old.Requests("fetch"))
	assert.Equal(t, uint8(clients.CodeSucceeded), ask("00000000000000f2"))
	assert.Len(t, old.Requests("fetch"), before)
}

// The list is not there yet: a client that asks at once is told to wait, not that all is well.
func TestReadyIsSaidOnceTheListIsThere(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil)
	ready := func() uint8 {
		c := p.client()
		defer c.Close()
		c.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, "")) //nolint:errcheck
		return p.next(c).Code
	}
	assert.Equal(t, uint8(clients.CodeRejected), ready())
	p.names.Set(host("s-0", e))
	p.said.await(t, "engine listed", "s-0")
	assert.Equal(t, uint8(clients.CodeSucceeded), ready())
}

// A batch waits in the queue of connections that are not accepted yet as the router is told to stop.
func TestABatchInTheAcceptQueueAtTheStopIsAnswered(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	there, goOn := p.said.hold("stopping")
	defer goOn()
	p.cancel()
	<-there
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	goOn()
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	p.ends(c)
	p.end()
}

// An engine hangs while the router ends: what is out there is answered before the kill, by what is true of it.
func TestAnEngineHangsWhileTheRouterEnds(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	e := engine(t, func(standin.Request) [][]string { <-hold; return nil })
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	require.NoError(t, c.SendBatch(2, "lookup", "00000000000000f2", left, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("fetch")) == 2 }, patience, time.Millisecond)
	at := time.Now()
	p.cancel()
	got := p.codes(c, 2)
	assert.Less(t, time.Since(at), 3700*time.Millisecond, "the kill")
	assert.Equal(t, map[uint32]uint8{1: clients.CodeFailed, 2: clients.CodeRejected}, got)
	p.ends(c)
	p.end()
}

// A client asks for much and goes: its end lies behind frames that the router has not read yet.
func TestAClientThatAsksAndGoesAtOnceGetsNothingSent(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c, other := p.client(), p.client()
	there, goOn := p.said.hold("f9 left:")
	defer goOn()
	require.NoError(t, other.SendBatch(1, "lookup", "00000000000000f9", left, "SELECT 1"))
	<-there
	for i := range uint32(4) { // more than is read at a time
		require.NoError(t, c.SendBatch(i+1, "lookup", fmt.Sprintf("%016x", i+1), left, "SELECT 1 /* "+strings.Repeat("x", 60000)+" */"))
	}
	c.Close()
	goOn()
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(other).Code)
	p.said.await(t, "client gone with open batches", "open:4")
	require.NoError(t, other.SendBatch(2, "lookup", "00000000000000fa", left, "SELECT 1"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(other).Code)
	for _, r := range e.Requests("fetch") {
		assert.Contains(t, []string{"00000000000000f9", "00000000000000fa"}, r[1], "nothing is sent for who has gone")
	}
}

// An engine closes an idle connection in the moment in which a batch comes that may not be sent twice.
func TestAnIdleConnectionIsClosedAsABatchComes(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c, other := p.client(), p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	require.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	there, goOn := p.said.hold("batch can't be used")
	defer goOn()
	require.NoError(t, other.SendBatch(1, "nobody's", "00000000000000f9", left, "SELECT 1"))
	<-there
	e.CloseConnections()
	require.NoError(t, c.SendBatch(2, "once", "00000000000000f2", left, "SELECT 1"))
	goOn()
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code, "all that has come is known before a batch is sent")
}

// A batch comes in pieces of one byte, with another's answer between them.
func TestABatchComesByteByByte(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", left, "SELECT 1"))
	for _, b := range standin.EncodeFrame(clients.FrameBatch, 2, []string{"c", "once", "i", "00000000000000f2", "d", "6000"}, "SELECT 1") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	assert.Equal(t, map[uint32]uint8{1: clients.CodeSucceeded, 2: clients.CodeSucceeded}, p.codes(c, 2))
}

// Nobody listens where the name service should be, from the start on: the list of the start serves, and a stop ends as ever.
func TestTheListOfTheStartServesWhileNobodyListensAtTheNameService(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 1024, func(string) string {
		nobody, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		defer nobody.Close()
		return nobody.LocalAddr().String()
	}, listed("s-0", e))
	c := p.client()
	c.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, "")) //nolint:errcheck
	assert.Equal(t, uint8(clients.CodeSucceeded), p.next(c).Code, "ready")
	require.NoError(t, c.SendBatch(2, "once", "00000000000000f1", left, "SELECT 1"))
	assert.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	p.said.await(t, "name service is silent")
	assert.Less(t, strings.Count(p.said.String(), "stood still"), 3, "waiting for the next event is no standstill")
	p.cancel()
	assert.Equal(t, uint8(clients.FrameGoAway), p.next(c).Type)
	p.ends(c)
	p.end()
}

// A router that stood still finds a frame half whole for long, or a connection idle, before it has read what lies in its socket: a
// request that was written seconds ago went with the connection, unread.
func TestARequestThatLiesUnreadAsItsConnectionIsEndedIsRefused(t *testing.T) {
	e := engine(t, nil)
	p := begin(t, 8, nil, listed("s-0", e)) // four clients
	p.names.Set(host("s-0", e))
	idle := p.client()
	require.NoError(t, idle.SendBatch(1, "lookup", "0000000000000001", left, "SELECT 1 FROM a_3.b"))
	require.Equal(t, uint8(clients.CodeSucceeded), p.answer(idle).Code)
	for range 3 {
		c := p.client()
		c.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, "")) //nolint:errcheck
		p.next(c)
	}
	p.mutex.Lock()
	p.opened = sync.OnceFunc(func() { // the loop stands still here, and ends the idle one then
		for i := range uint32(3) {
			idle.SendBatch(2+i, "lookup", fmt.Sprintf("%016x", 2+i), left, "SELECT 1 FROM a_3.b") //nolint:errcheck
		}
	})
	p.mutex.Unlock()
	p.client() // one too many
	assert.Equal(t, map[uint32]uint8{2: clients.CodeRejected, 3: clients.CodeRejected, 4: clients.CodeRejected}, p.codes(idle, 3))
	p.ends(idle)
	assert.Len(t, e.Requests("fetch"), 1)
}

// standstill is a router that stands still in the middle of a step, twice: while it stands still first, a timer fires and the
// second request comes, so that the loop finds both at once and decides without looking at its sockets again.
type standstill struct {
	*place
	first, second *standin.Client
	goOn          func() // lets the second standstill end
}

const (
	grace = 250 * time.Millisecond // stop-sending-within-ms of the settings
	slack = 50 * time.Millisecond  // what the protocol's page adds on sockets
)

func standStill(t *testing.T, e *standin.Engine) *standstill {
	p := begin(t, 256, nil, listed("s-0", e))
	p.names.Set(host("s-0", e))
	s := &standstill{place: p, first: p.client(), second: p.client()}
	for i, c := range []*standin.Client{s.first, s.second} {
		require.NoError(t, c.SendBatch(1, "lookup", fmt.Sprintf("%016x", 0xf0+i), left, "SELECT 1"))
		require.Equal(t, uint8(clients.CodeSucceeded), p.answer(c).Code)
	}
	p.names.SetWithheld(true)
	require.Eventually(t, func() bool { return p.names.PendingQueries() > 0 }, patience, time.Millisecond)
	stands, goOn := p.said.hold("batch map")
	require.NoError(t, s.first.SendBatch(2, "lookup", "0000000000000002", left, "SELECT 1"))
	<-stands
	require.NoError(t, s.second.SendBatch(2, "lookup", "0000000000000003", left, "SELECT 1"))
	s.wait(time.Now().Add(2 * grace)) // the timer fires
	stands, s.goOn = p.said.hold("batch map")
	goOn()
	<-stands
	return s
}

func (s *standstill) wait(until time.Time) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return time.Now().After(until) }, patience, time.Millisecond)
}

// arrivals notes when requests reach an engine.
type arrivals struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

func (a *arrivals) answer(r standin.Request) [][]string {
	if r[0] != "fetch" {
		return standin.ToyAnswer(r)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.at == nil {
		a.at = map[string]time.Time{}
	}
	a.at[r[1]] = time.Now()
	return [][]string{{r[1], "DONE", "sheets=1,toil=1,room=8", "one\ttwo\tthree\n"}}
}

// after gives the ids of what came after a time.
func (a *arrivals) after(limit time.Time) (late []string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, at := range a.at {
		if at.After(limit) {
			late = append(late, id)
		}
	}
	return late
}

// What came while it stood still is not read yet: a drain,
func TestAStandstillDoesNotSendByAnOldList(t *testing.T) {
	var old, fresh arrivals
	e0, e1 := engine(t, old.answer), engine(t, fresh.answer)
	s := standStill(t, e0)
	s.names.Set(draining(host("s-0", e0)), host("s-new", e1))
	s.names.SetWithheld(false)
	require.Eventually(t, func() bool { return !s.names.FirstDrained()["s-0"].IsZero() }, patience, time.Millisecond)
	limit := s.names.FirstDrained()["s-0"].Add(grace + slack)
	s.wait(limit)
	s.goOn()
	assert.Equal(t, uint8(clients.CodeSucceeded), s.answer(s.first).Code)
	assert.Equal(t, uint8(clients.CodeSucceeded), s.answer(s.second).Code)
	assert.Empty(t, old.after(limit), "after the grace")
	assert.Contains(t, fresh.after(time.Time{}), "0000000000000003")
}

// or the end of a client.
func TestAStandstillDoesNotSendForAClientThatHasGone(t *testing.T) {
	var arrived arrivals
	s := standStill(t, engine(t, arrived.answer))
	require.NoError(t, s.first.Close())
	s.wait(time.Now().Add(100*time.Millisecond + slack))
	s.goOn()
	assert.Equal(t, uint8(clients.CodeSucceeded), s.answer(s.second).Code)
	require.NoError(t, s.second.SendBatch(3, "lookup", "0000000000000004", left, "SELECT 1"))
	assert.Equal(t, uint8(clients.CodeSucceeded), s.answer(s.second).Code)
	assert.NotContains(t, arrived.after(time.Time{}), "0000000000000002", "an attempt long after its client closed")
}
