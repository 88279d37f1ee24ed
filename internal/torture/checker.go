package torture

import (
	"fmt"
	"strings"
	"time"
)

// Answer is one response frame that a client received for a batch.
type Answer struct {
	At   time.Duration
	Code uint8 // 0 returned, 11 rejected, 5 errored
	Body string
}

// Batch is what a client recorded about one of its requests. Times count from the start of the scenario.
type Batch struct {
	ID, Group, Key  string
	Rows            int    // that its result must have
	RetryOf         string // ID of the batch that this one retries; empty: it is no retry
	Connection      int
	Router          int           // number of the router that it was sent to
	Incarnation     int           // number of the start of that router
	WriteBegan      time.Duration // just before the last byte was written
	WriteEnded      time.Duration // just after the last byte was written: much later on a busy machine
	Deadline        time.Duration // when the client stops waiting
	Answers         []Answer
	Cancelled       time.Duration // when the client wrote its cancellation; 0: never
	ConnectionEnded time.Duration // when its connection ended while the batch was unanswered; 0: it did not
	ConnectionError string        // the read error with which the connection ended

	FirstOnConnection bool // it was the first batch on its connection
	Resent            bool // its connection closed while it was in flight, so its client has sent it again on a new one

	dataSet  int  // number of the data set that it reads
	isResend bool // it is the second transmission of a batch whose connection closed
	// Fields and text of the request frame, except for its deadline.
	fields []string
	text   string
}

const codeRejected = 11 // code of an answer: rejected with a retry delay

// Incarnation is one start of a router: one process of it. Times count from the start of the scenario.
type Incarnation struct {
	Began      time.Duration
	Terminated time.Duration // when SIGTERM was sent; 0: not
	Killed     time.Duration // when SIGKILL was sent; 0: not
	Ended      time.Duration // when the process ended; 0: never
	Exit       string        // exit state of the process
}

// endedUnexpectedly reports whether the process ended without a signal to do so, or with a failure after SIGTERM.
func (l Incarnation) endedUnexpectedly() bool {
	killed := l.Killed > 0 && l.Killed <= l.Ended
	stopped := l.Terminated > 0 && l.Terminated <= l.Ended && l.Exit == "exit status 0"
	return l.Ended > 0 && !killed && !stopped
}

// Interval is a period of the scenario, counted from its start.
type Interval struct{ From, To time.Duration }

// Finding is a violation of a rule that the checker found.
type Finding struct {
	Rule       int
	Text       string
	Batch      string // ID of the batch that it is about; empty: none
	Connection int    // number of the client connection that lost the batch; 0: none
	At         time.Duration
}

func (f Finding) String() string { return fmt.Sprintf("rule %d: %s", f.Rule, f.Text) }

// Tolerances of the checker. They are wide because a busy machine may pause any process, and findings have to be the
// same in every run: the checker looks for answers that never come, not for late ones.
const (
	answerGrace     = 3 * time.Second       // how long after the client's deadline an answer still counts
	closeRaceWindow = 50 * time.Millisecond // a batch written this shortly before its connection closes, with no older one pending there, is sent again
	maxDispatches   = 3                     // attempts per batch

	maxTransit = time.Second     // from a router's decision to its arrival at an engine, on a busy machine
	maxPause   = 2 * time.Second // longest pause of a router that a script injects
)

// Check compares what clients and engines saw during a scenario with the rules and returns the violations. It also
// counts the excused requests in seen.Excused.
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
			found(1, b, b.Deadline, "%s (%s, %s, connection %d, written at %.3f s, due %.3f s) %s", b.ID, b.Group,
				seen.Routers[b.Router].Name, b.Connection, b.WriteBegan.Seconds(),
				b.Deadline.Seconds(), lost)
		}
		if len(b.Answers) > 1 {
			found(1, b, b.Answers[1].At, "%s has %d answers", b.ID, len(b.Answers))
		}
		if len(b.Answers) == 1 && b.Answers[0].Code == 0 {
			if difference := b.resultError(); difference != "" {
				found(1, b, b.Answers[0].At, "%s has a result that no engine produced: %s", b.ID, difference)
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

// resultError compares a result with what the stand-in engines produce, which is all rows in order and from one engine.
// It returns a description of the first difference, or an empty string.
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
