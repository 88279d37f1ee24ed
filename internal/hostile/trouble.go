package hostile

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// Trouble is a kind of client that causes trouble.
type Trouble struct {
	Name    string
	Clients int // how many at once
	// write sends what one connection has to say, until the connection or the play's time is over.
	write func(ctx context.Context, p *play, c *standin.Client, random *rand.Rand)
	// unread: the client reads no answers.
	unread bool
	// act does something else than to send; nil: it sends.
	act func(ctx context.Context, p *play, random *rand.Rand)
}

// Troubles are all kinds, by the picture that operators report: many small messages at full speed; slow, stopped and unsound
// requests; clients that leave much unread.
var Troubles = []*Trouble{
	{Name: "checks", Clients: 6, write: atFullSpeed(manyChecks)},
	{Name: "checks-unread", Clients: 6, write: atFullSpeed(manyChecks), unread: true},
	{Name: "cancels", Clients: 6, write: atFullSpeed(manyCancels)},
	{Name: "names-taken-back", Clients: 8, write: atFullSpeed(namesTakenBack)},
	{Name: "unknown-names", Clients: 8, write: atFullSpeed(unknownNames)},
	{Name: "unsound", Clients: 8, write: unsoundFrame},
	{Name: "many-requests", Clients: 8, write: manyRequests},
	{Name: "largest-requests", Clients: 60, write: largestRequests},
	{Name: "slow-writers", Clients: 300, write: slowWriter},
	{Name: "stopped-half-way", Clients: 300, write: stoppedHalfWay},
	{Name: "short-fields", Clients: 110, write: shortFields},
	{Name: "short-fields-stopped", Clients: 300, write: shortFieldsStopped},
	{Name: "slow-and-stopped", Clients: 330, write: slowAndStopped},
	{Name: "leaves-unread", Clients: 4, write: leavesUnread, unread: true},
	{Name: "comes-again", Clients: 4, write: comesAgain, unread: true},
	{Name: "engines-replaced", Clients: 1, act: enginesReplaced},
}

// Find returns the trouble with a name; nil: there is none.
func Find(name string) *Trouble {
	i := slices.IndexFunc(Troubles, func(t *Trouble) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return Troubles[i]
}

const (
	reconnectPause = 20 * time.Millisecond
	writeTimeout   = 5 * time.Second
	troubleLimit   = 3000 // milliseconds that a request of these clients has
	messagesAtOnce = 500  // that a client writes in one piece
	maxFrameBytes  = 262144
)

// play connects again and again and writes, until the play's time is over.
func (t *Trouble) play(ctx context.Context, p *play, random *rand.Rand) {
	if t.act != nil {
		t.act(ctx, p, random)
		return
	}
	for ctx.Err() == nil && !p.hasEnded() {
		c, err := standin.Dial(p.address)
		if err != nil {
			pause(ctx, reconnectPause)
			continue
		}
		p.mutex.Lock()
		p.result.Reconnects++
		p.mutex.Unlock()
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) }) //nolint:errcheck
		if !t.unread {
			go io.Copy(io.Discard, c) //nolint:errcheck // ends with the connection
		}
		t.write(ctx, p, c, random)
		stop()
		c.Close()
	}
}

// countTrouble counts requests of the clients that cause trouble.
func (p *play) countTrouble(n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.result.TroubleRequests += n
}

// send writes bytes and reports whether that succeeded.
func send(c *standin.Client, b []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck
	_, err := c.Write(b)
	return err == nil
}

// atFullSpeed writes pieces, each with many messages, as fast as the connection takes them.
func atFullSpeed(piece func(random *rand.Rand, stream *uint32) []byte) func(context.Context, *play, *standin.Client, *rand.Rand) {
	return func(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
		stream := uint32(0)
		for ctx.Err() == nil && send(c, piece(random, &stream)) {
			p.countTrouble(messagesAtOnce)
		}
	}
}

// readinessQuery returns the frame that asks whether the router is ready.
func readinessQuery(stream uint32) []byte {
	return standin.EncodeFrame(clients.FrameReadinessQuery, stream, []string{}, "")
}

