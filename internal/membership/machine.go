package membership

import (
	"math"
	"math/rand/v2"
	"slices"
)

// record is what is known of a member.
type record struct {
	Member
	stateSince    float64 // in this state
	deadAt        float64 // of a suspect
	accusers      []string
	transmissions int     // how often its last change has been told; no longer news at some number
	lastReceived  float64 // when it last spoke itself
	viewHash      uint64  // the view that it then had
}

func (r *record) isPresent() bool { return r.State <= Suspect }

// probe is the one that goes on.
type probe struct {
	target       *record
	start        uint64
	number       uint32
	sentAt       float64
	indirectAt   float64
	deadline     float64
	indirectSent bool
	finished     bool // answered, or given up
}

// relayedProbe is a probe that goes on for another.
type relayedProbe struct {
	number, requesterNumber uint32
	requester               string
	deadline                float64
}

// Machine is one router's part. Its methods are called with times that do not fall; none may be called beside another.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      float64
	wakeAt   float64

	self                Member
	records             map[string]*record // by name; forget deletes those that are gone
	probeOrder          []*record          // who is probed next, in an order of its own; those that are gone leave it in passing
	probeIndex          int
	suspects            []*record
	gossipQueue         []*record // that has not been told often enough
	memberCount         int       // members, with oneself
	viewHash            uint64
	bucketHashes        [Buckets]uint32
	viewChanges         uint64
	viewSince           float64
	probe               probe
	nextProbeAt         float64
	lastNumber          uint32
	relayedProbes       []relayedProbe // bounded; answered or late ones leave it
	localHealth         int            // 0: one's own timer keeps its time; with each step all waits grow by their own length
	lastReceivedAt      float64
	nextSyncAt          float64 // not before
	nextSyncReplyAt     float64 // comparings are answered from then on
	nextJoinAt          float64
	leaving             bool
	nameConflict        bool // another start of this name is newer, at another address
	nameConflictAt      float64
	pauseSettleAt       float64 // until then nothing that was believed before a standstill is settled
	certainty           Certainty
	certaintySince      float64
	settledNames        map[string]bool // names with whom it settled; missing deletes those that left or have long been dead
	statesChanged       bool            // a state has changed since it was looked whether they are missing
	majorityLost        bool            // they are
	nextMajorityCheckAt float64
	recentSenders       []*record // heard lately; looking drops the others
	nextCleanupAt       float64
	cutOffSince         float64 // since when cut off; 0: not

	outgoing []OutgoingMessage
	notes    []Note
}

const (
	maxLocalHealth        = 8
	maxRelayedProbes      = 64
	maxRecords            = 20000 // beyond that no new one is taken in: nobody has so many, and whoever sends them lies
	minSyncReplyInterval  = 0.05
	majorityCheckInterval = 1
	minWakeInterval       = 0.002 // between two wakings, whatever is due
	joinedIntervalFactor  = 30    // times Join: seeds are asked, though others are known
)

// New makes one that begins at a time.
func New(s Settings, seed uint64, now float64) *Machine {
	m := &Machine{settings: s, random: rand.New(rand.NewPCG(seed, 0x6d656d62)), now: now, records: map[string]*record{}, settledNames: map[string]bool{},
		self: Member{ID: s.Self, Address: s.Listen}, memberCount: 1, viewHash: s.Self.hash(), viewSince: now, certaintySince: now, nextJoinAt: now, lastReceivedAt: now}
	m.bucketHashes[bucketIndex(s.Self.Name)] = uint32(m.viewHash)
	m.nextProbeAt = now + s.ProbeInterval*m.random.Float64()
	m.wakeAt = now
	return m
}

func bucketIndex(name string) int { return int(ID{Name: name}.hash() % Buckets) }

// NextWake is when Wake is wanted next.
func (m *Machine) NextWake() float64 { return m.wakeAt }

// TakeOutgoing gives what is to be sent, once.
func (m *Machine) TakeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// TakeNotes gives what has changed, once.
func (m *Machine) TakeNotes() []Note {
	out := m.notes
	m.notes = nil
	return out
}

func (m *Machine) addNote(loud bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, loud, fields})
}

// scaleByHealth stretches a wait by one's own lateness.
func (m *Machine) scaleByHealth(wait float64) float64 { return wait * float64(1+m.localHealth) }

