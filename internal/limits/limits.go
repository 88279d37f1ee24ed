// Package limits implements the limits that operators set per route: it selects the route of a batch, checks whether a set
// of routes could break one of the router's rules, and keeps the retry budgets, hedge ratios and concurrency limits of
// routes.
//
// The package does no input or output and reads neither a clock nor a random source: callers pass the time, in seconds, and
// random draws. Nothing in it is safe for concurrent use. A nil *Route, *RetryBudget or *Table limits nothing.
package limits

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Fields are the properties of a batch that routes match on. In a batch they hold values, in a route patterns.
type Fields struct {
	Group, Client, Login, Application, Protocol string
	DataSet                                     string // the data set's number; empty: none
}

// fieldCount is the number of strings in Fields.
const fieldCount = 6

func (f *Fields) values() [fieldCount]string {
	return [fieldCount]string{f.Group, f.Client, f.Login, f.Application, f.Protocol, f.DataSet}
}

// FieldNames are the names of the fields in settings, in the order of Fields.
var FieldNames = [fieldCount]string{"group", "client", "login", "application", "protocol", "data-set"}

// Route holds the limits that an operator sets for the batches that match a pattern. A number that is 0 is not set.
type Route struct {
	Name          string
	Pattern       Fields       // an empty field matches anything; * stands for any text
	MaxDispatches int          // per batch, including the first
	Timeout       float64      // of one dispatch, in seconds
	RetryDelay    float64      // pause between two dispatches of a batch, in seconds
	Jitter        float64      // random variation of RetryDelay in both directions, as a fraction of it
	Budget        *RetryBudget // nil: no limit; routes may share one
	Line          int          // in the settings file, for findings

	Hedging        *HedgePolicy      // nil: no hedging
	Concurrency    *ConcurrencyLimit // nil: no limit; routes may share one
	MaxResultBytes float64
	EngineKinds    []string // kinds of engine that its batches may go to; nil: any
	engineKindIDs  []int    // EngineKinds as the platform numbers them; set by ResolveEngineKinds
	usage          *usage   // of this route alone; NewTable sets it where Concurrency is set
}

// RetryBudget limits retries within a sliding window: to a fixed number plus a fraction of the batches taken.
type RetryBudget struct {
	Name        string
	FreeRetries float64 // retries allowed per window however few batches are taken
	RetryRatio  float64 // retries allowed per batch taken, 0 to 1
	Window      float64 // seconds
	FleetWide   bool    // FreeRetries is the total of all routers; this router gets its part from Quota alone
	Quota       Quota   // this router's part of a fleet-wide FreeRetries; nil: it has no part
	Line        int     // in the settings file, for findings

	batches, retries windowCounter
}

// Quota is this router's part of an amount that all routers of the fleet divide among themselves. Times are in seconds.
type Quota interface {
	// CanSpend reports whether amount may be used now.
	CanSpend(now, amount float64) bool
	// Spend counts amount as used.
	Spend(now, amount float64)
	// Request asks the fleet for amount, which this router needs and does not have.
	Request(now, amount float64)
	// MayGrantSoon reports whether it is worth waiting a moment for a request of amount to be granted.
	MayGrantSoon(now, amount float64) bool
	// Release returns amount that was spent and is no longer in use.
	Release(now, amount float64)
}

// CopyUnspent returns a budget of the same size of which nothing is spent, without a quota. It returns nil for nil.
func (b *RetryBudget) CopyUnspent() *RetryBudget {
	if b == nil {
		return nil
	}
	return &RetryBudget{Name: b.Name, FreeRetries: b.FreeRetries, RetryRatio: b.RetryRatio, Window: b.Window, FleetWide: b.FleetWide, Line: b.Line}
}

// CarryOver takes over the counts of an older budget. A budget with another window starts from zero instead.
func (b *RetryBudget) CarryOver(old *RetryBudget) {
	if b != nil && old != nil && old.Window == b.Window {
		b.batches, b.retries = old.batches, old.retries
	}
}

