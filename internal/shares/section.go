package shares

import (
	"fmt"
	"net/netip"
	"slices"

	"pitchfield/internal/findings"
)

// ShareSections are [shares] of an operator's settings.
type ShareSections struct {
	Shares *Section `toml:"shares"`
}

// Section is what the file says.
type Section struct {
	Keepers []string `toml:"keepers"`
	Firm    *float64 `toml:"firm"`
	Lease   string   `toml:"lease"`
	Term    string   `toml:"term"`
	Drift   *float64 `toml:"drift"`
}

const (
	mostKeepers             = 9
	leastLease, mostLease   = 0.2, 30
	leastTerm, mostTerm     = 0.4, 60
	leastDrift, mostDrift   = 0.0001, 0.2
	mostFirm                = 0.9
	termOfLease, usualTerms = 2, 2
)

// Prove gives what came of it, but for the own address; nil: nothing is divided by talk. listen is where this router talks, and
// empty where it does not; networks are those of the routers that may.
func (s *ShareSections) Prove(f findings.Reporter, listen string, networks []netip.Prefix) *Settings {
	c := s.Shares
	if c == nil {
		return nil
	}
	out := Defaults()
	out.Listen = listen
	if listen == "" {
		f.Errorf("shares", "without [fleet] there is nobody to divide anything with")
	}
	if n := len(c.Keepers); n == 0 || n > mostKeepers || n%2 == 0 {
		f.Errorf("shares.keepers", "%d addresses: 1, 3, 5, 7 or %d are wanted, the same at every router; most of them have to be there, and an even number bears no more deaths than one fewer", n, mostKeepers)
	}
	for i, text := range c.Keepers {
		key := fmt.Sprintf("shares.keepers[%d]", i)
		a, err := netip.ParseAddrPort(text)
		switch {
		case err != nil || a.Port() == 0:
			f.Errorf(key, "%q is not an address and a port, as 10.1.0.4:7500", text)
		case slices.Index(c.Keepers, text) < i:
			f.Errorf(key, "%q is there twice: it would count for two", text)
		case listen != "" && !slices.ContainsFunc(networks, func(p netip.Prefix) bool { return p.Contains(a.Addr().Unmap()) }):
			f.Errorf(key, "%q is in none of the networks of [fleet], so nobody would hear it", text)
		}
	}
	out.Keepers = c.Keepers
	if c.Firm != nil {
		f.CheckRange("shares.firm", *c.Firm, 0, mostFirm)
		out.Firm = *c.Firm
	}
	if lease := f.Seconds("shares.lease", c.Lease, mostLease); lease > 0 {
		if lease < leastLease {
			f.Errorf("shares.lease", "%q is below %g s: it would end before it is used", c.Lease, leastLease)
		}
		out.Lease, out.Term = lease, usualTerms*lease
	}
	if term := f.Seconds("shares.term", c.Term, mostTerm); term > 0 {
		if term < leastTerm {
			f.Errorf("shares.term", "%q is below %g s: a bursar who is late for once would lose his office", c.Term, leastTerm)
		}
		out.Term = term
	}
	if out.Term < termOfLease*out.Lease {
		f.Errorf("shares", "the term has to be at least %d times the lease (%g s, %g s): no credit outlasts the office that it was given in", termOfLease, out.Term, out.Lease)
	}
	if c.Drift != nil {
		f.CheckRange("shares.drift", *c.Drift, leastDrift, mostDrift)
		out.Drift = *c.Drift
	}
	return &out
}
