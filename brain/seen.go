package brain

import (
	"fmt"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Seen is what the module holds now, for hosts that watch it. Nothing is decided here.
type Seen struct {
	Held, Out            int     // batches that wait, and dispatches that are out
	HeldWork             float64 // seconds of work that the held ones need, as estimated
	Engines              int     // of the list that are not gone
	Cold, Aside, Drained int     // of those
	Load, Mark           float64
}

// Seen tells it.
func (r *Router) Seen() Seen {
	s := Seen{Held: len(r.held), Load: r.load, Mark: r.mark}
	for _, b := range r.held {
		s.HeldWork += b.demand
	}
	for _, e := range r.engines {
		if e.Phase == Gone {
			continue
		}
		s.Engines++
		s.Out += len(e.outs)
		switch {
		case e.Phase == Draining:
			s.Drained++
		case e.asideUntil > 0:
			s.Aside++
		case r.cold(e):
			s.Cold++
		}
	}
	return s
}

// Reduced is how a level of reduced service changes what is taken. The zero value changes nothing.
type Reduced struct {
	Keep      map[*ServiceGroup]float64 // share of a group's batches that is still taken; absent: all
	LeastGain float64                   // utility for a second of work that a batch must promise; 0: any
	Further   int                       // dispatches after the first, at most; below 0: none; 0: as the settings say
	Probes    float64                   // share of the probes; 0: all
	Early     float64                   // a batch is given up when so many times its time is not left; 0: once
}

// Budget brings the operators' budget of further dispatches of all batches; nil: none.
func (r *Router) Budget(all *limits.Budget) { r.all = all }

// Until is when a batch must have its final answer, by the module's clock in seconds.
func (b *Batch) Until() float64 { return b.limitAt }

// Demand is the work that a batch was estimated to need when it was taken, in seconds.
func (b *Batch) Demand() float64 { return b.demand }

// Fixed is how work for cold engines is divided among the routers where they don't talk.
func (r *Router) Fixed() shares.FixedConfig { return r.fixed }

func (e *Engine) start() shares.EngineStart {
	return shares.EngineStart{Engine: e.ID, StartedAt: e.StartedAt, Cores: e.cores}
}

// Divide brings a division that goes by what is wanted, in place of the fixed one. What was sent by that is not known to it,
// so it comes before the first batch, or opens late.
func (r *Router) Divide(parts shares.ColdStartQuota) { r.parts, r.moved = parts, true }

// Granted: a part has come, so batches that were put off for want of one look again at once. What rests by its route rests on.
func (r *Router) Granted() {
	for _, b := range r.held {
		if b.wants {
			b.redrawAt = min(b.redrawAt, r.now)
		}
	}
	r.gateAt = min(r.gateAt, r.now)
}

// Fleet brings how many routers are there. While that is not sure hosts tell the larger number, so that more are taken to act
// on the like of what is seen here.
func (r *Router) Fleet(routers int) { r.routers = max(float64(routers), 1) }

// Out is what this router has out at an engine: threads, and MB of memory.
func (e *Engine) Out() (threads, memory float64) {
	for _, d := range e.outs {
		threads, memory = threads+d.takes.threads, memory+d.takes.memory
	}
	return threads, memory
}

// Others brings what all other routers have out at an engine, which holds until a time.
func (r *Router) Others(e *Engine, threads, memory, until float64) {
	e.others, e.othersTo = amount{0, threads, memory}.per(e), until
}

func (r *Router) log(format string, args ...any) {
	r.next = append(r.next, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
