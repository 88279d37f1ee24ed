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
	RequestedUtility, UtilityInGoal float64 // utility of what was asked in it, and of that what came within its goal
	Load                            float64 // work that came, by what the engines can do
	ThreadsPerCore                  float64 // threads a core
	Levels                          []int   // of each router
	Accepted                        int     // batches that routers took, and
	Dispatches                      int     // were sent in it
}

// Result is what came of a day.
type Result struct {
	World, Day              string
	Seed                    uint64
	Service                 float64            // utility within goal, of the utility asked
	Groups                  map[string]float64 // the same by group
	Requests                int                // requests
	Returned                int                // tries
	Rejected                int
	Failed                  int
	LevelTransitions        int     // transitions between levels, of all routers
	MaxTransitionsPerMinute int     // of one router in a minute
	Amplification           float64 // dispatches for each batch taken, in the worst five seconds
	ReducedServiceShare     float64 // share of the time in which a router was at a level of reduced service
	Violations              []string
	Seconds                 []Second
	Digest                  uint64                      // of all that happened
	Latencies               map[string]LatencyQuantiles // by group
	WastedWorkShare         float64                     // work that engines did for nobody, of all that they did
	ConcurrentDispatches    int                         // dispatches beside one that was out
	PeerMessages            int                         // datagrams between routers
	MaxColdLoad             float64                     // work that came to a cold engine within a fall time, of what it bears then, at the most
	ColdDataSetShare        float64                     // share of the dispatches whose data set their engine had to read
	RecoveryTime            float64                     // seconds from the end of the last trouble until service is what it was before the first; -1: never, or no trouble ends

	latencyHistograms               map[string]*hdrhistogram.Histogram // microseconds
	totalWork, wastedWork           float64
	startedRuns, coldDataSetRuns    float64
	requestedUtility, utilityInGoal map[string]float64
	transitionTimes                 map[int][]float64
	levels                          map[int]string
	transitionReasons               []string
}

// LatencyQuantiles is what a group's requests took until they had their result, in seconds. One that never had it counts as its time
// limit: what is given up must not look quick.
type LatencyQuantiles struct{ P50, P99, P999 float64 }

func newResult(w World, d Day, o Options) *Result {
	return &Result{World: w.Name, Day: d.Name, Seed: o.Seed, Groups: map[string]float64{}, requestedUtility: map[string]float64{},
		utilityInGoal: map[string]float64{}, transitionTimes: map[int][]float64{}, levels: map[int]string{}, Latencies: map[string]LatencyQuantiles{},
		latencyHistograms: map[string]*hdrhistogram.Histogram{}}
}

const maxLatencyMicros = 3600 * 1e6 // microseconds

func (r *Result) recordLatency(g *Group, seconds float64) {
	if r.latencyHistograms[g.Name] == nil {
		r.latencyHistograms[g.Name] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	r.latencyHistograms[g.Name].RecordValue(int64(max(1, min(seconds*1e6, maxLatencyMicros)))) //nolint:errcheck // it is within its bounds
}

// recordWork notes work that an engine has done on a dispatch that has ended.
func (r *Result) recordWork(one *run, used bool) {
	done := max(one.totalWork-max(one.remaining, 0), 0)
	if r.totalWork += done; !used {
		r.wastedWork += done
	}
}

func (r *Result) secondAt(t float64) *Second {
	i := int(t - epoch)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

func (r *Result) recordRequest(s *sim, b *batch) {
	r.Requests++
	r.requestedUtility[b.group.Name] += b.group.Utility
	second := r.secondAt(s.now)
	second.RequestedUtility += b.group.Utility
	second.Load += b.work / s.world.Capacity()
}

func (r *Result) recordAnswer(s *sim, b *batch, code traffic.Code) {
	switch code {
	case traffic.Rejected:
		r.Rejected++
	case traffic.Failed:
		r.Failed++
	case traffic.Succeeded:
		r.Returned++
		g := b.group
		earned := g.Utility
		if s.now > b.arrivedAt+g.Goal+g.GoalStretch*b.work/g.Threads {
			earned *= g.LateShare
		}
		if !b.served {
			r.recordLatency(g, s.now-b.arrivedAt)
			r.utilityInGoal[g.Name] += earned
			r.secondAt(b.arrivedAt).UtilityInGoal += earned
		}
		b.served = true
	}
}

// recordSecond notes how it stands at the end of one.
func (r *Result) recordSecond(s *sim) func() {
	return func() {
		one := r.secondAt(s.now - 1e-3)
		threads := 0.0
		for _, e := range s.engines {
			for _, run := range e.running {
				threads += run.threads
			}
		}
		one.ThreadsPerCore = threads / s.world.Capacity()
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
				r.ReducedServiceShare += 1 / (s.day.Seconds * float64(len(s.routers)))
			}
			one.Levels = append(one.Levels, level)
		}
	}
}

