// Package levels implements load shedding levels: it decides at which level of reduced service a router runs, and why. Which
// batches a level sheds is decided by package brain.
//
// A level is entered once one of its conditions has been met for long enough. It is left by a trial, which admits the load
// that the level sheds step by step. If the load proves too high, the level applies in full again, and the delay before the
// next trial grows.
//
// The package does no input or output and reads no clock: callers pass measurements and the time in seconds. Nothing in it is
// safe for concurrent use.
package levels

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Measure is a quantity that conditions compare with a threshold. A router computes all measures from what it sees itself,
// without other routers.
type Measure uint8

const (
	// Served is the utility answered within its goal, as a fraction (0 to 1) of the utility of all batches that ended. Shed
	// batches don't count.
	Served Measure = iota
	// QueueDelay is the queued work divided by the work finished per second, in seconds.
	QueueDelay
	// Rejected is the fraction (0 to 1) of ended batches that were rejected for another reason than a level.
	Rejected
	// UnreadyEngines is the fraction (0 to 1) of the listed engines that are cold, drained or ejected.
	UnreadyEngines
	// OfferedLoad is the work that arrives divided by the work finished. Above 1 the queue grows.
	OfferedLoad
	measureCount
)

// MeasureNames are the names of the measures in settings, status and logs, in the order of the constants.
var MeasureNames = [measureCount]string{"served", "wait", "pushed-back", "unready", "offered"}

func (m Measure) String() string { return MeasureNames[m] }

// MeasureByName returns the measure with the given name, and whether there is one.
func MeasureByName(name string) (Measure, bool) {
	i := slices.Index(MeasureNames[:], name)
	return Measure(max(i, 0)), i >= 0
}

// MeasureValues holds the value of each measure at one time.
type MeasureValues [measureCount]float64

// Condition is met while a measure is above, or below, a threshold.
type Condition struct {
	Measure     Measure
	Below       bool // met below the threshold, not above it
	Threshold   float64
	MinDuration float64 // seconds for which it must be met without a break
}

func (c Condition) String() string {
	comparison := "above"
	if c.Below {
		comparison = "below"
	}
	return fmt.Sprintf("%s %s %g for %gs", c.Measure, comparison, c.Threshold, c.MinDuration)
}

func (c Condition) isMet(values MeasureValues) bool {
	if c.Below {
		return values[c.Measure] < c.Threshold
	}
	return values[c.Measure] > c.Threshold
}

// Actions is how a level reduces service.
type Actions struct {
	AdmitRatio     map[string]float64 // fraction of batches still admitted, by service group; a group not in it: all
	MinUtilityRate float64            // batches with less utility per second of work are shed
	MaxRetries     int                // per batch; negative: none; 0: as other settings say
	ProbeRatio     float64            // fraction of the usual probes that is still sent; 0: all
	GiveUpFactor   float64            // a queued batch is given up once less than this times its expected time is left; 0: 1
}

// Level is a level of reduced service.
type Level struct {
	Name        string
	Enter       []Condition // any one enters the level
	Exit        []Condition // all of them have to be met for a trial to start
	MinDuration float64     // seconds in the level before a trial
	Actions
}

// Settings configure a Machine.
type Settings struct {
	Levels                  []Level  // the mildest first; normal service, before them, is not in the list
	TrialSteps              int      // steps of a trial
	TrialStepTime           float64  // seconds of each step
	BackoffFactor           float64  // a relapse multiplies the delay before the next trial by this
	MaxTrialDelay           float64  // upper limit of that delay, in seconds
	MaxTransitionsPerMinute int      // 0 or less: no limit
	Spread                  float64  // durations differ between routers by up to this fraction in both directions
	ForcedLevel             string   // the level to be in regardless of measures; empty: none
	ForbiddenLevels         []string // names of levels that must not be entered
}

// Normal is the name of the level of service without any reduction.
const Normal = "usual"

