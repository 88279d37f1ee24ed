package router

import (
	"slices"

	"pitchfield/brain"
	"pitchfield/internal/traffic"
)

// probe is a health check of an engine, or of one connection to it, that is due an answer.
type probe struct {
	engine *engine
	conn   *engineConn
	tag    string // identifies the probe on its connection
	ended  bool
}

// sendProbe sends a probe to an engine for the decision module.
func (r *Router) sendProbe(e *engine) {
	p := &probe{engine: e, tag: probeTag(r.nextNumber())}
	var l *engineConn
	if c := e.pool.LongestSilent(r.multiplexLimit(e)); c != nil { // the answer also shows that this connection works
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

// finishProbe ends a probe: ok if the engine answered that it is fit, late if no answer came in time. The load report counts only
// where the probe is ok.
func (r *Router) finishProbe(p *probe, ok bool, load *brain.Report, late bool) {
	if p.ended {
		return
	}
	p.ended = true
	p.conn.queue = slices.DeleteFunc(p.conn.queue, func(queued any) bool { return queued == any(p) })
	if !ok {
		load = nil
	}
	r.log(Debug, "probed", "engine", p.engine.name, "ok", ok, "load", load)
	if p.conn.healthCheck != p { // the decision module asked for it; a connection's check is the router's own
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
