package tds

import (
	"strings"

	"pitchfield/internal/statement"
)

// sessionSetting is a SET or USE statement.
type sessionSetting struct {
	key      string // names what it sets; a later setting of the same key replaces it
	text     string
	database string // of a USE; empty: a SET
}

// settingsReader reads the SET and USE statements at the start of a text.
type settingsReader struct {
	text    string
	tokens  *statement.Tokenizer
	token   statement.Token // that has not been processed; empty at the end of the text
	keyword string          // of token
	atEnd   bool            // all tokens have been processed
	only    bool            // the text has nothing but settings; valid once next has returned false
}

// newSettingsReader returns a settingsReader of a text.
func newSettingsReader(text string) *settingsReader {
	r := &settingsReader{text: text, tokens: statement.NewTokenizer(text)}
	r.advance()
	return r
}

// advance goes on to the next token.
func (r *settingsReader) advance() {
	token, more := r.tokens.Next()
	r.token, r.keyword, r.atEnd = token, token.Keyword(), !more
}

// next returns the next setting, and false at the end of the text or if another statement comes first.
func (r *settingsReader) next() (sessionSetting, bool) {
	for r.keyword == ";" {
		r.advance()
	}
	start, isUse := r.token.Start, r.keyword == "USE"
	if !isUse && r.keyword != "SET" {
		r.only = r.atEnd
		return sessionSetting{}, false
	}
	r.advance()
	name, nameKeyword := r.token, r.keyword
	isVariable := !isUse && strings.HasPrefix(name.Text, "@") // it belongs to the batch and not to the session
	if isVariable || r.atStatementEnd() {
		return sessionSetting{}, false
	}
	limit := start + maxSettingBytes // a longer SET is refused, whatever follows
	if isUse {
		limit = len(r.text)
	}
	options, end := r.optionNames(limit)
	setting := sessionSetting{text: strings.TrimSpace(r.text[start:end])}
	switch {
	case isUse:
		setting.key, setting.database = "USE", name.Text
	case nameKeyword == "TRANSACTION":
		setting.key = "TRANSACTION ISOLATION LEVEL"
	default: // SET A ON, SET A, B ON, SET IDENTITY_INSERT table ON
		setting.key = options
	}
	return setting, true
}

// atStatementEnd reports whether the token belongs to no statement that began before it.
func (r *settingsReader) atStatementEnd() bool {
	return r.atEnd || r.keyword == ";" || statementStarts[r.keyword]
}

// optionNames reads a statement from its first name on. It returns the names that begin it, as in A, B ON, in upper case with
// commas between them, and the index after the statement, or after the first token that ends behind limit.
func (r *settingsReader) optionNames(limit int) (names string, end int) {
	var list strings.Builder
	list.WriteString(strings.ToUpper(r.token.Text))
	end = r.token.End
	inList, afterComma := true, false
	for r.advance(); !r.atStatementEnd() && end <= limit; r.advance() {
		end = r.token.End
		switch {
		case !inList:
		case afterComma:
			list.WriteByte(',')
			list.WriteString(strings.ToUpper(r.token.Text))
			afterComma = false
		case r.token.Text == ",":
			afterComma = true
		default:
			inList = false
		}
	}
	return list.String(), end
}

// statementStarts are the words that begin a new statement, so they end a SET or USE that has no semicolon.
var statementStarts = map[string]bool{"SET": true, "USE": true, "SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true,
	"MERGE": true, "WITH": true, "EXEC": true, "EXECUTE": true, "DECLARE": true, "IF": true, "BEGIN": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "PRINT": true, "COMMIT": true, "ROLLBACK": true,
	"SAVE": true, "WAITFOR": true, "WHILE": true}

// maxWordsBetween is how many words may stand between DECLARE and the CURSOR that belongs to it.
const maxWordsBetween = 3

// unsupportedFeature names the feature of a statement that needs a session of its own on an engine; empty: none. The
// router supports no such feature because batches of one client session run on different engines.
func unsupportedFeature(text string) string {
	tokens := statement.NewTokenizer(text)
	token, more := tokens.Next()
	words := keywords{current: token.Keyword(), isFirst: true, sinceDeclare: maxWordsBetween + 1}
	for more {
		next, another := tokens.Next()
		words.next = next.Keyword()
		if strings.HasPrefix(token.Text, "#") {
			return "temporary tables (" + truncateUTF16(token.Text, 40) + ")"
		}
		if feature := words.unsupportedFeature(); feature != "" {
			return feature
		}
		words.advance()
		token, more = next, another
	}
	return ""
}

// keywords are a word of a statement and those around it, as Token.Keyword returns them.
type keywords struct {
	previous, current, next string
	isFirst                 bool // current is the first word of the statement
	sinceDeclare            int  // words between the last DECLARE and current
}

// advance goes on to the next word.
func (k *keywords) advance() {
	k.sinceDeclare++
	if k.current == "DECLARE" {
		k.sinceDeclare = 0
	}
	k.previous, k.current, k.isFirst = k.current, k.next, false
}

// unsupportedFeature names the feature that the current word stands for; empty: none that is not supported.
func (k *keywords) unsupportedFeature() string {
	switch k.current {
	case "BEGIN", "SAVE":
		if k.next == "TRAN" || k.next == "TRANSACTION" || k.next == "DISTRIBUTED" {
			return "transactions"
		}
	case "COMMIT", "ROLLBACK":
		if k.isFirst || k.next == "" || k.next == ";" || k.next == "TRAN" || k.next == "TRANSACTION" || k.next == "WORK" {
			return "transactions"
		}
	case "IMPLICIT_TRANSACTIONS":
		if k.previous == "SET" && k.next == "ON" {
			return "transactions"
		}
	case "CURSOR":
		if k.sinceDeclare <= maxWordsBetween {
			return "server cursors"
		}
	case "INSERT":
		if k.next == "BULK" {
			return "bulk load"
		}
	}
	return ""
}
