package tds

import (
	"encoding/binary"

	"golang.org/x/text/encoding/charmap"

	"pitchfield/internal/rows"
)

// The types of values on the wire (2.2.5.4).
const (
	typeNull        = 0x1F
	typeImage       = 0x22
	typeText        = 0x23
	typeGUID        = 0x24
	typeVarBinaryS  = 0x25
	typeIntN        = 0x26
	typeVarCharS    = 0x27
	typeDate        = 0x28
	typeTime        = 0x29
	typeDateTime2   = 0x2A
	typeDateTimeOff = 0x2B
	typeBinaryS     = 0x2D
	typeCharS       = 0x2F
	typeInt1        = 0x30
	typeBit         = 0x32
	typeInt2        = 0x34
	typeDecimalS    = 0x37
	typeInt4        = 0x38
	typeDateTim4    = 0x3A
	typeFlt4        = 0x3B
	typeMoney       = 0x3C
	typeDateTime    = 0x3D
	typeFlt8        = 0x3E
	typeNumericS    = 0x3F
	typeVariant     = 0x62
	typeNText       = 0x63
	typeBitN        = 0x68
	typeDecimalN    = 0x6A
	typeNumericN    = 0x6C
	typeFltN        = 0x6D
	typeMoneyN      = 0x6E
	typeDateTimN    = 0x6F
	typeMoney4      = 0x7A
	typeInt8        = 0x7F
	typeVarBinary   = 0xA5
	typeVarChar     = 0xA7
	typeBinary      = 0xAD
	typeChar        = 0xAF
	typeNVarChar    = 0xE7
	typeNChar       = 0xEF
	typeUDT         = 0xF0
	typeXML         = 0xF1
	typeTable       = 0xF3
)

const (
	noBound       = 0xFFFF // for a size: chunks, of any length
	noShort       = 0xFFFF // for a length: no value
	noChunks      = 0xFFFFFFFFFFFFFFFF
	unknownChunks = 0xFFFFFFFFFFFFFFFE
	utf8Collation = 1 << 26
	mostChars     = 4000 // of a text that has a bound
	mostBytes     = 8000
)

// lengths says how a value tells its length.
type lengths uint8

const (
	fixed lengths = iota
	inByte
	inShort
	inChunks
)

// wire is a column's type as it stands on the wire.
type wire struct {
	rows.Type
	lengths
	fixed  int              // bytes, where fixed
	most   int              // bytes, where told
	single bool             // characters of one byte,
	page   *charmap.Charmap // by this table; none: UTF-8
}

// code pages by the language of a collation; all others are taken for Windows-1252.
var pages = map[uint32]*charmap.Charmap{0x0405: charmap.Windows1250, 0x041B: charmap.Windows1250, 0x0415: charmap.Windows1250,
	0x040E: charmap.Windows1250, 0x0424: charmap.Windows1250, 0x041A: charmap.Windows1250, 0x0418: charmap.Windows1250,
	0x0419: charmap.Windows1251, 0x0422: charmap.Windows1251, 0x0408: charmap.Windows1253, 0x041F: charmap.Windows1254,
	0x0425: charmap.Windows1257, 0x0426: charmap.Windows1257, 0x0427: charmap.Windows1257}

var fixedTypes = map[byte]struct {
	kind rows.Kind
	size int
}{typeInt1: {rows.Int8, 1}, typeBit: {rows.Bit, 1}, typeInt2: {rows.Int16, 2}, typeInt4: {rows.Int32, 4},
	typeInt8: {rows.Int64, 8}, typeFlt4: {rows.Float32, 4}, typeFlt8: {rows.Float64, 8}, typeMoney: {rows.Money, 8},
	typeMoney4: {rows.SmallMoney, 4}, typeDateTime: {rows.DateTime, 8}, typeDateTim4: {rows.SmallDateTime, 4}}

// sized are the types whose bytes tell which kind they are.
var sized = map[byte]map[byte]rows.Kind{
	typeIntN:     {1: rows.Int8, 2: rows.Int16, 4: rows.Int32, 8: rows.Int64},
	typeBitN:     {1: rows.Bit},
	typeFltN:     {4: rows.Float32, 8: rows.Float64},
	typeMoneyN:   {4: rows.SmallMoney, 8: rows.Money},
	typeDateTimN: {4: rows.SmallDateTime, 8: rows.DateTime},
	typeGUID:     {16: rows.GUID},
}

var scaled = map[byte]rows.Kind{typeTime: rows.Time, typeDateTime2: rows.DateTime2, typeDateTimeOff: rows.DateTimeOffset}

