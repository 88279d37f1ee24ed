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

// Settings of Try.
const (
	tryReplyTimeout  = 8 * time.Second // for one batch
	tryClients       = 4               // of each protocol
	tryRounds        = 4
	tryRoundPause    = 2 * time.Second // long enough for ejected engines to be tried again
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// pairingStats describes the batches that clients of one protocol had served by engines of one protocol.
type pairingStats struct {
	clients, engines string
	batches          int
	latencies        *hdrhistogram.Histogram // microseconds
}

// tryResults collects the statistics of each pairing and the failures. Its methods may be called concurrently.
// Pairings are keyed by client protocol and engine protocol.
type tryResults struct {
	mutex    sync.Mutex
	pairings map[[2]string]*pairingStats
	failures []string
}

// recordServed counts a served batch. The engine's protocol is the part of its name before the first hyphen.
func (t *tryResults) recordServed(client, engineName string, latency time.Duration) {
	engine, _, _ := strings.Cut(engineName, "-")
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pairings[[2]string{client, engine}]
	if p == nil {
		p = &pairingStats{clients: client, engines: engine, latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
		t.pairings[[2]string{client, engine}] = p
	}
	p.batches++
	p.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros)) //nolint:errcheck
}

// recordFailure keeps a formatted failure message.
func (t *tryResults) recordFailure(format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// Try sends the given number of batches over each client protocol and writes a table of latencies to out, with one line for
// each pairing of client protocol and engine protocol. It repeats this for up to four rounds until each pairing has served a
// batch. It returns an error if a pairing served none or if a batch did not succeed.
func Try(env *Environment, batches int, out io.Writer) error {
	results := &tryResults{pairings: map[[2]string]*pairingStats{}}
	for round := range tryRounds {
		if round > 0 { // on a busy machine engines may have been ejected as unresponsive; they return after some seconds
			time.Sleep(tryRoundPause)
		}
		var clients sync.WaitGroup
		for i := range tryClients {
			clients.Go(func() { results.runFrames(env, round*tryClients+i, batches/tryClients) })
			clients.Go(func() { results.runTDS(env, round*tryClients+i, batches/tryClients) })
		}
		clients.Wait()
		if len(results.pairings) == 4 || len(results.failures) > 0 {
			break
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "clients\tengines\tbatches\tmean ms\t50% ms\t99% ms\tworst ms")
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for _, client := range []string{"frames", "tds"} {
		for _, engine := range []string{"resp", "tds"} {
			p := results.pairings[[2]string{client, engine}]
			if p == nil {
				results.recordFailure("no batch of %s went to an engine that speaks %s", client, engine)
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", client, engine, p.batches, p.latencies.Mean()/1000,
				ms(p.latencies.ValueAtQuantile(50)), ms(p.latencies.ValueAtQuantile(99)), ms(p.latencies.Max()))
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	if len(results.failures) > 0 {
		return errors.New(strings.Join(results.failures, "; "))
	}
	return nil
}

// tryText returns the text of the n-th batch of client i.
func tryText(client string, i, n int) string {
	return fmt.Sprintf("SELECT %d AS n, '%s' FROM sales_%d.orders", n, client, i*7+n%11)
}

// runFrames sends batches one after another over the frame protocol and records them; it stops at the first failure.
func (t *tryResults) runFrames(env *Environment, clientNumber, batches int) {
	c, err := standin.Dial(env.FrameAddress)
	if err != nil {
		t.recordFailure("%s", err)
		return
	}
	defer c.Close()
	for n := range batches {
		began := time.Now()
		if err := c.SendBatch(uint32(n+1), "lookup", fmt.Sprintf("%08x%08x", clientNumber+1, n), 4*time.Second, tryText("frames", clientNumber, n)); err != nil {
			t.recordFailure("frames: %s", err)
			return
		}
		a, err := c.ReadFrame(tryReplyTimeout)
		if err != nil || a.Code != 0 {
			t.recordFailure("frames: batch %d: code %d %v", n, a.Code, err)
			return
		}
		t.recordServed("frames", a.Body, time.Since(began))
	}
}

// runTDS sends batches one after another over TDS and records them; it stops at the first failure.
func (t *tryResults) runTDS(env *Environment, clientNumber, batches int) {
	c, err := standin.DialTDS(env.TDSAddress, User, Password, Database, tryReplyTimeout)
	if err != nil {
		t.recordFailure("%s", err)
		return
	}
	defer c.Close()
	for n := range batches {
		began := time.Now()
		if err := c.Send("/* pitchfield group=lookup */ " + tryText("tds", clientNumber, n)); err != nil {
			t.recordFailure("tds: %s", err)
			return
		}
		a, err := c.ReadReply(tryReplyTimeout)
		if err != nil || a.Word != traffic.ReplyComplete || len(a.Lines) != 1 {
			t.recordFailure("tds: batch %d: %s %v", n, a.Why, err)
			return
		}
		t.recordServed("tds", a.Lines[0], time.Since(began))
	}
}
