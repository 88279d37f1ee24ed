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

// A soak runs ten to forty routers with faults that overlap in time, failing system calls among them. Its clients keep
// using open connections of a stopping router until it is killed, which happens as early as the platform may do so.

// Faults that only a soak injects. Their names are printed with the script.
const (
	SystemCalls Fault = scriptFaultCount + iota // system calls of a router fail for a while
	StopAndKill                                 // SIGTERM, further signals in quick succession, SIGKILL as early as the platform may send it, and a start
	Signals                                     // SIGHUP several times in quick succession, the configuration changing in between
	IdleFlood                                   // idle clients use up a router's descriptors for a while
)

var soakFaultNames = []string{"system calls", "stop and kill", "signals", "crowd"}

const (
	soakStepInterval = 150 * time.Millisecond  // mean time between two faults in a soak of ten routers
	killDelay        = 3700 * time.Millisecond // from SIGTERM to SIGKILL, the shortest that the platform allows
	idleFloodSize    = 200                     // a router lets clients have half of its 256 descriptors
	routersPerEngine = 3                       // there is one engine for this many routers
	killManyOneIn    = 4                       // one in so many seeds kills several routers at once without a warning
	invariantRule    = 9                       // of findings that the routers' own invariant checks reported
)

// SoakScript draws the faults of a soak. They overlap: each lasts up to two seconds, and several begin in that time.
// Every third seed has idle floods.
func SoakScript(seed uint64, duration time.Duration, routers int) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	kinds := []Fault{MoveNameService, Reload, Pause, Kill, EngineSilent, EngineReplaced, Drain, ConnectionChurn, Throttle,
		MisbehavingClients, KillMany, PauseMany, CutEngine, CutZone,
		CutOneWay, CutNameService, SlowBytes, PacketLoss, StopAndKill, StopAndKill, StopAndKill, Signals, Signals}
	for range len(kinds) {
		kinds = append(kinds, SystemCalls)
	}
	if seed%killManyOneIn != 0 { // requests pending at a kill are excused; with many of them the scenario would show little
		kinds[slices.Index(kinds, KillMany)] = StopAndKill
	}
	if seed%3 == 0 {
		kinds = append(kinds, IdleFlood, IdleFlood, IdleFlood, IdleFlood)
	}
	var steps []Step
	every := soakStepInterval * 10 / time.Duration(max(routers, 1))
	for at := duration / 20; at < duration*9/10; at += time.Duration((0.5 + random.Float64()) * float64(every)) {
		steps = append(steps, Step{At: at, Fault: kinds[random.IntN(len(kinds))],
			Duration: time.Duration((0.1 + 1.9*random.Float64()) * float64(time.Second)),
			Selector: random.IntN(1000)})
	}
	return steps
}

// systemFaults are groups of rules that are in force together: the calls that fail on one resource shortage or one
// broken device.
var systemFaults = [][]syscallfault.Rule{
	rulesFor(syscallfault.Rule{Call: syscallfault.Accept4, PerMille: 500}, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO),
	rulesFor(syscallfault.Rule{Call: syscallfault.Read, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS,
		syscallfault.ShortTransfer),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Writev, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR, syscall.ENOMEM,
		syscall.ENOBUFS, syscall.EAGAIN, syscallfault.ShortTransfer),
		rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Stream, PerMille: 150}, syscall.EINTR,
			syscall.ENOBUFS, syscallfault.ShortTransfer)),
	rulesFor(syscallfault.Rule{Call: syscallfault.EpollCtl, Target: syscallfault.Stream, PerMille: 400}, syscall.ENOMEM, syscall.ENOSPC),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Socket, PerMille: 300}, syscall.EMFILE, syscall.ENOBUFS),
		rulesFor(syscallfault.Rule{Call: syscallfault.Connect, PerMille: 300}, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR)),
	rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.StandardError, PerMille: 300}, syscall.ENOSPC,
		syscall.EIO, syscall.EAGAIN,
		syscallfault.ShortTransfer),
	rulesFor(syscallfault.Rule{Call: syscallfault.Openat, PerMille: 400}, syscall.EMFILE, syscall.EIO, syscall.EINTR),
	rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.NonSocket, PerMille: 300}, syscall.EINTR),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Recvfrom, Target: syscallfault.Datagram, PerMille: 200},
		syscall.ENOMEM, syscall.EINTR),
		rulesFor(syscallfault.Rule{Call: syscallfault.Write, Target: syscallfault.Datagram, PerMille: 300}, syscall.ENOBUFS, syscall.EPERM)),
	slices.Concat(rulesFor(syscallfault.Rule{Call: syscallfault.Close, PerMille: 300}, syscall.EINTR, syscall.EIO),
		rulesFor(syscallfault.Rule{Call: syscallfault.Setsockopt, PerMille: 300}, syscall.ENOBUFS),
		rulesFor(syscallfault.Rule{Call: syscallfault.Getsockopt, PerMille: 300}, syscall.ENOBUFS)),
}

