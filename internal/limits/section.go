package limits

import (
	"fmt"
	"slices"
	"strings"

	"pitchfield/internal/findings"
)

// LimitSections are [[budget]], [further], [[route]], [[concurrency]] and [adaptive] of an operator's settings.
type LimitSections struct {
	Budget []struct {
		Name string `toml:"name"`
		budget
	} `toml:"budget"`
	Further *struct { // dispatches, of all batches and to each engine
		All    *budget `toml:"all"`
		Engine *budget `toml:"engine"`
	} `toml:"further"`
	Route []struct {
		Name        string  `toml:"name"`
		Group       string  `toml:"group"`
		Client      string  `toml:"client"`
		Login       string  `toml:"login"`
		Application string  `toml:"application"`
		Protocol    string  `toml:"protocol"`
		DataSet     string  `toml:"data-set"`
		Dispatches  *int    `toml:"dispatches"`
		Timeout     string  `toml:"time-out"`
		Pause       string  `toml:"pause"`
		Jitter      float64 `toml:"jitter"`
		Budget      string  `toml:"budget"`
		Copies      *struct {
			After float64 `toml:"after"`
			Share float64 `toml:"share"`
			To    string  `toml:"to"`
		} `toml:"copies"`
		Concurrency string   `toml:"concurrency"`
		MostResult  string   `toml:"most-result"`
		Engines     []string `toml:"engines"`
	} `toml:"route"`
	Concurrency []struct {
		Name    string `toml:"name"`
		Engine  *int   `toml:"engine"`
		Fleet   *int   `toml:"fleet"`
		Routers *int   `toml:"routers"`
		AtBound string `toml:"at-bound"`
	} `toml:"concurrency"`
	Adaptive *struct {
		Kind    string  `toml:"kind"`
		Least   float64 `toml:"least"`
		Most    float64 `toml:"most"`
		First   float64 `toml:"first"`
		Stretch float64 `toml:"stretch"`
	} `toml:"adaptive"`
}

type budget struct {
	Free   float64 `toml:"free"`
	Share  float64 `toml:"share"`
	Window string  `toml:"window"`
	Fleet  bool    `toml:"fleet"`
}

// Validate gives all  Whether they could break a rule is found against the platform's settings, by Check.
func (f *LimitSections) Validate(c findings.Reporter) (out Config) {
	budgets := map[string]*RetryBudget{}
	for i, b := range f.Budget {
		at := fmt.Sprintf("budget[%d]", i)
		one := parseBudget(c, at, b.Name, &b.budget)
		if b.Name == "" || budgets[b.Name] != nil {
			c.Errorf(at+".name", "%q is empty or there twice", b.Name)
		}
		budgets[b.Name] = one
		out.Budgets = append(out.Budgets, one)
	}
	if f.Further != nil {
		out.AllRetries, out.EngineRetries = parseBudget(c, "further.all", "further.all", f.Further.All), parseBudget(c, "further.engine", "further.engine", f.Further.Engine)
		if out.AllRetries == nil && out.EngineRetries == nil {
			c.Errorf("further", "it has neither all nor engine")
		}
		if out.EngineRetries != nil && out.EngineRetries.FleetWide {
			c.Errorf("further.engine.fleet", "to one engine each router has a budget of its own; further.all and [[budget]] may be of all routers")
		}
	}
	concurrencies := f.parseConcurrencyLimits(c, &out)
	if a := f.Adaptive; a != nil {
		out.AdaptiveLine = c.Line("adaptive")
		out.Adaptive = AdaptiveSettings{Kind: a.Kind, Min: a.Least, Max: a.Most, Initial: a.First, MaxSlowdown: a.Stretch}
		if a.Kind == "" {
			c.Errorf("adaptive.kind", "it has to be there")
		}
	}
	var all []*Route
	for i, r := range f.Route {
		at := fmt.Sprintf("route[%d]", i)
		one := &Route{Name: r.Name, Line: c.Line(at), Jitter: r.Jitter, Budget: budgets[r.Budget],
			Pattern: Fields{Group: r.Group, Client: r.Client, Login: r.Login, Application: r.Application, Protocol: r.Protocol, DataSet: r.DataSet}}
		one.Timeout, one.RetryDelay = c.Seconds(at+".time-out", r.Timeout, 3600), c.Seconds(at+".pause", r.Pause, 3600)
		if r.Dispatches != nil {
			if one.MaxDispatches = *r.Dispatches; one.MaxDispatches == 0 {
				c.Errorf(at+".dispatches", "rule 1: a batch without a dispatch can't be answered; leave it out for the platform's number")
			}
		}
		if r.Budget != "" && one.Budget == nil {
			c.Errorf(at+".budget", "there is no budget %q", r.Budget)
		}
		if one.Concurrency = concurrencies[r.Concurrency]; r.Concurrency != "" && one.Concurrency == nil {
			c.Errorf(at+".concurrency", "there is no concurrency %q", r.Concurrency)
		}
		if r.Copies != nil {
			one.Hedging = &HedgePolicy{AfterQuantile: r.Copies.After, MaxRatio: r.Copies.Share}
			switch r.Copies.To {
			case "", "engine":
			case "zone":
				one.Hedging.OtherZone = true
			default:
				c.Errorf(at+".copies.to", "%q is neither engine nor zone", r.Copies.To)
			}
		}
		if r.MostResult != "" {
			one.MaxResultBytes = c.Megabytes(at+".most-result", r.MostResult) * (1 << 20)
		}
		one.EngineKinds = r.Engines
		all = append(all, one)
	}
	out.Routes = all
	return out
}

