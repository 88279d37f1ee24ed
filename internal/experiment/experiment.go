// Package experiment runs the emulator on a matrix of worlds, days, variants of the settings and seeds, and writes the results
// as tables, CSV and charts.
package experiment

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"pitchfield/internal/emulator"
	"pitchfield/internal/installation"
	"pitchfield/internal/levels"
	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Variant is a configuration of the routers; the fields are those of emulator.Options.
type Variant struct {
	Name          string
	Levels        *levels.Settings     // service levels; nil: off
	SmoothingTime float64              // decay time of the load measures, in seconds
	NewRoutes     func() *limits.Table // makes the routes of each router; nil: none
	// Adaptive limits the active dispatches at each engine.
	Adaptive           limits.AdaptiveSettings
	AllRetries         *limits.RetryBudget // retry budget for all batches together; nil: none
	EngineRetries      *limits.RetryBudget // retry budget for each engine; nil: none
	LoadReportInterval float64             // seconds between load reports of a router; 0: none
	PeerMessaging      bool                // routers exchange membership messages
	Quotas             *shares.Settings    // settings of the quota leases; nil: none

	swept bool // made by "limits" or "sweep"; left out of the charts over time
}

// Experiment is the matrix to run: each world with each day, variant and seed.
type Experiment struct {
	Name     string
	Worlds   []emulator.World
	Days     []emulator.Day
	Variants []Variant
	Seeds    []uint64
	Charts   bool
}

// fileConfig is the TOML of an experiment's file.
type fileConfig struct {
	Name    string           `toml:"name"`
	Seeds   int              `toml:"seeds"`
	First   uint64           `toml:"first-seed"`
	Charts  bool             `toml:"charts"`
	World   []emulator.World `toml:"world"`
	Day     []emulator.Day   `toml:"day"`
	Variant []struct {
		Name     string  `toml:"name"`
		Settings string  `toml:"settings"` // path of a settings file, relative to this file; its levels, routes and limits are used
		Hold     string  `toml:"hold"`     // name of a service level that is forced
		Keep     float64 `toml:"keep"`     // admitted share of the batches of Group, in place of levels
		Group    string  `toml:"group"`
		Adaptive string  `toml:"adaptive"` // kind of the adaptive limit
		Limit    float64 `toml:"limit"`    // initial limit; the constant one of kind "fixed"
		Load     float64 `toml:"load"`     // seconds between load reports; 0: none
		Talk     bool    `toml:"talk"`     // routers exchange membership messages
		Shares   bool    `toml:"shares"`   // routers divide the capacity of cold engines by quota leases; implies Talk
		Firm     float64 `toml:"firm"`     // share of that capacity that is divided in fixed parts
	} `toml:"variant"`
	// Limits makes a variant for each fixed limit of the active dispatches at an engine.
	Limits []float64 `toml:"limits"`
	// Sweep makes a variant for each admitted share of a group, and for each minimum utility per second of work below which batches are shed.
	Sweep *struct {
		Group     string    `toml:"group"`
		Keep      []float64 `toml:"keep"`
		LeastGain []float64 `toml:"least-gain"` // for batches of all groups, in place of a share
	} `toml:"sweep"`
	// Waves makes a day for each combination of rate factor, amplitude and period of a sinusoidal load.
	Waves *struct {
		Seconds float64   `toml:"seconds"`
		Times   []float64 `toml:"times"`
		Swing   []float64 `toml:"swing"`
		Period  []float64 `toml:"period"`
		Cold    bool      `toml:"cold"` // adds a copy of each day in which an engine restarts cold in the middle
	} `toml:"waves"`
}

const (
	maxRuns                = 100000 // runs of an experiment
	forcedLevelMinDuration = 1e9    // seconds; longer than any day
)

