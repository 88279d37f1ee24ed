package stage

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"pitchfield/internal/standin"
)

// Answer is what a client got for a request.
type Answer struct {
	Code byte
	Wait string // of a refusal: milliseconds to stay away
	Body string
	At   time.Time
}

// Request is a request that a client has written whole.
type Request struct {
	ID, Class string
	Written   time.Time
	Deadline  time.Time
	Answers   []Answer
}

// Conn is a client's connection that speaks frames.
type Conn struct {
	*standin.Client
	mutex    sync.Mutex
	last     uint32
	requests map[uint32]*Request
	ended    chan struct{}
	EndedAt  time.Time
	EndedBy  error
}

// Connect connects to a router and reads what it answers.
func Connect(address string) (*Conn, error) {
	client, err := standin.Dial(address)
	if err != nil {
		return nil, err
	}
	c := &Conn{Client: client, requests: map[uint32]*Request{}, ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		for {
			frame, err := client.ReadFrame(time.Hour)
			c.mutex.Lock()
			if err != nil {
				c.EndedAt, c.EndedBy = time.Now(), err
				c.mutex.Unlock()
				return
			}
			if r := c.requests[frame.Stream]; r != nil && frame.Type == 11 {
				r.Answers = append(r.Answers, Answer{frame.Code, frame.Fields["w"], frame.Body, time.Now()})
			}
			c.mutex.Unlock()
		}
	}()
	return c, nil
}

// Send writes a request; fields alternates names and values beside class, id and time.
func (c *Conn) Send(class string, left time.Duration, statement string, fields ...string) (*Request, error) {
	c.mutex.Lock()
	c.last++
	r := &Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: class}
	c.requests[c.last] = r
	frame := standin.EncodeFrame(10, c.last, append([]string{"c", class, "i", r.ID, "d", strconv.Itoa(int(left.Milliseconds()))}, fields...), statement)
	c.mutex.Unlock()
	r.Deadline = time.Now().Add(left)
	if _, err := c.Write(frame); err != nil {
		return r, err
	}
	c.mutex.Lock()
	r.Written = time.Now()
	c.mutex.Unlock()
	return r, nil
}

// Answers returns the answers that a request has by now.
func (c *Conn) Answers(r *Request) []Answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Answer(nil), r.Answers...)
}

// HasEnded reports whether the connection has ended, and how.
func (c *Conn) HasEnded() (bool, error) {
	select {
	case <-c.ended:
		return true, c.EndedBy
	default:
		return false, nil
	}
}

// Await waits until a request has an answer or its connection has ended, at most until a time.
func (c *Conn) Await(r *Request, until time.Time) {
	for time.Now().Before(until) && len(c.Answers(r)) == 0 {
		if ended, _ := c.HasEnded(); ended {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}
