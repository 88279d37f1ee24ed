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

// Batch is a request of a client of either protocol. Key and Mark are optional.
type Batch struct {
	Group, Key, Mark, Text string
	TimeLimit              time.Duration
}

// Outcome is the result of a batch as its client saw it.
type Outcome struct {
	Code      traffic.Code
	Lost      bool // no final answer arrived, or the connection ended first
	Duplicate bool // a second answer arrived
	Reason    string
	Lines     int // number of lines in the result
	Elapsed   time.Duration
}

// String returns the name under which the fault script counts the outcome.
func (e Outcome) String() string {
	switch {
	case e.Duplicate:
		return "twice"
	case e.Lost:
		return "lost"
	}
	return e.Code.String()
}

// batchClient is a client's connection. It carries one batch at a time and is not safe for concurrent use.
type batchClient interface {
	send(Batch) error
	awaitOutcome(within time.Duration) Outcome
	cancel() error // cancels the open batch and keeps the connection
	io.Closer
}

const (
	replyMargin         = 2 * time.Second       // wait for an answer beyond the batch's time limit
	duplicateAnswerWait = 30 * time.Millisecond // wait for an erroneous second answer
)

// dial connects to the router with the given client protocol.
func dial(protocol string, env *Environment) (batchClient, error) {
	if protocol == "tds" {
		c, err := standin.DialTDS(env.TDSAddress, User, Password, Database, readyTimeout)
		if err != nil {
			return nil, err
		}
		return &tdsClient{connection: c}, nil
	}
	c, err := standin.Dial(env.FrameAddress)
	if err != nil {
		return nil, err
	}
	return &frameClient{connection: c}, nil
}

// runBatch runs one batch on a new connection.
func runBatch(protocol string, env *Environment, batch Batch) Outcome {
	c, err := dial(protocol, env)
	if err != nil {
		return Outcome{Lost: true, Reason: err.Error()}
	}
	return runBatchOn(c, batch)
}

// runBatchOn runs one batch on an open connection and closes it.
func runBatchOn(c batchClient, batch Batch) Outcome {
	defer c.Close()
	if err := c.send(batch); err != nil {
		return Outcome{Lost: true, Reason: err.Error()}
	}
	return c.awaitOutcome(batch.TimeLimit + replyMargin)
}

// frameClient is a batchClient of the frame protocol.
type frameClient struct {
	connection *standin.Client
	stream     uint32
	sentAt     time.Time
}

// nextFrameID is the last batch ID given out; the counter is shared, so that no two batches of a process have the same ID.
var nextFrameID atomic.Uint64

func (a *frameClient) send(batch Batch) error {
	a.stream++
	a.sentAt = time.Now()
	fields := []string{"c", batch.Group, "i", fmt.Sprintf("%016x", nextFrameID.Add(1)), "d", fmt.Sprint(batch.TimeLimit.Milliseconds())}
	if batch.Key != "" {
		fields = append(fields, "o", batch.Key)
	}
	if batch.Mark != "" {
		fields = append(fields, "k", batch.Mark)
	}
	_, err := a.connection.Write(standin.EncodeFrame(10, a.stream, fields, batch.Text+" --key="+batch.Key))
	return err
}

func (a *frameClient) cancel() error {
	_, err := a.connection.Write(standin.EncodeFrame(12, a.stream, nil, ""))
	return err
}

func (a *frameClient) Close() error { return a.connection.Close() }

func (a *frameClient) awaitOutcome(within time.Duration) (out Outcome) {
	for {
		f, err := a.connection.ReadFrame(within)
		if err != nil {
			return Outcome{Lost: true, Reason: err.Error(), Elapsed: time.Since(a.sentAt)}
		}
		if f.Type != 11 {
			continue
		}
		out = Outcome{Code: map[uint8]traffic.Code{0: traffic.Succeeded, 11: traffic.Rejected, 5: traffic.Failed}[f.Code],
			Elapsed: time.Since(a.sentAt)}
		for _, c := range f.Body {
			if c == '\n' {
				out.Lines++
			}
		}
		break
	}
	for { // a closed connection or any frame other than an answer is no second answer
		f, err := a.connection.ReadFrame(duplicateAnswerWait)
		if err != nil {
			return out
		}
		out.Duplicate = out.Duplicate || f.Type == 11
	}
}

// tdsClient is a batchClient of TDS.
type tdsClient struct {
	connection *standin.TDSClient
	sentAt     time.Time
}

func (a *tdsClient) send(batch Batch) error {
	a.sentAt = time.Now()
	header := "/* pitchfield group=" + batch.Group
	if batch.Key != "" {
		header += " key=" + batch.Key
	}
	if batch.Mark != "" {
		header += " mark=" + batch.Mark
	}
	return a.connection.Send(fmt.Sprintf("%s limit=%s */ %s --key=%s", header, batch.TimeLimit, batch.Text, batch.Key))
}

func (a *tdsClient) cancel() error { return a.connection.Cancel(readyTimeout) }

func (a *tdsClient) Close() error { return a.connection.Close() }

func (a *tdsClient) awaitOutcome(within time.Duration) Outcome {
	r, err := a.connection.ReadReply(within)
	if err != nil {
		return Outcome{Lost: true, Reason: err.Error(), Elapsed: time.Since(a.sentAt)}
	}
	out := Outcome{Reason: r.Why, Lines: len(r.Lines), Elapsed: time.Since(a.sentAt)}
	switch r.Word {
	case traffic.ReplyOverloaded:
		out.Code = traffic.Rejected
	case traffic.ReplyFailed:
		out.Code = traffic.Failed
	}
	// Data that arrives without a request is a second answer.
	a.connection.SetReadDeadline(time.Now().Add(duplicateAnswerWait)) //nolint:errcheck
	var b [1]byte
	n, err := a.connection.Read(b[:])
	out.Duplicate = n > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed)
	return out
}
