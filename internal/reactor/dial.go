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

const tries = 3 // of a call that sets an option, which may fail for a moment

// Dialing is a connection that is being made.
type Dialing struct {
	registration
	reactor *Reactor
	to      unix.Sockaddr
	by      time.Time
	done    func(*Stream, error)
	timer   *time.Timer
	lastErr error // of the try before
	over    bool
}

// Dial makes a connection to an IP address and port. Done is called on the loop, once: with the stream, which has no handler
// yet, or with an error; os.ErrDeadlineExceeded where it did not come up in time. What the system is short of is tried again
// until then.
func (r *Reactor) Dial(address string, within time.Duration, done func(*Stream, error)) *Dialing {
	d := &Dialing{registration: registration{fd: -1}, reactor: r, by: time.Now().Add(within), done: done}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		resolved, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			r.Soon(func() { d.finish(nil, fmt.Errorf("dial: %w", err)) })
			return d
		}
		to = resolved.AddrPort()
	}
	d.to = socketAddress(to)
	d.timer = time.AfterFunc(within, func() { r.Post(d.timedOut) })
	r.Soon(d.begin)
	return d
}

// Cancel gives it up. Done is not called any more.
func (d *Dialing) Cancel() {
	if d.over {
		return
	}
	d.over = true
	if d.timer != nil {
		d.timer.Stop()
	}
	d.drop()
}

func (d *Dialing) drop() {
	if d.fd >= 0 {
		d.reactor.forget(d)
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
	if d.over {
		return
	}
	if s == nil {
		d.drop()
	}
	d.over = true
	if d.timer != nil {
		d.timer.Stop()
	}
	d.done(s, err)
}

// later begins again with a new socket.
func (d *Dialing) later(call string, err error) {
	d.reactor.failed(call, err)
	d.lastErr = err
	d.drop()
	time.AfterFunc(retryEvery, func() { d.reactor.Post(d.begin) })
}

func (d *Dialing) begin() {
	if d.over {
		return
	}
	fd, err := newSocket(unix.SOCK_STREAM, d.to)
	if err != nil {
		d.later("socket", err)
		return
	}
	d.registration = registration{fd: fd, wanted: allEvents}
	noDelay(fd)
	keepUnsent(fd)
	d.connect()
}

func (d *Dialing) connect() {
	err := unix.Connect(d.fd, d.to)
	switch {
	case err == nil, errors.Is(err, unix.EINPROGRESS), errors.Is(err, unix.EALREADY), errors.Is(err, unix.EINTR), errors.Is(err, unix.EISCONN):
		d.lastErr = nil
		d.reactor.add(d) // whether it is connected is seen there
	case transient.Is(err):
		d.later("connect", err)
	default:
		d.finish(nil, err)
	}
}

func (d *Dialing) ready(uint32) { d.again() }

// again looks whether the connection is up.
func (d *Dialing) again() {
	d.reactor.progress = true
	number, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		d.reactor.failed("getsockopt", err) // epoll tells it again
		return
	}
	if refused := unix.Errno(number); number != 0 {
		if transient.Is(refused) {
			d.later("connect", refused)
		} else {
			d.finish(nil, refused)
		}
		return
	}
	if _, err := unix.Getpeername(d.fd); err != nil {
		if !d.added { // epoll could not be told, and this is a mere look
			return
		}
		d.later("connect", err) // the system call was interrupted before it began
		return
	}
	d.up()
}

// up hands the descriptor over to a stream.
func (d *Dialing) up() {
	s := &Stream{registration: d.registration, reactor: d.reactor}
	s.wanted = readEvents
	delete(d.reactor.unsettled, d)
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

func noDelay(fd int) { option(fd, unix.TCP_NODELAY) }

// keepUnsent has the system take no more bytes for a connection than it can send: what a peer's window does not let out stays
// with us. Where the option is missing the system holds back some, and all else is as with it.
func keepUnsent(fd int) { option(fd, unix.TCP_NOTSENT_LOWAT) }

func option(fd, name int) {
	for range tries {
		if unix.SetsockoptInt(fd, unix.IPPROTO_TCP, name, 1) == nil {
			return
		}
	}
}
