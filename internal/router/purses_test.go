package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// newFleetLimitHost is a router whose look-ups go by limits of all routers, before two warm engines and a bursar elsewhere.
func newFleetLimitHost(t *testing.T, route limits.Route) *host {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	h := newHost(t, eastEngine("s-1"), other)
	m, s := membership.Defaults(), shares.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{coordinatorAddress}
	s.Listen, s.Replicas, s.FixedFraction = m.Listen, []string{coordinatorAddress}, 0
	h.deliver(PeerMessagingSet{Settings: m, Quotas: &s})
	route.Name, route.Pattern = "r", limits.Fields{Group: "lookup"}
	h.deliver(RoutesSet{Routes: limits.NewTable([]*limits.Route{&route})})
	h.advance(1)
	return h
}

// returnedAmount gives what was last told of a credit that is done; below 0: nothing.
func (h *host) returnedAmount(number uint64) (amount float64) {
	amount = -1
	for _, what := range h.emitted {
		if w, is := what.(SendToPeer); is && w.Quotas != nil && w.Quotas.Kind == shares.GrantRequest {
			for _, i := range w.Quotas.Items {
				if i.Done && i.Number == number {
					amount = i.Amount
				}
			}
		}
	}
	return amount
}

func TestBatchWaitsForFleetConcurrencyCredit(t *testing.T) {
	h := newFleetLimitHost(t, limits.Route{Concurrency: &limits.ConcurrencyLimit{Name: "few", FleetWide: 2}})
	stream, id := h.sendBatch("lookup", 4000)
	assert.Empty(t, h.dials)
	i := h.lastCreditRequest()
	require.NotNil(t, i)
	assert.Equal(t, shares.Concurrency, i.Key.Kind)
	assert.InDelta(t, 1, i.Amount, 0)
	assert.Greater(t, i.CountedFor, 9.0, "what is out lasts as long as the longest time limit")
	h.grantCredit(i, 1)
	line := h.connectLast()
	h.advance(1.5) // the credit ends, and its batch is still out
	assert.InDelta(t, 1, h.returnedAmount(i.Number), 0)
	h.engineReply(line, id, "DONE", "sheets=1,toil=200", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.advance(0.5)
	assert.Zero(t, h.returnedAmount(i.Number), "now it counts nowhere")
	assert.Zero(t, h.routes.Routes[0].Concurrency.Quota.(*shares.QuotaLease).InUse())

	h.sendBatch("lookup", 4000)
	next := h.lastCreditRequest()
	require.Greater(t, next.Number, i.Number)
	h.grantCredit(next, 1)
	_, third := h.sendBatch("lookup", 4000) // beyond its part, and nobody answers
	h.advance(0.4)
	assert.Zero(t, h.fetchCount(third))
}

func TestBatchBehindUnansweredCreditRequestIsRejectedAtOnce(t *testing.T) {
	h := newFleetLimitHost(t, limits.Route{Concurrency: &limits.ConcurrencyLimit{Name: "few", FleetWide: 2, OnLimit: limits.RejectBatch}})
	first, _ := h.sendBatch("lookup", 4000)
	h.advance(0.1)
	second, _ := h.sendBatch("lookup", 4000)
	assert.NotContains(t, h.answers, first, "it waits for a part")
	require.Contains(t, h.answers, second)
	assert.Equal(t, answerRejected, h.answers[second][:1])
}

func TestRetryUsesFleetRetryBudget(t *testing.T) {
	budget := limits.RetryBudget{Name: "b", FreeRetries: 4, Window: 10, FleetWide: true}
	for _, given := range []bool{true, false} {
		b := budget
		h := newFleetLimitHost(t, limits.Route{Budget: &b})
		stream, id := h.sendBatch("lookup", 4000)
		line := h.connectLast()
		assert.Nil(t, h.lastCreditRequest(), "the first dispatch is none of it")
		h.engineReply(line, id, "WAIT", "", "")
		require.NotContains(t, h.answers, stream)
		i := h.lastCreditRequest()
		require.NotNil(t, i)
		assert.Equal(t, shares.ExtraDispatches, i.Key.Kind)
		if !given { // it is answered soon, and not at its limit
			h.advance(0.2)
			require.Contains(t, h.answers, stream)
			assert.Equal(t, answerRejected, h.answers[stream][:1])
			continue
		}
		h.grantCredit(i, 1)
		h.advance(0.05)
		for _, d := range h.dials[1:] {
			h.deliver(EngineOpened{d.Connection})
		}
		assert.Equal(t, 2, h.fetchCount(id))
		h.advance(0.5)
		assert.InDelta(t, 1, h.returnedAmount(i.Number), 0, "what was used counts for a window")
	}
}
