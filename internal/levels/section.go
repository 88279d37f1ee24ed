package levels

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pitchfield/internal/findings"
)

// LevelSections are the sections [levels] and [[level]] of the settings file.
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

// condition has either Above or Below.
type condition struct {
	Measure string   `toml:"measure"`
	Above   *float64 `toml:"above"`
	Below   *float64 `toml:"below"`
	For     string   `toml:"for"`
}

// maxSeconds is the longest delay before a trial and the longest time in a level that settings may ask for.
const maxSeconds = 24 * 3600

// Validate reads the sections and reports what is wrong with their values. It returns nil if the file has neither section, and
// else the settings, with defaults for whatever is left out, and the time constant for NewGauge in seconds.
func (f *LevelSections) Validate(report findings.Reporter) (s *Settings, timeConstant float64) {
	if f.Levels == nil && len(f.Level) == 0 {
		return nil, 0
	}
	s, timeConstant = &Settings{TrialSteps: 4, TrialStepTime: 5, BackoffFactor: 2, MaxTrialDelay: 300, MaxTransitionsPerMinute: 2, Spread: 0.3}, 5
	if l := f.Levels; l != nil {
		s.ForcedLevel, s.ForbiddenLevels = l.Hold, l.Forbid
		set := func(target *float64, v float64) {
			if v != 0 {
				*target = v
			}
		}
		set(&timeConstant, report.Seconds("levels.over", l.Over, 600))
		set(&s.TrialStepTime, report.Seconds("levels.step-time", l.StepTime, 3600))
		set(&s.MaxTrialDelay, report.Seconds("levels.most-delay", l.MostDelay, maxSeconds))
		set(&s.BackoffFactor, l.Backoff)
		set(&s.Spread, l.Spread)
		if l.Steps != 0 {
			s.TrialSteps = l.Steps
		}
		if l.Turns != 0 {
			s.MaxTransitionsPerMinute = l.Turns
		}
		report.CheckRange("levels.steps", float64(s.TrialSteps), 1, 100)
		report.CheckRange("levels.turns-a-minute", float64(s.MaxTransitionsPerMinute), 1, 60)
		report.CheckRange("levels.backoff", s.BackoffFactor, 1, 100)
		report.CheckRange("levels.spread", s.Spread, 0, 0.9)
	}
	names := map[string]bool{Normal: true}
	for i, l := range f.Level {
		key := fmt.Sprintf("level[%d]", i)
		if l.Name == "" || names[l.Name] {
			report.Errorf(key+".name", "%q is empty, there twice, or %q, which is the service without a level", l.Name, Normal)
		}
		names[l.Name] = true
		level := Level{Name: l.Name, MinDuration: report.Seconds(key+".least", l.Least, maxSeconds)}
		level.Actions = Actions{AdmitRatio: l.Keep, MinUtilityRate: l.LeastGain, ProbeRatio: l.Probes, GiveUpFactor: l.Early}
		if level.MinDuration == 0 {
			level.MinDuration = 30
		}
		if l.Further != nil {
			report.CheckRange(key+".further", float64(*l.Further), 0, 2)
			if level.MaxRetries = *l.Further; level.MaxRetries == 0 {
				level.MaxRetries = -1
			}
		}
		for group, ratio := range l.Keep {
			report.CheckRange(key+".keep."+group, ratio, 0, 1)
		}
		report.CheckRange(key+".probes", l.Probes, 0, 1)
		report.CheckRange(key+".least-gain", l.LeastGain, 0, 1e9)
		if l.Early != 0 {
			report.CheckRange(key+".early", l.Early, 1, 100)
		}
		level.Enter, level.Exit = parseConditions(report, key+".enter", l.Enter), parseConditions(report, key+".exit", l.Exit)
		if len(level.Enter) == 0 && s.ForcedLevel != l.Name {
			report.Errorf(key, "without a condition to enter it is never entered")
		}
		if len(level.Exit) == 0 {
			report.Errorf(key, "without a condition to leave it is left at once")
		}
		for _, enter := range level.Enter {
			for _, exit := range level.Exit {
				if enter.Measure == exit.Measure && enter.Below == exit.Below && len(level.Exit) == 1 {
					report.Errorf(key, "it is left by the very condition that it is entered by: %s", enter)
				}
			}
		}
		s.Levels = append(s.Levels, level)
	}
	for _, name := range append([]string{s.ForcedLevel}, s.ForbiddenLevels...) {
		if name != "" && !names[name] {
			report.Errorf("levels", "there is no level %q to hold or forbid", name)
		}
	}
	return s, timeConstant
}

// parseConditions reads the conditions listed under a key.
func parseConditions(report findings.Reporter, listKey string, list []condition) (out []Condition) {
	for i, c := range list {
		key := fmt.Sprintf("%s[%d]", listKey, i)
		m, known := MeasureByName(c.Measure)
		if !known {
			report.Errorf(key, "%q is no measure; there are %s", c.Measure, strings.Join(MeasureNames[:], ", "))
		}
		if (c.Above == nil) == (c.Below == nil) {
			report.Errorf(key, "a condition has either above or below")
			continue
		}
		parsed := Condition{Measure: m, Below: c.Below != nil, MinDuration: report.Seconds(key, c.For, 3600)}
		if parsed.Below {
			parsed.Threshold = *c.Below
		} else {
			parsed.Threshold = *c.Above
		}
		report.CheckRange(key, parsed.Threshold, 0, 1e6)
		out = append(out, parsed)
	}
	return out
}

// ForEachGroup calls each for every service group that a level has an admit ratio for, with the key of the ratio in the
// settings, where admit ratios are called "keep": level[0].keep.GROUP.
func (s *Settings) ForEachGroup(each func(key, group string)) {
	for n, l := range s.Levels {
		for _, group := range slices.Sorted(maps.Keys(l.AdmitRatio)) {
			each(fmt.Sprintf("level[%d].keep.%s", n, group), group)
		}
	}
}
