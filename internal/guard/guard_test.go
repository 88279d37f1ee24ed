package guard

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func begun() *Guard {
	g := New()
	g.ClientOpened(1)
	g.EngineUp(7)
	g.EngineUp(8)
	return g
}

func violation(err error) any {
	var broken *Error
	if errors.As(err, &broken) {
		return broken.Violation
	}
	return err
}

func TestARequestIsSentWhileItIsOpenAlone(t *testing.T) {
	g, r := begun(), Request{1, 5}
	assert.Equal(t, SendAfterEnd, violation(g.Send(r, "a", 7, false)), "never taken")
	g.Taken(r)
	assert.NoError(t, g.Send(r, "a", 7, false))
	assert.Equal(t, SendNowhere, violation(g.Send(r, "a", 9, false)))
	assert.NoError(t, g.Answer(r))
	assert.Equal(t, SendAfterEnd, violation(g.Send(r, "a", 8, false)))
	assert.Equal(t, SecondAnswer, violation(g.Answer(r)))
	g.Taken(Request{1, 6})
	g.Cancelled(Request{1, 6})
	assert.Equal(t, SendAfterEnd, violation(g.Send(Request{1, 6}, "b", 7, false)))
	g.Taken(Request{1, 7})
	g.ClientGone(1)
	var gone *GoneError
	assert.ErrorAs(t, g.Send(Request{1, 7}, "c", 7, false), &gone, "the router has not heard of it")
	assert.NoError(t, g.Answer(Request{1, 7}))
	c := g.Counts()
	assert.Equal(t, []int{3, 1, 1, 1}, []int{c.Taken, c.Answered, c.Cancelled, c.Gone})
	assert.Equal(t, 5, c.Broken())
}

func TestAOnceOnlyRequestIsRepeatedOnlyIfItSurelyNeverRan(t *testing.T) {
	g, r := begun(), Request{1, 1}
	g.Taken(r)
	assert.NoError(t, g.Send(r, "a", 7, true))
	assert.Equal(t, RepeatOnceOnly, violation(g.Send(r, "a", 8, true)))
	g.NeverRan("a", 7)
	assert.NoError(t, g.Send(r, "a", 8, true))
	g.EngineGone(8)
	g.EngineUp(8)
	assert.Equal(t, RepeatOnceOnly, violation(g.Send(r, "a", 8, true)), "it may have run")
	g.Over("a", 7)
	assert.Equal(t, RepeatOnceOnly, violation(g.Send(r, "a", 7, true)))
}

func TestNothingIsClosedOverOpenRequests(t *testing.T) {
	g := begun()
	g.ClientOpened(2)
	for _, r := range []Request{{1, 1}, {1, 2}, {2, 1}} {
		g.Taken(r)
	}
	assert.NoError(t, g.Ready(Request{2, 0}))
	assert.ElementsMatch(t, []Request{{1, 1}, {1, 2}}, g.Close(1))
	assert.NoError(t, g.Answer(Request{1, 1}))
	g.ClientGone(1)
	assert.Equal(t, []Request{{2, 1}}, g.End())
	assert.Equal(t, SendAfterEnd, violation(g.Send(Request{2, 1}, "a", 7, false)), "after the end")
	assert.Equal(t, StartAfterEnd, violation(g.Ready(Request{2, 0})))
	assert.Equal(t, 2, g.Counts().Violations[CloseUnanswered])
}

// Whatever happens in whatever order: each request that was taken ends once, or is open.
func TestTheLedgerBalances(t *testing.T) {
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
				g.Taken(r)
			case 3:
				g.Answer(r) //nolint:errcheck // counted
			case 4:
				g.Cancelled(r)
			case 5:
				g.ClientGone(client)
			case 6:
				g.Send(r, "a", 7, true) //nolint:errcheck // counted
			}
		}
		c := g.Counts()
		if c.Taken != c.Answered+c.Cancelled+c.Gone+g.Open() {
			t.Fatalf("%+v, %d open", c, g.Open())
		}
	})
}

// Where no two attempts of a request may be out, only what its engine has shown ends one.
func TestAFurtherAttemptWaitsForTheEndOfTheOneBefore(t *testing.T) {
	for name, c := range map[string]struct {
		ends  func(g *Guard)
		ended bool
	}{
		"nothing came":                  {func(*Guard) {}, false},
		"it is told to give it up":      {func(g *Guard) { g.GivesUp("a", 7) }, false},
		"a page comes of itself":        {func(g *Guard) { g.Paged("a", 7) }, false},
		"our side ends the connection":  {func(g *Guard) { g.GivesUp("a", 7); g.EngineGone(7) }, false},
		"another connection is settled": {func(g *Guard) { g.GivesUp("a", 7); g.Settled(8) }, false},
		"a page comes once it is told":  {func(g *Guard) { g.GivesUp("a", 7); g.Paged("a", 7) }, true},
		"its engine has settled":        {func(g *Guard) { g.GivesUp("a", 7); g.Settled(7) }, true},
		"its engine has ended it":       {func(g *Guard) { g.Over("a", 7) }, true},
		"its engine turned it away":     {func(g *Guard) { g.NeverRan("a", 7) }, true},
		"its engine ends the connection": {func(g *Guard) {
			g.EngineEnded(7)
			g.EngineGone(7)
		}, true},
	} {
		g, r := begun(), Request{1, 1}
		g.Taken(r)
		assert.NoError(t, g.SendAlone(r), name)
		assert.NoError(t, g.Send(r, "a", 7, false), name)
		c.ends(g)
		if err := g.SendAlone(r); c.ended {
			assert.NoError(t, err, name)
		} else {
			assert.Equal(t, SecondAttempt, violation(err), name)
		}
	}
}
