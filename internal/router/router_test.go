package router

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/brain"
	"pitchfield/internal/clients"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

func TestAnswerIsSentOnceAllPagesArrived(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("lookup", 2000)
	c := h.connectLast()
	assert.Contains(t, h.written[c], "queue=lookup,budget=1")
	h.engineReply(c, id, "DONE", "sheets=3,toil=80,room=40", "a\t2\t3\n")
	assert.Contains(t, h.written[c], "more\r\n$16\r\n00000000000000f1\r\n$1\r\n1\r\n")
	h.engineReply(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	assert.Empty(t, h.answers, "page 1 is missing")
	h.engineReply(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\nb\t2\t3\nc\t2\t3\n", h.answers[stream])
	h.engineReply(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Zero(t, h.pool.InUse(), "no buffers are kept")
	assert.Empty(t, h.batches)
}

func TestLostPageMayHaveRun(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 5000)
	stream2, id2 := h.sendBatch("lookup", 3000)
	c := h.connectLast()
	h.engineReply(c, id, "DONE", "sheets=2", "a\t2\t3\n")
	h.engineReply(c, id2, "DONE", "sheets=2", "a\t2\t3\n")
	h.deliver(EngineEnded{c, ResetByPeer})
	assert.Equal(t, answerFailed, h.answers[stream], "at most once: an error, and no retry")
	c = h.connectLast()
	h.engineReply(c, id2, "DONE", "sheets=1", "z\t2\t3\n")
	assert.Equal(t, answerOK+"z\t2\t3\n", h.answers[stream2], "safe to retry: starts over with its first page")
}

func TestUnwrittenDispatchNeverRan(t *testing.T) {
	for _, end := range []CloseReason{DialRefused, DialTimedOut, NoDescriptors} {
		h := newHost(t, eastEngine("s-1"), eastEngine("s-2"))
		stream, id := h.sendBatch("upload", 5000)
		h.deliver(EngineEnded{h.dials[0].Connection, end})
		require.Len(t, h.dials, 2, "an at-most-once batch is retried after %s", end)
		h.engineReply(h.connectLast(), id, "DONE", "sheets=1", "a\t2\t3\n")
		assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
		assert.Equal(t, 1, h.fetchCount(id))
	}
}

func TestWrittenDispatchMayHaveRun(t *testing.T) {
	for _, end := range []CloseReason{ClosedByPeer, ResetByPeer, BadInput, PeerNotReading} {
		h := newHost(t, eastEngine("s-1"), eastEngine("s-2"))
		stream, id := h.sendBatch("upload", 5000)
		h.deliver(EngineEnded{h.connectLast(), end})
		h.advance(1)
		assert.Equal(t, answerFailed, h.answers[stream], end.String())
		assert.Equal(t, 1, h.fetchCount(id))
	}
}

func TestEveryCloseReasonHasOutcomes(t *testing.T) {
	for e := range closeReasonCount {
		assert.NotEmpty(t, e.String())
		assert.Equal(t, brain.ConnectionLost, outcomesByReason[e].written, "nothing proves that it never ran: %s", e)
		assert.Contains(t, []brain.Outcome{brain.ConnectFailed, brain.NotSent}, outcomesByReason[e].unwritten, e.String())
	}
}

func TestLateAnswerIsDropped(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 1000)
	c := h.connectLast()
	h.advance(1.1)
	assert.Equal(t, answerFailed, h.answers[stream])
	assert.Contains(t, h.written[c], "abort\r\n$16\r\n00000000000000f1")
	h.engineReply(c, id, "DONE", "sheets=1", "late\t2\t3\n")
	assert.Equal(t, answerFailed, h.answers[stream])
	assert.Zero(t, h.pool.InUse())
}

// Clients leave exactly at their time limit, so an answer that is sent in the last millisecond reaches them too late.
func TestFailureIsSentBeforeClientDeadline(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, _ := h.sendBatch("upload", 1000)
	h.connectLast()
	h.advance(0.995)
	assert.Equal(t, answerFailed, h.answers[stream])
}

// A machine that is cut off from the network leaves its connections open and silent: what is written to them is stuck for long.
func TestSilentConnectionIsNotReused(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.sendBatch("upload", 1000)
	h.connectLast()
	h.advance(1.1)
	assert.Equal(t, []CloseReason{ClosedSuspect}, h.engineCloseReasons())
	h.sendBatch("lookup", 3000)
	assert.Len(t, h.dials, 2)
}

func TestBatchRejectedByEngineIsRetried(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 5000)
	c := h.connectLast()
	h.engineReply(c, id, "WAIT", "-", "")
	h.advance(0.1)
	c = h.connectLast()
	require.Equal(t, 2, h.fetchCount(id), "a full engine did not run the batch")
	h.engineReply(c, id, "BROKE", "-", "")
	assert.Equal(t, answerFailed, h.answers[stream], "after an engine error the batch may have run")
}

