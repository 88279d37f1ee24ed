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

// Front is what the sessions of one listener share.
type Front struct {
	Pool *buffers.Pool
	Name string // of the server, as clients see it
	// Admit checks a login and gives the client it counts as. It may take long and runs beside the loop.
	Admit func(user, password string) (client string, err error)
	// Rules gives those in force.
	Rules func() *assign.Rules
	// Databases that a session may use; none: any.
	Databases []string

	spare []byte
}

// Protocol is what the core must know of TDS clients. Idle is in seconds.
func (f *Front) Protocol(idle float64) *traffic.ClientProtocol {
	return &traffic.ClientProtocol{Name: "tds", IdleTimeout: idle, MaxOpenBatches: 1, Stream: true,
		ConvertResult: func(parts []rows.Part) ([]rows.Part, error) { return rows.AsValues(f.Pool, parts) },
		New:           func() traffic.Client { return f.Session() }}
}

// Session gives the state of a new connection.
func (f *Front) Session() *Session {
	return &Session{front: f, out: writer{kind: packetReply, size: firstPacket, spare: &f.spare}}
}

type state uint8

const (
	expectPrelogin state = iota
	expectLogin
	checking // the login, beside the loop
	ready
	over
)

// What a session may hold; beyond, it is told so.
const (
	mostSettings     = 64
	mostSettingBytes = 4 << 10
	mostHandles      = 256
	mostHandleBytes  = 128 << 10
)

// Session is a connection of a client.
type Session struct {
	front   *Front
	state   state
	insists bool // on encryption

	kind, status byte // of the message that is coming
	message      []byte
	large        bool // it is too large, and dropped

	login    login
	client   string
	base     string    // that USE chose
	settings []setting // in order
	handles  map[int32]prepared
	held     int // bytes of handles
	handle   int32

	stream  uint32 // the last batch's
	open    bool   // it has no answer yet
	wasRset bool   // the answer says so
	reply   reply
	out     writer
}

// prepared is a statement that a handle stands for.
type prepared struct{ text, declaration string }

// reply is the answer that is being written.
type reply struct {
	proc    bool
	handle  int32 // to be returned; 0: none
	columns []rows.Column
	count   uint64
}

// HasPartial tells whether part of a message is there.
func (s *Session) HasPartial() bool { return s.message != nil }

// Read gives the next thing said.
func (s *Session) Read(in, owed *buffers.Chain) (traffic.ClientMessage, error) {
	for s.state != checking && s.state != over {
		p, ok, err := peekPacket(in)
		if err != nil || !ok {
			return nil, err
		}
		if p.kind == packetAttention {
			in.Discard(p.size)
			s.message, s.large = nil, false // of which it was given up
			if said := s.attention(owed); said != nil {
				return said, nil
			}
			continue
		}
		if s.open {
			return nil, fmt.Errorf("%w: a request before the one before is answered", ErrWire)
		}
		if s.message == nil {
			s.kind, s.status, s.message = p.kind, p.status, []byte{}
		}
		if p.kind != s.kind {
			return nil, fmt.Errorf("%w: a packet of type %d in a message of type %d", ErrWire, p.kind, s.kind)
		}
		if s.large = s.large || len(s.message)+p.size > mostMessage; s.large {
			in.Discard(p.size)
		} else {
			s.message = p.take(in, s.message)
		}
		if p.status&statusEnd == 0 {
			continue
		}
		message, large := s.message, s.large
		s.message, s.large = nil, false
		if p.status&statusIgnore != 0 {
			s.respond(owed, func(b []byte) []byte { return appendDone(b, tokenDone, doneError, 0) })
			return traffic.HandledLocally{}, nil
		}
		if said, err := s.whole(message, large, owed); said != nil || err != nil {
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
	if s.open {
		said = traffic.Cancel{Stream: s.stream}
	}
	s.open, s.reply = false, reply{}
	s.out.buf = appendDone(s.out.buf, tokenDone, doneAttention, 0)
	s.out.end(owed)
	return said
}

// respond writes an answer of the session's own.
func (s *Session) respond(owed *buffers.Chain, fill func([]byte) []byte) {
	s.begin()
	s.out.buf = fill(s.out.buf)
	s.out.end(owed)
}

// begin starts an answer.
func (s *Session) begin() {
	s.out.begin()
	if s.wasRset {
		s.wasRset = false
		s.out.buf = append(s.out.buf, tokenEnvChange, 3, 0, envReset, 0, 0)
	}
}

// refuse tells of an error; the session goes on.
func (s *Session) refuse(owed *buffers.Chain, m Message) traffic.ClientMessage {
	s.respond(owed, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.front.Name), s.doneKind(), doneError, 0)
	})
	s.reply = reply{}
	return traffic.HandledLocally{}
}

