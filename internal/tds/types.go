package tds

import (
	"encoding/binary"

	"golang.org/x/text/encoding/charmap"

	"pitchfield/internal/rows"
)

// The types of values on the wire (2.2.5.4).
const (
	typeNull            = 0x1F
	typeImage           = 0x22
	typeText            = 0x23
	typeGUID            = 0x24
	typeVarBinaryLegacy = 0x25
	typeIntN            = 0x26
	typeVarCharLegacy   = 0x27
	typeDate            = 0x28
	typeTime            = 0x29
	typeDateTime2       = 0x2A
	typeDateTimeOffset  = 0x2B
	typeBinaryLegacy    = 0x2D
	typeCharLegacy      = 0x2F
	typeInt1            = 0x30
	typeBit             = 0x32
	typeInt2            = 0x34
	typeDecimalLegacy   = 0x37
	typeInt4            = 0x38
	typeDateTime4       = 0x3A
	typeFlt4            = 0x3B
	typeMoney           = 0x3C
	typeDateTime        = 0x3D
	typeFlt8            = 0x3E
	typeNumericLegacy   = 0x3F
	typeVariant         = 0x62
	typeNText           = 0x63
	typeBitN            = 0x68
	typeDecimalN        = 0x6A
	typeNumericN        = 0x6C
	typeFltN            = 0x6D
	typeMoneyN          = 0x6E
	typeDateTimeN       = 0x6F
	typeMoney4          = 0x7A
	typeInt8            = 0x7F
	typeVarBinary       = 0xA5
	typeVarChar         = 0xA7
	typeBinary          = 0xAD
	typeChar            = 0xAF
	typeNVarChar        = 0xE7
	typeNChar           = 0xEF
	typeUDT             = 0xF0
	typeXML             = 0xF1
	typeTable           = 0xF3
)

const (
	plpSize          = 0xFFFF // for a size: chunks, of any length
	nullLength       = 0xFFFF // for a length: no value
	plpNull          = 0xFFFFFFFFFFFFFFFF
	plpUnknownLength = 0xFFFFFFFFFFFFFFFE
	collationUTF8    = 1 << 26
	maxNVarChar      = 4000 // of a text that has a bound
	maxVarBinary     = 8000
)

// lengthEncoding says how a value tells its length.
type lengthEncoding uint8

const (
	fixedLength lengthEncoding = iota
	byteLength
	ushortLength
	plpLength
)

// typeInfo is a column's type as it stands on the wire.
type typeInfo struct {
	rows.Type
	lengthEncoding
	fixedSize  int              // bytes, where fixed
	maxSize    int              // bytes, where told
	singleByte bool             // characters of one byte,
	codePage   *charmap.Charmap // by this table; none: UTF-8
}

// code pages by the language of a collation; all others are taken for Windows-1252.
var codePages = map[uint32]*charmap.Charmap{0x0405: charmap.Windows1250, 0x041B: charmap.Windows1250, 0x0415: charmap.Windows1250,
	0x040E: charmap.Windows1250, 0x0424: charmap.Windows1250, 0x041A: charmap.Windows1250, 0x0418: charmap.Windows1250,
	0x0419: charmap.Windows1251, 0x0422: charmap.Windows1251, 0x0408: charmap.Windows1253, 0x041F: charmap.Windows1254,
	0x0425: charmap.Windows1257, 0x0426: charmap.Windows1257, 0x0427: charmap.Windows1257}

var fixedTypes = map[byte]struct {
	kind rows.Kind
	size int
}{typeInt1: {rows.Int8, 1}, typeBit: {rows.Bit, 1}, typeInt2: {rows.Int16, 2}, typeInt4: {rows.Int32, 4},
	typeInt8: {rows.Int64, 8}, typeFlt4: {rows.Float32, 4}, typeFlt8: {rows.Float64, 8}, typeMoney: {rows.Money, 8},
	typeMoney4: {rows.SmallMoney, 4}, typeDateTime: {rows.DateTime, 8}, typeDateTime4: {rows.SmallDateTime, 4}}

// kindsBySize are the types whose bytes tell which kind they are.
var kindsBySize = map[byte]map[byte]rows.Kind{
	typeIntN:      {1: rows.Int8, 2: rows.Int16, 4: rows.Int32, 8: rows.Int64},
	typeBitN:      {1: rows.Bit},
	typeFltN:      {4: rows.Float32, 8: rows.Float64},
	typeMoneyN:    {4: rows.SmallMoney, 8: rows.Money},
	typeDateTimeN: {4: rows.SmallDateTime, 8: rows.DateTime},
	typeGUID:      {16: rows.GUID},
}

var kindsWithScale = map[byte]rows.Kind{typeTime: rows.Time, typeDateTime2: rows.DateTime2, typeDateTimeOffset: rows.DateTimeOffset}

func (c *cursor) collation(w *typeInfo) {
	if b := c.take(5); b != nil {
		info := binary.LittleEndian.Uint32(b)
		if w.singleByte && info&collationUTF8 == 0 {
			if w.codePage = codePages[info&0xFFFF]; w.codePage == nil {
				w.codePage = charmap.Windows1252
			}
		}
	}
}

