// Package shares divides among the routers of a fleet what they may use of something only together: work that an engine which
// has just started bears, say. It is pure: times, messages and wishes come in, messages and answers go out; it reads no clock,
// opens no socket and draws no chance.
//
// There are two forms. Plain is a fixed division by the number of routers that settings tell, without talk. Machine moves
// parts to where they are wanted: a bursar, who holds a lease from most of some named keepers, gives credits that end by
// themselves and count on until what was done with them must be over. docs/shares.md has the proof and what it rests on.
package shares

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// EngineStart is one start of an engine: one that is replaced has a budget of its own.
type EngineStart struct {
	Engine    uint32
	StartedAt float64 // seconds; by the list
	Cores     float64
}

// ColdStartQuota is what the decision module asks about the budgets of engines that are cold.
type ColdStartQuota interface {
	// Room tells whether so much work may be sent there now.
	CanSpend(now float64, to EngineStart, work float64) bool
	// Spend counts what is sent.
	Spend(now float64, to EngineStart, work float64)
	// Want tells of a batch for which there was no room, at one engine alone: what lies idle here is missing elsewhere. It
	// gives for how many seconds, from the first time on, the batch may well wait for a part to come.
	Request(now float64, to EngineStart, work float64) float64
}

// FixedConfig says how a whole is divided when nobody talks. Times are seconds.
type FixedConfig struct {
	Total      float64 // for each core, within Window, over all routers
	Window     float64
	Routers    float64 // as settings tell; below 1: not known, so nobody may use anything
	Index      int     // own number among them; below 0: not told
	MaxHolders int     // no more than so many have a part of one engine's; the same at every router
	StartedAt  float64 // own start: an earlier one may have spent all
}

// lateSendMargin is how much longer than its window a use counts: what is sent last may come late.
const lateSendMargin = 0.1

// spareShares is for processes beyond the routers that settings tell. A second one under a router's name and number, as while one
// takes over from another, has that router's part once more, and neither can know of the other.
const spareShares = 1

// FixedDivision is the fixed division.
type FixedDivision struct {
	FixedConfig
	sharePerCore float64          // for each core
	spent        map[uint32][]use // by engine; Spend deletes what no longer counts
}

type use struct{ at, amount float64 }

// NewFixedDivision divides a whole.
func NewFixedDivision(f FixedConfig) *FixedDivision {
	p := &FixedDivision{FixedConfig: f, spent: map[uint32][]use{}}
	if f.Routers >= 1 {
		p.sharePerCore = f.Total / (min(f.Routers, float64(f.MaxHolders)) + spareShares)
	}
	return p
}

// CanSpend holds a wish against the own part. Few routers have it all, picked alike everywhere by engine, start and own number.
func (p *FixedDivision) CanSpend(now float64, to EngineStart, work float64) bool {
	n, first := int(p.Routers), int(HashFraction(uint64(to.Engine), math.Float64bits(to.StartedAt))*p.Routers)
	if now < p.StartedAt+p.Window || p.Index < 0 || p.Index >= n || (p.Index-first+n)%n >= p.MaxHolders {
		return false
	}
	room := p.sharePerCore * to.Cores
	for _, u := range p.spent[to.Engine] {
		if u.at > now-p.Window-lateSendMargin {
			room -= u.amount
		}
	}
	return work <= room
}

// Spend counts what is sent, and forgets what no longer counts.
func (p *FixedDivision) Spend(now float64, to EngineStart, work float64) {
	old := func(u use) bool { return u.at < now-p.Window-lateSendMargin }
	if _, known := p.spent[to.Engine]; !known {
		for engine, uses := range p.spent {
			if old(uses[len(uses)-1]) {
				delete(p.spent, engine)
			}
		}
	}
	p.spent[to.Engine] = append(slices.DeleteFunc(p.spent[to.Engine], old), use{now, work})
}

// Request changes nothing: there is nobody to ask.
func (p *FixedDivision) Request(float64, EngineStart, float64) float64 { return 0 }

// HashFraction draws a number below 1 that is alike at every router.
func HashFraction(a, b uint64) float64 {
	h := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return float64(h>>32) / (1 << 32)
}

// Kind is what a budget is of.
type Kind uint8

// The kinds.
const (
	ColdWork Kind = iota + 1
	ExtraDispatches
	Concurrency
	endOfKinds
)

// Kinds has each kind once: what its amounts are, and over which time they are summed. What is held is used until it is freed, and
// counts so long; of whoever can't say so any more it counts for the longest that it may last.
var Kinds = map[Kind]struct {
	Name, Unit, Window string
	Held, Counted      bool
}{
	ColdWork:        {"cold work", "core-seconds", "fall time", false, false},
	ExtraDispatches: {"free further dispatches", "dispatches", "the budget's window", false, true},
	Concurrency:     {"dispatches out", "dispatches", "while they are out", true, true},
}

