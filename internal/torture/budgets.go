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
	Charge func(c *dispatchChecker, r standin.Run) (of string, amount float64)
	// All are those of this kind that there were.
	Instances func(c *dispatchChecker) []string
	// Whole is what may be used within the window that ends at a time. Below 0: it does not count then.
	Limit func(c *dispatchChecker, of string, at time.Duration) float64
}

// budgetKinds has all that the fleet shares. What is here is also measured: Use.
var budgetKinds = []Budget{
	{Name: "cold work", Unit: "s of work", Rule: 4, Window: fallTime,
		Charge: func(c *dispatchChecker, r standin.Run) (string, float64) {
			if c.coldCapacity(r.Engine, c.at(r)) < 0 || c.maybeDelayed(r) {
				return "", 0
			}
			return r.Engine, r.Step.After.Seconds()
		},
		Instances: func(c *dispatchChecker) (out []string) {
			for name, e := range c.Engines {
				if !e.Started.IsZero() {
					out = append(out, name)
				}
			}
			slices.Sort(out)
			return out
		},
		Limit: (*dispatchChecker).coldCapacity},
	{Name: "free further dispatches of look-ups", Unit: "dispatches", Rule: 7, Window: fleetFreeRetryWindow,
		Charge: func(c *dispatchChecker, r standin.Run) (string, float64) {
			if c.SharedLimits && r.Group == "lookup" && c.isRetry(r) && !c.maybeDelayed(r) {
				return "the fleet", 1
			}
			return "", 0
		},
		Instances: func(c *dispatchChecker) []string {
			if c.SharedLimits {
				return []string{"the fleet"}
			}
			return nil
		},
		Limit: func(*dispatchChecker, string, time.Duration) float64 { return fleetFreeRetries }},
	{Name: "further dispatches", Unit: "dispatches", Rule: 7, Window: retryWindow,
		Charge: func(c *dispatchChecker, r standin.Run) (string, float64) {
			if len(c.Routers) > 1 && c.isRetry(r) && !c.maybeDelayed(r) {
				return "the fleet", 1
			}
			return "", 0
		},
		Instances: func(*dispatchChecker) []string { return []string{"the fleet"} },
		Limit: func(c *dispatchChecker, _ string, at time.Duration) float64 {
			sum := 0.0
			for i := range c.Routers {
				sum += c.retryLimit(i, at)
			}
			return sum
		}},
	{Name: "further dispatches", Unit: "dispatches", Rule: 7, Window: retryWindow,
		Charge: func(c *dispatchChecker, r standin.Run) (string, float64) {
			if c.isRetry(r) && !c.maybeDelayed(r) {
				return c.startName(c.router(r), c.incarnation(c.router(r), c.at(r))), 1
			}
			return "", 0
		},
		Instances: func(*dispatchChecker) []string { return nil },
		Limit: func(c *dispatchChecker, of string, at time.Duration) float64 {
			return c.retryLimit(c.routerByStart[of], at)
		}},
}

// startName names a start of a router, and remembers whose it is.
func (c *dispatchChecker) startName(router, life int) string {
	name := fmt.Sprintf("%s, start %d", c.Routers[router].Name, life)
	c.routerByStart[name] = router
	return name
}

// dividedFraction is the share of what an engine bears at its start that routers divide, by number or by talk, and a tenth for what
// clients tell only nearly right.
const dividedFraction = 0.77 * 1.1

// coldCapacity is the work that a cold engine bears within a fall time; below 0: it is not cold. What its pace is between its start
// and warmth is not disclosed; a straight line is what this fleet does. Several routers are held to what it bears at its start,
// all the time: that is the whole which they divide. By the line, three starts that each forgot the one before came to 0.81 to
// 0.94 of it, and were no finding in four hunts.
func (c *dispatchChecker) coldCapacity(engine string, at time.Duration) float64 {
	e := c.Engines[engine]
	age := at - e.Started.Sub(c.Began)
	if e.Started.IsZero() || age < 0 || age > coldTime {
		return -1
	}
	pace := coldFraction + (1-coldFraction)*age.Seconds()/coldTime.Seconds()
	if len(c.Routers) > 1 {
		pace = coldFraction * dividedFraction
	}
	return fallMultiple * pace * cores * fallTime.Seconds()
}