func manyChecks(_ *rand.Rand, stream *uint32) (out []byte) {
	for range messagesAtOnce {
		*stream++
		out = append(out, readinessQuery(*stream)...)
	}
	return out
}

func manyCancels(_ *rand.Rand, stream *uint32) (out []byte) {
	for range messagesAtOnce {
		*stream++
		out = append(out, standin.EncodeFrame(clients.FrameCancel, *stream, nil, "")...)
	}
	return out
}

// request returns the frame of a request under these names.
func request(stream uint32, group, id string, fields ...string) []byte {
	all := append([]string{"c", group, "i", id, "d", fmt.Sprint(troubleLimit), "h", "20"}, fields...)
	return standin.EncodeFrame(clients.FrameBatch, stream, all, "SELECT 1 FROM sales_7.orders")
}

// namesTakenBack are requests under ever new ids, order keys and tenants, each cancelled at once.
func namesTakenBack(random *rand.Rand, stream *uint32) (out []byte) {
	for range messagesAtOnce {
		*stream++
		id := randomID(random)
		out = append(out, request(*stream, "upload", id, "k", id+id, "o", id, "t", id)...)
		out = append(out, standin.EncodeFrame(clients.FrameCancel, *stream, nil, "")...)
	}
	return out
}

// unknownNames are requests of groups that there are not, under ever new names.
func unknownNames(random *rand.Rand, stream *uint32) (out []byte) {
	for range messagesAtOnce {
		*stream++
		out = append(out, request(*stream, "no-"+randomID(random), randomID(random))...)
	}
	return out
}

// unsoundFrame writes a frame that can't be read, of one of several kinds.
func unsoundFrame(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	header := make([]byte, 9)
	length := []uint32{0, 4, 60 << 20, 0xffffffff, 10}[random.IntN(5)]
	binary.LittleEndian.PutUint32(header, length)
	header[4] = byte(random.UintN(256))
	p.countTrouble(1)
	for send(c, header) && ctx.Err() == nil {
		header = make([]byte, 64<<10)
	}
}

// manyRequests keeps as many requests open as a connection may have.
func manyRequests(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	const mostOpen = 32
	stream := uint32(0)
	for ctx.Err() == nil {
		var piece []byte
		for range mostOpen / 2 {
			stream++
			piece = append(piece, request(stream, "lookup", randomID(random))...)
		}
		if !send(c, piece) {
			return
		}
		p.countTrouble(mostOpen / 2)
		pause(ctx, time.Millisecond)
	}
}

// largeRequest returns the frame of a request with the largest text.
func largeRequest(random *rand.Rand) []byte {
	frame := request(1, "lookup", randomID(random))
	frame = append(frame, make([]byte, maxFrameBytes-len(frame))...)
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame
}

// largestRequests writes one of the largest requests after the other, with a statement of very many words.
func largestRequests(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	const pace = 10 * time.Millisecond
	words := strings.Repeat("x ", maxFrameBytes/2-100)
	for stream := uint32(1); ctx.Err() == nil; stream++ {
		fields := []string{"c", "lookup", "i", randomID(random), "d", fmt.Sprint(troubleLimit)}
		if !send(c, standin.EncodeFrame(clients.FrameBatch, stream, fields, words)) {
			return
		}
		p.countTrouble(1)
		pause(ctx, pace)
	}
}

// slowWriter writes a large request in small pieces.
func slowWriter(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	p.countTrouble(1)
	const pieces = 40
	for piece := range slices.Chunk(largeRequest(random), maxFrameBytes/pieces) {
		if ctx.Err() != nil || !send(c, piece) {
			return
		}
		pause(ctx, time.Duration(random.Int64N(int64(100*time.Millisecond))))
	}
}

// stoppedHalfWay writes part of a large request and nothing more.
func stoppedHalfWay(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	p.countTrouble(1)
	frame := largeRequest(random)
	if send(c, frame[:len(frame)/4+random.IntN(len(frame)*3/4)]) {
		pause(ctx, time.Second)
	}
}

