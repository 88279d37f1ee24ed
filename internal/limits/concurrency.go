package limits

// LimitAction says what happens to a batch that comes while its route has all out that it may have.
type LimitAction uint8

// The three ways.
const (
	QueueBatch LimitAction = iota // it is held until there is room, or its time is over
	RejectBatch
	FailBatch // it is errored
)

// LimitActionNames are their names in settings.
var LimitActionNames = [...]string{"wait", "push back", "error"}

func (b LimitAction) String() string { return LimitActionNames[b] }

// ConcurrencyLimit is how many dispatches routes may have out at a time; routes that name the same one share it.
type ConcurrencyLimit struct {
	Name      string
	PerEngine int // at one engine; 0: no bound
	PerRouter int // in all, from this router; 0: no bound
	FleetWide int // in all, from all routers together; 0: no bound
	OnLimit   LimitAction
	Quota     Quota // of the routers' bound; nil: there is nobody to divide it with, and nothing goes out under it
	Line      int

	usage  *usage
	routes []*Route // that share it; NewTable fills them in
}

// usage is what is out and held under a route or a concurrency. A reload hands it on to what has the same name, so that
// what was taken before counts against a bound that was lowered meanwhile.
type usage struct{ inFlight, queued int }

func (u *usage) add(out, held int) {
	if u != nil {
		u.inFlight, u.queued = max(u.inFlight+out, 0), max(u.queued+held, 0)
	}
}

// CountUsage counts dispatches that go out or end, and batches that begin or cease to be held.
func (r *Route) CountUsage(now float64, out, held int) {
	if r == nil || r.Concurrency == nil {
		return
	}
	r.usage.add(out, held)
	r.Concurrency.usage.add(out, held)
	if p := r.Concurrency.Quota; p != nil {
		if out > 0 {
			p.Spend(now, float64(out))
		} else if out < 0 {
			p.Release(now, float64(-out))
		}
	}
}

// HasCapacity tells whether one more of the route's batches may go out, by what this router may have out and by what all may. What is
// missing of that is wanted by it.
func (r *Route) HasCapacity(now float64) bool {
	if !r.hasLocalCapacity() {
		return false
	}
	if r == nil || r.Concurrency == nil || r.Concurrency.FleetWide == 0 {
		return true
	}
	p := r.Concurrency.Quota
	if p == nil || p.CanSpend(now, 1) {
		return p != nil
	}
	p.Request(now, 1)
	return false
}

// hasLocalCapacity is the bound of this router alone. Where routes share, each has an even part of the bound for itself, and beyond it
// takes what no other that is below its own part has a batch for.
func (r *Route) hasLocalCapacity() bool {
	if r == nil || r.Concurrency == nil || r.Concurrency.PerRouter == 0 {
		return true
	}
	c := r.Concurrency
	switch {
	case c.usage.inFlight >= c.PerRouter:
		return false
	case len(c.routes) < 2:
		return true
	}
	wanting := 0 // routes that have anything out or held
	for _, o := range c.routes {
		if o == r || o.usage.inFlight+o.usage.queued > 0 {
			wanting++
		}
	}
	part := float64(c.PerRouter) / float64(max(wanting, 1))
	if float64(r.usage.inFlight) < part {
		return true
	}
	for _, o := range c.routes {
		if o != r && o.usage.queued > 0 && float64(o.usage.inFlight) < part {
			return false
		}
	}
	return true
}

// HasEngineCapacity tells the same of one engine, at which so many of the concurrency are out.
func (r *Route) HasEngineCapacity(out int) bool {
	return r == nil || r.Concurrency == nil || r.Concurrency.PerEngine == 0 || out < r.Concurrency.PerEngine
}

// SharesLimitWith tells whether two routes count against one bound.
func (r *Route) SharesLimitWith(o *Route) bool {
	return r != nil && o != nil && r.Concurrency != nil && r.Concurrency.usage == o.concurrencyUsage()
}

func (r *Route) concurrencyUsage() *usage {
	if r.Concurrency == nil {
		return nil
	}
	return r.Concurrency.usage
}

// ActionOnArrival says what happens to a batch that comes now. What is held goes first, so it counts as taken room. By the bound of all
// routers it is turned away once others have waited in vain for a part: who comes first waits for an exchange.
func (r *Route) ActionOnArrival(now float64) LimitAction {
	if r == nil || r.Concurrency == nil || r.Concurrency.OnLimit == QueueBatch {
		return QueueBatch
	}
	c := r.Concurrency
	if c.PerRouter > 0 && (c.usage.inFlight+c.usage.queued >= c.PerRouter || !r.hasLocalCapacity()) {
		return c.OnLimit
	}
	if p := c.Quota; c.FleetWide > 0 && (p == nil || !p.CanSpend(now, 1) && !p.MayGrantSoon(now, 1)) {
		return c.OnLimit
	}
	return QueueBatch
}

// CarryOver goes on with what an older table has spent and has out, by the names of budgets, routes and concurrencies: a
// reload is no way round a budget. What has left the file, or has another window, begins anew.
func (t *Table) CarryOver(old *Table) {
	if old == nil {
		return
	}
	budgets, uses, routes := map[string]*RetryBudget{}, map[string]*usage{}, map[string]*Route{}
	for _, r := range old.Routes {
		routes[r.Name] = r
		if r.Budget != nil {
			budgets[r.Budget.Name] = r.Budget
		}
		if r.Concurrency != nil {
			uses[r.Concurrency.Name] = r.Concurrency.usage
		}
	}
	done := map[*RetryBudget]bool{}
	for _, r := range t.Routes {
		if b := r.Budget; b != nil && !done[b] {
			done[b] = true
			b.CarryOver(budgets[b.Name])
		}
		if o := routes[r.Name]; o != nil {
			if r.Concurrency != nil && o.Concurrency != nil && r.Concurrency.Name == o.Concurrency.Name {
				r.usage = o.usage
			}
			if r.Hedging != nil && o.Hedging != nil {
				r.Hedging.batches, r.Hedging.hedges = o.Hedging.batches, o.Hedging.hedges
			}
		}
		if c := r.Concurrency; c != nil && uses[c.Name] != nil {
			c.usage = uses[c.Name]
		}
	}
}
