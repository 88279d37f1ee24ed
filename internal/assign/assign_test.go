package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pitchfield/internal/traffic"
)

func TestACommentWinsOverRulesAndRulesOverTheDefault(t *testing.T) {
	r := &Rules{Groups: map[string]bool{"lookup": true, "report": true, "upload": true}, Default: &Terms{Group: "report"},
		List: []Rule{{Login: "etl*", Form: []string{"insert"}, Terms: Terms{Group: "upload", Key: "{login}/{database}", Limit: 9}},
			{Application: "*grid", Terms: Terms{Group: "lookup", Cost: 0.1}}}}
	of := func(a About, text string) traffic.Batch {
		var b traffic.Batch
		assert.NoError(t, r.Assign(a, text, &b))
		return b
	}
	assert.Equal(t, "report", of(About{Login: "ann", Form: "select"}, "SELECT 1").Group)
	assert.Equal(t, "lookup", of(About{Application: "House GRID"}, "SELECT 1").Group)
	a, b := of(About{Login: "etl7", Database: "x", Form: "INSERT"}, ""), of(About{Login: "etl7", Database: "y", Form: "insert"}, "")
	assert.Equal(t, []any{"upload", 9.0}, []any{a.Group, a.TimeLeft})
	assert.NotEqual(t, a.OrderKey, b.OrderKey)
	told := of(About{Login: "etl7", Form: "insert"},
		" /* pitchfield group=lookup, key=k mark=00000000000000000000000000000001 limit=1500ms cost=2s memory=1GB client=c */ INSERT 1")
	told.OrderKey = 0
	assert.Equal(t, traffic.Batch{Group: "lookup", IdempotencyKey: "00000000000000000000000000000001", TimeLeft: 1.5, Cost: 2, Memory: 1024, Client: "c"}, told)
}

func TestWhatIsWrongInACommentIsToldAndNothingIsSent(t *testing.T) {
	r := &Rules{Groups: map[string]bool{"report": true}}
	for text, why := range map[string]string{"SELECT 1": "no rule", "/* pitchfield group=x */": "service group", "/* pitchfield": "does not end",
		"/* pitchfield grop=report */": "grop", "/* pitchfield group=report limit=5 */": "unit", "/* pitchfield group=report limit=-1s */": "above 0",
		"/* pitchfield group=report mark=7 */": "hex", "/* pitchfield group=report memory=NaNMB */": "size", "/* pitchfield group=report limit=1e300h */": "time",
		"/* pitchfield group=report group=report */": "twice", "/* pitchfield group */": "name=value", "/* their group=report */": "no rule"} {
		var b traffic.Batch
		assert.ErrorContains(t, r.Assign(About{}, text, &b), why, text)
	}
}
