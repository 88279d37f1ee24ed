// Package traffic holds the words between the router's core and the protocols: what clients and engines say, and what
// they are told. The core knows these alone; each protocol turns them to bytes and back in a state machine for each
// connection, without input or output, clock or decision. A further protocol is a package that implements Client or
// Engine and a line in the loop's table; it touches no file of the core or of the decision module.
package traffic

import (
	"errors"

	"pitchfield/brain"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
)

// Batch is one as a client asked for it. Its text is the holder's to release.
type Batch struct {
	ID, Group, Client, IdempotencyKey string  // ID empty: the core draws one. Mark: the same for all tries of a referenced batch
	TimeLeft                          float64 // seconds that the client still waits; 0: as long as its group's time limit
	Cost, Memory                      float64 // seconds of work and MB; 0: not told
	OrderKey                          uint64  // 0: none
	Login, Application                string  // of its session, where the protocol has them
	NoIdempotencyKey                  bool    // its protocol has no other place for one: a referenced batch counts as once-only
	Statement
}

// Statement is what an engine runs.
type Statement struct {
	Text         *buffers.Chain
	Database     string           // where its names stand, if its engine has several
	SessionSetup string           // settings of the client's session, to be sent ahead on the same connection
	Parameters   []rows.Parameter // of the text, by name
}

// ClientMessage is one thing that a client said.
type ClientMessage interface{ clientMessage() }

// What clients say. Stream numbers a batch on its connection; numbers count up.
type (
	Hello        struct{ Name string } // it has introduced itself
	BatchRequest struct {
		Stream uint32
		Batch  Batch
		Err    error // it is whole, but what is in it can't be used
	}
	Cancel         struct{ Stream uint32 } // it has stopped waiting
	ReadinessQuery struct{ Stream uint32 }
	InvalidMessage struct{ Stream uint32 } // it belongs to no batch and can't be used
	HandledLocally struct{}                // it said what its protocol has answered by itself
	// Verify asks its host to run something that takes long beside the loop, and to do the rest when that has ended. The
	// session reads nothing until then.
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

// The codes.
const (
	Succeeded Code = iota
	Rejected
	Failed
)

func (c Code) String() string { return [...]string{"returned", "pushed back", "errored"}[c] }

// ClientReply is one thing that a client is told.
type ClientReply interface{ clientReply() }

// What clients are told. Rows are the doer's to release.
type (
	Answer struct { // the final one
		Stream     uint32
		Code       Code
		RetryAfter float64 // seconds after which to come back; 0: no advice
		Reason     string  // of an error, where something is known of it
		Rows       []rows.Part
	}
	Rows struct { // some of the result; an answer follows, and if it isn't Returned the result is cut
		Stream uint32
		Part   rows.Part
	}
	Ready struct {
		Stream uint32
		Yes    bool
	}
	GoAway          struct{}                // no new batch on this connection, please
	ConnectionError struct{ Reason string } // an error that belongs to no batch
)

func (*Answer) clientReply()         {}
func (*Rows) clientReply()           {}
func (Ready) clientReply()           {}
func (GoAway) clientReply()          {}
func (ConnectionError) clientReply() {}

// Client is the state machine of one connection of a client.
type Client interface {
	// Read gives the next thing said; nil: nothing more is whole. What the protocol owes by itself goes to owed. After
	// an error nothing more can be read.
	Read(in, owed *buffers.Chain) (ClientMessage, error)
	// Half tells whether it holds part of a message.
	HasPartial() bool
	// Tell turns what is told to bytes.
	Encode(out *buffers.Chain, what ClientReply)
}

// ClientProtocol is what the core must know of a protocol of clients.
type ClientProtocol struct {
	Name           string
	IdleTimeout    float64 // seconds that an idle connection is kept
	MaxResultBytes int     // bytes of a result that it can carry; 0: any, in parts
	MaxOpenBatches int     // batches on one connection
	Stream         bool    // rows may go out before the result is whole
	// Express gives a whole result in the form that the protocol carries, or why it can't. What it was given is
	// released where it gives others.
	ConvertResult func([]rows.Part) ([]rows.Part, error)
	New           func() Client
}

// EngineCommand is one thing that an engine is told.
type EngineCommand interface{ engineCommand() }

// What engines are told.
type (
	Dispatch struct {
		ID, Group, IdempotencyKey string
		Wait, Memory              float64 // seconds, MB
		Statement
	}
	CancelDispatch struct{ ID string }
	FetchPage      struct {
		ID   string
		Page int
	}
	CloseResult struct{ ID string } // no more pages are wanted
	Probe       struct {
		Tag      string
		WantLoad bool // with its load report
	}
)

func (*Dispatch) engineCommand()      {}
func (CancelDispatch) engineCommand() {}
func (FetchPage) engineCommand()      {}
func (CloseResult) engineCommand()    {}
func (Probe) engineCommand()          {}

// ReplyKind says what an answer of an engine is.
type ReplyKind uint8

// The words.
const (
	ReplyUnknown    ReplyKind = iota
	ReplyFirstPage            // the result's first page, and how many there are
	ReplyPage                 // a further page
	ReplyRows                 // rows of a result that comes in parts
	ReplyComplete             // that result is whole
	ReplyOverloaded           // turned away: it has not run
	ReplyTooLate              // turned away: too late to be begun
	ReplyFailed               // it ended in an error
	ReplyProgress             // a note of progress
	ReplyHealthy
	ReplyUnhealthy
	ReplyReady    // the connection takes dispatches
	ReplyReleased // what was given up on it is over
)

// EngineReply is one answer of an engine. Its rows are the holder's to release. What is absent is below 0, or empty.
type EngineReply struct {
	ID           string
	Kind         ReplyKind
	Pages, Page  int
	Work, Memory float64 // seconds, MB
	Load         *brain.Report
	Note         brain.Update
	Level        float64
	Rows         rows.Part
	Reason       string // of an error, for the client
	Invalid      string // why it can't be passed on, nor what follows it; empty: it can
}

// ErrLogin says that an engine does not let the router in.
var ErrLogin = errors.New("login refused")

// Engine is the state machine of one connection to an engine.
type Engine interface {
	// Open says what goes first; a protocol that needs no answer to it is up at once.
	Open(out *buffers.Chain) (up bool)
	// Read gives the next reply; nil: nothing more is whole. After an error nothing more can be read.
	Read(in, owed *buffers.Chain) (*EngineReply, error)
	// Order turns an order to bytes.
	Encode(out *buffers.Chain, what EngineCommand)
}

// EngineProtocol is what the core must know of a protocol of engines.
type EngineProtocol struct {
	Name string
	// Alone: one at a time on a connection, and what was given up holds it until Free comes.
	OneAtATime bool
	// Bounded: a result is whole before it counts, and no larger than the platform lets it be.
	BoundedResult bool
	Pausable      bool // reading may pause, while a slow client catches up
	New           func() Engine
}
