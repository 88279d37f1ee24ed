// Package simwire reads the event frames and writes the action frames of the simulator's wire protocol. It uses the
// protocol's own names, and its unit of time: milliseconds. All numbers are little-endian. Its types are not safe for
// concurrent use.
package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Codes of the events that the simulator sends.
const (
	Destroy     = 1
	Message     = 2
	Started     = 3
	Outcome     = 4
	JobIn       = 5
	Aborted     = 6
	Ring        = 7
	Directory   = 8
	UpdateOf    = 9
	Endpoints   = 10
	NewInstance = 11
	Pong        = 12
)

// Codes of the actions that a router sends, and the size in bytes of an event frame's header.
const (
	tryCode    = 11
	lookup     = 2
	notifyMe   = 7
	assign     = 12
	bounce     = 9
	stop       = 3
	printLine  = 10
	listen     = 13
	endFailed  = 5
	poll       = 6
	headerSize = 16
)

// Frame holds the events that the simulator sends together. Its data are valid until the next ReadFrame into the same
// buffer.
type Frame struct {
	Now         float64
	Records     int
	remaining   []byte
	recordsRead int
}

// ReadFrame reads one frame, using the buffer for its data. It returns io.EOF if the input ends between two frames, and
// another error if it ends inside one. Memory is allocated as bytes arrive, never by the length field alone, so a wrong
// length can't exhaust memory.
func ReadFrame(in io.Reader, into *bytes.Buffer) (*Frame, error) {
	into.Reset()
	n, err := io.CopyN(into, in, headerSize)
	if n == 0 && err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("frame header: %d of %d bytes: %v", n, headerSize, err)
	}
	head := into.Bytes()
	size := int64(binary.LittleEndian.Uint32(head))
	records := int(binary.LittleEndian.Uint32(head[4:]))
	now := math.Float64frombits(binary.LittleEndian.Uint64(head[8:]))
	if size < headerSize {
		return nil, fmt.Errorf("frame header: length %d is under the header's own", size)
	}
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, fmt.Errorf("frame header: clock is not a number")
	}
	if n, err = io.CopyN(into, in, size-headerSize); err != nil {
		return nil, fmt.Errorf("frame body: %d of %d bytes: %v", n, size-headerSize, err)
	}
	return &Frame{Now: now, Records: records, remaining: into.Bytes()[headerSize:]}, nil
}

// Next returns the next record, or nil after the last. A record that doesn't fit into the frame is an error, and so are
// bytes after the last record.
func (f *Frame) Next() (*Record, error) {
	left := f.remaining
	if f.recordsRead == f.Records {
		if len(left) > 0 {
			return nil, fmt.Errorf("frame: %d bytes after the last of %d records", len(left), f.Records)
		}
		return nil, nil
	}
	f.recordsRead++
	if len(left) < 5 {
		return nil, fmt.Errorf("record %d: frame ends inside its head", f.recordsRead)
	}
	size := binary.LittleEndian.Uint32(left[1:])
	if uint64(size) > uint64(len(left)-5) {
		return nil, fmt.Errorf("record %d (code %d): length %d, but %d bytes remain", f.recordsRead, left[0], size, len(left)-5)
	}
	f.remaining = left[5+size:]
	return &Record{Code: left[0], Number: f.recordsRead, fields: left[5 : 5+size]}, nil
}

// Record is one event. Its fields are read one after another. Once a field is missing, Err returns an error, and this
// field and those after it read as 0.
type Record struct {
	Code      uint8
	Number    int
	fields    []byte
	truncated bool
}

// Err returns an error if a field that was read is missing.
func (r *Record) Err() error {
	if r.truncated {
		return fmt.Errorf("record %d (code %d): fields are cut short", r.Number, r.Code)
	}
	return nil
}

// zeros is what a missing field of up to eight bytes reads as.
var zeros [8]byte

// next returns the next n bytes. If fewer are left, it marks the record as truncated and returns zeros, or nil for more
// than eight bytes.
func (r *Record) next(n int) []byte {
	if n > len(r.fields) {
		r.truncated, r.fields = true, nil
		if n > len(zeros) {
			return nil
		}
		return zeros[:n]
	}
	out := r.fields[:n]
	r.fields = r.fields[n:]
	return out
}

// U8 reads an unsigned integer of one byte.
func (r *Record) U8() uint8 { return r.next(1)[0] }

// U16 reads an unsigned integer of two bytes.
func (r *Record) U16() uint16 { return binary.LittleEndian.Uint16(r.next(2)) }

// U32 reads an unsigned integer of four bytes.
func (r *Record) U32() uint32 { return binary.LittleEndian.Uint32(r.next(4)) }

// U64 reads an unsigned integer of eight bytes.
func (r *Record) U64() uint64 { return binary.LittleEndian.Uint64(r.next(8)) }

