package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// coldRules limits what may be sent to an engine during its cold start.
const coldRules = `"rules":{"cold-from":0.5,"cold-ms":20000,"fall-multiple":2,"fall-ms":1000,`

// While a router stops, the process that replaces it may already run and use the same share of a cold engine's capacity.
func TestStoppingRouterSendsNothingToColdEngine(t *testing.T) {
	cold := eastEngine("s-1")
	cold.StartedAt = 90
	for _, stopping := range []bool{false, true} {
		h := newHostWith(t, strings.Replace(testSettings, `"rules":{`, coldRules, 1), cold)
		h.advance(2) // for the fall time (fall-ms) after its own start a router sends nothing to a cold engine
		if stopping {
			h.deliver(StopAsked{})
		}
		stream, id := h.sendBatch("lookup", 3000)
		if !stopping {
			h.connectLast()
			assert.Equal(t, 1, h.fetchCount(id))
			continue
		}
		h.advance(4)
		assert.Empty(t, h.dials)
		assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), "it never ran and is rejected: %q", h.answers[stream])
		require.True(t, h.exited())
	}
}
