// Package logwriter keeps a program going while its log can't be written: lines wait in memory, up to a bound, and are written
// beside whoever logs them. A disk that is full or slow, or a pipe that nobody reads, holds up nobody.
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
	maxPendingBytes = 4 << 20 // bytes of lines that wait; what comes beyond is dropped and counted
	retryInterval   = 20 * time.Millisecond
)

// Writer is a zapcore.WriteSyncer.
type Writer struct {
	output     io.Writer
	maxPending int
	wakeup     chan struct{} // there is something to write, or an end
	done       chan struct{} // closed once Close was called and all is written

	mutex   sync.Mutex // of what follows
	pending []byte
	dropped int // lines, since that was last told
	closed  bool
}

// New begins to write to a file, mostly standard error. Whoever writes to a pipe has to ignore SIGPIPE.
func New(to io.Writer) *Writer { return newWriter(to, maxPendingBytes) }

func newWriter(to io.Writer, most int) *Writer {
	w := &Writer{output: to, maxPending: most, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails; a line that has no room is dropped whole.
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

// Sync does nothing: zap calls it at the end of each fatal line and before an exit, where Close is called.
func (w *Writer) Sync() error { return nil }

// Close waits until all lines are written, or a time has passed. It tells how many bytes were not.
func (w *Writer) Close(within time.Duration) (unwritten int) {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(within):
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.pending)
}

func (w *Writer) signal() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

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

// takePending gives the lines that wait, with one behind them that tells how many were dropped since.
func (w *Writer) takePending(into []byte) []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	into = append(into, w.pending...)
	w.pending = w.pending[:0]
	if w.dropped > 0 {
		into = fmt.Appendf(into, "{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"lines of the log were dropped, it could not be written\",\"lines\":%d}\n",
			float64(time.Now().UnixMilli())/1e3, w.dropped)
		w.dropped = 0
	}
	return into
}

// write writes lines, whatever it takes; lines that come meanwhile wait. Where nobody reads any more they are dropped.
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
