// Package shares divides budgets of a whole fleet of routers among its members, for example the work that an engine in cold start
// can take, so that the shares never sum to more than the total. It is deterministic and does no I/O: times, messages and demand are
// passed in, messages and answers are returned; it reads no clock, opens no socket and uses no random numbers.
//
// There are two forms. FixedDivision divides by the number of routers in the settings and needs no messages. Machine moves shares to
// where they are wanted: a coordinator, which holds a lease from a majority of some configured replicas, issues grants. Grants expire
// by themselves, and count until everything that was done with them must be over. docs/shares.md has the proof and its assumptions.
package shares

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// EngineStart identifies one start of an engine. After a restart an engine has a new budget.
type EngineStart struct {
	Engine    uint32
	StartedAt float64 // seconds, as the list of engines says
	Cores     float64
}

// ColdStartQuota is what the decision module asks about the budgets of engines in cold start. Work is in core-seconds, times are in
// seconds.
type ColdStartQuota interface {
	// CanSpend reports whether this router may send that much work there now.
	CanSpend(now float64, to EngineStart, work float64) bool
	// Spend charges work that is sent.
	Spend(now float64, to EngineStart, work float64)
	// Request notes demand for a batch whose work CanSpend did not allow. It is called for one engine only, as a share that lies
	// idle at one router is missing at the others. It returns for how many seconds from its first call on the batch may wait for a
	// grant.
	Request(now float64, to EngineStart, work float64) float64
}

// FixedConfig says how a total is divided without messages. Times are seconds.
type FixedConfig struct {
	Total      float64 // core-seconds for each core of an engine, within Window, over all routers
	Window     float64
	Routers    float64 // number in the settings; below 1: not known, so no router may use anything
	Index      int     // this router's own number among them; below 0: not configured
	MaxHolders int     // at most this many routers have a share of one engine; the same at every router
	StartedAt  float64 // start of this process: an earlier one may have spent the whole share shortly before
}

// lateSendMargin is for how many seconds beyond its window a use counts, as what is spent last may be sent late.
const lateSendMargin = 0.1

// spareShares is for processes beyond the configured number of routers. A second process under a router's name and number, as while
// one takes over from another, uses that router's share once more, and neither can know of the other.
const spareShares = 1

// FixedDivision gives each router a fixed share. It must not be used concurrently.
type FixedDivision struct {
	FixedConfig
	sharePerCore float64          // core-seconds for each core of an engine
	spent        map[uint32][]use // by engine; Spend deletes uses that no longer count
}

type use struct{ at, amount float64 }

// NewFixedDivision divides a total.
func NewFixedDivision(f FixedConfig) *FixedDivision {
	p := &FixedDivision{FixedConfig: f, spent: map[uint32][]use{}}
	if f.Routers >= 1 {
		p.sharePerCore = f.Total / (min(f.Routers, float64(f.MaxHolders)) + spareShares)
	}
	return p
}

// CanSpend reports whether this router's share covers the work. Of each start of an engine at most MaxHolders routers have a share; all
// routers compute the same choice from the engine, its start and their own numbers.
func (p *FixedDivision) CanSpend(now float64, engine EngineStart, work float64) bool {
	routers, first := int(p.Routers), int(HashFraction(uint64(engine.Engine), math.Float64bits(engine.StartedAt))*p.Routers)
	if now < p.StartedAt+p.Window || p.Index < 0 || p.Index >= routers || (p.Index-first+routers)%routers >= p.MaxHolders {
		return false
	}
	available := p.sharePerCore * engine.Cores
	for _, u := range p.spent[engine.Engine] {
		if u.at > now-p.Window-lateSendMargin {
			available -= u.amount
		}
	}
	return work <= available
}

