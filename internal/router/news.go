package router

import (
	"math"

	"pitchfield/brain"
	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// told is what this router knows of what the others have out. It is there only where an installation wants it.
type told struct {
	machine *news.Machine
	view    uint64 // number of the view that it goes by
	stale   float64
}

type newsDue struct{}

func (r *Router) setNews(s *news.Settings, name string) {
	r.news = &told{machine: news.New(*s, name, r.now), stale: s.Stale}
	r.log(Info, "news", "every", s.Every)
	r.timers.add(r.now+s.Every, newsDue{})
}

// newsDue tells what is out of this router now.
func (r *Router) newsDue() {
	n := r.news
	r.newsView()
	var loads []news.Load
	for _, e := range r.engines {
		if threads, memory := e.Engine.InFlightResources(); threads > 0 {
			loads = append(loads, news.Load{Of: of(e), Threads: threads, Memory: memory})
		}
	}
	n.machine.Tell(r.now, loads)
	r.timers.add(n.machine.At(), newsDue{})
	r.newsSaid()
	r.newsKnown()
}

// newsView brings who is there. Where that is cut off, or another has this router's name, what is told is of a part of the
// fleet, and nothing of it is believed.
func (r *Router) newsView() {
	n, m := r.news, r.members.machine
	switch c := m.Certainty(); {
	case c == membership.Alone || c == membership.CutOff:
		n.view = 0
		n.machine.View(nil)
	case n.view != m.Hash():
		n.view = m.Hash()
		var all []news.Member
		for _, o := range m.View().Members {
			all = append(all, news.Member{Name: o.Name, Address: o.Address})
		}
		n.machine.View(all)
	}
}

func (r *Router) newsCame(from string, m *news.Message) {
	if r.news.machine.Heard(r.now, from, m) {
		r.newsKnown()
	}
	r.newsSaid()
}

// newsKnown brings to the module what the others have out.
func (r *Router) newsKnown() {
	loads, age, known := r.news.machine.Others(r.now)
	if !known {
		return
	}
	for _, e := range r.engines {
		if e.Phase == brain.Ready {
			l := loads[of(e)]
			r.brain.SetOthersLoad(&e.Engine, l.Threads, l.Memory, r.now+r.news.stale-age)
		}
	}
}

func (r *Router) newsSaid() {
	for _, s := range r.news.machine.Sends() {
		r.members.said++
		said := s.Message
		r.do(Talk{s.To, r.members.machine.Envelope(), nil, &said})
	}
}

func of(e *engine) news.Of { return news.Of{Engine: e.Engine.ID, Start: math.Float64bits(e.StartedAt)} }
