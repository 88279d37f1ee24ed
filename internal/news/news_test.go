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
	now    float64
	all    []*Machine
	out    []float64 // threads of each at engine 1
	chance *rand.Rand
	loss   float64
	passes func(from, to int) bool // nil: all
	sent   int
	by     map[string]int // routers by address
}

var engine = Of{1, 7}

func newFleet(n int) *fleet {
	f := &fleet{now: 1000, chance: rand.New(rand.NewPCG(1, 2)), by: map[string]int{}}
	for i := range n {
		f.all = append(f.all, New(Defaults(), name(i), f.now+0.1*f.chance.Float64()))
		f.out, f.by[address(i)] = append(f.out, float64(1+i%3)), i
	}
	f.view(func(int) []Member { return f.members() })
	return f
}

func name(i int) string    { return fmt.Sprintf("n%04d", i) }
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func (f *fleet) members() (out []Member) {
	for i := range f.all {
		out = append(out, Member{name(i), address(i)})
	}
	return out
}

func (f *fleet) view(of func(i int) []Member) {
	for i, m := range f.all {
		if m != nil {
			m.View(of(i))
		}
	}
}

// pass lets time go by.
func (f *fleet) pass(seconds float64) {
	for end := f.now + seconds; f.now < end; f.now += 0.01 {
		for i, m := range f.all {
			if m != nil && m.At() <= f.now {
				m.Tell(f.now, []Load{{engine, f.out[i], 100 * f.out[i]}})
			}
		}
		for again := true; again; {
			again = false
			for i, m := range f.all {
				if m == nil {
					continue
				}
				for _, s := range m.Sends() {
					again = true
					f.sent++
					k := f.by[s.To]
					if o := f.all[k]; o != nil && f.chance.Float64() >= f.loss && (f.passes == nil || f.passes(i, k)) {
						message := s.Message
						o.Heard(f.now, address(i), &message)
					}
				}
			}
		}
	}
}

func (f *fleet) total() (sum float64) {
	for i, m := range f.all {
		if m != nil {
			sum += f.out[i]
		}
	}
	return sum
}

func TestEachIsToldWhatAllOthersHaveOut(t *testing.T) {
	for _, n := range []int{2, 3, 17, 18, 300} {
		f := newFleet(n)
		f.pass(1)
		sent := f.sent
		f.pass(1)
		for i, m := range f.all {
			loads, age, known := m.Others(f.now)
			require.True(t, known, "%d of %d", i, n)
			assert.InDelta(t, f.total()-f.out[i], loads[engine].Threads, 1e-9)
			assert.InDelta(t, 100*(f.total()-f.out[i]), loads[engine].Memory, 1e-6)
			assert.Less(t, age, 0.45)
		}
		assert.LessOrEqual(t, float64(f.sent-sent)/float64(n), 21.0, "two tellings each")
	}
}

func TestWhatEndsIsKnownToAllWithinASecond(t *testing.T) {
	f := newFleet(300)
	f.pass(1)
	for i := range f.out {
		f.out[i] = 0
	}
	f.pass(0.5)
	for _, m := range f.all {
		loads, _, known := m.Others(f.now)
		assert.True(t, known)
		assert.Zero(t, loads[engine].Threads)
	}
}

// One that dies, the root too, is out of it within half a second; until the view says so nobody below it is heard.
func TestWithoutAPartOfTheFleetNothingIsBelieved(t *testing.T) {
	f := newFleet(300)
	f.pass(1)
	f.all[0] = nil
	f.pass(0.6)
	for _, m := range f.all[1:] {
		_, _, known := m.Others(f.now)
		assert.False(t, known, "nobody adds it all up")
	}
	rest := f.members()[1:]
	f.view(func(int) []Member { return rest })
	f.pass(1)
	for i, m := range f.all[1:] {
		loads, _, known := m.Others(f.now)
		require.True(t, known)
		assert.InDelta(t, f.total()-f.out[i+1], loads[engine].Threads, 1e-9)
	}
	f.passes = func(from, to int) bool { return from < 150 == (to < 150) } // cut into halves, and nobody knows yet
	f.pass(1)
	for _, m := range f.all[1:] {
		_, _, known := m.Others(f.now)
		assert.False(t, known)
	}
}

func TestALossyNetworkBringsItAllTheSame(t *testing.T) {
	f := newFleet(300)
	f.loss = 0.1
	known, near := 0, 0
	for range 20 {
		f.pass(0.25)
		for i, m := range f.all {
			if loads, _, is := m.Others(f.now); is {
				known++
				if math.Abs(loads[engine].Threads-(f.total()-f.out[i])) < 0.15*f.total() {
					near++
				}
			}
		}
	}
	assert.Greater(t, known, 300*20*7/10)
	assert.Greater(t, near, known*9/10)
}

// One that tells a thousand times too much at every engine raises it by a bounded part, wherever but at the root.
func TestOneThatLiesMakesNoEngineLookFull(t *testing.T) {
	f := newFleet(300)
	f.out[299] = 1e6
	f.pass(1)
	loads, _, known := f.all[5].Others(f.now)
	require.True(t, known)
	assert.Less(t, loads[engine].Threads, 1.1*600)
}

// Views that differ in any way make no sum go round and grow: it flows to smaller names only.
func TestNothingGoesRoundWhateverViewsSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "routers")
		f := newFleet(n)
		for range 6 {
			f.view(func(int) (out []Member) {
				for _, m := range f.members() {
					if rapid.IntRange(0, 3).Draw(t, "knows") > 0 {
						out = append(out, m)
					}
				}
				return out
			})
			f.pass(0.3)
			for _, m := range f.all {
				if loads, _, known := m.Others(f.now); known {
					require.LessOrEqual(t, loads[engine].Threads, 3*float64(n)*3, "each counts at most for as many as could hear it")
				}
			}
		}
	})
}

func TestWhatCannotBeIsOfNoUse(t *testing.T) {
	f := newFleet(3)
	f.pass(1)
	for _, m := range []Message{{Kind: Down, Routers: 4}, {Kind: Down}, {Kind: Down, Routers: 3, Age: math.NaN()}, {Kind: Down, Routers: 3, Age: 3},
		{Kind: Down, Routers: 3, Loads: []Load{{engine, math.NaN(), 0}}}, {Kind: Down, Routers: 3, Loads: []Load{{engine, -1, 0}}},
		{Kind: Down, Routers: 3, Loads: []Load{{engine, math.Inf(1), 0}}}, {Kind: 9, Routers: 3}} {
		assert.False(t, f.all[1].Heard(f.now, address(0), &m))
	}
	good := Message{Kind: Down, Routers: 3}
	assert.False(t, f.all[1].Heard(f.now, address(2), &good), "not from below")
	assert.False(t, f.all[1].Heard(f.now, "10.9.9.9:1", &good), "nor from a stranger")
	assert.True(t, f.all[1].Heard(f.now, address(0), &good))
}
