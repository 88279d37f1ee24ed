package emulator

import (
	"fmt"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/router"
	"pitchfield/internal/shares"
)

// replicaCount of the routers choose a bursar among themselves, where shares are divided by talk.
const replicaCount = 5

// peerAddress is where a router talks to others. It says what it is: nothing but this emulator reads it.
func peerAddress(index int) string { return fmt.Sprintf("10.1.%d.%d:7500", index/250, index%250+1) }

// peerSettings is what a router is told of the others, where they talk.
func (s *sim) peerSettings(n *node) router.PeerMessagingSet {
	m := membership.Defaults()
	m.Self = membership.ID{Name: fmt.Sprintf("n%d", n.index+1), Start: uint64(s.now*1e3)<<16 + uint64(n.generation)}
	m.Listen, m.Seeds = peerAddress(n.index), []string{peerAddress(0), peerAddress(s.world.Routers / 2)}
	set := router.PeerMessagingSet{Settings: m}
	if s.options.Quotas != nil {
		own := *s.options.Quotas
		own.Listen = m.Listen
		all := s.world.Routers
		keepers := min(replicaCount, all-(all+1)%2) // an odd number, spread over all
		for i := range keepers {
			own.Replicas = append(own.Replicas, peerAddress(i*all/keepers))
		}
		set.Quotas = &own
	}
	if s.options.LoadReportInterval > 0 {
		own := news.Defaults()
		own.Interval, own.StaleAfter = s.options.LoadReportInterval, own.StaleAfter*s.options.LoadReportInterval/own.Interval
		set.LoadReports = &own
	}
	return set
}

// sendPeerMessage brings a datagram to whoever has the address.
func (n *node) sendPeerMessage(w router.SendToPeer) {
	s := n.sim
	s.result.PeerMessages++
	to := s.routersByAddress[w.To]
	if to == nil {
		return
	}
	s.scheduleAfter(s.latency(), func() {
		if to.up {
			said := w.Message
			var shared *shares.Message
			if w.Quotas != nil {
				one := *w.Quotas
				shared = &one
			}
			to.deliver(router.PeerMessageReceived{Message: &said, Quotas: shared, LoadReports: w.LoadReports})
		}
	})
}
