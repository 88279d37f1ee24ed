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
	namesAgain = 50 * time.Millisecond
	mostFormer = 3 // sockets besides the one that questions go out by
)

// nameSockets are the sockets to the name service. Questions go out by the present one. An answer may still come to one
// before it: a slow service would never be heard if each socket that was silent for a second were closed.
type nameSockets struct {
	present *reactor.DatagramSocket
	former  []*reactor.DatagramSocket // the oldest first
}

func (n *nameSockets) all() []*reactor.DatagramSocket {
	if n.present == nil {
		return slices.Clone(n.former)
	}
	return append(slices.Clone(n.former), n.present)
}

// joinNames makes a socket to the name service. A reload meanwhile makes it void.
func (l *Loop) joinNames(resolver string, number uint64) {
	if l.moves != number {
		return
	}
	var socket *reactor.DatagramSocket
	socket, err := l.reactor.ConnectDatagrams(resolver, func(data []byte, _ netip.AddrPort) { l.namesSaid(socket, data) })
	if err != nil {
		l.log.Warn("no socket to the name service", zap.Error(err))
		time.AfterFunc(namesAgain, func() { l.reactor.Post(func() { l.joinNames(resolver, number) }) })
		return
	}
	l.log.Debug("socket to the name service", zap.Uint64("number", number), zap.String("to", resolver))
	l.useNames(socket)
}

// askAt takes another socket to the name service. At another address all old ones go, what they might still say is not
// wanted. At the same one the old socket stays in use until a new one is there: descriptors may be short.
func (l *Loop) askAt(resolver string) {
	l.moves++
	if resolver != l.resolver {
		l.resolver = resolver
		for _, socket := range l.names.all() {
			socket.Close()
		}
		l.names = nameSockets{}
	}
	l.joinNames(resolver, l.moves)
}

// useNames sends questions by another socket from now on.
func (l *Loop) useNames(socket *reactor.DatagramSocket) {
	if old := l.names.present; old != nil {
		l.names.former = append(l.names.former, old)
	}
	l.names.present = socket
	l.closeFormer(mostFormer)
}

// closeFormer closes the oldest of the former sockets until so many are left.
func (l *Loop) closeFormer(most int) {
	for len(l.names.former) > most {
		oldest := l.names.former[0]
		l.names.former = slices.Delete(l.names.former, 0, 1)
		oldest.Close()
	}
}

func (l *Loop) askNames(query uint16) {
	if l.names.present == nil {
		return
	}
	if err := l.names.present.Send(directory.EncodeQuery(query)); err != nil {
		l.log.Debug("question to the name service was not sent", zap.Error(err))
	}
}

// readNames takes in what the name service has sent by now. A step of the loop may take long, as where the process stands
// still, and the tasks behind it run before the sockets are looked at again: what is decided then would go by a list that
// an answer in the socket has overtaken. It costs a read for each turn.
func (l *Loop) readNames() {
	for _, socket := range l.names.all() {
		socket.Receive()
	}
}

func (l *Loop) namesSaid(socket *reactor.DatagramSocket, data []byte) {
	id, list, err := directory.ParseResponse(data)
	if err != nil {
		l.log.Warn("answer of the name service can't be read", zap.Error(err), zap.Int("bytes", len(data)))
		l.post(router.ListUnusable{QueryID: id})
		return
	}
	if socket == l.names.present { // it is heard by this one, so the former ones are not needed
		l.closeFormer(0)
	}
	l.post(router.ListAnswered{QueryID: id, List: list})
}
