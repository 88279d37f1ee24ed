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
	logLinesAround = 700 * time.Millisecond // of a finding
	maxLogLines    = 24                     // lines of all routers
)

// LogLines gives what the routers said around a finding, of all of them in one order; and before it, whatever names its batch.
func (r *Result) LogLines(f Finding) []string {
	type line struct {
		at    time.Duration
		text  string
		named bool
	}
	var all []line
	for i, name := range r.Logs {
		file, err := os.Open(name)
		if err != nil {
			return []string{err.Error()}
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var one struct{ TS float64 }
			if json.Unmarshal(lines.Bytes(), &one) != nil {
				continue
			}
			at := time.Duration(one.TS*float64(time.Second)) - time.Duration(r.Began.UnixNano())
			named := f.Batch != "" && strings.Contains(lines.Text(), f.Batch)
			if named || max(at-f.At, f.At-at) < logLinesAround {
				all = append(all, line{at, fmt.Sprintf("%.3f s r%d: %s", at.Seconds(), i, lines.Text()), named})
			}
		}
		file.Close()
	}
	slices.SortStableFunc(all, func(a, b line) int { return int(a.at - b.at) })
	if over := len(all) - maxLogLines; over > 0 { // what names the batch stays, and what is nearest
		slices.SortStableFunc(all, func(a, b line) int {
			if a.named != b.named {
				return map[bool]int{true: -1, false: 1}[a.named]
			}
			return int(max(a.at-f.At, f.At-a.at) - max(b.at-f.At, f.At-b.at))
		})
		all = all[:maxLogLines]
		slices.SortStableFunc(all, func(a, b line) int { return int(a.at - b.at) })
	}
	out := make([]string, len(all))
	for i, l := range all {
		out[i] = l.text
	}
	return out
}
