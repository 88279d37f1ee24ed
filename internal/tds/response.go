package tds

import (
	"fmt"
	"math"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// response is the state of the response that is being written.
type response struct {
	isRPC    bool
	handle   int32         // prepared statement handle to return; 0: none
	columns  []rows.Column // of the open result set; nil: none is open
	rowCount uint64
}

// respond writes a whole response; fill appends its tokens.
func (s *Session) respond(out *buffers.Chain, fill func([]byte) []byte) {
	s.beginResponse()
	s.out.buf = fill(s.out.buf)
	s.out.endMessage(out)
}

// beginResponse starts a response message in the output buffer. If the client has requested a reset of the connection that no
// response has acknowledged yet, it appends the ENVCHANGE token that acknowledges it.
func (s *Session) beginResponse() {
	s.out.beginMessage()
	if s.resetUnacknowledged {
		s.resetUnacknowledged = false
		s.out.buf = append(s.out.buf, tokenEnvChange, 3, 0, envResetConnection, 0, 0)
	}
}

// sendError answers the request with an error. The session stays open.
func (s *Session) sendError(out *buffers.Chain, m Message) traffic.ClientMessage {
	s.respond(out, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.server.Name), s.finalDoneToken(), doneError, 0)
	})
	s.response = response{}
	return traffic.HandledLocally{}
}

// finalDoneToken returns the DONE token that ends the current response.
func (s *Session) finalDoneToken() byte {
	if s.response.isRPC {
		return tokenDoneProc
	}
	return tokenDone
}

// sendFatalError sends an error and closes the session. It returns the error.
func (s *Session) sendFatalError(out *buffers.Chain, m Message) (traffic.ClientMessage, error) {
	s.respond(out, func(b []byte) []byte {
		return appendDone(appendMessage(b, tokenError, m, s.server.Name), tokenDone, doneError, 0)
	})
	s.state = closed
	return nil, m
}

// Encode writes rows, a batch's outcome or a connection error to the client. Rows and outcomes of batches that are no
// longer pending are ignored.
func (s *Session) Encode(out *buffers.Chain, what traffic.ClientReply) {
	switch w := what.(type) {
	case *traffic.Rows:
		if s.pending && w.Stream == s.stream {
			s.writeRows(out, w.Part)
		}
	case *traffic.Answer:
		if !s.pending || w.Stream != s.stream {
			return
		}
		s.pending = false
		if w.Code == traffic.Succeeded {
			for _, p := range w.Rows {
				s.writeRows(out, p)
			}
			if len(w.Rows) == 0 && s.response.columns == nil {
				s.beginResponse()
			}
			s.finishResponse(out)
			return
		}
		s.beginResponse()
		s.out.buf = appendDone(appendMessage(s.out.buf, tokenError, failureMessage(w), s.server.Name), s.finalDoneToken(), doneError, 0)
		s.out.endMessage(out)
		s.response = response{}
	case traffic.ConnectionError:
		if s.state != closed {
			s.state = closed
			s.out.buf = appendMessage(s.out.buf, tokenError, Message{50500, 1, 20, "pitchfield: " + w.Reason + "."}, s.server.Name)
			s.out.buf = appendDone(s.out.buf, tokenDone, doneError|doneServerError, 0)
			s.out.endMessage(out)
		}
	}
}

// Error numbers that report the outcome of a batch to the client.
const (
	ErrorNumberRejected = 40501 // rejected; drivers treat this number as transient and retry
	ErrorNumberFailed   = 50510 // failed; it may have run
)

// failureMessage returns the error that reports a rejected or failed batch. A rejection guarantees that the batch has not
// run and is safe to retry; a failure guarantees nothing.
func failureMessage(a *traffic.Answer) Message {
	if a.Code == traffic.Rejected {
		m := Message{ErrorNumberRejected, 1, 16, "The service is currently busy: the batch is pushed back, and to ask again is harmless."}
		if a.RetryAfter > 0 {
			m.Text += fmt.Sprintf(" Retry the request after %d ms.", int(math.Ceil(a.RetryAfter*1000)))
		}
		return m
	}
	m := Message{ErrorNumberFailed, 1, 16, "pitchfield: the batch is errored, and whether it has run is not known."}
	if a.Reason != "" {
		m.Text += " " + a.Reason
	}
	return m
}

// writeRows writes part of a result set, or the count of changed rows. Bytes that do not fill a packet stay in the
// buffer.
func (s *Session) writeRows(out *buffers.Chain, p rows.Part) {
	if p.Columns != nil {
		s.endResult(doneMore)
		s.beginResponse()
		s.response.columns, s.response.rowCount = p.Columns, 0
		s.out.buf = appendColMetadata(s.out.buf, p.Columns)
	} else if p.Data == nil && p.Count > 0 && s.response.columns == nil { // a count of changed rows
		s.out.buf = appendDone(s.out.buf, s.innerDoneToken(), doneMore|doneCount, uint64(p.Count))
		return
	}
	// The error is ignored: rows that do not match their columns were rejected when they were received.
	_ = rows.Each(p, len(s.response.columns), func(row [][]byte) error {
		s.out.buf = appendRow(s.out.buf, s.response.columns, row)
		s.response.rowCount++
		if len(s.out.buf) > s.out.packetSize {
			s.out.flushFull(out)
		}
		return nil
	})
}

// innerDoneToken returns the DONE token that ends a result set within a response.
func (s *Session) innerDoneToken() byte {
	if s.response.isRPC {
		return tokenDoneInProc
	}
	return tokenDone
}

// endResult writes the DONE of the open result set, if there is one.
func (s *Session) endResult(status int) {
	if s.response.columns != nil {
		s.out.buf = appendDone(s.out.buf, s.innerDoneToken(), status|doneCount, s.response.rowCount)
		s.response.columns = nil
	}
}

// finishResponse ends a successful response.
func (s *Session) finishResponse(out *buffers.Chain) {
	switch {
	case s.response.isRPC:
		s.endResult(doneMore)
		s.out.buf = appendU32(append(s.out.buf, tokenReturnStatus), 0)
		if s.response.handle != 0 {
			s.out.buf = append(appendU16(append(s.out.buf, tokenReturnValue), 0), 0, 1, 0, 0, 0, 0, 0, 0)
			t := rows.Type{Kind: rows.Int32}
			s.out.buf = appendValue(appendType(s.out.buf, t), t, appendU32(nil, uint32(s.response.handle)))
		}
		s.out.buf = appendDone(s.out.buf, tokenDoneProc, 0, 0)
	case s.response.columns != nil:
		s.endResult(0)
	default:
		s.out.buf = appendDone(s.out.buf, tokenDone, 0, 0)
	}
	s.out.endMessage(out)
	s.response = response{}
}
