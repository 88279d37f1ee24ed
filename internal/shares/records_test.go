package shares

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cluster simulates three routers, all of them replicas, and the messages between them.
type cluster struct {
	t        *testing.T
	now      float64
	starts   uint64
	machines [3]*Machine
	inFlight []OutgoingMessage
	drop     func(s OutgoingMessage) bool // selects messages to lose; nil: none
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, now: 1000}
	for i := range c.machines {
		c.start(i)
	}
	c.advance(4)
	return c
}

func (c *cluster) address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (c *cluster) start(i int) {
	s := Defaults()
	s.FixedFraction, s.Listen, s.Replicas = 0, c.address(i), []string{c.address(0), c.address(1), c.address(2)}
	c.starts++
	c.machines[i] = New(s, ID{fmt.Sprint("n", i), c.starts}, FixedConfig{Total: 4, Window: 1, Routers: 3, MaxHolders: 16}, c.now)
}

// advance lets time pass in steps of 5 ms and delivers messages at once.
func (c *cluster) advance(seconds float64) {
	for end := c.now + seconds; c.now < end; c.now += 0.005 {
		for _, m := range c.machines {
			if m != nil && (m.DemandPending() || m.NextWake() <= c.now) {
				m.Wake(c.now)
			}
		}
		c.deliver()
	}
}

func (c *cluster) deliver() {
	for round := 0; round < 20; round++ {
		var sends []OutgoingMessage
		for _, m := range c.machines {
			if m != nil {
				sends = append(sends, m.TakeOutgoing()...)
			}
		}
		for _, s := range sends {
			for i, m := range c.machines {
				if m != nil && s.Destination == c.address(i) && (c.drop == nil || !c.drop(s)) {
					message := s.Message
					m.Receive(c.now, &message)
				}
			}
		}
	}
}

func (c *cluster) coordinator() int {
	for i, m := range c.machines {
		if m != nil && m.replica.isCoordinator(c.now) {
			return i
		}
	}
	return -1
}

// lease returns a router's lease of a budget of four concurrent dispatches, each of which lasts up to thirty seconds.
func (c *cluster) lease(i int) *QuotaLease {
	return c.machines[i].QuotaLease(Budget{Key: NamedKey(Concurrency, "c"), Total: 4, CountedFor: 30})
}

// requestAndSpend has a router request one dispatch and spend it. It returns false if no grant arrives within half a second.
func (c *cluster) requestAndSpend(i int) bool {
	lease := c.lease(i)
	for end := c.now + 0.5; c.now < end; c.advance(0.02) {
		if lease.CanSpend(c.now, 1) {
			lease.Spend(c.now, 1)
			return true
		}
		lease.Request(c.now, 1)
	}
	return false
}

// Right after the start of the whole cluster nothing is granted for as long as an unrecorded dispatch may be in progress. Later the
// death of the coordinator costs only an election: its successor continues from the records of the replicas.
func TestNewCoordinatorContinuesFromMajorityRecords(t *testing.T) {
	c := newCluster(t)
	first := c.coordinator()
	require.GreaterOrEqual(t, first, 0)
	assert.False(t, c.requestAndSpend(0), "an earlier start may have dispatches in progress")
	c.advance(40)
	first = c.coordinator()
	a, b := (first+1)%3, (first+2)%3
	require.True(t, c.requestAndSpend(a))
	require.True(t, c.requestAndSpend(a))
	require.True(t, c.requestAndSpend(b))
	c.advance(1.5)
	c.machines[first] = nil
	c.advance(4)
	next := c.coordinator()
	require.Contains(t, []int{a, b}, next)
	assert.True(t, c.requestAndSpend(b), "three are in use, and the fourth is granted")
	assert.False(t, c.requestAndSpend(a), "four are in use")
	c.lease(a).Release(c.now, 1)
	c.advance(0.1)
	assert.True(t, c.requestAndSpend(b), "a grant of the previous coordinator is released at the next")
	assert.False(t, c.requestAndSpend(a))
}

// If the replicas with the records restart, a new coordinator waits until every grant that they may have lost no longer counts.
func TestNewCoordinatorWaitsOutRecordsLostInRestarts(t *testing.T) {
	c := newCluster(t)
	c.advance(40)
	first := c.coordinator()
	a, b := (first+1)%3, (first+2)%3
	for range 4 {
		require.True(t, c.requestAndSpend(a))
	}
	c.start(b) // it has lost its records
	c.advance(3)
	c.machines[first] = nil
	c.start(a) // and so has the holder, whose dispatches still run at the engines
	c.advance(6)
	require.GreaterOrEqual(t, c.coordinator(), 0)
	assert.False(t, c.requestAndSpend(b))
	c.advance(36)
	assert.True(t, c.requestAndSpend(b), "by now all of them must have ended")
}

// While no replica receives records, a grant is not sent to its holder.
func TestNoGrantWithoutMajorityAcknowledgement(t *testing.T) {
	c := newCluster(t)
	c.advance(40)
	first := c.coordinator()
	c.drop = func(s OutgoingMessage) bool { return s.Kind == RecordUpdate }
	assert.False(t, c.requestAndSpend((first+1)%3))
	c.drop = nil
	assert.True(t, c.requestAndSpend((first+1)%3))
}
