package rig

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

const (
	tryWithin  = 8 * time.Second // for one batch
	tryClients = 4               // of each protocol
	tryRounds  = 4
	tryAgain   = 2 * time.Second // until engines that were set aside are tried again
	longest    = int64(time.Minute / time.Microsecond)
)

// pairing is what came of the batches of one client protocol on engines of another.
type pairing struct {
	clients, engines string
	batches          int
	times            *hdrhistogram.Histogram // microseconds
}

// tally keeps pairings and what went wrong.
type tally struct {
	mutex sync.Mutex
	pairs map[[2]string]*pairing
	wrong []string
}

func (t *tally) served(client, line string, took time.Duration) {
	engine, _, _ := strings.Cut(line, "-")
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pairs[[2]string{client, engine}]
	if p == nil {
		p = &pairing{clients: client, engines: engine, times: hdrhistogram.New(1, longest, 3)}
		t.pairs[[2]string{client, engine}] = p
	}
	p.batches++
	p.times.RecordValue(min(max(took.Microseconds(), 1), longest)) //nolint:errcheck
}

func (t *tally) failed(format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wrong = append(t.wrong, fmt.Sprintf(format, args...))
}

// Try sends so many batches of each protocol to a world and writes a table with a line for each pairing. It is an error
// if a pairing had none, or a batch was not returned.
func Try(w *World, batches int, out io.Writer) error {
	t := &tally{pairs: map[[2]string]*pairing{}}
	for round := range tryRounds {
		if round > 0 { // on a busy machine engines were taken for silent, and are back after some seconds
			time.Sleep(tryAgain)
		}
		var all sync.WaitGroup
		for i := range tryClients {
			all.Go(func() { t.frames(w, round*tryClients+i, batches/tryClients) })
			all.Go(func() { t.tds(w, round*tryClients+i, batches/tryClients) })
		}
		all.Wait()
		if len(t.pairs) == 4 || len(t.wrong) > 0 {
			break
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "clients\tengines\tbatches\tmean ms\t50% ms\t99% ms\tworst ms")
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for _, client := range []string{"frames", "tds"} {
		for _, engine := range []string{"resp", "tds"} {
			p := t.pairs[[2]string{client, engine}]
			if p == nil {
				t.failed("no batch of %s went to an engine that speaks %s", client, engine)
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", client, engine, p.batches, p.times.Mean()/1000,
				ms(p.times.ValueAtQuantile(50)), ms(p.times.ValueAtQuantile(99)), ms(p.times.Max()))
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if len(t.wrong) > 0 {
		return errors.New(strings.Join(t.wrong, "; "))
	}
	return nil
}

func tryText(client string, i, n int) string {
	return fmt.Sprintf("SELECT %d AS n, '%s' FROM sales_%d.orders", n, client, i*7+n%11)
}

func (t *tally) frames(w *World, i, batches int) {
	c, err := standin.Dial(w.Frames)
	if err != nil {
		t.failed("%s", err)
		return
	}
	defer c.Close()
	for n := range batches {
		began := time.Now()
		if err := c.SendBatch(uint32(n+1), "lookup", fmt.Sprintf("%08x%08x", i+1, n), 4*time.Second, tryText("frames", i, n)); err != nil {
			t.failed("frames: %s", err)
			return
		}
		a, err := c.ReadFrame(tryWithin)
		if err != nil || a.Code != 0 {
			t.failed("frames: batch %d: code %d %v", n, a.Code, err)
			return
		}
		t.served("frames", a.Body, time.Since(began))
	}
}

func (t *tally) tds(w *World, i, batches int) {
	c, err := standin.DialTDS(w.TDS, User, Password, Database, tryWithin)
	if err != nil {
		t.failed("%s", err)
		return
	}
	defer c.Close()
	for n := range batches {
		began := time.Now()
		if err := c.Send("/* pitchfield group=lookup */ " + tryText("tds", i, n)); err != nil {
			t.failed("tds: %s", err)
			return
		}
		a, err := c.ReadReply(tryWithin)
		if err != nil || a.Word != traffic.ReplyComplete || len(a.Lines) != 1 {
			t.failed("tds: batch %d: %s %v", n, a.Why, err)
			return
		}
		t.served("tds", a.Lines[0], time.Since(began))
	}
}
