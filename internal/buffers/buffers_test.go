package buffers

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A chain does what one long slice would, across the edges of its buffers.
func TestChainBehavesLikeOneSlice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := &Pool{}
	c, want := pool.Chain(), []byte{}
	for range 3000 {
		switch random.IntN(4) {
		case 0, 1:
			p := make([]byte, random.IntN(2*Size))
			for i := range p {
				p[i] = byte(random.Uint32())
			}
			c.Write(p)
			want = append(want, p...)
		case 2:
			n := random.IntN(2 * Size)
			c.Discard(n)
			want = want[min(n, len(want)):]
		case 3:
			n := random.IntN(2 * Size)
			cut := c.Cut(n)
			n = min(n, len(want))
			require.Equal(t, string(want[:n]), cut.String())
			want = want[n:]
			cut.Release()
		}
		require.Equal(t, len(want), c.Len())
		require.True(t, bytes.Equal(want, bytes.Join(c.Parts(), nil)))
		at, got := random.IntN(len(want)+1), make([]byte, 100)
		got = got[:c.Peek(at, got)]
		require.Equal(t, string(want[at:min(at+100, len(want))]), string(got))
		b := byte(random.Uint32())
		in := want[at:min(at+300, len(want))]
		if i := bytes.IndexByte(in, b); i >= 0 {
			require.Equal(t, at+i, c.Index(at, b, 300))
		} else {
			require.Equal(t, -1, c.Index(at, b, 300))
		}
	}
	read, err := io.ReadAll(readAll{c.Reader()})
	require.NoError(t, err)
	assert.True(t, bytes.Equal(want, read))
	c.Release()
	c.Release()
	assert.Zero(t, pool.InUse())
}

type readAll struct{ io.ByteReader }

func (r readAll) Read(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		if p[n], err = r.ReadByte(); err == nil {
			n++
		}
	}
	return n, err
}
