package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pitchfield/internal/standin"
	"pitchfield/internal/syscallfault"
)

// Rule 1 on real processes whose system calls fail for a moment, with the errors that their manual pages document: each
// request gets one whole answer, and the process goes on. This is incident 2.

// faultLibrary is built once, where a test wants it.
var faultLibrary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "syscallfault")
	if err != nil {
		return "", err
	}
	return syscallfault.Build(folder)
})

// withFaults has the program's system calls go through a table of rules from its next start on.
func (p *program) withFaults() *syscallfault.Table {
	p.t.Helper()
	library, err := faultLibrary()
	require.NoError(p.t, err)
	table, err := syscallfault.NewTable(filepath.Dir(p.path), 1)
	require.NoError(p.t, err)
	self, err := os.Executable()
	require.NoError(p.t, err)
	p.environment = table.Environment(library, self)
	return table
}

type peer int

const (
	anyPeer peer = iota
	clientPeer
	enginePeer
	nameServicePeer
)

// fault is a system call that fails a few times while requests come.
type fault struct {
	name string
	rule syscallfault.Rule
	peer peer
}

const failuresPerFault = 3

// faultsFor makes a fault for each of the errors.
func faultsFor(name string, at peer, rule syscallfault.Rule, errors ...syscall.Errno) (out []fault) {
	for _, e := range errors {
		r := rule
		r.Error, r.Times = e, failuresPerFault
		label := unix.ErrnoName(e)
		if e == syscallfault.ShortTransfer {
			label = "short"
		}
		out = append(out, fault{name + " " + label, r, at})
	}
	return out
}

func (p *program) port(e *standin.Engine, at peer) int {
	switch at {
	case clientPeer:
		address, err := net.ResolveTCPAddr("tcp", p.address)
		require.NoError(p.t, err)
		return address.Port
	case enginePeer:
		return e.Addr().(*net.TCPAddr).Port
	case nameServicePeer:
		return p.names.LocalAddr().(*net.UDPAddr).Port
	}
	return 0
}

var requestFaults = [][]fault{
	faultsFor("accept", anyPeer, syscallfault.Rule{Call: syscallfault.Accept4}, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.ECONNABORTED),
	faultsFor("read from client", clientPeer, syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
	faultsFor("read from engine", enginePeer, syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscallfault.ShortTransfer),
	faultsFor("read from name service", nameServicePeer, syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Datagram},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS),
	faultsFor("write to client", clientPeer, syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
	faultsFor("writev to client", clientPeer, syscallfault.Rule{Call: syscallfault.Writev, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
	faultsFor("writev to engine", enginePeer, syscallfault.Rule{Call: syscallfault.Writev, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
	faultsFor("write to engine", enginePeer, syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Stream},
		syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
	faultsFor("epoll add", anyPeer, syscallfault.Rule{Call: syscallfault.EpollCtl, Target: syscallfault.Stream, Operation: unix.EPOLL_CTL_ADD},
		syscall.ENOMEM, syscall.ENOSPC),
	faultsFor("wake", anyPeer, syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.NonSocket}, syscall.EINTR),
	faultsFor("poll", anyPeer, syscallfault.Rule{Call: syscallfault.EpollPwait}, syscall.EINTR),
	faultsFor("socket", anyPeer, syscallfault.Rule{Call: syscallfault.Socket}, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM),
	faultsFor("connect", anyPeer, syscallfault.Rule{Call: syscallfault.Connect}, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS),
	faultsFor("setsockopt", anyPeer, syscallfault.Rule{Call: syscallfault.Setsockopt}, syscall.ENOBUFS, syscall.ENOMEM),
	faultsFor("getsockopt", anyPeer, syscallfault.Rule{Call: syscallfault.Getsockopt}, syscall.ENOBUFS, syscall.ENOMEM),
	faultsFor("close", anyPeer, syscallfault.Rule{Call: syscallfault.Close}, syscall.EINTR, syscall.EIO),
	faultsFor("log", anyPeer, syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.StandardError},
		syscall.EPIPE, syscall.ENOSPC, syscall.EIO, syscall.EAGAIN, syscall.EINTR, syscallfault.ShortTransfer),
}

func TestRequestsSurviveFailedSystemCalls(t *testing.T) {
	for _, group := range requestFaults {
		for _, f := range group {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel() // each has a process of its own, which mostly waits
				testRequestsSurvive(t, f)
			})
		}
	}
	t.Run("log that nobody reads", testRequestsSurviveAnUnreadLog)
}

// Standard error is a pipe that is full: writing a line takes for ever.
func testRequestsSurviveAnUnreadLog(t *testing.T) {
	t.Parallel()
	p := newProgram(t, newEngine(t, nil))
	unread, write, err := os.Pipe()
	require.NoError(t, err)
	defer unread.Close()
	p.stderr, p.arguments = write, []string{"--log-level", "debug"}
	p.configure(p.names)
	p.start()
	write.Close()
	c, ids := p.client(), &requestIDs{}
	for range 100 { // some lines each, more than a pipe holds
		p.sendUntilServed(c, ids, 4)
	}
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait())
}

