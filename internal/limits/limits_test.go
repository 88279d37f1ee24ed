package limits

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func testPlatform() Platform {
	return Platform{Known: true, MaxDispatches: 3, Clients: []string{"farm", "portal"}, RetriesLimited: true, FreeRetries: 20, RetryRatio: 0.2, RetryWindow: 10, Groups: []Group{
		{Name: "lookup", Repeatable: true, TimeLimit: 4}, {Name: "report", Repeatable: true, TimeLimit: 15},
		{Name: "upload", Referenced: true, TimeLimit: 25, DedupWindow: 15}, {Name: "once", TimeLimit: 9}}}
}

func TestMostSpecificRouteWins(t *testing.T) {
	routes := []*Route{{Name: "all"}, {Name: "reports", Pattern: Fields{Group: "report"}}, {Name: "farm", Pattern: Fields{Group: "report", Client: "farm"}},
		{Name: "grids", Pattern: Fields{Group: "report", Application: "*grid*"}}, {Name: "any rep", Pattern: Fields{Group: "rep*"}}}
	table := NewTable(routes)
	for want, f := range map[string]Fields{"all": {Group: "lookup"}, "reports": {Group: "report", Client: "portal"}, "farm": {Group: "report", Client: "farm", Application: "a grid"},
		"grids": {Group: "report", Application: "my grid 7"}, "any rep": {Group: "rep2"}} {
		assert.Equal(t, want, table.Find(&f).Name)
	}
	assert.Contains(t, table.Explain(&Fields{Group: "report", Client: "farm"}), `route "farm" (line 0): it matches on group=report client=farm`)
	assert.Nil(t, NewTable(routes[1:]).Find(&Fields{Group: "lookup"}))
	assert.Contains(t, NewTable(nil).Explain(&Fields{}), "no route")
}

func TestCheckNamesRuleAndRoute(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for why, bad := range map[string]*Route{
		"rule 2: 4 dispatches":                  {MaxDispatches: 4},
		"rule 2: -1 dispatches":                 {MaxDispatches: -1},
		"rule 1: 3 time-outs of 2s":             {Pattern: Fields{Group: "lookup"}, Timeout: 2},
		"clients wait 4s":                       {Timeout: 1.2, RetryDelay: 0.5},
		"engines remember repeats for 15s":      {Pattern: Fields{Group: "upload"}, Timeout: 6},
		"rule 2: a time-out of a once-only":     {Pattern: Fields{Group: "once"}, Timeout: 1, MaxDispatches: 1},
		"rule 1: a pause of up to 5s":           {Pattern: Fields{Group: "lookup"}, RetryDelay: 5},
		"rule 1: a pause of up to 4.5s":         {Pattern: Fields{Group: "lookup"}, RetryDelay: 3, Jitter: 0.5},
		"rule 2: a pause of up to 16s":          {Pattern: Fields{Group: "upload"}, RetryDelay: 16},
		"its time-out must be":                  {Timeout: nan},
		"time-out must be from 0":               {Timeout: -1},
		"from 0 to 3600s":                       {Timeout: inf},
		"its pause must be":                     {RetryDelay: nan},
		"jitter a share":                        {Jitter: 2},
		`no service group "raport"`:             {Pattern: Fields{Group: "raport"}},
		`no client "nobody"`:                    {Pattern: Fields{Client: "nobody"}},
		`no protocol "odbc"`:                    {Pattern: Fields{Protocol: "odbc"}},
		`"x7" is not the number`:                {Pattern: Fields{DataSet: "x7"}},
		`"07" is not the number`:                {Pattern: Fields{DataSet: "07"}},
		"frames tell no login":                  {Pattern: Fields{Protocol: "frames", Login: "ann"}},
		"frames tell no login and no applicati": {Pattern: Fields{Protocol: "frames", Application: "a*"}},
	} {
		bad.Name, bad.Line = "r", 7
		found := Check(Config{Routes: []*Route{bad}}, testPlatform())
		var texts []string
		for _, f := range found {
			assert.Equal(t, 7, f.Line)
			texts = append(texts, f.Message)
		}
		assert.Contains(t, strings.Join(texts, "\n"), why)
	}
	for why, b := range map[string]*RetryBudget{"rule 7": {FreeRetries: 21, Window: 10}, "rule 7: it gives more": {RetryRatio: 0.3, Window: 10}, "share from 0 to 1": {RetryRatio: nan, Window: 10},
		"its window": {Window: 0}, "window must be": {Window: inf}, "free must be": {FreeRetries: -1, Window: 10}} {
		b.Name = "b"
		found := Check(Config{Budgets: []*RetryBudget{b}}, testPlatform())
		assert.NotEmpty(t, found, why)
		assert.Contains(t, fmt.Sprint(found), why)
	}
}

