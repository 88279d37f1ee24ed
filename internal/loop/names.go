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
	nameSocketRetryDelay = 50 * time.Millisecond
	maxPreviousSockets   = 3 // sockets besides the one that questions go out by
)

// nameSockets are the sockets to the name service. Questions go out by the present one. An answer may still come to one
// before it: a slow service would never be heard if each socket that was silent for a second were closed.
type nameSockets struct {
	current  *reactor.DatagramSocket
	previous []*reactor.DatagramSocket // the oldest first
}

func (n *nameSockets) all() []*reactor.DatagramSocket {
	if n.current == nil {
		return slices.Clone(n.previous)
	}
	return append(slices.Clone(n.previous), n.current)
}

// openNameSocket makes a socket to the name service. A reload meanwhile makes it void.
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

// changeResolver takes another socket to the name service. At another address all old ones go, what they might still say is not
// wanted. At the same one the old socket stays in use until a new one is there: descriptors may be short.
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

// useNameSocket sends questions by another socket from now on.
func (l *Loop) useNameSocket(socket *reactor.DatagramSocket) {
	if old := l.nameSockets.current; old != nil {
		l.nameSockets.previous = append(l.nameSockets.previous, old)
	}
	l.nameSockets.current = socket
	l.closePreviousSockets(maxPreviousSockets)
}

// closePreviousSockets closes the oldest of the former sockets until so many are left.
func (l *Loop) closePreviousSockets(most int) {
	for len(l.nameSockets.previous) > most {
		oldest := l.nameSockets.previous[0]
		l.nameSockets.previous = slices.Delete(l.nameSockets.previous, 0, 1)
		oldest.Close()
	}
}

func (l *Loop) sendListQuery(query uint16) {
	if l.nameSockets.current == nil {
		return
	}
	if err := l.nameSockets.current.Send(directory.EncodeQuery(query)); err != nil {
		l.log.Debug("question to the name service was not sent", zap.Error(err))
	}
}

// receiveListAnswers takes in what the name service has sent by now. A step of the loop may take long, as where the process stands
// still, and the tasks behind it run before the sockets are looked at again: what is decided then would go by a list that
// an answer in the socket has overtaken. It costs a read for each turn.
func (l *Loop) receiveListAnswers() {
	for _, socket := range l.nameSockets.all() {
		socket.Receive()
	}
}

func (l *Loop) handleListAnswer(socket *reactor.DatagramSocket, data []byte) {
	id, list, err := directory.ParseResponse(data)
	if err != nil {
		l.log.Warn("answer of the name service can't be read", zap.Error(err), zap.Int("bytes", len(data)))
		l.processEvent(router.ListUnusable{QueryID: id})
		return
	}
	if socket == l.nameSockets.current { // it is heard by this one, so the former ones are not needed
		l.closePreviousSockets(0)
	}
	l.processEvent(router.ListAnswered{QueryID: id, List: list})
}
