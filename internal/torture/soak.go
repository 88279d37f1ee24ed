package torture

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"pitchfield/internal/syscallfault"
)

// The soak: ten to forty real processes whose faults overlap in time, failing system calls among them. Its clients go on using
// open connections of a router that stops until it is killed, which comes as early as the platform may.

// The faults of a soak alone.
const (
	SystemCalls Fault = scriptFaultCount + iota // system calls of a router fail for a while
	StopAndKill                                 // SIGTERM, further signals in a row, SIGKILL as early as it may come, and a start
	Signals                                     // SIGHUP several times in a row, the file changed between them
	IdleFlood                                   // idle clients fill a router's descriptors for a while
)

var soakFaultNames = []string{"system calls", "stop and kill", "signals", "crowd"}

const (
	soakStepInterval = 150 * time.Millisecond // a new fault begins so often in a soak of ten routers
	killDelay        = 3700 * time.Millisecond
	idleFloodSize    = 200 // of 256 descriptors a router lets clients have half
	routersPerEngine = 3   // routers for each engine
	killManyOneIn    = 4   // plays in which several are killed at once without a warning
	invariantRule    = 9   // of findings that the routers' own guard has made
)

// SoakScript draws the faults of a soak. They overlap: each lasts up to two seconds and several begin in each. Every third seed
// has a crowd.
func SoakScript(seed uint64, long time.Duration, routers int) []Step {
	r := rand.New(rand.NewPCG(seed, 2))
	kinds := []Fault{MoveNameService, Reload, Pause, Kill, EngineSilent, EngineReplaced, Drain, ConnectionChurn, Throttle, MisbehavingClients, KillMany, PauseMany, CutEngine, CutZone,
		CutOneWay, CutNameService, SlowBytes, PacketLoss, StopAndKill, StopAndKill, StopAndKill, Signals, Signals}
	for range len(kinds) {
		kinds = append(kinds, SystemCalls)
	}
	if seed%killManyOneIn != 0 { // what many hold when they are killed at once is owed by nobody, and would be most of a play
		kinds[slices.Index(kinds, KillMany)] = StopAndKill
	}
	if seed%3 == 0 {
		kinds = append(kinds, IdleFlood, IdleFlood, IdleFlood, IdleFlood)
	}
	var steps []Step
	every := soakStepInterval * 10 / time.Duration(max(routers, 1))
	for at := long / 20; at < long*9/10; at += time.Duration((0.5 + r.Float64()) * float64(every)) {
		steps = append(steps, Step{At: at, Fault: kinds[r.IntN(len(kinds))], Duration: time.Duration((0.1 + 1.9*r.Float64()) * float64(time.Second)),
			Selector: r.IntN(1000)})
	}
	return steps
}

// systemFaults are groups of rules that come together: what one shortage of the system, or one broken device, makes fail.
var systemFaults = [][]syscallfault.Rule{
	rulesFor(syscallfault.Rule{Call: syscallfault.Accept4, PerMille: 500}, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO),
	rulesFor(syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS,
		syscallfault.ShortTransfer),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Writev, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR, syscall.ENOMEM,
		syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
		rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR, syscall.ENOBUFS, syscallfault.ShortTransfer)),
	rulesFor(syscallfault.Rule{Call: syscallfault.EpollCtl, Target: syscallfault.Stream, PerMille: 400}, syscall.ENOMEM, syscall.ENOSPC),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Socket, PerMille: 300}, syscall.EMFILE, syscall.ENOBUFS),
		rulesFor(syscallfault.Rule{Call: syscallfault.Connect, PerMille: 300}, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR)),
	rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.StandardError, PerMille: 300}, syscall.ENOSPC, syscall.EIO, syscall.EAGAIN,
		syscallfault.ShortTransfer),
	rulesFor(syscallfault.Rule{Call: syscallfault.Openat, PerMille: 400}, syscall.EMFILE, syscall.EIO, syscall.EINTR),
	rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.NonSocket, PerMille: 300}, syscall.EINTR),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Recvfrom, Target: syscallfault.Datagram, PerMille: 200}, syscall.ENOMEM, syscall.EINTR),
		rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Datagram, PerMille: 300}, syscall.ENOBUFS, syscall.EPERM)),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Close, PerMille: 300}, syscall.EINTR, syscall.EIO),
		rulesFor(syscallfault.Rule{Call: syscallfault.Setsockopt, PerMille: 300}, syscall.ENOBUFS),
		rulesFor(syscallfault.Rule{Call: syscallfault.Getsockopt, PerMille: 300}, syscall.ENOBUFS)),
}

