package tds

import (
	"strings"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/statement"
)

// Drivers query server values when they connect, and connection pools query them to check that a connection is alive.
// The router answers these queries itself: they concern the session, cost no engine anything, and show whether the router
// is reachable.

// productName is the value of @@VERSION.
const productName = "pitchfield, a router before analytic engines"

// maxServerValues is the largest number of server values that the router answers itself; no tool asks for as many. A statement
// with more goes to an engine.
const maxServerValues = 64

// maxServerValueTokens is more than the tokens of the longest server value with its column name, DB_NAME() AS name.
const maxServerValueTokens = 6

// serverValues returns the values of a SELECT of nothing but server values, with their column names, and false for any other
// statement.
func (s *Session) serverValues(text string) ([]rows.Parameter, bool) {
	tokens := statement.NewTokenizer(text)
	if first, _ := tokens.Next(); first.Keyword() != "SELECT" {
		return nil, false
	}
	var out []rows.Parameter
	for len(out) < maxServerValues {
		item, last, ok := nextSelectItem(tokens)
		if !ok {
			return nil, false
		}
		v, ok := s.serverValue(item)
		if !ok {
			return nil, false
		}
		if out = append(out, v); last {
			return out, true
		}
	}
	return nil, false
}

// nextSelectItem reads an item of a SELECT list up to the comma behind it. It reports whether it is the last, with nothing but
// semicolons behind it, and returns false if it is longer than a server value.
func nextSelectItem(tokens *statement.Tokenizer) (item []statement.Token, last, ok bool) {
	for len(item) < maxServerValueTokens {
		token, more := tokens.Next()
		switch {
		case !more:
			return item, true, true
		case token.Text == ";":
			return item, true, onlySemicolons(tokens)
		case token.Text == ",":
			return item, false, true
		}
		item = append(item, token)
	}
	return nil, false, false
}

// onlySemicolons reports whether nothing else is left of a statement.
func onlySemicolons(tokens *statement.Tokenizer) bool {
	for {
		token, more := tokens.Next()
		if !more || token.Text != ";" {
			return !more
		}
	}
}

// serverValue evaluates one item of such a SELECT, which may end in AS and a column name.
func (s *Session) serverValue(item []statement.Token) (v rows.Parameter, ok bool) {
	if n := len(item); n >= 3 && item[n-2].Keyword() == "AS" {
		v.Name, item = item[n-1].Text, item[:n-2]
	}
	var expression strings.Builder
	for _, token := range item {
		if token.Quoted {
			return v, false
		}
		expression.WriteString(token.Keyword())
	}
	text := func(t string) {
		v.Type, v.Value, ok = rows.Type{Kind: rows.Text, Size: 256}, []byte(t), true
	}
	number := func(n uint32) { v.Type, v.Value, ok = rows.Type{Kind: rows.Int32}, appendU32(nil, n), true }
	switch expression.String() {
	case "1":
		number(1)
	case "@@SPID":
		number(64)
	case "@@VERSION":
		text(productName)
	case "@@SERVERNAME":
		text(s.server.Name)
	case "@@LANGUAGE":
		text("us_english")
	case "@@MAX_PRECISION":
		v.Type, v.Value, ok = rows.Type{Kind: rows.Int8}, []byte{38}, true
	case "@@TRANCOUNT":
		number(0)
	case "DB_NAME()":
		text(s.currentDatabase())
	case "SYSTEM_USER", "SUSER_NAME()", "SUSER_SNAME()", "USER_NAME()":
		text(s.login.user)
	case "APP_NAME()":
		text(s.login.appName)
	}
	return v, ok
}

// sendServerValues answers with a result set of one row.
func (s *Session) sendServerValues(out *buffers.Chain, values []rows.Parameter) {
	columns, row := make([]rows.Column, len(values)), make([][]byte, len(values))
	for i, v := range values {
		columns[i], row[i] = v.Column, v.Value
	}
	s.respond(out, func(b []byte) []byte {
		return appendDone(appendRow(appendColMetadata(b, columns), columns, row), tokenDone, doneCount, 1)
	})
}
