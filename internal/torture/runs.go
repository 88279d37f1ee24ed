package torture

import (
	"fmt"
	"slices"
	"time"

	"pitchfield/internal/standin"
)

// dispatchChecker holds dispatches to the rules by what came to engines, in the order it came. A router that starts again knows
// nothing of what the last one had sent, so keys and budgets of one router are held to within one start.
type dispatchChecker struct {
	*Result
	runs      []standin.Run
	batchByID map[string]*Batch // by id
	findings  []Finding

	firstDispatch map[string]time.Time // when a batch was first sent, by id
	received      [][]time.Duration    // batches of each router
	routerByStart map[string]int       // routers, by the name of a start
	maxConcurrent int                  // reports that ran at once
}

func newDispatchChecker(seen *Result) *dispatchChecker {
	c := &dispatchChecker{Result: seen, runs: slices.Clone(seen.Runs), batchByID: map[string]*Batch{}, routerByStart: map[string]int{}}
	for _, b := range seen.Batches {
		c.batchByID[b.ID] = b
	}
	slices.SortStableFunc(c.runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	return c
}

func (c *dispatchChecker) found(rule int, r standin.Run, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Batch: r.ID, At: c.at(r), Text: fmt.Sprintf(format, args...)})
}

func (c *dispatchChecker) at(r standin.Run) time.Duration { return r.Began.Sub(c.Began) }

// router is the number of the one that sent it. What no client has written whole is the first one's.
func (c *dispatchChecker) router(r standin.Run) int {
	if b := c.batchByID[r.ID]; b != nil {
		return b.Router
	}
	return 0
}

// origin is the batch that a client first asked for.
func (c *dispatchChecker) origin(id string) string {
	if b := c.batchByID[id]; b != nil && b.RetryOf != "" {
		return b.RetryOf
	}
	return id
}

// incarnation is the start of the router that was last at a time.
func (c *dispatchChecker) incarnation(router int, at time.Duration) (n int) {
	for i, l := range c.Routers[router].Incarnations {
		if l.Began <= at {
			n = i
		}
	}
	return n
}

// senderIncarnation is the start of its router that sent a run: what one sends just before it is killed may come when the next runs already.
func (c *dispatchChecker) senderIncarnation(r standin.Run) int {
	if b := c.batchByID[r.ID]; b != nil {
		return b.Incarnation
	}
	return c.incarnation(c.router(r), c.at(r))
}

// transitSlack is what may lie between a decision and its arrival: the ways on a busy machine, and what of the time the router
// stood still or its link to the engine was not fair.
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

func (s Interval) overlap(from, to time.Duration) time.Duration {
	return max(min(to, s.To)-max(from, s.From), 0)
}

// linkFaulty: something lay over the link between its router and its engine within a time. A cut holds back what was sent, be it a
// batch or the word that gives one up, so then the order and the pace in which things came say nothing of the router.
func (c *dispatchChecker) linkFaulty(r standin.Run, from, to time.Duration) bool {
	router := c.Routers[c.router(r)].Name
	return slices.ContainsFunc(c.LinkFaults, func(w LinkFault) bool {
		return w.overlap(from, to) > 0 && (w.Affects(router, r.Engine) || w.Affects(r.Engine, router))
	})
}

// maybeDelayed: it may have been sent long before it came.
func (c *dispatchChecker) maybeDelayed(r standin.Run) bool {
	return c.linkFaulty(r, c.at(r)-maxTransit, c.at(r))
}

// checkEffects: no more dispatches than a batch may have, and none that could have an effect twice; for once-only ones also when
// their client, told that it was harmless, asked another router.
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
			c.found(2, r, "referenced %s came again after %.3f s, when engines had forgotten its mark", r.ID, r.Began.Sub(first.Began).Seconds())
		}
	}
}

// checkDraining: nothing new comes to an engine that drains, past the grace, from a router that was told.
func (c *dispatchChecker) checkDraining() {
	for _, r := range c.runs {
		router := c.Routers[c.router(r)]
		told := router.DrainReported[r.Engine]
		late := drainGrace + c.transitSlack(r, told, c.at(r))
		for _, w := range c.LinkFaults { // the answer that told it may have been lost, and so may those that followed
			if w.Affects(nameServiceEndpoint, router.Name) {
				late += w.overlap(told, c.at(r))
			}
		}
		if told > 0 && c.at(r) > told+late {
			c.found(3, r, "%s came to %s %.3f s after %s was told that it drains", r.ID, r.Engine, (c.at(r) - told).Seconds(), router.Name)
		}
	}
}

// outcomeUnknown is what leaves in doubt whether a batch still runs: no whole answer came of it.
func outcomeUnknown(r standin.Run) bool {
	switch r.Step.Action {
	case standin.CloseUnanswered, standin.CloseMidAnswer, standin.SilenceConnection, standin.SilenceEngine, standin.HalfAnswer, standin.SendGarbage, standin.InvalidLength, standin.EndlessAnswer:
		return true
	}
	return r.Canceled
}

// checkKeyOrder run in order, one at a time for each router, and rest after doubt; for half the time at least, as a stand-in may see
// late that a connection has ended.
func (c *dispatchChecker) checkKeyOrder() {
	type line struct {
		router int
		key    string
	}
	last := map[line]standin.Run{}
	for _, r := range c.runs {
		if r.Key == "" || r.Step.Action == standin.Reject || r.Duplicate {
			continue
		}
		l := line{c.router(r), r.Key}
		before, is := last[l]
		last[l] = r
		if !is || before.ID == r.ID || c.senderIncarnation(before) != c.senderIncarnation(r) || c.maybeDelayed(r) ||
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

// checkPlacement: reports run in the first zone only.
func (c *dispatchChecker) checkPlacement() {
	for _, r := range c.runs {
		if zone := c.Engines[r.Engine].Zone; r.Group == "report" && zone != zones[0] {
			c.found(6, r, "report %s came to %s, which is in zone %q", r.ID, r.Engine, zone)
		}
	}
}
