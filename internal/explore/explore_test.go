package explore

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A part of what the command explores.
func TestNoEventOrderExceedsTheTotal(t *testing.T) {
	for _, w := range Worlds() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			f := Explore(w.New, 30, 4000)
			require.Empty(t, f.Violation, DescribeTrace(w.New, f.Trace, DescribeEvent))
			assert.Greater(t, f.States, 2000)
			walked := RandomWalks(w.New, 1, 100, 300)
			require.Empty(t, walked.Violation, DescribeTrace(w.New, walked.Trace, DescribeEvent))
			t.Logf("%d states, %d events tried, all to a depth of %d", f.States, f.Steps, f.Depth)
		})
	}
}

// A whole that is larger by less than a use takes is one that two uses pass: what is looked at is seen.
func TestExceededTotalIsFound(t *testing.T) {
	s := Worlds()[0].SharesConfig
	f := Explore(func() World {
		w := s.New().(*sharesWorld)
		w.Total = 1.5 // the machines go by 2
		return w
	}, 30, 8000)
	require.NotEmpty(t, f.Violation)
	assert.Contains(t, DescribeTrace(s.New, f.Trace, DescribeEvent), "uses a unit")
	t.Log(DescribeTrace(s.New, f.Trace, DescribeEvent))
}
