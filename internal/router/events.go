package router

import (
	"pitchfield/internal/buffers"
	"pitchfield/internal/clients"
	"pitchfield/internal/config"
	"pitchfield/internal/directory"
	"pitchfield/internal/engines"
)

// Event is one thing that has happened. The chains in it are the router's from then on.
type Event interface{ event() }

// The events. A connection of a client has a number from whoever accepted it, one to an engine from the router.
type (
	ClientOpened struct{ Client uint64 }
	ClientSaid   struct {
		Client uint64
		Frame  *clients.Frame
	}
	ClientBegan struct{ Client uint64 } // part of a frame is there, after whole ones or none
	ClientEnded struct {
		Client uint64
		End    End
	}
	EngineOpened struct{ Connection uint64 }
	EngineSaid   struct {
		Connection uint64
		Reply      *engines.Reply
	}
	EngineBegan struct{ Connection uint64 } // part of a reply is there, after whole ones or none
	EngineEnded struct {
		Connection uint64
		End        End
	}
	ListAnswered struct {
		Query uint16
		List  directory.List
	}
	TimerFired struct{}
	TurnEnded  struct{} // all that came in together has been told
	StopAsked  struct{}
	Reloaded   struct{ Config config.Config } // the file was read again, and it can be used
)

func (ClientOpened) event() {}
func (ClientSaid) event()   {}
func (ClientBegan) event()  {}
func (ClientEnded) event()  {}
func (EngineOpened) event() {}
func (EngineSaid) event()   {}
func (EngineBegan) event()  {}
func (EngineEnded) event()  {}
func (ListAnswered) event() {}
func (TimerFired) event()   {}
func (TurnEnded) event()    {}
func (StopAsked) event()    {}
func (Reloaded) event()     {}

// Effect is one thing that the router asks for. The chains in it are the doer's from then on.
type Effect interface{ effect() }

// The effects.
type (
	WriteClient struct {
		Client uint64
		Data   *buffers.Chain
	}
	CloseClient struct {
		Client uint64
		End    End
	}
	Dial struct {
		Connection uint64
		Address    string
		Within     float64 // seconds
	}
	WriteEngine struct {
		Connection uint64
		Data       *buffers.Chain
	}
	CloseEngine struct {
		Connection uint64
		End        End
	}
	AskList  struct{ Query uint16 }
	AskAt    struct{ Resolver string }           // from now on, there and nowhere else
	Bound    struct{ MemoryMB, Descriptors int } // the limits that now hold
	SetTimer struct{ At float64 }                // in place of the one before
	Log      struct {
		Level  Level
		Text   string
		Fields []any // names and values in turn
	}
	Exit struct{}
)

// Level is how much a line of the log matters.
type Level int8

// The levels.
const (
	Debug Level = iota - 1
	Info
	Warn
)

func (WriteClient) effect() {}
func (CloseClient) effect() {}
func (Dial) effect()        {}
func (WriteEngine) effect() {}
func (CloseEngine) effect() {}
func (AskList) effect()     {}
func (AskAt) effect()       {}
func (Bound) effect()       {}
func (SetTimer) effect()    {}
func (Log) effect()         {}
func (Exit) effect()        {}
