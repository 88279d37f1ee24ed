package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/standin"
)

// world is what a case starts, and its record.
type world struct {
	trouble bool
	folder  string // temporary
	command string // run of the deploy file
	record  *os.File
	begun   time.Time

	mutex   sync.Mutex
	names   *standin.NameService
	engines []*standin.Server
	routers []*routerProcess
}

// routerProcess is a router that was started with the command of the deploy file.
type routerProcess struct {
	name                 string
	frames, tds          string // addresses for clients
	configPath, settings string // its files
	command              *exec.Cmd
	ended                chan struct{}
}

// newWorld opens the record and reads the deploy file, which is in the current folder's deploy/.
func newWorld(out string, trouble bool) (*world, error) {
	w := &world{trouble: trouble, begun: time.Now()}
	var deploy struct{ Run string }
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return nil, err
	}
	w.command = deploy.Run
	if w.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(filepath.Join(out, "record.txt")); err != nil {
		return nil, err
	}
	w.notef("trouble %t", trouble)
	return w, nil
}

// notef writes a line to the record, with the seconds since the start.
func (w *world) notef(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, args...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintln(w.record, line)
	if !strings.Contains(line, " . ") {
		fmt.Println(line)
	}
}

// close ends all that was started and removes the temporary folder.
func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.ended
	}
	for _, e := range w.engines {
		e.Stop()
	}
	if w.names != nil {
		w.names.Close()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.Close()
	os.RemoveAll(w.folder)
}

// startEngines starts the name service and engines of both protocols.
func (w *world) startEngines(resp, tds int, fleet *standin.Fleet) (err error) {
	if w.names, err = standin.NewNameService("127.0.0.1:0"); err != nil {
		return err
	}
	var hosts []standin.Host
	for i := range resp + tds {
		start, name := standin.NewRESP, fmt.Sprintf("resp-%d", i+1)
		if i >= resp {
			start, name = standin.NewTDS, fmt.Sprintf("tds-%d", i-resp+1)
		}
		e, err := start(name, "127.0.0.1:0", fleet)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		hosts = append(hosts, e.Host())
	}
	w.names.Set(hosts...)
	return nil
}

// The login of the TDS clients.
const (
	user     = "reports"
	password = "a password for the review"
)

// settingsJSON are the platform's settings of the cases: those of example/config.json, with the group "once".
const settingsJSON = `{"az":0,"balancers":%d,"index":%d,"dcs":["hall"],"flavors":["std"],"discovery":"push",
"feedback":{"how":"probe","names":["waiting","x0","x1"]},
"grades":[
{"name":"lookup","on-time-ms":800,"deadline-ms":4000,"aim-stretch":2,"idempotency":"idempotent","worth":1},
{"name":"report","on-time-ms":4000,"deadline-ms":5000,"aim-stretch":2.5,"idempotency":"idempotent","worth":6,"late-worth":0.6},
{"name":"load","on-time-ms":4000,"deadline-ms":5000,"aim-stretch":2.5,"idempotency":"at_most_once","worth":6,"late-worth":0.6}],
"limits":{"attempts-cap":3,"cancel":true,"may-probe":true,"retry-after":true,"max-retry-after-ms":500,
"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":32,"most-held":20000},
"prices":{"probe":0.01},
"rules":{"cold-from":0.4,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000,"stop-sending-within-ms":250,
"settle-after-doubt-ms":500,"grace-to-answer-ms":20},
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16384],"dop":[1,2,2],"grants":true,"largest-share":0.4,
"overbooked":"overcommit","writes-tables":[false,false,true],"yields-to-loads":[false,false,false],"progress-pace-ms":1000},
"tick-ms":5}`

// freeAddress returns a loopback address with a free port of the network, tcp or udp.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// tdsSettings returns the settings of our own for a TDS listener, and engines named tds-* that speak TDS.
func tdsSettings(listen string, cost int) (string, error) {
	hash, err := bcrypt.GenerateFromPassword([]byte(password), cost)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf(`[tds]
listen = %q
[[tds.login]]
user = %q
hash = %q
[default]
group = "report"
[[engine]]
id = "tds-*"
protocol = "tds"
user = %q
password = %q
`, listen, user, hash, standin.EngineUser, standin.EnginePassword), nil
}

