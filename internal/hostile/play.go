// Package hostile plays clients that cause trouble against a router process, beside usual clients. It checks that the usual
// clients get their answers in time, that nothing is run for a client that has left, that no once-only request runs twice,
// and that the process stays within its memory limit.
package hostile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/clients"
	"pitchfield/internal/rig"
	"pitchfield/internal/standin"
)

// platformSettings are the settings of the plays: hedges, cancellations and retries are allowed, connections to engines carry
// many requests.
const platformSettings = `{"grades":[
{"name":"lookup","on-time-ms":800,"deadline-ms":4000,"idempotency":"idempotent","worth":1},
{"name":"report","on-time-ms":1500,"deadline-ms":8000,"idempotency":"idempotent","worth":6,"runs-in":[0]},
{"name":"upload","on-time-ms":4000,"deadline-ms":8000,"idempotency":"deduplicated","group":"zone","window-ms":15000,"by-arrival":true,"worth":6},
{"name":"once","on-time-ms":3000,"deadline-ms":4000,"idempotency":"at_most_once","worth":6}],
"limits":{"attempts-cap":3,"cancel":true,"may-duplicate":true,"may-probe":true,"retry-after":true,"max-retry-after-ms":500,
"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":32,"most-held":20000},
"prices":{"probe":0.01},"feedback":{"how":"probe","names":["waiting","x0","x1"]},
"rules":{"cold-from":0.34,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000,"stop-sending-within-ms":250,"settle-after-doubt-ms":500},
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16384],"dop":[1,2,2,1]},"dcs":["hall","yard"],"flavors":["std"],
"balancers":1,"index":0,"tick-ms":5}`

const (
	engineCount  = 6
	usualClients = 16
	minWork      = 5 * time.Millisecond  // of a request at an engine
	maxWork      = 60 * time.Millisecond // of a request at an engine
	usualPause   = 40 * time.Millisecond // of a usual client between two requests, at most
	readyTimeout = 20 * time.Second
	settleTime   = 300 * time.Millisecond // after the start, in which the router asks the name service
)

// Options say what is played.
type Options struct {
	Program     string // path of the router
	Folder      string // for the configuration and the log
	Seed        uint64
	Duration    time.Duration
	Trouble     *Trouble // nil: usual clients alone
	MemoryMB    int
	Descriptors int
}

// The zones of engines, as their names begin. Requests of the group report run in the first alone, and a request of the group
// upload only in the zone where it may have run before.
const (
	reportZone = "hall"
	otherZone  = "yard"
)

// engine is an engine with what the name service tells of it.
type engine struct {
	*standin.Server
	zone    string
	started int64 // Unix milliseconds; 0: before the play
}

// play is a play that goes on.
type play struct {
	Options
	address   string
	names     *standin.NameService
	fleet     *standin.Fleet
	engines   []*engine
	process   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	log       *os.File
	fleetLock sync.Mutex // guards engines and engineNumber

	engineNumber int // of the engine that was started last

	mutex      sync.Mutex
	result     Result
	departures map[string]time.Time // when the client of a request had left, by request id
	told       map[string]time.Time // when the list first told of an engine that has replaced another, by its name
}

// Run plays the options and returns what was seen. The error says that the play could not be made.
func Run(o Options) (Result, error) {
	p := &play{Options: o, departures: map[string]time.Time{}, told: map[string]time.Time{}, fleet: &standin.Fleet{MarkMemory: time.Minute, CancelsOnClose: true}}
	p.fleet.Script = func(r standin.Run, _ int) standin.Step {
		span := uint64(maxWork - minWork)
		number, _ := strconv.ParseUint(r.ID, 16, 64)
		return standin.Step{After: minWork + time.Duration(number%span)}
	}
	defer p.stop()
	if err := p.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { p.measureLag(ctx) })
	for i := range usualClients {
		wait.Go(func() { p.usualClient(ctx, p.random(uint64(i))) })
	}
	if o.Trouble != nil {
		for i := range o.Trouble.Clients {
			wait.Go(func() { o.Trouble.play(ctx, p, p.random(1000+uint64(i))) })
		}
	}
	wait.Wait()
	p.finish()
	return p.result, nil
}

// lagInterval is the time between two measurements of how late this process wakes up.
const lagInterval = 5 * time.Millisecond

// measureLag records the longest time by which a goroutine of this process was woken late. The engines are goroutines, too, and
// see a request as late as that.
func (p *play) measureLag(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pause(ctx, lagInterval)
		late := time.Since(began) - lagInterval
		p.mutex.Lock()
		p.result.Lag = max(p.result.Lag, late)
		p.mutex.Unlock()
	}
}

// random returns the random numbers of a client.
func (p *play) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

