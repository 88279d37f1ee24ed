package shares

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Found by internal/explore: a router is killed with its credit on the way, and starts again. Numbers begin anew, so the old answer had
// the number of its first asking, and its lease was taken to run from that: the bursar had given the part to others by then.
func TestAnswerToEarlierStartIsIgnored(t *testing.T) {
	s := Defaults()
	s.FixedFraction, s.Listen, s.Replicas = 0, "10.0.0.1:1", []string{"10.0.0.2:1"}
	to := EngineStart{Engine: 7, StartedAt: 99, Cores: 1}
	fixed := FixedConfig{Total: 4, Window: 1, Routers: 2, MaxHolders: 16}
	start := func(n uint64, now float64) (*Machine, Item) {
		m := New(s, ID{"n", n}, fixed, now)
		m.Request(now, to, 2)
		m.Wake(now)
		out := m.TakeOutgoing()
		require.Len(t, out, 1)
		return m, out[0].Items[0]
	}
	_, first := start(1, 100)
	m, second := start(2, 110)
	require.Equal(t, first.Number, second.Number)
	answer := Message{Kind: GrantReply, ToStart: 1, From: ID{"o", 1}, FromAddress: "10.0.0.2:1", Coordinator: "10.0.0.2:1", ReplicaSetHash: s.replicaSetHash(), Items: []Item{{Number: first.Number, Attempt: first.Attempt, Key: first.Key,
		Amount: 2, Lease: 1}}}
	m.Receive(110.01, &answer)
	assert.False(t, m.CanSpend(110.02, to, 1))
	answer.ToStart = 2
	m.Receive(110.01, &answer)
	assert.True(t, m.CanSpend(110.02, to, 1))
}
