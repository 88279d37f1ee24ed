package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
)

// Credentials that scripted TDS engines accept.
const (
	EngineUser     = "router"
	EnginePassword = "between us"
)

// NewTDS starts a scripted engine that speaks TDS on an address.
func NewTDS(name, address string, fleet *Fleet) (*Server, error) {
	return newServer(name, "tds", address, fleet, serveTDS)
}

// tdsConn is a connection to a TDS engine, with one batch at a time. Its mutex guards the session, which the reading
// goroutine and the answers of a batch share.
type tdsConn struct {
	net.Conn
	server   *Server
	mutex    sync.Mutex
	pool     *buffers.Pool
	session  *tds.Session
	stream   uint32 // of the batch that runs; 0: none
	run      *Run
	silenced bool
}

// serveTDS reads the requests of a connection until it ends.
func serveTDS(s *Server, conn net.Conn) {
	pool := &buffers.Pool{}
	c := &tdsConn{Conn: conn, server: s, pool: pool}
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "any"}}
	front := &tds.Server{Pool: pool, Name: s.Name,
		Authenticate: func(user, password string) (string, error) {
			if user != EngineUser || password != EnginePassword {
				return "", fmt.Errorf("unknown user or wrong password: %s", user)
			}
			return "", nil
		},
		Rules: func() *assign.Rules { return rules }}
	c.session = front.NewSession()
	in, out, buffer := pool.Chain(), pool.Chain(), make([]byte, 16<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		c.mutex.Lock()
		in.Write(buffer[:n])
		for {
			event, err := c.session.Read(in, out)
			if verify, ok := event.(*traffic.Verify); ok {
				event, err = verify.Done(verify.Run(), out)
			}
			c.flush(out)
			if err != nil {
				c.mutex.Unlock()
				return
			}
			if event == nil {
				break
			}
			switch event := event.(type) {
			case *traffic.BatchRequest:
				run := Run{Engine: s.Name, Text: event.Batch.Text.String(), Group: event.Batch.Group, Mark: event.Batch.IdempotencyKey}
				if len(event.Batch.Parameters) > 0 {
					run.Text, _ = rows.Inline(run.Text, event.Batch.Parameters)
				}
				event.Batch.Text.Release()
				c.stream = event.Stream
				go c.perform(s, run, event.Stream)
			case traffic.Cancel:
				c.stream = 0
				if c.run != nil {
					s.fleet.cancel(c.run)
				}
			}
		}
		c.mutex.Unlock()
	}
}

// flush writes and releases a chain unless the connection or the engine is silenced. The caller holds the mutex.
func (c *tdsConn) flush(out *buffers.Chain) {
	if out.Len() > 0 && !c.silenced && !c.server.silent() {
		c.Write(out.Bytes())
	}
	out.Release()
}

// send encodes and writes messages for the batch on a stream, unless it no longer runs. transform, if not nil, replaces
// the encoded bytes and says whether the connection sends nothing afterwards.
func (c *tdsConn) send(stream uint32, transform func([]byte) (replaced []byte, silence bool), messages ...traffic.ClientReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stream != stream {
		return
	}
	out := c.pool.Chain()
	for _, message := range messages {
		c.session.Encode(out, message)
	}
	b := out.Bytes()
	out.Release()
	silence := false
	if transform != nil {
		b, silence = transform(b)
	}
	if !c.silenced && !c.server.silent() {
		c.Write(b)
	}
	c.silenced = c.silenced || silence
}

