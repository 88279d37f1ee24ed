package reactor

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionErrors are the errors that mean that a connection has ended: the peer or the network closed it, or the descriptor
// is invalid. Every error that is not listed counts as temporary and says nothing about the connection. Treating an unknown
// error as the end of a connection would lose all requests that are open on it (incident 2).
var connectionErrors = map[syscall.Errno]bool{
	unix.ECONNRESET: true, unix.EPIPE: true, unix.ECONNREFUSED: true, unix.ECONNABORTED: true, unix.ENOTCONN: true,
	unix.ETIMEDOUT: true, unix.EHOSTUNREACH: true, unix.ENETUNREACH: true, unix.EHOSTDOWN: true, unix.ENETRESET: true,
	unix.ESHUTDOWN: true, unix.EBADF: true, unix.ENOTSOCK: true,
}

// endsConnection reports whether err means that the connection has ended. Errors that are not system call errors do. After any
// other error the call can be retried.
func endsConnection(err error) bool {
	var errno syscall.Errno
	return !errors.As(err, &errno) || connectionErrors[errno]
}

// reportFailure counts and reports a failed system call that will be retried. It ignores EAGAIN, which only says that the
// descriptor is not ready.
func (r *Reactor) reportFailure(call string, err error) {
	if errors.Is(err, unix.EAGAIN) {
		return
	}
	r.failures++
	r.callFailed = true
	if r.onFailure != nil {
		r.onFailure(Failure{Call: call, Err: err})
	}
}

// Failure describes a system call that failed and will be retried.
type Failure struct {
	Call string // name of the system call, such as "epoll_ctl"
	Err  error
}
