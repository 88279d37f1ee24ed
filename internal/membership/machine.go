package membership

import (
	"math"
	"math/rand/v2"
	"slices"
)

// record is what this router knows about another member. Times are seconds.
type record struct {
	Member
	stateSince    float64 // time at which State took its value
	deadAt        float64 // of a suspected member: time at which the suspicion times out
	accusers      []string
	transmissions int     // how often the last change was sent as a rumour; no longer sent at the retransmit limit
	lastReceived  float64 // time of the last message from the member itself; 0: none
	viewHash      uint64  // hash of the member's view in that message
}

// isPresent reports whether the member is in the view. Suspected members are.
func (r *record) isPresent() bool { return r.State <= Suspect }

// probe is the probe that this router has in progress. Times are seconds.
type probe struct {
	target       *record
	start        uint64 // start of the target when the probe began
	number       uint32
	sentAt       float64
	indirectAt   float64 // time at which helpers are asked to probe as well
	deadline     float64 // time at which the target is suspected
	indirectSent bool    // the helpers have been asked
	finished     bool    // answered, or given up
}

// relayedProbe is a probe that this router makes for another one.
type relayedProbe struct {
	number          uint32  // number of this router's Ping
	requesterNumber uint32  // number of the requester's PingRequest
	requester       string  // address
	deadline        float64 // time in seconds at which a Nack is sent
}

// Machine is the membership state machine of one router. The times that are passed to its methods must not decrease. It is not
// safe for concurrent use. All times are seconds.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      float64
	wakeAt   float64

	self                Member
	records             map[string]*record // by name; removeOldRecords deletes those of absent members
	probeOrder          []*record          // shuffled order of probes; absent members are removed at the end of each round
	probeIndex          int                // index in probeOrder of the next target
	suspects            []*record
	gossipQueue         []*record // records whose last change is still sent as a rumour
	memberCount         int       // present members, including this router
	viewHash            uint64
	bucketHashes        [Buckets]uint32
	viewChanges         uint64
	viewSince           float64 // time of the last change of the view
	probe               probe
	nextProbeAt         float64
	lastNumber          uint32         // number of the last Ping
	relayedProbes       []relayedProbe // at most maxRelayedProbes; removed when answered or late
	localHealth         int            // 0: this router's own timer is on time; each step adds one more length to every wait
	lastReceivedAt      float64        // time of the last message from any member
	nextSyncAt          float64        // earliest time of the next digest on a mismatch
	nextSyncReplyAt     float64        // earliest time at which the next digest is answered
	nextJoinAt          float64        // time of the next contact of a seed
	leaving             bool
	nameConflict        bool // a newer start with this router's name exists at another address
	nameConflictAt      float64
	pauseSettleAt       float64 // the view is not settled before this time, because it may be outdated after a pause
	certainty           Certainty
	certaintySince      float64
	settledNames        map[string]bool // members of the last settled views; isMajorityLost deletes those that left or have long been dead
	statesChanged       bool            // the state of a member has changed since majorityLost was computed
	majorityLost        bool            // cached result of isMajorityLost
	nextMajorityCheckAt float64
	recentSenders       []*record // members that sent a message recently; countRecentViews drops the others
	nextCleanupAt       float64
	cutOffSince         float64 // time at which this router was cut off; 0: it is not

	outgoing []OutgoingMessage
	notes    []Note
}

const (
	maxLocalHealth        = 8
	maxRelayedProbes      = 64
	maxRecords            = 20000 // no fleet is this large: a sender that reports more members is faulty, and new ones are ignored
	minSyncReplyInterval  = 0.05  // seconds between two answers to digests
	majorityCheckInterval = 1     // seconds
	minWakeInterval       = 0.002 // seconds between two calls of Wake, whatever is due
	joinedIntervalFactor  = 30    // multiplies JoinInterval while a seed is in the view
)

