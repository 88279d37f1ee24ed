package shares

// State is a snapshot of a machine for display. Times are seconds on the router's own clock, amounts in the units of their budgets.
type State struct {
	Coordinator      string  // address; empty: not known
	IsCoordinator    bool    // this router is the coordinator
	CoordinatorSince float64 // if this router is the coordinator
	IsReplica        bool
	Stats            Stats
	Budgets          []BudgetState
	Ledgers          []LedgerState // if this router is the coordinator
}

// BudgetState is what a router has of one budget.
type BudgetState struct {
	Key         Key
	Name        string // as configured; empty: the key says enough
	Total       float64
	Available   float64 // granted and not spent
	Used        float64 // spent of its present grants; of a budget that is held: in use
	Requested   float64 // without an answer yet
	LastGrantAt float64 // 0: never
}

// LedgerState is what a coordinator has granted of one budget.
type LedgerState struct {
	Key      Key
	Name     string // empty unless this router uses the budget too
	Total    float64
	Free     float64            // below 0: the total has shrunk below what is granted
	Leased   float64            // of grants that routers may still spend
	Expiring float64            // of grants that were used, or not returned, and count until their uses must be over
	Queued   int                // requests
	Open     bool               // grants may be issued
	Holders  map[string]float64 // leased amount by name of the router
}

// State returns a snapshot of the machine.
func (m *Machine) State(now float64) *State {
	m.advanceClock(now)
	out := &State{Coordinator: m.coordinatorAddress, IsReplica: m.replica != nil, Stats: m.stats}
	for _, key := range m.sortedKeys() {
		budget := m.budgets[key]
		state := BudgetState{Key: key, Name: budget.Name, Total: budget.Total, Available: budget.available(m.now), LastGrantAt: budget.lastGrantAt}
		for _, grant := range budget.grants {
			state.Used += grant.used
		}
		if budget.held() {
			state.Used = budget.inUse()
		}
		if budget.request != nil {
			state.Requested = budget.request.item.Amount
		}
		out.Budgets = append(out.Budgets, state)
	}
	if replica := m.replica; replica != nil && replica.isCoordinator(m.now) {
		out.IsCoordinator, out.CoordinatorSince = true, replica.leaderSince
		for _, ledger := range m.coordinator.sortedLedgers() {
			ledger.dropExpired(m.now)
			state := LedgerState{Key: ledger.key, Name: m.budgetName(ledger.key), Total: ledger.total, Free: float64(m.coordinator.grantable(ledger)-ledger.granted) / 1e6, Queued: len(ledger.queue), Open: m.coordinator.recovery == nil && m.now >= ledger.opensAt,
				Holders: map[string]float64{}}
			for id, issued := range ledger.grants {
				if amount := float64(issued.amount) / 1e6; issued.done || m.now > issued.countsUntil-m.padForDrift(ledger.countedFor) {
					state.Expiring += amount
				} else {
					state.Leased += amount
					state.Holders[id.Name] += amount
				}
			}
			out.Ledgers = append(out.Ledgers, state)
		}
	}
	return out
}

// budgetName returns the configured name of a budget that this router uses; empty: none.
func (m *Machine) budgetName(key Key) string {
	if budget := m.budgets[key]; budget != nil {
		return budget.Name
	}
	return ""
}

// Outstanding returns the sum of the grants to the named router that still count, over all budgets; below 0: this router is not the
// coordinator.
func (m *Machine) Outstanding(name string) (sum float64) {
	if m.replica == nil || !m.replica.isCoordinator(m.now) {
		return -1
	}
	for _, ledger := range m.coordinator.ledgers {
		ledger.dropExpired(m.now)
		for id, issued := range ledger.grants {
			if id.Name == name {
				sum += float64(issued.amount) / 1e6
			}
		}
	}
	return sum
}