func (s *Session) doneKind() byte {
	if s.reply.proc {
		return tokenDoneProc
	}
	return tokenDone
}

// reject tells of an error and ends the session.
func (s *Session) reject(owed *buffers.Chain, m Message) (traffic.ClientMessage, error) {
	s.respond(owed, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.front.Name), tokenDone, doneError, 0)
	})
	s.state = over
	return nil, m
}

// whole takes a message.
func (s *Session) whole(b []byte, large bool, owed *buffers.Chain) (traffic.ClientMessage, error) {
	switch s.state {
	case expectPrelogin:
		if s.kind != packetPrelogin || large {
			return nil, errWrongFlow
		}
		p, err := parsePrelogin(b)
		if err != nil {
			return nil, err
		}
		s.insists = p.encryption == encryptOn || p.encryption == encryptMust
		s.state = expectLogin
		message(owed, packetReply, 0, firstPacket, appendPrelogin(nil, prelogin{encryption: encryptNone}))
		return nil, nil
	case expectLogin:
		if s.kind == packetPrelogin || s.kind == packetLogin && s.insists { // a handshake of TLS, or a login in spite of the answer
			return s.reject(owed, errEncrypt)
		}
		if s.kind == packetSSPI {
			return s.reject(owed, errOtherWay)
		}
		if s.kind != packetLogin || large {
			return nil, errWrongFlow
		}
		return s.letIn(b, owed)
	}
	s.reply = reply{}
	if s.status&(statusReset|statusResetT) != 0 {
		s.reset()
	}
	if large {
		return s.refuse(owed, unsupported(fmt.Sprintf("a statement of more than %d bytes", mostMessage))), nil
	}
	switch s.kind {
	case packetBatch:
		text, err := parseBatch(b)
		if err != nil {
			return nil, err
		}
		return s.batch(text, owed), nil
	case packetRPC:
		s.reply.proc = true
		c, err := parseRPC(b)
		said, err := s.refusedOr(err, owed, func() (traffic.ClientMessage, error) { return s.call(c, owed) })
		return said, err
	case packetManager:
		return s.refuse(owed, unsupported("transactions")), nil
	case packetBulk:
		return s.refuse(owed, unsupported("bulk load")), nil
	}
	return nil, fmt.Errorf("%w: a message of type %d after the login", ErrWire, s.kind)
}

// refusedOr goes on unless there is an error. A refusal is told, and the session goes on.
func (s *Session) refusedOr(err error, owed *buffers.Chain, next func() (traffic.ClientMessage, error)) (traffic.ClientMessage, error) {
	var said traffic.ClientMessage
	if err == nil {
		said, err = next()
	}
	var no refusal
	if errors.As(err, &no) {
		return s.refuse(owed, no.Message), nil
	}
	return said, err
}

// letIn checks a login, which takes long by purpose, beside the loop.
func (s *Session) letIn(b []byte, owed *buffers.Chain) (traffic.ClientMessage, error) {
	l, err := parseLogin(b)
	if err != nil {
		return nil, err
	}
	if l.version < 0x72000000 {
		return s.reject(owed, errTooOld)
	}
	if l.integrated || l.federated {
		return s.reject(owed, errOtherWay)
	}
	if !s.mayUse(l.base) {
		return s.reject(owed, Message{4060, 1, 11, fmt.Sprintf("Cannot open database %.60q requested by the login.", l.base)})
	}
	s.state = checking
	var client string
	return &traffic.Verify{
		Run: func() (err error) {
			client, err = s.front.Admit(l.user, l.password)
			return err
		},
		Done: func(err error, owed *buffers.Chain) (traffic.ClientMessage, error) {
			l.password = ""
			if err != nil {
				m := errNotLetIn
				m.Text = fmt.Sprintf("Login failed for user %.60q.", l.user)
				return s.reject(owed, m)
			}
			s.login, s.client, s.state = l, client, ready
			size := agreedPacket(l.packet)
			s.respond(owed, func(b []byte) []byte { return appendLoginAck(b, l, s.front.Name, size) })
			s.out.size = size // from the next message on
			return traffic.Hello{Name: l.user + " with " + l.app}, nil
		}}, nil
}

