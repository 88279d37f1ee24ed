// Package statement finds the data set that an SQL text reads or writes.
package statement

import (
	"io"
	"strconv"
	"strings"
)

// None is the data set of a text that names none.
const None = -1

// places are the words after which a table stands; other dotted names may be columns of an alias.
var places = map[string]bool{"FROM": true, "JOIN": true, "INTO": true, "UPDATE": true, "TABLE": true, "USING": true,
	"ONLY": true, "COPY": true}

// DataSet is the number behind the underscore in the name of the schema, as 17 in sales_17.orders. Strings, comments
// and the schema staging do not count; a quoted name does. Where a table stands counts before any other dotted name.
func DataSet(text io.ByteReader) int {
	s := scanner{in: text}
	s.next()
	found := None
	schema, table := "", false // the name before a dot, as long as nothing but white space came between
	place := false
	for s.ok {
		switch c := s.c; {
		case c == '\'':
			s.quoted('\'')
			schema, place = "", false
		case c == '"' || c == '`':
			schema, table = s.quoted(c), place
			place = false
		case c == '[':
			schema, table = s.quoted(']'), place
			place = false
		case c == '-' || c == '/':
			if !s.comment() {
				schema, place = "", false
			}
		case letter(c):
			schema, table = s.word(), place
			place = places[strings.ToUpper(schema)]
		case c >= '0' && c <= '9':
			s.word() // a number, with what clings to it
			schema, place = "", false
		case c == '.':
			if n := number(schema); n != None {
				if table {
					return n
				}
				if found == None {
					found = n
				}
			}
			place, schema = table, "" // the first of three names is a catalog
			s.next()
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.next()
		default:
			schema, place = "", false
			s.next()
		}
	}
	return found
}

func number(schema string) int {
	i := strings.LastIndexByte(schema, '_')
	if i <= 0 || strings.EqualFold(schema[:i], "staging") {
		return None
	}
	n, err := strconv.ParseUint(schema[i+1:], 10, 31)
	if err != nil {
		return None
	}
	return int(n)
}

type scanner struct {
	in io.ByteReader
	c  byte
	ok bool
}

func (s *scanner) next() {
	c, err := s.in.ReadByte()
	s.c, s.ok = c, err == nil
}

// quoted reads past the end of what is quoted; the quote itself stands doubled inside.
func (s *scanner) quoted(end byte) string {
	var out strings.Builder
	for s.next(); s.ok; s.next() {
		if s.c == end {
			if s.next(); s.c != end || !s.ok || end == ']' {
				break
			}
		}
		if out.Len() < 256 {
			out.WriteByte(s.c)
		}
	}
	return out.String()
}

func (s *scanner) word() string {
	var out strings.Builder
	for ; s.ok && (letter(s.c) || s.c >= '0' && s.c <= '9' || s.c == '$'); s.next() {
		if out.Len() < 256 {
			out.WriteByte(s.c)
		}
	}
	return out.String()
}

func letter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// comment reads past a comment, if one starts here; else past the one character.
func (s *scanner) comment() bool {
	first := s.c
	s.next()
	switch {
	case first == '-' && s.ok && s.c == '-':
		for s.ok && s.c != '\n' {
			s.next()
		}
		return true
	case first == '/' && s.ok && s.c == '*':
		depth, last := 1, byte(0)
		for s.next(); s.ok && depth > 0; s.next() {
			switch {
			case last == '*' && s.c == '/':
				depth, last = depth-1, 0
			case last == '/' && s.c == '*':
				depth, last = depth+1, 0
			default:
				last = s.c
			}
		}
		return true
	}
	return false
}
