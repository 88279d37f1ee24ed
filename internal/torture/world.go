package torture

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// What the platform tells the router in a play: two zones, of which reports run in the first only; a budget of further
// dispatches; marks that engines remember for a short time; keys that rest for long; small engines that are cold for
// seconds. Each bound is tight enough that a router which does not keep it goes past it within seconds.
const (
	cores         = 3.0
	coldFraction  = 0.35
	fallMultiple  = 2.0
	fallTime      = 2 * time.Second
	coldTime      = 6 * time.Second
	freeRetries   = 4.0
	retryRatio    = 0.04
	retryWindow   = 4 * time.Second
	dedupWindow   = time.Second // in which a mark is remembered
	keySettleTime = time.Second // that a key rests after doubt
	drainGrace    = 250 * time.Millisecond
)

var zones = []string{"hall", "yard"}

var settings = fmt.Sprintf(`{"grades":[
{"name":"lookup","on-time-ms":2000,"deadline-ms":4000,"idempotency":"idempotent","worth":1},
{"name":"report","on-time-ms":4000,"deadline-ms":8000,"idempotency":"idempotent","worth":1,"runs-in":[0]},
{"name":"upload","on-time-ms":3000,"deadline-ms":6000,"idempotency":"deduplicated","group":"all","window-ms":%d,
 "by-arrival":true,"worth":6},
{"name":"once","on-time-ms":3000,"deadline-ms":4000,"idempotency":"at_most_once","worth":1}],
"specifics":{"cores-by-kind":[%g],"memory-by-kind-mb":[16000],"dop":[1,1,1,1]},"dcs":["hall","yard"],"flavors":["std"],
"limits":{"attempts-cap":%d,"cancel":true,"may-probe":true,"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":8,
"retry-after":true,"max-retry-after-ms":500},"prices":{"probe":0.01},
"rules":{"settle-after-doubt-ms":%d,"stop-sending-within-ms":%d,"cold-from":%g,"cold-ms":%d,"fall-multiple":%g,"fall-ms":%d,
"extra-free":%g,"further-ratio":%g,"look-back-ms":%d},
"feedback":{"how":"probe","names":["waiting","x0","x1"]},"balancers":%%d,"index":%%d,"tick-ms":5}`,
	dedupWindow.Milliseconds(), cores, maxDispatches, keySettleTime.Milliseconds(), drainGrace.Milliseconds(), coldFraction, coldTime.Milliseconds(),
	fallMultiple, fallTime.Milliseconds(), freeRetries, retryRatio, retryWindow.Milliseconds())

// Engines read some of their connections late, in every second play.
const (
	lateReadOneIn   = 6
	minReadDelay    = 50 * time.Millisecond
	maxReadDelay    = 400 * time.Millisecond
	readDelayStream = 1 << 22 // of the seed's chances
)

// readDelays draws by how much each connection is read late; nil: none is.
func readDelays(seed uint64) func() time.Duration {
	if seed%2 != 0 {
		return nil
	}
	var mutex sync.Mutex
	chance := rand.New(rand.NewPCG(seed, readDelayStream))
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		if chance.IntN(lateReadOneIn) > 0 {
			return 0
		}
		return minReadDelay + time.Duration(chance.Int64N(int64(maxReadDelay-minReadDelay)))
	}
}

// engineServer is an engine with what the list says of it.
type engineServer struct {
	*standin.Server
	Engine
	drainUntil  time.Duration // until it ends; 0: it does not drain
	clockOffset time.Duration // how far the wall clock that tells its start is ahead of the routers'
}

// Wall clocks are stepped by so much, either way, and a third of them not at all.
const (
	minClockStep = time.Second
	maxClockStep = time.Hour
	clockStream  = 1 << 21 // of the seed's chances, one for each engine
)

// steppedClock draws how far a wall clock is ahead of another, each order of magnitude as likely as the next.
func steppedClock(chance *rand.Rand) time.Duration {
	step := time.Duration(float64(minClockStep) * math.Pow(float64(maxClockStep)/float64(minClockStep), chance.Float64()))
	return time.Duration(chance.IntN(3)-1) * step
}

// Engine is what the list says of one that has been there.
type Engine struct {
	Name, Zone string
	Started    time.Time // zero: long before the play
}

// addEngine starts one; late: within the play, so that it is cold. The fleet is locked.
func (p *scenario) addEngine(zone string, late bool) error {
	p.engineCounter++
	e := &engineServer{Engine: Engine{Name: fmt.Sprintf("e-%d", p.engineCounter), Zone: zone}}
	var err error
	if e.Server, err = standin.NewRESP(e.Engine.Name, p.host+":0", p.ledger); err != nil {
		return err
	}
	if late {
		e.Started = time.Now()
		e.clockOffset = steppedClock(rand.New(rand.NewPCG(p.Seed, clockStream+uint64(p.engineCounter))))
	}
	p.engines = append(p.engines, e)
	p.allEngines = append(p.allEngines, e)
	return nil
}

// publishEngines tells each router's name service of all engines. The fleet is locked.
func (p *scenario) publishEngines() error {
	for _, r := range p.allRouters() {
		var hosts []standin.Host
		for _, e := range p.engines {
			h := e.Host()
			h.Zone, h.Draining = e.Zone, e.drainUntil > 0
			if !e.Started.IsZero() {
				h.Started = e.Started.Add(e.clockOffset).UnixMilli()
			}
			var err error
			if h.Address, err = r.engineAddress(e, h.Address); err != nil {
				return err
			}
			hosts = append(hosts, h)
		}
		r.names.Set(hosts...)
	}
	return nil
}

// replaceEngine ends an engine and puts another in its place, at another address. The fleet is locked.
func (p *scenario) replaceEngine(old *engineServer) error {
	i := slices.Index(p.engines, old)
	if i < 0 {
		return nil
	}
	p.engines = slices.Delete(p.engines, i, i+1)
	err := p.addEngine(old.Zone, true)
	if err == nil {
		err = p.publishEngines()
	}
	old.Stop()
	return err
}

// drain has one engine drain, while another of its zone stays. It ends later, and a new one takes its place. The fleet is
// locked.
func (p *scenario) drain(e *engineServer) error {
	for _, other := range p.engines {
		if other != e && other.Zone == e.Zone && other.drainUntil == 0 && e.drainUntil == 0 {
			e.drainUntil = p.since() + drainDuration
			return p.publishEngines()
		}
	}
	return nil
}

// replaceDrained replaces what has drained for long enough. The fleet is locked.
func (p *scenario) replaceDrained() error {
	for _, e := range slices.Clone(p.engines) {
		if e.drainUntil > 0 && p.since() > e.drainUntil {
			if err := p.replaceEngine(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// engineRecords is what the checker is told of all engines that were there.
func (p *scenario) engineRecords() map[string]Engine {
	out := map[string]Engine{}
	for _, e := range p.allEngines {
		out[e.Engine.Name] = e.Engine
	}
	return out
}
