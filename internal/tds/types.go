package tds

import (
	"encoding/binary"

	"golang.org/x/text/encoding/charmap"

	"pitchfield/internal/rows"
)

// Data types on the wire ([MS-TDS] 2.2.5.4). The suffix Legacy marks what the specification calls legacy types.
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
	plpSize          = 0xFFFF             // as a type's maximum length: (max), with values in PLP format (partially length-prefixed)
	nullLength       = 0xFFFF             // as a USHORT length: NULL; as the length of a procedure name: a procedure number follows
	plpNull          = 0xFFFFFFFFFFFFFFFF // as the total length of a PLP value: NULL
	plpUnknownLength = 0xFFFFFFFFFFFFFFFE // as the total length of a PLP value: unknown, the chunks tell it
	collationUTF8    = 1 << 26            // flag of a collation: text is UTF-8
	maxNVarChar      = 4000               // characters of an nvarchar with a bounded size
	maxVarBinary     = 8000               // bytes of a varbinary with a bounded size
)

// lengthEncoding is the way in which the length of a value is encoded.
type lengthEncoding uint8

const (
	fixedLength  lengthEncoding = iota
	byteLength                  // a byte before the value
	ushortLength                // a USHORT before the value
	plpLength                   // chunks, each with its length (PLP)
)

// typeInfo is a parsed TYPE_INFO: a type and how its values are encoded.
type typeInfo struct {
	rows.Type
	lengthEncoding
	fixedSize  int              // bytes of a value, with fixedLength
	maxSize    int              // maximum bytes of a value, where the type states it
	singleByte bool             // text in a single-byte code page or UTF-8, not UTF-16
	codePage   *charmap.Charmap // of single-byte text; nil: UTF-8
}

// codePages maps the LCID of a collation to its code page. All other LCIDs are taken as Windows-1252.
var codePages = map[uint32]*charmap.Charmap{0x0405: charmap.Windows1250, 0x041B: charmap.Windows1250, 0x0415: charmap.Windows1250,
	0x040E: charmap.Windows1250, 0x0424: charmap.Windows1250, 0x041A: charmap.Windows1250, 0x0418: charmap.Windows1250,
	0x0419: charmap.Windows1251, 0x0422: charmap.Windows1251, 0x0408: charmap.Windows1253, 0x041F: charmap.Windows1254,
	0x0425: charmap.Windows1257, 0x0426: charmap.Windows1257, 0x0427: charmap.Windows1257}

// fixedTypes are the types whose values have a fixed size in bytes.
var fixedTypes = map[byte]struct {
	kind rows.Kind
	size int
}{typeInt1: {rows.Int8, 1}, typeBit: {rows.Bit, 1}, typeInt2: {rows.Int16, 2}, typeInt4: {rows.Int32, 4},
	typeInt8: {rows.Int64, 8}, typeFlt4: {rows.Float32, 4}, typeFlt8: {rows.Float64, 8}, typeMoney: {rows.Money, 8},
	typeMoney4: {rows.SmallMoney, 4}, typeDateTime: {rows.DateTime, 8}, typeDateTime4: {rows.SmallDateTime, 4}}

// kindsBySize are the nullable types whose size in bytes determines the kind.
var kindsBySize = map[byte]map[byte]rows.Kind{
	typeIntN:      {1: rows.Int8, 2: rows.Int16, 4: rows.Int32, 8: rows.Int64},
	typeBitN:      {1: rows.Bit},
	typeFltN:      {4: rows.Float32, 8: rows.Float64},
	typeMoneyN:    {4: rows.SmallMoney, 8: rows.Money},
	typeDateTimeN: {4: rows.SmallDateTime, 8: rows.DateTime},
	typeGUID:      {16: rows.GUID},
}

// kindsWithScale are the types that carry a scale.
var kindsWithScale = map[byte]rows.Kind{typeTime: rows.Time, typeDateTime2: rows.DateTime2, typeDateTimeOffset: rows.DateTimeOffset}

