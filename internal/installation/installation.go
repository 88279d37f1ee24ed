// Package installation reads the settings that are not the platform's but ours: a TOML file that an operator writes. It
// is strict: what is unknown, of the wrong type or impossible is told with file, line and a sentence, all of it at once.
package installation

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"pitchfield/brain"
	"pitchfield/internal/assign"
	"pitchfield/internal/engines"
	"pitchfield/internal/fleet"
	"pitchfield/internal/levels"
	"pitchfield/internal/limits"
	"pitchfield/internal/settings"
	"pitchfield/internal/shares"
	"pitchfield/internal/status"
	"pitchfield/internal/tds"
)

// Installation is what the file says.
type Installation struct {
	TDS     *tds.Settings // nil: nobody speaks it here
	Rules   assign.Rules
	Engines []engines.Settings
	Routes  *limits.Table    // of limits
	Limits  limits.Config    // all that is told of limits
	Status  string           // where the status page listens; empty: nowhere
	Levels  *levels.Settings // of reduced service; nil: none
	Fleet   *fleet.Settings  // other routers; nil: there is no talk
	Shares  *shares.Settings // what is divided with them; nil: nothing
	// LevelsOver is the time in seconds over which what levels are entered by fades.
	LevelDecayTime float64

	keyLine func(key string) int // where a key stands in the source
	source  *source
}

// file is what each package declares of it.
type file struct {
	tds.ListenerSection
	assign.RuleSections
	engines.EngineSections
	limits.LimitSections
	status.PageSection
	fleet.Sections
	shares.ShareSections
	levels.LevelSections
}

const maxTotalSize = 4 << 20

// Load reads the file at a path, and those that it includes.
func Load(path string, getenv func(string) string) (*Installation, error) {
	s, err := readSource(path)
	if err != nil {
		return nil, err
	}
	return s.parse(getenv)
}

// Parse reads the file's text. The error joins all that was found.
func Parse(path string, text []byte, getenv func(string) string) (*Installation, error) {
	return (&source{text: text, files: []sourceFile{{path, 1}}}).parse(getenv)
}

func (s *source) parse(getenv func(string) string) (*Installation, error) {
	var f file
	d := toml.NewDecoder(strings.NewReader(string(s.text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, s.translateError(err)
	}
	c := &checker{source: s, lines: keyLines(s.text), getenv: getenv}
	out := &Installation{keyLine: c.Line, source: s}
	out.TDS, out.Rules, out.Engines = f.ListenerSection.Validate(c), f.RuleSections.Validate(c), f.EngineSections.Validate(c)
	out.Status, out.Fleet = f.PageSection.Validate(c), f.Sections.Validate(c)
	if out.Fleet != nil {
		out.Shares = f.ShareSections.Prove(c, out.Fleet.Members.Listen, out.Fleet.Networks)
	} else {
		out.Shares = f.ShareSections.Prove(c, "", nil)
	}
	out.Levels, out.LevelDecayTime = f.LevelSections.Validate(c)
	out.Limits = f.LimitSections.Validate(c)
	if out.Shares == nil {
		for _, key := range f.LimitSections.FleetWideKeys() {
			c.Errorf(key, "all routers divide it, for which they have to talk: [fleet] and [shares] have to be there")
		}
	}
	out.Routes = limits.NewTable(out.Limits.Routes)
	for _, found := range limits.Check(out.Limits, limits.Platform{}) {
		c.errs = append(c.errs, fmt.Errorf("%s: %s", s.position(found.Line), found.Message))
	}
	return out, errors.Join(c.errs...)
}

// ValidateAgainst checks all against the platform's settings: whether its groups are there, and whether routes could break a
// rule. All that is found is told.
func (i *Installation) ValidateAgainst(path string, s settings.Settings) error {
	errs := []error{i.CheckGroups(path, s.GroupNames())}
	p := limits.Platform{Known: true, MaxDispatches: max(s.MaxDispatches, 1), Clients: s.Clients, RetriesLimited: s.LimitRetries, FreeRetries: s.FreeRetries,
		RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, AllowsHedging: s.MayHedge, EngineKinds: s.Kinds}
	i.Routes.ResolveEngineKinds(s.Kinds)
	for _, g := range s.Groups {
		p.Groups = append(p.Groups, limits.Group{Name: g.Name, Repeatable: g.Idempotency == brain.Idempotent, Referenced: g.Idempotency == brain.Deduplicated,
			TimeLimit: g.Limit, DedupWindow: g.DedupWindow, EngineKinds: g.Kinds})
	}
	for _, f := range limits.Check(i.Limits, p) {
		errs = append(errs, fmt.Errorf("%s: %s", i.position(path, f.Line), f.Message))
	}
	return errors.Join(errs...)
}

// CheckGroups checks the rules against the service groups that the platform names.
func (i *Installation) CheckGroups(path string, names []string) error {
	i.Rules.KnownGroups = map[string]bool{}
	for _, n := range names {
		i.Rules.KnownGroups[n] = true
	}
	var errs []error
	check := func(key, group string) {
		if !i.Rules.KnownGroups[group] {
			errs = append(errs, fmt.Errorf("%s: %s: the platform's settings have no service group %q", i.keyPosition(path, key), key, group))
		}
	}
	i.Rules.EachGroup(check)
	if i.Levels != nil {
		i.Levels.ForEachGroup(check)
	}
	return errors.Join(errs...)
}

// position gives a line as file and line; settings made without a file have none.
func (i *Installation) position(path string, line int) string {
	if i.source == nil {
		return path
	}
	return i.source.position(line)
}

func (i *Installation) keyPosition(path, key string) string {
	if i.keyLine == nil {
		return path
	}
	return i.position(path, i.keyLine(key))
}

// checker is what sections are proven with.
type checker struct {
	source *source
	lines  map[string]int
	getenv func(string) string
	errs   []error
}

// Errorf notes what is wrong with a key, or with the table that lacks it.
func (c *checker) Errorf(key, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.source.position(c.Line(key)), key, fmt.Sprintf(format, args...)))
}

