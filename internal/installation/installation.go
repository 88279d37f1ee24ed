// Package installation reads the settings that are not the platform's but ours: a TOML file that an operator writes. It
// is strict: what is unknown, of the wrong type or impossible is told with file, line and a sentence, all of it at once.
package installation

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"golang.org/x/crypto/bcrypt"

	"pitchfield/brain"
	"pitchfield/internal/assign"
	"pitchfield/internal/directory"
	"pitchfield/internal/fleet"
	"pitchfield/internal/levels"
	"pitchfield/internal/limits"
	"pitchfield/internal/settings"
)

// Installation is what the file says.
type Installation struct {
	TDS     *TDS // nil: nobody speaks it here
	Rules   assign.Rules
	Engines []Engines
	Routes  *limits.Table    // of limits
	Limits  limits.Set       // all that is told of limits
	Status  string           // where the status page listens; empty: nowhere
	Levels  *levels.Settings // of reduced service; nil: none
	Fleet   *fleet.Settings  // other routers; nil: there is no talk
	// LevelsOver is the time in seconds over which what levels are entered by fades.
	LevelsOver float64

	line   func(key string) int // where a key stands in the source
	source *source
}

// TDS is the front for its clients.
type TDS struct {
	Listen, Name string
	Idle         float64 // seconds
	Databases    []string
	Users        map[string]User // by name in lower case
}

// User is one who may log in.
type User struct {
	Hash   []byte // bcrypt's
	Client string // that the user's batches count for
}

// Engines says how those that match are spoken to. The first that matches decides; none: RESP.
type Engines struct {
	ID, Kind, Zone           string // patterns
	Protocol                 string // resp or tds
	User, Password, Database string
	Packet                   int
	Probe, Load              string
	TurnedAway               []int32
}

// Matches tells whether these are an engine's settings.
func (e *Engines) Matches(one directory.Engine) bool {
	return assign.Match(e.ID, one.ID) && assign.Match(e.Kind, one.Kind) && assign.Match(e.Zone, one.Zone)
}

type terms struct {
	Group  string `toml:"group"`
	Client string `toml:"client"`
	Key    string `toml:"key"`
	Limit  string `toml:"limit"`
	Cost   string `toml:"cost"`
	Memory string `toml:"memory"`
}

type file struct {
	TDS *struct {
		Listen    string   `toml:"listen"`
		Name      string   `toml:"name"`
		Idle      string   `toml:"idle"`
		Databases []string `toml:"databases"`
		Login     []struct {
			User   string `toml:"user"`
			Hash   string `toml:"hash"`
			Client string `toml:"client"`
		} `toml:"login"`
	} `toml:"tds"`
	Rule []struct {
		Login       string   `toml:"login"`
		Application string   `toml:"application"`
		Database    string   `toml:"database"`
		Form        []string `toml:"form"`
		terms
	} `toml:"rule"`
	Default *terms `toml:"default"`
	Engine  []struct {
		ID         string  `toml:"id"`
		Kind       string  `toml:"kind"`
		Zone       string  `toml:"zone"`
		Protocol   string  `toml:"protocol"`
		User       string  `toml:"user"`
		Password   string  `toml:"password"`
		FromEnv    string  `toml:"password-from"`
		Database   string  `toml:"database"`
		Packet     int     `toml:"packet"`
		Probe      string  `toml:"probe"`
		Load       string  `toml:"load"`
		TurnedAway []int32 `toml:"turned-away"`
	} `toml:"engine"`
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
		AtBound string `toml:"at-bound"`
	} `toml:"concurrency"`
	Adaptive *struct {
		Kind    string  `toml:"kind"`
		Least   float64 `toml:"least"`
		Most    float64 `toml:"most"`
		First   float64 `toml:"first"`
		Stretch float64 `toml:"stretch"`
	} `toml:"adaptive"`
	Status *struct {
		Listen string `toml:"listen"`
	} `toml:"status"`
	Fleet  *fleet.Section `toml:"fleet"`
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

