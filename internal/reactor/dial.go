package reactor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"pitchfield/internal/transient"
)

const maxAttempts = 3 // attempts of a setsockopt or a datagram send, which may fail temporarily

// Dialing is a TCP connection attempt that is in progress. Only the loop may call its methods.
type Dialing struct {
	registration
	reactor  *Reactor
	target   unix.Sockaddr
	deadline time.Time
	done     func(*Stream, error)
	timer    *time.Timer // fires at the deadline; nil if the address could not be resolved
	lastErr  error       // error of the previous attempt; nil if a connect is in progress
	finished bool        // done was called, or the dial was cancelled
}

// Dial starts a connection to an IP address and port. The loop calls done once, with the stream, which has no handler yet, or
// with an error. Transient errors, such as a shortage of descriptors, are retried until the timeout. On a timeout done gets the
// error of the last attempt, or os.ErrDeadlineExceeded if there was none. Only the loop may call Dial.
func (r *Reactor) Dial(address string, timeout time.Duration, done func(*Stream, error)) *Dialing {
	d := &Dialing{registration: registration{fd: -1}, reactor: r, deadline: time.Now().Add(timeout), done: done}
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		resolved, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			r.Defer(func() { d.finish(nil, fmt.Errorf("dial: %w", err)) })
			return d
		}
		remote = resolved.AddrPort()
	}
	d.target = socketAddress(remote)
	d.timer = time.AfterFunc(timeout, func() { r.Post(d.timedOut) })
	r.Defer(d.start)
	return d
}

// Cancel abandons the attempt. The done callback will not be called.
func (d *Dialing) Cancel() {
	if d.finished {
		return
	}
	d.finished = true
	if d.timer != nil {
		d.timer.Stop()
	}
	d.closeSocket()
}

func (d *Dialing) closeSocket() {
	if d.fd >= 0 {
		d.reactor.closeDescriptor(d)
	}
}

func (d *Dialing) timedOut() {
	if d.lastErr != nil {
		d.finish(nil, d.lastErr)
	} else {
		d.finish(nil, os.ErrDeadlineExceeded)
	}
}

func (d *Dialing) finish(s *Stream, err error) {
	if d.finished {
		return
	}
	if s == nil {
		d.closeSocket()
	}
	d.finished = true
	if d.timer != nil {
		d.timer.Stop()
	}
	d.done(s, err)
}

// retryLater closes the socket and starts again with a new one after retryInterval.
func (d *Dialing) retryLater(call string, err error) {
	d.reactor.reportFailure(call, err)
	d.lastErr = err
	d.closeSocket()
	time.AfterFunc(retryInterval, func() { d.reactor.Post(d.start) })
}

func (d *Dialing) start() {
	if d.finished {
		return
	}
	fd, err := newSocket(unix.SOCK_STREAM, d.target)
	if err != nil {
		d.retryLater("socket", err)
		return
	}
	d.registration = registration{fd: fd, interest: allEvents}
	setNoDelay(fd)
	setNotSentLowWatermark(fd)
	d.connect()
}

func (d *Dialing) connect() {
	err := unix.Connect(d.fd, d.target)
	switch {
	case err == nil, errors.Is(err, unix.EINPROGRESS), errors.Is(err, unix.EALREADY), errors.Is(err, unix.EINTR), errors.Is(err, unix.EISCONN):
		d.lastErr = nil
		d.reactor.add(d) // tryIO checks whether it is connected
	case transient.Is(err):
		d.retryLater("connect", err)
	default:
		d.finish(nil, err)
	}
}

func (d *Dialing) handleEvents(uint32) { d.tryIO() }

// tryIO checks whether the connection is established.
func (d *Dialing) tryIO() {
	d.reactor.progress = true
	errno, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		d.reactor.reportFailure("getsockopt", err) // epoll reports the event again
		return
	}
	if connectErr := unix.Errno(errno); errno != 0 {
		if transient.Is(connectErr) {
			d.retryLater("connect", connectErr)
		} else {
			d.finish(nil, connectErr)
		}
		return
	}
	if _, err := unix.Getpeername(d.fd); err != nil {
		if !d.added { // called without an epoll event, so the connect may still be in progress
			return
		}
		d.retryLater("connect", err) // the connect system call was interrupted before it started
		return
	}
	d.handOver()
}

// handOver moves the connected descriptor to a new stream and finishes the dial.
func (d *Dialing) handOver() {
	s := &Stream{registration: d.registration, reactor: d.reactor}
	s.interest = readEvents
	delete(d.reactor.pendingRetry, d)
	d.closed = true // the stream owns the descriptor now
	d.finish(s, nil)
	if !s.closed {
		d.reactor.add(s)
	}
}

// newSocket opens a non-blocking socket of the address's family.
func newSocket(kind int, address unix.Sockaddr) (int, error) {
	family := unix.AF_INET
	if _, isIPv6 := address.(*unix.SockaddrInet6); isIPv6 {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err //nolint:wrapcheck // callers classify it
	}
	return fd, nil
}

// socketAddress converts an address for system calls. An invalid address becomes the IPv4 wildcard address.
// socketAddress converts an address for system calls. An invalid address becomes the IPv4 wildcard address.
func socketAddress(to netip.AddrPort) unix.Sockaddr {
	if ip := to.Addr().Unmap(); ip.Is4() || !to.Addr().IsValid() {
		address := &unix.SockaddrInet4{Port: int(to.Port())}
		if ip.IsValid() {
			address.Addr = ip.As4()
		}
		return address
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// setNoDelay disables Nagle's algorithm.
// setNoDelay disables Nagle's algorithm.
func setNoDelay(fd int) { setTCPOption(fd, unix.TCP_NODELAY) }

// setNotSentLowWatermark makes the kernel accept hardly more bytes for a connection than it can send now, so that bytes beyond
// the peer's window stay in Stream.unsent. Without the option the kernel buffers some of them; nothing else changes.
func setNotSentLowWatermark(fd int) { setTCPOption(fd, unix.TCP_NOTSENT_LOWAT) }

// setTCPOption sets a TCP option to 1. Errors are ignored after maxAttempts attempts.
// setTCPOption sets a TCP option to 1. Errors are ignored after maxAttempts attempts.
func setTCPOption(fd, name int) {
	for range maxAttempts {
		if unix.SetsockoptInt(fd, unix.IPPROTO_TCP, name, 1) == nil {
			return
		}
	}
}
