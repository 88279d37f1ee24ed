package membership

import "slices"

// Receive takes in a message of this fleet. It has been checked for its form; whatever it says may be old, late or doubled.
func (m *Machine) Receive(now float64, message *Message) {
	m.advanceClock(now)
	if m.leaving {
		return
	}
	from := m.updateSender(message)
	for _, r := range message.Rumours {
		m.applyUpdate(r)
	}
	if m.nameConflict {
		m.updateCertainty()
		m.scheduleWake()
		return
	}
	switch message.Kind {
	case Ping:
		// Meant for an earlier start of ours, or for whoever had this address before: the answer tells who is here now.
		m.send(message.From.Address, Message{Kind: Ack, Number: message.Number}, from)
	case Ack:
		m.handleAck(message)
	case PingRequest:
		if len(m.relayedProbes) < maxRelayedProbes && message.Target.Address != "" {
			m.lastNumber++
			m.relayedProbes = append(m.relayedProbes, relayedProbe{m.lastNumber, message.Number, message.From.Address, m.now + m.settings.ProbeInterval*0.7})
			m.send(message.Target.Address, Message{Kind: Ping, Number: m.lastNumber, Target: message.Target}, m.records[message.Target.Name])
		}
	case Digest:
		m.handleDigest(message)
	}
	m.updateCertainty()
	m.scheduleWake()
}

// updateSender takes in who speaks: by that alone it lives.
func (m *Machine) updateSender(message *Message) *record {
	if message.From.Name == m.self.Name {
		m.applyUpdate(message.From)
		return nil
	}
	m.applyUpdate(message.From)
	r := m.records[message.From.Name]
	if r == nil || r.Start != message.From.Start {
		return nil
	}
	if r.lastReceived < m.now-m.settings.RecentWindow || r.lastReceived == 0 {
		m.recentSenders = append(m.recentSenders, r)
	}
	r.lastReceived, r.viewHash, m.lastReceivedAt = m.now, message.ViewHash, m.now
	// One that speaks though we hold it for gone has to know: it refutes, and is back.
	if !r.isPresent() && message.From.State == Alive && message.Kind != Ping {
		m.send(r.Address, Message{Kind: Gossip}, r)
	}
	// Rumours had their time and we still differ: something was lost for good, or two halves meet.
	if message.ViewHash != m.viewHash && m.now >= m.nextSyncAt && m.now > m.viewSince+m.settings.SyncInterval {
		m.nextSyncAt = m.now + m.settings.SyncInterval
		m.sendDigest(r.Address, false)
	}
	return r
}

func (m *Machine) handleAck(message *Message) {
	if p := &m.probe; p.target != nil && !p.finished && p.number == message.Number && p.target.Start == p.start {
		p.finished = true
		m.localHealth = max(m.localHealth-1, 0)
		return
	}
	for i, a := range m.relayedProbes {
		if a.number == message.Number {
			m.send(a.requester, Message{Kind: Ack, Number: a.requesterNumber}, nil)
			m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
			return
		}
	}
}

// handleDigest tells all that is known of the buckets that differ, in as many messages as it takes. However often it is asked,
// it answers so many times a second.
func (m *Machine) handleDigest(message *Message) {
	if len(message.Hashes) != Buckets || m.now < m.nextSyncReplyAt {
		return
	}
	m.nextSyncReplyAt = m.now + minSyncReplyInterval
	var differ [Buckets]bool
	some := false
	for i, h := range message.Hashes {
		differ[i] = h != m.bucketHashes[i]
		some = some || differ[i]
	}
	if !some {
		return
	}
	if !message.IsReply {
		m.sendDigest(message.From.Address, true) // what they know that we don't comes back the same way
	}
	var all []Member
	for _, r := range m.records {
		if differ[bucketIndex(r.Name)] {
			all = append(all, r.Member)
		}
	}
	slices.SortFunc(all, compareByName)
	for len(all) > 0 {
		n, room := 0, m.settings.MaxRumourBytes
		for n < len(all) && room >= all[n].encodedSize() {
			room -= all[n].encodedSize()
			n++
		}
		n = max(n, 1)
		m.outgoing = append(m.outgoing, OutgoingMessage{message.From.Address, m.Envelope()})
		m.outgoing[len(m.outgoing)-1].Rumours = all[:n:n]
		all = all[n:]
	}
}

// applyUpdate takes in what is said of a member. The newer start wins; of one start the higher incarnation; of one incarnation what
// is worse.
func (m *Machine) applyUpdate(said Member) {
	if said.Name == m.self.Name {
		m.applyUpdateOfSelf(said)
		return
	}
	r := m.records[said.Name]
	switch {
	case r == nil:
		if said.State <= Suspect && len(m.records) < maxRecords {
			r = &record{Member: said, stateSince: m.now}
			r.State = Left // it is not there yet
			m.records[said.Name] = r
			m.addMember(r, said, "joined")
		}
	case said.Start < r.Start || said.Start == r.Start && said.Incarnation < r.Incarnation:
	case said.Start > r.Start:
		if r.isPresent() {
			m.setState(r, Dead, "a newer start")
		}
		if said.State <= Suspect {
			m.addMember(r, said, "started again")
		} else {
			r.Member = said
		}
	case said.State == Alive:
		if said.Incarnation > r.Incarnation {
			was := r.State
			if r.isPresent() {
				r.Incarnation, r.Address = said.Incarnation, said.Address
				if was == Suspect {
					m.setState(r, Alive, "it refutes")
				} else {
					m.queueRumour(r)
				}
				return
			}
			m.addMember(r, said, "back")
		}
	case said.State == Suspect:
		m.applySuspicion(r, said)
	case r.isPresent():
		r.Incarnation = said.Incarnation
		m.setState(r, said.State, "as told")
	}
}

