package shares

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A second process under one router's name uses that router's part once more: all together must stay within the whole.
func TestFixedSharesWithDuplicateProcessStayWithinTotal(t *testing.T) {
	for _, routers := range []int{1, 2, 4, 15, 16, 17, 300} {
		fixed := FixedConfig{Total: 4, Window: 1, Routers: float64(routers), MaxHolders: 16, StartedAt: 0}
		to, sum, largest := EngineStart{Engine: 7, StartedAt: 50, Cores: 2}, 0.0, 0.0
		for index := range routers {
			fixed.Index = index
			plain, used := NewFixedDivision(fixed), 0.0
			for plain.CanSpend(100, to, 0.01) {
				plain.Spend(100, to, 0.01)
				used += 0.01
			}
			sum, largest = sum+used, max(largest, used)
		}
		assert.LessOrEqual(t, sum+largest, fixed.Total*to.Cores+1e-9, "%d routers", routers)
		assert.Greater(t, sum, fixed.Total*to.Cores*0.45, "%d routers", routers)
	}
}
