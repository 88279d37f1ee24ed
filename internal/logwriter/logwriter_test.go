package logwriter

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// disk takes so many bytes of each write, and fails the next ones.
type disk struct {
	mutex sync.Mutex
	text  strings.Builder
	part  int
	fails []error
	gate  chan struct{} // a write waits for it; nil: none does
}

func (d *disk) Write(b []byte) (int, error) {
	if d.gate != nil {
		<-d.gate
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.fails) > 0 {
		err := d.fails[0]
		d.fails = d.fails[1:]
		n := min(d.part, len(b))
		d.text.Write(b[:n])
		return n, err
	}
	return d.text.Write(b)
}

const patience = 20 * time.Second

func TestLinesOutliveAFullDiskAndHalfWrites(t *testing.T) {
	d := &disk{part: 3, fails: []error{syscall.ENOSPC, syscall.EIO, syscall.EAGAIN}}
	w := New(d)
	w.Write([]byte("first\n"))  //nolint:errcheck
	w.Write([]byte("second\n")) //nolint:errcheck
	assert.Eventually(t, func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return len(d.fails) == 0
	}, patience, time.Millisecond)
	assert.Zero(t, w.Close(patience))
	assert.Equal(t, "first\nsecond\n", d.text.String())
}

func TestALogThatIsNotWrittenHoldsUpNobody(t *testing.T) {
	d := &disk{gate: make(chan struct{})}
	w := newWriter(d, 100)
	line := []byte(strings.Repeat("x", 39) + "\n")
	for range 10 {
		w.Write(line) //nolint:errcheck
	}
	assert.NotZero(t, w.Close(0), "nobody reads")
	close(d.gate)
	<-w.idle
	text := d.text.String()
	assert.Contains(t, text, "lines of the log were dropped")
	assert.True(t, strings.HasPrefix(text, string(line)), "what had room is whole")
	assert.NotContains(t, text, strings.Repeat("x", 40))
}

func TestABrokenPipeEndsNothing(t *testing.T) {
	d := &disk{fails: []error{syscall.EPIPE}}
	w := New(d)
	w.Write([]byte("lost\n")) //nolint:errcheck
	assert.Zero(t, w.Close(patience))
}

// Bytes that were taken to be written, and are not written, count as little as lines that wait.
func TestCloseCountsWhatIsBeingWritten(t *testing.T) {
	d := &disk{gate: make(chan struct{})}
	w := newWriter(d, 100)
	w.Write([]byte("line\n")) //nolint:errcheck
	assert.Eventually(t, func() bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return len(w.waiting) == 0
	}, patience, time.Millisecond)
	assert.Equal(t, len("line\n"), w.Close(0), "taken, and the disk holds it up")
	close(d.gate)
	<-w.idle
	assert.Equal(t, "line\n", d.text.String())
}
