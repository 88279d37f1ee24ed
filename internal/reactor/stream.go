package reactor

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	mostReads   = 16              // of one connection in a row: the others wait
	mostRounds  = 16              // of so many reads, where all that is there is wanted
	failingFor  = 5 * time.Second // a connection whose calls have failed for so long, with nothing between, is over
	mostVectors = 1024            // what writev takes at a time
)

// StreamHandler is told what happens on a stream, on the loop.
type StreamHandler interface {
	// Received brings bytes, which are good until it returns.
	Received(data []byte)
	// Ended tells that the peer or the network has ended the connection: io.EOF where its peer closed it. The stream is closed
	// by then. It is not called after Close.
	Ended(err error)
}

// Stream is one TCP connection.
type Stream struct {
	registration
	reactor *Reactor
	handler StreamHandler
	unsent  []byte
	paused  bool
	drains  bool
	failing time.Time // since when reading or writing has failed; zero: it does not
}

func (r *Reactor) newStream(fd int, h StreamHandler) *Stream {
	return &Stream{registration: registration{fd: fd, wanted: readEvents}, reactor: r, handler: h}
}

// Handle says who is told what happens. It has to be called before the loop goes on.
func (s *Stream) Handle(h StreamHandler) { s.handler = h }

// Drain has everything read that is there before the loop goes on, so that a peer's end is known as soon as what it sent before. It
// costs a read more each time. Without it what is left is read in the next round.
func (s *Stream) Drain() { s.drains = true }

// Unsent tells how many bytes wait to be written.
func (s *Stream) Unsent() int { return len(s.unsent) }

// Failing tells whether the last call on it failed, so that bytes may wait to be read.
func (s *Stream) Failing() bool { return !s.failing.IsZero() }

// Close closes the connection at once. What waits to be written is dropped.
func (s *Stream) Close() {
	s.unsent = nil
	s.reactor.forget(s)
}

// CloseWrite ends our side.
func (s *Stream) CloseWrite() error {
	for {
		err := unix.Shutdown(s.fd, unix.SHUT_WR)
		if !errors.Is(err, unix.EINTR) {
			return err //nolint:wrapcheck // the caller logs it
		}
	}
}

// Pause has nothing read, or reading go on.
func (s *Stream) Pause(paused bool) {
	s.paused = paused
	s.want()
}

// Write takes bytes to be written, in order. What can't be written now waits. It copies what it keeps.
func (s *Stream) Write(parts [][]byte) {
	if s.closed {
		return
	}
	if len(s.unsent) > 0 {
		s.keep(parts, 0)
		return
	}
	for len(parts) > 0 {
		n, err := unix.Writev(s.fd, parts[:min(len(parts), mostVectors)])
		if err != nil {
			if s.waits("writev", err) {
				s.keep(parts, 0)
			}
			return
		}
		s.went()
		for len(parts) > 0 && n >= len(parts[0]) {
			n -= len(parts[0])
			parts = parts[1:]
		}
		if n > 0 {
			s.keep(parts, n)
			return
		}
	}
}

// keep has the parts, without so many bytes of the first, wait for the peer to read.
func (s *Stream) keep(parts [][]byte, skip int) {
	for _, part := range parts {
		s.unsent = append(s.unsent, part[skip:]...)
		skip = 0
	}
	s.want()
}

// want has epoll tell what this stream waits for.
func (s *Stream) want() {
	if s.closed {
		return
	}
	s.wanted = 0
	if !s.paused {
		s.wanted |= readEvents
	}
	if len(s.unsent) > 0 {
		s.wanted |= unix.EPOLLOUT
	}
	if s.wanted != s.known || !s.added {
		s.reactor.settle(s)
	}
}

func (s *Stream) ready(events uint32) {
	if events&(unix.EPOLLOUT|endEvents) != 0 {
		s.flush()
	}
	switch {
	case s.closed:
	case !s.paused:
		if events&(readEvents|endEvents) != 0 {
			s.read()
		}
	case events&endEvents != 0: // epoll tells that without end, and nothing after it can be read
		s.end(unix.ECONNRESET)
	}
}

func (s *Stream) again() {
	s.flush()
	if !s.closed && !s.paused {
		s.read()
	}
}

// flush writes what waits.
func (s *Stream) flush() {
	for !s.closed && len(s.unsent) > 0 {
		n, err := unix.Write(s.fd, s.unsent)
		if err != nil {
			s.waits("write", err)
			return
		}
		s.went()
		s.unsent = s.unsent[n:]
	}
	if !s.closed && s.wanted&unix.EPOLLOUT != 0 {
		s.unsent = nil
		s.want()
	}
}

// Receive takes in all that is there now. Its handler may be told of the end of the connection meanwhile.
func (s *Stream) Receive() {
	for range mostRounds {
		if s.closed || s.paused || !s.read() {
			return
		}
	}
}

// read takes in what is there. It tells whether there may be more.
func (s *Stream) read() (more bool) {
	for range mostReads {
		n, err := unix.Read(s.fd, s.reactor.buffer)
		switch {
		case err == nil && n == 0:
			s.end(io.EOF)
			return false
		case err != nil:
			s.waits("read", err)
			return false
		}
		s.went()
		s.handler.Received(s.reactor.buffer[:n])
		if s.closed || s.paused || !s.drains && n < len(s.reactor.buffer) {
			return !s.closed && !s.paused
		}
	}
	return true
}

func (s *Stream) went() {
	s.failing = time.Time{}
	s.reactor.progress = true
}

// waits tells whether the call that failed is done again; else the connection has ended, and its handler knows.
func (s *Stream) waits(call string, err error) bool {
	if over(err) {
		s.end(err)
		return false
	}
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	s.reactor.failed(call, err)
	if s.failing.IsZero() {
		s.failing = time.Now()
	}
	if time.Since(s.failing) > failingFor {
		s.end(err)
		return false
	}
	return true
}

func (s *Stream) end(err error) {
	s.reactor.progress = true
	s.Close()
	s.handler.Ended(err)
}
