package torture

import (
	"bytes"
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/relay"
	"pitchfield/internal/standin"
	"pitchfield/internal/syscallfault"
)

// Options configure a scenario.
type Options struct {
	Program       string        // path of the router's program
	Seed          uint64        // of the script, the clients and the engines
	Duration      time.Duration // how long clients send requests
	Clients       int           // concurrent clients; 0: 24
	MemoryMB      int           // memory limit of a router; 0: 32
	Descriptors   int           // descriptor limit of a router; 0: 256
	Folder        string        // for configuration and log files
	Routers       int           // routers in front of the same engines; 0: one, without links that can fail
	OlderProgram  string        // another build of the program, which OlderBuild runs for a while; empty: the same one
	PeerMessaging bool          // routers exchange messages, over links of their own
	QuotaShares   bool          // routers divide the capacity of cold engines by quota; implies PeerMessaging
	FirmShare     float64       // fraction of the quota that every router keeps permanently
	SharedLimits  bool          // routers also divide the free retries of look-ups and the number of concurrent reports; implies QuotaShares
	Steps         []Step        // replaces the script drawn from the seed
	Debug         bool          // routers log every request
	// Soak injects the faults of a soak, failing system calls among them. Clients use open connections of a stopping
	// router until its kill.
	Soak bool
}

const (
	minEngines    = 4                // there are more if there are many routers
	drainDuration = 4 * time.Second  // from the report that an engine drains to its replacement
	stopTimeout   = 12 * time.Second // after SIGTERM; longer than any time limit of the service groups
	readyTimeout  = 20 * time.Second // after the start of a router
)

// scenario is the state of one running scenario.
type scenario struct {
	Options
	began        time.Time
	host         string        // loopback address that only this scenario uses
	fabric       *relay.Fabric // links to engines, name services and peers; nil: direct connections
	routers      []*router
	ledger       *standin.Fleet
	faultLibrary string // preloaded library that makes system calls fail; empty: none fail

	fleetMutex    sync.Mutex // guards the next four fields and the contents of the name services
	duplicates    []*router
	engines       []*engineServer // in the published list
	allEngines    []*engineServer // also those that were replaced
	engineCounter int

	stalls []Interval // when the machine gave the test process no processor time

	mutex             sync.Mutex // guards the next four fields
	failure           error
	linkFaults        []LinkFault
	batches           []*Batch
	connections       []*clientConnection
	batchCounter      atomic.Uint64
	connectionCounter atomic.Int64   // numbers the connections
	closing           sync.WaitGroup // connections that wait for their last answers
	activeFaults      sync.WaitGroup // injections in progress
}

// scenarioCount numbers the scenarios of the process, for distinct loopback addresses.
var scenarioCount atomic.Uint32

// since is the time since the start of the scenario.
func (sc *scenario) since() time.Duration { return time.Since(sc.began) }

// fail records the first error of the test harness itself.
func (sc *scenario) fail(err error) {
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	if err != nil && sc.failure == nil {
		sc.failure = err
	}
}

// Run runs the scenario of one seed and checks it. The error reports a failure of the harness; violations of rules are
// in Result.Findings.
func Run(options Options) (*Result, error) {
	options.Clients, options.MemoryMB, options.Descriptors = cmp.Or(options.Clients, 24), cmp.Or(options.MemoryMB, 32),
		cmp.Or(options.Descriptors, 256)
	options.Routers, options.OlderProgram = max(options.Routers, 1), cmp.Or(options.OlderProgram, options.Program)
	options.QuotaShares = options.QuotaShares || options.SharedLimits
	options.PeerMessaging = options.PeerMessaging || options.QuotaShares
	sc := &scenario{Options: options, began: time.Now(), ledger: &standin.Fleet{MarkMemory: dedupWindow, CancelsOnClose: true,
		ReportsMemory: true, ReadDelay: readDelays(options.Seed)}}
	sc.ledger.Script = sc.action
	number := scenarioCount.Add(1)
	sc.host = fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, number/250%250, 1+number%250)
	steps := options.Steps
	if steps == nil {
		steps = Script(options.Seed, options.Duration, options.Routers)
		if options.Soak {
			steps = SoakScript(options.Seed, options.Duration, options.Routers)
		}
	}
	if options.Soak {
		var err error
		if sc.faultLibrary, err = syscallfault.Build(options.Folder); err != nil {
			return nil, err
		}
	}
	if options.Routers > 1 {
		sc.fabric = relay.New(options.Seed)
		defer sc.fabric.Close()
	}
	if err := sc.startFleet(steps); err != nil {
		return nil, err
	}
	stopWatching, stallsWatched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stallsWatched)
		stalls, err := sc.watchStalls(stopWatching)
		sc.stalls = stalls
		sc.fail(err)
	}()
	var clients sync.WaitGroup
	for i := range options.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			sc.client(rand.New(rand.NewPCG(options.Seed, uint64(100+i))))
		}()
	}
	for _, s := range steps {
		time.Sleep(time.Until(sc.began.Add(s.At)))
		if options.Routers == 1 { // one after the other: all steps act on the same process
			sc.inject(s)
			continue
		}
		sc.activeFaults.Add(1)
		go func() {
			defer sc.activeFaults.Done()
			sc.inject(s)
		}()
	}
	sc.activeFaults.Wait()
	clients.Wait()
	sc.closing.Wait()
	if sc.fabric != nil {
		sc.fabric.RemoveAllFaults()
	}
	close(stopWatching)
	<-stallsWatched
	disagreements := sc.checkAgreement()
	r := sc.stopFleet(steps)
	r.Findings = append(r.Findings, disagreements...)
	return r, sc.failure
}

