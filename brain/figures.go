package brain

import (
	"math"
	"slices"

	"pitchfield/internal/limits"
)

// Figures that decisions rest on; nothing is decided here.

func (h *histogram) add(ratio float64) {
	bin := int(math.Ceil(2*math.Log2(max(ratio, 0.1)))) + 1
	h.bins[min(max(bin, 0), len(h.bins)-1)]++
	if h.total++; h.total >= 256 {
		h.total /= 2
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// quantile gives the upper edge of the bin that holds the share; unless enough was seen, the usual one.
func (h *histogram) quantile(share, usual float64) float64 {
	if h.total < 16 {
		return usual
	}
	sum := 0.0
	for i, n := range h.bins {
		if sum += n; sum >= share*h.total {
			return math.Pow(2, float64(i-1)/2)
		}
	}
	return usual
}

// countSharing counts dispatches out at an engine that count against the same bound as a batch's route.
func (e *Engine) countSharing(b *Batch) (n int) {
	for _, d := range e.inFlight {
		if b.Route.SharesLimitWith(d.batch.Route) {
			n++
		}
	}
	return n
}

// isZero: no level of reduced service holds.
func (l *ReducedService) isZero() bool {
	return l.KeepShare == nil && l.MinUtilityPerSecond == 0 && l.MaxRetries == 0 && l.ProbeShare == 0 && l.GiveUpFactor == 0
}

// sample is what an adaptive limit is told of a dispatch that has ended.
func (d *dispatch) sample(now, took, work float64) limits.Sample {
	alone := d.batch.timeAlone
	if work > 0 {
		alone = work / d.batch.Group.Threads
	}
	bad := d.outcome == TimedOut || d.outcome == ConnectionLost || d.outcome == Rejected || d.outcome == Errored || d.outcome == ConnectFailed
	return limits.Sample{Now: now, Elapsed: took, Unloaded: alone, InFlight: len(d.engine.inFlight) + 1, Failed: bad}
}

func (a resources) add(b resources, times float64) resources {
	return resources{a.batches + times*b.batches, a.threads + times*b.threads, a.memory + times*b.memory}
}

func (a resources) perEngine(e *Engine) resources {
	return resources{a.batches, a.threads / e.cores, a.memory / max(e.memory, 1)}
}

func clampNonNegative(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, most)
}

func without[T comparable](list []T, one T) []T {
	return slices.DeleteFunc(list, func(t T) bool { return t == one })
}

func sanitize(rep Report) Report {
	for _, v := range []*float64{&rep.InFlight, &rep.Waiting, &rep.CPU, &rep.Memory, &rep.Disks} {
		if *v = min(*v, 1e4); !(*v >= 0) {
			*v = -1
		}
	}
	return rep
}

// randomFloat gives the next number below 1 of the router's own chance.
func (r *Router) randomFloat() float64 {
	r.randomState = 4294957665*(r.randomState&0xffffffff) + r.randomState>>32
	return float64(r.randomState&0xffffffff) / (1 << 32)
}
