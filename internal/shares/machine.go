package shares

import (
	"cmp"
	"math"
	"slices"
)

// Machine is one router's part: it holds credits, may be a keeper, and may be the bursar. Its methods are called with times that
// do not fall; none may be called beside another. It is Parts for the decision module.
type Machine struct {
	Settings
	self   ID
	firm   *Plain  // of cold engines
	told   float64 // routers, by settings
	lost   bool    // there are more: firm parts are given up
	whole  float64 // of a cold engine for each core, over all routers
	window float64
	began  float64
	now    float64

	keeper *keeper // nil: this router is none
	bursar bursar
	tidyAt float64

	budgets map[Key]*budget // forget deletes
	numbers uint64
	tell    []told // of credits that are done, until that is answered
	wanted  bool   // something has been wanted since the last Wake
	askAt   float64
	at      string  // where the bursar is held to be; empty: not known
	sentAt  float64 // the first asking that nobody has answered; 0: none
	turn    int     // which keeper is asked next
	hops    int     // since a bursar answered
	forget  float64

	ends float64 // of what was spent last
	came bool    // a credit, since that was last asked

	out   []Send
	notes []Note
	stats Stats
}

// budget is what this router has of one.
type budget struct {
	Budget
	credits  []*given
	firm     []use // of the firm part; of what is held, one for all that is out
	asking   *asking
	wantSum  float64 // since the last Wake
	wantMost float64
	wantAt   float64
	neverAt  float64 // so much is more than the whole bears
	never    float64
	freeAt   float64 // when something was last given there
	unmetAt  float64 // since when there is none of what is wanted; 0: there is
}

// given is a credit in hand.
type given struct {
	number uint64
	left   float64
	used   float64 // of what is held: and is out
	until  float64
	closed bool // nothing more is used of it, and something is still out; Freed ends that
}

// asking is for one that has not come.
type asking struct {
	item   Item
	sent   map[uint32]float64 // when each try was sent; the last few
	wanted float64
	next   float64
}

// told is what the bursar has to be told of a credit that is done.
type told struct {
	item  Item
	again float64
	until float64 // by then it knows without being told
}

// Stats count what has been, since the start.
type Stats struct {
	Asked, Given, Returned, Lapsed, Never int
	Sent, Heard                           int
	Used, Firm                            float64 // amounts: with credits, and of the firm part
	Waited                                float64 // seconds between wish and credit, over all that were given
}

const (
	mostItems  = 16 // on one message
	mostTells  = 256
	mostTries  = 8
	mostHops   = 2     // from one keeper to the one he names, without a bursar
	spacing    = 0.005 // between two messages to the bursar
	keepBudget = 30.0
	tidyEvery  = 1.0
)

// New makes one. fixed is the division without talk, of which the firm share stays.
func New(s Settings, self ID, fixed Fixed, now float64) *Machine {
	m := &Machine{Settings: s, self: self, whole: fixed.Whole, window: fixed.Window + overlap,
		began: now, now: now, ends: math.Inf(1), bursar: bursar{Settings: &s, books: map[Key]*book{}}, budgets: map[Key]*budget{}}
	m.bursar.Settings = &m.Settings
	fixed.Whole *= s.Firm
	m.told = fixed.Routers
	if s.Firm <= 0 {
		fixed.Routers = 0
	}
	m.firm = NewPlain(fixed)
	if s.rank(s.Listen) >= 0 {
		// What an earlier start has promised may still hold.
		quiet := now + s.longer(s.longer(s.Term))
		m.keeper = &keeper{Settings: &m.Settings, quiet: quiet, knows: quiet, records: map[Key]map[holder]record{}}
	}
	return m
}

func (m *Machine) clock(now float64) { m.now = max(m.now, now) }

func (m *Machine) note(loud bool, text string, fields ...any) {
	m.notes = append(m.notes, Note{text, loud, fields})
}

// Sends gives what is to be sent, once.
func (m *Machine) Sends() []Send {
	out := m.out
	m.out = nil
	return out
}

