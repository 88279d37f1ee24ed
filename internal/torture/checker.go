package torture

import (
	"fmt"
	"strings"
	"time"
)

// Answer is one frame that came for a batch.
type Answer struct {
	At   time.Duration
	Code uint8 // 0 returned, 11 pushed back, 5 errored
	Body string
}

// Batch is what a client knows of one of its own.
type Batch struct {
	ID, Group, Key  string
	Rows            int    // that its result has
	RetryOf         string // id of the batch that it asks for again; empty: none
	Connection      int
	Router          int           // that it came to, and
	Incarnation     int           // which of its starts
	WriteBegan      time.Duration // just before its last byte was written, and
	WriteEnded      time.Duration // just after: on a busy machine far later
	Deadline        time.Duration // when the client stops waiting
	Answers         []Answer
	Cancelled       time.Duration // when the client said that it waits no more; 0: never
	ConnectionEnded time.Duration // when its connection ended while it was open; 0: it did not
	ConnectionError string        // how, as the client saw it

	FirstOnConnection bool // it was the first on its connection
	Resent            bool // it crossed the close of its connection, so its client has sent it once more on a new one

	dataSet  int  // number of its data set
	isResend bool // it is one that was sent again
	// what it was written with, but for its deadline
	fields []string
	text   string
}

const codeRejected = 11 // code of an answer

// Incarnation is one start of the router.
type Incarnation struct {
	Began      time.Duration
	Terminated time.Duration // SIGTERM; 0: none
	Killed     time.Duration // SIGKILL; 0: none
	Ended      time.Duration // 0: never
	Exit       string        // how it ended
}

// endedUnexpectedly tells of a process that ended before any signal to end, or other than well after SIGTERM.
func (l Incarnation) endedUnexpectedly() bool {
	killed := l.Killed > 0 && l.Killed <= l.Ended
	stopped := l.Terminated > 0 && l.Terminated <= l.Ended && l.Exit == "exit status 0"
	return l.Ended > 0 && !killed && !stopped
}

// Interval is a time in which the router got no processor, or a part of one.
type Interval struct{ From, To time.Duration }

// Finding is a broken rule.
type Finding struct {
	Rule       int
	Text       string
	Batch      string // its id, if it is one batch's
	Connection int    // of the client that lost it; 0: none
	At         time.Duration
}

func (f Finding) String() string { return fmt.Sprintf("rule %d: %s", f.Rule, f.Text) }

// Bounds of what is held against a router. They are wide where a machine may stand still, for verdicts that are the same
// every time: what is looked for is an answer that never comes, not one that is late.
const (
	answerGrace     = 3 * time.Second       // after a client's time for an answer that still counts as one
	closeRaceWindow = 50 * time.Millisecond // a request that crosses the close of a connection with nothing else open is sent again
	maxDispatches   = 3                     // dispatches of a batch

	maxTransit = time.Second     // from a decision to its arrival on a busy machine
	maxPause   = 2 * time.Second // that we put the router in, at the most
)

// Check goes through what clients and engines have seen of a play.
func Check(seen *Result) (out []Finding) {
	batches := seen.Batches
	found := func(rule int, b *Batch, at time.Duration, format string, args ...any) {
		f := Finding{Rule: rule, Text: fmt.Sprintf(format, args...), At: at}
		if b != nil {
			f.Batch, f.Connection = b.ID, b.Connection
		}
		out = append(out, f)
	}
	for _, r := range seen.Routers {
		for i, l := range r.Incarnations {
			if l.Terminated > 0 && l.Killed > l.Terminated && r.pausedWithin(l.Terminated, l.Killed) == 0 {
				found(0, nil, l.Terminated, "start %d of %s had to be killed %.3f s after SIGTERM", i, r.Name, (l.Killed - l.Terminated).Seconds())
			}
			if l.endedUnexpectedly() {
				found(0, nil, l.Ended, "start %d of %s ended at %.3f s: %s", i, r.Name, l.Ended.Seconds(), l.Exit)
			}
		}
	}
	seen.Excused = map[Excuse]int{}
	for _, b := range batches {
		lost, excuse := b.lossOrExcuse(seen.Routers[b.Router])
		if excuse != NotExcused {
			seen.Excused[excuse]++
		}
		if lost != "" {
			found(1, b, b.Deadline, "%s (%s, %s, connection %d, written at %.3f s, due %.3f s) %s", b.ID, b.Group, seen.Routers[b.Router].Name, b.Connection, b.WriteBegan.Seconds(),
				b.Deadline.Seconds(), lost)
		}
		if len(b.Answers) > 1 {
			found(1, b, b.Answers[1].At, "%s has %d answers", b.ID, len(b.Answers))
		}
		if len(b.Answers) == 1 && b.Answers[0].Code == 0 {
			if wrong := b.resultError(); wrong != "" {
				found(1, b, b.Answers[0].At, "%s is answered with what no engine made for it: %s", b.ID, wrong)
			}
		}
	}
	c := newDispatchChecker(seen)
	c.checkEffects()
	c.checkDraining()
	c.checkKeyOrder()
	c.checkPlacement()
	c.checkBudgets()
	c.checkConcurrency()
	c.checkEndedClients()
	c.checkDeadlines()
	c.checkNoOverlap()
	return append(out, c.findings...)
}

// resultError holds a result against what the stand-ins make: rows in order, of one engine.
func (b *Batch) resultError() string {
	lines := strings.Split(strings.TrimSuffix(b.Answers[0].Body, "\n"), "\n")
	if len(lines) != max(b.Rows, 1) {
		return fmt.Sprintf("%d rows of %d", len(lines), b.Rows)
	}
	engine, _, _ := strings.Cut(lines[0], "\t")
	for i, line := range lines {
		if want := fmt.Sprintf("%s\t%s\trow %d", engine, b.Group, i); line != want {
			return fmt.Sprintf("%.60q in place of %q", line, want)
		}
	}
	return ""
}