// startFleet starts engines and routers, except for routers that a LateStart step starts later.
func (sc *scenario) startFleet(steps []Step) error {
	sc.fleetMutex.Lock()
	defer sc.fleetMutex.Unlock()
	for i := range max(minEngines, sc.Routers/routersPerEngine) {
		if err := sc.addEngine(zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	for i := range sc.Routers {
		r, err := sc.newRouter(i, sc.Program)
		if err != nil {
			return err
		}
		if sc.PeerMessaging {
			if err := r.linkPeers(sc.routers); err != nil {
				return err
			}
		}
		sc.routers = append(sc.routers, r)
	}
	if err := sc.publishEngines(); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for _, r := range sc.routers {
		if slices.ContainsFunc(steps, func(s Step) bool { return s.Fault == LateStart && sc.routerOf(s) == r }) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			sc.fail(r.start())
		}()
	}
	wait.Wait()
	return sc.failure
}

// stopFleet stops the routers gracefully, collects the records and checks them.
func (sc *scenario) stopFleet(steps []Step) *Result {
	var wait sync.WaitGroup
	for _, r := range sc.allRouters() {
		if r.down.Load() {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.terminate()
			r.waitExit()
		}()
	}
	wait.Wait()
	for _, e := range sc.engines {
		e.Stop()
	}
	r := &Result{Seed: sc.Seed, Steps: steps, Batches: sc.batches, Runs: sc.ledger.Runs(), Probes: sc.ledger.Probes(), Engines: sc.engineRecords(),
		LinkFaults: sc.linkFaults, History: map[int][]string{}, Began: sc.began, Duration: sc.Duration,
		SharedLimits: sc.SharedLimits, Soak: sc.Soak, FailedCalls: sc.failedCalls(), RigStalls: sc.stalls}
	for _, router := range sc.allRouters() {
		router.names.Close()
		router.log.Close()
		r.Routers, r.Logs = append(r.Routers, router.record()), append(r.Logs, router.logFile())
	}
	for _, conn := range sc.connections {
		r.History[conn.number] = conn.history
	}
	r.Findings = append(Check(r), r.invariantViolations()...)
	return r
}

// action decides what an engine does with a batch. The work depends on the batch alone, so that its client can declare
// it; the failure also depends on how often the batch's text has arrived. A seed always gives the same actions. When
// the work depended on the text and its count, declarations were right for one batch in hundreds, batches with the
// smallest declared work went first, and engines received a third more work than was booked.
func (sc *scenario) action(r standin.Run, count int) standin.Step {
	h := fnv.New64a()
	h.Write([]byte(cmp.Or(r.ID, r.Text))) //nolint:errcheck
	work := rand.New(rand.NewPCG(sc.Seed^h.Sum64(), 0))
	act := standin.Step{After: time.Duration(5+work.IntN(120)) * time.Millisecond, Rows: rowsOf(r.Text)}
	if work.IntN(40) == 0 {
		act.After = time.Duration(300+work.IntN(300)) * time.Millisecond
	}
	random := rand.New(rand.NewPCG(sc.Seed^h.Sum64(), uint64(1+count)))
	if random.IntN(25) == 0 {
		act.Action = []standin.Action{standin.Reject, standin.Fail, standin.CloseUnanswered, standin.CloseMidAnswer, standin.SilenceConnection, standin.HalfAnswer,
			standin.SendGarbage, standin.InvalidLength}[random.IntN(8)]
	}
	return act
}

// rowsOf is the number of rows that a batch's text asks for.
func rowsOf(text string) (n int) {
	fmt.Sscanf(text, "SELECT %d", &n) //nolint:errcheck
	return n
}

// allRouters lists routers and duplicates. The caller holds fleetMutex, or the fleet no longer changes.
func (sc *scenario) allRouters() []*router { return append(slices.Clone(sc.routers), sc.duplicates...) }

// routerOf is the router that a step selects.
func (sc *scenario) routerOf(s Step) *router { return sc.routers[s.Selector%sc.Routers] }

// routersOf are the routers that a step selects by a share of the fleet: at least one, and all of them only if the
// share is 1.
func (sc *scenario) routersOf(s Step, share float64) (out []*router) {
	n := min(max(int(share*float64(sc.Routers)+0.5), 1), max(sc.Routers-1, 1))
	if share >= 1 {
		n = sc.Routers
	}
	for i := range n {
		out = append(out, sc.routers[(s.Selector+i)%sc.Routers])
	}
	return out
}

// forEachLocked calls do for several routers concurrently, holding each one's processMutex, and waits for all.
func forEachLocked(all []*router, do func(r *router)) {
	var wait sync.WaitGroup
	for _, r := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.processMutex.Lock()
			defer r.processMutex.Unlock()
			do(r)
		}()
	}
	wait.Wait()
}

