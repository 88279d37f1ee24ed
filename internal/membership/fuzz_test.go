package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// reader draws what a fuzzer wants from its bytes.
type reader struct{ data []byte }

func (r *reader) next(below int) int {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return int(b) % below
}

func (r *reader) member() Member {
	name := fmt.Sprint("n", r.next(5))
	return Member{ID: ID{Name: name, Start: uint64(1 + r.next(4))}, Address: fmt.Sprintf("10.0.0.%d:7500", 1+r.next(6)), Incarnation: uint32(r.next(4)),
		State: State(r.next(4)), Accuser: fmt.Sprint("n", r.next(5))}
}

// Whatever is heard, in whatever order and at whatever time, what the machine tells of itself agrees with itself, it sends no
// more than is bounded, and nobody can make it hold itself for gone.
func FuzzMachine(f *testing.F) {
	f.Add([]byte("a start, some words, and a long silence"))
	f.Add([]byte{2, 1, 1, 1, 1, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 200, 100, 50})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &reader{data}
		s := Defaults()
		s.Self, s.Listen, s.Seeds = ID{Name: "n0", Start: 2}, "10.0.0.1:7500", []string{"10.0.0.2:7500"}
		m, now := New(s, 1, 100), 100.0
		for len(r.data) > 0 {
			now += []float64{0, 0.01, 0.1, 0.3, 1, 8, 90}[r.next(7)]
			switch r.next(3) {
			case 0:
				m.Wake(now)
			default:
				message := &Message{Kind: Kind(1 + r.next(6)), From: r.member(), ViewHash: uint64(r.next(3)), MemberCount: r.next(9), Number: uint32(r.next(4)), Target: r.member()}
				message.From.State = Alive
				for range r.next(4) {
					message.Rumours = append(message.Rumours, r.member())
				}
				if message.Kind == Digest {
					message.Hashes = make([]uint32, Buckets)
				}
				m.Receive(now, message)
			}
			// All that goes on for others may end at once, beside a probe, those that help with it, a word to its target and a call.
			require.LessOrEqual(t, len(m.TakeOutgoing()), maxRelayedProbes+s.IndirectProbes+3)
			v := m.View()
			require.Len(t, v.Members, m.Count())
			require.GreaterOrEqual(t, v.SelfIndex, 0)
			hash := uint64(0)
			for _, one := range v.Members {
				hash ^= one.ID.hash()
			}
			require.Equal(t, hash, v.Hash)
			require.Equal(t, Alive, v.Members[v.SelfIndex].State)
			require.GreaterOrEqual(t, m.SelfID().Start, uint64(2), "an own start never falls")
			require.Greater(t, m.NextWake(), now)
		}
	})
}
