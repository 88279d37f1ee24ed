package outlook

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Kind is a type of resource. The order of the kinds is the order in which new resources must arrive before they are used.
type Kind uint8

// The kinds of resources.
const (
	ClusterKind Kind = iota
	EndpointKind
	RouteKind
	kindCount
)

func (k Kind) String() string { return [...]string{"clusters", "endpoints", "routes"}[k] }

// Version identifies a published view. It only grows, also over restarts: Epoch is the number of the start, kept in durable
// state, and Count the number of the view since then.
type Version struct{ Epoch, Count uint64 }

// Older reports whether v precedes o.
func (v Version) Older(o Version) bool {
	return v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Count < o.Count
}

func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Count) }

// Resources maps the names of resources of one kind to their contents: a uint32 (Cluster.MaxRequests) for a cluster, a
// []Endpoint for the endpoints of a cluster, a Route for a route.
type Resources map[string]any

// Action is something that the caller has to do.
type Action interface{ action() }

// The actions.
type (
	// Send writes a response with all resources of one kind (state of the world). The caller calls HandleWritten once it is
	// written.
	Send struct {
		Proxy     uint64
		Kind      Kind
		Version   Version
		Nonce     uint64
		Resources Resources
	}
	// EndStream closes the stream of a proxy.
	EndStream struct {
		Proxy  uint64
		Reason string
	}
)

func (Send) action()      {}
func (EndStream) action() {}

// Publisher records what each proxy was sent and has acknowledged, and decides what it is sent next. It is a state machine:
// each method takes the current time in seconds and returns the actions that follow. It is not safe for concurrent use.
type Publisher struct {
	epoch, count uint64
	version      Version
	now          float64
	published    View
	hasPublished bool
	changedAt    float64 // when pending began to differ from published; 0: nothing is pending
	pending      View
	proxies      map[uint64]*proxy // by number; Disconnect and repeated refusals delete from it
	nonce        uint64
	actions      []Action
}

// proxy is the state of one connection. Its memory is bounded: it keeps what was sent last of each kind and has no queue.
type proxy struct {
	number              uint64
	node                string
	streams             [kindCount]stream
	consecutiveRefusals int
}

// stream is the state of one kind of resource on a connection.
type stream struct {
	requested             bool
	names                 []string // requested names, sorted; nil: all
	sentVersion           Version
	nonce                 uint64    // of the last response; 0: none was sent
	sentResources         Resources // of the last response
	acknowledgedVersion   Version
	acknowledgedResources Resources // of the last response that was acknowledged
	writing               bool      // the last response is not written yet
	awaitingReply         bool      // the last response was neither acknowledged nor refused
	refusalReason         string    // of the last response, if it was refused
	updatePending         bool      // a newer version may have to be sent
}

const (
	batchingDelay          = 0.1 // seconds for which changes that are not urgent are collected
	maxConsecutiveRefusals = 8   // a proxy that refuses everything is disconnected and may reconnect
)

// NewPublisher returns a publisher with no proxies. The epoch must be greater than that of any earlier start.
func NewPublisher(epoch uint64, now float64) *Publisher {
	return &Publisher{epoch: epoch, now: now, proxies: map[uint64]*proxy{}}
}

// Version returns the version of the view published last.
func (p *Publisher) Version() Version { return p.version }

// Published returns the view published last.
func (p *Publisher) Published() View { return p.published }

// begin starts the handling of an event. Time never goes back.
func (p *Publisher) begin(now float64) {
	p.now, p.actions = max(p.now, now), nil
}

// Update sets the view to publish. It is published at once if it is the first or reduces capacity; other changes are
// collected for batchingDelay.
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

// Tick publishes the pending view if its time has come. It must be called at NextTick.
func (p *Publisher) Tick(now float64) []Action {
	p.begin(now)
	if p.changedAt > 0 && p.now >= p.changedAt+batchingDelay {
		p.publish()
	}
	return p.actions
}

// NextTick returns the time at which Tick must be called, or 0 if nothing is pending.
func (p *Publisher) NextTick() float64 {
	if p.changedAt == 0 {
		return 0
	}
	return p.changedAt + batchingDelay
}

// publish makes the pending view the published one and sends it to the proxies.
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

