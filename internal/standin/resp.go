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
	pageRows = 100
	roomMB   = 4        // that each batch holds,
	engineMB = 16000    // of so many
	floodMax = 64 << 20 // bytes after which a flood ends by itself
)

// NewRESP listens as a scripted engine that speaks RESP.
func NewRESP(name, address string, l *Ledger) (*Server, error) {
	return newServer(name, "resp", address, l, serveRESP)
}

// respConn is a connection to one, on which many batches run.
type respConn struct {
	net.Conn
	server *Server
	mutex  sync.Mutex
	hush   bool
	pages  map[string][]string // by id, for later
	runs   map[string]*Run     // by id
	late   time.Duration       // by which it is read late
}

func (c *respConn) say(parts ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hush && !c.server.silent() {
		fmt.Fprint(c, array(parts))
	}
}

// raw writes bytes as they are, and nothing after them if hush.
func (c *respConn) raw(text string, hush bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hush && !c.server.silent() {
		c.Write([]byte(text))
	}
	c.hush = c.hush || hush
}

func array(parts []string) string {
	out := fmt.Sprintf("*%d\r\n", len(parts))
	for _, p := range parts {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(p), p)
	}
	return out
}

func serveRESP(s *Server, conn net.Conn) {
	c := &respConn{Conn: conn, server: s, pages: map[string][]string{}, runs: map[string]*Run{}}
	in := bufio.NewReader(conn)
	if s.ledger.Late != nil {
		if c.late = s.ledger.Late(); c.late > 0 {
			in = bufio.NewReader(readLate(conn, c.late))
		}
	}
	defer c.ended()
	s.endsWith(conn, c.ended)
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
			run := Run{Engine: s.Name, ID: r[1], Text: r[3], Late: c.late}
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
			begun := s.ledger.begin(run)
			c.mutex.Lock()
			c.runs[begun.ID] = begun
			c.mutex.Unlock()
			go c.play(s, begun)
		case "more":
			c.mutex.Lock()
			pages := c.pages[r[1]]
			c.mutex.Unlock()
			n := 0
			fmt.Sscan(r[2], &n) //nolint:errcheck
			if n > 0 && n < len(pages) {
				c.say(r[1], "MORE", "sheet="+r[2], pages[n])
			} else {
				c.say(r[1], "BROKE", "-", "")
			}
		case "done", "abort":
			c.mutex.Lock()
			delete(c.pages, r[1])
			run := c.runs[r[1]]
			c.mutex.Unlock()
			if run != nil && r[0] == "abort" {
				s.ledger.giveUp(run)
			}
		case "alive", "stats":
			used := "0.1"
			if r[0] == "stats" {
				if running := s.ledger.probed(s.Name); s.ledger.TellsMemory {
					used = fmt.Sprintf("%.5f", float64(running*roomMB)/engineMB)
				}
			}
			c.say(r[1], "FIT", "use=queue:0;x0:"+used+";x1:0.1", "")
		}
	}
}

// ended: nothing is out on the connection any more, and where engines give up what runs for one, it stops.
func (c *respConn) ended() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.runs {
		if c.server.ledger.GivesUp {
			c.server.ledger.giveUp(r)
		}
		c.server.ledger.over(r)
	}
}

// end says how a batch has ended, in a whole answer.
func (c *respConn) end(r *Run, answer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hush && !c.server.silent() {
		c.server.ledger.over(r) // before it can be known elsewhere
		fmt.Fprint(c, answer)
	}
}

func (c *respConn) play(s *Server, r *Run) {
	defer s.ledger.answered(r)
	if r.Act.Deed == TurnAway {
		s.ledger.end(r)
		c.end(r, array([]string{r.ID, "WAIT", "-", ""}))
		return
	}
	whole := r.work()
	s.ledger.end(r)
	if !whole {
		return
	}
	var pages []string
	for from, count := 0, max(r.Act.Rows, 1); from < count; from += pageRows {
		page := ""
		for i := from; i < min(from+pageRows, count); i++ {
			page += lineOf(r, i) + "\n"
		}
		pages = append(pages, page)
	}
	c.mutex.Lock()
	c.pages[r.ID] = pages
	c.mutex.Unlock()
	answer := array([]string{r.ID, "DONE", fmt.Sprintf("sheets=%d,toil=%d,room=%d", len(pages), max(r.Act.After.Milliseconds(), 1), roomMB), pages[0]})
	switch r.Act.Deed {
	case Serve:
		c.end(r, answer)
	case Fail:
		c.end(r, array([]string{r.ID, "BROKE", "-", ""}))
	case Drop:
		c.ended()
		c.Close()
	case Cut:
		c.raw(answer[:len(answer)/2], true)
		c.ended()
		c.Close()
	case Mute:
		s.fallSilent()
	case Hush:
		c.raw("", true)
	case Half:
		c.raw(answer[:len(answer)/2], true)
	case Garble:
		c.raw("HTTP/1.1 200 OK\r\n\r\n", false)
	case Overlong:
		c.raw("*4\r\n$-7\r\n", false)
	case Flood:
		c.raw("*4\r\n$16\r\n"+r.ID+"\r\n$4\r\nDONE\r\n$8\r\nsheets=1\r\n$999999999\r\n", false)
		flood(c.Conn, []byte(strings.Repeat("a\tb\tc\n", 1000)))
	}
}

// flood writes the same until the other side has had enough.
func flood(c net.Conn, piece []byte) {
	for sent := 0; sent < floodMax; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}
