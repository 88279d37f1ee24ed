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
func (c *coordinator) getOrCreateLedger(now float64, item *Item) *budgetLedger {
	ledger := c.ledgers[item.Key]
	if ledger == nil {
		ledger = &budgetLedger{key: item.Key, total: item.Total, nextTotal: item.Total, nextTotalSince: now, grants: map[grantID]*issuedGrant{}, nextExpiry: math.Inf(1), lastUsedAt: now}
		c.ledgers[item.Key] = ledger
	}
	return ledger
}

// handoverItems gives all that still counts, where one message holds it.
func (c *coordinator) handoverItems(now float64) (items []Item, all bool) {
	for _, ledger := range c.sortedLedgers() {
		if ledger.dropExpired(now); ledger.granted == 0 {
			continue
		}
		last := now
		for _, issued := range ledger.grants {
			last = max(last, issued.countsUntil)
		}
		items = append(items, Item{Key: ledger.key, Amount: float64(ledger.granted) / 1e6, Total: ledger.total, CountedFor: last - now, Lease: ledger.countedFor})
	}
	return items, len(items) <= maxItemsPerMessage
}

// removeIdleLedgers drops books of which nothing counts any more.
func (c *coordinator) removeIdleLedgers(now float64) {
	for key, ledger := range c.ledgers {
		ledger.dropExpired(now)
		if len(ledger.grants) == 0 && len(ledger.queue) == 0 && now > ledger.lastUsedAt+max(4*ledger.countedFor, 10) && now > ledger.opensAt {
			delete(c.ledgers, key)
		}
	}
}

// dropExpired forgets what no longer counts.
func (l *budgetLedger) dropExpired(now float64) {
	if now < l.nextExpiry {
		return
	}
	l.nextExpiry = math.Inf(1)
	for id, issued := range l.grants {
		if now >= issued.countsUntil {
			l.remove(id)
		} else {
			l.nextExpiry = min(l.nextExpiry, issued.countsUntil)
		}
	}
}

// add and take are all that changes the sum.
func (l *budgetLedger) add(to grantID, issued *issuedGrant) {
	l.remove(to)
	l.grants[to] = issued
	l.granted += issued.amount
	l.nextExpiry = min(l.nextExpiry, issued.countsUntil)
}

func (l *budgetLedger) remove(from grantID) {
	if issued := l.grants[from]; issued != nil {
		l.granted -= issued.amount
		delete(l.grants, from)
	}
}

// grantable is what the bursar may give of a whole.
func (c *coordinator) grantable(ledger *budgetLedger) microUnits {
	return microUnits(ledger.total * (1 - c.FixedFraction) * 1e6)
}

// ledgerFor gives the book of a budget as one who asks tells it. wonAt is since when this office lasts: what an earlier bursar gave, and
// what is not in the books, has ended a lease later, or where it yielded within a lease, and counts for a rest more.
func (c *coordinator) ledgerFor(now, leaderSince float64, item *Item) *budgetLedger {
	ledger := c.getOrCreateLedger(now, item)
	ledger.lastUsedAt = now
	ledger.countedFor = max(ledger.countedFor, item.CountedFor)
	c.updateOpensAt(ledger, leaderSince)
	// The least that anybody tells holds; a higher one only once nobody has told the lower for a rest.
	if now > ledger.nextTotalSince+max(ledger.countedFor, c.Lease) {
		ledger.total, ledger.nextTotal, ledger.nextTotalSince = ledger.nextTotal, item.Total, now
	}
	ledger.nextTotal = min(ledger.nextTotal, item.Total)
	ledger.total = min(ledger.total, item.Total)
	return ledger
}

