package shares

import (
	"cmp"
	"math"
	"slices"
)

// budgetLedger is the coordinator's account of one budget. The amount of a grant is taken off the budget until the grant's lease has
// ended and a further countedFor seconds have passed, on the slowest clock of the fleet: until then, work that was started under the
// grant may still load what the budget protects. Once a grant was reported as done, only the used amount is taken off,
// for at most countedFor seconds and the send timeout from the report on. Amounts of a held kind (in use until their release is
// reported) keep the grant's own end.
type budgetLedger struct {
	key            Key
	total          float64 // least total that a router stated while this one applies; see ledgerFor
	nextTotal      float64 // least total stated since nextTotalSince; replaces total when that is old
	nextTotalSince float64
	countedFor     float64 // seconds for which a use counts
	opensAt        float64 // no grants are issued before this time: grants of earlier coordinators that are not recorded here may still count
	grants         map[grantID]*issuedGrant
	granted        microUnits       // sum of the amounts in grants
	nextExpiry     float64          // no grant expires before
	queue          []*queuedRequest // in order of arrival until serveQueue sorts it
	lastUsedAt     float64
}

// microUnits are millionths of a unit, in integers: millions of additions and subtractions must not accumulate rounding errors.
type microUnits int64

// toMicroUnits rounds up, so that no amount counts for less than it is.
func toMicroUnits(amount float64) microUnits {
	return microUnits(math.Ceil(min(max(amount, 0), 1e12) * 1e6))
}

// grantID identifies a grant: the start of the router that requested it, and that router's number for it.
type grantID struct {
	ID
	Number uint64
}

// issuedGrant is a grant as the coordinator accounts for it.
type issuedGrant struct {
	amount       microUnits
	countsUntil  float64
	lease        float64 // seconds from the request on
	attempt      uint32  // attempt of the request that was answered
	done         bool    // its holder spends nothing more of it
	unreplicated bool    // a majority of the replicas has not recorded it yet, so it must not be sent
	recovered    bool    // issued by an earlier coordinator
}

// queuedRequest is a request that waits until the budget can cover it.
type queuedRequest struct {
	grantID
	item           Item
	replyTo        string
	queuedAt       float64
	lastReceivedAt float64 // when its latest attempt arrived
}

// coordinator issues the grants while its router is elected.
type coordinator struct {
	*Settings
	ledgers            map[Key]*budgetLedger // removeIdleLedgers deletes
	handover           *handover             // from the previous coordinator, if it left cleanly; nil: none
	recovery           *recovery             // of the records of the replicas; nil: it is over, and grants may be issued
	recordsCompleteFor float64               // least CompleteFor of the replicas whose records were recovered, seconds
	pending            []*pendingGrants
	lastNumber         uint64 // of messages to replicas
}

// getOrCreateLedger returns the ledger of a budget.
func (c *coordinator) getOrCreateLedger(now float64, item *Item) *budgetLedger {
	ledger := c.ledgers[item.Key]
	if ledger == nil {
		ledger = &budgetLedger{key: item.Key, total: item.Total, nextTotal: item.Total, nextTotalSince: now, grants: map[grantID]*issuedGrant{}, nextExpiry: math.Inf(1), lastUsedAt: now}
		c.ledgers[item.Key] = ledger
	}
	return ledger
}

