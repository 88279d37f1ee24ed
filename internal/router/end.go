package router

import "pitchfield/brain"

// CloseReason is why a connection to a client or an engine ended, or why it was never established. Every connection ends with
// exactly one of these reasons.
type CloseReason uint8

// The close reasons. "Local" means that this router closed the connection.
const (
	DialRefused         CloseReason = iota // the address refused the connection
	DialTimedOut                           // the connection was not established in time
	NoDescriptors                          // local: the limit of open sockets is reached
	NoAddress                              // local: the engine list has no address for this engine
	ClosedByPeer                           // orderly close by the peer
	ResetByPeer                            // reset by the peer process, its machine or the network between
	Unreachable                            // error seen on this side only: nothing received from the peer in time, or no route to it
	BadInput                               // local: the received bytes can't be parsed
	PeerNotReading                         // local: the peer does not read what this router writes
	BufferLimitExceeded                    // local: a message that is not complete yet takes too much memory
	ClosedIdle                             // local: no request or dispatch is open on the connection
	FrameTimedOut                          // local: no complete frame arrived in time
	Crowded                                // local: closed to free a descriptor
	ClosedSuspect                          // local: nothing was received past a time limit
	StaleAddress                           // local: the engine has left this address or the list
	CancelTimedOut                         // local: the engine did not confirm a cancellation in time
	LoginRefused                           // the engine refused the login
	RouterStopped                          // local: this router stops
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"refused dial", "dial timed out", "no descriptor", "unaddressed", "closed by peer",
	"reset by peer", "unreachable", "bad input", "unread", "no memory", "closed idle", "silent", "crowded",
	"closed suspect", "left address", "unanswered", "login refused", "stopped"}

func (e CloseReason) String() string { return closeReasonNames[e] }

// isLocal reports whether this router ended the connection, rather than its peer or the network.
func (e CloseReason) isLocal() bool { return e >= BadInput || e == NoDescriptors || e == NoAddress }

// ByPeer reports whether the peer ended the connection. The peer then knows of the end, and has given up everything that was
// open on the connection.
func (e CloseReason) ByPeer() bool { return e == ClosedByPeer || e == ResetByPeer }

// outcomesByReason maps a close reason to the outcome that is reported to the decision module for a dispatch that was open on
// the connection. A dispatch counts as written as soon as some of its bytes may have left; from then on nothing proves that it
// never ran.
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
