package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const coldRules = `"rules":{"cold-from":0.5,"cold-ms":20000,"fall-multiple":2,"fall-ms":1000,`

// While a router stops the process that follows it may run already, with the same part of what a cold engine bears.
func TestARouterThatStopsSendsNothingToAColdEngine(t *testing.T) {
	cold := east("s-1")
	cold.StartedAt = 90
	for _, stops := range []bool{false, true} {
		h := startWith(t, strings.Replace(grades, `"rules":{`, coldRules, 1), cold)
		h.pass(2) // after its own start it sends nothing to a cold engine for a fall time
		if stops {
			h.tell(StopAsked{})
		}
		stream, id := h.batch("lookup", 3000)
		if !stops {
			h.up()
			assert.Equal(t, 1, h.fetches(id))
			continue
		}
		h.pass(4)
		assert.Empty(t, h.dials)
		assert.True(t, strings.HasPrefix(h.answers[stream], refusal), "it never ran and goes back: %q", h.answers[stream])
		require.True(t, h.exited())
	}
}
