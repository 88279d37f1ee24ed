package router

import "pitchfield/brain"

// CloseReason is how a connection ended, or how it failed to come up. There is no other way.
type CloseReason uint8

// The ends.
const (
	DialRefused         CloseReason = iota // nobody listens there
	DialTimedOut                           // it did not come up in time
	NoDescriptors                          // we may hold no more sockets
	NoAddress                              // the list names no address
	ClosedByPeer                           // in order
	ResetByPeer                            // by its process, its machine or something on the way
	Unreachable                            // an error that only our side knows of: no word of the peer in time, or no way there
	BadInput                               // what came can't be read
	PeerNotReading                         // the peer does not read what we write
	BufferLimitExceeded                    // what is not whole yet takes too much
	ClosedIdle                             // by us, with nothing open on it
	FrameTimedOut                          // by us, with no whole frame in time
	Crowded                                // by us, to make room
	ClosedSuspect                          // by us, silent past a time limit
	StaleAddress                           // by us: its engine is no longer there
	CancelTimedOut                         // by us: what was given up on it did not end in time
	LoginRefused                           // the engine does not let us in
	RouterStopped                          // this router ends
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"refused dial", "dial timed out", "no descriptor", "unaddressed", "closed by peer",
	"reset by peer", "unreachable", "bad input", "unread", "no memory", "closed idle", "silent", "crowded",
	"closed suspect", "left address", "unanswered", "login refused", "stopped"}

func (e CloseReason) String() string { return closeReasonNames[e] }

// isLocal tells an end that this router has made from one that its peer or the network has.
func (e CloseReason) isLocal() bool { return e >= BadInput || e == NoDescriptors || e == NoAddress }

// ByPeer tells an end that the peer has made, and so knows of: it has given up all that was open there.
func (e CloseReason) ByPeer() bool { return e == ClosedByPeer || e == ResetByPeer }

// outcomesByReason is the one table from an end to what the module is told of a dispatch that was open on the connection.
// Written: some of its bytes may have left, and from then on nothing proves that it never ran.
var outcomesByReason = [closeReasonCount]struct{ written, unwritten brain.Outcome }{
	DialRefused:         {brain.ConnectionLost, brain.ConnectFailed},
	DialTimedOut:        {brain.ConnectionLost, brain.ConnectFailed},
	NoDescriptors:       {brain.ConnectionLost, brain.NotSent},
	NoAddress:           {brain.ConnectionLost, brain.ConnectFailed},
	ClosedByPeer:        {brain.ConnectionLost, brain.ConnectFailed},
	ResetByPeer:         {brain.ConnectionLost, brain.ConnectFailed},
	Unreachable:         {brain.ConnectionLost, brain.ConnectFailed},
	BadInput:            {brain.ConnectionLost, brain.NotSent},
	PeerNotReading:      {brain.ConnectionLost, brain.NotSent},
	BufferLimitExceeded: {brain.ConnectionLost, brain.NotSent},
	ClosedIdle:          {brain.ConnectionLost, brain.NotSent},
	FrameTimedOut:       {brain.ConnectionLost, brain.NotSent},
	Crowded:             {brain.ConnectionLost, brain.NotSent},
	ClosedSuspect:       {brain.ConnectionLost, brain.NotSent},
	StaleAddress:        {brain.ConnectionLost, brain.NotSent},
	CancelTimedOut:      {brain.ConnectionLost, brain.NotSent},
	LoginRefused:        {brain.ConnectionLost, brain.ConnectFailed},
	RouterStopped:       {brain.ConnectionLost, brain.NotSent},
}
