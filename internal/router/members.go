package router

import (
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// fleet is what the router knows of the others of its fleet. It is there only where an installation wants talk.
type fleet struct {
	machine       *membership.Machine
	timer         *timer
	timerAt       float64 // of the timer
	sent          int     // messages sent,
	received      int     // and taken in
	settledCount  int     // routers that are taken to be there, and
	reportedCount int     // the number that the module was told
}

type membershipDue struct{}

type fleetReportDue struct{}

const fleetReportInterval = 1.0 // between two words to who looks on

// startPeerMessaging begins to talk. A reload changes nothing of it: who this router is and where it listens counts from its start.
func (r *Router) startPeerMessaging(e PeerMessagingSet) {
	if r.members != nil {
		return
	}
	told := r.config.Settings.Routers
	r.members = &fleet{machine: membership.New(e.Settings, r.config.Seed, r.now), settledCount: told, reportedCount: told}
	r.log(Info, "talk", "listen", e.Settings.Listen, "seeds", e.Settings.Seeds, "start", e.Settings.Self.Start)
	r.flushMembership()
	r.timers.add(r.now, fleetReportDue{})
	if e.Quotas != nil {
		r.startQuotas(e.Quotas, shares.ID{Name: e.Settings.Self.Name, Start: e.Settings.Self.Start})
	}
	if e.LoadReports != nil {
		r.startLoadReports(e.LoadReports, e.Settings.Self.Name)
	}
}

func (r *Router) receivePeerMessage(e PeerMessageReceived) {
	if r.members == nil {
		return
	}
	r.members.received++
	r.members.machine.Heard(r.now, e.Message)
	r.flushMembership()
	if e.Quotas != nil {
		r.receiveQuotaMessage(e.Quotas)
	}
	if e.LoadReports != nil && r.loadReports != nil {
		r.receiveLoadReport(e.Message.From.Address, e.LoadReports)
	}
}

func (r *Router) wakeMembership() {
	r.members.machine.Wake(r.now)
	r.flushMembership()
}

// flushMembership does what the machine asks for, and sets its next time.
func (r *Router) flushMembership() {
	m := r.members
	for _, s := range m.machine.Sends() {
		m.sent++
		r.emit(SendToPeer{s.To, s.Message, nil, nil})
	}
	for _, n := range m.machine.Notes() {
		level := Info
		if n.Loud {
			level = Warn
		}
		r.log(level, n.Text, n.Fields...)
	}
	r.updateFleetSize()
	if at := m.machine.At(); at != m.timerAt || m.timer == nil || m.timer.index < 0 {
		r.timers.stop(m.timer)
		m.timer, m.timerAt = nil, at
		if at < farFuture {
			m.timer = r.timers.add(at, membershipDue{})
		}
	}
}

const farFuture = 1e15

// updateFleetSize tells the module how many routers there are. Only a settled view is taken at its word; while it is not, the larger
// of what was last settled and what is there now holds, and alone what the settings tell: to take too many for acting alike
// spreads batches more than need be, too few lets all of them meet on one engine.
func (r *Router) updateFleetSize() {
	m := r.members
	switch n := m.machine.Count(); m.machine.Certainty() {
	case membership.Settled:
		m.settledCount = n
	case membership.Alone:
		m.settledCount = r.config.Settings.Routers
	default:
		m.settledCount = max(m.settledCount, n)
	}
	if r.quotas != nil {
		r.quotas.machine.ObserveFleetSize(m.machine.Count())
	}
	if m.settledCount != m.reportedCount {
		m.reportedCount = m.settledCount
		r.brain.SetRouterCount(m.settledCount)
	}
}

// reportFleet tells how it stands, for whoever asks.
func (r *Router) reportFleet() {
	m := r.members
	r.timers.add(r.now+fleetReportInterval, fleetReportDue{})
	told := FleetStatus{Name: r.config.Name, Now: r.now, View: m.machine.View(), Known: m.machine.Known(), Sent: m.sent, Received: m.received}
	if r.quotas != nil {
		told.Shares = r.quotas.machine.State(r.now)
	}
	r.emit(ReportMembers{told})
}

// leaveFleet says to the others that this router goes, with its last breath.
func (r *Router) leaveFleet() {
	if r.quotas != nil {
		r.quotas.machine.Leave(r.now)
		r.flushQuotas()
	}
	if r.members != nil {
		r.members.machine.Leave(r.now)
		r.flushMembership()
	}
}

// FleetStatus is how a router's knowledge of its fleet stands.
type FleetStatus struct {
	Name           string
	Now            float64
	View           membership.View
	Known          []membership.Known
	Sent, Received int           // messages since the start
	Shares         *shares.State // nil: nothing is divided by talk
}
