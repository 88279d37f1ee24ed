package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// withdrawn gives a request whose only attempt was just given up, where second copies are forbidden. Its second engine is there.
func withdrawn(t *testing.T) (h *host, stream uint32, id string, line uint64) {
	other := east("s-2")
	other.Address = "10.0.0.2:80"
	patient := strings.Replace(grades, `"on-time-ms":800,`, `"on-time-ms":3000,`, 1)
	h = startWith(t, strings.Replace(patient, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-probe":true,`, 1), east("s-1"), other)
	stream, id = 1, "00000000000000f1"
	fields := []string{"c", "lookup", "i", id, "d", "4000", "h", "20"} // so little work that it is overdue soon
	h.tell(h.said(1, standin.Frame(clients.FrameBatch, stream, fields, "SELECT 1 FROM a_3.b")))
	line = h.up()
	for !strings.Contains(h.written[line], "abort\r\n$16\r\n"+id) {
		require.Less(t, h.now, 104.0, "it is never given up")
		h.pass(0.01)
	}
	return h, stream, id, line
}

// rise lets all dials come up.
func (h *host) rise() {
	for _, d := range h.dials {
		if l := h.connections[d.Connection]; l != nil && !l.Up {
			h.tell(EngineOpened{d.Connection})
		}
	}
}

// again lets time pass in which a further attempt would leave: the gate's longest rest, and some more.
func (h *host) again() {
	for range 10 {
		h.pass(0.05)
		h.rise()
	}
}

// Issue 53: the word that gives an attempt up may be read late, and a further attempt beside the first would be a second copy.
func TestNoFurtherAttemptLeavesBeforeTheFirstIsKnownToHaveEnded(t *testing.T) {
	h, stream, id, line := withdrawn(t)
	assert.Contains(t, h.written[line], "more\r\n$16\r\n"+id, "its answer shows that the engine has read what was written before")
	h.again()
	assert.Equal(t, 1, h.fetches(id))
	h.say(line, id, "BROKE", "-", "")
	h.again()
	require.Equal(t, 2, h.fetches(id))
	assert.NotContains(t, h.answers, stream)
}

func TestAResultOfAnAttemptThatWasGivenUpIsTheAnswer(t *testing.T) {
	h, stream, id, line := withdrawn(t)
	h.say(line, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
	h.say(line, id, "BROKE", "-", "")
	h.again()
	assert.Equal(t, 1, h.fetches(id))
}

func TestAnEngineThatEndsTheConnectionHasGivenUpWhatWasOpenThere(t *testing.T) {
	for _, end := range []End{ClosedByPeer, ResetByPeer, Unreachable} {
		h, stream, id, line := withdrawn(t)
		h.tell(EngineEnded{line, end})
		h.again()
		if end == Unreachable {
			assert.Equal(t, 1, h.fetches(id), end)
			assert.True(t, strings.HasPrefix(h.answers[stream], refusal), end)
			continue
		}
		assert.Equal(t, 2, h.fetches(id), end)
	}
}

// Without a proof in time nothing is sent beside it: the request has its final answer, and not as late as its limit.
func TestAnAttemptWhoseEndIsNeverKnownIsTheLast(t *testing.T) {
	h, stream, id, _ := withdrawn(t)
	began := h.now
	for len(h.answers) == 0 {
		h.pass(0.01)
		h.rise()
	}
	assert.True(t, strings.HasPrefix(h.answers[stream], refusal), "%q", h.answers[stream])
	assert.InDelta(t, confirmWithin, h.now-began, 0.1)
	h.again()
	assert.Equal(t, 1, h.fetches(id))
}

// What would have broken an invariant is not decided anew until its time is over: it was, with a line of log for each.
func TestARequestThatTheGuardWithholdsGetsItsFinalAnswer(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("lookup", 4000)
	line := h.up()
	h.tell(OrderRefused{line, id, OrderInvalid})
	assert.Equal(t, failure, h.answers[stream][:2])
	h.again()
	assert.Equal(t, 1, h.fetches(id))
}