// windowCounter counts events within a sliding window, in slots of a tenth of it. That serves as well as a list of times
// and costs a fixed amount of memory.
type windowCounter struct {
	slots   [10]float64
	current int64 // number of the slot that is filled now, counted from time 0
	started bool
}

// advance clears the slots that have left the window. If the clock steps back, counting goes on in the current slot.
func (c *windowCounter) advance(now, window float64) {
	slot := int64(math.Floor(now / window * float64(len(c.slots))))
	if !c.started {
		c.started, c.current = true, slot
	}
	if slot-c.current >= int64(len(c.slots)) {
		c.slots, c.current = [10]float64{}, slot
	}
	for c.current < slot {
		c.current++
		c.slots[c.current%int64(len(c.slots))] = 0
	}
}

func (c *windowCounter) add(now, window float64) {
	c.advance(now, window)
	c.slots[c.current%int64(len(c.slots))]++
}

func (c *windowCounter) sum(now, window float64) (sum float64) {
	c.advance(now, window)
	for _, n := range c.slots {
		sum += n
	}
	return sum
}

// CountBatch counts a batch taken under the route, from which retry budget and hedge ratio are computed.
func (r *Route) CountBatch(now float64) {
	if r == nil {
		return
	}
	r.Budget.CountBatch(now)
	if r.Hedging != nil {
		r.Hedging.batches.add(now, hedgeWindow)
	}
}

// AllowsEngineKind reports whether the route's batches may go to engines of a kind, given by the platform's number.
func (r *Route) AllowsEngineKind(kind int) bool {
	return r == nil || r.engineKindIDs == nil || slices.Contains(r.engineKindIDs, kind)
}

// ResolveEngineKinds translates the names of engine kinds in all routes to their indexes in kinds, the platform's list.
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

// AllowsResult reports whether a result of this size may be returned.
func (r *Route) AllowsResult(bytes int) bool {
	return r == nil || r.MaxResultBytes == 0 || float64(bytes) <= r.MaxResultBytes
}

// CountRetry counts a retry against the route's budget.
func (r *Route) CountRetry(now float64) {
	if r != nil {
		r.Budget.CountRetry(now)
	}
}

// MayRetrySoon reports whether the budget allows a retry now or may do so within a moment.
func (r *Route) MayRetrySoon(now float64) bool { return r == nil || r.Budget.MayRetrySoon(now) }

// MayRetryNow reports whether the budget allows a retry now. If it does not, it requests a part of a fleet-wide budget.
func (r *Route) MayRetryNow(now float64) bool { return r == nil || r.Budget.MayRetryNow(now) }

// CountBatch counts a batch, which raises the budget by RetryRatio for the length of its window.
func (b *RetryBudget) CountBatch(now float64) {
	if b != nil {
		b.batches.add(now, b.Window)
	}
}

// CountRetry counts a retry: against the router's own part of the budget if that allows it, else against the quota.
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

// localAllows reports whether the part of the budget that needs no quota allows one more retry. In a fleet-wide budget that
// part is RetryRatio alone.
func (b *RetryBudget) localAllows(now float64) bool {
	free := b.FreeRetries
	if b.FleetWide {
		free = 0
	}
	return b.retries.sum(now, b.Window)+1 <= free+b.RetryRatio*b.batches.sum(now, b.Window)
}

// MayRetrySoon reports whether one more retry is allowed now or may be allowed within a moment.
func (b *RetryBudget) MayRetrySoon(now float64) bool {
	return b == nil || b.localAllows(now) || b.Quota != nil && (b.Quota.CanSpend(now, 1) || b.Quota.MayGrantSoon(now, 1))
}

// MayRetryNow reports whether one more retry is allowed now. Callers ask it only for a batch that is ready to be sent, so
// where a quota lacks the retry MayRetryNow also requests it from the fleet.
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

// DispatchLimit returns how many dispatches a batch may have: the route's limit, but never more than the platform's.
func (r *Route) DispatchLimit(platformLimit int) int {
	if r == nil || r.MaxDispatches == 0 {
		return platformLimit
	}
	return min(r.MaxDispatches, platformLimit)
}

