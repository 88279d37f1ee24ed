package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/standin"
)

// logins: hundreds of clients log in with a wrong password, and again as soon as they are turned away. The usual clients have the
// right one.
func logins(w *world) (string, error) {
	const (
		memory      = 64
		descriptors = 1024
		bad         = 300 // with the usual ones fewer than a third of the descriptors
		floods      = 15 * time.Second
		patience    = 5 * time.Second  // of a usual client for its login
		watched     = 35 * time.Second // after the last wrong login
		allowed     = 20 * time.Second // from then until a usual client is let in
	)
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 20 * time.Millisecond} }}
	if err := w.startEngines(2, 0, fleet); err != nil {
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
	var mutex sync.Mutex
	var ins []time.Time // when a usual client was let in
	var tries, failures atomic.Int64
	stop := make(chan struct{})
	var usual sync.WaitGroup
	for range 5 {
		usual.Add(1)
		go func() {
			defer usual.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				tries.Add(1)
				began := time.Now()
				c, err := standin.DialTDS(r.tds, user, password, "", patience)
				if err != nil {
					failures.Add(1)
					w.notef(" . usual client not let in after %.2f s: %v", time.Since(began).Seconds(), err)
					continue
				}
				mutex.Lock()
				ins = append(ins, time.Now())
				mutex.Unlock()
				if c.Send("SELECT 7 FROM sales_17.orders") == nil {
					c.ReadReply(5 * time.Second) //nolint:errcheck
				}
				c.Close()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	w.notef("before: usual clients tried %d times, not let in %d times", tries.Load(), failures.Load())
	tries.Store(0)
	failures.Store(0)
	if w.trouble {
		end := time.Now().Add(floods)
		var all sync.WaitGroup
		var refused, closed, other atomic.Int64
		for range bad {
			all.Add(1)
			go func() {
				defer all.Done()
				for time.Now().Before(end) {
					c, err := standin.DialTDS(r.tds, user, "an old password", "", 6*time.Second)
					switch {
					case err == nil:
						c.Close()
					case strings.Contains(err.Error(), "Login failed"):
						refused.Add(1)
					case strings.Contains(err.Error(), "EOF"), strings.Contains(err.Error(), "reset"):
						closed.Add(1)
					default:
						other.Add(1)
						time.Sleep(10 * time.Millisecond)
					}
				}
			}()
		}
		all.Wait()
		w.notef("the wrong logins have ended: %d refused, %d closed, %d other", refused.Load(), closed.Load(), other.Load())
	} else {
		time.Sleep(floods)
	}
	ended := time.Now()
	w.notef("during: usual clients tried %d times, not let in %d times; %.1f MB", tries.Load(), failures.Load(), r.memory())
	tries.Store(0)
	failures.Store(0)
	time.Sleep(watched)
	close(stop)
	usual.Wait()
	highest, killed := stopWatch()
	w.notef("after: usual clients tried %d times, not let in %d times; highest memory %.1f MB", tries.Load(), failures.Load(), highest)
	mutex.Lock()
	defer mutex.Unlock()
	for _, at := range ins {
		if at.After(ended) {
			if waited := at.Sub(ended); waited > allowed {
				return fmt.Sprintf("no usual client was let in for %.1f s after the last wrong login", waited.Seconds()), nil
			}
			w.notef("the first usual client was let in %.1f s after the last wrong login", at.Sub(ended).Seconds())
			return "", nil
		}
	}
	if killed {
		return fmt.Sprintf("%.1f MB of %d MB: over its memory limit the router is killed", highest, memory), nil
	}
	return fmt.Sprintf("no usual client was let in from the last wrong login until %.0f s after it, of %d tries", watched.Seconds(), tries.Load()), nil
}
