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

// serverValues returns the values of a SELECT of nothing but server values, with their column names, and false for any other
// statement.
func (s *Session) serverValues(words []statement.Token) ([]rows.Parameter, bool) {
	for len(words) > 0 && words[len(words)-1].Text == ";" {
		words = words[:len(words)-1]
	}
	if len(words) < 2 || words[0].Upper != "SELECT" || words[0].Quoted {
		return nil, false
	}
	var out []rows.Parameter
	for rest := words[1:]; len(rest) > 0; {
		n := 0
		for n < len(rest) && rest[n].Text != "," {
			n++
		}
		v, ok := s.serverValue(rest[:n])
		if !ok {
			return nil, false
		}
		out = append(out, v)
		if n == len(rest) {
			return out, true
		}
		rest = rest[n+1:]
	}
	return nil, false
}

// serverValue evaluates one item of such a SELECT, which may end in AS and a column name.
func (s *Session) serverValue(words []statement.Token) (v rows.Parameter, ok bool) {
	if n := len(words); n >= 3 && words[n-2].Upper == "AS" {
		v.Name, words = words[n-1].Text, words[:n-2]
	}
	var expression strings.Builder
	for _, w := range words {
		if w.Quoted {
			return v, false
		}
		expression.WriteString(w.Upper)
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