// State is the level that applies now.
type State struct {
	Level   int // 0: normal service; n: Settings.Levels[n-1]
	Name    string
	Reason  string  // why the machine is at this level or trial step, for logs and status
	Since   float64 // time in seconds at which the level was entered or had its last relapse
	Step    int     // step of the trial, from 1; 0: no trial
	Actions Actions // with the reduction that a trial has lifted taken off
}

// Machine is the state machine of the levels. Only Update and Reconfigure change its state. Times are in seconds.
type Machine struct {
	settings   Settings
	timeFactor float64 // all durations are multiplied by it, see Settings.Spread
	now        float64 // time of the last Update

	level, step   int // as in State
	since         float64
	stepStartedAt float64
	trialDelay    float64 // least time from since to the next trial
	relapses      int
	hasLeftLevel  bool    // a trial has ended a level before,
	leftAt        float64 // last at this time
	reason        string
	enterMetSince [][]float64 // by level and condition, the time since when it has been met; NaN: it is not met
	exitMetSince  [][]float64 // the same for the conditions to exit
	transitions   []float64   // times of the transitions of the last minute
}

// New starts a machine in normal service. position, from 0 to 1, is this router's place among all routers. It spreads the
// durations, so that routers that measure the same do not change levels at the same time.
func New(s Settings, position, now float64) *Machine {
	m := &Machine{now: now}
	m.timeFactor = 1 + s.Spread*(2*min(max(position, 0), 1)-1)
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

// neverMet returns the times since when n conditions have been met, for conditions that are not met.
func neverMet(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = math.NaN()
	}
	return out
}

// Reconfigure replaces the settings. The machine stays at its level, and in its trial, if the new settings have a level of the
// same name; otherwise it returns to normal service. If the level is forbidden now, the machine enters the nearest milder
// level that is allowed.
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

// nearestAllowed returns level, or if it is forbidden the nearest milder level that is not.
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

// Update evaluates the conditions with the measures at a time, and moves to another level or trial step if they ask for it.
// changed reports whether it did. A call whose time is not later than the previous one does nothing.
func (m *Machine) Update(now float64, values MeasureValues) (s State, changed bool) {
	if now <= m.now {
		return m.State(), false
	}
	m.now = now
	level, step := m.level, m.step
	for i, l := range m.settings.Levels {
		updateMetSince(m.enterMetSince[i], l.Enter, values, now)
		updateMetSince(m.exitMetSince[i], l.Exit, values, now)
	}
	m.decide(values)
	return m.State(), level != m.level || step != m.step
}

// updateMetSince updates the times since when conditions have been met.
func updateMetSince(since []float64, conditions []Condition, values MeasureValues, now float64) {
	for i, c := range conditions {
		switch {
		case !c.isMet(values):
			since[i] = math.NaN()
		case math.IsNaN(since[i]):
			since[i] = now
		}
	}
}

// mayTransition drops the transitions that are at least a minute old from the list and reports whether the limit on
// transitions between load levels per minute allows one more. The limit may delay a level that would
// relieve the router, but flapping would cost more, and the batches that a level sheds are rejected without harm.
func (m *Machine) mayTransition() bool {
	m.transitions = slices.DeleteFunc(m.transitions, func(at float64) bool { return at <= m.now-60 })
	return m.settings.MaxTransitionsPerMinute <= 0 || len(m.transitions) < m.settings.MaxTransitionsPerMinute
}

// decide enters the forced level, enters the most severe level whose conditions are met, or starts or advances a trial.
func (m *Machine) decide(values MeasureValues) {
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
		if reason := m.enterReason(to-1, values); reason != "" && !m.isForbidden(to) {
			if m.mayTransition() {
				m.escalate(to, reason)
			}
			return
		}
	}
	if m.level == 0 {
		return
	}
	if m.step > 0 {
		m.advanceTrial(values)
		return
	}
	l := s.Levels[m.level-1]
	if m.now-m.since < max(l.MinDuration, m.trialDelay)*m.timeFactor {
		return
	}
	for i, c := range l.Exit {
		if since := m.exitMetSince[m.level-1][i]; math.IsNaN(since) || m.now-since < c.MinDuration*m.timeFactor {
			return
		}
	}
	m.step, m.stepStartedAt, m.reason = 1, m.now, "trial: "+describeConditions(l.Exit, values)
	m.enterMetSince[m.level-1] = neverMet(len(l.Enter)) // time before the trial must not count towards a relapse
}