// perform runs a batch and carries out its step.
func (c *tdsConn) perform(s *Server, run Run, stream uint32) {
	r := s.fleet.recordStart(run)
	defer s.fleet.recordAnswered(r)
	if r.Step.Action == Reject {
		s.fleet.recordEnd(r)
		c.send(stream, nil, &traffic.Answer{Stream: stream, Code: traffic.Rejected})
		return
	}
	c.mutex.Lock()
	if c.run = r; c.stream != stream {
		s.fleet.cancel(r)
	}
	c.mutex.Unlock()
	completed := r.simulateWork()
	s.fleet.recordEnd(r)
	if !completed {
		return
	}
	columns := []rows.Column{{Name: "engine", Type: rows.Type{Kind: rows.Text, Size: 64}},
		{Name: "queue", Type: rows.Type{Kind: rows.Text, Size: 64}}, {Name: "line", Type: rows.Type{Kind: rows.Text}}}
	count := max(r.Step.Rows, 1)
	page := func(from int) traffic.ClientReply { // encoded when it is sent, as by an engine that streams its answer
		part := rows.Part{Encoding: rows.Values, Data: (&buffers.Pool{}).Chain()}
		if from == 0 {
			part.Columns = columns
		}
		for i := from; i < min(from+pageRows, count); i++ {
			for _, v := range strings.Split(resultRow(r, i), "\t") {
				rows.AppendValue(part.Data, []byte(v))
			}
		}
		return &traffic.Rows{Stream: stream, Part: part}
	}
	wholeAnswer := func() (out []traffic.ClientReply) {
		for from := 0; from < count; from += pageRows {
			out = append(out, page(from))
		}
		return append(out, &traffic.Answer{Stream: stream})
	}
	if strings.Contains(r.Text, "typed") {
		c.send(stream, nil, &traffic.Rows{Stream: stream, Part: TypedRows()}, &traffic.Answer{Stream: stream})
		return
	}
	half := func(b []byte) ([]byte, bool) { return b[:len(b)/2], true }
	switch r.Step.Action {
	case Serve:
		for from := 0; from < count; from += pageRows {
			c.send(stream, nil, page(from))
		}
		c.send(stream, nil, &traffic.Answer{Stream: stream})
	case Fail:
		c.send(stream, nil, &traffic.Answer{Stream: stream, Code: traffic.Failed, Reason: "scripted"})
	case CloseUnanswered:
		c.Close()
	case CloseMidAnswer:
		c.send(stream, half, wholeAnswer()...)
		c.Close()
	case SilenceEngine:
		s.silenceBriefly()
	case SilenceConnection:
		c.send(stream, func([]byte) ([]byte, bool) { return nil, true })
	case HalfAnswer:
		c.send(stream, half, wholeAnswer()...)
	case SendGarbage:
		c.send(stream, func([]byte) ([]byte, bool) { return []byte("HTTP/1.1 200 OK\r\n\r\n"), false })
	case InvalidLength:
		c.send(stream, func([]byte) ([]byte, bool) { return []byte{4, 0, 0, 3, 0, 0, 1, 0}, false })
	case EndlessAnswer:
		// Packets without the end-of-message bit, with one row whose chunked value never ends.
		endless := make([]byte, 8+4096)
		copy(endless, []byte{4, 0, byte(len(endless) >> 8), byte(len(endless) & 0xFF), 0, 0, 1, 0})
		head := []byte{4, 0, 0, 8 + 30, 0, 0, 1, 0, 0x81, 1, 0, 0, 0, 0, 0, 1, 0, 0xA5, 0xFF, 0xFF, 1, 'b', 0,
			0xD1, 0xFE, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0, 0, 0xF0, 0x7F, 0, 0}
		c.send(stream, func([]byte) ([]byte, bool) { return head, false })
		flood(c.Conn, endless)
	}
}

// TDSClient is a client that speaks TDS, with one request at a time. It is not safe for concurrent use.
type TDSClient struct {
	net.Conn
	pool           *buffers.Pool
	received       *buffers.Chain
	session        *tds.Engine
	statementCount int
}

// DialTDS connects to a router and logs in. Connecting and the login may each take the given time.
func DialTDS(address, user, password, database string, within time.Duration) (*TDSClient, error) {
	conn, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	pool := &buffers.Pool{}
	config := &tds.EngineConfig{Pool: pool, User: user, Password: password, Database: database, AppName: "standin",
		PacketSize: 4096, RejectionNumbers: []int32{tds.ErrorNumberRejected}}
	c := &TDSClient{Conn: conn, pool: pool, received: pool.Chain(), session: config.NewEngine()}
	out := pool.Chain()
	c.session.Open(out)
	c.flush(out)
	if _, err := c.readUntil(within, traffic.ReplyReady); err != nil {
		conn.Close()
		return nil, fmt.Errorf("client: login: %w", err)
	}
	return c, nil
}

func (c *TDSClient) flush(out *buffers.Chain) error {
	defer out.Release()
	_, err := c.Write(out.Bytes())
	return err
}

// Reply is how a batch ended, with the rows received until then.
type Reply struct {
	Word  traffic.ReplyKind
	Why   string
	Lines []string // rows, with tabs between their values
}

