package limits

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Platform holds the settings of the platform that limits are checked against. The zero value stands for an unknown platform:
// Check then finds only what is wrong on every platform.
type Platform struct {
	Known          bool
	MaxDispatches  int  // per batch, including the first
	AllowsHedging  bool // batches may have hedges
	EngineKinds    []string
	Groups         []Group
	Clients        []string
	RetriesLimited bool    // the platform has a retry budget, which the next three fields describe
	FreeRetries    float64 // retries per window however few batches are taken
	RetryRatio     float64 // retries per batch taken, 0 to 1
	RetryWindow    float64 // seconds
}

// Group holds the properties of a service group that limits are checked against. A group whose batches are neither
// Repeatable nor Referenced never has them sent again.
type Group struct {
	Name        string
	Repeatable  bool    // running a batch twice has the same effect as running it once
	Referenced  bool    // engines drop repeats of a batch, which they recognise by its reference
	TimeLimit   float64 // seconds that clients wait
	DedupWindow float64 // seconds for which engines remember a batch to drop its repeats
	EngineKinds []int   // indexes in Platform.EngineKinds that the group is placed on; nil: any
}

// Finding is an error in the limits: by it they could break one of the router's rules, or have no effect.
type Finding struct {
	Line    int // in the settings file
	Message string
}

const (
	// MaxDispatches is the largest number of dispatches that any platform allows a batch (rule 2).
	MaxDispatches = 3

	maxSeconds       = 3600 // for every time in these settings
	maxFreeRetries   = 1e6
	minWindow        = 0.1 // seconds
	minHedgeQuantile = 0.5 // with a lower quantile more than half of all batches would be hedged
	maxHedgeQuantile = 0.999
	maxHedgeRatio    = 0.5
	maxInFlight      = 1e6
	minResultBytes   = 1 << 10
)

// Protocols are the client protocols that routes may name.
var Protocols = []string{"frames", "tds"}

// Config holds all limits of a settings file.
type Config struct {
	Routes            []*Route
	Budgets           []*RetryBudget
	ConcurrencyLimits []*ConcurrencyLimit
	Adaptive          AdaptiveSettings
	AdaptiveLine      int          // line of Adaptive in the settings file
	AllRetries        *RetryBudget // of all batches; nil: no limit
	EngineRetries     *RetryBudget // to each engine; nil: no limit
}

// check finds errors in one concurrency limit.
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

// check finds errors in the settings of adaptive limits. line is where they stand in the settings file.
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
	full := s.withDefaults()
	if !inRange(full.Min, 1, maxInFlight) || !inRange(full.Max, full.Min, maxInFlight) || !inRange(full.Initial, full.Min, full.Max) {
		found("least, first and most must be from 1 to %g and in that order, not %g, %g and %g", maxInFlight, full.Min, full.Initial, full.Max)
	}
	if !inRange(full.MaxSlowdown, 1.1, 100) {
		found("stretch must be from 1.1 to 100 times the time alone, not %g", full.MaxSlowdown)
	}
	return out
}