// Notes gives what has changed, once.
func (m *Machine) Notes() []Note {
	out := m.notes
	m.notes = nil
	return out
}

// Came tells whether credits have come since it was last asked.
func (m *Machine) Came() bool {
	came := m.came
	m.came = false
	return came
}

// Wanted tells whether something has been wanted that Wake has not seen.
func (m *Machine) Wanted() bool { return m.wanted }

// send words a message. What is for oneself goes by no network.
func (m *Machine) send(to string, message Message) {
	message.From, message.At, message.Roll = m.self, m.Listen, m.roll()
	if to == m.Listen {
		m.heard(&message)
		return
	}
	m.stats.Sent++
	m.out = append(m.out, Send{to, message})
}

// Fleet brings how many routers are known to be there. More than were told: firm parts by that number would sum to more than
// the firm share, so this router gives its own up until it starts with another number. It covers a wrong number in one
// router's settings and a fleet that grew; it hurts by the firm part alone.
func (m *Machine) Fleet(routers int) {
	if float64(routers) > m.told && m.Firm > 0 && !m.lost {
		m.lost, m.firm.part = true, 0
		m.note(true, "more routers than settings tell: the firm part is given up", "told", m.told, "there", routers)
	}
}

// cold is the budget of a start of an engine.
func (m *Machine) cold(of Start) Budget {
	return Budget{Key: ColdKey(of), Whole: m.whole * of.Cores, Rest: m.window}
}

// budget gives what this router knows of one.
func (m *Machine) budget(of *Budget) *budget {
	b := m.budgets[of.Key]
	if b == nil {
		b = &budget{Budget: *of, never: math.Inf(1)}
		m.budgets[of.Key] = b
	}
	b.Whole, b.Rest = of.Whole, max(b.Rest, of.Rest) // an operator may have changed them
	return b
}

// Room holds a wish against the firm part and the credits in hand.
func (m *Machine) Room(now float64, to Start, work float64) bool {
	m.clock(now)
	if m.Firm > 0 && m.firm.Room(m.now, to, work) {
		return true
	}
	b := m.budgets[ColdKey(to)]
	return b != nil && b.left(m.now) >= work
}

// left is what credits in hand still have. What has ended counts no longer, whenever that is seen.
func (b *budget) left(now float64) (sum float64) {
	for _, g := range b.credits {
		if now < g.until {
			sum += g.left
		}
	}
	return sum
}

// Spend counts what is sent: of the firm part where it bears it all, else of credits.
func (m *Machine) Spend(now float64, to Start, work float64) {
	m.clock(now)
	if m.Firm > 0 && m.firm.Room(m.now, to, work) {
		m.firm.Spend(m.now, to, work)
		m.spentFirm(work)
		return
	}
	of := m.cold(to)
	m.spend(m.budget(&of), work)
}

func (m *Machine) spentFirm(amount float64) {
	m.stats.Firm += amount
	m.endBy(m.now + overlap)
}

// endBy brings the time by which what was spent has to be on its way. A dispatch may spend of several budgets.
func (m *Machine) endBy(at float64) {
	if m.ends < m.now { // nobody asked after what was spent before
		m.ends = math.Inf(1)
	}
	m.ends = min(m.ends, at)
}

// spend takes of credits, of the one that ends first before the others.
func (m *Machine) spend(b *budget, amount float64) {
	m.stats.Used += amount
	b.wantAt = m.now
	for _, g := range b.credits {
		if m.now < g.until && amount > 0 {
			part := min(g.left, amount)
			if part <= 0 {
				continue
			}
			g.left, g.used, amount = g.left-part, g.used+part, amount-part
			m.endBy(min(g.until, m.now+m.Write))
		}
	}
}

