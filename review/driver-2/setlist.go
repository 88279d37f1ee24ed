package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/standin"
)

// setList: some TDS clients send a SET statement with a long list of options, and again as soon as it is refused. The usual clients'
// requests have to get their final answers in time.
func setList(w *world) (string, error) {
	const (
		clients = 60
		options = 60000 // of one statement: 240 KB
		lasts   = 20 * time.Second
	)
	fleet := &standin.Fleet{CancelsOnClose: true, Script: func(standin.Run, int) standin.Step { return standin.Step{After: 100 * time.Millisecond} }}
	if err := w.startEngines(3, 0, fleet); err != nil {
		return "", err
	}
	r, err := w.newRouter(0, 1, 192, 1024, func(r *routerProcess) (string, error) { return tdsSettings(r.tds, 10) })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	connections, err := dialAll(r.tds, clients)
	if err != nil {
		return "", err
	}
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
	time.Sleep(3 * time.Second)
	text := "SET A" + strings.Repeat(",A", options-1) + " ON"
	if !w.trouble {
		text = "SET A,A,A ON"
	}
	var refused, ended atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(lasts)
	w.notef("%d clients send a statement of %d characters, again and again for %s", clients, len(text), lasts)
	for _, c := range connections {
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.Close()
			for time.Now().Before(end) {
				if c.Send(text) != nil {
					ended.Add(1)
					return
				}
				if _, err := c.ReadReply(time.Until(end) + time.Second); err != nil {
					ended.Add(1)
					return
				}
				refused.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	close(stop)
	usual.Wait()
	lost := 0
	for i := range counts {
		w.notef("%s", counts[i].String())
		lost += counts[i].lost
	}
	w.notef("SET statements answered: %d, connections that ended or had no answer: %d", refused.Load(), ended.Load())
	if lost > 0 {
		return fmt.Sprintf("%d requests of usual clients had no answer 0.6 s after their time", lost), nil
	}
	return "", nil
}