// newRouter writes the files of a router. memory is in MB; settings are of our own.
func (w *world) newRouter(index, routers, memory, descriptors int, settings func(r *routerProcess) (string, error)) (*routerProcess, error) {
	r := &routerProcess{name: fmt.Sprintf("n%d", index+1), ended: make(chan struct{})}
	var err error
	if r.frames, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	if r.tds, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{"name": r.name, "listen": r.frames, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1, "memory_mb": memory, "sockets": descriptors},
		"resolver": w.names.LocalAddr().String(), "known": w.names.StartupEvents(),
		"settings": json.RawMessage(fmt.Sprintf(settingsJSON, routers, index))})
	if err != nil {
		return nil, err
	}
	own, err := settings(r)
	if err != nil {
		return nil, err
	}
	r.configPath, r.settings = filepath.Join(w.folder, r.name+".json"), filepath.Join(w.folder, r.name+".toml")
	return r, errors.Join(os.WriteFile(r.configPath, config, 0o600), os.WriteFile(r.settings, []byte(own), 0o600))
}

// start starts a router and waits until it says that it is ready.
func (w *world) start(r *routerProcess) error {
	log, err := os.Create(filepath.Join(w.folder, r.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	r.command = exec.Command("/bin/sh", "-c", w.command+" --settings "+r.settings)
	r.command.Env = append(os.Environ(), "RELAY_CONFIG="+r.configPath)
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	go func() {
		r.command.Wait() //nolint:errcheck // how it ended is asked by the cases
		close(r.ended)
	}()
	w.routers = append(w.routers, r)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.hasEnded() {
			return fmt.Errorf("%s has ended: %s", r.name, w.lastLines(r))
		}
		if r.ready() {
			w.notef("%s is ready, process %d, frames %s, tds %s", r.name, r.command.Process.Pid, r.frames, r.tds)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.name)
}

// ready asks the router by a frame whether it is ready.
func (r *routerProcess) ready() bool {
	c, err := standin.Dial(r.frames)
	if err != nil {
		return false
	}
	defer c.Close()
	c.Write(standin.EncodeFrame(20, 1, []string{}, "")) //nolint:errcheck
	a, err := c.ReadFrame(time.Second)
	return err == nil && a.Type == 21 && a.Code == 0
}

func (r *routerProcess) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the router's process, which this program started.
func (r *routerProcess) signal(s syscall.Signal) {
	if !r.hasEnded() {
		r.command.Process.Signal(s) //nolint:errcheck
	}
}

// memory returns the anonymous memory that the router's process has in use, in MB. Pages of its program file are left out.
func (r *routerProcess) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// lastLines returns the end of a router's log.
func (w *world) lastLines(r *routerProcess) string {
	text, _ := os.ReadFile(filepath.Join(w.folder, r.name+".log"))
	return string(text[max(0, len(text)-600):])
}

// watchMemory plays the platform: over the limit, in MB, it kills the router. It returns a function that stops it and returns
// the highest use seen and whether it has killed.
func (w *world) watchMemory(r *routerProcess, limit float64) (stop func() (highest float64, killed bool)) {
	quit, done := make(chan struct{}), make(chan struct{})
	highest, killed := 0.0, false
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(5 * time.Millisecond):
			}
			use := r.memory()
			highest = max(highest, use)
			if n%200 == 0 {
				w.notef(" . %s: %.1f MB", r.name, use)
			}
			if use > limit && !killed {
				killed = true
				w.notef("%s uses %.1f MB of %.0f MB: the platform kills it", r.name, use, limit)
				r.signal(syscall.SIGKILL)
			}
		}
	}()
	return func() (float64, bool) {
		close(quit)
		<-done
		return highest, killed
	}
}
