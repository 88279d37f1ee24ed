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

// checkCommand validates a settings file as a router would at startup, without running a router. With --platform it also
// validates the file against the platform's configuration.
func checkCommand() *cobra.Command {
	var platformPath, explain string
	cmd := &cobra.Command{Use: "check FILE", Short: "Check a file with settings of our own", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := installation.Load(args[0], os.Getenv)
			if err != nil {
				return usageError{err}
			}
			groupsNote := "not checked: without --platform nobody knows the groups, their time limits, the clients and the budget of further dispatches"
			if platformPath != "" {
				text, err := os.ReadFile(platformPath)
				if err != nil {
					return usageError{fmt.Errorf("configuration: %w", err)}
				}
				platform, err := config.Parse(text)
				if err != nil {
					return usageError{fmt.Errorf("configuration %s: %w", platformPath, err)}
				}
				if err := settings.ValidateAgainst(args[0], platform.Settings); err != nil {
					return usageError{err}
				}
				groupsNote = "in the platform's settings"
			}
			logins, listen := 0, "off"
			if settings.TDS != nil {
				logins, listen = len(settings.TDS.Users), settings.TDS.Listen
			}
			levelNames := "none"
			if settings.Levels != nil {
				levelNames = ""
				for _, level := range settings.Levels.Levels {
					levelNames += " " + level.Name
				}
			}
			if explain != "" {
				fields, err := limits.ParseFields(explain)
				if err != nil {
					return usageError{err}
				}
				fmt.Fprintln(cmd.OutOrStdout(), settings.Routes.Explain(&fields))
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s can be used: TDS %s, %d logins, %d rules, default %t, %d lines of engines; levels: %s; service groups %s\n",
				args[0], listen, logins, len(settings.Rules.List), settings.Rules.Default != nil, len(settings.Engines), strings.TrimSpace(levelNames), groupsNote)
			if len(settings.Routes.Routes) > 0 {
				return settings.Routes.Print(cmd.OutOrStdout())
			}
			return nil
		}}
	cmd.Flags().StringVar(&explain, "explain", "", "say which route a batch takes and why, as 'group=report client=farm'")
	cmd.Flags().StringVar(&platformPath, "platform", "", "the platform's configuration (JSON) that the service groups must be in")
	return cmd
}

const (
	tryEnginesPerProtocol = 2
	defaultTryBatches     = 400 // for each protocol
)

// tryCommand starts engines of both protocols and a router on loopback, sends batches through every pair of client and
// engine protocol, and prints the results.
func tryCommand() *cobra.Command {
	var stay, faults bool
	var batches int
	cmd := &cobra.Command{Use: "try", Short: "Put up engines of both protocols and a router on loopback, and send batches",
		Args: noArguments, RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			if faults {
				table, err := rig.Faults()
				fmt.Fprint(out, table)
				return err
			}
			if batches < 4 {
				return usageError{errors.New("batches: at least 4")}
			}
			testbed, err := rig.Start(rig.Options{RESPEngines: tryEnginesPerProtocol, TDSEngines: tryEnginesPerProtocol})
			if err != nil {
				return err
			}
			if err := rig.Try(testbed, batches, out); err != nil {
				return errors.Join(err, testbed.Stop())
			}
			if stay {
				fmt.Fprintf(out, "tds %s user=%s password=%s database=%s\n", testbed.TDSAddress, rig.User, rig.Password, rig.Database)
				fmt.Fprintf(out, "frames %s\n", testbed.FrameAddress)
				interrupted := make(chan os.Signal, 1)
				signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
				<-interrupted
			}
			return testbed.Stop()
		}}
	cmd.Flags().BoolVar(&stay, "stay", false, "keep the world up afterwards and say how to connect")
	cmd.Flags().BoolVar(&faults, "faults", false, "play the fault script over both protocols instead, and print its table")
	cmd.Flags().IntVar(&batches, "batches", defaultTryBatches, "how many of each protocol")
	return cmd
}

// hashCommand reads a password and prints its bcrypt hash, which is what the settings store.
func hashCommand() *cobra.Command {
	return &cobra.Command{Use: "hash", Short: "Read a password from standard input and print the hash that settings keep of it",
		Args: noArguments, RunE: func(cmd *cobra.Command, _ []string) error {
			input := bufio.NewScanner(cmd.InOrStdin())
			if !input.Scan() || input.Text() == "" {
				return usageError{errors.New("no password on standard input")}
			}
			hash, err := bcrypt.GenerateFromPassword(input.Bytes(), bcrypt.DefaultCost)
			if err != nil {
				return usageError{fmt.Errorf("password: %w", err)}
			}
			fmt.Fprintln(cmd.OutOrStdout(), string(hash))
			return nil
		}}
}

