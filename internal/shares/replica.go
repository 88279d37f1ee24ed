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
func (r *replica) jitter() float64 {
	return HashFraction(uint64(r.replicaIndex(r.Listen))+1, r.lastClaimNumber+1)
}

// promisedToOther tells whether another's claim stands.
func (r *replica) promisedToOther(now float64, but ID) bool {
	return now < r.promisedUntil && r.promisedTo != but
}

// handleClaim answers a claim or a yield of another keeper.
func (r *replica) handleClaim(now float64, m *Message) (answer MessageKind) {
	switch m.Kind {
	case Claim:
		if now < r.silentUntil || r.promisedToOther(now, m.From) || r.replicaIndex(m.FromAddress) < 0 || r.promisedTo == m.From && m.Number < r.promisedClaim {
			return Refusal
		}
		r.promise(now, m.From, m.FromAddress, m.Number)
		return Promise
	case Resign, Handover: // one that was passed by a later claim, or comes late, ends nothing
		if r.promisedTo == m.From && m.Number >= r.promisedClaim {
			if r.promisedUntil = min(r.promisedUntil, now); m.Kind == Handover {
				r.handover = &handover{m.From, now, m.Items}
			}
		}
	}
	return 0
}

// promise notes whom the promise is for.
func (r *replica) promise(now float64, to ID, at string, claim uint64) {
	if to != r.promisedTo {
		r.previousPromise = r.promisedTo
	}
	r.promisedTo, r.promisedAddress, r.promisedClaim, r.promisedUntil = to, at, claim, now+r.padForDrift(r.Term)
}

// validHandover gives what the bursar before handed over, if it was he whom all who have promised had promised last: then nobody
// was the bursar in between, as he would have had a promise of one of them. They still know, or they would have promised
// nobody yet.
func (r *replica) validHandover(c *claim) *handover {
	h := r.handover
	if h == nil || slices.ContainsFunc(c.previousPromises, func(before ID) bool { return before != h.by }) {
		return nil
	}
	return h
}

// claimDue tells whether it is time to claim. A bursar renews early; the others wait in the keepers' order, so that seldom two
// claim at once.
func (r *replica) claimDue(now float64, self ID) bool {
	switch {
	case now < r.silentUntil || now < r.nextClaimAt:
		return false
	case r.isCoordinator(now):
		return true
	case r.promisedToOther(now, self):
		r.claimAfter = 0
		return false
	case r.claimAfter == 0:
		r.claimAfter = now + (float64(r.replicaIndex(r.Listen))+r.jitter())*r.Term/8
	}
	return now >= r.claimAfter
}

// electionStep is what is to be sent to all keepers, if anything: a claim, or the end of an election that goes nowhere.
func (r *replica) electionStep(now float64, self ID) (Message, bool) {
	if !r.claimDue(now, self) {
		return Message{}, false
	}
	if len(r.claims) > 0 && !r.isCoordinator(now) && now >= r.claims[0].sentAt+r.Term/2 {
		return r.resign(now, self), true
	}
	r.lastClaimNumber++
	r.promise(now, self, r.Listen, r.lastClaimNumber) // the first promise is ours
	r.claims = append(slices.DeleteFunc(r.claims, func(c claim) bool { return now >= c.sentAt+r.Term }), claim{r.lastClaimNumber, now, []string{r.Listen}, nil, []ID{r.previousPromise}})
	r.nextClaimAt = now + r.Term/4
	r.countPromises(now, &r.claims[len(r.claims)-1])
	return Message{Kind: Claim, Number: r.lastClaimNumber}, true
}

// handleAnswer takes a promise or a refusal in. It gives true if the election is lost by it. A promise counts from when its claim
// was sent.
func (r *replica) handleAnswer(now float64, m *Message) (lost bool) {
	i := slices.IndexFunc(r.claims, func(c claim) bool { return c.number == m.Number })
	if i < 0 || r.replicaIndex(m.FromAddress) < 0 {
		return false
	}
	c := &r.claims[i]
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
	r.countPromises(now, c)
	return 2*len(c.refusedBy) >= len(r.Replicas) && !r.isCoordinator(now)
}

// countPromises takes the office once most have promised.
func (r *replica) countPromises(now float64, c *claim) {
	end := c.sentAt + r.Term
	if 2*len(c.promisedBy) <= len(r.Replicas) || end <= now {
		return
	}
	if !r.isCoordinator(now) {
		r.leaderSince, r.takeover = now, r.validHandover(c)
		r.handover = nil
	}
	r.leadershipEnds = max(r.leadershipEnds, end)
}

// isCoordinator tells whether we are the bursar now. A process that stood still finds here that its office has ended.
func (r *replica) isCoordinator(now float64) bool {
	if r.leaderSince > 0 && now >= r.leadershipEnds {
		r.leaderSince, r.claims = 0, nil
	}
	return r.leaderSince > 0
}

// resign ends an election, so that what was promised to us is in nobody's way. Promises that come later count for nothing.
func (r *replica) resign(now float64, self ID) Message {
	if r.promisedTo == self {
		r.promisedUntil = min(r.promisedUntil, now)
	}
	r.leaderSince, r.leadershipEnds, r.claims = 0, 0, nil
	r.claimAfter = now + r.Term*(0.25+r.jitter())
	r.nextClaimAt = r.claimAfter
	return Message{Kind: Resign, Number: r.lastClaimNumber}
}
