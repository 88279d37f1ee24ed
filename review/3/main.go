// Command case3 plays case 3; claim.txt says what it shows.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/standin"
	"pitchfield/review/stage"
)

const (
	engineCount    = 8
	loadWork       = 2500 * time.Millisecond // the pages: 2,300 to 4,700 ms on average, on two threads
	statementBytes = 240_000                 // the pages: a frame has 262,144 bytes at most
	cutFor         = 6 * time.Second         // the pages: 6 s, a fifth of the engines: 1 of 8
	cancelAfter    = time.Second             // of a client, from when it has written
	rounds         = 4
	grace          = 150 * time.Millisecond // the pages: 0.1 s, and 50 ms more on sockets
)

// seen is what engines have seen of a request.
type seen struct {
	mutex sync.Mutex
	came  map[string][]*stage.Fetch
	done  map[string]time.Time
}

func play(s *stage.Stage) error {
	names, err := standin.NewNameService("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.AtEnd(func() { names.Close() })
	log := seen{came: map[string][]*stage.Fetch{}, done: map[string]time.Time{}}
	var way *stage.Proxy // to the first engine
	var hosts []standin.Host
	for i := range engineCount {
		e := &stage.Engine{Work: func(f *stage.Fetch) time.Duration {
			if f.Fields["queue"] == "lookup" {
				return 150 * time.Millisecond
			}
			return loadWork
		}}
		e.Came = func(f *stage.Fetch) {
			log.mutex.Lock()
			defer log.mutex.Unlock()
			log.came[f.ID] = append(log.came[f.ID], f)
			s.Note("%s: request %s of class %s has come whole and begins, %d bytes", f.Engine, f.ID, f.Fields["queue"], len(f.Statement))
		}
		e.Done = func(f *stage.Fetch) {
			log.mutex.Lock()
			defer log.mutex.Unlock()
			log.done[f.ID] = time.Now()
			s.Note("%s: request %s has run to its end", f.Engine, f.ID)
		}
		if err := stage.StartEngine(fmt.Sprintf("s-%d", i+1), 0, e); err != nil {
			return err
		}
		s.AtEnd(func() { e.Close() })
		host := e.Host("brno-hall", "std-8")
		if i == 0 {
			if way, err = stage.StartProxy(s, host.Address); err != nil {
				return err
			}
			host.Address = way.Address
		}
		hosts = append(hosts, host)
	}
	names.Set(hosts...)
	router, err := s.StartRouter(stage.Options{Settings: stage.Platform, MemoryMB: 192, Descriptors: 1024, Names: names})
	if err != nil {
		return err
	}
	number := 0
	var requests []*stage.Request
	for round := range rounds {
		// Some look-ups first, so that the router has connections to all engines.
		if c, err := stage.Connect(router.Address); err == nil {
			for n := range 4 * engineCount {
				c.Send("lookup", 4*time.Second, fmt.Sprintf("SELECT 1 FROM sales_%d.orders", n)) //nolint:errcheck // they serve to connect
			}
			time.Sleep(600 * time.Millisecond)
			c.Close()
		}
		if s.Trouble {
			s.Note("the way to s-1 is cut from now on, for %s", cutFor)
			if err := way.Cut(); err != nil {
				return err
			}
		}
		wake := time.Now().Add(cutFor)
		var clients sync.WaitGroup
		var mutex sync.Mutex
		for range 2 * engineCount {
			number++
			n := number
			clients.Go(func() {
				c, err := stage.Connect(router.Address)
				if err != nil {
					s.Note("can't connect: %v", err)
					return
				}
				defer c.Close()
				r, err := c.Send("upload", 25*time.Second, fmt.Sprintf("INSERT INTO sales_%d.readings VALUES ", n)+strings.Repeat("(1,2,3),", statementBytes/8)+"(1,2,3)",
					"k", fmt.Sprintf("%032x", n), "o", fmt.Sprintf("%016x", n), "h", "2500.0", "mb", "96")
				if err != nil {
					return
				}
				s.Note("a client has written load %s", r.ID)
				mutex.Lock()
				requests = append(requests, r)
				mutex.Unlock()
				time.Sleep(cancelAfter)
				if len(c.Answers(r)) > 0 {
					s.Note("load %s was answered with %d before its client took it back", r.ID, c.Answers(r)[0].Code)
					return
				}
				c.Cancel(r) //nolint:errcheck // the engines tell what became of it
				s.Note("its client has taken load %s back", r.ID)
				time.Sleep(time.Second)
			})
			time.Sleep(150 * time.Millisecond)
		}
		clients.Wait()
		if s.Trouble {
			time.Sleep(time.Until(wake))
			way.Heal()
		}
		time.Sleep(loadWork + 2*time.Second)
		if router.HasEnded() {
			s.Break("the router has ended: %s", router.Status)
			break
		}
		s.Note("round %d is over", round+1)
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	canceled := 0
	for _, r := range requests {
		if r.Canceled.IsZero() {
			continue
		}
		canceled++
		for _, f := range log.came[r.ID] {
			if late := f.At.Sub(r.Canceled); late > grace {
				end := "was given up"
				if at, ran := log.done[r.ID]; ran {
					end = fmt.Sprintf("ran to its end, %d ms after", at.Sub(r.Canceled).Milliseconds())
				}
				s.Break("load %s came whole to %s %d ms after its client had taken it back, and %s", r.ID, f.Engine, late.Milliseconds(), end)
			}
		}
	}
	s.Note("%d loads were written, %d of them taken back", len(requests), canceled)
	if canceled < rounds*engineCount/2 {
		return fmt.Errorf("only %d loads were taken back", canceled)
	}
	return nil
}

func main() { stage.Run(play) }
