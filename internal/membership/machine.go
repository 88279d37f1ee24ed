package membership

import (
	"math"
	"math/rand/v2"
	"slices"
)

// record is what is known of a member.
type record struct {
	Member
	since    float64 // in this state
	dieAt    float64 // of a suspect
	accusers []string
	told     int     // how often its last change has been told; no longer news at some number
	heard    float64 // when it last spoke itself
	view     uint64  // the view that it then had
}

func (r *record) there() bool { return r.State <= Suspect }

// probe is the one that goes on.
type probe struct {
	target  *record
	start   uint64
	number  uint32
	sent    float64
	askAt   float64
	endAt   float64
	asked   bool
	settled bool // answered, or given up
}

// ask is a probe that goes on for another.
type ask struct {
	number, theirs uint32
	to             string
	until          float64
}

// Machine is one router's part. Its methods are called with times that do not fall; none may be called beside another.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      float64
	wakeAt   float64

	self      Member
	records   map[string]*record // by name; forget deletes those that are gone
	ring      []*record          // who is probed next, in an order of its own; those that are gone leave it in passing
	turn      int
	suspects  []*record
	news      []*record // that has not been told often enough
	there     int       // members, with oneself
	hash      uint64
	buckets   [Buckets]uint32
	number    uint64
	since     float64
	probe     probe
	probeAt   float64
	numbers   uint32
	asks      []ask // bounded; answered or late ones leave it
	health    int   // 0: one's own timer keeps its time; with each step all waits grow by their own length
	heardAt   float64
	compareAt float64 // not before
	answersAt float64 // comparings are answered from then on
	joinAt    float64
	leaving   bool
	double    bool // another start of this name is newer, at another address
	doubleAt  float64
	stoodAt   float64 // until then nothing that was believed before a standstill is settled
	state     Certainty
	stateAt   float64
	basis     map[string]bool // names with whom it settled; missing deletes those that left or have long been dead
	moved     bool            // a state has changed since it was looked whether they are missing
	lacks     bool            // they are
	missAt    float64
	recent    []*record // heard lately; looking drops the others
	forgetAt  float64
	cutAt     float64 // since when cut off; 0: not

	out   []Send
	notes []Note
}

const (
	mostHealth  = 8
	mostAsks    = 64
	mostMembers = 20000 // beyond that no new one is taken in: nobody has so many, and whoever sends them lies
	answerEvery = 0.05
	missEvery   = 1
	shortest    = 0.002 // between two wakings, whatever is due
	rarely      = 30    // times Join: seeds are asked, though others are known
)

// New makes one that begins at a time.
func New(s Settings, seed uint64, now float64) *Machine {
	m := &Machine{settings: s, random: rand.New(rand.NewPCG(seed, 0x6d656d62)), now: now, records: map[string]*record{}, basis: map[string]bool{},
		self: Member{ID: s.Self, Address: s.Listen}, there: 1, hash: s.Self.hash(), since: now, stateAt: now, joinAt: now, heardAt: now}
	m.buckets[bucket(s.Self.Name)] = uint32(m.hash)
	m.probeAt = now + s.Every*m.random.Float64()
	m.wakeAt = now
	return m
}

func bucket(name string) int { return int(ID{Name: name}.hash() % Buckets) }

// At is when Wake is wanted next.
func (m *Machine) At() float64 { return m.wakeAt }

// Sends gives what is to be sent, once.
func (m *Machine) Sends() []Send {
	out := m.out
	m.out = nil
	return out
}

// Notes gives what has changed, once.
func (m *Machine) Notes() []Note {
	out := m.notes
	m.notes = nil
	return out
}

func (m *Machine) note(loud bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, loud, fields})
}

// slow stretches a wait by one's own lateness.
func (m *Machine) slow(wait float64) float64 { return wait * float64(1+m.health) }

// clock brings the time. Where our own timer comes far too late we stood still ourselves: what others failed to say
// meanwhile was not failed by them, so all that waits for them waits longer by as much. It covers a process that was stopped,
// a machine that gave it no core, and a long turn of its loop. It hurts where the timer is late while packets are not.
func (m *Machine) clock(now float64) {
	late := now - m.wakeAt
	m.now = max(m.now, now)
	if late <= max(m.settings.Every/2, m.settings.Ask) {
		return
	}
	for _, r := range m.suspects {
		r.dieAt += late
	}
	m.probe.askAt, m.probe.endAt = m.probe.askAt+late, m.probe.endAt+late
	for i := range m.asks {
		m.asks[i].until += late
	}
	m.health = min(m.health+1, mostHealth)
	m.wakeAt = m.now
	if late > m.settings.least(m.there) { // others may have given us up, and we know nothing of them
		m.stoodAt = m.now + m.settings.Settle
		m.note(true, "stood still", "seconds", late, "members", m.there)
		m.compareAt, m.joinAt = m.now, min(m.joinAt, m.now+m.settings.Every)
	}
}