// A duplicate of an engine's rejection must not count as proof that a later dispatch of the same batch never ran.
func TestDuplicateReplyEndsNoOtherDispatch(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 5000)
	first := h.connectLast()
	h.engineReply(first, id, "WAIT", "-", "")
	h.advance(0.1)
	require.Len(t, h.dials, 2, "a batch id is used only once on a connection")
	second := h.connectLast()
	h.engineReply(first, id, "WAIT", "-", "")
	h.deliver(EngineEnded{second, ResetByPeer})
	assert.Equal(t, answerFailed, h.answers[stream], "the second dispatch may have run")
	assert.Equal(t, 2, h.fetchCount(id))
}

func TestDepartedClientGetsNoAnswer(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("lookup", 2000)
	_, other := h.sendBatch("lookup", 2000)
	c := h.connectLast()
	h.deliver(ClientMessage{1, traffic.Cancel{Stream: stream}})
	h.engineReply(c, id, "DONE", "sheets=4", "a\t2\t3\n")
	assert.Contains(t, h.written[c], "done\r\n$16\r\n00000000000000f1", "the remaining pages are declined")
	h.deliver(ClientEnded{1, ClosedByPeer})
	h.engineReply(c, other, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Empty(t, h.answers)
	assert.Empty(t, h.batches)
	assert.Zero(t, h.pool.InUse())
}

func TestBadInputEndsOnlyItsConnection(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("nobody's", 2000)
	assert.Equal(t, answerFailed, h.answers[stream], "unknown service group")
	h.deliver(h.clientOpenedEvent(2))
	h.deliver(h.clientFrame(2, standin.EncodeFrame(77, 5, nil, "")))
	assert.Equal(t, answerFailed, h.answers[0])
	h.deliver(h.clientOpenedEvent(3))
	frame := standin.EncodeFrame(clients.FrameBatch, 9, []string{"c", "upload", "i", "00000000000000aa", "d", "900"}, "SELECT 1")
	h.deliver(h.clientFrame(3, frame))
	delete(h.answers, 0)
	h.deliver(h.clientFrame(3, frame))
	assert.Equal(t, answerFailed, h.answers[0], "stream number used before")
	assert.Equal(t, answerFailed, h.answers[9], "the batch that was accepted on the connection is answered")
	assert.NotContains(t, h.clients, uint64(3))
	stream, id = h.sendBatch("lookup", 2000)
	c := h.connectLast()
	h.engineReply(c, "nobody", "DONE", "sheets=x", "a")
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
}

// An answer that can't be forwarded closes its connection. Other batches open on that connection may have run, and end by the table
// of close reasons.
func TestUnusableAnswerClosesConnectionAndIsNotForwarded(t *testing.T) {
	row := "a\tb\tc\n"
	for _, bad := range []struct {
		word, fields, body string
	}{{"DONE", "sheets=1", "a\tb\n"}, {"DONE", "sheets=1", "a\tb\tc"}, {"DONE", "sheets=1", "a\x01\tb\tc\n"},
		{"DONE", "toil=3", row}, {"DONE", "sheets=0", row}, {"DONE", "sheets=9999", row},
		{"DONE", "sheets=2", ""},
		{"MORE", "sheet=7", row}, {"MORE", "sheet=1", row}, {"HM", "", row}} {
		for _, hedging := range []string{"", `"may-duplicate":true,`} {
			h := newHostWith(t, strings.Replace(testSettings, `"attempts-cap":3,`, `"attempts-cap":3,`+hedging, 1), eastEngine("s-1"))
			stream, id := h.sendBatch("lookup", 3000)
			uploadStream, _ := h.sendBatch("upload", 3000)
			h.engineReply(h.connectLast(), id, bad.word, bad.fields, bad.body)
			assert.Equal(t, []CloseReason{BadInput}, h.engineCloseReasons(), "%v", bad)
			assert.Equal(t, answerFailed, h.answers[uploadStream])
			h.advance(0.3)
			if bad.word == "HM" && hedging == "" { // no final answer in the protocol, so the first attempt may still run
				assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), "%q", h.answers[stream])
				assert.Len(t, h.dials, 1)
				continue
			}
			h.engineReply(h.connectLast(), id, "DONE", "sheets=1", row)
			assert.Equal(t, answerOK+row, h.answers[stream])
			assert.Zero(t, h.pool.InUse())
		}
	}
}

