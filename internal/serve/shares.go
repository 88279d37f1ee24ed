package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"pitchfield/internal/router"
	"pitchfield/internal/shares"
)

// Shares is how a router stands with what its fleet divides, as its page tells it.
type Shares struct {
	Router  string       `json:"router"`
	At      time.Time    `json:"at"`
	Bursar  string       `json:"bursar"` // address; empty: none is known
	Office  bool         `json:"office"` // it is this router,
	Since   time.Time    `json:"since"`  // since when
	Keeper  bool         `json:"keeper"`
	Budgets []ShareOf    `json:"budgets"`
	Books   []ShareBook  `json:"books"` // of the bursar
	Counts  shares.Stats `json:"counts"`
	Waited  float64      `json:"waited_mean"` // seconds between wish and credit
}

// ShareOf is what this router has of a budget.
type ShareOf struct {
	What  string  `json:"what"`
	Whole float64 `json:"whole"`
	Left  float64 `json:"left"`      // in hand, not used
	Used  float64 `json:"used"`      // of what is in hand
	Asked float64 `json:"asked"`     // without an answer yet
	Ago   float64 `json:"given_ago"` // seconds since something was last given; below 0: never
}

// ShareBook is what the bursar has given of one.
type ShareBook struct {
	What    string             `json:"what"`
	Whole   float64            `json:"whole"`
	Free    float64            `json:"free"`
	Lent    float64            `json:"lent"`
	Resting float64            `json:"resting"`
	Waiting int                `json:"waiting"`
	Open    bool               `json:"open"`
	Holders map[string]float64 `json:"holders"`
}

func nameOf(k shares.Key, name string) string {
	switch {
	case name != "":
		return fmt.Sprintf("%s, %s (%s)", k.Kind, name, shares.Kinds[k.Kind].Unit)
	case k.Kind != shares.ColdWork: // of another's settings
		return fmt.Sprintf("%s, %016x (%s)", k.Kind, k.Qualifier, shares.Kinds[k.Kind].Unit)
	}
	return fmt.Sprintf("%s, engine %d started %s (%s)", k.Kind, k.Engine, at(math.Float64frombits(k.Qualifier)).Format("15:04:05.000"), shares.Kinds[k.Kind].Unit)
}

func newShares(m router.FleetStatus) *Shares {
	s := m.Shares
	out := &Shares{Router: m.Name, At: at(m.Now), Bursar: s.Coordinator, Office: s.IsCoordinator, Since: at(s.CoordinatorSince), Keeper: s.IsReplica, Counts: s.Stats}
	if s.Stats.Granted > 0 {
		out.Waited = s.Stats.Waited / float64(s.Stats.Granted)
	}
	for _, b := range s.Budgets {
		one := ShareOf{What: nameOf(b.Key, b.Name), Whole: b.Total, Left: b.Available, Used: b.Used, Asked: b.Requested, Ago: -1}
		if b.LastGrantAt > 0 {
			one.Ago = m.Now - b.LastGrantAt
		}
		out.Budgets = append(out.Budgets, one)
	}
	for _, b := range s.Ledgers {
		out.Books = append(out.Books, ShareBook{nameOf(b.Key, b.Name), b.Total, b.Free, b.Leased, b.Expiring, b.Queued, b.Open, b.Holders})
	}
	return out
}

// AskShares asks a router's page.
func AskShares(ctx context.Context, address string) (*Shares, error) {
	var s Shares
	return &s, ask(ctx, address, "shares", &s)
}

// Print writes it for a person.
func (s *Shares) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	who := s.Bursar
	switch {
	case s.Office:
		who = "this router, since " + s.Since.Format(time.RFC3339)
	case who == "":
		who = "not known"
	}
	fmt.Fprintf(t, "router\t%s\nat\t%s\nbursar\t%s\nkeeper\t%t\n", s.Router, s.At.Format(time.RFC3339), who, s.Keeper)
	c := s.Counts
	fmt.Fprintf(t, "credits\t%d asked for, %d given after %.4f s, %d given back, %d ended in hand, %d never\n", c.Requested, c.Granted, s.Waited, c.Returned, c.Expired, c.TooLarge)
	fmt.Fprintf(t, "spent\t%.2f by credits, %.2f of the firm part\nmessages\t%d sent, %d heard\n", c.Used, c.FixedUsed, c.Sent, c.Received)
	if len(s.Budgets) > 0 {
		fmt.Fprintln(t, "\nbudget\twhole\tin hand\tused of it\tasked for\tlast given")
	}
	for _, b := range s.Budgets {
		ago := "never"
		if b.Ago >= 0 {
			ago = fmt.Sprintf("%.1f s ago", b.Ago)
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", b.What, b.Whole, b.Left, b.Used, b.Asked, ago)
	}
	if len(s.Books) > 0 {
		fmt.Fprintln(t, "\nbook\twhole\tfree\tin hands\tresting\twait\topen\twho")
	}
	for _, b := range s.Books {
		var who []string
		for name, amount := range b.Holders {
			who = append(who, fmt.Sprintf("%s %.3f", name, amount))
		}
		slices.Sort(who)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%t\t%s\n", b.What, b.Whole, b.Free, b.Lent, b.Resting, b.Waiting, b.Open, strings.Join(who, ", "))
	}
	return t.Flush()
}

// alone tells whether a keeper's address is this process's own. The loop's socket would let a second process under it, and two
// that promise under one address could make two bursars.
func alone(ctx context.Context, s *shares.Settings) error {
	if !slices.Contains(s.Replicas, s.Listen) {
		return nil
	}
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", s.Listen)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("another process listens at %s, and a keeper has to be alone there: %w", s.Listen, err)
	}
	if err != nil {
		return fmt.Errorf("shares: %w", err)
	}
	return c.Close()
}
