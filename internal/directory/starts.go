package directory

// maxStartTimes is the number of start times remembered for one engine. When it is reached, all but the current one are
// forgotten and would count as new if they were reported again.
const maxStartTimes = 16

// startTimes holds the start times that were reported for one engine, in Unix seconds. A start time comes from the wall clock
// of another machine, which may be set back or forward: it identifies a process but does not tell which of two processes is
// the later one. The zero value holds none.
type startTimes struct {
	known   map[float64]bool
	current float64 // start time of the process assumed to be running; 0: none was reported, it started long ago
}

// add records a reported start time and reports whether it is new. A new one becomes the current one; 0 is ignored.
func (s *startTimes) add(start float64) bool {
	if start == 0 || s.known[start] {
		return false
	}
	if s.known == nil || len(s.known) >= maxStartTimes {
		s.known = map[float64]bool{s.current: true}
	}
	s.known[start], s.current = true, start
	return true
}

// confirm makes a start time the current one and reports whether that is a change; 0 is ignored.
func (s *startTimes) confirm(start float64) bool {
	if start == 0 || start == s.current {
		return false
	}
	s.current = start
	return true
}