// firmRoom tells whether the firm part of a budget that has no engine bears an amount: every router has the same one. What an
// earlier start may have used or may still hold lasts for a rest.
func (m *Machine) firmRoom(b *budget, amount float64) bool {
	if m.Firm <= 0 || m.lost || !(m.told >= 1) || m.now < m.began+b.Rest+overlap {
		return false
	}
	room := b.Whole * m.Firm / (m.told + spareParts)
	for _, u := range b.firm {
		if b.held() || u.at > m.now-b.Rest-overlap {
			room -= u.work
		}
	}
	return amount <= room
}

// Ends is when what was spent last has to be on its way, told once: a credit holds no longer. Infinite: nothing was spent that
// ends.
func (m *Machine) Ends() float64 {
	at := m.ends
	m.ends = math.Inf(1)
	return at
}

// Want tells of a batch that waits. It waits for a credit also where no bursar is known yet: that was worth more (0.823 to 0.803,
// 16 routers, engines replaced). It hurts where nobody gives any more, by that wait once.
func (m *Machine) Want(now float64, to Start, work float64) float64 {
	m.clock(now)
	of := m.cold(to)
	if !(work > 0) || work > of.Whole*(1-m.Firm) {
		return 0
	}
	return m.want(m.budget(&of), work)
}

func (m *Machine) want(b *budget, amount float64) float64 {
	if amount >= b.never && m.now < b.neverAt {
		return 0
	}
	if b.unmetAt == 0 || m.now > b.wantAt+2*m.Again { // the first, or others have long ceased to want it
		b.unmetAt = m.now
	}
	b.wantSum, b.wantMost, b.wantAt = b.wantSum+amount, max(b.wantMost, amount), m.now
	m.wanted = true
	return m.Wait
}

// Wake does what is due, and asks for what has been wanted.
func (m *Machine) Wake(now float64) {
	m.clock(now)
	if m.keeper != nil {
		m.office()
	}
	m.returns()
	m.wishes()
	m.speak()
	if m.now >= m.forget {
		m.forget = m.now + tidyEvery
		if m.keeper != nil {
			m.keeper.forget(m.now)
		}
		for key, b := range m.budgets {
			if b.asking == nil && len(b.credits) == 0 && len(b.firm) == 0 && m.now > b.wantAt+keepBudget {
				delete(m.budgets, key)
			}
		}
	}
}

// office claims and renews, and gives to those who wait.
func (m *Machine) office() {
	k := m.keeper
	was := k.wonAt > 0
	if message, due := k.step(m.now, m.self); due {
		m.keepers(message)
	}
	m.settle(was)
	if !k.office(m.now) {
		return
	}
	m.recalls()
	if m.now >= m.tidyAt {
		m.tidyAt = m.now + tidyEvery
		m.bursar.tidy(m.now)
	}
	for _, b := range m.bursar.inOrder() {
		if len(b.waiting) > 0 {
			m.deliver(m.bursar.serve(m.now, k.mine, b))
		}
	}
}

// settle notes who has the office, and drops the books of one that has ended.
func (m *Machine) settle(was bool) {
	is := m.keeper.office(m.now)
	if is == was {
		return
	}
	m.note(true, "bursar", "is", is, "until", m.keeper.mine, "books", len(m.bursar.books))
	m.bursar.begin(m.keeper.takes)
	m.keeper.takes = nil
	if is {
		m.at = m.Listen
		m.recalls()
	} else if m.at == m.Listen {
		m.at = ""
	}
}

func (m *Machine) keepers(message Message) {
	for _, to := range m.Keepers {
		if to != m.Listen {
			m.send(to, message)
		}
	}
}

// deliver sends what is given, once most keepers know of it, and what never will be at once.
func (m *Machine) deliver(sends []Send) {
	var gives []Send
	for _, s := range sends {
		if s.Bursar = m.Listen; s.Items[0].Never {
			s.Items[0].Of = ID{}
			m.send(s.To, s.Message)
		} else {
			gives = append(gives, s)
		}
	}
	m.park(gives)
}

