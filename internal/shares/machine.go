package shares

import (
	"cmp"
	"math"
	"slices"
)

// Machine is the state machine of one router: a client that requests and spends grants, in some routers also a replica, and
// while it is elected the coordinator. It implements ColdStartQuota for the decision module.
//
// Times are seconds on the router's own clock and must not fall from call to call. The methods must not be called concurrently.
type Machine struct {
	Settings
	self                  ID
	coldStartFixed        *FixedDivision // fixed share of the budgets of engines in cold start
	configuredRouters     float64        // number of routers in the settings
	fixedShareLost        bool           // the fleet is larger than configured, so the fixed shares are no longer used
	coldStartTotalPerCore float64        // budget of an engine in cold start for each of its cores, over all routers
	coldStartWindow       float64        // seconds for which work sent to an engine in cold start counts
	startedAt             float64
	now                   float64 // latest time passed in

	replica           *replica // nil: this router is not a replica
	coordinator       coordinator
	nextLedgerCleanup float64

	budgets            map[Key]*memberBudget // Wake deletes those that have not been used for a while
	lastRequestNumber  uint64
	unackedReturns     []grantReturn // finished grants that the coordinator has not acknowledged yet
	demandPending      bool          // there was demand since the last Wake
	nextRequestAt      float64       // no request is sent before
	coordinatorAddress string        // presumed coordinator; empty: not known
	unansweredSince    float64       // when the first request without an answer was sent; 0: none is open
	nextReplica        int           // index of the replica to ask next while no coordinator is known
	redirects          int           // replies since the coordinator itself last answered
	nextCleanup        float64       // when Wake next deletes expired state

	sendDeadline  float64 // by when a dispatch that used the latest spending has to be sent
	grantsArrived bool    // grants have arrived since GrantsArrived was last called

	outgoing []OutgoingMessage
	notes    []Note
	stats    Stats
}

// memberBudget is this router's view of one budget: its grants, its use of the fixed share and its demand.
type memberBudget struct {
	Budget
	grants         []*heldGrant // in the order in which they expire
	fixedUses      []use        // uses of the fixed share; in a budget that is held, one entry with the amount in use
	request        *openRequest // nil: nothing is requested
	demandSum      float64      // sum of the amounts wanted since the last Wake
	largestDemand  float64      // largest amount wanted since the last Wake
	lastDemandAt   float64
	tooLargeUntil  float64 // until then tooLargeAmount holds
	tooLargeAmount float64 // amounts from here on are more than the coordinator can ever grant
	lastGrantAt    float64 // when a grant last arrived
	unmetSince     float64 // since when demand has been waiting for a grant; 0: none waits
}

// heldGrant is a grant that this router holds.
type heldGrant struct {
	number    uint64
	remaining float64
	used      float64 // in a budget that is held: the amount in use
	expiresAt float64
	closed    bool // nothing more is spent of it, but part of it is still in use; removed once all of it is released
}

// openRequest is a request for a grant that has not arrived yet.
type openRequest struct {
	item       Item
	sentAt     map[uint32]float64 // when each attempt was sent, by attempt; the last few
	createdAt  float64
	nextSendAt float64
}

// grantReturn reports a finished grant to the coordinator until that acknowledges it.
type grantReturn struct {
	item      Item
	resendAt  float64
	expiresAt float64 // after that the grant no longer counts at the coordinator, so the report is dropped
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
	maxItemsPerMessage    = 16
	maxUnackedReturns     = 256
	maxRememberedAttempts = 8     // send times that are kept of one request
	maxRedirects          = 2     // replies in a row that name a coordinator without coming from it
	requestSpacing        = 0.005 // least seconds between two messages to the coordinator
	unusedBudgetRetention = 30.0  // seconds
	cleanupInterval       = 1.0   // seconds
)

// New returns the machine of one start of a router. fixed is the division that needs no messages; of its total the fraction
// Settings.FixedFraction stays divided that way.
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
		// A promise that an earlier start gave may still be valid, so this one gives none until that must have ended.
		silentUntil := now + s.padForDrift(s.padForDrift(s.Term))
		m.replica = &replica{Settings: &m.Settings, silentUntil: silentUntil, completeSince: silentUntil, records: map[Key]map[grantID]replicaRecord{}}
	}
	return m
}

func (m *Machine) advanceClock(now float64) { m.now = max(m.now, now) }

func (m *Machine) note(warning bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, warning, fields})
}

