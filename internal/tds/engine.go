package tds

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/settings"
	"pitchfield/internal/traffic"
)

// Access is how the router gets into engines that speak TDS.
type Access struct {
	Pool                     *buffers.Pool
	User, Password, Database string
	Program                  string // that it logs in as
	Packet                   int    // bytes that it asks for
	Probe                    string // statement of a health check; it must give a row or nothing
	Load                     string // statement whose first row is the load report, by the names of its columns; empty: none
	// TurnedAway are the numbers of errors with which an engine says that it has not run a batch.
	TurnedAway []int32
}

// Protocol is what the core must know of TDS engines.
func (a *Access) Protocol() *traffic.EngineProtocol {
	return &traffic.EngineProtocol{Name: "tds", OneAtATime: true, Pausable: true, New: func() traffic.Engine { return a.Engine() }}
}

// Engine gives the state of a new connection.
func (a *Access) Engine() *Engine { return &Engine{access: a, size: firstPacket} }

type phase uint8

const (
	connecting phase = iota // PRELOGIN is out
	loggingIn               // LOGIN7 is out
	atRest
	running
	stopping // Attention is out
)

// pieceSize is how many bytes of rows are passed on together.
const pieceSize = 16 << 10

// Engine is a connection to an engine: one request at a time.
type Engine struct {
	access *Access
	phase  phase
	size   int    // of packets
	next   int    // the size after the login
	in     []byte // of the answer, not read yet
	last   bool   // its last packet is in

	id      string
	probe   bool
	load    *brain.Report
	columns []column
	result  []rows.Column // of which rows are on their way
	fresh   bool          // no piece of it has gone on
	part    rows.Part
	rows    bool // something of the result has been passed on
	let     bool // LOGINACK has come
	failed  *Message
	scratch []byte
}

// Open greets the engine.
func (e *Engine) Open(out *buffers.Chain) bool {
	message(out, packetPrelogin, 0, firstPacket, appendPrelogin(nil, prelogin{encryption: encryptNone}))
	return false
}

// Encode asks for something.
func (e *Engine) Encode(out *buffers.Chain, what traffic.EngineCommand) {
	switch o := what.(type) {
	case *traffic.Dispatch:
		e.begin(o.ID, false)
		e.dispatch(out, o)
	case traffic.Probe:
		e.begin(o.Tag, true)
		text := e.access.Probe
		if o.WantLoad && e.access.Load != "" {
			text = e.access.Load
		}
		message(out, packetBatch, statusReset, e.size, appendUTF16(appendHeaders(nil), text))
	case traffic.CancelDispatch:
		if e.phase == running && e.id == o.ID {
			e.phase = stopping
			e.drop()
			message(out, packetAttention, 0, e.size, nil)
		}
	}
}

func (e *Engine) begin(id string, probe bool) {
	e.phase, e.id, e.probe, e.load, e.failed, e.rows = running, id, probe, nil, nil, false
	e.columns, e.result, e.fresh = nil, nil, false
}

// drop forgets rows that nobody wants.
func (e *Engine) drop() {
	e.part.Release()
	e.part = rows.Part{}
}

// dispatch writes a batch. The connection is reset with it, so nothing of the batch before is left there.
func (e *Engine) dispatch(out *buffers.Chain, d *traffic.Dispatch) {
	var text strings.Builder
	fmt.Fprintf(&text, "/* pitchfield id=%s group=%s wait=%dms", d.ID, d.Group, max(int(math.Ceil(d.Wait*1000)), 1))
	if d.IdempotencyKey != "" {
		text.WriteString(" mark=" + d.IdempotencyKey)
	}
	if d.Memory > 0 {
		text.WriteString(" memory=" + strconv.Itoa(int(math.Ceil(d.Memory))) + "MB")
	}
	text.WriteString(" */ ")
	if d.Database != "" {
		text.WriteString("USE [" + strings.ReplaceAll(d.Database, "]", "]]") + "]; ")
	}
	text.WriteString(d.SessionSetup)
	text.WriteString(d.Text.String())
	e.request(out, text.String(), d.Parameters)
}

// Send asks for a statement as it is, under an id of the caller's. It is for clients.
func (e *Engine) Send(out *buffers.Chain, id, text string, parameters []rows.Parameter) {
	e.begin(id, false)
	e.request(out, text, parameters)
}

func (e *Engine) request(out *buffers.Chain, text string, parameters []rows.Parameter) {
	if len(parameters) == 0 {
		message(out, packetBatch, statusReset, e.size, appendUTF16(appendHeaders(nil), text))
		return
	}
	message(out, packetRPC, statusReset, e.size, appendExecuteSQL(nil, text, parameters))
}

