package torture

import (
	"fmt"
	"time"

	"pitchfield/internal/relay"
)

// nameServiceEndpoint is the name service's name among the ends of links. Each router has its own name service, so that
// lists differ as they do when routers ask at different times.
const nameServiceEndpoint = "names"

const crashLoopStarts = 3 // starts in one CrashLoop

// LinkFault is a fault that affected links for a while. Data that arrived in that time may have been sent long before.
type LinkFault struct {
	Interval
	Affects   func(from, to string) bool
	Condition relay.Condition
}

// applyLinkFault applies a condition to links for some time and records it.
func (sc *scenario) applyLinkFault(duration time.Duration, affects func(from, to string) bool, condition relay.Condition) {
	if sc.fabric == nil {
		return
	}
	from := sc.since()
	number := sc.fabric.AddFault(relay.Fault{Affects: affects, Condition: condition})
	time.Sleep(duration)
	sc.fabric.RemoveFault(number)
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	sc.linkFaults = append(sc.linkFaults, LinkFault{Interval{from, sc.since()}, affects, condition})
}

// zoneSide returns a function that reports which endpoints a cut along zones has on one side: the second zone's engines
// and every second router.
func (sc *scenario) zoneSide() func(name string) bool {
	sc.fleetMutex.Lock()
	defer sc.fleetMutex.Unlock()
	inside := map[string]bool{}
	for _, e := range sc.allEngines {
		inside[e.Engine.Name] = e.Zone == zones[1]
	}
	for _, r := range sc.allRouters() {
		inside[r.endpoint()] = r.number%2 == 1
	}
	return func(name string) bool { return inside[name] }
}

// injectLinkFault makes links fail.
func (sc *scenario) injectLinkFault(s Step, engine *engineServer) {
	is := func(name string) func(string) bool { return func(other string) bool { return other == name } }
	routerName, engineName := sc.routerOf(s).endpoint(), engine.Engine.Name
	toEngine, fromEngine := relay.Between(is(routerName), is(engineName)), relay.Between(is(engineName), is(routerName))
	switch s.Fault {
	case CutEngine:
		sc.applyLinkFault(s.Duration, func(a, b string) bool { return toEngine(a, b) || fromEngine(a, b) }, relay.Condition{Partitioned: true})
	case CutZone:
		sc.applyLinkFault(s.Duration, relay.AcrossBoundary(sc.zoneSide()), relay.Condition{Partitioned: true})
	case CutOneWay:
		if s.Selector%2 == 0 {
			toEngine = fromEngine
		}
		sc.applyLinkFault(s.Duration, toEngine, relay.Condition{Partitioned: true})
	case CutNameService:
		sc.applyLinkFault(s.Duration, relay.Between(is(nameServiceEndpoint), is(routerName)), relay.Condition{Partitioned: true})
	case SlowBytes:
		sc.applyLinkFault(s.Duration, relay.Between(is(engineName), func(string) bool { return true }), relay.Condition{BytesPerSecond: 4000})
	case PacketLoss:
		sc.applyLinkFault(s.Duration, func(string, string) bool { return true },
			relay.Condition{LossRate: 0.33, DuplicateRate: 0.1, ReorderRate: 0.2, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond})
	}
}

// injectFleetFault disturbs several processes.
func (sc *scenario) injectFleetFault(s Step) {
	restart := func(r *router) { sc.fail(r.start()) }
	switch s.Fault {
	case KillMany: // a tenth, half, 0.7 or all of them at once. All are restarted at once as well, as after a power cut
		share, downtime := []float64{0.1, 0.5, 1, 0.7, 1, 1}[s.Selector%6], s.Duration
		if share == 1 {
			downtime = 0
		}
		forEachLocked(sc.routersOf(s, share), func(r *router) {
			if !r.down.Load() {
				r.kill()
				time.Sleep(downtime)
				restart(r)
			}
		})
	case CrashLoop: // each start forgets what the ones before had sent to an engine that is still cold
		for range crashLoopStarts {
			time.Sleep(fallTime / (crashLoopStarts + 1))
			forEachLocked(sc.routersOf(s, 1), func(r *router) {
				if !r.down.Load() {
					r.kill()
					restart(r)
				}
			})
		}
	case RestartAll:
		for _, r := range sc.routersOf(s, 1) {
			forEachLocked([]*router{r}, func(r *router) {
				if !r.down.Load() {
					r.terminate()
					r.waitExit()
					restart(r)
				}
			})
		}
	case PauseMany:
		// Most pauses are shorter than the budgets' windows, so that earlier dispatches still count afterwards. One in
		// five is longer.
		duration := s.Duration / 2
		if s.Selector%5 == 0 {
			duration = s.Duration + fallTime
		}
		forEachLocked(sc.routersOf(s, []float64{0.5, 1}[s.Selector%2]), func(r *router) {
			if !r.down.Load() {
				r.pause(duration)
			}
		})
	case LateStart:
		forEachLocked([]*router{sc.routerOf(s)}, func(r *router) {
			if r.down.Load() {
				restart(r)
			}
		})
	case DuplicateProcess:
		sc.fail(sc.runDuplicate(s))
	case OlderBuild:
		forEachLocked([]*router{sc.routerOf(s)}, func(r *router) {
			for _, program := range []string{sc.OlderProgram, sc.Program} {
				if r.down.Load() {
					return
				}
				r.terminate()
				r.waitExit()
				r.program = program
				restart(r)
				time.Sleep(s.Duration)
			}
		})
	}
}

// runDuplicate runs a second process under the name and number of a router for a while and then stops it gracefully.
func (sc *scenario) runDuplicate(s Step) error {
	sc.fleetMutex.Lock()
	r, err := sc.newRouter(sc.routerOf(s).index, sc.Program)
	if err == nil {
		if sc.PeerMessaging {
			err = r.linkPeers(sc.routers)
		}
		sc.duplicates = append(sc.duplicates, r)
	}
	if err == nil {
		err = sc.publishEngines()
	}
	sc.fleetMutex.Unlock()
	if err != nil {
		return fmt.Errorf("duplicate process: %w", err)
	}
	r.processMutex.Lock()
	defer r.processMutex.Unlock()
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(2 * s.Duration)
	r.terminate()
	r.waitExit()
	return nil
}
