package router

import "pitchfield/internal/membership"

// members is what the router knows of the others of its fleet. It is there only where an installation wants talk.
type members struct {
	machine *membership.Machine
	timer   *timer
	at      float64 // of the timer
	said    int     // messages sent,
	heard   int     // and taken in
}

type membersDue struct{}

type membersTold struct{}

const membersEvery = 1.0 // between two words to who looks on

// setTalk begins to talk. A reload changes nothing of it: who this router is and where it listens counts from its start.
func (r *Router) setTalk(e TalkSet) {
	if r.members != nil {
		return
	}
	r.members = &members{machine: membership.New(e.Settings, r.settings.Seed, r.now)}
	r.log(Info, "talk", "listen", e.Settings.Listen, "seeds", e.Settings.Seeds, "start", e.Settings.Self.Start)
	r.talked()
	r.timers.add(r.now, membersTold{})
}

func (r *Router) talkCame(message *membership.Message) {
	if r.members == nil {
		return
	}
	r.members.heard++
	r.members.machine.Heard(r.now, message)
	r.talked()
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
		r.do(Talk{s.To, s.Message})
	}
	for _, n := range m.machine.Notes() {
		level := Info
		if n.Loud {
			level = Warn
		}
		r.log(level, n.Text, n.Fields...)
	}
	if at := m.machine.At(); at != m.at || m.timer == nil || m.timer.index < 0 {
		r.timers.stop(m.timer)
		m.timer, m.at = nil, at
		if at < farOff {
			m.timer = r.timers.add(at, membersDue{})
		}
	}
}

const farOff = 1e15

// tellMembers tells how it stands, for whoever asks.
func (r *Router) tellMembers() {
	m := r.members
	r.timers.add(r.now+membersEvery, membersTold{})
	r.do(TellMembers{Members{Name: r.settings.Name, Now: r.now, View: m.machine.View(), Known: m.machine.Known(), Said: m.said, Heard: m.heard}})
}

// leaveFleet says to the others that this router goes, with its last breath.
func (r *Router) leaveFleet() {
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
	Said, Heard int // messages since the start
}
