// Package news aggregates the load reports of the routers of a fleet: the load that each router has outstanding at each engine.
// It is a pure state machine: its input is times, messages and this router's own load; its output is messages to send. It reads
// no clock, opens no socket and uses no randomness.
//
// Loads are summed up a tree over the members ordered by name, and the total is sent down again, so that the traffic of a router
// does not depend on whether the fleet has twenty members or a thousand. Sums flow only towards smaller names, whatever the views
// of the members are, so that no load is counted in a loop. docs/news.md compares the alternatives.
package news

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Settings configure a Machine. Times are seconds.
type Settings struct {
	Interval      float64 // time between two reports
	FanOut        int     // children of each member in the tree
	StaleAfter    float64 // older sums are ignored
	MinCoverage   float64 // fraction of the members that a total has to include to be used
	MaxSkew       float64 // a child's sum is capped at this many times what the others report for as many routers, plus SkewAllowance
	SkewAllowance float64 // threads for each router of the child's sum
	MinOthers     int     // the cap applies only with at least this many other routers in the sum: with fewer, an outlier can't be told from a correct report
}

// Defaults returns settings for routers in one data centre.
func Defaults() Settings {
	return Settings{
		Interval:      0.1,
		FanOut:        16,
		StaleAfter:    0.5,
		MinCoverage:   0.9,
		MaxSkew:       8,
		SkewAllowance: 4,
		MinOthers:     8,
	}
}

// EngineStart identifies one start of an engine. A replaced engine inherits no load from its predecessor.
type EngineStart struct {
	Engine uint32
	Start  uint64 // bits of its start time (float64), as the engine list reports it
}

// Load is the load that is outstanding at one start of an engine.
type Load struct {
	EngineStart
	Threads float64
	Memory  float64 // MB
}

// Kind is the direction of a message in the tree.
type Kind uint8

// The kinds of messages.
const (
	Up   Kind = iota + 1 // to the parent: the sum of the sender and of its descendants
	Down                 // to the children: the total of all routers
)

// Message is the content of one datagram.
type Message struct {
	Kind    Kind
	Routers int     // number of routers in the sum
	Age     float64 // age of the oldest report in the sum, in seconds
	Loads   []Load  // ordered by engine; engines that are not listed have no load
}

// OutgoingMessage is a message to be sent to an address.
type OutgoingMessage struct {
	To string
	Message
}

// Member is a member of the membership view.
type Member struct{ Name, Address string }

// MaxLoads is the number of engine starts in one message. If there are more, those with the most threads are sent.
const MaxLoads = 40

const maxOwnHistory = 16 // own reports that are kept, to be subtracted from the totals that include them

// loadSum is a sum of the reports of one or several routers.
type loadSum struct {
	oldestAt float64 // time of the oldest report in the sum, in seconds
	routers  int
	loads    map[EngineStart]Load
}

// Machine is the load report state machine of one router. The times that are passed to its methods must not decrease. It is not
// safe for concurrent use. All times are seconds.
type Machine struct {
	Settings
	name           string
	now            float64
	nextReportAt   float64
	members        []Member       // ordered by name, including this router
	indexByAddress map[string]int // index in members, by address
	selfIndex      int            // index of this router in members; negative: not a member

	children   map[string]*loadSum // last sums of the members that report to this one, by address; aggregate deletes stale ones
	ownHistory []loadSum           // this router's last reports, the newest last
	total      loadSum             // total of the fleet, as last received or computed
	outgoing   []OutgoingMessage
}

// New returns a machine for the router of that name, starting at the time now in seconds.
func New(s Settings, name string, now float64) *Machine {
	return &Machine{Settings: s, name: name, now: now, nextReportAt: now, selfIndex: -1, indexByAddress: map[string]int{}, children: map[string]*loadSum{}}
}

