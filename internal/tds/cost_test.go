package tds

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

const (
	largestChars = maxMessageSize/2 - 100 // characters of the largest message, headers left out
	sizeFactor   = 16                     // between the sizes that are compared
	// growthLimit is how much more a byte of the largest message may cost than one of a message sizeFactor times smaller: 1 if the
	// cost follows the size, sizeFactor if it follows the square of it.
	growthLimit = 4
	costRuns    = 5 // the cheapest counts, since others include garbage collection
)

// request is a message of a client.
type request struct {
	packetType byte
	payload    []byte
}

// batchRequest returns a SQL batch.
func batchRequest(text string) request {
	return request{packetBatch, appendUTF16(appendAllHeaders(nil), text)}
}

// rpcCall returns an RPC request that calls a procedure by its number.
func rpcCall(procedure int, parameters ...rows.Parameter) request {
	out := appendU16(appendU16(appendU16(appendAllHeaders(nil), nullLength), procedure), 0)
	for _, p := range parameters {
		out = append(appendBVarChar(out, p.Name), 0)
		out = appendValue(appendType(out, p.Type), p.Type, p.Value)
	}
	return request{packetRPC, out}
}

// repeat returns a text of about this many characters: head, then part as often as there is room, then tail.
func repeat(chars int, head, part, tail string) string {
	return head + strings.Repeat(part, (chars-len(head)-len(tail))/len(part)) + tail
}

// statements are kinds of statements with many tokens, each as a text of about this many characters.
var statements = map[string]func(chars int) string{
	"SET of many options":       func(chars int) string { return repeat(chars, "SET A", ",A", " ON") },
	"many SETs of one option":   func(chars int) string { return repeat(chars, "", "SET A 1;", "") },
	"many SETs without an end":  func(chars int) string { return repeat(chars, "", "SET A 1 ", "") },
	"many USEs":                 func(chars int) string { return repeat(chars, "", "USE a ", "") },
	"server values":             func(chars int) string { return repeat(chars, "SELECT 1", ",1", "") },
	"names of the session":      func(chars int) string { return repeat(chars, "SELECT APP_NAME()", ",DB_NAME()", "") },
	"single characters":         func(chars int) string { return repeat(chars, "", ",", "") },
	"short words in lower case": func(chars int) string { return repeat(chars, "", "a ", "") },
	"one word":                  func(chars int) string { return repeat(chars, "", "a", "") },
	"signs that may be comments": func(chars int) string {
		return repeat(chars, "", "-/ ", "")
	},
	"open comments":       func(chars int) string { return repeat(chars, "", "/*", "") },
	"empty comments":      func(chars int) string { return repeat(chars, "", "/**/", "") },
	"quotes":              func(chars int) string { return repeat(chars, "", "'", "") },
	"closed brackets":     func(chars int) string { return repeat(chars, "[", "]", "") },
	"cursors":             func(chars int) string { return repeat(chars, "", "DECLARE CURSORS ", "") },
	"ends of transaction": func(chars int) string { return repeat(chars, "x ", "commit a ", "") },
	"a long server value": func(chars int) string { return repeat(chars, "SELECT 1", "1 ", "") },
	"semicolons":          func(chars int) string { return repeat(chars, "SELECT 1", ";", "") },
	"a leading comment":   func(chars int) string { return repeat(chars, "/* pitchfield ", "a=b ", "*/ SELECT") },
}

// threadTime returns the processor time that the calling thread has used.
func threadTime(t *testing.T) time.Duration {
	var now unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now))
	return time.Duration(now.Nano())
}

// readCost returns the processor time that a session takes to read the last of some requests.
func readCost(t *testing.T, requests ...request) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	lowest := time.Duration(1<<63 - 1)
	for range costRuns {
		pair := newPair(t).login()
		pair.session.server.Databases = nil // any
		in, out := pair.pool.Chain(), pair.pool.Chain()
		for _, r := range requests {
			pair.session.pending = false
			out.Release()
			writeMessage(in, r.packetType, 0, defaultPacketSize, append([]byte{}, r.payload...))
			begin := threadTime(t)
			_, err := pair.session.Read(in, out)
			took := threadTime(t) - begin
			require.NoError(t, err)
			if in.Len() == 0 && &r.payload[0] == &requests[len(requests)-1].payload[0] {
				lowest = min(lowest, took)
			}
		}
	}
	return lowest
}

