package router

// followed counts what has come of asking for the list since an answer was last taken. It is for the log alone.
type followed struct {
	takenAt   float64 // when an answer was last taken, Unix seconds; 0: never
	asked     int     // questions sent
	unmatched int     // answers to none of the open questions
	stale     int     // answers with a list older than the one in force
}

// fields gives names and values for a line of the log, after those of the caller.
func (f *followed) fields(now float64, before ...any) []any {
	age := -1.0
	if f.takenAt > 0 {
		age = now - f.takenAt
	}
	return append(before, "age", age, "asked", f.asked, "unmatched", f.unmatched, "stale", f.stale)
}
