package torture

import (
	"fmt"
	"strings"
	"time"

	"pitchfield/internal/standin"
)

// Result is what came of a play.
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
	History      map[int][]string // of clients' connections, by number: the last that happened on each
	Logs         []string         // files of the routers' lines
	Began        time.Time
	Duration     time.Duration
	SharedLimits bool           // by what is divided beside the work of cold engines
	Soak         bool           // clients went on using open connections until a kill
	FailedCalls  int            // system calls, on purpose
	Excused      map[Excuse]int // requests without an answer that nobody owes; the checker counts them
	RigStalls    []Interval     // when the machine gave the rig no turn
}

// maxExcusedShare is the share of the requests that may be excused in a play; with more of them it shows nothing.
const maxExcusedShare = 0.1

// Conclusive tells whether enough of the requests counted.
func (r *Result) Conclusive() bool {
	return float64(r.excused()) <= maxExcusedShare*float64(len(r.Batches))
}

func (r *Result) excused() (n int) {
	for _, count := range r.Excused {
		n += count
	}
	return n
}

// Counts sums up the answers by code, and what had none.
func (r *Result) Counts() string {
	returned, pushed, errored, none := 0, 0, 0, 0
	for _, b := range r.Batches {
		switch {
		case len(b.Answers) == 0:
			none++
		case b.Answers[0].Code == 0:
			returned++
		case b.Answers[0].Code == 11:
			pushed++
		default:
			errored++
		}
	}
	starts := 0
	for _, one := range r.Routers {
		starts += len(one.Incarnations)
	}
	var excused []string
	for e := ClientCancelled; e < excuseCount; e++ {
		excused = append(excused, fmt.Sprintf("%d %s", r.Excused[e], e))
	}
	return fmt.Sprintf("%d batches: %d returned, %d pushed back, %d errored, %d without an answer; %.3f excused: %s; %d starts, %d steps, %d system calls failed",
		len(r.Batches), returned, pushed, errored, none, float64(r.excused())/max(float64(len(r.Batches)), 1), strings.Join(excused, ", "),
		starts, len(r.Steps), r.FailedCalls)
}
