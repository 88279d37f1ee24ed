package limits

// HedgePolicy are second dispatches of a route's batches, sent while the first is still out. The tail of what a group takes is
// often one engine's, and another would long have answered ("The Tail at Scale", Dean and Barroso, 2013: hedged requests).
type HedgePolicy struct {
	AfterQuantile float64 // quantile of how far the group's batches took longer than alone, past which a copy is sent
	MaxRatio      float64 // of the batches taken, at most
	OtherZone     bool    // only to another zone than the first's

	batches, hedges windowCounter
}

// hedgeWindow is the time in seconds over which the share is counted.
const hedgeWindow = 10

// MayHedge tells whether the share has room for a second copy. There is no free one: few batches give none, which
// costs a quiet route its copies and keeps them from being most of a trickle.
func (r *Route) MayHedge(now float64) bool {
	if r == nil || r.Hedging == nil {
		return false
	}
	c := r.Hedging
	return c.hedges.sum(now, hedgeWindow)+1 <= c.MaxRatio*c.batches.sum(now, hedgeWindow)
}

// HedgesToOtherZone: its second copies go to another zone than the first.
func (r *Route) HedgesToOtherZone() bool { return r != nil && r.Hedging != nil && r.Hedging.OtherZone }

// CountHedge counts one.
func (r *Route) CountHedge(now float64) { r.Hedging.hedges.add(now, hedgeWindow) }