// Check returns all errors in the limits of a file, sorted by line, each as a sentence for operators.
func Check(config Config, p Platform) (out []Finding) {
	routes, budgets := config.Routes, slices.Clone(config.Budgets)
	for _, b := range []*RetryBudget{config.AllRetries, config.EngineRetries} {
		if b != nil {
			budgets = append(budgets, b)
		}
	}
	for _, c := range config.ConcurrencyLimits {
		out = append(out, c.check()...)
	}
	out = append(out, config.Adaptive.check(config.AdaptiveLine)...)
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
		// The free retries of a fleet-wide budget may exceed the platform's, which limits each router's part besides.
		if p.RetriesLimited && (b.FreeRetries > p.FreeRetries && !b.FleetWide || b.RetryRatio > p.RetryRatio) {
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
		for _, earlier := range routes[:i] {
			if earlier.specificity() == r.specificity() && canBothMatch(earlier.Pattern, r.Pattern) {
				out = append(out, Finding{r.Line, fmt.Sprintf("route %q: it is as exact as route %q (line %d), and a batch could match both: %s, and %s",
					r.Name, earlier.Name, earlier.Line, r.Pattern, earlier.Pattern)})
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return a.Line - b.Line })
	return out
}

func inRange(v, least, most float64) bool { return v >= least && v <= most && !math.IsNaN(v) }

// check finds errors in one route.
func (r *Route) check(p Platform) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{r.Line, fmt.Sprintf("route %q: ", r.Name) + fmt.Sprintf(format, args...)})
	}
	maxDispatches := MaxDispatches
	if p.Known {
		maxDispatches = min(maxDispatches, p.MaxDispatches)
	}
	if r.MaxDispatches < 0 || r.MaxDispatches > maxDispatches {
		found("rule 2: %d dispatches, and a batch may have from 1 to %d", r.MaxDispatches, maxDispatches)
	}
	if !inRange(r.Timeout, 0, maxSeconds) {
		found("its time-out must be from 0 to %ds", maxSeconds)
	}
	if !inRange(r.RetryDelay, 0, maxSeconds) || !inRange(r.Jitter, 0, 1) {
		found("its pause must be from 0 to %ds, and the jitter a share from 0 to 1", maxSeconds)
	}
	if protocol := r.Pattern.Protocol; protocol != "" && !slices.ContainsFunc(Protocols, func(known string) bool { return matchWildcard(protocol, known) }) {
		found("it can never match: there is no protocol %q; there are %s", protocol, strings.Join(Protocols, " and "))
	}
	if number := r.Pattern.DataSet; number != "" && !hasWildcard(number) {
		if n, err := strconv.Atoi(number); err != nil || n < 0 || strconv.Itoa(n) != number {
			found("it can never match: %q is not the number of a data set", number)
		}
	}
	if (r.Pattern.Login != "" || r.Pattern.Application != "") && r.Pattern.Protocol == "frames" {
		found("it can never match: frames tell no login and no application")
	}
	if h := r.Hedging; h != nil {
		if !inRange(h.AfterQuantile, minHedgeQuantile, maxHedgeQuantile) {
			found("copies are sent after a quantile from %g to %g, not %g", minHedgeQuantile, maxHedgeQuantile, h.AfterQuantile)
		}
		if !(h.MaxRatio > 0) || !inRange(h.MaxRatio, 0, maxHedgeRatio) {
			found("the share of second copies must be above 0 and at most %g (0.05 is one in twenty), not %g", maxHedgeRatio, h.MaxRatio)
		}
		if r.MaxDispatches == 1 {
			found("rule 2: a second copy is a second dispatch, and it allows one")
		}
	}
	if r.MaxResultBytes != 0 && !inRange(r.MaxResultBytes, minResultBytes, math.MaxInt32) {
		found("a result must be allowed from %d bytes to 2GB", minResultBytes)
	}
	for i, kind := range r.EngineKinds {
		if kind == "" || slices.Contains(r.EngineKinds[:i], kind) {
			found("the kind of engine %q is empty or there twice", kind)
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
	if h := r.Hedging; h != nil && p.RetriesLimited && h.MaxRatio > p.RetryRatio {
		found("rule 7: second copies are further dispatches, and a share of %g is above the platform's budget (%g and a share of %g)", h.MaxRatio, p.FreeRetries, p.RetryRatio)
	}
	for _, kind := range r.EngineKinds {
		if !slices.Contains(p.EngineKinds, kind) {
			found("there is no kind of engine %q; the platform has %s", kind, strings.Join(p.EngineKinds, ", "))
		}
	}
	matchingGroups := 0
	for _, g := range p.Groups {
		if r.Pattern.Group != "" && !matchWildcard(r.Pattern.Group, g.Name) {
			continue
		}
		matchingGroups++
		out = append(out, r.checkGroup(g, p)...)
	}
	if matchingGroups == 0 {
		found("it can never match: there is no service group %q", r.Pattern.Group)
	}
	if client := r.Pattern.Client; client != "" && !slices.ContainsFunc(p.Clients, func(known string) bool { return matchWildcard(client, known) }) {
		found("it can never match: there is no client %q", client)
	}
	return out
}

// checkGroup finds errors that a route has for the batches of one service group.
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
	dispatches := r.DispatchLimit(p.MaxDispatches)
	maxDelay := r.RetryDelay * (1 + r.Jitter)
	if r.Timeout > 0 && !g.Repeatable && !g.Referenced {
		found("rule 2: a time-out of a once-only batch only loses its answer, for it can't be sent again")
	}
	if r.Timeout > 0 {
		if total := float64(dispatches)*r.Timeout + float64(dispatches-1)*maxDelay; total > g.TimeLimit {
			found("rule 1: %d time-outs of %gs with the pauses between them take %gs, and clients wait %gs", dispatches, r.Timeout, total, g.TimeLimit)
		} else if g.Referenced && total > g.DedupWindow {
			found("rule 2: %d time-outs of %gs with the pauses take %gs, and engines remember repeats for %gs", dispatches, r.Timeout, total, g.DedupWindow)
		}
	}
	if maxDelay >= g.TimeLimit && dispatches > 1 {
		found("rule 1: a pause of up to %gs leaves no time for another dispatch in %gs", maxDelay, g.TimeLimit)
	} else if g.Referenced && maxDelay >= g.DedupWindow && dispatches > 1 {
		found("rule 2: a pause of up to %gs outlasts the %gs for which engines remember repeats", maxDelay, g.DedupWindow)
	}
	return out
}

// canBothMatch reports whether a batch could match the patterns of both a and b.
func canBothMatch(a, b Fields) bool {
	bs := b.values()
	for i, x := range a.values() {
		if !patternsOverlap(x, bs[i]) {
			return false
		}
	}
	return true
}

// patternsOverlap reports whether a text could match both patterns. Two patterns with wildcards count as overlapping unless
// the parts before their first or after their last * differ. That may report a conflict that cannot arise, which is better
// than a route that is chosen by its place in the file.
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
