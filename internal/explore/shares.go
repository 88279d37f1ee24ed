package explore

import (
	"fmt"
	"slices"
	"strings"

	"pitchfield/internal/shares"
)

// Kinds of events in a world of routers that share a quota.
const (
	Tick          uint8 = iota // one step of time passes, and every running router whose wake time has come wakes
	Deliver                    // a message is delivered
	DeliverTwice               // a message is delivered, and its duplicate stays in flight
	Use                        // a router spends a unit and sends its work if it may, and otherwise requests quota
	DelayedUse                 // a router spends a unit if it may, but does not send its work yet, as if its process paused in between
	SendDelayed                // a router sends the work of its oldest delayed use, unless the deadline for it has passed
	Kill                       // a router crashes without notice and restarts with no state
	Pause                      // the process of a router pauses: it neither wakes nor receives messages
	Resume                     // a paused router resumes
	Leave                      // a router shuts down gracefully and restarts
	ReleaseOldest              // the oldest running use of a router ends
	ReleaseNewest              // the newest running use of a router ends
	eventKinds
)

var eventNames = [eventKinds]string{"time passes", "is delivered", "is delivered, and a duplicate stays in flight", "uses a unit", "spends a unit, and is delayed before it sends", "sends its delayed unit unless its deadline has passed", "is killed and restarts",
	"is paused", "resumes", "leaves and restarts", "releases its oldest use", "releases its newest use"}

// DescribeEvent returns an event in words, for DescribeTrace.
func DescribeEvent(e Event) string {
	switch e.Kind {
	case Tick:
		return eventNames[Tick]
	case Deliver, DeliverTwice:
		return fmt.Sprintf("message %d %s", e.Target, eventNames[e.Kind])
	}
	return fmt.Sprintf("router %d %s", e.Target, eventNames[e.Kind])
}

// SharesConfig describes a small world of routers that share one quota. Times are in seconds.
type SharesConfig struct {
	Routers     int
	Replicas    int             // number of routers, the first ones, that replicate the quota records
	Step        float64         // by which a Tick advances the time
	Total       float64         // quota in units; each use takes one
	Window      float64         // for which a use counts
	Settings    shares.Settings // without Replicas and Listen, which the world sets
	Kills       int             // at most this many in one trace, as are the next four
	Pauses      int
	DelayedUses int
	Duplicates  int
	Leaves      int
	MaxInFlight int       // messages in flight at most; beyond that the oldest one is lost
	ClockRates  []float64 // rate of each router's clock; 1, an exact clock, for routers beyond its end
	SettleTime  float64   // that passes without faults, with every message delivered, before the exploration begins
	Concurrency bool      // a use lasts until its router releases it, at most for Window, after which it ends by itself
}

type sharesWorld struct {
	SharesConfig
	now          float64
	incarnations uint64 // number of router starts so far
	routers      []*shareRouter
	messages     []inFlightMessage // oldest first
	uses         []unitUse         // units that reached the engine within the window, oldest first
}

// unitUse is a unit of work that reached the engine. With Concurrency it is kept only while it runs.
type unitUse struct {
	at          float64
	router      int
	incarnation uint64 // incarnation of the router that sent it
}

type shareRouter struct {
	number             int
	incarnation        uint64             // changes with each restart
	lease              *shares.QuotaLease // used with Concurrency
	machine            *shares.Machine
	paused             bool
	expiredWhilePaused int       // number of its uses that ended while it was paused
	sendDeadlines      []float64 // of its delayed uses, oldest first, by its own clock
}

type inFlightMessage struct {
	destination int
	message     shares.Message
}

var engine = shares.EngineStart{Engine: 1, StartedAt: 1, Cores: 1}

// New creates a world and runs it without faults for SettleTime.
func (s SharesConfig) New() World {
	w := &sharesWorld{SharesConfig: s, now: 1000}
	for i := range s.Routers {
		w.routers = append(w.routers, &shareRouter{number: i})
		w.start(i)
	}
	for end := w.now + s.SettleTime; w.now < end; {
		w.Apply(Event{Tick, 0})
		for len(w.messages) > 0 {
			w.Apply(Event{Deliver, 0})
		}
	}
	return w
}

func routerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// localTime returns the time by the clock of a router.
func (w *sharesWorld) localTime(i int) float64 {
	if i < len(w.ClockRates) {
		return 1000 + (w.now-1000)*w.ClockRates[i]
	}
	return w.now
}

