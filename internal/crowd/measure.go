package crowd

import (
	"slices"

	"pitchfield/internal/membership"
)

// Measure holds the results of one membership simulation.
type Measure struct {
	HalfKnown, AllKnown float64 // seconds until half and all of the others had removed a killed router; -1: not within a minute
	Agreed              float64 // seconds until all had settled on a view without it; below 0: not within a minute
	FalseDeaths         int     // a running router was declared dead by a router's own detection
	FalseDeathReports   int     // a running router was declared dead, by own detection or by report
	RouterHours         float64 // simulated router-hours
	PacketRate          float64 // packets sent per router and second
	ByteRate            float64
	JoinTime            float64 // seconds from the start until all agreed
}

const (
	settleSeconds  = 40.0 // seconds until the membership updates of the start have spread
	measureSeconds = 10.0 // seconds over which packets are counted
	timeoutSeconds = 60.0 // seconds after which a measured change counts as not reached
)

// MeasureDeath simulates a start, a period without changes, and the death of one router.
func MeasureDeath(options Options) Measure {
	var m Measure
	sim := startConverged(options, &m)
	sim.Run(settleSeconds)
	packets, bytes := sim.Packets, sim.Bytes
	sim.Run(measureSeconds)
	m.PacketRate = float64(sim.Packets-packets) / measureSeconds / float64(options.Routers)
	m.ByteRate = (sim.Bytes - bytes) / measureSeconds / float64(options.Routers)
	victim := sim.Nodes[options.Routers/2+1]
	sim.Kill(victim)
	from, half := sim.Now, false
	m.HalfKnown, m.AllKnown = -1, -1
	for sim.Now < from+timeoutSeconds && m.AllKnown < 0 {
		sim.Run(0.05)
		know := 0
		for _, n := range sim.Running() {
			if !n.Machine.Contains(victim.Name) {
				know++
			}
		}
		if !half && 2*know >= options.Routers-1 {
			half, m.HalfKnown = true, sim.Now-from
		}
		if know == options.Routers-1 {
			m.AllKnown = sim.Now - from
		}
	}
	m.Agreed = sim.RunUntilAgreed(timeoutSeconds)
	if m.Agreed >= 0 {
		m.Agreed += max(m.AllKnown, 0)
	}
	m.RouterHours = float64(options.Routers) * (sim.Now - epoch) / 3600
	return m
}

// startConverged starts all routers, waits until they agree, and counts false deaths from then on.
func startConverged(options Options, m *Measure) *Simulation {
	sim := New(options)
	watch := sim.watchFalseDeaths(m)
	sim.StartAll()
	sim.Run(1.1)
	m.JoinTime = 1.1 + sim.RunUntilAgreed(timeoutSeconds)
	*watch = true
	return sim
}

// MeasureQuiet simulates a fleet without changes for the given number of seconds.
func MeasureQuiet(options Options, seconds float64) Measure {
	var m Measure
	sim := startConverged(options, &m)
	from, packets, bytes := sim.Now, sim.Packets, sim.Bytes
	sim.Run(seconds)
	passed := sim.Now - from
	m.PacketRate, m.ByteRate = float64(sim.Packets-packets)/passed/float64(options.Routers), (sim.Bytes-bytes)/passed/float64(options.Routers)
	m.RouterHours = float64(options.Routers) * passed / 3600
	return m
}

// watchFalseDeaths counts reports that declare a running router dead. Counting starts when the returned flag is set.
func (sim *Simulation) watchFalseDeaths(m *Measure) *bool {
	enabled := new(bool)
	nodesByName := map[string]*Node{}
	for _, n := range sim.Nodes {
		nodesByName[n.Name] = n
	}
	sim.OnNote = func(_ *Node, note membership.Note) {
		if !*enabled || note.Text != "member" {
			return
		}
		field := func(name string) any {
			if i := slices.IndexFunc(note.Fields, func(f any) bool { return f == name }); i >= 0 {
				return note.Fields[i+1]
			}
			return nil
		}
		name, _ := field("name").(string)
		if n := nodesByName[name]; field("is") == membership.Dead.String() && n != nil && n.Machine != nil && !n.Paused {
			if m.FalseDeathReports++; field("why") != "as told" {
				m.FalseDeaths++
			}
		}
	}
	return enabled
}
