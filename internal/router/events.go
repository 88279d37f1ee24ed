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

// Event is one thing that has happened. The chains in it are the router's from then on.
type Event interface{ event() }

// The events. A connection of a client has a number from whoever accepted it, one to an engine from the router.
type (
	ClientOpened struct {
		Client   uint64
		Protocol *traffic.ClientProtocol
	}
	ClientMessage struct {
		Client  uint64
		Message traffic.ClientMessage
	}
	ClientMessageStarted struct{ Client uint64 } // part of a message is there, after whole ones or none
	ClientInvalid        struct{ Client uint64 } // nothing after what it has sent can be read
	ClientUnread         struct {                // what it has not read has passed a bound, or is below it again
		Client uint64
		Full   bool
	}
	ClientEnded struct {
		Client uint64
		End    CloseReason
	}
	EngineOpened  struct{ Connection uint64 }
	EngineReplied struct {
		Connection uint64
		Reply      *traffic.EngineReply
	}
	EngineWritable     struct{ Connection uint64 } // all that was written there has left, after a request was refused as unread
	EngineReplyStarted struct{ Connection uint64 } // part of a reply is there, after whole ones or none
	EngineEnded        struct {
		Connection uint64
		End        CloseReason
	}
	ListAnswered struct {
		QueryID uint16
		List    directory.List
	}
	ListUnusable struct{ QueryID uint16 } // an answer of the name service that can't be read
	TimerFired   struct{}
	TurnEnded    struct{} // all that came in together has been told
	StopAsked    struct{}
	Reloaded     struct{ Config config.Config } // the file was read again, and it can be used
	RoutesSet    struct {
		Routes            *limits.Table           // the limits of what is taken from now on
		Adaptive          limits.AdaptiveSettings // of what is out at each engine
		RetryBudget       *limits.RetryBudget     // of further dispatches of all batches, and
		EngineRetryBudget *limits.RetryBudget     // to each engine; nil: none
	}
	PeerMessagingSet struct { // other routers may be talked to
		Settings    membership.Settings
		Quotas      *shares.Settings // and budgets divided with them; nil: not
		LoadReports *news.Settings   // and told what is out; nil: not
	}
	PeerMessageReceived struct { // one of this fleet has said something; it has been checked whole
		Message     *membership.Message
		Quotas      *shares.Message // that came with it; nil: nothing
		LoadReports *news.Message   // the same
	}
	OrderRefused struct { // a request was not written, not a byte of it
		Connection uint64
		ID         string
		Why        Refusal
	}
	LevelsSet struct { // the levels of reduced service that there are from now on
		Levels    levels.Settings
		DecayTime float64 // seconds over which measures fade
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

// Origin is the request that an attempt is made for.
type Origin struct {
	Client   uint64 // its connection
	Stream   uint32
	OnceOnly bool // it must not have an effect twice
	Single   bool // no two attempts of it may be out
}

// Refusal is why a request was not written.
type Refusal uint8

// The refusals.
const (
	OrderLate       Refusal = iota // the time until which it was allowed has passed: the process stood still
	OrderUnread                    // bytes before it have not been read by the engine; EngineRead tells when they have
	OrderClientGone                // its client has just gone
	OrderInvalid                   // it would have broken an invariant
)

// Effect is one thing that the router asks for, in its order. Rows and chains in it are the doer's from then on, but
// for the text of a dispatch, which is good until its Release.
type Effect interface{ effect() }

// The effects.
type (
	SendToClient struct {
		Client  uint64
		Message traffic.ClientReply
	}
	CloseClient struct {
		Client uint64
		End    CloseReason
	}
	Dial struct {
		Connection uint64
		Address    string
		Timeout    float64 // seconds
		Protocol   *traffic.EngineProtocol
	}
	SendToEngine struct {
		Connection uint64
		Order      traffic.EngineCommand
		WriteBy    float64 // once this time has come a request is not written any more, but told by OrderRefused
		Origin     Origin  // whose attempt it is, of a dispatch
	}
	PauseReading struct { // read no more of it, or go on
		Connection uint64
		Pause      bool
	}
	Release     struct{ *buffers.Chain } // what was ordered before has been written
	CloseEngine struct {
		Connection uint64
		End        CloseReason
	}
	QueryList    struct{ QueryID uint16 }
	SetResolver  struct{ Resolver string }           // from now on, there and nowhere else
	SetLimits    struct{ MemoryMB, Descriptors int } // the limits that now hold
	SetTimer     struct{ At float64 }                // in place of the one before
	ReportStatus struct{ Status Status }             // how it stands, for whoever asks
	SendToPeer   struct {                            // a datagram to another router
		To          string
		Message     membership.Message
		Quotas      *shares.Message // nil: nothing of that
		LoadReports *news.Message   // the same
	}
	ReportMembers struct{ Members FleetStatus } // how the fleet stands, for whoever asks
	Log           struct {
		Level  Level
		Text   string
		Fields []any // names and values in turn
	}
	Exit struct{ Deadline float64 } // once all that was told is written, or this time has come
)

// Level is how much a line of the log matters.
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
