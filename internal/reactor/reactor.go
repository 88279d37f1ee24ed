// Package reactor runs non-blocking TCP and UDP sockets on a single-threaded event loop over epoll. The loop runs all handlers
// and tasks one after another, so they need no locks.
//
// A failing system call closes a connection only if the error says that the connection has ended. After any other error of
// any call, the call is retried later. Only Stop ends the loop.
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
	maxEventsPerWait = 256                  // events that one epoll_wait returns
	startTimeout     = 3 * time.Second      // how long transient errors are retried while the loop or a listener is set up
	retryInterval    = 2 * time.Millisecond // delay before a failed call is retried
	readEvents       = unix.EPOLLIN | unix.EPOLLRDHUP
	allEvents        = readEvents | unix.EPOLLOUT
	closeEvents      = unix.EPOLLERR | unix.EPOLLHUP // epoll reports these whether requested or not
)

// pollable is a file descriptor that the loop watches.
type pollable interface {
	// handleEvents is called with the epoll events that are ready.
	handleEvents(events uint32)
	// tryIO attempts every operation that may be possible now. The loop calls it while it could not register the descriptor's
	// interest with epoll.
	tryIO()
	// epollRegistration returns the descriptor's registration.
	epollRegistration() *registration
}

// registration holds the epoll events that a descriptor is interested in and the events that are registered with epoll. The
// two differ after a failed epoll_ctl.
type registration struct {
	fd         int
	interest   uint32 // events that epoll should report
	registered uint32 // events that epoll does report; valid only if added
	added      bool   // the descriptor is registered with epoll
	closed     bool
}

func (reg *registration) epollRegistration() *registration { return reg }

// Reactor is an event loop over epoll. Only Post may be called from any goroutine; everything else belongs to the loop, or to
// the caller before Run starts.
type Reactor struct {
	epoll, wakeup int
	byFD          map[int]pollable
	listeners     []*listener
	pendingRetry  map[pollable]struct{} // descriptors whose interest could not be registered with epoll
	readBuffer    []byte                // shared by all sockets for reading
	onFailure     func(Failure)         // may be nil
	failures      int                   // reported failures since the start
	progress      bool                  // some call succeeded in this iteration
	callFailed    bool                  // some call failed in this iteration and will be retried
	stopped       bool

	deferred  []func() // tasks from Defer
	afterPoll []func() // tasks from DeferPastPoll
	onPolled  func()   // see OnPolled; may be nil

	mutex      sync.Mutex // guards the fields below
	posted     []func()   // tasks from Post
	wakeupSent bool       // the wakeup descriptor was written since the tasks last ran
	closed     bool       // the descriptors are closed and their numbers may have been reused
}

