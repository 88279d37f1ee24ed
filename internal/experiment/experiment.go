// Package experiment plays a matrix of worlds, days, seeds and settings in the emulator and keeps what came of it, as
// a table, CSV and charts.
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

// Variant is one way to set routers up.
type Variant struct {
	Name          string
	Levels        *levels.Settings // nil: off
	SmoothingTime float64
	NewRoutes     func() *limits.Table // makes the routes of a router; nil: none
	// Adaptive limits what is out at each engine.
	Adaptive           limits.AdaptiveSettings
	AllRetries         *limits.RetryBudget // of further dispatches, and
	EngineRetries      *limits.RetryBudget // to each engine
	LoadReportInterval float64             // and tell each other what is out, so often
	PeerMessaging      bool                // routers talk,
	Quotas             *shares.Settings    // and divide by that; nil: not

	swept bool // one of many fixed ones
}

// Experiment is what a file asks for.
type Experiment struct {
	Name     string
	Worlds   []emulator.World
	Days     []emulator.Day
	Variants []Variant
	Seeds    []uint64
	Charts   bool
}

type fileConfig struct {
	Name    string           `toml:"name"`
	Seeds   int              `toml:"seeds"`
	First   uint64           `toml:"first-seed"`
	Charts  bool             `toml:"charts"`
	World   []emulator.World `toml:"world"`
	Day     []emulator.Day   `toml:"day"`
	Variant []struct {
		Name     string  `toml:"name"`
		Settings string  `toml:"settings"` // a file with settings of our own, whose levels count; beside this one
		Hold     string  `toml:"hold"`     // a level to be held
		Keep     float64 `toml:"keep"`     // a fixed share of a group, in place of levels
		Group    string  `toml:"group"`
		Adaptive string  `toml:"adaptive"` // a kind of adaptive limit
		Limit    float64 `toml:"limit"`    // of kind fixed
		Load     float64 `toml:"load"`     // routers tell each other what is out, each so many seconds; 0: they don't
		Talk     bool    `toml:"talk"`     // routers talk to each other,
		Shares   bool    `toml:"shares"`   // and divide what cold engines bear by that,
		Firm     float64 `toml:"firm"`     // of which so much stays with each
	} `toml:"variant"`
	// Limits makes a variant of each fixed number of dispatches out at an engine.
	Limits []float64 `toml:"limits"`
	// Sweep makes a variant of each fixed share of a group, and of each fixed gain that a batch must promise.
	Sweep *struct {
		Group     string    `toml:"group"`
		Keep      []float64 `toml:"keep"`
		LeastGain []float64 `toml:"least-gain"` // of any batch, in place of a share
	} `toml:"sweep"`
	// Waves makes a day of each swing and period of a load that swings round a rate.
	Waves *struct {
		Seconds float64   `toml:"seconds"`
		Times   []float64 `toml:"times"`
		Swing   []float64 `toml:"swing"`
		Period  []float64 `toml:"period"`
		Cold    bool      `toml:"cold"` // each also with an engine that returns cold in the middle
	} `toml:"waves"`
}

const (
	maxRuns                = 100000
	forcedLevelMinDuration = 1e9
)

