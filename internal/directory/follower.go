package directory

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
)

// When the name service is asked; seconds. A list counts as told once an answer with it is sent, and a drain has to be
// known soon after.
const (
	askEvery     = 0.1   // after an answer
	askAgain     = 0.04  // without one: datagrams are lost
	askSoon      = 0.005 // after an answer that could not be used or has to be confirmed
	mostSoon     = 6     // such questions in a row: the service may have nothing better to say
	patientAfter = 5     // questions without an answer, from which on askEvery holds: more would only crowd a slow service
	portAfter    = 0.95  // without any answer for so long, the next question goes from another port, after a second that is
	mostOpen     = 64    // questions that an answer may still come for
)

// What an answer has to show before it counts. A number tells only lists of one start of this router apart: an answer that
// was made before the start, or for somebody else, may have any.
const (
	newerAnswers = 2    // answers in a row with the same list, where its number is newer
	otherAnswers = 3    // where it is not
	drainEnds    = 1.0  // seconds for which no answer has said that an engine drains, before one that did is ready again,
	drainAnswers = 8    // and answers in a row, all with the list in force, which says that it is ready
	drainForgot  = 60.0 // seconds after which the drain of an engine that is not listed is forgotten
)

// Verdict is what became of an answer.
type Verdict uint8

// The verdicts.
const (
	Unmatched   Verdict = iota // to no open question
	Overtaken                  // to a question before one that is answered already: only drains count
	Same                       // the list in force
	Unconfirmed                // another list: drains count at once, all else once further answers agree
	Adopted                    // another list, which is in force from now on
)

var verdictNames = []string{"unmatched", "overtaken", "same", "unconfirmed", "adopted"}

func (v Verdict) String() string { return verdictNames[v] }

// Question is one query to be sent.
type Question struct {
	ID        uint16
	Elsewhere bool // from another port: nothing was heard for long
}

// Counts tells how the list was followed since a list was last confirmed; for logs.
type Counts struct {
	Asked, Unusable, Unmatched, Overtaken, Unconfirmed int
	Age                                                float64 // seconds since a list was last confirmed; below 0: never
}

// Follower follows the list of engines: it decides when the name service is asked, which of its answers count, and which
// engines may be sent to. It is a pure state machine; times are Unix seconds and come from its caller. It is not safe for
// concurrent use.
//
// A drain that any answer has told holds, and so does a new start of an engine, whatever lists come after it under whatever
// number: lists that are late, repeated, older than they claim to be or numbered by another start can add restrictions, never
// lift one. What lifts them (a new engine, one that is ready again) has to be told by several answers in a row. So no single
// answer can make the router send where it must not, or more than a cold engine bears, and none can hide the answers after it.
type Follower struct {
	ids  *rand.Rand
	open []openQuestion // the oldest first
	due  float64
	soon int // questions in a row that were sent before their time

	heardAt     float64 // the last answer to an open question, or when another port was taken
	answeredAt  float64 // when the latest question that is answered was asked
	missed      int     // questions since an answer
	confirmedAt float64 // when the list in force was last told; 0: never

	current   List
	print     uint64
	agreed    int // answers in a row with it
	candidate *candidate
	drains    map[string]drain   // by the engine's id
	starts    map[string]*starts // of engines in force
	counts    Counts
}

type openQuestion struct {
	id uint16
	at float64
}

// candidate is a list other than the one in force that answers have told.
type candidate struct {
	list    List
	print   uint64
	answers int // in a row
}

// drain is what was told of an engine's process.
type drain struct {
	startedAt float64
	saidAt    float64 // last
}

var printSeed = maphash.MakeSeed()

// fingerprint is the same for the same engines in any order.
func fingerprint(l List) (sum uint64) {
	for _, e := range l.Engines {
		sum += maphash.Comparable(printSeed, e)
	}
	return sum
}

// NewFollower begins with the list of the configuration. The seed is for the numbers of questions.
func NewFollower(known List, seed uint64, now float64) *Follower {
	f := &Follower{ids: rand.New(rand.NewPCG(seed, 16)), due: now, heardAt: now, drains: map[string]drain{}, starts: map[string]*starts{}}
	f.adopt(known, fingerprint(known), now)
	return f
}

