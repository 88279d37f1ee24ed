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

// Stats are counters since the start of the process. Amounts are in the units of their budgets, summed over all kinds.
type Stats struct {
	Requested int     `json:"Asked"` // grants requested
	Granted   int     `json:"Given"` // grants received
	Returned  int     // grants returned before they expired
	Expired   int     `json:"Lapsed"` // grants that expired here
	TooLarge  int     `json:"Never"`  // requests denied because the total can never cover them
	Sent      int     // messages
	Received  int     `json:"Heard"` // messages
	Used      float64 // amount spent of grants
	FixedUsed float64 `json:"Firm"` // amount spent of the fixed share
	Waited    float64 // seconds between request and grant, summed over all grants received
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
func (m *Machine) coldStartBudget(engine EngineStart) Budget {
	return Budget{Key: ColdStartKey(engine), Total: m.coldStartTotalPerCore * engine.Cores, CountedFor: m.coldStartWindow}
}

// budgetFor gives what this router knows of one.
func (m *Machine) budgetFor(of *Budget) *memberBudget {
	budget := m.budgets[of.Key]
	if budget == nil {
		budget = &memberBudget{Budget: *of, tooLargeAmount: math.Inf(1)}
		m.budgets[of.Key] = budget
	}
	budget.Total, budget.CountedFor = of.Total, max(budget.CountedFor, of.CountedFor) // an operator may have changed them
	return budget
}

// CanSpend holds a wish against the firm part and the credits in hand.
func (m *Machine) CanSpend(now float64, engine EngineStart, work float64) bool {
	m.advanceClock(now)
	if m.FixedFraction > 0 && m.coldStartFixed.CanSpend(m.now, engine, work) {
		return true
	}
	budget := m.budgets[ColdStartKey(engine)]
	return budget != nil && budget.available(m.now) >= work
}

// available is what credits in hand still have. What has ended counts no longer, whenever that is seen.
func (budget *memberBudget) available(now float64) (sum float64) {
	for _, grant := range budget.grants {
		if now < grant.expiresAt {
			sum += grant.remaining
		}
	}
	return sum
}

// Spend counts what is sent: of the firm part where it bears it all, else of credits.
func (m *Machine) Spend(now float64, engine EngineStart, work float64) {
	m.advanceClock(now)
	if m.FixedFraction > 0 && m.coldStartFixed.CanSpend(m.now, engine, work) {
		m.coldStartFixed.Spend(m.now, engine, work)
		m.countFixedSpend(work)
		return
	}
	of := m.coldStartBudget(engine)
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
func (m *Machine) spend(budget *memberBudget, amount float64) {
	m.stats.Used += amount
	budget.lastDemandAt = m.now
	for _, grant := range budget.grants {
		if m.now < grant.expiresAt && amount > 0 {
			part := min(grant.remaining, amount)
			if part <= 0 {
				continue
			}
			grant.remaining, grant.used, amount = grant.remaining-part, grant.used+part, amount-part
			m.lowerSendDeadline(min(grant.expiresAt, m.now+m.SendTimeout))
		}
	}
}

// fitsFixedShare tells whether the firm part of a budget that has no engine bears an amount: every router has the same one. What an
// earlier start may have used or may still hold lasts for a rest.
func (m *Machine) fitsFixedShare(budget *memberBudget, amount float64) bool {
	if m.FixedFraction <= 0 || m.fixedShareLost || !(m.configuredRouters >= 1) || m.now < m.startedAt+budget.CountedFor+lateSendMargin {
		return false
	}
	room := budget.Total * m.FixedFraction / (m.configuredRouters + spareShares)
	for _, u := range budget.fixedUses {
		if budget.held() || u.at > m.now-budget.CountedFor-lateSendMargin {
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
func (m *Machine) Request(now float64, engine EngineStart, work float64) float64 {
	m.advanceClock(now)
	of := m.coldStartBudget(engine)
	if !(work > 0) || work > of.Total*(1-m.FixedFraction) {
		return 0
	}
	return m.request(m.budgetFor(&of), work)
}

func (m *Machine) request(budget *memberBudget, amount float64) float64 {
	if amount >= budget.tooLargeAmount && m.now < budget.tooLargeUntil {
		return 0
	}
	if budget.unmetSince == 0 || m.now > budget.lastDemandAt+2*m.RetryInterval { // the first, or others have long ceased to want it
		budget.unmetSince = m.now
	}
	budget.demandSum, budget.largestDemand, budget.lastDemandAt = budget.demandSum+amount, max(budget.largestDemand, amount), m.now
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
		for key, budget := range m.budgets {
			if budget.request == nil && len(budget.grants) == 0 && len(budget.fixedUses) == 0 && m.now > budget.lastDemandAt+unusedBudgetRetention {
				delete(m.budgets, key)
			}
		}
	}
}

// runCoordinator claims and renews, and gives to those who wait.
func (m *Machine) runCoordinator() {
	replica := m.replica
	was := replica.leaderSince > 0
	if message, due := replica.electionStep(m.now, m.self); due {
		m.broadcast(message)
	}
	m.updateLeadership(was)
	if !replica.isCoordinator(m.now) {
		return
	}
	m.resendToReplicas()
	if m.now >= m.nextLedgerCleanup {
		m.nextLedgerCleanup = m.now + cleanupInterval
		m.coordinator.removeIdleLedgers(m.now)
	}
	for _, ledger := range m.coordinator.sortedLedgers() {
		if len(ledger.queue) > 0 {
			m.sendReplies(m.coordinator.serveQueue(m.now, replica.leadershipEnds, ledger))
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
	replica := m.replica
	switch message.Kind {
	case Claim, Resign, Handover:
		if replica == nil {
			return
		}
		was := replica.isCoordinator(m.now)
		if was && message.Kind == Claim { // we have most of the promises: this one is behind
			m.send(message.FromAddress, Message{Kind: Refusal, ToStart: message.From.Start, Number: message.Number, Coordinator: m.Listen})
			return
		}
		if answer := replica.handleClaim(m.now, message); answer != 0 {
			m.send(message.FromAddress, Message{Kind: answer, ToStart: message.From.Start, Number: message.Number, Coordinator: replica.promisedAddress, PreviousPromise: replica.previousPromise})
		}
	case Promise, Refusal:
		if replica == nil {
			return
		}
		was := replica.isCoordinator(m.now)
		lost := replica.handleAnswer(m.now, message)
		m.updateLeadership(was)
		if lost {
			m.broadcast(replica.resign(m.now, m.self))
		}
	case GrantRequest:
		m.handleRequest(message)
	case GrantReply:
		m.handleReply(message)
	case RecordUpdate, RecoveryRequest:
		if replica == nil || m.replicaIndex(message.FromAddress) < 0 {
			return
		}
		if message.Kind == RecordUpdate {
			m.handleRecordUpdate(message)
		} else {
			m.sendRecoveryPages(message)
		}
	case RecordAck:
		if replica != nil && replica.isCoordinator(m.now) {
			m.handleRecordAck(message)
		}
	case RecoveryPage:
		if r := m.coordinator.recovery; r != nil && replica != nil && m.replicaIndex(message.FromAddress) >= 0 && replica.isCoordinator(m.now) && r.addPage(message, len(m.Replicas)) {
			m.finishRecovery()
			for _, ledger := range m.coordinator.sortedLedgers() {
				m.sendReplies(m.coordinator.serveQueue(m.now, replica.leadershipEnds, ledger))
			}
		}
	}
}

// handleRequest answers as the bursar, or says who that is.
func (m *Machine) handleRequest(message *Message) {
	replica := m.replica
	if replica == nil || !replica.isCoordinator(m.now) {
		reply := Message{Kind: GrantReply, ToStart: message.From.Start}
		if replica != nil && m.now < replica.promisedUntil && replica.promisedAddress != m.Listen {
			reply.Coordinator = replica.promisedAddress
		}
		m.send(message.FromAddress, reply)
		return
	}
	answers, changed, reductions := m.coordinator.processItems(m.now, replica.leaderSince, message.From, message.FromAddress, message.Items)
	m.send(message.FromAddress, Message{Kind: GrantReply, ToStart: message.From.Start, Coordinator: m.Listen, Items: answers})
	m.replicateReductions(reductions)
	for _, ledger := range changed {
		m.sendReplies(m.coordinator.serveQueue(m.now, replica.leadershipEnds, ledger))
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
	for _, item := range message.Items {
		if item.Done {
			m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == item.Number && t.item.Amount >= item.Amount })
			continue
		}
		m.handleGrant(item)
	}
}

func (m *Machine) handleGrant(item Item) {
	budget := m.budgets[item.Key]
	if budget == nil || budget.request == nil || budget.request.item.Number != item.Number {
		known := budget != nil && slices.ContainsFunc(budget.grants, func(grant *heldGrant) bool { return grant.number == item.Number }) ||
			slices.ContainsFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == item.Number })
		if !known && item.Amount > 0 { // an old asking was answered: it is not used, and goes back
			m.queueReturn(item.Key, item.Number, 0, m.now+item.Lease)
		}
		return
	}
	request := budget.request
	sent, known := request.sentAt[item.Attempt]
	if item.TooLarge {
		budget.request, budget.tooLargeAmount, budget.tooLargeUntil = nil, request.item.Amount, m.now+m.coldStartWindow
		m.stats.TooLarge++
		return
	}
	if !known { // so old that it is not known when it was asked: it goes back
		budget.request = nil
		m.queueReturn(item.Key, item.Number, 0, m.now+item.Lease)
		return
	}
	budget.request = nil
	grant := &heldGrant{number: item.Number, remaining: min(item.Amount, request.item.Amount), expiresAt: sent + item.Lease}
	if m.now >= grant.expiresAt {
		m.queueReturn(item.Key, item.Number, 0, m.now)
		return
	}
	m.stats.Granted++
	m.grantsArrived = true
	m.stats.Waited += m.now - request.createdAt
	budget.lastGrantAt, budget.tooLargeAmount, budget.unmetSince = m.now, math.Inf(1), 0
	budget.grants = append(budget.grants, grant)
	slices.SortStableFunc(budget.grants, func(x, y *heldGrant) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
}

// queueReturn tells the bursar that nothing more is used of a credit. Of what is held it is told again, as less is out.
func (m *Machine) queueReturn(key Key, number uint64, used, until float64) {
	m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == number })
	if len(m.unackedReturns) == maxUnackedReturns { // it lapses there by itself
		m.unackedReturns = slices.Delete(m.unackedReturns, 0, 1)
	}
	rest := m.coldStartWindow
	if budget := m.budgets[key]; budget != nil {
		rest = budget.CountedFor
	}
	m.unackedReturns = append(m.unackedReturns, grantReturn{Item{Number: number, Key: key, Amount: used, Done: true, CountedFor: rest}, 0, until + m.padForDrift(rest)})
}

// returnGrants ends credits that have ended, are used up, or that nobody wants any more.
func (m *Machine) returnGrants() {
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		if !budget.held() {
			budget.fixedUses = slices.DeleteFunc(budget.fixedUses, func(u use) bool { return u.at <= m.now-budget.CountedFor-lateSendMargin })
		}
		budget.grants = slices.DeleteFunc(budget.grants, func(grant *heldGrant) bool {
			switch {
			case grant.closed:
				// Kept until all of it is freed, also when it counts nowhere any more: what is freed that late would else be taken
				// from a later credit, of which something is still out (found by internal/explore: one that stood still).
				return grant.used <= 1e-6
			case m.now >= grant.expiresAt:
				m.stats.Expired++
			case grant.remaining <= 1e-6 && !budget.held(): // what is held may come back
			case m.now > budget.lastDemandAt+m.IdleTimeout, budget.largestDemand > 0 && budget.request == nil:
				// Nobody wants it, or what is wanted does not fit what is left: kept, its used part too would count as lent
				// until its lease has ended, which was a third of the whole where far more is wanted than there is.
				m.stats.Returned++
			default:
				return false
			}
			m.queueReturn(key, grant.number, grant.used, grant.expiresAt)
			grant.remaining, grant.closed = 0, true
			return !budget.held() || grant.used <= 1e-6
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
		budget := m.budgets[key]
		largest, sum := budget.largestDemand, budget.demandSum
		budget.largestDemand, budget.demandSum = 0, 0
		if largest == 0 || budget.request != nil {
			continue
		}
		amount := min(sum, budget.Total*m.MaxRequestFraction)
		if Kinds[key.Kind].Counted {
			amount = math.Floor(amount)
		}
		amount = max(largest, amount)
		m.lastRequestNumber++
		m.stats.Requested++
		budget.request = &openRequest{item: Item{Number: m.lastRequestNumber, Key: key, Amount: amount, Total: budget.Total, CountedFor: budget.CountedFor}, sentAt: map[uint32]float64{},
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
		budget := m.budgets[key]
		request := budget.request
		if request == nil {
			continue
		}
		if m.now > budget.lastDemandAt+2*m.RetryInterval { // nobody waits for it any more
			m.queueReturn(key, request.item.Number, 0, m.now+m.Lease)
			budget.request = nil
			continue
		}
		if m.now >= request.nextSendAt && len(items) < maxItemsPerMessage {
			request.item.Attempt++
			request.nextSendAt = m.now + m.RetryInterval
			request.sentAt[request.item.Attempt] = m.now
			delete(request.sentAt, request.item.Attempt-maxRememberedAttempts)
			items = append(items, request.item)
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
	if replica := m.replica; replica != nil {
		switch {
		case m.now < replica.silentUntil:
			at = min(at, replica.silentUntil)
		case replica.isCoordinator(m.now):
			at = min(at, max(replica.nextClaimAt, m.now+requestSpacing), replica.leadershipEnds)
			at = min(at, max(m.coordinator.nextServeAt(m.now), m.now+requestSpacing))
		case replica.promisedToOther(m.now, m.self):
			at = min(at, replica.promisedUntil)
		default:
			at = min(at, max(replica.claimAfter, replica.nextClaimAt, m.now+requestSpacing))
		}
	}
	for _, budget := range m.budgets {
		for _, grant := range budget.grants {
			if grant.closed { // Freed ends it
				continue
			}
			at = min(at, grant.expiresAt, max(budget.lastDemandAt+m.IdleTimeout, m.now+requestSpacing))
		}
		if budget.request != nil {
			at = min(at, max(budget.request.nextSendAt, m.nextRequestAt, m.now+requestSpacing))
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
		budget := m.budgets[key]
		for _, grant := range budget.grants {
			if !grant.closed {
				m.queueReturn(key, grant.number, grant.used, grant.expiresAt)
			}
		}
		if budget.request != nil {
			m.queueReturn(key, budget.request.item.Number, 0, m.now)
		}
		budget.grants, budget.request = nil, nil
	}
	m.nextRequestAt = 0
	m.sendRequests()
	if replica := m.replica; replica != nil && replica.lastClaimNumber > 0 {
		was := replica.isCoordinator(m.now)
		items, all := m.coordinator.handoverItems(m.now)
		yield := replica.resign(m.now, m.self)
		if was && all && m.ledgersComplete() {
			yield.Kind, yield.Items = Handover, items
		}
		replica.silentUntil = math.Inf(1)
		m.updateLeadership(was)
		m.broadcast(yield)
	}
}

// ledgersComplete tells whether nothing counts any more of the bursar before that is not in the books.
func (m *Machine) ledgersComplete() bool {
	c := &m.coordinator
	if c.recovery != nil {
		return false
	}
	longest := &budgetLedger{countedFor: m.coldStartWindow}
	for _, ledger := range c.ledgers {
		longest.countedFor = max(longest.countedFor, ledger.countedFor)
	}
	return c.handover != nil || c.recordsComplete(longest) || m.now >= m.replica.leaderSince+c.padForDrift(c.Lease+longest.countedFor)
}
