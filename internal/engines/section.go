package engines

import (
	"fmt"

	"pitchfield/internal/assign"
	"pitchfield/internal/directory"
	"pitchfield/internal/findings"
)

// EngineSections holds the [[engine]] sections of the operator's settings, as they are decoded.
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

// Settings says how the router communicates with the engines that match. The first Settings that match an engine apply to it;
// without a match it is RESP.
type Settings struct {
	ID, Kind, Zone           string  // patterns in which * matches any text; empty: any
	Protocol                 string  // resp or tds; the fields below are used with tds only
	User, Password, Database string  // of the login
	PacketSize               int     // bytes
	ProbeStatement           string  // run as a health check
	LoadStatement            string  // its first row is the load report; empty: none
	RejectionCodes           []int32 // error numbers that say that a batch has not run
}

// Matches reports whether an engine's id, kind and zone match the patterns.
func (e *Settings) Matches(engine directory.Engine) bool {
	return assign.Match(e.ID, engine.ID) && assign.Match(e.Kind, engine.Kind) && assign.Match(e.Zone, engine.Zone)
}

const defaultProbeStatement = "SELECT 1"

// Validate returns the settings of each section, with defaults filled in, and reports errors to checker. Passwords may come from
// environment variables.
func (f *EngineSections) Validate(checker findings.Reporter) (all []Settings) {
	for i, e := range f.Engine {
		section := fmt.Sprintf("engine[%d]", i)
		settings := Settings{ID: e.ID, Kind: e.Kind, Zone: e.Zone, Protocol: e.Protocol, User: e.User, Password: e.Password,
			Database: e.Database, PacketSize: e.Packet, ProbeStatement: e.Probe, LoadStatement: e.Load, RejectionCodes: e.TurnedAway}
		switch e.Protocol {
		case "resp":
			if e.User != "" || e.Password != "" || e.FromEnv != "" || e.Load != "" || e.Probe != "" {
				checker.Errorf(section, "user, password, probe and load apply to protocol tds only")
			}
		case "tds":
			if e.User == "" {
				checker.Errorf(section+".user", "protocol tds requires a login")
			}
			if e.FromEnv != "" {
				if settings.Password = checker.Getenv(e.FromEnv); settings.Password == "" || e.Password != "" {
					checker.Errorf(section+".password-from", "environment variable %q is not set, or password is set as well", e.FromEnv)
				}
			}
		default:
			checker.Errorf(section+".protocol", "%q is neither resp nor tds", e.Protocol)
		}
		if settings.ProbeStatement == "" {
			settings.ProbeStatement = defaultProbeStatement
		}
		if settings.RejectionCodes == nil {
			settings.RejectionCodes = []int32{40501, 10928, 10929} // service busy; resource limit reached; server too busy
		}
		if settings.PacketSize == 0 {
			settings.PacketSize = 4096 // bytes
		} else if settings.PacketSize < 512 || settings.PacketSize > 32767 {
			checker.Errorf(section+".packet", "%d is not from 512 to 32767 bytes", e.Packet)
		}
		all = append(all, settings)
	}
	return all
}
