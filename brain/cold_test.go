package brain

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An engine's start is told by another machine's wall clock, which may be off by an hour either way: it must neither shorten nor
// lengthen the slow start.
func TestNoClockShortensOrLengthensSlowStart(t *testing.T) {
	for name, startedAt := range map[string]float64{"right": 100, "an hour behind": 100 - 3600, "an hour ahead": 100 + 3600} {
		h, list := newHost(t, settings(lookups()), 1)
		e := &Engine{ID: 2, Phase: Ready, StartedAt: startedAt}
		h.Listed(append(list, e), true)
		assert.True(t, h.cold(e), name)
		h.pass(h.coldTime - 0.01)
		assert.True(t, h.cold(e), "%s, near the end", name)
		h.pass(0.02)
		assert.False(t, h.cold(e), "%s, when slow start is over", name)
	}
}

// An engine that starts again under its id is another process, also where its clock was set back meanwhile.
func TestAnEngineThatStartsAgainIsColdAgainWhateverItsClockSays(t *testing.T) {
	h, list := newHost(t, settings(lookups()), 1)
	list[0].StartedAt = 90
	h.Listed(list, true)
	h.pass(h.coldTime + 1)
	assert.False(t, h.cold(list[0]))
	list[0].StartedAt = 50
	h.Listed(list, true)
	assert.True(t, h.cold(list[0]))
}
