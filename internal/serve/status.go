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

// Status is how a router stands, as its status page tells it.
type Status struct {
	Router             string             `json:"router"`
	At                 time.Time          `json:"at"`
	Level              string             `json:"level"`
	Reason             string             `json:"reason"`
	Since              time.Time          `json:"since"`
	TrialStep          int                `json:"trial"` // step of a trial to leave the level; 0: none
	Shed               int                `json:"shed"`  // batches that levels have refused since the start
	Measures           map[string]float64 `json:"measures"`
	Batches            int                `json:"batches"` // not over yet
	Clients            int                `json:"clients"`
	Stopping           bool               `json:"stopping"`
	Queued             int                `json:"held"`
	InFlight           int                `json:"out"`
	Engines            int                `json:"engines"`
	Cold               int                `json:"cold"`
	Ejected            int                `json:"aside"`
	Draining           int                `json:"draining"`
	Load               float64            `json:"load"`
	AdmissionThreshold float64            `json:"mark"`
	ActiveSettings     ActiveSettings     `json:"in_force"`
}

// ActiveSettings is which file with our own settings counts.
type ActiveSettings struct {
	File       string    `json:"file"`
	ReadAt     time.Time `json:"read"`
	Rejected   string    `json:"refused,omitempty"` // why a later one does not; empty: none was refused since
	RejectedAt time.Time `json:"refused_at"`
}

func unixTime(seconds float64) time.Time { return time.UnixMicro(int64(seconds * 1e6)).UTC() }

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

// Print writes it for a person.
func (s *Status) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "router\t%s\nat\t%s\nlevel\t%s\nreason\t%s\nsince\t%s\n", s.Router, s.At.Format(time.RFC3339), s.Level, s.Reason,
		s.Since.Format(time.RFC3339))
	if s.TrialStep > 0 {
		fmt.Fprintf(t, "trial\tstep %d\n", s.TrialStep)
	}
	fmt.Fprintf(t, "shed\t%d\nbatches\t%d, %d held, %d out\nclients\t%d\nengines\t%d, %d cold, %d aside, %d draining\n", s.Shed, s.Batches,
		s.Queued, s.InFlight, s.Clients, s.Engines, s.Cold, s.Ejected, s.Draining)
	for _, name := range levels.MeasureNames {
		fmt.Fprintf(t, "%s\t%.3g\n", name, s.Measures[name])
	}
	if s.Stopping {
		fmt.Fprintln(t, "stopping\tyes")
	}
	if f := s.ActiveSettings; f.File != "" {
		fmt.Fprintf(t, "settings\t%s, read %s\n", f.File, f.ReadAt.Format(time.RFC3339))
		for i, line := range strings.Split(f.Rejected, "\n") {
			if i == 0 && line != "" {
				line = "refused at " + f.RejectedAt.Format(time.RFC3339) + ": " + line
			}
			if line != "" {
				fmt.Fprintf(t, "\t%s\n", line)
			}
		}
	}
	return t.Flush()
}

// statusPage answers GET /status as JSON. It reads a copy, so nobody who asks can hold the loop up.
type statusPage struct {
	server         *http.Server
	status         atomic.Pointer[Status]
	members        atomic.Pointer[Members]
	quotas         atomic.Pointer[Quotas]
	activeSettings atomic.Pointer[ActiveSettings]
}

const (
	statusTimeout = 2 * time.Second
	maxPageBytes  = 1 << 20
)

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
		json.NewEncoder(w).Encode(out) //nolint:errcheck // the client has left
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		m := p.members.Load()
		if m == nil {
			http.Error(w, "this router talks to no other; settings without [fleet] have none", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(m) //nolint:errcheck // the client has left
	})
	mux.HandleFunc("GET /shares", func(w http.ResponseWriter, _ *http.Request) {
		s := p.quotas.Load()
		if s == nil {
			http.Error(w, "this router divides nothing with others; settings without [shares] have nothing to divide", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s) //nolint:errcheck // the client has left
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

// setActiveSettings notes what counts from now on, or why it does not. Only the goroutine of reloads calls it, after the start.
func (p *statusPage) setActiveSettings(t Configuration) {
	now := ActiveSettings{File: t.InstallationPath, ReadAt: t.ReadAt.UTC()}
	if t.Err != nil {
		now = *p.activeSettings.Load()
		now.Rejected, now.RejectedAt = t.Err.Error(), t.ReadAt.UTC()
	}
	p.activeSettings.Store(&now)
}

func (p *statusPage) stop() { p.server.Close() }

// FetchStatus asks a router's status page.
func FetchStatus(ctx context.Context, address string) (*Status, error) {
	var s Status
	return &s, fetchPage(ctx, address, "status", &s)
}

// fetchPage gets a page of a router's as JSON.
func fetchPage(ctx context.Context, address, page string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+page, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(answer.Body, 200))
		return fmt.Errorf("%s: %s says %s: %s", page, address, answer.Status, strings.TrimSpace(string(why)))
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxPageBytes)).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return nil
}
