package tds

import (
	"strings"

	"pitchfield/internal/statement"
)

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
