package reactor

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxReadsPerCall  = 16              // of one connection in a row: the others wait
	maxReceiveRounds = 16              // of so many reads, where all that is there is wanted
	maxFailingTime   = 5 * time.Second // a connection whose calls have failed for so long, with nothing between, is over
	maxIovecs        = 1024            // what writev takes at a time
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
	reactor      *Reactor
	handler      StreamHandler
	unsent       []byte
	readPaused   bool
	drainReads   bool
	failingSince time.Time // since when reading or writing has failed; zero: it does not
}

func (r *Reactor) newStream(fd int, h StreamHandler) *Stream {
	return &Stream{registration: registration{fd: fd, interest: readEvents}, reactor: r, handler: h}
}

// SetHandler says who is told what happens. It has to be called before the loop goes on.
func (s *Stream) SetHandler(h StreamHandler) { s.handler = h }

// EnableDrain has everything read that is there before the loop goes on, so that a peer's end is known as soon as what it sent before. It
// costs a read more each time. Without it what is left is read in the next round.
func (s *Stream) EnableDrain() { s.drainReads = true }

// Unsent tells how many bytes wait to be written.
func (s *Stream) Unsent() int { return len(s.unsent) }

// Failing tells whether the last call on it failed, so that bytes may wait to be read.
func (s *Stream) Failing() bool { return !s.failingSince.IsZero() }

// Close closes the connection at once. What waits to be written is dropped.
func (s *Stream) Close() {
	s.unsent = nil
	s.reactor.closeDescriptor(s)
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
	s.readPaused = paused
	s.updateInterest()
}

// Write takes bytes to be written, in order. What can't be written now waits. It copies what it keeps.
func (s *Stream) Write(parts [][]byte) {
	if s.closed {
		return
	}
	if len(s.unsent) > 0 {
		s.bufferUnsent(parts, 0)
		return
	}
	for len(parts) > 0 {
		n, err := unix.Writev(s.fd, parts[:min(len(parts), maxIovecs)])
		if err != nil {
			if s.handleError("writev", err) {
				s.bufferUnsent(parts, 0)
			}
			return
		}
		s.recordProgress()
		for len(parts) > 0 && n >= len(parts[0]) {
			n -= len(parts[0])
			parts = parts[1:]
		}
		if n > 0 {
			s.bufferUnsent(parts, n)
			return
		}
	}
}

// bufferUnsent has the parts, without so many bytes of the first, wait for the peer to read.
func (s *Stream) bufferUnsent(parts [][]byte, skip int) {
	for _, part := range parts {
		s.unsent = append(s.unsent, part[skip:]...)
		skip = 0
	}
	s.updateInterest()
}

// updateInterest has epoll tell what this stream waits for.
func (s *Stream) updateInterest() {
	if s.closed {
		return
	}
	s.interest = 0
	if !s.readPaused {
		s.interest |= readEvents
	}
	if len(s.unsent) > 0 {
		s.interest |= unix.EPOLLOUT
	}
	if s.interest != s.registered || !s.added {
		s.reactor.applyInterest(s)
	}
}

func (s *Stream) handleEvents(events uint32) {
	if events&(unix.EPOLLOUT|closeEvents) != 0 {
		s.flush()
	}
	switch {
	case s.closed:
	case !s.readPaused:
		if events&(readEvents|closeEvents) != 0 {
			s.read()
		}
	case events&closeEvents != 0: // epoll tells that without end, and nothing after it can be read
		s.closeWithError(unix.ECONNRESET)
	}
}

func (s *Stream) tryIO() {
	s.flush()
	if !s.closed && !s.readPaused {
		s.read()
	}
}

// flush writes what waits.
func (s *Stream) flush() {
	for !s.closed && len(s.unsent) > 0 {
		n, err := unix.Write(s.fd, s.unsent)
		if err != nil {
			s.handleError("write", err)
			return
		}
		s.recordProgress()
		s.unsent = s.unsent[n:]
	}
	if !s.closed && s.interest&unix.EPOLLOUT != 0 {
		s.unsent = nil
		s.updateInterest()
	}
}

// Receive takes in all that is there now. Its handler may be told of the end of the connection meanwhile.
func (s *Stream) Receive() {
	for range maxReceiveRounds {
		if s.closed || s.readPaused || !s.read() {
			return
		}
	}
}

// read takes in what is there. It tells whether there may be more.
func (s *Stream) read() (more bool) {
	for range maxReadsPerCall {
		n, err := unix.Read(s.fd, s.reactor.readBuffer)
		switch {
		case err == nil && n == 0:
			s.closeWithError(io.EOF)
			return false
		case err != nil:
			s.handleError("read", err)
			return false
		}
		s.recordProgress()
		s.handler.Received(s.reactor.readBuffer[:n])
		if s.closed || s.readPaused || !s.drainReads && n < len(s.reactor.readBuffer) {
			return !s.closed && !s.readPaused
		}
	}
	return true
}

func (s *Stream) recordProgress() {
	s.failingSince = time.Time{}
	s.reactor.progress = true
}

// handleError tells whether the call that failed is done again; else the connection has ended, and its handler knows.
func (s *Stream) handleError(call string, err error) bool {
	if endsConnection(err) {
		s.closeWithError(err)
		return false
	}
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	s.reactor.reportFailure(call, err)
	if s.failingSince.IsZero() {
		s.failingSince = time.Now()
	}
	if time.Since(s.failingSince) > maxFailingTime {
		s.closeWithError(err)
		return false
	}
	return true
}

func (s *Stream) closeWithError(err error) {
	s.reactor.progress = true
	s.Close()
	s.handler.Ended(err)
}
