// Package news is what routers tell each other of what they see: so far the load that each has out at each engine. It is pure:
// times, messages and own figures come in, messages go out; it reads no clock, opens no socket and draws no chance.
//
// What is out is summed up a tree over the members by name and told down again, so that a router sends and hears as much in a
// fleet of a thousand as in one of twenty. Sums flow to a smaller name only, whatever view whoever has, so that nothing goes
// round. docs/news.md weighs the ways.
package news

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Settings say how a machine goes about it. Times are seconds.
type Settings struct {
	Interval      float64 // between two tellings
	FanOut        int     // members that tell one other
	StaleAfter    float64 // what is older counts no longer
	MinCoverage   float64 // share of the members that have to be in a sum for it to be believed
	MaxSkew       float64 // no part of the fleet counts for more than so many times what the others of its size tell,
	SkewAllowance float64 // and this many threads for each router; where fewer than Few others are in a sum nobody can tell who is right
	MinOthers     int
}

// Defaults fit routers in one hall.
func Defaults() Settings {
	return Settings{Interval: 0.1, FanOut: 16, StaleAfter: 0.5, MinCoverage: 0.9, MaxSkew: 8, SkewAllowance: 4, MinOthers: 8}
}

// EngineStart names a start of an engine: one that is replaced has nothing of the one before.
type EngineStart struct {
	Engine uint32
	Start  uint64 // bits of the time of its start, by the list
}

// Load is what is out at one.
type Load struct {
	EngineStart
	Threads float64
	Memory  float64 // MB
}

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Up   Kind = iota + 1 // what is out of the sender, and of those who tell him
	Down                 // what is out of all
)

// Message is one datagram.
type Message struct {
	Kind    Kind
	Routers int     // that are in it
	Age     float64 // of the oldest of it, seconds
	Loads   []Load  // by engine; what is not in it is 0
}

// OutgoingMessage is a message that is to go to an address.
type OutgoingMessage struct {
	To string
	Message
}

// Member is one of the view.
type Member struct{ Name, Address string }

// MaxLoads is how many starts of engines one message tells of; of more the fullest are told.
const MaxLoads = 40

const maxOwnHistory = 16 // tellings of one's own that are remembered, to be taken out of what comes back

// loadSum is what one has told.
type loadSum struct {
	oldestAt float64 // as old as it is
	routers  int
	loads    map[EngineStart]Load
}

// Machine is one router's part. Its methods are called with times that do not fall; none may be called beside another.
type Machine struct {
	Settings
	name           string
	now            float64
	nextReportAt   float64
	members        []Member       // by name, with oneself
	indexByAddress map[string]int // place of a member, by address
	selfIndex      int            // own place; below 0: not in it

	children   map[string]*loadSum // by address of those who tell us; stale ones leave with the next telling
	ownHistory []loadSum           // the last few, the newest last
	total      loadSum             // of all, as last told
	outgoing   []OutgoingMessage
}

// New makes one.
func New(s Settings, name string, now float64) *Machine {
	return &Machine{Settings: s, name: name, now: now, nextReportAt: now, selfIndex: -1, indexByAddress: map[string]int{}, children: map[string]*loadSum{}}
}

// SetMembers brings who is there, in any order.
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

// NextReport is when Tell is wanted next.
func (m *Machine) NextReport() float64 { return m.nextReportAt }

// TakeOutgoing gives what is to be sent, once.
func (m *Machine) TakeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// Report brings what is out of this router now, and tells it on.
func (m *Machine) Report(now float64, loads []Load) {
	m.now = max(m.now, now)
	if m.nextReportAt += m.Interval; m.nextReportAt <= m.now { // a turn that came late is not made up for
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

// aggregate adds what those below have told. Whoever tells far more than the others do for as many routers is cut to a multiple of it:
// one that lies, or counts wrongly, makes no engine look full to all.
func (m *Machine) aggregate(own loadSum) loadSum {
	all := loadSum{oldestAt: own.oldestAt, routers: own.routers, loads: maps.Clone(own.loads)}
	maps.DeleteFunc(m.children, func(_ string, s *loadSum) bool { return s.oldestAt <= m.now-m.StaleAfter })
	parts := []*loadSum{&own}
	for _, address := range slices.Sorted(maps.Keys(m.children)) { // in one order: sums of floats are told alike
		parts = append(parts, m.children[address])
	}
	threads, routers := map[EngineStart]float64{}, 0
	for _, s := range parts {
		routers += s.routers
		for of, l := range s.loads {
			threads[of] += l.Threads
		}
	}
	for _, s := range parts[1:] {
		all.oldestAt, all.routers = min(all.oldestAt, s.oldestAt), all.routers+s.routers
		for of, l := range s.loads {
			others := routers - s.routers
			each := max(threads[of]-l.Threads, 0) / float64(max(others, 1))
			if most := float64(s.routers) * (m.MaxSkew*each + m.SkewAllowance); others >= m.MinOthers && l.Threads > most {
				l.Memory *= most / l.Threads
				l.Threads = most
			}
			sofar := all.loads[of]
			all.loads[of] = Load{of, sofar.Threads + l.Threads, sofar.Memory + l.Memory}
		}
	}
	return all
}

// newMessage makes a message of a sum.
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

// sendTotal tells the total to those who tell us.
func (m *Machine) sendTotal() {
	message := m.newMessage(Down, m.total)
	for i := m.selfIndex*m.FanOut + 1; i <= m.selfIndex*m.FanOut+m.FanOut && i < len(m.members); i++ {
		m.outgoing = append(m.outgoing, OutgoingMessage{m.members[i].Address, message})
	}
}

// Receive takes in a message of a member at an address. It gives true if what is known of all is new. A message whose figures
// can't be is of no use; whoever is no member, or stands where no such message comes from, is not listened to.
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

// isPlausible: figures that can be.
func (m *Message) isPlausible(members int) bool {
	if m.Routers < 1 || m.Routers > members || !(m.Age >= 0) || len(m.Loads) > MaxLoads {
		return false
	}
	return !slices.ContainsFunc(m.Loads, func(l Load) bool {
		return !(l.Threads >= 0 && l.Threads < 1e9 && l.Memory >= 0 && l.Memory < 1e12)
	})
}

// OthersLoad is what is out of all others, and how old that is. It is not known (false) where too few of the members are in it or
// it is too old. What was out of oneself then is taken out of it.
func (m *Machine) OthersLoad(now float64) (loads map[EngineStart]Load, age float64, known bool) {
	m.now = max(m.now, now)
	t := &m.total
	if age = m.now - t.oldestAt; t.loads == nil || age > m.StaleAfter || float64(t.routers) < m.MinCoverage*float64(len(m.members)) || len(m.members) < 2 || m.selfIndex < 0 {
		return nil, age, false
	}
	var own map[EngineStart]Load
	for _, s := range m.ownHistory { // the newest that the sum can hold
		if s.oldestAt <= t.oldestAt+m.Interval/2 || own == nil {
			own = s.loads
		}
	}
	loads = make(map[EngineStart]Load, len(t.loads))
	for of, l := range t.loads {
		loads[of] = Load{of, math.Max(l.Threads-own[of].Threads, 0), math.Max(l.Memory-own[of].Memory, 0)}
	}
	return loads, age, true
}