// TakeOutgoing returns the messages to send and clears them.
func (m *Machine) TakeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// TakeNotes returns the notes for the log and clears them.
func (m *Machine) TakeNotes() []Note {
	out := m.notes
	m.notes = nil
	return out
}

// GrantsArrived reports whether grants have arrived since it was last called.
func (m *Machine) GrantsArrived() bool {
	arrived := m.grantsArrived
	m.grantsArrived = false
	return arrived
}

// DemandPending reports whether there was demand since the last Wake.
func (m *Machine) DemandPending() bool { return m.demandPending }

// send fills in the sender and queues a message. A message to this router itself is handled at once.
func (m *Machine) send(to string, message Message) {
	message.From, message.FromAddress, message.ReplicaSetHash = m.self, m.Listen, m.replicaSetHash()
	if to == m.Listen {
		m.receive(&message)
		return
	}
	m.stats.Sent++
	m.outgoing = append(m.outgoing, OutgoingMessage{to, message})
}

// ObserveFleetSize takes in how many routers are known to run. If there are more than configured, their fixed shares could sum to
// more than the fixed fraction, so this router gives up its own until it is restarted with another number. This covers a wrong
// number in one router's settings and a fleet that grew; the cost is the fixed share alone.
func (m *Machine) ObserveFleetSize(routers int) {
	if float64(routers) > m.configuredRouters && m.FixedFraction > 0 && !m.fixedShareLost {
		m.fixedShareLost, m.coldStartFixed.sharePerCore = true, 0
		m.note(true, "more routers than settings tell: the firm part is given up", "told", m.configuredRouters, "there", routers)
	}
}

// coldStartBudget returns the budget of one start of an engine.
func (m *Machine) coldStartBudget(engine EngineStart) Budget {
	return Budget{Key: ColdStartKey(engine), Total: m.coldStartTotalPerCore * engine.Cores, CountedFor: m.coldStartWindow}
}

// budgetFor returns this router's view of a budget and creates it if necessary.
func (m *Machine) budgetFor(of *Budget) *memberBudget {
	budget := m.budgets[of.Key]
	if budget == nil {
		budget = &memberBudget{Budget: *of, tooLargeAmount: math.Inf(1)}
		m.budgets[of.Key] = budget
	}
	budget.Total, budget.CountedFor = of.Total, max(budget.CountedFor, of.CountedFor) // the settings may have changed
	return budget
}

// CanSpend reports whether the fixed share or the grants of this router cover the work.
func (m *Machine) CanSpend(now float64, engine EngineStart, work float64) bool {
	m.advanceClock(now)
	if m.FixedFraction > 0 && m.coldStartFixed.CanSpend(m.now, engine, work) {
		return true
	}
	budget := m.budgets[ColdStartKey(engine)]
	return budget != nil && budget.available(m.now) >= work
}

// available returns what remains of the grants that have not expired, also where Wake has not removed the expired ones yet.
func (b *memberBudget) available(now float64) (sum float64) {
	for _, grant := range b.grants {
		if now < grant.expiresAt {
			sum += grant.remaining
		}
	}
	return sum
}

// Spend charges work that is sent to the fixed share if that covers all of it, otherwise to grants.
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

// lowerSendDeadline takes in by when the latest spending has to be sent. A dispatch may spend from several budgets, so the earliest
// deadline holds.
func (m *Machine) lowerSendDeadline(at float64) {
	if m.sendDeadline < m.now { // of an earlier dispatch: nobody asked for it
		m.sendDeadline = math.Inf(1)
	}
	m.sendDeadline = min(m.sendDeadline, at)
}

// spend charges an amount to the grants, beginning with the one that expires first.
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

// fitsFixedShare reports whether this router's fixed share of a budget covers an amount. It is for budgets that are not of an
// engine: every router has the same fixed share of those. An earlier start may have used it or may still hold it, so it is not
// used until that no longer counts.
func (m *Machine) fitsFixedShare(budget *memberBudget, amount float64) bool {
	if m.FixedFraction <= 0 || m.fixedShareLost || !(m.configuredRouters >= 1) || m.now < m.startedAt+budget.CountedFor+lateSendMargin {
		return false
	}
	available := budget.Total * m.FixedFraction / (m.configuredRouters + spareShares)
	for _, u := range budget.fixedUses {
		if budget.held() || u.at > m.now-budget.CountedFor-lateSendMargin {
			available -= u.amount
		}
	}
	return amount <= available
}

