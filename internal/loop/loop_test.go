package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
)

// At the smallest limit the program itself takes some 12 MB: what is held must fit beside it.
func TestBoundsAreSharesOfTheSmallestLimit(t *testing.T) {
	l := &Loop{pool: &buffers.Pool{}, config: config.Config{MemoryMB: 32}}
	l.bound()
	assert.Less(t, l.mostHeld+l.mostUnread+l.pool.MaxFree*buffers.Size, 20<<20)
	assert.Less(t, l.peerUnread, l.mostUnread)
	l.config.MemoryMB = 192
	l.bound()
	assert.Equal(t, peerUnread, l.peerUnread)
}
