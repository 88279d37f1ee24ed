package router

import (
	"cmp"
	"maps"
	"slices"

	"pitchfield/internal/traffic"
)

type stopCheck struct{}

// stop: nothing new is asked for, but all that still comes is taken and answered.
func (r *Router) stop() {
	if r.stopAt > 0 {
		return
	}
	r.stopAt = r.now
	r.log(Info, "stopping", "open", len(r.batches), "clients", len(r.clients))
	for _, c := range r.inOrder() {
		r.do(TellClient{c.number, traffic.NoMore{}})
	}
	r.timers.add(r.now+quietStop, stopCheck{})
	longest := 0.0
	for _, g := range r.settings.Settings.Groups {
		longest = max(longest, g.Limit)
	}
	r.killAt = r.now + max(min(longest, killLimit)+killAfter-killEarly, quietStop)
	r.timers.add(r.killAt, stopCheck{})
}

func (r *Router) stopping() {
	if r.stopAt == 0 || r.exited || r.now < r.stopAt+quietStop {
		return
	}
	waiting := 0
	for _, b := range r.batches {
		if b.client != nil {
			waiting++
		}
	}
	if waiting > 0 && r.now < r.killAt {
		return
	}
	// What the kill finds unanswered is lost. The module has had all the time there was; an error promises nothing,
	// so it is true of any batch.
	last := slices.SortedFunc(maps.Values(r.batches), func(a, b *batch) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range last {
		r.reply(b, &traffic.Answer{Code: traffic.Errored, Why: "the router has stopped"})
	}
	r.exited = true
	r.log(Info, "stopped", "unanswered", waiting)
	r.leaveFleet()
	r.do(Exit{})
}
