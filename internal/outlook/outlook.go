// Package outlook converts the decision module's view of the engines into configuration for proxies that balance load by
// weights: clusters, endpoints with weights and health, and routes with time-outs, retries and budgets. It is pure: it does
// no input or output and uses neither a clock nor random numbers. docs/xds.md says which decisions of the module can be
// expressed this way and which can't. The package is not connected to the router yet.
package outlook

import (
	"cmp"
	"math"
	"slices"
)

// Health of an endpoint.
type Health uint8

// The health states. An engine that drains is always published as Draining.
const (
	Healthy Health = iota
	Degraded
	Unhealthy
	Draining
)

func (h Health) String() string {
	return [...]string{"healthy", "degraded", "unhealthy", "draining"}[h]
}

// Engine is the decision module's view of one engine.
type Engine struct {
	Name, Address, Zone, Kind string
	Draining                  bool
	Ejected                   bool    // by outlier ejection
	StartSeenAt               float64 // when its latest start was first seen, in seconds on the clock of Fleet.Now; 0: long ago
	Cores                     float64
	ThreadsPerCore            float64 // estimated threads in use per core; below 0: unknown
}

// Group is the part of a service group's settings that proxies can apply.
type Group struct {
	Name            string
	SafeToRetry     bool
	TimeLimit       float64 // seconds
	MaxDispatches   int     // at most, for one batch; may be fewer than in Rules; 0: as in Rules
	DispatchTimeout float64 // of one dispatch, in seconds; 0: none
	Zones, Kinds    []string
	WorkShare       float64 // of all work that arrives; the budget of cold engines depends on it
	AdmittedShare   float64 // share of batches that the current level of reduced service admits
}

// Rules are the settings that apply to all proxies together.
type Rules struct {
	MaxDispatches                    int
	ColdCapacityShare, SlowStartTime float64 // capacity right after a start as a share of the full one; seconds until it is full
	OverloadFactor, OverloadWindow   float64 // a cold engine fails above this multiple of its capacity within these seconds
	RetryRatio                       float64 // retry budget, see View; below 0: no budget
	FreeRetries                      float64
}

// Fleet is the input of Build: what is known at the time Now, in seconds.
type Fleet struct {
	Now         float64
	Engines     []Engine
	Groups      []Group
	Rules       Rules
	OfferedWork float64 // core-seconds per second that all proxies send; below 0: unknown
}

// Endpoint is an engine as a member of a cluster.
type Endpoint struct {
	Name, Address, Zone string
	Health              Health
	Weight              uint32
}

// Cluster is a subset of the engines, shared by all groups with the same placement.
type Cluster struct {
	Name        string
	Endpoints   []Endpoint
	MaxRequests uint32 // requests in flight to the cluster from one proxy; 0: unlimited
}

// Route says how proxies send the batches of a group.
type Route struct {
	Group, Cluster string
	Timeout        float64 // seconds, of all dispatches together
	PerTryTimeout  float64 // of one dispatch, in seconds; 0: none
	Retries        int     // after the first dispatch
	AdmittedShare  float64 // share of batches that is admitted; the rest is rejected at once
}

// View is everything that is published. Its order does not depend on the order of the input.
type View struct {
	Clusters []Cluster
	Routes   []Route
	// RetryRatio is the retry budget as a share of the requests in flight, and FreeRetries the number of retries allowed on
	// top of it. A RetryRatio below 0 means no budget.
	RetryRatio, FreeRetries float64
}

// Weights are quantized, so that a small change of an estimate does not cause an update of a thousand proxies.
const (
	maxWeight             = 128.0
	stepsPerDoubling      = 4    // steps of a weight between a value and its double
	warmUtilization       = 0.85 // share of its cores that counts as the capacity of a cold engine
	coldBudgetShare       = 0.9  // share of the cold budget that is handed out; weights hold only on average and ignore bursts
	crowdedThreadsPerCore = 1.5  // above it an engine gets a lower weight
	minWeightFactor       = 0.25 // lowest factor for a crowded engine; load reports are old when they arrive
	panicThreshold        = 0.5  // with a larger share ejected, the network or the router is the likelier cause
)

