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
	Known      bool
	Dispatches int
	Copies     bool // it allows second copies
	Kinds      []string
	Groups     []Group
	Clients    []string
	Rationed   bool // further dispatches have a budget:
	Free       float64
	Share      float64
	Window     float64
}

// Group is a service group as far as limits go.
type Group struct {
	Name       string
	Repeatable bool
	Referenced bool
	Limit      float64 // seconds
	Window     float64 // of the engines' memory of repeats
	Kinds      []int   // of engines that it is placed on; nil: any
}

// Finding is something by which a set of routes could break a rule, or could do nothing.
type Finding struct {
	Line int
	Text string
}

const (
	// MostDispatches is what no platform lets a batch have more of (rule 2).
	MostDispatches = 3

	mostPause   = 3600
	mostNumber  = 1e6
	leastWindow = 0.1
	leastAfter  = 0.5 // quantile: earlier, and half of all batches would be copied
	mostAfter   = 0.999
	mostShare   = 0.5 // of second copies
	mostOut     = 1e6
	leastResult = 1 << 10
)

// Protocols are those that routes may name.
var Protocols = []string{"frames", "tds"}

// Set is what a file holds of limits.
type Set struct {
	Routes        []*Route
	Budgets       []*Budget
	Concurrencies []*Concurrency
	Adaptive      AdaptiveSettings
	AdaptiveLine  int
	All, Engine   *Budget // of further dispatches of all batches, and to each engine; nil: none
}

// check finds what is wrong with a bound of its own.
func (c *Concurrency) check() (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{c.Line, fmt.Sprintf("concurrency %q: ", c.Name) + fmt.Sprintf(format, args...)})
	}
	if !within(float64(c.Engine), 0, mostOut) || !within(float64(c.Fleet), 0, mostOut) || !within(float64(c.Routers), 0, mostOut) {
		found("engine, fleet and routers must be whole numbers from 1 to %g", mostOut)
	}
	if c.Engine == 0 && c.Fleet == 0 && c.Routers == 0 {
		found("it bounds nothing: engine, fleet or routers has to be there")
	}
	if c.Routers > 0 && c.Fleet > c.Routers {
		found("%d from this router can't be reached with %d from all", c.Fleet, c.Routers)
	}
	if c.Fleet > 0 && c.Engine > c.Fleet {
		found("%d at one engine can't be reached with %d in all", c.Engine, c.Fleet)
	}
	if c.Fleet == 0 && c.Routers == 0 && c.AtBound != Wait {
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
	u := s.usual()
	if !within(u.Least, 1, mostOut) || !within(u.Most, u.Least, mostOut) || !within(u.First, u.Least, u.Most) {
		found("least, first and most must be from 1 to %g and in that order, not %g, %g and %g", mostOut, u.Least, u.First, u.Most)
	}
	if !within(u.Stretch, 1.1, 100) {
		found("stretch must be from 1.1 to 100 times the time alone, not %g", u.Stretch)
	}
	return out
}

