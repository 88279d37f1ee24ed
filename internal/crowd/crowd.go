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
	Routers      int
	Seed         uint64
	Settings     membership.Settings // of each; zero: the defaults
	Loss         float64             // share of datagrams
	Latency      float64             // of a datagram; 0: half a millisecond
	Jitter       float64             // up to so much more
	SlowFraction float64             // share of the routers that
	SlowDelay    float64             // take so much longer for each packet and each time they wake
	PreJoined    bool                // all know each other at the start; else they join by two seeds
	Duplication  float64             // share of datagrams that come twice
	Quota        *QuotaOptions       // budgets that they divide; nil: none
}

// Simulation is a play that goes on.
type Simulation struct {
	Options
	Now            float64
	Nodes          []*Node
	nodesByAddress map[string]*Node // that have started, by address
	rng            *rand.Rand
	events         eventQueue
	eventSeq       uint64
	startCount     uint64
	linkOpen       func(from, to *Node) bool // whether a datagram passes; nil: all do
	Packets        int
	Bytes          float64 // of all packets, from one in sixteen
	EncodeErrors   int     // packets that could not be worded
	// OnNote is told what each machine notes.
	OnNote func(n *Node, note membership.Note)
	Stats  *QuotaStats // of what is divided; nil: nothing is
}

// Node is a router of the crowd.
type Node struct {
	Name         string
	Address      string
	Machine      *membership.Machine // nil: no process runs
	Generation   int
	Paused       bool
	delay        float64
	timerID      int
	socketBuffer []talk.Message // that came while it was paused
	sim          *Simulation
	quota        *quotaClient // nil: nothing is divided
	index        int
	clockRate    float64 // of its clock
}

const (
	epoch              = 1e6
	sizeSampleInterval = 16
	socketCapacity     = 256 // packets that wait for a process that stands still; more are lost
)

type event struct {
	dueAt  float64
	seq    uint64
	action func()
}

type eventQueue []event

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].dueAt < m[j].dueAt || m[i].dueAt == m[j].dueAt && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push is the heap's.
func (m *eventQueue) Push(x any) { *m = append(*m, x.(event)) }

// Pop is the heap's.
func (m *eventQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*m = old[:len(old)-1]
	return last
}

// New puts a crowd up; nobody has started.
func New(o Options) *Simulation {
	if o.Settings.ProbeInterval == 0 {
		o.Settings = membership.Defaults()
	}
	if o.Latency == 0 {
		o.Latency = 0.0005
	}
	sim := &Simulation{Options: o, Now: epoch, nodesByAddress: map[string]*Node{}, rng: rand.New(rand.NewPCG(o.Seed, 0x63726f7764))}
	for i := range o.Routers {
		n := &Node{Name: fmt.Sprintf("n%d", i+1), Address: fmt.Sprintf("10.%d.%d.%d:7500", i/62500, i/250%250, i%250+1), sim: sim}
		n.index, n.clockRate = i, 1
		if float64(i) < o.SlowFraction*float64(o.Routers) {
			n.delay = o.SlowDelay
		}
		if o.Quota != nil {
			n.clockRate += o.Quota.ClockDrift * (2*sim.rng.Float64() - 1)
		}
		sim.Nodes = append(sim.Nodes, n)
	}
	if o.Quota != nil {
		sim.Stats = newQuotaStats(sim)
	}
	return sim
}

// After does something later.
func (sim *Simulation) After(wait float64, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{sim.Now + max(wait, 0), sim.eventSeq, do})
}

// Run plays on for some time.
func (sim *Simulation) Run(seconds float64) {
	end := sim.Now + seconds
	for len(sim.events) > 0 && sim.events[0].dueAt <= end {
		m := heap.Pop(&sim.events).(event)
		sim.Now = m.dueAt
		m.action()
	}
	sim.Now = end
}

// Start starts a process, with nothing remembered.
func (sim *Simulation) Start(n *Node) {
	sim.startCount++
	sim.nodesByAddress[n.Address] = n
	s := sim.Settings
	s.Self, s.Listen = membership.ID{Name: n.Name, Start: uint64(sim.Now*1e3) + sim.startCount}, n.Address
	s.Seeds = []string{sim.Nodes[0].Address, sim.Nodes[len(sim.Nodes)/2].Address}
	n.Generation++
	n.Paused, n.socketBuffer = false, nil
	n.Machine = membership.New(s, sim.Seed<<20^uint64(n.Generation)<<40^sim.startCount, sim.Now)
	if sim.Quota != nil {
		n.startQuota()
	}
	n.scheduleWake()
}

// StartAll starts all within a second; together: they know each other.
func (sim *Simulation) StartAll() {
	for _, n := range sim.Nodes {
		if sim.PreJoined {
			sim.Start(n)
		} else {
			sim.After(sim.rng.Float64(), func() { sim.Start(n) })
		}
	}
	if !sim.PreJoined {
		return
	}
	for _, n := range sim.Nodes {
		m := membership.Message{Kind: membership.Gossip}
		for _, o := range sim.Nodes {
			if o != n {
				m.From = o.Machine.SelfMember()
				n.Machine.Receive(sim.Now, &m)
				n.Machine.TakeOutgoing()
				n.Machine.TakeNotes()
			}
		}
	}
}

