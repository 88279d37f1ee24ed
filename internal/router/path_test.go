package router_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/membership"
	"pitchfield/internal/router"
	"pitchfield/internal/rows"
	"pitchfield/internal/shares"
	"pitchfield/internal/standin"
	"pitchfield/internal/talk"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
)

// pathSettings has one service group, "lookup", whose batches are safe to retry.
const pathSettings = `{"grades":[
 {"name":"lookup","on-time-ms":800,"deadline-ms":4000,"idempotency":"idempotent","worth":1}],
 "specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1]},"dcs":["east"],"flavors":["std"],
 "limits":{"attempts-cap":3,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":8},"balancers":1,"index":0,"tick-ms":5}`

// path runs batches through the protocols and the router without sockets: bytes from a client go in, bytes to an engine come out,
// the engine's bytes go in, and bytes to the client come out.
type path struct {
	*router.Router
	t              testing.TB
	pool           *buffers.Pool
	now            float64 // seconds
	client         traffic.Client
	engine         traffic.Engine
	engineProtocol *traffic.EngineProtocol
	clientInput    *buffers.Chain
	engineInput    *buffers.Chain
	output         *buffers.Chain // to either side; released after each step
	answers        int            // batches answered with a result
}

// newPath returns a path with one client and one engine, which speak the given protocols.
func newPath(t testing.TB, front func(*buffers.Pool) *traffic.ClientProtocol, back func(*buffers.Pool) *traffic.EngineProtocol) *path {
	c, err := config.Parse([]byte(`{"listen":"127.0.0.1:1","resolver":"127.0.0.1:2","seed":"9","limits":{"sockets":1024},"settings":` + pathSettings + `}`))
	require.NoError(t, err)
	c.KnownEngines = directory.List{Serial: 1, Engines: []directory.Engine{{ID: "s-1", Address: "10.0.0.1:80", Zone: "east", Kind: "std", Weight: 1}}}
	p := &path{t: t, pool: &buffers.Pool{MaxFree: 64}, now: 100}
	p.clientInput, p.engineInput, p.output = p.pool.Chain(), p.pool.Chain(), p.pool.Chain()
	engineProtocol, clientProtocol := back(p.pool), front(p.pool)
	p.engineProtocol, p.client = engineProtocol, clientProtocol.New()
	p.Router = router.New(c, func(directory.Engine) *traffic.EngineProtocol { return engineProtocol }, p.pool, p.now)
	p.deliver(router.ClientOpened{Client: 1, Protocol: clientProtocol})
	return p
}

// deliver passes an event to the router and carries out its effects.
func (p *path) deliver(e router.Event) {
	for _, effect := range p.Reduce(p.now, e) {
		switch w := effect.(type) {
		case router.SendToClient:
			p.client.Encode(p.output, w.Message)
			if a, is := w.Message.(*traffic.Answer); is {
				require.Equal(p.t, traffic.Succeeded, a.Code, a.Reason)
				p.answers++
				rows.Release(a.Rows)
			}
			p.output.Release()
		case router.SendToEngine:
			p.engine.Encode(p.output, w.Order)
			p.output.Release()
		case router.Release:
			w.Chain.Release()
		case router.SendToPeer:
			_, err := talk.Encode("fleet", &talk.Message{Message: w.Message, Shares: w.Quotas})
			require.NoError(p.t, err)
		case router.Dial:
			if p.engine == nil {
				p.engine = p.engineProtocol.New()
				defer p.opened(w.Connection)
			}
		}
	}
}

// opened lets a connection to the engine come up.
func (p *path) opened(number uint64) {
	if p.engine.Open(p.output) {
		p.deliver(router.EngineOpened{Connection: number})
	}
	p.output.Release()
}

// fromClient processes bytes that the client has sent, as one turn of the event loop.
func (p *path) fromClient(b []byte) {
	p.clientInput.Write(b)
	for {
		said, err := p.client.Read(p.clientInput, p.output)
		if v, is := said.(*traffic.Verify); is {
			said, err = v.Done(nil, p.output)
		}
		require.NoError(p.t, err)
		if said == nil {
			break
		}
		p.deliver(router.ClientMessage{Client: 1, Message: said})
	}
	p.output.Release()
	p.deliver(router.TurnEnded{})
}