// processItems takes what one asks for, and gives what can be answered at once, the books that somebody waits for or that have more room,
// and what counts for less now.
func (c *coordinator) processItems(now, leaderSince float64, from ID, at string, items []Item) (answers []Item, changed []*budgetLedger, reductions []Item) {
	for _, item := range items {
		id := grantID{from, item.Number}
		if item.Done { // it tells no whole, and a book that is not there has nothing of it
			answers = append(answers, Item{Number: item.Number, Key: item.Key, Amount: item.Amount, Done: true})
			ledger := c.ledgers[item.Key]
			if ledger == nil {
				continue
			}
			held := Kinds[item.Key.Kind].Held
			if issued := ledger.grants[id]; issued != nil && (held || !issued.done) {
				until := min(issued.countsUntil, now+c.padForDrift(ledger.countedFor+c.SendTimeout))
				if held { // it is out until told otherwise, or for as long as it may be
					until = issued.countsUntil
				}
				used := min(issued.amount, toMicroUnits(item.Amount))
				if used > 0 {
					ledger.add(id, &issuedGrant{amount: used, countsUntil: until, done: true})
				} else {
					ledger.remove(id)
				}
				changed = append(changed, ledger)
				reductions = append(reductions, Item{Key: item.Key, Holder: from, Number: item.Number, Amount: float64(used) / 1e6, Total: ledger.total, CountedFor: ledger.countedFor, Lease: max(until-now, 0)})
			}
			ledger.queue = slices.DeleteFunc(ledger.queue, func(queued *queuedRequest) bool { return queued.grantID == id })
			continue
		}
		ledger := c.ledgerFor(now, leaderSince, &item)
		ledger.dropExpired(now)
		issued := ledger.grants[id]
		switch {
		case issued != nil: // the answer was lost; the lease runs from the asking that was answered
			if issued.recovered { // of the bursar before: his answer is not to be waited for, and the holder says so by giving it back
				answers = append(answers, Item{Number: item.Number, Attempt: item.Attempt, Key: item.Key, Amount: float64(issued.amount) / 1e6})
			} else if !issued.done && !issued.unreplicated {
				answers = append(answers, Item{Number: item.Number, Attempt: issued.attempt, Key: item.Key, Amount: float64(issued.amount) / 1e6, Lease: issued.lease})
			}
		case toMicroUnits(item.Amount) > c.grantable(ledger):
			answers = append(answers, Item{Number: item.Number, Attempt: item.Attempt, Key: item.Key, TooLarge: true})
		default:
			n := slices.IndexFunc(ledger.queue, func(queued *queuedRequest) bool { return queued.grantID == id })
			if n >= 0 {
				ledger.queue[n].item, ledger.queue[n].lastReceivedAt = item, now
			} else if len(ledger.queue) < c.MaxQueued {
				ledger.queue = append(ledger.queue, &queuedRequest{id, item, at, now, now})
			}
			changed = append(changed, ledger)
		}
	}
	return answers, changed, reductions
}

// serveQueue gives what there is room for, the smallest first, as batches leave: who waits for much is passed by only as long as it
// has not waited for some windows.
func (c *coordinator) serveQueue(now, leadershipEnds float64, ledger *budgetLedger) (out []OutgoingMessage) {
	ledger.dropExpired(now)
	reply := func(queued *queuedRequest, item Item) {
		item.Number, item.Attempt, item.Key, item.Holder = queued.Number, queued.item.Attempt, ledger.key, queued.ID
		out = append(out, OutgoingMessage{queued.replyTo, Message{Kind: GrantReply, ToStart: queued.Start, Items: []Item{item}}})
	}
	ledger.queue = slices.DeleteFunc(ledger.queue, func(queued *queuedRequest) bool { return now > queued.lastReceivedAt+4*c.RetryInterval })
	lease := min(c.Lease, (leadershipEnds-now)/(1+2*c.MaxDrift))
	if c.recovery != nil || now < ledger.opensAt || lease < c.Lease/10 {
		return nil
	}
	free := c.grantable(ledger) - ledger.granted
	aged := func(queued *queuedRequest) bool { return now > queued.queuedAt+agingWindows*ledger.countedFor }
	slices.SortStableFunc(ledger.queue, func(x, y *queuedRequest) int {
		if ax, ay := aged(x), aged(y); ax || ay {
			return cmp.Or(-cmp.Compare(boolToInt(ax), boolToInt(ay)), cmp.Compare(x.queuedAt, y.queuedAt))
		}
		return cmp.Compare(x.item.Amount, y.item.Amount)
	})
	for n := 0; n < len(ledger.queue); {
		queued := ledger.queue[n]
		amount := toMicroUnits(queued.item.Amount)
		if amount > c.grantable(ledger) { // the whole has become less
			reply(queued, Item{TooLarge: true})
			ledger.queue = slices.Delete(ledger.queue, n, n+1)
			continue
		}
		if amount > free {
			if aged(queued) { // nothing goes past it any more
				break
			}
			n++
			continue
		}
		free -= amount
		ledger.add(queued.grantID, &issuedGrant{amount: amount, countsUntil: now + c.padForDrift(lease+ledger.countedFor), lease: lease, attempt: queued.item.Attempt})
		reply(queued, Item{Amount: float64(amount) / 1e6, Lease: lease})
		ledger.queue = slices.Delete(ledger.queue, n, n+1)
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
func (c *coordinator) nextServeAt(now float64) float64 {
	at := math.Inf(1)
	for _, p := range c.pending {
		at = min(at, p.resendAt)
	}
	if c.recovery != nil {
		return min(at, c.recovery.resendAt)
	}
	for _, ledger := range c.ledgers {
		if len(ledger.queue) == 0 {
			continue
		}
		if now < ledger.opensAt {
			at = min(at, ledger.opensAt)
			continue
		}
		at = min(at, ledger.nextExpiry, now+c.RetryInterval) // who no longer asks goes
	}
	return at
}

// sortedLedgers gives the books in one order.
func (c *coordinator) sortedLedgers() []*budgetLedger {
	out := make([]*budgetLedger, 0, len(c.ledgers))
	for _, ledger := range c.ledgers {
		out = append(out, ledger)
	}
	slices.SortFunc(out, func(a, ledger *budgetLedger) int { return compareKeys(a.key, ledger.key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Qualifier, b.Qualifier))
}
