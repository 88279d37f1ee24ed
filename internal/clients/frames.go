// Package clients implements the binary frame protocol between clients and the router. All numbers are little-endian. A frame
// is its length (4 bytes, not counting itself), a type (1 byte), a stream number (4 bytes) and a payload. The payload of a batch
// is a count of fields (1 byte), the fields, each a name with a 1-byte length and a value with a 2-byte length, and the text of
// the statement.
package clients

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// Frame types.
const (
	FrameBatch          = 10 // batch of a client
	FrameAnswer         = 11 // answer to a batch
	FrameCancel         = 12 // the client has stopped waiting
	FrameReadinessQuery = 20 // asks whether the router is ready
	FrameReadiness      = 21 // answer to that
	FrameGoAway         = 30 // the router accepts no new batch on this connection
)

// Codes of an answer.
const (
	CodeSucceeded = 0
	CodeRejected  = 11 // the batch may be sent again
	CodeFailed    = 5
)

const (
	headerBytes    = 9      // length, type, stream
	minFrameLength = 5      // bytes; type and stream without payload
	maxFrameLength = 262144 // bytes
	maxFields      = 64     // of a batch
	lengthBytes    = 4

	idDigits         = 16 // hexadecimal
	maxOrderKeyBytes = 64
	maxCostMillis    = 1e7 // more than any engine can do
	maxMemoryMB      = 1e7 // more than any engine has
	maxResultBytes   = 48000

	// IdempotencyKeyDigits is the number of hexadecimal digits of an idempotency key.
	IdempotencyKeyDigits = 32
)

// ErrMalformedFrame reports bytes that are not a frame. Nothing after them can be read on the connection.
var ErrMalformedFrame = errors.New("not a frame")

// Protocol returns the description of the frame protocol for the router's core. Clients close a connection themselves after 4 s
// idle; one that leaves it open for longer would keep it forever, so the router closes it after 5 s.
func Protocol(pool *buffers.Pool) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "frames", IdleTimeout: 5, MaxOpenBatches: 32, MaxResultBytes: maxResultBytes,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsLines(pool, parts) },
		New:           func() traffic.Client { return &Session{} }}
}

// Session is the protocol state of one client connection. Each frame is complete in itself, so the state is only the frame that is
// being dropped.
type Session struct {
	droppedType   byte
	droppedStream uint32
	droppedLeft   int // bytes of the dropped frame that have not arrived yet; 0: none is being dropped
}

// HasPartial reports whether a frame is being dropped. Any other incomplete frame stays in the input buffer.
func (s *Session) HasPartial() bool { return s.droppedLeft > 0 }

// PartialSize returns the number of bytes that the incomplete frame takes.
func (s *Session) PartialSize(in *buffers.Chain) int { return in.Len() }

// DropPartial releases the incomplete frame in in. The rest of it is discarded as it arrives; Read then returns it as a message
// without its payload.
func (s *Session) DropPartial(in *buffers.Chain) bool {
	var header [headerBytes]byte
	if in.Peek(0, header[:]) < headerBytes {
		return false
	}
	s.droppedType = header[4]
	s.droppedStream = binary.LittleEndian.Uint32(header[5:])
	s.droppedLeft = lengthBytes + int(binary.LittleEndian.Uint32(header[:])) - in.Len()
	in.Release()
	return true
}

// skipDropped discards what has arrived of the frame that is being dropped, and returns its message once all of it has.
func (s *Session) skipDropped(in *buffers.Chain) traffic.ClientMessage {
	arrived := min(s.droppedLeft, in.Len())
	in.Discard(arrived)
	s.droppedLeft -= arrived
	switch {
	case s.droppedLeft > 0:
		return nil
	case s.droppedType == FrameBatch:
		return &traffic.BatchRequest{Stream: s.droppedStream, Dropped: true}
	}
	return controlMessage(s.droppedType, s.droppedStream)
}

