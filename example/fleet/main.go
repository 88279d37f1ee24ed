// Command fleet puts up five routers that talk to each other, with toy engines and a name service, and shows what each knows
// of the others while one is killed and comes back:
//
//	go build -o bin/ ./cmd/... ./example/... && bin/fleet          # --stay keeps it up
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
	settleTimeout = 20 * time.Second
)

type fleet struct {
	folder, program string
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

func (f *fleet) start(i int) error {
	address := func(base int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	text, err := rig.Configuration(rig.Groups, fmt.Sprintf("n%d", i+1), address(7410), fmt.Sprintf("%016x", i+1), 64, 512, f.names.LocalAddr().String(), f.names.StartupEvents())
	if err != nil {
		return err
	}
	config, own := filepath.Join(f.folder, fmt.Sprintf("config-%d.json", i)), filepath.Join(f.folder, fmt.Sprintf("own-%d.toml", i))
	settings := fmt.Sprintf("[status]\nlisten = %q\n\n[fleet]\nname = \"example\"\nlisten = %q\nseeds = [\"127.0.0.1:7510\", \"127.0.0.1:7511\"]\nnetworks = [\"127.0.0.0/8\"]\nload = \"100ms\"\n\n"+
		"[shares]\nkeepers = [\"127.0.0.1:7510\", \"127.0.0.1:7511\", \"127.0.0.1:7512\"]\n", address(7600), address(7510))
	if err := errors.Join(os.WriteFile(config, text, 0o600), os.WriteFile(own, []byte(settings), 0o600)); err != nil {
		return err
	}
	c := exec.Command(f.program, "--settings", own)
	c.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	f.processes[i] = c
	return c.Start()
}

// show waits until the first router has settled with so many, and prints what it knows.
func (f *fleet) show(ctx context.Context, what string, members int) error {
	from := time.Now()
	for time.Since(from) < settleTimeout && ctx.Err() == nil {
		m, err := serve.FetchMembers(ctx, "127.0.0.1:7600")
		if err == nil && m.Certainty == "settled" && m.Count == members {
			fmt.Printf("\n%s: settled after %.1f s\n", what, time.Since(from).Seconds())
			if err := m.Print(os.Stdout); err != nil {
				return err
			}
			s, err := serve.FetchQuotas(ctx, "127.0.0.1:7600")
			if err != nil {
				return err
			}
			return s.Print(os.Stdout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: not settled with %d within %s", what, members, settleTimeout)
}

func (f *fleet) stop() {
	for _, c := range f.processes {
		if c != nil && c.Process != nil {
			c.Process.Signal(syscall.SIGTERM) //nolint:errcheck
		}
	}
	for _, c := range f.processes {
		if c != nil && c.Process != nil {
			c.Wait() //nolint:errcheck
		}
	}
}
