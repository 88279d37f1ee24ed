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

// MostRecords are on one message: each has its holder's name, and the longest names have to fit a datagram.
const MostRecords = 7

// record is what a keeper knows of a credit.
type record struct {
	amount      units
	whole, rest float64 // of its budget
	until       float64 // it counts
}

// keep notes what a bursar tells. Of one credit amounts only fall, in whichever order they come; one that is told late
// counts on until it would have, which takes nothing from anybody but time.
func (k *keeper) keep(now float64, i *Item) {
	of, all, amount := holder{i.Of, i.Number}, k.records[i.Key], toUnits(i.Amount)
	if before, known := all[of]; known {
		amount = min(amount, before.amount)
	}
	switch {
	case amount > 0 && all == nil:
		k.records[i.Key] = map[holder]record{of: {amount, i.Whole, i.Rest, now + k.longer(i.Lease)}}
	case amount > 0:
		all[of] = record{amount, i.Whole, i.Rest, now + k.longer(i.Lease)}
	default:
		delete(all, of)
	}
}

// forget drops what no longer counts.
func (k *keeper) forget(now float64) {
	for key, all := range k.records {
		maps.DeleteFunc(all, func(_ holder, r record) bool { return now >= r.until })
		if len(all) == 0 {
			delete(k.records, key)
		}
	}
}