// New creates a loop whose sockets read up to readSize bytes per call. The loop calls onFailure, unless it is nil, for
// each failed system call that does not end a connection, except for expected errors such as EAGAIN. Transient errors of the
// setup are retried for startTimeout.
func New(readSize int, onFailure func(Failure)) (*Reactor, error) {
	r := &Reactor{byFD: map[int]pollable{}, pendingRetry: map[pollable]struct{}{}, readBuffer: make([]byte, readSize), onFailure: onFailure}
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

// Post queues a task to run on the loop. It is safe for concurrent use. After the loop has ended, the task is dropped.
func (r *Reactor) Post(task func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.posted = append(r.posted, task)
	if !r.wakeupSent {
		r.wakeupSent = true
		r.wake()
	}
}

// wake makes epoll_wait return. A lost wakeup would block all tasks for good, so the write is retried until it succeeds.
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

// wakeupPending reports whether the eventfd is readable, so that epoll_wait returns without another write.
func (r *Reactor) wakeupPending() bool {
	fds := []unix.PollFd{{Fd: int32(r.wakeup), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// Defer queues a task to run after the next poll of the sockets. Only the loop may call it.
func (r *Reactor) Defer(task func()) { r.deferred = append(r.deferred, task) }

// OnPolled sets a function that is called after each poll, once the events of all sockets were handled, and before tasks run.
func (r *Reactor) OnPolled(call func()) { r.onPolled = call }

// DeferPastPoll queues a task to run after the sockets were polled again, also if it is called by a task: tasks from Defer run
// before the poll then. Only the loop may call it.
func (r *Reactor) DeferPastPoll(task func()) { r.afterPoll = append(r.afterPoll, task) }

// Stop makes Run return after the current handlers and tasks. Only the loop may call it.
func (r *Reactor) Stop() { r.stopped = true }

// Failures returns how many failures were reported to New's onFailure since the start. Only the loop may call it.
func (r *Reactor) Failures() int { return r.failures }

// Run runs the loop until Stop is called, then closes all descriptors.
func (r *Reactor) Run() {
	defer r.close()
	events := make([]unix.EpollEvent, maxEventsPerWait)
	hadEvents := false // the previous iteration had events, so more may be ready: poll without blocking
	for !r.stopped {
		tasksPending := len(r.deferred)+len(r.afterPoll) > 0
		n, err := unix.EpollWait(r.epoll, events, r.timeout(hadEvents, tasksPending))
		if n <= 0 && err == nil && hadEvents && !tasksPending {
			hadEvents = false
			runtime.Gosched() // lets other goroutines run on this thread before epoll_wait blocks it
			continue
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			r.reportFailure("epoll_wait", err)
			time.Sleep(retryInterval)
		}
		r.progress, r.callFailed = false, false
		for i := range max(n, 0) {
			tasksPending = r.dispatch(&events[i]) || tasksPending
		}
		r.retryPending()
		if r.onPolled != nil {
			r.onPolled()
		}
		r.deferred, r.afterPoll = append(r.deferred, r.afterPoll...), nil
		if tasksPending {
			r.runTasks()
		}
		if r.callFailed && !r.progress && !tasksPending { // an immediate retry would fail again
			time.Sleep(retryInterval)
		}
		hadEvents = n > 0
	}
}

// timeout returns the timeout of epoll_wait in milliseconds; -1 blocks until there is an event.
func (r *Reactor) timeout(hadEvents, tasksPending bool) int {
	switch {
	case hadEvents || tasksPending:
		return 0
	case len(r.pendingRetry) > 0:
		return int(retryInterval / time.Millisecond)
	}
	return -1
}

// dispatch passes an event to its descriptor. It reports whether the event was a wakeup, so that posted tasks are due.
func (r *Reactor) dispatch(event *unix.EpollEvent) (posted bool) {
	fd := int(event.Fd)
	if fd == r.wakeup {
		var count [8]byte
		unix.Read(r.wakeup, count[:]) //nolint:errcheck // if the read fails, epoll reports the event again
		r.progress = true
		return true
	}
	if p := r.byFD[fd]; p != nil {
		p.handleEvents(event.Events)
	}
	return false
}

// runTasks runs the posted and deferred tasks, and the tasks that these add, until none is left or the loop is stopped.
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

// add registers a descriptor with the loop.
func (r *Reactor) add(p pollable) {
	r.byFD[p.epollRegistration().fd] = p
	r.applyInterest(p)
}

// applyInterest registers the descriptor's interest with epoll. If that fails it is retried, and until it succeeds the loop
// tries the descriptor's I/O without epoll.
func (r *Reactor) applyInterest(p pollable) {
	reg := p.epollRegistration()
	if reg.closed || reg.added && reg.interest == reg.registered {
		delete(r.pendingRetry, p)
		return
	}
	operation := unix.EPOLL_CTL_MOD
	if !reg.added {
		operation = unix.EPOLL_CTL_ADD
	}
	err := unix.EpollCtl(r.epoll, operation, reg.fd, &unix.EpollEvent{Fd: int32(reg.fd), Events: reg.interest})
	if err == nil {
		reg.added, reg.registered = true, reg.interest
		delete(r.pendingRetry, p)
		return
	}
	r.reportFailure("epoll_ctl", err)
	r.pendingRetry[p] = struct{}{}
}

// retryPending tries the I/O and the epoll registration of each descriptor in pendingRetry.
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

// closeDescriptor removes a descriptor from the loop and closes it. Linux closes the descriptor even if close returns an
// error, and epoll then drops its registration.
func (r *Reactor) closeDescriptor(p pollable) {
	reg := p.epollRegistration()
	if reg.closed {
		return
	}
	reg.closed = true
	delete(r.byFD, reg.fd)
	delete(r.pendingRetry, p)
	if err := unix.Close(reg.fd); err != nil {
		r.reportFailure("close", err)
	}
}

// close closes all descriptors of the loop.
// close closes all descriptors of the loop.
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
