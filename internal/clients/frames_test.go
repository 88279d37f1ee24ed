package clients

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/buffers"
)

func frame(kind byte, stream uint32, payload string) string {
	out := binary.LittleEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = binary.LittleEndian.AppendUint32(append(out, kind), stream)
	return string(out) + payload
}

const ask = "\x04\x01c\x06\x00lookup\x01i\x02\x00f1\x01d\x04\x001500\x02mb\x02\x0096SELECT 1"

func TestFramesComeInPiecesAndTogether(t *testing.T) {
	pool := &buffers.Pool{}
	in := pool.Chain()
	var got []*Frame
	all := frame(Ask, 7, ask) + frame(Leave, 7, "") + frame(AskReady, 8, "\x00")
	for i := range len(all) {
		in.WriteString(all[i : i+1])
		f, err := Next(in)
		require.NoError(t, err)
		if f != nil {
			got = append(got, f)
		}
	}
	in.WriteString(all)
	for range 3 {
		f, err := Next(in)
		require.NoError(t, err)
		got = append(got, f)
	}
	require.Len(t, got, 6)
	for _, f := range got[:1] {
		b, err := f.Batch()
		require.NoError(t, err)
		assert.Equal(t, Batch{ID: "f1", Group: "lookup", Left: 1.5, Memory: 96}, b)
		assert.Equal(t, "SELECT 1", f.Body.String())
		assert.Equal(t, uint32(7), f.Stream)
	}
	assert.Equal(t, []uint8{Ask, Leave, AskReady}, []uint8{got[3].Type, got[4].Type, got[5].Type})
	for _, f := range got {
		f.Body.Release()
	}
	assert.Zero(t, pool.Used(), "all buffers are back")
}

func TestWhatIsNoFrameIsAnError(t *testing.T) {
	for _, text := range []string{"\x04\x00\x00\x00", "\x01\x00\x04\x00", "GET / HTTP/1.1\r\n"} {
		in := (&buffers.Pool{}).Chain()
		in.WriteString(text)
		_, err := Next(in)
		require.ErrorIs(t, err, ErrFrame, "%q", text)
	}
}

func TestAWholeFrameWithBadFieldsKeepsTheConnection(t *testing.T) {
	for _, payload := range []string{"\x01\x01c\xff\xffx", "\xff", "\x02\x01i\x01\x00a", "\x01\x01i",
		"\x02\x01i\x03\x00a,b\x01d\x01\x009", "\x03\x01i\x01\x00a\x01d\x01\x009\x01k\x03\x00a=b",
		"\x02\x01i\x01\x00a\x01d\x03\x00NaN", "\x02\x01i\x01\x00a\x01d\x02\x00-4"} {
		in := (&buffers.Pool{}).Chain()
		in.WriteString(frame(Ask, 1, payload))
		f, err := Next(in)
		require.NoError(t, err)
		_, err = f.Batch()
		assert.Error(t, err, "%q", payload)
	}
}

func TestKeysThatDifferHaveOtherNumbers(t *testing.T) {
	key := func(o string) uint64 {
		b, err := (&Frame{Fields: map[string]string{"i": "1", "d": "9", "o": o}}).Batch()
		require.NoError(t, err)
		return b.Key
	}
	assert.Equal(t, key("7f3a"), key("7f3a"))
	assert.NotEqual(t, key("7f3a"), key("7f3b"))
	assert.Zero(t, key(""))
}

func TestAnswerHoldsCodeWaitAndAllPages(t *testing.T) {
	pool := &buffers.Pool{}
	out, one, two := pool.Chain(), pool.Chain(), pool.Chain()
	one.WriteString("a\tb\tc\n")
	two.WriteString("d\te\tf\n")
	WriteAnswer(out, 3, Served, 0, []*buffers.Chain{one, two})
	WriteAnswer(out, 4, Refused, 0.25, nil)
	WriteNoMore(out)
	want := frame(Answer, 3, "\x00\x00a\tb\tc\nd\te\tf\n") + frame(Answer, 4, "\x0b\x01\x01w\x03\x00250") + frame(NoMore, 0, "")
	assert.Equal(t, want, out.String())
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(frame(Ask, 7, ask)))
	f.Fuzz(func(t *testing.T, text []byte) {
		pool := &buffers.Pool{}
		in := pool.Chain()
		in.Write(text)
		for {
			one, err := Next(in)
			if one == nil || err != nil {
				break
			}
			one.Batch()
			one.Body.Release()
		}
		in.Release()
		assert.Zero(t, pool.Used())
	})
}
