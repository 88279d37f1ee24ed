// Command cmd explores small worlds of routers that share a quota, and prints the results. It exits with 1 if an invariant is violated
// or, with -defects, if a defect is not found:
//
//	go run ./internal/explore/cmd -states 200000           # every order of events, up to a number of states
//	go run ./internal/explore/cmd -walks 20000             # random walks, for worlds that are too large for that
//	go run ./internal/explore/cmd -defects -walks 20000    # with each defect put in on purpose: after how many steps it is found
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"pitchfield/internal/explore"
	"pitchfield/internal/parallel"
)

type options struct {
	states, depth, walks int
	only                 string
	parallelism          int
}

func main() {
	var o options
	flag.IntVar(&o.states, "states", 100000, "maximum `number` of states of each world")
	flag.IntVar(&o.depth, "depth", 40, "at the most")
	flag.IntVar(&o.walks, "walks", 0, "`number` of random walks of 300 steps in each world, in place of every order of events")
	flag.StringVar(&o.only, "only", "", "explore only worlds whose name contains this `text`")
	flag.IntVar(&o.parallelism, "beside", 2, "`number` of worlds or defects explored in parallel")
	defects := flag.Bool("defects", false, "build with each defect of defects.toml and check that it is found")
	flag.Parse()
	ok := true
	if *defects {
		ok = o.findDefects()
	} else {
		ok = o.explore()
	}
	if !ok {
		os.Exit(1)
	}
}

// explore explores the selected worlds, prints a line for each, and reports whether no invariant was violated.
func (o options) explore() bool {
	var worlds []explore.NamedWorld
	for _, w := range explore.Worlds() {
		if strings.Contains(w.Name, o.only) {
			worlds = append(worlds, w)
		}
	}
	lines, violated := make([]string, len(worlds)), make([]bool, len(worlds))
	parallel.Each(o.parallelism, len(worlds), func(i int) {
		w, startedAt := worlds[i], time.Now()
		var result explore.Result
		if o.walks > 0 {
			result = explore.RandomWalks(w.New, 1, o.walks, 300)
		} else {
			result = explore.Explore(w.New, o.depth, o.states)
		}
		lines[i] = fmt.Sprintf("%-40s %8d  %8d  %5d  %7.1f  %t", w.Name, result.States, result.Steps, result.Depth, time.Since(startedAt).Seconds(), result.Violation != "")
		if violated[i] = result.Violation != ""; violated[i] {
			lines[i] += fmt.Sprintf(" in %d steps\n%s", len(result.Trace), explore.DescribeTrace(w.New, result.Trace, explore.DescribeEvent))
		}
	})
	fmt.Println("world                                      states    events  depth  seconds  broken")
	ok := true
	for i, line := range lines {
		fmt.Println(line)
		ok = ok && !violated[i]
	}
	return ok
}

// findDefects builds this command with each defect, runs it on the defect's worlds, and reports whether every defect was found.
func (o options) findDefects() bool {
	defects, err := explore.Defects()
	if err != nil {
		fmt.Fprintln(os.Stderr, "explore:", err)
		return false
	}
	directory, err := os.MkdirTemp("", "explore")
	if err != nil {
		fmt.Fprintln(os.Stderr, "explore:", err)
		return false
	}
	defer os.RemoveAll(directory)
	found := make([]bool, len(defects))
	parallel.Each(o.parallelism, len(defects), func(i int) {
		d, program := defects[i], filepath.Join(directory, fmt.Sprint(i))
		if err := d.Build(".", "./internal/explore/cmd", program); err != nil {
			fmt.Println(err)
			return
		}
		out, _ := exec.Command(program, "-walks", fmt.Sprint(o.walks), "-states", fmt.Sprint(o.states), "-only", d.World, "-beside", "1").Output() //nolint:errcheck // it exits with 1 if it finds a violation
		outcome := "not found"
		for _, line := range strings.Split(string(out), "\n") {
			if world, steps, violated := strings.Cut(line, "true in "); violated && !found[i] {
				found[i], outcome = true, fmt.Sprintf("found in %s, in the world %q", steps, strings.TrimSpace(world[:min(40, len(world))]))
			}
		}
		fmt.Printf("%s: %s\n", d.Name, outcome)
	})
	for _, ok := range found {
		if !ok {
			return false
		}
	}
	return true
}