// Serial is the number of the list in force.
func (f *Follower) Serial() uint32 { return f.current.Serial }

// Due is when the next question is to be sent.
func (f *Follower) Due() float64 { return f.due }

// Counts gives what has come of asking since a list was last confirmed.
func (f *Follower) Counts(now float64) Counts {
	c := f.counts
	if c.Age = -1; f.confirmedAt > 0 {
		c.Age = now - f.confirmedAt
	}
	return c
}

// Silent tells whether nothing was heard for so long that another port is tried.
func (f *Follower) Silent(now float64) bool { return now-f.heardAt > portAfter }

// Ask makes the next question. Its number is drawn: next to one another, an answer to somebody else's would be taken for
// ours.
//
// What was connected long ago may lie in a hole, as where something between forgot the way back, while a new socket would be
// heard. A service that is down costs a socket a second.
func (f *Follower) Ask(now float64) Question {
	q := Question{ID: uint16(f.ids.Uint32()), Elsewhere: f.Silent(now)}
	if q.Elsewhere {
		f.heardAt = now
	}
	f.open = append(f.open, openQuestion{q.ID, now})
	if len(f.open) > mostOpen {
		f.open = slices.Delete(f.open, 0, 1)
	}
	f.counts.Asked++
	if f.missed++; f.missed > patientAfter {
		f.due = now + askEvery
	} else {
		f.due = now + askAgain
	}
	return q
}

// Moved drops all open questions: the service is asked at another address from now on, and what the old one still says does
// not count.
func (f *Follower) Moved(now float64) {
	f.open, f.heardAt, f.due = nil, now, now
}

// Configured takes a list that the configuration tells while the router runs, if it is newer by number. It counts as one
// answer: a file may be older than what the name service tells, and numbered by another start. It reports whether List has
// changed.
func (f *Follower) Configured(list List, now float64) bool {
	if list.Serial <= f.current.Serial {
		return false
	}
	print := fingerprint(list)
	if len(f.current.Engines) == 0 { // there is nothing to go by
		f.adopt(list, print, now)
		return true
	}
	f.restrict(list, now)
	f.agreed, f.candidate = 0, &candidate{list: list, print: print, answers: 1}
	return true
}

// Unusable notes an answer that can't be read; id is that of its question, if that much of it is there.
func (f *Follower) Unusable(id uint16, now float64) {
	f.counts.Unusable++
	if _, _, open := f.take(id); open {
		f.askSoon(now)
	}
}

// take closes a question and tells when it was asked and whether it was the last one.
func (f *Follower) take(id uint16) (at float64, last, open bool) {
	i := slices.IndexFunc(f.open, func(q openQuestion) bool { return q.id == id })
	if i < 0 {
		return 0, false, false
	}
	at, last = f.open[i].at, i == len(f.open)-1
	f.open = slices.Delete(f.open, i, i+1)
	return at, last, true
}

func (f *Follower) askSoon(now float64) {
	if f.soon < mostSoon {
		f.soon++
		f.due = min(f.due, now+askSoon)
	}
}

// Answer takes an answer to a question. It reports what became of it, and whether List has changed.
func (f *Follower) Answer(id uint16, list List, now float64) (v Verdict, changed bool) {
	at, last, open := f.take(id)
	if !open {
		f.counts.Unmatched++
		return Unmatched, false
	}
	f.heardAt, f.missed = now, 0
	if at < f.answeredAt {
		f.counts.Overtaken++
		return Overtaken, f.restrict(list, now)
	}
	f.answeredAt = at
	if last {
		f.due = at + askEvery
	}
	print := fingerprint(list)
	if list.Serial == f.current.Serial && print == f.print {
		changed = f.candidate != nil
		f.candidate, f.soon, f.confirmedAt, f.counts = nil, 0, now, Counts{}
		f.agreed++
		changed = f.confirmStarts() || changed
		return Same, f.endDrains(now) || changed
	}
	f.agreed = 0
	f.askSoon(now)
	changed = f.restrict(list, now)
	if c := f.candidate; c == nil || c.list.Serial != list.Serial || c.print != print {
		f.candidate, changed = &candidate{list: list, print: print}, true
	}
	f.candidate.answers++
	needed := otherAnswers
	if list.Serial > f.current.Serial {
		needed = newerAnswers
	}
	if f.candidate.answers < needed {
		f.counts.Unconfirmed++
		return Unconfirmed, changed
	}
	f.adopt(list, print, now)
	f.soon, f.confirmedAt, f.counts = 0, now, Counts{}
	return Adopted, true
}

