package outlook

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Kind is a type of resource, in the order in which what is new has to be there before it is used.
type Kind uint8

// The kinds.
const (
	ClusterKind Kind = iota
	EndpointKind
	RouteKind
	kindCount
)

func (k Kind) String() string { return [...]string{"clusters", "endpoints", "routes"}[k] }

// Version of what is published: it only grows, over restarts too. Life is the number of the start, which durable state keeps.
type Version struct{ Epoch, Count uint64 }

// Older tells which of two came first.
func (v Version) Older(o Version) bool {
	return v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Count < o.Count
}

func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Count) }

// Resources is what a proxy is told of one kind: resources by name. Clusters have no body here; routes name their clusters.
type Resources map[string]any

// Action is one thing for the host to do.
type Action interface{ action() }

// The effects.
type (
	// Send writes a response, whole: the state of the world of one kind. The host tells by Wrote once it is on its way.
	Send struct {
		Proxy     uint64
		Kind      Kind
		Version   Version
		Nonce     uint64
		Resources Resources
	}
	// EndStream ends a proxy's stream.
	EndStream struct {
		Proxy  uint64
		Reason string
	}
)

func (Send) action()      {}
func (EndStream) action() {}

// Publisher holds what each proxy was sent and has taken, and decides what it is sent next. One reducer: events bring the
// time, effects do the rest.
type Publisher struct {
	epoch, count uint64
	version      Version
	now          float64
	published    View
	hasPublished bool
	changedAt    float64 // when what waits to be published began to differ; 0: nothing waits
	pending      View
	proxies      map[uint64]*proxy // Gone deletes
	nonce        uint64
	actions      []Action
}

// proxy is one stream. Its memory is bounded: what it was last sent of each kind, and no queue.
type proxy struct {
	number              uint64
	node                string
	streams             [kindCount]stream
	consecutiveRefusals int // in a row
}

// stream is one kind on it.
type stream struct {
	requested             bool
	names                 []string // that it asked for, in order; nil: all
	sentVersion           Version
	nonce                 uint64    // of what was last sent; 0: nothing
	sentResources         Resources // the same
	acknowledgedVersion   Version
	acknowledgedResources Resources // what it has acknowledged
	writing               bool      // what was sent is not on its way yet
	awaitingReply         bool      // it has neither taken nor refused it
	refusalReason         string
	updatePending         bool // something newer waits
}

// The values of this package; seconds.
const (
	batchingDelay          = 0.1 // news that can wait is gathered for so long
	maxConsecutiveRefusals = 8   // in a row; a proxy that refuses everything is ended, and may come back
)

// NewPublisher starts one. The life has to be above that of any earlier start.
func NewPublisher(life uint64, now float64) *Publisher {
	return &Publisher{epoch: life, now: now, proxies: map[uint64]*proxy{}}
}

// Version is what was published last.
func (p *Publisher) Version() Version { return p.version }

// Published tells what is in force.
func (p *Publisher) Published() View { return p.published }

func (p *Publisher) begin(now float64) {
	p.now, p.actions = max(p.now, now), nil
}

// Update brings what the module holds now. What makes an engine take less goes out at once, all else is gathered.
func (p *Publisher) Update(now float64, o View) []Action {
	p.begin(now)
	if p.hasPublished && equalViews(p.published, o) {
		p.changedAt = 0
		return p.actions
	}
	p.pending = o
	if p.changedAt == 0 {
		p.changedAt = p.now
	}
	if !p.hasPublished || ReducesCapacity(p.published, o) {
		p.publish()
	}
	return p.actions
}

// Tick is due at Due.
func (p *Publisher) Tick(now float64) []Action {
	p.begin(now)
	if p.changedAt > 0 && p.now >= p.changedAt+batchingDelay {
		p.publish()
	}
	return p.actions
}

// NextTick is when Tick has to be called; 0: not at all.
func (p *Publisher) NextTick() float64 {
	if p.changedAt == 0 {
		return 0
	}
	return p.changedAt + batchingDelay
}

func (p *Publisher) publish() {
	p.count++
	p.version, p.published, p.hasPublished, p.changedAt = Version{p.epoch, p.count}, p.pending, true, 0
	for _, one := range p.sortedProxies() {
		for k := range one.streams {
			one.streams[k].updatePending = true
		}
		p.sendPending(one)
	}
}

func (p *Publisher) sortedProxies() []*proxy {
	return slices.SortedFunc(maps.Values(p.proxies), func(a, b *proxy) int { return cmp.Compare(a.number, b.number) })
}

// Connect lets a proxy in. It is sent nothing before it asks.
func (p *Publisher) Connect(now float64, number uint64, node string) []Action {
	p.begin(now)
	p.proxies[number] = &proxy{number: number, node: node}
	return p.actions
}

// Disconnect forgets it.
func (p *Publisher) Disconnect(now float64, number uint64) []Action {
	p.begin(now)
	delete(p.proxies, number)
	return p.actions
}

