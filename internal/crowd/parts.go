package crowd

import (
	"math"
	"slices"

	"pitchfield/internal/shares"
)

// Parts is what plays of divided budgets came to, for a number of routers.
type Parts struct {
	Routers int
	Used    float64    // of the wholes, within any window, where far more is wanted than there is
	Idle    float64    // of the wholes, in hands and not used, meanwhile
	Uneven  float64    // used where nine in ten batches come to a tenth of the routers
	Fixed   float64    // the same with the fixed division
	Small   [2]float64 // seconds until a batch is sent that there is room for: median, 99%
	Heavy   [2]float64 // the same of heavy ones, and
	Sent    float64    // their share that was sent,
	Plain   float64    // and with the fixed division
	Comes   float64    // seconds until a newcomer's first batch is sent, without a firm part
	Bursar  float64    // seconds without any credit after the bursar's death, likewise
	Dead    float64    // seconds until nothing counts any more that a dead router had
	Packets float64    // a router and second, beyond what membership sends, at one batch a second of each router
	Bytes   float64
	Most    float64 // of a whole, used within a window, in any of these plays
	Broken  []string
}

const (
	partsWhole  = 6.0
	partsFleet  = 24
	partsSettle = 8.0
	partsLong   = 20.0
)

// MeasureParts plays a number of routers through all of it.
func MeasureParts(routers int, seed uint64) Parts {
	out := Parts{Routers: routers, Comes: -1, Bursar: -1, Dead: -1}
	play := func(edit func(p *Purse)) *Crowd {
		p := &Purse{Whole: partsWhole, Window: 1, Engines: partsFleet, Rate: float64(routers), Drift: 0.004, Patience: 3, Settings: shares.Defaults()}
		edit(p)
		c := New(Options{Routers: routers, Seed: seed, Purse: p, Together: true, Jitter: 0.0002})
		c.StartAll()
		c.Run(partsSettle)
		return c
	}
	seen := func(c *Crowd) {
		out.Most = max(out.Most, c.Ledger.Most)
		out.Broken = append(out.Broken, c.Ledger.Broken...)
	}
	full := partsFleet * partsWhole / (partsWhole * 0.022) // batches a second that want all there is
	took := func(c *Crowd) float64 {
		c.Ledger.Took, c.Ledger.Lent = nil, nil
		c.Run(partsLong)
		seen(c)
		return average(c.Ledger.Took)
	}
	c := play(func(p *Purse) { p.Rate = 1.5 * full })
	out.Used, out.Idle = took(c), average(c.Ledger.Lent)
	out.Uneven = took(play(func(p *Purse) { p.Rate, p.Uneven = 1.5*full, 0.1 }))
	out.Fixed = took(play(func(p *Purse) { p.Rate, p.Uneven, p.Fixed = 1.5*full, 0.1, true }))

	for _, fixed := range []bool{true, false} {
		c = play(func(p *Purse) { p.Rate, p.Heavy, p.Fixed = 0.2*full, 0.05, fixed })
		c.Ledger.Waits, c.Ledger.Heavies, c.Ledger.Heavy = nil, nil, [2]int{}
		c.Run(partsLong)
		seen(c)
		share := float64(c.Ledger.Heavy[1]) / float64(max(c.Ledger.Heavy[0], 1))
		if fixed {
			out.Plain = share
			continue
		}
		out.Sent, out.Small, out.Heavy = share, quantiles(c.Ledger.Waits), quantiles(c.Ledger.Heavies)
	}

	unfirm := func(p *Purse) { p.Rate, p.Settings.FixedFraction = 0.5*full, 0 }
	c = play(unfirm)
	if fresh := c.Nodes[routers-1]; routers > 1 && !c.bursar(fresh) {
		c.Kill(fresh)
		c.Run(5)
		c.Start(fresh)
		from, sent := c.Now, c.Ledger.By[fresh.Name]
		for c.Now < from+patience && out.Comes < 0 {
			c.Run(0.01)
			if c.Ledger.By[fresh.Name] > sent {
				out.Comes = c.Now - from
			}
		}
	}
	seen(c)

	c = play(unfirm)
	if i := slices.IndexFunc(c.Nodes, c.bursar); i >= 0 && routers > 2 {
		c.Kill(c.Nodes[i])
		from, last := c.Now, c.Ledger.Sent
		c.Run(0.5) // what was in hand is still used
		for last = c.Ledger.Sent; c.Now < from+patience && out.Bursar < 0; {
			c.Run(0.05)
			if c.Ledger.Sent > last+routers/10 && slices.IndexFunc(c.Nodes, c.bursar) >= 0 {
				out.Bursar = c.Now - from
			}
		}
	}
	seen(c)

	c = play(unfirm)
	if i := slices.IndexFunc(c.Nodes, c.bursar); i >= 0 && routers > 1 {
		victim := c.Nodes[(i+1)%routers]
		c.Kill(victim)
		from := c.Now
		for c.Now < from+patience && out.Dead < 0 {
			if c.Nodes[i].purse.machine.Outstanding(victim.Name) == 0 {
				out.Dead = c.Now - from
				break
			}
			c.Run(0.05)
		}
	}
	seen(c)

	rate := func(edit func(p *Purse)) (packets, bytes float64) {
		c := play(edit)
		p, b := c.Packets, c.Bytes
		c.Run(partsLong)
		seen(c)
		n := partsLong * float64(routers)
		return float64(c.Packets-p) / n, (c.Bytes - b) / n
	}
	with, bytesWith := rate(func(*Purse) {})
	without, bytesWithout := rate(func(p *Purse) { p.Fixed = true })
	out.Packets, out.Bytes = with-without, bytesWith-bytesWithout
	return out
}

// bursar tells whether a router has the office.
func (c *Crowd) bursar(n *Node) bool {
	return n.purse != nil && n.purse.machine != nil && n.purse.machine.State(n.now()).IsCoordinator
}

func average(all []float64) (sum float64) {
	for _, v := range all {
		sum += v / float64(len(all))
	}
	return sum
}

func quantiles(all []float64) [2]float64 {
	if len(all) == 0 {
		return [2]float64{math.NaN(), math.NaN()}
	}
	slices.Sort(all)
	return [2]float64{all[len(all)/2], all[len(all)*99/100]}
}
