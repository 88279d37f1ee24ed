// Package statement scans the text of SQL statements: it finds the data set that a statement reads or writes, and splits a
// statement into tokens. It is not a parser and accepts any text.
package statement

import (
	"bytes"
	"io"
	"strconv"
)

// NoDataSet is the result of DataSet for a text that names no data set.
const NoDataSet = -1

// maxNameBytes is the length to which names are kept; the rest of a longer one is skipped.
const maxNameBytes = 256

// tableKeywords are the keywords that a table name follows. A dotted name in another place may be a column of an alias.
var tableKeywords = map[string]bool{"FROM": true, "JOIN": true, "INTO": true, "UPDATE": true, "TABLE": true, "USING": true,
	"ONLY": true, "COPY": true}

// DataSet returns the number after the last underscore in the schema of a table name, as 17 in sales_17.orders, or
// NoDataSet. Strings, comments and schemas called staging_N are ignored; quoted names are not. The first name that follows
// one of tableKeywords wins; if there is none, the first other dotted name does.
func DataSet(text io.ByteReader) int {
	s := scanner{in: text}
	s.next()
	found := NoDataSet
	var schema []byte     // the last name, empty once anything but white space followed it; valid until the next is read
	isTable := false      // schema is a table name
	afterKeyword := false // the last name was one of tableKeywords
	for s.more {
		switch c := s.current; {
		case c == '\'':
			s.readQuoted('\'')
			schema, afterKeyword = nil, false
		case c == '"' || c == '`':
			schema, isTable = s.readQuoted(c), afterKeyword
			afterKeyword = false
		case c == '[':
			schema, isTable = s.readQuoted(']'), afterKeyword
			afterKeyword = false
		case c == '-' || c == '/':
			if !s.skipComment() {
				schema, afterKeyword = nil, false
			}
		case isLetter(c):
			schema, isTable = s.readWord(), afterKeyword
			afterKeyword = isTableKeyword(schema)
		case c >= '0' && c <= '9':
			s.readWord() // a number, with the letters directly after it
			schema, afterKeyword = nil, false
		case c == '.':
			if n := dataSetNumber(schema); n != NoDataSet {
				if isTable {
					return n
				}
				if found == NoDataSet {
					found = n
				}
			}
			afterKeyword, schema = isTable, nil // in a name of three parts the first is a catalog
			s.next()
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.next()
		default:
			schema, afterKeyword = nil, false
			s.next()
		}
	}
	return found
}

// longestTableKeyword is the length of the longest of tableKeywords, in bytes.
const longestTableKeyword = 6

// isTableKeyword reports whether a name is one of tableKeywords.
func isTableKeyword(name []byte) bool {
	if len(name) > longestTableKeyword {
		return false
	}
	var upper [longestTableKeyword]byte
	for i, c := range name {
		if c >= 'a' && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	return tableKeywords[string(upper[:len(name)])]
}

// dataSetNumber returns the number at the end of the name of a schema, or NoDataSet.
func dataSetNumber(schema []byte) int {
	i := bytes.LastIndexByte(schema, '_')
	if i <= 0 || bytes.EqualFold(schema[:i], []byte("staging")) {
		return NoDataSet
	}
	n, err := strconv.ParseUint(string(schema[i+1:]), 10, 31)
	if err != nil {
		return NoDataSet
	}
	return int(n)
}

// scanner reads a text byte by byte.
type scanner struct {
	in      io.ByteReader
	current byte
	more    bool
	name    [maxNameBytes]byte // the last name that was read
}

func (s *scanner) next() {
	c, err := s.in.ReadByte()
	s.current, s.more = c, err == nil
}

// readQuoted reads a quoted string or name past its end and returns what is inside the quotes, cut to maxNameBytes. A
// doubled closing quote stands for one, except in brackets. The result is valid until the next name is read.
func (s *scanner) readQuoted(end byte) []byte {
	out := s.name[:0]
	for s.next(); s.more; s.next() {
		if s.current == end {
			if s.next(); s.current != end || !s.more || end == ']' {
				break
			}
		}
		if len(out) < maxNameBytes {
			out = append(out, s.current)
		}
	}
	return out
}

// readWord reads a name, a keyword or a number and returns it, cut to maxNameBytes. The result is valid until the next name is
// read.
func (s *scanner) readWord() []byte {
	out := s.name[:0]
	for ; s.more && (isLetter(s.current) || s.current >= '0' && s.current <= '9' || s.current == '$'); s.next() {
		if len(out) < maxNameBytes {
			out = append(out, s.current)
		}
	}
	return out
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// skipComment reads past a comment, if one starts here, and reports whether it did; else it reads past one character.
// Block comments nest.
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
