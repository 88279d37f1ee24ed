package limits

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Platform is what the platform's settings say, against which routes are proven. The zero value is a platform that is not
// known: what is wrong on any is still found.
type Platform struct {
	Known          bool
	MaxDispatches  int
	AllowsHedging  bool // it allows second copies
	EngineKinds    []string
	Groups         []Group
	Clients        []string
	RetriesLimited bool // further dispatches have a budget:
	FreeRetries    float64
	RetryRatio     float64
	RetryWindow    float64
}

// Group is a service group as far as limits go.
type Group struct {
	Name        string
	Repeatable  bool
	Referenced  bool
	TimeLimit   float64 // seconds
	DedupWindow float64 // of the engines' memory of repeats
	EngineKinds []int   // of engines that it is placed on; nil: any
}

// Finding is something by which a set of routes could break a rule, or could do nothing.
type Finding struct {
	Line    int
	Message string
}

const (
	// MaxDispatches is what no platform lets a batch have more of (rule 2).
	MaxDispatches = 3

	maxSeconds       = 3600
	maxFreeRetries   = 1e6
	minWindow        = 0.1
	minHedgeQuantile = 0.5 // quantile: earlier, and half of all batches would be copied
	maxHedgeQuantile = 0.999
	maxHedgeRatio    = 0.5 // of second copies
	maxInFlight      = 1e6
	minResultBytes   = 1 << 10
)

// Protocols are those that routes may name.
var Protocols = []string{"frames", "tds"}

// Config is what a file holds of limits.
type Config struct {
	Routes                    []*Route
	Budgets                   []*RetryBudget
	ConcurrencyLimits         []*ConcurrencyLimit
	Adaptive                  AdaptiveSettings
	AdaptiveLine              int
	AllRetries, EngineRetries *RetryBudget // of further dispatches of all batches, and to each engine; nil: none
}

// check finds what is wrong with a bound of its own.
func (c *ConcurrencyLimit) check() (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{c.Line, fmt.Sprintf("concurrency %q: ", c.Name) + fmt.Sprintf(format, args...)})
	}
	if !inRange(float64(c.PerEngine), 0, maxInFlight) || !inRange(float64(c.PerRouter), 0, maxInFlight) || !inRange(float64(c.FleetWide), 0, maxInFlight) {
		found("engine, fleet and routers must be whole numbers from 1 to %g", maxInFlight)
	}
	if c.PerEngine == 0 && c.PerRouter == 0 && c.FleetWide == 0 {
		found("it bounds nothing: engine, fleet or routers has to be there")
	}
	if c.FleetWide > 0 && c.PerRouter > c.FleetWide {
		found("%d from this router can't be reached with %d from all", c.PerRouter, c.FleetWide)
	}
	if c.PerRouter > 0 && c.PerEngine > c.PerRouter {
		found("%d at one engine can't be reached with %d in all", c.PerEngine, c.PerRouter)
	}
	if c.PerRouter == 0 && c.FleetWide == 0 && c.OnLimit != QueueBatch {
		found("what happens at the bound is told by that of the fleet, which is not there")
	}
	return out
}

// check finds what is wrong with adaptive limits.
func (s AdaptiveSettings) check(line int) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{line, "adaptive: " + fmt.Sprintf(format, args...)})
	}
	if s == (AdaptiveSettings{}) {
		return nil
	}
	if AdaptiveKinds[s.Kind] == nil {
		found("%q is no kind; there are %s", s.Kind, strings.Join(slices.Sorted(maps.Keys(AdaptiveKinds)), ", "))
	}
	u := s.withDefaults()
	if !inRange(u.Min, 1, maxInFlight) || !inRange(u.Max, u.Min, maxInFlight) || !inRange(u.Initial, u.Min, u.Max) {
		found("least, first and most must be from 1 to %g and in that order, not %g, %g and %g", maxInFlight, u.Min, u.Initial, u.Max)
	}
	if !inRange(u.MaxSlowdown, 1.1, 100) {
		found("stretch must be from 1.1 to 100 times the time alone, not %g", u.MaxSlowdown)
	}
	return out
}

