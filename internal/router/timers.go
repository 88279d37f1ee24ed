package router

import (
	"container/heap"
	"math"
)

// timer is due at a time. A stopped timer is removed from the heap at once: most batches end long before their time limit,
// and otherwise thousands of timers per second would stay until then.
type timer struct {
	at    float64 // seconds
	value any     // passed to Router.handleTimer
	index int     // position in the heap; below 0: not in the heap
}

// timers is a heap of timers with the next one first. It implements heap.Interface.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface. Use add instead.
func (t *timers) Push(x any) {
	entry := x.(*timer)
	entry.index = len(*t)
	*t = append(*t, entry)
}

// Pop implements heap.Interface. Use popDue instead.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}

// add adds a timer with this value and returns it.
func (t *timers) add(at float64, value any) *timer {
	entry := &timer{at: at, value: value}
	heap.Push(t, entry)
	return entry
}

// stop removes a timer. A timer that is nil, stopped or was due is ignored.
func (t *timers) stop(entry *timer) {
	if entry != nil && entry.index >= 0 {
		heap.Remove(t, entry.index)
	}
}

// next returns when the next timer is due; +Inf: there is none.
func (t *timers) next() float64 {
	if len(*t) == 0 {
		return math.Inf(1)
	}
	return (*t)[0].at
}

// popDue removes the next timer that is due by now and returns its value; nil: none is due.
func (t *timers) popDue(now float64) any {
	if t.next() > now {
		return nil
	}
	return heap.Pop(t).(*timer).value
}
