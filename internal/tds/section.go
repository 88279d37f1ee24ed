package tds

import (
	"fmt"
	"net/netip"
	"strings"

	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/findings"
)

// ListenerSection is [tds] of an operator's settings.
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

// Settings are those of the front for clients.
type Settings struct {
	Listen, Name string
	Idle         float64 // seconds
	Databases    []string
	Users        map[string]User // by name in lower case
}

// User is one who may log in.
type User struct {
	Hash   []byte // bcrypt's
	Client string // that the user's batches count for
}

const (
	maxIdle     = 24 * 3600
	defaultIdle = 600
	minHashCost = 4 // of a hash: less is no protection, and may be a slip
	maxHashCost = 14
)

// Validate gives the front's settings; nil: nobody speaks TDS here.
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
		at := fmt.Sprintf("tds.login[%d]", i)
		name := strings.ToLower(l.User)
		if _, twice := out.Users[name]; twice || name == "" {
			c.Errorf(at+".user", "%q is empty or there twice", l.User)
		}
		if cost, err := bcrypt.Cost([]byte(l.Hash)); err != nil || cost < minHashCost || cost > maxHashCost {
			c.Errorf(at+".hash", "not a bcrypt hash of a cost from %d to %d; 'pitchfield hash' makes one", minHashCost, maxHashCost)
		}
		out.Users[name] = User{Hash: []byte(l.Hash), Client: l.Client}
	}
	return out
}
