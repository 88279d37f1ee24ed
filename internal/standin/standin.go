// Package standin has test doubles for the peers of a router, as the protocol's page describes them: engines, the name
// service and clients. The examples and the integration tests use it; it neither decides nor measures anything.
package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one command that an engine received, as its words.
type Request []string

// Engine is a minimal engine that speaks RESP and sends the messages that Answer returns.
type Engine struct {
	net.Listener
	Answer    func(r Request) [][]string         // messages that answer a request; nil means ToyAnswer
	ReadDelay func(connection int) time.Duration // how late it reads a connection, by its number from 0; nil: no delay

	mutex    sync.Mutex
	requests []Request
	conns    []net.Conn
}

// NewEngine starts an engine that listens on an address.
func NewEngine(address string, answer func(Request) [][]string) (*Engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return NewEngineFromListener(l, answer), nil
}

// NewEngineFromListener starts an engine that accepts connections from an existing listener.
func NewEngineFromListener(l net.Listener, answer func(Request) [][]string) *Engine {
	e := &Engine{Listener: l, Answer: answer}
	e.Start()
	return e
}

// Start begins to accept connections, in the background. The exported fields are set before it is called.
func (e *Engine) Start() {
	if e.Answer == nil {
		e.Answer = ToyAnswer
	}
	go func() {
		for {
			c, err := e.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			number := len(e.conns)
			e.conns = append(e.conns, c)
			e.mutex.Unlock()
			go e.serve(c, number)
		}
	}()
}

// ToyAnswer answers each fetch after 20 ms with the first of two pages, and serves further pages and health checks.
func ToyAnswer(r Request) [][]string {
	switch r[0] {
	case "fetch":
		time.Sleep(20 * time.Millisecond)
		return [][]string{{r[1], "DONE", "sheets=2,toil=20,room=8", "hello\tfrom\tpage 0\n"}}
	case "more":
		return [][]string{{r[1], "MORE", "sheet=" + r[2], "hello\tfrom\tpage " + r[2] + "\n"}}
	case "alive", "stats":
		return [][]string{{r[1], "FIT", "use=queue:0;x0:0.1;x1:0.1", ""}}
	}
	return nil
}

// Requests returns the requests received so far that begin with a word.
func (e *Engine) Requests(word string) (out []Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.requests {
		if r[0] == word {
			out = append(out, r)
		}
	}
	return out
}

// Connections returns the number of connections accepted so far, closed ones included.
func (e *Engine) Connections() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.conns)
}

// Shutdown closes the listener and all connections.
func (e *Engine) Shutdown() {
	e.Close()
	e.CloseConnections()
}

// CloseConnections closes all connections; the listener stays open.
func (e *Engine) CloseConnections() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

// serve answers the requests of one connection, each in a goroutine of its own.
func (e *Engine) serve(c net.Conn, number int) {
	defer c.Close()
	in := bufio.NewReader(c)
	if e.ReadDelay != nil {
		if delay := e.ReadDelay(number); delay > 0 {
			in = bufio.NewReader(newDelayedReader(c, delay))
		}
	}
	var writing sync.Mutex
	for {
		r, err := readArray(in)
		if err != nil || len(r) < 2 {
			return
		}
		e.mutex.Lock()
		e.requests = append(e.requests, r)
		e.mutex.Unlock()
		go func() {
			for _, answer := range e.Answer(r) {
				writing.Lock()
				fmt.Fprintf(c, "*%d\r\n", len(answer))
				for _, s := range answer {
					fmt.Fprintf(c, "$%d\r\n%s\r\n", len(s), s)
				}
				writing.Unlock()
			}
		}()
	}
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) (Request, error) {
	number := func(prefix byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 3 || line[0] != prefix {
			return 0, fmt.Errorf("malformed RESP length line %q", line)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	if err != nil {
		return nil, err
	}
	var out Request
	for range n {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		out = append(out, string(b[:size]))
	}
	return out, nil
}

// Host is an engine in the name service's list.
type Host struct {
	ID, Zone, Kind string
	Address        string // an IPv4 address and a port
	Draining       bool
	Started        int64 // start time in Unix milliseconds; 0: long ago
}

// NameService answers each DNS query with the whole list of engines. Its methods are safe for concurrent use.
type NameService struct {
	net.PacketConn

	mutex        sync.Mutex
	hosts        []Host
	serial       uint32
	firstDrained map[string]time.Time // when an answer first listed an engine as draining, by engine id
	pending      []pendingQuery       // not answered yet, the oldest first
	lag          int                  // a query is answered after this many later ones have arrived
	withheld     bool                 // no query is answered
	nextList     *EngineList          // the answer to the next query, if not nil
	earlierLists []EngineList         // lists that were replaced, the oldest first
	staleChance  float64              // probability that one of earlierLists answers a query
	random       func() float64       // returns values from 0 to below 1, for staleChance
	answerCount  int                  // answers sent so far
}

// EngineList is a list of engines that the name service had at some time, with its serial number.
type EngineList struct {
	hosts  []Host
	serial uint32
}

// pendingQuery is a query and the address to answer.
type pendingQuery struct {
	query []byte
	from  net.Addr
}

// NewNameService starts a name service that listens on a UDP address.
func NewNameService(address string) (*NameService, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("name service: %w", err)
	}
	n := &NameService{PacketConn: c, firstDrained: map[string]time.Time{}}
	go func() {
		buf := make([]byte, 512)
		for {
			size, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			if size > 12 {
				n.enqueue(pendingQuery{append([]byte(nil), buf[:size]...), from})
			}
		}
	}()
	return n, nil
}

// CurrentList returns the current list.
func (n *NameService) CurrentList() EngineList {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return EngineList{n.hosts, n.serial}
}

// ResetSerial restarts the serial numbers at 1, as after a restart of a router.
func (n *NameService) ResetSerial() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.archiveList()
	n.serial = 1
}

