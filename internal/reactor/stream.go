package reactor

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxReadsPerCall  = 16              // reads of one connection in a row, so that it does not starve the others
	maxReceiveRounds = 16              // rounds of maxReadsPerCall reads in one Receive
	maxFailingTime   = 5 * time.Second // a connection is closed after failing this long without a successful call
	maxIovecs        = 1024            // buffers that one writev accepts
)

// StreamHandler receives the events of a stream. The loop calls it.
type StreamHandler interface {
	// Received is called with received bytes. The slice is valid only until Received returns.
	Received(data []byte)
	// Ended is called once when the peer or the network has ended the connection; err is io.EOF if the peer closed it. The
	// stream is already closed. Ended is not called after Close.
	Ended(err error)
}

// Stream is a TCP connection. Only the loop may call its methods.
type Stream struct {
	registration
	reactor      *Reactor
	handler      StreamHandler
	unsent       []byte    // bytes that wait until the socket is writable
	readPaused   bool      // no data is read; see Pause
	drainReads   bool      // see EnableDrain
	held         bool      // no data is read for the moment; see Hold
	unread       bool      // the last read brought data, so there may be more
	endsOnHangup bool      // see EndOnHangup
	failingSince time.Time // first failure since the last successful call; zero if the last call did not fail
}

func (r *Reactor) newStream(fd int, h StreamHandler) *Stream {
	return &Stream{registration: registration{fd: fd, interest: readEvents}, reactor: r, handler: h}
}

// SetHandler sets the handler of the stream's events. Call it in the same task or callback that received the stream, before
// the loop polls again.
func (s *Stream) SetHandler(h StreamHandler) { s.handler = h }

// EnableDrain makes each read event read until the socket has no more data (at most maxReadsPerCall reads), so that a close by
// the peer is noticed together with the data before it. This costs one more read per event. Without it, a read that does not
// fill the buffer ends the event, and the rest is read in the next iteration.
func (s *Stream) EnableDrain() { s.drainReads = true }

// EndOnHangup makes the stream end as soon as its peer has closed it, without reading what the peer wrote before. Otherwise the
// end is noticed behind all data.
func (s *Stream) EndOnHangup() { s.endsOnHangup = true }

// Drained reports whether the last read found no more data.
func (s *Stream) Drained() bool { return !s.unread }

// Hold stops reading (true) for a moment, or allows it again (false). Unlike Pause it costs no system call, and epoll goes on
// reporting unread data: use it only while the loop has other work to do.
func (s *Stream) Hold(held bool) { s.held = held }

// Unsent returns the number of bytes that wait to be written.
func (s *Stream) Unsent() int { return len(s.unsent) }

// Failing reports whether the last read or write failed with an error that is retried, so that unread bytes may be waiting.
func (s *Stream) Failing() bool { return !s.failingSince.IsZero() }

// Close closes the connection immediately and drops unsent bytes.
func (s *Stream) Close() {
	s.unsent = nil
	s.reactor.closeDescriptor(s)
}

// CloseWrite shuts down the sending direction. The stream still receives.
func (s *Stream) CloseWrite() error {
	for {
		err := unix.Shutdown(s.fd, unix.SHUT_WR)
		if !errors.Is(err, unix.EINTR) {
			return err //nolint:wrapcheck // the caller logs it
		}
	}
}

// Pause stops reading (true) or resumes it (false).
func (s *Stream) Pause(paused bool) {
	s.readPaused = paused
	s.updateInterest()
}

// Write sends the buffers in order. Bytes that the socket does not accept now are copied and sent later.
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

// bufferUnsent copies the parts, without the first skip bytes, to be written when the socket is writable.
func (s *Stream) bufferUnsent(parts [][]byte, skip int) {
	for _, part := range parts {
		s.unsent = append(s.unsent, part[skip:]...)
		skip = 0
	}
	s.updateInterest()
}

// updateInterest registers the events that the stream waits for with epoll.
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
	case s.endsOnHangup && events&(unix.EPOLLRDHUP|closeEvents) != 0:
		s.closeWithError(s.hangupReason())
	case !s.readPaused:
		if events&(readEvents|closeEvents) != 0 {
			s.read()
		}
	case events&closeEvents != 0: // epoll would report this event in every iteration, and no data can follow it
		s.closeWithError(unix.ECONNRESET)
	}
}

// hangupReason returns how the peer has ended the connection: the socket's error, or io.EOF if there is none.
func (s *Stream) hangupReason() error {
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code == 0 {
		return io.EOF
	}
	return unix.Errno(code)
}

func (s *Stream) tryIO() {
	s.flush()
	if !s.closed {
		s.read()
	}
}

// flush writes unsent bytes until all are written or the socket accepts no more.
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

// ReadMore reads available data, as at a read event. It may call the handler's Ended.
func (s *Stream) ReadMore() { s.read() }

// Receive reads all data that is available now, in at most maxReceiveRounds rounds. It may call the handler's Ended.
func (s *Stream) Receive() {
	for range maxReceiveRounds {
		if s.closed || !s.read() {
			return
		}
	}
}

// read reads available data, at most maxReadsPerCall times. It reports whether there may be more.
func (s *Stream) read() (more bool) {
	for range maxReadsPerCall {
		if s.closed || s.readPaused || s.held {
			return false
		}
		n, err := unix.Read(s.fd, s.reactor.readBuffer)
		switch {
		case err == nil && n == 0:
			s.closeWithError(io.EOF)
			return false
		case err != nil:
			s.unread = s.unread && !errors.Is(err, unix.EAGAIN)
			s.handleError("read", err)
			return false
		}
		s.recordProgress()
		s.unread = true
		s.handler.Received(s.reactor.readBuffer[:n])
		if !s.drainReads && n < len(s.reactor.readBuffer) {
			return !s.closed
		}
	}
	return true
}

// recordProgress records a successful call.
func (s *Stream) recordProgress() {
	s.failingSince = time.Time{}
	s.reactor.progress = true
}

// handleError handles the error of a read or write. It returns true if the call will be retried; otherwise it has closed the
// stream and called the handler's Ended.
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

// closeWithError closes the stream and calls the handler's Ended.
func (s *Stream) closeWithError(err error) {
	s.reactor.progress = true
	s.Close()
	s.handler.Ended(err)
}
