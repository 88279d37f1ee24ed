package installation

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const hash = "$2a$04$Vp0Yz4Yb6zkY9tD6Xh4tiOJ5vJr2l7bG7T0w9Xv8nC3JwKq0b8m3W"

const validFile = `[tds]
listen = "127.0.0.1:1433"
idle = "5m"
[[tds.login]]
user = "Ann"
hash = "` + hash + `"
client = "farm"
[[rule]]
login = "ann"
group = "report"
limit = "9s"
memory = "96MB"
[[engine]]
id = "tds-*"
protocol = "tds"
user = "router"
password-from = "SECRET"
`

func env(name string) string { return map[string]string{"SECRET": "s"}[name] }

func TestValidFileIsRead(t *testing.T) {
	i, err := Parse("x.toml", []byte(validFile), env)
	require.NoError(t, err)
	assert.Equal(t, 300.0, i.TDS.Idle)
	assert.Equal(t, "farm", i.TDS.Users["ann"].Client)
	assert.Equal(t, []float64{9, 96}, []float64{i.Rules.List[0].Limit, i.Rules.List[0].Memory})
	assert.Equal(t, []string{"s", "SELECT 1"}, []string{i.Engines[0].Password, i.Engines[0].ProbeStatement})
	assert.NoError(t, i.CheckGroups("x.toml", []string{"report"}))
	assert.ErrorContains(t, i.CheckGroups("x.toml", []string{"lookup"}), `no service group "report"`)
}

func TestFileInDeployIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/pitchfield.toml")
	require.NoError(t, err)
	_, err = Parse("deploy/pitchfield.toml", text, func(string) string { return "x" })
	assert.NoError(t, err)
}

func TestInvalidFileIsReportedByLineAndAllAtOnce(t *testing.T) {
	for change, why := range map[string]string{
		`listen = "127.0.0.1:1433"|listen = "here"`:    "x.toml:2: tds.listen",
		`listen = "127.0.0.1:1433"|listen = 7`:         "x.toml:2: tds.listen",
		`idle = "5m"|idel = "5m"`:                      "x.toml:3: tds.idel: no such key",
		`idle = "5m"|idle = "5"`:                       "x.toml:3: tds.idle",
		`idle = "5m"|idle = "-5m"`:                     "x.toml:3: tds.idle",
		`hash = "` + hash + `"|hash = "plain"`:         "x.toml:6: tds.login[0].hash",
		`group = "report"|`:                            "x.toml:8: rule[0]",
		`limit = "9s"|limit = "1e300s"`:                "x.toml:11: rule[0].limit",
		`memory = "96MB"|memory = "96"`:                "x.toml:12: rule[0].memory",
		`protocol = "tds"|protocol = "odbc"`:           "x.toml:15: engine[0].protocol",
		`user = "router"|`:                             "x.toml:13: engine[0].user",
		`"SECRET"|"NOTHING"`:                           "engine[0].password-from",
		`[[engine]]|[[engine]`:                         "x.toml:13",
		`id = "tds-*"|packet = 100`:                    "x.toml:14: engine[0].packet",
		`user = "Ann"|user = "Ann"` + "\nuser = \"b\"": "x.toml:6",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse("x.toml", []byte(strings.Replace(validFile, from, to, 1)), env)
		assert.ErrorContains(t, err, why, change)
	}
	_, err := Parse("x.toml", []byte("[tds]\nlisten = \"x\"\nidle = \"y\"\n[default]\n"), env)
	assert.Len(t, strings.Split(err.Error(), "\n"), 4, "%s", err)
}

const levelSection = `[[level]]
name = "mild"
enter = [{measure = "served", below = 0.9, for = "3s"}]
exit = [{measure = "served", above = 0.95, for = "3s"}]
keep = {report = 0.5}
`

func TestLevelsAreReadAndErrorsReported(t *testing.T) {
	i, err := Parse("x.toml", []byte("[levels]\nturns-a-minute = 1\n"+levelSection), env)
	require.NoError(t, err)
	assert.Equal(t, []any{1, 30.0, 0.5}, []any{i.Levels.MaxTransitionsPerMinute, i.Levels.Levels[0].MinDuration, i.Levels.Levels[0].AdmitRatio["report"]})
	assert.ErrorContains(t, i.CheckGroups("x.toml", []string{"lookup"}), "level[0].keep.report")
	for change, why := range map[string]string{`name = "mild"|name = "usual"`: "usual", `"served", below|"wind", below`: "no measure", `below = 0.9|below = 0.9, above = 1`: "either",
		`below = 0.9, for = "3s"|below = 0.9, for = "soon"`: "level[0].enter[0]", `report = 0.5|report = 1.5`: "from 0 to 1", `above = 0.95|below = 0.9`: "very condition",
		`below = 0.9|below = nan`: "level[0].enter[0]", `enter = [{measure = "served", below = 0.9, for = "3s"}]|further = 7`: "further", "keep =|kep =": "kep"} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse("x.toml", []byte(strings.Replace(levelSection, from, to, 1)), env)
		assert.ErrorContains(t, err, why, change)
	}
	_, err = Parse("x.toml", []byte("[levels]\nhold = \"none\"\nbackoff = 0.5\n"+levelSection), env)
	assert.ErrorContains(t, err, "no level \"none\"")
	assert.ErrorContains(t, err, "levels.backoff")
	_, err = Parse("x.toml", []byte("[status]\nlisten = \"here\"\n"), env)
	assert.ErrorContains(t, err, "x.toml:2: status.listen")
}

