package torture

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pitchfield/internal/relay"
	"pitchfield/internal/rig"
	"pitchfield/internal/standin"
	"pitchfield/internal/syscallfault"
)

const (
	staleListProbability = 0.1     // of a name service's answers that hold an earlier list, possibly from before the router's start
	staleListStream      = 1 << 20 // offset of the random streams for stale lists, one for each router
)

// router is one router of a scenario: the processes that run under its name one after the other, and its links.
type router struct {
	*scenario
	number  int // unique within the scenario
	index   int // number in its settings; a duplicate has the one of the router that it duplicates
	name    string
	address string
	program string
	config  string
	log     *os.File

	names              *standin.NameService         // its own name service; guarded by fleetMutex
	nameServiceAddress string                       // by which the router reaches it
	peerAddresses      map[string]string            // by the advertised address of the peer: the address of the link to it
	engineLinks        map[string]*relay.StreamLink // by engine name; empty without a fabric. The fabric closes them

	processMutex sync.Mutex // held by whoever disturbs the process
	limits       [2]int     // memory in MB and descriptors, as last configured
	process      *exec.Cmd
	exited       chan struct{}
	stopping     atomic.Bool
	down         atomic.Bool // no process runs, and none is being started

	mutex        sync.Mutex // guards the next three fields
	incarnations []Incarnation
	pauses       []Interval
	idleFloods   []Interval

	callFaults *syscallfault.Table // system calls that fail; nil: none do
}

// Router is the checker's record of one router.
type Router struct {
	Name          string
	Incarnations  []Incarnation
	Pauses        []Interval
	IdleFloods    []Interval               // when idle clients used up its descriptors
	DrainReported map[string]time.Duration // when its name service first reported that an engine drains, by engine name
}

// newRouter prepares a router with its log, fault table and name service, but starts no process.
func (sc *scenario) newRouter(index int, program string) (*router, error) {
	r := &router{scenario: sc, number: len(sc.routers) + len(sc.duplicates), index: index, name: fmt.Sprintf("n%d", index+1), program: program,
		engineLinks: map[string]*relay.StreamLink{}, peerAddresses: map[string]string{}, limits: [2]int{sc.MemoryMB, sc.Descriptors}}
	// A loopback address that only this scenario uses keeps the port free between two starts of a router.
	r.address = fmt.Sprintf("%s:%d", sc.host, 7400+r.number)
	r.config = filepath.Join(sc.Folder, fmt.Sprintf("config-%d-%d.json", sc.Seed, r.number))
	r.down.Store(true)
	var err error
	if r.log, err = os.Create(r.logFile()); err != nil {
		return nil, fmt.Errorf("torture: %w", err)
	}
	if sc.faultLibrary != "" {
		if r.callFaults, err = syscallfault.NewTable(sc.Folder, sc.Seed<<8|uint64(r.number)+1); err != nil {
			return nil, err
		}
	}
	if r.names, err = standin.NewNameService(sc.host + ":0"); err != nil {
		return nil, err
	}
	r.names.SetStaleAnswers(staleListProbability, rand.New(rand.NewPCG(r.Seed, staleListStream+uint64(r.number))).Float64)
	return r, r.linkNameService()
}

// endpoint is the router's name among the ends of links.
func (r *router) endpoint() string { return fmt.Sprintf("r%d", r.number) }

// linkNameService creates the link to the name service.
func (r *router) linkNameService() error {
	r.nameServiceAddress = r.names.LocalAddr().String()
	if r.fabric == nil {
		return nil
	}
	link, err := r.fabric.NewDatagramLink(r.host, r.endpoint(), nameServiceEndpoint, nil, r.names.LocalAddr())
	if err != nil {
		return err
	}
	r.nameServiceAddress = link.A.LocalAddr().String()
	return nil
}

// engineAddress is the address by which this router reaches an engine. It creates the link on first use.
func (r *router) engineAddress(e *engineServer, address string) (string, error) {
	if r.fabric == nil {
		return address, nil
	}
	if r.engineLinks[e.Engine.Name] == nil {
		link, err := r.fabric.NewStreamLink(r.host, r.endpoint(), e.Engine.Name, address)
		if err != nil {
			return "", err
		}
		r.engineLinks[e.Engine.Name] = link
	}
	return r.engineLinks[e.Engine.Name].Addr().String(), nil
}

// configure writes the router's configuration file. It replaces the file atomically, as an operator would.
func (r *router) configure() error {
	platform := fmt.Sprintf(settings, r.Routers, r.index)
	text, err := rig.Configuration(platform, r.name, r.address, fmt.Sprintf("%08x%08x", uint32(r.Seed),
		r.number+16*r.startCount()), r.limits[0], r.limits[1], r.nameServiceAddress, r.names.StartupEvents())
	if err == nil {
		if err = os.WriteFile(r.config+".new", text, 0o600); err == nil {
			err = os.Rename(r.config+".new", r.config)
		}
	}
	if err != nil {
		return fmt.Errorf("torture: %w", err)
	}
	return nil
}

// startCount is the number of starts so far.
func (r *router) startCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.incarnations)
}

