// Package explore takes the very state machines that run, a few of them with a few messages between them, through every order of
// what may happen, breadth first, and looks at each state whether what must hold does. States that print alike are looked at once.
// A state is kept as the way to it and played again from the start when it is gone on from: the machines need no copy.
//
// What is proved by it is bounded: the world's size, the events allowed, the depth. The bounds are told with the counts.
package explore

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
)

// World is what is explored. A fresh one is made for each way that is played.
type World interface {
	// Events are what may happen now, in one order; each has the same meaning wherever the same way leads.
	Events() []Event
	// Do lets one happen.
	Apply(e Event)
	// Print writes the state; what behaves the same from now on has to print the same.
	Print(out *strings.Builder)
	// Broken says what does not hold; empty: all does.
	Violation() string
}

// Event is one thing that happens: its kind, and to whom or with which message.
type Event struct {
	Kind   uint8
	Target uint8
}

// Result is what an exploration came to.
type Result struct {
	States    int
	Steps     int  // events that were tried
	Depth     int  // that was reached in full
	Exhausted bool // nothing was left to go on from
	Violation string
	Trace     []Event // the shortest to what is broken
	Frontier  int     // states at the last depth
}

// Explore goes through all that may happen, so deep and over so many states at the most.
func Explore(fresh func() World, depth, states int) (f Result) {
	key := func(w World) uint64 {
		var text strings.Builder
		w.Print(&text)
		h := fnv.New64a()
		h.Write([]byte(text.String())) //nolint:errcheck
		return h.Sum64()
	}
	play := func(way []Event) World {
		w := fresh()
		for _, e := range way {
			w.Apply(e)
		}
		return w
	}
	first := fresh()
	if f.Violation = first.Violation(); f.Violation != "" {
		return f
	}
	seen := map[uint64]struct{}{key(first): {}}
	edge := [][]Event{nil}
	for f.Depth < depth && len(edge) > 0 {
		var next [][]Event
		for _, way := range edge {
			for _, e := range play(way).Events() {
				w := play(way)
				w.Apply(e)
				f.Steps++
				if broken := w.Violation(); broken != "" {
					f.Violation, f.Trace, f.States = broken, append(slices.Clone(way), e), len(seen)
					return f
				}
				k := key(w)
				if _, known := seen[k]; known {
					continue
				}
				seen[k] = struct{}{}
				next = append(next, append(way[:len(way):len(way)], e))
				if len(seen) >= states {
					f.States, f.Frontier = len(seen), len(next)
					return f
				}
			}
		}
		edge = next
		f.Depth++
	}
	f.States, f.Exhausted, f.Frontier = len(seen), len(edge) == 0, len(edge)
	return f
}

// RandomWalks goes on at random from the start, so many steps in each of so many walks, for worlds that are beyond going through all of
// them. What breaks is made as short as leaving steps out makes it.
func RandomWalks(fresh func() World, seed uint64, walks, steps int) (f Result) {
	for n := range walks {
		chance := rand.New(rand.NewPCG(seed, uint64(n)))
		w, way := fresh(), []Event(nil)
		for range steps {
			e := drawEvent(w, chance)
			w.Apply(e)
			way = append(way, e)
			f.Steps++
			if f.Violation = w.Violation(); f.Violation != "" {
				f.Trace = shortenTrace(fresh, way)
				return f
			}
		}
	}
	return f
}

// Weighted is a world of which some events come more often in walks: where most messages are lost and mishaps are as frequent as
// time, nothing that takes ten messages ever happens.
type Weighted interface{ Weight(e Event) int }

func drawEvent(w World, chance *rand.Rand) Event {
	events := w.Events()
	by, weighted := w.(Weighted)
	if !weighted {
		return events[chance.IntN(len(events))]
	}
	sum := 0
	for _, e := range events {
		sum += by.Weight(e)
	}
	at := chance.IntN(sum)
	for _, e := range events {
		if at -= by.Weight(e); at < 0 {
			return e
		}
	}
	return events[0]
}

// shortenTrace leaves out what a break does not need. A step that can't happen any more is passed over.
func shortenTrace(fresh func() World, way []Event) []Event {
	breaks := func(way []Event) bool {
		w := fresh()
		for _, e := range way {
			if slices.Contains(w.Events(), e) {
				w.Apply(e)
			}
			if w.Violation() != "" {
				return true
			}
		}
		return false
	}
	for size := len(way) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(way); {
			if less := slices.Delete(slices.Clone(way), i, i+size); breaks(less) {
				way = less
			} else {
				i++
			}
		}
	}
	return way
}

// DescribeTrace tells a way in words.
func DescribeTrace(fresh func() World, way []Event, word func(e Event) string) string {
	var out strings.Builder
	w := fresh()
	for i, e := range way {
		if slices.Contains(w.Events(), e) {
			fmt.Fprintf(&out, "%d. %s\n", i+1, word(e))
			w.Apply(e)
		}
	}
	fmt.Fprintf(&out, "then: %s", w.Violation())
	return out.String()
}
