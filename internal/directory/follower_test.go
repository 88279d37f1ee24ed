package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func one(id string) Engine {
	return Engine{ID: id, Zone: "hall", Kind: "std", Address: "10.0.0.1:80", Weight: 1}
}

func leaving(id string) Engine {
	e := one(id)
	e.Draining = true
	return e
}

func list(serial uint32, engines ...Engine) List { return List{Serial: serial, Engines: engines} }

// asker asks and answers in simulated time.
type asker struct {
	*Follower
	now float64
}

func follow(known List) *asker { return &asker{NewFollower(known, 7, 100), 100} }

// question lets time pass until the next one is due.
func (a *asker) question() uint16 {
	a.now = max(a.now, a.NextQueryAt())
	return a.NextQuery(a.now).ID
}

// answer asks and answers.
func (a *asker) answer(l List) Verdict {
	v, _ := a.HandleAnswer(a.question(), l, a.now)
	return v
}

func (a *asker) ready() (ids []string) {
	for _, e := range a.List().Engines {
		if !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// The cause of incident 1: a list of before a restart has a higher number than the lists that come after it.
func TestAListOfBeforeTheStartHidesNoDrain(t *testing.T) {
	a := follow(list(1, one("s-1"), one("s-2")))
	assert.Equal(t, Unconfirmed, a.answer(list(5, one("s-1"), one("s-2"), one("s-0"))))
	assert.Equal(t, []string{"s-1", "s-2"}, a.ready(), "one answer adds nothing")
	assert.Equal(t, Same, a.answer(list(1, one("s-1"), one("s-2"))))
	assert.Equal(t, Unconfirmed, a.answer(list(2, leaving("s-1"), one("s-2"), one("s-3"))))
	assert.Equal(t, []string{"s-2"}, a.ready(), "the first answer with a drain counts")
	assert.Equal(t, Adopted, a.answer(list(2, leaving("s-1"), one("s-2"), one("s-3"))))
	assert.Equal(t, []string{"s-2", "s-3"}, a.ready())
}

// Were it told often enough to be believed, the true lists after it would all have lower numbers.
func TestAListInForceUnderAFalseNumberIsReplaced(t *testing.T) {
	a := follow(list(1, one("s-1"), one("s-2")))
	a.answer(list(9, one("s-1"), one("s-2"), one("s-0")))
	require.Equal(t, Adopted, a.answer(list(9, one("s-1"), one("s-2"), one("s-0"))))
	began := a.now
	a.answer(list(2, leaving("s-1"), one("s-2")))
	assert.NotContains(t, a.ready(), "s-1")
	for range otherSerialAnswers - 1 {
		a.answer(list(2, leaving("s-1"), one("s-2")))
	}
	assert.Equal(t, uint32(2), a.Serial())
	assert.Equal(t, []string{"s-2"}, a.ready())
	assert.Less(t, a.now-began, 0.2, "well within a drain's grace")
}

func TestTheSameNumberWithOtherEnginesIsAnotherList(t *testing.T) {
	a := follow(list(3, one("s-1"), one("s-2")))
	a.answer(list(3, one("s-2"), one("s-3")))
	assert.Equal(t, []string{"s-2"}, a.ready(), "what is missing gets nothing new")
	a.answer(list(3, one("s-2"), one("s-3")))
	a.answer(list(3, one("s-2"), one("s-3")))
	assert.Equal(t, []string{"s-2", "s-3"}, a.ready())
}

func TestOrderInAnAnswerMeansNothing(t *testing.T) {
	a := follow(list(3, one("s-1"), one("s-2")))
	assert.Equal(t, Same, a.answer(list(3, one("s-2"), one("s-1"))))
}

func TestADrainThatIsCalledOffEnds(t *testing.T) {
	a := follow(list(1, one("s-1"), one("s-2")))
	a.answer(list(2, leaving("s-1"), one("s-2")))
	a.answer(list(2, leaving("s-1"), one("s-2")))
	a.answer(list(3, one("s-1"), one("s-2")))
	require.Equal(t, Adopted, a.answer(list(3, one("s-1"), one("s-2"))))
	assert.Equal(t, []string{"s-2"}, a.ready(), "not by the word of two answers")
	began := a.now
	for len(a.ready()) == 1 {
		a.answer(list(3, one("s-1"), one("s-2")))
	}
	assert.InDelta(t, drainReleaseTime, a.now-began, 2*queryInterval)
}

// An engine that has started again under its name is another process, whatever was said of the one before.
func TestADrainEndsWithItsProcess(t *testing.T) {
	again := one("s-1")
	again.StartedAt = 99
	a := follow(list(1, leaving("s-1"), one("s-2")))
	a.answer(list(2, again, one("s-2")))
	a.answer(list(2, again, one("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.ready())
	a.answer(list(1, leaving("s-1"), one("s-2")))
	assert.Equal(t, []string{"s-1", "s-2"}, a.ready(), "an old list speaks of the old process")
}

func TestAListOfTheConfigurationCountsAsOneAnswer(t *testing.T) {
	a := follow(list(1, one("s-1"), one("s-2")))
	assert.False(t, a.HandleConfigured(list(1, one("s-9")), a.now), "as old as ours")
	assert.True(t, a.HandleConfigured(list(4, leaving("s-1"), one("s-2"), one("s-0")), a.now))
	assert.Equal(t, []string{"s-2"}, a.ready())
	assert.Equal(t, Same, a.answer(list(1, one("s-1"), one("s-2"))))
	assert.Equal(t, []string{"s-2"}, a.ready(), "its drains hold, its new engines don't")
	empty := follow(List{})
	assert.True(t, empty.HandleConfigured(list(4, one("s-1")), empty.now))
	assert.Equal(t, []string{"s-1"}, empty.ready(), "without it there is nothing to go by")
}

// What is told of a start bounds what a cold engine is sent; an old list would have it warm.
func TestAnEngineIsNeverOlderThanWasTold(t *testing.T) {
	again := one("s-1")
	again.StartedAt = 99
	a := follow(list(1, one("s-1")))
	a.answer(list(2, again))
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0, "with the first answer")
	a.answer(list(2, again))
	for range otherSerialAnswers {
		a.answer(list(1, one("s-1")))
	}
	require.Equal(t, uint32(1), a.Serial())
	assert.InDelta(t, 99, a.List().Engines[0].StartedAt, 0)
}

// An engine that has started again is another process, also where its machine's clock was set back meanwhile.
func TestAStartThatIsToldAsEarlierIsANewOne(t *testing.T) {
	before, again := one("s-1"), leaving("s-1")
	before.StartedAt, again.StartedAt = 99, 50
	a := follow(list(1, before, one("s-2")))
	a.answer(list(2, again, one("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "with the first answer")
	assert.Equal(t, []string{"s-2"}, a.ready(), "and so is its drain")
	a.answer(list(2, again, one("s-2")))
	again.Draining = false
	a.answer(list(3, again, one("s-2")))
	a.answer(list(3, again, one("s-2")))
	a.answer(list(1, before, one("s-2")))
	assert.InDelta(t, 50, a.List().Engines[0].StartedAt, 0, "the start before it is over for good")
}

// A name service with a backlog: each answer comes when many later questions have been asked.
func TestASlowNameServiceIsHeard(t *testing.T) {
	a := follow(list(1, one("s-1")))
	var asked []uint16
	for range maxOpenQueries - 1 {
		asked = append(asked, a.question())
	}
	for i, id := range asked {
		v, _ := a.HandleAnswer(id, list(2, leaving("s-1")), a.now)
		assert.NotEqual(t, Unmatched, v, "question %d", i)
	}
	assert.Empty(t, a.ready())
	assert.Greater(t, a.NextQueryAt(), a.now, "it is not asked more often for that")
}

func TestAnOvertakenAnswerOnlyTellsDrains(t *testing.T) {
	a := follow(list(1, one("s-1"), one("s-2")))
	early, late := a.question(), a.question()
	v, _ := a.HandleAnswer(late, list(1, one("s-1"), one("s-2")), a.now)
	require.Equal(t, Same, v)
	v, changed := a.HandleAnswer(early, list(2, leaving("s-1"), one("s-2"), one("s-3")), a.now)
	assert.Equal(t, Overtaken, v)
	assert.True(t, changed)
	assert.Equal(t, []string{"s-2"}, a.ready())
}

func TestQuestionsBecomeFewerWhereNobodyAnswers(t *testing.T) {
	a := follow(list(1, one("s-1")))
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
				e := one(fmt.Sprint("s-", i))
				e.StartedAt, e.Draining = stamps[e.ID], state[e.ID] == 1
				if state[e.ID] < 2 {
					l.Engines = append(l.Engines, e)
				}
			}
			return l
		}
		a := follow(truth())
		history := []List{list(rapid.Uint32Range(1, 9).Draw(t, "number before the start"), a.List().Engines...)}
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
				answer(a.question(), l)
			case 3:
				a.question() // lost
			case 4:
				waiting = append(waiting, a.question())
			case 5:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "late")
					answer(waiting[i], rapid.SampledFrom(history).Draw(t, "what it says"))
				}
			default:
				answer(a.question(), truth())
			}
			for _, id := range a.ready() {
				if told[process{id, stamps[id]}] && state[id] > 0 {
					t.Fatalf("%s is ready, and a drain was told", id)
				}
			}
		}
		for range otherSerialAnswers + 1 {
			a.answer(truth())
		}
		if got, want := fingerprint(a.current), fingerprint(truth()); got != want {
			t.Fatalf("%v is believed, not %v", a.current, truth())
		}
		for range newerSerialAnswers {
			a.answer(truth())
		}
		for _, e := range a.List().Engines {
			if stamps[e.ID] != 0 && e.StartedAt != stamps[e.ID] {
				t.Fatalf("%s is believed to have started at %g, not %g", e.ID, e.StartedAt, stamps[e.ID])
			}
		}
	})
}
