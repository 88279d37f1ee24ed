// Package transient distinguishes temporary errors of system calls from permanent ones and retries operations that failed with
// a temporary one. Startup, dialing and reloading share its list, so that they agree on which errors are temporary.
package transient

import (
	"errors"
	"syscall"
	"time"
)

// retryInterval is the delay between two attempts of Retry.
const retryInterval = 10 * time.Millisecond

// Is reports whether err means that the machine or the process is temporarily short of a resource, or that a call was
// interrupted. Such an error says nothing about a peer, a file or an address.
func Is(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.ENETDOWN, syscall.EPERM:
		return true
	}
	return false
}

// Retry calls operation until it succeeds, fails with an error that is not transient, or has failed for longer than timeout. It
// sleeps between the attempts and returns the last error.
func Retry(timeout time.Duration, operation func() error) error {
	for start := time.Now(); ; time.Sleep(retryInterval) {
		err := operation()
		if err == nil || !Is(err) || time.Since(start) > timeout {
			return err
		}
	}
}
