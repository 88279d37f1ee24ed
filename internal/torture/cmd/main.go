// Command cmd runs the torture scenarios of many seeds and prints violations of the rules, or verifies that the checker
// finds defects that are put into the router on purpose:
//
//	go run ./internal/torture/cmd -seeds 20
//	go run ./internal/torture/cmd -defects -seeds 20
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/defects"
	"pitchfield/internal/parallel"
	"pitchfield/internal/torture"
)

// options are the command-line flags.
type options struct {
	first, seeds               uint64
	duration                   time.Duration
	clients                    int
	concurrency                int
	folder, root               string
	only                       string
	routers                    int
	olderCommit                string
	peerMessaging, quotaShares bool
	sharedLimits               bool
	firmShare                  float64
	soak, debug                bool
}

func main() {
	var o options
	flag.Uint64Var(&o.first, "first", 1, "first seed")
	flag.Uint64Var(&o.seeds, "seeds", 10, "number of seeds; with -defects, the most seeds for each defect")
	flag.DurationVar(&o.duration, "long", 10*time.Second, "duration of each scenario")
	flag.IntVar(&o.clients, "clients", 0, "at once; 0: as many as the rig usually has")
	flag.IntVar(&o.concurrency, "beside", 1, "scenarios that run concurrently")
	flag.StringVar(&o.folder, "out", "", "folder for logs; empty: a temporary one, which stays if there are findings")
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.StringVar(&o.only, "only", "", "with -defects: only defects whose name contains this text")
	flag.IntVar(&o.routers, "routers", 1, "routers in front of the same engines")
	flag.StringVar(&o.olderCommit, "older", "", "commit whose program some routers of a fleet run for a while")
	flag.BoolVar(&o.peerMessaging, "talk", false, "routers exchange peer messages")
	flag.BoolVar(&o.quotaShares, "shares", false, "routers divide the capacity of cold engines by quota; implies -talk")
	flag.BoolVar(&o.sharedLimits, "limits", false, "routers also divide free retries and concurrent reports; implies -shares")
	flag.Float64Var(&o.firmShare, "firm", 0.1, "fraction of a quota that every router keeps permanently")
	flag.BoolVar(&o.soak, "soak", false, "system calls fail too, faults overlap, clients go on until a kill; for 10 to 40 routers")
	flag.BoolVar(&o.debug, "debug", false, "routers log every request")
	measure := flag.Bool("measure", false, "without random faults: measure results and use of budgets for 2 to 12 routers, with none and with half of them killed")
	defects := flag.Bool("defects", false, "verify that the checker finds the defects of defects.toml")
	flag.Parse()
	if err := run(o, *defects, *measure); err != nil {
		fmt.Fprintln(os.Stderr, "torture:", err)
		os.Exit(1)
	}
}

// run runs the chosen mode in the log folder, and creates and removes a temporary folder if none is given.
func run(o options, defects, measure bool) error {
	temporary := o.folder == ""
	if temporary {
		var err error
		if o.folder, err = os.MkdirTemp("", "torture"); err != nil {
			return err
		}
	}
	var err error
	if defects {
		err = o.findDefects()
	} else if measure {
		err = o.measure()
	} else {
		err = o.runSeeds()
	}
	if err != nil {
		return fmt.Errorf("%w; logs in %s", err, o.folder)
	}
	if temporary {
		return os.RemoveAll(o.folder)
	}
	return nil
}

// build builds the program from the working tree and returns its path.
func (o options) build() (string, error) {
	program := filepath.Join(o.folder, "pitchfield")
	c := exec.Command("go", "build", "-o", program, "./cmd/pitchfield")
	c.Dir = o.root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return program, nil
}

// buildOlder builds the program of the commit in o.older and returns its path.
func (o options) buildOlder() (string, error) {
	tree, program := filepath.Join(o.folder, "older"), filepath.Join(o.folder, "pitchfield-older")
	for _, command := range [][]string{
		{"git", "worktree", "add", "--detach", tree, o.olderCommit},
		{"go", "build", "-C", tree, "-o", program, "./cmd/pitchfield"},
		{"git", "worktree", "remove", "--force", tree},
	} {
		c := exec.Command(command[0], command[1:]...)
		c.Dir = o.root
		if out, err := c.CombinedOutput(); err != nil {
			return "", fmt.Errorf("older: %w: %s", err, out)
		}
	}
	return program, nil
}

// measure applies the same load to 2, 4, 8 and 12 routers while engines are replaced, and prints a table.
func (o options) measure() error {
	program, err := o.build()
	if err != nil {
		return err
	}
	fmt.Println("routers  killed  returned  pushed back  errored  dispatches a batch  cold budget used: mean  most  all alive  some dead  probes a second  longest without")
	for _, routers := range []int{2, 4, 8, 12} {
		for _, killed := range []bool{false, true} {
			var sum torture.Summary
			for i := range o.seeds {
				r, err := torture.Run(torture.Options{Program: program, Seed: o.first + i, Duration: o.duration,
					Clients: o.clients, Folder: o.folder, Routers: routers, PeerMessaging: o.peerMessaging,
					QuotaShares: o.quotaShares, SharedLimits: o.sharedLimits, FirmShare: o.firmShare,
					Steps: torture.ReplacementScript(o.duration, routers, killed)})
				if err != nil {
					return err
				}
				if len(r.Findings) > 0 {
					printFindings(r)
				}
				sum.Add(r.Summary())
			}
			f := sum.Mean()
			fmt.Printf("%7d  %6t  %8.3f  %11.3f  %7.3f  %18.2f  %22.2f  %4.2f  %9.2f  %9.2f  %15.2f  %15.2f\n", routers,
				killed, f.Returned, f.Rejected,
				f.Errored, f.Dispatches, f.ColdBudget.Mean, f.ColdBudget.Max, f.ColdBudget.AllRunning,
				f.ColdBudget.SomeDown, f.Probes.Mean, f.Probes.LongestGap.Seconds())
		}
	}
	return nil
}

