package torture

import (
	"fmt"
	"io"
	"net"
	"time"

	"pitchfield/internal/standin"
)

// Tolerances of the timing rules in the protocol specification, as clients and engines can observe them.
const (
	maxDispatchAfterEnd = 100 * time.Millisecond // an attempt may begin this long after its client has cancelled it or closed its connection
	maxDeadlineExcess   = 150 * time.Millisecond // the deadline passed to an engine may exceed the client's remaining time by this
)

// allowance is the time by which a bound may be exceeded: the parts of the interval in which the router was paused, its
// link was faulty or the machine gave the test process no processor time.
func (c *dispatchChecker) allowance(r standin.Run, from, to time.Duration) time.Duration {
	out := c.transitSlack(r, from, to) - maxTransit
	for _, s := range c.RigStalls {
		out += s.overlap(from, to)
	}
	return out
}

// arrival is when an attempt reached its engine, which may read it later.
func (c *dispatchChecker) arrival(r standin.Run) time.Duration { return c.at(r) - r.ReadDelay }

// checkEndedClients verifies that no attempt begins after its client has cancelled it or its connection has ended.
func (c *dispatchChecker) checkEndedClients() {
	for _, r := range c.runs {
		b := c.batchByID[r.ID]
		if b == nil || c.maybeDelayed(r) {
			continue
		}
		end := b.Cancelled
		if end == 0 {
			end = b.ConnectionEnded
		}
		if end > 0 && c.arrival(r) > end+maxDispatchAfterEnd+c.allowance(r, end, c.arrival(r)) {
			c.found(1, r, "%s reached %s %.3f s after its client had cancelled it or disconnected", r.ID, r.Engine, (c.arrival(r) - end).Seconds())
		}
	}
}

// checkDeadlines verifies that the deadline passed to an engine exceeds the client's remaining time by no more than the
// tolerance.
func (c *dispatchChecker) checkDeadlines() {
	for _, r := range c.runs {
		b := c.batchByID[r.ID]
		if b == nil {
			continue
		}
		left := b.Deadline - c.arrival(r)
		if r.Budget > left+maxDeadlineExcess+c.allowance(r, b.WriteBegan, c.arrival(r)) {
			c.found(1, r, "%s reached %s with a deadline in %.3f s while its client had %.3f s left", r.ID, r.Engine,
				r.Budget.Seconds(), left.Seconds())
		}
	}
}

// checkNoOverlap verifies that a batch never has two attempts in progress, because hedging is forbidden in these
// scenarios. An attempt is in progress until its engine has written the whole answer, has read its cancellation or has
// seen its connection end.
func (c *dispatchChecker) checkNoOverlap() {
	before := map[string][]standin.Run{}
	for _, r := range c.runs {
		for _, other := range before[r.ID] {
			if other.Step.Action != standin.Reject && (other.Settled.IsZero() || other.Settled.After(r.Began)) {
				c.found(2, r, "%s of %s reached %s while another attempt was in progress at %s since %.3f s", r.ID,
					c.Routers[c.router(r)].Name, r.Engine,
					other.Engine, c.at(other).Seconds())
				break
			}
		}
		before[r.ID] = append(before[r.ID], r)
	}
}

const (
	stallProbeInterval = 10 * time.Millisecond // how often the test process measures a round trip through itself
	minStall           = 20 * time.Millisecond // longer delays are recorded as stalls
	stallProbeEndpoint = "lag"                 // name of both ends of the probe's link
	stallProbeTimeout  = 10 * time.Second      // of a connection attempt, and of a round trip
)

// watchStalls records the intervals in which the machine gave the test process no processor time, until stop is closed.
// It sends a byte back and forth on a new connection, through a link like those between routers and engines if the
// scenario has links. The returned list may be read once it returns.
func (sc *scenario) watchStalls(stop <-chan struct{}) ([]Interval, error) {
	echo, err := net.Listen("tcp", sc.host+":0")
	if err != nil {
		return nil, fmt.Errorf("torture: %w", err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c) //nolint:errcheck // whoever waits for it notes how long that takes
			}()
		}
	}()
	address := echo.Addr().String()
	if sc.fabric != nil {
		link, err := sc.fabric.NewStreamLink(sc.host, stallProbeEndpoint, stallProbeEndpoint, address)
		if err != nil {
			return nil, fmt.Errorf("torture: %w", err)
		}
		address = link.Addr().String()
	}
	var lags []Interval
	for {
		began := sc.since()
		roundTrip(address)
		if sc.since() > began+minStall {
			lags = append(lags, Interval{began, sc.since()})
		}
		select {
		case <-stop:
			return lags, nil
		case <-time.After(stallProbeInterval):
		}
		if due := began + stallProbeInterval + minStall; sc.since() > due+minStall {
			lags = append(lags, Interval{due, sc.since()})
		}
	}
}

// roundTrip sends one byte to an address and waits until it comes back or fails.
func roundTrip(address string) {
	c, err := net.DialTimeout("tcp", address, stallProbeTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(stallProbeTimeout)) //nolint:errcheck
	one := []byte{1}
	if _, err := c.Write(one); err == nil {
		io.ReadFull(c, one) //nolint:errcheck
	}
}
