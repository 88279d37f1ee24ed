// Command cmd explores small worlds of routers that divide a whole, and prints what came of it:
//
//	go run ./internal/explore/cmd -states 200000
//	go run -overlay defect.json ./internal/explore/cmd     # with a defect on purpose: the shortest way to what it breaks
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"pitchfield/internal/explore"
)

func main() {
	states := flag.Int("states", 100000, "of each world, at the most")
	depth := flag.Int("depth", 40, "at the most")
	walks := flag.Int("walks", 0, "at random, of 300 steps, in each world, in place of all that may happen")
	only := flag.String("only", "", "worlds whose name has this in it")
	flag.Parse()
	broken := false
	fmt.Println("world                                      states    events  depth  seconds  broken")
	for _, w := range explore.Worlds() {
		if !strings.Contains(w.Name, *only) {
			continue
		}
		from := time.Now()
		var f explore.Found
		if *walks > 0 {
			f = explore.Walk(w.New, 1, *walks, 300)
		} else {
			f = explore.Explore(w.New, *depth, *states)
		}
		fmt.Printf("%-40s %8d  %8d  %5d  %7.1f  %t\n", w.Name, f.States, f.Steps, f.Depth, time.Since(from).Seconds(), f.Broken != "")
		if f.Broken != "" {
			broken = true
			fmt.Println(explore.Story(w.New, f.Way, explore.Word))
		}
	}
	if broken {
		os.Exit(1)
	}
}
