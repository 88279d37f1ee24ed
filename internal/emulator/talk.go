package emulator

import (
	"fmt"

	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/router"
	"pitchfield/internal/shares"
)

// replicaCount is the largest number of routers that hold the replicated quota records and elect the quota coordinator.
const replicaCount = 5

// peerAddress returns the address at which a router receives peer messages. Only the emulator interprets it.
func peerAddress(index int) string { return fmt.Sprintf("10.1.%d.%d:7500", index/250, index%250+1) }

// peerSettings returns the settings of a router's peer messaging: membership, quotas and load reports.
func (s *sim) peerSettings(n *node) router.PeerMessagingSet {
	membershipSettings := membership.Defaults()
	membershipSettings.Self = membership.ID{Name: fmt.Sprintf("n%d", n.index+1), Start: uint64(s.now*1e3)<<16 + uint64(n.generation)}
	membershipSettings.Listen, membershipSettings.Seeds = peerAddress(n.index), []string{peerAddress(0), peerAddress(s.world.Routers / 2)}
	set := router.PeerMessagingSet{Settings: membershipSettings}
	if s.options.Quotas != nil {
		own := *s.options.Quotas
		own.Listen = membershipSettings.Listen
		all := s.world.Routers
		replicas := min(replicaCount, all-(all+1)%2) // an odd number of replicas, spread over all routers
		for i := range replicas {
			own.Replicas = append(own.Replicas, peerAddress(i*all/replicas))
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

// sendPeerMessage delivers a datagram to the router with the address, unless that router is down.
func (n *node) sendPeerMessage(message router.SendToPeer) {
	s := n.sim
	s.result.PeerMessages++
	to := s.routersByAddress[message.To]
	if to == nil {
		return
	}
	s.scheduleAfter(s.latency(), func() {
		if to.up {
			copied := message.Message
			var shared *shares.Message
			if message.Quotas != nil {
				copied := *message.Quotas
				shared = &copied
			}
			to.deliver(router.PeerMessageReceived{Message: &copied, Quotas: shared, LoadReports: message.LoadReports})
		}
	})
}
