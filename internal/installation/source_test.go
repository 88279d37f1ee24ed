package installation

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFilesAreIncludedOnceAndErrorsNameTheirFile(t *testing.T) {
	for name, c := range map[string]struct {
		files map[string]string
		want  string // of the error; empty: it can be used
	}{
		"a route uses another file's budget": {files: map[string]string{"main.toml": "include = [\"routes.toml\", \"sub/budgets.toml\"]\n",
			"routes.toml": "[[route]]\nname = \"r\"\nbudget = \"b\"\n", "sub/budgets.toml": "[[budget]]\nname = \"b\"\n"}},
		"a finding in an included file": {files: map[string]string{"main.toml": "include = [\"routes.toml\"]\n[[budget]]\nname = \"b\"\n",
			"routes.toml": "# ours\n[[route]]\nname = \"r\"\ndispatches = 4\n"}, want: "routes.toml:2: route \"r\": rule 2: 4 dispatches"},
		"an unknown key in one": {files: map[string]string{"main.toml": "include = [\"a.toml\"]\n", "a.toml": "[[budget]]\nname = \"b\"\nshaer = 1\n"},
			want: "a.toml:3: budget.shaer: no such key"},
		"a wrong type in one": {files: map[string]string{"main.toml": "include = [\"a.toml\"]\n", "a.toml": "[[budget]]\nname = \"b\"\nshare = \"x\"\n"},
			want: "a.toml:3: budget.share: a number is wanted, not \"x\""},
		"a finding behind it": {files: map[string]string{"main.toml": "include = [\"a.toml\"]\n[[route]]\nname = \"r\"\nbudget = \"other\"", "a.toml": "[[budget]]\nname = \"b\"\n"},
			want: "main.toml:4: route[0].budget"},
		"itself":      {files: map[string]string{"main.toml": "include = [\"main.toml\"]\n"}, want: "main.toml:1: include: \"main.toml\" includes itself"},
		"in a circle": {files: map[string]string{"main.toml": "\ninclude = [\"a.toml\"]\n", "a.toml": "include = [\"./main.toml\"]\n"}, want: "a.toml:1: include: \"./main.toml\" includes itself"},
		"twice":       {files: map[string]string{"main.toml": "include = [\"a.toml\", \"./a.toml\"]\n", "a.toml": ""}, want: "main.toml:1: include: \"./a.toml\" is included already"},
		"not there":   {files: map[string]string{"main.toml": "include = [\"a.toml\"]\n"}, want: "a.toml: no such file"},
		"no list":     {files: map[string]string{"main.toml": "include = \"a.toml\"\n"}, want: "main.toml:1: include: a list of which each is text in quotes is wanted"},
		"in a table":  {files: map[string]string{"main.toml": "[default]\ngroup = \"r\"\ninclude = [\"a.toml\"]\n"}, want: "main.toml:3: default.include: no such key"},
		"a table in both": {files: map[string]string{"main.toml": "include = [\"a.toml\"]\n[default]\ngroup = \"r\"\n", "a.toml": "[default]\ngroup = \"s\"\n"},
			want: "a.toml:1"},
	} {
		folder := t.TempDir()
		for file, text := range c.files {
			require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(folder, file)), 0o755))
			require.NoError(t, os.WriteFile(filepath.Join(folder, file), []byte(text), 0o600))
		}
		_, err := Load(filepath.Join(folder, "main.toml"), env)
		if c.want == "" {
			assert.NoError(t, err, name)
		} else if assert.Error(t, err, name) {
			assert.Contains(t, err.Error(), c.want, name)
		}
	}
}
