package shares

import (
	"cmp"
	"math"
	"slices"
)

// budgetLedger is what the bursar has given of one budget. What was given counts until its lease has ended on the slowest clock, and
// what may have been done with it has had its rest; of one that is told done, only what was used, and its rest from now on.
type budgetLedger struct {
	key            Key
	total          float64 // the least that was told within a rest
	nextTotal      float64 // the least since nextAt: it takes the place of whole when that is old
	nextTotalSince float64
	countedFor     float64
	opensAt        float64 // what the bursar before gave may count until then
	grants         map[grantID]*issuedGrant
	granted        microUnits       // of those
	nextExpiry     float64          // when the next of them ends, or sooner
	queue          []*queuedRequest // in the order in which they came
	lastUsedAt     float64
}

// microUnits are millionths: what is added and taken away a million times has to come out even.
type microUnits int64

func toMicroUnits(amount float64) microUnits {
	return microUnits(math.Ceil(min(max(amount, 0), 1e12) * 1e6))
}

// grantID names a credit.
type grantID struct {
	ID
	Number uint64
}

type issuedGrant struct {
	amount       microUnits
	countsUntil  float64
	lease        float64
	attempt      uint32
	done         bool
	unreplicated bool // most keepers don't know of it yet
	recovered    bool // of the bursar before
}

// queuedRequest is an asking that there was no room for.
type queuedRequest struct {
	grantID
	item           Item
	replyTo        string
	queuedAt       float64
	lastReceivedAt float64 // when it was last asked again
}

// coordinator is the part of whoever holds the office.
type coordinator struct {
	*Settings
	ledgers            map[Key]*budgetLedger // tidy deletes
	handover           *handover             // by the bursar before, who left in peace; nil: nothing
	recovery           *recovery             // nil: it is over, and the books may be used
	recordsCompleteFor float64               // for how long those keepers have run who told what counts
	pending            []*pendingGrants
	lastNumber         uint64 // of what keepers are told and asked
}

// getOrCreateLedger gives the book of a budget.
func (b *coordinator) getOrCreateLedger(now float64, i *Item) *budgetLedger {
	k := b.ledgers[i.Key]
	if k == nil {
		k = &budgetLedger{key: i.Key, total: i.Total, nextTotal: i.Total, nextTotalSince: now, grants: map[grantID]*issuedGrant{}, nextExpiry: math.Inf(1), lastUsedAt: now}
		b.ledgers[i.Key] = k
	}
	return k
}

// handoverItems gives all that still counts, where one message holds it.
func (b *coordinator) handoverItems(now float64) (items []Item, all bool) {
	for _, k := range b.sortedLedgers() {
		if k.dropExpired(now); k.granted == 0 {
			continue
		}
		last := now
		for _, c := range k.grants {
			last = max(last, c.countsUntil)
		}
		items = append(items, Item{Key: k.key, Amount: float64(k.granted) / 1e6, Total: k.total, CountedFor: last - now, Lease: k.countedFor})
	}
	return items, len(items) <= maxItemsPerMessage
}

// removeIdleLedgers drops books of which nothing counts any more.
func (b *coordinator) removeIdleLedgers(now float64) {
	for key, k := range b.ledgers {
		k.dropExpired(now)
		if len(k.grants) == 0 && len(k.queue) == 0 && now > k.lastUsedAt+max(4*k.countedFor, 10) && now > k.opensAt {
			delete(b.ledgers, key)
		}
	}
}

// dropExpired forgets what no longer counts.
func (k *budgetLedger) dropExpired(now float64) {
	if now < k.nextExpiry {
		return
	}
	k.nextExpiry = math.Inf(1)
	for of, c := range k.grants {
		if now >= c.countsUntil {
			k.remove(of)
		} else {
			k.nextExpiry = min(k.nextExpiry, c.countsUntil)
		}
	}
}

// add and take are all that changes the sum.
func (k *budgetLedger) add(to grantID, c *issuedGrant) {
	k.remove(to)
	k.grants[to] = c
	k.granted += c.amount
	k.nextExpiry = min(k.nextExpiry, c.countsUntil)
}

func (k *budgetLedger) remove(from grantID) {
	if c := k.grants[from]; c != nil {
		k.granted -= c.amount
		delete(k.grants, from)
	}
}

// grantable is what the bursar may give of a whole.
func (b *coordinator) grantable(k *budgetLedger) microUnits {
	return microUnits(k.total * (1 - b.FixedFraction) * 1e6)
}

// ledgerFor gives the book of a budget as one who asks tells it. wonAt is since when this office lasts: what an earlier bursar gave, and
// what is not in the books, has ended a lease later, or where it yielded within a lease, and counts for a rest more.
func (b *coordinator) ledgerFor(now, wonAt float64, i *Item) *budgetLedger {
	k := b.getOrCreateLedger(now, i)
	k.lastUsedAt = now
	k.countedFor = max(k.countedFor, i.CountedFor)
	b.updateOpensAt(k, wonAt)
	// The least that anybody tells holds; a higher one only once nobody has told the lower for a rest.
	if now > k.nextTotalSince+max(k.countedFor, b.Lease) {
		k.total, k.nextTotal, k.nextTotalSince = k.nextTotal, i.Total, now
	}
	k.nextTotal = min(k.nextTotal, i.Total)
	k.total = min(k.total, i.Total)
	return k
}