// advanceClock brings the time. Where our own timer comes far too late we stood still ourselves: what others failed to say
// meanwhile was not failed by them, so all that waits for them waits longer by as much. It covers a process that was stopped,
// a machine that gave it no core, and a long turn of its loop. It hurts where the timer is late while packets are not.
func (m *Machine) advanceClock(now float64) {
	late := now - m.wakeAt
	m.now = max(m.now, now)
	if late <= max(m.settings.ProbeInterval/2, m.settings.ProbeTimeout) {
		return
	}
	for _, r := range m.suspects {
		r.deadAt += late
	}
	m.probe.indirectAt, m.probe.deadline = m.probe.indirectAt+late, m.probe.deadline+late
	for i := range m.relayedProbes {
		m.relayedProbes[i].deadline += late
	}
	m.localHealth = min(m.localHealth+1, maxLocalHealth)
	m.wakeAt = m.now
	if late > m.settings.minSuspicion(m.memberCount) { // others may have given us up, and we know nothing of them
		m.pauseSettleAt = m.now + m.settings.SettleDelay
		m.addNote(true, "stood still", "seconds", late, "members", m.memberCount)
		m.nextSyncAt, m.nextJoinAt = m.now, min(m.nextJoinAt, m.now+m.settings.ProbeInterval)
	}
}

// Wake does what is due.
func (m *Machine) Wake(now float64) {
	m.advanceClock(now)
	switch {
	case m.leaving:
	case m.nameConflict:
		m.contactSeed()
	default:
		m.expireSuspicions()
		m.runProbes()
		m.contactSeed()
		m.removeOldRecords()
	}
	m.updateCertainty()
	m.scheduleWake()
}

// scheduleWake sets the next time.
func (m *Machine) scheduleWake() {
	at := m.nextJoinAt
	if !m.nameConflict {
		switch p := &m.probe; {
		case p.finished || p.target == nil:
			at = min(at, m.nextProbeAt)
		case p.indirectSent:
			at = min(at, p.deadline)
		default:
			at = min(at, p.indirectAt)
		}
		for _, r := range m.suspects {
			at = min(at, r.deadAt)
		}
		for _, a := range m.relayedProbes {
			at = min(at, a.deadline)
		}
	}
	if m.leaving {
		at = math.Inf(1)
	}
	m.wakeAt = max(at, m.now+minWakeInterval)
}

// runProbes ends the probe that goes on, and begins the next one.
func (m *Machine) runProbes() {
	p := &m.probe
	if p.target != nil && !p.finished {
		switch {
		case !p.target.isPresent() || p.target.Start != p.start: // it has gone meanwhile, or is another
			p.finished = true
		case m.now >= p.deadline:
			p.finished = true
			if m.lastReceivedAt < p.sentAt { // nobody was heard all that time: it may well be us
				m.localHealth = min(m.localHealth+1, maxLocalHealth)
			}
			m.raiseSuspicion(p.target)
		case m.now >= p.indirectAt && !p.indirectSent:
			p.indirectSent = true
			for _, r := range m.chooseHelpers(p.target) {
				m.send(r.Address, Message{Kind: PingRequest, Number: p.number, Target: p.target.Member}, r)
			}
		}
	}
	for i := 0; i < len(m.relayedProbes); {
		if a := m.relayedProbes[i]; m.now >= a.deadline {
			m.send(a.requester, Message{Kind: Nack, Number: a.requesterNumber}, nil)
			m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
			continue
		}
		i++
	}
	if m.now < m.nextProbeAt || p.target != nil && !p.finished {
		return
	}
	m.nextProbeAt = m.now + m.scaleByHealth(m.settings.ProbeInterval)
	target := m.nextProbeTarget()
	if target == nil {
		return
	}
	m.lastNumber++
	*p = probe{target: target, start: target.Start, number: m.lastNumber, sentAt: m.now, indirectAt: m.now + m.scaleByHealth(m.settings.ProbeTimeout),
		deadline: m.now + m.scaleByHealth(m.settings.ProbeInterval)*0.98}
	m.send(target.Address, Message{Kind: Ping, Number: p.number, Target: target.Member}, target)
}

// nextProbeTarget is whom to probe: each in turn, in an order that is drawn anew for each round, so that nobody waits longer than two.
func (m *Machine) nextProbeTarget() *record {
	for range 2 {
		for m.probeIndex < len(m.probeOrder) {
			r := m.probeOrder[m.probeIndex]
			m.probeIndex++
			if r.isPresent() && m.records[r.Name] == r {
				return r
			}
		}
		m.probeOrder = slices.DeleteFunc(m.probeOrder, func(r *record) bool { return !r.isPresent() || m.records[r.Name] != r })
		m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		m.probeIndex = 0
	}
	return nil
}

// chooseHelpers are some others to probe a member, of those that were heard lately if there are enough: when many die at once most
// others can't help.
func (m *Machine) chooseHelpers(target *record) (out []*record) {
	var lately, other []*record
	for _, r := range m.probeOrder {
		if r == target || !r.isPresent() || m.records[r.Name] != r {
			continue
		}
		if r.State == Alive && r.lastReceived > m.now-m.settings.RecentWindow {
			lately = append(lately, r)
		} else {
			other = append(other, r)
		}
	}
	for _, from := range [][]*record{lately, other} {
		for _, i := range m.random.Perm(len(from)) {
			if len(out) < m.settings.IndirectProbes {
				out = append(out, from[i])
			}
		}
	}
	return out
}

