// Package emulator plays a day of a whole installation in simulated time: several routers, each the real reducer with
// the real module, before a model of engines, a name service and clients. The same world and seed give the same day, to
// the byte. It is a model: docs/emulator.md says what it leaves out, and how far it is from the users' bench.
package emulator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pitchfield/brain"
	"pitchfield/internal/settings"
)

// World is an installation. Times are seconds, sizes MB.
type World struct {
	Name      string  `toml:"name"`
	Routers   int     `toml:"routers"`
	Engines   int     `toml:"engines"`
	Rate      float64 `toml:"rate"`      // batches a second of all clients
	DataSets  int     `toml:"data-sets"` // that batches are of; a few draw most
	Crowd     float64 `toml:"crowd"`     // how much they do: the exponent of their shares
	Keys      int     `toml:"keys"`      // of groups in order
	Retries   int     `toml:"retries"`   // that a client asks again after a pushback
	Net       float64 `toml:"net"`       // one way
	Jitter    float64 `toml:"jitter"`    // share of that
	ListDelay float64 `toml:"list-delay"`
	Guess     float64 `toml:"guess"`   // how far told work is off: the deviation of its logarithm
	Reports   string  `toml:"reports"` // none, memory or full: what probes tell
	Engine    Machine `toml:"engine"`
	Groups    []Group `toml:"group"`
	Rules     Rules   `toml:"rules"`
}

// Machine is what each engine is.
type Machine struct {
	Cores    float64 `toml:"cores"`
	Memory   float64 `toml:"memory"`
	Warm     int     `toml:"warm"`      // data sets that it keeps warm
	ColdCost float64 `toml:"cold-cost"` // times the work of a batch whose data set is not warm
	Spill    float64 `toml:"spill"`     // times the pace of a batch that finds no memory
	Strain   float64 `toml:"strain"`    // share of the pace lost for each thread a core beyond two
	ColdFrom float64 `toml:"cold-from"` // share of the pace right after a start,
	Cold     float64 `toml:"cold"`      // until it is whole
	Restart  float64 `toml:"restart"`   // until it is back, once it has fallen over
}

// Group is a service group and what its batches are like.
type Group struct {
	Name    string  `toml:"name"`
	Effect  string  `toml:"effect"` // repeatable, referenced or once-only
	Share   float64 `toml:"share"`  // of the batches
	Goal    float64 `toml:"goal"`
	Stretch float64 `toml:"stretch"` // the goal grows by this times work over threads
	Late    float64 `toml:"late"`    // part of the utility that an answer past the goal still earns
	Limit   float64 `toml:"limit"`
	Utility float64 `toml:"utility"`
	Threads float64 `toml:"threads"`
	Work    float64 `toml:"work"`   // seconds, on average
	Spread  float64 `toml:"spread"` // the deviation of its logarithm
	Need    float64 `toml:"need"`   // of memory, on average
	Window  float64 `toml:"window"`
	InOrder bool    `toml:"in-order"`
	Kinds   []int   `toml:"kinds"` // of engines that may run it; none: all. Engines take turns as kind 0 and 1
}

// Rules are those that the checker holds routers to.
type Rules struct {
	Dispatches   int     `toml:"dispatches"`
	Grace        float64 `toml:"grace"`
	FallMultiple float64 `toml:"fall-multiple"`
	Fall         float64 `toml:"fall"`
	Settle       float64 `toml:"settle"`
	Free         float64 `toml:"free"`  // further dispatches, and
	Further      float64 `toml:"share"` // their share of the batches taken
	Window       float64 `toml:"window"`
}

// Trouble is something that happens to a day.
type Trouble struct {
	Kind   string  `toml:"kind"`
	At     float64 `toml:"at"`
	For    float64 `toml:"for"`    // 0: to the end
	Times  float64 `toml:"times"`  // of the rate, the pace or the delay
	Swing  float64 `toml:"swing"`  // of a wave: its share of the rate, up and down,
	Period float64 `toml:"period"` // and its period
	Share  float64 `toml:"share"`  // of engines, routers or batches
	Steps  int     `toml:"steps"`  // of a replacement; 0: one
	Lag    float64 `toml:"lag"`    // of a replacement: seconds until the new engines of a step are there
}

// Kinds of trouble.
var kinds = map[string]string{"rate": "times", "wave": "period", "lost": "share", "cold": "share", "drain": "share",
	"list": "times", "hot": "share", "slow": "times", "restart": "share", "heavy": "share", "failing": "share",
	"replace": "share"}

// Day is what is played on a world.
type Day struct {
	Name     string    `toml:"name"`
	Seconds  float64   `toml:"seconds"`
	Troubles []Trouble `toml:"trouble"`
}

// Defaults of what a world does not say.
func (w *World) defaults() {
	set := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	set(&w.Net, 0.0005)
	set(&w.Jitter, 0.2)
	set(&w.ListDelay, 0.5)
	set(&w.Guess, 0.5)
	set(&w.Crowd, 1.1)
	e := &w.Engine
	set(&e.Cores, 8)
	set(&e.Memory, 16000)
	set(&e.ColdCost, 1.6)
	set(&e.Spill, 0.35)
	set(&e.Strain, 0.05)
	set(&e.ColdFrom, 0.4)
	set(&e.Cold, 15)
	set(&e.Restart, 8)
	r := &w.Rules
	set(&r.Grace, 0.25)
	set(&r.FallMultiple, 2)
	set(&r.Fall, 1)
	set(&r.Settle, 0.5)
	set(&r.Window, 10)
	if r.Dispatches == 0 {
		r.Dispatches = 3
	}
	if w.DataSets == 0 {
		w.DataSets = 60
	}
	if e.Warm == 0 {
		e.Warm = 12
	}
	if w.Keys == 0 {
		w.Keys = 200
	}
	if w.Reports == "" {
		w.Reports = "memory"
	}
}

