package main

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"
	"unicode/utf16"
)

// prepare calls sp_prepare with a statement without parameters, as drivers do ([MS-TDS] 2.2.6.6), and reads the response. The
// connection is logged in, with packets of 4096 bytes.
func prepare(conn net.Conn, text string, within time.Duration) error {
	u16 := binary.LittleEndian.AppendUint16
	b := binary.LittleEndian.AppendUint32(nil, 22) // ALL_HEADERS: one, a transaction descriptor
	b = binary.LittleEndian.AppendUint32(b, 18)
	b = append(u16(b, 2), 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0)
	b = u16(u16(u16(b, 0xFFFF), 11), 0)            // procedure 11, no options
	b = append(b, 0, 1, 0x26, 4, 0)                // the handle: int, by reference, NULL
	collation := []byte{0x09, 0x04, 0xD0, 0, 0x34} // of the texts
	b = append(u16(append(b, 0, 0, 0xE7), 8000), collation...)
	b = u16(b, 0xFFFF) // the declaration: NULL
	b = append(u16(append(b, 0, 0, 0xE7), 0xFFFF), collation...)
	units := utf16.Encode([]rune(text))
	b = binary.LittleEndian.AppendUint64(b, uint64(2*len(units)))
	b = binary.LittleEndian.AppendUint32(b, uint32(2*len(units)))
	for _, u := range units {
		b = u16(b, u)
	}
	b = binary.LittleEndian.AppendUint32(b, 0)
	conn.SetDeadline(time.Now().Add(within)) //nolint:errcheck
	const payload = 4096 - 8
	for first := true; first || len(b) > 0; first = false {
		n := min(payload, len(b))
		header := []byte{3, 0, 0, 0, 0, 0, 1, 0}
		if n == len(b) {
			header[1] = 1
		}
		binary.BigEndian.PutUint16(header[2:], uint16(8+n))
		if _, err := conn.Write(append(header, b[:n]...)); err != nil {
			return err
		}
		b = b[n:]
	}
	failed := false
	for begin := true; ; begin = false {
		var header [8]byte
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return err
		}
		body := make([]byte, int(binary.BigEndian.Uint16(header[2:]))-8)
		if _, err := io.ReadFull(conn, body); err != nil {
			return err
		}
		failed = failed || begin && len(body) > 0 && body[0] == 0xAA
		if header[1]&1 != 0 {
			break
		}
	}
	if failed {
		return errors.New("the statement was not prepared")
	}
	return nil
}
