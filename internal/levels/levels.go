// Package levels decides at which level of reduced service a router is, and why. It is pure: measures and the time come
// in, the level and its reason go out. What a level refuses is decided by the module.
//
// A level is entered when one of its conditions has held for long enough, and left by trial: the share that it sheds is
// let back in steps, and if the load can't be borne the level holds again, for longer each time.
package levels

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Measure is one of the things that conditions speak of. All are what a router sees by itself.
type Measure uint8

// The measures.
const (
	Served         Measure = iota // utility answered within goal, of the utility of what ended: 0 to 1; shed batches don't count
	QueueDelay                    // seconds: the work held, by the work finished each second
	Rejected                      // share of the batches that ended that were pushed back, but not by a level: 0 to 1
	UnreadyEngines                // share of the listed engines that are cold, drained or set aside: 0 to 1
	OfferedLoad                   // work that comes, by the work finished: 1 is what is just borne
	measureCount
)

// MeasureNames are the measures' names in settings and lines.
var MeasureNames = [measureCount]string{"served", "wait", "pushed-back", "unready", "offered"}

func (m Measure) String() string { return MeasureNames[m] }

// MeasureByName gives the measure of a name.
func MeasureByName(name string) (Measure, bool) {
	i := slices.Index(MeasureNames[:], name)
	return Measure(max(i, 0)), i >= 0
}

// MeasureValues are their values at a look.
type MeasureValues [measureCount]float64

// Condition holds while a measure is above, or below, a value.
type Condition struct {
	Measure     Measure
	Below       bool
	Threshold   float64
	MinDuration float64 // seconds that it must hold
}

func (c Condition) String() string {
	word := "above"
	if c.Below {
		word = "below"
	}
	return fmt.Sprintf("%s %s %g for %gs", c.Measure, word, c.Threshold, c.MinDuration)
}

func (c Condition) isMet(x MeasureValues) bool {
	if c.Below {
		return x[c.Measure] < c.Threshold
	}
	return x[c.Measure] > c.Threshold
}

// Actions is what a level does.
type Actions struct {
	AdmitRatio     map[string]float64 // share of a service group's batches that is still taken
	MinUtilityRate float64            // utility for a second of work that a batch must promise
	MaxRetries     int                // dispatches after the first, at most; below 0: none; 0: as settings say
	ProbeRatio     float64            // share of the probes; 0: all
	GiveUpFactor   float64            // a batch is given up when so many times its time is not left; 0: once
}

// Level is one of them.
type Level struct {
	Name        string
	Enter       []Condition // any of them
	Exit        []Condition // all of them, for a trial to begin
	MinDuration float64     // seconds in it before a trial
	Actions
}

// Settings are an operator's.
type Settings struct {
	Levels                  []Level // in order, the mildest first; before them stands the usual service
	TrialSteps              int     // of a trial
	TrialStepTime           float64 // seconds of each
	BackoffFactor           float64 // a relapse multiplies the time to the next trial by this,
	MaxTrialDelay           float64 // up to so many seconds
	MaxTransitionsPerMinute int     // transitions in a minute, at most
	Spread                  float64 // times differ by up to this share from router to router
	ForcedLevel             string  // the level to be in whatever the measures say; empty: none
	ForbiddenLevels         []string
}

// Normal is the name of the level that changes nothing.
const Normal = "usual"

// State is where a machine is.
type State struct {
	Level   int // 0: usual
	Name    string
	Reason  string
	Since   float64
	Step    int // of a trial; 0: none
	Actions Actions
}

// Machine is the state. It changes in Look and Change alone.
type Machine struct {
	settings   Settings
	timeFactor float64 // of own times
	now        float64

	level, step   int
	since         float64
	stepStartedAt float64
	trialDelay    float64 // until the next trial, from since on
	relapses      int
	hasLeftLevel  bool // a level was left, and
	leftAt        float64
	reason        string
	enterMetSince [][]float64 // since when a condition of a level to enter holds; NaN: it does not
	exitMetSince  [][]float64
	transitions   []float64 // times of the last transitions
}

// New starts a machine at the usual level. Seat, from 0 to 1, is this router's place among them: it spreads the times of
// routers that see the same, so that they don't turn in step.
func New(s Settings, seat, now float64) *Machine {
	m := &Machine{now: now}
	m.timeFactor = 1 + s.Spread*(2*min(max(seat, 0), 1)-1)
	m.setSettings(s)
	m.enterLevel(0, now, "start")
	m.transitions = nil
	return m
}

