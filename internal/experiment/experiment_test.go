package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const smallExperiment = `name = "small"
seeds = 2
charts = true
[[world]]
name = "hall"
routers = 2
engines = 2
rate = 20
[[world.group]]
name = "report"
effect = "repeatable"
share = 1
goal = 2
limit = 6
utility = 1
threads = 2
work = 0.9
[waves]
seconds = 12
times = [1.2]
swing = [0.3]
period = [5]
[[variant]]
name = "off"
[sweep]
group = "report"
keep = [0.5]
`

func TestMatrixRunsAndComparesDeterministically(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "small.toml")
	require.NoError(t, os.WriteFile(path, []byte(smallExperiment), 0o600))
	e, err := Load(path)
	require.NoError(t, err)
	runs, err := e.Play(context.Background(), nil)
	require.NoError(t, err)
	require.Len(t, runs, 4)
	again, err := e.Play(context.Background(), nil)
	require.NoError(t, err)
	var one, two, table, difference bytes.Buffer
	require.NoError(t, WriteCSV(&one, runs))
	require.NoError(t, WriteCSV(&two, again))
	assert.Equal(t, one.String(), two.String(), "whatever runs first")
	broken, err := Table(&table, Summarize(runs))
	require.NoError(t, err)
	assert.False(t, broken)
	assert.Contains(t, table.String(), "report 50%")
	older, err := ReadCSV(&one)
	require.NoError(t, err)
	require.NoError(t, Compare(&difference, runs, older))
	assert.Contains(t, difference.String(), "0.000")
	names, err := e.Draw(folder, runs)
	require.NoError(t, err)
	for _, name := range names {
		info, err := os.Stat(name)
		require.NoError(t, err)
		assert.Greater(t, info.Size(), int64(2000))
	}
	runs[0].Violations = []string{"rule 1: once"}
	broken, err = Table(&table, Summarize(runs))
	require.NoError(t, err)
	assert.True(t, broken)
}

func TestInvalidFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	for change, why := range map[string]string{"routers = 2|routers = -2": "routers", "seeds = 2|seds = 2": "seds", "period = [5]|period = [0]": "period",
		"share = 1|share = 0": "share", `name = "off"|name = "off"` + "\nsettings = \"none.toml\"": "none.toml"} {
		from, to, _ := strings.Cut(change, "|")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(smallExperiment, from, to, 1)), 0o600))
		_, err := Load(path)
		assert.ErrorContains(t, err, why)
	}
	_, err := ReadCSV(strings.NewReader("a,b\n"))
	assert.ErrorContains(t, err, "no column")
}

func TestRepositoryExperimentsLoad(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	require.NoError(t, err)
	for _, f := range files {
		if slices.Contains([]string{"levels.toml", "limits.toml", "copies-50.toml", "copies-90.toml", "copies-99.toml", "budgets-engine.toml"}, filepath.Base(f)) {
			continue
		}
		_, err := Load(f)
		assert.NoError(t, err, f)
	}
}
