package emulator

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// Second holds the measures of one second of a day.
type Second struct {
	RequestedUtility, UtilityInGoal float64 // utility of the requests that arrived in it, and the part earned by answers
	Load                            float64 // work that arrived, as a share of World.Capacity
	ThreadsPerCore                  float64 // running threads per core at the end of the second
	Levels                          []int   // number of each router's service level; 0: usual service
	Accepted                        int     // batches that routers accepted
	Dispatches                      int     // dispatches that routers sent
}

// Result holds the measures of a simulated day. Shares are from 0 to 1.
type Result struct {
	World, Day              string
	Seed                    uint64
	Service                 float64            // earned utility as a share of the requested utility
	Groups                  map[string]float64 // the same by service group
	Requests                int                // number of requests
	Returned                int                // number of batches that returned a result
	Rejected                int                // batches that were rejected
	Failed                  int                // batches that failed
	LevelTransitions        int                // transitions between service levels, of all routers
	MaxTransitionsPerMinute int                // most transitions of one router in a minute
	Amplification           float64            // dispatches per accepted batch, in the worst five seconds
	ReducedServiceShare     float64            // share of the time that routers spent at a level of reduced service
	Violations              []string           // count and first text for each violated rule
	Seconds                 []Second
	Digest                  uint64                      // hash of all logged events
	Latencies               map[string]LatencyQuantiles // by service group
	WastedWorkShare         float64                     // share of the engines' work whose result no client used
	ConcurrentDispatches    int                         // dispatches sent while another of the same batch was active
	PeerMessages            int                         // datagrams that routers sent to each other
	MaxColdLoad             float64                     // the most work that a cold engine received within the overload window, as a share of its limit
	ColdDataSetShare        float64                     // share of the runs whose data set was not warm
	RecoveryTime            float64                     // seconds from the end of the last fault until service has recovered; -1: never, or a fault has no end

	latencyHistograms               map[string]*hdrhistogram.Histogram // microseconds
	totalWork, wastedWork           float64
	startedRuns, coldDataSetRuns    float64
	requestedUtility, utilityInGoal map[string]float64
	transitionTimes                 map[int][]float64
	levels                          map[int]string
	transitionReasons               []string
}

// LatencyQuantiles holds the times from the arrival of a group's requests to their results, in seconds. A request without a
// result counts with its time limit, so that giving up does not look fast.
type LatencyQuantiles struct{ P50, P99, P999 float64 }

// newResult returns an empty result.
func newResult(w World, d Day, o Options) *Result {
	return &Result{World: w.Name, Day: d.Name, Seed: o.Seed, Groups: map[string]float64{}, requestedUtility: map[string]float64{},
		utilityInGoal: map[string]float64{}, transitionTimes: map[int][]float64{}, levels: map[int]string{}, Latencies: map[string]LatencyQuantiles{},
		latencyHistograms: map[string]*hdrhistogram.Histogram{}}
}

// maxLatencyMicros is the largest latency that the histograms hold, in microseconds: one hour.
const maxLatencyMicros = 3600 * 1e6

// recordLatency adds the latency of a request to the histogram of its group.
func (r *Result) recordLatency(g *Group, seconds float64) {
	if r.latencyHistograms[g.Name] == nil {
		r.latencyHistograms[g.Name] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	r.latencyHistograms[g.Name].RecordValue(int64(max(1, min(seconds*1e6, maxLatencyMicros)))) //nolint:errcheck // the value is within the histogram's bounds
}

// recordWork adds the work that an engine did on a dispatch that has ended; used tells whether a client can use the result.
func (r *Result) recordWork(run *run, used bool) {
	done := max(run.totalWork-max(run.remaining, 0), 0)
	if r.totalWork += done; !used {
		r.wastedWork += done
	}
}

// secondAt returns the second of a simulated time.
func (r *Result) secondAt(t float64) *Second {
	i := int(t - epoch)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// recordRequest counts a new request.
func (r *Result) recordRequest(s *sim, b *batch) {
	r.Requests++
	r.requestedUtility[b.group.Name] += b.group.Utility
	second := r.secondAt(s.now)
	second.RequestedUtility += b.group.Utility
	second.Load += b.work / s.world.Capacity()
}

// recordAnswer counts a final answer and the utility that it earns.
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

// recordSecond returns an action that records the state at the end of a second.
func (r *Result) recordSecond(s *sim) func() {
	return func() {
		second := r.secondAt(s.now - 1e-3)
		threads := 0.0
		for _, e := range s.engines {
			for _, run := range e.running {
				threads += run.threads
			}
		}
		second.ThreadsPerCore = threads / s.world.Capacity()
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
			second.Levels = append(second.Levels, level)
		}
	}
}

// recordLevel handles a router's log line about its service level. Steps of a trial of the same level are not transitions.
func (r *Result) recordLevel(s *sim, node *node, line router.Log) {
	fields := map[string]any{}
	for i := 0; i+1 < len(line.Fields); i += 2 {
		fields[line.Fields[i].(string)] = line.Fields[i+1]
	}
	name, _ := fields["level"].(string)
	s.log("n%d level %s step %v", node.index+1, name, fields["step"])
	before, known := r.levels[node.index]
	if !known {
		before = "usual"
	}
	if r.levels[node.index] = name; name == before {
		return
	}
	r.LevelTransitions++
	r.transitionReasons = append(r.transitionReasons, fmt.Sprintf("%.1f n%d %s: %v", s.now-epoch, node.index+1, name, fields["reason"]))
	times := append(r.transitionTimes[node.index], s.now)
	r.transitionTimes[node.index] = times
	count := 0
	for _, at := range times {
		if at > s.now-60 {
			count++
		}
	}
	r.MaxTransitionsPerMinute = max(r.MaxTransitionsPerMinute, count)
}

// TransitionReasons describes the transitions between service levels and their causes, in order of time.
func (r *Result) TransitionReasons() []string { return r.transitionReasons }

// finish computes the totals at the end of the day.
func (r *Result) finish(s *sim) {
	requested, earned := 0.0, 0.0
	for _, g := range s.world.Groups {
		requested, earned = requested+r.requestedUtility[g.Name], earned+r.utilityInGoal[g.Name]
		if r.requestedUtility[g.Name] > 0 {
			r.Groups[g.Name] = r.utilityInGoal[g.Name] / r.requestedUtility[g.Name]
		}
	}
	if requested > 0 {
		r.Service = earned / requested
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
		accepted, sent := 0, 0
		for _, second := range r.Seconds[i-window : i] {
			accepted, sent = accepted+second.Accepted, sent+second.Dispatches
		}
		if accepted >= 20 {
			r.Amplification = max(r.Amplification, float64(sent)/float64(accepted))
		}
	}
}

// computeRecovery finds the first time after the last fault at which the service of five seconds is at least 0.95 of the service
// before the first fault.
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
		requested, earned := 0.0, 0.0
		for _, s := range r.Seconds[max(from, 0):min(to, len(r.Seconds))] {
			requested, earned = requested+s.RequestedUtility, earned+s.UtilityInGoal
		}
		return earned / max(requested, 1e-9)
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