func (m *Machine) setSettings(s Settings) {
	m.settings = s
	m.enterMetSince, m.exitMetSince = make([][]float64, len(s.Levels)), make([][]float64, len(s.Levels))
	for i, l := range s.Levels {
		m.enterMetSince[i], m.exitMetSince[i] = neverMet(len(l.Enter)), neverMet(len(l.Exit))
	}
}

func neverMet(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = math.NaN()
	}
	return out
}

// Reconfigure brings other settings. A level of the same name is kept, with what is left of it; else it is the usual one.
func (m *Machine) Reconfigure(s Settings) State {
	name := m.levelName()
	m.setSettings(s)
	level := 0
	for i, l := range s.Levels {
		if l.Name == name {
			level = i + 1
		}
	}
	if level != m.level || level > 0 && m.isForbidden(level) {
		if level > 0 && m.isForbidden(level) {
			level = m.nearestAllowed(level)
		}
		m.enterLevel(level, m.now, "settings changed")
	}
	return m.State()
}

func (m *Machine) levelName() string {
	if m.level == 0 {
		return Normal
	}
	return m.settings.Levels[m.level-1].Name
}

func (m *Machine) isForbidden(level int) bool {
	return level > 0 && slices.Contains(m.settings.ForbiddenLevels, m.settings.Levels[level-1].Name)
}

// nearestAllowed gives the next level downwards that may be entered.
func (m *Machine) nearestAllowed(level int) int {
	for level > 0 && m.isForbidden(level) {
		level--
	}
	return level
}

func (m *Machine) enterLevel(level int, now float64, reason string) {
	m.level, m.step, m.since, m.reason = level, 0, now, reason
	m.transitions = append(m.transitions, now)
	for i := range m.exitMetSince {
		m.exitMetSince[i] = neverMet(len(m.exitMetSince[i]))
	}
}

// Update takes the measures at a time. Changed: the level is another than before, or its trial took a step.
func (m *Machine) Update(now float64, x MeasureValues) (s State, changed bool) {
	if now <= m.now { // a clock that stands still, or goes back, proves nothing
		return m.State(), false
	}
	m.now = now
	level, step := m.level, m.step
	for i, l := range m.settings.Levels {
		updateMetSince(m.enterMetSince[i], l.Enter, x, now)
		updateMetSince(m.exitMetSince[i], l.Exit, x, now)
	}
	m.decide(x)
	return m.State(), level != m.level || step != m.step
}

func updateMetSince(since []float64, list []Condition, x MeasureValues, now float64) {
	for i, c := range list {
		switch {
		case !c.isMet(x):
			since[i] = math.NaN()
		case math.IsNaN(since[i]):
			since[i] = now
		}
	}
}

// mayTransition: transitions are few in any minute, whatever the load does. Relief may come late for it; flapping would cost
// more, and all that a level sheds is pushed back harmlessly.
func (m *Machine) mayTransition() bool {
	m.transitions = slices.DeleteFunc(m.transitions, func(at float64) bool { return at <= m.now-60 })
	return m.settings.MaxTransitionsPerMinute <= 0 || len(m.transitions) < m.settings.MaxTransitionsPerMinute
}

func (m *Machine) decide(x MeasureValues) {
	s := &m.settings
	if s.ForcedLevel != "" {
		for i, l := range s.Levels {
			if l.Name == s.ForcedLevel && m.level != i+1 {
				m.enterLevel(i+1, m.now, "held by the operator")
			}
		}
		if s.ForcedLevel == Normal && m.level != 0 {
			m.enterLevel(0, m.now, "held by the operator")
		}
		return
	}
	for to := len(s.Levels); to > m.level; to-- {
		if why := m.enterReason(to-1, x); why != "" && !m.isForbidden(to) {
			if m.mayTransition() {
				m.escalate(to, why)
			}
			return
		}
	}
	if m.level == 0 {
		return
	}
	if m.step > 0 {
		m.advanceTrial(x)
		return
	}
	l := s.Levels[m.level-1]
	if m.now-m.since < max(l.MinDuration, m.trialDelay)*m.timeFactor {
		return
	}
	for i, c := range l.Exit {
		if at := m.exitMetSince[m.level-1][i]; math.IsNaN(at) || m.now-at < c.MinDuration*m.timeFactor {
			return
		}
	}
	m.step, m.stepStartedAt, m.reason = 1, m.now, "trial: "+describeConditions(l.Exit, x)
	m.enterMetSince[m.level-1] = neverMet(len(l.Enter)) // what was before the trial says nothing of it
}