// addMember takes in a member that was not there.
func (m *Machine) addMember(r *record, said Member, why string) {
	r.Member = said
	r.State, r.Accuser, r.accusers = Alive, "", nil
	m.memberCount++
	m.statesChanged = true
	m.toggleInView(r.ID)
	r.stateSince = m.now
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(o *record) bool { return o == r })
	m.probeOrder = slices.Insert(m.probeOrder, m.random.IntN(len(m.probeOrder)+1), r)
	m.addNote(false, "member", "name", r.Name, "start", r.Start, "address", r.Address, "is", why, "members", m.memberCount)
	m.queueRumour(r)
	if said.State == Suspect {
		m.applySuspicion(r, said)
	}
}

// applySuspicion counts who accuses. Those who are independent shorten the time that is left to refute.
func (m *Machine) applySuspicion(r *record, said Member) {
	switch {
	case !r.isPresent():
		return
	case r.State == Alive || said.Incarnation > r.Incarnation:
		r.Incarnation, r.Accuser, r.accusers = said.Incarnation, said.Accuser, []string{said.Accuser}
		if r.State == Alive {
			m.setState(r, Suspect, "no answer", said.Accuser)
		} else {
			m.queueRumour(r)
		}
		r.stateSince = m.now
	case len(r.accusers) > m.settings.ExpectedAccusers || slices.Contains(r.accusers, said.Accuser):
		return
	default:
		r.accusers, r.Accuser = append(r.accusers, said.Accuser), said.Accuser
		m.queueRumour(r)
	}
	r.deadAt = r.stateSince + m.settings.suspicionTimeout(m.memberCount, len(r.accusers)-1)
}

// setState moves a record from one state into another.
func (m *Machine) setState(r *record, to State, why string, by ...string) {
	was := r.isPresent()
	m.statesChanged = true
	r.State, r.stateSince = to, m.now
	if to != Suspect {
		r.Accuser, r.accusers = "", nil
		m.suspects = slices.DeleteFunc(m.suspects, func(o *record) bool { return o == r })
	} else if !slices.Contains(m.suspects, r) {
		m.suspects = append(m.suspects, r)
	}
	if was && !r.isPresent() {
		m.memberCount--
		m.toggleInView(r.ID)
	}
	m.addNote(to == Dead, "member", "name", r.Name, "start", r.Start, "is", to.String(), "why", why, "by", by, "members", m.memberCount)
	m.queueRumour(r)
}

// toggleInView takes a start into the view's hash, or out of it.
func (m *Machine) toggleInView(id ID) {
	h := id.hash()
	m.viewHash ^= h
	m.bucketHashes[bucketIndex(id.Name)] ^= uint32(h)
	m.viewChanges++
	m.viewSince = m.now
}

// applyUpdateOfSelf: others may hold us for failed, another may have our name, or an earlier start of ours may still be talked of.
func (m *Machine) applyUpdateOfSelf(said Member) {
	own := said.Address == m.self.Address
	switch {
	case said.Start < m.self.Start:
		return
	case said.Start == m.self.Start && own:
		if said.State != Alive && said.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = said.Incarnation + 1
			m.localHealth = min(m.localHealth+1, maxLocalHealth)
			m.addNote(true, "refuting", "said", said.State.String(), "by", said.Accuser, "incarnation", m.self.Incarnation)
			m.announceSelf()
		} else if said.Incarnation > m.self.Incarnation {
			m.self.Incarnation = said.Incarnation
		}
	case own || said.State > Suspect:
		// Of this address only we can be; and a newer one that is gone is in nobody's way. Its start is passed, or what is said
		// of us would count for nothing: a clock that was set back, a file of another machine.
		m.takeStart(said.Start + 1)
		if m.nameConflict {
			m.nameConflict = false
			m.addNote(true, "name is ours again", "start", m.self.Start)
		}
		m.announceSelf()
	case said.Start == m.self.Start && said.Address < m.self.Address: // drawn alike: one of both has to give way
	case !m.nameConflict:
		// It asks for itself often from now on: whether the newer one has gone it hears from nobody else.
		m.nameConflict, m.nextJoinAt = true, min(m.nextJoinAt, m.now+m.settings.JoinInterval)
		m.addNote(true, "name used twice: the newer start has it, this router does no more than alone", "other", said.Address, "start", said.Start,
			"own", m.self.Start)
	}
}

// takeStart takes a later start for ourselves.
func (m *Machine) takeStart(start uint64) {
	m.toggleInView(m.self.ID)
	m.self.Start, m.self.Incarnation = start, 0
	m.toggleInView(m.self.ID)
}

// announceSelf tells some others of ourselves at once; every packet of ours does so too.
func (m *Machine) announceSelf() {
	var all []*record
	for _, r := range m.probeOrder {
		if r.isPresent() && m.records[r.Name] == r {
			all = append(all, r)
		}
	}
	for _, i := range m.random.Perm(len(all))[:min(len(all), m.settings.IndirectProbes)] {
		m.send(all[i].Address, Message{Kind: Gossip}, nil)
	}
}
