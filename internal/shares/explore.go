package shares

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes all state that the machine's further behaviour depends on, with times relative to now, for internal/explore: two
// machines that write the same text behave the same. Statistics are left out.
func (m *Machine) Print(out io.Writer) {
	relative := func(at float64) float64 {
		if at == 0 || at > m.now+1e6 {
			return at
		}
		return max(at-m.now, -100)
	}
	print := func(format string, args ...any) { fmt.Fprintf(out, format, args...) }
	print("%v %v %.4g %v %.4g %.4g %s %.4g %d %d|", m.self, m.coldStartFixed.sharePerCore, relative(m.nextLedgerCleanup), m.demandPending, relative(m.nextRequestAt), relative(m.nextCleanup), m.coordinatorAddress, relative(m.unansweredSince), m.nextReplica, m.redirects)
	if replica := m.replica; replica != nil {
		print("%.4g %v %s %d %.4g %d %.4g %.4g %.4g %v %.4g|", relative(replica.silentUntil), replica.promisedTo, replica.promisedAddress, replica.promisedClaim, relative(replica.promisedUntil), replica.lastClaimNumber, relative(replica.leadershipEnds), relative(replica.nextClaimAt), relative(replica.leaderSince), replica.previousPromise, relative(replica.claimAfter))
		for _, c := range replica.claims {
			print("%d %.4g %v %v %v|", c.number, relative(c.sentAt), c.promisedBy, c.refusedBy, c.previousPromises)
		}
		if handover := replica.handover; handover != nil {
			print("%v %.4g %v|", handover.by, relative(handover.receivedAt), handover.items)
		}
		print("%.4g %v|", relative(replica.completeSince), replica.currentRecords(m.now))
	}
	print("%.4g %d|", m.coordinator.recordsCompleteFor, m.coordinator.lastNumber)
	if handover := m.coordinator.handover; handover != nil {
		print("%v %.4g %v|", handover.by, relative(handover.receivedAt), handover.items)
	}
	if recovery := m.coordinator.recovery; recovery != nil {
		print("%d %.4g|", recovery.number, relative(recovery.resendAt))
		for _, at := range slices.Sorted(maps.Keys(recovery.pages)) {
			print("%s %v|", at, *recovery.pages[at])
		}
	}
	for _, pending := range m.coordinator.pending {
		print("%d %v %v %.4g|", pending.number, pending.records, pending.acknowledgedBy, relative(pending.resendAt))
	}
	for _, ledger := range m.coordinator.sortedLedgers() {
		print("%v %.4g %.4g %.4g %.4g %.4g %d|", ledger.key, ledger.total, ledger.nextTotal, relative(ledger.nextTotalSince), ledger.countedFor, relative(ledger.opensAt), ledger.granted)
		for _, id := range slices.SortedFunc(maps.Keys(ledger.grants), compareGrantIDs) {
			issued := ledger.grants[id]
			print("%v %d %.4g %.4g %d %v %v %v|", id, issued.amount, relative(issued.countsUntil), issued.lease, issued.attempt, issued.done, issued.unreplicated, issued.recovered)
		}
		for _, queued := range ledger.queue {
			print("%v %v %s %.4g %.4g|", queued.grantID, queued.item, queued.replyTo, relative(queued.queuedAt), relative(queued.lastReceivedAt))
		}
	}
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		print("%v %.4g %.4g %.4g %.4g %.4g %.4g|", key, budget.demandSum, budget.largestDemand, relative(budget.lastDemandAt), relative(budget.tooLargeUntil), budget.tooLargeAmount, relative(budget.unmetSince))
		for _, grant := range budget.grants {
			print("%d %.4g %.4g %.4g %v|", grant.number, grant.remaining, grant.used, relative(grant.expiresAt), grant.closed)
		}
		for _, u := range budget.fixedUses {
			print("%.4g %.4g|", relative(u.at), u.amount)
		}
		if request := budget.request; request != nil {
			print("%v %.4g|", request.item, relative(request.nextSendAt))
			for _, attempt := range slices.Sorted(maps.Keys(request.sentAt)) {
				print("%d %.4g|", attempt, relative(request.sentAt[attempt]))
			}
		}
	}
	for _, done := range m.unackedReturns {
		print("%v %.4g %.4g|", done.item, relative(done.resendAt), relative(done.expiresAt))
	}
}

// Available returns what this router may still spend of its grants of a budget, without its fixed share.
func (m *Machine) Available(now float64, key Key) float64 {
	if budget := m.budgets[key]; budget != nil {
		return budget.available(max(m.now, now))
	}
	return 0
}

func compareGrantIDs(a, b grantID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Number, b.Number))
}
