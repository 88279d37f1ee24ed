package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// A bursar's books would die with him, and the next one would have to wait until all that he may have given is over: a lease and
// a rest, and of what is held that is the longest time limit. So most keepers know of a credit before its holder does, and who
// is chosen next hears from most of them what counts: two majorities have a keeper in common, and it has not forgotten, or has
// run for so short a time that the books stay closed as before. It is what Viewstamped Replication does without disks (Oki and
// Liskov, PODC 1988; Liskov and Cowling, 2012), with leases in place of a log.

// MaxRecordsPerMessage are on one message: each has its holder's name, and the longest names have to fit a datagram.
const MaxRecordsPerMessage = 7

// replicaRecord is what a keeper knows of a credit.
type replicaRecord struct {
	amount            microUnits
	total, countedFor float64 // of its budget
	countsUntil       float64 // it counts
}

// storeRecord notes what a bursar tells. Of one credit amounts only fall, in whichever order they come; one that is told late
// counts on until it would have, which takes nothing from anybody but time.
func (r *replica) storeRecord(now float64, item *Item) {
	id, all, amount := grantID{item.Holder, item.Number}, r.records[item.Key], toMicroUnits(item.Amount)
	if before, known := all[id]; known {
		amount = min(amount, before.amount)
	}
	switch {
	case amount > 0 && all == nil:
		r.records[item.Key] = map[grantID]replicaRecord{id: {amount, item.Total, item.CountedFor, now + r.padForDrift(item.Lease)}}
	case amount > 0:
		all[id] = replicaRecord{amount, item.Total, item.CountedFor, now + r.padForDrift(item.Lease)}
	default:
		delete(all, id)
	}
}

// dropExpired drops what no longer counts.
func (r *replica) dropExpired(now float64) {
	for key, all := range r.records {
		maps.DeleteFunc(all, func(_ grantID, r replicaRecord) bool { return now >= r.countsUntil })
		if len(all) == 0 {
			delete(r.records, key)
		}
	}
}

// currentRecords gives all that counts, in one order.
func (r *replica) currentRecords(now float64) (out []Item) {
	r.dropExpired(now)
	for key, all := range r.records {
		for id, r := range all {
			out = append(out, Item{Key: key, Holder: id.ID, Number: id.Number, Amount: float64(r.amount) / 1e6, Total: r.total, CountedFor: r.countedFor, Lease: r.countsUntil - now})
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(compareKeys(a.Key, b.Key), cmp.Compare(a.Holder.Name, b.Holder.Name), cmp.Compare(a.Holder.Start, b.Holder.Start), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// completeFor is for how long this start has been told all that was given. Its quiet time counts for nothing: a bursar whom the start
// before promised may have given until then without asking this one.
func (r *replica) completeFor(now float64) float64 { return max(now-r.completeSince, 0) }

// pendingGrants are credits that most keepers don't know of yet.
type pendingGrants struct {
	number         uint64
	records        []Item // what they are told,
	acknowledgedBy []string
	replies        []OutgoingMessage // and what goes out then
	resendAt       float64
}

// recovery is what a new bursar hears of what counts.
type recovery struct {
	number           uint64 // of the last time he asked
	resendAt         float64
	pages            map[string]*recoveredPages // by keeper's address
	completeReplicas int                        // keepers of whom all has come
}

type recoveredPages struct {
	number      uint64
	start       uint64
	items       [][]Item
	missing     int
	completeFor float64
}

// beginRecovery opens the books of a new office: they can't be used before most keepers have told what they know.
func (c *coordinator) beginRecovery(h *handover) {
	c.ledgers, c.pending, c.handover, c.recordsCompleteFor = map[Key]*budgetLedger{}, nil, h, 0
	c.recovery = &recovery{pages: map[string]*recoveredPages{}}
}

// addPage takes in a page of what a keeper knows. It gives true once most have told all.
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

// applyRecovery fills the books with what most keepers know.
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
				if before := ledger.grants[id]; before != nil { // where one keeper missed that less is out the larger counts
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

// recordsComplete: those who told what they know have run for longer than anything counts that they may have forgotten.
func (c *coordinator) recordsComplete(ledger *budgetLedger) bool {
	return c.recordsCompleteFor >= c.padForDrift(c.padForDrift(c.Lease+ledger.countedFor))
}

// updateOpensAt sets when a book may be used: at once if all that counts is in it, else when what is not is over.
func (c *coordinator) updateOpensAt(ledger *budgetLedger, leaderSince float64) {
	if ledger.opensAt = 0; c.handover == nil && !c.recordsComplete(ledger) {
		ledger.opensAt = leaderSince + c.padForDrift(c.Lease+ledger.countedFor)
	}
}

// replicate keeps what is to be given until most keepers know of it, and tells them.
func (m *Machine) replicate(sends []OutgoingMessage) {
	c, replica := &m.coordinator, m.replica
	for len(sends) > 0 {
		chunk := sends[:min(len(sends), MaxRecordsPerMessage)]
		sends = sends[len(chunk):]
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

// sendIfReplicated sends what most keepers know of, if the office still lasts: whoever has it next has heard of it then.
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

// handleRecordAck: a keeper knows of some credits now.
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

// replicateReductions tells keepers of what counts for less now. Where that is lost it counts for longer.
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

// handleRecordUpdate is the part of a keeper in both.
func (m *Machine) handleRecordUpdate(message *Message) {
	for n := range message.Items {
		m.replica.storeRecord(m.now, &message.Items[n])
	}
	if message.Number > 0 {
		m.send(message.FromAddress, Message{Kind: RecordAck, ToStart: message.From.Start, Number: message.Number})
	}
}

// sendRecoveryPages gives a new bursar all that this keeper knows, in as many messages as it takes.
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

// resendToReplicas asks keepers for what counts until most have told it, and parked credits' keepers again.
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

func (m *Machine) finishRecovery() {
	m.coordinator.applyRecovery(m.now, m.replica.leaderSince)
	m.note(false, "books", "count", len(m.coordinator.ledgers), "keepers up", m.coordinator.recordsCompleteFor, "handed over", m.coordinator.handover != nil)
}