// Read gives the next reply.
func (e *Engine) Read(in, owed *buffers.Chain) (*traffic.EngineReply, error) {
	for {
		if len(e.in) > 0 || e.last {
			if reply, err := e.tokens(owed); reply != nil || err != nil {
				return reply, err
			}
		}
		p, ok, err := peekPacket(in)
		if err != nil || !ok {
			return nil, err
		}
		if p.kind != packetReply {
			return nil, fmt.Errorf("%w: a packet of type %d from an engine", ErrWire, p.kind)
		}
		if e.phase == atRest {
			return nil, fmt.Errorf("%w: an answer to nothing", ErrWire)
		}
		if len(e.in)+p.size > mostToken+mostPacket {
			return nil, fmt.Errorf("%w: a token of more than %d bytes", ErrWire, mostToken)
		}
		e.in = p.take(in, e.in)
		e.last = p.status&statusEnd != 0
		if e.phase == connecting && e.last {
			if err := e.greeted(owed); err != nil {
				return nil, err
			}
		}
	}
}

// greeted takes the answer to PRELOGIN.
func (e *Engine) greeted(owed *buffers.Chain) error {
	p, err := parsePrelogin(e.in)
	e.in, e.last = nil, false
	if err != nil {
		return err
	}
	if p.encryption == encryptOn || p.encryption == encryptMust {
		return fmt.Errorf("%w: the engine wants encryption, which this router does not have", traffic.ErrLogin)
	}
	a := e.access
	e.phase = loggingIn
	message(owed, packetLogin, 0, firstPacket, appendLogin(login{packet: uint32(a.Packet), host: a.Program, user: a.User,
		password: a.Password, app: a.Program, cli: a.Program, base: a.Database}))
	return nil
}

// tokens reads on until there is something to tell, or more bytes are needed.
func (e *Engine) tokens(owed *buffers.Chain) (*traffic.EngineReply, error) {
	c := cursor{b: e.in}
	used := 0
	keep := func() { e.in = e.in[:copy(e.in, e.in[used:])] }
	for used < len(e.in) {
		reply, err := e.token(&c)
		if c.err == errShort { //nolint:errorlint
			if e.last {
				return nil, fmt.Errorf("%w: an answer that ends within a token", ErrWire)
			}
			break
		}
		if c.err != nil {
			return nil, c.err
		}
		if err != nil {
			return nil, err
		}
		used = c.at
		if reply != nil {
			keep()
			return reply, nil
		}
	}
	keep()
	if e.last && len(e.in) == 0 {
		if e.last = false; cap(e.in) > mostPacket {
			e.in = nil
		}
		return e.ended()
	}
	if e.part.Len() > 0 { // what came is passed on before more is waited for
		return e.piece(), nil
	}
	return nil, nil
}

// piece passes on the rows that there are.
func (e *Engine) piece() *traffic.EngineReply {
	p := e.part
	e.part = rows.Part{}
	if e.fresh {
		p.Columns, e.fresh = e.result, false
	}
	p.Form, e.rows = rows.Values, true
	return &traffic.EngineReply{ID: e.id, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1, Rows: p}
}

// token reads one token and what it changes.
func (e *Engine) token(c *cursor) (*traffic.EngineReply, error) {
	switch kind := c.u8(); kind {
	case tokenColumns:
		all := c.columns()
		if c.err != nil {
			return nil, nil
		}
		if e.phase != running || e.probe {
			e.columns = all
			return nil, nil
		}
		var before *traffic.EngineReply
		if e.part.Len() > 0 || e.fresh && e.result != nil {
			before = e.piece()
		}
		e.columns, e.fresh = all, len(all) > 0
		e.result = make([]rows.Column, len(all))
		for i, one := range all {
			e.result[i] = rows.Column{Name: one.name, Type: one.Type}
		}
		return before, nil
	case tokenRow, tokenNullRow:
		if len(e.columns) == 0 {
			c.fail("a row without columns")
			return nil, nil
		}
		return e.row(c, kind == tokenNullRow), nil
	case tokenDone, tokenDoneProc, tokenDoneInProc:
		d := c.done(kind)
		if c.err != nil {
			return nil, nil
		}
		if e.phase == running && !e.probe && d.status&doneCount != 0 && e.columns == nil && d.count > 0 && d.count <= math.MaxInt32 {
			e.rows = true
			return &traffic.EngineReply{ID: e.id, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1,
				Rows: rows.Part{Form: rows.Values, Count: int(d.count)}}, nil
		}
		if d.status&doneError != 0 && e.failed == nil {
			e.failed = &Message{Text: "the engine tells of an error without saying which"}
		}
		if e.phase == stopping && d.status&doneAttention != 0 {
			e.let = true // its answer must end here
		}
		e.columns = nil
	case tokenError:
		if m := c.message(); c.err == nil && e.failed == nil {
			e.failed = &m
		}
	case tokenInfo:
		c.message()
	case tokenLoginAck:
		body := cursor{b: c.take(int(c.u16()))}
		if c.err != nil {
			return nil, nil
		}
		body.u8()
		if v := body.take(4); v != nil && v[0] < 0x72 {
			c.fail("the engine speaks TDS %x", v)
		}
		e.let = true
	case tokenEnvChange:
		body := cursor{b: c.take(int(c.u16()))}
		if body.u8() == envPacket {
			if n, err := strconv.Atoi(body.short()); err == nil && n >= leastPacket && n <= mostPacket {
				e.next = n
			}
		}
	case tokenReturnStatus:
		c.u32()
	case tokenReturnValue:
		c.u16()
		c.short()
		c.take(1 + 4 + 2)
		w := c.typeInfo()
		c.value(&w, &e.scratch)
	case tokenOrder, tokenTabName, tokenColInfo, tokenSSPI:
		c.take(int(c.u16()))
	case tokenSessionState, tokenFedAuth:
		n := c.u32()
		if n > mostToken {
			c.fail("a token of %d bytes", n)
		}
		c.take(int(n))
	case tokenFeatures:
		c.features()
	default:
		if c.err == nil {
			c.fail("token %#x", kind)
		}
	}
	return nil, nil
}

