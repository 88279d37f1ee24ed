package reactor

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const testTimeout = 10 * time.Second // no time is asserted: only that something comes at all

// startReactor is a loop that runs until the test ends.
func startReactor(t *testing.T) *Reactor {
	r, err := New(4096, nil)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run()
	}()
	t.Cleanup(func() {
		r.Post(r.Stop)
		<-done
	})
	return r
}

// runOnLoop runs something on the loop and waits for it.
func runOnLoop(r *Reactor, what func()) {
	done := make(chan struct{})
	r.Post(func() {
		defer close(done)
		what()
	})
	<-done
}

// recorder keeps what it is told; the ends are written to a channel.
type recorder struct {
	mutex        sync.Mutex
	data         []byte
	ends         chan error
	dataReceived chan struct{} // a token once something came
}

func newRecorder() *recorder {
	return &recorder{ends: make(chan error, 8), dataReceived: make(chan struct{}, 1)}
}

func (r *recorder) Received(data []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.data = append(r.data, data...)
	select {
	case r.dataReceived <- struct{}{}:
	default:
	}
}

func (r *recorder) Ended(err error) { r.ends <- err }

func (r *recorder) bytes() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return bytes.Clone(r.data)
}

// newStreamPair is a stream on a loop and its peer.
func newStreamPair(t *testing.T, r *Reactor) (*Stream, *recorder, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	streams := make(chan *Stream, 1)
	seen := newRecorder()
	r.Post(func() {
		r.Dial(listener.Addr().String(), testTimeout, func(s *Stream, err error) {
			if err == nil {
				s.SetHandler(seen)
			}
			streams <- s
		})
	})
	peer, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	s := <-streams
	require.NotNil(t, s)
	return s, seen, peer.(*net.TCPConn)
}

// Incident 2: an error that says something of the moment was taken for the end of a connection.
func TestOnlyListedErrorsEndConnection(t *testing.T) {
	for number := syscall.Errno(1); number < 134; number++ {
		err := fmt.Errorf("a call: %w", number)
		assert.Equal(t, connectionErrors[number], endsConnection(err), "%s", number)
		r, newErr := New(16, nil)
		require.NoError(t, newErr)
		fds, pairErr := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		require.NoError(t, pairErr)
		seen := newRecorder()
		s := r.newStream(fds[0], seen)
		r.add(s)
		waits := s.handleError("read", err)
		assert.Equal(t, !connectionErrors[number], waits, "%s", number)
		assert.Equal(t, connectionErrors[number], s.closed, "%s", number)
		assert.Equal(t, waits && number != unix.EAGAIN, s.Failing(), "%s", number)
		if !waits {
			assert.ErrorIs(t, <-seen.ends, number)
		}
		r.close()
		unix.Close(fds[1]) //nolint:errcheck
	}
	assert.True(t, endsConnection(io.EOF), "what is no error of the system is the end")
}

func TestWriteKeepsOrderWithSlowPeer(t *testing.T) {
	r := startReactor(t)
	s, _, peer := newStreamPair(t, r)
	var sent []byte
	for i := range 4000 { // far more than the system takes at once
		sent = append(sent, bytes.Repeat([]byte{byte(i)}, 1000)...)
	}
	runOnLoop(r, func() {
		for i := 0; i < len(sent); i += 40000 {
			s.Write([][]byte{sent[i : i+10000], sent[i+10000 : i+40000]})
		}
		assert.Positive(t, s.Unsent(), "it waits for the peer to read")
	})
	got := make([]byte, len(sent))
	peer.SetReadDeadline(time.Now().Add(testTimeout)) //nolint:errcheck
	_, err := io.ReadFull(peer, got)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(sent, got))
	require.Eventually(t, func() bool {
		left := 0
		runOnLoop(r, func() { left = s.Unsent() })
		return left == 0
	}, testTimeout, time.Millisecond)
}

