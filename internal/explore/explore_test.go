package explore

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// No order of events lets the routers exceed the total. It explores a part of what the command does, for its run time.
func TestNoEventOrderExceedsTheTotal(t *testing.T) {
	for _, w := range Worlds() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			result := Explore(w.New, 30, 4000)
			require.Empty(t, result.Violation, DescribeTrace(w.New, result.Trace, DescribeEvent))
			assert.Greater(t, result.States, 2000)
			walks := RandomWalks(w.New, 1, 100, 300)
			require.Empty(t, walks.Violation, DescribeTrace(w.New, walks.Trace, DescribeEvent))
			t.Logf("%d states, %d events tried, every order up to a depth of %d", result.States, result.Steps, result.Depth)
		})
	}
}

// The invariant is really checked: if it is checked with a total of 1.5 while the machines share out 2, two uses of one unit violate it.
func TestExceededTotalIsFound(t *testing.T) {
	s := Worlds()[0].SharesConfig
	result := Explore(func() World {
		w := s.New().(*sharesWorld)
		w.Total = 1.5 // the machines have a total of 2
		return w
	}, 30, 8000)
	require.NotEmpty(t, result.Violation)
	assert.Contains(t, DescribeTrace(s.New, result.Trace, DescribeEvent), "uses a unit")
	t.Log(DescribeTrace(s.New, result.Trace, DescribeEvent))
}
