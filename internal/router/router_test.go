package router

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/brain"
	"pitchfield/internal/clients"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

func TestAnAnswerIsFramedOnceAllPagesAreThere(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("lookup", 2000)
	c := h.up()
	assert.Contains(t, h.written[c], "queue=lookup,budget=1")
	h.say(c, id, "DONE", "sheets=3,toil=80,room=40", "a\t2\t3\n")
	assert.Contains(t, h.written[c], "more\r\n$16\r\n00000000000000f1\r\n$1\r\n1\r\n")
	h.say(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	assert.Empty(t, h.answers, "a page is missing")
	h.say(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\nb\t2\t3\nc\t2\t3\n", h.answers[stream])
	h.say(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Zero(t, h.pool.Used(), "nothing is kept")
	assert.Empty(t, h.batches)
}

func TestALostPageMayHaveRun(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 5000)
	again, id2 := h.batch("lookup", 3000)
	c := h.up()
	h.say(c, id, "DONE", "sheets=2", "a\t2\t3\n")
	h.say(c, id2, "DONE", "sheets=2", "a\t2\t3\n")
	h.tell(EngineEnded{c, ResetByPeer})
	assert.Equal(t, failure, h.answers[stream], "once-only: an error, and no other dispatch")
	c = h.up()
	h.say(c, id2, "DONE", "sheets=1", "z\t2\t3\n")
	assert.Equal(t, ok+"z\t2\t3\n", h.answers[again], "repeatable: from its first page on")
}

func TestWhatNeverLeftNeverRan(t *testing.T) {
	for _, end := range []End{RefusedDial, DialTimedOut, NoDescriptor} {
		h := start(t, east("s-1"), east("s-2"))
		stream, id := h.batch("upload", 5000)
		h.tell(EngineEnded{h.dials[0].Connection, end})
		require.Len(t, h.dials, 2, "once-only goes on after %s", end)
		h.say(h.up(), id, "DONE", "sheets=1", "a\t2\t3\n")
		assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
		assert.Equal(t, 1, h.fetches(id))
	}
}

func TestWhatWasWrittenMayHaveRun(t *testing.T) {
	for _, end := range []End{ClosedByPeer, ResetByPeer, BadInput, Unread} {
		h := start(t, east("s-1"), east("s-2"))
		stream, id := h.batch("upload", 5000)
		h.tell(EngineEnded{h.up(), end})
		h.pass(1)
		assert.Equal(t, failure, h.answers[stream], end.String())
		assert.Equal(t, 1, h.fetches(id))
	}
}

func TestEveryEndHasItsOutcomes(t *testing.T) {
	for e := range ends {
		assert.NotEmpty(t, e.String())
		assert.Equal(t, brain.ConnectionLost, outcomes[e].written, "nothing proves that it never ran: %s", e)
		assert.Contains(t, []brain.Outcome{brain.ConnectFailed, brain.NotSent}, outcomes[e].unwritten, e.String())
	}
}

func TestALateAnswerIsDropped(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 1000)
	c := h.up()
	h.pass(1.1)
	assert.Equal(t, failure, h.answers[stream])
	assert.Contains(t, h.written[c], "abort\r\n$16\r\n00000000000000f1")
	h.say(c, id, "DONE", "sheets=1", "late\t2\t3\n")
	assert.Equal(t, failure, h.answers[stream])
	assert.Zero(t, h.pool.Used())
}

// Clients leave on the dot, and a final answer of the last millisecond came too late for them.
func TestTheAnswerLeavesBeforeTheClientDoes(t *testing.T) {
	h := start(t, east("s-1"))
	stream, _ := h.batch("upload", 1000)
	h.up()
	h.pass(0.995)
	assert.Equal(t, failure, h.answers[stream])
}

// A machine that is cut off leaves its connections open and silent; what is written there lies for long.
func TestASilentConnectionTakesNothingNew(t *testing.T) {
	h := start(t, east("s-1"))
	h.batch("upload", 1000)
	h.up()
	h.pass(1.1)
	assert.Equal(t, []End{ClosedSuspect}, h.closed())
	h.batch("lookup", 3000)
	assert.Len(t, h.dials, 2)
}

func TestPushedBackByTheEngineItGoesOn(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 5000)
	c := h.up()
	h.say(c, id, "WAIT", "-", "")
	h.pass(0.1)
	c = h.up()
	require.Equal(t, 2, h.fetches(id), "a full engine has not run it")
	h.say(c, id, "BROKE", "-", "")
	assert.Equal(t, failure, h.answers[stream], "an error may have run")
}

