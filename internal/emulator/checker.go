package emulator

import (
	"fmt"

	"pitchfield/internal/directory"
)

// checker holds routers to the seven rules by what happens at clients, engines and the name service. It reads nothing
// of a router's own books.
type checker struct {
	sim     *sim
	broken  map[int]int // breaks of a rule
	first   []string    // the first of each
	sentTo  map[string]int
	ran     map[string]float64  // once-only batches by id, referenced ones by mark: when they first began
	doubt   map[lane]doubt      // what of a key may still run somewhere, or rests
	lanes   map[lane][]*batch   // those of a key that a router has taken, in order
	known   map[*node]seen      // what it was told of the list
	takes   map[*node][]float64 // when it took batches, and
	further map[*node][]float64 // sent them again
}

const dialTime = 0.25

type lane struct {
	node *node
	life int
	key  string
}

type doubt struct {
	running int
	restTo  float64
	by      *batch // that may go again meanwhile
}

type seen struct {
	at    map[string]float64 // since when an engine is not to be sent to, as the router was told
	first float64
}

func newChecker(s *sim) *checker {
	return &checker{sim: s, broken: map[int]int{}, sentTo: map[string]int{}, ran: map[string]float64{}, doubt: map[lane]doubt{},
		lanes: map[lane][]*batch{}, known: map[*node]seen{}, takes: map[*node][]float64{}, further: map[*node][]float64{}}
}

