package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/levels"
)

// shedLookups returns settings with one level, "no lookups", that rejects all lookup batches. hold names a level to stay in, if any.
func shedLookups(hold string) LevelsSet {
	return LevelsSet{DecayTime: 2, Levels: levels.Settings{TrialSteps: 1, TrialStepTime: 1, ForcedLevel: hold, Levels: []levels.Level{{Name: "no lookups", MinDuration: 5,
		Enter:   []levels.Condition{{Measure: levels.Rejected, Threshold: 0.5, MinDuration: 1}},
		Exit:    []levels.Condition{{Measure: levels.Rejected, Below: true, Threshold: 0.1, MinDuration: 1}},
		Actions: levels.Actions{AdmitRatio: map[string]float64{"lookup": 0}}}}}}
}

// logLines returns the log lines with a text.
func (h *host) logLines(text string) (lines []Log) {
	for _, effect := range h.emitted {
		if l, is := effect.(Log); is && l.Text == text {
			lines = append(lines, l)
		}
	}
	return lines
}

func TestLevelShedsOnEntryAndLogsEachTransitionOnce(t *testing.T) {
	h := newHost(t) // without an engine every batch is rejected
	h.deliver(shedLookups(""))
	for range 10 {
		h.sendBatch("lookup", 500)
		h.advance(0.4)
	}
	require.Len(t, h.logLines("level of service"), 1)
	line := h.logLines("level of service")[0]
	assert.Contains(t, line.Fields, "no lookups")
	assert.Contains(t, line.Fields, "pushed-back")
	h.deliver(h.clientOpenedEvent(2))
	h.sendRequest(2, 901, "00000000000000ee")
	assert.Equal(t, answerRejected, h.answers[901][:1], "rejected at once")
	assert.True(t, strings.HasSuffix(h.answers[901], "500"), "with the time after which to retry")
	h.sendRequest(2, 902, "00000000000000ef", "c", "upload")
	assert.NotContains(t, h.answers, uint32(902))
	h.advance(12)
	assert.Equal(t, "usual", h.level.machine.State().Name, "no batch came, so the trial succeeded")
}

func TestReloadKeepsLevelAndOperatorCanHoldOne(t *testing.T) {
	h := newHost(t, eastEngine("s-1"))
	h.deliver(shedLookups("no lookups"))
	h.advance(1)
	stream, _ := h.sendBatch("lookup", 2000)
	assert.Equal(t, answerRejected, h.answers[stream][:1])
	h.deliver(shedLookups("no lookups"))
	stream, _ = h.sendBatch("lookup", 2000)
	assert.Equal(t, answerRejected, h.answers[stream][:1])
	h.deliver(shedLookups("usual"))
	h.advance(1)
	stream, id := h.sendBatch("lookup", 2000)
	h.engineReply(h.connectLast(), id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	var last Status
	for _, effect := range h.emitted {
		if s, is := effect.(ReportStatus); is {
			last = s.Status
		}
	}
	assert.Equal(t, []any{"usual", 2}, []any{last.Level, last.Shed})
}
