// Package crowd simulates the peer messaging of hundreds or thousands of routers in simulated time. It runs the state machines
// of the product (membership and cold-start quota) on a simulated network that loses, delays and partitions datagrams. All
// randomness derives from a seed, so the same options give the same run. Real batches and engines are not part of it; the
// emulator covers those. A Simulation must be used by one goroutine at a time.
package crowd

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"pitchfield/internal/membership"
	"pitchfield/internal/talk"
)

// Options configures a simulation. Times are in seconds.
type Options struct {
	Routers      int
	Seed         uint64
	Settings     membership.Settings // of each router; zero: the defaults
	Loss         float64             // fraction of datagrams that are lost
	Latency      float64             // minimum delivery time of a datagram; 0: 0.5 ms
	Jitter       float64             // maximum random delay in addition to Latency
	SlowFraction float64             // fraction of the routers that are slow
	SlowDelay    float64             // maximum extra delay of a slow router for each packet and each wake-up
	PreJoined    bool                // all routers know each other at the start; otherwise they join through two seeds
	Duplication  float64             // fraction of datagrams that are delivered twice
	Quota        *QuotaOptions       // cold-start quota that the routers divide; nil: none
}

// Simulation is a running simulation of a fleet of routers.
type Simulation struct {
	Options
	Now            float64
	Nodes          []*Node
	nodesByAddress map[string]*Node // routers that were started at least once
	rng            *rand.Rand
	events         eventQueue
	eventSeq       uint64
	startCount     uint64
	linkOpen       func(from, to *Node) bool // reports whether a datagram is delivered; nil: all are
	Packets        int
	Bytes          float64 // estimated size of all packets; one packet in sizeSampleInterval is encoded
	EncodeErrors   int     // sampled packets that could not be encoded
	// OnNote, if set, receives each note (log entry) of each membership machine.
	OnNote func(n *Node, note membership.Note)
	Stats  *QuotaStats // quota statistics; nil without Options.Quota
}

// Node is one simulated router.
type Node struct {
	Name         string
	Address      string
	Machine      *membership.Machine // nil while the process is not running
	Generation   int
	Paused       bool
	delay        float64
	timerID      int
	socketBuffer []talk.Message // messages received while paused, delivered by Resume
	sim          *Simulation
	quota        *quotaClient // nil without Options.Quota
	index        int
	clockRate    float64 // clock rate relative to simulated time; 1 is exact
}

const (
	// epoch is the simulated time, in seconds, at which each run starts.
	epoch = 1e6
	// sizeSampleInterval: one packet in this many is encoded to estimate the traffic in bytes.
	sizeSampleInterval = 16
	socketCapacity     = 256 // packets buffered for a paused process; further ones are lost
)

// event is an action scheduled for a simulated time.
type event struct {
	dueAt  float64
	seq    uint64
	action func()
}

// eventQueue is a heap of events, ordered by time and then by the order of scheduling.
type eventQueue []event

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].dueAt < m[j].dueAt || m[i].dueAt == m[j].dueAt && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *eventQueue) Push(x any) { *m = append(*m, x.(event)) }

// Pop implements heap.Interface.
func (m *eventQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*m = old[:len(old)-1]
	return last
}

// New creates a simulation in which no router has been started.
func New(options Options) *Simulation {
	if options.Settings.ProbeInterval == 0 {
		options.Settings = membership.Defaults()
	}
	if options.Latency == 0 {
		options.Latency = 0.0005
	}
	sim := &Simulation{Options: options, Now: epoch, nodesByAddress: map[string]*Node{}, rng: rand.New(rand.NewPCG(options.Seed, 0x63726f7764))}
	for i := range options.Routers {
		n := &Node{Name: fmt.Sprintf("n%d", i+1), Address: fmt.Sprintf("10.%d.%d.%d:7500", i/62500, i/250%250, i%250+1), sim: sim}
		n.index, n.clockRate = i, 1
		if float64(i) < options.SlowFraction*float64(options.Routers) {
			n.delay = options.SlowDelay
		}
		if options.Quota != nil {
			n.clockRate += options.Quota.ClockDrift * (2*sim.rng.Float64() - 1)
		}
		sim.Nodes = append(sim.Nodes, n)
	}
	if options.Quota != nil {
		sim.Stats = newQuotaStats(sim)
	}
	return sim
}

// After schedules an action wait seconds from now; a negative wait counts as 0.
func (sim *Simulation) After(wait float64, action func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{sim.Now + max(wait, 0), sim.eventSeq, action})
}

// Run advances the simulated time by the given number of seconds and runs all events that become due.
func (sim *Simulation) Run(seconds float64) {
	end := sim.Now + seconds
	for len(sim.events) > 0 && sim.events[0].dueAt <= end {
		next := heap.Pop(&sim.events).(event)
		sim.Now = next.dueAt
		next.action()
	}
	sim.Now = end
}

