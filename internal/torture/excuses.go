package torture

import (
	"fmt"
	"time"
)

// Excuse is why a request without an answer is not lost.
type Excuse uint8

// The excuses.
const (
	NotExcused   Excuse = iota
	ClientLeft          // it has told that it waits no more
	HeldAtKill          // by a process that was killed before its time was over
	ShutInCrowd         // it was the first on a connection that came while idle clients filled the descriptors
	CrossedClose        // it was sent again, and that one counts
	excuses
)

var excuseNames = [excuses]string{"not excused", "client left", "held at a kill", "shut in a crowd", "crossed a close and sent again"}

func (e Excuse) String() string { return excuseNames[e] }

// lost tells why a request counts as lost, or by what it is excused; neither: it has an answer. A process that was killed may have held
// it for its time, and for as long as we had stopped it: two stops of five seconds in a row, and then a kill, left no moment for an
// answer, and 431 findings. One that was killed after SIGTERM had the time that the platform gives, unless we stopped it meanwhile.
func (b *Batch) lost(of Router) (string, Excuse) {
	life := of.Lives[b.Life]
	killed := life.Killed > 0 && (life.Term == 0 || life.Term > life.Killed || of.stood(life.Term, life.Killed) > 0)
	held := killed && life.Killed < b.Due+grace+of.stood(min(b.Wrote, life.Killed), life.Killed) && (b.Ended == 0 || b.Ended >= life.Killed)
	switch {
	case len(b.Answers) > 0:
		return "", NotExcused
	case b.Left > 0:
		return "", ClientLeft
	case held:
		return "", HeldAtKill
	case b.First && b.Ended > 0 && of.crowded(b.Wrote):
		return "", ShutInCrowd
	case b.SentAgain:
		return "", CrossedClose
	case b.Ended > 0:
		return fmt.Sprintf("was open when its connection ended at %.3f s: %s", b.Ended.Seconds(), b.End), NotExcused
	}
	return "never had an answer", NotExcused
}

// stood is how long the rig had a router stand still within a time.
func (r Router) stood(from, to time.Duration) (sum time.Duration) {
	for _, s := range r.Stills {
		sum += s.within(from, to)
	}
	return sum
}

// crowded tells whether idle clients filled a router's descriptors at a time.
func (r Router) crowded(at time.Duration) bool {
	for _, c := range r.Crowds {
		if at > c.From && at < c.To {
			return true
		}
	}
	return false
}
