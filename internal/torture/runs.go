package torture

import (
	"fmt"
	"slices"
	"time"

	"pitchfield/internal/standin"
)

// dispatchChecker compares the dispatches that engines received, in the order of their arrival, with the rules. A
// restarted router knows nothing of what its predecessor sent, so order within keys and retry budgets of one router are
// checked within one start.
type dispatchChecker struct {
	*Result
	runs      []standin.Run
	batchByID map[string]*Batch
	findings  []Finding

	firstDispatch map[string]time.Time // when each batch was first dispatched, by ID
	received      [][]time.Duration    // when batches were written to each router, sorted
	routerByStart map[string]int       // number of the router, by the name of one of its starts
	maxConcurrent int                  // largest number of reports that ran at once
}

func newDispatchChecker(seen *Result) *dispatchChecker {
	c := &dispatchChecker{Result: seen, runs: slices.Clone(seen.Runs), batchByID: map[string]*Batch{}, routerByStart: map[string]int{}}
	for _, b := range seen.Batches {
		c.batchByID[b.ID] = b
	}
	slices.SortStableFunc(c.runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	return c
}

// found records a violation by a dispatch.
func (c *dispatchChecker) found(rule int, r standin.Run, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Batch: r.ID, At: c.at(r), Text: fmt.Sprintf(format, args...)})
}

// at is when a dispatch began at its engine, counted from the start of the scenario.
func (c *dispatchChecker) at(r standin.Run) time.Duration { return r.Began.Sub(c.Began) }

// router is the number of the router that sent a dispatch. A batch that its client did not write completely has no
// record; it counts for router 0.
func (c *dispatchChecker) router(r standin.Run) int {
	if b := c.batchByID[r.ID]; b != nil {
		return b.Router
	}
	return 0
}

// origin is the ID of the batch that a retry stems from, or the ID itself.
func (c *dispatchChecker) origin(id string) string {
	if b := c.batchByID[id]; b != nil && b.RetryOf != "" {
		return b.RetryOf
	}
	return id
}

// incarnation is the number of the latest start of a router at a time.
func (c *dispatchChecker) incarnation(router int, at time.Duration) (n int) {
	for i, l := range c.Routers[router].Incarnations {
		if l.Began <= at {
			n = i
		}
	}
	return n
}

// senderIncarnation is the start of the router that sent a dispatch. A dispatch that is sent just before a kill may
// arrive when the next process runs already.
func (c *dispatchChecker) senderIncarnation(r standin.Run) int {
	if b := c.batchByID[r.ID]; b != nil {
		return b.Incarnation
	}
	return c.incarnation(c.router(r), c.at(r))
}

// transitSlack is the time that may pass between a router's decision and its arrival: maxTransit, plus the parts of the
// interval in which the router was paused or its link to the engine was faulty.
func (c *dispatchChecker) transitSlack(r standin.Run, from, to time.Duration) time.Duration {
	out, router := maxTransit, c.Routers[c.router(r)]
	for _, s := range router.Pauses {
		out += s.overlap(from, to)
	}
	for _, w := range c.LinkFaults {
		if w.Affects(router.Name, r.Engine) {
			out += w.overlap(from, to)
		}
	}
	return out
}

// overlap is the part of the interval that lies between two times.
func (s Interval) overlap(from, to time.Duration) time.Duration {
	return max(min(to, s.To)-max(from, s.From), 0)
}

// linkFaulty reports whether the link between a dispatch's router and engine was faulty within an interval, in either
// direction. A cut delays what was sent, dispatches as well as cancellations, so the order and rate of arrivals then
// prove nothing about the router.
func (c *dispatchChecker) linkFaulty(r standin.Run, from, to time.Duration) bool {
	router := c.Routers[c.router(r)].Name
	return slices.ContainsFunc(c.LinkFaults, func(w LinkFault) bool {
		return w.overlap(from, to) > 0 && (w.Affects(router, r.Engine) || w.Affects(r.Engine, router))
	})
}

// maybeDelayed reports whether a dispatch may have been sent long before it arrived.
func (c *dispatchChecker) maybeDelayed(r standin.Run) bool {
	return c.linkFaulty(r, c.at(r)-maxTransit, c.at(r))
}

