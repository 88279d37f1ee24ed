package tds

import (
	"fmt"
	"strings"

	"pitchfield/internal/rows"
)

// Numbers of the stored procedures that an RPC request may name by number ([MS-TDS] 2.2.6.6).
const (
	procCursor      = 1
	procExecuteSQL  = 10
	procPrepare     = 11
	procExecute     = 12
	procPrepExec    = 13
	procPrepExecRPC = 14
	procUnprepare   = 15
)

// procNames maps the names of these procedures to their numbers.
var procNames = map[string]uint16{"sp_cursor": 1, "sp_cursoropen": 2, "sp_cursorprepare": 3, "sp_cursorexecute": 4,
	"sp_cursorprepexec": 5, "sp_cursorunprepare": 6, "sp_cursorfetch": 7, "sp_cursoroption": 8, "sp_cursorclose": 9,
	"sp_executesql": procExecuteSQL, "sp_prepare": procPrepare, "sp_execute": procExecute, "sp_prepexec": procPrepExec,
	"sp_prepexecrpc": procPrepExecRPC, "sp_unprepare": procUnprepare}

const (
	maxParameters     = 2100 // the limit of SQL Server
	paramByReference  = 1    // fByRefValue of a parameter's StatusFlags
	paramDefaultValue = 2    // fDefaultValue of a parameter's StatusFlags
)

// moreParameters names the feature that a request with more than maxParameters asks for.
var moreParameters = fmt.Sprintf("more than %d parameters", maxParameters)

// rpcRequest is a parsed RPC request.
type rpcRequest struct {
	procID     uint16 // 0: a procedure without a number
	name       string // empty if the request names the procedure by number
	parameters []parameter
}

// parameter is a parameter of an RPC request; output is set if it is passed by reference.
type parameter struct {
	rows.Parameter
	output bool
}

// skipAllHeaders skips ALL_HEADERS ([MS-TDS] 2.2.5.3).
func (c *cursor) skipAllHeaders() {
	start := c.offset
	total := int(c.u32())
	if c.err != nil {
		return
	}
	if total < 4 || total > c.remaining()+4 {
		c.fail("headers of %d bytes", total)
		return
	}
	c.offset = start + total
}

// parseBatch returns the SQL text of a batch request.
func parseBatch(b []byte) (string, error) {
	c := cursor{buf: b}
	c.skipAllHeaders()
	if c.err == nil && c.remaining()%2 != 0 {
		c.fail("half a character")
	}
	if c.err != nil {
		return "", incompleteIsMalformed(c.err)
	}
	return fromUTF16(b[c.offset:]), nil
}

// incompleteIsMalformed turns errIncomplete into a protocol error: a whole message has been read, so no more bytes of it
// will follow.
func incompleteIsMalformed(err error) error {
	if err == errIncomplete { //nolint:errorlint
		return fmt.Errorf("%w: a message that does not hold what it says", ErrProtocol)
	}
	return err
}

// requestError is an error that is sent to the client; the session stays open.
type requestError struct{ Message }

// parseRPC parses an RPC request. It returns a requestError if the request is valid but not supported.
func parseRPC(b []byte) (out rpcRequest, err error) {
	c := cursor{buf: b}
	c.skipAllHeaders()
	if length := c.u16(); length == nullLength {
		out.procID = c.u16()
	} else {
		if out.name = c.chars(int(length)); length > 512 {
			c.fail("a procedure's name of %d characters", length)
		}
		base := strings.ToLower(out.name)
		base = base[strings.LastIndexByte(base, '.')+1:]
		out.procID = procNames[strings.Trim(base, "[]")]
	}
	c.u16() // OptionFlags: fWithRecomp, fNoMetaData
	for c.err == nil && c.remaining() > 0 {
		switch c.buf[c.offset] {
		case 0xFF, 0xFE, 0x80: // BatchFlag or NoExecFlag: no parameter name is as long as these bytes would say
			return out, requestError{unsupportedError("several calls in one request")}
		}
		if len(out.parameters) == maxParameters {
			return out, requestError{unsupportedError(moreParameters)}
		}
		p := parameter{}
		p.Name = c.bVarChar()
		status := c.u8()
		p.output = status&paramByReference != 0
		typeOffset := c.offset
		info := c.typeInfo()
		if c.err != nil && c.err != errIncomplete && typeOffset < len(b) { //nolint:errorlint
			return out, requestError{unsupportedError(strings.TrimPrefix(c.err.Error(), ErrProtocol.Error()+": "))}
		}
		p.Type = info.Type
		var scratch []byte
		v := c.value(&info, &scratch)
		p.Null = v == nil
		p.Value = append([]byte{}, v...)
		if status&paramDefaultValue != 0 {
			return out, requestError{unsupportedError("a parameter's default")}
		}
		out.parameters = append(out.parameters, p)
	}
	return out, incompleteIsMalformed(c.err)
}

