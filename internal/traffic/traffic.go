// Package traffic defines the messages between the router's core and the protocols: what clients and engines send, and
// what is sent to them. The core uses only these types. Each protocol encodes and decodes them in a state machine for
// each connection, which does no I/O, reads no clock and makes no decisions. To add a protocol, write a package that
// implements Client or Engine and register it where the loop is set up; neither the core nor the decision module changes.
package traffic

import (
	"errors"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
)

// Batch is a batch as a client requested it. Whoever holds it releases its text.
type Batch struct {
	ID, Group, Client  string  // an empty ID is replaced by one that the core generates
	IdempotencyKey     string  // the same for all attempts of a deduplicated batch; empty: none
	TimeLeft           float64 // seconds that the client still waits; 0: the time limit of its group
	Cost, Memory       float64 // seconds of work and MB; 0: unknown
	OrderKey           uint64  // batches with the same key run in order; 0: none
	Login, Application string  // of the client's session, if the protocol has them
	NoIdempotencyKey   bool    // the protocol has no other place for a key: a batch of a deduplicated group counts as once-only
	Statement
}

// Statement is what an engine runs.
type Statement struct {
	Text         *buffers.Chain
	Database     string           // in which names of the text are resolved, if the engine has several
	SessionSetup string           // statements with the settings of the client's session, to be sent before the text on the same connection
	Parameters   []rows.Parameter // of the text, by name
	InlinedSize  int              // bytes of the text with the parameters written into it; 0: it has none
}

// ParameterBytes returns the number of bytes of the values of all parameters.
func (s *Statement) ParameterBytes() (size int) {
	for _, p := range s.Parameters {
		size += len(p.Value)
	}
	return size
}

// ClientMessage is a message from a client, decoded.
type ClientMessage interface{ clientMessage() }

// Messages from clients. Stream numbers a batch on its connection; the numbers increase.
type (
	// Hello says who the client is.
	Hello struct{ Name string }
	// BatchRequest asks for a batch to be run.
	BatchRequest struct {
		Stream uint32
		Batch  Batch
		Err    error // not nil: the request is complete, but its content can't be used
		// Dropped: the content was discarded as it arrived, for lack of memory, so the request can only be rejected.
		Dropped bool
	}
	// Cancel says that the client no longer waits for a batch.
	Cancel struct{ Stream uint32 }
	// ReadinessQuery asks whether the router is ready for batches.
	ReadinessQuery struct{ Stream uint32 }
	// InvalidMessage is a message that belongs to no batch and can't be used.
	InvalidMessage struct{ Stream uint32 }
	// HandledLocally stands for a message that the protocol has answered by itself.
	HandledLocally struct{}
	// Verify asks the event loop to call Run, which takes long, on another goroutine, and then Done with its error on the
	// event loop. Done returns the message that follows, and writes what the protocol sends to owed. The session reads
	// nothing until then.
	Verify struct {
		Run  func() error
		Done func(err error, owed *buffers.Chain) (ClientMessage, error)
	}
)

func (Hello) clientMessage()          {}
func (*BatchRequest) clientMessage()  {}
func (Cancel) clientMessage()         {}
func (ReadinessQuery) clientMessage() {}
func (InvalidMessage) clientMessage() {}
func (HandledLocally) clientMessage() {}
func (*Verify) clientMessage()        {}

// Code is how a batch ended for its client.
type Code uint8

// The codes. Their texts appear in logs under their earlier names.
const (
	Succeeded Code = iota // the result is returned
	Rejected              // not run; the client may send the batch again, after a delay if one is given
	Failed                // ended in an error, or it may have run and must not run twice
)

func (c Code) String() string { return [...]string{"returned", "pushed back", "errored"}[c] }

// ClientReply is a message to a client, not yet encoded.
type ClientReply interface{ clientReply() }

// Messages to clients. Whoever sends one releases its rows.
type (
	// Answer is the final answer to a batch.
	Answer struct {
		Stream     uint32
		Code       Code
		RetryAfter float64 // seconds after which the client may try again; 0: not said
		Reason     string  // of an error, if known
		Rows       []rows.Part
	}
	// Rows is a part of a streamed result. An Answer follows; if its code isn't Succeeded, the result is incomplete.
	Rows struct {
		Stream uint32
		Part   rows.Part
	}
	// Ready answers a ReadinessQuery.
	Ready struct {
		Stream uint32
		Yes    bool
	}
	// GoAway asks the client to send no new batch on this connection.
	GoAway struct{}
	// ConnectionError is an error that belongs to no batch.
	ConnectionError struct{ Reason string }
)

func (*Answer) clientReply()         {}
func (*Rows) clientReply()           {}
func (Ready) clientReply()           {}
func (GoAway) clientReply()          {}
func (ConnectionError) clientReply() {}