func (c *cursor) collation(w *wire) {
	if b := c.take(5); b != nil {
		info := binary.LittleEndian.Uint32(b)
		if w.single && info&utf8Collation == 0 {
			if w.page = pages[info&0xFFFF]; w.page == nil {
				w.page = charmap.Windows1252
			}
		}
	}
}

// typeInfo reads a type (2.2.5.6). Types that nothing here can carry are errors that name them.
func (c *cursor) typeInfo() (w wire) {
	id := c.u8()
	if c.err != nil {
		return w
	}
	if f, ok := fixedTypes[id]; ok {
		w.Kind, w.fixed = f.kind, f.size
		return w
	}
	if kinds, ok := sized[id]; ok {
		size := c.u8()
		w.lengths = inByte
		if w.Kind, ok = kinds[size]; !ok && c.err == nil {
			c.fail("type %#x of %d bytes", id, size)
		}
		return w
	}
	if kind, ok := scaled[id]; ok {
		w.Kind, w.lengths, w.Scale = kind, inByte, c.u8()
		if w.Scale > 7 {
			c.fail("%s of scale %d", kind, w.Scale)
		}
		return w
	}
	switch id {
	case typeNull:
		w.Kind, w.lengths, w.fixed = rows.Text, fixed, 0
	case typeDate:
		w.Kind, w.lengths = rows.Date, inByte
	case typeDecimalN, typeNumericN, typeDecimalS, typeNumericS:
		size := c.u8()
		w.Kind, w.lengths, w.Precision, w.Scale = rows.Decimal, inByte, c.u8(), c.u8()
		if c.err == nil && (size > 17 || w.Precision < 1 || w.Precision > 38 || w.Scale > w.Precision) {
			c.fail("decimal(%d,%d) of %d bytes", w.Precision, w.Scale, size)
		}
	case typeVarCharS, typeCharS:
		w.Kind, w.lengths, w.single, w.Size, w.page = rows.Text, inByte, true, int(c.u8()), charmap.Windows1252
		w.most = w.Size
	case typeVarBinaryS, typeBinaryS:
		w.Kind, w.lengths, w.Size = rows.Bytes, inByte, int(c.u8())
		w.most = w.Size
	case typeVarChar, typeChar, typeNVarChar, typeNChar, typeVarBinary, typeBinary:
		size := c.u16()
		w.lengths, w.Size, w.Kind, w.most = inShort, int(size), rows.Text, int(size)
		if size == noBound {
			w.lengths, w.Size = inChunks, 0
		}
		switch id {
		case typeVarBinary, typeBinary:
			w.Kind = rows.Bytes
		case typeNVarChar, typeNChar:
			w.Size /= 2
			c.collation(&w)
		default:
			w.single = true
			c.collation(&w)
		}
	default:
		name := map[byte]string{typeImage: "image", typeText: "text", typeNText: "ntext", typeVariant: "sql_variant",
			typeUDT: "a user's type", typeXML: "xml", typeTable: "a table"}[id]
		if name == "" {
			name = "unknown"
		}
		c.fail("type %#x (%s) is not carried", id, name)
	}
	return w
}

// chunks reads a value that comes in parts (2.2.5.2.3).
func (c *cursor) chunks() (out []byte, null bool) {
	total := c.u64()
	if total == noChunks {
		return nil, true
	}
	if total != unknownChunks && total > mostToken {
		c.fail("value of %d bytes", total)
	}
	for c.err == nil {
		n := c.u32()
		if n == 0 {
			break
		}
		if n > mostToken {
			c.fail("piece of %d bytes", n)
			break
		}
		out = append(out, c.take(int(n))...)
	}
	if c.err == nil && total != unknownChunks && uint64(len(out)) != total {
		c.fail("%d bytes of a value of %d", len(out), total)
	}
	return out, false
}