// isRetry: it is not its batch's first dispatch.
func (c *dispatchChecker) isRetry(r standin.Run) bool {
	if c.firstDispatch == nil {
		c.firstDispatch = map[string]time.Time{}
		for _, one := range c.runs {
			if _, seen := c.firstDispatch[one.ID]; !seen {
				c.firstDispatch[one.ID] = one.Began
			}
		}
	}
	return c.firstDispatch[r.ID].Before(r.Began)
}

// retryLimit is what a router may send again within the look-back. It counts at its own times, so batches of a standstill
// before count here too.
func (c *dispatchChecker) retryLimit(router int, at time.Duration) float64 {
	if c.received == nil {
		c.received = make([][]time.Duration, len(c.Routers))
		for _, b := range c.Batches {
			c.received[b.Router] = append(c.received[b.Router], b.WriteBegan)
		}
		for _, t := range c.received {
			slices.Sort(t)
		}
	}
	t := c.received[router]
	n := sort.Search(len(t), func(i int) bool { return t[i] > at })
	return freeRetries + 1 + retryRatio*float64(n-sort.Search(n, func(i int) bool { return t[i] > at-retryWindow-2*maxPause }))
}

// checkBudgets holds what was done to each line of the list.
func (c *dispatchChecker) checkBudgets() {
	for _, b := range budgetKinds {
		told := map[string]bool{}
		c.forEachCharge(b, func(r standin.Run, of string, parts []charge, used, whole float64) {
			if used > whole && !told[of] {
				told[of] = true
				c.found(b.Rule, r, "%s of %s: %.2f %s within %s, and %.2f is the whole; of %s", b.Name, of, used, b.Unit, b.Window, whole, c.describeSpenders(parts))
			}
		})
	}
}

// checkConcurrency holds what reports run at once, over all engines, to what all routers together may have out. Their end is known where an
// engine ended them itself: what was given up was over for its router before, and is left out, as is what came late.
func (c *dispatchChecker) checkConcurrency() {
	if !c.SharedLimits {
		return
	}
	type moment struct {
		at    time.Time
		begin bool
		run   standin.Run
	}
	var moments []moment
	for _, r := range c.runs {
		if r.Group != "report" || r.Step.Action == standin.Reject || r.Canceled || r.Ended.IsZero() || c.linkFaulty(r, c.at(r)-maxTransit, r.Ended.Sub(c.Began)) {
			continue
		}
		moments = append(moments, moment{r.Began, true, r}, moment{r.Ended, false, r})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return a.at.Compare(b.at) })
	out, told := map[string]charge{}, false
	for _, m := range moments {
		of := m.run.Engine + " " + m.run.ID
		if !m.begin {
			delete(out, of)
			continue
		}
		out[of] = charge{c.at(m.run), 1, m.run}
		if len(out) > c.maxConcurrent {
			c.maxConcurrent = len(out)
		}
		if len(out) > maxConcurrentReports && !told {
			told = true
			parts := slices.SortedFunc(maps.Values(out), func(a, b charge) int { return cmp.Compare(a.at, b.at) })
			c.found(7, m.run, "%d reports run at once, and %d may be out of all routers; of %s", len(out), maxConcurrentReports, c.describeSpenders(parts))
		}
	}
}

// MaxConcurrentReports is how many reports ran at once, at the most.
func (r *Result) MaxConcurrentReports() int {
	c := newDispatchChecker(r)
	c.checkConcurrency()
	return c.maxConcurrent
}

// charge is what one run took of a budget.
type charge struct {
	at     time.Duration
	amount float64
	run    standin.Run
}

