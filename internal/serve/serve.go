// Package serve sets up a router from its settings: the protocol of each listener and engine, the logins of clients, the
// status page, and which settings a reload changes. It also fetches and prints the status page of a running router.
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

// Configuration is the platform's configuration together with the installation's own settings. On a reload it may instead
// hold the error why it can't be used.
type Configuration struct {
	Config           config.Config
	Installation     *installation.Installation // nil: no settings of its own
	InstallationPath string                     // file of the installation's settings; empty: none
	ReadAt           time.Time
	Err              error // not nil: the previous configuration stays in force
}

// Load reads the platform's configuration and the installation's settings, and checks one against the other. path is the
// file of the settings and may be empty.
func Load(getenv func(string) string, path string) (Configuration, error) {
	c, err := config.Load(getenv)
	if err != nil {
		return Configuration{}, err
	}
	out := Configuration{Config: c, InstallationPath: path, ReadAt: time.Now()}
	if path == "" {
		return out, nil
	}
	if out.Installation, err = installation.Load(path, getenv); err != nil {
		return out, err
	}
	return out, out.Installation.ValidateAgainst(path, c.Settings)
}

// Run serves until ctx is done and every accepted batch is answered. A configuration received on reloads replaces the one
// in force: rules and logins apply at once, listeners and engines only from the next start.
func Run(ctx context.Context, initial Configuration, reloads <-chan Configuration, log *zap.Logger) error {
	pool := &buffers.Pool{}
	env := loop.Environment{Pool: pool, Listeners: []loop.Listener{{Address: initial.Config.Listen, Protocol: clients.Protocol(pool)}}}
	var current atomic.Pointer[installation.Installation]
	current.Store(initial.Installation)
	if initial.Installation != nil && initial.Installation.TDS != nil {
		frontSettings := initial.Installation.TDS
		auth := newAuthenticator(&current)
		front := &tds.Server{Pool: pool, Name: frontSettings.Name, Authenticate: auth.authenticate, Databases: frontSettings.Databases,
			Rules: func() *assign.Rules { return &current.Load().Rules }}
		env.Listeners = append(env.Listeners, loop.Listener{Address: frontSettings.Listen, Protocol: front.Protocol(frontSettings.Idle)})
		initial.Config.Settings.AddAtMostOnceGroups()
		log.Info("TDS is spoken", zap.String("listen", frontSettings.Listen), zap.Int("logins", len(frontSettings.Users)))
	}
	env.EngineProtocol = engineProtocols(initial.Installation, pool)
	env.Levels, env.Routes = levelsFor(initial.Installation), routesFor(initial.Installation)
	if initial.Installation != nil && initial.Installation.Fleet != nil {
		env.PeerMessaging = peerMessagingFor(initial.Config.Name, initial.Installation.Fleet)
		if env.PeerMessaging.Quotas = initial.Installation.Shares; env.PeerMessaging.Quotas != nil {
			if err := checkAddressUnused(ctx, env.PeerMessaging.Quotas); err != nil {
				return err
			}
		}
	}
	reportSettings := func(Configuration) {}
	if initial.Installation != nil && initial.Installation.Status != "" {
		page, err := newStatusPage(ctx, initial.Installation.Status, log)
		if err != nil {
			return err
		}
		defer page.stop()
		page.setActiveSettings(initial)
		env.ReportStatus, reportSettings = page.setStatus, page.setActiveSettings
		if env.PeerMessaging != nil {
			env.PeerMessaging.ReportMembers = page.setMembers
		}
	}
	configs := make(chan loop.Reload)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-reloads:
				reportSettings(next)
				if next.Err != nil {
					continue
				}
				if (next.Installation == nil) == (initial.Installation == nil) {
					current.Store(next.Installation)
				}
				if initial.Installation != nil && next.Installation != nil && initial.Installation.TDS != nil {
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
	return loop.Run(ctx, initial.Config, env, configs, log)
}

// levelsFor returns the configured levels of reduced service; nil: none are needed. A status page needs the measures even
// if no levels are configured.
func levelsFor(settings *installation.Installation) *router.LevelsSet {
	switch {
	case settings == nil || settings.Levels == nil && settings.Status == "":
		return nil
	case settings.Levels == nil:
		return &router.LevelsSet{DecayTime: 5}
	}
	return &router.LevelsSet{Levels: *settings.Levels, DecayTime: settings.LevelDecayTime}
}

// peerMessagingFor returns the settings of peer messaging. The start time identifies this run of the router, so that
// others can tell it from an earlier run under the same name.
func peerMessagingFor(name string, fleetSettings *fleet.Settings) *loop.PeerMessaging {
	memberSettings := fleetSettings.Members
	memberSettings.Self = membership.ID{Name: name, Start: uint64(time.Now().UnixMicro())}
	return &loop.PeerMessaging{Fleet: fleetSettings.Name, Settings: memberSettings, Networks: fleetSettings.Networks, AddressOverrides: fleetSettings.Via, LoadReports: fleetSettings.News}
}

// routesFor returns the configured routes; nil: there is no settings file. A reloaded file without routes removes the
// earlier ones.
func routesFor(settings *installation.Installation) *router.RoutesSet {
	if settings == nil {
		return nil
	}
	return &router.RoutesSet{Routes: settings.Routes, Adaptive: settings.Limits.Adaptive, RetryBudget: settings.Limits.AllRetries, EngineRetryBudget: settings.Limits.EngineRetries}
}

// engineProtocols returns a function that finds an engine's protocol. Engines of the same settings entry share one protocol
// object, since their connections are set up alike.
func engineProtocols(settings *installation.Installation, pool *buffers.Pool) func(directory.Engine) *traffic.EngineProtocol {
	resp := engines.Protocol()
	if settings == nil {
		return func(directory.Engine) *traffic.EngineProtocol { return resp }
	}
	protocols := make([]*traffic.EngineProtocol, len(settings.Engines))
	for i, e := range settings.Engines {
		protocols[i] = resp
		if e.Protocol == "tds" {
			protocols[i] = (&tds.EngineConfig{Pool: pool, User: e.User, Password: e.Password, Database: e.Database,
				AppName: "pitchfield", PacketSize: e.PacketSize, ProbeQuery: e.ProbeStatement, LoadQuery: e.LoadStatement, RejectionNumbers: e.RejectionCodes}).Protocol()
		}
	}
	return func(e directory.Engine) *traffic.EngineProtocol {
		for i := range settings.Engines {
			if settings.Engines[i].Matches(e) {
				return protocols[i]
			}
		}
		return resp
	}
}

// authenticator checks the passwords of clients. Checking a bcrypt hash is slow on purpose, and reporting tools connect
// often, so the last valid password of each user is cached as a MAC under a random key of this process. It may be used by
// several goroutines.
type authenticator struct {
	installation *atomic.Pointer[installation.Installation]
	macKey       [32]byte
	dummyHash    []byte

	mutex    sync.Mutex
	verified map[string][sha256.Size]byte // MAC of hash and password, by user name; at most one for each user
}

func newAuthenticator(current *atomic.Pointer[installation.Installation]) *authenticator {
	a := &authenticator{installation: current, verified: map[string][sha256.Size]byte{}}
	rand.Read(a.macKey[:]) //nolint:errcheck // it never fails
	a.dummyHash, _ = bcrypt.GenerateFromPassword(a.macKey[:8], bcrypt.MinCost)
	return a
}

var errBadLogin = errors.New("unknown user or wrong password")

// authenticate checks a user's password and returns the name of the client that the user belongs to. For unknown users it
// checks the password against a dummy hash, so that the time taken does not show which users exist.
func (a *authenticator) authenticate(user, password string) (string, error) {
	settings := a.installation.Load()
	if settings == nil || settings.TDS == nil {
		return "", errBadLogin
	}
	name := strings.ToLower(user)
	account, ok := settings.TDS.Users[name]
	if !ok {
		bcrypt.CompareHashAndPassword(a.dummyHash, []byte(password)) //nolint:errcheck // only for the time that it takes
		return "", errBadLogin
	}
	mac := hmac.New(sha256.New, a.macKey[:])
	fmt.Fprintf(mac, "%d %s%s", len(account.Hash), account.Hash, password)
	digest := [sha256.Size]byte(mac.Sum(nil))
	a.mutex.Lock()
	known := a.verified[name]
	a.mutex.Unlock()
	if hmac.Equal(known[:], digest[:]) {
		return account.Client, nil
	}
	if bcrypt.CompareHashAndPassword(account.Hash, []byte(password)) != nil {
		return "", errBadLogin
	}
	a.mutex.Lock()
	a.verified[name] = digest
	a.mutex.Unlock()
	return account.Client, nil
}
