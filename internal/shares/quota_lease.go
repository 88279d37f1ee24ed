package shares

// QuotaLease is what a router may spend of one budget that the fleet divides, for example of free retries and hedges or of concurrent
// dispatches. The budgets of engines in cold start go through ColdStartQuota. It is as little safe for concurrent use as its Machine.
type QuotaLease struct {
	machine *Machine
	budget  Budget
}

// QuotaLease returns the lease of a budget. It may be called again when the total has changed. Uses count lateSendMargin longer than the
// budget says, as what is spent last may be sent late.
func (m *Machine) QuotaLease(of Budget) *QuotaLease {
	of.CountedFor += lateSendMargin
	return &QuotaLease{m, of}
}

// CanSpend reports whether the fixed share or the grants cover an amount now.
func (p *QuotaLease) CanSpend(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	return m.fitsFixedShare(budget, amount) || budget.available(m.now) >= amount
}

// Spend charges an amount that the fixed share or the grants cover.
func (p *QuotaLease) Spend(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	if m.fitsFixedShare(budget, amount) {
		if budget.held() && len(budget.fixedUses) > 0 {
			budget.fixedUses[0].amount += amount
		} else {
			budget.fixedUses = append(budget.fixedUses, use{m.now, amount})
		}
		budget.lastDemandAt = m.now
		m.countFixedSpend(amount)
		return
	}
	m.spend(budget, amount)
}

// Request notes demand for an amount that is not covered, so that a grant is requested.
func (p *QuotaLease) Request(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	if budget := m.budgetFor(&p.budget); amount <= budget.Total*(1-m.FixedFraction) {
		m.request(budget, amount)
	}
}

// MayGrantSoon reports whether a grant of the amount may arrive within GrantWait, which allows for one exchange with the coordinator. It may
// not if earlier demand has been waiting for longer; then the caller need not wait at all.
func (p *QuotaLease) MayGrantSoon(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	switch {
	case amount > budget.Total*(1-m.FixedFraction), amount >= budget.tooLargeAmount && m.now < budget.tooLargeUntil:
		return false
	}
	return budget.unmetSince == 0 || m.now <= budget.unmetSince+m.GrantWait || m.now > budget.lastDemandAt+2*m.RetryInterval
}

// Release releases an amount in use. It is taken from the grant that expires first and from the fixed share last, whichever it was
// charged to. So what remains in use is covered by grants that expire no sooner than those it was charged to, and by the fixed share,
// which does not expire while this process runs and for CountedFor after its end.
func (p *QuotaLease) Release(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	for _, grant := range budget.grants {
		part := min(grant.used, amount)
		if part <= 0 {
			continue
		}
		grant.used, amount = grant.used-part, amount-part
		switch {
		case grant.closed:
			if m.now < grant.expiresAt+m.padForDrift(budget.CountedFor) { // later it no longer counts at the coordinator
				m.queueReturn(p.budget.Key, grant.number, grant.used, grant.expiresAt)
			}
		case m.now < grant.expiresAt:
			grant.remaining += part
		}
		m.demandPending = true // so that Wake is called and reports it to the coordinator
	}
	if len(budget.fixedUses) > 0 && amount > 0 {
		if budget.fixedUses[0].amount -= amount; budget.fixedUses[0].amount <= 1e-9 {
			budget.fixedUses = nil
		}
	}
}

// InUse returns the amount in use now, of grants and of the fixed share; 0 for a budget that is not held.
func (p *QuotaLease) InUse() float64 { return p.machine.budgetFor(&p.budget).inUse() }

// inUse sums the amounts in use of a budget that is held.
func (b *memberBudget) inUse() (sum float64) {
	if !b.held() {
		return 0
	}
	for _, grant := range b.grants {
		sum += grant.used
	}
	for _, u := range b.fixedUses {
		sum += u.amount
	}
	return sum
}