// New returns a machine that starts at the time now (seconds), with the seed of its random numbers.
func New(s Settings, seed uint64, now float64) *Machine {
	m := &Machine{settings: s, random: rand.New(rand.NewPCG(seed, 0x6d656d62)), now: now, records: map[string]*record{}, settledNames: map[string]bool{},
		self: Member{ID: s.Self, Address: s.Listen}, memberCount: 1, viewHash: s.Self.hash(), viewSince: now, certaintySince: now, nextJoinAt: now, lastReceivedAt: now}
	m.bucketHashes[bucketIndex(s.Self.Name)] = uint32(m.viewHash)
	m.nextProbeAt = now + s.ProbeInterval*m.random.Float64()
	m.wakeAt = now
	return m
}

// bucketIndex returns the bucket of a member. It depends on the name only, so that all starts of a name share a bucket.
func bucketIndex(name string) int { return int(ID{Name: name}.hash() % Buckets) }

// NextWake returns the time at which Wake has to be called next, in seconds.
func (m *Machine) NextWake() float64 { return m.wakeAt }

// TakeOutgoing returns the messages to send and clears them.
func (m *Machine) TakeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// TakeNotes returns the events to log and clears them.
func (m *Machine) TakeNotes() []Note {
	out := m.notes
	m.notes = nil
	return out
}

// addNote records an event to log.
func (m *Machine) addNote(warning bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, warning, fields})
}

// scaleByHealth lengthens a wait in seconds by this router's local health.
func (m *Machine) scaleByHealth(wait float64) float64 { return wait * float64(1+m.localHealth) }

// advanceClock sets the current time. If Wake is called far too late, this process was paused, and answers of other members
// that are missing for that time say nothing about them: all deadlines for answers move by the delay. This covers a stopped
// process, a machine that gave it no core, and a long turn of its event loop. It delays detection needlessly where the timer is
// late but packets are not.
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
	if late > m.settings.minSuspicion(m.memberCount) { // others may have declared this router dead, and its own view may be outdated
		m.pauseSettleAt = m.now + m.settings.SettleDelay
		m.addNote(true, "stood still", "seconds", late, "members", m.memberCount)
		m.nextSyncAt, m.nextJoinAt = m.now, min(m.nextJoinAt, m.now+m.settings.ProbeInterval)
	}
}

// Wake does all that is due at the time now, in seconds: probes, timeouts of suspicions, contacts of seeds and clean-up.
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

// scheduleWake sets the time that NextWake returns.
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

