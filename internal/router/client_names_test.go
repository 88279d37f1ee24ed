package router

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The name of a client went through the patterns of all routes whatever its length: one of 64 KB against 1,000 routes held the event
// loop for 0.4 s. A long name that the settings don't know must be an error before that.
func TestLongNameOfAnUnknownClientIsAnError(t *testing.T) {
	known := strings.Repeat("k", 200)
	settings := strings.Replace(testSettings, "{", `{"customers":[{"name":"`+known+`","quota-per-s":100}],`, 1)
	for name, want := range map[string]bool{"": true, "unknown": true, strings.Repeat("u", 128): true, strings.Repeat("u", 129): false,
		strings.Repeat("u", 64_000): false, known: true} {
		h := newHostWith(t, settings, eastEngine("s-1"))
		h.sendRequest(1, 1, "00000000000000aa", "t", name)
		accepted := h.openByID["00000000000000aa"] != nil
		assert.Equal(t, want, accepted, "a name of %d bytes", len(name))
		if !want {
			assert.Equal(t, answerFailed, h.answers[1])
			assert.Contains(t, h.clients, uint64(1), "the connection goes on")
		}
	}
}
