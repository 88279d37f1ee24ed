package statement

import "strings"

// Token is a word, a quoted name, a string or a single other character of a statement.
type Token struct {
	Text   string // as written; a quoted name without its quotes; of a string only '
	Upper  string // Text in upper case
	Start  int    // index of its first byte in the statement
	End    int    // index after its last byte
	Quoted bool   // a quoted name or a string
}

// Tokenize splits a statement into tokens. White space and comments are skipped. The text of a string is replaced by one
// quote character, so that it can't be taken for a keyword or a name.
func Tokenize(text string) (out []Token) {
	out = make([]Token, 0, min(len(text)/4+1, 64))
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			i++
		case strings.HasPrefix(text[i:], "--"):
			i = skipPast(text, i, "\n")
		case strings.HasPrefix(text[i:], "/*"):
			i = skipComment(text, i)
		case c == '\'' || c == '"' || c == '[':
			end := string(c)
			if c == '[' {
				end = "]"
			}
			n := skipPast(text, i+1, end)
			for n < len(text) && text[n] == end[0] { // a doubled quote is part of the text
				n = skipPast(text, n+1, end)
			}
			inner := strings.TrimSuffix(text[i+1:n], end)
			w := Token{Text: inner, Upper: strings.ToUpper(inner), Start: i, End: n, Quoted: true}
			if c == '\'' {
				w.Text, w.Upper = "'", "'"
			}
			out = append(out, w)
			i = n
		case isWordByte(c):
			n := i + 1
			for n < len(text) && isWordByte(text[n]) {
				n++
			}
			out = append(out, Token{text[i:n], strings.ToUpper(text[i:n]), i, n, false})
			i = n
		default:
			out = append(out, Token{text[i : i+1], text[i : i+1], i, i + 1, false})
			i++
		}
	}
	return out
}

// isWordByte reports whether a byte can be part of an unquoted name, keyword, number or parameter.
func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '#' || c == '@' ||
		c == '$' || c >= 0x80
}

// skipPast returns the index after the next occurrence of what, or the end of the text.
func skipPast(text string, from int, what string) int {
	if i := strings.Index(text[min(from, len(text)):], what); i >= 0 {
		return from + i + len(what)
	}
	return len(text)
}

// skipComment returns the index after the block comment that starts at from. Block comments nest.
func skipComment(text string, from int) int {
	depth := 0
	for i := from; i < len(text); {
		switch {
		case strings.HasPrefix(text[i:], "/*"):
			depth, i = depth+1, i+2
		case strings.HasPrefix(text[i:], "*/"):
			if depth, i = depth-1, i+2; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return len(text)
}
