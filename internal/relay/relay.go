// Package relay is a proxy for tests. It forwards datagrams and TCP streams between processes on loopback and injects
// network faults: packet loss, delay, jitter, duplication, reordering, partitions in one direction or both, and throttling.
// Every fault can be removed again. The package knows no application protocol. Each link joins two participants that are
// identified by name, so one fault can affect all links of a whole group of participants at once.
package relay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Condition is the network condition of one direction of a link. The zero value is a link without faults.
type Condition struct {
	Partitioned    bool          // nothing is forwarded: datagrams are lost, streams stall until the fault is removed
	LossRate       float64       // fraction of datagrams that are lost, 0 to 1
	DuplicateRate  float64       // fraction of datagrams that are delivered twice, 0 to 1
	ReorderRate    float64       // fraction of datagrams that are delayed so that later ones overtake them, 0 to 1
	Delay          time.Duration // added to everything that is forwarded, on top of the latency of loopback
	Jitter         time.Duration // maximum of a random extra delay for each datagram or stream chunk; streams keep their order
	BytesPerSecond int           // bandwidth of a stream; 0: not limited
}

func (c Condition) String() string {
	if c == (Condition{}) {
		return "no fault"
	}
	return fmt.Sprintf("partitioned %t, loss %.2f, duplicates %.2f, reordering %.2f, delay %s, jitter %s, %d bytes/s",
		c.Partitioned, c.LossRate, c.DuplicateRate, c.ReorderRate, c.Delay.Round(time.Millisecond), c.Jitter.Round(time.Millisecond), c.BytesPerSecond)
}

// worst combines two conditions that apply at the same time: each field takes the more severe value.
func (c Condition) worst(other Condition) Condition {
	c.Partitioned = c.Partitioned || other.Partitioned
	c.LossRate, c.DuplicateRate, c.ReorderRate = max(c.LossRate, other.LossRate), max(c.DuplicateRate, other.DuplicateRate), max(c.ReorderRate, other.ReorderRate)
	c.Delay, c.Jitter = max(c.Delay, other.Delay), max(c.Jitter, other.Jitter)
	if other.BytesPerSecond > 0 && (c.BytesPerSecond == 0 || other.BytesPerSecond < c.BytesPerSecond) {
		c.BytesPerSecond = other.BytesPerSecond
	}
	return c
}

// Fault applies a condition to some directions of links. The conditions of all current faults are combined, so removing
// one fault leaves the effect of the others in place.
type Fault struct {
	Affects   func(from, to string) bool // whether the direction between two named participants is affected
	Condition Condition
}

// Address is the UDP address of a participant, as host:port. It implements net.Addr.
type Address string

// Network returns "udp".
func (Address) Network() string { return "udp" }

func (a Address) String() string { return string(a) }

// resolveAddress converts an Address to an address that a socket can send to. Other addresses are returned unchanged.
func resolveAddress(a net.Addr) (net.Addr, error) {
	if text, ok := a.(Address); ok {
		return net.ResolveUDPAddr("udp", string(text))
	}
	return a, nil
}

// Fabric is a set of links and the faults that affect them. Its methods may be called concurrently. Close ends all links.
type Fabric struct {
	seed uint64

	mutex           sync.Mutex
	faults          map[int]Fault // by number; RemoveFault deletes
	lastFaultNumber int
	closed          chan struct{} // closed by Close
	closers         []func()      // each closes one link; Close empties the list
	isClosed        bool
	faultsChanged   chan struct{}  // closed and replaced at each change of faults; wakes streams that wait for a partition to end
	running         sync.WaitGroup // goroutines of all links
}

// New returns a fabric without links or faults. Each direction of each link draws from a random generator of its own, derived
// from the seed and the names of the participants.
func New(seed uint64) *Fabric {
	return &Fabric{seed: seed, faults: map[int]Fault{}, closed: make(chan struct{}), faultsChanged: make(chan struct{})}
}

// AddFault applies a fault until RemoveFault is called with the number that it returns.
func (f *Fabric) AddFault(fault Fault) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastFaultNumber++
	f.faults[f.lastFaultNumber] = fault
	f.notifyChange()
	return f.lastFaultNumber
}

// RemoveFault removes the fault with this number.
func (f *Fabric) RemoveFault(number int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.faults, number)
	f.notifyChange()
}

// RemoveAllFaults removes all faults.
func (f *Fabric) RemoveAllFaults() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.faults)
	f.notifyChange()
}

// notifyChange wakes the streams that wait for a change of faults. The caller holds the mutex.
func (f *Fabric) notifyChange() {
	close(f.faultsChanged)
	f.faultsChanged = make(chan struct{})
}

// condition returns the combined condition of a direction and a channel that is closed when the faults change.
func (f *Fabric) condition(from, to string) (combined Condition, changed <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, fault := range f.faults {
		if fault.Affects(from, to) {
			combined = combined.worst(fault.Condition)
		}
	}
	return combined, f.faultsChanged
}

// Partitioned reports whether a fault currently blocks all traffic in a direction.
func (f *Fabric) Partitioned(from, to string) bool {
	condition, _ := f.condition(from, to)
	return condition.Partitioned
}

// Between selects the directions from one group of participants to another, but not back.
func Between(from, to func(name string) bool) func(a, b string) bool {
	return func(a, b string) bool { return from(a) && to(b) }
}

