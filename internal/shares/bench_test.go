package shares

import "testing"

// BenchmarkRoom is a look at one's part, as the decision module takes for each batch and each engine that is cold.
func BenchmarkRoom(b *testing.B) {
	fixed := Fixed{Whole: 4, Window: 1, Routers: 300, Index: 3, Sharers: 16, Began: 0}
	to := Start{Engine: 7, At: 99, Cores: 8}
	s := Defaults()
	s.Listen, s.Keepers = "10.0.0.1:1", []string{"10.0.0.2:1"}
	m := New(s, ID{"n", 1}, fixed, 50)
	m.Want(100, to, 2)
	m.Wake(100)
	for _, out := range m.Sends() {
		i := out.Items[0]
		i.Lease = 1
		m.Heard(100.001, &Message{Kind: Reply, To: 1, From: ID{"o", 1}, At: "10.0.0.2:1", Roll: s.roll(), Bursar: "10.0.0.2:1", Items: []Item{i}})
	}
	if !m.Came() || !m.Room(100.01, to, 1.9) {
		b.Fatal("a credit should be in hand")
	}
	for name, parts := range map[string]Parts{"fixed": NewPlain(fixed), "moved": m} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				parts.Room(100.01, to, 0.01)
			}
		})
	}
}
