package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/limits"
	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

// newFleetLimitHost returns a router with two engines past their cold start. Its lookup batches are subject to the limits of the
// given route, which hold for the whole fleet, and the quota coordinator is another router.
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

// returnedAmount returns the amount that was last reported to the coordinator as still counted for a finished credit; below 0: not
// reported.
func (h *host) returnedAmount(number uint64) (amount float64) {
	amount = -1
	for _, effect := range h.emitted {
		if w, is := effect.(SendToPeer); is && w.Quotas != nil && w.Quotas.Kind == shares.GrantRequest {
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
	request := h.lastCreditRequest()
	require.NotNil(t, request)
	assert.Equal(t, shares.Concurrency, request.Key.Kind)
	assert.InDelta(t, 1, request.Amount, 0)
	assert.Greater(t, request.CountedFor, 9.0, "an outstanding batch may last as long as the longest time limit")
	h.grantCredit(request, 1)
	connection := h.connectLast()
	h.advance(1.5) // the credit ends while its batch is still outstanding
	assert.InDelta(t, 1, h.returnedAmount(request.Number), 0)
	h.engineReply(connection, id, "DONE", "sheets=1,toil=200", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
	h.advance(0.5)
	assert.Zero(t, h.returnedAmount(request.Number), "the finished batch no longer counts")
	assert.Zero(t, h.routes.Routes[0].Concurrency.Quota.(*shares.QuotaLease).InUse())

	h.sendBatch("lookup", 4000)
	next := h.lastCreditRequest()
	require.Greater(t, next.Number, request.Number)
	h.grantCredit(next, 1)
	_, third := h.sendBatch("lookup", 4000) // beyond the granted credit, and the coordinator does not reply
	h.advance(0.4)
	assert.Zero(t, h.fetchCount(third))
}

func TestBatchBehindUnansweredCreditRequestIsRejectedAtOnce(t *testing.T) {
	h := newFleetLimitHost(t, limits.Route{Concurrency: &limits.ConcurrencyLimit{Name: "few", FleetWide: 2, OnLimit: limits.RejectBatch}})
	first, _ := h.sendBatch("lookup", 4000)
	h.advance(0.1)
	second, _ := h.sendBatch("lookup", 4000)
	assert.NotContains(t, h.answers, first, "it waits for a credit")
	require.Contains(t, h.answers, second)
	assert.Equal(t, answerRejected, h.answers[second][:1])
}

func TestRetryUsesFleetRetryBudget(t *testing.T) {
	budget := limits.RetryBudget{Name: "b", FreeRetries: 4, Window: 10, FleetWide: true}
	for _, granted := range []bool{true, false} {
		b := budget
		h := newFleetLimitHost(t, limits.Route{Budget: &b})
		stream, id := h.sendBatch("lookup", 4000)
		connection := h.connectLast()
		assert.Nil(t, h.lastCreditRequest(), "the first dispatch does not count against the retry budget")
		h.engineReply(connection, id, "WAIT", "", "")
		require.NotContains(t, h.answers, stream)
		request := h.lastCreditRequest()
		require.NotNil(t, request)
		assert.Equal(t, shares.ExtraDispatches, request.Key.Kind)
		if !granted { // the batch is answered soon, not at its time limit
			h.advance(0.2)
			require.Contains(t, h.answers, stream)
			assert.Equal(t, answerRejected, h.answers[stream][:1])
			continue
		}
		h.grantCredit(request, 1)
		h.advance(0.05)
		for _, d := range h.dials[1:] {
			h.deliver(EngineOpened{d.Connection})
		}
		assert.Equal(t, 2, h.fetchCount(id))
		h.advance(0.5)
		assert.InDelta(t, 1, h.returnedAmount(request.Number), 0, "a used credit counts for the budget's window")
	}
}
