package loop

import (
	"time"

	"pitchfield/internal/buffers"
	"pitchfield/internal/router"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// Bytes that a peer does not read wait here. They are bounded for each peer and in total, and engines are not read while a
// client is behind with a streamed result.

// sendToClient encodes a reply for a client and writes it, unless p is nil, and releases the reply's rows. A client that
// leaves much of a streamed result unread is reported to the router as slow.
func (l *Loop) sendToClient(p *peer, reply traffic.ClientReply) {
	if p != nil {
		p.client.Encode(l.encoded, reply)
		if l.encoded.Len() > 0 {
			l.write(p, l.encoded)
		}
	}
	switch r := reply.(type) {
	case *traffic.Answer:
		rows.Release(r.Rows)
	case *traffic.Rows:
		r.Part.Release()
		if p != nil && l.isOpen(p) && !p.slow && p.stream.Unsent() > slowClientBytes {
			p.slow = true
			l.processEvent(router.ClientUnread{Client: p.number, Full: true})
			l.scheduleUnreadCheck()
		}
	}
}

// scheduleUnreadCheck checks slow clients, and engines that requests wait for, at an interval until all have read what
// was written to them.
func (l *Loop) scheduleUnreadCheck() {
	if l.unreadCheckSet {
		return
	}
	l.unreadCheckSet = true
	time.AfterFunc(unreadCheckInterval, func() {
		l.reactor.Post(func() {
			l.unreadCheckSet = false
			for p := range l.unsentPeers {
				l.updateUnsent(p)
			}
			more := l.reportReadEngines()
			for _, p := range l.clients {
				if !p.slow {
					continue
				}
				if p.stream.Unsent() < slowClientBytes/4 {
					p.slow = false
					l.processEvent(router.ClientUnread{Client: p.number})
				} else {
					more = true
				}
			}
			if more {
				l.scheduleUnreadCheck()
			}
		})
	})
}

// write writes bytes to a peer and releases them. Unsent bytes are bounded for each peer and in total: a peer that would
// exceed its bound is disconnected, and above the total the peer with the most unsent bytes is.
func (l *Loop) write(p *peer, data *buffers.Chain) {
	defer data.Release()
	if p == nil {
		return
	}
	if p.stream.Unsent()+data.Len() > l.maxPerPeer {
		l.failConnection(p, router.PeerNotReading)
		return
	}
	p.stream.Write(data.Parts())
	if !l.isOpen(p) { // the write has failed, and the router has been told
		return
	}
	l.updateUnsent(p)
	if l.unsentBytes > l.maxUnsent {
		largest := p
		for other := range l.unsentPeers {
			if other.unsent > largest.unsent {
				largest = other
			}
		}
		l.failConnection(largest, router.PeerNotReading)
	}
}

// updateUnsent counts the unsent bytes of a peer again.
func (l *Loop) updateUnsent(p *peer) {
	n := p.stream.Unsent()
	l.unsentBytes += n - p.unsent
	if p.unsent = n; n > 0 {
		l.unsentPeers[p] = struct{}{}
	} else {
		delete(l.unsentPeers, p)
	}
}
