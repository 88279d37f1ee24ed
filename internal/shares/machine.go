package shares

import (
	"cmp"
	"math"
	"slices"
)

// Machine is one router's part: it holds credits, may be a keeper, and may be the bursar. Its methods are called with times that
// do not fall; none may be called beside another. It is Parts for the decision module.
type Machine struct {
	Settings
	self                  ID
	coldStartFixed        *FixedDivision // of cold engines
	configuredRouters     float64        // routers, by settings
	fixedShareLost        bool           // there are more: firm parts are given up
	coldStartTotalPerCore float64        // of a cold engine for each core, over all routers
	coldStartWindow       float64
	startedAt             float64
	now                   float64

	replica           *replica // nil: this router is none
	coordinator       coordinator
	nextLedgerCleanup float64

	budgets            map[Key]*memberBudget // forget deletes
	lastRequestNumber  uint64
	unackedReturns     []grantReturn // of credits that are done, until that is answered
	demandPending      bool          // something has been wanted since the last Wake
	nextRequestAt      float64
	coordinatorAddress string  // where the bursar is held to be; empty: not known
	unansweredSince    float64 // the first asking that nobody has answered; 0: none
	nextReplica        int     // which keeper is asked next
	redirects          int     // since a bursar answered
	nextCleanup        float64

	sendDeadline  float64 // of what was spent last
	grantsArrived bool    // a credit, since that was last asked

	outgoing []OutgoingMessage
	notes    []Note
	stats    Stats
}

// memberBudget is what this router has of one.
type memberBudget struct {
	Budget
	grants         []*heldGrant
	fixedUses      []use // of the firm part; of what is held, one for all that is out
	request        *openRequest
	demandSum      float64 // since the last Wake
	largestDemand  float64
	lastDemandAt   float64
	tooLargeUntil  float64 // so much is more than the whole bears
	tooLargeAmount float64
	lastGrantAt    float64 // when something was last given there
	unmetSince     float64 // since when there is none of what is wanted; 0: there is
}

// heldGrant is a credit in hand.
type heldGrant struct {
	number    uint64
	remaining float64
	used      float64 // of what is held: and is out
	expiresAt float64
	closed    bool // nothing more is used of it, and something is still out; Freed ends that
}

// openRequest is for one that has not come.
type openRequest struct {
	item       Item
	sentAt     map[uint32]float64 // when each try was sent; the last few
	createdAt  float64
	nextSendAt float64
}

// grantReturn is what the bursar has to be told of a credit that is done.
type grantReturn struct {
	item      Item
	resendAt  float64
	expiresAt float64 // by then it knows without being told
}

// Stats count what has been, since the start.
type Stats struct {
	Requested, Granted, Returned, Expired, TooLarge int
	Sent, Received                                  int
	Used, FixedUsed                                 float64 // amounts: with credits, and of the firm part
	Waited                                          float64 // seconds between wish and credit, over all that were given
}

const (
	maxItemsPerMessage    = 16 // on one message
	maxUnackedReturns     = 256
	maxRememberedAttempts = 8
	maxRedirects          = 2     // from one keeper to the one he names, without a bursar
	requestSpacing        = 0.005 // between two messages to the bursar
	unusedBudgetRetention = 30.0
	cleanupInterval       = 1.0
)

// New makes one. fixed is the division without talk, of which the firm share stays.
func New(s Settings, self ID, fixed FixedConfig, now float64) *Machine {
	m := &Machine{Settings: s, self: self, coldStartTotalPerCore: fixed.Total, coldStartWindow: fixed.Window + lateSendMargin,
		startedAt: now, now: now, sendDeadline: math.Inf(1), coordinator: coordinator{Settings: &s, ledgers: map[Key]*budgetLedger{}}, budgets: map[Key]*memberBudget{}}
	m.coordinator.Settings = &m.Settings
	fixed.Total *= s.FixedFraction
	m.configuredRouters = fixed.Routers
	if s.FixedFraction <= 0 {
		fixed.Routers = 0
	}
	m.coldStartFixed = NewFixedDivision(fixed)
	if s.replicaIndex(s.Listen) >= 0 {
		// What an earlier start has promised may still hold.
		quiet := now + s.padForDrift(s.padForDrift(s.Term))
		m.replica = &replica{Settings: &m.Settings, silentUntil: quiet, completeSince: quiet, records: map[Key]map[grantID]replicaRecord{}}
	}
	return m
}

func (m *Machine) advanceClock(now float64) { m.now = max(m.now, now) }

