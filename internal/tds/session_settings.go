package tds

import (
	"fmt"
	"strings"

	"pitchfield/internal/statement"
)

// SET and USE statements belong to a session, whose batches run on different engines. The session keeps them and sends them
// ahead of each batch.

// Limits on what a session keeps. Exceeding one is answered with an error; the session stays open.
const (
	maxSettings     = 64      // SET options
	maxSettingBytes = 4 << 10 // total text of the SET statements
	maxDatabaseName = 128     // UTF-16 units; the longest identifier of SQL Server
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

// saveLeadingSettings records the settings at the start of a text. It returns the database that the last USE named, if there
// is one, whether the text has no other statements, and the error for the client if a setting is not allowed.
func (s *Session) saveLeadingSettings(text string) (database string, only bool, refused *Message) {
	leading := newSettingsReader(text)
	for {
		setting, found := leading.next()
		if !found {
			return database, leading.only, nil
		}
		if refused := s.saveSetting(setting); refused != nil {
			return "", false, refused
		}
		if setting.database != "" {
			database = setting.database
		}
	}
}

// saveSetting records a setting in place of an earlier one of the same key. If it is not allowed it returns the error for the
// client.
func (s *Session) saveSetting(setting sessionSetting) *Message {
	if setting.database != "" {
		if utf16Units(setting.database) > maxDatabaseName {
			return &Message{103, 4, 15, fmt.Sprintf("The identifier that starts with %.60q is too long. Maximum length is %d.", setting.database, maxDatabaseName)}
		}
		if !s.databaseAllowed(setting.database) {
			return &Message{911, 1, 16, fmt.Sprintf("Database %.60q does not exist.", setting.database)}
		}
		s.database = setting.database
		return nil
	}
	kept, size := s.settings[:0], len(setting.text)
	for _, old := range s.settings {
		if old.key != setting.key {
			kept, size = append(kept, old), size+len(old.text)
		}
	}
	if len(kept) >= maxSettings || size > maxSettingBytes {
		refused := unsupportedError("so many SET options of one session")
		return &refused
	}
	s.settings = append(kept, setting)
	return nil
}

// settingsPrefix returns the USE and SET statements that give an engine's connection the session's settings. They are
// sent ahead of each batch.
func (s *Session) settingsPrefix() string {
	var prefix strings.Builder
	if s.database != "" {
		prefix.WriteString("USE [" + strings.ReplaceAll(s.database, "]", "]]") + "]; ")
	}
	for _, setting := range s.settings {
		prefix.WriteString(setting.text + "; ")
	}
	return prefix.String()
}

// databaseAllowed reports whether sessions of this server may use the database. Names ignore case.
func (s *Session) databaseAllowed(database string) bool {
	if database == "" || len(s.server.Databases) == 0 {
		return true
	}
	for _, d := range s.server.Databases {
		if strings.EqualFold(d, database) {
			return true
		}
	}
	return false
}

// currentDatabase returns the database in which a statement's names are resolved.
func (s *Session) currentDatabase() string {
	if s.database != "" {
		return s.database
	}
	return s.login.database
}
