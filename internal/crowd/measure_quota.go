package crowd

import (
	"math"
	"slices"

	"pitchfield/internal/shares"
)

// QuotaMeasure holds the results of the quota simulations for one number of routers. Durations of -1 were not reached within a
// minute; they are in seconds.
type QuotaMeasure struct {
	Routers        int
	Used           float64    // mean fraction of all quotas used at 150% of the load they allow
	Idle           float64    // mean fraction of all quotas held unused under the same load
	SkewedUsed     float64    // as Used, with 90% of the batches at 10% of the routers
	FixedUsed      float64    // as SkewedUsed, with the fixed division
	Wait           [2]float64 // queue time of sent batches at 20% load, in seconds: median, 99th percentile
	LargeWait      [2]float64 // the same for large batches
	LargeSent      float64    // fraction of large batches that was sent
	FixedLargeSent float64    // the same with the fixed division
	NewcomerWait   float64    // time until a newly started router sends its first batch, without fixed shares
	CoordinatorGap float64    // time without grants after the coordinator died, without fixed shares
	ReclaimTime    float64    // time until the quota of a dead router is reclaimed
	PacketRate     float64    // packets per router and second in addition to membership, at one batch per second and router
	ByteRate       float64    // bytes per router and second, likewise
	PeakShare      float64    // largest fraction of a quota used within a window in any of these runs
	Violations     []string   // exceeded quotas in any of these runs
}

const (
	quotaTotal         = 6.0  // work that each engine may receive per window of 1 second
	quotaEngines       = 24   // number of engines
	quotaSettleSeconds = 8.0  // time before a measurement starts
	quotaRunSeconds    = 20.0 // duration of a measurement
)

