// Package talk words what the routers of a fleet tell each other: one protobuf packet a datagram, by the library. What comes
// is checked whole before anything of it is used; whatever is from another fleet, too long or not of this form is dropped by
// who calls, with the reason in the error.
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
	version = 1

	// MaxDatagram is the size of a datagram that passes the usual networks whole; nothing longer is read or written.
	MaxDatagram = 1400

	maxNameLength = 64
	maxRumours    = 128
)

// The reasons for dropping a packet; an error wraps one of them.
var (
	ErrTooLong    = errors.New("it is too long")
	ErrMalformed  = errors.New("it is no packet of this form")
	ErrOtherFleet = errors.New("it is of another fleet")
)

var kindToWire = map[membership.Kind]Kind{membership.Ping: Kind_PING, membership.Ack: Kind_ACK, membership.PingRequest: Kind_ASK,
	membership.Nack: Kind_NACK, membership.Digest: Kind_COMPARE, membership.Gossip: Kind_TELL}

// A kind that is not known is of a newer version: its rumours count all the same.
var kindFromWire = map[Kind]membership.Kind{Kind_PING: membership.Ping, Kind_ACK: membership.Ack, Kind_ASK: membership.PingRequest,
	Kind_NACK: membership.Nack, Kind_COMPARE: membership.Digest}

// Message is one datagram. Each tells who sent it and of his view, whatever else it is for.
type Message struct {
	membership.Message
	Shares *shares.Message // nil: it is not of shares,
	News   *news.Message   // nor of what its sender sees
}

// Encode words a message. The error tells of one that is too long, which is a fault of ours.
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

// Decode reads a datagram of a fleet.
func Decode(fleet string, data []byte) (*Message, error) {
	if len(data) > MaxDatagram {
		return nil, fmt.Errorf("talk: %w: %d bytes", ErrTooLong, len(data))
	}
	var p Packet
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("talk: %w: %s", ErrMalformed, err) //nolint:errorlint // the library's texts differ from run to run
	}
	if p.Fleet != fleet {
		return nil, fmt.Errorf("talk: %w", ErrOtherFleet)
	}
	wrong := func(what string) (*Message, error) { return nil, fmt.Errorf("talk: %w: %s", ErrMalformed, what) }
	if p.Version == 0 {
		return wrong("version")
	}
	m := &Message{Message: membership.Message{ViewHash: p.View, MemberCount: int(p.Count), Number: p.Number, Hashes: p.Hashes, IsReply: p.Answer}}
	var known bool
	if m.Kind, known = kindFromWire[p.Kind]; !known {
		m.Kind = membership.Gossip
	}
	if m.From, known = decodeMember(p.From); !known || m.From.State == membership.Suspect || m.From.State == membership.Dead {
		return wrong("sender")
	}
	if p.Target != nil {
		if m.Target, known = decodeMember(p.Target); !known {
			return wrong("target")
		}
	}
	if m.Kind == membership.PingRequest && p.Target == nil {
		return wrong("an ask without a target")
	}
	if n := len(p.Hashes); n != 0 && n != membership.Buckets || (m.Kind == membership.Digest) != (n != 0) {
		return wrong("hashes")
	}
	if len(p.Rumours) > maxRumours {
		return wrong("rumours")
	}
	for _, r := range p.Rumours {
		one, ok := decodeMember(r)
		if !ok {
			return wrong("a rumour")
		}
		m.Rumours = append(m.Rumours, one)
	}
	if p.Kind == Kind_SHARES {
		if m.Shares, known = decodeShares(p.Shares, &m.From); !known {
			return wrong("what it says of shares")
		}
	}
	if p.Kind == Kind_NEWS {
		if m.News, known = decodeNews(p.News); !known {
			return wrong("what it says of news")
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

// isPrintableName: a name that can be shown in a line of a log.
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
