package reactor

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionErrors are the errors that say a connection is over: its peer or the network ended it, or the descriptor is of no
// use. The list is closed: any error that is not on it says something of this moment, never of the connection. Taking an
// unknown error for the end of a connection loses all requests that are open on it (incident 2).
var connectionErrors = map[syscall.Errno]bool{
	unix.ECONNRESET: true, unix.EPIPE: true, unix.ECONNREFUSED: true, unix.ECONNABORTED: true, unix.ENOTCONN: true,
	unix.ETIMEDOUT: true, unix.EHOSTUNREACH: true, unix.ENETUNREACH: true, unix.EHOSTDOWN: true, unix.ENETRESET: true,
	unix.ESHUTDOWN: true, unix.EBADF: true, unix.ENOTSOCK: true,
}

// endsConnection tells whether an error says that the connection has ended. Else the call can be done again.
func endsConnection(err error) bool {
	var number syscall.Errno
	return !errors.As(err, &number) || connectionErrors[number]
}

// reportFailure reports an error of a system call that is not the ordinary 'not ready'. The call is done again.
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

// Failure is a system call that failed and is done again.
type Failure struct {
	Call string
	Err  error
}
