package tds

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/statement"
	"pitchfield/internal/traffic"
)

// Server is what the sessions of one listener share.
type Server struct {
	Pool *buffers.Pool
	Name string // of the server, as clients see it
	// Admit checks a login and gives the client it counts as. It may take long and runs beside the loop.
	Authenticate func(user, password string) (client string, err error)
	// Rules gives those in force.
	Rules func() *assign.Rules
	// Databases that a session may use; none: any.
	Databases []string

	spare []byte
}

// Protocol is what the core must know of TDS clients. Idle is in seconds.
func (f *Server) Protocol(idle float64) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "tds", IdleTimeout: idle, MaxOpenBatches: 1, Stream: true,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsValues(f.Pool, parts) },
		New:           func() traffic.Client { return f.NewSession() }}
}

// NewSession gives the state of a new connection.
func (f *Server) NewSession() *Session {
	return &Session{server: f, out: writer{packetType: packetTabularResult, packetSize: defaultPacketSize, spare: &f.spare}}
}

type state uint8

const (
	expectPrelogin state = iota
	expectLogin
	authenticating // the login, beside the loop
	ready
	closed
)

// What a session may hold; beyond, it is told so.
const (
	maxSettings     = 64
	maxSettingBytes = 4 << 10
	maxHandles      = 256
	maxHandleBytes  = 128 << 10
)

// Session is a connection of a client.
type Session struct {
	server             *Server
	state              state
	requiresEncryption bool // on encryption

	messageType, messageStatus byte // of the message that is coming
	message                    []byte
	oversized                  bool // it is too large, and dropped

	login       login
	client      string
	database    string           // that USE chose
	settings    []sessionSetting // in order
	handles     map[int32]preparedStatement
	handleBytes int // bytes of handles
	lastHandle  int32

	stream              uint32 // the last batch's
	pending             bool   // it has no answer yet
	resetUnacknowledged bool   // the answer says so
	response            response
	out                 writer
}

// preparedStatement is a statement that a handle stands for.
type preparedStatement struct{ text, declaration string }

// response is the answer that is being written.
type response struct {
	isRPC    bool
	handle   int32 // to be returned; 0: none
	columns  []rows.Column
	rowCount uint64
}

// HasPartial tells whether part of a message is there.
func (s *Session) HasPartial() bool { return s.message != nil }

// Read gives the next thing said.
func (s *Session) Read(in, owed *buffers.Chain) (traffic.ClientMessage, error) {
	for s.state != authenticating && s.state != closed {
		p, ok, err := peekPacket(in)
		if err != nil || !ok {
			return nil, err
		}
		if p.packetType == packetAttention {
			in.Discard(p.size)
			s.message, s.oversized = nil, false // of which it was given up
			if said := s.attention(owed); said != nil {
				return said, nil
			}
			continue
		}
		if s.pending {
			return nil, fmt.Errorf("%w: a request before the one before is answered", ErrProtocol)
		}
		if s.message == nil {
			s.messageType, s.messageStatus, s.message = p.packetType, p.status, []byte{}
		}
		if p.packetType != s.messageType {
			return nil, fmt.Errorf("%w: a packet of type %d in a message of type %d", ErrProtocol, p.packetType, s.messageType)
		}
		if s.oversized = s.oversized || len(s.message)+p.size > maxMessageSize; s.oversized {
			in.Discard(p.size)
		} else {
			s.message = p.appendPayload(in, s.message)
		}
		if p.status&statusEOM == 0 {
			continue
		}
		message, large := s.message, s.oversized
		s.message, s.oversized = nil, false
		if p.status&statusIgnore != 0 {
			s.respond(owed, func(b []byte) []byte { return appendDone(b, tokenDone, doneError, 0) })
			return traffic.HandledLocally{}, nil
		}
		if said, err := s.handleMessage(message, large, owed); said != nil || err != nil {
			return said, err
		}
	}
	return nil, nil
}

// attention: what is open is given up, and the client waits for this DONE. It comes too where the answer crossed it.
func (s *Session) attention(owed *buffers.Chain) traffic.ClientMessage {
	if s.state != ready {
		return nil
	}
	var said traffic.ClientMessage = traffic.HandledLocally{}
	if s.pending {
		said = traffic.Cancel{Stream: s.stream}
	}
	s.pending, s.response = false, response{}
	s.out.buf = appendDone(s.out.buf, tokenDone, doneAttention, 0)
	s.out.endMessage(owed)
	return said
}

// respond writes an answer of the session's own.
func (s *Session) respond(owed *buffers.Chain, fill func([]byte) []byte) {
	s.beginResponse()
	s.out.buf = fill(s.out.buf)
	s.out.endMessage(owed)
}

