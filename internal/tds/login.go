package tds

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Options of a PRELOGIN message ([MS-TDS] 2.2.6.5).
const (
	optionVersion    = 0
	optionEncryption = 1
	optionInstance   = 2
	optionThread     = 3
	optionMARS       = 4
	optionEnd        = 0xFF

	// Values of the option ENCRYPTION.
	encryptOff          = 0
	encryptOn           = 1
	encryptNotSupported = 2
	encryptRequired     = 3

	maxPreloginOptions = 32
)

// prelogin holds the options of a PRELOGIN message that are used here.
type prelogin struct{ encryption, mars byte }

// parsePrelogin parses the payload of a PRELOGIN message.
func parsePrelogin(b []byte) (p prelogin, err error) {
	p.encryption = encryptNotSupported
	for i := 0; i < maxPreloginOptions; i++ {
		at := i * 5 // token, 2 bytes of offset, 2 bytes of length
		if at >= len(b) {
			break
		}
		if b[at] == optionEnd {
			return p, nil
		}
		if at+5 > len(b) {
			break
		}
		offset, length := int(binary.BigEndian.Uint16(b[at+1:])), int(binary.BigEndian.Uint16(b[at+3:]))
		if offset+length > len(b) {
			return p, fmt.Errorf("%w: option %d of a PRELOGIN lies outside of the message", ErrProtocol, b[at])
		}
		switch value := b[offset : offset+length]; {
		case b[at] == optionEncryption && length == 1:
			p.encryption = value[0]
		case b[at] == optionMARS && length == 1:
			p.mars = value[0]
		}
	}
	return p, fmt.Errorf("%w: a PRELOGIN without terminator", ErrProtocol)
}

// appendPrelogin appends the payload of a PRELOGIN message.
func appendPrelogin(out []byte, p prelogin) []byte {
	values := []struct {
		option byte
		value  []byte
	}{{optionVersion, []byte{16, 0, 0, 0, 0, 0}}, {optionEncryption, []byte{p.encryption}}, {optionInstance, []byte{0}},
		{optionThread, nil}, {optionMARS, []byte{p.mars}}}
	offset := 5*len(values) + 1
	for _, v := range values {
		out = append(out, v.option, byte(offset>>8), byte(offset), 0, byte(len(v.value)))
		offset += len(v.value)
	}
	out = append(out, optionEnd)
	for _, v := range values {
		out = append(out, v.value...)
	}
	return out
}

// login holds the fields of a LOGIN7 message that are used here ([MS-TDS] 2.2.6.4).
type login struct {
	version, packetSize                                              uint32
	host, user, password, appName, server, clientInterface, database string
	integrated, federated                                            bool
}

const (
	// login7FixedSize is the number of bytes before the variable part of a LOGIN7.
	login7FixedSize        = 94
	flagIntegratedSecurity = 0x80 // fIntSecurity of OptionFlags2
	flagExtension          = 0x10 // fExtension of OptionFlags3: the message has a FeatureExt
	featureFedAuth         = 0x02 // FEDAUTH of the FeatureExt
	maxLoginChars          = 128  // of each text, in UTF-16 units
)

var errMalformedLogin = fmt.Errorf("%w: a LOGIN7 that does not hold what it says", ErrProtocol)

// parseLogin parses the payload of a LOGIN7 message.
func parseLogin(b []byte) (l login, err error) {
	if len(b) < login7FixedSize || int(binary.LittleEndian.Uint32(b)) != len(b) {
		return l, errMalformedLogin
	}
	l.version, l.packetSize = binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint32(b[8:])
	l.integrated = b[25]&flagIntegratedSecurity != 0
	field := func(at int) []byte {
		offset, length := int(binary.LittleEndian.Uint16(b[at:])), 2*int(binary.LittleEndian.Uint16(b[at+2:]))
		if length == 0 {
			return nil
		}
		if length > 2*maxLoginChars || offset+length > len(b) {
			err = errMalformedLogin
			return nil
		}
		return b[offset : offset+length]
	}
	l.host, l.user = fromUTF16(field(36)), fromUTF16(field(40))
	password := append([]byte(nil), field(44)...) // a copy to undo the obfuscation in
	for i, c := range password {
		c ^= 0xA5
		password[i] = c<<4 | c>>4
	}
	l.password = fromUTF16(password)
	l.appName, l.server, l.clientInterface, l.database = fromUTF16(field(48)), fromUTF16(field(52)), fromUTF16(field(60)), fromUTF16(field(68))
	if b[27]&flagExtension != 0 && err == nil {
		l.federated, err = parseLoginFeatures(b)
	}
	return l, err
}

