package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// The ledgers of a coordinator are lost with its process, and its successor would have to wait until everything that it may have
// granted no longer counts: a lease and the time for which a use counts, which is the longest time limit for a budget that is held.
// So a majority of the replicas records a grant before its holder receives it, and a new coordinator recovers the records of a
// majority. Two majorities have a replica in common, and that one has either kept its records or been running for so short a time
// that no grants are issued until the wait is over, as without records. Viewstamped Replication works this way without disks (Oki
// and Liskov, PODC 1988; Liskov and Cowling, 2012); here leases take the place of its log.

// MaxRecordsPerMessage bounds the records in one message: each holds the name of a router, and a message with the longest names has
// to fit into a datagram.
const MaxRecordsPerMessage = 7

// replicaRecord is a replica's record of one grant. total and countedFor are those of its budget.
type replicaRecord struct {
	amount            microUnits
	total, countedFor float64
	countsUntil       float64
}

// storeRecord stores what a coordinator reports of a grant; an amount of 0 deletes it. The amount of one grant only decreases, in
// whichever order the messages arrive. A late message makes a grant count for longer than necessary, which costs only time.
func (r *replica) storeRecord(now float64, item *Item) {
	id, records, amount := grantID{item.Holder, item.Number}, r.records[item.Key], toMicroUnits(item.Amount)
	if before, known := records[id]; known {
		amount = min(amount, before.amount)
	}
	switch {
	case amount > 0 && records == nil:
		r.records[item.Key] = map[grantID]replicaRecord{id: {amount, item.Total, item.CountedFor, now + r.padForDrift(item.Lease)}}
	case amount > 0:
		records[id] = replicaRecord{amount, item.Total, item.CountedFor, now + r.padForDrift(item.Lease)}
	default:
		delete(records, id)
	}
}

// dropExpired deletes the records of grants that no longer count.
func (r *replica) dropExpired(now float64) {
	for key, records := range r.records {
		maps.DeleteFunc(records, func(_ grantID, record replicaRecord) bool { return now >= record.countsUntil })
		if len(records) == 0 {
			delete(r.records, key)
		}
	}
}

