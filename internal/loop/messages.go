package loop

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"pitchfield/internal/buffers"
	"pitchfield/internal/router"
	"pitchfield/internal/traffic"
)

// receive takes data from a peer. What an engine sent is processed at once; clients are served in turns at the end of the turn.
func (l *Loop) receive(p *peer, data []byte) {
	p.received.Write(data) //nolint:errcheck // it never fails
	if p.kind == clientPeer {
		l.addToBacklog(p)
		return
	}
	for l.isOpen(p) && l.processMessage(p) {
	}
	l.afterMessages(p)
	if l.isOpen(p) && p.received.Len() > buffers.Size && l.pool.InUse()*buffers.Size > l.maxBuffered {
		l.failConnection(p, router.BufferLimitExceeded)
	}
}

// processMessage reads the next complete message of a connection and processes it. It returns false if there is none, or if the
// connection can't be read any more.
func (l *Loop) processMessage(p *peer) bool {
	begin, size := time.Now(), p.received.Len()
	event, err := l.nextEvent(p)
	l.recordReading(p, begin, size-p.received.Len())
	if l.protocolOut.Len() > 0 {
		l.write(p, l.protocolOut)
	}
	if !l.isOpen(p) {
		return false
	}
	if err != nil {
		l.log.Warn("can't be read", zap.Uint64("connection", p.number), zap.Stringer("kind", p.kind), zap.Error(err))
		end := router.BadInput
		if errors.Is(err, traffic.ErrLogin) {
			end = router.LoginRefused
		}
		l.failConnection(p, end)
		return false
	}
	if event == nil {
		return false
	}
	p.hasPartial = false
	l.processEvent(event)
	return true
}

// afterMessages reports an incomplete message that is left of what a connection has received, once no complete one is, and
// drops incomplete messages if memory is short.
func (l *Loop) afterMessages(p *peer) {
	if l.isOpen(p) && !p.hasPartial && (p.received.Len() > 0 || p.client != nil && p.client.HasPartial()) {
		p.hasPartial, p.partialSince = true, time.Now()
		if p.kind == clientPeer {
			l.processEvent(router.ClientMessageStarted{Client: p.number})
		} else {
			l.processEvent(router.EngineReplyStarted{Connection: p.number})
		}
	}
	l.dropPartialMessages()
}

// nextEvent reads the next complete message of a connection; nil: there is none yet.
func (l *Loop) nextEvent(p *peer) (router.Event, error) {
	if p.kind == enginePeer {
		reply, err := p.engine.Read(p.received, l.protocolOut)
		if reply == nil {
			return nil, err
		}
		if reply.Kind == traffic.ReplyReady {
			return router.EngineOpened{Connection: p.number}, nil
		}
		return router.EngineReplied{Connection: p.number, Reply: reply}, nil
	}
	message, err := p.client.Read(p.received, l.protocolOut)
	if message == nil {
		return nil, err
	}
	if verify, is := message.(*traffic.Verify); is {
		go l.verify(p, verify)
		return nil, nil
	}
	return router.ClientMessage{Client: p.number, Message: message}, nil
}

// verify runs a slow check of a connection, such as that of a password, on its own goroutine, and then continues the
// connection on the event loop. verifySlots bounds the checks that run at a time.
func (l *Loop) verify(p *peer, v *traffic.Verify) {
	l.verifySlots <- struct{}{}
	err := v.Run()
	<-l.verifySlots
	l.reactor.Post(func() {
		if !l.isOpen(p) {
			return
		}
		message, err := v.Done(err, l.protocolOut)
		l.write(p, l.protocolOut)
		switch {
		case !l.isOpen(p):
		case err != nil:
			l.log.Warn("not let in", zap.Uint64("connection", p.number), zap.Error(err))
			l.failConnection(p, router.LoginRefused)
		default:
			l.processEvent(router.ClientMessage{Client: p.number, Message: message})
			if l.isOpen(p) {
				l.receive(p, nil)
			}
		}
	})
}