// The copy of a refusal must not prove of another dispatch that it never ran.
func TestASecondCopyEndsNothingElse(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 5000)
	first := h.up()
	h.say(first, id, "WAIT", "-", "")
	h.pass(0.1)
	require.Len(t, h.dials, 2, "the id stands once on a connection")
	second := h.up()
	h.say(first, id, "WAIT", "-", "")
	h.tell(EngineEnded{second, ResetByPeer})
	assert.Equal(t, failure, h.answers[stream], "it may have run")
	assert.Equal(t, 2, h.fetches(id))
}

func TestAClientThatLeavesGetsNoAnswer(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("lookup", 2000)
	_, other := h.batch("lookup", 2000)
	c := h.up()
	h.tell(ClientSaid{1, traffic.Cancel{Stream: stream}})
	h.say(c, id, "DONE", "sheets=4", "a\t2\t3\n")
	assert.Contains(t, h.written[c], "done\r\n$16\r\n00000000000000f1", "nobody wants the pages")
	h.tell(ClientEnded{1, ClosedByPeer})
	h.say(c, other, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Empty(t, h.answers)
	assert.Empty(t, h.batches)
	assert.Zero(t, h.pool.Used())
}

func TestBadInputEndsAtMostItsConnection(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("nobody's", 2000)
	assert.Equal(t, failure, h.answers[stream], "an unknown service group")
	h.tell(h.opened(2))
	h.tell(h.said(2, standin.Frame(77, 5, nil, "")))
	assert.Equal(t, failure, h.answers[0])
	h.tell(h.opened(3))
	taken := standin.Frame(clients.Ask, 9, []string{"c", "upload", "i", "00000000000000aa", "d", "900"}, "SELECT 1")
	h.tell(h.said(3, taken))
	delete(h.answers, 0)
	h.tell(h.said(3, taken))
	assert.Equal(t, failure, h.answers[0], "a stream that is taken")
	assert.Equal(t, failure, h.answers[9], "what was taken on it is answered")
	assert.NotContains(t, h.clients, uint64(3))
	stream, id = h.batch("lookup", 2000)
	c := h.up()
	h.say(c, "nobody", "DONE", "sheets=x", "a")
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
}

// What can't be passed on ends its connection: what else is open there may have run and goes on by the one table.
func TestAnUnusableAnswerEndsItsConnectionAndNothingOfItIsPassedOn(t *testing.T) {
	row := "a\tb\tc\n"
	for _, bad := range []struct {
		word, fields, body string
	}{{"DONE", "sheets=1", "a\tb\n"}, {"DONE", "sheets=1", "a\tb\tc"}, {"DONE", "sheets=1", "a\x01\tb\tc\n"},
		{"DONE", "toil=3", row}, {"DONE", "sheets=0", row}, {"DONE", "sheets=9999", row},
		{"DONE", "sheets=2", ""},
		{"MORE", "sheet=7", row}, {"MORE", "sheet=1", row}, {"HM", "", row}} {
		for _, copies := range []string{"", `"may-duplicate":true,`} {
			h := startWith(t, strings.Replace(grades, `"attempts-cap":3,`, `"attempts-cap":3,`+copies, 1), east("s-1"))
			stream, id := h.batch("lookup", 3000)
			once, _ := h.batch("upload", 3000)
			h.say(h.up(), id, bad.word, bad.fields, bad.body)
			assert.Equal(t, []End{BadInput}, h.closed(), "%v", bad)
			assert.Equal(t, failure, h.answers[once])
			h.pass(0.3)
			if bad.word == "HM" && copies == "" { // it is no end that the protocol knows, so the first may still run
				assert.True(t, strings.HasPrefix(h.answers[stream], refusal), "%q", h.answers[stream])
				assert.Len(t, h.dials, 1)
				continue
			}
			h.say(h.up(), id, "DONE", "sheets=1", row)
			assert.Equal(t, ok+row, h.answers[stream])
			assert.Zero(t, h.pool.Used())
		}
	}
}

func TestMoreThanAResultHoldsEndsTheConnection(t *testing.T) {
	h := start(t, east("s-1"))
	h.batch("upload", 3000)
	_, id := h.batch("lookup", 3000)
	c := h.up()
	page := strings.Repeat("a\tb\tc\n", 1000)
	h.say(c, id, "DONE", "sheets=9", page)
	for n := 1; n <= mostResult/len(page); n++ {
		assert.Empty(t, h.closed())
		h.say(c, id, "MORE", "sheet="+strconv.Itoa(n), page)
	}
	assert.Equal(t, []End{BadInput}, h.closed())
	assert.Zero(t, h.pool.Used()-1, "but for the text that goes again")
}

func TestAReplyThatStopsShortEndsItsConnection(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 9000)
	c := h.up()
	h.tell(EngineBegan{c})
	h.pass(0.4)
	h.say(c, id, "TELL", "detail=done,val=0.5", "")
	h.pass(0.4)
	assert.Empty(t, h.closed(), "it became whole")
	h.tell(EngineBegan{c})
	h.pass(0.6)
	assert.Equal(t, []End{BadInput}, h.closed())
	assert.Equal(t, failure, h.answers[stream])
}