// start starts the engines, the name service and the router, and waits until the router is ready.
func (p *play) start() error {
	var err error
	for i := range engineCount {
		zone := reportZone
		if i%3 == 2 {
			zone = otherZone
		}
		if err = p.addEngine(zone, "127.0.0.1:0", 0); err != nil {
			return err
		}
	}
	if p.names, err = standin.NewNameService("127.0.0.1:0"); err != nil {
		return err
	}
	p.publish()
	if p.address, err = rig.FreeAddress("127.0.0.1"); err != nil {
		return err
	}
	if err := p.startProcess(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.isReady() {
			time.Sleep(settleTime)
			return nil
		}
	}
	return fmt.Errorf("hostile: the router is not ready within %s", readyTimeout)
}

// startProcess starts the router with the play's limits.
func (p *play) startProcess() error {
	text, err := rig.Configuration(platformSettings, "n1", p.address, fmt.Sprintf("%016x", p.Seed), p.MemoryMB, p.Descriptors,
		p.names.LocalAddr().String(), p.names.StartupEvents())
	if err != nil {
		return err
	}
	config := filepath.Join(p.Folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(p.Folder, "log.json")); err != nil {
		return err
	}
	p.process = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, p.Descriptors), p.Program)
	p.process.Env, p.process.Stderr = append(os.Environ(), "RELAY_CONFIG="+config), p.log
	if err := p.process.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func() {
		p.process.Wait() //nolint:errcheck // how it ended is not asked
		close(p.ended)
	}()
	return nil
}

// isReady asks the router whether it is ready.
func (p *play) isReady() bool {
	c, err := standin.Dial(p.address)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := c.Write(readinessQuery(1)); err != nil {
		return false
	}
	answer, err := c.ReadFrame(time.Second)
	return err == nil && answer.Type == clients.FrameReadiness && answer.Code == clients.CodeSucceeded
}

// hasEnded reports whether the router's process has ended.
func (p *play) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// addEngine starts an engine at an address and adds it to the list.
func (p *play) addEngine(zone, address string, started int64) error {
	p.fleetLock.Lock()
	defer p.fleetLock.Unlock()
	p.engineNumber++
	e, err := standin.NewRESP(fmt.Sprintf("%s-%d", zone, p.engineNumber), address, p.fleet)
	if err != nil {
		return err
	}
	p.engines = append(p.engines, &engine{e, zone, started})
	return nil
}

// publish tells the name service of the engines that there are.
func (p *play) publish() {
	p.fleetLock.Lock()
	defer p.fleetLock.Unlock()
	var hosts []standin.Host
	for _, e := range p.engines {
		host := e.Host()
		host.Zone, host.Started = e.zone, e.started
		hosts = append(hosts, host)
	}
	p.names.Set(hosts...)
}

// replaceEngine ends the engine that runs longest, and starts one in the other zone at its address. The list tells of that only
// after a while.
func (p *play) replaceEngine(ctx context.Context, listDelay time.Duration) error {
	p.fleetLock.Lock()
	old := p.engines[0]
	p.engines = p.engines[1:]
	p.fleetLock.Unlock()
	address := old.Addr().String()
	old.Stop()
	zone := reportZone
	if old.zone == reportZone {
		zone = otherZone
	}
	started := time.Now()
	if err := p.addEngine(zone, address, started.UnixMilli()); err != nil {
		return err
	}
	pause(ctx, listDelay)
	answers := p.names.AnswerCount()
	p.publish()
	for p.names.AnswerCount() <= answers && time.Since(started) < latestTold && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.told[fmt.Sprintf("%s-%d", zone, p.engineNumber)] = time.Now()
	return nil
}

// depart records that the client of requests has left.
func (p *play) depart(at time.Time, ids ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, id := range ids {
		p.departures[id] = at
	}
}

// finish adds to the result what is known at the end.
func (p *play) finish() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.result.Ended = p.hasEnded()
	if !p.result.Ended {
		p.result.PeakMB = peakMemory(p.process.Process.Pid)
	}
	p.result.checkRuns(p.fleet.Runs(), p.departures, p.told)
	slices.Sort(p.result.Findings)
}

// peakMemory returns the highest resident memory of a process so far, in MB; 0: it is not known.
func peakMemory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, is := strings.CutPrefix(line, "VmHWM:"); is {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err == nil {
				return float64(kilobytes) / 1024
			}
		}
	}
	return 0
}

// stop ends what the play has started.
func (p *play) stop() {
	if p.process != nil && p.process.Process != nil {
		p.process.Process.Kill() //nolint:errcheck // it may have ended
		<-p.ended
	}
	if p.log != nil {
		p.log.Close()
	}
	if p.names != nil {
		p.names.Close()
	}
	p.fleetLock.Lock()
	defer p.fleetLock.Unlock()
	for _, e := range p.engines {
		e.Stop()
	}
}
