// Package reactor runs non-blocking sockets on one event loop over epoll. Whatever runs on the loop is called by it alone, so
// handlers need no locks. Its rule is that a system call which fails ends a connection only if the error says that the
// connection is over; any other failure, of any call, is waited out and the call is done again. Nothing but Stop ends the
// loop.
package reactor

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pitchfield/internal/transient"
)

const (
	maxEventsPerWait = 256
	startTimeout     = 3 * time.Second      // for a call at a start that fails for a moment
	retryInterval    = 2 * time.Millisecond // how soon a call that could not be done is done again
	readEvents       = unix.EPOLLIN | unix.EPOLLRDHUP
	allEvents        = readEvents | unix.EPOLLOUT
	closeEvents      = unix.EPOLLERR | unix.EPOLLHUP
)

// pollable is a descriptor on the loop.
type pollable interface {
	// ready is called with the epoll events that hold.
	handleEvents(events uint32)
	// again is called where epoll could not be told what is wanted: it tries all that may be possible.
	tryIO()
	epollRegistration() *registration
}

// registration is what epoll should know of a descriptor, and what it does know.
type registration struct {
	fd         int
	interest   uint32
	registered uint32 // 0 with added false: nothing
	added      bool
	closed     bool
}

func (g *registration) epollRegistration() *registration { return g }

// Reactor is the event loop.
type Reactor struct {
	epoll, wakeup int
	byFD          map[int]pollable
	listeners     []*listener
	pendingRetry  map[pollable]struct{} // epoll could not be told what is wanted of them, or a call has to be done again
	readBuffer    []byte                // to read into
	onFailure     func(Failure)
	failures      int
	progress      bool // something was done in this round,
	callFailed    bool // or a call failed that is done again
	stopped       bool

	deferred []func() // by the loop itself

	mutex      sync.Mutex // of what follows
	posted     []func()
	wakeupSent bool // the wakeup descriptor has been written since tasks ran last
	closed     bool // the descriptors are closed, their numbers may be somebody else's
}