// Client is the protocol state of one connection to a client.
type Client interface {
	// Read decodes the next message from in; nil: there is no complete one. What the protocol sends by itself is written
	// to owed. After an error the connection can't be read any more.
	Read(in, owed *buffers.Chain) (ClientMessage, error)
	// HasPartial reports whether the state holds part of a message.
	HasPartial() bool
	// PartialSize returns the size in bytes of the incomplete message, of which in holds the part that was not read yet. Call
	// it only after Read has returned no message.
	PartialSize(in *buffers.Chain) int
	// DropPartial releases the incomplete message, of which in holds the part that was not read yet, and has the rest of it
	// discarded as it arrives. Once it has arrived, a request among such messages is rejected; the connection goes on as
	// before. It returns false if the protocol can't skip the message, so that only the end of the connection frees its
	// memory; no request is open on such a connection. Call it only after Read has returned no message, or with an empty in at
	// the end of the connection.
	DropPartial(in *buffers.Chain) bool
	// Encode writes a reply to out.
	Encode(out *buffers.Chain, reply ClientReply)
}

// ClientProtocol describes a client protocol to the core.
type ClientProtocol struct {
	Name           string
	IdleTimeout    float64 // seconds for which an idle connection is kept
	MaxResultBytes int     // largest result that the protocol can carry; 0: any, in parts
	MaxOpenBatches int     // on one connection
	Stream         bool    // rows may be sent before the result is complete
	// ConvertResult converts a complete result to the form that the protocol carries. If it returns other parts than it
	// was given, it releases the given ones.
	ConvertResult func([]rows.Part) ([]rows.Part, error)
	// New returns the state of a new connection.
	New func() Client
}

// EngineCommand is a message to an engine, not yet encoded.
type EngineCommand interface{ engineCommand() }

// Messages to engines. IDs are of dispatches.
type (
	// Dispatch asks the engine to run a statement.
	Dispatch struct {
		ID, Group, IdempotencyKey string
		Wait, Memory              float64 // seconds until the answer is due, MB
		Statement
	}
	// CancelDispatch says that the result of a dispatch is no longer wanted.
	CancelDispatch struct{ ID string }
	// FetchPage asks for a page of a result.
	FetchPage struct {
		ID   string
		Page int
	}
	// CloseResult says that no more pages of a result are wanted.
	CloseResult struct{ ID string }
	// Probe asks whether the engine is healthy.
	Probe struct {
		Tag      string
		WantLoad bool // asks for a load report too
	}
)

func (*Dispatch) engineCommand()      {}
func (CancelDispatch) engineCommand() {}
func (FetchPage) engineCommand()      {}
func (CloseResult) engineCommand()    {}
func (Probe) engineCommand()          {}

// ReplyKind says what a reply of an engine means.
type ReplyKind uint8

// The kinds of replies.
const (
	ReplyUnknown    ReplyKind = iota
	ReplyFirstPage            // the first page of a result, with the number of pages
	ReplyPage                 // a further page
	ReplyRows                 // rows of a streamed result
	ReplyComplete             // a streamed result is complete
	ReplyOverloaded           // rejected for lack of capacity: the dispatch has not run
	ReplyTooLate              // rejected: too late to start the dispatch
	ReplyFailed               // the dispatch ended in an error
	ReplyProgress             // a progress note
	ReplyHealthy              // answer to a probe
	ReplyUnhealthy            // answer to a probe
	ReplyReady                // the connection takes dispatches
	ReplyReleased             // a cancelled dispatch has ended, and its connection is free again
)

// EngineReply is a message from an engine, decoded. Whoever holds it releases its rows. Numbers that the engine did not
// report are below 0, texts empty.
type EngineReply struct {
	ID           string
	Kind         ReplyKind
	Pages, Page  int
	Work, Memory float64 // seconds, MB
	Load         *brain.Report
	Note         brain.Update
	Level        float64 // the figure that comes with the note
	Rows         rows.Part
	Reason       string // of an error, for the client
	Invalid      string // why neither the reply nor anything after it on the connection can be used; empty: it can
}

// ErrLogin is the error of Engine.Read if the engine refuses the router's login.
var ErrLogin = errors.New("login refused")

// Engine is the protocol state of one connection to an engine.
type Engine interface {
	// Open writes the first message to out. It returns true if the connection takes dispatches without an answer to it.
	Open(out *buffers.Chain) (up bool)
	// Read decodes the next reply from in; nil: there is no complete one. What the protocol sends by itself is written to
	// owed. After an error the connection can't be read any more.
	Read(in, owed *buffers.Chain) (*EngineReply, error)
	// Encode writes a command to out.
	Encode(out *buffers.Chain, command EngineCommand)
}

// EngineProtocol describes an engine protocol to the core.
type EngineProtocol struct {
	Name string
	// OneAtATime: a connection carries one dispatch at a time, and a cancelled one occupies it until ReplyReleased.
	OneAtATime bool
	// BoundedResult: a result counts only when it is complete, and its size is bounded by the platform's limit.
	BoundedResult bool
	Pausable      bool // reading may pause until a slow client has read what was sent to it
	// MaxInlinedBytes is the largest statement with its parameters written into the text, for a protocol that carries no
	// parameters; 0: the protocol carries them.
	MaxInlinedBytes int
	// New returns the state of a new connection.
	New func() Engine
}
