// Package statement finds the data set that an SQL text reads or writes.
package statement

import (
	"io"
	"strconv"
	"strings"
)

// DataSet is the number behind the underscore in the name of the schema, as 17 in sales_17.orders; 0: none.
// Strings, comments and the schema staging do not count; a quoted name does.
func DataSet(text io.ByteReader) int {
	s := scanner{in: text}
	s.next()
	schema := "" // the name before a dot, as long as nothing but white space came between
	dotted := false
	for s.ok {
		switch c := s.c; {
		case c == '\'':
			s.quoted('\'')
			schema, dotted = "", false
		case c == '"' || c == '`':
			schema, dotted = s.name(s.quoted(c), schema, dotted)
		case c == '[':
			schema, dotted = s.name(s.quoted(']'), schema, dotted)
		case c == '-' || c == '/':
			if !s.comment() {
				schema, dotted = "", false
			}
		case letter(c):
			schema, dotted = s.name(s.word(), schema, dotted)
		case c >= '0' && c <= '9':
			s.word() // a number, with what clings to it
			schema, dotted = "", false
		case c == '.':
			if schema != "" && !dotted {
				if n := number(schema); n > 0 {
					return n
				}
			}
			dotted = schema != ""
			s.next()
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.next()
		default:
			schema, dotted = "", false
			s.next()
		}
	}
	return 0
}

func number(schema string) int {
	i := strings.LastIndexByte(schema, '_')
	if i <= 0 || strings.EqualFold(schema[:i], "staging") {
		return 0
	}
	n, err := strconv.Atoi(schema[i+1:])
	if err != nil || n < 0 {
		return 0
	}
	return n
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

// name takes a name: the first of a dotted pair is a schema, what follows the dot is not.
func (s *scanner) name(n, _ string, dotted bool) (string, bool) {
	if dotted {
		return "", false
	}
	return n, false
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