// runSeeds runs all seeds with the program of the working tree.
func (o options) runSeeds() error {
	program, err := o.build()
	if err != nil {
		return err
	}
	older := ""
	if o.olderCommit != "" {
		if older, err = o.buildOlder(); err != nil {
			return err
		}
	}
	var mutex sync.Mutex
	broken, batches, inconclusive := 0, 0, 0
	var failure error
	parallel.Each(o.concurrency, int(o.seeds), func(i int) {
		r, err := torture.Run(torture.Options{Program: program, OlderProgram: older, Seed: o.first + uint64(i),
			Duration: o.duration, Clients: o.clients, Folder: o.folder,
			Routers: o.routers, PeerMessaging: o.peerMessaging, QuotaShares: o.quotaShares, SharedLimits: o.sharedLimits,
			FirmShare: o.firmShare, Soak: o.soak, Debug: o.debug})
		mutex.Lock()
		defer mutex.Unlock()
		if err != nil {
			failure = fmt.Errorf("seed %d: %w", o.first+uint64(i), err)
			return
		}
		batches += len(r.Batches)
		fmt.Printf("seed %d: %s, %d findings; cold budget used %.2f at the most", r.Seed, r.Counts(), len(r.Findings), r.Usages()[0].Max)
		if o.sharedLimits {
			fmt.Printf(", free further dispatches %.2f, reports at once %d", r.Usages()[1].Max, r.MaxConcurrentReports())
		}
		fmt.Println()
		if !r.Conclusive() {
			inconclusive++
		}
		if len(r.Findings) > 0 {
			broken++
			printFindings(r)
		}
	})
	fmt.Printf("%d seeds, %d batches, %d seeds broke a rule, %d count as not played: over a tenth of their batches is excused\n", o.seeds, batches, broken, inconclusive)
	if failure == nil && broken > 0 {
		failure = fmt.Errorf("%d of %d seeds broke a rule", broken, o.seeds)
	}
	return failure
}

// printFindings prints the script, the first ten findings, the events of their connections and the routers' log lines
// about them.
func printFindings(r *torture.Result) {
	for _, s := range r.Steps {
		fmt.Println("   ", s)
	}
	printed := map[int]bool{}
	for _, f := range r.Findings[:min(len(r.Findings), 10)] {
		fmt.Println("  ", f)
		if f.Connection > 0 && !printed[f.Connection] {
			printed[f.Connection] = true
			for _, h := range r.History[f.Connection] {
				fmt.Println("       ", h)
			}
		}
		for _, l := range r.LogLines(f) {
			fmt.Println("        ", l)
		}
	}
}

// findDefects runs seeds against each defect until one gives a finding under the defect's rule.
func (o options) findDefects() error {
	all, err := torture.Defects()
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(d defects.Defect) bool { return !strings.Contains(d.Name, o.only) })
	type outcome struct {
		seeds   int
		finding *torture.Finding
		err     error
	}
	outcomes := make([]outcome, len(all))
	parallel.Each(o.concurrency, len(all), func(i int) {
		d, out := all[i], &outcomes[i]
		routers := 1
		if d.Fleet {
			routers = max(o.routers, 3)
		}
		folder := filepath.Join(o.folder, fmt.Sprint("defect-", i))
		program := filepath.Join(folder, "pitchfield")
		if out.err = os.MkdirAll(folder, 0o755); out.err == nil {
			out.err = d.Build(o.root, "./cmd/pitchfield", program)
		}
		for seed := o.first; seed < o.first+o.seeds && out.err == nil && out.finding == nil; seed++ {
			r, err := torture.Run(torture.Options{Program: program, Seed: seed, Duration: o.duration, Clients: o.clients, Folder: folder,
				Routers: routers, PeerMessaging: o.peerMessaging || d.Talk, QuotaShares: o.quotaShares || d.Shares,
				SharedLimits: o.sharedLimits || d.Limits, FirmShare: cmp.Or(d.Firm, o.firmShare), Soak: o.soak || d.Soak})
			if out.err = err; err != nil {
				break
			}
			out.seeds++
			if n := slices.IndexFunc(r.Findings, func(f torture.Finding) bool { return f.Rule == d.Rule }); n >= 0 {
				out.finding = &r.Findings[n]
			}
		}
		fmt.Printf("rule %d, %s: ", d.Rule, d.Name)
		switch {
		case out.err != nil:
			fmt.Println(out.err)
		case out.finding == nil:
			fmt.Printf("not found in %d seeds\n", out.seeds)
		default:
			fmt.Printf("found by seed %d: %s\n", o.first+uint64(out.seeds)-1, out.finding)
		}
	})
	missed := 0
	for _, out := range outcomes {
		if out.finding == nil {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d defects were not found", missed, len(all))
	}
	return nil
}
