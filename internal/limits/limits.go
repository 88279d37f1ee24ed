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

const fields = 6

func (f *Fields) list() [fields]string {
	return [fields]string{f.Group, f.Client, f.Login, f.Application, f.Protocol, f.DataSet}
}

// FieldNames are their names in settings.
var FieldNames = [fields]string{"group", "client", "login", "application", "protocol", "data-set"}

// Route is an operator's. What is 0 is not set.
type Route struct {
	Name       string
	Match      Fields  // empty: any; * stands for anything
	Dispatches int     // at most
	Timeout    float64 // seconds of one dispatch
	Pause      float64 // seconds between them,
	Jitter     float64 // give or take this share
	Budget     *Budget // of further dispatches; routes may share one
	Line       int     // in the file, for what is found

	Copies      *Copies      // nil: none
	Concurrency *Concurrency // nil: no bound; routes may share one
	MostResult  float64      // bytes
	KindNames   []string     // of the engines that its batches may go to; nil: any
	kinds       []int        // the same by the platform's numbers; Resolve fills them in
	use         *usage
}

// Budget is what may be spent on further dispatches: a free few, and a share of the batches taken, in a window.
type Budget struct {
	Name   string
	Free   float64
	Share  float64
	Window float64 // seconds
	Fleet  bool    // the free ones are for all routers together: they come by the purse alone
	Purse  Purse   // nil: there is nobody to divide them with, and there are none
	Line   int

	takes, furthers rate
}

// Purse is what this router has of something that the fleet divides among its routers. Times are seconds.
type Purse interface {
	// Room tells whether so much may be used now.
	Room(now, amount float64) bool
	// Spend counts it.
	Spend(now, amount float64)
	// Want tells that so much is wanted for which there is no room.
	Want(now, amount float64)
	// Hopes tells whether what is wanted may come within a moment.
	Hopes(now, amount float64) bool
	// Freed tells that what was held no longer is.
	Freed(now, amount float64)
}

// Fresh gives one of the same size of which nothing is spent; nil for none.
func (b *Budget) Fresh() *Budget {
	if b == nil {
		return nil
	}
	return &Budget{Name: b.Name, Free: b.Free, Share: b.Share, Window: b.Window, Fleet: b.Fleet, Line: b.Line}
}

// Adopt goes on with what an older one has spent, unless its window is another.
func (b *Budget) Adopt(old *Budget) {
	if b != nil && old != nil && old.Window == b.Window {
		b.takes, b.furthers = old.takes, old.furthers
	}
}

// rate counts what happened in a window, in slots of a tenth of it: as good as a list of times, at a fixed cost.
type rate struct {
	slots [10]float64
	slot  int64
	begun bool
}

func (r *rate) turn(now, window float64) {
	slot := int64(math.Floor(now / window * float64(len(r.slots))))
	if !r.begun {
		r.begun, r.slot = true, slot
	}
	if slot-r.slot >= int64(len(r.slots)) {
		r.slots, r.slot = [10]float64{}, slot
	}
	for r.slot < slot { // a clock that steps back stays in its slot
		r.slot++
		r.slots[r.slot%int64(len(r.slots))] = 0
	}
}

func (r *rate) add(now, window float64) {
	r.turn(now, window)
	r.slots[r.slot%int64(len(r.slots))]++
}

func (r *rate) sum(now, window float64) (out float64) {
	r.turn(now, window)
	for _, n := range r.slots {
		out += n
	}
	return out
}

// Took counts a batch.
func (r *Route) Took(now float64) {
	if r == nil {
		return
	}
	r.Budget.Took(now)
	if r.Copies != nil {
		r.Copies.takes.add(now, copyWindow)
	}
}

// Goes tells whether its batches may go to engines of a kind.
func (r *Route) Goes(kind int) bool {
	return r == nil || r.kinds == nil || slices.Contains(r.kinds, kind)
}

// Resolve finds the numbers of the kinds of engine that routes name.
func (t *Table) Resolve(kinds []string) {
	for _, r := range t.Routes {
		r.kinds = nil
		for _, name := range r.KindNames {
			if i := slices.Index(kinds, name); i >= 0 {
				r.kinds = append(r.kinds, i)
			}
		}
	}
}

// Holds tells whether a result of so many bytes is within what the route lets through.
func (r *Route) Holds(bytes int) bool {
	return r == nil || r.MostResult == 0 || float64(bytes) <= r.MostResult
}