// Check finds all that is wrong with a set, each as a sentence.
func Check(set Config, p Platform) (out []Finding) {
	routes, budgets := set.Routes, slices.Clone(set.Budgets)
	for _, b := range []*RetryBudget{set.AllRetries, set.EngineRetries} {
		if b != nil {
			budgets = append(budgets, b)
		}
	}
	for _, c := range set.ConcurrencyLimits {
		out = append(out, c.check()...)
	}
	out = append(out, set.Adaptive.check(set.AdaptiveLine)...)
	for _, b := range budgets {
		found := func(format string, args ...any) {
			out = append(out, Finding{b.Line, fmt.Sprintf("budget %q: ", b.Name) + fmt.Sprintf(format, args...)})
		}
		if !inRange(b.FreeRetries, 0, maxFreeRetries) || !inRange(b.RetryRatio, 0, 1) {
			found("rule 7: free must be from 0 to %g and share from 0 to 1 (0.1 is a tenth), not %g and %g", maxFreeRetries, b.FreeRetries, b.RetryRatio)
		}
		if !inRange(b.Window, minWindow, maxSeconds) {
			found("its window must be from %gs to %gs", minWindow, float64(maxSeconds))
		}
		if b.FleetWide && b.FreeRetries < 1 {
			found("fleet says that all routers divide the free ones, and %g is none", b.FreeRetries)
		}
		if p.RetriesLimited && (b.FreeRetries > p.FreeRetries && !b.FleetWide || b.RetryRatio > p.RetryRatio) { // all routers' are bounded by each one's besides
			found("rule 7: it gives more further dispatches than the platform's budget (%g and a share of %g)", p.FreeRetries, p.RetryRatio)
		}
	}
	names := map[string]bool{}
	for i, r := range routes {
		out = append(out, r.check(p)...)
		if r.Name == "" || names[r.Name] {
			out = append(out, Finding{r.Line, fmt.Sprintf("route %q: it needs a name that no other has", r.Name)})
		}
		names[r.Name] = true
		for _, o := range routes[:i] {
			if o.specificity() == r.specificity() && canBothMatch(o.Pattern, r.Pattern) {
				out = append(out, Finding{r.Line, fmt.Sprintf("route %q: it is as exact as route %q (line %d), and a batch could match both: %s, and %s",
					r.Name, o.Name, o.Line, r.Pattern, o.Pattern)})
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return a.Line - b.Line })
	return out
}

func inRange(v, least, most float64) bool { return v >= least && v <= most && !math.IsNaN(v) }

func (r *Route) check(p Platform) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{r.Line, fmt.Sprintf("route %q: ", r.Name) + fmt.Sprintf(format, args...)})
	}
	most := MaxDispatches
	if p.Known {
		most = min(most, p.MaxDispatches)
	}
	if r.MaxDispatches < 0 || r.MaxDispatches > most {
		found("rule 2: %d dispatches, and a batch may have from 1 to %d", r.MaxDispatches, most)
	}
	if !inRange(r.Timeout, 0, maxSeconds) {
		found("its time-out must be from 0 to %ds", maxSeconds)
	}
	if !inRange(r.RetryDelay, 0, maxSeconds) || !inRange(r.Jitter, 0, 1) {
		found("its pause must be from 0 to %ds, and the jitter a share from 0 to 1", maxSeconds)
	}
	if c := r.Pattern.Protocol; c != "" && !slices.ContainsFunc(Protocols, func(one string) bool { return matchWildcard(c, one) }) {
		found("it can never match: there is no protocol %q; there are %s", c, strings.Join(Protocols, " and "))
	}
	if c := r.Pattern.DataSet; c != "" && !hasWildcard(c) {
		if n, err := strconv.Atoi(c); err != nil || n < 0 || strconv.Itoa(n) != c {
			found("it can never match: %q is not the number of a data set", c)
		}
	}
	if (r.Pattern.Login != "" || r.Pattern.Application != "") && r.Pattern.Protocol == "frames" {
		found("it can never match: frames tell no login and no application")
	}
	if c := r.Hedging; c != nil {
		if !inRange(c.AfterQuantile, minHedgeQuantile, maxHedgeQuantile) {
			found("copies are sent after a quantile from %g to %g, not %g", minHedgeQuantile, maxHedgeQuantile, c.AfterQuantile)
		}
		if !(c.MaxRatio > 0) || !inRange(c.MaxRatio, 0, maxHedgeRatio) {
			found("the share of second copies must be above 0 and at most %g (0.05 is one in twenty), not %g", maxHedgeRatio, c.MaxRatio)
		}
		if r.MaxDispatches == 1 {
			found("rule 2: a second copy is a second dispatch, and it allows one")
		}
	}
	if r.MaxResultBytes != 0 && !inRange(r.MaxResultBytes, minResultBytes, math.MaxInt32) {
		found("a result must be allowed from %d bytes to 2GB", minResultBytes)
	}
	for i, k := range r.EngineKinds {
		if k == "" || slices.Contains(r.EngineKinds[:i], k) {
			found("the kind of engine %q is empty or there twice", k)
		}
	}
	if r.EngineKinds != nil && len(r.EngineKinds) == 0 {
		found("rule 1: it allows no kind of engine, so its batches could go nowhere; leave engines out for any")
	}
	if !p.Known {
		return out
	}
	if r.Hedging != nil && !p.AllowsHedging {
		found("rule 2: the platform allows no second copies")
	}
	if c := r.Hedging; c != nil && p.RetriesLimited && c.MaxRatio > p.RetryRatio {
		found("rule 7: second copies are further dispatches, and a share of %g is above the platform's budget (%g and a share of %g)", c.MaxRatio, p.FreeRetries, p.RetryRatio)
	}
	for _, k := range r.EngineKinds {
		if !slices.Contains(p.EngineKinds, k) {
			found("there is no kind of engine %q; the platform has %s", k, strings.Join(p.EngineKinds, ", "))
		}
	}
	groups := 0
	for _, g := range p.Groups {
		if r.Pattern.Group != "" && !matchWildcard(r.Pattern.Group, g.Name) {
			continue
		}
		groups++
		out = append(out, r.checkGroup(g, p)...)
	}
	if groups == 0 {
		found("it can never match: there is no service group %q", r.Pattern.Group)
	}
	if c := r.Pattern.Client; c != "" && !slices.ContainsFunc(p.Clients, func(one string) bool { return matchWildcard(c, one) }) {
		found("it can never match: there is no client %q", c)
	}
	return out
}

