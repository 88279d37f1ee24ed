package installation

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/brain"
	"pitchfield/internal/limits"
	"pitchfield/internal/settings"
)

func platformSettings() settings.Settings {
	group := func(name string, effect brain.Idempotency, limit, window float64) *brain.ServiceGroup {
		return &brain.ServiceGroup{Name: name, Idempotency: effect, Limit: limit, DedupWindow: window}
	}
	big := func(name string, effect brain.Idempotency, limit, window float64) *brain.ServiceGroup {
		g := group(name, effect, limit, window)
		g.Kinds = []int{1}
		return g
	}
	return settings.Settings{Clients: []string{"farm", "portal"}, Kinds: []string{"std", "big"}, Settings: brain.Settings{MayHedge: true, MaxDispatches: 3, LimitRetries: true, FreeRetries: 20, RetryRatio: 0.2,
		RetryWindow: 10, Groups: []*brain.ServiceGroup{group("lookup", brain.Idempotent, 4, 0), big("report", brain.Idempotent, 15, 0),
			group("upload", brain.Deduplicated, 25, 15), group("once", brain.AtMostOnce, 9, 0)}}}
}

func parseAndValidate(text string) (*Installation, error) {
	i, err := Parse("x.toml", []byte(text), env)
	if err == nil {
		err = i.ValidateAgainst("x.toml", platformSettings())
	}
	return i, err
}

