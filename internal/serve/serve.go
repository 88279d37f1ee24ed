// Package serve wires a router: which protocol is spoken at each listener and with each engine, who may log in, and
// what of the settings may change while it runs.
package serve

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/fleet"
	"pitchfield/internal/installation"
	"pitchfield/internal/loop"
	"pitchfield/internal/membership"
	"pitchfield/internal/router"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
)

// Told is all that a router is told: the platform's configuration and, unless nil, our own settings. On a reload it may be
// why nothing of it can be used.
type Told struct {
	Config  config.Config
	Own     *installation.Installation
	Path    string    // of our own settings; empty: none
	At      time.Time // when it was read
	Refused error     // the old one stays in force
}

// Load reads both; path is of our own settings and may be empty.
func Load(getenv func(string) string, path string) (Told, error) {
	c, err := config.Load(getenv)
	if err != nil {
		return Told{}, err
	}
	t := Told{Config: c, Path: path, At: time.Now()}
	if path == "" {
		return t, nil
	}
	if t.Own, err = installation.Load(path, getenv); err != nil {
		return t, err
	}
	return t, t.Own.ValidateAgainst(path, c.Settings)
}

// Run serves until the context ends and all that was taken is answered. What comes on reloads takes the place of what
// was told before, as far as it may change: rules and logins count at once, listeners and engines from the next start.
func Run(ctx context.Context, t Told, reloads <-chan Told, log *zap.Logger) error {
	pool := &buffers.Pool{}
	w := loop.World{Pool: pool, Listeners: []loop.Listener{{Address: t.Config.Listen, Speaks: clients.Protocol(pool)}}}
	var own atomic.Pointer[installation.Installation]
	own.Store(t.Own)
	if t.Own != nil && t.Own.TDS != nil {
		f := t.Own.TDS
		door := newDoor(&own)
		front := &tds.Front{Pool: pool, Name: f.Name, Admit: door.admit, Databases: f.Databases,
			Rules: func() *assign.Rules { return &own.Load().Rules }}
		w.Listeners = append(w.Listeners, loop.Listener{Address: f.Listen, Speaks: front.Protocol(f.Idle)})
		t.Config.Settings.AddAtMostOnceGroups()
		log.Info("TDS is spoken", zap.String("listen", f.Listen), zap.Int("logins", len(f.Users)))
	}
	w.Speaks = speaks(t.Own, pool)
	w.Levels, w.Routes = levelsOf(t.Own), routesOf(t.Own)
	if t.Own != nil && t.Own.Fleet != nil {
		w.Talk = talkOf(t.Config.Name, t.Own.Fleet)
		if w.Talk.Shares = t.Own.Shares; w.Talk.Shares != nil {
			if err := alone(ctx, w.Talk.Shares); err != nil {
				return err
			}
		}
	}
	inForce := func(Told) {}
	if t.Own != nil && t.Own.Status != "" {
		page, err := newStatusPage(ctx, t.Own.Status, log)
		if err != nil {
			return err
		}
		defer page.stop()
		page.force(t)
		w.Status, inForce = page.set, page.force
		if w.Talk != nil {
			w.Talk.Members = page.setMembers
		}
	}
	configs := make(chan loop.Reload)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-reloads:
				inForce(next)
				if next.Refused != nil {
					continue
				}
				if (next.Own == nil) == (t.Own == nil) {
					own.Store(next.Own)
				}
				if t.Own != nil && next.Own != nil && t.Own.TDS != nil {
					next.Config.Settings.AddAtMostOnceGroups()
				}
				log.Info("our own settings read again: rules and logins count at once, all else from the next start")
				select {
				case configs <- loop.Reload{Config: next.Config, Levels: levelsOf(next.Own), Routes: routesOf(next.Own)}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return loop.Run(ctx, t.Config, w, configs, log)
}

// levelsOf gives the levels that settings have; a status page alone wants to be told how it stands too.
func levelsOf(own *installation.Installation) *router.LevelsSet {
	switch {
	case own == nil || own.Levels == nil && own.Status == "":
		return nil
	case own.Levels == nil:
		return &router.LevelsSet{DecayTime: 5}
	}
	return &router.LevelsSet{Levels: *own.Levels, DecayTime: own.LevelDecayTime}
}

// talkOf gives what the loop is told of other routers. A start is known by when it was, so that a newer one of the same name
// is told from an older.
func talkOf(name string, f *fleet.Settings) *loop.Talk {
	s := f.Members
	s.Self = membership.ID{Name: name, Start: uint64(time.Now().UnixMicro())}
	return &loop.Talk{Fleet: f.Name, Settings: s, Networks: f.Networks, Via: f.Via, News: f.News}
}

// routesOf gives the routes that settings have. A file without any takes away those that were there.
func routesOf(own *installation.Installation) *router.RoutesSet {
	if own == nil {
		return nil
	}
	return &router.RoutesSet{Routes: own.Routes, Adaptive: own.Limits.Adaptive, RetryBudget: own.Limits.AllRetries, EngineRetryBudget: own.Limits.EngineRetries}
}

// speaks gives each engine's protocol: one object for each line of the settings, since connections are alike there.
func speaks(own *installation.Installation, pool *buffers.Pool) func(directory.Engine) *traffic.EngineProtocol {
	resp := engines.Protocol()
	if own == nil {
		return func(directory.Engine) *traffic.EngineProtocol { return resp }
	}
	protocols := make([]*traffic.EngineProtocol, len(own.Engines))
	for i, e := range own.Engines {
		protocols[i] = resp
		if e.Protocol == "tds" {
			protocols[i] = (&tds.Access{Pool: pool, User: e.User, Password: e.Password, Database: e.Database,
				Program: "pitchfield", Packet: e.PacketSize, Probe: e.ProbeStatement, Load: e.LoadStatement, TurnedAway: e.RejectionCodes}).Protocol()
		}
	}
	return func(e directory.Engine) *traffic.EngineProtocol {
		for i := range own.Engines {
			if own.Engines[i].Matches(e) {
				return protocols[i]
			}
		}
		return resp
	}
}

// door lets clients in by their passwords. Checking one takes long by purpose, and reporting tools connect often, so
// the last good password of each user is remembered as a digest under a key of this process.
type door struct {
	own   *atomic.Pointer[installation.Installation]
	key   [32]byte
	dummy []byte

	mutex sync.Mutex
	good  map[string][sha256.Size]byte // by hash and password; as many as there are users
}

func newDoor(own *atomic.Pointer[installation.Installation]) *door {
	d := &door{own: own, good: map[string][sha256.Size]byte{}}
	rand.Read(d.key[:]) //nolint:errcheck // it never fails
	d.dummy, _ = bcrypt.GenerateFromPassword(d.key[:8], bcrypt.MinCost)
	return d
}

var errNobody = errors.New("no such user, or another password")

func (d *door) admit(user, password string) (string, error) {
	own := d.own.Load()
	if own == nil || own.TDS == nil {
		return "", errNobody
	}
	name := strings.ToLower(user)
	u, ok := own.TDS.Users[name]
	if !ok {
		bcrypt.CompareHashAndPassword(d.dummy, []byte(password)) //nolint:errcheck // it takes its time all the same
		return "", errNobody
	}
	mac := hmac.New(sha256.New, d.key[:])
	fmt.Fprintf(mac, "%d %s%s", len(u.Hash), u.Hash, password)
	digest := [sha256.Size]byte(mac.Sum(nil))
	d.mutex.Lock()
	known := d.good[name]
	d.mutex.Unlock()
	if hmac.Equal(known[:], digest[:]) {
		return u.Client, nil
	}
	if bcrypt.CompareHashAndPassword(u.Hash, []byte(password)) != nil {
		return "", errNobody
	}
	d.mutex.Lock()
	d.good[name] = digest
	d.mutex.Unlock()
	return u.Client, nil
}
