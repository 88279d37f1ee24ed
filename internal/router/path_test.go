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

const pathGroups = `{"grades":[
 {"name":"lookup","on-time-ms":800,"deadline-ms":4000,"idempotency":"idempotent","worth":1}],
 "specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1]},"dcs":["east"],"flavors":["std"],
 "limits":{"attempts-cap":3,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":8},"balancers":1,"index":0,"tick-ms":5}`

// path is the way of a batch through all of internal but the sockets: bytes of a client in, bytes to an engine out, its
// bytes in, bytes to the client out.
type path struct {
	*router.Router
	t        testing.TB
	pool     *buffers.Pool
	now      float64
	client   traffic.Client
	engine   traffic.Engine
	speaks   *traffic.EngineProtocol
	cin, ein *buffers.Chain
	out      *buffers.Chain
	answers  int
}

func newPath(t testing.TB, front func(*buffers.Pool) *traffic.ClientProtocol, back func(*buffers.Pool) *traffic.EngineProtocol) *path {
	c, err := config.Parse([]byte(`{"listen":"127.0.0.1:1","resolver":"127.0.0.1:2","seed":"9","limits":{"sockets":1024},"settings":` + pathGroups + `}`))
	require.NoError(t, err)
	c.KnownEngines = directory.List{Serial: 1, Engines: []directory.Engine{{ID: "s-1", Address: "10.0.0.1:80", Zone: "east", Kind: "std", Weight: 1}}}
	p := &path{t: t, pool: &buffers.Pool{MaxFree: 64}, now: 100}
	p.cin, p.ein, p.out = p.pool.Chain(), p.pool.Chain(), p.pool.Chain()
	speaks, clientSpeaks := back(p.pool), front(p.pool)
	p.speaks, p.client = speaks, clientSpeaks.New()
	p.Router = router.New(c, func(directory.Engine) *traffic.EngineProtocol { return speaks }, p.pool, p.now)
	p.tell(router.ClientOpened{Client: 1, Protocol: clientSpeaks})
	return p
}

func (p *path) tell(e router.Event) {
	for _, what := range p.Reduce(p.now, e) {
		switch w := what.(type) {
		case router.SendToClient:
			p.client.Encode(p.out, w.Message)
			if a, is := w.Message.(*traffic.Answer); is {
				require.Equal(p.t, traffic.Succeeded, a.Code, a.Reason)
				p.answers++
				rows.Release(a.Rows)
			}
			p.out.Release()
		case router.SendToEngine:
			p.engine.Encode(p.out, w.Order)
			p.out.Release()
		case router.Release:
			w.Chain.Release()
		case router.SendToPeer:
			_, err := talk.Encode("fleet", &talk.Message{Message: w.Message, Shares: w.Quotas})
			require.NoError(p.t, err)
		case router.Dial:
			if p.engine == nil {
				p.engine = p.speaks.New()
				defer p.opened(w.Connection)
			}
		}
	}
}

func (p *path) opened(number uint64) {
	if p.engine.Open(p.out) {
		p.tell(router.EngineOpened{Connection: number})
	}
	p.out.Release()
}

func (p *path) fromClient(b []byte) {
	p.cin.Write(b)
	for {
		said, err := p.client.Read(p.cin, p.out)
		if v, is := said.(*traffic.Verify); is {
			said, err = v.Done(nil, p.out)
		}
		require.NoError(p.t, err)
		if said == nil {
			break
		}
		p.tell(router.ClientMessage{Client: 1, Message: said})
	}
	p.out.Release()
	p.tell(router.TurnEnded{})
}

func (p *path) fromEngine(b []byte) {
	p.ein.Write(b)
	for {
		reply, err := p.engine.Read(p.ein, p.out)
		require.NoError(p.t, err)
		if reply == nil {
			break
		}
		if reply.Kind == traffic.ReplyReady {
			p.tell(router.EngineOpened{Connection: 1})
		} else {
			p.tell(router.EngineReplied{Connection: 1, Reply: reply})
		}
	}
	p.out.Release()
	p.tell(router.TurnEnded{})
	p.now += 0.001
}

const pathRows = 20

var pathLine = strings.Repeat("x", 20) + "\t" + strings.Repeat("y", 20) + "\t" + strings.Repeat("z", 20) + "\n"

func framesPath(t testing.TB) (*path, func(n int)) {
	p := newPath(t, clients.Protocol, func(*buffers.Pool) *traffic.EngineProtocol { return engines.Protocol() })
	page := strings.Repeat(pathLine, pathRows)
	return p, func(n int) {
		id := fmt.Sprintf("%016x", n)
		p.fromClient(standin.Frame(clients.FrameBatch, uint32(n+1), []string{"c", "lookup", "i", id, "d", "2000"}, "SELECT a FROM x_3.b"))
		p.fromEngine(fmt.Appendf(nil, "*4\r\n$16\r\n%s\r\n$4\r\nDONE\r\n$23\r\nsheets=1,toil=20,room=8\r\n$%d\r\n%s\r\n", id, len(page), page))
	}
}

