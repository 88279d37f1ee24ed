// Package fleet declares, decodes and validates the section [fleet] of the settings file: whether routers exchange peer messages,
// on which address, and with which other routers. The package that assembles the settings knows none of its keys.
package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"pitchfield/internal/findings"
	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// Sections holds the section [fleet] of the settings file; nil if the file has none.
type Sections struct {
	Fleet *Section `toml:"fleet"`
}

// Validate reports errors of the section to report and returns its settings; nil if peer messaging is off.
func (s *Sections) Validate(report findings.Reporter) *Settings {
	if s.Fleet == nil {
		return nil
	}
	return s.Fleet.validate(report)
}

// Section is the section [fleet] as the settings file has it.
type Section struct {
	Name     string   `toml:"name"`
	Listen   string   `toml:"listen"`
	Seeds    []string `toml:"seeds"`
	Networks []string `toml:"networks"`
	Every    string   `toml:"every"`
	Accept   string   `toml:"accept-loss-after"`
	Load     string   `toml:"load"`
	Via      []struct {
		To string `toml:"to"`
		By string `toml:"by"`
	} `toml:"via"`
}

// Settings are the validated settings of the section.
type Settings struct {
	Name     string
	Members  membership.Settings // without Self, the name and start of this router
	Networks []netip.Prefix
	Via      map[netip.AddrPort]netip.AddrPort // for a router's address, the address to send its messages to instead
	News     *news.Settings                    // of load reports; nil: none are sent
}

const (
	minLoadSeconds   = 0.05
	maxLoadSeconds   = 0.25
	minEverySeconds  = 0.05
	maxEverySeconds  = 10
	minAcceptSeconds = 5
	maxAcceptSeconds = 24 * 3600 // one day
	maxSeeds         = 64
	maxNameLength    = 64 // bytes
)

// validate reports errors of the section to f and returns its settings.
func (s *Section) validate(f findings.Reporter) *Settings {
	out := &Settings{Name: s.Name, Members: membership.Defaults(), Via: map[netip.AddrPort]netip.AddrPort{}}
	m := &out.Members
	if s.Name == "" || len(s.Name) > maxNameLength || strings.ContainsFunc(s.Name, func(c rune) bool { return c <= ' ' }) {
		f.Errorf("fleet.name", "%q: must be a name without blanks of at most %d bytes; packets of a fleet with another name are dropped", s.Name, maxNameLength)
	}
	if len(s.Networks) == 0 {
		f.Errorf("fleet", "without networks anybody could talk; name those of your routers, as [\"10.1.0.0/24\"]")
	}
	for i, text := range s.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			f.Errorf(fmt.Sprintf("fleet.networks[%d]", i), "%q is not a network, as 10.1.0.0/24", text)
			continue
		}
		if p.Bits() == 0 {
			f.Errorf(fmt.Sprintf("fleet.networks[%d]", i), "%q is everybody; there is neither sign-in nor encryption between routers", text)
		}
		out.Networks = append(out.Networks, p.Masked())
	}
	listen, ok := s.parseAddress(f, "fleet.listen", s.Listen)
	m.Listen = s.Listen
	if ok && listen.Addr().IsUnspecified() {
		f.Errorf("fleet.listen", "%q: must be a specific address, because other routers reach this router there", s.Listen)
	} else if ok && len(out.Networks) > 0 && !slices.ContainsFunc(out.Networks, func(p netip.Prefix) bool { return p.Contains(listen.Addr().Unmap()) }) {
		f.Errorf("fleet.listen", "%q is in none of the networks, so no other router of the same settings would hear this one", s.Listen)
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > maxSeeds {
		f.Errorf("fleet.seeds", "from 1 to %d addresses are required; they may include routers that are down and this router itself", maxSeeds)
	}
	for i, text := range s.Seeds {
		key := fmt.Sprintf("fleet.seeds[%d]", i)
		if _, ok := s.parseAddress(f, key, text); ok && slices.Index(s.Seeds, text) < i {
			f.Errorf(key, "%q is there twice", text)
		}
	}
	m.Seeds = s.Seeds
	if every := f.Seconds("fleet.every", s.Every, maxEverySeconds); every > 0 {
		if every < minEverySeconds {
			f.Errorf("fleet.every", "%q is below %g s: routers would spend all their time on packets", s.Every, float64(minEverySeconds))
		}
		scale := every / m.ProbeInterval // the other intervals scale with it
		m.ProbeInterval, m.ProbeTimeout = every, m.ProbeTimeout*scale
		m.SettleDelay, m.RecentWindow, m.SyncInterval = m.SettleDelay*scale, m.RecentWindow*scale, m.SyncInterval*scale
	}
	if accept := f.Seconds("fleet.accept-loss-after", s.Accept, maxAcceptSeconds); accept > 0 {
		if accept < max(minAcceptSeconds, math.Ceil(4*m.MaxSuspicionFactor*m.SuspicionMultiplier*m.ProbeInterval)) {
			f.Errorf("fleet.accept-loss-after", "%q: too short: a partition would count as a loss before it is detected", s.Accept)
		}
		m.AcceptLossAfter = accept
	}
	if load := f.Seconds("fleet.load", s.Load, 3600); load > 0 {
		if load < minLoadSeconds || load > maxLoadSeconds {
			f.Errorf("fleet.load", "%q is not between %gs and %gs: with a longer interval all routers would choose the same idle engine, with a shorter one they would spend all their time on packets", s.Load, float64(minLoadSeconds), float64(maxLoadSeconds))
		}
		n := news.Defaults()
		n.Interval, n.StaleAfter = load, n.StaleAfter*load/n.Interval
		out.News = &n
	}
	for i, v := range s.Via {
		key := fmt.Sprintf("fleet.via[%d]", i)
		to, ok := s.parseAddress(f, key+".to", v.To)
		by, ok2 := s.parseAddress(f, key+".by", v.By)
		if _, twice := out.Via[to]; ok && ok2 && twice {
			f.Errorf(key+".to", "%q is there twice", v.To)
		}
		out.Via[to] = by
	}
	return out
}

// parseAddress parses an address with a port, and reports an error for the key if it is invalid.
func (s *Section) parseAddress(f findings.Reporter, key, text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		f.Errorf(key, "%q is not an address and a port, as 10.1.0.4:7500", text)
		return a, false
	}
	return a, true
}