// collation reads a collation and sets the code page of single-byte text.
func (c *cursor) collation(info *typeInfo) {
	if b := c.take(5); b != nil {
		flags := binary.LittleEndian.Uint32(b)
		if info.singleByte && flags&collationUTF8 == 0 {
			if info.codePage = codePages[flags&0xFFFF]; info.codePage == nil {
				info.codePage = charmap.Windows1252
			}
		}
	}
}

// typeInfo reads a TYPE_INFO ([MS-TDS] 2.2.5.6). An unsupported type is an error that names it.
func (c *cursor) typeInfo() (info typeInfo) {
	id := c.u8()
	if c.err != nil {
		return info
	}
	if f, ok := fixedTypes[id]; ok {
		info.Kind, info.fixedSize = f.kind, f.size
		return info
	}
	if kinds, ok := kindsBySize[id]; ok {
		size := c.u8()
		info.lengthEncoding = byteLength
		if info.Kind, ok = kinds[size]; !ok && c.err == nil {
			c.fail("type %#x of %d bytes", id, size)
		}
		return info
	}
	if kind, ok := kindsWithScale[id]; ok {
		info.Kind, info.lengthEncoding, info.Scale = kind, byteLength, c.u8()
		if info.Scale > 7 {
			c.fail("%s of scale %d", kind, info.Scale)
		}
		return info
	}
	switch id {
	case typeNull:
		info.Kind, info.lengthEncoding, info.fixedSize = rows.Text, fixedLength, 0
	case typeDate:
		info.Kind, info.lengthEncoding = rows.Date, byteLength
	case typeDecimalN, typeNumericN, typeDecimalLegacy, typeNumericLegacy:
		size := c.u8()
		info.Kind, info.lengthEncoding, info.Precision, info.Scale = rows.Decimal, byteLength, c.u8(), c.u8()
		if c.err == nil && (size > 17 || info.Precision < 1 || info.Precision > 38 || info.Scale > info.Precision) {
			c.fail("decimal(%d,%d) of %d bytes", info.Precision, info.Scale, size)
		}
	case typeVarCharLegacy, typeCharLegacy:
		info.Kind, info.lengthEncoding, info.singleByte, info.Size, info.codePage = rows.Text, byteLength, true, int(c.u8()), charmap.Windows1252
		info.maxSize = info.Size
	case typeVarBinaryLegacy, typeBinaryLegacy:
		info.Kind, info.lengthEncoding, info.Size = rows.Bytes, byteLength, int(c.u8())
		info.maxSize = info.Size
	case typeVarChar, typeChar, typeNVarChar, typeNChar, typeVarBinary, typeBinary:
		size := c.u16()
		info.lengthEncoding, info.Size, info.Kind, info.maxSize = ushortLength, int(size), rows.Text, int(size)
		if size == plpSize {
			info.lengthEncoding, info.Size = plpLength, 0
		}
		switch id {
		case typeVarBinary, typeBinary:
			info.Kind = rows.Bytes
		case typeNVarChar, typeNChar:
			info.Size /= 2
			c.collation(&info)
		default:
			info.singleByte = true
			c.collation(&info)
		}
	default:
		name := map[byte]string{typeImage: "image", typeText: "text", typeNText: "ntext", typeVariant: "sql_variant",
			typeUDT: "a user's type", typeXML: "xml", typeTable: "a table"}[id]
		if name == "" {
			name = "unknown"
		}
		c.fail("type %#x (%s) is not carried", id, name)
	}
	return info
}

// plpChunks reads a partially length-prefixed (PLP) value ([MS-TDS] 2.2.5.2.3) and calls each with its chunks.
func (c *cursor) plpChunks(each func(chunk []byte)) (null bool) {
	total := c.u64()
	if total == plpNull {
		return true
	}
	if total != plpUnknownLength && total > maxTokenSize {
		c.fail("value of %d bytes", total)
	}
	size := uint64(0)
	for c.err == nil {
		n := c.u32()
		if n == 0 {
			break
		}
		if n > maxTokenSize {
			c.fail("chunk of %d bytes", n)
			break
		}
		each(c.take(int(n)))
		size += uint64(n)
	}
	if c.err == nil && total != plpUnknownLength && size != total {
		c.fail("%d bytes of a value of %d", size, total)
	}
	return false
}

