package shares

import (
	"fmt"
	"net/netip"
	"slices"

	"pitchfield/internal/findings"
)

// ShareSections is the part of a settings file that configures this package.
type ShareSections struct {
	Shares *Section `toml:"shares"`
}

// Section is [shares] of a settings file. Fields that are left out have the values of Defaults.
type Section struct {
	Replicas      []string `toml:"keepers"`
	FixedFraction *float64 `toml:"firm"`
	Lease         string   `toml:"lease"`
	Term          string   `toml:"term"`
	Drift         *float64 `toml:"drift"`
}

// Bounds of the settings. Times are seconds.
const (
	maxReplicas       = 9
	minLease          = 0.2
	maxLease          = 30
	minTerm           = 0.4
	maxTerm           = 60
	minDrift          = 0.0001
	maxDrift          = 0.2
	maxFixedFraction  = 0.9
	minTermLeases     = 2 // least term as a multiple of the lease, so that no grant outlasts the leadership in which it was issued
	defaultTermLeases = 2 // term as a multiple of the lease where only the lease is configured
)

// Prove checks the section and returns the settings; nil: there is no section, so nothing is divided by messages. Mistakes are reported
// to f. listen is the address at which this router exchanges messages with the others, and empty if it does not; networks are those
// of the routers that may.
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
		f.Errorf("shares.keepers", "%d addresses: 1, 3, 5, 7 or %d are wanted, the same at every router; a majority of them has to be running, and an even number tolerates no more failures than one fewer", n, maxReplicas)
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
			f.Errorf("shares.lease", "%q is below %g s: a grant would expire before it is used", c.Lease, minLease)
		}
		out.Lease, out.Term = lease, defaultTermLeases*lease
	}
	if term := f.Seconds("shares.term", c.Term, maxTerm); term > 0 {
		if term < minTerm {
			f.Errorf("shares.term", "%q is below %g s: a bursar whose renewal is late once would lose its office", c.Term, minTerm)
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
