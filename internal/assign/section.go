package assign

import (
	"fmt"

	"pitchfield/internal/findings"
)

// RuleSections are [[rule]] and [default] of an operator's settings.
type RuleSections struct {
	Rule []struct {
		Login       string   `toml:"login"`
		Application string   `toml:"application"`
		Database    string   `toml:"database"`
		Form        []string `toml:"form"`
		propertiesSection
	} `toml:"rule"`
	Default *propertiesSection `toml:"default"`
}

type propertiesSection struct {
	Group  string `toml:"group"`
	Client string `toml:"client"`
	Key    string `toml:"key"`
	Limit  string `toml:"limit"`
	Cost   string `toml:"cost"`
	Memory string `toml:"memory"`
}

const maxRuleLimitSeconds = 24 * 3600

// Validate gives the rules.
func (f *RuleSections) Validate(c findings.Reporter) (out Rules) {
	for i, r := range f.Rule {
		at := fmt.Sprintf("rule[%d]", i)
		if r.Group == "" {
			c.Errorf(at, "a rule without a group decides nothing")
		}
		out.List = append(out.List, Rule{Login: r.Login, Application: r.Application,
			Database: r.Database, Commands: r.Form, BatchProperties: batchProperties(c, at, r.propertiesSection)})
	}
	if f.Default != nil {
		t := batchProperties(c, "default", *f.Default)
		if t.Group == "" {
			c.Errorf("default", "a default without a group decides nothing")
		}
		out.Default = &t
	}
	return out
}

func batchProperties(c findings.Reporter, at string, t propertiesSection) BatchProperties {
	out := BatchProperties{Group: t.Group, Client: t.Client, Key: t.Key, Limit: c.Seconds(at+".limit", t.Limit, maxRuleLimitSeconds),
		Cost: c.Seconds(at+".cost", t.Cost, 1e6)}
	out.Memory = c.Megabytes(at+".memory", t.Memory)
	return out
}

// EachGroup gives the service groups that rules name, each with the key that it stands under.
func (r *Rules) EachGroup(each func(key, group string)) {
	for n, one := range r.List {
		each(fmt.Sprintf("rule[%d].group", n), one.Group)
	}
	if r.Default != nil {
		each("default.group", r.Default.Group)
	}
}
