package loop_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// batchOrder returns the ids of the batches that the router has accepted, in order.
func (l logLines) batchOrder() (ids []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, line := range l.lines {
		if _, rest, is := strings.Cut(line, "batch map["); is && strings.HasPrefix(line, "batch map") {
			_, id, _ := strings.Cut(rest, "id:")
			ids = append(ids, strings.Fields(id)[0])
		}
	}
	return ids
}

// A client that has sent much must not hold up the others: messages of all clients are processed in turns. All that lay in its
// connection was processed first, and at full speed that never ended.
func TestClientsAreServedInTurns(t *testing.T) {
	e := startEngine(t, nil)
	p := startRouter(t, 1024, nil, listed("s-0", e))
	p.nameService.Set(host("s-0", e))
	busy, usual, other := p.client(), p.client(), p.client()
	paused, resume := p.log.pauseAt("f9 left:")
	defer resume()
	require.NoError(t, other.SendBatch(1, "lookup", "00000000000000f9", clientWait, "SELECT 1"))
	<-paused
	const many = 30
	var frames []byte
	for i := range uint32(many) {
		frames = append(frames, standin.EncodeFrame(clients.FrameBatch, i+1, []string{"c", "lookup", "i", fmt.Sprintf("%016x", i+1), "d", "5000"}, "SELECT 1")...)
	}
	_, err := busy.Write(frames)
	require.NoError(t, err)
	require.NoError(t, usual.SendBatch(1, "lookup", "00000000000000fa", clientWait, "SELECT 1"))
	resume()
	assert.Equal(t, uint8(clients.CodeSucceeded), p.nextAnswer(usual).Code)
	for range many {
		p.nextAnswer(busy)
	}
	order := p.log.batchOrder()
	require.Len(t, order, many+2)
	assert.LessOrEqual(t, slices.Index(order, "00000000000000fa"), 1+2*4, "%s", order)
}

// A turn was a number of messages, whatever their size: four large ones of each busy client came before the second turn of a usual
// one. Large messages must take the turns of the client that sends them.
func TestLargeMessagesTakeSeveralTurns(t *testing.T) {
	e := startEngine(t, nil)
	p := startRouter(t, 1024, nil, listed("s-0", e))
	p.nameService.Set(host("s-0", e))
	const busyClients, largeRequests, smallRequests = 6, 4, 8
	usual, other := p.client(), p.client()
	var busy []*standin.Client
	for range busyClients {
		busy = append(busy, p.client())
	}
	for i, c := range append(busy, usual) { // once a client is answered, its connection has been accepted
		require.NoError(t, c.SendBatch(1, "lookup", fmt.Sprintf("%016x", 0x3000+i), clientWait, "SELECT 1"))
		p.nextAnswer(c)
	}
	paused, resume := p.log.pauseAt("f9 left:")
	defer resume()
	require.NoError(t, other.SendBatch(1, "lookup", "00000000000000f9", clientWait, "SELECT 1"))
	<-paused
	request := func(stream uint32, id int, text string) []byte {
		return standin.EncodeFrame(clients.FrameBatch, stream, []string{"c", "lookup", "i", fmt.Sprintf("%016x", id), "d", "5000"}, text)
	}
	for i, c := range busy {
		var frames []byte
		for n := range uint32(largeRequests) {
			frames = append(frames, request(n+2, 0x1000+10*i+int(n), "SELECT 1"+strings.Repeat(" ", 30_000))...)
		}
		_, err := c.Write(frames)
		require.NoError(t, err)
	}
	var frames []byte
	for n := range uint32(smallRequests) {
		frames = append(frames, request(n+2, 0x2000+int(n), "SELECT 1")...)
	}
	_, err := usual.Write(frames)
	require.NoError(t, err)
	resume()
	p.answerCodes(usual, smallRequests)
	for _, c := range busy {
		p.answerCodes(c, largeRequests)
	}
	order := p.log.batchOrder()
	order = order[slices.Index(order, "00000000000000f9")+1:]
	require.Len(t, order, busyClients*largeRequests+smallRequests)
	last := slices.Index(order, fmt.Sprintf("%016x", 0x2000+smallRequests-1))
	assert.Less(t, last, busyClients+smallRequests, "one large message of each busy client may come before: %s", order)
}