// start starts or restarts a router with no state.
func (w *sharesWorld) start(i int) {
	w.incarnations++
	s := w.Settings
	s.Listen = routerAddress(i)
	for k := range w.Replicas {
		s.Replicas = append(s.Replicas, routerAddress(k))
	}
	r := w.routers[i]
	r.paused, r.expiredWhilePaused, r.sendDeadlines, r.incarnation = false, 0, nil, w.incarnations
	r.machine = shares.New(s, shares.ID{Name: fmt.Sprint("n", i), Start: w.incarnations}, shares.FixedConfig{Total: w.Total, Window: w.Window, Routers: float64(w.Routers), Index: i, MaxHolders: 16,
		StartedAt: w.localTime(i)}, w.localTime(i))
	r.lease = r.machine.QuotaLease(shares.Budget{Key: w.budgetKey(), Total: w.Total, CountedFor: w.Window})
}

func (w *sharesWorld) budgetKey() shares.Key {
	if w.Concurrency {
		return shares.NamedKey(shares.Concurrency, "held")
	}
	return shares.ColdStartKey(engine)
}

// canSpend reports whether a router may spend one unit.
func (w *sharesWorld) canSpend(i int) bool {
	if w.Concurrency {
		return w.routers[i].lease.CanSpend(w.localTime(i), 1)
	}
	return w.routers[i].machine.CanSpend(w.localTime(i), engine, 1)
}

// spend spends one unit at a router.
func (w *sharesWorld) spend(i int) {
	if w.Concurrency {
		w.routers[i].lease.Spend(w.localTime(i), 1)
	} else {
		w.routers[i].machine.Spend(w.localTime(i), engine, 1)
	}
}

// request requests quota for one unit at a router.
func (w *sharesWorld) request(i int) {
	if w.Concurrency {
		w.routers[i].lease.Request(w.localTime(i), 1)
	} else {
		w.routers[i].machine.Request(w.localTime(i), engine, 1)
	}
}

// belongsToCurrent reports whether a use was started by the current incarnation of a router, which is the only one that can release it.
func (w *sharesWorld) belongsToCurrent(u unitUse, i int) bool {
	return u.router == i && u.incarnation == w.routers[i].incarnation
}

// expireUses ends the uses that are older than the window. A running router releases them at once, a paused one when it resumes.
func (w *sharesWorld) expireUses() {
	w.uses = slices.DeleteFunc(w.uses, func(u unitUse) bool {
		if u.at > w.now-w.Window {
			return false
		}
		if r := w.routers[u.router]; w.Concurrency && w.belongsToCurrent(u, u.router) {
			if r.paused { // released in Resume
				r.expiredWhilePaused++
				return true
			}
			r.lease.Release(w.localTime(u.router), 1)
		}
		return true
	})
}

// releaseUse ends the oldest or the newest use of a router before its window is over.
func (w *sharesWorld) releaseUse(i int, last bool) {
	at := -1
	for n, u := range w.uses {
		if w.belongsToCurrent(u, i) && (at < 0 || last) {
			at = n
		}
	}
	w.uses = slices.Delete(w.uses, at, at+1)
	r := w.routers[i]
	r.lease.Release(w.localTime(i), 1)
	r.machine.Wake(w.localTime(i))
	w.collectOutgoing(r)
}

// Events returns the possible events. Loss of a message is not one of them: a message that is never delivered is lost.
func (w *sharesWorld) Events() (out []Event) {
	out = append(out, Event{Tick, 0})
	for i := range w.messages {
		out = append(out, Event{Deliver, uint8(i)})
		if w.Duplicates > 0 {
			out = append(out, Event{DeliverTwice, uint8(i)})
		}
	}
	for i, r := range w.routers {
		add := func(kind uint8) { out = append(out, Event{kind, uint8(i)}) }
		if r.paused {
			add(Resume)
			continue
		}
		add(Use)
		if w.DelayedUses > 0 {
			add(DelayedUse)
		}
		if len(r.sendDeadlines) > 0 {
			add(SendDelayed)
		}
		if w.Kills > 0 {
			add(Kill)
		}
		if w.Pauses > 0 {
			add(Pause)
		}
		if w.Leaves > 0 {
			add(Leave)
		}
		if w.Concurrency && slices.ContainsFunc(w.uses, func(u unitUse) bool { return w.belongsToCurrent(u, i) }) {
			add(ReleaseOldest)
			add(ReleaseNewest)
		}
	}
	return out
}

// Weight makes the delivery of messages, above all of the oldest one, more frequent than ticks, and faults the least frequent.
func (w *sharesWorld) Weight(e Event) int {
	switch e.Kind {
	case Deliver:
		if e.Target == 0 {
			return 24
		}
		return 6
	case Tick, Use:
		return 6
	case Resume:
		return 2
	}
	return 1
}

