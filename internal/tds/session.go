package tds

import (
	"errors"
	"fmt"
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

// reset restores the session's state right after the login, as RESETCONNECTION asks.
func (s *Session) reset() {
	s.database, s.settings, s.handles, s.handleBytes, s.resetUnacknowledged = "", nil, nil, 0, true
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
