// Package tds implements version 7.4 of the Tabular Data Stream, the SQL Server wire protocol, as Microsoft publishes it
// in [MS-TDS]. Session is the protocol state of a client's connection, Engine that of a connection to an engine. Both
// turn bytes into events and back; they use no socket and no clock and make no decision about a batch.
package tds

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"unicode/utf16"
	"unicode/utf8"

	"pitchfield/internal/buffers"
)

// Packet types ([MS-TDS] 2.2.3.1.1).
const (
	packetBatch              = 1
	packetRPC                = 3
	packetTabularResult      = 4
	packetAttention          = 6
	packetBulkLoad           = 7
	packetTransactionManager = 14
	packetLogin7             = 16
	packetSSPI               = 17
	packetPrelogin           = 18
)

// Status bits of a packet ([MS-TDS] 2.2.3.1.2).
const (
	statusEOM             = 0x01
	statusIgnore          = 0x02
	statusResetConnection = 0x08
	statusResetKeepTran   = 0x10
)

// Sizes are in bytes.
const (
	headerSize = 8 // of a packet

	minPacketSize     = 512
	defaultPacketSize = 4096 // until the login has negotiated another
	maxPacketSize     = 32767

	maxMessageSize = 256 << 10 // of a client's message: as large as a frame of package clients may be
	maxTokenSize   = 512 << 10 // of an engine's token: a row, or the columns of a result set

	maxColumns    = 1024 // of a result set
	maxColumnName = 128  // UTF-16 units

	tdsVersion uint32 = 0x74000004 // TDS 7.4
)

// ErrProtocol means that the bytes received violate the protocol. Nothing after them can be read.
var ErrProtocol = errors.New("TDS protocol violation")

// errIncomplete means that a token or value has not been received whole.
var errIncomplete = errors.New("cut short")

// packet is the header of a packet.
type packet struct {
	packetType, status byte
	size               int // bytes, with the header
}

// peekPacket reads the header of the next packet without consuming it. ok is set if the whole packet has been received.
func peekPacket(in *buffers.Chain) (p packet, ok bool, err error) {
	var header [headerSize]byte
	n := in.Peek(0, header[:])
	if n > 0 { // an unknown type is rejected at the first byte, without waiting for the rest of the header
		switch p.packetType = header[0]; p.packetType {
		case packetBatch, packetRPC, packetTabularResult, packetAttention, packetBulkLoad, packetTransactionManager, packetLogin7, packetSSPI, packetPrelogin:
		default:
			return p, false, fmt.Errorf("%w: packet type %d", ErrProtocol, p.packetType)
		}
	}
	if n < headerSize {
		return p, false, nil
	}
	p.status, p.size = header[1], int(binary.BigEndian.Uint16(header[2:]))
	if p.size < headerSize || p.size > maxPacketSize {
		return p, false, fmt.Errorf("%w: packet of %d bytes", ErrProtocol, p.size)
	}
	return p, in.Len() >= p.size, nil
}

// appendPayload consumes the packet and appends its payload to out.
func (p packet) appendPayload(in *buffers.Chain, out []byte) []byte {
	in.Discard(headerSize)
	n := p.size - headerSize
	start := len(out)
	out = append(out, make([]byte, n)...)
	in.Peek(0, out[start:])
	in.Discard(n)
	return out
}

// movePayload consumes the packet and appends its payload to out.
func (p packet) movePayload(in, out *buffers.Chain) {
	in.Discard(headerSize)
	payload := in.Cut(p.size - headerSize)
	out.Append(payload)
	payload.Release()
}

// writer splits messages into packets. Bytes that do not fill a packet stay in buf until more are added or the message
// ends.
type writer struct {
	packetType byte
	status     byte // of the first packet of a message
	packetSize int  // negotiated packet size in bytes
	packetID   byte
	buf        []byte
	spare      *[]byte // unused buffer, shared by all writers of one event loop; nil: no sharing
}

// writePacket writes one packet.
func (w *writer) writePacket(out *buffers.Chain, payload []byte, status byte) {
	w.packetID++
	header := [headerSize]byte{w.packetType, status | w.status, 0, 0, 0, 0, w.packetID, 0}
	w.status = 0
	binary.BigEndian.PutUint16(header[2:], uint16(headerSize+len(payload)))
	out.Write(header[:])
	out.Write(payload)
}

// flushFull writes the full packets of buf.
func (w *writer) flushFull(out *buffers.Chain) {
	maxPayload, b := w.packetSize-headerSize, w.buf
	for len(b) > maxPayload { // an exactly full packet stays: it may be the last, which carries EOM
		w.writePacket(out, b[:maxPayload], 0)
		b = b[maxPayload:]
	}
	w.buf = w.buf[:copy(w.buf, b)]
}

