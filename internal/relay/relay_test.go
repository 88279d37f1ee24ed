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

// newParticipant opens a UDP socket that is closed when the test ends.
func newParticipant(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// receiveUntil reads datagrams until one equals last or none arrives for two seconds, and returns all of them.
func receiveUntil(t *testing.T, c net.PacketConn, last string) (out []string) {
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

// hasName matches one participant by name.
func hasName(name string) func(string) bool { return func(s string) bool { return s == name } }

func TestDatagramsPassBothWaysFromTheRelaysAddress(t *testing.T) {
	f := New(1)
	defer f.Close()
	a, b := newParticipant(t), newParticipant(t)
	d, err := f.NewDatagramLink(host, "a", "b", nil, b.LocalAddr())
	require.NoError(t, err)
	a.WriteTo([]byte("to b"), d.A.LocalAddr()) //nolint:errcheck
	buf := make([]byte, 100)
	n, from, err := b.ReadFrom(buf)
	require.NoError(t, err)
	assert.Equal(t, "to b", string(buf[:n]))
	assert.Equal(t, d.B.LocalAddr().String(), from.String(), "b knows a by the relay's address")
	b.WriteTo([]byte("back"), from) //nolint:errcheck
	assert.Equal(t, []string{"back"}, receiveUntil(t, a, "back"), "the address of a is learned from its first datagram")
}

// The same seed delivers the same datagrams, and faults of one direction do not affect the other.
func TestDatagramLossIsDeterminedBySeed(t *testing.T) {
	deliveredWithSeed := func(seed uint64) string {
		f := New(seed)
		defer f.Close()
		a, b := newParticipant(t), newParticipant(t)
		d, err := f.NewDatagramLink(host, "a", "b", a.LocalAddr(), b.LocalAddr())
		require.NoError(t, err)
		fault := f.AddFault(Fault{Affects: Between(hasName("a"), hasName("b")), Condition: Condition{LossRate: 0.4, DuplicateRate: 0.2}})
		for i := range 100 {
			a.WriteTo([]byte(fmt.Sprint(i)), d.A.LocalAddr()) //nolint:errcheck
			time.Sleep(100 * time.Microsecond)                // do not overflow the kernel's queue: its losses are not under test
		}
		time.Sleep(50 * time.Millisecond) // until delayed copies have arrived
		f.RemoveFault(fault)
		a.WriteTo([]byte("end"), d.A.LocalAddr()) //nolint:errcheck
		got := receiveUntil(t, b, "end")
		b.WriteTo([]byte("reverse"), d.B.LocalAddr()) //nolint:errcheck
		assert.Equal(t, []string{"reverse"}, receiveUntil(t, a, "reverse"), "the reverse direction is not affected")
		return strings.Join(got, " ")
	}
	delivered := deliveredWithSeed(3)
	assert.Equal(t, delivered, deliveredWithSeed(3))
	assert.NotEqual(t, delivered, deliveredWithSeed(4))
	count := len(strings.Fields(delivered))
	assert.Greater(t, count, 40)
	assert.Less(t, count, 100)
}

func TestPartitionIsOneWayAndHealsAndFaultsCombine(t *testing.T) {
	f := New(1)
	defer f.Close()
	a, b := newParticipant(t), newParticipant(t)
	d, err := f.NewDatagramLink(host, "a", "b", a.LocalAddr(), b.LocalAddr())
	require.NoError(t, err)
	partition := f.AddFault(Fault{Affects: Between(hasName("a"), hasName("b")), Condition: Condition{Partitioned: true}})
	delay := f.AddFault(Fault{Affects: AcrossBoundary(hasName("b")), Condition: Condition{Delay: time.Millisecond}})
	assert.True(t, f.Partitioned("a", "b"))
	assert.False(t, f.Partitioned("b", "a"))
	a.WriteTo([]byte("lost"), d.A.LocalAddr())   //nolint:errcheck
	b.WriteTo([]byte("passes"), d.B.LocalAddr()) //nolint:errcheck
	assert.Equal(t, []string{"passes"}, receiveUntil(t, a, "passes"))
	f.RemoveFault(delay)
	assert.True(t, f.Partitioned("a", "b"), "the partition is still in effect")
	f.RemoveFault(partition)
	a.WriteTo([]byte("healed"), d.A.LocalAddr()) //nolint:errcheck
	assert.Equal(t, []string{"healed"}, receiveUntil(t, b, "healed"), "datagrams lost in a partition are not delivered later")
}

func TestDelayedDatagramsAreReordered(t *testing.T) {
	f := New(5)
	defer f.Close()
	a, b := newParticipant(t), newParticipant(t)
	d, err := f.NewDatagramLink(host, "a", "b", a.LocalAddr(), b.LocalAddr())
	require.NoError(t, err)
	f.AddFault(Fault{Affects: Between(hasName("a"), hasName("b")), Condition: Condition{ReorderRate: 0.3}})
	for i := range 30 {
		a.WriteTo([]byte{byte('A' + i)}, d.A.LocalAddr()) //nolint:errcheck
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	f.RemoveAllFaults()
	a.WriteTo([]byte("."), d.A.LocalAddr()) //nolint:errcheck
	all := strings.TrimSuffix(strings.Join(receiveUntil(t, b, "."), ""), ".")
	assert.Len(t, all, 30)
	assert.False(t, slices.IsSorted([]byte(all)), all)
}

// startEchoServer starts a TCP server that returns everything it receives, and returns its address.
func startEchoServer(t *testing.T) string {
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

// connectThroughLink creates a link from a to an echo server b and opens a connection through it.
func connectThroughLink(t *testing.T, f *Fabric) (*StreamLink, net.Conn) {
	s, err := f.NewStreamLink(host, "a", "b", startEchoServer(t))
	require.NoError(t, err)
	c, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return s, c
}

func TestStreamKeepsOrderThroughDelayAndPartition(t *testing.T) {
	f := New(2)
	defer f.Close()
	_, c := connectThroughLink(t, f)
	f.AddFault(Fault{Affects: AcrossBoundary(hasName("b")), Condition: Condition{Delay: time.Millisecond, Jitter: 3 * time.Millisecond}})
	var sent bytes.Buffer
	for i := range 200 {
		fmt.Fprintf(&sent, "piece %d;", i)
	}
	partition := f.AddFault(Fault{Affects: Between(hasName("b"), hasName("a")), Condition: Condition{Partitioned: true}})
	c.Write(sent.Bytes()) //nolint:errcheck
	got := make([]byte, sent.Len())
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck
	n, _ := c.Read(got)
	assert.Zero(t, n, "a partition blocks all data")
	f.RemoveFault(partition)
	c.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	assert.Equal(t, sent.Bytes(), got, "a partition loses no stream data")
	c.(*net.TCPConn).CloseWrite() //nolint:errcheck
	_, err = c.Read(got)
	assert.ErrorIs(t, err, io.EOF, "the end of the stream is forwarded")
}

func TestStreamIsThrottledAndReset(t *testing.T) {
	f := New(2)
	defer f.Close()
	s, c := connectThroughLink(t, f)
	f.AddFault(Fault{Affects: Between(hasName("a"), hasName("b")), Condition: Condition{BytesPerSecond: 4 * throttledChunkSize}})
	c.Write(make([]byte, 100*throttledChunkSize)) //nolint:errcheck
	time.Sleep(300 * time.Millisecond)
	got := make([]byte, 100*throttledChunkSize)
	c.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck
	n, err := c.Read(got)
	require.NoError(t, err)
	assert.Less(t, n, 50*throttledChunkSize, "only a few of the hundred chunks have arrived")
	s.Reset()
	for err == nil {
		_, err = c.Read(got)
	}
	assert.NotErrorIs(t, err, io.EOF, "a reset is not an end of stream")
	_, err = net.Dial("tcp", s.Addr().String())
	assert.NoError(t, err, "new connections are still accepted")
}

func TestUnreachableTargetResetsAndClosedFabricRefusesLinks(t *testing.T) {
	f := New(2)
	s, err := f.NewStreamLink(host, "a", "b", host+":1")
	require.NoError(t, err)
	c, err := net.Dial("tcp", s.Addr().String())
	if err == nil { // the reset may arrive before Dial returns
		_, err = c.Read(make([]byte, 1))
	}
	assert.Error(t, err)
	f.AddFault(Fault{Affects: AcrossBoundary(hasName("b")), Condition: Condition{Partitioned: true}})
	pending, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	defer pending.Close()
	f.Close()
	f.Close()
	_, err = f.NewStreamLink(host, "a", "b", host+":1")
	assert.Error(t, err)
	_, err = f.NewDatagramLink(host, "a", "b", nil, nil)
	assert.Error(t, err)
}
