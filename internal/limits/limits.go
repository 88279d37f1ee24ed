// Package limits has the operators' limits by route: which route a batch takes, whether a set of routes could break a
// rule, and the budgets of further dispatches that routes have. It is pure: no input or output, no clock, no chance.
package limits

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Fields are what routes match on.
type Fields struct {
	Group, Client, Login, Application, Protocol string
	DataSet                                     string // its number; empty: none
}

const fieldCount = 6

func (f *Fields) values() [fieldCount]string {
	return [fieldCount]string{f.Group, f.Client, f.Login, f.Application, f.Protocol, f.DataSet}
}

// FieldNames are their names in settings.
var FieldNames = [fieldCount]string{"group", "client", "login", "application", "protocol", "data-set"}

// Route is an operator's. What is 0 is not set.
type Route struct {
	Name          string
	Pattern       Fields       // empty: any; * stands for anything
	MaxDispatches int          // at most
	Timeout       float64      // seconds of one dispatch
	RetryDelay    float64      // seconds between them,
	Jitter        float64      // give or take this share
	Budget        *RetryBudget // of further dispatches; routes may share one
	Line          int          // in the file, for what is found

	Hedging        *HedgePolicy      // nil: none
	Concurrency    *ConcurrencyLimit // nil: no bound; routes may share one
	MaxResultBytes float64           // bytes
	EngineKinds    []string          // of the engines that its batches may go to; nil: any
	engineKindIDs  []int             // the same by the platform's numbers; Resolve fills them in
	usage          *usage
}

// RetryBudget is what may be spent on further dispatches: a free few, and a share of the batches taken, in a window.
type RetryBudget struct {
	Name        string
	FreeRetries float64
	RetryRatio  float64
	Window      float64 // seconds
	FleetWide   bool    // the free ones are for all routers together: they come by the purse alone
	Quota       Quota   // nil: there is nobody to divide them with, and there are none
	Line        int

	batches, retries windowCounter
}

// Quota is what this router has of something that the fleet divides among its routers. Times are seconds.
type Quota interface {
	// Room tells whether so much may be used now.
	CanSpend(now, amount float64) bool
	// Spend counts it.
	Spend(now, amount float64)
	// Want tells that so much is wanted for which there is no room.
	Request(now, amount float64)
	// Hopes tells whether what is wanted may come within a moment.
	MayGrantSoon(now, amount float64) bool
	// Freed tells that what was held no longer is.
	Release(now, amount float64)
}

// CopyUnspent gives one of the same size of which nothing is spent; nil for none.
func (b *RetryBudget) CopyUnspent() *RetryBudget {
	if b == nil {
		return nil
	}
	return &RetryBudget{Name: b.Name, FreeRetries: b.FreeRetries, RetryRatio: b.RetryRatio, Window: b.Window, FleetWide: b.FleetWide, Line: b.Line}
}

// CarryOver goes on with what an older one has spent, unless its window is another.
func (b *RetryBudget) CarryOver(old *RetryBudget) {
	if b != nil && old != nil && old.Window == b.Window {
		b.batches, b.retries = old.batches, old.retries
	}
}

// windowCounter counts what happened in a window, in slots of a tenth of it: as good as a list of times, at a fixed cost.
type windowCounter struct {
	slots   [10]float64
	current int64
	started bool
}

func (r *windowCounter) advance(now, window float64) {
	slot := int64(math.Floor(now / window * float64(len(r.slots))))
	if !r.started {
		r.started, r.current = true, slot
	}
	if slot-r.current >= int64(len(r.slots)) {
		r.slots, r.current = [10]float64{}, slot
	}
	for r.current < slot { // a clock that steps back stays in its slot
		r.current++
		r.slots[r.current%int64(len(r.slots))] = 0
	}
}

func (r *windowCounter) add(now, window float64) {
	r.advance(now, window)
	r.slots[r.current%int64(len(r.slots))]++
}

func (r *windowCounter) sum(now, window float64) (out float64) {
	r.advance(now, window)
	for _, n := range r.slots {
		out += n
	}
	return out
}

// CountBatch counts a batch.
func (r *Route) CountBatch(now float64) {
	if r == nil {
		return
	}
	r.Budget.CountBatch(now)
	if r.Hedging != nil {
		r.Hedging.batches.add(now, hedgeWindow)
	}
}