// Build computes the view to publish. It depends only on the fleet.
func Build(f Fleet) View {
	out := View{RetryRatio: f.Rules.RetryRatio, FreeRetries: f.Rules.FreeRetries}
	groups := slices.Clone(f.Groups)
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	placements := map[string]*placement{}
	var order []*placement
	for _, g := range groups {
		name := clusterName(g)
		p := placements[name]
		if p == nil {
			p = &placement{name: name, group: g}
			placements[name], order = p, append(order, p)
		}
		p.workShare += g.WorkShare
	}
	for _, p := range order {
		c, admitted := buildCluster(&f, p)
		out.Clusters = append(out.Clusters, c)
		p.admittedShare = admitted
	}
	for _, g := range groups {
		p := placements[clusterName(g)]
		out.Routes = append(out.Routes, buildRoute(g, f.Rules, p))
	}
	return out
}

// placement collects the groups that may use the same engines; they share one cluster.
type placement struct {
	name          string
	group         Group
	workShare     float64
	admittedShare float64
}

// clusterName returns the name of the cluster for the zones and kinds of engines that a group may use.
func clusterName(g Group) string {
	join := func(list []string) string {
		if list == nil {
			return "any"
		}
		list = slices.Sorted(slices.Values(list))
		out := ""
		for i, s := range list {
			if i > 0 {
				out += "+"
			}
			out += s
		}
		return out
	}
	if g.Zones == nil && g.Kinds == nil {
		return "engines"
	}
	return "engines." + join(g.Zones) + "." + join(g.Kinds)
}

// allows reports whether the groups of the placement may use an engine.
func (p *placement) allows(e *Engine) bool {
	return (p.group.Zones == nil || slices.Contains(p.group.Zones, e.Zone)) && (p.group.Kinds == nil || slices.Contains(p.group.Kinds, e.Kind))
}

// buildCluster assigns weights to the engines of a placement and returns the share of work to admit. The weights of cold
// engines keep the traffic of all proxies together within what these engines can take, whatever the number of proxies. Work
// that no engine can take is not admitted.
func buildCluster(f *Fleet, p *placement) (out Cluster, admitted float64) {
	out = Cluster{Name: p.name}
	var warm, cold []*Engine
	ejected, total := 0, 0
	for i := range f.Engines {
		e := &f.Engines[i]
		if !p.allows(e) {
			continue
		}
		if e.Draining {
			out.Endpoints = append(out.Endpoints, Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Health: Draining})
			continue
		}
		if total++; e.Ejected {
			ejected++
		}
		if f.isCold(e) {
			cold = append(cold, e)
		} else {
			warm = append(warm, e)
		}
	}
	mostEjected := float64(ejected) > panicThreshold*float64(total)
	sum := 0.0
	weights := map[*Engine]float64{}
	for _, e := range warm {
		if w := warmWeight(e); !e.Ejected || mostEjected {
			weights[e], sum = w, sum+w
		}
	}
	work := f.OfferedWork * p.workShare
	admitted = 1
	// Each cold engine may get a fixed share of all traffic and the warm ones get the rest; the weights follow from that.
	coldShares, shares := 0.0, map[*Engine]float64{}
	for _, e := range cold {
		if e.Ejected && !mostEjected {
			continue
		}
		share := 0.0
		if work > 0 {
			share = f.coldCapacity(e) / work
		} else if f.OfferedWork < 0 { // the load is unknown: it gets the smallest weight until it is known
			share = 1 / maxWeight
		} else { // no load
			share = 1
		}
		shares[e], coldShares = share, coldShares+share
	}
	switch {
	case len(shares) == 0:
	case sum == 0: // all usable engines are cold: work beyond their joint capacity is not admitted
		admitted = min(coldShares, 1)
		for e, share := range shares {
			weights[e] = share
		}
	default:
		// Cold engines get coldShares of all traffic, but at most half: their capacity is an estimate, and a fleet that is
		// half cold must not depend on it.
		if scale := min(1, 0.5/coldShares); coldShares > 0 {
			for e, share := range shares {
				share *= scale
				weights[e] = share / (1 - coldShares*scale) * sum
			}
		}
	}
	most := 0.0
	for _, w := range weights {
		most = max(most, w)
	}
	for _, e := range append(warm, cold...) {
		end := Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone}
		w := weights[e]
		if e.Ejected {
			end.Health = Unhealthy
			if mostEjected {
				end.Health = Degraded
			}
		}
		if w > 0 && most > 0 {
			end.Weight = quantizeWeight(w/most, f.isCold(e))
		}
		if end.Weight == 0 && end.Health == Healthy {
			end.Health = Unhealthy // not every proxy accepts a weight of 0
		}
		out.Endpoints = append(out.Endpoints, end)
	}
	slices.SortFunc(out.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out, admitted
}

