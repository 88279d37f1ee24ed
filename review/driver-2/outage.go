package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/standin"
)

// outage: the name service answers nothing for a while. An engine begins to drain in that time. Seven seconds later the router
// counts as told, whether or not an answer has arrived, and 250 ms after that nothing new may go to the engine.
func outage(w *world) (string, error) {
	const (
		silent    = 14 * time.Second // the outage
		drainsAt  = 1 * time.Second  // after its begin
		told      = 7 * time.Second
		grace     = 300 * time.Millisecond // stop-sending-within-ms and the 50 ms of the sockets' rules
		tolerance = 200 * time.Millisecond
	)
	var draining atomic.Bool
	fleet := &standin.Fleet{CancelsOnClose: true, Script: func(r standin.Run, _ int) standin.Step {
		if r.Engine == "resp-1" && draining.Load() {
			return standin.Step{Action: standin.Reject} // it completes its work and takes nothing new
		}
		return standin.Step{After: 50 * time.Millisecond}
	}}
	if err := w.startEngines(3, 0, fleet); err != nil {
		return "", err
	}
	r, err := w.newRouter(0, 1, 96, 512, func(*routerProcess) (string, error) { return "", nil })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	counts := make([]usualClient, 4)
	for i := range counts {
		usual.Add(1)
		go func() {
			defer usual.Done()
			counts[i].run(w, r.frames, "lookup", 4*time.Second, 50*time.Millisecond, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.names.SetWithheld(true)
		w.notef("the name service is silent for %s", silent)
	}
	begin := time.Now()
	time.Sleep(drainsAt)
	var hosts []standin.Host
	for _, e := range w.engines {
		h := e.Host()
		h.Draining = h.ID == "resp-1"
		hosts = append(hosts, h)
	}
	draining.Store(true)
	w.names.Set(hosts...)
	drained := time.Now()
	w.notef("resp-1 drains")
	time.Sleep(time.Until(begin.Add(silent)))
	w.names.SetWithheld(false)
	w.notef("the name service answers")
	time.Sleep(2 * time.Second)
	close(stop)
	usual.Wait()
	for i := range counts {
		w.notef("%s", counts[i].String())
	}
	late, sent := 0, 0
	var last time.Duration
	for _, run := range fleet.Runs() {
		if run.Engine != "resp-1" || run.Began.Before(drained) {
			continue
		}
		sent++
		after := run.Began.Sub(drained)
		w.notef(" . sent to resp-1 %.3f s after it began to drain: %s", after.Seconds(), run.ID)
		if after > told+grace+tolerance {
			late++
			last = after
		}
	}
	w.notef("%d requests went to resp-1 after it had begun to drain, %d of them later than %s after it", sent, late, told+grace)
	if late > 0 {
		return fmt.Sprintf("%d requests went to a draining engine later than %s after it had begun to drain, the last %.1f s after it", late, told+grace, last.Seconds()), nil
	}
	return "", nil
}
