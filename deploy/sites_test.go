package deploy_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// site is what we ask of a site file of our own; the users' bench reads all the rest of it.
type site struct {
	Name, Wire string
	Class      []struct {
		Name, Effect string
		Deadline     float64 `toml:"deadline_ms"`
		Window       float64 `toml:"window_ms"`
	}
	Fam    struct{ Class []map[string]any }
	Tier   []struct{ Kind []struct{ Cores int } }
	Tenant []struct{ Name string }
	Allow  struct {
		Cancel       bool
		SecondCopies bool `toml:"second_copies"`
	}
}

func readSite(t *testing.T, name string) (s site) {
	text, err := os.ReadFile(filepath.Join("sites", name+".toml"))
	require.NoError(t, err)
	require.NoError(t, toml.Unmarshal(text, &s))
	assert.Equal(t, name, s.Name)
	assert.Equal(t, "wire.json", s.Wire)
	assert.Len(t, s.Fam.Class, len(s.Class), "each class has its line of the family")
	return s
}

// The variants are there for settings that the platform's own deployment does not have.
func TestSitesOfOurOwnAskWhatTheirNamesakesDoNot(t *testing.T) {
	river := readSite(t, "river-levels")
	effects := map[string]bool{}
	for _, c := range river.Class {
		effects[c.Effect] = true
		assert.LessOrEqual(t, c.Deadline, 6000.0, c.Name)
		assert.LessOrEqual(t, c.Window, 2000.0, c.Name)
	}
	assert.Equal(t, map[string]bool{"safe": true, "keyed": true, "unsafe": true}, effects)
	assert.False(t, river.Allow.SecondCopies)
	tide := readSite(t, "tide-gauges")
	assert.False(t, tide.Allow.SecondCopies)
	assert.False(t, tide.Allow.Cancel)
	quay := readSite(t, "quay-tallies")
	assert.Len(t, quay.Tenant, 3)
	for _, k := range quay.Tier[0].Kind {
		assert.LessOrEqual(t, k.Cores, 4)
	}
}

func TestLayLaysWhatTheBenchWantsAndSaysWhatIsMissing(t *testing.T) {
	folder, kit := t.TempDir(), t.TempDir()
	script, err := os.ReadFile(filepath.Join("sites", "lay.sh"))
	require.NoError(t, err)
	path := filepath.Join(folder, "lay.sh")
	require.NoError(t, os.WriteFile(path, script, 0o700))
	run := func(args ...string) (string, int) {
		c := exec.Command("bash", append([]string{path}, args...)...)
		out, _ := c.CombinedOutput()
		return string(out), c.ProcessState.ExitCode()
	}
	out, code := run()
	assert.Equal(t, 2, code)
	assert.Contains(t, out, "the kit's folder is wanted")
	require.NoError(t, os.Mkdir(filepath.Join(kit, "sites"), 0o700))
	for _, name := range []string{"real.json", "wire.json"} {
		require.NoError(t, os.WriteFile(filepath.Join(kit, "sites", name), []byte(name), 0o600))
	}
	out, code = run(kit)
	assert.Equal(t, 2, code)
	assert.Contains(t, out, "unlock.txt can't be read")
	assert.NoFileExists(t, filepath.Join(folder, "real.json"), "all or nothing")
	require.NoError(t, os.WriteFile(filepath.Join(kit, "sites", "unlock.txt"), []byte("unlock"), 0o600))
	out, code = run(kit)
	assert.Zero(t, code, out)
	for _, name := range []string{"real.json", "wire.json", "unlock.txt"} {
		assert.FileExists(t, filepath.Join(folder, name))
	}
}
