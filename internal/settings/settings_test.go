package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/brain"
)

// fullSettings has all that the three further deployments bring, beside what the first ones had.
const fullSettings = `{"az":1,"balancers":3,"clients":{"marks-retry":true},"customers":[{"name":"a","quota-per-s":12.5,"share":0.6}],
"dcs":["x","y"],"discovery":"ask","feedback":{"how":"answers","names":["active","cpu","x1"]},"flavors":["std-8","std-16"],
"goal":{"whole":0.5},"grades":[
{"name":"check","aim-stretch":2,"on-time-ms":800,"deadline-ms":4000,"idempotency":"idempotent","group":"all","late-worth":0.1,"worth":1,"streaming":false,"window-ms":0},
{"name":"load","on-time-ms":3000,"deadline-ms":25000,"idempotency":"at_most_once","by-arrival":true,"worth":6,"flavors-allowed":[1],"runs-in":[0]},
{"name":"mark","on-time-ms":3000,"deadline-ms":25000,"idempotency":"deduplicated","group":"cell","window-ms":2000,"worth":3}],
"index":2,"kind-of-service":"queries","limits":{"attempts-cap":5,"cancel":true,"dial-timeout-ms":400,"idle-close-ms":9000,
"max-retry-after-ms":500,"may-duplicate":false,"may-probe":true,"may-tell":true,"most-held":20000,"multiplex":24,"retry-after":true},
"over-share-worth":0.1,"prices":{"peer":0.01,"probe":0.011},"rules":{"cold-from":0.33,"cold-ms":15000,"fall-ms":1500,
"fall-multiple":4,"stop-sending-within-ms":500,"settle-after-doubt-ms":300,"extra-free":5,"further-ratio":0.2,"look-back-ms":10000},
"specifics":{"cores-by-kind":[8,16],"memory-by-kind-mb":[16384,32768],"dop":[1,2,2],"grants":false,"largest-share":0.4,
"overbooked":"cut","progress-pace-ms":0,"takes-priority":true,"writes-tables":[false,true,false],"yields-to-loads":[true,false,false]},
"stage":0,"tick-ms":5,"tiers":["q"],"weight-kind":"none","worth-by":"request"}`

func TestDecodeReadsAllSettings(t *testing.T) {
	s, err := Decode([]byte(fullSettings))
	require.NoError(t, err)
	assert.Empty(t, s.UnknownKeys)
	check, load, mark := s.Groups[0], s.Groups[1], s.Groups[2]
	assert.Equal(t, []brain.Idempotency{brain.Idempotent, brain.AtMostOnce, brain.Deduplicated}, []brain.Idempotency{check.Idempotency, load.Idempotency, mark.Idempotency})
	assert.Equal(t, brain.WithinCell, mark.DedupScope)
	assert.InDelta(t, 2, mark.DedupWindow, 1e-9)
	assert.Equal(t, []int{1}, load.Kinds)
	assert.Equal(t, []int{0}, load.Zones)
	assert.Nil(t, check.Kinds)
	assert.True(t, load.InOrder)
	assert.True(t, load.LocksDataSet)
	assert.True(t, check.WaitsForLock)
	assert.True(t, s.LimitRetries)
	assert.InDelta(t, 5, s.FreeRetries, 1e-9)
	assert.InDelta(t, 0.2, s.RetryRatio, 1e-9)
	assert.InDelta(t, 10, s.RetryWindow, 1e-9)
	assert.Zero(t, s.UpdateInterval, "no notes")
	assert.Equal(t, brain.ReduceGrant, s.MemoryPolicy)
	assert.True(t, s.Priorities)
	assert.False(t, s.Grants)
	assert.False(t, s.MayHedge)
	assert.True(t, s.MustSubscribe)
	assert.Equal(t, 5, s.MaxDispatches)
	assert.InDelta(t, 0.3, s.SettleTime, 1e-9)
	assert.InDelta(t, 12.5, s.Settings.Clients[0].Quota, 1e-9)
	assert.InDelta(t, 0.4, s.DialTimeout, 1e-9)
	assert.Equal(t, 2, s.Index)
}

func TestUnusableValueIsAnErrorWithItsKey(t *testing.T) {
	for _, c := range []struct{ from, to, says string }{
		{`"idempotent"`, `"idempotently"`, `grades[0] (check).idempotency: "idempotently" can't be used`},
		{`"group":"cell"`, `"group":"rack"`, `grades[2] (mark).group: "rack" can't be used`},
		{`"overbooked":"cut"`, `"overbooked":"shrink"`, `specifics.overbooked: "shrink" can't be used`},
		{`"discovery":"ask"`, `"discovery":"guess"`, `discovery: "guess" can't be used`},
		{`"how":"answers"`, `"how":"mail"`, `feedback.how: "mail" can't be used`},
		{`"deadline-ms":4000`, `"deadline-ms":0`, `grades[0] (check).deadline-ms: 0 can't be used`},
		{`"on-time-ms":800,`, ``, `grade 0 lacks on-time-ms or deadline-ms`},
		{`"window-ms":2000`, `"window-ms":-1`, `grades[2] (mark).window-ms: -1 can't be used`},
		{`"further-ratio":0.2`, `"further-ratio":-0.2`, `rules.further-ratio: -0.2 can't be used`},
		{`"quota-per-s":12.5`, `"quota-per-s":-3`, `customers[0].quota-per-s: -3 can't be used`},
		{`"fall-ms":1500`, `"fall-ms":-1`, `rules.fall-ms: -1 can't be used`},
	} {
		text := strings.Replace(fullSettings, c.from, c.to, 1)
		require.NotEqual(t, fullSettings, text, c.from)
		_, err := Decode([]byte(text))
		assert.ErrorContains(t, err, c.says)
	}
}

func TestUnknownKeysAreListedOnceAndIgnored(t *testing.T) {
	text := strings.Replace(strings.ReplaceAll(fullSettings, `"worth":`, `"worth-unit":"czk","worth":`), `{"az":1,`, `{"az":1,"moon":{"phase":3},`, 1)
	s, err := Decode([]byte(text))
	require.NoError(t, err)
	assert.Equal(t, []string{"grades.worth-unit", "moon"}, s.UnknownKeys)
	assert.Len(t, s.Groups, 3)
}
