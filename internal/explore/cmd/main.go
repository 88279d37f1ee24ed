// Command cmd explores small worlds of routers that divide a whole, and prints what came of it:
//
//	go run ./internal/explore/cmd -states 200000           # all that may happen
//	go run ./internal/explore/cmd -walks 20000             # at random, in worlds that are beyond that
//	go run ./internal/explore/cmd -defects -walks 20000    # with each defect on purpose: by how many steps it is found
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
	flag.IntVar(&o.states, "states", 100000, "of each world, at the most")
	flag.IntVar(&o.depth, "depth", 40, "at the most")
	flag.IntVar(&o.walks, "walks", 0, "at random, of 300 steps, in each world, in place of all that may happen")
	flag.StringVar(&o.only, "only", "", "worlds whose name has this in it")
	flag.IntVar(&o.parallelism, "beside", 2, "worlds, or defects, beside each other")
	hunt := flag.Bool("defects", false, "put each defect of defects.toml in and look for it")
	flag.Parse()
	ok := true
	if *hunt {
		ok = o.findDefects()
	} else {
		ok = o.explore()
	}
	if !ok {
		os.Exit(1)
	}
}

func (o options) explore() bool {
	var worlds []explore.NamedWorld
	for _, w := range explore.Worlds() {
		if strings.Contains(w.Name, o.only) {
			worlds = append(worlds, w)
		}
	}
	said, broken := make([]string, len(worlds)), make([]bool, len(worlds))
	parallel.Each(o.parallelism, len(worlds), func(i int) {
		w, from := worlds[i], time.Now()
		var f explore.Result
		if o.walks > 0 {
			f = explore.RandomWalks(w.New, 1, o.walks, 300)
		} else {
			f = explore.Explore(w.New, o.depth, o.states)
		}
		said[i] = fmt.Sprintf("%-40s %8d  %8d  %5d  %7.1f  %t", w.Name, f.States, f.Steps, f.Depth, time.Since(from).Seconds(), f.Violation != "")
		if broken[i] = f.Violation != ""; broken[i] {
			said[i] += fmt.Sprintf(" in %d steps\n%s", len(f.Trace), explore.DescribeTrace(w.New, f.Trace, explore.DescribeEvent))
		}
	})
	fmt.Println("world                                      states    events  depth  seconds  broken")
	ok := true
	for i, text := range said {
		fmt.Println(text)
		ok = ok && !broken[i]
	}
	return ok
}

// findDefects builds this command with each defect and lets it look.
func (o options) findDefects() bool {
	all, err := explore.Defects()
	if err != nil {
		fmt.Fprintln(os.Stderr, "explore:", err)
		return false
	}
	folder, err := os.MkdirTemp("", "explore")
	if err != nil {
		fmt.Fprintln(os.Stderr, "explore:", err)
		return false
	}
	defer os.RemoveAll(folder)
	found := make([]bool, len(all))
	parallel.Each(o.parallelism, len(all), func(i int) {
		d, program := all[i], filepath.Join(folder, fmt.Sprint(i))
		if err := d.Build(".", "./internal/explore/cmd", program); err != nil {
			fmt.Println(err)
			return
		}
		out, _ := exec.Command(program, "-walks", fmt.Sprint(o.walks), "-states", fmt.Sprint(o.states), "-only", d.World, "-beside", "1").Output() //nolint:errcheck // it fails where it finds
		said := "not found"
		for _, line := range strings.Split(string(out), "\n") {
			if world, how, is := strings.Cut(line, "true in "); is && !found[i] {
				found[i], said = true, fmt.Sprintf("found in %s, in the world %q", how, strings.TrimSpace(world[:min(40, len(world))]))
			}
		}
		fmt.Printf("%s: %s\n", d.Name, said)
	})
	for _, is := range found {
		if !is {
			return false
		}
	}
	return true
}
