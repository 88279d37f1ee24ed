package torture

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// midFramePause is longer than a router waits for the rest of a frame where nothing else is open.
const midFramePause = 2500 * time.Millisecond

// clientConnection is one connection of a client, with what it has open.
type clientConnection struct {
	*standin.Client
	number      int
	stream      uint32 // of the last batch; the client's own
	router      *router
	incarnation int
	retries     chan<- *Batch // of its client: what may be asked for once more
	mutex       sync.Mutex
	pending     map[uint32]*Batch // by stream; an answer, a leave or the end deletes
	batches     map[uint32]*Batch // of this connection, for a second answer; goes with it
	goingAway   bool
	ended       bool
	done        chan struct{}

	since   func() time.Duration
	history []string // the last that happened on it, its beginning first
}

// logf keeps the beginning and the end of what happened on a connection. The mutex is held.
func (l *clientConnection) logf(format string, args ...any) {
	const first, most = 3, 40
	if len(l.history) == most {
		l.history = append(append(l.history[:first:first], "..."), l.history[first+2:]...)
	}
	l.history = append(l.history, fmt.Sprintf("%.3f s ", l.since().Seconds())+fmt.Sprintf(format, args...))
}

// client keeps a connection, or before a fleet two, and asks on them until the play's time is over; now and then it takes
// others. Before a fleet it asks once more for what may be asked again, elsewhere if it can.
func (p *scenario) client(r *rand.Rand) {
	lines := make([]*clientConnection, min(p.Routers, 2))
	again := make(chan *Batch, maxQueuedRetries)
	for p.since() < p.Duration {
		i, before := r.IntN(len(lines)), (*Batch)(nil)
		select {
		case before = <-again:
			if l := lines[i]; l != nil && l.router.number == before.Router {
				i = len(lines) - 1 - i
			}
		default:
		}
		l := lines[i]
		if l == nil || !l.usable() || r.IntN(60) == 0 {
			if l != nil {
				p.retire(l)
			}
			if l = p.connect(r, again); l == nil {
				lines[i] = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			lines[i] = l
		}
		if !l.router.stopping.Load() || p.Soak {
			l.stream++
			p.sendBatch(l, l.stream, r, before)
		}
		time.Sleep(time.Duration(1+r.IntN(60)) * time.Millisecond)
	}
	var wait sync.WaitGroup
	for _, l := range lines {
		if l != nil {
			wait.Add(1)
			go func() {
				defer wait.Done()
				p.retire(l)
			}()
		}
	}
	wait.Wait()
}

const maxQueuedRetries = 64 // batches that a client means to ask for again; it forgets more

// queueRetry: another try can't do harm. After a pushback that is the router's promise; after the end of a connection nothing
// is known, and only what may run twice is asked for.
func (l *clientConnection) queueRetry(b *Batch, pushed bool) {
	if b.RetryOf != "" || b.Group == "upload" || b.Group == "once" && !pushed {
		return
	}
	select {
	case l.retries <- b:
	default:
	}
}

func (l *clientConnection) usable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (!l.goingAway || l.router.Soak) && !l.ended && len(l.pending) < 30
}

// connect takes a connection to some router that is there.
func (p *scenario) connect(chance *rand.Rand, again chan<- *Batch) *clientConnection {
	p.fleetMutex.Lock()
	all := p.allRouters()
	p.fleetMutex.Unlock()
	r := all[chance.IntN(len(all))]
	if r.stopping.Load() && !r.justStopped() || r.down.Load() {
		return nil
	}
	c, err := standin.Dial(r.address)
	if err != nil {
		return nil
	}
	life := r.startCount() - 1
	l := &clientConnection{Client: c, number: int(p.connectionCounter.Add(1)), router: r, incarnation: life, retries: again, pending: map[uint32]*Batch{}, batches: map[uint32]*Batch{},
		done: make(chan struct{}), since: p.since}
	p.mutex.Lock()
	p.connections = append(p.connections, l)
	p.mutex.Unlock()
	l.logf("opened, %s, start %d of %s", c.LocalAddr(), life, r.endpoint())
	go p.readAnswers(l)
	return l
}