// handoverItems returns one item for each budget of which something still counts, and whether one message can hold them all.
func (c *coordinator) handoverItems(now float64) (items []Item, complete bool) {
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

// removeIdleLedgers deletes ledgers that have not been used for a while and of which nothing counts any more.
func (c *coordinator) removeIdleLedgers(now float64) {
	for key, ledger := range c.ledgers {
		ledger.dropExpired(now)
		if len(ledger.grants) == 0 && len(ledger.queue) == 0 && now > ledger.lastUsedAt+max(4*ledger.countedFor, 10) && now > ledger.opensAt {
			delete(c.ledgers, key)
		}
	}
}

// dropExpired removes the grants that no longer count.
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

// add puts a grant in place of any earlier one under its ID. Only add and remove change granted.
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

// grantable is the part of the total that the coordinator may grant: all but the fixed fraction.
func (c *coordinator) grantable(ledger *budgetLedger) microUnits {
	return microUnits(ledger.total * (1 - c.FixedFraction) * 1e6)
}

// ledgerFor returns the ledger of a budget and updates it with what a requesting router states of the budget. leaderSince is when this
// leadership began. Grants of earlier coordinators that are not in the ledger expire within a lease after that, also where the earlier
// coordinator resigned, and what was done with them counts for countedFor longer.
func (c *coordinator) ledgerFor(now, leaderSince float64, item *Item) *budgetLedger {
	ledger := c.getOrCreateLedger(now, item)
	ledger.lastUsedAt = now
	ledger.countedFor = max(ledger.countedFor, item.CountedFor)
	c.updateOpensAt(ledger, leaderSince)
	// Routers may state different totals. The least one applies, and a higher one only once nobody has stated the lower for countedFor.
	if now > ledger.nextTotalSince+max(ledger.countedFor, c.Lease) {
		ledger.total, ledger.nextTotal, ledger.nextTotalSince = ledger.nextTotal, item.Total, now
	}
	ledger.nextTotal = min(ledger.nextTotal, item.Total)
	ledger.total = min(ledger.total, item.Total)
	return ledger
}

// processItems handles the requests and returns of one message. It returns the items that can be answered at once, the ledgers whose
// queue has to be served because a request was queued or an amount became free, and the records of grants that count for less now.
func (c *coordinator) processItems(now, leaderSince float64, from ID, replyTo string, items []Item) (answers []Item, changed []*budgetLedger, reductions []Item) {
	for _, item := range items {
		id := grantID{from, item.Number}
		if item.Done { // a return states no total; without a ledger nothing is recorded of it
			answers = append(answers, Item{Number: item.Number, Key: item.Key, Amount: item.Amount, Done: true})
			ledger := c.ledgers[item.Key]
			if ledger == nil {
				continue
			}
			held := Kinds[item.Key.Kind].Held
			if issued := ledger.grants[id]; issued != nil && (held || !issued.done) {
				until := min(issued.countsUntil, now+c.padForDrift(ledger.countedFor+c.SendTimeout))
				if held { // in use until its release is reported, or for as long as it may last
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
		case issued != nil: // the answer was lost; the lease runs from the attempt that was answered
			if issued.recovered { // the earlier coordinator's answer will not come; without a lease the router returns the grant
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
				ledger.queue = append(ledger.queue, &queuedRequest{id, item, replyTo, now, now})
			}
			changed = append(changed, ledger)
		}
	}
	return answers, changed, reductions
}

// serveQueue grants the queued requests that the budget covers, smallest first, and returns the replies. Requests that have waited for
// agingWindows come first, in order of arrival, and none is granted ahead of them: so large requests do not starve. leadershipEnds is
// when this leadership ends; no lease outlasts it.
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
		if amount > c.grantable(ledger) { // the total has shrunk
			reply(queued, Item{TooLarge: true})
			ledger.queue = slices.Delete(ledger.queue, n, n+1)
			continue
		}
		if amount > free {
			if aged(queued) { // no later request is granted ahead of it
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

// agingWindows is how long a request waits before it has precedence, as a multiple of the seconds for which a use counts.
const agingWindows = 2

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// nextServeAt returns when serveQueue or resendToReplicas next has something to do; infinity: nothing waits.
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
		at = min(at, ledger.nextExpiry, now+c.RetryInterval) // requests that are no longer repeated are removed
	}
	return at
}

// sortedLedgers returns the ledgers sorted by key, so that the order of messages does not depend on the map.
func (c *coordinator) sortedLedgers() []*budgetLedger {
	out := make([]*budgetLedger, 0, len(c.ledgers))
	for _, ledger := range c.ledgers {
		out = append(out, ledger)
	}
	slices.SortFunc(out, func(x, y *budgetLedger) int { return compareKeys(x.key, y.key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Qualifier, b.Qualifier))
}
