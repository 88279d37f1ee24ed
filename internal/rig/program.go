package rig

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildProgram builds the router into a folder, for tests that run it as a process, and returns its path.
func BuildProgram(folder string) (string, error) {
	path := filepath.Join(folder, "pitchfield")
	if out, err := exec.Command("go", "build", "-o", path, "pitchfield/cmd/pitchfield").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the router: %w: %s", err, out)
	}
	return path, nil
}
