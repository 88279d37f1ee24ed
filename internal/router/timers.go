package router

import (
	"container/heap"
	"math"
)

// timer is something that is due at a time. Stopped ones leave at once: most batches end long before their time
// limit, and thousands a second would be kept until then.
type timer struct {
	at    float64
	value any
	index int // below 0: not waiting
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push is the heap's.
func (t *timers) Push(x any) {
	one := x.(*timer)
	one.index = len(*t)
	*t = append(*t, one)
}

// Pop is the heap's.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}

func (t *timers) add(at float64, what any) *timer {
	one := &timer{at: at, value: what}
	heap.Push(t, one)
	return one
}

func (t *timers) stop(one *timer) {
	if one != nil && one.index >= 0 {
		heap.Remove(t, one.index)
	}
}

func (t *timers) next() float64 {
	if len(*t) == 0 {
		return math.Inf(1)
	}
	return (*t)[0].at
}

func (t *timers) popDue(now float64) any {
	if t.next() > now {
		return nil
	}
	return heap.Pop(t).(*timer).value
}
