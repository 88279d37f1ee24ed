package standin

import (
	"io"
	"time"
)

// arrival is what came at once on a connection.
type arrival struct {
	data []byte
	err  error
	due  time.Time
}

// lateReader gives what comes some time after it came, in order.
type lateReader struct {
	arrivals <-chan arrival
	rest     []byte
}

// readLate reads a connection late, as a peer does whose receive queue is long. It reads until the connection ends.
func readLate(from io.Reader, by time.Duration) io.Reader {
	arrivals := make(chan arrival, 1024)
	go func() {
		for {
			data := make([]byte, 4096)
			n, err := from.Read(data)
			arrivals <- arrival{data[:n], err, time.Now().Add(by)}
			if err != nil {
				return
			}
		}
	}()
	return &lateReader{arrivals: arrivals}
}

// Read waits until something is due.
func (l *lateReader) Read(p []byte) (int, error) {
	for len(l.rest) == 0 {
		next := <-l.arrivals
		time.Sleep(time.Until(next.due))
		if l.rest = next.data; next.err != nil {
			return 0, next.err
		}
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}