// SendDeadline returns by when the dispatch that used the latest spending has to be sent, as its grants are not valid for longer,
// and clears it. Infinity: nothing was spent since the last call.
func (m *Machine) SendDeadline() float64 {
	at := m.sendDeadline
	m.sendDeadline = math.Inf(1)
	return at
}

// Request notes the demand of a batch and returns for how many seconds the batch may wait for a grant; 0: it should not wait. A
// batch waits also while no coordinator is known: the measured result was better that way (0.823 against 0.803, 16 routers, engines
// being replaced). If no coordinator answers any more, this costs one such wait.
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
	if budget.unmetSince == 0 || m.now > budget.lastDemandAt+2*m.RetryInterval { // the first demand, or the earlier one is out of date
		budget.unmetSince = m.now
	}
	budget.demandSum, budget.largestDemand, budget.lastDemandAt = budget.demandSum+amount, max(budget.largestDemand, amount), m.now
	m.demandPending = true
	return m.GrantWait
}

// Wake does what is due: elections, replication, returns, requests for the demand since the last call, and cleanup.
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

// runCoordinator claims and renews the leadership and, as the coordinator, serves the queued requests.
func (m *Machine) runCoordinator() {
	replica := m.replica
	wasCoordinator := replica.leaderSince > 0
	if message, due := replica.electionStep(m.now, m.self); due {
		m.broadcast(message)
	}
	m.updateLeadership(wasCoordinator)
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

// updateLeadership acts on a change of the leadership. The ledgers of a leadership that has ended are dropped.
func (m *Machine) updateLeadership(wasCoordinator bool) {
	isCoordinator := m.replica.isCoordinator(m.now)
	if isCoordinator == wasCoordinator {
		return
	}
	m.note(true, "bursar", "is", isCoordinator, "until", m.replica.leadershipEnds, "books", len(m.coordinator.ledgers))
	m.coordinator.beginRecovery(m.replica.takeover)
	m.replica.takeover = nil
	if isCoordinator {
		m.coordinatorAddress = m.Listen
		m.resendToReplicas()
	} else if m.coordinatorAddress == m.Listen {
		m.coordinatorAddress = ""
	}
}

// broadcast sends a message to all other replicas.
func (m *Machine) broadcast(message Message) {
	for _, to := range m.Replicas {
		if to != m.Listen {
			m.send(to, message)
		}
	}
}

// sendReplies sends denials at once, and grants once a majority of the replicas has recorded them.
func (m *Machine) sendReplies(sends []OutgoingMessage) {
	var grants []OutgoingMessage
	for _, s := range sends {
		if s.Coordinator = m.Listen; s.Items[0].TooLarge {
			s.Items[0].Holder = ID{}
			m.send(s.Destination, s.Message)
		} else {
			grants = append(grants, s)
		}
	}
	m.replicate(grants)
}

// Receive handles a message of the protocol by which routers elect a coordinator and get budget grants from it. The message's
// format has been checked. A message of another list of replicas, a message of this router itself, and an answer to an earlier
// start of this router are ignored.
func (m *Machine) Receive(now float64, message *Message) {
	m.advanceClock(now)
	if message.ReplicaSetHash != m.replicaSetHash() || message.From == m.self || message.isAnswer() && message.ToStart != m.self.Start {
		return
	}
	m.stats.Received++
	m.receive(message)
}

// receive handles a message of another router or of this router itself.
func (m *Machine) receive(message *Message) {
	replica := m.replica
	switch message.Kind {
	case Claim, Resign, Handover:
		if replica == nil {
			return
		}
		wasCoordinator := replica.isCoordinator(m.now)
		if wasCoordinator && message.Kind == Claim { // this router has the promises of a majority, so the claim is out of date
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
		wasCoordinator := replica.isCoordinator(m.now)
		lost := replica.handleAnswer(m.now, message)
		m.updateLeadership(wasCoordinator)
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

// handleRequest answers as the coordinator, or names the coordinator.
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

// handleReply learns who the coordinator is and takes in grants, denials and acknowledged returns.
func (m *Machine) handleReply(message *Message) {
	m.unansweredSince = 0
	if m.redirects++; message.Coordinator == message.FromAddress { // the coordinator itself answered
		m.redirects = 0
	}
	if message.Coordinator != m.coordinatorAddress {
		m.coordinatorAddress, m.nextRequestAt = message.Coordinator, m.now+requestSpacing
	}
	if m.coordinatorAddress == "" || m.redirects > maxRedirects { // during an election replicas may each name another one for a while
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

// handleGrant takes in a grant or a denial. A grant that no open request can be matched to is returned unused.
func (m *Machine) handleGrant(item Item) {
	budget := m.budgets[item.Key]
	if budget == nil || budget.request == nil || budget.request.item.Number != item.Number {
		known := budget != nil && slices.ContainsFunc(budget.grants, func(grant *heldGrant) bool { return grant.number == item.Number }) ||
			slices.ContainsFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == item.Number })
		if !known && item.Amount > 0 { // the answer to an old request: it is returned unused
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
	if !known { // the send time of that attempt is forgotten, so the start of the lease is not known: it is returned unused
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

// queueReturn has the coordinator told that nothing more is spent of a grant, and how much of it was used. In a budget that is held
// it is called again whenever part of the amount in use is released. until is when the grant expires.
func (m *Machine) queueReturn(key Key, number uint64, used, expiresAt float64) {
	m.unackedReturns = slices.DeleteFunc(m.unackedReturns, func(t grantReturn) bool { return t.item.Number == number })
	if len(m.unackedReturns) == maxUnackedReturns { // the oldest is not reported: that grant expires at the coordinator by itself
		m.unackedReturns = slices.Delete(m.unackedReturns, 0, 1)
	}
	countedFor := m.coldStartWindow
	if budget := m.budgets[key]; budget != nil {
		countedFor = budget.CountedFor
	}
	m.unackedReturns = append(m.unackedReturns, grantReturn{Item{Number: number, Key: key, Amount: used, Done: true, CountedFor: countedFor}, 0, expiresAt + m.padForDrift(countedFor)})
}

// returnGrants returns grants that have expired, are used up, or are no longer needed.
func (m *Machine) returnGrants() {
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		if !budget.held() {
			budget.fixedUses = slices.DeleteFunc(budget.fixedUses, func(u use) bool { return u.at <= m.now-budget.CountedFor-lateSendMargin })
		}
		budget.grants = slices.DeleteFunc(budget.grants, func(grant *heldGrant) bool {
			switch {
			case grant.closed:
				// Kept until all of it is released, even when it no longer counts at the coordinator. Otherwise a late release would
				// be taken from a later grant, part of which is still in use (found by internal/explore with a router that was paused).
				return grant.used <= 1e-6
			case m.now >= grant.expiresAt:
				m.stats.Expired++
			case grant.remaining <= 1e-6 && !budget.held(): // in a budget that is held, a release makes it available again
			case m.now > budget.lastDemandAt+m.IdleTimeout, budget.largestDemand > 0 && budget.request == nil:
				// There is no demand, or what remains does not cover the demand. If the grant were kept, its used part too would
				// count as leased until the lease ends; with demand far above the total that came to a third of the total.
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

// sortedKeys returns the keys of the budgets, sorted so that the order of messages does not depend on the map.
func (m *Machine) sortedKeys() []Key {
	out := make([]Key, 0, len(m.budgets))
	for key := range m.budgets {
		out = append(out, key)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// createRequests turns the demand since the last call into one request for each budget: for the sum of the amounts, bounded by
// MaxRequestFraction of the total, but at least for the largest amount wanted at once.
func (m *Machine) createRequests() {
	m.demandPending = false
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		largest, total := budget.largestDemand, budget.demandSum
		budget.largestDemand, budget.demandSum = 0, 0
		if largest == 0 || budget.request != nil {
			continue
		}
		amount := min(total, budget.Total*m.MaxRequestFraction)
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

// sendRequests sends the due requests and returns in one message.
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
		if m.now > budget.lastDemandAt+2*m.RetryInterval { // no batch waits for it any more
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
	if to != "" && m.unansweredSince > 0 && m.now > m.unansweredSince+4*m.RetryInterval { // it does not answer
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

// NextWake returns when Wake has to be called next if nothing happens before; infinity: not at all.
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
			if grant.closed { // it is removed when all of it is released
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

// Leave is called before a clean shutdown. It returns all grants and resigns the leadership, and hands over the ledgers if they are
// complete. Grants that this coordinator has issued expire by themselves.
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
		wasCoordinator := replica.isCoordinator(m.now)
		items, complete := m.coordinator.handoverItems(m.now)
		yield := replica.resign(m.now, m.self)
		if wasCoordinator && complete && m.ledgersComplete() {
			yield.Kind, yield.Items = Handover, items
		}
		replica.silentUntil = math.Inf(1)
		m.updateLeadership(wasCoordinator)
		m.broadcast(yield)
	}
}

// ledgersComplete reports whether the ledgers hold every grant of earlier coordinators that still counts.
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
