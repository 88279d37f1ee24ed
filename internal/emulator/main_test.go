package emulator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid so that each run makes the same draws. To search further, set -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261201") //nolint:errcheck
	}
	flag.Set("rapid.nofailfile", "true") //nolint:errcheck
	os.Exit(m.Run())
}