// AnswerNextWith answers the next query with an earlier list, under the serial number of that list.
func (n *NameService) AnswerNextWith(earlier EngineList) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nextList = &earlier
}

// AnswerCount returns the number of answers sent so far.
func (n *NameService) AnswerCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.answerCount
}

// SetLag makes the service slow: each query is answered after the given number of later queries has arrived, with the
// list that is current by then.
func (n *NameService) SetLag(queries int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lag = queries
	n.answerPending()
}

// SetWithheld holds back all answers, or sends the pending ones, with the list that is current by then.
func (n *NameService) SetWithheld(withhold bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.withheld = withhold
	n.answerPending()
}

// PendingQueries returns the number of queries that are not answered yet.
func (n *NameService) PendingQueries() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.pending)
}

// enqueue adds a query and answers what is due.
func (n *NameService) enqueue(q pendingQuery) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pending = append(n.pending, q)
	n.answerPending()
}

// answerPending answers the pending queries that are due. The caller holds the mutex.
func (n *NameService) answerPending() {
	for !n.withheld && len(n.pending) > n.lag {
		q := n.pending[0]
		n.pending = n.pending[1:]
		list := EngineList{n.hosts, n.serial}
		switch {
		case n.nextList != nil:
			list, n.nextList = *n.nextList, nil
		case len(n.earlierLists) > 0 && n.staleChance > 0 && n.random() < n.staleChance:
			list = n.earlierLists[int(n.random()*float64(len(n.earlierLists)))]
		}
		n.answerCount++
		n.WriteTo(n.encodeAnswer(q.query, list), q.from) //nolint:errcheck
	}
}

// Set replaces the list, under the next serial number.
func (n *NameService) Set(hosts ...Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.archiveList()
	n.hosts, n.serial = hosts, n.serial+1
}

const maxEarlierLists = 8 // replaced lists that are kept for stale answers

// archiveList adds the current list to the earlier ones. The caller holds the mutex.
func (n *NameService) archiveList() {
	if n.earlierLists = append(n.earlierLists, EngineList{n.hosts, n.serial}); len(n.earlierLists) > maxEarlierLists {
		n.earlierLists = n.earlierLists[1:]
	}
}

// SetStaleAnswers answers queries, with the given probability, with an earlier list under the serial number of that list,
// even one from before the router's start. random returns values from 0 to below 1.
func (n *NameService) SetStaleAnswers(chance float64, random func() float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.staleChance, n.random = chance, random
}

// CopyFrom takes over the list, serial number and settings of stale answers from another name service, as if the same
// service had moved to another address.
func (n *NameService) CopyFrom(other *NameService) {
	other.mutex.Lock()
	hosts, serial, firstDrained := other.hosts, other.serial, maps.Clone(other.firstDrained)
	earlierLists, chance, random := slices.Clone(other.earlierLists), other.staleChance, other.random
	other.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hosts, n.serial, n.firstDrained = hosts, serial, firstDrained
	n.earlierLists, n.staleChance, n.random = earlierLists, chance, random
}

// StartupEvents returns the list in the form in which a router's configuration has it at startup: one event with all
// engines.
func (n *NameService) StartupEvents() any {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	instances := []map[string]any{}
	for _, h := range n.hosts {
		state := "Ready"
		if h.Draining {
			state = "Terminating"
		}
		instances = append(instances, map[string]any{"instanceId": h.ID, "hostPort": h.Address, "zone": h.Zone,
			"machineType": h.Kind, "cell": 0, "lifecycle": state, "weight": 1, "startedAtMs": h.Started})
	}
	return map[string]any{"pos": n.serial, "entries": []any{map[string]any{"pos": n.serial,
		"hosts": map[string]any{"generation": 1, "reset": true, "instances": instances}}}}
}

