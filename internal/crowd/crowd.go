// Package crowd plays what routers say to each other in simulated time: hundreds or thousands of the very state machines that
// the program runs, on a network that loses, delays and cuts, by a seed. No batch and no engine is in it; the emulator has
// those. The same options give the same play.
package crowd

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"pitchfield/internal/membership"
	"pitchfield/internal/talk"
)

// Options say what is played. Times are seconds.
type Options struct {
	Routers  int
	Seed     uint64
	Settings membership.Settings // of each; zero: the defaults
	Loss     float64             // share of datagrams
	Way      float64             // of a datagram; 0: half a millisecond
	Jitter   float64             // up to so much more
	Slow     float64             // share of the routers that
	Late     float64             // take so much longer for each packet and each time they wake
	Together bool                // all know each other at the start; else they join by two seeds
	Double   float64             // share of datagrams that come twice
	Purse    *Purse              // budgets that they divide; nil: none
}

// Crowd is a play that goes on.
type Crowd struct {
	Options
	Now     float64
	Nodes   []*Node
	by      map[string]*Node // that have started, by address
	chance  *rand.Rand
	queue   moments
	seq     uint64
	starts  uint64
	sides   func(from, to *Node) bool // whether a datagram passes; nil: all do
	Packets int
	Bytes   float64 // of all packets, from one in sixteen
	Refused int     // packets that could not be worded
	// OnNote is told what each machine notes.
	OnNote func(n *Node, note membership.Note)
	Ledger *Ledger // of what is divided; nil: nothing is
}

// Node is a router of the crowd.
type Node struct {
	Name    string
	Address string
	Machine *membership.Machine // nil: no process runs
	Life    int
	Paused  bool
	late    float64
	timer   int
	waiting []talk.Message // that came while it was paused
	crowd   *Crowd
	purse   *holder // nil: nothing is divided
	number  int
	rate    float64 // of its clock
}

const (
	epoch   = 1e6
	sampled = 16
	socket  = 256 // packets that wait for a process that stands still; more are lost
)

type moment struct {
	at  float64
	seq uint64
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push is the heap's.
func (m *moments) Push(x any) { *m = append(*m, x.(moment)) }

// Pop is the heap's.
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = moment{}
	*m = old[:len(old)-1]
	return last
}

// New puts a crowd up; nobody has started.
func New(o Options) *Crowd {
	if o.Settings.ProbeInterval == 0 {
		o.Settings = membership.Defaults()
	}
	if o.Way == 0 {
		o.Way = 0.0005
	}
	c := &Crowd{Options: o, Now: epoch, by: map[string]*Node{}, chance: rand.New(rand.NewPCG(o.Seed, 0x63726f7764))}
	for i := range o.Routers {
		n := &Node{Name: fmt.Sprintf("n%d", i+1), Address: fmt.Sprintf("10.%d.%d.%d:7500", i/62500, i/250%250, i%250+1), crowd: c}
		n.number, n.rate = i, 1
		if float64(i) < o.Slow*float64(o.Routers) {
			n.late = o.Late
		}
		if o.Purse != nil {
			n.rate += o.Purse.Drift * (2*c.chance.Float64() - 1)
		}
		c.Nodes = append(c.Nodes, n)
	}
	if o.Purse != nil {
		c.Ledger = newLedger(c)
	}
	return c
}

// After does something later.
func (c *Crowd) After(wait float64, do func()) {
	c.seq++
	heap.Push(&c.queue, moment{c.Now + max(wait, 0), c.seq, do})
}

// Run plays on for some time.
func (c *Crowd) Run(seconds float64) {
	end := c.Now + seconds
	for len(c.queue) > 0 && c.queue[0].at <= end {
		m := heap.Pop(&c.queue).(moment)
		c.Now = m.at
		m.do()
	}
	c.Now = end
}

// Start starts a process, with nothing remembered.
func (c *Crowd) Start(n *Node) {
	c.starts++
	c.by[n.Address] = n
	s := c.Settings
	s.Self, s.Listen = membership.ID{Name: n.Name, Start: uint64(c.Now*1e3) + c.starts}, n.Address
	s.Seeds = []string{c.Nodes[0].Address, c.Nodes[len(c.Nodes)/2].Address}
	n.Life++
	n.Paused, n.waiting = false, nil
	n.Machine = membership.New(s, c.Seed<<20^uint64(n.Life)<<40^c.starts, c.Now)
	if c.Purse != nil {
		n.hold()
	}
	n.plan()
}

// StartAll starts all within a second; together: they know each other.
func (c *Crowd) StartAll() {
	for _, n := range c.Nodes {
		if c.Together {
			c.Start(n)
		} else {
			c.After(c.chance.Float64(), func() { c.Start(n) })
		}
	}
	if !c.Together {
		return
	}
	for _, n := range c.Nodes {
		m := membership.Message{Kind: membership.Gossip}
		for _, o := range c.Nodes {
			if o != n {
				m.From = o.Machine.SelfMember()
				n.Machine.Receive(c.Now, &m)
				n.Machine.TakeOutgoing()
				n.Machine.TakeNotes()
			}
		}
	}
}

