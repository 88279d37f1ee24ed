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
	Name           string      `toml:"name"`
	Routers        int         `toml:"routers"`
	Engines        int         `toml:"engines"`
	Rate           float64     `toml:"rate"`      // batches a second of all clients
	DataSets       int         `toml:"data-sets"` // that batches are of; a few draw most
	DataSetSkew    float64     `toml:"crowd"`     // how much they do: the exponent of their shares
	Keys           int         `toml:"keys"`      // of groups in order
	Retries        int         `toml:"retries"`   // that a client asks again after a pushback
	NetworkLatency float64     `toml:"net"`       // one way
	Jitter         float64     `toml:"jitter"`    // share of that
	ListDelay      float64     `toml:"list-delay"`
	EstimateError  float64     `toml:"guess"`   // how far told work is off: the deviation of its logarithm
	Reports        string      `toml:"reports"` // none, memory or full: what probes tell
	Engine         EngineModel `toml:"engine"`
	Groups         []Group     `toml:"group"`
	Rules          Rules       `toml:"rules"`
}

// EngineModel is what each engine is.
type EngineModel struct {
	Cores                float64 `toml:"cores"`
	Memory               float64 `toml:"memory"`
	WarmDataSets         int     `toml:"warm"`      // data sets that it keeps warm
	ColdCost             float64 `toml:"cold-cost"` // times the work of a batch whose data set is not warm
	SpillFactor          float64 `toml:"spill"`     // times the pace of a batch that finds no memory
	OversubscriptionCost float64 `toml:"strain"`    // share of the pace lost for each thread a core beyond two
	ColdSpeed            float64 `toml:"cold-from"` // share of the pace right after a start,
	SlowStartTime        float64 `toml:"cold"`      // until it is whole
	RestartTime          float64 `toml:"restart"`   // until it is back, once it has fallen over
}

// Group is a service group and what its batches are like.
type Group struct {
	Name          string  `toml:"name"`
	Effect        string  `toml:"effect"` // repeatable, referenced or once-only
	Share         float64 `toml:"share"`  // of the batches
	Goal          float64 `toml:"goal"`
	GoalStretch   float64 `toml:"stretch"` // the goal grows by this times work over threads
	LateShare     float64 `toml:"late"`    // part of the utility that an answer past the goal still earns
	Limit         float64 `toml:"limit"`
	Utility       float64 `toml:"utility"`
	Threads       float64 `toml:"threads"`
	MeanWork      float64 `toml:"work"`   // seconds, on average
	WorkDeviation float64 `toml:"spread"` // the deviation of its logarithm
	MeanMemory    float64 `toml:"need"`   // of memory, on average
	DedupWindow   float64 `toml:"window"`
	InOrder       bool    `toml:"in-order"`
	Kinds         []int   `toml:"kinds"` // of engines that may run it; none: all. Engines take turns as kind 0 and 1
}

// Rules are those that the checker holds routers to.
type Rules struct {
	MaxDispatches  int     `toml:"dispatches"`
	ListGrace      float64 `toml:"grace"`
	OverloadFactor float64 `toml:"fall-multiple"`
	OverloadWindow float64 `toml:"fall"`
	SettleTime     float64 `toml:"settle"`
	FreeRetries    float64 `toml:"free"`  // further dispatches, and
	RetryRatio     float64 `toml:"share"` // their share of the batches taken
	RetryWindow    float64 `toml:"window"`
}

// Fault is something that happens to a day.
type Fault struct {
	Kind       string  `toml:"kind"`
	At         float64 `toml:"at"`
	Duration   float64 `toml:"for"`    // 0: to the end
	Factor     float64 `toml:"times"`  // of the rate, the pace or the delay
	Amplitude  float64 `toml:"swing"`  // of a wave: its share of the rate, up and down,
	Period     float64 `toml:"period"` // and its period
	Share      float64 `toml:"share"`  // of engines, routers or batches
	Steps      int     `toml:"steps"`  // of a replacement; 0: one
	StartDelay float64 `toml:"lag"`    // of a replacement: seconds until the new engines of a step are there
}

// Kinds of trouble.
var faultParameters = map[string]string{"rate": "times", "wave": "period", "lost": "share", "cold": "share", "drain": "share",
	"list": "times", "hot": "share", "slow": "times", "restart": "share", "heavy": "share", "failing": "share",
	"replace": "share"}

// Day is what is played on a world.
type Day struct {
	Name    string  `toml:"name"`
	Seconds float64 `toml:"seconds"`
	Faults  []Fault `toml:"trouble"`
}

