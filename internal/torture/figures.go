package torture

import "time"

// Summary are what a play came to, as shares of its batches where nothing else is said.
type Summary struct {
	Returned, Rejected, Errored float64
	Dispatches                  float64 // a batch
	ColdBudget                  Usage   // of what cold engines bear
	Probes                      ProbeStats

	scenarios float64
}

// Summary sums up a play.
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

// Add adds another play's; Mean then gives the means of all.
func (f *Summary) Add(o Summary) {
	f.Returned, f.Rejected, f.Errored = f.Returned+o.Returned, f.Rejected+o.Rejected, f.Errored+o.Errored
	f.Dispatches += o.Dispatches
	f.ColdBudget.Mean, f.ColdBudget.AllRunning, f.ColdBudget.SomeDown = f.ColdBudget.Mean+o.ColdBudget.Mean, f.ColdBudget.AllRunning+o.ColdBudget.AllRunning, f.ColdBudget.SomeDown+o.ColdBudget.SomeDown
	f.ColdBudget.Max = max(f.ColdBudget.Max, o.ColdBudget.Max)
	f.Probes.Mean, f.Probes.LongestGap = f.Probes.Mean+o.Probes.Mean, max(f.Probes.LongestGap, o.Probes.LongestGap)
	f.scenarios += o.scenarios
}

// Mean gives the means of what was added; the most stays the most.
func (f Summary) Mean() Summary {
	for _, v := range []*float64{&f.Returned, &f.Rejected, &f.Errored, &f.Dispatches, &f.ColdBudget.Mean, &f.ColdBudget.AllRunning, &f.ColdBudget.SomeDown, &f.Probes.Mean} {
		*v /= max(f.scenarios, 1)
	}
	return f
}

// ReplacementScript is a script without chance: an engine is replaced every second, so that one in two is cold all the time; if
// killed, half of the routers die a third of the way through and come back at the end.
func ReplacementScript(long time.Duration, routers int, killed bool) (out []Step) {
	for at := time.Second; at < long-time.Second; at += 1500 * time.Millisecond {
		out = append(out, Step{At: at, Fault: EngineReplaced, Selector: int(at / time.Second)})
	}
	if killed {
		for i := 0; i < len(out); i++ {
			if out[i].At >= long/3 {
				out = append(out[:i:i], append([]Step{{At: long / 3, Fault: KillMany, Duration: long / 2, Selector: 1}}, out[i:]...)...)
				break
			}
		}
	}
	return out
}