// Read removes the next frame from in and returns its message, or nil if the frame is not complete yet. Any error is an
// ErrMalformedFrame. A complete batch with invalid fields is returned with an error of its own, so that the connection stays
// usable.
func (s *Session) Read(in, _ *buffers.Chain) (traffic.ClientMessage, error) {
	if s.droppedLeft > 0 {
		return s.skipDropped(in), nil
	}
	var header [headerBytes]byte
	if in.Peek(0, header[:]) < lengthBytes {
		return nil, nil
	}
	size := int(binary.LittleEndian.Uint32(header[:]))
	if size < minFrameLength || size > maxFrameLength {
		return nil, fmt.Errorf("%w: length %d", ErrMalformedFrame, size)
	}
	if in.Len() < lengthBytes+size {
		return nil, nil
	}
	stream := binary.LittleEndian.Uint32(header[5:])
	in.Discard(headerBytes)
	if header[4] == FrameBatch {
		request := &traffic.BatchRequest{Stream: stream}
		request.Batch.Text = in.Cut(size - minFrameLength)
		var f fields
		if request.Err = f.read(request.Batch.Text); request.Err == nil {
			request.Err = f.decode(&request.Batch)
		}
		return request, nil
	}
	in.Discard(size - minFrameLength)
	return controlMessage(header[4], stream), nil
}

// controlMessage returns the message of a frame whose payload does not matter.
func controlMessage(frameType byte, stream uint32) traffic.ClientMessage {
	switch frameType {
	case FrameCancel:
		return traffic.Cancel{Stream: stream}
	case FrameReadinessQuery:
		return traffic.ReadinessQuery{Stream: stream}
	}
	return traffic.InvalidMessage{Stream: stream}
}

// fields holds the fields of a batch as text; empty: absent.
type fields struct {
	id             string
	group          string
	client         string
	idempotencyKey string
	orderKey       string
	timeLeft       string // milliseconds
	cost           string // milliseconds of work
	memory         string // MB
}

// lookup returns where the value of a field is stored and a bit that stands for the field, or nil and 0 if the name is unknown.
func (f *fields) lookup(name []byte) (destination *string, bit uint) {
	switch string(name) {
	case "i":
		return &f.id, 1
	case "c":
		return &f.group, 2
	case "t":
		return &f.client, 4
	case "k":
		return &f.idempotencyKey, 8
	case "o":
		return &f.orderKey, 16
	case "d":
		return &f.timeLeft, 32
	case "h":
		return &f.cost, 64
	case "mb":
		return &f.memory, 128
	}
	return nil, 0
}

// typicalFieldBytes is a size that the fields of a batch rarely exceed. Fields up to this size are read without an allocation.
const typicalFieldBytes = 512

// read removes the fields from the front of a payload and stores them. No name may occur twice, not even an unknown one.
func (f *fields) read(in *buffers.Chain) error {
	var buffer [typicalFieldBytes]byte
	b := buffer[:in.Peek(0, buffer[:])]
	used, err := f.parse(b)
	if err != nil && len(b) == typicalFieldBytes { // the fields may be longer
		*f = fields{}
		used, err = f.parse(in.Bytes())
	}
	in.Discard(used)
	return err
}

// parse stores the fields at the front of b and returns the number of bytes that they take.
func (f *fields) parse(b []byte) (used int, err error) {
	all := len(b)
	text := func(width int) (out []byte, ok bool) { // reads a length of width bytes and text of that length
		if len(b) < width {
			return nil, false
		}
		n := int(b[0])
		if width == 2 {
			n |= int(b[1]) << 8
		}
		if len(b) < width+n {
			return nil, false
		}
		out, b = b[width:width+n], b[width+n:]
		return out, true
	}
	if len(b) == 0 {
		return 0, nil
	}
	count := int(b[0])
	if b = b[1:]; count > maxFields {
		return 1, fmt.Errorf("%d fields", count)
	}
	var seen uint // bits of the known fields that have occurred
	var unknown []string
	for range count {
		name, ok := text(1)
		if !ok {
			return all, errors.New("fields are cut short")
		}
		destination, bit := f.lookup(name)
		duplicate := seen&bit != 0
		if seen |= bit; destination == nil {
			duplicate = slices.Contains(unknown, string(name))
			unknown = append(unknown, string(name))
		}
		if duplicate {
			return all, fmt.Errorf("two fields %.8q", name)
		}
		value, ok := text(2)
		if !ok {
			return all, errors.New("fields are cut short")
		}
		if destination != nil {
			*destination = string(value)
		}
	}
	return all - len(b), nil
}

