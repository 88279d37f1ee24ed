package torture

import (
	"fmt"
	"time"

	"pitchfield/internal/relay"
)

// namesParty is what links call the name service. Each router has its own view of it, so that lists differ as they do where
// it is asked at different times.
const namesParty = "names"

const crashes = 3 // in a loop of them

// Weather is what lay over links for a while: what came over them then may have been decided long before.
type Weather struct {
	Still
	Over func(from, to string) bool
	What relay.Weather
}

// bring lets a weather lie over links for some time.
func (p *play) bring(long time.Duration, over func(from, to string) bool, what relay.Weather) {
	if p.fabric == nil {
		return
	}
	from := p.since()
	number := p.fabric.Bring(relay.Front{Over: over, Weather: what})
	time.Sleep(long)
	p.fabric.Lift(number)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.weather = append(p.weather, Weather{Still{from, p.since()}, over, what})
}

// side tells which parties a cut along zones has on one side: a zone's engines, every second router, and nothing else.
func (p *play) side() func(name string) bool {
	p.world.Lock()
	defer p.world.Unlock()
	inside := map[string]bool{}
	for _, e := range p.were {
		inside[e.Engine.Name] = e.Zone == zones[1]
	}
	for _, r := range p.everyone() {
		inside[r.party()] = r.number%2 == 1
	}
	return func(name string) bool { return inside[name] }
}

// cloud lets something go wrong with links.
func (p *play) cloud(s Step, engine *member) {
	is := func(name string) func(string) bool { return func(other string) bool { return other == name } }
	router, far := p.pick(s).party(), engine.Engine.Name
	there, back := relay.Between(is(router), is(far)), relay.Between(is(far), is(router))
	switch s.Fault {
	case CutEngine:
		p.bring(s.For, func(a, b string) bool { return there(a, b) || back(a, b) }, relay.Weather{Cut: true})
	case CutZone:
		p.bring(s.For, relay.Around(p.side()), relay.Weather{Cut: true})
	case CutOneWay:
		if s.Which%2 == 0 {
			there = back
		}
		p.bring(s.For, there, relay.Weather{Cut: true})
	case CutNames:
		p.bring(s.For, relay.Between(is(namesParty), is(router)), relay.Weather{Cut: true})
	case Drip:
		p.bring(s.For, relay.Between(is(far), func(string) bool { return true }), relay.Weather{Drip: 4000})
	case Lossy:
		p.bring(s.For, func(string, string) bool { return true },
			relay.Weather{Loss: 0.33, Double: 0.1, Reorder: 0.2, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond})
	}
}

// shake lets something go wrong with several processes.
func (p *play) shake(s Step) {
	again := func(r *router) { p.failed(r.start()) }
	switch s.Fault {
	case KillMany: // a tenth, half, seven in ten, and all: at once. All are back at once too, as after a power cut
		share, away := []float64{0.1, 0.5, 1, 0.7, 1, 1}[s.Which%6], s.For
		if share == 1 {
			away = 0
		}
		each(p.several(s, share), func(r *router) {
			if !r.down.Load() {
				r.kill()
				time.Sleep(away)
				again(r)
			}
		})
	case CrashLoop: // what each start forgets is what the ones before had sent to an engine that is still cold
		for range crashes {
			time.Sleep(fallTime / (crashes + 1))
			each(p.several(s, 1), func(r *router) {
				if !r.down.Load() {
					r.kill()
					again(r)
				}
			})
		}
	case RestartAll:
		for _, r := range p.several(s, 1) {
			each([]*router{r}, func(r *router) {
				if !r.down.Load() {
					r.term()
					r.wait()
					again(r)
				}
			})
		}
	case FreezeMany:
		long := s.For / 2 // what was sent before still counts when they go on; or not, when it is longer than all that lasts
		if s.Which%5 == 0 {
			long = s.For + fallTime
		}
		each(p.several(s, []float64{0.5, 1}[s.Which%2]), func(r *router) {
			if !r.down.Load() {
				r.freeze(long)
			}
		})
	case Newcomer:
		each([]*router{p.pick(s)}, func(r *router) {
			if r.down.Load() {
				again(r)
			}
		})
	case Twin:
		p.failed(p.twin(s))
	case OtherBuild:
		each([]*router{p.pick(s)}, func(r *router) {
			for _, program := range []string{p.Older, p.Program} {
				if r.down.Load() {
					return
				}
				r.term()
				r.wait()
				r.program = program
				again(r)
				time.Sleep(s.For)
			}
		})
	}
}

// twin starts a second process under the name and number of one, and ends it in peace later.
func (p *play) twin(s Step) error {
	p.world.Lock()
	r, err := p.newRouter(p.pick(s).index, p.Program)
	if err == nil {
		if p.Talk {
			err = r.talkTo(p.routers)
		}
		p.twins = append(p.twins, r)
	}
	if err == nil {
		err = p.list()
	}
	p.world.Unlock()
	if err != nil {
		return fmt.Errorf("twin: %w", err)
	}
	r.busy.Lock()
	defer r.busy.Unlock()
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(2 * s.For)
	r.term()
	r.wait()
	return nil
}
