// Package fleet is the section [fleet] of an operator's settings: whether routers talk to each other, where, and with whom.
// It declares its keys, decodes and proves them; what gathers settings knows none of them.
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

// Sections are [fleet] of an operator's settings.
type Sections struct {
	Fleet *Section `toml:"fleet"`
}

// Validate gives what came of it; nil: there is no talk.
func (s *Sections) Validate(c findings.Reporter) *Settings {
	if s.Fleet == nil {
		return nil
	}
	return s.Fleet.validate(c)
}

// Section is what the file says.
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

// Settings are what came of it.
type Settings struct {
	Name     string
	Members  membership.Settings // but for who this router is
	Networks []netip.Prefix
	Via      map[netip.AddrPort]netip.AddrPort
	News     *news.Settings // of what is out, as routers tell it; nil: they don't
}

const (
	minLoadSeconds, maxLoadSeconds     = 0.05, 0.25
	minEverySeconds, maxEverySeconds   = 0.05, 10
	minAcceptSeconds, maxAcceptSeconds = 5, 24 * 3600
	maxSeeds                           = 64
	maxNameLength                      = 64
)

// validate proves the section.
func (s *Section) validate(f findings.Reporter) *Settings {
	out := &Settings{Name: s.Name, Members: membership.Defaults(), Via: map[netip.AddrPort]netip.AddrPort{}}
	m := &out.Members
	if s.Name == "" || len(s.Name) > maxNameLength || strings.ContainsFunc(s.Name, func(c rune) bool { return c <= ' ' }) {
		f.Errorf("fleet.name", "%q: a name without blanks, of %d bytes at most, is wanted: packets of another fleet are dropped by it", s.Name, maxNameLength)
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
		f.Errorf("fleet.listen", "%q: others reach this router by what stands here, so it has to be one address of its own", s.Listen)
	} else if ok && len(out.Networks) > 0 && !slices.ContainsFunc(out.Networks, func(p netip.Prefix) bool { return p.Contains(listen.Addr().Unmap()) }) {
		f.Errorf("fleet.listen", "%q is in none of the networks, so no other router of the same settings would hear this one", s.Listen)
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > maxSeeds {
		f.Errorf("fleet.seeds", "from 1 to %d addresses are wanted; they may be of routers that are down, and this one's own may be among them", maxSeeds)
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
			f.Errorf("fleet.every", "%q is below %g s: packets would be all that routers do", s.Every, float64(minEverySeconds))
		}
		scale := every / m.ProbeInterval // the rest goes with it
		m.ProbeInterval, m.ProbeTimeout = every, m.ProbeTimeout*scale
		m.SettleDelay, m.RecentWindow, m.SyncInterval = m.SettleDelay*scale, m.RecentWindow*scale, m.SyncInterval*scale
	}
	if accept := f.Seconds("fleet.accept-loss-after", s.Accept, maxAcceptSeconds); accept > 0 {
		if accept < max(minAcceptSeconds, math.Ceil(4*m.MaxSuspicionFactor*m.SuspicionMultiplier*m.ProbeInterval)) {
			f.Errorf("fleet.accept-loss-after", "%q: a cut would be taken for a loss before it is known as one", s.Accept)
		}
		m.AcceptLossAfter = accept
	}
	if load := f.Seconds("fleet.load", s.Load, 3600); load > 0 {
		if load < minLoadSeconds || load > maxLoadSeconds {
			f.Errorf("fleet.load", "%q is not from %gs to %gs: later all routers would meet on the engine that was idle then, earlier packets would be all that they do", s.Load, float64(minLoadSeconds), float64(maxLoadSeconds))
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

func (s *Section) parseAddress(f findings.Reporter, key, text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		f.Errorf(key, "%q is not an address and a port, as 10.1.0.4:7500", text)
		return a, false
	}
	return a, true
}
