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

// Talk is what the loop is told of the other routers. One datagram socket on the one loop serves all of it.
type Talk struct {
	Fleet    string
	Settings membership.Settings
	Shares   *shares.Settings                  // of budgets that are divided with them; nil: none
	News     *news.Settings                    // of what is out, as they tell it; nil: they don't
	Networks []netip.Prefix                    // who may talk
	Via      map[netip.AddrPort]netip.AddrPort // by which address one is reached, where it is not the one it tells
	Members  func(router.FleetStatus, Talked)  // is told how the fleet stands; nil: nobody asks
}

// Talked counts datagrams and bytes since the start.
type Talked struct {
	In, Out, BytesIn, BytesOut int
	Strangers                  int // from outside of the networks
	OtherFleets                int
	Unreadable                 int // too long, cut, or of no such form
	Unsent                     int // the socket's queue was full, or nobody can be there
}

type talker struct {
	Talk
	socket *reactor.DatagramSocket
	begun  bool
	talked Talked
	told   time.Time // when a line last said that something was dropped
}

func newTalker(t *Talk) *talker { return &talker{Talk: *t} }

const tellDropped = 10 * time.Second // at most so often a line says what was dropped

// beginTalk begins once the loop is there; whoever comes later finds it begun.
func (l *Loop) beginTalk() {
	t := l.talk
	if t == nil || t.begun {
		return
	}
	t.begun = true
	l.post(router.PeerMessagingSet{Settings: t.Settings, Quotas: t.Shares, LoadReports: t.News})
}

// talkCame takes a datagram in. It is checked whole; what is dropped is counted.
func (l *Loop) talkCame(data []byte, from netip.AddrPort) {
	t := l.talk
	if len(data) == 0 {
		return
	}
	t.talked.In++
	t.talked.BytesIn += len(data)
	if !t.mayTalk(from.Addr().Unmap()) {
		t.talked.Strangers++
		l.dropped("a stranger", from, nil)
		return
	}
	message, err := talk.Decode(t.Fleet, data)
	switch {
	case errors.Is(err, talk.ErrFleet):
		t.talked.OtherFleets++
		l.dropped("another fleet's", from, err)
	case err != nil:
		t.talked.Unreadable++
		l.dropped("can't be read", from, err)
	default:
		l.post(router.PeerMessageReceived{Message: &message.Message, Quotas: message.Shares, LoadReports: message.News})
	}
}

func (t *talker) mayTalk(from netip.Addr) bool {
	for _, n := range t.Networks {
		if n.Contains(from) {
			return true
		}
	}
	return false
}

func (l *Loop) dropped(why string, from netip.AddrPort, err error) {
	if time.Since(l.talk.told) < tellDropped {
		return
	}
	l.talk.told = time.Now()
	l.log.Warn("datagram dropped", zap.String("why", why), zap.Stringer("from", from), zap.Error(err),
		zap.Int("strangers", l.talk.talked.Strangers), zap.Int("other fleets", l.talk.talked.OtherFleets), zap.Int("unreadable", l.talk.talked.Unreadable))
}

// say sends a datagram. One that can't be sent at once is lost: whoever waits for it asks again.
func (l *Loop) say(e router.SendToPeer) {
	t := l.talk
	data, err := talk.Encode(t.Fleet, &talk.Message{Message: e.Message, Shares: e.Quotas, News: e.LoadReports})
	if err == nil {
		err = t.send(e.To, data)
	}
	if err != nil {
		t.talked.Unsent++
		l.log.Debug("talk", zap.String("to", e.To), zap.Error(err))
		return
	}
	t.talked.Out++
	t.talked.BytesOut += len(data)
}

func (t *talker) send(address string, data []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("talk: %w", err)
	}
	if by, is := t.Via[to]; is {
		to = by
	}
	return t.socket.SendTo(data, to) //nolint:wrapcheck // it says what it is
}

func (l *Loop) tellMembers(m router.FleetStatus) {
	if l.talk.Members != nil {
		l.talk.Members(m, l.talk.talked)
	}
}
