// Package clients speaks the frames between clients and the router.
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

// The types of frames.
const (
	FrameBatch          = 10 // a batch
	FrameAnswer         = 11
	FrameCancel         = 12 // the client has stopped waiting
	FrameReadinessQuery = 20
	FrameReadiness      = 21
	FrameGoAway         = 30 // no new batch on this connection
)

// Codes of an answer.
const (
	CodeSucceeded = 0
	CodeRejected  = 11
	CodeFailed    = 5
)

const (
	headerBytes                    = 9 // length, type, stream
	minFrameLength, maxFrameLength = 5, 262144
	maxFields                      = 64
	lengthBytes                    = 4

	idDigits, maxOrderKeyBytes = 16, 64
	maxCostMillis, maxMemoryMB = 1e7, 1e7 // milliseconds and MB: no engine has so much
	maxResultBytes             = 48000    // bytes

	// IdempotencyKeyDigits is how long a mark is.
	IdempotencyKeyDigits = 32
)

// ErrMalformedFrame says that a connection's bytes are no frames: nothing after them can be read.
var ErrMalformedFrame = errors.New("not a frame")

// Protocol is what the core must know of frames. Idle: clients close what is idle for 4 s themselves, so who keeps it
// longer keeps it for good.
func Protocol(pool *buffers.Pool) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "frames", IdleTimeout: 5, MaxOpenBatches: 32, MaxResultBytes: maxResultBytes,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsLines(pool, parts) },
		New:           func() traffic.Client { return Session{} }}
}

// Session is a connection of a client. It holds nothing: frames stand for themselves.
type Session struct{}

// HasPartial is never so: what is not whole stays where it is.
func (Session) HasPartial() bool { return false }

// Read reads a frame off the stream; nothing while it is not whole.
func (Session) Read(in, _ *buffers.Chain) (traffic.ClientMessage, error) {
	var head [headerBytes]byte
	if in.Peek(0, head[:]) < lengthBytes {
		return nil, nil
	}
	size := int(binary.LittleEndian.Uint32(head[:]))
	if size < minFrameLength || size > maxFrameLength {
		return nil, fmt.Errorf("%w: length %d", ErrMalformedFrame, size)
	}
	if in.Len() < lengthBytes+size {
		return nil, nil
	}
	stream := binary.LittleEndian.Uint32(head[5:])
	in.Discard(headerBytes)
	if head[4] == FrameBatch {
		ask := &traffic.BatchRequest{Stream: stream}
		ask.Batch.Text = in.Cut(size - minFrameLength)
		var f fields
		if ask.Err = f.read(ask.Batch.Text); ask.Err == nil {
			ask.Err = f.decode(&ask.Batch)
		}
		return ask, nil
	}
	in.Discard(size - minFrameLength)
	switch head[4] {
	case FrameCancel:
		return traffic.Cancel{Stream: stream}, nil
	case FrameReadinessQuery:
		return traffic.ReadinessQuery{Stream: stream}, nil
	}
	return traffic.InvalidMessage{Stream: stream}, nil
}

// fields are the values that a batch is made of.
type fields struct{ id, group, client, idempotencyKey, orderKey, timeLeft, cost, memory string }

