package router

import (
	"math"

	"pitchfield/brain"
	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// loadReports is what this router knows of what the others have out. It is there only where an installation wants it.
type loadReports struct {
	machine    *news.Machine
	viewHash   uint64 // number of the view that it goes by
	staleAfter float64
}

type loadReportDue struct{}

func (r *Router) startLoadReports(s *news.Settings, name string) {
	r.loadReports = &loadReports{machine: news.New(*s, name, r.now), staleAfter: s.Stale}
	r.log(Info, "news", "every", s.Every)
	r.timers.add(r.now+s.Every, loadReportDue{})
}

// sendLoadReport tells what is out of this router now.
func (r *Router) sendLoadReport() {
	n := r.loadReports
	r.updateReportMembers()
	var loads []news.Load
	for _, e := range r.engines {
		if threads, memory := e.Engine.InFlightResources(); threads > 0 {
			loads = append(loads, news.Load{Of: engineInstance(e), Threads: threads, Memory: memory})
		}
	}
	n.machine.Tell(r.now, loads)
	r.timers.add(n.machine.At(), loadReportDue{})
	r.flushLoadReports()
	r.applyReportedLoads()
}

// updateReportMembers brings who is there. Where that is cut off, or another has this router's name, what is told is of a part of the
// fleet, and nothing of it is believed.
func (r *Router) updateReportMembers() {
	n, m := r.loadReports, r.members.machine
	switch c := m.Certainty(); {
	case c == membership.Alone || c == membership.CutOff:
		n.viewHash = 0
		n.machine.View(nil)
	case n.viewHash != m.Hash():
		n.viewHash = m.Hash()
		var all []news.Member
		for _, o := range m.View().Members {
			all = append(all, news.Member{Name: o.Name, Address: o.Address})
		}
		n.machine.View(all)
	}
}

func (r *Router) receiveLoadReport(from string, m *news.Message) {
	if r.loadReports.machine.Heard(r.now, from, m) {
		r.applyReportedLoads()
	}
	r.flushLoadReports()
}

// applyReportedLoads brings to the module what the others have out.
func (r *Router) applyReportedLoads() {
	loads, age, known := r.loadReports.machine.Others(r.now)
	if !known {
		return
	}
	for _, e := range r.engines {
		if e.Phase == brain.Ready {
			l := loads[engineInstance(e)]
			r.brain.SetOthersLoad(&e.Engine, l.Threads, l.Memory, r.now+r.loadReports.staleAfter-age)
		}
	}
}

func (r *Router) flushLoadReports() {
	for _, s := range r.loadReports.machine.Sends() {
		r.members.sent++
		said := s.Message
		r.emit(SendToPeer{s.To, r.members.machine.Envelope(), nil, &said})
	}
}

func engineInstance(e *engine) news.Of {
	return news.Of{Engine: e.Engine.ID, Start: math.Float64bits(e.StartedAt)}
}
