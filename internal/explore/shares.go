package explore

import (
	"fmt"
	"slices"
	"strings"

	"pitchfield/internal/shares"
)

// Kinds of what may happen to routers that divide a whole.
const (
	Tick          uint8 = iota // a step of time passes; whoever runs and is due wakes
	Deliver                    // a message comes
	DeliverTwice               // it comes, and comes once more later
	Use                        // a router sends a unit of work if it may, and else wants it
	DelayedUse                 // it looks, may, and stands still before it sends
	SendDelayed                // what stood still goes on: it sends if it still may
	Kill                       // a router ends without a word, and starts again with nothing remembered
	Pause                      // a router stands still,
	Resume                     // and goes on
	Leave                      // it ends in peace, and starts again
	ReleaseOldest              // of what it holds, what it began first ends
	ReleaseNewest              // and what it began last
	eventKinds
)

var eventNames = [eventKinds]string{"time passes", "is delivered", "is delivered, and will be again", "uses a unit", "looks, and stands still before it sends", "goes on to send", "is killed and starts again",
	"stops", "goes on", "leaves and starts again", "ends what it began first", "ends what it began last"}

// DescribeEvent tells an event.
func DescribeEvent(e Event) string {
	switch e.Kind {
	case Tick:
		return eventNames[Tick]
	case Deliver, DeliverTwice:
		return fmt.Sprintf("message %d %s", e.Target, eventNames[e.Kind])
	}
	return fmt.Sprintf("router %d %s", e.Target, eventNames[e.Kind])
}

// SharesConfig is a small world of routers that divide one whole. Times are seconds.
type SharesConfig struct {
	Routers, Replicas       int
	Step                    float64 // that passes at once
	Total                   float64 // units; a use takes one
	Window                  float64
	Settings                shares.Settings // but for keepers and address
	Kills, Pauses           int             // that may happen in all,
	DelayedUses, Duplicates int
	Leaves                  int
	MaxInFlight             int       // messages at the most; an older one is lost
	ClockRates              []float64 // of the routers' clocks; none: all are true
	SettleTime              float64   // seconds that pass before anything goes wrong, with every message delivered
	Concurrency             bool      // a use lasts until its router ends it, or for a window, in which whoever does it ends it himself
}

type sharesWorld struct {
	SharesConfig
	now          float64
	incarnations uint64
	routers      []*shareRouter
	messages     []inFlightMessage
	uses         []unitUse // units that came to the engine, within the window
}

// unitUse is a unit of work. Of what is held: as long as it lasts.
type unitUse struct {
	at          float64
	router      int
	incarnation uint64 // the start of its router that began it
}

type shareRouter struct {
	number             int
	incarnation        uint64
	lease              *shares.QuotaLease // of what is held
	machine            *shares.Machine
	paused             bool
	expiredWhilePaused int       // what it held and has ended while it stood still
	sendDeadlines      []float64 // by when what stands still has to be sent, in its own time
}

type inFlightMessage struct {
	destination int
	message     shares.Message
}

var engine = shares.EngineStart{Engine: 1, StartedAt: 1, Cores: 1}

// New makes a world, settled.
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

func (w *sharesWorld) localTime(i int) float64 {
	if i < len(w.ClockRates) {
		return 1000 + (w.now-1000)*w.ClockRates[i]
	}
	return w.now
}

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

// canSpend, spend and want are a router's for one unit.
func (w *sharesWorld) canSpend(i int) bool {
	if w.Concurrency {
		return w.routers[i].lease.CanSpend(w.localTime(i), 1)
	}
	return w.routers[i].machine.CanSpend(w.localTime(i), engine, 1)
}

func (w *sharesWorld) spend(i int) {
	if w.Concurrency {
		w.routers[i].lease.Spend(w.localTime(i), 1)
	} else {
		w.routers[i].machine.Spend(w.localTime(i), engine, 1)
	}
}

func (w *sharesWorld) request(i int) {
	if w.Concurrency {
		w.routers[i].lease.Request(w.localTime(i), 1)
	} else {
		w.routers[i].machine.Request(w.localTime(i), engine, 1)
	}
}

// belongsToCurrent tells whether a use is of the present start of a router, which can end it.
func (w *sharesWorld) belongsToCurrent(u unitUse, i int) bool {
	return u.router == i && u.incarnation == w.routers[i].incarnation
}

// expireUses ends what has lasted for a window. A router that runs knows it, and one that stands still learns it when it goes on.
func (w *sharesWorld) expireUses() {
	w.uses = slices.DeleteFunc(w.uses, func(u unitUse) bool {
		if u.at > w.now-w.Window {
			return false
		}
		if r := w.routers[u.router]; w.Concurrency && w.belongsToCurrent(u, u.router) {
			if r.paused { // its router finds that out later
				r.expiredWhilePaused++
				return true
			}
			r.lease.Release(w.localTime(u.router), 1)
		}
		return true
	})
}

// releaseUse ends a use of a router early.
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

