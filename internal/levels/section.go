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

const longestTime = 24 * 3600

// Prove gives the levels that the sections tell, nil for none, and the time in seconds over which what they are entered by
// fades. What is left out has a usual value.
func (f *LevelSections) Prove(c findings.Reporter) (s *Settings, over float64) {
	if f.Levels == nil && len(f.Level) == 0 {
		return nil, 0
	}
	s, over = &Settings{Steps: 4, StepTime: 5, Backoff: 2, MostDelay: 300, Turns: 2, Spread: 0.3}, 5
	if l := f.Levels; l != nil {
		s.Hold, s.Forbid = l.Hold, l.Forbid
		set := func(into *float64, v float64) {
			if v != 0 {
				*into = v
			}
		}
		set(&over, c.Seconds("levels.over", l.Over, 600))
		set(&s.StepTime, c.Seconds("levels.step-time", l.StepTime, 3600))
		set(&s.MostDelay, c.Seconds("levels.most-delay", l.MostDelay, longestTime))
		set(&s.Backoff, l.Backoff)
		set(&s.Spread, l.Spread)
		if l.Steps != 0 {
			s.Steps = l.Steps
		}
		if l.Turns != 0 {
			s.Turns = l.Turns
		}
		c.CheckRange("levels.steps", float64(s.Steps), 1, 100)
		c.CheckRange("levels.turns-a-minute", float64(s.Turns), 1, 60)
		c.CheckRange("levels.backoff", s.Backoff, 1, 100)
		c.CheckRange("levels.spread", s.Spread, 0, 0.9)
	}
	names := map[string]bool{Usual: true}
	for i, l := range f.Level {
		at := fmt.Sprintf("level[%d]", i)
		if l.Name == "" || names[l.Name] {
			c.Errorf(at+".name", "%q is empty, there twice, or %q, which is the service without a level", l.Name, Usual)
		}
		names[l.Name] = true
		one := Level{Name: l.Name, Least: c.Seconds(at+".least", l.Least, longestTime)}
		one.Does = Does{Keep: l.Keep, LeastGain: l.LeastGain, Probes: l.Probes, Early: l.Early}
		if one.Least == 0 {
			one.Least = 30
		}
		if l.Further != nil {
			c.CheckRange(at+".further", float64(*l.Further), 0, 2)
			if one.Further = *l.Further; one.Further == 0 {
				one.Further = -1
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
		one.Enter, one.Exit = conditionsOf(c, at+".enter", l.Enter), conditionsOf(c, at+".exit", l.Exit)
		if len(one.Enter) == 0 && s.Hold != l.Name {
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
	for _, name := range append([]string{s.Hold}, s.Forbid...) {
		if name != "" && !names[name] {
			c.Errorf("levels", "there is no level %q to hold or forbid", name)
		}
	}
	return s, over
}

func conditionsOf(c findings.Reporter, at string, list []condition) (out []Condition) {
	for i, one := range list {
		key := fmt.Sprintf("%s[%d]", at, i)
		m, known := Named(one.Measure)
		if !known {
			c.Errorf(key, "%q is no measure; there are %s", one.Measure, strings.Join(Names[:], ", "))
		}
		if (one.Above == nil) == (one.Below == nil) {
			c.Errorf(key, "a condition has either above or below")
			continue
		}
		l := Condition{Measure: m, Below: one.Below != nil, For: c.Seconds(key, one.For, 3600)}
		if l.Below {
			l.Value = *one.Below
		} else {
			l.Value = *one.Above
		}
		c.CheckRange(key, l.Value, 0, 1e6)
		out = append(out, l)
	}
	return out
}

// GroupsOf gives the service groups that levels keep a share of, each with the key that it stands under.
func (s *Settings) GroupsOf(each func(key, group string)) {
	for n, l := range s.Levels {
		for _, group := range slices.Sorted(maps.Keys(l.Keep)) {
			each(fmt.Sprintf("level[%d].keep.%s", n, group), group)
		}
	}
}
