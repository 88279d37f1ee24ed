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

// Server holds what all client sessions of one listener share.
type Server struct {
	Pool *buffers.Pool
	Name string // server name that clients see
	// Authenticate checks a login and returns the name of the client that its batches are counted under. It may take
	// long and runs outside the event loop.
	Authenticate func(user, password string) (client string, err error)
	// Rules returns the assignment rules in force.
	Rules func() *assign.Rules
	// Databases that a session may use; empty: any.
	Databases []string

	spare []byte // output buffer that sessions of the listener pass on to each other
}

// Protocol describes TDS clients to the router core. An idle connection is closed after idle seconds.
func (srv *Server) Protocol(idle float64) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "tds", IdleTimeout: idle, MaxOpenBatches: 1, Stream: true,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsValues(srv.Pool, parts) },
		New:           func() traffic.Client { return srv.NewSession() }}
}

// NewSession returns the protocol state of a new client connection.
func (srv *Server) NewSession() *Session {
	return &Session{server: srv, out: writer{packetType: packetTabularResult, packetSize: defaultPacketSize, spare: &srv.spare}}
}

// state is the state of a client session.
type state uint8

const (
	expectPrelogin state = iota
	expectLogin
	authenticating // the login is being checked outside the event loop
	ready
	closed
)

// Limits on the state of one session. Exceeding one is answered with an error; the session stays open.
const (
	maxSettings     = 64        // SET options
	maxSettingBytes = 4 << 10   // total text of the SET statements
	maxHandles      = 256       // prepared statements
	maxHandleBytes  = 128 << 10 // total text of the prepared statements
	maxDatabaseName = 128       // UTF-16 units; the longest identifier of SQL Server
)

// Session is the protocol state of one client connection. It does no I/O and is not safe for concurrent use.
type Session struct {
	server             *Server
	state              state
	requiresEncryption bool // the client's PRELOGIN demands encryption

	incoming incomingMessage // the message that is being received

	login       login
	client      string           // returned by Server.Authenticate
	database    string           // set by USE; empty: the login's database
	settings    []sessionSetting // SET statements in the order in which they were made
	handles     map[int32]preparedStatement
	handleBytes int // total text of handles, in bytes
	lastHandle  int32

	stream              uint32 // number of the last batch
	pending             bool   // the last batch has not been answered yet
	resetUnacknowledged bool   // the next response must report the connection reset
	response            response
	out                 writer
}

// preparedStatement is a statement that is run with values for its parameters, one or many times.
type preparedStatement struct {
	text        string
	declaration string // of its parameters
	unsupported string // the feature in text that is not supported; empty: none
}

// HasPartial reports whether part of a message has been received.
func (s *Session) HasPartial() bool { return s.incoming.hasBegun() }

// PartialSize returns the number of bytes that the incomplete message takes.
func (s *Session) PartialSize(in *buffers.Chain) int { return s.incoming.payload.Len() + in.Len() }

// DropPartial releases the incomplete message and has the rest of it discarded as it arrives. It returns false while a login is
// being checked, since what follows the login is not read before that.
func (s *Session) DropPartial(in *buffers.Chain) bool {
	if s.state == authenticating || s.state == closed {
		return false
	}
	s.incoming.drop(in)
	return true
}

// Read parses the next client message from in and returns its event, or nil if no whole message is there. Responses that
// the session gives by itself are written to out. After an error nothing more can be read.
func (s *Session) Read(in, out *buffers.Chain) (traffic.ClientMessage, error) {
	for s.state != authenticating && s.state != closed {
		p, ok, err := s.incoming.nextPacket(in)
		if err != nil || !ok {
			return nil, err
		}
		if p.packetType == packetAttention {
			in.Discard(p.size)
			s.incoming.end() // an Attention cancels a partly sent message
			if event := s.attention(out); event != nil {
				return event, nil
			}
			continue
		}
		if s.pending {
			return nil, fmt.Errorf("%w: a request before the one before is answered", ErrProtocol)
		}
		if err := s.incoming.add(p, in, s.server.Pool); err != nil {
			return nil, err
		}
		if p.status&statusEOM == 0 {
			continue
		}
		m := s.incoming.end()
		if p.status&statusIgnore != 0 {
			s.respond(out, func(b []byte) []byte { return appendDone(b, tokenDone, doneError, 0) })
			return traffic.HandledLocally{}, nil
		}
		if event, err := s.handleMessage(m, out); event != nil || err != nil {
			return event, err
		}
	}
	return nil, nil
}

