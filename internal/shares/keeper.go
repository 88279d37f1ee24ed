package shares

import "slices"

// keeper is the part of one that promises, and may become the bursar itself. Leases by promises of most, without a disk, are
// PaxosLease's (Trencseni, Gazso, Reinhardt, 2012): who has just started promises nothing until all that it may have promised
// before has ended.
type keeper struct {
	*Settings
	quiet float64 // nothing is promised before

	to     ID // who has the promise,
	toAt   string
	claim  uint64 // by which claim,
	until  float64
	number uint64 // of own claims
	claims []claim
	mine   float64 // the own office lasts until then
	tryAt  float64
	wonAt  float64 // since when the office is held without a gap; 0: it is not
	prior  ID      // whom was promised before him
	takes  *handed // what the office was taken over with; nil: nothing
	handed *handed // what a bursar who left has handed over; nil: nothing, or another was promised since
	first  float64 // since when nobody's promise stands in the own way; 0: one does

	records map[Key]map[holder]record // of what bursars gave; forget deletes
	knows   float64                   // since when all that is given is told to this start too
}

// claim is one of our own that is not void yet.
type claim struct {
	number uint64
	sent   float64
	by     []string // who has promised,
	not    []string // and who has refused
	prior  []ID     // whom those who promised had promised before
}

// handed is what still counted in the books of a bursar who left.
type handed struct {
	by    ID
	at    float64 // when it was heard
	items []Item  // key, amount, and in Rest how long it counts at the most
}

// rank of an address among the keepers; below 0: none.
func (s *Settings) rank(address string) int { return slices.Index(s.Keepers, address) }

// spread is another number from 0 to 1 for each keeper and each of its claims, so that seldom two claim at once.
func (k *keeper) spread() float64 { return Mix(uint64(k.rank(k.Listen))+1, k.number+1) }

// promised tells whether another's claim stands.
func (k *keeper) promised(now float64, but ID) bool { return now < k.until && k.to != but }

// hear answers a claim or a yield of another keeper.
func (k *keeper) hear(now float64, m *Message) (answer MessageKind) {
	switch m.Kind {
	case Claim:
		if now < k.quiet || k.promised(now, m.From) || k.rank(m.At) < 0 || k.to == m.From && m.Number < k.claim {
			return Refusal
		}
		k.promise(now, m.From, m.At, m.Number)
		return Promise
	case Yield, Handover: // one that was passed by a later claim, or comes late, ends nothing
		if k.to == m.From && m.Number >= k.claim {
			if k.until = min(k.until, now); m.Kind == Handover {
				k.handed = &handed{m.From, now, m.Items}
			}
		}
	}
	return 0
}

// promise notes whom the promise is for.
func (k *keeper) promise(now float64, to ID, at string, claim uint64) {
	if to != k.to {
		k.prior = k.to
	}
	k.to, k.toAt, k.claim, k.until = to, at, claim, now+k.longer(k.Term)
}

// takesOver gives what the bursar before handed over, if it was he whom all who have promised had promised last: then nobody
// was the bursar in between, as he would have had a promise of one of them. They still know, or they would have promised
// nobody yet.
func (k *keeper) takesOver(c *claim) *handed {
	h := k.handed
	if h == nil || slices.ContainsFunc(c.prior, func(before ID) bool { return before != h.by }) {
		return nil
	}
	return h
}

// due tells whether it is time to claim. A bursar renews early; the others wait in the keepers' order, so that seldom two
// claim at once.
func (k *keeper) due(now float64, self ID) bool {
	switch {
	case now < k.quiet || now < k.tryAt:
		return false
	case k.office(now):
		return true
	case k.promised(now, self):
		k.first = 0
		return false
	case k.first == 0:
		k.first = now + (float64(k.rank(k.Listen))+k.spread())*k.Term/8
	}
	return now >= k.first
}

// step is what is to be sent to all keepers, if anything: a claim, or the end of an election that goes nowhere.
func (k *keeper) step(now float64, self ID) (Message, bool) {
	if !k.due(now, self) {
		return Message{}, false
	}
	if len(k.claims) > 0 && !k.office(now) && now >= k.claims[0].sent+k.Term/2 {
		return k.giveUp(now, self), true
	}
	k.number++
	k.promise(now, self, k.Listen, k.number) // the first promise is ours
	k.claims = append(slices.DeleteFunc(k.claims, func(c claim) bool { return now >= c.sent+k.Term }), claim{k.number, now, []string{k.Listen}, nil, []ID{k.prior}})
	k.tryAt = now + k.Term/4
	k.count(now, &k.claims[len(k.claims)-1])
	return Message{Kind: Claim, Number: k.number}, true
}

// answered takes a promise or a refusal in. It gives true if the election is lost by it. A promise counts from when its claim
// was sent.
func (k *keeper) answered(now float64, m *Message) (lost bool) {
	i := slices.IndexFunc(k.claims, func(c claim) bool { return c.number == m.Number })
	if i < 0 || k.rank(m.At) < 0 {
		return false
	}
	c := &k.claims[i]
	list := &c.by
	if m.Kind == Refusal {
		list = &c.not
	}
	if slices.Contains(*list, m.At) {
		return false
	}
	*list = append(*list, m.At)
	if m.Kind == Promise {
		c.prior = append(c.prior, m.Prior)
	}
	k.count(now, c)
	return 2*len(c.not) >= len(k.Keepers) && !k.office(now)
}

// count takes the office once most have promised.
func (k *keeper) count(now float64, c *claim) {
	end := c.sent + k.Term
	if 2*len(c.by) <= len(k.Keepers) || end <= now {
		return
	}
	if !k.office(now) {
		k.wonAt, k.takes = now, k.takesOver(c)
		k.handed = nil
	}
	k.mine = max(k.mine, end)
}

// office tells whether we are the bursar now. A process that stood still finds here that its office has ended.
func (k *keeper) office(now float64) bool {
	if k.wonAt > 0 && now >= k.mine {
		k.wonAt, k.claims = 0, nil
	}
	return k.wonAt > 0
}

// giveUp ends an election, so that what was promised to us is in nobody's way. Promises that come later count for nothing.
func (k *keeper) giveUp(now float64, self ID) Message {
	if k.to == self {
		k.until = min(k.until, now)
	}
	k.wonAt, k.mine, k.claims = 0, 0, nil
	k.first = now + k.Term*(0.25+k.spread())
	k.tryAt = k.first
	return Message{Kind: Yield, Number: k.number}
}