// escalate enters a level further up. Soon after one was left, that was too early: the next trial waits longer, as after a
// relapse. Else a load that stays where a level is entered would turn as often as turns are allowed.
func (m *Machine) escalate(to int, why string) {
	s := &m.settings
	least := s.Levels[to-1].MinDuration
	if soon := max(soonFactor*least, 2*m.trialDelay); m.hasLeftLevel && m.now-m.leftAt < soon {
		m.extendTrialDelay(least)
	} else {
		m.trialDelay, m.relapses = 0, 0
	}
	m.enterLevel(to, m.now, why)
}

// soonFactor is how many times a level's least time counts as soon.
const soonFactor = 3

// extendTrialDelay makes the time to the next trial longer.
func (m *Machine) extendTrialDelay(least float64) {
	m.relapses++
	m.trialDelay = min(max(m.trialDelay, least)*max(m.settings.BackoffFactor, 1), max(m.settings.MaxTrialDelay, least))
}

// advanceTrial lets load back step by step. A relapse ends it, and the next one comes later.
func (m *Machine) advanceTrial(x MeasureValues) {
	s := &m.settings
	if why := m.enterReason(m.level-1, x); why != "" {
		m.step, m.since, m.reason = 0, m.now, "relapse: "+why
		m.extendTrialDelay(s.Levels[m.level-1].MinDuration)
		return
	}
	if m.now-m.stepStartedAt < s.TrialStepTime*m.timeFactor {
		return
	}
	if m.step++; m.step <= max(s.TrialSteps, 1) {
		m.stepStartedAt = m.now
		return
	}
	m.step = max(s.TrialSteps, 1)
	if m.mayTransition() {
		m.enterLevel(m.nearestAllowed(m.level-1), m.now, "the load is borne")
		m.hasLeftLevel, m.leftAt = true, m.now
	}
}

// enterReason says which condition of a level holds for long enough; empty: none.
func (m *Machine) enterReason(level int, x MeasureValues) string {
	for i, c := range m.settings.Levels[level].Enter {
		if at := m.enterMetSince[level][i]; !math.IsNaN(at) && m.now-at >= c.MinDuration*m.timeFactor {
			return fmt.Sprintf("%s (%.3g)", c, x[c.Measure])
		}
	}
	return ""
}

func describeConditions(list []Condition, x MeasureValues) string {
	var out []string
	for _, c := range list {
		out = append(out, fmt.Sprintf("%s (%.3g)", c, x[c.Measure]))
	}
	return strings.Join(out, ", ")
}

// State tells where the machine is, and what that does now: amid a trial between this level and the next one down.
func (m *Machine) State() State {
	out := State{Level: m.level, Name: m.levelName(), Reason: m.reason, Since: m.since, Step: m.step}
	if m.level == 0 {
		return out
	}
	out.Actions = m.settings.Levels[m.level-1].Actions
	if m.step == 0 {
		return out
	}
	var below Actions
	if to := m.nearestAllowed(m.level - 1); to > 0 {
		below = m.settings.Levels[to-1].Actions
	}
	out.Actions = interpolate(out.Actions, below, float64(m.step)/float64(max(m.settings.TrialSteps, 1)+1))
	return out
}

// interpolate goes part of the way from one to another.
func interpolate(from, to Actions, part float64) Actions {
	out := from
	out.AdmitRatio = map[string]float64{}
	share := func(d Actions, group string) float64 {
		if v, ok := d.AdmitRatio[group]; ok {
			return v
		}
		return 1
	}
	for _, d := range []Actions{from, to} {
		for g := range d.AdmitRatio {
			out.AdmitRatio[g] = share(from, g) + part*(share(to, g)-share(from, g))
		}
	}
	out.MinUtilityRate += part * (to.MinUtilityRate - from.MinUtilityRate)
	return out
}
