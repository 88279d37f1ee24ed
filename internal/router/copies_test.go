package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// newHostForHedges returns a router whose batches have a route with hedging, after 20 of them were completed.
func newHostForHedges(t *testing.T, concurrency *limits.ConcurrencyLimit) *host {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	h := newHostWith(t, strings.Replace(testSettings, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-duplicate":true,`, 1), eastEngine("s-1"), other)
	h.deliver(RoutesSet{Routes: limits.NewTable([]*limits.Route{{Name: "r", Pattern: limits.Fields{Group: "lookup"}, Concurrency: concurrency,
		Hedging: &limits.HedgePolicy{AfterQuantile: 0.9, MaxRatio: 0.2}}})})
	for range 20 {
		_, id := h.sendBatch("lookup", 4000)
		h.connectAll()
		h.advance(0.02)
		h.completeOn(h.connectionsOf(id), id)
		h.advance(0.2)
	}
	return h
}

// connectionsOf returns the open connections on which a batch was written, in the order in which they were dialled.
func (h *host) connectionsOf(id string) (numbers []uint64) {
	for _, d := range h.dials {
		if h.connections[d.Connection] != nil && strings.Contains(h.written[d.Connection], id) {
			numbers = append(numbers, d.Connection)
		}
	}
	return numbers
}

// completeOn has a batch completed on connections.
func (h *host) completeOn(numbers []uint64, id string) {
	for _, number := range numbers {
		h.engineReply(number, id, "DONE", "sheets=1,toil=20,room=4", "a\t2\t3\n")
	}
}

// newHostWithHedge returns a router with a hedged batch: two dispatches of it are outstanding, on the two connections returned.
func newHostWithHedge(t *testing.T) (h *host, stream uint32, id string, connections [2]uint64) {
	h = newHostForHedges(t, nil)
	stream, id = h.sendBatch("lookup", 4000)
	for len(h.connectionsOf(id)) < 2 {
		h.connectAll()
		h.advance(0.02)
		require.Less(t, h.now, 110.0, "no hedged dispatch is sent")
	}
	return h, stream, id, [2]uint64(h.connectionsOf(id))
}

// streamRows delivers rows of a streamed result.
func (h *host) streamRows(connection uint64, id string, bytes int) {
	part := rows.Part{Data: h.pool.Chain()}
	part.Data.WriteString(strings.Repeat("x", bytes))
	h.deliver(EngineReplied{connection, &traffic.EngineReply{ID: id, Kind: traffic.ReplyRows, Rows: part}})
}

// A second copy waits for capacity when rows of the first attempt begin to reach the client. It was sent as soon as there was
// capacity; its own rows then ended the first attempt, and with it the router's process.
func TestQueuedHedgeIsNotSentOnceRowsAreStreamed(t *testing.T) {
	for _, streams := range []bool{false, true} {
		h := newHostForHedges(t, &limits.ConcurrencyLimit{Name: "c", PerRouter: 2, OnLimit: limits.QueueBatch})
		h.clients[1].protocol.Stream = true
		for _, e := range h.engines {
			e.protocol.BoundedResult = false
		}
		_, id := h.sendBatch("lookup", 4000)
		_, other := h.sendBatch("lookup", 4000)
		h.connectAll()
		h.advance(0.16) // the copy is queued, and no attempt has timed out
		first := h.connectionsOf(id)
		require.Len(t, first, 1)
		if streams {
			h.streamRows(first[0], id, streamThreshold+1)
			require.True(t, h.openByID[id].Streaming)
		}
		h.completeOn(h.connectionsOf(other), other)
		h.connectAll()
		h.advance(0.05)
		h.connectAll()
		assert.Equal(t, map[bool]int{false: 2, true: 1}[streams], h.fetchCount(id))
		for _, number := range h.connectionsOf(id) {
			h.streamRows(number, id, streamThreshold+1)
		}
		assert.NotNil(t, h.openByID[id], "the client still waits for the rest")
	}
}

// The time-out of an attempt leaves time for a retry. Once rows are on their way to the client none is possible, and the time-out
// cut results that had most of their time left.
func TestStreamOutlastsTheTimeOutOfItsAttempt(t *testing.T) {
	h := newHostForHedges(t, &limits.ConcurrencyLimit{Name: "c", PerRouter: 1, OnLimit: limits.QueueBatch})
	h.clients[1].protocol.Stream = true
	for _, e := range h.engines {
		e.protocol.BoundedResult = false
	}
	stream, id := h.sendBatch("lookup", 4000)
	h.connectAll()
	connections := h.connectionsOf(id)
	require.Len(t, connections, 1)
	h.streamRows(connections[0], id, streamThreshold+1)
	h.advance(3)
	require.NotContains(t, h.answers, stream)
	h.streamRows(connections[0], id, 100)
	h.deliver(EngineReplied{connections[0], &traffic.EngineReply{ID: id, Kind: traffic.ReplyComplete, Work: -1, Memory: -1}})
	assert.Equal(t, answerOK, h.answers[stream])

	stream, id = h.sendBatch("lookup", 4000)
	h.advance(0.3) // past the admission gate
	h.connectAll()
	connections = h.connectionsOf(id)
	require.Len(t, connections, 1)
	h.streamRows(connections[0], id, streamThreshold+1)
	h.advance(4)
	assert.Equal(t, answerFailed, h.answers[stream], "it ends in time all the same")
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