// rulesFor makes a rule for each of the errors.
func rulesFor(rule syscallfault.Rule, errors ...syscall.Errno) (out []syscallfault.Rule) {
	for _, e := range errors {
		rule.Error, rule.Times = e, syscallfault.Unbounded
		out = append(out, rule)
	}
	return out
}

// rulesPerGroup leaves each group of rules places of its own in a table, so that groups may overlap.
const rulesPerGroup = syscallfault.MaxRules / 10

// failCalls has a group of system calls of a router fail for a while. It outlives a restart of the router.
func (r *router) failCalls(s Step) {
	group := s.Selector % len(systemFaults)
	for i, rule := range systemFaults[group][:min(len(systemFaults[group]), rulesPerGroup)] {
		r.callFaults.Set(group*rulesPerGroup+i, rule)
	}
	if group == 6 { // files that can't be opened: a reload wants one just then
		r.fail(r.configure())
		r.reload()
	}
	time.Sleep(s.Duration)
	for i := range rulesPerGroup {
		r.callFaults.Clear(group*rulesPerGroup + i)
	}
}

// stopAndKill stops a router as the platform does at the worst: signals come in a row, clients go on, and the kill comes as early as it
// may. A router that has ended by then has ended well.
func (r *router) stopAndKill(chance *rand.Rand) {
	r.terminate()
	exited := r.exited
	end := time.After(killDelay)
	for range chance.IntN(4) {
		time.Sleep(time.Duration(chance.IntN(300)) * time.Millisecond)
		r.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[chance.IntN(3)])
	}
	select {
	case <-exited:
		r.down.Store(true)
	case <-end:
		r.kill()
	}
	r.fail(r.start())
}

// newConnectionsAfterTerm is how long new connections go on coming to a router that stops.
const newConnectionsAfterTerm = 300 * time.Millisecond

// justStopped tells whether new connections still come to a router that stops.
func (r *router) justStopped() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Soak && len(r.incarnations) > 0 && r.since() < r.incarnations[len(r.incarnations)-1].Terminated+newConnectionsAfterTerm
}

// reloadRepeatedly sends SIGHUP several times, with other contents of the file now and then.
func (r *router) reloadRepeatedly(chance *rand.Rand) {
	for range 2 + chance.IntN(6) {
		if chance.IntN(2) == 0 {
			r.limits = [2]int{r.MemoryMB + chance.IntN(33), r.Descriptors - chance.IntN(65)}
			r.fail(r.configure())
		}
		r.reload()
		time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond)
	}
}

// floodIdle holds idle connections to a router.
func (r *router) floodIdle(s Step) {
	from := r.since()
	var all []net.Conn
	for range idleFloodSize {
		if c, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
			all = append(all, c)
		}
	}
	time.Sleep(s.Duration)
	for _, c := range all {
		c.Close()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.idleFloods = append(r.idleFloods, Interval{from, r.since()})
}

// injectSoakFault lets something of a soak go wrong.
func (p *scenario) injectSoakFault(s Step) {
	r := p.routerOf(s)
	chance := rand.New(rand.NewPCG(p.Seed, uint64(s.At)))
	switch s.Fault {
	case SystemCalls:
		r.failCalls(s) // beside whatever else goes wrong with that router
	case IdleFlood:
		r.floodIdle(s)
	default:
		r.processMutex.Lock()
		defer r.processMutex.Unlock()
		switch {
		case r.down.Load():
		case s.Fault == StopAndKill:
			r.stopAndKill(chance)
		case s.Fault == Signals:
			r.reloadRepeatedly(chance)
		}
	}
}

// invariantViolations are what the routers' own guards have found and withheld.
func (r *Result) invariantViolations() (out []Finding) {
	for i, name := range r.Logs {
		file, err := os.Open(name)
		if err != nil {
			out = append(out, Finding{Rule: invariantRule, Text: err.Error()})
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if strings.Contains(lines.Text(), "invariant violated") {
				out = append(out, Finding{Rule: invariantRule, Text: fmt.Sprintf("%s: %s", r.Routers[i].Name, lines.Text())})
			}
		}
		file.Close()
	}
	return out
}

// failedCalls tells how many system calls the soak has failed.
func (p *scenario) failedCalls() (n int) {
	for _, r := range p.allRouters() {
		if r.callFaults != nil {
			n += r.callFaults.FailedCalls()
		}
	}
	return n
}
