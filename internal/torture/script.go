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
	MoveNameService    Fault = iota // SIGHUP with the name service at another address; the old one falls silent
	Reload                          // SIGHUP with other limits
	Burst                           // several of both, milliseconds apart
	Pause                           // SIGSTOP of the router for a while
	Restart                         // SIGTERM, and a start under the same address once it has ended
	Kill                            // SIGKILL, and a start, after which an engine drains
	ReloadStop                      // SIGHUP amid SIGTERM
	NameServiceDown                 // no answer from the name service for a while
	EngineSilent                    // an engine says nothing for a while
	EngineReplaced                  // an engine ends, another takes its place at another address
	Drain                           // the list says that an engine drains; seconds later another takes its place
	ConnectionChurn                 // all clients of a while come on new connections
	Throttle                        // the router gets a quarter of each tenth of a second, as under a limit on its processor
	MisbehavingClients              // connections that say nothing, half frames, rubbish

	// Those of a fleet: several routers before the same engines, with links between all of them.
	KillMany         // SIGKILL of several at once, and a start of each some time later, with nothing remembered
	RestartAll       // SIGTERM and a start, one after the other
	PauseMany        // SIGSTOP of several, or of all
	LateStart        // one starts late
	DuplicateProcess // a second process under the name and number of one, for a while
	OlderBuild       // one is restarted with the other build of the program, and later with its own
	CrashLoop        // an engine is replaced, and all are killed and started again three times within a fall time
	CutEngine        // nothing passes between a router and an engine
	CutZone          // nor between the half of the routers and a zone, and the others
	CutOneWay        // nothing comes back from an engine, or nothing goes there
	CutNameService   // one hears nothing of the name service
	SlowBytes        // an engine's bytes come to some routers in drops
	PacketLoss       // datagrams are lost, doubled and late; streams are late
	scriptFaultCount
)

var faultNames = []string{"move names", "reload", "burst of reloads", "freeze", "restart", "kill", "reload amid stop", "names lost",
	"engine mute", "engine swap", "drain", "churn", "throttle", "rude clients", "kill many", "restart all", "freeze many", "newcomer", "twin",
	"other build", "crash loop", "cut from an engine", "cut along zones", "cut one way", "cut from the name service", "drip", "lossy"}

func (f Fault) String() string {
	if f >= scriptFaultCount {
		return soakFaultNames[f-scriptFaultCount]
	}
	return faultNames[f]
}

// Step is a fault at a time of the play.
type Step struct {
	At       time.Duration
	Fault    Fault
	Duration time.Duration // of those that last
	Selector int           // engine, or how many
}

// count is a number from 1 to 6.
func (s Step) count() int { return 1 + (s.Selector+5)%6 }

func (s Step) String() string {
	return fmt.Sprintf("%.2f s: %s, %.2f s, %d", s.At.Seconds(), s.Fault, s.Duration.Seconds(), s.Selector)
}

const replacementInterval = 1700 * time.Millisecond // of a fleet's engines: about three of four are cold

// Script draws what goes wrong in a play of some length. The same seed gives the same script. Every third seed of one router
// has reloads as its only trouble, with many of them: that is what a reload day of the users' bench lost batches on. Scripts
// of a fleet have engines replaced all the time, since that is when what routers do together can push one over.
func Script(seed uint64, long time.Duration, routers int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := make([]Fault, 0, scriptFaultCount)
	for f := range KillMany {
		if seed%3 != 0 || routers > 1 || f == MoveNameService || f == Reload || f == Burst || f == MisbehavingClients || f == ConnectionChurn || f == Throttle {
			kinds = append(kinds, f)
		}
	}
	if routers > 1 {
		for f := KillMany; f < scriptFaultCount; f++ {
			kinds = append(kinds, f, f)
		}
		kinds = append(kinds, KillMany, KillMany, PauseMany, PauseMany, PauseMany, CrashLoop)
	}
	var steps []Step
	for at := replacementInterval / 2; routers > 1 && at < long; at += replacementInterval {
		steps = append(steps, Step{At: at, Fault: EngineReplaced, Selector: r.IntN(6)})
	}
	for range 4 + r.IntN(int(long.Seconds())) + min(routers-1, 4) {
		s := Step{At: time.Duration(float64(long) * (0.1 + 0.8*r.Float64())), Fault: kinds[r.IntN(len(kinds))],
			Duration: time.Duration((0.1 + 1.2*r.Float64()) * float64(time.Second)), Selector: 1 + r.IntN(6)}
		if s.Fault >= KillMany {
			s.Duration *= 2
		}
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
