package membership

import "slices"

// Receive processes a message of this fleet at the time now, in seconds. The form of the message has been checked; its content
// may be outdated, late or duplicated.
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
		// Answered even if meant for an earlier start or for the former owner of this address: the Ack tells who is here now.
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

// updateSender applies what a message says about its sender, which counts as alive because it sent the message. It returns the
// sender's record; nil if the sender has this router's name or is an outdated start.
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
	// A sender that this router believes gone is notified, so that it refutes that and is added again.
	if !r.isPresent() && message.From.State == Alive && message.Kind != Ping {
		m.send(r.Address, Message{Kind: Gossip}, r)
	}
	// The views still differ although rumours had time to spread: updates were lost, or the halves of a partition meet.
	if message.ViewHash != m.viewHash && m.now >= m.nextSyncAt && m.now > m.viewSince+m.settings.SyncInterval {
		m.nextSyncAt = m.now + m.settings.SyncInterval
		m.sendDigest(r.Address, false)
	}
	return r
}

// handleAck ends the probe in progress or the relayed probe that the Ack answers. An Ack for a relayed probe is passed on to the
// requester.
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

// handleDigest answers a digest with all known members of the buckets that differ, in as many messages as needed. The rate of
// answers is limited by minSyncReplyInterval, whatever the rate of digests.
func (m *Machine) handleDigest(message *Message) {
	if len(message.Hashes) != Buckets || m.now < m.nextSyncReplyAt {
		return
	}
	m.nextSyncReplyAt = m.now + minSyncReplyInterval
	var differ [Buckets]bool
	anyDiffers := false
	for i, h := range message.Hashes {
		differ[i] = h != m.bucketHashes[i]
		anyDiffers = anyDiffers || differ[i]
	}
	if !anyDiffers {
		return
	}
	if !message.IsReply {
		m.sendDigest(message.From.Address, true) // the sender answers with what it knows and this router does not
	}
	var all []Member
	for _, r := range m.records {
		if differ[bucketIndex(r.Name)] {
			all = append(all, r.Member)
		}
	}
	slices.SortFunc(all, compareByName)
	for len(all) > 0 {
		n, space := 0, m.settings.MaxRumourBytes
		for n < len(all) && space >= all[n].encodedSize() {
			space -= all[n].encodedSize()
			n++
		}
		n = max(n, 1)
		m.outgoing = append(m.outgoing, OutgoingMessage{message.From.Address, m.Envelope()})
		m.outgoing[len(m.outgoing)-1].Rumours = all[:n:n]
		all = all[n:]
	}
}

// applyUpdate applies an update about a member. The newer start wins; within a start the higher incarnation; within an incarnation
// the worse state.
func (m *Machine) applyUpdate(update Member) {
	if update.Name == m.self.Name {
		m.applyUpdateOfSelf(update)
		return
	}
	r := m.records[update.Name]
	switch {
	case r == nil:
		if update.State <= Suspect && len(m.records) < maxRecords {
			r = &record{Member: update, stateSince: m.now}
			r.State = Left // not present until addMember
			m.records[update.Name] = r
			m.addMember(r, update, "joined")
		}
	case update.Start < r.Start || update.Start == r.Start && update.Incarnation < r.Incarnation:
	case update.Start > r.Start:
		if r.isPresent() {
			m.setState(r, Dead, "replaced by a newer start")
		}
		if update.State <= Suspect {
			m.addMember(r, update, "restarted")
		} else {
			r.Member = update
		}
	case update.State == Alive:
		if update.Incarnation > r.Incarnation {
			before := r.State
			if r.isPresent() {
				r.Incarnation, r.Address = update.Incarnation, update.Address
				if before == Suspect {
					m.setState(r, Alive, "suspicion refuted")
				} else {
					m.queueRumour(r)
				}
				return
			}
			m.addMember(r, update, "rejoined")
		}
	case update.State == Suspect:
		m.applySuspicion(r, update)
	case r.isPresent():
		r.Incarnation = update.Incarnation
		m.setState(r, update.State, "as told")
	}
}

// addMember adds a member to the view that was absent from it, with the reason for the log.
func (m *Machine) addMember(r *record, update Member, reason string) {
	r.Member = update
	r.State, r.Accuser, r.accusers = Alive, "", nil
	m.memberCount++
	m.statesChanged = true
	m.toggleInView(r.ID)
	r.stateSince = m.now
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(o *record) bool { return o == r })
	m.probeOrder = slices.Insert(m.probeOrder, m.random.IntN(len(m.probeOrder)+1), r)
	m.addNote(false, "member", "name", r.Name, "start", r.Start, "address", r.Address, "is", reason, "members", m.memberCount)
	m.queueRumour(r)
	if update.State == Suspect {
		m.applySuspicion(r, update)
	}
}

