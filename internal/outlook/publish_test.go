package outlook

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeProxy is a proxy that does what it is told, in its own time.
type fakeProxy struct {
	number     uint64
	inbox      []Send // written and not read yet
	resources  [kindCount]Resources
	versions   [kindCount]Version
	refusesAll bool // refuses everything
	silent     bool // never says whether it took it
}

// harness is a publisher with some of them.
type harness struct {
	t       *rapid.T
	p       *Publisher
	now     float64
	proxies map[uint64]*fakeProxy
	unsent  []Send // handed to the host, and not written
	drained map[string]bool
}

func (w *harness) apply(effects []Action) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			for _, other := range w.unsent {
				require.False(w.t, other.Proxy == e.Proxy && other.Kind == e.Kind, "one at a time waits to be written")
			}
			if e.Kind == EndpointKind {
				for _, list := range e.Resources {
					for _, end := range list.([]Endpoint) {
						require.False(w.t, end.acceptsTraffic() && w.drained[end.Name], "%s drains", end.Name)
					}
				}
			}
			w.unsent = append(w.unsent, e)
		case EndStream:
			delete(w.proxies, e.Proxy)
		}
	}
}

// write has one message go out: the first of its proxy's, as all kinds go over one stream.
func (w *harness) write(i int) {
	i = slices.IndexFunc(w.unsent, func(s Send) bool { return s.Proxy == w.unsent[i].Proxy })
	s := w.unsent[i]
	w.unsent = append(w.unsent[:i:i], w.unsent[i+1:]...)
	if m := w.proxies[s.Proxy]; m != nil {
		m.inbox = append(m.inbox, s)
	}
	w.apply(w.p.HandleWritten(w.now, s.Proxy, s.Kind))
}

// read has a proxy take in its next message, and say so.
func (w *harness) read(m *fakeProxy) {
	s := m.inbox[0]
	m.inbox = m.inbox[1:]
	refused := ""
	if m.refusesAll {
		refused = "no"
	} else {
		require.False(w.t, s.Version.Older(m.versions[s.Kind]), "versions only grow")
		m.resources[s.Kind], m.versions[s.Kind] = s.Resources, s.Version
		for group, r := range m.resources[RouteKind] {
			_, c := m.resources[ClusterKind][r.(Route).Cluster]
			_, e := m.resources[EndpointKind][r.(Route).Cluster]
			require.True(w.t, c && e, "%s is routed to a cluster that it hasn't got, after %s", group, s.Kind)
		}
	}
	if !m.silent {
		w.apply(w.p.HandleRequest(w.now, m.number, s.Kind, nil, s.Nonce, refused))
	}
}

// Whatever comes when: no proxy routes to a cluster that it hasn't got, no message that is made after a drain has the drained
// engine, nothing older ever follows, one message of a kind waits at the most, and in the end all hold the newest.
func TestProxiesAreToldInAnOrderThatNeverBreaksThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &harness{t: t, p: NewPublisher(1, 0), proxies: map[uint64]*fakeProxy{}, drained: map[string]bool{}}
		f := fleet(engine(1), engine(2), engine(3), engine(4))
		f.Engines[3].Zone = "yard"
		number, made := uint64(0), 10
		for range 150 {
			w.now += rapid.Float64Range(0, 0.1).Draw(t, "later")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				number++
				m := &fakeProxy{number: number, refusesAll: rapid.IntRange(0, 9).Draw(t, "rude") == 0, silent: rapid.IntRange(0, 9).Draw(t, "mute") == 0}
				w.proxies[number] = m
				w.apply(w.p.Connect(w.now, number, fmt.Sprint("proxy ", number)))
				for k := range kindCount {
					w.apply(w.p.HandleRequest(w.now, number, k, nil, 0, ""))
				}
			case 1:
				if m := w.proxies[rapid.Uint64Range(0, number).Draw(t, "who")]; m != nil {
					delete(w.proxies, m.number)
					w.apply(w.p.Disconnect(w.now, m.number))
				}
			case 2: // a drain
				i := rapid.IntRange(0, len(f.Engines)-1).Draw(t, "engine")
				f.Engines[i].Draining = true
				w.drained[f.Engines[i].Name] = true
				w.apply(w.p.Update(w.now, Build(f)))
			case 3: // another in its place, under a name of its own
				i := rapid.IntRange(0, len(f.Engines)-1).Draw(t, "engine")
				zone := f.Engines[i].Zone
				made++
				f.Engines[i] = engine(made)
				f.Engines[i].Zone = zone
				w.apply(w.p.Update(w.now, Build(f)))
			case 4: // a group is placed elsewhere
				f.Groups[0].Zones = rapid.SampledFrom([][]string{nil, {"hall"}, {"yard"}, {"hall", "yard"}}).Draw(t, "zones")
				w.apply(w.p.Update(w.now, Build(f)))
			case 5:
				f.Engines[0].ThreadsPerCore = rapid.Float64Range(0, 6).Draw(t, "threads")
				w.apply(w.p.Update(w.now, Build(f)))
			case 6, 7:
				if len(w.unsent) > 0 {
					w.write(rapid.IntRange(0, len(w.unsent)-1).Draw(t, "write"))
				}
			default:
				if m := w.proxies[rapid.Uint64Range(0, number).Draw(t, "who")]; m != nil && len(m.inbox) > 0 {
					w.read(m)
				}
			}
			if due := w.p.NextTick(); due > 0 && w.now >= due {
				w.apply(w.p.Tick(w.now))
			}
		}
		w.apply(w.p.Update(w.now, Build(f)))
		w.now++
		w.apply(w.p.Tick(w.now))
		for busy := true; busy; {
			busy = len(w.unsent) > 0
			for len(w.unsent) > 0 {
				w.write(0)
			}
			for n := uint64(1); n <= number; n++ {
				for m := w.proxies[n]; m != nil && len(m.inbox) > 0 && w.proxies[n] != nil; {
					w.read(m)
					busy = true
				}
			}
		}
		for _, m := range w.proxies {
			if m.refusesAll || m.silent {
				continue
			}
			o := w.p.Published()
			require.Len(t, m.resources[ClusterKind], len(o.Clusters), "what is not routed to any more has gone")
			for _, c := range o.Clusters {
				require.Equal(t, c.Endpoints, m.resources[EndpointKind][c.Name])
			}
			for _, r := range o.Routes {
				require.Equal(t, r, m.resources[RouteKind][r.Group])
			}
		}
	})
}