// Wake does what is due.
func (m *Machine) Wake(now float64) {
	m.clock(now)
	switch {
	case m.leaving:
	case m.double:
		m.join()
	default:
		m.bury()
		m.probing()
		m.join()
		m.forget()
	}
	m.look()
	m.plan()
}

// plan sets the next time.
func (m *Machine) plan() {
	at := m.joinAt
	if !m.double {
		switch p := &m.probe; {
		case p.settled || p.target == nil:
			at = min(at, m.probeAt)
		case p.asked:
			at = min(at, p.endAt)
		default:
			at = min(at, p.askAt)
		}
		for _, r := range m.suspects {
			at = min(at, r.dieAt)
		}
		for _, a := range m.asks {
			at = min(at, a.until)
		}
	}
	if m.leaving {
		at = math.Inf(1)
	}
	m.wakeAt = max(at, m.now+shortest)
}

// probing ends the probe that goes on, and begins the next one.
func (m *Machine) probing() {
	p := &m.probe
	if p.target != nil && !p.settled {
		switch {
		case !p.target.there() || p.target.Start != p.start: // it has gone meanwhile, or is another
			p.settled = true
		case m.now >= p.endAt:
			p.settled = true
			if m.heardAt < p.sent { // nobody was heard all that time: it may well be us
				m.health = min(m.health+1, mostHealth)
			}
			m.accuse(p.target)
		case m.now >= p.askAt && !p.asked:
			p.asked = true
			for _, r := range m.helpers(p.target) {
				m.send(r.Address, Message{Kind: Ask, Number: p.number, Target: p.target.Member}, r)
			}
		}
	}
	for i := 0; i < len(m.asks); {
		if a := m.asks[i]; m.now >= a.until {
			m.send(a.to, Message{Kind: Nack, Number: a.theirs}, nil)
			m.asks = slices.Delete(m.asks, i, i+1)
			continue
		}
		i++
	}
	if m.now < m.probeAt || p.target != nil && !p.settled {
		return
	}
	m.probeAt = m.now + m.slow(m.settings.Every)
	target := m.next()
	if target == nil {
		return
	}
	m.numbers++
	*p = probe{target: target, start: target.Start, number: m.numbers, sent: m.now, askAt: m.now + m.slow(m.settings.Ask),
		endAt: m.now + m.slow(m.settings.Every)*0.98}
	m.send(target.Address, Message{Kind: Ping, Number: p.number, Target: target.Member}, target)
}

// next is whom to probe: each in turn, in an order that is drawn anew for each round, so that nobody waits longer than two.
func (m *Machine) next() *record {
	for range 2 {
		for m.turn < len(m.ring) {
			r := m.ring[m.turn]
			m.turn++
			if r.there() && m.records[r.Name] == r {
				return r
			}
		}
		m.ring = slices.DeleteFunc(m.ring, func(r *record) bool { return !r.there() || m.records[r.Name] != r })
		m.random.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		m.turn = 0
	}
	return nil
}

// helpers are some others to probe a member, of those that were heard lately if there are enough: when many die at once most
// others can't help.
func (m *Machine) helpers(target *record) (out []*record) {
	var lately, other []*record
	for _, r := range m.ring {
		if r == target || !r.there() || m.records[r.Name] != r {
			continue
		}
		if r.State == Alive && r.heard > m.now-m.settings.Lately {
			lately = append(lately, r)
		} else {
			other = append(other, r)
		}
	}
	for _, from := range [][]*record{lately, other} {
		for _, i := range m.random.Perm(len(from)) {
			if len(out) < m.settings.Helpers {
				out = append(out, from[i])
			}
		}
	}
	return out
}

// accuse holds a member for failed, on our own word.
func (m *Machine) accuse(r *record) {
	m.hear(Member{ID: r.ID, Address: r.Address, Incarnation: r.Incarnation, State: Suspect, By: m.self.Name})
	if r.State == Suspect { // it is told first: whoever lives refutes
		m.send(r.Address, Message{Kind: Tell}, r)
	}
}

