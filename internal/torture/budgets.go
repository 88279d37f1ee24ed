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

// Budget is a resource of which all routers together may use only a limited amount per window. The checker sums what
// arrived at the stand-in engines. Each budget is an entry of budgetKinds.
type Budget struct {
	Name   string
	Unit   string // of the amounts, for findings
	Rule   int    // that an excess violates
	Window time.Duration
	// Charge returns the amount that a dispatch uses, and of which instance of the budget; 0: nothing.
	Charge func(c *dispatchChecker, r standin.Run) (of string, amount float64)
	// Instances lists the instances of the budget that the scenario had.
	Instances func(c *dispatchChecker) []string
	// Limit is the amount that may be used within the window that ends at a time; below 0: the budget does not apply
	// then.
	Limit func(c *dispatchChecker, of string, at time.Duration) float64
}

// budgetKinds lists all budgets of the fleet. Usages measures the same list.
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

// startName names a start of a router and records which router it belongs to.
func (c *dispatchChecker) startName(router, incarnation int) string {
	name := fmt.Sprintf("%s, start %d", c.Routers[router].Name, incarnation)
	c.routerByStart[name] = router
	return name
}

// dividedFraction is the fraction of a starting engine's capacity that routers divide among themselves (0.77, whether
// by their number or by quota), plus a tenth because clients declare the work of a batch only approximately.
const dividedFraction = 0.77 * 1.1

// coldCapacity is the work in seconds that a cold engine can take within fallTime; below 0: the engine is not cold. How
// an engine's speed grows between its start and its full speed is not specified; this fleet uses a straight line.
// Several routers must not exceed the capacity at the start for the whole cold period, because that is the total which
// they divide. Against the straight line, three successive starts that each forgot what the one before had sent reached
// 0.81 to 0.94 of the limit and went unnoticed in four defect searches.
func (c *dispatchChecker) coldCapacity(engine string, at time.Duration) float64 {
	e := c.Engines[engine]
	age := at - e.Started.Sub(c.Began)
	if e.Started.IsZero() || age < 0 || age > coldTime {
		return -1
	}
	speed := coldFraction + (1-coldFraction)*age.Seconds()/coldTime.Seconds()
	if len(c.Routers) > 1 {
		speed = coldFraction * dividedFraction
	}
	return fallMultiple * speed * cores * fallTime.Seconds()
}

// isRetry reports whether a dispatch is not the first one of its batch.
func (c *dispatchChecker) isRetry(r standin.Run) bool {
	if c.firstDispatch == nil {
		c.firstDispatch = map[string]time.Time{}
		for _, run := range c.runs {
			if _, seen := c.firstDispatch[run.ID]; !seen {
				c.firstDispatch[run.ID] = run.Began
			}
		}
	}
	return c.firstDispatch[r.ID].Before(r.Began)
}

// retryLimit is the number of retries that a router may send within retryWindow. A router counts batches when it reads
// them, so batches that were written during an earlier pause are counted as well.
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

// checkBudgets compares the use of each budget with its limit and reports each instance once.
func (c *dispatchChecker) checkBudgets() {
	for _, b := range budgetKinds {
		reported := map[string]bool{}
		c.forEachCharge(b, func(r standin.Run, instance string, charges []charge, used, limit float64) {
			if used > limit && !reported[instance] {
				reported[instance] = true
				c.found(b.Rule, r, "%s of %s: %.2f %s within %s exceed the limit of %.2f; used by %s", b.Name, instance,
					used, b.Unit, b.Window, limit, c.describeSpenders(charges))
			}
		})
	}
}