// statusCommand fetches and prints a router's status page.
func statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status ADDRESS", Short: "Print how a router stands: its level of service, why, and the measures",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			status, err := serve.FetchStatus(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return status.Print(cmd.OutOrStdout())
		}}
}

// membersCommand fetches and prints a router's view of the members of its fleet.
func membersCommand() *cobra.Command {
	return pageCommand("members", "Print whom a router of a fleet knows, how sure it is, and who differs",
		func(ctx context.Context, address string) (statusPage, error) { return serve.FetchMembers(ctx, address) })
}

// sharesCommand fetches and prints a router's quota leases of the fleet-wide budgets and, on the quota coordinator, the leases
// granted to each member.
func sharesCommand() *cobra.Command {
	return pageCommand("shares", "Print what a router has of budgets that its fleet divides, and what the bursar has given to whom",
		func(ctx context.Context, address string) (statusPage, error) { return serve.FetchQuotas(ctx, address) })
}

// statusPage is the content of one page of a router's status server.
type statusPage interface{ Print(out io.Writer) error }

// pageCommand returns a subcommand that fetches a page from the router at an address and prints it as text or JSON.
func pageCommand(name, short string, fetch func(ctx context.Context, address string) (statusPage, error)) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: name + " ADDRESS", Short: short,
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			page, err := fetch(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(page)
			}
			return page.Print(cmd.OutOrStdout())
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// experimentCommand runs a matrix of simulated workloads, seeds and settings in the emulator.
func experimentCommand() *cobra.Command {
	var outFolder, baselinePath string
	var tails bool
	cmd := &cobra.Command{Use: "experiment FILE", Short: "Play a matrix of worlds, days, seeds and settings in the emulator",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := experiment.Load(args[0])
			if err != nil {
				return usageError{err}
			}
			var baseline []experiment.Run
			if baselinePath != "" {
				file, err := os.Open(baselinePath)
				if err != nil {
					return usageError{fmt.Errorf("against: %w", err)}
				}
				defer file.Close()
				if baseline, err = experiment.ReadCSV(file); err != nil {
					return usageError{fmt.Errorf("%s: %w", baselinePath, err)}
				}
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			runs, err := exp.Play(ctx, func(done, total int) {
				if done%max(total/20, 1) == 0 || done == total {
					fmt.Fprintf(cmd.ErrOrStderr(), "%d of %d\n", done, total)
				}
			})
			if err != nil {
				return err
			}
			return reportResults(cmd, exp, runs, baseline, outFolder, tails)
		}}
	cmd.Flags().StringVar(&outFolder, "out", "", "folder for the CSV and charts; none: the table alone")
	cmd.Flags().BoolVar(&tails, "tails", false, "also print what the requests of each group took")
	cmd.Flags().StringVar(&baselinePath, "against", "", "an older CSV, compared run by run")
	return cmd
}

// errRuleViolated reports that a router violated a rule of the emulator's checker during an experiment.
var errRuleViolated = errors.New("a rule was broken")

// reportResults writes the runs of an experiment as CSV and charts to folder, if it is not empty, and prints the summary tables
// and the comparison with the baseline, if there is one. It returns errRuleViolated if any run violated a rule.
func reportResults(cmd *cobra.Command, exp *experiment.Experiment, runs, baseline []experiment.Run, folder string, tails bool) error {
	if folder != "" {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return fmt.Errorf("out: %w", err)
		}
		file, err := os.Create(filepath.Join(folder, exp.Name+".csv"))
		if err != nil {
			return fmt.Errorf("out: %w", err)
		}
		if err := errors.Join(experiment.WriteCSV(file, runs), file.Close()); err != nil {
			return err
		}
		if exp.Charts {
			if _, err := exp.Draw(folder, runs); err != nil {
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
	violated, err := experiment.Table(cmd.OutOrStdout(), cells)
	if err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if tails {
		fmt.Fprintln(cmd.OutOrStdout())
		if err := experiment.LatencyTable(cmd.OutOrStdout(), cells); err != nil {
			return fmt.Errorf("table: %w", err)
		}
	}
	if baseline != nil {
		fmt.Fprintln(cmd.OutOrStdout())
		if err := experiment.Compare(cmd.OutOrStdout(), runs, baseline); err != nil {
			return err
		}
	}
	if violated {
		return errRuleViolated
	}
	return nil
}

// versionCommand prints the module version, the VCS revision and the Go version of the build.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print what this program was built from", Args: noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, revision := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, setting := range info.Settings {
					if setting.Key == "vcs.revision" {
						revision = setting.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "pitchfield %s, revision %s, %s\n", version, revision, runtime.Version())
			return nil
		}}
}