func TestAPageThatGotLostIsAskedForAgain(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 9000)
	c := h.up()
	h.say(c, id, "DONE", "sheets=3", "a\t2\t3\n")
	h.say(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	h.say(c, id, "MORE", "sheet=2", "c\t2\t3\n")
	h.pass(0.15)
	more := "more\r\n$16\r\n" + id + "\r\n$1\r\n"
	assert.Equal(t, 2, strings.Count(h.written[c], more+"1"))
	assert.Equal(t, 1, strings.Count(h.written[c], more+"2"))
	h.say(c, id, "MORE", "sheet=1", "b\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\nb\t2\t3\nc\t2\t3\n", h.answers[stream])
	assert.Zero(t, h.pool.Used())
}

// An answer on it was lost, and it stays open: a check tells whether it is of use.
func TestAConnectionThatSaysNothingMoreIsCheckedAndEnded(t *testing.T) {
	h := start(t, east("s-1"))
	h.settings.Settings.MayProbe = true
	slow, slowID := h.batch("upload", 9000)
	_, id := h.batch("lookup", 3000)
	c := h.up()
	h.say(c, id, "DONE", "sheets=2", "a\t2\t3\n")
	h.pass(0.15)
	require.NotNil(t, h.connections[c].check)
	h.say(c, h.connections[c].check.tag, "FIT", "-", "")
	assert.False(t, h.connections[c].Suspect)
	h.pass(0.25)
	assert.Contains(t, h.connections, c)
	h.pass(0.75)
	assert.Equal(t, []End{ClosedSuspect}, h.closed())
	assert.Equal(t, failure, h.answers[slow])
	assert.Equal(t, 1, h.fetches(slowID))
}

func TestBatchesShareAConnectionOnlyOnceThereAreMany(t *testing.T) {
	h := start(t, east("s-1"))
	h.spread = 3
	for range 5 {
		_, id := h.batch("lookup", 2000)
		if len(h.dials) == 1 && h.fetches(id) == 0 {
			h.up()
		}
	}
	assert.Len(t, h.dials, 3)
	h = start(t, east("s-1"))
	h.spread, h.most = 3, 3
	for range 4 {
		h.batch("lookup", 2000)
	}
	assert.Len(t, h.dials, 1, "few descriptors")
}

func (h *host) ask(client uint64, stream uint32, id string, fields ...string) {
	told := map[string]string{"c": "lookup", "i": id, "d": "2000"}
	for i := 0; i+1 < len(fields); i += 2 {
		told[fields[i]] = fields[i+1]
	}
	var all []string
	for name, value := range told {
		all = append(all, name, value)
	}
	h.tell(h.said(client, standin.Frame(clients.Ask, stream, all, "SELECT 1 FROM a_3.b")))
}

// Whoever sends what can't be used gets an error or a close, and nothing of it reaches an engine.
func TestABadClientIsToldSoAndNoEngineHearsOfIt(t *testing.T) {
	h := start(t, east("s-1"))
	open, id := h.batch("upload", 2000)
	h.tell(h.opened(2))
	h.ask(2, 101, id)
	assert.Equal(t, failure, h.answers[101], "the id of an open batch")
	h.ask(2, 102, "00000000000000bb", "d", "2000000")
	assert.Equal(t, failure, h.answers[102], "nobody waits so long")
	h.ask(2, 103, "00000000000000bc", "c", "lookups")
	assert.Equal(t, failure, h.answers[103])
	assert.NotContains(t, h.clients, uint64(2), "the third that can't be used")
	h.tell(h.opened(3))
	for n := range uint32(h.frames.MaxOpenBatches + 1) {
		delete(h.answers, 0)
		h.ask(3, n+201, fmt.Sprintf("%016x", 4000+n))
	}
	assert.NotContains(t, h.clients, uint64(3), "more than a connection carries")
	h.tell(h.opened(4))
	delete(h.answers, 0)
	h.ask(4, 301, "00000000000000cc", "c", "nobody's")
	h.ask(4, 301, "00000000000000cd")
	assert.Equal(t, failure, h.answers[0], "a number that was answered")
	for _, d := range h.dials {
		h.tell(EngineOpened{d.Connection})
	}
	assert.Equal(t, 1, h.fetches(id))
	assert.Zero(t, h.fetches("00000000000000cd"))
	assert.NotContains(t, h.answers, open)
	assert.Len(t, h.open, 1)
}

