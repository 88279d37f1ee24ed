package torture

import (
	"fmt"
	"strings"
	"time"

	"pitchfield/internal/standin"
)

// Result is the record of a scenario.
type Result struct {
	Seed         uint64
	Steps        []Step
	Batches      []*Batch
	Routers      []Router
	Runs         []standin.Run
	Probes       []standin.Probe
	Engines      map[string]Engine // by name
	LinkFaults   []LinkFault
	Findings     []Finding
	History      map[int][]string // last events of the clients' connections, by connection number
	Logs         []string         // paths of the routers' log files
	Began        time.Time
	Duration     time.Duration
	SharedLimits bool           // routers divided limits besides the capacity of cold engines
	Soak         bool           // clients used open connections of a stopping router until its kill
	FailedCalls  int            // system calls that were made to fail
	Excused      map[Excuse]int // requests without an answer that do not count as lost; Check counts them
	RigStalls    []Interval     // when the machine gave the test process no processor time
}

// maxExcusedShare is the largest fraction of requests that may be excused; with more of them a scenario shows nothing.
const maxExcusedShare = 0.1

// Conclusive reports whether few enough requests were excused.
func (r *Result) Conclusive() bool {
	return float64(r.excused()) <= maxExcusedShare*float64(len(r.Batches))
}

// excused is the number of excused requests.
func (r *Result) excused() (n int) {
	for _, count := range r.Excused {
		n += count
	}
	return n
}

// Counts describes the answers by code, the unanswered batches by excuse, and the faults.
func (r *Result) Counts() string {
	returned, rejected, errored, none := 0, 0, 0, 0
	for _, b := range r.Batches {
		switch {
		case len(b.Answers) == 0:
			none++
		case b.Answers[0].Code == 0:
			returned++
		case b.Answers[0].Code == 11:
			rejected++
		default:
			errored++
		}
	}
	starts := 0
	for _, router := range r.Routers {
		starts += len(router.Incarnations)
	}
	var excused []string
	for e := ClientCancelled; e < excuseCount; e++ {
		excused = append(excused, fmt.Sprintf("%d %s", r.Excused[e], e))
	}
	return fmt.Sprintf("%d batches: %d returned, %d pushed back, %d errored, %d without an answer; %.3f excused: %s; %d starts, %d steps, %d system calls failed",
		len(r.Batches), returned, rejected, errored, none, float64(r.excused())/max(float64(len(r.Batches)), 1), strings.Join(excused, ", "),
		starts, len(r.Steps), r.FailedCalls)
}
