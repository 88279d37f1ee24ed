package main

import (
	"fmt"
	"net"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/standin"
	"pitchfield/internal/tds"
	"pitchfield/internal/traffic"
)

// tdsEngine is an engine that speaks TDS and runs one batch after the other on a connection. It lets every login in.
type tdsEngine struct {
	net.Listener
	name string
	// answer runs a batch and returns the answer; change, if not nil, changes its bytes.
	answer func(e *tdsEngine, text string) (part *rows.Part, code traffic.Code, change func([]byte) []byte)
}

// startTDSEngines starts the name service and some of these engines, named tds-1 and so on.
func (w *world) startTDSEngines(count int, answer func(e *tdsEngine, text string) (*rows.Part, traffic.Code, func([]byte) []byte)) (err error) {
	if w.names, err = standin.NewNameService("127.0.0.1:0"); err != nil {
		return err
	}
	var hosts []standin.Host
	for i := range count {
		e := &tdsEngine{name: fmt.Sprintf("tds-%d", i+1), answer: answer}
		if e.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
		go e.run()
		hosts = append(hosts, standin.Host{ID: e.name, Zone: "hall", Kind: "std", Address: e.Addr().String()})
	}
	w.names.Set(hosts...)
	return nil
}

// run accepts connections until the process ends.
func (e *tdsEngine) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *tdsEngine) serve(c net.Conn) {
	defer c.Close()
	pool := &buffers.Pool{}
	rules := &assign.Rules{Default: &assign.BatchProperties{Group: "any"}}
	front := &tds.Server{Pool: pool, Name: e.name, Authenticate: func(string, string) (string, error) { return "", nil },
		Rules: func() *assign.Rules { return rules }}
	session := front.NewSession()
	in, out, buffer := pool.Chain(), pool.Chain(), make([]byte, 16<<10)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		in.Write(buffer[:n])
		for {
			event, err := session.Read(in, out)
			if verify, ok := event.(*traffic.Verify); ok {
				event, err = verify.Done(verify.Run(), out)
			}
			c.Write(out.Bytes()) //nolint:errcheck
			out.Release()
			if err != nil {
				return
			}
			if event == nil {
				break
			}
			request, ok := event.(*traffic.BatchRequest)
			if !ok {
				continue
			}
			text := request.Batch.Text.String()
			request.Batch.Text.Release()
			part, code, change := e.answer(e, text)
			if part != nil {
				session.Encode(out, &traffic.Rows{Stream: request.Stream, Part: *part})
				part.Release()
			}
			session.Encode(out, &traffic.Answer{Stream: request.Stream, Code: code})
			answer := out.Bytes()
			out.Release()
			if change != nil {
				answer = change(answer)
			}
			c.Write(answer) //nolint:errcheck
		}
	}
}

// textRows returns a result with three columns of text, so that clients of both protocols can be given it.
func textRows(count int, row func(i int) [3]string) *rows.Part {
	text := rows.Type{Kind: rows.Text, Size: 40}
	part := &rows.Part{Encoding: rows.Values, Data: (&buffers.Pool{}).Chain(), Columns: []rows.Column{{Name: "line", Type: text}, {Name: "of", Type: text}, {Name: "note", Type: text}}}
	for i := range count {
		for _, v := range row(i) {
			rows.AppendValue(part.Data, []byte(v))
		}
	}
	return part
}
