package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// prepared: reporting tools keep their connections and their prepared statements, within the bounds that the operators' page names:
// 256 statements and 128 KB for each session. The router must stay below its memory limit.
func prepared(w *world) (string, error) {
	const (
		memory      = 32
		descriptors = 1024
		clients     = 330
		statements  = 60
		size        = 2100 // bytes of each
	)
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 300 * time.Millisecond} }}
	if err := w.startEngines(1, 1, fleet); err != nil {
		return "", err
	}
	r, err := w.newRouter(0, 1, memory, descriptors, func(r *routerProcess) (string, error) { return tdsSettings(r.tds, 10) })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	stopWatch := w.watchMemory(r, memory)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	counts := make([]usualClient, 4)
	for i := range counts {
		usual.Add(1)
		go func() {
			defer usual.Done()
			counts[i].run(w, r.frames, "lookup", 4*time.Second, 100*time.Millisecond, stop)
		}()
	}
	connections, err := dialAll(r.tds, clients)
	if err != nil {
		return "", err
	}
	w.notef("%d clients are logged in, %.1f MB in use", clients, r.memory())
	if w.trouble {
		var all sync.WaitGroup
		for i, c := range connections {
			all.Add(1)
			go func() {
				defer all.Done()
				for n := range statements {
					text := fmt.Sprintf("SELECT %d, %d FROM sales_17.orders WHERE note = '%s'", i, n, strings.Repeat("x", size-80))
					if err := prepare(c.Conn, text, 5*time.Second); err != nil {
						if n < statements-1 {
							w.notef(" . client %d: %v", i, err)
						}
						return
					}
				}
			}()
		}
		all.Wait()
		w.notef("prepared, %.1f MB in use", r.memory())
	}
	time.Sleep(5 * time.Second)
	close(stop)
	usual.Wait()
	highest, killed := stopWatch()
	lost := 0
	for i := range counts {
		w.notef("%s", counts[i].String())
		lost += counts[i].lost
	}
	w.notef("highest memory %.1f MB", highest)
	if killed {
		return fmt.Sprintf("%.1f MB of %d MB, lost %d", highest, memory, lost), nil
	}
	return "", nil
}
