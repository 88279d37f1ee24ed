package explore

import (
	"fmt"
	"slices"
	"strings"

	"pitchfield/internal/shares"
)

// Kinds of what may happen to routers that divide a whole.
const (
	Tick    uint8 = iota // a step of time passes; whoever runs and is due wakes
	Deliver              // a message comes
	Again                // it comes, and comes once more later
	Use                  // a router sends a unit of work if it may, and else wants it
	Late                 // it looks, may, and stands still before it sends
	Send                 // what stood still goes on: it sends if it still may
	Kill                 // a router ends without a word, and starts again with nothing remembered
	Stop                 // a router stands still,
	Go                   // and goes on
	Leave                // it ends in peace, and starts again
	First                // of what it holds, what it began first ends
	Last                 // and what it began last
	eventKinds
)

var eventNames = [eventKinds]string{"time passes", "is delivered", "is delivered, and will be again", "uses a unit", "looks, and stands still before it sends", "goes on to send", "is killed and starts again",
	"stops", "goes on", "leaves and starts again", "ends what it began first", "ends what it began last"}

// Word tells an event.
func Word(e Event) string {
	switch e.Kind {
	case Tick:
		return eventNames[Tick]
	case Deliver, Again:
		return fmt.Sprintf("message %d %s", e.Of, eventNames[e.Kind])
	}
	return fmt.Sprintf("router %d %s", e.Of, eventNames[e.Kind])
}

// Shares is a small world of routers that divide one whole. Times are seconds.
type Shares struct {
	Routers, Keepers int
	Step             float64 // that passes at once
	Whole            float64 // units; a use takes one
	Window           float64
	Settings         shares.Settings // but for keepers and address
	Kills, Stops     int             // that may happen in all,
	Lates, Doubles   int
	Leaves           int
	InFlight         int       // messages at the most; an older one is lost
	Rates            []float64 // of the routers' clocks; none: all are true
	Settle           float64   // seconds that pass before anything goes wrong, with every message delivered
	Held             bool      // a use lasts until its router ends it, or for a window, in which whoever does it ends it himself
}

type sharesWorld struct {
	Shares
	now    float64
	starts uint64
	all    []*shareRouter
	flight []flying
	uses   []used // units that came to the engine, within the window
}

// used is a unit of work. Of what is held: as long as it lasts.
type used struct {
	at   float64
	by   int
	life uint64 // the start of its router that began it
}

type shareRouter struct {
	number  int
	life    uint64
	purse   *shares.QuotaLease // of what is held
	machine *shares.Machine
	stopped bool
	ended   int       // what it held and has ended while it stood still
	late    []float64 // by when what stands still has to be sent, in its own time
}

type flying struct {
	to      int
	message shares.Message
}

var engine = shares.EngineStart{Engine: 1, StartedAt: 1, Cores: 1}