// Load reads and validates the TOML file of an experiment. Unknown keys are errors.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var file fileConfig
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: no such key:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	experiment := &Experiment{Name: file.Name, Worlds: file.World, Days: file.Day, Charts: file.Charts}
	if experiment.Name == "" {
		experiment.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	for n := range max(file.Seeds, 1) {
		experiment.Seeds = append(experiment.Seeds, max(file.First, 1)+uint64(n))
	}
	forcedLevel := func(name string, does levels.Actions) Variant {
		return Variant{Name: name, SmoothingTime: 5, Levels: &levels.Settings{ForcedLevel: "fixed", Levels: []levels.Level{{Name: "fixed", MinDuration: forcedLevelMinDuration, Actions: does}}}}
	}
	fixed := func(name, group string, keep float64) Variant {
		return forcedLevel(name, levels.Actions{AdmitRatio: map[string]float64{group: keep}})
	}
	for _, v := range file.Variant {
		variant := Variant{Name: v.Name}
		switch {
		case v.Group != "":
			variant = fixed(v.Name, v.Group, v.Keep)
		case v.Settings != "":
			own, err := installation.Load(filepath.Join(filepath.Dir(path), v.Settings), os.Getenv)
			if err != nil {
				return nil, err
			}
			if own.Levels == nil && len(own.Routes.Routes) == 0 && own.Limits.Adaptive.Kind == "" && own.Limits.AllRetries == nil && own.Limits.EngineRetries == nil {
				return nil, fmt.Errorf("%s: variant %q: %s has neither levels nor limits", path, v.Name, v.Settings)
			}
			variant.Adaptive, variant.AllRetries, variant.EngineRetries = own.Limits.Adaptive, own.Limits.AllRetries, own.Limits.EngineRetries
			if own.Levels != nil {
				s := *own.Levels
				if v.Hold != "" {
					s.ForcedLevel = v.Hold
				}
				variant.Levels, variant.SmoothingTime = &s, own.LevelDecayTime
			}
			if len(own.Routes.Routes) > 0 {
				variant.NewRoutes = own.Routes.CopyUnspent
			}
		}
		variant.LoadReportInterval = v.Load
		if variant.PeerMessaging = v.Talk || v.Shares; v.Shares {
			s := shares.Defaults()
			s.FixedFraction = v.Firm
			variant.Quotas = &s
		}
		if v.Adaptive != "" {
			variant.Adaptive = limits.AdaptiveSettings{Kind: v.Adaptive, Initial: v.Limit}
		}
		if found := limits.Check(limits.Config{Adaptive: variant.Adaptive}, limits.Platform{}); len(found) > 0 {
			return nil, fmt.Errorf("%s: variant %q: %s", path, v.Name, found[0].Message)
		}
		experiment.Variants = append(experiment.Variants, variant)
	}
	for _, n := range file.Limits {
		experiment.Variants = append(experiment.Variants, Variant{Name: fmt.Sprintf("%g out", n), swept: true, Adaptive: limits.AdaptiveSettings{Kind: "fixed", Initial: n}})
	}
	if file.Sweep != nil {
		for _, k := range file.Sweep.Keep {
			variant := fixed(fmt.Sprintf("%s %.0f%%", file.Sweep.Group, 100*k), file.Sweep.Group, k)
			variant.swept = true
			experiment.Variants = append(experiment.Variants, variant)
		}
		for _, g := range file.Sweep.LeastGain {
			variant := forcedLevel(fmt.Sprintf("gain %g", g), levels.Actions{MinUtilityRate: g})
			variant.swept = true
			experiment.Variants = append(experiment.Variants, variant)
		}
	}
	if w := file.Waves; w != nil {
		for _, times := range w.Times {
			for _, swing := range w.Swing {
				for _, period := range w.Period {
					name := fmt.Sprintf("%gx %.0f%% %gs", times, 100*swing, period)
					d := emulator.Day{Name: name, Seconds: w.Seconds, Faults: []emulator.Fault{
						{Kind: "wave", At: 1, Factor: times, Amplitude: swing, Period: period}}}
					experiment.Days = append(experiment.Days, d)
					if w.Cold {
						d.Name += " cold"
						d.Faults = append(slices.Clone(d.Faults), emulator.Fault{Kind: "lost", At: w.Seconds / 3, Duration: w.Seconds / 6, Share: 0.01})
						experiment.Days = append(experiment.Days, d)
					}
				}
			}
		}
	}
	if len(experiment.Variants) == 0 {
		experiment.Variants = []Variant{{Name: "off"}}
	}
	return experiment, experiment.check(path)
}

