// Package syscallfault injects temporary system call failures into child processes of a test, with the errors that the manual
// pages document. A C library (shim/shim.c), loaded with LD_PRELOAD, intercepts the child's calls. The test enables and disables
// rules while the child runs and reads how many calls each rule has failed. It works only on Linux and needs a C compiler, but
// no privileges.
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

// Call is the number of a system call that can be made to fail.
type Call uint32

// The system calls that the library intercepts.
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
	Fcntl       Call = unix.SYS_FCNTL // only the duplication of a descriptor
	Close       Call = unix.SYS_CLOSE // the descriptor is closed even if the call fails
)

// Target is the kind of descriptor that a rule matches.
type Target uint32

// The kinds of descriptors.
const (
	Any Target = iota
	StandardError
	Listener
	Stream
	Datagram
	NonSocket // files, and descriptors of the event loop
)

// ShortTransfer is used in place of an error: the call reads or writes half of the bytes.
const ShortTransfer syscall.Errno = 1<<32 - 1

// Unbounded, as Rule.Times, makes calls fail until the rule is cleared.
const Unbounded = -1

// Rule describes which calls fail and how.
type Rule struct {
	Call      Call
	Target    Target
	Error     syscall.Errno
	PerMille  int    // how many of 1000 matching calls fail, chosen at random; 0: all
	Times     int    // how many calls fail before the rule turns itself off, or Unbounded
	Operation uint32 // operation of an EpollCtl call, such as unix.EPOLL_CTL_ADD; 0: any
	Port      int    // local or remote port of the socket; 0: any
	After     int    // how many matching calls pass before the rule takes effect
}

// MaxRules is the number of rules in a table. MOST_RULES in shim.c is the same number.
const MaxRules = 128

// slot has the memory layout of struct rule in shim.c, and table that of struct table.
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
	chance, seen, failed uint64 // state of the random generator; intercepted calls; failed calls
	slots                [MaxRules]slot
}

// Table holds the rules of one child process, in memory that it shares with the child.
type Table struct {
	path string
	*table
}

// FailedCalls returns how many calls the library has made fail since the table was created.
func (t *Table) FailedCalls() int { return int(atomic.LoadUint64(&t.failed)) }

// Build compiles the library into a folder and returns its path.
func Build(folder string) (string, error) {
	sourcePath, libraryPath := filepath.Join(folder, "syscallfault.c"), filepath.Join(folder, "syscallfault.so")
	if err := os.WriteFile(sourcePath, shimSource, 0o600); err != nil {
		return "", fmt.Errorf("system call faults: %w", err)
	}
	if out, err := exec.Command("cc", "-O1", "-Wall", "-shared", "-fPIC", "-pthread", "-o", libraryPath, sourcePath).CombinedOutput(); err != nil {
		return "", fmt.Errorf("system call faults: a C compiler is needed: %w\n%s", err, out)
	}
	return libraryPath, nil
}

// NewTable creates a table for a child in a file in the folder, with all rules off. The seed, which must not be 0, determines
// which calls of a rule with PerMille fail.
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

// Environment returns the environment variables that the child needs in addition to its own. The library is active only in the
// named program, so a shell may start the program with exec.
func (t *Table) Environment(library, program string) []string {
	return []string{"LD_PRELOAD=" + library, "SYSCALLFAULT_PROGRAM=" + program, "SYSCALLFAULT_TABLE=" + t.path}
}

// Set replaces the rule with this number, from 0 to MaxRules-1, turns it on and resets its hits to 0.
func (t *Table) Set(number int, r Rule) {
	s := &t.slots[number]
	atomic.StoreInt32(&s.remaining, 0) // off while the other fields are written
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

// Clear turns a rule off. Its hits are kept until it is set again.
func (t *Table) Clear(number int) { atomic.StoreInt32(&t.slots[number].remaining, 0) }

// Hits returns how many calls a rule has made fail since it was set.
func (t *Table) Hits(number int) int { return int(atomic.LoadUint32(&t.slots[number].hits)) }

// Seen returns how many calls the library has intercepted since the child started; 0 means that it is not loaded.
func (t *Table) Seen() uint64 { return atomic.LoadUint64(&t.seen) }
