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

const maxAttempts = 3 // of a call that sets an option, which may fail for a moment

// Dialing is a connection that is being made.
type Dialing struct {
	registration
	reactor  *Reactor
	target   unix.Sockaddr
	deadline time.Time
	done     func(*Stream, error)
	timer    *time.Timer
	lastErr  error // of the try before
	finished bool
}

// Dial makes a connection to an IP address and port. Done is called on the loop, once: with the stream, which has no handler
// yet, or with an error; os.ErrDeadlineExceeded where it did not come up in time. What the system is short of is tried again
// until then.
func (r *Reactor) Dial(address string, within time.Duration, done func(*Stream, error)) *Dialing {
	d := &Dialing{registration: registration{fd: -1}, reactor: r, deadline: time.Now().Add(within), done: done}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		resolved, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			r.Defer(func() { d.finish(nil, fmt.Errorf("dial: %w", err)) })
			return d
		}
		to = resolved.AddrPort()
	}
	d.target = socketAddress(to)
	d.timer = time.AfterFunc(within, func() { r.Post(d.timedOut) })
	r.Defer(d.start)
	return d
}

// Cancel gives it up. Done is not called any more.
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

// retryLater begins again with a new socket.
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
		d.reactor.add(d) // whether it is connected is seen there
	case transient.Is(err):
		d.retryLater("connect", err)
	default:
		d.finish(nil, err)
	}
}

func (d *Dialing) handleEvents(uint32) { d.tryIO() }

// tryIO looks whether the connection is up.
func (d *Dialing) tryIO() {
	d.reactor.progress = true
	number, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		d.reactor.reportFailure("getsockopt", err) // epoll tells it again
		return
	}
	if refused := unix.Errno(number); number != 0 {
		if transient.Is(refused) {
			d.retryLater("connect", refused)
		} else {
			d.finish(nil, refused)
		}
		return
	}
	if _, err := unix.Getpeername(d.fd); err != nil {
		if !d.added { // epoll could not be told, and this is a mere look
			return
		}
		d.retryLater("connect", err) // the system call was interrupted before it began
		return
	}
	d.handOver()
}

// handOver hands the descriptor over to a stream.
func (d *Dialing) handOver() {
	s := &Stream{registration: d.registration, reactor: d.reactor}
	s.interest = readEvents
	delete(d.reactor.pendingRetry, d)
	d.closed = true // it is the stream's now
	d.finish(s, nil)
	if !s.closed {
		d.reactor.add(s)
	}
}

// newSocket gives a socket of an address's family.
func newSocket(kind int, address unix.Sockaddr) (int, error) {
	family := unix.AF_INET
	if _, is := address.(*unix.SockaddrInet6); is {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err //nolint:wrapcheck // callers judge by it
	}
	return fd, nil
}

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

func setNoDelay(fd int) { setTCPOption(fd, unix.TCP_NODELAY) }

// setNotSentLowWatermark has the system take no more bytes for a connection than it can send: what a peer's window does not let out stays
// with us. Where the option is missing the system holds back some, and all else is as with it.
func setNotSentLowWatermark(fd int) { setTCPOption(fd, unix.TCP_NOTSENT_LOWAT) }

func setTCPOption(fd, name int) {
	for range maxAttempts {
		if unix.SetsockoptInt(fd, unix.IPPROTO_TCP, name, 1) == nil {
			return
		}
	}
}