// checkGroup proves a route for one group.
func (r *Route) checkGroup(g Group, p Platform) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{r.Line, fmt.Sprintf("route %q, group %q: ", r.Name, g.Name) + fmt.Sprintf(format, args...)})
	}
	if r.Hedging != nil && !g.Repeatable {
		found("rule 2: the effect of a second copy could come twice; only what is repeatable may have one")
	}
	if r.Hedging != nil && r.DispatchLimit(p.MaxDispatches) < 2 {
		found("rule 2: a second copy is a second dispatch, and a batch may have %d", r.DispatchLimit(p.MaxDispatches))
	}
	if g.EngineKinds != nil && r.EngineKinds != nil && !slices.ContainsFunc(g.EngineKinds, func(k int) bool {
		return k >= 0 && k < len(p.EngineKinds) && slices.Contains(r.EngineKinds, p.EngineKinds[k])
	}) {
		found("rule 6: none of the kinds of engine that it names is one on which the group is placed, so its batches could go nowhere")
	}
	most := r.DispatchLimit(p.MaxDispatches)
	longest := r.RetryDelay * (1 + r.Jitter)
	if r.Timeout > 0 && !g.Repeatable && !g.Referenced {
		found("rule 2: a time-out of a once-only batch only loses its answer, for it can't be sent again")
	}
	if r.Timeout > 0 {
		if all := float64(most)*r.Timeout + float64(most-1)*longest; all > g.TimeLimit {
			found("rule 1: %d time-outs of %gs with the pauses between them take %gs, and clients wait %gs", most, r.Timeout, all, g.TimeLimit)
		} else if g.Referenced && all > g.DedupWindow {
			found("rule 2: %d time-outs of %gs with the pauses take %gs, and engines remember repeats for %gs", most, r.Timeout, all, g.DedupWindow)
		}
	}
	if longest >= g.TimeLimit && most > 1 {
		found("rule 1: a pause of up to %gs leaves no time for another dispatch in %gs", longest, g.TimeLimit)
	} else if g.Referenced && longest >= g.DedupWindow && most > 1 {
		found("rule 2: a pause of up to %gs outlasts the %gs for which engines remember repeats", longest, g.DedupWindow)
	}
	return out
}

// canBothMatch tells whether a batch could match both. Two patterns are taken to overlap unless their plain beginnings or
// ends differ: rather one error too many than a route that wins by chance.
func canBothMatch(a, b Fields) bool {
	bs := b.values()
	for i, x := range a.values() {
		if !patternsOverlap(x, bs[i]) {
			return false
		}
	}
	return true
}

func patternsOverlap(x, y string) bool {
	switch {
	case x == "" || y == "":
		return true
	case !hasWildcard(x) && !hasWildcard(y):
		return x == y
	case !hasWildcard(x):
		return matchWildcard(y, x)
	case !hasWildcard(y):
		return matchWildcard(x, y)
	}
	for i := 0; i < len(x) && i < len(y) && x[i] != '*' && y[i] != '*'; i++ {
		if x[i] != y[i] {
			return false
		}
	}
	for i := 1; i <= len(x) && i <= len(y) && x[len(x)-i] != '*' && y[len(y)-i] != '*'; i++ {
		if x[len(x)-i] != y[len(y)-i] {
			return false
		}
	}
	return true
}
