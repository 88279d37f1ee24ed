package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

// readDelay is how late the engine of this test reads the connection of the first attempt.
const readDelay = 300 * time.Millisecond

// attemptTracker tracks the attempts that an engine has read and not ended, as the protocol specification counts them: an attempt is
// in flight until the engine has written its end or has read its cancellation.
type attemptTracker struct {
	mutex       sync.Mutex
	open        map[string]bool // by request id
	count       map[string]int  // attempts by request id
	overlapping []string        // requests of which another attempt arrived while one was in flight
}

// answer is an answer function for standin.NewEngine: the first attempt of each request gets no answer, later ones get a result.
func (a *attemptTracker) answer(r standin.Request) [][]string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch r[0] {
	case "fetch":
		if a.open[r[1]] {
			a.overlapping = append(a.overlapping, r[1])
		}
		if a.count[r[1]]++; a.count[r[1]] == 1 {
			a.open[r[1]] = true
			return nil
		}
		return [][]string{{r[1], "DONE", "sheets=1,toil=20,room=8", "one\ttwo\tthree\n"}}
	case "abort":
		delete(a.open, r[1])
		return nil
	}
	return standin.ToyAnswer(r)
}

// Issue 53: where hedges are forbidden, a retry must not be sent before the engine has read the cancellation of the first
// attempt. The engine reads the connection of the first attempt late.
func TestNoFurtherAttemptBesideOneThatIsStillOut(t *testing.T) {
	tracker := &attemptTracker{open: map[string]bool{}, count: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	e := &standin.Engine{Listener: listener, Answer: tracker.answer, ReadDelay: func(connection int) time.Duration {
		if connection == 0 {
			return readDelay
		}
		return 0
	}}
	e.Start()
	p := newProgram(t, e)
	p.settings = strings.Replace(platformSettings, `"attempts-cap":3,`, `"attempts-cap":3,"cancel":true,"may-probe":true,`, 1)
	p.configure(p.names)
	p.start()
	c := p.client()
	fields := []string{"c", "lookup", "i", "00000000000000f1", "d", "4000", "h", "20"}
	_, err = c.Write(standin.EncodeFrame(10, 1, fields, "SELECT 1 FROM a_3.b"))
	require.NoError(t, err)
	a := p.answers(c, 1)[1]
	assert.Equal(t, uint8(0), a.Code, "the second attempt has a result")
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	assert.Empty(t, tracker.overlapping)
	assert.Equal(t, 2, tracker.count["00000000000000f1"])
}
