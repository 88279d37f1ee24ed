// Package relay carries bytes between processes on loopback and lets the way go wrong: loss, delay, jitter, doubles,
// reordering, cuts in one direction or both, a slow drip, all healed again. It knows no protocol. Every link is between
// two parties by name, so that a cut can take a whole side's view at once. It is for tests.
package relay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Weather is what one direction of a link is like. The zero value is a good day.
type Weather struct {
	Cut     bool          // nothing passes: datagrams are lost, streams stand still until it heals
	Loss    float64       // share of datagrams that are lost
	Double  float64       // share of datagrams that come twice
	Reorder float64       // share of datagrams that are held back behind later ones
	Delay   time.Duration // of all that passes, on top of what loopback takes
	Jitter  time.Duration // up to so much more, drawn for each piece; streams keep their order
	Drip    int           // bytes a second of a stream; 0: as fast as they come
}

func (w Weather) String() string {
	if w == (Weather{}) {
		return "fair"
	}
	return fmt.Sprintf("cut %t, loss %.2f, double %.2f, reorder %.2f, delay %s, jitter %s, drip %d", w.Cut, w.Loss, w.Double,
		w.Reorder, w.Delay.Round(time.Millisecond), w.Jitter.Round(time.Millisecond), w.Drip)
}

// worse joins two that hold at once: the worse of each.
func (w Weather) worse(o Weather) Weather {
	w.Cut = w.Cut || o.Cut
	w.Loss, w.Double, w.Reorder = max(w.Loss, o.Loss), max(w.Double, o.Double), max(w.Reorder, o.Reorder)
	w.Delay, w.Jitter = max(w.Delay, o.Delay), max(w.Jitter, o.Jitter)
	if o.Drip > 0 && (w.Drip == 0 || o.Drip < w.Drip) {
		w.Drip = o.Drip
	}
	return w
}

// Front is a piece of weather that somebody brought: which ways it lies over, and what it is. Fronts add up, so one that
// goes takes nothing of another with it.
type Front struct {
	Over    func(from, to string) bool
	Weather Weather
}

// Address is where a party is, as host and port; it is one of the network's addresses.
type Address string

// Network is UDP.
func (Address) Network() string { return "udp" }

func (a Address) String() string { return string(a) }

// resolved is what can be written to.
func resolved(a net.Addr) (net.Addr, error) {
	if text, is := a.(Address); is {
		return net.ResolveUDPAddr("udp", string(text))
	}
	return a, nil
}

// Fabric is a set of links and the weather over them. All links end with Close.
type Fabric struct {
	seed uint64

	mutex  sync.Mutex
	fronts map[int]Front // by number; Lift deletes
	next   int
	closed chan struct{}
	ends   []func() // what closes links; Close empties it
	shut   bool
	moved  chan struct{} // closed and made anew with each change of weather, for streams that stand still
	done   sync.WaitGroup
}

// New makes one. What is drawn is drawn from the seed, for each direction of each link on its own.
func New(seed uint64) *Fabric {
	return &Fabric{seed: seed, fronts: map[int]Front{}, closed: make(chan struct{}), moved: make(chan struct{})}
}

// Bring lets a front lie over the links until Lift with the number.
func (f *Fabric) Bring(front Front) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next++
	f.fronts[f.next] = front
	f.changed()
	return f.next
}

// Lift takes a front away.
func (f *Fabric) Lift(number int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.fronts, number)
	f.changed()
}

// Heal takes all away.
func (f *Fabric) Heal() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.fronts)
	f.changed()
}

func (f *Fabric) changed() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// now gives the weather of a direction, and what is closed when it changes.
func (f *Fabric) now(from, to string) (w Weather, moved <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, front := range f.fronts {
		if front.Over(from, to) {
			w = w.worse(front.Weather)
		}
	}
	return w, f.moved
}

// Cut tells whether nothing passes in a direction now.
func (f *Fabric) Cut(from, to string) bool {
	w, _ := f.now(from, to)
	return w.Cut
}

// Between is over all ways from one set of parties to another, in that direction.
func Between(from, to func(name string) bool) func(a, b string) bool {
	return func(a, b string) bool { return from(a) && to(b) }
}