// New makes a loop. Failures of system calls that are not ordinary are told to observe, on the loop; nil: to nobody.
func New(readSize int, observe func(Failure)) (*Reactor, error) {
	r := &Reactor{byFD: map[int]pollable{}, pendingRetry: map[pollable]struct{}{}, readBuffer: make([]byte, readSize), onFailure: observe}
	err := transient.Retry(startTimeout, func() (err error) {
		r.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	err = transient.Retry(startTimeout, func() (err error) {
		r.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
		return err
	})
	if err != nil {
		unix.Close(r.epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	err = transient.Retry(startTimeout, func() error {
		return unix.EpollCtl(r.epoll, unix.EPOLL_CTL_ADD, r.wakeup, &unix.EpollEvent{Fd: int32(r.wakeup), Events: unix.EPOLLIN})
	})
	if err != nil {
		unix.Close(r.epoll)
		unix.Close(r.wakeup)
		return nil, fmt.Errorf("epoll_ctl: %w", err)
	}
	return r, nil
}

// Post runs something on the loop. It may be called from anywhere. Once the loop has ended it does nothing.
func (r *Reactor) Post(what func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.posted = append(r.posted, what)
	if !r.wakeupSent {
		r.wakeupSent = true
		r.wake()
	}
}

// wake has the loop return from epoll. A wake-up that is lost would hold up all tasks for good, so it is done until it is done.
func (r *Reactor) wake() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	for {
		_, err := unix.Write(r.wakeup, one[:])
		if err == nil || errors.Is(err, unix.EAGAIN) && r.wakeupPending() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// wakeupPending tells whether the counter is full, so that epoll returns anyway.
func (r *Reactor) wakeupPending() bool {
	fds := []unix.PollFd{{Fd: int32(r.wakeup), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// Defer runs something on the loop once the sockets have been looked at again. Only the loop may call it.
func (r *Reactor) Defer(what func()) { r.deferred = append(r.deferred, what) }

// Stop ends Run once what is under way has returned. Only the loop may call it.
func (r *Reactor) Stop() { r.stopped = true }

// Failures tells how many system calls have failed since the start. Only the loop may call it.
func (r *Reactor) Failures() int { return r.failures }

// Run runs the loop until Stop; then it closes all descriptors.
func (r *Reactor) Run() {
	defer r.close()
	events := make([]unix.EpollEvent, maxEventsPerWait)
	busy := false // events came in the round before, so more may be there
	for !r.stopped {
		due := len(r.deferred) > 0
		n, err := unix.EpollWait(r.epoll, events, r.timeout(busy, due))
		if n <= 0 && err == nil && busy && !due {
			busy = false
			runtime.Gosched() // whoever waits for this thread runs before it blocks
			continue
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			r.reportFailure("epoll_wait", err)
			time.Sleep(retryInterval)
		}
		r.progress, r.callFailed = false, false
		for i := range max(n, 0) {
			due = r.dispatch(&events[i]) || due
		}
		r.retryPending()
		if due {
			r.runTasks()
		}
		if r.callFailed && !r.progress && !due { // the same would fail again at once
			time.Sleep(retryInterval)
		}
		busy = n > 0
	}
}

// timeout is in milliseconds, as epoll wants it; -1: none.
func (r *Reactor) timeout(busy, due bool) int {
	switch {
	case busy || due:
		return 0
	case len(r.pendingRetry) > 0:
		return int(retryInterval / time.Millisecond)
	}
	return -1
}

// dispatch hands an event to its descriptor. It tells whether tasks were posted.
func (r *Reactor) dispatch(e *unix.EpollEvent) (posted bool) {
	fd := int(e.Fd)
	if fd == r.wakeup {
		var count [8]byte
		unix.Read(r.wakeup, count[:]) //nolint:errcheck // it comes again if it was not read
		r.progress = true
		return true
	}
	if p := r.byFD[fd]; p != nil {
		p.handleEvents(e.Events)
	}
	return false
}

// runTasks runs what was posted, and what that posts.
func (r *Reactor) runTasks() {
	for !r.stopped {
		r.mutex.Lock()
		tasks := r.posted
		r.posted, r.wakeupSent = nil, false
		r.mutex.Unlock()
		tasks = append(tasks, r.deferred...)
		r.deferred = nil
		if len(tasks) == 0 {
			return
		}
		for _, task := range tasks {
			task()
		}
	}
}

// add brings a descriptor to the loop.
func (r *Reactor) add(p pollable) {
	r.byFD[p.epollRegistration().fd] = p
	r.applyInterest(p)
}

// applyInterest tells epoll what is wanted. Where that fails it is done again, and meanwhile the descriptor is tried without epoll.
func (r *Reactor) applyInterest(p pollable) {
	g := p.epollRegistration()
	if g.closed || g.added && g.interest == g.registered {
		delete(r.pendingRetry, p)
		return
	}
	operation := unix.EPOLL_CTL_MOD
	if !g.added {
		operation = unix.EPOLL_CTL_ADD
	}
	err := unix.EpollCtl(r.epoll, operation, g.fd, &unix.EpollEvent{Fd: int32(g.fd), Events: g.interest})
	if err == nil {
		g.added, g.registered = true, g.interest
		delete(r.pendingRetry, p)
		return
	}
	r.reportFailure("epoll_ctl", err)
	r.pendingRetry[p] = struct{}{}
}

// retryPending does again what could not be done.
func (r *Reactor) retryPending() {
	if len(r.pendingRetry) == 0 {
		return
	}
	for p := range r.pendingRetry {
		delete(r.pendingRetry, p)
		if !p.epollRegistration().closed {
			p.tryIO()
		}
		if !p.epollRegistration().closed {
			r.applyInterest(p)
		}
	}
}

// closeDescriptor takes a descriptor off the loop and closes it. Linux closes a descriptor whatever close says, and epoll forgets it.
func (r *Reactor) closeDescriptor(p pollable) {
	g := p.epollRegistration()
	if g.closed {
		return
	}
	g.closed = true
	delete(r.byFD, g.fd)
	delete(r.pendingRetry, p)
	if err := unix.Close(g.fd); err != nil {
		r.reportFailure("close", err)
	}
}

func (r *Reactor) close() {
	for _, p := range r.byFD {
		r.closeDescriptor(p)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	unix.Close(r.epoll)
	unix.Close(r.wakeup)
}
