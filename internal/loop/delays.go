package loop

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/router"
)

const (
	slowStepThreshold   = 50 * time.Millisecond // a step of the loop that takes so long is worth a line
	delayReportInterval = 10 * time.Second      // at most so often the log tells the longest delays
)

// delays holds the longest delays of the loop since they were last reported. It is for the log alone; the event loop
// is its only user.
type delays struct {
	step       time.Duration // handling of one event, with all its effects
	order      time.Duration // from the start of an event to the writing of a request that it decided
	reportedAt time.Time
}

// recordStep notes how long an event was handled. A long one means that this process stood still, or had too much to do;
// what other peers sent meanwhile was not read.
func (l *Loop) recordStep(e router.Event, since time.Time) {
	took := time.Since(since)
	l.delays.step = max(l.delays.step, took)
	if took > slowStepThreshold {
		l.log.Warn("step of the loop took long", zap.String("event", fmt.Sprintf("%T", e)), zap.Duration("took", took),
			zap.Int("clients", len(l.clients)), zap.Int("engines", len(l.engines)))
	}
	if time.Since(l.delays.reportedAt) > delayReportInterval {
		l.log.Info("longest delays", zap.Duration("step", l.delays.step), zap.Duration("order", l.delays.order))
		l.logRequestCounts()
		l.delays = delays{reportedAt: time.Now()}
	}
}

// recordOrder notes how long after the start of its event a request is written.
func (l *Loop) recordOrder(id string, since time.Time) {
	took := time.Since(since)
	l.delays.order = max(l.delays.order, took)
	if took > slowStepThreshold {
		l.log.Warn("request is written long after it was decided", zap.String("id", id), zap.Duration("took", took))
	}
}
