package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const host = "127.0.0.1"

// party is one that speaks datagrams.
func party(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// heard reads until a word that ends it has come, or nothing more.
func heard(t *testing.T, c net.PacketConn, last string) (out []string) {
	buf := make([]byte, 100)
	for {
		c.SetReadDeadline(time.Now().Add(2 * time.Second)) //nolint:errcheck
		n, _, err := c.ReadFrom(buf)
		if err != nil {
			return out
		}
		out = append(out, string(buf[:n]))
		if string(buf[:n]) == last {
			return out
		}
	}
}

func named(name string) func(string) bool { return func(s string) bool { return s == name } }

func TestDatagramsPassBothWaysAndComeFromTheRelay(t *testing.T) {
	f := New(1)
	defer f.Close()
	a, b := party(t), party(t)
	d, err := f.Datagrams(host, "a", "b", nil, b.LocalAddr())
	require.NoError(t, err)
	a.WriteTo([]byte("to b"), d.A.LocalAddr()) //nolint:errcheck
	buf := make([]byte, 100)
	n, from, err := b.ReadFrom(buf)
	require.NoError(t, err)
	assert.Equal(t, "to b", string(buf[:n]))
	assert.Equal(t, d.B.LocalAddr().String(), from.String(), "b knows a by the relay's address")
	b.WriteTo([]byte("back"), from) //nolint:errcheck
	assert.Equal(t, []string{"back"}, heard(t, a, "back"), "a was learned from its first datagram")
}

// The same seed lets the same datagrams through, each direction on its own.
func TestWhatIsLostIsDrawnBySeed(t *testing.T) {
	through := func(seed uint64) string {
		f := New(seed)
		defer f.Close()
		a, b := party(t), party(t)
		d, err := f.Datagrams(host, "a", "b", a.LocalAddr(), b.LocalAddr())
		require.NoError(t, err)
		front := f.Bring(Front{Over: Between(named("a"), named("b")), Weather: Weather{Loss: 0.4, Double: 0.2}})
		for i := range 100 {
			a.WriteTo([]byte(fmt.Sprint(i)), d.A.LocalAddr()) //nolint:errcheck
			time.Sleep(100 * time.Microsecond)                // the kernel's own queue is not what is looked at
		}
		time.Sleep(50 * time.Millisecond) // doubles are behind
		f.Lift(front)
		a.WriteTo([]byte("end"), d.A.LocalAddr()) //nolint:errcheck
		got := heard(t, b, "end")
		b.WriteTo([]byte("fair"), d.B.LocalAddr()) //nolint:errcheck
		assert.Equal(t, []string{"fair"}, heard(t, a, "fair"), "the other way is as it was")
		return strings.Join(got, " ")
	}
	one := through(3)
	assert.Equal(t, one, through(3))
	assert.NotEqual(t, one, through(4))
	n := len(strings.Fields(one))
	assert.Greater(t, n, 40)
	assert.Less(t, n, 100)
}

func TestACutIsOneWayAndHealsAndFrontsAddUp(t *testing.T) {
	f := New(1)
	defer f.Close()
	a, b := party(t), party(t)
	d, err := f.Datagrams(host, "a", "b", a.LocalAddr(), b.LocalAddr())
	require.NoError(t, err)
	one := f.Bring(Front{Over: Between(named("a"), named("b")), Weather: Weather{Cut: true}})
	two := f.Bring(Front{Over: Around(named("b")), Weather: Weather{Delay: time.Millisecond}})
	assert.True(t, f.Cut("a", "b"))
	assert.False(t, f.Cut("b", "a"))
	a.WriteTo([]byte("lost"), d.A.LocalAddr())   //nolint:errcheck
	b.WriteTo([]byte("passes"), d.B.LocalAddr()) //nolint:errcheck
	assert.Equal(t, []string{"passes"}, heard(t, a, "passes"))
	f.Lift(two)
	assert.True(t, f.Cut("a", "b"), "the other front is still there")
	f.Lift(one)
	a.WriteTo([]byte("healed"), d.A.LocalAddr()) //nolint:errcheck
	assert.Equal(t, []string{"healed"}, heard(t, b, "healed"), "what a cut took does not come later")
}

func TestLateDatagramsArePassedByOthers(t *testing.T) {
	f := New(5)
	defer f.Close()
	a, b := party(t), party(t)
	d, err := f.Datagrams(host, "a", "b", a.LocalAddr(), b.LocalAddr())
	require.NoError(t, err)
	f.Bring(Front{Over: Between(named("a"), named("b")), Weather: Weather{Reorder: 0.3}})
	for i := range 30 {
		a.WriteTo([]byte{byte('A' + i)}, d.A.LocalAddr()) //nolint:errcheck
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	f.Heal()
	a.WriteTo([]byte("."), d.A.LocalAddr()) //nolint:errcheck
	all := strings.TrimSuffix(strings.Join(heard(t, b, "."), ""), ".")
	assert.Len(t, all, 30)
	assert.False(t, slices.IsSorted([]byte(all)), all)
}

// echo is a party that streams connect to; it gives back what comes.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c) //nolint:errcheck
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func connected(t *testing.T, f *Fabric) (*Stream, net.Conn) {
	s, err := f.Stream(host, "a", "b", echo(t))
	require.NoError(t, err)
	c, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return s, c
}

func TestAStreamKeepsItsOrderThroughDelayAndACut(t *testing.T) {
	f := New(2)
	defer f.Close()
	_, c := connected(t, f)
	f.Bring(Front{Over: Around(named("b")), Weather: Weather{Delay: time.Millisecond, Jitter: 3 * time.Millisecond}})
	var sent bytes.Buffer
	for i := range 200 {
		fmt.Fprintf(&sent, "piece %d;", i)
	}
	cut := f.Bring(Front{Over: Between(named("b"), named("a")), Weather: Weather{Cut: true}})
	c.Write(sent.Bytes()) //nolint:errcheck
	got := make([]byte, sent.Len())
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck
	n, _ := c.Read(got)
	assert.Zero(t, n, "nothing passes a cut")
	f.Lift(cut)
	c.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	assert.Equal(t, sent.Bytes(), got, "and nothing is lost by it")
	c.(*net.TCPConn).CloseWrite() //nolint:errcheck
	_, err = c.Read(got)
	assert.ErrorIs(t, err, io.EOF, "its end comes through")
}

func TestAStreamDripsAndIsReset(t *testing.T) {
	f := New(2)
	defer f.Close()
	s, c := connected(t, f)
	f.Bring(Front{Over: Between(named("a"), named("b")), Weather: Weather{Drip: 4 * dripPiece}})
	c.Write(make([]byte, 100*dripPiece)) //nolint:errcheck
	time.Sleep(300 * time.Millisecond)
	got := make([]byte, 100*dripPiece)
	c.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck
	n, err := c.Read(got)
	require.NoError(t, err)
	assert.Less(t, n, 50*dripPiece, "a few pieces of a hundred")
	s.Reset()
	for err == nil {
		_, err = c.Read(got)
	}
	assert.NotErrorIs(t, err, io.EOF, "a reset is no end")
	_, err = net.Dial("tcp", s.Addr().String())
	assert.NoError(t, err, "and others may come")
}

func TestALinkToNobodyBreaksAndAClosedFabricHasNone(t *testing.T) {
	f := New(2)
	s, err := f.Stream(host, "a", "b", host+":1")
	require.NoError(t, err)
	c, err := net.Dial("tcp", s.Addr().String())
	if err == nil { // the reset may come before the connection is told
		_, err = c.Read(make([]byte, 1))
	}
	assert.Error(t, err)
	f.Bring(Front{Over: Around(named("b")), Weather: Weather{Cut: true}})
	stuck, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	defer stuck.Close()
	f.Close()
	f.Close()
	_, err = f.Stream(host, "a", "b", host+":1")
	assert.Error(t, err)
	_, err = f.Datagrams(host, "a", "b", nil, nil)
	assert.Error(t, err)
}
