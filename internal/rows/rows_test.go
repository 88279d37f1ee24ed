package rows

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/buffers"
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
