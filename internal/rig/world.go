// Package rig starts a complete test environment on loopback: scripted engines of both protocols, a name service and a
// router, all in this process. 'pitchfield try', the fault script and tests use it.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/config"
	"pitchfield/internal/installation"
	"pitchfield/internal/serve"
	"pitchfield/internal/standin"
)

// The login and the database that the environment's router accepts.
const (
	User     = "reports"
	Password = "try-me"
	Database = "sales"
)

// Options configure an environment.
type Options struct {
	RESPEngines, TDSEngines int // number of engines of each protocol
	MemoryMB, Descriptors   int // limits of the router; 0 means 192 MB and 1024 descriptors
	Log                     *zap.Logger
	Fleet                   *standin.Fleet // script and record of the engines' work; nil: every batch is served
	ExtraSettings           string         // TOML appended to the router's installation settings
}

// Environment is a running test environment.
type Environment struct {
	FrameAddress, TDSAddress string // the router's listening addresses, one for each client protocol
	NameService              *standin.NameService
	Engines                  []*standin.Server
	Fleet                    *standin.Fleet

	cancel        context.CancelFunc
	routerStopped chan struct{}
	routerErr     error
	reloads       chan serve.Configuration
	configuration serve.Configuration
	mutex         sync.Mutex
}

// PlatformSettings are the platform's settings as JSON. Batches of the groups lookup and report are idempotent; those of
// upload are deduplicated by the engine and run in order of arrival; those of once run at most once.
const PlatformSettings = `{"grades":[
{"name":"lookup","on-time-ms":2000,"deadline-ms":4000,"idempotency":"idempotent","worth":1},
{"name":"report","on-time-ms":4000,"deadline-ms":8000,"idempotency":"idempotent","worth":1},
{"name":"upload","on-time-ms":3000,"deadline-ms":6000,"idempotency":"deduplicated","group":"all","window-ms":60000,
 "by-arrival":true,"worth":6},
{"name":"once","on-time-ms":3000,"deadline-ms":4000,"idempotency":"at_most_once","worth":1}],
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16000],"dop":[1,1,1,1]},"dcs":["hall"],"flavors":["std"],
"limits":{"attempts-cap":3,"cancel":true,"may-probe":true,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":8,
"retry-after":true,"max-retry-after-ms":500},"prices":{"probe":0.01},
"rules":{"settle-after-doubt-ms":300,"stop-sending-within-ms":250},
"feedback":{"how":"probe","names":["waiting","x0","x1"]},"balancers":1,"index":0,"tick-ms":5}`

// nextLoopbackHost returns a loopback address for one environment alone. Otherwise another environment, of this process
// or of another, could take a port between FreeAddress and the moment at which the router listens on it.
func nextLoopbackHost() string {
	n := environmentCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250%250, 1+n%250)
}

// environmentCount counts the environments that this process has started.
var environmentCount atomic.Uint32

