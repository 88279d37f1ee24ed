package loop

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/router"
)

const (
	slowStepThreshold   = 50 * time.Millisecond // steps of the loop that take longer are logged
	delayReportInterval = 10 * time.Second      // least time between log lines with the longest delays
)

// delays holds the longest delays of the loop since they were last logged. They are used for the log only.
type delays struct {
	reading    time.Duration // reading of one message, before it is an event
	step       time.Duration // handling of one event, with all its effects
	order      time.Duration // from the start of an event to the writing of a request that it caused
	reportedAt time.Time
}

// recordStep records how long the handling of an event took. A long step means that the process was paused or
// overloaded; what peers sent meanwhile was not read.
func (l *Loop) recordStep(e router.Event, since time.Time) {
	took := time.Since(since)
	l.delays.step = max(l.delays.step, took)
	if took > slowStepThreshold {
		l.log.Warn("step of the loop took long", zap.String("event", fmt.Sprintf("%T", e)), zap.Duration("took", took),
			zap.Int("clients", len(l.clients)), zap.Int("engines", len(l.engines)))
	}
	if time.Since(l.delays.reportedAt) > delayReportInterval {
		l.log.Info("longest delays", zap.Duration("reading", l.delays.reading), zap.Duration("step", l.delays.step), zap.Duration("order", l.delays.order))
		l.logRequestCounts()
		l.delays = delays{reportedAt: time.Now()}
	}
}

// recordReading records how long a peer's message, which took this many received bytes, was read.
func (l *Loop) recordReading(p *peer, since time.Time, bytes int) {
	took := time.Since(since)
	l.delays.reading = max(l.delays.reading, took)
	if took > slowStepThreshold {
		l.log.Warn("message took long to read", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind),
			zap.Duration("took", took), zap.Int("bytes", bytes))
	}
}

// recordOrder records how long after the start of its event a request was written.
func (l *Loop) recordOrder(id string, since time.Time) {
	took := time.Since(since)
	l.delays.order = max(l.delays.order, took)
	if took > slowStepThreshold {
		l.log.Warn("request is written long after it was decided", zap.String("id", id), zap.Duration("took", took))
	}
}