// AllowsEngineKind tells whether its batches may go to engines of a kind.
func (r *Route) AllowsEngineKind(kind int) bool {
	return r == nil || r.engineKindIDs == nil || slices.Contains(r.engineKindIDs, kind)
}

// ResolveEngineKinds finds the numbers of the kinds of engine that routes name.
func (t *Table) ResolveEngineKinds(kinds []string) {
	for _, r := range t.Routes {
		r.engineKindIDs = nil
		for _, name := range r.EngineKinds {
			if i := slices.Index(kinds, name); i >= 0 {
				r.engineKindIDs = append(r.engineKindIDs, i)
			}
		}
	}
}

// AllowsResult tells whether a result of so many bytes is within what the route lets through.
func (r *Route) AllowsResult(bytes int) bool {
	return r == nil || r.MaxResultBytes == 0 || float64(bytes) <= r.MaxResultBytes
}

// CountRetry counts a further dispatch.
func (r *Route) CountRetry(now float64) {
	if r != nil {
		r.Budget.CountRetry(now)
	}
}

// MayRetrySoon tells whether the budget has room for one more further dispatch, or may have within a moment.
func (r *Route) MayRetrySoon(now float64) bool { return r == nil || r.Budget.MayRetrySoon(now) }

// MayRetryNow tells whether it has now.
func (r *Route) MayRetryNow(now float64) bool { return r == nil || r.Budget.MayRetryNow(now) }

// CountBatch counts what the budget's share is of. A budget that is not there bounds nothing.
func (b *RetryBudget) CountBatch(now float64) {
	if b != nil {
		b.batches.add(now, b.Window)
	}
}

// CountRetry counts a further dispatch: against what is this router's own, if that has room.
func (b *RetryBudget) CountRetry(now float64) {
	if b == nil {
		return
	}
	if b.Quota != nil && !b.localAllows(now) {
		b.Quota.Spend(now, 1)
		return
	}
	b.retries.add(now, b.Window)
}

// localAllows: what this router has by itself bears one more. Where the fleet divides the free ones that is the share alone.
func (b *RetryBudget) localAllows(now float64) bool {
	free := b.FreeRetries
	if b.FleetWide {
		free = 0
	}
	return b.retries.sum(now, b.Window)+1 <= free+b.RetryRatio*b.batches.sum(now, b.Window)
}

// MayRetrySoon tells whether there is room for one more, or may be within a moment.
func (b *RetryBudget) MayRetrySoon(now float64) bool {
	return b == nil || b.localAllows(now) || b.Quota != nil && (b.Quota.CanSpend(now, 1) || b.Quota.MayGrantSoon(now, 1))
}

// MayRetryNow tells whether there is room now. What is missing is wanted by that: it is asked for a batch that would leave.
func (b *RetryBudget) MayRetryNow(now float64) bool {
	if b == nil || b.localAllows(now) {
		return true
	}
	if b.Quota == nil {
		return false
	}
	if b.Quota.CanSpend(now, 1) {
		return true
	}
	b.Quota.Request(now, 1)
	return false
}

// DispatchLimit gives how many dispatches a batch may have, of those that the platform allows.
func (r *Route) DispatchLimit(platform int) int {
	if r == nil || r.MaxDispatches == 0 {
		return platform
	}
	return min(r.MaxDispatches, platform)
}

// CapTimeout shortens the time that a dispatch has.
func (r *Route) CapTimeout(wait float64) float64 {
	if r == nil || r.Timeout == 0 {
		return wait
	}
	return min(wait, r.Timeout)
}

// JitteredRetryDelay gives the pause before the next dispatch, by a draw from 0 to 1.
func (r *Route) JitteredRetryDelay(draw float64) float64 {
	if r == nil {
		return 0
	}
	return r.RetryDelay * (1 + r.Jitter*(2*draw-1))
}

// hasWildcard tells whether a pattern has a star.
func hasWildcard(pattern string) bool { return strings.IndexByte(pattern, '*') >= 0 }