// applySuspicion records an accuser of a member. Each further independent accuser shortens the time left to refute.
func (m *Machine) applySuspicion(r *record, update Member) {
	switch {
	case !r.isPresent():
		return
	case r.State == Alive || update.Incarnation > r.Incarnation:
		r.Incarnation, r.Accuser, r.accusers = update.Incarnation, update.Accuser, []string{update.Accuser}
		if r.State == Alive {
			m.setState(r, Suspect, "no answer", update.Accuser)
		} else {
			m.queueRumour(r)
		}
		r.stateSince = m.now
	case len(r.accusers) > m.settings.ExpectedAccusers || slices.Contains(r.accusers, update.Accuser):
		return
	default:
		r.accusers, r.Accuser = append(r.accusers, update.Accuser), update.Accuser
		m.queueRumour(r)
	}
	r.deadAt = r.stateSince + m.settings.suspicionTimeout(m.memberCount, len(r.accusers)-1)
}

// setState changes the state of a member, with the reason and the accusers for the log.
func (m *Machine) setState(r *record, to State, reason string, accusers ...string) {
	wasPresent := r.isPresent()
	m.statesChanged = true
	r.State, r.stateSince = to, m.now
	if to != Suspect {
		r.Accuser, r.accusers = "", nil
		m.suspects = slices.DeleteFunc(m.suspects, func(o *record) bool { return o == r })
	} else if !slices.Contains(m.suspects, r) {
		m.suspects = append(m.suspects, r)
	}
	if wasPresent && !r.isPresent() {
		m.memberCount--
		m.toggleInView(r.ID)
	}
	m.addNote(to == Dead, "member", "name", r.Name, "start", r.Start, "is", to.String(), "why", reason, "by", accusers, "members", m.memberCount)
	m.queueRumour(r)
}

// toggleInView adds a start to the view's hashes or removes it from them (an exclusive or does both), and counts the change.
func (m *Machine) toggleInView(id ID) {
	h := id.hash()
	m.viewHash ^= h
	m.bucketHashes[bucketIndex(id.Name)] ^= uint32(h)
	m.viewChanges++
	m.viewSince = m.now
}

// applyUpdateOfSelf applies an update about this router's name: other members may suspect this router, another router may have the
// same name, or rumours about an earlier start may still circulate.
func (m *Machine) applyUpdateOfSelf(update Member) {
	ownAddress := update.Address == m.self.Address
	switch {
	case update.Start < m.self.Start:
		return
	case update.Start == m.self.Start && ownAddress:
		if update.State != Alive && update.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = update.Incarnation + 1
			m.localHealth = min(m.localHealth+1, maxLocalHealth)
			m.addNote(true, "refuting", "said", update.State.String(), "by", update.Accuser, "incarnation", m.self.Incarnation)
			m.announceSelf()
		} else if update.Incarnation > m.self.Incarnation {
			m.self.Incarnation = update.Incarnation
		}
	case ownAddress || update.State > Suspect:
		// Only this router can have this address, and a newer start that is gone is no conflict. This router takes a start above
		// it, since others would ignore the smaller one. It occurs after a clock was set back or a file came from another machine.
		m.takeStart(update.Start + 1)
		if m.nameConflict {
			m.nameConflict = false
			m.addNote(true, "name conflict ended: this router has its name again", "start", m.self.Start)
		}
		m.announceSelf()
	case update.Start == m.self.Start && update.Address < m.self.Address: // equal starts: the router with the smaller address gives way
	case !m.nameConflict:
		// Seeds are contacted often from now on: nothing else tells this router that the newer start has gone.
		m.nameConflict, m.nextJoinAt = true, min(m.nextJoinAt, m.now+m.settings.JoinInterval)
		m.addNote(true, "name used twice: the newer start has it, this router does no more than alone", "other", update.Address, "start", update.Start,
			"own", m.self.Start)
	}
}

// takeStart gives this router another start, with incarnation 0.
func (m *Machine) takeStart(start uint64) {
	m.toggleInView(m.self.ID)
	m.self.Start, m.self.Incarnation = start, 0
	m.toggleInView(m.self.ID)
}

// announceSelf sends this router's own state to some random members at once. Every other packet carries it too.
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
