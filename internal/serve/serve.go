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

// Configuration is all that a router is told: the platform's configuration and, unless nil, our own settings. On a reload it may be
// why nothing of it can be used.
type Configuration struct {
	Config           config.Config
	Installation     *installation.Installation
	InstallationPath string    // of our own settings; empty: none
	ReadAt           time.Time // when it was read
	Err              error     // the old one stays in force
}

// Load reads both; path is of our own settings and may be empty.
func Load(getenv func(string) string, path string) (Configuration, error) {
	c, err := config.Load(getenv)
	if err != nil {
		return Configuration{}, err
	}
	t := Configuration{Config: c, InstallationPath: path, ReadAt: time.Now()}
	if path == "" {
		return t, nil
	}
	if t.Installation, err = installation.Load(path, getenv); err != nil {
		return t, err
	}
	return t, t.Installation.ValidateAgainst(path, c.Settings)
}

// Run serves until the context ends and all that was taken is answered. What comes on reloads takes the place of what
// was told before, as far as it may change: rules and logins count at once, listeners and engines from the next start.
func Run(ctx context.Context, t Configuration, reloads <-chan Configuration, log *zap.Logger) error {
	pool := &buffers.Pool{}
	w := loop.Environment{Pool: pool, Listeners: []loop.Listener{{Address: t.Config.Listen, Protocol: clients.Protocol(pool)}}}
	var own atomic.Pointer[installation.Installation]
	own.Store(t.Installation)
	if t.Installation != nil && t.Installation.TDS != nil {
		f := t.Installation.TDS
		door := newAuthenticator(&own)
		front := &tds.Server{Pool: pool, Name: f.Name, Authenticate: door.authenticate, Databases: f.Databases,
			Rules: func() *assign.Rules { return &own.Load().Rules }}
		w.Listeners = append(w.Listeners, loop.Listener{Address: f.Listen, Protocol: front.Protocol(f.Idle)})
		t.Config.Settings.AddAtMostOnceGroups()
		log.Info("TDS is spoken", zap.String("listen", f.Listen), zap.Int("logins", len(f.Users)))
	}
	w.EngineProtocol = engineProtocols(t.Installation, pool)
	w.Levels, w.Routes = levelsFor(t.Installation), routesFor(t.Installation)
	if t.Installation != nil && t.Installation.Fleet != nil {
		w.PeerMessaging = peerMessagingFor(t.Config.Name, t.Installation.Fleet)
		if w.PeerMessaging.Quotas = t.Installation.Shares; w.PeerMessaging.Quotas != nil {
			if err := checkAddressUnused(ctx, w.PeerMessaging.Quotas); err != nil {
				return err
			}
		}
	}
	inForce := func(Configuration) {}
	if t.Installation != nil && t.Installation.Status != "" {
		page, err := newStatusPage(ctx, t.Installation.Status, log)
		if err != nil {
			return err
		}
		defer page.stop()
		page.setActiveSettings(t)
		w.ReportStatus, inForce = page.setStatus, page.setActiveSettings
		if w.PeerMessaging != nil {
			w.PeerMessaging.ReportMembers = page.setMembers
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
				if next.Err != nil {
					continue
				}
				if (next.Installation == nil) == (t.Installation == nil) {
					own.Store(next.Installation)
				}
				if t.Installation != nil && next.Installation != nil && t.Installation.TDS != nil {
					next.Config.Settings.AddAtMostOnceGroups()
				}
				log.Info("our own settings read again: rules and logins count at once, all else from the next start")
				select {
				case configs <- loop.Reload{Config: next.Config, Levels: levelsFor(next.Installation), Routes: routesFor(next.Installation)}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return loop.Run(ctx, t.Config, w, configs, log)
}

// levelsFor gives the levels that settings have; a status page alone wants to be told how it stands too.
func levelsFor(own *installation.Installation) *router.LevelsSet {
	switch {
	case own == nil || own.Levels == nil && own.Status == "":
		return nil
	case own.Levels == nil:
		return &router.LevelsSet{DecayTime: 5}
	}
	return &router.LevelsSet{Levels: *own.Levels, DecayTime: own.LevelDecayTime}
}

// peerMessagingFor gives what the loop is told of other routers. A start is known by when it was, so that a newer one of the same name
// is told from an older.
func peerMessagingFor(name string, f *fleet.Settings) *loop.PeerMessaging {
	s := f.Members
	s.Self = membership.ID{Name: name, Start: uint64(time.Now().UnixMicro())}
	return &loop.PeerMessaging{Fleet: f.Name, Settings: s, Networks: f.Networks, AddressOverrides: f.Via, LoadReports: f.News}
}

// routesFor gives the routes that settings have. A file without any takes away those that were there.
func routesFor(own *installation.Installation) *router.RoutesSet {
	if own == nil {
		return nil
	}
	return &router.RoutesSet{Routes: own.Routes, Adaptive: own.Limits.Adaptive, RetryBudget: own.Limits.AllRetries, EngineRetryBudget: own.Limits.EngineRetries}
}

// engineProtocols gives each engine's protocol: one object for each line of the settings, since connections are alike there.
func engineProtocols(own *installation.Installation, pool *buffers.Pool) func(directory.Engine) *traffic.EngineProtocol {
	resp := engines.Protocol()
	if own == nil {
		return func(directory.Engine) *traffic.EngineProtocol { return resp }
	}
	protocols := make([]*traffic.EngineProtocol, len(own.Engines))
	for i, e := range own.Engines {
		protocols[i] = resp
		if e.Protocol == "tds" {
			protocols[i] = (&tds.EngineConfig{Pool: pool, User: e.User, Password: e.Password, Database: e.Database,
				AppName: "pitchfield", PacketSize: e.PacketSize, ProbeQuery: e.ProbeStatement, LoadQuery: e.LoadStatement, RejectionNumbers: e.RejectionCodes}).Protocol()
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

// authenticator lets clients in by their passwords. Checking one takes long by purpose, and reporting tools connect often, so
// the last good password of each user is remembered as a digest under a key of this process.
type authenticator struct {
	installation *atomic.Pointer[installation.Installation]
	macKey       [32]byte
	dummyHash    []byte

	mutex    sync.Mutex
	verified map[string][sha256.Size]byte // by hash and password; as many as there are users
}

func newAuthenticator(own *atomic.Pointer[installation.Installation]) *authenticator {
	d := &authenticator{installation: own, verified: map[string][sha256.Size]byte{}}
	rand.Read(d.macKey[:]) //nolint:errcheck // it never fails
	d.dummyHash, _ = bcrypt.GenerateFromPassword(d.macKey[:8], bcrypt.MinCost)
	return d
}

var errBadLogin = errors.New("no such user, or another password")

func (d *authenticator) authenticate(user, password string) (string, error) {
	own := d.installation.Load()
	if own == nil || own.TDS == nil {
		return "", errBadLogin
	}
	name := strings.ToLower(user)
	u, ok := own.TDS.Users[name]
	if !ok {
		bcrypt.CompareHashAndPassword(d.dummyHash, []byte(password)) //nolint:errcheck // it takes its time all the same
		return "", errBadLogin
	}
	mac := hmac.New(sha256.New, d.macKey[:])
	fmt.Fprintf(mac, "%d %s%s", len(u.Hash), u.Hash, password)
	digest := [sha256.Size]byte(mac.Sum(nil))
	d.mutex.Lock()
	known := d.verified[name]
	d.mutex.Unlock()
	if hmac.Equal(known[:], digest[:]) {
		return u.Client, nil
	}
	if bcrypt.CompareHashAndPassword(u.Hash, []byte(password)) != nil {
		return "", errBadLogin
	}
	d.mutex.Lock()
	d.verified[name] = digest
	d.mutex.Unlock()
	return u.Client, nil
}