// Apply executes one event.
func (w *sharesWorld) Apply(e Event) {
	i := int(e.Target)
	switch e.Kind {
	case Tick:
		w.now += w.Step
		w.expireUses()
		for k, r := range w.routers {
			if !r.paused && r.machine.NextWake() <= w.localTime(k) {
				r.machine.Wake(w.localTime(k))
				w.collectOutgoing(r)
			}
		}
	case Deliver, DeliverTwice:
		f := w.messages[i]
		if e.Kind != DeliverTwice {
			w.messages = slices.Delete(w.messages, i, i+1)
		} else {
			w.Duplicates--
		}
		if r := w.routers[f.destination]; !r.paused {
			message := f.message
			r.machine.Receive(w.localTime(f.destination), &message)
			w.collectOutgoing(r)
		}
	case Use, DelayedUse:
		r := w.routers[i]
		if !w.canSpend(i) {
			w.request(i)
			r.machine.Wake(w.localTime(i))
			w.collectOutgoing(r)
			return
		}
		w.spend(i)
		deadline := r.machine.SendDeadline()
		if e.Kind == DelayedUse {
			w.DelayedUses--
			r.sendDeadlines = append(r.sendDeadlines, deadline)
		} else {
			w.recordUse(i)
		}
		r.machine.Wake(w.localTime(i))
		w.collectOutgoing(r)
	case SendDelayed:
		r := w.routers[i]
		deadline := r.sendDeadlines[0]
		r.sendDeadlines = r.sendDeadlines[1:]
		if w.localTime(i) < deadline {
			w.recordUse(i)
		} else if w.Concurrency { // the unit was never sent
			r.lease.Release(w.localTime(i), 1)
		}
	case Kill:
		w.Kills--
		w.start(i)
	case ReleaseOldest, ReleaseNewest:
		w.releaseUse(i, e.Kind == ReleaseNewest)
	case Leave:
		w.Leaves--
		w.routers[i].machine.Leave(w.localTime(i))
		w.collectOutgoing(w.routers[i])
		w.start(i)
	case Pause:
		w.Pauses--
		w.routers[i].paused = true
	case Resume:
		r := w.routers[i]
		r.paused = false
		for ; r.expiredWhilePaused > 0; r.expiredWhilePaused-- {
			r.lease.Release(w.localTime(i), 1)
		}
		if r.machine.NextWake() <= w.localTime(i) {
			r.machine.Wake(w.localTime(i))
			w.collectOutgoing(r)
		}
	}
}

// recordUse records a unit that reaches the engine now.
func (w *sharesWorld) recordUse(i int) {
	w.uses = append(w.uses, unitUse{w.now, i, w.routers[i].incarnation})
}

// collectOutgoing puts the messages that a router has sent in flight, and drops the oldest ones beyond MaxInFlight.
func (w *sharesWorld) collectOutgoing(r *shareRouter) {
	r.machine.TakeNotes()
	r.machine.GrantsArrived()
	for _, s := range r.machine.TakeOutgoing() {
		for i := range w.routers {
			if routerAddress(i) == s.Destination {
				w.messages = append(w.messages, inFlightMessage{i, s.Message})
			}
		}
	}
	if n := len(w.messages) - w.MaxInFlight; n > 0 {
		w.messages = slices.Delete(w.messages, 0, n)
	}
}

// Print writes the state, with times relative to now.
func (w *sharesWorld) Print(out *strings.Builder) {
	for i, r := range w.routers {
		r.machine.Print(out)
		fmt.Fprint(out, r.paused, r.expiredWhilePaused)
		for _, deadline := range r.sendDeadlines {
			fmt.Fprintf(out, " %.4g", deadline-w.localTime(i))
		}
	}
	for _, f := range w.messages {
		fmt.Fprintf(out, "%d%v", f.destination, f.message)
	}
	for _, u := range w.uses {
		fmt.Fprintf(out, " %.4g", u.at-w.now)
		if w.Concurrency {
			fmt.Fprint(out, " ", u.router, w.belongsToCurrent(u, u.router))
		}
	}
	fmt.Fprint(out, w.Kills, w.Pauses, w.DelayedUses, w.Duplicates, w.Leaves)
}

