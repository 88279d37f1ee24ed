package directory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// serviceName is the DNS name under which the list of engines is queried.
const serviceName = "_rpc._tcp.mesh.local"

// Record types and limits of DNS (RFC 1035, RFC 2782).
const (
	typeA         = 1
	typeSOA       = 6
	typeTXT       = 16
	typeSRV       = 33
	classIN       = 1
	maxNameLength = 255 // bytes
)

// weightScale is the number by which the name service multiplies the weights of engines in SRV records, which hold integers.
const weightScale = 10

// EncodeQuery returns the DNS message with this ID that queries the whole list.
func EncodeQuery(id uint16) []byte {
	q := binary.BigEndian.AppendUint16(nil, id)
	q = append(q, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(serviceName, ".") {
		q = append(append(q, byte(len(label))), label...)
	}
	return append(q, 0, 0, typeSRV, 0, classIN)
}

var errTruncated = errors.New("message is cut short")

// message reads a DNS message from the front.
type message struct {
	buffer []byte
	offset int // of the next byte to read
}

// readBytes returns the next n bytes.
func (m *message) readBytes(n int) ([]byte, error) {
	if n < 0 || m.offset+n > len(m.buffer) {
		return nil, errTruncated
	}
	out := m.buffer[m.offset : m.offset+n]
	m.offset += n
	return out, nil
}

// readUint16 reads a big-endian 16-bit integer.
func (m *message) readUint16() (int, error) {
	b, err := m.readBytes(2)
	if err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint16(b)), nil
}

// readName reads a domain name and returns it in lower case. A name may end in a pointer to an earlier one; each pointer has to
// point further back than the one before, as the name might otherwise never end.
func (m *message) readName() (string, error) {
	var name []byte
	offset, limit, jumped := m.offset, m.offset, false
	for {
		if offset >= len(m.buffer) {
			return "", errTruncated
		}
		length := int(m.buffer[offset])
		switch {
		case length == 0:
			if !jumped {
				m.offset = offset + 1
			}
			return strings.ToLower(string(name)), nil
		case length >= 0xc0:
			if offset+1 >= len(m.buffer) {
				return "", errTruncated
			}
			target := length&0x3f<<8 | int(m.buffer[offset+1])
			if !jumped {
				m.offset = offset + 2
			}
			if jumped = true; target >= limit {
				return "", errors.New("compression pointer does not point backward")
			}
			offset, limit = target, target
		case length >= 0x40:
			return "", errors.New("unknown label type")
		default:
			if offset+1+length > len(m.buffer) || len(name)+length > maxNameLength {
				return "", errTruncated
			}
			if len(name) > 0 {
				name = append(name, '.')
			}
			name = append(name, m.buffer[offset+1:offset+1+length]...)
			offset += 1 + length
		}
	}
}

// record is a resource record.
type record struct {
	name       string
	recordType int
	data       message // positioned at the record data and ending with it
}

// readRecord reads the next resource record.
func (m *message) readRecord() (r record, err error) {
	if r.name, err = m.readName(); err != nil {
		return r, err
	}
	if r.recordType, err = m.readUint16(); err != nil {
		return r, err
	}
	if _, err = m.readBytes(6); err != nil { // class and time to live (TTL)
		return r, err
	}
	size, err := m.readUint16()
	if err != nil {
		return r, err
	}
	start := m.offset
	if _, err = m.readBytes(size); err != nil {
		return r, err
	}
	r.data = message{buffer: m.buffer[:m.offset], offset: start}
	return r, nil
}

// ParseResponse reads an answer of the name service and returns the ID of its query, as far as it can be read, and the list.
// Everything but a complete list is an error.
func ParseResponse(data []byte) (id uint16, list List, err error) {
	m := &message{buffer: data}
	header, err := m.readBytes(12)
	if err != nil {
		return 0, list, err
	}
	id = binary.BigEndian.Uint16(header)
	if flags := binary.BigEndian.Uint16(header[2:]); flags&0x8000 == 0 || flags&0x0200 != 0 || flags&0xf != 0 {
		return id, list, fmt.Errorf("not a complete successful response: flags %#x", flags)
	}
	for range binary.BigEndian.Uint16(header[4:]) {
		if _, err = m.readName(); err != nil {
			return id, list, err
		}
		if _, err = m.readBytes(4); err != nil {
			return id, list, err
		}
	}
	var records []record
	total := int(binary.BigEndian.Uint16(header[6:])) + int(binary.BigEndian.Uint16(header[8:])) +
		int(binary.BigEndian.Uint16(header[10:]))
	for range total {
		r, err := m.readRecord()
		if err != nil {
			return id, list, err
		}
		records = append(records, r)
	}
	list, err = buildList(records)
	return id, list, err
}

// buildList assembles the list from the SRV records of the service, the A and TXT records of their targets and the serial of
// the SOA record.
func buildList(records []record) (List, error) {
	var list List
	hasSerial := false
	addresses, texts := map[string]string{}, map[string]map[string]string{}
	for _, r := range records {
		data := r.data
		switch r.recordType {
		case typeSOA:
			for range 2 {
				if _, err := data.readName(); err != nil {
					return list, err
				}
			}
			b, err := data.readBytes(4)
			if err != nil {
				return list, err
			}
			list.Serial, hasSerial = binary.BigEndian.Uint32(b), true
		case typeA:
			b, err := data.readBytes(4)
			if err != nil {
				return list, err
			}
			addresses[r.name] = netip.AddrFrom4([4]byte(b)).String()
		case typeTXT:
			texts[r.name] = map[string]string{}
			for data.offset < len(data.buffer) {
				size, _ := data.readBytes(1)
				b, err := data.readBytes(int(size[0]))
				if err != nil {
					return list, err
				}
				name, value, _ := strings.Cut(string(b), "=")
				texts[r.name][name] = value
			}
		}
	}
	if !hasSerial {
		return list, errors.New("no SOA record with a serial")
	}
	for _, r := range records {
		if r.recordType != typeSRV || r.name != serviceName {
			continue
		}
		data := r.data
		fields, err := data.readBytes(6)
		if err != nil {
			return list, err
		}
		target, err := data.readName()
		if err != nil {
			return list, err
		}
		labels := strings.Split(target, ".")
		if len(labels) < 2 {
			return list, fmt.Errorf("target %q is not of the form engine.zone", target)
		}
		engine := Engine{ID: labels[0], Zone: labels[1], Kind: texts[target]["kind"],
			Draining: binary.BigEndian.Uint16(fields) != 0,
			Weight:   float64(binary.BigEndian.Uint16(fields[2:])) / weightScale}
		if addresses[target] == "" || texts[target] == nil {
			// Without the TXT record a recently started engine would have no start time, and a cold engine would count as warm.
			return list, fmt.Errorf("target %q lacks an A or TXT record", target)
		}
		engine.Address = addresses[target] + ":" + strconv.Itoa(int(binary.BigEndian.Uint16(fields[4:])))
		started, err := strconv.ParseFloat(texts[target]["started"], 64)
		if engine.Cell, _ = strconv.Atoi(texts[target]["cell"]); err != nil {
			return list, fmt.Errorf("target %q: start time: %w", target, err)
		}
		engine.StartedAt = started / 1000
		list.Engines = append(list.Engines, engine)
	}
	return list, nil
}
