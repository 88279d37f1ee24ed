package emulator

import (
	"fmt"

	"pitchfield/internal/directory"
)

// checker verifies the seven rules for routers from the messages at clients, engines and the name service:
//
//  1. a batch gets exactly one final answer, before its time limit;
//  2. a batch is dispatched at most Rules.MaxDispatches times, and once-only or referenced batches run once;
//  3. an engine that drains or is gone gets no dispatches;
//  4. a cold engine is not overloaded;
//  5. batches of a key run one at a time and in order;
//  6. a batch goes only to engines of the kinds that its group allows;
//  7. retries stay within their budget.
//
// It reads nothing of a router's own state.
type checker struct {
	sim             *sim
	violations      map[int]int            // number of violations by rule
	firstViolations []string               // text of the first violation of each rule
	dispatches      map[string]int         // by batch id
	firstRuns       map[string]float64     // time of the first run, of once-only batches by id and of referenced ones by deduplication id
	keyStates       map[keyID]keyState     // keys with a batch that runs or settles
	keyQueues       map[keyID][]*batch     // open batches of a key that a router has accepted, in order
	endpointViews   map[*node]endpointView // what each router knows from the name service
	acceptTimes     map[*node][]float64    // when each router accepted batches
	retryTimes      map[*node][]float64    // when each router sent retries or hedges
}

// dialTimeout is the time that a router allows for opening a connection, in seconds.
const dialTimeout = 0.25

// keyID identifies a key within one run of a router.
type keyID struct {
	node       *node
	generation int
	key        string
}

// keyState tells what may keep the next batch of a key from starting.
type keyState struct {
	running       int     // runs that have not ended
	settleUntil   float64 // end of the settle time after a cancelled run
	settlingBatch *batch  // the batch that was cancelled; it may run again during the settle time
}

// endpointView is what a router knows of the engines from the lists that it received.
type endpointView struct {
	unavailableSince map[string]float64 // when the router first received a list that omits the engine or shows it as draining
	firstListAt      float64
}

func newChecker(s *sim) *checker {
	return &checker{sim: s, violations: map[int]int{}, dispatches: map[string]int{}, firstRuns: map[string]float64{}, keyStates: map[keyID]keyState{},
		keyQueues: map[keyID][]*batch{}, endpointViews: map[*node]endpointView{}, acceptTimes: map[*node][]float64{}, retryTimes: map[*node][]float64{}}
}

// report counts a violation of a rule and keeps the text of the first one.
func (c *checker) report(rule int, format string, args ...any) {
	if c.violations[rule]++; c.violations[rule] == 1 {
		c.firstViolations = append(c.firstViolations, fmt.Sprintf("rule %d at %.3f s: %s", rule, c.sim.now-epoch, fmt.Sprintf(format, args...)))
	}
}

// routerRestarted forgets what was recorded of a router that starts again.
func (c *checker) routerRestarted(n *node) {
	delete(c.endpointViews, n)
	delete(c.acceptTimes, n)
	delete(c.retryTimes, n)
}

func (b *batch) keyID() keyID { return keyID{b.node, b.node.generation, b.key} }

// batchAccepted records that a router has received a batch.
func (c *checker) batchAccepted(n *node, b *batch) {
	c.acceptTimes[n] = append(c.acceptTimes[n], c.sim.now)
	c.sim.result.secondAt(c.sim.now).Accepted++
	if b.key != "" {
		c.keyQueues[b.keyID()] = append(c.keyQueues[b.keyID()], b)
	}
}

// answerSent records a final answer of a router. The batch is nil if the router has no open batch on the stream.
func (c *checker) answerSent(n *node, stream uint32, b *batch) {
	if b == nil {
		if n.stream >= stream { // a second answer, or an answer to a batch that the client has cancelled
			c.report(1, "a second final answer on stream %d of n%d, or one for an unknown batch", stream, n.index+1)
		}
		return
	}
	b.answers++
	c.dequeue(b)
}

// answerDelivered checks the number of answers when one arrives at the client.
func (c *checker) answerDelivered(b *batch) {
	if b.answers > 1 {
		c.report(1, "%d final answers to %s", b.answers, b.id)
	}
}

// deadlinePassed reports a batch without an answer at its time limit. An answer that is still on its way is too late.
func (c *checker) deadlinePassed(b *batch) {
	c.report(1, "%s (%s) has no final answer at its time limit", b.id, b.group.Name)
	c.dequeue(b)
}

// dequeue removes a batch from the queue of its key.
func (c *checker) dequeue(b *batch) {
	if b.key == "" {
		return
	}
	id := b.keyID()
	for i, other := range c.keyQueues[id] {
		if other == b {
			c.keyQueues[id] = append(c.keyQueues[id][:i:i], c.keyQueues[id][i+1:]...)
			break
		}
	}
	if len(c.keyQueues[id]) == 0 {
		delete(c.keyQueues, id)
	}
}