// testRequestsSurvive asks on a connection that stays and on new ones, several at a time so that further connections to the
// engine are made, until the fault has come as often as it should. A call that this program does not make fails nobody.
func testRequestsSurvive(t *testing.T, f fault) {
	e := newEngine(t, nil)
	p := newProgram(t, e)
	table := p.withFaults()
	p.arguments = []string{"--log-level", "debug"}
	p.configure(p.names)
	p.start()
	require.NotZero(t, table.Seen(), "the library is loaded")
	f.rule.Port = p.port(e, f.peer)
	table.Set(0, f.rule)
	kept, ids := p.client(), &requestIDs{}
	const rounds, together = 20, 4
	for round := uint32(0); round < rounds && table.Hits(0) < failuresPerFault; round++ {
		fresh := p.client()
		p.sendUntilServed(kept, ids, together)
		p.sendUntilServed(fresh, ids, together)
		fresh.Close()
	}
	table.Clear(0)
	t.Log(table.Hits(0), "calls failed")
	p.sendUntilServed(kept, ids, 1)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(), p.log.String())
}

// requestIDs counts requests up, for their streams and their ids.
type requestIDs struct{ last uint32 }

func (r *requestIDs) next() uint32 {
	r.last++
	return r.last
}

// sendUntilServed asks for several requests at once until each has its result, every second one of a class that may not be repeated. A
// refusal is an answer, after which a client asks again; an error is none that a client has to bear for a call that failed here.
func (p *program) sendUntilServed(c *standin.Client, ids *requestIDs, together int) {
	p.t.Helper()
	const served, refused, tries = 0, 11, 50
	for range tries {
		for range together {
			i := ids.next()
			class := "lookup"
			if i%2 == 0 {
				class = "once"
			}
			require.NoError(p.t, c.SendBatch(i, class, fmt.Sprintf("%016x", i), requestTimeout, "SELECT 1"))
		}
		answers := p.answers(c, together)
		for _, a := range answers {
			if a.Code != refused {
				require.Equal(p.t, uint8(served), a.Code, a.Body)
				require.Equal(p.t, "hello\tfrom\tpage 0\nhello\tfrom\tpage 1\n", a.Body)
				together--
			}
		}
		if together == 0 {
			return
		}
	}
	require.Fail(p.t, "never served")
}

// Connections can't be accepted as a stop comes: what their machine has accepted waits with its requests, and is answered before
// the process ends.
func TestAStopAnswersWhatWaitsToBeAccepted(t *testing.T) {
	testStopAnswersPending(t, syscallfault.Rule{Call: syscallfault.Accept4, Error: syscall.EMFILE, Times: syscallfault.Unbounded})
}

// Nor can a connection be read: its request waits.
func TestAStopAnswersWhatWaitsToBeRead(t *testing.T) {
	testStopAnswersPending(t, syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Stream, Error: syscall.ENOMEM, Times: syscallfault.Unbounded})
}

