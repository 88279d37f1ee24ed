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

// Quotas is a router's state of the budgets that its fleet divides, as its status page gives it at /shares.
type Quotas struct {
	Router        string         `json:"router"`
	At            time.Time      `json:"at"`
	Coordinator   string         `json:"bursar"` // address of the quota coordinator; empty: unknown
	IsCoordinator bool           `json:"office"` // this router is the coordinator
	Since         time.Time      `json:"since"`  // when it became the coordinator
	IsReplica     bool           `json:"keeper"` // this router holds a replica of the quota records
	Budgets       []BudgetQuota  `json:"budgets"`
	Ledgers       []BudgetLedger `json:"books"` // of the coordinator; empty on other routers
	Counts        shares.Stats   `json:"counts"`
	MeanWait      float64        `json:"waited_mean"` // seconds from a request to its grant
}

// BudgetQuota is this router's part of a budget, in the budget's unit.
type BudgetQuota struct {
	Name       string  `json:"what"`
	Total      float64 `json:"whole"`
	Unspent    float64 `json:"left"`      // granted and not spent yet
	Spent      float64 `json:"used"`      // of the grants that are in force
	Requested  float64 `json:"asked"`     // requests without an answer yet
	GrantedAgo float64 `json:"given_ago"` // seconds since the last grant; below 0: never
}

// BudgetLedger is the coordinator's record of one budget, in the budget's unit.
type BudgetLedger struct {
	Name    string             `json:"what"`
	Total   float64            `json:"whole"`
	Free    float64            `json:"free"`
	Leased  float64            `json:"lent"`    // held by routers
	Resting float64            `json:"resting"` // spent or not returned, and counted until its effect must be over
	Waiting int                `json:"waiting"` // requests
	Open    bool               `json:"open"`    // grants can be made
	Holders map[string]float64 `json:"holders"` // by router
}

// budgetName returns a readable name of a budget with its unit.
func budgetName(k shares.Key, name string) string {
	switch {
	case name != "":
		return fmt.Sprintf("%s, %s (%s)", k.Kind, name, shares.Kinds[k.Kind].Unit)
	case k.Kind != shares.ColdWork: // a budget of another router's settings, so its name is unknown
		return fmt.Sprintf("%s, %016x (%s)", k.Kind, k.Qualifier, shares.Kinds[k.Kind].Unit)
	}
	return fmt.Sprintf("%s, engine %d started %s (%s)", k.Kind, k.Engine, unixTime(math.Float64frombits(k.Qualifier)).Format("15:04:05.000"), shares.Kinds[k.Kind].Unit)
}

// newQuotas builds the page from the router's state.
func newQuotas(state router.FleetStatus) *Quotas {
	quotas := state.Shares
	out := &Quotas{Router: state.Name, At: unixTime(state.Now), Coordinator: quotas.Coordinator, IsCoordinator: quotas.IsCoordinator, Since: unixTime(quotas.CoordinatorSince), IsReplica: quotas.IsReplica, Counts: quotas.Stats}
	if quotas.Stats.Granted > 0 {
		out.MeanWait = quotas.Stats.Waited / float64(quotas.Stats.Granted)
	}
	for _, budget := range quotas.Budgets {
		quota := BudgetQuota{Name: budgetName(budget.Key, budget.Name), Total: budget.Total, Unspent: budget.Available, Spent: budget.Used, Requested: budget.Requested, GrantedAgo: -1}
		if budget.LastGrantAt > 0 {
			quota.GrantedAgo = state.Now - budget.LastGrantAt
		}
		out.Budgets = append(out.Budgets, quota)
	}
	for _, budget := range quotas.Ledgers {
		out.Ledgers = append(out.Ledgers, BudgetLedger{budgetName(budget.Key, budget.Name), budget.Total, budget.Free, budget.Leased, budget.Expiring, budget.Queued, budget.Open, budget.Holders})
	}
	return out
}

// FetchQuotas fetches the page from the router whose status page is at address.
func FetchQuotas(ctx context.Context, address string) (*Quotas, error) {
	var s Quotas
	return &s, fetchPage(ctx, address, "shares", &s)
}

// Print writes the page as text.
func (s *Quotas) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	coordinator := s.Coordinator
	switch {
	case s.IsCoordinator:
		coordinator = "this router, since " + s.Since.Format(time.RFC3339)
	case coordinator == "":
		coordinator = "not known"
	}
	fmt.Fprintf(table, "router\t%s\nat\t%s\nbursar\t%s\nkeeper\t%t\n", s.Router, s.At.Format(time.RFC3339), coordinator, s.IsReplica)
	counts := s.Counts
	fmt.Fprintf(table, "credits\t%d asked for, %d given after %.4f s, %d given back, %d ended in hand, %d never\n", counts.Requested, counts.Granted, s.MeanWait, counts.Returned, counts.Expired, counts.TooLarge)
	fmt.Fprintf(table, "spent\t%.2f by credits, %.2f of the firm part\nmessages\t%d sent, %d heard\n", counts.Used, counts.FixedUsed, counts.Sent, counts.Received)
	if len(s.Budgets) > 0 {
		fmt.Fprintln(table, "\nbudget\twhole\tin hand\tused of it\tasked for\tlast given")
	}
	for _, budget := range s.Budgets {
		ago := "never"
		if budget.GrantedAgo >= 0 {
			ago = fmt.Sprintf("%.1f s ago", budget.GrantedAgo)
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", budget.Name, budget.Total, budget.Unspent, budget.Spent, budget.Requested, ago)
	}
	if len(s.Ledgers) > 0 {
		fmt.Fprintln(table, "\nbook\twhole\tfree\tin hands\tresting\twait\topen\twho")
	}
	for _, budget := range s.Ledgers {
		var coordinator []string
		for name, amount := range budget.Holders {
			coordinator = append(coordinator, fmt.Sprintf("%s %.3f", name, amount))
		}
		slices.Sort(coordinator)
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%t\t%s\n", budget.Name, budget.Total, budget.Free, budget.Leased, budget.Resting, budget.Waiting, budget.Open, strings.Join(coordinator, ", "))
	}
	return table.Flush()
}

// checkAddressUnused returns an error if this router holds a replica and another process listens at its address. The
// loop's socket would allow a second process there, and two replicas that vote under one address could elect two
// coordinators.
func checkAddressUnused(ctx context.Context, s *shares.Settings) error {
	if !slices.Contains(s.Replicas, s.Listen) {
		return nil
	}
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", s.Listen)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("another process listens at the address of this keeper, %s: %w", s.Listen, err)
	}
	if err != nil {
		return fmt.Errorf("shares: check whether %s is free: %w", s.Listen, err)
	}
	return c.Close()
}