// Load reads an experiment's file.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var f fileConfig
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: no such key:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	e := &Experiment{Name: f.Name, Worlds: f.World, Days: f.Day, Charts: f.Charts}
	if e.Name == "" {
		e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	for n := range max(f.Seeds, 1) {
		e.Seeds = append(e.Seeds, max(f.First, 1)+uint64(n))
	}
	held := func(name string, does levels.Actions) Variant {
		return Variant{Name: name, SmoothingTime: 5, Levels: &levels.Settings{ForcedLevel: "fixed", Levels: []levels.Level{{Name: "fixed", MinDuration: forcedLevelMinDuration, Actions: does}}}}
	}
	fixed := func(name, group string, keep float64) Variant {
		return held(name, levels.Actions{AdmitRatio: map[string]float64{group: keep}})
	}
	for _, v := range f.Variant {
		one := Variant{Name: v.Name}
		switch {
		case v.Group != "":
			one = fixed(v.Name, v.Group, v.Keep)
		case v.Settings != "":
			own, err := installation.Load(filepath.Join(filepath.Dir(path), v.Settings), os.Getenv)
			if err != nil {
				return nil, err
			}
			if own.Levels == nil && len(own.Routes.Routes) == 0 && own.Limits.Adaptive.Kind == "" && own.Limits.AllRetries == nil && own.Limits.EngineRetries == nil {
				return nil, fmt.Errorf("%s: variant %q: %s has neither levels nor limits", path, v.Name, v.Settings)
			}
			one.Adaptive, one.AllRetries, one.EngineRetries = own.Limits.Adaptive, own.Limits.AllRetries, own.Limits.EngineRetries
			if own.Levels != nil {
				s := *own.Levels
				if v.Hold != "" {
					s.ForcedLevel = v.Hold
				}
				one.Levels, one.SmoothingTime = &s, own.LevelDecayTime
			}
			if len(own.Routes.Routes) > 0 {
				one.NewRoutes = own.Routes.CopyUnspent
			}
		}
		one.LoadReportInterval = v.Load
		if one.PeerMessaging = v.Talk || v.Shares; v.Shares {
			s := shares.Defaults()
			s.FixedFraction = v.Firm
			one.Quotas = &s
		}
		if v.Adaptive != "" {
			one.Adaptive = limits.AdaptiveSettings{Kind: v.Adaptive, Initial: v.Limit}
		}
		if found := limits.Check(limits.Config{Adaptive: one.Adaptive}, limits.Platform{}); len(found) > 0 {
			return nil, fmt.Errorf("%s: variant %q: %s", path, v.Name, found[0].Message)
		}
		e.Variants = append(e.Variants, one)
	}
	for _, n := range f.Limits {
		e.Variants = append(e.Variants, Variant{Name: fmt.Sprintf("%g out", n), swept: true, Adaptive: limits.AdaptiveSettings{Kind: "fixed", Initial: n}})
	}
	if f.Sweep != nil {
		for _, k := range f.Sweep.Keep {
			one := fixed(fmt.Sprintf("%s %.0f%%", f.Sweep.Group, 100*k), f.Sweep.Group, k)
			one.swept = true
			e.Variants = append(e.Variants, one)
		}
		for _, g := range f.Sweep.LeastGain {
			one := held(fmt.Sprintf("gain %g", g), levels.Actions{MinUtilityRate: g})
			one.swept = true
			e.Variants = append(e.Variants, one)
		}
	}
	if w := f.Waves; w != nil {
		for _, times := range w.Times {
			for _, swing := range w.Swing {
				for _, period := range w.Period {
					name := fmt.Sprintf("%gx %.0f%% %gs", times, 100*swing, period)
					d := emulator.Day{Name: name, Seconds: w.Seconds, Faults: []emulator.Fault{
						{Kind: "wave", At: 1, Factor: times, Amplitude: swing, Period: period}}}
					e.Days = append(e.Days, d)
					if w.Cold {
						d.Name += " cold"
						d.Faults = append(slices.Clone(d.Faults), emulator.Fault{Kind: "lost", At: w.Seconds / 3, Duration: w.Seconds / 6, Share: 0.01})
						e.Days = append(e.Days, d)
					}
				}
			}
		}
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "off"}}
	}
	return e, e.check(path)
}

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

// Run is one day that was played.
type Run struct {
	World, Day, Variant string
	Seed                uint64
	*emulator.Result
}

// Play plays all of it on all cores, and reports how many are done.
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

// csvHeader of the CSV; columns are found by name.
var csvHeader = []string{"world", "day", "variant", "seed", "service", "asked", "returned", "pushed back", "errored", "turns", "most turns", "away", "amplified", "wasted", "copies", "recovery", "rules broken", "cold most", "not warm"}

// WriteCSV writes a line for each run, and a column for each group.
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
	w.Write(all) //nolint:errcheck // told by Error
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

// ReadCSV reads runs back, with the figures that a comparison needs.
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

// Summary is what the seeds of one cell of the matrix came to.
type Summary struct {
	World, Day, Variant     string
	Runs                    int
	Mean, HalfWidth         float64 // and half of the interval that holds the mean with 95%
	WorstTenth              float64 // mean of the worst tenth of the runs
	MaxTransitionsPerMinute int
	ReducedServiceShare     float64
	MaxAmplification        float64 // the most of any run
	WastedWorkShare         float64
	ConcurrentDispatches    float64
	MaxColdLoad             float64                              // the most of any run, and
	ColdDataSetShare        float64                              // the mean
	RecoveryTime            float64                              // the longest; -1: some never did, or nothing was to recover from
	Latencies               map[string]emulator.LatencyQuantiles // mean of the runs
	Violations              []string
}

// Summarize gives one for each cell, in their order.
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

// interval gives a mean and half of its 95% interval, by Student's t; NaN where one run says nothing of the spread.
func interval(x []float64) (mean, half float64) {
	mean, deviation := stat.MeanStdDev(x, nil)
	if len(x) < 2 {
		return mean, math.NaN()
	}
	n := float64(len(x))
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * deviation / math.Sqrt(n)
}

func formatHalfWidth(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	return fmt.Sprintf("%.3f", v)
}

// Table writes a line for each cell. It tells whether a rule was broken.
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

// LatencyTable writes what the requests of each group took.
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

// Compare writes how runs differ from older ones of the same world, day, variant and seed.
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
		return errors.New("nothing of the older file is played here")
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "world\tday\tvariant\tpairs\tdifference\t+-")
	for _, cell := range order {
		mean, h := interval(cells[cell])
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%+.3f\t%s\n", cell[0], cell[1], cell[2], len(cells[cell]), mean, formatHalfWidth(h))
	}
	return t.Flush()
}
