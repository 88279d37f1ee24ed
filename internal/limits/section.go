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

// Prove gives all  Whether they could break a rule is found against the platform's settings, by Check.
func (f *LimitSections) Prove(c findings.Reporter) (out Set) {
	budgets := map[string]*Budget{}
	for i, b := range f.Budget {
		at := fmt.Sprintf("budget[%d]", i)
		one := budgetOf(c, at, b.Name, &b.budget)
		if b.Name == "" || budgets[b.Name] != nil {
			c.Errorf(at+".name", "%q is empty or there twice", b.Name)
		}
		budgets[b.Name] = one
		out.Budgets = append(out.Budgets, one)
	}
	if f.Further != nil {
		out.All, out.Engine = budgetOf(c, "further.all", "further.all", f.Further.All), budgetOf(c, "further.engine", "further.engine", f.Further.Engine)
		if out.All == nil && out.Engine == nil {
			c.Errorf("further", "it has neither all nor engine")
		}
		if out.Engine != nil && out.Engine.Fleet {
			c.Errorf("further.engine.fleet", "to one engine each router has a budget of its own; further.all and [[budget]] may be of all routers")
		}
	}
	concurrencies := f.concurrencies(c, &out)
	if a := f.Adaptive; a != nil {
		out.AdaptiveLine = c.Line("adaptive")
		out.Adaptive = AdaptiveSettings{Kind: a.Kind, Least: a.Least, Most: a.Most, First: a.First, Stretch: a.Stretch}
		if a.Kind == "" {
			c.Errorf("adaptive.kind", "it has to be there")
		}
	}
	var all []*Route
	for i, r := range f.Route {
		at := fmt.Sprintf("route[%d]", i)
		one := &Route{Name: r.Name, Line: c.Line(at), Jitter: r.Jitter, Budget: budgets[r.Budget],
			Match: Fields{Group: r.Group, Client: r.Client, Login: r.Login, Application: r.Application, Protocol: r.Protocol, DataSet: r.DataSet}}
		one.Timeout, one.Pause = c.Seconds(at+".time-out", r.Timeout, 3600), c.Seconds(at+".pause", r.Pause, 3600)
		if r.Dispatches != nil {
			if one.Dispatches = *r.Dispatches; one.Dispatches == 0 {
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
			one.Copies = &Copies{After: r.Copies.After, Share: r.Copies.Share}
			switch r.Copies.To {
			case "", "engine":
			case "zone":
				one.Copies.Zone = true
			default:
				c.Errorf(at+".copies.to", "%q is neither engine nor zone", r.Copies.To)
			}
		}
		if r.MostResult != "" {
			one.MostResult = c.Megabytes(at+".most-result", r.MostResult) * (1 << 20)
		}
		one.KindNames = r.Engines
		all = append(all, one)
	}
	out.Routes = all
	return out
}

// Divided gives the keys of what all routers divide, for which they have to talk.
func (f *LimitSections) Divided() (keys []string) {
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
func budgetOf(c findings.Reporter, at, name string, b *budget) *Budget {
	if b == nil {
		return nil
	}
	one := &Budget{Name: name, Free: b.Free, Share: b.Share, Window: c.Seconds(at+".window", b.Window, 3600), Fleet: b.Fleet, Line: c.Line(at)}
	if one.Window == 0 {
		one.Window = 10
	}
	return one
}

// concurrencies reads bounds of what is out, by name.
func (f *LimitSections) concurrencies(c findings.Reporter, out *Set) map[string]*Concurrency {
	all := map[string]*Concurrency{}
	for i, one := range f.Concurrency {
		at := fmt.Sprintf("concurrency[%d]", i)
		made := &Concurrency{Name: one.Name, Line: c.Line(at)}
		for key, set := range map[string]struct {
			into *int
			v    *int
		}{"engine": {&made.Engine, one.Engine}, "fleet": {&made.Fleet, one.Fleet}, "routers": {&made.Routers, one.Routers}} {
			if set.v != nil {
				if *set.into = *set.v; *set.v == 0 {
					c.Errorf(at+"."+key, "rule 1: with none out no batch can be answered; leave it out for no bound")
				}
			}
		}
		if one.AtBound != "" {
			if n := slices.Index(Bounds[:], one.AtBound); n >= 0 {
				made.AtBound = Bound(n)
			} else {
				c.Errorf(at+".at-bound", "%q is none of %s", one.AtBound, strings.Join(Bounds[:], ", "))
			}
		}
		if one.Name == "" || all[one.Name] != nil {
			c.Errorf(at+".name", "%q is empty or there twice", one.Name)
		}
		all[one.Name] = made
		out.Concurrencies = append(out.Concurrencies, made)
	}
	return all
}