func (s *Session) mayUse(base string) bool {
	if base == "" || len(s.front.Databases) == 0 {
		return true
	}
	for _, d := range s.front.Databases {
		if strings.EqualFold(d, base) {
			return true
		}
	}
	return false
}

// reset brings the session back to what it was after the login.
func (s *Session) reset() {
	s.base, s.settings, s.handles, s.held, s.wasRset = "", nil, nil, 0, true
}

// database is the one that a statement's names stand in.
func (s *Session) database() string {
	if s.base != "" {
		return s.base
	}
	return s.login.base
}

// batch takes a SQLBatch.
func (s *Session) batch(text string, owed *buffers.Chain) traffic.ClientMessage {
	all := statement.Words(text)
	if why := refused(all); why != "" {
		return s.refuse(owed, unsupported(why))
	}
	before := s.ahead()
	set, only := leading(all, text)
	if m, ok := s.remember(set); !ok {
		return s.refuse(owed, m)
	}
	if only {
		s.respond(owed, func(b []byte) []byte {
			for _, one := range set {
				if one.base != "" {
					b = appendEnv(b, envDatabase, one.base, s.login.base)
					b = appendMessage(b, tokenInfo, Message{5701, 2, 0, "Changed database context to '" + one.base + "'."}, s.front.Name)
				}
			}
			return appendDone(b, tokenDone, 0, 0)
		})
		return traffic.HandledLocally{}
	}
	if value, ok := s.known(all); ok {
		s.answerKnown(owed, value)
		return traffic.HandledLocally{}
	}
	return s.ask(text, all, before, nil, owed)
}

// remember keeps what a session has set, the last of each.
func (s *Session) remember(set []setting) (Message, bool) {
	for _, one := range set {
		if one.base != "" {
			if !s.mayUse(one.base) {
				return Message{911, 1, 16, fmt.Sprintf("Database %.60q does not exist.", one.base)}, false
			}
			s.base = one.base
			continue
		}
		kept, size := s.settings[:0], len(one.text)
		for _, old := range s.settings {
			if old.key != one.key {
				kept, size = append(kept, old), size+len(old.text)
			}
		}
		if len(kept) >= mostSettings || size > mostSettingBytes {
			return unsupported("so many SET options of one session"), false
		}
		s.settings = append(kept, one)
	}
	return Message{}, true
}

// ahead is what the session's settings are to an engine.
func (s *Session) ahead() string {
	var out strings.Builder
	if s.base != "" {
		out.WriteString("USE [" + strings.ReplaceAll(s.base, "]", "]]") + "]; ")
	}
	for _, one := range s.settings {
		out.WriteString(one.text + "; ")
	}
	return out.String()
}

// ask makes a batch of a statement.
func (s *Session) ask(text string, all []statement.Word, ahead string, parameters []rows.Parameter, owed *buffers.Chain) traffic.ClientMessage {
	ask := &traffic.BatchRequest{Stream: s.stream + 1}
	b := &ask.Batch
	b.Client, b.SessionSetup, b.Parameters = s.client, ahead, parameters
	b.Login, b.Application = s.login.user, s.login.app
	if s.base == "" {
		b.Database = s.login.base
	}
	about := assign.About{Login: s.login.user, Application: s.login.app, Database: s.database()}
	if len(all) > 0 {
		about.Form = strings.ToLower(all[0].Text)
	}
	if err := s.front.Rules().Assign(about, text, b); err != nil {
		return s.refuse(owed, Message{50404, 1, 16, "pitchfield: " + err.Error() + "."})
	}
	b.NoIdempotencyKey = b.IdempotencyKey == ""
	b.Text = s.front.Pool.Chain()
	b.Text.WriteString(text)
	s.stream++
	s.open = true
	return ask
}