// recordLevel notes a line that a router logs of its level; steps of a trial are none.
func (r *Result) recordLevel(s *sim, n *node, w router.Log) {
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
	r.LevelTransitions++
	r.transitionReasons = append(r.transitionReasons, fmt.Sprintf("%.1f n%d %s: %v", s.now-epoch, n.index+1, name, fields["reason"]))
	times := append(r.transitionTimes[n.index], s.now)
	r.transitionTimes[n.index] = times
	count := 0
	for _, at := range times {
		if at > s.now-60 {
			count++
		}
	}
	r.MaxTransitionsPerMinute = max(r.MaxTransitionsPerMinute, count)
}

// TransitionReasons are the transitions with what caused them, in order.
func (r *Result) TransitionReasons() []string { return r.transitionReasons }

func (r *Result) finish(s *sim) {
	asked, in := 0.0, 0.0
	for _, g := range s.world.Groups {
		asked, in = asked+r.requestedUtility[g.Name], in+r.utilityInGoal[g.Name]
		if r.requestedUtility[g.Name] > 0 {
			r.Groups[g.Name] = r.utilityInGoal[g.Name] / r.requestedUtility[g.Name]
		}
	}
	if asked > 0 {
		r.Service = in / asked
	}
	for _, b := range s.requests {
		if !b.served {
			r.recordLatency(b.group, b.group.Limit)
		}
	}
	for name, h := range r.latencyHistograms {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		r.Latencies[name] = LatencyQuantiles{at(50), at(99), at(99.9)}
	}
	r.WastedWorkShare = r.wastedWork / max(r.totalWork, 1e-9)
	r.ColdDataSetShare = r.coldDataSetRuns / max(r.startedRuns, 1)
	r.computeRecovery(s.day)
	for rule := 1; rule <= 7; rule++ {
		if n := s.checker.violations[rule]; n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("rule %d: %d times", rule, n))
		}
	}
	r.Violations = append(r.Violations, s.checker.firstViolations...)
	slices.Sort(r.Violations)
	r.Digest = s.digest.Sum64()
	const window = 5
	for i := window; i <= len(r.Seconds); i++ {
		came, sent := 0, 0
		for _, one := range r.Seconds[i-window : i] {
			came, sent = came+one.Accepted, sent+one.Dispatches
		}
		if came >= 20 {
			r.Amplification = max(r.Amplification, float64(sent)/float64(came))
		}
	}
}

// computeRecovery finds when service is back at 0.95 of what it was before the first trouble, and stays there for five seconds.
func (r *Result) computeRecovery(d Day) {
	const stays, enough = 5, 0.95
	first, last := math.Inf(1), 0.0
	for _, t := range d.Faults {
		first, last = min(first, t.At), max(last, t.At+t.Duration)
		if t.Duration == 0 {
			last = math.Inf(1)
		}
	}
	r.RecoveryTime = -1
	service := func(from, to int) float64 {
		asked, in := 0.0, 0.0
		for _, s := range r.Seconds[max(from, 0):min(to, len(r.Seconds))] {
			asked, in = asked+s.RequestedUtility, in+s.UtilityInGoal
		}
		return in / max(asked, 1e-9)
	}
	if len(d.Faults) == 0 || first < 1 || int(min(last, 1e9)) >= len(r.Seconds) {
		return
	}
	before := service(0, int(first))
	for t := int(math.Ceil(last)); t+stays <= min(len(r.Seconds), int(d.Seconds)); t++ {
		if service(t, t+stays) >= enough*before {
			r.RecoveryTime = float64(t) - last
			return
		}
	}
}
