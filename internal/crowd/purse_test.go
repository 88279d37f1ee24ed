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
func (c *Simulation) injectFaults(every float64) {
	chance := c.Stats.rng
	some := func() (out []*Node) {
		for _, n := range c.Nodes {
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
			c.Kill(n)
			c.After(chance.Float64()*long, func() {
				if n.Machine == nil {
					c.Start(n)
				}
			})
		}
	case 1:
		for _, n := range some() {
			if n.Machine != nil && !n.Paused {
				c.Pause(n)
				c.After(long, func() { c.Resume(n) })
			}
		}
	case 2: // in two, or three
		parts := map[*Node]int{}
		for _, n := range c.Nodes {
			parts[n] = chance.IntN(2 + chance.IntN(2))
		}
		c.Partition(func(a, b *Node) bool { return parts[a] == parts[b] })
		c.After(long, func() { c.Partition(nil) })
	case 3: // one way
		deaf := map[*Node]bool{}
		for _, n := range some() {
			deaf[n] = true
		}
		c.Partition(func(_, b *Node) bool { return !deaf[b] })
		c.After(long, func() { c.Partition(nil) })
	case 4: // all in turn
		for i, n := range c.Nodes {
			c.After(long*float64(i)/float64(len(c.Nodes)), func() {
				if n.Machine != nil && !n.Paused {
					c.Leave(n)
					c.After(0.3, func() { c.Start(n) })
				}
			})
		}
	case 5:
		c.Loss, c.Duplication, c.Jitter = 0.33, 0.2, 0.05
		c.After(long, func() { c.Loss, c.Duplication, c.Jitter = 0, 0, 0 })
	case 6: // all at once, and again before what the first start was given is over
		for _, n := range c.Nodes {
			c.Kill(n)
			c.Start(n)
		}
	}
	c.After(every*(0.5+chance.Float64()), func() { c.injectFaults(every) })
}

func (c *Simulation) runWithFaults(seconds float64) {
	c.StartAll()
	c.Run(4)
	c.injectFaults(2)
	c.Run(seconds)
}

// Whatever goes wrong, no engine gets more than it bears, of all routers together.
func TestQuotaTotalIsNeverExceeded(t *testing.T) {
	sent, stood := 0, 0
	for seed := range uint64(20) {
		p := defaultQuota()
		p.PauseProbability = 0.05
		if seed%4 == 0 {
			p.Settings = shares.Defaults()
			p.Settings.FixedFraction = 0
		}
		c := New(Options{Routers: 3 + int(seed)%10, Seed: seed, Quota: p, Jitter: 0.001})
		c.runWithFaults(40)
		require.Empty(t, c.Stats.Violations, "seed %d, %d routers", seed, c.Routers)
		sent, stood = sent+c.Stats.Sent, stood+c.Stats.Expired
	}
	t.Log(sent, "sent,", stood, "not, since what allowed them had ended")
	assert.Greater(t, sent, 10000)
	assert.Greater(t, stood, 10)
}

// A number of routers in settings that is wrong, for all or for one, does not pass the whole once routers know each other.
func TestWrongRouterCountKeepsQuotaTotal(t *testing.T) {
	for seed, told := range []int{6, 3, 1} {
		p := defaultQuota()
		p.ConfiguredRouters, p.BatchRate, p.Settings, p.ReplaceInterval = told, 400, shares.Defaults(), 0
		p.Settings.FixedFraction = 0.5
		c := New(Options{Routers: 12, Seed: uint64(seed), Quota: p})
		c.StartAll()
		c.Run(6) // fixed parts alone were twice, four and twelve times the firm share
		c.Stats.Violations, c.Stats.PeakShare = nil, 0
		c.Run(8)
		assert.Empty(t, c.Stats.Violations, "told %d", told)
		assert.Greater(t, c.Stats.PeakShare, 0.3)
	}
}

// What it rests on: clocks whose rates differ by more than the bound break it.
func TestQuotaIsExceededWithoutClockDriftBound(t *testing.T) {
	broken := 0
	for seed := range uint64(12) {
		p := defaultQuota()
		p.Settings, p.ClockDrift, p.BatchRate, p.LargeFraction = shares.Defaults(), 0.6, 120, 0.2
		p.Settings.MaxDrift = 0
		c := New(Options{Routers: 8, Seed: seed, Quota: p})
		c.runWithFaults(40)
		broken += len(c.Stats.Violations)
	}
	assert.Positive(t, broken)
}