// call takes an RPC.
func (s *Session) call(c call, owed *buffers.Chain) (traffic.ClientMessage, error) {
	text := func(i int) (string, error) {
		if i >= len(c.parameters) || c.parameters[i].Kind != rows.Text {
			return "", refusal{Message{214, 2, 16, "A procedure lacks a parameter of text."}}
		}
		return string(c.parameters[i].Value), nil
	}
	run := func(p prepared, values []parameter) (traffic.ClientMessage, error) {
		parameters, err := named(p.declaration, values)
		if err != nil {
			return nil, err
		}
		all := statement.Words(p.text)
		if why := refused(all); why != "" {
			return nil, refusal{unsupported(why)}
		}
		return s.ask(p.text, all, s.ahead(), parameters, owed), nil
	}
	statementAt := func(i, declaration int) (p prepared, err error) {
		if p.text, err = text(i); err == nil && declaration < len(c.parameters) && !c.parameters[declaration].Null {
			p.declaration, err = text(declaration)
		}
		return p, err
	}
	switch c.proc {
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
		s.reply.handle = handle
		if c.proc == procPrepExec {
			return run(p, c.parameters[3:])
		}
		s.begin()
		s.finish(owed)
		return traffic.HandledLocally{}, nil
	case procExecute, procUnprepare:
		handle, ok := int32(0), false
		if len(c.parameters) > 0 && c.parameters[0].Kind == rows.Int32 && len(c.parameters[0].Value) == 4 {
			v := c.parameters[0].Value
			handle, ok = int32(uint32(v[0])|uint32(v[1])<<8|uint32(v[2])<<16|uint32(v[3])<<24), true
		}
		p, there := s.handles[handle]
		if !ok || !there {
			return nil, refusal{Message{8179, 2, 16, fmt.Sprintf("Could not find prepared statement with handle %d.", handle)}}
		}
		if c.proc == procExecute {
			return run(p, c.parameters[1:])
		}
		delete(s.handles, handle)
		s.held -= len(p.text) + len(p.declaration)
		s.begin()
		s.finish(owed)
		return traffic.HandledLocally{}, nil
	case 0:
		return s.procedure(c, owed)
	}
	if c.proc <= 9 {
		return nil, refusal{unsupported("server cursors")}
	}
	return nil, refusal{unsupported(fmt.Sprintf("the procedure with number %d", c.proc))}
}

// prepare keeps a statement under a new handle.
func (s *Session) prepare(p prepared) (int32, error) {
	size := len(p.text) + len(p.declaration)
	if len(s.handles) >= mostHandles || s.held+size > mostHandleBytes || s.handle == math.MaxInt32 {
		return 0, refusal{unsupported("so many prepared statements of one session")}
	}
	if s.handles == nil {
		s.handles = map[int32]prepared{}
	}
	s.handle++
	s.handles[s.handle] = p
	s.held += size
	return s.handle, nil
}

// procedure turns a call by name to a statement; its values stand in it as literals.
func (s *Session) procedure(c call, owed *buffers.Chain) (traffic.ClientMessage, error) {
	if c.name == "" || strings.ContainsFunc(c.name, func(r rune) bool { return !nameLike(r) && !strings.ContainsRune(".[] ", r) }) {
		return nil, refusal{Message{2812, 62, 16, fmt.Sprintf("%.60q is not the name of a procedure.", c.name)}}
	}
	text := "EXEC " + c.name
	for i, p := range c.parameters {
		literal, err := rows.Literal(p.Parameter)
		switch {
		case p.output:
			return nil, refusal{unsupported("a parameter that returns a value")}
		case err != nil:
			return nil, refusal{Message{8114, 5, 16, err.Error()}}
		case strings.ContainsFunc(p.Name, func(r rune) bool { return !nameLike(r) && r != '@' }):
			return nil, refusal{Message{8145, 1, 16, fmt.Sprintf("%.40q is not the name of a parameter.", p.Name)}}
		case p.Name != "":
			literal = p.Name + "=" + literal
		}
		if i > 0 {
			text += ","
		}
		text += " " + literal
	}
	return s.ask(text, statement.Words(text), s.ahead(), nil, owed), nil
}

func nameLike(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '$' || r == '#' || r >= 0x80
}

