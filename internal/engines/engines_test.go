package engines

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/traffic"
)

const firstPageReply = "*4\r\n$2\r\nf1\r\n$4\r\nDONE\r\n$44\r\nsheets=2,toil=120,room=5,use=queue:3;x0:0.25\r\n$6\r\na\tb\r\n\n\r\n"

func TestReadPartialAndConsecutiveReplies(t *testing.T) {
	pool := &buffers.Pool{}
	in := pool.Chain()
	var got []*traffic.EngineReply
	all := firstPageReply + "*3\r\n$2\r\nf2\r\n$4\r\nWAIT\r\n$1\r\n-\r\n"
	for i := range len(all) {
		in.WriteString(all[i : i+1])
		r, err := Session{}.Read(in, nil)
		require.NoError(t, err)
		if r != nil {
			got = append(got, r)
		}
	}
	require.Len(t, got, 2)
	assert.Equal(t, "a\tb\r\n\n", got[0].Rows.Data.String(), "a line end inside a body ends nothing")
	assert.Contains(t, got[0].Invalid, "rows")
	got[0].Rows.Release()
	got[0].Rows.Data, got[0].Invalid = nil, ""
	load := &brain.Report{InFlight: -1, Waiting: 3, CPU: -1, Memory: 0.25, Disks: -1}
	assert.Equal(t, &traffic.EngineReply{ID: "f1", Kind: traffic.ReplyFirstPage, Pages: 2, Page: -1, Work: 0.12, Memory: 5, Load: load}, got[0])
	assert.Equal(t, traffic.ReplyOverloaded, got[1].Kind)
	assert.Zero(t, pool.InUse())
}

func TestMalformedReplyIsAnError(t *testing.T) {
	for _, text := range []string{"+OK\r\n", "*-1\r\n", "*99\r\n", "*1\r\n$1\r\na\r\n", "*2\r\n$9999999\r\n",
		"*2\r\n$1\r\nabc", "*2\r\n$x\r\n", strings.Repeat("*", 30)} {
		in := (&buffers.Pool{}).Chain()
		in.WriteString(text)
		_, err := Session{}.Read(in, nil)
		assert.ErrorIs(t, err, ErrMalformedReply, "%q", text)
	}
}

func TestEncodeFetchCommand(t *testing.T) {
	pool := &buffers.Pool{}
	out, text := pool.Chain(), pool.Chain()
	text.WriteString("SELECT 1")
	d := &traffic.Dispatch{ID: "f1", Group: "report", IdempotencyKey: "k9", Wait: 0.2501, Memory: 95.2}
	d.Text = text
	Session{}.Encode(out, d)
	assert.Equal(t, "*4\r\n$5\r\nfetch\r\n$2\r\nf1\r\n$40\r\nqueue=report,budget=251,uniq=k9,allot=96\r\n"+
		"$8\r\nSELECT 1\r\n", out.String())
	assert.Equal(t, 8, text.Len(), "the text stays for another dispatch")
}

func TestPickNeverReusesAnIDOnAConnection(t *testing.T) {
	p := &Pool{}
	first, second := p.Add(1, 0), p.Add(2, 0)
	first.Up, second.Up = true, true
	first.AddPending("a", 1)
	assert.Same(t, second, p.Pick("b", 2), "the one with least open")
	assert.Same(t, first, p.LongestSilent(2))
	assert.Same(t, second, p.Pick("a", 2))
	first.RemovePending("a", true, 5)
	assert.Same(t, second, p.Pick("a", 2), "a late answer may still come on the first")
	first.AddPending("c", 1)
	first.AddPending("d", 1)
	assert.Same(t, second, p.Pick("e", 2), "the first is full")
	second.Suspect = true
	assert.Nil(t, p.Pick("e", 2))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(firstPageReply))
	f.Fuzz(func(t *testing.T, text []byte) {
		pool := &buffers.Pool{}
		in := pool.Chain()
		in.Write(text)
		for {
			r, err := Session{}.Read(in, nil)
			if r == nil || err != nil {
				break
			}
			r.Rows.Release()
		}
		in.Release()
		assert.Zero(t, pool.InUse())
	})
}