// check prepares the worlds and returns all errors, joined.
func (e *Experiment) check(path string) error {
	var errs []error
	if len(e.Worlds) == 0 || len(e.Days) == 0 {
		errs = append(errs, errors.New("there is no [[world]] or no [[day]]"))
	}
	for i := range e.Worlds {
		errs = append(errs, e.Worlds[i].Prepare())
	}
	for i := range e.Days {
		errs = append(errs, e.Days[i].Check())
	}
	if n := len(e.Worlds) * len(e.Days) * len(e.Variants) * len(e.Seeds); n > maxRuns {
		errs = append(errs, fmt.Errorf("%d runs, more than %d", n, maxRuns))
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Run is the result of one simulated day.
type Run struct {
	World, Day, Variant string
	Seed                uint64
	*emulator.Result
}

// Play runs the whole matrix on all cores and returns the runs in the order of the matrix. It calls progress, if it is not nil,
// after each run, from several goroutines.
func (e *Experiment) Play(ctx context.Context, progress func(done, of int)) ([]Run, error) {
	var todo []Run
	var jobs []func() (*emulator.Result, error)
	for _, w := range e.Worlds {
		for _, d := range e.Days {
			for _, v := range e.Variants {
				for _, seed := range e.Seeds {
					todo = append(todo, Run{World: w.Name, Day: d.Name, Variant: v.Name, Seed: seed})
					jobs = append(jobs, func() (*emulator.Result, error) {
						return emulator.Play(w, d, emulator.Options{Seed: seed, Levels: v.Levels, SmoothingTime: v.SmoothingTime, NewRoutes: v.NewRoutes, Adaptive: v.Adaptive,
							AllRetries: v.AllRetries, EngineRetries: v.EngineRetries, LoadReportInterval: v.LoadReportInterval, PeerMessaging: v.PeerMessaging, Quotas: v.Quotas})
					})
				}
			}
		}
	}
	errs := make([]error, len(jobs))
	var next, done atomic.Int64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for ctx.Err() == nil {
				i := int(next.Add(1)) - 1
				if i >= len(jobs) {
					return
				}
				todo[i].Result, errs[i] = jobs[i]()
				if progress != nil {
					progress(int(done.Add(1)), len(jobs))
				}
			}
		})
	}
	all.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return nil, err
	}
	return todo, nil
}

// csvHeader lists the fixed columns of the CSV; ReadCSV finds columns by name.
var csvHeader = []string{"world", "day", "variant", "seed", "service", "asked", "returned", "pushed back", "errored", "turns", "most turns", "away", "amplified", "wasted", "copies", "recovery", "rules broken", "cold most", "not warm"}

// WriteCSV writes a row for each run, with four more columns for each service group.
func WriteCSV(out io.Writer, runs []Run) error {
	groups := map[string]bool{}
	for _, r := range runs {
		for g := range r.Groups {
			groups[g] = true
		}
	}
	var names []string
	for g := range groups {
		names = append(names, g)
	}
	sort.Strings(names)
	w := csv.NewWriter(out)
	all := slices.Clone(csvHeader)
	for _, g := range names {
		all = append(all, "group "+g, "p50 "+g, "p99 "+g, "p99.9 "+g)
	}
	w.Write(all) //nolint:errcheck // reported by Error
	for _, r := range runs {
		f := func(v float64) string { return strconv.FormatFloat(v, 'f', 6, 64) }
		row := []string{r.World, r.Day, r.Variant, strconv.FormatUint(r.Seed, 10), f(r.Service), strconv.Itoa(r.Requests), strconv.Itoa(r.Returned),
			strconv.Itoa(r.Rejected), strconv.Itoa(r.Failed), strconv.Itoa(r.LevelTransitions), strconv.Itoa(r.MaxTransitionsPerMinute), f(r.ReducedServiceShare), f(r.Amplification),
			f(r.WastedWorkShare), strconv.Itoa(r.ConcurrentDispatches), f(r.RecoveryTime), strings.Join(r.Violations, "; "), f(r.MaxColdLoad), f(r.ColdDataSetShare)}
		for _, g := range names {
			row = append(row, f(r.Groups[g]), f(r.Latencies[g].P50), f(r.Latencies[g].P99), f(r.Latencies[g].P999))
		}
		w.Write(row) //nolint:errcheck
	}
	w.Flush()
	return w.Error()
}

