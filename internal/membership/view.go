package membership

import "slices"

// updateCertainty finds out how sure we may be of the view.
func (m *Machine) updateCertainty() {
	to, why := m.evaluateCertainty()
	if to == m.certainty {
		return
	}
	m.addNote(true, "certainty", "was", m.certainty.String(), "is", to.String(), "why", why, "members", m.memberCount, "after", m.now-m.certaintySince)
	m.certainty, m.certaintySince = to, m.now
	if to == CutOff || to == Alone { // a call at a seed may have been planned for half a minute later
		m.nextJoinAt = min(m.nextJoinAt, m.now+m.settings.JoinInterval)
	}
	if to == Settled {
		for name, r := range m.records {
			if r.isPresent() {
				m.settledNames[name] = true
			}
		}
		m.settledNames[m.self.Name] = true
	}
}

func (m *Machine) evaluateCertainty() (Certainty, string) {
	if m.nameConflict {
		return Alone, "another has this name"
	}
	if m.statesChanged || m.now >= m.nextMajorityCheckAt { // it goes through all of them
		m.statesChanged, m.nextMajorityCheckAt, m.majorityLost = false, m.now+majorityCheckInterval, m.isMajorityLost()
	}
	if m.majorityLost {
		return CutOff, "less than half of those with whom it settled are there"
	}
	agree, differ := m.countRecentViews()
	switch {
	case m.memberCount == 1 && len(m.settledNames) <= 1:
		return Alone, "nobody is known"
	case m.memberCount == 1 && m.now > m.viewSince+m.settings.SettleDelay && m.now >= m.pauseSettleAt:
		return Settled, "all others have gone"
	case len(m.suspects) > 0:
		return Changing, "somebody is suspected"
	case m.now < m.viewSince+m.settings.SettleDelay:
		return Changing, "the view has changed"
	case m.now < m.pauseSettleAt:
		return Changing, "it stood still"
	case differ > 0:
		return Changing, "some have another view"
	case agree == 0:
		return Changing, "nobody was heard lately"
	}
	return Settled, "all heard lately have the same view"
}

// isMajorityLost: less than half of those with whom it last settled are there and not suspected; of two equal halves the one with
// the first name has the half. Who has died counts as missing for a time: one by one a fleet that falls apart would
// settle anew with each. Who left by its own word is not missing.
func (m *Machine) isMajorityLost() bool {
	here, first, firstHere := 0, "", false
	for name := range m.settledNames {
		present := name == m.self.Name
		if r := m.records[name]; !present {
			if r == nil || r.State == Left || r.State == Dead && m.now > r.stateSince+m.settings.AcceptLossAfter {
				delete(m.settledNames, name)
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
	return len(m.settledNames) > 1 && (twice < len(m.settledNames) || twice == len(m.settledNames) && !firstHere)
}

// countRecentViews counts those who have our view, and those who have not.
func (m *Machine) countRecentViews() (agree, differ int) {
	m.recentSenders = slices.DeleteFunc(m.recentSenders, func(r *record) bool { return r.lastReceived < m.now-m.settings.RecentWindow || m.records[r.Name] != r })
	for _, r := range m.recentSenders {
		switch {
		case !r.isPresent():
		case r.viewHash == m.viewHash:
			agree++
		default:
			differ++
		}
	}
	return agree, differ
}

// View is who is there, and how sure that is.
func (m *Machine) View() View {
	v := View{Changes: m.viewChanges, Hash: m.viewHash, Since: m.viewSince, Certainty: m.certainty, CertaintySince: m.certaintySince, Members: []Member{m.self}}
	for _, r := range m.records {
		if r.isPresent() {
			v.Members = append(v.Members, r.Member)
		}
	}
	slices.SortFunc(v.Members, compareByName)
	v.SelfIndex = slices.IndexFunc(v.Members, func(o Member) bool { return o.Name == m.self.Name })
	v.AgreeCount, v.DifferCount = m.countRecentViews()
	return v
}

// Certainty is the view's alone.
func (m *Machine) Certainty() Certainty { return m.certainty }

// Count is how many are in the view, with oneself.
func (m *Machine) Count() int { return m.memberCount }

// KnownMember is what is known of one, for who asks.
type KnownMember struct {
	Member
	Since        float64
	Accusers     []string
	LastReceived float64 // 0: never
	SameView     bool
}

// KnownMembers gives all that is known, those that are gone too, by name.
func (m *Machine) KnownMembers() (out []KnownMember) {
	for _, r := range m.records {
		out = append(out, KnownMember{r.Member, r.stateSince, slices.Clone(r.accusers), r.lastReceived, r.viewHash == m.viewHash})
	}
	slices.SortFunc(out, func(a, b KnownMember) int { return compareByName(a.Member, b.Member) })
	return out
}

// Hash is the view's alone.
func (m *Machine) Hash() uint64 { return m.viewHash }

// SelfMember is what this router tells of itself.
func (m *Machine) SelfMember() Member { return m.self }

// SelfID is the start under which this router is known.
func (m *Machine) SelfID() ID { return m.self.ID }

// Contains tells whether somebody of this name is in the view.
func (m *Machine) Contains(name string) bool {
	r := m.records[name]
	return name == m.self.Name || r != nil && r.isPresent()
}
