package standin

import (
	"errors"
	"io"
	"net"
	"time"
)

// chunk is the result of one read from a connection.
type chunk struct {
	data []byte
	err  error
	due  time.Time // when delayedReader passes it on
}

// delayedReader passes on, in order, what was read from a connection some time ago. Once its own side has closed the
// connection it returns net.ErrClosed.
type delayedReader struct {
	chunks <-chan chunk
	closed <-chan struct{}
	unread []byte
}

// newDelayedReader reads a connection with a delay, as a peer with a long receive queue does. Its goroutine reads until
// the connection ends.
func newDelayedReader(from io.Reader, delay time.Duration) io.Reader {
	arrivals, closed := make(chan chunk, 1024), make(chan struct{})
	go func() {
		for {
			data := make([]byte, 4096)
			n, err := from.Read(data)
			if errors.Is(err, net.ErrClosed) {
				close(closed)
				return
			}
			arrivals <- chunk{data[:n], err, time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	return &delayedReader{chunks: arrivals, closed: closed}
}

// Read waits until a chunk is due and returns its data, or the error that ended the connection.
func (l *delayedReader) Read(p []byte) (int, error) {
	for len(l.unread) == 0 {
		var next chunk
		select {
		case next = <-l.chunks:
		case <-l.closed:
			return 0, net.ErrClosed
		}
		select {
		case <-time.After(time.Until(next.due)):
		case <-l.closed:
			return 0, net.ErrClosed
		}
		if l.unread = next.data; next.err != nil {
			return 0, next.err
		}
	}
	n := copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}
