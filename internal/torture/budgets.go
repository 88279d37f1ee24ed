package torture

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"pitchfield/internal/standin"
)

// Budget is something of which all routers together may use only so much within a window. The checker sums what came to
// the stand-ins; a further budget is a further line of budgetList.
type Budget struct {
	Name   string
	Unit   string
	Rule   int
	Window time.Duration
	// Of tells what a run takes, and of which budget of this kind; 0: nothing.
	Of func(c *runsCheck, r standin.Run) (of string, amount float64)
	// All are those of this kind that there were.
	All func(c *runsCheck) []string
	// Whole is what may be used within the window that ends at a time. Below 0: it does not count then.
	Whole func(c *runsCheck, of string, at time.Duration) float64
}

// budgetList has all that the fleet shares. What is here is also measured: Use.
var budgetList = []Budget{
	{Name: "cold work", Unit: "s of work", Rule: 4, Window: fallTime,
		Of: func(c *runsCheck, r standin.Run) (string, float64) {
			if c.bears(r.Engine, c.at(r)) < 0 || c.late(r) {
				return "", 0
			}
			return r.Engine, r.Step.After.Seconds()
		},
		All: func(c *runsCheck) (out []string) {
			for name, e := range c.Engines {
				if !e.Started.IsZero() {
					out = append(out, name)
				}
			}
			slices.Sort(out)
			return out
		},
		Whole: (*runsCheck).bears},
	{Name: "free further dispatches of look-ups", Unit: "dispatches", Rule: 7, Window: freeWindow,
		Of: func(c *runsCheck, r standin.Run) (string, float64) {
			if c.Limited && r.Group == "lookup" && c.further(r) && !c.late(r) {
				return "the fleet", 1
			}
			return "", 0
		},
		All: func(c *runsCheck) []string {
			if c.Limited {
				return []string{"the fleet"}
			}
			return nil
		},
		Whole: func(*runsCheck, string, time.Duration) float64 { return freeOfAll }},
	{Name: "further dispatches", Unit: "dispatches", Rule: 7, Window: lookBack,
		Of: func(c *runsCheck, r standin.Run) (string, float64) {
			if len(c.Routers) > 1 && c.further(r) && !c.late(r) {
				return "the fleet", 1
			}
			return "", 0
		},
		All: func(*runsCheck) []string { return []string{"the fleet"} },
		Whole: func(c *runsCheck, _ string, at time.Duration) float64 {
			sum := 0.0
			for i := range c.Routers {
				sum += c.mayFurther(i, at)
			}
			return sum
		}},
	{Name: "further dispatches", Unit: "dispatches", Rule: 7, Window: lookBack,
		Of: func(c *runsCheck, r standin.Run) (string, float64) {
			if c.further(r) && !c.late(r) {
				return c.start(c.router(r), c.life(c.router(r), c.at(r))), 1
			}
			return "", 0
		},
		All: func(*runsCheck) []string { return nil },
		Whole: func(c *runsCheck, of string, at time.Duration) float64 {
			return c.mayFurther(c.starts[of], at)
		}},
}

// start names a start of a router, and remembers whose it is.
func (c *runsCheck) start(router, life int) string {
	name := fmt.Sprintf("%s, start %d", c.Routers[router].Name, life)
	c.starts[name] = router
	return name
}

// divided is the share of what an engine bears at its start that routers divide, by number or by talk, and a tenth for what
// clients tell only nearly right.
const divided = 0.77 * 1.1

// bears is the work that a cold engine bears within a fall time; below 0: it is not cold. What its pace is between its start
// and warmth is not disclosed; a straight line is what this fleet does. Several routers are held to what it bears at its start,
// all the time: that is the whole which they divide. By the line, three starts that each forgot the one before came to 0.81 to
// 0.94 of it, and were no finding in four hunts.
func (c *runsCheck) bears(engine string, at time.Duration) float64 {
	e := c.Engines[engine]
	age := at - e.Started.Sub(c.Began)
	if e.Started.IsZero() || age < 0 || age > coldTime {
		return -1
	}
	pace := coldFrom + (1-coldFrom)*age.Seconds()/coldTime.Seconds()
	if len(c.Routers) > 1 {
		pace = coldFrom * divided
	}
	return fallMultiple * pace * cores * fallTime.Seconds()
}

