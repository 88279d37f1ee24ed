// Package defects puts faults into the code on purpose, to show that what looks for them finds them: one piece of one file stands
// for another while a command is built.
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

// Defect is a fault put in on purpose.
type Defect struct {
	Name          string
	Rule          int     // that it breaks
	World         string  // in which internal/explore finds it; empty: none is named
	Fleet         bool    // it shows only where there are several routers,
	Talk, Shares  bool    // that talk, and divide by that,
	Limits        bool    // not work for cold engines alone,
	Soak          bool    // or where system calls fail too,
	Firm          float64 // with so much of each whole fixed; 0: as the play has it
	File          string  // from the root of the repository
	Before, After string
}

// Read reads a list of them, [[defect]] each.
func Read(text []byte) ([]Defect, error) {
	var out struct{ Defect []Defect }
	if err := toml.Unmarshal(text, &out); err != nil {
		return nil, fmt.Errorf("defects: %w", err)
	}
	return out.Defect, nil
}

// Build builds a command of the repository at root with the defect; the tree stays as it is. Without an out nothing is kept, and
// only what has the defect is built.
func (d Defect) Build(root, command, out string) error {
	root, err := filepath.Abs(root) // the list of what stands for what is read from there
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
		return fmt.Errorf("defect %q: what it replaces stands %d times in %s", d.Name, count, d.File)
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