// fromEngine processes bytes that the engine has sent, as one turn of the event loop.
func (p *path) fromEngine(b []byte) {
	p.engineInput.Write(b)
	for {
		reply, err := p.engine.Read(p.engineInput, p.output)
		require.NoError(p.t, err)
		if reply == nil {
			break
		}
		if reply.Kind == traffic.ReplyReady {
			p.deliver(router.EngineOpened{Connection: 1})
		} else {
			p.deliver(router.EngineReplied{Connection: 1, Reply: reply})
		}
	}
	p.output.Release()
	p.deliver(router.TurnEnded{})
	p.now += 0.001
}

// pathRows is the number of rows in a result.
const pathRows = 20

// pathLine is one row of a result: three columns.
var pathLine = strings.Repeat("x", 20) + "\t" + strings.Repeat("y", 20) + "\t" + strings.Repeat("z", 20) + "\n"

// framesPath returns a path with the frames protocol for the client and RESP for the engine, and a function that runs one batch.
func framesPath(t testing.TB) (*path, func(n int)) {
	p := newPath(t, clients.Protocol, func(*buffers.Pool) *traffic.EngineProtocol { return engines.Protocol() })
	page := strings.Repeat(pathLine, pathRows)
	return p, func(n int) {
		id := fmt.Sprintf("%016x", n)
		p.fromClient(standin.EncodeFrame(clients.FrameBatch, uint32(n+1), []string{"c", "lookup", "i", id, "d", "2000"}, "SELECT a FROM x_3.b"))
		p.fromEngine(fmt.Appendf(nil, "*4\r\n$16\r\n%s\r\n$4\r\nDONE\r\n$23\r\nsheets=1,toil=20,room=8\r\n$%d\r\n%s\r\n", id, len(page), page))
	}
}

// tdsBytes returns the bytes that a TDS client sends to log in and with a batch, and the bytes that an engine answers to each.
func tdsBytes(t testing.TB) (prelogin, login, batch, greeting, welcome, result []byte) {
	pool := &buffers.Pool{}
	access := &tds.EngineConfig{Pool: pool, User: "ann", Password: "p", PacketSize: 4096}
	client, server, out, back := access.NewEngine(), (&tds.Server{Pool: pool, Authenticate: func(string, string) (string, error) { return "", nil },
		Rules: func() *assign.Rules { return &assign.Rules{Default: &assign.BatchProperties{Group: "lookup"}} }}).NewSession(), pool.Chain(), pool.Chain()
	step := func() (sent, received []byte) {
		sent = out.Bytes()
		said, err := server.Read(out, back)
		if v, is := said.(*traffic.Verify); is {
			_, err = v.Done(nil, back)
		}
		require.NoError(t, err)
		if a, is := said.(*traffic.BatchRequest); is {
			part := rows.Part{Encoding: rows.Values, Data: pool.Chain()}
			for _, name := range []string{"a", "b", "c"} {
				part.Columns = append(part.Columns, rows.Column{Name: name, Type: rows.Type{Kind: rows.Text, Size: 40}})
			}
			for range pathRows {
				for _, v := range strings.Split(strings.TrimSpace(pathLine), "\t") {
					rows.AppendValue(part.Data, []byte(v))
				}
			}
			server.Encode(back, &traffic.Answer{Stream: a.Stream, Rows: []rows.Part{part}})
		}
		received = back.Bytes()
		_, err = client.Read(back, out)
		require.NoError(t, err)
		return sent, received
	}
	client.Open(out)
	prelogin, greeting = step()
	login, welcome = step()
	client.Send(out, "q", "SELECT a FROM x_3.b", nil)
	batch, result = step()
	return prelogin, login, batch, greeting, welcome, result
}

// tdsFront returns the TDS protocol for clients, with every batch in the group "lookup".
func tdsFront(pool *buffers.Pool) *traffic.ClientProtocol {
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "lookup", Limit: 2}}
	f := &tds.Server{Pool: pool, Authenticate: func(string, string) (string, error) { return "", nil }, Rules: func() *assign.Rules { return rules }}
	return f.Protocol(600)
}