// Around is over all ways between parties of which one is inside and one is not, in both directions.
func Around(inside func(name string) bool) func(a, b string) bool {
	return func(a, b string) bool { return inside(a) != inside(b) }
}

// chance is a generator of a direction's own.
func (f *Fabric) chance(from, to string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s>%s", from, to)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

// keep notes how a link is closed; false: the fabric is closed already.
func (f *Fabric) keep(end func()) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.shut {
		return false
	}
	f.ends = append(f.ends, end)
	return true
}

// Close ends all links and waits for them.
func (f *Fabric) Close() {
	f.mutex.Lock()
	if f.shut {
		f.mutex.Unlock()
		return
	}
	f.shut = true
	close(f.closed)
	ends := f.ends
	f.ends = nil
	f.mutex.Unlock()
	for _, end := range ends {
		end()
	}
	f.done.Wait()
}

// Datagrams links two parties that send each other datagrams. Each knows the other by an address of the relay's; what
// comes there from anywhere is carried to the other party, and comes from the address by which that one knows the first.
// Without an address of its own, a party is where its last datagram came from.
type Datagrams struct{ A, B net.PacketConn } // where A sends to reach B, and where B sends to reach A

const (
	largestDatagram = 64 << 10
	mostUnderWay    = 4096 // datagrams of a direction; more are lost, as in a full queue
)

// Datagrams makes a link on free ports of an address.
func (f *Fabric) Datagrams(host, a, b string, addressA, addressB net.Addr) (*Datagrams, error) {
	for _, one := range []*net.Addr{&addressA, &addressB} {
		var err error
		if *one, err = resolved(*one); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	open := func() (net.PacketConn, error) { return net.ListenPacket("udp", host+":0") }
	toB, err := open()
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	toA, err := open()
	if err != nil {
		toB.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	d := &Datagrams{A: toB, B: toA}
	if !f.keep(func() { toA.Close(); toB.Close() }) {
		toA.Close()
		toB.Close()
		return nil, fmt.Errorf("relay: closed")
	}
	ends := &twoEnds{addresses: [2]net.Addr{addressA, addressB}}
	f.done.Add(2)
	go f.datagrams(a, b, toB, toA, ends, 0)
	go f.datagrams(b, a, toA, toB, ends, 1)
	return d, nil
}

// Close ends the link.
func (d *Datagrams) Close() {
	d.A.Close()
	d.B.Close()
}

type twoEnds struct {
	mutex     sync.Mutex
	addresses [2]net.Addr
}

// datagrams carries one direction, from party number side, which sends to in; out is known to the other one.
func (f *Fabric) datagrams(from, to string, in, out net.PacketConn, ends *twoEnds, side int) {
	defer f.done.Done()
	chance := f.chance(from, to)
	learn := func() bool {
		ends.mutex.Lock()
		defer ends.mutex.Unlock()
		return ends.addresses[side] == nil
	}()
	buf := make([]byte, largestDatagram)
	under := make(chan struct{}, mostUnderWay)
	for {
		n, source, err := in.ReadFrom(buf)
		if err != nil {
			return
		}
		ends.mutex.Lock()
		if learn {
			ends.addresses[side] = source
		}
		target := ends.addresses[1-side]
		ends.mutex.Unlock()
		w, _ := f.now(from, to)
		// Drawn for each datagram, whatever the weather: the same datagrams meet the same fate.
		lost, double, late, jitter := chance.Float64(), chance.Float64(), chance.Float64(), chance.Float64()
		if target == nil || w.Cut || lost < w.Loss {
			continue
		}
		wait := w.Delay + time.Duration(jitter*float64(w.Jitter))
		if late < w.Reorder {
			wait += w.Delay + w.Jitter + 20*time.Millisecond
		}
		copies := 1
		if double < w.Double {
			copies = 2
		}
		data := append([]byte(nil), buf[:n]...)
		for range copies {
			if wait <= 0 {
				out.WriteTo(data, target) //nolint:errcheck // a datagram that can't be written is lost
				continue
			}
			select {
			case under <- struct{}{}:
				time.AfterFunc(wait, func() {
					<-under
					out.WriteTo(data, target) //nolint:errcheck
				})
			default:
			}
			wait += 5 * time.Millisecond
		}
	}
}
