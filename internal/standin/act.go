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

// The deeds; each protocol's stand-in does them in its own bytes.
const (
	Serve             Action = iota
	Reject                   // says that it has not run
	Fail                     // runs, and ends in an error
	CloseUnanswered          // runs, and closes without an answer
	CloseMidAnswer           // runs, and closes within the answer
	SilenceConnection        // runs, and says nothing at all any more on this connection
	SilenceEngine            // as Hush, but on all its connections, for muteTime
	HalfAnswer               // runs, sends half an answer, and says nothing more
	SendGarbage              // runs, and sends what is no message
	InvalidLength            // runs, and sends a length that can't be
	EndlessAnswer            // runs, and sends an answer without end, until the connection closes
)

var actionNames = []string{"serve", "turn away", "fail", "drop", "cut", "hush", "mute", "half", "garble", "overlong", "flood"}

func (d Action) String() string { return actionNames[d] }

// Step is a deed with what it takes.
type Step struct {
	Action
	After time.Duration // of work
	Rows  int           // of the result; 0: one
}

// Run is one batch as an engine met it.
type Run struct {
	Engine, ID, Group, Mark, Key, Text string
	Began, Ended                       time.Time     // Ended is zero while it runs: what is written of it comes after that
	Answered                           time.Time     // zero while its answer is being written
	Settled                            time.Time     // its whole answer was written, or it was known to be given up; zero: it is out
	ReadDelay                          time.Duration // by which its connection is read late
	Step                               Step
	Duplicate                          bool // the engine remembered its mark, and ran nothing
	Canceled                           bool // before it had ended

	Budget time.Duration // for which the router will wait, as it told; 0: it told none

	stop chan struct{} // closed when it is given up
}

// cancel stops what still runs: it has ended when this returns.
func (fleet *Fleet) cancel(r *Run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended, r.Canceled = time.Now(), true
		close(r.stop)
	}
	fleet.settleLocked(r)
}

// settle notes that nothing of a batch is out any more.
func (fleet *Fleet) settle(r *Run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.settleLocked(r)
}

func (fleet *Fleet) settleLocked(r *Run) {
	if r.Settled.IsZero() {
		r.Settled = time.Now()
	}
}

// simulateWork takes its time; false: it was given up meanwhile.
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

// Fleet is what a fleet of scripted engines has run, and what it does next. It remembers marks, as engines that are
// given marks do, for Memory.
type Fleet struct {
	MarkMemory time.Duration
	// Script gives the act for a batch; the count tells how often its text has come.
	Script func(r Run, count int) Step
	// TellsMemory: engines tell the memory that runs hold, as answers tell it of each; else a fixed tenth.
	ReportsMemory bool
	// GivesUp: what runs for a connection ends with it, as the protocol's page says of real engines.
	CancelsOnClose bool
	// Late tells by how much an engine reads a new connection late; nil: none does.
	ReadDelay func() time.Duration

	mutex      sync.Mutex
	runs       []*Run
	textCounts map[string]int
	probes     []Probe
}

// Probe is one question for an engine's load.
type Probe struct {
	Engine string
	At     time.Time
}

// recordProbe notes a probe and tells how many batches run there, turned away ones aside.
func (fleet *Fleet) recordProbe(engine string) (running int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.probes = append(fleet.probes, Probe{engine, time.Now()})
	for i := len(fleet.runs) - 1; i >= max(len(fleet.runs)-maxRecentRuns, 0); i-- {
		if r := fleet.runs[i]; r.Engine == engine && r.Ended.IsZero() {
			running++
		}
	}
	return running
}

const maxRecentRuns = 2000 // runs; none goes on for longer

// Probes gives all so far, in order.
func (fleet *Fleet) Probes() []Probe {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.probes)
}

var commentField = regexp.MustCompile(`\b(id|key|group|mark)=([^ ,*]+)`)

// recordStart notes a batch; the deed says what to do with it.
func (fleet *Fleet) recordStart(r Run) *Run {
	head, _, _ := strings.Cut(r.Text, "*/")
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
	// The router's own comment stands before the client's: what the batch is called is the rest.
	for strings.HasPrefix(r.Text, "/* pitchfield id=") {
		_, r.Text, _ = strings.Cut(r.Text, "*/ ")
	}
	if m := keyPattern.FindStringSubmatch(r.Text); m != nil && r.Key == "" {
		r.Key = m[1]
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.textCounts == nil {
		fleet.textCounts = map[string]int{}
	}
	count := fleet.textCounts[r.Text]
	fleet.textCounts[r.Text]++
	r.Began = time.Now()
	if fleet.Script != nil {
		r.Step = fleet.Script(r, count)
	}
	if r.Mark != "" {
		for _, old := range fleet.runs {
			if old.Mark == r.Mark && old.Step.Action != Reject && !old.Duplicate && time.Since(old.Began) < fleet.MarkMemory {
				r.Duplicate = true
			}
		}
	}
	r.stop = make(chan struct{})
	run := &r
	fleet.runs = append(fleet.runs, run)
	return run
}

var keyPattern = regexp.MustCompile(`(?:/\* pitchfield [^*]*|--)key=([^ ,*\n]+)`)

// recordEnd notes that a batch runs no more, before anything of that can be known elsewhere.
func (fleet *Fleet) recordEnd(r *Run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended = time.Now()
	}
}

func (fleet *Fleet) recordAnswered(r *Run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	r.Answered = time.Now()
}

// Runs gives all so far, in order.
func (fleet *Fleet) Runs() (out []Run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, r := range fleet.runs {
		out = append(out, *r)
	}
	return out
}

// Server is a scripted engine of either protocol.
type Server struct {
	net.Listener
	Name, Protocol string

	silentUntil  atomic.Int64 // until then, in Unix milliseconds, nothing is said
	fleet        *Fleet
	serve        func(*Server, net.Conn)
	mutex        sync.Mutex
	conns        []net.Conn
	endCallbacks map[net.Conn]func() // notes that nothing is out on a connection any more
	done         sync.WaitGroup
}

// onConnectionEnd has the end of a connection noted by a function.
func (s *Server) onConnectionEnd(c net.Conn, ended func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endCallbacks[c] = ended
}

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

const engineSilence = 2 * time.Second

func (s *Server) silenceBriefly() { s.Silence(engineSilence) }

// Silence has it say nothing for a while, on all its connections.
func (s *Server) Silence(long time.Duration) { s.silentUntil.Store(time.Now().Add(long).UnixMilli()) }

func (s *Server) silent() bool { return time.Now().UnixMilli() < s.silentUntil.Load() }

// Stop closes all of it and waits.
func (s *Server) Stop() {
	s.Close()
	s.mutex.Lock()
	conns, ended := slices.Clone(s.conns), slices.Collect(maps.Values(s.endCallbacks))
	s.mutex.Unlock()
	for _, end := range ended { // before it can be known elsewhere
		end()
	}
	for _, c := range conns {
		c.Close()
	}
	s.done.Wait()
}

// Connections tells how many are open.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// Host is its line in the name service's list.
func (s *Server) Host() Host {
	return Host{ID: s.Name, Zone: "hall", Kind: "std", Address: s.Addr().String()}
}

// resultRow gives a row of a result.
func resultRow(r *Run, i int) string { return fmt.Sprintf("%s\t%s\trow %d", r.Engine, r.Group, i) }
