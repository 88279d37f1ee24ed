// Package membership is the membership protocol and failure detector of a fleet of routers. It tells which routers are
// present, which have failed, and how certain that view is. It is a pure state machine: its input is messages, times and the
// request to leave; its output is messages to send and notes to log. It reads no clock, opens no socket and takes randomness
// only from its seed, so that whole fleets can be simulated.
//
// SWIM (Das, Gupta, Motivala, DSN 2002) is the source of round-robin probes, indirect probes, suspicion, and rumours that are
// piggybacked on probe packets. Lifeguard (Dadgar, Phillips, Currey, 2017) is the source of suspicion timeouts that shrink
// with independent accusers, of notifying the suspected member first, and of local health. This package adds a start number
// beside the name, four levels of certainty, anti-entropy by bucket hashes, and local lateness measured on its own timer.
package membership

import (
	"cmp"
	"math"
)

// State is the state of a member as this router sees it.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Left // announced that it leaves
	Dead // its suspicion timed out, or a newer start replaced it
)

var stateNames = []string{"alive", "suspect", "left", "dead"}

// String returns the name of the state as logs and the status page show it.
func (s State) String() string { return stateNames[min(s, Dead)] }

// ID identifies one start (process lifetime) of a router.
type ID struct {
	Name  string
	Start uint64 // larger for a newer start of the same name; each router assigns its own, no clocks are compared
}

// Member is what a router reports of another router or of itself.
type Member struct {
	ID
	Address     string // host:port that receives its peer messages
	Incarnation uint32 // raised only by the member itself, to refute a suspicion
	State       State
	Accuser     string // name of the member that raised the suspicion; empty without one
}

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping        Kind = iota + 1 // is answered by an Ack with the same number
	Ack                         // answers a Ping, or a PingRequest whose target has answered
	PingRequest                 // asks the receiver to probe Target for the sender
	Nack                        // answers a PingRequest: the target did not answer the helper either
	Digest                      // carries bucket hashes; is answered by all members of the buckets that differ
	Gossip                      // carries rumours only
)

// Message is the content of one datagram. Space that is left in the datagram is filled with rumours.
type Message struct {
	Kind        Kind
	From        Member
	ViewHash    uint64   // hash of the sender's view
	MemberCount int      // number of members in the sender's view
	Number      uint32   // matches an answer to its Ping or PingRequest
	Target      Member   // of a PingRequest: the member to probe; of a Ping: the member it is meant for
	Hashes      []uint32 // of a Digest: one hash for each bucket
	IsReply     bool     // this Digest answers another one and is not answered by a Digest
	Rumours     []Member
}

// OutgoingMessage is a message to be sent to an address.
type OutgoingMessage struct {
	To string
	Message
}

// Buckets is the number of buckets into which members are divided by name hash for anti-entropy.
const Buckets = 64

// Certainty is how far a router may rely on its view. Code that depends on membership checks it rather than relying on the
// member count alone.
type Certainty uint8

// The levels of certainty.
const (
	Alone    Certainty = iota // peer messaging is off, no other router was ever found, or another router has this name
	Settled                   // all recent senders have the same view, and none of its members is suspected
	Changing                  // neither settled nor one of the other levels
	CutOff                    // fewer than half of the members of the last settled view are present
)

var certaintyNames = []string{"alone", "settled", "changing", "cut off"}

// String returns the name of the level as logs and the status page show it.
func (c Certainty) String() string { return certaintyNames[min(c, CutOff)] }

// View is a snapshot of the present members. Times are seconds on the clock that the caller passes in.
type View struct {
	Members        []Member // ordered by name; includes this router and suspected members
	Changes        uint64   // number of changes of the view so far
	Hash           uint64   // of the names and starts of the members
	Since          float64  // time of the last change
	Certainty      Certainty
	CertaintySince float64 // time at which Certainty took its value
	AgreeCount     int     // recent senders whose view has the same hash
	DifferCount    int     // recent senders whose view has another hash
	SelfIndex      int     // index of this router in Members
}

