package directory

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
)

// Query timing, in seconds unless a comment says otherwise. A drain counts as reported once an answer that contains it has
// been sent, and the router has to know of it soon after.
const (
	queryInterval   = 0.1   // from one query to the next while answers arrive
	retryInterval   = 0.04  // from one query to the next while none is answered: datagrams get lost
	earlyQueryDelay = 0.005 // until the next query after an answer that is malformed or needs confirmation
	maxEarlyQueries = 6     // consecutive early queries: the service may have nothing better to report
	maxFastRetries  = 5     // unanswered queries at retryInterval; then queryInterval, so as not to burden a slow service
	silenceTimeout  = 0.95  // without any answer, after which the next query uses a new port: in effect after a second
	maxOpenQueries  = 64    // queries for which an answer is still accepted
)

// What is required before an answer takes effect. Serial numbers order only the lists that were made for one run of this
// router: an answer that was made before the router started, or for another client, may carry any number.
const (
	newerSerialAnswers    = 2    // consecutive answers with the same list if its serial is newer than the current one
	otherSerialAnswers    = 3    // consecutive answers with the same list if its serial is not newer
	drainReleaseTime      = 1.0  // seconds without an answer that reports a drain before its engine is ready again
	drainReleaseAnswers   = 8    // consecutive answers with the current list, which reports the engine ready; also required
	unlistedDrainLifetime = 60.0 // seconds for which the drain of an engine that is not listed is remembered
)

// Verdict classifies an answer of the name service.
type Verdict uint8

// The verdicts of HandleAnswer.
const (
	Unmatched   Verdict = iota // matches no open query; ignored
	Overtaken                  // answers an older query than one already answered: only its restrictions (drains, new starts) count
	Same                       // contains the current list
	Unconfirmed                // contains another list: its restrictions count at once, all else once further answers agree
	Adopted                    // contains another list, which has become the current one
)

var verdictNames = []string{"unmatched", "overtaken", "same", "unconfirmed", "adopted"}

// String returns the name that logs use.
func (v Verdict) String() string { return verdictNames[v] }

// Query is one query to send to the name service.
type Query struct {
	ID      uint16 // of the DNS message
	NewPort bool   // send it from a new socket: the service has been silent for long
}

// Counts holds statistics for logs: queries sent and answers by kind since a list was last confirmed.
type Counts struct {
	Asked, Unusable, Unmatched, Overtaken, Unconfirmed int
	Age                                                float64 // seconds since a list was last confirmed; -1 if never
}

// Follower tracks the list of engines: it decides when the name service is queried, which of its answers take effect, and
// which engines may receive batches. It is a pure state machine without I/O; times are Unix seconds and are passed in by the
// caller. It is not safe for concurrent use.
//
// A restriction (a drain, or a new start of an engine, which makes it cold) takes effect with the first answer that reports
// it and is not undone by later lists, whatever their serial: lists that are late, repeated, older than their serial claims
// or numbered for another run can add restrictions but never lift one. Lifting one, or adding an engine, takes several
// consecutive answers that agree. So no single answer can make the router send to an engine that drains, or send a cold
// engine more than it can take, and none can suppress the answers that follow it.
type Follower struct {
	idGenerator  *rand.Rand
	openQueries  []openQuery // oldest first
	nextQueryAt  float64
	earlyQueries int // early queries scheduled since a list was last confirmed

	silentSince         float64 // time of the last answer to an open query, or of the last change of port or server
	lastAnsweredQueryAt float64 // when the most recent query that has an answer was sent
	unanswered          int     // queries since the last answer
	confirmedAt         float64 // when an answer last confirmed the current list; 0: never

	current         List
	currentHash     uint64                 // fingerprint of current
	agreeingAnswers int                    // consecutive answers that contain current
	candidate       *candidate             // nil: no other list is awaiting confirmation
	drains          map[string]drain       // by engine ID
	startTimes      map[string]*startTimes // by engine ID; only engines of current
	counts          Counts
}

// openQuery is a query that has been sent and not been answered.
type openQuery struct {
	id     uint16
	sentAt float64
}

// candidate is a list other than the current one that is awaiting confirmation by further answers.
type candidate struct {
	list    List
	hash    uint64 // fingerprint of list
	answers int    // consecutive answers that contain it
}

// drain records that a process of an engine was reported as draining.
type drain struct {
	startedAt      float64 // identifies the process
	lastReportedAt float64
}

var fingerprintSeed = maphash.MakeSeed()

// fingerprint returns a hash of the engines of a list that does not depend on their order.
func fingerprint(l List) (sum uint64) {
	for _, e := range l.Engines {
		sum += maphash.Comparable(fingerprintSeed, e)
	}
	return sum
}

