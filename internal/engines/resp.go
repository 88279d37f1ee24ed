// Package engines speaks RESP with the sql engines and keeps the pools of connections to them.
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

var replyKinds = map[string]traffic.ReplyKind{"DONE": traffic.ReplyFirstPage, "WAIT": traffic.ReplyOverloaded, "BROKE": traffic.ReplyFailed,
	"PAST": traffic.ReplyTooLate, "TELL": traffic.ReplyProgress, "MORE": traffic.ReplyPage, "FIT": traffic.ReplyHealthy, "UNFIT": traffic.ReplyUnhealthy}

var updateKinds = map[string]brain.Update{"done": brain.Progress, "spills": brain.Spilling, "waits": brain.Waiting}

// Protocol is what the core must know of the engines' RESP.
func Protocol() *traffic.EngineProtocol {
	return &traffic.EngineProtocol{Name: "resp", BoundedResult: true, New: func() traffic.Engine { return Session{} }}
}

// Session is a connection to an engine. It holds nothing: ids tell what belongs together.
type Session struct{}

// Open says nothing.
func (Session) Open(*buffers.Chain) bool { return true }

// ErrMalformedReply says that a connection's bytes are no answers: nothing after them can be read.
var ErrMalformedReply = errors.New("not an answer")

const (
	maxElements    = 16
	maxBulkBytes   = 8 << 10 // a page holds 6,000 bytes
	rowColumns     = 3
	maxHeaderBytes = 24
	maxPages       = 64  // far more than the largest result has
	maxTextBytes   = 512 // bytes of id, word and fields that count
)

// Read reads an answer off the stream; none while it is not whole.
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
		return nil, fmt.Errorf("%w: %d parts", ErrMalformedReply, count)
	}
	text := func(i int) string {
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

func readHeader(in *buffers.Chain, at *int, mark byte, most int) (n int, ok bool, err error) {
	end := in.Index(*at, '\n', maxHeaderBytes)
	if end < 0 {
		if in.Len()-*at >= maxHeaderBytes {
			return 0, false, fmt.Errorf("%w: a length without end", ErrMalformedReply)
		}
		return 0, false, nil
	}
	var line [maxHeaderBytes]byte
	l := line[:in.Peek(*at, line[:end-*at])]
	if len(l) < 3 || l[0] != mark || l[len(l)-1] != '\r' {
		return 0, false, fmt.Errorf("%w: %q where a length belongs", ErrMalformedReply, l)
	}
	n, err = strconv.Atoi(string(l[1 : len(l)-1]))
	if err != nil || n < 0 || n > most {
		return 0, false, fmt.Errorf("%w: length %q", ErrMalformedReply, l)
	}
	*at = end + 1
	return n, true, nil
}

// ValidRows tells whether a page holds whole rows of three text columns. Noise shows where a byte is none of text.
func ValidRows(page *buffers.Chain) bool {
	var b byte
	if page.Len() == 0 {
		return false
	}
	tabs, in := 0, page.Reader()
	for {
		c, err := in.ReadByte()
		if err != nil {
			return b == '\n'
		}
		switch b = c; {
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

// EachField goes through the fields of a list such as "name=value,name=value".
func EachField(list string, separator, equals byte, take func(name, value string)) {
	if list == "-" {
		return
	}
	for len(list) > 0 {
		one := list
		if i := strings.IndexByte(list, separator); i >= 0 {
			one, list = list[:i], list[i+1:]
		} else {
			list = ""
		}
		if i := strings.IndexByte(one, equals); i > 0 {
			take(one[:i], one[i+1:])
		}
	}
}

// parseFields takes what the fields tell.
func parseFields(r *traffic.EngineReply, list string) {
	EachField(list, ',', '=', func(name, value string) {
		switch name {
		case "sheets":
			r.Pages = parseCount(value)
		case "sheet":
			r.Page = parseCount(value)
		case "toil":
			r.Work = ParseNumber(value) / 1000
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

// validate says why an answer can't be passed on, if it can't.
func validate(r *traffic.EngineReply, fields string) {
	why := ""
	switch r.Kind {
	case traffic.ReplyFirstPage:
		if r.Pages < 1 || r.Pages > maxPages {
			why = "number of pages"
		} else if r.Rows.Len() == 0 && r.Pages == 1 {
			return
		} else if !ValidRows(r.Rows.Data) {
			why = "rows"
		}
	case traffic.ReplyPage:
		if r.Page < 1 || r.Page >= maxPages {
			why = "number of a page"
		} else if !ValidRows(r.Rows.Data) {
			why = "rows"
		}
	case traffic.ReplyUnknown:
		why = "word"
	}
	if why != "" {
		r.Invalid = fmt.Sprintf("%s; fields %q", why, fields)
	}
}

func parseLoad(text string) *brain.Report {
	if text == "" {
		return nil
	}
	rep := settings.EmptyReport()
	EachField(text, ';', ':', func(name, value string) { settings.SetReportField(rep, name, ParseNumber(value)) })
	return rep
}

func parseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// ParseNumber reads a figure; one that is none is below 0.
func ParseNumber(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return -1
	}
	return v
}

// Encode asks an engine for something. The wait is rounded up, lest the engine gives up before the router does.
func (Session) Encode(out *buffers.Chain, what traffic.EngineCommand) {
	switch o := what.(type) {
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
		// What can't be written as a literal was refused before it was taken.
		text, _ := rows.Inline(d.Text.String(), d.Parameters)
		out.WriteString("$" + strconv.Itoa(len(d.SessionSetup)+len(text)) + "\r\n" + d.SessionSetup + text)
	}
	out.WriteString("\r\n")
}

func writeCommand(out *buffers.Chain, parts ...string) {
	n := len(parts)
	if parts[0] == "fetch" {
		n++ // the text follows
	}
	out.WriteString("*" + strconv.Itoa(n) + "\r\n")
	for _, p := range parts {
		out.WriteString("$" + strconv.Itoa(len(p)) + "\r\n" + p + "\r\n")
	}
}
