package emulator

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Many routers that tell each other what is out waste less of what their engines can do than those that only see their own.
func TestLoadReportsImproveService(t *testing.T) {
	w := newTestWorld(30, 8, 0.9)
	service := map[float64]float64{}
	for _, load := range []float64{0, 0.1} {
		for seed := range uint64(2) {
			r := play(t, w, Options{Seed: seed + 1, PeerMessaging: true, LoadReportInterval: load}, Fault{Kind: "restart", At: 20, Share: 0.5})
			assert.Empty(t, r.Violations)
			service[load] += r.Service / 2
		}
	}
	t.Log("service without and with what is out:", service)
	assert.Greater(t, service[0.1], service[0]+0.02)
}

func TestDayWithLoadReportsIsDeterministic(t *testing.T) {
	var one, two bytes.Buffer
	a := play(t, newTestWorld(6, 6, 0.9), Options{Seed: 3, LoadReportInterval: 0.1, Log: &one}, Fault{Kind: "restart", At: 12, Share: 0.3})
	b := play(t, newTestWorld(6, 6, 0.9), Options{Seed: 3, LoadReportInterval: 0.1, Log: &two}, Fault{Kind: "restart", At: 12, Share: 0.3})
	require.Equal(t, one.String(), two.String())
	assert.Equal(t, a.Digest, b.Digest)
}
