package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// StreamLink is a link over which one participant opens TCP connections to another. The target address may change; open
// connections stay with the target they were opened to.
type StreamLink struct {
	net.Listener
	fabric   *Fabric
	from, to string

	mutex       sync.Mutex
	target      string
	connections map[net.Conn]struct{} // both sides of each proxied connection; untrack deletes them
	isClosed    bool
}

const (
	chunkSize          = 16 << 10 // bytes
	maxQueuedChunks    = 64       // in one direction of a connection; reading pauses while the queue is full
	throttledChunkSize = 256      // bytes
	connectTimeout     = 5 * time.Second
)

// NewStreamLink creates a link on which the participant named from reaches the one named to, which listens at target.
// The link listens on a free TCP port of host; from connects there.
func (f *Fabric) NewStreamLink(host, from, to, target string) (*StreamLink, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: listen: %w", err)
	}
	s := &StreamLink{Listener: listener, fabric: f, from: from, to: to, target: target, connections: map[net.Conn]struct{}{}}
	if !f.registerCloser(s.Close) {
		listener.Close()
		return nil, errors.New("relay: fabric is closed")
	}
	f.running.Add(1)
	go s.accept()
	return s, nil
}

// Close stops listening and resets all connections.
func (s *StreamLink) Close() {
	s.Listener.Close()
	s.mutex.Lock()
	s.isClosed = true
	s.mutex.Unlock()
	s.Reset()
}

// Reset aborts all open connections. New ones are still accepted.
func (s *StreamLink) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // if this fails, the connection closes normally
		}
		c.Close()
	}
}

// track registers a connection for Reset. If the link is closed, it closes the connection and returns false.
func (s *StreamLink) track(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		c.Close()
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

// untrack closes a connection and removes it from the registry.
func (s *StreamLink) untrack(c net.Conn) {
	c.Close()
	s.mutex.Lock()
	delete(s.connections, c)
	s.mutex.Unlock()
}

// accept serves new connections until the listener is closed.
func (s *StreamLink) accept() {
	defer s.fabric.running.Done()
	for number := uint64(1); ; number++ {
		c, err := s.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			return
		}
		s.fabric.running.Add(1)
		go s.serveConnection(c, number)
	}
}

// serveConnection connects to the target and forwards both directions. While the direction to the target is partitioned, it
// does not connect: the accepted connection stays open without data, as if its first packets had been lost.
func (s *StreamLink) serveConnection(near net.Conn, number uint64) {
	defer s.fabric.running.Done()
	defer s.untrack(near)
	if !s.fabric.waitWhilePartitioned(s.from, s.to) {
		return
	}
	far, err := net.DialTimeout("tcp", s.target, connectTimeout)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck
		}
		return
	}
	if !s.track(far) {
		return
	}
	defer s.untrack(far)
	var both sync.WaitGroup
	both.Add(2)
	for i, sides := range [][2]net.Conn{{near, far}, {far, near}} {
		from, to := s.from, s.to
		if i == 1 {
			from, to = to, from
		}
		go func() {
			defer both.Done()
			random := s.fabric.newRandom(from, to)
			for range number % 64 { // so that connections draw different sequences
				random.Float64()
			}
			s.fabric.forward(sides[0], sides[1], from, to, random)
		}()
	}
	both.Wait()
}

// waitWhilePartitioned blocks while a direction is partitioned. It returns false if the fabric is closed meanwhile.
func (f *Fabric) waitWhilePartitioned(from, to string) bool {
	for {
		condition, changed := f.condition(from, to)
		if !condition.Partitioned {
			return true
		}
		select {
		case <-changed:
		case <-f.closed:
			return false
		}
	}
}

// chunk is data of a stream and the earliest time to forward it.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction of a connection until it ends, and forwards the end of the stream or the reset too.
func (f *Fabric) forward(in, out net.Conn, from, to string, random *rand.Rand) {
	chunks := make(chan chunk, maxQueuedChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkSize)
			n, err := in.Read(buffer)
			if n > 0 {
				condition, _ := f.condition(from, to)
				c := chunk{data: buffer[:n], due: time.Now().Add(condition.Delay + time.Duration(random.Float64()*float64(condition.Jitter)))}
				select {
				case chunks <- c:
				case <-stopped:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) { // reset: the other side is reset immediately, even if partitioned
					resetConnection(out)
				}
				return
			}
		}
	}()
	defer close(stopped)
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-f.closed:
				return
			}
		}
		if !f.waitWhilePartitioned(from, to) || !f.writeThrottled(out, c.data, from, to) {
			resetConnection(in)
			return
		}
	}
	// Like data, the end of the stream is not forwarded during a partition.
	if f.waitWhilePartitioned(from, to) {
		if tcp, ok := out.(*net.TCPConn); ok {
			tcp.CloseWrite() //nolint:errcheck
		}
	}
}

// resetConnection closes a connection with a TCP reset instead of an orderly close.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck
	}
	c.Close()
}

// writeThrottled writes all data, in small chunks with pauses between them while the bandwidth is limited. It returns false
// if a write fails or the fabric is closed.
func (f *Fabric) writeThrottled(out net.Conn, data []byte, from, to string) bool {
	for len(data) > 0 {
		condition, _ := f.condition(from, to)
		n := len(data)
		if condition.BytesPerSecond > 0 {
			n = min(n, throttledChunkSize)
		}
		if condition.Partitioned && !f.waitWhilePartitioned(from, to) {
			return false
		}
		if _, err := out.Write(data[:n]); err != nil {
			return false
		}
		if data = data[n:]; condition.BytesPerSecond > 0 {
			select {
			case <-time.After(time.Duration(float64(n) / float64(condition.BytesPerSecond) * float64(time.Second))):
			case <-f.closed:
				return false
			}
		}
	}
	return true
}
