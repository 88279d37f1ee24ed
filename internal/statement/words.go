package statement

import "strings"

// Token is one of a statement's words or signs, outside strings and comments.
type Token struct {
	Text   string // as it stands; names without their quotes
	Upper  string
	Start  int  // where it begins, and
	End    int  // ends
	Quoted bool // a name in quotes, or a string
}

// Tokenize splits a text. A string counts as a word that is a quote.
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
			for n < len(text) && text[n] == end[0] { // doubled
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

func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '#' || c == '@' ||
		c == '$' || c >= 0x80
}

func skipPast(text string, from int, what string) int {
	if i := strings.Index(text[min(from, len(text)):], what); i >= 0 {
		return from + i + len(what)
	}
	return len(text)
}

// skipComment reads past a comment; they nest.
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
