// Command pitchfield runs one router, which accepts batches from clients and dispatches them to analytic engines.
//
// Without a subcommand it runs the router, which is how the platform starts it. The other subcommands check settings,
// inspect a running router and run experiments.
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

const (
	// memoryLimitFraction is the fraction of the configured memory that becomes Go's soft memory limit, above which the
	// garbage collector runs more often. The rest is left for memory outside the Go heap.
	memoryLimitFraction = 0.7
	// gcPercent is the value for debug.SetGCPercent. The process runs on one core, so each collection delays the event
	// loop; a high value makes collections rare while memory is free.
	gcPercent = 400

	maxLinesPerSecond = 50 // log lines with the same message
)

// Timeouts and intervals for operations that may fail for a short time.
const (
	loadTimeout         = 3 * time.Second  // for reading the configuration files at startup
	reloadTimeout       = 10 * time.Second // for reading them again after SIGHUP
	reloadRetryInterval = 50 * time.Millisecond
	logFlushTimeout     = 100 * time.Millisecond // for writing the last log lines at exit
)

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2 // invalid arguments or settings
)

// usageError wraps an error for which the program exits with exitUsage.
type usageError struct{ error }

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the subcommand that the arguments name and returns the exit code.
func execute(args []string) int {
	for i, arg := range args { // the single-dash form dates from before there were subcommands
		if strings.HasPrefix(arg, "-log-level") {
			args[i] = "-" + arg
		}
	}
	root := rootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "pitchfield:", err)
	if _, ok := err.(usageError); ok { //nolint:errorlint // it is never wrapped
		return exitUsage
	}
	return exitFailed
}

// rootCommand builds the command tree. The root command itself runs the router.
func rootCommand() *cobra.Command {
	var levelName, settingsPath string
	runRouter := func(*cobra.Command, []string) error {
		level, err := zapcore.ParseLevel(levelName)
		if err != nil {
			return usageError{fmt.Errorf("log-level: %w", err)}
		}
		return run(level, settingsPath)
	}
	root := &cobra.Command{Use: "pitchfield", Short: "A workload manager before analytic engines",
		Long: "A workload manager before analytic engines. Without a word it runs a router; RELAY_CONFIG names its configuration.",
		Args: noArguments, RunE: runRouter, SilenceErrors: true, SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	runCommand := &cobra.Command{Use: "run", Short: "Run a router (as without a word)", Args: noArguments, RunE: runRouter}
	for _, c := range []*cobra.Command{root, runCommand} {
		c.Flags().StringVar(&levelName, "log-level", "info", "least level that is logged; debug has lines for every batch")
		c.Flags().StringVar(&settingsPath, "settings", "", "file with settings of our own (TOML); none: all of them are off")
	}
	root.AddCommand(runCommand, checkCommand(), tryCommand(), hashCommand(), statusCommand(), membersCommand(), sharesCommand(), experimentCommand(),
		versionCommand())
	return root
}

// noArguments is a cobra.PositionalArgs that rejects any argument with a usageError.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%q is no word of %s; there is %s --help", args[0], c.CommandPath(), c.CommandPath())}
	}
	return nil
}

// run loads the configuration and runs a router until SIGTERM or an interrupt.
func run(level zapcore.Level, settingsPath string) error {
	hangups := make(chan os.Signal, 1) // caught first, because by default SIGHUP ends the process
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // by default it ends a process whose log pipe has no reader any more
	var loaded serve.Configuration
	err := transient.Retry(loadTimeout, func() (err error) {
		loaded, err = serve.Load(os.Getenv, settingsPath)
		return err
	})
	if err != nil {
		return err
	}
	c := loaded.Config
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	limitMemory(c)
	logging := zap.NewProductionConfig()
	logging.Level, logging.Sampling = zap.NewAtomicLevelAt(level), nil
	if level >= zap.InfoLevel { // clients that send invalid requests must not fill the log; the debug level logs every line
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
		log.Warn("ignoring unknown settings", zap.Strings("keys", c.Settings.UnknownKeys))
	}
	if err := serve.Run(ctx, loaded, watchReloads(ctx, hangups, settingsPath, log), log); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

// limitMemory sets Go's soft memory limit from the configured memory in MB; zero means no limit.
func limitMemory(c config.Config) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.MemoryMB) * (1 << 20)))
	}
}

// newLogger returns a logger that writes JSON lines to out, with the configuration's level and sampling.
func newLogger(c zap.Config, out zapcore.WriteSyncer) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c.EncoderConfig), out, c.Level)
	if c.Sampling != nil {
		core = zapcore.NewSamplerWithOptions(core, time.Second, c.Sampling.Initial, c.Sampling.Thereafter)
	}
	return zap.New(core)
}

// watchReloads loads the configuration and settings again at each signal from hangups and sends the result on the returned
// channel until ctx ends. If they can't be used, it logs the error, sends it once as Refused, and the router keeps the old
// configuration. It then retries for reloadTimeout, because a file may be half written or the system short of a
// resource for a moment, and no second signal may come.
func watchReloads(ctx context.Context, hangups <-chan os.Signal, settingsPath string, log *zap.Logger) <-chan serve.Configuration {
	out := make(chan serve.Configuration)
	go func() {
		var retry <-chan time.Time // fires when the next retry is due; nil if none is
		var failingSince time.Time // time of the first failed load since the signal; zero if the last load succeeded
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				failingSince = time.Time{}
			case <-retry:
			}
			retry = nil
			loaded, err := serve.Load(os.Getenv, settingsPath)
			switch {
			case err == nil:
				failingSince = time.Time{}
				limitMemory(loaded.Config)
			case failingSince.IsZero():
				log.Error("configuration can't be used, the old one is kept", zap.Duration("read again for", reloadTimeout), zap.Error(err))
				failingSince = time.Now()
				loaded = serve.Configuration{Err: err, ReadAt: time.Now()}
				retry = time.After(reloadRetryInterval)
			case time.Since(failingSince) < reloadTimeout:
				retry = time.After(reloadRetryInterval)
				continue
			default:
				log.Error("configuration still can't be used, it is read at the next SIGHUP", zap.Error(err))
				continue
			}
			select {
			case out <- loaded:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