// tdsBytes gives what a client sends, before and with a batch, and what an engine answers.
func tdsBytes(t testing.TB) (prelogin, login, batch, greeting, welcome, result []byte) {
	pool := &buffers.Pool{}
	access := &tds.EngineConfig{Pool: pool, User: "ann", Password: "p", PacketSize: 4096}
	client, server, out, back := access.NewEngine(), (&tds.Server{Pool: pool, Authenticate: func(string, string) (string, error) { return "", nil },
		Rules: func() *assign.Rules { return &assign.Rules{Default: &assign.Terms{Group: "lookup"}} }}).NewSession(), pool.Chain(), pool.Chain()
	step := func() (there, here []byte) {
		there = out.Bytes()
		said, err := server.Read(out, back)
		if v, is := said.(*traffic.Verify); is {
			_, err = v.Done(nil, back)
		}
		require.NoError(t, err)
		if a, is := said.(*traffic.BatchRequest); is {
			part := rows.Part{Form: rows.Values, Data: pool.Chain()}
			for _, name := range []string{"a", "b", "c"} {
				part.Columns = append(part.Columns, rows.Column{Name: name, Type: rows.Type{Kind: rows.Text, Size: 40}})
			}
			for range pathRows {
				for _, v := range strings.Split(strings.TrimSpace(pathLine), "\t") {
					rows.Append(part.Data, []byte(v))
				}
			}
			server.Encode(back, &traffic.Answer{Stream: a.Stream, Rows: []rows.Part{part}})
		}
		here = back.Bytes()
		_, err = client.Read(back, out)
		require.NoError(t, err)
		return there, here
	}
	client.Open(out)
	prelogin, greeting = step()
	login, welcome = step()
	client.Send(out, "q", "SELECT a FROM x_3.b", nil)
	batch, result = step()
	return prelogin, login, batch, greeting, welcome, result
}

func tdsFront(pool *buffers.Pool) *traffic.ClientProtocol {
	rules := &assign.Rules{Default: &assign.Terms{Group: "lookup", Limit: 2}}
	f := &tds.Server{Pool: pool, Authenticate: func(string, string) (string, error) { return "", nil }, Rules: func() *assign.Rules { return rules }}
	return f.Protocol(600)
}

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

func TestThePathOfABatchIsWholeInBothProtocols(t *testing.T) {
	for _, make := range []func(testing.TB) (*path, func(int)){framesPath, tdsPath} {
		p, one := make(t)
		for n := range 50 {
			one(n)
		}
		require.Equal(t, 50, p.answers)
		require.Zero(t, p.pool.InUse(), "nothing is kept")
	}
}

func BenchmarkPath(b *testing.B) {
	for name, make := range map[string]func(testing.TB) (*path, func(int)){"frames": framesPath, "tds": tdsPath} {
		b.Run(name, func(b *testing.B) {
			_, one := make(b)
			one(0)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				one(n + 1)
			}
		})
	}
}

// BenchmarkTalk is the path of frames in a fleet of 300, at a thousand batches a second, with what talk takes in that time: eight
// packets a second each way are worded and read, and the machine's timer is kept.
func BenchmarkTalk(b *testing.B) {
	member := func(i int) membership.Member {
		return membership.Member{ID: membership.ID{Name: fmt.Sprint("n", i), Start: 1}, Address: fmt.Sprintf("10.0.%d.%d:7500", i/250, 1+i%250)}
	}
	for _, name := range []string{"off", "talk", "shares"} {
		talks := name != "off"
		b.Run(name, func(b *testing.B) {
			p, one := framesPath(b)
			one(0)
			if talks {
				s := membership.Defaults()
				s.Self, s.Listen, s.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{"10.0.0.1:7500"}
				set := router.PeerMessagingSet{Settings: s}
				if name == "shares" {
					own := shares.Defaults()
					own.Listen, own.Replicas = s.Listen, []string{s.Listen, "10.0.0.1:7500", "10.0.0.2:7500"}
					set.Quotas = &own
				}
				p.tell(set)
				for i := range 300 {
					p.tell(router.PeerMessageReceived{Message: &membership.Message{Kind: membership.Tell, From: member(i)}})
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				one(n + 1)
				if talks && n%125 == 0 {
					data, err := talk.Encode("fleet", &talk.Message{Message: membership.Message{Kind: membership.Ping, From: member(n % 300), Number: uint32(n)}})
					require.NoError(b, err)
					message, err := talk.Decode("fleet", data)
					require.NoError(b, err)
					p.tell(router.PeerMessageReceived{Message: &message.Message})
					p.tell(router.TimerFired{})
				}
			}
		})
	}
}

// BenchmarkIdleSession tells the bytes that a session holds between batches.
func BenchmarkIdleSession(b *testing.B) {
	prelogin, login, batch, _, _, _ := tdsBytes(b)
	pool := &buffers.Pool{MaxFree: 64}
	protocol := tdsFront(pool)
	in, out := pool.Chain(), pool.Chain()
	all := make([]traffic.Client, b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range all {
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
		all[i] = s
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "held-B/session")
	runtime.KeepAlive(all)
}
