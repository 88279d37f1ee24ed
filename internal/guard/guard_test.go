package guard

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func newTestGuard() *Guard {
	g := New()
	g.ClientOpened(1)
	g.EngineConnected(7)
	g.EngineConnected(8)
	return g
}

func violationOf(err error) any {
	var broken *ViolationError
	if errors.As(err, &broken) {
		return broken.Violation
	}
	return err
}

func TestSendIsAllowedOnlyWhileRequestIsOpen(t *testing.T) {
	g, r := newTestGuard(), Request{1, 5}
	assert.Equal(t, SendAfterEnd, violationOf(g.Send(r, "a", 7, false)), "never taken")
	g.RequestAccepted(r)
	assert.NoError(t, g.Send(r, "a", 7, false))
	assert.Equal(t, SendOnClosedConnection, violationOf(g.Send(r, "a", 9, false)))
	assert.NoError(t, g.Answer(r))
	assert.Equal(t, SendAfterEnd, violationOf(g.Send(r, "a", 8, false)))
	assert.Equal(t, DuplicateAnswer, violationOf(g.Answer(r)))
	g.RequestAccepted(Request{1, 6})
	g.RequestCancelled(Request{1, 6})
	assert.Equal(t, SendAfterEnd, violationOf(g.Send(Request{1, 6}, "b", 7, false)))
	g.RequestAccepted(Request{1, 7})
	g.ClientClosed(1)
	var gone *ClientGoneError
	assert.ErrorAs(t, g.Send(Request{1, 7}, "c", 7, false), &gone, "the router has not heard of it")
	assert.NoError(t, g.Answer(Request{1, 7}))
	c := g.Counts()
	assert.Equal(t, []int{3, 1, 1, 1}, []int{c.Accepted, c.Answered, c.Cancelled, c.Abandoned})
	assert.Equal(t, 5, c.TotalViolations())
}

func TestAtMostOnceRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	g, r := newTestGuard(), Request{1, 1}
	g.RequestAccepted(r)
	assert.NoError(t, g.Send(r, "a", 7, true))
	assert.Equal(t, RetryAtMostOnce, violationOf(g.Send(r, "a", 8, true)))
	g.AttemptNotRun("a", 7)
	assert.NoError(t, g.Send(r, "a", 8, true))
	g.EngineDisconnected(8)
	g.EngineConnected(8)
	assert.Equal(t, RetryAtMostOnce, violationOf(g.Send(r, "a", 8, true)), "it may have run")
	g.AttemptEnded("a", 7)
	assert.Equal(t, RetryAtMostOnce, violationOf(g.Send(r, "a", 7, true)))
}

func TestCloseAndExitReturnOpenRequests(t *testing.T) {
	g := newTestGuard()
	g.ClientOpened(2)
	for _, r := range []Request{{1, 1}, {1, 2}, {2, 1}} {
		g.RequestAccepted(r)
	}
	assert.NoError(t, g.Ready(Request{2, 0}))
	assert.ElementsMatch(t, []Request{{1, 1}, {1, 2}}, g.CloseClient(1))
	assert.NoError(t, g.Answer(Request{1, 1}))
	g.ClientClosed(1)
	assert.Equal(t, []Request{{2, 1}}, g.Exit())
	assert.Equal(t, SendAfterEnd, violationOf(g.Send(Request{2, 1}, "a", 7, false)), "after the end")
	assert.Equal(t, ReadyAfterExit, violationOf(g.Ready(Request{2, 0})))
	assert.Equal(t, 2, g.Counts().Violations[CloseUnanswered])
}

// Whatever happens in whatever order: each request that was taken ends once, or is open.
func TestRequestCountsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			client := rapid.Uint64Range(1, 3).Draw(t, "client")
			r := Request{client, rapid.Uint32Range(1, 9).Draw(t, "stream")}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if g.clients[client] == nil {
					g.ClientOpened(client)
				}
			case 1, 2:
				g.RequestAccepted(r)
			case 3:
				g.Answer(r) //nolint:errcheck // counted
			case 4:
				g.RequestCancelled(r)
			case 5:
				g.ClientClosed(client)
			case 6:
				g.Send(r, "a", 7, true) //nolint:errcheck // counted
			}
		}
		c := g.Counts()
		if c.Accepted != c.Answered+c.Cancelled+c.Abandoned+g.OpenRequests() {
			t.Fatalf("%+v, %d open", c, g.OpenRequests())
		}
	})
}

// Where no two attempts of a request may be out, only what its engine has shown ends one.
func TestNextAttemptWaitsForConfirmedEndOfPrevious(t *testing.T) {
	for name, c := range map[string]struct {
		ends  func(g *Guard)
		ended bool
	}{
		"nothing came":                  {func(*Guard) {}, false},
		"it is told to give it up":      {func(g *Guard) { g.CancelSent("a", 7) }, false},
		"a page comes of itself":        {func(g *Guard) { g.PageReceived("a", 7) }, false},
		"our side ends the connection":  {func(g *Guard) { g.CancelSent("a", 7); g.EngineDisconnected(7) }, false},
		"another connection is settled": {func(g *Guard) { g.CancelSent("a", 7); g.CancellationsConfirmed(8) }, false},
		"a page comes once it is told":  {func(g *Guard) { g.CancelSent("a", 7); g.PageReceived("a", 7) }, true},
		"its engine has settled":        {func(g *Guard) { g.CancelSent("a", 7); g.CancellationsConfirmed(7) }, true},
		"its engine has ended it":       {func(g *Guard) { g.AttemptEnded("a", 7) }, true},
		"its engine turned it away":     {func(g *Guard) { g.AttemptNotRun("a", 7) }, true},
		"its engine ends the connection": {func(g *Guard) {
			g.EngineClosedConnection(7)
			g.EngineDisconnected(7)
		}, true},
	} {
		g, r := newTestGuard(), Request{1, 1}
		g.RequestAccepted(r)
		assert.NoError(t, g.CheckNoneInFlight(r), name)
		assert.NoError(t, g.Send(r, "a", 7, false), name)
		c.ends(g)
		if err := g.CheckNoneInFlight(r); c.ended {
			assert.NoError(t, err, name)
		} else {
			assert.Equal(t, ConcurrentAttempt, violationOf(err), name)
		}
	}
}
