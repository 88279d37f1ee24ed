// Command case1 plays case 1; claim.txt says what it shows.
package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/crypto/bcrypt"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
	"pitchfield/review/stage"
)

const (
	engineCount = 8
	clientCount = 12
	slowFactor  = 6.0                    // the pages: 2 to 10 times slower, 5 to 25% of the engines, for 10 to 35 s
	slowFrom    = 8 * time.Second        // since the first request
	slowFor     = 25 * time.Second       //
	playFor     = 40 * time.Second       //
	work        = 100 * time.Millisecond // until an engine has its first row
	chunks      = 40                     // of a result
	chunkRows   = 16                     // of about 500 bytes: 320 KB in all
	chunkPause  = 12 * time.Millisecond  // between two chunks
	limit       = 15 * time.Second       // a client's time limit
	lateness    = 500 * time.Millisecond // the pages: up to half a second after its time an answer only earns nothing
	login       = "reports"
	password    = "pw"
)

// platform has the figures of brno-klima, which allows second copies.
const platform = `{"az":0,"balancers":1,"index":0,"dcs":["hall"],"flavors":["std-8"],"discovery":"push",
"feedback":{"how":"probe","names":["waiting","x0","x1"]},"prices":{"probe":0.01},
"grades":[{"name":"report","on-time-ms":1500,"deadline-ms":15000,"aim-stretch":2.5,"idempotency":"idempotent","worth":6,"late-worth":0.3}],
"limits":{"attempts-cap":3,"cancel":true,"may-duplicate":true,"may-probe":true,"retry-after":true,"max-retry-after-ms":500,
"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":32,"most-held":20000},
"rules":{"cold-from":0.34,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000,"stop-sending-within-ms":250,"grace-to-answer-ms":20,
"settle-after-doubt-ms":500},
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16384],"dop":[2],"grants":true,"largest-share":0.4,"overbooked":"overcommit",
"writes-tables":[false],"yields-to-loads":[false],"progress-pace-ms":1000},"tick-ms":5}`

// line returns a row of the result of a statement: all engines hold the same data.
func line(statement string, n int) string {
	return fmt.Sprintf("%s\t%06d\t%s", statement, n, strings.Repeat("x", 460))
}

// engine is a stand-in for an engine that speaks TDS.
type engine struct {
	net.Listener
	name string
	slow atomic.Bool
	s    *stage.Stage
}

func startEngine(s *stage.Stage, name string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{Listener: l, name: name, s: s}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// connection is one connection of a router; the mutex guards all but the socket's reading.
type connection struct {
	net.Conn
	mutex   sync.Mutex
	pool    *buffers.Pool
	session *tds.Session
	stream  uint32 // of the statement that runs; 0: none
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	c := &connection{Conn: conn, pool: &buffers.Pool{}}
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "any"}}
	c.session = (&tds.Server{Pool: c.pool, Name: e.name, Rules: func() *assign.Rules { return rules },
		Authenticate: func(string, string) (string, error) { return "", nil }}).NewSession()
	in, out, buffer := c.pool.Chain(), c.pool.Chain(), make([]byte, 16<<10)
	for {
		n, err := conn.Read(buffer)
		c.mutex.Lock()
		if err != nil {
			c.stream = 0 // what is open on the connection is given up
			c.mutex.Unlock()
			return
		}
		in.Write(buffer[:n])
		for {
			event, err := c.session.Read(in, out)
			if verify, is := event.(*traffic.Verify); is {
				event, err = verify.Done(verify.Run(), out)
			}
			c.Write(out.Bytes()) //nolint:errcheck // the next read tells
			out.Release()
			if err != nil {
				c.stream = 0
				c.mutex.Unlock()
				return
			}
			if event == nil {
				break
			}
			switch event := event.(type) {
			case *traffic.BatchRequest:
				c.stream = event.Stream
				text := event.Batch.Text.String()
				event.Batch.Text.Release()
				if statement := text[strings.LastIndex(text, "SELECT"):]; statement != "SELECT 1" {
					go e.perform(c, event.Stream, statement)
					break
				}
				c.stream = 0 // a probe
				c.session.Encode(out, &traffic.Answer{Stream: event.Stream})
				c.Write(out.Bytes()) //nolint:errcheck // as above
				out.Release()
			case traffic.Cancel:
				c.stream = 0
			}
		}
		c.mutex.Unlock()
	}
}

// pause waits for the time that a piece of work takes here now.
func (e *engine) pause(d time.Duration) {
	if e.slow.Load() {
		d = time.Duration(float64(d) * slowFactor)
	}
	time.Sleep(d)
}

// perform runs a statement and sends its rows as they come, until it is given up.
func (e *engine) perform(c *connection, stream uint32, statement string) {
	e.s.Note("%s runs %s", e.name, statement)
	e.pause(work)
	columns := []rows.Column{{Name: "statement", Type: rows.Type{Kind: rows.Text}}, {Name: "n", Type: rows.Type{Kind: rows.Text}},
		{Name: "payload", Type: rows.Type{Kind: rows.Text}}}
	for chunk := range chunks + 1 {
		c.mutex.Lock()
		if c.stream != stream {
			c.mutex.Unlock()
			e.s.Note("%s has given up %s after %d of %d rows", e.name, statement, chunk*chunkRows, chunks*chunkRows)
			return
		}
		out := c.pool.Chain()
		if chunk == chunks {
			c.stream = 0
			c.session.Encode(out, &traffic.Answer{Stream: stream})
			e.s.Note("%s has sent the end of %s", e.name, statement)
		} else {
			part := rows.Part{Encoding: rows.Values, Data: c.pool.Chain()}
			if chunk == 0 {
				part.Columns = columns
			}
			for n := range chunkRows {
				for _, v := range strings.Split(line(statement, chunk*chunkRows+n), "\t") {
					rows.AppendValue(part.Data, []byte(v))
				}
			}
			c.session.Encode(out, &traffic.Rows{Stream: stream, Part: part})
			part.Release()
		}
		c.Write(out.Bytes()) //nolint:errcheck // the reading side notices
		out.Release()
		c.mutex.Unlock()
		e.pause(chunkPause)
	}
}

// client sends one request after another until the end. It returns how many were sent and answered.
func client(s *stage.Stage, router *stage.Router, address string, number int, until time.Time) (sent, answered int) {
	for time.Now().Before(until) && !router.HasEnded() {
		c, err := standin.DialTDS(address, login, password, "sales", 3*time.Second)
		if err != nil {
			s.Note("client %d can't connect: %v", number, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for time.Now().Before(until) {
			sent++
			statement := fmt.Sprintf("SELECT * FROM sales_%d.orders WHERE n=%d", number, sent)
			began := time.Now()
			if err := c.Send(fmt.Sprintf("/* pitchfield group=report limit=%s cost=50ms */ %s", limit, statement)); err != nil {
				s.Note("client %d: %s could not be written whole, so it is not taken: %v", number, statement, err)
				sent--
				break
			}
			reply, err := c.ReadReply(limit + lateness)
			took := time.Since(began)
			if err != nil && router.EndsSoon() { // the crash is what counts
				s.Note("client %d: %s was open as the router crashed: %v after %d ms and %d rows", number, statement, err, took.Milliseconds(), len(reply.Lines))
				break
			}
			if err != nil {
				s.Break("client %d: %s got no final answer: %v after %d ms and %d rows", number, statement, err, took.Milliseconds(), len(reply.Lines))
				break
			}
			answered++
			if reply.Word != traffic.ReplyComplete {
				s.Note("client %d: %s: not served: %s", number, statement, reply.Why)
				time.Sleep(500 * time.Millisecond)
				continue
			}
			if len(reply.Lines) != chunks*chunkRows {
				s.Break("client %d: %s was answered as complete with %d rows of %d", number, statement, len(reply.Lines), chunks*chunkRows)
				continue
			}
			for n, got := range reply.Lines {
				if got != line(statement, n) {
					s.Break("client %d: %s: row %d is not what the engine made", number, statement, n)
					break
				}
			}
			s.Note("client %d: %s was served in %d ms", number, statement, took.Milliseconds())
		}
		c.Close()
	}
	return sent, answered
}

func play(s *stage.Stage) error {
	names, err := standin.NewNameService("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.AtEnd(func() { names.Close() })
	var engines []*engine
	var hosts []standin.Host
	for i := range engineCount {
		e, err := startEngine(s, fmt.Sprintf("tds-%d", i+1))
		if err != nil {
			return err
		}
		s.AtEnd(func() { e.Close() })
		engines = append(engines, e)
		hosts = append(hosts, standin.Host{ID: e.name, Zone: "hall", Kind: "std-8", Address: e.Addr().String()})
	}
	names.Set(hosts...)
	listen, err := stage.FreeAddress()
	if err != nil {
		return err
	}
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	if err != nil {
		return err
	}
	router, err := s.StartRouter(stage.Options{Settings: platform, MemoryMB: 192, Descriptors: 1024, Names: names, Extra: fmt.Sprintf(`
[tds]
listen = %q
[[tds.login]]
user = %q
hash = %q
[default]
group = "report"
[[engine]]
id = "tds-*"
protocol = "tds"
user = "router"
password = "between us"
probe = "SELECT 1"
[[concurrency]]
name = "reports"
fleet = 8
at-bound = "wait"
[[route]]
name = "reports"
group = "report"
concurrency = "reports"
copies = {after = 0.9, share = 0.1}
`, listen, login, bytes.TrimSpace(hash))})
	if err != nil {
		return err
	}
	until := time.Now().Add(playFor)
	var clients sync.WaitGroup
	var sent, answered atomic.Int64
	for i := range clientCount {
		clients.Go(func() {
			a, b := client(s, router, listen, i+1, until)
			sent.Add(int64(a))
			answered.Add(int64(b))
		})
	}
	if s.Trouble {
		time.Sleep(slowFrom)
		s.Note("%s runs %.1f times slower from now on, for %s", engines[0].name, slowFactor, slowFor)
		engines[0].slow.Store(true)
		time.AfterFunc(slowFor, func() { engines[0].slow.Store(false) })
	}
	clients.Wait()
	s.Note("%d requests were taken, %d answered", sent.Load(), answered.Load())
	if router.HasEnded() {
		s.Break("the router has crashed: %s", router.Status)
	}
	if answered.Load() < 50 {
		return fmt.Errorf("only %d requests were answered", answered.Load())
	}
	return nil
}

func main() { stage.Run(play) }
