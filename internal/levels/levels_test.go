package levels

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func settings() Settings {
	below := func(v, secs float64) []Condition {
		return []Condition{{Measure: Served, Below: true, Threshold: v, MinDuration: secs}}
	}
	above := []Condition{{Measure: Served, Threshold: 0.95, MinDuration: 4}}
	return Settings{TrialSteps: 2, TrialStepTime: 5, BackoffFactor: 2, MaxTrialDelay: 200, MaxTransitionsPerMinute: 2, Levels: []Level{
		{Name: "mild", Enter: below(0.9, 3), Exit: above, MinDuration: 20, Actions: Actions{AdmitRatio: map[string]float64{"report": 0.5}}},
		{Name: "hard", Enter: below(0.6, 2), Exit: above, MinDuration: 20, Actions: Actions{AdmitRatio: map[string]float64{"report": 0}, MinUtilityRate: 2}}}}
}

// simulatedLoad is a load that can be borne up to 1: what is kept of it says how it is served.
type simulatedLoad struct {
	*Machine
	now             float64
	transitionTimes []float64
}

func newSimulatedLoad(s Settings) *simulatedLoad {
	return &simulatedLoad{Machine: New(s, 0.5, 100), now: 100}
}

func (f *simulatedLoad) run(seconds float64, served func(t float64, s State) float64) {
	for end := f.now + seconds; f.now < end; {
		f.now += 0.5
		var x MeasureValues
		x[Served] = served(f.now-100, f.State())
		before := f.State().Level
		if s, _ := f.Update(f.now, x); s.Level != before {
			f.transitionTimes = append(f.transitionTimes, f.now)
		}
	}
}

func constant(v float64) func(float64, State) float64 {
	return func(float64, State) float64 { return v }
}

func TestLevelIsEnteredAfterConditionHeldLongEnough(t *testing.T) {
	f := newSimulatedLoad(settings())
	f.run(2.5, constant(0.8))
	assert.Equal(t, Normal, f.State().Name)
	f.run(0.5, constant(0.97))
	f.run(2.5, constant(0.8))
	assert.Equal(t, Normal, f.State().Name, "it did not hold throughout")
	f.run(1.5, constant(0.8))
	s := f.State()
	assert.Equal(t, "mild", s.Name)
	assert.Contains(t, s.Reason, "served below 0.9 for 3s (0.8)")
	assert.Equal(t, 0.5, s.Actions.AdmitRatio["report"])
	f.run(3, constant(0.4))
	assert.Equal(t, "hard", f.State().Name)
	g := newSimulatedLoad(settings())
	g.run(3, constant(0.4))
	assert.Equal(t, "hard", g.State().Name, "at once, past the mild one")
	assert.Len(t, g.transitionTimes, 1)
}

func TestTrialAdvancesInStepsAndRelapseDelaysTheNext(t *testing.T) {
	f := newSimulatedLoad(settings())
	f.run(4, constant(0.8))
	bears := func(_ float64, s State) float64 { // all is well until load comes back
		if s.Step > 0 {
			return 0.7
		}
		return 1
	}
	began := f.now
	f.run(20, bears)
	assert.Equal(t, 1, f.State().Step)
	assert.InDelta(t, 0.5+0.5/3, f.State().Actions.AdmitRatio["report"], 1e-9, "a step of the way")
	f.run(4, bears)
	assert.Zero(t, f.State().Step)
	assert.Contains(t, f.State().Reason, "relapse")
	first := f.now - began
	began = f.now
	for f.State().Step == 0 {
		f.run(0.5, bears)
	}
	assert.Greater(t, f.now-began, 1.5*first)
	f.run(30, constant(1))
	assert.Equal(t, Normal, f.State().Name)
	assert.Nil(t, f.State().Actions.AdmitRatio)
}