// sendBatch writes one batch; what could not be written whole was never taken.
func (p *scenario) sendBatch(l *clientConnection, stream uint32, r *rand.Rand, before *Batch) {
	groups := []struct {
		name  string
		limit time.Duration
	}{{"lookup", 4 * time.Second}, {"lookup", 4 * time.Second}, {"report", 8 * time.Second}, {"upload", 6 * time.Second}, {"once", 4 * time.Second}}
	g := groups[r.IntN(len(groups))]
	n := p.batchCounter.Add(1)
	b := &Batch{ID: fmt.Sprintf("%08x%08x", uint32(p.Seed), n), Group: g.name, Rows: 1 + r.IntN(250), Connection: l.number, Router: l.router.number, Incarnation: l.incarnation, FirstOnConnection: stream == 1}
	if before != nil {
		b.RetryOf, b.Group, b.Rows, b.dataSet = before.ID, before.Group, before.Rows, before.dataSet
		g.name, g.limit = b.Group, before.Deadline-before.WriteBegan
	} else {
		b.dataSet = r.IntN(20)
	}
	fields := []string{"c", g.name, "i", b.ID, "d", strconv.Itoa(int(g.limit.Milliseconds()))}
	text := fmt.Sprintf("SELECT %d FROM sales_%d.orders", b.Rows, b.dataSet)
	if g.name == "upload" {
		b.Key = fmt.Sprintf("%016x", 1+r.IntN(6))
		fields = append(fields, "o", b.Key, "k", fmt.Sprintf("%032x", n))
		text += " --key=" + b.Key
	}
	// Clients tell the work, nearly right: a router that has just started can spend its part of a cold engine at once.
	work := p.action(standin.Run{ID: b.ID, Text: text}, 0).After.Seconds() * 1e3 * (0.8 + 0.4*r.Float64())
	fields = append(fields, "h", strconv.FormatFloat(work, 'f', 1, 64))
	b.fields, b.text = fields, text
	frame := standin.EncodeFrame(10, stream, fields, text)
	if r.IntN(150) == 0 { // this client's machine stands still within a frame
		l.Write(frame[:len(frame)/2]) //nolint:errcheck
		l.mutex.Lock()
		l.logf("half of the frame of %s written, %d open", b.ID, len(l.pending))
		l.mutex.Unlock()
		time.Sleep(midFramePause)
		frame = frame[len(frame)/2:]
	}
	// Known before it is written: its answer may come at once.
	l.mutex.Lock()
	if l.ended {
		l.mutex.Unlock()
		return
	}
	b.WriteBegan = p.since()
	b.Deadline = b.WriteBegan + g.limit
	l.pending[stream], l.batches[stream] = b, b
	l.logf("%s %s asked for", b.Group, b.ID)
	l.mutex.Unlock()
	if _, err := l.Write(frame); err != nil {
		l.mutex.Lock()
		delete(l.pending, stream)
		l.mutex.Unlock()
		return
	}
	l.mutex.Lock()
	b.WriteEnded = p.since()
	l.mutex.Unlock()
	p.mutex.Lock()
	p.batches = append(p.batches, b)
	p.mutex.Unlock()
	if r.IntN(50) == 0 { // this client has lost patience; its leave may cross the answer
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		l.mutex.Lock()
		if l.pending[stream] == b {
			b.Cancelled = p.since()
			delete(l.pending, stream)
			l.logf("%s left", b.ID)
		}
		l.mutex.Unlock()
		l.Write(standin.EncodeFrame(12, stream, nil, "")) //nolint:errcheck
	}
}

