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
	Ask      = 10 // a batch
	Answer   = 11
	Cancel   = 12 // the client has stopped waiting
	AskReady = 20
	Ready    = 21
	NoMore   = 30 // no new batch on this connection
)

// Codes of an answer.
const (
	Served  = 0
	Refused = 11
	Failed  = 5
)

const (
	headSize            = 9 // length, type, stream
	leastSize, mostSize = 5, 262144
	mostFields          = 64
	lengthSize          = 4

	idDigits, mostKey    = 16, 64
	mostCost, mostMemory = 1e7, 1e7 // milliseconds and MB: no engine has so much
	mostResult           = 48000    // bytes

	// MarkDigits is how long a mark is.
	MarkDigits = 32
)

// ErrFrame says that a connection's bytes are no frames: nothing after them can be read.
var ErrFrame = errors.New("not a frame")

// Protocol is what the core must know of frames. Idle: clients close what is idle for 4 s themselves, so who keeps it
// longer keeps it for good.
func Protocol(pool *buffers.Pool) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "frames", IdleTimeout: 5, MaxOpenBatches: 32, MaxResultBytes: mostResult,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsLines(pool, parts) },
		New:           func() traffic.Client { return Session{} }}
}

// Session is a connection of a client. It holds nothing: frames stand for themselves.
type Session struct{}

// HasPartial is never so: what is not whole stays where it is.
func (Session) HasPartial() bool { return false }

// Read reads a frame off the stream; nothing while it is not whole.
func (Session) Read(in, _ *buffers.Chain) (traffic.ClientMessage, error) {
	var head [headSize]byte
	if in.Peek(0, head[:]) < lengthSize {
		return nil, nil
	}
	size := int(binary.LittleEndian.Uint32(head[:]))
	if size < leastSize || size > mostSize {
		return nil, fmt.Errorf("%w: length %d", ErrFrame, size)
	}
	if in.Len() < lengthSize+size {
		return nil, nil
	}
	stream := binary.LittleEndian.Uint32(head[5:])
	in.Discard(headSize)
	if head[4] == Ask {
		ask := &traffic.BatchRequest{Stream: stream}
		ask.Batch.Text = in.Cut(size - leastSize)
		var f fields
		if ask.Err = f.read(ask.Batch.Text); ask.Err == nil {
			ask.Err = f.batch(&ask.Batch)
		}
		return ask, nil
	}
	in.Discard(size - leastSize)
	switch head[4] {
	case Cancel:
		return traffic.Cancel{Stream: stream}, nil
	case AskReady:
		return traffic.ReadinessQuery{Stream: stream}, nil
	}
	return traffic.InvalidMessage{Stream: stream}, nil
}

// fields are the values that a batch is made of.
type fields struct{ id, group, client, mark, key, left, cost, memory string }

func (f *fields) named(name []byte) (into *string, bit uint) {
	switch string(name) {
	case "i":
		return &f.id, 1
	case "c":
		return &f.group, 2
	case "t":
		return &f.client, 4
	case "k":
		return &f.mark, 8
	case "o":
		return &f.key, 16
	case "d":
		return &f.left, 32
	case "h":
		return &f.cost, 64
	case "mb":
		return &f.memory, 128
	}
	return nil, 0
}

// usualFields is how many bytes fields take at most, usually: so many are read without an allocation.
const usualFields = 512

// read takes the fields off the front of a body. Names that nobody knows count too: none may stand twice.
func (f *fields) read(in *buffers.Chain) error {
	var usual [usualFields]byte
	b := usual[:in.Peek(0, usual[:])]
	used, err := f.parse(b)
	if err != nil && len(b) == usualFields { // there may be more of them
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
	if b = b[1:]; count > mostFields {
		return 1, fmt.Errorf("%d fields", count)
	}
	var known uint
	var others []string
	for range count {
		name, ok := text(1)
		if !ok {
			return all, errors.New("fields are cut short")
		}
		into, bit := f.named(name)
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

// batch reads what the fields say.
func (f *fields) batch(b *traffic.Batch) error {
	b.ID, b.Group, b.Client, b.IdempotencyKey = f.id, f.group, f.client, f.mark
	if !Hex(b.ID, idDigits) {
		return errors.New("field i is not an id")
	}
	if b.IdempotencyKey != "" && !Hex(b.IdempotencyKey, MarkDigits) {
		return errors.New("field k is no mark")
	}
	left, err := strconv.ParseUint(f.left, 10, 31)
	if err != nil || left == 0 {
		return errors.New("field d is no time")
	}
	b.TimeLeft = float64(left) / 1000
	cost, ok := Figure(f.cost, mostCost)
	memory, ok2 := Figure(f.memory, mostMemory)
	if !ok || !ok2 {
		return errors.New("fields h or mb are no figures")
	}
	if b.Text.Len() == 0 {
		return errors.New("no statement")
	}
	b.Cost, b.Memory = cost/1000, memory
	if len(f.key) > mostKey {
		return errors.New("field o is too long")
	}
	b.OrderKey = Key(f.key)
	return nil
}

// Key gives the number of a key, alike for every protocol; 0: there is none.
func Key(text string) uint64 {
	if text == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for _, c := range []byte(text) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return max(h, 1)
}

// Hex: it is so many digits, and can stand in an engine's fields without changing their meaning.
func Hex(s string, digits int) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == digits
}

// Figure reads a plain figure from 0 to the most; none at all is 0.
func Figure(s string, most float64) (float64, bool) {
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

func head(out *buffers.Chain, kind uint8, stream uint32, payload int) {
	var h [headSize]byte
	binary.LittleEndian.PutUint32(h[:], uint32(leastSize+payload))
	h[4] = kind
	binary.LittleEndian.PutUint32(h[5:], stream)
	out.Write(h[:])
}

// codes gives the code that stands for an ending.
var codes = [...]byte{traffic.Succeeded: Served, traffic.Rejected: Refused, traffic.Failed: Failed}

// Encode frames what a client is told. An error that belongs to no batch is an answer to stream 0.
func (Session) Encode(out *buffers.Chain, what traffic.ClientReply) {
	switch w := what.(type) {
	case *traffic.Answer:
		answer(out, w)
	case traffic.Ready:
		code := byte(Served)
		if !w.Yes {
			code = Refused
		}
		head(out, Ready, w.Stream, 2)
		out.Write([]byte{code, 0})
	case traffic.GoAway:
		head(out, NoMore, 0, 0)
	case traffic.ConnectionError:
		answer(out, &traffic.Answer{Code: traffic.Failed})
	}
}

// answer frames the answer to a batch; parts of the body follow each other. The wait is told in milliseconds.
func answer(out *buffers.Chain, a *traffic.Answer) {
	fields := []byte{codes[a.Code], 0}
	if a.RetryAfter > 0 {
		v := strconv.Itoa(int(math.Ceil(a.RetryAfter * 1000)))
		fields = append([]byte{codes[a.Code], 1, 1, 'w', byte(len(v)), 0}, v...)
	}
	size := len(fields)
	for _, p := range a.Rows {
		size += p.Len()
	}
	head(out, Answer, a.Stream, size)
	out.Write(fields)
	for _, p := range a.Rows {
		out.Append(p.Data)
	}
}
