package limits

// AdaptiveLimit limits how many dispatches this router has in flight at one engine, and learns the limit from how they end
// there. It is an upper limit only: below it, routing decides as it does without one.
type AdaptiveLimit interface {
	// Limit returns how many dispatches may be in flight.
	Limit() float64
	// Observe takes in a dispatch that has ended.
	Observe(Sample)
}

// Sample describes a dispatch that has ended, as its router saw it.
type Sample struct {
	Now      float64 // time of the end, in seconds
	Elapsed  float64 // seconds from dispatch to end
	Unloaded float64 // seconds that it needs on an otherwise idle engine, by its work if that was reported, else estimated
	InFlight int     // dispatches in flight at that engine, including this one
	Failed   bool    // no answer in time, rejected, connection broken, or answered with an error
}

// AdaptiveKinds maps the names of the algorithms in settings to their constructors. docs/limits.md tells how a gradient
// algorithm and one with a target for queueing time compared with them.
var AdaptiveKinds = map[string]func(AdaptiveSettings) AdaptiveLimit{
	"fixed": func(s AdaptiveSettings) AdaptiveLimit { return fixedLimit(s.withDefaults().Initial) },
	"aimd": func(s AdaptiveSettings) AdaptiveLimit {
		return &aimd{settings: s.withDefaults(), limit: s.withDefaults().Initial}
	},
}

// AdaptiveSettings configure an adaptive limit of any kind. A number that is 0 stands for its default.
type AdaptiveSettings struct {
	Kind              string  // a key of AdaptiveKinds; empty: no adaptive limit
	Min, Max, Initial float64 // dispatches in flight
	MaxSlowdown       float64 // the engine counts as overloaded if a dispatch takes more than this times its unloaded time
}

func (s AdaptiveSettings) withDefaults() AdaptiveSettings {
	set := func(v *float64, byDefault float64) {
		if *v == 0 {
			*v = byDefault
		}
	}
	set(&s.Min, 1)
	set(&s.Max, 256)
	set(&s.Initial, min(max(8, s.Min), s.Max))
	set(&s.MaxSlowdown, 3)
	return s
}

// New makes the limit for one engine; nil if Kind is empty.
func (s AdaptiveSettings) New() AdaptiveLimit {
	if s.Kind == "" {
		return nil
	}
	return AdaptiveKinds[s.Kind](s)
}

func (s *AdaptiveSettings) clamp(v float64) float64 { return min(max(v, s.Min), s.Max) }

// slowdown is the elapsed time as a multiple of the unloaded time. An unloaded time below a millisecond counts as one, since
// the ratio says nothing for dispatches that short.
func (s Sample) slowdown() float64 { return s.Elapsed / max(s.Unloaded, 1e-3) }

// fixedLimit never changes. It is the baseline for the other kinds, and serves engines whose capacity is known.
type fixedLimit float64

func (f fixedLimit) Limit() float64 { return float64(f) }
func (fixedLimit) Observe(Sample)   {}

// aimd is additive increase, multiplicative decrease (Chiu and Jain, 1989). It adds one for each limit's worth of dispatches
// that end well, and takes a tenth off at most once in the time that a dispatch takes. It rises only while the limit is in
// use: otherwise it would grow during an idle hour until it limited nothing.
type aimd struct {
	settings       AdaptiveSettings
	limit          float64
	nextDecreaseAt float64 // in seconds; until then the dispatches that end were sent before the last decrease
}

const (
	decreaseFactor = 0.9
	minUtilization = 0.5 // fraction of the limit that has to be in flight for the limit to rise
)

func (a *aimd) Limit() float64 { return a.limit }

func (a *aimd) Observe(s Sample) {
	switch overloaded := s.Failed || s.slowdown() > a.settings.MaxSlowdown; {
	case overloaded && s.Now >= a.nextDecreaseAt:
		a.limit, a.nextDecreaseAt = a.settings.clamp(a.limit*decreaseFactor), s.Now+max(s.Elapsed, 1e-3)
	case !overloaded && float64(s.InFlight) >= minUtilization*a.limit:
		a.limit = a.settings.clamp(a.limit + 1/a.limit)
	}
}
