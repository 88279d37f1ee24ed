package directory

import (
	"fmt"
	"testing"
)

// BenchmarkSameList is what an answer costs that changes nothing, at the size of the largest fleets.
func BenchmarkSameList(b *testing.B) {
	var engines []Engine
	for i := range 3200 {
		engines = append(engines, readyEngine(fmt.Sprintf("s-%08x", i)))
	}
	a := newSimulatedFollower(listOf(1, engines...))
	for b.Loop() {
		a.queryAndAnswer(listOf(1, engines...))
	}
}