// F32 reads a float of four bytes.
func (r *Record) F32() float64 { return float64(math.Float32frombits(r.U32())) }

// F64 reads a float of eight bytes.
func (r *Record) F64() float64 { return math.Float64frombits(r.U64()) }

// Bytes reads a u32 count and that many bytes. They are not copied.
func (r *Record) Bytes() []byte { return r.next(int(r.U32())) }

// Floats reads a u8 count and that many floats of four bytes, and appends them to a slice.
func (r *Record) Floats(into []float64) []float64 {
	n := int(r.U8())
	if n*4 > len(r.fields) {
		r.truncated = true
		return nil
	}
	for range n {
		into = append(into, r.F32())
	}
	return into
}

// Entry describes one engine on a directory page, in the words of the wire.
type Entry struct {
	Phase      uint8
	PowerHint  float64
	StartMS    float64
	Pack       uint16
	Engine     uint32
	Kind, Site uint16
}

// Entries reads a directory page: its number and its entries. It checks that the record holds the entries before it
// allocates them.
func (r *Record) Entries() (page uint32, list []Entry) {
	const size = 23 // bytes of an entry
	page = r.U32()
	n := uint64(r.U32())
	if n*size > uint64(len(r.fields)) {
		r.truncated = true
		return page, nil
	}
	for range n {
		list = append(list, Entry{Phase: r.U8(), PowerHint: r.F32(), StartMS: r.F64(), Pack: r.U16(),
			Engine: r.U32(), Kind: r.U16(), Site: r.U16()})
	}
	return page, list
}

// Reply collects the actions that answer one frame. Reset must be called before the first action.
type Reply struct{ buf []byte }

// Reset empties the reply and leaves space for its length.
func (w *Reply) Reset() { w.buf = append(w.buf[:0], 0, 0, 0, 0) }

// Bytes returns the finished frame, valid until the next Reset.
func (w *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	return w.buf
}

// appendHeader starts an action. The size in bytes counts the router's number and the fields after it.
func (w *Reply) appendHeader(code uint8, size int, router uint16) {
	w.buf = append(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(size))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, router)
}

func (w *Reply) u16(v uint16)  { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *Reply) u32(v uint32)  { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Reply) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *Reply) f64(v float64) { w.u64(math.Float64bits(v)) }

// Try starts an attempt of a request on an engine, to be given up after withinMS milliseconds.
func (w *Reply) Try(router uint16, request uint64, engine uint32, withinMS float64) {
	w.appendHeader(tryCode, 22, router)
	w.u64(request)
	w.u32(engine)
	w.f64(withinMS)
}

// AssignTerms sets the memory in MB and the priority of the attempts of a request that are sent from now on.
func (w *Reply) AssignTerms(router uint16, request uint64, workspaceMB float64, importance uint8) {
	w.appendHeader(assign, 15, router)
	w.u64(request)
	w.u32(math.Float32bits(float32(workspaceMB)))
	w.buf = append(w.buf, importance)
}

// Bounce rejects a request and asks its client to come back after comeBackMS milliseconds.
func (w *Reply) Bounce(router uint16, request uint64, comeBackMS float64) {
	w.appendHeader(bounce, 18, router)
	w.u64(request)
	w.f64(comeBackMS)
}

// EndFailed fails a request. No retry is suggested to its client.
func (w *Reply) EndFailed(router uint16, request uint64) {
	w.appendHeader(endFailed, 10, router)
	w.u64(request)
}

// StopAttempt cancels one attempt of a request, given by its number.
func (w *Reply) StopAttempt(router uint16, request uint64, sendNo uint16) {
	w.appendHeader(stop, 12, router)
	w.u64(request)
	w.u16(sendNo)
}

// Poll sends a probe to an engine.
func (w *Reply) Poll(router uint16, engine uint32) {
	w.appendHeader(poll, 6, router)
	w.u32(engine)
}

// NotifyMe sets a timer to a time in milliseconds. The mark comes back with the timer's event.
func (w *Reply) NotifyMe(router uint16, atMS float64, mark uint32) {
	w.appendHeader(notifyMe, 14, router)
	w.f64(atMS)
	w.u32(mark)
}

// Lookup asks service discovery for the whole list of engines once.
func (w *Reply) Lookup(router uint16) { w.appendHeader(lookup, 2, router) }

// Listen subscribes to the engine list of service discovery.
func (w *Reply) Listen(router uint16) {
	w.appendHeader(listen, 3, router)
	w.buf = append(w.buf, 1)
}

// Print writes a line into the simulator's report. A text of more than 65535 bytes is cut.
func (w *Reply) Print(router uint16, text string) {
	if len(text) > math.MaxUint16 {
		text = text[:math.MaxUint16]
	}
	w.appendHeader(printLine, 4+len(text), router)
	w.u16(uint16(len(text)))
	w.buf = append(w.buf, text...)
}