// raiseSuspicion holds a member for failed, on our own word.
func (m *Machine) raiseSuspicion(r *record) {
	m.applyUpdate(Member{ID: r.ID, Address: r.Address, Incarnation: r.Incarnation, State: Suspect, Accuser: m.self.Name})
	if r.State == Suspect { // it is told first: whoever lives refutes
		m.send(r.Address, Message{Kind: Gossip}, r)
	}
}

// expireSuspicions gives up those whose suspicion has lasted long enough.
func (m *Machine) expireSuspicions() {
	for _, r := range slices.Clone(m.suspects) {
		if m.now >= r.deadAt {
			m.setState(r, Dead, "suspected without a word", r.accusers...)
		}
	}
}

// removeOldRecords drops those that have long been gone.
func (m *Machine) removeOldRecords() {
	if m.now < m.nextCleanupAt {
		return
	}
	m.nextCleanupAt = m.now + 1
	for name, r := range m.records {
		if !r.isPresent() && m.now > r.stateSince+max(m.settings.DeadRetention, m.settings.AcceptLossAfter+majorityCheckInterval) {
			delete(m.records, name)
			m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(o *record) bool { return o == r })
		}
	}
}

// contactSeed calls at a seed: often while nobody is known, rarely later, so that halves which have given each other up meet again.
// Now and then one that was given up is called in place of a seed.
func (m *Machine) contactSeed() {
	if m.now < m.nextJoinAt {
		return
	}
	wait := m.settings.JoinInterval * (0.75 + 0.5*m.random.Float64())
	// Often too while no seed is known: two that found each other but no seed are a fleet of their own, beside the others.
	if m.memberCount > 1 && m.certainty != CutOff && !m.nameConflict && m.hasSeedInView() {
		wait *= joinedIntervalFactor
	}
	m.nextJoinAt = m.now + wait
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
		m.sendDigest(to[m.random.IntN(len(to))], false)
	}
}

// hasSeedInView: one of the seeds is in the view, or there is none but oneself.
func (m *Machine) hasSeedInView() bool {
	others := false
	for _, seed := range m.settings.Seeds {
		if seed == m.self.Address {
			continue
		}
		others = true
		for _, r := range m.records {
			if r.isPresent() && r.Address == seed {
				return true
			}
		}
	}
	return !others
}

func (m *Machine) sendDigest(to string, answer bool) {
	m.send(to, Message{Kind: Digest, IsReply: answer, Hashes: slices.Clone(m.bucketHashes[:])}, nil)
}

// Leave tells others that this router goes. What comes later changes nothing.
func (m *Machine) Leave(now float64) {
	m.advanceClock(now)
	if m.leaving {
		return
	}
	m.self.Incarnation++
	m.self.State = Left
	var all []*record
	for _, r := range m.probeOrder {
		if r.isPresent() && m.records[r.Name] == r {
			all = append(all, r)
		}
	}
	m.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if m.nameConflict {
		all = nil
	}
	for _, r := range all[:min(len(all), 4*m.settings.IndirectProbes)] {
		m.send(r.Address, Message{Kind: Gossip}, nil)
	}
	m.leaving = true
	m.scheduleWake()
}

// Envelope is what any message to another router says first: who sends it and of which view.
func (m *Machine) Envelope() Message {
	return Message{Kind: Gossip, From: m.self, ViewHash: m.viewHash, MemberCount: m.memberCount}
}

// send fills a message up with rumours. What is told of the one it goes to comes first.
func (m *Machine) send(to string, message Message, of *record) {
	e := m.Envelope()
	message.From, message.ViewHash, message.MemberCount = e.From, e.ViewHash, e.MemberCount
	room := m.settings.MaxRumourBytes - 4*len(message.Hashes)
	if of != nil && of.State != Alive {
		message.Rumours = append(message.Rumours, of.Member)
		room -= of.encodedSize()
	}
	message.Rumours = m.appendRumours(message.Rumours, room, of)
	m.outgoing = append(m.outgoing, OutgoingMessage{to, message})
}

// appendRumours takes what has been told least.
func (m *Machine) appendRumours(rumours []Member, room int, but *record) []Member {
	if len(m.gossipQueue) == 0 {
		return rumours
	}
	limit := m.settings.retransmitLimit(m.memberCount)
	slices.SortStableFunc(m.gossipQueue, func(a, b *record) int { return a.transmissions - b.transmissions })
	for _, r := range m.gossipQueue {
		if r == but {
			continue
		}
		if room -= r.encodedSize(); room < 0 {
			break
		}
		r.transmissions++
		rumours = append(rumours, r.Member)
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *record) bool { return r.transmissions >= limit })
	return rumours
}

// queueRumour makes news of a record.
func (m *Machine) queueRumour(r *record) {
	r.transmissions = 0
	if !slices.Contains(m.gossipQueue, r) {
		m.gossipQueue = append(m.gossipQueue, r)
	}
}
