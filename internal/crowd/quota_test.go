package crowd

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/shares"
)

func defaultQuota() *QuotaOptions {
	return &QuotaOptions{Total: 6, Window: 1, Engines: 6, ReplaceInterval: 2, BatchRate: 60, LargeFraction: 0.05, ClockDrift: 0.004}
}

// injectFaults lets everything go wrong that a fleet meets, drawn by the play's seed.
func (sim *Simulation) injectFaults(every float64) {
	chance := sim.Stats.rng
	some := func() (out []*Node) {
		for _, n := range sim.Nodes {
			if chance.IntN(3) == 0 {
				out = append(out, n)
			}
		}
		return out
	}
	long := 0.2 + 6*chance.Float64()
	switch chance.IntN(7) {
	case 0:
		for _, n := range some() {
			sim.Kill(n)
			sim.After(chance.Float64()*long, func() {
				if n.Machine == nil {
					sim.Start(n)
				}
			})
		}
	case 1:
		for _, n := range some() {
			if n.Machine != nil && !n.Paused {
				sim.Pause(n)
				sim.After(long, func() { sim.Resume(n) })
			}
		}
	case 2: // in two, or three
		parts := map[*Node]int{}
		for _, n := range sim.Nodes {
			parts[n] = chance.IntN(2 + chance.IntN(2))
		}
		sim.Partition(func(a, b *Node) bool { return parts[a] == parts[b] })
		sim.After(long, func() { sim.Partition(nil) })
	case 3: // one way
		deaf := map[*Node]bool{}
		for _, n := range some() {
			deaf[n] = true
		}
		sim.Partition(func(_, b *Node) bool { return !deaf[b] })
		sim.After(long, func() { sim.Partition(nil) })
	case 4: // all in turn
		for i, n := range sim.Nodes {
			sim.After(long*float64(i)/float64(len(sim.Nodes)), func() {
				if n.Machine != nil && !n.Paused {
					sim.Leave(n)
					sim.After(0.3, func() { sim.Start(n) })
				}
			})
		}
	case 5:
		sim.Loss, sim.Duplication, sim.Jitter = 0.33, 0.2, 0.05
		sim.After(long, func() { sim.Loss, sim.Duplication, sim.Jitter = 0, 0, 0 })
	case 6: // all at once, and again before what the first start was given is over
		for _, n := range sim.Nodes {
			sim.Kill(n)
			sim.Start(n)
		}
	}
	sim.After(every*(0.5+chance.Float64()), func() { sim.injectFaults(every) })
}

func (sim *Simulation) runWithFaults(seconds float64) {
	sim.StartAll()
	sim.Run(4)
	sim.injectFaults(2)
	sim.Run(seconds)
}

// Whatever goes wrong, no engine gets more than it bears, of all routers together.
func TestQuotaTotalIsNeverExceeded(t *testing.T) {
	sent, stood := 0, 0
	for seed := range uint64(20) {
		options := defaultQuota()
		options.PauseProbability = 0.05
		if seed%4 == 0 {
			options.Settings = shares.Defaults()
			options.Settings.FixedFraction = 0
		}
		sim := New(Options{Routers: 3 + int(seed)%10, Seed: seed, Quota: options, Jitter: 0.001})
		sim.runWithFaults(40)
		require.Empty(t, sim.Stats.Violations, "seed %d, %d routers", seed, sim.Routers)
		sent, stood = sent+sim.Stats.Sent, stood+sim.Stats.Expired
	}
	t.Log(sent, "sent,", stood, "not, since what allowed them had ended")
	assert.Greater(t, sent, 10000)
	assert.Greater(t, stood, 10)
}

// A number of routers in settings that is wrong, for all or for one, does not pass the whole once routers know each other.
func TestWrongRouterCountKeepsQuotaTotal(t *testing.T) {
	for seed, told := range []int{6, 3, 1} {
		options := defaultQuota()
		options.ConfiguredRouters, options.BatchRate, options.Settings, options.ReplaceInterval = told, 400, shares.Defaults(), 0
		options.Settings.FixedFraction = 0.5
		sim := New(Options{Routers: 12, Seed: uint64(seed), Quota: options})
		sim.StartAll()
		sim.Run(6) // fixed parts alone were twice, four and twelve times the firm share
		sim.Stats.Violations, sim.Stats.PeakShare = nil, 0
		sim.Run(8)
		assert.Empty(t, sim.Stats.Violations, "told %d", told)
		assert.Greater(t, sim.Stats.PeakShare, 0.3)
	}
}

// What it rests on: clocks whose rates differ by more than the bound break it.
func TestQuotaIsExceededWithoutClockDriftBound(t *testing.T) {
	broken := 0
	for seed := range uint64(12) {
		options := defaultQuota()
		options.Settings, options.ClockDrift, options.BatchRate, options.LargeFraction = shares.Defaults(), 0.6, 120, 0.2
		options.Settings.MaxDrift = 0
		sim := New(Options{Routers: 8, Seed: seed, Quota: options})
		sim.runWithFaults(40)
		broken += len(sim.Stats.Violations)
	}
	assert.Positive(t, broken)
}