func (h *host) closedClients() map[uint64]End {
	out := map[uint64]End{}
	for _, what := range h.did {
		if c, ok := what.(CloseClient); ok {
			out[c.Client] = c.End
		}
	}
	return out
}

// A client that stood still for over two seconds within a frame lost all that was open beside it.
func TestHalfAFrameDoesNotLoseWhatIsOpenBesideIt(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("upload", 9000)
	l := h.up()
	h.tell(ClientBegan{1})
	h.pass(2.6)
	assert.Empty(t, h.closedClients(), "a batch is open there")
	h.say(l, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
	h.pass(1.5)
	assert.Equal(t, map[uint64]End{1: Silent}, h.closedClients(), "then half a frame counts again")
}

// A router that was stopped for two seconds ended a client for half a frame, whose other half and twelve batches lay unread.
func TestWhatCameDuringAStandstillIsReadBeforeClientsAreEndedForSilence(t *testing.T) {
	h := start(t, east("s-1"))
	h.pass(0.3)
	h.tell(ClientBegan{1})
	h.now += 3 // nobody ran us
	h.tell(TimerFired{})
	assert.Empty(t, h.closedClients(), "its socket has not been read since")
	h.batch("upload", 9000)
	h.pass(0.5)
	assert.Empty(t, h.closedClients())
	h = start(t, east("s-1"))
	h.pass(0.3)
	h.tell(ClientBegan{1})
	for range mostPutOff {
		h.now += 3
		h.tell(TimerFired{})
		assert.Empty(t, h.closedClients(), "stopped again before it could read")
	}
	h.now += 3
	h.tell(TimerFired{})
	assert.Equal(t, map[uint64]End{1: Silent}, h.closedClients(), "one that is always late looks in the end")
}

func TestClientsInUseWinOverSilentOnes(t *testing.T) {
	h := start(t, east("s-1"))
	h.mostClients = 4
	busy, id := h.batch("upload", 9000)
	h.tell(h.opened(2), h.opened(3))
	h.ask(2, 101, "00000000000000bb")
	h.say(h.up(), "00000000000000bb", "DONE", "sheets=1", "a\t2\t3\n")
	h.pass(0.3)
	h.tell(h.opened(4), h.opened(5))
	assert.Equal(t, map[uint64]End{3: Crowded}, h.closedClients(), "it has said nothing")
	h.tell(h.opened(6))
	assert.Equal(t, map[uint64]End{3: Crowded, 2: Crowded}, h.closedClients(), "idle: its next batch finds another")
	h.tell(ClientBegan{4})
	h.pass(2.6)
	assert.Equal(t, map[uint64]End{3: Crowded, 2: Crowded, 4: Silent, 5: Silent, 6: Silent}, h.closedClients())
	assert.Equal(t, failure, h.answers[0], "half a frame")
	h.say(h.dials[0].Connection, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[busy])
	h.pass(h.frames.IdleTimeout - 1)
	assert.Contains(t, h.clients, uint64(1))
	h.pass(2)
	assert.Empty(t, h.clients, "kept for good after its last answer")
	for n := range uint64(4) {
		h.tell(h.opened(n + 10))
	}
	next := h.settings
	next.Descriptors = 4
	h.tell(Reloaded{next})
	h.pass(0.5)
	assert.Len(t, h.clients, 2, "the bound was set lower")
}

func TestConnectionsCarrySoManyAndCloseBeforeTheEngineDoes(t *testing.T) {
	h := start(t, east("s-1"))
	_, one := h.batch("lookup", 2000)
	_, two := h.batch("lookup", 2000)
	_, three := h.batch("lookup", 2000)
	require.Len(t, h.dials, 2, "two on each")
	for _, d := range h.dials {
		h.tell(EngineOpened{d.Connection})
		for _, id := range []string{one, two, three} {
			h.say(d.Connection, id, "DONE", "sheets=1", "a\t2\t3\n")
		}
	}
	h.pass(11.9)
	assert.Empty(t, h.closed())
	h.pass(2.5)
	assert.Equal(t, []End{ClosedIdle}, h.closed()[:1])
}

func TestTheListIsAskedForUntilItIsAnswered(t *testing.T) {
	h := start(t, east("s-1"), east("s-2"))
	first := h.queries[0]
	h.pass(0.09)
	require.GreaterOrEqual(t, len(h.queries), 3, "lost answers are asked again")
	drained := east("s-1")
	drained.Draining = true
	h.tell(ListAnswered{h.queries[len(h.queries)-1], directory.List{Serial: 4, Engines: []directory.Engine{drained, east("s-3")}}})
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "the first answer counts for that")
	assert.Equal(t, brain.Draining, h.engines["s-2"].Phase, "nothing new to what is missing from it")
	h.pass(0.006)
	h.list(4, drained, east("s-3"))
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase)
	assert.Equal(t, brain.Gone, h.engines["s-2"].Phase, "gone is what a whole answer lacks")
	h.tell(ListAnswered{first, directory.List{Serial: 2, Engines: []directory.Engine{east("s-1")}}})
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "an old answer that comes late")
	for off := range uint16(3) { // numbers next to ours
		h.tell(ListAnswered{h.queries[len(h.queries)-1] + off - 1, directory.List{Serial: 9}})
	}
	assert.Equal(t, brain.Draining, h.engines["s-1"].Phase, "an answer to nobody's question")
	for range 3 {
		h.batch("lookup", 2000)
	}
	for _, d := range h.dials {
		assert.Equal(t, "s-3", h.connections[d.Connection].engine.name, "nothing new where it drains")
	}
}

