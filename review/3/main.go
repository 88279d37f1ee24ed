// Command case3 plays case 3; claim.txt says what it shows.
package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/standin"
	"pitchfield/review/stage"
)

const (
	engineCount = 6
	clientCount = 8
	loads       = 6               // one after another while the reports run
	openReports = 4               // on each client's connection; the pages allow 32
	reportWork  = 3 * time.Second // the pages: 2,200 to 4,700 ms on average, on two threads
	uploadWork  = 200 * time.Millisecond
	uploadBytes = 150_000 // of a statement; the pages: a frame has 262,144 bytes at most
	playFor     = 40 * time.Second
	memoryMB    = 64      // the pages: 32 to 192 MB
	descriptors = 512     // the pages: 256 to 1,024
	badClients  = 120     // the pages: many, hundreds; all clients hold a third of the descriptors at most: 170
	badBytes    = 250_000 // what a bad client sends of a message whose end never comes
	badFrom     = 5 * time.Second
	badFor      = 3 * time.Second // of one wave
	badEvery    = 7 * time.Second
	waves       = 4
	lateness    = 500 * time.Millisecond // the pages: up to half a second after its time an answer only earns nothing
)

// began tells where a request runs, by its id.
var began sync.Map

type totals struct{ taken, answered, refused, failed, lost atomic.Int64 }

// client is a usual client: it asks some reports at a time, and sends a load while they run.
func client(s *stage.Stage, router *stage.Router, number int, until time.Time, t *totals) {
	for round := 0; time.Now().Before(until) && !router.HasEnded(); round++ {
		c, err := stage.Connect(router.Address)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var open []*stage.Request
		send := func(class string, left time.Duration, statement string, fields ...string) {
			if r, err := c.Send(class, left, statement, fields...); err == nil {
				t.taken.Add(1)
				open = append(open, r)
			} else {
				s.Note("client %d: %s %s could not be written whole, so it is not taken: %v", number, class, r.ID, err)
			}
		}
		for i := range openReports {
			send("report", 15*time.Second, fmt.Sprintf("SELECT * FROM sales_%d.orders WHERE n=%d", number, i))
		}
		for n := range loads {
			time.Sleep(time.Duration(300+20*number) * time.Millisecond)
			if ended, _ := c.HasEnded(); ended || len(open) < openReports {
				break
			}
			send("upload", 25*time.Second, fmt.Sprintf("INSERT INTO sales_%d.readings VALUES ", number)+strings.Repeat("(1,2,3),", uploadBytes/8)+"(1,2,3)",
				"k", fmt.Sprintf("%016x%08x%08x", number, round, n), "o", fmt.Sprintf("%08x%08x", number, n))
		}
		for _, r := range open {
			c.Await(r, r.Deadline.Add(lateness))
		}
		time.Sleep(20 * time.Millisecond) // a second answer would come about now
		ended, how := c.HasEnded()
		refused := false
		for _, r := range open {
			answers := c.Answers(r)
			switch {
			case len(answers) > 1:
				s.Break("client %d: %s %s got %d answers", number, r.Class, r.ID, len(answers))
			case len(answers) == 1 && answers[0].Code == 0:
				t.answered.Add(1)
				if answers[0].Body != stage.Page(&stage.Fetch{ID: r.ID}) {
					s.Break("client %d: %s %s got a foreign answer", number, r.Class, r.ID)
				}
			case len(answers) == 1 && answers[0].Code == 11:
				t.refused.Add(1)
				refused = true
			case len(answers) == 1:
				t.failed.Add(1)
			case r.Class == "upload" && ended && c.EndedAt.Sub(r.Written) < 50*time.Millisecond:
				// It may have crossed the close; only what was open and read for sure is counted.
				s.Note("client %d: load %s crossed the end of its connection", number, r.ID)
			default:
				t.lost.Add(1)
				at, _ := began.Load(r.ID)
				s.Break("client %d: %s %s, %s, was written %d ms before the end of its connection (ended %t: %v) and has no answer", number, r.Class, r.ID,
					at, c.EndedAt.Sub(r.Written).Milliseconds(), ended, errors.Unwrap(how))
			}
		}
		c.Close()
		if refused {
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// badClient sends a message whose end never comes, waits until the router closes, and comes again.
func badClient(address string, until time.Time, rounds *atomic.Int64) {
	frame := binary.LittleEndian.AppendUint32(nil, 262_144)
	frame = binary.LittleEndian.AppendUint32(append(frame, 10), 1)
	frame = append(frame, make([]byte, badBytes)...)
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			rounds.Add(1)
			c.SetDeadline(time.Now().Add(6 * time.Second)) //nolint:errcheck // the calls fail too
			c.Write(frame)                                 //nolint:errcheck // the router may close at any time
			for buffer := make([]byte, 512); ; {
				if _, err := c.Read(buffer); err != nil {
					break
				}
			}
			c.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func play(s *stage.Stage) error {
	names, err := standin.NewNameService("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.AtEnd(func() { names.Close() })
	var hosts []standin.Host
	for i := range engineCount {
		e := &stage.Engine{Came: func(f *stage.Fetch) { began.Store(f.ID, "which runs at "+f.Engine) }, Work: func(f *stage.Fetch) time.Duration {
			if f.Fields["queue"] == "upload" {
				return uploadWork
			}
			return reportWork
		}}
		if err := stage.StartEngine(fmt.Sprintf("s-%d", i+1), e); err != nil {
			return err
		}
		s.AtEnd(func() { e.Close() })
		hosts = append(hosts, e.Host("brno-hall", "std-8"))
	}
	names.Set(hosts...)
	router, err := s.StartRouter(stage.Options{Settings: stage.Platform, MemoryMB: memoryMB, Descriptors: descriptors, Names: names})
	if err != nil {
		return err
	}
	until := time.Now().Add(playFor)
	var all sync.WaitGroup
	var t totals
	for i := range clientCount {
		all.Go(func() { client(s, router, i+1, until, &t) })
	}
	var rounds atomic.Int64
	if s.Trouble {
		time.Sleep(badFrom)
		for range waves {
			s.Note("%d bad clients come, for %s", badClients, badFor)
			end := time.Now().Add(badFor)
			for range badClients {
				all.Go(func() { badClient(router.Address, end, &rounds) })
			}
			time.Sleep(badEvery)
		}
	}
	all.Wait()
	s.Note("bad connections: %d", rounds.Load())
	s.Note("requests of usual clients: %d taken, %d served, %d refused, %d failed, %d lost", t.taken.Load(), t.answered.Load(),
		t.refused.Load(), t.failed.Load(), t.lost.Load())
	if router.HasEnded() {
		s.Break("the router has ended: %s", router.Status)
	}
	if t.answered.Load() < 50 {
		return fmt.Errorf("only %d requests were served", t.answered.Load())
	}
	return nil
}

func main() { stage.Run(play) }