// runProbes advances the probe in progress, ends relayed probes that are late, and starts the next probe when it is due.
func (m *Machine) runProbes() {
	p := &m.probe
	if p.target != nil && !p.finished {
		switch {
		case !p.target.isPresent() || p.target.Start != p.start: // the target has gone or was restarted meanwhile
			p.finished = true
		case m.now >= p.deadline:
			p.finished = true
			if m.lastReceivedAt < p.sentAt { // no message came from any member since the probe: the fault may be this router's
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

// nextProbeTarget returns the next member to probe; nil if there is none. Members are probed in turn, in an order that is
// shuffled for each round, so that two probes of a member are never more than two rounds apart.
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

// chooseHelpers returns random members that are asked to probe the target too. It prefers members that sent a message recently:
// when many members fail at once, most of the others cannot help.
func (m *Machine) chooseHelpers(target *record) (out []*record) {
	var recent, other []*record
	for _, r := range m.probeOrder {
		if r == target || !r.isPresent() || m.records[r.Name] != r {
			continue
		}
		if r.State == Alive && r.lastReceived > m.now-m.settings.RecentWindow {
			recent = append(recent, r)
		} else {
			other = append(other, r)
		}
	}
	for _, candidates := range [][]*record{recent, other} {
		for _, i := range m.random.Perm(len(candidates)) {
			if len(out) < m.settings.IndirectProbes {
				out = append(out, candidates[i])
			}
		}
	}
	return out
}

// raiseSuspicion marks a member that did not answer this router's probe as suspected.
func (m *Machine) raiseSuspicion(r *record) {
	m.applyUpdate(Member{ID: r.ID, Address: r.Address, Incarnation: r.Incarnation, State: Suspect, Accuser: m.self.Name})
	if r.State == Suspect { // notify the suspected member first, so that it can refute the suspicion if it is alive
		m.send(r.Address, Message{Kind: Gossip}, r)
	}
}

// expireSuspicions declares members dead whose suspicion has timed out.
func (m *Machine) expireSuspicions() {
	for _, r := range slices.Clone(m.suspects) {
		if m.now >= r.deadAt {
			m.setState(r, Dead, "suspicion timed out", r.accusers...)
		}
	}
}

// removeOldRecords deletes, once a second, the records of members that left or died long ago.
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

// contactSeed sends a digest to a random seed: often while no other member is known, rarely afterwards, so that the halves of a
// partitioned fleet which have declared each other dead find each other again. Half of the times it contacts a dead member
// instead of a seed.
func (m *Machine) contactSeed() {
	if m.now < m.nextJoinAt {
		return
	}
	wait := m.settings.JoinInterval * (0.75 + 0.5*m.random.Float64())
	// Without a seed in the view the interval stays short: routers that found each other but no seed would form a separate fleet.
	if m.memberCount > 1 && m.certainty != CutOff && !m.nameConflict && m.hasSeedInView() {
		wait *= joinedIntervalFactor
	}
	m.nextJoinAt = m.now + wait
	var addresses []string
	for _, s := range m.settings.Seeds {
		if s != m.self.Address {
			addresses = append(addresses, s)
		}
	}
	var dead []string
	for _, r := range m.records {
		if r.State == Dead {
			dead = append(dead, r.Address)
		}
	}
	slices.Sort(dead)
	if len(dead) > 0 && (len(addresses) == 0 || m.random.IntN(2) == 0) {
		addresses = dead
	}
	if len(addresses) > 0 {
		m.sendDigest(addresses[m.random.IntN(len(addresses))], false)
	}
}

// hasSeedInView reports whether a seed is in the view, or there is no seed other than this router.
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

// sendDigest sends the bucket hashes of this router's view to an address. A digest that is a reply is not answered by another.
func (m *Machine) sendDigest(to string, isReply bool) {
	m.send(to, Message{Kind: Digest, IsReply: isReply, Hashes: slices.Clone(m.bucketHashes[:])}, nil)
}

// Leave announces to some members that this router is leaving. Messages that arrive later are ignored.
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

// Envelope returns a message that holds only what every message to another router holds: its sender and the sender's view.
func (m *Machine) Envelope() Message {
	return Message{Kind: Gossip, From: m.self, ViewHash: m.viewHash, MemberCount: m.memberCount}
}

// send queues a message and fills it up with rumours. If the recipient is known and not alive, the rumour about itself comes
// first, so that it can refute it.
func (m *Machine) send(to string, message Message, recipient *record) {
	e := m.Envelope()
	message.From, message.ViewHash, message.MemberCount = e.From, e.ViewHash, e.MemberCount
	space := m.settings.MaxRumourBytes - 4*len(message.Hashes)
	if recipient != nil && recipient.State != Alive {
		message.Rumours = append(message.Rumours, recipient.Member)
		space -= recipient.encodedSize()
	}
	message.Rumours = m.appendRumours(message.Rumours, space, recipient)
	m.outgoing = append(m.outgoing, OutgoingMessage{to, message})
}

// appendRumours appends rumours of at most space bytes, those with the fewest transmissions first. It skips the record except.
func (m *Machine) appendRumours(rumours []Member, space int, except *record) []Member {
	if len(m.gossipQueue) == 0 {
		return rumours
	}
	limit := m.settings.retransmitLimit(m.memberCount)
	slices.SortStableFunc(m.gossipQueue, func(a, b *record) int { return a.transmissions - b.transmissions })
	for _, r := range m.gossipQueue {
		if r == except {
			continue
		}
		if space -= r.encodedSize(); space < 0 {
			break
		}
		r.transmissions++
		rumours = append(rumours, r.Member)
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *record) bool { return r.transmissions >= limit })
	return rumours
}

// queueRumour queues the last change of a record to be sent as a rumour.
func (m *Machine) queueRumour(r *record) {
	r.transmissions = 0
	if !slices.Contains(m.gossipQueue, r) {
		m.gossipQueue = append(m.gossipQueue, r)
	}
}
