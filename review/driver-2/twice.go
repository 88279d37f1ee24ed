package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// twice: one of five TDS engines fails half of its batches for a while, after they have run and returned a row. A batch that must run
// once only must not go out again.
func twice(w *world) (string, error) {
	const lasts = 20 * time.Second // the engine fails batches for so long; the pages allow up to 30 s
	var mutex sync.Mutex
	applied := map[string][]string{} // statement -> the engines that have run it, in order
	var failures atomic.Int64
	failing, orders := "", 0 // the engine that fails batches: the one that gets the tenth order
	answer := func(e *tdsEngine, text string) (*rows.Part, traffic.Code, func([]byte) []byte) {
		_, statement, found := strings.Cut(text, "INSERT")
		if !found { // a probe
			return textRows(1, func(int) [3]string { return [3]string{} }), traffic.Succeeded, nil
		}
		time.Sleep(20 * time.Millisecond)
		statement, _, _ = strings.Cut(statement, "'; ")
		mutex.Lock()
		applied[statement] = append(applied[statement], e.name)
		if orders++; w.trouble && orders == 10 {
			failing = e.name
			w.notef("%s fails half of its batches from now on", failing)
		}
		fails := e.name == failing
		mutex.Unlock()
		inserted := textRows(1, func(int) [3]string { return [3]string{"1", "1", "inserted"} })
		if fails && failures.Add(1)%2 == 0 {
			w.notef("%s has run and fails with error 40501 behind its row: INSERT%s", e.name, statement)
			return inserted, traffic.Rejected, nil
		}
		w.notef(" . %s has run: INSERT%s", e.name, statement)
		return inserted, traffic.Succeeded, nil
	}
	if err := w.startTDSEngines(5, answer); err != nil {
		return "", err
	}
	r, err := w.newRouter(0, 1, 96, 512, func(r *routerProcess) (string, error) { return tdsSettings(r.tds, 10) })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	var served, refused, errored atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(lasts)
	for i := range 12 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := standin.DialTDS(r.tds, user, password, "", 5*time.Second)
			if err != nil {
				w.notef("client %d: %v", i, err)
				return
			}
			defer c.Close()
			for n := 1; time.Now().Before(end); n++ {
				text := fmt.Sprintf("/* pitchfield group=load */ INSERT INTO load_3.orders OUTPUT inserted.id VALUES ('client %d, order %d'); EXEC load_3.book", i, n)
				if c.Send(text) != nil {
					return
				}
				reply, err := c.ReadReply(6 * time.Second)
				switch {
				case err != nil:
					w.notef("client %d, order %d: %v", i, n, err)
					return
				case reply.Word == traffic.ReplyComplete:
					served.Add(1)
				case reply.Word == traffic.ReplyOverloaded:
					refused.Add(1)
					w.notef("client %d, order %d: turned away, so it has not run and may be asked again", i, n)
				default:
					errored.Add(1)
					w.notef(" . client %d, order %d: errored", i, n)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	more, example := 0, ""
	mutex.Lock()
	defer mutex.Unlock()
	for statement, engines := range applied {
		if len(engines) > 1 {
			more++
			example = fmt.Sprintf("INSERT%s at %s", statement, strings.Join(engines, ", then "))
		}
	}
	w.notef("statements served %d, turned away %d, errored %d; failed by one engine %d; %d orders run, %d of them more than once", served.Load(), refused.Load(), errored.Load(), failures.Load()/2, len(applied), more)
	if more > 0 {
		return fmt.Sprintf("%d once-only batches have run more than once, for example %s", more, example), nil
	}
	if served.Load() == 0 {
		return "", fmt.Errorf("no batch was served")
	}
	return "", nil
}
