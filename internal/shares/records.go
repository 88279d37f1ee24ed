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
func (k *replica) storeRecord(now float64, i *Item) {
	of, all, amount := grantID{i.Holder, i.Number}, k.records[i.Key], toMicroUnits(i.Amount)
	if before, known := all[of]; known {
		amount = min(amount, before.amount)
	}
	switch {
	case amount > 0 && all == nil:
		k.records[i.Key] = map[grantID]replicaRecord{of: {amount, i.Total, i.CountedFor, now + k.padForDrift(i.Lease)}}
	case amount > 0:
		all[of] = replicaRecord{amount, i.Total, i.CountedFor, now + k.padForDrift(i.Lease)}
	default:
		delete(all, of)
	}
}

// dropExpired drops what no longer counts.
func (k *replica) dropExpired(now float64) {
	for key, all := range k.records {
		maps.DeleteFunc(all, func(_ grantID, r replicaRecord) bool { return now >= r.countsUntil })
		if len(all) == 0 {
			delete(k.records, key)
		}
	}
}

// currentRecords gives all that counts, in one order.
func (k *replica) currentRecords(now float64) (out []Item) {
	k.dropExpired(now)
	for key, all := range k.records {
		for of, r := range all {
			out = append(out, Item{Key: key, Holder: of.ID, Number: of.Number, Amount: float64(r.amount) / 1e6, Total: r.total, CountedFor: r.countedFor, Lease: r.countsUntil - now})
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(compareKeys(a.Key, b.Key), cmp.Compare(a.Holder.Name, b.Holder.Name), cmp.Compare(a.Holder.Start, b.Holder.Start), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// completeFor is for how long this start has been told all that was given. Its quiet time counts for nothing: a bursar whom the start
// before promised may have given until then without asking this one.
func (k *replica) completeFor(now float64) float64 { return max(now-k.completeSince, 0) }

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
func (b *coordinator) beginRecovery(h *handover) {
	b.ledgers, b.pending, b.handover, b.recordsCompleteFor = map[Key]*budgetLedger{}, nil, h, 0
	b.recovery = &recovery{pages: map[string]*recoveredPages{}}
}

// addPage takes in a page of what a keeper knows. It gives true once most have told all.
func (r *recovery) addPage(m *Message, keepers int) bool {
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
	return 2*r.completeReplicas > keepers
}

// applyRecovery fills the books with what most keepers know.
func (b *coordinator) applyRecovery(now, wonAt float64) {
	b.recordsCompleteFor = math.Inf(1)
	for _, p := range b.recovery.pages {
		if p.missing > 0 {
			continue
		}
		b.recordsCompleteFor = min(b.recordsCompleteFor, p.completeFor)
		for _, items := range p.items {
			for _, i := range items {
				k, of := b.getOrCreateLedger(now, &i), grantID{i.Holder, i.Number}
				k.countedFor, k.total, k.nextTotal = max(k.countedFor, i.CountedFor), min(k.total, i.Total), min(k.nextTotal, i.Total)
				c := &issuedGrant{amount: toMicroUnits(i.Amount), countsUntil: now + b.padForDrift(i.Lease), recovered: true}
				if before := k.grants[of]; before != nil { // where one keeper missed that less is out the larger counts
					c.amount, c.countsUntil = max(c.amount, before.amount), max(c.countsUntil, before.countsUntil)
				}
				k.add(of, c)
			}
		}
	}
	b.recovery = nil
	if h := b.handover; h != nil {
		for n, i := range h.items {
			k := b.getOrCreateLedger(now, &i)
			k.countedFor = max(k.countedFor, i.Lease)
			if more := toMicroUnits(i.Amount) - k.granted; more > 0 && !b.recordsComplete(k) {
				k.add(grantID{h.by, uint64(n)}, &issuedGrant{amount: more, countsUntil: h.receivedAt + b.padForDrift(i.CountedFor), done: true})
			}
		}
	}
	for _, k := range b.ledgers {
		b.updateOpensAt(k, wonAt)
	}
}

// recordsComplete: those who told what they know have run for longer than anything counts that they may have forgotten.
func (b *coordinator) recordsComplete(k *budgetLedger) bool {
	return b.recordsCompleteFor >= b.padForDrift(b.padForDrift(b.Lease+k.countedFor))
}

// updateOpensAt sets when a book may be used: at once if all that counts is in it, else when what is not is over.
func (b *coordinator) updateOpensAt(k *budgetLedger, wonAt float64) {
	if k.opensAt = 0; b.handover == nil && !b.recordsComplete(k) {
		k.opensAt = wonAt + b.padForDrift(b.Lease+k.countedFor)
	}
}

// replicate keeps what is to be given until most keepers know of it, and tells them.
func (m *Machine) replicate(sends []OutgoingMessage) {
	b, k := &m.coordinator, m.replica
	for len(sends) > 0 {
		some := sends[:min(len(sends), MaxRecordsPerMessage)]
		sends = sends[len(some):]
		b.lastNumber++
		p := &pendingGrants{number: b.lastNumber, acknowledgedBy: []string{m.Listen}, resendAt: m.now + m.RetryInterval}
		for _, s := range some {
			i := &s.Items[0]
			of := b.ledgers[i.Key]
			c := of.grants[grantID{i.Holder, i.Number}]
			told := Item{Key: i.Key, Holder: i.Holder, Number: i.Number, Amount: i.Amount, Total: of.total, CountedFor: of.countedFor, Lease: c.countsUntil - m.now}
			i.Holder = ID{}
			k.storeRecord(m.now, &told)
			c.unreplicated = true
			p.records, p.replies = append(p.records, told), append(p.replies, s)
		}
		b.pending = append(b.pending, p)
		m.broadcast(Message{Kind: RecordUpdate, Number: p.number, Items: p.records})
		m.sendIfReplicated(p)
	}
}

// sendIfReplicated sends what most keepers know of, if the office still lasts: whoever has it next has heard of it then.
func (m *Machine) sendIfReplicated(p *pendingGrants) {
	b := &m.coordinator
	if 2*len(p.acknowledgedBy) <= len(m.Replicas) || !m.replica.isCoordinator(m.now) {
		return
	}
	b.pending = slices.DeleteFunc(b.pending, func(o *pendingGrants) bool { return o == p })
	for n, s := range p.replies {
		i := &p.records[n]
		if k := b.ledgers[i.Key]; k != nil {
			if c := k.grants[grantID{i.Holder, i.Number}]; c != nil {
				c.unreplicated = false
			}
		}
		m.send(s.Destination, s.Message)
	}
}

// handleRecordAck: a keeper knows of some credits now.
func (m *Machine) handleRecordAck(message *Message) {
	b := &m.coordinator
	n := slices.IndexFunc(b.pending, func(p *pendingGrants) bool { return p.number == message.Number })
	if n < 0 || m.replicaIndex(message.FromAddress) < 0 || slices.Contains(b.pending[n].acknowledgedBy, message.FromAddress) {
		return
	}
	p := b.pending[n]
	p.acknowledgedBy = append(p.acknowledgedBy, message.FromAddress)
	m.sendIfReplicated(p)
}

// replicateReductions tells keepers of what counts for less now. Where that is lost it counts for longer.
func (m *Machine) replicateReductions(items []Item) {
	for len(items) > 0 {
		some := items[:min(len(items), MaxRecordsPerMessage)]
		items = items[len(some):]
		for n := range some {
			m.replica.storeRecord(m.now, &some[n])
		}
		m.broadcast(Message{Kind: RecordUpdate, Items: some})
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
	k := m.replica
	if m.replicaIndex(message.FromAddress) < 0 {
		return
	}
	items := k.currentRecords(m.now)
	n := max((len(items)+MaxRecordsPerMessage-1)/MaxRecordsPerMessage, 1)
	for page := range n {
		some := items[min(page*MaxRecordsPerMessage, len(items)):min((page+1)*MaxRecordsPerMessage, len(items))]
		m.send(message.FromAddress, Message{Kind: RecoveryPage, ToStart: message.From.Start, Number: message.Number, Page: uint32(page), Pages: uint32(n), CompleteFor: k.completeFor(m.now), Items: some})
	}
}

// resendToReplicas asks keepers for what counts until most have told it, and parked credits' keepers again.
func (m *Machine) resendToReplicas() {
	b, k := &m.coordinator, m.replica
	if r := b.recovery; r != nil && m.now >= r.resendAt {
		b.lastNumber++
		r.number, r.resendAt, r.completeReplicas = b.lastNumber, m.now+m.RetryInterval, 0
		r.pages = map[string]*recoveredPages{m.Listen: {number: r.number, start: m.self.Start, items: [][]Item{k.currentRecords(m.now)}, completeFor: k.completeFor(m.now)}}
		r.completeReplicas = 1
		if 2*r.completeReplicas > len(m.Replicas) {
			m.finishRecovery()
			return
		}
		m.broadcast(Message{Kind: RecoveryRequest, Number: r.number})
	}
	for _, p := range b.pending {
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
