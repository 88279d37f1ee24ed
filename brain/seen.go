package brain

import (
	"fmt"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Stats is what the module holds now, for hosts that watch it. Nothing is decided here.
type Stats struct {
	Queued, InFlight         int     // batches that wait, and dispatches that are out
	QueuedWork               float64 // seconds of work that the held ones need, as estimated
	Engines                  int     // of the list that are not gone
	Cold, Ejected, Draining  int     // of those
	Load, AdmissionThreshold float64
}

// Stats tells it.
func (r *Router) Stats() Stats {
	s := Stats{Queued: len(r.queue), Load: r.load, AdmissionThreshold: r.admissionThreshold}
	for _, b := range r.queue {
		s.QueuedWork += b.demand
	}
	for _, e := range r.engines {
		if e.Phase == Gone {
			continue
		}
		s.Engines++
		s.InFlight += len(e.inFlight)
		switch {
		case e.Phase == Draining:
			s.Draining++
		case e.ejectedUntil > 0:
			s.Ejected++
		case r.inSlowStart(e):
			s.Cold++
		}
	}
	return s
}

// ReducedService is how a level of reduced service changes what is taken. The zero value changes nothing.
type ReducedService struct {
	KeepShare           map[*ServiceGroup]float64 // share of a group's batches that is still taken; absent: all
	MinUtilityPerSecond float64                   // utility for a second of work that a batch must promise; 0: any
	MaxRetries          int                       // dispatches after the first, at most; below 0: none; 0: as the settings say
	ProbeShare          float64                   // share of the probes; 0: all
	GiveUpFactor        float64                   // a batch is given up when so many times its time is not left; 0: once
}

// SetRetryBudget brings the operators' budget of further dispatches of all batches; nil: none.
func (r *Router) SetRetryBudget(all *limits.RetryBudget) { r.retryBudget = all }

// Deadline is when a batch must have its final answer, by the module's clock in seconds.
func (b *Batch) Deadline() float64 { return b.deadline }

// Demand is the work that a batch was estimated to need when it was taken, in seconds.
func (b *Batch) Demand() float64 { return b.demand }

// FixedQuota is how work for cold engines is divided among the routers where they don't talk.
func (r *Router) FixedQuota() shares.FixedConfig { return r.fixedQuota }

func (e *Engine) startID() shares.EngineStart {
	return shares.EngineStart{Engine: e.ID, StartedAt: e.StartedAt, Cores: e.cores}
}

// SetQuota brings a division that goes by what is wanted, in place of the fixed one. What was sent by that is not known to it,
// so it comes before the first batch, or opens late.
func (r *Router) SetQuota(parts shares.ColdStartQuota) { r.quota, r.quotaOnDemand = parts, true }

// QuotaGranted: a part has come, so batches that were put off for want of one look again at once. What rests by its route rests on.
func (r *Router) QuotaGranted() {
	for _, b := range r.queue {
		if b.wantsQuota {
			b.reconsiderAt = min(b.reconsiderAt, r.now)
		}
	}
	r.gateOpensAt = min(r.gateOpensAt, r.now)
}

// SetRouterCount brings how many routers are there. While that is not sure hosts tell the larger number, so that more are taken to act
// on the like of what is seen here.
func (r *Router) SetRouterCount(routers int) { r.routerCount = max(float64(routers), 1) }

// InFlightResources is what this router has out at an engine: threads, and MB of memory.
func (e *Engine) InFlightResources() (threads, memory float64) {
	for _, d := range e.inFlight {
		threads, memory = threads+d.resources.threads, memory+d.resources.memory
	}
	return threads, memory
}

// SetOthersLoad brings what all other routers have out at an engine, which holds until a time.
func (r *Router) SetOthersLoad(e *Engine, threads, memory, until float64) {
	e.othersLoad, e.othersValidUntil = resources{0, threads, memory}.perEngine(e), until
}

func (r *Router) log(format string, args ...any) {
	r.pending = append(r.pending, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