// A heavy batch fits no fixed part of many; with parts that move it is sent within one exchange.
func TestLargeBatchGetsQuota(t *testing.T) {
	for _, fixed := range []bool{true, false} {
		p := defaultQuota()
		p.BatchRate, p.Fixed = 10, fixed
		c := New(Options{Routers: 24, Seed: 5, Quota: p})
		c.StartAll()
		c.Run(30)
		l := c.Stats
		slices.Sort(l.LargeWaitTimes)
		t.Log("fixed", fixed, "heavy", l.Large, "sent", l.Sent, "of", l.Batches, "most", l.PeakShare)
		if fixed {
			assert.Zero(t, l.Large[1])
			continue
		}
		require.NotEmpty(t, l.LargeWaitTimes)
		t.Logf("heavy: median %.4f s, longest %.3f s", l.LargeWaitTimes[len(l.LargeWaitTimes)/2], l.LargeWaitTimes[len(l.LargeWaitTimes)-1])
		assert.Less(t, l.LargeWaitTimes[len(l.LargeWaitTimes)/2], 0.05)
		assert.Greater(t, l.Large[1]*10, l.Large[0]*8)
	}
}

// Of a dead router's part nine tenths are usable again, and the bursar's death closes the books for a stated time.
func TestDeadRouterQuotaIsReclaimed(t *testing.T) {
	for _, who := range []string{"a holder", "the bursar", "seven in ten"} {
		p := defaultQuota()
		p.ReplaceInterval, p.BatchRate, p.LargeFraction, p.Settings = 0, 400, 0, shares.Defaults()
		c := New(Options{Routers: 20, Seed: 3, Quota: p})
		c.StartAll()
		c.Run(15)
		bursar := slices.IndexFunc(c.Nodes, func(n *Node) bool { return n.quota.machine.State(n.localTime()).IsCoordinator })
		require.GreaterOrEqual(t, bursar, 0)
		before := mean(c.Stats.UsedShares[len(c.Stats.UsedShares)-20:])
		switch who {
		case "a holder":
			c.Kill(c.Nodes[(bursar+1)%20])
		case "the bursar":
			c.Kill(c.Nodes[bursar])
		default:
			for i := range 14 {
				c.Kill(c.Nodes[(bursar+i)%20])
			}
		}
		c.Run(10)
		after := mean(c.Stats.UsedShares[len(c.Stats.UsedShares)-20:])
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
		p := defaultQuota()
		p.ReplaceInterval, p.BatchRate, p.LargeFraction, p.Settings = 0, 800, 0, shares.Defaults()
		p.Settings.FixedFraction = 0
		c := New(Options{Routers: 9, Seed: 8, Quota: p})
		c.StartAll()
		c.Run(12)
		i := slices.IndexFunc(c.Nodes, c.isCoordinator)
		require.GreaterOrEqual(t, i, 0)
		if leaves {
			c.Leave(c.Nodes[i])
		} else {
			c.Kill(c.Nodes[i])
		}
		for from, last, sent := c.Now, c.Now, c.Stats.Sent; c.Now < from+12; {
			c.Run(0.05)
			if c.Stats.Sent > sent {
				gap[leaves] = max(gap[leaves], c.Now-last)
				last, sent = c.Now, c.Stats.Sent
			}
		}
		require.Empty(t, c.Stats.Violations)
	}
	t.Log("seconds without a batch, when he leaves and when he dies:", gap)
	assert.Less(t, gap[true], 1.5)
	assert.Less(t, gap[false], 3.0, "it was 4.3 before keepers knew what is given")
	assert.Greater(t, gap[false], gap[true])
}

func TestQuotaSimulationIsDeterministic(t *testing.T) {
	var said []string
	for range 2 {
		c := New(Options{Routers: 7, Seed: 11, Quota: defaultQuota(), Loss: 0.05})
		c.runWithFaults(15)
		said = append(said, fmt.Sprint(c.Packets, c.Stats.Sent, c.Stats.WorkDone, c.Stats.PeakShare))
	}
	assert.Equal(t, said[0], said[1])
}
