package talk

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/shares"
)

func newTestMember(name string) membership.Member {
	return membership.Member{ID: membership.ID{Name: name, Start: 17}, Address: "127.0.0.1:7500", Incarnation: 3, State: membership.Alive}
}

func newTestMessage() *Message {
	m := &Message{Message: membership.Message{Kind: membership.PingRequest, From: newTestMember("n1"), ViewHash: 0xfedcba9876543210, MemberCount: 12, Number: 99, Target: newTestMember("n2")}}
	for i := range 30 {
		r := newTestMember(fmt.Sprint("n", i))
		r.State, r.Accuser = membership.Suspect, "n1"
		m.Rumours = append(m.Rumours, r)
	}
	return m
}

func TestMessageRoundTrip(t *testing.T) {
	data, err := Encode("fleet", newTestMessage())
	require.NoError(t, err)
	got, err := Decode("fleet", data)
	require.NoError(t, err)
	assert.Equal(t, newTestMessage(), got)
	compare := &Message{Message: membership.Message{Kind: membership.Digest, From: newTestMember("n1"), Hashes: make([]uint32, membership.Buckets), IsReply: true}}
	if data, err = Encode("fleet", compare); assert.NoError(t, err) {
		got, err = Decode("fleet", data)
		require.NoError(t, err)
		assert.Equal(t, compare, got)
	}
	long := newTestMessage()
	long.Rumours = append(long.Rumours, long.Rumours...)
	_, err = Encode("fleet", long)
	assert.ErrorIs(t, err, ErrTooLong)
}

func TestSharesMessageRoundTrip(t *testing.T) {
	from := newTestMember("n1")
	m := &Message{Message: membership.Message{Kind: membership.Gossip, From: from, ViewHash: 7, MemberCount: 3}, Shares: &shares.Message{Kind: shares.GrantRequest,
		From: shares.ID{Name: from.Name, Start: from.Start}, FromAddress: from.Address, ReplicaSetHash: 9, Number: 4, Coordinator: "127.0.0.1:7501",
		Items: []shares.Item{{Number: 1 << 40, Attempt: 2, Key: shares.ColdStartKey(shares.EngineStart{Engine: 7, StartedAt: 1e9}), Amount: 1.5, Total: 6, CountedFor: 1.1},
			{Number: 8, Key: shares.ColdStartKey(shares.EngineStart{Engine: 8, StartedAt: 1e9}), Done: true}}}}
	data, err := Encode("fleet", m)
	require.NoError(t, err)
	got, err := Decode("fleet", data)
	require.NoError(t, err)
	assert.Equal(t, m, got)
	for name, spoil := range map[string]func(s *Shares){
		"no shares":          nil,
		"no number":          func(s *Shares) { s.Items[0].Amount = math.NaN() },
		"below nothing":      func(s *Shares) { s.Items[1].Amount = -1 },
		"for ever":           func(s *Shares) { s.Items[0].Lease = math.Inf(1) },
		"too many":           func(s *Shares) { s.Items = make([]*Credit, 65) },
		"a bursar by a name": func(s *Shares) { s.Bursar = "localhost:80" },
	} {
		var p Packet
		require.NoError(t, proto.Unmarshal(data, &p))
		if spoil == nil {
			p.Shares = nil
		} else {
			spoil(p.Shares)
		}
		if spoiled, err := proto.Marshal(&p); assert.NoError(t, err) {
			_, err = Decode("fleet", spoiled)
			assert.ErrorIs(t, err, ErrMalformed, name)
		}
	}
	var p Packet
	require.NoError(t, proto.Unmarshal(data, &p))
	p.Shares.Items[0].Kind, p.Shares.Kind = 200, 99
	data, err = proto.Marshal(&p)
	require.NoError(t, err)
	got, err = Decode("fleet", data)
	require.NoError(t, err)
	assert.Len(t, got.Shares.Items, 1, "a budget of a kind that is not known is a newer version's")
	assert.Zero(t, got.Shares.Kind)
}

// What a keeper is told has its holder's name: seven of them fit a datagram whatever routers are called, sixteen did not.
func TestLargestMessagesFitDatagram(t *testing.T) {
	name, address, large := strings.Repeat("n", 64), "255.255.255.255:65535", uint64(math.MaxUint64)
	from := membership.Member{ID: membership.ID{Name: name, Start: large}, Address: address, Incarnation: math.MaxUint32}
	envelope := membership.Message{Kind: membership.Gossip, From: from, ViewHash: large, MemberCount: 1 << 20}
	item := shares.Item{Number: large, Attempt: math.MaxUint32, Key: shares.Key{Kind: shares.Concurrency, Engine: math.MaxUint32, Qualifier: large}, Amount: 1.1, Total: 1.1, CountedFor: 1.1,
		Lease: 1.1, Holder: shares.ID{Name: name, Start: large}}
	said := shares.Message{Kind: shares.RecoveryPage, From: shares.ID{Name: name, Start: large}, FromAddress: address, ToStart: large, ReplicaSetHash: math.MaxUint32, Number: large, Coordinator: address,
		Page: 4000, Pages: 4001, CompleteFor: 1.1}
	for range shares.MaxRecordsPerMessage {
		said.Items = append(said.Items, item)
	}
	all := news.Message{Kind: news.Down, Routers: 1 << 20, Age: 0.1}
	for range news.MaxLoads {
		all.Loads = append(all.Loads, news.Load{EngineStart: news.EngineStart{Engine: math.MaxUint32, Start: large}, Threads: 1.1, Memory: 1.1})
	}
	for _, m := range []Message{{Message: envelope, Shares: &said}, {Message: envelope, News: &all}} {
		data, err := Encode(strings.Repeat("f", 64), &m)
		require.NoError(t, err)
		_, err = Decode(strings.Repeat("f", 64), data)
		require.NoError(t, err)
	}
}

