package torture

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	logLinesAround = 700 * time.Millisecond // before and after a finding
	maxLogLines    = 24                     // of all routers together
)

// LogLines returns the routers' log lines around a finding, merged by time, and all lines that contain the ID of its
// batch.
func (r *Result) LogLines(f Finding) []string {
	type logLine struct {
		at    time.Duration
		text  string
		named bool
	}
	var all []logLine
	for i, name := range r.Logs {
		file, err := os.Open(name)
		if err != nil {
			return []string{err.Error()}
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var entry struct{ TS float64 }
			if json.Unmarshal(lines.Bytes(), &entry) != nil {
				continue
			}
			at := time.Duration(entry.TS*float64(time.Second)) - time.Duration(r.Began.UnixNano())
			named := f.Batch != "" && strings.Contains(lines.Text(), f.Batch)
			if named || max(at-f.At, f.At-at) < logLinesAround {
				all = append(all, logLine{at, fmt.Sprintf("%.3f s r%d: %s", at.Seconds(), i, lines.Text()), named})
			}
		}
		file.Close()
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return int(a.at - b.at) })
	if excess := len(all) - maxLogLines; excess > 0 { // keep the lines with the batch's ID, then the nearest ones
		slices.SortStableFunc(all, func(a, b logLine) int {
			if a.named != b.named {
				return map[bool]int{true: -1, false: 1}[a.named]
			}
			return int(max(a.at-f.At, f.At-a.at) - max(b.at-f.At, f.At-b.at))
		})
		all = all[:maxLogLines]
		slices.SortStableFunc(all, func(a, b logLine) int { return int(a.at - b.at) })
	}
	out := make([]string, len(all))
	for i, l := range all {
		out[i] = l.text
	}
	return out
}