// FreeAddress returns an address of host with a TCP port that is free at the moment.
func FreeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Start starts an environment and waits until its router answers. If it fails, everything that it started is stopped.
func Start(o Options) (env *Environment, err error) {
	env = &Environment{Fleet: o.Fleet, routerStopped: make(chan struct{}), reloads: make(chan serve.Configuration), cancel: func() {}}
	defer func() {
		if err != nil {
			env.Stop() //nolint:errcheck
		}
	}()
	if env.Fleet == nil {
		env.Fleet = &standin.Fleet{}
	}
	host := nextLoopbackHost()
	if env.NameService, err = standin.NewNameService(host + ":0"); err != nil {
		return env, err
	}
	for i := range o.RESPEngines + o.TDSEngines {
		newEngine, name := standin.NewRESP, fmt.Sprintf("resp-%d", i+1)
		if i >= o.RESPEngines {
			newEngine, name = standin.NewTDS, fmt.Sprintf("tds-%d", i-o.RESPEngines+1)
		}
		engine, err := newEngine(name, host+":0", env.Fleet)
		if err != nil {
			return env, err
		}
		env.Engines = append(env.Engines, engine)
	}
	env.AdvertiseEngines()
	if env.FrameAddress, err = FreeAddress(host); err != nil {
		return env, err
	}
	if env.TDSAddress, err = FreeAddress(host); err != nil {
		return env, err
	}
	if env.configuration, err = env.buildConfiguration(o, o.ExtraSettings); err != nil {
		return env, err
	}
	log := o.Log
	if log == nil {
		log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	go func() {
		defer close(env.routerStopped)
		env.routerErr = serve.Run(ctx, env.configuration, env.reloads, log)
	}()
	return env, env.waitReady()
}

// buildConfiguration returns the router's configuration; extraSettings are appended to its installation settings.
func (env *Environment) buildConfiguration(o Options, extraSettings string) (t serve.Configuration, err error) {
	memory, descriptors := o.MemoryMB, o.Descriptors
	if memory == 0 {
		memory = 192
	}
	if descriptors == 0 {
		descriptors = 1024
	}
	text, err := Configuration(PlatformSettings, "n1", env.FrameAddress, "8c1f30d27a5be964", memory, descriptors, env.NameService.LocalAddr().String(), env.NameService.StartupEvents())
	if err != nil {
		return t, fmt.Errorf("build the platform configuration: %w", err)
	}
	if t.Config, err = config.Parse(text); err != nil {
		return t, err
	}
	hash, err := bcrypt.GenerateFromPassword([]byte(Password), bcrypt.MinCost)
	if err != nil {
		return t, fmt.Errorf("hash the password: %w", err)
	}
	t.Installation, err = installation.Parse("rig.toml", fmt.Appendf(nil, `
[tds]
listen = %q
[[tds.login]]
user = %q
hash = %q
[[engine]]
id = "tds-*"
protocol = "tds"
user = %q
password = %q
[[rule]]
application = "nobody's"
group = "once"
[default]
group = "report"
%s`, env.TDSAddress, User, hash, standin.EngineUser, standin.EnginePassword, extraSettings), func(string) string { return "" })
	if err != nil {
		return t, err
	}
	return t, t.Installation.ValidateAgainst("rig.toml", t.Config.Settings)
}

// Reload gives the router a new configuration with extraSettings in its installation settings. It returns an error without
// a reload if the settings are invalid.
func (env *Environment) Reload(extraSettings string) error {
	configuration, err := env.buildConfiguration(Options{}, extraSettings)
	if err != nil {
		return err
	}
	select {
	case env.reloads <- configuration:
		return nil
	case <-env.routerStopped:
		return errors.New("the router has stopped")
	}
}

// Configuration returns the JSON configuration that the platform would give to a router of such an environment. Memory is in
// MB, descriptors is the limit of open sockets, and knownEngines is the name service's list of engines at the start.
func Configuration(settings, name, listen, seed string, memory, descriptors int, nameServiceAddress string, knownEngines any) ([]byte, error) {
	return json.Marshal(map[string]any{"name": name, "listen": listen, "seed": seed,
		"limits":   map[string]any{"cores": 1, "memory_mb": memory, "sockets": descriptors},
		"resolver": nameServiceAddress, "known": knownEngines,
		"settings": json.RawMessage(settings)})
}

// AdvertiseEngines makes the name service list all engines and mark the named ones as draining.
func (env *Environment) AdvertiseEngines(draining ...string) {
	var hosts []standin.Host
	for _, e := range env.Engines {
		h := e.Host()
		for _, name := range draining {
			h.Draining = h.Draining || name == e.Name
		}
		hosts = append(hosts, h)
	}
	env.NameService.Set(hosts...)
}

// readyTimeout limits how long Start waits for the router; clients use it for dialing and cancelling too.
const readyTimeout = 10 * time.Second

// waitReady waits until the router answers, and then until it has had time to fetch the list of engines.
func (env *Environment) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := standin.Dial(env.FrameAddress)
		if err != nil {
			continue
		}
		c.Write(standin.EncodeFrame(20, 1, []string{}, "")) //nolint:errcheck
		a, err := c.ReadFrame(time.Second)
		c.Close()
		if err == nil && a.Type == 21 && a.Code == 0 {
			time.Sleep(200 * time.Millisecond) // enough for one query to the name service and its answer
			return nil
		}
	}
	select {
	case <-env.routerStopped:
		return fmt.Errorf("the router has stopped: %w", env.routerErr)
	default:
		return errors.New("the router is not ready")
	}
}

// Stop stops the environment: the router first answers the batches that it has accepted, then the engines and the name
// service close. It returns the router's error, if any, and may be called more than once.
func (env *Environment) Stop() error {
	env.cancel()
	if env.configuration.Installation != nil {
		<-env.routerStopped
	}
	for _, e := range env.Engines {
		e.Stop()
	}
	if env.NameService != nil {
		env.NameService.Close()
	}
	return env.routerErr
}
