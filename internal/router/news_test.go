package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// lastLoadReport returns the load report of a kind that was sent last; nil: none.
func (h *host) lastLoadReport(kind news.Kind) (report *news.Message) {
	for _, effect := range h.emitted {
		if w, is := effect.(SendToPeer); is && w.LoadReports != nil && w.LoadReports.Kind == kind {
			report = w.LoadReports
		}
	}
	return report
}

// A router reports its outstanding load, and prefers the engine at which the other routers report little load.
func TestRouterReportsLoadAndUsesReceivedReports(t *testing.T) {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	h := newHost(t, eastEngine("s-1"), other)
	m, n := membership.Defaults(), news.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{"10.9.0.2:7500"}
	h.deliver(PeerMessagingSet{Settings: m, LoadReports: &n})
	peer := membership.Member{ID: membership.ID{Name: "a", Start: 1}, Address: "10.9.0.2:7500"}
	receive := func(m *news.Message) {
		h.deliver(PeerMessageReceived{Message: &membership.Message{Kind: membership.Gossip, From: peer}, LoadReports: m})
	}
	loadAt := func(name string) *news.Message {
		e := h.engines[name]
		return &news.Message{Kind: news.Down, Routers: 2, Loads: []news.Load{{EngineStart: news.EngineStart{Engine: e.Engine.ID, Start: math.Float64bits(0)}, Threads: 12, Memory: 1000}}}
	}
	h.advance(0.2)
	for i, busy := range []string{"s-1", "s-2", "s-1"} {
		receive(loadAt(busy))
		h.advance(0.11) // the router has forwarded the report, and its membership view has both routers
		receive(loadAt(busy))
		_, id := h.sendBatch("lookup", 4000)
		require.Len(t, h.dials, i+1)
		idle := map[string]string{"s-1": "10.0.0.2:80", "s-2": "10.0.0.1:80"}[busy]
		assert.Equal(t, idle, h.dials[i].Address, "batch %d", i)
		connection := h.connectLast()
		h.advance(0.11)
		up := h.lastLoadReport(news.Up)
		require.NotNil(t, up)
		require.Len(t, up.Loads, 1)
		assert.InDelta(t, 1, up.Loads[0].Threads, 0)
		h.engineReply(connection, id, "DONE", "sheets=1,toil=20", "a\t2\t3\n")
		h.closeByEngine(connection)
	}
	h.advance(0.2)
	assert.Empty(t, h.lastLoadReport(news.Up).Loads, "no load is outstanding any more")
	receive(&news.Message{Kind: news.Down, Routers: 9})
	receive(&news.Message{Kind: news.Down, Routers: 2, Age: math.NaN()})
}

// closeByEngine lets an engine close a connection.
func (h *host) closeByEngine(connection uint64) { h.deliver(EngineEnded{connection, ClosedByPeer}) }
