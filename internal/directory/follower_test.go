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

// simulatedFollower asks and answers in simulated time.
type simulatedFollower struct {
	*Follower
	now float64
}

func newSimulatedFollower(known List) *simulatedFollower {
	return &simulatedFollower{NewFollower(known, 7, 100), 100}
}

// sendQuery lets time pass until the next one is due.
func (a *simulatedFollower) sendQuery() uint16 {
	a.now = max(a.now, a.NextQueryAt())
	return a.NextQuery(a.now).ID
}

// queryAndAnswer asks and answers.
func (a *simulatedFollower) queryAndAnswer(l List) Verdict {
	v, _ := a.HandleAnswer(a.sendQuery(), l, a.now)
	return v
}

func (a *simulatedFollower) readyIDs() (ids []string) {
	for _, e := range a.List().Engines {
		if !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// The cause of incident 1: a list of before a restart has a higher number than the lists that come after it.
func TestListFromBeforeTheStartHidesNoDrain(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	assert.Equal(t, Unconfirmed, a.queryAndAnswer(listOf(5, readyEngine("s-1"), readyEngine("s-2"), readyEngine("s-0"))))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs(), "one answer adds nothing")
	assert.Equal(t, Same, a.queryAndAnswer(listOf(1, readyEngine("s-1"), readyEngine("s-2"))))
	assert.Equal(t, Unconfirmed, a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-3"))))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "the first answer with a drain counts")
	assert.Equal(t, Adopted, a.queryAndAnswer(listOf(2, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-3"))))
	assert.Equal(t, []string{"s-2", "s-3"}, a.readyIDs())
}

// Were it told often enough to be believed, the true lists after it would all have lower numbers.
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
	assert.Less(t, a.now-began, 0.2, "well within a drain's grace")
}

func TestSameSerialWithOtherEnginesIsAnotherList(t *testing.T) {
	a := newSimulatedFollower(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(3, readyEngine("s-2"), readyEngine("s-3")))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "what is missing gets nothing new")
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
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "not by the word of two answers")
	began := a.now
	for len(a.readyIDs()) == 1 {
		a.queryAndAnswer(listOf(3, readyEngine("s-1"), readyEngine("s-2")))
	}
	assert.InDelta(t, drainReleaseTime, a.now-began, 2*queryInterval)
}

// An engine that has started again under its name is another process, whatever was said of the one before.
func TestDrainEndsWithItsProcess(t *testing.T) {
	again := readyEngine("s-1")
	again.StartedAt = 99
	a := newSimulatedFollower(listOf(1, drainingEngine("s-1"), readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, again, readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, again, readyEngine("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs())
	a.queryAndAnswer(listOf(1, drainingEngine("s-1"), readyEngine("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.readyIDs(), "an old list speaks of the old process")
}

func TestConfiguredListCountsAsOneAnswer(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1"), readyEngine("s-2")))
	assert.False(t, a.HandleConfigured(listOf(1, readyEngine("s-9")), a.now), "as old as ours")
	assert.True(t, a.HandleConfigured(listOf(4, drainingEngine("s-1"), readyEngine("s-2"), readyEngine("s-0")), a.now))
	assert.Equal(t, []string{"s-2"}, a.readyIDs())
	assert.Equal(t, Same, a.queryAndAnswer(listOf(1, readyEngine("s-1"), readyEngine("s-2"))))
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "its drains hold, its new engines don't")
	empty := newSimulatedFollower(List{})
	assert.True(t, empty.HandleConfigured(listOf(4, readyEngine("s-1")), empty.now))
	assert.Equal(t, []string{"s-1"}, empty.readyIDs(), "without it there is nothing to go by")
}

// What is told of a start bounds what a cold engine is sent; an old list would have it warm.
func TestOlderListDoesNotResetAStartTime(t *testing.T) {
	again := readyEngine("s-1")
	again.StartedAt = 99
	a := newSimulatedFollower(listOf(1, readyEngine("s-1")))
	a.queryAndAnswer(listOf(2, again))
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0, "with the first answer")
	a.queryAndAnswer(listOf(2, again))
	for range otherSerialAnswers {
		a.queryAndAnswer(listOf(1, readyEngine("s-1")))
	}
	require.Equal(t, uint32(1), a.Serial())
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0)
}

// An engine that has started again is another process, also where its machine's clock was set back meanwhile.
func TestEarlierStartTimeIsANewProcess(t *testing.T) {
	before, again := readyEngine("s-1"), drainingEngine("s-1")
	before.StartedAt, again.StartedAt = 99, 50
	a := newSimulatedFollower(listOf(1, before, readyEngine("s-2")))
	a.queryAndAnswer(listOf(2, again, readyEngine("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "with the first answer")
	assert.Equal(t, []string{"s-2"}, a.readyIDs(), "and so is its drain")
	a.queryAndAnswer(listOf(2, again, readyEngine("s-2")))
	again.Draining = false
	a.queryAndAnswer(listOf(3, again, readyEngine("s-2")))
	a.queryAndAnswer(listOf(3, again, readyEngine("s-2")))
	a.queryAndAnswer(listOf(1, before, readyEngine("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "the start before it is over for good")
}

// A name service with a backlog: each answer comes when many later questions have been asked.
func TestAnswersOfASlowNameServiceCount(t *testing.T) {
	a := newSimulatedFollower(listOf(1, readyEngine("s-1")))
	var asked []uint16
	for range maxOpenQueries - 1 {
		asked = append(asked, a.sendQuery())
	}
	for i, id := range asked {
		v, _ := a.HandleAnswer(id, listOf(2, drainingEngine("s-1")), a.now)
		assert.NotEqual(t, Unmatched, v, "question %d", i)
	}
	assert.Empty(t, a.readyIDs())
	assert.Greater(t, a.NextQueryAt(), a.now, "it is not asked more often for that")
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

// Whatever is lost, late, old, of another numbering or doubled among the answers: once the router was sent an answer with a
// drain, and could read it, nothing is ready that drains; and a service that tells the truth is believed within some answers.
func TestNoAnswersMakeADrainingEngineReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := map[string]int{}      // 0 ready, 1 drains, 2 gone
		stamps := map[string]float64{} // of the starts, by clocks that are set back and ahead
		for i := range 6 {
			state[fmt.Sprint("s-", i)] = 0
		}
		serial := uint32(1)
		truth := func() List {
			l := List{Serial: serial}
			for i := range len(state) {
				e := readyEngine(fmt.Sprint("s-", i))
				e.StartedAt, e.Draining = stamps[e.ID], state[e.ID] == 1
				if state[e.ID] < 2 {
					l.Engines = append(l.Engines, e)
				}
			}
			return l
		}
		a := newSimulatedFollower(truth())
		history := []List{listOf(rapid.Uint32Range(1, 9).Draw(t, "number before the start"), a.List().Engines...)}
		type process struct {
			id    string
			stamp float64
		}
		told := map[process]bool{} // that it drains, by any answer that was to an open question
		answer := func(id uint16, l List) {
			if v, _ := a.HandleAnswer(id, l, a.now); v == Unmatched {
				return
			}
			for _, e := range l.Engines {
				p := process{e.ID, e.StartedAt}
				told[p] = told[p] || e.Draining
			}
		}
		var waiting []uint16
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				history = append(history, truth())
				serial++
				id := fmt.Sprint("s-", rapid.IntRange(0, len(state)-1).Draw(t, "engine"))
				if state[id] < 2 {
					state[id]++
				}
				if state[id] < 2 && rapid.Bool().Draw(t, "it starts again") {
					state[id] = 0
					for stamps[id] = float64(serial); ; {
						if stamps[id] += rapid.Float64Range(-3600, 3600).Draw(t, "its clock"); stamps[id] != 0 && !told[process{id, stamps[id]}] {
							break
						}
					}
				}
				if rapid.Bool().Draw(t, "a new one too") {
					state[fmt.Sprint("s-", len(state))] = 0
				}
			case 2: // an old list, as it was or under any number
				l := rapid.SampledFrom(history).Draw(t, "old")
				if rapid.Bool().Draw(t, "numbered anew") {
					l.Serial = rapid.Uint32Range(0, 20).Draw(t, "number")
				}
				answer(a.sendQuery(), l)
			case 3:
				a.sendQuery() // lost
			case 4:
				waiting = append(waiting, a.sendQuery())
			case 5:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "late")
					answer(waiting[i], rapid.SampledFrom(history).Draw(t, "what it says"))
				}
			default:
				answer(a.sendQuery(), truth())
			}
			for _, id := range a.readyIDs() {
				if told[process{id, stamps[id]}] && state[id] > 0 {
					t.Fatalf("%s is ready, and a drain was told", id)
				}
			}
		}
		for range otherSerialAnswers + 1 {
			a.queryAndAnswer(truth())
		}
		if got, want := fingerprint(a.current), fingerprint(truth()); got != want {
			t.Fatalf("%v is believed, not %v", a.current, truth())
		}
		for range newerSerialAnswers {
			a.queryAndAnswer(truth())
		}
		for _, e := range a.List().Engines {
			if stamps[e.ID] != 0 && e.StartedAt != stamps[e.ID] {
				t.Fatalf("%s is believed to have started at %g, not %g", e.ID, e.StartedAt, stamps[e.ID])
			}
		}
	})
}
