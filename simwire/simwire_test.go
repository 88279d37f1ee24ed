package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func raw(t *testing.T, text string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	require.NoError(t, err)
	return b
}

func TestSpecificationExample(t *testing.T) {
	in := bytes.NewReader(raw(t, `60000000 03000000 00000000206ec040
		05 31000000 0300 c4913a5d14cd0100 00 00000000 640ad2557c3bf091 0000000000006e40 0000000000002840 0000c043 00003041 0100
		07 06000000 0300 4d000000
		06 0a000000 0500 192b6f0e286c0800`))
	f, err := ReadFrame(in, &bytes.Buffer{})
	require.NoError(t, err)
	assert.Equal(t, 8412.25, f.Now)
	job, err := f.Next()
	require.NoError(t, err)
	assert.EqualValues(t, JobIn, job.Code)
	assert.EqualValues(t, 3, job.U16())
	assert.EqualValues(t, uint64(0x1cd145d3a91c4), job.U64())
	assert.EqualValues(t, 0, job.U8())
	assert.EqualValues(t, 0, job.U32())
	assert.EqualValues(t, uint64(0x91f03b7c55d20a64), job.U64())
	assert.Equal(t, []float64{240, 12, 384, 11}, []float64{job.F64(), job.F64(), job.F32(), job.F32()})
	assert.EqualValues(t, 1, job.U16())
	require.NoError(t, job.Err())
	job.U8()
	assert.Error(t, job.Err(), "beyond the record")

	var w Reply
	w.Reset()
	w.Try(3, 0x1cd145d3a91c4, 0x03124a07, 80)
	w.NotifyMe(3, 8912.25, 0x4d)
	w.Print(5, "two servers known")
	assert.Equal(t, raw(t, `4c000000
		0b 16000000 0300 c4913a5d14cd0100 074a1203 0000000000005440
		07 0e000000 0300 000000002068c140 4d000000
		0a 15000000 0500 1100 74776f2073657276657273206b6e6f776e`), w.Bytes())
}

func TestBadFramesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut header":       "60000000 0300",
		"cut body":         "ffffffff 01000000 00000000206ec040 0501",
		"length too small": "05000000 00000000 00000000206ec040",
		"clock is NaN":     "10000000 00000000 000000000000f87f",
	} {
		_, err := ReadFrame(bytes.NewReader(raw(t, text)), &bytes.Buffer{})
		require.Error(t, err, name)
		assert.NotErrorIs(t, err, io.EOF, name)
	}
	for name, text := range map[string]string{
		"record longer than frame": "17000000 01000000 00000000206ec040 07 ff000000 0000",
		"fewer records than said":  "10000000 02000000 00000000206ec040",
		"more bytes than records":  "12000000 00000000 00000000206ec040 0000",
	} {
		f, err := ReadFrame(bytes.NewReader(raw(t, text)), &bytes.Buffer{})
		require.NoError(t, err, name)
		_, err = f.Next()
		assert.Error(t, err, name)
	}
	_, err := ReadFrame(bytes.NewReader(nil), &bytes.Buffer{})
	assert.ErrorIs(t, err, io.EOF)
}