// New makes a world, settled.
func (s Shares) New() World {
	w := &sharesWorld{Shares: s, now: 1000}
	for i := range s.Routers {
		w.all = append(w.all, &shareRouter{number: i})
		w.start(i)
	}
	for end := w.now + s.Settle; w.now < end; {
		w.Do(Event{Tick, 0})
		for len(w.flight) > 0 {
			w.Do(Event{Deliver, 0})
		}
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (w *sharesWorld) own(i int) float64 {
	if i < len(w.Rates) {
		return 1000 + (w.now-1000)*w.Rates[i]
	}
	return w.now
}

func (w *sharesWorld) start(i int) {
	w.starts++
	s := w.Settings
	s.Listen = address(i)
	for k := range w.Keepers {
		s.Replicas = append(s.Replicas, address(k))
	}
	r := w.all[i]
	r.stopped, r.ended, r.late, r.life = false, 0, nil, w.starts
	r.machine = shares.New(s, shares.ID{Name: fmt.Sprint("n", i), Start: w.starts}, shares.FixedConfig{Total: w.Whole, Window: w.Window, Routers: float64(w.Routers), Index: i, MaxHolders: 16,
		StartedAt: w.own(i)}, w.own(i))
	r.purse = r.machine.QuotaLease(shares.Budget{Key: w.key(), Total: w.Whole, CountedFor: w.Window})
}

func (w *sharesWorld) key() shares.Key {
	if w.Held {
		return shares.NamedKey(shares.Concurrency, "held")
	}
	return shares.ColdStartKey(engine)
}

// room, spend and want are a router's for one unit.
func (w *sharesWorld) room(i int) bool {
	if w.Held {
		return w.all[i].purse.CanSpend(w.own(i), 1)
	}
	return w.all[i].machine.CanSpend(w.own(i), engine, 1)
}

func (w *sharesWorld) spend(i int) {
	if w.Held {
		w.all[i].purse.Spend(w.own(i), 1)
	} else {
		w.all[i].machine.Spend(w.own(i), engine, 1)
	}
}

func (w *sharesWorld) want(i int) {
	if w.Held {
		w.all[i].purse.Request(w.own(i), 1)
	} else {
		w.all[i].machine.Request(w.own(i), engine, 1)
	}
}

// mine tells whether a use is of the present start of a router, which can end it.
func (w *sharesWorld) mine(u used, i int) bool { return u.by == i && u.life == w.all[i].life }

// over ends what has lasted for a window. A router that runs knows it, and one that stands still learns it when it goes on.
func (w *sharesWorld) over() {
	w.uses = slices.DeleteFunc(w.uses, func(u used) bool {
		if u.at > w.now-w.Window {
			return false
		}
		if r := w.all[u.by]; w.Held && w.mine(u, u.by) {
			if r.stopped { // its router finds that out later
				r.ended++
				return true
			}
			r.purse.Release(w.own(u.by), 1)
		}
		return true
	})
}

// end ends a use of a router early.
func (w *sharesWorld) end(i int, last bool) {
	at := -1
	for n, u := range w.uses {
		if w.mine(u, i) && (at < 0 || last) {
			at = n
		}
	}
	w.uses = slices.Delete(w.uses, at, at+1)
	r := w.all[i]
	r.purse.Release(w.own(i), 1)
	r.machine.Wake(w.own(i))
	w.said(r)
}

func (w *sharesWorld) Events() (out []Event) {
	out = append(out, Event{Tick, 0})
	for i := range w.flight {
		out = append(out, Event{Deliver, uint8(i)}) // one that is never delivered is lost
		if w.Doubles > 0 {
			out = append(out, Event{Again, uint8(i)})
		}
	}
	for i, r := range w.all {
		of := func(kind uint8) { out = append(out, Event{kind, uint8(i)}) }
		if r.stopped {
			of(Go)
			continue
		}
		of(Use)
		if w.Lates > 0 {
			of(Late)
		}
		if len(r.late) > 0 {
			of(Send)
		}
		if w.Kills > 0 {
			of(Kill)
		}
		if w.Stops > 0 {
			of(Stop)
		}
		if w.Leaves > 0 {
			of(Leave)
		}
		if w.Held && slices.ContainsFunc(w.uses, func(u used) bool { return w.mine(u, i) }) {
			of(First)
			of(Last)
		}
	}
	return out
}

// Weight has messages come sooner than time passes, and mishaps last.
func (w *sharesWorld) Weight(e Event) int {
	switch e.Kind {
	case Deliver:
		if e.Of == 0 {
			return 24
		}
		return 6
	case Tick, Use:
		return 6
	case Go:
		return 2
	}
	return 1
}

func (w *sharesWorld) Do(e Event) {
	i := int(e.Of)
	switch e.Kind {
	case Tick:
		w.now += w.Step
		w.over()
		for k, r := range w.all {
			if !r.stopped && r.machine.NextWake() <= w.own(k) {
				r.machine.Wake(w.own(k))
				w.said(r)
			}
		}
	case Deliver, Again:
		f := w.flight[i]
		if e.Kind != Again {
			w.flight = slices.Delete(w.flight, i, i+1)
		} else {
			w.Doubles--
		}
		if r := w.all[f.to]; !r.stopped {
			message := f.message
			r.machine.Receive(w.own(f.to), &message)
			w.said(r)
		}
	case Use, Late:
		r := w.all[i]
		if !w.room(i) {
			w.want(i)
			r.machine.Wake(w.own(i))
			w.said(r)
			return
		}
		w.spend(i)
		by := r.machine.SendDeadline()
		if e.Kind == Late {
			w.Lates--
			r.late = append(r.late, by)
		} else {
			w.use(i)
		}
		r.machine.Wake(w.own(i))
		w.said(r)
	case Send:
		r := w.all[i]
		by := r.late[0]
		r.late = r.late[1:]
		if w.own(i) < by {
			w.use(i)
		} else if w.Held { // it never ran
			r.purse.Release(w.own(i), 1)
		}
	case Kill:
		w.Kills--
		w.start(i)
	case First, Last:
		w.end(i, e.Kind == Last)
	case Leave:
		w.Leaves--
		w.all[i].machine.Leave(w.own(i))
		w.said(w.all[i])
		w.start(i)
	case Stop:
		w.Stops--
		w.all[i].stopped = true
	case Go:
		r := w.all[i]
		r.stopped = false
		for ; r.ended > 0; r.ended-- {
			r.purse.Release(w.own(i), 1)
		}
		if r.machine.NextWake() <= w.own(i) {
			r.machine.Wake(w.own(i))
			w.said(r)
		}
	}
}

func (w *sharesWorld) use(i int) { w.uses = append(w.uses, used{w.now, i, w.all[i].life}) }

func (w *sharesWorld) said(r *shareRouter) {
	r.machine.TakeNotes()
	r.machine.GrantsArrived()
	for _, s := range r.machine.TakeOutgoing() {
		for i := range w.all {
			if address(i) == s.Destination {
				w.flight = append(w.flight, flying{i, s.Message})
			}
		}
	}
	if n := len(w.flight) - w.InFlight; n > 0 {
		w.flight = slices.Delete(w.flight, 0, n)
	}
}

func (w *sharesWorld) Print(out *strings.Builder) {
	for i, r := range w.all {
		r.machine.Print(out)
		fmt.Fprint(out, r.stopped, r.ended)
		for _, by := range r.late {
			fmt.Fprintf(out, " %.4g", by-w.own(i))
		}
	}
	for _, f := range w.flight {
		fmt.Fprintf(out, "%d%v", f.to, f.message)
	}
	for _, u := range w.uses {
		fmt.Fprintf(out, " %.4g", u.at-w.now)
		if w.Held {
			fmt.Fprint(out, " ", u.by, w.mine(u, u.by))
		}
	}
	fmt.Fprint(out, w.Kills, w.Stops, w.Lates, w.Doubles, w.Leaves)
}

// Broken: what all may still use without asking, and what came within the window or is still held, is at most the whole. A credit in the hands of a
// router that stands still counts by its own clock, since that is what it will look at.
func (w *sharesWorld) Broken() string {
	sum := float64(len(w.uses))
	for i, r := range w.all {
		sum += r.machine.Available(w.own(i), w.key())
		for _, by := range r.late {
			if w.own(i) < by {
				sum++
			}
		}
	}
	if sum > w.Whole+1e-6 {
		return fmt.Sprintf("%g may be used or came within the window, and the whole is %g", sum, w.Whole)
	}
	return ""
}

// Named is a world with a name.
type Named struct {
	Name string
	Shares
}

// Worlds are those that are explored: an office lasts four steps, a credit two, and a use counts for three and a little.
func Worlds() (out []Named) {
	add := func(name string, edit func(s *Shares)) {
		own := shares.Defaults()
		own.FixedFraction, own.Lease, own.Term, own.RetryInterval, own.IdleTimeout, own.MaxRequestFraction = 0, 0.5, 1, 1, 0.5, 1
		s := Shares{Routers: 2, Keepers: 1, Step: 0.25, Whole: 2, Window: 0.75, Settings: own, InFlight: 4, Settle: 5}
		if edit(&s); s.Keepers > 1 { // what is given is told to them first
			s.InFlight = max(s.InFlight, 8)
		}
		out = append(out, Named{name, s})
	}
	add("one keeper, two kills", func(s *Shares) { s.Kills = 2 })
	add("one keeper, a stop and a late send", func(s *Shares) { s.Stops, s.Lates = 1, 1 })
	add("one keeper, doubles", func(s *Shares) { s.Doubles = 2 })
	add("one keeper, clocks that differ", func(s *Shares) { s.Stops, s.Rates = 1, []float64{1.008, 0.992} })
	add("three keepers, two kills", func(s *Shares) { s.Routers, s.Keepers, s.Kills = 3, 3, 2 })
	add("three keepers, a stop", func(s *Shares) { s.Routers, s.Keepers, s.Stops = 3, 3, 1 })
	add("three keepers, one leaves", func(s *Shares) { s.Routers, s.Keepers, s.Leaves = 3, 3, 1 })
	add("three keepers, many kills", func(s *Shares) { s.Routers, s.Keepers, s.Kills, s.Stops, s.Window = 3, 3, 12, 4, 2 })
	add("three keepers, all of it", func(s *Shares) {
		s.Routers, s.Keepers, s.Kills, s.Stops, s.Lates, s.Doubles, s.Leaves, s.InFlight = 4, 3, 12, 12, 20, 40, 6, 10
		s.Rates = []float64{1.008, 0.992, 1, 1.004}
	})
	held := func(name string, edit func(s *Shares)) {
		add("held, "+name, func(s *Shares) {
			s.Held = true
			edit(s)
		})
	}
	held("two kills", func(s *Shares) { s.Kills = 2 })
	held("a stop and a late send", func(s *Shares) { s.Stops, s.Lates = 1, 1 })
	held("doubles", func(s *Shares) { s.Doubles = 2 })
	held("clocks that differ", func(s *Shares) { s.Stops, s.Rates = 1, []float64{1.008, 0.992} })
	held("three keepers, one leaves", func(s *Shares) { s.Routers, s.Keepers, s.Leaves = 3, 3, 1 })
	held("three keepers, many kills", func(s *Shares) { s.Routers, s.Keepers, s.Kills, s.Stops, s.Window = 3, 3, 12, 4, 2 })
	held("a firm part", func(s *Shares) { s.Whole, s.Kills, s.Settings.FixedFraction = 4, 2, 0.5 })
	held("all of it", func(s *Shares) {
		s.Routers, s.Keepers, s.Kills, s.Stops, s.Lates, s.Doubles, s.Leaves, s.InFlight = 4, 3, 12, 12, 20, 40, 6, 10
		s.Whole, s.Settings.FixedFraction = 6, 0.25
		s.Rates = []float64{1.008, 0.992, 1, 1.004}
	})
	return out
}
