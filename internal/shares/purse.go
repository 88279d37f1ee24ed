package shares

// Purse is what a router has of one budget that the fleet divides: free further dispatches, say, or how many dispatches may be
// out. What cold engines bear goes by Parts.
type Purse struct {
	m  *Machine
	of Budget
}

// Purse gives it. It may be made anew whenever the whole has changed. What is used last may come late: it rests for that longer.
func (m *Machine) Purse(of Budget) *Purse {
	of.Rest += overlap
	return &Purse{m, of}
}

// CanSpend tells whether so much may be used now.
func (p *Purse) CanSpend(now, amount float64) bool {
	m := p.m
	m.clock(now)
	b := m.budget(&p.of)
	return m.firmRoom(b, amount) || b.left(m.now) >= amount
}

// Spend counts what is used, for which there was room.
func (p *Purse) Spend(now, amount float64) {
	m := p.m
	m.clock(now)
	b := m.budget(&p.of)
	if m.firmRoom(b, amount) {
		if b.held() && len(b.firm) > 0 {
			b.firm[0].work += amount
		} else {
			b.firm = append(b.firm, use{m.now, amount})
		}
		b.wantAt = m.now
		m.spentFirm(amount)
		return
	}
	m.spend(b, amount)
}

// Request tells that so much is wanted for which there is no room.
func (p *Purse) Request(now, amount float64) {
	m := p.m
	m.clock(now)
	if b := m.budget(&p.of); amount <= b.Whole*(1-m.Firm) {
		m.want(b, amount)
	}
}

// MayGrantSoon tells whether it is worth a moment's wait to want so much: an exchange with the bursar. Where others have waited longer
// in vain it is not, and whoever wants it is told so at once.
func (p *Purse) MayGrantSoon(now, amount float64) bool {
	m := p.m
	m.clock(now)
	b := m.budget(&p.of)
	switch {
	case amount > b.Whole*(1-m.Firm), amount >= b.never && m.now < b.neverAt:
		return false
	}
	return b.unmetAt == 0 || m.now <= b.unmetAt+m.Wait || m.now > b.wantAt+2*m.Again
}

// Release tells that so much of what was held is no longer. It is taken from the credit that ends first, and from the firm part
// last, whichever it was spent of: then what is still out is covered by credits that end no sooner than those it was spent of,
// and by the firm part, which ends only with this start and a rest.
func (p *Purse) Release(now, amount float64) {
	m := p.m
	m.clock(now)
	b := m.budget(&p.of)
	for _, g := range b.credits {
		part := min(g.used, amount)
		if part <= 0 {
			continue
		}
		g.used, amount = g.used-part, amount-part
		switch {
		case g.closed:
			if m.now < g.until+m.longer(b.Rest) { // else it counts there no longer
				m.done(p.of.Key, g.number, g.used, g.until)
			}
		case m.now < g.until:
			g.left += part
		}
		m.wanted = true // the bursar is told at the end of this turn
	}
	if len(b.firm) > 0 && amount > 0 {
		if b.firm[0].work -= amount; b.firm[0].work <= 1e-9 {
			b.firm = nil
		}
	}
}

// Out is what is held now, of credits and of the firm part.
func (p *Purse) Out() float64 { return p.m.budget(&p.of).out() }

func (b *budget) out() (sum float64) {
	if !b.held() {
		return 0
	}
	for _, g := range b.credits {
		sum += g.used
	}
	for _, u := range b.firm {
		sum += u.work
	}
	return sum
}
