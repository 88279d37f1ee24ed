package crowd

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pitchfield/internal/shares"
	"pitchfield/internal/talk"
)

// Purse says what a crowd divides: what each of some engines bears within a window. Times are seconds.
type Purse struct {
	Settings shares.Settings // but for keepers and address; zero: the defaults
	Keepers  int             // of the routers; 0: five
	Whole    float64         // of each engine, within Window
	Window   float64
	Engines  int
	Replaced float64 // an engine takes the place of another each so many seconds; 0: never
	Rate     float64 // batches a second, over all routers
	Heavy    float64 // share of the batches that take a quarter to three quarters of a whole
	Uneven   float64 // share of the routers to which nine in ten batches come; 0: all alike
	Patience float64 // a batch that waits for so long is given up; 0: four seconds
	Drift    float64 // clocks' rates differ by up to so much from the true one, either way
	Stands   float64 // share of what is sent that goes out late, since the process stands still between look and use
	Fixed    bool    // nothing moves: each has what the fixed division gives
	Told     int     // routers, by settings; 0: as many as there are
}

// Ledger sums what engines get, whoever sends it, by the true time.
type Ledger struct {
	crowd   *Crowd
	starts  []shares.EngineStart
	uses    map[shares.Key][]use // within the window; use drops the others
	sums    map[shares.Key]float64
	Broken  []string // a whole that was passed, the first few
	Most    float64  // of a whole that was used within a window
	Used    float64  // work that engines got
	Batches int
	Sent    int
	GivenUp int
	Heavy   [2]int         // batches that took a quarter of a whole or more: all, and sent
	Waits   []float64      // seconds until a batch was sent,
	Heavies []float64      // and until heavy ones were
	By      map[string]int // batches that were sent, by router
	Stood   int            // batches that were not sent, since what allowed them had ended
	Lent    []float64      // share of all wholes that was in hand and not used, looked at now and then
	Took    []float64      // share of all wholes that was used within a window, likewise
	chance  *rand.Rand
}

type use struct{ at, work float64 }

// holder is a router's part of it.
type holder struct {
	*Node
	machine *shares.Machine // nil: the division is fixed
	parts   shares.ColdStartQuota
	held    []*wish
	timer   int
}

// wish is a batch that waits.
type wish struct {
	to    shares.EngineStart
	work  float64
	since float64
	heavy bool
}

func newLedger(c *Crowd) *Ledger {
	p := c.Purse
	if p.Settings.Lease == 0 {
		p.Settings = shares.Defaults()
	}
	if p.Keepers == 0 {
		p.Keepers = 5
	}
	if p.Patience == 0 {
		p.Patience = 4
	}
	l := &Ledger{crowd: c, uses: map[shares.Key][]use{}, sums: map[shares.Key]float64{}, By: map[string]int{}, chance: rand.New(rand.NewPCG(c.Seed, 0x7075727365))}
	for i := range p.Engines {
		l.starts = append(l.starts, shares.EngineStart{Engine: uint32(i + 1), StartedAt: epoch, Cores: 1})
	}
	if p.Replaced > 0 {
		c.After(p.Replaced, l.replace)
	}
	c.After(0.1, l.arrive)
	c.After(1, l.look)
	return l
}

// replace starts an engine anew: its budget is another one.
func (l *Ledger) replace() {
	s := &l.starts[l.chance.IntN(len(l.starts))]
	s.StartedAt = l.crowd.Now
	l.crowd.After(l.crowd.Purse.Replaced, l.replace)
}

// arrive brings a batch to a router.
func (l *Ledger) arrive() {
	c, p := l.crowd, l.crowd.Purse
	l.crowd.After(l.chance.ExpFloat64()/p.Rate, l.arrive)
	w := &wish{to: l.starts[l.chance.IntN(len(l.starts))], since: c.Now, work: p.Whole * (0.002 + 0.04*l.chance.Float64())}
	if w.heavy = l.chance.Float64() < p.Heavy; w.heavy {
		w.work = p.Whole * (0.25 + 0.5*l.chance.Float64())
	}
	nodes := c.Nodes
	if few := int(math.Ceil(p.Uneven * float64(len(nodes)))); p.Uneven > 0 && l.chance.IntN(10) > 0 {
		nodes = nodes[:few]
	}
	n := nodes[l.chance.IntN(len(nodes))]
	if n.purse == nil || n.Paused {
		return
	}
	l.Batches++
	if w.heavy {
		l.Heavy[0]++
	}
	n.purse.held = append(n.purse.held, w)
	n.purse.turn()
}

// look samples how much of the wholes is used, and how much lies idle in hands.
func (l *Ledger) look() {
	l.crowd.After(0.25, l.look)
	used, lent, whole := 0.0, 0.0, 0.0
	for _, s := range l.starts {
		l.old(shares.ColdStartKey(s))
		used, whole = used+l.sums[shares.ColdStartKey(s)], whole+l.crowd.Purse.Whole
	}
	for _, n := range l.crowd.Nodes {
		if n.purse != nil && n.purse.machine != nil {
			for _, h := range n.purse.machine.State(n.now()).Budgets {
				lent += h.Available
			}
		}
	}
	l.Took, l.Lent = append(l.Took, used/whole), append(l.Lent, lent/whole)
}

