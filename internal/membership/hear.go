package membership

import "slices"

// Heard takes in a message of this fleet. It has been checked for its form; whatever it says may be old, late or doubled.
func (m *Machine) Heard(now float64, message *Message) {
	m.clock(now)
	if m.leaving {
		return
	}
	from := m.sender(message)
	for _, r := range message.Rumours {
		m.hear(r)
	}
	if m.double {
		m.look()
		m.plan()
		return
	}
	switch message.Kind {
	case Ping:
		// Meant for an earlier start of ours, or for whoever had this address before: the answer tells who is here now.
		m.send(message.From.Address, Message{Kind: Ack, Number: message.Number}, from)
	case Ack:
		m.acked(message)
	case Ask:
		if len(m.asks) < mostAsks && message.Target.Address != "" {
			m.numbers++
			m.asks = append(m.asks, ask{m.numbers, message.Number, message.From.Address, m.now + m.settings.Every*0.7})
			m.send(message.Target.Address, Message{Kind: Ping, Number: m.numbers, Target: message.Target}, m.records[message.Target.Name])
		}
	case Compare:
		m.compared(message)
	}
	m.look()
	m.plan()
}

// sender takes in who speaks: by that alone it lives.
func (m *Machine) sender(message *Message) *record {
	if message.From.Name == m.self.Name {
		m.hear(message.From)
		return nil
	}
	m.hear(message.From)
	r := m.records[message.From.Name]
	if r == nil || r.Start != message.From.Start {
		return nil
	}
	if r.heard < m.now-m.settings.Lately || r.heard == 0 {
		m.recent = append(m.recent, r)
	}
	r.heard, r.view, m.heardAt = m.now, message.View, m.now
	// One that speaks though we hold it for gone has to know: it refutes, and is back.
	if !r.there() && message.From.State == Alive && message.Kind != Ping {
		m.send(r.Address, Message{Kind: Tell}, r)
	}
	// Rumours had their time and we still differ: something was lost for good, or two halves meet.
	if message.View != m.hash && m.now >= m.compareAt && m.now > m.since+m.settings.Compare {
		m.compareAt = m.now + m.settings.Compare
		m.compare(r.Address, false)
	}
	return r
}

func (m *Machine) acked(message *Message) {
	if p := &m.probe; p.target != nil && !p.settled && p.number == message.Number && p.target.Start == p.start {
		p.settled = true
		m.health = max(m.health-1, 0)
		return
	}
	for i, a := range m.asks {
		if a.number == message.Number {
			m.send(a.to, Message{Kind: Ack, Number: a.theirs}, nil)
			m.asks = slices.Delete(m.asks, i, i+1)
			return
		}
	}
}

// compared tells all that is known of the buckets that differ, in as many messages as it takes. However often it is asked,
// it answers so many times a second.
func (m *Machine) compared(message *Message) {
	if len(message.Hashes) != Buckets || m.now < m.answersAt {
		return
	}
	m.answersAt = m.now + answerEvery
	var differ [Buckets]bool
	some := false
	for i, h := range message.Hashes {
		differ[i] = h != m.buckets[i]
		some = some || differ[i]
	}
	if !some {
		return
	}
	if !message.Answer {
		m.compare(message.From.Address, true) // what they know that we don't comes back the same way
	}
	var all []Member
	for _, r := range m.records {
		if differ[bucket(r.Name)] {
			all = append(all, r.Member)
		}
	}
	slices.SortFunc(all, byName)
	for len(all) > 0 {
		n, room := 0, m.settings.Rumours
		for n < len(all) && room >= all[n].size() {
			room -= all[n].size()
			n++
		}
		n = max(n, 1)
		m.out = append(m.out, Send{message.From.Address, m.Envelope()})
		m.out[len(m.out)-1].Rumours = all[:n:n]
		all = all[n:]
	}
}

// hear takes in what is said of a member. The newer start wins; of one start the higher incarnation; of one incarnation what
// is worse.
func (m *Machine) hear(said Member) {
	if said.Name == m.self.Name {
		m.heardOfSelf(said)
		return
	}
	r := m.records[said.Name]
	switch {
	case r == nil:
		if said.State <= Suspect && len(m.records) < mostMembers {
			r = &record{Member: said, since: m.now}
			r.State = Left // it is not there yet
			m.records[said.Name] = r
			m.arrive(r, said, "joined")
		}
	case said.Start < r.Start || said.Start == r.Start && said.Incarnation < r.Incarnation:
	case said.Start > r.Start:
		if r.there() {
			m.change(r, Dead, "a newer start")
		}
		if said.State <= Suspect {
			m.arrive(r, said, "started again")
		} else {
			r.Member = said
		}
	case said.State == Alive:
		if said.Incarnation > r.Incarnation {
			was := r.State
			if r.there() {
				r.Incarnation, r.Address = said.Incarnation, said.Address
				if was == Suspect {
					m.change(r, Alive, "it refutes")
				} else {
					m.spread(r)
				}
				return
			}
			m.arrive(r, said, "back")
		}
	case said.State == Suspect:
		m.suspect(r, said)
	case r.there():
		r.Incarnation = said.Incarnation
		m.change(r, said.State, "as told")
	}
}

