package tds

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The options of PRELOGIN (2.2.6.5).
const (
	optionVersion    = 0
	optionEncryption = 1
	optionInstance   = 2
	optionThread     = 3
	optionMARS       = 4
	optionEnd        = 0xFF

	encryptOff          = 0
	encryptOn           = 1
	encryptNotSupported = 2 // not supported
	encryptRequired     = 3

	maxPreloginOptions = 32
)

// prelogin is what a PRELOGIN says, as far as it matters.
type prelogin struct{ encryption, mars byte }

func parsePrelogin(b []byte) (p prelogin, err error) {
	p.encryption = encryptNotSupported
	for i := 0; i < maxPreloginOptions; i++ {
		at := i * 5
		if at >= len(b) {
			break
		}
		if b[at] == optionEnd {
			return p, nil
		}
		if at+5 > len(b) {
			break
		}
		from, n := int(binary.BigEndian.Uint16(b[at+1:])), int(binary.BigEndian.Uint16(b[at+3:]))
		if from+n > len(b) {
			return p, fmt.Errorf("%w: option %d of a PRELOGIN lies outside", ErrProtocol, b[at])
		}
		switch value := b[from : from+n]; {
		case b[at] == optionEncryption && n == 1:
			p.encryption = value[0]
		case b[at] == optionMARS && n == 1:
			p.mars = value[0]
		}
	}
	return p, fmt.Errorf("%w: a PRELOGIN without end", ErrProtocol)
}

func appendPrelogin(out []byte, p prelogin) []byte {
	values := []struct {
		option byte
		value  []byte
	}{{optionVersion, []byte{16, 0, 0, 0, 0, 0}}, {optionEncryption, []byte{p.encryption}}, {optionInstance, []byte{0}},
		{optionThread, nil}, {optionMARS, []byte{p.mars}}}
	at := 5*len(values) + 1
	for _, v := range values {
		out = append(out, v.option, byte(at>>8), byte(at), 0, byte(len(v.value)))
		at += len(v.value)
	}
	out = append(out, optionEnd)
	for _, v := range values {
		out = append(out, v.value...)
	}
	return out
}

// login is what a LOGIN7 says (2.2.6.4).
type login struct {
	version, packetSize                                              uint32
	host, user, password, appName, server, clientInterface, database string
	integrated, federated                                            bool
}

const (
	login7FixedSize        = 94
	flagIntegratedSecurity = 0x80
	flagExtension          = 0x10
	featureFedAuth         = 0x02
	maxLoginChars          = 128
)

var errMalformedLogin = fmt.Errorf("%w: a LOGIN7 that does not hold what it says", ErrProtocol)

func parseLogin(b []byte) (l login, err error) {
	if len(b) < login7FixedSize || int(binary.LittleEndian.Uint32(b)) != len(b) {
		return l, errMalformedLogin
	}
	l.version, l.packetSize = binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint32(b[8:])
	l.integrated = b[25]&flagIntegratedSecurity != 0
	field := func(at int) []byte {
		from, n := int(binary.LittleEndian.Uint16(b[at:])), 2*int(binary.LittleEndian.Uint16(b[at+2:]))
		if n == 0 {
			return nil
		}
		if n > 2*maxLoginChars || from+n > len(b) {
			err = errMalformedLogin
			return nil
		}
		return b[from : from+n]
	}
	l.host, l.user = fromUTF16(field(36)), fromUTF16(field(40))
	plain := append([]byte(nil), field(44)...)
	for i, c := range plain {
		c ^= 0xA5
		plain[i] = c<<4 | c>>4
	}
	l.password = fromUTF16(plain)
	l.appName, l.server, l.clientInterface, l.database = fromUTF16(field(48)), fromUTF16(field(52)), fromUTF16(field(60)), fromUTF16(field(68))
	if b[27]&flagExtension != 0 && err == nil {
		l.federated, err = parseLoginFeatures(b)
	}
	return l, err
}

