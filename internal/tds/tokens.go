package tds

import (
	"encoding/binary"
	"fmt"

	"pitchfield/internal/rows"
)

// The tokens of answers (2.2.7).
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

// The status bits of a DONE.
const (
	doneMore        = 0x001
	doneError       = 0x002
	doneCount       = 0x010
	doneAttention   = 0x020
	doneServerError = 0x100
)

// The kinds of an ENVCHANGE.
const (
	envDatabase        = 1
	envLanguage        = 2
	envPacketSize      = 4
	envCollation       = 7
	envResetConnection = 18
)

const noMetadata = 0xFFFF

// Message is an ERROR or an INFO.
type Message struct {
	Number       int32
	State, Class byte
	Text         string
}

func (m Message) Error() string { return fmt.Sprintf("%s (%d)", m.Text, m.Number) }

// doneToken is a DONE of any kind.
type doneToken struct {
	kind   byte
	status uint16
	count  uint64
}

// column is one as the wire names it.
type column struct {
	name string
	typeInfo
}

// colMetadata reads COLMETADATA after its token.
func (c *cursor) colMetadata() []column {
	n := c.u16()
	if n == noMetadata {
		return []column{}
	}
	if n > maxColumns {
		c.fail("%d columns", n)
		return nil
	}
	out := make([]column, 0, min(int(n), 64))
	for range n {
		c.take(4 + 2) // the user's type and flags
		w := c.typeInfo()
		name := c.bVarChar()
		if c.err != nil {
			return nil
		}
		out = append(out, column{name, w})
	}
	return out
}

// readMessage reads an ERROR or an INFO after its token.
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

func (c *cursor) done(kind byte) doneToken {
	d := doneToken{kind: kind, status: c.u16()}
	c.u16()
	d.count = c.u64()
	return d
}

// skipFeatureExtAck passes over FEATUREEXTACK.
func (c *cursor) skipFeatureExtAck() {
	for c.err == nil {
		if c.u8() == 0xFF {
			return
		}
		n := c.u32()
		if n > maxTokenSize {
			c.fail("feature of %d bytes", n)
		}
		c.take(int(n))
	}
}

// Writers. Each appends a token.

func appendMessage(out []byte, token byte, m Message, server string) []byte {
	at := len(out)
	out = append(appendU32(append(out, token, 0, 0), uint32(m.Number)), m.State, m.Class)
	out = appendBVarChar(appendUSVarChar(out, m.Text), server)
	out = appendU32(append(out, 0), 1) // no procedure; line 1
	binary.LittleEndian.PutUint16(out[at+1:], uint16(len(out)-at-3))
	return out
}

func appendDone(out []byte, kind byte, status int, count uint64) []byte {
	return binary.LittleEndian.AppendUint64(appendU16(appendU16(append(out, kind), status), 0), count)
}

func appendEnvChange(out []byte, kind byte, now, before string) []byte {
	at := len(out)
	out = appendBVarChar(appendBVarChar(append(out, tokenEnvChange, 0, 0, kind), now), before)
	binary.LittleEndian.PutUint16(out[at+1:], uint16(len(out)-at-3))
	return out
}

func appendColMetadata(out []byte, all []rows.Column) []byte {
	out = appendU16(append(out, tokenColMetadata), len(all))
	for _, c := range all {
		out = append(out, 0, 0, 0, 0, 1, 0) // may be without a value
		out = appendBVarChar(appendType(out, c.Type), truncateUTF16(c.Name, maxColumnName))
	}
	return out
}

// appendRow writes a row: with a map of what has no value where that is shorter.
func appendRow(out []byte, all []rows.Column, row [][]byte) []byte {
	missing := 0
	for _, v := range row {
		if v == nil {
			missing++
		}
	}
	if missing*2 <= len(row)/8+1 {
		out = append(out, tokenRow)
		for i, v := range row {
			out = appendValue(out, all[i].Type, v)
		}
		return out
	}
	out = append(out, tokenNBCRow)
	at := len(out)
	out = append(out, make([]byte, (len(row)+7)/8)...)
	for i, v := range row {
		if v == nil {
			out[at+i/8] |= 1 << (i % 8)
		} else {
			out = appendValue(out, all[i].Type, v)
		}
	}
	return out
}
