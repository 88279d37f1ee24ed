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

// CanSpend tells whether so much may be used now.
func (p *QuotaLease) CanSpend(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	b := m.budgetFor(&p.budget)
	return m.fitsFixedShare(b, amount) || b.available(m.now) >= amount
}

// Spend counts what is used, for which there was room.
func (p *QuotaLease) Spend(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	b := m.budgetFor(&p.budget)
	if m.fitsFixedShare(b, amount) {
		if b.held() && len(b.fixedUses) > 0 {
			b.fixedUses[0].amount += amount
		} else {
			b.fixedUses = append(b.fixedUses, use{m.now, amount})
		}
		b.lastDemandAt = m.now
		m.countFixedSpend(amount)
		return
	}
	m.spend(b, amount)
}

// Request tells that so much is wanted for which there is no room.
func (p *QuotaLease) Request(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	if b := m.budgetFor(&p.budget); amount <= b.Total*(1-m.FixedFraction) {
		m.request(b, amount)
	}
}

// MayGrantSoon tells whether it is worth a moment's wait to want so much: an exchange with the bursar. Where others have waited longer
// in vain it is not, and whoever wants it is told so at once.
func (p *QuotaLease) MayGrantSoon(now, amount float64) bool {
	m := p.machine
	m.advanceClock(now)
	b := m.budgetFor(&p.budget)
	switch {
	case amount > b.Total*(1-m.FixedFraction), amount >= b.tooLargeAmount && m.now < b.tooLargeUntil:
		return false
	}
	return b.unmetSince == 0 || m.now <= b.unmetSince+m.GrantWait || m.now > b.lastDemandAt+2*m.RetryInterval
}

// Release tells that so much of what was held is no longer. It is taken from the credit that ends first, and from the firm part
// last, whichever it was spent of: then what is still out is covered by credits that end no sooner than those it was spent of,
// and by the firm part, which ends only with this start and a rest.
func (p *QuotaLease) Release(now, amount float64) {
	m := p.machine
	m.advanceClock(now)
	b := m.budgetFor(&p.budget)
	for _, g := range b.grants {
		part := min(g.used, amount)
		if part <= 0 {
			continue
		}
		g.used, amount = g.used-part, amount-part
		switch {
		case g.closed:
			if m.now < g.expiresAt+m.padForDrift(b.CountedFor) { // else it counts there no longer
				m.queueReturn(p.budget.Key, g.number, g.used, g.expiresAt)
			}
		case m.now < g.expiresAt:
			g.remaining += part
		}
		m.demandPending = true // the bursar is told at the end of this turn
	}
	if len(b.fixedUses) > 0 && amount > 0 {
		if b.fixedUses[0].amount -= amount; b.fixedUses[0].amount <= 1e-9 {
			b.fixedUses = nil
		}
	}
}

// InUse is what is held now, of credits and of the firm part.
func (p *QuotaLease) InUse() float64 { return p.machine.budgetFor(&p.budget).inUse() }

func (b *memberBudget) inUse() (sum float64) {
	if !b.held() {
		return 0
	}
	for _, g := range b.grants {
		sum += g.used
	}
	for _, u := range b.fixedUses {
		sum += u.amount
	}
	return sum
}
