package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const coldRules = `"rules":{"cold-from":0.5,"cold-ms":20000,"fall-multiple":2,"fall-ms":1000,`

// While a router stops the process that follows it may run already, with the same part of what a cold engine bears.
func TestStoppingRouterSendsNothingToColdEngine(t *testing.T) {
	cold := eastEngine("s-1")
	cold.StartedAt = 90
	for _, stops := range []bool{false, true} {
		h := newHostWith(t, strings.Replace(testSettings, `"rules":{`, coldRules, 1), cold)
		h.advance(2) // after its own start it sends nothing to a cold engine for a fall time
		if stops {
			h.deliver(StopAsked{})
		}
		stream, id := h.sendBatch("lookup", 3000)
		if !stops {
			h.connectLast()
			assert.Equal(t, 1, h.fetchCount(id))
			continue
		}
		h.advance(4)
		assert.Empty(t, h.dials)
		assert.True(t, strings.HasPrefix(h.answers[stream], answerRejected), "it never ran and goes back: %q", h.answers[stream])
		require.True(t, h.exited())
	}
}