// arrive takes in a member that was not there.
func (m *Machine) arrive(r *record, said Member, why string) {
	r.Member = said
	r.State, r.By, r.accusers = Alive, "", nil
	m.there++
	m.moved = true
	m.flip(r.ID)
	r.since = m.now
	m.ring = slices.DeleteFunc(m.ring, func(o *record) bool { return o == r })
	m.ring = slices.Insert(m.ring, m.random.IntN(len(m.ring)+1), r)
	m.note(false, "member", "name", r.Name, "start", r.Start, "address", r.Address, "is", why, "members", m.there)
	m.spread(r)
	if said.State == Suspect {
		m.suspect(r, said)
	}
}

// suspect counts who accuses. Those who are independent shorten the time that is left to refute.
func (m *Machine) suspect(r *record, said Member) {
	switch {
	case !r.there():
		return
	case r.State == Alive || said.Incarnation > r.Incarnation:
		r.Incarnation, r.By, r.accusers = said.Incarnation, said.By, []string{said.By}
		if r.State == Alive {
			m.change(r, Suspect, "no answer", said.By)
		} else {
			m.spread(r)
		}
		r.since = m.now
	case len(r.accusers) > m.settings.Accuse || slices.Contains(r.accusers, said.By):
		return
	default:
		r.accusers, r.By = append(r.accusers, said.By), said.By
		m.spread(r)
	}
	r.dieAt = r.since + m.settings.lasts(m.there, len(r.accusers)-1)
}

// change moves a record from one state into another.
func (m *Machine) change(r *record, to State, why string, by ...string) {
	was := r.there()
	m.moved = true
	r.State, r.since = to, m.now
	if to != Suspect {
		r.By, r.accusers = "", nil
		m.suspects = slices.DeleteFunc(m.suspects, func(o *record) bool { return o == r })
	} else if !slices.Contains(m.suspects, r) {
		m.suspects = append(m.suspects, r)
	}
	if was && !r.there() {
		m.there--
		m.flip(r.ID)
	}
	m.note(to == Dead, "member", "name", r.Name, "start", r.Start, "is", to.String(), "why", why, "by", by, "members", m.there)
	m.spread(r)
}

// flip takes a start into the view's hash, or out of it.
func (m *Machine) flip(id ID) {
	h := id.hash()
	m.hash ^= h
	m.buckets[bucket(id.Name)] ^= uint32(h)
	m.number++
	m.since = m.now
}

// heardOfSelf: others may hold us for failed, another may have our name, or an earlier start of ours may still be talked of.
func (m *Machine) heardOfSelf(said Member) {
	own := said.Address == m.self.Address
	switch {
	case said.Start < m.self.Start:
		return
	case said.Start == m.self.Start && own:
		if said.State != Alive && said.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = said.Incarnation + 1
			m.health = min(m.health+1, mostHealth)
			m.note(true, "refuting", "said", said.State.String(), "by", said.By, "incarnation", m.self.Incarnation)
			m.announce()
		} else if said.Incarnation > m.self.Incarnation {
			m.self.Incarnation = said.Incarnation
		}
	case own || said.State > Suspect:
		// Of this address only we can be; and a newer one that is gone is in nobody's way. Its start is passed, or what is said
		// of us would count for nothing: a clock that was set back, a file of another machine.
		m.rename(said.Start + 1)
		if m.double {
			m.double = false
			m.note(true, "name is ours again", "start", m.self.Start)
		}
		m.announce()
	case said.Start == m.self.Start && said.Address < m.self.Address: // drawn alike: one of both has to give way
	case !m.double:
		// It asks for itself often from now on: whether the newer one has gone it hears from nobody else.
		m.double, m.joinAt = true, min(m.joinAt, m.now+m.settings.Join)
		m.note(true, "name used twice: the newer start has it, this router does no more than alone", "other", said.Address, "start", said.Start,
			"own", m.self.Start)
	}
}

// rename takes a later start for ourselves.
func (m *Machine) rename(start uint64) {
	m.flip(m.self.ID)
	m.self.Start, m.self.Incarnation = start, 0
	m.flip(m.self.ID)
}

// announce tells some others of ourselves at once; every packet of ours does so too.
func (m *Machine) announce() {
	var all []*record
	for _, r := range m.ring {
		if r.there() && m.records[r.Name] == r {
			all = append(all, r)
		}
	}
	for _, i := range m.random.Perm(len(all))[:min(len(all), m.settings.Helpers)] {
		m.send(all[i].Address, Message{Kind: Tell}, nil)
	}
}
