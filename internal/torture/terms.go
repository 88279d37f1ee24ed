package torture

import (
	"fmt"
	"io"
	"net"
	"time"

	"pitchfield/internal/standin"
)

// What the protocol's page lets a router do about times that a client and an engine can see.
const (
	maxDispatchAfterEnd = 100 * time.Millisecond // an attempt may begin so long after its client has cancelled or closed
	maxDeadlineExcess   = 150 * time.Millisecond // the deadline passed on may be so much more than what the client has left
)

// allowance is what a bound may be passed by: the time in which the router stood still or its link was not fair, and in which our own
// machine gave the rig no turn.
func (c *dispatchChecker) allowance(r standin.Run, from, to time.Duration) time.Duration {
	out := c.transitSlack(r, from, to) - maxTransit
	for _, s := range c.RigStalls {
		out += s.overlap(from, to)
	}
	return out
}

// arrival is when an attempt came to its engine, which may read it later.
func (c *dispatchChecker) arrival(r standin.Run) time.Duration { return c.at(r) - r.ReadDelay }

// checkEndedClients: no attempt begins once its client has cancelled it or its connection has ended.
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
			c.found(1, r, "%s came to %s %.3f s after its client had gone", r.ID, r.Engine, (c.arrival(r) - end).Seconds())
		}
	}
}

// checkDeadlines: an engine is told of no more time than the client has left, but for a little.
func (c *dispatchChecker) checkDeadlines() {
	for _, r := range c.runs {
		b := c.batchByID[r.ID]
		if b == nil {
			continue
		}
		left := b.Deadline - c.arrival(r)
		if r.Budget > left+maxDeadlineExcess+c.allowance(r, b.WriteBegan, c.arrival(r)) {
			c.found(1, r, "%s came to %s with a deadline in %.3f s, and its client had %.3f s left", r.ID, r.Engine, r.Budget.Seconds(), left.Seconds())
		}
	}
}

// checkNoOverlap: second copies are forbidden here, so no attempt of a request begins beside one that is out. One is out until its engine
// has written its end, has read that it is given up, or has seen the end of its connection.
func (c *dispatchChecker) checkNoOverlap() {
	before := map[string][]standin.Run{}
	for _, r := range c.runs {
		for _, other := range before[r.ID] {
			if other.Step.Action != standin.Reject && (other.Settled.IsZero() || other.Settled.After(r.Began)) {
				c.found(2, r, "%s of %s came to %s beside an attempt that was out at %s since %.3f s", r.ID, c.Routers[c.router(r)].Name, r.Engine,
					other.Engine, c.at(other).Seconds())
				break
			}
		}
		before[r.ID] = append(before[r.ID], r)
	}
}

const (
	stallProbeInterval = 10 * time.Millisecond // the rig looks how long a byte takes that goes through it
	minStall           = 20 * time.Millisecond // one that takes so long is noted
	stallProbeEndpoint = "lag"                 // what links call both of its ends
	stallProbeTimeout  = 10 * time.Second
)

// watchStalls notes when the machine gave the rig no turn, until stopped: a byte goes there and back on a new connection, by a link
// like those between routers and engines where there are links. The list may be read once it returns.
func (p *scenario) watchStalls(stop <-chan struct{}) ([]Interval, error) {
	echo, err := net.Listen("tcp", p.host+":0")
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
	if p.fabric != nil {
		link, err := p.fabric.Stream(p.host, stallProbeEndpoint, stallProbeEndpoint, address)
		if err != nil {
			return nil, fmt.Errorf("torture: %w", err)
		}
		address = link.Addr().String()
	}
	var lags []Interval
	for {
		began := p.since()
		roundTrip(address)
		if p.since() > began+minStall {
			lags = append(lags, Interval{began, p.since()})
		}
		select {
		case <-stop:
			return lags, nil
		case <-time.After(stallProbeInterval):
		}
		if due := began + stallProbeInterval + minStall; p.since() > due+minStall {
			lags = append(lags, Interval{due, p.since()})
		}
	}
}

// roundTrip sends a byte to an address and waits until it comes back, or can't.
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
