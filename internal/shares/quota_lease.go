package shares

// QuotaLease is what a router has of one budget that the fleet divides: free further dispatches, say, or how many dispatches may be
// out. What cold engines bear goes by Parts.
type QuotaLease struct {
	machine *Machine
	budget  Budget
}

// QuotaLease gives it. It may be made anew whenever the whole has changed. What is used last may come late: it rests for that longer.
func (m *Machine) QuotaLease(of Budget) *QuotaLease {
	of.CountedFor += lateSendMargin
	return &QuotaLease{m, of}
}

// Room tells whether so much may be used now.
func (p *QuotaLease) Room(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	return m.fitsFixedShare(budget, amount) || budget.available(m.now) >= amount
}

// Spend counts what is used, for which there was room.
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

// Want tells that so much is wanted for which there is no room.
func (p *QuotaLease) Want(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	if budget := m.budgetFor(&p.budget); amount <= budget.Total*(1-m.FixedFraction) {
		m.request(budget, amount)
	}
}

// Hopes tells whether it is worth a moment's wait to want so much: an exchange with the bursar. Where others have waited longer
// in vain it is not, and whoever wants it is told so at once.
func (p *QuotaLease) Hopes(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	budget := m.budgetFor(&p.budget)
	switch {
	case amount > budget.Total*(1-m.FixedFraction), amount >= budget.tooLargeAmount && m.now < budget.tooLargeUntil:
		return false
	}
	return budget.unmetSince == 0 || m.now <= budget.unmetSince+m.GrantWait || m.now > budget.lastDemandAt+2*m.RetryInterval
}

// Freed tells that so much of what was held is no longer. It is taken from the credit that ends first, and from the firm part
// last, whichever it was spent of: then what is still out is covered by credits that end no sooner than those it was spent of,
// and by the firm part, which ends only with this start and a rest.
func (p *QuotaLease) Freed(now, amount float64) {
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
			if m.now < grant.expiresAt+m.padForDrift(budget.CountedFor) { // else it counts there no longer
				m.queueReturn(p.budget.Key, grant.number, grant.used, grant.expiresAt)
			}
		case m.now < grant.expiresAt:
			grant.remaining += part
		}
		m.demandPending = true // the bursar is told at the end of this turn
	}
	if len(budget.fixedUses) > 0 && amount > 0 {
		if budget.fixedUses[0].amount -= amount; budget.fixedUses[0].amount <= 1e-9 {
			budget.fixedUses = nil
		}
	}
}

// InUse is what is held now, of credits and of the firm part.
func (p *QuotaLease) InUse() float64 { return p.machine.budgetFor(&p.budget).inUse() }

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
