package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pitchfield/internal/traffic"
)

func TestCommentOverridesRulesAndRulesOverrideDefault(t *testing.T) {
	r := &Rules{KnownGroups: map[string]bool{"lookup": true, "report": true, "upload": true}, Default: &BatchProperties{Group: "report"},
		List: []Rule{{Login: "etl*", Commands: []string{"insert"}, BatchProperties: BatchProperties{Group: "upload", Key: "{login}/{database}", Limit: 9}},
			{Application: "*grid", BatchProperties: BatchProperties{Group: "lookup", Cost: 0.1}}}}
	of := func(a StatementInfo, text string) traffic.Batch {
		var b traffic.Batch
		assert.NoError(t, r.Assign(a, text, &b))
		return b
	}
	assert.Equal(t, "report", of(StatementInfo{Login: "ann", Command: "select"}, "SELECT 1").Group)
	assert.Equal(t, "lookup", of(StatementInfo{Application: "House GRID"}, "SELECT 1").Group)
	a, b := of(StatementInfo{Login: "etl7", Database: "x", Command: "INSERT"}, ""), of(StatementInfo{Login: "etl7", Database: "y", Command: "insert"}, "")
	assert.Equal(t, []any{"upload", 9.0}, []any{a.Group, a.TimeLeft})
	assert.NotEqual(t, a.OrderKey, b.OrderKey)
	told := of(StatementInfo{Login: "etl7", Command: "insert"},
		" /* pitchfield group=lookup, key=k mark=00000000000000000000000000000001 limit=1500ms cost=2s memory=1GB client=c */ INSERT 1")
	told.OrderKey = 0
	assert.Equal(t, traffic.Batch{Group: "lookup", IdempotencyKey: "00000000000000000000000000000001", TimeLeft: 1.5, Cost: 2, Memory: 1024, Client: "c"}, told)
}

func TestInvalidCommentIsRejected(t *testing.T) {
	r := &Rules{KnownGroups: map[string]bool{"report": true}}
	for text, why := range map[string]string{"SELECT 1": "no rule", "/* pitchfield group=x */": "service group", "/* pitchfield": "does not end",
		"/* pitchfield grop=report */": "grop", "/* pitchfield group=report limit=5 */": "unit", "/* pitchfield group=report limit=-1s */": "above 0",
		"/* pitchfield group=report mark=7 */": "hex", "/* pitchfield group=report memory=NaNMB */": "size", "/* pitchfield group=report limit=1e300h */": "time",
		"/* pitchfield group=report group=report */": "twice", "/* pitchfield group */": "name=value", "/* their group=report */": "no rule"} {
		var b traffic.Batch
		assert.ErrorContains(t, r.Assign(StatementInfo{}, text, &b), why, text)
	}
}
