package main

import (
	"fmt"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// fleetLimit: three routers divide a concurrency of one dispatch out in all. One engine hangs with that dispatch, whose client
// waits longer than its group's time limit, as its comment says. Meanwhile clients of another router ask for the same. No two
// dispatches may be out at a time.
func fleetLimit(w *world) (string, error) {
	const (
		routers   = 3
		tolerance = 150 * time.Millisecond // of the overlap of two dispatches: the 50 ms of the sockets' rules and more
		hang      = 12 * time.Second
		limit     = "9s" // how long the first client waits
	)
	var mutex sync.Mutex
	hung, hangEnds := "", time.Time{} // the engine that hangs, and until when
	fleet := &standin.Fleet{CancelsOnClose: true, Script: func(r standin.Run, _ int) standin.Step {
		mutex.Lock()
		defer mutex.Unlock()
		if w.trouble && hung == "" && r.Group == "load" {
			hung, hangEnds = r.Engine, time.Now().Add(hang)
			w.notef("%s takes batches and answers none for %s", hung, hang)
		}
		if r.Engine == hung && time.Now().Before(hangEnds) {
			return standin.Step{After: time.Until(hangEnds)}
		}
		return standin.Step{After: 200 * time.Millisecond}
	}}
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
	for i := range routers {
		r, err := w.newRouter(i, routers, 96, 512, func(r *routerProcess) (string, error) {
			text, err := tdsSettings(r.tds, 10)
			return text + fmt.Sprintf(`
[fleet]
name = "review"
listen = %q
seeds = [%q, %q]
networks = ["127.0.0.0/8"]
[shares]
firm = 0.0
keepers = [%q, %q, %q]
[[concurrency]]
name = "loads"
routers = 1
at-bound = "wait"
[[route]]
name = "loads"
group = "load"
concurrency = "loads"
`, talk[i], talk[0], talk[1], talk[0], talk[1], talk[2]), err
		})
		if err != nil {
			return "", err
		}
		if err := w.start(r); err != nil {
			return "", err
		}
	}
	// A keeper that has just started promises nothing for a term, and a new office waits until what may have been given is over.
	time.Sleep(12 * time.Second)
	var all sync.WaitGroup
	begun := make(chan struct{})
	var once sync.Once
	end := time.Now().Add(25 * time.Second)
	ask := func(router int, name, comment string, wait time.Duration) {
		defer all.Done()
		c, err := standin.DialTDS(w.routers[router].tds, user, password, "", 5*time.Second)
		if err != nil {
			w.notef("client %s: %v", name, err)
			return
		}
		defer c.Close()
		for n := 1; time.Now().Before(end); n++ {
			if c.Send(fmt.Sprintf("/* pitchfield group=load %s */ INSERT INTO load_3.t SELECT 'client %s, statement %d'", comment, name, n)) != nil {
				return
			}
			reply, err := c.ReadReply(wait + time.Second)
			if err != nil {
				w.notef("client %s, statement %d: %v", name, n, err)
				return
			}
			w.notef("client %s, statement %d: %s %s", name, n, word(reply.Word), reply.Why)
			time.Sleep(100 * time.Millisecond)
		}
	}
	all.Add(2)
	go ask(0, "a", "limit="+limit, 9*time.Second)
	go func() {
		for range 500 { // until the first dispatch is out
			if len(fleet.Runs()) > 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		once.Do(func() { close(begun) })
	}()
	<-begun
	go ask(1, "b", "", 5*time.Second)
	all.Wait()
	broken := ""
	runs := fleet.Runs()
	for i, r := range runs {
		ended := r.Ended
		if ended.IsZero() {
			ended = time.Now()
		}
		w.notef("run at %s from %.3f to %.3f, canceled %t: %s", r.Engine, r.Began.Sub(w.begun).Seconds(), ended.Sub(w.begun).Seconds(), r.Canceled, r.Text)
		for _, other := range runs[i+1:] {
			if overlap := ended.Sub(other.Began); overlap > tolerance && broken == "" {
				broken = fmt.Sprintf("two dispatches were out at a time for %.2f s or until the second had ended, where 'routers = 1' allows one: %q and %q", overlap.Seconds(), r.Text, other.Text)
			}
		}
	}
	if len(runs) < 2 {
		return "", fmt.Errorf("%d dispatches: the routers have not divided anything", len(runs))
	}
	return broken, nil
}