type budget struct {
	Free   float64 `toml:"free"`
	Share  float64 `toml:"share"`
	Window string  `toml:"window"`
}

type condition struct {
	Measure string   `toml:"measure"`
	Above   *float64 `toml:"above"`
	Below   *float64 `toml:"below"`
	For     string   `toml:"for"`
}

const (
	mostFile   = 4 << 20
	mostIdle   = 24 * 3600
	usualIdle  = 600
	usualProbe = "SELECT 1"
	leastCost  = 4 // of a hash: less is no protection, and may be a slip
	mostCost   = 14
)

// Load reads the file at a path, and those that it includes.
func Load(path string, getenv func(string) string) (*Installation, error) {
	s, err := read(path)
	if err != nil {
		return nil, err
	}
	return s.parse(getenv)
}

// Parse reads the file's text. The error joins all that was found.
func Parse(path string, text []byte, getenv func(string) string) (*Installation, error) {
	return (&source{text: text, parts: []part{{path, 1}}}).parse(getenv)
}

func (s *source) parse(getenv func(string) string) (*Installation, error) {
	var f file
	d := toml.NewDecoder(strings.NewReader(string(s.text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, s.told(err)
	}
	c := checker{source: s, lines: lines(s.text)}
	out := &Installation{line: c.line, source: s}
	if t := f.TDS; t != nil {
		out.TDS = &TDS{Listen: t.Listen, Name: t.Name, Databases: t.Databases, Users: map[string]User{}}
		if out.TDS.Name == "" {
			out.TDS.Name = "pitchfield"
		}
		if a, err := netip.ParseAddrPort(t.Listen); err != nil || a.Port() == 0 {
			c.found("tds.listen", "%q is not an address and a port, as 127.0.0.1:1433", t.Listen)
		}
		out.TDS.Idle = c.seconds("tds.idle", t.Idle, mostIdle)
		if out.TDS.Idle == 0 {
			out.TDS.Idle = usualIdle
		}
		if len(t.Login) == 0 {
			c.found("tds", "without a [[tds.login]] nobody can log in")
		}
		for i, l := range t.Login {
			at := fmt.Sprintf("tds.login[%d]", i)
			name := strings.ToLower(l.User)
			if _, twice := out.TDS.Users[name]; twice || name == "" {
				c.found(at+".user", "%q is empty or there twice", l.User)
			}
			if cost, err := bcrypt.Cost([]byte(l.Hash)); err != nil || cost < leastCost || cost > mostCost {
				c.found(at+".hash", "not a bcrypt hash of a cost from %d to %d; 'pitchfield hash' makes one", leastCost, mostCost)
			}
			out.TDS.Users[name] = User{Hash: []byte(l.Hash), Client: l.Client}
		}
	}
	for i, r := range f.Rule {
		at := fmt.Sprintf("rule[%d]", i)
		if r.Group == "" {
			c.found(at, "a rule without a group decides nothing")
		}
		out.Rules.List = append(out.Rules.List, assign.Rule{Login: r.Login, Application: r.Application,
			Database: r.Database, Form: r.Form, Terms: c.terms(at, r.terms)})
	}
	if f.Default != nil {
		t := c.terms("default", *f.Default)
		if t.Group == "" {
			c.found("default", "a default without a group decides nothing")
		}
		out.Rules.Default = &t
	}
	for i, e := range f.Engine {
		at := fmt.Sprintf("engine[%d]", i)
		one := Engines{ID: e.ID, Kind: e.Kind, Zone: e.Zone, Protocol: e.Protocol, User: e.User, Password: e.Password,
			Database: e.Database, Packet: e.Packet, Probe: e.Probe, Load: e.Load, TurnedAway: e.TurnedAway}
		switch e.Protocol {
		case "resp":
			if e.User != "" || e.Password != "" || e.FromEnv != "" || e.Load != "" || e.Probe != "" {
				c.found(at, "user, password, probe and load are of protocol tds alone")
			}
		case "tds":
			if e.User == "" {
				c.found(at+".user", "an engine that speaks TDS wants a login")
			}
			if e.FromEnv != "" {
				if one.Password = getenv(e.FromEnv); one.Password == "" || e.Password != "" {
					c.found(at+".password-from", "the environment has no %q, or password stands beside it", e.FromEnv)
				}
			}
		default:
			c.found(at+".protocol", "%q is neither resp nor tds", e.Protocol)
		}
		if one.Probe == "" {
			one.Probe = usualProbe
		}
		if one.TurnedAway == nil {
			one.TurnedAway = []int32{40501, 10928, 10929}
		}
		if one.Packet == 0 {
			one.Packet = 4096
		} else if one.Packet < 512 || one.Packet > 32767 {
			c.found(at+".packet", "%d is not from 512 to 32767 bytes", e.Packet)
		}
		out.Engines = append(out.Engines, one)
	}
	if f.Status != nil {
		out.Status = f.Status.Listen
		if a, err := netip.ParseAddrPort(out.Status); err != nil || a.Port() == 0 {
			c.found("status.listen", "%q is not an address and a port, as 127.0.0.1:7480", out.Status)
		}
	}
	if f.Fleet != nil {
		out.Fleet = f.Fleet.Settings(&c)
	}
	c.levels(&f, out)
	c.routes(&f, out)
	for _, found := range limits.Check(out.Limits, limits.Platform{}) {
		c.errs = append(c.errs, fmt.Errorf("%s: %s", s.where(found.Line), found.Text))
	}
	return out, errors.Join(c.errs...)
}

// routes reads limits. Whether they could break a rule is found against the platform's settings, by Against.
func (c *checker) routes(f *file, out *Installation) {
	budgets := map[string]*limits.Budget{}
	for i, b := range f.Budget {
		at := fmt.Sprintf("budget[%d]", i)
		one := c.budget(at, b.Name, &b.budget)
		if b.Name == "" || budgets[b.Name] != nil {
			c.found(at+".name", "%q is empty or there twice", b.Name)
		}
		budgets[b.Name] = one
		out.Limits.Budgets = append(out.Limits.Budgets, one)
	}
	if f.Further != nil {
		out.Limits.All, out.Limits.Engine = c.budget("further.all", "further.all", f.Further.All), c.budget("further.engine", "further.engine", f.Further.Engine)
		if out.Limits.All == nil && out.Limits.Engine == nil {
			c.found("further", "it has neither all nor engine")
		}
	}
	concurrencies := c.concurrencies(f, out)
	if a := f.Adaptive; a != nil {
		out.Limits.AdaptiveLine = c.line("adaptive")
		out.Limits.Adaptive = limits.AdaptiveSettings{Kind: a.Kind, Least: a.Least, Most: a.Most, First: a.First, Stretch: a.Stretch}
		if a.Kind == "" {
			c.found("adaptive.kind", "it has to be there")
		}
	}
	var all []*limits.Route
	for i, r := range f.Route {
		at := fmt.Sprintf("route[%d]", i)
		one := &limits.Route{Name: r.Name, Line: c.line(at), Jitter: r.Jitter, Budget: budgets[r.Budget],
			Match: limits.Fields{Group: r.Group, Client: r.Client, Login: r.Login, Application: r.Application, Protocol: r.Protocol, DataSet: r.DataSet}}
		one.Timeout, one.Pause = c.seconds(at+".time-out", r.Timeout, 3600), c.seconds(at+".pause", r.Pause, 3600)
		if r.Dispatches != nil {
			if one.Dispatches = *r.Dispatches; one.Dispatches == 0 {
				c.found(at+".dispatches", "rule 1: a batch without a dispatch can't be answered; leave it out for the platform's number")
			}
		}
		if r.Budget != "" && one.Budget == nil {
			c.found(at+".budget", "there is no budget %q", r.Budget)
		}
		if one.Concurrency = concurrencies[r.Concurrency]; r.Concurrency != "" && one.Concurrency == nil {
			c.found(at+".concurrency", "there is no concurrency %q", r.Concurrency)
		}
		if r.Copies != nil {
			one.Copies = &limits.Copies{After: r.Copies.After, Share: r.Copies.Share}
			switch r.Copies.To {
			case "", "engine":
			case "zone":
				one.Copies.Zone = true
			default:
				c.found(at+".copies.to", "%q is neither engine nor zone", r.Copies.To)
			}
		}
		if r.MostResult != "" {
			mb, err := assign.Megabytes(r.MostResult)
			if err != nil {
				c.found(at+".most-result", "%s", err)
			}
			one.MostResult = mb * (1 << 20)
		}
		one.KindNames = r.Engines
		all = append(all, one)
	}
	out.Limits.Routes = all
	out.Routes = limits.NewTable(all)
}

// budget reads one; nil for none.
func (c *checker) budget(at, name string, b *budget) *limits.Budget {
	if b == nil {
		return nil
	}
	one := &limits.Budget{Name: name, Free: b.Free, Share: b.Share, Window: c.seconds(at+".window", b.Window, 3600), Line: c.line(at)}
	if one.Window == 0 {
		one.Window = 10
	}
	return one
}

// concurrencies reads bounds of what is out, by name.
func (c *checker) concurrencies(f *file, out *Installation) map[string]*limits.Concurrency {
	all := map[string]*limits.Concurrency{}
	for i, one := range f.Concurrency {
		at := fmt.Sprintf("concurrency[%d]", i)
		made := &limits.Concurrency{Name: one.Name, Line: c.line(at)}
		for key, set := range map[string]struct {
			into *int
			v    *int
		}{"engine": {&made.Engine, one.Engine}, "fleet": {&made.Fleet, one.Fleet}} {
			if set.v != nil {
				if *set.into = *set.v; *set.v == 0 {
					c.found(at+"."+key, "rule 1: with none out no batch can be answered; leave it out for no bound")
				}
			}
		}
		if one.AtBound != "" {
			if n := slices.Index(limits.Bounds[:], one.AtBound); n >= 0 {
				made.AtBound = limits.Bound(n)
			} else {
				c.found(at+".at-bound", "%q is none of %s", one.AtBound, strings.Join(limits.Bounds[:], ", "))
			}
		}
		if one.Name == "" || all[one.Name] != nil {
			c.found(at+".name", "%q is empty or there twice", one.Name)
		}
		all[one.Name] = made
		out.Limits.Concurrencies = append(out.Limits.Concurrencies, made)
	}
	return all
}

// levels reads those of reduced service. What is left out has a usual value.
func (c *checker) levels(f *file, out *Installation) {
	if f.Levels == nil && len(f.Level) == 0 {
		return
	}
	s := &levels.Settings{Steps: 4, StepTime: 5, Backoff: 2, MostDelay: 300, Turns: 2, Spread: 0.3}
	out.Levels, out.LevelsOver = s, 5
	if l := f.Levels; l != nil {
		s.Hold, s.Forbid = l.Hold, l.Forbid
		set := func(into *float64, v float64) {
			if v != 0 {
				*into = v
			}
		}
		set(&out.LevelsOver, c.seconds("levels.over", l.Over, 600))
		set(&s.StepTime, c.seconds("levels.step-time", l.StepTime, 3600))
		set(&s.MostDelay, c.seconds("levels.most-delay", l.MostDelay, mostIdle))
		set(&s.Backoff, l.Backoff)
		set(&s.Spread, l.Spread)
		if l.Steps != 0 {
			s.Steps = l.Steps
		}
		if l.Turns != 0 {
			s.Turns = l.Turns
		}
		c.within("levels.steps", float64(s.Steps), 1, 100)
		c.within("levels.turns-a-minute", float64(s.Turns), 1, 60)
		c.within("levels.backoff", s.Backoff, 1, 100)
		c.within("levels.spread", s.Spread, 0, 0.9)
	}
	names := map[string]bool{levels.Usual: true}
	for i, l := range f.Level {
		at := fmt.Sprintf("level[%d]", i)
		if l.Name == "" || names[l.Name] {
			c.found(at+".name", "%q is empty, there twice, or %q, which is the service without a level", l.Name, levels.Usual)
		}
		names[l.Name] = true
		one := levels.Level{Name: l.Name, Least: c.seconds(at+".least", l.Least, mostIdle)}
		one.Does = levels.Does{Keep: l.Keep, LeastGain: l.LeastGain, Probes: l.Probes, Early: l.Early}
		if one.Least == 0 {
			one.Least = 30
		}
		if l.Further != nil {
			c.within(at+".further", float64(*l.Further), 0, 2)
			if one.Further = *l.Further; one.Further == 0 {
				one.Further = -1
			}
		}
		for group, keep := range l.Keep {
			c.within(at+".keep."+group, keep, 0, 1)
		}
		c.within(at+".probes", l.Probes, 0, 1)
		c.within(at+".least-gain", l.LeastGain, 0, 1e9)
		if l.Early != 0 {
			c.within(at+".early", l.Early, 1, 100)
		}
		one.Enter, one.Exit = c.conditions(at+".enter", l.Enter), c.conditions(at+".exit", l.Exit)
		if len(one.Enter) == 0 && s.Hold != l.Name {
			c.found(at, "without a condition to enter it is never entered")
		}
		if len(one.Exit) == 0 {
			c.found(at, "without a condition to leave it is left at once")
		}
		for _, in := range one.Enter {
			for _, leave := range one.Exit {
				if in.Measure == leave.Measure && in.Below == leave.Below && len(one.Exit) == 1 {
					c.found(at, "it is left by the very condition that it is entered by: %s", in)
				}
			}
		}
		s.Levels = append(s.Levels, one)
	}
	for _, name := range append([]string{s.Hold}, s.Forbid...) {
		if name != "" && !names[name] {
			c.found("levels", "there is no level %q to hold or forbid", name)
		}
	}
}

func (c *checker) conditions(at string, list []condition) (out []levels.Condition) {
	for i, one := range list {
		key := fmt.Sprintf("%s[%d]", at, i)
		m, known := levels.Named(one.Measure)
		if !known {
			c.found(key, "%q is no measure; there are %s", one.Measure, strings.Join(levels.Names[:], ", "))
		}
		if (one.Above == nil) == (one.Below == nil) {
			c.found(key, "a condition has either above or below")
			continue
		}
		l := levels.Condition{Measure: m, Below: one.Below != nil, For: c.seconds(key, one.For, 3600)}
		if l.Below {
			l.Value = *one.Below
		} else {
			l.Value = *one.Above
		}
		c.within(key, l.Value, 0, 1e6)
		out = append(out, l)
	}
	return out
}

// within finds what is out of bounds; a figure that is none is.
func (c *checker) within(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.found(key, "%g is not from %g to %g", v, least, most)
	}
}

// Against checks all against the platform's settings: whether its groups are there, and whether routes could break a
// rule. All that is found is told.
func (i *Installation) Against(path string, s settings.Settings) error {
	errs := []error{i.Groups(path, s.GroupNames())}
	p := limits.Platform{Known: true, Dispatches: max(s.MostDispatches, 1), Clients: s.Clients, Rationed: s.Rationed, Free: s.FreeFurther,
		Share: s.FurtherShare, Window: s.FurtherWindow, Copies: s.MayCopy, Kinds: s.Kinds}
	i.Routes.Resolve(s.Kinds)
	for _, g := range s.Groups {
		p.Groups = append(p.Groups, limits.Group{Name: g.Name, Repeatable: g.Effect == brain.Repeatable, Referenced: g.Effect == brain.Referenced,
			Limit: g.Limit, Window: g.Window, Kinds: g.Kinds})
	}
	for _, f := range limits.Check(i.Limits, p) {
		errs = append(errs, fmt.Errorf("%s: %s", i.where(path, f.Line), f.Text))
	}
	return errors.Join(errs...)
}

// Groups checks the rules against the service groups that the platform names.
func (i *Installation) Groups(path string, names []string) error {
	i.Rules.Groups = map[string]bool{}
	for _, n := range names {
		i.Rules.Groups[n] = true
	}
	var errs []error
	check := func(key, group string) {
		if !i.Rules.Groups[group] {
			errs = append(errs, fmt.Errorf("%s: %s: the platform's settings have no service group %q", i.whereKey(path, key), key, group))
		}
	}
	for n, r := range i.Rules.List {
		check(fmt.Sprintf("rule[%d].group", n), r.Group)
	}
	if d := i.Rules.Default; d != nil {
		check("default.group", d.Group)
	}
	if i.Levels != nil {
		for n, l := range i.Levels.Levels {
			for _, group := range slices.Sorted(maps.Keys(l.Keep)) {
				check(fmt.Sprintf("level[%d].keep.%s", n, group), group)
			}
		}
	}
	return errors.Join(errs...)
}

// where gives a line as file and line; settings made without a file have none.
func (i *Installation) where(path string, line int) string {
	if i.source == nil {
		return path
	}
	return i.source.where(line)
}

func (i *Installation) whereKey(path, key string) string {
	if i.line == nil {
		return path
	}
	return i.where(path, i.line(key))
}

type checker struct {
	source *source
	lines  map[string]int
	errs   []error
}

// found notes what is wrong with a key, or with the table that lacks it.
func (c *checker) found(key, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.source.where(c.line(key)), key, fmt.Sprintf(format, args...)))
}

