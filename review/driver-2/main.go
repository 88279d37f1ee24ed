// Command driver-2 plays the cases of the second independent review. Each case starts routers with the command of the deploy
// file as separate processes and has its own stand-ins for clients, engines and the platform in this process. A case's run.sh
// calls it:
//
//	driver-2 -case NAME -out FOLDER
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. A case returns what it saw of a broken rule; empty: the rule held.
var cases = map[string]func(*world) (broken string, err error){
	"twice":    twice,
	"bursars":  bursars,
	"short":    short,
	"inline":   inline,
	"set-list": setList,
}

const longest = 115 * time.Second // of a run; after that everything is ended and the case counts as not run

func main() {
	name := flag.String("case", "", "which case to play")
	out := flag.String("out", ".", "folder for record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "driver-2: no such case:", *name)
		os.Exit(2)
	}
	w, err := newWorld(*out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver-2:", err)
		os.Exit(2)
	}
	code := make(chan int, 2)
	go func() {
		broken, err := play(w)
		switch {
		case err != nil:
			w.notef("the case could not run: %v", err)
			code <- 2
		case broken != "":
			w.notef("BROKEN: %s", broken)
			code <- 1
		default:
			w.notef("the rule held")
			code <- 0
		}
	}()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, os.Interrupt)
	result := 2
	select {
	case result = <-code:
	case <-time.After(longest):
		w.notef("the case took longer than %s", longest)
	case <-interrupts:
	}
	w.close()
	os.Exit(result)
}