func (m *Machine) note(loud bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, loud, fields})
}

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

// GrantsArrived tells whether credits have come since it was last asked.
func (m *Machine) GrantsArrived() bool {
	came := m.grantsArrived
	m.grantsArrived = false
	return came
}

// DemandPending tells whether something has been wanted that Wake has not seen.
func (m *Machine) DemandPending() bool { return m.demandPending }

// send words a message. What is for oneself goes by no network.
func (m *Machine) send(to string, message Message) {
	message.From, message.FromAddress, message.ReplicaSetHash = m.self, m.Listen, m.replicaSetHash()
	if to == m.Listen {
		m.receive(&message)
		return
	}
	m.stats.Sent++
	m.outgoing = append(m.outgoing, OutgoingMessage{to, message})
}

// ObserveFleetSize brings how many routers are known to be there. More than were told: firm parts by that number would sum to more than
// the firm share, so this router gives its own up until it starts with another number. It covers a wrong number in one
// router's settings and a fleet that grew; it hurts by the firm part alone.
func (m *Machine) ObserveFleetSize(routers int) {
	if float64(routers) > m.configuredRouters && m.FixedFraction > 0 && !m.fixedShareLost {
		m.fixedShareLost, m.coldStartFixed.sharePerCore = true, 0
		m.note(true, "more routers than settings tell: the firm part is given up", "told", m.configuredRouters, "there", routers)
	}
}

// coldStartBudget is the budget of a start of an engine.
func (m *Machine) coldStartBudget(of EngineStart) Budget {
	return Budget{Key: ColdStartKey(of), Total: m.coldStartTotalPerCore * of.Cores, CountedFor: m.coldStartWindow}
}

// budgetFor gives what this router knows of one.
func (m *Machine) budgetFor(of *Budget) *memberBudget {
	b := m.budgets[of.Key]
	if b == nil {
		b = &memberBudget{Budget: *of, tooLargeAmount: math.Inf(1)}
		m.budgets[of.Key] = b
	}
	b.Total, b.CountedFor = of.Total, max(b.CountedFor, of.CountedFor) // an operator may have changed them
	return b
}

// CanSpend holds a wish against the firm part and the credits in hand.
func (m *Machine) CanSpend(now float64, to EngineStart, work float64) bool {
	m.advanceClock(now)
	if m.FixedFraction > 0 && m.coldStartFixed.CanSpend(m.now, to, work) {
		return true
	}
	b := m.budgets[ColdStartKey(to)]
	return b != nil && b.available(m.now) >= work
}

// available is what credits in hand still have. What has ended counts no longer, whenever that is seen.
func (b *memberBudget) available(now float64) (sum float64) {
	for _, g := range b.grants {
		if now < g.expiresAt {
			sum += g.remaining
		}
	}
	return sum
}

// Spend counts what is sent: of the firm part where it bears it all, else of credits.
func (m *Machine) Spend(now float64, to EngineStart, work float64) {
	m.advanceClock(now)
	if m.FixedFraction > 0 && m.coldStartFixed.CanSpend(m.now, to, work) {
		m.coldStartFixed.Spend(m.now, to, work)
		m.countFixedSpend(work)
		return
	}
	of := m.coldStartBudget(to)
	m.spend(m.budgetFor(&of), work)
}

func (m *Machine) countFixedSpend(amount float64) {
	m.stats.FixedUsed += amount
	m.lowerSendDeadline(m.now + lateSendMargin)
}

// lowerSendDeadline brings the time by which what was spent has to be on its way. A dispatch may spend of several budgets.
func (m *Machine) lowerSendDeadline(at float64) {
	if m.sendDeadline < m.now { // nobody asked after what was spent before
		m.sendDeadline = math.Inf(1)
	}
	m.sendDeadline = min(m.sendDeadline, at)
}

// spend takes of credits, of the one that ends first before the others.
func (m *Machine) spend(b *memberBudget, amount float64) {
	m.stats.Used += amount
	b.lastDemandAt = m.now
	for _, g := range b.grants {
		if m.now < g.expiresAt && amount > 0 {
			part := min(g.remaining, amount)
			if part <= 0 {
				continue
			}
			g.remaining, g.used, amount = g.remaining-part, g.used+part, amount-part
			m.lowerSendDeadline(min(g.expiresAt, m.now+m.SendTimeout))
		}
	}
}