// parseLoginFeatures parses the FeatureExt of a LOGIN7 and reports whether the client asks for federated authentication.
// Other features are ignored: leaving them out of the response declines them.
func parseLoginFeatures(b []byte) (federated bool, err error) {
	offset, length := int(binary.LittleEndian.Uint16(b[56:])), int(binary.LittleEndian.Uint16(b[58:]))
	if length < 4 || offset+4 > len(b) {
		return false, errMalformedLogin
	}
	c := cursor{buf: b}
	if c.offset = int(binary.LittleEndian.Uint32(b[offset:])); c.offset < 0 || c.offset > len(b) {
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

// appendLogin returns the payload of a LOGIN7 message.
func appendLogin(l login) []byte {
	out := make([]byte, login7FixedSize, login7FixedSize+256)
	binary.LittleEndian.PutUint32(out[4:], tdsVersion)
	binary.LittleEndian.PutUint32(out[8:], l.packetSize)
	binary.LittleEndian.PutUint32(out[12:], 0x00010000)
	out[24], out[25] = 0xE0, 0x03 // an unknown initial database or language fails the login; SET options as for ODBC
	put := func(at int, s string, obfuscate bool) {
		s = truncateUTF16(s, maxLoginChars)
		offset := len(out)
		binary.LittleEndian.PutUint16(out[at:], uint16(offset))
		binary.LittleEndian.PutUint16(out[at+2:], uint16(utf16Units(s)))
		out = appendUTF16(out, s)
		if obfuscate {
			for i := offset; i < len(out); i++ {
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

// negotiatePacketSize returns the packet size in bytes to use after a login: the one that the client requests, within
// the allowed range.
func negotiatePacketSize(requested uint32) int {
	if requested == 0 {
		return defaultPacketSize
	}
	return int(min(max(requested, minPacketSize), maxPacketSize))
}

// appendLoginAck appends the response to a successful login.
func appendLoginAck(out []byte, l login, program string, packetSize int) []byte {
	out = appendEnvChange(out, envDatabase, l.database, "")
	out = appendMessage(out, tokenInfo, Message{5701, 2, 0, "Changed database context to '" + l.database + "'."}, program)
	out = append(appendU16(append(out, tokenEnvChange), 8), envCollation, 5)
	out = append(append(out, collation...), 0)
	out = appendEnvChange(out, envLanguage, "us_english", "")
	start := len(out)
	out = append(out, tokenLoginAck, 0, 0, 1)
	out = binary.BigEndian.AppendUint32(out, tdsVersion)
	out = append(appendBVarChar(out, program), 16, 0, 0, 0)
	binary.LittleEndian.PutUint16(out[start+1:], uint16(len(out)-start-3))
	out = appendEnvChange(out, envPacketSize, fmt.Sprint(packetSize), fmt.Sprint(defaultPacketSize))
	return appendDone(out, tokenDone, 0, 0)
}

// Errors of the login phase. The numbers are those of SQL Server, which drivers know.
var (
	errEncryptionUnsupported = Message{20, 1, 20, "The connection must not be encrypted: this router does not support encryption. Connect with encryption off."}
	errLoginFailed           = Message{18456, 1, 14, "Login failed."}
	errLoginMethod           = Message{18452, 1, 14, "Login failed. Only logins by a user and a password that the router's settings name are supported."}
	errOldVersion            = Message{17809, 1, 20, "This router speaks TDS 7.4 and 7.2 to 7.3 as far as they are alike; the client asks for an older one."}
	errLoginExpected         = errors.New("a request before the login is done")
)
