package limits

// AdaptiveLimit is a bound on what this router has out at one engine, learned from how dispatches end there. It only bounds: the
// ordinary path decides below it.
type AdaptiveLimit interface {
	// Limit is how many may be out.
	Limit() float64
	// Ended tells of one that has ended.
	Observe(Sample)
}

// Sample is what a router sees of a dispatch that has ended.
type Sample struct {
	Now      float64 // seconds
	Elapsed  float64 // seconds from dispatch to end
	Unloaded float64 // seconds that it needs with an engine to itself, by its work if that was told, else as estimated
	InFlight int     // dispatches out at that engine, with this one
	Failed   bool    // no answer in time, turned away, broken or errored
}

// AdaptiveKinds are the names in settings, and how each is made. docs/limits.md has what a gradient and a target of the
// queue's time did beside them.
var AdaptiveKinds = map[string]func(AdaptiveSettings) AdaptiveLimit{
	"fixed": func(s AdaptiveSettings) AdaptiveLimit { return fixedLimit(s.withDefaults().Initial) },
	"aimd": func(s AdaptiveSettings) AdaptiveLimit {
		return &aimd{settings: s.withDefaults(), limit: s.withDefaults().Initial}
	},
}

// AdaptiveSettings are those of any kind; 0 is the usual value.
type AdaptiveSettings struct {
	Kind              string  // empty: none
	Min, Max, Initial float64 // dispatches out
	MaxSlowdown       float64 // times its time alone that a batch may take before the engine counts as full
}

func (s AdaptiveSettings) withDefaults() AdaptiveSettings {
	set := func(v *float64, usual float64) {
		if *v == 0 {
			*v = usual
		}
	}
	set(&s.Min, 1)
	set(&s.Max, 256)
	set(&s.Initial, min(max(8, s.Min), s.Max))
	set(&s.MaxSlowdown, 3)
	return s
}

// New makes one for one engine; nil: there is none.
func (s AdaptiveSettings) New() AdaptiveLimit {
	if s.Kind == "" {
		return nil
	}
	return AdaptiveKinds[s.Kind](s)
}

func (s *AdaptiveSettings) clamp(v float64) float64 { return min(max(v, s.Min), s.Max) }

// slowdown is how much longer it took than alone; what is over in no time tells of nothing.
func (s Sample) slowdown() float64 { return s.Elapsed / max(s.Unloaded, 1e-3) }

// fixedLimit learns nothing: the yardstick of the others, and for engines that are known well.
type fixedLimit float64

func (f fixedLimit) Limit() float64 { return float64(f) }
func (fixedLimit) Observe(Sample)   {}

// aimd adds one for each limit's worth of good ends, and takes a tenth off once for each time that dispatches take
// (additive increase, multiplicative decrease: Chiu and Jain, 1989). It rises only while it binds, or an idle hour would
// let it grow to a bound that bounds nothing.
type aimd struct {
	settings       AdaptiveSettings
	limit          float64
	nextDecreaseAt float64 // no further decrease until then: what was sent before the last one tells nothing new
}

const (
	decreaseFactor = 0.9
	minUtilization = 0.5 // share of the limit that has to be out for it to rise
)

func (a *aimd) Limit() float64 { return a.limit }

func (a *aimd) Observe(s Sample) {
	switch full := s.Failed || s.slowdown() > a.settings.MaxSlowdown; {
	case full && s.Now >= a.nextDecreaseAt:
		a.limit, a.nextDecreaseAt = a.settings.clamp(a.limit*decreaseFactor), s.Now+max(s.Elapsed, 1e-3)
	case !full && float64(s.InFlight) >= minUtilization*a.limit:
		a.limit = a.settings.clamp(a.limit + 1/a.limit)
	}
}
