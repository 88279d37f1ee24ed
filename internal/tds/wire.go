// Package tds speaks the Tabular Data Stream, version 7.4, as Microsoft publishes it ([MS-TDS]): Session is a
// connection of a client, Engine one to an engine. Both take bytes and give facts; they hold no socket and no clock,
// and decide nothing about a batch.
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

// The types of packets (2.2.3.1.1).
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

// The status bits of a packet (2.2.3.1.2).
const (
	statusEOM             = 0x01
	statusIgnore          = 0x02
	statusResetConnection = 0x08
	statusResetKeepTran   = 0x10
)

const (
	headerSize                                             = 8
	minPacketSize, defaultPacketSize, maxPacketSize        = 512, 4096, 32767
	maxMessageSize                                         = 256 << 10 // of a client, in bytes: as much as a frame holds
	maxTokenSize                                           = 512 << 10 // of an engine: a row, or the columns of a result
	maxColumns                                             = 1024
	maxColumnName                                          = 128 // characters of a column's name
	tdsVersion                                      uint32 = 0x74000004
)

// ErrProtocol says that a connection's bytes are no TDS: nothing after them can be read.
var ErrProtocol = errors.New("not TDS")

// errIncomplete says that a token or a value is not whole yet.
var errIncomplete = errors.New("cut short")

// packet is the head of one.
type packet struct {
	packetType, status byte
	size               int // with the head
}

// peekPacket reads the head of the next packet; ok: it is whole.
func peekPacket(in *buffers.Chain) (p packet, ok bool, err error) {
	var head [headerSize]byte
	n := in.Peek(0, head[:])
	if n > 0 { // what is none is told at the first byte: nobody waits for the rest of it
		switch p.packetType = head[0]; p.packetType {
		case packetBatch, packetRPC, packetTabularResult, packetAttention, packetBulkLoad, packetTransactionManager, packetLogin7, packetSSPI, packetPrelogin:
		default:
			return p, false, fmt.Errorf("%w: packet type %d", ErrProtocol, p.packetType)
		}
	}
	if n < headerSize {
		return p, false, nil
	}
	p.status, p.size = head[1], int(binary.BigEndian.Uint16(head[2:]))
	if p.size < headerSize || p.size > maxPacketSize {
		return p, false, fmt.Errorf("%w: packet of %d bytes", ErrProtocol, p.size)
	}
	return p, in.Len() >= p.size, nil
}

// appendPayload moves a packet's payload to the end of a buffer.
func (p packet) appendPayload(in *buffers.Chain, into []byte) []byte {
	in.Discard(headerSize)
	n := p.size - headerSize
	at := len(into)
	into = append(into, make([]byte, n)...)
	in.Peek(0, into[at:])
	in.Discard(n)
	return into
}

// writer cuts messages into packets. What does not fill one stays until more comes or the message ends.
type writer struct {
	packetType byte
	status     byte // of the first packet of a message
	packetSize int  // of a packet, as agreed
	packetID   byte
	buf        []byte
	spare      *[]byte // shared by all that write on one loop
}

func (w *writer) writePacket(out *buffers.Chain, payload []byte, status byte) {
	w.packetID++
	head := [headerSize]byte{w.packetType, status | w.status, 0, 0, 0, 0, w.packetID, 0}
	w.status = 0
	binary.BigEndian.PutUint16(head[2:], uint16(headerSize+len(payload)))
	out.Write(head[:])
	out.Write(payload)
}

// flushFull writes out the packets that are full.
func (w *writer) flushFull(out *buffers.Chain) {
	room, b := w.packetSize-headerSize, w.buf
	for len(b) > room { // one that is just full may be the last
		w.writePacket(out, b[:room], 0)
		b = b[room:]
	}
	w.buf = w.buf[:copy(w.buf, b)]
}

// endMessage writes out the rest and ends the message. The buffer goes to whoever writes next: idle sessions hold none.
func (w *writer) endMessage(out *buffers.Chain) {
	w.flushFull(out)
	w.writePacket(out, w.buf, statusEOM)
	if w.spare != nil && cap(w.buf) <= maxPacketSize {
		*w.spare = w.buf[:0]
	}
	w.packetID, w.buf = 0, nil
}

// beginMessage takes the buffer that is spare.
func (w *writer) beginMessage() {
	if w.buf == nil && w.spare != nil {
		w.buf, *w.spare = *w.spare, nil
	}
}

// writeMessage writes a whole one.
func writeMessage(out *buffers.Chain, kind, status byte, size int, payload []byte) {
	w := writer{packetType: kind, status: status, packetSize: size, buf: payload}
	w.endMessage(out)
}

// cursor reads bytes. The first failure stays.
type cursor struct {
	buf    []byte
	offset int
	err    error
}

func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: "+format, append([]any{ErrProtocol}, args...)...)
	}
}

func (c *cursor) remaining() int { return len(c.buf) - c.offset }

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

// chars reads so many characters of two bytes.
func (c *cursor) chars(n int) string { return fromUTF16(c.take(2 * n)) }

// bVarChar reads a text with its length in one byte, long one in two.
func (c *cursor) bVarChar() string  { return c.chars(int(c.u8())) }
func (c *cursor) usVarChar() string { return c.chars(int(c.u16())) }

// fromUTF16 reads text; halves of pairs that stand alone become the sign for what can't be read.
func fromUTF16(b []byte) string {
	out := make([]byte, 0, len(b)/2)
	return string(appendUTF8(out, b))
}

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

// utf16Units tells how many characters of two bytes a text takes.
func utf16Units[T string | []byte](s T) (n int) {
	for _, r := range string(s) {
		n++
		if r > 0xFFFF {
			n++
		}
	}
	return n
}

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

func appendU16(out []byte, v int) []byte    { return binary.LittleEndian.AppendUint16(out, uint16(v)) }
func appendU32(out []byte, v uint32) []byte { return binary.LittleEndian.AppendUint32(out, v) }

// appendBVarChar writes a text with its length in one byte, longText one in two. What is too long is cut.
func appendBVarChar(out []byte, s string) []byte {
	s = truncateUTF16(s, 255)
	return appendUTF16(append(out, byte(utf16Units(s))), s)
}

func appendUSVarChar(out []byte, s string) []byte {
	s = truncateUTF16(s, 2000)
	return appendUTF16(appendU16(out, utf16Units(s)), s)
}

func truncateUTF16(s string, most int) string {
	n := 0
	for i, r := range s {
		if n++; r > 0xFFFF {
			n++
		}
		if n > most {
			return s[:i]
		}
	}
	return s
}
