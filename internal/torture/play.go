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

// Options say how a play goes.
type Options struct {
	Program       string        // the router's
	Seed          uint64        // of script, clients and engines
	Duration      time.Duration // clients ask for so long
	Clients       int           // at once; 0: 24
	MemoryMB      int           // of the router; 0: 32
	Descriptors   int           // 0: 256
	Folder        string        // for configuration and log
	Routers       int           // before the same engines; 0: one, without links that could be cut
	OlderProgram  string        // another build of the program, which some of them run for a while; empty: the same one
	PeerMessaging bool          // routers talk to each other, through links of their own,
	QuotaShares   bool          // and divide what a cold engine bears by that
	FirmShare     float64       // share of it that stays with each
	SharedLimits  bool          // they divide free further dispatches of look-ups and how many reports may be out, too
	Steps         []Step        // in place of those drawn by the seed
	Debug         bool          // routers log every request
	Soak          bool          // system calls fail, and clients use open connections of a router that stops until its kill
}

const (
	minEngines    = 4
	drainDuration = 4 * time.Second
	stopTimeout   = 12 * time.Second // after SIGTERM; longer than any time limit of the groups
	readyTimeout  = 20 * time.Second
)

// scenario is one that goes on.
type scenario struct {
	Options
	began        time.Time
	host         string        // loopback address that the play has to itself
	fabric       *relay.Fabric // of the links to engines and name services; nil: there are none
	routers      []*router
	ledger       *standin.Fleet
	faultLibrary string // that fails system calls; empty: none do

	fleetMutex    sync.Mutex // of the next four, and of what names say
	duplicates    []*router
	engines       []*engineServer // there now
	allEngines    []*engineServer // ever
	engineCounter int

	stalls []Interval // when the machine gave the rig no turn

	mutex             sync.Mutex // of the next four
	failure           error
	linkFaults        []LinkFault
	batches           []*Batch
	connections       []*clientConnection
	batchCounter      atomic.Uint64
	connectionCounter atomic.Int64   // of connections
	closing           sync.WaitGroup // connections that wait for their last answers
	activeFaults      sync.WaitGroup // that go on
}

var scenarioCount atomic.Uint32

func (p *scenario) since() time.Duration { return time.Since(p.began) }

// fail notes that the rig itself could not do what it wants.
func (p *scenario) fail(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil && p.failure == nil {
		p.failure = err
	}
}

// Run plays one seed.
func Run(o Options) (*Result, error) {
	o.Clients, o.MemoryMB, o.Descriptors = cmp.Or(o.Clients, 24), cmp.Or(o.MemoryMB, 32), cmp.Or(o.Descriptors, 256)
	o.Routers, o.OlderProgram = max(o.Routers, 1), cmp.Or(o.OlderProgram, o.Program)
	o.QuotaShares = o.QuotaShares || o.SharedLimits
	o.PeerMessaging = o.PeerMessaging || o.QuotaShares
	p := &scenario{Options: o, began: time.Now(), ledger: &standin.Fleet{MarkMemory: dedupWindow, CancelsOnClose: true, ReportsMemory: true, ReadDelay: readDelays(o.Seed)}}
	p.ledger.Script = p.action
	n := scenarioCount.Add(1)
	p.host = fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, n/250%250, 1+n%250)
	steps := o.Steps
	if steps == nil {
		steps = Script(o.Seed, o.Duration, o.Routers)
		if o.Soak {
			steps = SoakScript(o.Seed, o.Duration, o.Routers)
		}
	}
	if o.Soak {
		var err error
		if p.faultLibrary, err = syscallfault.Build(o.Folder); err != nil {
			return nil, err
		}
	}
	if o.Routers > 1 {
		p.fabric = relay.New(o.Seed)
		defer p.fabric.Close()
	}
	if err := p.startFleet(steps); err != nil {
		return nil, err
	}
	stopLag, lagged := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(lagged)
		lags, err := p.watchStalls(stopLag)
		p.stalls = lags
		p.fail(err)
	}()
	var clients sync.WaitGroup
	for i := range o.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			p.client(rand.New(rand.NewPCG(o.Seed, uint64(100+i))))
		}()
	}
	for _, s := range steps {
		time.Sleep(time.Until(p.began.Add(s.At)))
		if o.Routers == 1 { // in turn: there is one process for all of them
			p.inject(s)
			continue
		}
		p.activeFaults.Add(1)
		go func() {
			defer p.activeFaults.Done()
			p.inject(s)
		}()
	}
	p.activeFaults.Wait()
	clients.Wait()
	p.closing.Wait()
	if p.fabric != nil {
		p.fabric.Heal()
	}
	close(stopLag)
	<-lagged
	disagreed := p.checkAgreement()
	r := p.stopFleet(steps)
	r.Findings = append(r.Findings, disagreed...)
	return r, p.failure
}

