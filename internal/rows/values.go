package rows

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// littleEndianUint decodes an unsigned little-endian number of up to eight bytes.
func littleEndianUint(b []byte) (v uint64) {
	for i := len(b) - 1; i >= 0; i-- {
		v = v<<8 | uint64(b[i])
	}
	return v
}

// TimeSize returns the size in bytes of a Time of a scale (0 to 7 digits of a second).
func TimeSize(scale uint8) int {
	switch {
	case scale <= 2:
		return 3
	case scale <= 4:
		return 4
	}
	return 5
}

// FixedSize returns the size in bytes of a value of the type, or 0 if it varies.
func (t Type) FixedSize() int {
	switch t.Kind {
	case Bit, Int8:
		return 1
	case Int16:
		return 2
	case Int32, Float32, SmallMoney, SmallDateTime:
		return 4
	case Int64, Float64, Money, DateTime:
		return 8
	case Date:
		return 3
	case Time:
		return TimeSize(t.Scale)
	case DateTime2:
		return TimeSize(t.Scale) + 3
	case DateTimeOffset:
		return TimeSize(t.Scale) + 5
	case GUID:
		return 16
	}
	return 0
}

// Validate returns an error that wraps ErrMalformed if the bytes can't be a value of the type.
func (t Type) Validate(v []byte) error {
	ok := true
	switch t.Kind {
	case Decimal:
		n := len(v)
		ok = (n == 5 || n == 9 || n == 13 || n == 17) && v[0] <= 1 && t.Precision >= 1 && t.Precision <= 38 && t.Scale <= t.Precision
	case Text:
		ok = utf8.Valid(v)
	case Bytes:
	default:
		ok = len(v) == t.FixedSize() && t.Kind < kindCount && t.Scale <= 38
		switch t.Kind {
		case Time, DateTime2, DateTimeOffset:
			n := TimeSize(t.Scale)
			ok = ok && t.Scale <= 7 && littleEndianUint(v[:n]) < uint64(86400*math.Pow10(int(t.Scale)))
			if t.Kind != Time {
				ok = ok && littleEndianUint(v[n:n+3]) <= maxDays
			}
		case Date:
			ok = ok && littleEndianUint(v) <= maxDays
		case Float32:
			ok = ok && !notFinite(float64(math.Float32frombits(uint32(littleEndianUint(v)))))
		case Float64:
			ok = ok && !notFinite(math.Float64frombits(littleEndianUint(v)))
		}
	}
	if !ok {
		return fmt.Errorf("%w: %d bytes are no %s", ErrMalformed, len(v), t.Kind)
	}
	return nil
}

const maxDays = 3652058 // 9999-12-31, in days since 0001-01-01

func notFinite(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) }

// formatDate writes a Date as 2006-01-02.
func formatDate(v []byte) string {
	return time.Date(1, 1, 1+int(littleEndianUint(v)), 0, 0, 0, 0, time.UTC).Format("2006-01-02")
}

// formatTime writes a Time of a scale as 15:04:05, with as many digits after the point as the scale says.
func formatTime(v []byte, scale uint8) string {
	unit := uint64(math.Pow10(int(scale)))
	n := littleEndianUint(v)
	s := n / unit
	out := fmt.Sprintf("%02d:%02d:%02d", s/3600, s/60%60, s%60)
	if scale > 0 {
		out += fmt.Sprintf(".%0*d", int(scale), n%unit)
	}
	return out
}

// insertDecimalPoint inserts a point before the last scale digits, padding with zeros in front, and adds the sign.
func insertDecimalPoint(digits string, scale int, negative bool) string {
	if pad := scale + 1 - len(digits); pad > 0 {
		digits = strings.Repeat("0", pad) + digits
	}
	if scale > 0 {
		digits = digits[:len(digits)-scale] + "." + digits[len(digits)-scale:]
	}
	if negative {
		digits = "-" + digits
	}
	return digits
}

// Format writes a value as text in the notation of SQL, without quotes. It returns an error that wraps ErrMalformed if the
// value is not valid for the type.
func Format(t Type, v []byte) (string, error) {
	if err := t.Validate(v); err != nil {
		return "", err
	}
	switch t.Kind {
	case Bit, Int8:
		return strconv.Itoa(int(v[0])), nil
	case Int16:
		return strconv.Itoa(int(int16(littleEndianUint(v)))), nil
	case Int32:
		return strconv.Itoa(int(int32(littleEndianUint(v)))), nil
	case Int64:
		return strconv.FormatInt(int64(littleEndianUint(v)), 10), nil
	case Float32:
		return strconv.FormatFloat(float64(math.Float32frombits(uint32(littleEndianUint(v)))), 'g', -1, 32), nil
	case Float64:
		return strconv.FormatFloat(math.Float64frombits(littleEndianUint(v)), 'g', -1, 64), nil
	case Decimal:
		magnitude := make([]byte, len(v)-1) // big-endian, as math/big wants it
		for i := range magnitude {
			magnitude[i] = v[len(v)-1-i]
		}
		return insertDecimalPoint(new(big.Int).SetBytes(magnitude).String(), int(t.Scale), v[0] == 0), nil
	case Money:
		return formatMoney(int64(littleEndianUint(v))), nil
	case SmallMoney:
		return formatMoney(int64(int32(littleEndianUint(v)))), nil
	case Date:
		return formatDate(v), nil
	case Time:
		return formatTime(v, t.Scale), nil
	case DateTime2:
		n := TimeSize(t.Scale)
		return formatDate(v[n:]) + " " + formatTime(v[:n], t.Scale), nil
	case DateTimeOffset:
		n := TimeSize(t.Scale)
		minutes := int(int16(binary.LittleEndian.Uint16(v[n+3:])))
		unit := time.Duration(math.Pow10(9 - int(t.Scale)))
		at := time.Date(1, 1, 1+int(littleEndianUint(v[n:n+3])), 0, 0, 0, 0, time.UTC).Add(time.Duration(littleEndianUint(v[:n])) * unit)
		layout := "2006-01-02 15:04:05"
		if t.Scale > 0 {
			layout += "." + strings.Repeat("0", int(t.Scale))
		}
		return at.In(time.FixedZone("", minutes*60)).Format(layout + " -07:00"), nil
	case DateTime:
		days, ticks := int(int32(binary.LittleEndian.Uint32(v))), int(binary.LittleEndian.Uint32(v[4:]))
		at := time.Date(1900, 1, 1+days, 0, 0, 0, 0, time.UTC).Add(time.Duration((ticks*10+1)/3) * time.Millisecond)
		return at.Format("2006-01-02 15:04:05.000"), nil
	case SmallDateTime:
		days, minutes := int(binary.LittleEndian.Uint16(v)), int(binary.LittleEndian.Uint16(v[2:]))
		return time.Date(1900, 1, 1+days, 0, minutes, 0, 0, time.UTC).Format("2006-01-02 15:04"), nil
	case Bytes:
		return "0x" + strings.ToUpper(hex.EncodeToString(v)), nil
	case GUID:
		return strings.ToUpper(fmt.Sprintf("%08x-%04x-%04x-%x-%x", binary.LittleEndian.Uint32(v),
			binary.LittleEndian.Uint16(v[4:]), binary.LittleEndian.Uint16(v[6:]), v[8:10], v[10:])), nil
	}
	return string(v), nil
}

// formatMoney writes an amount in ten-thousandths with four digits after the point.
func formatMoney(n int64) string {
	digits := strconv.FormatInt(n, 10)
	return insertDecimalPoint(strings.TrimPrefix(digits, "-"), 4, n < 0)
}
