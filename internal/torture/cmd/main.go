// Command cmd plays many seeds of the torture rig and prints what broke a rule, or looks for defects that are put into the
// router on purpose:
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
	flag.Uint64Var(&o.seeds, "seeds", 10, "how many; of each defect, how many at the most")
	flag.DurationVar(&o.duration, "long", 10*time.Second, "of each play")
	flag.IntVar(&o.clients, "clients", 0, "at once; 0: as many as the rig usually has")
	flag.IntVar(&o.concurrency, "beside", 1, "plays beside each other")
	flag.StringVar(&o.folder, "out", "", "folder for logs; empty: one that is removed, unless something was found")
	flag.StringVar(&o.root, "root", ".", "of the repository")
	flag.StringVar(&o.only, "only", "", "of the defects, those whose name has this in it")
	flag.IntVar(&o.routers, "routers", 1, "before the same engines")
	flag.StringVar(&o.olderCommit, "older", "", "a commit whose program some of several routers run for a while")
	flag.BoolVar(&o.peerMessaging, "talk", false, "several routers talk to each other")
	flag.BoolVar(&o.quotaShares, "shares", false, "and divide what a cold engine bears by that")
	flag.BoolVar(&o.sharedLimits, "limits", false, "and free further dispatches and what may be out, too")
	flag.Float64Var(&o.firmShare, "firm", 0.1, "share of that which stays with each")
	flag.BoolVar(&o.soak, "soak", false, "system calls fail too, faults overlap, clients go on until a kill; for 10 to 40 routers")
	flag.BoolVar(&o.debug, "debug", false, "routers log every request")
	measure := flag.Bool("measure", false, "no script: service and use of budgets by 2 to 12 routers, with none and half of them killed")
	defects := flag.Bool("defects", false, "look for the defects of defects.toml")
	flag.Parse()
	if err := run(o, *defects, *measure); err != nil {
		fmt.Fprintln(os.Stderr, "torture:", err)
		os.Exit(1)
	}
}

func run(o options, defects, measure bool) error {
	made := o.folder == ""
	if made {
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
	if made {
		return os.RemoveAll(o.folder)
	}
	return nil
}

// build builds the program as it stands.
func (o options) build() (string, error) {
	program := filepath.Join(o.folder, "pitchfield")
	c := exec.Command("go", "build", "-o", program, "./cmd/pitchfield")
	c.Dir = o.root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return program, nil
}

// buildOlder builds the program of a commit.
func (o options) buildOlder() (string, error) {
	tree, program := filepath.Join(o.folder, "older"), filepath.Join(o.folder, "pitchfield-older")
	for _, words := range [][]string{{"git", "worktree", "add", "--detach", tree, o.olderCommit}, {"go", "build", "-C", tree, "-o", program, "./cmd/pitchfield"},
		{"git", "worktree", "remove", "--force", tree}} {
		c := exec.Command(words[0], words[1:]...)
		c.Dir = o.root
		if out, err := c.CombinedOutput(); err != nil {
			return "", fmt.Errorf("older: %w: %s", err, out)
		}
	}
	return program, nil
}

// measure plays the same load before 2 to 12 routers while engines are replaced.
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
				r, err := torture.Run(torture.Options{Program: program, Seed: o.first + i, Duration: o.duration, Clients: o.clients, Folder: o.folder, Routers: routers, PeerMessaging: o.peerMessaging, QuotaShares: o.quotaShares, SharedLimits: o.sharedLimits, FirmShare: o.firmShare,
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
			fmt.Printf("%7d  %6t  %8.3f  %11.3f  %7.3f  %18.2f  %22.2f  %4.2f  %9.2f  %9.2f  %15.2f  %15.2f\n", routers, killed, f.Returned, f.Rejected,
				f.Errored, f.Dispatches, f.ColdBudget.Mean, f.ColdBudget.Max, f.ColdBudget.AllRunning, f.ColdBudget.SomeDown, f.Probes.Mean, f.Probes.LongestGap.Seconds())
		}
	}
	return nil
}

// runSeeds plays all seeds of the program as it stands.
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
	broken, batches, excused := 0, 0, 0
	var failure error
	parallel.Each(o.concurrency, int(o.seeds), func(i int) {
		r, err := torture.Run(torture.Options{Program: program, OlderProgram: older, Seed: o.first + uint64(i), Duration: o.duration, Clients: o.clients, Folder: o.folder,
			Routers: o.routers, PeerMessaging: o.peerMessaging, QuotaShares: o.quotaShares, SharedLimits: o.sharedLimits, FirmShare: o.firmShare, Soak: o.soak, Debug: o.debug})
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
			excused++
		}
		if len(r.Findings) > 0 {
			broken++
			printFindings(r)
		}
	})
	fmt.Printf("%d seeds, %d batches, %d seeds broke a rule, %d count as not played: over a tenth of their batches is excused\n", o.seeds, batches, broken, excused)
	if failure == nil && broken > 0 {
		failure = fmt.Errorf("%d of %d seeds broke a rule", broken, o.seeds)
	}
	return failure
}

// printFindings prints the script, the findings, what happened on the connections and what the router said of the batches.
func printFindings(r *torture.Result) {
	for _, s := range r.Steps {
		fmt.Println("   ", s)
	}
	told := map[int]bool{}
	for _, f := range r.Findings[:min(len(r.Findings), 10)] {
		fmt.Println("  ", f)
		if f.Connection > 0 && !told[f.Connection] {
			told[f.Connection] = true
			for _, h := range r.History[f.Connection] {
				fmt.Println("       ", h)
			}
		}
		for _, l := range r.LogLines(f) {
			fmt.Println("        ", l)
		}
	}
}

// findDefects looks for each defect until a seed finds it. A finding under another rule counts as well: it is told which.
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
				Routers: routers, PeerMessaging: o.peerMessaging || d.Talk, QuotaShares: o.quotaShares || d.Shares, SharedLimits: o.sharedLimits || d.Limits, FirmShare: cmp.Or(d.Firm, o.firmShare), Soak: o.soak || d.Soak})
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
