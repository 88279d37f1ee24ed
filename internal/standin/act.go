package standin

import (
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Action is what a scripted engine does with a batch.
type Action uint8

// The actions; each protocol's server carries them out in its own encoding.
const (
	Serve Action = iota
	// Reject answers that the batch did not run.
	Reject
	// Fail runs the batch and answers with an error.
	Fail
	// CloseUnanswered runs the batch and closes the connection without an answer.
	CloseUnanswered
	// CloseMidAnswer runs the batch and closes the connection in the middle of the answer.
	CloseMidAnswer
	// SilenceConnection runs the batch and sends nothing more on its connection.
	SilenceConnection
	// SilenceEngine runs the batch and sends nothing on any of the engine's connections for engineSilence.
	SilenceEngine
	// HalfAnswer runs the batch, sends half of the answer and nothing more.
	HalfAnswer
	// SendGarbage runs the batch and sends bytes that are not a message of the protocol.
	SendGarbage
	// InvalidLength runs the batch and sends a message with an impossible length.
	InvalidLength
	// EndlessAnswer runs the batch and sends an answer without end, until the connection closes.
	EndlessAnswer
)

var actionNames = []string{"serve", "turn away", "fail", "drop", "cut", "hush", "mute", "half", "garble", "overlong", "flood"}

func (a Action) String() string { return actionNames[a] }

// Step is an action with its parameters.
type Step struct {
	Action
	After time.Duration // how long the batch runs
	Rows  int           // rows of the result; 0 means 1
}

// Run is the execution of one batch by an engine, as the engine saw it.
type Run struct {
	Engine, ID, Group, Mark, Key, Text string    // Mark lets an engine recognize a batch that it has run before
	Began, Ended                       time.Time // Ended is zero while the batch runs; bytes of its answer may be written after Ended
	Answered                           time.Time // zero until the action on the batch is complete, its writes included
	// Settled is when the batch was no longer outstanding: its whole answer was about to be written, the router canceled
	// it, or its connection ended. Zero before that. A TDS engine sets it only when the batch is canceled.
	Settled   time.Time
	ReadDelay time.Duration // how late the engine reads the batch's connection
	Step      Step
	Duplicate bool // the engine remembered the mark and did not run the batch again
	Canceled  bool // before it had ended

	Budget time.Duration // how long the router said that it waits; 0: it did not say

	stop chan struct{} // closed when the run is canceled
}

// cancel stops a run that has not ended. The run counts as ended when cancel returns.
func (f *Fleet) cancel(r *Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended, r.Canceled = time.Now(), true
		close(r.stop)
	}
	f.settleLocked(r)
}

// settle records that the batch is no longer outstanding.
func (f *Fleet) settle(r *Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settleLocked(r)
}

// settleLocked is settle for callers that hold the mutex. Only the first call for a run sets the time.
func (f *Fleet) settleLocked(r *Run) {
	if r.Settled.IsZero() {
		r.Settled = time.Now()
	}
}

// simulateWork waits for the duration of the step. It returns false if the run was canceled meanwhile. A duplicate
// returns at once.
func (r *Run) simulateWork() bool {
	if r.Duplicate {
		return true
	}
	select {
	case <-r.stop:
		return false
	case <-time.After(r.Step.After):
		return true
	}
}

// Fleet records what a fleet of scripted engines ran and decides what the engines do with each batch. Its methods are
// safe for concurrent use; its exported fields are not guarded by the mutex.
type Fleet struct {
	// MarkMemory is how long engines remember the mark of a batch, so that they do not run the batch twice.
	MarkMemory time.Duration
	// Script returns the step for a batch; count is how many batches with the same text came before. Nil means Serve.
	Script func(r Run, count int) Step
	// ReportsMemory makes engines report the memory that their runs use, as answers report it for each batch. Otherwise
	// they report a constant tenth.
	ReportsMemory bool
	// CancelsOnClose makes engines cancel the runs of a connection when it ends, as the protocol's page says of real
	// engines.
	CancelsOnClose bool
	// ReadDelay returns how late an engine reads a new connection; nil means without delay.
	ReadDelay func() time.Duration

	mutex      sync.Mutex
	runs       []*Run
	textCounts map[string]int
	probes     []Probe
}

// Probe is one query for the load of an engine.
type Probe struct {
	Engine string
	At     time.Time
}

// recordProbe records a probe and returns how many batches run on the engine, rejected ones excluded.
func (f *Fleet) recordProbe(engine string) (running int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probes = append(f.probes, Probe{engine, time.Now()})
	for i := len(f.runs) - 1; i >= max(len(f.runs)-maxRecentRuns, 0); i-- {
		if r := f.runs[i]; r.Engine == engine && r.Ended.IsZero() {
			running++
		}
	}
	return running
}

const maxRecentRuns = 2000 // newest runs that recordProbe looks at; no run is still active after 2000 later ones

// Probes returns all probes so far, in order.
func (f *Fleet) Probes() []Probe {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.probes)
}

