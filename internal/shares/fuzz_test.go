package shares

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

type byteReader struct{ data []byte }

func (r *byteReader) next(below int) int {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return int(b) % below
}

// Whatever is heard, what a bursar has given never comes to more than the whole, and a holder has no more than it asked for.
func FuzzMachine(f *testing.F) {
	f.Add([]byte("claims, promises, askings, and what is done"))
	f.Add([]byte{0, 9, 0, 9, 0, 9, 1, 4, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 250, 251, 252, 253, 254, 255})
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &byteReader{data}
		s := Defaults()
		s.Replicas, s.Listen = addresses[:1+2*r.next(2)], addresses[0]
		m, now := New(s, ID{"n1", 1}, FixedConfig{Total: 4, Window: 1, Routers: 3, MaxHolders: 16, StartedAt: 90}, 100), 100.0
		to := func() EngineStart { return EngineStart{Engine: uint32(r.next(2)), StartedAt: 50, Cores: 1} }
		for len(r.data) > 0 {
			now += []float64{0, 0.001, 0.05, 0.3, 1, 3}[r.next(6)]
			switch r.next(5) {
			case 0:
				m.Wake(now)
				require.Greater(t, m.NextWake(), now, "else it would be woken for ever")
			case 1:
				m.Request(now, to(), float64(r.next(40))/8)
			case 2:
				if of, work := to(), float64(1+r.next(16))/8; m.CanSpend(now, of, work) {
					m.Spend(now, of, work)
					require.GreaterOrEqual(t, m.SendDeadline(), now, "what is spent may still be written")
				}
			default:
				message := &Message{Kind: MessageKind(1 + r.next(int(endOfMessageKinds)-1)), From: ID{fmt.Sprint("n", 2+r.next(3)), uint64(r.next(2))}, FromAddress: addresses[1+r.next(3)], ReplicaSetHash: s.replicaSetHash(), ToStart: uint64(r.next(4) / 2),
					Number: uint64(r.next(12)), Coordinator: append(addresses, "")[r.next(5)],
					Page: uint32(r.next(2)), Pages: uint32(r.next(3)), CompleteFor: float64(r.next(9))}
				for range r.next(3) {
					message.Items = append(message.Items, Item{Number: uint64(r.next(6)), Attempt: uint32(r.next(3)), Key: ColdStartKey(to()), Amount: float64(r.next(48)) / 8,
						Total: []float64{4, 4, 4, 2}[r.next(4)], CountedFor: 1.1, Lease: float64(r.next(3)), Done: r.next(3) == 0, TooLarge: r.next(9) == 0,
						Holder: ID{fmt.Sprint("n", 1+r.next(3)), uint64(r.next(2))}})
				}
				m.Receive(now, message)
			}
			m.TakeOutgoing()
			m.TakeNotes()
			for _, b := range m.coordinator.ledgers {
				sum, told := microUnits(0), microUnits(0)
				for of, c := range b.grants {
					sum += c.amount
					if c.recovered || of.Number < 64 && c.done { // what keepers and a bursar who left say may be wrong
						told += c.amount
					}
				}
				require.Equal(t, sum, b.granted)
				if told == 0 {
					require.LessOrEqual(t, b.granted, microUnits(4e6), "the whole was 4 at the most")
				}
			}
			for _, b := range m.budgets {
				require.LessOrEqual(t, b.available(now), 4.0)
			}
		}
	})
}
