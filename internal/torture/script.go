// Package torture puts the real program between stand-ins of ours and lets things go wrong at random, by a seed: reloads
// that move the name service, restarts, kills, standstills, engines that break, clients that misbehave. A checker on both
// sides of the program says what became of each batch; it reads nothing of the router's own books.
package torture

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one thing that goes wrong.
type Fault uint8

// The faults of a script.
const (
	MoveNames  Fault = iota // SIGHUP with the name service at another address; the old one falls silent
	Reload                  // SIGHUP with other limits
	Burst                   // several of both, milliseconds apart
	Freeze                  // SIGSTOP of the router for a while
	Restart                 // SIGTERM, and a start under the same address once it has ended
	Kill                    // SIGKILL, and a start, after which an engine drains
	ReloadStop              // SIGHUP amid SIGTERM
	NamesLost               // no answer from the name service for a while
	EngineMute              // an engine says nothing for a while
	EngineSwap              // an engine ends, another takes its place at another address
	Drain                   // the list says that an engine drains; seconds later another takes its place
	Churn                   // all clients of a while come on new connections
	Throttle                // the router gets a quarter of each tenth of a second, as under a limit on its processor
	Rude                    // connections that say nothing, half frames, rubbish

	// Those of a fleet: several routers before the same engines, with links between all of them.
	KillMany   // SIGKILL of several at once, and a start of each some time later, with nothing remembered
	RestartAll // SIGTERM and a start, one after the other
	FreezeMany // SIGSTOP of several, or of all
	Newcomer   // one starts late
	Twin       // a second process under the name and number of one, for a while
	OtherBuild // one is restarted with the other build of the program, and later with its own
	CrashLoop  // an engine is replaced, and all are killed and started again three times within a fall time
	CutEngine  // nothing passes between a router and an engine
	CutZone    // nor between the half of the routers and a zone, and the others
	CutOneWay  // nothing comes back from an engine, or nothing goes there
	CutNames   // one hears nothing of the name service
	Drip       // an engine's bytes come to some routers in drops
	Lossy      // datagrams are lost, doubled and late; streams are late
	faults
)

var faultNames = []string{"move names", "reload", "burst of reloads", "freeze", "restart", "kill", "reload amid stop", "names lost",
	"engine mute", "engine swap", "drain", "churn", "throttle", "rude clients", "kill many", "restart all", "freeze many", "newcomer", "twin",
	"other build", "crash loop", "cut from an engine", "cut along zones", "cut one way", "cut from the name service", "drip", "lossy"}

func (f Fault) String() string {
	if f >= faults {
		return soakFaultNames[f-faults]
	}
	return faultNames[f]
}

// Step is a fault at a time of the play.
type Step struct {
	At    time.Duration
	Fault Fault
	For   time.Duration // of those that last
	Which int           // engine, or how many
}

// few is a number from 1 to 6.
func (s Step) few() int { return 1 + (s.Which+5)%6 }

func (s Step) String() string {
	return fmt.Sprintf("%.2f s: %s, %.2f s, %d", s.At.Seconds(), s.Fault, s.For.Seconds(), s.Which)
}

const swapEvery = 1700 * time.Millisecond // of a fleet's engines: about three of four are cold

// Script draws what goes wrong in a play of some length. The same seed gives the same script. Every third seed of one router
// has reloads as its only trouble, with many of them: that is what a reload day of the users' bench lost batches on. Scripts
// of a fleet have engines replaced all the time, since that is when what routers do together can push one over.
func Script(seed uint64, long time.Duration, routers int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := make([]Fault, 0, faults)
	for f := range KillMany {
		if seed%3 != 0 || routers > 1 || f == MoveNames || f == Reload || f == Burst || f == Rude || f == Churn || f == Throttle {
			kinds = append(kinds, f)
		}
	}
	if routers > 1 {
		for f := KillMany; f < faults; f++ {
			kinds = append(kinds, f, f)
		}
		kinds = append(kinds, KillMany, KillMany, FreezeMany, FreezeMany, FreezeMany, CrashLoop)
	}
	var steps []Step
	for at := swapEvery / 2; routers > 1 && at < long; at += swapEvery {
		steps = append(steps, Step{At: at, Fault: EngineSwap, Which: r.IntN(6)})
	}
	for range 4 + r.IntN(int(long.Seconds())) + min(routers-1, 4) {
		s := Step{At: time.Duration(float64(long) * (0.1 + 0.8*r.Float64())), Fault: kinds[r.IntN(len(kinds))],
			For: time.Duration((0.1 + 1.2*r.Float64()) * float64(time.Second)), Which: 1 + r.IntN(6)}
		if s.Fault >= KillMany {
			s.For *= 2
		}
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
