// Package installation reads the settings file of an installation: a TOML file that its operator writes, beside the settings
// that come from the platform. It is strict: unknown keys, wrong types and impossible values are errors, each with file, line
// and an explanation, and all that can be found are reported together.
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

// Installation holds the validated contents of the settings file.
type Installation struct {
	TDS     *tds.Settings // nil: the TDS protocol is not served
	Rules   assign.Rules
	Engines []engines.Settings
	Routes  *limits.Table    // limits by route
	Limits  limits.Config    // all sections about limits
	Status  string           // address of the status page; empty: there is none
	Levels  *levels.Settings // levels of reduced service; nil: none
	Fleet   *fleet.Settings  // messaging with the other routers; nil: none
	Shares  *shares.Settings // quotas shared with the other routers; nil: none
	// LevelDecayTime is the time in seconds over which the measures that conditions of levels refer to decay.
	LevelDecayTime float64

	keyLine func(key string) int // line number of a key in source; nil without a file
	source  *source              // nil without a file
}

// file combines the sections that the packages declare.
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

// maxTotalSize is the size limit in bytes for a file and all files that it includes.
const maxTotalSize = 4 << 20

// Load reads the file with this path and those that it includes. getenv looks up environment variables that the file names.
// The error joins all that were found.
func Load(path string, getenv func(string) string) (*Installation, error) {
	s, err := readSource(path)
	if err != nil {
		return nil, err
	}
	return s.parse(getenv)
}

// Parse reads the text of a file without included files; path is for error messages. The error joins all that were found.
func Parse(path string, text []byte, getenv func(string) string) (*Installation, error) {
	return (&source{text: text, files: []sourceFile{{path, 1}}}).parse(getenv)
}

// parse decodes and validates the source.
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

// ValidateAgainst checks the installation against the platform's settings: whether the service groups that it names exist and
// whether a route could break a rule of the platform. path is for the error messages of an installation without a file. The
// error joins all that were found.
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

// CheckGroups checks that the service groups named in rules and levels are among those of the platform, and sets Rules.Groups to
// the latter.
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

// position returns a line as file:line, or only the path for an installation without a file.
func (i *Installation) position(path string, line int) string {
	if i.source == nil {
		return path
	}
	return i.source.position(line)
}

// keyPosition returns the position of a key as file:line, or only the path for an installation without a file.
func (i *Installation) keyPosition(path, key string) string {
	if i.keyLine == nil {
		return path
	}
	return i.position(path, i.keyLine(key))
}

// checker implements findings.Reporter for one source.
type checker struct {
	source *source
	lines  map[string]int // line numbers by key, from keyLines
	getenv func(string) string
	errs   []error
}

// Errorf records an error in a key, or in the table that lacks it.
func (c *checker) Errorf(key, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.source.position(c.Line(key)), key, fmt.Sprintf(format, args...)))
}

