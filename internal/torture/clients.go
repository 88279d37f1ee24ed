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

// midFramePause is longer than a router waits for the rest of a frame on a connection without pending requests.
const midFramePause = 2500 * time.Millisecond

// clientConnection is one connection of a client with its requests.
type clientConnection struct {
	*standin.Client
	number      int
	stream      uint32 // of the last batch; used only by the client's goroutine
	router      *router
	incarnation int
	retries     chan<- *Batch // of its client: batches that it may retry
	mutex       sync.Mutex
	pending     map[uint32]*Batch // by stream; removed by an answer, a cancellation or the connection's end
	batches     map[uint32]*Batch // all of the connection by stream, to detect second answers
	goingAway   bool
	ended       bool
	done        chan struct{}

	since   func() time.Duration
	history []string // its first and its latest events
}

// logf records an event of the connection. It keeps the first three events and the latest ones, 40 in all. The caller
// holds the mutex.
func (conn *clientConnection) logf(format string, args ...any) {
	const first, most = 3, 40
	if len(conn.history) == most {
		conn.history = append(append(conn.history[:first:first], "..."), conn.history[first+2:]...)
	}
	conn.history = append(conn.history, fmt.Sprintf("%.3f s ", conn.since().Seconds())+fmt.Sprintf(format, args...))
}

// client sends batches until the scenario's time is over, on one connection, or on two if there are several routers;
// now and then it replaces a connection. It also retries batches for which that is safe, at another router if possible.
func (sc *scenario) client(random *rand.Rand) {
	connections := make([]*clientConnection, min(sc.Routers, 2))
	retries := make(chan *Batch, maxQueuedRetries)
	for sc.since() < sc.Duration {
		i, original := random.IntN(len(connections)), (*Batch)(nil)
		select {
		case original = <-retries:
			if conn := connections[i]; conn != nil && conn.router.number == original.Router {
				i = len(connections) - 1 - i
			}
		default:
		}
		conn := connections[i]
		if conn == nil || !conn.usable() || random.IntN(60) == 0 {
			if conn != nil {
				sc.retire(conn)
			}
			if conn = sc.connect(random, retries); conn == nil {
				connections[i] = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			connections[i] = conn
		}
		if !conn.router.stopping.Load() || sc.Soak {
			conn.stream++
			sc.sendBatch(conn, conn.stream, random, original)
		}
		time.Sleep(time.Duration(1+random.IntN(60)) * time.Millisecond)
	}
	var wait sync.WaitGroup
	for _, conn := range connections {
		if conn != nil {
			wait.Add(1)
			go func() {
				defer wait.Done()
				sc.retire(conn)
			}()
		}
	}
	wait.Wait()
}

const maxQueuedRetries = 64 // batches that a client queues for a retry; it drops more

// queueRetry queues a batch for a retry if that can do no harm. A rejection is the router's promise that the batch has
// not run; after the end of a connection nothing is known, so only idempotent batches are retried.
func (conn *clientConnection) queueRetry(batch *Batch, rejected bool) {
	if batch.RetryOf != "" || batch.Group == "upload" || batch.Group == "once" && !rejected {
		return
	}
	select {
	case conn.retries <- batch:
	default:
	}
}

// usable reports whether the client may write another batch on the connection.
func (conn *clientConnection) usable() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return (!conn.goingAway || conn.router.Soak) && !conn.ended && len(conn.pending) < 30
}

// connect opens a connection to a random router that accepts connections. It returns nil if that fails.
func (sc *scenario) connect(random *rand.Rand, retries chan<- *Batch) *clientConnection {
	sc.fleetMutex.Lock()
	all := sc.allRouters()
	sc.fleetMutex.Unlock()
	r := all[random.IntN(len(all))]
	if r.stopping.Load() && !r.justStopped() || r.down.Load() {
		return nil
	}
	c, err := standin.Dial(r.address)
	if err != nil {
		return nil
	}
	incarnation := r.startCount() - 1
	conn := &clientConnection{Client: c, number: int(sc.connectionCounter.Add(1)), router: r, incarnation: incarnation,
		retries: retries, pending: map[uint32]*Batch{}, batches: map[uint32]*Batch{},
		done: make(chan struct{}), since: sc.since}
	sc.mutex.Lock()
	sc.connections = append(sc.connections, conn)
	sc.mutex.Unlock()
	conn.logf("opened, %s, start %d of %s", c.LocalAddr(), incarnation, r.endpoint())
	go sc.readAnswers(conn)
	return conn
}

