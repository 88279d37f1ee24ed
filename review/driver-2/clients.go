package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// usualClient sends one request after the other by frames, on one connection as long as that lasts, and counts the answers.
type usualClient struct {
	served, refused, failed, crossed, lost int
}

const (
	// lateBy is how long after its time a request without an answer is lost: half a second, the 50 ms by which each limit is longer on
	// sockets, and 50 ms for this machine.
	lateBy = 600 * time.Millisecond
	// crossing is how soon after a request the router may end its connection without losing it: the two have crossed.
	crossing = 50 * time.Millisecond
)

// run sends a request of a group every interval until stop is closed. A request that is written and whose connection ends with no
// answer, or that has none lateBy after its time, is lost.
func (u *usualClient) run(w *world, address, group string, wait, interval time.Duration, stop <-chan struct{}) {
	var c *standin.Client
	stream := uint32(0)
	for {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(interval):
		}
		if c == nil {
			var err error
			if c, err = standin.Dial(address); err != nil {
				c = nil
				continue
			}
			stream = 0
		}
		stream++
		id := fmt.Sprintf("%016x", rand.Uint64())
		if err := c.SendBatch(stream, group, id, wait, "SELECT 1 FROM sales_17.orders -- "+id); err != nil {
			c.Close()
			c = nil
			continue
		}
		written := time.Now()
		answer, err := c.ReadFrame(wait + lateBy)
		switch {
		case err != nil && time.Since(written) < crossing: // a usual client sends it again on a new connection
			u.crossed++
			c.Close()
			c = nil
		case err != nil:
			u.lost++
			w.notef("usual request %s was written and has no answer: %v", id, err)
			c.Close()
			c = nil
		case answer.Code == 0:
			u.served++
		case answer.Code == 11:
			u.refused++
		default:
			u.failed++
		}
	}
}

func (u *usualClient) String() string {
	return fmt.Sprintf("usual client: served %d, refused %d, failed %d, crossed an end %d, lost %d", u.served, u.refused, u.failed, u.crossed, u.lost)
}

// dialAll logs in by TDS on so many connections, eight at a time.
func dialAll(address string, count int) ([]*standin.TDSClient, error) {
	out := make([]*standin.TDSClient, count)
	errs := make([]error, count)
	slots := make(chan struct{}, 8)
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			for range 5 {
				if out[i], errs[i] = standin.DialTDS(address, user, password, "", 5*time.Second); errs[i] == nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	return out, errors.Join(errs...)
}

// word names how a statement ended.
func word(k traffic.ReplyKind) string {
	switch k {
	case traffic.ReplyComplete:
		return "served"
	case traffic.ReplyOverloaded:
		return "turned away"
	case traffic.ReplyFailed:
		return "errored"
	}
	return fmt.Sprint(int(k))
}