func testStopAnswersPending(t *testing.T, rule syscallfault.Rule) {
	p := newProgram(t, newEngine(t, nil))
	table := p.withFaults()
	p.configure(p.names)
	p.start()
	table.Set(0, rule)
	waits := p.client()
	require.NoError(t, waits.SendBatch(1, "lookup", "00000000000000f1", requestTimeout, "SELECT 1"))
	require.Eventually(t, func() bool { return table.Hits(0) > 0 }, waitTimeout, time.Millisecond)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return p.logged(`"stopped"`) }, waitTimeout, time.Millisecond)
	table.Clear(0)
	assert.Equal(t, uint8(11), p.answers(waits, 1)[1].Code, "refused: nothing is sent on any more")
	require.NoError(t, p.Wait(), p.log.String())
}

// A call that fails at a start fails it no more than a moment.
func TestAStartSurvivesFailedSystemCalls(t *testing.T) {
	for _, group := range [][]fault{
		faultsFor("socket", anyPeer, syscallfault.Rule{Call: syscallfault.Socket}, syscall.EMFILE, syscall.ENOBUFS),
		faultsFor("bind", anyPeer, syscallfault.Rule{Call: syscallfault.Bind}, syscall.EADDRINUSE, syscall.ENOMEM),
		faultsFor("listen", anyPeer, syscallfault.Rule{Call: syscallfault.Listen}, syscall.EADDRINUSE),
		// The first of each is the Go runtime's own, which gives up where it fails.
		faultsFor("epoll create", anyPeer, syscallfault.Rule{Call: syscallfault.EpollCreate, After: 1}, syscall.EMFILE, syscall.ENOMEM),
		faultsFor("eventfd", anyPeer, syscallfault.Rule{Call: syscallfault.Eventfd2, After: 1}, syscall.EMFILE, syscall.ENOMEM),
		faultsFor("epoll add of the name service", anyPeer, syscallfault.Rule{Call: syscallfault.EpollCtl, Target: syscallfault.Datagram,
			Operation: unix.EPOLL_CTL_ADD}, syscall.ENOMEM, syscall.ENOSPC),
		faultsFor("epoll add of the listener", anyPeer, syscallfault.Rule{Call: syscallfault.EpollCtl, Target: syscallfault.Listener,
			Operation: unix.EPOLL_CTL_ADD}, syscall.ENOMEM),
	} {
		for _, f := range group {
			t.Run(f.name, func(t *testing.T) {
				e := newEngine(t, nil)
				p := newProgram(t, e)
				table := p.withFaults()
				table.Set(0, f.rule)
				p.configure(p.names)
				p.start()
				t.Log(table.Hits(0), "calls failed")
				p.sendUntilServed(p.client(), &requestIDs{}, 1)
			})
		}
	}
}

// The file can't be opened as SIGHUP comes, or is half written: it is read again until it can be used.
func TestAReloadSurvivesAnUnreadableFile(t *testing.T) {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.EIO, syscall.EINTR, 0} {
		t.Run("open "+unix.ErrnoName(e), func(t *testing.T) {
			old, fresh := newEngine(t, nil), newEngine(t, nil)
			p := newProgram(t, old)
			table := p.withFaults()
			p.configure(p.names)
			p.start()
			other, err := standin.NewNameService("127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { other.Close() })
			other.Set(readyHost("s-new", fresh))
			if e == 0 {
				require.NoError(t, os.WriteFile(p.path, []byte(`{"listen":`), 0o600))
			} else {
				table.Set(0, syscallfault.Rule{Call: syscallfault.Openat, Error: e, Times: failuresPerFault})
				p.configure(other)
			}
			require.NoError(t, p.Process.Signal(syscall.SIGHUP))
			if e == 0 {
				require.Eventually(t, func() bool { return p.logged("the old one is kept") }, waitTimeout, time.Millisecond)
				p.configure(other)
			}
			c, ids := p.client(), &requestIDs{}
			assert.Eventually(t, func() bool {
				p.sendUntilServed(c, ids, 1)
				return len(fresh.Requests("fetch")) > 0
			}, waitTimeout, 20*time.Millisecond, "the name service that the file names is never asked")
		})
	}
}