// Violation checks that the total is not exceeded by the sum of what all routers may still use without a further grant, and the units
// that were used within the window or, with Concurrency, still run. A grant at a paused router counts until it ends by the clock of
// that router, since that is the clock it will check when it resumes.
func (w *sharesWorld) Violation() string {
	sum := float64(len(w.uses))
	for i, r := range w.routers {
		sum += r.machine.Available(w.localTime(i), w.budgetKey())
		for _, deadline := range r.sendDeadlines {
			if w.localTime(i) < deadline {
				sum++
			}
		}
	}
	if sum > w.Total+1e-6 {
		return fmt.Sprintf("%g units may be used or were used within the window, but the total is %g", sum, w.Total)
	}
	return ""
}

// NamedWorld is the description of a world and its name, which defects.toml and the flag -only refer to.
type NamedWorld struct {
	Name string
	SharesConfig
}

// Worlds returns the worlds that are explored. With a step of 0.25 s a coordinator's term lasts four steps, a grant lasts two, and a
// use counts for a little more than three unless the world sets another window.
func Worlds() (out []NamedWorld) {
	add := func(name string, edit func(s *SharesConfig)) {
		settings := shares.Defaults()
		settings.FixedFraction, settings.Lease, settings.Term, settings.RetryInterval, settings.IdleTimeout, settings.MaxRequestFraction = 0, 0.5, 1, 1, 0.5, 1
		s := SharesConfig{Routers: 2, Replicas: 1, Step: 0.25, Total: 2, Window: 0.75, Settings: settings, MaxInFlight: 4, SettleTime: 5}
		if edit(&s); s.Replicas > 1 { // a grant is replicated before it is given, which takes more messages
			s.MaxInFlight = max(s.MaxInFlight, 8)
		}
		out = append(out, NamedWorld{name, s})
	}
	add("one keeper, two kills", func(s *SharesConfig) { s.Kills = 2 })
	add("one keeper, a stop and a late send", func(s *SharesConfig) { s.Pauses, s.DelayedUses = 1, 1 })
	add("one keeper, doubles", func(s *SharesConfig) { s.Duplicates = 2 })
	add("one keeper, clocks that differ", func(s *SharesConfig) { s.Pauses, s.ClockRates = 1, []float64{1.008, 0.992} })
	add("three keepers, two kills", func(s *SharesConfig) { s.Routers, s.Replicas, s.Kills = 3, 3, 2 })
	add("three keepers, a stop", func(s *SharesConfig) { s.Routers, s.Replicas, s.Pauses = 3, 3, 1 })
	add("three keepers, one leaves", func(s *SharesConfig) { s.Routers, s.Replicas, s.Leaves = 3, 3, 1 })
	add("three keepers, many kills", func(s *SharesConfig) { s.Routers, s.Replicas, s.Kills, s.Pauses, s.Window = 3, 3, 12, 4, 2 })
	add("three keepers, all of it", func(s *SharesConfig) {
		s.Routers, s.Replicas, s.Kills, s.Pauses, s.DelayedUses, s.Duplicates, s.Leaves, s.MaxInFlight = 4, 3, 12, 12, 20, 40, 6, 10
		s.ClockRates = []float64{1.008, 0.992, 1, 1.004}
	})
	concurrency := func(name string, edit func(s *SharesConfig)) {
		add("held, "+name, func(s *SharesConfig) {
			s.Concurrency = true
			edit(s)
		})
	}
	concurrency("two kills", func(s *SharesConfig) { s.Kills = 2 })
	concurrency("a stop and a late send", func(s *SharesConfig) { s.Pauses, s.DelayedUses = 1, 1 })
	concurrency("doubles", func(s *SharesConfig) { s.Duplicates = 2 })
	concurrency("clocks that differ", func(s *SharesConfig) { s.Pauses, s.ClockRates = 1, []float64{1.008, 0.992} })
	concurrency("three keepers, one leaves", func(s *SharesConfig) { s.Routers, s.Replicas, s.Leaves = 3, 3, 1 })
	concurrency("three keepers, many kills", func(s *SharesConfig) { s.Routers, s.Replicas, s.Kills, s.Pauses, s.Window = 3, 3, 12, 4, 2 })
	concurrency("a firm part", func(s *SharesConfig) { s.Total, s.Kills, s.Settings.FixedFraction = 4, 2, 0.5 })
	concurrency("all of it", func(s *SharesConfig) {
		s.Routers, s.Replicas, s.Kills, s.Pauses, s.DelayedUses, s.Duplicates, s.Leaves, s.MaxInFlight = 4, 3, 12, 12, 20, 40, 6, 10
		s.Total, s.Settings.FixedFraction = 6, 0.25
		s.ClockRates = []float64{1.008, 0.992, 1, 1.004}
	})
	return out
}