// What the module has learned of an engine, and what it sent to it cold, must not be lost with a flapping list.
func TestAnEngineThatComesBackIsTheSameOne(t *testing.T) {
	h := start(t, east("s-1"))
	first := h.engines["s-1"]
	h.list(2)
	stream, _ := h.batch("lookup", 2000)
	assert.Empty(t, h.dials)
	h.pass(0.11)
	h.list(3, east("s-1"))
	assert.Same(t, first, h.engines["s-1"])
	h.pass(0.1)
	require.Len(t, h.dials, 1)
	h.say(h.up(), "00000000000000f1", "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
}

func TestADialThatNeverEndsIsGivenUp(t *testing.T) {
	h := start(t, east("s-1"), east("s-2"))
	_, id := h.batch("upload", 5000)
	lost := h.dials[0].Connection
	h.pass(0.3)
	require.Len(t, h.dials, 2, "it never ran, so a once-only batch goes on")
	h.tell(EngineOpened{lost})
	assert.Zero(t, h.fetches(id), "nothing is written where it came up too late")
	h.up()
	assert.Equal(t, 1, h.fetches(id))
	assert.Zero(t, h.dialing)
}

func TestBeyondItsMemoryTheRouterPushesBack(t *testing.T) {
	h := start(t)
	h.settings.MemoryMB = 1
	refused, n := 0, 0
	for ; n < 100; n++ {
		if n%h.frames.MaxOpenBatches == 0 {
			h.tell(h.opened(uint64(n/h.frames.MaxOpenBatches) + 2))
		}
		stream := uint32(n + 1)
		h.ask(uint64(n/h.frames.MaxOpenBatches)+2, stream, fmt.Sprintf("%016x", n+1))
		if h.answers[stream] != "" {
			refused++
			assert.Equal(t, refusal+"\x01\x01w\x03\x00500", h.answers[stream], "it says when to come back")
		}
	}
	assert.Positive(t, refused)
	assert.Less(t, refused, n)
}

func TestWhatIsOverLeavesNoTimer(t *testing.T) {
	h := start(t, east("s-1"))
	_, id := h.batch("lookup", 2000)
	c := h.up()
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	for _, one := range h.timers {
		_, left := one.what.(*dispatch)
		assert.False(t, left)
	}
}

func TestAnAddressMayBeAnothersNext(t *testing.T) {
	h := start(t, east("s-1"))
	_, id := h.batch("lookup", 2000)
	c := h.up()
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	h.list(2, east("s-2"))
	assert.Equal(t, []End{LeftAddress}, h.closed())
	h.batch("lookup", 2000)
	require.Len(t, h.dials, 2, "the old connection is not the new engine's")
	h.tell(ListAnswered{h.queries[0], directory.List{Serial: 3}})
	h.pass(0.11)
	h.list(3)
	assert.Equal(t, []End{LeftAddress, LeftAddress}, h.closed(), "a dial to the old engine must not reach its successor")
	h.tell(EngineOpened{h.dials[1].Connection})
	assert.Empty(t, h.written[h.dials[1].Connection])
}

func TestEnginesThatAreGoneForLongAreForgotten(t *testing.T) {
	h := start(t, east("s-1"))
	_, id := h.batch("lookup", 4000)
	c := h.up()
	for n := range uint32(50) {
		h.pass(0.11)
		h.list(n+2, east("s-"+strconv.Itoa(int(n)+2)))
	}
	assert.Len(t, h.engines, 51, "one that flaps is the same one")
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	h.pass(keepGone + 1)
	assert.Len(t, h.engines, 1)
	assert.Len(t, h.byBrain, 1)
	assert.Less(t, len(h.timers), 5)
}

// A reload moves the name service. Its number goes on: an older list stays older, and old answers are nobody's.
func TestAReloadMovesTheNameServiceAndDropsNothing(t *testing.T) {
	h := start(t, east("s-1"))
	stream, id := h.batch("lookup", 3000)
	c := h.up()
	before := h.queries[len(h.queries)-1]
	next := h.settings
	next.Resolver, next.Descriptors, next.Known = "127.0.0.1:3", 256, directory.List{Serial: 1}
	h.tell(Reloaded{next})
	assert.Contains(t, h.did, AskAt{"127.0.0.1:3"})
	assert.Contains(t, h.did, Bound{0, 256})
	assert.Equal(t, 256/2-spareDescriptors, h.most)
	after := h.queries[len(h.queries)-1]
	assert.NotEqual(t, before, after, "it is asked at once")
	h.tell(ListAnswered{before, directory.List{Serial: 7}})
	assert.Equal(t, brain.Ready, h.engines["s-1"].Phase, "the old address's word")
	h.tell(ListAnswered{after, directory.List{Serial: 2, Engines: []directory.Engine{east("s-1"), east("s-2")}}})
	h.pass(0.006)
	h.list(2, east("s-1"), east("s-2"))
	assert.Contains(t, h.engines, "s-2")
	h.tell(Reloaded{next}, Reloaded{next})
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[stream])
}