// sortedProxies returns the proxies by number.
func (p *Publisher) sortedProxies() []*proxy {
	return slices.SortedFunc(maps.Values(p.proxies), func(a, b *proxy) int { return cmp.Compare(a.number, b.number) })
}

// Connect adds a proxy. Nothing is sent to it before it requests something.
func (p *Publisher) Connect(now float64, number uint64, node string) []Action {
	p.begin(now)
	p.proxies[number] = &proxy{number: number, node: node}
	return p.actions
}

// Disconnect removes a proxy.
func (p *Publisher) Disconnect(now float64, number uint64) []Action {
	p.begin(now)
	delete(p.proxies, number)
	return p.actions
}

// HandleRequest handles a proxy's request: the first of a kind (nonce 0), or the reply to the response with the nonce. A
// reply acknowledges the response, or refuses it if refused is not empty. Each request has the names that the proxy wants;
// nil stands for all. Requests with an old or unknown nonce are ignored.
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
	case nonce == 0 || !s.awaitingReply: // the names may change at any time
	case refused != "":
		s.awaitingReply, s.refusalReason = false, refused
		if one.consecutiveRefusals++; one.consecutiveRefusals >= maxConsecutiveRefusals {
			p.actions = append(p.actions, EndStream{number, fmt.Sprintf("refused %d responses in a row, the last because: %s", one.consecutiveRefusals, refused)})
			delete(p.proxies, number)
			return p.actions
		}
	default:
		s.awaitingReply, s.refusalReason, one.consecutiveRefusals = false, "", 0
		s.acknowledgedVersion, s.acknowledgedResources = s.sentVersion, s.sentResources
		if k == RouteKind { // clusters that are no longer routed to can be removed
			one.streams[ClusterKind].updatePending, one.streams[EndpointKind].updatePending = true, true
		}
	}
	p.sendPending(one)
	return p.actions
}

// HandleWritten records that the last response with resources of kind k (clusters, endpoints or routes) to the proxy with this
// number is written, so that the next one may be sent.
func (p *Publisher) HandleWritten(now float64, number uint64, k Kind) []Action {
	p.begin(now)
	if one := p.proxies[number]; one != nil && k < kindCount {
		one.streams[k].writing = false
		p.sendPending(one)
	}
	return p.actions
}

// sendPending sends a proxy everything that it may be sent now. Endpoints are sent without waiting for a reply, so that a
// drain is never delayed. Clusters are sent with those that the proxy's routes still refer to. Routes are sent once the
// proxy has acknowledged the clusters that they refer to.
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
			continue // its clusters are not acknowledged yet
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

// resourcesFor returns the resources of a kind that a proxy should have, or nil if they can't be sent yet.
func (p *Publisher) resourcesFor(one *proxy, k Kind) Resources {
	out := Resources{}
	switch k {
	case ClusterKind:
		for _, c := range p.published.Clusters {
			out[c.Name] = c.MaxRequests
		}
		for _, name := range referencedClusters(one) { // a removed cluster that is still routed to
			if _, there := out[name]; !there {
				out[name] = uint32(0)
			}
		}
	case EndpointKind:
		for _, c := range p.published.Clusters {
			out[c.Name] = c.Endpoints
		}
		for _, name := range referencedClusters(one) { // a removed cluster has no endpoints
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

// keeps reports whether a proxy has acknowledged a resource and the last response does not remove it. It is true for a kind
// that the proxy never requested, of which nothing is known.
func (s *stream) keeps(name string) bool {
	_, has := s.acknowledgedResources[name]
	_, stays := s.sentResources[name]
	return !s.requested || has && stays
}

// referencedClusters returns the clusters that the acknowledged and the last sent routes of a proxy refer to.
func referencedClusters(one *proxy) (out []string) {
	for _, names := range []Resources{one.streams[RouteKind].acknowledgedResources, one.streams[RouteKind].sentResources} {
		for _, r := range names {
			out = append(out, r.(Route).Cluster)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ProxyStatus describes the state of a proxy to operators.
type ProxyStatus struct {
	Proxy              uint64
	Node               string
	Sent, Acknowledged [kindCount]Version
	RefusalReasons     [kindCount]string // of the last response, if it was refused
}

// ProxyStatuses returns the status of all proxies, by number.
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
