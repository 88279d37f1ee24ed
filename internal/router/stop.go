package router

import (
	"cmp"
	"maps"
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

type stopCheck struct{}

// stop: nothing new is asked for, but all that still comes is taken and answered.
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

func (r *Router) finishStop() {
	if r.stopAt == 0 || r.exited || r.now < r.stopAt+stopGracePeriod {
		return
	}
	waiting, half := 0, 0
	for _, b := range r.batches {
		if b.client != nil {
			waiting++
		}
	}
	for _, c := range r.clients {
		// Its last bytes are on their way, and with the last of them it is ours. This covers slow writers and pieces;
		// it hurts where somebody only ever sends half a frame: the stop takes two seconds longer.
		if c.partialSince > 0 && r.now-c.partialSince < silentTimeout {
			half++
		}
	}
	if waiting+half > 0 && r.now < r.answerDeadline {
		return
	}
	// What the kill finds unanswered is lost, and the module has had all the time there was.
	last := slices.SortedFunc(maps.Values(r.batches), func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range last {
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
