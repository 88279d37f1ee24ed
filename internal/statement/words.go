package statement

import "strings"

// Token is a word, a quoted name, a string or a single other character of a statement.
type Token struct {
	Text   string // as written; a quoted name without its quotes; of a string only '
	Start  int    // index of its first byte in the statement
	End    int    // index after its last byte
	Quoted bool   // a quoted name or a string
}

// longestKeyword is the length in bytes of the longest word that Keyword returns in upper case: a little above that of every
// keyword of Transact-SQL.
const longestKeyword = 32

// Keyword returns the token in upper case, so that it can be compared with keywords. It is empty for what is quoted, which is
// never one. A word that is longer than every keyword is returned as written.
func (t Token) Keyword() string {
	switch {
	case t.Quoted:
		return ""
	case len(t.Text) > longestKeyword:
		return t.Text
	}
	return strings.ToUpper(t.Text)
}

// Tokenizer reads the tokens of a statement one after the other. White space and comments are skipped. The text of a string
// is replaced by one quote character, so that it can't be taken for a keyword or a name.
//
// It keeps no tokens, since those of a large statement would take many times its size.
type Tokenizer struct {
	text      string
	offset    int   // of what has not been read
	peeked    Token // the next token, if hasPeeked
	hasPeeked bool
}

// NewTokenizer returns a Tokenizer of a statement.
func NewTokenizer(text string) *Tokenizer { return &Tokenizer{text: text} }

// Peek returns the next token without consuming it, and false at the end of the statement.
func (t *Tokenizer) Peek() (Token, bool) {
	if !t.hasPeeked {
		t.peeked, t.hasPeeked = t.read()
	}
	return t.peeked, t.hasPeeked
}

// Next returns the next token and consumes it. It returns false at the end of the statement.
func (t *Tokenizer) Next() (Token, bool) {
	if t.hasPeeked {
		t.hasPeeked = false
		return t.peeked, true
	}
	return t.read()
}

// read reads a token from the text.
func (t *Tokenizer) read() (Token, bool) {
	t.skipSpace()
	if t.offset >= len(t.text) {
		return Token{}, false
	}
	start := t.offset
	switch c := t.text[start]; {
	case c == '\'' || c == '"' || c == '[':
		return t.readQuoted(c), true
	case isWordByte(c):
		for t.offset < len(t.text) && isWordByte(t.text[t.offset]) {
			t.offset++
		}
	default:
		t.offset++
	}
	return Token{Text: t.text[start:t.offset], Start: start, End: t.offset}, true
}

// skipSpace skips white space and comments.
func (t *Tokenizer) skipSpace() {
	for t.offset < len(t.text) {
		switch c := t.text[t.offset]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			t.offset++
		case strings.HasPrefix(t.text[t.offset:], "--"):
			t.offset = skipPast(t.text, t.offset, "\n")
		case strings.HasPrefix(t.text[t.offset:], "/*"):
			t.offset = skipComment(t.text, t.offset)
		default:
			return
		}
	}
}

// readQuoted reads a string or a quoted name, which begins with quote. A doubled closing quote is part of the text.
func (t *Tokenizer) readQuoted(quote byte) Token {
	closing := string(quote)
	if quote == '[' {
		closing = "]"
	}
	start := t.offset
	t.offset = skipPast(t.text, start+1, closing)
	for t.offset < len(t.text) && t.text[t.offset] == closing[0] {
		t.offset = skipPast(t.text, t.offset+1, closing)
	}
	token := Token{Text: "'", Start: start, End: t.offset, Quoted: true}
	if quote != '\'' {
		token.Text = strings.TrimSuffix(t.text[start+1:t.offset], closing)
	}
	return token
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