// Line is where a key stands, or the nearest table around it.
func (c *checker) Line(key string) (line int) {
	for line == 0 && key != "" {
		line = c.lines[key]
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return max(line, 1)
}

// Seconds reads a duration; 0 where nothing is told.
func (c *checker) Seconds(key, text string, most float64) float64 {
	if text == "" {
		return 0
	}
	v, err := assign.ParseSeconds(text, most)
	if err != nil {
		c.Errorf(key, "%s", err)
	}
	return v
}

// Megabytes reads a size; 0 where nothing is told.
func (c *checker) Megabytes(key, text string) float64 {
	if text == "" {
		return 0
	}
	v, err := assign.ParseMegabytes(text)
	if err != nil {
		c.Errorf(key, "%s", err)
	}
	return v
}

// CheckRange finds what is out of bounds; a figure that is none is.
func (c *checker) CheckRange(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.Errorf(key, "%g is not from %g to %g", v, least, most)
	}
}

// Getenv gives a variable of the environment.
func (c *checker) Getenv(name string) string { return c.getenv(name) }

// translateError words the library's errors as ours: the key, what stands there and what is wanted.
func (s *source) translateError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			errs = append(errs, fmt.Errorf("%s: %s: no such key", s.position(row), strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		row, _ := one.Position()
		key := strings.Join(one.Key(), ".")
		if want := expectedType(reflect.TypeFor[file](), one.Key()); want != "" && !hasSyntaxError(s.text) {
			stands := valueOnLine(s.text, row)
			if inner, wants, is := findMismatch(one.Key(), stands); inner != "" {
				key, want, stands = key+"."+inner, wants, is
			}
			return fmt.Errorf("%s: %s: %s is wanted, not %s", s.position(row), key, want, stands)
		}
		return fmt.Errorf("%s: %s: this is not TOML: %s", s.position(row), valueOnLine(s.text, row), strings.TrimPrefix(one.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", s.files[0].path, err)
}

// hasSyntaxError tells whether the text can't be read as TOML at all, whatever is wanted of it.
func hasSyntaxError(text []byte) bool {
	var any map[string]any
	return toml.Unmarshal(text, &any) != nil
}

// valueOnLine is what a line of the text says after its key, shortened.
func valueOnLine(text []byte, row int) string {
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

// findMismatch finds the key of an inline table of which the value is not what is wanted; the library tells the table only.
func findMismatch(key []string, text string) (inner, want, stands string) {
	var table struct{ X map[string]any }
	if !strings.HasPrefix(text, "{") || toml.Unmarshal([]byte("X = "+text), &table) != nil {
		return "", "", ""
	}
	for _, k := range slices.Sorted(maps.Keys(table.X)) {
		want := expectedType(reflect.TypeFor[file](), append(slices.Clone(key), k))
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

// expectedType words what a key takes; empty: there is no such key.
func expectedType(t reflect.Type, key []string) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch kind := t.Kind(); {
	case len(key) > 0 && kind == reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Anonymous {
				if want := expectedType(f.Type, key); want != "" {
					return want
				}
			}
			if f.Tag.Get("toml") == key[0] || f.Tag.Get("toml") == "" && strings.EqualFold(f.Name, key[0]) {
				return expectedType(f.Type, key[1:])
			}
		}
		return ""
	case len(key) > 0 && kind == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return expectedType(t.Elem(), key)
	case len(key) > 0 && kind == reflect.Map:
		return expectedType(t.Elem(), key[1:])
	case kind == reflect.String:
		return "text in quotes"
	case kind == reflect.Float64:
		return "a number"
	case kind == reflect.Int || kind == reflect.Int32:
		return "a whole number"
	case kind == reflect.Bool:
		return "true or false"
	case kind == reflect.Map:
		return "a table of which each is " + expectedType(t.Elem(), nil)
	case kind == reflect.Struct:
		return "a table"
	case kind == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "a table for each, [[in double brackets]],"
	case kind == reflect.Slice:
		return "a list of which each is " + expectedType(t.Elem(), nil)
	}
	return ""
}

// keyLines finds the line of each key and table, as a.b[2].c. The text has been read once already.
func keyLines(text []byte) map[string]int {
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
