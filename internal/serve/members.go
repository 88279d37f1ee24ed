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
	Router    string    `json:"router"`
	At        time.Time `json:"at"`
	Certainty string    `json:"certainty"` // alone, settled, changing or cut off
	CertainAt time.Time `json:"certain_since"`
	Count     int       `json:"count"` // members of the view, with this router
	View      string    `json:"view"`  // hash
	Changes   uint64    `json:"changes"`
	Same      float64   `json:"same_for"` // seconds
	Agree     int       `json:"agree"`    // heard lately that have the same view,
	Differ    int       `json:"differ"`   // and that have not
	Members   []Member  `json:"members"`
	Talked    Traffic   `json:"talked"`
}

// Member is one of them, those that are gone too as long as they are remembered.
type Member struct {
	Name        string   `json:"name"`
	Start       uint64   `json:"start"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	Incarnation uint32   `json:"incarnation"`
	For         float64  `json:"for"`            // seconds in this state
	Accusers    []string `json:"accusers"`       // of a suspected one
	Heard       float64  `json:"heard_ago"`      // seconds since it last spoke to this router itself; below 0: never
	Agrees      bool     `json:"agrees"`         // when it last did
	Self        bool     `json:"self,omitempty"` // this router
}

// Traffic counts datagrams since the start, and what went in the last second that was counted.
type Traffic struct {
	In          int     `json:"in"`
	Out         int     `json:"out"`
	BytesIn     int     `json:"bytes_in"`
	BytesOut    int     `json:"bytes_out"`
	InSecond    float64 `json:"bytes_in_a_second"`
	OutSecond   float64 `json:"bytes_out_a_second"`
	Strangers   int     `json:"strangers"`
	OtherFleets int     `json:"other_fleets"`
	Unreadable  int     `json:"unreadable"`
	Unsent      int     `json:"unsent"`
}

func newMembers(m router.FleetStatus, t loop.Talked, before *Members) *Members {
	v := m.View
	out := &Members{Router: m.Name, At: at(m.Now), Certainty: v.Certainty.String(), CertainAt: at(v.CertaintySince), Count: len(v.Members),
		View: fmt.Sprintf("%016x", v.Hash), Changes: v.Changes, Same: m.Now - v.Since, Agree: v.AgreeCount, Differ: v.DifferCount,
		Talked: Traffic{In: t.In, Out: t.Out, BytesIn: t.BytesIn, BytesOut: t.BytesOut, Strangers: t.Strangers, OtherFleets: t.OtherFleets,
			Unreadable: t.Unreadable, Unsent: t.Unsent}}
	self := v.Members[v.SelfIndex]
	out.Members = append(out.Members, Member{Name: self.Name, Start: self.Start, Address: self.Address, State: self.State.String(),
		Incarnation: self.Incarnation, Agrees: true, Self: true})
	for _, k := range m.Known {
		one := Member{Name: k.Name, Start: k.Start, Address: k.Address, State: k.State.String(), Incarnation: k.Incarnation, For: m.Now - k.Since,
			Accusers: k.Accusers, Heard: -1, Agrees: k.SameView}
		if k.LastReceived > 0 {
			one.Heard = m.Now - k.LastReceived
		}
		if k.State > membership.Suspect {
			one.Agrees = false
		}
		out.Members = append(out.Members, one)
	}
	if before != nil {
		if passed := out.At.Sub(before.At).Seconds(); passed > 0 {
			out.Talked.InSecond = float64(t.BytesIn-before.Talked.BytesIn) / passed
			out.Talked.OutSecond = float64(t.BytesOut-before.Talked.BytesOut) / passed
		}
	}
	return out
}

func (p *statusPage) setMembers(m router.FleetStatus, t loop.Talked) {
	p.members.Store(newMembers(m, t, p.members.Load()))
	if m.Shares != nil {
		p.shares.Store(newShares(m))
	}
}

// AskMembers asks a router's page.
func AskMembers(ctx context.Context, address string) (*Members, error) {
	var m Members
	return &m, ask(ctx, address, "members", &m)
}

// Print writes it for a person.
func (m *Members) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "router\t%s\nat\t%s\ncertainty\t%s, since %s\nview\t%s, %d members, the same for %.1f s, %d changes\nheard lately\t%d agree, %d differ\n",
		m.Router, m.At.Format(time.RFC3339), m.Certainty, m.CertainAt.Format(time.RFC3339), m.View, m.Count, m.Same, m.Changes, m.Agree, m.Differ)
	fmt.Fprintf(t, "talk\t%d in, %d out, %.0f and %.0f bytes a second\n", m.Talked.In, m.Talked.Out, m.Talked.InSecond, m.Talked.OutSecond)
	if d := m.Talked; d.Strangers+d.OtherFleets+d.Unreadable+d.Unsent > 0 {
		fmt.Fprintf(t, "dropped\t%d of strangers, %d of other fleets, %d unreadable, %d not sent\n", d.Strangers, d.OtherFleets, d.Unreadable, d.Unsent)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "\nname\tstate\tfor\theard\tview\taddress\tstart\tincarnation\taccusers")
	for _, one := range m.Members {
		heard, view := fmt.Sprintf("%.1f s ago", one.Heard), "differs"
		switch {
		case one.Self:
			heard = "this one"
		case one.Heard < 0:
			heard = "never"
		}
		if one.Agrees {
			view = "same"
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f s\t%s\t%s\t%s\t%d\t%d\t%s\n", one.Name, one.State, one.For, heard, view, one.Address, one.Start, one.Incarnation,
			strings.Join(one.Accusers, " "))
	}
	return t.Flush()
}