// moveNameService replaces the router's name service by one at another address and reloads the configuration with
// SIGHUP. The old one stops answering. The caller holds fleetMutex.
func (r *router) moveNameService() error {
	names, err := standin.NewNameService(r.host + ":0")
	if err != nil {
		return err
	}
	r.names.Close() // before its state is copied: what it reported later would not be recorded
	names.CopyFrom(r.names)
	r.names = names
	if err := r.linkNameService(); err != nil {
		return err
	}
	if err := r.configure(); err != nil {
		return err
	}
	r.reload()
	return nil
}

func (r *router) logFile() string {
	return filepath.Join(r.Folder, fmt.Sprintf("log-%d-%d.json", r.Seed, r.number))
}

// start starts the process and waits until it answers that it is ready. The name service numbers its lists from 1
// again, as the platform does.
func (r *router) start() error {
	if r.startCount() > 0 {
		r.names.ResetSerial()
	}
	if err := r.configure(); err != nil {
		return err
	}
	args := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, r.Descriptors), r.program}
	if r.Debug {
		args = append(args, "--log-level", "debug")
	}
	if r.PeerMessaging {
		path, err := r.writeSettings()
		if err != nil {
			return err
		}
		args = append(args, "--settings", path)
	}
	c := exec.Command("/bin/sh", args...)
	c.Env, c.Stderr = append(os.Environ(), "RELAY_CONFIG="+r.config), r.log
	if r.callFaults != nil {
		c.Env = append(c.Env, r.callFaults.Environment(r.faultLibrary, r.program)...)
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("torture: %w", err)
	}
	r.process, r.exited = c, make(chan struct{})
	r.mutex.Lock()
	r.incarnations = append(r.incarnations, Incarnation{Began: r.since()})
	incarnation, exited := len(r.incarnations)-1, r.exited
	r.mutex.Unlock()
	go func() {
		c.Wait() //nolint:errcheck
		r.mutex.Lock()
		r.incarnations[incarnation].Ended, r.incarnations[incarnation].Exit = r.since(), c.ProcessState.String()
		r.mutex.Unlock()
		close(exited)
	}()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if client, err := standin.Dial(r.address); err == nil {
			_, err := client.Write(standin.EncodeFrame(20, 1, []string{}, ""))
			answer, readErr := client.ReadFrame(time.Second)
			client.Close()
			if err == nil && readErr == nil && answer.Type == 21 && answer.Code == 0 {
				r.stopping.Store(false)
				r.down.Store(false)
				return nil
			}
		}
	}
	return fmt.Errorf("torture: seed %d: router %s was not ready within %s", r.Seed, r.name, readyTimeout)
}

// reload makes the router read its configuration again.
func (r *router) reload() { r.signal(syscall.SIGHUP) }

// signal sends a signal to the process if one was ever started.
func (r *router) signal(s syscall.Signal) {
	if r.process != nil {
		r.process.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// terminate sends SIGTERM.
func (r *router) terminate() {
	r.stopping.Store(true)
	r.mutex.Lock()
	r.incarnations[len(r.incarnations)-1].Terminated = r.since()
	r.mutex.Unlock()
	r.signal(syscall.SIGTERM)
}

// waitExit waits for the process to exit. A process that does not exit within stopTimeout is killed, which the checker
// reports.
func (r *router) waitExit() {
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		r.kill()
	}
	r.down.Store(true)
}

// kill ends the process with SIGKILL and waits for its exit.
func (r *router) kill() {
	r.down.Store(true)
	r.mutex.Lock()
	r.incarnations[len(r.incarnations)-1].Killed = r.since()
	r.mutex.Unlock()
	r.signal(syscall.SIGKILL)
	<-r.exited
}

// killed reports whether a start was ended by SIGKILL, or is about to be.
func (r *router) killed(incarnation int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.incarnations[incarnation].Killed > 0
}

// pause stops the process with SIGSTOP for a while.
func (r *router) pause(duration time.Duration) {
	from := r.since()
	r.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	r.signal(syscall.SIGCONT)
	r.mutex.Lock()
	r.pauses = append(r.pauses, Interval{from, r.since()})
	r.mutex.Unlock()
}

// throttle lets the process run for a quarter of each 100 ms, concurrently with other faults. It leaves the process
// running or exited.
func (r *router) throttle(duration time.Duration) {
	r.mutex.Lock()
	r.pauses = append(r.pauses, Interval{r.since(), r.since() + duration})
	r.mutex.Unlock()
	process := r.process.Process
	go func() {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			if process.Signal(syscall.SIGSTOP) != nil {
				return
			}
			time.Sleep(75 * time.Millisecond)
			process.Signal(syscall.SIGCONT) //nolint:errcheck
		}
	}()
}

// record is the checker's record of the router.
func (r *router) record() Router {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := Router{Name: r.endpoint(), Incarnations: r.incarnations, Pauses: r.pauses, IdleFloods: r.idleFloods,
		DrainReported: map[string]time.Duration{}}
	for name, at := range r.names.FirstDrained() {
		out.DrainReported[name] = at.Sub(r.began)
	}
	return out
}
