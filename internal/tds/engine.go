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

// EngineConfig is how the router gets into engines that speak TDS.
type EngineConfig struct {
	Pool                     *buffers.Pool
	User, Password, Database string
	AppName                  string // that it logs in as
	PacketSize               int    // bytes that it asks for
	ProbeQuery               string // statement of a health check; it must give a row or nothing
	LoadQuery                string // statement whose first row is the load report, by the names of its columns; empty: none
	// TurnedAway are the numbers of errors with which an engine says that it has not run a batch.
	RejectionNumbers []int32
}

// Protocol is what the core must know of TDS engines.
func (a *EngineConfig) Protocol() *traffic.EngineProtocol {
	return &traffic.EngineProtocol{Name: "tds", OneAtATime: true, Pausable: true, New: func() traffic.Engine { return a.NewEngine() }}
}

// NewEngine gives the state of a new connection.
func (a *EngineConfig) NewEngine() *Engine { return &Engine{config: a, packetSize: defaultPacketSize} }

type phase uint8

const (
	preloginSent phase = iota // PRELOGIN is out
	loginSent                 // LOGIN7 is out
	idle
	running
	attentionSent // Attention is out
)

// rowChunkSize is how many bytes of rows are passed on together.
const rowChunkSize = 16 << 10

// Engine is a connection to an engine: one request at a time.
type Engine struct {
	config         *EngineConfig
	phase          phase
	packetSize     int    // of packets
	negotiatedSize int    // the size after the login
	unread         []byte // of the answer, not read yet
	complete       bool   // its last packet is in

	requestID     string
	isProbe       bool
	loadReport    *brain.Report
	columns       []column
	resultColumns []rows.Column // of which rows are on their way
	columnsUnsent bool          // no piece of it has gone on
	unsent        rows.Part
	rowsSent      bool // something of the result has been passed on
	acknowledged  bool // LOGINACK has come
	firstError    *Message
	scratch       []byte
}

