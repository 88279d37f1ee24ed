package torture

import (
	"fmt"
	"time"
)

// Excuse is why a request without an answer is not lost.
type Excuse uint8

// The excuses.
const (
	NotExcused      Excuse = iota
	ClientCancelled        // it has told that it waits no more
	PendingAtKill          // by a process that was killed before its time was over
	RefusedInFlood         // it was the first on a connection that came while idle clients filled the descriptors
	RacedClose             // it was sent again, and that one counts
	excuseCount
)

var excuseNames = [excuseCount]string{"not excused", "client left", "held at a kill", "shut in a crowd", "crossed a close and sent again"}

func (e Excuse) String() string { return excuseNames[e] }

// lossOrExcuse tells why a request counts as lost, or by what it is excused; neither: it has an answer. A process that was killed may have held
// it for its time, and for as long as we had stopped it: two stops of five seconds in a row, and then a kill, left no moment for an
// answer, and 431 findings. One that was killed after SIGTERM had the time that the platform gives, unless we stopped it meanwhile.
func (b *Batch) lossOrExcuse(of Router) (string, Excuse) {
	life := of.Incarnations[b.Incarnation]
	killed := life.Killed > 0 && (life.Terminated == 0 || life.Terminated > life.Killed || of.pausedWithin(life.Terminated, life.Killed) > 0)
	held := killed && life.Killed < b.Deadline+answerGrace+of.pausedWithin(min(b.WriteBegan, life.Killed), life.Killed) && (b.ConnectionEnded == 0 || b.ConnectionEnded >= life.Killed)
	switch {
	case len(b.Answers) > 0:
		return "", NotExcused
	case b.Cancelled > 0:
		return "", ClientCancelled
	case held:
		return "", PendingAtKill
	case b.FirstOnConnection && b.ConnectionEnded > 0 && of.descriptorsFull(b.WriteBegan):
		return "", RefusedInFlood
	case b.Resent:
		return "", RacedClose
	case b.ConnectionEnded > 0:
		return fmt.Sprintf("was open when its connection ended at %.3f s: %s", b.ConnectionEnded.Seconds(), b.ConnectionError), NotExcused
	}
	return "never had an answer", NotExcused
}

// pausedWithin is how long the rig had a router stand still within a time.
func (r Router) pausedWithin(from, to time.Duration) (sum time.Duration) {
	for _, s := range r.Pauses {
		sum += s.overlap(from, to)
	}
	return sum
}

// descriptorsFull tells whether idle clients filled a router's descriptors at a time.
func (r Router) descriptorsFull(at time.Duration) bool {
	for _, c := range r.IdleFloods {
		if at > c.From && at < c.To {
			return true
		}
	}
	return false
}
