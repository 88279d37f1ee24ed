package membership

import "slices"

// look finds out how sure we may be of the view.
func (m *Machine) look() {
	to, why := m.certain()
	if to == m.state {
		return
	}
	m.note(true, "certainty", "was", m.state.String(), "is", to.String(), "why", why, "members", m.there, "after", m.now-m.stateAt)
	m.state, m.stateAt = to, m.now
	if to == CutOff || to == Alone { // a call at a seed may have been planned for half a minute later
		m.joinAt = min(m.joinAt, m.now+m.settings.Join)
	}
	if to == Settled {
		for name, r := range m.records {
			if r.there() {
				m.basis[name] = true
			}
		}
		m.basis[m.self.Name] = true
	}
}

func (m *Machine) certain() (Certainty, string) {
	if m.double {
		return Alone, "another has this name"
	}
	if m.moved || m.now >= m.missAt { // it goes through all of them
		m.moved, m.missAt, m.lacks = false, m.now+missEvery, m.missing()
	}
	if m.lacks {
		return CutOff, "less than half of those with whom it settled are there"
	}
	agree, differ := m.heardLately()
	switch {
	case m.there == 1 && len(m.basis) <= 1:
		return Alone, "nobody is known"
	case m.there == 1 && m.now > m.since+m.settings.Settle && m.now >= m.stoodAt:
		return Settled, "all others have gone"
	case len(m.suspects) > 0:
		return Changing, "somebody is suspected"
	case m.now < m.since+m.settings.Settle:
		return Changing, "the view has changed"
	case m.now < m.stoodAt:
		return Changing, "it stood still"
	case differ > 0:
		return Changing, "some have another view"
	case agree == 0:
		return Changing, "nobody was heard lately"
	}
	return Settled, "all heard lately have the same view"
}

// missing: less than half of those with whom it last settled are there and not suspected; of two equal halves the one with
// the first name has the half. Who has died counts as missing for a time: one by one a fleet that falls apart would
// settle anew with each. Who left by its own word is not missing.
func (m *Machine) missing() bool {
	here, first, firstHere := 0, "", false
	for name := range m.basis {
		present := name == m.self.Name
		if r := m.records[name]; !present {
			if r == nil || r.State == Left || r.State == Dead && m.now > r.since+m.settings.Accept {
				delete(m.basis, name)
				continue
			}
			present = r.State == Alive
		}
		if present {
			here++
		}
		if first == "" || name < first {
			first, firstHere = name, present
		}
	}
	twice := 2 * here
	return len(m.basis) > 1 && (twice < len(m.basis) || twice == len(m.basis) && !firstHere)
}

// heardLately counts those who have our view, and those who have not.
func (m *Machine) heardLately() (agree, differ int) {
	m.recent = slices.DeleteFunc(m.recent, func(r *record) bool { return r.heard < m.now-m.settings.Lately || m.records[r.Name] != r })
	for _, r := range m.recent {
		switch {
		case !r.there():
		case r.view == m.hash:
			agree++
		default:
			differ++
		}
	}
	return agree, differ
}

// View is who is there, and how sure that is.
func (m *Machine) View() View {
	v := View{Number: m.number, Hash: m.hash, Since: m.since, State: m.state, StateAt: m.stateAt, Members: []Member{m.self}}
	for _, r := range m.records {
		if r.there() {
			v.Members = append(v.Members, r.Member)
		}
	}
	slices.SortFunc(v.Members, byName)
	v.Index = slices.IndexFunc(v.Members, func(o Member) bool { return o.Name == m.self.Name })
	v.Agree, v.Differ = m.heardLately()
	return v
}

// Certainty is the view's alone.
func (m *Machine) Certainty() Certainty { return m.state }

// Count is how many are in the view, with oneself.
func (m *Machine) Count() int { return m.there }

// Known is what is known of one, for who asks.
type Known struct {
	Member
	Since    float64
	Accusers []string
	Heard    float64 // 0: never
	Agrees   bool
}

// Known gives all that is known, those that are gone too, by name.
func (m *Machine) Known() (out []Known) {
	for _, r := range m.records {
		out = append(out, Known{r.Member, r.since, slices.Clone(r.accusers), r.heard, r.view == m.hash})
	}
	slices.SortFunc(out, func(a, b Known) int { return byName(a.Member, b.Member) })
	return out
}

// Hash is the view's alone.
func (m *Machine) Hash() uint64 { return m.hash }

// Me is what this router tells of itself.
func (m *Machine) Me() Member { return m.self }

// Self is the start under which this router is known.
func (m *Machine) Self() ID { return m.self.ID }

// Holds tells whether somebody of this name is in the view.
func (m *Machine) Holds(name string) bool {
	r := m.records[name]
	return name == m.self.Name || r != nil && r.there()
}
