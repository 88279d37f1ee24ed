package tds

import (
	"strings"

	"pitchfield/internal/statement"
)

// sessionSetting is a statement that changes the session: SET or USE.
type sessionSetting struct {
	key      string // what of the session it changes
	text     string
	database string // of a USE
}

// leadingSettings gives the SET and USE statements at the start of a text and whether nothing else is in it.
func leadingSettings(all []statement.Token, text string) (out []sessionSetting, only bool) {
	i := 0
	for i < len(all) {
		w := all[i]
		if w.Quoted || w.Upper == ";" {
			if w.Upper != ";" {
				return out, false
			}
			i++
			continue
		}
		if w.Upper != "SET" && w.Upper != "USE" {
			return out, false
		}
		n := i + 1
		for n < len(all) && all[n].Upper != ";" && !statementStarts[all[n].Upper] {
			n++
		}
		if n == i+1 {
			return out, false
		}
		s := sessionSetting{text: strings.TrimSpace(text[w.Start:all[n-1].End])}
		switch name := all[i+1]; {
		case w.Upper == "USE":
			s.key, s.database = "USE", name.Text
		case strings.HasPrefix(name.Text, "@"): // a variable of the batch
			return out, false
		case name.Upper == "TRANSACTION":
			s.key = "TRANSACTION ISOLATION LEVEL"
		default: // SET A ON, SET A, B ON, SET IDENTITY_INSERT table ON
			s.key = name.Upper
			for k := i + 2; k+1 < n && all[k].Text == ","; k += 2 {
				s.key += "," + all[k+1].Upper
			}
		}
		out = append(out, s)
		i = n
	}
	return out, true
}

// statementStarts are words that begin another statement; a SET or USE before them ends without a semicolon.
var statementStarts = map[string]bool{"SET": true, "USE": true, "SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true,
	"MERGE": true, "WITH": true, "EXEC": true, "EXECUTE": true, "DECLARE": true, "IF": true, "BEGIN": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "PRINT": true, "COMMIT": true, "ROLLBACK": true,
	"SAVE": true, "WAITFOR": true, "WHILE": true}

// unsupportedFeature says what of a statement needs a session of its own on an engine, which this router does not give; empty:
// nothing. Batches of one session go to different engines.
func unsupportedFeature(all []statement.Token) string {
	for i, w := range all {
		next := ""
		if i+1 < len(all) && !all[i+1].Quoted {
			next = all[i+1].Upper
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
			if i > 0 && all[i-1].Upper == "SET" && next == "ON" {
				return "transactions"
			}
		case "CURSOR":
			for _, before := range all[max(0, i-4):i] {
				if before.Upper == "DECLARE" {
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
