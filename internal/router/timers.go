package router

import (
	"container/heap"
	"math"
)

// timer is something that is due at a time; what has become void meanwhile is passed over then.
type timer struct {
	at   float64
	what any
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (t *timers) add(at float64, what any) { heap.Push(t, timer{at, what}) }

func (t *timers) next() float64 {
	if len(*t) == 0 {
		return math.Inf(1)
	}
	return (*t)[0].at
}

func (t *timers) due(now float64) (timer, bool) {
	if t.next() > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
