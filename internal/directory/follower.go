package directory

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
)

// When the name service is asked; seconds. A list counts as told once an answer with it is sent, and a drain has to be
// known soon after.
const (
	queryInterval   = 0.1   // after an answer
	retryInterval   = 0.04  // without one: datagrams are lost
	earlyQueryDelay = 0.005 // after an answer that could not be used or has to be confirmed
	maxEarlyQueries = 6     // such questions in a row: the service may have nothing better to say
	maxFastRetries  = 5     // questions without an answer, from which on askEvery holds: more would only crowd a slow service
	silenceTimeout  = 0.95  // without any answer for so long, the next question goes from another port, after a second that is
	maxOpenQueries  = 64    // questions that an answer may still come for
)

// What an answer has to show before it counts. A number tells only lists of one start of this router apart: an answer that
// was made before the start, or for somebody else, may have any.
const (
	newerSerialAnswers    = 2    // answers in a row with the same list, where its number is newer
	otherSerialAnswers    = 3    // where it is not
	drainReleaseTime      = 1.0  // seconds for which no answer has said that an engine drains, before one that did is ready again,
	drainReleaseAnswers   = 8    // and answers in a row, all with the list in force, which says that it is ready
	unlistedDrainLifetime = 60.0 // seconds after which the drain of an engine that is not listed is forgotten
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

// Query is one query to be sent.
type Query struct {
	ID      uint16
	NewPort bool // from another port: nothing was heard for long
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
	idGenerator  *rand.Rand
	openQueries  []openQuery // the oldest first
	nextQueryAt  float64
	earlyQueries int // questions in a row that were sent before their time

	silentSince         float64 // the last answer to an open question, or when another port was taken
	lastAnsweredQueryAt float64 // when the latest question that is answered was asked
	unanswered          int     // questions since an answer
	confirmedAt         float64 // when the list in force was last told; 0: never

	current         List
	currentHash     uint64
	agreeingAnswers int // answers in a row with it
	candidate       *candidate
	drains          map[string]drain       // by the engine's id
	startTimes      map[string]*startTimes // of engines in force
	counts          Counts
}

type openQuery struct {
	id     uint16
	sentAt float64
}

// candidate is a list other than the one in force that answers have told.
type candidate struct {
	list    List
	hash    uint64
	answers int // in a row
}

// drain is what was told of an engine's process.
type drain struct {
	startedAt      float64
	lastReportedAt float64 // last
}

var fingerprintSeed = maphash.MakeSeed()

// fingerprint is the same for the same engines in any order.
func fingerprint(l List) (sum uint64) {
	for _, e := range l.Engines {
		sum += maphash.Comparable(fingerprintSeed, e)
	}
	return sum
}

// NewFollower begins with the list of the configuration. The seed is for the numbers of questions.
func NewFollower(known List, seed uint64, now float64) *Follower {
	f := &Follower{idGenerator: rand.New(rand.NewPCG(seed, 16)), nextQueryAt: now, silentSince: now, drains: map[string]drain{}, startTimes: map[string]*startTimes{}}
	f.adopt(known, fingerprint(known), now)
	return f
}

// Serial is the number of the list in force.
func (f *Follower) Serial() uint32 { return f.current.Serial }

// NextQueryAt is when the next question is to be sent.
func (f *Follower) NextQueryAt() float64 { return f.nextQueryAt }

// Counts gives what has come of asking since a list was last confirmed.
func (f *Follower) Counts(now float64) Counts {
	c := f.counts
	if c.Age = -1; f.confirmedAt > 0 {
		c.Age = now - f.confirmedAt
	}
	return c
}

// Silent tells whether nothing was heard for so long that another port is tried.
func (f *Follower) Silent(now float64) bool { return now-f.silentSince > silenceTimeout }

// NextQuery makes the next question. Its number is drawn: next to one another, an answer to somebody else's would be taken for
// ours.
//
// What was connected long ago may lie in a hole, as where something between forgot the way back, while a new socket would be
// heard. A service that is down costs a socket a second.
func (f *Follower) NextQuery(now float64) Query {
	q := Query{ID: uint16(f.idGenerator.Uint32()), NewPort: f.Silent(now)}
	if q.NewPort {
		f.silentSince = now
	}
	f.openQueries = append(f.openQueries, openQuery{q.ID, now})
	if len(f.openQueries) > maxOpenQueries {
		f.openQueries = slices.Delete(f.openQueries, 0, 1)
	}
	f.counts.Asked++
	if f.unanswered++; f.unanswered > maxFastRetries {
		f.nextQueryAt = now + queryInterval
	} else {
		f.nextQueryAt = now + retryInterval
	}
	return q
}

// HandleServerChange drops all open questions: the service is asked at another address from now on, and what the old one still says does
// not count.
func (f *Follower) HandleServerChange(now float64) {
	f.openQueries, f.silentSince, f.nextQueryAt = nil, now, now
}

// HandleConfigured takes a list that the configuration tells while the router runs, if it is newer by number. It counts as one
// answer: a file may be older than what the name service tells, and numbered by another start. It reports whether List has
// changed.
func (f *Follower) HandleConfigured(list List, now float64) bool {
	if list.Serial <= f.current.Serial {
		return false
	}
	print := fingerprint(list)
	if len(f.current.Engines) == 0 { // there is nothing to go by
		f.adopt(list, print, now)
		return true
	}
	f.applyRestrictions(list, now)
	f.agreeingAnswers, f.candidate = 0, &candidate{list: list, hash: print, answers: 1}
	return true
}

// HandleUnusable notes an answer that can't be read; id is that of its question, if that much of it is there.
func (f *Follower) HandleUnusable(id uint16, now float64) {
	f.counts.Unusable++
	if _, _, open := f.closeQuery(id); open {
		f.scheduleEarlyQuery(now)
	}
}

// closeQuery closes a question and tells when it was asked and whether it was the last one.
func (f *Follower) closeQuery(id uint16) (at float64, last, open bool) {
	i := slices.IndexFunc(f.openQueries, func(q openQuery) bool { return q.id == id })
	if i < 0 {
		return 0, false, false
	}
	at, last = f.openQueries[i].sentAt, i == len(f.openQueries)-1
	f.openQueries = slices.Delete(f.openQueries, i, i+1)
	return at, last, true
}

func (f *Follower) scheduleEarlyQuery(now float64) {
	if f.earlyQueries < maxEarlyQueries {
		f.earlyQueries++
		f.nextQueryAt = min(f.nextQueryAt, now+earlyQueryDelay)
	}
}

// HandleAnswer takes an answer to a question. It reports what became of it, and whether List has changed.
func (f *Follower) HandleAnswer(id uint16, list List, now float64) (v Verdict, changed bool) {
	at, last, open := f.closeQuery(id)
	if !open {
		f.counts.Unmatched++
		return Unmatched, false
	}
	f.silentSince, f.unanswered = now, 0
	if at < f.lastAnsweredQueryAt {
		f.counts.Overtaken++
		return Overtaken, f.applyRestrictions(list, now)
	}
	f.lastAnsweredQueryAt = at
	if last {
		f.nextQueryAt = at + queryInterval
	}
	print := fingerprint(list)
	if list.Serial == f.current.Serial && print == f.currentHash {
		changed = f.candidate != nil
		f.candidate, f.earlyQueries, f.confirmedAt, f.counts = nil, 0, now, Counts{}
		f.agreeingAnswers++
		changed = f.confirmStartTimes() || changed
		return Same, f.expireDrains(now) || changed
	}
	f.agreeingAnswers = 0
	f.scheduleEarlyQuery(now)
	changed = f.applyRestrictions(list, now)
	if c := f.candidate; c == nil || c.list.Serial != list.Serial || c.hash != print {
		f.candidate, changed = &candidate{list: list, hash: print}, true
	}
	f.candidate.answers++
	needed := otherSerialAnswers
	if list.Serial > f.current.Serial {
		needed = newerSerialAnswers
	}
	if f.candidate.answers < needed {
		f.counts.Unconfirmed++
		return Unconfirmed, changed
	}
	f.adopt(list, print, now)
	f.earlyQueries, f.confirmedAt, f.counts = 0, now, Counts{}
	return Adopted, true
}

// adopt puts a list in force. What drained by the one before counts as said until now.
func (f *Follower) adopt(list List, print uint64, now float64) {
	f.recordDrains(f.current, now)
	f.current, f.currentHash, f.candidate = list, print, nil
	heard := map[string]*startTimes{}
	for _, e := range list.Engines {
		known := f.startTimes[e.ID]
		if known == nil {
			known = &startTimes{}
		}
		known.add(e.StartedAt)
		heard[e.ID] = known
	}
	f.startTimes = heard
	f.expireDrains(now)
}

// confirmStartTimes goes back to the starts of the list in force once answers agree on it: an answer with another start was an old
// one. It reports whether an engine's start is another by that.
func (f *Follower) confirmStartTimes() (changed bool) {
	if f.agreeingAnswers < newerSerialAnswers {
		return false
	}
	for _, e := range f.current.Engines {
		changed = f.startTimes[e.ID].confirm(e.StartedAt) || changed
	}
	return changed
}

// applyRestrictions takes from a list what counts at once, and reports whether anything of it is new.
func (f *Follower) applyRestrictions(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if known := f.startTimes[e.ID]; known != nil {
			changed = known.add(e.StartedAt) || changed
		}
	}
	return f.recordDrains(list, now) || changed
}

