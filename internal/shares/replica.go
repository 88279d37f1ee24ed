package shares

import "slices"

// replica gives promises in elections, stores the records of grants, and may itself become the coordinator. Leadership is a lease that
// a majority of the replicas promises, without a disk, as in PaxosLease (Trencseni, Gazso, Reinhardt, 2012): a replica that has
// just started gives no promise until every promise of an earlier start must have ended.
type replica struct {
	*Settings
	silentUntil float64 // no promise is given before

	// The latest promise, which may be to this router itself.
	promisedTo      ID
	promisedAddress string
	promisedClaim   uint64 // number of the claim
	promisedUntil   float64

	lastClaimNumber uint64  // of this router's own claims
	claims          []claim // own claims that may still win
	leadershipEnds  float64 // this router is the coordinator until then, unless it renews
	nextClaimAt     float64
	leaderSince     float64   // since when this router has been the coordinator without a gap; 0: it is not
	previousPromise ID        // holder of the promise before promisedTo
	takeover        *handover // what the previous coordinator handed over to this leadership; nil: nothing
	handover        *handover // received from a coordinator that left; nil: none, or used
	claimAfter      float64   // no claim before, counted from when no promise to another was valid; 0: one is

	records       map[Key]map[grantID]replicaRecord // of grants, by budget; dropExpired deletes
	completeSince float64                           // since when this start has received the record of every grant
}

// claim is one of this router's own candidacies and the answers to it.
type claim struct {
	number           uint64
	sentAt           float64
	promisedBy       []string // addresses
	refusedBy        []string // addresses
	previousPromises []ID     // to whom the replicas that promised had promised before
}

// handover holds what still counted in the ledgers of a coordinator that left.
type handover struct {
	by         ID
	receivedAt float64
	items      []Item // one for each budget; CountedFor is how long any of its amount counts at most, and Lease how long a use counts
}

// replicaIndex returns the index of an address among the replicas; below 0: it is not a replica.
func (s *Settings) replicaIndex(address string) int { return slices.Index(s.Replicas, address) }

// jitter returns a number from 0 to 1 that differs between replicas and between their claims, so that two rarely claim at once.
func (r *replica) jitter() float64 {
	return HashFraction(uint64(r.replicaIndex(r.Listen))+1, r.lastClaimNumber+1)
}

// promisedToOther reports whether a promise to a router other than self is valid.
func (r *replica) promisedToOther(now float64, self ID) bool {
	return now < r.promisedUntil && r.promisedTo != self
}

// handleClaim handles a claim, a resignation or a handover of another replica. It returns the answer to send; 0: none.
func (r *replica) handleClaim(now float64, m *Message) (answer MessageKind) {
	switch m.Kind {
	case Claim:
		if now < r.silentUntil || r.promisedToOther(now, m.From) || r.replicaIndex(m.FromAddress) < 0 || r.promisedTo == m.From && m.Number < r.promisedClaim {
			return Refusal
		}
		r.promise(now, m.From, m.FromAddress, m.Number)
		return Promise
	case Resign, Handover: // without effect if it is late or a later claim has the promise
		if r.promisedTo == m.From && m.Number >= r.promisedClaim {
			if r.promisedUntil = min(r.promisedUntil, now); m.Kind == Handover {
				r.handover = &handover{m.From, now, m.Items}
			}
		}
	}
	return 0
}

// promise stores a promise, valid for a term.
func (r *replica) promise(now float64, to ID, address string, claim uint64) {
	if to != r.promisedTo {
		r.previousPromise = r.promisedTo
	}
	r.promisedTo, r.promisedAddress, r.promisedClaim, r.promisedUntil = to, address, claim, now+r.padForDrift(r.Term)
}

// validHandover returns what the previous coordinator handed over, if every replica that promised this claim had promised to that
// coordinator last; nil otherwise. Then no other router was coordinator in between, as it would have had a promise of one of them. A
// replica that has restarted and forgotten its promises gives none yet, so those that promised still know.
func (r *replica) validHandover(c *claim) *handover {
	h := r.handover
	if h == nil || slices.ContainsFunc(c.previousPromises, func(before ID) bool { return before != h.by }) {
		return nil
	}
	return h
}

// claimDue reports whether it is time to send a claim. A coordinator renews early; the other replicas wait in the order of the replica
// list, so that two rarely claim at once.
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

// electionStep returns what is to be sent to all replicas, if anything: a claim, or the resignation from an election that has not been
// won within half a term.
func (r *replica) electionStep(now float64, self ID) (Message, bool) {
	if !r.claimDue(now, self) {
		return Message{}, false
	}
	if len(r.claims) > 0 && !r.isCoordinator(now) && now >= r.claims[0].sentAt+r.Term/2 {
		return r.resign(now, self), true
	}
	r.lastClaimNumber++
	r.promise(now, self, r.Listen, r.lastClaimNumber) // this router's own promise is the first
	r.claims = append(slices.DeleteFunc(r.claims, func(c claim) bool { return now >= c.sentAt+r.Term }), claim{r.lastClaimNumber, now, []string{r.Listen}, nil, []ID{r.previousPromise}})
	r.nextClaimAt = now + r.Term/4
	r.countPromises(now, &r.claims[len(r.claims)-1])
	return Message{Kind: Claim, Number: r.lastClaimNumber}, true
}

// handleAnswer takes in a promise or a refusal. It returns true if the election is lost by it. A promise counts from when its claim was
// sent, as the sender cannot know when it was given.
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

// countPromises begins or extends the leadership once a majority of the replicas has promised.
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

// isCoordinator reports whether this router is the coordinator now. A process that was paused finds here that its leadership has ended.
func (r *replica) isCoordinator(now float64) bool {
	if r.leaderSince > 0 && now >= r.leadershipEnds {
		r.leaderSince, r.claims = 0, nil
	}
	return r.leaderSince > 0
}

// resign ends this router's election or leadership and returns the message that releases the promises it was given, so that others can
// claim. Promises that arrive later have no effect.
func (r *replica) resign(now float64, self ID) Message {
	if r.promisedTo == self {
		r.promisedUntil = min(r.promisedUntil, now)
	}
	r.leaderSince, r.leadershipEnds, r.claims = 0, 0, nil
	r.claimAfter = now + r.Term*(0.25+r.jitter())
	r.nextClaimAt = r.claimAfter
	return Message{Kind: Resign, Number: r.lastClaimNumber}
}