// Settings configure a Machine. Times are seconds.
type Settings struct {
	Self   ID
	Listen string   // this router's address, as others reach it
	Seeds  []string // addresses to contact for joining; this router's own is skipped

	ProbeInterval        float64 // time between two probes
	ProbeTimeout         float64 // time without an answer after which helpers are asked to probe
	IndirectProbes       int     // number of helpers for each probe
	SuspicionMultiplier  float64 // minimum suspicion timeout: this times ProbeInterval times log10 of the member count
	MaxSuspicionFactor   float64 // maximum suspicion timeout, with a single accuser, as a multiple of the minimum
	ExpectedAccusers     int     // further accusers that reduce the timeout to its minimum
	RetransmitMultiplier float64 // transmissions of a rumour: this times log2 of the member count plus 1
	MaxRumourBytes       int     // bytes of rumours in one packet
	SettleDelay          float64 // time without a change after which a view may be settled
	RecentWindow         float64 // a sender is recent for this long after its last message
	SyncInterval         float64 // minimum time between two digests that are sent on a mismatch
	JoinInterval         float64 // time between two contacts of a seed while none is in the view; thirty times as long afterwards
	DeadRetention        float64 // records of members that left or died are kept for this long
	AcceptLossAfter      float64 // dead members count as lost for good after this time, which ends CutOff
}

// Defaults returns settings for routers in one data centre: a failure is detected within about three seconds, at eight
// packets a second for each router.
func Defaults() Settings {
	return Settings{
		ProbeInterval:        0.25,
		ProbeTimeout:         0.1,
		IndirectProbes:       3,
		SuspicionMultiplier:  2.5,
		MaxSuspicionFactor:   6,
		ExpectedAccusers:     3,
		RetransmitMultiplier: 3,
		MaxRumourBytes:       900,
		SettleDelay:          1.5,
		RecentWindow:         2,
		SyncInterval:         1,
		JoinInterval:         1,
		DeadRetention:        60,
		AcceptLossAfter:      60,
	}
}

// Note is an event to log.
type Note struct {
	Text    string
	Warning bool  // logged as a warning
	Fields  []any // alternating keys and values
}

// minSuspicion returns the suspicion timeout with enough accusers, in seconds, for a number of members.
func (s *Settings) minSuspicion(members int) float64 {
	return s.SuspicionMultiplier * s.ProbeInterval * max(1, math.Log10(float64(members)))
}

// suspicionTimeout returns the suspicion timeout in seconds with a number of accusers beyond the first (Lifeguard's formula).
func (s *Settings) suspicionTimeout(members, accusers int) float64 {
	shortest := s.minSuspicion(members)
	longest := s.MaxSuspicionFactor * shortest
	expected := min(s.ExpectedAccusers, members-2)
	if expected < 1 {
		return shortest
	}
	return max(shortest, longest-(longest-shortest)*math.Log(float64(accusers+1))/math.Log(float64(expected+1)))
}

// retransmitLimit returns how many times a rumour is sent in a fleet of that many members.
func (s *Settings) retransmitLimit(members int) int {
	return int(math.Ceil(s.RetransmitMultiplier * math.Log2(float64(members)+1)))
}

// hash returns the hash of a start: FNV-1a with a final mixing step. The hash of a view is the exclusive or of its members'
// hashes, so that it does not depend on their order.
func (id ID) hash() uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id.Name) {
		h = (h ^ uint64(id.Name[i])) * 1099511628211
	}
	for shift := 0; shift < 64; shift += 8 {
		h = (h ^ id.Start>>shift&0xff) * 1099511628211
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// encodedSize returns the approximate size of the member as a rumour in a packet, in bytes.
func (m *Member) encodedSize() int { return 26 + len(m.Name) + len(m.Address) + len(m.Accuser) }

func compareByName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