var commentField = regexp.MustCompile(`\b(id|key|group|mark)=([^ ,*]+)`)

// recordStart records the start of a run and fills in its step and the fields that comments in its text hold.
func (f *Fleet) recordStart(r Run) *Run {
	head, _, _ := strings.Cut(r.Text, "*/")
	if !strings.Contains(head, "=") { // large texts are looked through for long
		head = ""
	}
	for _, m := range commentField.FindAllStringSubmatch(head, -1) {
		switch {
		case m[1] == "id" && r.ID == "":
			r.ID = m[2]
		case m[1] == "key":
			r.Key = m[2]
		case m[1] == "mark" && r.Mark == "":
			r.Mark = m[2]
		case m[1] == "group" && r.Group == "":
			r.Group = m[2]
		}
	}
	// The router puts its own comment in front of the client's text; Text is what follows it.
	for strings.HasPrefix(r.Text, "/* pitchfield id=") {
		_, r.Text, _ = strings.Cut(r.Text, "*/ ")
	}
	if r.Key == "" && strings.Contains(r.Text, "key=") {
		if m := keyPattern.FindStringSubmatch(r.Text); m != nil {
			r.Key = m[1]
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.textCounts == nil {
		f.textCounts = map[string]int{}
	}
	count := f.textCounts[r.Text]
	f.textCounts[r.Text]++
	r.Began = time.Now()
	if f.Script != nil {
		r.Step = f.Script(r, count)
	}
	if r.Mark != "" {
		for _, old := range f.runs {
			if old.Mark == r.Mark && old.Step.Action != Reject && !old.Duplicate && time.Since(old.Began) < f.MarkMemory {
				r.Duplicate = true
			}
		}
	}
	r.stop = make(chan struct{})
	run := &r
	f.runs = append(f.runs, run)
	return run
}

var keyPattern = regexp.MustCompile(`(?:/\* pitchfield [^*]*|--)key=([^ ,*\n]+)`)

// recordEnd records that a batch has ended. It is called before any byte that shows the end is sent.
func (f *Fleet) recordEnd(r *Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended = time.Now()
	}
}

// recordAnswered records that the action on a batch is complete.
func (f *Fleet) recordAnswered(r *Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r.Answered = time.Now()
}

// Runs returns copies of all runs so far, in order of their start.
func (f *Fleet) Runs() (out []Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, r := range f.runs {
		out = append(out, *r)
	}
	return out
}

// Server is a scripted engine of either protocol.
type Server struct {
	net.Listener
	Name, Protocol string

	silentUntil  atomic.Int64 // the engine sends nothing before this time (Unix milliseconds)
	fleet        *Fleet
	serve        func(*Server, net.Conn)
	mutex        sync.Mutex
	conns        []net.Conn
	endCallbacks map[net.Conn]func() // settles the runs of a connection
	done         sync.WaitGroup
}

// onConnectionEnd registers a function that Stop calls before it closes the connection.
func (s *Server) onConnectionEnd(c net.Conn, callback func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endCallbacks[c] = callback
}

// newServer listens on an address and calls serve for each connection, in a goroutine of its own.
func newServer(name, protocol, address string, fleet *Fleet, serve func(*Server, net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	s := &Server{Listener: listener, Name: name, Protocol: protocol, fleet: fleet, serve: serve, endCallbacks: map[net.Conn]func(){}}
	s.done.Add(1)
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns = append(s.conns, c)
		s.mutex.Unlock()
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer c.Close()
			s.serve(s, c)
			s.mutex.Lock()
			s.conns = slices.DeleteFunc(s.conns, func(o net.Conn) bool { return o == c })
			delete(s.endCallbacks, c)
			s.mutex.Unlock()
		}()
	}
}

// engineSilence is how long SilenceEngine lasts.
const engineSilence = 2 * time.Second

func (s *Server) silenceBriefly() { s.Silence(engineSilence) }

// Silence makes the engine send nothing on all its connections for a duration.
func (s *Server) Silence(duration time.Duration) {
	s.silentUntil.Store(time.Now().Add(duration).UnixMilli())
}

func (s *Server) silent() bool { return time.Now().UnixMilli() < s.silentUntil.Load() }

// Stop closes the listener and all connections and waits until their goroutines have ended.
func (s *Server) Stop() {
	s.Close()
	s.mutex.Lock()
	conns, callbacks := slices.Clone(s.conns), slices.Collect(maps.Values(s.endCallbacks))
	s.mutex.Unlock()
	for _, settle := range callbacks { // before the clients can notice the close
		settle()
	}
	for _, c := range conns {
		c.Close()
	}
	s.done.Wait()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// Host returns the engine's entry for the name service's list.
func (s *Server) Host() Host {
	return Host{ID: s.Name, Zone: "hall", Kind: "std", Address: s.Addr().String()}
}

// resultRow returns row i of the result of a run, with tabs between its values.
func resultRow(r *Run, i int) string { return fmt.Sprintf("%s\t%s\trow %d", r.Engine, r.Group, i) }
