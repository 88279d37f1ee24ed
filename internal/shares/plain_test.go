package shares

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A second process under one router's name uses that router's part once more: all together must stay within the whole.
func TestAllRoutersAndASecondProcessOfOneStayWithinTheWhole(t *testing.T) {
	for _, routers := range []int{1, 2, 4, 15, 16, 17, 300} {
		fixed := Fixed{Whole: 4, Window: 1, Routers: float64(routers), Sharers: 16, Began: 0}
		to, sum, largest := Start{Engine: 7, At: 50, Cores: 2}, 0.0, 0.0
		for index := range routers {
			fixed.Index = index
			plain, used := NewPlain(fixed), 0.0
			for plain.Room(100, to, 0.01) {
				plain.Spend(100, to, 0.01)
				used += 0.01
			}
			sum, largest = sum+used, max(largest, used)
		}
		assert.LessOrEqual(t, sum+largest, fixed.Whole*to.Cores+1e-9, "%d routers", routers)
		assert.Greater(t, sum, fixed.Whole*to.Cores*0.45, "%d routers", routers)
	}
}
