package serve

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pitchfield/internal/loop"
	"pitchfield/internal/membership"
	"pitchfield/internal/router"
)

// Members is a router's view of its fleet, as its status page gives it at /members.
type Members struct {
	Router       string          `json:"router"`
	At           time.Time       `json:"at"`
	Certainty    string          `json:"certainty"` // alone, settled, changing or cut off
	CertainSince time.Time       `json:"certain_since"`
	Count        int             `json:"count"` // members of the view, including this router
	View         string          `json:"view"`  // hash of the view
	Changes      uint64          `json:"changes"`
	SameFor      float64         `json:"same_for"` // seconds for which the view has been the same
	Agree        int             `json:"agree"`    // members with the same view, of those from which a message was received lately
	Differ       int             `json:"differ"`   // members with another view, of the same
	Members      []Member        `json:"members"`
	Traffic      DatagramTraffic `json:"talked"`
}

// Member is a member of the fleet, or a former one that is still remembered.
type Member struct {
	Name        string   `json:"name"`
	Start       uint64   `json:"start"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	Incarnation uint32   `json:"incarnation"`
	StateFor    float64  `json:"for"`            // seconds in this state
	Accusers    []string `json:"accusers"`       // routers that suspect it, if it is suspected
	ReceivedAgo float64  `json:"heard_ago"`      // seconds since its last message to this router; below 0: never
	Agrees      bool     `json:"agrees"`         // whether it had the same view then
	Self        bool     `json:"self,omitempty"` // this router
}

// DatagramTraffic counts datagrams and bytes since the start of the process, with the byte rates between the last two
// reports.
type DatagramTraffic struct {
	In                int     `json:"in"`
	Out               int     `json:"out"`
	BytesIn           int     `json:"bytes_in"`
	BytesOut          int     `json:"bytes_out"`
	BytesInPerSecond  float64 `json:"bytes_in_a_second"`
	BytesOutPerSecond float64 `json:"bytes_out_a_second"`
	UnknownNetworks   int     `json:"strangers"`
	OtherFleets       int     `json:"other_fleets"`
	Malformed         int     `json:"unreadable"`
	Unsent            int     `json:"unsent"`
}

// newMembers builds the page from the router's state. before is the previous page, for the byte rates; it may be nil.
func newMembers(state router.FleetStatus, counts loop.DatagramCounts, before *Members) *Members {
	view := state.View
	out := &Members{Router: state.Name, At: unixTime(state.Now), Certainty: view.Certainty.String(), CertainSince: unixTime(view.CertaintySince), Count: len(view.Members),
		View: fmt.Sprintf("%016x", view.Hash), Changes: view.Changes, SameFor: state.Now - view.Since, Agree: view.AgreeCount, Differ: view.DifferCount,
		Traffic: DatagramTraffic{In: counts.In, Out: counts.Out, BytesIn: counts.BytesIn, BytesOut: counts.BytesOut, UnknownNetworks: counts.UnknownNetworks, OtherFleets: counts.OtherFleets,
			Malformed: counts.Malformed, Unsent: counts.Unsent}}
	self := view.Members[view.SelfIndex]
	out.Members = append(out.Members, Member{Name: self.Name, Start: self.Start, Address: self.Address, State: self.State.String(),
		Incarnation: self.Incarnation, Agrees: true, Self: true})
	for _, known := range state.Known {
		member := Member{Name: known.Name, Start: known.Start, Address: known.Address, State: known.State.String(), Incarnation: known.Incarnation, StateFor: state.Now - known.Since,
			Accusers: known.Accusers, ReceivedAgo: -1, Agrees: known.SameView}
		if known.LastReceived > 0 {
			member.ReceivedAgo = state.Now - known.LastReceived
		}
		if known.State > membership.Suspect {
			member.Agrees = false
		}
		out.Members = append(out.Members, member)
	}
	if before != nil {
		if passed := out.At.Sub(before.At).Seconds(); passed > 0 {
			out.Traffic.BytesInPerSecond = float64(counts.BytesIn-before.Traffic.BytesIn) / passed
			out.Traffic.BytesOutPerSecond = float64(counts.BytesOut-before.Traffic.BytesOut) / passed
		}
	}
	return out
}

func (p *statusPage) setMembers(m router.FleetStatus, counts loop.DatagramCounts) {
	p.members.Store(newMembers(m, counts, p.members.Load()))
	if m.Shares != nil {
		p.quotas.Store(newQuotas(m))
	}
}

// FetchMembers fetches the page from the router whose status page is at address.
func FetchMembers(ctx context.Context, address string) (*Members, error) {
	var m Members
	return &m, fetchPage(ctx, address, "members", &m)
}

// Print writes the page as text.
func (m *Members) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "router\t%s\nat\t%s\ncertainty\t%s, since %s\nview\t%s, %d members, the same for %.1f s, %d changes\nheard lately\t%d agree, %d differ\n",
		m.Router, m.At.Format(time.RFC3339), m.Certainty, m.CertainSince.Format(time.RFC3339), m.View, m.Count, m.SameFor, m.Changes, m.Agree, m.Differ)
	fmt.Fprintf(table, "talk\t%d in, %d out, %.0f and %.0f bytes a second\n", m.Traffic.In, m.Traffic.Out, m.Traffic.BytesInPerSecond, m.Traffic.BytesOutPerSecond)
	if traffic := m.Traffic; traffic.UnknownNetworks+traffic.OtherFleets+traffic.Malformed+traffic.Unsent > 0 {
		fmt.Fprintf(table, "dropped\t%d of strangers, %d of other fleets, %d unreadable, %d not sent\n", traffic.UnknownNetworks, traffic.OtherFleets, traffic.Malformed, traffic.Unsent)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(table, "\nname\tstate\tfor\theard\tview\taddress\tstart\tincarnation\taccusers")
	for _, member := range m.Members {
		received, view := fmt.Sprintf("%.1f s ago", member.ReceivedAgo), "differs"
		switch {
		case member.Self:
			received = "this one"
		case member.ReceivedAgo < 0:
			received = "never"
		}
		if member.Agrees {
			view = "same"
		}
		fmt.Fprintf(table, "%s\t%s\t%.1f s\t%s\t%s\t%s\t%d\t%d\t%s\n", member.Name, member.State, member.StateFor, received, view, member.Address, member.Start, member.Incarnation,
			strings.Join(member.Accusers, " "))
	}
	return table.Flush()
}