// Start starts the process of a router without any state from an earlier run.
func (sim *Simulation) Start(n *Node) {
	sim.startCount++
	sim.nodesByAddress[n.Address] = n
	settings := sim.Settings
	settings.Self, settings.Listen = membership.ID{Name: n.Name, Start: uint64(sim.Now*1e3) + sim.startCount}, n.Address
	settings.Seeds = []string{sim.Nodes[0].Address, sim.Nodes[len(sim.Nodes)/2].Address}
	n.Generation++
	n.Paused, n.socketBuffer = false, nil
	n.Machine = membership.New(settings, sim.Seed<<20^uint64(n.Generation)<<40^sim.startCount, sim.Now)
	if sim.Quota != nil {
		n.startQuota()
	}
	n.scheduleWake()
}

// StartAll starts all routers at random times within the next second. With PreJoined it starts them at once and introduces
// them to each other.
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
		introduction := membership.Message{Kind: membership.Gossip}
		for _, other := range sim.Nodes {
			if other != n {
				introduction.From = other.Machine.SelfMember()
				n.Machine.Receive(sim.Now, &introduction)
				n.Machine.TakeOutgoing()
				n.Machine.TakeNotes()
			}
		}
	}
}

// Kill ends the process of a router without any notice to the others.
func (sim *Simulation) Kill(n *Node) {
	n.Machine, n.quota, n.Paused, n.socketBuffer = nil, nil, false, nil
	n.Generation++
}

// Leave shuts a router down gracefully: it announces its departure before its process ends.
func (sim *Simulation) Leave(n *Node) {
	if n.quota != nil {
		n.quota.machine.Leave(n.localTime())
		n.quota.flushQuotaMessages()
	}
	n.Machine.Leave(sim.Now)
	n.flushOutgoing()
	sim.Kill(n)
}

// Pause stops a process. Datagrams that arrive meanwhile wait in its socket buffer.
func (sim *Simulation) Pause(n *Node) { n.Paused = true }

// Resume continues a paused process and delivers the datagrams in its socket buffer.
func (sim *Simulation) Resume(n *Node) {
	if n.Machine == nil || !n.Paused {
		return
	}
	n.Paused = false
	n.wake() // the timer expired during the pause and runs before the buffered packets
	if n.quota != nil {
		n.quota.processQueue()
	}
	waiting := n.socketBuffer
	n.socketBuffer = nil
	for i := range waiting {
		n.receive(&waiting[i])
	}
}

// Partition delivers only the datagrams for which passes returns true; nil delivers all.
func (sim *Simulation) Partition(passes func(from, to *Node) bool) { sim.linkOpen = passes }

// scheduleWake replaces the timer of the membership machine. A timer of an earlier schedule or process does nothing.
func (n *Node) scheduleWake() {
	n.timerID++
	timerID, generation := n.timerID, n.Generation
	n.sim.After(n.Machine.NextWake()-n.sim.Now+n.delay*n.sim.rng.Float64(), func() {
		if n.Generation == generation && n.timerID == timerID && !n.Paused {
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
	wakeBefore := n.Machine.NextWake()
	n.Machine.Receive(n.sim.Now, &m.Message)
	if m.Shares != nil && n.quota != nil {
		n.quota.machine.Receive(n.localTime(), m.Shares)
		n.quota.processQueue()
	}
	n.flushOutgoing()
	if n.Machine.NextWake() != wakeBefore {
		n.scheduleWake()
	}
}

// flushOutgoing reports the notes of the membership machine and sends its outgoing messages.
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

// sendDatagram sends a datagram over the simulated network to the router that listens at an address.
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
	deliver := func() {
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
	sim.After(wait, deliver)
	if sim.Duplication > 0 && sim.rng.Float64() < sim.Duplication {
		sim.After(wait+sim.Latency+20*sim.Jitter*sim.rng.Float64(), deliver)
	}
}

// nodeAt returns the router that was last started at an address, or nil.
func (sim *Simulation) nodeAt(address string) *Node { return sim.nodesByAddress[address] }

// Running returns the routers whose process is running and not paused.
func (sim *Simulation) Running() (out []*Node) {
	for _, n := range sim.Nodes {
		if n.Machine != nil && !n.Paused {
			out = append(out, n)
		}
	}
	return out
}

// Agreed reports whether all running routers have settled on the correct view: exactly the running routers are members.
func (sim *Simulation) Agreed() bool {
	running := sim.Running()
	for _, n := range running {
		machine := n.Machine
		if machine.Count() != len(running) || machine.Certainty() != membership.Settled && len(running) > 1 || machine.Hash() != running[0].Machine.Hash() {
			return false
		}
	}
	return len(running) == 0 || !slices.ContainsFunc(running[0].Machine.View().Members, func(m membership.Member) bool {
		n := sim.nodeAt(m.Address)
		return n == nil || n.Machine == nil || n.Machine.SelfID() != m.ID
	})
}

// RunUntilAgreed runs until all routers agree and returns the seconds that took, or -1 if they did not agree within the given
// number of seconds.
func (sim *Simulation) RunUntilAgreed(timeout float64) float64 {
	start := sim.Now
	for sim.Now < start+timeout {
		sim.Run(0.1)
		if sim.Agreed() {
			return sim.Now - start
		}
	}
	return -1
}