func TestAtTheLimitOfDescriptorsBatchesStillEndWell(t *testing.T) {
	h := start(t, east("s-1"))
	h.most = 2
	h.batch("lookup", 2000)
	h.batch("lookup", 2000)
	stream, _ := h.batch("lookup", 2000)
	require.Len(t, h.dials, 1)
	h.pass(2)
	assert.Equal(t, refusal, h.answers[stream][:1])
}

func TestAStopTakesAndAnswersAllThatStillComes(t *testing.T) {
	h := start(t, east("s-1"))
	early, id := h.batch("lookup", 2000)
	c := h.up()
	h.tell(StopAsked{})
	h.tell(ClientSaid{1, traffic.ReadinessQuery{Stream: 99}})
	h.pass(0.5)
	late, _ := h.batch("lookup", 2000)
	h.say(c, id, "DONE", "sheets=1", "a\t2\t3\n")
	assert.Equal(t, ok+"a\t2\t3\n", h.answers[early])
	stuck, _ := h.batch("upload", 9000)
	h.pass(2.0)
	assert.Contains(t, h.answers, late)
	assert.False(t, h.exited(), "one is still out")
	h.pass(1)
	assert.Equal(t, failure, h.answers[stuck], "before the kill")
	assert.True(t, h.exited())
}

func TestAQuietRouterStopsOnceNothingMoreCanCome(t *testing.T) {
	h := start(t, east("s-1"))
	h.tell(StopAsked{})
	h.pass(0.6)
	assert.False(t, h.exited())
	h.pass(0.3)
	assert.True(t, h.exited())
}

func TestAProbeBringsTheEnginesReport(t *testing.T) {
	h := start(t, east("s-1"))
	h.tell()
	p := func() *probe {
		h.probe(h.engines["s-1"])
		return h.connections[h.numbers].Opens()[0].(*probe)
	}()
	h.speaks[p.line.Number] = engines.Session{}
	h.tell(EngineOpened{p.line.Number})
	assert.Contains(t, h.written[p.line.Number], "stats\r\n")
	h.say(p.line.Number, p.tag, "FIT", "use=queue:3;x0:0.25", "")
	assert.True(t, p.ended)
}
