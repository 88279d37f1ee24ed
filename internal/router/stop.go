package router

import (
	"cmp"
	"maps"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

// stopCheck is the timer value at which finishStop has to be called.
type stopCheck struct{}

// stop begins the shutdown: clients are asked to send no more batches, but batches that still arrive are accepted and answered.
func (r *Router) stop() {
	if r.stopAt > 0 {
		return
	}
	r.stopAt = r.now
	r.brain.PrepareShutdown()
	r.log(Info, "stopping", "open", len(r.batches), "clients", len(r.clients))
	for _, c := range r.sortedClients() {
		r.emit(SendToClient{c.number, traffic.GoAway{}})
	}
	r.timers.add(r.now+stopGracePeriod, stopCheck{})
	longest := 0.0
	for _, g := range r.config.Settings.Groups {
		longest = max(longest, g.Limit)
	}
	r.answerDeadline = r.now + max(min(longest, maxKillWait)+killDelay-killMargin, stopGracePeriod)
	r.timers.add(r.answerDeadline, stopCheck{})
}

// finishStop exits once every batch is answered and no client is in the middle of a frame, or at the latest at killAt.
func (r *Router) finishStop() {
	if r.stopAt == 0 || r.exited || r.now < r.stopAt+stopGracePeriod {
		return
	}
	waiting, partial := 0, 0
	for _, b := range r.batches {
		if b.client != nil {
			waiting++
		}
	}
	for _, c := range r.clients {
		// The rest of the frame is probably on its way, and a complete frame must be answered. This covers slow writers and
		// frames that arrive in pieces. The cost: a client that never completes its frame delays the stop by two seconds.
		if c.partialSince > 0 && r.now-c.partialSince < silentTimeout {
			partial++
		}
	}
	if waiting+partial > 0 && r.now < r.answerDeadline {
		return
	}
	// Batches that are unanswered when the process is killed would be lost, so they are answered now: a batch that is safe to
	// retry is rejected, any other gets an error.
	unanswered := slices.SortedFunc(maps.Values(r.batches), func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range unanswered {
		if b.client == nil {
			continue
		}
		if d := r.brain.FinalDecision(b.Batch); d.Kind == brain.Reject {
			r.answerBatch(b, traffic.Rejected, d.Wait)
		} else {
			b.lastError = "the router has stopped"
			r.answerBatch(b, traffic.Failed, 0)
		}
	}
	r.exited = true
	r.log(Info, "stopped", "unanswered", waiting)
	r.leaveFleet()
	r.emit(Exit{Deadline: r.answerDeadline + killMargin - flushTime})
}
