package crowd

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/membership"
)

func newSettled(t *testing.T, o Options) *Simulation {
	c := New(o)
	c.StartAll()
	c.Run(1.1)
	took := c.RunUntilAgreed(60)
	require.Greater(t, took, 0.0, "they never found each other")
	return c
}

func TestRoutersFindEachOtherBySeeds(t *testing.T) {
	for _, n := range []int{2, 3, 12, 60, 300} {
		c := newSettled(t, Options{Routers: n, Seed: uint64(n)})
		t.Logf("%d routers agree after %.1f s", n, c.Now-epoch)
	}
}

func TestDeathIsDetectedByAll(t *testing.T) {
	for _, n := range []int{3, 12, 60, 300} {
		c := newSettled(t, Options{Routers: n, Seed: 7})
		c.Kill(c.Nodes[n/3])
		took := c.RunUntilAgreed(30)
		t.Logf("%d routers agree %.1f s after a death", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestMostKilledAtOnceAndRestarted(t *testing.T) {
	for _, n := range []int{5, 12, 100} {
		c := newSettled(t, Options{Routers: n, Seed: 9})
		for i := range n * 7 / 10 {
			c.Kill(c.Nodes[n-1-i])
		}
		c.Run(20)
		for _, l := range c.Running() {
			assert.Equal(t, membership.CutOff, l.Machine.Certainty(), "whether they died or are cut off can't be known")
			assert.Len(t, c.Running(), l.Machine.Count())
		}
		for i := range n * 7 / 10 {
			c.Start(c.Nodes[n-1-i])
		}
		took := c.RunUntilAgreed(60)
		t.Logf("%d routers agree %.1f s after most are back", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestHalvesMergeAfterPartition(t *testing.T) {
	c := newSettled(t, Options{Routers: 20, Seed: 3})
	half := map[*Node]bool{}
	for _, n := range c.Nodes[:9] {
		half[n] = true
	}
	c.Partition(func(a, b *Node) bool { return half[a] == half[b] })
	c.Run(20)
	assert.Equal(t, membership.CutOff, c.Nodes[0].Machine.Certainty())
	assert.Equal(t, 9, c.Nodes[0].Machine.Count())
	assert.Equal(t, membership.Settled, c.Nodes[19].Machine.Certainty(), "the larger half goes on")
	c.Partition(nil)
	took := c.RunUntilAgreed(120)
	t.Logf("agreed %.1f s after the cut healed", took)
	assert.Greater(t, took, 0.0)
}

// assignGroups tells by a list of sizes which part of the crowd a router is in.
func assignGroups(c *Simulation, sizes ...int) map[*Node]int {
	out, i := map[*Node]int{}, 0
	for part, size := range sizes {
		for range size {
			out[c.Nodes[i]] = part
			i++
		}
	}
	return out
}

func assertAgrees(t *testing.T, c *Simulation, within float64, why string) {
	took := c.RunUntilAgreed(within)
	assert.GreaterOrEqual(t, took, 0.0, why)
	t.Logf("%s: agreed after %.1f s", why, took)
}

func TestAllPartitionKindsHeal(t *testing.T) {
	for name, passes := range map[string]func(c *Simulation, in map[*Node]int) func(a, b *Node) bool{
		"thirds": func(_ *Simulation, in map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return in[a] == in[b] }
		},
		"one way": func(_ *Simulation, in map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return in[a] <= in[b] }
		},
		"one off": func(c *Simulation, _ map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return a != c.Nodes[3] && b != c.Nodes[3] }
		},
		"one is deaf": func(c *Simulation, _ map[*Node]int) func(a, b *Node) bool {
			return func(_, b *Node) bool { return b != c.Nodes[3] }
		},
	} {
		c := newSettled(t, Options{Routers: 15, Seed: 4})
		c.Partition(passes(c, assignGroups(c, 5, 5, 5)))
		c.Run(25)
		c.Partition(nil)
		assertAgrees(t, c, 120, name)
	}
}

// Two that can't hear each other while all others hear both: nobody is given up for it.
func TestOneBrokenLinkCausesNoFalseDeath(t *testing.T) {
	c := newSettled(t, Options{Routers: 12, Seed: 5})
	var m Measure
	*c.watchFalseDeaths(&m) = true
	c.Partition(func(a, b *Node) bool { return a != c.Nodes[2] || b != c.Nodes[7] })
	c.Run(120)
	assert.Zero(t, m.FalseDeaths)
	assertAgrees(t, c, 5, "with the link still cut")
}

func TestRollingRestart(t *testing.T) {
	c := newSettled(t, Options{Routers: 30, Seed: 6})
	for i := range 10 {
		for _, n := range c.Nodes[3*i : 3*i+3] {
			c.Leave(n)
			c.After(1, func() { c.Start(n) })
		}
		c.Run(2)
	}
	assertAgrees(t, c, 30, "after a rolling restart")
}

func TestFlappingRouterConverges(t *testing.T) {
	c := newSettled(t, Options{Routers: 12, Seed: 7})
	for range 20 {
		c.Kill(c.Nodes[5])
		c.Run(1.5)
		c.Start(c.Nodes[5])
		c.Run(1.5)
	}
	assertAgrees(t, c, 30, "after a minute of flapping")
}

// A process that was stopped goes on in the belief of half a minute ago: it accuses nobody for that, and is not sure until it
// has heard of others.
func TestPausedRouterAccusesNobody(t *testing.T) {
	c := newSettled(t, Options{Routers: 12, Seed: 8})
	var m Measure
	c.Pause(c.Nodes[4])
	c.Run(30)
	for _, n := range c.Running() {
		assert.False(t, n.Machine.Contains(c.Nodes[4].Name))
	}
	*c.watchFalseDeaths(&m) = true
	c.Resume(c.Nodes[4])
	assert.NotEqual(t, membership.Settled, c.Nodes[4].Machine.Certainty())
	assertAgrees(t, c, 30, "after the pause")
	assert.Zero(t, m.FalseDeaths)
	assert.Greater(t, c.Nodes[4].Machine.View().Members[c.Nodes[4].Machine.View().SelfIndex].Incarnation, uint32(0), "it has refuted")
}

// The newer start of a name has it. The older says so, is alone, and takes the name again when the newer is gone.
func TestDuplicateName(t *testing.T) {
	c := newSettled(t, Options{Routers: 6, Seed: 9})
	older := c.Nodes[2]
	newer := &Node{Name: older.Name, Address: "10.0.0.7:7500", sim: c}
	c.Nodes = append(c.Nodes, newer)
	c.Start(newer)
	c.Run(10)
	assert.Equal(t, membership.Alone, older.Machine.Certainty())
	for _, n := range c.Nodes {
		if n != older {
			assert.Equal(t, 6, n.Machine.Count())
			assert.Equal(t, membership.Settled, n.Machine.Certainty(), n.Address)
		}
	}
	c.Kill(newer)
	assertAgrees(t, c, 12, "the older alone has the name") // it took 24 s with real processes: the next call at a seed was far off
}

// A clock that was set back gives a smaller start: at the same address it can only be the same router.
func TestSmallerStartNumberIsRaised(t *testing.T) {
	c := newSettled(t, Options{Routers: 5, Seed: 10})
	n := c.Nodes[1]
	before := n.Machine.SelfID().Start
	c.Kill(n)
	s := c.Settings
	s.Self, s.Listen, s.Seeds = membership.ID{Name: n.Name, Start: before - 5000}, n.Address, []string{c.Nodes[0].Address}
	n.Machine = membership.New(s, 1, c.Now)
	n.scheduleWake()
	assertAgrees(t, c, 30, "though its start was smaller")
	assert.Greater(t, n.Machine.SelfID().Start, before)
}

func TestJoinAfterAllSeedsWereDown(t *testing.T) {
	c := New(Options{Routers: 6, Seed: 11})
	for _, n := range c.Nodes[1:] {
		if n != c.Nodes[3] {
			c.Start(n)
		}
	}
	c.Run(20)
	for _, n := range c.Running() {
		assert.Equal(t, membership.Alone, n.Machine.Certainty(), "nobody is found")
	}
	c.Start(c.Nodes[0])
	c.Start(c.Nodes[3])
	assertAgrees(t, c, 30, "once a seed is there")
}

// All restarted while a cut lay between two pairs: each pair found itself and no other, and had nothing to miss.
func TestSeparatePairsMergeThroughSeeds(t *testing.T) {
	c := New(Options{Routers: 4, Seed: 12}) // seeds are the first and the third
	c.Partition(func(a, b *Node) bool {
		return (a == c.Nodes[1] || a == c.Nodes[3]) == (b == c.Nodes[1] || b == c.Nodes[3])
	})
	c.StartAll()
	one, other := c.Nodes[1], c.Nodes[3]
	c.After(1.1, func() {
		one.Machine.Receive(c.Now, &membership.Message{Kind: membership.Gossip, From: other.Machine.SelfMember()})
	})
	c.Run(5)
	assert.Equal(t, 2, one.Machine.Count())
	c.Partition(nil)
	assertAgrees(t, c, 8, "pairs")
}

// Whatever goes wrong, drawn by a seed: when it has ended, all that run agree.
func TestAgreementAfterRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		c := newSettled(t, Options{Routers: 5 + int(seed)*2, Seed: 100 + seed, Loss: 0.05 * float64(seed%4)})
		for range 8 {
			n := c.Nodes[c.rng.IntN(len(c.Nodes))]
			switch c.rng.IntN(6) {
			case 0:
				c.Kill(n)
			case 1:
				c.Kill(n)
				c.Start(n)
			case 2:
				if n.Machine != nil && !n.Paused {
					c.Leave(n)
				}
			case 3:
				if n.Machine != nil {
					c.Pause(n)
				}
			case 4:
				in := assignGroups(c, len(c.Nodes)/2)
				oneWay := c.rng.IntN(2) == 0
				c.Partition(func(a, b *Node) bool {
					_, x := in[a]
					_, y := in[b]
					return x == y || oneWay && x
				})
			case 5:
				c.Partition(nil)
			}
			c.Run(4 * c.rng.Float64())
		}
		c.Partition(nil)
		for _, n := range c.Nodes {
			c.Resume(n)
			if n.Machine == nil && c.rng.IntN(3) > 0 {
				c.Start(n)
			}
		}
		if len(c.Running()) < len(c.Nodes) { // who is missing may be cut off: that takes its time
			c.Run(c.Settings.AcceptLossAfter)
		}
		assertAgrees(t, c, 180, "seed")
	}
}