// readAnswers takes answers in until the connection ends.
func (p *scenario) readAnswers(l *clientConnection) {
	defer close(l.done)
	for {
		a, err := l.ReadFrame(time.Hour)
		l.mutex.Lock()
		switch {
		case err != nil:
			l.ended = true
			l.logf("ended with %d open: %s", len(l.pending), err)
			now := p.since()
			crossed := l.racedClose(now) && !l.router.killed(l.incarnation) // after a kill nobody knows whether it ran
			for _, b := range l.pending {
				b.ConnectionEnded, b.ConnectionError, b.Resent = now, err.Error(), crossed && !b.isResend
				if b.Resent {
					p.closing.Add(1)
					go p.resend(b)
				} else {
					l.queueRetry(b, false)
				}
			}
			l.mutex.Unlock()
			l.Close()
			return
		case a.Type == 11 && l.batches[a.Stream] != nil:
			b := l.batches[a.Stream]
			b.Answers = append(b.Answers, Answer{p.since(), a.Code, a.Body})
			delete(l.pending, a.Stream)
			if a.Code == codeRejected {
				l.queueRetry(b, true)
			}
			l.logf("%s answered with code %d", b.ID, a.Code)
		case a.Type == 30:
			l.goingAway = true
			l.logf("told that it takes no more")
		}
		l.mutex.Unlock()
	}
}

// racedClose tells whether all that is open had just been written when the connection ended: the router may have closed a connection on
// which nothing was open. The mutex is held.
func (l *clientConnection) racedClose(now time.Duration) bool {
	for _, b := range l.pending {
		if now >= max(b.WriteBegan, b.WriteEnded)+closeRaceWindow {
			return false
		}
	}
	return true
}

// resend sends a request that crossed a close once more, on a new connection, under its id.
func (p *scenario) resend(before *Batch) {
	defer p.closing.Done()
	chance := rand.New(rand.NewPCG(p.Seed, uint64(before.WriteBegan)))
	var l *clientConnection
	for l == nil {
		if p.since() > before.Deadline { // no router can be reached in its time
			return
		}
		if l = p.connect(chance, make(chan *Batch, 1)); l == nil {
			time.Sleep(reconnectInterval)
		}
	}
	left := before.Deadline - p.since()
	if left <= 0 {
		l.Close()
		return
	}
	b := &Batch{ID: before.ID, Group: before.Group, Key: before.Key, Rows: before.Rows, RetryOf: before.RetryOf, Connection: l.number,
		Router: l.router.number, Incarnation: l.incarnation, FirstOnConnection: true, isResend: true, Deadline: before.Deadline}
	fields := slices.Clone(before.fields)
	fields[slices.Index(fields, "d")+1] = strconv.Itoa(int(left.Milliseconds()))
	l.mutex.Lock()
	b.WriteBegan = p.since()
	l.pending[1], l.batches[1] = b, b
	l.logf("%s %s sent again", b.Group, b.ID)
	l.mutex.Unlock()
	if _, err := l.Write(standin.EncodeFrame(10, 1, fields, before.text)); err == nil {
		l.mutex.Lock()
		b.WriteEnded = p.since()
		l.mutex.Unlock()
		p.mutex.Lock()
		p.batches = append(p.batches, b)
		p.mutex.Unlock()
	}
	l.drainAndClose()
}

// reconnectInterval is how often a client tries for a new connection.
const reconnectInterval = 20 * time.Millisecond

// retire takes no more on a connection and closes it when all that is open there has its answer, or none can come.
func (p *scenario) retire(l *clientConnection) {
	if p.since() < p.Duration {
		p.closing.Add(1)
		go func() {
			defer p.closing.Done()
			l.drainAndClose()
		}()
		return
	}
	l.drainAndClose()
}

// drainAndClose waits until all that is open has its answer, or none can come, and closes the connection.
func (l *clientConnection) drainAndClose() {
	for end := time.Now().Add(8*time.Second + answerGrace + time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l.mutex.Lock()
		idle := len(l.pending) == 0 || l.ended
		l.mutex.Unlock()
		if idle {
			break
		}
	}
	time.Sleep(30 * time.Millisecond) // for an answer that comes twice
	l.Close()
	<-l.done
}