// ReadCSV reads the runs that WriteCSV wrote, with only the fields that Compare needs.
func ReadCSV(in io.Reader) ([]Run, error) {
	rows, err := csv.NewReader(in).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("csv: %w", errors.Join(err, errors.New("no lines")))
	}
	at := map[string]int{}
	for i, name := range rows[0] {
		at[name] = i
	}
	for _, name := range csvHeader {
		if _, there := at[name]; !there {
			return nil, fmt.Errorf("csv: there is no column %q", name)
		}
	}
	var out []Run
	for n, row := range rows[1:] {
		seed, err := strconv.ParseUint(row[at["seed"]], 10, 64)
		service, err2 := strconv.ParseFloat(row[at["service"]], 64)
		if err := errors.Join(err, err2); err != nil {
			return nil, fmt.Errorf("csv: line %d: %w", n+2, err)
		}
		out = append(out, Run{World: row[at["world"]], Day: row[at["day"]], Variant: row[at["variant"]], Seed: seed,
			Result: &emulator.Result{Service: service}})
	}
	return out, nil
}

// Summary aggregates the runs of one cell of the matrix (a world, day and variant) over its seeds.
type Summary struct {
	World, Day, Variant     string
	Runs                    int                                  // number of runs
	Mean, HalfWidth         float64                              // mean service, and half the width of its 95% confidence interval
	WorstTenth              float64                              // mean service of the worst tenth of the runs
	MaxTransitionsPerMinute int                                  // the most of any run
	ReducedServiceShare     float64                              // mean
	MaxAmplification        float64                              // the most of any run
	WastedWorkShare         float64                              // mean
	ConcurrentDispatches    float64                              // mean
	MaxColdLoad             float64                              // the most of any run
	ColdDataSetShare        float64                              // mean
	RecoveryTime            float64                              // the longest of any run, in seconds; -1: a run did not recover or had no fault to recover from
	Latencies               map[string]emulator.LatencyQuantiles // means over the runs, by service group
	Violations              []string                             // with the seed of the run
}

// Summarize returns a summary for each cell, in the order of the runs.
func Summarize(runs []Run) (out []Summary) {
	cells := map[[3]string][]Run{}
	var order [][3]string
	for _, r := range runs {
		key := [3]string{r.World, r.Day, r.Variant}
		if cells[key] == nil {
			order = append(order, key)
		}
		cells[key] = append(cells[key], r)
	}
	for _, key := range order {
		list := cells[key]
		s := Summary{World: key[0], Day: key[1], Variant: key[2], Runs: len(list), Latencies: map[string]emulator.LatencyQuantiles{}}
		var service []float64
		for _, r := range list {
			service = append(service, r.Service)
			s.MaxTransitionsPerMinute, s.MaxAmplification = max(s.MaxTransitionsPerMinute, r.MaxTransitionsPerMinute), max(s.MaxAmplification, r.Amplification)
			n := float64(len(list))
			s.ReducedServiceShare += r.ReducedServiceShare / n
			s.WastedWorkShare, s.ConcurrentDispatches = s.WastedWorkShare+r.WastedWorkShare/n, s.ConcurrentDispatches+float64(r.ConcurrentDispatches)/n
			s.MaxColdLoad, s.ColdDataSetShare = max(s.MaxColdLoad, r.MaxColdLoad), s.ColdDataSetShare+r.ColdDataSetShare/n
			if s.RecoveryTime >= 0 && r.RecoveryTime >= 0 {
				s.RecoveryTime = max(s.RecoveryTime, r.RecoveryTime)
			} else {
				s.RecoveryTime = -1
			}
			for g, t := range r.Latencies {
				was := s.Latencies[g]
				s.Latencies[g] = emulator.LatencyQuantiles{P50: was.P50 + t.P50/n, P99: was.P99 + t.P99/n, P999: was.P999 + t.P999/n}
			}
			for _, b := range r.Violations {
				s.Violations = append(s.Violations, fmt.Sprintf("seed %d: %s", r.Seed, b))
			}
		}
		s.Mean, s.HalfWidth = interval(service)
		sort.Float64s(service)
		s.WorstTenth = stat.Mean(service[:max(len(service)/10, 1)], nil)
		out = append(out, s)
	}
	return out
}

