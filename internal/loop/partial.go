package loop

import (
	"go.uber.org/zap"

	"pitchfield/internal/buffers"
	"pitchfield/internal/router"
)

// Incomplete messages of clients take memory, and a client may never complete one. While buffers take too much, the messages
// that have been incomplete for longest are dropped: their bytes are released, what still arrives of them is discarded, and a
// request among them is rejected once it is complete. Their connections go on, since other requests may be open on them.

// dropPartialMessages drops incomplete messages of clients while buffers take too much memory.
func (l *Loop) dropPartialMessages() {
	for l.pool.InUse()*buffers.Size > l.maxPartial {
		p := l.oldestPartial()
		if p == nil {
			return
		}
		l.log.Info("incomplete message is dropped, memory is short", zap.Uint64("connection", p.number),
			zap.Int("bytes", p.client.PartialSize(p.received)), zap.Int("held", l.pool.InUse()*buffers.Size))
		if !p.client.DropPartial(p.received) {
			l.failConnection(p, router.BufferLimitExceeded)
		}
	}
}

// oldestPartial returns the client's connection whose message has been incomplete for longest, of those that take more than
// one buffer; nil: there is none.
func (l *Loop) oldestPartial() (oldest *peer) {
	for _, p := range l.clients {
		if !p.hasPartial || p.client.PartialSize(p.received) <= buffers.Size {
			continue
		}
		if oldest == nil || p.partialSince.Before(oldest.partialSince) {
			oldest = p
		}
	}
	return oldest
}
