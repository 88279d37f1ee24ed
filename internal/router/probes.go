package router

import (
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

type probe struct {
	engine *engine
	conn   *engineConn
	tag    string
	ended  bool
}

func (r *Router) sendProbe(e *engine) {
	p := &probe{engine: e, tag: probeTag(r.nextNumber())}
	var l *engineConn
	if c := e.pool.LongestSilent(r.multiplexLimit(e)); c != nil { // its answer tells of the connection too
		l = r.connections[c.Number]
	} else {
		l, _ = r.pickConnection(e, p.tag)
	}
	if l == nil {
		p.ended = true
		r.brain.ProbeEnded(&e.Engine, false, nil)
		return
	}
	p.conn = l
	l.AddPending(p.tag, p)
	r.timers.add(r.now+r.config.Settings.DialTimeout, p)
	r.send(l, p)
}

func (r *Router) finishProbe(p *probe, ok bool, load *brain.Report, late bool) {
	if p.ended {
		return
	}
	p.ended = true
	p.conn.queue = slices.DeleteFunc(p.conn.queue, func(w any) bool { return w == any(p) })
	if !ok {
		load = nil
	}
	r.log(Debug, "probed", "engine", p.engine.name, "ok", ok, "load", load)
	if p.conn.healthCheck != p { // that one is ours
		r.brain.ProbeEnded(&p.engine.Engine, ok, load)
	} else {
		p.conn.healthCheck = nil
	}
	if l := p.conn; late && l.engine.protocol.OneAtATime && l.Up && r.connections[l.Number] == l {
		r.sendOrder(l, traffic.CancelDispatch{ID: p.tag})
		r.awaitFree(l)
		late = false
	}
	p.conn.RemovePending(p.tag, late, r.now)
	r.closeIfUnneeded(p.conn)
}