// value reads one (2.2.5.5) and gives it as rows hold it; nil: none. Scratch is used for what has to be changed.
func (c *cursor) value(w *wire, scratch *[]byte) []byte {
	var b []byte
	switch w.lengths {
	case fixed:
		if b = c.take(w.fixed); w.fixed == 0 {
			return nil
		}
	case inByte:
		n := c.u8()
		if n == 0 {
			if c.err == nil && (w.Kind == rows.Bytes || w.single) { // an old short text may be empty
				return []byte{}
			}
			return nil
		}
		if w.most > 0 && int(n) > w.most {
			c.fail("%d bytes in a column of %d", n, w.most)
		}
		b = c.take(int(n))
	case inShort:
		n := c.u16()
		if n == noShort || c.err != nil {
			return nil
		}
		if int(n) > w.most {
			c.fail("%d bytes in a column of %d", n, w.most)
		}
		b = c.take(int(n))
	case inChunks:
		var null bool
		if b, null = c.chunks(); null {
			return nil
		}
		if b == nil {
			b = []byte{}
		}
	}
	if c.err != nil {
		return nil
	}
	if *scratch == nil { // an empty text is a value, and nil is none
		*scratch = make([]byte, 0, 64)
	}
	switch w.Kind {
	case rows.Text:
		switch {
		case !w.single:
			if len(b)%2 != 0 {
				c.fail("half a character")
				return nil
			}
			*scratch = appendUTF8((*scratch)[:0], b)
			return *scratch
		case w.page != nil:
			out := (*scratch)[:0]
			for _, one := range b {
				out = append(out, string(w.page.DecodeByte(one))...)
			}
			*scratch = out
			return out
		}
	case rows.Money:
		if len(b) == 8 { // the upper half comes first
			*scratch = append(append((*scratch)[:0], b[4:]...), b[:4]...)
			return *scratch
		}
	}
	if w.Kind != rows.Bytes {
		if err := w.Validate(b); err != nil {
			c.fail("%s", err)
		}
	}
	return b
}

var collation = []byte{0x09, 0x04, 0xD0, 0x00, 0x34} // SQL_Latin1_General_CP1_CI_AS; of no meaning for two-byte text

// appendType writes a type; all that we write may be without a value.
func appendType(out []byte, t rows.Type) []byte {
	switch t.Kind {
	case rows.Bit:
		return append(out, typeBitN, 1)
	case rows.Int8, rows.Int16, rows.Int32, rows.Int64:
		return append(out, typeIntN, byte(t.FixedSize()))
	case rows.Float32, rows.Float64:
		return append(out, typeFltN, byte(t.FixedSize()))
	case rows.Decimal:
		return append(out, typeDecimalN, 17, t.Precision, t.Scale)
	case rows.Money, rows.SmallMoney:
		return append(out, typeMoneyN, byte(t.FixedSize()))
	case rows.DateTime, rows.SmallDateTime:
		return append(out, typeDateTimN, byte(t.FixedSize()))
	case rows.Date:
		return append(out, typeDate)
	case rows.Time:
		return append(out, typeTime, t.Scale)
	case rows.DateTime2:
		return append(out, typeDateTime2, t.Scale)
	case rows.DateTimeOffset:
		return append(out, typeDateTimeOff, t.Scale)
	case rows.GUID:
		return append(out, typeGUID, 16)
	case rows.Bytes:
		if t.Size == 0 || t.Size > mostBytes {
			return u16(append(out, typeVarBinary), noBound)
		}
		return u16(append(out, typeVarBinary), t.Size)
	}
	out = append(out, typeNVarChar)
	if t.Size == 0 || t.Size > mostChars {
		out = u16(out, noBound)
	} else {
		out = u16(out, 2*t.Size)
	}
	return append(out, collation...)
}

// appendValue writes a value of a type as appendType wrote it; nil is none.
func appendValue(out []byte, t rows.Type, v []byte) []byte {
	switch t.Kind {
	case rows.Text, rows.Bytes:
	default:
		if v == nil {
			return append(out, 0)
		}
		if t.Kind == rows.Money && len(v) == 8 {
			return append(append(append(out, 8), v[4:]...), v[:4]...)
		}
		return append(append(out, byte(len(v))), v...)
	}
	most := mostChars
	if t.Kind == rows.Bytes {
		most = mostBytes
	}
	if t.Size > 0 && t.Size <= most {
		if v == nil {
			return u16(out, noShort)
		}
		if t.Kind == rows.Bytes {
			return append(u16(out, len(v)), v...)
		}
		at := len(out)
		out = appendUTF16(append(out, 0, 0), v)
		binary.LittleEndian.PutUint16(out[at:], uint16(len(out)-at-2))
		return out
	}
	if v == nil {
		return binary.LittleEndian.AppendUint64(out, noChunks)
	}
	at := len(out)
	out = append(out, make([]byte, 12)...)
	if t.Kind == rows.Bytes {
		out = append(out, v...)
	} else {
		out = appendUTF16(out, v)
	}
	n := len(out) - at - 12
	binary.LittleEndian.PutUint64(out[at:], uint64(n))
	if n == 0 {
		return out // the total, then the end: a piece of no bytes
	}
	binary.LittleEndian.PutUint32(out[at+8:], uint32(n))
	return u32(out, 0)
}