// adopt puts a list in force. What drained by the one before counts as said until now.
func (f *Follower) adopt(list List, print uint64, now float64) {
	f.noteDrains(f.current, now)
	f.current, f.print, f.candidate = list, print, nil
	heard := map[string]*starts{}
	for _, e := range list.Engines {
		known := f.starts[e.ID]
		if known == nil {
			known = &starts{}
		}
		known.hear(e.StartedAt)
		heard[e.ID] = known
	}
	f.starts = heard
	f.endDrains(now)
}

// confirmStarts goes back to the starts of the list in force once answers agree on it: an answer with another start was an old
// one. It reports whether an engine's start is another by that.
func (f *Follower) confirmStarts() (changed bool) {
	if f.agreed < newerAnswers {
		return false
	}
	for _, e := range f.current.Engines {
		changed = f.starts[e.ID].confirm(e.StartedAt) || changed
	}
	return changed
}

// restrict takes from a list what counts at once, and reports whether anything of it is new.
func (f *Follower) restrict(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if known := f.starts[e.ID]; known != nil {
			changed = known.hear(e.StartedAt) || changed
		}
	}
	return f.noteDrains(list, now) || changed
}

// noteDrains keeps what a list says of drains, and reports whether anything of it is new.
func (f *Follower) noteDrains(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if !e.Draining {
			continue
		}
		known, there := f.drains[e.ID]
		if f.over(e.ID, e.StartedAt) {
			continue
		}
		changed = changed || !there || known.startedAt != e.StartedAt
		f.drains[e.ID] = drain{startedAt: e.StartedAt, saidAt: now}
	}
	return changed
}

// over tells whether a process has surely ended: one that started long ago, once a start was told. Of two that were told nobody
// knows which is the later one, so a drain of either holds.
func (f *Follower) over(id string, start float64) bool {
	known := f.starts[id]
	return start == 0 && known != nil && known.present != 0
}

// endDrains forgets drains that no answer has told for long enough, and reports whether an engine is ready by that.
func (f *Follower) endDrains(now float64) (changed bool) {
	if len(f.drains) == 0 {
		return false
	}
	listed := map[string]Engine{}
	for _, e := range f.current.Engines {
		listed[e.ID] = e
	}
	for id, d := range f.drains {
		e, there := listed[id]
		switch {
		case there && e.Draining: // said by the list in force
		case there && f.over(id, d.startedAt):
			delete(f.drains, id)
		case there && now-d.saidAt >= drainEnds && f.agreed >= drainAnswers:
			delete(f.drains, id)
			changed = true
		case !there && now-d.saidAt >= drainForgot:
			delete(f.drains, id)
		}
	}
	return changed
}

// List gives the engines of the list in force, each with the start that was told last. One to which nothing new may be sent is told as
// draining: by this list, by any answer before or since, or because it is missing from a list that is not confirmed yet.
func (f *Follower) List() List {
	out := List{Serial: f.current.Serial, Engines: slices.Clone(f.current.Engines)}
	var there map[string]bool
	if c := f.candidate; c != nil && c.list.Serial >= f.current.Serial {
		there = make(map[string]bool, len(c.list.Engines))
		for _, e := range c.list.Engines {
			there[e.ID] = true
		}
	}
	for i := range out.Engines {
		e := &out.Engines[i]
		e.StartedAt = f.starts[e.ID].present
		d, drains := f.drains[e.ID]
		missing := there != nil && !there[e.ID]
		if missing || drains && !f.over(e.ID, d.startedAt) {
			e.Draining = true
		}
	}
	return out
}
