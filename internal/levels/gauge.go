package levels

import "math"

// Gauge makes measures of what a router sees. Sums fade with a time, so that what is long ago counts little. Work is
// uneven, a few batches hold most of it, and it is finished some time after it came: its sums fade more slowly, and say
// nothing at first.
type Gauge struct {
	timeConstant float64 // seconds after which a sum counts 1/e
	now, start   float64

	utilityEnded, utilityInGoal   float64 // utility of what ended, and of what was answered within its goal
	batchesEnded, batchesRejected float64 // batches
	workArrived, workFinished     float64 // seconds of work
	workQueued                    float64
	engines, unreadyEngines       int
}

// NewGauge starts one.
func NewGauge(over, now float64) *Gauge {
	return &Gauge{timeConstant: max(over, 0.1), now: now, start: now}
}

const workTimeFactor = 2

// Advance brings the time.
func (g *Gauge) Advance(now float64) {
	if now <= g.now {
		return
	}
	fade, slow := math.Exp((g.now-now)/g.timeConstant), math.Exp((g.now-now)/(workTimeFactor*g.timeConstant))
	g.now = now
	for _, sum := range []*float64{&g.utilityEnded, &g.utilityInGoal, &g.batchesEnded, &g.batchesRejected} {
		*sum *= fade
	}
	g.workArrived, g.workFinished = g.workArrived*slow, g.workFinished*slow
}

// BatchArrived is a batch that was taken and not shed, with the work it is held to need.
func (g *Gauge) BatchArrived(work float64) { g.workArrived += work }

// BatchEnded is a batch that ended. Shed ones don't count: that they are refused is no news.
func (g *Gauge) BatchEnded(utility float64, inGoal, pushedBack bool) {
	g.utilityEnded += utility
	g.batchesEnded++
	if inGoal {
		g.utilityInGoal += utility
	}
	if pushedBack {
		g.batchesRejected++
	}
}

// WorkFinished is work that an engine has done for a batch.
func (g *Gauge) WorkFinished(work float64) { g.workFinished += work }

// SetCurrent is what is held now, and how many of the listed engines are not to be counted on.
func (g *Gauge) SetCurrent(work float64, engines, unready int) {
	g.workQueued, g.engines, g.unreadyEngines = work, engines, unready
}

// Values gives them. Where nothing came, all is well.
func (g *Gauge) Values() (x MeasureValues) {
	x[Served], x[OfferedLoad] = 1, 1
	// A ratio outlives what it was made of, since both sides of it fade alike: less than half a batch says ever less.
	says := min(g.batchesEnded/0.5, 1)
	if g.utilityEnded > 1e-9 {
		x[Served] = 1 - says*(1-g.utilityInGoal/g.utilityEnded)
	}
	if g.batchesEnded > 1e-9 {
		x[Rejected] = says * g.batchesRejected / g.batchesEnded
	}
	if g.workFinished > 1e-6 {
		x[QueueDelay] = g.workQueued / (g.workFinished / (workTimeFactor * g.timeConstant))
		if g.now > g.start+2*workTimeFactor*g.timeConstant {
			x[OfferedLoad] = g.workArrived / g.workFinished
		}
	} else if g.workQueued > 0 {
		x[QueueDelay] = g.timeConstant
	}
	if g.engines > 0 {
		x[UnreadyEngines] = float64(g.unreadyEngines) / float64(g.engines)
	}
	return x
}
