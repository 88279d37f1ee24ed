package emulator

import (
	"fmt"

	"pitchfield/internal/directory"
)

// checker holds routers to the seven rules by what happens at clients, engines and the name service. It reads nothing
// of a router's own books.
type checker struct {
	sim             *sim
	violations      map[int]int // breaks of a rule
	firstViolations []string    // the first of each
	dispatches      map[string]int
	firstRuns       map[string]float64     // once-only batches by id, referenced ones by mark: when they first began
	keyStates       map[keyID]keyState     // what of a key may still run somewhere, or rests
	keyQueues       map[keyID][]*batch     // those of a key that a router has taken, in order
	endpointViews   map[*node]endpointView // what it was told of the list
	acceptTimes     map[*node][]float64    // when it took batches, and
	retryTimes      map[*node][]float64    // sent them again
}

const dialTimeout = 0.25

type keyID struct {
	node       *node
	generation int
	key        string
}

type keyState struct {
	running       int
	settleUntil   float64
	settlingBatch *batch // that may go again meanwhile
}

type endpointView struct {
	unavailableSince map[string]float64 // since when an engine is not to be sent to, as the router was told
	firstListAt      float64
}

func newChecker(s *sim) *checker {
	return &checker{sim: s, violations: map[int]int{}, dispatches: map[string]int{}, firstRuns: map[string]float64{}, keyStates: map[keyID]keyState{},
		keyQueues: map[keyID][]*batch{}, endpointViews: map[*node]endpointView{}, acceptTimes: map[*node][]float64{}, retryTimes: map[*node][]float64{}}
}

