package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// newHostWithCancelledAttempt gives a request whose only attempt was just given up, where second copies are forbidden. Its second engine is there.
func newHostWithCancelledAttempt(t *testing.T) (h *host, stream uint32, id string, line uint64) {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	patient := strings.Replace(testSettings, `"on-time-ms":800,`, `"on-time-ms":3000,`, 1)
	h = newHostWith(t, strings.Replace(patient, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-probe":true,`, 1), eastEngine("s-1"), other)
	stream, id = 1, "00000000000000f1"
	fields := []string{"c", "lookup", "i", id, "d", "4000", "h", "20"} // so little work that it is overdue soon
	h.deliver(h.clientFrame(1, standin.Frame(clients.FrameBatch, stream, fields, "SELECT 1 FROM a_3.b")))
	line = h.connectLast()
	for !strings.Contains(h.written[line], "abort\r\n$16\r\n"+id) {
		require.Less(t, h.now, 104.0, "it is never given up")
		h.advance(0.01)
	}
	return h, stream, id, line
}

// connectAll lets all dials come up.
func (h *host) connectAll() {
	for _, d := range h.dials {
		if l := h.connections[d.Connection]; l != nil && !l.Up {
			h.deliver(EngineOpened{d.Connection})
		}
	}
}

// advancePastRetry lets time pass in which a further attempt would leave: the gate's longest rest, and some more.
func (h *host) advancePastRetry() {
	for range 10 {
		h.advance(0.05)
		h.connectAll()
	}
}

// Issue 53: the word that gives an attempt up may be read late, and a further attempt beside the first would be a second copy.
func TestNoRetryBeforeCancelledAttemptIsConfirmed(t *testing.T) {
	h, stream, id, line := newHostWithCancelledAttempt(t)
	assert.Contains(t, h.written[line], "more\r\n$16\r\n"+id, "its answer shows that the engine has read what was written before")
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
	h.engineReply(line, id, "BROKE", "-", "")
	h.advancePastRetry()
	require.Equal(t, 2, h.fetchCount(id))
	assert.NotContains(t, h.answers, stream)
}

func TestResultOfCancelledAttemptIsTheAnswer(t *testing.T) {
	h, stream, id, line := newHostWithCancelledAttempt(t)
	h.engineReply(line, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.engineReply(line, id, "BROKE", "-", "")
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}

func TestCloseByEngineConfirmsCancellation(t *testing.T) {
	for _, end := range []CloseReason{ClosedByPeer, ResetByPeer, Unreachable} {
		h, stream, id, line := newHostWithCancelledAttempt(t)
		h.deliver(EngineEnded{line, end})
		h.advancePastRetry()
		if end == Unreachable {
			assert.Equal(t, 1, h.fetchCount(id), end)
			assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), end)
			continue
		}
		assert.Equal(t, 2, h.fetchCount(id), end)
	}
}

// Without a proof in time nothing is sent beside it: the request has its final answer, and not as late as its limit.
func TestUnconfirmedCancellationEndsTheRequest(t *testing.T) {
	h, stream, id, _ := newHostWithCancelledAttempt(t)
	began := h.now
	for len(h.answers) == 0 {
		h.advance(0.01)
		h.connectAll()
	}
	assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), "%q", h.answers[stream])
	assert.InDelta(t, cancelConfirmTimeout, h.now-began, 0.1)
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}

// What would have broken an invariant is not decided anew until its time is over: it was, with a line of log for each.
func TestRequestRefusedByGuardIsAnswered(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	stream, id := h.sendBatch("lookup", 4000)
	line := h.connectLast()
	h.deliver(OrderRefused{line, id, OrderInvalid})
	assert.Equal(t, answerFailed, h.answers[stream][:2])
	h.advancePastRetry()
	assert.Equal(t, 1, h.fetchCount(id))
}
