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

// EngineConfig says how to connect to engines that speak TDS.
type EngineConfig struct {
	Pool                     *buffers.Pool
	User, Password, Database string
	AppName                  string // host name, application name and client interface name of the LOGIN7
	PacketSize               int    // requested packet size in bytes
	ProbeQuery               string // statement of a health check; it must return a row or nothing
	LoadQuery                string // statement whose first row is the load report, matched by column name; empty: no load reports
	// RejectionNumbers are the error numbers by which an engine reports that it rejected a batch without running it. They
	// count only in a response that shows no execution: a statement of the batch may fail with such a number, too.
	RejectionNumbers []int32
}

// Protocol describes TDS engines to the router core.
func (c *EngineConfig) Protocol() *traffic.EngineProtocol {
	return &traffic.EngineProtocol{Name: "tds", OneAtATime: true, Pausable: true, New: func() traffic.Engine { return c.NewEngine() }}
}

// NewEngine returns the protocol state of a new connection to an engine.
func (c *EngineConfig) NewEngine() *Engine { return &Engine{config: c, packetSize: defaultPacketSize} }

// phase is the state of a connection to an engine.
type phase uint8

const (
	preloginSent  phase = iota // waiting for the response to PRELOGIN
	loginSent                  // waiting for the response to LOGIN7
	idle                       // no request is pending
	running                    // a request is pending
	attentionSent              // the request was cancelled; waiting for the acknowledgement of the Attention
)

// rowChunkSize is the number of bytes of rows after which they are passed on in one reply.
const rowChunkSize = 16 << 10

// Engine is the protocol state of one connection to an engine, which carries one request at a time. It does no I/O and is
// not safe for concurrent use.
type Engine struct {
	config         *EngineConfig
	phase          phase
	packetSize     int          // bytes
	negotiatedSize int          // packet size that the engine announced during the login; takes effect after it; 0: none
	unread         []byte       // payload of the response that has been received but not parsed
	complete       bool         // the last packet of the response has been received
	cutShort       *cutShortRow // the row that unread begins with, of which not all has been received; nil: there is none

	requestID     string // of the dispatch or probe that is pending
	isProbe       bool
	loadReport    *brain.Report // from the probe's first row
	columns       []column      // of the open result set, as sent by the engine
	resultColumns []rows.Column // of the same result set, as passed on
	columnsUnsent bool          // resultColumns have not been passed on yet
	unsent        rows.Part     // rows that have not been passed on yet
	rowsSent      bool          // part of the result has been passed on
	mayHaveRun    bool          // the response holds more than a rejection
	endsInDone    bool          // the last token was a DONE or DONEPROC that says that nothing follows
	acknowledged  bool          // LOGINACK, or the DONE that acknowledges the Attention, has been received
	firstError    *Message      // first error of the response
	scratch       []byte        // buffer for decoded values
}

// cutShortRow is how far a row has been received.
type cutShortRow struct {
	columns int // that are there
	size    int // bytes of their values
}

