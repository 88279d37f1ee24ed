package shares

import "slices"

// replica is the part of one that promises, and may become the bursar itself. Leases by promises of most, without a disk, are
// PaxosLease's (Trencseni, Gazso, Reinhardt, 2012): who has just started promises nothing until all that it may have promised
// before has ended.
type replica struct {
	*Settings
	silentUntil float64 // nothing is promised before

	promisedTo      ID // who has the promise,
	promisedAddress string
	promisedClaim   uint64 // by which claim,
	promisedUntil   float64
	lastClaimNumber uint64 // of own claims
	claims          []claim
	leadershipEnds  float64 // the own office lasts until then
	nextClaimAt     float64
	leaderSince     float64   // since when the office is held without a gap; 0: it is not
	previousPromise ID        // whom was promised before him
	takeover        *handover // what the office was taken over with; nil: nothing
	handover        *handover // what a bursar who left has handed over; nil: nothing, or another was promised since
	claimAfter      float64   // since when nobody's promise stands in the own way; 0: one does

	records       map[Key]map[grantID]replicaRecord // of what bursars gave; forget deletes
	completeSince float64                           // since when all that is given is told to this start too
}

// claim is one of our own that is not void yet.
type claim struct {
	number           uint64
	sentAt           float64
	promisedBy       []string // who has promised,
	refusedBy        []string // and who has refused
	previousPromises []ID     // whom those who promised had promised before
}

// handover is what still counted in the books of a bursar who left.
type handover struct {
	by         ID
	receivedAt float64 // when it was heard
	items      []Item  // key, amount, and in Rest how long it counts at the most
}

// replicaIndex of an address among the keepers; below 0: none.
func (s *Settings) replicaIndex(address string) int { return slices.Index(s.Replicas, address) }

// jitter is another number from 0 to 1 for each keeper and each of its claims, so that seldom two claim at once.
func (k *replica) jitter() float64 {
	return HashFraction(uint64(k.replicaIndex(k.Listen))+1, k.lastClaimNumber+1)
}

// promisedToOther tells whether another's claim stands.
func (k *replica) promisedToOther(now float64, but ID) bool {
	return now < k.promisedUntil && k.promisedTo != but
}

// handleClaim answers a claim or a yield of another keeper.
func (k *replica) handleClaim(now float64, m *Message) (answer MessageKind) {
	switch m.Kind {
	case Claim:
		if now < k.silentUntil || k.promisedToOther(now, m.From) || k.replicaIndex(m.FromAddress) < 0 || k.promisedTo == m.From && m.Number < k.promisedClaim {
			return Refusal
		}
		k.promise(now, m.From, m.FromAddress, m.Number)
		return Promise
	case Resign, Handover: // one that was passed by a later claim, or comes late, ends nothing
		if k.promisedTo == m.From && m.Number >= k.promisedClaim {
			if k.promisedUntil = min(k.promisedUntil, now); m.Kind == Handover {
				k.handover = &handover{m.From, now, m.Items}
			}
		}
	}
	return 0
}

// promise notes whom the promise is for.
func (k *replica) promise(now float64, to ID, at string, claim uint64) {
	if to != k.promisedTo {
		k.previousPromise = k.promisedTo
	}
	k.promisedTo, k.promisedAddress, k.promisedClaim, k.promisedUntil = to, at, claim, now+k.padForDrift(k.Term)
}

// validHandover gives what the bursar before handed over, if it was he whom all who have promised had promised last: then nobody
// was the bursar in between, as he would have had a promise of one of them. They still know, or they would have promised
// nobody yet.
func (k *replica) validHandover(c *claim) *handover {
	h := k.handover
	if h == nil || slices.ContainsFunc(c.previousPromises, func(before ID) bool { return before != h.by }) {
		return nil
	}
	return h
}

// claimDue tells whether it is time to claim. A bursar renews early; the others wait in the keepers' order, so that seldom two
// claim at once.
func (k *replica) claimDue(now float64, self ID) bool {
	switch {
	case now < k.silentUntil || now < k.nextClaimAt:
		return false
	case k.isCoordinator(now):
		return true
	case k.promisedToOther(now, self):
		k.claimAfter = 0
		return false
	case k.claimAfter == 0:
		k.claimAfter = now + (float64(k.replicaIndex(k.Listen))+k.jitter())*k.Term/8
	}
	return now >= k.claimAfter
}

// electionStep is what is to be sent to all keepers, if anything: a claim, or the end of an election that goes nowhere.
func (k *replica) electionStep(now float64, self ID) (Message, bool) {
	if !k.claimDue(now, self) {
		return Message{}, false
	}
	if len(k.claims) > 0 && !k.isCoordinator(now) && now >= k.claims[0].sentAt+k.Term/2 {
		return k.resign(now, self), true
	}
	k.lastClaimNumber++
	k.promise(now, self, k.Listen, k.lastClaimNumber) // the first promise is ours
	k.claims = append(slices.DeleteFunc(k.claims, func(c claim) bool { return now >= c.sentAt+k.Term }), claim{k.lastClaimNumber, now, []string{k.Listen}, nil, []ID{k.previousPromise}})
	k.nextClaimAt = now + k.Term/4
	k.countPromises(now, &k.claims[len(k.claims)-1])
	return Message{Kind: Claim, Number: k.lastClaimNumber}, true
}

// handleAnswer takes a promise or a refusal in. It gives true if the election is lost by it. A promise counts from when its claim
// was sent.
func (k *replica) handleAnswer(now float64, m *Message) (lost bool) {
	i := slices.IndexFunc(k.claims, func(c claim) bool { return c.number == m.Number })
	if i < 0 || k.replicaIndex(m.FromAddress) < 0 {
		return false
	}
	c := &k.claims[i]
	list := &c.promisedBy
	if m.Kind == Refusal {
		list = &c.refusedBy
	}
	if slices.Contains(*list, m.FromAddress) {
		return false
	}
	*list = append(*list, m.FromAddress)
	if m.Kind == Promise {
		c.previousPromises = append(c.previousPromises, m.PreviousPromise)
	}
	k.countPromises(now, c)
	return 2*len(c.refusedBy) >= len(k.Replicas) && !k.isCoordinator(now)
}

// countPromises takes the office once most have promised.
func (k *replica) countPromises(now float64, c *claim) {
	end := c.sentAt + k.Term
	if 2*len(c.promisedBy) <= len(k.Replicas) || end <= now {
		return
	}
	if !k.isCoordinator(now) {
		k.leaderSince, k.takeover = now, k.validHandover(c)
		k.handover = nil
	}
	k.leadershipEnds = max(k.leadershipEnds, end)
}

// isCoordinator tells whether we are the bursar now. A process that stood still finds here that its office has ended.
func (k *replica) isCoordinator(now float64) bool {
	if k.leaderSince > 0 && now >= k.leadershipEnds {
		k.leaderSince, k.claims = 0, nil
	}
	return k.leaderSince > 0
}

// resign ends an election, so that what was promised to us is in nobody's way. Promises that come later count for nothing.
func (k *replica) resign(now float64, self ID) Message {
	if k.promisedTo == self {
		k.promisedUntil = min(k.promisedUntil, now)
	}
	k.leaderSince, k.leadershipEnds, k.claims = 0, 0, nil
	k.claimAfter = now + k.Term*(0.25+k.jitter())
	k.nextClaimAt = k.claimAfter
	return Message{Kind: Resign, Number: k.lastClaimNumber}
}
