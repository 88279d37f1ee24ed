// Package outlook turns what the decision module holds of engines into what proxies that decide by weights are to be told:
// clusters, endpoints with weights and health, and routes with time-outs, retries and budgets. It is pure: no input or
// output, no clock, no chance. docs/xds.md says what of the module's decisions can be told so, and what can't.
package outlook

import (
	"cmp"
	"math"
	"slices"
)

// Health of an endpoint.
type Health uint8

// The states; what drains or is gone is never told as anything else.
const (
	Healthy Health = iota
	Degraded
	Unhealthy
	Draining
)

func (h Health) String() string {
	return [...]string{"healthy", "degraded", "unhealthy", "draining"}[h]
}

// Engine is what the module holds of one.
type Engine struct {
	Name, Address, Zone, Kind string
	Draining                  bool
	Ejected                   bool    // set aside by its health
	StartSeenAt               float64 // when its latest start was first heard of, by the clock of Fleet.Now; 0: long ago
	Cores                     float64
	ThreadsPerCore            float64 // a core that are spoken for, as believed; below 0: nothing is known
}

// Group is a service group as far as proxies can keep it.
type Group struct {
	Name            string
	SafeToRetry     bool
	TimeLimit       float64 // seconds
	MaxDispatches   int     // at most; a route's may be fewer than the platform's
	DispatchTimeout float64 // of one dispatch, seconds; 0: none of its own
	Zones, Kinds    []string
	WorkShare       float64 // of the work that comes, for the budget of cold engines
	AdmittedShare   float64 // share that a level of reduced service lets in
}

// Rules are those that hold over all proxies together.
type Rules struct {
	MaxDispatches                    int
	ColdCapacityShare, SlowStartTime float64
	OverloadFactor, OverloadWindow   float64
	RetryRatio                       float64 // of further dispatches; below 0: no budget
	FreeRetries                      float64
}

// Fleet is what is known at one time.
type Fleet struct {
	Now         float64
	Engines     []Engine
	Groups      []Group
	Rules       Rules
	OfferedWork float64 // core-seconds a second that all proxies send; below 0: not known
}

// Endpoint is one engine in a cluster.
type Endpoint struct {
	Name, Address, Zone string
	Health              Health
	Weight              uint32
}

// Cluster is a subset of the engines that the same groups are placed on.
type Cluster struct {
	Name        string
	Endpoints   []Endpoint
	MaxRequests uint32 // requests out at once, over the cluster, from one proxy; 0: no bound
}

// Route is what proxies do with a group's batches.
type Route struct {
	Group, Cluster string
	Timeout        float64 // seconds, of all dispatches together
	PerTryTimeout  float64 // seconds of one; 0: none of its own
	Retries        int     // after the first
	AdmittedShare  float64 // share that is let in; the rest is pushed back at once
}

// View is all that is published, in one order whatever order it was told in.
type View struct {
	Clusters []Cluster
	Routes   []Route
	// RetryShare is the budget of retries as a share of what is out, and RetryFree so many beside; below 0: no budget.
	RetryRatio, FreeRetries float64
}

// The values of this package. Weights are told in steps, so that a belief that moves a little is no news to a thousand proxies.
const (
	maxWeight             = 128.0
	stepsPerDoubling      = 4    // to a doubling
	warmUtilization       = 0.85 // of its pace that a cold engine is counted on for
	coldBudgetShare       = 0.9  // of the cold budget that is handed out: weights hold on average, bursts don't know them
	crowdedThreadsPerCore = 1.5  // threads a core from which an engine gets less
	minWeightFactor       = 0.25 // of its weight, however crowded: reports are old when they come
	panicThreshold        = 0.5  // with more than this share set aside it is more likely the network, or us
)

// Build makes what is to be published.
func Build(f Fleet) View {
	out := View{RetryRatio: f.Rules.RetryRatio, FreeRetries: f.Rules.FreeRetries}
	groups := slices.Clone(f.Groups)
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	places := map[string]*placement{}
	var order []*placement
	for _, g := range groups {
		name := clusterName(g)
		p := places[name]
		if p == nil {
			p = &placement{name: name, group: g}
			places[name], order = p, append(order, p)
		}
		p.workShare += g.WorkShare
	}
	for _, p := range order {
		c, admit := buildCluster(&f, p)
		out.Clusters = append(out.Clusters, c)
		p.admittedShare = admit
	}
	for _, g := range groups {
		p := places[clusterName(g)]
		out.Routes = append(out.Routes, buildRoute(g, f.Rules, p))
	}
	return out
}

// placement is where some groups may run.
type placement struct {
	name          string
	group         Group
	workShare     float64
	admittedShare float64
}

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

func (p *placement) allows(e *Engine) bool {
	return (p.group.Zones == nil || slices.Contains(p.group.Zones, e.Zone)) && (p.group.Kinds == nil || slices.Contains(p.group.Kinds, e.Kind))
}

