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
	Program     string        // the router's
	Seed        uint64        // of script, clients and engines
	Long        time.Duration // clients ask for so long
	Clients     int           // at once; 0: 24
	MemoryMB    int           // of the router; 0: 32
	Descriptors int           // 0: 256
	Folder      string        // for configuration and log
	Routers     int           // before the same engines; 0: one, without links that could be cut
	Older       string        // another build of the program, which some of them run for a while; empty: the same one
	Talk        bool          // routers talk to each other, through links of their own,
	Shares      bool          // and divide what a cold engine bears by that
	Firm        float64       // share of it that stays with each
	Limits      bool          // they divide free further dispatches of look-ups and how many reports may be out, too
	Steps       []Step        // in place of those drawn by the seed
	Debug       bool          // routers log every request
	Soak        bool          // system calls fail, and clients use open connections of a router that stops until its kill
}

const (
	engineCount = 4
	drainLong   = 4 * time.Second
	stopWithin  = 12 * time.Second // after SIGTERM; longer than any time limit of the groups
	upWithin    = 20 * time.Second
)

// play is one that goes on.
type play struct {
	Options
	began   time.Time
	host    string        // loopback address that the play has to itself
	fabric  *relay.Fabric // of the links to engines and name services; nil: there are none
	routers []*router
	ledger  *standin.Fleet
	library string // that fails system calls; empty: none do

	world   sync.Mutex // of the next four, and of what names say
	twins   []*router
	engines []*member // there now
	were    []*member // ever
	made    int

	lags []Still // when the machine gave the rig no turn

	mutex    sync.Mutex // of the next four
	failure  error
	weather  []Weather
	batches  []*Batch
	lines    []*line
	ids      atomic.Uint64
	numbers  atomic.Int64   // of connections
	retiring sync.WaitGroup // connections that wait for their last answers
	faults   sync.WaitGroup // that go on
}

var plays atomic.Uint32

func (p *play) since() time.Duration { return time.Since(p.began) }

// failed notes that the rig itself could not do what it wants.
func (p *play) failed(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil && p.failure == nil {
		p.failure = err
	}
}

// Run plays one seed.
func Run(o Options) (*Result, error) {
	o.Clients, o.MemoryMB, o.Descriptors = cmp.Or(o.Clients, 24), cmp.Or(o.MemoryMB, 32), cmp.Or(o.Descriptors, 256)
	o.Routers, o.Older = max(o.Routers, 1), cmp.Or(o.Older, o.Program)
	o.Shares = o.Shares || o.Limits
	o.Talk = o.Talk || o.Shares
	p := &play{Options: o, began: time.Now(), ledger: &standin.Fleet{MarkMemory: window, CancelsOnClose: true, ReportsMemory: true, ReadDelay: lateReads(o.Seed)}}
	p.ledger.Script = p.act
	n := plays.Add(1)
	p.host = fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, n/250%250, 1+n%250)
	steps := o.Steps
	if steps == nil {
		steps = Script(o.Seed, o.Long, o.Routers)
		if o.Soak {
			steps = SoakScript(o.Seed, o.Long, o.Routers)
		}
	}
	if o.Soak {
		var err error
		if p.library, err = syscallfault.Build(o.Folder); err != nil {
			return nil, err
		}
	}
	if o.Routers > 1 {
		p.fabric = relay.New(o.Seed)
		defer p.fabric.Close()
	}
	if err := p.open(steps); err != nil {
		return nil, err
	}
	stopLag, lagged := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(lagged)
		lags, err := p.watchLag(stopLag)
		p.lags = lags
		p.failed(err)
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
			p.do(s)
			continue
		}
		p.faults.Add(1)
		go func() {
			defer p.faults.Done()
			p.do(s)
		}()
	}
	p.faults.Wait()
	clients.Wait()
	p.retiring.Wait()
	if p.fabric != nil {
		p.fabric.Heal()
	}
	close(stopLag)
	<-lagged
	disagreed := p.views()
	r := p.close(steps)
	r.Findings = append(r.Findings, disagreed...)
	return r, p.failure
}