// Open writes the PRELOGIN. The connection takes requests only after Read has returned Up.
func (e *Engine) Open(out *buffers.Chain) bool {
	writeMessage(out, packetPrelogin, 0, defaultPacketSize, appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
	return false
}

// Encode writes a dispatch, a probe or the cancellation of a dispatch to out.
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

// beginRequest resets the per-request state.
func (e *Engine) beginRequest(id string, probe bool) {
	e.phase, e.requestID, e.isProbe, e.loadReport, e.firstError, e.rowsSent = running, id, probe, nil, nil, false
	e.columns, e.resultColumns, e.columnsUnsent, e.mayHaveRun, e.endsInDone = nil, nil, false, false, false
}

// discardRows releases the rows that have not been passed on.
func (e *Engine) discardRows() {
	e.unsent.Release()
	e.unsent = rows.Part{}
}

// writeDispatch writes a batch, preceded by a comment that describes it. RESETCONNECTION removes the session state that
// the previous batch left on the connection.
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

// Send writes a statement unchanged; replies to it carry id. Test clients use it.
func (e *Engine) Send(out *buffers.Chain, id, text string, parameters []rows.Parameter) {
	e.beginRequest(id, false)
	e.writeRequest(out, text, parameters)
}

// writeRequest writes a SQL batch, or a call of sp_executesql if the statement has parameters.
func (e *Engine) writeRequest(out *buffers.Chain, text string, parameters []rows.Parameter) {
	if len(parameters) == 0 {
		writeMessage(out, packetBatch, statusResetConnection, e.packetSize, appendUTF16(appendAllHeaders(nil), text))
		return
	}
	writeMessage(out, packetRPC, statusResetConnection, e.packetSize, appendExecuteSQL(nil, text, parameters))
}

// Read parses the engine's response from in and returns the next reply, or nil if more bytes are needed. Messages that
// the login needs are written to out. After an error nothing more can be read.
func (e *Engine) Read(in, out *buffers.Chain) (*traffic.EngineReply, error) {
	for {
		if len(e.unread) > 0 || e.complete {
			if reply, err := e.readTokens(out); reply != nil || err != nil {
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
			return nil, fmt.Errorf("%w: a response without a request", ErrProtocol)
		}
		if len(e.unread)+p.size > maxTokenSize+maxPacketSize {
			return nil, fmt.Errorf("%w: a token of more than %d bytes", ErrProtocol, maxTokenSize)
		}
		e.unread = p.appendPayload(in, e.unread)
		e.complete = p.status&statusEOM != 0
		if e.phase == preloginSent && e.complete {
			if err := e.handlePreloginResponse(out); err != nil {
				return nil, err
			}
		}
	}
}

// handlePreloginResponse parses the response to PRELOGIN and writes the LOGIN7.
func (e *Engine) handlePreloginResponse(out *buffers.Chain) error {
	p, err := parsePrelogin(e.unread)
	e.unread, e.complete = nil, false
	if err != nil {
		return err
	}
	if p.encryption == encryptOn || p.encryption == encryptRequired {
		return fmt.Errorf("%w: the engine requires encryption, which this router does not support", traffic.ErrLogin)
	}
	config := e.config
	e.phase = loginSent
	writeMessage(out, packetLogin7, 0, defaultPacketSize, appendLogin(login{packetSize: uint32(config.PacketSize),
		host: config.AppName, user: config.User, password: config.Password, appName: config.AppName,
		clientInterface: config.AppName, database: config.Database}))
	return nil
}

// readTokens parses tokens until there is a reply to return or more bytes are needed.
func (e *Engine) readTokens(out *buffers.Chain) (*traffic.EngineReply, error) {
	c := cursor{buf: e.unread}
	parsed := 0 // bytes of the tokens that have been parsed whole
	dropParsed := func() {
		if parsed > 0 {
			e.unread = e.unread[:copy(e.unread, e.unread[parsed:])]
		}
	}
	for parsed < len(e.unread) {
		reply, err := e.readToken(&c)
		if c.err == errIncomplete { //nolint:errorlint
			if e.complete {
				return nil, fmt.Errorf("%w: a response that ends within a token", ErrProtocol)
			}
			break
		}
		if c.err != nil {
			return nil, c.err
		}
		if err != nil {
			return nil, err
		}
		parsed = c.offset
		if reply != nil {
			dropParsed()
			return reply, nil
		}
	}
	dropParsed()
	if e.complete && len(e.unread) == 0 {
		if e.complete = false; cap(e.unread) > maxPacketSize {
			e.unread = nil
		}
		return e.endResponse()
	}
	if e.unsent.Len() > 0 { // pass on the received rows instead of waiting for more
		return e.takeRows(), nil
	}
	return nil, nil
}

// takeRows returns the unsent rows as a reply, with their columns if it is the result set's first.
func (e *Engine) takeRows() *traffic.EngineReply {
	part := e.unsent
	e.unsent = rows.Part{}
	if e.columnsUnsent {
		part.Columns, e.columnsUnsent = e.resultColumns, false
	}
	part.Encoding, e.rowsSent = rows.Values, true
	return &traffic.EngineReply{ID: e.requestID, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1, Rows: part}
}

// readToken parses one token and updates the state. A parse error is left in c.err; errIncomplete means that the token
// has not been received whole and that the state is unchanged.
func (e *Engine) readToken(c *cursor) (*traffic.EngineReply, error) {
	e.endsInDone = false
	switch kind := c.u8(); kind {
	case tokenColMetadata:
		columns := c.colMetadata()
		if c.err != nil {
			return nil, nil
		}
		e.mayHaveRun = true
		if e.phase != running || e.isProbe {
			e.columns = columns
			return nil, nil
		}
		var previous *traffic.EngineReply // the rest of the previous result set
		if e.unsent.Len() > 0 || e.columnsUnsent && e.resultColumns != nil {
			previous = e.takeRows()
		}
		e.columns, e.columnsUnsent = columns, len(columns) > 0
		e.resultColumns = make([]rows.Column, len(columns))
		for i, column := range columns {
			e.resultColumns[i] = rows.Column{Name: column.name, Type: column.Type}
		}
		return previous, nil
	case tokenRow, tokenNBCRow:
		if len(e.columns) == 0 {
			c.fail("a row without COLMETADATA")
			return nil, nil
		}
		return e.readRow(c, kind == tokenNBCRow), nil
	case tokenDone, tokenDoneProc, tokenDoneInProc:
		done := c.done(kind)
		if c.err != nil {
			return nil, nil
		}
		e.mayHaveRun = e.mayHaveRun || done.showsExecution()
		e.endsInDone = done.endsResponse()
		if e.phase == running && !e.isProbe && done.status&doneCount != 0 && e.columns == nil && done.count > 0 && done.count <= math.MaxInt32 {
			e.rowsSent = true
			return &traffic.EngineReply{ID: e.requestID, Kind: traffic.ReplyRows, Pages: -1, Page: -1, Work: -1, Memory: -1,
				Rows: rows.Part{Encoding: rows.Values, Count: int(done.count)}}, nil
		}
		if done.status&doneError != 0 && e.firstError == nil {
			e.firstError = &Message{Text: "the engine reported an error without an ERROR token"}
		}
		if e.phase == attentionSent && done.status&doneAttention != 0 {
			e.acknowledged = true // the response must end here
		}
		e.columns = nil
	case tokenError:
		m := c.readMessage()
		if c.err != nil {
			return nil, nil
		}
		e.mayHaveRun = e.mayHaveRun || !slices.Contains(e.config.RejectionNumbers, m.Number)
		if e.firstError == nil {
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
			c.fail("the engine speaks TDS version %x", v)
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
		e.mayHaveRun = e.mayHaveRun || c.err == nil
	case tokenReturnValue:
		c.u16()
		c.bVarChar()
		c.take(1 + 4 + 2)
		info := c.typeInfo()
		c.value(&info, &e.scratch)
		e.mayHaveRun = e.mayHaveRun || c.err == nil
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
			c.fail("unknown token %#x", kind)
		}
	}
	return nil, nil
}

// readRow parses a row; hasNullBitmap is set for an NBCROW. A row that has not been received whole changes nothing. It is
// converted again only once all of it is there: with each packet that would cost the square of its size.
func (e *Engine) readRow(c *cursor, hasNullBitmap bool) *traffic.EngineReply {
	var nullBitmap []byte
	if hasNullBitmap {
		nullBitmap = c.take((len(e.columns) + 7) / 8)
	}
	if e.cutShort != nil && !e.cutShort.isWhole(*c, e.columns, nullBitmap) {
		c.err = errIncomplete
		return nil
	}
	reply := e.convertRow(c, nullBitmap)
	e.cutShort = nil
	if c.err == errIncomplete { //nolint:errorlint
		e.cutShort = &cutShortRow{}
	}
	return reply
}

// convertRow parses the values of a row and adds it to the unsent rows.
func (e *Engine) convertRow(c *cursor, nullBitmap []byte) *traffic.EngineReply {
	if e.phase != running || e.isProbe {
		e.skipRow(c, nullBitmap)
		return nil
	}
	data, lengthBefore := e.unsent.Data, e.unsent.Len()
	if data == nil {
		data = e.config.Pool.Chain()
	}
	for i := range e.columns {
		var v []byte
		if !isNull(nullBitmap, i) {
			v = c.value(&e.columns[i].typeInfo, &e.scratch)
		}
		if c.err != nil {
			data.Truncate(lengthBefore)
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

// isWhole reports whether all of the row has been received by now, or so much that it can't be one. c stands behind its null
// bitmap.
func (r *cutShortRow) isWhole(c cursor, columns []column, nullBitmap []byte) bool {
	start := c.offset
	c.offset += r.size
	for r.columns < len(columns) {
		if !isNull(nullBitmap, r.columns) {
			c.skipValue(&columns[r.columns].typeInfo)
		}
		if c.err != nil {
			return c.err != errIncomplete //nolint:errorlint
		}
		r.columns++
		r.size = c.offset - start
	}
	return true
}

// isNull reports whether the bitmap of a row says that a column is NULL. A row without a bitmap has nil.
func isNull(nullBitmap []byte, column int) bool {
	return nullBitmap != nil && nullBitmap[column/8]&(1<<(column%8)) != 0
}

// skipRow parses and discards a row, except that the first row of a probe becomes its load report.
func (e *Engine) skipRow(c *cursor, nullBitmap []byte) {
	var report *brain.Report
	if e.isProbe && e.phase == running && e.loadReport == nil && e.config.LoadQuery != "" {
		report = settings.EmptyReport()
	}
	for i := range e.columns {
		if isNull(nullBitmap, i) {
			continue
		}
		v := c.value(&e.columns[i].typeInfo, &e.scratch)
		if c.err != nil {
			return
		}
		if report != nil && v != nil {
			if text, err := rows.Format(e.columns[i].Type, v); err == nil {
				if f, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
					settings.SetReportField(report, strings.ToLower(e.columns[i].name), f)
				}
			}
		}
	}
	if report != nil {
		e.loadReport = report
	}
}

// endResponse handles the end of a response and returns the reply that it amounts to; nil: none.
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
			return nil, fmt.Errorf("%w: the engine did not acknowledge the login", traffic.ErrLogin)
		}
		if e.negotiatedSize > 0 {
			e.packetSize = e.negotiatedSize
		}
		e.phase, e.acknowledged = idle, false
		reply.Kind = traffic.ReplyReady
		return reply, nil
	case attentionSent: // a response that was already on its way ends without the acknowledgement; wait for the next
		if !e.acknowledged {
			return nil, nil
		}
		e.phase, e.acknowledged = idle, false
		reply.Kind = traffic.ReplyReleased
		return reply, nil
	case running:
		if !e.endsInDone {
			return e.endIncompleteResponse(reply), nil
		}
		if e.unsent.Len() > 0 || e.columnsUnsent {
			if failed == nil || e.rowsSent {
				e.complete = true // the next Read calls endResponse again
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
		case !e.mayHaveRun && slices.Contains(e.config.RejectionNumbers, failed.Number):
			reply.Kind, reply.Reason = traffic.ReplyOverloaded, failed.Error()
		default:
			reply.Kind, reply.Reason = traffic.ReplyFailed, failed.Error()
		}
		return reply, nil
	}
	return nil, fmt.Errorf("%w: a response without a request", ErrProtocol)
}

// endIncompleteResponse fills in the reply to a request whose response was cut short: its message has ended, but rows or
// errors may be missing. What it holds is no outcome, neither a result nor a proof that the request has not run.
func (e *Engine) endIncompleteResponse(reply *traffic.EngineReply) *traffic.EngineReply {
	e.discardRows()
	e.phase = idle
	reply.Kind, reply.Reason = traffic.ReplyComplete, "the engine's response was cut short"
	if e.isProbe {
		reply.Kind = traffic.ReplyUnhealthy
	}
	reply.Invalid = "a response without its final DONE"
	return reply
}
