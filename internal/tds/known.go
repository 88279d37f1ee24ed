package tds

import (
	"strings"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/statement"
)

// What drivers ask of a server when they connect, and what pools ask to see that a connection lives. It is answered
// here: it concerns the session, costs no engine anything, and tells whether the router is there.

const productName = "pitchfield, a router before analytic engines"

// serverValues gives the values of a SELECT of nothing but figures of the server, with the names they stand under.
func (s *Session) serverValues(all []statement.Token) ([]rows.Parameter, bool) {
	for len(all) > 0 && all[len(all)-1].Text == ";" {
		all = all[:len(all)-1]
	}
	if len(all) < 2 || all[0].Upper != "SELECT" || all[0].Quoted {
		return nil, false
	}
	var out []rows.Parameter
	for rest := all[1:]; len(rest) > 0; {
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

// serverValue is one value of such a SELECT, with a name behind it or none.
func (s *Session) serverValue(all []statement.Token) (v rows.Parameter, ok bool) {
	if n := len(all); n >= 3 && all[n-2].Upper == "AS" {
		v.Name, all = all[n-1].Text, all[:n-2]
	}
	var b strings.Builder
	for _, w := range all {
		if w.Quoted {
			return v, false
		}
		b.WriteString(w.Upper)
	}
	text := func(t string) {
		v.Type, v.Value, ok = rows.Type{Kind: rows.Text, Size: 256}, []byte(t), true
	}
	number := func(n uint32) { v.Type, v.Value, ok = rows.Type{Kind: rows.Int32}, appendU32(nil, n), true }
	switch b.String() {
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

func (s *Session) sendServerValues(owed *buffers.Chain, values []rows.Parameter) {
	columns, row := make([]rows.Column, len(values)), make([][]byte, len(values))
	for i, v := range values {
		columns[i], row[i] = v.Column, v.Value
	}
	s.respond(owed, func(b []byte) []byte {
		return appendDone(appendRow(appendColMetadata(b, columns), columns, row), tokenDone, doneCount, 1)
	})
}
