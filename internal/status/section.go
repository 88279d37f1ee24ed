// Package status is the section [status] of an operator's settings: where a router's status page listens.
package status

import (
	"net/netip"

	"pitchfield/internal/findings"
)

// PageSection is what the file says.
type PageSection struct {
	Status *struct {
		Listen string `toml:"listen"`
	} `toml:"status"`
}

// Validate gives the address; empty: there is no page.
func (f *PageSection) Validate(c findings.Reporter) string {
	if f.Status == nil {
		return ""
	}
	if a, err := netip.ParseAddrPort(f.Status.Listen); err != nil || a.Port() == 0 {
		c.Errorf("status.listen", "%q is not an address and a port, as 127.0.0.1:7480", f.Status.Listen)
	}
	return f.Status.Listen
}