// assertCostFollowsSize checks that the largest message of a kind costs about as much a byte as a smaller one. make returns
// the message of about this many characters.
func assertCostFollowsSize(t *testing.T, name string, make func(chars int) request) {
	small, large := readCost(t, make(largestChars/sizeFactor)), readCost(t, make(largestChars))
	t.Logf("%-40s %10s, %d times as large %10s", name, small, sizeFactor, large)
	assert.Less(t, large, growthLimit*sizeFactor*small, name)
}

// allocated returns how many bytes are allocated while f runs.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A SET statement of many options held the event loop for the square of their number: 0.8 s for one of 240 KB.
func TestCostOfAStatementFollowsItsSize(t *testing.T) {
	for name, text := range statements {
		assertCostFollowsSize(t, name, func(chars int) request { return batchRequest(text(chars)) })
	}
}

// All tokens of a statement were kept: 28 times the size of one with short tokens, and most of the time that it took.
func TestReadingAStatementKeepsNoTokens(t *testing.T) {
	const allowed = 12 // times the size of the message, of which 5 are copies of it
	for name, text := range statements {
		r := batchRequest(text(largestChars))
		pair := newPair(t).login()
		pair.session.server.Databases = nil // any
		in, out := pair.pool.Chain(), pair.pool.Chain()
		size := uint64(len(r.payload))
		writeMessage(in, r.packetType, 0, defaultPacketSize, r.payload)
		bytes := allocated(func() { pair.session.Read(in, out) }) //nolint:errcheck
		t.Logf("%-30s %.1f times its size", name, float64(bytes)/float64(size))
		assert.Less(t, bytes, allowed*size, name)
	}
}

// The name of a USE was kept whatever its length: 240 KB went before each later statement of the session, however small, and into
// each DB_NAME() that one asked for.
func TestLongNameOfADatabaseIsRefused(t *testing.T) {
	pair := newPair(t).login()
	pair.session.server.Databases = nil // any
	send := func(text string) {
		pair.replies, pair.events = nil, nil
		pair.engine.beginRequest("q", false)
		r := batchRequest(text)
		writeMessage(pair.toSession, r.packetType, 0, defaultPacketSize, r.payload)
		pair.run()
		require.NoError(t, pair.sessionErr)
	}
	longest := strings.Repeat("ä", maxDatabaseName)
	send("USE " + longest)
	_, last := pair.result()
	assert.Equal(t, traffic.ReplyComplete, last.Kind)
	send("USE " + strings.Repeat("a", largestChars-10))
	_, last = pair.result()
	assert.Equal(t, traffic.ReplyFailed, last.Kind)
	assert.Contains(t, last.Reason, "too long")
	send("SELECT a FROM x_1.b")
	require.Len(t, pair.events, 1)
	batch, is := pair.events[0].(*traffic.BatchRequest)
	require.True(t, is)
	assert.Equal(t, "USE ["+longest+"]; ", batch.Batch.SessionSetup, "the database in use stays")
}

// Answers that the session gives by itself grew with the statement: a list of server values or USEs of 240 KB was answered with up
// to 2.3 MB, and took up to 66 ms.
func TestAnswerOfTheSessionIsNotLargerThanItsRequest(t *testing.T) {
	for name, text := range statements {
		r := batchRequest(text(largestChars))
		pair := newPair(t).login()
		pair.session.server.Databases = nil // any
		in, out := pair.pool.Chain(), pair.pool.Chain()
		size := len(r.payload)
		writeMessage(in, r.packetType, 0, defaultPacketSize, r.payload)
		_, err := pair.session.Read(in, out)
		require.NoError(t, err)
		assert.LessOrEqual(t, out.Len(), size, name)
	}
}

// shortBit returns a parameter of the smallest size.
func shortBit(name string) rows.Parameter {
	return rows.Parameter{Column: rows.Column{Name: name, Type: rows.Type{Kind: rows.Bit}}, Value: []byte{1}}
}

// textParameter returns a parameter without a name that is a text.
func textParameter(text string) rows.Parameter {
	return rows.Parameter{Column: rows.Column{Type: rows.Type{Kind: rows.Text}}, Value: []byte(text)}
}

