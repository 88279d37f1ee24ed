// Package engines speaks RESP with the sql engines and keeps the pools of connections to them.
package engines

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pitchfield/internal/buffers"
)

// Word says what an answer is.
type Word uint8

// The words; what is not known is dropped.
const (
	Unknown Word = iota
	Done
	Full
	Broke
	Past
	Tell
	More
	Fit
	Unfit
)

var words = map[string]Word{"DONE": Done, "WAIT": Full, "BROKE": Broke, "PAST": Past, "TELL": Tell, "MORE": More,
	"FIT": Fit, "UNFIT": Unfit}

// Reply is one answer of an engine. Its body is the holder's to release.
type Reply struct {
	ID     string
	Word   Word
	Fields string
	Body   *buffers.Chain
}

// ErrReply says that a connection's bytes are no answers: nothing after them can be read.
var ErrReply = errors.New("not an answer")

const (
	mostParts = 16
	mostBulk  = 8 << 10 // a page holds 6,000 bytes
	columns   = 3
	mostLine  = 24
	shown     = 512 // bytes of id, word and fields that count
)

// Next reads an answer off the stream; none while it is not whole.
func Next(in *buffers.Chain) (*Reply, error) {
	at := 0
	count, ok, err := header(in, &at, '*', mostParts)
	if !ok {
		return nil, err
	}
	var starts, sizes [mostParts]int
	for i := range count {
		if sizes[i], ok, err = header(in, &at, '$', mostBulk); !ok {
			return nil, err
		}
		starts[i] = at
		if at += sizes[i] + 2; at > in.Len() {
			return nil, nil
		}
		var end [2]byte
		if in.Peek(at-2, end[:]); end != [2]byte{'\r', '\n'} {
			return nil, fmt.Errorf("%w: bulk string %d does not end", ErrReply, i)
		}
	}
	if count < 2 {
		return nil, fmt.Errorf("%w: %d parts", ErrReply, count)
	}
	text := func(i int) string {
		if i >= count {
			return ""
		}
		out := make([]byte, min(sizes[i], shown))
		in.Peek(starts[i], out)
		return string(out)
	}
	r := &Reply{ID: text(0), Word: words[text(1)], Fields: text(2)}
	if count > 3 {
		in.Discard(starts[3])
		r.Body = in.Cut(sizes[3])
		in.Discard(at - starts[3] - sizes[3])
	} else {
		in.Discard(at)
	}
	return r, nil
}

func header(in *buffers.Chain, at *int, mark byte, most int) (n int, ok bool, err error) {
	end := in.Index(*at, '\n', mostLine)
	if end < 0 {
		if in.Len()-*at >= mostLine {
			return 0, false, fmt.Errorf("%w: a length without end", ErrReply)
		}
		return 0, false, nil
	}
	var line [mostLine]byte
	l := line[:in.Peek(*at, line[:end-*at])]
	if len(l) < 3 || l[0] != mark || l[len(l)-1] != '\r' {
		return 0, false, fmt.Errorf("%w: %q where a length belongs", ErrReply, l)
	}
	n, err = strconv.Atoi(string(l[1 : len(l)-1]))
	if err != nil || n < 0 || n > most {
		return 0, false, fmt.Errorf("%w: length %q", ErrReply, l)
	}
	*at = end + 1
	return n, true, nil
}

// Rows tells whether a page holds whole rows of three text columns. Noise shows where a byte is none of text.
func Rows(page *buffers.Chain) bool {
	var b byte
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
			if tabs != columns-1 {
				return false
			}
			tabs = 0
		case c < ' ' || c == 0x7f:
			return false
		}
	}
}

// Each goes through the fields of a list such as "name=value,name=value".
func Each(list string, separator, equals byte, take func(name, value string)) {
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

// Said is what the fields of an answer tell. What is absent is below 0, or empty.
type Said struct {
	Pages, Page  int
	Work, Memory float64 // seconds, MB
	Load         string  // the load report, as name:value;name:value
	Note         string
	Level        float64
}

// Said reads the fields.
func (r *Reply) Said() Said {
	s := Said{Pages: -1, Page: -1, Work: -1, Memory: -1}
	Each(r.Fields, ',', '=', func(name, value string) {
		switch name {
		case "sheets":
			s.Pages = whole(value)
		case "sheet":
			s.Page = whole(value)
		case "toil":
			s.Work = Number(value) / 1000
		case "room":
			s.Memory = Number(value)
		case "use":
			s.Load = value
		case "detail":
			s.Note = value
		case "val":
			s.Level = Number(value)
		}
	})
	return s
}

func whole(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// Number reads a figure; one that is none is below 0.
func Number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return -1
	}
	return v
}

// Fetch is a dispatch as an engine is asked for it.
type Fetch struct {
	ID, Group, Mark string
	Wait, Memory    float64 // seconds, MB
	Text            *buffers.Chain
}

// Write asks an engine for the batch. The wait is rounded up, lest the engine gives up before the router does.
func (f Fetch) Write(out *buffers.Chain) {
	fields := "queue=" + f.Group + ",budget=" + strconv.Itoa(max(int(math.Ceil(f.Wait*1000)), 1))
	if f.Mark != "" {
		fields += ",uniq=" + f.Mark
	}
	if f.Memory > 0 {
		fields += ",allot=" + strconv.Itoa(int(math.Ceil(f.Memory)))
	}
	open(out, "fetch", f.ID, fields)
	out.WriteString("$" + strconv.Itoa(f.Text.Len()) + "\r\n")
	out.Append(f.Text)
	out.WriteString("\r\n")
}

func open(out *buffers.Chain, parts ...string) {
	n := len(parts)
	if parts[0] == "fetch" {
		n++ // the text follows
	}
	out.WriteString("*" + strconv.Itoa(n) + "\r\n")
	for _, p := range parts {
		out.WriteString("$" + strconv.Itoa(len(p)) + "\r\n" + p + "\r\n")
	}
}

// WriteAbort gives a dispatch up.
func WriteAbort(out *buffers.Chain, id string) { open(out, "abort", id) }

// WriteMore asks for a page of a result.
func WriteMore(out *buffers.Chain, id string, page int) { open(out, "more", id, strconv.Itoa(page)) }

// WriteDone says that no more pages are wanted.
func WriteDone(out *buffers.Chain, id string) { open(out, "done", id) }

// WriteProbe asks for an engine's health, with its load report if it has any.
func WriteProbe(out *buffers.Chain, tag string, report bool) {
	if report {
		open(out, "stats", tag)
	} else {
		open(out, "alive", tag)
	}
}