// Kill ends a process without a word.
func (sim *Simulation) Kill(n *Node) {
	n.Machine, n.quota, n.Paused, n.socketBuffer = nil, nil, false, nil
	n.Generation++
}

// Leave ends one in peace.
func (sim *Simulation) Leave(n *Node) {
	if n.quota != nil {
		n.quota.machine.Leave(n.localTime())
		n.quota.flushQuotaMessages()
	}
	n.Machine.Leave(sim.Now)
	n.flushOutgoing()
	sim.Kill(n)
}

// Pause stops a process; what comes waits in its socket.
func (sim *Simulation) Pause(n *Node) { n.Paused = true }

// Resume lets it go on.
func (sim *Simulation) Resume(n *Node) {
	if n.Machine == nil || !n.Paused {
		return
	}
	n.Paused = false
	n.wake() // its timer is long due; packets wait
	if n.quota != nil {
		n.quota.processQueue()
	}
	waiting := n.socketBuffer
	n.socketBuffer = nil
	for i := range waiting {
		n.receive(&waiting[i])
	}
}

// Partition lets only those datagrams pass for which it holds; nil: all.
func (sim *Simulation) Partition(passes func(from, to *Node) bool) { sim.linkOpen = passes }

func (n *Node) scheduleWake() {
	n.timerID++
	timer, life := n.timerID, n.Generation
	n.sim.After(n.Machine.NextWake()-n.sim.Now+n.delay*n.sim.rng.Float64(), func() {
		if n.Generation == life && n.timerID == timer && !n.Paused {
			n.wake()
		}
	})
}

func (n *Node) wake() {
	if n.Machine == nil {
		return
	}
	n.Machine.Wake(n.sim.Now)
	n.flushOutgoing()
	n.scheduleWake()
}

func (n *Node) receive(m *talk.Message) {
	at := n.Machine.NextWake()
	n.Machine.Receive(n.sim.Now, &m.Message)
	if m.Shares != nil && n.quota != nil {
		n.quota.machine.Receive(n.localTime(), m.Shares)
		n.quota.processQueue()
	}
	n.flushOutgoing()
	if n.Machine.NextWake() != at {
		n.scheduleWake()
	}
}

// flushOutgoing sends what is to be sent.
func (n *Node) flushOutgoing() {
	sim := n.sim
	for _, note := range n.Machine.TakeNotes() {
		if sim.OnNote != nil {
			sim.OnNote(n, note)
		}
	}
	for _, s := range n.Machine.TakeOutgoing() {
		n.sendDatagram(s.To, talk.Message{Message: s.Message})
	}
}

// sendDatagram brings a datagram to whoever listens at an address.
func (n *Node) sendDatagram(address string, m talk.Message) {
	sim := n.sim
	if sim.Packets++; sim.Packets%sizeSampleInterval == 0 {
		data, err := talk.Encode("crowd", &m)
		if err != nil {
			sim.EncodeErrors++
		}
		sim.Bytes += sizeSampleInterval * float64(len(data))
	}
	to := sim.nodeAt(address)
	lost := sim.rng.Float64() < sim.Loss
	wait := sim.Latency + sim.Jitter*sim.rng.Float64()
	if to == nil || lost || sim.linkOpen != nil && !sim.linkOpen(n, to) {
		return
	}
	if to.delay > 0 {
		wait += to.delay * sim.rng.Float64()
	}
	come := func() {
		switch {
		case to.Machine == nil:
		case to.Paused:
			if len(to.socketBuffer) < socketCapacity {
				to.socketBuffer = append(to.socketBuffer, m)
			}
		default:
			to.receive(&m)
		}
	}
	sim.After(wait, come)
	if sim.Duplication > 0 && sim.rng.Float64() < sim.Duplication {
		sim.After(wait+sim.Latency+20*sim.Jitter*sim.rng.Float64(), come)
	}
}

// nodeAt is who listens at an address; nil: nobody.
func (sim *Simulation) nodeAt(address string) *Node { return sim.nodesByAddress[address] }

// Running are those whose process runs.
func (sim *Simulation) Running() (out []*Node) {
	for _, n := range sim.Nodes {
		if n.Machine != nil && !n.Paused {
			out = append(out, n)
		}
	}
	return out
}

// Agreed tells whether all living ones have settled on the view that is true: those and nobody else.
func (sim *Simulation) Agreed() bool {
	living := sim.Running()
	for _, n := range living {
		v := n.Machine
		if v.Count() != len(living) || v.Certainty() != membership.Settled && len(living) > 1 || v.Hash() != living[0].Machine.Hash() {
			return false
		}
	}
	return len(living) == 0 || !slices.ContainsFunc(living[0].Machine.View().Members, func(m membership.Member) bool {
		n := sim.nodeAt(m.Address)
		return n == nil || n.Machine == nil || n.Machine.SelfID() != m.ID
	})
}

// RunUntilAgreed plays on until all agree, and gives how long that took; below 0: not within the time.
func (sim *Simulation) RunUntilAgreed(within float64) float64 {
	from := sim.Now
	for sim.Now < from+within {
		sim.Run(0.1)
		if sim.Agreed() {
			return sim.Now - from
		}
	}
	return -1
}