// fitsFixedShare tells whether the firm part of a budget that has no engine bears an amount: every router has the same one. What an
// earlier start may have used or may still hold lasts for a rest.
func (m *Machine) fitsFixedShare(b *memberBudget, amount float64) bool {
	if m.FixedFraction <= 0 || m.fixedShareLost || !(m.configuredRouters >= 1) || m.now < m.startedAt+b.CountedFor+lateSendMargin {
		return false
	}
	room := b.Total * m.FixedFraction / (m.configuredRouters + spareShares)
	for _, u := range b.fixedUses {
		if b.held() || u.at > m.now-b.CountedFor-lateSendMargin {
			room -= u.amount
		}
	}
	return amount <= room
}

// SendDeadline is when what was spent last has to be on its way, told once: a credit holds no longer. Infinite: nothing was spent that
// ends.
func (m *Machine) SendDeadline() float64 {
	at := m.sendDeadline
	m.sendDeadline = math.Inf(1)
	return at
}

// Request tells of a batch that waits. It waits for a credit also where no bursar is known yet: that was worth more (0.823 to 0.803,
// 16 routers, engines replaced). It hurts where nobody gives any more, by that wait once.
func (m *Machine) Request(now float64, to EngineStart, work float64) float64 {
	m.advanceClock(now)
	of := m.coldStartBudget(to)
	if !(work > 0) || work > of.Total*(1-m.FixedFraction) {
		return 0
	}
	return m.request(m.budgetFor(&of), work)
}

func (m *Machine) request(b *memberBudget, amount float64) float64 {
	if amount >= b.tooLargeAmount && m.now < b.tooLargeUntil {
		return 0
	}
	if b.unmetSince == 0 || m.now > b.lastDemandAt+2*m.RetryInterval { // the first, or others have long ceased to want it
		b.unmetSince = m.now
	}
	b.demandSum, b.largestDemand, b.lastDemandAt = b.demandSum+amount, max(b.largestDemand, amount), m.now
	m.demandPending = true
	return m.GrantWait
}

// Wake does what is due, and asks for what has been wanted.
func (m *Machine) Wake(now float64) {
	m.advanceClock(now)
	if m.replica != nil {
		m.runCoordinator()
	}
	m.returnGrants()
	m.createRequests()
	m.sendRequests()
	if m.now >= m.nextCleanup {
		m.nextCleanup = m.now + cleanupInterval
		if m.replica != nil {
			m.replica.dropExpired(m.now)
		}
		for key, b := range m.budgets {
			if b.request == nil && len(b.grants) == 0 && len(b.fixedUses) == 0 && m.now > b.lastDemandAt+unusedBudgetRetention {
				delete(m.budgets, key)
			}
		}
	}
}

// runCoordinator claims and renews, and gives to those who wait.
func (m *Machine) runCoordinator() {
	k := m.replica
	was := k.leaderSince > 0
	if message, due := k.electionStep(m.now, m.self); due {
		m.broadcast(message)
	}
	m.updateLeadership(was)
	if !k.isCoordinator(m.now) {
		return
	}
	m.resendToReplicas()
	if m.now >= m.nextLedgerCleanup {
		m.nextLedgerCleanup = m.now + cleanupInterval
		m.coordinator.removeIdleLedgers(m.now)
	}
	for _, b := range m.coordinator.sortedLedgers() {
		if len(b.queue) > 0 {
			m.sendReplies(m.coordinator.serveQueue(m.now, k.leadershipEnds, b))
		}
	}
}

// updateLeadership notes who has the office, and drops the books of one that has ended.
func (m *Machine) updateLeadership(was bool) {
	is := m.replica.isCoordinator(m.now)
	if is == was {
		return
	}
	m.note(true, "bursar", "is", is, "until", m.replica.leadershipEnds, "books", len(m.coordinator.ledgers))
	m.coordinator.beginRecovery(m.replica.takeover)
	m.replica.takeover = nil
	if is {
		m.coordinatorAddress = m.Listen
		m.resendToReplicas()
	} else if m.coordinatorAddress == m.Listen {
		m.coordinatorAddress = ""
	}
}

func (m *Machine) broadcast(message Message) {
	for _, to := range m.Replicas {
		if to != m.Listen {
			m.send(to, message)
		}
	}
}

// sendReplies sends what is given, once most keepers know of it, and what never will be at once.
func (m *Machine) sendReplies(sends []OutgoingMessage) {
	var gives []OutgoingMessage
	for _, s := range sends {
		if s.Coordinator = m.Listen; s.Items[0].TooLarge {
			s.Items[0].Holder = ID{}
			m.send(s.Destination, s.Message)
		} else {
			gives = append(gives, s)
		}
	}
	m.replicate(gives)
}

