package torture

import "time"

// Summary holds the results of a scenario, as fractions of its batches unless stated otherwise.
type Summary struct {
	Returned, Rejected, Errored float64
	Dispatches                  float64 // per batch
	ColdBudget                  Usage   // of the capacity of cold engines
	Probes                      ProbeStats

	scenarios float64
}

// Summary summarizes the scenario.
func (r *Result) Summary() (f Summary) {
	f.scenarios = 1
	answered := 0.0
	for _, b := range r.Batches {
		if len(b.Answers) == 0 {
			continue
		}
		answered++
		switch b.Answers[0].Code {
		case 0:
			f.Returned++
		case codeRejected:
			f.Rejected++
		default:
			f.Errored++
		}
	}
	all := max(float64(len(r.Batches)), 1)
	f.Returned, f.Rejected, f.Errored = f.Returned/all, f.Rejected/all, f.Errored/all
	f.Dispatches = float64(len(r.Runs)) / all
	f.ColdBudget, f.Probes = r.Usages()[0], r.ProbeStats()
	return f
}

// Add adds the summary of another scenario. Mean then returns the means.
func (f *Summary) Add(other Summary) {
	f.Returned, f.Rejected, f.Errored = f.Returned+other.Returned, f.Rejected+other.Rejected, f.Errored+other.Errored
	f.Dispatches += other.Dispatches
	f.ColdBudget.Mean, f.ColdBudget.AllRunning, f.ColdBudget.SomeDown = f.ColdBudget.Mean+other.ColdBudget.Mean,
		f.ColdBudget.AllRunning+other.ColdBudget.AllRunning, f.ColdBudget.SomeDown+other.ColdBudget.SomeDown
	f.ColdBudget.Max = max(f.ColdBudget.Max, other.ColdBudget.Max)
	f.Probes.Mean, f.Probes.LongestGap = f.Probes.Mean+other.Probes.Mean, max(f.Probes.LongestGap, other.Probes.LongestGap)
	f.scenarios += other.scenarios
}

// Mean returns the means of the added summaries; maxima stay maxima.
func (f Summary) Mean() Summary {
	for _, value := range []*float64{&f.Returned, &f.Rejected, &f.Errored, &f.Dispatches, &f.ColdBudget.Mean,
		&f.ColdBudget.AllRunning, &f.ColdBudget.SomeDown, &f.Probes.Mean} {
		*value /= max(f.scenarios, 1)
	}
	return f
}

// ReplacementScript returns a script without randomness: from the first second until one second before the end, an engine is
// replaced every 1.5 seconds, so that half of the engines are always in cold start. If killed is set, half of the routers
// (Selector 1 of KillMany) are killed after a third of the duration and restarted half the duration later, at 5/6 of it.
// The parameter routers is not used.
func ReplacementScript(duration time.Duration, routers int, killed bool) (out []Step) {
	for at := time.Second; at < duration-time.Second; at += 1500 * time.Millisecond {
		out = append(out, Step{At: at, Fault: EngineReplaced, Selector: int(at / time.Second)})
	}
	if killed {
		for i := 0; i < len(out); i++ {
			if out[i].At >= duration/3 {
				out = append(out[:i:i], append([]Step{{At: duration / 3, Fault: KillMany, Duration: duration / 2, Selector: 1}}, out[i:]...)...)
				break
			}
		}
	}
	return out
}
