package tds

import (
	"fmt"
	"net/netip"
	"strings"

	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/findings"
)

// ListenerSection is the [tds] table of the operator's settings.
type ListenerSection struct {
	TDS *struct {
		Listen    string   `toml:"listen"`
		Name      string   `toml:"name"`
		Idle      string   `toml:"idle"`
		Databases []string `toml:"databases"`
		Login     []struct {
			User   string `toml:"user"`
			Hash   string `toml:"hash"`
			Client string `toml:"client"`
		} `toml:"login"`
	} `toml:"tds"`
}

// Settings are the validated settings of the listener for TDS clients.
type Settings struct {
	Listen    string          // address and port
	Name      string          // server name that clients see
	Idle      float64         // seconds after which an idle connection is closed
	Databases []string        // that clients may use; empty: any
	Users     map[string]User // by name in lower case
}

// User is a login.
type User struct {
	Hash   []byte // bcrypt hash of the password
	Client string // client that the user's batches are counted under
}

const (
	maxIdle     = 24 * 3600 // seconds
	defaultIdle = 600       // seconds
	minHashCost = 4         // of a bcrypt hash: a lower cost is no protection and may be a mistake
	maxHashCost = 14
)

// Validate checks the section and returns its settings, with defaults filled in. Faults are reported to c. It returns
// nil if there is no [tds] table: the router then has no TDS listener.
func (f *ListenerSection) Validate(c findings.Reporter) *Settings {
	t := f.TDS
	if t == nil {
		return nil
	}
	out := &Settings{Listen: t.Listen, Name: t.Name, Databases: t.Databases, Users: map[string]User{}}
	if out.Name == "" {
		out.Name = "pitchfield"
	}
	if a, err := netip.ParseAddrPort(t.Listen); err != nil || a.Port() == 0 {
		c.Errorf("tds.listen", "%q is not an address and a port, as 127.0.0.1:1433", t.Listen)
	}
	out.Idle = c.Seconds("tds.idle", t.Idle, maxIdle)
	if out.Idle == 0 {
		out.Idle = defaultIdle
	}
	if len(t.Login) == 0 {
		c.Errorf("tds", "without a [[tds.login]] nobody can log in")
	}
	for i, l := range t.Login {
		key := fmt.Sprintf("tds.login[%d]", i)
		name := strings.ToLower(l.User)
		if _, duplicate := out.Users[name]; duplicate || name == "" {
			c.Errorf(key+".user", "%q is empty or there twice", l.User)
		}
		if cost, err := bcrypt.Cost([]byte(l.Hash)); err != nil || cost < minHashCost || cost > maxHashCost {
			c.Errorf(key+".hash", "not a bcrypt hash of a cost from %d to %d; 'pitchfield hash' makes one", minHashCost, maxHashCost)
		}
		out.Users[name] = User{Hash: []byte(l.Hash), Client: l.Client}
	}
	return out
}
