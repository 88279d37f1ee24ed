package limits

// HedgePolicy says when a route's batches get a hedge: a second dispatch to another engine while the first is in flight. The
// slowest answers of a service group are often due to one engine, where another would have answered long before (hedged
// requests: Dean and Barroso, "The Tail at Scale", 2013).
type HedgePolicy struct {
	AfterQuantile float64 // a hedge is sent once a batch is slower, relative to its unloaded time, than this quantile of its group
	MaxRatio      float64 // hedges as a fraction of the batches taken, at most
	OtherZone     bool    // hedges go only to engines of another zone than the first dispatch

	batches, hedges windowCounter
}

// hedgeWindow is the window, in seconds, over which MaxRatio is computed.
const hedgeWindow = 10

// MayHedge reports whether MaxRatio allows one more hedge. There is no minimum, unlike in a retry budget: a route with few
// batches gets no hedges, so that hedges never become most of its load.
func (r *Route) MayHedge(now float64) bool {
	if r == nil || r.Hedging == nil {
		return false
	}
	h := r.Hedging
	return h.hedges.sum(now, hedgeWindow)+1 <= h.MaxRatio*h.batches.sum(now, hedgeWindow)
}

// HedgesToOtherZone reports whether hedges may go only to another zone than the first dispatch.
func (r *Route) HedgesToOtherZone() bool { return r != nil && r.Hedging != nil && r.Hedging.OtherZone }

// CountHedge counts a hedge. The route must have a hedge policy.
func (r *Route) CountHedge(now float64) { r.Hedging.hedges.add(now, hedgeWindow) }
