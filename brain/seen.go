package brain

import (
	"fmt"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Stats is a snapshot of the state of a router, for monitoring.
type Stats struct {
	Queued             int     // batches in the queue
	InFlight           int     // dispatches in flight
	QueuedWork         float64 // estimated work of the queued batches, seconds
	Engines            int     // engines that are not gone
	Cold               int     // of these: in slow start
	Ejected            int     // of these: ejected
	Draining           int     // of these: draining
	Load               float64 // estimated load of the fleet, a share of its capacity
	AdmissionThreshold float64 // threads per core
}

// Stats returns the current statistics.
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

// ReducedService is a level of reduced service: how it changes which batches are taken. The zero value changes nothing.
type ReducedService struct {
	KeepShare           map[*ServiceGroup]float64 // share of a group's batches that is still taken; absent: all
	MinUtilityPerSecond float64                   // least utility per second of work of a batch that is taken; 0: any
	MaxRetries          int                       // dispatches after the first; below 0: none; 0: as configured
	ProbeShare          float64                   // share of the probes that are still sent; 0: all
	GiveUpFactor        float64                   // a batch is given up once less than this times its time needed is left; 0: 1
}

// SetRetryBudget sets the operators' budget for the retries of all batches; nil: none.
func (r *Router) SetRetryBudget(all *limits.RetryBudget) { r.retryBudget = all }

// Deadline returns when a batch must have its final answer, in seconds on the clock of SetTime.
func (b *Batch) Deadline() float64 { return b.deadline }

// Demand returns the work in seconds that a batch was estimated to need when it was added.
func (b *Batch) Demand() float64 { return b.demand }

// FixedQuota returns how work for cold engines is divided among the routers if they use no quota coordinator.
func (r *Router) FixedQuota() shares.FixedConfig { return r.fixedQuota }

// startID identifies the engine's start for the quota.
func (e *Engine) startID() shares.EngineStart {
	return shares.EngineStart{Engine: e.ID, StartedAt: e.StartedAt, Cores: e.cores}
}

// SetQuota replaces the fixed division by a quota that is moved to the routers that want it. It does not know what was
// sent under the fixed division, so it must be set before the first batch, or start with a delay.
func (r *Router) SetQuota(parts shares.ColdStartQuota) { r.quota, r.quotaOnDemand = parts, true }

// QuotaGranted records that quota has arrived: batches that waited for it are considered again at once. Batches that rest
// because of their route keep resting.
func (r *Router) QuotaGranted() {
	for _, b := range r.queue {
		if b.wantsQuota {
			b.reconsiderAt = min(b.reconsiderAt, r.now)
		}
	}
	r.gateOpensAt = min(r.gateOpensAt, r.now)
}

// SetRouterCount sets the number of routers. While it is uncertain, hosts pass the larger number, so that more routers are
// assumed to act on the same reports.
func (r *Router) SetRouterCount(routers int) { r.routerCount = max(float64(routers), 1) }

// InFlightResources returns what this router has in flight at an engine: threads, and memory in MB.
func (e *Engine) InFlightResources() (threads, memory float64) {
	for _, d := range e.inFlight {
		threads, memory = threads+d.resources.threads, memory+d.resources.memory
	}
	return threads, memory
}

// SetOthersLoad sets the threads and the memory, in MB, that all other routers have in flight at an engine. The values are
// believed until the given time.
func (r *Router) SetOthersLoad(e *Engine, threads, memory, until float64) {
	e.othersLoad, e.othersValidUntil = resources{0, threads, memory}.perEngine(e), until
}

// log adds a Log decision.
func (r *Router) log(format string, args ...any) {
	r.pending = append(r.pending, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
