// Package logwriter provides a log output that never blocks its callers. Lines are queued in memory, up to a limit, and written
// by a background goroutine, so that a full or slow disk, or a pipe that nobody reads, does not block the program.
package logwriter

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	maxPendingBytes = 4 << 20               // limit of the queue; lines beyond it are dropped and counted
	retryInterval   = 20 * time.Millisecond // delay after a failed write
)

// Writer is a zapcore.WriteSyncer that queues lines and writes them in the background. It is safe for concurrent use.
type Writer struct {
	output     io.Writer
	maxPending int           // bytes
	wakeup     chan struct{} // holds a token if there is something to write or Close was called
	done       chan struct{} // closed after Close was called and the queue has been written

	mutex   sync.Mutex // guards the fields below
	pending []byte     // lines that wait to be written
	dropped int        // lines dropped since the last report of drops
	closed  bool
}

// New starts a writer to output, usually standard error. If output is a pipe, the program must ignore SIGPIPE.
func New(output io.Writer) *Writer { return newWriter(output, maxPendingBytes) }

func newWriter(output io.Writer, maxPending int) *Writer {
	w := &Writer{output: output, maxPending: maxPending, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks on the output and never fails. A line that exceeds the queue's capacity is dropped whole.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if len(w.pending)+len(line) > w.maxPending || w.closed {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mutex.Unlock()
	w.signal()
	return len(line), nil
}

// Sync does nothing. zap calls it after each fatal line and before an exit, where the program calls Close instead.
func (w *Writer) Sync() error { return nil }

// Close stops accepting lines and waits until all queued lines are written or the timeout has passed. It returns the number of
// bytes that are still queued. It should also count bytes of a write in progress, but does not: a known fault, see
// TestCloseCountsWhatIsBeingWritten.
func (w *Writer) Close(timeout time.Duration) (unwritten int) {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.pending)
}

// signal wakes the background goroutine.
func (w *Writer) signal() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run writes queued lines until the writer is closed and the queue is empty.
func (w *Writer) run() {
	var lines []byte
	for range w.wakeup {
		for {
			lines = w.takePending(lines[:0])
			if len(lines) == 0 {
				break
			}
			w.write(lines)
		}
		if w.finished() {
			close(w.done)
			return
		}
	}
}

func (w *Writer) finished() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.closed && len(w.pending) == 0
}

// takePending removes the queued lines and returns them in buffer. If lines were dropped, a log line with their number follows.
func (w *Writer) takePending(buffer []byte) []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	buffer = append(buffer, w.pending...)
	w.pending = w.pending[:0]
	if w.dropped > 0 {
		buffer = fmt.Appendf(buffer, "{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"lines of the log were dropped, it could not be written\",\"lines\":%d}\n",
			float64(time.Now().UnixMilli())/1e3, w.dropped)
		w.dropped = 0
	}
	return buffer
}

// write writes lines and retries after errors. It drops the rest if the output is a broken pipe or a closed descriptor, or if a
// write fails after Close. Lines that are logged meanwhile are queued.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		n, err := w.output.Write(lines)
		lines = lines[n:]
		switch {
		case err == nil:
		case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.EBADF):
			return
		default:
			if w.isClosed() {
				return
			}
			time.Sleep(retryInterval)
		}
	}
}

func (w *Writer) isClosed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.closed
}
