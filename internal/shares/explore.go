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
	if k := m.replica; k != nil {
		p("%.4g %v %s %d %.4g %d %.4g %.4g %.4g %v %.4g|", t(k.silentUntil), k.promisedTo, k.promisedAddress, k.promisedClaim, t(k.promisedUntil), k.lastClaimNumber, t(k.leadershipEnds), t(k.nextClaimAt), t(k.leaderSince), k.previousPromise, t(k.claimAfter))
		for _, c := range k.claims {
			p("%d %.4g %v %v %v|", c.number, t(c.sentAt), c.promisedBy, c.refusedBy, c.previousPromises)
		}
		if h := k.handover; h != nil {
			p("%v %.4g %v|", h.by, t(h.receivedAt), h.items)
		}
		p("%.4g %v|", t(k.completeSince), k.currentRecords(m.now))
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
	for _, b := range m.coordinator.sortedLedgers() {
		p("%v %.4g %.4g %.4g %.4g %.4g %d|", b.key, b.total, b.nextTotal, t(b.nextTotalSince), b.countedFor, t(b.opensAt), b.granted)
		for _, of := range slices.SortedFunc(maps.Keys(b.grants), compareGrantIDs) {
			c := b.grants[of]
			p("%v %d %.4g %.4g %d %v %v %v|", of, c.amount, t(c.countsUntil), c.lease, c.attempt, c.done, c.unreplicated, c.recovered)
		}
		for _, w := range b.queue {
			p("%v %v %s %.4g %.4g|", w.grantID, w.item, w.replyTo, t(w.queuedAt), t(w.lastReceivedAt))
		}
	}
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		p("%v %.4g %.4g %.4g %.4g %.4g %.4g|", key, b.demandSum, b.largestDemand, t(b.lastDemandAt), t(b.tooLargeUntil), b.tooLargeAmount, t(b.unmetSince))
		for _, g := range b.grants {
			p("%d %.4g %.4g %.4g %v|", g.number, g.remaining, g.used, t(g.expiresAt), g.closed)
		}
		for _, u := range b.fixedUses {
			p("%.4g %.4g|", t(u.at), u.amount)
		}
		if a := b.request; a != nil {
			p("%v %.4g|", a.item, t(a.nextSendAt))
			for _, try := range slices.Sorted(maps.Keys(a.sentAt)) {
				p("%d %.4g|", try, t(a.sentAt[try]))
			}
		}
	}
	for _, d := range m.unackedReturns {
		p("%v %.4g %.4g|", d.item, t(d.resendAt), t(d.expiresAt))
	}
}

// Available is what this router may still use of a budget without asking, but for its firm part.
func (m *Machine) Available(now float64, of Key) float64 {
	if b := m.budgets[of]; b != nil {
		return b.available(max(m.now, now))
	}
	return 0
}

func compareGrantIDs(a, b grantID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Number, b.Number))
}