// NewFollower returns a follower whose current list is that of the configuration. The seed is for the random query IDs.
func NewFollower(configured List, seed uint64, now float64) *Follower {
	follower := &Follower{idGenerator: rand.New(rand.NewPCG(seed, 16)), nextQueryAt: now, silentSince: now, drains: map[string]drain{}, startTimes: map[string]*startTimes{}}
	follower.adopt(configured, fingerprint(configured), now)
	return follower
}

// Serial returns the serial number of the current list.
func (f *Follower) Serial() uint32 { return f.current.Serial }

// NextQueryAt returns the time at which the next query is due.
func (f *Follower) NextQueryAt() float64 { return f.nextQueryAt }

// Counts returns the statistics since a list was last confirmed.
func (f *Follower) Counts(now float64) Counts {
	c := f.counts
	if c.Age = -1; f.confirmedAt > 0 {
		c.Age = now - f.confirmedAt
	}
	return c
}

// Silent reports whether no answer has arrived for longer than silenceTimeout, so that the next query uses a new port.
func (f *Follower) Silent(now float64) bool { return now-f.silentSince > silenceTimeout }

// NextQuery returns the next query and counts it as sent. Its ID is random: with consecutive IDs, an answer to another
// client's query could be taken for one to ours.
//
// After a long silence the query asks for a new port: packets of a socket that was connected long ago may be lost for good,
// for example after a NAT device or firewall has dropped its entry for it, while a new socket would get answers. While the
// service is down this costs one new socket a second.
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

// HandleServerChange drops all open queries: the name service has another address from now on, and late answers from the
// old one are ignored. The next query is due at once.
func (f *Follower) HandleServerChange(now float64) {
	f.openQueries, f.silentSince, f.nextQueryAt = nil, now, now
}

// HandleConfigured processes the list of a configuration that is reloaded while the router runs; it is ignored unless its
// serial is newer. It counts as one answer only, because the file may be older than the answers of the name service and its
// serial may be that of another run. It reports whether the result of List has changed.
func (f *Follower) HandleConfigured(list List, now float64) bool {
	if list.Serial <= f.current.Serial {
		return false
	}
	hash := fingerprint(list)
	if len(f.current.Engines) == 0 { // no list is known yet
		f.adopt(list, hash, now)
		return true
	}
	f.applyRestrictions(list, now)
	f.agreeingAnswers, f.candidate = 0, &candidate{list: list, hash: hash, answers: 1}
	return true
}

// HandleUnusable processes a malformed answer; id is that of its query, or 0 if the answer is too short to contain one.
func (f *Follower) HandleUnusable(id uint16, now float64) {
	f.counts.Unusable++
	if _, _, open := f.closeQuery(id); open {
		f.scheduleEarlyQuery(now)
	}
}

// closeQuery removes an open query and returns when it was sent and whether it was the latest one; open is false if there is
// none with this ID.
func (f *Follower) closeQuery(id uint16) (sentAt float64, latest, open bool) {
	i := slices.IndexFunc(f.openQueries, func(q openQuery) bool { return q.id == id })
	if i < 0 {
		return 0, false, false
	}
	sentAt, latest = f.openQueries[i].sentAt, i == len(f.openQueries)-1
	f.openQueries = slices.Delete(f.openQueries, i, i+1)
	return sentAt, latest, true
}

// scheduleEarlyQuery brings the next query forward, unless too many early ones have been scheduled already.
func (f *Follower) scheduleEarlyQuery(now float64) {
	if f.earlyQueries < maxEarlyQueries {
		f.earlyQueries++
		f.nextQueryAt = min(f.nextQueryAt, now+earlyQueryDelay)
	}
}

// HandleAnswer processes an answer to the query with this ID. It returns its verdict and whether the result of List has
// changed.
func (f *Follower) HandleAnswer(id uint16, list List, now float64) (verdict Verdict, changed bool) {
	sentAt, latest, open := f.closeQuery(id)
	if !open {
		f.counts.Unmatched++
		return Unmatched, false
	}
	f.silentSince, f.unanswered = now, 0
	if sentAt < f.lastAnsweredQueryAt {
		f.counts.Overtaken++
		return Overtaken, f.applyRestrictions(list, now)
	}
	f.lastAnsweredQueryAt = sentAt
	if latest {
		f.nextQueryAt = sentAt + queryInterval
	}
	hash := fingerprint(list)
	if list.Serial == f.current.Serial && hash == f.currentHash {
		changed = f.candidate != nil
		f.candidate, f.earlyQueries, f.confirmedAt, f.counts = nil, 0, now, Counts{}
		f.agreeingAnswers++
		changed = f.confirmStartTimes() || changed
		return Same, f.expireDrains(now) || changed
	}
	f.agreeingAnswers = 0
	f.scheduleEarlyQuery(now)
	changed = f.applyRestrictions(list, now)
	if c := f.candidate; c == nil || c.list.Serial != list.Serial || c.hash != hash {
		f.candidate, changed = &candidate{list: list, hash: hash}, true
	}
	f.candidate.answers++
	requiredAnswers := otherSerialAnswers
	if list.Serial > f.current.Serial {
		requiredAnswers = newerSerialAnswers
	}
	if f.candidate.answers < requiredAnswers {
		f.counts.Unconfirmed++
		return Unconfirmed, changed
	}
	f.adopt(list, hash, now)
	f.earlyQueries, f.confirmedAt, f.counts = 0, now, Counts{}
	return Adopted, true
}

