// Package engines implements the RESP protocol between the router and the SQL engines, the connection pool of an engine,
// and the [[engine]] sections of the operator's settings.
package engines

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/settings"
	"pitchfield/internal/traffic"
)

// replyKinds maps the status word of a reply to its kind.
var replyKinds = map[string]traffic.ReplyKind{"DONE": traffic.ReplyFirstPage, "WAIT": traffic.ReplyOverloaded, "BROKE": traffic.ReplyFailed,
	"PAST": traffic.ReplyTooLate, "TELL": traffic.ReplyProgress, "MORE": traffic.ReplyPage, "FIT": traffic.ReplyHealthy, "UNFIT": traffic.ReplyUnhealthy}

// updateKinds maps the "detail" field of a progress reply to its kind.
var updateKinds = map[string]brain.Update{"done": brain.Progress, "spills": brain.Spilling, "waits": brain.Waiting}

// Protocol returns the description of RESP for the router's core.
func Protocol() *traffic.EngineProtocol {
	return &traffic.EngineProtocol{Name: "resp", BoundedResult: true, MaxInlinedBytes: maxInlinedBytes,
		New: func() traffic.Engine { return Session{} }}
}

// Session is the protocol state of one connection to an engine. RESP needs none: ids match replies to requests.
type Session struct{}

// Open writes nothing, since RESP has no handshake: the connection is ready at once.
func (Session) Open(*buffers.Chain) bool { return true }

// ErrMalformedReply reports bytes that are not a reply. Nothing after them can be read on the connection.
var ErrMalformedReply = errors.New("malformed reply")

// maxInlinedBytes is the largest statement with its parameters written into the text, in bytes: twice the largest message
// of a client, so that a statement that names each of its parameters once always fits.
const maxInlinedBytes = 512 << 10

// Limits and sizes of replies.
const (
	maxElements    = 16      // of the array that is a reply
	maxBulkBytes   = 8 << 10 // of a bulk string; a page of a result holds 6,000 bytes
	rowColumns     = 3       // of a result
	maxHeaderBytes = 24      // of a line with a length
	maxPages       = 64      // of a result; far more than the largest result has
	maxTextBytes   = 512     // of the id, the status word and the fields that are read; the rest is ignored
)

// Read removes the next reply from in and returns it, or nil if the reply is not complete yet. A reply is an array of id,
// status word, fields and rows; the last two may be missing. Any error is an ErrMalformedReply. A complete reply whose content
// is not valid is returned with the reason noted in it.
func (Session) Read(in, _ *buffers.Chain) (*traffic.EngineReply, error) {
	at := 0
	count, ok, err := readHeader(in, &at, '*', maxElements)
	if !ok {
		return nil, err
	}
	var starts, sizes [maxElements]int
	for i := range count {
		if sizes[i], ok, err = readHeader(in, &at, '$', maxBulkBytes); !ok {
			return nil, err
		}
		starts[i] = at
		if at += sizes[i] + 2; at > in.Len() {
			return nil, nil
		}
		var end [2]byte
		if in.Peek(at-2, end[:]); end != [2]byte{'\r', '\n'} {
			return nil, fmt.Errorf("%w: bulk string %d does not end", ErrMalformedReply, i)
		}
	}
	if count < 2 {
		return nil, fmt.Errorf("%w: %d elements", ErrMalformedReply, count)
	}
	text := func(i int) string { // empty: the element is missing
		if i >= count {
			return ""
		}
		out := make([]byte, min(sizes[i], maxTextBytes))
		in.Peek(starts[i], out)
		return string(out)
	}
	r := &traffic.EngineReply{ID: text(0), Kind: replyKinds[text(1)], Pages: -1, Page: -1, Work: -1, Memory: -1}
	fields := text(2)
	parseFields(r, fields)
	if count > 3 {
		in.Discard(starts[3])
		r.Rows.Data = in.Cut(sizes[3])
		in.Discard(at - starts[3] - sizes[3])
	} else {
		in.Discard(at)
	}
	validate(r, fields)
	return r, nil
}

// readHeader reads a line with a type byte and a length of at most limit, and moves at behind it. Without an error, ok is false
// while the line is not complete.
func readHeader(in *buffers.Chain, at *int, typeByte byte, limit int) (n int, ok bool, err error) {
	end := in.Index(*at, '\n', maxHeaderBytes)
	if end < 0 {
		if in.Len()-*at >= maxHeaderBytes {
			return 0, false, fmt.Errorf("%w: unterminated length", ErrMalformedReply)
		}
		return 0, false, nil
	}
	var line [maxHeaderBytes]byte
	header := line[:in.Peek(*at, line[:end-*at])]
	if len(header) < 3 || header[0] != typeByte || header[len(header)-1] != '\r' {
		return 0, false, fmt.Errorf("%w: %q instead of a length", ErrMalformedReply, header)
	}
	n, err = strconv.Atoi(string(header[1 : len(header)-1]))
	if err != nil || n < 0 || n > limit {
		return 0, false, fmt.Errorf("%w: invalid length %q", ErrMalformedReply, header)
	}
	*at = end + 1
	return n, true, nil
}

// ValidRows reports whether a page consists of complete rows of three text columns. Control characters other than tab and
// line feed make it invalid: corrupted pages are recognized by them.
func ValidRows(page *buffers.Chain) bool {
	var last byte
	if page.Len() == 0 {
		return false
	}
	tabs, in := 0, page.Reader()
	for {
		c, err := in.ReadByte()
		if err != nil {
			return last == '\n'
		}
		switch last = c; {
		case c == '\t':
			tabs++
		case c == '\n':
			if tabs != rowColumns-1 {
				return false
			}
			tabs = 0
		case c < ' ' || c == 0x7f:
			return false
		}
	}
}

