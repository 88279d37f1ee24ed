package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

const (
	wholeRows = 100 // rows of each result
	shortRows = 60  // rows of a result that stops short
	doneSize  = 13  // bytes of a DONE token
)

// withoutDone removes the DONE token, with which every response has to end ([MS-TDS], "DONE"), from the last packet of a response.
func withoutDone(answer []byte) []byte {
	last := 0
	for at := 0; at < len(answer); at += int(binary.BigEndian.Uint16(answer[at+2:])) {
		last = at
	}
	answer = answer[:len(answer)-doneSize]
	binary.BigEndian.PutUint16(answer[last+2:], uint16(len(answer)-last))
	return answer
}

// tail keeps the last bytes that were read from a connection.
type tail struct {
	net.Conn
	last []byte
}

func (t *tail) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.last = append(t.last, p[:n]...)
	t.last = t.last[max(0, len(t.last)-doneSize):]
	return n, err //nolint:wrapcheck
}

// saysDone reports whether the response that was read last ends with a DONE token that tells neither an error nor further results:
// the client then takes it for whole.
func (t *tail) saysDone() bool {
	if len(t.last) < doneSize || t.last[0] != 0xFD {
		return false
	}
	const moreOrError = 0x001 | 0x002 | 0x100
	return binary.LittleEndian.Uint16(t.last[1:])&moreOrError == 0
}

// short: one in ten answers of TDS engines stops short. What is passed on of it has failed, and the client has to be able to tell.
func short(w *world) (string, error) {
	var count, shorted atomic.Int64
	err := w.startTDSEngines(3, func(_ *tdsEngine, text string) (*rows.Part, traffic.Code, func([]byte) []byte) {
		time.Sleep(20 * time.Millisecond)
		row := func(i int) [3]string { return [3]string{fmt.Sprint(i + 1), fmt.Sprint(wholeRows), "a note"} }
		number := count.Add(1)
		if !w.trouble || number%10 != 0 {
			return textRows(wholeRows, row), traffic.Succeeded, nil
		}
		shorted.Add(1)
		w.notef("answer %d stops short after %d of %d rows: %s", number, shortRows, wholeRows, strings.TrimSpace(text))
		return textRows(shortRows, row), traffic.Succeeded, withoutDone
	})
	if err != nil {
		return "", err
	}
	r, err := w.newRouter(0, 1, 96, 512, func(r *routerProcess) (string, error) { return tdsSettings(r.tds, 10) })
	if err != nil {
		return "", err
	}
	if err := w.start(r); err != nil {
		return "", err
	}
	var whole, cut, failed, wrong atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for i := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := standin.DialTDS(r.tds, user, password, "", 5*time.Second)
			if err != nil {
				w.notef("client %d: %v", i, err)
				return
			}
			defer c.Close()
			read := &tail{Conn: c.Conn}
			c.Conn = read
			for n := 1; time.Now().Before(end); n++ {
				if c.Send(fmt.Sprintf("SELECT line, of, note FROM sales_17.orders -- client %d, statement %d", i, n)) != nil {
					return
				}
				reply, err := c.ReadReply(6 * time.Second)
				switch {
				case err != nil:
					w.notef("client %d, statement %d: %v", i, n, err)
					return
				case reply.Word == traffic.ReplyComplete && len(reply.Lines) == wholeRows:
					whole.Add(1)
				case reply.Word == traffic.ReplyComplete && read.saysDone():
					wrong.Add(1)
					w.notef("client %d, statement %d: served, with %d of %d rows, no error, and a DONE that tells %d rows", i, n, len(reply.Lines), wholeRows,
						binary.LittleEndian.Uint64(read.last[5:]))
				case len(reply.Lines) > 0:
					cut.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for i := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := standin.Dial(r.frames)
			if err != nil {
				w.notef("frames client %d: %v", i, err)
				return
			}
			defer c.Close()
			for n := 1; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%016x", rand.Uint64())
				if c.SendBatch(uint32(n), "lookup", id, 4*time.Second, fmt.Sprintf("SELECT line, of, note FROM sales_17.orders -- frames client %d, statement %d", i, n)) != nil {
					return
				}
				answer, err := c.ReadFrame(5 * time.Second)
				got := strings.Count(answer.Body, "\n")
				switch {
				case err != nil:
					w.notef("frames client %d, statement %d: %v", i, n, err)
					return
				case answer.Code == 0 && got == wholeRows:
					whole.Add(1)
				case answer.Code == 0:
					wrong.Add(1)
					w.notef("frames client %d, statement %d: served, with %d of %d rows", i, n, got, wholeRows)
				default:
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	w.notef("%d answers of engines, %d of them stopped short; clients got %d whole results, %d cut with an error, %d errors or refusals, %d cut without an error",
		count.Load(), shorted.Load(), whole.Load(), cut.Load(), failed.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return fmt.Sprintf("%d results were passed on as served although rows were missing, and the clients can't tell", wrong.Load()), nil
	}
	if whole.Load() == 0 {
		return "", fmt.Errorf("no result was served")
	}
	return "", nil
}