// rulesFor returns a copy of the rule for each of the errors.
func rulesFor(rule syscallfault.Rule, errors ...syscall.Errno) (out []syscallfault.Rule) {
	for _, e := range errors {
		rule.Error, rule.Times = e, syscallfault.Unbounded
		out = append(out, rule)
	}
	return out
}

// rulesPerGroup reserves slots of the fault table for each group, so that groups may overlap.
const rulesPerGroup = syscallfault.MaxRules / 10

// failCalls makes a group of system calls of a router fail for the step's duration. The faults outlast a restart of the
// router.
func (r *router) failCalls(s Step) {
	group := s.Selector % len(systemFaults)
	for i, rule := range systemFaults[group][:min(len(systemFaults[group]), rulesPerGroup)] {
		r.callFaults.Set(group*rulesPerGroup+i, rule)
	}
	if group == 6 { // files that cannot be opened: trigger a reload, which opens one
		r.fail(r.configure())
		r.reload()
	}
	time.Sleep(s.Duration)
	for i := range rulesPerGroup {
		r.callFaults.Clear(group*rulesPerGroup + i)
	}
}

// stopAndKill stops a router in the harshest way that the platform permits: several signals in quick succession while
// clients keep sending, and SIGKILL at the earliest time. A router that has exited by then has stopped correctly.
func (r *router) stopAndKill(random *rand.Rand) {
	r.terminate()
	exited := r.exited
	end := time.After(killDelay)
	for range random.IntN(4) {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		r.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[random.IntN(3)])
	}
	select {
	case <-exited:
		r.down.Store(true)
	case <-end:
		r.kill()
	}
	r.fail(r.start())
}

// newConnectionsAfterTerm is how long clients still open connections to a stopping router.
const newConnectionsAfterTerm = 300 * time.Millisecond

// justStopped reports whether clients still open connections to the stopping router.
func (r *router) justStopped() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Soak && len(r.incarnations) > 0 && r.since() < r.incarnations[len(r.incarnations)-1].Terminated+newConnectionsAfterTerm
}

// reloadRepeatedly sends SIGHUP several times and sometimes changes the configuration in between.
func (r *router) reloadRepeatedly(random *rand.Rand) {
	for range 2 + random.IntN(6) {
		if random.IntN(2) == 0 {
			r.limits = [2]int{r.MemoryMB + random.IntN(33), r.Descriptors - random.IntN(65)}
			r.fail(r.configure())
		}
		r.reload()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// floodIdle keeps idle connections to a router open for the step's duration.
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

// injectSoakFault carries out a step that only a soak has.
func (sc *scenario) injectSoakFault(s Step) {
	r := sc.routerOf(s)
	random := rand.New(rand.NewPCG(sc.Seed, uint64(s.At)))
	switch s.Fault {
	case SystemCalls:
		r.failCalls(s) // without processMutex: concurrently with other faults of that router
	case IdleFlood:
		r.floodIdle(s)
	default:
		r.processMutex.Lock()
		defer r.processMutex.Unlock()
		switch {
		case r.down.Load():
		case s.Fault == StopAndKill:
			r.stopAndKill(random)
		case s.Fault == Signals:
			r.reloadRepeatedly(random)
		}
	}
}

// invariantViolations are the violations that the routers' own invariant checks logged.
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

// failedCalls is the number of system calls that the soak made fail.
func (sc *scenario) failedCalls() (n int) {
	for _, r := range sc.allRouters() {
		if r.callFaults != nil {
			n += r.callFaults.FailedCalls()
		}
	}
	return n
}