// FleetWideKeys gives the keys of what all routers divide, for which they have to talk.
func (f *LimitSections) FleetWideKeys() (keys []string) {
	for i, b := range f.Budget {
		if b.Fleet {
			keys = append(keys, fmt.Sprintf("budget[%d].fleet", i))
		}
	}
	if f.Further != nil && f.Further.All != nil && f.Further.All.Fleet {
		keys = append(keys, "further.all.fleet")
	}
	for i, c := range f.Concurrency {
		if c.Routers != nil {
			keys = append(keys, fmt.Sprintf("concurrency[%d].routers", i))
		}
	}
	return keys
}

// budget reads one; nil for none.
func parseBudget(c findings.Reporter, at, name string, b *budget) *RetryBudget {
	if b == nil {
		return nil
	}
	one := &RetryBudget{Name: name, FreeRetries: b.Free, RetryRatio: b.Share, Window: c.Seconds(at+".window", b.Window, 3600), FleetWide: b.Fleet, Line: c.Line(at)}
	if one.Window == 0 {
		one.Window = 10
	}
	return one
}

// parseConcurrencyLimits reads bounds of what is out, by name.
func (f *LimitSections) parseConcurrencyLimits(c findings.Reporter, out *Config) map[string]*ConcurrencyLimit {
	all := map[string]*ConcurrencyLimit{}
	for i, one := range f.Concurrency {
		at := fmt.Sprintf("concurrency[%d]", i)
		made := &ConcurrencyLimit{Name: one.Name, Line: c.Line(at)}
		for key, set := range map[string]struct {
			into *int
			v    *int
		}{"engine": {&made.PerEngine, one.Engine}, "fleet": {&made.PerRouter, one.Fleet}, "routers": {&made.FleetWide, one.Routers}} {
			if set.v != nil {
				if *set.into = *set.v; *set.v == 0 {
					c.Errorf(at+"."+key, "rule 1: with none out no batch can be answered; leave it out for no bound")
				}
			}
		}
		if one.AtBound != "" {
			if n := slices.Index(LimitActionNames[:], one.AtBound); n >= 0 {
				made.OnLimit = LimitAction(n)
			} else {
				c.Errorf(at+".at-bound", "%q is none of %s", one.AtBound, strings.Join(LimitActionNames[:], ", "))
			}
		}
		if one.Name == "" || all[one.Name] != nil {
			c.Errorf(at+".name", "%q is empty or there twice", one.Name)
		}
		all[one.Name] = made
		out.ConcurrencyLimits = append(out.ConcurrencyLimits, made)
	}
	return all
}