// listReceived records a name service list that a router received.
func (c *checker) listReceived(n *node, list directory.List) {
	view := c.endpointViews[n]
	if view.unavailableSince == nil {
		view = endpointView{unavailableSince: map[string]float64{}, firstListAt: c.sim.now}
	}
	available := map[string]bool{}
	for _, e := range list.Engines {
		available[e.ID] = !e.Draining
	}
	for _, e := range c.sim.engines {
		if available[e.name] {
			delete(view.unavailableSince, e.name)
		} else if _, since := view.unavailableSince[e.name]; !since {
			view.unavailableSince[e.name] = c.sim.now
		}
	}
	c.endpointViews[n] = view
}

// dispatchSent checks rules 2, 3, 6 and 7 when a router sends a dispatch.
func (c *checker) dispatchSent(n *node, e *engine, b *batch) {
	now, rules := c.sim.now, c.sim.world.Rules
	if c.dispatches[b.id]++; c.dispatches[b.id] > rules.MaxDispatches {
		c.report(2, "dispatch %d of %s", c.dispatches[b.id], b.id)
	}
	if at, since := c.endpointViews[n].unavailableSince[e.name]; since && now > at+rules.ListGrace {
		c.report(3, "%s sent to %s, %.3f s after n%d learned that it drains or is gone", b.id, e.name, now-at, n.index+1)
	}
	if len(b.group.Kinds) > 0 {
		allowed := false
		for _, k := range b.group.Kinds {
			allowed = allowed || k == e.kind
		}
		if !allowed {
			c.report(6, "%s (%s) sent to %s, whose kind is not allowed", b.id, b.group.Name, e.name)
		}
	}
	if c.dispatches[b.id] > 1 && (rules.FreeRetries > 0 || rules.RetryRatio > 0) {
		count := func(list []float64, window float64) (n int) {
			for _, at := range list {
				if at > now-window {
					n++
				}
			}
			return n
		}
		c.retryTimes[n] = append(c.retryTimes[n], now)
		// A dispatch may wait for its connection after the router has decided on it, so the windows differ by the dial timeout.
		if retries, allowedRetries := float64(count(c.retryTimes[n], rules.RetryWindow-dialTimeout)), rules.FreeRetries+rules.RetryRatio*float64(count(c.acceptTimes[n], rules.RetryWindow+dialTimeout)); retries > allowedRetries+1e-9 {
			c.report(7, "n%d sent %.0f retries in %g s, the budget allows %.1f", n.index+1, retries, rules.RetryWindow, allowedRetries)
		}
	}
}

// ranWithinWindow reports whether a batch with the same deduplication id began on any engine within the deduplication window.
func (c *checker) ranWithinWindow(b *batch) bool {
	at, ran := c.firstRuns[b.dedupID]
	return ran && c.sim.now < at+b.group.DedupWindow
}

// runStarted checks rules 2 and 5 when an engine starts a batch.
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
	id := b.keyID()
	if d := c.keyStates[id]; d.running > 0 {
		c.report(5, "%s starts while another batch of key %s runs", b.id, b.key)
	} else if now < d.settleUntil && d.settlingBatch != b {
		c.report(5, "%s starts while key %s settles for another %.3f s", b.id, b.key, d.settleUntil-now)
	}
	if queue := c.keyQueues[id]; len(queue) > 0 && queue[0] != b && !b.closed {
		c.report(5, "%s begins before %s, which was taken before it", b.id, queue[0].id)
	}
	d := c.keyStates[id]
	d.running++
	c.keyStates[id] = d
}

// runCompleted records that an engine has run a batch to its end.
func (c *checker) runCompleted(r *run) { c.runEnded(r, 0) }

// runCancelled records that a run was cancelled or that its engine crashed. The settle time of its key starts when the router
// cancels, up to a few network latencies before the engine stops the run; hence the tolerance of four latencies.
func (c *checker) runCancelled(r *run) {
	c.runEnded(r, c.sim.world.Rules.SettleTime-4*c.sim.world.NetworkLatency)
}

// runEnded updates the state of a run's key; settleTime is how long the key settles from now on, in seconds.
func (c *checker) runEnded(r *run, settleTime float64) {
	if r.batch.key == "" || r.duplicate {
		return
	}
	id := r.batch.keyID()
	d := c.keyStates[id]
	d.running--
	if settleTime > 0 {
		d.settleUntil, d.settlingBatch = c.sim.now+settleTime, r.batch
	}
	if d.running <= 0 && d.settleUntil <= c.sim.now {
		delete(c.keyStates, id)
		return
	}
	c.keyStates[id] = d
}

// engineOverloaded reports a cold engine that received more work than its capacity; both are in seconds of work.
func (c *checker) engineOverloaded(e *engine, received, limit float64) {
	c.report(4, "%s is overloaded %.3f s after its start: %.2f s of work arrived within %g s, the limit is %.2f; %d batches, the last of %.2f s", e.name,
		c.sim.now-e.startedAt, received, c.sim.world.Rules.OverloadWindow, limit, len(e.recentLoad), e.recentLoad[len(e.recentLoad)-1].work)
}

// finish reports the batches that are past their deadline without an answer.
func (c *checker) finish() {
	for _, b := range c.sim.batches {
		if !b.closed && b.deadline < c.sim.now {
			c.report(1, "%s was never answered", b.id)
		}
	}
}
