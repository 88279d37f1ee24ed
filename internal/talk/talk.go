// Package talk encodes and decodes the messages between the routers of a fleet: one protobuf packet in each datagram. A packet is
// validated completely before any of it is used. For a packet that is malformed, too long or of another fleet, Decode returns an
// error with the reason, and the caller drops the packet.
package talk

import (
	"errors"
	"fmt"
	"net/netip"
	"unicode"

	"google.golang.org/protobuf/proto"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/shares"
)

//go:generate go run ./generate

const (
	version = 1 // protocol version that this router sends

	// MaxDatagram is the maximum size of a datagram in bytes. Common networks carry this size without fragmentation. Longer ones
	// are neither sent nor decoded.
	MaxDatagram = 1400

	maxNameLength = 64  // bytes, of names and of addresses
	maxRumours    = 128 // in one packet
)

// Errors of Encode and Decode wrap one of these, except where protobuf fails to encode.
var (
	ErrTooLong    = errors.New("packet is too long")
	ErrMalformed  = errors.New("malformed packet")
	ErrOtherFleet = errors.New("packet is of another fleet")
)

var kindToWire = map[membership.Kind]Kind{membership.Ping: Kind_PING, membership.Ack: Kind_ACK, membership.PingRequest: Kind_ASK,
	membership.Nack: Kind_NACK, membership.Digest: Kind_COMPARE, membership.Gossip: Kind_TELL}

// kindFromWire has no entry for kinds of newer versions. Decode reads them as Gossip, so that their rumours are still used.
var kindFromWire = map[Kind]membership.Kind{Kind_PING: membership.Ping, Kind_ACK: membership.Ack, Kind_ASK: membership.PingRequest,
	Kind_NACK: membership.Nack, Kind_COMPARE: membership.Digest}

// Message is the content of one datagram. Every message holds its sender and the hash of the sender's view.
type Message struct {
	membership.Message
	Shares *shares.Message // quota message; nil: none
	News   *news.Message   // load report; nil: none
}

// Encode returns the datagram of a message. It fails if the datagram would be longer than MaxDatagram, which is a bug of the
// sender.
func Encode(fleet string, m *Message) ([]byte, error) {
	p := Packet{Version: version, Fleet: fleet, From: encodeMember(&m.From), View: m.ViewHash, Count: uint32(m.MemberCount), Kind: kindToWire[m.Kind],
		Number: m.Number, Hashes: m.Hashes, Answer: m.IsReply}
	if m.Target.Name != "" {
		p.Target = encodeMember(&m.Target)
	}
	for i := range m.Rumours {
		p.Rumours = append(p.Rumours, encodeMember(&m.Rumours[i]))
	}
	if m.Shares != nil {
		p.Kind, p.Shares = Kind_SHARES, encodeShares(m.Shares)
	}
	if m.News != nil {
		p.Kind, p.News = Kind_NEWS, encodeNews(m.News)
	}
	out, err := proto.Marshal(&p)
	if err != nil {
		return nil, fmt.Errorf("talk: %w", err)
	}
	if len(out) > MaxDatagram {
		return nil, fmt.Errorf("talk: %w: %d bytes", ErrTooLong, len(out))
	}
	return out, nil
}

// Decode parses and validates a datagram that was sent to a router of the given fleet.
func Decode(fleet string, data []byte) (*Message, error) {
	if len(data) > MaxDatagram {
		return nil, fmt.Errorf("talk: %w: %d bytes", ErrTooLong, len(data))
	}
	var p Packet
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("talk: %w: %s", ErrMalformed, err) //nolint:errorlint // not wrapped: the protobuf library's error texts differ from run to run
	}
	if p.Fleet != fleet {
		return nil, fmt.Errorf("talk: %w", ErrOtherFleet)
	}
	malformed := func(part string) (*Message, error) { return nil, fmt.Errorf("talk: %w: %s", ErrMalformed, part) }
	if p.Version == 0 {
		return malformed("version")
	}
	m := &Message{Message: membership.Message{ViewHash: p.View, MemberCount: int(p.Count), Number: p.Number, Hashes: p.Hashes, IsReply: p.Answer}}
	var known bool
	if m.Kind, known = kindFromWire[p.Kind]; !known {
		m.Kind = membership.Gossip
	}
	if m.From, known = decodeMember(p.From); !known || m.From.State == membership.Suspect || m.From.State == membership.Dead {
		return malformed("sender")
	}
	if p.Target != nil {
		if m.Target, known = decodeMember(p.Target); !known {
			return malformed("target")
		}
	}
	if m.Kind == membership.PingRequest && p.Target == nil {
		return malformed("ping request without a target")
	}
	if n := len(p.Hashes); n != 0 && n != membership.Buckets || (m.Kind == membership.Digest) != (n != 0) {
		return malformed("hashes")
	}
	if len(p.Rumours) > maxRumours {
		return malformed("rumours")
	}
	for _, r := range p.Rumours {
		rumour, ok := decodeMember(r)
		if !ok {
			return malformed("rumour")
		}
		m.Rumours = append(m.Rumours, rumour)
	}
	if p.Kind == Kind_SHARES {
		if m.Shares, known = decodeShares(p.Shares, &m.From); !known {
			return malformed("what it says of shares")
		}
	}
	if p.Kind == Kind_NEWS {
		if m.News, known = decodeNews(p.News); !known {
			return malformed("what it says of news")
		}
	}
	return m, nil
}

func encodeMember(m *membership.Member) *Member {
	return &Member{Name: m.Name, Start: m.Start, Address: m.Address, Incarnation: m.Incarnation, State: State(m.State), By: m.Accuser}
}

func decodeMember(p *Member) (m membership.Member, ok bool) {
	if p == nil || !isPrintableName(p.Name) || p.Start == 0 || p.State < State_ALIVE || p.State > State_DEAD || p.By != "" && !isPrintableName(p.By) {
		return m, false
	}
	if a, err := netip.ParseAddrPort(p.Address); err != nil || a.Port() == 0 || len(p.Address) > maxNameLength {
		return m, false
	}
	m.Name, m.Start, m.Address, m.Incarnation = p.Name, p.Start, p.Address, p.Incarnation
	m.State, m.Accuser = membership.State(p.State), p.By
	return m, true
}

// isPrintableName reports whether a name is of valid length and can be shown in a log line: printable and without spaces.
func isPrintableName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		if c == unicode.ReplacementChar || !unicode.IsPrint(c) || c == ' ' {
			return false
		}
	}
	return true
}
