package loop_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// maxFrameBytes is the size of the largest frame.
const maxFrameBytes = 262_144 + 4

// unsentBytes returns how many bytes that were written to a connection its peer's machine has not received yet.
func unsentBytes(t *testing.T, c net.Conn) (n int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	}))
	require.NoError(t, err)
	return n
}

// sendPartialFrames opens connections and writes the first bytes of a frame on each, and returns once the router has read them:
// it answers a query that was sent on another connection after them.
func (p *testRouter) sendPartialFrames(connections, bytes int) (opened []*standin.Client) {
	p.t.Helper()
	frame := standin.EncodeFrame(clients.FrameBatch, 1, []string{}, strings.Repeat("x", maxFrameBytes-14))
	for range connections {
		c := p.client()
		_, err := c.Write(frame[:bytes])
		require.NoError(p.t, err)
		opened = append(opened, c)
	}
	for _, c := range opened {
		require.Eventually(p.t, func() bool { return unsentBytes(p.t, c.Conn) == 0 }, waitLimit, time.Millisecond)
	}
	p.queryReadiness()
	return opened
}

// queryReadiness asks the router on a connection of its own whether it is ready, and waits for the answer. The router has read by
// then what had arrived on other connections before.
func (p *testRouter) queryReadiness() {
	p.t.Helper()
	c := p.client()
	_, err := c.Write(standin.EncodeFrame(clients.FrameReadinessQuery, 1, []string{}, ""))
	require.NoError(p.t, err)
	require.Equal(p.t, uint8(clients.FrameReadiness), p.next(c).Type)
	require.NoError(p.t, c.Close())
}

// Other clients' endless messages fill the memory for messages when a usual client writes a large batch. The router then reset the
// connection that it had just read from, with the requests that were open on it; they never got an answer.
func TestMemoryPressureLosesNoOpenRequest(t *testing.T) {
	const (
		memoryMB    = 32
		endless     = 46 // connections; their messages and the large batch together pass 0.35 of the memory, by themselves they don't
		endlessSize = 250_000
		largeBatch  = 160_000
	)
	hold := make(chan struct{})
	e := startEngine(t, func(r standin.Request) [][]string { <-hold; return standin.ToyAnswer(r) })
	p := startRouterWithMemory(t, memoryMB, 512, nil, listed("s-0", e))
	p.nameService.Set(host("s-0", e))
	c := p.client()
	require.NoError(t, c.SendBatch(1, "once", "00000000000000f1", clientWait, "SELECT 1"))
	require.Eventually(t, func() bool { return len(e.Requests("fetch")) == 1 }, waitLimit, time.Millisecond)

	p.sendPartialFrames(endless, endlessSize)
	require.NoError(t, c.SendBatch(2, "once", "00000000000000f2", clientWait, "SELECT 1 --"+strings.Repeat("x", largeBatch)))
	require.NoError(t, c.SendBatch(3, "once", "00000000000000f3", clientWait, "SELECT 1"))
	p.queryReadiness()
	close(hold)
	assert.Equal(t, map[uint32]uint8{1: clients.CodeSucceeded, 2: clients.CodeSucceeded, 3: clients.CodeSucceeded}, p.answerCodes(c, 3))
	p.log.waitFor(t, "incomplete message is dropped")
}

// A batch that is dropped as it arrives is rejected once it is complete, and its connection goes on.
func TestDroppedBatchIsRejectedAndItsConnectionGoesOn(t *testing.T) {
	const endless, endlessSize = 46, 250_000
	e := startEngine(t, nil)
	p := startRouterWithMemory(t, 32, 512, nil, listed("s-0", e))
	p.nameService.Set(host("s-0", e))
	slow := p.client()
	large := standin.EncodeFrame(clients.FrameBatch, 1, []string{"c", "once", "i", "00000000000000f1", "d", "6000"}, strings.Repeat("x", endlessSize))
	_, err := slow.Write(large[:endlessSize]) // the oldest incomplete message, so it is dropped first
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unsentBytes(t, slow.Conn) == 0 }, waitLimit, time.Millisecond)
	p.queryReadiness()
	p.sendPartialFrames(endless, endlessSize)
	p.log.waitFor(t, "incomplete message is dropped")

	_, err = slow.Write(large[endlessSize:])
	require.NoError(t, err)
	require.NoError(t, slow.SendBatch(2, "once", "00000000000000f2", clientWait, "SELECT 1"))
	assert.Equal(t, map[uint32]uint8{1: clients.CodeRejected, 2: clients.CodeSucceeded}, p.answerCodes(slow, 2))
	assert.Len(t, e.Requests("fetch"), 1, "nothing of the dropped batch is sent")
}
