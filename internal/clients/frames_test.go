package clients

import (
	"encoding/binary"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// frame encodes a frame.
func frame(kind byte, stream uint32, payload string) string {
	out := binary.LittleEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = binary.LittleEndian.AppendUint32(append(out, kind), stream)
	return string(out) + payload
}

// batchPayload is the payload of a valid batch.
const batchPayload = "\x04\x01c\x06\x00lookup\x01i\x10\x0000000000000000f1\x01d\x04\x001500\x02mb\x02\x0096SELECT 1"

func TestReadPartialAndConsecutiveFrames(t *testing.T) {
	pool := &buffers.Pool{}
	in := pool.Chain()
	var got []traffic.ClientMessage
	stream := frame(FrameBatch, 7, batchPayload) + frame(FrameCancel, 7, "") + frame(FrameReadinessQuery, 8, "\x00") + frame(99, 4, "?")
	for i := range len(stream) {
		in.WriteString(stream[i : i+1])
		f, err := (&Session{}).Read(in, nil)
		require.NoError(t, err)
		if f != nil {
			got = append(got, f)
		}
	}
	in.WriteString(stream)
	for range 4 {
		f, err := (&Session{}).Read(in, nil)
		require.NoError(t, err)
		got = append(got, f)
	}
	for _, messages := range [][]traffic.ClientMessage{got[:4], got[4:]} {
		a := messages[0].(*traffic.BatchRequest)
		require.NoError(t, a.Err)
		assert.Equal(t, "SELECT 1", a.Batch.Text.String())
		a.Batch.Text.Release()
		a.Batch.Text = nil
		assert.Equal(t, traffic.Batch{ID: "00000000000000f1", Group: "lookup", TimeLeft: 1.5, Memory: 96}, a.Batch)
		assert.Equal(t, []traffic.ClientMessage{traffic.Cancel{Stream: 7}, traffic.ReadinessQuery{Stream: 8}, traffic.InvalidMessage{Stream: 4}}, messages[1:])
	}
	assert.Zero(t, pool.InUse(), "all buffers are released")
}

// A frame that is dropped as it arrives keeps its type and stream, and the frames behind it are read as usual.
func TestDroppedFrameKeepsItsStream(t *testing.T) {
	for kind, want := range map[byte]traffic.ClientMessage{FrameBatch: &traffic.BatchRequest{Stream: 7, Dropped: true},
		FrameCancel: traffic.Cancel{Stream: 7}, FrameReadinessQuery: traffic.ReadinessQuery{Stream: 7}, 99: traffic.InvalidMessage{Stream: 7}} {
		dropped, next := frame(kind, 7, batchPayload), frame(FrameCancel, 8, "")
		for cut := 1; cut < len(dropped); cut++ {
			pool, s := &buffers.Pool{}, &Session{}
			in := pool.Chain()
			in.WriteString(dropped[:cut])
			message, err := s.Read(in, nil)
			require.NoError(t, err)
			require.Nil(t, message)
			if cut < headerBytes {
				require.False(t, s.DropPartial(in), "its stream is not known yet")
				continue
			}
			require.True(t, s.DropPartial(in))
			assert.Zero(t, pool.InUse())
			assert.True(t, s.HasPartial())
			for _, c := range dropped[cut : len(dropped)-1] {
				in.Write([]byte{byte(c)})
				message, err = s.Read(in, nil)
				require.NoError(t, err)
				require.Nil(t, message)
				require.Zero(t, pool.InUse())
			}
			in.WriteString(dropped[len(dropped)-1:] + next)
			message, err = s.Read(in, nil)
			require.NoError(t, err)
			assert.Equal(t, want, message)
			assert.False(t, s.HasPartial())
			message, err = s.Read(in, nil)
			require.NoError(t, err)
			assert.Equal(t, traffic.Cancel{Stream: 8}, message)
			assert.Zero(t, pool.InUse())
		}
	}
}

func TestMalformedFrameIsAnError(t *testing.T) {
	for _, text := range []string{"\x04\x00\x00\x00", "\x01\x00\x04\x00", "GET / HTTP/1.1\r\n"} {
		in := (&buffers.Pool{}).Chain()
		in.WriteString(text)
		_, err := (&Session{}).Read(in, nil)
		require.ErrorIs(t, err, ErrMalformedFrame, "%q", text)
	}
}

// An invalid field fails its batch only: sent on to an engine, it could close a connection that other batches share, and the
// client's connection carries other batches too.
func TestInvalidFieldsKeepTheConnection(t *testing.T) {
	field := func(name, value string) string {
		return string(byte(len(name))) + name + string(byte(len(value))) + "\x00" + value
	}
	good := []string{"i", "00000000000000f1", "d", "900", "h", "820.0", "mb", "96", "k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
	payload := func(fields ...string) string {
		out := string(byte(len(fields) / 2))
		for i := 0; i < len(fields); i += 2 {
			out += field(fields[i], fields[i+1])
		}
		return out + "SELECT 1"
	}
	bad := []string{"\x01\x01c\xff\xffx", "\xff", "", "\x01\x01i", payload(append(good, "d", "900")...), payload(good[2:]...),
		payload(good...)[:len(payload(good...))-len("SELECT 1")]}
	for position, values := range map[int][]string{1: {"", "a", "00000000000000f1a", "00000000000000F1", "0000000000000,=1"},
		3: {"", "0", "-4", "NaN", "1e3", "99999999999", "9.5"}, 5: {"-820", "1e300", "NaN", "99999999999", "x"},
		7: {"-1", "Inf", "99999999999"}, 9: {"a=b", "5c0f"}} {
		for _, v := range values {
			fields := slices.Clone(good)
			fields[position] = v
			bad = append(bad, payload(fields...))
		}
	}
	for _, text := range append(bad, payload(good...)) {
		in := (&buffers.Pool{}).Chain()
		in.WriteString(frame(FrameBatch, 1, text))
		f, err := (&Session{}).Read(in, nil)
		require.NoError(t, err)
		assert.Equal(t, text != payload(good...), f.(*traffic.BatchRequest).Err != nil, "%q", text)
	}
}

func TestDistinctOrderKeysHaveDistinctHashes(t *testing.T) {
	assert.Equal(t, HashOrderKey("7f3a"), HashOrderKey("7f3a"))
	assert.NotEqual(t, HashOrderKey("7f3a"), HashOrderKey("7f3b"))
	assert.Zero(t, HashOrderKey(""))
}

func TestEncodeAnswerWithCodeRetryDelayAndAllPages(t *testing.T) {
	pool := &buffers.Pool{}
	out, one, two := pool.Chain(), pool.Chain(), pool.Chain()
	one.WriteString("a\tb\tc\n")
	two.WriteString("d\te\tf\n")
	(&Session{}).Encode(out, &traffic.Answer{Stream: 3, Rows: []rows.Part{{Data: one}, {}, {Data: two}}})
	(&Session{}).Encode(out, &traffic.Answer{Stream: 4, Code: traffic.Rejected, RetryAfter: 0.25})
	(&Session{}).Encode(out, traffic.GoAway{})
	want := frame(FrameAnswer, 3, "\x00\x00a\tb\tc\nd\te\tf\n") + frame(FrameAnswer, 4, "\x0b\x01\x01w\x03\x00250") + frame(FrameGoAway, 0, "")
	assert.Equal(t, want, out.String())
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(frame(FrameBatch, 7, batchPayload)))
	f.Fuzz(func(t *testing.T, text []byte) {
		pool := &buffers.Pool{}
		in := pool.Chain()
		in.Write(text)
		for {
			message, err := (&Session{}).Read(in, nil)
			if message == nil || err != nil {
				break
			}
			if request, ok := message.(*traffic.BatchRequest); ok {
				request.Batch.Text.Release()
			}
		}
		in.Release()
		assert.Zero(t, pool.InUse())
	})
}