func TestReadKeepsOrderAndPauseStopsReading(t *testing.T) {
	r := startReactor(t)
	s, seen, peer := newStreamPair(t, r)
	runOnLoop(r, func() { s.Pause(true) })
	for i := range 200 {
		_, err := peer.Write([]byte{byte(i)})
		require.NoError(t, err)
	}
	for range 3 { // rounds of the loop with bytes there
		runOnLoop(r, func() {})
	}
	assert.Empty(t, seen.bytes())
	runOnLoop(r, func() { s.Pause(false) })
	require.Eventually(t, func() bool { return len(seen.bytes()) == 200 }, testTimeout, time.Millisecond)
	for i, b := range seen.bytes() {
		require.Equal(t, byte(i), b)
	}
}

func TestEndedIsCalledOnceWithCause(t *testing.T) {
	r := startReactor(t)
	_, seen, peer := newStreamPair(t, r)
	_, err := peer.Write([]byte("last words"))
	require.NoError(t, err)
	peer.Close()
	assert.ErrorIs(t, <-seen.ends, io.EOF)
	assert.Equal(t, "last words", string(seen.bytes()), "what came before the end is read first")

	_, seen, peer = newStreamPair(t, r)
	require.NoError(t, peer.SetLinger(0))
	peer.Close()
	assert.ErrorIs(t, <-seen.ends, unix.ECONNRESET)

	s, seen, peer := newStreamPair(t, r)
	runOnLoop(r, s.Close)
	_, err = io.ReadAll(peer)
	require.NoError(t, err)
	runOnLoop(r, func() {})
	assert.Empty(t, seen.ends, "an end of ours is not told")
}

func TestReadContinuesAfterCloseWrite(t *testing.T) {
	r := startReactor(t)
	s, seen, peer := newStreamPair(t, r)
	runOnLoop(r, func() { assert.NoError(t, s.CloseWrite()) })
	_, err := io.ReadAll(peer)
	require.NoError(t, err)
	_, err = peer.Write([]byte("still here"))
	require.NoError(t, err)
	<-seen.dataReceived
	assert.Equal(t, "still here", string(seen.bytes()))
}

func TestTasksRunOnceInOrderPerPoster(t *testing.T) {
	r := startReactor(t)
	const posters, each = 8, 500
	var got [posters][]int
	var wait sync.WaitGroup
	for p := range posters {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range each {
				r.Post(func() { got[p] = append(got[p], i) })
			}
		}()
	}
	wait.Wait()
	runOnLoop(r, func() {})
	for p := range posters {
		require.Len(t, got[p], each)
		for i, n := range got[p] {
			require.Equal(t, i, n)
		}
	}
}

func TestStopListeningAcceptsBacklogFirst(t *testing.T) {
	r, err := New(4096, nil)
	require.NoError(t, err)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.Addr().String()
	probe.Close()
	accepted := 0
	require.NoError(t, r.Listen(address, func(*Stream) StreamHandler { accepted++; return newRecorder() }))
	const waiting = 5
	for range waiting { // the loop does not run: the machine accepts them
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
	}
	r.StopListening()
	assert.Equal(t, waiting, accepted)
	assert.False(t, r.Listening())
	r.close()
}

func TestDialReportsError(t *testing.T) {
	r := startReactor(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	failed := make(chan error, 1)
	r.Post(func() { r.Dial(address, testTimeout, func(_ *Stream, err error) { failed <- err }) })
	assert.ErrorIs(t, <-failed, unix.ECONNREFUSED)
}

func TestPostAfterRunWritesToNoDescriptor(t *testing.T) {
	r, err := New(4096, nil)
	require.NoError(t, err)
	r.Post(r.Stop)
	r.Run()
	var fds [2]int
	require.NoError(t, unix.Pipe2(fds[:], unix.O_NONBLOCK)) // may get the number of the loop's wake-up
	r.Post(func() {})
	_, err = unix.Read(fds[0], make([]byte, 8))
	assert.ErrorIs(t, err, unix.EAGAIN)
	unix.Close(fds[0]) //nolint:errcheck
	unix.Close(fds[1]) //nolint:errcheck
}
