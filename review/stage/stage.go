// Package stage is what the cases of this review share: it starts the router as the operators do, in a process of its own,
// keeps the record of a case, and ends what it started.
package stage

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pitchfield/internal/standin"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case couldn't run
)

// longest is for how long a case may run.
const longest = 110 * time.Second

// Stage is one run of a case.
type Stage struct {
	Trouble bool   // false: the same run without the disruption
	Dir     string // temporary folder of this run

	start  time.Time
	record *os.File
	mutex  sync.Mutex
	broken []string
	ends   []func()
}

// Run plays a case. The folder of the case is the first argument of the program. It exits with one of the codes.
func Run(play func(s *Stage) error) {
	os.Exit(run(play))
}

func run(play func(s *Stage) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return CouldNot
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer os.RemoveAll(dir)
	s := &Stage{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), record: record}
	s.Note("disruption: %t", s.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	played := make(chan error, 1)
	go func() { played <- play(s) }()
	select {
	case err = <-played:
	case <-stop:
		err = errors.New("it was told to end")
	case <-time.After(longest):
		err = errors.New("it ran for too long")
	}
	s.mutex.Lock()
	ends := slices.Clone(s.ends)
	s.mutex.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	s.mutex.Lock()
	broken := slices.Clone(s.broken)
	s.mutex.Unlock()
	code := Held
	switch {
	case len(broken) > 0:
		code = Broken
	case err != nil:
		code = CouldNot
		s.Note("could not run: %s", strings.ReplaceAll(err.Error(), dir, "DIR"))
	}
	s.Note("exit code %d (0 the rule held, 1 it was broken, 2 could not run)", code)
	for _, b := range broken {
		fmt.Println("BROKEN:", b)
	}
	fmt.Println("exit code", code)
	return code
}

// Note writes a line to the record, with the milliseconds since the start of the run.
func (s *Stage) Note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.record, "%8.1f ms  %s\n", float64(time.Since(s.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Break notes that the rule was broken.
func (s *Stage) Break(format string, args ...any) {
	s.Note("BROKEN: "+format, args...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// AtEnd has a function called when the case is over.
func (s *Stage) AtEnd(end func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ends = append(s.ends, end)
}

// FreeAddress returns a loopback address with a TCP port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Router is a router process.
type Router struct {
	Name    string
	Address string // for clients that speak frames
	Ended   chan struct{}
	Status  string
	command *exec.Cmd
	logPath string
}

// Options are what a router is told.
type Options struct {
	Settings    string // the platform's settings, JSON
	Extra       string // settings beside the platform's, TOML; empty: none
	MemoryMB    int
	Descriptors int
	Names       *standin.NameService
	Name        string // of the router; empty: n1
	Address     string // for clients; empty: one that is free
}

// StartRouter starts a router with the command `run` of the deploy file and waits until it says that it is ready.
func (s *Stage) StartRouter(o Options) (*Router, error) {
	name, address := cmp.Or(o.Name, "n1"), o.Address
	if address == "" {
		var err error
		if address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": address, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Descriptors},
		"resolver": o.Names.LocalAddr().String(), "known": o.Names.StartupEvents(), "settings": json.RawMessage(o.Settings)})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(s.Dir, name+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	if o.Extra != "" {
		extra := filepath.Join(s.Dir, name+".toml")
		if err := os.WriteFile(extra, []byte(o.Extra), 0o600); err != nil {
			return nil, err
		}
		run += " --settings " + extra
	}
	r := &Router{Name: name, Address: address, Ended: make(chan struct{}), logPath: filepath.Join(s.Dir, name+".log")}
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r.command = exec.Command("/bin/sh", "-c", run)
	r.command.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	s.Note("router %s started", name)
	go func() {
		err := r.command.Wait()
		r.Status = "exit status 0"
		if err != nil {
			r.Status = err.Error()
		}
		close(r.Ended)
	}()
	s.AtEnd(func() {
		r.command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended
		<-r.Ended
		s.noteLog(r)
	})
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := standin.Dial(address)
		if err != nil {
			continue
		}
		c.Write(standin.EncodeFrame(20, 1, []string{}, "")) //nolint:errcheck
		a, err := c.ReadFrame(time.Second)
		c.Close()
		if err == nil && a.Type == 21 && a.Code == 0 {
			time.Sleep(300 * time.Millisecond) // it asks the name service meanwhile
			s.Note("router %s is ready", name)
			return r, nil
		}
	}
	return nil, errors.New("the router is not ready")
}

// HasEnded reports whether the router's process has ended.
func (r *Router) HasEnded() bool {
	select {
	case <-r.Ended:
		return true
	default:
		return false
	}
}

// EndsSoon reports whether the router's process has ended or does so within half a second.
func (r *Router) EndsSoon() bool {
	select {
	case <-r.Ended:
		return true
	case <-time.After(500 * time.Millisecond):
		return false
	}
}

// noteLog copies the router's warnings, errors and panics to the record.
func (s *Stage) noteLog(r *Router) {
	text, err := os.ReadFile(r.logPath)
	if err != nil {
		return
	}
	s.Note("of the log of router %s:", r.Name)
	n := 0
	for _, line := range strings.Split(string(text), "\n") {
		low := strings.ToLower(line)
		if n < 60 && (strings.Contains(low, "warn") || strings.Contains(low, "error") || strings.Contains(low, "panic") ||
			strings.Contains(low, "sigsegv") || strings.HasPrefix(line, "pitchfield/internal")) {
			n++
			s.Note("    %s", line)
		}
	}
}

// deployCommand returns a command of the deploy file. Cases run in the root of the repository.
func deployCommand(name string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name+" = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(value), "\""), nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %q", name)
}

// Stop ends the router by SIGTERM and waits until it has ended.
func (r *Router) Stop() {
	r.command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	<-r.Ended
}
