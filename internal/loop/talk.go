package loop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/reactor"
	"pitchfield/internal/router"
	"pitchfield/internal/shares"
	"pitchfield/internal/talk"
)

// PeerMessaging is what the loop is told of the other routers. One datagram socket on the one loop serves all of it.
type PeerMessaging struct {
	Fleet            string
	Settings         membership.Settings
	Quotas           *shares.Settings                         // of budgets that are divided with them; nil: none
	LoadReports      *news.Settings                           // of what is out, as they tell it; nil: they don't
	Networks         []netip.Prefix                           // who may talk
	AddressOverrides map[netip.AddrPort]netip.AddrPort        // by which address one is reached, where it is not the one it tells
	ReportMembers    func(router.FleetStatus, DatagramCounts) // is told how the fleet stands; nil: nobody asks
}

// DatagramCounts counts datagrams and bytes since the start.
type DatagramCounts struct {
	In, Out, BytesIn, BytesOut int
	UnknownNetworks            int // from outside of the networks
	OtherFleets                int
	Malformed                  int // too long, cut, or of no such form
	Unsent                     int // the socket's queue was full, or nobody can be there
}

type messenger struct {
	PeerMessaging
	socket       *reactor.DatagramSocket
	started      bool
	counts       DatagramCounts
	dropLoggedAt time.Time // when a line last said that something was dropped
}

func newMessenger(t *PeerMessaging) *messenger { return &messenger{PeerMessaging: *t} }

const dropLogInterval = 10 * time.Second // at most so often a line says what was dropped

// startPeerMessaging begins once the loop is there; whoever comes later finds it begun.
func (l *Loop) startPeerMessaging() {
	t := l.messenger
	if t == nil || t.started {
		return
	}
	t.started = true
	l.processEvent(router.PeerMessagingSet{Settings: t.Settings, Quotas: t.Quotas, LoadReports: t.LoadReports})
}

// receiveDatagram takes a datagram in. It is checked whole; what is dropped is counted.
func (l *Loop) receiveDatagram(data []byte, from netip.AddrPort) {
	t := l.messenger
	if len(data) == 0 {
		return
	}
	t.counts.In++
	t.counts.BytesIn += len(data)
	if !t.isAllowed(from.Addr().Unmap()) {
		t.counts.UnknownNetworks++
		l.logDropped("a stranger", from, nil)
		return
	}
	message, err := talk.Decode(t.Fleet, data)
	switch {
	case errors.Is(err, talk.ErrOtherFleet):
		t.counts.OtherFleets++
		l.logDropped("another fleet's", from, err)
	case err != nil:
		t.counts.Malformed++
		l.logDropped("can't be read", from, err)
	default:
		l.processEvent(router.PeerMessageReceived{Message: &message.Message, Quotas: message.Shares, LoadReports: message.News})
	}
}

func (t *messenger) isAllowed(from netip.Addr) bool {
	for _, n := range t.Networks {
		if n.Contains(from) {
			return true
		}
	}
	return false
}

func (l *Loop) logDropped(why string, from netip.AddrPort, err error) {
	if time.Since(l.messenger.dropLoggedAt) < dropLogInterval {
		return
	}
	l.messenger.dropLoggedAt = time.Now()
	l.log.Warn("datagram dropped", zap.String("why", why), zap.Stringer("from", from), zap.Error(err),
		zap.Int("strangers", l.messenger.counts.UnknownNetworks), zap.Int("other fleets", l.messenger.counts.OtherFleets), zap.Int("unreadable", l.messenger.counts.Malformed))
}

// sendMessage sends a datagram. One that can't be sent at once is lost: whoever waits for it asks again.
func (l *Loop) sendMessage(e router.SendToPeer) {
	t := l.messenger
	data, err := talk.Encode(t.Fleet, &talk.Message{Message: e.Message, Shares: e.Quotas, News: e.LoadReports})
	if err == nil {
		err = t.send(e.To, data)
	}
	if err != nil {
		t.counts.Unsent++
		l.log.Debug("talk", zap.String("to", e.To), zap.Error(err))
		return
	}
	t.counts.Out++
	t.counts.BytesOut += len(data)
}

func (t *messenger) send(address string, data []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	if by, is := t.AddressOverrides[to]; is {
		to = by
	}
	return t.socket.SendTo(data, to) //nolint:wrapcheck // it says what it is
}

func (l *Loop) reportMembers(m router.FleetStatus) {
	if l.messenger.ReportMembers != nil {
		l.messenger.ReportMembers(m, l.messenger.counts)
	}
}
