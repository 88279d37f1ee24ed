// Package rows holds results on their way from an engine to a client, in a form of no protocol: columns with types and
// rows of values, or lines of text as they came.
package rows

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"unicode/utf8"

	"pitchfield/internal/buffers"
)

// Kind is the kind of a column's values.
type Kind uint8

// The kinds, with the bytes of a value. Numbers have their least byte first.
const (
	Bit            Kind = iota // 1
	Int8                       // 1, without sign
	Int16                      // 2
	Int32                      // 4
	Int64                      // 8
	Float32                    // 4
	Float64                    // 8
	Decimal                    // 1 for the sign (1: not below 0), then 4, 8, 12 or 16
	Money                      // 8: ten-thousandths
	SmallMoney                 // 4: ten-thousandths
	Date                       // 3: days since 0001-01-01
	Time                       // 3 to 5: units of the scale since midnight
	DateTime2                  // a time, then a date
	DateTimeOffset             // a time, a date (both UTC), then 2: minutes
	DateTime                   // 4: days since 1900-01-01; 4: three-hundredths of a second
	SmallDateTime              // 2: days since 1900-01-01; 2: minutes
	Text                       // UTF-8
	Bytes                      // as they are
	GUID                       // 16, the first three groups with their least byte first
	kindCount
)

var kindNames = [kindCount]string{"bit", "tinyint", "smallint", "int", "bigint", "real", "float", "decimal", "money",
	"smallmoney", "date", "time", "datetime2", "datetimeoffset", "datetime", "smalldatetime", "nvarchar", "varbinary",
	"uniqueidentifier"}

func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Type is a column's type.
type Type struct {
	Kind             Kind
	Size             int // of Text in characters and of Bytes in bytes, at most; 0: no bound
	Precision, Scale uint8
}

// Column is one of a result.
type Column struct {
	Name string
	Type
}

// Parameter is a value that a statement's text names.
type Parameter struct {
	Column
	Null  bool
	Value []byte
}

// Encoding is how a part's data lie.
type Encoding uint8

// The forms.
const (
	Lines  Encoding = iota // three columns of text: tabs between them, an end of line after each row
	Values                 // for each column a size in four bytes, or Null, and the value
)

// NullSize stands for the size of a value that is none.
const NullSize = 0xFFFFFFFF

// Part is some rows of a result. Columns stand with the first part of each result of a batch.
type Part struct {
	Encoding Encoding
	Columns  []Column
	Data     *buffers.Chain // may be nil: no rows
	Count    int            // rows, in Values
}

// Len tells the bytes held.
func (p Part) Len() int { return p.Data.Len() }

// Release gives the buffers back.
func (p Part) Release() { p.Data.Release() }

// Release gives the buffers of all back.
func Release(parts []Part) {
	for _, p := range parts {
		p.Release()
	}
}

// AppendValue writes one value in the form Values; nil is none.
func AppendValue(out *buffers.Chain, value []byte) {
	var size [4]byte
	if value == nil {
		binary.LittleEndian.PutUint32(size[:], NullSize)
		out.Write(size[:])
		return
	}
	binary.LittleEndian.PutUint32(size[:], uint32(len(value)))
	out.Write(size[:])
	out.Write(value)
}

// ErrMalformed says that rows are not what their columns say.
var ErrMalformed = errors.New("rows do not fit their columns")

// scratch is what reading rows needs for a while.
type scratch struct {
	row  [][]byte
	data []byte
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

// Each gives the rows of a part in the form Values, each as its values; nil is none. They are good until the next.
func Each(p Part, columns int, take func(row [][]byte) error) error {
	if p.Data.Len() == 0 {
		return nil
	}
	if columns < 1 {
		return ErrMalformed
	}
	work := scratchPool.Get().(*scratch)
	defer scratchPool.Put(work)
	if cap(work.row) < columns {
		work.row = make([][]byte, columns)
	}
	if cap(work.data) < p.Data.Len() {
		work.data = make([]byte, p.Data.Len())
	}
	row, all := work.row[:columns], work.data[:p.Data.Len()]
	p.Data.Peek(0, all)
	for len(all) > 0 {
		for i := range row {
			if len(all) < 4 {
				return ErrMalformed
			}
			size := binary.LittleEndian.Uint32(all)
			all = all[4:]
			if size == NullSize {
				row[i] = nil
				continue
			}
			if uint64(size) > uint64(len(all)) {
				return ErrMalformed
			}
			row[i], all = all[:size:size], all[size:]
		}
		if err := take(row); err != nil {
			return err
		}
	}
	return nil
}

// lineColumns are those of results that come as lines.
var lineColumns = []Column{{Name: "c1", Type: Type{Kind: Text}}, {Name: "c2", Type: Type{Kind: Text}},
	{Name: "c3", Type: Type{Kind: Text}}}

// AsValues turns a result of lines to one of values; others stay. What can't be expressed is an error: bytes that are
// no UTF-8 have no place in a column of text.
func AsValues(pool *buffers.Pool, parts []Part) ([]Part, error) {
	if len(parts) == 0 || parts[0].Encoding == Values {
		return parts, nil
	}
	out := Part{Encoding: Values, Columns: lineColumns, Data: pool.Chain()}
	defer Release(parts)
	for _, p := range parts {
		text := p.Data.Bytes()
		if !utf8.Valid(text) {
			out.Release()
			return nil, errors.New("the result is no UTF-8")
		}
		for len(text) > 0 {
			for i := range lineColumns {
				end := byte('\t')
				if i == len(lineColumns)-1 {
					end = '\n'
				}
				n := 0
				for n < len(text) && text[n] != end {
					n++
				}
				if n == len(text) {
					out.Release()
					return nil, ErrMalformed
				}
				AppendValue(out.Data, text[:n])
				text = text[n+1:]
			}
			out.Count++
		}
	}
	return []Part{out}, nil
}

// AsLines turns a result of values to lines; others stay. Lines carry three columns of text of one result, so another
// number of columns, a second result, a value that is none, and tabs and ends of line inside a value are errors.
func AsLines(pool *buffers.Pool, parts []Part) ([]Part, error) {
	if len(parts) == 0 || parts[0].Encoding == Lines {
		return parts, nil
	}
	defer Release(parts)
	out := Part{Data: pool.Chain()}
	var columns []Column
	fail := func(err error) ([]Part, error) {
		out.Release()
		return nil, err
	}
	for _, p := range parts {
		if p.Columns != nil && columns != nil {
			return fail(errors.New("more than one result for one answer"))
		}
		if p.Columns != nil {
			columns = p.Columns
			if len(columns) != len(lineColumns) {
				return fail(fmt.Errorf("%d columns where an answer carries %d", len(columns), len(lineColumns)))
			}
		}
		err := Each(p, len(columns), func(row [][]byte) error {
			for i, v := range row {
				if v == nil {
					return fmt.Errorf("column %q holds no value, which an answer can't tell from an empty one", columns[i].Name)
				}
				text, err := Format(columns[i].Type, v)
				if err != nil {
					return err
				}
				if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }) {
					return fmt.Errorf("column %q holds a control character", columns[i].Name)
				}
				out.Data.WriteString(text)
				out.Data.WriteString("\t\t\n"[i : i+1])
			}
			return nil
		})
		if err != nil {
			return fail(err)
		}
	}
	return []Part{out}, nil
}
