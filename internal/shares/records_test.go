package shares

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cluster are three routers, all keepers, and what is on its way between them.
type cluster struct {
	t        *testing.T
	now      float64
	starts   uint64
	machines [3]*Machine
	inFlight []OutgoingMessage
	drop     func(s OutgoingMessage) bool // nil: nothing is
}

func newCluster(t *testing.T) *cluster {
	w := &cluster{t: t, now: 1000}
	for i := range w.machines {
		w.start(i)
	}
	w.advance(4)
	return w
}

func (w *cluster) address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (w *cluster) start(i int) {
	s := Defaults()
	s.FixedFraction, s.Listen, s.Replicas = 0, w.address(i), []string{w.address(0), w.address(1), w.address(2)}
	w.starts++
	w.machines[i] = New(s, ID{fmt.Sprint("n", i), w.starts}, FixedConfig{Total: 4, Window: 1, Routers: 3, MaxHolders: 16}, w.now)
}

// advance lets time go by, and brings what is sent.
func (w *cluster) advance(seconds float64) {
	for end := w.now + seconds; w.now < end; w.now += 0.005 {
		for _, m := range w.machines {
			if m != nil && (m.DemandPending() || m.NextWake() <= w.now) {
				m.Wake(w.now)
			}
		}
		w.deliver()
	}
}

func (w *cluster) deliver() {
	for round := 0; round < 20; round++ {
		var sends []OutgoingMessage
		for _, m := range w.machines {
			if m != nil {
				sends = append(sends, m.TakeOutgoing()...)
			}
		}
		for _, s := range sends {
			for i, m := range w.machines {
				if m != nil && s.Destination == w.address(i) && (w.drop == nil || !w.drop(s)) {
					message := s.Message
					m.Receive(w.now, &message)
				}
			}
		}
	}
}

func (w *cluster) coordinator() int {
	for i, m := range w.machines {
		if m != nil && m.replica.isCoordinator(w.now) {
			return i
		}
	}
	return -1
}

// lease of what may be out: four, each for up to thirty seconds.
func (w *cluster) lease(i int) *QuotaLease {
	return w.machines[i].QuotaLease(Budget{Key: NamedKey(Concurrency, "c"), Total: 4, CountedFor: 30})
}

// requestAndSpend has a router ask for one and use it, within half a second.
func (w *cluster) requestAndSpend(i int) bool {
	p := w.lease(i)
	for end := w.now + 0.5; w.now < end; w.advance(0.02) {
		if p.CanSpend(w.now, 1) {
			p.Spend(w.now, 1)
			return true
		}
		p.Request(w.now, 1)
	}
	return false
}

// After a start nothing is given for as long as something may be out of which nobody knows; later a bursar's death costs an election.
func TestNewCoordinatorContinuesFromMajorityRecords(t *testing.T) {
	w := newCluster(t)
	first := w.coordinator()
	require.GreaterOrEqual(t, first, 0)
	assert.False(t, w.requestAndSpend(0), "a start before this one may have let something out")
	w.advance(40)
	first = w.coordinator()
	a, b := (first+1)%3, (first+2)%3
	require.True(t, w.requestAndSpend(a))
	require.True(t, w.requestAndSpend(a))
	require.True(t, w.requestAndSpend(b))
	w.advance(1.5)
	w.machines[first] = nil
	w.advance(4)
	next := w.coordinator()
	require.Contains(t, []int{a, b}, next)
	assert.True(t, w.requestAndSpend(b), "three are out, and the fourth is given")
	assert.False(t, w.requestAndSpend(a), "four are out")
	w.lease(a).Release(w.now, 1)
	w.advance(0.1)
	assert.True(t, w.requestAndSpend(b), "what was given by the one before is freed at the next")
	assert.False(t, w.requestAndSpend(a))
}

func TestNewCoordinatorWaitsOutRecordsLostInRestarts(t *testing.T) {
	w := newCluster(t)
	w.advance(40)
	first := w.coordinator()
	a, b := (first+1)%3, (first+2)%3
	for range 4 {
		require.True(t, w.requestAndSpend(a))
	}
	w.start(b) // it has forgotten
	w.advance(3)
	w.machines[first] = nil
	w.start(a) // and so has the one who has them out: its dispatches go on at engines
	w.advance(6)
	require.GreaterOrEqual(t, w.coordinator(), 0)
	assert.False(t, w.requestAndSpend(b))
	w.advance(36)
	assert.True(t, w.requestAndSpend(b), "by now all of it must have ended")
}

func TestNoGrantWithoutMajorityAcknowledgement(t *testing.T) {
	w := newCluster(t)
	w.advance(40)
	first := w.coordinator()
	w.drop = func(s OutgoingMessage) bool { return s.Kind == RecordUpdate }
	assert.False(t, w.requestAndSpend((first+1)%3))
	w.drop = nil
	assert.True(t, w.requestAndSpend((first+1)%3))
}
