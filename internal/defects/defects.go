// Package defects injects known faults into the code to show that the test tools find them: while a command is built, one
// piece of one source file is replaced by another.
package defects

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Defect is a fault that is injected on purpose. Its fields are keys of the defects' TOML files.
type Defect struct {
	Name          string
	Rule          int     // number of the rule that it breaks
	World         string  // world in which internal/explore finds it; empty: no particular one
	Fleet         bool    // visible only with several routers
	Talk, Shares  bool    // visible only if routers exchange messages (Talk) and divide quotas by means of them (Shares)
	Limits        bool    // visible only if the quotas also cover limits, not just work for cold engines
	Soak          bool    // visible only if system calls fail as well
	Firm          float64 // fraction of each total quota that is fixed; 0: the scenario's value
	File          string  // path relative to the root of the repository
	Before, After string  // source text that stands exactly once in File, and its replacement
}

// Read parses a list of defects from TOML, each in a [[defect]] table.
func Read(text []byte) ([]Defect, error) {
	var out struct{ Defect []Defect }
	if err := toml.Unmarshal(text, &out); err != nil {
		return nil, fmt.Errorf("defects: %w", err)
	}
	return out.Defect, nil
}

// Build builds a command of the repository at root with the defect and writes the executable to out. If out is empty, it only
// compiles the package that has the defect. The source tree is not changed.
func (d Defect) Build(root, command, out string) error {
	root, err := filepath.Abs(root) // the overlay needs absolute paths, since the build runs in root
	if err != nil {
		return fmt.Errorf("defect: %w", err)
	}
	tempDir, err := os.MkdirTemp("", "defect")
	if err != nil {
		return fmt.Errorf("defect: %w", err)
	}
	defer os.RemoveAll(tempDir)
	path := filepath.Join(root, d.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("defect %q: %w", d.Name, err)
	}
	if count := strings.Count(string(source), d.Before); count != 1 {
		return fmt.Errorf("defect %q: the text to replace occurs %d times in %s, want 1", d.Name, count, d.File)
	}
	changed, overlay := filepath.Join(tempDir, "changed.go"), filepath.Join(tempDir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), d.Before, d.After, 1)), 0o600); err != nil {
		return fmt.Errorf("defect: %w", err)
	}
	overlayJSON, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	if err == nil {
		err = os.WriteFile(overlay, overlayJSON, 0o600)
	}
	if err != nil {
		return fmt.Errorf("defect: %w", err)
	}
	args := []string{"build", "-overlay", overlay, "./" + filepath.Dir(d.File)}
	if out != "" {
		args = []string{"build", "-overlay", overlay, "-o", out, command}
	}
	build := exec.Command("go", args...)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("defect %q: %w: %s", d.Name, err, output)
	}
	return nil
}
