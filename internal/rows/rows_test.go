package rows

import (
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pitchfield/internal/buffers"
	"pitchfield/internal/statement"
)

func TestFormatWritesSQLText(t *testing.T) {
	for want, v := range map[string]Parameter{
		"-1.5000":                              {Column: Column{Type: Type{Kind: Money}}, Value: []byte{0x68, 0xC5, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF}},
		"0.05":                                 {Column: Column{Type: Type{Kind: Decimal, Precision: 9, Scale: 2}}, Value: []byte{1, 5, 0, 0, 0}},
		"-120":                                 {Column: Column{Type: Type{Kind: Decimal, Precision: 9}}, Value: []byte{0, 120, 0, 0, 0}},
		"0001-01-02":                           {Column: Column{Type: Type{Kind: Date}}, Value: []byte{1, 0, 0}},
		"00:01:01.5":                           {Column: Column{Type: Type{Kind: Time, Scale: 1}}, Value: []byte{0x67, 2, 0}},
		"1900-01-02 00:00:00.003":              {Column: Column{Type: Type{Kind: DateTime}}, Value: []byte{1, 0, 0, 0, 1, 0, 0, 0}},
		"1900-01-02 01:00":                     {Column: Column{Type: Type{Kind: SmallDateTime}}, Value: []byte{1, 0, 60, 0}},
		"0001-01-02 01:00:00 +01:00":           {Column: Column{Type: Type{Kind: DateTimeOffset}}, Value: []byte{0, 0, 0, 1, 0, 0, 60, 0}},
		"0x00FF":                               {Column: Column{Type: Type{Kind: Bytes}}, Value: []byte{0, 255}},
		"03020100-0504-0706-0809-0A0B0C0D0E0F": {Column: Column{Type: Type{Kind: GUID}}, Value: []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}},
	} {
		got, err := Format(v.Type, v.Value)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	for _, bad := range []Parameter{{Column: Column{Type: Type{Kind: Int32}}, Value: []byte{1}},
		{Column: Column{Type: Type{Kind: Date}}, Value: []byte{255, 255, 255}}, {Column: Column{Type: Type{Kind: Text}}, Value: []byte{0xff}},
		{Column: Column{Type: Type{Kind: Float32}}, Value: []byte{0, 0, 0x80, 0x7f}}} {
		_, err := Format(bad.Type, bad.Value)
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

func TestInlineReplacesOnlyParameterNames(t *testing.T) {
	text := func(name, v string) Parameter {
		return Parameter{Column: Column{Name: name, Type: Type{Kind: Text}}, Value: []byte(v)}
	}
	got, err := Inline("SELECT @A, '@a', [@a], @a1 -- @a\n, @@a /* @a */ FROM t WHERE x=@a", []Parameter{text("@a", "O'Hara; @a1"), text("@a1", "x")})
	require.NoError(t, err)
	assert.Equal(t, "SELECT N'O''Hara; @a1', '@a', [@a], N'x' -- @a\n, @@a /* @a */ FROM t WHERE x=N'O''Hara; @a1'", got)
}

// numberParameter returns a parameter that is an integer.
func numberParameter(name string, v int32) Parameter {
	return Parameter{Column: Column{Name: name, Type: Type{Kind: Int32}}, Value: binary.LittleEndian.AppendUint32(nil, uint32(v))}
}

// A literal must not form another token with its neighbours: a minus before a number below 0 opened a comment, which took the rest of
// the conditions with it, and clients were served the rows of others.
func TestInlineKeepsTheTokensAroundALiteral(t *testing.T) {
	parameters := []Parameter{numberParameter("@n", -3), numberParameter("@p", 7),
		{Column: Column{Name: "@t", Type: Type{Kind: Text}}, Value: []byte("x")},
		{Column: Column{Name: "@d", Type: Type{Kind: Date}}, Value: []byte{0, 0, 0}},
		{Column: Column{Name: "@b", Type: Type{Kind: Bytes}}, Value: []byte{1}},
		{Column: Column{Name: "@z", Type: Type{Kind: Int32}}, Null: true}}
	for text, want := range map[string]string{
		"WHERE due > 10-@n AND client = @p": "WHERE due > 10- -3 AND client = 7",
		"SELECT 1 -@n":                      "SELECT 1 - -3",
		"SELECT - @n, -(@n)":                "SELECT - -3, -(-3)",
		"SELECT -@n":                        "SELECT - -3",
		"SELECT@n, (@b), @z+1":              "SELECT@n, (0x01), NULL+1",
		"SELECT 1.@p, @p.5":                 "SELECT 1. 7, 7 .5",
		"SELECT 9%@n, 9=@n, 9>@n":           "SELECT 9% -3, 9= -3, 9> -3",
		"SELECT @p'alias',@p\"alias\"":      "SELECT 7 'alias',7 \"alias\"",
		"SELECT @t'alias'":                  "SELECT N'x' 'alias'",
		"SELECT 'a'@d":                      "SELECT 'a' '0001-01-01'",
		"SELECT 100/@n*10, 100/@n % 2":      "SELECT 100/(-3)*10, 100/(-3) % 2",
		"SELECT @n/2, @n::text, @n -- */":   "SELECT (-3)/2, (-3)::text, -3 -- */",
		"SELECT @n /* */ *2":                "SELECT (-3) /* */ *2",
		"SELECT @p/2, @p-1, @n-1, @n+@n":    "SELECT 7/2, 7-1, -3-1, -3+ -3",
		"EXEC p @n, @p":                     "EXEC p -3, 7",
	} {
		got, err := Inline(text, parameters)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

// A float without an exponent is an integer or a decimal to an engine: with a value of 5, @f / 2 was 2.
func TestFloatLiteralsHaveAnExponent(t *testing.T) {
	for v, want := range map[float64]string{5: "5e0", -5: "-5e0", 0: "0e0", 0.5: "0.5e0", 1e21: "1e+21", -2.5e-9: "-2.5e-09"} {
		got, err := Literal(Parameter{Column: Column{Type: Type{Kind: Float64}}, Value: binary.LittleEndian.AppendUint64(nil, math.Float64bits(v))})
		require.NoError(t, err)
		assert.Equal(t, want, got)
		got, err = Literal(Parameter{Column: Column{Type: Type{Kind: Float32}}, Value: binary.LittleEndian.AppendUint32(nil, math.Float32bits(float32(v)))})
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

// tokensOf returns all tokens of a text.
func tokensOf(text string) (out []statement.Token) {
	tokens := statement.NewTokenizer(text)
	for token, more := tokens.Next(); more; token, more = tokens.Next() {
		out = append(out, token)
	}
	return out
}

// Inline must leave as many tokens as there were, with those of the literals in place of the names.
func TestInlineKeepsAllOtherTokens(t *testing.T) {
	parameters := []Parameter{numberParameter("@n", -3), numberParameter("@p", 7),
		{Column: Column{Name: "@t", Type: Type{Kind: Text}}, Value: []byte("it's -- /* x")}}
	literalTokens := map[string][]string{"@n": {"-", "3"}, "@p": {"7"}, "@t": {"N", "'"}}
	pieces := []string{"@n", "@p", "@t", "-", "SELECT ", " ", "(", ")", "1", ",", "'s'", "\"q\"", "[b]", "=", "+", "--c\n", "/*c*/"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 12).Draw(t, "pieces"), "")
		var want []string
		for _, token := range tokensOf(text) {
			if tokens, is := literalTokens[token.Text]; is && !token.Quoted {
				want = append(want, tokens...)
			} else {
				want = append(want, token.Text)
			}
		}
		inlined, err := Inline(text, parameters)
		require.NoError(t, err)
		var got []string
		for _, token := range tokensOf(inlined) {
			got = append(got, token.Text)
		}
		assert.Equal(t, want, got, "%q became %q", text, inlined)
		size, err := InlinedSize(text, parameters)
		require.NoError(t, err)
		assert.Equal(t, len(inlined), size)
	})
}

func TestLinesRejectInexpressibleResults(t *testing.T) {
	pool := &buffers.Pool{}
	three := []Column{{Name: "a", Type: Type{Kind: Text}}, {Name: "b", Type: Type{Kind: Int8}}, {Name: "c", Type: Type{Kind: Text}}}
	part := func(columns []Column, values ...[]byte) Part {
		p := Part{Encoding: Values, Columns: columns, Data: pool.Chain()}
		for _, v := range values {
			AppendValue(p.Data, v)
		}
		return p
	}
	out, err := AsLines(pool, []Part{part(three, []byte("x"), []byte{7}, []byte("č"))})
	require.NoError(t, err)
	assert.Equal(t, "x\t7\tč\n", out[0].Data.String())
	Release(out)
	for why, bad := range map[string][]Part{"no value": {part(three, []byte("x"), nil, []byte("y"))},
		"control": {part(three, []byte("x\ty"), []byte{7}, []byte("y"))}, "columns": {part(three[:2], []byte("x"), []byte{7})},
		"more than one": {part(three), part(three)}} {
		_, err := AsLines(pool, bad)
		assert.ErrorContains(t, err, why)
	}
	lines := func(text string) []Part {
		p := Part{Data: pool.Chain()}
		p.Data.WriteString(text)
		return []Part{p}
	}
	_, err = AsValues(pool, lines("a\t\xff\tc\n"))
	assert.ErrorContains(t, err, "UTF-8")
	out, err = AsValues(pool, lines("a\t\tc\nd\te\tf\n"))
	require.NoError(t, err)
	assert.Equal(t, 2, out[0].Count)
	Release(out)
	assert.Zero(t, pool.InUse())
}