// check finds what can't be.
func (w *World) check() error {
	var errs []error
	wrong := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("world %q: "+format, append([]any{w.Name}, args...)...))
		}
	}
	wrong(w.Routers >= 1 && w.Routers <= 1000, "routers: %d is not from 1 to 1000", w.Routers)
	wrong(w.Engines >= 1 && w.Engines <= 1000, "engines: %d is not from 1 to 1000", w.Engines)
	wrong(w.Rate > 0 && w.Rate <= 1e5, "rate: %g is not above 0", w.Rate)
	wrong(len(w.Groups) > 0, "there is no group")
	wrong(w.Reports == "none" || w.Reports == "memory" || w.Reports == "full", "reports: %q is not none, memory or full", w.Reports)
	for _, g := range w.Groups {
		wrong(g.Name != "" && g.Share > 0 && g.Goal > 0 && g.Limit >= g.Goal && g.Work > 0 && g.Threads >= 1,
			"group %q: name, share, goal, limit (not below the goal), work and threads (at least 1) must be there", g.Name)
		_, known := effects[g.Effect]
		wrong(known, "group %q: effect %q is not repeatable, referenced or once-only", g.Name, g.Effect)
	}
	return errors.Join(errs...)
}

// Check finds what of a day can't be.
func (d *Day) Check() error {
	var errs []error
	if !(d.Seconds > 0 && d.Seconds <= 24*3600) {
		errs = append(errs, fmt.Errorf("day %q: seconds: %g is not above 0", d.Name, d.Seconds))
	}
	for i, t := range d.Troubles {
		needs, known := kinds[t.Kind]
		v := map[string]float64{"times": t.Times, "period": t.Period, "share": t.Share}[needs]
		if !known || !(v > 0) || t.At < 0 || t.Steps < 0 || t.Lag < 0 {
			errs = append(errs, fmt.Errorf("day %q: trouble %d: kind %q is not known, lacks %s, or a figure is below 0", d.Name, i+1, t.Kind, needs))
		}
	}
	return errors.Join(errs...)
}

var effects = map[string]brain.Idempotency{"repeatable": brain.Idempotent, "referenced": brain.Deduplicated, "once-only": brain.AtMostOnce}

// ParseWorld reads a world's TOML; strict.
func ParseWorld(text []byte) (*World, error) {
	var w World
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("world: no such key:\n%s", strict.String())
		}
		return nil, fmt.Errorf("world: %w", err)
	}
	return &w, w.Ready()
}

// Ready fills in what is not said and checks the rest.
func (w *World) Ready() error {
	w.defaults()
	return w.check()
}

// settings are what a router of the world is told.
func (w *World) settings(index int) settings.Settings {
	s := brain.Settings{Routers: w.Routers, Index: index, MayCancel: true, MayHedge: true, MayProbe: w.Reports != "none", MaxDispatches: w.Rules.Dispatches,
		Grants: true, MaxGrantShare: 0.4, MaxRetryDelay: 0.5, UpdateInterval: notesEvery, ProbeCost: 0.01, ColdCapacityShare: w.Engine.ColdFrom,
		SlowStartTime: w.Engine.Cold, OverloadFactor: w.Rules.FallMultiple, OverloadWindow: w.Rules.Fall, SettleTime: w.Rules.Settle,
		Tick: 0.005, EngineKinds: []brain.EngineKind{{Cores: w.Engine.Cores, Memory: w.Engine.Memory}, {Cores: w.Engine.Cores, Memory: w.Engine.Memory}}}
	if w.Rules.Free > 0 || w.Rules.Further > 0 {
		s.LimitRetries, s.FreeRetries, s.RetryRatio, s.RetryWindow = true, w.Rules.Free, w.Rules.Further, w.Rules.Window
	}
	for _, g := range w.Groups {
		s.Groups = append(s.Groups, &brain.ServiceGroup{Name: g.Name, Idempotency: effects[g.Effect], DedupScope: brain.WithinAll, DedupWindow: g.Window,
			Goal: g.Goal, GoalStretch: g.Stretch,
			LateShare: g.Late, Limit: g.Limit, Utility: g.Utility, Threads: g.Threads, InOrder: g.InOrder, Kinds: g.Kinds})
	}
	return settings.Settings{Settings: s, Zones: []string{"hall"}, Kinds: []string{"a", "b"}, DialTimeout: dialTime, IdleTimeout: 30, MaxStreamsPerConnection: 32,
		MaxQueued: 20000, EnginesReportLoad: w.Reports != "none"}
}

// Capacity is the work that the engines do in a second when all are warm and none is strained.
func (w *World) Capacity() float64 { return float64(w.Engines) * w.Engine.Cores }

// Demand is the work that comes in a second at the world's rate.
func (w *World) Demand() float64 {
	share, work := 0.0, 0.0
	for _, g := range w.Groups {
		share, work = share+g.Share, work+g.Share*g.Work
	}
	return w.Rate * work / share
}
