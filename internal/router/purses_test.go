package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// fleetwide is a router whose look-ups go by limits of all routers, before two warm engines and a bursar elsewhere.
func fleetwide(t *testing.T, route limits.Route) *host {
	other := east("s-2")
	other.Address = "10.0.0.2:80"
	h := start(t, east("s-1"), other)
	m, s := membership.Defaults(), shares.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{bursar}
	s.Listen, s.Keepers, s.Firm = m.Listen, []string{bursar}, 0
	h.tell(TalkSet{Settings: m, Shares: &s})
	route.Name, route.Pattern = "r", limits.Fields{Group: "lookup"}
	h.tell(RoutesSet{Routes: limits.NewTable([]*limits.Route{&route})})
	h.pass(1)
	return h
}

// returned gives what was last told of a credit that is done; below 0: nothing.
func (h *host) returned(number uint64) (amount float64) {
	amount = -1
	for _, what := range h.did {
		if w, is := what.(Talk); is && w.Shares != nil && w.Shares.Kind == shares.Ask {
			for _, i := range w.Shares.Items {
				if i.Done && i.Number == number {
					amount = i.Amount
				}
			}
		}
	}
	return amount
}

func TestABatchWaitsForAPartOfWhatAllRoutersMayHaveOut(t *testing.T) {
	h := fleetwide(t, limits.Route{Concurrency: &limits.ConcurrencyLimit{Name: "few", FleetWide: 2}})
	stream, id := h.batch("lookup", 4000)
	assert.Empty(t, h.dials)
	i := h.asked()
	require.NotNil(t, i)
	assert.Equal(t, shares.Concurrency, i.Key.Kind)
	assert.InDelta(t, 1, i.Amount, 0)
	assert.Greater(t, i.Rest, 9.0, "what is out lasts as long as the longest time limit")
	h.give(i, 1)
	line := h.up()
	h.pass(1.5) // the credit ends, and its batch is still out
	assert.InDelta(t, 1, h.returned(i.Number), 0)
	h.say(line, id, "DONE", "sheets=1,toil=200", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
	h.pass(0.5)
	assert.Zero(t, h.returned(i.Number), "now it counts nowhere")
	assert.Zero(t, h.routes.Routes[0].Concurrency.Quota.(*shares.Purse).Out())

	h.batch("lookup", 4000)
	next := h.asked()
	require.Greater(t, next.Number, i.Number)
	h.give(next, 1)
	_, third := h.batch("lookup", 4000) // beyond its part, and nobody answers
	h.pass(0.4)
	assert.Zero(t, h.fetches(third))
}

func TestOneThatComesWhileOthersWaitInVainIsPushedBackAtOnce(t *testing.T) {
	h := fleetwide(t, limits.Route{Concurrency: &limits.ConcurrencyLimit{Name: "few", FleetWide: 2, OnLimit: limits.RejectBatch}})
	first, _ := h.batch("lookup", 4000)
	h.pass(0.1)
	second, _ := h.batch("lookup", 4000)
	assert.NotContains(t, h.answers, first, "it waits for a part")
	require.Contains(t, h.answers, second)
	assert.Equal(t, refusal, h.answers[second][:1])
}

func TestAFurtherDispatchGoesByAFreeOneOfTheFleet(t *testing.T) {
	budget := limits.RetryBudget{Name: "b", FreeRetries: 4, Window: 10, FleetWide: true}
	for _, given := range []bool{true, false} {
		b := budget
		h := fleetwide(t, limits.Route{Budget: &b})
		stream, id := h.batch("lookup", 4000)
		line := h.up()
		assert.Nil(t, h.asked(), "the first dispatch is none of it")
		h.say(line, id, "WAIT", "", "")
		require.NotContains(t, h.answers, stream)
		i := h.asked()
		require.NotNil(t, i)
		assert.Equal(t, shares.Further, i.Key.Kind)
		if !given { // it is answered soon, and not at its limit
			h.pass(0.2)
			require.Contains(t, h.answers, stream)
			assert.Equal(t, refusal, h.answers[stream][:1])
			continue
		}
		h.give(i, 1)
		h.pass(0.05)
		for _, d := range h.dials[1:] {
			h.tell(EngineOpened{d.Connection})
		}
		assert.Equal(t, 2, h.fetches(id))
		h.pass(0.5)
		assert.InDelta(t, 1, h.returned(i.Number), 0, "what was used counts for a window")
	}
}