// Receive takes in a message of this fleet. It has been checked for its form.
func (m *Machine) Receive(now float64, message *Message) {
	m.advanceClock(now)
	if message.ReplicaSetHash != m.replicaSetHash() || message.From == m.self || message.isAnswer() && message.ToStart != m.self.Start {
		return
	}
	m.stats.Received++
	m.receive(message)
}

func (m *Machine) receive(message *Message) {
	k := m.replica
	switch message.Kind {
	case Claim, Resign, Handover:
		if k == nil {
			return
		}
		was := k.isCoordinator(m.now)
		if was && message.Kind == Claim { // we have most of the promises: this one is behind
			m.send(message.FromAddress, Message{Kind: Refusal, ToStart: message.From.Start, Number: message.Number, Coordinator: m.Listen})
			return
		}
		if answer := k.handleClaim(m.now, message); answer != 0 {
			m.send(message.FromAddress, Message{Kind: answer, ToStart: message.From.Start, Number: message.Number, Coordinator: k.promisedAddress, PreviousPromise: k.previousPromise})
		}
	case Promise, Refusal:
		if k == nil {
			return
		}
		was := k.isCoordinator(m.now)
		lost := k.handleAnswer(m.now, message)
		m.updateLeadership(was)
		if lost {
			m.broadcast(k.resign(m.now, m.self))
		}
	case GrantRequest:
		m.handleRequest(message)
	case GrantReply:
		m.handleReply(message)
	case RecordUpdate, RecoveryRequest:
		if k == nil || m.replicaIndex(message.FromAddress) < 0 {
			return
		}
		if message.Kind == RecordUpdate {
			m.handleRecordUpdate(message)
		} else {
			m.sendRecoveryPages(message)
		}
	case RecordAck:
		if k != nil && k.isCoordinator(m.now) {
			m.handleRecordAck(message)
		}
	case RecoveryPage:
		if r := m.coordinator.recovery; r != nil && k != nil && m.replicaIndex(message.FromAddress) >= 0 && k.isCoordinator(m.now) && r.addPage(message, len(m.Replicas)) {
			m.finishRecovery()
			for _, b := range m.coordinator.sortedLedgers() {
				m.sendReplies(m.coordinator.serveQueue(m.now, k.leadershipEnds, b))
			}
		}
	}
}

// handleRequest answers as the bursar, or says who that is.
func (m *Machine) handleRequest(message *Message) {
	k := m.replica
	if k == nil || !k.isCoordinator(m.now) {
		reply := Message{Kind: GrantReply, ToStart: message.From.Start}
		if k != nil && m.now < k.promisedUntil && k.promisedAddress != m.Listen {
			reply.Coordinator = k.promisedAddress
		}
		m.send(message.FromAddress, reply)
		return
	}
	answers, moved, less := m.coordinator.processItems(m.now, k.leaderSince, message.From, message.FromAddress, message.Items)
	m.send(message.FromAddress, Message{Kind: GrantReply, ToStart: message.From.Start, Coordinator: m.Listen, Items: answers})
	m.replicateReductions(less)
	for _, b := range moved {
		m.sendReplies(m.coordinator.serveQueue(m.now, k.leadershipEnds, b))
	}
}

// handleReply takes credits in.
func (m *Machine) handleReply(message *Message) {
	m.unansweredSince = 0
	if m.redirects++; message.Coordinator == message.FromAddress { // he says so himself
		m.redirects = 0
	}
	if message.Coordinator != m.coordinatorAddress {
		m.coordinatorAddress, m.nextRequestAt = message.Coordinator, m.now+requestSpacing
	}
	if m.coordinatorAddress == "" || m.redirects > maxRedirects { // keepers amid an election may each name another for a while
		m.coordinatorAddress, m.nextRequestAt = "", m.now+m.RetryInterval
		m.nextReplica++
	}
	for _, i := range message.Items {
		if i.Done {
			m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == i.Number && t.item.Amount >= i.Amount })
			continue
		}
		m.handleGrant(i)
	}
}