// A load that swings round a threshold, at any period, and one that stays on it.
func TestTransitionsAreRateLimited(t *testing.T) {
	for _, swing := range []float64{0, 0.05, 0.1, 0.3} {
		for _, period := range []float64{1, 2, 5, 10, 30, 60, 120} {
			f := newSimulatedLoad(settings())
			f.run(900, func(at float64, s State) float64 {
				load := 1.1 * (1 + swing*math.Sin(2*math.Pi*at/period))
				kept := 1.0
				if v, ok := s.Actions.AdmitRatio["report"]; ok {
					kept = 0.7 + 0.3*v
				}
				return min(1, 1/(load*kept))
			})
			for i, at := range f.transitionTimes {
				if i >= 2 {
					assert.GreaterOrEqual(t, at-f.transitionTimes[i-2], 60.0, "swing %g period %g", swing, period)
				}
			}
			assert.LessOrEqual(t, len(f.transitionTimes), 20, "swing %g period %g: %v", swing, period, f.transitionTimes)
		}
	}
}

func TestForcedAndForbiddenLevels(t *testing.T) {
	s := settings()
	s.ForcedLevel = "hard"
	f := newSimulatedLoad(s)
	f.run(5, constant(1))
	assert.Equal(t, "hard", f.State().Name)
	f.run(200, constant(1))
	assert.Equal(t, "hard", f.State().Name, "whatever the measures say")
	s.ForcedLevel, s.ForbiddenLevels = "", []string{"hard"}
	assert.Equal(t, "mild", f.Reconfigure(s).Name, "the next one down")
	f.run(100, constant(0.3))
	assert.Equal(t, "mild", f.State().Name)
	s.ForcedLevel = Normal
	f.Reconfigure(s)
	f.run(1, constant(0.3))
	assert.Equal(t, Normal, f.State().Name)
}

func TestReconfigureKeepsLevelOfSameName(t *testing.T) {
	f := newSimulatedLoad(settings())
	f.run(3, constant(0.4))
	s := settings()
	s.Levels[1].AdmitRatio = map[string]float64{"report": 0.1}
	assert.Equal(t, 0.1, f.Reconfigure(s).Actions.AdmitRatio["report"])
	assert.Equal(t, "hard", f.State().Name)
	s.Levels = s.Levels[:1]
	assert.Equal(t, Normal, f.Reconfigure(s).Name, "it is gone")
}

func TestStoppedClockChangesNothing(t *testing.T) {
	f := newSimulatedLoad(settings())
	var bad MeasureValues
	for range 1000 {
		f.Update(100, bad)
		f.Update(90, bad)
	}
	assert.Equal(t, Normal, f.State().Name)
}

func TestRoutersDoNotTransitionInStep(t *testing.T) {
	s := settings()
	s.Spread = 0.3
	at := map[float64]bool{}
	for n := range 10 {
		m := New(s, float64(n)/9, 0)
		var x MeasureValues
		for now := 0.1; m.State().Level == 0; now += 0.1 {
			x[Served] = 0.8
			m.Update(now, x)
			if m.State().Level > 0 {
				at[math.Round(now*10)] = true
			}
		}
	}
	assert.Greater(t, len(at), 6)
}

func TestMeasuresFadeOverTime(t *testing.T) {
	g := NewGauge(5, 0)
	x := g.Values()
	assert.Equal(t, []float64{1, 0, 0, 1}, []float64{x[Served], x[QueueDelay], x[Rejected], x[OfferedLoad]}, "nothing came: all is well")
	for now := 0.0; now < 60; now += 0.1 {
		g.Advance(now)
		g.BatchArrived(2)
		g.WorkFinished(1)
		g.BatchEnded(6, now > 30, now <= 30)
	}
	g.SetCurrent(30, 10, 3)
	x = g.Values()
	assert.Greater(t, x[Served], 0.99)
	assert.InDelta(t, 2, x[OfferedLoad], 1e-9)
	assert.InDelta(t, 3, x[QueueDelay], 0.1, "30 s of work at 10 a second")
	assert.Equal(t, 0.3, x[UnreadyEngines])
}
