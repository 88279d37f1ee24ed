// Package explore is a small model checker. It runs the state machines of production code, a few of them with a few messages between
// them, through every possible order of events, breadth first, and checks in each state that the invariant of the world holds. States
// that print the same text count as one and are checked once. A state is stored as the trace of events that leads to it and is
// replayed from the start when it is expanded, so the machines need no copy operation.
//
// The verification is bounded by the size of the world, the events that it allows, the depth and the number of states. Result reports
// how far it got.
package explore

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
)

// World is the system that is explored. A new one is created for each trace that is replayed, and it has to be deterministic.
type World interface {
	// Events returns the events that are possible now, in a fixed order. After the same trace an event always has the same meaning.
	Events() []Event
	// Apply executes one event.
	Apply(e Event)
	// Print writes the state. States whose further behaviour is the same have to print the same text, and all others different ones.
	Print(out *strings.Builder)
	// Violation describes the invariant that does not hold, and is empty if all hold.
	Violation() string
}

// Event is one event: its kind, and the index of the router or message that it concerns.
type Event struct {
	Kind   uint8
	Target uint8
}

// Result is the outcome of an exploration or of random walks.
type Result struct {
	States    int     // number of distinct states
	Steps     int     // number of events that were tried
	Depth     int     // number of events up to which every order was tried
	Exhausted bool    // all reachable states were visited
	Violation string  // empty: none was found
	Trace     []Event // leads to the violation: the shortest one from Explore, a shortened one from RandomWalks
	Frontier  int     // number of states at the last depth, which were not expanded
}

// Explore visits all states that are reachable in at most depth events, breadth first, and stops at the first violation or once it
// has seen maxStates states.
func Explore(newWorld func() World, depth, maxStates int) (result Result) {
	stateHash := func(w World) uint64 {
		var text strings.Builder
		w.Print(&text)
		h := fnv.New64a()
		h.Write([]byte(text.String())) //nolint:errcheck
		return h.Sum64()
	}
	replay := func(trace []Event) World {
		w := newWorld()
		for _, e := range trace {
			w.Apply(e)
		}
		return w
	}
	initial := newWorld()
	if result.Violation = initial.Violation(); result.Violation != "" {
		return result
	}
	seen := map[uint64]struct{}{stateHash(initial): {}}
	frontier := [][]Event{nil}
	for result.Depth < depth && len(frontier) > 0 {
		var next [][]Event
		for _, trace := range frontier {
			for _, e := range replay(trace).Events() {
				w := replay(trace)
				w.Apply(e)
				result.Steps++
				if violation := w.Violation(); violation != "" {
					result.Violation, result.Trace, result.States = violation, append(slices.Clone(trace), e), len(seen)
					return result
				}
				hash := stateHash(w)
				if _, known := seen[hash]; known {
					continue
				}
				seen[hash] = struct{}{}
				next = append(next, append(trace[:len(trace):len(trace)], e))
				if len(seen) >= maxStates {
					result.States, result.Frontier = len(seen), len(next)
					return result
				}
			}
		}
		frontier = next
		result.Depth++
	}
	result.States, result.Exhausted, result.Frontier = len(seen), len(frontier) == 0, len(frontier)
	return result
}

// RandomWalks applies random events from the initial state, for worlds that are too large to explore in full: the given number of
// walks with the given number of steps each. It stops at the first violation, whose trace is shortened by leaving out events as long
// as a violation still occurs. The same seed gives the same walks.
func RandomWalks(newWorld func() World, seed uint64, walks, steps int) (result Result) {
	for n := range walks {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		w, trace := newWorld(), []Event(nil)
		for range steps {
			e := drawEvent(w, rng)
			w.Apply(e)
			trace = append(trace, e)
			result.Steps++
			if result.Violation = w.Violation(); result.Violation != "" {
				result.Trace = shortenTrace(newWorld, trace)
				return result
			}
		}
	}
	return result
}

// Weighted is a world in which random walks draw some events more often than others. With equal weights most messages are lost and
// faults are as frequent as the passing of time, so a sequence that takes ten messages never completes.
type Weighted interface{ Weight(e Event) int }

func drawEvent(w World, rng *rand.Rand) Event {
	events := w.Events()
	weights, weighted := w.(Weighted)
	if !weighted {
		return events[rng.IntN(len(events))]
	}
	sum := 0
	for _, e := range events {
		sum += weights.Weight(e)
	}
	remaining := rng.IntN(sum)
	for _, e := range events {
		if remaining -= weights.Weight(e); remaining < 0 {
			return e
		}
	}
	return events[0]
}

// shortenTrace removes events that the violation does not need. An event that is no longer possible is skipped.
func shortenTrace(newWorld func() World, trace []Event) []Event {
	violates := func(trace []Event) bool {
		w := newWorld()
		for _, e := range trace {
			if slices.Contains(w.Events(), e) {
				w.Apply(e)
			}
			if w.Violation() != "" {
				return true
			}
		}
		return false
	}
	for size := len(trace) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(trace); {
			if shorter := slices.Delete(slices.Clone(trace), i, i+size); violates(shorter) {
				trace = shorter
			} else {
				i++
			}
		}
	}
	return trace
}

// DescribeTrace replays a trace and returns its events as numbered lines, followed by the violation. Events that are not possible are
// left out.
func DescribeTrace(newWorld func() World, trace []Event, describe func(e Event) string) string {
	var out strings.Builder
	w := newWorld()
	for i, e := range trace {
		if slices.Contains(w.Events(), e) {
			fmt.Fprintf(&out, "%d. %s\n", i+1, describe(e))
			w.Apply(e)
		}
	}
	fmt.Fprintf(&out, "then: %s", w.Violation())
	return out.String()
}
