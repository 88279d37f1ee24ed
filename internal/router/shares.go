package router

import (
	"math"

	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
	"pitchfield/internal/traffic"
)

// quotas holds this router's part of the budgets that are divided among the routers of the fleet. It exists only where this is
// configured.
type quotas struct {
	machine *shares.Machine
	timer   *timer  // wakes the machine
	timerAt float64 // when the timer is due
}

// quotasDue is the timer value at which the quota machine wants to be woken.
type quotasDue struct{}

// startQuotas replaces the fixed division of the fleet's budgets by one that follows demand.
func (r *Router) startQuotas(s *shares.Settings, self shares.ID) {
	r.quotas = &quotas{machine: shares.New(*s, self, r.brain.FixedQuota(), r.now)}
	r.brain.SetQuota(r.quotas.machine)
	r.setQuotaLeases()
	r.log(Info, "shares", "keepers", s.Replicas, "firm", s.FixedFraction)
}

// setQuotaLeases gives each fleet-wide limit its quota lease. A batch counts against a concurrency limit for at most the longest
// time limit of all service groups, so that is how long its credit may stay in use.
func (r *Router) setQuotaLeases() {
	if r.quotas == nil || r.routes == nil {
		return
	}
	longest := 0.0
	for _, g := range r.config.Settings.Groups {
		longest = max(longest, g.Limit)
	}
	m := r.quotas.machine
	setRetryLease := func(b *limits.RetryBudget, name string) {
		if b != nil && b.FleetWide {
			b.Quota = m.QuotaLease(shares.Budget{Key: shares.NamedKey(shares.ExtraDispatches, name), Name: name, Total: b.FreeRetries, CountedFor: b.Window})
		}
	}
	setRetryLease(r.retryBudget, "further.all")
	for _, route := range r.routes.Routes {
		if b := route.Budget; b != nil {
			setRetryLease(b, "budget "+b.Name)
		}
		if c := route.Concurrency; c != nil && c.FleetWide > 0 {
			c.Quota = m.QuotaLease(shares.Budget{Key: shares.NamedKey(shares.Concurrency, c.Name), Name: "concurrency " + c.Name, Total: float64(c.FleetWide), CountedFor: longest})
		}
	}
}

// updateQuotas requests the credits that the decision module has asked for, and lets it decide again when credits arrive. Messages
// to this router itself are delivered at once, so several rounds may be needed; four at most are run in one turn.
func (r *Router) updateQuotas() {
	q := r.quotas
	for range 4 {
		if !q.machine.DemandPending() && r.now < q.machine.NextWake() {
			break
		}
		q.machine.Wake(r.now)
		if !q.machine.GrantsArrived() {
			break
		}
		r.brain.QuotaGranted()
		r.runDecisions()
	}
	r.flushQuotas()
}

// flushQuotas sends the messages and logs the notes that the quota machine has produced, and sets its next timer.
func (r *Router) flushQuotas() {
	q := r.quotas
	for _, send := range q.machine.TakeOutgoing() {
		r.members.sent++
		message := send.Message
		r.emit(SendToPeer{send.Destination, r.members.machine.Envelope(), &message, nil})
	}
	for _, note := range q.machine.TakeNotes() {
		level := Info
		if note.Warning {
			level = Warn
		}
		r.log(level, note.Text, note.Fields...)
	}
	if at := q.machine.NextWake(); at != q.timerAt || q.timer == nil || q.timer.index < 0 {
		r.timers.stop(q.timer)
		q.timer, q.timerAt = nil, at
		if at < farFuture {
			q.timer = r.timers.add(at, quotasDue{})
		}
	}
}

// receiveQuotaMessage processes a quota message of another router, and lets the decision module decide again if credits came with it.
func (r *Router) receiveQuotaMessage(message *shares.Message) {
	q := r.quotas
	if q == nil {
		return
	}
	q.machine.Receive(r.now, message)
	if q.machine.GrantsArrived() {
		r.brain.QuotaGranted()
	}
	r.flushQuotas()
}

// writeDeadline returns the time by which the dispatch that the decision module has just decided must be written: when the credits
// it spends end. It is infinite where nothing that ends was spent.
func (r *Router) writeDeadline() float64 {
	if r.quotas == nil {
		return math.Inf(1)
	}
	return r.quotas.machine.SendDeadline()
}

// request returns the dispatch as it is sent to its engine. The engine may take the time that is left until the dispatch ends, but
// at least 1 ms.
func (d *dispatch) request(now float64) *traffic.Dispatch {
	b := d.batch
	return &traffic.Dispatch{ID: b.id, Group: b.Group.Name, IdempotencyKey: b.mark, Wait: max(d.deadline-now, 0.001), Memory: b.memory, Statement: *b.statement}
}