func (m *Machine) handleGrant(i Item) {
	b := m.budgets[i.Key]
	if b == nil || b.request == nil || b.request.item.Number != i.Number {
		known := b != nil && slices.ContainsFunc(b.grants, func(g *heldGrant) bool { return g.number == i.Number }) ||
			slices.ContainsFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == i.Number })
		if !known && i.Amount > 0 { // an old asking was answered: it is not used, and goes back
			m.queueReturn(i.Key, i.Number, 0, m.now+i.Lease)
		}
		return
	}
	a := b.request
	sent, known := a.sentAt[i.Attempt]
	if i.TooLarge {
		b.request, b.tooLargeAmount, b.tooLargeUntil = nil, a.item.Amount, m.now+m.coldStartWindow
		m.stats.TooLarge++
		return
	}
	if !known { // so old that it is not known when it was asked: it goes back
		b.request = nil
		m.queueReturn(i.Key, i.Number, 0, m.now+i.Lease)
		return
	}
	b.request = nil
	g := &heldGrant{number: i.Number, remaining: min(i.Amount, a.item.Amount), expiresAt: sent + i.Lease}
	if m.now >= g.expiresAt {
		m.queueReturn(i.Key, i.Number, 0, m.now)
		return
	}
	m.stats.Granted++
	m.grantsArrived = true
	m.stats.Waited += m.now - a.createdAt
	b.lastGrantAt, b.tooLargeAmount, b.unmetSince = m.now, math.Inf(1), 0
	b.grants = append(b.grants, g)
	slices.SortStableFunc(b.grants, func(x, y *heldGrant) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
}

// queueReturn tells the bursar that nothing more is used of a credit. Of what is held it is told again, as less is out.
func (m *Machine) queueReturn(key Key, number uint64, used, until float64) {
	m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == number })
	if len(m.unackedReturns) == maxUnackedReturns { // it lapses there by itself
		m.unackedReturns = slices.Delete(m.unackedReturns, 0, 1)
	}
	rest := m.coldStartWindow
	if b := m.budgets[key]; b != nil {
		rest = b.CountedFor
	}
	m.unackedReturns = append(m.unackedReturns, grantReturn{Item{Number: number, Key: key, Amount: used, Done: true, CountedFor: rest}, 0, until + m.padForDrift(rest)})
}

// returnGrants ends credits that have ended, are used up, or that nobody wants any more.
func (m *Machine) returnGrants() {
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		if !b.held() {
			b.fixedUses = slices.DeleteFunc(b.fixedUses, func(u use) bool { return u.at <= m.now-b.CountedFor-lateSendMargin })
		}
		b.grants = slices.DeleteFunc(b.grants, func(g *heldGrant) bool {
			switch {
			case g.closed:
				// Kept until all of it is freed, also when it counts nowhere any more: what is freed that late would else be taken
				// from a later credit, of which something is still out (found by internal/explore: one that stood still).
				return g.used <= 1e-6
			case m.now >= g.expiresAt:
				m.stats.Expired++
			case g.remaining <= 1e-6 && !b.held(): // what is held may come back
			case m.now > b.lastDemandAt+m.IdleTimeout, b.largestDemand > 0 && b.request == nil:
				// Nobody wants it, or what is wanted does not fit what is left: kept, its used part too would count as lent
				// until its lease has ended, which was a third of the whole where far more is wanted than there is.
				m.stats.Returned++
			default:
				return false
			}
			m.queueReturn(key, g.number, g.used, g.expiresAt)
			g.remaining, g.closed = 0, true
			return !b.held() || g.used <= 1e-6
		})
	}
}

