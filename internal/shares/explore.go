package shares

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes all that the machine's further behaviour depends on, times as they lie from now, so that two machines that write the
// same behave the same. Counts for who looks on are left out.
func (m *Machine) Print(out io.Writer) {
	t := func(at float64) float64 {
		if at == 0 || at > m.now+1e6 {
			return at
		}
		return max(at-m.now, -100)
	}
	p := func(format string, args ...any) { fmt.Fprintf(out, format, args...) }
	p("%v %v %.4g %v %.4g %.4g %s %.4g %d %d|", m.self, m.coldStartFixed.sharePerCore, t(m.nextLedgerCleanup), m.demandPending, t(m.nextRequestAt), t(m.nextCleanup), m.coordinatorAddress, t(m.unansweredSince), m.nextReplica, m.redirects)
	if replica := m.replica; replica != nil {
		p("%.4g %v %s %d %.4g %d %.4g %.4g %.4g %v %.4g|", t(replica.silentUntil), replica.promisedTo, replica.promisedAddress, replica.promisedClaim, t(replica.promisedUntil), replica.lastClaimNumber, t(replica.leadershipEnds), t(replica.nextClaimAt), t(replica.leaderSince), replica.previousPromise, t(replica.claimAfter))
		for _, c := range replica.claims {
			p("%d %.4g %v %v %v|", c.number, t(c.sentAt), c.promisedBy, c.refusedBy, c.previousPromises)
		}
		if h := replica.handover; h != nil {
			p("%v %.4g %v|", h.by, t(h.receivedAt), h.items)
		}
		p("%.4g %v|", t(replica.completeSince), replica.currentRecords(m.now))
	}
	p("%.4g %d|", m.coordinator.recordsCompleteFor, m.coordinator.lastNumber)
	if h := m.coordinator.handover; h != nil {
		p("%v %.4g %v|", h.by, t(h.receivedAt), h.items)
	}
	if r := m.coordinator.recovery; r != nil {
		p("%d %.4g|", r.number, t(r.resendAt))
		for _, at := range slices.Sorted(maps.Keys(r.pages)) {
			p("%s %v|", at, *r.pages[at])
		}
	}
	for _, w := range m.coordinator.pending {
		p("%d %v %v %.4g|", w.number, w.records, w.acknowledgedBy, t(w.resendAt))
	}
	for _, ledger := range m.coordinator.sortedLedgers() {
		p("%v %.4g %.4g %.4g %.4g %.4g %d|", ledger.key, ledger.total, ledger.nextTotal, t(ledger.nextTotalSince), ledger.countedFor, t(ledger.opensAt), ledger.granted)
		for _, id := range slices.SortedFunc(maps.Keys(ledger.grants), compareHolders) {
			issued := ledger.grants[id]
			p("%v %d %.4g %.4g %d %v %v %v|", id, issued.amount, t(issued.countsUntil), issued.lease, issued.attempt, issued.done, issued.unreplicated, issued.recovered)
		}
		for _, queued := range ledger.queue {
			p("%v %v %s %.4g %.4g|", queued.grantID, queued.item, queued.replyTo, t(queued.queuedAt), t(queued.lastReceivedAt))
		}
	}
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		p("%v %.4g %.4g %.4g %.4g %.4g %.4g|", key, budget.demandSum, budget.largestDemand, t(budget.lastDemandAt), t(budget.tooLargeUntil), budget.tooLargeAmount, t(budget.unmetSince))
		for _, grant := range budget.grants {
			p("%d %.4g %.4g %.4g %v|", grant.number, grant.remaining, grant.used, t(grant.expiresAt), grant.closed)
		}
		for _, u := range budget.fixedUses {
			p("%.4g %.4g|", t(u.at), u.amount)
		}
		if request := budget.request; request != nil {
			p("%v %.4g|", request.item, t(request.nextSendAt))
			for _, try := range slices.Sorted(maps.Keys(request.sentAt)) {
				p("%d %.4g|", try, t(request.sentAt[try]))
			}
		}
	}
	for _, d := range m.unackedReturns {
		p("%v %.4g %.4g|", d.item, t(d.resendAt), t(d.expiresAt))
	}
}

// Available is what this router may still use of a budget without asking, but for its firm part.
func (m *Machine) Available(now float64, of Key) float64 {
	if budget := m.budgets[of]; budget != nil {
		return budget.available(max(m.now, now))
	}
	return 0
}

func compareHolders(a, b grantID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Number, b.Number))
}