// old drops what no longer counts.
func (l *Ledger) old(key shares.Key) {
	for len(l.uses[key]) > 0 && l.uses[key][0].at <= l.crowd.Now-l.crowd.Purse.Window {
		l.sums[key] -= l.uses[key][0].work
		l.uses[key] = l.uses[key][1:]
	}
	if len(l.uses[key]) == 0 {
		delete(l.uses, key)
		delete(l.sums, key)
	}
}

// use is what came to an engine.
func (l *Ledger) use(w *wish, by string) {
	key := shares.ColdStartKey(w.to)
	l.old(key)
	l.uses[key], l.sums[key] = append(l.uses[key], use{l.crowd.Now, w.work}), l.sums[key]+w.work
	share := l.sums[key] / l.crowd.Purse.Whole
	l.Most, l.Used, l.Sent = max(l.Most, share), l.Used+w.work, l.Sent+1
	l.By[by]++
	l.Waits = append(l.Waits, l.crowd.Now-w.since)
	if w.heavy {
		l.Heavy[1]++
		l.Heavies = append(l.Heavies, l.crowd.Now-w.since)
	}
	if share > 1+1e-6 && len(l.Broken) < 10 {
		l.Broken = append(l.Broken, fmt.Sprintf("%.4f s: %s sends %.3f, and engine %d has got %.4f of its whole within %g s", l.crowd.Now-epoch, by, w.work,
			w.to.Engine, share, l.crowd.Purse.Window))
	}
}

// now is a node's own time.
func (n *Node) now() float64 { return epoch + (n.crowd.Now-epoch)*n.rate }

// hold gives a process that starts its part, with nothing remembered.
func (n *Node) hold() {
	c, p := n.crowd, n.crowd.Purse
	h := &holder{Node: n}
	routers := p.Told
	if routers == 0 {
		routers = c.Routers
	}
	fixed := shares.FixedConfig{Total: p.Whole, Window: p.Window, Routers: float64(routers), Index: n.number % routers, MaxHolders: 16, StartedAt: n.now()}
	if p.Fixed {
		h.parts = shares.NewFixedDivision(fixed)
	} else {
		s := p.Settings
		s.Listen = n.Address
		for i := range min(p.Keepers, len(c.Nodes)) { // spread over all
			s.Replicas = append(s.Replicas, c.Nodes[i*len(c.Nodes)/min(p.Keepers, len(c.Nodes))].Address)
		}
		h.machine = shares.New(s, shares.ID{Name: n.Name, Start: c.starts}, fixed, n.now())
		h.parts = h.machine
	}
	n.purse = h
	h.plan()
}

// turn sends what may be sent, wants what may not, and does what is due.
func (h *holder) turn() {
	c := h.crowd
	if h.machine != nil {
		h.machine.ObserveFleetSize(h.Machine.Count())
	}
	for range 4 {
		for i := 0; i < len(h.held); {
			w := h.held[i]
			switch {
			case c.Now > w.since+c.Purse.Patience || !slices.Contains(c.Ledger.starts, w.to):
				c.Ledger.GivenUp++
			case h.parts.CanSpend(h.now(), w.to, w.work):
				h.send(w)
			default:
				h.parts.Request(h.now(), w.to, w.work)
				i++
				continue
			}
			h.held = slices.Delete(h.held, i, i+1)
		}
		if h.machine == nil || !h.machine.DemandPending() && h.now() < h.machine.NextWake() {
			break
		}
		h.machine.Wake(h.now())
		if !h.machine.GrantsArrived() {
			break
		}
	}
	h.said()
	h.plan()
}

// send is the way of a batch from the look at one's part to its engine. Now and then the process stands still in between.
func (h *holder) send(w *wish) {
	c := h.crowd
	h.parts.Spend(h.now(), w.to, w.work)
	by := math.Inf(1)
	if h.machine != nil {
		by = h.machine.SendDeadline()
	}
	if c.Purse.Stands == 0 || c.Ledger.chance.Float64() >= c.Purse.Stands {
		c.Ledger.use(w, h.Name)
		return
	}
	life := h.Life
	c.After(3*c.Ledger.chance.Float64(), func() {
		switch {
		case h.Life != life:
		case h.now() >= by:
			c.Ledger.Stood++
		default:
			c.Ledger.use(w, h.Name)
		}
	})
}

func (h *holder) said() {
	if h.machine == nil || h.Machine == nil {
		return
	}
	h.machine.TakeNotes()
	for _, s := range h.machine.TakeOutgoing() {
		said := s.Message
		h.Node.send(s.Destination, talk.Message{Message: h.Machine.Envelope(), Shares: &said})
	}
}

// plan sets the next time: of the machine, or to look at what waits.
func (h *holder) plan() {
	h.timer++
	timer, life := h.timer, h.Life
	wait := math.Inf(1)
	if h.machine != nil {
		wait = (h.machine.NextWake() - h.now()) / h.rate
	}
	if len(h.held) > 0 {
		wait = min(wait, 0.05)
	}
	if math.IsInf(wait, 1) {
		return
	}
	h.crowd.After(max(wait, 0.0005), func() {
		if h.Life == life && h.timer == timer && !h.Paused && h.purse == h {
			h.turn()
		}
	})
}
