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
		terms
	} `toml:"rule"`
	Default *terms `toml:"default"`
}

type terms struct {
	Group  string `toml:"group"`
	Client string `toml:"client"`
	Key    string `toml:"key"`
	Limit  string `toml:"limit"`
	Cost   string `toml:"cost"`
	Memory string `toml:"memory"`
}

const longestLimit = 24 * 3600

// Prove gives the rules.
func (f *RuleSections) Prove(c findings.Reporter) (out Rules) {
	for i, r := range f.Rule {
		at := fmt.Sprintf("rule[%d]", i)
		if r.Group == "" {
			c.Errorf(at, "a rule without a group decides nothing")
		}
		out.List = append(out.List, Rule{Login: r.Login, Application: r.Application,
			Database: r.Database, Form: r.Form, Terms: termsOf(c, at, r.terms)})
	}
	if f.Default != nil {
		t := termsOf(c, "default", *f.Default)
		if t.Group == "" {
			c.Errorf("default", "a default without a group decides nothing")
		}
		out.Default = &t
	}
	return out
}

func termsOf(c findings.Reporter, at string, t terms) Terms {
	out := Terms{Group: t.Group, Client: t.Client, Key: t.Key, Limit: c.Seconds(at+".limit", t.Limit, longestLimit),
		Cost: c.Seconds(at+".cost", t.Cost, 1e6)}
	out.Memory = c.Megabytes(at+".memory", t.Memory)
	return out
}

// GroupsOf gives the service groups that rules name, each with the key that it stands under.
func (r *Rules) GroupsOf(each func(key, group string)) {
	for n, one := range r.List {
		each(fmt.Sprintf("rule[%d].group", n), one.Group)
	}
	if r.Default != nil {
		each("default.group", r.Default.Group)
	}
}