// Kill ends a process without a word.
func (c *Crowd) Kill(n *Node) {
	n.Machine, n.purse, n.Paused, n.waiting = nil, nil, false, nil
	n.Life++
}

// Leave ends one in peace.
func (c *Crowd) Leave(n *Node) {
	if n.purse != nil {
		n.purse.machine.Leave(n.now())
		n.purse.said()
	}
	n.Machine.Leave(c.Now)
	n.effects()
	c.Kill(n)
}

// Pause stops a process; what comes waits in its socket.
func (c *Crowd) Pause(n *Node) { n.Paused = true }

// Go lets it go on.
func (c *Crowd) Go(n *Node) {
	if n.Machine == nil || !n.Paused {
		return
	}
	n.Paused = false
	n.wake() // its timer is long due; packets wait
	if n.purse != nil {
		n.purse.turn()
	}
	waiting := n.waiting
	n.waiting = nil
	for i := range waiting {
		n.heard(&waiting[i])
	}
}

// Cut lets only those datagrams pass for which it holds; nil: all.
func (c *Crowd) Cut(passes func(from, to *Node) bool) { c.sides = passes }

func (n *Node) plan() {
	n.timer++
	timer, life := n.timer, n.Life
	n.crowd.After(n.Machine.NextWake()-n.crowd.Now+n.late*n.crowd.chance.Float64(), func() {
		if n.Life == life && n.timer == timer && !n.Paused {
			n.wake()
		}
	})
}

func (n *Node) wake() {
	if n.Machine == nil {
		return
	}
	n.Machine.Wake(n.crowd.Now)
	n.effects()
	n.plan()
}

func (n *Node) heard(m *talk.Message) {
	at := n.Machine.NextWake()
	n.Machine.Receive(n.crowd.Now, &m.Message)
	if m.Shares != nil && n.purse != nil {
		n.purse.machine.Receive(n.now(), m.Shares)
		n.purse.turn()
	}
	n.effects()
	if n.Machine.NextWake() != at {
		n.plan()
	}
}

// effects sends what is to be sent.
func (n *Node) effects() {
	c := n.crowd
	for _, note := range n.Machine.TakeNotes() {
		if c.OnNote != nil {
			c.OnNote(n, note)
		}
	}
	for _, s := range n.Machine.TakeOutgoing() {
		n.send(s.To, talk.Message{Message: s.Message})
	}
}

// send brings a datagram to whoever listens at an address.
func (n *Node) send(address string, m talk.Message) {
	c := n.crowd
	if c.Packets++; c.Packets%sampled == 0 {
		data, err := talk.Encode("crowd", &m)
		if err != nil {
			c.Refused++
		}
		c.Bytes += sampled * float64(len(data))
	}
	to := c.at(address)
	lost := c.chance.Float64() < c.Loss
	wait := c.Way + c.Jitter*c.chance.Float64()
	if to == nil || lost || c.sides != nil && !c.sides(n, to) {
		return
	}
	if to.late > 0 {
		wait += to.late * c.chance.Float64()
	}
	come := func() {
		switch {
		case to.Machine == nil:
		case to.Paused:
			if len(to.waiting) < socket {
				to.waiting = append(to.waiting, m)
			}
		default:
			to.heard(&m)
		}
	}
	c.After(wait, come)
	if c.Double > 0 && c.chance.Float64() < c.Double {
		c.After(wait+c.Way+20*c.Jitter*c.chance.Float64(), come)
	}
}

// at is who listens at an address; nil: nobody.
func (c *Crowd) at(address string) *Node { return c.by[address] }

// Living are those whose process runs.
func (c *Crowd) Living() (out []*Node) {
	for _, n := range c.Nodes {
		if n.Machine != nil && !n.Paused {
			out = append(out, n)
		}
	}
	return out
}

// Agreed tells whether all living ones have settled on the view that is true: those and nobody else.
func (c *Crowd) Agreed() bool {
	living := c.Living()
	for _, n := range living {
		v := n.Machine
		if v.Count() != len(living) || v.Certainty() != membership.Settled && len(living) > 1 || v.Hash() != living[0].Machine.Hash() {
			return false
		}
	}
	return len(living) == 0 || !slices.ContainsFunc(living[0].Machine.View().Members, func(m membership.Member) bool {
		n := c.at(m.Address)
		return n == nil || n.Machine == nil || n.Machine.SelfID() != m.ID
	})
}

// UntilAgreed plays on until all agree, and gives how long that took; below 0: not within the time.
func (c *Crowd) UntilAgreed(within float64) float64 {
	from := c.Now
	for c.Now < from+within {
		c.Run(0.1)
		if c.Agreed() {
			return c.Now - from
		}
	}
	return -1
}