// startFleet puts up engines and routers; those that a step brings later wait for it.
func (p *scenario) startFleet(steps []Step) error {
	p.fleetMutex.Lock()
	defer p.fleetMutex.Unlock()
	for i := range max(minEngines, p.Routers/routersPerEngine) {
		if err := p.addEngine(zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	for i := range p.Routers {
		r, err := p.newRouter(i, p.Program)
		if err != nil {
			return err
		}
		if p.PeerMessaging {
			if err := r.linkPeers(p.routers); err != nil {
				return err
			}
		}
		p.routers = append(p.routers, r)
	}
	if err := p.publishEngines(); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for _, r := range p.routers {
		if slices.ContainsFunc(steps, func(s Step) bool { return s.Fault == LateStart && p.routerOf(s) == r }) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.fail(r.start())
		}()
	}
	wait.Wait()
	return p.failure
}

// stopFleet ends all in peace and looks at what has been.
func (p *scenario) stopFleet(steps []Step) *Result {
	var wait sync.WaitGroup
	for _, r := range p.allRouters() {
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
	for _, e := range p.engines {
		e.Stop()
	}
	r := &Result{Seed: p.Seed, Steps: steps, Batches: p.batches, Runs: p.ledger.Runs(), Probes: p.ledger.Probes(), Engines: p.engineRecords(),
		LinkFaults: p.linkFaults, History: map[int][]string{}, Began: p.began, Duration: p.Duration, SharedLimits: p.SharedLimits, Soak: p.Soak, FailedCalls: p.failedCalls(), RigStalls: p.stalls}
	for _, one := range p.allRouters() {
		one.names.Close()
		one.log.Close()
		r.Routers, r.Logs = append(r.Routers, one.record()), append(r.Logs, one.logFile())
	}
	for _, l := range p.connections {
		r.History[l.number] = l.history
	}
	r.Findings = append(Check(r), r.invariantViolations()...)
	return r
}

// action is what an engine does with a batch. What it takes goes by the batch alone, so that its client can tell it, and what else
// happens by how often its text has come too. A seed always does the same. The work once went by the text and its count: what
// clients told was then true of one in hundreds, the smallest tellings went first, and engines got a third more than was booked.
func (p *scenario) action(r standin.Run, count int) standin.Step {
	h := fnv.New64a()
	h.Write([]byte(cmp.Or(r.ID, r.Text))) //nolint:errcheck
	work := rand.New(rand.NewPCG(p.Seed^h.Sum64(), 0))
	a := standin.Step{After: time.Duration(5+work.IntN(120)) * time.Millisecond, Rows: rowsOf(r.Text)}
	if work.IntN(40) == 0 {
		a.After = time.Duration(300+work.IntN(300)) * time.Millisecond
	}
	chance := rand.New(rand.NewPCG(p.Seed^h.Sum64(), uint64(1+count)))
	if chance.IntN(25) == 0 {
		a.Action = []standin.Action{standin.Reject, standin.Fail, standin.CloseUnanswered, standin.CloseMidAnswer, standin.SilenceConnection, standin.HalfAnswer,
			standin.SendGarbage, standin.InvalidLength}[chance.IntN(8)]
	}
	return a
}

func rowsOf(text string) (n int) {
	fmt.Sscanf(text, "SELECT %d", &n) //nolint:errcheck
	return n
}

// allRouters is all routers and twins. The fleet is locked, or nothing changes any more.
func (p *scenario) allRouters() []*router { return append(slices.Clone(p.routers), p.duplicates...) }

// routerOf is the router that a step means.
func (p *scenario) routerOf(s Step) *router { return p.routers[s.Selector%p.Routers] }

// routersOf are those that a step means where it means a share of them: at least one, and not all unless it says so.
func (p *scenario) routersOf(s Step, share float64) (out []*router) {
	n := min(max(int(share*float64(p.Routers)+0.5), 1), max(p.Routers-1, 1))
	if share >= 1 {
		n = p.Routers
	}
	for i := range n {
		out = append(out, p.routers[(s.Selector+i)%p.Routers])
	}
	return out
}

// forEachLocked does the same with several at once, having each to itself, and waits.
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

// inject lets one thing go wrong.
func (p *scenario) inject(s Step) {
	p.fleetMutex.Lock()
	p.fail(p.replaceDrained())
	engine := p.engines[s.Selector%len(p.engines)]
	p.fleetMutex.Unlock()
	chance := rand.New(rand.NewPCG(p.Seed, uint64(s.At)))
	switch s.Fault {
	case NameServiceDown, EngineSilent, EngineReplaced, Drain:
		p.injectEngineFault(s, engine)
	case CutEngine, CutZone, CutOneWay, CutNameService, SlowBytes, PacketLoss:
		p.injectLinkFault(s, engine)
	case CrashLoop:
		p.injectEngineFault(Step{Fault: EngineReplaced, Selector: s.Selector}, engine)
		p.injectFleetFault(s)
	case KillMany, RestartAll, PauseMany, LateStart, DuplicateProcess, OlderBuild:
		p.injectFleetFault(s)
	case MisbehavingClients:
		go p.routerOf(s).misbehave(s)
	case SystemCalls, StopAndKill, Signals, IdleFlood:
		p.injectSoakFault(s)
	default:
		r := p.routerOf(s)
		r.processMutex.Lock()
		defer r.processMutex.Unlock()
		if !r.down.Load() {
			r.injectProcessFault(s, chance)
		}
	}
}

// injectEngineFault lets something go wrong with engines or the list of them.
func (p *scenario) injectEngineFault(s Step, engine *engineServer) {
	p.fleetMutex.Lock()
	defer p.fleetMutex.Unlock()
	switch s.Fault {
	case NameServiceDown:
		r := p.routerOf(s)
		r.names.Close()
		p.fleetMutex.Unlock()
		time.Sleep(s.Duration)
		r.processMutex.Lock() // before the fleet's, as everywhere: a start reads where the names are, and writes the same file
		defer r.processMutex.Unlock()
		p.fleetMutex.Lock()
		p.fail(r.moveNameService())
	case EngineSilent:
		engine.Silence(s.Duration)
	case EngineReplaced:
		p.fail(p.replaceEngine(engine))
	case Drain:
		p.fail(p.drain(engine))
	}
}

// injectProcessFault lets something go wrong with one process.
func (r *router) injectProcessFault(s Step, chance *rand.Rand) {
	names := func() {
		r.fleetMutex.Lock()
		defer r.fleetMutex.Unlock()
		r.fail(r.moveNameService())
	}
	switch s.Fault {
	case MoveNameService:
		names()
	case Reload:
		r.limits = [2]int{r.MemoryMB + chance.IntN(33), r.Descriptors - chance.IntN(65)}
		r.fail(r.configure())
		r.reload()
	case Burst:
		for range 2 + s.Selector {
			if chance.IntN(2) == 0 {
				names()
			} else {
				r.reload()
			}
			time.Sleep(time.Duration(chance.IntN(15)) * time.Millisecond)
		}
	case Pause:
		r.pause(s.Duration)
	case Restart, ReloadStop:
		r.terminate()
		if s.Fault == ReloadStop {
			for range s.Selector {
				r.reload()
				time.Sleep(time.Duration(chance.IntN(10)) * time.Millisecond)
			}
		}
		r.waitExit()
		r.fail(r.start())
	case Kill:
		r.kill()
		r.fail(r.start())
		r.drainAfterStart(chance)
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

// drainAfterStart has an engine drain just after a start: what the router has been told by then decides whether it sees it.
func (r *router) drainAfterStart(chance *rand.Rand) {
	r.fleetMutex.Lock()
	defer r.fleetMutex.Unlock()
	if n := len(r.engines); n > 0 {
		r.fail(r.drain(r.engines[chance.IntN(n)]))
	}
}

// misbehave connects, says nothing or what is no frame, and waits.
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
