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

// leadingSettings returns the SET and USE statements at the start of a text and whether the text has no other statements.
func leadingSettings(words []statement.Token, text string) (settings []sessionSetting, only bool) {
	i := 0
	for i < len(words) {
		w := words[i]
		if w.Quoted || w.Upper == ";" {
			if w.Upper != ";" {
				return settings, false
			}
			i++
			continue
		}
		if w.Upper != "SET" && w.Upper != "USE" {
			return settings, false
		}
		end := i + 1 // index after the statement's last word
		for end < len(words) && words[end].Upper != ";" && !statementStarts[words[end].Upper] {
			end++
		}
		if end == i+1 {
			return settings, false
		}
		s := sessionSetting{text: strings.TrimSpace(text[w.Start:words[end-1].End])}
		switch name := words[i+1]; {
		case w.Upper == "USE":
			s.key, s.database = "USE", name.Text
		case strings.HasPrefix(name.Text, "@"): // a variable, which belongs to the batch and not to the session
			return settings, false
		case name.Upper == "TRANSACTION":
			s.key = "TRANSACTION ISOLATION LEVEL"
		default: // SET A ON, SET A, B ON, SET IDENTITY_INSERT table ON
			s.key = optionNames(words[i+1 : end])
		}
		settings = append(settings, s)
		i = end
	}
	return settings, true
}

// optionNames returns the names at the start of a list of options, as in A, B ON, with commas between them.
func optionNames(words []statement.Token) string {
	var names strings.Builder
	names.WriteString(words[0].Upper)
	for i := 1; i+1 < len(words) && words[i].Text == ","; i += 2 {
		names.WriteByte(',')
		names.WriteString(words[i+1].Upper)
	}
	return names.String()
}

// statementStarts are the words that begin a new statement, so they end a SET or USE that has no semicolon.
var statementStarts = map[string]bool{"SET": true, "USE": true, "SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true,
	"MERGE": true, "WITH": true, "EXEC": true, "EXECUTE": true, "DECLARE": true, "IF": true, "BEGIN": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "PRINT": true, "COMMIT": true, "ROLLBACK": true,
	"SAVE": true, "WAITFOR": true, "WHILE": true}

// unsupportedFeature names the feature of a statement that needs a session of its own on an engine; empty: none. The
// router supports no such feature because batches of one client session run on different engines.
func unsupportedFeature(words []statement.Token) string {
	for i, w := range words {
		next := ""
		if i+1 < len(words) && !words[i+1].Quoted {
			next = words[i+1].Upper
		}
		if strings.HasPrefix(w.Text, "#") {
			return "temporary tables (" + truncateUTF16(w.Text, 40) + ")"
		}
		if w.Quoted {
			continue
		}
		switch w.Upper {
		case "BEGIN", "SAVE":
			if next == "TRAN" || next == "TRANSACTION" || next == "DISTRIBUTED" {
				return "transactions"
			}
		case "COMMIT", "ROLLBACK":
			if i == 0 || next == "" || next == ";" || next == "TRAN" || next == "TRANSACTION" || next == "WORK" {
				return "transactions"
			}
		case "IMPLICIT_TRANSACTIONS":
			if i > 0 && words[i-1].Upper == "SET" && next == "ON" {
				return "transactions"
			}
		case "CURSOR":
			for _, previous := range words[max(0, i-4):i] {
				if previous.Upper == "DECLARE" {
					return "server cursors"
				}
			}
		case "INSERT":
			if next == "BULK" {
				return "bulk load"
			}
		}
	}
	return ""
}