func TestOversizedResultClosesConnection(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.sendBatch("upload", 3000)
	_, id := h.sendBatch("lookup", 3000)
	c := h.connectLast()
	page := strings.Repeat("a\tb\tc\n", 1000)
	h.engineReply(c, id, "DONE", "sheets=9", page)
	for n := 1; n <= maxResultBytes/len(page); n++ {
		assert.Empty(t, h.engineCloseReasons())
		h.engineReply(c, id, "MORE", "sheet="+strconv.Itoa(n), page)
	}
	assert.Equal(t, []CloseReason{BadInput}, h.engineCloseReasons())
	assert.Zero(t, h.pool.InUse()-1, "except the text of the batch that is retried")
}

func TestPartialReplyClosesConnection(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 9000)
	c := h.connectLast()
	h.deliver(EngineReplyStarted{c})
	h.advance(0.4)
	h.engineReply(c, id, "TELL", "detail=done,val=0.5", "")
	h.advance(0.4)
	assert.Empty(t, h.engineCloseReasons(), "the reply was completed")
	h.deliver(EngineReplyStarted{c})
	h.advance(0.6)
	assert.Equal(t, []CloseReason{BadInput}, h.engineCloseReasons())
	assert.Equal(t, answerFailed, h.answers[stream])
}

func TestLostPageIsRequestedAgain(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 9000)
	c := h.connectLast()
	h.engineReply(c, id, "DONE", "sheets=3", "a\t2\t3\n")
	h.engineReply(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	h.engineReply(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	h.advance(0.15)
	more := "more\r\n$16\r\n" + id + "\r\n$1\r\n"
	assert.Equal(t, 2, strings.Count(h.written[c], more+"1"))
	assert.Equal(t, 1, strings.Count(h.written[c], more+"2"))
	h.engineReply(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\nb\t2\t3\nc\t2\t3\n", h.answers[stream])
	assert.Zero(t, h.pool.InUse())
}

// A connection on which an answer was lost may stay open: a probe on it shows whether it still works.
func TestSilentConnectionIsProbedAndClosed(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.config.Settings.MayProbe = true
	uploadStream, uploadID := h.sendBatch("upload", 9000)
	_, id := h.sendBatch("lookup", 3000)
	c := h.connectLast()
	h.engineReply(c, id, "DONE", "sheets=2", "a\t2\t3\n")
	h.advance(0.15)
	require.NotNil(t, h.connections[c].healthCheck)
	h.engineReply(c, h.connections[c].healthCheck.tag, "FIT", "-", "")
	assert.False(t, h.connections[c].Suspect)
	h.advance(0.25)
	assert.Contains(t, h.connections, c)
	h.advance(0.75)
	assert.Equal(t, []CloseReason{ClosedSuspect}, h.engineCloseReasons())
	assert.Equal(t, answerFailed, h.answers[uploadStream])
	assert.Equal(t, 1, h.fetchCount(uploadID))
}

func TestBatchesShareConnectionsOnlyAtLimit(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.connectionsPerEngine = 3
	for range 5 {
		_, id := h.sendBatch("lookup", 2000)
		if len(h.dials) == 1 && h.fetchCount(id) == 0 {
			h.connectLast()
		}
	}
	assert.Len(t, h.dials, 3)
	h = newHost(t, eastEngine("s-1"))
	h.connectionsPerEngine, h.maxConnections = 3, 3
	for range 4 {
		h.sendBatch("lookup", 2000)
	}
	assert.Len(t, h.dials, 1, "too few descriptors for more connections")
}

// sendRequest sends a batch with the given stream, id and further field names and values, which replace the default ones.
func (h *host) sendRequest(client uint64, stream uint32, id string, fields ...string) {
	values := map[string]string{"c": "lookup", "i": id, "d": "2000"}
	for i := 0; i+1 < len(fields); i += 2 {
		values[fields[i]] = fields[i+1]
	}
	var all []string
	for name, value := range values {
		all = append(all, name, value)
	}
	h.deliver(h.clientFrame(client, standin.EncodeFrame(clients.FrameBatch, stream, all, "SELECT 1 FROM a_3.b")))
}

// A client that sends an invalid request gets an error or its connection is closed, and nothing of the request reaches an engine.
func TestInvalidRequestIsRefusedAndNotForwarded(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	open, id := h.sendBatch("upload", 2000)
	h.deliver(h.clientOpenedEvent(2))
	h.sendRequest(2, 101, id)
	assert.Equal(t, answerFailed, h.answers[101], "the id of an open batch")
	h.sendRequest(2, 102, "00000000000000bb", "d", "2000000")
	assert.Equal(t, answerFailed, h.answers[102], "time limit far beyond the group's")
	h.sendRequest(2, 103, "00000000000000bc", "c", "lookups")
	assert.Equal(t, answerFailed, h.answers[103])
	assert.NotContains(t, h.clients, uint64(2), "closed after the third invalid batch")
	h.deliver(h.clientOpenedEvent(3))
	for n := range uint32(h.clientProtocol.MaxOpenBatches + 1) {
		delete(h.answers, 0)
		h.sendRequest(3, n+201, fmt.Sprintf("%016x", 4000+n))
	}
	assert.NotContains(t, h.clients, uint64(3), "more open batches than a connection may have")
	h.deliver(h.clientOpenedEvent(4))
	delete(h.answers, 0)
	h.sendRequest(4, 301, "00000000000000cc", "c", "nobody's")
	h.sendRequest(4, 301, "00000000000000cd")
	assert.Equal(t, answerFailed, h.answers[0], "a stream number that was answered")
	for _, d := range h.dials {
		h.deliver(EngineOpened{d.Connection})
	}
	assert.Equal(t, 1, h.fetchCount(id))
	assert.Zero(t, h.fetchCount("00000000000000cd"))
	assert.NotContains(t, h.answers, open)
	assert.Len(t, h.openByID, 1)
}

// clientCloseReasons returns why the router closed connections to clients, by client.
func (h *host) clientCloseReasons() map[uint64]CloseReason {
	reasons := map[uint64]CloseReason{}
	for _, effect := range h.emitted {
		if c, ok := effect.(CloseClient); ok {
			reasons[c.Client] = c.End
		}
	}
	return reasons
}

// A client that paused for over two seconds in the middle of a frame used to lose all its open batches.
func TestPartialFrameKeepsOpenBatches(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("upload", 9000)
	l := h.connectLast()
	h.deliver(ClientMessageStarted{1})
	h.advance(2.6)
	assert.Empty(t, h.clientCloseReasons(), "a batch is open on the connection")
	h.engineReply(l, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.advance(1.5)
	assert.Equal(t, map[uint64]CloseReason{1: FrameTimedOut}, h.clientCloseReasons(), "without open batches the partial frame counts again")
}

// A router process that was paused for two seconds used to close a client for a partial frame, although the rest of the frame and
// twelve batches were waiting unread in its socket.
func TestInputFromProcessPauseIsReadBeforeSilentClientsAreClosed(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.advance(0.3)
	h.deliver(ClientMessageStarted{1})
	h.now += 3 // the process was paused
	h.deliver(TimerFired{})
	assert.Empty(t, h.clientCloseReasons(), "its socket has not been read since the pause")
	h.sendBatch("upload", 9000)
	h.advance(0.5)
	assert.Empty(t, h.clientCloseReasons())
	h = newHost(t, eastEngine("s-1"))
	h.advance(0.3)
	h.deliver(ClientMessageStarted{1})
	for range maxCheckDelays {
		h.now += 3
		h.deliver(TimerFired{})
		assert.Empty(t, h.clientCloseReasons(), "paused again before it could read")
	}
	h.now += 3
	h.deliver(TimerFired{})
	assert.Equal(t, map[uint64]CloseReason{1: FrameTimedOut}, h.clientCloseReasons(), "a router that is always late checks its clients eventually")
}

func TestClientsInUseAreKeptOverSilentOnes(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.maxClients = 4
	stream, id := h.sendBatch("upload", 9000)
	h.deliver(h.clientOpenedEvent(2), h.clientOpenedEvent(3))
	h.sendRequest(2, 101, "00000000000000bb")
	h.engineReply(h.connectLast(), "00000000000000bb", "DONE", "sheets=1", "a\t2\t3\n")
	h.advance(0.3)
	h.deliver(h.clientOpenedEvent(4), h.clientOpenedEvent(5))
	assert.Equal(t, map[uint64]CloseReason{3: Crowded}, h.clientCloseReasons(), "it has sent nothing")
	h.deliver(h.clientOpenedEvent(6))
	assert.Equal(t, map[uint64]CloseReason{3: Crowded, 2: Crowded}, h.clientCloseReasons(), "idle: its client can open another connection")
	h.deliver(ClientMessageStarted{4})
	h.advance(2.6)
	assert.Equal(t, map[uint64]CloseReason{3: Crowded, 2: Crowded, 4: FrameTimedOut, 5: FrameTimedOut, 6: FrameTimedOut}, h.clientCloseReasons())
	assert.Equal(t, answerFailed, h.answers[0], "partial frame")
	h.engineReply(h.dials[0].Connection, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.advance(h.clientProtocol.IdleTimeout - 1)
	assert.Contains(t, h.clients, uint64(1))
	h.advance(2)
	assert.Empty(t, h.clients, "idle clients are closed after their last answer")
	for n := range uint64(4) {
		h.deliver(h.clientOpenedEvent(n + 10))
	}
	next := h.config
	next.Descriptors = 4
	h.deliver(Reloaded{next})
	h.advance(0.5)
	assert.Len(t, h.clients, 2, "the limit was lowered")
}

func TestMultiplexLimitAndIdleClose(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	_, one := h.sendBatch("lookup", 2000)
	_, two := h.sendBatch("lookup", 2000)
	_, three := h.sendBatch("lookup", 2000)
	require.Len(t, h.dials, 2, "two batches on each connection")
	for _, d := range h.dials {
		h.deliver(EngineOpened{d.Connection})
		for _, id := range []string{one, two, three} {
			h.engineReply(d.Connection, id, "DONE", "sheets=1", "a\t2\t3\n")
		}
	}
	h.advance(11.9)
	assert.Empty(t, h.engineCloseReasons())
	h.advance(2.5)
	assert.Equal(t, []CloseReason{ClosedIdle}, h.engineCloseReasons()[:1])
}

func TestEngineListIsQueriedUntilAnswered(t *testing.T) {
	h := newHost(t, eastEngine("s-1"), eastEngine("s-2"))
	first := h.queries[0]
	h.advance(0.09)
	require.GreaterOrEqual(t, len(h.queries), 3, "a query without an answer is repeated")
	draining := eastEngine("s-1")
	draining.Draining = true
	h.deliver(ListAnswered{h.queries[len(h.queries)-1], directory.List{Serial: 4, Engines: []directory.Engine{draining, eastEngine("s-3")}}})
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "a drain takes effect with the first answer")
	assert.Equal(t, brain.Draining, h.engines["s-2"].Phase, "nothing new is sent to an engine that is missing from it")
	h.advance(0.006)
	h.adoptList(4, draining, eastEngine("s-3"))
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase)
	assert.Equal(t, brain.Gone, h.engines["s-2"].Phase, "an engine missing from the confirmed list is gone")
	h.deliver(ListAnswered{first, directory.List{Serial: 2, Engines: []directory.Engine{eastEngine("s-1")}}})
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "late answer to an old query")
	for off := range uint16(3) { // query ids around the current one
		h.deliver(ListAnswered{h.queries[len(h.queries)-1] + off - 1, directory.List{Serial: 9}})
	}
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "answer to no open query")
	for range 3 {
		h.sendBatch("lookup", 2000)
	}
	for _, d := range h.dials {
		assert.Equal(t, "s-3", h.connections[d.Connection].engine.name, "no new dispatch to a draining engine")
	}
}