// buildCluster weighs the engines of a place. Cold ones get no more than a share of the traffic that keeps all proxies together
// within what they bear, whatever the number of proxies; what no engine may take is not let in.
func buildCluster(f *Fleet, p *placement) (out Cluster, admit float64) {
	out = Cluster{Name: p.name}
	var warm, cold []*Engine
	aside, there := 0, 0
	for i := range f.Engines {
		e := &f.Engines[i]
		if !p.allows(e) {
			continue
		}
		if e.Draining {
			out.Endpoints = append(out.Endpoints, Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Health: Draining})
			continue
		}
		if there++; e.Ejected {
			aside++
		}
		if f.isCold(e) {
			cold = append(cold, e)
		} else {
			warm = append(warm, e)
		}
	}
	shaken := float64(aside) > panicThreshold*float64(there)
	sum := 0.0
	weights := map[*Engine]float64{}
	for _, e := range warm {
		if w := warmWeight(e); !e.Ejected || shaken {
			weights[e], sum = w, sum+w
		}
	}
	work := f.OfferedWork * p.workShare
	admit = 1
	// Of all traffic each cold engine may have a fixed share; the warm ones have the rest, so weights follow from it.
	caps, each := 0.0, map[*Engine]float64{}
	for _, e := range cold {
		if e.Ejected && !shaken {
			continue
		}
		share := 0.0
		if work > 0 {
			share = f.coldCapacity(e) / work
		} else if f.OfferedWork < 0 { // nobody knows how much comes: it gets next to nothing until that is known
			share = 1 / maxWeight
		} else { // nothing comes
			share = 1
		}
		each[e], caps = share, caps+share
	}
	switch {
	case len(each) == 0:
	case sum == 0: // only cold ones: what they don't bear together is not let in
		admit = min(caps, 1)
		for e, share := range each {
			weights[e] = share
		}
	default:
		// Cold ones take caps of all, at most half: a fleet that is half cold must not rest on what is only believed.
		if scale := min(1, 0.5/caps); caps > 0 {
			for e, share := range each {
				share *= scale
				weights[e] = share / (1 - caps*scale) * sum
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
			if shaken {
				end.Health = Degraded
			}
		}
		if w > 0 && most > 0 {
			end.Weight = quantizeWeight(w/most, f.isCold(e))
		}
		if end.Weight == 0 && end.Health == Healthy {
			end.Health = Unhealthy // a weight of 0 can't be told everywhere
		}
		out.Endpoints = append(out.Endpoints, end)
	}
	slices.SortFunc(out.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out, admit
}

func (f *Fleet) isCold(e *Engine) bool {
	return e.StartSeenAt > 0 && f.Now < e.StartSeenAt+f.Rules.SlowStartTime
}

// coldCapacity is the work a second that a cold engine may be sent, on average: its pace right after a start, for how it grows is
// not told, and the multiple that a burst may reach is kept for bursts.
func (f *Fleet) coldCapacity(e *Engine) float64 {
	return coldBudgetShare * warmUtilization * f.Rules.ColdCapacityShare * max(e.Cores, 1) * min(max(f.Rules.OverloadFactor/2, 0.5), 1)
}

// warmWeight gives an engine a weight by its cores, less where it is believed to be crowded.
func warmWeight(e *Engine) float64 {
	fill := 1.0
	if e.ThreadsPerCore > crowdedThreadsPerCore {
		fill = max(crowdedThreadsPerCore/e.ThreadsPerCore, minWeightFactor)
	}
	return max(e.Cores, 1) * fill
}

// quantizeWeight gives a share of the greatest weight as a whole number, in steps of a doubling. A cold engine's is rounded down: its
// share is a bound.
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

// buildRoute tells proxies how to send a group's batches. No retry where an effect could come twice, and none that would leave
// no time: a proxy can't see what the module sees of a dispatch that is out.
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

// ReducesCapacity tells what of a change must not wait: an engine that drains, is gone, or may take less. Engines are told by name and
// address: what listens at an address may be another one's.
func ReducesCapacity(before, after View) bool {
	now := map[string]Endpoint{}
	for _, c := range after.Clusters {
		for _, e := range c.Endpoints {
			now[c.Name+"\x00"+e.Name+"\x00"+e.Address] = e
		}
	}
	for _, c := range before.Clusters {
		for _, e := range c.Endpoints {
			next, there := now[c.Name+"\x00"+e.Name+"\x00"+e.Address]
			if e.acceptsTraffic() && (!there || !next.acceptsTraffic()) {
				return true
			}
		}
	}
	return false
}

// acceptsTraffic tells whether proxies send to it.
func (e Endpoint) acceptsTraffic() bool {
	return (e.Health == Healthy || e.Health == Degraded) && e.Weight > 0
}