// recordDrains keeps what a list says of drains, and reports whether anything of it is new.
func (f *Follower) recordDrains(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if !e.Draining {
			continue
		}
		known, there := f.drains[e.ID]
		if f.processEnded(e.ID, e.StartedAt) {
			continue
		}
		changed = changed || !there || known.startedAt != e.StartedAt
		f.drains[e.ID] = drain{startedAt: e.StartedAt, lastReportedAt: now}
	}
	return changed
}

// processEnded tells whether a process has surely ended: one that started long ago, once a start was told. Of two that were told nobody
// knows which is the later one, so a drain of either holds.
func (f *Follower) processEnded(id string, start float64) bool {
	known := f.startTimes[id]
	return start == 0 && known != nil && known.current != 0
}

// expireDrains forgets drains that no answer has told for long enough, and reports whether an engine is ready by that.
func (f *Follower) expireDrains(now float64) (changed bool) {
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
		case there && f.processEnded(id, d.startedAt):
			delete(f.drains, id)
		case there && now-d.lastReportedAt >= drainReleaseTime && f.agreeingAnswers >= drainReleaseAnswers:
			delete(f.drains, id)
			changed = true
		case !there && now-d.lastReportedAt >= unlistedDrainLifetime:
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
		e.StartedAt = f.startTimes[e.ID].current
		d, drains := f.drains[e.ID]
		missing := there != nil && !there[e.ID]
		if missing || drains && !f.processEnded(e.ID, d.startedAt) {
			e.Draining = true
		}
	}
	return out
}
