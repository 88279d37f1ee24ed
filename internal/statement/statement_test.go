package statement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzDataSet(f *testing.F) {
	f.Add("SELECT a -- b\n/* c /* d */ 'e' \"f\" [g] FROM h_1.i")
	f.Fuzz(func(t *testing.T, text string) {
		assert.GreaterOrEqual(t, DataSet(strings.NewReader(text)), NoDataSet)
	})
}

func TestDataSet(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT day, count(*) FROM sales_17.orders WHERE tag = 'x' GROUP BY day":            17,
		"select a.id, 'from lake_0.decoy' as note\n from mart_5.visits a where a.tag = 'x'": 5,
		"SELECT id -- was: from mart_1.old\nFROM mart_6.stock LIMIT 500":                    6,
		"SELECT id /* from mart_1.old /* nested_2.x */ b_3.c */ FROM ops_4.stock":           4,
		"WITH w AS (SELECT * FROM ops_0.events) SELECT id FROM w GROUP BY id":               0,
		"INSERT INTO lake_9.stock SELECT * FROM staging.batch":                              9,
		"INSERT INTO lake_9.stock SELECT * FROM staging_2.batch":                            9,
		"merge into lake_2.lines d using staging.delta s on d.id = s.id":                    2,
		"INSERT INTO out SELECT * FROM staging.x JOIN Sales_12 . y ON 1=1":                  12,
		`SELECT "lake_1.x", 'it''s from a_2.b' FROM "core_3"."t"`:                           3,
		"SELECT x FROM `raw_8`.`t`":                                                         8,
		"SELECT x FROM [raw_8].[t]":                                                         8,
		"UPDATE web_7.t SET a = 1":                                                          7,
		"SELECT t_1.a FROM fin_6.t t_1":                                                     6,
		"SELECT a FROM warehouse.fin_6.t":                                                   6,
		"SELECT deep_name_31.a":                                                             31,
		"SELECT 1.5, 2_3.4 FROM x_y.z":                                                      NoDataSet,
		"SELECT 'open string from a_1.b":                                                    NoDataSet,
		"SELECT 1 /* open from a_1.b":                                                       NoDataSet,
		"SELECT a_99999999999999999999.b":                                                   NoDataSet,
		"":                                                                                  NoDataSet,
	} {
		assert.Equal(t, want, DataSet(strings.NewReader(text)), text)
	}
}

// Each word of a statement took an allocation on the event loop: 15 ms for a statement of 256 KB in words of one character.
func TestDataSetAllocatesNothingForWords(t *testing.T) {
	for _, part := range []string{"x ", "from ", "a_1 . ", "[q] ", "'s'", "17 "} {
		text := strings.Repeat(part, 1000)
		allocations := testing.AllocsPerRun(10, func() { DataSet(strings.NewReader(text)) })
		assert.LessOrEqual(t, allocations, 2.0, part)
	}
}