// Open greets the engine.
func (e *Engine) Open(out *buffers.Chain) bool {
	writeMessage(out, packetPrelogin, 0, defaultPacketSize, appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
	return false
}

// Encode asks for something.
func (e *Engine) Encode(out *buffers.Chain, what traffic.EngineCommand) {
	switch o := what.(type) {
	case *traffic.Dispatch:
		e.beginRequest(o.ID, false)
		e.writeDispatch(out, o)
	case traffic.Probe:
		e.beginRequest(o.Tag, true)
		text := e.config.ProbeQuery
		if o.WantLoad && e.config.LoadQuery != "" {
			text = e.config.LoadQuery
		}
		writeMessage(out, packetBatch, statusResetConnection, e.packetSize, appendUTF16(appendAllHeaders(nil), text))
	case traffic.CancelDispatch:
		if e.phase == running && e.requestID == o.ID {
			e.phase = attentionSent
			e.discardRows()
			writeMessage(out, packetAttention, 0, e.packetSize, nil)
		}
	}
}

func (e *Engine) beginRequest(id string, probe bool) {
	e.phase, e.requestID, e.isProbe, e.loadReport, e.firstError, e.rowsSent = running, id, probe, nil, nil, false
	e.columns, e.resultColumns, e.columnsUnsent = nil, nil, false
}

// discardRows forgets rows that nobody wants.
func (e *Engine) discardRows() {
	e.unsent.Release()
	e.unsent = rows.Part{}
}

// writeDispatch writes a batch. The connection is reset with it, so nothing of the batch before is left there.
func (e *Engine) writeDispatch(out *buffers.Chain, d *traffic.Dispatch) {
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
	e.writeRequest(out, text.String(), d.Parameters)
}

// Send asks for a statement as it is, under an id of the caller's. It is for clients.
func (e *Engine) Send(out *buffers.Chain, id, text string, parameters []rows.Parameter) {
	e.beginRequest(id, false)
	e.writeRequest(out, text, parameters)
}

func (e *Engine) writeRequest(out *buffers.Chain, text string, parameters []rows.Parameter) {
	if len(parameters) == 0 {
		writeMessage(out, packetBatch, statusResetConnection, e.packetSize, appendUTF16(appendAllHeaders(nil), text))
		return
	}
	writeMessage(out, packetRPC, statusResetConnection, e.packetSize, appendExecuteSQL(nil, text, parameters))
}

// Read gives the next reply.
func (e *Engine) Read(in, owed *buffers.Chain) (*traffic.EngineReply, error) {
	for {
		if len(e.unread) > 0 || e.complete {
			if reply, err := e.readTokens(owed); reply != nil || err != nil {
				return reply, err
			}
		}
		p, ok, err := peekPacket(in)
		if err != nil || !ok {
			return nil, err
		}
		if p.packetType != packetTabularResult {
			return nil, fmt.Errorf("%w: a packet of type %d from an engine", ErrProtocol, p.packetType)
		}
		if e.phase == idle {
			return nil, fmt.Errorf("%w: an answer to nothing", ErrProtocol)
		}
		if len(e.unread)+p.size > maxTokenSize+maxPacketSize {
			return nil, fmt.Errorf("%w: a token of more than %d bytes", ErrProtocol, maxTokenSize)
		}
		e.unread = p.appendPayload(in, e.unread)
		e.complete = p.status&statusEOM != 0
		if e.phase == preloginSent && e.complete {
			if err := e.handlePreloginResponse(owed); err != nil {
				return nil, err
			}
		}
	}
}

// handlePreloginResponse takes the answer to PRELOGIN.
func (e *Engine) handlePreloginResponse(owed *buffers.Chain) error {
	p, err := parsePrelogin(e.unread)
	e.unread, e.complete = nil, false
	if err != nil {
		return err
	}
	if p.encryption == encryptOn || p.encryption == encryptRequired {
		return fmt.Errorf("%w: the engine wants encryption, which this router does not have", traffic.ErrLogin)
	}
	a := e.config
	e.phase = loginSent
	writeMessage(owed, packetLogin7, 0, defaultPacketSize, appendLogin(login{packetSize: uint32(a.PacketSize), host: a.AppName, user: a.User,
		password: a.Password, appName: a.AppName, clientInterface: a.AppName, database: a.Database}))
	return nil
}

// readTokens reads on until there is something to tell, or more bytes are needed.
func (e *Engine) readTokens(owed *buffers.Chain) (*traffic.EngineReply, error) {
	c := cursor{buf: e.unread}
	used := 0
	keep := func() { e.unread = e.unread[:copy(e.unread, e.unread[used:])] }
	for used < len(e.unread) {
		reply, err := e.readToken(&c)
		if c.err == errIncomplete { //nolint:errorlint
			if e.complete {
				return nil, fmt.Errorf("%w: an answer that ends within a token", ErrProtocol)
			}
			break
		}
		if c.err != nil {
			return nil, c.err
		}
		if err != nil {
			return nil, err
		}
		used = c.offset
		if reply != nil {
			keep()
			return reply, nil
		}
	}
	keep()
	if e.complete && len(e.unread) == 0 {
		if e.complete = false; cap(e.unread) > maxPacketSize {
			e.unread = nil
		}
		return e.endResponse()
	}
	if e.unsent.Len() > 0 { // what came is passed on before more is waited for
		return e.takeRows(), nil
	}
	return nil, nil
}

// takeRows passes on the rows that there are.
func (e *Engine) takeRows() *traffic.EngineReply {
	p := e.unsent
	e.unsent = rows.Part{}
	if e.columnsUnsent {
		p.Columns, e.columnsUnsent = e.resultColumns, false
	}
	p.Encoding, e.rowsSent = rows.Values, true
	return &traffic.EngineReply{ID: e.requestID, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1, Rows: p}
}

// readToken reads one token and what it changes.
func (e *Engine) readToken(c *cursor) (*traffic.EngineReply, error) {
	switch kind := c.u8(); kind {
	case tokenColMetadata:
		all := c.colMetadata()
		if c.err != nil {
			return nil, nil
		}
		if e.phase != running || e.isProbe {
			e.columns = all
			return nil, nil
		}
		var before *traffic.EngineReply
		if e.unsent.Len() > 0 || e.columnsUnsent && e.resultColumns != nil {
			before = e.takeRows()
		}
		e.columns, e.columnsUnsent = all, len(all) > 0
		e.resultColumns = make([]rows.Column, len(all))
		for i, one := range all {
			e.resultColumns[i] = rows.Column{Name: one.name, Type: one.Type}
		}
		return before, nil
	case tokenRow, tokenNBCRow:
		if len(e.columns) == 0 {
			c.fail("a row without columns")
			return nil, nil
		}
		return e.readRow(c, kind == tokenNBCRow), nil
	case tokenDone, tokenDoneProc, tokenDoneInProc:
		d := c.done(kind)
		if c.err != nil {
			return nil, nil
		}
		if e.phase == running && !e.isProbe && d.status&doneCount != 0 && e.columns == nil && d.count > 0 && d.count <= math.MaxInt32 {
			e.rowsSent = true
			return &traffic.EngineReply{ID: e.requestID, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1,
				Rows: rows.Part{Encoding: rows.Values, Count: int(d.count)}}, nil
		}
		if d.status&doneError != 0 && e.firstError == nil {
			e.firstError = &Message{Text: "the engine tells of an error without saying which"}
		}
		if e.phase == attentionSent && d.status&doneAttention != 0 {
			e.acknowledged = true // its answer must end here
		}
		e.columns = nil
	case tokenError:
		if m := c.readMessage(); c.err == nil && e.firstError == nil {
			e.firstError = &m
		}
	case tokenInfo:
		c.readMessage()
	case tokenLoginAck:
		body := cursor{buf: c.take(int(c.u16()))}
		if c.err != nil {
			return nil, nil
		}
		body.u8()
		if v := body.take(4); v != nil && v[0] < 0x72 {
			c.fail("the engine speaks TDS %x", v)
		}
		e.acknowledged = true
	case tokenEnvChange:
		body := cursor{buf: c.take(int(c.u16()))}
		if body.u8() == envPacketSize {
			if n, err := strconv.Atoi(body.bVarChar()); err == nil && n >= minPacketSize && n <= maxPacketSize {
				e.negotiatedSize = n
			}
		}
	case tokenReturnStatus:
		c.u32()
	case tokenReturnValue:
		c.u16()
		c.bVarChar()
		c.take(1 + 4 + 2)
		w := c.typeInfo()
		c.value(&w, &e.scratch)
	case tokenOrder, tokenTabName, tokenColInfo, tokenSSPI:
		c.take(int(c.u16()))
	case tokenSessionState, tokenFedAuthInfo:
		n := c.u32()
		if n > maxTokenSize {
			c.fail("a token of %d bytes", n)
		}
		c.take(int(n))
	case tokenFeatureExtAck:
		c.skipFeatureExtAck()
	default:
		if c.err == nil {
			c.fail("token %#x", kind)
		}
	}
	return nil, nil
}

// readRow reads a row, into the part that is passed on next. Only a whole one changes anything.
func (e *Engine) readRow(c *cursor, mapped bool) *traffic.EngineReply {
	var missing []byte
	if mapped {
		missing = c.take((len(e.columns) + 7) / 8)
	}
	if e.phase != running || e.isProbe {
		e.skipRow(c, missing)
		return nil
	}
	data, at := e.unsent.Data, e.unsent.Len()
	if data == nil {
		data = e.config.Pool.Chain()
	}
	for i := range e.columns {
		var v []byte
		if missing == nil || missing[i/8]&(1<<(i%8)) == 0 {
			v = c.value(&e.columns[i].typeInfo, &e.scratch)
		}
		if c.err != nil {
			data.Truncate(at)
			return nil
		}
		rows.AppendValue(data, v)
	}
	e.unsent.Data = data
	e.unsent.Count++
	if e.unsent.Len() >= rowChunkSize {
		return e.takeRows()
	}
	return nil
}

// skipRow passes over a row, but takes the first of a probe for its load report.
func (e *Engine) skipRow(c *cursor, missing []byte) {
	var rep *brain.Report
	if e.isProbe && e.phase == running && e.loadReport == nil && e.config.LoadQuery != "" {
		rep = settings.EmptyReport()
	}
	for i := range e.columns {
		if missing != nil && missing[i/8]&(1<<(i%8)) != 0 {
			continue
		}
		v := c.value(&e.columns[i].typeInfo, &e.scratch)
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
		e.loadReport = rep
	}
}

// endResponse: the answer is whole.
func (e *Engine) endResponse() (*traffic.EngineReply, error) {
	reply := &traffic.EngineReply{ID: e.requestID, Pages: -1, Page: -1, Work: -1, Memory: -1}
	failed := e.firstError
	e.firstError = nil
	switch e.phase {
	case loginSent:
		if failed != nil {
			return nil, fmt.Errorf("%w: %w", traffic.ErrLogin, *failed)
		}
		if !e.acknowledged {
			return nil, fmt.Errorf("%w: the engine does not say that it lets us in", traffic.ErrLogin)
		}
		if e.negotiatedSize > 0 {
			e.packetSize = e.negotiatedSize
		}
		e.phase, e.acknowledged = idle, false
		reply.Kind = traffic.ReplyReady
		return reply, nil
	case attentionSent: // an answer that crossed the Attention ends without this
		if !e.acknowledged {
			return nil, nil
		}
		e.phase, e.acknowledged = idle, false
		reply.Kind = traffic.ReplyReleased
		return reply, nil
	case running:
		if e.unsent.Len() > 0 || e.columnsUnsent {
			if failed == nil || e.rowsSent {
				e.complete = true // and the end comes next
				e.firstError = failed
				return e.takeRows(), nil
			}
			e.discardRows()
		}
		e.phase = idle
		switch {
		case e.isProbe && failed == nil:
			reply.Kind, reply.Load = traffic.ReplyHealthy, e.loadReport
		case e.isProbe:
			reply.Kind, reply.Reason = traffic.ReplyUnhealthy, failed.Error()
		case failed == nil:
			reply.Kind = traffic.ReplyComplete
		case !e.rowsSent && slices.Contains(e.config.RejectionNumbers, failed.Number):
			reply.Kind, reply.Reason = traffic.ReplyOverloaded, failed.Error()
		default:
			reply.Kind, reply.Reason = traffic.ReplyFailed, failed.Error()
		}
		return reply, nil
	}
	return nil, fmt.Errorf("%w: an answer to nothing", ErrProtocol)
}
