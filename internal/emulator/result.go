package emulator

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// Second is what one second of a day was like.
type Second struct {
	Asked, InGoal float64 // utility of what was asked in it, and of that what came within its goal
	Load          float64 // work that came, by what the engines can do
	Busy          float64 // threads a core
	Levels        []int   // of each router
	Came          int     // batches that routers took, and
	Dispatches    int     // were sent in it
}

// Result is what came of a day.
type Result struct {
	World, Day string
	Seed       uint64
	Service    float64            // utility within goal, of the utility asked
	Groups     map[string]float64 // the same by group
	Asked      int                // requests
	Returned   int                // tries
	PushedBack int
	Errored    int
	Turns      int     // transitions between levels, of all routers
	MostTurns  int     // of one router in a minute
	Amplified  float64 // dispatches for each batch taken, in the worst five seconds
	Away       float64 // share of the time in which a router was at a level of reduced service
	Broken     []string
	Seconds    []Second
	Digest     uint64          // of all that happened
	Tails      map[string]Tail // by group
	Wasted     float64         // work that engines did for nobody, of all that they did
	Copies     int             // dispatches beside one that was out
	Talked     int             // datagrams between routers
	Cold       float64         // work that came to a cold engine within a fall time, of what it bears then, at the most
	NotWarm    float64         // share of the dispatches whose data set their engine had to read
	Recovery   float64         // seconds from the end of the last trouble until service is what it was before the first; -1: never, or no trouble ends

	times           map[string]*hdrhistogram.Histogram // microseconds
	worked, wasted  float64
	begun, notWarm  float64
	utility, inGoal map[string]float64
	turns           map[int][]float64
	levels          map[int]string
	reasons         []string
}

// Tail is what a group's requests took until they had their result, in seconds. One that never had it counts as its time
// limit: what is given up must not look quick.
type Tail struct{ P50, P99, P999 float64 }

func newResult(w World, d Day, o Options) *Result {
	return &Result{World: w.Name, Day: d.Name, Seed: o.Seed, Groups: map[string]float64{}, utility: map[string]float64{},
		inGoal: map[string]float64{}, turns: map[int][]float64{}, levels: map[int]string{}, Tails: map[string]Tail{},
		times: map[string]*hdrhistogram.Histogram{}}
}

const mostTime = 3600 * 1e6 // microseconds

func (r *Result) took(g *Group, seconds float64) {
	if r.times[g.Name] == nil {
		r.times[g.Name] = hdrhistogram.New(1, mostTime, 3)
	}
	r.times[g.Name].RecordValue(int64(max(1, min(seconds*1e6, mostTime)))) //nolint:errcheck // it is within its bounds
}

// ran notes work that an engine has done on a dispatch that has ended.
func (r *Result) ran(one *run, used bool) {
	done := max(one.whole-max(one.left, 0), 0)
	if r.worked += done; !used {
		r.wasted += done
	}
}