// beginResponse starts an answer.
func (s *Session) beginResponse() {
	s.out.beginMessage()
	if s.resetUnacknowledged {
		s.resetUnacknowledged = false
		s.out.buf = append(s.out.buf, tokenEnvChange, 3, 0, envResetConnection, 0, 0)
	}
}

// sendError tells of an error; the session goes on.
func (s *Session) sendError(owed *buffers.Chain, m Message) traffic.ClientMessage {
	s.respond(owed, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.server.Name), s.finalDoneToken(), doneError, 0)
	})
	s.response = response{}
	return traffic.HandledLocally{}
}

func (s *Session) finalDoneToken() byte {
	if s.response.isRPC {
		return tokenDoneProc
	}
	return tokenDone
}

// sendFatalError tells of an error and ends the session.
func (s *Session) sendFatalError(owed *buffers.Chain, m Message) (traffic.ClientMessage, error) {
	s.respond(owed, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.server.Name), tokenDone, doneError, 0)
	})
	s.state = closed
	return nil, m
}

// handleMessage takes a message.
func (s *Session) handleMessage(b []byte, large bool, owed *buffers.Chain) (traffic.ClientMessage, error) {
	switch s.state {
	case expectPrelogin:
		if s.messageType != packetPrelogin || large {
			return nil, errLoginExpected
		}
		p, err := parsePrelogin(b)
		if err != nil {
			return nil, err
		}
		s.requiresEncryption = p.encryption == encryptOn || p.encryption == encryptRequired
		s.state = expectLogin
		writeMessage(owed, packetTabularResult, 0, defaultPacketSize, appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
		return nil, nil
	case expectLogin:
		if s.messageType == packetPrelogin || s.messageType == packetLogin7 && s.requiresEncryption { // a handshake of TLS, or a login in spite of the answer
			return s.sendFatalError(owed, errEncryptionUnsupported)
		}
		if s.messageType == packetSSPI {
			return s.sendFatalError(owed, errLoginMethod)
		}
		if s.messageType != packetLogin7 || large {
			return nil, errLoginExpected
		}
		return s.handleLogin(b, owed)
	}
	s.response = response{}
	if s.messageStatus&(statusResetConnection|statusResetKeepTran) != 0 {
		s.reset()
	}
	if large {
		return s.sendError(owed, unsupportedError(fmt.Sprintf("a statement of more than %d bytes", maxMessageSize))), nil
	}
	switch s.messageType {
	case packetBatch:
		text, err := parseBatch(b)
		if err != nil {
			return nil, err
		}
		return s.handleBatch(text, owed), nil
	case packetRPC:
		s.response.isRPC = true
		c, err := parseRPC(b)
		said, err := s.unlessRefused(err, owed, func() (traffic.ClientMessage, error) { return s.handleRPC(c, owed) })
		return said, err
	case packetTransactionManager:
		return s.sendError(owed, unsupportedError("transactions")), nil
	case packetBulkLoad:
		return s.sendError(owed, unsupportedError("bulk load")), nil
	}
	return nil, fmt.Errorf("%w: a message of type %d after the login", ErrProtocol, s.messageType)
}

// unlessRefused goes on unless there is an error. A refusal is told, and the session goes on.
func (s *Session) unlessRefused(err error, owed *buffers.Chain, next func() (traffic.ClientMessage, error)) (traffic.ClientMessage, error) {
	var said traffic.ClientMessage
	if err == nil {
		said, err = next()
	}
	var no requestError
	if errors.As(err, &no) {
		return s.sendError(owed, no.Message), nil
	}
	return said, err
}

// handleLogin checks a login, which takes long by purpose, beside the loop.
func (s *Session) handleLogin(b []byte, owed *buffers.Chain) (traffic.ClientMessage, error) {
	l, err := parseLogin(b)
	if err != nil {
		return nil, err
	}
	if l.version < 0x72000000 {
		return s.sendFatalError(owed, errOldVersion)
	}
	if l.integrated || l.federated {
		return s.sendFatalError(owed, errLoginMethod)
	}
	if !s.databaseAllowed(l.database) {
		return s.sendFatalError(owed, Message{4060, 1, 11, fmt.Sprintf("Cannot open database %.60q requested by the login.", l.database)})
	}
	s.state = authenticating
	var client string
	return &traffic.Verify{
		Run: func() (err error) {
			client, err = s.server.Authenticate(l.user, l.password)
			return err
		},
		Done: func(err error, owed *buffers.Chain) (traffic.ClientMessage, error) {
			l.password = ""
			if err != nil {
				m := errLoginFailed
				m.Text = fmt.Sprintf("Login failed for user %.60q.", l.user)
				return s.sendFatalError(owed, m)
			}
			s.login, s.client, s.state = l, client, ready
			size := negotiatePacketSize(l.packetSize)
			s.respond(owed, func(b []byte) []byte { return appendLoginAck(b, l, s.server.Name, size) })
			s.out.packetSize = size // from the next message on
			return traffic.Hello{Name: l.user + " with " + l.appName}, nil
		}}, nil
}

func (s *Session) databaseAllowed(base string) bool {
	if base == "" || len(s.server.Databases) == 0 {
		return true
	}
	for _, d := range s.server.Databases {
		if strings.EqualFold(d, base) {
			return true
		}
	}
	return false
}

// reset brings the session back to what it was after the login.
func (s *Session) reset() {
	s.database, s.settings, s.handles, s.handleBytes, s.resetUnacknowledged = "", nil, nil, 0, true
}

// currentDatabase is the one that a statement's names stand in.
func (s *Session) currentDatabase() string {
	if s.database != "" {
		return s.database
	}
	return s.login.database
}

// handleBatch takes a SQLBatch.
func (s *Session) handleBatch(text string, owed *buffers.Chain) traffic.ClientMessage {
	all := statement.Tokenize(text)
	if why := unsupportedFeature(all); why != "" {
		return s.sendError(owed, unsupportedError(why))
	}
	before := s.settingsPrefix()
	set, only := leadingSettings(all, text)
	if m, ok := s.saveSettings(set); !ok {
		return s.sendError(owed, m)
	}
	if only {
		s.respond(owed, func(b []byte) []byte {
			for _, one := range set {
				if one.database != "" {
					b = appendEnvChange(b, envDatabase, one.database, s.login.database)
					b = appendMessage(b, tokenInfo, Message{5701, 2, 0, "Changed database context to '" + one.database + "'."}, s.server.Name)
				}
			}
			return appendDone(b, tokenDone, 0, 0)
		})
		return traffic.HandledLocally{}
	}
	if value, ok := s.serverValues(all); ok {
		s.sendServerValues(owed, value)
		return traffic.HandledLocally{}
	}
	return s.submit(text, all, before, nil, owed)
}

// saveSettings keeps what a session has set, the last of each.
func (s *Session) saveSettings(set []sessionSetting) (Message, bool) {
	for _, one := range set {
		if one.database != "" {
			if !s.databaseAllowed(one.database) {
				return Message{911, 1, 16, fmt.Sprintf("Database %.60q does not exist.", one.database)}, false
			}
			s.database = one.database
			continue
		}
		kept, size := s.settings[:0], len(one.text)
		for _, old := range s.settings {
			if old.key != one.key {
				kept, size = append(kept, old), size+len(old.text)
			}
		}
		if len(kept) >= maxSettings || size > maxSettingBytes {
			return unsupportedError("so many SET options of one session"), false
		}
		s.settings = append(kept, one)
	}
	return Message{}, true
}

// settingsPrefix is what the session's settings are to an engine.
func (s *Session) settingsPrefix() string {
	var out strings.Builder
	if s.database != "" {
		out.WriteString("USE [" + strings.ReplaceAll(s.database, "]", "]]") + "]; ")
	}
	for _, one := range s.settings {
		out.WriteString(one.text + "; ")
	}
	return out.String()
}

// submit makes a batch of a statement.
func (s *Session) submit(text string, all []statement.Token, ahead string, parameters []rows.Parameter, owed *buffers.Chain) traffic.ClientMessage {
	ask := &traffic.BatchRequest{Stream: s.stream + 1}
	b := &ask.Batch
	b.Client, b.SessionSetup, b.Parameters = s.client, ahead, parameters
	b.Login, b.Application = s.login.user, s.login.appName
	if s.database == "" {
		b.Database = s.login.database
	}
	about := assign.StatementInfo{Login: s.login.user, Application: s.login.appName, Database: s.currentDatabase()}
	if len(all) > 0 {
		about.Command = strings.ToLower(all[0].Text)
	}
	if err := s.server.Rules().Assign(about, text, b); err != nil {
		return s.sendError(owed, Message{50404, 1, 16, "pitchfield: " + err.Error() + "."})
	}
	b.NoIdempotencyKey = b.IdempotencyKey == ""
	b.Text = s.server.Pool.Chain()
	b.Text.WriteString(text)
	s.stream++
	s.pending = true
	return ask
}

// handleRPC takes an RPC.
func (s *Session) handleRPC(c rpcRequest, owed *buffers.Chain) (traffic.ClientMessage, error) {
	text := func(i int) (string, error) {
		if i >= len(c.parameters) || c.parameters[i].Kind != rows.Text {
			return "", requestError{Message{214, 2, 16, "A procedure lacks a parameter of text."}}
		}
		return string(c.parameters[i].Value), nil
	}
	run := func(p preparedStatement, values []parameter) (traffic.ClientMessage, error) {
		parameters, err := nameParameters(p.declaration, values)
		if err != nil {
			return nil, err
		}
		all := statement.Tokenize(p.text)
		if why := unsupportedFeature(all); why != "" {
			return nil, requestError{unsupportedError(why)}
		}
		return s.submit(p.text, all, s.settingsPrefix(), parameters, owed), nil
	}
	statementAt := func(i, declaration int) (p preparedStatement, err error) {
		if p.text, err = text(i); err == nil && declaration < len(c.parameters) && !c.parameters[declaration].Null {
			p.declaration, err = text(declaration)
		}
		return p, err
	}
	switch c.procID {
	case procExecuteSQL:
		p, err := statementAt(0, 1)
		if err != nil {
			return nil, err
		}
		return run(p, c.parameters[min(2, len(c.parameters)):])
	case procPrepare, procPrepExec:
		p, err := statementAt(2, 1)
		if err != nil {
			return nil, err
		}
		handle, err := s.prepare(p)
		if err != nil {
			return nil, err
		}
		s.response.handle = handle
		if c.procID == procPrepExec {
			return run(p, c.parameters[3:])
		}
		s.beginResponse()
		s.finishResponse(owed)
		return traffic.HandledLocally{}, nil
	case procExecute, procUnprepare:
		handle, ok := int32(0), false
		if len(c.parameters) > 0 && c.parameters[0].Kind == rows.Int32 && len(c.parameters[0].Value) == 4 {
			v := c.parameters[0].Value
			handle, ok = int32(uint32(v[0])|uint32(v[1])<<8|uint32(v[2])<<16|uint32(v[3])<<24), true
		}
		p, there := s.handles[handle]
		if !ok || !there {
			return nil, requestError{Message{8179, 2, 16, fmt.Sprintf("Could not find prepared statement with handle %d.", handle)}}
		}
		if c.procID == procExecute {
			return run(p, c.parameters[1:])
		}
		delete(s.handles, handle)
		s.handleBytes -= len(p.text) + len(p.declaration)
		s.beginResponse()
		s.finishResponse(owed)
		return traffic.HandledLocally{}, nil
	case 0:
		return s.handleNamedProcedure(c, owed)
	}
	if c.procID <= 9 {
		return nil, requestError{unsupportedError("server cursors")}
	}
	return nil, requestError{unsupportedError(fmt.Sprintf("the procedure with number %d", c.procID))}
}

// prepare keeps a statement under a new handle.
func (s *Session) prepare(p preparedStatement) (int32, error) {
	size := len(p.text) + len(p.declaration)
	if len(s.handles) >= maxHandles || s.handleBytes+size > maxHandleBytes || s.lastHandle == math.MaxInt32 {
		return 0, requestError{unsupportedError("so many prepared statements of one session")}
	}
	if s.handles == nil {
		s.handles = map[int32]preparedStatement{}
	}
	s.lastHandle++
	s.handles[s.lastHandle] = p
	s.handleBytes += size
	return s.lastHandle, nil
}

// handleNamedProcedure turns a call by name to a statement; its values stand in it as literals.
func (s *Session) handleNamedProcedure(c rpcRequest, owed *buffers.Chain) (traffic.ClientMessage, error) {
	if c.name == "" || strings.ContainsFunc(c.name, func(r rune) bool { return !isNameRune(r) && !strings.ContainsRune(".[] ", r) }) {
		return nil, requestError{Message{2812, 62, 16, fmt.Sprintf("%.60q is not the name of a procedure.", c.name)}}
	}
	text := "EXEC " + c.name
	for i, p := range c.parameters {
		literal, err := rows.Literal(p.Parameter)
		switch {
		case p.output:
			return nil, requestError{unsupportedError("a parameter that returns a value")}
		case err != nil:
			return nil, requestError{Message{8114, 5, 16, err.Error()}}
		case strings.ContainsFunc(p.Name, func(r rune) bool { return !isNameRune(r) && r != '@' }):
			return nil, requestError{Message{8145, 1, 16, fmt.Sprintf("%.40q is not the name of a parameter.", p.Name)}}
		case p.Name != "":
			literal = p.Name + "=" + literal
		}
		if i > 0 {
			text += ","
		}
		text += " " + literal
	}
	return s.submit(text, statement.Tokenize(text), s.settingsPrefix(), nil, owed), nil
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '$' || r == '#' || r >= 0x80
}

// Encode writes what the client is told.
func (s *Session) Encode(out *buffers.Chain, what traffic.ClientReply) {
	switch w := what.(type) {
	case *traffic.Rows:
		if s.pending && w.Stream == s.stream {
			s.writeRows(out, w.Part)
		}
	case *traffic.Answer:
		if !s.pending || w.Stream != s.stream {
			return
		}
		s.pending = false
		if w.Code == traffic.Succeeded {
			for _, p := range w.Rows {
				s.writeRows(out, p)
			}
			if len(w.Rows) == 0 && s.response.columns == nil {
				s.beginResponse()
			}
			s.finishResponse(out)
			return
		}
		s.beginResponse()
		s.out.buf = appendDone(appendMessage(s.out.buf, tokenError, failureMessage(w), s.server.Name), s.finalDoneToken(), doneError, 0)
		s.out.endMessage(out)
		s.response = response{}
	case traffic.ConnectionError:
		if s.state != closed {
			s.state = closed
			s.out.buf = appendMessage(s.out.buf, tokenError, Message{50500, 1, 20, "pitchfield: " + w.Reason + "."}, s.server.Name)
			s.out.buf = appendDone(s.out.buf, tokenDone, doneError|doneServerError, 0)
			s.out.endMessage(out)
		}
	}
}

// Numbers of the errors that a batch ends with. Drivers hold the first for transient and ask again.
const (
	ErrorNumberRejected = 40501
	ErrorNumberFailed   = 50510
)

// failureMessage words an ending. A pushback is a promise; an error is none.
func failureMessage(a *traffic.Answer) Message {
	if a.Code == traffic.Rejected {
		m := Message{ErrorNumberRejected, 1, 16, "The service is currently busy: the batch is pushed back, and to ask again is harmless."}
		if a.RetryAfter > 0 {
			m.Text += fmt.Sprintf(" Retry the request after %d ms.", int(math.Ceil(a.RetryAfter*1000)))
		}
		return m
	}
	m := Message{ErrorNumberFailed, 1, 16, "pitchfield: the batch is errored, and whether it has run is not known."}
	if a.Reason != "" {
		m.Text += " " + a.Reason
	}
	return m
}

// writeRows writes rows. What does not fill a packet waits for more.
func (s *Session) writeRows(out *buffers.Chain, p rows.Part) {
	if p.Columns != nil {
		s.endResult(doneMore)
		s.beginResponse()
		s.response.columns, s.response.rowCount = p.Columns, 0
		s.out.buf = appendColMetadata(s.out.buf, p.Columns)
	} else if p.Data == nil && p.Count > 0 && s.response.columns == nil { // of rows that were changed
		s.out.buf = appendDone(s.out.buf, s.innerDoneToken(), doneMore|doneCount, uint64(p.Count))
		return
	}
	// What does not fit its columns was found when it was taken in.
	_ = rows.Each(p, len(s.response.columns), func(row [][]byte) error {
		s.out.buf = appendRow(s.out.buf, s.response.columns, row)
		s.response.rowCount++
		if len(s.out.buf) > s.out.packetSize {
			s.out.flushFull(out)
		}
		return nil
	})
}

func (s *Session) innerDoneToken() byte {
	if s.response.isRPC {
		return tokenDoneInProc
	}
	return tokenDone
}

// endResult ends a result of an answer that goes on.
func (s *Session) endResult(status int) {
	if s.response.columns != nil {
		s.out.buf = appendDone(s.out.buf, s.innerDoneToken(), status|doneCount, s.response.rowCount)
		s.response.columns = nil
	}
}

// finishResponse ends an answer that is whole.
func (s *Session) finishResponse(out *buffers.Chain) {
	switch {
	case s.response.isRPC:
		s.endResult(doneMore)
		s.out.buf = appendU32(append(s.out.buf, tokenReturnStatus), 0)
		if s.response.handle != 0 {
			s.out.buf = append(appendU16(append(s.out.buf, tokenReturnValue), 0), 0, 1, 0, 0, 0, 0, 0, 0)
			t := rows.Type{Kind: rows.Int32}
			s.out.buf = appendValue(appendType(s.out.buf, t), t, appendU32(nil, uint32(s.response.handle)))
		}
		s.out.buf = appendDone(s.out.buf, tokenDoneProc, 0, 0)
	case s.response.columns != nil:
		s.endResult(0)
	default:
		s.out.buf = appendDone(s.out.buf, tokenDone, 0, 0)
	}
	s.out.endMessage(out)
	s.response = response{}
}