// specificity ranks routes: first how many fields are told as they are, then how many by pattern.
func (r *Route) specificity() (rank int) {
	for _, p := range r.Pattern.values() {
		switch {
		case p == "":
		case hasWildcard(p):
			rank++
		default:
			rank += fieldCount + 1
		}
	}
	return rank
}

// matchWildcard a pattern with any number of stars, without an allocation.
func matchWildcard(pattern, text string) bool {
	star, back := -1, 0
	p, t := 0, 0
	for t < len(text) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, back = p, t
			p++
		case p < len(pattern) && pattern[p] == text[t]:
			p, t = p+1, t+1
		case star >= 0:
			back++
			p, t = star+1, back
		default:
			return false
		}
	}
	for p < len(pattern) && pattern[p] == '*' {
		p++
	}
	return p == len(pattern)
}

// Table finds the route of a batch. Routes of the same exact fields are in one map, so that a thousand of them cost as
// many look-ups as there are sets of fields; those with patterns are tried in turn.
type Table struct {
	Routes    []*Route   // in the file's order
	fieldSets []fieldSet // the most exact first
}

type fieldSet struct {
	specificity    int
	exact          [fieldCount]bool
	exactRoutes    map[[fieldCount]string]*Route
	wildcardRoutes []*Route
}

// NewTable makes one. Routes of which two are equally exact are found by Check.
func NewTable(routes []*Route) *Table {
	t := &Table{Routes: routes}
	for _, r := range routes {
		if c := r.Concurrency; c != nil {
			if r.usage == nil {
				r.usage = &usage{}
			}
			if c.usage == nil {
				c.usage = &usage{}
			}
			if !slices.Contains(c.routes, r) {
				c.routes = append(c.routes, r)
			}
		}
		s := fieldSet{specificity: r.specificity()}
		var key [fieldCount]string
		pattern := false
		for i, p := range r.Pattern.values() {
			if s.exact[i] = p != "" && !hasWildcard(p); s.exact[i] {
				key[i] = p
			}
			pattern = pattern || hasWildcard(p)
		}
		at := slices.IndexFunc(t.fieldSets, func(o fieldSet) bool { return o.specificity == s.specificity && o.exact == s.exact })
		if at < 0 {
			s.exactRoutes = map[[fieldCount]string]*Route{}
			t.fieldSets = append(t.fieldSets, s)
			at = len(t.fieldSets) - 1
		}
		if pattern {
			t.fieldSets[at].wildcardRoutes = append(t.fieldSets[at].wildcardRoutes, r)
		} else if t.fieldSets[at].exactRoutes[key] == nil {
			t.fieldSets[at].exactRoutes[key] = r
		}
	}
	slices.SortStableFunc(t.fieldSets, func(a, b fieldSet) int { return b.specificity - a.specificity })
	return t
}

// Find gives the most exact route that matches; nil: none does. It allocates nothing.
func (t *Table) Find(f *Fields) *Route {
	if t == nil {
		return nil
	}
	all := f.values()
	for i := range t.fieldSets {
		s := &t.fieldSets[i]
		var key [fieldCount]string
		for k, exact := range s.exact {
			if exact {
				key[k] = all[k]
			}
		}
		if r := s.exactRoutes[key]; r != nil {
			return r
		}
	next:
		for _, r := range s.wildcardRoutes {
			for k, p := range r.Pattern.values() {
				if p != "" && !matchWildcard(p, all[k]) {
					continue next
				}
			}
			return r
		}
	}
	return nil
}

// Explain says which route a batch takes, and which others match it and are less exact.
func (t *Table) Explain(f *Fields) string {
	found := t.Find(f)
	if found == nil {
		return "no route matches: the platform's limits hold alone"
	}
	out := fmt.Sprintf("route %q (line %d): it matches on %s, and none that does is more exact", found.Name, found.Line, found.Pattern.String())
	var others []string
	all := f.values()
	for _, r := range t.Routes {
		ok := r != found
		for k, p := range r.Pattern.values() {
			ok = ok && (p == "" || matchWildcard(p, all[k]))
		}
		if ok {
			others = append(others, fmt.Sprintf("%q on %s", r.Name, r.Pattern.String()))
		}
	}
	if len(others) > 0 {
		out += "; less exact are " + strings.Join(others, ", ")
	}
	return out
}

