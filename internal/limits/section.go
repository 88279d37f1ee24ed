package limits

import (
	"fmt"
	"slices"
	"strings"

	"pitchfield/internal/findings"
)

// LimitSections are the sections [[budget]], [further], [[route]], [[concurrency]] and [adaptive] of the settings file.
type LimitSections struct {
	Budget []struct {
		Name string `toml:"name"`
		budget
	} `toml:"budget"`
	Further *struct { // budgets of further dispatches (retries): of all batches, and to each engine
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

// budget holds the keys that [[budget]] and [further] have in common.
type budget struct {
	Free   float64 `toml:"free"`
	Share  float64 `toml:"share"`
	Window string  `toml:"window"`
	Fleet  bool    `toml:"fleet"`
}

// Validate reads the sections and reports what is wrong with their values. Whether the limits could break one of the router's
// rules depends on the platform's settings, and is found by Check.
func (f *LimitSections) Validate(report findings.Reporter) (out Config) {
	budgets := map[string]*RetryBudget{}
	for i, b := range f.Budget {
		key := fmt.Sprintf("budget[%d]", i)
		parsed := parseBudget(report, key, b.Name, &b.budget)
		if b.Name == "" || budgets[b.Name] != nil {
			report.Errorf(key+".name", "%q is empty or there twice", b.Name)
		}
		budgets[b.Name] = parsed
		out.Budgets = append(out.Budgets, parsed)
	}
	if f.Further != nil {
		out.AllRetries, out.EngineRetries = parseBudget(report, "further.all", "further.all", f.Further.All), parseBudget(report, "further.engine", "further.engine", f.Further.Engine)
		if out.AllRetries == nil && out.EngineRetries == nil {
			report.Errorf("further", "it has neither all nor engine")
		}
		if out.EngineRetries != nil && out.EngineRetries.FleetWide {
			report.Errorf("further.engine.fleet", "to one engine each router has a budget of its own; further.all and [[budget]] may be of all routers")
		}
	}
	concurrencies := f.parseConcurrencyLimits(report, &out)
	if a := f.Adaptive; a != nil {
		out.AdaptiveLine = report.Line("adaptive")
		out.Adaptive = AdaptiveSettings{Kind: a.Kind, Min: a.Least, Max: a.Most, Initial: a.First, MaxSlowdown: a.Stretch}
		if a.Kind == "" {
			report.Errorf("adaptive.kind", "it has to be there")
		}
	}
	var routes []*Route
	for i, r := range f.Route {
		key := fmt.Sprintf("route[%d]", i)
		route := &Route{Name: r.Name, Line: report.Line(key), Jitter: r.Jitter, Budget: budgets[r.Budget],
			Pattern: Fields{Group: r.Group, Client: r.Client, Login: r.Login, Application: r.Application, Protocol: r.Protocol, DataSet: r.DataSet}}
		route.Timeout, route.RetryDelay = report.Seconds(key+".time-out", r.Timeout, 3600), report.Seconds(key+".pause", r.Pause, 3600)
		if r.Dispatches != nil {
			if route.MaxDispatches = *r.Dispatches; route.MaxDispatches == 0 {
				report.Errorf(key+".dispatches", "rule 1: a batch without a dispatch can't be answered; leave it out for the platform's number")
			}
		}
		if r.Budget != "" && route.Budget == nil {
			report.Errorf(key+".budget", "there is no budget %q", r.Budget)
		}
		if route.Concurrency = concurrencies[r.Concurrency]; r.Concurrency != "" && route.Concurrency == nil {
			report.Errorf(key+".concurrency", "there is no concurrency %q", r.Concurrency)
		}
		if r.Copies != nil {
			route.Hedging = &HedgePolicy{AfterQuantile: r.Copies.After, MaxRatio: r.Copies.Share}
			switch r.Copies.To {
			case "", "engine":
			case "zone":
				route.Hedging.OtherZone = true
			default:
				report.Errorf(key+".copies.to", "%q is neither engine nor zone", r.Copies.To)
			}
		}
		if r.MostResult != "" {
			route.MaxResultBytes = report.Megabytes(key+".most-result", r.MostResult) * (1 << 20)
		}
		route.EngineKinds = r.Engines
		routes = append(routes, route)
	}
	out.Routes = routes
	return out
}

// FleetWideKeys returns the keys of the limits that all routers divide among themselves, which needs peer messaging.
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

// parseBudget reads the budget at a key. It returns nil if there is none.
func parseBudget(report findings.Reporter, key, name string, b *budget) *RetryBudget {
	if b == nil {
		return nil
	}
	parsed := &RetryBudget{Name: name, FreeRetries: b.Free, RetryRatio: b.Share, Window: report.Seconds(key+".window", b.Window, 3600), FleetWide: b.Fleet, Line: report.Line(key)}
	if parsed.Window == 0 {
		parsed.Window = 10
	}
	return parsed
}

// parseConcurrencyLimits reads the concurrency limits into out, and returns them by name.
func (f *LimitSections) parseConcurrencyLimits(report findings.Reporter, out *Config) map[string]*ConcurrencyLimit {
	byName := map[string]*ConcurrencyLimit{}
	for i, limit := range f.Concurrency {
		key := fmt.Sprintf("concurrency[%d]", i)
		parsed := &ConcurrencyLimit{Name: limit.Name, Line: report.Line(key)}
		for name, number := range map[string]struct {
			target *int
			value  *int
		}{"engine": {&parsed.PerEngine, limit.Engine}, "fleet": {&parsed.PerRouter, limit.Fleet}, "routers": {&parsed.FleetWide, limit.Routers}} {
			if number.value != nil {
				if *number.target = *number.value; *number.value == 0 {
					report.Errorf(key+"."+name, "rule 1: with none out no batch can be answered; leave it out for no bound")
				}
			}
		}
		if limit.AtBound != "" {
			if n := slices.Index(LimitActionNames[:], limit.AtBound); n >= 0 {
				parsed.OnLimit = LimitAction(n)
			} else {
				report.Errorf(key+".at-bound", "%q is none of %s", limit.AtBound, strings.Join(LimitActionNames[:], ", "))
			}
		}
		if limit.Name == "" || byName[limit.Name] != nil {
			report.Errorf(key+".name", "%q is empty or there twice", limit.Name)
		}
		byName[limit.Name] = parsed
		out.ConcurrencyLimits = append(out.ConcurrencyLimits, parsed)
	}
	return byName
}
