package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
)

const (
	wholeRows = 100 // rows of each result
	shortRows = 60  // rows of a result that stops short
	doneSize  = 13  // bytes of a DONE token
)

// shortEngine is an engine that speaks TDS. Some of its answers stop short: their message ends after some of the rows, and the DONE
// token that has to end every response ([MS-TDS] 2.2.7.6) is missing.
type shortEngine struct {
	net.Listener
	w       *world
	count   *atomic.Int64 // answers of all engines
	shorted *atomic.Int64
}

func (e *shortEngine) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *shortEngine) serve(c net.Conn) {
	defer c.Close()
	pool := &buffers.Pool{}
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "any"}}
	front := &tds.Server{Pool: pool, Name: "engine", Authenticate: func(string, string) (string, error) { return "", nil },
		Rules: func() *assign.Rules { return rules }}
	session := front.NewSession()
	in, out, buffer := pool.Chain(), pool.Chain(), make([]byte, 16<<10)
	flush := func() { c.Write(out.Bytes()); out.Release() } //nolint:errcheck
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		in.Write(buffer[:n])
		for {
			event, err := session.Read(in, out)
			if verify, ok := event.(*traffic.Verify); ok {
				event, err = verify.Done(verify.Run(), out)
			}
			flush()
			if err != nil {
				return
			}
			if event == nil {
				break
			}
			request, ok := event.(*traffic.BatchRequest)
			if !ok {
				continue
			}
			text := request.Batch.Text.String()
			request.Batch.Text.Release()
			time.Sleep(20 * time.Millisecond)
			number := e.count.Add(1)
			short := e.w.trouble && number%10 == 0
			rowCount := wholeRows
			if short {
				rowCount = shortRows
			}
			part := rows.Part{Encoding: rows.Values, Data: pool.Chain(), Columns: []rows.Column{{Name: "line", Type: rows.Type{Kind: rows.Int32}},
				{Name: "note", Type: rows.Type{Kind: rows.Text, Size: 40}}}}
			for i := range rowCount {
				rows.AppendValue(part.Data, binary.LittleEndian.AppendUint32(nil, uint32(i)))
				rows.AppendValue(part.Data, fmt.Appendf(nil, "row %d of %d", i+1, wholeRows))
			}
			session.Encode(out, &traffic.Rows{Stream: request.Stream, Part: part})
			session.Encode(out, &traffic.Answer{Stream: request.Stream})
			part.Release()
			answer := out.Bytes()
			out.Release()
			if short {
				e.shorted.Add(1)
				e.w.notef("answer %d stops short after %d of %d rows: %s", number, shortRows, wholeRows, strings.TrimSpace(text))
				answer = withoutDone(answer)
			}
			c.Write(answer) //nolint:errcheck
		}
	}
}

// withoutDone removes the DONE token from the last packet of a response.
func withoutDone(answer []byte) []byte {
	last := 0
	for at := 0; at < len(answer); at += int(binary.BigEndian.Uint16(answer[at+2:])) {
		last = at
	}
	answer = answer[:len(answer)-doneSize]
	binary.BigEndian.PutUint16(answer[last+2:], uint16(len(answer)-last))
	return answer
}

// tail keeps the last bytes that were read from a connection.
type tail struct {
	net.Conn
	last []byte
}

func (t *tail) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.last = append(t.last, p[:n]...)
	t.last = t.last[max(0, len(t.last)-doneSize):]
	return n, err //nolint:wrapcheck
}

// saysDone reports whether the response that was read last ends with a DONE token that tells neither an error nor further results:
// the client then takes it for whole.
func (t *tail) saysDone() bool {
	if len(t.last) < doneSize || t.last[0] != 0xFD {
		return false
	}
	const moreOrError = 0x001 | 0x002 | 0x100
	return binary.LittleEndian.Uint16(t.last[1:])&moreOrError == 0
}

// short: one in ten answers of TDS engines stops short. What is passed on of it has failed, and the client has to be able to tell.
func short(w *world) (string, error) {
	var count, shorted atomic.Int64
	var hosts []standin.Host
	var err error
	if w.names, err = standin.NewNameService("127.0.0.1:0"); err != nil {
		return "", err
	}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer l.Close()
		go (&shortEngine{l, w, &count, &shorted}).run()
		hosts = append(hosts, standin.Host{ID: fmt.Sprintf("tds-%d", i+1), Zone: "hall", Kind: "std", Address: l.Addr().String()})
	}
	w.names.Set(hosts...)
	r, err := w.newRouter(0, 1, 96, 512, func(r *routerProcess) (string, error) { return tdsSettings(r.tds, 10) })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	var whole, cut, failed, wrong atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for i := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := standin.DialTDS(r.tds, user, password, "", 5*time.Second)
			if err != nil {
				w.notef("client %d: %v", i, err)
				return
			}
			defer c.Close()
			read := &tail{Conn: c.Conn}
			c.Conn = read
			for n := 1; time.Now().Before(end); n++ {
				if c.Send(fmt.Sprintf("SELECT line, note FROM sales_17.orders -- client %d, statement %d", i, n)) != nil {
					return
				}
				reply, err := c.ReadReply(6 * time.Second)
				switch {
				case err != nil:
					w.notef("client %d, statement %d: %v", i, n, err)
					return
				case reply.Word == traffic.ReplyComplete && len(reply.Lines) == wholeRows:
					whole.Add(1)
				case reply.Word == traffic.ReplyComplete && read.saysDone():
					wrong.Add(1)
					w.notef("client %d, statement %d: served, with %d of %d rows, no error, and a DONE that tells %d rows", i, n, len(reply.Lines), wholeRows,
						binary.LittleEndian.Uint64(read.last[5:]))
				case len(reply.Lines) > 0:
					cut.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	w.notef("%d answers of engines, %d of them stopped short; clients got %d whole results, %d cut with an error, %d errors or refusals, %d cut without an error",
		count.Load(), shorted.Load(), whole.Load(), cut.Load(), failed.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return fmt.Sprintf("%d results were passed on as served although rows were missing, and the clients can't tell", wrong.Load()), nil
	}
	if whole.Load() == 0 {
		return "", fmt.Errorf("no result was served")
	}
	return "", nil
}