// sendBatch writes one batch, a new one or a retry. A batch that could not be written completely is not recorded,
// because no router can have accepted it.
func (sc *scenario) sendBatch(conn *clientConnection, stream uint32, random *rand.Rand, original *Batch) {
	groups := []struct {
		name  string
		limit time.Duration
	}{{"lookup", 4 * time.Second}, {"lookup", 4 * time.Second}, {"report", 8 * time.Second}, {"upload", 6 * time.Second}, {"once", 4 * time.Second}}
	group := groups[random.IntN(len(groups))]
	number := sc.batchCounter.Add(1)
	batch := &Batch{ID: fmt.Sprintf("%08x%08x", uint32(sc.Seed), number), Group: group.name, Rows: 1 + random.IntN(250),
		Connection: conn.number, Router: conn.router.number, Incarnation: conn.incarnation, FirstOnConnection: stream == 1}
	if original != nil {
		batch.RetryOf, batch.Group, batch.Rows, batch.dataSet = original.ID, original.Group, original.Rows, original.dataSet
		group.name, group.limit = batch.Group, original.Deadline-original.WriteBegan
	} else {
		batch.dataSet = random.IntN(20)
	}
	fields := []string{"c", group.name, "i", batch.ID, "d", strconv.Itoa(int(group.limit.Milliseconds()))}
	text := fmt.Sprintf("SELECT %d FROM sales_%d.orders", batch.Rows, batch.dataSet)
	if group.name == "upload" {
		batch.Key = fmt.Sprintf("%016x", 1+random.IntN(6))
		fields = append(fields, "o", batch.Key, "k", fmt.Sprintf("%032x", number))
		text += " --key=" + batch.Key
	}
	// Clients declare the work approximately (within a fifth), so that a router that has just started can spend its
	// quota of a cold engine at once.
	work := sc.action(standin.Run{ID: batch.ID, Text: text}, 0).After.Seconds() * 1e3 * (0.8 + 0.4*random.Float64())
	fields = append(fields, "h", strconv.FormatFloat(work, 'f', 1, 64))
	batch.fields, batch.text = fields, text
	frame := standin.EncodeFrame(10, stream, fields, text)
	if random.IntN(150) == 0 { // a client machine pauses within a frame
		conn.Write(frame[:len(frame)/2]) //nolint:errcheck
		conn.mutex.Lock()
		conn.logf("half of the frame of %s written, %d pending", batch.ID, len(conn.pending))
		conn.mutex.Unlock()
		time.Sleep(midFramePause)
		frame = frame[len(frame)/2:]
	}
	// Registered before it is written, since its answer may come at once.
	conn.mutex.Lock()
	if conn.ended {
		conn.mutex.Unlock()
		return
	}
	batch.WriteBegan = sc.since()
	batch.Deadline = batch.WriteBegan + group.limit
	conn.pending[stream], conn.batches[stream] = batch, batch
	conn.logf("%s %s written", batch.Group, batch.ID)
	conn.mutex.Unlock()
	if _, err := conn.Write(frame); err != nil {
		conn.mutex.Lock()
		delete(conn.pending, stream)
		conn.mutex.Unlock()
		return
	}
	conn.mutex.Lock()
	batch.WriteEnded = sc.since()
	conn.mutex.Unlock()
	sc.mutex.Lock()
	sc.batches = append(sc.batches, batch)
	sc.mutex.Unlock()
	if random.IntN(50) == 0 { // the client cancels; the cancellation and the answer may cross
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		conn.mutex.Lock()
		if conn.pending[stream] == batch {
			batch.Cancelled = sc.since()
			delete(conn.pending, stream)
			conn.logf("%s cancelled", batch.ID)
		}
		conn.mutex.Unlock()
		conn.Write(standin.EncodeFrame(12, stream, nil, "")) //nolint:errcheck
	}
}

