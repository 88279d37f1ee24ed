// Package settings decodes the platform's settings, a JSON document, into the settings of the decision module (package brain)
// and the further values that the programs around it need.
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

// options mirrors the JSON document; fields are named after its keys, and times are in milliseconds.
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

// Values of enumerated settings. The empty string is a setting that is absent; it maps to the most cautious choice.
var (
	idempotencies  = map[string]brain.Idempotency{"idempotent": brain.Idempotent, "deduplicated": brain.Deduplicated, "at_most_once": brain.AtMostOnce, "": brain.AtMostOnce}
	dedupScopes    = map[string]brain.DedupScope{"all": brain.WithinAll, "zone": brain.WithinZone, "cell": brain.WithinCell, "": brain.WithinCell}
	memoryPolicies = map[string]brain.MemoryPolicy{"line_up": brain.WaitForMemory, "cut": brain.ReduceGrant, "overcommit": brain.Overcommit, "": brain.Overcommit}
	mustSubscribe  = map[string]bool{"push": false, "ask": true, "": true}
	reportsLoad    = map[string]bool{"answers": true, "probe": true, "none": false, "": true}
)

// lookup returns the value for a word of an enumerated setting. An unknown word is an error, as its meaning can't be guessed;
// the error is stored in firstErr unless there is one already.
func lookup[T any](values map[string]T, word, key string, firstErr *error) T {
	v, ok := values[word]
	if !ok && *firstErr == nil {
		*firstErr = fmt.Errorf("settings: %s: %q can't be used", key, word)
	}
	return v
}

// namedValue is a numeric setting with its key.
type namedValue struct {
	name  string
	value float64
}

// validate checks that no numeric setting is negative and that each service group (a grade) has both times and a deadline
// above 0.
func (o *options) validate() error {
	values := []namedValue{{"balancers", float64(o.Balancers)}, {"over-share-worth", o.OverShare}, {"tick-ms", o.Tick},
		{"specifics.largest-share", o.Specifics.Largest}, {"specifics.progress-pace-ms", o.Specifics.Pace},
		{"limits.max-retry-after-ms", o.Limits.MaxRetry}, {"limits.attempts-cap", float64(o.Limits.Attempts)},
		{"limits.dial-timeout-ms", o.Limits.Dial}, {"limits.idle-close-ms", o.Limits.Idle},
		{"limits.multiplex", float64(o.Limits.Multiplex)}, {"limits.most-held", float64(o.Limits.MostHeld)},
		{"rules.cold-from", o.Rules.ColdFrom}, {"rules.cold-ms", o.Rules.Cold}, {"rules.fall-multiple", o.Rules.FallMultiple},
		{"rules.fall-ms", o.Rules.Fall}, {"rules.settle-after-doubt-ms", o.Rules.Settle}, {"rules.stop-sending-within-ms", valueOrZero(o.Rules.DrainGrace)}, {"rules.extra-free", valueOrZero(o.Rules.ExtraFree)},
		{"rules.further-ratio", valueOrZero(o.Rules.FurtherRatio)}, {"rules.look-back-ms", valueOrZero(o.Rules.LookBack)}}
	for i, grade := range o.Grades {
		prefix := fmt.Sprintf("grades[%d] (%s).", i, grade.Name)
		if grade.OnTime == nil || grade.Deadline == nil {
			return fmt.Errorf("settings: grade %d lacks on-time-ms or deadline-ms", i)
		}
		if *grade.Deadline == 0 {
			return fmt.Errorf("settings: %sdeadline-ms: 0 can't be used", prefix)
		}
		values = append(values, namedValue{prefix + "on-time-ms", *grade.OnTime}, namedValue{prefix + "deadline-ms", *grade.Deadline},
			namedValue{prefix + "aim-stretch", grade.AimStretch}, namedValue{prefix + "window-ms", grade.Window}, namedValue{prefix + "worth", grade.Worth},
			namedValue{prefix + "late-worth", grade.LateWorth})
	}
	for i, c := range o.Customers {
		values = append(values, namedValue{fmt.Sprintf("customers[%d].quota-per-s", i), c.Quota})
	}
	for _, v := range values {
		if v.value < 0 {
			return fmt.Errorf("settings: %s: %v can't be used", v.name, v.value)
		}
	}
	return nil
}

