package loop

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/directory"
	"pitchfield/internal/reactor"
	"pitchfield/internal/router"
)

const (
	nameSocketRetryDelay = 50 * time.Millisecond // after a socket could not be opened
	maxPreviousSockets   = 3                     // earlier sockets that still receive answers
)

// nameSockets holds the sockets to the name service. Queries are sent on the current one. The previous ones stay open for
// late answers: if each socket without an answer for one second were closed, no answer of a slow name service would ever
// be received.
type nameSockets struct {
	current  *reactor.DatagramSocket   // nil: none is open
	previous []*reactor.DatagramSocket // the oldest first
}

// all returns the open sockets, the oldest first.
func (n *nameSockets) all() []*reactor.DatagramSocket {
	if n.current == nil {
		return slices.Clone(n.previous)
	}
	return append(slices.Clone(n.previous), n.current)
}

// openNameSocket opens a socket to the name service and retries until it succeeds or a later call with another version
// has replaced it.
func (l *Loop) openNameSocket(resolver string, number uint64) {
	if l.resolverVersion != number {
		return
	}
	var socket *reactor.DatagramSocket
	socket, err := l.reactor.ConnectDatagrams(resolver, func(data []byte, _ netip.AddrPort) { l.handleListAnswer(socket, data) })
	if err != nil {
		l.log.Warn("no socket to the name service", zap.Error(err))
		time.AfterFunc(nameSocketRetryDelay, func() { l.reactor.Post(func() { l.openNameSocket(resolver, number) }) })
		return
	}
	l.log.Debug("socket to the name service", zap.Uint64("number", number), zap.String("to", resolver))
	l.useNameSocket(socket)
}

// changeResolver opens another socket to the name service. If the address differs, all earlier sockets are closed, since
// answers from the old address are not wanted. If it is the same, the old socket is used until the new one is open, which
// may take time when descriptors are short.
func (l *Loop) changeResolver(resolver string) {
	l.resolverVersion++
	if resolver != l.resolver {
		l.resolver = resolver
		for _, socket := range l.nameSockets.all() {
			socket.Close()
		}
		l.nameSockets = nameSockets{}
	}
	l.openNameSocket(resolver, l.resolverVersion)
}

// useNameSocket makes a socket the current one.
func (l *Loop) useNameSocket(socket *reactor.DatagramSocket) {
	if old := l.nameSockets.current; old != nil {
		l.nameSockets.previous = append(l.nameSockets.previous, old)
	}
	l.nameSockets.current = socket
	l.closePreviousSockets(maxPreviousSockets)
}

// closePreviousSockets closes the oldest of the previous sockets until at most the given number is left.
func (l *Loop) closePreviousSockets(most int) {
	for len(l.nameSockets.previous) > most {
		oldest := l.nameSockets.previous[0]
		l.nameSockets.previous = slices.Delete(l.nameSockets.previous, 0, 1)
		oldest.Close()
	}
}

// sendListQuery sends a query for the list of engines, if a socket is open. A query that can't be sent is lost; the
// router repeats it.
func (l *Loop) sendListQuery(query uint16) {
	if l.nameSockets.current == nil {
		return
	}
	if err := l.nameSockets.current.Send(directory.EncodeQuery(query)); err != nil {
		l.log.Debug("query to the name service was not sent", zap.Error(err))
	}
}

// receiveListAnswers reads the answers of the name service that have arrived. A step of the loop may take long, for
// example when the process is paused, and the tasks queued behind it run before the sockets are polled again. Without
// this, their decisions could use a list of engines although a newer one is already in the socket. It costs one read for
// each turn and socket.
func (l *Loop) receiveListAnswers() {
	for _, socket := range l.nameSockets.all() {
		socket.Receive()
	}
}

// handleListAnswer parses an answer of the name service and passes it to the router.
func (l *Loop) handleListAnswer(socket *reactor.DatagramSocket, data []byte) {
	id, list, err := directory.ParseResponse(data)
	if err != nil {
		l.log.Warn("answer of the name service can't be read", zap.Error(err), zap.Int("bytes", len(data)))
		l.processEvent(router.ListUnusable{QueryID: id})
		return
	}
	if socket == l.nameSockets.current { // answers reach the current socket, so the previous ones are not needed
		l.closePreviousSockets(0)
	}
	l.processEvent(router.ListAnswered{QueryID: id, List: list})
}