// Heard takes in a message of this fleet. It has been checked for its form.
func (m *Machine) Heard(now float64, message *Message) {
	m.clock(now)
	if message.Roll != m.roll() || message.From == m.self || message.answers() && message.To != m.self.Start {
		return
	}
	m.stats.Heard++
	m.heard(message)
}

func (m *Machine) heard(message *Message) {
	k := m.keeper
	switch message.Kind {
	case Claim, Yield, Handover:
		if k == nil {
			return
		}
		was := k.office(m.now)
		if was && message.Kind == Claim { // we have most of the promises: this one is behind
			m.send(message.At, Message{Kind: Refusal, To: message.From.Start, Number: message.Number, Bursar: m.Listen})
			return
		}
		if answer := k.hear(m.now, message); answer != 0 {
			m.send(message.At, Message{Kind: answer, To: message.From.Start, Number: message.Number, Bursar: k.toAt, Prior: k.prior})
		}
	case Promise, Refusal:
		if k == nil {
			return
		}
		was := k.office(m.now)
		lost := k.answered(m.now, message)
		m.settle(was)
		if lost {
			m.keepers(k.giveUp(m.now, m.self))
		}
	case Ask:
		m.asked(message)
	case Reply:
		m.replied(message)
	case Record, Recall:
		if k == nil || m.rank(message.At) < 0 {
			return
		}
		if message.Kind == Record {
			m.record(message)
		} else {
			m.tells(message)
		}
	case Recorded:
		if k != nil && k.office(m.now) {
			m.recorded(message)
		}
	case Recalled:
		if r := m.bursar.recall; r != nil && k != nil && m.rank(message.At) >= 0 && k.office(m.now) && r.hear(message, len(m.Keepers)) {
			m.opened()
			for _, b := range m.bursar.inOrder() {
				m.deliver(m.bursar.serve(m.now, k.mine, b))
			}
		}
	}
}

// asked answers as the bursar, or says who that is.
func (m *Machine) asked(message *Message) {
	k := m.keeper
	if k == nil || !k.office(m.now) {
		reply := Message{Kind: Reply, To: message.From.Start}
		if k != nil && m.now < k.until && k.toAt != m.Listen {
			reply.Bursar = k.toAt
		}
		m.send(message.At, reply)
		return
	}
	answers, moved, less := m.bursar.ask(m.now, k.wonAt, message.From, message.At, message.Items)
	m.send(message.At, Message{Kind: Reply, To: message.From.Start, Bursar: m.Listen, Items: answers})
	m.lessens(less)
	for _, b := range moved {
		m.deliver(m.bursar.serve(m.now, k.mine, b))
	}
}

// replied takes credits in.
func (m *Machine) replied(message *Message) {
	m.sentAt = 0
	if m.hops++; message.Bursar == message.At { // he says so himself
		m.hops = 0
	}
	if message.Bursar != m.at {
		m.at, m.askAt = message.Bursar, m.now+spacing
	}
	if m.at == "" || m.hops > mostHops { // keepers amid an election may each name another for a while
		m.at, m.askAt = "", m.now+m.Again
		m.turn++
	}
	for _, i := range message.Items {
		if i.Done {
			m.tell = slices.DeleteFunc(m.tell, func(t told) bool { return t.item.Number == i.Number && t.item.Amount >= i.Amount })
			continue
		}
		m.credit(i)
	}
}

