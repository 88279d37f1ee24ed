// Command pitchfield is one router: it takes batches from clients and has them run by analytic engines. Without a word
// it runs as the platform starts it; its other words help to set it up.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pitchfield/internal/config"
	"pitchfield/internal/logwriter"
	"pitchfield/internal/serve"
	"pitchfield/internal/transient"
)

// softMemory is the part of the memory limit at which the collector works harder; the rest is not Go's heap.
// With one core each collection holds the loop up, so it comes seldom while there is room.
const (
	memoryLimitFraction = 0.7
	gcPercent           = 400

	maxLinesPerSecond = 50 // of one text
)

// How long is waited for what fails for a moment.
const (
	loadTimeout         = 3 * time.Second // for the files at a start
	reloadTimeout       = 10 * time.Second
	reloadRetryInterval = 50 * time.Millisecond
	logFlushTimeout     = 100 * time.Millisecond // for the last lines to be written
)

// What the program exits with.
const (
	exitFailed = 1
	exitUsage  = 2 // wrong words, or settings that can't be used
)

// usageError is an error that exits with exitUsage.
type usageError struct{ error }

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	for i, a := range args { // as it was written before there were words
		if strings.HasPrefix(a, "-log-level") {
			args[i] = "-" + a
		}
	}
	root := rootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "pitchfield:", err)
	if _, is := err.(usageError); is { //nolint:errorlint // it is never wrapped
		return exitUsage
	}
	return exitFailed
}

func rootCommand() *cobra.Command {
	var level, path string
	start := func(*cobra.Command, []string) error {
		l, err := zapcore.ParseLevel(level)
		if err != nil {
			return usageError{fmt.Errorf("log-level: %w", err)}
		}
		return run(l, path)
	}
	root := &cobra.Command{Use: "pitchfield", Short: "A workload manager before analytic engines",
		Long: "A workload manager before analytic engines. Without a word it runs a router; RELAY_CONFIG names its configuration.",
		Args: noArguments, RunE: start, SilenceErrors: true, SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	runs := &cobra.Command{Use: "run", Short: "Run a router (as without a word)", Args: noArguments, RunE: start}
	for _, c := range []*cobra.Command{root, runs} {
		c.Flags().StringVar(&level, "log-level", "info", "least level that is logged; debug has lines for every batch")
		c.Flags().StringVar(&path, "settings", "", "file with settings of our own (TOML); none: all of them are off")
	}
	root.AddCommand(runs, checkCommand(), tryCommand(), hashCommand(), statusCommand(), membersCommand(), sharesCommand(), experimentCommand(),
		versionCommand())
	return root
}

func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%q is no word of %s; there is %s --help", args[0], c.CommandPath(), c.CommandPath())}
	}
	return nil
}

func run(level zapcore.Level, path string) error {
	again := make(chan os.Signal, 1) // caught before all else: its default ends the process
	signal.Notify(again, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // it ends a process that logs to a pipe which nobody reads any more
	var t serve.Configuration
	err := transient.Retry(loadTimeout, func() (err error) {
		t, err = serve.Load(os.Getenv, path)
		return err
	})
	if err != nil {
		return err
	}
	c := t.Config
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	limitMemory(c)
	logging := zap.NewProductionConfig()
	logging.Level, logging.Sampling = zap.NewAtomicLevelAt(level), nil
	if level >= zap.InfoLevel { // whoever sends rubbish must not fill the log; debug is for all there is
		logging.Sampling = &zap.SamplingConfig{Initial: maxLinesPerSecond}
	}
	logging.DisableStacktrace, logging.DisableCaller = true, true
	lines := logwriter.New(os.Stderr)
	defer lines.Close(logFlushTimeout)
	log := newLogger(logging, lines).With(zap.String("router", c.Name))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	log.Info("starting", zap.String("listen", c.Listen), zap.Int("memory_mb", c.MemoryMB),
		zap.Int("descriptors", c.Descriptors), zap.Int("engines", len(c.KnownEngines.Engines)))
	if len(c.Settings.UnknownKeys) > 0 {
		log.Warn("settings that are not known are passed over", zap.Strings("keys", c.Settings.UnknownKeys))
	}
	if err := serve.Run(ctx, t, watchReloads(ctx, again, path, log), log); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

func limitMemory(c config.Config) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.MemoryMB) * (1 << 20)))
	}
}

// newLogger logs as a configuration says, to a writer.
func newLogger(c zap.Config, to zapcore.WriteSyncer) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c.EncoderConfig), to, c.Level)
	if c.Sampling != nil {
		core = zapcore.NewSamplerWithOptions(core, time.Second, c.Sampling.Initial, c.Sampling.Thereafter)
	}
	return zap.New(core)
}

// watchReloads reads all that a router is told again at each signal. If any of it can't be used, that is logged, and all of
// the old is kept; it is read again for a while, since a file may be half written or the system short of something just then,
// and no second signal may come.
func watchReloads(ctx context.Context, again <-chan os.Signal, path string, log *zap.Logger) <-chan serve.Configuration {
	out := make(chan serve.Configuration)
	go func() {
		var retry <-chan time.Time // to read once more; nil: not
		var failing time.Time      // since when it could not be used; zero: it could
		for {
			select {
			case <-ctx.Done():
				return
			case <-again:
				failing = time.Time{}
			case <-retry:
			}
			retry = nil
			t, err := serve.Load(os.Getenv, path)
			switch {
			case err == nil:
				failing = time.Time{}
				limitMemory(t.Config)
			case failing.IsZero():
				log.Error("configuration can't be used, the old one is kept", zap.Duration("read again for", reloadTimeout), zap.Error(err))
				failing = time.Now()
				t = serve.Configuration{Err: err, ReadAt: time.Now()}
				retry = time.After(reloadRetryInterval)
			case time.Since(failing) < reloadTimeout:
				retry = time.After(reloadRetryInterval)
				continue
			default:
				log.Error("configuration still can't be used, it is read at the next SIGHUP", zap.Error(err))
				continue
			}
			select {
			case out <- t:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
