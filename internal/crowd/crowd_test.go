package crowd

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/membership"
)

// newSettled starts a simulation and runs it until all routers agree.
func newSettled(t *testing.T, options Options) *Simulation {
	sim := New(options)
	sim.StartAll()
	sim.Run(1.1)
	took := sim.RunUntilAgreed(60)
	require.Greater(t, took, 0.0, "routers did not find each other")
	return sim
}

func TestRoutersFindEachOtherBySeeds(t *testing.T) {
	for _, n := range []int{2, 3, 12, 60, 300} {
		sim := newSettled(t, Options{Routers: n, Seed: uint64(n)})
		t.Logf("%d routers agree after %.1f s", n, sim.Now-epoch)
	}
}

func TestDeathIsDetectedByAll(t *testing.T) {
	for _, n := range []int{3, 12, 60, 300} {
		sim := newSettled(t, Options{Routers: n, Seed: 7})
		sim.Kill(sim.Nodes[n/3])
		took := sim.RunUntilAgreed(30)
		t.Logf("%d routers agree %.1f s after a death", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestMostKilledAtOnceAndRestarted(t *testing.T) {
	for _, n := range []int{5, 12, 100} {
		sim := newSettled(t, Options{Routers: n, Seed: 9})
		for i := range n * 7 / 10 {
			sim.Kill(sim.Nodes[n-1-i])
		}
		sim.Run(20)
		for _, l := range sim.Running() {
			assert.Equal(t, membership.CutOff, l.Machine.Certainty(), "a router cannot tell whether the others died or are partitioned")
			assert.Len(t, sim.Running(), l.Machine.Count())
		}
		for i := range n * 7 / 10 {
			sim.Start(sim.Nodes[n-1-i])
		}
		took := sim.RunUntilAgreed(60)
		t.Logf("%d routers agree %.1f s after most were restarted", n, took)
		assert.Greater(t, took, 0.0)
	}
}

func TestHalvesMergeAfterPartition(t *testing.T) {
	sim := newSettled(t, Options{Routers: 20, Seed: 3})
	half := map[*Node]bool{}
	for _, n := range sim.Nodes[:9] {
		half[n] = true
	}
	sim.Partition(func(a, b *Node) bool { return half[a] == half[b] })
	sim.Run(20)
	assert.Equal(t, membership.CutOff, sim.Nodes[0].Machine.Certainty())
	assert.Equal(t, 9, sim.Nodes[0].Machine.Count())
	assert.Equal(t, membership.Settled, sim.Nodes[19].Machine.Certainty(), "the larger half continues")
	sim.Partition(nil)
	took := sim.RunUntilAgreed(120)
	t.Logf("agreed %.1f s after the partition healed", took)
	assert.Greater(t, took, 0.0)
}

// assignGroups assigns consecutive routers to groups of the given sizes and returns the group of each router.
func assignGroups(sim *Simulation, sizes ...int) map[*Node]int {
	out, i := map[*Node]int{}, 0
	for part, size := range sizes {
		for range size {
			out[sim.Nodes[i]] = part
			i++
		}
	}
	return out
}

// assertAgrees runs until all routers agree and fails the test if they do not within the given number of seconds.
func assertAgrees(t *testing.T, sim *Simulation, within float64, why string) {
	took := sim.RunUntilAgreed(within)
	assert.GreaterOrEqual(t, took, 0.0, why)
	t.Logf("%s: agreed after %.1f s", why, took)
}

func TestAllPartitionKindsHeal(t *testing.T) {
	for name, passes := range map[string]func(sim *Simulation, in map[*Node]int) func(a, b *Node) bool{
		"thirds": func(_ *Simulation, in map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return in[a] == in[b] }
		},
		"one way": func(_ *Simulation, in map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return in[a] <= in[b] }
		},
		"one isolated": func(sim *Simulation, _ map[*Node]int) func(a, b *Node) bool {
			return func(a, b *Node) bool { return a != sim.Nodes[3] && b != sim.Nodes[3] }
		},
		"one receives nothing": func(sim *Simulation, _ map[*Node]int) func(a, b *Node) bool {
			return func(_, b *Node) bool { return b != sim.Nodes[3] }
		},
	} {
		sim := newSettled(t, Options{Routers: 15, Seed: 4})
		sim.Partition(passes(sim, assignGroups(sim, 5, 5, 5)))
		sim.Run(25)
		sim.Partition(nil)
		assertAgrees(t, sim, 120, name)
	}
}

// Two routers cannot reach each other while all others reach both: neither may be declared dead.
func TestOneBrokenLinkCausesNoFalseDeath(t *testing.T) {
	sim := newSettled(t, Options{Routers: 12, Seed: 5})
	var m Measure
	*sim.watchFalseDeaths(&m) = true
	sim.Partition(func(a, b *Node) bool { return a != sim.Nodes[2] || b != sim.Nodes[7] })
	sim.Run(120)
	assert.Zero(t, m.FalseDeaths)
	assertAgrees(t, sim, 5, "with the link still broken")
}

func TestRollingRestart(t *testing.T) {
	sim := newSettled(t, Options{Routers: 30, Seed: 6})
	for i := range 10 {
		for _, n := range sim.Nodes[3*i : 3*i+3] {
			sim.Leave(n)
			sim.After(1, func() { sim.Start(n) })
		}
		sim.Run(2)
	}
	assertAgrees(t, sim, 30, "after a rolling restart")
}

func TestFlappingRouterConverges(t *testing.T) {
	sim := newSettled(t, Options{Routers: 12, Seed: 7})
	for range 20 {
		sim.Kill(sim.Nodes[5])
		sim.Run(1.5)
		sim.Start(sim.Nodes[5])
		sim.Run(1.5)
	}
	assertAgrees(t, sim, 30, "after a minute of flapping")
}

// A process that was paused continues with a view that is 30 seconds old. It must not accuse other routers because of that, and
// must not report a settled view until it has received messages from others.
func TestPausedRouterAccusesNobody(t *testing.T) {
	sim := newSettled(t, Options{Routers: 12, Seed: 8})
	var m Measure
	sim.Pause(sim.Nodes[4])
	sim.Run(30)
	for _, n := range sim.Running() {
		assert.False(t, n.Machine.Contains(sim.Nodes[4].Name))
	}
	*sim.watchFalseDeaths(&m) = true
	sim.Resume(sim.Nodes[4])
	assert.NotEqual(t, membership.Settled, sim.Nodes[4].Machine.Certainty())
	assertAgrees(t, sim, 30, "after the pause")
	assert.Zero(t, m.FalseDeaths)
	assert.Greater(t, sim.Nodes[4].Machine.View().Members[sim.Nodes[4].Machine.View().SelfIndex].Incarnation, uint32(0), "the router refuted its own death")
}

// Two processes use one name: the one that started later owns it. The older one reports itself as alone and takes the name back
// when the newer one is gone.
func TestDuplicateName(t *testing.T) {
	sim := newSettled(t, Options{Routers: 6, Seed: 9})
	older := sim.Nodes[2]
	newer := &Node{Name: older.Name, Address: "10.0.0.7:7500", sim: sim}
	sim.Nodes = append(sim.Nodes, newer)
	sim.Start(newer)
	sim.Run(10)
	assert.Equal(t, membership.Alone, older.Machine.Certainty())
	for _, n := range sim.Nodes {
		if n != older {
			assert.Equal(t, 6, n.Machine.Count())
			assert.Equal(t, membership.Settled, n.Machine.Certainty(), n.Address)
		}
	}
	sim.Kill(newer)
	assertAgrees(t, sim, 12, "the older process owns the name again") // took 24 s with real processes when the next contact with a seed was far off
}

// A clock that was set back gives a restarted router a smaller start number. At the same address it can only be the same router,
// so the number is raised.
func TestSmallerStartNumberIsRaised(t *testing.T) {
	sim := newSettled(t, Options{Routers: 5, Seed: 10})
	n := sim.Nodes[1]
	before := n.Machine.SelfID().Start
	sim.Kill(n)
	s := sim.Settings
	s.Self, s.Listen, s.Seeds = membership.ID{Name: n.Name, Start: before - 5000}, n.Address, []string{sim.Nodes[0].Address}
	n.Machine = membership.New(s, 1, sim.Now)
	n.scheduleWake()
	assertAgrees(t, sim, 30, "despite the smaller start number")
	assert.Greater(t, n.Machine.SelfID().Start, before)
}

func TestJoinAfterAllSeedsWereDown(t *testing.T) {
	sim := New(Options{Routers: 6, Seed: 11})
	for _, n := range sim.Nodes[1:] {
		if n != sim.Nodes[3] {
			sim.Start(n)
		}
	}
	sim.Run(20)
	for _, n := range sim.Running() {
		assert.Equal(t, membership.Alone, n.Machine.Certainty(), "no other router is found")
	}
	sim.Start(sim.Nodes[0])
	sim.Start(sim.Nodes[3])
	assertAgrees(t, sim, 30, "once a seed is running")
}

// All routers restart while a partition separates two pairs: the routers of each pair find only each other and do not know that
// others are missing.
func TestSeparatePairsMergeThroughSeeds(t *testing.T) {
	sim := New(Options{Routers: 4, Seed: 12}) // seeds are the first and the third
	sim.Partition(func(a, b *Node) bool {
		return (a == sim.Nodes[1] || a == sim.Nodes[3]) == (b == sim.Nodes[1] || b == sim.Nodes[3])
	})
	sim.StartAll()
	one, other := sim.Nodes[1], sim.Nodes[3]
	sim.After(1.1, func() {
		one.Machine.Receive(sim.Now, &membership.Message{Kind: membership.Gossip, From: other.Machine.SelfMember()})
	})
	sim.Run(5)
	assert.Equal(t, 2, one.Machine.Count())
	sim.Partition(nil)
	assertAgrees(t, sim, 8, "pairs")
}

// After a random sequence of faults has ended, all running routers agree.
func TestAgreementAfterRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		sim := newSettled(t, Options{Routers: 5 + int(seed)*2, Seed: 100 + seed, Loss: 0.05 * float64(seed%4)})
		for range 8 {
			n := sim.Nodes[sim.rng.IntN(len(sim.Nodes))]
			switch sim.rng.IntN(6) {
			case 0:
				sim.Kill(n)
			case 1:
				sim.Kill(n)
				sim.Start(n)
			case 2:
				if n.Machine != nil && !n.Paused {
					sim.Leave(n)
				}
			case 3:
				if n.Machine != nil {
					sim.Pause(n)
				}
			case 4:
				in := assignGroups(sim, len(sim.Nodes)/2)
				oneWay := sim.rng.IntN(2) == 0
				sim.Partition(func(a, b *Node) bool {
					_, x := in[a]
					_, y := in[b]
					return x == y || oneWay && x
				})
			case 5:
				sim.Partition(nil)
			}
			sim.Run(4 * sim.rng.Float64())
		}
		sim.Partition(nil)
		for _, n := range sim.Nodes {
			sim.Resume(n)
			if n.Machine == nil && sim.rng.IntN(3) > 0 {
				sim.Start(n)
			}
		}
		if len(sim.Running()) < len(sim.Nodes) { // missing routers may be partitioned; accepting their loss takes AcceptLossAfter
			sim.Run(sim.Settings.AcceptLossAfter)
		}
		assertAgrees(t, sim, 180, "seed")
	}
}
