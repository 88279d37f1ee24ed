// Command cmd plays clients that cause trouble against a router process, beside usual clients, and prints what was seen:
//
//	go build -o bin/ ./cmd/... && go run ./internal/hostile/cmd -trouble checks -seed 3 -long 20s
//
// Without -trouble all kinds are played, one after the other. It exits with 1 if a rule was broken.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"pitchfield/internal/hostile"
)

func main() {
	var o hostile.Options
	flag.StringVar(&o.Program, "program", "bin/pitchfield", "path of the router")
	flag.StringVar(&o.Folder, "out", "", "folder for the configuration and the log; empty: a temporary one, which stays")
	flag.Uint64Var(&o.Seed, "seed", 1, "of all that is drawn at random")
	flag.DurationVar(&o.Duration, "long", 10*time.Second, "duration of each play")
	flag.IntVar(&o.MemoryMB, "memory", 64, "memory limit of the router in MB")
	flag.IntVar(&o.Descriptors, "descriptors", 384, "descriptor limit of the router")
	names := flag.String("trouble", "", "kinds to play, separated by commas; empty: all; none: usual clients alone")
	flag.Parse()
	broken, err := run(o, *names)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hostile:", err)
		os.Exit(2)
	}
	if broken {
		os.Exit(1)
	}
}

// run plays the kinds with these names, or all, and reports whether a rule was broken.
func run(o hostile.Options, names string) (broken bool, err error) {
	var kinds []*hostile.Trouble
	for _, name := range strings.Split(names, ",") {
		if name == "none" {
			kinds = append(kinds, nil)
			continue
		}
		kind := hostile.Find(name)
		if kind == nil && name != "" {
			return false, fmt.Errorf("no trouble is named %q", name)
		}
		if kind != nil {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		kinds = hostile.Troubles
	}
	folder := o.Folder
	for _, kind := range kinds {
		o.Trouble = kind
		if o.Folder = folder; folder == "" {
			if o.Folder, err = os.MkdirTemp("", "hostile"); err != nil {
				return broken, err
			}
		}
		result, err := hostile.Run(o)
		if err != nil {
			return broken, err
		}
		violations := result.Violations(o.MemoryMB)
		broken = broken || len(violations) > 0
		fmt.Printf("%s, seed %d, %s: %s\n", cmp.Or(kind.String(), "no trouble"), o.Seed, o.Folder, result.String())
		for _, line := range append(violations, result.Findings...) {
			fmt.Println("    " + line)
		}
	}
	return broken, nil
}