// open puts up engines and routers; those that a step brings later wait for it.
func (p *play) open(steps []Step) error {
	p.world.Lock()
	defer p.world.Unlock()
	for i := range max(engineCount, p.Routers/soakEngines) {
		if err := p.addEngine(zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	for i := range p.Routers {
		r, err := p.newRouter(i, p.Program)
		if err != nil {
			return err
		}
		if p.Talk {
			if err := r.talkTo(p.routers); err != nil {
				return err
			}
		}
		p.routers = append(p.routers, r)
	}
	if err := p.list(); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for _, r := range p.routers {
		if slices.ContainsFunc(steps, func(s Step) bool { return s.Fault == Newcomer && p.pick(s) == r }) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.failed(r.start())
		}()
	}
	wait.Wait()
	return p.failure
}

// close ends all in peace and looks at what has been.
func (p *play) close(steps []Step) *Result {
	var wait sync.WaitGroup
	for _, r := range p.everyone() {
		if r.down.Load() {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.term()
			r.wait()
		}()
	}
	wait.Wait()
	for _, e := range p.engines {
		e.Stop()
	}
	r := &Result{Seed: p.Seed, Steps: steps, Batches: p.batches, Runs: p.ledger.Runs(), Probes: p.ledger.Probes(), Engines: p.fleet(),
		Weather: p.weather, History: map[int][]string{}, Began: p.began, Long: p.Long, Limited: p.Limits, Soaked: p.Soak, Failed: p.failedCalls(), Lags: p.lags}
	for _, one := range p.everyone() {
		one.names.Close()
		one.log.Close()
		r.Routers, r.Logs = append(r.Routers, one.seen()), append(r.Logs, one.logFile())
	}
	for _, l := range p.lines {
		r.History[l.number] = l.history
	}
	r.Findings = append(Check(r), r.violations()...)
	return r
}

// act is what an engine does with a batch. What it takes goes by the batch alone, so that its client can tell it, and what else
// happens by how often its text has come too. A seed always does the same. The work once went by the text and its count: what
// clients told was then true of one in hundreds, the smallest tellings went first, and engines got a third more than was booked.
func (p *play) act(r standin.Run, count int) standin.Step {
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

// everyone is all routers and twins. The fleet is locked, or nothing changes any more.
func (p *play) everyone() []*router { return append(slices.Clone(p.routers), p.twins...) }

// pick is the router that a step means.
func (p *play) pick(s Step) *router { return p.routers[s.Which%p.Routers] }

// several are those that a step means where it means a share of them: at least one, and not all unless it says so.
func (p *play) several(s Step, share float64) (out []*router) {
	n := min(max(int(share*float64(p.Routers)+0.5), 1), max(p.Routers-1, 1))
	if share >= 1 {
		n = p.Routers
	}
	for i := range n {
		out = append(out, p.routers[(s.Which+i)%p.Routers])
	}
	return out
}

// each does the same with several at once, having each to itself, and waits.
func each(all []*router, do func(r *router)) {
	var wait sync.WaitGroup
	for _, r := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.busy.Lock()
			defer r.busy.Unlock()
			do(r)
		}()
	}
	wait.Wait()
}

// do lets one thing go wrong.
func (p *play) do(s Step) {
	p.world.Lock()
	p.failed(p.drained())
	engine := p.engines[s.Which%len(p.engines)]
	p.world.Unlock()
	chance := rand.New(rand.NewPCG(p.Seed, uint64(s.At)))
	switch s.Fault {
	case NamesLost, EngineMute, EngineSwap, Drain:
		p.disturb(s, engine)
	case CutEngine, CutZone, CutOneWay, CutNames, Drip, Lossy:
		p.cloud(s, engine)
	case CrashLoop:
		p.disturb(Step{Fault: EngineSwap, Which: s.Which}, engine)
		p.shake(s)
	case KillMany, RestartAll, FreezeMany, Newcomer, Twin, OtherBuild:
		p.shake(s)
	case Rude:
		go p.pick(s).rude(s)
	case SystemCalls, StopAndKill, Signals, Crowd:
		p.soak(s)
	default:
		r := p.pick(s)
		r.busy.Lock()
		defer r.busy.Unlock()
		if !r.down.Load() {
			r.disturb(s, chance)
		}
	}
}

// disturb lets something go wrong with engines or the list of them.
func (p *play) disturb(s Step, engine *member) {
	p.world.Lock()
	defer p.world.Unlock()
	switch s.Fault {
	case NamesLost:
		r := p.pick(s)
		r.names.Close()
		p.world.Unlock()
		time.Sleep(s.For)
		r.busy.Lock() // before the fleet's, as everywhere: a start reads where the names are, and writes the same file
		defer r.busy.Unlock()
		p.world.Lock()
		p.failed(r.moveNames())
	case EngineMute:
		engine.Silence(s.For)
	case EngineSwap:
		p.failed(p.swap(engine))
	case Drain:
		p.failed(p.drain(engine))
	}
}

// disturb lets something go wrong with one process.
func (r *router) disturb(s Step, chance *rand.Rand) {
	names := func() {
		r.world.Lock()
		defer r.world.Unlock()
		r.failed(r.moveNames())
	}
	switch s.Fault {
	case MoveNames:
		names()
	case Reload:
		r.limits = [2]int{r.MemoryMB + chance.IntN(33), r.Descriptors - chance.IntN(65)}
		r.failed(r.configure())
		r.hangup()
	case Burst:
		for range 2 + s.Which {
			if chance.IntN(2) == 0 {
				names()
			} else {
				r.hangup()
			}
			time.Sleep(time.Duration(chance.IntN(15)) * time.Millisecond)
		}
	case Freeze:
		r.freeze(s.For)
	case Restart, ReloadStop:
		r.term()
		if s.Fault == ReloadStop {
			for range s.Which {
				r.hangup()
				time.Sleep(time.Duration(chance.IntN(10)) * time.Millisecond)
			}
		}
		r.wait()
		r.failed(r.start())
	case Kill:
		r.kill()
		r.failed(r.start())
		r.drainAfterStart(chance)
	case Churn:
		for range 4 * s.few() {
			if c, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
				c.Close()
			}
		}
	case Throttle:
		r.throttle(4 * s.For)
	}
}

// drainAfterStart has an engine drain just after a start: what the router has been told by then decides whether it sees it.
func (r *router) drainAfterStart(chance *rand.Rand) {
	r.world.Lock()
	defer r.world.Unlock()
	if n := len(r.engines); n > 0 {
		r.failed(r.drain(r.engines[chance.IntN(n)]))
	}
}

// rude connects, says nothing or what is no frame, and waits.
func (r *router) rude(s Step) {
	var conns []net.Conn
	for i := range 10 * s.few() {
		c, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		c.Write([][]byte{nil, {200, 1, 0, 0, 10}, bytes.Repeat([]byte{255}, 40), standin.EncodeFrame(10, 1, []string{"c", "nobody"}, "x")}[i%4]) //nolint:errcheck
	}
	if r.Talk {
		r.rubbish(s)
	}
	time.Sleep(s.For)
	for _, c := range conns {
		c.Close()
	}
}