// isCold reports whether an engine is within its slow start.
func (f *Fleet) isCold(e *Engine) bool {
	return e.StartSeenAt > 0 && f.Now < e.StartSeenAt+f.Rules.SlowStartTime
}

// coldCapacity returns the work, in core-seconds per second, that a cold engine may be sent on average. It is the capacity
// right after a start, because its growth is not published. The excess that OverloadFactor allows is left for bursts.
func (f *Fleet) coldCapacity(e *Engine) float64 {
	return coldBudgetShare * warmUtilization * f.Rules.ColdCapacityShare * max(e.Cores, 1) * min(max(f.Rules.OverloadFactor/2, 0.5), 1)
}

// warmWeight returns a weight in proportion to the cores of an engine, reduced if the engine is crowded.
func warmWeight(e *Engine) float64 {
	fill := 1.0
	if e.ThreadsPerCore > crowdedThreadsPerCore {
		fill = max(crowdedThreadsPerCore/e.ThreadsPerCore, minWeightFactor)
	}
	return max(e.Cores, 1) * fill
}

// quantizeWeight converts a share of the greatest weight into an integer weight, rounded to a step (stepsPerDoubling). The
// weight of a cold engine is rounded down, because its share is an upper bound.
func quantizeWeight(share float64, down bool) uint32 {
	exact := math.Log2(share*maxWeight) * stepsPerDoubling
	whole := math.Round(exact)
	if down {
		whole = math.Floor(exact + 1e-9)
	}
	w := math.Exp2(whole / stepsPerDoubling)
	if down {
		return uint32(w)
	}
	return max(uint32(math.Round(w)), 1)
}

// buildRoute returns the route of a group. Groups that are not safe to retry get no retries, and no retry may exceed the
// time limit: unlike the decision module, a proxy does not know how far a dispatch in flight has come.
func buildRoute(g Group, r Rules, p *placement) Route {
	out := Route{Group: g.Name, Cluster: p.name, Timeout: g.TimeLimit, AdmittedShare: min(p.admittedShare, max(g.AdmittedShare, 0))}
	most := max(r.MaxDispatches, 1)
	if g.MaxDispatches > 0 {
		most = min(most, g.MaxDispatches)
	}
	if !g.SafeToRetry {
		return out
	}
	out.Retries = most - 1
	if g.DispatchTimeout > 0 {
		out.PerTryTimeout = g.DispatchTimeout
		for out.Retries > 0 && float64(out.Retries+1)*g.DispatchTimeout > g.TimeLimit {
			out.Retries--
		}
	}
	return out
}

// ReducesCapacity reports whether a change must be published at once: an engine drains, is gone, or stops accepting traffic.
// Engines are identified by name and address, because another engine may listen at the same address later.
func ReducesCapacity(before, after View) bool {
	now := map[string]Endpoint{}
	for _, c := range after.Clusters {
		for _, e := range c.Endpoints {
			now[c.Name+"\x00"+e.Name+"\x00"+e.Address] = e
		}
	}
	for _, c := range before.Clusters {
		for _, e := range c.Endpoints {
			next, found := now[c.Name+"\x00"+e.Name+"\x00"+e.Address]
			if e.acceptsTraffic() && (!found || !next.acceptsTraffic()) {
				return true
			}
		}
	}
	return false
}

// acceptsTraffic reports whether proxies send requests to the endpoint.
func (e Endpoint) acceptsTraffic() bool {
	return (e.Health == Healthy || e.Health == Degraded) && e.Weight > 0
}
