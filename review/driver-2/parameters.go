package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// parameters: hundreds of TDS clients ask at once, each for a statement with one large parameter. The router must stay below its
// memory limit, since the platform kills it above.
func parameters(w *world) (string, error) {
	const (
		memory      = 64
		descriptors = 1024
		clients     = 330    // with the usual ones fewer than a third of the descriptors
		size        = 240000 // bytes of the parameter; the whole statement has less than 256 KB
	)
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step {
		return standin.Step{After: 300 * time.Millisecond}
	}}
	if err := w.startEngines(1, 3, fleet); err != nil {
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
	time.Sleep(3 * time.Second)
	if w.trouble {
		connections, err := dialAll(r.tds, clients)
		if err != nil {
			return "", err
		}
		w.notef("%d clients are logged in, %.1f MB in use", clients, r.memory())
		var all sync.WaitGroup
		var words [3]atomic.Int64
		for _, c := range connections {
			all.Add(1)
			go func() {
				defer all.Done()
				defer c.Close()
				value := make([]byte, size)
				for range 3 { // the same again as soon as it is turned away
					if c.Send("INSERT INTO load_3.readings SELECT @v", rows.Parameter{Column: rows.Column{Name: "@v", Type: rows.Type{Kind: rows.Bytes}}, Value: value}) != nil {
						return
					}
					reply, err := c.ReadReply(6 * time.Second)
					if err != nil {
						return
					}
					switch reply.Word {
					case traffic.ReplyComplete:
						words[0].Add(1)
						return
					case traffic.ReplyOverloaded:
						words[1].Add(1)
					default:
						words[2].Add(1)
						return
					}
				}
			}()
		}
		all.Wait()
		w.notef("statements with a parameter: %d served, %d times turned away, %d errored", words[0].Load(), words[1].Load(), words[2].Load())
	} else {
		time.Sleep(8 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	usual.Wait()
	highest, killed := stopWatch()
	lost := 0
	for i := range counts {
		w.notef("%s", counts[i].String())
		lost += counts[i].lost
	}
	w.notef("runs at engines: %d; highest memory %.1f MB", len(fleet.Runs()), highest)
	switch {
	case killed:
		return fmt.Sprintf("%.1f MB of %d MB: over its memory limit the router is killed, and %d requests of usual clients that it had taken have no answer", highest, memory, lost), nil
	case lost > 0:
		return fmt.Sprintf("%d requests of usual clients have no answer", lost), nil
	}
	return "", nil
}
