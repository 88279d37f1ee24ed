// Package syscallfault makes system calls of a test's own child processes fail for a moment, with the errors that their
// manual pages document. A C library of this package, loaded by LD_PRELOAD, filters the calls of the child; the test turns
// rules on and off while it runs, and reads how often each has hit. Linux only; it needs a C compiler and no rights.
package syscallfault

import (
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

//go:embed shim/shim.c
var shimSource []byte

// Call is a system call that can fail, by its number.
type Call uint32

// The system calls that the library sees.
const (
	Read        Call = unix.SYS_READ
	Write       Call = unix.SYS_WRITE
	Writev      Call = unix.SYS_WRITEV
	Accept4     Call = unix.SYS_ACCEPT4
	EpollCtl    Call = unix.SYS_EPOLL_CTL
	EpollPwait  Call = unix.SYS_EPOLL_PWAIT
	Sendto      Call = unix.SYS_SENDTO
	Recvfrom    Call = unix.SYS_RECVFROM
	Connect     Call = unix.SYS_CONNECT
	Socket      Call = unix.SYS_SOCKET
	Setsockopt  Call = unix.SYS_SETSOCKOPT
	Getsockopt  Call = unix.SYS_GETSOCKOPT
	Openat      Call = unix.SYS_OPENAT
	Shutdown    Call = unix.SYS_SHUTDOWN
	Bind        Call = unix.SYS_BIND
	Listen      Call = unix.SYS_LISTEN
	Eventfd2    Call = unix.SYS_EVENTFD2
	EpollCreate Call = unix.SYS_EPOLL_CREATE1
	Getsockname Call = unix.SYS_GETSOCKNAME
	Fcntl       Call = unix.SYS_FCNTL // duplication of a descriptor alone
	Close       Call = unix.SYS_CLOSE // the descriptor is closed all the same
)

// Target is what the descriptor of a call has to be for a rule to match.
type Target uint32

// The targets.
const (
	Any Target = iota
	StandardError
	Listener
	Stream
	Datagram
	NonSocket // files, and descriptors of the event loop
)

// ShortTransfer stands in place of an error: half of the bytes are read or written.
const ShortTransfer syscall.Errno = 1<<32 - 1

// Unbounded is for Rule.Times.
const Unbounded = -1

// Rule has calls fail.
type Rule struct {
	Call      Call
	Target    Target
	Error     syscall.Errno
	PerMille  int    // of the calls that match; 0: all of them
	Times     int    // how many calls fail; Unbounded: until the rule is cleared
	Operation uint32 // of EpollCtl: unix.EPOLL_CTL_ADD and so on; 0: any
	Port      int    // of the socket, at either end; 0: any
	After     int    // so many calls that match do not fail, before the others do
}

// MaxRules is how many rules can be on at a time.
const MaxRules = 128

// slot and table are laid out as in shim.c.
type slot struct {
	call, target uint32
	fault        int32
	perMille     uint32
	remaining    int32
	hits         uint32
	operation    uint32
	port         uint32
	pass, unused uint32
}

type table struct {
	chance, seen, failed uint64
	slots                [MaxRules]slot
}

// Table is the rules of one child process.
type Table struct {
	path string
	*table
}

// FailedCalls tells how many calls the library has failed since the table was made.
func (t *Table) FailedCalls() int { return int(atomic.LoadUint64(&t.failed)) }

// Build compiles the library into a folder and gives its path.
func Build(folder string) (string, error) {
	from, to := filepath.Join(folder, "syscallfault.c"), filepath.Join(folder, "syscallfault.so")
	if err := os.WriteFile(from, shimSource, 0o600); err != nil {
		return "", fmt.Errorf("system call faults: %w", err)
	}
	if out, err := exec.Command("cc", "-O1", "-Wall", "-shared", "-fPIC", "-pthread", "-o", to, from).CombinedOutput(); err != nil {
		return "", fmt.Errorf("system call faults: a C compiler is needed: %w\n%s", err, out)
	}
	return to, nil
}

// NewTable makes the rules of a child, none of them on, in a file of the folder. The seed, which must not be 0, draws which
// calls of a rule with PerMille fail.
func NewTable(folder string, seed uint64) (*Table, error) {
	f, err := os.CreateTemp(folder, "faults-*")
	if err != nil {
		return nil, fmt.Errorf("system call faults: %w", err)
	}
	defer f.Close()
	size := int(unsafe.Sizeof(table{}))
	if err := f.Truncate(int64(size)); err != nil {
		return nil, fmt.Errorf("system call faults: %w", err)
	}
	memory, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("system call faults: map the table: %w", err)
	}
	t := &Table{path: f.Name(), table: (*table)(unsafe.Pointer(&memory[0]))}
	atomic.StoreUint64(&t.chance, seed)
	return t, nil
}

// Environment is what the child has to be started with, beside its own variables. The library acts in the named program
// alone, so a shell may start it by exec.
func (t *Table) Environment(library, program string) []string {
	return []string{"LD_PRELOAD=" + library, "SYSCALLFAULT_PROGRAM=" + program, "SYSCALLFAULT_TABLE=" + t.path}
}

// Set puts a rule in place of the one with this number, from 0 to Rules-1, and has its hits count from 0.
func (t *Table) Set(number int, r Rule) {
	s := &t.slots[number]
	atomic.StoreInt32(&s.remaining, 0) // off, while it is written
	atomic.StoreUint32(&s.call, uint32(r.Call))
	atomic.StoreUint32(&s.target, uint32(r.Target))
	atomic.StoreInt32(&s.fault, int32(uint32(r.Error)))
	perMille := uint32(r.PerMille)
	if perMille == 0 {
		perMille = 1000
	}
	atomic.StoreUint32(&s.perMille, perMille)
	atomic.StoreUint32(&s.operation, r.Operation)
	atomic.StoreUint32(&s.port, uint32(r.Port))
	atomic.StoreUint32(&s.pass, uint32(r.After))
	atomic.StoreUint32(&s.hits, 0)
	atomic.StoreInt32(&s.remaining, int32(r.Times))
}

// Clear turns a rule off. Its hits stay until it is set again.
func (t *Table) Clear(number int) { atomic.StoreInt32(&t.slots[number].remaining, 0) }

// Hits tells how many calls a rule has failed since it was set.
func (t *Table) Hits(number int) int { return int(atomic.LoadUint32(&t.slots[number].hits)) }

// Seen tells how many calls the library has looked at since the child began; 0: it is not loaded.
func (t *Table) Seen() uint64 { return atomic.LoadUint64(&t.seen) }
