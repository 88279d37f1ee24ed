package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// Fetch is a request that has come whole to an engine.
type Fetch struct {
	Engine    string
	ID        string
	Fields    map[string]string
	Statement string
	At        time.Time
}

// Engine is a stand-in for an engine that speaks RESP. It runs what it is sent at once, tells every second how far it is, gives up
// what is aborted or open on a connection that ends, and answers with one page.
type Engine struct {
	net.Listener
	Name string
	Work func(f *Fetch) time.Duration // how long a request runs
	Came func(f *Fetch)               // called once a request has come whole
	// Ended is called once when a request has run to its end, just before its answer is written, or is given up.
	Ended func(f *Fetch)
	// Result returns the rows of a request, or an error for one that can't be run; nil: Page.
	Result func(f *Fetch) (string, error)
}

// notePace is the time between two notes of a request's progress, as Platform tells it.
const notePace = time.Second

// Page is the result of a request: all engines hold the same data.
func Page(f *Fetch) string { return "id\t" + f.ID + "\tdone\n" }

// StartEngine starts an engine.
func StartEngine(name string, e *Engine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.Listener, e.Name = l, name
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// Host returns the engine's line in the list.
func (e *Engine) Host(zone, kind string) standin.Host {
	return standin.Host{ID: e.Name, Zone: zone, Kind: kind, Address: e.Addr().String()}
}

func (e *Engine) serve(c net.Conn) {
	in := bufio.NewReader(c)
	var mutex sync.Mutex
	open := map[string]*Fetch{}
	end := func(id string) (f *Fetch) { // the caller holds the mutex
		if f = open[id]; f != nil {
			delete(open, id)
			if e.Ended != nil {
				e.Ended(f)
			}
		}
		return f
	}
	defer func() {
		c.Close()
		mutex.Lock()
		defer mutex.Unlock()
		for id := range open { // what is open on the connection is given up
			end(id)
		}
	}()
	reply := func(words ...string) { // the caller holds the mutex
		var out strings.Builder
		fmt.Fprintf(&out, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(w), w)
		}
		io.WriteString(c, out.String()) //nolint:errcheck // the reading side notices
	}
	for {
		words, err := readArray(in)
		if err != nil || len(words) < 2 {
			return
		}
		mutex.Lock()
		switch words[0] {
		case "alive", "stats":
			reply(words[1], "FIT", "use=waiting:0;x0:0.1;x1:0.1", "")
		case "abort", "done":
			end(words[1])
		case "more":
			reply(words[1], "BROKE", "-", "")
		case "fetch":
			f := &Fetch{Engine: e.Name, ID: words[1], Fields: map[string]string{}, Statement: words[3], At: time.Now()}
			for _, field := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				f.Fields[name] = value
			}
			open[f.ID] = f
			if e.Came != nil {
				e.Came(f)
			}
			work := e.Work(f)
			go func() {
				for left := work; left > 0; left -= notePace {
					time.Sleep(min(left, notePace))
					mutex.Lock()
					if open[f.ID] == f && left > notePace {
						reply(f.ID, "TELL", fmt.Sprintf("detail=done,val=%.2f", 1-(left-notePace).Seconds()/work.Seconds()), "")
					}
					mutex.Unlock()
				}
				mutex.Lock()
				defer mutex.Unlock()
				if open[f.ID] == f {
					end(f.ID)
					result := Page(f)
					if e.Result != nil {
						var err error
						if result, err = e.Result(f); err != nil {
							reply(f.ID, "BROKE", "-", "")
							return
						}
					}
					reply(f.ID, "DONE", fmt.Sprintf("sheets=1,toil=%d,room=64", work.Milliseconds()), result)
				}
			}()
		}
		mutex.Unlock()
	}
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	number := func(prefix byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil || len(line) < 3 || line[0] != prefix {
			return 0, fmt.Errorf("no length: %q %w", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	if err != nil {
		return nil, err
	}
	var out []string
	for range n {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		out = append(out, string(b[:size]))
	}
	return out, nil
}
