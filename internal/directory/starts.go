package directory

// mostStarts are remembered of one engine; with more of them all but the present one are forgotten, and would count as new.
const mostStarts = 16

// starts are those that were told of one engine. A start is a wall time of another machine, which may be set back or ahead: it names
// a process, and says nothing of which process is the later one. The zero value knows of none.
type starts struct {
	heard   map[float64]bool
	present float64 // of the process that is taken to run; 0: none was told, it started long ago
}

// hear takes note of a start. One that is new is that of the present process. It reports whether it is new.
func (s *starts) hear(start float64) bool {
	if start == 0 || s.heard[start] {
		return false
	}
	if s.heard == nil || len(s.heard) >= mostStarts {
		s.heard = map[float64]bool{s.present: true}
	}
	s.heard[start], s.present = true, start
	return true
}

// confirm takes a start for that of the present process. It reports whether another one was.
func (s *starts) confirm(start float64) bool {
	if start == 0 || start == s.present {
		return false
	}
	s.present = start
	return true
}
