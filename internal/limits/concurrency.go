package limits

// Bound says what happens to a batch that comes while its route has all out that it may have.
type Bound uint8

// The three ways.
const (
	Wait Bound = iota // it is held until there is room, or its time is over
	PushBack
	Refuse // it is errored
)

// Bounds are their names in settings.
var Bounds = [...]string{"wait", "push back", "error"}

func (b Bound) String() string { return Bounds[b] }

// Concurrency is how many dispatches routes may have out at a time; routes that name the same one share it.
type Concurrency struct {
	Name    string
	Engine  int // at one engine; 0: no bound
	Fleet   int // in all, from this router; 0: no bound
	Routers int // in all, from all routers together; 0: no bound
	AtBound Bound
	Purse   Purse // of the routers' bound; nil: there is nobody to divide it with, and nothing goes out under it
	Line    int

	use    *usage
	routes []*Route // that share it; NewTable fills them in
}

// usage is what is out and held under a route or a concurrency. A reload hands it on to what has the same name, so that
// what was taken before counts against a bound that was lowered meanwhile.
type usage struct{ out, held int }

func (u *usage) add(out, held int) {
	if u != nil {
		u.out, u.held = max(u.out+out, 0), max(u.held+held, 0)
	}
}

// Uses counts dispatches that go out or end, and batches that begin or cease to be held.
func (r *Route) Uses(now float64, out, held int) {
	if r == nil || r.Concurrency == nil {
		return
	}
	r.use.add(out, held)
	r.Concurrency.use.add(out, held)
	if p := r.Concurrency.Purse; p != nil {
		if out > 0 {
			p.Spend(now, float64(out))
		} else if out < 0 {
			p.Freed(now, float64(-out))
		}
	}
}

// Room tells whether one more of the route's batches may go out, by what this router may have out and by what all may. What is
// missing of that is wanted by it.
func (r *Route) Room(now float64) bool {
	if !r.roomHere() {
		return false
	}
	if r == nil || r.Concurrency == nil || r.Concurrency.Routers == 0 {
		return true
	}
	p := r.Concurrency.Purse
	if p == nil || p.Room(now, 1) {
		return p != nil
	}
	p.Want(now, 1)
	return false
}

// roomHere is the bound of this router alone. Where routes share, each has an even part of the bound for itself, and beyond it
// takes what no other that is below its own part has a batch for.
func (r *Route) roomHere() bool {
	if r == nil || r.Concurrency == nil || r.Concurrency.Fleet == 0 {
		return true
	}
	c := r.Concurrency
	switch {
	case c.use.out >= c.Fleet:
		return false
	case len(c.routes) < 2:
		return true
	}
	wanting := 0 // routes that have anything out or held
	for _, o := range c.routes {
		if o == r || o.use.out+o.use.held > 0 {
			wanting++
		}
	}
	part := float64(c.Fleet) / float64(max(wanting, 1))
	if float64(r.use.out) < part {
		return true
	}
	for _, o := range c.routes {
		if o != r && o.use.held > 0 && float64(o.use.out) < part {
			return false
		}
	}
	return true
}

// RoomAt tells the same of one engine, at which so many of the concurrency are out.
func (r *Route) RoomAt(out int) bool {
	return r == nil || r.Concurrency == nil || r.Concurrency.Engine == 0 || out < r.Concurrency.Engine
}

// Shares tells whether two routes count against one bound.
func (r *Route) Shares(o *Route) bool {
	return r != nil && o != nil && r.Concurrency != nil && r.Concurrency.use == o.concurrencyUse()
}

func (r *Route) concurrencyUse() *usage {
	if r.Concurrency == nil {
		return nil
	}
	return r.Concurrency.use
}

// Comes says what happens to a batch that comes now. What is held goes first, so it counts as taken room. By the bound of all
// routers it is turned away once others have waited in vain for a part: who comes first waits for an exchange.
func (r *Route) Comes(now float64) Bound {
	if r == nil || r.Concurrency == nil || r.Concurrency.AtBound == Wait {
		return Wait
	}
	c := r.Concurrency
	if c.Fleet > 0 && (c.use.out+c.use.held >= c.Fleet || !r.roomHere()) {
		return c.AtBound
	}
	if p := c.Purse; c.Routers > 0 && (p == nil || !p.Room(now, 1) && !p.Hopes(now, 1)) {
		return c.AtBound
	}
	return Wait
}

// Adopt goes on with what an older table has spent and has out, by the names of budgets, routes and concurrencies: a
// reload is no way round a budget. What has left the file, or has another window, begins anew.
func (t *Table) Adopt(old *Table) {
	if old == nil {
		return
	}
	budgets, uses, routes := map[string]*Budget{}, map[string]*usage{}, map[string]*Route{}
	for _, r := range old.Routes {
		routes[r.Name] = r
		if r.Budget != nil {
			budgets[r.Budget.Name] = r.Budget
		}
		if r.Concurrency != nil {
			uses[r.Concurrency.Name] = r.Concurrency.use
		}
	}
	done := map[*Budget]bool{}
	for _, r := range t.Routes {
		if b := r.Budget; b != nil && !done[b] {
			done[b] = true
			b.Adopt(budgets[b.Name])
		}
		if o := routes[r.Name]; o != nil {
			if r.Concurrency != nil && o.Concurrency != nil && r.Concurrency.Name == o.Concurrency.Name {
				r.use = o.use
			}
			if r.Copies != nil && o.Copies != nil {
				r.Copies.takes, r.Copies.sent = o.Copies.takes, o.Copies.sent
			}
		}
		if c := r.Concurrency; c != nil && uses[c.Name] != nil {
			c.use = uses[c.Name]
		}
	}
}