// AcrossBoundary selects both directions of all links with exactly one participant inside a group.
func AcrossBoundary(inside func(name string) bool) func(a, b string) bool {
	return func(a, b string) bool { return inside(a) != inside(b) }
}

// newRandom returns the random generator of a direction, derived from the seed and the names.
func (f *Fabric) newRandom(from, to string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s>%s", from, to)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

// registerCloser stores the function that closes a link. It returns false if the fabric is closed already.
func (f *Fabric) registerCloser(closeLink func()) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isClosed {
		return false
	}
	f.closers = append(f.closers, closeLink)
	return true
}

// Close ends all links and waits until their goroutines have ended. Further calls do nothing.
func (f *Fabric) Close() {
	f.mutex.Lock()
	if f.isClosed {
		f.mutex.Unlock()
		return
	}
	f.isClosed = true
	close(f.closed)
	closers := f.closers
	f.closers = nil
	f.mutex.Unlock()
	for _, closeLink := range closers {
		closeLink()
	}
	f.running.Wait()
}

// DatagramLink connects two participants, A and B, that exchange datagrams. Each knows the other by an address of the relay.
// A datagram that arrives there, from any source, is forwarded to the other participant, which sees it come from the relay
// address by which it knows the sender. If a participant's own address is not given, it is the source of its last datagram.
type DatagramLink struct {
	A net.PacketConn // where A sends to reach B
	B net.PacketConn // where B sends to reach A
}

const (
	maxDatagramSize     = 64 << 10 // bytes
	maxDelayedDatagrams = 4096     // waiting in one direction; further delayed ones are lost, as when a queue is full
)

// NewDatagramLink creates a link between the participants named a and b on free UDP ports of host. A nil address is learned
// from the datagrams that the participant sends.
func (f *Fabric) NewDatagramLink(host, a, b string, addressA, addressB net.Addr) (*DatagramLink, error) {
	for _, address := range []*net.Addr{&addressA, &addressB} {
		var err error
		if *address, err = resolveAddress(*address); err != nil {
			return nil, fmt.Errorf("relay: resolve address: %w", err)
		}
	}
	listen := func() (net.PacketConn, error) { return net.ListenPacket("udp", host+":0") }
	toB, err := listen()
	if err != nil {
		return nil, fmt.Errorf("relay: listen: %w", err)
	}
	toA, err := listen()
	if err != nil {
		toB.Close()
		return nil, fmt.Errorf("relay: listen: %w", err)
	}
	d := &DatagramLink{A: toB, B: toA}
	if !f.registerCloser(func() { toA.Close(); toB.Close() }) {
		toA.Close()
		toB.Close()
		return nil, fmt.Errorf("relay: fabric is closed")
	}
	endpoints := &endpointAddresses{addresses: [2]net.Addr{addressA, addressB}}
	f.running.Add(2)
	go f.forwardDatagrams(a, b, toB, toA, endpoints, 0)
	go f.forwardDatagrams(b, a, toA, toB, endpoints, 1)
	return d, nil
}

// Close closes both sockets, which ends the link.
func (d *DatagramLink) Close() {
	d.A.Close()
	d.B.Close()
}

// endpointAddresses holds the addresses of participants A (0) and B (1); nil: not known yet.
type endpointAddresses struct {
	mutex     sync.Mutex
	addresses [2]net.Addr
}

// forwardDatagrams forwards one direction until the link is closed. The sender is participant A (0) or B (1) and sends to in;
// out is the address by which the receiver knows the sender.
func (f *Fabric) forwardDatagrams(from, to string, in, out net.PacketConn, endpoints *endpointAddresses, sender int) {
	defer f.running.Done()
	random := f.newRandom(from, to)
	learnAddress := func() bool {
		endpoints.mutex.Lock()
		defer endpoints.mutex.Unlock()
		return endpoints.addresses[sender] == nil
	}()
	buffer := make([]byte, maxDatagramSize)
	delayedSlots := make(chan struct{}, maxDelayedDatagrams)
	for {
		n, source, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		endpoints.mutex.Lock()
		if learnAddress {
			endpoints.addresses[sender] = source
		}
		target := endpoints.addresses[1-sender]
		endpoints.mutex.Unlock()
		condition, _ := f.condition(from, to)
		// All four are drawn for each datagram, whatever the condition, so a seed decides the same for the same datagrams.
		lossDraw, duplicateDraw, reorderDraw, jitterDraw := random.Float64(), random.Float64(), random.Float64(), random.Float64()
		if target == nil || condition.Partitioned || lossDraw < condition.LossRate {
			continue
		}
		delay := condition.Delay + time.Duration(jitterDraw*float64(condition.Jitter))
		if reorderDraw < condition.ReorderRate {
			delay += condition.Delay + condition.Jitter + 20*time.Millisecond
		}
		copies := 1
		if duplicateDraw < condition.DuplicateRate {
			copies = 2
		}
		data := append([]byte(nil), buffer[:n]...)
		for range copies {
			if delay <= 0 {
				out.WriteTo(data, target) //nolint:errcheck // a datagram that cannot be written counts as lost
				continue
			}
			select {
			case delayedSlots <- struct{}{}:
				time.AfterFunc(delay, func() {
					<-delayedSlots
					out.WriteTo(data, target) //nolint:errcheck
				})
			default: // too many are delayed already: lost
			}
			delay += 5 * time.Millisecond // the second copy arrives later
		}
	}
}