// sortedKeys are those of the budgets, in one order.
func (m *Machine) sortedKeys() []Key {
	out := make([]Key, 0, len(m.budgets))
	for key := range m.budgets {
		out = append(out, key)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// createRequests makes askings of what has been wanted: the largest batch, and more of them as long as that is a small part.
func (m *Machine) createRequests() {
	m.demandPending = false
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		most, sum := b.largestDemand, b.demandSum
		b.largestDemand, b.demandSum = 0, 0
		if most == 0 || b.request != nil {
			continue
		}
		amount := min(sum, b.Total*m.MaxRequestFraction)
		if Kinds[key.Kind].Counted {
			amount = math.Floor(amount)
		}
		amount = max(most, amount)
		m.lastRequestNumber++
		m.stats.Requested++
		b.request = &openRequest{item: Item{Number: m.lastRequestNumber, Key: key, Amount: amount, Total: b.Total, CountedFor: b.CountedFor}, sentAt: map[uint32]float64{},
			createdAt: m.now, nextSendAt: m.now}
	}
}

// sendRequests sends what is to be asked and told.
func (m *Machine) sendRequests() {
	if m.now < m.nextRequestAt || len(m.Replicas) == 0 {
		return
	}
	var items []Item
	for i := range m.unackedReturns {
		if t := &m.unackedReturns[i]; m.now >= t.resendAt && len(items) < maxItemsPerMessage {
			t.resendAt = m.now + 2*m.RetryInterval
			items = append(items, t.item)
		}
	}
	m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return m.now > t.expiresAt })
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		a := b.request
		if a == nil {
			continue
		}
		if m.now > b.lastDemandAt+2*m.RetryInterval { // nobody waits for it any more
			m.queueReturn(key, a.item.Number, 0, m.now+m.Lease)
			b.request = nil
			continue
		}
		if m.now >= a.nextSendAt && len(items) < maxItemsPerMessage {
			a.item.Attempt++
			a.nextSendAt = m.now + m.RetryInterval
			a.sentAt[a.item.Attempt] = m.now
			delete(a.sentAt, a.item.Attempt-maxRememberedAttempts)
			items = append(items, a.item)
		}
	}
	if len(items) == 0 {
		return
	}
	to := m.coordinatorAddress
	if to != "" && m.unansweredSince > 0 && m.now > m.unansweredSince+4*m.RetryInterval { // it says nothing
		to, m.coordinatorAddress = "", ""
		m.nextReplica++
	}
	if to == "" {
		to = m.Replicas[m.nextReplica%len(m.Replicas)]
		if m.unansweredSince > 0 && m.now > m.unansweredSince+2*m.RetryInterval {
			m.nextReplica++
			m.unansweredSince = 0
		}
	}
	if m.unansweredSince == 0 {
		m.unansweredSince = m.now
	}
	m.nextRequestAt = m.now + requestSpacing
	m.send(to, Message{Kind: GrantRequest, Items: items})
}

// NextWake is when Wake is wanted next, if nothing comes.
func (m *Machine) NextWake() float64 {
	at := math.Inf(1)
	if k := m.replica; k != nil {
		switch {
		case m.now < k.silentUntil:
			at = min(at, k.silentUntil)
		case k.isCoordinator(m.now):
			at = min(at, max(k.nextClaimAt, m.now+requestSpacing), k.leadershipEnds)
			at = min(at, max(m.coordinator.nextServeAt(m.now), m.now+requestSpacing))
		case k.promisedToOther(m.now, m.self):
			at = min(at, k.promisedUntil)
		default:
			at = min(at, max(k.claimAfter, k.nextClaimAt, m.now+requestSpacing))
		}
	}
	for _, b := range m.budgets {
		for _, g := range b.grants {
			if g.closed { // Freed ends it
				continue
			}
			at = min(at, g.expiresAt, max(b.lastDemandAt+m.IdleTimeout, m.now+requestSpacing))
		}
		if b.request != nil {
			at = min(at, max(b.request.nextSendAt, m.nextRequestAt, m.now+requestSpacing))
		}
	}
	for _, t := range m.unackedReturns {
		at = min(at, max(t.resendAt, m.nextRequestAt, m.now+requestSpacing))
	}
	return at
}

// Leave gives back all that is in hand, and the office: what was given from here ends by itself.
func (m *Machine) Leave(now float64) {
	m.advanceClock(now)
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		for _, g := range b.grants {
			if !g.closed {
				m.queueReturn(key, g.number, g.used, g.expiresAt)
			}
		}
		if b.request != nil {
			m.queueReturn(key, b.request.item.Number, 0, m.now)
		}
		b.grants, b.request = nil, nil
	}
	m.nextRequestAt = 0
	m.sendRequests()
	if k := m.replica; k != nil && k.lastClaimNumber > 0 {
		was := k.isCoordinator(m.now)
		items, all := m.coordinator.handoverItems(m.now)
		yield := k.resign(m.now, m.self)
		if was && all && m.ledgersComplete() {
			yield.Kind, yield.Items = Handover, items
		}
		k.silentUntil = math.Inf(1)
		m.updateLeadership(was)
		m.broadcast(yield)
	}
}

// ledgersComplete tells whether nothing counts any more of the bursar before that is not in the books.
func (m *Machine) ledgersComplete() bool {
	b := &m.coordinator
	if b.recovery != nil {
		return false
	}
	longest := &budgetLedger{countedFor: m.coldStartWindow}
	for _, k := range b.ledgers {
		longest.countedFor = max(longest.countedFor, k.countedFor)
	}
	return b.handover != nil || b.recordsComplete(longest) || m.now >= m.replica.leaderSince+b.padForDrift(b.Lease+longest.countedFor)
}