// Each is a file that could break a rule, can't be meant, or can't be read: what is told, and at which line.
func TestInvalidLimitsAreReportedByRuleAndLine(t *testing.T) {
	route := "[[route]]\nname = \"r\"\n"
	budget := "[[budget]]\nname = \"b\"\n"
	lookup, bound := route+"group = \"lookup\"\n", "[[concurrency]]\nname = \"c\"\n"
	bad := []struct{ text, line, why string }{
		// Dispatches.
		{route + "dispatches = 4", "1", "rule 2: 4 dispatches"}, {route + "dispatches = -1", "1", "rule 2: -1 dispatches"},
		{route + "dispatches = 0", "3", "rule 1"}, {route + "dispatches = 99999999999", "1", "rule 2"}, {route + "dispatches = 1.5", "3", "dispatches"},
		{route + "dispatches = \"two\"", "3", "dispatches"}, {route + "dispatches = 1e300", "3", "dispatches"}, {route + "dispatches = inf", "3", "dispatches"},
		{route + "dispatches = nan", "3", "dispatches"}, {route + "dispatches = true", "3", "dispatches"},
		// Time-outs.
		{route + "group = \"lookup\"\ntime-out = \"2s\"", "1", "rule 1: 3 time-outs of 2s"}, {route + "group = \"lookup\"\ntime-out = \"2s\"\npause = \"1s\"\ndispatches = 2", "1", "rule 1"},
		{route + "group = \"upload\"\ntime-out = \"6s\"", "1", "rule 2: 3 time-outs"}, {route + "group = \"once\"\ntime-out = \"1s\"", "1", "once-only"},
		{route + "time-out = \"1s\"", "1", "once-only"}, {route + "group = \"l*\"\ntime-out = \"3s\"", "1", "rule 1"}, {route + "time-out = \"0s\"", "3", "above 0"},
		{route + "time-out = \"-1s\"", "3", "above 0"}, {route + "time-out = \"1\"", "3", "with its unit"}, {route + "time-out = 1", "3", "time-out"},
		{route + "time-out = \"1e300s\"", "3", "time"}, {route + "time-out = \"NaNs\"", "3", "time"}, {route + "time-out = \"infs\"", "3", "time"},
		{route + "time-out = \"5 apples\"", "3", "time"}, {route + "time-out = \"2h\"", "3", "of at most 3600s"}, {route + "timeout = \"1s\"", "3", "no such key"},
		// Pauses.
		{route + "group = \"lookup\"\npause = \"4s\"", "1", "rule 1: a pause of up to 4s"}, {route + "group = \"lookup\"\npause = \"3s\"\njitter = 0.5", "1", "up to 4.5s"},
		{route + "group = \"upload\"\npause = \"15s\"", "1", "rule 2: a pause"}, {route + "pause = \"-1ms\"", "3", "above 0"}, {route + "pause = \"soon\"", "3", "time"},
		{route + "jitter = 1.5", "1", "share from 0 to 1"}, {route + "jitter = -0.1", "1", "share from 0 to 1"}, {route + "jitter = nan", "1", "share from 0 to 1"},
		{route + "jitter = inf", "1", "share from 0 to 1"}, {route + "jitter = \"10%\"", "3", "jitter"},
		// Budgets.
		{budget + "free = 21", "1", "rule 7"}, {budget + "share = 0.21", "1", "rule 7"}, {budget + "free = -1", "1", "free must be"}, {budget + "share = 2.0", "1", "rule 7"},
		{budget + "share = nan", "1", "share from 0 to 1"}, {budget + "free = inf", "1", "rule 7"}, {budget + "free = 1e300", "1", "rule 7"}, {budget + "window = \"10ms\"", "1", "its window"},
		{budget + "window = \"2h\"", "3", "of at most 3600s"}, {budget + "window = 10", "3", "window"}, {budget + budget, "4", "there twice"}, {"[[budget]]\nfree = 1.0", "1", "empty"},
		{route + "budget = \"other\"", "3", "no budget"}, {budget + "sahre = 0.1", "3", "no such key"},
		// Second copies.
		{route + "copies = {after = 0.9, share = 0.05}", "1", "rule 2: the effect of a second copy"}, {route + "group = \"upload\"\ncopies = {after = 0.9, share = 0.05}", "1", "rule 2: the effect"},
		{route + "group = \"once\"\ncopies = {after = 0.9, share = 0.05}", "1", "rule 2: the effect"}, {route + "group = \"l*\"\ncopies = {after = 0.4, share = 0.05}", "1", "quantile from 0.5"},
		{lookup + "copies = {after = 1.0, share = 0.05}", "1", "quantile from 0.5"}, {lookup + "copies = {after = 95, share = 0.05}", "1", "quantile from 0.5"},
		{lookup + "copies = {share = 0.05}", "1", "quantile from 0.5"}, {lookup + "copies = {after = 0.9}", "1", "must be above 0"}, {lookup + "copies = {after = 0.9, share = 0.6}", "1", "at most 0.5"},
		{lookup + "copies = {after = 0.9, share = -1.0}", "1", "must be above 0"}, {lookup + "copies = {after = nan, share = 0.1}", "1", "quantile"}, {lookup + "copies = {after = 0.9, share = nan}", "1", "must be above 0"},
		{lookup + "copies = {after = 0.9, share = 0.3}", "1", "rule 7: second copies are further dispatches"}, {lookup + "dispatches = 1\ncopies = {after = 0.9, share = 0.1}", "1", "rule 2: a second copy is a second dispatch"},
		{lookup + "copies = {after = 0.9, share = 0.1, to = \"host\"}", "4", "neither engine nor zone"}, {lookup + "copies = {after = \"p90\", share = 0.1}", "4", "a number is wanted"},
		{lookup + "copies = 0.1", "4", "a table is wanted, not 0.1"}, {lookup + "copies = {afer = 0.9, share = 0.1}", "4", "no such key"},
		// Concurrency.
		{bound, "1", "bounds nothing"}, {bound + "engine = 0", "3", "rule 1: with none out"}, {bound + "fleet = 0", "3", "rule 1: with none out"}, {bound + "fleet = -3", "1", "whole numbers from 1"},
		{bound + "engine = 9\nfleet = 4", "1", "can't be reached"}, {bound + "engine = 4\nat-bound = \"push back\"", "1", "that of the fleet"}, {bound + "fleet = 4\nat-bound = \"drop\"", "4", "is none of wait, push back, error"},
		{bound + "fleet = 2.5", "3", "a whole number is wanted, not 2.5"}, {bound + "fleet = \"4\"", "3", "a whole number is wanted"}, {bound + "fleet = 4\n" + bound + "fleet = 5", "5", "there twice"},
		{"[[concurrency]]\nfleet = 4", "1", "is empty"}, {bound + "fleet = 99999999", "1", "whole numbers from 1"}, {route + "concurrency = \"c\"", "3", "there is no concurrency"},
		{bound + "fleat = 4", "3", "no such key"}, {bound + "fleet = true", "3", "a whole number is wanted"},
		// Sizes and kinds.
		{route + "most-result = \"1\"", "3", "size above 0 in MB or GB"}, {route + "most-result = \"-1MB\"", "3", "size above 0"}, {route + "most-result = 64", "3", "text in quotes is wanted, not 64"},
		{route + "most-result = \"0.0001MB\"", "1", "from 1024 bytes"}, {route + "most-result = \"3GB\"", "1", "to 2GB"}, {route + "engines = [\"huge\"]", "1", "no kind of engine \"huge\"; the platform has std, big"},
		{route + "engines = []", "1", "rule 1: it allows no kind"}, {route + "engines = [\"std\", \"std\"]", "1", "empty or there twice"}, {route + "engines = \"std\"", "3", "a list of which each is text"},
		{route + "group = \"report\"\nengines = [\"std\"]", "1", "rule 6: none of the kinds"},
		// Budgets of all batches and by engine.
		{"[further]", "1", "neither all nor engine"}, {"[further]\nall = {share = 0.3}", "2", "rule 7"}, {"[further.engine]\nfree = 30", "1", "rule 7"}, {"[further]\neach = {share = 0.1}", "2", "no such key"},
		{"[further]\nall = 3", "2", "a table is wanted, not 3"}, {"[further]\nengine = {window = \"1ms\"}", "2", "its window"}, {"[further]\nall = {share = \"x\"}", "2", "a number is wanted, not \"x\""},
		// What all routers divide.
		{budget + "free = 2.0\nfleet = true", "4", "[fleet] and [shares] have to be there"}, {"[further.all]\nfree = 2.0\nfleet = true", "3", "[fleet] and [shares] have to be there"},
		{bound + "routers = 4", "3", "[fleet] and [shares] have to be there"}, {bound + "routers = 0", "3", "rule 1: with none out"}, {bound + "routers = 4\nfleet = 5", "1", "can't be reached with 4"},
		{"[further.engine]\nfree = 2.0\nfleet = true", "3", "to one engine each router has a budget of its own"}, {budget + "share = 0.1\nfleet = true", "1", "all routers divide the free ones, and 0 is none"},
		{budget + "fleet = 3", "3", "true or false is wanted, not 3"},
		// Adaptive limits.
		{"[adaptive]\nkind = \"vegas\"", "1", "is no kind; there are aimd, fixed"}, {"[adaptive]\nmost = 9.0", "1", "has to be there"}, {"[adaptive]\nkind = \"aimd\"\nleast = 9\nmost = 4", "1", "in that order"},
		{"[adaptive]\nkind = \"aimd\"\nleast = 0.5", "1", "must be from 1"}, {"[adaptive]\nkind = \"aimd\"\nstretch = 1.0", "1", "stretch must be"}, {"[adaptive]\nkind = \"aimd\"\nmost = nan", "1", "in that order"},
		{"[adaptive]\nkind = \"aimd\"\nmost = \"x\"", "3", "a number is wanted"}, {"[adaptive]\nkind = 3", "2", "text in quotes is wanted"}, {"[adaptive]\nkind = \"aimd\"\nfirst = 1e9", "1", "in that order"},
		// What a route matches.
		{route + "group = \"raport\"", "1", "can never match"}, {route + "client = \"nobody\"", "1", "can never match"}, {route + "protocol = \"odbc\"", "1", "can never match"},
		{route + "data-set = \"x\"", "1", "can never match"}, {route + "data-set = \"-1\"", "1", "can never match"}, {route + "data-set = 7", "3", "data-set"},
		{route + "protocol = \"frames\"\nlogin = \"ann\"", "1", "frames tell no login"}, {route + "protocol = \"frames\"\napplication = \"a\"", "1", "frames tell no login"},
		{route + "engine = \"x\"", "3", "no such key"}, {route + route, "3", "as exact as"}, {route + "[[route]]\nname = \"s\"", "3", "as exact as route \"r\""},
		{route + "group = \"report\"\n[[route]]\nname = \"s\"\nclient = \"farm\"", "4", "as exact as"}, {route + "login = \"a*\"\n[[route]]\nname = \"s\"\nlogin = \"*b\"", "4", "as exact as"},
		{"[[route]]\ngroup = \"report\"", "1", "needs a name"}, {route + "group = \"report\"\n" + route + "group = \"lookup\"", "4", "that no other has"},
		// What is no file.
		{route + "group = \"report", "3", ""}, {"[[route]\nname = \"r\"", "1", ""}, {route + "name = \"s\"", "3", ""}, {budget + "free = \"3\"", "3", "free"}, {"route = 7", "1", ""},
		{"[[route]]\nname = \"r\"\ngroup = \"re", "3", ""},
	}
	t.Logf("%d bad files", len(bad))
	assert.GreaterOrEqual(t, len(bad), 111)
	for _, b := range bad {
		_, err := parseAndValidate(b.text)
		if assert.Error(t, err, b.text) {
			assert.Contains(t, err.Error(), "x.toml:"+b.line+":", b.text)
			assert.Contains(t, err.Error(), b.why, b.text)
			for _, inside := range []string{"struct", "float64", "int32", "installation.", "Go "} {
				assert.NotContains(t, err.Error(), inside, b.text)
			}
		}
		// What needs no platform is found without one.
		needs := slices.ContainsFunc([]string{"time-outs of", "once-only", "a pause of up to", "than the platform's budget", "no service group", "no client",
			"the effect of a second copy", "is above the platform's budget", "no kind of engine", "rule 6"},
			func(text string) bool { return err != nil && strings.Contains(err.Error(), text) })
		if _, alone := Parse("x.toml", []byte(b.text), env); !needs {
			assert.Error(t, alone, b.text)
		}
	}
}