// manyFields returns the frame of a request whose head has this many very short fields. The text fills the frame.
func manyFields(random *rand.Rand, stream uint32, count int) []byte {
	fields := []string{"c", "lookup", "i", randomID(random), "d", fmt.Sprint(troubleLimit)}
	for i := len(fields) / 2; i < count; i++ {
		fields = append(fields, string([]byte{byte('A' + i%60), byte('A' + i/60)}), "")
	}
	return standin.EncodeFrame(clients.FrameBatch, stream, fields, "SELECT 1 FROM sales_7.orders")
}

// shortFields writes requests whose heads have as many fields as a head may have, and then one with as many as it can count.
func shortFields(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	const mostFields, mostCounted, requests = 64, 255, 20
	var frames []byte
	for i := range uint32(requests) {
		frames = append(frames, manyFields(random, i+1, mostFields)...)
	}
	p.countTrouble(requests + 1)
	if send(c, append(frames, manyFields(random, requests+1, mostCounted)...)) {
		pause(ctx, time.Duration(random.Int64N(int64(200*time.Millisecond))))
	}
}

// shortFieldsStopped writes the head of a large request with very many short fields, most of its text, and stops.
func shortFieldsStopped(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	p.countTrouble(1)
	frame := append(manyFields(random, 1, 64), strings.Repeat(" ", maxFrameBytes/2)...)
	binary.LittleEndian.PutUint32(frame, maxFrameBytes-4)
	if send(c, frame) {
		pause(ctx, time.Second)
	}
}

// slowAndStopped writes one of the kinds of requests that take memory while they are incomplete.
func slowAndStopped(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	kinds := []func(context.Context, *play, *standin.Client, *rand.Rand){slowWriter, stoppedHalfWay, shortFields, shortFieldsStopped}
	kinds[random.IntN(len(kinds))](ctx, p, c, random)
}

// burst is how many requests a client writes before it leaves; a connection may have 32 open.
const burst = 30

// padding makes the requests of a burst large, so that much of them is unread when the client leaves.
var padding = strings.Repeat(" ", 60_000)

// requestBurst returns a burst of requests and their ids.
func requestBurst(random *rand.Rand) (frames []byte, ids []string) {
	for i := range uint32(burst) {
		id := randomID(random)
		ids = append(ids, id)
		frames = append(frames, standin.EncodeFrame(clients.FrameBatch, i+1, []string{"c", "once", "i", id, "d", fmt.Sprint(troubleLimit)},
			"SELECT 1 FROM sales_7.orders"+padding)...)
	}
	return frames, ids
}

// leavesUnread writes a burst of requests and closes at once.
func leavesUnread(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	frames, ids := requestBurst(random)
	p.countTrouble(len(ids))
	send(c, frames)
	c.Close()
	p.depart(time.Now(), ids...)
	pause(ctx, time.Duration(random.Int64N(int64(50*time.Millisecond))))
}

// comesAgain does the same, and then comes again with the same requests and waits for their answers.
func comesAgain(ctx context.Context, p *play, c *standin.Client, random *rand.Rand) {
	frames, ids := requestBurst(random)
	p.countTrouble(2 * len(ids))
	send(c, frames)
	c.Close()
	again, err := standin.Dial(p.address)
	if err != nil {
		return
	}
	defer again.Close()
	send(again, frames)
	for range ids {
		if _, err := again.ReadFrame(time.Second); err != nil {
			return
		}
	}
	pause(ctx, time.Duration(random.Int64N(int64(50*time.Millisecond))))
}

// enginesReplaced replaces one engine after the other by a process in another zone at the same address.
func enginesReplaced(ctx context.Context, p *play, random *rand.Rand) {
	const longestListDelay, pace = 1200 * time.Millisecond, 400 * time.Millisecond
	for ctx.Err() == nil {
		if p.replaceEngine(ctx, time.Duration(random.Int64N(int64(longestListDelay)))) != nil {
			return
		}
		p.countTrouble(1)
		pause(ctx, pace)
	}
}

// String returns the name; empty for nil.
func (t *Trouble) String() string {
	if t == nil {
		return ""
	}
	return t.Name
}