// parseLoginFeatures looks whether a login wants to be checked elsewhere; other features are not answered, which says no.
func parseLoginFeatures(b []byte) (federated bool, err error) {
	at, n := int(binary.LittleEndian.Uint16(b[56:])), int(binary.LittleEndian.Uint16(b[58:]))
	if n < 4 || at+4 > len(b) {
		return false, errMalformedLogin
	}
	c := cursor{buf: b}
	if c.offset = int(binary.LittleEndian.Uint32(b[at:])); c.offset < 0 || c.offset > len(b) {
		return false, errMalformedLogin
	}
	for range 64 {
		id := c.u8()
		if id == optionEnd {
			return federated, nil
		}
		c.take(int(c.u32()))
		if c.err != nil {
			break
		}
		federated = federated || id == featureFedAuth
	}
	return false, errMalformedLogin
}

func appendLogin(l login) []byte {
	out := make([]byte, login7FixedSize, login7FixedSize+256)
	binary.LittleEndian.PutUint32(out[4:], tdsVersion)
	binary.LittleEndian.PutUint32(out[8:], l.packetSize)
	binary.LittleEndian.PutUint32(out[12:], 0x00010000)
	out[24], out[25] = 0xE0, 0x03 // initial database and language must be there, SET options as ODBC has them
	put := func(at int, s string, hide bool) {
		s = truncateUTF16(s, maxLoginChars)
		from := len(out)
		binary.LittleEndian.PutUint16(out[at:], uint16(from))
		binary.LittleEndian.PutUint16(out[at+2:], uint16(utf16Units(s)))
		out = appendUTF16(out, s)
		if hide {
			for i := from; i < len(out); i++ {
				out[i] = (out[i]<<4 | out[i]>>4) ^ 0xA5
			}
		}
	}
	put(36, l.host, false)
	put(40, l.user, false)
	put(44, l.password, true)
	put(48, l.appName, false)
	put(52, l.server, false)
	put(60, l.clientInterface, false)
	put(68, l.database, false)
	binary.LittleEndian.PutUint32(out, uint32(len(out)))
	return out
}

// negotiatePacketSize is the size of packets after a login: what the client asks for, within what is allowed.
func negotiatePacketSize(asked uint32) int {
	if asked == 0 {
		return defaultPacketSize
	}
	return int(min(max(asked, minPacketSize), maxPacketSize))
}

// appendLoginAck answers a login that is let in.
func appendLoginAck(out []byte, l login, program string, packet int) []byte {
	out = appendEnvChange(out, envDatabase, l.database, "")
	out = appendMessage(out, tokenInfo, Message{5701, 2, 0, "Changed database context to '" + l.database + "'."}, program)
	out = append(appendU16(append(out, tokenEnvChange), 8), envCollation, 5)
	out = append(append(out, collation...), 0)
	out = appendEnvChange(out, envLanguage, "us_english", "")
	at := len(out)
	out = append(out, tokenLoginAck, 0, 0, 1)
	out = binary.BigEndian.AppendUint32(out, tdsVersion)
	out = append(appendBVarChar(out, program), 16, 0, 0, 0)
	binary.LittleEndian.PutUint16(out[at+1:], uint16(len(out)-at-3))
	out = appendEnvChange(out, envPacketSize, fmt.Sprint(packet), fmt.Sprint(defaultPacketSize))
	return appendDone(out, tokenDone, 0, 0)
}

// Errors that clients are told when they come; the numbers are those that drivers know.
var (
	errEncryptionUnsupported = Message{20, 1, 20, "The connection must not be encrypted: this router does not support encryption. Connect with encryption off."}
	errLoginFailed           = Message{18456, 1, 14, "Login failed."}
	errLoginMethod           = Message{18452, 1, 14, "Login failed. Only logins by a user and a password that the router's settings name are supported."}
	errOldVersion            = Message{17809, 1, 20, "This router speaks TDS 7.4 and 7.2 to 7.3 as far as they are alike; the client asks for an older one."}
	errLoginExpected         = errors.New("a request before the login is done")
)
