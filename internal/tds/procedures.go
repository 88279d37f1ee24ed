package tds

import (
	"fmt"
	"strings"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// handleRPC processes an RPC request. It handles sp_executesql, sp_prepare, sp_prepexec, sp_execute and sp_unprepare. A
// procedure called by any other name is sent to an engine as an EXEC statement; one called by any other number, such as those
// of server cursors (1 to 9), gets an error as unsupported.
func (s *Session) handleRPC(request rpcRequest, out *buffers.Chain) (traffic.ClientMessage, error) {
	switch request.procID {
	case procExecuteSQL:
		return s.handleExecuteSQL(request, out)
	case procPrepare, procPrepExec:
		return s.handlePrepare(request, request.procID == procPrepExec, out)
	case procExecute, procUnprepare:
		return s.handlePrepared(request, request.procID == procUnprepare, out)
	case 0:
		return s.handleNamedProcedure(request, out)
	}
	if request.procID <= 9 { // sp_cursor to sp_cursorclose
		return nil, requestError{unsupportedError("server cursors")}
	}
	return nil, requestError{unsupportedError(fmt.Sprintf("the procedure with number %d", request.procID))}
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
