package membership

import "slices"

// updateCertainty evaluates the certainty of the view and logs a change. When the view becomes settled, its members are added to
// settledNames.
func (m *Machine) updateCertainty() {
	to, why := m.evaluateCertainty()
	if to == m.certainty {
		return
	}
	m.addNote(true, "certainty", "was", m.certainty.String(), "is", to.String(), "why", why, "members", m.memberCount, "after", m.now-m.certaintySince)
	m.certainty, m.certaintySince = to, m.now
	if to == CutOff || to == Alone { // the next contact of a seed may be scheduled half a minute ahead
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

// evaluateCertainty returns the level of certainty of the view now, and the reason for the log.
func (m *Machine) evaluateCertainty() (Certainty, string) {
	if m.nameConflict {
		return Alone, "another has this name"
	}
	if m.statesChanged || m.now >= m.nextMajorityCheckAt { // cached, because isMajorityLost visits all members
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

// isMajorityLost reports whether fewer than half of settledNames are present and not suspected. Of two equal halves, the one with
// the first name counts as the majority. A dead member counts as missing until AcceptLossAfter: otherwise a fleet that loses its
// members one by one would settle again after each loss. A member that announced its leaving does not count as missing.
func (m *Machine) isMajorityLost() bool {
	presentCount, first, firstPresent := 0, "", false
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
			presentCount++
		}
		if first == "" || name < first {
			first, firstPresent = name, present
		}
	}
	twice := 2 * presentCount
	return len(m.settledNames) > 1 && (twice < len(m.settledNames) || twice == len(m.settledNames) && !firstPresent)
}

// countRecentViews returns the numbers of recent senders whose view has the same hash as this router's, and of those whose has not.
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

// View returns a snapshot of the view and its certainty.
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

// Certainty returns only the certainty of the view.
func (m *Machine) Certainty() Certainty { return m.certainty }

// Count returns the number of members in the view, including this router.
func (m *Machine) Count() int { return m.memberCount }

// KnownMember is what this router knows about another member, for the status page. Times are seconds.
type KnownMember struct {
	Member
	Since        float64 // time at which State took its value
	Accusers     []string
	LastReceived float64 // time of the last message from the member itself; 0: never
	SameView     bool    // its last message had the hash of this router's view
}

// KnownMembers returns all known members ordered by name, including those that left or died.
func (m *Machine) KnownMembers() (out []KnownMember) {
	for _, r := range m.records {
		out = append(out, KnownMember{r.Member, r.stateSince, slices.Clone(r.accusers), r.lastReceived, r.viewHash == m.viewHash})
	}
	slices.SortFunc(out, func(a, b KnownMember) int { return compareByName(a.Member, b.Member) })
	return out
}

// Hash returns only the hash of the view.
func (m *Machine) Hash() uint64 { return m.viewHash }

// SelfMember returns what this router reports about itself.
func (m *Machine) SelfMember() Member { return m.self }

// SelfID returns the name and start of this router.
func (m *Machine) SelfID() ID { return m.self.ID }

// Contains reports whether a member of this name is in the view.
func (m *Machine) Contains(name string) bool {
	r := m.records[name]
	return name == m.self.Name || r != nil && r.isPresent()
}
