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

// Quotas is how a router stands with what its fleet divides, as its page tells it.
type Quotas struct {
	Router        string         `json:"router"`
	At            time.Time      `json:"at"`
	Coordinator   string         `json:"bursar"` // address; empty: none is known
	IsCoordinator bool           `json:"office"` // it is this router,
	Since         time.Time      `json:"since"`  // since when
	IsReplica     bool           `json:"keeper"`
	Budgets       []BudgetQuota  `json:"budgets"`
	Ledgers       []BudgetLedger `json:"books"` // of the bursar
	Counts        shares.Stats   `json:"counts"`
	MeanWait      float64        `json:"waited_mean"` // seconds between wish and credit
}

// BudgetQuota is what this router has of a budget.
type BudgetQuota struct {
	Name       string  `json:"what"`
	Total      float64 `json:"whole"`
	Unspent    float64 `json:"left"`      // in hand, not used
	Spent      float64 `json:"used"`      // of what is in hand
	Requested  float64 `json:"asked"`     // without an answer yet
	GrantedAgo float64 `json:"given_ago"` // seconds since something was last given; below 0: never
}

// BudgetLedger is what the bursar has given of one.
type BudgetLedger struct {
	Name    string             `json:"what"`
	Total   float64            `json:"whole"`
	Free    float64            `json:"free"`
	Leased  float64            `json:"lent"`
	Resting float64            `json:"resting"`
	Waiting int                `json:"waiting"`
	Open    bool               `json:"open"`
	Holders map[string]float64 `json:"holders"`
}

func budgetName(k shares.Key, name string) string {
	switch {
	case name != "":
		return fmt.Sprintf("%s, %s (%s)", k.Kind, name, shares.Kinds[k.Kind].Unit)
	case k.Kind != shares.ColdWork: // of another's settings
		return fmt.Sprintf("%s, %016x (%s)", k.Kind, k.Qualifier, shares.Kinds[k.Kind].Unit)
	}
	return fmt.Sprintf("%s, engine %d started %s (%s)", k.Kind, k.Engine, unixTime(math.Float64frombits(k.Qualifier)).Format("15:04:05.000"), shares.Kinds[k.Kind].Unit)
}

func newQuotas(m router.FleetStatus) *Quotas {
	s := m.Shares
	out := &Quotas{Router: m.Name, At: unixTime(m.Now), Coordinator: s.Coordinator, IsCoordinator: s.IsCoordinator, Since: unixTime(s.CoordinatorSince), IsReplica: s.IsReplica, Counts: s.Stats}
	if s.Stats.Granted > 0 {
		out.MeanWait = s.Stats.Waited / float64(s.Stats.Granted)
	}
	for _, b := range s.Budgets {
		one := BudgetQuota{Name: budgetName(b.Key, b.Name), Total: b.Total, Unspent: b.Available, Spent: b.Used, Requested: b.Requested, GrantedAgo: -1}
		if b.LastGrantAt > 0 {
			one.GrantedAgo = m.Now - b.LastGrantAt
		}
		out.Budgets = append(out.Budgets, one)
	}
	for _, b := range s.Ledgers {
		out.Ledgers = append(out.Ledgers, BudgetLedger{budgetName(b.Key, b.Name), b.Total, b.Free, b.Leased, b.Expiring, b.Queued, b.Open, b.Holders})
	}
	return out
}

// FetchQuotas asks a router's page.
func FetchQuotas(ctx context.Context, address string) (*Quotas, error) {
	var s Quotas
	return &s, fetchPage(ctx, address, "shares", &s)
}

// Print writes it for a person.
func (s *Quotas) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	who := s.Coordinator
	switch {
	case s.IsCoordinator:
		who = "this router, since " + s.Since.Format(time.RFC3339)
	case who == "":
		who = "not known"
	}
	fmt.Fprintf(t, "router\t%s\nat\t%s\nbursar\t%s\nkeeper\t%t\n", s.Router, s.At.Format(time.RFC3339), who, s.IsReplica)
	c := s.Counts
	fmt.Fprintf(t, "credits\t%d asked for, %d given after %.4f s, %d given back, %d ended in hand, %d never\n", c.Requested, c.Granted, s.MeanWait, c.Returned, c.Expired, c.TooLarge)
	fmt.Fprintf(t, "spent\t%.2f by credits, %.2f of the firm part\nmessages\t%d sent, %d heard\n", c.Used, c.FixedUsed, c.Sent, c.Received)
	if len(s.Budgets) > 0 {
		fmt.Fprintln(t, "\nbudget\twhole\tin hand\tused of it\tasked for\tlast given")
	}
	for _, b := range s.Budgets {
		ago := "never"
		if b.GrantedAgo >= 0 {
			ago = fmt.Sprintf("%.1f s ago", b.GrantedAgo)
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", b.Name, b.Total, b.Unspent, b.Spent, b.Requested, ago)
	}
	if len(s.Ledgers) > 0 {
		fmt.Fprintln(t, "\nbook\twhole\tfree\tin hands\tresting\twait\topen\twho")
	}
	for _, b := range s.Ledgers {
		var who []string
		for name, amount := range b.Holders {
			who = append(who, fmt.Sprintf("%s %.3f", name, amount))
		}
		slices.Sort(who)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%t\t%s\n", b.Name, b.Total, b.Free, b.Leased, b.Resting, b.Waiting, b.Open, strings.Join(who, ", "))
	}
	return t.Flush()
}

// checkAddressUnused tells whether a keeper's address is this process's own. The loop's socket would let a second process under it, and two
// that promise under one address could make two bursars.
func checkAddressUnused(ctx context.Context, s *shares.Settings) error {
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
