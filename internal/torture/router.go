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
	staleListProbability = 0.1     // of the name service's, with a list of before, be it of before the router's start
	staleListStream      = 1 << 20 // of the seed's chances, one for each router
)

// router is one of a play: the processes that run under its name, one after the other, and its ways to all others.
type router struct {
	*scenario
	number  int // place among the routers of the play
	index   int // that it is told; a twin has the one of whom it doubles
	name    string
	address string
	program string
	config  string
	log     *os.File

	names              *standin.NameService     // its own view of the list; the fleet's lock covers it
	nameServiceAddress string                   // where it finds them
	peerAddresses      map[string]string        // by which address it reaches another router that talks, by the one which that tells
	engineLinks        map[string]*relay.Stream // to engines, by name, where there is a fabric; the play's end closes them

	processMutex sync.Mutex // whoever lets something go wrong with the process has it to himself
	limits       [2]int     // memory and descriptors, as last told
	process      *exec.Cmd
	exited       chan struct{}
	stopping     atomic.Bool
	down         atomic.Bool // no process runs, and none is about to

	mutex        sync.Mutex // of the next two
	incarnations []Incarnation
	pauses       []Interval
	idleFloods   []Interval

	callFaults *syscallfault.Table // of its system calls; nil: none fail
}

// Router is what the checker is told of one.
type Router struct {
	Name          string
	Incarnations  []Incarnation
	Pauses        []Interval
	IdleFloods    []Interval               // idle clients filled its descriptors
	DrainReported map[string]time.Duration // when it was first told that an engine drains, by name
}

func (p *scenario) newRouter(index int, program string) (*router, error) {
	r := &router{scenario: p, number: len(p.routers) + len(p.duplicates), index: index, name: fmt.Sprintf("n%d", index+1), program: program,
		engineLinks: map[string]*relay.Stream{}, peerAddresses: map[string]string{}, limits: [2]int{p.MemoryMB, p.Descriptors}}
	// A loopback address of the play's own keeps a port free between two starts of a router.
	r.address = fmt.Sprintf("%s:%d", p.host, 7400+r.number)
	r.config = filepath.Join(p.Folder, fmt.Sprintf("config-%d-%d.json", p.Seed, r.number))
	r.down.Store(true)
	var err error
	if r.log, err = os.Create(r.logFile()); err != nil {
		return nil, fmt.Errorf("torture: %w", err)
	}
	if p.faultLibrary != "" {
		if r.callFaults, err = syscallfault.NewTable(p.Folder, p.Seed<<8|uint64(r.number)+1); err != nil {
			return nil, err
		}
	}
	if r.names, err = standin.NewNameService(p.host + ":0"); err != nil {
		return nil, err
	}
	r.names.SetStaleAnswers(staleListProbability, rand.New(rand.NewPCG(r.Seed, staleListStream+uint64(r.number))).Float64)
	return r, r.linkNameService()
}

// endpoint is what links call it.
func (r *router) endpoint() string { return fmt.Sprintf("r%d", r.number) }

// linkNameService makes the way to the name service.
func (r *router) linkNameService() error {
	r.nameServiceAddress = r.names.LocalAddr().String()
	if r.fabric == nil {
		return nil
	}
	way, err := r.fabric.Datagrams(r.host, r.endpoint(), nameServiceEndpoint, nil, r.names.LocalAddr())
	if err != nil {
		return err
	}
	r.nameServiceAddress = way.A.LocalAddr().String()
	return nil
}

// engineAddress gives the address by which this router reaches an engine.
func (r *router) engineAddress(e *engineServer, address string) (string, error) {
	if r.fabric == nil {
		return address, nil
	}
	if r.engineLinks[e.Engine.Name] == nil {
		way, err := r.fabric.Stream(r.host, r.endpoint(), e.Engine.Name, address)
		if err != nil {
			return "", err
		}
		r.engineLinks[e.Engine.Name] = way
	}
	return r.engineLinks[e.Engine.Name].Addr().String(), nil
}

// configure writes what the router is told; the change of the file is whole or not at all, as an operator's would be.
func (r *router) configure() error {
	told := fmt.Sprintf(settings, r.Routers, r.index)
	text, err := rig.Configuration(told, r.name, r.address, fmt.Sprintf("%08x%08x", uint32(r.Seed), r.number+16*r.startCount()), r.limits[0], r.limits[1], r.nameServiceAddress, r.names.StartupEvents())
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

func (r *router) startCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.incarnations)
}

