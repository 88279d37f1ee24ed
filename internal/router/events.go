package router

import (
	"pitchfield/internal/buffers"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/levels"
	"pitchfield/internal/limits"
	"pitchfield/internal/membership"
	"pitchfield/internal/news"
	"pitchfield/internal/shares"
	"pitchfield/internal/traffic"
)

// Event is something that has happened. The buffer chains in it belong to the router once it is passed to Reduce.
type Event interface{ event() }

// The events. Client connections are numbered by the host that accepts them, engine connections by the router.
type (
	// ClientOpened reports a new client connection.
	ClientOpened struct {
		Client   uint64
		Protocol *traffic.ClientProtocol
	}
	// ClientMessage reports a complete message of a client.
	ClientMessage struct {
		Client  uint64
		Message traffic.ClientMessage
	}
	// ClientMessageStarted reports that a part of a client's message has arrived, after complete ones if there were any.
	ClientMessageStarted struct{ Client uint64 }
	// ClientInvalid reports that a client sent something that can't be read, and that nothing after it can be read either.
	ClientInvalid struct{ Client uint64 }
	// ClientUnread reports that the bytes that a client has not read have exceeded a limit (Full) or are below it again.
	ClientUnread struct {
		Client uint64
		Full   bool
	}
	// ClientEnded reports the end of a client connection.
	ClientEnded struct {
		Client uint64
		End    CloseReason
	}
	// EngineOpened reports that an engine connection that the router asked for is up.
	EngineOpened struct{ Connection uint64 }
	// EngineReplied reports a complete reply of an engine.
	EngineReplied struct {
		Connection uint64
		Reply      *traffic.EngineReply
	}
	// EngineWritable reports that everything written to an engine connection has left, after an order was refused with
	// OrderUnread.
	EngineWritable struct{ Connection uint64 }
	// EngineReplyStarted reports that a part of an engine's reply has arrived, after complete ones if there were any.
	EngineReplyStarted struct{ Connection uint64 }
	// EngineEnded reports the end of an engine connection, or that it could not be opened.
	EngineEnded struct {
		Connection uint64
		End        CloseReason
	}
	// ListAnswered reports an engine list from the name service.
	ListAnswered struct {
		QueryID uint16
		List    directory.List
	}
	// ListUnusable reports an answer of the name service that can't be read.
	ListUnusable struct{ QueryID uint16 }
	// TimerFired reports that the time of the last SetTimer has come.
	TimerFired struct{}
	// TurnEnded ends a turn of the event loop: everything that arrived together has been reported.
	TurnEnded struct{}
	// StopAsked asks the router to stop.
	StopAsked struct{}
	// Reloaded brings a configuration that was read again from its file and is valid.
	Reloaded struct{ Config config.Config }
	// RoutesSet sets the operator's limits for the batches that are accepted from now on.
	RoutesSet struct {
		Routes            *limits.Table
		Adaptive          limits.AdaptiveSettings // limits the dispatches outstanding at each engine
		RetryBudget       *limits.RetryBudget     // for the retries of all batches; nil: none
		EngineRetryBudget *limits.RetryBudget     // for the retries to each engine; nil: none
	}
	// PeerMessagingSet starts peer messaging with the other routers.
	PeerMessagingSet struct {
		Settings    membership.Settings
		Quotas      *shares.Settings // to divide fleet-wide budgets among the routers; nil: off
		LoadReports *news.Settings   // to exchange load reports; nil: off
	}
	// PeerMessageReceived brings a message of another router of the fleet. It is validated.
	PeerMessageReceived struct {
		Message     *membership.Message
		Quotas      *shares.Message // sent with it; nil: none
		LoadReports *news.Message   // sent with it; nil: none
	}
	// OrderRefused reports that the host did not write an order; not a byte of it has left.
	OrderRefused struct {
		Connection uint64
		ID         string
		Why        Refusal
	}
	// LevelsSet sets the levels of reduced service.
	LevelsSet struct {
		Levels    levels.Settings
		DecayTime float64 // seconds over which measurements decay
	}
)

