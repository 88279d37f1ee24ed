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
	for _, c := range r.inOrder() {
		r.do(TellClient{c.number, traffic.GoAway{}})
	}
	r.timers.add(r.now+quietStop, stopCheck{})
	longest := 0.0
	for _, g := range r.settings.Settings.Groups {
		longest = max(longest, g.Limit)
	}
	r.killAt = r.now + max(min(longest, killLimit)+killAfter-killEarly, quietStop)
	r.timers.add(r.killAt, stopCheck{})
}

func (r *Router) finishStop() {
	if r.stopAt == 0 || r.exited || r.now < r.stopAt+quietStop {
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
		if c.half > 0 && r.now-c.half < silentTime {
			half++
		}
	}
	if waiting+half > 0 && r.now < r.killAt {
		return
	}
	// What the kill finds unanswered is lost, and the module has had all the time there was.
	last := slices.SortedFunc(maps.Values(r.batches), func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range last {
		if b.client == nil {
			continue
		}
		if d := r.brain.FinalDecision(b.Batch); d.Kind == brain.Reject {
			r.answer(b, traffic.Rejected, d.Wait)
		} else {
			b.why = "the router has stopped"
			r.answer(b, traffic.Failed, 0)
		}
	}
	r.exited = true
	r.log(Info, "stopped", "unanswered", waiting)
	r.leaveFleet()
	r.do(Exit{By: r.killAt + killEarly - lastBytes})
}