// Encode writes what the client is told.
func (s *Session) Encode(out *buffers.Chain, what traffic.ClientReply) {
	switch w := what.(type) {
	case *traffic.Rows:
		if s.open && w.Stream == s.stream {
			s.part(out, w.Part)
		}
	case *traffic.Answer:
		if !s.open || w.Stream != s.stream {
			return
		}
		s.open = false
		if w.Code == traffic.Succeeded {
			for _, p := range w.Rows {
				s.part(out, p)
			}
			if len(w.Rows) == 0 && s.reply.columns == nil {
				s.begin()
			}
			s.finish(out)
			return
		}
		s.begin()
		s.out.buf = appendDone(appendMessage(s.out.buf, tokenError, final(w), s.front.Name), s.doneKind(), doneError, 0)
		s.out.end(out)
		s.reply = reply{}
	case traffic.ConnectionError:
		if s.state != over {
			s.state = over
			s.out.buf = appendMessage(s.out.buf, tokenError, Message{50500, 1, 20, "pitchfield: " + w.Reason + "."}, s.front.Name)
			s.out.buf = appendDone(s.out.buf, tokenDone, doneError|doneServer, 0)
			s.out.end(out)
		}
	}
}

// Numbers of the errors that a batch ends with. Drivers hold the first for transient and ask again.
const (
	NumberPushedBack = 40501
	NumberErrored    = 50510
)

// final words an ending. A pushback is a promise; an error is none.
func final(a *traffic.Answer) Message {
	if a.Code == traffic.Rejected {
		m := Message{NumberPushedBack, 1, 16, "The service is currently busy: the batch is pushed back, and to ask again is harmless."}
		if a.RetryAfter > 0 {
			m.Text += fmt.Sprintf(" Retry the request after %d ms.", int(math.Ceil(a.RetryAfter*1000)))
		}
		return m
	}
	m := Message{NumberErrored, 1, 16, "pitchfield: the batch is errored, and whether it has run is not known."}
	if a.Reason != "" {
		m.Text += " " + a.Reason
	}
	return m
}

// part writes rows. What does not fill a packet waits for more.
func (s *Session) part(out *buffers.Chain, p rows.Part) {
	if p.Columns != nil {
		s.closeResult(doneMore)
		s.begin()
		s.reply.columns, s.reply.count = p.Columns, 0
		s.out.buf = appendColumns(s.out.buf, p.Columns)
	} else if p.Data == nil && p.Count > 0 && s.reply.columns == nil { // of rows that were changed
		s.out.buf = appendDone(s.out.buf, s.innerDone(), doneMore|doneCount, uint64(p.Count))
		return
	}
	// What does not fit its columns was found when it was taken in.
	_ = rows.Each(p, len(s.reply.columns), func(row [][]byte) error {
		s.out.buf = appendRow(s.out.buf, s.reply.columns, row)
		s.reply.count++
		if len(s.out.buf) > s.out.size {
			s.out.send(out)
		}
		return nil
	})
}

func (s *Session) innerDone() byte {
	if s.reply.proc {
		return tokenDoneInProc
	}
	return tokenDone
}

// closeResult ends a result of an answer that goes on.
func (s *Session) closeResult(status int) {
	if s.reply.columns != nil {
		s.out.buf = appendDone(s.out.buf, s.innerDone(), status|doneCount, s.reply.count)
		s.reply.columns = nil
	}
}

// finish ends an answer that is whole.
func (s *Session) finish(out *buffers.Chain) {
	switch {
	case s.reply.proc:
		s.closeResult(doneMore)
		s.out.buf = u32(append(s.out.buf, tokenReturnStatus), 0)
		if s.reply.handle != 0 {
			s.out.buf = append(u16(append(s.out.buf, tokenReturnValue), 0), 0, 1, 0, 0, 0, 0, 0, 0)
			t := rows.Type{Kind: rows.Int32}
			s.out.buf = appendValue(appendType(s.out.buf, t), t, u32(nil, uint32(s.reply.handle)))
		}
		s.out.buf = appendDone(s.out.buf, tokenDoneProc, 0, 0)
	case s.reply.columns != nil:
		s.closeResult(0)
	default:
		s.out.buf = appendDone(s.out.buf, tokenDone, 0, 0)
	}
	s.out.end(out)
	s.reply = reply{}
}