func (ClientOpened) event()         {}
func (ClientMessage) event()        {}
func (ClientMessageStarted) event() {}
func (ClientInvalid) event()        {}
func (ClientUnread) event()         {}
func (ClientEnded) event()          {}
func (EngineOpened) event()         {}
func (EngineReplied) event()        {}
func (EngineReplyStarted) event()   {}
func (EngineWritable) event()       {}
func (EngineEnded) event()          {}
func (ListAnswered) event()         {}
func (ListUnusable) event()         {}
func (TimerFired) event()           {}
func (TurnEnded) event()            {}
func (StopAsked) event()            {}
func (Reloaded) event()             {}
func (LevelsSet) event()            {}
func (RoutesSet) event()            {}
func (PeerMessagingSet) event()     {}
func (PeerMessageReceived) event()  {}
func (OrderRefused) event()         {}

// Origin is the client request that an attempt belongs to.
type Origin struct {
	Client   uint64 // number of the client connection
	Stream   uint32
	OnceOnly bool // the request must not take effect twice
	Single   bool // at most one attempt may be outstanding
}

// Refusal is why an order was not written.
type Refusal uint8

// The refusals.
const (
	OrderLate       Refusal = iota // its time limit for writing has passed, for example because the process was paused
	OrderUnread                    // the engine has not read earlier bytes; EngineWritable reports when it has
	OrderClientGone                // its client has just gone
	OrderInvalid                   // it would have violated an invariant
)

// Effect is something that the host must do; effects are carried out in order. Rows and buffer chains in it belong to the
// host from then on, except the text of a dispatch, which stays valid until its Release.
type Effect interface{ effect() }

// The effects.
type (
	// SendToClient sends a message to a client.
	SendToClient struct {
		Client  uint64
		Message traffic.ClientReply
	}
	// CloseClient closes a client connection.
	CloseClient struct {
		Client uint64
		End    CloseReason
	}
	// Dial opens an engine connection.
	Dial struct {
		Connection uint64
		Address    string
		Timeout    float64 // seconds
		Protocol   *traffic.EngineProtocol
	}
	// SendToEngine writes an order to an engine connection.
	SendToEngine struct {
		Connection uint64
		Order      traffic.EngineCommand
		WriteBy    float64 // from this time on a dispatch is not written but reported with OrderRefused
		Origin     Origin  // of a dispatch: the request that it belongs to
	}
	// PauseReading pauses or resumes reading from an engine connection.
	PauseReading struct {
		Connection uint64
		Pause      bool
	}
	// Release frees the text of a batch; all orders with it were emitted earlier.
	Release struct{ *buffers.Chain }
	// CloseEngine closes an engine connection.
	CloseEngine struct {
		Connection uint64
		End        CloseReason
	}
	// QueryList asks the name service for the engine list.
	QueryList struct{ QueryID uint16 }
	// SetResolver sets the address of the name service for all later queries. They are sent from a new socket.
	SetResolver struct{ Resolver string }
	// SetLimits sets the limits that are now in force.
	SetLimits struct{ MemoryMB, Descriptors int }
	// SetTimer sets the host's only timer and replaces its earlier time.
	SetTimer struct{ At float64 }
	// ReportStatus publishes the router's status.
	ReportStatus struct{ Status Status }
	// SendToPeer sends a datagram to another router.
	SendToPeer struct {
		To          string
		Message     membership.Message
		Quotas      *shares.Message // nil: none
		LoadReports *news.Message   // nil: none
	}
	// ReportMembers publishes the state of the fleet as this router sees it.
	ReportMembers struct{ Members FleetStatus }
	// Log writes a log line.
	Log struct {
		Level  Level
		Text   string
		Fields []any // keys and values in turn
	}
	// Exit ends the process once all messages to clients are written, or at the deadline.
	Exit struct{ Deadline float64 }
)

// Level is the severity of a log line.
type Level int8

// The levels.
const (
	Debug Level = iota - 1
	Info
	Warn
)

func (SendToClient) effect()  {}
func (CloseClient) effect()   {}
func (Dial) effect()          {}
func (SendToEngine) effect()  {}
func (PauseReading) effect()  {}
func (Release) effect()       {}
func (CloseEngine) effect()   {}
func (QueryList) effect()     {}
func (SetResolver) effect()   {}
func (SetLimits) effect()     {}
func (SetTimer) effect()      {}
func (ReportStatus) effect()  {}
func (Log) effect()           {}
func (SendToPeer) effect()    {}
func (ReportMembers) effect() {}
func (Exit) effect()          {}
