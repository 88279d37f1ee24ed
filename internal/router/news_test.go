package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
)

// lastLoadReport gives what went out of a kind last.
func (h *host) lastLoadReport(kind news.Kind) (out *news.Message) {
	for _, what := range h.emitted {
		if w, is := what.(SendToPeer); is && w.LoadReports != nil && w.LoadReports.Kind == kind {
			out = w.LoadReports
		}
	}
	return out
}

// A router says what it has out, and sends where it is told that the others have little.
func TestRouterReportsLoadAndUsesReceivedReports(t *testing.T) {
	other := eastEngine("s-2")
	other.Address = "10.0.0.2:80"
	h := newHost(t, eastEngine("s-1"), other)
	m, n := membership.Defaults(), news.Defaults()
	m.Self, m.Listen, m.Seeds = membership.ID{Name: "me", Start: 1}, "10.9.0.1:7500", []string{"10.9.0.2:7500"}
	h.deliver(PeerMessagingSet{Settings: m, LoadReports: &n})
	first := membership.Member{ID: membership.ID{Name: "a", Start: 1}, Address: "10.9.0.2:7500"}
	hear := func(m *news.Message) {
		h.deliver(PeerMessageReceived{Message: &membership.Message{Kind: membership.Tell, From: first}, LoadReports: m})
	}
	full := func(name string) *news.Message {
		e := h.engines[name]
		return &news.Message{Kind: news.Down, Routers: 2, Loads: []news.Load{{Of: news.Of{Engine: e.Engine.ID, Start: math.Float64bits(0)}, Threads: 12, Memory: 1000}}}
	}
	h.advance(0.2)
	for i, busy := range []string{"s-1", "s-2", "s-1"} {
		hear(full(busy))
		h.advance(0.11) // it has told it on, and its own view has both
		hear(full(busy))
		_, id := h.sendBatch("lookup", 4000)
		require.Len(t, h.dials, i+1)
		idle := map[string]string{"s-1": "10.0.0.2:80", "s-2": "10.0.0.1:80"}[busy]
		assert.Equal(t, idle, h.dials[i].Address, "batch %d", i)
		line := h.connectLast()
		h.advance(0.11)
		up := h.lastLoadReport(news.Up)
		require.NotNil(t, up)
		require.Len(t, up.Loads, 1)
		assert.InDelta(t, 1, up.Loads[0].Threads, 0)
		h.engineReply(line, id, "DONE", "sheets=1,toil=20", "a\t2\t3\n")
		h.closeByEngine(line)
	}
	h.advance(0.2)
	assert.Empty(t, h.lastLoadReport(news.Up).Loads, "nothing is out any more")
	hear(&news.Message{Kind: news.Down, Routers: 9})
	hear(&news.Message{Kind: news.Down, Routers: 2, Age: math.NaN()})
}

// closeByEngine ends a connection at its engine's side.
func (h *host) closeByEngine(line uint64) { h.deliver(EngineEnded{line, ClosedByPeer}) }