func TestAdditionsOfNewerVersionsAreIgnored(t *testing.T) {
	data, err := Encode("fleet", newTestMessage())
	require.NoError(t, err)
	data = protowire.AppendBytes(protowire.AppendTag(data, 900, protowire.BytesType), []byte("news"))
	got, err := Decode("fleet", data)
	require.NoError(t, err)
	assert.Equal(t, newTestMessage(), got)
	var p Packet
	require.NoError(t, proto.Unmarshal(data, &p))
	p.Kind, p.Version = 77, 2
	if data, err = proto.Marshal(&p); assert.NoError(t, err) {
		got, err = Decode("fleet", data)
		require.NoError(t, err)
		assert.Equal(t, membership.Gossip, got.Kind, "a kind that is not known still brings its rumours")
		assert.Len(t, got.Rumours, 30)
	}
}

func TestMalformedPacketsAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(p *Packet){
		"no sender":              func(p *Packet) { p.From = nil },
		"no name":                func(p *Packet) { p.From.Name = "" },
		"a name with a line":     func(p *Packet) { p.From.Name = "n1\nn2" },
		"a long name":            func(p *Packet) { p.Rumours[7].Name = strings.Repeat("n", 65) },
		"no start":               func(p *Packet) { p.Rumours[2].Start = 0 },
		"a host's name":          func(p *Packet) { p.From.Address = "localhost:80" },
		"no port":                func(p *Packet) { p.Target.Address = "127.0.0.1:0" },
		"a state of no kind":     func(p *Packet) { p.Rumours[0].State = 4 },
		"a sender that is dead":  func(p *Packet) { p.From.State = State_DEAD },
		"an ask about nobody":    func(p *Packet) { p.Target = nil },
		"hashes where none are":  func(p *Packet) { p.Rumours, p.Hashes = nil, make([]uint32, membership.Buckets) },
		"a compare without":      func(p *Packet) { p.Kind = Kind_COMPARE },
		"some hashes":            func(p *Packet) { p.Kind, p.Hashes = Kind_COMPARE, make([]uint32, 3) },
		"no version":             func(p *Packet) { p.Version = 0 },
		"an accuser that is not": func(p *Packet) { p.Rumours[1].By = "\x00" },
	} {
		data, err := Encode("fleet", newTestMessage())
		require.NoError(t, err)
		var p Packet
		require.NoError(t, proto.Unmarshal(data, &p))
		spoil(&p)
		data, err = proto.Marshal(&p)
		require.NoError(t, err)
		_, err = Decode("fleet", data)
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
	data, err := Encode("fleet", newTestMessage())
	require.NoError(t, err)
	_, err = Decode("another", data)
	assert.ErrorIs(t, err, ErrOtherFleet)
	_, err = Decode("fleet", bytes.Repeat(data, 40))
	assert.ErrorIs(t, err, ErrTooLong)
	for n := range data {
		if got, err := Decode("fleet", data[:n]); err == nil {
			assert.NotEmpty(t, got.From.Name, "cut at %d", n)
		}
	}
}

// Whatever passes can be said again, and is the same then; the machine takes it in without harm.
func FuzzDecode(f *testing.F) {
	data, _ := Encode("fleet", newTestMessage())
	f.Add(data)
	data, _ = Encode("fleet", &Message{Message: membership.Message{Kind: membership.Digest, From: newTestMember("n3"), Hashes: make([]uint32, membership.Buckets)}})
	f.Add(data)
	data, _ = Encode("fleet", &Message{Message: membership.Message{Kind: membership.Ping, From: newTestMember("me"), Number: 4}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode("fleet", data)
		if err != nil {
			return
		}
		again, err := Encode("fleet", m)
		require.NoError(t, err)
		got, err := Decode("fleet", again)
		require.NoError(t, err)
		require.Equal(t, m, got)
		s := membership.Defaults()
		s.Self, s.Listen = membership.ID{Name: "me", Start: 5}, "127.0.0.1:7400"
		machine := membership.New(s, 1, 100)
		for i := range 3 {
			machine.Receive(100+float64(i), &m.Message)
			for _, out := range machine.TakeOutgoing() {
				_, err := Encode("fleet", &Message{Message: out.Message})
				require.NoError(t, err)
			}
			machine.Wake(machine.NextWake())
		}
		v := machine.View()
		require.Len(t, v.Members, machine.Count())
		require.GreaterOrEqual(t, v.SelfIndex, 0)
	})
}