// Again counts a further dispatch.
func (r *Route) Again(now float64) {
	if r != nil {
		r.Budget.Again(now)
	}
}

// May tells whether the budget has room for one more further dispatch, or may have within a moment.
func (r *Route) May(now float64) bool { return r == nil || r.Budget.May(now) }

// Ready tells whether it has now.
func (r *Route) Ready(now float64) bool { return r == nil || r.Budget.Ready(now) }

// Took counts what the budget's share is of. A budget that is not there bounds nothing.
func (b *Budget) Took(now float64) {
	if b != nil {
		b.takes.add(now, b.Window)
	}
}

// Again counts a further dispatch: against what is this router's own, if that has room.
func (b *Budget) Again(now float64) {
	if b == nil {
		return
	}
	if b.Purse != nil && !b.own(now) {
		b.Purse.Spend(now, 1)
		return
	}
	b.furthers.add(now, b.Window)
}

// own: what this router has by itself bears one more. Where the fleet divides the free ones that is the share alone.
func (b *Budget) own(now float64) bool {
	free := b.Free
	if b.Fleet {
		free = 0
	}
	return b.furthers.sum(now, b.Window)+1 <= free+b.Share*b.takes.sum(now, b.Window)
}

// May tells whether there is room for one more, or may be within a moment.
func (b *Budget) May(now float64) bool {
	return b == nil || b.own(now) || b.Purse != nil && (b.Purse.Room(now, 1) || b.Purse.Hopes(now, 1))
}

// Ready tells whether there is room now. What is missing is wanted by that: it is asked for a batch that would leave.
func (b *Budget) Ready(now float64) bool {
	if b == nil || b.own(now) {
		return true
	}
	if b.Purse == nil {
		return false
	}
	if b.Purse.Room(now, 1) {
		return true
	}
	b.Purse.Want(now, 1)
	return false
}

// Most gives how many dispatches a batch may have, of those that the platform allows.
func (r *Route) Most(platform int) int {
	if r == nil || r.Dispatches == 0 {
		return platform
	}
	return min(r.Dispatches, platform)
}

// Within shortens the time that a dispatch has.
func (r *Route) Within(wait float64) float64 {
	if r == nil || r.Timeout == 0 {
		return wait
	}
	return min(wait, r.Timeout)
}

// Rest gives the pause before the next dispatch, by a draw from 0 to 1.
func (r *Route) Rest(draw float64) float64 {
	if r == nil {
		return 0
	}
	return r.Pause * (1 + r.Jitter*(2*draw-1))
}

// glob tells whether a pattern has a star.
func glob(pattern string) bool { return strings.IndexByte(pattern, '*') >= 0 }

// exactness ranks routes: first how many fields are told as they are, then how many by pattern.
func (r *Route) exactness() (rank int) {
	for _, p := range r.Match.list() {
		switch {
		case p == "":
		case glob(p):
			rank++
		default:
			rank += fields + 1
		}
	}
	return rank
}

// matches a pattern with any number of stars, without an allocation.
func matches(pattern, text string) bool {
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
	Routes []*Route // in the file's order
	shapes []shape  // the most exact first
}

type shape struct {
	rank   int
	exact  [fields]bool
	routes map[[fields]string]*Route
	globs  []*Route
}

// NewTable makes one. Routes of which two are equally exact are found by Check.
func NewTable(routes []*Route) *Table {
	t := &Table{Routes: routes}
	for _, r := range routes {
		if c := r.Concurrency; c != nil {
			if r.use == nil {
				r.use = &usage{}
			}
			if c.use == nil {
				c.use = &usage{}
			}
			if !slices.Contains(c.routes, r) {
				c.routes = append(c.routes, r)
			}
		}
		s := shape{rank: r.exactness()}
		var key [fields]string
		pattern := false
		for i, p := range r.Match.list() {
			if s.exact[i] = p != "" && !glob(p); s.exact[i] {
				key[i] = p
			}
			pattern = pattern || glob(p)
		}
		at := slices.IndexFunc(t.shapes, func(o shape) bool { return o.rank == s.rank && o.exact == s.exact })
		if at < 0 {
			s.routes = map[[fields]string]*Route{}
			t.shapes = append(t.shapes, s)
			at = len(t.shapes) - 1
		}
		if pattern {
			t.shapes[at].globs = append(t.shapes[at].globs, r)
		} else if t.shapes[at].routes[key] == nil {
			t.shapes[at].routes[key] = r
		}
	}
	slices.SortStableFunc(t.shapes, func(a, b shape) int { return b.rank - a.rank })
	return t
}

