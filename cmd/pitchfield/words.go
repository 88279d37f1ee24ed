package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/config"
	"pitchfield/internal/experiment"
	"pitchfield/internal/installation"
	"pitchfield/internal/limits"
	"pitchfield/internal/rig"
	"pitchfield/internal/serve"
)

// checkCommand says what a router would say of a settings file, without one.
func checkCommand() *cobra.Command {
	var platform, explain string
	c := &cobra.Command{Use: "check FILE", Short: "Check a file with settings of our own", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			own, err := installation.Load(args[0], os.Getenv)
			if err != nil {
				return usageError{err}
			}
			groups := "not checked: without --platform nobody knows the groups, their time limits, the clients and the budget of further dispatches"
			if platform != "" {
				text, err := os.ReadFile(platform)
				if err != nil {
					return usageError{fmt.Errorf("configuration: %w", err)}
				}
				p, err := config.Parse(text)
				if err != nil {
					return usageError{fmt.Errorf("configuration %s: %w", platform, err)}
				}
				if err := own.ValidateAgainst(args[0], p.Settings); err != nil {
					return usageError{err}
				}
				groups = "in the platform's settings"
			}
			logins, listen := 0, "off"
			if own.TDS != nil {
				logins, listen = len(own.TDS.Users), own.TDS.Listen
			}
			names := "none"
			if own.Levels != nil {
				names = ""
				for _, l := range own.Levels.Levels {
					names += " " + l.Name
				}
			}
			if explain != "" {
				f, err := limits.ParseFields(explain)
				if err != nil {
					return usageError{err}
				}
				fmt.Fprintln(c.OutOrStdout(), own.Routes.Explain(&f))
				return nil
			}
			fmt.Fprintf(c.OutOrStdout(), "%s can be used: TDS %s, %d logins, %d rules, default %t, %d lines of engines; levels: %s; service groups %s\n",
				args[0], listen, logins, len(own.Rules.List), own.Rules.Default != nil, len(own.Engines), strings.TrimSpace(names), groups)
			if len(own.Routes.Routes) > 0 {
				return own.Routes.Print(c.OutOrStdout())
			}
			return nil
		}}
	c.Flags().StringVar(&explain, "explain", "", "say which route a batch takes and why, as 'group=report client=farm'")
	c.Flags().StringVar(&platform, "platform", "", "the platform's configuration (JSON) that the service groups must be in")
	return c
}

const (
	tryEnginesPerProtocol = 2
	defaultTryBatches     = 400
)

// tryCommand is a newcomer's first look: a whole world on this machine.
func tryCommand() *cobra.Command {
	var stay, faults bool
	var batches int
	c := &cobra.Command{Use: "try", Short: "Put up engines of both protocols and a router on loopback, and send batches",
		Args: noArguments, RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if faults {
				table, err := rig.Faults()
				fmt.Fprint(out, table)
				return err
			}
			if batches < 4 {
				return usageError{errors.New("batches: at least 4")}
			}
			w, err := rig.Start(rig.Options{RESP: tryEnginesPerProtocol, TDS: tryEnginesPerProtocol})
			if err != nil {
				return err
			}
			if err := rig.Try(w, batches, out); err != nil {
				return errors.Join(err, w.Stop())
			}
			if stay {
				fmt.Fprintf(out, "tds %s user=%s password=%s database=%s\n", w.TDS, rig.User, rig.Password, rig.Database)
				fmt.Fprintf(out, "frames %s\n", w.Frames)
				end := make(chan os.Signal, 1)
				signal.Notify(end, os.Interrupt, syscall.SIGTERM)
				<-end
			}
			return w.Stop()
		}}
	c.Flags().BoolVar(&stay, "stay", false, "keep the world up afterwards and say how to connect")
	c.Flags().BoolVar(&faults, "faults", false, "play the fault script over both protocols instead, and print its table")
	c.Flags().IntVar(&batches, "batches", defaultTryBatches, "how many of each protocol")
	return c
}

// hashCommand makes what the settings keep of a password.
func hashCommand() *cobra.Command {
	return &cobra.Command{Use: "hash", Short: "Read a password from standard input and print the hash that settings keep of it",
		Args: noArguments, RunE: func(c *cobra.Command, _ []string) error {
			in := bufio.NewScanner(c.InOrStdin())
			if !in.Scan() || in.Text() == "" {
				return usageError{errors.New("no password on standard input")}
			}
			hash, err := bcrypt.GenerateFromPassword(in.Bytes(), bcrypt.DefaultCost)
			if err != nil {
				return usageError{fmt.Errorf("password: %w", err)}
			}
			fmt.Fprintln(c.OutOrStdout(), string(hash))
			return nil
		}}
}