const fleetSection = `[fleet]
name = "brno"
listen = "10.1.0.4:7500"
seeds = ["10.1.0.4:7500", "10.1.0.5:7500"]
networks = ["10.1.0.0/24", "10.2.0.0/16"]
every = "500ms"
via = [{to = "10.2.0.9:7500", by = "10.1.0.1:17509"}]
`

func TestFleetIsReadAndErrorsReported(t *testing.T) {
	i, err := Parse("x.toml", []byte(fleetSection), env)
	require.NoError(t, err)
	require.NotNil(t, i.Fleet)
	assert.Equal(t, "10.1.0.4:7500", i.Fleet.Members.Listen)
	assert.Equal(t, []float64{0.5, 0.2}, []float64{i.Fleet.Members.ProbeInterval, i.Fleet.Members.ProbeTimeout}, "the other times follow")
	assert.Len(t, i.Fleet.Networks, 2)
	none, err := Parse("x.toml", []byte(validFile), env)
	require.NoError(t, err)
	assert.Nil(t, none.Fleet, "without the section there is no talk")
	const divides = fleetSection + "[shares]\nkeepers = [\"10.1.0.4:7500\", \"10.1.0.5:7500\", \"10.2.0.9:7500\"]\nlease = \"500ms\"\nfirm = 0.2\n"
	i, err = Parse("x.toml", []byte(divides), env)
	require.NoError(t, err)
	require.NotNil(t, i.Shares)
	assert.Equal(t, []float64{0.5, 1, 0.2}, []float64{i.Shares.Lease, i.Shares.Term, i.Shares.FixedFraction})
	assert.Equal(t, "10.1.0.4:7500", i.Shares.Listen)
	for change, why := range map[string]string{
		`, "10.2.0.9:7500"]` + "\nlease|]\nlease":               "x.toml:9: shares.keepers: 2 addresses",
		`[fleet]|[fleet.x]`:                                     "fleet.x: no such key",
		`"10.1.0.5:7500", "10.2.0.9|"10.1.0.4:7500", "10.2.0.9`: "x.toml:9: shares.keepers[1]: \"10.1.0.4:7500\" is there twice",
		`"10.1.0.5:7500", "10.2.0.9|"10.1.0.5", "10.2.0.9`:      "is not an address and a port",
		`"10.1.0.5:7500", "10.2.0.9|"10.3.0.5:7500", "10.2.0.9`: "in none of the networks of [fleet]",
		`lease = "500ms"|lease = "10ms"`:                        "x.toml:10: shares.lease",
		`lease = "500ms"|lease = "5s"` + "\nterm = \"6s\"":      "the term has to be at least 2 times the lease",
		`lease = "500ms"|term = "100ms"`:                        "x.toml:10: shares.term",
		`firm = 0.2|firm = 1.5`:                                 "x.toml:11: shares.firm",
		`firm = 0.2|drift = 0`:                                  "x.toml:11: shares.drift",
		`firm = 0.2|frim = 0.2`:                                 "shares.frim: no such key",
	} {
		old, new, _ := strings.Cut(change, "|")
		require.Contains(t, divides, old)
		_, err := Parse("x.toml", []byte(strings.Replace(divides, old, new, 1)), env)
		assert.ErrorContains(t, err, why, change)
	}
	_, err = Parse("x.toml", []byte("[shares]\nkeepers = [\"10.1.0.4:7500\"]\n"), env)
	assert.ErrorContains(t, err, "without [fleet] there is nobody to divide anything with")
	for change, why := range map[string]string{
		`name = "brno"|`:                                       "x.toml:1: fleet.name",
		`name = "brno"|name = "two words"`:                     "x.toml:2: fleet.name",
		`name = "brno"|nmae = "brno"`:                          "x.toml:2: fleet.nmae: no such key",
		`listen = "10.1.0.4:7500"|listen = "here"`:             `x.toml:3: fleet.listen: "here" is not an address`,
		`listen = "10.1.0.4:7500"|listen = "0.0.0.0:7500"`:     "x.toml:3: fleet.listen",
		`listen = "10.1.0.4:7500"|listen = "10.3.0.4:7500"`:    "is in none of the networks",
		`seeds = ["10.1.0.4:7500", "10.1.0.5:7500"]|seeds=[]`:  "x.toml:4: fleet.seeds: from 1 to",
		`"10.1.0.5:7500"]|"10.1.0.4:7500"]`:                    "is there twice",
		`"10.1.0.0/24"|"10.1.0.0"`:                             "x.toml:5: fleet.networks[0]",
		`"10.2.0.0/16"|"0.0.0.0/0"`:                            "is everybody",
		`networks = ["10.1.0.0/24", "10.2.0.0/16"]|`:           "without networks anybody could talk",
		`every = "500ms"|every = "1ms"`:                        "x.toml:6: fleet.every",
		`every = "500ms"|accept-loss-after = "5s"`:             "x.toml:6: fleet.accept-loss-after",
		`every = "500ms"|load = "1s"`:                          "x.toml:6: fleet.load",
		`every = "500ms"|load = "10ms"`:                        "x.toml:6: fleet.load",
		`every = "500ms"|every = 5`:                            "text in quotes is wanted, not 5",
		`by = "10.1.0.1:17509"|by = "there"`:                   "x.toml:7: fleet.via[0].by",
		`via = [{to = "10.2.0.9:7500"|via = [{to = "10.2.0.9"`: "x.toml:7: fleet.via[0].to",
	} {
		old, new, _ := strings.Cut(change, "|")
		require.Contains(t, fleetSection, old)
		_, err := Parse("x.toml", []byte(strings.Replace(fleetSection, old, new, 1)), env)
		assert.ErrorContains(t, err, why, change)
	}
}
