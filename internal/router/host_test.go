package router

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// host runs a router in tests: it records the router's effects and plays its clients, its engines and its clock.
type host struct {
	*Router
	t              *testing.T
	now            float64 // seconds
	pool           *buffers.Pool
	emitted        []Effect                  // in order
	nextTimer      float64                   // when the router wants to be woken
	sessions       map[uint64]traffic.Engine // by connection to an engine
	clientProtocol *traffic.ClientProtocol
	clientSession  traffic.Client
	written        map[uint64]string // by connection to an engine
	answers        map[uint32]string // by stream: code, fields and body
	dials          []Dial
	queries        []uint16
	lastID         int // number of batches sent by sendBatch
}

// testSettings has two service groups: lookup batches are safe to retry, upload batches must run at most once.
const testSettings = `{"grades":[
 {"name":"lookup","on-time-ms":800,"deadline-ms":4000,"idempotency":"idempotent","worth":1},
 {"name":"upload","on-time-ms":4000,"deadline-ms":9000,"idempotency":"at_most_once","worth":6}],
 "specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1,2]},"dcs":["east"],"flavors":["std"],
 "limits":{"attempts-cap":3,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":2,"retry-after":true,
 "max-retry-after-ms":500},"feedback":{"how":"probe","names":["waiting"]},"balancers":1,"index":0,
 "rules":{"stop-sending-within-ms":250},"tick-ms":5}`

// newHost starts a router with testSettings, the given engines in its list and one client, number 1.
func newHost(t *testing.T, listed ...directory.Engine) *host {
	return newHostWith(t, testSettings, listed...)
}

// newHostWith does the same with other settings.
func newHostWith(t *testing.T, settings string, listed ...directory.Engine) *host {
	c, err := config.Parse([]byte(`{"listen":"127.0.0.1:1","resolver":"127.0.0.1:2","seed":"9","limits":{"sockets":1024},"settings":` + settings + `}`))
	require.NoError(t, err)
	c.KnownEngines = directory.List{Serial: 1, Engines: listed}
	h := &host{t: t, now: 100, pool: &buffers.Pool{}, nextTimer: 1e9, written: map[uint64]string{}, answers: map[uint32]string{},
		sessions: map[uint64]traffic.Engine{}}
	resp := engines.Protocol()
	h.clientProtocol = clients.Protocol(h.pool)
	h.clientSession = h.clientProtocol.New()
	h.Router = New(c, func(directory.Engine) *traffic.EngineProtocol { return resp }, h.pool, h.now)
	h.connectionsPerEngine = 1
	h.deliver(h.clientOpenedEvent(1))
	return h
}

// eastEngine returns the list entry of a ready engine in the router's own zone.
func eastEngine(id string) directory.Engine {
	return directory.Engine{ID: id, Address: "10.0.0.1:80", Zone: "east", Kind: "std", Weight: 1}
}

// deliver passes the events of one loop turn to the router and carries out its effects.
func (h *host) deliver(events ...Event) {
	for _, e := range append(events, TurnEnded{}) {
		for _, effect := range h.Reduce(h.now, e) {
			h.emitted = append(h.emitted, effect)
			switch w := effect.(type) {
			case Dial:
				h.dials = append(h.dials, w)
				h.sessions[w.Connection] = w.Protocol.New()
			case SetTimer:
				h.nextTimer = w.At
			case QueryList:
				h.queries = append(h.queries, w.QueryID)
			case SendToEngine:
				out := h.pool.Chain()
				h.sessions[w.Connection].Encode(out, w.Order)
				h.written[w.Connection] += out.String()
				out.Release()
			case SendToClient:
				out := h.pool.Chain()
				h.clientSession.Encode(out, w.Message)
				h.readAnswers(out.String())
				out.Release()
				if a, is := w.Message.(*traffic.Answer); is {
					rows.Release(a.Rows)
				}
			case Release:
				w.Chain.Release()
			}
		}
	}
	h.checkCounts()
}

