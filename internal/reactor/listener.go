package reactor

import (
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"pitchfield/internal/transient"
)

const (
	listenBacklog     = 4096 // the system cuts it to its own bound
	maxAcceptsPerCall = 16   // in a row: the others wait
)

// listener is a TCP listener.
type listener struct {
	registration
	reactor  *Reactor
	onAccept func(*Stream) StreamHandler
	closing  bool // once nothing waits to be accepted
}

// Listen accepts connections at an address. Accepted gives who is told what happens on one; nil: it is closed at once. What
// fails for a moment as the listener is made is done again; the error is of what went on failing.
func (r *Reactor) Listen(address string, accepted func(*Stream) StreamHandler) error {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fd, err := bindSocket(unix.SOCK_STREAM, socketAddress(to.AddrPort()))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) //nolint:errcheck // accepted ones are set again
	if err := transient.Retry(startTimeout, func() error { return unix.Listen(fd, listenBacklog) }); err != nil {
		unix.Close(fd)
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	l := &listener{registration: registration{fd: fd, interest: unix.EPOLLIN}, reactor: r, onAccept: accepted}
	r.listeners = append(r.listeners, l)
	r.add(l)
	return nil
}

// StopListening closes all listeners, each once all that its machine has accepted has been handed over: a plain close resets what
// waits there, with the requests on it.
func (r *Reactor) StopListening() {
	for _, l := range r.listeners {
		l.closing = true
		l.tryIO()
	}
}

// Listening tells whether a listener is open.
func (r *Reactor) Listening() bool {
	for _, l := range r.listeners {
		if !l.closed {
			return true
		}
	}
	return false
}

// bindSocket gives a socket at a local address, which other sockets may share.
func bindSocket(kind int, address unix.Sockaddr) (fd int, err error) {
	err = transient.Retry(startTimeout, func() error {
		fd, err = newSocket(kind, address)
		if err != nil {
			return err
		}
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) //nolint:errcheck // bind tells whether it matters
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) //nolint:errcheck // the same
		if err = unix.Bind(fd, address); err != nil {
			unix.Close(fd)
		}
		return err
	})
	return fd, err
}

func (l *listener) handleEvents(uint32) { l.tryIO() }

// tryIO accepts what is there. An error of accept is of one connection that has gone, or of this moment: the next try tells.
func (l *listener) tryIO() {
	for range maxAcceptsPerCall {
		if l.closed {
			return
		}
		fd, err := accept(l.fd)
		switch {
		case err == nil:
			l.reactor.progress = true
			l.handleAccepted(fd)
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		case errors.Is(err, unix.EAGAIN):
			if l.closing {
				l.reactor.closeDescriptor(l)
			}
			return
		default:
			l.reactor.reportFailure("accept4", err)
			l.retryClosing()
			return
		}
	}
	l.retryClosing()
}

// retryClosing has a listener that closes try again, also where epoll has nothing to tell.
func (l *listener) retryClosing() {
	if l.closing {
		time.AfterFunc(retryInterval, func() { l.reactor.Post(l.tryIO) })
	}
}

// accept takes one connection. It asks for no address: the library's call wants a further system call for that, and closes the
// connection where that one fails.
func accept(listener int) (int, error) {
	fd, _, number := unix.Syscall6(unix.SYS_ACCEPT4, uintptr(listener), 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
	if number != 0 {
		return -1, number
	}
	return int(fd), nil
}

func (l *listener) handleAccepted(fd int) {
	setNoDelay(fd)
	s := l.reactor.newStream(fd, nil)
	if s.handler = l.onAccept(s); s.handler == nil {
		s.Close()
		return
	}
	if !s.closed {
		l.reactor.add(s)
	}
}