// processItems takes what one asks for, and gives what can be answered at once, the books that somebody waits for or that have more room,
// and what counts for less now.
func (b *coordinator) processItems(now, wonAt float64, from ID, at string, items []Item) (answers []Item, moved []*budgetLedger, less []Item) {
	for _, i := range items {
		of := grantID{from, i.Number}
		if i.Done { // it tells no whole, and a book that is not there has nothing of it
			answers = append(answers, Item{Number: i.Number, Key: i.Key, Amount: i.Amount, Done: true})
			k := b.ledgers[i.Key]
			if k == nil {
				continue
			}
			held := Kinds[i.Key.Kind].Held
			if c := k.grants[of]; c != nil && (held || !c.done) {
				until := min(c.countsUntil, now+b.padForDrift(k.countedFor+b.SendTimeout))
				if held { // it is out until told otherwise, or for as long as it may be
					until = c.countsUntil
				}
				used := min(c.amount, toMicroUnits(i.Amount))
				if used > 0 {
					k.add(of, &issuedGrant{amount: used, countsUntil: until, done: true})
				} else {
					k.remove(of)
				}
				moved = append(moved, k)
				less = append(less, Item{Key: i.Key, Holder: from, Number: i.Number, Amount: float64(used) / 1e6, Total: k.total, CountedFor: k.countedFor, Lease: max(until-now, 0)})
			}
			k.queue = slices.DeleteFunc(k.queue, func(w *queuedRequest) bool { return w.grantID == of })
			continue
		}
		k := b.ledgerFor(now, wonAt, &i)
		k.dropExpired(now)
		c := k.grants[of]
		switch {
		case c != nil: // the answer was lost; the lease runs from the asking that was answered
			if c.recovered { // of the bursar before: his answer is not to be waited for, and the holder says so by giving it back
				answers = append(answers, Item{Number: i.Number, Attempt: i.Attempt, Key: i.Key, Amount: float64(c.amount) / 1e6})
			} else if !c.done && !c.unreplicated {
				answers = append(answers, Item{Number: i.Number, Attempt: c.attempt, Key: i.Key, Amount: float64(c.amount) / 1e6, Lease: c.lease})
			}
		case toMicroUnits(i.Amount) > b.grantable(k):
			answers = append(answers, Item{Number: i.Number, Attempt: i.Attempt, Key: i.Key, TooLarge: true})
		default:
			n := slices.IndexFunc(k.queue, func(w *queuedRequest) bool { return w.grantID == of })
			if n >= 0 {
				k.queue[n].item, k.queue[n].lastReceivedAt = i, now
			} else if len(k.queue) < b.MaxQueued {
				k.queue = append(k.queue, &queuedRequest{of, i, at, now, now})
			}
			moved = append(moved, k)
		}
	}
	return answers, moved, less
}

// serveQueue gives what there is room for, the smallest first, as batches leave: who waits for much is passed by only as long as it
// has not waited for some windows.
func (b *coordinator) serveQueue(now, office float64, k *budgetLedger) (out []OutgoingMessage) {
	k.dropExpired(now)
	reply := func(w *queuedRequest, i Item) {
		i.Number, i.Attempt, i.Key, i.Holder = w.Number, w.item.Attempt, k.key, w.ID
		out = append(out, OutgoingMessage{w.replyTo, Message{Kind: GrantReply, ToStart: w.Start, Items: []Item{i}}})
	}
	k.queue = slices.DeleteFunc(k.queue, func(w *queuedRequest) bool { return now > w.lastReceivedAt+4*b.RetryInterval })
	lease := min(b.Lease, (office-now)/(1+2*b.MaxDrift))
	if b.recovery != nil || now < k.opensAt || lease < b.Lease/10 {
		return nil
	}
	free := b.grantable(k) - k.granted
	aged := func(w *queuedRequest) bool { return now > w.queuedAt+agingWindows*k.countedFor }
	slices.SortStableFunc(k.queue, func(x, y *queuedRequest) int {
		if ax, ay := aged(x), aged(y); ax || ay {
			return cmp.Or(-cmp.Compare(boolToInt(ax), boolToInt(ay)), cmp.Compare(x.queuedAt, y.queuedAt))
		}
		return cmp.Compare(x.item.Amount, y.item.Amount)
	})
	for n := 0; n < len(k.queue); {
		w := k.queue[n]
		amount := toMicroUnits(w.item.Amount)
		if amount > b.grantable(k) { // the whole has become less
			reply(w, Item{TooLarge: true})
			k.queue = slices.Delete(k.queue, n, n+1)
			continue
		}
		if amount > free {
			if aged(w) { // nothing goes past it any more
				break
			}
			n++
			continue
		}
		free -= amount
		k.add(w.grantID, &issuedGrant{amount: amount, countsUntil: now + b.padForDrift(lease+k.countedFor), lease: lease, attempt: w.item.Attempt})
		reply(w, Item{Amount: float64(amount) / 1e6, Lease: lease})
		k.queue = slices.Delete(k.queue, n, n+1)
	}
	return out
}

const agingWindows = 2 // windows

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// nextServeAt is when something that waits may find room.
func (b *coordinator) nextServeAt(now float64) float64 {
	at := math.Inf(1)
	for _, p := range b.pending {
		at = min(at, p.resendAt)
	}
	if b.recovery != nil {
		return min(at, b.recovery.resendAt)
	}
	for _, k := range b.ledgers {
		if len(k.queue) == 0 {
			continue
		}
		if now < k.opensAt {
			at = min(at, k.opensAt)
			continue
		}
		at = min(at, k.nextExpiry, now+b.RetryInterval) // who no longer asks goes
	}
	return at
}

// sortedLedgers gives the books in one order.
func (b *coordinator) sortedLedgers() []*budgetLedger {
	out := make([]*budgetLedger, 0, len(b.ledgers))
	for _, k := range b.ledgers {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *budgetLedger) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Qualifier, b.Qualifier))
}