// SetMembers sets the members of the view, in any order.
func (m *Machine) SetMembers(members []Member) {
	m.members = slices.Clone(members)
	slices.SortFunc(m.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.selfIndex, m.indexByAddress = -1, map[string]int{}
	for i, o := range m.members {
		m.indexByAddress[o.Address] = i
		if o.Name == m.name {
			m.selfIndex = i
		}
	}
}

// NextReport returns the time at which Report has to be called next, in seconds.
func (m *Machine) NextReport() float64 { return m.nextReportAt }

// TakeOutgoing returns the messages to send and clears them.
func (m *Machine) TakeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// Report sets the load that this router has outstanding now, and sends the sum of this router and its descendants to its parent.
// The root of the tree sends the total to its children.
func (m *Machine) Report(now float64, loads []Load) {
	m.now = max(m.now, now)
	if m.nextReportAt += m.Interval; m.nextReportAt <= m.now { // a report that was missed is not made up for
		m.nextReportAt = m.now + m.Interval
	}
	own := loadSum{oldestAt: m.now, routers: 1, loads: map[EngineStart]Load{}}
	for _, l := range loads {
		own.loads[l.EngineStart] = l
	}
	m.ownHistory = append(m.ownHistory, own)
	if len(m.ownHistory) > maxOwnHistory {
		m.ownHistory = slices.Delete(m.ownHistory, 0, 1)
	}
	if m.selfIndex < 0 {
		return
	}
	all := m.aggregate(own)
	if m.selfIndex > 0 {
		m.outgoing = append(m.outgoing, OutgoingMessage{m.members[(m.selfIndex-1)/m.FanOut].Address, m.newMessage(Up, all)})
		return
	}
	m.total = all
	m.sendTotal()
}

// aggregate adds the sums of the children to this router's own. A child that reports far more than the others do for as many
// routers is capped at a multiple of that, so that one faulty router can't make an engine look full to the whole fleet.
func (m *Machine) aggregate(own loadSum) loadSum {
	all := loadSum{oldestAt: own.oldestAt, routers: own.routers, loads: maps.Clone(own.loads)}
	maps.DeleteFunc(m.children, func(_ string, s *loadSum) bool { return s.oldestAt <= m.now-m.StaleAfter })
	sums := []*loadSum{&own}
	for _, address := range slices.Sorted(maps.Keys(m.children)) { // fixed order: floating-point sums depend on it
		sums = append(sums, m.children[address])
	}
	threads, routers := map[EngineStart]float64{}, 0
	for _, s := range sums {
		routers += s.routers
		for engine, l := range s.loads {
			threads[engine] += l.Threads
		}
	}
	for _, s := range sums[1:] {
		all.oldestAt, all.routers = min(all.oldestAt, s.oldestAt), all.routers+s.routers
		for engine, l := range s.loads {
			others := routers - s.routers
			perRouter := max(threads[engine]-l.Threads, 0) / float64(max(others, 1))
			if limit := float64(s.routers) * (m.MaxSkew*perRouter + m.SkewAllowance); others >= m.MinOthers && l.Threads > limit {
				l.Memory *= limit / l.Threads
				l.Threads = limit
			}
			previous := all.loads[engine]
			all.loads[engine] = Load{engine, previous.Threads + l.Threads, previous.Memory + l.Memory}
		}
	}
	return all
}

// newMessage returns a message that holds a sum.
func (m *Machine) newMessage(kind Kind, s loadSum) Message {
	out := Message{Kind: kind, Routers: s.routers, Age: max(m.now-s.oldestAt, 0)}
	for _, l := range s.loads {
		if l.Threads > 0 || l.Memory > 0 {
			out.Loads = append(out.Loads, l)
		}
	}
	slices.SortFunc(out.Loads, func(a, b Load) int { return cmp.Compare(b.Threads, a.Threads) })
	out.Loads = out.Loads[:min(len(out.Loads), MaxLoads)]
	slices.SortFunc(out.Loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// sendTotal sends the total to the children.
func (m *Machine) sendTotal() {
	message := m.newMessage(Down, m.total)
	for i := m.selfIndex*m.FanOut + 1; i <= m.selfIndex*m.FanOut+m.FanOut && i < len(m.members); i++ {
		m.outgoing = append(m.outgoing, OutgoingMessage{m.members[i].Address, message})
	}
}

// Receive processes a message from a member's address and reports whether it changed the total. It ignores messages with invalid
// figures, from addresses that are no member's, and from members that are not in the matching direction of the tree.
func (m *Machine) Receive(now float64, from string, message *Message) bool {
	m.now = max(m.now, now)
	i, member := m.indexByAddress[from]
	if !member || m.selfIndex < 0 || i == m.selfIndex || !message.isPlausible(len(m.members)) || message.Age > m.StaleAfter {
		return false
	}
	s := loadSum{oldestAt: m.now - message.Age, routers: message.Routers, loads: map[EngineStart]Load{}}
	for _, l := range message.Loads {
		s.loads[l.EngineStart] = l
	}
	switch {
	case message.Kind == Up && i > m.selfIndex:
		m.children[from] = &s
	case message.Kind == Down && m.selfIndex > 0 && i == (m.selfIndex-1)/m.FanOut:
		m.total = s
		m.sendTotal()
		return true
	}
	return false
}

// isPlausible reports whether the figures of the message are within their bounds, in a fleet of that many members.
func (m *Message) isPlausible(members int) bool {
	if m.Routers < 1 || m.Routers > members || !(m.Age >= 0) || len(m.Loads) > MaxLoads {
		return false
	}
	return !slices.ContainsFunc(m.Loads, func(l Load) bool {
		return !(l.Threads >= 0 && l.Threads < 1e9 && l.Memory >= 0 && l.Memory < 1e12)
	})
}

// OthersLoad returns the load of all other routers and its age in seconds. It is not known if the total includes too few of the
// members or is too old. This router's own load at the time of the total is subtracted.
func (m *Machine) OthersLoad(now float64) (loads map[EngineStart]Load, age float64, known bool) {
	m.now = max(m.now, now)
	t := &m.total
	if age = m.now - t.oldestAt; t.loads == nil || age > m.StaleAfter || float64(t.routers) < m.MinCoverage*float64(len(m.members)) || len(m.members) < 2 || m.selfIndex < 0 {
		return nil, age, false
	}
	var own map[EngineStart]Load
	for _, s := range m.ownHistory { // the newest own report that the total can include
		if s.oldestAt <= t.oldestAt+m.Interval/2 || own == nil {
			own = s.loads
		}
	}
	loads = make(map[EngineStart]Load, len(t.loads))
	for engine, l := range t.loads {
		loads[engine] = Load{engine, math.Max(l.Threads-own[engine].Threads, 0), math.Max(l.Memory-own[engine].Memory, 0)}
	}
	return loads, age, true
}
