package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Stream is a link on which one party connects to another. What the other's address is may change; connections that are
// open stay with the one they came to.
type Stream struct {
	net.Listener
	fabric   *Fabric
	from, to string

	mutex  sync.Mutex
	target string
	open   map[net.Conn]struct{} // both ends of all; each deletes its own
	shut   bool
}

const (
	pieceSize   = 16 << 10
	mostPieces  = 64 // of a direction under way; then the writer is held back
	dripPiece   = 256
	connectTime = 5 * time.Second
)

// Stream makes a link from one party to the other at target. The first one connects to the link's address.
func (f *Fabric) Stream(host, from, to, target string) (*Stream, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	s := &Stream{Listener: l, fabric: f, from: from, to: to, target: target, open: map[net.Conn]struct{}{}}
	if !f.keep(s.Close) {
		l.Close()
		return nil, errors.New("relay: closed")
	}
	f.done.Add(1)
	go s.accept()
	return s, nil
}

// Close ends the link and all its connections.
func (s *Stream) Close() {
	s.Listener.Close()
	s.mutex.Lock()
	s.shut = true
	s.mutex.Unlock()
	s.Reset()
}

// Reset breaks all connections that are open.
func (s *Stream) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.open {
		if t, is := c.(*net.TCPConn); is {
			t.SetLinger(0) //nolint:errcheck // then it ends in peace
		}
		c.Close()
	}
}

func (s *Stream) track(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.shut {
		c.Close()
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Stream) untrack(c net.Conn) {
	c.Close()
	s.mutex.Lock()
	delete(s.open, c)
	s.mutex.Unlock()
}

func (s *Stream) accept() {
	defer s.fabric.done.Done()
	for n := uint64(1); ; n++ {
		c, err := s.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			return
		}
		s.fabric.done.Add(1)
		go s.carry(c, n)
	}
}

// carry connects on and lets both directions pass. While the way there is cut, nothing is known of the other side: the
// connection is there and says nothing, as where its first packets are lost.
func (s *Stream) carry(near net.Conn, n uint64) {
	defer s.fabric.done.Done()
	defer s.untrack(near)
	if !s.fabric.passes(s.from, s.to) {
		return
	}
	far, err := net.DialTimeout("tcp", s.target, connectTime)
	if err != nil {
		if t, is := near.(*net.TCPConn); is {
			t.SetLinger(0) //nolint:errcheck
		}
		return
	}
	if !s.track(far) {
		return
	}
	defer s.untrack(far)
	var both sync.WaitGroup
	both.Add(2)
	for i, way := range [][2]net.Conn{{near, far}, {far, near}} {
		from, to := s.from, s.to
		if i == 1 {
			from, to = to, from
		}
		go func() {
			defer both.Done()
			chance := s.fabric.chance(from, to)
			for range n % 64 { // connections differ
				chance.Float64()
			}
			s.fabric.pump(way[0], way[1], from, to, chance)
		}()
	}
	both.Wait()
}

// passes waits until a direction is not cut; false: the fabric was closed before.
func (f *Fabric) passes(from, to string) bool {
	for {
		w, moved := f.now(from, to)
		if !w.Cut {
			return true
		}
		select {
		case <-moved:
		case <-f.closed:
			return false
		}
	}
}

type piece struct {
	data []byte
	due  time.Time
}

// pump carries one direction of a connection until its end, which it carries too.
func (f *Fabric) pump(in, out net.Conn, from, to string, chance *rand.Rand) {
	pieces := make(chan piece, mostPieces)
	gone := make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, pieceSize)
			n, err := in.Read(buf)
			if n > 0 {
				w, _ := f.now(from, to)
				p := piece{data: buf[:n], due: time.Now().Add(w.Delay + time.Duration(chance.Float64()*float64(w.Jitter)))}
				select {
				case pieces <- p:
				case <-gone:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) { // broken: the other side learns of it at once
					breakOff(out)
				}
				return
			}
		}
	}()
	defer close(gone)
	for p := range pieces {
		if wait := time.Until(p.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-f.closed:
				return
			}
		}
		if !f.passes(from, to) || !f.write(out, p.data, from, to) {
			breakOff(in)
			return
		}
	}
	// An end passes a cut as little as bytes do.
	if f.passes(from, to) {
		if t, is := out.(*net.TCPConn); is {
			t.CloseWrite() //nolint:errcheck
		}
	}
}

func breakOff(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0) //nolint:errcheck
	}
	c.Close()
}

// write writes all, in small pieces and with pauses where it drips.
func (f *Fabric) write(out net.Conn, data []byte, from, to string) bool {
	for len(data) > 0 {
		w, _ := f.now(from, to)
		n := len(data)
		if w.Drip > 0 {
			n = min(n, dripPiece)
		}
		if w.Cut && !f.passes(from, to) {
			return false
		}
		if _, err := out.Write(data[:n]); err != nil {
			return false
		}
		if data = data[n:]; w.Drip > 0 {
			select {
			case <-time.After(time.Duration(float64(n) / float64(w.Drip) * float64(time.Second))):
			case <-f.closed:
				return false
			}
		}
	}
	return true
}
