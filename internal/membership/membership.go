// Package membership lets the routers of a fleet know each other: who is there, who has failed, and how sure one may be of
// that. It is a pure state machine: messages, times and the wish to leave come in, messages to be sent and notes go out. It
// reads no clock, opens no socket and draws chance from its seed alone, so that whole fleets are played in simulated time.
//
// The ways are published ones: SWIM (Das, Gupta, Motivala, DSN 2002) for probes in turn, probes by others, suspicion and
// rumours on the packets of probes; Lifeguard (Dadgar, Phillips, Currey, 2017) for suspicion that shortens with accusers
// who are independent, for telling the accused first, and for who is late himself. What is ours: a start beside the name,
// four states of certainty, comparing by buckets, and lateness measured on one's own timer.
package membership

import (
	"cmp"
	"math"
)

// State is what a member is held for.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Left // it said so
	Dead // it was given up
)

var stateNames = []string{"alive", "suspect", "left", "dead"}

func (s State) String() string { return stateNames[min(s, Dead)] }

// ID is one start of a router.
type ID struct {
	Name  string
	Start uint64 // the newer start of a name has the larger one; by our own word only, no clock of another is asked
}

// Member is what one tells of another, or of itself.
type Member struct {
	ID
	Address     string // where it is spoken to
	Incarnation uint32 // raised by itself alone, to refute
	State       State
	Accuser     string // of a suspicion: who accuses
}

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Ping        Kind = iota + 1 // wants an Ack with the same number
	Ack                         // of a Ping, or of an Ask whose target has answered
	PingRequest                 // probe the target for me
	Nack                        // of an Ask: the target does not answer me either, but I am here
	Digest                      // these are the hashes of my buckets: tell me of those that differ
	Gossip                      // rumours alone
)

// Message is one datagram. Rumours fill it up.
type Message struct {
	Kind        Kind
	From        Member
	ViewHash    uint64 // hash of the sender's view
	MemberCount int    // of its members
	Number      uint32
	Target      Member   // of Ask; of Ping: whom it is meant for
	Hashes      []uint32 // of Compare
	IsReply     bool     // this Compare answers one, and wants none
	Rumours     []Member
}

// OutgoingMessage is a message that is to go to an address.
type OutgoingMessage struct {
	To string
	Message
}

// Buckets are how many parts members are divided into for comparing.
const Buckets = 64

// Certainty is how far a router may rely on its view. What depends on membership asks for this, never for a bare count.
type Certainty uint8

// The four.
const (
	Alone    Certainty = iota // no talk is wanted, nobody was ever found, or another has this router's name
	Settled                   // all heard lately have the same view, and nobody in it is suspected
	Changing                  // neither
	CutOff                    // less than half of those with whom it last settled are there
)

var certaintyNames = []string{"alone", "settled", "changing", "cut off"}

func (c Certainty) String() string { return certaintyNames[min(c, CutOff)] }

// View is who is there.
type View struct {
	Members        []Member // by name; suspected ones are in it
	Changes        uint64   // of changes so far
	Hash           uint64   // of names and starts
	Since          float64
	Certainty      Certainty
	CertaintySince float64 // since when
	AgreeCount     int     // members heard lately that have the same view, and
	DifferCount    int     // that have not
	SelfIndex      int     // own place among the members
}

// Settings say how a machine goes about it. Times are seconds.
type Settings struct {
	Self   ID
	Listen string   // own address, as others know it
	Seeds  []string // addresses where somebody may be; own one is passed over

	ProbeInterval        float64 // between two probes
	ProbeTimeout         float64 // a probe without an answer is taken to others
	IndirectProbes       int     // so many of them
	SuspicionMultiplier  float64 // times Every and the logarithm to ten of the members: how long a suspicion lasts at the least,
	MaxSuspicionFactor   float64 // and times that at the most, with one accuser
	ExpectedAccusers     int     // others who accuse until it is the least
	RetransmitMultiplier float64 // times the logarithm to two of the members: how often a rumour is told
	MaxRumourBytes       int     // bytes of them on a packet
	SettleDelay          float64 // a view without change for so long may settle
	RecentWindow         float64 // what was heard before counts no longer
	SyncInterval         float64 // between two comparings
	JoinInterval         float64 // between two calls at seeds: while nobody is known, and thirty times that later
	DeadRetention        float64 // those that are gone are remembered for so long
	AcceptLossAfter      float64 // cut off for so long, those who are missing count as gone for good
}

// Defaults fit routers in one hall: a death is known within some three seconds, at eight packets a second for each.
func Defaults() Settings {
	return Settings{ProbeInterval: 0.25, ProbeTimeout: 0.1, IndirectProbes: 3, SuspicionMultiplier: 2.5, MaxSuspicionFactor: 6, ExpectedAccusers: 3, RetransmitMultiplier: 3, MaxRumourBytes: 900, SettleDelay: 1.5, RecentWindow: 2,
		SyncInterval: 1, JoinInterval: 1, DeadRetention: 60, AcceptLossAfter: 60}
}

// Note is a change, for who looks on.
type Note struct {
	Text    string
	Warning bool
	Fields  []any
}

// minSuspicion is how long a suspicion lasts where enough accuse, by the number of members.
func (s *Settings) minSuspicion(members int) float64 {
	return s.SuspicionMultiplier * s.ProbeInterval * max(1, math.Log10(float64(members)))
}

// suspicionTimeout is how long a suspicion lasts with so many accusers beyond the first (Lifeguard's formula).
func (s *Settings) suspicionTimeout(members, accusers int) float64 {
	least := s.minSuspicion(members)
	most := s.MaxSuspicionFactor * least
	need := min(s.ExpectedAccusers, members-2)
	if need < 1 {
		return least
	}
	return max(least, most-(most-least)*math.Log(float64(accusers+1))/math.Log(float64(need+1)))
}

// retransmitLimit is how often a rumour is told.
func (s *Settings) retransmitLimit(members int) int {
	return int(math.Ceil(s.RetransmitMultiplier * math.Log2(float64(members)+1)))
}

// hash of a start; views are the exclusive or of their members' hashes, so that order is nothing.
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

// encodedSize is about what a rumour takes on a packet.
func (m *Member) encodedSize() int { return 26 + len(m.Name) + len(m.Address) + len(m.Accuser) }

func compareByName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
