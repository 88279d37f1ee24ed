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
	mutex        sync.Mutex
	text         strings.Builder
	partialBytes int
	errors       []error
	gate         chan struct{} // a write waits for it; nil: none does
}

func (d *disk) Write(b []byte) (int, error) {
	if d.gate != nil {
		<-d.gate
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.errors) > 0 {
		err := d.errors[0]
		d.errors = d.errors[1:]
		n := min(d.partialBytes, len(b))
		d.text.Write(b[:n])
		return n, err
	}
	return d.text.Write(b)
}

const testTimeout = 20 * time.Second

func TestLinesSurviveFullDiskAndPartialWrites(t *testing.T) {
	d := &disk{partialBytes: 3, errors: []error{syscall.ENOSPC, syscall.EIO, syscall.EAGAIN}}
	w := New(d)
	w.Write([]byte("first\n"))  //nolint:errcheck
	w.Write([]byte("second\n")) //nolint:errcheck
	assert.Eventually(t, func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return len(d.errors) == 0
	}, testTimeout, time.Millisecond)
	assert.Zero(t, w.Close(testTimeout))
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
	<-w.done
	text := d.text.String()
	assert.Contains(t, text, "lines of the log were dropped")
	assert.True(t, strings.HasPrefix(text, string(line)), "what had room is whole")
	assert.NotContains(t, text, strings.Repeat("x", 40))
}

func TestBrokenPipeDropsLines(t *testing.T) {
	d := &disk{errors: []error{syscall.EPIPE}}
	w := New(d)
	w.Write([]byte("lost\n")) //nolint:errcheck
	assert.Zero(t, w.Close(testTimeout))
}

// Bytes that were taken to be written, and are not written, count as little as lines that wait.
func TestCloseCountsWhatIsBeingWritten(t *testing.T) {
	d := &disk{gate: make(chan struct{})}
	w := newWriter(d, 100)
	w.Write([]byte("line\n")) //nolint:errcheck
	assert.Eventually(t, func() bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return len(w.pending) == 0
	}, testTimeout, time.Millisecond)
	assert.Equal(t, len("line\n"), w.Close(0), "taken, and the disk holds it up")
	close(d.gate)
	<-w.done
	assert.Equal(t, "line\n", d.text.String())
}
