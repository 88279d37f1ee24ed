package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const oneGrade = `{"balancers":1,"discovery":"push","grades":[{"name":"a","on-time-ms":500,"deadline-ms":2000,
"idempotency":"idempotent"}],"specifics":{"cores-by-kind":[8],"dop":[1]},"limits":{"attempts-cap":2},"tick-ms":5,"new":{}}`

func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			binary.Write(&b, binary.LittleEndian, uint32(len(s)))
			f = []byte(s)
		}
		binary.Write(&b, binary.LittleEndian, f)
	}
	return append(binary.LittleEndian.AppendUint32([]byte{code}, uint32(b.Len())), b.Bytes()...)
}

func frame(ms float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(16+len(body)))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(binary.LittleEndian.AppendUint64(out, math.Float64bits(ms)), body...)
}

func page(id uint32, engine uint32) []byte {
	return record(8, id, uint32(1), uint8(2), float32(1), 0.0, uint16(0), engine, uint16(0), uint16(0))
}

func job(router uint16, id uint64) []byte {
	return record(5, router, id, uint8(0), uint32(0), uint64(0), 1000.0, 100.0, float32(0), float32(0), uint16(1))
}

func play(t *testing.T, frames ...[]byte) ([]byte, error) {
	var out bytes.Buffer
	err := serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.Bytes(), err
}

func TestPagesAreResolvedInOrderAndInstancesAreApart(t *testing.T) {
	birth := func(r uint16) []byte { return record(11, r, uint64(9), oneGrade) }
	list := func(r uint16) []byte { return record(10, r, uint8(2), uint32(1), uint32(0)) }
	start := frame(1000, page(0, 70), birth(0), list(0), page(0, 71), birth(1), list(1))
	out, err := play(t, start, frame(1005, record(99, uint16(0)), job(0, 5), job(1, 6)))
	require.NoError(t, err)
	for id, engine := range map[uint64]uint32{5: 70, 6: 71} {
		try := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, id), engine)
		assert.True(t, bytes.Contains(out, try), "batch %d to engine %d", id, engine)
	}
	again, err := play(t, start, frame(1005, record(1, uint16(0)), job(0, 5), birth(0), list(0)),
		frame(1010, record(4, uint16(0), uint64(5), uint8(0), uint16(0), uint8(0), uint32(70), 1.0, uint32(0), uint8(0))))
	require.NoError(t, err)
	assert.False(t, bytes.Contains(again, binary.LittleEndian.AppendUint64(nil, 5)), "destroyed with its batches")
}

func TestBadInputReturnsOneLineError(t *testing.T) {
	for want, in := range map[string][]byte{
		"settings":        frame(0, record(11, uint16(0), uint64(1), "no json")),
		"no grades":       frame(0, record(11, uint16(0), uint64(1), "{}")),
		"grade 0 lacks":   frame(0, record(11, uint16(0), uint64(1), `{"grades":[{}]}`)),
		"cut short":       frame(0, record(11, uint16(0), uint64(1), oneGrade), record(5, uint16(0))),
		"record 1":        frame(0, []byte{5, 200, 0, 0, 0}),
		"frame header: 3": {1, 2, 3},
	} {
		_, err := play(t, in)
		require.ErrorContains(t, err, want)
		assert.NotContains(t, err.Error(), "\n")
	}
	_, err := play(t)
	assert.NoError(t, err, "end of input")
}
