package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func readyEngine(id string) Engine {
	return Engine{ID: id, Zone: "hall", Kind: "std", Address: "10.0.0.1:80", Weight: 1}
}

func drainingEngine(id string) Engine {
	e := readyEngine(id)
	e.Draining = true
	return e
}

func listOf(serial uint32, engines ...Engine) List { return List{Serial: serial, Engines: engines} }

// simulatedFollower is a follower with a simulated clock.
type simulatedFollower struct {
	*Follower
	now float64
}

func newSimulatedFollower(known List) *simulatedFollower {
	return &simulatedFollower{NewFollower(known, 7, 100), 100}
}

// sendQuery advances the clock until the next query is due and returns its ID.
func (a *simulatedFollower) sendQuery() uint16 {
	a.now = max(a.now, a.NextQueryAt())
	return a.NextQuery(a.now).ID
}

// queryAndAnswer sends the next query and answers it at once.
func (a *simulatedFollower) queryAndAnswer(l List) Verdict {
	v, _ := a.HandleAnswer(a.sendQuery(), l, a.now)
	return v
}

// readyIDs returns the IDs of the engines that may receive new batches.
func (a *simulatedFollower) readyIDs() (ids []string) {
	for _, e := range a.List().Engines {
		if !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Guards against incident 1: a list from before a restart has a higher serial than the lists that come after it.
func TestListFromBeforeTheStartHidesNoDrain(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	assert.Equal(t, Unconfirmed, a.queryAndAnswer(listOf(5, readyEngine("s-1"), readyEngine("s-2"), readyEngine("s-0"))))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs(), "a single answer adds no engine")
	assert.Equal(t, Same, a.queryAndAnswer(listOf(1, readyEngine("s-1"), readyEngine("s-2"))))
	assert.Equal(t, Unconfirmed, a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-3"))))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "the first answer with a drain counts")
	assert.Equal(t, Adopted, a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-3"))))
	assert.Equal(t, []string{"s-2", "s-3"}, a.readyIDs())
}

// A list with a serial that is too high may be confirmed and adopted. All correct lists after it then have lower serials and must
// still replace it.
func TestCurrentListWithAWrongSerialIsReplaced(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(9, readyEngine("s-1"), readyEngine("s-2"), readyEngine("s-0")))
	require.Equal(t, Adopted, a.queryAndAnswer(listOf(9, readyEngine("s-1"), readyEngine("s-2"), readyEngine("s-0"))))
	began := a.now
	a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2")))
	assert.NotContains(t, a.readyIDs(), "s-1")
	for range otherSerialAnswers - 1 {
		a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2")))
	}
	assert.Equal(t, uint32(2), a.Serial())
	assert.Equal(t, []string{"s-2"}, a.readyIDs())
	assert.Less(t, a.now-began, 0.2, "well within the drain grace")
}

func TestSameSerialWithOtherEnginesIsAnotherList(t *testing.T) {
	a := newSimulatedFollower(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(3, readyEngine("s-2"), readyEngine("s-3")))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "an engine missing from the candidate gets no new batches")
	a.queryAndAnswer(listOf(3, readyEngine("s-2"), readyEngine("s-3")))
	a.queryAndAnswer(listOf(3, readyEngine("s-2"), readyEngine("s-3")))
	assert.Equal(t, []string{"s-2", "s-3"}, a.readyIDs())
}

func TestOrderOfEnginesIsIrrelevant(t *testing.T) {
	a := newSimulatedFollower(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	assert.Equal(t, Same, a.queryAndAnswer(listOf(3, readyEngine("s-2"), readyEngine("s-1"))))
}

func TestCancelledDrainEnds(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	require.Equal(t, Adopted, a.queryAndAnswer(listOf(3, readyEngine("s-1"), readyEngine("s-2"))))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "two answers do not end a drain")
	began := a.now
	for len(a.readyIDs()) == 1 {
		a.queryAndAnswer(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	}
	assert.InDelta(t, drainReleaseTime, a.now-began, 2*queryInterval)
}

// An engine that was restarted under the same ID is another process, to which drains of the previous one do not apply.
func TestDrainEndsWithItsProcess(t *testing.T) {
	restarted := readyEngine("s-1")
	restarted.StartedAt = 99
	a := newSimulatedFollower(listOf(1, drainingEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, restarted, readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, restarted, readyEngine("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs())
	a.queryAndAnswer(listOf(1, drainingEngine("s-1"), readyEngine("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs(), "the drain in an old list belongs to the old process")
}

func TestConfiguredListCountsAsOneAnswer(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	assert.False(t, a.HandleConfigured(listOf(1, readyEngine("s-9")), a.now), "its serial is not newer")
	assert.True(t, a.HandleConfigured(listOf(4, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-0")), a.now))
	assert.Equal(t, []string{"s-2"}, a.readyIDs())
	assert.Equal(t, Same, a.queryAndAnswer(listOf(1, readyEngine("s-1"), readyEngine("s-2"))))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "its drains stay in effect, its new engines are dropped")
	empty := newSimulatedFollower(List{})
	assert.True(t, empty.HandleConfigured(listOf(4, readyEngine("s-1")), empty.now))
	assert.Equal(t, []string{"s-1"}, empty.readyIDs(), "without a current list it is adopted at once")
}

// The start time limits what is sent to a cold engine; with the start time of an old list the engine would count as warm.
func TestOlderListDoesNotResetAStartTime(t *testing.T) {
	restarted := readyEngine("s-1")
	restarted.StartedAt = 99
	a := newSimulatedFollower(listOf(1, readyEngine("s-1")))
	a.queryAndAnswer(listOf(2, restarted))
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0, "takes effect with the first answer")
	a.queryAndAnswer(listOf(2, restarted))
	for range otherSerialAnswers {
		a.queryAndAnswer(listOf(1, readyEngine("s-1")))
	}
	require.Equal(t, uint32(1), a.Serial())
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0)
}

// A restarted engine is another process even if the clock of its machine was set back in between.
func TestEarlierStartTimeIsANewProcess(t *testing.T) {
	before, restarted := readyEngine("s-1"), drainingEngine("s-1")
	before.StartedAt, restarted.StartedAt = 99, 50
	a := newSimulatedFollower(listOf(1, before, readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, restarted, readyEngine("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "takes effect with the first answer")
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "so does its drain")
	a.queryAndAnswer(listOf(2, restarted, readyEngine("s-2")))
	restarted.Draining = false
	a.queryAndAnswer(listOf(3, restarted, readyEngine("s-2")))
	a.queryAndAnswer(listOf(3, restarted, readyEngine("s-2")))
	a.queryAndAnswer(listOf(1, before, readyEngine("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "the previous start time does not come back")
}

// A name service with a backlog: each answer arrives after many later queries have been sent.
func TestAnswersOfASlowNameServiceCount(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1")))
	var asked []uint16
	for range maxOpenQueries - 1 {
		asked = append(asked, a.sendQuery())
	}
	for i, id := range asked {
		v, _ := a.HandleAnswer(id, listOf(2, drainingEngine("s-1")), a.now)
		assert.NotEqual(t, Unmatched, v, "query %d", i)
	}
	assert.Empty(t, a.readyIDs())
	assert.Greater(t, a.NextQueryAt(), a.now, "the next query is not due earlier")
}

func TestOvertakenAnswerAddsOnlyDrains(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	early, late := a.sendQuery(), a.sendQuery()
	v, _ := a.HandleAnswer(late, listOf(1, readyEngine("s-1"), readyEngine("s-2")), a.now)
	require.Equal(t, Same, v)
	v, changed := a.HandleAnswer(early, listOf(2, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-3")), a.now)
	assert.Equal(t, Overtaken, v)
	assert.True(t, changed)
	assert.Equal(t, []string{"s-2"}, a.readyIDs())
}

func TestQueriesAreRarerWithoutAnswers(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1")))
	began, asked, moves := a.now, 0, 0
	for a.now < began+10 {
		a.now = max(a.now, a.NextQueryAt())
		if asked++; a.NextQuery(a.now).NewPort {
			moves++
		}
	}
	assert.Less(t, asked, 110)
	assert.InDelta(t, 10, moves, 1)
}

// Answers may be lost, late, outdated, repeated or numbered differently. Whatever happens, an engine is not ready once a readable
// answer to an open query has reported its drain, and the list of a service that reports correctly is adopted within a few answers.
func TestNoAnswersMakeADrainingEngineReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := map[string]int{}              // by engine ID: 0 ready, 1 draining, 2 gone
		startTimesByID := map[string]float64{} // by clocks that are set back and forward
		for i := range 6 {
			state[fmt.Sprint("s-", i)] = 0
		}
		serial := uint32(1)
		trueList := func() List {
			l := List{Serial: serial}
			for i := range len(state) {
				e := readyEngine(fmt.Sprint("s-", i))
				e.StartedAt, e.Draining = startTimesByID[e.ID], state[e.ID] == 1
				if state[e.ID] < 2 {
					l.Engines = append(l.Engines, e)
				}
			}
			return l
		}
		a := newSimulatedFollower(trueList())
		history := []List{listOf(rapid.Uint32Range(1, 9).Draw(t, "number before the start"), a.List().Engines...)}
		type process struct {
			id    string
			stamp float64
		}
		reportedDraining := map[process]bool{} // reported as draining by an answer to an open query
		answer := func(id uint16, l List) {
			if v, _ := a.HandleAnswer(id, l, a.now); v == Unmatched {
				return
			}
			for _, e := range l.Engines {
				p := process{e.ID, e.StartedAt}
				reportedDraining[p] = reportedDraining[p] || e.Draining
			}
		}
		var delayed []uint16
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				history = append(history, trueList())
				serial++
				id := fmt.Sprint("s-", rapid.IntRange(0, len(state)-1).Draw(t, "engine"))
				if state[id] < 2 {
					state[id]++
				}
				if state[id] < 2 && rapid.Bool().Draw(t, "it starts again") {
					state[id] = 0
					for startTimesByID[id] = float64(serial); ; {
						if startTimesByID[id] += rapid.Float64Range(-3600, 3600).Draw(t, "its clock"); startTimesByID[id] != 0 && !reportedDraining[process{id, startTimesByID[id]}] {
							break
						}
					}
				}
				if rapid.Bool().Draw(t, "a new one too") {
					state[fmt.Sprint("s-", len(state))] = 0
				}
			case 2: // an old list, unchanged or with another serial
				l := rapid.SampledFrom(history).Draw(t, "old")
				if rapid.Bool().Draw(t, "numbered anew") {
					l.Serial = rapid.Uint32Range(0, 20).Draw(t, "number")
				}
				answer(a.sendQuery(), l)
			case 3:
				a.sendQuery() // lost
			case 4:
				delayed = append(delayed, a.sendQuery())
			case 5:
				if len(delayed) > 0 {
					i := rapid.IntRange(0, len(delayed)-1).Draw(t, "late")
					answer(delayed[i], rapid.SampledFrom(history).Draw(t, "what it says"))
				}
			default:
				answer(a.sendQuery(), trueList())
			}
			for _, id := range a.readyIDs() {
				if reportedDraining[process{id, startTimesByID[id]}] && state[id] > 0 {
					t.Fatalf("%s is ready although its drain was reported", id)
				}
			}
		}
		for range otherSerialAnswers + 1 {
			a.queryAndAnswer(trueList())
		}
		if got, want := fingerprint(a.current), fingerprint(trueList()); got != want {
			t.Fatalf("current list is %v, want %v", a.current, trueList())
		}
		for range newerSerialAnswers {
			a.queryAndAnswer(trueList())
		}
		for _, e := range a.List().Engines {
			if startTimesByID[e.ID] != 0 && e.StartedAt != startTimesByID[e.ID] {
				t.Fatalf("%s: start time is %g, want %g", e.ID, e.StartedAt, startTimesByID[e.ID])
			}
		}
	})
}
