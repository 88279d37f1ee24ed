package crowd

import (
	"slices"

	"pitchfield/internal/membership"
)

// Measure is what a play came to.
type Measure struct {
	Half, All float64 // seconds until half and all others held a killed router for gone; below 0: not within a minute
	Agreed    float64 // until all had settled without it
	False     int     // deaths of living routers that somebody told on his own account, and
	Told      int     // that somebody heard
	Hours     float64 // router-hours that were played
	Packets   float64 // a router and second, sent
	Bytes     float64
	Join      float64 // until all agreed after the start
}

const (
	calmed   = 40.0 // seconds until the rumours of a start have been told
	measured = 10.0 // seconds over which packets are counted
	patience = 60.0
)

// Death plays a start, a quiet time, and one death.
func Death(o Options) Measure {
	var m Measure
	c := begin(o, &m)
	c.Run(calmed)
	packets, bytes := c.Packets, c.Bytes
	c.Run(measured)
	m.Packets = float64(c.Packets-packets) / measured / float64(o.Routers)
	m.Bytes = (c.Bytes - bytes) / measured / float64(o.Routers)
	victim := c.Nodes[o.Routers/2+1]
	c.Kill(victim)
	from, half := c.Now, false
	m.Half, m.All = -1, -1
	for c.Now < from+patience && m.All < 0 {
		c.Run(0.05)
		know := 0
		for _, n := range c.Living() {
			if !n.Machine.Contains(victim.Name) {
				know++
			}
		}
		if !half && 2*know >= o.Routers-1 {
			half, m.Half = true, c.Now-from
		}
		if know == o.Routers-1 {
			m.All = c.Now - from
		}
	}
	m.Agreed = c.UntilAgreed(patience)
	if m.Agreed >= 0 {
		m.Agreed += max(m.All, 0)
	}
	m.Hours = float64(o.Routers) * (c.Now - epoch) / 3600
	return m
}

// begin starts all, waits until they agree, and counts false deaths from then on.
func begin(o Options, m *Measure) *Crowd {
	c := New(o)
	watch := c.falseDeaths(m)
	c.StartAll()
	c.Run(1.1)
	m.Join = 1.1 + c.UntilAgreed(patience)
	*watch = true
	return c
}

// Quiet plays a fleet to which nothing happens for a time.
func Quiet(o Options, seconds float64) Measure {
	var m Measure
	c := begin(o, &m)
	from, packets, bytes := c.Now, c.Packets, c.Bytes
	c.Run(seconds)
	passed := c.Now - from
	m.Packets, m.Bytes = float64(c.Packets-packets)/passed/float64(o.Routers), (c.Bytes-bytes)/passed/float64(o.Routers)
	m.Hours = float64(o.Routers) * passed / 3600
	return m
}

// falseDeaths counts those of routers that run, from when it is set on.
func (c *Crowd) falseDeaths(m *Measure) *bool {
	on := new(bool)
	by := map[string]*Node{}
	for _, n := range c.Nodes {
		by[n.Name] = n
	}
	c.OnNote = func(_ *Node, note membership.Note) {
		if !*on || note.Text != "member" {
			return
		}
		field := func(name string) any {
			if i := slices.IndexFunc(note.Fields, func(f any) bool { return f == name }); i >= 0 {
				return note.Fields[i+1]
			}
			return nil
		}
		name, _ := field("name").(string)
		if n := by[name]; field("is") == membership.Dead.String() && n != nil && n.Machine != nil && !n.Paused {
			if m.Told++; field("why") != "as told" {
				m.False++
			}
		}
	}
	return on
}
