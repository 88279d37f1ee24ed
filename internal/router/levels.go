package router

import (
	"math/rand/v2"

	"pitchfield/brain"
	"pitchfield/internal/levels"
	"pitchfield/internal/traffic"
)

// levelInterval is how often the level of service is reevaluated, in seconds.
const levelInterval = 0.5

// levelCheck is the timer value at which the level is reevaluated.
type levelCheck struct{}

// serviceLevel holds the state for levels of reduced service. Without settings for levels its fields are nil and it does nothing.
type serviceLevel struct {
	machine *levels.Machine
	gauge   *levels.Gauge
	shed    int // batches that a level has rejected since the start
}

// batchArrived counts a batch that was accepted, or shed by the current level.
func (l *serviceLevel) batchArrived(b *batch) {
	if l.gauge == nil {
		return
	}
	if b.Shed {
		l.shed++
	} else {
		l.gauge.BatchArrived(b.Demand())
	}
}

// batchAnswered counts the final answer of a batch, and whether it came within the goal of its service group. Batches that a level
// shed don't count.
func (l *serviceLevel) batchAnswered(b *batch, code traffic.Code, now float64) {
	if l.gauge == nil || b.Shed {
		return
	}
	l.gauge.Advance(now)
	goal := b.Group.Goal + b.Group.GoalStretch*b.work/max(b.Group.Threads, 1)
	l.gauge.BatchEnded(b.Group.Utility, code == traffic.Succeeded && now-b.receivedAt <= goal, code == traffic.Rejected)
}

// workFinished counts work that an engine has finished, in thread-seconds.
func (l *serviceLevel) workFinished(work, now float64) {
	if l.gauge != nil {
		l.gauge.Advance(now)
		l.gauge.WorkFinished(work)
	}
}

// Status is a snapshot of a router's state for its status page.
type Status struct {
	Name      string
	Now       float64              // time of the snapshot, in seconds
	Level     string               // name of the level of service
	Reason    string               // why this level is in force
	Since     float64              // when it was entered
	Step      int                  // step of the trial to leave it; 0: no trial
	Shed      int                  // batches that levels have rejected since the start
	Measures  levels.MeasureValues // what levels are decided by
	Batches   int                  // batches without a final answer, or with an outstanding dispatch
	Clients   int                  // client connections
	Stopping  int                  // 1 while the router stops, else 0
	Decisions brain.Stats          // state of the decision module
}

// setLevels applies new settings for the levels of reduced service. The first ones start the state machine; later ones keep the
// level that is in force where they still define it.
func (r *Router) setLevels(e LevelsSet) {
	if r.level.machine == nil {
		r.level.gauge = levels.NewGauge(e.DecayTime, r.now)
		// A router whose index is not configured draws its place among the routers at random.
		seat := rand.New(rand.NewPCG(r.config.Seed, 3)).Float64()
		if n := r.config.Settings.Routers; n > 1 && r.config.Settings.Index >= 0 {
			seat = float64(r.config.Settings.Index) / float64(n-1)
		}
		r.level.machine = levels.New(e.Levels, seat, r.now)
		r.timers.add(r.now+levelInterval, levelCheck{})
		return
	}
	before := r.level.machine.State()
	if after := r.level.machine.Reconfigure(e.Levels); after.Name != before.Name {
		r.applyLevel(after, levels.MeasureValues{})
	} else {
		r.brain.SetReducedService(r.reducedService(after.Actions))
	}
}

// updateLevel reads the measures, applies the level if it has changed, and reports the router's status.
func (r *Router) updateLevel() {
	r.timers.add(r.now+levelInterval, levelCheck{})
	decisions := r.brain.Stats()
	r.level.gauge.Advance(r.now)
	r.level.gauge.SetCurrent(decisions.QueuedWork, decisions.Engines, decisions.Cold+decisions.Ejected+decisions.Draining)
	measures := r.level.gauge.Values()
	state, changed := r.level.machine.Update(r.now, measures)
	if changed {
		r.applyLevel(state, measures)
	}
	stopping := 0
	if r.stopAt > 0 {
		stopping = 1
	}
	r.emit(ReportStatus{Status{Name: r.config.Name, Now: r.now, Level: state.Name, Reason: state.Reason, Since: state.Since,
		Step: state.Step, Shed: r.level.shed, Measures: measures, Batches: len(r.batches), Clients: len(r.clients),
		Stopping: stopping, Decisions: decisions}})
}

// applyLevel logs a change of level, with the measures that led to it, and passes its restrictions to the decision module.
func (r *Router) applyLevel(state levels.State, measures levels.MeasureValues) {
	fields := []any{"level", state.Name, "number", state.Level, "step", state.Step, "reason", state.Reason, "shed", r.level.shed}
	for m, name := range levels.MeasureNames {
		fields = append(fields, name, measures[m])
	}
	r.log(Info, "level of service", fields...)
	r.brain.SetReducedService(r.reducedService(state.Actions))
}

// reducedService translates a level's restrictions for the decision module. A group that has a second group of the same name, for
// batches without a mark, is shed together with it.
func (r *Router) reducedService(restrictions levels.Actions) brain.ReducedService {
	reduced := brain.ReducedService{MinUtilityPerSecond: restrictions.MinUtilityRate, MaxRetries: restrictions.MaxRetries, ProbeShare: restrictions.ProbeRatio,
		GiveUpFactor: restrictions.GiveUpFactor}
	for name, keep := range restrictions.AdmitRatio {
		if reduced.KeepShare == nil {
			reduced.KeepShare = map[*brain.ServiceGroup]float64{}
		}
		for _, g := range []*brain.ServiceGroup{r.groups[name], r.unmarkedGroups[name]} {
			if g != nil {
				reduced.KeepShare[g] = keep
			}
		}
	}
	return reduced
}
