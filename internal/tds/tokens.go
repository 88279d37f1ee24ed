package tds

import (
	"encoding/binary"
	"fmt"

	"pitchfield/internal/rows"
)

// Tokens of responses ([MS-TDS] 2.2.7).
const (
	tokenReturnStatus  = 0x79
	tokenColMetadata   = 0x81
	tokenTabName       = 0xA4
	tokenColInfo       = 0xA5
	tokenOrder         = 0xA9
	tokenError         = 0xAA
	tokenInfo          = 0xAB
	tokenReturnValue   = 0xAC
	tokenLoginAck      = 0xAD
	tokenFeatureExtAck = 0xAE
	tokenRow           = 0xD1
	tokenNBCRow        = 0xD2
	tokenEnvChange     = 0xE3
	tokenSessionState  = 0xE4
	tokenSSPI          = 0xED
	tokenFedAuthInfo   = 0xEE
	tokenDone          = 0xFD
	tokenDoneProc      = 0xFE
	tokenDoneInProc    = 0xFF
)

// Status bits of DONE, DONEPROC and DONEINPROC.
const (
	doneMore        = 0x001
	doneError       = 0x002
	doneCount       = 0x010
	doneAttention   = 0x020
	doneServerError = 0x100
)

// Types of ENVCHANGE.
const (
	envDatabase        = 1
	envLanguage        = 2
	envPacketSize      = 4
	envCollation       = 7
	envResetConnection = 18
)

// noMetadata is the column count of a COLMETADATA without columns.
const noMetadata = 0xFFFF

// Message is an ERROR or INFO token. Class is the severity.
type Message struct {
	Number       int32
	State, Class byte
	Text         string
}

// Error returns the message's text with its number.
func (m Message) Error() string { return fmt.Sprintf("%s (%d)", m.Text, m.Number) }

// doneToken is a DONE, DONEPROC or DONEINPROC token.
type doneToken struct {
	kind   byte
	status uint16
	count  uint64
}

// showsExecution reports whether the token shows that a statement of the request has run: one that succeeded, or one behind
// whose failure the response goes on. A rejected request is answered by an error and one DONE, which is the last.
func (d doneToken) showsExecution() bool { return d.status&doneError == 0 || d.status&doneMore != 0 }

// endsResponse reports whether the token ends a response: nothing follows it, and no procedure that it belongs to goes on.
func (d doneToken) endsResponse() bool { return d.kind != tokenDoneInProc && d.status&doneMore == 0 }

// column is a column of a result set as COLMETADATA describes it.
type column struct {
	name string
	typeInfo
}

// colMetadata reads COLMETADATA after its token byte.
func (c *cursor) colMetadata() []column {
	count := c.u16()
	if count == noMetadata {
		return []column{}
	}
	if count > maxColumns {
		c.fail("%d columns", count)
		return nil
	}
	out := make([]column, 0, min(int(count), 64))
	for range count {
		c.take(4 + 2) // UserType and Flags
		info := c.typeInfo()
		name := c.bVarChar()
		if c.err != nil {
			return nil
		}
		out = append(out, column{name, info})
	}
	return out
}

// readMessage reads an ERROR or INFO after its token byte.
func (c *cursor) readMessage() (m Message) {
	body := cursor{buf: c.take(int(c.u16()))}
	if c.err != nil {
		return m
	}
	m.Number, m.State, m.Class, m.Text = int32(body.u32()), body.u8(), body.u8(), body.usVarChar()
	if body.err != nil {
		c.fail("a message that does not hold what it says")
	}
	return m
}

// done reads a DONE, DONEPROC or DONEINPROC after its token byte, which is kind.
func (c *cursor) done(kind byte) doneToken {
	d := doneToken{kind: kind, status: c.u16()}
	c.u16()
	d.count = c.u64()
	return d
}

// skipFeatureExtAck skips FEATUREEXTACK after its token byte.
func (c *cursor) skipFeatureExtAck() {
	for c.err == nil {
		if c.u8() == 0xFF {
			return
		}
		length := c.u32()
		if length > maxTokenSize {
			c.fail("feature of %d bytes", length)
		}
		c.take(int(length))
	}
}

// appendMessage appends an ERROR or INFO token.
func appendMessage(out []byte, token byte, m Message, server string) []byte {
	start := len(out)
	out = append(appendU32(append(out, token, 0, 0), uint32(m.Number)), m.State, m.Class)
	out = appendBVarChar(appendUSVarChar(out, m.Text), server)
	out = appendU32(append(out, 0), 1) // no procedure; line 1
	binary.LittleEndian.PutUint16(out[start+1:], uint16(len(out)-start-3))
	return out
}

// appendDone appends a DONE, DONEPROC or DONEINPROC token.
func appendDone(out []byte, kind byte, status int, count uint64) []byte {
	return binary.LittleEndian.AppendUint64(appendU16(appendU16(append(out, kind), status), 0), count)
}

// appendEnvChange appends an ENVCHANGE token whose values are texts.
func appendEnvChange(out []byte, kind byte, newValue, oldValue string) []byte {
	start := len(out)
	out = appendBVarChar(appendBVarChar(append(out, tokenEnvChange, 0, 0, kind), newValue), oldValue)
	binary.LittleEndian.PutUint16(out[start+1:], uint16(len(out)-start-3))
	return out
}

// appendColMetadata appends a COLMETADATA token.
func appendColMetadata(out []byte, columns []rows.Column) []byte {
	out = appendU16(append(out, tokenColMetadata), len(columns))
	for _, c := range columns {
		out = append(out, 0, 0, 0, 0, 1, 0) // UserType 0; Flags: nullable
		out = appendBVarChar(appendType(out, c.Type), truncateUTF16(c.Name, maxColumnName))
	}
	return out
}

// appendRow appends a row: an NBCROW, which marks NULL values in a bitmap, if that is shorter, else a ROW.
func appendRow(out []byte, columns []rows.Column, row [][]byte) []byte {
	nulls := 0
	for _, v := range row {
		if v == nil {
			nulls++
		}
	}
	if nulls*2 <= len(row)/8+1 {
		out = append(out, tokenRow)
		for i, v := range row {
			out = appendValue(out, columns[i].Type, v)
		}
		return out
	}
	out = append(out, tokenNBCRow)
	bitmap := len(out)
	out = append(out, make([]byte, (len(row)+7)/8)...)
	for i, v := range row {
		if v == nil {
			out[bitmap+i/8] |= 1 << (i % 8)
		} else {
			out = appendValue(out, columns[i].Type, v)
		}
	}
	return out
}