// Line returns the line number of a key, or of the nearest table around it.
func (c *checker) Line(key string) (line int) {
	for line == 0 && key != "" {
		line = c.lines[key]
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return max(line, 1)
}

// Seconds parses a duration above 0 and up to most seconds. It returns 0 for an empty text and after recording an error.
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

// Megabytes parses a size. It returns 0 for an empty text and after recording an error.
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

// CheckRange records an error if v is not from min to max; NaN never is.
func (c *checker) CheckRange(key string, v, min, max float64) {
	if !(v >= min && v <= max) {
		c.Errorf(key, "%g is out of range, it must be from %g to %g", v, min, max)
	}
}

// Getenv returns the value of an environment variable.
func (c *checker) Getenv(name string) string { return c.getenv(name) }

// translateError turns an error of the TOML library into one that names the key, the value found and the type expected,
// without terms of Go.
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
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if expected := expectedType(reflect.TypeFor[file](), decodeErr.Key()); expected != "" && !hasSyntaxError(s.text) {
			actual := valueOnLine(s.text, row)
			if inner, innerExpected, innerActual := findMismatch(decodeErr.Key(), actual); inner != "" {
				key, expected, actual = key+"."+inner, innerExpected, innerActual
			}
			return fmt.Errorf("%s: %s: %s is wanted, not %s", s.position(row), key, expected, actual)
		}
		return fmt.Errorf("%s: %s: this is not TOML: %s", s.position(row), valueOnLine(s.text, row), strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", s.files[0].path, err)
}

// hasSyntaxError reports whether the text is not valid TOML, regardless of keys and types.
func hasSyntaxError(text []byte) bool {
	var document map[string]any
	return toml.Unmarshal(text, &document) != nil
}

// valueOnLine returns the text after the key on a line, shortened for error messages.
func valueOnLine(text []byte, row int) string {
	const maxLength = 40
	lines := strings.Split(string(text), "\n")
	line := strings.TrimSpace(lines[max(min(row, len(lines)), 1)-1])
	if _, value, ok := strings.Cut(line, "="); ok {
		line = strings.TrimSpace(value)
	}
	if len(line) > maxLength {
		line = strings.ToValidUTF8(line[:maxLength], "") + "..."
	}
	return line
}

// findMismatch returns the first key of an inline table whose value has the wrong type, the expected type and the actual value.
// The library names only the table.
func findMismatch(key []string, text string) (inner, expected, actual string) {
	var table struct{ X map[string]any }
	if !strings.HasPrefix(text, "{") || toml.Unmarshal([]byte("X = "+text), &table) != nil {
		return "", "", ""
	}
	for _, k := range slices.Sorted(maps.Keys(table.X)) {
		expected := expectedType(reflect.TypeFor[file](), append(slices.Clone(key), k))
		ok := true
		switch v := table.X[k].(type) {
		case string:
			ok, actual = expected == "text in quotes", fmt.Sprintf("%q", v)
		case float64, int64:
			ok, actual = strings.HasSuffix(expected, "number"), fmt.Sprint(v)
		case bool:
			ok, actual = expected == "true or false", fmt.Sprint(v)
		}
		if expected != "" && !ok {
			return k, expected, actual
		}
	}
	return "", "", ""
}

// expectedType describes the type of the value of a key in terms of TOML; the empty string means that there is no such key.
func expectedType(typ reflect.Type, key []string) string {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch kind := typ.Kind(); {
	case len(key) > 0 && kind == reflect.Struct:
		for i := range typ.NumField() {
			f := typ.Field(i)
			if f.Anonymous {
				if expected := expectedType(f.Type, key); expected != "" {
					return expected
				}
			}
			if f.Tag.Get("toml") == key[0] || f.Tag.Get("toml") == "" && strings.EqualFold(f.Name, key[0]) {
				return expectedType(f.Type, key[1:])
			}
		}
		return ""
	case len(key) > 0 && kind == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		return expectedType(typ.Elem(), key)
	case len(key) > 0 && kind == reflect.Map:
		return expectedType(typ.Elem(), key[1:])
	case kind == reflect.String:
		return "text in quotes"
	case kind == reflect.Float64:
		return "a number"
	case kind == reflect.Int || kind == reflect.Int32:
		return "a whole number"
	case kind == reflect.Bool:
		return "true or false"
	case kind == reflect.Map:
		return "a table of which each is " + expectedType(typ.Elem(), nil)
	case kind == reflect.Struct:
		return "a table"
	case kind == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		return "a table for each, [[in double brackets]],"
	case kind == reflect.Slice:
		return "a list of which each is " + expectedType(typ.Elem(), nil)
	}
	return ""
}

// keyLines returns the line number of each key and table by its full path, such as a.b[2].c. The text has to be valid TOML:
// errors of the parser are not checked again.
func keyLines(text []byte) map[string]int {
	lines, counts := map[string]int{}, map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name := ""
		keyParts := expression.Key()
		line := 0
		for keyParts.Next() {
			part := keyParts.Node()
			if line == 0 && part.Raw.Length > 0 {
				line = 1 + strings.Count(string(text[:part.Raw.Offset]), "\n")
			}
			if name != "" {
				name += "."
			}
			name += string(part.Data)
			if expression.Kind != unstable.KeyValue {
				if !keyParts.IsLast() && counts[name] > 0 { // belongs to the latest element of this array of tables
					name = fmt.Sprintf("%s[%d]", name, counts[name]-1)
				}
			}
		}
		switch expression.Kind {
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
		if _, present := lines[name]; !present {
			lines[name] = line
		}
	}
	return lines
}
