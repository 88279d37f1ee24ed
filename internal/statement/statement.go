// Package statement finds the data set that an SQL text reads or writes.
package statement

import (
	"io"
	"strconv"
	"strings"
)

// NoDataSet is the data set of a text that names none.
const NoDataSet = -1

// tableKeywords are the words after which a table stands; other dotted names may be columns of an alias.
var tableKeywords = map[string]bool{"FROM": true, "JOIN": true, "INTO": true, "UPDATE": true, "TABLE": true, "USING": true,
	"ONLY": true, "COPY": true}

// DataSet is the number behind the underscore in the name of the schema, as 17 in sales_17.orders. Strings, comments
// and the schema staging do not count; a quoted name does. Where a table stands counts before any other dotted name.
func DataSet(text io.ByteReader) int {
	s := scanner{in: text}
	s.next()
	found := NoDataSet
	schema, table := "", false // the name before a dot, as long as nothing but white space came between
	place := false
	for s.more {
		switch c := s.current; {
		case c == '\'':
			s.readQuoted('\'')
			schema, place = "", false
		case c == '"' || c == '`':
			schema, table = s.readQuoted(c), place
			place = false
		case c == '[':
			schema, table = s.readQuoted(']'), place
			place = false
		case c == '-' || c == '/':
			if !s.skipComment() {
				schema, place = "", false
			}
		case isLetter(c):
			schema, table = s.readWord(), place
			place = tableKeywords[strings.ToUpper(schema)]
		case c >= '0' && c <= '9':
			s.readWord() // a number, with what clings to it
			schema, place = "", false
		case c == '.':
			if n := dataSetNumber(schema); n != NoDataSet {
				if table {
					return n
				}
				if found == NoDataSet {
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

func dataSetNumber(schema string) int {
	i := strings.LastIndexByte(schema, '_')
	if i <= 0 || strings.EqualFold(schema[:i], "staging") {
		return NoDataSet
	}
	n, err := strconv.ParseUint(schema[i+1:], 10, 31)
	if err != nil {
		return NoDataSet
	}
	return int(n)
}

type scanner struct {
	in      io.ByteReader
	current byte
	more    bool
}

func (s *scanner) next() {
	c, err := s.in.ReadByte()
	s.current, s.more = c, err == nil
}

// readQuoted reads past the end of what is quoted; the quote itself stands doubled inside.
func (s *scanner) readQuoted(end byte) string {
	var out strings.Builder
	for s.next(); s.more; s.next() {
		if s.current == end {
			if s.next(); s.current != end || !s.more || end == ']' {
				break
			}
		}
		if out.Len() < 256 {
			out.WriteByte(s.current)
		}
	}
	return out.String()
}

func (s *scanner) readWord() string {
	var out strings.Builder
	for ; s.more && (isLetter(s.current) || s.current >= '0' && s.current <= '9' || s.current == '$'); s.next() {
		if out.Len() < 256 {
			out.WriteByte(s.current)
		}
	}
	return out.String()
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// skipComment reads past a comment, if one starts here; else past the one character.
func (s *scanner) skipComment() bool {
	first := s.current
	s.next()
	switch {
	case first == '-' && s.more && s.current == '-':
		for s.more && s.current != '\n' {
			s.next()
		}
		return true
	case first == '/' && s.more && s.current == '*':
		depth, last := 1, byte(0)
		for s.next(); s.more && depth > 0; s.next() {
			switch {
			case last == '*' && s.current == '/':
				depth, last = depth-1, 0
			case last == '/' && s.current == '*':
				depth, last = depth+1, 0
			default:
				last = s.current
			}
		}
		return true
	}
	return false
}
