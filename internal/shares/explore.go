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
	p("%v %v %.4g %v %.4g %.4g %s %.4g %d %d|", m.self, m.firm.part, t(m.tidyAt), m.wanted, t(m.askAt), t(m.forget), m.at, t(m.sentAt), m.turn, m.hops)
	if k := m.keeper; k != nil {
		p("%.4g %v %s %d %.4g %d %.4g %.4g %.4g %v %.4g|", t(k.quiet), k.to, k.toAt, k.claim, t(k.until), k.number, t(k.mine), t(k.tryAt), t(k.wonAt), k.prior, t(k.first))
		for _, c := range k.claims {
			p("%d %.4g %v %v %v|", c.number, t(c.sent), c.by, c.not, c.prior)
		}
		if h := k.handed; h != nil {
			p("%v %.4g %v|", h.by, t(h.at), h.items)
		}
		p("%.4g %v|", t(k.knows), k.known(m.now))
	}
	p("%.4g %d|", m.bursar.up, m.bursar.numbers)
	if h := m.bursar.handed; h != nil {
		p("%v %.4g %v|", h.by, t(h.at), h.items)
	}
	if r := m.bursar.recall; r != nil {
		p("%d %.4g|", r.number, t(r.again))
		for _, at := range slices.Sorted(maps.Keys(r.from)) {
			p("%s %v|", at, *r.from[at])
		}
	}
	for _, w := range m.bursar.parked {
		p("%d %v %v %.4g|", w.number, w.items, w.by, t(w.again))
	}
	for _, b := range m.bursar.inOrder() {
		p("%v %.4g %.4g %.4g %.4g %.4g %d|", b.key, b.whole, b.next, t(b.nextAt), b.rest, t(b.openAt), b.sum)
		for _, of := range slices.SortedFunc(maps.Keys(b.given), compareHolders) {
			c := b.given[of]
			p("%v %d %.4g %.4g %d %v %v %v|", of, c.amount, t(c.until), c.lease, c.try, c.done, c.parked, c.recalled)
		}
		for _, w := range b.waiting {
			p("%v %v %s %.4g %.4g|", w.holder, w.item, w.to, t(w.since), t(w.heard))
		}
	}
	for _, key := range m.keys() {
		b := m.budgets[key]
		p("%v %.4g %.4g %.4g %.4g %.4g %.4g|", key, b.wantSum, b.wantMost, t(b.wantAt), t(b.neverAt), b.never, t(b.unmetAt))
		for _, g := range b.credits {
			p("%d %.4g %.4g %.4g %v|", g.number, g.left, g.used, t(g.until), g.closed)
		}
		for _, u := range b.firm {
			p("%.4g %.4g|", t(u.at), u.work)
		}
		if a := b.asking; a != nil {
			p("%v %.4g|", a.item, t(a.next))
			for _, try := range slices.Sorted(maps.Keys(a.sent)) {
				p("%d %.4g|", try, t(a.sent[try]))
			}
		}
	}
	for _, d := range m.tell {
		p("%v %.4g %.4g|", d.item, t(d.again), t(d.until))
	}
}

// InHand is what this router may still use of a budget without asking, but for its firm part.
func (m *Machine) InHand(now float64, of Key) float64 {
	if b := m.budgets[of]; b != nil {
		return b.left(max(m.now, now))
	}
	return 0
}

func compareHolders(a, b holder) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Number, b.Number))
}
