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

// Settings of the platform in a scenario: two zones, of which reports run in the first only; a retry budget; a short
// deduplication window; a long wait of keys after an unknown outcome; small engines that are cold for seconds. Each
// bound is so tight that a router which ignores it exceeds it within seconds.
const (
	cores         = 3.0                    // of an engine
	coldFraction  = 0.35                   // speed of an engine that has just started, relative to its full speed
	fallMultiple  = 2.0                    // a cold engine takes so many times the work within fallTime that it completes in fallTime
	fallTime      = 2 * time.Second        // window of the limit for cold engines
	coldTime      = 6 * time.Second        // after its start
	freeRetries   = 4.0                    // per retryWindow, besides the ratio
	retryRatio    = 0.04                   // retries per batch within retryWindow
	retryWindow   = 4 * time.Second        // of the retry budget
	dedupWindow   = time.Second            // for which an engine remembers a deduplication key
	keySettleTime = time.Second            // that a key waits after an attempt with unknown outcome
	drainGrace    = 250 * time.Millisecond // for dispatches to an engine after the report that it drains
)

// zones are the zones of engines; reports run in the first only.
var zones = []string{"hall", "yard"}

// settings are the platform's settings, with verbs for the number of routers and the router's index.
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

// In every second scenario engines read some of their connections late.
const (
	lateReadOneIn   = 6 // one connection in so many
	minReadDelay    = 50 * time.Millisecond
	maxReadDelay    = 400 * time.Millisecond
	readDelayStream = 1 << 22 // random stream of the delays
)

// readDelays returns a function that draws by how much a connection is read late; nil: none is.
func readDelays(seed uint64) func() time.Duration {
	if seed%2 != 0 {
		return nil
	}
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, readDelayStream))
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		if random.IntN(lateReadOneIn) > 0 {
			return 0
		}
		return minReadDelay + time.Duration(random.Int64N(int64(maxReadDelay-minReadDelay)))
	}
}

// engineServer is a stand-in engine with what the name service reports of it.
type engineServer struct {
	*standin.Server
	Engine
	drainUntil  time.Duration // when its draining ends and it is replaced; 0: it does not drain
	clockOffset time.Duration // by how much the wall clock of its start time is ahead of the routers'
}

// Range of the offsets of engines' wall clocks. A third of the clocks is ahead, a third behind and a third exact.
const (
	minClockStep = time.Second
	maxClockStep = time.Hour
	clockStream  = 1 << 21 // offset of the random streams for clocks, one for each engine
)

// steppedClock draws by how much a wall clock is ahead of another; its logarithm is uniformly distributed.
func steppedClock(random *rand.Rand) time.Duration {
	step := time.Duration(float64(minClockStep) * math.Pow(float64(maxClockStep)/float64(minClockStep), random.Float64()))
	return time.Duration(random.IntN(3)-1) * step
}

// Engine is what the name service reported of an engine.
type Engine struct {
	Name, Zone string
	Started    time.Time // zero: long before the scenario
}

// addEngine starts an engine. If late, the engine reports a start within the scenario, which makes it cold. The caller
// holds fleetMutex.
func (sc *scenario) addEngine(zone string, late bool) error {
	sc.engineCounter++
	e := &engineServer{Engine: Engine{Name: fmt.Sprintf("e-%d", sc.engineCounter), Zone: zone}}
	var err error
	if e.Server, err = standin.NewRESP(e.Engine.Name, sc.host+":0", sc.ledger); err != nil {
		return err
	}
	if late {
		e.Started = time.Now()
		e.clockOffset = steppedClock(rand.New(rand.NewPCG(sc.Seed, clockStream+uint64(sc.engineCounter))))
	}
	sc.engines = append(sc.engines, e)
	sc.allEngines = append(sc.allEngines, e)
	return nil
}

// publishEngines gives each router's name service the current list of engines. The caller holds fleetMutex.
func (sc *scenario) publishEngines() error {
	for _, r := range sc.allRouters() {
		var hosts []standin.Host
		for _, e := range sc.engines {
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

// replaceEngine stops an engine and starts another one of its zone, at another address. The caller holds fleetMutex.
func (sc *scenario) replaceEngine(old *engineServer) error {
	i := slices.Index(sc.engines, old)
	if i < 0 {
		return nil
	}
	sc.engines = slices.Delete(sc.engines, i, i+1)
	err := sc.addEngine(old.Zone, true)
	if err == nil {
		err = sc.publishEngines()
	}
	old.Stop()
	return err
}

// drain marks an engine as draining, provided that another engine of its zone stays. replaceDrained replaces it later.
// The caller holds fleetMutex.
func (sc *scenario) drain(e *engineServer) error {
	for _, other := range sc.engines {
		if other != e && other.Zone == e.Zone && other.drainUntil == 0 && e.drainUntil == 0 {
			e.drainUntil = sc.since() + drainDuration
			return sc.publishEngines()
		}
	}
	return nil
}

// replaceDrained replaces engines that have drained for drainDuration. The caller holds fleetMutex.
func (sc *scenario) replaceDrained() error {
	for _, e := range slices.Clone(sc.engines) {
		if e.drainUntil > 0 && sc.since() > e.drainUntil {
			if err := sc.replaceEngine(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// engineRecords are the checker's records of all engines, by name.
func (sc *scenario) engineRecords() map[string]Engine {
	out := map[string]Engine{}
	for _, e := range sc.allEngines {
		out[e.Engine.Name] = e.Engine
	}
	return out
}