// typeInfo reads a type (2.2.5.6). Types that nothing here can carry are errors that name them.
func (c *cursor) typeInfo() (w typeInfo) {
	id := c.u8()
	if c.err != nil {
		return w
	}
	if f, ok := fixedTypes[id]; ok {
		w.Kind, w.fixedSize = f.kind, f.size
		return w
	}
	if kinds, ok := kindsBySize[id]; ok {
		size := c.u8()
		w.lengthEncoding = byteLength
		if w.Kind, ok = kinds[size]; !ok && c.err == nil {
			c.fail("type %#x of %d bytes", id, size)
		}
		return w
	}
	if kind, ok := kindsWithScale[id]; ok {
		w.Kind, w.lengthEncoding, w.Scale = kind, byteLength, c.u8()
		if w.Scale > 7 {
			c.fail("%s of scale %d", kind, w.Scale)
		}
		return w
	}
	switch id {
	case typeNull:
		w.Kind, w.lengthEncoding, w.fixedSize = rows.Text, fixedLength, 0
	case typeDate:
		w.Kind, w.lengthEncoding = rows.Date, byteLength
	case typeDecimalN, typeNumericN, typeDecimalLegacy, typeNumericLegacy:
		size := c.u8()
		w.Kind, w.lengthEncoding, w.Precision, w.Scale = rows.Decimal, byteLength, c.u8(), c.u8()
		if c.err == nil && (size > 17 || w.Precision < 1 || w.Precision > 38 || w.Scale > w.Precision) {
			c.fail("decimal(%d,%d) of %d bytes", w.Precision, w.Scale, size)
		}
	case typeVarCharLegacy, typeCharLegacy:
		w.Kind, w.lengthEncoding, w.singleByte, w.Size, w.codePage = rows.Text, byteLength, true, int(c.u8()), charmap.Windows1252
		w.maxSize = w.Size
	case typeVarBinaryLegacy, typeBinaryLegacy:
		w.Kind, w.lengthEncoding, w.Size = rows.Bytes, byteLength, int(c.u8())
		w.maxSize = w.Size
	case typeVarChar, typeChar, typeNVarChar, typeNChar, typeVarBinary, typeBinary:
		size := c.u16()
		w.lengthEncoding, w.Size, w.Kind, w.maxSize = ushortLength, int(size), rows.Text, int(size)
		if size == plpSize {
			w.lengthEncoding, w.Size = plpLength, 0
		}
		switch id {
		case typeVarBinary, typeBinary:
			w.Kind = rows.Bytes
		case typeNVarChar, typeNChar:
			w.Size /= 2
			c.collation(&w)
		default:
			w.singleByte = true
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

// plpValue reads a value that comes in parts (2.2.5.2.3).
func (c *cursor) plpValue() (out []byte, null bool) {
	total := c.u64()
	if total == plpNull {
		return nil, true
	}
	if total != plpUnknownLength && total > maxTokenSize {
		c.fail("value of %d bytes", total)
	}
	for c.err == nil {
		n := c.u32()
		if n == 0 {
			break
		}
		if n > maxTokenSize {
			c.fail("piece of %d bytes", n)
			break
		}
		out = append(out, c.take(int(n))...)
	}
	if c.err == nil && total != plpUnknownLength && uint64(len(out)) != total {
		c.fail("%d bytes of a value of %d", len(out), total)
	}
	return out, false
}

// value reads one (2.2.5.5) and gives it as rows hold it; nil: none. Scratch is used for what has to be changed.
func (c *cursor) value(w *typeInfo, scratch *[]byte) []byte {
	var b []byte
	switch w.lengthEncoding {
	case fixedLength:
		if b = c.take(w.fixedSize); w.fixedSize == 0 {
			return nil
		}
	case byteLength:
		n := c.u8()
		if n == 0 {
			if c.err == nil && (w.Kind == rows.Bytes || w.singleByte) { // an old short text may be empty
				return []byte{}
			}
			return nil
		}
		if w.maxSize > 0 && int(n) > w.maxSize {
			c.fail("%d bytes in a column of %d", n, w.maxSize)
		}
		b = c.take(int(n))
	case ushortLength:
		n := c.u16()
		if n == nullLength || c.err != nil {
			return nil
		}
		if int(n) > w.maxSize {
			c.fail("%d bytes in a column of %d", n, w.maxSize)
		}
		b = c.take(int(n))
	case plpLength:
		var null bool
		if b, null = c.plpValue(); null {
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
		case !w.singleByte:
			if len(b)%2 != 0 {
				c.fail("half a character")
				return nil
			}
			*scratch = appendUTF8((*scratch)[:0], b)
			return *scratch
		case w.codePage != nil:
			out := (*scratch)[:0]
			for _, one := range b {
				out = append(out, string(w.codePage.DecodeByte(one))...)
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
		return append(out, typeDateTimeN, byte(t.FixedSize()))
	case rows.Date:
		return append(out, typeDate)
	case rows.Time:
		return append(out, typeTime, t.Scale)
	case rows.DateTime2:
		return append(out, typeDateTime2, t.Scale)
	case rows.DateTimeOffset:
		return append(out, typeDateTimeOffset, t.Scale)
	case rows.GUID:
		return append(out, typeGUID, 16)
	case rows.Bytes:
		if t.Size == 0 || t.Size > maxVarBinary {
			return appendU16(append(out, typeVarBinary), plpSize)
		}
		return appendU16(append(out, typeVarBinary), t.Size)
	}
	out = append(out, typeNVarChar)
	if t.Size == 0 || t.Size > maxNVarChar {
		out = appendU16(out, plpSize)
	} else {
		out = appendU16(out, 2*t.Size)
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
	most := maxNVarChar
	if t.Kind == rows.Bytes {
		most = maxVarBinary
	}
	if t.Size > 0 && t.Size <= most {
		if v == nil {
			return appendU16(out, nullLength)
		}
		if t.Kind == rows.Bytes {
			return append(appendU16(out, len(v)), v...)
		}
		at := len(out)
		out = appendUTF16(append(out, 0, 0), v)
		binary.LittleEndian.PutUint16(out[at:], uint16(len(out)-at-2))
		return out
	}
	if v == nil {
		return binary.LittleEndian.AppendUint64(out, plpNull)
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
	return appendU32(out, 0)
}
