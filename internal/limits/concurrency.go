package limits

// LimitAction says what happens to a batch that arrives while its route has reached its concurrency limit.
type LimitAction uint8

const (
	// QueueBatch queues the batch until the limit allows it or its time limit ends.
	QueueBatch LimitAction = iota
	// RejectBatch rejects the batch, so that its client may try it again later.
	RejectBatch
	// FailBatch answers the batch with an error that is final.
	FailBatch
)

// LimitActionNames are the names of the actions in settings, in the order of the constants.
var LimitActionNames = [...]string{"wait", "push back", "error"}

func (a LimitAction) String() string { return LimitActionNames[a] }

// ConcurrencyLimit limits how many dispatches may be in flight at a time. Routes that name the same limit share it.
type ConcurrencyLimit struct {
	Name      string
	PerEngine int         // dispatches at one engine; 0: no limit
	PerRouter int         // dispatches of this router to all engines; 0: no limit
	FleetWide int         // dispatches of all routers together; 0: no limit
	OnLimit   LimitAction // for batches that arrive when PerRouter or FleetWide is reached
	Quota     Quota       // this router's part of FleetWide; nil: it has none, and may send nothing if FleetWide is set
	Line      int         // in the settings file, for findings

	usage  *usage
	routes []*Route // that share the limit; NewTable fills them in
}

// usage counts the dispatches in flight and the batches queued under a route or a concurrency limit. A reload of settings
// hands it on to the route or limit of the same name, so that dispatches from before count against a limit that the reload
// lowered.
type usage struct{ inFlight, queued int }

func (u *usage) add(inFlight, queued int) {
	if u != nil {
		u.inFlight, u.queued = max(u.inFlight+inFlight, 0), max(u.queued+queued, 0)
	}
}

// CountUsage changes the number of dispatches in flight and of batches queued under the route's concurrency limit by the
// given amounts, which may be negative.
func (r *Route) CountUsage(now float64, inFlight, queued int) {
	if r == nil || r.Concurrency == nil {
		return
	}
	r.usage.add(inFlight, queued)
	r.Concurrency.usage.add(inFlight, queued)
	if q := r.Concurrency.Quota; q != nil {
		if inFlight > 0 {
			q.Spend(now, float64(inFlight))
		} else if inFlight < 0 {
			q.Release(now, float64(-inFlight))
		}
	}
}

// HasCapacity reports whether one more dispatch of the route fits within the limits of this router and of the fleet. Where
// only the fleet-wide quota lacks it, HasCapacity requests it from the fleet.
func (r *Route) HasCapacity(now float64) bool {
	if !r.hasLocalCapacity() {
		return false
	}
	if r == nil || r.Concurrency == nil || r.Concurrency.FleetWide == 0 {
		return true
	}
	q := r.Concurrency.Quota
	if q == nil || q.CanSpend(now, 1) {
		return q != nil
	}
	q.Request(now, 1)
	return false
}

// hasLocalCapacity reports whether one more dispatch fits within the limit of this router alone. Routes that share the limit
// are each entitled to an equal share of it. A route may exceed its share unless another route that is below its own share
// has a batch queued.
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
	active := 0 // routes with dispatches in flight or batches queued, and this one
	for _, other := range c.routes {
		if other == r || other.usage.inFlight+other.usage.queued > 0 {
			active++
		}
	}
	fairShare := float64(c.PerRouter) / float64(max(active, 1))
	if float64(r.usage.inFlight) < fairShare {
		return true
	}
	for _, other := range c.routes {
		if other != r && other.usage.queued > 0 && float64(other.usage.inFlight) < fairShare {
			return false
		}
	}
	return true
}

// HasEngineCapacity reports whether one more dispatch fits within the limit for one engine, at which inFlight dispatches
// count against the route's concurrency limit already.
func (r *Route) HasEngineCapacity(inFlight int) bool {
	return r == nil || r.Concurrency == nil || r.Concurrency.PerEngine == 0 || inFlight < r.Concurrency.PerEngine
}

// SharesLimitWith reports whether two routes count against the same concurrency limit.
func (r *Route) SharesLimitWith(other *Route) bool {
	return r != nil && other != nil && r.Concurrency != nil && r.Concurrency.usage == other.concurrencyUsage()
}

func (r *Route) concurrencyUsage() *usage {
	if r.Concurrency == nil {
		return nil
	}
	return r.Concurrency.usage
}

// ActionOnArrival returns what happens to a batch that arrives now; QueueBatch if the limit is not reached. Batches that are
// queued are sent first, so they count as in flight here. The fleet-wide limit rejects or fails a batch only if a request to
// the fleet is not expected to be granted soon, because others have waited for one in vain: the first batch waits for the
// answer to its request.
func (r *Route) ActionOnArrival(now float64) LimitAction {
	if r == nil || r.Concurrency == nil || r.Concurrency.OnLimit == QueueBatch {
		return QueueBatch
	}
	c := r.Concurrency
	if c.PerRouter > 0 && (c.usage.inFlight+c.usage.queued >= c.PerRouter || !r.hasLocalCapacity()) {
		return c.OnLimit
	}
	if q := c.Quota; c.FleetWide > 0 && (q == nil || !q.CanSpend(now, 1) && !q.MayGrantSoon(now, 1)) {
		return c.OnLimit
	}
	return QueueBatch
}

// CarryOver takes over the counts of an older table, by the names of budgets, routes and concurrency limits, so that a reload
// of settings does not refill a budget. Whatever is not in the older table, and a budget with another window, starts from
// zero.
func (t *Table) CarryOver(old *Table) {
	if old == nil {
		return
	}
	oldBudgets, oldUsages, oldRoutes := map[string]*RetryBudget{}, map[string]*usage{}, map[string]*Route{}
	for _, r := range old.Routes {
		oldRoutes[r.Name] = r
		if r.Budget != nil {
			oldBudgets[r.Budget.Name] = r.Budget
		}
		if r.Concurrency != nil {
			oldUsages[r.Concurrency.Name] = r.Concurrency.usage
		}
	}
	done := map[*RetryBudget]bool{}
	for _, r := range t.Routes {
		if b := r.Budget; b != nil && !done[b] {
			done[b] = true
			b.CarryOver(oldBudgets[b.Name])
		}
		if o := oldRoutes[r.Name]; o != nil {
			if r.Concurrency != nil && o.Concurrency != nil && r.Concurrency.Name == o.Concurrency.Name {
				r.usage = o.usage
			}
			if r.Hedging != nil && o.Hedging != nil {
				r.Hedging.batches, r.Hedging.hedges = o.Hedging.batches, o.Hedging.hedges
			}
		}
		if c := r.Concurrency; c != nil && oldUsages[c.Name] != nil {
			c.usage = oldUsages[c.Name]
		}
	}
}
