package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/levels"
	"pitchfield/internal/router"
)

// Status is a router's state, as its status page gives it at /status.
type Status struct {
	Router             string             `json:"router"`
	At                 time.Time          `json:"at"`
	Level              string             `json:"level"`
	Reason             string             `json:"reason"`
	Since              time.Time          `json:"since"`
	TrialStep          int                `json:"trial"`    // step of a trial to leave the level; 0: none
	Shed               int                `json:"shed"`     // batches rejected by levels of reduced service since the start
	Measures           map[string]float64 `json:"measures"` // by the names in package levels
	Batches            int                `json:"batches"`  // not finished yet
	Clients            int                `json:"clients"`
	Stopping           bool               `json:"stopping"`
	Queued             int                `json:"held"` // batches that wait for an engine
	InFlight           int                `json:"out"`  // dispatches that engines have not answered
	Engines            int                `json:"engines"`
	Cold               int                `json:"cold"`     // engines
	Ejected            int                `json:"aside"`    // engines
	Draining           int                `json:"draining"` // engines
	Load               float64            `json:"load"`
	AdmissionThreshold float64            `json:"mark"` // in threads a core: below it a batch starts
	ActiveSettings     ActiveSettings     `json:"in_force"`
}

// ActiveSettings says which settings file is in force.
type ActiveSettings struct {
	File       string    `json:"file"`
	ReadAt     time.Time `json:"read"`
	Rejected   string    `json:"refused,omitempty"` // why a later version could not be used; empty: none was rejected since
	RejectedAt time.Time `json:"refused_at"`
}

// unixTime converts Unix seconds.
func unixTime(seconds float64) time.Time { return time.UnixMicro(int64(seconds * 1e6)).UTC() }

// newStatus builds the page from the router's state.
func newStatus(s router.Status) *Status {
	out := &Status{Router: s.Name, At: unixTime(s.Now), Level: s.Level, Reason: s.Reason, Since: unixTime(s.Since), TrialStep: s.Step, Shed: s.Shed,
		Measures: map[string]float64{}, Batches: s.Batches, Clients: s.Clients, Stopping: s.Stopping > 0, Queued: s.Decisions.Queued,
		InFlight: s.Decisions.InFlight, Engines: s.Decisions.Engines, Cold: s.Decisions.Cold, Ejected: s.Decisions.Ejected, Draining: s.Decisions.Draining,
		Load: s.Decisions.Load, AdmissionThreshold: s.Decisions.AdmissionThreshold}
	for m, name := range levels.MeasureNames {
		out.Measures[name] = s.Measures[m]
	}
	return out
}

// Print writes the page as text.
func (s *Status) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "router\t%s\nat\t%s\nlevel\t%s\nreason\t%s\nsince\t%s\n", s.Router, s.At.Format(time.RFC3339), s.Level, s.Reason,
		s.Since.Format(time.RFC3339))
	if s.TrialStep > 0 {
		fmt.Fprintf(table, "trial\tstep %d\n", s.TrialStep)
	}
	fmt.Fprintf(table, "shed\t%d\nbatches\t%d, %d held, %d out\nclients\t%d\nengines\t%d, %d cold, %d aside, %d draining\n", s.Shed, s.Batches,
		s.Queued, s.InFlight, s.Clients, s.Engines, s.Cold, s.Ejected, s.Draining)
	for _, name := range levels.MeasureNames {
		fmt.Fprintf(table, "%s\t%.3g\n", name, s.Measures[name])
	}
	if s.Stopping {
		fmt.Fprintln(table, "stopping\tyes")
	}
	if settings := s.ActiveSettings; settings.File != "" {
		fmt.Fprintf(table, "settings\t%s, read %s\n", settings.File, settings.ReadAt.Format(time.RFC3339))
		for i, line := range strings.Split(settings.Rejected, "\n") {
			if i == 0 && line != "" {
				line = "refused at " + settings.RejectedAt.Format(time.RFC3339) + ": " + line
			}
			if line != "" {
				fmt.Fprintf(table, "\t%s\n", line)
			}
		}
	}
	return table.Flush()
}

// statusPage is the HTTP server of the status page; it answers with JSON. It reads copies that the event loop stores, so
// requests never delay the loop.
type statusPage struct {
	server         *http.Server
	status         atomic.Pointer[Status]
	members        atomic.Pointer[Members]
	quotas         atomic.Pointer[Quotas]
	activeSettings atomic.Pointer[ActiveSettings]
}

const (
	statusTimeout = 2 * time.Second // of one request, on both sides
	maxPageBytes  = 1 << 20         // of a fetched page
)

// newStatusPage starts the server at an address.

func newStatusPage(ctx context.Context, address string, log *zap.Logger) (*statusPage, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	p := &statusPage{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		s := p.status.Load()
		if s == nil {
			http.Error(w, "not known yet", http.StatusServiceUnavailable)
			return
		}
		out := *s
		if f := p.activeSettings.Load(); f != nil {
			out.ActiveSettings = *f
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(out) //nolint:errcheck // the client has closed the connection
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		m := p.members.Load()
		if m == nil {
			http.Error(w, "this router talks to no other; settings without [fleet] have none", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(m) //nolint:errcheck // the client has closed the connection
	})
	mux.HandleFunc("GET /shares", func(w http.ResponseWriter, _ *http.Request) {
		s := p.quotas.Load()
		if s == nil {
			http.Error(w, "this router divides nothing with others; settings without [shares] have nothing to divide", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s) //nolint:errcheck // the client has closed the connection
	})
	p.server = &http.Server{Handler: mux, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, MaxHeaderBytes: 4 << 10}
	go func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Warn("status page", zap.Error(err))
		}
	}()
	log.Info("status page", zap.String("listen", address))
	return p, nil
}

func (p *statusPage) setStatus(s router.Status) { p.status.Store(newStatus(s)) }

// setActiveSettings records which settings are in force, or why a new version was rejected. After the start only the
// goroutine that handles reloads calls it.
func (p *statusPage) setActiveSettings(next Configuration) {
	settings := ActiveSettings{File: next.InstallationPath, ReadAt: next.ReadAt.UTC()}
	if next.Err != nil {
		settings = *p.activeSettings.Load()
		settings.Rejected, settings.RejectedAt = next.Err.Error(), next.ReadAt.UTC()
	}
	p.activeSettings.Store(&settings)
}

func (p *statusPage) stop() { p.server.Close() }

// FetchStatus fetches the page from the router whose status page is at address.
func FetchStatus(ctx context.Context, address string) (*Status, error) {
	var s Status
	return &s, fetchPage(ctx, address, "status", &s)
}

// fetchPage fetches a JSON page of a router's status page and decodes it into a value.
func fetchPage(ctx context.Context, address, page string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+page, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return fmt.Errorf("%s: %s answered %s: %s", page, address, response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return nil
}
