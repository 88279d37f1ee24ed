package directory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// The name that the list is asked for under, and what DNS (RFC 1035, RFC 2782) calls its records.
const (
	serviceName = "_rpc._tcp.mesh.local"

	typeA, typeSOA, typeTXT, typeSRV = 1, 6, 16, 33
	classIN                          = 1
	weightScale                      = 10
	maxNameLength                    = 255
)

// EncodeQuery asks for the whole list under a number.
func EncodeQuery(id uint16) []byte {
	q := binary.BigEndian.AppendUint16(nil, id)
	q = append(q, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(serviceName, ".") {
		q = append(append(q, byte(len(label))), label...)
	}
	return append(q, 0, 0, typeSRV, 0, classIN)
}

var errTruncated = errors.New("message is cut short")

type message struct {
	buffer []byte
	offset int
}

func (m *message) readBytes(n int) ([]byte, error) {
	if n < 0 || m.offset+n > len(m.buffer) {
		return nil, errTruncated
	}
	out := m.buffer[m.offset : m.offset+n]
	m.offset += n
	return out, nil
}

func (m *message) readUint16() (int, error) {
	b, err := m.readBytes(2)
	if err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint16(b)), nil
}

// readName reads a name, which may end in pointers to earlier ones; each must point further back, or it never ends.
func (m *message) readName() (string, error) {
	var out []byte
	at, back, jumped := m.offset, m.offset, false
	for {
		if at >= len(m.buffer) {
			return "", errTruncated
		}
		n := int(m.buffer[at])
		switch {
		case n == 0:
			if !jumped {
				m.offset = at + 1
			}
			return strings.ToLower(string(out)), nil
		case n >= 0xc0:
			if at+1 >= len(m.buffer) {
				return "", errTruncated
			}
			to := n&0x3f<<8 | int(m.buffer[at+1])
			if !jumped {
				m.offset = at + 2
			}
			if jumped = true; to >= back {
				return "", errors.New("a name points forward")
			}
			at, back = to, to
		case n >= 0x40:
			return "", errors.New("an unknown kind of label")
		default:
			if at+1+n > len(m.buffer) || len(out)+n > maxNameLength {
				return "", errTruncated
			}
			if len(out) > 0 {
				out = append(out, '.')
			}
			out = append(out, m.buffer[at+1:at+1+n]...)
			at += 1 + n
		}
	}
}

type record struct {
	name       string
	recordType int
	data       message // ends with the record
}

func (m *message) readRecord() (r record, err error) {
	if r.name, err = m.readName(); err != nil {
		return r, err
	}
	if r.recordType, err = m.readUint16(); err != nil {
		return r, err
	}
	if _, err = m.readBytes(6); err != nil { // class and time to live
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

// ParseResponse reads an answer and the number of its query. Anything but a whole list is an error.
func ParseResponse(text []byte) (id uint16, list List, err error) {
	m := &message{buffer: text}
	head, err := m.readBytes(12)
	if err != nil {
		return 0, list, err
	}
	id = binary.BigEndian.Uint16(head)
	if flags := binary.BigEndian.Uint16(head[2:]); flags&0x8000 == 0 || flags&0x0200 != 0 || flags&0xf != 0 {
		return id, list, fmt.Errorf("flags %#x", flags)
	}
	for range binary.BigEndian.Uint16(head[4:]) {
		if _, err = m.readName(); err != nil {
			return id, list, err
		}
		if _, err = m.readBytes(4); err != nil {
			return id, list, err
		}
	}
	var records []record
	total := int(binary.BigEndian.Uint16(head[6:])) + int(binary.BigEndian.Uint16(head[8:])) +
		int(binary.BigEndian.Uint16(head[10:]))
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

func buildList(records []record) (List, error) {
	var list List
	serial := false
	addresses, texts := map[string]string{}, map[string]map[string]string{}
	for _, r := range records {
		d := r.data
		switch r.recordType {
		case typeSOA:
			for range 2 {
				if _, err := d.readName(); err != nil {
					return list, err
				}
			}
			b, err := d.readBytes(4)
			if err != nil {
				return list, err
			}
			list.Serial, serial = binary.BigEndian.Uint32(b), true
		case typeA:
			b, err := d.readBytes(4)
			if err != nil {
				return list, err
			}
			addresses[r.name] = netip.AddrFrom4([4]byte(b)).String()
		case typeTXT:
			texts[r.name] = map[string]string{}
			for d.offset < len(d.buffer) {
				size, _ := d.readBytes(1)
				b, err := d.readBytes(int(size[0]))
				if err != nil {
					return list, err
				}
				name, value, _ := strings.Cut(string(b), "=")
				texts[r.name][name] = value
			}
		}
	}
	if !serial {
		return list, errors.New("no serial")
	}
	for _, r := range records {
		if r.recordType != typeSRV || r.name != serviceName {
			continue
		}
		d := r.data
		fixed, err := d.readBytes(6)
		if err != nil {
			return list, err
		}
		target, err := d.readName()
		if err != nil {
			return list, err
		}
		labels := strings.Split(target, ".")
		if len(labels) < 2 {
			return list, fmt.Errorf("target %q", target)
		}
		e := Engine{ID: labels[0], Zone: labels[1], Kind: texts[target]["kind"],
			Draining: binary.BigEndian.Uint16(fixed) != 0,
			Weight:   float64(binary.BigEndian.Uint16(fixed[2:])) / weightScale}
		if addresses[target] == "" || texts[target] == nil {
			// Without them a late start would pass for none, and a cold engine for a warm one.
			return list, fmt.Errorf("target %q lacks its records", target)
		}
		e.Address = addresses[target] + ":" + strconv.Itoa(int(binary.BigEndian.Uint16(fixed[4:])))
		started, err := strconv.ParseFloat(texts[target]["started"], 64)
		if e.Cell, _ = strconv.Atoi(texts[target]["cell"]); err != nil {
			return list, fmt.Errorf("target %q: %w", target, err)
		}
		e.StartedAt = started / 1000
		list.Engines = append(list.Engines, e)
	}
	return list, nil
}