func TestADrainGoesOutAtOnceAndALighterChangeIsGathered(t *testing.T) {
	p := NewPublisher(3, 0)
	f := fleet(engine(1), engine(2), engine(3))
	p.Update(1, Build(f))
	p.Connect(1, 7, "n")
	sent := p.HandleRequest(1, 7, EndpointKind, nil, 0, "")
	require.Len(t, sent, 1)
	p.HandleWritten(1, 7, EndpointKind)
	f.Engines[0].ThreadsPerCore = 5
	assert.Empty(t, p.Update(2, Build(f)))
	assert.InDelta(t, 2+batchingDelay, p.NextTick(), 1e-9)
	f.Engines[1].Draining = true
	drained := p.Update(2.01, Build(f))
	require.Len(t, drained, 1, "though it has not said whether it took the last")
	assert.True(t, sent[0].(Send).Version.Older(drained[0].(Send).Version))
	assert.Zero(t, p.NextTick())
	f.Engines[0].ThreadsPerCore = 1
	p.Update(3, Build(f))
	assert.Empty(t, p.Tick(3.05))
	assert.Empty(t, p.Tick(3.2), "it does not read: the newest waits, and no line of them")
	assert.Len(t, p.HandleWritten(4, 7, EndpointKind), 1)
}

func TestOneThatRefusesEverythingIsEndedAndSaysWhy(t *testing.T) {
	p := NewPublisher(1, 0)
	f := fleet(engine(1), engine(2))
	p.Update(0, Build(f))
	p.Connect(0, 1, "rude")
	effects := p.HandleRequest(0, 1, EndpointKind, nil, 0, "")
	for n := range maxConsecutiveRefusals {
		s := effects[0].(Send)
		p.HandleWritten(float64(n), 1, EndpointKind)
		effects = p.HandleRequest(float64(n), 1, EndpointKind, nil, s.Nonce, "bad weight")
		if n < maxConsecutiveRefusals-1 {
			require.Empty(t, effects, "nothing newer: the same again would be refused again")
			assert.Equal(t, "bad weight", p.ProxyStatuses()[0].RefusalReasons[EndpointKind])
			f.Engines[0].Name = fmt.Sprint("e-new-", n)
			effects = p.Update(float64(n), Build(f))
		}
	}
	require.Len(t, effects, 1)
	assert.IsType(t, EndStream{}, effects[0])
	assert.Empty(t, p.ProxyStatuses())
}

func TestOldNoncesAndUnknownProxiesSayNothing(t *testing.T) {
	p := NewPublisher(1, 0)
	p.Update(0, Build(fleet(engine(1))))
	assert.Empty(t, p.HandleRequest(0, 9, EndpointKind, nil, 0, ""))
	p.Connect(0, 1, "n")
	s := p.HandleRequest(0, 1, EndpointKind, nil, 0, "")[0].(Send)
	p.HandleWritten(0, 1, EndpointKind)
	assert.Empty(t, p.HandleRequest(0, 1, EndpointKind, nil, s.Nonce+5, ""))
	assert.Zero(t, p.ProxyStatuses()[0].Acknowledged[EndpointKind])
	assert.Empty(t, p.HandleRequest(0, 1, kindCount, nil, 0, ""))
	p.HandleRequest(0, 1, EndpointKind, nil, s.Nonce, "")
	assert.Equal(t, s.Version, p.ProxyStatuses()[0].Acknowledged[EndpointKind])
	more := p.HandleRequest(0, 1, EndpointKind, []string{"other"}, s.Nonce, "")
	require.Len(t, more, 1, "it may ask for other names at any time")
	assert.Empty(t, more[0].(Send).Resources)
}
