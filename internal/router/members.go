package router

import (
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// members is what the router knows of the others of its fleet. It is there only where an installation wants talk.
type members struct {
	machine *membership.Machine
	timer   *timer
	at      float64 // of the timer
	said    int     // messages sent,
	heard   int     // and taken in
	settled int     // routers that are taken to be there, and
	counted int     // the number that the module was told
}

type membersDue struct{}

type membersTold struct{}

const membersEvery = 1.0 // between two words to who looks on

// setTalk begins to talk. A reload changes nothing of it: who this router is and where it listens counts from its start.
func (r *Router) setTalk(e TalkSet) {
	if r.members != nil {
		return
	}
	told := r.settings.Settings.Routers
	r.members = &members{machine: membership.New(e.Settings, r.settings.Seed, r.now), settled: told, counted: told}
	r.log(Info, "talk", "listen", e.Settings.Listen, "seeds", e.Settings.Seeds, "start", e.Settings.Self.Start)
	r.talked()
	r.timers.add(r.now, membersTold{})
	if e.Shares != nil {
		r.setShares(e.Shares, shares.ID{Name: e.Settings.Self.Name, Start: e.Settings.Self.Start})
	}
	if e.News != nil {
		r.setNews(e.News, e.Settings.Self.Name)
	}
}

func (r *Router) talkCame(e TalkCame) {
	if r.members == nil {
		return
	}
	r.members.heard++
	r.members.machine.Heard(r.now, e.Message)
	r.talked()
	if e.Shares != nil {
		r.partsCame(e.Shares)
	}
	if e.News != nil && r.news != nil {
		r.newsCame(e.Message.From.Address, e.News)
	}
}

func (r *Router) membersDue() {
	r.members.machine.Wake(r.now)
	r.talked()
}

// talked does what the machine asks for, and sets its next time.
func (r *Router) talked() {
	m := r.members
	for _, s := range m.machine.Sends() {
		m.said++
		r.do(Talk{s.To, s.Message, nil, nil})
	}
	for _, n := range m.machine.Notes() {
		level := Info
		if n.Loud {
			level = Warn
		}
		r.log(level, n.Text, n.Fields...)
	}
	r.countFleet()
	if at := m.machine.At(); at != m.at || m.timer == nil || m.timer.index < 0 {
		r.timers.stop(m.timer)
		m.timer, m.at = nil, at
		if at < farOff {
			m.timer = r.timers.add(at, membersDue{})
		}
	}
}

const farOff = 1e15

// countFleet tells the module how many routers there are. Only a settled view is taken at its word; while it is not, the larger
// of what was last settled and what is there now holds, and alone what the settings tell: to take too many for acting alike
// spreads batches more than need be, too few lets all of them meet on one engine.
func (r *Router) countFleet() {
	m := r.members
	switch n := m.machine.Count(); m.machine.Certainty() {
	case membership.Settled:
		m.settled = n
	case membership.Alone:
		m.settled = r.settings.Settings.Routers
	default:
		m.settled = max(m.settled, n)
	}
	if r.parts != nil {
		r.parts.machine.Fleet(m.machine.Count())
	}
	if m.settled != m.counted {
		m.counted = m.settled
		r.brain.SetRouterCount(m.settled)
	}
}

// tellMembers tells how it stands, for whoever asks.
func (r *Router) tellMembers() {
	m := r.members
	r.timers.add(r.now+membersEvery, membersTold{})
	told := Members{Name: r.settings.Name, Now: r.now, View: m.machine.View(), Known: m.machine.Known(), Said: m.said, Heard: m.heard}
	if r.parts != nil {
		told.Shares = r.parts.machine.State(r.now)
	}
	r.do(TellMembers{told})
}

// leaveFleet says to the others that this router goes, with its last breath.
func (r *Router) leaveFleet() {
	if r.parts != nil {
		r.parts.machine.Leave(r.now)
		r.partsSaid()
	}
	if r.members != nil {
		r.members.machine.Leave(r.now)
		r.talked()
	}
}

// Members is how a router's knowledge of its fleet stands.
type Members struct {
	Name        string
	Now         float64
	View        membership.View
	Known       []membership.Known
	Said, Heard int           // messages since the start
	Shares      *shares.State // nil: nothing is divided by talk
}
