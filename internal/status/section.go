// Package status reads the section [status] of the settings, which says where the router's status page listens.
package status

import (
	"net/netip"

	"pitchfield/internal/findings"
)

// PageSection holds the section as decoded from TOML.
type PageSection struct {
	Status *struct {
		Listen string `toml:"listen"`
	} `toml:"status"`
}

// Validate returns the address of the status page; empty: there is none. It adds a finding if the address can't be used.
func (f *PageSection) Validate(c findings.Reporter) string {
	if f.Status == nil {
		return ""
	}
	if a, err := netip.ParseAddrPort(f.Status.Listen); err != nil || a.Port() == 0 {
		c.Errorf("status.listen", "%q is not an address and a port, as 127.0.0.1:7480", f.Status.Listen)
	}
	return f.Status.Listen
}
