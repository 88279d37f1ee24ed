package emulator

import (
	"fmt"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/router"
	"pitchfield/internal/shares"
)

// talkKeepers of the routers choose a bursar among themselves, where shares are divided by talk.
const talkKeepers = 5

// talkAddress is where a router talks to others. It says what it is: nothing but this emulator reads it.
func talkAddress(index int) string { return fmt.Sprintf("10.1.%d.%d:7500", index/250, index%250+1) }

// talkSet is what a router is told of the others, where they talk.
func (s *sim) talkSet(n *node) router.PeerMessagingSet {
	m := membership.Defaults()
	m.Self = membership.ID{Name: fmt.Sprintf("n%d", n.index+1), Start: uint64(s.now*1e3)<<16 + uint64(n.life)}
	m.Listen, m.Seeds = talkAddress(n.index), []string{talkAddress(0), talkAddress(s.world.Routers / 2)}
	set := router.PeerMessagingSet{Settings: m}
	if s.options.Shares != nil {
		own := *s.options.Shares
		own.Listen = m.Listen
		all := s.world.Routers
		keepers := min(talkKeepers, all-(all+1)%2) // an odd number, spread over all
		for i := range keepers {
			own.Replicas = append(own.Replicas, talkAddress(i*all/keepers))
		}
		set.Quotas = &own
	}
	if s.options.Load > 0 {
		own := news.Defaults()
		own.Interval, own.StaleAfter = s.options.Load, own.StaleAfter*s.options.Load/own.Interval
		set.LoadReports = &own
	}
	return set
}

// talk brings a datagram to whoever has the address.
func (n *node) talk(w router.SendToPeer) {
	s := n.sim
	s.result.Talked++
	to := s.talkers[w.To]
	if to == nil {
		return
	}
	s.after(s.way(), func() {
		if to.up {
			said := w.Message
			var shared *shares.Message
			if w.Quotas != nil {
				one := *w.Quotas
				shared = &one
			}
			to.tell(router.PeerMessageReceived{Message: &said, Quotas: shared, LoadReports: w.LoadReports})
		}
	})
}
