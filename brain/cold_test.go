package brain

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An engine's start is told by another machine's wall clock, which may be off by an hour either way: it must neither shorten nor
// lengthen the slow start.
func TestSlowStartDoesNotDependOnTheEnginesClock(t *testing.T) {
	for name, startedAt := range map[string]float64{"right": 100, "an hour behind": 100 - 3600, "an hour ahead": 100 + 3600} {
		h, list := newHost(t, testSettings(lookupGroup()), 1)
		e := &Engine{ID: 2, Phase: Ready, StartedAt: startedAt}
		h.UpdateEngines(append(list, e), true)
		assert.True(t, h.inSlowStart(e), name)
		h.advance(h.slowStartTime - 0.01)
		assert.True(t, h.inSlowStart(e), "%s, near the end", name)
		h.advance(0.02)
		assert.False(t, h.inSlowStart(e), "%s, when slow start is over", name)
	}
}

// An engine that starts again under its id is another process, also where its clock was set back meanwhile.
func TestRestartedEngineIsColdAgainWhateverItsClockSays(t *testing.T) {
	h, list := newHost(t, testSettings(lookupGroup()), 1)
	list[0].StartedAt = 90
	h.UpdateEngines(list, true)
	h.advance(h.slowStartTime + 1)
	assert.False(t, h.inSlowStart(list[0]))
	list[0].StartedAt = 50
	h.UpdateEngines(list, true)
	assert.True(t, h.inSlowStart(list[0]))
}
