// Package transient tells errors of system calls that will pass from those that will not, and does again what failed with
// one. It is the one list of them: what a start, a dial and a reload hold for passing is the same.
package transient

import (
	"errors"
	"syscall"
	"time"
)

// retryInterval is how long Retry waits between two tries.
const retryInterval = 10 * time.Millisecond

// Is tells whether an error says that this machine or process is short of something at this moment, or that a call was
// interrupted. It proves nothing about a peer, a file or an address.
func Is(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.ENETDOWN, syscall.EPERM:
		return true
	}
	return false
}

// Retry does something until it succeeds, fails with an error that will not pass, or has failed for so long. It gives the
// last error.
func Retry(within time.Duration, what func() error) error {
	for began := time.Now(); ; time.Sleep(retryInterval) {
		err := what()
		if err == nil || !Is(err) || time.Since(began) > within {
			return err
		}
	}
}
