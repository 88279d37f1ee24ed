// Command simhost runs routers against the simulator: it reads event frames from standard input and writes action
// frames to standard output. Each event becomes a call of the decision module and each decision becomes an action; the
// command itself makes no decisions.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"

	"pitchfield/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers frames until the input ends. Each reply is flushed before the next frame is read, so that the two sides can
// take turns.
func serve(stdin io.Reader, stdout io.Writer) error {
	in, out := bufio.NewReaderSize(stdin, 1<<16), bufio.NewWriterSize(stdout, 1<<16)
	h := &host{routers: map[uint16]*router{}, pages: map[uint32][]simwire.Entry{}}
	var raw bytes.Buffer
	for {
		frame, err := simwire.ReadFrame(in, &raw)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleFrame(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
