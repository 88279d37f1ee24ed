// Package statement scans the text of SQL statements: it finds the data set that a statement reads or writes, and splits a
// statement into tokens. It is not a parser and accepts any text.
package statement

import (
	"io"
	"strconv"
	"strings"
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
	schema, isTable := "", false // the last name, "" once anything but white space followed it; whether it is a table name
	afterKeyword := false        // the last name was one of tableKeywords
	for s.more {
		switch c := s.current; {
		case c == '\'':
			s.readQuoted('\'')
			schema, afterKeyword = "", false
		case c == '"' || c == '`':
			schema, isTable = s.readQuoted(c), afterKeyword
			afterKeyword = false
		case c == '[':
			schema, isTable = s.readQuoted(']'), afterKeyword
			afterKeyword = false
		case c == '-' || c == '/':
			if !s.skipComment() {
				schema, afterKeyword = "", false
			}
		case isLetter(c):
			schema, isTable = s.readWord(), afterKeyword
			afterKeyword = tableKeywords[strings.ToUpper(schema)]
		case c >= '0' && c <= '9':
			s.readWord() // a number, with the letters directly after it
			schema, afterKeyword = "", false
		case c == '.':
			if n := dataSetNumber(schema); n != NoDataSet {
				if isTable {
					return n
				}
				if found == NoDataSet {
					found = n
				}
			}
			afterKeyword, schema = isTable, "" // in a name of three parts the first is a catalog
			s.next()
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			s.next()
		default:
			schema, afterKeyword = "", false
			s.next()
		}
	}
	return found
}

// dataSetNumber returns the number at the end of the name of a schema, or NoDataSet.
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

// scanner reads a text byte by byte.
type scanner struct {
	in      io.ByteReader
	current byte
	more    bool
}

func (s *scanner) next() {
	c, err := s.in.ReadByte()
	s.current, s.more = c, err == nil
}

// readQuoted reads a quoted string or name past its end and returns what is inside the quotes, cut to maxNameBytes. A
// doubled closing quote stands for one, except in brackets.
func (s *scanner) readQuoted(end byte) string {
	var out strings.Builder
	for s.next(); s.more; s.next() {
		if s.current == end {
			if s.next(); s.current != end || !s.more || end == ']' {
				break
			}
		}
		if out.Len() < maxNameBytes {
			out.WriteByte(s.current)
		}
	}
	return out.String()
}

// readWord reads a name, a keyword or a number and returns it, cut to maxNameBytes.
func (s *scanner) readWord() string {
	var out strings.Builder
	for ; s.more && (isLetter(s.current) || s.current >= '0' && s.current <= '9' || s.current == '$'); s.next() {
		if out.Len() < maxNameBytes {
			out.WriteByte(s.current)
		}
	}
	return out.String()
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