// CapTimeout returns timeout, in seconds, or the route's own timeout if that is shorter.
func (r *Route) CapTimeout(timeout float64) float64 {
	if r == nil || r.Timeout == 0 {
		return timeout
	}
	return min(timeout, r.Timeout)
}

// JitteredRetryDelay returns the pause in seconds before the next dispatch. draw is a random number from 0 to 1.
func (r *Route) JitteredRetryDelay(draw float64) float64 {
	if r == nil {
		return 0
	}
	return r.RetryDelay * (1 + r.Jitter*(2*draw-1))
}

// hasWildcard reports whether a pattern contains *.
func hasWildcard(pattern string) bool { return strings.IndexByte(pattern, '*') >= 0 }

// specificity ranks routes: by the number of fields given exactly, then by the number given with a wildcard.
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

// matchWildcard reports whether text matches a pattern in which each * stands for any text, also for none. It does not
// allocate.
func matchWildcard(pattern, text string) bool {
	star, resume := -1, 0 // the last * seen, and how far in text it has been extended
	p, t := 0, 0
	for t < len(text) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, resume = p, t
			p++
		case p < len(pattern) && pattern[p] == text[t]:
			p, t = p+1, t+1
		case star >= 0:
			resume++
			p, t = star+1, resume
		default:
			return false
		}
	}
	for p < len(pattern) && pattern[p] == '*' {
		p++
	}
	return p == len(pattern)
}

// Table finds the route of a batch. Routes that give the same fields exactly share one map, so that finding one among a
// thousand routes takes one look-up for each combination of fields. Routes with wildcards are tried in turn.
type Table struct {
	Routes    []*Route   // in the order of the settings file
	fieldSets []fieldSet // the most specific first
}

// fieldSet holds the routes that have the same specificity and give the same fields exactly.
type fieldSet struct {
	specificity    int
	exact          [fieldCount]bool              // which fields are given exactly
	exactRoutes    map[[fieldCount]string]*Route // by the values of the exact fields; the others are empty
	wildcardRoutes []*Route
}

// NewTable builds a table. It does not detect two equally specific routes that match the same batch; Check does.
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
		wildcard := false
		for i, p := range r.Pattern.values() {
			if s.exact[i] = p != "" && !hasWildcard(p); s.exact[i] {
				key[i] = p
			}
			wildcard = wildcard || hasWildcard(p)
		}
		index := slices.IndexFunc(t.fieldSets, func(o fieldSet) bool { return o.specificity == s.specificity && o.exact == s.exact })
		if index < 0 {
			s.exactRoutes = map[[fieldCount]string]*Route{}
			t.fieldSets = append(t.fieldSets, s)
			index = len(t.fieldSets) - 1
		}
		if wildcard {
			t.fieldSets[index].wildcardRoutes = append(t.fieldSets[index].wildcardRoutes, r)
		} else if t.fieldSets[index].exactRoutes[key] == nil {
			t.fieldSets[index].exactRoutes[key] = r
		}
	}
	slices.SortStableFunc(t.fieldSets, func(a, b fieldSet) int { return b.specificity - a.specificity })
	return t
}

// Find returns the most specific route that matches, or nil if none does. It does not allocate.
func (t *Table) Find(f *Fields) *Route {
	if t == nil {
		return nil
	}
	values := f.values()
	for i := range t.fieldSets {
		s := &t.fieldSets[i]
		var key [fieldCount]string
		for k, exact := range s.exact {
			if exact {
				key[k] = values[k]
			}
		}
		if r := s.exactRoutes[key]; r != nil {
			return r
		}
	next:
		for _, r := range s.wildcardRoutes {
			for k, p := range r.Pattern.values() {
				if p != "" && !matchWildcard(p, values[k]) {
					continue next
				}
			}
			return r
		}
	}
	return nil
}