// A message says the key, what stands there and what is wanted.
func TestWrongTypesAreReportedInTermsOfTOML(t *testing.T) {
	for text, want := range map[string]string{
		"[[budget]]\nname = \"b\"\nshare = \"10%\"":        `x.toml:3: budget.share: a number is wanted, not "10%"`,
		"[[route]]\ndispatches = \"two\"":                  `x.toml:2: route.dispatches: a whole number is wanted, not "two"`,
		"[[route]]\nname = \"r\"\ntime-out = 1":            `x.toml:3: route.time-out: text in quotes is wanted, not 1`,
		"[tds]\ndatabases = \"sales\"":                     `x.toml:2: tds.databases: a list of which each is text in quotes is wanted, not "sales"`,
		"[[level]]\nname = \"a\"\nkeep = 0.5":              `x.toml:3: level.keep: a table of which each is a number is wanted, not 0.5`,
		"[[level]]\nname = \"a\"\nkeep = {report = \"x\"}": `x.toml:3: level.keep.report: a number is wanted, not "x"`,
		"[default]\ngroup = true":                          `x.toml:2: default.group: text in quotes is wanted, not true`,
		"[[route]\nname = 1":                               `x.toml:1: [[route]: this is not TOML`,
	} {
		_, err := Parse("x.toml", []byte(text), env)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
		}
	}
	i, err := Parse("x.toml", []byte("[tds]\nlisten = \"127.0.0.1:1433\"\n[[tds.login]]\nuser = \"a\"\nhash = \"$2a$10$obcctzJPUUAKyuTm1Xvcl.ixFB6FhcFaoMeQ2ZTjwxxWDhgnAj5ji\"\n[default]\ngroup = \"raport\"\n"), env)
	require.NoError(t, err)
	assert.EqualError(t, i.ValidateAgainst("x.toml", platformSettings()), `x.toml:7: default.group: the platform's settings have no service group "raport"`)
}

