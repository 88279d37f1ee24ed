package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
)

// inline: one TDS client sends one statement of less than 256 KB, as the operators' page allows, in which one parameter occurs many
// times. The engines speak RESP, so the router writes the parameter's value into the text. The router must stay below its memory
// limit, since the platform kills it above.
func inline(w *world) (string, error) {
	const (
		memory      = 192 // the most that a router has
		descriptors = 1024
		size        = 100000 // characters of the parameter: 200 KB of the message
		occurrences = 2000   // of its name in the text: 44 KB of the message
	)
	fleet := &standin.Fleet{CancelsOnClose: true, Script: func(standin.Run, int) standin.Step { return standin.Step{After: 100 * time.Millisecond} }}
	if err := w.startEngines(3, 0, fleet); err != nil {
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
	counts := make([]usualClient, 8)
	for i := range counts {
		usual.Add(1)
		go func() {
			defer usual.Done()
			counts[i].run(w, r.frames, "lookup", 4*time.Second, 10*time.Millisecond, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	c, err := standin.DialTDS(r.tds, user, password, "", 5*time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	text := "SELECT id FROM sales_17.orders WHERE a = @list" + strings.Repeat(" OR a=@list", occurrences-1)
	value := strings.Repeat("x", size)
	if !w.trouble {
		text = "SELECT id FROM sales_17.orders WHERE a = @list" // the same parameter, once
	}
	w.notef("a statement with a text of %d characters and a parameter of %d characters is sent, %.1f MB in use", len(text), size, r.memory())
	if err := c.Send(text, rows.Parameter{Column: rows.Column{Name: "@list", Type: rows.Type{Kind: rows.Text}}, Value: []byte(value)}); err != nil {
		return "", err
	}
	reply, err := c.ReadReply(8 * time.Second)
	w.notef("its answer: %s %s, error %v", word(reply.Word), reply.Why, err)
	time.Sleep(2 * time.Second)
	ended := r.hasEnded()
	close(stop)
	usual.Wait()
	highest, killed := stopWatch()
	lost := 0
	for i := range counts {
		w.notef("%s", counts[i].String())
		lost += counts[i].lost
	}
	w.notef("highest memory %.1f MB", highest)
	switch {
	case killed:
		return fmt.Sprintf("one statement took the router to %.1f MB of %d MB: it is killed (%d requests of usual clients were open for longer than 50 ms)", highest, memory, lost), nil
	case ended:
		return "the router has ended", nil
	case lost > 0:
		return fmt.Sprintf("%d requests of usual clients have no answer", lost), nil
	}
	return "", nil
}
