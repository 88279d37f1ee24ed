package levels

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pitchfield/internal/findings"
)

// LevelSections are [levels] and [[level]] of an operator's settings.
type LevelSections struct {
	Levels *struct {
		Over      string   `toml:"over"`
		Steps     int      `toml:"steps"`
		StepTime  string   `toml:"step-time"`
		Backoff   float64  `toml:"backoff"`
		MostDelay string   `toml:"most-delay"`
		Turns     int      `toml:"turns-a-minute"`
		Spread    float64  `toml:"spread"`
		Hold      string   `toml:"hold"`
		Forbid    []string `toml:"forbid"`
	} `toml:"levels"`
	Level []struct {
		Name      string             `toml:"name"`
		Enter     []condition        `toml:"enter"`
		Exit      []condition        `toml:"exit"`
		Least     string             `toml:"least"`
		Keep      map[string]float64 `toml:"keep"`
		LeastGain float64            `toml:"least-gain"`
		Further   *int               `toml:"further"`
		Probes    float64            `toml:"probes"`
		Early     float64            `toml:"early"`
	} `toml:"level"`
}

type condition struct {
	Measure string   `toml:"measure"`
	Above   *float64 `toml:"above"`
	Below   *float64 `toml:"below"`
	For     string   `toml:"for"`
}

const maxSeconds = 24 * 3600

// Validate gives the levels that the sections tell, nil for none, and the time in seconds over which what they are entered by
// fades. What is left out has a usual value.
func (f *LevelSections) Validate(c findings.Reporter) (s *Settings, over float64) {
	if f.Levels == nil && len(f.Level) == 0 {
		return nil, 0
	}
	s, over = &Settings{TrialSteps: 4, TrialStepTime: 5, BackoffFactor: 2, MaxTrialDelay: 300, MaxTransitionsPerMinute: 2, Spread: 0.3}, 5
	if l := f.Levels; l != nil {
		s.ForcedLevel, s.ForbiddenLevels = l.Hold, l.Forbid
		set := func(into *float64, v float64) {
			if v != 0 {
				*into = v
			}
		}
		set(&over, c.Seconds("levels.over", l.Over, 600))
		set(&s.TrialStepTime, c.Seconds("levels.step-time", l.StepTime, 3600))
		set(&s.MaxTrialDelay, c.Seconds("levels.most-delay", l.MostDelay, maxSeconds))
		set(&s.BackoffFactor, l.Backoff)
		set(&s.Spread, l.Spread)
		if l.Steps != 0 {
			s.TrialSteps = l.Steps
		}
		if l.Turns != 0 {
			s.MaxTransitionsPerMinute = l.Turns
		}
		c.CheckRange("levels.steps", float64(s.TrialSteps), 1, 100)
		c.CheckRange("levels.turns-a-minute", float64(s.MaxTransitionsPerMinute), 1, 60)
		c.CheckRange("levels.backoff", s.BackoffFactor, 1, 100)
		c.CheckRange("levels.spread", s.Spread, 0, 0.9)
	}
	names := map[string]bool{Normal: true}
	for i, l := range f.Level {
		at := fmt.Sprintf("level[%d]", i)
		if l.Name == "" || names[l.Name] {
			c.Errorf(at+".name", "%q is empty, there twice, or %q, which is the service without a level", l.Name, Normal)
		}
		names[l.Name] = true
		one := Level{Name: l.Name, MinDuration: c.Seconds(at+".least", l.Least, maxSeconds)}
		one.Actions = Actions{AdmitRatio: l.Keep, MinUtilityRate: l.LeastGain, ProbeRatio: l.Probes, GiveUpFactor: l.Early}
		if one.MinDuration == 0 {
			one.MinDuration = 30
		}
		if l.Further != nil {
			c.CheckRange(at+".further", float64(*l.Further), 0, 2)
			if one.MaxRetries = *l.Further; one.MaxRetries == 0 {
				one.MaxRetries = -1
			}
		}
		for group, keep := range l.Keep {
			c.CheckRange(at+".keep."+group, keep, 0, 1)
		}
		c.CheckRange(at+".probes", l.Probes, 0, 1)
		c.CheckRange(at+".least-gain", l.LeastGain, 0, 1e9)
		if l.Early != 0 {
			c.CheckRange(at+".early", l.Early, 1, 100)
		}
		one.Enter, one.Exit = parseConditions(c, at+".enter", l.Enter), parseConditions(c, at+".exit", l.Exit)
		if len(one.Enter) == 0 && s.ForcedLevel != l.Name {
			c.Errorf(at, "without a condition to enter it is never entered")
		}
		if len(one.Exit) == 0 {
			c.Errorf(at, "without a condition to leave it is left at once")
		}
		for _, in := range one.Enter {
			for _, leave := range one.Exit {
				if in.Measure == leave.Measure && in.Below == leave.Below && len(one.Exit) == 1 {
					c.Errorf(at, "it is left by the very condition that it is entered by: %s", in)
				}
			}
		}
		s.Levels = append(s.Levels, one)
	}
	for _, name := range append([]string{s.ForcedLevel}, s.ForbiddenLevels...) {
		if name != "" && !names[name] {
			c.Errorf("levels", "there is no level %q to hold or forbid", name)
		}
	}
	return s, over
}

func parseConditions(c findings.Reporter, at string, list []condition) (out []Condition) {
	for i, one := range list {
		key := fmt.Sprintf("%s[%d]", at, i)
		m, known := MeasureByName(one.Measure)
		if !known {
			c.Errorf(key, "%q is no measure; there are %s", one.Measure, strings.Join(MeasureNames[:], ", "))
		}
		if (one.Above == nil) == (one.Below == nil) {
			c.Errorf(key, "a condition has either above or below")
			continue
		}
		l := Condition{Measure: m, Below: one.Below != nil, MinDuration: c.Seconds(key, one.For, 3600)}
		if l.Below {
			l.Threshold = *one.Below
		} else {
			l.Threshold = *one.Above
		}
		c.CheckRange(key, l.Threshold, 0, 1e6)
		out = append(out, l)
	}
	return out
}

// ForEachGroup gives the service groups that levels keep a share of, each with the key that it stands under.
func (s *Settings) ForEachGroup(each func(key, group string)) {
	for n, l := range s.Levels {
		for _, group := range slices.Sorted(maps.Keys(l.AdmitRatio)) {
			each(fmt.Sprintf("level[%d].keep.%s", n, group), group)
		}
	}
}