// describeSpenders tells which starts of routers took how much, and over which time.
func (c *dispatchChecker) describeSpenders(parts []charge) string {
	sums, batches := map[string]float64{}, map[string]int{}
	for _, p := range parts {
		router := c.router(p.run)
		of := c.startName(router, c.incarnation(router, p.at))
		sums[of], batches[of] = sums[of]+p.amount, batches[of]+1
	}
	var out []string
	for _, of := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, fmt.Sprintf("%s %.2f in %d batches", of, sums[of], batches[of]))
	}
	return fmt.Sprintf("%s, from %.3f to %.3f s", strings.Join(out, "; "), parts[0].at.Seconds(), parts[len(parts)-1].at.Seconds())
}

// forEachCharge sums each budget of a kind over its window, run by run.
func (c *dispatchChecker) forEachCharge(b Budget, do func(r standin.Run, of string, parts []charge, used, whole float64)) {
	parts, sums := map[string][]charge{}, map[string]float64{}
	for _, r := range c.runs {
		of, amount := b.Charge(c, r)
		if amount <= 0 {
			continue
		}
		at := c.at(r)
		parts[of], sums[of] = append(parts[of], charge{at, amount, r}), sums[of]+amount
		for parts[of][0].at < at-b.Window {
			sums[of] -= parts[of][0].amount
			parts[of] = parts[of][1:]
		}
		if whole := b.Limit(c, of, at); whole >= 0 {
			do(r, of, parts[of], sums[of], whole)
		}
	}
}

// Usage is how much of a kind of budget was used.
type Usage struct {
	Name       string
	Mean, Max  float64 // of the whole: over all windows that were looked at, and in the fullest
	AllRunning float64 // mean while all routers ran, and
	SomeDown   float64 // while some did not
	Windows    int
}

const usageInterval = 100 * time.Millisecond

// Usages measures each line of the list: what of it was used in windows that end each tenth of a second.
func (r *Result) Usages() (out []Usage) {
	c := newDispatchChecker(r)
	for _, b := range budgetKinds {
		of := b.Instances(c)
		u := Usage{Name: b.Name}
		parts := map[string][]charge{}
		for _, run := range c.runs {
			if of, amount := b.Charge(c, run); amount > 0 {
				parts[of] = append(parts[of], charge{c.at(run), amount, run})
			}
		}
		alive, dead := 0, 0
		for at := b.Window; at <= r.Duration; at += usageInterval {
			for _, of := range of {
				whole := b.Limit(c, of, at)
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
				u.Windows, u.Mean, u.Max = u.Windows+1, u.Mean+share, max(u.Max, share)
				if r.runningRouters(at) == len(r.Routers) {
					alive, u.AllRunning = alive+1, u.AllRunning+share
				} else {
					dead, u.SomeDown = dead+1, u.SomeDown+share
				}
			}
		}
		u.Mean /= float64(max(u.Windows, 1))
		u.AllRunning /= float64(max(alive, 1))
		u.SomeDown /= float64(max(dead, 1))
		out = append(out, u)
	}
	return out
}

// runningRouters counts the routers of which a process ran at a time.
func (r *Result) runningRouters(at time.Duration) (n int) {
	for _, one := range r.Routers {
		if slices.ContainsFunc(one.Incarnations, func(l Incarnation) bool { return l.Began <= at && (l.Ended == 0 || l.Ended > at) }) {
			n++
		}
	}
	return n
}

// ProbeStats is what engines bore of probes.
type ProbeStats struct {
	LongestGap   time.Duration // that an engine which was there went unprobed
	Mean         float64       // probes a second of an engine
	MaxPerSecond int           // of an engine within a second
}

// ProbeStats measures them, of engines that were there for a while.
func (r *Result) ProbeStats() (out ProbeStats) {
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
			if i > 0 && at < r.Duration {
				out.LongestGap = max(out.LongestGap, at-times[i-1])
			}
			n, _ := slices.BinarySearchFunc(times, at+time.Second, func(a, b time.Duration) int { return cmp.Compare(a, b) })
			out.MaxPerSecond = max(out.MaxPerSecond, n-i)
		}
	}
	if seconds > 0 {
		out.Mean = float64(count) / seconds
	}
	return out
}