// Spend charges work that is sent, and deletes uses that no longer count.
func (p *FixedDivision) Spend(now float64, engine EngineStart, work float64) {
	old := func(u use) bool { return u.at < now-p.Window-lateSendMargin }
	if _, known := p.spent[engine.Engine]; !known {
		for engine, uses := range p.spent {
			if old(uses[len(uses)-1]) {
				delete(p.spent, engine)
			}
		}
	}
	p.spent[engine.Engine] = append(slices.DeleteFunc(p.spent[engine.Engine], old), use{now, work})
}

// Request does nothing and allows no wait: there is no coordinator to ask.
func (p *FixedDivision) Request(float64, EngineStart, float64) float64 { return 0 }

// HashFraction returns a pseudo-random number from 0 to below 1 that is the same at every router for the same a and b.
func HashFraction(a, b uint64) float64 {
	h := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return float64(h>>32) / (1 << 32)
}

// Kind is what a budget limits.
type Kind uint8

// The kinds of budgets.
const (
	ColdWork        Kind = iota + 1 // work sent to an engine in cold start
	ExtraDispatches                 // retries and hedges
	Concurrency                     // dispatches in progress
	endOfKinds
)

// Kinds describes each kind: the unit of its amounts, the time over which they are summed, and whether amounts are held and are whole
// numbers. An amount that is held is in use, and counts, until it is released; if its router can no longer report that, it counts
// for the longest time that it may last.
var Kinds = map[Kind]struct {
	Name, Unit, Window string
	Held, Counted      bool
}{
	ColdWork:        {"cold work", "core-seconds", "fall time", false, false},
	ExtraDispatches: {"free further dispatches", "dispatches", "the budget's window", false, true},
	Concurrency:     {"dispatches out", "dispatches", "while they are out", true, true},
}