// escalate enters a more severe level. If a level was left only a short time ago, it was left too early, so the delay before
// the next trial grows as after a relapse. Otherwise a load that stays near the threshold would cause as many transitions as
// the limit per minute allows.
func (m *Machine) escalate(to int, reason string) {
	s := &m.settings
	minDuration := s.Levels[to-1].MinDuration
	if recent := max(recentFactor*minDuration, 2*m.trialDelay); m.hasLeftLevel && m.now-m.leftAt < recent {
		m.extendTrialDelay(minDuration)
	} else {
		m.trialDelay, m.relapses = 0, 0
	}
	m.enterLevel(to, m.now, reason)
}

// recentFactor times a level's MinDuration is the time for which leaving a level counts as recent.
const recentFactor = 3

// extendTrialDelay multiplies the delay before the next trial. minDuration is that of the level, a lower limit of the delay.
func (m *Machine) extendTrialDelay(minDuration float64) {
	m.relapses++
	m.trialDelay = min(max(m.trialDelay, minDuration)*max(m.settings.BackoffFactor, 1), max(m.settings.MaxTrialDelay, minDuration))
}

// advanceTrial moves a trial on to its next step when that is due, and leaves the level after the last one. If a condition to
// enter the level is met meanwhile, the trial ends with a relapse, and the next one comes later.
func (m *Machine) advanceTrial(values MeasureValues) {
	s := &m.settings
	if reason := m.enterReason(m.level-1, values); reason != "" {
		m.step, m.since, m.reason = 0, m.now, "relapse: "+reason
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

// enterReason describes the first condition that has been met for long enough to enter Settings.Levels[index]; empty if there
// is none.
func (m *Machine) enterReason(index int, values MeasureValues) string {
	for i, c := range m.settings.Levels[index].Enter {
		if since := m.enterMetSince[index][i]; !math.IsNaN(since) && m.now-since >= c.MinDuration*m.timeFactor {
			return fmt.Sprintf("%s (%.3g)", c, values[c.Measure])
		}
	}
	return ""
}

// describeConditions lists conditions with the present values of their measures.
func describeConditions(conditions []Condition, values MeasureValues) string {
	var out []string
	for _, c := range conditions {
		out = append(out, fmt.Sprintf("%s (%.3g)", c, values[c.Measure]))
	}
	return strings.Join(out, ", ")
}

// State returns the level that applies now. During a trial its actions lie between those of the level and of the level that
// follows if the trial succeeds.
func (m *Machine) State() State {
	out := State{Level: m.level, Name: m.levelName(), Reason: m.reason, Since: m.since, Step: m.step}
	if m.level == 0 {
		return out
	}
	out.Actions = m.settings.Levels[m.level-1].Actions
	if m.step == 0 {
		return out
	}
	var milder Actions
	if next := m.nearestAllowed(m.level - 1); next > 0 {
		milder = m.settings.Levels[next-1].Actions
	}
	out.Actions = interpolate(out.Actions, milder, float64(m.step)/float64(max(m.settings.TrialSteps, 1)+1))
	return out
}

// interpolate returns from with its admit ratios and its utility rate moved towards those of to; fraction is 0 to 1.
func interpolate(from, to Actions, fraction float64) Actions {
	out := from
	out.AdmitRatio = map[string]float64{}
	ratio := func(a Actions, group string) float64 {
		if v, ok := a.AdmitRatio[group]; ok {
			return v
		}
		return 1
	}
	for _, a := range []Actions{from, to} {
		for g := range a.AdmitRatio {
			out.AdmitRatio[g] = ratio(from, g) + fraction*(ratio(to, g)-ratio(from, g))
		}
	}
	out.MinUtilityRate += fraction * (to.MinUtilityRate - from.MinUtilityRate)
	return out
}
