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
	Every float64 // between two tellings
	Fan   int     // members that tell one other
	Stale float64 // what is older counts no longer
	Whole float64 // share of the members that have to be in a sum for it to be believed
	Skew  float64 // no part of the fleet counts for more than so many times what the others of its size tell,
	Least float64 // and this many threads for each router; where fewer than Few others are in a sum nobody can tell who is right
	Few   int
}

// Defaults fit routers in one hall.
func Defaults() Settings {
	return Settings{Every: 0.1, Fan: 16, Stale: 0.5, Whole: 0.9, Skew: 8, Least: 4, Few: 8}
}

// Of names a start of an engine: one that is replaced has nothing of the one before.
type Of struct {
	Engine uint32
	Start  uint64 // bits of the time of its start, by the list
}

// Load is what is out at one.
type Load struct {
	Of
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

// Send is a message that is to go to an address.
type Send struct {
	To string
	Message
}

// Member is one of the view.
type Member struct{ Name, Address string }

// MostLoads is how many starts of engines one message tells of; of more the fullest are told.
const MostLoads = 40

const keptOwn = 16 // tellings of one's own that are remembered, to be taken out of what comes back

// sum is what one has told.
type sum struct {
	at      float64 // as old as it is
	routers int
	loads   map[Of]Load
}

// Machine is one router's part. Its methods are called with times that do not fall; none may be called beside another.
type Machine struct {
	Settings
	name    string
	now     float64
	tickAt  float64
	members []Member       // by name, with oneself
	names   map[string]int // place of a member, by address
	index   int            // own place; below 0: not in it

	below map[string]*sum // by address of those who tell us; stale ones leave with the next telling
	own   []sum           // the last few, the newest last
	total sum             // of all, as last told
	out   []Send
}

// New makes one.
func New(s Settings, name string, now float64) *Machine {
	return &Machine{Settings: s, name: name, now: now, tickAt: now, index: -1, names: map[string]int{}, below: map[string]*sum{}}
}

// View brings who is there, in any order.
func (m *Machine) View(members []Member) {
	m.members = slices.Clone(members)
	slices.SortFunc(m.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.index, m.names = -1, map[string]int{}
	for i, o := range m.members {
		m.names[o.Address] = i
		if o.Name == m.name {
			m.index = i
		}
	}
}

// At is when Tell is wanted next.
func (m *Machine) At() float64 { return m.tickAt }

// Sends gives what is to be sent, once.
func (m *Machine) Sends() []Send {
	out := m.out
	m.out = nil
	return out
}

// Tell brings what is out of this router now, and tells it on.
func (m *Machine) Tell(now float64, loads []Load) {
	m.now = max(m.now, now)
	if m.tickAt += m.Every; m.tickAt <= m.now { // a turn that came late is not made up for
		m.tickAt = m.now + m.Every
	}
	own := sum{at: m.now, routers: 1, loads: map[Of]Load{}}
	for _, l := range loads {
		own.loads[l.Of] = l
	}
	m.own = append(m.own, own)
	if len(m.own) > keptOwn {
		m.own = slices.Delete(m.own, 0, 1)
	}
	if m.index < 0 {
		return
	}
	all := m.sum(own)
	if m.index > 0 {
		m.out = append(m.out, Send{m.members[(m.index-1)/m.Fan].Address, m.word(Up, all)})
		return
	}
	m.total = all
	m.down()
}

// sum adds what those below have told. Whoever tells far more than the others do for as many routers is cut to a multiple of it:
// one that lies, or counts wrongly, makes no engine look full to all.
func (m *Machine) sum(own sum) sum {
	all := sum{at: own.at, routers: own.routers, loads: maps.Clone(own.loads)}
	maps.DeleteFunc(m.below, func(_ string, s *sum) bool { return s.at <= m.now-m.Stale })
	parts := []*sum{&own}
	for _, address := range slices.Sorted(maps.Keys(m.below)) { // in one order: sums of floats are told alike
		parts = append(parts, m.below[address])
	}
	threads, routers := map[Of]float64{}, 0
	for _, s := range parts {
		routers += s.routers
		for of, l := range s.loads {
			threads[of] += l.Threads
		}
	}
	for _, s := range parts[1:] {
		all.at, all.routers = min(all.at, s.at), all.routers+s.routers
		for of, l := range s.loads {
			others := routers - s.routers
			each := max(threads[of]-l.Threads, 0) / float64(max(others, 1))
			if most := float64(s.routers) * (m.Skew*each + m.Least); others >= m.Few && l.Threads > most {
				l.Memory *= most / l.Threads
				l.Threads = most
			}
			sofar := all.loads[of]
			all.loads[of] = Load{of, sofar.Threads + l.Threads, sofar.Memory + l.Memory}
		}
	}
	return all
}

// word makes a message of a sum.
func (m *Machine) word(kind Kind, s sum) Message {
	out := Message{Kind: kind, Routers: s.routers, Age: max(m.now-s.at, 0)}
	for _, l := range s.loads {
		if l.Threads > 0 || l.Memory > 0 {
			out.Loads = append(out.Loads, l)
		}
	}
	slices.SortFunc(out.Loads, func(a, b Load) int { return cmp.Compare(b.Threads, a.Threads) })
	out.Loads = out.Loads[:min(len(out.Loads), MostLoads)]
	slices.SortFunc(out.Loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// down tells the total to those who tell us.
func (m *Machine) down() {
	message := m.word(Down, m.total)
	for i := m.index*m.Fan + 1; i <= m.index*m.Fan+m.Fan && i < len(m.members); i++ {
		m.out = append(m.out, Send{m.members[i].Address, message})
	}
}

// Heard takes in a message of a member at an address. It gives true if what is known of all is new. A message whose figures
// can't be is of no use; whoever is no member, or stands where no such message comes from, is not listened to.
func (m *Machine) Heard(now float64, from string, message *Message) bool {
	m.now = max(m.now, now)
	i, member := m.names[from]
	if !member || m.index < 0 || i == m.index || !message.sound(len(m.members)) || message.Age > m.Stale {
		return false
	}
	s := sum{at: m.now - message.Age, routers: message.Routers, loads: map[Of]Load{}}
	for _, l := range message.Loads {
		s.loads[l.Of] = l
	}
	switch {
	case message.Kind == Up && i > m.index:
		m.below[from] = &s
	case message.Kind == Down && m.index > 0 && i == (m.index-1)/m.Fan:
		m.total = s
		m.down()
		return true
	}
	return false
}

// sound: figures that can be.
func (m *Message) sound(members int) bool {
	if m.Routers < 1 || m.Routers > members || !(m.Age >= 0) || len(m.Loads) > MostLoads {
		return false
	}
	return !slices.ContainsFunc(m.Loads, func(l Load) bool {
		return !(l.Threads >= 0 && l.Threads < 1e9 && l.Memory >= 0 && l.Memory < 1e12)
	})
}

// Others is what is out of all others, and how old that is. It is not known (false) where too few of the members are in it or
// it is too old. What was out of oneself then is taken out of it.
func (m *Machine) Others(now float64) (loads map[Of]Load, age float64, known bool) {
	m.now = max(m.now, now)
	t := &m.total
	if age = m.now - t.at; t.loads == nil || age > m.Stale || float64(t.routers) < m.Whole*float64(len(m.members)) || len(m.members) < 2 || m.index < 0 {
		return nil, age, false
	}
	var own map[Of]Load
	for _, s := range m.own { // the newest that the sum can hold
		if s.at <= t.at+m.Every/2 || own == nil {
			own = s.loads
		}
	}
	loads = make(map[Of]Load, len(t.loads))
	for of, l := range t.loads {
		loads[of] = Load{of, math.Max(l.Threads-own[of].Threads, 0), math.Max(l.Memory-own[of].Memory, 0)}
	}
	return loads, age, true
}