// known gives all that counts, in one order.
func (k *keeper) known(now float64) (out []Item) {
	k.forget(now)
	for key, all := range k.records {
		for of, r := range all {
			out = append(out, Item{Key: key, Of: of.ID, Number: of.Number, Amount: float64(r.amount) / 1e6, Whole: r.whole, Rest: r.rest, Lease: r.until - now})
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(compareKeys(a.Key, b.Key), cmp.Compare(a.Of.Name, b.Of.Name), cmp.Compare(a.Of.Start, b.Of.Start), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// up is for how long this start has been told all that was given. Its quiet time counts for nothing: a bursar whom the start
// before promised may have given until then without asking this one.
func (k *keeper) up(now float64) float64 { return max(now-k.knows, 0) }

// parked are credits that most keepers don't know of yet.
type parked struct {
	number uint64
	items  []Item // what they are told,
	by     []string
	sends  []Send // and what goes out then
	again  float64
}

// recall is what a new bursar hears of what counts.
type recall struct {
	number uint64 // of the last time he asked
	again  float64
	from   map[string]*pages // by keeper's address
	done   int               // keepers of whom all has come
}

type pages struct {
	number uint64
	start  uint64
	all    [][]Item
	left   int
	up     float64
}

// begin opens the books of a new office: they can't be used before most keepers have told what they know.
func (b *bursar) begin(h *handed) {
	b.books, b.parked, b.handed, b.up = map[Key]*book{}, nil, h, 0
	b.recall = &recall{from: map[string]*pages{}}
}

// hear takes in a page of what a keeper knows. It gives true once most have told all.
func (r *recall) hear(m *Message, keepers int) bool {
	if m.Number != r.number || m.Pages == 0 || m.Page >= m.Pages {
		return false
	}
	p := r.from[m.At]
	switch {
	case p != nil && p.left == 0:
		return false
	case p == nil || p.number != m.Number || p.start != m.From.Start || len(p.all) != int(m.Pages):
		p = &pages{number: m.Number, start: m.From.Start, all: make([][]Item, m.Pages), left: int(m.Pages), up: m.Up}
		r.from[m.At] = p
	}
	if p.all[m.Page] == nil {
		p.all[m.Page] = append([]Item{}, m.Items...)
		p.left--
	}
	p.up = min(p.up, m.Up)
	if p.left == 0 {
		r.done++
	}
	return 2*r.done > keepers
}

// open fills the books with what most keepers know.
func (b *bursar) open(now, wonAt float64) {
	b.up = math.Inf(1)
	for _, p := range b.recall.from {
		if p.left > 0 {
			continue
		}
		b.up = min(b.up, p.up)
		for _, items := range p.all {
			for _, i := range items {
				k, of := b.find(now, &i), holder{i.Of, i.Number}
				k.rest, k.whole, k.next = max(k.rest, i.Rest), min(k.whole, i.Whole), min(k.next, i.Whole)
				c := &credit{amount: toUnits(i.Amount), until: now + b.longer(i.Lease), recalled: true}
				if before := k.given[of]; before != nil { // where one keeper missed that less is out the larger counts
					c.amount, c.until = max(c.amount, before.amount), max(c.until, before.until)
				}
				k.give(of, c)
			}
		}
	}
	b.recall = nil
	if h := b.handed; h != nil {
		for n, i := range h.items {
			k := b.find(now, &i)
			k.rest = max(k.rest, i.Lease)
			if more := toUnits(i.Amount) - k.sum; more > 0 && !b.complete(k) {
				k.give(holder{h.by, uint64(n)}, &credit{amount: more, until: h.at + b.longer(i.Rest), done: true})
			}
		}
	}
	for _, k := range b.books {
		b.opens(k, wonAt)
	}
}

// complete: those who told what they know have run for longer than anything counts that they may have forgotten.
func (b *bursar) complete(k *book) bool { return b.up >= b.longer(b.longer(b.Lease+k.rest)) }

// opens sets when a book may be used: at once if all that counts is in it, else when what is not is over.
func (b *bursar) opens(k *book, wonAt float64) {
	if k.openAt = 0; b.handed == nil && !b.complete(k) {
		k.openAt = wonAt + b.longer(b.Lease+k.rest)
	}
}

// park keeps what is to be given until most keepers know of it, and tells them.
func (m *Machine) park(sends []Send) {
	b, k := &m.bursar, m.keeper
	for len(sends) > 0 {
		some := sends[:min(len(sends), MostRecords)]
		sends = sends[len(some):]
		b.numbers++
		p := &parked{number: b.numbers, by: []string{m.Listen}, again: m.now + m.Again}
		for _, s := range some {
			i := &s.Items[0]
			of := b.books[i.Key]
			c := of.given[holder{i.Of, i.Number}]
			told := Item{Key: i.Key, Of: i.Of, Number: i.Number, Amount: i.Amount, Whole: of.whole, Rest: of.rest, Lease: c.until - m.now}
			i.Of = ID{}
			k.keep(m.now, &told)
			c.parked = true
			p.items, p.sends = append(p.items, told), append(p.sends, s)
		}
		b.parked = append(b.parked, p)
		m.keepers(Message{Kind: Record, Number: p.number, Items: p.items})
		m.known(p)
	}
}

// known sends what most keepers know of, if the office still lasts: whoever has it next has heard of it then.
func (m *Machine) known(p *parked) {
	b := &m.bursar
	if 2*len(p.by) <= len(m.Keepers) || !m.keeper.office(m.now) {
		return
	}
	b.parked = slices.DeleteFunc(b.parked, func(o *parked) bool { return o == p })
	for n, s := range p.sends {
		i := &p.items[n]
		if k := b.books[i.Key]; k != nil {
			if c := k.given[holder{i.Of, i.Number}]; c != nil {
				c.parked = false
			}
		}
		m.send(s.To, s.Message)
	}
}

// recorded: a keeper knows of some credits now.
func (m *Machine) recorded(message *Message) {
	b := &m.bursar
	n := slices.IndexFunc(b.parked, func(p *parked) bool { return p.number == message.Number })
	if n < 0 || m.rank(message.At) < 0 || slices.Contains(b.parked[n].by, message.At) {
		return
	}
	p := b.parked[n]
	p.by = append(p.by, message.At)
	m.known(p)
}

// lessens tells keepers of what counts for less now. Where that is lost it counts for longer.
func (m *Machine) lessens(items []Item) {
	for len(items) > 0 {
		some := items[:min(len(items), MostRecords)]
		items = items[len(some):]
		for n := range some {
			m.keeper.keep(m.now, &some[n])
		}
		m.keepers(Message{Kind: Record, Items: some})
	}
}

// record is the part of a keeper in both.
func (m *Machine) record(message *Message) {
	for n := range message.Items {
		m.keeper.keep(m.now, &message.Items[n])
	}
	if message.Number > 0 {
		m.send(message.At, Message{Kind: Recorded, To: message.From.Start, Number: message.Number})
	}
}

// tells gives a new bursar all that this keeper knows, in as many messages as it takes.
func (m *Machine) tells(message *Message) {
	k := m.keeper
	if m.rank(message.At) < 0 {
		return
	}
	items := k.known(m.now)
	n := max((len(items)+MostRecords-1)/MostRecords, 1)
	for page := range n {
		some := items[min(page*MostRecords, len(items)):min((page+1)*MostRecords, len(items))]
		m.send(message.At, Message{Kind: Recalled, To: message.From.Start, Number: message.Number, Page: uint32(page), Pages: uint32(n), Up: k.up(m.now), Items: some})
	}
}

// recalls asks keepers for what counts until most have told it, and parked credits' keepers again.
func (m *Machine) recalls() {
	b, k := &m.bursar, m.keeper
	if r := b.recall; r != nil && m.now >= r.again {
		b.numbers++
		r.number, r.again, r.done = b.numbers, m.now+m.Again, 0
		r.from = map[string]*pages{m.Listen: {number: r.number, start: m.self.Start, all: [][]Item{k.known(m.now)}, up: k.up(m.now)}}
		r.done = 1
		if 2*r.done > len(m.Keepers) {
			m.opened()
			return
		}
		m.keepers(Message{Kind: Recall, Number: r.number})
	}
	for _, p := range b.parked {
		if m.now >= p.again {
			p.again = m.now + m.Again
			for _, to := range m.Keepers {
				if !slices.Contains(p.by, to) {
					m.send(to, Message{Kind: Record, Number: p.number, Items: p.items})
				}
			}
		}
	}
}

func (m *Machine) opened() {
	m.bursar.open(m.now, m.keeper.wonAt)
	m.note(false, "books", "count", len(m.bursar.books), "keepers up", m.bursar.up, "handed over", m.bursar.handed != nil)
}