// checkEffects verifies that a batch has at most maxDispatches dispatches and none that could take effect twice.
// At-most-once batches are checked across retries as well: a client that received "safe to retry" may have asked
// another router.
func (c *dispatchChecker) checkEffects() {
	count, ran := map[string]int{}, map[string]standin.Run{}
	for _, r := range c.runs {
		if count[r.ID]++; count[r.ID] == maxDispatches+1 {
			c.found(2, r, "%s was sent more than %d times", r.ID, maxDispatches)
		}
		if r.Step.Action == standin.Reject {
			continue
		}
		origin := c.origin(r.ID)
		first, again := ran[origin]
		switch {
		case !again:
			ran[origin] = r
		case r.Group == "once":
			c.found(2, r, "once-only %s ran twice, first as %s", r.ID, first.ID)
		case r.Group == "upload" && r.Began.Sub(first.Began) > dedupWindow+c.transitSlack(r, c.at(first), c.at(r)):
			c.found(2, r, "deduplicated %s was dispatched again after %.3f s, when engines no longer remembered its key",
				r.ID, r.Began.Sub(first.Began).Seconds())
		}
	}
}

// checkDraining verifies that no dispatch reaches a draining engine after the grace period from a router that was
// informed of the draining.
func (c *dispatchChecker) checkDraining() {
	for _, r := range c.runs {
		router := c.Routers[c.router(r)]
		reported := router.DrainReported[r.Engine]
		tolerance := drainGrace + c.transitSlack(r, reported, c.at(r))
		for _, w := range c.LinkFaults { // the answer that reported it may have been lost, and so may the following ones
			if w.Affects(nameServiceEndpoint, router.Name) {
				tolerance += w.overlap(reported, c.at(r))
			}
		}
		if reported > 0 && c.at(r) > reported+tolerance {
			c.found(3, r, "%s reached %s %.3f s after %s was told that the engine drains", r.ID, r.Engine,
				(c.at(r) - reported).Seconds(), router.Name)
		}
	}
}

// outcomeUnknown reports whether a router cannot know if a dispatch still runs, because it received no complete answer.
func outcomeUnknown(r standin.Run) bool {
	switch r.Step.Action {
	case standin.CloseUnanswered, standin.CloseMidAnswer, standin.SilenceConnection, standin.SilenceEngine, standin.HalfAnswer, standin.SendGarbage, standin.InvalidLength, standin.EndlessAnswer:
		return true
	}
	return r.Canceled
}

// checkKeyOrder verifies that each router runs the batches of a key in order and one at a time, and waits after an
// unknown outcome. Only half of that wait is demanded, because a stand-in may notice late that a connection has ended.
func (c *dispatchChecker) checkKeyOrder() {
	type routerKey struct {
		router int
		key    string
	}
	last := map[routerKey]standin.Run{}
	for _, r := range c.runs {
		if r.Key == "" || r.Step.Action == standin.Reject || r.Duplicate {
			continue
		}
		l := routerKey{c.router(r), r.Key}
		before, found := last[l]
		last[l] = r
		if !found || before.ID == r.ID || c.senderIncarnation(before) != c.senderIncarnation(r) || c.maybeDelayed(r) ||
			c.linkFaulty(before, c.at(before)-maxTransit, c.at(r)) {
			continue
		}
		switch {
		case before.Ended.IsZero() || r.Began.Before(before.Ended):
			c.found(5, r, "key %s: %s began before %s had ended", r.Key, r.ID, before.ID)
		case outcomeUnknown(before) && r.Began.Before(before.Ended.Add(keySettleTime/2)):
			c.found(5, r, "key %s: %s began %.3f s after %s, which may still run", r.Key, r.ID, r.Began.Sub(before.Ended).Seconds(), before.ID)
		}
	}
}

// checkPlacement verifies that reports run in the first zone only.
func (c *dispatchChecker) checkPlacement() {
	for _, r := range c.runs {
		if zone := c.Engines[r.Engine].Zone; r.Group == "report" && zone != zones[0] {
			c.found(6, r, "report %s reached %s, which is in zone %q", r.ID, r.Engine, zone)
		}
	}
}