// Check finds all that is wrong with a set, each as a sentence.
func Check(set Set, p Platform) (out []Finding) {
	routes, budgets := set.Routes, slices.Clone(set.Budgets)
	for _, b := range []*Budget{set.All, set.Engine} {
		if b != nil {
			budgets = append(budgets, b)
		}
	}
	for _, c := range set.Concurrencies {
		out = append(out, c.check()...)
	}
	out = append(out, set.Adaptive.check(set.AdaptiveLine)...)
	for _, b := range budgets {
		found := func(format string, args ...any) {
			out = append(out, Finding{b.Line, fmt.Sprintf("budget %q: ", b.Name) + fmt.Sprintf(format, args...)})
		}
		if !within(b.Free, 0, mostNumber) || !within(b.Share, 0, 1) {
			found("rule 7: free must be from 0 to %g and share from 0 to 1 (0.1 is a tenth), not %g and %g", mostNumber, b.Free, b.Share)
		}
		if !within(b.Window, leastWindow, mostPause) {
			found("its window must be from %gs to %gs", leastWindow, float64(mostPause))
		}
		if b.Fleet && b.Free < 1 {
			found("fleet says that all routers divide the free ones, and %g is none", b.Free)
		}
		if p.Rationed && (b.Free > p.Free && !b.Fleet || b.Share > p.Share) { // all routers' are bounded by each one's besides
			found("rule 7: it gives more further dispatches than the platform's budget (%g and a share of %g)", p.Free, p.Share)
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
			if o.exactness() == r.exactness() && overlap(o.Match, r.Match) {
				out = append(out, Finding{r.Line, fmt.Sprintf("route %q: it is as exact as route %q (line %d), and a batch could match both: %s, and %s",
					r.Name, o.Name, o.Line, r.Match, o.Match)})
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return a.Line - b.Line })
	return out
}

func within(v, least, most float64) bool { return v >= least && v <= most && !math.IsNaN(v) }

func (r *Route) check(p Platform) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{r.Line, fmt.Sprintf("route %q: ", r.Name) + fmt.Sprintf(format, args...)})
	}
	most := MostDispatches
	if p.Known {
		most = min(most, p.Dispatches)
	}
	if r.Dispatches < 0 || r.Dispatches > most {
		found("rule 2: %d dispatches, and a batch may have from 1 to %d", r.Dispatches, most)
	}
	if !within(r.Timeout, 0, mostPause) {
		found("its time-out must be from 0 to %ds", mostPause)
	}
	if !within(r.Pause, 0, mostPause) || !within(r.Jitter, 0, 1) {
		found("its pause must be from 0 to %ds, and the jitter a share from 0 to 1", mostPause)
	}
	if c := r.Match.Protocol; c != "" && !slices.ContainsFunc(Protocols, func(one string) bool { return matches(c, one) }) {
		found("it can never match: there is no protocol %q; there are %s", c, strings.Join(Protocols, " and "))
	}
	if c := r.Match.DataSet; c != "" && !glob(c) {
		if n, err := strconv.Atoi(c); err != nil || n < 0 || strconv.Itoa(n) != c {
			found("it can never match: %q is not the number of a data set", c)
		}
	}
	if (r.Match.Login != "" || r.Match.Application != "") && r.Match.Protocol == "frames" {
		found("it can never match: frames tell no login and no application")
	}
	if c := r.Copies; c != nil {
		if !within(c.After, leastAfter, mostAfter) {
			found("copies are sent after a quantile from %g to %g, not %g", leastAfter, mostAfter, c.After)
		}
		if !(c.Share > 0) || !within(c.Share, 0, mostShare) {
			found("the share of second copies must be above 0 and at most %g (0.05 is one in twenty), not %g", mostShare, c.Share)
		}
		if r.Dispatches == 1 {
			found("rule 2: a second copy is a second dispatch, and it allows one")
		}
	}
	if r.MostResult != 0 && !within(r.MostResult, leastResult, math.MaxInt32) {
		found("a result must be allowed from %d bytes to 2GB", leastResult)
	}
	for i, k := range r.KindNames {
		if k == "" || slices.Contains(r.KindNames[:i], k) {
			found("the kind of engine %q is empty or there twice", k)
		}
	}
	if r.KindNames != nil && len(r.KindNames) == 0 {
		found("rule 1: it allows no kind of engine, so its batches could go nowhere; leave engines out for any")
	}
	if !p.Known {
		return out
	}
	if r.Copies != nil && !p.Copies {
		found("rule 2: the platform allows no second copies")
	}
	if c := r.Copies; c != nil && p.Rationed && c.Share > p.Share {
		found("rule 7: second copies are further dispatches, and a share of %g is above the platform's budget (%g and a share of %g)", c.Share, p.Free, p.Share)
	}
	for _, k := range r.KindNames {
		if !slices.Contains(p.Kinds, k) {
			found("there is no kind of engine %q; the platform has %s", k, strings.Join(p.Kinds, ", "))
		}
	}
	groups := 0
	for _, g := range p.Groups {
		if r.Match.Group != "" && !matches(r.Match.Group, g.Name) {
			continue
		}
		groups++
		out = append(out, r.against(g, p)...)
	}
	if groups == 0 {
		found("it can never match: there is no service group %q", r.Match.Group)
	}
	if c := r.Match.Client; c != "" && !slices.ContainsFunc(p.Clients, func(one string) bool { return matches(c, one) }) {
		found("it can never match: there is no client %q", c)
	}
	return out
}

// against proves a route for one group.
func (r *Route) against(g Group, p Platform) (out []Finding) {
	found := func(format string, args ...any) {
		out = append(out, Finding{r.Line, fmt.Sprintf("route %q, group %q: ", r.Name, g.Name) + fmt.Sprintf(format, args...)})
	}
	if r.Copies != nil && !g.Repeatable {
		found("rule 2: the effect of a second copy could come twice; only what is repeatable may have one")
	}
	if r.Copies != nil && r.Most(p.Dispatches) < 2 {
		found("rule 2: a second copy is a second dispatch, and a batch may have %d", r.Most(p.Dispatches))
	}
	if g.Kinds != nil && r.KindNames != nil && !slices.ContainsFunc(g.Kinds, func(k int) bool {
		return k >= 0 && k < len(p.Kinds) && slices.Contains(r.KindNames, p.Kinds[k])
	}) {
		found("rule 6: none of the kinds of engine that it names is one on which the group is placed, so its batches could go nowhere")
	}
	most := r.Most(p.Dispatches)
	longest := r.Pause * (1 + r.Jitter)
	if r.Timeout > 0 && !g.Repeatable && !g.Referenced {
		found("rule 2: a time-out of a once-only batch only loses its answer, for it can't be sent again")
	}
	if r.Timeout > 0 {
		if all := float64(most)*r.Timeout + float64(most-1)*longest; all > g.Limit {
			found("rule 1: %d time-outs of %gs with the pauses between them take %gs, and clients wait %gs", most, r.Timeout, all, g.Limit)
		} else if g.Referenced && all > g.Window {
			found("rule 2: %d time-outs of %gs with the pauses take %gs, and engines remember repeats for %gs", most, r.Timeout, all, g.Window)
		}
	}
	if longest >= g.Limit && most > 1 {
		found("rule 1: a pause of up to %gs leaves no time for another dispatch in %gs", longest, g.Limit)
	} else if g.Referenced && longest >= g.Window && most > 1 {
		found("rule 2: a pause of up to %gs outlasts the %gs for which engines remember repeats", longest, g.Window)
	}
	return out
}

// overlap tells whether a batch could match both. Two patterns are taken to overlap unless their plain beginnings or
// ends differ: rather one error too many than a route that wins by chance.
func overlap(a, b Fields) bool {
	bs := b.list()
	for i, x := range a.list() {
		if !meet(x, bs[i]) {
			return false
		}
	}
	return true
}

func meet(x, y string) bool {
	switch {
	case x == "" || y == "":
		return true
	case !glob(x) && !glob(y):
		return x == y
	case !glob(x):
		return matches(y, x)
	case !glob(y):
		return matches(x, y)
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
