package shares

// State is how a machine stands, for who looks on.
type State struct {
	Coordinator      string // address; empty: not known
	IsCoordinator    bool   // it is this router
	CoordinatorSince float64
	IsReplica        bool
	Stats            Stats
	Budgets          []BudgetState
	Ledgers          []LedgerState // of the bursar
}

// BudgetState is what a router has of one budget.
type BudgetState struct {
	Key         Key
	Name        string // by operators; empty: the key tells it
	Total       float64
	Available   float64 // in hand and not used
	Used        float64 // of what is in hand
	Requested   float64 // for, without an answer
	LastGrantAt float64 // when something was last given
}

// LedgerState is what a bursar has given of one budget.
type LedgerState struct {
	Key      Key
	Name     string // where this router has the budget too
	Total    float64
	Free     float64 // below 0: the whole has become less
	Leased   float64 // in routers' hands
	Expiring float64 // used, or not returned, and counted until that must be over
	Queued   int
	Open     bool
	Holders  map[string]float64 // by name, what is lent
}

// State tells it.
func (m *Machine) State(now float64) *State {
	m.advanceClock(now)
	s := &State{Coordinator: m.coordinatorAddress, IsReplica: m.replica != nil, Stats: m.stats}
	for _, key := range m.sortedKeys() {
		b := m.budgets[key]
		h := BudgetState{Key: key, Name: b.Name, Total: b.Total, Available: b.available(m.now), LastGrantAt: b.lastGrantAt}
		for _, g := range b.grants {
			h.Used += g.used
		}
		if b.held() {
			h.Used = b.inUse()
		}
		if b.request != nil {
			h.Requested = b.request.item.Amount
		}
		s.Budgets = append(s.Budgets, h)
	}
	if k := m.replica; k != nil && k.isCoordinator(m.now) {
		s.IsCoordinator, s.CoordinatorSince = true, k.leaderSince
		for _, b := range m.coordinator.sortedLedgers() {
			b.dropExpired(m.now)
			g := LedgerState{Key: b.key, Name: m.budgetName(b.key), Total: b.total, Free: float64(m.coordinator.grantable(b)-b.granted) / 1e6, Queued: len(b.queue), Open: m.coordinator.recovery == nil && m.now >= b.opensAt,
				Holders: map[string]float64{}}
			for of, c := range b.grants {
				if amount := float64(c.amount) / 1e6; c.done || m.now > c.countsUntil-m.padForDrift(b.countedFor) {
					g.Expiring += amount
				} else {
					g.Leased += amount
					g.Holders[of.Name] += amount
				}
			}
			s.Ledgers = append(s.Ledgers, g)
		}
	}
	return s
}

// budgetName is what operators call a budget.
func (m *Machine) budgetName(of Key) string {
	if b := m.budgets[of]; b != nil {
		return b.Name
	}
	return ""
}

// Outstanding is what still counts of a router's, over all that this bursar has given; below 0: this router is not the bursar.
func (m *Machine) Outstanding(name string) (sum float64) {
	if m.replica == nil || !m.replica.isCoordinator(m.now) {
		return -1
	}
	for _, b := range m.coordinator.ledgers {
		b.dropExpired(m.now)
		for of, c := range b.grants {
			if of.Name == name {
				sum += float64(c.amount) / 1e6
			}
		}
	}
	return sum
}