// row reads a row, into the part that is passed on next. Only a whole one changes anything.
func (e *Engine) row(c *cursor, mapped bool) *traffic.EngineReply {
	var missing []byte
	if mapped {
		missing = c.take((len(e.columns) + 7) / 8)
	}
	if e.phase != running || e.probe {
		e.other(c, missing)
		return nil
	}
	data, at := e.part.Data, e.part.Len()
	if data == nil {
		data = e.access.Pool.Chain()
	}
	for i := range e.columns {
		var v []byte
		if missing == nil || missing[i/8]&(1<<(i%8)) == 0 {
			v = c.value(&e.columns[i].wire, &e.scratch)
		}
		if c.err != nil {
			data.Truncate(at)
			return nil
		}
		rows.Append(data, v)
	}
	e.part.Data = data
	e.part.Count++
	if e.part.Len() >= pieceSize {
		return e.piece()
	}
	return nil
}

// other passes over a row, but takes the first of a probe for its load report.
func (e *Engine) other(c *cursor, missing []byte) {
	var rep *brain.Report
	if e.probe && e.phase == running && e.load == nil && e.access.Load != "" {
		rep = settings.EmptyReport()
	}
	for i := range e.columns {
		if missing != nil && missing[i/8]&(1<<(i%8)) != 0 {
			continue
		}
		v := c.value(&e.columns[i].wire, &e.scratch)
		if c.err != nil {
			return
		}
		if rep != nil && v != nil {
			if text, err := rows.Format(e.columns[i].Type, v); err == nil {
				if f, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
					settings.SetReportField(rep, strings.ToLower(e.columns[i].name), f)
				}
			}
		}
	}
	if rep != nil {
		e.load = rep
	}
}

// ended: the answer is whole.
func (e *Engine) ended() (*traffic.EngineReply, error) {
	reply := &traffic.EngineReply{ID: e.id, Pages: -1, Page: -1, Work: -1, Memory: -1}
	failed := e.failed
	e.failed = nil
	switch e.phase {
	case loggingIn:
		if failed != nil {
			return nil, fmt.Errorf("%w: %w", traffic.ErrLogin, *failed)
		}
		if !e.let {
			return nil, fmt.Errorf("%w: the engine does not say that it lets us in", traffic.ErrLogin)
		}
		if e.next > 0 {
			e.size = e.next
		}
		e.phase, e.let = atRest, false
		reply.Kind = traffic.ReplyReady
		return reply, nil
	case stopping: // an answer that crossed the Attention ends without this
		if !e.let {
			return nil, nil
		}
		e.phase, e.let = atRest, false
		reply.Kind = traffic.ReplyReleased
		return reply, nil
	case running:
		if e.part.Len() > 0 || e.fresh {
			if failed == nil || e.rows {
				e.last = true // and the end comes next
				e.failed = failed
				return e.piece(), nil
			}
			e.drop()
		}
		e.phase = atRest
		switch {
		case e.probe && failed == nil:
			reply.Kind, reply.Load = traffic.ReplyHealthy, e.load
		case e.probe:
			reply.Kind, reply.Reason = traffic.ReplyUnhealthy, failed.Error()
		case failed == nil:
			reply.Kind = traffic.ReplyComplete
		case !e.rows && slices.Contains(e.access.TurnedAway, failed.Number):
			reply.Kind, reply.Reason = traffic.ReplyOverloaded, failed.Error()
		default:
			reply.Kind, reply.Reason = traffic.ReplyFailed, failed.Error()
		}
		return reply, nil
	}
	return nil, fmt.Errorf("%w: an answer to nothing", ErrWire)
}