// String returns the name of the kind as operators see it.
func (k Kind) String() string {
	if description, known := Kinds[k]; known {
		return description.Name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key identifies a budget, the same at every router.
type Key struct {
	Kind      Kind
	Engine    uint32 // 0: the budget is not of an engine
	Qualifier uint64 // of an engine: the bits of the time of its start; otherwise the hash of the budget's configured name
}

// Budget is an amount that all routers together may use.
type Budget struct {
	Key        Key
	Name       string  // for display; empty: the key says enough
	Total      float64 // over all routers
	CountedFor float64 // seconds for which a use counts; of an amount that is held, how long it lasts at most
}

// held reports whether an amount is in use until it is released.
func (b *Budget) held() bool { return Kinds[b.Key.Kind].Held }

// ColdStartKey returns the key of the budget of one start of an engine.
func ColdStartKey(engine EngineStart) Key {
	return Key{ColdWork, engine.Engine, math.Float64bits(engine.StartedAt)}
}

// NamedKey returns the key of a budget that has a name in the settings.
func NamedKey(kind Kind, name string) Key {
	h := fnv.New64a()
	h.Write([]byte(name)) //nolint:errcheck // a hash never returns an error
	return Key{Kind: kind, Qualifier: h.Sum64()}
}

// ID identifies one start of a router. Two processes under one name have different IDs.
type ID struct {
	Name  string
	Start uint64
}

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of messages.
const (
	Claim           MessageKind = iota + 1 // to a replica: asks for the promise that no other router is the coordinator for a term
	Promise                                // of a replica, for the claim with that number
	Refusal                                // of a replica that has promised to another router or has just started
	Resign                                 // to a replica: releases its promise for claims up to that number
	GrantRequest                           // to the coordinator: requests and returns of grants
	Handover                               // a resignation of a coordinator that leaves, with everything that still counts in its ledgers
	GrantReply                             // of the coordinator, or of another router that names it
	RecordUpdate                           // to a replica: grants that are issued or count for less now; with a number, it asks for a RecordAck
	RecordAck                              // of a replica: the records with that number are stored
	RecoveryRequest                        // of a new coordinator to a replica: asks for all its records
	RecoveryPage                           // of a replica: some of its records
	endOfMessageKinds
)

// Message is one datagram.
type Message struct {
	Kind            MessageKind
	From            ID
	FromAddress     string
	ToStart         uint64 // of an answer: the start that it is for. Numbers begin anew with each start, and a late answer may reach the next one
	ReplicaSetHash  uint32 // hash of the list of replicas: routers with different lists ignore each other's messages
	Number          uint64 // of a claim, a set of records or a recovery request, and of what answers or ends it
	Coordinator     string // address of the coordinator; empty: not known
	PreviousPromise ID     // of a promise: to whom the replica had promised before
	Items           []Item

	Page, Pages uint32  // of a replica's records: index of this page, and number of pages
	CompleteFor float64 // of a replica's records: seconds for which it has received every record
}

// isAnswer reports whether the message answers one start of a router and is not for any other start.
func (m *Message) isAnswer() bool {
	switch m.Kind {
	case Promise, Refusal, GrantReply, RecordAck, RecoveryPage:
		return true
	}
	return false
}

// Item is about one grant.
type Item struct {
	Number     uint64 // given by the router that requested the grant
	Attempt    uint32 // of the request; a reply repeats it, as the lease runs from when that attempt was sent
	Key        Key
	Amount     float64 // requested or granted; of a return: used
	Total      float64 // of the budget, as the sender knows it
	CountedFor float64 // seconds for which a use counts
	Lease      float64 // seconds for which the grant is valid; of a record: for which it counts
	Holder     ID      // of a record: the router that holds the grant
	Done       bool    // a return: nothing more is spent of the grant
	TooLarge   bool    // a denial: the coordinator can never grant this amount
}

// OutgoingMessage is a message and the address that it goes to.
type OutgoingMessage struct {
	Destination string
	Message
}

// Settings configure a Machine. Times are seconds.
type Settings struct {
	Replicas           []string // addresses of the routers that elect a coordinator among themselves; the same at every router
	Listen             string   // this router's own address
	FixedFraction      float64  // fraction of each total that stays divided as in FixedDivision
	Lease              float64  // for which a grant is valid
	Term               float64  // for which an election or a renewal makes a router the coordinator
	MaxDrift           float64  // largest relative difference between the rates of two clocks of the fleet
	SendTimeout        float64  // within which spending has to be followed by the send, which may first have to open a connection
	RetryInterval      float64  // after which an unanswered message is sent again
	GrantWait          float64  // for which a batch may wait for a grant: one exchange and one turn of a busy event loop
	IdleTimeout        float64  // after which a grant without demand is returned
	MaxQueued          int      // requests that the coordinator queues for one budget
	MaxRequestFraction float64  // fraction of a total that one request may ask for, unless a single batch needs more
}

// Defaults returns settings for dividing budgets among the routers of one data center. Times are in seconds.
func Defaults() Settings {
	return Settings{FixedFraction: 0.1, Lease: 1, Term: 2, MaxDrift: 0.01, SendTimeout: 0.1, RetryInterval: 0.1, GrantWait: 0.02, IdleTimeout: 0.1, MaxQueued: 1024, MaxRequestFraction: 0.125}
}

// padForDrift returns a duration on this router's clock that is longer than t on any other clock of the fleet.
func (s *Settings) padForDrift(t float64) float64 { return t * (1 + 2*s.MaxDrift) }

// replicaSetHash returns the hash of the list of replicas and of the version of the protocol (the 2): a coordinator that did not
// replicate its grants must not be succeeded by one that relies on the records.
func (s *Settings) replicaSetHash() uint32 {
	h := uint32(2166136261) ^ 2
	for _, address := range s.Replicas {
		for _, c := range []byte(address + " ") {
			h = (h ^ uint32(c)) * 16777619
		}
	}
	return h
}

// Note is an event for the log.
type Note struct {
	Text    string
	Warning bool  // logged as a warning
	Fields  []any // alternating keys and values
}
