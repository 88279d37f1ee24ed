package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// newHostWithCancelledAttempt returns a router that may not hedge, with a request whose only attempt was just cancelled. A second
// engine is ready for a retry.
func newHostWithCancelledAttempt(t *testing.T) (h *host, stream uint32, id string, connection uint64) {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	patient := strings.Replace(testSettings, `"on-time-ms":800,`, `"on-time-ms":3000,`, 1)
	h = newHostWith(t, strings.Replace(patient, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-probe":true,`, 1), eastEngine("s-1"), other)
	stream, id = 1, "00000000000000f1"
	fields := []string{"c", "lookup", "i", id, "d", "4000", "h", "20"} // so little work that the attempt is soon overdue
	h.deliver(h.clientFrame(1, standin.EncodeFrame(clients.FrameBatch, stream, fields, "SELECT 1 FROM a_3.b")))
	connection = h.connectLast()
	for !strings.Contains(h.written[connection], "abort\r\n$16\r\n"+id) {
		require.Less(t, h.now, 104.0, "the attempt is never cancelled")
		h.advance(0.01)
	}
	return h, stream, id, connection
}

// connectAll establishes all connections that are being dialled.
func (h *host) connectAll() {
	for _, d := range h.dials {
		if l := h.connections[d.Connection]; l != nil && !l.Up {
			h.deliver(EngineOpened{d.Connection})
		}
	}
}

// advancePastRetry lets enough time pass for a retry to be sent: the longest pause of the decision
// module's admission gate, and some more.
func (h *host) advancePastRetry() {
	for range 10 {
		h.advance(0.05)
		h.connectAll()
	}
}

// Issue 53: the engine may read a cancellation late, so a retry that is sent meanwhile would run at the same time as the first attempt.
func TestNoRetryBeforeCancelledAttemptIsConfirmed(t *testing.T) {
	h, stream, id, connection := newHostWithCancelledAttempt(t)
	assert.Contains(t, h.written[connection], "more\r\n$16\r\n"+id, "the answer to it shows that the engine has read what was written before")
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
	h.engineReply(connection, id, "BROKE", "-", "")
	h.advancePastRetry()
	require.Equal(t, 2, h.fetchCount(id))
	assert.NotContains(t, h.answers, stream)
}

func TestResultOfCancelledAttemptIsTheAnswer(t *testing.T) {
	h, stream, id, connection := newHostWithCancelledAttempt(t)
	h.engineReply(connection, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.engineReply(connection, id, "BROKE", "-", "")
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}

func TestCloseByEngineConfirmsCancellation(t *testing.T) {
	for _, end := range []CloseReason{ClosedByPeer, ResetByPeer, Unreachable} {
		h, stream, id, connection := newHostWithCancelledAttempt(t)
		h.deliver(EngineEnded{connection, end})
		h.advancePastRetry()
		if end == Unreachable {
			assert.Equal(t, 1, h.fetchCount(id), end)
			assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), end)
			continue
		}
		assert.Equal(t, 2, h.fetchCount(id), end)
	}
}

// Without a proof in time that the first attempt has ended, the request is not retried: it gets its final answer, well before its time
// limit.
func TestUnconfirmedCancellationEndsTheRequest(t *testing.T) {
	h, stream, id, _ := newHostWithCancelledAttempt(t)
	cancelledAt := h.now
	for len(h.answers) == 0 {
		h.advance(0.01)
		h.connectAll()
	}
	assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), "%q", h.answers[stream])
	assert.InDelta(t, cancelConfirmTimeout, h.now-cancelledAt, 0.1)
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}

// A request whose dispatch would have broken an invariant used to be decided again and again until its time was over, with a log line
// each time.
func TestRequestRefusedByGuardIsAnswered(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("lookup", 4000)
	connection := h.connectLast()
	h.deliver(OrderRefused{connection, id, OrderInvalid})
	assert.Equal(t, answerFailed, h.answers[stream][:2])
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}
