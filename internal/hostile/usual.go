package hostile

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"pitchfield/internal/clients"
	"pitchfield/internal/standin"
)

// usualGroups are the service groups of usual clients, with the time that their requests have.
var usualGroups = []struct {
	name  string
	limit time.Duration
}{{"lookup", 2 * time.Second}, {"report", 2200 * time.Millisecond}, {"upload", 3 * time.Second}, {"once", 2 * time.Second}}

// usualClient sends one request after the other until the play's time is over.
func (p *play) usualClient(ctx context.Context, random *rand.Rand) {
	var c *connection
	defer func() { c.close() }()
	for ctx.Err() == nil && !p.hasEnded() {
		r := newUsualRequest(random)
		for again := false; ; again = true { // one that crossed the end of its connection is sent again
			if c = p.connected(ctx, c); c == nil {
				return
			}
			crossed, usable := p.usualRequest(c, r, !again || p.isCrowded())
			if !usable {
				c.close()
				c = nil
			}
			if !crossed {
				break
			}
		}
		pause(ctx, time.Duration(random.Int64N(int64(usualPause))))
	}
}

// isCrowded reports whether more clients are connected than the pages have, a third of the descriptors. The router may shut idle and
// new connections unread then.
func (p *play) isCrowded() bool {
	return p.Trouble != nil && p.Trouble.Clients+usualClients > p.Descriptors/3
}

// connection is a usual client's connection with the number of its last request.
type connection struct {
	*standin.Client
	stream uint32
}

// close closes the connection; it may be nil.
func (c *connection) close() {
	if c != nil {
		c.Close()
	}
}

// connected returns c, or a new connection if it is nil; nil: the play's time is over, or the process has ended.
func (p *play) connected(ctx context.Context, c *connection) *connection {
	for c == nil {
		if ctx.Err() != nil || p.hasEnded() {
			return nil
		}
		client, err := standin.Dial(p.address)
		if err != nil {
			pause(ctx, usualPause)
			continue
		}
		c = &connection{Client: client}
	}
	return c
}

// usualRequest is a request of a usual client.
type usualRequest struct {
	id     string
	fields []string
	limit  time.Duration
}

// newUsualRequest draws a request.
func newUsualRequest(random *rand.Rand) usualRequest {
	group := usualGroups[random.IntN(len(usualGroups))]
	id := randomID(random)
	fields := []string{"c", group.name, "i", id, "d", fmt.Sprint(group.limit.Milliseconds()), "h", "20"}
	if group.name == "upload" {
		fields = append(fields, "k", id+randomID(random), "o", fmt.Sprint(random.IntN(100)))
	}
	return usualRequest{id, fields, group.limit}
}

// usualRequest sends a request and waits for its answer. It reports whether the request crossed the end of its connection, which
// counts as lost unless it may, and whether the connection can be used for another one.
func (p *play) usualRequest(c *connection, r usualRequest, mayCross bool) (crossed, usable bool) {
	c.stream++
	sent := time.Now()
	if _, err := c.Write(standin.EncodeFrame(clients.FrameBatch, c.stream, r.fields, "SELECT 1 FROM sales_7.orders")); err != nil {
		return mayCross, false
	}
	for {
		answer, err := c.ReadFrame(time.Until(sent.Add(r.limit + answerGrace)))
		if err == nil && (answer.Type != clients.FrameAnswer || answer.Stream != c.stream) {
			continue
		}
		took := time.Since(sent)
		inTime := took < crossingGrace || p.isCrowded()
		if mayCross && inTime && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			p.mutex.Lock()
			p.result.Crossed++
			p.mutex.Unlock()
			return true, false
		}
		p.recordUsual(r, took, answer, err)
		return false, err == nil
	}
}

// recordUsual counts the outcome of a usual client's request.
func (p *play) recordUsual(request usualRequest, took time.Duration, answer standin.ResponseFrame, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r := &p.result
	r.Requests++
	r.MaxDelay = max(r.MaxDelay, took)
	switch {
	case err != nil:
		r.Lost++
		r.find("%s has no answer after %s: %v", request.id, took.Round(time.Millisecond), err)
	case took > request.limit+answerGrace:
		r.Late++
	case answer.Code == clients.CodeSucceeded:
		r.Served++
	case answer.Code == clients.CodeRejected:
		r.Refused++
	default:
		r.Failed++
	}
}

// pause waits, at most until the play's time is over.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// randomID returns a request id.
func randomID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }
