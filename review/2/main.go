// Command case2 plays case 2; claim.txt says what it shows.
package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
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
	engineCount = 6
	replaced    = 3                // half of the engines
	stepEvery   = 10 * time.Second // one engine at a time: 1/6 of the tier, the pages: 0.05 to 0.2; 23 s in all, the pages: 20 to 40
	drainFor    = 3 * time.Second  // the pages: 2 to 6 s
	stepsFrom   = 5 * time.Second
	playFor     = 45 * time.Second
	clientCount = 8
	work        = 150 * time.Millisecond
	limit       = 4 * time.Second
	login       = "reports"
	password    = "pw"
)

// The data that all engines hold: an order of each client on each day.
const (
	customers = 4
	days      = 20
)

// question is what clients ask, always with the same text. The last parameter says whose orders are wanted.
const question = "SELECT client, due, note FROM sales_17.orders WHERE due > @day-@back AND client = @client"

// order returns a row.
func order(customer, due int) string {
	return fmt.Sprintf("%d\t%d\tnote of client %d", customer, due, customer)
}

// matching returns the rows after a day, of one customer or, for 0, of all.
func matching(after, customer int) (out []string) {
	for c := 1; c <= customers; c++ {
		for due := 1; due <= days; due++ {
			if due > after && (customer == 0 || c == customer) {
				out = append(out, order(c, due))
			}
		}
	}
	return out
}

// In Transact-SQL, which engines and clients speak, two hyphens begin a comment, with or without a space behind them.
var (
	comments  = regexp.MustCompile(`--[^\n]*|/\*.*?\*/`)
	condition = regexp.MustCompile(`^SELECT client, due, note FROM sales_17\.orders WHERE due > (-?\d+)(?:\s*-\s*(-?\d+))?(?: AND client = (\d+))?\s*$`)
)

// execute runs a statement that has no parameters.
func execute(statement string) ([]string, error) {
	m := condition.FindStringSubmatch(strings.TrimSpace(comments.ReplaceAllString(statement, "")))
	if m == nil {
		return nil, fmt.Errorf("not a statement of this data: %q", statement)
	}
	number := func(s string) int { n, _ := strconv.Atoi(s); return n }
	return matching(number(m[1])-number(m[2]), number(m[3])), nil
}

// tdsEngine is a stand-in for an engine that speaks TDS; it takes parameters.
type tdsEngine struct {
	net.Listener
	name  string
	s     *stage.Stage
	mutex sync.Mutex
	conns []net.Conn
}

// stop ends the engine with all its connections.
func (e *tdsEngine) stop() {
	e.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func startTDS(s *stage.Stage, name string) (*tdsEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &tdsEngine{Listener: l, name: name, s: s}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			e.conns = append(e.conns, c)
			e.mutex.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

func (e *tdsEngine) serve(conn net.Conn) {
	defer conn.Close()
	pool := &buffers.Pool{}
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "any"}}
	session := (&tds.Server{Pool: pool, Name: e.name, Rules: func() *assign.Rules { return rules },
		Authenticate: func(string, string) (string, error) { return "", nil }}).NewSession()
	in, out, buffer := pool.Chain(), pool.Chain(), make([]byte, 16<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		in.Write(buffer[:n])
		for {
			event, err := session.Read(in, out)
			if verify, is := event.(*traffic.Verify); is {
				event, err = verify.Done(verify.Run(), out)
			}
			if request, is := event.(*traffic.BatchRequest); is {
				text := request.Batch.Text.String()
				request.Batch.Text.Release()
				e.answer(session, pool, out, request, text)
			}
			conn.Write(out.Bytes()) //nolint:errcheck // the next read tells
			out.Release()
			if err != nil {
				return
			}
			if event == nil {
				break
			}
		}
	}
}

// answer runs a statement and writes its result. The connection carries one statement at a time.
func (e *tdsEngine) answer(session *tds.Session, pool *buffers.Pool, out *buffers.Chain, request *traffic.BatchRequest, text string) {
	if i := strings.LastIndex(text, "SELECT"); i >= 0 {
		text = text[i:]
	}
	if text == "SELECT 1" {
		session.Encode(out, &traffic.Answer{Stream: request.Stream})
		return
	}
	time.Sleep(work)
	values := map[string]int{}
	for _, p := range request.Batch.Parameters {
		values[p.Name] = int(int32(binary.LittleEndian.Uint32(p.Value)))
	}
	var result []string
	var err error
	if len(values) == 0 {
		result, err = execute(text)
	} else if text == question {
		result = matching(values["@day"]-values["@back"], values["@client"])
	} else {
		err = fmt.Errorf("not a statement of this data: %q", text)
	}
	if err != nil {
		e.s.Note("%s: %v", e.name, err)
		session.Encode(out, &traffic.Answer{Stream: request.Stream, Code: traffic.Failed, Reason: "syntax"})
		return
	}
	part := rows.Part{Encoding: rows.Values, Data: pool.Chain()}
	for _, name := range []string{"client", "due", "note"} {
		part.Columns = append(part.Columns, rows.Column{Name: name, Type: rows.Type{Kind: rows.Text}})
	}
	for _, row := range result {
		for _, v := range strings.Split(row, "\t") {
			rows.AppendValue(part.Data, []byte(v))
		}
	}
	session.Encode(out, &traffic.Rows{Stream: request.Stream, Part: part})
	session.Encode(out, &traffic.Answer{Stream: request.Stream})
	part.Release()
}

func parameter(name string, v int) rows.Parameter {
	return rows.Parameter{Column: rows.Column{Name: name, Type: rows.Type{Kind: rows.Int32}}, Value: binary.LittleEndian.AppendUint32(nil, uint32(int32(v)))}
}

// client asks for the orders of one customer after another, now and then with a day that lies ahead: @back below 0.
func client(s *stage.Stage, router *stage.Router, address string, number int, until time.Time, served *atomic.Int64) {
	for n := 0; time.Now().Before(until) && !router.HasEnded(); {
		c, err := standin.DialTDS(address, login, password, "sales", 3*time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for ; time.Now().Before(until); n++ {
			day, back, customer := 10, []int{2, -3, 0, -1}[n%4], 1+(number+n)%customers
			if err := c.Send(question, parameter("@day", day), parameter("@back", back), parameter("@client", customer)); err != nil {
				break
			}
			reply, err := c.ReadReply(limit + 500*time.Millisecond)
			if err != nil {
				s.Note("client %d: no answer: %v", number, err) // not what this case is about
				break
			}
			asked := fmt.Sprintf("%s with @day = %d, @back = %d, @client = %d", question, day, back, customer)
			if reply.Word != traffic.ReplyComplete {
				s.Note("client %d: not served: %s", number, reply.Why)
				time.Sleep(300 * time.Millisecond)
				continue
			}
			served.Add(1)
			if want := matching(day-back, customer); !slices.Equal(reply.Lines, want) {
				foreign := 0
				for _, row := range reply.Lines {
					if !strings.HasPrefix(row, fmt.Sprintf("%d\t", customer)) {
						foreign++
					}
				}
				s.Break("client %d asked %s and was served %d rows in place of %d, %d of them of other customers", number, asked,
					len(reply.Lines), len(want), foreign)
			} else {
				s.Note("client %d asked with @back = %d, @client = %d and was served the %d right rows", number, back, customer, len(want))
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Close()
	}
}

func play(s *stage.Stage) error {
	names, err := standin.NewNameService("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.AtEnd(func() { names.Close() })
	var hosts []standin.Host
	var old []*tdsEngine
	for i := range engineCount {
		e, err := startTDS(s, fmt.Sprintf("tds-%d", i+1))
		if err != nil {
			return err
		}
		s.AtEnd(e.stop)
		old = append(old, e)
		hosts = append(hosts, standin.Host{ID: e.name, Zone: "brno-hall", Kind: "std-8", Address: e.Addr().String()})
	}
	names.Set(slices.Clone(hosts)...)
	listen, err := stage.FreeAddress()
	if err != nil {
		return err
	}
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	if err != nil {
		return err
	}
	router, err := s.StartRouter(stage.Options{Settings: stage.Platform, MemoryMB: 192, Descriptors: 1024, Names: names, Extra: fmt.Sprintf(`
[tds]
listen = %q
[[tds.login]]
user = %q
hash = %q
[default]
group = "lookup"
[[engine]]
id = "tds-*"
protocol = "tds"
user = "router"
password = "between us"
probe = "SELECT 1"
`, listen, login, bytes.TrimSpace(hash))})
	if err != nil {
		return err
	}
	until := time.Now().Add(playFor)
	var clients sync.WaitGroup
	var served atomic.Int64
	for i := range clientCount {
		clients.Go(func() { client(s, router, listen, i+1, until, &served) })
	}
	if s.Trouble {
		time.Sleep(stepsFrom)
		for i := range replaced {
			s.Note("%s drains", old[i].name)
			hosts[i].Draining = true
			names.Set(slices.Clone(hosts)...)
			time.Sleep(drainFor)
			e := &stage.Engine{Work: func(*stage.Fetch) time.Duration { return work }}
			e.Result = func(f *stage.Fetch) (string, error) {
				s.Note("%s was sent %q", f.Engine, f.Statement)
				result, err := execute(f.Statement)
				if err != nil {
					return "", err
				}
				return strings.Join(append(result, ""), "\n"), nil
			}
			if err := stage.StartEngine(fmt.Sprintf("s-%d", i+1), e); err != nil {
				return err
			}
			s.AtEnd(func() { e.Close() })
			hosts[i] = e.Host("brno-hall", "std-8")
			hosts[i].Started = time.Now().UnixMilli()
			s.Note("%s is gone; %s, which speaks RESP, has its place", old[i].name, e.Name)
			names.Set(slices.Clone(hosts)...)
			old[i].stop()
			time.Sleep(stepEvery - drainFor)
		}
	}
	clients.Wait()
	s.Note("%d requests were served", served.Load())
	if router.HasEnded() {
		s.Break("the router has ended: %s", router.Status)
	}
	if served.Load() < 200 {
		return fmt.Errorf("only %d requests were served", served.Load())
	}
	return nil
}

func main() { stage.Run(play) }
