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
	listName = "_rpc._tcp.mesh.local"

	typeA, typeSOA, typeTXT, typeSRV = 1, 6, 16, 33
	classIN                          = 1
	weightTimes                      = 10
	mostName                         = 255
)

// Query asks for the whole list under a number.
func Query(id uint16) []byte {
	q := binary.BigEndian.AppendUint16(nil, id)
	q = append(q, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(listName, ".") {
		q = append(append(q, byte(len(label))), label...)
	}
	return append(q, 0, 0, typeSRV, 0, classIN)
}

var errShort = errors.New("message is cut short")

type message struct {
	all []byte
	at  int
}

func (m *message) take(n int) ([]byte, error) {
	if n < 0 || m.at+n > len(m.all) {
		return nil, errShort
	}
	out := m.all[m.at : m.at+n]
	m.at += n
	return out, nil
}

func (m *message) u16() (int, error) {
	b, err := m.take(2)
	if err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint16(b)), nil
}

// name reads a name, which may end in pointers to earlier ones; each must point further back, or it never ends.
func (m *message) name() (string, error) {
	var out []byte
	at, back, jumped := m.at, m.at, false
	for {
		if at >= len(m.all) {
			return "", errShort
		}
		n := int(m.all[at])
		switch {
		case n == 0:
			if !jumped {
				m.at = at + 1
			}
			return strings.ToLower(string(out)), nil
		case n >= 0xc0:
			if at+1 >= len(m.all) {
				return "", errShort
			}
			to := n&0x3f<<8 | int(m.all[at+1])
			if !jumped {
				m.at = at + 2
			}
			if jumped = true; to >= back {
				return "", errors.New("a name points forward")
			}
			at, back = to, to
		case n >= 0x40:
			return "", errors.New("an unknown kind of label")
		default:
			if at+1+n > len(m.all) || len(out)+n > mostName {
				return "", errShort
			}
			if len(out) > 0 {
				out = append(out, '.')
			}
			out = append(out, m.all[at+1:at+1+n]...)
			at += 1 + n
		}
	}
}

type record struct {
	name string
	kind int
	data message // ends with the record
}

func (m *message) record() (r record, err error) {
	if r.name, err = m.name(); err != nil {
		return r, err
	}
	if r.kind, err = m.u16(); err != nil {
		return r, err
	}
	if _, err = m.take(6); err != nil { // class and time to live
		return r, err
	}
	size, err := m.u16()
	if err != nil {
		return r, err
	}
	start := m.at
	if _, err = m.take(size); err != nil {
		return r, err
	}
	r.data = message{all: m.all[:m.at], at: start}
	return r, nil
}

// Parse reads an answer and the number of its query. Anything but a whole list is an error.
func Parse(text []byte) (id uint16, list List, err error) {
	m := &message{all: text}
	head, err := m.take(12)
	if err != nil {
		return 0, list, err
	}
	id = binary.BigEndian.Uint16(head)
	if flags := binary.BigEndian.Uint16(head[2:]); flags&0x8000 == 0 || flags&0x0200 != 0 || flags&0xf != 0 {
		return id, list, fmt.Errorf("flags %#x", flags)
	}
	for range binary.BigEndian.Uint16(head[4:]) {
		if _, err = m.name(); err != nil {
			return id, list, err
		}
		if _, err = m.take(4); err != nil {
			return id, list, err
		}
	}
	var records []record
	total := int(binary.BigEndian.Uint16(head[6:])) + int(binary.BigEndian.Uint16(head[8:])) +
		int(binary.BigEndian.Uint16(head[10:]))
	for range total {
		r, err := m.record()
		if err != nil {
			return id, list, err
		}
		records = append(records, r)
	}
	list, err = read(records)
	return id, list, err
}

func read(records []record) (List, error) {
	var list List
	serial := false
	addresses, texts := map[string]string{}, map[string]map[string]string{}
	for _, r := range records {
		d := r.data
		switch r.kind {
		case typeSOA:
			for range 2 {
				if _, err := d.name(); err != nil {
					return list, err
				}
			}
			b, err := d.take(4)
			if err != nil {
				return list, err
			}
			list.Serial, serial = binary.BigEndian.Uint32(b), true
		case typeA:
			b, err := d.take(4)
			if err != nil {
				return list, err
			}
			addresses[r.name] = netip.AddrFrom4([4]byte(b)).String()
		case typeTXT:
			texts[r.name] = map[string]string{}
			for d.at < len(d.all) {
				size, _ := d.take(1)
				b, err := d.take(int(size[0]))
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
		if r.kind != typeSRV || r.name != listName {
			continue
		}
		d := r.data
		fixed, err := d.take(6)
		if err != nil {
			return list, err
		}
		target, err := d.name()
		if err != nil {
			return list, err
		}
		labels := strings.Split(target, ".")
		if len(labels) < 2 {
			return list, fmt.Errorf("target %q", target)
		}
		e := Engine{ID: labels[0], Zone: labels[1], Kind: texts[target]["kind"],
			Draining: binary.BigEndian.Uint16(fixed) != 0,
			Weight:   float64(binary.BigEndian.Uint16(fixed[2:])) / weightTimes}
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