func TestEquallySpecificRoutesAreAnErrorOnlyIfBothCanMatch(t *testing.T) {
	pair := func(a, b Fields) []Finding {
		return Check(Config{Routes: []*Route{{Name: "a", Pattern: a}, {Name: "b", Pattern: b, Line: 9}}}, testPlatform())
	}
	for _, two := range [][2]Fields{{{Group: "report"}, {Client: "farm"}}, {{Login: "a*"}, {Login: "*b"}}, {{}, {}}, {{Group: "report"}, {Group: "report"}}, {{Application: "a*c"}, {Application: "ab*"}}} {
		found := pair(two[0], two[1])
		if assert.Len(t, found, 1, "%v", two) {
			assert.Contains(t, found[0].Message, `as exact as route "a"`)
		}
	}
	for _, two := range [][2]Fields{{{Group: "report"}, {Group: "lookup"}}, {{Login: "a*"}, {Login: "b*"}}, {{Login: "*a"}, {Login: "*b"}}, {{Group: "report"}, {Group: "report", Client: "farm"}}, {{Group: "re*"}, {Group: "report"}}} {
		assert.Empty(t, pair(two[0], two[1]), "%v", two)
	}
}

func TestRetryBudgetIsSharedAndRefills(t *testing.T) {
	b := &RetryBudget{FreeRetries: 2, RetryRatio: 0.1, Window: 10}
	one, two := &Route{Budget: b}, &Route{Budget: b}
	spent := 0
	for now := 100.0; now < 109; now += 0.1 {
		one.CountBatch(now)
		if two.MayRetrySoon(now) {
			two.CountRetry(now)
			spent++
		}
	}
	assert.InDelta(t, 2+9, spent, 1.1)
	assert.False(t, one.MayRetrySoon(109))
	assert.True(t, one.MayRetrySoon(130), "what was spent is long ago")
	assert.True(t, one.MayRetrySoon(90), "a clock that steps back breaks nothing")
	assert.True(t, (*Route)(nil).MayRetrySoon(0))
	assert.Equal(t, []any{2, 3, 0.5, 1.0}, []any{(&Route{MaxDispatches: 2}).DispatchLimit(3), (*Route)(nil).DispatchLimit(3), (&Route{Timeout: 0.5}).CapTimeout(1), (&Route{}).CapTimeout(1)})
}

func thousandRoutes() (*Table, *Fields) {
	var routes []*Route
	for i := range 1000 {
		routes = append(routes, &Route{Name: fmt.Sprint(i), Pattern: Fields{Group: "report", Client: fmt.Sprintf("c%d", i), Protocol: "tds"}})
	}
	routes = append(routes, &Route{Name: "all"}, &Route{Name: "lookups", Pattern: Fields{Group: "lookup"}}, &Route{Name: "grid", Pattern: Fields{Application: "*grid"}})
	return NewTable(routes), &Fields{Group: "report", Client: "c777", Protocol: "tds", Login: "ann", Application: "house grid"}
}

func TestFindAllocatesNothing(t *testing.T) {
	table, f := thousandRoutes()
	assert.Equal(t, "777", table.Find(f).Name)
	assert.Zero(t, testing.AllocsPerRun(100, func() { table.Find(f) }))
}

func BenchmarkFind(b *testing.B) {
	table, f := thousandRoutes()
	b.ReportAllocs()
	for range b.N {
		table.Find(f)
	}
}
