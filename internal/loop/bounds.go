package loop

import (
	"cmp"

	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
)

// Bounds on memory. Fractions are of the memory limit.
const (
	maxPeerBytes        = 2 << 20 // bytes of one peer that are unsent, or unparsed; larger than all answers of one connection together
	peerFraction        = 0.05    // bytes of one peer, if this is less than maxPeerBytes
	totalUnsentFraction = 0.15    // unsent bytes of all peers
	bufferedFraction    = 0.35    // all buffers in use; above it connections to engines with a large incomplete reply are closed
	unparsedFraction    = 0.1     // bytes of all clients that are read and not parsed
	partialFraction     = 0.2     // all buffers in use; above it incomplete messages are dropped, before batches are rejected
	freeBufferFraction  = 0.05    // free buffers kept for reuse

	defaultMemoryMB = 64 // the memory limit if none is configured
)

// memoryFraction returns a fraction of the memory limit in bytes.
func memoryFraction(of float64, c config.Config) int {
	return int(of * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20))
}

// setLimits computes the bounds on memory from the configuration.
func (l *Loop) setLimits() {
	l.maxUnsent = memoryFraction(totalUnsentFraction, l.config)
	l.maxBuffered, l.maxPartial = memoryFraction(bufferedFraction, l.config), memoryFraction(partialFraction, l.config)
	l.maxUnparsed = memoryFraction(unparsedFraction, l.config)
	l.maxPerPeer = min(maxPeerBytes, memoryFraction(peerFraction, l.config))
	l.pool.MaxFree = memoryFraction(freeBufferFraction, l.config) / buffers.Size
}
