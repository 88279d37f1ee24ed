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
	listenBacklog     = 4096 // the kernel caps it at its own limit
	maxAcceptsPerCall = 16   // accepts in a row, so that a listener does not starve other sockets
)

// listener is a TCP listener.
type listener struct {
	registration
	reactor  *Reactor
	onAccept func(*Stream) StreamHandler
	closing  bool // close the listener as soon as its accept queue is empty
}

// Listen accepts TCP connections at an address. For each connection the loop calls onAccept, which returns the stream's handler,
// or nil to close the connection immediately. Transient errors of the setup are retried for startTimeout; Listen returns the
// last error if they persist. Only the loop may call it, or the caller before Run starts.
func (r *Reactor) Listen(address string, onAccept func(*Stream) StreamHandler) error {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fd, err := bindSocket(unix.SOCK_STREAM, socketAddress(to.AddrPort()))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) //nolint:errcheck // the option is set again on accepted sockets
	if err := transient.Retry(startTimeout, func() error { return unix.Listen(fd, listenBacklog) }); err != nil {
		unix.Close(fd)
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	l := &listener{registration: registration{fd: fd, interest: unix.EPOLLIN}, reactor: r, onAccept: onAccept}
	r.listeners = append(r.listeners, l)
	r.add(l)
	return nil
}

// StopListening closes each listener after all connections in its kernel accept queue have been accepted. Closing it earlier
// would reset these connections and lose the requests on them.
func (r *Reactor) StopListening() {
	for _, l := range r.listeners {
		l.closing = true
		l.tryIO()
	}
}

// Listening reports whether a listener is open.
func (r *Reactor) Listening() bool {
	for _, l := range r.listeners {
		if !l.closed {
			return true
		}
	}
	return false
}

// bindSocket opens a socket that is bound to a local address, which other sockets may share (SO_REUSEPORT).
func bindSocket(kind int, address unix.Sockaddr) (fd int, err error) {
	err = transient.Retry(startTimeout, func() error {
		fd, err = newSocket(kind, address)
		if err != nil {
			return err
		}
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) //nolint:errcheck // bind fails if the option was needed
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) //nolint:errcheck // as above
		if err = unix.Bind(fd, address); err != nil {
			unix.Close(fd)
		}
		return err
	})
	return fd, err
}

func (l *listener) handleEvents(uint32) { l.tryIO() }

// tryIO accepts waiting connections. An error of accept concerns one connection that is gone, or is temporary, so accept is
// tried again later.
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

// retryClosing schedules another tryIO if the listener is closing, since epoll may report no further event for it. A closing
// listener is closed as soon as its accept queue is empty.
func (l *listener) retryClosing() {
	if l.closing {
		time.AfterFunc(retryInterval, func() { l.reactor.Post(l.tryIO) })
	}
}

// accept accepts one connection without its peer address. unix.Accept4 decodes the address, which needs another system call, and
// closes the connection if that call fails.
func accept(listener int) (int, error) {
	fd, _, errno := unix.Syscall6(unix.SYS_ACCEPT4, uintptr(listener), 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

// handleAccepted creates the stream of an accepted connection.
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
