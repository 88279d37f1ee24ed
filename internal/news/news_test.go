package news

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet is routers that tell each other, on a network without a way's time.
type fleet struct {
	now            float64
	machines       []*Machine
	threads        []float64 // threads of each at engine 1
	random         *rand.Rand
	loss           float64
	delivers       func(from, to int) bool // nil: all
	sent           int
	indexByAddress map[string]int // routers by address
}

var engine = EngineStart{1, 7}

func newFleet(n int) *fleet {
	f := &fleet{now: 1000, random: rand.New(rand.NewPCG(1, 2)), indexByAddress: map[string]int{}}
	for i := range n {
		f.machines = append(f.machines, New(Defaults(), name(i), f.now+0.1*f.random.Float64()))
		f.threads, f.indexByAddress[address(i)] = append(f.threads, float64(1+i%3)), i
	}
	f.setViews(func(int) []Member { return f.members() })
	return f
}

func name(i int) string    { return fmt.Sprintf("n%04d", i) }
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func (f *fleet) members() (out []Member) {
	for i := range f.machines {
		out = append(out, Member{name(i), address(i)})
	}
	return out
}

func (f *fleet) setViews(of func(i int) []Member) {
	for i, m := range f.machines {
		if m != nil {
			m.SetMembers(of(i))
		}
	}
}

// run lets time go by.
func (f *fleet) run(seconds float64) {
	for end := f.now + seconds; f.now < end; f.now += 0.01 {
		for i, m := range f.machines {
			if m != nil && m.NextReport() <= f.now {
				m.Report(f.now, []Load{{engine, f.threads[i], 100 * f.threads[i]}})
			}
		}
		for again := true; again; {
			again = false
			for i, m := range f.machines {
				if m == nil {
					continue
				}
				for _, s := range m.TakeOutgoing() {
					again = true
					f.sent++
					k := f.indexByAddress[s.To]
					if o := f.machines[k]; o != nil && f.random.Float64() >= f.loss && (f.delivers == nil || f.delivers(i, k)) {
						message := s.Message
						o.Receive(f.now, address(i), &message)
					}
				}
			}
		}
	}
}

func (f *fleet) total() (sum float64) {
	for i, m := range f.machines {
		if m != nil {
			sum += f.threads[i]
		}
	}
	return sum
}

func TestEachRouterLearnsLoadOfAllOthers(t *testing.T) {
	for _, n := range []int{2, 3, 17, 18, 300} {
		f := newFleet(n)
		f.run(1)
		sent := f.sent
		f.run(1)
		for i, m := range f.machines {
			loads, age, known := m.OthersLoad(f.now)
			require.True(t, known, "%d of %d", i, n)
			assert.InDelta(t, f.total()-f.threads[i], loads[engine].Threads, 1e-9)
			assert.InDelta(t, 100*(f.total()-f.threads[i]), loads[engine].Memory, 1e-6)
			assert.Less(t, age, 0.45)
		}
		assert.LessOrEqual(t, float64(f.sent-sent)/float64(n), 21.0, "two tellings each")
	}
}

func TestEndedLoadIsKnownToAllWithinASecond(t *testing.T) {
	f := newFleet(300)
	f.run(1)
	for i := range f.threads {
		f.threads[i] = 0
	}
	f.run(0.5)
	for _, m := range f.machines {
		loads, _, known := m.OthersLoad(f.now)
		assert.True(t, known)
		assert.Zero(t, loads[engine].Threads)
	}
}

// One that dies, the root too, is out of it within half a second; until the view says so nobody below it is heard.
func TestIncompleteTotalIsNotUsed(t *testing.T) {
	f := newFleet(300)
	f.run(1)
	f.machines[0] = nil
	f.run(0.6)
	for _, m := range f.machines[1:] {
		_, _, known := m.OthersLoad(f.now)
		assert.False(t, known, "nobody adds it all up")
	}
	rest := f.members()[1:]
	f.setViews(func(int) []Member { return rest })
	f.run(1)
	for i, m := range f.machines[1:] {
		loads, _, known := m.OthersLoad(f.now)
		require.True(t, known)
		assert.InDelta(t, f.total()-f.threads[i+1], loads[engine].Threads, 1e-9)
	}
	f.delivers = func(from, to int) bool { return from < 150 == (to < 150) } // cut into halves, and nobody knows yet
	f.run(1)
	for _, m := range f.machines[1:] {
		_, _, known := m.OthersLoad(f.now)
		assert.False(t, known)
	}
}

func TestLoadReportsSurvivePacketLoss(t *testing.T) {
	f := newFleet(300)
	f.loss = 0.1
	known, near := 0, 0
	for range 20 {
		f.run(0.25)
		for i, m := range f.machines {
			if loads, _, is := m.OthersLoad(f.now); is {
				known++
				if math.Abs(loads[engine].Threads-(f.total()-f.threads[i])) < 0.15*f.total() {
					near++
				}
			}
		}
	}
	assert.Greater(t, known, 300*20*7/10)
	assert.Greater(t, near, known*9/10)
}

// One that tells a thousand times too much at every engine raises it by a bounded part, wherever but at the root.
func TestExcessiveReportIsCapped(t *testing.T) {
	f := newFleet(300)
	f.threads[299] = 1e6
	f.run(1)
	loads, _, known := f.machines[5].OthersLoad(f.now)
	require.True(t, known)
	assert.Less(t, loads[engine].Threads, 1.1*600)
}

// Views that differ in any way make no sum go round and grow: it flows to smaller names only.
func TestTotalsDoNotLoopWithDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "routers")
		f := newFleet(n)
		for range 6 {
			f.setViews(func(int) (out []Member) {
				for _, m := range f.members() {
					if rapid.IntRange(0, 3).Draw(t, "knows") > 0 {
						out = append(out, m)
					}
				}
				return out
			})
			f.run(0.3)
			for _, m := range f.machines {
				if loads, _, known := m.OthersLoad(f.now); known {
					require.LessOrEqual(t, loads[engine].Threads, 3*float64(n)*3, "each counts at most for as many as could hear it")
				}
			}
		}
	})
}

func TestInvalidMessagesAreIgnored(t *testing.T) {
	f := newFleet(3)
	f.run(1)
	for _, m := range []Message{{Kind: Down, Routers: 4}, {Kind: Down}, {Kind: Down, Routers: 3, Age: math.NaN()}, {Kind: Down, Routers: 3, Age: 3},
		{Kind: Down, Routers: 3, Loads: []Load{{engine, math.NaN(), 0}}}, {Kind: Down, Routers: 3, Loads: []Load{{engine, -1, 0}}},
		{Kind: Down, Routers: 3, Loads: []Load{{engine, math.Inf(1), 0}}}, {Kind: 9, Routers: 3}} {
		assert.False(t, f.machines[1].Receive(f.now, address(0), &m))
	}
	good := Message{Kind: Down, Routers: 3}
	assert.False(t, f.machines[1].Receive(f.now, address(2), &good), "not from below")
	assert.False(t, f.machines[1].Receive(f.now, "10.9.9.9:1", &good), "nor from a stranger")
	assert.True(t, f.machines[1].Receive(f.now, address(0), &good))
}
