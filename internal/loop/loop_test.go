package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
)

// At the smallest limit the program itself takes some 12 MB: what is held must fit beside it.
func TestMemoryBoundsFitTheSmallestLimit(t *testing.T) {
	l := &Loop{pool: &buffers.Pool{}, config: config.Config{MemoryMB: 32}}
	l.setLimits()
	assert.Less(t, l.maxBuffered+l.maxUnsent+l.pool.MaxFree*buffers.Size, 20<<20)
	assert.Less(t, l.maxPeerUnsent, l.maxUnsent)
	l.config.MemoryMB = 192
	l.setLimits()
	assert.Equal(t, maxPeerUnsentBytes, l.maxPeerUnsent)
}