// Find gives the most exact route that matches; nil: none does. It allocates nothing.
func (t *Table) Find(f *Fields) *Route {
	if t == nil {
		return nil
	}
	all := f.list()
	for i := range t.shapes {
		s := &t.shapes[i]
		var key [fields]string
		for k, exact := range s.exact {
			if exact {
				key[k] = all[k]
			}
		}
		if r := s.routes[key]; r != nil {
			return r
		}
	next:
		for _, r := range s.globs {
			for k, p := range r.Match.list() {
				if p != "" && !matches(p, all[k]) {
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
	out := fmt.Sprintf("route %q (line %d): it matches on %s, and none that does is more exact", found.Name, found.Line, found.Match.String())
	var others []string
	all := f.list()
	for _, r := range t.Routes {
		ok := r != found
		for k, p := range r.Match.list() {
			ok = ok && (p == "" || matches(p, all[k]))
		}
		if ok {
			others = append(others, fmt.Sprintf("%q on %s", r.Name, r.Match.String()))
		}
	}
	if len(others) > 0 {
		out += "; less exact are " + strings.Join(others, ", ")
	}
	return out
}

func (f Fields) String() string {
	var out []string
	for i, p := range f.list() {
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
	into := [fields]*string{&f.Group, &f.Client, &f.Login, &f.Application, &f.Protocol, &f.DataSet}
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
	slices.SortStableFunc(all, func(a, b *Route) int { return b.exactness() - a.exactness() })
	for _, r := range all {
		most, budget := "-", "-"
		if r.Dispatches > 0 {
			most = fmt.Sprint(r.Dispatches)
		}
		if b := r.Budget; b != nil {
			budget = fmt.Sprintf("%s: %g and %g%% in %gs", b.Name, b.Free, 100*b.Share, b.Window)
			if b.Fleet {
				budget = fmt.Sprintf("%s: %g of all routers and %g%% in %gs", b.Name, b.Free, 100*b.Share, b.Window)
			}
		}
		copies, concurrency, result, engines := "-", "-", "-", "any"
		if c := r.Copies; c != nil {
			copies = fmt.Sprintf("%g%% past %g%%", 100*c.Share, 100*c.After)
			if c.Zone {
				copies += ", other zone"
			}
		}
		if c := r.Concurrency; c != nil {
			concurrency = fmt.Sprintf("%s: %d an engine, %d in all, then %s", c.Name, c.Engine, c.Fleet, c.AtBound)
			if c.Routers > 0 {
				concurrency += fmt.Sprintf(", %d of all routers", c.Routers)
			}
		}
		if r.MostResult > 0 {
			result = fmt.Sprintf("%gMB", r.MostResult/(1<<20))
		}
		if r.KindNames != nil {
			engines = strings.Join(r.KindNames, ",")
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Line, r.Match, most, or(r.Timeout), or(r.Pause), budget,
			copies, concurrency, result, engines)
	}
	return w.Flush()
}

// Copy makes a table of the same routes of which nothing has been spent, for another router.
func (t *Table) Copy() *Table {
	budgets, concurrencies := map[*Budget]*Budget{}, map[*Concurrency]*Concurrency{}
	routes := make([]*Route, len(t.Routes))
	for i, r := range t.Routes {
		one := *r
		if b := r.Budget; b != nil {
			if budgets[b] == nil {
				budgets[b] = b.Fresh()
			}
			one.Budget = budgets[b]
		}
		if c := r.Concurrency; c != nil {
			if concurrencies[c] == nil {
				concurrencies[c] = &Concurrency{Name: c.Name, Engine: c.Engine, Fleet: c.Fleet, Routers: c.Routers, AtBound: c.AtBound, Line: c.Line}
			}
			one.Concurrency, one.use = concurrencies[c], nil
		}
		if c := r.Copies; c != nil {
			one.Copies = &Copies{After: c.After, Share: c.Share, Zone: c.Zone}
		}
		routes[i] = &one
	}
	return NewTable(routes)
}
