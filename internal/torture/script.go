// Package torture runs the real program between stand-in clients, engines and name services and injects random faults,
// drawn from a seed: configuration reloads that move the name service, restarts, kills, process pauses, failing
// engines, misbehaving clients. A checker compares what clients and engines saw of each batch with the rules; it does
// not rely on the router's own accounting.
package torture

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault that a script injects.
type Fault uint8

// The faults of a script. Their names are printed with the script.
const (
	MoveNameService    Fault = iota // SIGHUP with the name service at another address; the old one stops answering
	Reload                          // SIGHUP with other limits
	Burst                           // several of both, milliseconds apart
	Pause                           // SIGSTOP of the router for a while
	Restart                         // SIGTERM, and a start under the same address after the exit
	Kill                            // SIGKILL and a start, after which an engine drains
	ReloadStop                      // SIGHUP during a stop by SIGTERM
	NameServiceDown                 // no answer from the name service for a while
	EngineSilent                    // an engine sends nothing for a while
	EngineReplaced                  // an engine stops, and another one starts at another address
	Drain                           // the name service reports that an engine drains; seconds later it is replaced
	ConnectionChurn                 // clients open and close connections
	Throttle                        // the router runs for a quarter of each 100 ms, as under a CPU quota
	MisbehavingClients              // connections that send nothing, incomplete frames or invalid bytes

	// Faults of a fleet: several routers in front of the same engines, with links between all of them.
	KillMany         // SIGKILL of several at once, and a start of each some time later, without any state
	RestartAll       // SIGTERM and a start of each, one after the other
	PauseMany        // SIGSTOP of several or all
	LateStart        // a router starts late
	DuplicateProcess // a second process under the name and number of a router, for a while
	OlderBuild       // a router is restarted with the older build of the program, and later with its own
	CrashLoop        // an engine is replaced, and all routers are killed and started three times within fallTime
	CutEngine        // nothing passes between a router and an engine
	CutZone          // nothing passes between half of the routers with one zone and all others
	CutOneWay        // nothing passes from an engine to a router, or in the other direction only
	CutNameService   // a router receives nothing from the name service
	SlowBytes        // an engine's bytes reach the routers slowly
	PacketLoss       // datagrams are lost, duplicated, reordered and late; streams are late
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

// Step is a fault at a time of the scenario.
type Step struct {
	At       time.Duration
	Fault    Fault
	Duration time.Duration // of faults that last
	Selector int           // selects a router or an engine, or says how many
}

// count is a number from 1 to 6 that follows from the selector.
func (s Step) count() int { return 1 + (s.Selector+5)%6 }

func (s Step) String() string {
	return fmt.Sprintf("%.2f s: %s, %.2f s, %d", s.At.Seconds(), s.Fault, s.Duration.Seconds(), s.Selector)
}

const replacementInterval = 1700 * time.Millisecond // of engines in front of a fleet: about three of four are cold

// Script draws the faults of a scenario of a given length. The same seed gives the same script. For one router, every
// third seed reloads the configuration often and injects none of the heavier faults, because batches were lost on a day
// of reloads in the users' benchmark. In front of a fleet, engines are replaced all the time, because routers can
// overload an engine together only while it is cold.
func Script(seed uint64, duration time.Duration, routers int) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := make([]Fault, 0, scriptFaultCount)
	for f := range KillMany {
		if seed%3 != 0 || routers > 1 || f == MoveNameService || f == Reload || f == Burst || f == MisbehavingClients ||
			f == ConnectionChurn || f == Throttle {
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
	for at := replacementInterval / 2; routers > 1 && at < duration; at += replacementInterval {
		steps = append(steps, Step{At: at, Fault: EngineReplaced, Selector: random.IntN(6)})
	}
	for range 4 + random.IntN(int(duration.Seconds())) + min(routers-1, 4) {
		s := Step{At: time.Duration(float64(duration) * (0.1 + 0.8*random.Float64())), Fault: kinds[random.IntN(len(kinds))],
			Duration: time.Duration((0.1 + 1.2*random.Float64()) * float64(time.Second)), Selector: 1 + random.IntN(6)}
		if s.Fault >= KillMany {
			s.Duration *= 2
		}
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
