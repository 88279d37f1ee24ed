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

// readDelay is by how much the engines of these tests read one connection late.
const readDelay = 300 * time.Millisecond

// attemptTracker are those that an engine has read and not ended, as the protocol's page counts them: an attempt is out until its end is
// written or its engine has read that it is given up.
type attemptTracker struct {
	mutex       sync.Mutex
	open        map[string]bool
	count       map[string]int
	overlapping []string // requests of which a further attempt came beside one that was out
}

// answer is for standin.NewEngine: the first attempt of each request has no answer, further ones have a result.
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

// Issue 53: where second copies are forbidden, no further attempt leaves before the engine has read that the first is given up. It
// reads the connection of the first attempt late.
func TestNoFurtherAttemptBesideOneThatIsStillOut(t *testing.T) {
	seen := &attemptTracker{open: map[string]bool{}, count: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	e := &standin.Engine{Listener: listener, Answer: seen.answer, ReadDelay: func(connection int) time.Duration {
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
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	assert.Empty(t, seen.overlapping)
	assert.Equal(t, 2, seen.count["00000000000000f1"])
}
