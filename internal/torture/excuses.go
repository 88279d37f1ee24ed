package torture

import (
	"fmt"
	"time"
)

// Excuse is a reason why a request without an answer does not count as lost.
type Excuse uint8

// The excuses. Their names are part of the printed counts.
const (
	NotExcused      Excuse = iota
	ClientCancelled        // its client cancelled it
	PendingAtKill          // its router was killed before the request's time was over
	RefusedInFlood         // it was the first on a connection that was opened while idle clients used up the router's descriptors
	RacedClose             // it was sent again, and the second transmission is checked instead
	excuseCount
)

var excuseNames = [excuseCount]string{"not excused", "client left", "held at a kill", "shut in a crowd", "crossed a close and sent again"}

func (e Excuse) String() string { return excuseNames[e] }

// lossOrExcuse returns why a request counts as lost, or its excuse; it returns neither for an answered request. A
// router that was killed may have had the request queued for the request's time and, beyond that, for as long as the
// test had paused the router: two pauses of five seconds in a row and then a kill left no moment for an answer and gave
// 431 false findings. A router that was killed after SIGTERM had the time that the platform grants, unless the test
// paused it meanwhile.
func (b *Batch) lossOrExcuse(router Router) (string, Excuse) {
	incarnation := router.Incarnations[b.Incarnation]
	killed := incarnation.Killed > 0 && (incarnation.Terminated == 0 || incarnation.Terminated > incarnation.Killed ||
		router.pausedWithin(incarnation.Terminated, incarnation.Killed) > 0)
	pending := killed && incarnation.Killed < b.Deadline+answerGrace+router.pausedWithin(min(b.WriteBegan,
		incarnation.Killed), incarnation.Killed) && (b.ConnectionEnded == 0 || b.ConnectionEnded >= incarnation.Killed)
	switch {
	case len(b.Answers) > 0:
		return "", NotExcused
	case b.Cancelled > 0:
		return "", ClientCancelled
	case pending:
		return "", PendingAtKill
	case b.FirstOnConnection && b.ConnectionEnded > 0 && router.descriptorsFull(b.WriteBegan):
		return "", RefusedInFlood
	case b.Resent:
		return "", RacedClose
	case b.ConnectionEnded > 0:
		return fmt.Sprintf("was open when its connection ended at %.3f s: %s", b.ConnectionEnded.Seconds(), b.ConnectionError), NotExcused
	}
	return "never had an answer", NotExcused
}

// pausedWithin sums the time within an interval in which the test had the router paused.
func (r Router) pausedWithin(from, to time.Duration) (sum time.Duration) {
	for _, s := range r.Pauses {
		sum += s.overlap(from, to)
	}
	return sum
}

// descriptorsFull reports whether idle clients used up the router's descriptors at a time.
func (r Router) descriptorsFull(at time.Duration) bool {
	for _, c := range r.IdleFloods {
		if at > c.From && at < c.To {
			return true
		}
	}
	return false
}
