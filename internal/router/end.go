package router

import "pitchfield/brain"

// End is how a connection ended, or how it failed to come up. There is no other way.
type End uint8

// The ends.
const (
	RefusedDial   End = iota // nobody listens there
	DialTimedOut             // it did not come up in time
	NoDescriptor             // we may hold no more sockets
	Unaddressed              // the list names no address
	ClosedByPeer             // in order
	ResetByPeer              // by its process, its machine or something on the way
	Unreachable              // an error that only our side knows of: no word of the peer in time, or no way there
	BadInput                 // what came can't be read
	Unread                   // the peer does not read what we write
	NoMemory                 // what is not whole yet takes too much
	ClosedIdle               // by us, with nothing open on it
	Silent                   // by us, with no whole frame in time
	Crowded                  // by us, to make room
	ClosedSuspect            // by us, silent past a time limit
	LeftAddress              // by us: its engine is no longer there
	Unanswered               // by us: what was given up on it did not end in time
	LoginRefused             // the engine does not let us in
	Stopped                  // this router ends
	ends
)

var endNames = [ends]string{"refused dial", "dial timed out", "no descriptor", "unaddressed", "closed by peer",
	"reset by peer", "unreachable", "bad input", "unread", "no memory", "closed idle", "silent", "crowded",
	"closed suspect", "left address", "unanswered", "login refused", "stopped"}

func (e End) String() string { return endNames[e] }

// ours tells an end that this router has made from one that its peer or the network has.
func (e End) ours() bool { return e >= BadInput || e == NoDescriptor || e == Unaddressed }

// ByPeer tells an end that the peer has made, and so knows of: it has given up all that was open there.
func (e End) ByPeer() bool { return e == ClosedByPeer || e == ResetByPeer }

// outcomes is the one table from an end to what the module is told of a dispatch that was open on the connection.
// Written: some of its bytes may have left, and from then on nothing proves that it never ran.
var outcomes = [ends]struct{ written, unwritten brain.Outcome }{
	RefusedDial:   {brain.ConnectionLost, brain.ConnectFailed},
	DialTimedOut:  {brain.ConnectionLost, brain.ConnectFailed},
	NoDescriptor:  {brain.ConnectionLost, brain.NotSent},
	Unaddressed:   {brain.ConnectionLost, brain.ConnectFailed},
	ClosedByPeer:  {brain.ConnectionLost, brain.ConnectFailed},
	ResetByPeer:   {brain.ConnectionLost, brain.ConnectFailed},
	Unreachable:   {brain.ConnectionLost, brain.ConnectFailed},
	BadInput:      {brain.ConnectionLost, brain.NotSent},
	Unread:        {brain.ConnectionLost, brain.NotSent},
	NoMemory:      {brain.ConnectionLost, brain.NotSent},
	ClosedIdle:    {brain.ConnectionLost, brain.NotSent},
	Silent:        {brain.ConnectionLost, brain.NotSent},
	Crowded:       {brain.ConnectionLost, brain.NotSent},
	ClosedSuspect: {brain.ConnectionLost, brain.NotSent},
	LeftAddress:   {brain.ConnectionLost, brain.NotSent},
	Unanswered:    {brain.ConnectionLost, brain.NotSent},
	LoginRefused:  {brain.ConnectionLost, brain.ConnectFailed},
	Stopped:       {brain.ConnectionLost, brain.NotSent},
}
