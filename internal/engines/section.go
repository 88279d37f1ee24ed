package engines

import (
	"fmt"

	"pitchfield/internal/assign"
	"pitchfield/internal/directory"
	"pitchfield/internal/findings"
)

// EngineSections are [[engine]] of an operator's settings.
type EngineSections struct {
	Engine []struct {
		ID         string  `toml:"id"`
		Kind       string  `toml:"kind"`
		Zone       string  `toml:"zone"`
		Protocol   string  `toml:"protocol"`
		User       string  `toml:"user"`
		Password   string  `toml:"password"`
		FromEnv    string  `toml:"password-from"`
		Database   string  `toml:"database"`
		Packet     int     `toml:"packet"`
		Probe      string  `toml:"probe"`
		Load       string  `toml:"load"`
		TurnedAway []int32 `toml:"turned-away"`
	} `toml:"engine"`
}

// Settings say how those that match are spoken to. The first that matches decides; none: RESP.
type Settings struct {
	ID, Kind, Zone                string // patterns
	Protocol                      string // resp or tds
	User, Password, Database      string
	PacketSize                    int
	ProbeStatement, LoadStatement string
	RejectionCodes                []int32
}

// Matches tells whether these are an engine's settings.
func (e *Settings) Matches(one directory.Engine) bool {
	return assign.Match(e.ID, one.ID) && assign.Match(e.Kind, one.Kind) && assign.Match(e.Zone, one.Zone)
}

const defaultProbeStatement = "SELECT 1"

// Validate gives how engines are spoken to.
func (f *EngineSections) Validate(c findings.Reporter) (out []Settings) {
	for i, e := range f.Engine {
		at := fmt.Sprintf("engine[%d]", i)
		one := Settings{ID: e.ID, Kind: e.Kind, Zone: e.Zone, Protocol: e.Protocol, User: e.User, Password: e.Password,
			Database: e.Database, PacketSize: e.Packet, ProbeStatement: e.Probe, LoadStatement: e.Load, RejectionCodes: e.TurnedAway}
		switch e.Protocol {
		case "resp":
			if e.User != "" || e.Password != "" || e.FromEnv != "" || e.Load != "" || e.Probe != "" {
				c.Errorf(at, "user, password, probe and load are of protocol tds alone")
			}
		case "tds":
			if e.User == "" {
				c.Errorf(at+".user", "an engine that speaks TDS wants a login")
			}
			if e.FromEnv != "" {
				if one.Password = c.Getenv(e.FromEnv); one.Password == "" || e.Password != "" {
					c.Errorf(at+".password-from", "the environment has no %q, or password stands beside it", e.FromEnv)
				}
			}
		default:
			c.Errorf(at+".protocol", "%q is neither resp nor tds", e.Protocol)
		}
		if one.ProbeStatement == "" {
			one.ProbeStatement = defaultProbeStatement
		}
		if one.RejectionCodes == nil {
			one.RejectionCodes = []int32{40501, 10928, 10929}
		}
		if one.PacketSize == 0 {
			one.PacketSize = 4096
		} else if one.PacketSize < 512 || one.PacketSize > 32767 {
			c.Errorf(at+".packet", "%d is not from 512 to 32767 bytes", e.Packet)
		}
		out = append(out, one)
	}
	return out
}