// EachField calls take for each field of a list, such as "name=value,name=value". Items without a name are skipped. The list "-"
// has no fields.
func EachField(list string, separator, equals byte, take func(name, value string)) {
	if list == "-" {
		return
	}
	for len(list) > 0 {
		item := list
		if i := strings.IndexByte(list, separator); i >= 0 {
			item, list = list[:i], list[i+1:]
		} else {
			list = ""
		}
		if i := strings.IndexByte(item, equals); i > 0 {
			take(item[:i], item[i+1:])
		}
	}
}

// parseFields stores the fields of a reply in it. Fields with other names are ignored.
func parseFields(r *traffic.EngineReply, list string) {
	EachField(list, ',', '=', func(name, value string) {
		switch name {
		case "sheets":
			r.Pages = parseCount(value)
		case "sheet":
			r.Page = parseCount(value)
		case "toil":
			r.Work = ParseNumber(value) / 1000 // sent in milliseconds
		case "room":
			r.Memory = ParseNumber(value)
		case "use":
			r.Load = parseLoad(value)
		case "detail":
			r.Note = updateKinds[value]
		case "val":
			r.Level = ParseNumber(value)
		}
	})
}

// validate notes in a reply why it can't be passed on, if it can't.
func validate(r *traffic.EngineReply, fields string) {
	reason := ""
	switch r.Kind {
	case traffic.ReplyFirstPage:
		if r.Pages < 1 || r.Pages > maxPages {
			reason = "number of pages"
		} else if r.Rows.Len() == 0 && r.Pages == 1 {
			return
		} else if !ValidRows(r.Rows.Data) {
			reason = "rows"
		}
	case traffic.ReplyPage:
		if r.Page < 1 || r.Page >= maxPages {
			reason = "page number"
		} else if !ValidRows(r.Rows.Data) {
			reason = "rows"
		}
	case traffic.ReplyUnknown:
		reason = "word"
	}
	if reason != "" {
		r.Invalid = fmt.Sprintf("%s; fields %q", reason, fields)
	}
}

// parseLoad reads a load report, such as "queue:3;x0:0.25"; nil: there is none.
func parseLoad(text string) *brain.Report {
	if text == "" {
		return nil
	}
	load := settings.EmptyReport()
	EachField(text, ';', ':', func(name, value string) { settings.SetReportField(load, name, ParseNumber(value)) })
	return load
}

// parseCount reads a count; -1: the text is not one.
func parseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// ParseNumber reads a finite number. It returns -1 for text that is not one.
func ParseNumber(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return -1
	}
	return v
}

// Encode writes a command to an engine.
func (Session) Encode(out *buffers.Chain, order traffic.EngineCommand) {
	switch o := order.(type) {
	case *traffic.Dispatch:
		writeFetch(out, o)
	case traffic.CancelDispatch:
		writeCommand(out, "abort", o.ID)
	case traffic.FetchPage:
		writeCommand(out, "more", o.ID, strconv.Itoa(o.Page))
	case traffic.CloseResult:
		writeCommand(out, "done", o.ID)
	case traffic.Probe:
		if o.WantLoad {
			writeCommand(out, "stats", o.Tag)
		} else {
			writeCommand(out, "alive", o.Tag)
		}
	}
}

// writeFetch writes the command that runs a statement. Its time limit is sent in whole milliseconds and rounded up, so that the
// engine doesn't stop before the router does.
func writeFetch(out *buffers.Chain, d *traffic.Dispatch) {
	fields := "queue=" + d.Group + ",budget=" + strconv.Itoa(max(int(math.Ceil(d.Wait*1000)), 1))
	if d.IdempotencyKey != "" {
		fields += ",uniq=" + d.IdempotencyKey
	}
	if d.Memory > 0 {
		fields += ",allot=" + strconv.Itoa(int(math.Ceil(d.Memory)))
	}
	writeCommand(out, "fetch", d.ID, fields)
	if d.SessionSetup == "" && len(d.Parameters) == 0 {
		out.WriteString("$" + strconv.Itoa(d.Text.Len()) + "\r\n")
		out.Append(d.Text)
	} else {
		writeInlinedStatement(out, &d.Statement)
	}
	out.WriteString("\r\n")
}

// writeInlinedStatement writes a statement as a bulk string without its end: the session's settings, then the text with the
// parameters written into it.
func writeInlinedStatement(out *buffers.Chain, s *traffic.Statement) {
	text := s.Text.String()
	size := len(text)
	if len(s.Parameters) > 0 {
		size = s.InlinedSize
	}
	out.WriteString("$" + strconv.Itoa(len(s.SessionSetup)+size) + "\r\n" + s.SessionSetup)
	// A parameter that can't be written as a literal was rejected before the batch was accepted.
	_ = rows.EachInlinedPart(text, s.Parameters, out.WriteString)
}

// writeCommand writes an array of bulk strings. After "fetch" the caller adds one more, the text of the statement.
func writeCommand(out *buffers.Chain, elements ...string) {
	n := len(elements)
	if elements[0] == "fetch" {
		n++ // the text follows
	}
	out.WriteString("*" + strconv.Itoa(n) + "\r\n")
	for _, element := range elements {
		out.WriteString("$" + strconv.Itoa(len(element)) + "\r\n" + element + "\r\n")
	}
}