// interval returns a mean and half the width of its 95% confidence interval by Student's t distribution; NaN for fewer than two
// values, which give no deviation.
func interval(x []float64) (mean, half float64) {
	mean, deviation := stat.MeanStdDev(x, nil)
	if len(x) < 2 {
		return mean, math.NaN()
	}
	n := float64(len(x))
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * deviation / math.Sqrt(n)
}

// formatHalfWidth formats half the width of an interval, "-" if it is unknown.
func formatHalfWidth(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	return fmt.Sprintf("%.3f", v)
}

// Table writes a line for each cell. It reports whether any rule was violated.
func Table(out io.Writer, list []Summary) (broken bool, err error) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "world\tday\tvariant\truns\tservice\t+-\tworst tenth\tturns/min\taway\tamplified\twasted\tcopies\trecovery\tcold most\tnot warm\trules broken")
	for _, s := range list {
		rules := "none"
		if len(s.Violations) > 0 {
			rules, broken = s.Violations[0], true
		}
		recovery := "-"
		if s.RecoveryTime >= 0 {
			recovery = fmt.Sprintf("%.0fs", s.RecoveryTime)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.3f\t%s\t%.3f\t%d\t%.2f\t%.2f\t%.3f\t%.0f\t%s\t%.2f\t%.2f\t%s\n", s.World, s.Day, s.Variant, s.Runs, s.Mean, formatHalfWidth(s.HalfWidth),
			s.WorstTenth, s.MaxTransitionsPerMinute, s.ReducedServiceShare, s.MaxAmplification, s.WastedWorkShare, s.ConcurrentDispatches, recovery, s.MaxColdLoad, s.ColdDataSetShare, rules)
	}
	return broken, t.Flush()
}

// LatencyTable writes the latency quantiles of each cell and service group.
func LatencyTable(out io.Writer, list []Summary) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "world\tday\tvariant\tgroup\tp50\tp99\tp99.9")
	for _, s := range list {
		for _, g := range slices.Sorted(maps.Keys(s.Latencies)) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3fs\t%.3fs\t%.3fs\n", s.World, s.Day, s.Variant, g, s.Latencies[g].P50, s.Latencies[g].P99, s.Latencies[g].P999)
		}
	}
	return t.Flush()
}

// Compare writes the mean difference in service from earlier runs of the same world, day, variant and seed, for each cell.
func Compare(out io.Writer, now, before []Run) error {
	type key struct {
		world, day, variant string
		seed                uint64
	}
	old := map[key]float64{}
	for _, r := range before {
		old[key{r.World, r.Day, r.Variant, r.Seed}] = r.Service
	}
	cells := map[[3]string][]float64{}
	var order [][3]string
	for _, r := range now {
		was, there := old[key{r.World, r.Day, r.Variant, r.Seed}]
		if !there {
			continue
		}
		cell := [3]string{r.World, r.Day, r.Variant}
		if cells[cell] == nil {
			order = append(order, cell)
		}
		cells[cell] = append(cells[cell], r.Service-was)
	}
	if len(order) == 0 {
		return errors.New("no run of the earlier file has the world, day, variant and seed of a run here")
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "world\tday\tvariant\tpairs\tdifference\t+-")
	for _, cell := range order {
		mean, h := interval(cells[cell])
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%+.3f\t%s\n", cell[0], cell[1], cell[2], len(cells[cell]), mean, formatHalfWidth(h))
	}
	return t.Flush()
}
