package crowd

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/membership"
)

func settled(t *testing.T, o Options) *Crowd {
	c := New(o)
	c.StartAll()
	c.Run(1.1)
	took := c.UntilAgreed(60)
	require.Greater(t, took, 0.0, "they never found each other")
	return c
}

func TestRoutersFindEachOtherBySeeds(t *testing.T) {
	for _, n := range []int{2, 3, 12, 60, 300} {
		c := settled(t, Options{Routers: n, Seed: uint64(n)})
		t.Logf("%d routers agree after %.1f s", n, c.Now-epoch)
	}
}

func TestADeathIsKnownToAll(t *testing.T) {
	for _, n := range []int{3, 12, 60, 300} {
		c := settled(t, Options{Routers: n, Seed: 7})
		c.Kill(c.Nodes[n/3])
		took := c.UntilAgreed(30)
		t.Logf("%d routers agree %.1f s after a death", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestMostKilledAtOnceAndBack(t *testing.T) {
	for _, n := range []int{5, 12, 100} {
		c := settled(t, Options{Routers: n, Seed: 9})
		for i := range n * 7 / 10 {
			c.Kill(c.Nodes[n-1-i])
		}
		c.Run(20)
		for _, l := range c.Living() {
			assert.Equal(t, membership.CutOff, l.Machine.Certainty(), "whether they died or are cut off can't be known")
			assert.Len(t, c.Living(), l.Machine.Count())
		}
		for i := range n * 7 / 10 {
			c.Start(c.Nodes[n-1-i])
		}
		took := c.UntilAgreed(60)
		t.Logf("%d routers agree %.1f s after most are back", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestHalvesMeetAgain(t *testing.T) {
	c := settled(t, Options{Routers: 20, Seed: 3})
	half := map[*Node]bool{}
	for _, n := range c.Nodes[:9] {
		half[n] = true
	}
	c.Cut(func(a, b *Node) bool { return half[a] == half[b] })
	c.Run(20)
	assert.Equal(t, membership.CutOff, c.Nodes[0].Machine.Certainty())
	assert.Equal(t, 9, c.Nodes[0].Machine.Count())
	assert.Equal(t, membership.Settled, c.Nodes[19].Machine.Certainty(), "the larger half goes on")
	c.Cut(nil)
	took := c.UntilAgreed(120)
	t.Logf("agreed %.1f s after the cut healed", took)
	assert.Greater(t, took, 0.0)
}