func (k Kind) String() string {
	if of, known := Kinds[k]; known {
		return of.Name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key names a budget alike at every router.
type Key struct {
	Kind      Kind
	Engine    uint32 // an engine; 0: none
	Qualifier uint64 // the bits of the time of its start; where operators name the budget, the hash of that name
}

// Budget is something of which all routers together may use only so much.
type Budget struct {
	Key        Key
	Name       string  // for who looks on; empty: the key tells it
	Total      float64 // over all routers
	CountedFor float64 // seconds for which a use counts; of what is held, how long it lasts at the most
}

func (b *Budget) held() bool { return Kinds[b.Key.Kind].Held }

// ColdStartKey names the budget of a start of an engine.
func ColdStartKey(of EngineStart) Key {
	return Key{ColdWork, of.Engine, math.Float64bits(of.StartedAt)}
}

// NamedKey names a budget that operators have named.
func NamedKey(kind Kind, name string) Key {
	h := fnv.New64a()
	h.Write([]byte(name)) //nolint:errcheck // it never fails
	return Key{Kind: kind, Qualifier: h.Sum64()}
}

// ID is one start of a router: a name used twice is two of them.
type ID struct {
	Name  string
	Start uint64
}

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	Claim           MessageKind = iota + 1 // to a keeper: promise me that nobody else is the bursar
	Promise                                // of a keeper, for the claim of that number
	Refusal                                // of a keeper: another has my promise, or I have just started
	Resign                                 // to a keeper: I no longer want what you promised me for claims up to this number
	GrantRequest                           // to the bursar: these credits are wanted, those are done with
	Handover                               // a yield of a bursar who leaves, with all that still counts in his books
	GrantReply                             // of the bursar, or of a keeper who is not: who is
	RecordUpdate                           // to a keeper: this is given, or counts for less now; with a number it wants to be answered
	RecordAck                              // of a keeper: I know
	RecoveryRequest                        // of a new bursar to a keeper: what counts?
	RecoveryPage                           // a page of that
	endOfMessageKinds
)

// Message is one datagram.
type Message struct {
	Kind            MessageKind
	From            ID
	FromAddress     string // address of the sender
	ToStart         uint64 // of an answer: the start that it is for. Numbers begin anew with each, and an answer may come to the next one
	ReplicaSetHash  uint32 // hash of the keepers' list: those who were told other keepers have nothing to do with each other
	Number          uint64 // of a claim, and of what answers or ends it
	Coordinator     string // address, where it is known
	PreviousPromise ID     // of a promise: whom its keeper promised before
	Items           []Item

	Page, Pages uint32  // of what a keeper knows
	CompleteFor float64 // for how long it has been told all, seconds
}

// isAnswer tells whether it is an answer to one start of a router.
func (m *Message) isAnswer() bool {
	switch m.Kind {
	case Promise, Refusal, GrantReply, RecordAck, RecoveryPage:
		return true
	}
	return false
}

// Item is about one credit.
type Item struct {
	Number     uint64 // of its holder's
	Attempt    uint32 // of asking for it; an answer has that of the asking that it answers, as the lease runs from there
	Key        Key
	Amount     float64 // wanted, or given; of one that is done, used
	Total      float64 // of the budget, as the holder knows it
	CountedFor float64 // seconds that a use counts on
	Lease      float64 // seconds for which it is given; of a record: for which it counts
	Holder     ID      // of a record: its holder
	Done       bool    // nothing more is used of it
	TooLarge   bool    // the whole does not bear it
}

// OutgoingMessage is a message that is to go to an address.
type OutgoingMessage struct {
	Destination string
	Message
}

// Settings say how a machine goes about it. Times are seconds.
type Settings struct {
	Replicas           []string // addresses of the routers that choose a bursar among themselves; the same at every router
	Listen             string   // own address
	FixedFraction      float64  // share of each whole that stays divided as Plain does, whatever happens
	Lease              float64  // of a credit
	Term               float64  // of the bursar's office, unless it is renewed
	MaxDrift           float64  // no two clocks of the fleet differ by more in their rates
	SendTimeout        float64  // what is spent has to be on its way by then: a connection may still have to be made
	RetryInterval      float64  // an asking without an answer is sent again
	GrantWait          float64  // a batch may well wait so long for a credit: an exchange, and a turn of a loop that is busy
	IdleTimeout        float64  // a credit that nobody has wanted for so long goes back
	MaxQueued          int      // askings that wait at the bursar for one budget, at the most
	MaxRequestFraction float64  // share of a whole that is asked for at once, beyond what a single batch takes
}

// Defaults fit routers in one hall.
func Defaults() Settings {
	return Settings{FixedFraction: 0.1, Lease: 1, Term: 2, MaxDrift: 0.01, SendTimeout: 0.1, RetryInterval: 0.1, GrantWait: 0.02, IdleTimeout: 0.1, MaxQueued: 1024, MaxRequestFraction: 0.125}
}

// padForDrift is a time of one's own that lasts longer than that time does on any other clock of the fleet.
func (s *Settings) padForDrift(t float64) float64 { return t * (1 + 2*s.MaxDrift) }

// replicaSetHash is the hash of the keepers' list, and of how they go about it: a bursar who told keepers nothing of what he gave must not be
// followed by one who believes them to know.
func (s *Settings) replicaSetHash() uint32 {
	h := uint32(2166136261) ^ 2
	for _, k := range s.Replicas {
		for _, c := range []byte(k + " ") {
			h = (h ^ uint32(c)) * 16777619
		}
	}
	return h
}

// Note is a change, for who looks on.
type Note struct {
	Text    string
	Warning bool
	Fields  []any
}