// appendExecuteSQL appends an RPC request that calls sp_executesql.
func appendExecuteSQL(out []byte, text string, parameters []rows.Parameter) []byte {
	out = appendAllHeaders(out)
	out = appendU16(appendU16(appendU16(out, nullLength), procExecuteSQL), 0)
	appendUnnamed := func(s string) {
		out = append(out, 0, 0)
		t := rows.Type{Kind: rows.Text}
		out = appendValue(appendType(out, t), t, []byte(s))
	}
	appendUnnamed(text)
	if len(parameters) == 0 {
		return out
	}
	var declaration strings.Builder
	for i, p := range parameters {
		if i > 0 {
			declaration.WriteByte(',')
		}
		declaration.WriteString(p.Name + " " + SQLType(p.Type))
	}
	appendUnnamed(declaration.String())
	for _, p := range parameters {
		out = append(appendBVarChar(out, p.Name), 0)
		v := p.Value
		if p.Null {
			v = nil
		}
		out = appendValue(appendType(out, p.Type), p.Type, v)
	}
	return out
}

// appendAllHeaders appends ALL_HEADERS, which consists of a transaction descriptor header.
func appendAllHeaders(out []byte) []byte {
	out = appendU32(appendU32(out, 22), 18)                // length of all headers, length of the header
	out = appendU16(out, 2)                                // type: transaction descriptor
	return append(out, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0) // no transaction; one outstanding request
}

// SQLType returns a type as SQL writes it in a declaration, for example "decimal(9,2)".
func SQLType(t rows.Type) string {
	size := func(maxSize int) string {
		if t.Size == 0 || t.Size > maxSize {
			return "(max)"
		}
		return fmt.Sprintf("(%d)", t.Size)
	}
	switch t.Kind {
	case rows.Decimal:
		return fmt.Sprintf("decimal(%d,%d)", t.Precision, t.Scale)
	case rows.Time, rows.DateTime2, rows.DateTimeOffset:
		return fmt.Sprintf("%s(%d)", t.Kind, t.Scale)
	case rows.Text:
		return "nvarchar" + size(maxNVarChar)
	case rows.Bytes:
		return "varbinary" + size(maxVarBinary)
	}
	return t.Kind.String()
}

// declaredNames returns the parameter names in a declaration like "@a int, @b decimal(9,2)". It stops after one more than a
// request may have.
func declaredNames(declaration string) (names []string) {
	depth, expectName := 0, true
	for i := 0; i < len(declaration) && len(names) <= maxParameters; i++ {
		switch c := declaration[i]; {
		case c == '(':
			depth++
		case c == ')':
			depth--
		case c == ',' && depth == 0:
			expectName = true
		case c == '@' && expectName:
			end := i + 1
			for end < len(declaration) && !strings.ContainsRune(" \t\r\n,()", rune(declaration[end])) {
				end++
			}
			names = append(names, declaration[i:end])
			i, expectName = end-1, false
		}
	}
	return names
}

// nameParameters returns the parameters of a statement, each with its declared name: by its own name or, without one, by
// its position in the declaration.
func nameParameters(declaration string, values []parameter) ([]rows.Parameter, error) {
	names := declaredNames(declaration)
	if len(names) > maxParameters {
		return nil, requestError{unsupportedError(moreParameters)}
	}
	if len(values) > len(names) {
		return nil, requestError{Message{8144, 2, 16, fmt.Sprintf("%d values for %d declared parameters.", len(values), len(names))}}
	}
	without := make(map[string]bool, len(names)) // declared names in lower case that have no value yet
	for _, name := range names {
		without[strings.ToLower(name)] = true
	}
	out := make([]rows.Parameter, 0, len(values))
	for i, v := range values {
		if v.output {
			return nil, requestError{unsupportedError("a parameter that returns a value")}
		}
		name := v.Name
		if name == "" {
			name = names[i]
		}
		if !strings.HasPrefix(name, "@") {
			name = "@" + name
		}
		key := strings.ToLower(name)
		if !without[key] {
			return nil, requestError{Message{8145, 1, 16, fmt.Sprintf("%.40q is not a declared parameter, or is there twice.", name)}}
		}
		without[key] = false
		p := v.Parameter
		p.Name = name
		out = append(out, p)
	}
	if len(values) < len(names) {
		return nil, requestError{Message{8178, 1, 16, fmt.Sprintf("%d values for %d declared parameters.", len(values), len(names))}}
	}
	return out, nil
}

// unsupportedError is the error for a feature that the router does not support.
func unsupportedError(feature string) Message {
	return Message{40510, 1, 16, "This router does not carry " + feature + "."}
}
