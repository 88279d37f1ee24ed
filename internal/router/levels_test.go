package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/levels"
)

func shedLookups(hold string) LevelsSet {
	return LevelsSet{DecayTime: 2, Levels: levels.Settings{TrialSteps: 1, TrialStepTime: 1, ForcedLevel: hold, Levels: []levels.Level{{Name: "no lookups", MinDuration: 5,
		Enter:   []levels.Condition{{Measure: levels.Rejected, Threshold: 0.5, MinDuration: 1}},
		Exit:    []levels.Condition{{Measure: levels.Rejected, Below: true, Threshold: 0.1, MinDuration: 1}},
		Actions: levels.Actions{AdmitRatio: map[string]float64{"lookup": 0}}}}}}
}

func (h *host) logLines(text string) (out []Log) {
	for _, what := range h.emitted {
		if l, is := what.(Log); is && l.Text == text {
			out = append(out, l)
		}
	}
	return out
}

func TestLevelShedsOnEntryAndLogsEachTransitionOnce(t *testing.T) {
	h := newHost(t) // without an engine all is pushed back
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
	assert.Equal(t, answerRejected, h.answers[901][:1], "at once")
	assert.True(t, strings.HasSuffix(h.answers[901], "500"), "with the time to come back")
	h.sendRequest(2, 902, "00000000000000ef", "c", "upload")
	assert.NotContains(t, h.answers, uint32(902))
	h.advance(12)
	assert.Equal(t, "usual", h.level.machine.State().Name, "nothing came, so the trial went well")
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
	for _, what := range h.emitted {
		if s, is := what.(ReportStatus); is {
			last = s.Status
		}
	}
	assert.Equal(t, []any{"usual", 2}, []any{last.Level, last.Shed})
}
