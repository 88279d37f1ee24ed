package shares

// State is how a machine stands, for who looks on.
type State struct {
	Bursar  string // address; empty: not known
	Office  bool   // it is this router
	Since   float64
	Keeper  bool
	Stats   Stats
	Budgets []Held
	Books   []Given // of the bursar
}

// Held is what a router has of one budget.
type Held struct {
	Key   Key
	Name  string // by operators; empty: the key tells it
	Whole float64
	Left  float64 // in hand and not used
	Used  float64 // of what is in hand
	Asked float64 // for, without an answer
	Since float64 // when something was last given
}

// Given is what a bursar has given of one budget.
type Given struct {
	Key     Key
	Name    string // where this router has the budget too
	Whole   float64
	Free    float64 // below 0: the whole has become less
	Lent    float64 // in routers' hands
	Resting float64 // used, or not returned, and counted until that must be over
	Waiting int
	Open    bool
	Holders map[string]float64 // by name, what is lent
}

// State tells it.
func (m *Machine) State(now float64) *State {
	m.clock(now)
	s := &State{Bursar: m.at, Keeper: m.keeper != nil, Stats: m.stats}
	for _, key := range m.keys() {
		b := m.budgets[key]
		h := Held{Key: key, Name: b.Name, Whole: b.Whole, Left: b.left(m.now), Since: b.freeAt}
		for _, g := range b.credits {
			h.Used += g.used
		}
		if b.held() {
			h.Used = b.out()
		}
		if b.asking != nil {
			h.Asked = b.asking.item.Amount
		}
		s.Budgets = append(s.Budgets, h)
	}
	if k := m.keeper; k != nil && k.office(m.now) {
		s.Office, s.Since = true, k.wonAt
		for _, b := range m.bursar.inOrder() {
			b.drop(m.now)
			g := Given{Key: b.key, Name: m.name(b.key), Whole: b.whole, Free: float64(m.bursar.pool(b)-b.sum) / 1e6, Waiting: len(b.waiting), Open: m.bursar.recall == nil && m.now >= b.openAt,
				Holders: map[string]float64{}}
			for of, c := range b.given {
				if amount := float64(c.amount) / 1e6; c.done || m.now > c.until-m.longer(b.rest) {
					g.Resting += amount
				} else {
					g.Lent += amount
					g.Holders[of.Name] += amount
				}
			}
			s.Books = append(s.Books, g)
		}
	}
	return s
}

// name is what operators call a budget.
func (m *Machine) name(of Key) string {
	if b := m.budgets[of]; b != nil {
		return b.Name
	}
	return ""
}

// Owes is what still counts of a router's, over all that this bursar has given; below 0: this router is not the bursar.
func (m *Machine) Owes(name string) (sum float64) {
	if m.keeper == nil || !m.keeper.office(m.now) {
		return -1
	}
	for _, b := range m.bursar.books {
		b.drop(m.now)
		for of, c := range b.given {
			if of.Name == name {
				sum += float64(c.amount) / 1e6
			}
		}
	}
	return sum
}
