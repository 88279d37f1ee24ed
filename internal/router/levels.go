package router

import (
	"math/rand/v2"

	"pitchfield/brain"
	"pitchfield/internal/levels"
	"pitchfield/internal/traffic"
)

// levelInterval is how often the measures are looked at, in seconds.
const levelInterval = 0.5

type levelCheck struct{}

// serviceLevel is what the router keeps for levels of reduced service. Without settings for them it does nothing.
type serviceLevel struct {
	machine *levels.Machine
	gauge   *levels.Gauge
	shed    int // batches that a level has refused
}

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

func (l *serviceLevel) batchAnswered(b *batch, code traffic.Code, now float64) {
	if l.gauge == nil || b.Shed {
		return
	}
	l.gauge.Advance(now)
	goal := b.Group.Goal + b.Group.GoalStretch*b.work/max(b.Group.Threads, 1)
	l.gauge.BatchEnded(b.Group.Utility, code == traffic.Succeeded && now-b.receivedAt <= goal, code == traffic.Rejected)
}

func (l *serviceLevel) workFinished(work, now float64) {
	if l.gauge != nil {
		l.gauge.Advance(now)
		l.gauge.WorkFinished(work)
	}
}

// Status is how a router stands.
type Status struct {
	Name                       string
	Now                        float64
	Level, Reason              string
	Since                      float64
	Step                       int
	Shed                       int
	Measures                   levels.MeasureValues
	Batches, Clients, Stopping int
	Decisions                  brain.Stats
}

func (r *Router) setLevels(e LevelsSet) {
	if r.level.machine == nil {
		r.level.gauge = levels.NewGauge(e.DecayTime, r.now)
		// Routers that are not told their number draw their place.
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

// updateLevel takes the measures, and has the module follow where the level is another than before.
func (r *Router) updateLevel() {
	r.timers.add(r.now+levelInterval, levelCheck{})
	seen := r.brain.Stats()
	r.level.gauge.Advance(r.now)
	r.level.gauge.SetCurrent(seen.QueuedWork, seen.Engines, seen.Cold+seen.Ejected+seen.Draining)
	x := r.level.gauge.Values()
	state, changed := r.level.machine.Update(r.now, x)
	if changed {
		r.applyLevel(state, x)
	}
	stopping := 0
	if r.stopAt > 0 {
		stopping = 1
	}
	r.emit(ReportStatus{Status{Name: r.config.Name, Now: r.now, Level: state.Name, Reason: state.Reason, Since: state.Since,
		Step: state.Step, Shed: r.level.shed, Measures: x, Batches: len(r.batches), Clients: len(r.clients),
		Stopping: stopping, Decisions: seen}})
}

func (r *Router) applyLevel(s levels.State, x levels.MeasureValues) {
	fields := []any{"level", s.Name, "number", s.Level, "step", s.Step, "reason", s.Reason, "shed", r.level.shed}
	for m, name := range levels.MeasureNames {
		fields = append(fields, name, x[m])
	}
	r.log(Info, "level of service", fields...)
	r.brain.SetReducedService(r.reducedService(s.Actions))
}

// reducedService words a level for the module. A group that has a second one for what has no mark is shed with it.
func (r *Router) reducedService(d levels.Actions) brain.ReducedService {
	out := brain.ReducedService{MinUtilityPerSecond: d.MinUtilityRate, MaxRetries: d.MaxRetries, ProbeShare: d.ProbeRatio, GiveUpFactor: d.GiveUpFactor}
	for name, keep := range d.AdmitRatio {
		if out.KeepShare == nil {
			out.KeepShare = map[*brain.ServiceGroup]float64{}
		}
		for _, g := range []*brain.ServiceGroup{r.groups[name], r.unmarkedGroups[name]} {
			if g != nil {
				out.KeepShare[g] = keep
			}
		}
	}
	return out
}