// Explain describes which route a batch takes, and which less specific routes match it too.
func (t *Table) Explain(f *Fields) string {
	found := t.Find(f)
	if found == nil {
		return "no route matches: the platform's limits hold alone"
	}
	out := fmt.Sprintf("route %q (line %d): it matches on %s, and none that does is more exact", found.Name, found.Line, found.Pattern.String())
	var others []string
	values := f.values()
	for _, r := range t.Routes {
		matches := r != found
		for k, p := range r.Pattern.values() {
			matches = matches && (p == "" || matchWildcard(p, values[k]))
		}
		if matches {
			others = append(others, fmt.Sprintf("%q on %s", r.Name, r.Pattern.String()))
		}
	}
	if len(others) > 0 {
		out += "; less exact are " + strings.Join(others, ", ")
	}
	return out
}

// String formats the fields as ParseFields reads them, or as "anything" if all are empty.
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

// ParseFields reads fields written as name=value, separated by white space. A name that is unknown or there twice is an
// error.
func ParseFields(text string) (f Fields, err error) {
	targets := [fieldCount]*string{&f.Group, &f.Client, &f.Login, &f.Application, &f.Protocol, &f.DataSet}
	for _, word := range strings.Fields(text) {
		name, value, ok := strings.Cut(word, "=")
		i := slices.Index(FieldNames[:], name)
		if !ok || i < 0 || *targets[i] != "" {
			return f, fmt.Errorf("%q is not name=value, or is there twice; the names are %s", word, strings.Join(FieldNames[:], ", "))
		}
		*targets[i] = value
	}
	return f, nil
}

// Print writes the routes as a table for operators, the most specific first.
func (t *Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\tline\tmatches\tdispatches\ttime-out\tpause\tbudget\tcopies\tconcurrency\tresult\tengines")
	formatSeconds := func(v float64) string {
		if v == 0 {
			return "-"
		}
		return fmt.Sprintf("%gs", v)
	}
	sorted := slices.Clone(t.Routes)
	slices.SortStableFunc(sorted, func(a, b *Route) int { return b.specificity() - a.specificity() })
	for _, r := range sorted {
		dispatches, budget := "-", "-"
		if r.MaxDispatches > 0 {
			dispatches = fmt.Sprint(r.MaxDispatches)
		}
		if b := r.Budget; b != nil {
			budget = fmt.Sprintf("%s: %g and %g%% in %gs", b.Name, b.FreeRetries, 100*b.RetryRatio, b.Window)
			if b.FleetWide {
				budget = fmt.Sprintf("%s: %g of all routers and %g%% in %gs", b.Name, b.FreeRetries, 100*b.RetryRatio, b.Window)
			}
		}
		hedging, concurrency, result, engines := "-", "-", "-", "any"
		if c := r.Hedging; c != nil {
			hedging = fmt.Sprintf("%g%% past %g%%", 100*c.MaxRatio, 100*c.AfterQuantile)
			if c.OtherZone {
				hedging += ", other zone"
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
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Line, r.Pattern, dispatches, formatSeconds(r.Timeout),
			formatSeconds(r.RetryDelay), budget, hedging, concurrency, result, engines)
	}
	return w.Flush()
}

// CopyUnspent returns a table of the same routes with all counts at zero, for another router. Routes that share a budget or
// a concurrency limit share its copy.
func (t *Table) CopyUnspent() *Table {
	budgets, concurrencies := map[*RetryBudget]*RetryBudget{}, map[*ConcurrencyLimit]*ConcurrencyLimit{}
	routes := make([]*Route, len(t.Routes))
	for i, r := range t.Routes {
		route := *r
		if b := r.Budget; b != nil {
			if budgets[b] == nil {
				budgets[b] = b.CopyUnspent()
			}
			route.Budget = budgets[b]
		}
		if c := r.Concurrency; c != nil {
			if concurrencies[c] == nil {
				concurrencies[c] = &ConcurrencyLimit{Name: c.Name, PerEngine: c.PerEngine, PerRouter: c.PerRouter, FleetWide: c.FleetWide, OnLimit: c.OnLimit, Line: c.Line}
			}
			route.Concurrency, route.usage = concurrencies[c], nil
		}
		if c := r.Hedging; c != nil {
			route.Hedging = &HedgePolicy{AfterQuantile: c.AfterQuantile, MaxRatio: c.MaxRatio, OtherZone: c.OtherZone}
		}
		routes[i] = &route
	}
	return NewTable(routes)
}
