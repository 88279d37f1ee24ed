// Package rows represents results on their way from an engine to a client, independently of the protocols of both: typed
// columns with rows of values, or lines of text as received. It also writes values as text and as SQL literals.
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

// Kind is the data type of a column, without its size, precision and scale.
type Kind uint8

// The kinds, with the size in bytes and the encoding of a value. Numbers are little-endian.
const (
	Bit            Kind = iota // 1
	Int8                       // 1, unsigned
	Int16                      // 2
	Int32                      // 4
	Int64                      // 8
	Float32                    // 4
	Float64                    // 8
	Decimal                    // 1 for the sign (1: not negative), then 4, 8, 12 or 16
	Money                      // 8, in ten-thousandths
	SmallMoney                 // 4, in ten-thousandths
	Date                       // 3: days since 0001-01-01
	Time                       // 3 to 5: time since midnight, in units of 10^-scale seconds; see TimeSize
	DateTime2                  // a Time, then a Date
	DateTimeOffset             // a Time and a Date, both in UTC, then 2: offset in minutes
	DateTime                   // 4: days since 1900-01-01; 4: time since midnight in 1/300 s
	SmallDateTime              // 2: days since 1900-01-01; 2: minutes since midnight
	Text                       // any size, UTF-8
	Bytes                      // any size
	GUID                       // 16, the first three groups little-endian
	kindCount
)

// kindNames are the names of the kinds in SQL.
var kindNames = [kindCount]string{"bit", "tinyint", "smallint", "int", "bigint", "real", "float", "decimal", "money",
	"smallmoney", "date", "time", "datetime2", "datetimeoffset", "datetime", "smalldatetime", "nvarchar", "varbinary",
	"uniqueidentifier"}

func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Type is the data type of a column. Precision and Scale count decimal digits.
type Type struct {
	Kind             Kind
	Size             int // largest size of a Text in characters or of a Bytes in bytes; 0: unbounded
	Precision, Scale uint8
}

// Column is the name and type of a column of a result.
type Column struct {
	Name string
	Type
}

// Parameter is a value that the text of a statement refers to by name.
type Parameter struct {
	Column
	Null  bool
	Value []byte
}

// Encoding is how the data of a Part are encoded.
type Encoding uint8

// The encodings.
const (
	Lines  Encoding = iota // three columns of text, separated by tabs, with a line feed after each row
	Values                 // for each column the size of the value in four bytes, or NullSize, then the value
)

// NullSize is the size that marks an SQL NULL in the encoding Values.
const NullSize = 0xFFFFFFFF

// Part holds some rows of a result. Only the first part of each result of a batch has Columns.
type Part struct {
	Encoding Encoding
	Columns  []Column
	Data     *buffers.Chain // nil if there are no rows
	Count    int            // number of rows; only set with Values
}

// Len returns the size of the data in bytes.
func (p Part) Len() int { return p.Data.Len() }

// Release returns the buffers of the part to their pool.
func (p Part) Release() { p.Data.Release() }

// Release returns the buffers of all parts to their pool.
func Release(parts []Part) {
	for _, p := range parts {
		p.Release()
	}
}

// AppendValue appends one value in the encoding Values. A nil value is written as NULL; an empty one is not NULL.
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

// ErrMalformed means that data do not match the types or the number of their columns.
var ErrMalformed = errors.New("rows do not fit their columns")

// scratch holds the slices that Each needs while it reads a part. They are pooled to avoid an allocation per part.
type scratch struct {
	row  [][]byte
	data []byte
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

// Each calls handle with the values of each row of a part in the encoding Values; NULL is nil. The row and its values are
// valid only during the call. Each stops at the first error of handle and returns it.
func Each(p Part, columns int, handle func(row [][]byte) error) error {
	if p.Data.Len() == 0 {
		return nil
	}
	if columns < 1 {
		return ErrMalformed
	}
	buffer := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buffer)
	if cap(buffer.row) < columns {
		buffer.row = make([][]byte, columns)
	}
	if cap(buffer.data) < p.Data.Len() {
		buffer.data = make([]byte, p.Data.Len())
	}
	row, all := buffer.row[:columns], buffer.data[:p.Data.Len()]
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
		if err := handle(row); err != nil {
			return err
		}
	}
	return nil
}

// lineColumns are the columns of results in the encoding Lines.
var lineColumns = []Column{{Name: "c1", Type: Type{Kind: Text}}, {Name: "c2", Type: Type{Kind: Text}},
	{Name: "c3", Type: Type{Kind: Text}}}

// AsValues converts a result from the encoding Lines to Values and releases the parts given; a result in Values is
// returned as it is. Bytes that are not UTF-8 are an error, because a column of text can't hold them.
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

// AsLines converts a result from the encoding Values to Lines and releases the parts given; a result in Lines is returned
// as it is. Lines hold three columns of text of one result, so another number of columns, a second result, a NULL, and
// tabs, line feeds and other control characters inside a value are errors.
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