// HandleRequest is a request of a proxy: the first of a kind, or its word on a nonce, each with the names that it wants (nil: all).
// An old or unknown nonce says nothing.
func (p *Publisher) HandleRequest(now float64, number uint64, k Kind, names []string, nonce uint64, refused string) []Action {
	p.begin(now)
	one := p.proxies[number]
	if one == nil || k >= kindCount {
		return p.actions
	}
	s := &one.streams[k]
	if nonce != 0 && nonce != s.nonce || nonce == 0 && s.requested {
		return p.actions
	}
	if names != nil {
		names = slices.Compact(slices.Sorted(slices.Values(names)))
	}
	if !s.requested || !slices.Equal(names, s.names) {
		s.names, s.updatePending = names, true
	}
	s.requested = true
	switch {
	case nonce == 0 || !s.awaitingReply: // it may change the names at any time
	case refused != "":
		s.awaitingReply, s.refusalReason = false, refused
		if one.consecutiveRefusals++; one.consecutiveRefusals >= maxConsecutiveRefusals {
			p.actions = append(p.actions, EndStream{number, fmt.Sprintf("refused %d in a row, the last for: %s", one.consecutiveRefusals, refused)})
			delete(p.proxies, number)
			return p.actions
		}
	default:
		s.awaitingReply, s.refusalReason, one.consecutiveRefusals = false, "", 0
		s.acknowledgedVersion, s.acknowledgedResources = s.sentVersion, s.sentResources
		if k == RouteKind { // what it has ceased to route to can go
			one.streams[ClusterKind].updatePending, one.streams[EndpointKind].updatePending = true, true
		}
	}
	p.sendPending(one)
	return p.actions
}

// HandleWritten: what was sent of a kind is on its way, and the next may go.
func (p *Publisher) HandleWritten(now float64, number uint64, k Kind) []Action {
	p.begin(now)
	if one := p.proxies[number]; one != nil && k < kindCount {
		one.streams[k].writing = false
		p.sendPending(one)
	}
	return p.actions
}

// sendPending sends what may go to a proxy now: endpoints at once, for a drain waits for nobody's word; clusters as what is there
// and what its routes still name; routes once it has taken all clusters that they name.
func (p *Publisher) sendPending(one *proxy) {
	if !p.hasPublished {
		return
	}
	for k := range kindCount {
		s := &one.streams[k]
		if !s.requested || !s.updatePending || s.writing || k != EndpointKind && s.awaitingReply {
			continue
		}
		what := p.resourcesFor(one, k)
		if what == nil {
			continue // not yet
		}
		s.updatePending = false
		if s.nonce > 0 && equalResources(s.sentResources, what) && s.refusalReason == "" {
			s.sentVersion = p.version
			if !s.awaitingReply {
				s.acknowledgedVersion = p.version
			}
			continue
		}
		p.nonce++
		s.sentVersion, s.nonce, s.sentResources, s.writing, s.awaitingReply, s.refusalReason = p.version, p.nonce, what, true, true, ""
		p.actions = append(p.actions, Send{one.number, k, p.version, p.nonce, what})
	}
}

// resourcesFor is what a proxy is to have of a kind; nil: it can't be sent yet.
func (p *Publisher) resourcesFor(one *proxy, k Kind) Resources {
	out := Resources{}
	switch k {
	case ClusterKind:
		for _, c := range p.published.Clusters {
			out[c.Name] = c.MaxRequests
		}
		for _, name := range referencedClusters(one) { // still routed to
			if _, there := out[name]; !there {
				out[name] = uint32(0)
			}
		}
	case EndpointKind:
		for _, c := range p.published.Clusters {
			out[c.Name] = c.Endpoints
		}
		for _, name := range referencedClusters(one) { // of a cluster that is gone nobody is left
			if _, there := out[name]; !there {
				out[name] = []Endpoint(nil)
			}
		}
	case RouteKind:
		for _, r := range p.published.Routes {
			if !one.streams[ClusterKind].keeps(r.Cluster) || !one.streams[EndpointKind].keeps(r.Cluster) {
				return nil
			}
			out[r.Group] = r
		}
	}
	if names := one.streams[k].names; names != nil {
		maps.DeleteFunc(out, func(name string, _ any) bool { return !slices.Contains(names, name) })
	}
	return out
}

// keeps: a proxy has a resource, and what is on its way to it does not take it away. Of a kind that it never asked for
// nothing is known.
func (s *stream) keeps(name string) bool {
	_, has := s.acknowledgedResources[name]
	_, stays := s.sentResources[name]
	return !s.requested || has && stays
}

// referencedClusters are the clusters that routes of a proxy name, which it has taken or may yet take.
func referencedClusters(one *proxy) (out []string) {
	for _, names := range []Resources{one.streams[RouteKind].acknowledgedResources, one.streams[RouteKind].sentResources} {
		for _, r := range names {
			out = append(out, r.(Route).Cluster)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ProxyStatus is how a proxy stands, for operators.
type ProxyStatus struct {
	Proxy              uint64
	Node               string
	Sent, Acknowledged [kindCount]Version
	RefusalReasons     [kindCount]string // why, of what it refused last
}

// ProxyStatuses tells it of all, in order.
func (p *Publisher) ProxyStatuses() (out []ProxyStatus) {
	for _, one := range p.sortedProxies() {
		s := ProxyStatus{Proxy: one.number, Node: one.node}
		for k := range kindCount {
			s.Sent[k], s.Acknowledged[k], s.RefusalReasons[k] = one.streams[k].sentVersion, one.streams[k].acknowledgedVersion, one.streams[k].refusalReason
		}
		out = append(out, s)
	}
	return out
}

func equalViews(a, b View) bool {
	return a.RetryRatio == b.RetryRatio && a.FreeRetries == b.FreeRetries && slices.Equal(a.Routes, b.Routes) &&
		slices.EqualFunc(a.Clusters, b.Clusters, func(x, y Cluster) bool {
			return x.Name == y.Name && x.MaxRequests == y.MaxRequests && slices.Equal(x.Endpoints, y.Endpoints)
		})
}

func equalResources(a, b Resources) bool {
	return maps.EqualFunc(a, b, func(x, y any) bool {
		if list, is := x.([]Endpoint); is {
			other, is := y.([]Endpoint)
			return is && slices.Equal(list, other)
		}
		return x == y
	})
}
