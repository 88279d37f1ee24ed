package torture

import (
	"fmt"
	"time"

	"pitchfield/internal/relay"
)

// nameServiceEndpoint is what links call the name service. Each router has its own view of it, so that lists differ as they do where
// it is asked at different times.
const nameServiceEndpoint = "names"

const crashLoopStarts = 3 // in a loop of them

// LinkFault is what lay over links for a while: what came over them then may have been decided long before.
type LinkFault struct {
	Interval
	Affects   func(from, to string) bool
	Condition relay.Weather
}

// applyLinkFault lets a weather lie over links for some time.
func (p *scenario) applyLinkFault(long time.Duration, over func(from, to string) bool, what relay.Weather) {
	if p.fabric == nil {
		return
	}
	from := p.since()
	number := p.fabric.Bring(relay.Front{Over: over, Weather: what})
	time.Sleep(long)
	p.fabric.Lift(number)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.linkFaults = append(p.linkFaults, LinkFault{Interval{from, p.since()}, over, what})
}

// zoneSide tells which parties a cut along zones has on one side: a zone's engines, every second router, and nothing else.
func (p *scenario) zoneSide() func(name string) bool {
	p.fleetMutex.Lock()
	defer p.fleetMutex.Unlock()
	inside := map[string]bool{}
	for _, e := range p.allEngines {
		inside[e.Engine.Name] = e.Zone == zones[1]
	}
	for _, r := range p.allRouters() {
		inside[r.endpoint()] = r.number%2 == 1
	}
	return func(name string) bool { return inside[name] }
}

// injectLinkFault lets something go wrong with links.
func (p *scenario) injectLinkFault(s Step, engine *engineServer) {
	is := func(name string) func(string) bool { return func(other string) bool { return other == name } }
	router, far := p.routerOf(s).endpoint(), engine.Engine.Name
	there, back := relay.Between(is(router), is(far)), relay.Between(is(far), is(router))
	switch s.Fault {
	case CutEngine:
		p.applyLinkFault(s.Duration, func(a, b string) bool { return there(a, b) || back(a, b) }, relay.Weather{Cut: true})
	case CutZone:
		p.applyLinkFault(s.Duration, relay.Around(p.zoneSide()), relay.Weather{Cut: true})
	case CutOneWay:
		if s.Selector%2 == 0 {
			there = back
		}
		p.applyLinkFault(s.Duration, there, relay.Weather{Cut: true})
	case CutNameService:
		p.applyLinkFault(s.Duration, relay.Between(is(nameServiceEndpoint), is(router)), relay.Weather{Cut: true})
	case SlowBytes:
		p.applyLinkFault(s.Duration, relay.Between(is(far), func(string) bool { return true }), relay.Weather{Drip: 4000})
	case PacketLoss:
		p.applyLinkFault(s.Duration, func(string, string) bool { return true },
			relay.Weather{Loss: 0.33, Double: 0.1, Reorder: 0.2, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond})
	}
}

// injectFleetFault lets something go wrong with several processes.
func (p *scenario) injectFleetFault(s Step) {
	again := func(r *router) { p.fail(r.start()) }
	switch s.Fault {
	case KillMany: // a tenth, half, seven in ten, and all: at once. All are back at once too, as after a power cut
		share, away := []float64{0.1, 0.5, 1, 0.7, 1, 1}[s.Selector%6], s.Duration
		if share == 1 {
			away = 0
		}
		forEachLocked(p.routersOf(s, share), func(r *router) {
			if !r.down.Load() {
				r.kill()
				time.Sleep(away)
				again(r)
			}
		})
	case CrashLoop: // what each start forgets is what the ones before had sent to an engine that is still cold
		for range crashLoopStarts {
			time.Sleep(fallTime / (crashLoopStarts + 1))
			forEachLocked(p.routersOf(s, 1), func(r *router) {
				if !r.down.Load() {
					r.kill()
					again(r)
				}
			})
		}
	case RestartAll:
		for _, r := range p.routersOf(s, 1) {
			forEachLocked([]*router{r}, func(r *router) {
				if !r.down.Load() {
					r.terminate()
					r.waitExit()
					again(r)
				}
			})
		}
	case PauseMany:
		long := s.Duration / 2 // what was sent before still counts when they go on; or not, when it is longer than all that lasts
		if s.Selector%5 == 0 {
			long = s.Duration + fallTime
		}
		forEachLocked(p.routersOf(s, []float64{0.5, 1}[s.Selector%2]), func(r *router) {
			if !r.down.Load() {
				r.pause(long)
			}
		})
	case LateStart:
		forEachLocked([]*router{p.routerOf(s)}, func(r *router) {
			if r.down.Load() {
				again(r)
			}
		})
	case DuplicateProcess:
		p.fail(p.runDuplicate(s))
	case OlderBuild:
		forEachLocked([]*router{p.routerOf(s)}, func(r *router) {
			for _, program := range []string{p.OlderProgram, p.Program} {
				if r.down.Load() {
					return
				}
				r.terminate()
				r.waitExit()
				r.program = program
				again(r)
				time.Sleep(s.Duration)
			}
		})
	}
}

// runDuplicate starts a second process under the name and number of one, and ends it in peace later.
func (p *scenario) runDuplicate(s Step) error {
	p.fleetMutex.Lock()
	r, err := p.newRouter(p.routerOf(s).index, p.Program)
	if err == nil {
		if p.PeerMessaging {
			err = r.linkPeers(p.routers)
		}
		p.duplicates = append(p.duplicates, r)
	}
	if err == nil {
		err = p.publishEngines()
	}
	p.fleetMutex.Unlock()
	if err != nil {
		return fmt.Errorf("twin: %w", err)
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
