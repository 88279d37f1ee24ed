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

	// Largest is the size of a datagram that passes the usual networks whole; nothing longer is read or written.
	Largest = 1400

	mostName    = 64
	mostRumours = 128
)

// The reasons for dropping a packet; an error wraps one of them.
var (
	ErrTooLong = errors.New("it is too long")
	ErrForm    = errors.New("it is no packet of this form")
	ErrFleet   = errors.New("it is of another fleet")
)

var kindsOut = map[membership.Kind]Kind{membership.Ping: Kind_PING, membership.Ack: Kind_ACK, membership.Ask: Kind_ASK,
	membership.Nack: Kind_NACK, membership.Compare: Kind_COMPARE, membership.Tell: Kind_TELL}

// A kind that is not known is of a newer version: its rumours count all the same.
var kindsIn = map[Kind]membership.Kind{Kind_PING: membership.Ping, Kind_ACK: membership.Ack, Kind_ASK: membership.Ask,
	Kind_NACK: membership.Nack, Kind_COMPARE: membership.Compare}

// Message is one datagram. Each tells who sent it and of his view, whatever else it is for.
type Message struct {
	membership.Message
	Shares *shares.Message // nil: it is not of shares,
	News   *news.Message   // nor of what its sender sees
}

// Encode words a message. The error tells of one that is too long, which is a fault of ours.
func Encode(fleet string, m *Message) ([]byte, error) {
	p := Packet{Version: version, Fleet: fleet, From: memberOut(&m.From), View: m.View, Count: uint32(m.Count), Kind: kindsOut[m.Kind],
		Number: m.Number, Hashes: m.Hashes, Answer: m.Answer}
	if m.Target.Name != "" {
		p.Target = memberOut(&m.Target)
	}
	for i := range m.Rumours {
		p.Rumours = append(p.Rumours, memberOut(&m.Rumours[i]))
	}
	if m.Shares != nil {
		p.Kind, p.Shares = Kind_SHARES, sharesOut(m.Shares)
	}
	if m.News != nil {
		p.Kind, p.News = Kind_NEWS, newsOut(m.News)
	}
	out, err := proto.Marshal(&p)
	if err != nil {
		return nil, fmt.Errorf("talk: %w", err)
	}
	if len(out) > Largest {
		return nil, fmt.Errorf("talk: %w: %d bytes", ErrTooLong, len(out))
	}
	return out, nil
}

// Decode reads a datagram of a fleet.
func Decode(fleet string, data []byte) (*Message, error) {
	if len(data) > Largest {
		return nil, fmt.Errorf("talk: %w: %d bytes", ErrTooLong, len(data))
	}
	var p Packet
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("talk: %w: %s", ErrForm, err) //nolint:errorlint // the library's texts differ from run to run
	}
	if p.Fleet != fleet {
		return nil, fmt.Errorf("talk: %w", ErrFleet)
	}
	wrong := func(what string) (*Message, error) { return nil, fmt.Errorf("talk: %w: %s", ErrForm, what) }
	if p.Version == 0 {
		return wrong("version")
	}
	m := &Message{Message: membership.Message{View: p.View, Count: int(p.Count), Number: p.Number, Hashes: p.Hashes, Answer: p.Answer}}
	var known bool
	if m.Kind, known = kindsIn[p.Kind]; !known {
		m.Kind = membership.Tell
	}
	if m.From, known = memberIn(p.From); !known || m.From.State == membership.Suspect || m.From.State == membership.Dead {
		return wrong("sender")
	}
	if p.Target != nil {
		if m.Target, known = memberIn(p.Target); !known {
			return wrong("target")
		}
	}
	if m.Kind == membership.Ask && p.Target == nil {
		return wrong("an ask without a target")
	}
	if n := len(p.Hashes); n != 0 && n != membership.Buckets || (m.Kind == membership.Compare) != (n != 0) {
		return wrong("hashes")
	}
	if len(p.Rumours) > mostRumours {
		return wrong("rumours")
	}
	for _, r := range p.Rumours {
		one, ok := memberIn(r)
		if !ok {
			return wrong("a rumour")
		}
		m.Rumours = append(m.Rumours, one)
	}
	if p.Kind == Kind_SHARES {
		if m.Shares, known = sharesIn(p.Shares, &m.From); !known {
			return wrong("what it says of shares")
		}
	}
	if p.Kind == Kind_NEWS {
		if m.News, known = newsIn(p.News); !known {
			return wrong("what it says of news")
		}
	}
	return m, nil
}

func memberOut(m *membership.Member) *Member {
	return &Member{Name: m.Name, Start: m.Start, Address: m.Address, Incarnation: m.Incarnation, State: State(m.State), By: m.By}
}

func memberIn(p *Member) (m membership.Member, ok bool) {
	if p == nil || !usable(p.Name) || p.Start == 0 || p.State < State_ALIVE || p.State > State_DEAD || p.By != "" && !usable(p.By) {
		return m, false
	}
	if a, err := netip.ParseAddrPort(p.Address); err != nil || a.Port() == 0 || len(p.Address) > mostName {
		return m, false
	}
	m.Name, m.Start, m.Address, m.Incarnation = p.Name, p.Start, p.Address, p.Incarnation
	m.State, m.By = membership.State(p.State), p.By
	return m, true
}

// usable: a name that can be shown in a line of a log.
func usable(name string) bool {
	if name == "" || len(name) > mostName {
		return false
	}
	for _, c := range name {
		if c == unicode.ReplacementChar || !unicode.IsPrint(c) || c == ' ' {
			return false
		}
	}
	return true
}