// tdsPath returns a path with TDS on both sides, and a function that runs one batch.
func tdsPath(t testing.TB) (*path, func(n int)) {
	prelogin, login, batch, greeting, welcome, result := tdsBytes(t)
	p := newPath(t, tdsFront, func(pool *buffers.Pool) *traffic.EngineProtocol {
		return (&tds.EngineConfig{Pool: pool, User: "ann", PacketSize: 4096, ProbeQuery: "SELECT 1"}).Protocol()
	})
	p.fromClient(prelogin)
	p.fromClient(login)
	first := true
	return p, func(int) {
		p.fromClient(batch)
		if first {
			p.fromEngine(greeting)
			p.fromEngine(welcome)
			first = false
		}
		p.fromEngine(result)
	}
}

func TestBatchPathInBothProtocols(t *testing.T) {
	for _, newProtocolPath := range []func(testing.TB) (*path, func(int)){framesPath, tdsPath} {
		p, runBatch := newProtocolPath(t)
		for n := range 50 {
			runBatch(n)
		}
		require.Equal(t, 50, p.answers)
		require.Zero(t, p.pool.InUse(), "no buffers are kept")
	}
}

// BenchmarkPath measures one batch from the client's bytes to the answer's bytes.
func BenchmarkPath(b *testing.B) {
	for name, newProtocolPath := range map[string]func(testing.TB) (*path, func(int)){"frames": framesPath, "tds": tdsPath} {
		b.Run(name, func(b *testing.B) {
			_, runBatch := newProtocolPath(b)
			runBatch(0)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				runBatch(n + 1)
			}
		})
	}
}

// BenchmarkTalk measures the frames path in a fleet of 300 routers at a thousand batches a second, with the cost of peer messaging in
// that time: eight packets a second are encoded and decoded in each direction, and the membership timer is kept.
func BenchmarkTalk(b *testing.B) {
	member := func(i int) membership.Member {
		return membership.Member{ID: membership.ID{Name: fmt.Sprint("n", i), Start: 1}, Address: fmt.Sprintf("10.0.%d.%d:7500", i/250, 1+i%250)}
	}
	for _, name := range []string{"off", "talk", "shares"} {
		messaging := name != "off"
		b.Run(name, func(b *testing.B) {
			p, runBatch := framesPath(b)
			runBatch(0)
			if messaging {
				s := membership.Defaults()
				s.Self, s.Listen, s.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{"10.0.0.1:7500"}
				event := router.PeerMessagingSet{Settings: s}
				if name == "shares" {
					quotas := shares.Defaults()
					quotas.Listen, quotas.Replicas = s.Listen, []string{s.Listen, "10.0.0.1:7500", "10.0.0.2:7500"}
					event.Quotas = &quotas
				}
				p.deliver(event)
				for i := range 300 {
					p.deliver(router.PeerMessageReceived{Message: &membership.Message{Kind: membership.Gossip, From: member(i)}})
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				runBatch(n + 1)
				if messaging && n%125 == 0 {
					data, err := talk.Encode("fleet", &talk.Message{Message: membership.Message{Kind: membership.Ping, From: member(n % 300), Number: uint32(n)}})
					require.NoError(b, err)
					message, err := talk.Decode("fleet", data)
					require.NoError(b, err)
					p.deliver(router.PeerMessageReceived{Message: &message.Message})
					p.deliver(router.TimerFired{})
				}
			}
		})
	}
}

// BenchmarkIdleSession measures the heap bytes that a TDS client session holds between batches.
func BenchmarkIdleSession(b *testing.B) {
	prelogin, login, batch, _, _, _ := tdsBytes(b)
	pool := &buffers.Pool{MaxFree: 64}
	protocol := tdsFront(pool)
	in, out := pool.Chain(), pool.Chain()
	sessions := make([]traffic.Client, b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range sessions {
		s := protocol.New()
		for _, bytes := range [][]byte{prelogin, login, batch} {
			in.Write(bytes)
			said, err := s.Read(in, out)
			require.NoError(b, err)
			switch w := said.(type) {
			case *traffic.Verify:
				w.Done(nil, out) //nolint:errcheck
			case *traffic.BatchRequest:
				w.Batch.Text.Release()
				s.Encode(out, &traffic.Answer{Stream: w.Stream})
			}
			out.Release()
		}
		sessions[i] = s
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "held-B/session")
	runtime.KeepAlive(sessions)
}
