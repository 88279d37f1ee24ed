package crowd

import (
	"math"
	"slices"

	"pitchfield/internal/shares"
)

// QuotaMeasure is what plays of divided budgets came to, for a number of routers.
type QuotaMeasure struct {
	Routers        int
	Used           float64    // of the wholes, within any window, where far more is wanted than there is
	Idle           float64    // of the wholes, in hands and not used, meanwhile
	SkewedUsed     float64    // used where nine in ten batches come to a tenth of the routers
	FixedUsed      float64    // the same with the fixed division
	Wait           [2]float64 // seconds until a batch is sent that there is room for: median, 99%
	LargeWait      [2]float64 // the same of heavy ones, and
	LargeSent      float64    // their share that was sent,
	FixedLargeSent float64    // and with the fixed division
	NewcomerWait   float64    // seconds until a newcomer's first batch is sent, without a firm part
	CoordinatorGap float64    // seconds without any credit after the bursar's death, likewise
	ReclaimTime    float64    // seconds until nothing counts any more that a dead router had
	PacketRate     float64    // a router and second, beyond what membership sends, at one batch a second of each router
	ByteRate       float64
	PeakShare      float64 // of a whole, used within a window, in any of these plays
	Violations     []string
}

const (
	quotaTotal         = 6.0
	quotaEngines       = 24
	quotaSettleSeconds = 8.0
	quotaRunSeconds    = 20.0
)

// MeasureQuota plays a number of routers through all of it.
func MeasureQuota(routers int, seed uint64) QuotaMeasure {
	out := QuotaMeasure{Routers: routers, NewcomerWait: -1, CoordinatorGap: -1, ReclaimTime: -1}
	play := func(edit func(p *QuotaOptions)) *Simulation {
		p := &QuotaOptions{Total: quotaTotal, Window: 1, Engines: quotaEngines, BatchRate: float64(routers), ClockDrift: 0.004, MaxWait: 3, Settings: shares.Defaults()}
		edit(p)
		c := New(Options{Routers: routers, Seed: seed, Quota: p, PreJoined: true, Jitter: 0.0002})
		c.StartAll()
		c.Run(quotaSettleSeconds)
		return c
	}
	seen := func(c *Simulation) {
		out.PeakShare = max(out.PeakShare, c.Stats.PeakShare)
		out.Violations = append(out.Violations, c.Stats.Violations...)
	}
	full := quotaEngines * quotaTotal / (quotaTotal * 0.022) // batches a second that want all there is
	took := func(c *Simulation) float64 {
		c.Stats.UsedShares, c.Stats.IdleShares = nil, nil
		c.Run(quotaRunSeconds)
		seen(c)
		return mean(c.Stats.UsedShares)
	}
	c := play(func(p *QuotaOptions) { p.BatchRate = 1.5 * full })
	out.Used, out.Idle = took(c), mean(c.Stats.IdleShares)
	out.SkewedUsed = took(play(func(p *QuotaOptions) { p.BatchRate, p.SkewFraction = 1.5*full, 0.1 }))
	out.FixedUsed = took(play(func(p *QuotaOptions) { p.BatchRate, p.SkewFraction, p.Fixed = 1.5*full, 0.1, true }))

	for _, fixed := range []bool{true, false} {
		c = play(func(p *QuotaOptions) { p.BatchRate, p.LargeFraction, p.Fixed = 0.2*full, 0.05, fixed })
		c.Stats.WaitTimes, c.Stats.LargeWaitTimes, c.Stats.Large = nil, nil, [2]int{}
		c.Run(quotaRunSeconds)
		seen(c)
		share := float64(c.Stats.Large[1]) / float64(max(c.Stats.Large[0], 1))
		if fixed {
			out.FixedLargeSent = share
			continue
		}
		out.LargeSent, out.Wait, out.LargeWait = share, medianAndP99(c.Stats.WaitTimes), medianAndP99(c.Stats.LargeWaitTimes)
	}

	unfirm := func(p *QuotaOptions) { p.BatchRate, p.Settings.FixedFraction = 0.5*full, 0 }
	c = play(unfirm)
	if fresh := c.Nodes[routers-1]; routers > 1 && !c.isCoordinator(fresh) {
		c.Kill(fresh)
		c.Run(5)
		c.Start(fresh)
		from, sent := c.Now, c.Stats.SentByRouter[fresh.Name]
		for c.Now < from+timeoutSeconds && out.NewcomerWait < 0 {
			c.Run(0.01)
			if c.Stats.SentByRouter[fresh.Name] > sent {
				out.NewcomerWait = c.Now - from
			}
		}
	}
	seen(c)

	c = play(unfirm)
	if i := slices.IndexFunc(c.Nodes, c.isCoordinator); i >= 0 && routers > 2 {
		c.Kill(c.Nodes[i])
		from, last := c.Now, c.Stats.Sent
		c.Run(0.5) // what was in hand is still used
		for last = c.Stats.Sent; c.Now < from+timeoutSeconds && out.CoordinatorGap < 0; {
			c.Run(0.05)
			if c.Stats.Sent > last+routers/10 && slices.IndexFunc(c.Nodes, c.isCoordinator) >= 0 {
				out.CoordinatorGap = c.Now - from
			}
		}
	}
	seen(c)

	c = play(unfirm)
	if i := slices.IndexFunc(c.Nodes, c.isCoordinator); i >= 0 && routers > 1 {
		victim := c.Nodes[(i+1)%routers]
		c.Kill(victim)
		from := c.Now
		for c.Now < from+timeoutSeconds && out.ReclaimTime < 0 {
			if c.Nodes[i].quota.machine.Outstanding(victim.Name) == 0 {
				out.ReclaimTime = c.Now - from
				break
			}
			c.Run(0.05)
		}
	}
	seen(c)

	rate := func(edit func(p *QuotaOptions)) (packets, bytes float64) {
		c := play(edit)
		p, b := c.Packets, c.Bytes
		c.Run(quotaRunSeconds)
		seen(c)
		n := quotaRunSeconds * float64(routers)
		return float64(c.Packets-p) / n, (c.Bytes - b) / n
	}
	with, bytesWith := rate(func(*QuotaOptions) {})
	without, bytesWithout := rate(func(p *QuotaOptions) { p.Fixed = true })
	out.PacketRate, out.ByteRate = with-without, bytesWith-bytesWithout
	return out
}

// isCoordinator tells whether a router has the office.
func (c *Simulation) isCoordinator(n *Node) bool {
	return n.quota != nil && n.quota.machine != nil && n.quota.machine.State(n.localTime()).IsCoordinator
}

func mean(all []float64) (sum float64) {
	for _, v := range all {
		sum += v / float64(len(all))
	}
	return sum
}

func medianAndP99(all []float64) [2]float64 {
	if len(all) == 0 {
		return [2]float64{math.NaN(), math.NaN()}
	}
	slices.Sort(all)
	return [2]float64{all[len(all)/2], all[len(all)*99/100]}
}