// checkConcurrency compares the number of reports that run at once on all engines with what all routers together may
// have in progress. Only reports that their engine finished are counted: a cancelled one was over for its router
// earlier, and one from a faulty link may be late.
func (c *dispatchChecker) checkConcurrency() {
	if !c.SharedLimits {
		return
	}
	type event struct {
		at    time.Time
		begin bool
		run   standin.Run
	}
	var events []event
	for _, r := range c.runs {
		if r.Group != "report" || r.Step.Action == standin.Reject || r.Canceled || r.Ended.IsZero() ||
			c.linkFaulty(r, c.at(r)-maxTransit, r.Ended.Sub(c.Began)) {
			continue
		}
		events = append(events, event{r.Began, true, r}, event{r.Ended, false, r})
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	running, reported := map[string]charge{}, false
	for _, e := range events {
		id := e.run.Engine + " " + e.run.ID
		if !e.begin {
			delete(running, id)
			continue
		}
		running[id] = charge{c.at(e.run), 1, e.run}
		if len(running) > c.maxConcurrent {
			c.maxConcurrent = len(running)
		}
		if len(running) > maxConcurrentReports && !reported {
			reported = true
			charges := slices.SortedFunc(maps.Values(running), func(a, b charge) int { return cmp.Compare(a.at, b.at) })
			c.found(7, e.run, "%d reports run at once, and %d may be out of all routers; of %s", len(running),
				maxConcurrentReports, c.describeSpenders(charges))
		}
	}
}

// MaxConcurrentReports is the largest number of reports that ran at once.
func (r *Result) MaxConcurrentReports() int {
	c := newDispatchChecker(r)
	c.checkConcurrency()
	return c.maxConcurrent
}

// charge is the amount that one dispatch used of a budget.
type charge struct {
	at     time.Duration
	amount float64
	run    standin.Run
}

// describeSpenders lists how much each start of a router used, and in which interval.
func (c *dispatchChecker) describeSpenders(charges []charge) string {
	sums, batches := map[string]float64{}, map[string]int{}
	for _, p := range charges {
		router := c.router(p.run)
		start := c.startName(router, c.incarnation(router, p.at))
		sums[start], batches[start] = sums[start]+p.amount, batches[start]+1
	}
	var out []string
	for _, start := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, fmt.Sprintf("%s %.2f in %d batches", start, sums[start], batches[start]))
	}
	return fmt.Sprintf("%s, from %.3f to %.3f s", strings.Join(out, "; "), charges[0].at.Seconds(), charges[len(charges)-1].at.Seconds())
}

// forEachCharge sums each instance of a budget over its window and calls do for each dispatch.
func (c *dispatchChecker) forEachCharge(b Budget, do func(r standin.Run, instance string, charges []charge, used, limit float64)) {
	charges, sums := map[string][]charge{}, map[string]float64{}
	for _, r := range c.runs {
		instance, amount := b.Charge(c, r)
		if amount <= 0 {
			continue
		}
		at := c.at(r)
		charges[instance], sums[instance] = append(charges[instance], charge{at, amount, r}), sums[instance]+amount
		for charges[instance][0].at < at-b.Window {
			sums[instance] -= charges[instance][0].amount
			charges[instance] = charges[instance][1:]
		}
		if limit := b.Limit(c, instance, at); limit >= 0 {
			do(r, instance, charges[instance], sums[instance], limit)
		}
	}
}

// Usage is the used fraction of a budget.
type Usage struct {
	Name       string
	Mean, Max  float64 // fraction of the limit: over all measured windows, and in the fullest
	AllRunning float64 // mean while all routers ran
	SomeDown   float64 // mean while some did not run
	Windows    int
}

// usageInterval is the time between the ends of two measured windows.
const usageInterval = 100 * time.Millisecond

// Usages measures each budget of budgetKinds in windows that end every usageInterval.
func (r *Result) Usages() (out []Usage) {
	c := newDispatchChecker(r)
	for _, b := range budgetKinds {
		of := b.Instances(c)
		u := Usage{Name: b.Name}
		charges := map[string][]charge{}
		for _, run := range c.runs {
			if of, amount := b.Charge(c, run); amount > 0 {
				charges[of] = append(charges[of], charge{c.at(run), amount, run})
			}
		}
		allRunning, someDown := 0, 0
		for at := b.Window; at <= r.Duration; at += usageInterval {
			for _, of := range of {
				limit := b.Limit(c, of, at)
				if limit < 0 {
					continue
				}
				used := 0.0
				for _, p := range charges[of] {
					if p.at > at-b.Window && p.at <= at {
						used += p.amount
					}
				}
				share := used / limit
				u.Windows, u.Mean, u.Max = u.Windows+1, u.Mean+share, max(u.Max, share)
				if r.runningRouters(at) == len(r.Routers) {
					allRunning, u.AllRunning = allRunning+1, u.AllRunning+share
				} else {
					someDown, u.SomeDown = someDown+1, u.SomeDown+share
				}
			}
		}
		u.Mean /= float64(max(u.Windows, 1))
		u.AllRunning /= float64(max(allRunning, 1))
		u.SomeDown /= float64(max(someDown, 1))
		out = append(out, u)
	}
	return out
}

// runningRouters counts the routers that had a running process at a time.
func (r *Result) runningRouters(at time.Duration) (n int) {
	for _, one := range r.Routers {
		if slices.ContainsFunc(one.Incarnations, func(l Incarnation) bool { return l.Began <= at && (l.Ended == 0 || l.Ended > at) }) {
			n++
		}
	}
	return n
}

// ProbeStats is the probe load of the engines.
type ProbeStats struct {
	LongestGap   time.Duration // longest time in which an engine that was there received no probe
	Mean         float64       // probes per second and engine
	MaxPerSecond int           // most probes that an engine received within a second
}

// ProbeStats measures the probe load of the engines that were probed for at least two seconds.
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
