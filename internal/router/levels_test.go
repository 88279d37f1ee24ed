package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/levels"
)

func noLookups(hold string) LevelsSet {
	return LevelsSet{Over: 2, Levels: levels.Settings{TrialSteps: 1, TrialStepTime: 1, ForcedLevel: hold, Levels: []levels.Level{{Name: "no lookups", MinDuration: 5,
		Enter:   []levels.Condition{{Measure: levels.Rejected, Threshold: 0.5, MinDuration: 1}},
		Exit:    []levels.Condition{{Measure: levels.Rejected, Below: true, Threshold: 0.1, MinDuration: 1}},
		Actions: levels.Actions{AdmitRatio: map[string]float64{"lookup": 0}}}}}}
}

func (h *host) lines(text string) (out []Log) {
	for _, what := range h.did {
		if l, is := what.(Log); is && l.Text == text {
			out = append(out, l)
		}
	}
	return out
}

func TestALevelShedsFromItsEntryOnAndEachTransitionIsOneLine(t *testing.T) {
	h := start(t) // without an engine all is pushed back
	h.tell(noLookups(""))
	for range 10 {
		h.batch("lookup", 500)
		h.pass(0.4)
	}
	require.Len(t, h.lines("level of service"), 1)
	line := h.lines("level of service")[0]
	assert.Contains(t, line.Fields, "no lookups")
	assert.Contains(t, line.Fields, "pushed-back")
	h.tell(h.opened(2))
	h.ask(2, 901, "00000000000000ee")
	assert.Equal(t, refusal, h.answers[901][:1], "at once")
	assert.True(t, strings.HasSuffix(h.answers[901], "500"), "with the time to come back")
	h.ask(2, 902, "00000000000000ef", "c", "upload")
	assert.NotContains(t, h.answers, uint32(902))
	h.pass(12)
	assert.Equal(t, "usual", h.level.machine.State().Name, "nothing came, so the trial went well")
}

func TestAReloadAmidALevelKeepsItAndAnOperatorMayHoldOne(t *testing.T) {
	h := start(t, east("s-1"))
	h.tell(noLookups("no lookups"))
	h.pass(1)
	stream, _ := h.batch("lookup", 2000)
	assert.Equal(t, refusal, h.answers[stream][:1])
	h.tell(noLookups("no lookups"))
	stream, _ = h.batch("lookup", 2000)
	assert.Equal(t, refusal, h.answers[stream][:1])
	h.tell(noLookups("usual"))
	h.pass(1)
	stream, id := h.batch("lookup", 2000)
	h.say(h.up(), id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
	var last Status
	for _, what := range h.did {
		if s, is := what.(Tell); is {
			last = s.Status
		}
	}
	assert.Equal(t, []any{"usual", 2}, []any{last.Level, last.Shed})
}
