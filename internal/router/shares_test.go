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

// coordinatorAddress is the peer address of the quota coordinator, which the tests play.
const coordinatorAddress = "10.9.0.2:7500"

// newQuotaHost returns a router of a fleet of 24. It has one engine, which has just started, and the quota coordinator is another
// router.
func newQuotaHost(t *testing.T) *host {
	e := eastEngine("s-1")
	e.StartedAt = 97
	h := newHostWith(t, strings.Replace(strings.Replace(testSettings, `"balancers":1`, `"balancers":24`, 1), `"stop-sending-within-ms":250`,
		`"stop-sending-within-ms":250,"cold-from":0.35,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000`, 1), e)
	m, s := membership.Defaults(), shares.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{coordinatorAddress}
	s.Listen, s.Replicas = m.Listen, []string{coordinatorAddress}
	h.deliver(PeerMessagingSet{Settings: m, Quotas: &s})
	h.advance(2)
	return h
}

// sendHeavyBatch sends a batch of two seconds of work, and returns its stream and id.
func (h *host) sendHeavyBatch() (uint32, string) {
	h.lastID++
	id := strconv.Itoa(1000000000000000 + h.lastID)
	h.deliver(h.clientFrame(1, standin.EncodeFrame(clients.FrameBatch, uint32(h.lastID), []string{"c", "upload", "i", id, "d", "9000", "h", "2000"}, "SELECT 1 FROM a_3.b")))
	return uint32(h.lastID), id
}

// lastCreditRequest returns the last request for a credit that was sent to the coordinator; nil: none.
func (h *host) lastCreditRequest() (request *shares.Item) {
	for _, effect := range h.emitted {
		if w, is := effect.(SendToPeer); is && w.Quotas != nil && w.Quotas.Kind == shares.GrantRequest && w.To == coordinatorAddress {
			for _, i := range w.Quotas.Items {
				if !i.Done {
					request = &i
				}
			}
		}
	}
	return request
}

// grantCredit delivers the coordinator's grant for a credit request, with a lease in seconds.
func (h *host) grantCredit(request *shares.Item, lease float64) {
	roll := uint32(0)
	for _, effect := range h.emitted {
		if w, is := effect.(SendToPeer); is && w.Quotas != nil {
			roll = w.Quotas.ReplicaSetHash
		}
	}
	from := membership.Member{ID: membership.ID{Name: "other", Start: 1}, Address: coordinatorAddress}
	h.deliver(PeerMessageReceived{Message: &membership.Message{Kind: membership.Gossip, From: from}, Quotas: &shares.Message{Kind: shares.GrantReply, ReplicaSetHash: roll,
		ToStart: 1, From: shares.ID{Name: "other", Start: 1}, FromAddress: coordinatorAddress, Coordinator: coordinatorAddress, Items: []shares.Item{{Number: request.Number, Attempt: request.Attempt, Key: request.Key, Amount: request.Amount, Lease: lease}}}})
}

func TestHeavyBatchReachesColdEngineWithCredit(t *testing.T) {
	h := newQuotaHost(t)
	stream, id := h.sendHeavyBatch()
	assert.Empty(t, h.dials, "too heavy for one of 24 equal parts")
	request := h.lastCreditRequest()
	require.NotNil(t, request, "a credit is requested at once")
	assert.GreaterOrEqual(t, request.Amount, 2.0)
	h.grantCredit(request, 1)
	connection := h.connectLast()
	assert.Equal(t, 1, h.fetchCount(id))
	for _, effect := range h.emitted {
		if w, is := effect.(SendToEngine); is {
			assert.Less(t, w.WriteBy, h.now+1, "a dispatch that spends a credit must be written before the credit ends")
		}
	}
	h.engineReply(connection, id, "DONE", "sheets=1,toil=2000", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
}

func TestRequestNotWrittenInTimeAsksForNewCredit(t *testing.T) {
	h := newQuotaHost(t)
	stream, id := h.sendHeavyBatch()
	h.grantCredit(h.lastCreditRequest(), 1)
	number := h.dials[0].Connection
	h.deliver(EngineOpened{number}, OrderRefused{Connection: number, ID: id, Why: OrderLate}) // the event loop found that its write deadline had passed
	require.NotContains(t, h.answers, stream)
	assert.Zero(t, h.connections[number].PendingCount())
	first := h.lastCreditRequest().Number
	h.advance(0.2)
	again := h.lastCreditRequest()
	require.Greater(t, again.Number, first)
	h.grantCredit(again, 1)
	h.engineReply(number, id, "DONE", "sheets=1,toil=2000", "a\t2\t3\n")
	assert.Equal(t, answerOK+"a\t2\t3\n", h.answers[stream])
}

func TestCreditThatExpiresDuringDialIsNotUsed(t *testing.T) {
	h := newQuotaHost(t)
	_, id := h.sendHeavyBatch()
	h.grantCredit(h.lastCreditRequest(), 1)
	h.now += 0.15 // longer than a dispatch with this credit may take until it is written
	h.connectLast()
	assert.Zero(t, h.fetchCount(id))
}

func TestHeavyBatchWithoutCreditIsRejectedInTime(t *testing.T) {
	h := newQuotaHost(t)
	stream, _ := h.sendHeavyBatch()
	h.advance(9)
	assert.Equal(t, answerRejected[0], h.answers[stream][0], "the coordinator does not reply")
}

// A router without peer messaging has no timers for it: it wakes only for its queries to the name service, at most twice for each.
func TestNoExtraWakeupsWithoutPeerMessaging(t *testing.T) {
	wakeups := func(messaging bool) (n int) {
		h := newHost(t, eastEngine("s-1"))
		if messaging {
			h.deliver(PeerMessagingSet{Settings: membership.Defaults()})
		}
		h.emitted = nil
		for end := h.now + 20; h.now < end; n++ {
			h.now, h.nextTimer = max(h.nextTimer, h.now), 1e9
			h.deliver(TimerFired{})
		}
		if !messaging {
			assert.Nil(t, h.members)
			assert.Nil(t, h.quotas)
			assert.LessOrEqual(t, n, 2*len(h.queries)+2)
			for _, effect := range h.emitted {
				if w, is := effect.(SendToEngine); is {
					assert.True(t, math.IsInf(w.WriteBy, 1))
				}
			}
		}
		return n
	}
	off, on := wakeups(false), wakeups(true)
	assert.Greater(t, on, off)
}