// decode validates the fields and stores their values in a batch.
func (f *fields) decode(b *traffic.Batch) error {
	b.ID, b.Group, b.Client, b.IdempotencyKey = f.id, f.group, f.client, f.idempotencyKey
	if !IsHex(b.ID, idDigits) {
		return errors.New("field i is not an id")
	}
	if b.IdempotencyKey != "" && !IsHex(b.IdempotencyKey, IdempotencyKeyDigits) {
		return errors.New("field k is no mark")
	}
	millis, err := strconv.ParseUint(f.timeLeft, 10, 31)
	if err != nil || millis == 0 {
		return errors.New("field d is no time")
	}
	b.TimeLeft = float64(millis) / 1000
	cost, costOK := ParseNonNegative(f.cost, maxCostMillis)
	memory, memoryOK := ParseNonNegative(f.memory, maxMemoryMB)
	if !costOK || !memoryOK {
		return errors.New("fields h or mb are no figures")
	}
	if b.Text.Len() == 0 {
		return errors.New("no statement")
	}
	b.Cost, b.Memory = cost/1000, memory
	if len(f.orderKey) > maxOrderKeyBytes {
		return errors.New("field o is too long")
	}
	b.OrderKey = HashOrderKey(f.orderKey)
	return nil
}

// HashOrderKey returns the FNV-1a hash of an order key, the same for every protocol. It is 0 only for an empty key, which means
// that there is none.
func HashOrderKey(text string) uint64 {
	if text == "" {
		return 0
	}
	hash := uint64(14695981039346656037) // FNV-1a offset basis
	for _, c := range []byte(text) {
		hash = (hash ^ uint64(c)) * 1099511628211 // FNV-1a prime
	}
	return max(hash, 1)
}

// IsHex reports whether s consists of exactly this many lower-case hexadecimal digits. Text of such digits can be inserted in the
// fields of an engine's command without changing their meaning.
func IsHex(s string, digits int) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == digits
}

// ParseNonNegative reads a decimal number from 0 to limit, without sign or exponent, and reports whether s is one. An empty text
// is 0.
func ParseNonNegative(s string, limit float64) (float64, bool) {
	if s == "" {
		return 0, true
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v <= limit
}

// writeHeader writes the header of a frame whose payload has this many bytes.
func writeHeader(out *buffers.Chain, kind uint8, stream uint32, payload int) {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:], uint32(minFrameLength+payload))
	header[4] = kind
	binary.LittleEndian.PutUint32(header[5:], stream)
	out.Write(header[:])
}

// answerCodes maps the outcome of a batch to its code on the wire.
var answerCodes = [...]byte{traffic.Succeeded: CodeSucceeded, traffic.Rejected: CodeRejected, traffic.Failed: CodeFailed}

// Encode writes a message to a client as a frame. An error that belongs to no batch is sent as an answer to stream 0.
func (*Session) Encode(out *buffers.Chain, message traffic.ClientReply) {
	switch m := message.(type) {
	case *traffic.Answer:
		writeAnswer(out, m)
	case traffic.Ready:
		code := byte(CodeSucceeded)
		if !m.Yes {
			code = CodeRejected
		}
		writeHeader(out, FrameReadiness, m.Stream, 2)
		out.Write([]byte{code, 0})
	case traffic.GoAway:
		writeHeader(out, FrameGoAway, 0, 0)
	case traffic.ConnectionError:
		writeAnswer(out, &traffic.Answer{Code: traffic.Failed})
	}
}

// writeAnswer writes the answer to a batch, with the parts of its result one after the other. The delay after which the client may
// try again is sent in whole milliseconds, rounded up.
func writeAnswer(out *buffers.Chain, a *traffic.Answer) {
	fields := []byte{answerCodes[a.Code], 0}
	if a.RetryAfter > 0 {
		millis := strconv.Itoa(int(math.Ceil(a.RetryAfter * 1000)))
		fields = append([]byte{answerCodes[a.Code], 1, 1, 'w', byte(len(millis)), 0}, millis...)
	}
	size := len(fields)
	for _, part := range a.Rows {
		size += part.Len()
	}
	writeHeader(out, FrameAnswer, a.Stream, size)
	out.Write(fields)
	for _, part := range a.Rows {
		out.Append(part.Data)
	}
}
