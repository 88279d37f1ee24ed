package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageRows       = 100      // rows on a page of a result
	batchMemoryMB  = 4        // memory that a batch uses
	engineMemoryMB = 16000    // memory of an engine
	maxFloodBytes  = 64 << 20 // bytes after which an endless answer stops by itself
)

// NewRESP starts a scripted engine that speaks RESP on an address. The fleet decides what the engine does with each batch
// (Fleet.Script) and records what was run; engines that simulate one fleet share it.
func NewRESP(name, address string, fleet *Fleet) (*Server, error) {
	return newServer(name, "resp", address, fleet, serveRESP)
}

// respConn is a connection to a RESP engine. Many batches run on it at once.
type respConn struct {
	net.Conn
	server    *Server
	mutex     sync.Mutex
	silenced  bool
	pages     map[string][]string // pages of each result, by batch id, until the router is done with them
	runs      map[string]*Run     // by batch id
	readDelay time.Duration       // how late the connection is read
}

// send writes a message unless the connection or the engine is silenced.
func (c *respConn) send(parts ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.silenced && !c.server.silent() {
		fmt.Fprint(c, encodeArray(parts))
	}
}

// sendRaw writes text unencoded. If silence is set, the connection sends nothing afterwards.
func (c *respConn) sendRaw(text string, silence bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.silenced && !c.server.silent() {
		c.Write([]byte(text))
	}
	c.silenced = c.silenced || silence
}

// encodeArray encodes a RESP array of bulk strings.
func encodeArray(parts []string) string {
	out := fmt.Sprintf("*%d\r\n", len(parts))
	for _, p := range parts {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(p), p)
	}
	return out
}

// serveRESP answers the requests of a connection until it ends.
func serveRESP(s *Server, conn net.Conn) {
	c := &respConn{Conn: conn, server: s, pages: map[string][]string{}, runs: map[string]*Run{}}
	in := bufio.NewReader(conn)
	if s.fleet.ReadDelay != nil {
		if c.readDelay = s.fleet.ReadDelay(); c.readDelay > 0 {
			in = bufio.NewReader(newDelayedReader(conn, c.readDelay))
		}
	}
	defer c.settleRuns()
	s.onConnectionEnd(conn, c.settleRuns)
	for {
		r, err := readArray(in)
		if err != nil || len(r) < 2 {
			return
		}
		switch r[0] {
		case "fetch":
			if len(r) < 4 {
				return
			}
			run := Run{Engine: s.Name, ID: r[1], Text: r[3], ReadDelay: c.readDelay}
			for _, f := range strings.Split(r[2], ",") {
				switch name, value, _ := strings.Cut(f, "="); name {
				case "queue":
					run.Group = value
				case "uniq":
					run.Mark = value
				case "budget":
					ms, _ := strconv.Atoi(value)
					run.Budget = time.Duration(ms) * time.Millisecond
				}
			}
			started := s.fleet.recordStart(run)
			c.mutex.Lock()
			c.runs[started.ID] = started
			c.mutex.Unlock()
			go c.perform(s, started)
		case "more":
			c.mutex.Lock()
			pages := c.pages[r[1]]
			c.mutex.Unlock()
			n := 0
			fmt.Sscan(r[2], &n) //nolint:errcheck
			if n > 0 && n < len(pages) {
				c.send(r[1], "MORE", "sheet="+r[2], pages[n])
			} else {
				c.send(r[1], "BROKE", "-", "")
			}
		case "done", "abort":
			c.mutex.Lock()
			delete(c.pages, r[1])
			run := c.runs[r[1]]
			c.mutex.Unlock()
			if run != nil && r[0] == "abort" {
				s.fleet.cancel(run)
			}
		case "alive", "stats":
			used := "0.1"
			if r[0] == "stats" {
				if running := s.fleet.recordProbe(s.Name); s.fleet.ReportsMemory {
					used = fmt.Sprintf("%.5f", float64(running*batchMemoryMB)/engineMemoryMB)
				}
			}
			c.send(r[1], "FIT", "use=queue:0;x0:"+used+";x1:0.1", "")
		}
	}
}

// settleRuns settles all runs of the connection when it ends, and cancels them if the fleet has CancelsOnClose.
func (c *respConn) settleRuns() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.runs {
		if c.server.fleet.CancelsOnClose {
			c.server.fleet.cancel(r)
		}
		c.server.fleet.settle(r)
	}
}

// sendAnswer settles a run and writes its whole answer, unless the connection or the engine is silenced.
func (c *respConn) sendAnswer(r *Run, answer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.silenced && !c.server.silent() {
		c.server.fleet.settle(r) // before the router can know the answer
		fmt.Fprint(c, answer)
	}
}

// perform carries out the step of a run.
func (c *respConn) perform(s *Server, r *Run) {
	defer s.fleet.recordAnswered(r)
	if r.Step.Action == Reject {
		s.fleet.recordEnd(r)
		c.sendAnswer(r, encodeArray([]string{r.ID, "WAIT", "-", ""}))
		return
	}
	completed := r.simulateWork()
	s.fleet.recordEnd(r)
	if !completed {
		return
	}
	var pages []string
	for from, count := 0, max(r.Step.Rows, 1); from < count; from += pageRows {
		page := ""
		for i := from; i < min(from+pageRows, count); i++ {
			page += resultRow(r, i) + "\n"
		}
		pages = append(pages, page)
	}
	c.mutex.Lock()
	c.pages[r.ID] = pages
	c.mutex.Unlock()
	answer := encodeArray([]string{r.ID, "DONE", fmt.Sprintf("sheets=%d,toil=%d,room=%d", len(pages), max(r.Step.After.Milliseconds(), 1), batchMemoryMB), pages[0]})
	switch r.Step.Action {
	case Serve:
		c.sendAnswer(r, answer)
	case Fail:
		c.sendAnswer(r, encodeArray([]string{r.ID, "BROKE", "-", ""}))
	case CloseUnanswered:
		c.settleRuns()
		c.Close()
	case CloseMidAnswer:
		c.sendRaw(answer[:len(answer)/2], true)
		c.settleRuns()
		c.Close()
	case SilenceEngine:
		s.silenceBriefly()
	case SilenceConnection:
		c.sendRaw("", true)
	case HalfAnswer:
		c.sendRaw(answer[:len(answer)/2], true)
	case SendGarbage:
		c.sendRaw("HTTP/1.1 200 OK\r\n\r\n", false)
	case InvalidLength:
		c.sendRaw("*4\r\n$-7\r\n", false)
	case EndlessAnswer:
		c.sendRaw("*4\r\n$16\r\n"+r.ID+"\r\n$4\r\nDONE\r\n$8\r\nsheets=1\r\n$999999999\r\n", false)
		flood(c.Conn, []byte(strings.Repeat("a\tb\tc\n", 1000)))
	}
}

// flood writes the same piece until the peer closes the connection or maxFloodBytes were written.
func flood(c net.Conn, piece []byte) {
	for sent := 0; sent < maxFloodBytes; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}
