package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
	"pitchfield/internal/traffic"
)

// newHostWithHedge returns a router with a hedged batch: two dispatches of it are outstanding, on the two connections returned.
func newHostWithHedge(t *testing.T) (h *host, stream uint32, id string, connections [2]uint64) {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	h = newHostWith(t, strings.Replace(testSettings, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-duplicate":true,`, 1), eastEngine("s-1"), other)
	h.deliver(RoutesSet{Routes: limits.NewTable([]*limits.Route{{Name: "r", Pattern: limits.Fields{Group: "lookup"}, Hedging: &limits.HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.2}}})})
	connectAll := func() {
		for _, d := range h.dials {
			if l := h.connections[d.Connection]; l != nil && !l.Up {
				h.deliver(EngineOpened{d.Connection})
			}
		}
	}
	for range 20 {
		_, id := h.sendBatch("lookup", 4000)
		connectAll()
		h.advance(0.02)
		for number, text := range h.written {
			if h.connections[number] != nil && strings.Contains(text, id) {
				h.engineReply(number, id, "DONE", "sheets=1,toil=20,room=4", "a\t2\t3\n")
			}
		}
		h.advance(0.2)
	}
	stream, id = h.sendBatch("lookup", 4000)
	for n := 0; n < 2; h.advance(0.02) {
		n = 0
		connectAll()
		for _, d := range h.dials {
			if h.connections[d.Connection] != nil && strings.Contains(h.written[d.Connection], id) {
				connections[n] = d.Connection
				n++
			}
		}
		require.Less(t, h.now, 110.0, "no hedged dispatch is sent")
	}
	return h, stream, id, connections
}

func TestFirstHedgedAnswerWinsAndOtherDispatchIsCancelled(t *testing.T) {
	for first := range 2 {
		h, stream, id, connections := newHostWithHedge(t)
		h.engineReply(connections[first], id, "DONE", "sheets=1", "x\t2\t3\n")
		assert.Equal(t, answerOK+"x\t2\t3\n", h.answers[stream])
		assert.Contains(t, h.written[connections[1-first]], "abort\r\n$16\r\n"+id)
		assert.NotContains(t, h.written[connections[first]], "abort\r\n$16\r\n"+id)
		h.engineReply(connections[1-first], id, "DONE", "sheets=3", "y\t2\t3\n")
		assert.Empty(t, h.batches, "a reply that crosses the cancellation changes nothing")
	}
}

func TestBothHedgedDispatchesAnswerInOneTurn(t *testing.T) {
	h, stream, id, connections := newHostWithHedge(t)
	h.deliver(h.engineReplyEvent(connections[0], id, "DONE", "sheets=1", "x\t2\t3\n"), h.engineReplyEvent(connections[1], id, "DONE", "sheets=2", "y\t2\t3\n"))
	assert.Equal(t, answerOK+"x\t2\t3\n", h.answers[stream])
	h.advance(0.5)
	assert.Empty(t, h.batches)
	assert.Zero(t, h.pool.InUse())
}

func TestRejectedOrBrokenHedgedDispatchLeavesTheOther(t *testing.T) {
	for first := range 2 {
		h, stream, id, connections := newHostWithHedge(t)
		h.engineReply(connections[first], id, "WAIT", "-", "")
		assert.NotContains(t, h.answers, stream)
		h.engineReply(connections[1-first], id, "DONE", "sheets=1", "x\t2\t3\n")
		assert.Equal(t, answerOK+"x\t2\t3\n", h.answers[stream])

		h, stream, id, connections = newHostWithHedge(t)
		h.deliver(EngineEnded{connections[first], ResetByPeer}, h.engineReplyEvent(connections[1-first], id, "DONE", "sheets=1", "x\t2\t3\n"))
		assert.Equal(t, answerOK+"x\t2\t3\n", h.answers[stream], "also when both events come in one turn")
	}
}

func TestReloadOrClientCancelWhileHedged(t *testing.T) {
	h, stream, id, connections := newHostWithHedge(t)
	h.deliver(RoutesSet{Routes: limits.NewTable(nil)})
	h.engineReply(connections[1], id, "DONE", "sheets=1", "x\t2\t3\n")
	assert.Equal(t, answerOK+"x\t2\t3\n", h.answers[stream])
	assert.Contains(t, h.written[connections[0]], "abort\r\n$16\r\n"+id)

	h, stream, id, connections = newHostWithHedge(t)
	h.deliver(ClientMessage{1, traffic.Cancel{Stream: stream}})
	h.engineReply(connections[0], id, "DONE", "sheets=1", "x\t2\t3\n")
	assert.NotContains(t, h.answers, stream)
	h.engineReply(connections[1], id, "DONE", "sheets=1", "x\t2\t3\n")
	assert.Empty(t, h.batches)
}

// Once rows of one dispatch are sent to the client, the other dispatch is cancelled: its rows can't be mixed with them.
func TestStreamingHedgedDispatchCancelsTheOther(t *testing.T) {
	h, _, id, _ := newHostWithHedge(t)
	b := h.openByID[id]
	h.startStreaming(b.dispatches[1])
	assert.True(t, b.dispatches[0].ended)
	assert.True(t, b.Streaming)
	assert.Same(t, b.dispatches[1], b.streamingDispatch())
	h.deliver(EngineEnded{b.dispatches[1].conn.Number, ResetByPeer})
	assert.Empty(t, h.batches, "the result is cut off, and the batch is not retried")
}
