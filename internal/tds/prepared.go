package tds

import (
	"encoding/binary"
	"fmt"
	"math"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// Limits on the prepared statements of one session. Exceeding one is answered with an error; the session stays open.
const (
	maxHandles     = 256       // prepared statements
	maxHandleBytes = 128 << 10 // total text of the prepared statements
)

// preparedStatement is a statement that is run with values for its parameters, one or many times.
type preparedStatement struct {
	text        string
	declaration string // of its parameters
	unsupported string // the feature in text that is not supported; empty: none
}

// statementAt returns the statement that the parameters of a request hold: its text and, unless it is missing or NULL, the
// declaration of its parameters, at these positions.
func (r *rpcRequest) statementAt(text, declaration int) (p preparedStatement, err error) {
	if p.text, err = r.text(text); err != nil {
		return p, err
	}
	if declaration < len(r.parameters) && !r.parameters[declaration].Null {
		p.declaration, err = r.text(declaration)
	}
	p.unsupported = unsupportedFeature(p.text)
	return p, err
}

// text returns the parameter at a position, which has to be a text.
func (r *rpcRequest) text(position int) (string, error) {
	if position >= len(r.parameters) || r.parameters[position].Kind != rows.Text {
		return "", requestError{Message{214, 2, 16, "A procedure lacks a parameter of text."}}
	}
	return string(r.parameters[position].Value), nil
}

// handle returns the handle of a prepared statement, which is the first parameter of a request; 0, which is none, if it is not
// there.
func (r *rpcRequest) handle() int32 {
	if len(r.parameters) == 0 || r.parameters[0].Kind != rows.Int32 || len(r.parameters[0].Value) != 4 {
		return 0
	}
	return int32(binary.LittleEndian.Uint32(r.parameters[0].Value))
}

// run turns a statement with values for its parameters into a batch.
func (s *Session) run(p preparedStatement, values []parameter, out *buffers.Chain) (traffic.ClientMessage, error) {
	parameters, err := nameParameters(p.declaration, values)
	if err != nil {
		return nil, err
	}
	if p.unsupported != "" {
		return nil, requestError{unsupportedError(p.unsupported)}
	}
	return s.submit(p.text, s.settingsPrefix(), parameters, out), nil
}

// handleExecuteSQL handles sp_executesql.
func (s *Session) handleExecuteSQL(request rpcRequest, out *buffers.Chain) (traffic.ClientMessage, error) {
	p, err := request.statementAt(0, 1)
	if err != nil {
		return nil, err
	}
	return s.run(p, request.parameters[min(2, len(request.parameters)):], out)
}

// handlePrepare handles sp_prepare and, if execute is set, sp_prepexec.
func (s *Session) handlePrepare(request rpcRequest, execute bool, out *buffers.Chain) (traffic.ClientMessage, error) {
	p, err := request.statementAt(2, 1)
	if err != nil {
		return nil, err
	}
	handle, err := s.prepare(p)
	if err != nil {
		return nil, err
	}
	s.response.handle = handle
	if execute {
		return s.run(p, request.parameters[3:], out)
	}
	return s.acknowledge(out), nil
}

// handlePrepared handles sp_execute and, if remove is set, sp_unprepare.
func (s *Session) handlePrepared(request rpcRequest, remove bool, out *buffers.Chain) (traffic.ClientMessage, error) {
	handle := request.handle()
	p, found := s.handles[handle]
	if !found {
		return nil, requestError{Message{8179, 2, 16, fmt.Sprintf("Could not find prepared statement with handle %d.", handle)}}
	}
	if !remove {
		return s.run(p, request.parameters[1:], out)
	}
	delete(s.handles, handle)
	s.handleBytes -= len(p.text) + len(p.declaration)
	return s.acknowledge(out), nil
}

// acknowledge answers a request that has no result.
func (s *Session) acknowledge(out *buffers.Chain) traffic.ClientMessage {
	s.beginResponse()
	s.finishResponse(out)
	return traffic.HandledLocally{}
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