// callWithParameters returns a call of sp_executesql of about this many characters: with as many values as a call may have if it is
// of the largest size, and with this many declared names to a value, the last of which have the values.
func callWithParameters(chars, namesPerValue int) request {
	values := (maxParameters - 2) * chars / largestChars
	names := values * namesPerValue
	var declaration strings.Builder
	for i := range names {
		fmt.Fprintf(&declaration, "@%x,", i)
	}
	parameters := []rows.Parameter{textParameter("SELECT 1"), textParameter(declaration.String())}
	for i := range values {
		parameters = append(parameters, shortBit(fmt.Sprintf("@%x", names-values+i)))
	}
	return rpcCall(procExecuteSQL, parameters...)
}

// Each value of a call was compared with each declared name: 2,100 values and 15,000 names took the event loop 0.2 s.
func TestCostOfACallFollowsItsSize(t *testing.T) {
	assertCostFollowsSize(t, "values and far more declared names", func(chars int) request { return callWithParameters(chars, 7) })
	assertCostFollowsSize(t, "values and as many declared names", func(chars int) request { return callWithParameters(chars, 1) })
	assertCostFollowsSize(t, "a name that stands many times in the text", func(chars int) request {
		return rpcCall(procExecuteSQL, textParameter(repeat(chars-100, "", "@a*", "")), textParameter("@a bit"), shortBit(""))
	})
	assertCostFollowsSize(t, "a text of quotes", func(chars int) request {
		return rpcCall(procExecuteSQL, textParameter("SELECT @a"), textParameter("@a int"), textParameter(repeat(chars-100, "", "'", "")))
	})
}

// A call of 40 bytes that runs a prepared statement searched all of its text, up to 128 KB, for what the router does not support.
func TestCostOfAPreparedStatementIsPaidOnce(t *testing.T) {
	number := func(n uint32) rows.Parameter {
		return rows.Parameter{Column: rows.Column{Type: rows.Type{Kind: rows.Int32}}, Value: appendU32(nil, n)}
	}
	for _, end := range []string{"", " COMMIT TRAN"} {
		text := repeat(largestChars-200, "SELECT ", ",", end)
		prepare := rpcCall(procPrepare, number(0), textParameter(""), textParameter(text))
		execute := rpcCall(procExecute, number(1))
		whenPrepared, whenExecuted := readCost(t, prepare), readCost(t, prepare, execute)
		t.Logf("prepare %s, execute %s", whenPrepared, whenExecuted)
		assert.Less(t, 4*whenExecuted, whenPrepared, "%q", end)
	}
}

// rowCost returns the processor time that a connection to an engine takes to read one row of this many columns, which comes packet
// by packet.
func rowCost(t *testing.T, columnCount int) time.Duration {
	columns, row := make([]rows.Column, columnCount), make([][]byte, columnCount)
	for i := range columns {
		columns[i] = rows.Column{Name: "a", Type: rows.Type{Kind: rows.Text}}
		row[i] = []byte(strings.Repeat("a", 200))
	}
	response := appendDone(appendRow(appendColMetadata(nil, columns), columns, row), tokenDone, doneCount, 1)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	lowest := time.Duration(1<<63 - 1)
	pair := newPair(t).login()
	pair.pool.MaxFree = 2 * len(response) / buffers.Size // so that later runs need no new memory
	for range 2 * costRuns {
		pair.engine.beginRequest("q", false)
		all, in, out := pair.pool.Chain(), pair.pool.Chain(), pair.pool.Chain()
		writeMessage(all, packetTabularResult, 0, defaultPacketSize, append([]byte{}, response...))
		last, took := traffic.ReplyUnknown, time.Duration(0)
		for all.Len() > 0 {
			packet := all.Cut(defaultPacketSize)
			in.Append(packet)
			packet.Release()
			begin := threadTime(t)
			for reply, err := pair.engine.Read(in, out); reply != nil || err != nil; reply, err = pair.engine.Read(in, out) {
				require.NoError(t, err)
				last = reply.Kind
				reply.Rows.Release()
			}
			took += threadTime(t) - begin
		}
		require.Equal(t, traffic.ReplyComplete, last)
		lowest = min(lowest, took)
	}
	return lowest
}

// A row that came in several packets was converted anew with each of them: 141 ms of the event loop for one of 530 KB.
func TestCostOfARowFollowsItsSize(t *testing.T) {
	small, large := rowCost(t, maxColumns/sizeFactor), rowCost(t, maxColumns)
	t.Logf("%s, %d times as large %s", small, sizeFactor, large)
	assert.Less(t, large, growthLimit*sizeFactor*small)
}