// Found is for sections that prove themselves.
func (c *checker) Found(key, format string, args ...any) { c.found(key, format, args...) }

// Seconds likewise: 0 where nothing is told.
func (c *checker) Seconds(key, text string, most float64) float64 { return c.seconds(key, text, most) }

// line is where a key stands, or the nearest table around it.
func (c *checker) line(key string) (line int) {
	for line == 0 && key != "" {
		line = c.lines[key]
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return max(line, 1)
}

func (c *checker) seconds(key, text string, most float64) float64 {
	if text == "" {
		return 0
	}
	v, err := assign.Seconds(text, most)
	if err != nil {
		c.found(key, "%s", err)
	}
	return v
}

func (c *checker) terms(at string, t terms) assign.Terms {
	out := assign.Terms{Group: t.Group, Client: t.Client, Key: t.Key, Limit: c.seconds(at+".limit", t.Limit, mostIdle),
		Cost: c.seconds(at+".cost", t.Cost, 1e6)}
	if t.Memory != "" {
		var err error
		if out.Memory, err = assign.Megabytes(t.Memory); err != nil {
			c.found(at+".memory", "%s", err)
		}
	}
	return out
}

// told words the library's errors as ours: the key, what stands there and what is wanted.
func (s *source) told(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			errs = append(errs, fmt.Errorf("%s: %s: no such key", s.where(row), strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		row, _ := one.Position()
		key := strings.Join(one.Key(), ".")
		if want := wanted(reflect.TypeFor[file](), one.Key()); want != "" && !syntax(s.text) {
			stands := standing(s.text, row)
			if inner, wants, is := within(one.Key(), stands); inner != "" {
				key, want, stands = key+"."+inner, wants, is
			}
			return fmt.Errorf("%s: %s: %s is wanted, not %s", s.where(row), key, want, stands)
		}
		return fmt.Errorf("%s: %s: this is not TOML: %s", s.where(row), standing(s.text, row), strings.TrimPrefix(one.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", s.parts[0].path, err)
}

// syntax tells whether the text can't be read as TOML at all, whatever is wanted of it.
func syntax(text []byte) bool {
	var any map[string]any
	return toml.Unmarshal(text, &any) != nil
}

// standing is what a line of the text says after its key, shortened.
func standing(text []byte, row int) string {
	const most = 40
	all := strings.Split(string(text), "\n")
	line := strings.TrimSpace(all[max(min(row, len(all)), 1)-1])
	if _, value, ok := strings.Cut(line, "="); ok {
		line = strings.TrimSpace(value)
	}
	if len(line) > most {
		line = strings.ToValidUTF8(line[:most], "") + "..."
	}
	return line
}

// within finds the key of an inline table of which the value is not what is wanted; the library tells the table only.
func within(key []string, text string) (inner, want, stands string) {
	var table struct{ X map[string]any }
	if !strings.HasPrefix(text, "{") || toml.Unmarshal([]byte("X = "+text), &table) != nil {
		return "", "", ""
	}
	for _, k := range slices.Sorted(maps.Keys(table.X)) {
		want := wanted(reflect.TypeFor[file](), append(slices.Clone(key), k))
		ok := true
		switch v := table.X[k].(type) {
		case string:
			ok, stands = want == "text in quotes", fmt.Sprintf("%q", v)
		case float64, int64:
			ok, stands = strings.HasSuffix(want, "number"), fmt.Sprint(v)
		case bool:
			ok, stands = want == "true or false", fmt.Sprint(v)
		}
		if want != "" && !ok {
			return k, want, stands
		}
	}
	return "", "", ""
}

// wanted words what a key takes; empty: there is no such key.
func wanted(t reflect.Type, key []string) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch kind := t.Kind(); {
	case len(key) > 0 && kind == reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Anonymous {
				if want := wanted(f.Type, key); want != "" {
					return want
				}
			}
			if f.Tag.Get("toml") == key[0] || f.Tag.Get("toml") == "" && strings.EqualFold(f.Name, key[0]) {
				return wanted(f.Type, key[1:])
			}
		}
		return ""
	case len(key) > 0 && kind == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return wanted(t.Elem(), key)
	case len(key) > 0 && kind == reflect.Map:
		return wanted(t.Elem(), key[1:])
	case kind == reflect.String:
		return "text in quotes"
	case kind == reflect.Float64:
		return "a number"
	case kind == reflect.Int || kind == reflect.Int32:
		return "a whole number"
	case kind == reflect.Bool:
		return "true or false"
	case kind == reflect.Map:
		return "a table of which each is " + wanted(t.Elem(), nil)
	case kind == reflect.Struct:
		return "a table"
	case kind == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "a table for each, [[in double brackets]],"
	case kind == reflect.Slice:
		return "a list of which each is " + wanted(t.Elem(), nil)
	}
	return ""
}

// lines finds the line of each key and table, as a.b[2].c. The text has been read once already.
func lines(text []byte) map[string]int {
	out, counts := map[string]int{}, map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name := ""
		it := e.Key()
		line := 0
		for it.Next() {
			n := it.Node()
			if line == 0 && n.Raw.Length > 0 {
				line = 1 + strings.Count(string(text[:n.Raw.Offset]), "\n")
			}
			if name != "" {
				name += "."
			}
			name += string(n.Data)
			if e.Kind != unstable.KeyValue {
				if !it.IsLast() && counts[name] > 0 { // inside the last of these
					name = fmt.Sprintf("%s[%d]", name, counts[name]-1)
				}
			}
		}
		switch e.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			counts[name]++
			table = fmt.Sprintf("%s[%d]", name, counts[name]-1)
			name = table
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
		}
		if _, there := out[name]; !there {
			out[name] = line
		}
	}
	return out
}