// endMessage writes the rest of buf and ends the message. The buffer is passed to the next writer, so idle sessions keep
// none.
func (w *writer) endMessage(out *buffers.Chain) {
	w.flushFull(out)
	w.writePacket(out, w.buf, statusEOM)
	if w.spare != nil && cap(w.buf) <= maxPacketSize {
		*w.spare = w.buf[:0]
	}
	w.packetID, w.buf = 0, nil
}

// beginMessage takes over the shared spare buffer.
func (w *writer) beginMessage() {
	if w.buf == nil && w.spare != nil {
		w.buf, *w.spare = *w.spare, nil
	}
}

// writeMessage writes a whole message.
func writeMessage(out *buffers.Chain, kind, status byte, size int, payload []byte) {
	w := writer{packetType: kind, status: status, packetSize: size, buf: payload}
	w.endMessage(out)
}

// cursor reads values from a byte slice. After the first error, which err keeps, all reads return zero values.
type cursor struct {
	buf    []byte
	offset int
	err    error
}

// fail sets a protocol error unless there is an error already.
func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: "+format, append([]any{ErrProtocol}, args...)...)
	}
}

// remaining returns the number of unread bytes.
func (c *cursor) remaining() int { return len(c.buf) - c.offset }

// take reads n bytes; nil after an error.
func (c *cursor) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > c.remaining() {
		c.err = errIncomplete
		return nil
	}
	c.offset += n
	return c.buf[c.offset-n : c.offset : c.offset]
}

func (c *cursor) u8() byte {
	if c.err == nil && c.offset < len(c.buf) {
		c.offset++
		return c.buf[c.offset-1]
	}
	c.take(1)
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// chars reads n UTF-16 units.
func (c *cursor) chars(n int) string { return fromUTF16(c.take(2 * n)) }

// bVarChar reads a B_VARCHAR: a text with its length in one byte.
func (c *cursor) bVarChar() string { return c.chars(int(c.u8())) }

// usVarChar reads a US_VARCHAR: a text with its length in two bytes.
func (c *cursor) usVarChar() string { return c.chars(int(c.u16())) }

// fromUTF16 decodes little-endian UTF-16. Unpaired surrogates become U+FFFD.
func fromUTF16(b []byte) string {
	out := make([]byte, 0, len(b)/2)
	return string(appendUTF8(out, b))
}

// appendUTF8 appends little-endian UTF-16 text as UTF-8.
func appendUTF8(out, b []byte) []byte {
	out = slices.Grow(out, len(b)/2)
	for i := 0; i+1 < len(b); i += 2 {
		u := rune(b[i]) | rune(b[i+1])<<8
		if u < utf8.RuneSelf {
			out = append(out, byte(u))
			continue
		}
		if utf16.IsSurrogate(u) {
			pair := rune(utf8.RuneError)
			if i+3 < len(b) {
				pair = utf16.DecodeRune(u, rune(b[i+2])|rune(b[i+3])<<8)
			}
			if u = pair; u != utf8.RuneError {
				i += 2
			}
		}
		out = utf8.AppendRune(out, u)
	}
	return out
}

// utf16Units returns the number of UTF-16 units that a text takes.
func utf16Units[T string | []byte](s T) (n int) {
	for _, r := range string(s) {
		n++
		if r > 0xFFFF {
			n++
		}
	}
	return n
}

// appendUTF16 appends UTF-8 text as little-endian UTF-16.
func appendUTF16[T string | []byte](out []byte, s T) []byte {
	out = slices.Grow(out, 2*len(s))
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			out = append(out, c, 0)
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(string(s[i:min(i+utf8.UTFMax, len(s))]))
		i += n
		if r > 0xFFFF {
			a, b := utf16.EncodeRune(r)
			out = append(out, byte(a), byte(a>>8), byte(b), byte(b>>8))
		} else {
			out = append(out, byte(r), byte(r>>8))
		}
	}
	return out
}

// appendU16 appends a little-endian uint16.
func appendU16(out []byte, v int) []byte { return binary.LittleEndian.AppendUint16(out, uint16(v)) }

// appendU32 appends a little-endian uint32.
func appendU32(out []byte, v uint32) []byte { return binary.LittleEndian.AppendUint32(out, v) }

// appendBVarChar appends a B_VARCHAR: a text with its length in one byte. A longer text is truncated to 255 units.
func appendBVarChar(out []byte, s string) []byte {
	s = truncateUTF16(s, 255)
	return appendUTF16(append(out, byte(utf16Units(s))), s)
}

// appendUSVarChar appends a US_VARCHAR: a text with its length in two bytes. A longer text is truncated to 2000 units.
func appendUSVarChar(out []byte, s string) []byte {
	s = truncateUTF16(s, 2000)
	return appendUTF16(appendU16(out, utf16Units(s)), s)
}

// truncateUTF16 returns the longest prefix of s that takes at most maxUnits UTF-16 units.
func truncateUTF16(s string, maxUnits int) string {
	n := 0
	for i, r := range s {
		if n++; r > 0xFFFF {
			n++
		}
		if n > maxUnits {
			return s[:i]
		}
	}
	return s
}
