package tds

import (
	"fmt"

	"pitchfield/internal/buffers"
)

// message is a whole message of a client.
type message struct {
	packetType, status byte   // from its first packet
	payload            []byte // empty if there is a problem
	problem            messageProblem
}

// messageProblem is why the payload of a whole message is missing.
type messageProblem uint8

const (
	messageIntact    messageProblem = iota
	messageOversized                // it exceeds maxMessageSize
	messageDropped                  // there was no memory for it
)

// incomingMessage assembles the packets of a client's message.
type incomingMessage struct {
	packetType, status byte           // from the first packet
	payload            *buffers.Chain // so far; nil: no message has begun
	oversized          bool           // it exceeds maxMessageSize; its payload is discarded
	dropped            bool           // its payload is discarded for lack of memory
	droppedPacket      packet         // the packet that is being discarded while it arrives
	droppedLeft        int            // bytes of it that have not arrived yet; 0: none is being discarded
}

// hasBegun reports whether a part of a message has been taken from the input.
func (m *incomingMessage) hasBegun() bool { return m.payload != nil || m.droppedLeft > 0 }

// nextPacket returns the header of the next packet. ok is set if the packet has arrived whole; a size of 0 says that its bytes
// are discarded already.
func (m *incomingMessage) nextPacket(in *buffers.Chain) (p packet, ok bool, err error) {
	if m.droppedLeft == 0 {
		return peekPacket(in)
	}
	arrived := min(m.droppedLeft, in.Len())
	in.Discard(arrived)
	m.droppedLeft -= arrived
	return m.droppedPacket, m.droppedLeft == 0, nil
}

// add consumes a packet of the message.
func (m *incomingMessage) add(p packet, in *buffers.Chain, pool *buffers.Pool) error {
	if m.payload == nil {
		m.packetType, m.status, m.payload = p.packetType, p.status, pool.Chain()
	}
	if p.packetType != m.packetType {
		return fmt.Errorf("%w: a packet of type %d in a message of type %d", ErrProtocol, p.packetType, m.packetType)
	}
	m.oversized = m.oversized || m.payload.Len()+p.size > maxMessageSize
	if m.oversized || m.dropped {
		in.Discard(p.size)
		return nil
	}
	p.movePayload(in, m.payload)
	return nil
}

// drop releases what has arrived of the message, of which in holds the last, incomplete packet, and has the rest discarded.
func (m *incomingMessage) drop(in *buffers.Chain) {
	m.dropped = m.dropped || m.payload != nil || in.Len() > 0
	m.payload.Release()
	if in.Len() >= headerSize {
		m.droppedPacket, _, _ = peekPacket(in) // nextPacket has found no fault in it
		m.droppedLeft = m.droppedPacket.size - in.Len()
		m.droppedPacket.size = 0
		in.Release()
	}
}

// end returns the message that is complete now, and prepares for the next one.
func (m *incomingMessage) end() message {
	whole := message{packetType: m.packetType, status: m.status}
	switch {
	case m.oversized:
		whole.problem = messageOversized
	case m.dropped:
		whole.problem = messageDropped
	default:
		whole.payload = m.payload.Bytes()
	}
	m.payload.Release()
	*m = incomingMessage{}
	return whole
}
