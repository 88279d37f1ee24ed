package standin

import (
	"errors"
	"io"
	"net"
	"time"
)

// arrival is what came at once on a connection.
type arrival struct {
	data []byte
	err  error
	due  time.Time
}

// lateReader gives what comes some time after it came, in order. Once its own side has closed the connection nothing more comes.
type lateReader struct {
	arrivals <-chan arrival
	closed   <-chan struct{}
	rest     []byte
}

// readLate reads a connection late, as a peer does whose receive queue is long. It reads until the connection ends.
func readLate(from io.Reader, by time.Duration) io.Reader {
	arrivals, closed := make(chan arrival, 1024), make(chan struct{})
	go func() {
		for {
			data := make([]byte, 4096)
			n, err := from.Read(data)
			if errors.Is(err, net.ErrClosed) {
				close(closed)
				return
			}
			arrivals <- arrival{data[:n], err, time.Now().Add(by)}
			if err != nil {
				return
			}
		}
	}()
	return &lateReader{arrivals: arrivals, closed: closed}
}

// Read waits until something is due.
func (l *lateReader) Read(p []byte) (int, error) {
	for len(l.rest) == 0 {
		var next arrival
		select {
		case next = <-l.arrivals:
		case <-l.closed:
			return 0, net.ErrClosed
		}
		select {
		case <-time.After(time.Until(next.due)):
		case <-l.closed:
			return 0, net.ErrClosed
		}
		if l.rest = next.data; next.err != nil {
			return 0, next.err
		}
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}