// checkCounts checks that the number of outstanding dispatches that the router keeps for each engine equals the number of dispatches
// that are open on the engine's connections, and that the batches open by id are the open batches of all clients.
func (h *host) checkCounts() {
	open := map[*engine]int{}
	for _, l := range h.connections {
		for _, what := range l.AllPending() {
			if d, is := what.(*dispatch); is {
				open[l.engine]++
				assert.False(h.t, d.ended)
			}
		}
	}
	for _, e := range h.engines {
		assert.Equal(h.t, open[e], e.outstanding, e.name)
	}
	waiting := 0
	for _, c := range h.clients {
		waiting += len(c.open)
	}
	assert.Len(h.t, h.openByID, waiting)
}

// readAnswers parses frames that were sent to a client and records the answers in them.
func (h *host) readAnswers(text string) {
	for len(text) > 0 {
		size := int(binary.LittleEndian.Uint32([]byte(text)))
		if stream := binary.LittleEndian.Uint32([]byte(text[5:])); text[4] == clients.FrameAnswer {
			assert.NotContains(h.t, h.answers, stream, "stream answered twice")
			h.answers[stream] = text[9 : 4+size]
		}
		text = text[4+size:]
	}
}

// advance lets time pass and fires the router's timer whenever it is due.
func (h *host) advance(seconds float64) {
	for end := h.now + seconds; ; {
		if h.now = max(h.now, min(h.nextTimer, end)); h.now == end {
			return
		}
		h.nextTimer = 1e9
		h.deliver(TimerFired{})
	}
}

// sendBatch sends a batch of client 1 with a time limit in milliseconds, and returns its stream and id.
func (h *host) sendBatch(group string, limit int) (uint32, string) {
	h.lastID++
	id := fmt.Sprintf("%016x", 240+h.lastID)
	h.deliver(h.clientFrame(1, standin.EncodeFrame(clients.FrameBatch, uint32(h.lastID), []string{"c", group, "i", id, "d", strconv.Itoa(limit)},
		"SELECT 1 FROM a_3.b")))
	return uint32(h.lastID), id
}

// connectLast establishes the connection that was dialled last and returns its number.
func (h *host) connectLast() uint64 {
	require.NotEmpty(h.t, h.dials)
	number := h.dials[len(h.dials)-1].Connection
	h.deliver(EngineOpened{number})
	return number
}

// clientOpenedEvent returns the event of a new client connection.
func (h *host) clientOpenedEvent(number uint64) Event { return ClientOpened{number, h.clientProtocol} }

// clientFrame returns the event of a frame from a client, as the event loop delivers it.
func (h *host) clientFrame(client uint64, frame []byte) Event {
	in := h.pool.Chain()
	in.Write(frame)
	message, err := h.clientSession.Read(in, nil)
	require.NoError(h.t, err)
	return ClientMessage{client, message}
}

// engineReply delivers a reply of an engine: its command word, fields and body.
func (h *host) engineReply(connection uint64, id, word, fields, body string) {
	h.deliver(h.engineReplyEvent(connection, id, word, fields, body))
}

// engineReplyEvent returns the event of a reply of an engine.
func (h *host) engineReplyEvent(connection uint64, id, word, fields, body string) Event {
	in := h.pool.Chain()
	for i, part := range []string{id, word, fields, body} {
		if i == 0 {
			in.WriteString("*4\r\n")
		}
		in.WriteString("$" + strconv.Itoa(len(part)) + "\r\n" + part + "\r\n")
	}
	reply, err := h.sessions[connection].Read(in, nil)
	require.NoError(h.t, err)
	return EngineReplied{connection, reply}
}

// fetchCount returns how many times a batch was written to engines.
func (h *host) fetchCount(id string) (n int) {
	for _, text := range h.written {
		n += strings.Count(text, "fetch\r\n$"+strconv.Itoa(len(id))+"\r\n"+id+"\r\n")
	}
	return n
}

// engineCloseReasons returns why the router closed connections to engines, in order.
func (h *host) engineCloseReasons() (reasons []CloseReason) {
	for _, effect := range h.emitted {
		if c, ok := effect.(CloseEngine); ok {
			reasons = append(reasons, c.End)
		}
	}
	return reasons
}

// The leading bytes of an answer in h.answers.
const (
	answerOK       = "\x00\x00"
	answerRejected = "\x0b"
	answerFailed   = "\x05\x00"
)
