package shares

import "testing"

// BenchmarkRoom is a look at one's part, as the decision module takes for each batch and each engine that is cold.
func BenchmarkRoom(b *testing.B) {
	fixed := FixedConfig{Total: 4, Window: 1, Routers: 300, Index: 3, MaxHolders: 16, StartedAt: 0}
	to := EngineStart{Engine: 7, StartedAt: 99, Cores: 8}
	s := Defaults()
	s.Listen, s.Replicas = "10.0.0.1:1", []string{"10.0.0.2:1"}
	m := New(s, ID{"n", 1}, fixed, 50)
	m.Request(100, to, 2)
	m.Wake(100)
	for _, out := range m.TakeOutgoing() {
		i := out.Items[0]
		i.Lease = 1
		m.Receive(100.001, &Message{Kind: GrantReply, ToStart: 1, From: ID{"o", 1}, FromAddress: "10.0.0.2:1", ReplicaSetHash: s.replicaSetHash(), Coordinator: "10.0.0.2:1", Items: []Item{i}})
	}
	if !m.GrantsArrived() || !m.CanSpend(100.01, to, 1.9) {
		b.Fatal("a credit should be in hand")
	}
	for name, parts := range map[string]ColdStartQuota{"fixed": NewFixedDivision(fixed), "moved": m} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				parts.CanSpend(100.01, to, 0.01)
			}
		})
	}
}