// further: it is not its batch's first dispatch.
func (c *runsCheck) further(r standin.Run) bool {
	if c.firsts == nil {
		c.firsts = map[string]time.Time{}
		for _, one := range c.runs {
			if _, seen := c.firsts[one.ID]; !seen {
				c.firsts[one.ID] = one.Began
			}
		}
	}
	return c.firsts[r.ID].Before(r.Began)
}

// mayFurther is what a router may send again within the look-back. It counts at its own times, so batches of a standstill
// before count here too.
func (c *runsCheck) mayFurther(router int, at time.Duration) float64 {
	if c.taken == nil {
		c.taken = make([][]time.Duration, len(c.Routers))
		for _, b := range c.Batches {
			c.taken[b.Router] = append(c.taken[b.Router], b.Wrote)
		}
		for _, t := range c.taken {
			slices.Sort(t)
		}
	}
	t := c.taken[router]
	n := sort.Search(len(t), func(i int) bool { return t[i] > at })
	return freeFurther + 1 + furtherShare*float64(n-sort.Search(n, func(i int) bool { return t[i] > at-lookBack-2*standstill }))
}

// budgets holds what was done to each line of the list.
func (c *runsCheck) budgets() {
	for _, b := range budgetList {
		told := map[string]bool{}
		c.walk(b, func(r standin.Run, of string, parts []part, used, whole float64) {
			if used > whole && !told[of] {
				told[of] = true
				c.found(b.Rule, r, "%s of %s: %.2f %s within %s, and %.2f is the whole; of %s", b.Name, of, used, b.Unit, b.Window, whole, c.whose(parts))
			}
		})
	}
}

// atOnce holds what reports run at once, over all engines, to what all routers together may have out. Their end is known where an
// engine ended them itself: what was given up was over for its router before, and is left out, as is what came late.
func (c *runsCheck) atOnce() {
	if !c.Limited {
		return
	}
	type moment struct {
		at    time.Time
		begin bool
		run   standin.Run
	}
	var moments []moment
	for _, r := range c.runs {
		if r.Group != "report" || r.Step.Action == standin.Reject || r.Canceled || r.Ended.IsZero() || c.unfair(r, c.at(r)-wayWithin, r.Ended.Sub(c.Began)) {
			continue
		}
		moments = append(moments, moment{r.Began, true, r}, moment{r.Ended, false, r})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return a.at.Compare(b.at) })
	out, told := map[string]part{}, false
	for _, m := range moments {
		of := m.run.Engine + " " + m.run.ID
		if !m.begin {
			delete(out, of)
			continue
		}
		out[of] = part{c.at(m.run), 1, m.run}
		if len(out) > c.most {
			c.most = len(out)
		}
		if len(out) > reportsOut && !told {
			told = true
			parts := slices.SortedFunc(maps.Values(out), func(a, b part) int { return cmp.Compare(a.at, b.at) })
			c.found(7, m.run, "%d reports run at once, and %d may be out of all routers; of %s", len(out), reportsOut, c.whose(parts))
		}
	}
}

// AtOnce is how many reports ran at once, at the most.
func (r *Result) AtOnce() int {
	c := newRunsCheck(r)
	c.atOnce()
	return c.most
}

// part is what one run took of a budget.
type part struct {
	at     time.Duration
	amount float64
	run    standin.Run
}

// whose tells which starts of routers took how much, and over which time.
func (c *runsCheck) whose(parts []part) string {
	sums, batches := map[string]float64{}, map[string]int{}
	for _, p := range parts {
		router := c.router(p.run)
		of := c.start(router, c.life(router, p.at))
		sums[of], batches[of] = sums[of]+p.amount, batches[of]+1
	}
	var out []string
	for _, of := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, fmt.Sprintf("%s %.2f in %d batches", of, sums[of], batches[of]))
	}
	return fmt.Sprintf("%s, from %.3f to %.3f s", strings.Join(out, "; "), parts[0].at.Seconds(), parts[len(parts)-1].at.Seconds())
}

