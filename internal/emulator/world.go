// Package emulator simulates a day of a whole installation in simulated time: several routers, each with the real reducer
// and the real decision module (package brain), and models of engines, a name service and clients. The same world, day,
// options and seed give the same events, byte for byte. docs/emulator.md says what the model leaves out and how far its
// results are from those of the users' bench.
package emulator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pitchfield/brain"
	"pitchfield/internal/settings"
)

// World describes an installation. Times are in seconds, sizes in MB.
type World struct {
	Name           string      `toml:"name"`
	Routers        int         `toml:"routers"`
	Engines        int         `toml:"engines"`
	Rate           float64     `toml:"rate"`       // requests per second of all clients together
	DataSets       int         `toml:"data-sets"`  // number of data sets; a few of them get most requests
	DataSetSkew    float64     `toml:"crowd"`      // exponent of the power law of the data sets' shares; larger is more skewed
	Keys           int         `toml:"keys"`       // number of keys of the groups whose batches run in order
	Retries        int         `toml:"retries"`    // how often a client submits a request again after a rejection
	NetworkLatency float64     `toml:"net"`        // mean one-way latency
	Jitter         float64     `toml:"jitter"`     // largest deviation from the mean latency, as a share of it
	ListDelay      float64     `toml:"list-delay"` // age of the name service's lists when routers receive them
	EstimateError  float64     `toml:"guess"`      // standard deviation of the logarithm of declared work over real work
	Reports        string      `toml:"reports"`    // what engines report to probes: none, memory or full
	Engine         EngineModel `toml:"engine"`
	Groups         []Group     `toml:"group"`
	Rules          Rules       `toml:"rules"`
}

// EngineModel describes an engine; all engines are alike.
type EngineModel struct {
	Cores                float64 `toml:"cores"`
	Memory               float64 `toml:"memory"`
	WarmDataSets         int     `toml:"warm"`      // number of data sets that stay warm
	ColdCost             float64 `toml:"cold-cost"` // factor of the work of a batch whose data set is not warm
	SpillFactor          float64 `toml:"spill"`     // factor of the speed of a batch that finds no free memory
	OversubscriptionCost float64 `toml:"strain"`    // slowdown for each thread per core beyond two
	ColdSpeed            float64 `toml:"cold-from"` // fraction of the full speed right after a start
	SlowStartTime        float64 `toml:"cold"`      // seconds from a start until full speed
	RestartTime          float64 `toml:"restart"`   // seconds until it is up again after a crash by overload
}

// Group is a service group and the distribution of its batches. Work is in seconds of one thread at full speed.
type Group struct {
	Name          string  `toml:"name"`
	Effect        string  `toml:"effect"` // repeatable, referenced or once-only
	Share         float64 `toml:"share"`  // weight of the group among the requests
	Goal          float64 `toml:"goal"`
	GoalStretch   float64 `toml:"stretch"` // the goal grows by this factor times work over threads
	LateShare     float64 `toml:"late"`    // share of the utility that an answer past the goal still earns
	Limit         float64 `toml:"limit"`   // time limit of a request
	Utility       float64 `toml:"utility"`
	Threads       float64 `toml:"threads"`
	MeanWork      float64 `toml:"work"`   // mean work of a batch
	WorkDeviation float64 `toml:"spread"` // standard deviation of the logarithm of the work
	MeanMemory    float64 `toml:"need"`   // mean memory of a batch
	DedupWindow   float64 `toml:"window"`
	InOrder       bool    `toml:"in-order"`
	Kinds         []int   `toml:"kinds"` // kinds of engines that may run it; empty: all. Engines are alternately of kind 0 and 1
}

// Rules are the limits that the checker verifies. Routers are configured with the same values.
type Rules struct {
	MaxDispatches  int     `toml:"dispatches"`    // of a batch
	ListGrace      float64 `toml:"grace"`         // time in which an engine may still get dispatches after a list omits it or shows it as draining
	OverloadFactor float64 `toml:"fall-multiple"` // a cold engine crashes when it receives more than this times its capacity
	OverloadWindow float64 `toml:"fall"`          // within this time
	SettleTime     float64 `toml:"settle"`        // time after a cancellation in which no other batch of the key may start
	FreeRetries    float64 `toml:"free"`          // retries within RetryWindow that are always allowed
	RetryRatio     float64 `toml:"share"`         // further retries, as a share of the batches accepted within RetryWindow
	RetryWindow    float64 `toml:"window"`
}

