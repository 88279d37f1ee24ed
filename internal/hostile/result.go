package hostile

import (
	"fmt"
	"strings"
	"time"

	"pitchfield/internal/standin"
)

// Bounds of the protocol page and the standing test.
const (
	// answerGrace is how long after its time a request may be answered at the latest.
	answerGrace = 600 * time.Millisecond
	// crossingGrace is how long before the end of its connection a request may have been sent that nobody answers: 50 ms, and
	// the 50 ms that each limit is longer on sockets. It is sent again on a new connection, once;
	// while more clients are connected than the pages have, whenever that happens.
	crossingGrace = 100 * time.Millisecond
	// lagWakeups is how often a goroutine of an engine has to wake up until it has read a request.
	lagWakeups = 3
	// toldGrace is how long after the list has told of a change a router may act by the list before.
	toldGrace = 300 * time.Millisecond
	// latestTold is how long after a change of the engines it counts as told at the latest.
	latestTold = 1500 * time.Millisecond
	// departureGrace is how long after its client has left an attempt may still begin.
	departureGrace = 100 * time.Millisecond
)

// Result is what a play has seen.
type Result struct {
	Requests, Served, Refused, Failed int           // of usual clients
	Crossed                           int           // of usual clients, sent while the connection was closed
	Late, Lost                        int           // answers after answerGrace; requests without an answer
	MaxDelay                          time.Duration // longest wait for an answer
	TroubleRequests, Reconnects       int           // of the clients that cause trouble
	RunsAfterDeparture, RunsTwice     int
	RunsInWrongZone                   int           // requests whose group runs in one zone alone
	Lag                               time.Duration // longest time by which the play itself was late
	Ended                             bool          // the process ended by itself
	PeakMB                            float64       // highest resident memory of the process
	Findings                          []string
}

// checkRuns looks for requests that ran twice although they must not, for those that began after their client had left, and for
// those that ran in a zone where they must not. A process that has replaced an engine counts once the list has told of it: before
// that a router can't tell the two apart.
func (r *Result) checkRuns(runs []standin.Run, departures, told map[string]time.Time) {
	count, zones := map[string]int{}, map[string]string{}
	for _, run := range runs {
		if left, gone := departures[run.ID]; gone && run.Began.Sub(left) > departureGrace+lagWakeups*r.Lag {
			r.RunsAfterDeparture++
			r.find("%s began %s after its client had left", run.ID, run.Began.Sub(left).Round(time.Millisecond))
		}
		zone, _, _ := strings.Cut(run.Engine, "-")
		if at, replaced := told[run.Engine]; replaced && run.Began.Before(at.Add(toldGrace)) {
			continue
		}
		if run.Group == "report" && zone != reportZone {
			r.RunsInWrongZone++
			r.find("%s of the group report ran at %s", run.ID, run.Engine)
		}
		if first := zones[run.Mark]; run.Mark != "" && first == "" {
			zones[run.Mark] = zone
		} else if run.Mark != "" && first != zone {
			r.RunsTwice++
			r.find("%s ran in two zones, the second time at %s", run.ID, run.Engine)
		}
		if run.Group == "once" && run.Step.Action != standin.Reject {
			if count[run.ID]++; count[run.ID] == 2 {
				r.RunsTwice++
				r.find("%s ran twice, the second time at %s", run.ID, run.Engine)
			}
		}
	}
}

// maxFindings is how many findings are told.
const maxFindings = 20

// find records a finding.
func (r *Result) find(format string, arguments ...any) {
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, fmt.Sprintf(format, arguments...))
	}
}

// Violations returns how many rules were broken how often; empty: none.
func (r *Result) Violations(memoryMB int) (out []string) {
	add := func(broken bool, format string, arguments ...any) {
		if broken {
			out = append(out, fmt.Sprintf(format, arguments...))
		}
	}
	add(r.Ended, "the process ended by itself")
	add(r.PeakMB > float64(memoryMB), "%.1f MB of %d MB", r.PeakMB, memoryMB)
	add(r.Lost > 0, "%d requests lost", r.Lost)
	add(r.Late > 0, "%d answers late", r.Late)
	add(r.RunsAfterDeparture > 0, "%d attempts began after their client had left", r.RunsAfterDeparture)
	add(r.RunsTwice > 0, "%d requests ran twice", r.RunsTwice)
	add(r.RunsInWrongZone > 0, "%d requests ran in a wrong zone", r.RunsInWrongZone)
	return out
}

// String tells the result in a line.
func (r *Result) String() string {
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d crossed an end, %d late, %d lost, longest %s; trouble: %d requests, %d connections; "+
		"%d after departure, %d twice, %d in a wrong zone; %.1f MB, ended %t, play late by %s", r.Requests, r.Served, r.Refused, r.Failed, r.Crossed, r.Late, r.Lost,
		r.MaxDelay.Round(time.Millisecond), r.TroubleRequests, r.Reconnects, r.RunsAfterDeparture, r.RunsTwice, r.RunsInWrongZone, r.PeakMB, r.Ended, r.Lag.Round(time.Millisecond))
}