// What the decision module has learned of an engine, and what it has sent to the engine during its cold start, must not be lost
// when the engine disappears from the list and comes back.
func TestRelistedEngineKeepsItsState(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	first := h.engines["s-1"]
	h.adoptList(2)
	stream, _ := h.sendBatch("lookup", 2000)
	assert.Empty(t, h.dials)
	h.advance(0.11)
	h.adoptList(3, eastEngine("s-1"))
	assert.Same(t, first, h.engines["s-1"])
	h.advance(0.1)
	require.Len(t, h.dials, 1)
	h.engineReply(h.connectLast(), "00000000000000f1", "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
}

func TestDialTimesOut(t *testing.T) {
	h := newHost(t, eastEngine("s-1"), eastEngine("s-2"))
	_, id := h.sendBatch("upload", 5000)
	timedOut := h.dials[0].Connection
	h.advance(0.3)
	require.Len(t, h.dials, 2, "it never ran, so an at-most-once batch is retried")
	h.deliver(EngineOpened{timedOut})
	assert.Zero(t, h.fetchCount(id), "nothing is written to a connection that was established too late")
	h.connectLast()
	assert.Equal(t, 1, h.fetchCount(id))
	assert.Zero(t, h.dialing)
}

func TestBatchesBeyondMemoryLimitAreRejected(t *testing.T) {
	h := newHost(t)
	h.config.MemoryMB = 1
	refused, n := 0, 0
	for ; n < 100; n++ {
		if n%h.clientProtocol.MaxOpenBatches == 0 {
			h.deliver(h.clientOpenedEvent(uint64(n/h.clientProtocol.MaxOpenBatches) + 2))
		}
		stream := uint32(n + 1)
		h.sendRequest(uint64(n/h.clientProtocol.MaxOpenBatches)+2, stream, fmt.Sprintf("%016x", n+1))
		if h.answers[stream] != "" {
			refused++
			assert.Equal(t, answerRejected+"\x01\x01w\x03\x00500", h.answers[stream], "with the time after which to retry")
		}
	}
	assert.Positive(t, refused)
	assert.Less(t, refused, n)
}

func TestFinishedDispatchLeavesNoTimer(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	_, id := h.sendBatch("lookup", 2000)
	c := h.connectLast()
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	for _, timer := range h.timers {
		_, left := timer.value.(*dispatch)
		assert.False(t, left)
	}
}

func TestAddressReuseByAnotherEngine(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	_, id := h.sendBatch("lookup", 2000)
	c := h.connectLast()
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	h.adoptList(2, eastEngine("s-2"))
	assert.Equal(t, []CloseReason{StaleAddress}, h.engineCloseReasons())
	h.sendBatch("lookup", 2000)
	require.Len(t, h.dials, 2, "the old connection is not used for the new engine")
	h.deliver(ListAnswered{h.queries[0], directory.List{Serial: 3}})
	h.advance(0.11)
	h.adoptList(3)
	assert.Equal(t, []CloseReason{StaleAddress, StaleAddress}, h.engineCloseReasons(), "a dial to the old engine must not connect to its successor")
	h.deliver(EngineOpened{h.dials[1].Connection})
	assert.Empty(t, h.written[h.dials[1].Connection])
}

func TestLongGoneEnginesAreForgotten(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	_, id := h.sendBatch("lookup", 4000)
	c := h.connectLast()
	for n := range uint32(50) {
		h.advance(0.11)
		h.adoptList(n+2, eastEngine("s-"+strconv.Itoa(int(n)+2)))
	}
	assert.Len(t, h.engines, 51, "an engine that was listed before is not added again")
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	h.advance(goneEngineRetention + 1)
	assert.Len(t, h.engines, 1)
	assert.Len(t, h.byBrainEngine, 1)
	assert.Less(t, len(h.timers), 5)
}

// A reload moves the name service to another address. The serial number of the list is kept, so an older list stays older, and
// answers to queries from before the reload are ignored.
func TestReloadMovesNameServiceAndDropsNothing(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("lookup", 3000)
	c := h.connectLast()
	before := h.queries[len(h.queries)-1]
	next := h.config
	next.Resolver, next.Descriptors, next.KnownEngines = "127.0.0.1:3", 256, directory.List{Serial: 1}
	h.deliver(Reloaded{next})
	assert.Contains(t, h.emitted, SetResolver{"127.0.0.1:3"})
	assert.Contains(t, h.emitted, SetLimits{0, 256})
	assert.Equal(t, 256/2-spareDescriptors, h.maxConnections)
	after := h.queries[len(h.queries)-1]
	assert.NotEqual(t, before, after, "the new address is queried at once")
	h.deliver(ListAnswered{before, directory.List{Serial: 7}})
	assert.Equal(t, brain.Ready, h.engines["s-1"].Phase, "answer from the old address")
	h.deliver(ListAnswered{after, directory.List{Serial: 2, Engines: []directory.Engine{eastEngine("s-1"), eastEngine("s-2")}}})
	h.advance(0.006)
	h.adoptList(2, eastEngine("s-1"), eastEngine("s-2"))
	assert.Contains(t, h.engines, "s-2")
	h.deliver(Reloaded{next}, Reloaded{next})
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
}

func TestBatchesAreAnsweredAtDescriptorLimit(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.maxConnections = 2
	h.sendBatch("lookup", 2000)
	h.sendBatch("lookup", 2000)
	stream, _ := h.sendBatch("lookup", 2000)
	require.Len(t, h.dials, 1)
	h.advance(2)
	assert.Equal(t, answerRejected, h.answers[stream][:1])
}

func TestStopAcceptsAndAnswersLateBatches(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	earlyStream, id := h.sendBatch("lookup", 2000)
	c := h.connectLast()
	h.deliver(StopAsked{})
	h.deliver(ClientMessage{1, traffic.ReadinessQuery{Stream: 99}})
	h.advance(0.5)
	lateStream, _ := h.sendBatch("lookup", 2000)
	h.engineReply(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[earlyStream])
	stuckStream, _ := h.sendBatch("upload", 9000)
	h.advance(2.0)
	assert.Contains(t, h.answers, lateStream)
	assert.False(t, h.exited(), "a dispatch is still outstanding")
	h.advance(1)
	assert.Equal(t, answerFailed, h.answers[stuckStream], "answered before the process may be killed")
	assert.True(t, h.exited())
}

func TestIdleRouterExitsAfterGracePeriod(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.deliver(StopAsked{})
	h.advance(0.6)
	assert.False(t, h.exited())
	h.advance(0.3)
	assert.True(t, h.exited())
}

func TestProbeReturnsEngineReport(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.deliver()
	p := func() *probe {
		h.sendProbe(h.engines["s-1"])
		return h.connections[h.lastNumber].AllPending()[0].(*probe)
	}()
	h.sessions[p.conn.Number] = engines.Session{}
	h.deliver(EngineOpened{p.conn.Number})
	assert.Contains(t, h.written[p.conn.Number], "stats\r\n")
	h.engineReply(p.conn.Number, p.tag, "FIT", "use=queue:3;x0:0.25", "")
	assert.True(t, p.ended)
}