// shortValue reads the bytes of a value that is not in PLP format; nil: NULL.
func (c *cursor) shortValue(info *typeInfo) []byte {
	size := info.fixedSize
	switch info.lengthEncoding {
	case fixedLength:
		if size == 0 {
			return nil
		}
	case byteLength:
		size = int(c.u8())
		if size == 0 {
			if c.err == nil && (info.Kind == rows.Bytes || info.singleByte) { // a legacy text or binary of length 0 is empty, not NULL
				return []byte{}
			}
			return nil
		}
	case ushortLength:
		if size = int(c.u16()); size == nullLength {
			return nil
		}
	}
	isBounded := info.lengthEncoding == ushortLength || info.lengthEncoding == byteLength && info.maxSize > 0
	if isBounded && size > info.maxSize {
		c.fail("%d bytes in a column of %d", size, info.maxSize)
	}
	return c.take(size)
}

// skipValue skips a value of a type without converting it.
func (c *cursor) skipValue(info *typeInfo) {
	if info.lengthEncoding == plpLength {
		c.plpChunks(func([]byte) {})
		return
	}
	c.shortValue(info)
}

// value reads a value of a type ([MS-TDS] 2.2.5.5) and returns it in the form of package rows; nil: NULL. A value
// that has to be converted is stored in scratch and is valid until the next call.
func (c *cursor) value(info *typeInfo, scratch *[]byte) []byte {
	var b []byte
	if info.lengthEncoding == plpLength {
		b = []byte{}
		if c.plpChunks(func(chunk []byte) { b = append(b, chunk...) }) {
			return nil
		}
	} else if b = c.shortValue(info); b == nil {
		return nil
	}
	if c.err != nil {
		return nil
	}
	if *scratch == nil { // so that an empty text is not returned as nil, which is NULL
		*scratch = make([]byte, 0, 64)
	}
	switch info.Kind {
	case rows.Text:
		switch {
		case !info.singleByte:
			if len(b)%2 != 0 {
				c.fail("half a character")
				return nil
			}
			*scratch = appendUTF8((*scratch)[:0], b)
			return *scratch
		case info.codePage != nil:
			out := (*scratch)[:0]
			for _, char := range b {
				out = append(out, string(info.codePage.DecodeByte(char))...)
			}
			*scratch = out
			return out
		}
	case rows.Money:
		if len(b) == 8 { // on the wire the upper half comes first
			*scratch = append(append((*scratch)[:0], b[4:]...), b[:4]...)
			return *scratch
		}
	}
	if info.Kind != rows.Bytes {
		if err := info.Validate(b); err != nil {
			c.fail("%s", err)
		}
	}
	return b
}

// collation is SQL_Latin1_General_CP1_CI_AS. It is sent with every text type and has no effect on UTF-16 text.
var collation = []byte{0x09, 0x04, 0xD0, 0x00, 0x34}

// appendType appends a TYPE_INFO. All types that are written are nullable.
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

// appendValue appends a value in the encoding that appendType announced; nil is NULL.
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
	maxSize := maxNVarChar
	if t.Kind == rows.Bytes {
		maxSize = maxVarBinary
	}
	if t.Size > 0 && t.Size <= maxSize {
		if v == nil {
			return appendU16(out, nullLength)
		}
		if t.Kind == rows.Bytes {
			return append(appendU16(out, len(v)), v...)
		}
		start := len(out)
		out = appendUTF16(append(out, 0, 0), v)
		binary.LittleEndian.PutUint16(out[start:], uint16(len(out)-start-2))
		return out
	}
	if v == nil {
		return binary.LittleEndian.AppendUint64(out, plpNull)
	}
	start := len(out)
	out = append(out, make([]byte, 12)...) // total length, length of the only chunk
	if t.Kind == rows.Bytes {
		out = append(out, v...)
	} else {
		out = appendUTF16(out, v)
	}
	n := len(out) - start - 12
	binary.LittleEndian.PutUint64(out[start:], uint64(n))
	if n == 0 {
		return out // the total, then the terminator: a chunk of no bytes
	}
	binary.LittleEndian.PutUint32(out[start+8:], uint32(n))
	return appendU32(out, 0)
}