// A heavy batch fits no fixed part of many; with parts that move it is sent within one exchange.
func TestLargeBatchGetsQuota(t *testing.T) {
	for _, fixed := range []bool{true, false} {
		options := defaultQuota()
		options.BatchRate, options.Fixed = 10, fixed
		sim := New(Options{Routers: 24, Seed: 5, Quota: options})
		sim.StartAll()
		sim.Run(30)
		stats := sim.Stats
		slices.Sort(stats.LargeWaitTimes)
		t.Log("fixed", fixed, "heavy", stats.Large, "sent", stats.Sent, "of", stats.Batches, "most", stats.PeakShare)
		if fixed {
			assert.Zero(t, stats.Large[1])
			continue
		}
		require.NotEmpty(t, stats.LargeWaitTimes)
		t.Logf("heavy: median %.4f s, longest %.3f s", stats.LargeWaitTimes[len(stats.LargeWaitTimes)/2], stats.LargeWaitTimes[len(stats.LargeWaitTimes)-1])
		assert.Less(t, stats.LargeWaitTimes[len(stats.LargeWaitTimes)/2], 0.05)
		assert.Greater(t, stats.Large[1]*10, stats.Large[0]*8)
	}
}

// Of a dead router's part nine tenths are usable again, and the bursar's death closes the books for a stated time.
func TestDeadRouterQuotaIsReclaimed(t *testing.T) {
	for _, who := range []string{"a holder", "the bursar", "seven in ten"} {
		options := defaultQuota()
		options.ReplaceInterval, options.BatchRate, options.LargeFraction, options.Settings = 0, 400, 0, shares.Defaults()
		sim := New(Options{Routers: 20, Seed: 3, Quota: options})
		sim.StartAll()
		sim.Run(15)
		bursar := slices.IndexFunc(sim.Nodes, func(n *Node) bool { return n.quota.machine.State(n.localTime()).IsCoordinator })
		require.GreaterOrEqual(t, bursar, 0)
		before := mean(sim.Stats.UsedShares[len(sim.Stats.UsedShares)-20:])
		switch who {
		case "a holder":
			sim.Kill(sim.Nodes[(bursar+1)%20])
		case "the bursar":
			sim.Kill(sim.Nodes[bursar])
		default:
			for i := range 14 {
				sim.Kill(sim.Nodes[(bursar+i)%20])
			}
		}
		sim.Run(10)
		after := mean(sim.Stats.UsedShares[len(sim.Stats.UsedShares)-20:])
		t.Logf("%s: %.3f of the wholes before, %.3f ten seconds later", who, before, after)
		if who == "seven in ten" { // most keepers may be dead: then the firm parts of the living are all there is
			continue
		}
		assert.Greater(t, after, 0.9*before)
	}
}

// A bursar who leaves in peace hands his books over, so that the next one gives at once and still passes no whole.
func TestLeavingCoordinatorHandsOver(t *testing.T) {
	gap := map[bool]float64{}
	for _, leaves := range []bool{true, false} {
		options := defaultQuota()
		options.ReplaceInterval, options.BatchRate, options.LargeFraction, options.Settings = 0, 800, 0, shares.Defaults()
		options.Settings.FixedFraction = 0
		sim := New(Options{Routers: 9, Seed: 8, Quota: options})
		sim.StartAll()
		sim.Run(12)
		i := slices.IndexFunc(sim.Nodes, sim.isCoordinator)
		require.GreaterOrEqual(t, i, 0)
		if leaves {
			sim.Leave(sim.Nodes[i])
		} else {
			sim.Kill(sim.Nodes[i])
		}
		for from, last, sent := sim.Now, sim.Now, sim.Stats.Sent; sim.Now < from+12; {
			sim.Run(0.05)
			if sim.Stats.Sent > sent {
				gap[leaves] = max(gap[leaves], sim.Now-last)
				last, sent = sim.Now, sim.Stats.Sent
			}
		}
		require.Empty(t, sim.Stats.Violations)
	}
	t.Log("seconds without a batch, when he leaves and when he dies:", gap)
	assert.Less(t, gap[true], 1.5)
	assert.Less(t, gap[false], 3.0, "it was 4.3 before keepers knew what is given")
	assert.Greater(t, gap[false], gap[true])
}

func TestQuotaSimulationIsDeterministic(t *testing.T) {
	var said []string
	for range 2 {
		sim := New(Options{Routers: 7, Seed: 11, Quota: defaultQuota(), Loss: 0.05})
		sim.runWithFaults(15)
		said = append(said, fmt.Sprint(sim.Packets, sim.Stats.Sent, sim.Stats.WorkDone, sim.Stats.PeakShare))
	}
	assert.Equal(t, said[0], said[1])
}
