package rig

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// Spec is a batch as a client of either protocol asks for it.
type Spec struct {
	Group, Key, Mark, Text string
	Limit                  time.Duration
}

// Ending is how it ended for its client.
type Ending struct {
	Code  traffic.Code
	Lost  bool // no final answer, or the connection ended before it
	Twice bool // a second one came
	Why   string
	Lines int // of the result
	Took  time.Duration
}

func (e Ending) String() string {
	switch {
	case e.Twice:
		return "twice"
	case e.Lost:
		return "lost"
	}
	return e.Code.String()
}

// asker is a connection of a client, for one batch at a time.
type asker interface {
	ask(Spec) error
	end(within time.Duration) Ending
	leave() error // gives up what is open, and stays
	io.Closer
}

// patience beyond a batch's time limit, and how long a second answer is waited for.
const (
	beyond = 2 * time.Second
	second = 30 * time.Millisecond
)

func dial(protocol string, w *World) (asker, error) {
	if protocol == "tds" {
		c, err := standin.DialTDS(w.TDS, User, Password, Database, readyWithin)
		if err != nil {
			return nil, err
		}
		return &tdsAsker{c: c}, nil
	}
	c, err := standin.Dial(w.Frames)
	if err != nil {
		return nil, err
	}
	return &framesAsker{c: c}, nil
}

// play asks for one batch on a connection of its own.
func play(protocol string, w *World, s Spec) Ending {
	c, err := dial(protocol, w)
	if err != nil {
		return Ending{Lost: true, Why: err.Error()}
	}
	return playOn(c, s)
}

// playOn asks for one on a connection that is there, and closes it.
func playOn(c asker, s Spec) Ending {
	defer c.Close()
	if err := c.ask(s); err != nil {
		return Ending{Lost: true, Why: err.Error()}
	}
	return c.end(s.Limit + beyond)
}

type framesAsker struct {
	c      *standin.Client
	stream uint32
	began  time.Time
}

// frameIDs are drawn from one counter: no two batches of a process have the same.
var frameIDs atomic.Uint64

func (a *framesAsker) ask(s Spec) error {
	a.stream++
	a.began = time.Now()
	fields := []string{"c", s.Group, "i", fmt.Sprintf("%016x", frameIDs.Add(1)), "d", fmt.Sprint(s.Limit.Milliseconds())}
	if s.Key != "" {
		fields = append(fields, "o", s.Key)
	}
	if s.Mark != "" {
		fields = append(fields, "k", s.Mark)
	}
	_, err := a.c.Write(standin.EncodeFrame(10, a.stream, fields, s.Text+" --key="+s.Key))
	return err
}

func (a *framesAsker) leave() error {
	_, err := a.c.Write(standin.EncodeFrame(12, a.stream, nil, ""))
	return err
}

func (a *framesAsker) Close() error { return a.c.Close() }

func (a *framesAsker) end(within time.Duration) (out Ending) {
	for {
		f, err := a.c.ReadFrame(within)
		if err != nil {
			return Ending{Lost: true, Why: err.Error(), Took: time.Since(a.began)}
		}
		if f.Type != 11 {
			continue
		}
		out = Ending{Code: map[uint8]traffic.Code{0: traffic.Succeeded, 11: traffic.Rejected, 5: traffic.Failed}[f.Code],
			Took: time.Since(a.began)}
		for _, c := range f.Body {
			if c == '\n' {
				out.Lines++
			}
		}
		break
	}
	for { // a connection that closes or says that there is no more is none
		f, err := a.c.ReadFrame(second)
		if err != nil {
			return out
		}
		out.Twice = out.Twice || f.Type == 11
	}
}

type tdsAsker struct {
	c     *standin.TDSClient
	began time.Time
}

func (a *tdsAsker) ask(s Spec) error {
	a.began = time.Now()
	head := "/* pitchfield group=" + s.Group
	if s.Key != "" {
		head += " key=" + s.Key
	}
	if s.Mark != "" {
		head += " mark=" + s.Mark
	}
	return a.c.Send(fmt.Sprintf("%s limit=%s */ %s --key=%s", head, s.Limit, s.Text, s.Key))
}

func (a *tdsAsker) leave() error { return a.c.Cancel(readyWithin) }

func (a *tdsAsker) Close() error { return a.c.Close() }

func (a *tdsAsker) end(within time.Duration) Ending {
	r, err := a.c.ReadReply(within)
	if err != nil {
		return Ending{Lost: true, Why: err.Error(), Took: time.Since(a.began)}
	}
	out := Ending{Why: r.Why, Lines: len(r.Lines), Took: time.Since(a.began)}
	switch r.Word {
	case traffic.ReplyOverloaded:
		out.Code = traffic.Rejected
	case traffic.ReplyFailed:
		out.Code = traffic.Failed
	}
	// What comes without a question is a second answer.
	a.c.SetReadDeadline(time.Now().Add(second)) //nolint:errcheck
	var b [1]byte
	n, err := a.c.Read(b[:])
	out.Twice = n > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed)
	return out
}
