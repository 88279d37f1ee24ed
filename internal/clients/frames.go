// Package clients speaks the frames between clients and the router.
package clients

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"

	"pitchfield/internal/buffers"
)

// The types of frames.
const (
	Ask      = 10 // a batch
	Answer   = 11
	Leave    = 12 // the client has stopped waiting
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
	headSize             = 9 // length, type, stream
	leastSize, mostSize  = 5, 262144
	mostFields           = 64
	lengthSize, codeSize = 4, 1

	idDigits, markDigits, mostKey = 16, 32, 64
	mostCost, mostMemory          = 1e7, 1e7 // milliseconds and MB: no engine has so much
)

// ErrFrame says that a connection's bytes are no frames: nothing after them can be read.
var ErrFrame = errors.New("not a frame")

// Frame is what a client sent. Its body is the holder's to release.
type Frame struct {
	Type   uint8
	Stream uint32
	Fields map[string]string
	Body   *buffers.Chain
	Bad    error // the frame is whole, but what is in it can't be used
}

// Next reads a frame off the stream; none while it is not whole.
func Next(in *buffers.Chain) (*Frame, error) {
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
	f := &Frame{Type: head[4], Stream: binary.LittleEndian.Uint32(head[5:])}
	in.Discard(headSize)
	rest := in.Cut(size - leastSize)
	if f.Type == Ask || f.Type == AskReady {
		f.Fields, f.Bad = readFields(rest)
	}
	f.Body = rest
	return f, nil
}

func readFields(in *buffers.Chain) (map[string]string, error) {
	text := func(wide int) (string, bool) { // a size of so many bytes, then the text
		var size [2]byte
		if in.Peek(0, size[:wide]) < wide {
			return "", false
		}
		n := int(binary.LittleEndian.Uint16(size[:]))
		if in.Len() < wide+n {
			return "", false
		}
		in.Discard(wide)
		out := make([]byte, n)
		in.Peek(0, out)
		in.Discard(n)
		return string(out), true
	}
	var count [1]byte
	if in.Peek(0, count[:]) < 1 {
		return nil, nil
	}
	in.Discard(1)
	if count[0] > mostFields {
		return nil, fmt.Errorf("%d fields", count[0])
	}
	fields := make(map[string]string, count[0])
	for range count[0] {
		name, ok := text(1)
		value, ok2 := text(2)
		if !ok || !ok2 {
			return nil, errors.New("fields are cut short")
		}
		if _, twice := fields[name]; twice {
			return nil, fmt.Errorf("two fields %.8q", name)
		}
		fields[name] = value
	}
	return fields, nil
}

// Batch is what the fields of a batch say.
type Batch struct {
	ID, Group, Client, Mark string  // Mark is the same for all tries of a referenced batch
	Left                    float64 // seconds
	Cost, Memory            float64 // seconds of work and MB; 0: not told
	Key                     uint64  // 0: none
}

// Batch reads the fields of a batch.
func (f *Frame) Batch() (Batch, error) {
	if f.Bad != nil {
		return Batch{}, f.Bad
	}
	b := Batch{ID: f.Fields["i"], Group: f.Fields["c"], Client: f.Fields["t"], Mark: f.Fields["k"]}
	if !hex(b.ID, idDigits) {
		return b, errors.New("field i is not an id")
	}
	if b.Mark != "" && !hex(b.Mark, markDigits) {
		return b, errors.New("field k is no mark")
	}
	left, err := strconv.ParseUint(f.Fields["d"], 10, 31)
	if err != nil || left == 0 {
		return b, errors.New("field d is no time")
	}
	b.Left = float64(left) / 1000
	cost, ok := number(f.Fields["h"], mostCost)
	memory, ok2 := number(f.Fields["mb"], mostMemory)
	if !ok || !ok2 {
		return b, errors.New("fields h or mb are no figures")
	}
	if f.Body.Len() == 0 {
		return b, errors.New("no statement")
	}
	b.Cost, b.Memory = cost/1000, memory
	if o := f.Fields["o"]; o != "" {
		if len(o) > mostKey {
			return b, errors.New("field o is too long")
		}
		h := fnv.New64a()
		h.Write([]byte(o))
		b.Key = max(h.Sum64(), 1)
	}
	return b, nil
}

// hex: it is so many digits, and can stand in an engine's fields without changing their meaning.
func hex(s string, digits int) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == digits
}

// number reads a plain figure from 0 to the most; none at all is 0.
func number(s string, most float64) (float64, bool) {
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

// WriteAnswer frames the answer to a batch; parts of the body follow each other. Wait is told in milliseconds.
func WriteAnswer(out *buffers.Chain, stream uint32, code uint8, wait float64, body []*buffers.Chain) {
	fields := []byte{0}
	if wait > 0 {
		v := strconv.Itoa(int(math.Ceil(wait * 1000)))
		fields = append([]byte{1, 1, 'w', byte(len(v)), 0}, v...)
	}
	size := codeSize + len(fields)
	for _, b := range body {
		size += b.Len()
	}
	head(out, Answer, stream, size)
	out.Write([]byte{code})
	out.Write(fields)
	for _, b := range body {
		out.Append(b)
	}
}

// WriteReady answers whether the router is ready.
func WriteReady(out *buffers.Chain, stream uint32, ready bool) {
	code := byte(Served)
	if !ready {
		code = Refused
	}
	head(out, Ready, stream, 2)
	out.Write([]byte{code, 0})
}

// WriteNoMore asks for no new batch on the connection.
func WriteNoMore(out *buffers.Chain) { head(out, NoMore, 0, 0) }
