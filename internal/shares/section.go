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
	Replicas      []string `toml:"keepers"`
	FixedFraction *float64 `toml:"firm"`
	Lease         string   `toml:"lease"`
	Term          string   `toml:"term"`
	Drift         *float64 `toml:"drift"`
}

const (
	maxReplicas                      = 9
	minLease, maxLease               = 0.2, 30
	minTerm, maxTerm                 = 0.4, 60
	minDrift, maxDrift               = 0.0001, 0.2
	maxFixedFraction                 = 0.9
	minTermLeases, defaultTermLeases = 2, 2
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
	if n := len(c.Replicas); n == 0 || n > maxReplicas || n%2 == 0 {
		f.Errorf("shares.keepers", "%d addresses: 1, 3, 5, 7 or %d are wanted, the same at every router; most of them have to be there, and an even number bears no more deaths than one fewer", n, maxReplicas)
	}
	for i, text := range c.Replicas {
		key := fmt.Sprintf("shares.keepers[%d]", i)
		a, err := netip.ParseAddrPort(text)
		switch {
		case err != nil || a.Port() == 0:
			f.Errorf(key, "%q is not an address and a port, as 10.1.0.4:7500", text)
		case slices.Index(c.Replicas, text) < i:
			f.Errorf(key, "%q is there twice: it would count for two", text)
		case listen != "" && !slices.ContainsFunc(networks, func(p netip.Prefix) bool { return p.Contains(a.Addr().Unmap()) }):
			f.Errorf(key, "%q is in none of the networks of [fleet], so nobody would hear it", text)
		}
	}
	out.Replicas = c.Replicas
	if c.FixedFraction != nil {
		f.CheckRange("shares.firm", *c.FixedFraction, 0, maxFixedFraction)
		out.FixedFraction = *c.FixedFraction
	}
	if lease := f.Seconds("shares.lease", c.Lease, maxLease); lease > 0 {
		if lease < minLease {
			f.Errorf("shares.lease", "%q is below %g s: it would end before it is used", c.Lease, minLease)
		}
		out.Lease, out.Term = lease, defaultTermLeases*lease
	}
	if term := f.Seconds("shares.term", c.Term, maxTerm); term > 0 {
		if term < minTerm {
			f.Errorf("shares.term", "%q is below %g s: a bursar who is late for once would lose his office", c.Term, minTerm)
		}
		out.Term = term
	}
	if out.Term < minTermLeases*out.Lease {
		f.Errorf("shares", "the term has to be at least %d times the lease (%g s, %g s): no credit outlasts the office that it was given in", minTermLeases, out.Term, out.Lease)
	}
	if c.Drift != nil {
		f.CheckRange("shares.drift", *c.Drift, minDrift, maxDrift)
		out.MaxDrift = *c.Drift
	}
	return &out
}
