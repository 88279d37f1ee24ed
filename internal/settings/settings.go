// Package settings turns the settings' JSON into those of the decision module and the facts its hosts need.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pitchfield/brain"
)

// options are the settings as the wire words them, in milliseconds.
type options struct {
	Zone      int      `json:"az"`
	Zones     []string `json:"dcs"`
	Kinds     []string `json:"flavors"`
	Balancers int      `json:"balancers"`
	Index     *int     `json:"index"`
	Discovery string   `json:"discovery"`
	Grades    []struct {
		Name        string   `json:"name"`
		AimStretch  float64  `json:"aim-stretch"`
		OnTime      *float64 `json:"on-time-ms"`
		Deadline    *float64 `json:"deadline-ms"`
		Idempotency string   `json:"idempotency"`
		Group       string   `json:"group"`
		ByArrival   bool     `json:"by-arrival"`
		LateWorth   float64  `json:"late-worth"`
		Worth       float64  `json:"worth"`
		Window      float64  `json:"window-ms"`
		RunsIn      []int    `json:"runs-in"`
		Flavors     []int    `json:"flavors-allowed"`
	} `json:"grades"`
	Customers []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-per-s"`
	} `json:"customers"`
	OverShare float64 `json:"over-share-worth"`
	Specifics struct {
		Writes   []bool    `json:"writes-tables"`
		Yields   []bool    `json:"yields-to-loads"`
		Dop      []float64 `json:"dop"`
		Grants   bool      `json:"grants"`
		Cores    []float64 `json:"cores-by-kind"`
		Memory   []float64 `json:"memory-by-kind-mb"`
		Largest  float64   `json:"largest-share"`
		Priority bool      `json:"takes-priority"`
		Pace     float64   `json:"progress-pace-ms"`
		Over     string    `json:"overbooked"`
	} `json:"specifics"`
	Limits struct {
		Cancel     bool    `json:"cancel"`
		Probe      bool    `json:"may-probe"`
		Duplicate  bool    `json:"may-duplicate"`
		RetryAfter bool    `json:"retry-after"`
		MaxRetry   float64 `json:"max-retry-after-ms"`
		Attempts   int     `json:"attempts-cap"`
		Dial       float64 `json:"dial-timeout-ms"`
		Idle       float64 `json:"idle-close-ms"`
		Multiplex  int     `json:"multiplex"`
		MostHeld   int     `json:"most-held"`
	} `json:"limits"`
	Prices struct {
		Probe float64 `json:"probe"`
	} `json:"prices"`
	Feedback struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"feedback"`
	Rules struct {
		ColdFrom     float64  `json:"cold-from"`
		Cold         float64  `json:"cold-ms"`
		FallMultiple float64  `json:"fall-multiple"`
		Fall         float64  `json:"fall-ms"`
		Settle       float64  `json:"settle-after-doubt-ms"`
		DrainGrace   *float64 `json:"stop-sending-within-ms"`
		ExtraFree    *float64 `json:"extra-free"`
		FurtherRatio *float64 `json:"further-ratio"`
		LookBack     *float64 `json:"look-back-ms"`
	} `json:"rules"`
	Tick float64 `json:"tick-ms"`
}

// The words that settings use; an empty one stands for what is not told, and means what asks most care.
var (
	idempotencies  = map[string]brain.Idempotency{"idempotent": brain.Idempotent, "deduplicated": brain.Deduplicated, "at_most_once": brain.AtMostOnce, "": brain.AtMostOnce}
	dedupScopes    = map[string]brain.DedupScope{"all": brain.WithinAll, "zone": brain.WithinZone, "cell": brain.WithinCell, "": brain.WithinCell}
	memoryPolicies = map[string]brain.MemoryPolicy{"line_up": brain.WaitForMemory, "cut": brain.ReduceGrant, "overcommit": brain.Overcommit, "": brain.Overcommit}
	mustSubscribe  = map[string]bool{"push": false, "ask": true, "": true}
	reportsLoad    = map[string]bool{"answers": true, "probe": true, "none": false, "": true}
)

// lookup finds a word; one that nobody knows can't be used, whatever it may mean.
func lookup[T any](of map[string]T, word, what string, wrong *error) T {
	v, ok := of[word]
	if !ok && *wrong == nil {
		*wrong = fmt.Errorf("settings: %s: %q can't be used", what, word)
	}
	return v
}

// namedValue is what a setting tells, with its name.
type namedValue struct {
	name  string
	value float64
}

// validate: no figure of the settings is below zero, and a class has time to be answered in.
func (o *options) validate() error {
	figures := []namedValue{{"balancers", float64(o.Balancers)}, {"over-share-worth", o.OverShare}, {"tick-ms", o.Tick},
		{"specifics.largest-share", o.Specifics.Largest}, {"specifics.progress-pace-ms", o.Specifics.Pace},
		{"limits.max-retry-after-ms", o.Limits.MaxRetry}, {"limits.attempts-cap", float64(o.Limits.Attempts)},
		{"limits.dial-timeout-ms", o.Limits.Dial}, {"limits.idle-close-ms", o.Limits.Idle},
		{"limits.multiplex", float64(o.Limits.Multiplex)}, {"limits.most-held", float64(o.Limits.MostHeld)},
		{"rules.cold-from", o.Rules.ColdFrom}, {"rules.cold-ms", o.Rules.Cold}, {"rules.fall-multiple", o.Rules.FallMultiple},
		{"rules.fall-ms", o.Rules.Fall}, {"rules.settle-after-doubt-ms", o.Rules.Settle}, {"rules.stop-sending-within-ms", valueOrZero(o.Rules.DrainGrace)}, {"rules.extra-free", valueOrZero(o.Rules.ExtraFree)},
		{"rules.further-ratio", valueOrZero(o.Rules.FurtherRatio)}, {"rules.look-back-ms", valueOrZero(o.Rules.LookBack)}}
	for i, g := range o.Grades {
		at := fmt.Sprintf("grades[%d] (%s).", i, g.Name)
		if g.OnTime == nil || g.Deadline == nil {
			return fmt.Errorf("settings: grade %d lacks on-time-ms or deadline-ms", i)
		}
		if *g.Deadline == 0 {
			return fmt.Errorf("settings: %sdeadline-ms: 0 can't be used", at)
		}
		figures = append(figures, namedValue{at + "on-time-ms", *g.OnTime}, namedValue{at + "deadline-ms", *g.Deadline},
			namedValue{at + "aim-stretch", g.AimStretch}, namedValue{at + "window-ms", g.Window}, namedValue{at + "worth", g.Worth},
			namedValue{at + "late-worth", g.LateWorth})
	}
	for i, c := range o.Customers {
		figures = append(figures, namedValue{fmt.Sprintf("customers[%d].quota-per-s", i), c.Quota})
	}
	for _, f := range figures {
		if f.value < 0 {
			return fmt.Errorf("settings: %s: %v can't be used", f.name, f.value)
		}
	}
	return nil
}

// knownKeys are the keys that the wire's page has, used here or not; later settings may have more.
const knownKeys = `az balancers clients clients.marks-retry customers customers.name customers.quota-per-s customers.share dcs
discovery feedback feedback.how feedback.names flavors goal goal.whole goal.worst-class goal.worst-tenant goal.worst-window
grades grades.aim-stretch grades.by-arrival grades.deadline-ms grades.flavors-allowed grades.group grades.idempotency
grades.late-worth grades.name grades.on-time-ms grades.runs-in grades.streaming grades.window-ms grades.worth index
kind-of-service limits limits.attempts-cap limits.cancel limits.cpu-us-per-request limits.cpu-us-per-s limits.dial-timeout-ms
limits.idle-close-ms limits.max-retry-after-ms limits.may-duplicate limits.may-probe limits.may-tell limits.most-held
limits.multiplex limits.retry-after over-share-worth prices prices.connection prices.cross-zone prices.discovery
prices.handshake prices.late-fail prices.moves prices.origin prices.peer prices.probe prices.waste rules rules.ask-within-ms
rules.cold-from rules.cold-ms rules.extra-free rules.fall-ms rules.fall-multiple rules.further-ratio rules.grace-to-answer-ms
rules.look-back-ms rules.settle-after-doubt-ms rules.stop-sending-within-ms specifics specifics.cores-by-kind
specifics.cost-in-answers specifics.dop specifics.grants specifics.largest-share specifics.memory-by-kind-mb specifics.notes
specifics.overbooked specifics.progress-pace-ms specifics.report-x0 specifics.report-x1 specifics.takes-priority
specifics.writes-tables specifics.yields-to-loads stage tick-ms tiers weight-kind worth-by`

// unknownKeys gives the keys that are not known, each once, in order.
func unknownKeys(text []byte) []string {
	var all any
	if json.Unmarshal(text, &all) != nil {
		return nil
	}
	met := map[string]bool{}
	for _, k := range strings.Fields(knownKeys) {
		met[k] = true
	}
	var out []string
	var walk func(path string, what any)
	walk = func(path string, what any) {
		switch w := what.(type) {
		case map[string]any:
			for _, k := range slices.Sorted(maps.Keys(w)) {
				at := strings.TrimPrefix(path+"."+k, ".")
				if met[at] {
					walk(at, w[k])
				} else {
					met[at] = true
					out = append(out, at)
				}
			}
		case []any:
			for _, one := range w {
				walk(path, one)
			}
		}
	}
	walk("", all)
	return out
}

func elementOrZero[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

func valueOrZero(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

// Settings are the module's, and what its hosts are told besides. Times are seconds.
type Settings struct {
	brain.Settings
	ReportFields                       []string // the names of a report's values, in their order
	Zones, Kinds, Clients              []string
	DialTimeout, IdleTimeout           float64
	DrainGrace                         float64 // seconds for which requests may still be sent after a drain was told
	MaxStreamsPerConnection, MaxQueued int
	EnginesReportLoad                  bool     // engines report their load
	UnknownKeys                        []string // keys that nobody here knows; they were passed over
}

// SetReportField fills the value with this name into a report; what nobody decides by is passed over.
func SetReportField(into *brain.Report, name string, value float64) {
	switch name {
	case "active", "inflight":
		into.InFlight = value
	case "waiting", "queue":
		into.Waiting = value
	case "cpu", "util":
		into.CPU = value
	case "x0":
		into.Memory = value
	case "x1":
		into.Disks = value
	}
}

// EmptyReport is one of which nothing is told.
func EmptyReport() *brain.Report {
	return &brain.Report{InFlight: -1, Waiting: -1, CPU: -1, Memory: -1, Disks: -1}
}

// Decode reads the settings.
func Decode(text []byte) (Settings, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(o.Grades) == 0 {
		return Settings{}, errors.New("settings: no grades")
	}
	wrong := o.validate()
	index := -1
	if o.Index != nil {
		index = *o.Index
	}
	s := brain.Settings{Routers: o.Balancers, Index: index, Zone: o.Zone, OverQuotaUtility: o.OverShare,
		MaxGrantShare: o.Specifics.Largest,
		MemoryPolicy:  lookup(memoryPolicies, o.Specifics.Over, "specifics.overbooked", &wrong), Grants: o.Specifics.Grants, Priorities: o.Specifics.Priority,
		UpdateInterval: o.Specifics.Pace / 1000, MayCancel: o.Limits.Cancel, MayProbe: o.Limits.Probe,
		MayHedge:      o.Limits.Duplicate,
		MaxDispatches: o.Limits.Attempts, ProbeCost: o.Prices.Probe, ColdCapacityShare: o.Rules.ColdFrom,
		SlowStartTime: o.Rules.Cold / 1000, OverloadFactor: o.Rules.FallMultiple, OverloadWindow: o.Rules.Fall / 1000,
		SettleTime: o.Rules.Settle / 1000, FreeRetries: valueOrZero(o.Rules.ExtraFree),
		RetryRatio: valueOrZero(o.Rules.FurtherRatio), RetryWindow: valueOrZero(o.Rules.LookBack) / 1000,
		LimitRetries:  o.Rules.ExtraFree != nil || o.Rules.FurtherRatio != nil || o.Rules.LookBack != nil,
		MustSubscribe: lookup(mustSubscribe, o.Discovery, "discovery", &wrong), Tick: o.Tick / 1000}
	if o.Limits.RetryAfter {
		s.MaxRetryDelay = o.Limits.MaxRetry / 1000
	}
	for i, g := range o.Grades {
		name := fmt.Sprintf("grades[%d] (%s).", i, g.Name)
		effect, scope := lookup(idempotencies, g.Idempotency, name+"idempotency", &wrong), brain.WithinCell
		if effect == brain.Deduplicated { // it says nothing of others
			scope = lookup(dedupScopes, g.Group, name+"group", &wrong)
		}
		s.Groups = append(s.Groups, &brain.ServiceGroup{Name: g.Name, Idempotency: effect, DedupScope: scope,
			DedupWindow: g.Window / 1000, Goal: valueOrZero(g.OnTime) / 1000, GoalStretch: g.AimStretch,
			Limit: valueOrZero(g.Deadline) / 1000, Utility: g.Worth, LateShare: g.LateWorth, Threads: elementOrZero(o.Specifics.Dop, i),
			LocksDataSet: elementOrZero(o.Specifics.Writes, i), WaitsForLock: elementOrZero(o.Specifics.Yields, i), InOrder: g.ByArrival,
			Zones: g.RunsIn, Kinds: g.Flavors})
	}
	for i, c := range o.Specifics.Cores {
		s.EngineKinds = append(s.EngineKinds, brain.EngineKind{Cores: c, Memory: elementOrZero(o.Specifics.Memory, i)})
	}
	var names []string
	for _, c := range o.Customers {
		s.Clients = append(s.Clients, brain.Client{Quota: c.Quota})
		names = append(names, c.Name)
	}
	return Settings{Settings: s, ReportFields: o.Feedback.Names, Zones: o.Zones, Kinds: o.Kinds, Clients: names,
		DialTimeout: o.Limits.Dial / 1000, IdleTimeout: o.Limits.Idle / 1000, DrainGrace: drainGraceSeconds(o.Rules.DrainGrace), MaxStreamsPerConnection: o.Limits.Multiplex,
		MaxQueued: o.Limits.MostHeld, UnknownKeys: unknownKeys(text),
		EnginesReportLoad: lookup(reportsLoad, o.Feedback.How, "feedback.how", &wrong) && len(o.Feedback.Names) > 0}, wrong
}

// defaultDrainGrace stands in where the settings tell none: the shortest that any deployment has, in seconds.
const defaultDrainGrace = 0.25

func drainGraceSeconds(told *float64) float64 {
	if told == nil {
		return defaultDrainGrace
	}
	return *told / 1000
}

// AddAtMostOnceGroups adds a second group beside each referenced one, of the same name and once-only: what has no mark can't
// be told from its repeats, so it must not be sent again. Only protocols that may lack a mark need it.
func (s *Settings) AddAtMostOnceGroups() {
	for _, g := range slices.Clone(s.Groups) {
		if g.Idempotency == brain.Deduplicated {
			other := *g
			other.Idempotency = brain.AtMostOnce
			s.Groups = append(s.Groups, &other)
		}
	}
}

// GroupNames gives the names of the service groups, each once.
func (s *Settings) GroupNames() (out []string) {
	for _, g := range s.Groups {
		if !slices.Contains(out, g.Name) {
			out = append(out, g.Name)
		}
	}
	return out
}
