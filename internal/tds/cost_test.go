package tds

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pitchfield/internal/rows"
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

// A SET statement of many options held the event loop for the square of their number: 0.8 s for one of 240 KB.
func TestCostOfASetStatementFollowsItsSize(t *testing.T) {
	assertCostFollowsSize(t, "SET of many options", func(chars int) request { return batchRequest(repeat(chars, "SET A", ",A", " ON")) })
}
