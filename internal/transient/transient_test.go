package transient

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRetryRepeatsTransientErrors(t *testing.T) {
	calls := 0
	failing := func(times int, err error) func() error {
		calls = 0
		return func() error {
			if calls++; calls > times {
				return nil
			}
			return fmt.Errorf("open: %w", &os.PathError{Err: err})
		}
	}
	assert.NoError(t, Retry(time.Minute, failing(3, syscall.EMFILE)))
	assert.Equal(t, 4, calls)
	assert.ErrorIs(t, Retry(time.Minute, failing(3, syscall.ENOENT)), syscall.ENOENT)
	assert.Equal(t, 1, calls, "it is not there")
	assert.ErrorIs(t, Retry(0, failing(1000, syscall.EIO)), syscall.EIO)
	assert.False(t, Is(errors.New("no error of a system call")))
}
