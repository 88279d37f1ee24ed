package router

import (
	"math"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
	"pitchfield/internal/traffic"
)

// quotas is what this router has of budgets that the fleet divides among its routers. It is there only where an installation
// wants it.
type quotas struct {
	machine *shares.Machine
	timer   *timer
	timerAt float64 // of the timer
}

type quotasDue struct{}

// startQuotas puts the division that moves in place of the fixed one.
func (r *Router) startQuotas(s *shares.Settings, self shares.ID) {
	r.quotas = &quotas{machine: shares.New(*s, self, r.brain.FixedQuota(), r.now)}
	r.brain.SetQuota(r.quotas.machine)
	r.setQuotaLeases()
	r.log(Info, "shares", "keepers", s.Replicas, "firm", s.FixedFraction)
}

// setQuotaLeases gives to limits what the fleet divides of them. What is out lasts for the longest time limit at the most.
func (r *Router) setQuotaLeases() {
	if r.quotas == nil || r.routes == nil {
		return
	}
	longest := 0.0
	for _, g := range r.config.Settings.Groups {
		longest = max(longest, g.Limit)
	}
	m := r.quotas.machine
	further := func(b *limits.RetryBudget, name string) {
		if b != nil && b.FleetWide {
			b.Quota = m.QuotaLease(shares.Budget{Key: shares.NamedKey(shares.ExtraDispatches, name), Name: name, Total: b.FreeRetries, CountedFor: b.Window})
		}
	}
	further(r.retryBudget, "further.all")
	for _, route := range r.routes.Routes {
		if b := route.Budget; b != nil {
			further(b, "budget "+b.Name)
		}
		if c := route.Concurrency; c != nil && c.FleetWide > 0 {
			c.Quota = m.QuotaLease(shares.Budget{Key: shares.NamedKey(shares.Concurrency, c.Name), Name: "concurrency " + c.Name, Total: float64(c.FleetWide), CountedFor: longest})
		}
	}
}

// updateQuotas asks for what the module has wanted, and lets it look again where something came. What is for oneself comes at
// once, so there may be more than one round.
func (r *Router) updateQuotas() {
	p := r.quotas
	for range 4 {
		if !p.machine.DemandPending() && r.now < p.machine.NextWake() {
			break
		}
		p.machine.Wake(r.now)
		if !p.machine.GrantsArrived() {
			break
		}
		r.brain.QuotaGranted()
		r.runDecisions()
	}
	r.flushQuotas()
}

// flushQuotas does what the machine asks for, and sets its next time.
func (r *Router) flushQuotas() {
	p := r.quotas
	for _, s := range p.machine.TakeOutgoing() {
		r.members.sent++
		said := s.Message
		r.emit(SendToPeer{s.Destination, r.members.machine.Envelope(), &said, nil})
	}
	for _, n := range p.machine.TakeNotes() {
		level := Info
		if n.Warning {
			level = Warn
		}
		r.log(level, n.Text, n.Fields...)
	}
	if at := p.machine.NextWake(); at != p.timerAt || p.timer == nil || p.timer.index < 0 {
		r.timers.stop(p.timer)
		p.timer, p.timerAt = nil, at
		if at < farFuture {
			p.timer = r.timers.add(at, quotasDue{})
		}
	}
}

// receiveQuotaMessage takes in what another router says of shares.
func (r *Router) receiveQuotaMessage(m *shares.Message) {
	p := r.quotas
	if p == nil {
		return
	}
	p.machine.Receive(r.now, m)
	if p.machine.GrantsArrived() {
		r.brain.QuotaGranted()
	}
	r.flushQuotas()
}

// writeDeadline is when the dispatch that the module has just decided has to be on its way.
func (r *Router) writeDeadline() float64 {
	if r.quotas == nil {
		return math.Inf(1)
	}
	return r.quotas.machine.SendDeadline()
}

// dispatchOrder words a dispatch.
func (d *dispatch) request(now float64) *traffic.Dispatch {
	b := d.batch
	return &traffic.Dispatch{ID: b.id, Group: b.Group.Name, IdempotencyKey: b.mark, Wait: max(d.deadline-now, 0.001), Memory: b.memory, Statement: *b.statement}
}
