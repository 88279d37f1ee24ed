package shares

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Found by internal/explore: a router is killed with its credit on the way, and starts again. Numbers begin anew, so the old answer had
// the number of its first asking, and its lease was taken to run from that: the bursar had given the part to others by then.
func TestAnAnswerToAnEarlierStartIsNotTaken(t *testing.T) {
	s := Defaults()
	s.Firm, s.Listen, s.Keepers = 0, "10.0.0.1:1", []string{"10.0.0.2:1"}
	to := Start{Engine: 7, At: 99, Cores: 1}
	fixed := Fixed{Whole: 4, Window: 1, Routers: 2, Sharers: 16}
	start := func(n uint64, now float64) (*Machine, Item) {
		m := New(s, ID{"n", n}, fixed, now)
		m.Want(now, to, 2)
		m.Wake(now)
		out := m.Sends()
		require.Len(t, out, 1)
		return m, out[0].Items[0]
	}
	_, first := start(1, 100)
	m, second := start(2, 110)
	require.Equal(t, first.Number, second.Number)
	answer := Message{Kind: Reply, To: 1, From: ID{"o", 1}, At: "10.0.0.2:1", Bursar: "10.0.0.2:1", Roll: s.roll(), Items: []Item{{Number: first.Number, Try: first.Try, Key: first.Key,
		Amount: 2, Lease: 1}}}
	m.Heard(110.01, &answer)
	assert.False(t, m.Room(110.02, to, 1))
	answer.To = 2
	m.Heard(110.01, &answer)
	assert.True(t, m.Room(110.02, to, 1))
}