// statusCommand asks a router's status page.
func statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status ADDRESS", Short: "Print how a router stands: its level of service, why, and the measures",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := serve.FetchStatus(c.Context(), args[0])
			if err != nil {
				return err
			}
			return s.Print(c.OutOrStdout())
		}}
}

// membersCommand asks a router what it knows of its fleet.
func membersCommand() *cobra.Command {
	return pageCommand("members", "Print whom a router of a fleet knows, how sure it is, and who differs",
		func(ctx context.Context, address string) (page, error) { return serve.FetchMembers(ctx, address) })
}

// sharesCommand asks a router what it has of what its fleet divides.
func sharesCommand() *cobra.Command {
	return pageCommand("shares", "Print what a router has of budgets that its fleet divides, and what the bursar has given to whom",
		func(ctx context.Context, address string) (page, error) { return serve.FetchQuotas(ctx, address) })
}

// page is what a router's page tells.
type page interface{ Print(out io.Writer) error }

func pageCommand(word, short string, ask func(ctx context.Context, address string) (page, error)) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: word + " ADDRESS", Short: short,
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			p, err := ask(c.Context(), args[0])
			if err != nil {
				return err
			}
			if asJSON {
				out := json.NewEncoder(c.OutOrStdout())
				out.SetIndent("", "  ")
				return out.Encode(p)
			}
			return p.Print(c.OutOrStdout())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// experimentCommand plays a matrix of days in the emulator.
func experimentCommand() *cobra.Command {
	var out, against string
	var tails bool
	c := &cobra.Command{Use: "experiment FILE", Short: "Play a matrix of worlds, days, seeds and settings in the emulator",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return usageError{err}
			}
			var older []experiment.Run
			if against != "" {
				f, err := os.Open(against)
				if err != nil {
					return usageError{fmt.Errorf("against: %w", err)}
				}
				defer f.Close()
				if older, err = experiment.ReadCSV(f); err != nil {
					return usageError{fmt.Errorf("%s: %w", against, err)}
				}
			}
			ctx, cancel := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			runs, err := e.Play(ctx, func(done, of int) {
				if done%max(of/20, 1) == 0 || done == of {
					fmt.Fprintf(c.ErrOrStderr(), "%d of %d\n", done, of)
				}
			})
			if err != nil {
				return err
			}
			return reportResults(c, e, runs, older, out, tails)
		}}
	c.Flags().StringVar(&out, "out", "", "folder for the CSV and charts; none: the table alone")
	c.Flags().BoolVar(&tails, "tails", false, "also print what the requests of each group took")
	c.Flags().StringVar(&against, "against", "", "an older CSV, compared run by run")
	return c
}

// errRuleViolated is an experiment in which a router broke a rule.
var errRuleViolated = errors.New("a rule was broken")

func reportResults(c *cobra.Command, e *experiment.Experiment, runs, older []experiment.Run, folder string, tails bool) error {
	if folder != "" {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return fmt.Errorf("out: %w", err)
		}
		f, err := os.Create(filepath.Join(folder, e.Name+".csv"))
		if err != nil {
			return fmt.Errorf("out: %w", err)
		}
		if err := errors.Join(experiment.WriteCSV(f, runs), f.Close()); err != nil {
			return err
		}
		if e.Charts {
			if _, err := e.Draw(folder, runs); err != nil {
				return err
			}
			if tails {
				if _, err := experiment.DrawLatencies(folder, experiment.Summarize(runs)); err != nil {
					return err
				}
			}
		}
	}
	cells := experiment.Summarize(runs)
	broken, err := experiment.Table(c.OutOrStdout(), cells)
	if err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if tails {
		fmt.Fprintln(c.OutOrStdout())
		if err := experiment.LatencyTable(c.OutOrStdout(), cells); err != nil {
			return fmt.Errorf("table: %w", err)
		}
	}
	if older != nil {
		fmt.Fprintln(c.OutOrStdout())
		if err := experiment.Compare(c.OutOrStdout(), runs, older); err != nil {
			return err
		}
	}
	if broken {
		return errRuleViolated
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print what this program was built from", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			version, revision := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "pitchfield %s, revision %s, %s\n", version, revision, runtime.Version())
			return nil
		}}
}