func (m *Machine) credit(i Item) {
	b := m.budgets[i.Key]
	if b == nil || b.asking == nil || b.asking.item.Number != i.Number {
		known := b != nil && slices.ContainsFunc(b.credits, func(g *given) bool { return g.number == i.Number }) ||
			slices.ContainsFunc(m.tell, func(t told) bool { return t.item.Number == i.Number })
		if !known && i.Amount > 0 { // an old asking was answered: it is not used, and goes back
			m.done(i.Key, i.Number, 0, m.now+i.Lease)
		}
		return
	}
	a := b.asking
	sent, known := a.sent[i.Try]
	if i.Never {
		b.asking, b.never, b.neverAt = nil, a.item.Amount, m.now+m.window
		m.stats.Never++
		return
	}
	if !known { // so old that it is not known when it was asked: it goes back
		b.asking = nil
		m.done(i.Key, i.Number, 0, m.now+i.Lease)
		return
	}
	b.asking = nil
	g := &given{number: i.Number, left: min(i.Amount, a.item.Amount), until: sent + i.Lease}
	if m.now >= g.until {
		m.done(i.Key, i.Number, 0, m.now)
		return
	}
	m.stats.Given++
	m.came = true
	m.stats.Waited += m.now - a.wanted
	b.freeAt, b.never, b.unmetAt = m.now, math.Inf(1), 0
	b.credits = append(b.credits, g)
	slices.SortStableFunc(b.credits, func(x, y *given) int { return cmp.Compare(x.until, y.until) })
}

// done tells the bursar that nothing more is used of a credit. Of what is held it is told again, as less is out.
func (m *Machine) done(key Key, number uint64, used, until float64) {
	m.tell = slices.DeleteFunc(m.tell, func(t told) bool { return t.item.Number == number })
	if len(m.tell) == mostTells { // it lapses there by itself
		m.tell = slices.Delete(m.tell, 0, 1)
	}
	rest := m.window
	if b := m.budgets[key]; b != nil {
		rest = b.Rest
	}
	m.tell = append(m.tell, told{Item{Number: number, Key: key, Amount: used, Done: true, Rest: rest}, 0, until + m.longer(rest)})
}

// returns ends credits that have ended, are used up, or that nobody wants any more.
func (m *Machine) returns() {
	for _, key := range m.keys() {
		b := m.budgets[key]
		if !b.held() {
			b.firm = slices.DeleteFunc(b.firm, func(u use) bool { return u.at <= m.now-b.Rest-overlap })
		}
		b.credits = slices.DeleteFunc(b.credits, func(g *given) bool {
			switch {
			case g.closed:
				// Kept until all of it is freed, also when it counts nowhere any more: what is freed that late would else be taken
				// from a later credit, of which something is still out (found by internal/explore: one that stood still).
				return g.used <= 1e-6
			case m.now >= g.until:
				m.stats.Lapsed++
			case g.left <= 1e-6 && !b.held(): // what is held may come back
			case m.now > b.wantAt+m.Idle, b.wantMost > 0 && b.asking == nil:
				// Nobody wants it, or what is wanted does not fit what is left: kept, its used part too would count as lent
				// until its lease has ended, which was a third of the whole where far more is wanted than there is.
				m.stats.Returned++
			default:
				return false
			}
			m.done(key, g.number, g.used, g.until)
			g.left, g.closed = 0, true
			return !b.held() || g.used <= 1e-6
		})
	}
}