func (c *checker) breaks(rule int, format string, args ...any) {
	if c.broken[rule]++; c.broken[rule] == 1 {
		c.first = append(c.first, fmt.Sprintf("rule %d at %.3f s: %s", rule, c.sim.now-epoch, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) restarted(n *node) {
	delete(c.known, n)
	delete(c.takes, n)
	delete(c.further, n)
}

func (b *batch) lane() lane { return lane{b.node, b.node.life, b.key} }

// took: a running router has a batch.
func (c *checker) took(n *node, b *batch) {
	c.takes[n] = append(c.takes[n], c.sim.now)
	c.sim.result.at(c.sim.now).Came++
	if b.key != "" {
		c.lanes[b.lane()] = append(c.lanes[b.lane()], b)
	}
}

// told: a router gives a final answer to a batch that it has, or to none.
func (c *checker) told(n *node, stream uint32, b *batch) {
	if b == nil {
		if n.stream >= stream { // of a client that has left, or a second one
			c.breaks(1, "a second final answer on stream %d of n%d, or one to nobody", stream, n.index+1)
		}
		return
	}
	b.answers++
	c.left(b)
}

func (c *checker) answered(b *batch) {
	if b.answers > 1 {
		c.breaks(1, "%d final answers to %s", b.answers, b.id)
	}
}

// gone: the time of a client is over and it has no answer. One that is on its way counts as too late.
func (c *checker) gone(b *batch) {
	c.breaks(1, "%s (%s) has no final answer at its time limit", b.id, b.group.Name)
	c.left(b)
}

// left takes a batch out of its key's line.
func (c *checker) left(b *batch) {
	if b.key == "" {
		return
	}
	l := b.lane()
	for i, other := range c.lanes[l] {
		if other == b {
			c.lanes[l] = append(c.lanes[l][:i:i], c.lanes[l][i+1:]...)
			break
		}
	}
	if len(c.lanes[l]) == 0 {
		delete(c.lanes, l)
	}
}

// listed: a router was told a list.
func (c *checker) listed(n *node, list directory.List) {
	k := c.known[n]
	if k.at == nil {
		k = seen{at: map[string]float64{}, first: c.sim.now}
	}
	there := map[string]bool{}
	for _, e := range list.Engines {
		there[e.ID] = !e.Draining
	}
	for _, e := range c.sim.engines {
		if there[e.name] {
			delete(k.at, e.name)
		} else if _, since := k.at[e.name]; !since {
			k.at[e.name] = c.sim.now
		}
	}
	c.known[n] = k
}

// sent: a router writes a dispatch to an engine.
func (c *checker) sent(n *node, e *engine, b *batch) {
	now, r := c.sim.now, c.sim.world.Rules
	if c.sentTo[b.id]++; c.sentTo[b.id] > r.Dispatches {
		c.breaks(2, "dispatch %d of %s", c.sentTo[b.id], b.id)
	}
	if at, since := c.known[n].at[e.name]; since && now > at+r.Grace {
		c.breaks(3, "%s sent to %s, %.3f s after n%d was told that it drains or is gone", b.id, e.name, now-at, n.index+1)
	}
	if len(b.group.Kinds) > 0 {
		allowed := false
		for _, k := range b.group.Kinds {
			allowed = allowed || k == e.kind
		}
		if !allowed {
			c.breaks(6, "%s (%s) sent to %s, of another kind", b.id, b.group.Name, e.name)
		}
	}
	if c.sentTo[b.id] > 1 && (r.Free > 0 || r.Further > 0) {
		count := func(list []float64, window float64) (n int) {
			for _, at := range list {
				if at > now-window {
					n++
				}
			}
			return n
		}
		c.further[n] = append(c.further[n], now)
		// Any of them may have been decided as long ago as a connection takes to come up.
		if got, may := float64(count(c.further[n], r.Window-dialTime)), r.Free+r.Further*float64(count(c.takes[n], r.Window+dialTime)); got > may+1e-9 {
			c.breaks(7, "n%d has sent %.0f further dispatches in %g s, and may %.1f", n.index+1, got, r.Window, may)
		}
	}
}

// ranLately tells an engine whether it, or another, remembers the mark.
func (c *checker) ranLately(b *batch) bool {
	at, ran := c.ran[b.mark]
	return ran && c.sim.now < at+b.group.Window
}

// began: an engine begins a batch.
func (c *checker) began(r *run, e *engine) {
	b, now := r.batch, c.sim.now
	switch b.group.Effect {
	case "once-only":
		if _, again := c.ran[b.id]; again {
			c.breaks(2, "once-only %s runs again, on %s", b.id, e.name)
		}
		c.ran[b.id] = now
	case "referenced":
		if at, again := c.ran[b.mark]; again && !r.copyOf {
			c.breaks(2, "referenced %s runs again on %s, %.3f s after its first run began", b.id, e.name, now-at)
		}
		if !r.copyOf {
			c.ran[b.mark] = now
		}
	}
	if b.key == "" || r.copyOf {
		return
	}
	l := b.lane()
	if d := c.doubt[l]; d.running > 0 {
		c.breaks(5, "%s begins while another of key %s runs", b.id, b.key)
	} else if now < d.restTo && d.by != b {
		c.breaks(5, "%s begins while key %s rests for another %.3f s", b.id, b.key, d.restTo-now)
	}
	if line := c.lanes[l]; len(line) > 0 && line[0] != b && !b.over {
		c.breaks(5, "%s begins before %s, which was taken before it", b.id, line[0].id)
	}
	d := c.doubt[l]
	d.running++
	c.doubt[l] = d
}

// ended: a batch was run to its end.
func (c *checker) ended(r *run) { c.calm(r, 0) }

// stopped: it was given up, or its engine died. Its key rests from the time on at which the router did so, a way before.
func (c *checker) stopped(r *run) { c.calm(r, c.sim.world.Rules.Settle-4*c.sim.world.Net) }

func (c *checker) calm(r *run, rest float64) {
	if r.batch.key == "" || r.copyOf {
		return
	}
	l := r.batch.lane()
	d := c.doubt[l]
	d.running--
	if rest > 0 {
		d.restTo, d.by = c.sim.now+rest, r.batch
	}
	if d.running <= 0 && d.restTo <= c.sim.now {
		delete(c.doubt, l)
		return
	}
	c.doubt[l] = d
}

func (c *checker) fell(e *engine, sent, bears float64) {
	c.breaks(4, "%s falls over %.3f s after its start: %.2f s of work came within %g s, and it bears %.2f, of %d pieces, the last %.2f", e.name,
		c.sim.now-e.started, sent, c.sim.world.Rules.Fall, bears, len(e.lately), e.lately[len(e.lately)-1].work)
}

// finish looks for what was never answered.
func (c *checker) finish() {
	for _, b := range c.sim.batches {
		if !b.over && b.limitAt < c.sim.now {
			c.breaks(1, "%s was never answered", b.id)
		}
	}
}