// currentRecords returns the records of all grants that still count, sorted.
func (r *replica) currentRecords(now float64) (out []Item) {
	r.dropExpired(now)
	for key, records := range r.records {
		for id, record := range records {
			out = append(out, Item{Key: key, Holder: id.ID, Number: id.Number, Amount: float64(record.amount) / 1e6, Total: record.total, CountedFor: record.countedFor, Lease: record.countsUntil - now})
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(compareKeys(a.Key, b.Key), cmp.Compare(a.Holder.Name, b.Holder.Name), cmp.Compare(a.Holder.Start, b.Holder.Start), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// completeFor returns for how many seconds this start has received the record of every grant. The time in which it gives no promises
// does not count: a coordinator with a promise of the previous start may have issued grants then without a record here.
func (r *replica) completeFor(now float64) float64 { return max(now-r.completeSince, 0) }

// pendingGrants are grants whose replies wait until a majority of the replicas has recorded them.
type pendingGrants struct {
	number         uint64 // of the message
	records        []Item
	acknowledgedBy []string // addresses of replicas
	replies        []OutgoingMessage
	resendAt       float64
}

// recovery collects the records of the replicas for a new coordinator.
type recovery struct {
	number           uint64 // of the latest request
	resendAt         float64
	pages            map[string]*recoveredPages // by address of the replica
	completeReplicas int                        // replicas of which all pages have arrived
}

// recoveredPages are the records of one replica, in pages.
type recoveredPages struct {
	number      uint64 // of the request
	start       uint64 // of the replica
	items       [][]Item
	missing     int     // pages that have not arrived
	completeFor float64 // seconds; see Message.CompleteFor
}

// beginRecovery starts the ledgers of a new leadership. They are not used before a majority of the replicas has sent its records.
func (c *coordinator) beginRecovery(h *handover) {
	c.ledgers, c.pending, c.handover, c.recordsCompleteFor = map[Key]*budgetLedger{}, nil, h, 0
	c.recovery = &recovery{pages: map[string]*recoveredPages{}}
}

// addPage takes in a page of a replica's records. It returns true once a majority of the replicas has sent all pages.
func (r *recovery) addPage(m *Message, replicas int) bool {
	if m.Number != r.number || m.Pages == 0 || m.Page >= m.Pages {
		return false
	}
	p := r.pages[m.FromAddress]
	switch {
	case p != nil && p.missing == 0:
		return false
	case p == nil || p.number != m.Number || p.start != m.From.Start || len(p.items) != int(m.Pages):
		p = &recoveredPages{number: m.Number, start: m.From.Start, items: make([][]Item, m.Pages), missing: int(m.Pages), completeFor: m.CompleteFor}
		r.pages[m.FromAddress] = p
	}
	if p.items[m.Page] == nil {
		p.items[m.Page] = append([]Item{}, m.Items...)
		p.missing--
	}
	p.completeFor = min(p.completeFor, m.CompleteFor)
	if p.missing == 0 {
		r.completeReplicas++
	}
	return 2*r.completeReplicas > replicas
}

// applyRecovery fills the ledgers with the records of a majority of the replicas and with what the previous coordinator handed over.
func (c *coordinator) applyRecovery(now, leaderSince float64) {
	c.recordsCompleteFor = math.Inf(1)
	for _, p := range c.recovery.pages {
		if p.missing > 0 {
			continue
		}
		c.recordsCompleteFor = min(c.recordsCompleteFor, p.completeFor)
		for _, items := range p.items {
			for _, item := range items {
				ledger, id := c.getOrCreateLedger(now, &item), grantID{item.Holder, item.Number}
				ledger.countedFor, ledger.total, ledger.nextTotal = max(ledger.countedFor, item.CountedFor), min(ledger.total, item.Total), min(ledger.nextTotal, item.Total)
				issued := &issuedGrant{amount: toMicroUnits(item.Amount), countsUntil: now + c.padForDrift(item.Lease), recovered: true}
				if before := ledger.grants[id]; before != nil { // a replica may have missed a reduction, so the larger amount counts
					issued.amount, issued.countsUntil = max(issued.amount, before.amount), max(issued.countsUntil, before.countsUntil)
				}
				ledger.add(id, issued)
			}
		}
	}
	c.recovery = nil
	if h := c.handover; h != nil {
		for n, item := range h.items {
			ledger := c.getOrCreateLedger(now, &item)
			ledger.countedFor = max(ledger.countedFor, item.Lease)
			if more := toMicroUnits(item.Amount) - ledger.granted; more > 0 && !c.recordsComplete(ledger) {
				ledger.add(grantID{h.by, uint64(n)}, &issuedGrant{amount: more, countsUntil: h.receivedAt + c.padForDrift(item.CountedFor), done: true})
			}
		}
	}
	for _, ledger := range c.ledgers {
		c.updateOpensAt(ledger, leaderSince)
	}
}

// recordsComplete reports whether every grant of the budget that still counts is in the recovered records: the replicas that sent
// them have received all records for longer than a grant counts that they may have lost in a restart.
func (c *coordinator) recordsComplete(ledger *budgetLedger) bool {
	return c.recordsCompleteFor >= c.padForDrift(c.padForDrift(c.Lease+ledger.countedFor))
}

// updateOpensAt sets from when on grants may be issued: at once if the ledger is complete, otherwise when no grant that is missing
// from it can still count.
func (c *coordinator) updateOpensAt(ledger *budgetLedger, leaderSince float64) {
	if ledger.opensAt = 0; c.handover == nil && !c.recordsComplete(ledger) {
		ledger.opensAt = leaderSince + c.padForDrift(c.Lease+ledger.countedFor)
	}
}

// replicate sends the records of new grants to the replicas and keeps the replies back until a majority has acknowledged them.
func (m *Machine) replicate(replies []OutgoingMessage) {
	c, replica := &m.coordinator, m.replica
	for len(replies) > 0 {
		chunk := replies[:min(len(replies), MaxRecordsPerMessage)]
		replies = replies[len(chunk):]
		c.lastNumber++
		p := &pendingGrants{number: c.lastNumber, acknowledgedBy: []string{m.Listen}, resendAt: m.now + m.RetryInterval}
		for _, s := range chunk {
			item := &s.Items[0]
			ledger := c.ledgers[item.Key]
			issued := ledger.grants[grantID{item.Holder, item.Number}]
			record := Item{Key: item.Key, Holder: item.Holder, Number: item.Number, Amount: item.Amount, Total: ledger.total, CountedFor: ledger.countedFor, Lease: issued.countsUntil - m.now}
			item.Holder = ID{}
			replica.storeRecord(m.now, &record)
			issued.unreplicated = true
			p.records, p.replies = append(p.records, record), append(p.replies, s)
		}
		c.pending = append(c.pending, p)
		m.broadcast(Message{Kind: RecordUpdate, Number: p.number, Items: p.records})
		m.sendIfReplicated(p)
	}
}

// sendIfReplicated sends the replies once a majority of the replicas has the records, if the leadership still lasts: then the next
// coordinator recovers these records.
func (m *Machine) sendIfReplicated(p *pendingGrants) {
	c := &m.coordinator
	if 2*len(p.acknowledgedBy) <= len(m.Replicas) || !m.replica.isCoordinator(m.now) {
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingGrants) bool { return o == p })
	for n, s := range p.replies {
		item := &p.records[n]
		if ledger := c.ledgers[item.Key]; ledger != nil {
			if issued := ledger.grants[grantID{item.Holder, item.Number}]; issued != nil {
				issued.unreplicated = false
			}
		}
		m.send(s.Destination, s.Message)
	}
}

// handleRecordAck notes that a replica has recorded pending grants.
func (m *Machine) handleRecordAck(message *Message) {
	c := &m.coordinator
	n := slices.IndexFunc(c.pending, func(p *pendingGrants) bool { return p.number == message.Number })
	if n < 0 || m.replicaIndex(message.FromAddress) < 0 || slices.Contains(c.pending[n].acknowledgedBy, message.FromAddress) {
		return
	}
	p := c.pending[n]
	p.acknowledgedBy = append(p.acknowledgedBy, message.FromAddress)
	m.sendIfReplicated(p)
}

// replicateReductions reports grants that count for less now. It is not acknowledged: where a report is lost, the grant counts in
// full for longer.
func (m *Machine) replicateReductions(items []Item) {
	for len(items) > 0 {
		chunk := items[:min(len(items), MaxRecordsPerMessage)]
		items = items[len(chunk):]
		for n := range chunk {
			m.replica.storeRecord(m.now, &chunk[n])
		}
		m.broadcast(Message{Kind: RecordUpdate, Items: chunk})
	}
}

// handleRecordUpdate stores records as a replica, and acknowledges them if the message has a number.
func (m *Machine) handleRecordUpdate(message *Message) {
	for n := range message.Items {
		m.replica.storeRecord(m.now, &message.Items[n])
	}
	if message.Number > 0 {
		m.send(message.FromAddress, Message{Kind: RecordAck, ToStart: message.From.Start, Number: message.Number})
	}
}

// sendRecoveryPages sends all records of this replica to a new coordinator, in as many messages as they need.
func (m *Machine) sendRecoveryPages(message *Message) {
	replica := m.replica
	if m.replicaIndex(message.FromAddress) < 0 {
		return
	}
	items := replica.currentRecords(m.now)
	n := max((len(items)+MaxRecordsPerMessage-1)/MaxRecordsPerMessage, 1)
	for page := range n {
		chunk := items[min(page*MaxRecordsPerMessage, len(items)):min((page+1)*MaxRecordsPerMessage, len(items))]
		m.send(message.FromAddress, Message{Kind: RecoveryPage, ToStart: message.From.Start, Number: message.Number, Page: uint32(page), Pages: uint32(n), CompleteFor: replica.completeFor(m.now), Items: chunk})
	}
}

// resendToReplicas repeats what replicas have not answered: the recovery request until a majority has sent its records, and the records
// of pending grants.
func (m *Machine) resendToReplicas() {
	c, replica := &m.coordinator, m.replica
	if r := c.recovery; r != nil && m.now >= r.resendAt {
		c.lastNumber++
		r.number, r.resendAt, r.completeReplicas = c.lastNumber, m.now+m.RetryInterval, 0
		r.pages = map[string]*recoveredPages{m.Listen: {number: r.number, start: m.self.Start, items: [][]Item{replica.currentRecords(m.now)}, completeFor: replica.completeFor(m.now)}}
		r.completeReplicas = 1
		if 2*r.completeReplicas > len(m.Replicas) {
			m.finishRecovery()
			return
		}
		m.broadcast(Message{Kind: RecoveryRequest, Number: r.number})
	}
	for _, p := range c.pending {
		if m.now >= p.resendAt {
			p.resendAt = m.now + m.RetryInterval
			for _, to := range m.Replicas {
				if !slices.Contains(p.acknowledgedBy, to) {
					m.send(to, Message{Kind: RecordUpdate, Number: p.number, Items: p.records})
				}
			}
		}
	}
}

// finishRecovery fills the ledgers, after which grants may be issued.
func (m *Machine) finishRecovery() {
	m.coordinator.applyRecovery(m.now, m.replica.leaderSince)
	m.note(false, "books", "count", len(m.coordinator.ledgers), "keepers up", m.coordinator.recordsCompleteFor, "handed over", m.coordinator.handover != nil)
}