// knownKeys lists all keys of the specification of the settings, used here or not; later versions may have more.
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

// unknownKeys returns the keys of the document that are not in knownKeys, each once, in the order of a sorted traversal.
func unknownKeys(text []byte) []string {
	var document any
	if json.Unmarshal(text, &document) != nil {
		return nil
	}
	seen := map[string]bool{}
	for _, k := range strings.Fields(knownKeys) {
		seen[k] = true
	}
	var out []string
	var walk func(path string, node any)
	walk = func(path string, node any) {
		switch n := node.(type) {
		case map[string]any:
			for _, k := range slices.Sorted(maps.Keys(n)) {
				key := strings.TrimPrefix(path+"."+k, ".")
				if seen[key] {
					walk(key, n[k])
				} else {
					seen[key] = true
					out = append(out, key)
				}
			}
		case []any:
			for _, element := range n {
				walk(path, element)
			}
		}
	}
	walk("", document)
	return out
}

// elementOrZero returns the element with this index, or the zero value if the list is too short.
func elementOrZero[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// valueOrZero returns the number that p points to, or 0 if p is nil.
func valueOrZero(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

// Settings holds the settings of the decision module and those of the programs around it. Times are in seconds.
type Settings struct {
	brain.Settings
	ReportFields            []string // names of the values of a load report, in their order
	Zones                   []string // names, by index
	Kinds                   []string // names of the machine types, by index
	Clients                 []string // names, by index
	DialTimeout             float64  // seconds to connect to an engine
	IdleTimeout             float64  // seconds after which an idle connection is closed; 0: never
	DrainGrace              float64  // seconds for which batches may still be sent after a drain was reported
	MaxStreamsPerConnection int      // concurrent batches on one connection to an engine
	MaxQueued               int      // batches that a router accepts at the same time; 0: no limit
	EnginesReportLoad       bool
	UnknownKeys             []string // keys that are not in the specification; they are ignored
}

// SetReportField sets the field of a load report that a value with this name belongs to. Names that no decision uses are
// ignored.
func SetReportField(report *brain.Report, name string, value float64) {
	switch name {
	case "active", "inflight":
		report.InFlight = value
	case "waiting", "queue":
		report.Waiting = value
	case "cpu", "util":
		report.CPU = value
	case "x0":
		report.Memory = value
	case "x1":
		report.Disks = value
	}
}

// EmptyReport returns a load report in which all values are absent (-1).
func EmptyReport() *brain.Report {
	return &brain.Report{InFlight: -1, Waiting: -1, CPU: -1, Memory: -1, Disks: -1}
}

// Decode reads the JSON document and returns the settings. Numbers that are negative, unknown words, a missing or zero deadline
// and a document without service groups are errors; the first one is returned. Unknown keys are not errors.
func Decode(text []byte) (Settings, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(o.Grades) == 0 {
		return Settings{}, errors.New("settings: no grades")
	}
	err := o.validate()
	index := -1
	if o.Index != nil {
		index = *o.Index
	}
	decoded := brain.Settings{Routers: o.Balancers, Index: index, Zone: o.Zone, OverQuotaUtility: o.OverShare,
		MaxGrantShare: o.Specifics.Largest,
		MemoryPolicy:  lookup(memoryPolicies, o.Specifics.Over, "specifics.overbooked", &err), Grants: o.Specifics.Grants, Priorities: o.Specifics.Priority,
		UpdateInterval: o.Specifics.Pace / 1000, MayCancel: o.Limits.Cancel, MayProbe: o.Limits.Probe,
		MayHedge:      o.Limits.Duplicate,
		MaxDispatches: o.Limits.Attempts, ProbeCost: o.Prices.Probe, ColdCapacityShare: o.Rules.ColdFrom,
		SlowStartTime: o.Rules.Cold / 1000, OverloadFactor: o.Rules.FallMultiple, OverloadWindow: o.Rules.Fall / 1000,
		SettleTime: o.Rules.Settle / 1000, FreeRetries: valueOrZero(o.Rules.ExtraFree),
		RetryRatio: valueOrZero(o.Rules.FurtherRatio), RetryWindow: valueOrZero(o.Rules.LookBack) / 1000,
		LimitRetries:  o.Rules.ExtraFree != nil || o.Rules.FurtherRatio != nil || o.Rules.LookBack != nil,
		MustSubscribe: lookup(mustSubscribe, o.Discovery, "discovery", &err), Tick: o.Tick / 1000}
	if o.Limits.RetryAfter {
		decoded.MaxRetryDelay = o.Limits.MaxRetry / 1000
	}
	for i, grade := range o.Grades {
		prefix := fmt.Sprintf("grades[%d] (%s).", i, grade.Name)
		idempotency, dedupScope := lookup(idempotencies, grade.Idempotency, prefix+"idempotency", &err), brain.WithinCell
		if idempotency == brain.Deduplicated { // the key has no meaning for other groups
			dedupScope = lookup(dedupScopes, grade.Group, prefix+"group", &err)
		}
		decoded.Groups = append(decoded.Groups, &brain.ServiceGroup{Name: grade.Name, Idempotency: idempotency, DedupScope: dedupScope,
			DedupWindow: grade.Window / 1000, Goal: valueOrZero(grade.OnTime) / 1000, GoalStretch: grade.AimStretch,
			Limit: valueOrZero(grade.Deadline) / 1000, Utility: grade.Worth, LateShare: grade.LateWorth, Threads: elementOrZero(o.Specifics.Dop, i),
			LocksDataSet: elementOrZero(o.Specifics.Writes, i), WaitsForLock: elementOrZero(o.Specifics.Yields, i), InOrder: grade.ByArrival,
			Zones: grade.RunsIn, Kinds: grade.Flavors})
	}
	for i, cores := range o.Specifics.Cores {
		decoded.EngineKinds = append(decoded.EngineKinds, brain.EngineKind{Cores: cores, Memory: elementOrZero(o.Specifics.Memory, i)})
	}
	var clientNames []string
	for _, customer := range o.Customers {
		decoded.Clients = append(decoded.Clients, brain.Client{Quota: customer.Quota})
		clientNames = append(clientNames, customer.Name)
	}
	return Settings{Settings: decoded, ReportFields: o.Feedback.Names, Zones: o.Zones, Kinds: o.Kinds, Clients: clientNames,
		DialTimeout: o.Limits.Dial / 1000, IdleTimeout: o.Limits.Idle / 1000, DrainGrace: drainGraceSeconds(o.Rules.DrainGrace), MaxStreamsPerConnection: o.Limits.Multiplex,
		MaxQueued: o.Limits.MostHeld, UnknownKeys: unknownKeys(text),
		EnginesReportLoad: lookup(reportsLoad, o.Feedback.How, "feedback.how", &err) && len(o.Feedback.Names) > 0}, err
}

// defaultDrainGrace is the drain grace if the settings have none, in seconds: the shortest of any deployment.
const defaultDrainGrace = 0.25

// drainGraceSeconds converts the configured drain grace from milliseconds; nil gives the default.
func drainGraceSeconds(configured *float64) float64 {
	if configured == nil {
		return defaultDrainGrace
	}
	return *configured / 1000
}

// AddAtMostOnceGroups adds, for each deduplicated service group, an at-most-once group of the same name. It is for batches
// without a deduplication mark: engines can't recognize their repeats, so they must not be sent again. Only protocols in which
// the mark is optional need it.
func (s *Settings) AddAtMostOnceGroups() {
	for _, g := range slices.Clone(s.Groups) {
		if g.Idempotency == brain.Deduplicated {
			variant := *g
			variant.Idempotency = brain.AtMostOnce
			s.Groups = append(s.Groups, &variant)
		}
	}
}

// GroupNames returns the names of the service groups, each once.
func (s *Settings) GroupNames() (names []string) {
	for _, g := range s.Groups {
		if !slices.Contains(names, g.Name) {
			names = append(names, g.Name)
		}
	}
	return names
}