func (r *Result) at(t float64) *Second {
	i := int(t - epoch)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

func (r *Result) asked(s *sim, b *batch) {
	r.Asked++
	r.utility[b.group.Name] += b.group.Utility
	second := r.at(s.now)
	second.Asked += b.group.Utility
	second.Load += b.work / s.world.Capacity()
}

func (r *Result) ended(s *sim, b *batch, code traffic.Code) {
	switch code {
	case traffic.Rejected:
		r.PushedBack++
	case traffic.Failed:
		r.Errored++
	case traffic.Succeeded:
		r.Returned++
		g := b.group
		earned := g.Utility
		if s.now > b.asked+g.Goal+g.Stretch*b.work/g.Threads {
			earned *= g.Late
		}
		if !b.done {
			r.took(g, s.now-b.asked)
			r.inGoal[g.Name] += earned
			r.at(b.asked).InGoal += earned
		}
		b.done = true
	}
}

// second notes how it stands at the end of one.
func (r *Result) second(s *sim) func() {
	return func() {
		one := r.at(s.now - 1e-3)
		threads := 0.0
		for _, e := range s.engines {
			for _, run := range e.running {
				threads += run.threads
			}
		}
		one.Busy = threads / s.world.Capacity()
		for _, n := range s.routers {
			level := 0
			if s.options.Levels != nil {
				for i, l := range s.options.Levels.Levels {
					if l.Name == n.status.Level {
						level = i + 1
					}
				}
			}
			if level > 0 {
				r.Away += 1 / (s.day.Seconds * float64(len(s.routers)))
			}
			one.Levels = append(one.Levels, level)
		}
	}
}

// turned notes a line that a router logs of its level; steps of a trial are none.
func (r *Result) turned(s *sim, n *node, w router.Log) {
	fields := map[string]any{}
	for i := 0; i+1 < len(w.Fields); i += 2 {
		fields[w.Fields[i].(string)] = w.Fields[i+1]
	}
	name, _ := fields["level"].(string)
	s.log("n%d level %s step %v", n.index+1, name, fields["step"])
	before, known := r.levels[n.index]
	if !known {
		before = "usual"
	}
	if r.levels[n.index] = name; name == before {
		return
	}
	r.Turns++
	r.reasons = append(r.reasons, fmt.Sprintf("%.1f n%d %s: %v", s.now-epoch, n.index+1, name, fields["reason"]))
	times := append(r.turns[n.index], s.now)
	r.turns[n.index] = times
	count := 0
	for _, at := range times {
		if at > s.now-60 {
			count++
		}
	}
	r.MostTurns = max(r.MostTurns, count)
}

// Reasons are the transitions with what caused them, in order.
func (r *Result) Reasons() []string { return r.reasons }

func (r *Result) finish(s *sim) {
	asked, in := 0.0, 0.0
	for _, g := range s.world.Groups {
		asked, in = asked+r.utility[g.Name], in+r.inGoal[g.Name]
		if r.utility[g.Name] > 0 {
			r.Groups[g.Name] = r.inGoal[g.Name] / r.utility[g.Name]
		}
	}
	if asked > 0 {
		r.Service = in / asked
	}
	for _, b := range s.asked {
		if !b.done {
			r.took(b.group, b.group.Limit)
		}
	}
	for name, h := range r.times {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		r.Tails[name] = Tail{at(50), at(99), at(99.9)}
	}
	r.Wasted = r.wasted / max(r.worked, 1e-9)
	r.NotWarm = r.notWarm / max(r.begun, 1)
	r.recover(s.day)
	for rule := 1; rule <= 7; rule++ {
		if n := s.check.broken[rule]; n > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("rule %d: %d times", rule, n))
		}
	}
	r.Broken = append(r.Broken, s.check.first...)
	slices.Sort(r.Broken)
	r.Digest = s.hash.Sum64()
	const window = 5
	for i := window; i <= len(r.Seconds); i++ {
		came, sent := 0, 0
		for _, one := range r.Seconds[i-window : i] {
			came, sent = came+one.Came, sent+one.Dispatches
		}
		if came >= 20 {
			r.Amplified = max(r.Amplified, float64(sent)/float64(came))
		}
	}
}

// recover finds when service is back at 0.95 of what it was before the first trouble, and stays there for five seconds.
func (r *Result) recover(d Day) {
	const stays, enough = 5, 0.95
	first, last := math.Inf(1), 0.0
	for _, t := range d.Troubles {
		first, last = min(first, t.At), max(last, t.At+t.For)
		if t.For == 0 {
			last = math.Inf(1)
		}
	}
	r.Recovery = -1
	service := func(from, to int) float64 {
		asked, in := 0.0, 0.0
		for _, s := range r.Seconds[max(from, 0):min(to, len(r.Seconds))] {
			asked, in = asked+s.Asked, in+s.InGoal
		}
		return in / max(asked, 1e-9)
	}
	if len(d.Troubles) == 0 || first < 1 || int(min(last, 1e9)) >= len(r.Seconds) {
		return
	}
	before := service(0, int(first))
	for t := int(math.Ceil(last)); t+stays <= min(len(r.Seconds), int(d.Seconds)); t++ {
		if service(t, t+stays) >= enough*before {
			r.Recovery = float64(t) - last
			return
		}
	}
}
