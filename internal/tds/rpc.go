package tds

import (
	"fmt"
	"strings"

	"pitchfield/internal/rows"
)

// The procedures by number (2.2.6.6).
const (
	procCursor      = 1
	procExecuteSQL  = 10
	procPrepare     = 11
	procExecute     = 12
	procPrepExec    = 13
	procPrepExecRPC = 14
	procUnprepare   = 15
)

var procNames = map[string]uint16{"sp_cursor": 1, "sp_cursoropen": 2, "sp_cursorprepare": 3, "sp_cursorexecute": 4,
	"sp_cursorprepexec": 5, "sp_cursorunprepare": 6, "sp_cursorfetch": 7, "sp_cursoroption": 8, "sp_cursorclose": 9,
	"sp_executesql": procExecuteSQL, "sp_prepare": procPrepare, "sp_execute": procExecute, "sp_prepexec": procPrepExec,
	"sp_prepexecrpc": procPrepExecRPC, "sp_unprepare": procUnprepare}

const (
	maxParameters     = 2100 // as servers have it
	paramByReference  = 1
	paramDefaultValue = 2
)

// rpcRequest is an RPC.
type rpcRequest struct {
	procID     uint16
	name       string // of one that has no number
	parameters []parameter
}

type parameter struct {
	rows.Parameter
	output bool
}

// skipAllHeaders passes over ALL_HEADERS (2.2.5.3).
func (c *cursor) skipAllHeaders() {
	from := c.offset
	total := int(c.u32())
	if c.err != nil {
		return
	}
	if total < 4 || total > c.remaining()+4 {
		c.fail("headers of %d bytes", total)
		return
	}
	c.offset = from + total
}

// parseBatch reads a SQLBatch's text.
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

// incompleteIsMalformed: in a message that is whole nothing more comes.
func incompleteIsMalformed(err error) error {
	if err == errIncomplete { //nolint:errorlint
		return fmt.Errorf("%w: a message that does not hold what it says", ErrProtocol)
	}
	return err
}

// requestError is an error of which the session is told, and goes on.
type requestError struct{ Message }

// parseRPC reads a call.
func parseRPC(b []byte) (out rpcRequest, err error) {
	c := cursor{buf: b}
	c.skipAllHeaders()
	if n := c.u16(); n == nullLength {
		out.procID = c.u16()
	} else {
		if out.name = c.chars(int(n)); n > 512 {
			c.fail("a procedure's name of %d characters", n)
		}
		short := strings.ToLower(out.name)
		short = short[strings.LastIndexByte(short, '.')+1:]
		out.procID = procNames[strings.Trim(short, "[]")]
	}
	c.u16() // options: recompile, no metadata
	for c.err == nil && c.remaining() > 0 {
		switch c.buf[c.offset] {
		case 0xFF, 0xFE, 0x80: // a name is never so long
			return out, requestError{unsupportedError("several calls in one request")}
		}
		if len(out.parameters) == maxParameters {
			return out, requestError{unsupportedError("more than 2100 parameters")}
		}
		p := parameter{}
		p.Name = c.bVarChar()
		status := c.u8()
		p.output = status&paramByReference != 0
		at := c.offset
		w := c.typeInfo()
		if c.err != nil && c.err != errIncomplete && at < len(b) { //nolint:errorlint
			return out, requestError{unsupportedError(strings.TrimPrefix(c.err.Error(), ErrProtocol.Error()+": "))}
		}
		p.Type = w.Type
		var scratch []byte
		v := c.value(&w, &scratch)
		p.Null = v == nil
		p.Value = append([]byte{}, v...)
		if status&paramDefaultValue != 0 {
			return out, requestError{unsupportedError("a parameter's default")}
		}
		out.parameters = append(out.parameters, p)
	}
	return out, incompleteIsMalformed(c.err)
}

// appendExecuteSQL makes a call of sp_executesql.
func appendExecuteSQL(out []byte, text string, parameters []rows.Parameter) []byte {
	out = appendAllHeaders(out)
	out = appendU16(appendU16(appendU16(out, nullLength), procExecuteSQL), 0)
	unnamed := func(s string) {
		out = append(out, 0, 0)
		t := rows.Type{Kind: rows.Text}
		out = appendValue(appendType(out, t), t, []byte(s))
	}
	unnamed(text)
	if len(parameters) == 0 {
		return out
	}
	var declared strings.Builder
	for i, p := range parameters {
		if i > 0 {
			declared.WriteByte(',')
		}
		declared.WriteString(p.Name + " " + SQLType(p.Type))
	}
	unnamed(declared.String())
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

func appendAllHeaders(out []byte) []byte {
	out = appendU32(appendU32(out, 22), 18)
	out = appendU16(out, 2)                                // the transaction's
	return append(out, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0) // none; one request
}

// SQLType writes a type as SQL does.
func SQLType(t rows.Type) string {
	size := func(most int) string {
		if t.Size == 0 || t.Size > most {
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

// declaredNames gives the names in a declaration of parameters, as "@a int, @b decimal(9,2)".
func declaredNames(declaration string) (out []string) {
	depth, fresh := 0, true
	for i := 0; i < len(declaration); i++ {
		switch c := declaration[i]; {
		case c == '(':
			depth++
		case c == ')':
			depth--
		case c == ',' && depth == 0:
			fresh = true
		case c == '@' && fresh:
			n := i + 1
			for n < len(declaration) && !strings.ContainsRune(" \t\r\n,()", rune(declaration[n])) {
				n++
			}
			out = append(out, declaration[i:n])
			i, fresh = n-1, false
		}
	}
	return out
}

// nameParameters gives the values that follow a statement and its declaration their names.
func nameParameters(declaration string, values []parameter) ([]rows.Parameter, error) {
	names := declaredNames(declaration)
	if len(values) > len(names) {
		return nil, requestError{Message{8144, 2, 16, fmt.Sprintf("%d values for %d declared parameters.", len(values), len(names))}}
	}
	out := make([]rows.Parameter, 0, len(values))
	seen := map[string]bool{}
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
		known := false
		for _, n := range names {
			known = known || strings.EqualFold(n, name)
		}
		if !known || seen[key] {
			return nil, requestError{Message{8145, 1, 16, fmt.Sprintf("%.40q is not a declared parameter, or is there twice.", name)}}
		}
		seen[key] = true
		p := v.Parameter
		p.Name = name
		if _, err := rows.Literal(p); err != nil { // every engine must be able to be told it
			return nil, requestError{Message{8114, 5, 16, err.Error()}}
		}
		out = append(out, p)
	}
	if len(values) < len(names) {
		return nil, requestError{Message{8178, 1, 16, fmt.Sprintf("%d values for %d declared parameters.", len(values), len(names))}}
	}
	return out, nil
}

func unsupportedError(what string) Message {
	return Message{40510, 1, 16, "This router does not carry " + what + "."}
}
