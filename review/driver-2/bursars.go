package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pitchfield/internal/standin"
)

// bursars: four routers divide a concurrency of four dispatches out in all; three of them are keepers. The operators change one
// keeper's address as their page says: all files get the new list, and the routers are restarted one after the other, with the time
// between two keepers that the page asks for. No more than four dispatches may be out at a time. Without the disruption the same
// routers are restarted with the old list.
func bursars(w *world) (string, error) {
	const (
		routers   = 4
		bound     = 4
		tolerance = 150 * time.Millisecond // that two dispatches may be out beside each other: the sockets' 50 ms and more
		between   = 12 * time.Second       // two restarts of keepers: a lease of 1 s, the longest time limit of 5 s, and as much again
	)
	fleet := &standin.Fleet{CancelsOnClose: true, Script: func(standin.Run, int) standin.Step { return standin.Step{After: 1500 * time.Millisecond} }}
	if err := w.startEngines(5, 0, fleet); err != nil {
		return "", err
	}
	var talk [routers]string
	for i := range talk {
		var err error
		if talk[i], err = freeAddress("udp"); err != nil {
			return "", err
		}
	}
	list := func(keepers ...int) string {
		var out []string
		for _, k := range keepers {
			out = append(out, fmt.Sprintf("%q", talk[k]))
		}
		return "keepers = [" + strings.Join(out, ", ") + "]"
	}
	oldList, newList := list(0, 1, 2), list(0, 1, 3)
	for i := range routers {
		r, err := w.newRouter(i, routers, 96, 512, func(*routerProcess) (string, error) {
			return fmt.Sprintf(`[fleet]
name = "review"
listen = %q
seeds = [%q, %q]
networks = ["127.0.0.0/8"]
[shares]
firm = 0.0
%s
[[concurrency]]
name = "loads"
routers = %d
at-bound = "wait"
[[route]]
name = "loads"
group = "load"
concurrency = "loads"
`, talk[i], talk[0], talk[1], oldList, bound), nil
		})
		if err != nil {
			return "", err
		}
		if err := w.start(r); err != nil {
			return "", err
		}
	}
	all := w.routers[:routers]
	time.Sleep(10 * time.Second) // until a bursar gives
	var ending atomic.Bool
	var clients sync.WaitGroup
	for i := range 4 * routers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for !ending.Load() {
				c, err := standin.Dial(all[i%routers].frames)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for s := uint32(1); !ending.Load(); s++ {
					if c.SendBatch(s, "load", fmt.Sprintf("%016x", rand.Uint64()), 5*time.Second, fmt.Sprintf("INSERT INTO load_3.t SELECT 'by n%d'", i%routers+1)) != nil {
						break
					}
					if a, err := c.ReadFrame(5500 * time.Millisecond); err != nil || a.Type == 30 {
						break // the router has ended, or asks for no further request on this connection
					}
				}
				c.Close()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		for _, r := range all {
			text, err := os.ReadFile(r.settings)
			if err != nil {
				return "", err
			}
			if err := os.WriteFile(r.settings, []byte(strings.Replace(string(text), oldList, newList, 1)), 0o600); err != nil {
				return "", err
			}
		}
		w.notef("the files name the new keepers: n4 in place of n3")
	}
	changed := time.Now()
	for n, k := range []int{3, 0, 1, 2} { // the new keeper, the two that stay, the old one
		if n > 0 {
			time.Sleep(between)
		}
		r := all[k]
		w.notef("%s gets SIGTERM", r.name)
		r.signal(syscall.SIGTERM)
		<-r.ended
		r.ended = make(chan struct{})
		if err := w.start(r); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	ending.Store(true)
	clients.Wait()
	runs := fleet.Runs()
	before, after, example := 0, 0, ""
	for i, a := range runs {
		at := a.Began.Add(tolerance)
		var out []string
		for _, b := range runs[max(0, i-100):] {
			if b.Began.After(a.Began) {
				break
			}
			if b.Ended.IsZero() || b.Ended.After(at) {
				_, by, _ := strings.Cut(b.Text, "'by ")
				out = append(out, strings.TrimSuffix(by, "'"))
			}
		}
		if a.Began.Before(changed) {
			before = max(before, len(out))
		} else if len(out) > after {
			after, example = len(out), fmt.Sprintf("%.1f s after the change, of %s", a.Began.Sub(changed).Seconds(), strings.Join(out, ", "))
		}
		w.notef(" . run from %.3f to %.3f, canceled %t, %d out: %s", a.Began.Sub(w.begun).Seconds(), a.Ended.Sub(w.begun).Seconds(), a.Canceled, len(out), a.Text)
	}
	w.notef("%d runs; most out at a time: %d before, %d after (%s)", len(runs), before, after, example)
	switch {
	case before == 0:
		return "", fmt.Errorf("nothing was given before the change")
	case max(before, after) > bound:
		return fmt.Sprintf("%d dispatches were out at a time where 'routers = %d' allows %d: %s", max(before, after), bound, bound, example), nil
	}
	return "", nil
}