// Fault is a fault or a change of load during a day. Its kind decides which fields are used.
type Fault struct {
	Kind       string  `toml:"kind"`
	At         float64 `toml:"at"`     // seconds from the start of the day
	Duration   float64 `toml:"for"`    // seconds; 0: to the end of the day
	Factor     float64 `toml:"times"`  // factor of the request rate, the engine speed or the list delay
	Amplitude  float64 `toml:"swing"`  // of a wave: its amplitude as a share of the rate
	Period     float64 `toml:"period"` // of a wave: its period in seconds
	Share      float64 `toml:"share"`  // share of the engines, routers or requests that it affects
	Steps      int     `toml:"steps"`  // number of steps of a replacement; 0: one
	StartDelay float64 `toml:"lag"`    // of a replacement: seconds until the new engines of a step are up
}

// faultParameters lists the kinds of faults, each with the key that must be above 0.
var faultParameters = map[string]string{"rate": "times", "wave": "period", "lost": "share", "cold": "share", "drain": "share",
	"list": "times", "hot": "share", "slow": "times", "restart": "share", "heavy": "share", "failing": "share",
	"replace": "share"}

// Day describes the length of a simulation, in seconds, and its faults.
type Day struct {
	Name    string  `toml:"name"`
	Seconds float64 `toml:"seconds"`
	Faults  []Fault `toml:"trouble"`
}

// setDefaults replaces zero values by the defaults.
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

// validate returns all errors of a world, joined.
func (w *World) validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("world %q: "+format, append([]any{w.Name}, args...)...))
		}
	}
	require(w.Routers >= 1 && w.Routers <= 1000, "routers: %d is not from 1 to 1000", w.Routers)
	require(w.Engines >= 1 && w.Engines <= 1000, "engines: %d is not from 1 to 1000", w.Engines)
	require(w.Rate > 0 && w.Rate <= 1e5, "rate: %g is not above 0", w.Rate)
	require(len(w.Groups) > 0, "there is no group")
	require(w.Reports == "none" || w.Reports == "memory" || w.Reports == "full", "reports: %q is not none, memory or full", w.Reports)
	for _, g := range w.Groups {
		require(g.Name != "" && g.Share > 0 && g.Goal > 0 && g.Limit >= g.Goal && g.MeanWork > 0 && g.Threads >= 1,
			"group %q: name, share, goal, limit (not below the goal), work and threads (at least 1) must be there", g.Name)
		_, known := idempotencies[g.Effect]
		require(known, "group %q: effect %q is not repeatable, referenced or once-only", g.Name, g.Effect)
	}
	return errors.Join(errs...)
}

// Check returns all errors of a day, joined.
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

// idempotencies maps the effects of groups to the module's constants.
var idempotencies = map[string]brain.Idempotency{"repeatable": brain.Idempotent, "referenced": brain.Deduplicated, "once-only": brain.AtMostOnce}

// ParseWorld decodes a world from TOML, sets its defaults and validates it. Unknown keys are errors.
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

// Prepare sets the defaults of a world and validates it.
func (w *World) Prepare() error {
	w.setDefaults()
	return w.validate()
}

// routerSettings returns the settings of the router with an index.
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

// Capacity is the work in seconds that all engines do in a second when they are warm and not oversubscribed.
func (w *World) Capacity() float64 { return float64(w.Engines) * w.Engine.Cores }

// Demand is the mean work in seconds that arrives in a second at the world's rate.
func (w *World) Demand() float64 {
	totalWeight, work := 0.0, 0.0
	for _, g := range w.Groups {
		totalWeight, work = totalWeight+g.Share, work+g.Share*g.MeanWork
	}
	return w.Rate * work / totalWeight
}
