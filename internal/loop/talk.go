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

// PeerMessaging configures the exchange of messages with the other routers of a fleet. One datagram socket carries all of
// them.
type PeerMessaging struct {
	Fleet            string
	Settings         membership.Settings
	Quotas           *shares.Settings                         // for budgets that are divided among the fleet; nil: none
	LoadReports      *news.Settings                           // for load reports between routers; nil: none are exchanged
	Networks         []netip.Prefix                           // networks from which datagrams are accepted
	AddressOverrides map[netip.AddrPort]netip.AddrPort        // where to send instead of the address that a router advertises
	ReportMembers    func(router.FleetStatus, DatagramCounts) // receives the state of the membership, on the event loop; nil: unused
}

// DatagramCounts counts datagrams and bytes since the start of the process.
type DatagramCounts struct {
	In, Out, BytesIn, BytesOut int
	UnknownNetworks            int // received from outside of Networks
	OtherFleets                int
	Malformed                  int // received too long, truncated or of an unknown form
	Unsent                     int // not sent: the socket's queue was full, or the destination unreachable
}

// messenger is the state of peer messaging.
type messenger struct {
	PeerMessaging
	socket       *reactor.DatagramSocket
	started      bool
	counts       DatagramCounts
	dropLoggedAt time.Time // when a dropped datagram was last logged
}

func newMessenger(t *PeerMessaging) *messenger { return &messenger{PeerMessaging: *t} }

const dropLogInterval = 10 * time.Second // least time between log lines of dropped datagrams

// startPeerMessaging tells the router the settings of peer messaging, once.
func (l *Loop) startPeerMessaging() {
	t := l.messenger
	if t == nil || t.started {
		return
	}
	t.started = true
	l.processEvent(router.PeerMessagingSet{Settings: t.Settings, Quotas: t.Quotas, LoadReports: t.LoadReports})
}

// receiveDatagram decodes a datagram and passes it to the router. Datagrams that are dropped are counted.
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

// isAllowed reports whether datagrams from an address are accepted.
func (t *messenger) isAllowed(from netip.Addr) bool {
	for _, n := range t.Networks {
		if n.Contains(from) {
			return true
		}
	}
	return false
}

// logDropped logs a dropped datagram unless another was logged within dropLogInterval.
func (l *Loop) logDropped(why string, from netip.AddrPort, err error) {
	if time.Since(l.messenger.dropLoggedAt) < dropLogInterval {
		return
	}
	l.messenger.dropLoggedAt = time.Now()
	l.log.Warn("datagram dropped", zap.String("why", why), zap.Stringer("from", from), zap.Error(err),
		zap.Int("strangers", l.messenger.counts.UnknownNetworks), zap.Int("other fleets", l.messenger.counts.OtherFleets), zap.Int("unreadable", l.messenger.counts.Malformed))
}

// sendMessage sends a message to another router. One that can't be sent at once is lost; the protocols repeat requests
// that get no answer.
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

// send sends a datagram to an advertised address.
func (t *messenger) send(address string, data []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of a peer: %w", err)
	}
	if by, is := t.AddressOverrides[to]; is {
		to = by
	}
	return t.socket.SendTo(data, to) //nolint:wrapcheck // the error is complete as it is
}

// reportMembers passes the state of the membership to the callback.
func (l *Loop) reportMembers(m router.FleetStatus) {
	if l.messenger.ReportMembers != nil {
		l.messenger.ReportMembers(m, l.messenger.counts)
	}
}