// FirstDrained returns, by engine id, when an answer first listed the engine as draining.
func (n *NameService) FirstDrained() map[string]time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return maps.Clone(n.firstDrained)
}

// encodeAnswer encodes a list as the DNS answer to a query: an SRV record per engine, the SOA record with the serial
// number, and an A and a TXT record per engine. The caller holds the mutex.
func (n *NameService) encodeAnswer(query []byte, list EngineList) []byte {
	u16 := binary.BigEndian.AppendUint16
	name := func(out []byte, s string) []byte {
		for _, label := range strings.Split(s, ".") {
			out = append(append(out, byte(len(label))), label...)
		}
		return append(out, 0)
	}
	record := func(out []byte, owner string, kind uint16, data []byte) []byte {
		out = u16(u16(name(out, owner), kind), 1)
		return append(u16(append(out, 0, 0, 0, 0), uint16(len(data))), data...)
	}
	out := append([]byte{query[0], query[1], 0x84, 0, 0, 1}, 0, 0, 0, 1, 0, 0)
	binary.BigEndian.PutUint16(out[6:], uint16(len(list.hosts)))
	binary.BigEndian.PutUint16(out[10:], uint16(2*len(list.hosts)))
	out = append(out, query[12:]...)
	var additional []byte
	for _, h := range list.hosts {
		target := h.ID + "." + h.Zone + ".hosts"
		ip, port, _ := net.SplitHostPort(h.Address)
		p, _ := strconv.Atoi(port)
		state := uint16(0)
		if h.Draining {
			state = 1
			if _, known := n.firstDrained[h.ID]; !known {
				n.firstDrained[h.ID] = time.Now()
			}
		}
		out = record(out, "_rpc._tcp.mesh.local", 33, name(u16(u16(u16(nil, state), 10), uint16(p)), target))
		additional = record(additional, target, 1, net.ParseIP(ip).To4())
		var text []byte
		for _, s := range []string{"kind=" + h.Kind, "cell=0", fmt.Sprint("started=", h.Started)} {
			text = append(append(text, byte(len(s))), s...)
		}
		additional = record(additional, target, 16, text)
	}
	soa := binary.BigEndian.AppendUint32([]byte{0, 0}, list.serial)
	out = record(out, "mesh.local", 6, append(soa, make([]byte, 16)...))
	return append(out, additional...)
}

// ResponseFrame is one frame from the router, decoded.
type ResponseFrame struct {
	Type   uint8
	Stream uint32
	Code   uint8
	Fields map[string]string
	Body   string
}

// Client speaks the frame protocol on one connection to a router.
type Client struct{ net.Conn }

// Dial connects to a router.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return &Client{c}, nil
}

// EncodeFrame encodes a frame. fields alternates names and values; nil leaves out the field count.
func EncodeFrame(kind uint8, stream uint32, fields []string, body string) []byte {
	var payload []byte
	if fields != nil {
		payload = append(payload, byte(len(fields)/2))
		for i := 0; i+1 < len(fields); i += 2 {
			payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
			payload = binary.LittleEndian.AppendUint16(payload, uint16(len(fields[i+1])))
			payload = append(payload, fields[i+1]...)
		}
	}
	payload = append(payload, body...)
	out := binary.LittleEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = binary.LittleEndian.AppendUint32(append(out, kind), stream)
	return append(out, payload...)
}

// SendBatch sends a batch on a stream; left is the time until its deadline.
func (c *Client) SendBatch(stream uint32, group, id string, left time.Duration, text string) error {
	fields := []string{"c", group, "i", id, "d", strconv.Itoa(int(left.Milliseconds()))}
	_, err := c.Write(EncodeFrame(10, stream, fields, text))
	return err
}

// ReadFrame reads the next frame. It fails if the frame has not arrived within the duration.
func (c *Client) ReadFrame(within time.Duration) (ResponseFrame, error) {
	c.SetReadDeadline(time.Now().Add(within)) //nolint:errcheck
	var head [9]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return ResponseFrame{}, err
	}
	rest := make([]byte, int(binary.LittleEndian.Uint32(head[:]))-5)
	if _, err := io.ReadFull(c, rest); err != nil {
		return ResponseFrame{}, err
	}
	a := ResponseFrame{Type: head[4], Stream: binary.LittleEndian.Uint32(head[5:]), Fields: map[string]string{}}
	if len(rest) < 2 {
		return a, nil
	}
	a.Code = rest[0]
	count, rest := int(rest[1]), rest[2:]
	for range count {
		name := string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
		size := binary.LittleEndian.Uint16(rest)
		a.Fields[name] = string(rest[2 : 2+size])
		rest = rest[2+size:]
	}
	a.Body = string(rest)
	return a, nil
}