// inject carries out one step of the script and returns when the fault has ended, except for MisbehavingClients.
func (sc *scenario) inject(s Step) {
	sc.fleetMutex.Lock()
	sc.fail(sc.replaceDrained())
	engine := sc.engines[s.Selector%len(sc.engines)]
	sc.fleetMutex.Unlock()
	random := rand.New(rand.NewPCG(sc.Seed, uint64(s.At)))
	switch s.Fault {
	case NameServiceDown, EngineSilent, EngineReplaced, Drain:
		sc.injectEngineFault(s, engine)
	case CutEngine, CutZone, CutOneWay, CutNameService, SlowBytes, PacketLoss:
		sc.injectLinkFault(s, engine)
	case CrashLoop:
		sc.injectEngineFault(Step{Fault: EngineReplaced, Selector: s.Selector}, engine)
		sc.injectFleetFault(s)
	case KillMany, RestartAll, PauseMany, LateStart, DuplicateProcess, OlderBuild:
		sc.injectFleetFault(s)
	case MisbehavingClients:
		go sc.routerOf(s).misbehave(s)
	case SystemCalls, StopAndKill, Signals, IdleFlood:
		sc.injectSoakFault(s)
	default:
		r := sc.routerOf(s)
		r.processMutex.Lock()
		defer r.processMutex.Unlock()
		if !r.down.Load() {
			r.injectProcessFault(s, random)
		}
	}
}

// injectEngineFault makes an engine or a name service fail.
func (sc *scenario) injectEngineFault(s Step, engine *engineServer) {
	sc.fleetMutex.Lock()
	defer sc.fleetMutex.Unlock()
	switch s.Fault {
	case NameServiceDown:
		r := sc.routerOf(s)
		r.names.Close()
		sc.fleetMutex.Unlock()
		time.Sleep(s.Duration)
		// Lock order: processMutex before fleetMutex, because a start reads the name service's address and writes the
		// same file.
		r.processMutex.Lock()
		defer r.processMutex.Unlock()
		sc.fleetMutex.Lock()
		sc.fail(r.moveNameService())
	case EngineSilent:
		engine.Silence(s.Duration)
	case EngineReplaced:
		sc.fail(sc.replaceEngine(engine))
	case Drain:
		sc.fail(sc.drain(engine))
	}
}

// injectProcessFault disturbs one router process. The caller holds its processMutex.
func (r *router) injectProcessFault(s Step, random *rand.Rand) {
	moveNames := func() {
		r.fleetMutex.Lock()
		defer r.fleetMutex.Unlock()
		r.fail(r.moveNameService())
	}
	switch s.Fault {
	case MoveNameService:
		moveNames()
	case Reload:
		r.limits = [2]int{r.MemoryMB + random.IntN(33), r.Descriptors - random.IntN(65)}
		r.fail(r.configure())
		r.reload()
	case Burst:
		for range 2 + s.Selector {
			if random.IntN(2) == 0 {
				moveNames()
			} else {
				r.reload()
			}
			time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
		}
	case Pause:
		r.pause(s.Duration)
	case Restart, ReloadStop:
		r.terminate()
		if s.Fault == ReloadStop {
			for range s.Selector {
				r.reload()
				time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
			}
		}
		r.waitExit()
		r.fail(r.start())
	case Kill:
		r.kill()
		r.fail(r.start())
		r.drainAfterStart(random)
	case ConnectionChurn:
		for range 4 * s.count() {
			if c, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
				c.Close()
			}
		}
	case Throttle:
		r.throttle(4 * s.Duration)
	}
}

// drainAfterStart marks an engine as draining just after a router's start; whether the router notices depends on what
// the name service has reported to it by then.
func (r *router) drainAfterStart(random *rand.Rand) {
	r.fleetMutex.Lock()
	defer r.fleetMutex.Unlock()
	if n := len(r.engines); n > 0 {
		r.fail(r.drain(r.engines[random.IntN(n)]))
	}
}

// misbehave opens connections that send nothing, an incomplete frame or invalid bytes, keeps them for the step's
// duration, and closes them.
func (r *router) misbehave(s Step) {
	var conns []net.Conn
	for i := range 10 * s.count() {
		c, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		c.Write([][]byte{nil, {200, 1, 0, 0, 10}, bytes.Repeat([]byte{255}, 40), standin.EncodeFrame(10, 1, []string{"c", "nobody"}, "x")}[i%4]) //nolint:errcheck
	}
	if r.PeerMessaging {
		r.sendMalformedPackets(s)
	}
	time.Sleep(s.Duration)
	for _, c := range conns {
		c.Close()
	}
}
