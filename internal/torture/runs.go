package torture

import (
	"fmt"
	"slices"
	"time"

	"pitchfield/internal/standin"
)

// runsCheck holds dispatches to the rules by what came to engines, in the order it came. A router that starts again knows
// nothing of what the last one had sent, so keys and budgets of one router are held to within one start.
type runsCheck struct {
	*Result
	runs []standin.Run
	by   map[string]*Batch // by id
	out  []Finding

	firsts map[string]time.Time // when a batch was first sent, by id
	taken  [][]time.Duration    // batches of each router
	starts map[string]int       // routers, by the name of a start
	most   int                  // reports that ran at once
}

func newRunsCheck(seen *Result) *runsCheck {
	c := &runsCheck{Result: seen, runs: slices.Clone(seen.Runs), by: map[string]*Batch{}, starts: map[string]int{}}
	for _, b := range seen.Batches {
		c.by[b.ID] = b
	}
	slices.SortStableFunc(c.runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	return c
}

func (c *runsCheck) found(rule int, r standin.Run, format string, args ...any) {
	c.out = append(c.out, Finding{Rule: rule, Batch: r.ID, At: c.at(r), What: fmt.Sprintf(format, args...)})
}

func (c *runsCheck) at(r standin.Run) time.Duration { return r.Began.Sub(c.Began) }

// router is the number of the one that sent it. What no client has written whole is the first one's.
func (c *runsCheck) router(r standin.Run) int {
	if b := c.by[r.ID]; b != nil {
		return b.Router
	}
	return 0
}

// origin is the batch that a client first asked for.
func (c *runsCheck) origin(id string) string {
	if b := c.by[id]; b != nil && b.Origin != "" {
		return b.Origin
	}
	return id
}

// life is the start of the router that was last at a time.
func (c *runsCheck) life(router int, at time.Duration) (n int) {
	for i, l := range c.Routers[router].Lives {
		if l.Began <= at {
			n = i
		}
	}
	return n
}

// lifeOf is the start of its router that sent a run: what one sends just before it is killed may come when the next runs already.
func (c *runsCheck) lifeOf(r standin.Run) int {
	if b := c.by[r.ID]; b != nil {
		return b.Life
	}
	return c.life(c.router(r), c.at(r))
}

// slack is what may lie between a decision and its arrival: the ways on a busy machine, and what of the time the router
// stood still or its link to the engine was not fair.
func (c *runsCheck) slack(r standin.Run, from, to time.Duration) time.Duration {
	out, router := wayWithin, c.Routers[c.router(r)]
	for _, s := range router.Stills {
		out += s.within(from, to)
	}
	for _, w := range c.Weather {
		if w.Over(router.Name, r.Engine) {
			out += w.within(from, to)
		}
	}
	return out
}

func (s Still) within(from, to time.Duration) time.Duration {
	return max(min(to, s.To)-max(from, s.From), 0)
}

// unfair: something lay over the link between its router and its engine within a time. A cut holds back what was sent, be it a
// batch or the word that gives one up, so then the order and the pace in which things came say nothing of the router.
func (c *runsCheck) unfair(r standin.Run, from, to time.Duration) bool {
	router := c.Routers[c.router(r)].Name
	return slices.ContainsFunc(c.Weather, func(w Weather) bool {
		return w.within(from, to) > 0 && (w.Over(router, r.Engine) || w.Over(r.Engine, router))
	})
}

// late: it may have been sent long before it came.
func (c *runsCheck) late(r standin.Run) bool { return c.unfair(r, c.at(r)-wayWithin, c.at(r)) }

// effects: no more dispatches than a batch may have, and none that could have an effect twice; for once-only ones also when
// their client, told that it was harmless, asked another router.
func (c *runsCheck) effects() {
	count, ran := map[string]int{}, map[string]standin.Run{}
	for _, r := range c.runs {
		if count[r.ID]++; count[r.ID] == mostRuns+1 {
			c.found(2, r, "%s was sent more than %d times", r.ID, mostRuns)
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
		case r.Group == "upload" && r.Began.Sub(first.Began) > window+c.slack(r, c.at(first), c.at(r)):
			c.found(2, r, "referenced %s came again after %.3f s, when engines had forgotten its mark", r.ID, r.Began.Sub(first.Began).Seconds())
		}
	}
}

// drained: nothing new comes to an engine that drains, past the grace, from a router that was told.
func (c *runsCheck) drained() {
	for _, r := range c.runs {
		router := c.Routers[c.router(r)]
		told := router.Told[r.Engine]
		late := drainGrace + c.slack(r, told, c.at(r))
		for _, w := range c.Weather { // the answer that told it may have been lost, and so may those that followed
			if w.Over(namesParty, router.Name) {
				late += w.within(told, c.at(r))
			}
		}
		if told > 0 && c.at(r) > told+late {
			c.found(3, r, "%s came to %s %.3f s after %s was told that it drains", r.ID, r.Engine, (c.at(r) - told).Seconds(), router.Name)
		}
	}
}

// doubtful is what leaves in doubt whether a batch still runs: no whole answer came of it.
func doubtful(r standin.Run) bool {
	switch r.Step.Action {
	case standin.CloseUnanswered, standin.CloseMidAnswer, standin.SilenceConnection, standin.SilenceEngine, standin.HalfAnswer, standin.SendGarbage, standin.InvalidLength, standin.EndlessAnswer:
		return true
	}
	return r.Canceled
}

// keys run in order, one at a time for each router, and rest after doubt; for half the time at least, as a stand-in may see
// late that a connection has ended.
func (c *runsCheck) keys() {
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
		if !is || before.ID == r.ID || c.lifeOf(before) != c.lifeOf(r) || c.late(r) ||
			c.unfair(before, c.at(before)-wayWithin, c.at(r)) {
			continue
		}
		switch {
		case before.Ended.IsZero() || r.Began.Before(before.Ended):
			c.found(5, r, "key %s: %s began before %s had ended", r.Key, r.ID, before.ID)
		case doubtful(before) && r.Began.Before(before.Ended.Add(settleTime/2)):
			c.found(5, r, "key %s: %s began %.3f s after %s, which may still run", r.Key, r.ID, r.Began.Sub(before.Ended).Seconds(), before.ID)
		}
	}
}

// placed: reports run in the first zone only.
func (c *runsCheck) placed() {
	for _, r := range c.runs {
		if zone := c.Engines[r.Engine].Zone; r.Group == "report" && zone != zones[0] {
			c.found(6, r, "report %s came to %s, which is in zone %q", r.ID, r.Engine, zone)
		}
	}
}
