package router

import (
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// fleet holds what the router knows of the other routers of its fleet. It exists only where peer messaging is configured.
type fleet struct {
	machine       *membership.Machine
	timer         *timer  // wakes the machine
	timerAt       float64 // when the timer is due
	sent          int     // peer messages sent since the start
	received      int     // peer messages received since the start
	settledCount  int     // routers that are assumed to be in the fleet
	reportedCount int     // number of routers that the decision module was last given
}

// membershipDue is the timer value at which the membership machine wants to be woken.
type membershipDue struct{}

// fleetReportDue is the timer value at which the next FleetStatus is due.
type fleetReportDue struct{}

// fleetReportInterval is the time between two reports of the fleet's status, in seconds.
const fleetReportInterval = 1.0

// startPeerMessaging starts membership and, where configured, quotas and load reports. Later calls, as after a reload, change nothing:
// the identity and the listening address of a router are fixed when it starts.
func (r *Router) startPeerMessaging(e PeerMessagingSet) {
	if r.members != nil {
		return
	}
	configured := r.config.Settings.Routers
	r.members = &fleet{machine: membership.New(e.Settings, r.config.Seed, r.now), settledCount: configured, reportedCount: configured}
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

// receivePeerMessage processes a message from another router of the fleet, with the quota message and the load report in it.
func (r *Router) receivePeerMessage(e PeerMessageReceived) {
	if r.members == nil {
		return
	}
	r.members.received++
	r.members.machine.Receive(r.now, e.Message)
	r.flushMembership()
	if e.Quotas != nil {
		r.receiveQuotaMessage(e.Quotas)
	}
	if e.LoadReports != nil && r.loadReports != nil {
		r.receiveLoadReport(e.Message.From.Address, e.LoadReports)
	}
}

// wakeMembership lets the membership machine do what is due.
func (r *Router) wakeMembership() {
	r.members.machine.Wake(r.now)
	r.flushMembership()
}

// flushMembership sends the messages and logs the notes that the membership machine has produced, and sets its next timer.
func (r *Router) flushMembership() {
	m := r.members
	for _, send := range m.machine.TakeOutgoing() {
		m.sent++
		r.emit(SendToPeer{send.To, send.Message, nil, nil})
	}
	for _, note := range m.machine.TakeNotes() {
		level := Info
		if note.Warning {
			level = Warn
		}
		r.log(level, note.Text, note.Fields...)
	}
	r.updateFleetSize()
	if at := m.machine.NextWake(); at != m.timerAt || m.timer == nil || m.timer.index < 0 {
		r.timers.stop(m.timer)
		m.timer, m.timerAt = nil, at
		if at < farFuture {
			m.timer = r.timers.add(at, membershipDue{})
		}
	}
}

// farFuture is a time from which on no timer is set, in seconds.
const farFuture = 1e15

// updateFleetSize gives the decision module the number of routers. A settled view counts as it is. While the view is not settled,
// the larger of the last settled number and the current one counts, and a router that is alone uses the configured number:
// assuming too many routers spreads batches more than necessary, assuming too few lets all routers pick the same engine.
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

// reportFleet emits the fleet's status for the status page, and schedules the next report.
func (r *Router) reportFleet() {
	m := r.members
	r.timers.add(r.now+fleetReportInterval, fleetReportDue{})
	status := FleetStatus{Name: r.config.Name, Now: r.now, View: m.machine.View(), Known: m.machine.KnownMembers(), Sent: m.sent, Received: m.received}
	if r.quotas != nil {
		status.Shares = r.quotas.machine.State(r.now)
	}
	r.emit(ReportMembers{status})
}

// leaveFleet tells the other routers that this one is leaving. It is called when the router exits.
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

// FleetStatus is a snapshot of what a router knows of its fleet.
type FleetStatus struct {
	Name     string
	Now      float64                  // time of the snapshot, in seconds
	View     membership.View          // the current members
	Known    []membership.KnownMember // every member that is known, including those that are gone
	Sent     int                      // peer messages sent since the start
	Received int                      // peer messages received since the start
	Shares   *shares.State            // state of the quotas; nil: no quotas are shared by peer messaging
}
