package router

import (
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/clients"
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
	"pitchfield/internal/standin"
)

const bursar = "10.9.0.2:7500"

// divided is a router of a fleet of 24 with one engine, which has just started, and a bursar elsewhere.
func divided(t *testing.T) *host {
	e := east("s-1")
	e.StartedAt = 97
	h := startWith(t, strings.Replace(strings.Replace(grades, `"balancers":1`, `"balancers":24`, 1), `"stop-sending-within-ms":250`,
		`"stop-sending-within-ms":250,"cold-from":0.35,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000`, 1), e)
	m, s := membership.Defaults(), shares.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{bursar}
	s.Listen, s.Keepers = m.Listen, []string{bursar}
	h.tell(TalkSet{Settings: m, Shares: &s})
	h.pass(2)
	return h
}

// heavy asks for a batch of two seconds of work.
func (h *host) heavy() (uint32, string) {
	h.ids++
	id := strconv.Itoa(1000000000000000 + h.ids)
	h.tell(h.said(1, standin.Frame(clients.FrameBatch, uint32(h.ids), []string{"c", "upload", "i", id, "d", "9000", "h", "2000"}, "SELECT 1 FROM a_3.b")))
	return uint32(h.ids), id
}

// asked gives the last asking that went to the bursar.
func (h *host) asked() (out *shares.Item) {
	for _, what := range h.did {
		if w, is := what.(Talk); is && w.Shares != nil && w.Shares.Kind == shares.Ask && w.To == bursar {
			for _, i := range w.Shares.Items {
				if !i.Done {
					out = &i
				}
			}
		}
	}
	return out
}

func (h *host) give(i *shares.Item, lease float64) {
	roll := uint32(0)
	for _, what := range h.did {
		if w, is := what.(Talk); is && w.Shares != nil {
			roll = w.Shares.Roll
		}
	}
	from := membership.Member{ID: membership.ID{Name: "other", Start: 1}, Address: bursar}
	h.tell(TalkCame{Message: &membership.Message{Kind: membership.Tell, From: from}, Shares: &shares.Message{Kind: shares.Reply, Roll: roll,
		To: 1, From: shares.ID{Name: "other", Start: 1}, At: bursar, Bursar: bursar, Items: []shares.Item{{Number: i.Number, Try: i.Try, Key: i.Key, Amount: i.Amount, Lease: lease}}}})
}

func TestAHeavyBatchGoesToAColdEngineByACredit(t *testing.T) {
	h := divided(t)
	stream, id := h.heavy()
	assert.Empty(t, h.dials, "it fits no part of 24")
	i := h.asked()
	require.NotNil(t, i, "it is asked for at once")
	assert.GreaterOrEqual(t, i.Amount, 2.0)
	h.give(i, 1)
	line := h.up()
	assert.Equal(t, 1, h.fetches(id))
	for _, what := range h.did {
		if w, is := what.(OrderEngine); is {
			assert.Less(t, w.By, h.now+1, "what is by a credit says until when")
		}
	}
	h.say(line, id, "DONE", "sheets=1,toil=2000", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
}

func TestWhatWasNotWrittenInTimeGoesBackAndIsAskedForAgain(t *testing.T) {
	h := divided(t)
	stream, id := h.heavy()
	h.give(h.asked(), 1)
	number := h.dials[0].Connection
	h.tell(EngineOpened{number}, OrderRefused{Connection: number, ID: id, Why: OrderLate}) // the loop found that its time had come
	require.NotContains(t, h.answers, stream)
	assert.Zero(t, h.connections[number].PendingCount())
	first := h.asked().Number
	h.pass(0.2)
	again := h.asked()
	require.Greater(t, again.Number, first)
	h.give(again, 1)
	h.say(number, id, "DONE", "sheets=1,toil=2000", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
}

func TestACreditThatEndsWhileItsConnectionIsMadeIsNotUsed(t *testing.T) {
	h := divided(t)
	_, id := h.heavy()
	h.give(h.asked(), 1)
	h.now += 0.15 // longer than it may take until it is written
	h.up()
	assert.Zero(t, h.fetches(id))
}

func TestWithoutACreditAHeavyBatchIsGivenUpInTime(t *testing.T) {
	h := divided(t)
	stream, _ := h.heavy()
	h.pass(9)
	assert.Equal(t, refusal[0], h.answers[stream][0], "the bursar says nothing")
}

// A router that nobody tells of others has no timer of theirs: it wakes for its questions alone, twice each at the most.
func TestWithoutTalkNothingMoreWakesARouter(t *testing.T) {
	wakes := func(set bool) (n int) {
		h := start(t, east("s-1"))
		if set {
			h.tell(TalkSet{Settings: membership.Defaults()})
		}
		h.did = nil
		for end := h.now + 20; h.now < end; n++ {
			h.now, h.timer = max(h.timer, h.now), 1e9
			h.tell(TimerFired{})
		}
		if !set {
			assert.Nil(t, h.members)
			assert.Nil(t, h.parts)
			assert.LessOrEqual(t, n, 2*len(h.queries)+2)
			for _, what := range h.did {
				if w, is := what.(OrderEngine); is {
					assert.True(t, math.IsInf(w.By, 1))
				}
			}
		}
		return n
	}
	off, on := wakes(false), wakes(true)
	assert.Greater(t, on, off)
}