// MeasureQuota runs all quota simulations for a number of routers.
func MeasureQuota(routers int, seed uint64) QuotaMeasure {
	out := QuotaMeasure{Routers: routers, NewcomerWait: -1, CoordinatorGap: -1, ReclaimTime: -1}
	// startRun starts a simulation with edited options and lets it settle.
	startRun := func(edit func(options *QuotaOptions)) *Simulation {
		options := &QuotaOptions{Total: quotaTotal, Window: 1, Engines: quotaEngines, BatchRate: float64(routers), ClockDrift: 0.004, MaxWait: 3, Settings: shares.Defaults()}
		edit(options)
		sim := New(Options{Routers: routers, Seed: seed, Quota: options, PreJoined: true, Jitter: 0.0002})
		sim.StartAll()
		sim.Run(quotaSettleSeconds)
		return sim
	}
	// collect adds the peak and the violations of a run to the result.
	collect := func(sim *Simulation) {
		out.PeakShare = max(out.PeakShare, sim.Stats.PeakShare)
		out.Violations = append(out.Violations, sim.Stats.Violations...)
	}
	// fullLoad is the rate, in batches per second, at which small batches (2.2% of a quota on average) need all quotas.
	fullLoad := quotaEngines * quotaTotal / (quotaTotal * 0.022)
	// measureUsed returns the mean fraction of all quotas that is used within a window.
	measureUsed := func(sim *Simulation) float64 {
		sim.Stats.UsedShares, sim.Stats.IdleShares = nil, nil
		sim.Run(quotaRunSeconds)
		collect(sim)
		return mean(sim.Stats.UsedShares)
	}
	sim := startRun(func(options *QuotaOptions) { options.BatchRate = 1.5 * fullLoad })
	out.Used, out.Idle = measureUsed(sim), mean(sim.Stats.IdleShares)
	out.SkewedUsed = measureUsed(startRun(func(options *QuotaOptions) { options.BatchRate, options.SkewFraction = 1.5*fullLoad, 0.1 }))
	out.FixedUsed = measureUsed(startRun(func(options *QuotaOptions) {
		options.BatchRate, options.SkewFraction, options.Fixed = 1.5*fullLoad, 0.1, true
	}))

	for _, fixed := range []bool{true, false} {
		sim = startRun(func(options *QuotaOptions) {
			options.BatchRate, options.LargeFraction, options.Fixed = 0.2*fullLoad, 0.05, fixed
		})
		sim.Stats.WaitTimes, sim.Stats.LargeWaitTimes, sim.Stats.Large = nil, nil, [2]int{}
		sim.Run(quotaRunSeconds)
		collect(sim)
		share := float64(sim.Stats.Large[1]) / float64(max(sim.Stats.Large[0], 1))
		if fixed {
			out.FixedLargeSent = share
			continue
		}
		out.LargeSent, out.Wait, out.LargeWait = share, medianAndP99(sim.Stats.WaitTimes), medianAndP99(sim.Stats.LargeWaitTimes)
	}

	withoutFixedShares := func(options *QuotaOptions) { options.BatchRate, options.Settings.FixedFraction = 0.5*fullLoad, 0 }
	sim = startRun(withoutFixedShares)
	if newcomer := sim.Nodes[routers-1]; routers > 1 && !sim.isCoordinator(newcomer) {
		sim.Kill(newcomer)
		sim.Run(5)
		sim.Start(newcomer)
		from, sent := sim.Now, sim.Stats.SentByRouter[newcomer.Name]
		for sim.Now < from+timeoutSeconds && out.NewcomerWait < 0 {
			sim.Run(0.01)
			if sim.Stats.SentByRouter[newcomer.Name] > sent {
				out.NewcomerWait = sim.Now - from
			}
		}
	}
	collect(sim)

	sim = startRun(withoutFixedShares)
	if i := slices.IndexFunc(sim.Nodes, sim.isCoordinator); i >= 0 && routers > 2 {
		sim.Kill(sim.Nodes[i])
		from, last := sim.Now, sim.Stats.Sent
		sim.Run(0.5) // quota granted before the death is still spent
		for last = sim.Stats.Sent; sim.Now < from+timeoutSeconds && out.CoordinatorGap < 0; {
			sim.Run(0.05)
			if sim.Stats.Sent > last+routers/10 && slices.IndexFunc(sim.Nodes, sim.isCoordinator) >= 0 {
				out.CoordinatorGap = sim.Now - from
			}
		}
	}
	collect(sim)

	sim = startRun(withoutFixedShares)
	if i := slices.IndexFunc(sim.Nodes, sim.isCoordinator); i >= 0 && routers > 1 {
		victim := sim.Nodes[(i+1)%routers]
		sim.Kill(victim)
		from := sim.Now
		for sim.Now < from+timeoutSeconds && out.ReclaimTime < 0 {
			if sim.Nodes[i].quota.machine.Outstanding(victim.Name) == 0 {
				out.ReclaimTime = sim.Now - from
				break
			}
			sim.Run(0.05)
		}
	}
	collect(sim)

	// measureTraffic returns the packets and bytes per router and second.
	measureTraffic := func(edit func(options *QuotaOptions)) (packets, bytes float64) {
		sim := startRun(edit)
		p, b := sim.Packets, sim.Bytes
		sim.Run(quotaRunSeconds)
		collect(sim)
		n := quotaRunSeconds * float64(routers)
		return float64(sim.Packets-p) / n, (sim.Bytes - b) / n
	}
	with, bytesWith := measureTraffic(func(*QuotaOptions) {})
	without, bytesWithout := measureTraffic(func(options *QuotaOptions) { options.Fixed = true })
	out.PacketRate, out.ByteRate = with-without, bytesWith-bytesWithout
	return out
}

// isCoordinator reports whether a router is the quota coordinator.
func (sim *Simulation) isCoordinator(n *Node) bool {
	return n.quota != nil && n.quota.machine != nil && n.quota.machine.State(n.localTime()).IsCoordinator
}

func mean(all []float64) (sum float64) {
	for _, v := range all {
		sum += v / float64(len(all))
	}
	return sum
}

// medianAndP99 returns the median and the 99th percentile of a list, which it sorts; NaN for an empty list.
func medianAndP99(all []float64) [2]float64 {
	if len(all) == 0 {
		return [2]float64{math.NaN(), math.NaN()}
	}
	slices.Sort(all)
	return [2]float64{all[len(all)/2], all[len(all)*99/100]}
}