// moveNameService puts its name service at another address and tells it by SIGHUP. The old one falls silent. The fleet is locked.
func (r *router) moveNameService() error {
	names, err := standin.NewNameService(r.host + ":0")
	if err != nil {
		return err
	}
	r.names.Close() // before its numbers go over: what it says later is not known here
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

// start starts the process and waits until it is ready. The numbers of its lists begin anew, as on the platform.
func (r *router) start() error {
	if r.startCount() > 0 {
		r.names.ResetSerial()
	}
	if err := r.configure(); err != nil {
		return err
	}
	words := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, r.Descriptors), r.program}
	if r.Debug {
		words = append(words, "--log-level", "debug")
	}
	if r.PeerMessaging {
		path, err := r.writeSettings()
		if err != nil {
			return err
		}
		words = append(words, "--settings", path)
	}
	c := exec.Command("/bin/sh", words...)
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
	life, exited := len(r.incarnations)-1, r.exited
	r.mutex.Unlock()
	go func() {
		c.Wait() //nolint:errcheck
		r.mutex.Lock()
		r.incarnations[life].Ended, r.incarnations[life].Exit = r.since(), c.ProcessState.String()
		r.mutex.Unlock()
		close(exited)
	}()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if k, err := standin.Dial(r.address); err == nil {
			_, err := k.Write(standin.EncodeFrame(20, 1, []string{}, ""))
			a, err2 := k.ReadFrame(time.Second)
			k.Close()
			if err == nil && err2 == nil && a.Type == 21 && a.Code == 0 {
				r.stopping.Store(false)
				r.down.Store(false)
				return nil
			}
		}
	}
	return fmt.Errorf("torture: seed %d: router %s was not ready within %s", r.Seed, r.name, readyTimeout)
}

func (r *router) reload() { r.signal(syscall.SIGHUP) }

func (r *router) signal(s syscall.Signal) {
	if r.process != nil {
		r.process.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// terminate asks the process to end in peace.
func (r *router) terminate() {
	r.stopping.Store(true)
	r.mutex.Lock()
	r.incarnations[len(r.incarnations)-1].Terminated = r.since()
	r.mutex.Unlock()
	r.signal(syscall.SIGTERM)
}

// waitExit waits until it has; a process that does not is killed, which is a finding.
func (r *router) waitExit() {
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		r.kill()
	}
	r.down.Store(true)
}

func (r *router) kill() {
	r.down.Store(true)
	r.mutex.Lock()
	r.incarnations[len(r.incarnations)-1].Killed = r.since()
	r.mutex.Unlock()
	r.signal(syscall.SIGKILL)
	<-r.exited
}

// killed tells whether a start was ended by SIGKILL, or is about to be.
func (r *router) killed(life int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.incarnations[life].Killed > 0
}

// pause stops the process for a while.
func (r *router) pause(long time.Duration) {
	from := r.since()
	r.signal(syscall.SIGSTOP)
	time.Sleep(long)
	r.signal(syscall.SIGCONT)
	r.mutex.Lock()
	r.pauses = append(r.pauses, Interval{from, r.since()})
	r.mutex.Unlock()
}

// throttle gives it a quarter of each tenth of a second, beside other faults. It ends with the process running, or gone.
func (r *router) throttle(long time.Duration) {
	r.mutex.Lock()
	r.pauses = append(r.pauses, Interval{r.since(), r.since() + long})
	r.mutex.Unlock()
	of := r.process.Process
	go func() {
		for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			if of.Signal(syscall.SIGSTOP) != nil {
				return
			}
			time.Sleep(75 * time.Millisecond)
			of.Signal(syscall.SIGCONT) //nolint:errcheck
		}
	}()
}

// record is what the checker is told.
func (r *router) record() Router {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := Router{Name: r.endpoint(), Incarnations: r.incarnations, Pauses: r.pauses, IdleFloods: r.idleFloods, DrainReported: map[string]time.Duration{}}
	for name, at := range r.names.FirstDrained() {
		out.DrainReported[name] = at.Sub(r.began)
	}
	return out
}