// walk sums each budget of a kind over its window, run by run.
func (c *runsCheck) walk(b Budget, do func(r standin.Run, of string, parts []part, used, whole float64)) {
	parts, sums := map[string][]part{}, map[string]float64{}
	for _, r := range c.runs {
		of, amount := b.Of(c, r)
		if amount <= 0 {
			continue
		}
		at := c.at(r)
		parts[of], sums[of] = append(parts[of], part{at, amount, r}), sums[of]+amount
		for parts[of][0].at < at-b.Window {
			sums[of] -= parts[of][0].amount
			parts[of] = parts[of][1:]
		}
		if whole := b.Whole(c, of, at); whole >= 0 {
			do(r, of, parts[of], sums[of], whole)
		}
	}
}

// Use is how much of a kind of budget was used.
type Use struct {
	Name       string
	Mean, Most float64 // of the whole: over all windows that were looked at, and in the fullest
	Alive      float64 // mean while all routers ran, and
	Dead       float64 // while some did not
	Windows    int
}

const lookEvery = 100 * time.Millisecond

// Uses measures each line of the list: what of it was used in windows that end each tenth of a second.
func (r *Result) Uses() (out []Use) {
	c := newRunsCheck(r)
	for _, b := range budgetList {
		of := b.All(c)
		u := Use{Name: b.Name}
		parts := map[string][]part{}
		for _, run := range c.runs {
			if of, amount := b.Of(c, run); amount > 0 {
				parts[of] = append(parts[of], part{c.at(run), amount, run})
			}
		}
		alive, dead := 0, 0
		for at := b.Window; at <= r.Long; at += lookEvery {
			for _, of := range of {
				whole := b.Whole(c, of, at)
				if whole < 0 {
					continue
				}
				used := 0.0
				for _, p := range parts[of] {
					if p.at > at-b.Window && p.at <= at {
						used += p.amount
					}
				}
				share := used / whole
				u.Windows, u.Mean, u.Most = u.Windows+1, u.Mean+share, max(u.Most, share)
				if r.running(at) == len(r.Routers) {
					alive, u.Alive = alive+1, u.Alive+share
				} else {
					dead, u.Dead = dead+1, u.Dead+share
				}
			}
		}
		u.Mean /= float64(max(u.Windows, 1))
		u.Alive /= float64(max(alive, 1))
		u.Dead /= float64(max(dead, 1))
		out = append(out, u)
	}
	return out
}

// running counts the routers of which a process ran at a time.
func (r *Result) running(at time.Duration) (n int) {
	for _, one := range r.Routers {
		if slices.ContainsFunc(one.Lives, func(l Life) bool { return l.Began <= at && (l.Ended == 0 || l.Ended > at) }) {
			n++
		}
	}
	return n
}

// Probing is what engines bore of probes.
type Probing struct {
	Longest time.Duration // that an engine which was there went unprobed
	Mean    float64       // probes a second of an engine
	Most    int           // of an engine within a second
}

// Probing measures them, of engines that were there for a while.
func (r *Result) Probing() (out Probing) {
	const settled = 2 * time.Second
	by := map[string][]time.Duration{}
	for _, p := range r.Probes {
		by[p.Engine] = append(by[p.Engine], p.At.Sub(r.Began))
	}
	count, seconds := 0, 0.0
	for _, times := range by {
		slices.Sort(times)
		first, last := times[0], times[len(times)-1]
		if last-first < settled {
			continue
		}
		count, seconds = count+len(times), seconds+(last-first).Seconds()
		for i, at := range times {
			if i > 0 && at < r.Long {
				out.Longest = max(out.Longest, at-times[i-1])
			}
			n, _ := slices.BinarySearchFunc(times, at+time.Second, func(a, b time.Duration) int { return cmp.Compare(a, b) })
			out.Most = max(out.Most, n-i)
		}
	}
	if seconds > 0 {
		out.Mean = float64(count) / seconds
	}
	return out
}
