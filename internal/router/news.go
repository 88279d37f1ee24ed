package router

import (
	"math"

	"pitchfield/brain"
	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// loadReports holds what this router knows of the load that the other routers have outstanding at the engines. It exists only where
// load reports are configured.
type loadReports struct {
	machine    *news.Machine
	viewHash   uint64  // hash of the membership view that the machine uses; 0: none
	staleAfter float64 // seconds after which a report no longer counts
}

// loadReportDue is the timer value at which the next load report is due.
type loadReportDue struct{}

// startLoadReports begins to exchange load reports with the other routers.
func (r *Router) startLoadReports(s *news.Settings, name string) {
	r.loadReports = &loadReports{machine: news.New(*s, name, r.now), staleAfter: s.StaleAfter}
	r.log(Info, "news", "every", s.Interval)
	r.timers.add(r.now+s.Interval, loadReportDue{})
}

// sendLoadReport reports the load that this router has outstanding at each engine, and schedules the next report.
func (r *Router) sendLoadReport() {
	n := r.loadReports
	r.updateReportMembers()
	var loads []news.Load
	for _, e := range r.engines {
		if threads, memory := e.Engine.InFlightResources(); threads > 0 {
			loads = append(loads, news.Load{EngineStart: engineInstance(e), Threads: threads, Memory: memory})
		}
	}
	n.machine.Report(r.now, loads)
	r.timers.add(n.machine.NextReport(), loadReportDue{})
	r.flushLoadReports()
	r.applyReportedLoads()
}

// updateReportMembers gives the machine the current members. While this router is cut off, or another router has its name, reports
// cover only a part of the fleet, so the machine gets no members and ignores all reports.
func (r *Router) updateReportMembers() {
	n, m := r.loadReports, r.members.machine
	switch c := m.Certainty(); {
	case c == membership.Alone || c == membership.CutOff:
		n.viewHash = 0
		n.machine.SetMembers(nil)
	case n.viewHash != m.Hash():
		n.viewHash = m.Hash()
		var all []news.Member
		for _, member := range m.View().Members {
			all = append(all, news.Member{Name: member.Name, Address: member.Address})
		}
		n.machine.SetMembers(all)
	}
}

// receiveLoadReport processes a load report that another router has sent from an address.
func (r *Router) receiveLoadReport(from string, m *news.Message) {
	if r.loadReports.machine.Receive(r.now, from, m) {
		r.applyReportedLoads()
	}
	r.flushLoadReports()
}

// applyReportedLoads gives the decision module the load that the other routers have outstanding at each engine.
func (r *Router) applyReportedLoads() {
	loads, age, known := r.loadReports.machine.OthersLoad(r.now)
	if !known {
		return
	}
	for _, e := range r.engines {
		if e.Phase == brain.Ready {
			load := loads[engineInstance(e)]
			r.brain.SetOthersLoad(&e.Engine, load.Threads, load.Memory, r.now+r.loadReports.staleAfter-age)
		}
	}
}

// flushLoadReports sends the messages that the load report machine has produced.
func (r *Router) flushLoadReports() {
	for _, send := range r.loadReports.machine.TakeOutgoing() {
		r.members.sent++
		message := send.Message
		r.emit(SendToPeer{send.To, r.members.machine.Envelope(), nil, &message})
	}
}

// engineInstance identifies one start of an engine: a restarted engine is another instance.
func engineInstance(e *engine) news.EngineStart {
	return news.EngineStart{Engine: e.Engine.ID, Start: math.Float64bits(e.StartedAt)}
}
