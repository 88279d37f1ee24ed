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

// Members is how a router's knowledge of its fleet stands, as its page tells it.
type Members struct {
	Router       string          `json:"router"`
	At           time.Time       `json:"at"`
	Certainty    string          `json:"certainty"` // alone, settled, changing or cut off
	CertainSince time.Time       `json:"certain_since"`
	Count        int             `json:"count"` // members of the view, with this router
	View         string          `json:"view"`  // hash
	Changes      uint64          `json:"changes"`
	SameFor      float64         `json:"same_for"` // seconds
	Agree        int             `json:"agree"`    // heard lately that have the same view,
	Differ       int             `json:"differ"`   // and that have not
	Members      []Member        `json:"members"`
	Traffic      DatagramTraffic `json:"talked"`
}

// Member is one of them, those that are gone too as long as they are remembered.
type Member struct {
	Name        string   `json:"name"`
	Start       uint64   `json:"start"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	Incarnation uint32   `json:"incarnation"`
	StateFor    float64  `json:"for"`            // seconds in this state
	Accusers    []string `json:"accusers"`       // of a suspected one
	ReceivedAgo float64  `json:"heard_ago"`      // seconds since it last spoke to this router itself; below 0: never
	Agrees      bool     `json:"agrees"`         // when it last did
	Self        bool     `json:"self,omitempty"` // this router
}

// DatagramTraffic counts datagrams since the start, and what went in the last second that was counted.
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

func newMembers(m router.FleetStatus, t loop.DatagramCounts, before *Members) *Members {
	v := m.View
	out := &Members{Router: m.Name, At: unixTime(m.Now), Certainty: v.Certainty.String(), CertainSince: unixTime(v.CertaintySince), Count: len(v.Members),
		View: fmt.Sprintf("%016x", v.Hash), Changes: v.Changes, SameFor: m.Now - v.Since, Agree: v.AgreeCount, Differ: v.DifferCount,
		Traffic: DatagramTraffic{In: t.In, Out: t.Out, BytesIn: t.BytesIn, BytesOut: t.BytesOut, UnknownNetworks: t.UnknownNetworks, OtherFleets: t.OtherFleets,
			Malformed: t.Malformed, Unsent: t.Unsent}}
	self := v.Members[v.SelfIndex]
	out.Members = append(out.Members, Member{Name: self.Name, Start: self.Start, Address: self.Address, State: self.State.String(),
		Incarnation: self.Incarnation, Agrees: true, Self: true})
	for _, k := range m.Known {
		one := Member{Name: k.Name, Start: k.Start, Address: k.Address, State: k.State.String(), Incarnation: k.Incarnation, StateFor: m.Now - k.Since,
			Accusers: k.Accusers, ReceivedAgo: -1, Agrees: k.SameView}
		if k.LastReceived > 0 {
			one.ReceivedAgo = m.Now - k.LastReceived
		}
		if k.State > membership.Suspect {
			one.Agrees = false
		}
		out.Members = append(out.Members, one)
	}
	if before != nil {
		if passed := out.At.Sub(before.At).Seconds(); passed > 0 {
			out.Traffic.BytesInPerSecond = float64(t.BytesIn-before.Traffic.BytesIn) / passed
			out.Traffic.BytesOutPerSecond = float64(t.BytesOut-before.Traffic.BytesOut) / passed
		}
	}
	return out
}

func (p *statusPage) setMembers(m router.FleetStatus, t loop.DatagramCounts) {
	p.members.Store(newMembers(m, t, p.members.Load()))
	if m.Shares != nil {
		p.quotas.Store(newQuotas(m))
	}
}

// FetchMembers asks a router's page.
func FetchMembers(ctx context.Context, address string) (*Members, error) {
	var m Members
	return &m, fetchPage(ctx, address, "members", &m)
}

// Print writes it for a person.
func (m *Members) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "router\t%s\nat\t%s\ncertainty\t%s, since %s\nview\t%s, %d members, the same for %.1f s, %d changes\nheard lately\t%d agree, %d differ\n",
		m.Router, m.At.Format(time.RFC3339), m.Certainty, m.CertainSince.Format(time.RFC3339), m.View, m.Count, m.SameFor, m.Changes, m.Agree, m.Differ)
	fmt.Fprintf(t, "talk\t%d in, %d out, %.0f and %.0f bytes a second\n", m.Traffic.In, m.Traffic.Out, m.Traffic.BytesInPerSecond, m.Traffic.BytesOutPerSecond)
	if d := m.Traffic; d.UnknownNetworks+d.OtherFleets+d.Malformed+d.Unsent > 0 {
		fmt.Fprintf(t, "dropped\t%d of strangers, %d of other fleets, %d unreadable, %d not sent\n", d.UnknownNetworks, d.OtherFleets, d.Malformed, d.Unsent)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "\nname\tstate\tfor\theard\tview\taddress\tstart\tincarnation\taccusers")
	for _, one := range m.Members {
		heard, view := fmt.Sprintf("%.1f s ago", one.ReceivedAgo), "differs"
		switch {
		case one.Self:
			heard = "this one"
		case one.ReceivedAgo < 0:
			heard = "never"
		}
		if one.Agrees {
			view = "same"
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f s\t%s\t%s\t%s\t%d\t%d\t%s\n", one.Name, one.State, one.StateFor, heard, view, one.Address, one.Start, one.Incarnation,
			strings.Join(one.Accusers, " "))
	}
	return t.Flush()
}