func (c *checker) report(rule int, format string, args ...any) {
	if c.violations[rule]++; c.violations[rule] == 1 {
		c.firstViolations = append(c.firstViolations, fmt.Sprintf("rule %d at %.3f s: %s", rule, c.sim.now-epoch, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) routerRestarted(n *node) {
	delete(c.endpointViews, n)
	delete(c.acceptTimes, n)
	delete(c.retryTimes, n)
}

func (b *batch) keyID() keyID { return keyID{b.node, b.node.generation, b.key} }

// batchAccepted: a running router has a batch.
func (c *checker) batchAccepted(n *node, b *batch) {
	c.acceptTimes[n] = append(c.acceptTimes[n], c.sim.now)
	c.sim.result.secondAt(c.sim.now).Accepted++
	if b.key != "" {
		c.keyQueues[b.keyID()] = append(c.keyQueues[b.keyID()], b)
	}
}

// answerSent: a router gives a final answer to a batch that it has, or to none.
func (c *checker) answerSent(n *node, stream uint32, b *batch) {
	if b == nil {
		if n.stream >= stream { // of a client that has left, or a second one
			c.report(1, "a second final answer on stream %d of n%d, or one to nobody", stream, n.index+1)
		}
		return
	}
	b.answers++
	c.dequeue(b)
}

func (c *checker) answerDelivered(b *batch) {
	if b.answers > 1 {
		c.report(1, "%d final answers to %s", b.answers, b.id)
	}
}

// deadlinePassed: the time of a client is over and it has no answer. One that is on its way counts as too late.
func (c *checker) deadlinePassed(b *batch) {
	c.report(1, "%s (%s) has no final answer at its time limit", b.id, b.group.Name)
	c.dequeue(b)
}

// dequeue takes a batch out of its key's line.
func (c *checker) dequeue(b *batch) {
	if b.key == "" {
		return
	}
	l := b.keyID()
	for i, other := range c.keyQueues[l] {
		if other == b {
			c.keyQueues[l] = append(c.keyQueues[l][:i:i], c.keyQueues[l][i+1:]...)
			break
		}
	}
	if len(c.keyQueues[l]) == 0 {
		delete(c.keyQueues, l)
	}
}

// listReceived: a router was told a list.
func (c *checker) listReceived(n *node, list directory.List) {
	k := c.endpointViews[n]
	if k.unavailableSince == nil {
		k = endpointView{unavailableSince: map[string]float64{}, firstListAt: c.sim.now}
	}
	there := map[string]bool{}
	for _, e := range list.Engines {
		there[e.ID] = !e.Draining
	}
	for _, e := range c.sim.engines {
		if there[e.name] {
			delete(k.unavailableSince, e.name)
		} else if _, since := k.unavailableSince[e.name]; !since {
			k.unavailableSince[e.name] = c.sim.now
		}
	}
	c.endpointViews[n] = k
}

// dispatchSent: a router writes a dispatch to an engine.
func (c *checker) dispatchSent(n *node, e *engine, b *batch) {
	now, r := c.sim.now, c.sim.world.Rules
	if c.dispatches[b.id]++; c.dispatches[b.id] > r.MaxDispatches {
		c.report(2, "dispatch %d of %s", c.dispatches[b.id], b.id)
	}
	if at, since := c.endpointViews[n].unavailableSince[e.name]; since && now > at+r.ListGrace {
		c.report(3, "%s sent to %s, %.3f s after n%d was told that it drains or is gone", b.id, e.name, now-at, n.index+1)
	}
	if len(b.group.Kinds) > 0 {
		allowed := false
		for _, k := range b.group.Kinds {
			allowed = allowed || k == e.kind
		}
		if !allowed {
			c.report(6, "%s (%s) sent to %s, of another kind", b.id, b.group.Name, e.name)
		}
	}
	if c.dispatches[b.id] > 1 && (r.FreeRetries > 0 || r.RetryRatio > 0) {
		count := func(list []float64, window float64) (n int) {
			for _, at := range list {
				if at > now-window {
					n++
				}
			}
			return n
		}
		c.retryTimes[n] = append(c.retryTimes[n], now)
		// Any of them may have been decided as long ago as a connection takes to come up.
		if got, may := float64(count(c.retryTimes[n], r.RetryWindow-dialTimeout)), r.FreeRetries+r.RetryRatio*float64(count(c.acceptTimes[n], r.RetryWindow+dialTimeout)); got > may+1e-9 {
			c.report(7, "n%d has sent %.0f further dispatches in %g s, and may %.1f", n.index+1, got, r.RetryWindow, may)
		}
	}
}

// ranWithinWindow tells an engine whether it, or another, remembers the mark.
func (c *checker) ranWithinWindow(b *batch) bool {
	at, ran := c.firstRuns[b.dedupID]
	return ran && c.sim.now < at+b.group.DedupWindow
}

// runStarted: an engine begins a batch.
func (c *checker) runStarted(r *run, e *engine) {
	b, now := r.batch, c.sim.now
	switch b.group.Effect {
	case "once-only":
		if _, again := c.firstRuns[b.id]; again {
			c.report(2, "once-only %s runs again, on %s", b.id, e.name)
		}
		c.firstRuns[b.id] = now
	case "referenced":
		if at, again := c.firstRuns[b.dedupID]; again && !r.duplicate {
			c.report(2, "referenced %s runs again on %s, %.3f s after its first run began", b.id, e.name, now-at)
		}
		if !r.duplicate {
			c.firstRuns[b.dedupID] = now
		}
	}
	if b.key == "" || r.duplicate {
		return
	}
	l := b.keyID()
	if d := c.keyStates[l]; d.running > 0 {
		c.report(5, "%s begins while another of key %s runs", b.id, b.key)
	} else if now < d.settleUntil && d.settlingBatch != b {
		c.report(5, "%s begins while key %s rests for another %.3f s", b.id, b.key, d.settleUntil-now)
	}
	if line := c.keyQueues[l]; len(line) > 0 && line[0] != b && !b.closed {
		c.report(5, "%s begins before %s, which was taken before it", b.id, line[0].id)
	}
	d := c.keyStates[l]
	d.running++
	c.keyStates[l] = d
}

// runCompleted: a batch was run to its end.
func (c *checker) runCompleted(r *run) { c.runEnded(r, 0) }

// runCancelled: it was given up, or its engine died. Its key rests from the time on at which the router did so, a way before.
func (c *checker) runCancelled(r *run) {
	c.runEnded(r, c.sim.world.Rules.SettleTime-4*c.sim.world.NetworkLatency)
}

func (c *checker) runEnded(r *run, rest float64) {
	if r.batch.key == "" || r.duplicate {
		return
	}
	l := r.batch.keyID()
	d := c.keyStates[l]
	d.running--
	if rest > 0 {
		d.settleUntil, d.settlingBatch = c.sim.now+rest, r.batch
	}
	if d.running <= 0 && d.settleUntil <= c.sim.now {
		delete(c.keyStates, l)
		return
	}
	c.keyStates[l] = d
}

func (c *checker) engineOverloaded(e *engine, sent, bears float64) {
	c.report(4, "%s falls over %.3f s after its start: %.2f s of work came within %g s, and it bears %.2f, of %d pieces, the last %.2f", e.name,
		c.sim.now-e.startedAt, sent, c.sim.world.Rules.OverloadWindow, bears, len(e.recentLoad), e.recentLoad[len(e.recentLoad)-1].work)
}

// finish looks for what was never answered.
func (c *checker) finish() {
	for _, b := range c.sim.batches {
		if !b.closed && b.deadline < c.sim.now {
			c.report(1, "%s was never answered", b.id)
		}
	}
}