// bury gives up those whose suspicion has lasted long enough.
func (m *Machine) bury() {
	for _, r := range slices.Clone(m.suspects) {
		if m.now >= r.dieAt {
			m.change(r, Dead, "suspected without a word", r.accusers...)
		}
	}
}

// forget drops those that have long been gone.
func (m *Machine) forget() {
	if m.now < m.forgetAt {
		return
	}
	m.forgetAt = m.now + 1
	for name, r := range m.records {
		if !r.there() && m.now > r.since+max(m.settings.Keep, m.settings.Accept+missEvery) {
			delete(m.records, name)
			m.news = slices.DeleteFunc(m.news, func(o *record) bool { return o == r })
		}
	}
}

// join calls at a seed: often while nobody is known, rarely later, so that halves which have given each other up meet again.
// Now and then one that was given up is called in place of a seed.
func (m *Machine) join() {
	if m.now < m.joinAt {
		return
	}
	wait := m.settings.Join * (0.75 + 0.5*m.random.Float64())
	// Often too while no seed is known: two that found each other but no seed are a fleet of their own, beside the others.
	if m.there > 1 && m.state != CutOff && !m.double && m.knowsSeed() {
		wait *= rarely
	}
	m.joinAt = m.now + wait
	var to []string
	for _, s := range m.settings.Seeds {
		if s != m.self.Address {
			to = append(to, s)
		}
	}
	var gone []string
	for _, r := range m.records {
		if r.State == Dead {
			gone = append(gone, r.Address)
		}
	}
	slices.Sort(gone)
	if len(gone) > 0 && (len(to) == 0 || m.random.IntN(2) == 0) {
		to = gone
	}
	if len(to) > 0 {
		m.compare(to[m.random.IntN(len(to))], false)
	}
}

// knowsSeed: one of the seeds is in the view, or there is none but oneself.
func (m *Machine) knowsSeed() bool {
	others := false
	for _, seed := range m.settings.Seeds {
		if seed == m.self.Address {
			continue
		}
		others = true
		for _, r := range m.records {
			if r.there() && r.Address == seed {
				return true
			}
		}
	}
	return !others
}

func (m *Machine) compare(to string, answer bool) {
	m.send(to, Message{Kind: Compare, Answer: answer, Hashes: slices.Clone(m.buckets[:])}, nil)
}

// Leave tells others that this router goes. What comes later changes nothing.
func (m *Machine) Leave(now float64) {
	m.clock(now)
	if m.leaving {
		return
	}
	m.self.Incarnation++
	m.self.State = Left
	var all []*record
	for _, r := range m.ring {
		if r.there() && m.records[r.Name] == r {
			all = append(all, r)
		}
	}
	m.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if m.double {
		all = nil
	}
	for _, r := range all[:min(len(all), 4*m.settings.Helpers)] {
		m.send(r.Address, Message{Kind: Tell}, nil)
	}
	m.leaving = true
	m.plan()
}

// Envelope is what any message to another router says first: who sends it and of which view.
func (m *Machine) Envelope() Message {
	return Message{Kind: Tell, From: m.self, View: m.hash, Count: m.there}
}

// send fills a message up with rumours. What is told of the one it goes to comes first.
func (m *Machine) send(to string, message Message, of *record) {
	e := m.Envelope()
	message.From, message.View, message.Count = e.From, e.View, e.Count
	room := m.settings.Rumours - 4*len(message.Hashes)
	if of != nil && of.State != Alive {
		message.Rumours = append(message.Rumours, of.Member)
		room -= of.size()
	}
	message.Rumours = m.gossip(message.Rumours, room, of)
	m.out = append(m.out, Send{to, message})
}

// gossip takes what has been told least.
func (m *Machine) gossip(rumours []Member, room int, but *record) []Member {
	if len(m.news) == 0 {
		return rumours
	}
	limit := m.settings.tells(m.there)
	slices.SortStableFunc(m.news, func(a, b *record) int { return a.told - b.told })
	for _, r := range m.news {
		if r == but {
			continue
		}
		if room -= r.size(); room < 0 {
			break
		}
		r.told++
		rumours = append(rumours, r.Member)
	}
	m.news = slices.DeleteFunc(m.news, func(r *record) bool { return r.told >= limit })
	return rumours
}

// spread makes news of a record.
func (m *Machine) spread(r *record) {
	r.told = 0
	if !slices.Contains(m.news, r) {
		m.news = append(m.news, r)
	}
}
