// Command fleet starts five routers that exchange peer messages, with stand-in engines and a name service. It prints the first
// router's view of the fleet at the start, after one router is killed, and after that router is started again:
//
//	go build -o bin/ ./cmd/... ./example/... && bin/fleet          # --stay keeps the fleet running
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"pitchfield/internal/rig"
	"pitchfield/internal/serve"
	"pitchfield/internal/standin"
)

const (
	routers       = 5
	settleTimeout = 20 * time.Second // for the members to agree after a change
)

// fleet is the running example: router processes, their configuration files and the name service.
type fleet struct {
	folder, program string // of the configuration files; path of the router binary
	names           *standin.NameService
	processes       [routers]*exec.Cmd
}

func main() {
	stay := flag.Bool("stay", false, "keep it up until it is interrupted")
	program := flag.String("program", filepath.Join(filepath.Dir(os.Args[0]), "pitchfield"), "the router's program")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *program, *stay); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// run starts the fleet, kills and restarts the fifth router, and with stay keeps the fleet running until ctx ends.
func run(ctx context.Context, program string, stay bool) error {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	f := &fleet{folder: folder, program: program}
	defer f.stop()
	if f.names, err = standin.NewNameService("127.0.0.1:0"); err != nil {
		return err
	}
	var hosts []standin.Host
	for _, id := range []string{"s-one", "s-two"} {
		e, err := standin.NewEngine("127.0.0.1:0", nil)
		if err != nil {
			return err
		}
		hosts = append(hosts, standin.Host{ID: id, Zone: "hall", Kind: "std", Address: e.Addr().String()})
	}
	f.names.Set(hosts...)
	for i := range routers {
		if err := f.start(i); err != nil {
			return err
		}
	}
	if err := f.show(ctx, "five routers", routers); err != nil {
		return err
	}
	f.processes[4].Process.Kill() //nolint:errcheck // it may have ended
	f.processes[4].Wait()         //nolint:errcheck
	if err := f.show(ctx, "n5 was killed", routers-1); err != nil {
		return err
	}
	if err := f.start(4); err != nil {
		return err
	}
	if err := f.show(ctx, "n5 is back, with nothing remembered", routers); err != nil {
		return err
	}
	if stay {
		fmt.Printf("\nClients connect to 127.0.0.1:74%02d to 74%02d; 'pitchfield members 127.0.0.1:7600' and 'pitchfield shares 127.0.0.1:7600' ask one. Interrupt ends it.\n", 10, 10+routers-1)
		<-ctx.Done()
	}
	return nil
}

// start writes the configuration and settings of router i (counted from 0) and starts its process.
func (f *fleet) start(i int) error {
	address := func(base int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	text, err := rig.Configuration(rig.PlatformSettings, fmt.Sprintf("n%d", i+1), address(7410), fmt.Sprintf("%016x", i+1), 64, 512, f.names.LocalAddr().String(), f.names.StartupEvents())
	if err != nil {
		return err
	}
	configPath, settingsPath := filepath.Join(f.folder, fmt.Sprintf("config-%d.json", i)), filepath.Join(f.folder, fmt.Sprintf("own-%d.toml", i))
	settings := fmt.Sprintf("[status]\nlisten = %q\n\n[fleet]\nname = \"example\"\nlisten = %q\nseeds = [\"127.0.0.1:7510\", \"127.0.0.1:7511\"]\nnetworks = [\"127.0.0.0/8\"]\nload = \"100ms\"\n\n"+
		"[shares]\nkeepers = [\"127.0.0.1:7510\", \"127.0.0.1:7511\", \"127.0.0.1:7512\"]\n", address(7600), address(7510))
	if err := errors.Join(os.WriteFile(configPath, text, 0o600), os.WriteFile(settingsPath, []byte(settings), 0o600)); err != nil {
		return err
	}
	cmd := exec.Command(f.program, "--settings", settingsPath)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	f.processes[i] = cmd
	return cmd.Start()
}

// show waits until the first router reports a settled view with this number of members, and prints its members and quota pages.
func (f *fleet) show(ctx context.Context, title string, members int) error {
	startedAt := time.Now()
	for time.Since(startedAt) < settleTimeout && ctx.Err() == nil {
		view, err := serve.FetchMembers(ctx, "127.0.0.1:7600")
		if err == nil && view.Certainty == "settled" && view.Count == members {
			fmt.Printf("\n%s: settled after %.1f s\n", title, time.Since(startedAt).Seconds())
			if err := view.Print(os.Stdout); err != nil {
				return err
			}
			quotas, err := serve.FetchQuotas(ctx, "127.0.0.1:7600")
			if err != nil {
				return err
			}
			return quotas.Print(os.Stdout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: not settled with %d within %s", title, members, settleTimeout)
}

// stop sends SIGTERM to every router and waits until all have ended.
func (f *fleet) stop() {
	for _, cmd := range f.processes {
		if cmd != nil && cmd.Process != nil {
			cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck
		}
	}
	for _, cmd := range f.processes {
		if cmd != nil && cmd.Process != nil {
			cmd.Wait() //nolint:errcheck
		}
	}
}
