package levels

import "math"

// Gauge computes the measures from what a router sees. Its sums decay exponentially, so that recent events count most. Sums of
// work decay more slowly, because work is spread unevenly (a few batches make up most of it) and is finished some time after
// it arrived; for the same reason OfferedLoad is not computed at first.
type Gauge struct {
	timeConstant float64 // seconds in which a sum decays to 1/e
	now, start   float64 // seconds

	utilityEnded    float64 // utility of the batches that ended
	utilityInGoal   float64 // utility of those that were answered within their goal
	batchesEnded    float64
	batchesRejected float64
	workArrived     float64 // seconds of work
	workFinished    float64 // seconds of work
	workQueued      float64 // seconds of work, now
	engines         int
	unreadyEngines  int
}

// NewGauge returns a gauge whose sums decay with a time constant in seconds, at least 0.1. now is the time in seconds.
func NewGauge(timeConstant, now float64) *Gauge {
	return &Gauge{timeConstant: max(timeConstant, 0.1), now: now, start: now}
}

// workTimeFactor is the time constant of the sums of work, as a multiple of that of the other sums.
const workTimeFactor = 2

// Advance lets the sums decay up to a time in seconds.
func (g *Gauge) Advance(now float64) {
	if now <= g.now {
		return
	}
	decay, workDecay := math.Exp((g.now-now)/g.timeConstant), math.Exp((g.now-now)/(workTimeFactor*g.timeConstant))
	g.now = now
	for _, sum := range []*float64{&g.utilityEnded, &g.utilityInGoal, &g.batchesEnded, &g.batchesRejected} {
		*sum *= decay
	}
	g.workArrived, g.workFinished = g.workArrived*workDecay, g.workFinished*workDecay
}

// BatchArrived counts a batch that was admitted, with the seconds of work that it is expected to need.
func (g *Gauge) BatchArrived(work float64) { g.workArrived += work }

// BatchEnded counts a batch that ended. It must not be called for shed batches: the measures show what a level achieves, not
// what it refuses.
func (g *Gauge) BatchEnded(utility float64, inGoal, rejected bool) {
	g.utilityEnded += utility
	g.batchesEnded++
	if inGoal {
		g.utilityInGoal += utility
	}
	if rejected {
		g.batchesRejected++
	}
}

// WorkFinished adds work that an engine has done for a batch, in thread-seconds, to a sum that decays with time.
func (g *Gauge) WorkFinished(work float64) { g.workFinished += work }

// SetCurrent sets the seconds of work that are queued now, the number of listed engines, and how many of these are cold,
// drained or ejected.
func (g *Gauge) SetCurrent(queuedWork float64, engines, unready int) {
	g.workQueued, g.engines, g.unreadyEngines = queuedWork, engines, unready
}

// Values returns the measures. A measure without data has the value of an idle, healthy router.
func (g *Gauge) Values() (values MeasureValues) {
	values[Served], values[OfferedLoad] = 1, 1
	// Numerator and denominator decay alike, so a ratio would stay as it is long after its data is out of date. Once less than
	// half a batch is left in the sums, the ratio is given less and less weight.
	weight := min(g.batchesEnded/0.5, 1)
	if g.utilityEnded > 1e-9 {
		values[Served] = 1 - weight*(1-g.utilityInGoal/g.utilityEnded)
	}
	if g.batchesEnded > 1e-9 {
		values[Rejected] = weight * g.batchesRejected / g.batchesEnded
	}
	if g.workFinished > 1e-6 {
		values[QueueDelay] = g.workQueued / (g.workFinished / (workTimeFactor * g.timeConstant))
		if g.now > g.start+2*workTimeFactor*g.timeConstant {
			values[OfferedLoad] = g.workArrived / g.workFinished
		}
	} else if g.workQueued > 0 {
		values[QueueDelay] = g.timeConstant
	}
	if g.engines > 0 {
		values[UnreadyEngines] = float64(g.unreadyEngines) / float64(g.engines)
	}
	return values
}