// Defaults of what a world does not say.
func (w *World) setDefaults() {
	set := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	set(&w.NetworkLatency, 0.0005)
	set(&w.Jitter, 0.2)
	set(&w.ListDelay, 0.5)
	set(&w.EstimateError, 0.5)
	set(&w.DataSetSkew, 1.1)
	e := &w.Engine
	set(&e.Cores, 8)
	set(&e.Memory, 16000)
	set(&e.ColdCost, 1.6)
	set(&e.SpillFactor, 0.35)
	set(&e.OversubscriptionCost, 0.05)
	set(&e.ColdSpeed, 0.4)
	set(&e.SlowStartTime, 15)
	set(&e.RestartTime, 8)
	r := &w.Rules
	set(&r.ListGrace, 0.25)
	set(&r.OverloadFactor, 2)
	set(&r.OverloadWindow, 1)
	set(&r.SettleTime, 0.5)
	set(&r.RetryWindow, 10)
	if r.MaxDispatches == 0 {
		r.MaxDispatches = 3
	}
	if w.DataSets == 0 {
		w.DataSets = 60
	}
	if e.WarmDataSets == 0 {
		e.WarmDataSets = 12
	}
	if w.Keys == 0 {
		w.Keys = 200
	}
	if w.Reports == "" {
		w.Reports = "memory"
	}
}

// validate finds what can't be.
func (w *World) validate() error {
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
		wrong(g.Name != "" && g.Share > 0 && g.Goal > 0 && g.Limit >= g.Goal && g.MeanWork > 0 && g.Threads >= 1,
			"group %q: name, share, goal, limit (not below the goal), work and threads (at least 1) must be there", g.Name)
		_, known := idempotencies[g.Effect]
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
	for i, t := range d.Faults {
		needs, known := faultParameters[t.Kind]
		v := map[string]float64{"times": t.Factor, "period": t.Period, "share": t.Share}[needs]
		if !known || !(v > 0) || t.At < 0 || t.Steps < 0 || t.StartDelay < 0 {
			errs = append(errs, fmt.Errorf("day %q: trouble %d: kind %q is not known, lacks %s, or a figure is below 0", d.Name, i+1, t.Kind, needs))
		}
	}
	return errors.Join(errs...)
}

var idempotencies = map[string]brain.Idempotency{"repeatable": brain.Idempotent, "referenced": brain.Deduplicated, "once-only": brain.AtMostOnce}

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
	return &w, w.Prepare()
}

// Prepare fills in what is not said and checks the rest.
func (w *World) Prepare() error {
	w.setDefaults()
	return w.validate()
}

// routerSettings are what a router of the world is told.
func (w *World) routerSettings(index int) settings.Settings {
	s := brain.Settings{Routers: w.Routers, Index: index, MayCancel: true, MayHedge: true, MayProbe: w.Reports != "none", MaxDispatches: w.Rules.MaxDispatches,
		Grants: true, MaxGrantShare: 0.4, MaxRetryDelay: 0.5, UpdateInterval: progressInterval, ProbeCost: 0.01, ColdCapacityShare: w.Engine.ColdSpeed,
		SlowStartTime: w.Engine.SlowStartTime, OverloadFactor: w.Rules.OverloadFactor, OverloadWindow: w.Rules.OverloadWindow, SettleTime: w.Rules.SettleTime,
		Tick: 0.005, EngineKinds: []brain.EngineKind{{Cores: w.Engine.Cores, Memory: w.Engine.Memory}, {Cores: w.Engine.Cores, Memory: w.Engine.Memory}}}
	if w.Rules.FreeRetries > 0 || w.Rules.RetryRatio > 0 {
		s.LimitRetries, s.FreeRetries, s.RetryRatio, s.RetryWindow = true, w.Rules.FreeRetries, w.Rules.RetryRatio, w.Rules.RetryWindow
	}
	for _, g := range w.Groups {
		s.Groups = append(s.Groups, &brain.ServiceGroup{Name: g.Name, Idempotency: idempotencies[g.Effect], DedupScope: brain.WithinAll, DedupWindow: g.DedupWindow,
			Goal: g.Goal, GoalStretch: g.GoalStretch,
			LateShare: g.LateShare, Limit: g.Limit, Utility: g.Utility, Threads: g.Threads, InOrder: g.InOrder, Kinds: g.Kinds})
	}
	return settings.Settings{Settings: s, Zones: []string{"hall"}, Kinds: []string{"a", "b"}, DialTimeout: dialTimeout, IdleTimeout: 30, MaxStreamsPerConnection: 32,
		MaxQueued: 20000, EnginesReportLoad: w.Reports != "none"}
}

// Capacity is the work that the engines do in a second when all are warm and none is strained.
func (w *World) Capacity() float64 { return float64(w.Engines) * w.Engine.Cores }

// Demand is the work that comes in a second at the world's rate.
func (w *World) Demand() float64 {
	share, work := 0.0, 0.0
	for _, g := range w.Groups {
		share, work = share+g.Share, work+g.Share*g.MeanWork
	}
	return w.Rate * work / share
}