// keys are those of the budgets, in one order.
func (m *Machine) keys() []Key {
	out := make([]Key, 0, len(m.budgets))
	for key := range m.budgets {
		out = append(out, key)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// wishes makes askings of what has been wanted: the largest batch, and more of them as long as that is a small part.
func (m *Machine) wishes() {
	m.wanted = false
	for _, key := range m.keys() {
		b := m.budgets[key]
		most, sum := b.wantMost, b.wantSum
		b.wantMost, b.wantSum = 0, 0
		if most == 0 || b.asking != nil {
			continue
		}
		amount := min(sum, b.Whole*m.Largest)
		if Kinds[key.Kind].Counted {
			amount = math.Floor(amount)
		}
		amount = max(most, amount)
		m.numbers++
		m.stats.Asked++
		b.asking = &asking{item: Item{Number: m.numbers, Key: key, Amount: amount, Whole: b.Whole, Rest: b.Rest}, sent: map[uint32]float64{},
			wanted: m.now, next: m.now}
	}
}

// speak sends what is to be asked and told.
func (m *Machine) speak() {
	if m.now < m.askAt || len(m.Keepers) == 0 {
		return
	}
	var items []Item
	for i := range m.tell {
		if t := &m.tell[i]; m.now >= t.again && len(items) < mostItems {
			t.again = m.now + 2*m.Again
			items = append(items, t.item)
		}
	}
	m.tell = slices.DeleteFunc(m.tell, func(t told) bool { return m.now > t.until })
	for _, key := range m.keys() {
		b := m.budgets[key]
		a := b.asking
		if a == nil {
			continue
		}
		if m.now > b.wantAt+2*m.Again { // nobody waits for it any more
			m.done(key, a.item.Number, 0, m.now+m.Lease)
			b.asking = nil
			continue
		}
		if m.now >= a.next && len(items) < mostItems {
			a.item.Try++
			a.next = m.now + m.Again
			a.sent[a.item.Try] = m.now
			delete(a.sent, a.item.Try-mostTries)
			items = append(items, a.item)
		}
	}
	if len(items) == 0 {
		return
	}
	to := m.at
	if to != "" && m.sentAt > 0 && m.now > m.sentAt+4*m.Again { // it says nothing
		to, m.at = "", ""
		m.turn++
	}
	if to == "" {
		to = m.Keepers[m.turn%len(m.Keepers)]
		if m.sentAt > 0 && m.now > m.sentAt+2*m.Again {
			m.turn++
			m.sentAt = 0
		}
	}
	if m.sentAt == 0 {
		m.sentAt = m.now
	}
	m.askAt = m.now + spacing
	m.send(to, Message{Kind: Ask, Items: items})
}

// At is when Wake is wanted next, if nothing comes.
func (m *Machine) At() float64 {
	at := math.Inf(1)
	if k := m.keeper; k != nil {
		switch {
		case m.now < k.quiet:
			at = min(at, k.quiet)
		case k.office(m.now):
			at = min(at, max(k.tryAt, m.now+spacing), k.mine)
			at = min(at, max(m.bursar.next(m.now), m.now+spacing))
		case k.promised(m.now, m.self):
			at = min(at, k.until)
		default:
			at = min(at, max(k.first, k.tryAt, m.now+spacing))
		}
	}
	for _, b := range m.budgets {
		for _, g := range b.credits {
			if g.closed { // Freed ends it
				continue
			}
			at = min(at, g.until, max(b.wantAt+m.Idle, m.now+spacing))
		}
		if b.asking != nil {
			at = min(at, max(b.asking.next, m.askAt, m.now+spacing))
		}
	}
	for _, t := range m.tell {
		at = min(at, max(t.again, m.askAt, m.now+spacing))
	}
	return at
}

// Leave gives back all that is in hand, and the office: what was given from here ends by itself.
func (m *Machine) Leave(now float64) {
	m.clock(now)
	for _, key := range m.keys() {
		b := m.budgets[key]
		for _, g := range b.credits {
			if !g.closed {
				m.done(key, g.number, g.used, g.until)
			}
		}
		if b.asking != nil {
			m.done(key, b.asking.item.Number, 0, m.now)
		}
		b.credits, b.asking = nil, nil
	}
	m.askAt = 0
	m.speak()
	if k := m.keeper; k != nil && k.number > 0 {
		was := k.office(m.now)
		items, all := m.bursar.handOver(m.now)
		yield := k.giveUp(m.now, m.self)
		if was && all && m.bursarOpen() {
			yield.Kind, yield.Items = Handover, items
		}
		k.quiet = math.Inf(1)
		m.settle(was)
		m.keepers(yield)
	}
}

// bursarOpen tells whether nothing counts any more of the bursar before that is not in the books.
func (m *Machine) bursarOpen() bool {
	b := &m.bursar
	if b.recall != nil {
		return false
	}
	longest := &book{rest: m.window}
	for _, k := range b.books {
		longest.rest = max(longest.rest, k.rest)
	}
	return b.handed != nil || b.complete(longest) || m.now >= m.keeper.wonAt+b.longer(b.Lease+longest.rest)
}