func (f *fields) lookup(name []byte) (into *string, bit uint) {
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

// typicalFieldBytes is how many bytes fields take at most, usually: so many are read without an allocation.
const typicalFieldBytes = 512

// read takes the fields off the front of a body. Names that nobody knows count too: none may stand twice.
func (f *fields) read(in *buffers.Chain) error {
	var usual [typicalFieldBytes]byte
	b := usual[:in.Peek(0, usual[:])]
	used, err := f.parse(b)
	if err != nil && len(b) == typicalFieldBytes { // there may be more of them
		*f = fields{}
		used, err = f.parse(in.Bytes())
	}
	in.Discard(used)
	return err
}

func (f *fields) parse(b []byte) (used int, err error) {
	all := len(b)
	text := func(wide int) (out []byte, ok bool) { // a size of so many bytes, then the text
		if len(b) < wide {
			return nil, false
		}
		n := int(b[0])
		if wide == 2 {
			n |= int(b[1]) << 8
		}
		if len(b) < wide+n {
			return nil, false
		}
		out, b = b[wide:wide+n], b[wide+n:]
		return out, true
	}
	if len(b) == 0 {
		return 0, nil
	}
	count := int(b[0])
	if b = b[1:]; count > maxFields {
		return 1, fmt.Errorf("%d fields", count)
	}
	var known uint
	var others []string
	for range count {
		name, ok := text(1)
		if !ok {
			return all, errors.New("fields are cut short")
		}
		into, bit := f.lookup(name)
		twice := known&bit != 0
		if known |= bit; into == nil {
			twice = slices.Contains(others, string(name))
			others = append(others, string(name))
		}
		if twice {
			return all, fmt.Errorf("two fields %.8q", name)
		}
		value, ok := text(2)
		if !ok {
			return all, errors.New("fields are cut short")
		}
		if into != nil {
			*into = string(value)
		}
	}
	return all - len(b), nil
}

// decode reads what the fields say.
func (f *fields) decode(b *traffic.Batch) error {
	b.ID, b.Group, b.Client, b.IdempotencyKey = f.id, f.group, f.client, f.idempotencyKey
	if !IsHex(b.ID, idDigits) {
		return errors.New("field i is not an id")
	}
	if b.IdempotencyKey != "" && !IsHex(b.IdempotencyKey, IdempotencyKeyDigits) {
		return errors.New("field k is no mark")
	}
	left, err := strconv.ParseUint(f.timeLeft, 10, 31)
	if err != nil || left == 0 {
		return errors.New("field d is no time")
	}
	b.TimeLeft = float64(left) / 1000
	cost, ok := ParseNonNegative(f.cost, maxCostMillis)
	memory, ok2 := ParseNonNegative(f.memory, maxMemoryMB)
	if !ok || !ok2 {
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

// HashOrderKey gives the number of a key, alike for every protocol; 0: there is none.
func HashOrderKey(text string) uint64 {
	if text == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for _, c := range []byte(text) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return max(h, 1)
}

// IsHex: it is so many digits, and can stand in an engine's fields without changing their meaning.
func IsHex(s string, digits int) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == digits
}

// ParseNonNegative reads a plain figure from 0 to the most; none at all is 0.
func ParseNonNegative(s string, most float64) (float64, bool) {
	if s == "" {
		return 0, true
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v <= most
}

func writeHeader(out *buffers.Chain, kind uint8, stream uint32, payload int) {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[:], uint32(minFrameLength+payload))
	h[4] = kind
	binary.LittleEndian.PutUint32(h[5:], stream)
	out.Write(h[:])
}

// answerCodes gives the code that stands for an ending.
var answerCodes = [...]byte{traffic.Succeeded: CodeSucceeded, traffic.Rejected: CodeRejected, traffic.Failed: CodeFailed}

// Encode frames what a client is told. An error that belongs to no batch is an answer to stream 0.
func (Session) Encode(out *buffers.Chain, what traffic.ClientReply) {
	switch w := what.(type) {
	case *traffic.Answer:
		writeAnswer(out, w)
	case traffic.Ready:
		code := byte(CodeSucceeded)
		if !w.Yes {
			code = CodeRejected
		}
		writeHeader(out, FrameReadiness, w.Stream, 2)
		out.Write([]byte{code, 0})
	case traffic.GoAway:
		writeHeader(out, FrameGoAway, 0, 0)
	case traffic.ConnectionError:
		writeAnswer(out, &traffic.Answer{Code: traffic.Failed})
	}
}

// writeAnswer frames the answer to a batch; parts of the body follow each other. The wait is told in milliseconds.
func writeAnswer(out *buffers.Chain, a *traffic.Answer) {
	fields := []byte{answerCodes[a.Code], 0}
	if a.RetryAfter > 0 {
		v := strconv.Itoa(int(math.Ceil(a.RetryAfter * 1000)))
		fields = append([]byte{answerCodes[a.Code], 1, 1, 'w', byte(len(v)), 0}, v...)
	}
	size := len(fields)
	for _, p := range a.Rows {
		size += p.Len()
	}
	writeHeader(out, FrameAnswer, a.Stream, size)
	out.Write(fields)
	for _, p := range a.Rows {
		out.Append(p.Data)
	}
}