// attention cancels the pending batch and acknowledges the Attention. The client waits for this DONE, so it is also sent
// if the batch's response was already on its way when the client cancelled.
func (s *Session) attention(out *buffers.Chain) traffic.ClientMessage {
	if s.state != ready {
		return nil
	}
	var event traffic.ClientMessage = traffic.HandledLocally{}
	if s.pending {
		event = traffic.Cancel{Stream: s.stream}
	}
	s.pending, s.response = false, response{}
	s.out.buf = appendDone(s.out.buf, tokenDone, doneAttention, 0)
	s.out.endMessage(out)
	return event
}

// handleMessage processes a whole client message according to the session's state.
func (s *Session) handleMessage(m message, out *buffers.Chain) (traffic.ClientMessage, error) {
	switch s.state {
	case expectPrelogin:
		if m.packetType != packetPrelogin || m.problem != messageIntact {
			return nil, errLoginExpected
		}
		p, err := parsePrelogin(m.payload)
		if err != nil {
			return nil, err
		}
		s.requiresEncryption = p.encryption == encryptOn || p.encryption == encryptRequired
		s.state = expectLogin
		writeMessage(out, packetTabularResult, 0, defaultPacketSize, appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
		return nil, nil
	case expectLogin:
		if m.packetType == packetPrelogin || m.packetType == packetLogin7 && s.requiresEncryption { // a TLS handshake, or a login although encryption was refused
			return s.sendFatalError(out, errEncryptionUnsupported)
		}
		if m.packetType == packetSSPI {
			return s.sendFatalError(out, errLoginMethod)
		}
		if m.packetType != packetLogin7 || m.problem != messageIntact {
			return nil, errLoginExpected
		}
		return s.handleLogin(m.payload, out)
	}
	s.response = response{}
	if m.status&(statusResetConnection|statusResetKeepTran) != 0 {
		s.reset()
	}
	switch m.problem {
	case messageOversized:
		return s.sendError(out, unsupportedError(fmt.Sprintf("a statement of more than %d bytes", maxMessageSize))), nil
	case messageDropped:
		return s.sendError(out, failureMessage(&traffic.Answer{Code: traffic.Rejected})), nil
	}
	switch m.packetType {
	case packetBatch:
		text, err := parseBatch(m.payload)
		if err != nil {
			return nil, err
		}
		return s.handleBatch(text, out), nil
	case packetRPC:
		s.response.isRPC = true
		request, err := parseRPC(m.payload)
		event, err := s.unlessRefused(err, out, func() (traffic.ClientMessage, error) { return s.handleRPC(request, out) })
		return event, err
	case packetTransactionManager:
		return s.sendError(out, unsupportedError("transactions")), nil
	case packetBulkLoad:
		return s.sendError(out, unsupportedError("bulk load")), nil
	}
	return nil, fmt.Errorf("%w: a message of type %d after the login", ErrProtocol, m.packetType)
}

// unlessRefused calls next unless err is set. A requestError, from either, is sent to the client and the session stays
// open; any other error is returned.
func (s *Session) unlessRefused(err error, out *buffers.Chain, next func() (traffic.ClientMessage, error)) (traffic.ClientMessage, error) {
	var event traffic.ClientMessage
	if err == nil {
		event, err = next()
	}
	var refused requestError
	if errors.As(err, &refused) {
		return s.sendError(out, refused.Message), nil
	}
	return event, err
}

// handleLogin parses a LOGIN7 and has its password checked outside the event loop, since password hashing is slow by
// design.
func (s *Session) handleLogin(b []byte, out *buffers.Chain) (traffic.ClientMessage, error) {
	l, err := parseLogin(b)
	if err != nil {
		return nil, err
	}
	if l.version < 0x72000000 {
		return s.sendFatalError(out, errOldVersion)
	}
	if l.integrated || l.federated {
		return s.sendFatalError(out, errLoginMethod)
	}
	if !s.databaseAllowed(l.database) {
		return s.sendFatalError(out, Message{4060, 1, 11, fmt.Sprintf("Cannot open database %.60q requested by the login.", l.database)})
	}
	s.state = authenticating
	var client string
	return &traffic.Verify{
		Run: func() (err error) {
			client, err = s.server.Authenticate(l.user, l.password)
			return err
		},
		Done: func(err error, out *buffers.Chain) (traffic.ClientMessage, error) {
			l.password = ""
			if err != nil {
				m := errLoginFailed
				m.Text = fmt.Sprintf("Login failed for user %.60q.", l.user)
				return s.sendFatalError(out, m)
			}
			s.login, s.client, s.state = l, client, ready
			size := negotiatePacketSize(l.packetSize)
			s.respond(out, func(b []byte) []byte { return appendLoginAck(b, l, s.server.Name, size) })
			s.out.packetSize = size // from the next message on
			return traffic.Hello{Name: l.user + " with " + l.appName}, nil
		}}, nil
}

// databaseAllowed reports whether sessions of this server may use the database. Names ignore case.
func (s *Session) databaseAllowed(database string) bool {
	if database == "" || len(s.server.Databases) == 0 {
		return true
	}
	for _, d := range s.server.Databases {
		if strings.EqualFold(d, database) {
			return true
		}
	}
	return false
}

// reset restores the session's state right after the login, as RESETCONNECTION asks.
func (s *Session) reset() {
	s.database, s.settings, s.handles, s.handleBytes, s.resetUnacknowledged = "", nil, nil, 0, true
}

// currentDatabase returns the database in which a statement's names are resolved.
func (s *Session) currentDatabase() string {
	if s.database != "" {
		return s.database
	}
	return s.login.database
}

// handleBatch processes a SQL batch request. Texts of only SET and USE statements and queries of server values are
// answered here; everything else becomes a batch for an engine.
func (s *Session) handleBatch(text string, out *buffers.Chain) traffic.ClientMessage {
	if feature := unsupportedFeature(text); feature != "" {
		return s.sendError(out, unsupportedError(feature))
	}
	prefix := s.settingsPrefix() // without the settings of this text, which are sent as part of it
	database, only, refused := s.saveLeadingSettings(text)
	if refused != nil {
		return s.sendError(out, *refused)
	}
	if only {
		s.respond(out, func(b []byte) []byte {
			if database != "" { // the last of several: a client is told of the change that holds
				b = appendEnvChange(b, envDatabase, database, s.login.database)
				b = appendMessage(b, tokenInfo, Message{5701, 2, 0, "Changed database context to '" + database + "'."}, s.server.Name)
			}
			return appendDone(b, tokenDone, 0, 0)
		})
		return traffic.HandledLocally{}
	}
	if values, ok := s.serverValues(text); ok {
		s.sendServerValues(out, values)
		return traffic.HandledLocally{}
	}
	return s.submit(text, prefix, nil, out)
}

// saveLeadingSettings records the settings at the start of a text. It returns the database that the last USE named, if there
// is one, whether the text has no other statements, and the error for the client if a setting is not allowed.
func (s *Session) saveLeadingSettings(text string) (database string, only bool, refused *Message) {
	leading := newSettingsReader(text)
	for {
		setting, found := leading.next()
		if !found {
			return database, leading.only, nil
		}
		if refused := s.saveSetting(setting); refused != nil {
			return "", false, refused
		}
		if setting.database != "" {
			database = setting.database
		}
	}
}

// saveSetting records a setting in place of an earlier one of the same key. If it is not allowed it returns the error for the
// client.
func (s *Session) saveSetting(setting sessionSetting) *Message {
	if setting.database != "" {
		if utf16Units(setting.database) > maxDatabaseName {
			return &Message{103, 4, 15, fmt.Sprintf("The identifier that starts with %.60q is too long. Maximum length is %d.", setting.database, maxDatabaseName)}
		}
		if !s.databaseAllowed(setting.database) {
			return &Message{911, 1, 16, fmt.Sprintf("Database %.60q does not exist.", setting.database)}
		}
		s.database = setting.database
		return nil
	}
	kept, size := s.settings[:0], len(setting.text)
	for _, old := range s.settings {
		if old.key != setting.key {
			kept, size = append(kept, old), size+len(old.text)
		}
	}
	if len(kept) >= maxSettings || size > maxSettingBytes {
		refused := unsupportedError("so many SET options of one session")
		return &refused
	}
	s.settings = append(kept, setting)
	return nil
}

// settingsPrefix returns the USE and SET statements that give an engine's connection the session's settings. They are
// sent ahead of each batch.
func (s *Session) settingsPrefix() string {
	var prefix strings.Builder
	if s.database != "" {
		prefix.WriteString("USE [" + strings.ReplaceAll(s.database, "]", "]]") + "]; ")
	}
	for _, setting := range s.settings {
		prefix.WriteString(setting.text + "; ")
	}
	return prefix.String()
}

// submit turns a statement into a batch for an engine and applies the assignment rules to it.
func (s *Session) submit(text, prefix string, parameters []rows.Parameter, out *buffers.Chain) traffic.ClientMessage {
	ask := &traffic.BatchRequest{Stream: s.stream + 1}
	b := &ask.Batch
	b.Client, b.SessionSetup, b.Parameters = s.client, prefix, parameters
	b.Login, b.Application = s.login.user, s.login.appName
	if s.database == "" {
		b.Database = s.login.database
	}
	about := assign.StatementInfo{Login: s.login.user, Application: s.login.appName, Database: s.currentDatabase()}
	if first, found := statement.NewTokenizer(text).Next(); found {
		about.Command = strings.ToLower(first.Text)
	}
	if err := s.server.Rules().Assign(about, text, b); err != nil {
		return s.sendError(out, Message{50404, 1, 16, "pitchfield: " + err.Error() + "."})
	}
	b.NoIdempotencyKey = b.IdempotencyKey == ""
	if len(parameters) > 0 {
		size, err := rows.InlinedSize(text, parameters)
		if err != nil { // engines of other protocols receive the parameters as literals
			return s.sendError(out, Message{8114, 5, 16, err.Error()})
		}
		b.InlinedSize = size
	}
	b.Text = s.server.Pool.Chain()
	b.Text.WriteString(text)
	s.stream++
	s.pending = true
	return ask
}

// handleRPC processes an RPC request. It handles sp_executesql, sp_prepare, sp_prepexec, sp_execute and sp_unprepare. A
// procedure called by any other name is sent to an engine as an EXEC statement; one called by any other number, such as those
// of server cursors (1 to 9), gets an error as unsupported.
func (s *Session) handleRPC(request rpcRequest, out *buffers.Chain) (traffic.ClientMessage, error) {
	text := func(i int) (string, error) {
		if i >= len(request.parameters) || request.parameters[i].Kind != rows.Text {
			return "", requestError{Message{214, 2, 16, "A procedure lacks a parameter of text."}}
		}
		return string(request.parameters[i].Value), nil
	}
	run := func(p preparedStatement, values []parameter) (traffic.ClientMessage, error) {
		parameters, err := nameParameters(p.declaration, values)
		if err != nil {
			return nil, err
		}
		if p.unsupported != "" {
			return nil, requestError{unsupportedError(p.unsupported)}
		}
		return s.submit(p.text, s.settingsPrefix(), parameters, out), nil
	}
	statementAt := func(i, declaration int) (p preparedStatement, err error) {
		if p.text, err = text(i); err == nil && declaration < len(request.parameters) && !request.parameters[declaration].Null {
			p.declaration, err = text(declaration)
		}
		p.unsupported = unsupportedFeature(p.text)
		return p, err
	}
	switch request.procID {
	case procExecuteSQL:
		p, err := statementAt(0, 1)
		if err != nil {
			return nil, err
		}
		return run(p, request.parameters[min(2, len(request.parameters)):])
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
		if request.procID == procPrepExec {
			return run(p, request.parameters[3:])
		}
		s.beginResponse()
		s.finishResponse(out)
		return traffic.HandledLocally{}, nil
	case procExecute, procUnprepare:
		handle, ok := int32(0), false
		if len(request.parameters) > 0 && request.parameters[0].Kind == rows.Int32 && len(request.parameters[0].Value) == 4 {
			v := request.parameters[0].Value
			handle, ok = int32(uint32(v[0])|uint32(v[1])<<8|uint32(v[2])<<16|uint32(v[3])<<24), true
		}
		p, found := s.handles[handle]
		if !ok || !found {
			return nil, requestError{Message{8179, 2, 16, fmt.Sprintf("Could not find prepared statement with handle %d.", handle)}}
		}
		if request.procID == procExecute {
			return run(p, request.parameters[1:])
		}
		delete(s.handles, handle)
		s.handleBytes -= len(p.text) + len(p.declaration)
		s.beginResponse()
		s.finishResponse(out)
		return traffic.HandledLocally{}, nil
	case 0:
		return s.handleNamedProcedure(request, out)
	}
	if request.procID <= 9 { // sp_cursor to sp_cursorclose
		return nil, requestError{unsupportedError("server cursors")}
	}
	return nil, requestError{unsupportedError(fmt.Sprintf("the procedure with number %d", request.procID))}
}

// prepare stores a statement and returns its new handle.
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

// handleNamedProcedure turns an RPC request by procedure name into an EXEC statement with its parameters as literals.
func (s *Session) handleNamedProcedure(request rpcRequest, out *buffers.Chain) (traffic.ClientMessage, error) {
	if request.name == "" || strings.ContainsFunc(request.name, func(r rune) bool { return !isNameRune(r) && !strings.ContainsRune(".[] ", r) }) {
		return nil, requestError{Message{2812, 62, 16, fmt.Sprintf("%.60q is not the name of a procedure.", request.name)}}
	}
	var text strings.Builder
	text.WriteString("EXEC " + request.name)
	for i, p := range request.parameters {
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
			text.WriteByte(',')
		}
		text.WriteString(" " + literal)
	}
	return s.submit(text.String(), s.settingsPrefix(), nil, out), nil
}

// isNameRune reports whether r is allowed in procedure and parameter names. The callers allow further characters: brackets,
// dots and spaces in procedure names, and @ in parameter names.
func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '$' || r == '#' || r >= 0x80
}
