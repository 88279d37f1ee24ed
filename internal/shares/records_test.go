package shares

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// trio are three routers, all keepers, and what is on its way between them.
type trio struct {
	t      *testing.T
	now    float64
	starts uint64
	all    [3]*Machine
	flight []Send
	lost   func(s Send) bool // nil: nothing is
}

func newTrio(t *testing.T) *trio {
	w := &trio{t: t, now: 1000}
	for i := range w.all {
		w.start(i)
	}
	w.pass(4)
	return w
}

func (w *trio) at(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (w *trio) start(i int) {
	s := Defaults()
	s.Firm, s.Listen, s.Keepers = 0, w.at(i), []string{w.at(0), w.at(1), w.at(2)}
	w.starts++
	w.all[i] = New(s, ID{fmt.Sprint("n", i), w.starts}, Fixed{Whole: 4, Window: 1, Routers: 3, Sharers: 16}, w.now)
}

// pass lets time go by, and brings what is sent.
func (w *trio) pass(seconds float64) {
	for end := w.now + seconds; w.now < end; w.now += 0.005 {
		for _, m := range w.all {
			if m != nil && (m.Wanted() || m.At() <= w.now) {
				m.Wake(w.now)
			}
		}
		w.deliver()
	}
}

func (w *trio) deliver() {
	for round := 0; round < 20; round++ {
		var sends []Send
		for _, m := range w.all {
			if m != nil {
				sends = append(sends, m.Sends()...)
			}
		}
		for _, s := range sends {
			for i, m := range w.all {
				if m != nil && s.To == w.at(i) && (w.lost == nil || !w.lost(s)) {
					message := s.Message
					m.Heard(w.now, &message)
				}
			}
		}
	}
}

func (w *trio) bursar() int {
	for i, m := range w.all {
		if m != nil && m.keeper.office(w.now) {
			return i
		}
	}
	return -1
}

// purse of what may be out: four, each for up to thirty seconds.
func (w *trio) purse(i int) *Purse {
	return w.all[i].Purse(Budget{Key: NamedKey(Concurrency, "c"), Whole: 4, Rest: 30})
}

// take has a router ask for one and use it, within half a second.
func (w *trio) take(i int) bool {
	p := w.purse(i)
	for end := w.now + 0.5; w.now < end; w.pass(0.02) {
		if p.CanSpend(w.now, 1) {
			p.Spend(w.now, 1)
			return true
		}
		p.Request(w.now, 1)
	}
	return false
}

// After a start nothing is given for as long as something may be out of which nobody knows; later a bursar's death costs an election.
func TestTheNextBursarGoesOnWithWhatMostKeepersKnow(t *testing.T) {
	w := newTrio(t)
	first := w.bursar()
	require.GreaterOrEqual(t, first, 0)
	assert.False(t, w.take(0), "a start before this one may have let something out")
	w.pass(40)
	first = w.bursar()
	a, b := (first+1)%3, (first+2)%3
	require.True(t, w.take(a))
	require.True(t, w.take(a))
	require.True(t, w.take(b))
	w.pass(1.5)
	w.all[first] = nil
	w.pass(4)
	next := w.bursar()
	require.Contains(t, []int{a, b}, next)
	assert.True(t, w.take(b), "three are out, and the fourth is given")
	assert.False(t, w.take(a), "four are out")
	w.purse(a).Release(w.now, 1)
	w.pass(0.1)
	assert.True(t, w.take(b), "what was given by the one before is freed at the next")
	assert.False(t, w.take(a))
}

func TestWhatKeepersMayHaveForgottenIsWaitedFor(t *testing.T) {
	w := newTrio(t)
	w.pass(40)
	first := w.bursar()
	a, b := (first+1)%3, (first+2)%3
	for range 4 {
		require.True(t, w.take(a))
	}
	w.start(b) // it has forgotten
	w.pass(3)
	w.all[first] = nil
	w.start(a) // and so has the one who has them out: its dispatches go on at engines
	w.pass(6)
	require.GreaterOrEqual(t, w.bursar(), 0)
	assert.False(t, w.take(b))
	w.pass(36)
	assert.True(t, w.take(b), "by now all of it must have ended")
}

func TestNothingIsGivenThatMostKeepersDoNotKnow(t *testing.T) {
	w := newTrio(t)
	w.pass(40)
	first := w.bursar()
	w.lost = func(s Send) bool { return s.Kind == Record }
	assert.False(t, w.take((first+1)%3))
	w.lost = nil
	assert.True(t, w.take((first+1)%3))
}
