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

// stillWithin is longer than a router waits for the rest of a frame where nothing else is open.
const stillWithin = 2500 * time.Millisecond

// line is one connection of a client, with what it has open.
type line struct {
	*standin.Client
	number int
	stream uint32 // of the last batch; the client's own
	router *router
	life   int
	again  chan<- *Batch // of its client: what may be asked for once more
	mutex  sync.Mutex
	open   map[uint32]*Batch // by stream; an answer, a leave or the end deletes
	all    map[uint32]*Batch // of this connection, for a second answer; goes with it
	noMore bool
	ended  bool
	done   chan struct{}

	since   func() time.Duration
	history []string // the last that happened on it, its beginning first
}

// happened keeps the beginning and the end of what happened on a connection. The mutex is held.
func (l *line) happened(format string, args ...any) {
	const first, most = 3, 40
	if len(l.history) == most {
		l.history = append(append(l.history[:first:first], "..."), l.history[first+2:]...)
	}
	l.history = append(l.history, fmt.Sprintf("%.3f s ", l.since().Seconds())+fmt.Sprintf(format, args...))
}

// client keeps a connection, or before a fleet two, and asks on them until the play's time is over; now and then it takes
// others. Before a fleet it asks once more for what may be asked again, elsewhere if it can.
func (p *play) client(r *rand.Rand) {
	lines := make([]*line, min(p.Routers, 2))
	again := make(chan *Batch, mostAgain)
	for p.since() < p.Long {
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
			p.ask(l, l.stream, r, before)
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

const mostAgain = 64 // batches that a client means to ask for again; it forgets more

// mayAsk: another try can't do harm. After a pushback that is the router's promise; after the end of a connection nothing
// is known, and only what may run twice is asked for.
func (l *line) mayAsk(b *Batch, pushed bool) {
	if b.Origin != "" || b.Group == "upload" || b.Group == "once" && !pushed {
		return
	}
	select {
	case l.again <- b:
	default:
	}
}

func (l *line) usable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return (!l.noMore || l.router.Soak) && !l.ended && len(l.open) < 30
}

// connect takes a connection to some router that is there.
func (p *play) connect(chance *rand.Rand, again chan<- *Batch) *line {
	p.world.Lock()
	all := p.everyone()
	p.world.Unlock()
	r := all[chance.IntN(len(all))]
	if r.stopping.Load() && !r.justStopped() || r.down.Load() {
		return nil
	}
	c, err := standin.Dial(r.address)
	if err != nil {
		return nil
	}
	life := r.starts() - 1
	l := &line{Client: c, number: int(p.numbers.Add(1)), router: r, life: life, again: again, open: map[uint32]*Batch{}, all: map[uint32]*Batch{},
		done: make(chan struct{}), since: p.since}
	p.mutex.Lock()
	p.lines = append(p.lines, l)
	p.mutex.Unlock()
	l.happened("opened, %s, start %d of %s", c.LocalAddr(), life, r.party())
	go p.read(l)
	return l
}

// ask writes one batch; what could not be written whole was never taken.
func (p *play) ask(l *line, stream uint32, r *rand.Rand, before *Batch) {
	groups := []struct {
		name  string
		limit time.Duration
	}{{"lookup", 4 * time.Second}, {"lookup", 4 * time.Second}, {"report", 8 * time.Second}, {"upload", 6 * time.Second}, {"once", 4 * time.Second}}
	g := groups[r.IntN(len(groups))]
	n := p.ids.Add(1)
	b := &Batch{ID: fmt.Sprintf("%08x%08x", uint32(p.Seed), n), Group: g.name, Rows: 1 + r.IntN(250), Connection: l.number, Router: l.router.number, Life: l.life, First: stream == 1}
	if before != nil {
		b.Origin, b.Group, b.Rows, b.sets = before.ID, before.Group, before.Rows, before.sets
		g.name, g.limit = b.Group, before.Due-before.Wrote
	} else {
		b.sets = r.IntN(20)
	}
	fields := []string{"c", g.name, "i", b.ID, "d", strconv.Itoa(int(g.limit.Milliseconds()))}
	text := fmt.Sprintf("SELECT %d FROM sales_%d.orders", b.Rows, b.sets)
	if g.name == "upload" {
		b.Key = fmt.Sprintf("%016x", 1+r.IntN(6))
		fields = append(fields, "o", b.Key, "k", fmt.Sprintf("%032x", n))
		text += " --key=" + b.Key
	}
	// Clients tell the work, nearly right: a router that has just started can spend its part of a cold engine at once.
	work := p.act(standin.Run{ID: b.ID, Text: text}, 0).After.Seconds() * 1e3 * (0.8 + 0.4*r.Float64())
	fields = append(fields, "h", strconv.FormatFloat(work, 'f', 1, 64))
	b.fields, b.text = fields, text
	frame := standin.EncodeFrame(10, stream, fields, text)
	if r.IntN(150) == 0 { // this client's machine stands still within a frame
		l.Write(frame[:len(frame)/2]) //nolint:errcheck
		l.mutex.Lock()
		l.happened("half of the frame of %s written, %d open", b.ID, len(l.open))
		l.mutex.Unlock()
		time.Sleep(stillWithin)
		frame = frame[len(frame)/2:]
	}
	// Known before it is written: its answer may come at once.
	l.mutex.Lock()
	if l.ended {
		l.mutex.Unlock()
		return
	}
	b.Wrote = p.since()
	b.Due = b.Wrote + g.limit
	l.open[stream], l.all[stream] = b, b
	l.happened("%s %s asked for", b.Group, b.ID)
	l.mutex.Unlock()
	if _, err := l.Write(frame); err != nil {
		l.mutex.Lock()
		delete(l.open, stream)
		l.mutex.Unlock()
		return
	}
	l.mutex.Lock()
	b.Written = p.since()
	l.mutex.Unlock()
	p.mutex.Lock()
	p.batches = append(p.batches, b)
	p.mutex.Unlock()
	if r.IntN(50) == 0 { // this client has lost patience; its leave may cross the answer
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		l.mutex.Lock()
		if l.open[stream] == b {
			b.Left = p.since()
			delete(l.open, stream)
			l.happened("%s left", b.ID)
		}
		l.mutex.Unlock()
		l.Write(standin.EncodeFrame(12, stream, nil, "")) //nolint:errcheck
	}
}

// read takes answers in until the connection ends.
func (p *play) read(l *line) {
	defer close(l.done)
	for {
		a, err := l.ReadFrame(time.Hour)
		l.mutex.Lock()
		switch {
		case err != nil:
			l.ended = true
			l.happened("ended with %d open: %s", len(l.open), err)
			now := p.since()
			crossed := l.crossed(now) && !l.router.killed(l.life) // after a kill nobody knows whether it ran
			for _, b := range l.open {
				b.Ended, b.End, b.SentAgain = now, err.Error(), crossed && !b.again
				if b.SentAgain {
					p.retiring.Add(1)
					go p.sendAgain(b)
				} else {
					l.mayAsk(b, false)
				}
			}
			l.mutex.Unlock()
			l.Close()
			return
		case a.Type == 11 && l.all[a.Stream] != nil:
			b := l.all[a.Stream]
			b.Answers = append(b.Answers, Answer{p.since(), a.Code, a.Body})
			delete(l.open, a.Stream)
			if a.Code == pushedBack {
				l.mayAsk(b, true)
			}
			l.happened("%s answered with code %d", b.ID, a.Code)
		case a.Type == 30:
			l.noMore = true
			l.happened("told that it takes no more")
		}
		l.mutex.Unlock()
	}
}

// crossed tells whether all that is open had just been written when the connection ended: the router may have closed a connection on
// which nothing was open. The mutex is held.
func (l *line) crossed(now time.Duration) bool {
	for _, b := range l.open {
		if now >= max(b.Wrote, b.Written)+crossing {
			return false
		}
	}
	return true
}

// sendAgain sends a request that crossed a close once more, on a new connection, under its id.
func (p *play) sendAgain(before *Batch) {
	defer p.retiring.Done()
	chance := rand.New(rand.NewPCG(p.Seed, uint64(before.Wrote)))
	var l *line
	for l == nil {
		if p.since() > before.Due { // no router can be reached in its time
			return
		}
		if l = p.connect(chance, make(chan *Batch, 1)); l == nil {
			time.Sleep(reconnectEvery)
		}
	}
	left := before.Due - p.since()
	if left <= 0 {
		l.Close()
		return
	}
	b := &Batch{ID: before.ID, Group: before.Group, Key: before.Key, Rows: before.Rows, Origin: before.Origin, Connection: l.number,
		Router: l.router.number, Life: l.life, First: true, again: true, Due: before.Due}
	fields := slices.Clone(before.fields)
	fields[slices.Index(fields, "d")+1] = strconv.Itoa(int(left.Milliseconds()))
	l.mutex.Lock()
	b.Wrote = p.since()
	l.open[1], l.all[1] = b, b
	l.happened("%s %s sent again", b.Group, b.ID)
	l.mutex.Unlock()
	if _, err := l.Write(standin.EncodeFrame(10, 1, fields, before.text)); err == nil {
		l.mutex.Lock()
		b.Written = p.since()
		l.mutex.Unlock()
		p.mutex.Lock()
		p.batches = append(p.batches, b)
		p.mutex.Unlock()
	}
	l.finish()
}

// reconnectEvery is how often a client tries for a new connection.
const reconnectEvery = 20 * time.Millisecond

// retire takes no more on a connection and closes it when all that is open there has its answer, or none can come.
func (p *play) retire(l *line) {
	if p.since() < p.Long {
		p.retiring.Add(1)
		go func() {
			defer p.retiring.Done()
			l.finish()
		}()
		return
	}
	l.finish()
}

// finish waits until all that is open has its answer, or none can come, and closes the connection.
func (l *line) finish() {
	for end := time.Now().Add(8*time.Second + grace + time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l.mutex.Lock()
		idle := len(l.open) == 0 || l.ended
		l.mutex.Unlock()
		if idle {
			break
		}
	}
	time.Sleep(30 * time.Millisecond) // for an answer that comes twice
	l.Close()
	<-l.done
}