// Each is a file that holds, with what a batch gets by it: route, dispatches, and time of a dispatch that would have 10 s.
func TestValidLimitsAreResolved(t *testing.T) {
	route := "[[route]]\nname = \"r\"\n"
	report, upload := limits.Fields{Group: "report", Client: "farm", Login: "ann", Application: "my grid", Protocol: "tds", DataSet: "7"}, limits.Fields{Group: "upload", Protocol: "frames"}
	for n, good := range []struct {
		text   string
		fields limits.Fields
		route  string
		most   int
		within float64
	}{
		{"", report, "", 3, 10}, {route, report, "r", 3, 10}, {route + "dispatches = 1", report, "r", 1, 10}, {route + "dispatches = 3", report, "r", 3, 10},
		{route + "group = \"report\"\ntime-out = \"5s\"", report, "r", 3, 5}, {route + "group = \"report\"\ntime-out = \"5s\"", upload, "", 3, 10},
		{route + "group = \"lookup\"\ntime-out = \"1300ms\"", report, "", 3, 10}, {route + "group = \"report\"\ntime-out = \"14s\"\ndispatches = 1", report, "r", 1, 10},
		{route + "group = \"upload\"\ntime-out = \"5s\"", upload, "r", 3, 5}, {route + "group = \"upload\"\npause = \"2s\"\njitter = 0.5\ntime-out = \"3s\"", upload, "r", 3, 3},
		{route + "client = \"farm\"", report, "r", 3, 10}, {route + "client = \"f*\"", report, "r", 3, 10}, {route + "client = \"portal\"", report, "", 3, 10},
		{route + "login = \"a*\"\nprotocol = \"tds\"", report, "r", 3, 10}, {route + "application = \"*grid*\"", report, "r", 3, 10}, {route + "data-set = \"7\"", report, "r", 3, 10},
		{route + "data-set = \"8\"", report, "", 3, 10}, {route + "protocol = \"frames\"", upload, "r", 3, 10},
		{"[[budget]]\nname = \"b\"\nfree = 20.0\nshare = 0.2\n" + route + "budget = \"b\"", report, "r", 3, 10},
		{route + "dispatches = 1\n[[route]]\nname = \"s\"\ngroup = \"report\"\ndispatches = 2", report, "s", 2, 10},
		{route + "dispatches = 1\n[[route]]\nname = \"s\"\ngroup = \"report\"\ndispatches = 2", upload, "r", 1, 10},
		{"[[route]]\nname = \"p\"\ngroup = \"rep*\"\n[[route]]\nname = \"e\"\ngroup = \"report\"\nclient = \"farm\"\ndispatches = 2", report, "e", 2, 10},
	} {
		i, err := parseAndValidate(good.text)
		require.NoError(t, err, "%d: %s", n, good.text)
		r := i.Routes.Find(&good.fields)
		name := ""
		if r != nil {
			name = r.Name
		}
		assert.Equal(t, []any{good.route, good.most, good.within}, []any{name, r.DispatchLimit(3), r.CapTimeout(10)}, good.text)
		var out strings.Builder
		require.NoError(t, i.Routes.Print(&out))
	}
}

func FuzzFile(f *testing.F) {
	f.Add(validFile)
	f.Add(levelSection)
	f.Add("[[route]]\nname = \"r\"\ngroup = \"*\"\ntime-out = \"1s\"\n[[budget]]\nname = \"b\"\nwindow = \"1s\"\n")
	f.Fuzz(func(_ *testing.T, text string) {
		if i, err := Parse("x.toml", []byte(text), env); err == nil {
			_ = i.ValidateAgainst("x.toml", platformSettings())
			i.Routes.Explain(&limits.Fields{Group: "report"})
		}
	})
}
