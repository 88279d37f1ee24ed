// Command simhost plays routers on the simulator's wire: it turns each record straight into a call on the
// decision module and each decision straight into a message. It decides nothing.
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
