package directory

// maxStartTimes are remembered of one engine; with more of them all but the present one are forgotten, and would count as new.
const maxStartTimes = 16

// startTimes are those that were told of one engine. A start is a wall time of another machine, which may be set back or ahead: it names
// a process, and says nothing of which process is the later one. The zero value knows of none.
type startTimes struct {
	known   map[float64]bool
	current float64 // of the process that is taken to run; 0: none was told, it started long ago
}

// add takes note of a start. One that is new is that of the present process. It reports whether it is new.
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

// confirm takes a start for that of the present process. It reports whether another one was.
func (s *startTimes) confirm(start float64) bool {
	if start == 0 || start == s.current {
		return false
	}
	s.current = start
	return true
}