// readAnswers records answers until the connection ends.
func (sc *scenario) readAnswers(conn *clientConnection) {
	defer close(conn.done)
	for {
		answer, err := conn.ReadFrame(time.Hour)
		conn.mutex.Lock()
		switch {
		case err != nil:
			conn.ended = true
			conn.logf("ended with %d pending: %s", len(conn.pending), err)
			now := sc.since()
			raced := conn.racedClose(now) && !conn.router.killed(conn.incarnation) // after a kill it is unknown whether the batch ran
			for _, batch := range conn.pending {
				batch.ConnectionEnded, batch.ConnectionError, batch.Resent = now, err.Error(), raced && !batch.isResend
				if batch.Resent {
					sc.closing.Add(1)
					go sc.resend(batch)
				} else {
					conn.queueRetry(batch, false)
				}
			}
			conn.mutex.Unlock()
			conn.Close()
			return
		case answer.Type == 11 && conn.batches[answer.Stream] != nil:
			batch := conn.batches[answer.Stream]
			batch.Answers = append(batch.Answers, Answer{sc.since(), answer.Code, answer.Body})
			delete(conn.pending, answer.Stream)
			if answer.Code == codeRejected {
				conn.queueRetry(batch, true)
			}
			conn.logf("%s answered with code %d", batch.ID, answer.Code)
		case answer.Type == 30:
			conn.goingAway = true
			conn.logf("going away received")
		}
		conn.mutex.Unlock()
	}
}

// racedClose reports whether all pending batches had just been written when the connection ended: the router may then
// have closed a connection that was idle from its point of view. The caller holds the mutex.
func (conn *clientConnection) racedClose(now time.Duration) bool {
	for _, b := range conn.pending {
		if now >= max(b.WriteBegan, b.WriteEnded)+closeRaceWindow {
			return false
		}
	}
	return true
}

// resend sends a batch that raced the close of its connection again, on a new connection and under the same ID.
func (sc *scenario) resend(original *Batch) {
	defer sc.closing.Done()
	random := rand.New(rand.NewPCG(sc.Seed, uint64(original.WriteBegan)))
	var conn *clientConnection
	for conn == nil {
		if sc.since() > original.Deadline { // no router was reachable before the deadline
			return
		}
		if conn = sc.connect(random, make(chan *Batch, 1)); conn == nil {
			time.Sleep(reconnectInterval)
		}
	}
	left := original.Deadline - sc.since()
	if left <= 0 {
		conn.Close()
		return
	}
	batch := &Batch{ID: original.ID, Group: original.Group, Key: original.Key, Rows: original.Rows, RetryOf: original.RetryOf, Connection: conn.number,
		Router: conn.router.number, Incarnation: conn.incarnation, FirstOnConnection: true, isResend: true, Deadline: original.Deadline}
	fields := slices.Clone(original.fields)
	fields[slices.Index(fields, "d")+1] = strconv.Itoa(int(left.Milliseconds()))
	conn.mutex.Lock()
	batch.WriteBegan = sc.since()
	conn.pending[1], conn.batches[1] = batch, batch
	conn.logf("%s %s sent again", batch.Group, batch.ID)
	conn.mutex.Unlock()
	if _, err := conn.Write(standin.EncodeFrame(10, 1, fields, original.text)); err == nil {
		conn.mutex.Lock()
		batch.WriteEnded = sc.since()
		conn.mutex.Unlock()
		sc.mutex.Lock()
		sc.batches = append(sc.batches, batch)
		sc.mutex.Unlock()
	}
	conn.drainAndClose()
}

// reconnectInterval is how often a client tries to open a new connection.
const reconnectInterval = 20 * time.Millisecond

// retire sends no more on a connection and closes it when its pending batches are answered or cannot be answered any
// more. It waits for that only once the scenario's time is over.
func (sc *scenario) retire(conn *clientConnection) {
	if sc.since() < sc.Duration {
		sc.closing.Add(1)
		go func() {
			defer sc.closing.Done()
			conn.drainAndClose()
		}()
		return
	}
	conn.drainAndClose()
}

// drainAndClose waits until all pending batches are answered or cannot be answered any more, and closes the connection.
func (conn *clientConnection) drainAndClose() {
	for end := time.Now().Add(8*time.Second + answerGrace + time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn.mutex.Lock()
		idle := len(conn.pending) == 0 || conn.ended
		conn.mutex.Unlock()
		if idle {
			break
		}
	}
	time.Sleep(30 * time.Millisecond) // for a second answer, which would be a violation
	conn.Close()
	<-conn.done
}