// adopt makes a list the current one. Drains of the previous current list count as reported until now.
func (f *Follower) adopt(list List, hash uint64, now float64) {
	f.recordDrains(f.current, now)
	f.current, f.currentHash, f.candidate = list, hash, nil
	listed := map[string]*startTimes{}
	for _, e := range list.Engines {
		known := f.startTimes[e.ID]
		if known == nil {
			known = &startTimes{}
		}
		known.add(e.StartedAt)
		listed[e.ID] = known
	}
	f.startTimes = listed
	f.expireDrains(now)
}

// confirmStartTimes resets the engines' start times to those of the current list once enough consecutive answers agree on
// it: an answer with another start time was outdated. It reports whether a start time has changed.
func (f *Follower) confirmStartTimes() (changed bool) {
	if f.agreeingAnswers < newerSerialAnswers {
		return false
	}
	for _, e := range f.current.Engines {
		changed = f.startTimes[e.ID].confirm(e.StartedAt) || changed
	}
	return changed
}

// applyRestrictions applies the parts of a list that need no confirmation (new starts and drains) and reports whether any of
// them is new.
func (f *Follower) applyRestrictions(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if known := f.startTimes[e.ID]; known != nil {
			changed = known.add(e.StartedAt) || changed
		}
	}
	return f.recordDrains(list, now) || changed
}

// recordDrains records the drains that a list reports and reports whether any of them is new.
func (f *Follower) recordDrains(list List, now float64) (changed bool) {
	for _, e := range list.Engines {
		if !e.Draining {
			continue
		}
		known, present := f.drains[e.ID]
		if f.processEnded(e.ID, e.StartedAt) {
			continue
		}
		changed = changed || !present || known.startedAt != e.StartedAt
		f.drains[e.ID] = drain{startedAt: e.StartedAt, lastReportedAt: now}
	}
	return changed
}

// processEnded reports whether an engine's process with this start time has certainly ended: one without a start time (it
// started long ago), once a start time has been reported. Of two processes with start times it is unknown which is the later
// one, so a drain of either counts.
func (f *Follower) processEnded(id string, start float64) bool {
	known := f.startTimes[id]
	return start == 0 && known != nil && known.current != 0
}

// expireDrains removes drains that no answer has reported for long enough, and those of processes that have ended. It reports
// whether an engine became ready because a drain was no longer reported.
func (f *Follower) expireDrains(now float64) (changed bool) {
	if len(f.drains) == 0 {
		return false
	}
	listed := map[string]Engine{}
	for _, e := range f.current.Engines {
		listed[e.ID] = e
	}
	for id, d := range f.drains {
		e, present := listed[id]
		switch {
		case present && e.Draining: // the current list reports it
		case present && f.processEnded(id, d.startedAt):
			delete(f.drains, id)
		case present && now-d.lastReportedAt >= drainReleaseTime && f.agreeingAnswers >= drainReleaseAnswers:
			delete(f.drains, id)
			changed = true
		case !present && now-d.lastReportedAt >= unlistedDrainLifetime:
			delete(f.drains, id)
		}
	}
	return changed
}

// List returns the current list, with the latest known start time of each engine. An engine to which no new batch may be
// sent is marked as draining: the current list or any other answer of the name service reports it as draining, or it is
// missing from the candidate (a list that awaits confirmation by further answers) and the candidate's serial is not older.
func (f *Follower) List() List {
	out := List{Serial: f.current.Serial, Engines: slices.Clone(f.current.Engines)}
	var inCandidate map[string]bool
	if c := f.candidate; c != nil && c.list.Serial >= f.current.Serial {
		inCandidate = make(map[string]bool, len(c.list.Engines))
		for _, e := range c.list.Engines {
			inCandidate[e.ID] = true
		}
	}
	for i := range out.Engines {
		e := &out.Engines[i]
		e.StartedAt = f.startTimes[e.ID].current
		d, hasDrain := f.drains[e.ID]
		missing := inCandidate != nil && !inCandidate[e.ID]
		if missing || hasDrain && !f.processEnded(e.ID, d.startedAt) {
			e.Draining = true
		}
	}
	return out
}
