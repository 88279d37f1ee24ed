package torture

import "time"

// Figures are what a play came to, as shares of its batches where nothing else is said.
type Figures struct {
	Returned, Pushed, Errored float64
	Dispatches                float64 // a batch
	Cold                      Use     // of what cold engines bear
	Probing                   Probing

	plays float64
}

// Figures sums up a play.
func (r *Result) Figures() (f Figures) {
	f.plays = 1
	answered := 0.0
	for _, b := range r.Batches {
		if len(b.Answers) == 0 {
			continue
		}
		answered++
		switch b.Answers[0].Code {
		case 0:
			f.Returned++
		case pushedBack:
			f.Pushed++
		default:
			f.Errored++
		}
	}
	all := max(float64(len(r.Batches)), 1)
	f.Returned, f.Pushed, f.Errored = f.Returned/all, f.Pushed/all, f.Errored/all
	f.Dispatches = float64(len(r.Runs)) / all
	f.Cold, f.Probing = r.Uses()[0], r.Probing()
	return f
}

// Add adds another play's; Mean then gives the means of all.
func (f *Figures) Add(o Figures) {
	f.Returned, f.Pushed, f.Errored = f.Returned+o.Returned, f.Pushed+o.Pushed, f.Errored+o.Errored
	f.Dispatches += o.Dispatches
	f.Cold.Mean, f.Cold.Alive, f.Cold.Dead = f.Cold.Mean+o.Cold.Mean, f.Cold.Alive+o.Cold.Alive, f.Cold.Dead+o.Cold.Dead
	f.Cold.Most = max(f.Cold.Most, o.Cold.Most)
	f.Probing.Mean, f.Probing.Longest = f.Probing.Mean+o.Probing.Mean, max(f.Probing.Longest, o.Probing.Longest)
	f.plays += o.plays
}

// Mean gives the means of what was added; the most stays the most.
func (f Figures) Mean() Figures {
	for _, v := range []*float64{&f.Returned, &f.Pushed, &f.Errored, &f.Dispatches, &f.Cold.Mean, &f.Cold.Alive, &f.Cold.Dead, &f.Probing.Mean} {
		*v /= max(f.plays, 1)
	}
	return f
}

// Replacements is a script without chance: an engine is replaced every second, so that one in two is cold all the time; if
// killed, half of the routers die a third of the way through and come back at the end.
func Replacements(long time.Duration, routers int, killed bool) (out []Step) {
	for at := time.Second; at < long-time.Second; at += 1500 * time.Millisecond {
		out = append(out, Step{At: at, Fault: EngineSwap, Which: int(at / time.Second)})
	}
	if killed {
		for i := 0; i < len(out); i++ {
			if out[i].At >= long/3 {
				out = append(out[:i:i], append([]Step{{At: long / 3, Fault: KillMany, For: long / 2, Which: 1}}, out[i:]...)...)
				break
			}
		}
	}
	return out
}