func (w *sharesWorld) Events() (out []Event) {
	out = append(out, Event{Tick, 0})
	for i := range w.messages {
		out = append(out, Event{Deliver, uint8(i)}) // one that is never delivered is lost
		if w.Duplicates > 0 {
			out = append(out, Event{DeliverTwice, uint8(i)})
		}
	}
	for i, r := range w.routers {
		of := func(kind uint8) { out = append(out, Event{kind, uint8(i)}) }
		if r.paused {
			of(Resume)
			continue
		}
		of(Use)
		if w.DelayedUses > 0 {
			of(DelayedUse)
		}
		if len(r.sendDeadlines) > 0 {
			of(SendDelayed)
		}
		if w.Kills > 0 {
			of(Kill)
		}
		if w.Pauses > 0 {
			of(Pause)
		}
		if w.Leaves > 0 {
			of(Leave)
		}
		if w.Concurrency && slices.ContainsFunc(w.uses, func(u unitUse) bool { return w.belongsToCurrent(u, i) }) {
			of(ReleaseOldest)
			of(ReleaseNewest)
		}
	}
	return out
}

// Weight has messages come sooner than time passes, and mishaps last.
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
		by := r.machine.SendDeadline()
		if e.Kind == DelayedUse {
			w.DelayedUses--
			r.sendDeadlines = append(r.sendDeadlines, by)
		} else {
			w.recordUse(i)
		}
		r.machine.Wake(w.localTime(i))
		w.collectOutgoing(r)
	case SendDelayed:
		r := w.routers[i]
		by := r.sendDeadlines[0]
		r.sendDeadlines = r.sendDeadlines[1:]
		if w.localTime(i) < by {
			w.recordUse(i)
		} else if w.Concurrency { // it never ran
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

func (w *sharesWorld) recordUse(i int) {
	w.uses = append(w.uses, unitUse{w.now, i, w.routers[i].incarnation})
}

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

func (w *sharesWorld) Print(out *strings.Builder) {
	for i, r := range w.routers {
		r.machine.Print(out)
		fmt.Fprint(out, r.paused, r.expiredWhilePaused)
		for _, by := range r.sendDeadlines {
			fmt.Fprintf(out, " %.4g", by-w.localTime(i))
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

// Violation: what all may still use without asking, and what came within the window or is still held, is at most the whole. A credit in the hands of a
// router that stands still counts by its own clock, since that is what it will look at.
func (w *sharesWorld) Violation() string {
	sum := float64(len(w.uses))
	for i, r := range w.routers {
		sum += r.machine.Available(w.localTime(i), w.budgetKey())
		for _, by := range r.sendDeadlines {
			if w.localTime(i) < by {
				sum++
			}
		}
	}
	if sum > w.Total+1e-6 {
		return fmt.Sprintf("%g may be used or came within the window, and the whole is %g", sum, w.Total)
	}
	return ""
}

// NamedWorld is a world with a name.
type NamedWorld struct {
	Name string
	SharesConfig
}

// Worlds are those that are explored: an office lasts four steps, a credit two, and a use counts for three and a little.
func Worlds() (out []NamedWorld) {
	add := func(name string, edit func(s *SharesConfig)) {
		own := shares.Defaults()
		own.FixedFraction, own.Lease, own.Term, own.RetryInterval, own.IdleTimeout, own.MaxRequestFraction = 0, 0.5, 1, 1, 0.5, 1
		s := SharesConfig{Routers: 2, Replicas: 1, Step: 0.25, Total: 2, Window: 0.75, Settings: own, MaxInFlight: 4, SettleTime: 5}
		if edit(&s); s.Replicas > 1 { // what is given is told to them first
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
	held := func(name string, edit func(s *SharesConfig)) {
		add("held, "+name, func(s *SharesConfig) {
			s.Concurrency = true
			edit(s)
		})
	}
	held("two kills", func(s *SharesConfig) { s.Kills = 2 })
	held("a stop and a late send", func(s *SharesConfig) { s.Pauses, s.DelayedUses = 1, 1 })
	held("doubles", func(s *SharesConfig) { s.Duplicates = 2 })
	held("clocks that differ", func(s *SharesConfig) { s.Pauses, s.ClockRates = 1, []float64{1.008, 0.992} })
	held("three keepers, one leaves", func(s *SharesConfig) { s.Routers, s.Replicas, s.Leaves = 3, 3, 1 })
	held("three keepers, many kills", func(s *SharesConfig) { s.Routers, s.Replicas, s.Kills, s.Pauses, s.Window = 3, 3, 12, 4, 2 })
	held("a firm part", func(s *SharesConfig) { s.Total, s.Kills, s.Settings.FixedFraction = 4, 2, 0.5 })
	held("all of it", func(s *SharesConfig) {
		s.Routers, s.Replicas, s.Kills, s.Pauses, s.DelayedUses, s.Duplicates, s.Leaves, s.MaxInFlight = 4, 3, 12, 12, 20, 40, 6, 10
		s.Total, s.Settings.FixedFraction = 6, 0.25
		s.ClockRates = []float64{1.008, 0.992, 1, 1.004}
	})
	return out
}