func (f Fields) String() string {
	var out []string
	for i, p := range f.values() {
		if p != "" {
			out = append(out, FieldNames[i]+"="+p)
		}
	}
	if len(out) == 0 {
		return "anything"
	}
	return strings.Join(out, " ")
}

// ParseFields reads fields as name=value with blanks between them.
func ParseFields(text string) (f Fields, err error) {
	into := [fieldCount]*string{&f.Group, &f.Client, &f.Login, &f.Application, &f.Protocol, &f.DataSet}
	for _, one := range strings.Fields(text) {
		name, value, ok := strings.Cut(one, "=")
		i := slices.Index(FieldNames[:], name)
		if !ok || i < 0 || *into[i] != "" {
			return f, fmt.Errorf("%q is not name=value, or is there twice; the names are %s", one, strings.Join(FieldNames[:], ", "))
		}
		*into[i] = value
	}
	return f, nil
}

// Print writes the routes as they are tried, the most exact first.
func (t *Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\tline\tmatches\tdispatches\ttime-out\tpause\tbudget\tcopies\tconcurrency\tresult\tengines")
	or := func(v float64) string {
		if v == 0 {
			return "-"
		}
		return fmt.Sprintf("%gs", v)
	}
	all := slices.Clone(t.Routes)
	slices.SortStableFunc(all, func(a, b *Route) int { return b.specificity() - a.specificity() })
	for _, r := range all {
		most, budget := "-", "-"
		if r.MaxDispatches > 0 {
			most = fmt.Sprint(r.MaxDispatches)
		}
		if b := r.Budget; b != nil {
			budget = fmt.Sprintf("%s: %g and %g%% in %gs", b.Name, b.FreeRetries, 100*b.RetryRatio, b.Window)
			if b.FleetWide {
				budget = fmt.Sprintf("%s: %g of all routers and %g%% in %gs", b.Name, b.FreeRetries, 100*b.RetryRatio, b.Window)
			}
		}
		copies, concurrency, result, engines := "-", "-", "-", "any"
		if c := r.Hedging; c != nil {
			copies = fmt.Sprintf("%g%% past %g%%", 100*c.MaxRatio, 100*c.AfterQuantile)
			if c.OtherZone {
				copies += ", other zone"
			}
		}
		if c := r.Concurrency; c != nil {
			concurrency = fmt.Sprintf("%s: %d an engine, %d in all, then %s", c.Name, c.PerEngine, c.PerRouter, c.OnLimit)
			if c.FleetWide > 0 {
				concurrency += fmt.Sprintf(", %d of all routers", c.FleetWide)
			}
		}
		if r.MaxResultBytes > 0 {
			result = fmt.Sprintf("%gMB", r.MaxResultBytes/(1<<20))
		}
		if r.EngineKinds != nil {
			engines = strings.Join(r.EngineKinds, ",")
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Line, r.Pattern, most, or(r.Timeout), or(r.RetryDelay), budget,
			copies, concurrency, result, engines)
	}
	return w.Flush()
}

// CopyUnspent makes a table of the same routes of which nothing has been spent, for another router.
func (t *Table) CopyUnspent() *Table {
	budgets, concurrencies := map[*RetryBudget]*RetryBudget{}, map[*ConcurrencyLimit]*ConcurrencyLimit{}
	routes := make([]*Route, len(t.Routes))
	for i, r := range t.Routes {
		one := *r
		if b := r.Budget; b != nil {
			if budgets[b] == nil {
				budgets[b] = b.CopyUnspent()
			}
			one.Budget = budgets[b]
		}
		if c := r.Concurrency; c != nil {
			if concurrencies[c] == nil {
				concurrencies[c] = &ConcurrencyLimit{Name: c.Name, PerEngine: c.PerEngine, PerRouter: c.PerRouter, FleetWide: c.FleetWide, OnLimit: c.OnLimit, Line: c.Line}
			}
			one.Concurrency, one.usage = concurrencies[c], nil
		}
		if c := r.Hedging; c != nil {
			one.Hedging = &HedgePolicy{AfterQuantile: c.AfterQuantile, MaxRatio: c.MaxRatio, OtherZone: c.OtherZone}
		}
		routes[i] = &one
	}
	return NewTable(routes)
}