// Send sends a statement. The reply is read by ReadReply.
func (c *TDSClient) Send(text string, parameters ...rows.Parameter) error {
	out := c.pool.Chain()
	c.statementCount++
	c.session.Send(out, fmt.Sprint(c.statementCount), text, parameters)
	return c.flush(out)
}

// Cancel sends an Attention and waits until it is acknowledged.
func (c *TDSClient) Cancel(within time.Duration) error {
	out := c.pool.Chain()
	c.session.Encode(out, traffic.CancelDispatch{ID: fmt.Sprint(c.statementCount)})
	if err := c.flush(out); err != nil {
		return err
	}
	_, err := c.readUntil(within, traffic.ReplyReleased)
	return err
}

// ReadReply waits for the end of the statement that was sent last.
func (c *TDSClient) ReadReply(within time.Duration) (Reply, error) {
	return c.readUntil(within, traffic.ReplyComplete, traffic.ReplyFailed, traffic.ReplyOverloaded)
}

// readUntil reads until a reply with one of the given words, and collects the rows before it.
func (c *TDSClient) readUntil(within time.Duration, until ...traffic.ReplyKind) (result Reply, err error) {
	c.SetReadDeadline(time.Now().Add(within)) //nolint:errcheck
	var columns []rows.Column
	buffer := make([]byte, 16<<10)
	for {
		outgoing := c.pool.Chain()
		reply, err := c.session.Read(c.received, outgoing)
		if outgoing.Len() > 0 {
			c.flush(outgoing) //nolint:errcheck
		}
		if err != nil {
			return result, err
		}
		if reply == nil {
			n, err := c.Read(buffer)
			if err != nil {
				return result, err
			}
			c.received.Write(buffer[:n])
			continue
		}
		if p := reply.Rows; reply.Kind == traffic.ReplyRows {
			if p.Columns != nil {
				columns = p.Columns
			}
			err := rows.Each(p, len(columns), func(row [][]byte) error {
				texts := make([]string, len(row))
				for i, v := range row {
					if texts[i] = "NULL"; v != nil {
						if texts[i], err = rows.Format(columns[i].Type, v); err != nil {
							return err
						}
					}
				}
				result.Lines = append(result.Lines, strings.Join(texts, "\t"))
				return nil
			})
			p.Release()
			if err != nil {
				return result, err
			}
		}
		for _, w := range until {
			if reply.Kind == w {
				result.Word, result.Why = reply.Kind, reply.Reason
				return result, nil
			}
		}
	}
}

// TypedRows returns a result with the types that reporting tools use: one row with values and one with only NULLs.
func TypedRows() rows.Part {
	values := []struct {
		rows.Column
		value []byte
	}{{rows.Column{Name: "whole", Type: rows.Type{Kind: rows.Int64}}, []byte{42, 0, 0, 0, 0, 0, 0, 0}},
		{rows.Column{Name: "yes", Type: rows.Type{Kind: rows.Bit}}, []byte{1}},
		{rows.Column{Name: "price", Type: rows.Type{Kind: rows.Decimal, Precision: 9, Scale: 2}}, []byte{1, 57, 48, 0, 0}},
		{rows.Column{Name: "paid", Type: rows.Type{Kind: rows.Money}}, []byte{0x10, 0x27, 0, 0, 0, 0, 0, 0}},
		{rows.Column{Name: "half", Type: rows.Type{Kind: rows.Float64}}, []byte{0, 0, 0, 0, 0, 0, 0xE0, 0x3F}},
		{rows.Column{Name: "at", Type: rows.Type{Kind: rows.DateTime2, Scale: 7}}, []byte{0, 0, 0, 0, 0, 0x3A, 0xF9, 0x0A}},
		{rows.Column{Name: "name", Type: rows.Type{Kind: rows.Text, Size: 40}}, []byte("Žofie 🌱")},
		{rows.Column{Name: "raw", Type: rows.Type{Kind: rows.Bytes}}, []byte{0, 255}},
		{rows.Column{Name: "id", Type: rows.Type{Kind: rows.GUID}}, []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}}}
	p := rows.Part{Encoding: rows.Values, Data: (&buffers.Pool{}).Chain(), Count: 2}
	for _, v := range values {
		p.Columns = append(p.Columns, v.Column)
		rows.AppendValue(p.Data, v.value)
	}
	for range values {
		rows.AppendValue(p.Data, nil)
	}
	return p
}
